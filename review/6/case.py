"""Clients that stop in the middle of a request keep the router from reading the requests of others."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from standins2 import sites
from standins2.world import BROKEN, HELD, Answer, Client, Fleet, Record, Router, finish, get

SOCKETS = 256  # descriptors of the router, the least that the terms name
STOPPED_CLIENTS = 110  # that stop in the middle of a request; all connections together stay far under SOCKETS
SOUND_CLIENTS = 16
PAUSE_S = 0.1  # between the requests of sound clients
WAIT_MS = 1000  # half of the two seconds after which clients of the class give up
LATE_S = 0.5  # after its time, an answer earns nothing; later, the request is lost
SLACK_S = 0.05  # by which each limit grows on sockets
PATIENCE_S = 8.0
TROUBLE = os.environ.get("TROUBLE") != "0"


async def stop_in_the_middle(record: Record, router: Router, number: int) -> Client:
    """Connect, send the first half of a request, and stay."""
    client = Client(record)
    await client.connect(router.address())
    command = get(f"key-{number}", f"stopped-{number}", "open-sim", WAIT_MS)
    client.writer.write(command[: len(command) // 2])
    return client


async def request_in_turn(record: Record, router: Router, number: int) -> Answer | None:
    """Send one whole request on a new connection, at its turn, and return its answer."""
    await asyncio.sleep(number * PAUSE_S)
    client = Client(record)
    await client.connect(router.address())
    record.line(f"sound-{number} sent, d={WAIT_MS}")
    answer = await client.request(get(f"key-{number}", f"sound-{number}", "open-sim", WAIT_MS), PATIENCE_S)
    text = "no answer" if answer is None else f"answer {answer.text!r} after {answer.after:.3f} s"
    record.line(f"sound-{number} {text}")
    client.close()
    return answer


async def play(record: Record, folder: str) -> int:
    """Play the case."""
    fleet = Fleet(record, sites.jawa(), sockets=SOCKETS)
    await fleet.start()
    router = fleet.router(folder)
    router.start()
    try:
        await router.ready()
        stopped = []
        if TROUBLE:
            stopped = [await stop_in_the_middle(record, router, i) for i in range(STOPPED_CLIENTS)]
            record.line(f"{len(stopped)} clients have sent half a request each, and stay")
        requests = [request_in_turn(record, router, i) for i in range(SOUND_CLIENTS)]
        answers = await asyncio.gather(*requests)
        for client in stopped:
            client.close()
    finally:
        router.end()
    limit = WAIT_MS / 1000 + LATE_S + SLACK_S
    lost = [a for a in answers if a is None or not a.text or a.after > limit]
    record.line(f"{len(lost)} of {len(answers)} requests had no answer within {limit:g} s")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(finish(play, Path(__file__).parent))
