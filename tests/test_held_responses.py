"""Limits on what cache servers and origins make the router hold: incomplete responses and kept buffers."""

from __future__ import annotations

import asyncio
import resource
from pathlib import Path

import pytest

from brackenwalk.interface import Status
from brackenwalk.net.command import MAX_VALUE_BYTES
from brackenwalk.net.http import HttpClient
from brackenwalk.net.origin import OriginConnection
from brackenwalk.net.pool import Connection, Pool
from brackenwalk.net.resp import Reader
from brackenwalk.net.servers import CacheConnection
from tests.loopback import ScriptedServer, http, run
from tests.test_net_pool import AttemptRecorder

LONG_VALUE = bytes(MAX_VALUE_BYTES)
LONG_HIT = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(LONG_VALUE), LONG_VALUE)
IDLE_READERS = 400  # connections to cache servers at 1,024 descriptors


def resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


@pytest.mark.parametrize(
    ("connection_type", "response"),
    [(CacheConnection, LONG_HIT[:-1]), (OriginConnection, http("200 OK", LONG_VALUE)[:-1])],
)
def test_incomplete_responses_are_bounded_in_bytes(
    connection_type: type[Connection], response: bytes
) -> None:
    """Guards against: servers that stop in the middle of long values fill the router's memory."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            pool = Pool(connection_type, 8, 1.0, 60.0, input_limit=2 * MAX_VALUE_BYTES)
            attempts = AttemptRecorder(pool)
            exchanges, links = [], []
            for held in (1, 2):
                exchanges.append(attempts.start(server.address))
                links.append(await server.link())
                links[-1].write(response)
                while pool.input_count.held < held * MAX_VALUE_BYTES and pool.connections:
                    await asyncio.sleep(0)
                    if not attempts.results.empty():
                        break
            assert await attempts.result() == (Status.ERROR, b"")  # it may have run
            assert len(pool.connections) == 1 and pool.input_count.held <= pool.input_count.limit
            links[0].write((LONG_HIT if connection_type is CacheConnection else LONG_VALUE)[-1:])
            assert await attempts.result() == (Status.OK, LONG_VALUE)
            assert pool.input_count.held == 0
            pool.close()

    run(scenario)


def test_abandoned_attempt_gives_its_bytes_back() -> None:
    """Guards against: bytes of attempts that timed out stay counted, and all later responses are dropped."""

    async def scenario() -> None:
        async with ScriptedServer() as server:
            pool = Pool(CacheConnection, 8, 1.0, 60.0)
            exchange = AttemptRecorder(pool).start(server.address)
            (await server.link()).write(LONG_HIT[:1000])
            while not pool.input_count.held:
                await asyncio.sleep(0)
            exchange.abandon()
            assert pool.input_count.held == 0
            pool.close()

    run(scenario)


def test_parsers_of_idle_connections_keep_no_long_buffer() -> None:
    """Guards against: each idle connection keeps the buffer of the longest message that it has carried."""
    before = resident_bytes()
    readers = [Reader() for _ in range(IDLE_READERS)]
    for reader in readers:
        reader.feed(LONG_HIT)
        assert reader.gets()[0] == LONG_VALUE
    assert resident_bytes() - before < IDLE_READERS * len(LONG_VALUE) / 4


def test_parser_keeps_its_place_in_a_long_message() -> None:
    """Guards against: a buffer that is freed in the middle of a message, whose rest is then misread."""
    reader = Reader()
    for start in range(0, len(LONG_HIT), 4096):
        part = LONG_HIT[start : start + 4096]
        reader.feed(part)
        if start + 4096 < len(LONG_HIT):
            assert not isinstance(reader.gets(), list)
    assert reader.gets()[0] == LONG_VALUE
    reader.feed(b"*1\r\n$1\r\nx\r\n")
    assert reader.gets() == [b"x"] and reader.at_boundary()


def test_idle_connection_to_the_origin_keeps_no_body() -> None:
    """Guards against: each idle connection to the origin keeps its last value."""
    client = HttpClient("127.0.0.1:80", MAX_VALUE_BYTES)
    client.request("GET", "/k", [])
    response = client.receive(http("200 OK", LONG_VALUE))
    assert response is not None and response.body == LONG_VALUE and not client.body
