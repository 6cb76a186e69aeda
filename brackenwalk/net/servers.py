"""Connections to cache servers, which speak RESP2."""

from __future__ import annotations

from typing import Any

import hiredis

from brackenwalk.interface import Status
from brackenwalk.net.command import MAX_VALUE_BYTES, Command
from brackenwalk.net.pool import AttemptResult, Connection, MalformedResponse, Pool
from brackenwalk.net.resp import INCOMPLETE, Reader

RESPONSE_PARTS = 3
MAX_RESPONSE_BYTES = MAX_VALUE_BYTES + 4096  # a value and its framing


class CacheConnection(Connection):
    """A connection to a cache server: one command and its response at a time."""

    def __init__(self, pool: Pool, address: str) -> None:
        super().__init__(pool, address)
        self.reader = Reader(top_types=b"*-", element_types=b"$")
        self.received_bytes = 0

    def encode(self, command: Command, time_left: float) -> bytes:
        """Return the command as an array of bulk strings, with the time left as its deadline."""
        self.received_bytes = 0
        parts: tuple[Any, ...] = (
            command.verb,
            command.key,
            command.request_id,
            command.encode_info(time_left),
        )
        if command.value is not None:
            parts += (command.value,)
        return bytes(hiredis.pack_command(parts))

    def decode(self, data: bytes) -> AttemptResult | None:
        """Map a complete response to its outcome: the value, a miss, `BUSY` or `ERR`."""
        self.received_bytes += len(data)
        if self.received_bytes > MAX_RESPONSE_BYTES:
            raise MalformedResponse("longer than the largest value with its framing")
        try:
            self.reader.feed(data)
            reply = self.reader.gets()
        except (hiredis.ProtocolError, MemoryError) as e:
            raise MalformedResponse(str(e)) from e
        if reply is INCOMPLETE:
            return None
        if isinstance(reply, hiredis.ReplyError):
            word = str(reply).split(" ")[0]
            if word not in ("BUSY", "ERR"):
                raise MalformedResponse(repr(reply)[:80])
            return (Status.BUSY if word == "BUSY" else Status.ERROR), b""
        # The value or receipt, the result, and the load report; each may be null.
        if not isinstance(reply, list) or len(reply) != RESPONSE_PARTS:
            raise MalformedResponse(repr(reply)[:80])
        return (Status.MISS, b"") if reply[0] is None else (Status.OK, reply[0])

    def reusable(self) -> bool:
        """Return whether no byte follows the response."""
        return self.reader.at_boundary()
