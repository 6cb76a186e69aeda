"""Discovery as the terms have it: what it has counts as told soon, whatever became of the calls."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from brackenwalk import interface as api
from brackenwalk.net import discovery as discoveries
from tests.loopback import Peer, http, run, spelled
from tests.test_net_discovery import Told, call, message

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
