"""Discovery as the terms have it: what it has counts as told soon, whatever became of the calls."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from brackenwalk import interface as api
from brackenwalk.net import discovery as discoveries
from tests.loopback import Link, Peer, http, run, spelled
from tests.test_net_discovery import LINE, Told, call, message

# The calls themselves


def test_a_connection_that_never_comes_up_is_given_up_soon() -> None:
    """It had the whole call's time: five of the six seconds after which news counts as told."""

    async def scenario() -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)  # and nobody accepts: what comes after these two is dropped as by a cut
            fillers = [socket.socket() for _ in range(2)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            peer = Peer()
            peer.address = spelled(full.getsockname())
            began = time.monotonic()
            assert await Told(peer).news.get() is None
            assert time.monotonic() - began < 2.0
            for filler in fillers:
                filler.close()

    run(scenario)


def test_a_call_that_waits_its_turn_outlasts_the_bound_on_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Given up, it would be worked through all the same, and the next one would wait behind it."""

    async def scenario() -> None:
        monkeypatch.setattr(discoveries, "DIAL", 0.1, raising=False)
        async with Peer() as peer:
            told = Told(peer)
            _, link = await call(peer)
            await asyncio.sleep(0.3)
            link.write(http("200 OK", message(42, False)))
            assert await told.news.get() == (api.ListKind.DELTA, [])
            told.watch.close()

    run(scenario)


WHOLE = "GET /registry/instances HTTP/1.1"


async def whole_list_is_asked_for(peer: Peer, told: Told, link: Link) -> None:
    """The answer to the watch has a lower version: what became of the list is not in it."""
    link.write(http("200 OK", message(7, False, {**LINE, "status": "terminating"})))
    first, link = await call(peer)
    assert first == WHOLE
    link.write(http("200 OK", message(8, True, LINE)))
    kind, (member,) = await told.news.get() or pytest.fail()
    assert kind is api.ListKind.FULL and member.entry.state is api.State.READY
    assert "after=8&wait_ms=3000" in (await call(peer))[0] and told.news.empty()


def test_a_discovery_that_counts_from_lower_is_asked_for_the_whole_list() -> None:
    """The list known at the start was told by one that had counted further."""

    async def scenario() -> None:
        async with Peer() as peer:
            told = Told(peer)
            first, link = await call(peer)
            assert "after=41&" in first
            await whole_list_is_asked_for(peer, told, link)
            told.watch.close()

    run(scenario)


@pytest.mark.parametrize("failed", [False, True])
def test_a_new_discovery_that_counts_from_lower_is_found_out_at_once(failed: bool) -> None:
    """Its first watch waited for three seconds, and the next ones for versions that it never had."""

    async def scenario() -> None:
        async with Peer() as old, Peer() as new:
            told = Told(old)
            await call(old)
            assert told.watch.move(new.address)
            told.watch.subscribe()
            first, link = await call(new)
            assert "after=41&wait_ms=1 " in first
            if failed:  # nothing is known of it yet
                link.reset()
                assert await told.news.get() is None
                told.watch.subscribe()
                first, link = await call(new)
                assert "after=41&wait_ms=1 " in first
            await whole_list_is_asked_for(new, told, link)
            told.watch.close()

    run(scenario)


def test_a_new_discovery_that_counts_on_is_watched_on() -> None:
    """Two hundred whole lists are not asked for without need."""

    async def scenario() -> None:
        async with Peer() as old, Peer() as new:
            told = Told(old)
            await call(old)
            told.watch.move(new.address)
            told.watch.subscribe()
            _, link = await call(new)
            link.write(http("200 OK", message(41, False)))
            assert await told.news.get() == (api.ListKind.DELTA, [])
            assert "after=41&wait_ms=3000" in (await call(new))[0]
            told.watch.close()

    run(scenario)


def test_a_whole_list_of_a_lower_version_is_taken_as_it_is() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            told = Told(peer)
            _, link = await call(peer)
            link.write(http("200 OK", message(7, True, LINE)))
            assert (await told.news.get() or pytest.fail())[0] is api.ListKind.FULL
            assert "after=7&" in (await call(peer))[0]
            told.watch.close()

    run(scenario)


@pytest.mark.parametrize("answer", [http("503 Busy"), http("200 OK", message(7, False, LINE)), b""])
def test_no_whole_list_is_a_failed_call(answer: bytes) -> None:
    """Changes taken for the whole list would drop servers that are well; the list held goes on to hold."""

    async def scenario() -> None:
        async with Peer() as peer:
            told = Told(peer)
            _, link = await call(peer)
            link.write(http("200 OK", message(7, False)))
            first, link = await call(peer)
            assert first == WHOLE
            link.write(answer)
            link.close()
            assert await told.news.get() is None
            told.watch.subscribe()
            assert "after=41&" in (await call(peer))[0]
            told.watch.close()

    run(scenario)
