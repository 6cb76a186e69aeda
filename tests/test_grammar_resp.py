"""RESP2 responses and commands: valid ones are read as they were built, all others are rejected.

The grammar is written here a second time, as regular expressions over whole messages.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Any

import hiredis
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenwalk.interface import Status
from brackenwalk.net.pool import AttemptResult, MalformedResponse, Pool
from brackenwalk.net.resp import INCOMPLETE, Reader
from brackenwalk.net.servers import CacheConnection
from tests.loopback import RouterHarness, ScriptedServer, command, run
from tests.test_net_host import error
from tests.test_net_pool import cache_attempts

NULL = b"$-1\r\n"
HEAD = re.compile(rb"\$(0|[1-9][0-9]*)\r\n")
ERROR = re.compile(rb"-([^\r\n]*)\r\n")


def bulk(value: bytes | None) -> bytes:
    return NULL if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


def array(parts: Sequence[bytes | None]) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(map(bulk, parts))


def bulks(text: bytes, count: int) -> tuple[list[bytes | None], bytes] | None:
    """Split `count` bulk strings or nulls off a text; None if the text begins otherwise."""
    parts: list[bytes | None] = []
    for _ in range(count):
        if text.startswith(NULL):
            parts.append(None)
            text = text[len(NULL) :]
            continue
        head = HEAD.match(text)
        if head is None:
            return None
        end = head.end() + int(head[1])
        if text[end : end + 2] != b"\r\n":
            return None
        parts.append(text[head.end() : end])
        text = text[end + 2 :]
    return parts, text


def response_of(text: bytes) -> AttemptResult | None:
    """Return the result of a complete response at the beginning of a text; None if there is none."""
    if text.startswith(b"*3\r\n"):
        parts = bulks(text[4:], 3)
        if parts is None:
            return None
        value = parts[0][0]
        return (Status.MISS, b"") if value is None else (Status.OK, value)
    error_line = ERROR.match(text)
    if error_line is None:
        return None
    word = error_line[1].split(b" ")[0]
    return {b"BUSY": (Status.BUSY, b""), b"ERR": (Status.ERROR, b"")}.get(word)


def pieces(text: bytes, cuts: set[int]) -> list[bytes]:
    ends = sorted(c % (len(text) + 1) for c in cuts)
    return [text[a:b] for a, b in zip([0, *ends], [*ends, len(text)], strict=True)]


def decode(parts: list[bytes]) -> AttemptResult | str:
    """Return the result that a cache server's connection decodes from a response in these pieces."""
    connection = CacheConnection(Pool(CacheConnection, 1, 1.0, 60.0), "127.0.0.1:1")
    for part in parts:
        try:
            response = connection.decode(part)
        except MalformedResponse:
            return "malformed"
        if response is not None:
            return response
    return "incomplete"


values = st.one_of(
    st.binary(max_size=40),
    st.sampled_from([b"\r\n", b"$3\r\nabc\r\n", b"*3\r\n", b"-BUSY\r\n", b"\r", b"\n", b"$-1\r\n"]),
)
optional = st.one_of(st.none(), values)
responses = st.one_of(
    st.tuples(optional, optional, optional).map(array),
    st.sampled_from(
        [b"-BUSY\r\n", b"-ERR failed\r\n", b"-ERR failed inflight=7\r\n", b"-BUSY inflight=9\r\n"]
    ),
)
cut = st.sets(st.integers(0, 400), max_size=6)
EXAMPLES = settings(deadline=None, derandomize=True, max_examples=300)


@EXAMPLES
@given(responses, cut)
def test_a_valid_response_split_anywhere_is_read_as_it_was_built(text: bytes, cuts: set[int]) -> None:
    assert decode(pieces(text, cuts)) == response_of(text)


@EXAMPLES
@given(responses, st.integers(0, 400), st.binary(min_size=0, max_size=2), st.integers(0, 2), cut)
def test_a_changed_response_is_read_by_the_grammar_or_fails(
    text: bytes, offset: int, inserted: bytes, removed: int, cuts: set[int]
) -> None:
    offset %= len(text)
    changed = text[:offset] + inserted + text[offset + removed :]
    received, expected = decode(pieces(changed, cuts)), response_of(changed)
    assert received == expected if expected is not None else received in ("malformed", "incomplete")


FIELDS = [
    (b"$5\r\n", b"$+5\r\n"),
    (b"$5\r\n", b"$-5\r\n"),
    (b"$5\r\n", b"$05\r\n"),
    (b"$5\r\n", b"$ 5\r\n"),
    (b"$5\r\n", b"$5 \r\n"),
    (b"$5\r\n", b"$5_0\r\n"),
    (b"$5\r\n", b"$4\r\n"),
    (b"$5\r\n", b"$5\n"),
    (b"$5\r\n", b"$5\r\r\n"),
    (b"$5\r\n", b"$\r\n"),
    (b"$5\r\n", "$\u0665\r\n".encode()),
    (b"$5\r\n", b"+5\r\n"),
    (b"$5\r\nvalue\r\n", b"+value\r\n"),
    (b"$5\r\nvalue\r\n", b":5\r\n"),
    (b"$5\r\nvalue\r\n", b"*-1\r\n"),
    (b"$5\r\nvalue\r\n", b"-ERR\r\n"),
    (b"value\r\n", b"value"),
    (b"value\r\n", b"value\n\r"),
    (b"value\r\n", b"valu\r\n\r\n"),
    (b"value\r\n", b"values\r\n"),
    (b"$-1\r\n", b"$-0\r\n"),
    (b"$-1\r\n", b"$-2\r\n"),
    (b"$-1\r\n", b"$-01\r\n"),
    (b"*3", b"*+3"),
    (b"*3", b"*03"),
    (b"*3", b"*-3"),
    (b"*3", b"*1"),
    (b"*3", b"*2"),
    (b"*3", b"*-1"),
    (b"*3", b"%3"),
]


@pytest.mark.parametrize("piece", [1, 2, 3, 99])
@pytest.mark.parametrize(("valid", "invalid"), FIELDS)
def test_a_response_with_an_invalid_field_is_not_served(valid: bytes, invalid: bytes, piece: int) -> None:
    text = array([b"value", b"hit", None]).replace(valid, invalid, 1)
    received = decode([text[i : i + piece] for i in range(0, len(text), piece)])
    assert received in ("malformed", "incomplete")


@pytest.mark.parametrize(
    "text", [b"-\r\n", b"-BUSYBODY\r\n", b"-NOPERM\r\n", b"-busy\r\n", b"+OK\r\n", b"$5\r\nvalue\r\n"]
)
def test_only_error_lines_of_the_protocol_are_responses(text: bytes) -> None:
    assert decode([text]) == "malformed"


@pytest.mark.parametrize("offset", range(1, len(b"value\r\n") + 1))
def test_a_value_without_its_line_end_is_not_served(offset: int) -> None:
    """`*3 $4 abcdef$-1` must not be read as `abcd`: hiredis skips two bytes after a bulk string unread."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(server)
            invalid = b"$5\r\nvalueXY$-1\r\n$-1\r\n"
            link.write(b"*3\r\n" + invalid[: 4 + offset])
            await link.writer.drain()
            link.write(invalid[4 + offset :])
            assert await attempts.result() == (Status.ERROR, b"")
            assert await link.wait_closed() and not attempts.pool.connections

    run(scenario)


# Commands


def read(parts: list[bytes]) -> list[Any]:
    """Return the messages that a client's connection reads, and "error" at the first that is invalid."""
    reader = Reader(element_types=b":-$")
    received: list[Any] = []
    for part in parts:
        reader.feed(part)
        while True:
            try:
                message = reader.gets()
            except hiredis.ProtocolError:
                return [*received, "error"]
            if message is INCOMPLETE:
                break
            received.append(message)
    return received


LINE = re.compile(rb"[+-][^\r\n]*\r\n|:(?:0|-?[1-9][0-9]{0,17})\r\n")


def split_simple(text: bytes, simple: bool) -> tuple[bytes | None, bytes] | None:
    """Split a message off a text that is not an array; the message is None unless it is a bulk string."""
    line = LINE.match(text)
    if line is not None and (simple or not text.startswith(b"+")):
        return None, text[line.end() :]
    parts = bulks(text, 1)
    return (parts[0][0], parts[1]) if parts is not None else None


def commands_of(text: bytes) -> list[list[bytes]]:
    """Return the arrays of bulk strings in a text, up to the first bytes that the grammar does not allow."""
    received: list[list[bytes]] = []
    while text:
        head = re.match(rb"\*(-1|0|[1-9][0-9]?)\r\n", text)
        if head is None:
            if (other := split_simple(text, simple=True)) is None:
                break
            text = other[1]
            continue
        text, parts = text[head.end() :], []
        for _ in range(max(0, int(head[1]))):
            if (part := split_simple(text, simple=False)) is None:
                return received
            parts.append(part[0])
            text = part[1]
        if parts and None not in parts:
            received.append([p for p in parts if p is not None])
    return received


commands = st.lists(st.lists(values, min_size=1, max_size=5).map(array), min_size=1, max_size=3).map(b"".join)


@EXAMPLES
@given(commands, cut)
def test_valid_commands_split_anywhere_are_read_as_they_were_built(text: bytes, cuts: set[int]) -> None:
    assert read(pieces(text, cuts)) == commands_of(text)


@EXAMPLES
@given(commands, st.integers(0, 600), st.binary(min_size=0, max_size=2), st.integers(0, 2), cut)
def test_changed_commands_are_read_by_the_grammar_or_fail(
    text: bytes, offset: int, inserted: bytes, removed: int, cuts: set[int]
) -> None:
    offset %= len(text)
    changed = text[:offset] + inserted + text[offset + removed :]
    lists = [m for m in read(pieces(changed, cuts)) if isinstance(m, list) and m]
    assert [m for m in lists if all(isinstance(p, bytes) for p in m)] == commands_of(changed)


@pytest.mark.parametrize(
    "invalid",
    [
        b"*1\r\n$4\r\nPINGXY",
        b"*1\r\n$4\r\nPING\n\n",
        b"*1\r\n$+4\r\nPING\r\n",
        b"*+1\r\n$4\r\nPING\r\n",
        b"*1\n$4\nPING\n",
        b"*1\r\n+PING\r\n",
        b"*1\r\n$4\r\r\nPING\r\n",
    ],
)
def test_an_invalid_command_gets_an_error_and_the_connection_is_closed(invalid: bytes) -> None:
    async def scenario() -> None:
        async with RouterHarness() as router:
            client = await router.client()
            client.write(command("PING") + invalid + command("PING"))
            assert await client.resp() == b"PONG"
            assert error(await client.resp()).startswith("ERR")
            assert await client.wait_closed()

    run(scenario)
