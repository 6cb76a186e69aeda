"""Attempts at cache servers and the origin: the outcome depends on whether the request may have run."""

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
from tests.loopback import HIT, MISS, Link, ScriptedServer, format_address, http, run

GET = Command(b"C.GET", b"k", b"r1", {"c": "read", "d": "900"}, 900)
HUGE = Command(b"C.SET", b"k", b"r1", {"c": "book", "d": "900"}, 900, b"x" * 32_000_000)
LONG = b"$70000\r\n" + b"x" * 70000


class AttemptRecorder:
    """Starts attempts and records their outcomes."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.results: asyncio.Queue[tuple[Status, bytes]] = asyncio.Queue()

    async def start_and_receive(self, server: ScriptedServer) -> Link:
        """Start an attempt and return the connection on which the server has received it."""
        self.start(server.address)
        link = await server.link()
        assert (await link.resp())[2] == b"r1"
        return link

    def start(self, address: str, command: Command = GET) -> Exchange:
        return self.pool.start(address, command, 0.5, lambda s, v: self.results.put_nowait((s, v)))

    async def result(self) -> tuple[Status, bytes]:
        return await self.results.get()


def cache_attempts(budget: int = 8, idle: float = 60.0, dial: float = 1.0) -> AttemptRecorder:
    return AttemptRecorder(Pool(CacheConnection, budget, dial, idle))


@pytest.mark.parametrize(
    ("response", "status", "value"),
    [
        (HIT, Status.OK, b"value"),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", Status.OK, b""),
        (MISS, Status.MISS, b""),
        (b"-BUSY\r\n", Status.BUSY, b""),
        (b"-ERR failed\r\n", Status.ERROR, b""),
        (b"-ERR failed inflight=7,queue=2\r\n", Status.ERROR, b""),
    ],
)
def test_responses_of_a_cache_server(response: bytes, status: Status, value: bytes) -> None:
    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            attempts.start(server.address)
            link = await server.link()
            *parts, info = await link.resp()
            assert parts == [b"C.GET", b"k", b"r1"]
            assert info.startswith(b"c=read,d=") and 0 < int(info[9:]) < 500  # less the time of the dial
            link.write(response)
            assert await attempts.result() == (status, value)
            await asyncio.sleep(2 * pools.REUSE_DELAY_S)
            attempts.start(server.address)  # on the same connection
            await link.resp()
            attempts.pool.close()

    run(scenario)


@pytest.mark.parametrize(
    "response",
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
def test_malformed_response_is_an_error_and_closes_its_connection(response: bytes) -> None:
    """The request may have run, and what follows could be taken for the response to a later request."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(server)
            link.write(response)
            assert await attempts.result() == (Status.ERROR, b"")
            assert await link.wait_closed() and not attempts.pool.connections

    run(scenario)


@pytest.mark.parametrize(
    "extra", [HIT, MISS, HIT[:1], HIT[:9], b"\r\n", b"-BUSY\r\n", b"*9\r\n", b"garbage", b"\x00"]
)
def test_bytes_after_a_response_close_the_connection(extra: bytes) -> None:
    """They would be taken for the response to the next request, which would get the value of another.

    The response before them is complete and is served whatever follows.
    """

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(server)
            link.write(HIT + extra)
            assert await attempts.result() == (Status.OK, b"value")
            assert await link.wait_closed() and not attempts.pool.idle

    run(scenario)


@pytest.mark.parametrize("extra", [HIT, HIT[:1], b"garbage", b"\x00"])
def test_bytes_within_the_reuse_delay_close_the_connection(extra: bytes) -> None:
    """A faulty second response comes up to 4 ms after the first and would be taken for the next one."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(server)
            link.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            link.write(extra)
            assert await link.wait_closed() and not attempts.pool.idle and not attempts.pool.connections

    run(scenario)


@pytest.mark.parametrize("ending", ["close", "reset"])
def test_break_after_the_last_byte_is_a_reset(ending: str) -> None:
    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            link = await attempts.start_and_receive(server)
            getattr(link, ending)()
            assert await attempts.result() == (Status.RESET, b"")

    run(scenario)


def test_break_before_the_last_byte_is_a_failed_connection() -> None:
    """Reported as a reset, an unsafe request could not be sent elsewhere, although it cannot have run."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            attempts.start(server.address, HUGE)
            link = await server.link()
            await link.reader.read(1)
            link.reset()
            assert await attempts.result() == (Status.CONNECT_FAILED, b"")

    run(scenario)


def test_break_after_a_request_written_in_parts_is_a_reset() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            attempts.start(server.address, HUGE)
            link = await server.link()
            assert len(await link.resp()) == 5
            link.reset()
            assert await attempts.result() == (Status.RESET, b"")

    run(scenario)


def test_refused_connection_is_a_failed_connection() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as server:
            address = server.address
        attempts = cache_attempts()
        attempts.start(address)
        assert await attempts.result() == (Status.CONNECT_FAILED, b"")
        assert not attempts.pool.connections

    run(scenario)


def test_dial_that_never_completes_times_out() -> None:
    """A host that is cut off sends no refusal. Without the timeout the request waits until its deadline."""

    async def scenario() -> None:
        with socket.socket() as full, socket.socket() as first:
            full.bind(("127.0.0.1", 0))
            full.listen(0)  # a backlog of one, which `first` takes; the next SYN gets no reply
            first.connect(full.getsockname())
            attempts = cache_attempts(dial=0.05)
            attempts.start(format_address(full.getsockname()))
            assert await attempts.result() == (Status.CONNECT_FAILED, b"")

    run(scenario)


def test_second_response_is_not_taken_for_that_to_the_next_request() -> None:
    """It comes milliseconds after the first, when the next request may already have been written."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            first = await attempts.start_and_receive(server)
            first.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            # On a new connection, as the first one may not be reused yet.
            second = await attempts.start_and_receive(server)
            first.write(HIT.replace(b"value", b"other"))
            assert await first.wait_closed() and attempts.results.empty()
            second.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            attempts.pool.close()

    run(scenario)


def test_time_left_sent_to_the_server_excludes_the_dial(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with ScriptedServer() as server:
            loop, attempts = asyncio.get_running_loop(), cache_attempts()
            connect = loop.create_connection

            async def slow(*args: Any) -> Any:
                await asyncio.sleep(0.1)
                return await connect(*args)

            monkeypatch.setattr(loop, "create_connection", slow)
            attempts.start(server.address)
            *_, info = await (await server.link()).resp()
            assert 0 < int(info.removeprefix(b"c=read,d=")) <= 400
            attempts.pool.close()

    run(scenario)


def test_idle_connection_that_was_closed_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request written to it would end as a reset, and an unsafe one would fail needlessly."""
    monkeypatch.setattr(pools, "REUSE_DELAY_S", 0.0)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            address = format_address(server.getsockname())
            attempts = cache_attempts()
            attempts.start(address)
            first, _ = await loop.sock_accept(server)
            await loop.sock_recv(first, 4096)
            await loop.sock_sendall(first, HIT)
            await attempts.result()
            first.close()  # the event loop has not polled since
            attempts.start(address)
            second, _ = await loop.sock_accept(server)
            await loop.sock_recv(second, 4096)
            await loop.sock_sendall(second, MISS)
            assert await attempts.result() == (Status.MISS, b"")
            second.close()

    run(scenario)


def test_idle_connection_is_closed_before_its_server_would() -> None:
    """A connection reused just as its server closes it loses the request written to it."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts(idle=pools.IDLE_MARGIN_S + 0.01)
            link = await attempts.start_and_receive(server)
            link.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            assert await link.wait_closed() and not attempts.pool.connections

    run(scenario)


def test_abandoning_closes_the_connection() -> None:
    """Otherwise the server would go on working, and its late response would meet the next request."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            exchange = attempts.start(server.address)
            link = await server.link()
            await link.resp()
            exchange.abandon()
            assert await link.wait_closed() and attempts.results.empty()

    run(scenario)


def test_abandoning_while_dialling_sends_nothing() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = cache_attempts()
            exchange = attempts.start(server.address)
            exchange.abandon()
            assert exchange.dial is not None
            await asyncio.wait([exchange.dial])
            attempts.start(server.address)
            link = await server.link()
            assert (await link.resp())[2] == b"r1"
            assert len(attempts.pool.connections) == 1 and attempts.results.empty()
            attempts.pool.close()

    run(scenario)


def test_connections_stay_within_the_budget() -> None:
    """Without a limit, a burst takes the descriptors of the listener, and no client can connect."""

    async def scenario() -> None:
        async with ScriptedServer() as one, ScriptedServer() as other:
            attempts = cache_attempts(budget=1)
            attempts.start(one.address)
            link = await one.link()
            await link.resp()
            attempts.start(other.address)
            assert await attempts.result() == (Status.CONNECT_FAILED, b"")
            link.write(HIT)
            assert await attempts.result() == (Status.OK, b"value")
            attempts.start(other.address)  # replaces an idle one
            assert await link.wait_closed()
            await (await other.link()).resp()
            attempts.pool.close()

    run(scenario)


async def start_at_origin(
    server: ScriptedServer, attempts: AttemptRecorder, command: Command = GET
) -> tuple[Link, str, dict[str, str], bytes]:
    attempts.start(server.address, command)
    link = await server.link()
    return link, *await link.http()


@pytest.mark.parametrize(
    ("response", "status", "value"),
    [
        (http("200 OK", b"value"), Status.OK, b"value"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nva\r\n0\r\n\r\n", Status.OK, b"va"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + http("200 OK", b"v"), Status.OK, b"v"),
        (http("500 Error"), Status.ERROR, b""),
        (http("503 Busy", b"", "Not-Started: 1"), Status.BUSY, b""),
        (http("504 Late", b"", "Not-Started: 1"), Status.BUSY, b""),
        (http("503 Busy"), Status.ERROR, b""),
        (http("503 Busy", b"", "Not-Started: 0", "Not-Started: 1"), Status.ERROR, b""),
        (http("500 Error", b"", "Not-Started: 1"), Status.ERROR, b""),
        (http("404 None"), Status.ERROR, b""),
        (b"HTTP/1.1 204 No Content\r\n\r\n", Status.ERROR, b""),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", Status.ERROR, b""),
    ],
)
def test_responses_of_the_origin(response: bytes, status: Status, value: bytes) -> None:
    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = AttemptRecorder(Pool(OriginConnection, 8, 1.0, 60.0))
            link, request_line, headers, _ = await start_at_origin(server, attempts)
            assert request_line == "GET /k HTTP/1.1"
            info = headers["request-info"]
            assert headers["request-id"] == "r1"
            assert info.startswith("c=read,d=") and 0 < int(info[9:]) < 500  # less the time of the dial
            link.write(response)
            assert await attempts.result() == (status, value)
            await asyncio.sleep(2 * pools.REUSE_DELAY_S)
            attempts.start(server.address)  # on the same connection
            await link.http()
            attempts.pool.close()

    run(scenario)


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (b"hello\r\n\r\n", Status.ERROR),
        (http("200 OK", b"x" * 70000), Status.ERROR),
        (http("200 OK", b"value", "Content-Length: 5"), Status.ERROR),
        (http("200 OK", b"5\r\nvalue\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nvalue", Status.ERROR),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nvalue\r\n0\r\n\r\n", Status.ERROR),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n" * 99 + http("200 OK", b"value"), Status.ERROR),
        (b"HTTP/1.1 204 No Content\r\n\r\nvalue", Status.ERROR),
        (http("200 OK", b"value") + b"more", Status.OK),  # the body ends at its length; the rest is ignored
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval", Status.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nvalue", Status.OK),  # the body ends with the connection
        (b"", Status.RESET),
    ],
)
def test_malformed_and_truncated_responses_of_the_origin(response: bytes, status: Status) -> None:
    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = AttemptRecorder(Pool(OriginConnection, 8, 1.0, 60.0))
            link, *_ = await start_at_origin(server, attempts)
            link.write(response)
            link.close()
            assert (await attempts.result())[0] is status
            assert await link.wait_closed() and not attempts.pool.idle

    run(scenario)


class CountingConnection(OriginConnection):
    """Counts the bytes it has read."""

    received_bytes = 0

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        super().data_received(data)


def close_with_reset(accepted: socket.socket) -> None:
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()


async def result_of_closed_response(data: bytes, reset: bool, one_turn: bool) -> tuple[Status, bytes]:
    """Return the result of an attempt at an origin that sends `data` and then closes or resets.

    With `one_turn` the event loop sees the end in the same turn as the data, else in a later one.
    """
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        attempts = AttemptRecorder(Pool(CountingConnection, 8, 1.0, 60.0))
        attempts.start(format_address(listener.getsockname()))
        accepted, _ = await loop.sock_accept(listener)
        request = b""
        while not request.endswith(b"\r\n\r\n"):
            request += await loop.sock_recv(accepted, 4096)
        (connection,) = attempts.pool.connections
        assert isinstance(connection, CountingConnection)
        accepted.sendall(data)
        while not one_turn and connection.received_bytes < len(data):
            await asyncio.sleep(0)
        if reset:
            close_with_reset(accepted)
        else:
            accepted.close()
        outcome = await attempts.result()
        attempts.pool.close()
        return outcome


HEAD = b"HTTP/1.1 200 OK\r\n"
UNBOUNDED = HEAD + b"Server-Load: inflight=7\r\n\r\n"
BOUNDED = [
    (http("200 OK", b"value"), b"value"),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nva\r\n3\r\nlue\r\n0\r\n\r\n", b"value"),
]
ONE_TURN = pytest.mark.parametrize("one_turn", [True, False], ids=["one turn", "two turns"])


@ONE_TURN
def test_body_without_a_length_ends_with_a_close_but_not_a_reset(one_turn: bool) -> None:
    """Otherwise a truncated value would be served as if it were complete."""

    async def scenario() -> None:
        for body in (b"", b"v", b"value", b"v" * 9000):
            data = UNBOUNDED + body
            assert await result_of_closed_response(data, reset=False, one_turn=one_turn) == (Status.OK, body)
            assert await result_of_closed_response(data, reset=True, one_turn=one_turn) == (Status.RESET, b"")

    run(scenario)


@ONE_TURN
@pytest.mark.parametrize("text", [UNBOUNDED + b"value", *(text for text, _ in BOUNDED)])
def test_reset_after_any_byte_is_a_reset(text: bytes, one_turn: bool) -> None:
    async def scenario() -> None:
        for size in range(len(text)):
            assert await result_of_closed_response(text[:size], reset=True, one_turn=one_turn) == (
                Status.RESET,
                b"",
            )

    run(scenario)


@ONE_TURN
@pytest.mark.parametrize(("text", "body"), BOUNDED)
def test_close_before_the_end_of_the_body_is_a_reset(text: bytes, body: bytes, one_turn: bool) -> None:
    async def scenario() -> None:
        for size in range(len(text)):
            assert await result_of_closed_response(text[:size], reset=False, one_turn=one_turn) == (
                Status.RESET,
                b"",
            )
        assert await result_of_closed_response(text, reset=False, one_turn=one_turn) == (Status.OK, body)

    run(scenario)


@ONE_TURN
@pytest.mark.parametrize(("text", "body"), BOUNDED)
def test_complete_body_is_served_although_a_reset_follows(text: bytes, body: bytes, one_turn: bool) -> None:
    async def scenario() -> None:
        outcome = await result_of_closed_response(text, reset=True, one_turn=one_turn)
        # The kernel may report the reset before the bytes, but the body must never differ.
        assert outcome == (Status.OK, body) or (one_turn and outcome == (Status.RESET, b""))

    run(scenario)


@pytest.mark.parametrize("key", [b"a/../b", b"a?x=1", b"a b", b"a\r\nX: y", b"%2e", "ó".encode(), b"\xff#"])
def test_key_is_one_segment_of_the_path(key: bytes) -> None:
    """A key that contains another path would read or overwrite another object."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = AttemptRecorder(Pool(OriginConnection, 8, 1.0, 60.0))
            put = Command(b"C.SET", key, b"r1", {"d": "900"}, 900, b"slot")
            _, request_line, _, body = await start_at_origin(server, attempts, put)
            method, path, _ = request_line.split(" ")
            assert method == "PUT" and body == b"slot"
            assert not set(path[1:]) & set("/?# ") and path == "/" + "".join(
                chr(c) if chr(c).isalnum() and c < 128 or c in b"-._~" else f"%{c:02X}" for c in key
            )
            attempts.pool.close()

    run(scenario)


def test_request_that_cannot_be_encoded_ends_its_attempt_at_once() -> None:
    """Without an outcome, the attempt would hold its request until the deadline."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            attempts = AttemptRecorder(Pool(OriginConnection, 8, 1.0, 60.0))
            attempts.start(server.address, Command(b"C.GET", b"k", b"r1", {"x": "a\r\nb", "d": "9"}, 9))
            assert await attempts.result() == (Status.CONNECT_FAILED, b"")
            assert await (await server.link()).wait_closed() and not attempts.pool.connections

    run(scenario)
