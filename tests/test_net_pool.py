"""Attempts on cache servers and the origin: outcomes turn on whether the request may have run."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from brackenwalk.interface import Status
from brackenwalk.net import pool as pools
from brackenwalk.net.command import Command
from brackenwalk.net.origin import OriginConnection
from brackenwalk.net.pool import Exchange, Pool
from brackenwalk.net.servers import CacheConnection
from tests.loopback import HIT, MISS, Link, Peer, http, run, spelled

GET = Command(b"C.GET", b"k", b"r1", {"c": "read", "d": "900"}, 900)
HUGE = Command(b"C.SET", b"k", b"r1", {"c": "book", "d": "900"}, 900, b"x" * 32_000_000)
LONG = b"$70000\r\n" + b"x" * 70000


class AttemptRecorder:
    """Starts attempts and collects how they end."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.results: asyncio.Queue[tuple[Status, bytes]] = asyncio.Queue()

    async def start_and_receive(self, peer: Peer) -> Link:
        """An attempt that the peer has in hand."""
        self.start(peer.address)
        link = await peer.link()
        assert (await link.resp())[2] == b"r1"
        return link

    def start(self, address: str, command: Command = GET) -> Exchange:
        return self.pool.start(address, command, 0.5, lambda s, v: self.results.put_nowait((s, v)))

    async def result(self) -> tuple[Status, bytes]:
        return await self.results.get()


def cache_attempts(budget: int = 8, idle: float = 60.0, dial: float = 1.0) -> AttemptRecorder:
    return AttemptRecorder(Pool(CacheConnection, budget, dial, idle))


@pytest.mark.parametrize(
    ("answer", "status", "value"),
    [
        (HIT, Status.OK, b"value"),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", Status.OK, b""),
        (MISS, Status.MISS, b""),
        (b"-BUSY\r\n", Status.FULL, b""),
        (b"-ERR failed\r\n", Status.ERROR, b""),
        (b"-ERR failed inflight=7,queue=2\r\n", Status.ERROR, b""),
    ],
)
def test_answers_of_a_cache_server(answer: bytes, status: Status, value: bytes) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            attempts.start(peer.address)
            link = await peer.link()
            *parts, info = await link.resp()
            assert parts == [b"C.GET", b"k", b"r1"]
            assert info.startswith(b"c=read,d=") and 0 < int(info[9:]) < 500  # what the dial took is gone
            link.write(answer)
            assert await attempts.result() == (status, value)
            await asyncio.sleep(2 * pools.REUSE_DELAY_S)
            attempts.start(peer.address)  # and the connection is kept
            await link.resp()
            attempts.pool.close()

    run(scenario)


@pytest.mark.parametrize(
    "answer",
    [
        b"hello\r\n",
        b"*0\r\n",
        b":3\r\n",
        b"*1\r\n:3\r\n",
        LONG,
        b"*9999999999\r\n",
        b"*1000000000\r\n",
        b"*2\r\n*1000000000\r\n",
    ],
)
def test_a_malformed_answer_may_have_run_and_ends_its_connection(answer: bytes) -> None:
    """What follows on such a connection can't be told from the answer to a later request."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(peer)
            link.write(answer)
            assert await attempts.result() == (Status.ERROR, b"")
            assert await link.ended() and not attempts.pool.connections

    run(scenario)


@pytest.mark.parametrize(
    "more", [HIT, MISS, HIT[:1], HIT[:9], b"\r\n", b"-BUSY\r\n", b"*9\r\n", b"garbage", b"\x00"]
)
def test_more_than_an_answer_ends_the_connection(more: bytes) -> None:
    """The rest would be taken for the answer to the next request, which would get another's value.

    The answer before it is whole, and is served whatever follows.
    """

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(peer)
            link.write(HIT + more)
            assert await attempts.result() == (Status.OK, b"value")
            assert await link.ended() and not attempts.pool.idle

    run(scenario)


@pytest.mark.parametrize("more", [HIT, HIT[:1], b"garbage", b"\x00"])
def test_bytes_that_come_while_an_answered_connection_rests_end_it(more: bytes) -> None:
    """A second answer comes a few milliseconds after the first."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(peer)
            link.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            link.write(more)
            assert await link.ended() and not attempts.pool.idle and not attempts.pool.connections

    run(scenario)


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_break_after_the_last_byte_may_have_run(how: str) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(peer)
            getattr(link, how)()
            assert await attempts.result() == (Status.RESET, b"")

    run(scenario)


def test_a_break_before_the_last_byte_never_ran() -> None:
    """Counted as a reset, an unsafe request could not be tried elsewhere though it can't have run."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            attempts.start(peer.address, HUGE)
            link = await peer.link()
            await link.reader.read(1)
            link.reset()
            assert await attempts.result() == (Status.CONNECT_FAILED, b"")

    run(scenario)


def test_a_request_written_in_pieces_may_have_run_once_all_are() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            attempts.start(peer.address, HUGE)
            link = await peer.link()
            assert len(await link.resp()) == 5
            link.reset()
            assert await attempts.result() == (Status.RESET, b"")

    run(scenario)


def test_a_refused_connection_never_ran() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            address = peer.address
        attempts = cache_attempts()
        attempts.start(address)
        assert await attempts.result() == (Status.CONNECT_FAILED, b"")
        assert not attempts.pool.connections

    run(scenario)


def test_a_connection_that_never_comes_up_is_given_up() -> None:
    """A machine cut off says nothing: without a limit on dialling the request waits out its deadline."""

    async def scenario() -> None:
        with socket.socket() as full, socket.socket() as first:
            full.bind(("127.0.0.1", 0))
            full.listen(0)  # room for one, which `first` takes; the next gets no answer
            first.connect(full.getsockname())
            attempts = cache_attempts(dial=0.05)
            attempts.start(spelled(full.getsockname()))
            assert await attempts.result() == (Status.CONNECT_FAILED, b"")

    run(scenario)


def test_a_second_answer_is_not_taken_for_that_of_the_next_request() -> None:
    """It came milliseconds after the first, and the next request had been written by then."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            first = await attempts.start_and_receive(peer)
            first.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            second = await attempts.start_and_receive(peer)  # on a connection of its own: the first one rests
            first.write(HIT.replace(b"value", b"other"))
            assert await first.ended() and attempts.results.empty()
            second.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            attempts.pool.close()

    run(scenario)


def test_a_dial_counts_in_the_time_that_the_server_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            loop, attempts = asyncio.get_running_loop(), cache_attempts()
            connect = loop.create_connection

            async def slow(*args: Any) -> Any:
                await asyncio.sleep(0.1)
                return await connect(*args)

            monkeypatch.setattr(loop, "create_connection", slow)
            attempts.start(peer.address)
            *_, info = await (await peer.link()).resp()
            assert 0 < int(info.removeprefix(b"c=read,d=")) <= 400
            attempts.pool.close()

    run(scenario)


def test_a_kept_connection_that_was_closed_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request written to it would end as a reset, and an unsafe one would be failed for nothing."""
    monkeypatch.setattr(pools, "REUSE_DELAY_S", 0.0)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            address = spelled(server.getsockname())
            attempts = cache_attempts()
            attempts.start(address)
            first, _ = await loop.sock_accept(server)
            await loop.sock_recv(first, 4096)
            await loop.sock_sendall(first, HIT)
            await attempts.result()
            first.close()  # and the loop has not looked since
            attempts.start(address)
            second, _ = await loop.sock_accept(server)
            await loop.sock_recv(second, 4096)
            await loop.sock_sendall(second, MISS)
            assert await attempts.result() == (Status.MISS, b"")
            second.close()

    run(scenario)


def test_a_kept_connection_is_closed_before_its_server_would() -> None:
    """One used just as the server closes it loses the request that is written to it."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts(idle=pools.IDLE_MARGIN_S + 0.01)
            link = await attempts.start_and_receive(peer)
            link.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            assert await link.ended() and not attempts.pool.connections

    run(scenario)


def test_giving_up_closes_the_connection() -> None:
    """Left open, the server would go on working, and its late answer would meet the next request."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            exchange = attempts.start(peer.address)
            link = await peer.link()
            await link.resp()
            exchange.abandon()
            assert await link.ended() and attempts.results.empty()

    run(scenario)


def test_giving_up_while_dialling_sends_nothing() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = cache_attempts()
            exchange = attempts.start(peer.address)
            exchange.abandon()
            assert exchange.dial is not None
            await asyncio.wait([exchange.dial])
            attempts.start(peer.address)
            link = await peer.link()
            assert (await link.resp())[2] == b"r1"
            assert len(attempts.pool.connections) == 1 and attempts.results.empty()
            attempts.pool.close()

    run(scenario)


def test_connections_stay_within_their_budget() -> None:
    """Without it a burst takes the descriptors that clients need, and nobody can connect any more."""

    async def scenario() -> None:
        async with Peer() as one, Peer() as other:
            attempts = cache_attempts(budget=1)
            attempts.start(one.address)
            link = await one.link()
            await link.resp()
            attempts.start(other.address)
            assert await attempts.result() == (Status.CONNECT_FAILED, b"")
            link.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            attempts.start(other.address)  # an idle one makes room
            assert await link.ended()
            await (await other.link()).resp()
            attempts.pool.close()

    run(scenario)


async def asked(
    peer: Peer, attempts: AttemptRecorder, command: Command = GET
) -> tuple[Link, str, dict[str, str], bytes]:
    attempts.start(peer.address, command)
    link = await peer.link()
    return link, *await link.http()


@pytest.mark.parametrize(
    ("answer", "status", "value"),
    [
        (http("200 OK", b"value"), Status.OK, b"value"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nva\r\n0\r\n\r\n", Status.OK, b"va"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + http("200 OK", b"v"), Status.OK, b"v"),
        (http("500 Error"), Status.ERROR, b""),
        (http("503 Busy", b"", "Not-Started: 1"), Status.FULL, b""),
        (http("504 Late", b"", "Not-Started: 1"), Status.FULL, b""),
        (http("503 Busy"), Status.ERROR, b""),
        (http("503 Busy", b"", "Not-Started: 0", "Not-Started: 1"), Status.ERROR, b""),
        (http("500 Error", b"", "Not-Started: 1"), Status.ERROR, b""),
        (http("404 None"), Status.ERROR, b""),
        (b"HTTP/1.1 204 No Content\r\n\r\n", Status.ERROR, b""),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", Status.ERROR, b""),
    ],
)
def test_answers_of_the_origin(answer: bytes, status: Status, value: bytes) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = AttemptRecorder(Pool(OriginConnection, 8, 1.0, 60.0))
            link, first, headers, _ = await asked(peer, attempts)
            assert first == "GET /k HTTP/1.1"
            info = headers["request-info"]
            assert headers["request-id"] == "r1"
            assert info.startswith("c=read,d=") and 0 < int(info[9:]) < 500  # what the dial took is gone
            link.write(answer)
            assert await attempts.result() == (status, value)
            await asyncio.sleep(2 * pools.REUSE_DELAY_S)
            attempts.start(peer.address)  # and the connection is kept
            await link.http()
            attempts.pool.close()

    run(scenario)


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (b"hello\r\n\r\n", Status.ERROR),
        (http("200 OK", b"x" * 70000), Status.ERROR),
        (http("200 OK", b"value", "Content-Length: 5"), Status.ERROR),
        (http("200 OK", b"5\r\nvalue\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nvalue", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nvalue\r\n0\r\n\r\n", Status.ERROR),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n" * 99 + http("200 OK", b"value"), Status.ERROR),
        (b"HTTP/1.1 204 No Content\r\n\r\nvalue", Status.ERROR),
        (http("200 OK", b"value") + b"more", Status.OK),  # that of its length, and the rest is nobody's
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval", Status.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nvalue", Status.OK),  # its end is the connection's
        (b"", Status.RESET),
    ],
)
def test_malformed_and_broken_answers_of_the_origin(answer: bytes, status: Status) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            attempts = AttemptRecorder(Pool(OriginConnection, 8, 1.0, 60.0))
            link, *_ = await asked(peer, attempts)
            link.write(answer)
            link.close()
            assert (await attempts.result())[0] is status
            assert await link.ended() and not attempts.pool.idle

    run(scenario)


class Counting(OriginConnection):
    """Tells how much it has read."""

    got = 0

    def data_received(self, data: bytes) -> None:
        self.got += len(data)
        super().data_received(data)


def end_with_reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


async def ended_answer(data: bytes, reset: bool, one_turn: bool) -> tuple[Status, bytes]:
    """What becomes of bytes of the origin, and an end that the loop sees along with them or after them."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        attempts = AttemptRecorder(Pool(Counting, 8, 1.0, 60.0))
        attempts.start(spelled(server.getsockname()))
        peer, _ = await loop.sock_accept(server)
        request = b""
        while not request.endswith(b"\r\n\r\n"):
            request += await loop.sock_recv(peer, 4096)
        (connection,) = attempts.pool.connections
        assert isinstance(connection, Counting)
        peer.sendall(data)
        while not one_turn and connection.got < len(data):
            await asyncio.sleep(0)
        if reset:
            end_with_reset(peer)
        else:
            peer.close()
        end = await attempts.result()
        attempts.pool.close()
        return end


HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS = HEAD + b"Server-Load: inflight=7\r\n\r\n"
BOUNDED = [
    (http("200 OK", b"value"), b"value"),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nva\r\n3\r\nlue\r\n0\r\n\r\n", b"value"),
]
ONE_TURN = pytest.mark.parametrize("one_turn", [True, False], ids=["one turn", "two turns"])


@ONE_TURN
def test_a_body_without_a_length_ends_with_its_connection_and_not_with_a_reset(one_turn: bool) -> None:
    """A value cut short on its way would be served as if it were whole."""

    async def scenario() -> None:
        for body in (b"", b"v", b"value", b"v" * 9000):
            data = ENDLESS + body
            assert await ended_answer(data, reset=False, one_turn=one_turn) == (Status.OK, body)
            assert await ended_answer(data, reset=True, one_turn=one_turn) == (Status.RESET, b"")

    run(scenario)


@ONE_TURN
@pytest.mark.parametrize("text", [ENDLESS + b"value", *(text for text, _ in BOUNDED)])
def test_a_reset_is_no_end_at_any_byte(text: bytes, one_turn: bool) -> None:
    async def scenario() -> None:
        for size in range(len(text)):
            assert await ended_answer(text[:size], reset=True, one_turn=one_turn) == (Status.RESET, b"")

    run(scenario)


@ONE_TURN
@pytest.mark.parametrize(("text", "body"), BOUNDED)
def test_an_end_before_that_of_the_body_is_a_reset(text: bytes, body: bytes, one_turn: bool) -> None:
    async def scenario() -> None:
        for size in range(len(text)):
            assert await ended_answer(text[:size], reset=False, one_turn=one_turn) == (Status.RESET, b"")
        assert await ended_answer(text, reset=False, one_turn=one_turn) == (Status.OK, body)

    run(scenario)


@ONE_TURN
@pytest.mark.parametrize(("text", "body"), BOUNDED)
def test_a_whole_body_stands_though_a_reset_follows(text: bytes, body: bytes, one_turn: bool) -> None:
    async def scenario() -> None:
        end = await ended_answer(text, reset=True, one_turn=one_turn)
        # a kernel may tell of the reset before the bytes; it may not make another body of them
        assert end == (Status.OK, body) or (one_turn and end == (Status.RESET, b""))

    run(scenario)


@pytest.mark.parametrize("key", [b"a/../b", b"a?x=1", b"a b", b"a\r\nX: y", b"%2e", "ó".encode(), b"\xff#"])
def test_a_key_stays_one_segment_of_the_path(key: bytes) -> None:
    """A key that spells another path would fetch, or overwrite, what nobody asked for."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = AttemptRecorder(Pool(OriginConnection, 8, 1.0, 60.0))
            put = Command(b"C.SET", key, b"r1", {"d": "900"}, 900, b"slot")
            _, first, _, body = await asked(peer, attempts, put)
            method, path, _ = first.split(" ")
            assert method == "PUT" and body == b"slot"
            assert not set(path[1:]) & set("/?# ") and path == "/" + "".join(
                chr(c) if chr(c).isalnum() and c < 128 or c in b"-._~" else f"%{c:02X}" for c in key
            )
            attempts.pool.close()

    run(scenario)


def test_a_request_that_cannot_be_spelled_ends_its_attempt_at_once() -> None:
    """Left without an outcome it would hold its request until the deadline."""

    async def scenario() -> None:
        async with Peer() as peer:
            attempts = AttemptRecorder(Pool(OriginConnection, 8, 1.0, 60.0))
            attempts.start(peer.address, Command(b"C.GET", b"k", b"r1", {"x": "a\r\nb", "d": "9"}, 9))
            assert await attempts.result() == (Status.CONNECT_FAILED, b"")
            assert await (await peer.link()).ended() and not attempts.pool.connections

    run(scenario)
