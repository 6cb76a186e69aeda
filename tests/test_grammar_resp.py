"""RESP2 to the letter, for answers and commands: what is good reads as it was made, the rest is no value.

The grammar is written down here once more, as regular expressions over whole messages.
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
from tests.loopback import Peer, Router, command, run
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
    """So many bulk strings or nulls and what is left behind them; None for a text that begins otherwise."""
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


def answer_of(text: bytes) -> AttemptResult | None:
    """What a whole answer at the beginning of a text means by PROTOCOL; None where there is none."""
    if text.startswith(b"*3\r\n"):
        read = bulks(text[4:], 3)
        if read is None:
            return None
        value = read[0][0]
        return (Status.MISS, b"") if value is None else (Status.OK, value)
    said = ERROR.match(text)
    if said is None:
        return None
    word = said[1].split(b" ")[0]
    return {b"BUSY": (Status.FULL, b""), b"ERR": (Status.ERROR, b"")}.get(word)


def pieces(text: bytes, cuts: set[int]) -> list[bytes]:
    ends = sorted(c % (len(text) + 1) for c in cuts)
    return [text[a:b] for a, b in zip([0, *ends], [*ends, len(text)], strict=True)]


def decoded(parts: list[bytes]) -> AttemptResult | str:
    """What a connection to a cache server makes of an answer that comes in these pieces."""
    connection = CacheConnection(Pool(CacheConnection, 1, 1.0, 60.0), "127.0.0.1:1")
    for part in parts:
        try:
            answer = connection.decode(part)
        except MalformedResponse:
            return "malformed"
        if answer is not None:
            return answer
    return "not yet"


values = st.one_of(
    st.binary(max_size=40),
    st.sampled_from([b"\r\n", b"$3\r\nabc\r\n", b"*3\r\n", b"-BUSY\r\n", b"\r", b"\n", b"$-1\r\n"]),
)
optional = st.one_of(st.none(), values)
answers = st.one_of(
    st.tuples(optional, optional, optional).map(array),
    st.sampled_from(
        [b"-BUSY\r\n", b"-ERR failed\r\n", b"-ERR failed inflight=7\r\n", b"-BUSY inflight=9\r\n"]
    ),
)
cut = st.sets(st.integers(0, 400), max_size=6)
quiet = settings(deadline=None, derandomize=True, max_examples=300)


@quiet
@given(answers, cut)
def test_a_good_answer_cut_anywhere_reads_as_it_was_made(text: bytes, cuts: set[int]) -> None:
    assert decoded(pieces(text, cuts)) == answer_of(text)


@quiet
@given(answers, st.integers(0, 400), st.binary(min_size=0, max_size=2), st.integers(0, 2), cut)
def test_an_answer_with_bytes_changed_reads_by_the_grammar_or_fails(
    text: bytes, at: int, put: bytes, away: int, cuts: set[int]
) -> None:
    at %= len(text)
    spoilt = text[:at] + put + text[at + away :]
    got, meant = decoded(pieces(spoilt, cuts)), answer_of(spoilt)
    assert got == meant if meant is not None else got in ("malformed", "not yet")


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
@pytest.mark.parametrize(("right", "wrong"), FIELDS)
def test_no_field_but_a_right_one_is_served(right: bytes, wrong: bytes, piece: int) -> None:
    text = array([b"value", b"hit", None]).replace(right, wrong, 1)
    got = decoded([text[i : i + piece] for i in range(0, len(text), piece)])
    assert got in ("malformed", "not yet")


@pytest.mark.parametrize(
    "text", [b"-\r\n", b"-BUSYBODY\r\n", b"-NOPERM\r\n", b"-busy\r\n", b"+OK\r\n", b"$5\r\nvalue\r\n"]
)
def test_no_line_but_those_of_the_protocol_is_an_answer(text: bytes) -> None:
    assert decoded([text]) == "malformed"


@pytest.mark.parametrize("at", range(1, len(b"value\r\n") + 1))
def test_a_value_without_its_line_end_is_not_served(at: int) -> None:
    """`*3 $4 abcdef$-1` was served as `abcd`: the two bytes after a bulk string were passed over unread."""

    async def scenario() -> None:
        async with Peer() as peer:
            ends = cache_attempts()
            link = await ends.start_and_receive(peer)
            spoilt = b"$5\r\nvalueXY$-1\r\n$-1\r\n"
            link.write(b"*3\r\n" + spoilt[: 4 + at])
            await link.writer.drain()
            link.write(spoilt[4 + at :])
            assert await ends.result() == (Status.ERROR, b"")
            assert await link.ended() and not ends.pool.connections

    run(scenario)


# commands


def taken(parts: list[bytes]) -> list[Any]:
    """The messages that a client's connection reads, and the fault that ends them, if there is one."""
    reader = Reader(element_types=b":-$")
    got: list[Any] = []
    for part in parts:
        reader.feed(part)
        while True:
            try:
                message = reader.gets()
            except hiredis.ProtocolError:
                return [*got, "fault"]
            if message is INCOMPLETE:
                break
            got.append(message)
    return got


LINE = re.compile(rb"[+-][^\r\n]*\r\n|:(?:0|-?[1-9][0-9]{0,17})\r\n")


def one_of(text: bytes, simple: bool) -> tuple[bytes | None, bytes] | None:
    """A message that is no array, None for one that is no bulk string, and what is left behind it."""
    line = LINE.match(text)
    if line is not None and (simple or not text.startswith(b"+")):
        return None, text[line.end() :]
    read = bulks(text, 1)
    return (read[0][0], read[1]) if read is not None else None


def commands_of(text: bytes) -> list[list[bytes]]:
    """The arrays of bulk strings in a text, as far as it is whole messages of the grammar."""
    got: list[list[bytes]] = []
    while text:
        head = re.match(rb"\*(-1|0|[1-9][0-9]?)\r\n", text)
        if head is None:
            if (other := one_of(text, simple=True)) is None:
                break
            text = other[1]
            continue
        text, parts = text[head.end() :], []
        for _ in range(max(0, int(head[1]))):
            if (part := one_of(text, simple=False)) is None:
                return got
            parts.append(part[0])
            text = part[1]
        if parts and None not in parts:
            got.append([p for p in parts if p is not None])
    return got


sent = st.lists(st.lists(values, min_size=1, max_size=5).map(array), min_size=1, max_size=3).map(b"".join)


@quiet
@given(sent, cut)
def test_good_commands_cut_anywhere_read_as_they_were_made(text: bytes, cuts: set[int]) -> None:
    assert taken(pieces(text, cuts)) == commands_of(text)


@quiet
@given(sent, st.integers(0, 600), st.binary(min_size=0, max_size=2), st.integers(0, 2), cut)
def test_commands_with_bytes_changed_read_by_the_grammar_or_fail(
    text: bytes, at: int, put: bytes, away: int, cuts: set[int]
) -> None:
    at %= len(text)
    spoilt = text[:at] + put + text[at + away :]
    lists = [m for m in taken(pieces(spoilt, cuts)) if isinstance(m, list) and m]
    assert [m for m in lists if all(isinstance(p, bytes) for p in m)] == commands_of(spoilt)


@pytest.mark.parametrize(
    "spoilt",
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
def test_a_command_that_breaks_the_grammar_gets_an_error_and_a_close(spoilt: bytes) -> None:
    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(command("PING") + spoilt + command("PING"))
            assert await client.resp() == b"PONG"
            assert error(await client.resp()).startswith("ERR")
            assert await client.ended()

    run(scenario)
