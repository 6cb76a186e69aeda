"""The report of what a router holds, which tells apart where memory goes."""

from __future__ import annotations

import logging

import pytest

from brackenwalk.net.usage import UsageReport, measure
from tests.loopback import HIT, RouterHarness, book, read, run
from tests.test_terms_clients import run_loop

VALUE = bytes(1000)


def test_usage_counts_each_kind_by_itself() -> None:
    async def scenario() -> None:
        async with RouterHarness() as router:
            pools = (router.cache_pool, router.origin_pool)
            idle = measure(router.host, router.listener, pools)
            assert (idle.open_requests, idle.clients, idle.servers) == (0, 0, 3)
            client, cache = await router.start_read()
            client.write(book("w1", value=VALUE)[:500])
            await run_loop()
            usage = measure(router.host, router.listener, pools)
            assert (usage.open_requests, usage.attempts, usage.clients) == (1, 1, 1)
            assert (usage.request_bytes, usage.input_bytes, usage.server_connections) == (1, 500, 1)
            client.write(book("w1", value=VALUE)[500:])
            await (await router.origin.link()).http()
            usage = measure(router.host, router.listener, pools)
            assert (usage.open_requests, usage.input_bytes) == (2, 0)
            assert usage.request_bytes == len("k") + len("k") + len(VALUE)
            cache.write(HIT)
            assert await client.resp() == b"value"
            assert measure(router.host, router.listener, pools).open_requests == 1

    run(scenario)


def test_report_writes_one_line_and_stops(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with RouterHarness() as router:
            report = UsageReport(router.host, router.listener, (router.cache_pool, router.origin_pool))
            report.start()
            client = await router.client()
            client.write(read("r1", info="c=unheard-of,d=900"))
            await client.resp()
            report.close()
            assert report.timer is not None and report.timer.cancelled()

    with caplog.at_level(logging.INFO):
        run(scenario)
    (line,) = [r.getMessage() for r in caplog.records if r.getMessage().startswith("usage: ")]
    assert " clients=1 " in line and " server_connections=0 " in line
