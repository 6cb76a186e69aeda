"""Client connections, which speak RESP2: pipelined commands, ordered responses and a lingering close."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from functools import partial
from typing import Protocol

import hiredis

from brackenwalk.net.command import CommandError, read_command
from brackenwalk.net.command_buffer import CommandBuffer
from brackenwalk.net.host import ERR_FAILED, Host
from brackenwalk.net.memory import ByteCount
from brackenwalk.net.pool import poll_socket, readable
from brackenwalk.net.resp import INCOMPLETE
from brackenwalk.net.responses import ResponseQueue, Slot

MAX_PIPELINED = 32  # commands of one connection that wait for their responses
# Limit on the commands that one connection may process in one turn of the event loop. Without it a client
# that sends hundreds at once delays the responses to all others, and every timer that is due in that turn.
MAX_COMMANDS_PER_TURN = 32
# Time for a client to send its first valid command. Without one, an error line or a close is due within 3 s.
FIRST_COMMAND_TIMEOUT_S = 2.5
LINGER_S = 1.0  # time for a client to close a connection that the router has half-closed
LINGER_UNSENT_S = 10.0  # the same for a client that has not yet read all its responses
LINGER_READ_BYTES = 1 << 20  # limit on the bytes read and discarded while lingering
COMMAND_TIMEOUT_S = 10.0  # time from the first to the last byte of a further command
READ_BYTES = 16 * 1024  # limit on the bytes read from a client at once
MAX_READS_PER_CHECK = 512  # before an attempt; more than there is room for at the highest limit on memory
# Limit on the bytes that one connection may parse in one turn, exceeded by at most one command.
MAX_PARSED_BYTES_PER_TURN = 16 * 1024
# Between two batches of refusals for one connection. Its client sends faster than the router takes, and work
# for it at full speed would delay all others.
REFUSAL_INTERVAL_S = 0.025
SMALL_RESPONSE_BYTES = 256  # refusals and errors, which are always held until the client reads them
# Time since the latest whole command for which a connection is kept, where others need its room.
MIN_COMMAND_TIME_S = 0.25
ERR_COMMAND_TIMEOUT = "-ERR no command came in time"
BUSY = b"-BUSY\r\n"
ERR_INPUT_MEMORY = "-ERR too many unfinished commands, this one has been dropped"
log = logging.getLogger(__name__)


class ConnectionRegistry(Protocol):
    """Holds the connections of all clients, which report changes of their state to it."""

    connections: dict[ClientConnection, None]
    lingering: dict[ClientConnection, None]
    unread: dict[ClientConnection, None]  # those that may have unsent responses
    receive_buffer: bytearray  # for reading from any one of them
    input_count: ByteCount  # bytes received from all of them that are no whole command yet
    read_ahead_count: ByteCount  # the same, beyond the bytes of one read of each connection

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection has no response outstanding."""

    def start_lingering(self, connection: ClientConnection) -> None:
        """Record that the router has half-closed a connection and the client has not closed it yet."""

    def watch_for_disconnect(self, connection: ClientConnection) -> None:
        """Start polling for a disconnect of a client while reading from it is paused."""

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

    def free_input(self) -> None:
        """Drop unfinished commands until the rest is within the limit on their bytes."""

    def has_room_for_response(self, size: int, queued: bool) -> bool:
        """Return whether another response of `size` bytes may wait; `queued` is one that others precede."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection: parses its commands and sends the responses in the order of the commands.

    The close of a client can only be seen once the bytes before it have been read. So a connection is read
    from as long as it has an open request: commands above the pipeline limit wait within a limit on their
    bytes, and are refused beyond it. Before each attempt it is read to the end of what has arrived.
    """

    def __init__(self, host: Host, registry: ConnectionRegistry, client_socket: socket.socket) -> None:
        self.host = host
        self.registry = registry
        self.socket = client_socket  # of the transport, for reading between its events
        self.input = CommandBuffer()
        self.counted_input = 0  # bytes of it that the registry has counted
        self.counted_read_ahead = 0
        self.written_bytes = 0  # of responses, passed to the transport
        self.unsent_timer: asyncio.TimerHandle | None = None
        self.resume_handle: asyncio.Handle | None = None  # scheduled call that processes deferred commands
        self.refusal_timer: asyncio.TimerHandle | None = None
        self.last_received_at = 0.0  # loop time
        self.last_command_at = 0.0  # loop time of the latest whole command, at first of the connection
        self.used = False  # whether a whole command has come
        self.responses = ResponseQueue()
        self.reading = True
        self.writable = True
        self.closing = False  # no further commands are accepted
        self.linger_timer: asyncio.TimerHandle | None = None
        self.discarded_bytes = 0  # received after the router's half-close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the timer for its first command."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.registry.connections[self] = None
        loop = asyncio.get_running_loop()
        self.last_command_at = loop.time()
        self.command_timer: asyncio.TimerHandle | None = loop.call_later(
            FIRST_COMMAND_TIMEOUT_S, self.close_with_error, ERR_COMMAND_TIMEOUT
        )

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read, which all connections share."""
        return self.registry.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Buffer and process commands; discard all input while the connection closes."""
        # A command that crosses the half-close is discarded: its client sees the end of the stream and can
        # send it again on another connection.
        if self in self.registry.lingering:
            self.discarded_bytes += nbytes
            if self.discarded_bytes > LINGER_READ_BYTES:
                self.abort()
            return
        if self._find_disconnect():  # nobody waits for responses to commands sent just before a disconnect
            return
        self._add_input(nbytes)
        if not self.closing:
            self._process_commands()

    def _add_input(self, size: int) -> None:
        """Keep bytes of the receive buffer, unless the connection closes and reads only to detect a close."""
        if self.closing:
            return
        self.input.add(memoryview(self.registry.receive_buffer)[:size])
        self.last_received_at = asyncio.get_running_loop().time()
        self._count_input()

    def _process_commands(self, may_refuse: bool = False) -> None:
        """Process received commands, up to the limit for one connection in one turn of the event loop.

        With `may_refuse`, refuse those that wait if there is no room for the bytes behind them.
        """
        try:
            more = self._process_batch(may_refuse)
        except Exception:
            # An error here ends this connection and its requests, and no others. Raised in a deferred call it
            # would otherwise leave the connection open, with requests that never get a response.
            log.exception("client connection failed and is closed: please report this trace")
            self.transport.abort()
            return
        if more:
            self._schedule_resume()
        if self.refusal_timer is None and self._is_blocked():
            loop = asyncio.get_running_loop()
            self.refusal_timer = loop.call_later(REFUSAL_INTERVAL_S, self._refuse_waiting)
        self._update_reading()
        self._count_input()
        if self.registry.input_count.exceeded():
            self.registry.free_input()
        if self.is_unfinished() and self.command_timer is None:
            loop = asyncio.get_running_loop()
            self.command_timer = loop.call_later(COMMAND_TIMEOUT_S, self._on_command_timeout)

    def _count_input(self) -> None:
        """Report the bytes that wait to become commands."""
        read_ahead = max(0, len(self.input.unparsed) - READ_BYTES)
        held = len(self.input) - read_ahead
        self.registry.input_count.change(held - self.counted_input)
        self.counted_input = held
        self.registry.read_ahead_count.change(read_ahead - self.counted_read_ahead)
        self.counted_read_ahead = read_ahead

    def is_unfinished(self) -> bool:
        """Return whether it has received a part of a command and only waits for the rest."""
        waits = self.input.unfinished() and self.resume_handle is None
        return waits and self._accepts_commands() and not self.transport.is_closing()

    def _on_command_timeout(self) -> None:
        self.command_timer = None
        if self.is_unfinished():
            self.close_with_error(ERR_COMMAND_TIMEOUT)

    def _stop_command_timer(self) -> None:
        if self.command_timer is not None:
            self.command_timer.cancel()
            self.command_timer = None

    def _refuse_waiting(self) -> None:
        """Refuse some of the commands that wait, unless their client has disconnected in the meantime."""
        self.refusal_timer = None
        if not self._find_disconnect():
            self._process_commands(may_refuse=True)

    def _process_batch(self, may_refuse: bool) -> bool:
        """Process one turn's commands. Return whether more may be waiting that could be processed now."""
        blocked = self._is_blocked()
        if blocked and not (may_refuse and self._may_hold_refusals()):
            return False
        bytes_left = MAX_PARSED_BYTES_PER_TURN
        for _ in range(MAX_COMMANDS_PER_TURN):
            # A closing connection accepts nothing more: its client's disconnect would not be noticed again,
            # and the request would be processed until its deadline.
            if self.closing or self.transport.is_closing():
                return False
            if bytes_left <= 0 or self._is_blocked() != blocked or not (blocked or self._accepts_commands()):
                break
            unparsed = len(self.input.unparsed)
            try:
                parts = self.input.next_command()
            except (hiredis.ProtocolError, MemoryError) as e:
                self.close_with_error(f"-ERR {e}")
                return False
            bytes_left -= unparsed - len(self.input.unparsed)
            self._count_input()
            if parts is INCOMPLETE:
                if self.input.too_long():
                    self.close_with_error("-ERR command is too long")
                return False
            self._process_command(parts, refuse=blocked)
        return self._accepts_commands()

    def _has_room_to_read(self) -> bool:
        """Return whether bytes behind the commands that wait may be read."""
        return len(self.input.unparsed) < READ_BYTES or not self.registry.read_ahead_count.exceeded()

    def _is_blocked(self) -> bool:
        """Return whether the client has sent more than there is room for.

        Its close may be behind that, so that nothing may begin for it, and commands that wait are refused.
        """
        return not self._has_room_to_read() and readable(self.transport)

    def _may_hold_refusals(self) -> bool:
        """Return whether the refusals of one turn may wait for earlier responses."""
        size = MAX_COMMANDS_PER_TURN * SMALL_RESPONSE_BYTES
        return self.registry.has_room_for_response(size, queued=True)

    def _process_command(self, parts: object, refuse: bool) -> None:
        """Respond to a command, or pass it on unless it is to be refused."""
        self.last_command_at, self.used = asyncio.get_running_loop().time(), True
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            self._stop_command_timer()
            self._respond_at_once(b"+PONG\r\n" if self.host.ready() else b"-ERR no cache server is known\r\n")
            return
        try:
            command = read_command(parts)
        except CommandError as e:
            self._respond_at_once(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))
            return
        self._stop_command_timer()
        if refuse:
            self._respond_at_once(BUSY)
            return
        slot = self.responses.add_slot()
        slot.request_id = command.request_id.decode()
        respond = partial(self._respond, slot)
        if self.host.submit(command, respond, self.may_begin_attempt) is None:
            slot.request_id = None
            respond(b"-ERR this request id is in use\r\n")

    def _respond_at_once(self, response: bytes) -> None:
        """Respond to the latest command."""
        self.responses.add_response(response)
        self._send_responses()

    def _respond(self, slot: Slot, response: bytes) -> None:
        """Respond to the command of a slot."""
        self.responses.complete(slot, response if self._may_hold(slot, response) else ERR_FAILED)
        self._send_responses()

    def _send_responses(self) -> None:
        """Write the responses that are ready, and close the connection if that was the last thing to do."""
        for ready in self.responses.take_ready():
            self.written_bytes += len(ready)
            self.transport.write(ready)
        if self.unsent_bytes() and not self.transport.is_closing():
            self.registry.unread[self] = None
            self._watch_unsent()
        if not self.responses:
            self.registry.mark_idle(self)
        if self.closing and not self.responses:
            self.close_gracefully()
        elif len(self.input) or not self.reading:
            self._schedule_resume()

    def _may_hold(self, slot: Slot, response: bytes) -> bool:
        """Return whether a response may wait for its client, or for the responses before it."""
        if len(response) <= SMALL_RESPONSE_BYTES:
            return True
        queued = not self.responses.is_next(slot) or self.has_unsent()
        return self.registry.has_room_for_response(len(response), queued)

    def _watch_unsent(self) -> None:
        """Start a timer for a client that does not read, unless it reads or one is running."""
        if self.unsent_timer is None and self.has_unsent() and not self.transport.is_closing():
            loop, delivered = asyncio.get_running_loop(), self.written_bytes - self._buffered_bytes()
            self.unsent_timer = loop.call_later(self.host.unread_timeout, self._on_unread, delivered)

    def _on_unread(self, delivered_before: int) -> None:
        """Close the connection if its client has read nothing and the time of all its requests is over."""
        self.unsent_timer = None
        nothing_read = self.written_bytes - self._buffered_bytes() == delivered_before
        if nothing_read and self.has_unsent() and not self.responses:
            self.abort()
        else:
            self._watch_unsent()

    def close_with_error(self, error: str) -> None:
        """Send an error line and close the connection, as the start of the next command is unknown."""
        self.closing = True
        self.input.clear()
        self._count_input()
        self._respond_at_once(error.encode("ascii", "replace").replace(b"\r\n", b" ") + b"\r\n")

    def _accepts_commands(self) -> bool:
        """Return whether one more command may be processed now."""
        return not self.closing and self.writable and len(self.responses) < MAX_PIPELINED

    def _should_read(self) -> bool:
        """Return whether to read on, which bounds the memory that a client can use."""
        if self.closing:
            return True  # all is discarded, and the client's close is noticed
        if self._is_blocked():
            return False
        return bool(self.responses) or (self._accepts_commands() and self.resume_handle is None)

    def _update_reading(self) -> None:
        """Pause or resume reading."""
        if self in self.registry.lingering:
            return
        should_read = self._should_read()
        if should_read != self.reading and not self.transport.is_closing():
            self.reading = should_read
            (self.transport.resume_reading if should_read else self.transport.pause_reading)()
            if not should_read:
                self.registry.watch_for_disconnect(self)

    def _find_disconnect(self) -> bool:
        """Detect a disconnect of the client, even one that the event loop has not processed yet.

        Return whether the client has disconnected.
        """
        disconnected = not self.transport.is_closing() and bool(poll_socket(self.socket, select.POLLRDHUP))
        if disconnected:
            self.on_disconnect()
        return disconnected

    def may_begin_attempt(self) -> bool:
        """Return whether an attempt for the client may begin: it has certainly not disconnected.

        A close is seen only behind the bytes that were sent before it, so these are read first. If there is
        no room for all of them, the client may have gone, and nothing may begin for it.
        """
        if self.transport.is_closing():
            return False
        events = poll_socket(self.socket, select.POLLIN | select.POLLRDHUP)
        if events & ~select.POLLIN:
            self.on_disconnect()
            return False
        return not events or self._read_to_end()

    def _read_to_end(self) -> bool:
        """Read all that has arrived. Return whether that was possible and the client has not disconnected."""
        self._schedule_resume()  # processes what is read now
        for _ in range(MAX_READS_PER_CHECK):
            if not self.closing and not self._has_room_to_read():
                break
            try:
                size = self.socket.recv_into(self.registry.receive_buffer)
            except BlockingIOError:
                return True
            except OSError:  # the client has reset the connection
                size = 0
            if not size:
                self.on_disconnect()
                return False
            self._add_input(size)
        return not readable(self.transport)

    def _schedule_resume(self) -> None:
        """Schedule deferred commands for the next turn of the event loop, unless they already are."""
        if self.resume_handle is None:
            self.resume_handle = asyncio.get_running_loop().call_soon(self._resume)

    def _resume(self) -> None:
        """Process deferred commands, unless their client has disconnected in the meantime."""
        self.resume_handle = None
        if not self._find_disconnect():
            self._process_commands()

    def pause_writing(self) -> None:
        """Stop accepting commands while the client does not read its responses."""
        self.writable = False
        self._update_reading()

    def resume_writing(self) -> None:
        """Accept commands again, deferred ones first."""
        self.writable = True
        self._schedule_resume()

    def is_idle(self) -> bool:
        """Return whether no response is outstanding and no byte of a further command has arrived."""
        if self.responses or len(self.input) or self.transport.is_closing():
            return False
        return not readable(self.transport)

    def is_incomplete(self) -> bool:
        """Return whether no whole command has come for some time, and no request is open."""
        if self.responses or self.has_unsent() or self.transport.is_closing():
            return False
        waited = asyncio.get_running_loop().time() - self.last_command_at
        return waited > MIN_COMMAND_TIME_S and not readable(self.transport)

    def has_unsent(self) -> bool:
        """Return whether responses are still in the write buffer, as the client has not read them."""
        return self._buffered_bytes() > 0

    def _buffered_bytes(self) -> int:
        return self.transport.get_write_buffer_size()

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the client has not read or that wait for earlier ones."""
        return self.responses.waiting_bytes + self._buffered_bytes()

    def close_gracefully(self) -> None:
        """Half-close the connection once all is written, then discard input until the client closes it.

        Closing a socket with unread bytes makes the kernel send a reset, which can destroy the last response
        before the client reads it.
        """
        if self.transport.is_closing() or self in self.registry.lingering:
            return
        self.closing = True
        self._stop_command_timer()
        loop = asyncio.get_running_loop()
        self.linger_deadline, self.had_unsent = loop.time() + LINGER_UNSENT_S, self.has_unsent()
        self.linger_timer = loop.call_later(LINGER_S, self._on_linger_timeout)
        self.registry.start_lingering(self)
        try:
            self.transport.write_eof()
        except OSError:  # the client has reset the connection
            self.abort()
        else:
            self.reading = True
            self.transport.resume_reading()

    def _on_linger_timeout(self) -> None:
        loop = asyncio.get_running_loop()
        # The client gets a full interval after its last response, as the FIN may have been sent only now.
        had_unsent, self.had_unsent = self.had_unsent, self.has_unsent()
        if (had_unsent or self.had_unsent) and loop.time() < self.linger_deadline:
            self.linger_timer = loop.call_later(LINGER_S, self._on_linger_timeout)
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once, discarding unsent responses."""
        self.transport.abort()
        self.registry.remove(self)

    def eof_received(self) -> None:
        """Treat a half-close as a disconnect."""
        self.on_disconnect()

    def on_disconnect(self) -> None:
        """Abort the connection after a disconnect; a plain close would wait for unsent responses."""
        self.abort()
        self._abandon_requests()

    def _abandon_requests(self) -> None:
        for request_id in self.responses.take_open_requests():
            self.host.on_client_gone(request_id)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers and report the client's open requests as abandoned."""
        self.registry.remove(self)
        self._stop_command_timer()
        for timer in (self.linger_timer, self.unsent_timer, self.refusal_timer):
            if timer is not None:
                timer.cancel()
        self.input.clear()
        self._count_input()
        self._abandon_requests()
