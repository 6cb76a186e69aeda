"""The listener and the connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

import hiredis

from brackenwalk.net.command import MAX_INFO, MAX_KEY, MAX_VALUE, CommandError, read_command
from brackenwalk.net.host import Host
from brackenwalk.net.pool import ended, readable
from brackenwalk.net.resp import NOT_YET, Reader

MAX_COMMAND = MAX_VALUE + MAX_KEY + MAX_INFO + 4096  # bytes held for a command that is not whole
MAX_PIPELINED = 32  # commands of one connection that wait for their answers
# commands of one connection that are read in one turn of the event loop: a client that sends hundreds at once
# would hold up the answers to all others, and what is due in that turn is late by all of it
READ_PER_TURN = 32
PIECE = 4096  # bytes that are parsed at once, for the same reason
PATIENCE = 2.5  # seconds for a first whole command: an error line or a close is owed within 3
# seconds between looks for the end of clients that are not read from: asyncio tells of none then, and 0.1 s
# after it no attempt may begin; a look late by a turn of a busy loop has to be in time as well
LOOK = 0.025
LINGER = 1.0  # seconds for which a client may take its time to end a connection that the router has ended
LINGER_UNSENT = 10.0  # the same while it has not taken all that it was answered
LINGER_READ = 1 << 20  # bytes that are read and dropped meanwhile
SPARE = 8  # of so many descriptors for clients one is for those that linger
STALLED = 2.0  # seconds without a byte after which half a command does not hold a descriptor any more
ROOM_LOOK = 0.25  # seconds between looks for a connection that may go: nothing tells that one has stalled
BACKLOG = 512
ACCEPT_PAUSE = 0.1  # after a failed accept, so that running out of descriptors does not spin
SHED = 16  # descriptors given up at each sign that there are fewer than was told
NOT_IN_TIME = "-ERR no command came in time"
log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class Slot:
    """A command's place in the order of answers."""

    request: str | None = None
    answer: bytes | None = None


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, host: Host, listener: Listener) -> None:
        self.host = host
        self.listener = listener
        self.reader = Reader(parts=b":-$")  # a simple string as a part would pass for a bulk string
        self.held_back = 0  # bytes since the last whole command
        self.unparsed = b""  # received and not handed to the parser yet
        self.next_turn: asyncio.Handle | None = None  # in which commands that were held back are taken
        self.heard_at = 0.0  # when the last bytes came
        self.slots: deque[Slot] = deque()
        self.reading = True
        self.writable = True
        self.ending = False  # no command is taken any more
        self.lingered: asyncio.TimerHandle | None = None
        self.dropped = 0  # bytes that came after the router's end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.connections[self] = None
        loop = asyncio.get_running_loop()
        self.patience = loop.call_later(PATIENCE, self.end_with, NOT_IN_TIME)

    def data_received(self, data: bytes) -> None:
        if self in self.listener.lingering:  # too late to be taken: the client sees our end before any answer
            self.dropped += len(data)
            if self.dropped > LINGER_READ:
                self.cut()
            return
        if self.look():  # what came just before the end is for nobody any more
            return
        if self.ending:  # read on only to see the client's end, and kept nowhere
            return
        self.unparsed += data
        self.heard_at = asyncio.get_running_loop().time()
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
        for _ in range(READ_PER_TURN):
            # a closing connection takes nothing more: nobody would hear that its client is gone
            if not self._wanted() or self.transport.is_closing():
                return False
            try:
                parts = self._next_command()
            except (hiredis.ProtocolError, MemoryError) as e:
                self.end_with(f"-ERR {e}")
                return False
            if parts is NOT_YET:
                if self.held_back > MAX_COMMAND:
                    self.end_with("-ERR command is too long")
                return False
            self._take(parts)
        return True

    def _next_command(self) -> object:
        """The next whole command's parts, or NOT_YET; hands the parser no more bytes than that takes."""
        while (parts := self.reader.gets()) is NOT_YET and self.unparsed and self.held_back <= MAX_COMMAND:
            piece, self.unparsed = self.unparsed[:PIECE], self.unparsed[PIECE:]
            self.held_back += len(piece)
            self.reader.feed(piece)
        if parts is not NOT_YET:
            self.held_back = self.reader.held()
        return parts

    def _take(self, parts: object) -> None:
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
        slot.request = command.request.decode()
        if self.host.take(command, answer, self.look) is None:
            slot.request = None
            answer(b"-ERR this request id is in use\r\n")

    def _answer(self, slot: Slot, answer: bytes) -> None:
        slot.answer = answer
        while self.slots and self.slots[0].answer is not None:
            self.transport.write(self.slots.popleft().answer or b"")
        if not self.slots:
            self.listener.rest(self)
        if self.ending and not self.slots:
            self.shut()
        elif not self.reading:
            self._go_on_soon()

    def end_with(self, error: str) -> None:
        """Answer with an error and close: where the next command begins can't be told any more."""
        self.ending = True
        self.unparsed = b""
        slot = Slot()
        self.slots.append(slot)
        self._answer(slot, error.encode("ascii", "replace").replace(b"\r\n", b" ") + b"\r\n")

    def _wanted(self) -> bool:
        """Whether one more command may be taken."""
        return not self.ending and self.writable and len(self.slots) < MAX_PIPELINED

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

    def look(self) -> bool:
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
        if not self.look():
            self._take_commands()

    def pause_writing(self) -> None:
        self.writable = False
        self._read_or_not()

    def resume_writing(self) -> None:
        self.writable = True
        self._go_on_soon()

    def idle(self) -> bool:
        """Whether nothing is owed, begun or unread."""
        if self.slots or self.held_back or self.unparsed or self.transport.is_closing():
            return False
        return not readable(self.transport)

    def stalled(self) -> bool:
        """Whether all that holds it is half a command that does not go on."""
        if self.slots or not self.held_back or self.unparsed or self.unsent() or self.transport.is_closing():
            return False
        silence = asyncio.get_running_loop().time() - self.heard_at
        return silence > STALLED and not readable(self.transport)

    def unsent(self) -> bool:
        """Whether the client has not taken all its answers."""
        return self.transport.get_write_buffer_size() > 0

    def shut(self) -> None:
        """End our side once all is written, and drop what still comes until the client ends its own.

        Closed over unread bytes, the connection would be reset, and the last answer could go with it.
        """
        if self.transport.is_closing() or self in self.listener.lingering:
            return
        self.ending = True
        self.patience.cancel()
        loop = asyncio.get_running_loop()
        self.until, self.late = loop.time() + LINGER_UNSENT, self.unsent()
        self.lingered = loop.call_later(LINGER, self._lingered)
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
            self.lingered = loop.call_later(LINGER, self._lingered)
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
        self._forsake()

    def _forsake(self) -> None:
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.answer is None and slot.request is not None:
                self.host.client_gone(slot.request)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.forget(self)
        self.patience.cancel()
        if self.lingered is not None:
            self.lingered.cancel()
        self._forsake()


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
                await asyncio.sleep(ACCEPT_PAUSE)
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
                await asyncio.sleep(ACCEPT_PAUSE)
            else:
                await self._make_room(connection)

    async def _make_room(self, newest: ClientConnection) -> None:
        """Guards the descriptors: the newest client costs an idle one, or waits until there is one."""
        while len(self.connections) > self._most_open():
            self.changed.clear()
            if not self._shut_one(newest):
                if self.stopping:
                    break
                with suppress(TimeoutError):
                    async with asyncio.timeout(ROOM_LOOK):
                        await self.changed.wait()
        self._cut_lingering()

    def _most_open(self) -> int:
        return self.budget - self.budget // SPARE

    def _shut_one(self, newest: ClientConnection | None = None) -> bool:
        """End the connection that is longest at rest, or one that half a command has held for long."""
        idle = next((c for c in self.connections if c is not newest and not c.unsent() and c.idle()), None)
        if idle is not None:
            idle.shut()
            return True
        stalled = next((c for c in self.connections if c is not newest and c.stalled()), None)
        if stalled is not None:
            stalled.end_with(NOT_IN_TIME)
        return stalled is not None

    def _shed(self) -> None:
        """Fewer descriptors than was told: leave some to the calls to discovery and to servers."""
        self.budget = max(self.least_budget, self.budget - SHED)
        self._cut_lingering()
        while len(self.connections) > self._most_open() and self._shut_one():
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
            self.looking = asyncio.get_running_loop().call_later(LOOK, self._look)

    def _look(self) -> None:
        self.looking = None
        open_still = (c for c in self.unread if not c.transport.is_closing())
        self.unread = [c for c in open_still if not c.transport.is_reading()]
        for connection in all_ended(self.unread):
            connection.leave()
        if self.unread:
            self.looking = asyncio.get_running_loop().call_later(LOOK, self._look)

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
                        if connection.idle():
                            connection.shut()
                    await self.changed.wait()
