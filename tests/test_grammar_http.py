"""HTTP answers are read as RFC 9112 says, however they come, and all else is no answer."""

from __future__ import annotations

import contextlib

import pytest

from brackenwalk.net.http import MAX_FRAMING, MAX_INFORMATIONAL, HttpClient, HttpError, Response

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
MOST = 64 * 1024  # bytes of a body
ROOM = MAX_FRAMING - len(OK + b"X: \r\n\r\n")
PIECES = pytest.mark.parametrize("piece", [1, 7, 99999])


def asked() -> HttpClient:
    """A client that waits for its answer."""
    client = HttpClient("127.0.0.1:1", MOST)
    client.request("GET", "/k", [])
    return client


def read(client: HttpClient, text: bytes, piece: int = 99999, ended: bool = True) -> Response | None:
    """What a client makes of an answer in pieces of a size, with its connection's end or not."""
    for at in range(0, len(text), piece):
        if (response := client.receive(text[at : at + piece])) is not None:
            return response
    return client.receive(b"") if ended else None


def refused(text: bytes, piece: int) -> None:
    with pytest.raises(HttpError):
        read(asked(), text, piece)


@PIECES
@pytest.mark.parametrize(
    "text",
    [
        OK.replace(b"\r", b"") + b"Content-Length: 5\n\nvalue",
        OK + b"Content-Length: 5\n\nvalue",
        OK + b"Content-Length: 5\r\n\nvalue",
        OK + b"Content-Length: 5\n\r\n\r\nvalue",  # was read as another body
        OK + b"X: a\r\n Content-Length: 5\r\n\r\nvalue",  # was read as having no length
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
def test_text_that_is_not_of_the_grammar_is_no_answer(text: bytes, piece: int) -> None:
    """Who reads line ends or folds in another way than the sender finds another body."""
    refused(text, piece)


@PIECES
def test_a_head_has_a_bound_however_it_comes(piece: int) -> None:
    """One that came at once was read at any length."""
    head = OK + b"X: " + b"x" * ROOM + b"\r\n\r\n"
    response = read(asked(), head + b"value", piece)
    assert response is not None and response.body == b"value"
    refused(head.replace(b"x", b"xx", 1), piece)
    refused(CHUNKED + b"0\r\nX: " + b"x" * MAX_FRAMING + b"\r\n\r\n", piece)


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
def test_an_answer_tells_its_length_once_and_in_one_way(text: bytes, piece: int) -> None:
    """Whoever told it twice had two lengths in mind, or something on the way had."""
    refused(text, piece)


@PIECES
def test_only_so_many_informational_answers_are_skipped(piece: int) -> None:
    """A peer that sends them without end kept the router reading without an answer."""
    head, answer = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", OK + b"Content-Length: 5\r\n\r\nvalue"
    client = asked()
    for _ in range(2):  # the count is of one answer, not of the connection
        response = read(client, head * MAX_INFORMATIONAL + answer, piece, ended=False)
        assert response is not None and response.body == b"value" and client.reusable()
        client.request("GET", "/k", [])
    refused(head * (MAX_INFORMATIONAL + 1) + answer, piece)


def test_a_repeated_field_is_the_list_of_its_values() -> None:
    """The last alone was told: after `Not-Started: 0`, `Not-Started: 1` let a write be sent again."""
    response = read(asked(), OK + b"Not-Started: 0\r\nX: a\r\nnot-started: 1\r\nContent-Length: 0\r\n\r\n")
    assert response is not None and response.headers[b"not-started"] == b"0, 1"


@PIECES
@pytest.mark.parametrize("end", [b"Content-Length: 5\r\n\r\n", b"\r\n"])
def test_an_ended_connection_carries_no_more(end: bytes, piece: int) -> None:
    client = asked()
    response = read(client, OK + end + b"value", piece, ended=False)
    assert client.reusable() == (response is not None)
    with contextlib.suppress(HttpError):
        client.receive(b"")
    assert not client.reusable()
