"""After SIGHUP, a discovery that needs 2.4 s for each call is never heard, and drains are not kept."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Iterator
from itertools import count
from pathlib import Path

from standins2 import sites
from standins2.world import BROKEN, HELD, CacheServer, Client, Discovery, Fleet, Record, Router, finish, get

QUEUE_S = 2.4  # time that a call waits at the crowded discovery; calls of this site wait for 3 s at most
TOLD_S = 4.0  # after the signal, what discovery reports counts as reported
OLD_CLOSES_S = 1.5  # after the signal, the old address closes its open connections
DRAIN_GRACE_S = 0.5  # `rules.stopSendingWithin` of the site
SLACK_S = 0.05  # by which each limit grows on sockets
QUIET_S = 3.0  # of usual service before the signal
WATCHED_S = 12.0  # after the signal
PAUSE_S = 0.02  # between the requests of the client
WAIT_MS = 1000
PATIENCE_S = 3.0
KEYS = 60
TROUBLE = os.environ.get("TROUBLE") != "0"


async def send_reads(record: Record, router: Router, numbers: Iterator[int]) -> None:
    """Send one read after the other until cancelled."""
    client = Client(record)
    await client.connect(router.address())
    with contextlib.closing(client):
        for number in numbers:
            await client.request(get(f"key-{number % KEYS}", f"r-{number}", "open-sim", WAIT_MS), PATIENCE_S)
            await asyncio.sleep(PAUSE_S)


async def move_discovery(
    record: Record, fleet: Fleet, router: Router, new: Discovery, drained: CacheServer
) -> float:
    """Give the router another address of discovery; a cache server drains in the same moment.

    Return the time of the signal, in seconds of the record.
    """
    fleet.discovery.tell_no_changes()
    fleet.discovery.stop_accepting()
    entry = fleet.registry.entries[drained.name]
    fleet.registry.put(drained.name, drained.address, entry["type"], "terminating", entry["zone"])
    drained.draining = True
    router.config["discovery"] = new.address
    router.write_config()
    router.signal(signal.SIGHUP)
    signalled_at = record.now()
    record.line(f"SIGHUP: discovery moves; {drained.name} drains")
    await asyncio.sleep(OLD_CLOSES_S)
    fleet.discovery.close_open()
    await asyncio.sleep(WATCHED_S - OLD_CLOSES_S)
    return signalled_at


async def play(record: Record, folder: str) -> int:
    """Play the case."""
    fleet = Fleet(record, sites.jawa())
    await fleet.start()
    new = Discovery("discovery-2", fleet.registry, record, queue_delay=QUEUE_S if TROUBLE else 0.0)
    await new.start()
    router = fleet.router(folder)
    router.start()
    drained = fleet.caches[0]
    try:
        await router.ready()
        client = asyncio.create_task(send_reads(record, router, count()))
        await asyncio.sleep(QUIET_S)
        signalled_at = await move_discovery(record, fleet, router, new, drained)
        client.cancel()
        await asyncio.gather(client, return_exceptions=True)
    finally:
        router.end()
    limit = signalled_at + TOLD_S + DRAIN_GRACE_S + SLACK_S
    late = [run for run in drained.runs if run.at > limit]
    record.line(
        f"{drained.name} got {len(late)} requests later than {limit - signalled_at:g} s after the signal"
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(finish(play, Path(__file__).with_name("record.txt")))
