"""The received bytes of one client, from which its commands are taken one after another."""

from __future__ import annotations

from brackenwalk.net.command import MAX_INFO_BYTES, MAX_KEY_BYTES, MAX_VALUE_BYTES
from brackenwalk.net.resp import INCOMPLETE, Reader

# Limit on the bytes of an incomplete command.
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + MAX_KEY_BYTES + MAX_INFO_BYTES + 4096
PARSE_CHUNK_BYTES = 4096  # limit on the bytes parsed at once, so that no client delays others for long
# Simple strings are not allowed: hiredis returns one as bytes, indistinguishable from a bulk string.
ELEMENT_TYPES = b":-$"


class CommandBuffer:
    """Bytes that have been received and are no whole command yet, or whose command waits for its turn."""

    def __init__(self) -> None:
        self.reader = Reader(element_types=ELEMENT_TYPES)
        self.parsed_bytes = 0  # passed to the parser since the last complete command
        self.unparsed = bytearray()  # not passed to the parser yet

    def add(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        self.unparsed += data

    def next_command(self) -> object:
        """Return the next command's parts, or INCOMPLETE. Give the parser no more chunks than needed.

        Raises `hiredis.ProtocolError` for malformed bytes.
        """
        while (parts := self.reader.gets()) is INCOMPLETE and self.unparsed and not self.too_long():
            chunk = bytes(self.unparsed[:PARSE_CHUNK_BYTES])
            del self.unparsed[:PARSE_CHUNK_BYTES]
            self.parsed_bytes += len(chunk)
            self.reader.feed(chunk)
        if parts is not INCOMPLETE:
            self.parsed_bytes = self.reader.buffered()
        return parts

    def too_long(self) -> bool:
        """Return whether the command that has begun is over the limit on its bytes."""
        return self.parsed_bytes > MAX_COMMAND_BYTES

    def unfinished(self) -> bool:
        """Return whether a command has begun and no byte behind the parsed ones has been received."""
        return self.parsed_bytes > 0 and not self.unparsed

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self.parsed_bytes + len(self.unparsed)

    def clear(self) -> None:
        """Drop all bytes, and free the parser's buffer."""
        self.reader = Reader(element_types=ELEMENT_TYPES)
        self.parsed_bytes = 0
        self.unparsed = bytearray()
