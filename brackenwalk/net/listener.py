"""Accepts clients within a budget of file descriptors, and closes idle connections when it runs out."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from contextlib import suppress

from brackenwalk.net.clients import ERR_COMMAND_TIMEOUT, ERR_INPUT_MEMORY, READ_BYTES, ClientConnection
from brackenwalk.net.host import Host
from brackenwalk.net.memory import DEFAULT_LIMITS, ByteCount, MemoryLimits

# Interval at which clients whose reading is paused are polled for a disconnect, which asyncio does not report
# then. No attempt may begin later than 0.1 s after a disconnect, even when a busy turn of the event loop
# delays the poll.
DISCONNECT_POLL_S = 0.025
# One in this many of the clients' descriptors is reserved for lingering connections.
LINGER_RESERVE_DIVISOR = 8
ROOM_POLL_S = 0.05  # interval of looking for a connection to close, as no event reports that time has passed
MAX_ROOM_WAIT_S = 0.5  # for which a new connection, and those behind it, wait until another one can be closed
LISTEN_BACKLOG = 512
ACCEPT_RETRY_S = 0.1  # pause after a failed accept, so that running out of descriptors causes no busy loop
QUEUED_SHARE = 0.5  # of the limit on unsent bytes, for responses that others of their client precede
BUDGET_STEP = 16  # descriptors by which the budget shrinks each time that accept finds none left
log = logging.getLogger(__name__)


def find_disconnected(connections: list[ClientConnection]) -> list[ClientConnection]:
    """Return the connections whose clients have disconnected, with one system call for all."""
    poll, by_descriptor = select.poll(), {}
    for connection in connections:
        descriptor = connection.transport.get_extra_info("socket").fileno()
        by_descriptor[descriptor] = connection
        poll.register(descriptor, select.POLLRDHUP)
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(0)]


class Listener:
    """The listening socket and the open client connections; implements `ConnectionRegistry`."""

    def __init__(self, host: Host, budget: int, limits: MemoryLimits = DEFAULT_LIMITS) -> None:
        self.host = host
        self.receive_buffer = bytearray(READ_BYTES)
        self.input_count = ByteCount(limits.client_input)
        self.read_ahead_count = ByteCount(limits.read_ahead)
        self.max_unsent_bytes = limits.unsent_responses
        self.budget = budget
        self.min_budget = budget * 2 // 3
        self.connections: dict[ClientConnection, None] = {}  # the one idle for longest first
        self.lingering: dict[ClientConnection, None] = {}  # half-closed by the router
        self.unread: dict[ClientConnection, None] = {}
        self.changed = asyncio.Event()  # a connection has closed or become idle
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.accept_task: asyncio.Task[None] | None = None
        self.acceptable = asyncio.Event()  # a client has connected, or the listener stops
        self.stopping = False
        self.paused: list[ClientConnection] = []  # not being read from: polled for disconnects
        self.poll_timer: asyncio.TimerHandle | None = None

    def start(self, address: tuple[str, int]) -> None:
        """Bind the address and start accepting. Raises OSError if the address cannot be bound."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind(address)
        self.socket.listen(LISTEN_BACKLOG)
        self.accept_task = asyncio.create_task(self._accept_loop())

    async def _accept_loop(self) -> None:
        """Accept clients; once stopping, only those that are already in the kernel's accept queue."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                client_socket, _ = self.socket.accept()
            except BlockingIOError:
                if self.stopping:
                    return
                self.acceptable.clear()
                loop.add_reader(self.socket, self.acceptable.set)
                await self.acceptable.wait()
                loop.remove_reader(self.socket)
                continue
            except OSError as e:
                log.warning("accept: %s; retrying", e)
                if e.errno in (errno.EMFILE, errno.ENFILE):
                    self._reduce_budget()
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            try:
                client_socket.setblocking(False)
                # asyncio sets it only on sockets created with IPPROTO_TCP, unlike this listener's. Without it
                # a small response waits until the client has acknowledged the previous one (Nagle).
                client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection = ClientConnection(self.host, self, client_socket)
                await loop.connect_accepted_socket(lambda c=connection: c, client_socket)  # type: ignore[misc]
            except OSError as e:
                log.warning("accept: %s; connection dropped", e)
                await asyncio.sleep(ACCEPT_RETRY_S)
            else:
                await self._make_room(connection)

    async def _make_room(self, newest: ClientConnection) -> None:
        """Close other connections until all fit the budget, or the newest one if there is none to close soon.

        Left waiting in the kernel, clients would neither be served nor know that they are not.
        """
        loop = asyncio.get_running_loop()
        shut_at = loop.time() + MAX_ROOM_WAIT_S
        while len(self.connections) > self._max_open():
            self.changed.clear()
            if self._close_one(newest):
                continue
            if self.stopping:
                break
            if loop.time() >= shut_at:
                newest.close_gracefully()
                break
            with suppress(TimeoutError):
                async with asyncio.timeout(ROOM_POLL_S):
                    await self.changed.wait()
        self._abort_lingering()

    def _max_open(self) -> int:
        return self.budget - self.budget // LINGER_RESERVE_DIVISOR

    def _close_one(self, newest: ClientConnection | None = None) -> bool:
        """Close the connection that has gone longest without a whole command. Return whether there was one.

        Those with open requests are kept, and new ones whose first command may be on its way.
        """
        for connection in self.connections:
            if connection is newest:
                continue
            incomplete = connection.is_incomplete()
            if (incomplete or connection.used) and not connection.has_unsent() and connection.is_idle():
                connection.close_gracefully()
                return True
            if incomplete:
                connection.close_with_error(ERR_COMMAND_TIMEOUT)
                return True
        return False

    def _reduce_budget(self) -> None:
        """Shrink the budget when the system grants less, to leave descriptors for discovery and servers."""
        self.budget = max(self.min_budget, self.budget - BUDGET_STEP)
        self._abort_lingering()
        while len(self.connections) > self._max_open() and self._close_one():
            pass

    def free_input(self) -> None:
        """Close connections with unfinished commands, the one silent for longest first, until they fit.

        The command that a client has not finished is not accepted yet, so that no request is lost.
        """
        unfinished = [c for c in self.connections if c.is_unfinished()]
        for connection in sorted(unfinished, key=lambda c: c.last_received_at):
            if not self.input_count.exceeded():
                break
            connection.close_with_error(ERR_INPUT_MEMORY)

    def has_room_for_response(self, size: int, queued: bool) -> bool:
        """Return whether another response of `size` bytes may wait; `queued` is one that others precede.

        Queued ones leave room for clients that read: theirs usually go to the socket at once.
        """
        self.unread = {c: None for c in self.unread if c.unsent_bytes()}
        unsent = sum(c.unsent_bytes() for c in self.unread)
        return unsent + size <= self.max_unsent_bytes * (QUEUED_SHARE if queued else 1.0)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection has no response outstanding."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None
        self.changed.set()

    def start_lingering(self, connection: ClientConnection) -> None:
        """Record that the router has half-closed a connection, which still holds its descriptor."""
        self.connections.pop(connection, None)
        self.lingering[connection] = None
        self.changed.set()
        self._abort_lingering()

    def _abort_lingering(self) -> None:
        """Abort lingering connections above the budget, first those with no unsent responses."""
        excess = len(self.connections) + len(self.lingering) - self.budget
        if excess > 0:
            for connection in sorted(self.lingering, key=ClientConnection.has_unsent)[:excess]:
                connection.abort()

    def watch_for_disconnect(self, connection: ClientConnection) -> None:
        """Start polling for a disconnect of a client while reading from it is paused."""
        if connection not in self.paused:
            self.paused.append(connection)
        if self.poll_timer is None:
            self.poll_timer = asyncio.get_running_loop().call_later(DISCONNECT_POLL_S, self._poll_disconnects)

    def _poll_disconnects(self) -> None:
        self.poll_timer = None
        still_open = (c for c in self.paused if not c.transport.is_closing())
        self.paused = [c for c in still_open if not c.transport.is_reading()]
        for connection in find_disconnected(self.paused):
            connection.on_disconnect()
        if self.paused:
            self.poll_timer = asyncio.get_running_loop().call_later(DISCONNECT_POLL_S, self._poll_disconnects)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.unread.pop(connection, None)
        self.changed.set()

    async def stop(self, grace: float, time_limit: float) -> None:
        """Accept for `grace` more seconds, then wait until all responses are sent and all clients closed.

        Give up waiting `time_limit` seconds after `grace` has passed.
        """
        await asyncio.sleep(grace)
        self.stopping = True
        self.acceptable.set()
        self.changed.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(time_limit):
                if self.accept_task is not None:
                    await self.accept_task
                self.socket.close()
                while self.connections or self.lingering:
                    self.changed.clear()
                    for connection in list(self.connections):
                        # Only between requests: a command that has begun to arrive is still served.
                        if connection.is_idle():
                            connection.close_gracefully()
                    await self.changed.wait()
