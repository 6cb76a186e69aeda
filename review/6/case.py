"""Writes of a client that has gone are begun at the origin for most of a second after its close."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import sys
from pathlib import Path

from standins2 import sites
from standins2.world import BROKEN, HELD, CaseError, Client, Fleet, Origin, Record, Router, finish, put

SHORT_WRITES = 32  # writes with short values that the client sends first
LONG_WRITES = 16  # that it sends behind them, as far as they go out, with the longest values of the protocol
STAYING_LONG_WRITES = 4  # of them that a client sends that stays, and reads all answers
LONG_VALUE = b"v" * 65536
WAIT_MS = 1500  # time of each write; tries of its class are given up after 1.06 to 1.6 s
FIRST_DELAY_S = 0.9  # that the origin takes for the first write: work is spread widely at this site
ORIGIN_DELAY_S = 0.1  # that it takes for the others; 0.086 to 0.23 s are usual
GONE_S = 0.1  # after the close no attempt may begin any more
SLACK_S = 0.05  # by which each limit grows on sockets
TAKEN_S = 5.0  # time for the router to take the first write
WATCHED_S = 4.0  # after the close
TROUBLE = os.environ.get("TROUBLE") != "0"


class UnevenOrigin(Origin):
    """A sound origin that takes longer for the first write than for the others."""

    async def respond(self, method: str, key: str, headers: dict[str, str]) -> bytes:
        """Carry out a request and return the body of its answer."""
        body = await super().respond(method, key, headers)
        if key == "key-0":
            await asyncio.sleep(FIRST_DELAY_S - ORIGIN_DELAY_S)
        return body


def writes(long_writes: int) -> list[bytes]:
    """Return the commands that the client sends."""
    values = [b"v"] * SHORT_WRITES + [LONG_VALUE] * long_writes
    return [put(f"key-{i}", f"w-{i}", "seat-lock", WAIT_MS, value=value) for i, value in enumerate(values)]


def send_what_fits(client: socket.socket, data: bytes) -> int:
    """Send bytes until the connection takes no more, and return their number."""
    client.setblocking(False)
    sent = 0
    with contextlib.suppress(BlockingIOError):
        while sent < len(data):
            sent += client.send(data[sent:])
    return sent


async def send_and_go(record: Record, router: Router, fleet: Fleet) -> float:
    """Send writes at once, and close as soon as the first has begun. Return the time of the close."""
    with socket.socket() as client:
        client.connect(router.address())
        data = b"".join(writes(LONG_WRITES))
        sent = send_what_fits(client, data)
        record.line(f"{sent} bytes of writes sent at once")
        async with asyncio.timeout(TAKEN_S):
            while not fleet.origin.runs:
                await asyncio.sleep(0.001)
                sent += send_what_fits(client, data[sent:])
        record.line(f"the client closes its connection, {sent} bytes sent in all")
    return record.now()


async def send_and_stay(record: Record, router: Router) -> None:
    """Send all writes at once, and read all answers."""
    client = Client(record)
    await client.connect(router.address())
    client.writer.write(b"".join(writes(STAYING_LONG_WRITES)))
    for number in range(SHORT_WRITES + STAYING_LONG_WRITES):
        record.line(f"w-{number} answer {await client.read_answer()!r}")
    client.close()


async def play(record: Record, folder: str) -> int:
    """Play the case."""
    fleet = Fleet(record, sites.bhorti())
    fleet.origin = UnevenOrigin("origin", record, fleet.caches, delay=ORIGIN_DELAY_S)
    await fleet.start()
    router = fleet.router(folder)
    router.start()
    try:
        await router.ready()
        if TROUBLE:
            closed_at = await send_and_go(record, router, fleet)
            await asyncio.sleep(WATCHED_S)
        else:
            await send_and_stay(record, router)
            closed_at = record.now()
    finally:
        router.end()
    if not fleet.origin.runs:
        raise CaseError("no write has come to the origin")
    late = [run.at - closed_at for run in fleet.origin.runs if run.at > closed_at + GONE_S + SLACK_S]
    last = f", the last of them after {max(late):.3f} s" if late else ""
    record.line(f"{len(late)} writes began later than {GONE_S + SLACK_S:g} s after the close{last}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(finish(play, Path(__file__).with_name("record.txt")))
