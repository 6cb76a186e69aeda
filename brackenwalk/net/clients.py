"""The connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import hiredis

from brackenwalk.net.command import MAX_INFO_BYTES, MAX_KEY_BYTES, MAX_VALUE_BYTES, CommandError, read_command
from brackenwalk.net.host import Host
from brackenwalk.net.pool import ended, readable
from brackenwalk.net.resp import INCOMPLETE, Reader

MAX_COMMAND_BYTES = (
    MAX_VALUE_BYTES + MAX_KEY_BYTES + MAX_INFO_BYTES + 4096
)  # bytes held for a command that is not whole
MAX_PIPELINED = 32  # commands of one connection that wait for their answers
# commands of one connection that are read in one turn of the event loop: a client that sends hundreds at once
# would hold up the answers to all others, and what is due in that turn is late by all of it
MAX_COMMANDS_PER_TURN = 32
PARSE_CHUNK_BYTES = 4096  # bytes that are parsed at once, for the same reason
FIRST_COMMAND_TIMEOUT_S = 2.5  # seconds for a first whole command: an error line or a close is owed within 3
LINGER_S = 1.0  # seconds for which a client may take its time to end a connection that the router has ended
LINGER_UNSENT = 10.0  # the same while it has not taken all that it was answered
LINGER_READ = 1 << 20  # bytes that are read and dropped meanwhile
STALL_TIMEOUT_S = 2.0  # seconds without a byte after which half a command does not hold a descriptor any more
ERR_COMMAND_TIMEOUT = "-ERR no command came in time"
log = logging.getLogger(__name__)


class ConnectionRegistry(Protocol):
    """Keeps the connections of all clients; a connection tells it what becomes of it."""

    connections: dict[ClientConnection, None]
    lingering: dict[ClientConnection, None]

    def rest(self, connection: ClientConnection) -> None:
        """Note that nothing is owed on a connection any more."""

    def linger(self, connection: ClientConnection) -> None:
        """Note that the router has ended a connection, and the client has not."""

    def watch(self, connection: ClientConnection) -> None:
        """Look for the end of a client that is not read from."""

    def forget(self, connection: ClientConnection) -> None:
        """Note that a connection is closed."""


@dataclass(slots=True, eq=False)
class Slot:
    """A command's place in the order of answers."""

    request: str | None = None
    answer: bytes | None = None


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, host: Host, listener: ConnectionRegistry) -> None:
        self.host = host
        self.listener = listener
        self.reader = Reader(element_types=b":-$")  # a simple string as a part would pass for a bulk string
        self.incomplete_bytes = 0  # bytes since the last whole command
        self.unparsed = b""  # received and not handed to the parser yet
        self.next_turn: asyncio.Handle | None = None  # in which commands that were held back are taken
        self.received_at = 0.0  # when the last bytes came
        self.slots: deque[Slot] = deque()
        self.reading = True
        self.writable = True
        self.closing = False  # no command is taken any more
        self.lingered: asyncio.TimerHandle | None = None
        self.dropped = 0  # bytes that came after the router's end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.connections[self] = None
        loop = asyncio.get_running_loop()
        self.patience = loop.call_later(FIRST_COMMAND_TIMEOUT_S, self.end_with, ERR_COMMAND_TIMEOUT)

    def data_received(self, data: bytes) -> None:
        if self in self.listener.lingering:  # too late to be taken: the client sees our end before any answer
            self.dropped += len(data)
            if self.dropped > LINGER_READ:
                self.cut()
            return
        if self.check_client():  # what came just before the end is for nobody any more
            return
        if self.closing:  # read on only to see the client's end, and kept nowhere
            return
        self.unparsed += data
        self.received_at = asyncio.get_running_loop().time()
        self._take_commands()

    def _take_commands(self) -> None:
        """Take the commands that have come, as many as one turn of the loop may spend on one client."""
        try:
            left = self._take_some()
        except Exception:
            # guards the router: a fault here ends this connection alone, and its requests are settled
            log.exception("connection of a client")
            self.transport.abort()
            return
        if left:
            self._go_on_soon()
        self._read_or_not()

    def _take_some(self) -> bool:
        """Take a turn's commands; answers with whether more may be there that could be taken now."""
        for _ in range(MAX_COMMANDS_PER_TURN):
            # a closing connection takes nothing more: nobody would hear that its client is gone
            if not self._wanted() or self.transport.is_closing():
                return False
            try:
                parts = self._next_command()
            except (hiredis.ProtocolError, MemoryError) as e:
                self.end_with(f"-ERR {e}")
                return False
            if parts is INCOMPLETE:
                if self.incomplete_bytes > MAX_COMMAND_BYTES:
                    self.end_with("-ERR command is too long")
                return False
            self._process_command(parts)
        return True

    def _next_command(self) -> object:
        """The next whole command's parts, or INCOMPLETE; hands the parser no more bytes than that takes."""
        while (
            (parts := self.reader.gets()) is INCOMPLETE
            and self.unparsed
            and self.incomplete_bytes <= MAX_COMMAND_BYTES
        ):
            piece, self.unparsed = self.unparsed[:PARSE_CHUNK_BYTES], self.unparsed[PARSE_CHUNK_BYTES:]
            self.incomplete_bytes += len(piece)
            self.reader.feed(piece)
        if parts is not INCOMPLETE:
            self.incomplete_bytes = self.reader.held()
        return parts

    def _process_command(self, parts: object) -> None:
        slot = Slot()
        self.slots.append(slot)
        answer = partial(self._answer, slot)
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            self.patience.cancel()
            answer(b"+PONG\r\n" if self.host.ready() else b"-ERR no cache server is known\r\n")
            return
        try:
            command = read_command(parts)
        except CommandError as e:
            answer(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))
            return
        self.patience.cancel()
        slot.request = command.request_id.decode()
        if self.host.submit(command, answer, self.check_client) is None:
            slot.request = None
            answer(b"-ERR this request id is in use\r\n")

    def _answer(self, slot: Slot, answer: bytes) -> None:
        slot.answer = answer
        while self.slots and self.slots[0].answer is not None:
            self.transport.write(self.slots.popleft().answer or b"")
        if not self.slots:
            self.listener.rest(self)
        if self.closing and not self.slots:
            self.shut()
        elif not self.reading:
            self._go_on_soon()

    def end_with(self, error: str) -> None:
        """Answer with an error and close: where the next command begins can't be told any more."""
        self.closing = True
        self.unparsed = b""
        slot = Slot()
        self.slots.append(slot)
        self._answer(slot, error.encode("ascii", "replace").replace(b"\r\n", b" ") + b"\r\n")

    def _wanted(self) -> bool:
        """Whether one more command may be taken."""
        return not self.closing and self.writable and len(self.slots) < MAX_PIPELINED

    def _read_or_not(self) -> None:
        """Bounds what a client can make the router hold: no reading while too much is unanswered."""
        if self in self.listener.lingering:
            return
        wanted = self._wanted() and self.next_turn is None
        if wanted != self.reading and not self.transport.is_closing():
            self.reading = wanted
            (self.transport.resume_reading if wanted else self.transport.pause_reading)()
            if not wanted:
                self.listener.watch(self)

    def check_client(self) -> bool:
        """Notice the client's end if it has come, whether or not the event loop has got to it."""
        gone = not self.transport.is_closing() and ended(self.transport)
        if gone:
            self.leave()
        return gone

    def _go_on_soon(self) -> None:
        """Take what was held back in the next turn of the loop, once for all that ask for it in this one."""
        if self.next_turn is None:
            self.next_turn = asyncio.get_running_loop().call_soon(self._go_on)

    def _go_on(self) -> None:
        """Take commands that were held back, which may have outlasted their client."""
        self.next_turn = None
        if not self.check_client():
            self._take_commands()

    def pause_writing(self) -> None:
        self.writable = False
        self._read_or_not()

    def resume_writing(self) -> None:
        self.writable = True
        self._go_on_soon()

    def is_idle(self) -> bool:
        """Whether nothing is owed, begun or unread."""
        if self.slots or self.incomplete_bytes or self.unparsed or self.transport.is_closing():
            return False
        return not readable(self.transport)

    def stalled(self) -> bool:
        """Whether all that holds it is half a command that does not go on."""
        if (
            self.slots
            or not self.incomplete_bytes
            or self.unparsed
            or self.unsent()
            or self.transport.is_closing()
        ):
            return False
        silence = asyncio.get_running_loop().time() - self.received_at
        return silence > STALL_TIMEOUT_S and not readable(self.transport)

    def unsent(self) -> bool:
        """Whether the client has not taken all its answers."""
        return self.transport.get_write_buffer_size() > 0

    def shut(self) -> None:
        """End our side once all is written, and drop what still comes until the client ends its own.

        Closed over unread bytes, the connection would be reset, and the last answer could go with it.
        """
        if self.transport.is_closing() or self in self.listener.lingering:
            return
        self.closing = True
        self.patience.cancel()
        loop = asyncio.get_running_loop()
        self.until, self.late = loop.time() + LINGER_UNSENT, self.unsent()
        self.lingered = loop.call_later(LINGER_S, self._lingered)
        self.listener.linger(self)
        try:
            self.transport.write_eof()
        except OSError:  # the client has reset it
            self.cut()
        else:
            self.reading = True
            self.transport.resume_reading()

    def _lingered(self) -> None:
        loop = asyncio.get_running_loop()
        late, self.late = self.late, self.unsent()  # our end may have gone out only now
        if (late or self.late) and loop.time() < self.until:
            self.lingered = loop.call_later(LINGER_S, self._lingered)
        else:
            self.cut()

    def cut(self) -> None:
        """Close at once."""
        self.transport.abort()
        self.listener.forget(self)

    def eof_received(self) -> None:
        self.leave()

    def leave(self) -> None:
        """The client has ended the connection, which would stay while bytes wait to be written."""
        self.cut()
        self._abandon_requests()

    def _abandon_requests(self) -> None:
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.answer is None and slot.request is not None:
                self.host.on_client_gone(slot.request)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.forget(self)
        self.patience.cancel()
        if self.lingered is not None:
            self.lingered.cancel()
        self._abandon_requests()
