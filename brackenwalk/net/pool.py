"""Pools of keep-alive connections that carry one attempt at a time, and the outcomes of the attempts."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from abc import abstractmethod
from collections.abc import Callable

from brackenwalk.interface import Status
from brackenwalk.net.command import MAX_VALUE_BYTES, Command
from brackenwalk.net.memory import DEFAULT_LIMITS, ByteCount

IDLE_MARGIN_S = 0.5  # time by which an idle connection is closed before the server may close it
# Time after a response for which its connection is not reused. A faulty second response comes up to 4 ms
# after the first and would be taken for the response to the next request.
REUSE_DELAY_S = 0.02
log = logging.getLogger(__name__)

READ_BYTES = MAX_VALUE_BYTES + 8192  # read from a server at once: a whole response, as a rule
AttemptResult = tuple[Status, bytes]  # the outcome, and the value if there is one


class MalformedResponse(Exception):
    """Received bytes that are no valid response. The server may have executed the request all the same."""


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def poll_socket(polled: socket.socket, events: int) -> int:
    """Return those of the given events, and of POLLERR and POLLHUP, that a socket has now."""
    poll = select.poll()
    poll.register(polled.fileno(), events)
    found = poll.poll(0)
    return found[0][1] if found else 0


def readable(transport: asyncio.BaseTransport) -> bool:
    """Return whether the socket has bytes or a close that the event loop has not processed yet."""
    return bool(poll_socket(transport.get_extra_info("socket"), select.POLLIN))


class Exchange:
    """One attempt: it ends once, either by a call of `on_done` or by `abandon`.

    `may_begin` returns whether its client is certainly connected, and abandons it if it is not. It is called
    when a dial has completed, before the request is written.
    """

    def __init__(
        self,
        command: Command,
        time_left: float,
        on_done: Callable[[Status, bytes], None],
        may_begin: Callable[[], bool],
    ) -> None:
        self.command: Command | None = command  # None once encoded: it is written once, and may be long
        self.deadline = asyncio.get_running_loop().time() + time_left
        self.on_done = on_done
        self.may_begin = may_begin
        self.open = True
        self.dial: asyncio.Task[None] | None = None
        self.connection: Connection | None = None

    def finish(self, status: Status, value: bytes = b"") -> None:
        """Report the outcome, unless the attempt has ended already."""
        if self.open:
            self.open = False
            self.connection = None  # its buffers may be long, and `on_done` refers back to this object
            self.on_done(status, value)

    def unsent(self) -> bool:
        """Return whether the server cannot have the whole request yet, while dialling or buffering."""
        return self.open and (self.connection is None or not self.connection.fully_written)

    def abandon(self) -> None:
        """End the attempt without an outcome and close its connection.

        The close tells the server to stop work, and keeps a late response from being taken for the response
        to a later request.
        """
        if not self.open:
            return
        self.open = False
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None


class Connection(asyncio.BufferedProtocol):
    """A connection to one address, which carries one attempt at a time. Subclasses speak the protocol."""

    def __init__(self, pool: Pool, address: str) -> None:
        self.pool = pool
        self.address = address
        self.exchange: Exchange | None = None
        self.fully_written = False  # whether the last byte of the request is in the kernel
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0  # loop time of the latest response
        self.incomplete_bytes = 0  # received of a response that is not whole yet

    @abstractmethod
    def encode(self, command: Command, time_left: float) -> bytes:
        """Return the bytes of a request, with `time_left` (in seconds) as its deadline for the server."""

    @abstractmethod
    def decode(self, data: bytes) -> AttemptResult | None:
        """Parse bytes of a response and return its result, or None until it is complete.

        Raises `MalformedResponse` if the bytes are no valid response.
        """

    @abstractmethod
    def reusable(self) -> bool:
        """Return whether a complete response was read with no bytes behind it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the pool."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # Makes asyncio call `resume_writing` exactly when the last byte has been passed to the kernel.
        transport.set_write_buffer_limits(high=0)
        self.pool.connections.add(self)

    def begin(self, exchange: Exchange) -> None:
        """Write an attempt's request."""
        exchange.connection = self
        self.exchange = exchange
        self.fully_written = False
        command, exchange.command = exchange.command, None
        assert command is not None
        try:
            # The dial has taken part of the time that the attempt had at its start.
            time_left = exchange.deadline - asyncio.get_running_loop().time()
            data = self.encode(command, time_left)
        except Exception:
            # An attempt whose request cannot be encoded would otherwise have no outcome. Closing the
            # connection ends it at once.
            log.exception("request to %s could not be encoded: please report this trace", self.address)
            self.abort()
            return
        self.transport.write(data)
        # A request may be sent again only if the server cannot have it whole, or it could be executed twice.
        # `write` also returns when it has buffered bytes or failed.
        self.fully_written = not self.transport.is_closing() and not self.transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        """Record that the kernel has the whole request."""
        self.fully_written = True

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read, which all connections of the pool share."""
        return self.pool.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that have been read."""
        self.data_received(bytes(memoryview(self.pool.receive_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse the response. Once it is complete, end the attempt and keep or close the connection."""
        exchange = self.exchange
        if exchange is None:  # unexpected bytes, which would be taken for the start of the next response
            self.abort()
            return
        try:
            result = self.decode(data)
        except Exception as e:
            # Whatever bytes a server sends, an error ends only this connection and its attempt.
            level = logging.WARNING if isinstance(e, MalformedResponse) else logging.ERROR
            log.log(level, "response from %s could not be read, connection closed: %r", self.address, e)
            self.exchange = None
            self.abort()
            exchange.finish(Status.ERROR)
            return
        if result is None:
            self._count_incomplete(len(data))
        else:
            self.exchange = None
            self.release_bytes()
            if self.fully_written and self.reusable() and not self.transport.is_closing():
                self.pool.release(self)
            else:
                self.abort()
            exchange.finish(*result)

    def _count_incomplete(self, size: int) -> None:
        """Count bytes of an incomplete response; fail the attempt if all connections hold too many."""
        self.incomplete_bytes += size
        self.pool.input_count.change(size)
        if self.pool.input_count.exceeded() and (exchange := self.exchange) is not None:
            log.warning("response from %s dropped, too many bytes of incomplete responses", self.address)
            self.exchange = None
            self.abort()
            exchange.finish(Status.ERROR)

    def release_bytes(self) -> None:
        """Count the bytes of the response no longer: it is whole, or its connection has ended."""
        self.pool.input_count.change(-self.incomplete_bytes)
        self.incomplete_bytes = 0

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt: as a reset if the whole request was written, else as one that never ran."""
        self.pool.remove(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.finish(Status.RESET if self.fully_written else Status.CONNECT_FAILED)

    def abort(self) -> None:
        """Close the connection at once, discarding buffered bytes."""
        self.pool.remove(self)
        self.transport.abort()


class Pool:
    """The connections to the servers of one protocol, within a budget of file descriptors."""

    def __init__(
        self,
        make_connection: Callable[[Pool, str], Connection],
        budget: int,
        dial_timeout: float,
        server_idle_timeout: float,
        input_limit: int = DEFAULT_LIMITS.server_input,
    ) -> None:
        self.receive_buffer = bytearray(READ_BYTES)
        self.input_count = ByteCount(input_limit)  # bytes of responses that are not whole yet
        self.make_connection = make_connection
        self.budget = budget  # of file descriptors
        self.dial_timeout = dial_timeout
        self.idle_timeout = max(0.0, server_idle_timeout - IDLE_MARGIN_S)
        self.connections: set[Connection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.idle: dict[str, list[Connection]] = {}

    def start(
        self,
        address: str,
        command: Command,
        time_left: float,
        on_done: Callable[[Status, bytes], None],
        may_begin: Callable[[], bool] = lambda: True,
    ) -> Exchange:
        """Start an attempt on an idle connection or a new one.

        Call `on_done` with the outcome, and `may_begin` when a dial has completed. `time_left` is in
        seconds.
        """
        exchange = Exchange(command, time_left, on_done, may_begin)
        idle = self._take_idle(address)
        if idle is not None:
            idle.begin(exchange)
        elif self._make_room():
            exchange.dial = asyncio.create_task(self._dial(address, exchange))
            self.dials.add(exchange.dial)
            exchange.dial.add_done_callback(self.dials.discard)
        else:
            # A dial beyond the budget could take the descriptors that new clients need.
            exchange.finish(Status.CONNECT_FAILED)
        return exchange

    async def _dial(self, address: str, exchange: Exchange) -> None:
        try:
            async with asyncio.timeout(self.dial_timeout):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self.make_connection(self, address), *parse_address(address)
                )
        except Exception as e:
            if not isinstance(e, OSError):  # TimeoutError is an OSError
                # An unusable address must not leave the attempt without an outcome.
                log.error("dial to %s failed unexpectedly, check this address in the list: %r", address, e)
            exchange.finish(Status.CONNECT_FAILED)
            return
        exchange.dial = None
        # The client may have disconnected during the dial.
        if exchange.may_begin() and exchange.open:
            connection.begin(exchange)
        else:
            connection.abort()
            exchange.finish(Status.UNSENT)

    def _take_idle(self, address: str) -> Connection | None:
        """Return the most recently used idle connection that may be reused; drop closed ones on the way."""
        idle = self.idle.get(address, [])
        idle_before = asyncio.get_running_loop().time() - REUSE_DELAY_S
        for connection in [c for c in reversed(idle) if c.idle_since <= idle_before]:
            idle.remove(connection)
            if connection.expiry_timer is not None:
                connection.expiry_timer.cancel()
            # The server may have closed the connection since the event loop last polled it. A request written
            # to it would then be lost with a reset.
            if not connection.transport.is_closing() and not readable(connection.transport):
                return connection
            connection.abort()
        return None

    def _make_room(self) -> bool:
        if len(self.connections) + len(self.dials) < self.budget:
            return True
        idle = next((i for i in self.idle.values() if i), None)
        if idle is None:
            return False
        idle[0].abort()
        return True

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool for reuse, until shortly before the server would close it."""
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        connection.expiry_timer = loop.call_later(self.idle_timeout, connection.abort)
        self.idle.setdefault(connection.address, []).append(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        connection.release_bytes()
        self.connections.discard(connection)
        if connection.expiry_timer is not None:
            connection.expiry_timer.cancel()
        idle = self.idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.address, None)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to one address."""
        for connection in list(self.idle.get(address, ())):
            connection.abort()

    def close(self) -> None:
        """Close all connections and cancel all dials."""
        for connection in list(self.connections):
            connection.abort()
        for dial in self.dials:
            dial.cancel()
