"""Reads RESP2 to the letter and believes no length before it is borne out."""

from __future__ import annotations

import re
from typing import Any

import hiredis

MAX_PARTS = 16  # parts of an array: a command has five at most, an answer three
MAX_LINE_BYTES = 4096  # bytes; only error lines come near
LINE_END = b"\r\n"
BREAK = re.compile(rb"[\r\n]")
LENGTH = re.compile(rb"-1|0|[1-9][0-9]{0,17}")  # digits alone; the only sign is that of null
INTEGER = re.compile(rb"-?[0-9]{1,18}")
INCOMPLETE = object()


class Reader:
    """One message after another, none of them larger than its bytes.

    `top_types` are the types that a message may begin with, `element_types` those of an array's elements, by
    their first byte (RESP2). The parser sets an array's room aside on the word of its header, which can take
    seconds to free, and passes over the two bytes after a bulk string unread: both are checked before it sees
    them.
    """

    def __init__(self, top_types: bytes = b"+-:$*", element_types: bytes = b"+-:$") -> None:
        self.parser = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.top_types = top_types
        self.element_types = element_types
        self.line = b""  # one that has not come whole
        self.payload = 0  # bytes still to come of a bulk string
        self.line_end = b""  # what is still to come of the line end behind it
        self.parts = 0  # still to come of an array
        self.fault = ""

    def feed(self, data: bytes) -> None:
        """Take bytes; those from a fault on are passed over, and `gets` tells of it in its turn."""
        if self.fault:
            return
        known, data, self.line = len(self.line), self.line + data, b""
        at = 0
        while at < len(data) and not self.fault:
            if self.payload or self.line_end:
                at += self._bulk(data, at)
                continue
            end = BREAK.search(data, at, at + MAX_LINE_BYTES + 1)
            if end is None and len(data) - at > MAX_LINE_BYTES:
                self.fault = "line is too long"
            elif end is None or (end.end() == len(data) and data[end.start()] == LINE_END[0]):
                self.line = data[at:]
                break
            elif not data.startswith(LINE_END, end.start()):
                self.fault = "a line ends with CR LF and holds neither"
            else:
                self.fault = self._head(data[at : end.start()])
                at = at if self.fault else end.start() + len(LINE_END)
        if self.fault:
            data = data[: max(at, known)]
        self.parser.feed(data[known:])

    def _bulk(self, data: bytes, at: int) -> int:
        """Pass over what has come of a bulk string and its line end; answers with how much that is."""
        taken = min(self.payload, len(data) - at)
        self.payload -= taken
        if not self.payload:
            come = data[at + taken : at + taken + len(self.line_end)]
            if not self.line_end.startswith(come):
                # guards clients: a value would be served that ends where its length was a lie
                self.fault = "a bulk string ends with CR LF"
                return taken
            self.line_end = self.line_end[len(come) :]
            taken += len(come)
        return taken

    def _head(self, line: bytes) -> str:
        """Note what a line announces; answers with what is wrong with it."""
        kind, told = line[:1], line[1:]
        if not kind or kind not in (self.element_types if self.parts else self.top_types):
            return "no message begins like this" if not self.parts else "no part of an array begins like this"
        if kind in b"$*" and not LENGTH.fullmatch(told):
            return "a length is digits alone"
        if kind == b":" and not INTEGER.fullmatch(told):
            return "not a number"
        if kind == b"*":
            self.parts = max(0, int(told))
            return "too many parts" if self.parts > MAX_PARTS else ""
        self.parts = max(0, self.parts - 1)
        if kind == b"$" and told != b"-1":
            self.payload, self.line_end = int(told), LINE_END
        return ""

    def gets(self) -> Any:
        """The next message, or INCOMPLETE."""
        message = self.parser.gets()
        if message is INCOMPLETE and self.fault:
            raise hiredis.ProtocolError(self.fault)
        return message

    def held(self) -> int:
        """Bytes taken that no message has come of yet."""
        return self.parser.len() if self.parser.has_data() else 0

    def at_boundary(self) -> bool:
        """Whether the next byte begins a message."""
        return not self.fault and not self.parser.has_data()
