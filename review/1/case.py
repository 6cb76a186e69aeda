"""Bad clients send writes of a class that the settings don't name; the router's memory is watched."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

MEMORY_MB = 192  # the highest limit of scored days (DEPLOY, TERMS)
VALUE = bytes(64 * 1024)  # the longest value (PROTOCOL)
PLAY_S = 95.0
QUIET_S = 3.0  # before the bad clients come
BAD_PER_S = 1.0  # bad clients a second, one after another
BAD_COMMANDS = 40  # that each of them sends at once


async def bad_client(platform: standins.Platform, record: standins.Record, number: int) -> None:
    """Send much at once, none of it a proper request; read the lines that come back, and go."""
    with suppress(OSError, TimeoutError):
        reader, writer = await platform.connect()
        async with asyncio.timeout(5):
            for i in range(BAD_COMMANDS):
                request_id = b"bad%05d%05d" % (number, i)
                writer.write(standins.pack(b"C.SET", b"k", request_id, b"c=nosuch,d=600000", VALUE))
            answers = [await standins.read_answer(reader) for _ in range(BAD_COMMANDS)]
        writer.close()
        record(f"bad client {number} sent {BAD_COMMANDS} commands and got {answers[0]!r} ... {answers[-1]!r}")


async def play(record: standins.Record, trouble: bool) -> bool:
    """Return whether the router was killed for memory."""
    caches = [standins.CacheServer(f"s-{i}", record) for i in range(4)]
    origin = standins.Origin(record)
    for server in (*caches, origin):
        await server.start()
    entries = [standins.entry(c.name, c.address, "mid-box") for c in caches]
    discovery = standins.Discovery(record, [*entries, standins.entry("o-1", origin.address, "origin")])
    await discovery.start()
    config = standins.configuration(standins.bhorti_settings(), discovery, memory_mb=MEMORY_MB)
    platform = standins.Platform(record, config)
    try:
        await platform.start()
        watch = asyncio.create_task(platform.watch_memory())
        clients = standins.Clients(record, platform)
        began, tasks, number = time.monotonic(), [], 0
        while time.monotonic() - began < PLAY_S and not watch.done():
            tasks.append(asyncio.create_task(clients.request(b"C.GET", "seat-view", 4000)))
            if trouble and time.monotonic() - began > QUIET_S + number / BAD_PER_S:
                number += 1
                tasks.append(asyncio.create_task(bad_client(platform, record, number)))
            await asyncio.sleep(0.1)
        record(f"{number} bad clients sent {number * BAD_COMMANDS} commands")
        await asyncio.gather(*tasks)
        record(f"requests: {clients.served} served, {clients.failed} failed, {len(clients.lost)} lost")
        watch.cancel()
        return platform.killed_for_memory
    finally:
        platform.close()


if __name__ == "__main__":
    os.chdir(standins.ROOT)
    sys.exit(standins.run_case(Path(__file__).resolve().parent, play))
