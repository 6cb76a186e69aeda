"""Accepts clients within a budget of descriptors, and closes connections where room is short."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from contextlib import suppress

from brackenwalk.net.clients import ERR_COMMAND_TIMEOUT, ClientConnection
from brackenwalk.net.host import Host

# seconds between looks for the end of clients that are not read from: asyncio tells of none then, and 0.1 s
# after it no attempt may begin; a look late by a turn of a busy loop has to be in time as well
DISCONNECT_POLL_S = 0.025
SPARE = 8  # of so many descriptors for clients one is for those that linger
ROOM_LOOK = 0.25  # seconds between looks for a connection that may go: nothing tells that one has stalled
BACKLOG = 512
ACCEPT_RETRY_S = 0.1  # after a failed accept, so that running out of descriptors does not spin
SHED = 16  # descriptors given up at each sign that there are fewer than was told
log = logging.getLogger(__name__)


def all_ended(connections: list[ClientConnection]) -> list[ClientConnection]:
    """Those that their clients have ended, in one call: looks are many."""
    poll, known = select.poll(), {}
    for connection in connections:
        descriptor = connection.transport.get_extra_info("socket").fileno()
        known[descriptor] = connection
        poll.register(descriptor, select.POLLRDHUP)
    return [known[descriptor] for descriptor, _ in poll.poll(0)]


class Listener:
    """Accepts clients, within a budget of descriptors."""

    def __init__(self, host: Host, budget: int) -> None:
        self.host = host
        self.budget = budget
        self.least_budget = budget * 2 // 3
        self.connections: dict[ClientConnection, None] = {}  # those longest at rest come first
        self.lingering: dict[ClientConnection, None] = {}  # ended by the router, not yet by their clients
        self.changed = asyncio.Event()  # a connection has ended or fallen idle
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.accepting: asyncio.Task[None] | None = None
        self.acceptable = asyncio.Event()  # a client has come, or none will be waited for
        self.stopping = False
        self.unread: list[ClientConnection] = []  # their ends have to be looked for
        self.looking: asyncio.TimerHandle | None = None

    def start(self, address: tuple[str, int]) -> None:
        """Listen and accept."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind(address)
        self.socket.listen(BACKLOG)
        self.accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        """Accept for ever; once stopping, until the system holds no client that has connected already."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                client, _ = self.socket.accept()
            except BlockingIOError:
                if self.stopping:
                    return
                self.acceptable.clear()
                loop.add_reader(self.socket, self.acceptable.set)
                await self.acceptable.wait()
                loop.remove_reader(self.socket)
                continue
            except OSError as e:
                log.warning("accept: %s", e)
                if e.errno in (errno.EMFILE, errno.ENFILE):
                    self._shed()
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            try:
                client.setblocking(False)
                # asyncio sets it only on sockets made with the protocol's number, unlike this listener's:
                # a small answer waited for the client's word on the one before
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection = ClientConnection(self.host, self)
                await loop.connect_accepted_socket(lambda c=connection: c, client)  # type: ignore[misc]
            except OSError as e:
                log.warning("accept: %s", e)
                await asyncio.sleep(ACCEPT_RETRY_S)
            else:
                await self._make_room(connection)

    async def _make_room(self, newest: ClientConnection) -> None:
        """Guards the descriptors: the newest client costs an idle one, or waits until there is one."""
        while len(self.connections) > self._most_open():
            self.changed.clear()
            if not self._close_one(newest):
                if self.stopping:
                    break
                with suppress(TimeoutError):
                    async with asyncio.timeout(ROOM_LOOK):
                        await self.changed.wait()
        self._cut_lingering()

    def _most_open(self) -> int:
        return self.budget - self.budget // SPARE

    def _close_one(self, newest: ClientConnection | None = None) -> bool:
        """End the connection that is longest at rest, or one that half a command has held for long."""
        idle = next((c for c in self.connections if c is not newest and not c.unsent() and c.is_idle()), None)
        if idle is not None:
            idle.shut()
            return True
        stalled = next((c for c in self.connections if c is not newest and c.stalled()), None)
        if stalled is not None:
            stalled.end_with(ERR_COMMAND_TIMEOUT)
        return stalled is not None

    def _shed(self) -> None:
        """Fewer descriptors than was told: leave some to the calls to discovery and to servers."""
        self.budget = max(self.least_budget, self.budget - SHED)
        self._cut_lingering()
        while len(self.connections) > self._most_open() and self._close_one():
            pass

    def rest(self, connection: ClientConnection) -> None:
        """Note that nothing is owed on a connection any more."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None
        self.changed.set()

    def linger(self, connection: ClientConnection) -> None:
        """Note that the router has ended a connection, which costs its descriptor a little longer."""
        self.connections.pop(connection, None)
        self.lingering[connection] = None
        self.changed.set()
        self._cut_lingering()

    def _cut_lingering(self) -> None:
        """Guards the descriptors: those that linger go first, and of them those that owe nothing."""
        over = len(self.connections) + len(self.lingering) - self.budget
        if over > 0:
            for connection in sorted(self.lingering, key=ClientConnection.unsent)[:over]:
                connection.cut()

    def watch(self, connection: ClientConnection) -> None:
        """Look for a client's end while it is not read from."""
        if connection not in self.unread:
            self.unread.append(connection)
        if self.looking is None:
            self.looking = asyncio.get_running_loop().call_later(DISCONNECT_POLL_S, self._look)

    def _look(self) -> None:
        self.looking = None
        open_still = (c for c in self.unread if not c.transport.is_closing())
        self.unread = [c for c in open_still if not c.transport.is_reading()]
        for connection in all_ended(self.unread):
            connection.leave()
        if self.unread:
            self.looking = asyncio.get_running_loop().call_later(DISCONNECT_POLL_S, self._look)

    def forget(self, connection: ClientConnection) -> None:
        """Note that a connection is closed."""
        self.connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.changed.set()

    async def stop(self, still_coming: float, longest: float) -> None:
        """Accept for a while longer, then no more; end when nothing is owed to any client."""
        await asyncio.sleep(still_coming)
        self.stopping = True
        self.acceptable.set()
        self.changed.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(longest):
                if self.accepting is not None:
                    await self.accepting
                self.socket.close()
                while self.connections or self.lingering:
                    self.changed.clear()
                    for connection in list(self.connections):
                        # closed between requests: one that has begun to come in is waited for
                        if connection.is_idle():
                            connection.shut()
                    await self.changed.wait()
