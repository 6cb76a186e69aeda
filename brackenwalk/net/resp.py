"""A strict RESP2 parser that allocates memory only for bytes that have arrived."""

from __future__ import annotations

import re
from typing import Any

import hiredis

MAX_ELEMENTS = 16  # of an array: a command has at most five, a response three
MAX_LINE_BYTES = 4096  # only error lines come close
LINE_END = b"\r\n"
LINE_BREAK = re.compile(rb"[\r\n]")
LENGTH = re.compile(rb"-1|0|[1-9][0-9]{0,17}")  # only null has a sign
INTEGER = re.compile(rb"-?[0-9]{1,18}")
INCOMPLETE = object()
KEPT_BUFFER_BYTES = 16 * 1024  # of a parser between messages; a larger buffer is freed


class Reader:
    """Parses messages one after another, using no more memory than their bytes.

    `top_types` are the types that a message may have, `element_types` those of an array's elements, by their
    first byte (RESP2). hiredis allocates an array of the size in its header, which can take seconds to free,
    and skips the two bytes behind a bulk string unread; this class checks both before hiredis sees them.
    """

    def __init__(self, top_types: bytes = b"+-:$*", element_types: bytes = b"+-:$") -> None:
        self.parser = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.fed_bytes = 0  # since the parser's buffer was empty
        self.top_types = top_types
        self.nested_types = element_types
        self.line = b""  # received part of an incomplete line
        self.bulk_left = 0  # bytes of a bulk string not received yet
        self.line_end_left = b""  # the rest of the line end behind it
        self.elements_left = 0  # elements of an array not received yet
        self.error = ""

    def feed(self, data: bytes) -> None:
        """Parse bytes and ignore all after an error, which `gets` raises after the messages before it."""
        if self.error:
            return
        old_length, data, self.line = len(self.line), self.line + data, b""
        offset = 0
        while offset < len(data) and not self.error:
            if self.bulk_left or self.line_end_left:
                offset += self._skip_bulk(data, offset)
                continue
            end = LINE_BREAK.search(data, offset, offset + MAX_LINE_BYTES + 1)
            if end is None and len(data) - offset > MAX_LINE_BYTES:
                self.error = "line is too long"
            elif end is None or (end.end() == len(data) and data[end.start()] == LINE_END[0]):
                self.line = data[offset:]
                break
            elif not data.startswith(LINE_END, end.start()):
                self.error = "a line ends with CR LF and holds neither"
            else:
                self.error = self._read_header(data[offset : end.start()])
                offset = offset if self.error else end.start() + len(LINE_END)
        if self.error:
            data = data[: max(offset, old_length)]
        self.fed_bytes += len(data) - old_length
        self.parser.feed(data[old_length:])

    def _skip_bulk(self, data: bytes, offset: int) -> int:
        """Skip the received bytes of a bulk string and its line end, and return their number."""
        skipped = min(self.bulk_left, len(data) - offset)
        self.bulk_left -= skipped
        if not self.bulk_left:
            line_end = data[offset + skipped : offset + skipped + len(self.line_end_left)]
            if not self.line_end_left.startswith(line_end):
                # If the length in the header is wrong, a truncated or extended value would be served.
                self.error = "a bulk string ends with CR LF"
                return skipped
            self.line_end_left = self.line_end_left[len(line_end) :]
            skipped += len(line_end)
        return skipped

    def _read_header(self, line: bytes) -> str:
        """Update the state for a header line; return an error text, empty if the line is valid."""
        kind, value = line[:1], line[1:]
        if not kind or kind not in (self.nested_types if self.elements_left else self.top_types):
            return (
                "no message begins like this"
                if not self.elements_left
                else "no part of an array begins like this"
            )
        if kind in b"$*" and not LENGTH.fullmatch(value):
            return "a length is digits alone"
        if kind == b":" and not INTEGER.fullmatch(value):
            return "not a number"
        if kind == b"*":
            self.elements_left = max(0, int(value))
            return "too many parts" if self.elements_left > MAX_ELEMENTS else ""
        self.elements_left = max(0, self.elements_left - 1)
        if kind == b"$" and value != b"-1":
            self.bulk_left, self.line_end_left = int(value), LINE_END
        return ""

    def gets(self) -> Any:
        """Return the next message or `INCOMPLETE`. Raises `hiredis.ProtocolError` for malformed bytes."""
        message = self.parser.gets()
        if message is INCOMPLETE and self.error:
            raise hiredis.ProtocolError(self.error)
        if message is not INCOMPLETE and not self.parser.has_data():
            self._free_buffer()
        return message

    def _free_buffer(self) -> None:
        """Free the parser's buffer after long messages, as hiredis keeps it until the next one."""
        if self.fed_bytes > KEPT_BUFFER_BYTES:
            self.parser = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.fed_bytes = 0

    def buffered(self) -> int:
        """Return the number of received bytes that have not been returned in a message yet."""
        return self.parser.len() if self.parser.has_data() else 0

    def at_boundary(self) -> bool:
        """Return whether the next byte starts a new message."""
        return not self.error and not self.parser.has_data()
