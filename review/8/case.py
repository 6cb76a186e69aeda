"""A router whose first call to a crowded discovery fails calls again only after drains have to be kept."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time
from collections.abc import Iterator
from itertools import count
from pathlib import Path

from standins2 import sites
from standins2.world import BROKEN, HELD, Client, Discovery, Fleet, Record, Router, finish, get

ROUTERS = 40  # of the fleet; this case starts one of them, and the others show as the crowd at discovery
ROUND_S = 5.0  # in which each of them calls once, at its turn
DOWN_S = 8.0  # time for which discovery is down
BACK_AFTER_TURN_S = 0.5  # discovery comes back when the router has just called in vain
CROWD_S = 5.0  # after the return, calls that come earlier wait too long
QUEUE_TIMEOUT_S = 2.0  # after which discovery fails a call that has waited so long
TOLD_S = 6.0  # after discovery could be reached, its changes count as told
DRAIN_GRACE_S = 2.5  # `rules.stopSendingWithin` of the site
SLACK_S = 0.05  # by which each limit grows on sockets
QUIET_S = 2.0  # of usual service before the outage
WATCHED_S = 14.0  # after the return
PAUSE_S = 0.02  # between the requests of the client
WAIT_MS = 3200  # tries of the class are given up after 3.18 to 4.8 s
PATIENCE_S = 7.0
KEYS = 60
TROUBLE = os.environ.get("TROUBLE") != "0"


class CrowdedDiscovery(Discovery):
    """Discovery with too many callers for some time: calls that come then wait too long and get a 503."""

    crowded_until = 0.0  # seconds of the record

    async def admit(self) -> bool:
        """Wait in the queue, and return whether the call is handled."""
        if self.record.now() >= self.crowded_until:
            return True
        await asyncio.sleep(QUEUE_TIMEOUT_S)
        return False


async def send_reads(record: Record, router: Router, numbers: Iterator[int]) -> None:
    """Send one read after the other until cancelled."""
    client = Client(record)
    await client.connect(router.address())
    with contextlib.closing(client):
        for number in numbers:
            await client.request(get(f"key-{number % KEYS}", f"r-{number}", "seat-view", WAIT_MS), PATIENCE_S)
            await asyncio.sleep(PAUSE_S)


async def wait_for_return() -> None:
    """Wait, for at most `DOWN_S`, until the router, which is number 0, has just had its turn."""
    await asyncio.sleep(DOWN_S - ROUND_S)
    await asyncio.sleep((BACK_AFTER_TURN_S - time.time()) % ROUND_S)


async def play(record: Record, folder: str) -> int:
    """Play the case."""
    settings = sites.bhorti()
    settings["siblings"] = ROUTERS
    fleet = Fleet(record, settings)
    fleet.discovery = discovery = CrowdedDiscovery("discovery", fleet.registry, record)
    await fleet.start()
    router = fleet.router(folder)
    router.start()
    drained = fleet.caches[0]
    try:
        await router.ready()
        client = asyncio.create_task(send_reads(record, router, count()))
        await discovery.first_answer.wait()
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            discovery.go_down()
            await wait_for_return()
            discovery.crowded_until = record.now() + CROWD_S
        kind, zone = (fleet.registry.entries[drained.name][field] for field in ("type", "zone"))
        fleet.registry.put(drained.name, drained.address, kind, "terminating", zone)
        drained.draining = True
        if TROUBLE:
            await discovery.come_back()
        told_at = record.now() + TOLD_S
        record.line(f"{drained.name} drains; discovery can be reached")
        await asyncio.sleep(WATCHED_S)
        client.cancel()
        await asyncio.gather(client, return_exceptions=True)
    finally:
        router.end()
    limit = told_at + DRAIN_GRACE_S + SLACK_S
    late = [run for run in drained.runs if run.at > limit]
    record.line(
        f"{drained.name} got {len(late)} requests later than {limit - told_at + TOLD_S:g} s after the return"
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(finish(play, Path(__file__).with_name("record.txt")))
