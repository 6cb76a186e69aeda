"""The RESP2 reader: messages split at any place, and headers that announce too much."""

from __future__ import annotations

import hiredis
import pytest

from brackenwalk.net.resp import INCOMPLETE, MAX_ELEMENTS, MAX_LINE_BYTES, Reader

MESSAGES = [
    (b"*2\r\n$3\r\nGET\r\n$9\r\n*9\r\n$9\r\n\r\r\n", [b"GET", b"*9\r\n$9\r\n\r"]),
    (b"*3\r\n$-1\r\n$0\r\n\r\n:7\r\n", [None, b"", 7]),
    (b"*0\r\n", []),
    (b"*-1\r\n", None),
    (b"$-1\r\n", None),
    (b"+OK\r\n", "OK"),
]


@pytest.mark.parametrize("piece", [1, 2, 3, 7, 4096])
def test_messages_are_read_alike_in_pieces_of_any_size(piece: int) -> None:
    text, reader, received = b"".join(t for t, _ in MESSAGES), Reader(), []
    for start in range(0, len(text), piece):
        reader.feed(text[start : start + piece])
        while (message := reader.gets()) is not INCOMPLETE:
            received.append(message.decode() if message == b"OK" else message)
    assert received == [m for _, m in MESSAGES] and reader.at_boundary()


@pytest.mark.parametrize(
    "header", [b"*%d\r\n" % (MAX_ELEMENTS + 1), b"*2\r\n*2\r\n", b"%5\r\n", b"+" + b"x" * 9999]
)
@pytest.mark.parametrize("piece", [1, 5, 99999])
def test_messages_before_a_bad_header_are_still_returned(header: bytes, piece: int) -> None:
    """An error is raised after the messages before it, and nothing after it is read."""
    text, reader, received = b"*1\r\n$4\r\nPING\r\n" + header + b"*1\r\n$4\r\nPING\r\n", Reader(), []
    with pytest.raises(hiredis.ProtocolError):
        for start in range(0, len(text), piece):
            reader.feed(text[start : start + piece])
            while (message := reader.gets()) is not INCOMPLETE:
                received.append(message)
    assert received == [[b"PING"]] and not reader.at_boundary()


def test_a_line_without_an_end_is_not_buffered() -> None:
    reader = Reader()
    for _ in range(3 * MAX_LINE_BYTES):
        reader.feed(b"x")
    assert len(reader.line) <= MAX_LINE_BYTES and reader.error
