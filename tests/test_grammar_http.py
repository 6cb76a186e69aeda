"""HTTP responses are read as RFC 9112 says, in pieces of any size, and everything else is rejected.

`Reference` implements the RFC a second time: it reads a whole text byte by byte, and shares only limits with
the code under test.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenwalk import interface as api
from brackenwalk.net.discovery import DiscoveryClient
from brackenwalk.net.http import MAX_FRAMING_BYTES, MAX_INFORMATIONAL, HttpClient, HttpError, Response
from tests.loopback import format_address, run

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_BODY = 64 * 1024  # bytes
MAX_FIELD = MAX_FRAMING_BYTES - len(OK + b"X: \r\n\r\n")
PIECES = pytest.mark.parametrize("piece", [1, 7, 99999])


def waiting_client() -> HttpClient:
    """Return a client that waits for its response."""
    client = HttpClient("127.0.0.1:1", MAX_BODY)
    client.request("GET", "/k", [])
    return client


def read(client: HttpClient, text: bytes, piece: int = 99999, ended: bool = True) -> Response | None:
    """Feed a response to a client in pieces of a size, and the end of the connection if `ended`."""
    for offset in range(0, len(text), piece):
        if (response := client.receive(text[offset : offset + piece])) is not None:
            return response
    return client.receive(b"") if ended else None


def assert_rejected(text: bytes, piece: int) -> None:
    with pytest.raises(HttpError):
        read(waiting_client(), text, piece)


@PIECES
@pytest.mark.parametrize(
    "text",
    [
        OK.replace(b"\r", b"") + b"Content-Length: 5\n\nvalue",
        OK + b"Content-Length: 5\n\nvalue",
        OK + b"Content-Length: 5\r\n\nvalue",
        OK + b"Content-Length: 5\n\r\n\r\nvalue",  # h11 alone reads another body
        OK + b"X: a\r\n Content-Length: 5\r\n\r\nvalue",  # h11 alone finds no length
        OK + b"Content-Length: 5\r\nX: a\r\n\tb\r\n\r\nvalue",
        OK + b"Content-Length: 5\r\nX: a\x01b\r\n\r\nvalue",
        OK + b"Content-Length: 5\r\nX: a\x7f\r\n\r\nvalue",
        b"HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nvalue",
        b"HTTP/0.9 200 OK\r\nContent-Length: 5\r\n\r\nvalue",
        b"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nvalue",
        b"HTTP/1.1 200 O\x01K\r\nContent-Length: 5\r\n\r\nvalue",
        b"HTTP/1.1 100 C\n\n" + OK + b"Content-Length: 5\r\n\r\nvalue",
        CHUNKED + b"5 \r\nvalue\r\n0\r\n\r\n",
        CHUNKED + b"5;a b\r\nvalue\r\n0\r\n\r\n",
        CHUNKED + b"5;\r\nvalue\r\n0\r\n\r\n",
        CHUNKED + b"5;a\rb\r\nvalue\r\n0\r\n\r\n",
        CHUNKED + b'5;a="b\r\nvalue\r\n0\r\n\r\n',
        CHUNKED + b"5\r\nvalue\r\n0;=\r\n\r\n",
        CHUNKED + b"5\r\nvalue\r\n0\r\n\n",
        CHUNKED + b"5\r\nvalue\r\n0\r\nX: a\n\r\n",
        CHUNKED + b"5\r\nvalue\r\n0\r\nX: a\r\n b\r\n\r\n",
    ],
)
def test_text_outside_the_grammar_is_rejected(text: bytes, piece: int) -> None:
    """A reader that interprets line ends or folding differently from the sender finds another body."""
    assert_rejected(text, piece)


@PIECES
def test_a_head_is_limited_in_pieces_of_any_size(piece: int) -> None:
    """h11 alone accepts a head of any length that arrives in one piece."""
    head = OK + b"X: " + b"x" * MAX_FIELD + b"\r\n\r\n"
    response = read(waiting_client(), head + b"value", piece)
    assert response is not None and response.body == b"value"
    assert_rejected(head.replace(b"x", b"xx", 1), piece)
    assert_rejected(CHUNKED + b"0\r\nX: " + b"x" * MAX_FRAMING_BYTES + b"\r\n\r\n", piece)


@PIECES
@pytest.mark.parametrize(
    "text",
    [
        OK + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nvalue",
        OK + b"content-length: 5\r\nX: y\r\nCONTENT-LENGTH:5\r\n\r\nvalue",
        OK + b"Content-Length: 5, 5\r\n\r\nvalue",
        OK + b"Content-Length: 5\r\nContent-Length: 5, 5\r\n\r\nvalue",
        OK + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n",
        OK + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nvalue\r\n0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n",
        CHUNKED + b"5\r\nvalue\r\n0\r\nContent-Length: 5\r\n\r\n",
        CHUNKED + b"5\r\nvalue\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 100 C\r\nContent-Length: 5, 5\r\n\r\n" + OK + b"Content-Length: 5\r\n\r\nvalue",
    ],
)
def test_a_response_with_more_than_one_length_is_rejected(text: bytes, piece: int) -> None:
    """The sender or a proxy may use the other length: response smuggling."""
    assert_rejected(text, piece)


@PIECES
def test_the_number_of_informational_responses_is_limited(piece: int) -> None:
    """A server that sends them without end would keep the router reading without a final response."""
    head, final = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", OK + b"Content-Length: 5\r\n\r\nvalue"
    client = waiting_client()
    for _ in range(2):  # the limit is per response, not per connection
        response = read(client, head * MAX_INFORMATIONAL + final, piece, ended=False)
        assert response is not None and response.body == b"value" and client.reusable()
        client.request("GET", "/k", [])
    assert_rejected(head * (MAX_INFORMATIONAL + 1) + final, piece)


def test_values_of_a_repeated_field_are_joined() -> None:
    """If only the last counted, `Not-Started: 1` after `Not-Started: 0` would let a write be sent again."""
    response = read(
        waiting_client(), OK + b"Not-Started: 0\r\nX: a\r\nnot-started: 1\r\nContent-Length: 0\r\n\r\n"
    )
    assert response is not None and response.headers[b"not-started"] == b"0, 1"


@PIECES
@pytest.mark.parametrize("end", [b"Content-Length: 5\r\n\r\n", b"\r\n"])
def test_a_closed_connection_is_not_reused(end: bytes, piece: int) -> None:
    client = waiting_client()
    response = read(client, OK + end + b"value", piece, ended=False)
    assert client.reusable() == (response is not None)
    with contextlib.suppress(HttpError):
        client.receive(b"")
    assert not client.reusable()


@PIECES
@pytest.mark.parametrize(
    ("text", "status", "body", "reusable"),
    [
        (OK + b"Content-Length: 5\r\n\r\nvalue", 200, b"value", True),
        (OK + b"cOnTeNt-LeNgTh:\t 005 \t\r\nX:\r\nY: \xff\r\n\r\nvalue", 200, b"value", True),
        (b"HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nvalue", 200, b"value", True),
        (b"HTTP/1.2 200 O\tK \r\nContent-Length: 5\r\n\r\nvalue", 200, b"value", True),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nvalue", 200, b"value", False),
        (OK + b"Content-Length: 5\r\nConnection: x, Close\r\n\r\nvalue", 200, b"value", False),
        (OK + b"\r\nvalue\r\n\r\n", 200, b"value\r\n\r\n", False),
        (OK + b"\r\n", 200, b"", False),
        (OK + b"transfer-encoding: Chunked\r\n\r\n3\r\nval\r\n002\r\nue\r\n000\r\n\r\n", 200, b"value", True),
        (
            CHUNKED + b'A;a;b=c; d = "e\\"";f\r\n0\r\n\r\n0\r\n\r\n\r\n0;g=h\r\n\r\n',
            200,
            b"0\r\n\r\n0\r\n\r\n",
            True,
        ),
        (CHUNKED + b"5\r\nvalue\r\n0\r\nX: a\r\nY:\r\n\r\n", 200, b"value", True),
        (CHUNKED + b"0\r\n\r\n", 200, b"", True),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b"", True),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, b"", True),
        (b"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", 304, b"", True),
        (b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: a\r\n\r\n" + OK + b"\r\nv", 200, b"v", False),
        (b"HTTP/1.1 599 X\r\nContent-Length: 5\r\n\r\nvalue", 599, b"value", True),
    ],
)
def test_all_forms_of_a_response_are_accepted(
    text: bytes, status: int, body: bytes, reusable: bool, piece: int
) -> None:
    client = waiting_client()
    response = read(client, text, piece)
    assert response is not None and (response.status, response.body) == (status, body)
    assert client.reusable() == reusable


@PIECES
@pytest.mark.parametrize(
    "text",
    [
        *(
            OK + b"Content-Length: " + length + b"\r\n\r\nvalue"
            for length in (
                b"",
                b" +5",
                b" -5",
                b" 5 5",
                b" 0x5",
                b" 5.0",
                b" five",
                b" 5,",
                b" 6",
                b" \xb2",
                b"0" * 21,
            )
        ),
        OK + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nvalue1",
        OK + b"Content-Length : 5\r\n\r\nvalue",
        OK + b" Content-Length: 5\r\n\r\nvalue",
        OK + b"Content-Length: 5\r\n: a\r\n\r\nvalue",
        OK + b"Content-Length: 5\r\nX: a\rb\r\n\r\nvalue",
        OK + b"Content-Length: 5\r\nX: a\0b\r\n\r\nvalue",
        OK + b"Content-Length: 5\r\n",
        OK,
        b"",
        *(
            OK + b"Transfer-Encoding: " + coding + b"\r\n\r\n5\r\nvalue\r\n0\r\n\r\n"
            for coding in (
                b"",
                b" gzip",
                b" identity",
                b" gzip, chunked",
                b" chunked, chunked",
                b" chunked;q=1",
            )
        ),
        OK + b"Transfer-Encoding: chunked\r\n" + CHUNKED.removeprefix(OK) + b"5\r\nvalue\r\n0\r\n\r\n",
        *(
            CHUNKED + size + b"\r\nvalue\r\n0\r\n\r\n"
            for size in (
                b"",
                b"-5",
                b"+5",
                b"0x5",
                b" 5",
                b"five",
                b"5h",
                b"4",
                b"6",
                b"0",
                b"\xb2",
                b"0" * 21,
            )
        ),
        CHUNKED + b"5\nvalue\r\n0\r\n\r\n",
        CHUNKED + b"5\r\nvalue0\r\n\r\n",
        CHUNKED + b"5\r\nvalue\n\n0\r\n\r\n",
        CHUNKED + b"5\r\nvalue\r\n",
        CHUNKED + b"5\r\nvalue\r\n0\r\n",
        CHUNKED + b"5\r\nvalue\r\n0\r\nX y\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\n\r\n" + OK + b"\r\nvalue",
        b"HTTP/1.1 100 C\r\nContent-Length: 3\r\n\r\nabc" + OK + b"\r\nvalue",
        b"HTTP/1.1 100 C\r\n\r\n",
        b"\r\n" + OK + b"\r\nvalue",
        b"HTTP/1.1  200 OK\r\n\r\nvalue",
        b"HTTP/1.1 +20 OK\r\n\r\nvalue",
        b"HTTP/1.1 2000 OK\r\n\r\nvalue",
        b"HTTP/1.1 099 OK\r\n\r\nvalue",
        b"http/1.1 200 OK\r\n\r\nvalue",
    ],
)
def test_text_that_h11_rejects_stays_rejected(text: bytes, piece: int) -> None:
    """Detects a version of h11 that accepts one of these."""
    assert_rejected(text, piece)


@pytest.mark.parametrize(
    ("begin", "end"),
    [
        (OK + b"\r\n", b""),
        (OK + b"Content-Length: %d\r\n\r\n", b""),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n", b"\r\n0\r\n\r\n"),
    ],
)
def test_a_body_is_limited(begin: bytes, end: bytes) -> None:
    for size in (MAX_BODY, MAX_BODY + 1):
        head = begin % size if b"%" in begin else begin
        with contextlib.nullcontext() if size == MAX_BODY else pytest.raises(HttpError):
            response = read(waiting_client(), head + b"v" * size + end, 999)
            assert response is not None and len(response.body) == MAX_BODY


@pytest.mark.parametrize(
    ("text", "body"),
    [
        (OK + b"Content-Length: 5\r\n\r\nvalue", b"value"),
        (OK + b"Content-Length: 0\r\n\r\n", b""),
        (CHUNKED + b"5\r\nvalue\r\n0\r\n\r\n", b"value"),
        (b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", b""),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", b""),
    ],
)
@pytest.mark.parametrize("extra", [b"\n", b"value", OK + b"Content-Length: 5\r\n\r\nother", b"x" * 99999])
def test_bytes_after_a_response_are_not_part_of_it(text: bytes, body: bytes, extra: bytes) -> None:
    """The connection is not reused: the next response could not be told from the bytes left over."""
    client = waiting_client()
    response = read(client, text + extra, ended=False)
    assert response is not None and response.body == body and not client.reusable()


TEXT = {9, *range(0x20, 0x7F), *range(0x80, 0x100)}  # bytes allowed in the text of a line
TOKEN = set(b"!#$%&'*+-.^_`|~" + b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
DIGITS, HEX, SPACE = set(b"0123456789"), set(b"0123456789abcdefABCDEF"), set(b" \t")
LONGEST_NUMBER = 20  # digits; the RFC leaves the limit to the reader


class InvalidResponseError(Exception):
    """The text is not a complete response."""


def require(condition: bool) -> None:
    if not condition:
        raise InvalidResponseError


class Reference:
    """Reads one response from all the bytes that arrived."""

    def __init__(self, text: bytes, ended: bool) -> None:
        self.text = text
        self.ended = ended
        self.offset = 0

    def response(self) -> Response:
        """Return the response, and leave `offset` at its end."""
        for _ in range(MAX_INFORMATIONAL + 1):
            start = self.offset
            minor, status = self.status_line()
            fields = self.fields()
            require(self.offset - start <= MAX_FRAMING_BYTES)
            lengths = [v for n, v in fields if n == b"content-length"]
            codings = [v for n, v in fields if n == b"transfer-encoding"]
            require(len(lengths) + len(codings) <= 1)
            require(all(v and len(v) <= LONGEST_NUMBER and set(v) <= DIGITS for v in lengths))
            require(all(v == b"chunked" and minor for v in codings))
            require(status >= 100 and status != 101)
            if status >= 200:
                break
        require(status >= 200)
        if status in (204, 304):
            body = b""
        elif codings:
            body = self.chunks()
        elif lengths:
            body = self.take(int(lengths[0]))
        else:
            require(self.ended)
            body = self.take(len(self.text) - self.offset)
        require(len(body) <= MAX_BODY)
        return Response(status, {n: b", ".join(v for m, v in fields if m == n) for n, _ in fields}, body)

    def take(self, size: int) -> bytes:
        require(len(self.text) - self.offset >= size)
        self.offset += size
        return self.text[self.offset - size : self.offset]

    def line(self) -> bytes:
        end = self.text.find(b"\r\n", self.offset)
        require(end >= 0)
        line = self.take(end - self.offset)
        require(set(line) <= TEXT)
        self.take(2)
        return line

    def status_line(self) -> tuple[int, int]:
        line = self.line()
        require(len(line) >= 13 and line[:7] == b"HTTP/1." and line[8:9] == line[12:13] == b" ")
        require(set(line[7:8] + line[9:12]) <= DIGITS)
        return int(line[7:8]), int(line[9:12])

    def fields(self) -> list[tuple[bytes, bytes]]:
        fields = []
        while line := self.line():
            name, colon, value = line.partition(b":")
            require(bool(name and colon) and set(name) <= TOKEN)
            name, value = name.lower(), value.strip(b" \t")
            fields.append((name, value.lower() if name == b"transfer-encoding" else value))  # any case
        return fields

    def chunks(self) -> bytes:
        body = b""
        while True:
            start = self.offset
            size = self.chunk_size()
            if size == 0:
                break
            body += self.take(size)
            require(self.take(2) == b"\r\n")
        trailers = self.fields()
        require(self.offset - start <= MAX_FRAMING_BYTES)
        require(not any(n in (b"content-length", b"transfer-encoding") for n, _ in trailers))
        return body

    def chunk_size(self) -> int:
        line = self.line()
        digits = next((i for i, c in enumerate(line) if c not in HEX), len(line))
        require(0 < digits <= LONGEST_NUMBER)
        # The RFC allows white space before the semicolon, but tells senders not to write it; h11 rejects it.
        require(line[digits : digits + 1] in (b"", b";"))
        self.extensions(line[digits:])
        return int(line[:digits], 16)

    def extensions(self, line: bytes) -> None:
        while line:
            line = line.lstrip(b" \t")
            require(line[:1] == b";")
            line = self.word(line[1:].lstrip(b" \t"))
            if not line.lstrip(b" \t").startswith(b"="):
                continue
            line = line.lstrip(b" \t")[1:].lstrip(b" \t")
            line = self.quoted(line[1:]) if line[:1] == b'"' else self.word(line)

    @staticmethod
    def word(line: bytes) -> bytes:
        """Return the rest of the line after a token."""
        size = next((i for i, c in enumerate(line) if c not in TOKEN), len(line))
        require(size > 0)
        return line[size:]

    @staticmethod
    def quoted(line: bytes) -> bytes:
        """Return the rest after a quoted string, whose first quote has been read."""
        offset = 0
        while line[offset : offset + 1] != b'"':
            offset += 2 if line[offset : offset + 1] == b"\\" else 1
            require(offset < len(line))
        return line[offset + 1 :]


def reference(text: bytes, ended: bool) -> tuple[Response, bytes] | None:
    """Return the response and the bytes after it, or None if there is none."""
    reader = Reference(text, ended)
    try:
        return reader.response(), text[reader.offset :]
    except InvalidResponseError:
        return None


@dataclass
class Message:
    """A valid response as text and in parts."""

    text: bytes
    response: Response
    until_close: bool  # its body ends with the connection


BITS = [b"v", b"\r\n", b"0", b"0\r\n\r\n", b"\n", b"\r", b"HTTP/1.1 200 OK\r\n\r\n", b"\0", b"\xff"]
NAMES = st.sampled_from([b"X", b"x", b"Server-Load", b"Not-Started", b"!#$%&'*+-.^_`|~09az"])
VALUES = st.sampled_from([b"", b"1", b"a b\t,c", b"\xff\x80", b"util=0.61", b":;", b'"'])
SPACES = st.sampled_from([b"", b" ", b"\t ", b"  "])
EXTENSIONS = st.sampled_from([b"", b"", b";a", b";a=b", b'; a = "b;\\"\xff" ; c', b';a=""'])


@st.composite
def lines(draw: st.DrawFn) -> tuple[bytes, list[tuple[bytes, bytes]]]:
    """Header fields unrelated to the body: their text, and names with values."""
    fields = draw(st.lists(st.tuples(NAMES, SPACES, VALUES, SPACES), max_size=3))
    text = b"".join(n + b":" + a + v + z + b"\r\n" for n, a, v, z in fields)
    return text, [(n.lower(), v) for n, _, v, _ in fields]


@st.composite
def messages(draw: st.DrawFn) -> Message:
    text = b""
    for status in draw(st.lists(st.sampled_from([100, 102, 103, 199]), max_size=2)):
        text += b"HTTP/1.1 %d \r\n" % status + draw(lines())[0] + b"\r\n"
    status = draw(st.sampled_from([200, 200, 200, 201, 204, 304, 404, 500, 503]))
    form = draw(st.sampled_from(["length", "chunked", "end"]))
    body = b"" if status in (204, 304) else b"".join(draw(st.lists(st.sampled_from(BITS), max_size=8)))
    field, framed = b"", b""
    if form == "length":
        number = b"%d" % len(body) if status != 304 else b"7"
        number = number.zfill(draw(st.integers(1, 4)))
        field = draw(st.sampled_from([b"Content-Length:", b"content-lengtH: "])) + number
        framed, headers = body, [(b"content-length", number)]
    elif form == "chunked":
        field = draw(st.sampled_from([b"Transfer-Encoding: chunked", b"transfer-encoding:\tCHUNKED"]))
        headers = [(b"transfer-encoding", b"chunked")]
        offset = 0
        while offset < len(body):
            size = draw(st.integers(1, len(body) - offset))
            digits = draw(st.sampled_from([b"%x", b"%X", b"%04x"])) % size
            framed += digits + draw(EXTENSIONS) + b"\r\n" + body[offset : offset + size] + b"\r\n"
            offset += size
        framed += draw(st.sampled_from([b"0", b"000"])) + draw(EXTENSIONS) + b"\r\n"
        framed = framed + draw(lines())[0] + b"\r\n" if status not in (204, 304) else b""
    else:
        framed, headers = body, []
    minor = b"1" if form == "chunked" else draw(st.sampled_from([b"1", b"1", b"0", b"9"]))
    before, earlier = draw(lines())
    after, later = draw(lines())
    text += b"HTTP/1." + minor + b" %d " % status + draw(VALUES) + b"\r\n"
    text += before + (field + b"\r\n" if field else b"") + after + b"\r\n" + framed
    table: dict[bytes, bytes] = {}
    for name, value in (*earlier, *headers, *later):
        table[name] = table[name] + b", " + value if name in table else value
    return Message(text, Response(status, table, body), form == "end" and status not in (204, 304))


@st.composite
def changed(draw: st.DrawFn) -> bytes:
    """A valid response with one byte or line changed, cut short, or followed by more."""
    text = draw(messages()).text
    offset = draw(st.integers(0, len(text) - 1))
    byte = bytes([draw(st.sampled_from(BYTES))])
    begins = [i + 2 for i in range(len(text) - 1) if text[i : i + 2] == b"\r\n"]
    begin = draw(st.sampled_from(begins))
    change = draw(st.sampled_from(CHANGES))
    if change == "replace":
        return text[:offset] + byte + text[offset + 1 :]
    if change == "insert":
        return text[:offset] + byte + text[offset:]
    if change == "delete":
        return text[:offset] + text[offset + 1 :]
    if change == "add a line":
        return text[:begin] + draw(st.sampled_from(LINES)) + b"\r\n" + text[begin:]
    if change == "repeat a line":
        end = text.find(b"\r\n", begin)
        return text[:begin] + (text[begin : end + 2] if end >= 0 else text[begin:]) + text[begin:]
    return text[:offset] if change == "cut" else text + draw(st.sampled_from(BITS)) + text


CHANGES = ["replace", "insert", "delete", "add a line", "repeat a line", "cut", "append"]
BYTES = b'\r\n\t ;:,=+-0159aAfFgx"\\\0\x0b\x0c\x1c\x7f\x80\x85\xa0'
LINES = [
    *(b"Content-Length: " + v for v in (b"", b"0", b"1", b"+1", b"-1", b"1, 1", b"1 1", b"0x1", b"1" * 21)),
    *(b"Transfer-Encoding: " + v for v in (b"", b"chunked", b"gzip", b"gzip, chunked", b"chunked, chunked")),
    *(b" folded", b"\tContent-Length: 1", b"X : 1", b"X", b": 1", b"Connection: close", b"Not-Started: 1"),
    *(b"0", b"1", b"-1", b"+1", b"0x1", b"1;", b"1 ", b"1;a=", b"1" * 21, b"HTTP/1.1 100 C\r\n", b""),
]
CUTS = st.lists(st.integers(0, 400), max_size=6)
EXAMPLES = settings(max_examples=150, derandomize=True, deadline=None, database=None)


def pieces(text: bytes, cuts: list[int]) -> list[bytes]:
    """Split a text at several places, without empty pieces."""
    places = sorted({0, len(text), *(c % (len(text) + 1) for c in cuts)})
    return [text[a:z] for a, z in zip(places, places[1:], strict=False)]


@EXAMPLES
@given(messages(), CUTS)
def test_a_valid_response_split_anywhere_is_read_as_it_was_built(message: Message, cuts: list[int]) -> None:
    assert reference(message.text, ended=message.until_close) == (message.response, b"")
    client = waiting_client()
    *firsts, last = pieces(message.text, cuts)
    assert all(client.receive(p) is None for p in firsts)
    response = client.receive(last)
    if message.until_close:
        assert response is None
        response = client.receive(b"")
    assert response == message.response


@EXAMPLES
@given(changed(), CUTS, st.booleans())
def test_a_changed_response_is_read_by_the_grammar_or_fails(
    text: bytes, cuts: list[int], ended: bool
) -> None:
    """Unless `ended`, the bytes are all that arrives before a reset."""
    expected = reference(text, ended)
    client, response = waiting_client(), None
    with contextlib.suppress(HttpError):
        for piece in pieces(text, cuts):
            response = client.receive(piece)
            if response is not None:
                break
        else:
            response = client.receive(b"") if ended else None
    assert response == (expected and expected[0])


@EXAMPLES
@given(changed())
def test_a_connection_with_bytes_after_a_response_is_not_reused(text: bytes) -> None:
    client, response = waiting_client(), None
    with contextlib.suppress(HttpError):
        response = client.receive(text)
    whole = reference(text, ended=False)
    assert response == (whole and whole[0])
    assert response is None or whole is None or not (whole[1] and client.reusable())


@pytest.mark.parametrize("one_turn", [True, False], ids=["one turn", "two turns"])
@pytest.mark.parametrize("reset", [True, False], ids=["reset", "orderly"])
def test_a_list_without_a_length_ends_with_a_close_but_not_with_a_reset(reset: bool, one_turn: bool) -> None:
    """A list truncated by a reset could still be valid, with servers missing."""
    text = OK + b"\r\n" + b'{"index":7,"snapshot":true,"endpoints":[]}'

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        lists: asyncio.Queue[api.ListKind | None] = asyncio.Queue()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            address = format_address(server.getsockname())
            watch = DiscoveryClient(
                address, 0, lambda kind, _: lists.put_nowait(kind), lambda: lists.put_nowait(None)
            )
            watch.subscribe()
            accepted, _ = await loop.sock_accept(server)
            request = b""
            while not request.endswith(b"\r\n\r\n"):
                request += await loop.sock_recv(accepted, 4096)
            accepted.sendall(text)
            for _ in range(0 if one_turn else 99):  # turns of the loop, in which the bytes are read
                await asyncio.sleep(0)
            if reset:
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            assert await lists.get() == (None if reset else api.ListKind.FULL)
            watch.close()
            assert watch.watch_task is None or await asyncio.wait([watch.watch_task])

    run(scenario)
