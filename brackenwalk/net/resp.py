"""Reads RESP2 and believes no length before it is borne out."""

from __future__ import annotations

from typing import Any

import hiredis

MOST = 16  # parts of an array: a command has five at most, an answer three
LONGEST_LINE = 4096  # bytes; only error lines come near
NOT_YET = object()


class Reader:
    """One message after another, none of them larger than its bytes.

    The parser sets an array's room aside on the word of its header: a header of a dozen bytes can make it
    build a list that takes seconds to free. Headers are looked at here before it sees them.
    """

    def __init__(self) -> None:
        self.parser = hiredis.Reader(notEnoughData=NOT_YET)
        self.line = b""  # one that has not come whole
        self.skip = 0  # bytes still to come of a bulk string and its line end
        self.parts = 0  # still to come of an array
        self.fault = ""

    def feed(self, data: bytes) -> None:
        """Take bytes; those from a header on that promises too much are passed over."""
        if self.fault:
            return
        known, data, self.line = len(self.line), self.line + data, b""
        at, self.skip = self.skip, 0
        while at < len(data):
            end = data.find(b"\r\n", at)
            if end < 0 and len(data) - at <= LONGEST_LINE:
                self.line = data[at:]
                break
            long = end < 0 or end - at > LONGEST_LINE
            self.fault = "line is too long" if long else self._head(data[at:end])
            if self.fault:
                data = data[: max(at, known)]
                break
            at = end + 2 + self.skip
            self.skip = 0
        self.skip = max(0, at - len(data))
        self.parser.feed(data[known:])

    def _head(self, line: bytes) -> str:
        """Note what a line announces; answers with what is wrong with it."""
        kind, told = line[:1], line[1:]
        length = int(told) if told.isdigit() and len(told) < 20 else 0  # others hold nothing or are refused
        if kind in b"*%~>|" and kind:
            if self.parts or kind != b"*":
                return "no array is expected here"
            self.parts = length
            return "too many parts" if length > MOST else ""
        self.parts = max(0, self.parts - 1)
        if kind == b"$" and told != b"-1":
            self.skip = length + 2
        return ""

    def gets(self) -> Any:
        """The next message, or NOT_YET."""
        message = self.parser.gets()
        if message is NOT_YET and self.fault:
            raise hiredis.ProtocolError(self.fault)
        return message

    def held(self) -> int:
        """Bytes taken that no message has come of yet."""
        return self.parser.len() if self.parser.has_data() else 0

    def clear(self) -> bool:
        """Whether the next byte begins a message."""
        return not self.fault and not self.parser.has_data()
