"""The whole process under its memory limit, while clients and servers make it hold all that they can."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from brackenwalk.net.command import MAX_VALUE_BYTES
from tests.loopback import Link, ScriptedServer, command, read
from tests.test_main import VALID_CONFIG, connect_ready, launch, listening_address, peak_mib
from tests.test_net_discovery import ENTRY
from tests.test_wirehost import SETTINGS_TABLE

MEMORY_MB = 64  # the least that the bench grants on any day
SOCKETS = 640  # a usual number on its short days
CLIENTS = 250  # nearly all that the router accepts with these
PIPELINED = 32  # commands that it takes from each of them
WAVES = 40  # of refused writes
PLAY_TIMEOUT_S = 60.0
LONG_VALUE = bytes(MAX_VALUE_BYTES)
LONG_HIT = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(LONG_VALUE), LONG_VALUE)
READ_CLASS, WRITE_CLASS = (row["name"] for row in SETTINGS_TABLE["classes"][:2])

Address = tuple[str, int]
Play = Callable[[Address], Awaitable[None]]


def long_write(number: int, class_name: str) -> bytes:
    return command("C.SET", f"k{number}", f"w{number}", f"c={class_name},d=600000", LONG_VALUE)


async def send_all(address: Address, messages: list[bytes]) -> list[Link]:
    """Send each message on a connection of its own, as far as the router reads it; nothing is read."""
    links = []
    for message in messages:
        link = await connect_ready(address)
        link.write(message)
        links.append(link)
    for _ in range(PIPELINED):  # turns of the router, in which it reads on
        await connect_ready(address)
    return links


async def refused_writes(address: Address) -> None:
    """Write long values of an unknown class, read the refusals, and go."""
    for wave in range(WAVES):
        client = await connect_ready(address)
        for number in range(PIPELINED):
            client.write(long_write(PIPELINED * wave + number, "unheard-of"))
        for _ in range(PIPELINED):
            await client.resp()
        client.close()


async def open_writes(address: Address) -> None:
    """Write long values that the origin does not answer."""
    numbers = [range(PIPELINED * i, PIPELINED * (i + 1)) for i in range(CLIENTS // 4)]
    await send_all(address, [b"".join(long_write(n, WRITE_CLASS) for n in some) for some in numbers])


async def unfinished_writes(address: Address) -> None:
    """Stop before the last byte of a long value."""
    await send_all(address, [long_write(n, WRITE_CLASS)[:-1] for n in range(CLIENTS)])


async def long_values(address: Address) -> None:
    """Ask for long values, as many as can wait, and go without reading them."""
    numbers = [range(PIPELINED * i, PIPELINED * (i + 1)) for i in range(CLIENTS // 2)]
    info = f"c={READ_CLASS},d=5000"
    await send_all(address, [b"".join(read(f"r{n}", f"k{n}", info) for n in some) for some in numbers])


async def serve(server: ScriptedServer, response: bytes) -> None:
    """Answer all commands that come to a server with the same bytes; leave them unanswered if empty."""

    async def serve_link(link: Link) -> None:
        while response:
            await link.resp()
            link.write(response)

    tasks = set()
    while True:
        tasks.add(asyncio.create_task(serve_link(await server.link())))


@pytest.mark.parametrize(
    ("play", "response"),
    [
        (refused_writes, LONG_HIT),
        (open_writes, b""),
        (unfinished_writes, LONG_HIT),
        (long_values, LONG_HIT),
        (long_values, LONG_HIT[:-1]),  # the servers stop in the middle of their responses
    ],
)
def test_process_stays_under_its_memory_limit(play: Play, response: bytes, tmp_path: Path) -> None:
    """Guards against: the router is killed for memory, and loses all requests that it holds."""

    async def scenario() -> None:
        async with ScriptedServer() as cache, ScriptedServer() as origin, ScriptedServer() as discovery:
            rows: list[dict[str, Any]] = [
                {**ENTRY, "name": f"s-{i}", "address": cache.address, "since_ms": 0} for i in range(64)
            ]
            rows.append({**ENTRY, "name": "o-1", "address": origin.address, "type": "store", "since_ms": 0})
            config = {
                **VALID_CONFIG,
                "listen": "127.0.0.1:0",
                "discovery": discovery.address,
                "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
                "known": {"index": 1, "snapshot": True, "endpoints": rows},
            }
            servers = [asyncio.create_task(serve(s, response)) for s in (cache, origin)]
            process = await launch(tmp_path / "config.json", config)
            address = await listening_address(process.stderr)
            assert process.stderr is not None
            servers.append(asyncio.create_task(drain(process.stderr)))
            try:
                await play(address)
                assert process.returncode is None
                assert peak_mib(process.pid) < MEMORY_MB
            finally:
                process.kill()
                await process.wait()
                for task in servers:
                    task.cancel()

    async def drain(log: asyncio.StreamReader) -> None:
        while await log.read(65536):
            pass

    async def bounded() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: None)
        async with asyncio.timeout(PLAY_TIMEOUT_S):
            await scenario()

    asyncio.run(bounded())
