"""Plays changes of the server list on one real router process, with requests beside them.

For each change it tells how long a request waited for its response at the most, and the processor time that
the process took until it had rested again. The router is that of a checkout, so versions can be compared.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shlex
import signal
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import hiredis
import orjson
import psutil

from fleetlab.experiment import Experiment, Fleet
from fleetlab.plan import Addresses, Plan, router_settings, server_entry
from fleetlab.standins.discovery import VersionedList, format_response
from fleetlab.standins.schedule import ListChange

PING_INTERVAL_S = 0.002
READ_INTERVAL_S = 0.01
READ_DEADLINE_MS = 2000
KEYS = 500
REST_S = 0.5  # without an excess of processor time, after which a change counts as worked in
REST_SHARE = 0.3  # of a core: what requests alone take stays below it
MAX_WAIT_S = 60.0
OUTAGE_S = 1.0  # of discovery, for the list after an outage
CONSECUTIVE_CHANGES, CONSECUTIVE_INTERVAL_S = 10, 0.05
MOVE_S = 1.5  # by which a router has called another discovery
REPLACED_SHARE = 0.97
VALUE_RESPONSE = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
Entry = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Row:
    """What one change cost."""

    servers: int
    change: str
    longest_wait_ms: float  # of a PING or a read
    cpu_ms: float  # of the process, without what requests usually take
    failed: int  # reads without a value


class DiscoveryStandIn:
    """Answers calls for the list and watches; all entries have the address of one server."""

    def __init__(self, server_list: VersionedList) -> None:
        self.list = server_list
        self.changed = asyncio.Event()
        self.delivered = asyncio.Event()  # a router has got a list or changes
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen, at the same address as before if there was one."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Refuse new calls and end the open watches."""
        assert self.server is not None
        self.server.close()
        self.changed.set()

    def publish(self, entries: list[Entry]) -> None:
        """Publish changed entries as the next version."""
        self.list.publish(ListChange(0.0, tuple(entries)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
            after = int(query["after"]) if "after" in query else None
            if after is not None and not self.list.has_changes(after):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                        await self.changed.wait()
            if self.server is not None and self.server.is_serving():
                if after is not None and not self.list.has_changes(after):
                    body = orjson.dumps({"index": after, "snapshot": False, "endpoints": []})
                else:
                    body, _ = self.list.body(after)
                    self.delivered.set()
                writer.write(format_response(b"200 OK", body, close=True))
            writer.close()


async def serve_values(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each command of a router with a value, as a cache server that has every key does."""
    parser = hiredis.Reader(notEnoughData=Ellipsis)
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            parser.feed(data)
            while parser.gets() is not Ellipsis:
                writer.write(VALUE_RESPONSE)
    writer.close()


class Requests:
    """Sends PINGs and reads all the time, each over its own connection, and records the longest wait."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.longest = 0.0
        self.failed = 0
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start both."""
        self.tasks = [
            asyncio.create_task(self._repeat(lambda n: ("PING",), b"PONG", PING_INTERVAL_S)),
            asyncio.create_task(self._repeat(self._read_command, b"value", READ_INTERVAL_S)),
        ]

    def stop(self) -> None:
        """Stop both."""
        for task in self.tasks:
            task.cancel()

    @staticmethod
    def _read_command(number: int) -> tuple[Any, ...]:
        return "C.GET", f"k{number % KEYS}", f"r{number}", f"c=read,d={READ_DEADLINE_MS}"

    async def _repeat(
        self, command: Callable[[int], tuple[Any, ...]], expected: bytes, interval: float
    ) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        parser, number = hiredis.Reader(notEnoughData=Ellipsis), 0
        while True:
            number += 1
            sent_at = time.monotonic()
            writer.write(hiredis.pack_command(command(number)))
            while (reply := parser.gets()) is Ellipsis:
                data = await reader.read(4096)
                if not data:
                    return
                parser.feed(data)
            self.longest = max(self.longest, time.monotonic() - sent_at)
            self.failed += reply != expected
            await asyncio.sleep(interval)


class ListPlay:
    """One router process, its discovery, and the changes that are played on it."""

    def __init__(self, checkout: Path, servers: int, directory: Path) -> None:
        self.checkout, self.directory, self.count = checkout, directory, servers
        experiment = Experiment(name="lists", fleet=Fleet(real=1, servers=servers, zones=3))
        self.plan = Plan("discovery", experiment, Addresses(1, 1024), 0)
        self.rows: list[Row] = []
        self.generation = 0
        self.usual_share = 0.0  # of a core, that requests take

    async def play(self) -> list[Row]:
        """Play all changes one after another."""
        cache = await asyncio.start_server(serve_values, "127.0.0.1", 0)
        host, port = cache.sockets[0].getsockname()[:2]
        self.server_address = f"{host}:{port}"
        self.discovery = await self._new_discovery()
        async with self._process():
            for name, change in self._changes().items():
                await self._measure(name, change)
            await self._measure_end()
        self.discovery.stop()
        cache.close()
        await asyncio.sleep(0)  # lets open watches end
        return self.rows

    async def _new_discovery(self, entries: list[Entry] | None = None, index: int = 1) -> DiscoveryStandIn:
        server_list = VersionedList(self.plan)
        server_list.index = server_list.oldest = index
        server_list.entries = {e["name"]: e for e in entries or self._entries()}
        discovery = DiscoveryStandIn(server_list)
        await discovery.start()
        return discovery

    def _entries(self, **changes: Any) -> list[Entry]:
        """Return the entries of the current generation of servers."""
        numbers = range(self.generation * self.count, (self.generation + 1) * self.count)
        address = {"address": self.server_address}
        return [server_entry(self.plan, n) | address | changes for n in numbers]

    def _config(self) -> dict[str, Any]:
        host, port = self.discovery.address
        return {
            "listen": self.listen,
            "discovery": f"{host}:{port}",
            "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {
                "index": self.discovery.list.index,
                "snapshot": True,
                "endpoints": list(self.discovery.list.entries.values()),
            },
            "settings": router_settings(self.plan.experiment, 0),
        }

    def _write_config(self) -> None:
        (self.directory / "config.json").write_bytes(orjson.dumps(self._config()))

    @contextlib.asynccontextmanager
    async def _process(self) -> AsyncIterator[None]:
        """Start the router, measure its start, and end it afterwards."""
        with contextlib.closing(await asyncio.start_server(serve_values, "127.0.0.1", 0)) as free:
            port = free.sockets[0].getsockname()[1]
        self.listen = f"127.0.0.1:{port}"
        self._write_config()
        run = tomllib.loads((self.checkout / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {"RELAY_CONFIG": str(self.directory / "config.json")}
        command = shlex.split(run.removeprefix("exec "))
        with (self.directory / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=self.checkout, env=environment, stderr=log
            )
        self.process = psutil.Process(process.pid)
        self.ended = asyncio.create_task(process.wait())
        try:
            started_at = time.monotonic()
            while time.monotonic() - started_at < MAX_WAIT_S:
                with contextlib.suppress(ConnectionError):
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                await asyncio.sleep(0.01)
            waited = time.monotonic() - started_at
            self.rows.append(Row(self.count, "first list at start", 1000 * waited, 1000 * self._cpu(), 0))
            self.requests = Requests(("127.0.0.1", port))
            self.requests.start()
            await self._rest()
            cpu, began = self._cpu(), time.monotonic()
            await asyncio.sleep(2.0)
            self.usual_share = (self._cpu() - cpu) / (time.monotonic() - began)
            yield
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await self.ended

    def _cpu(self) -> float:
        times = self.process.cpu_times()
        return float(times.user + times.system)

    async def _rest(self) -> None:
        """Wait until the process takes little more than requests do."""
        deadline, cpu = time.monotonic() + MAX_WAIT_S, -1.0
        while time.monotonic() < deadline:
            before, cpu = cpu, self._cpu()
            if before >= 0 and cpu - before < REST_SHARE * REST_S:
                return
            await asyncio.sleep(REST_S)

    async def _measure(self, name: str, change: Callable[[], Awaitable[None]]) -> None:
        self.requests.longest, failed = 0.0, self.requests.failed
        cpu, began = self._cpu(), time.monotonic()
        await change()
        await asyncio.sleep(REST_S)
        await self._rest()
        cpu = self._cpu() - cpu - self.usual_share * (time.monotonic() - began)
        longest, failed = self.requests.longest, self.requests.failed - failed
        self.rows.append(Row(self.count, name, 1000 * longest, max(0.0, 1000 * cpu), failed))

    async def _measure_end(self) -> None:
        """Send SIGTERM while a replacement is worked in, and measure the time until the exit."""
        self._replace(REPLACED_SHARE)
        await asyncio.sleep(0.02)
        self.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        await asyncio.sleep(0.2)
        self.requests.stop()
        await self.ended
        waited = time.monotonic() - began
        self.rows.append(Row(self.count, "SIGTERM in the middle: exit", 1000 * waited, 0.0, 0))

    def _changes(self) -> dict[str, Callable[[], Awaitable[None]]]:
        heavy = [e | {"weight": 1.5} for e in self._entries()[:1]]
        weights = [e | {"weight": 0.55 + 0.4 * (i % 7) / 7} for i, e in enumerate(self._entries())]
        zone = [e for e in self._entries() if e["zone"] == "zone-1"]
        joined = [server_entry(self.plan, 1_000_000) | {"address": self.server_address}]
        rows: dict[str, list[Entry] | Callable[[], Awaitable[None]]] = {
            "nothing": [],
            "one joins": joined,
            "one drains": [e | {"status": "terminating"} for e in joined],
            "one weight past a power of two": heavy,
            "and back": self._entries()[:1],
            "all weights": weights,
            "all weights back": self._entries(),
            "a zone lost": [e | {"status": "terminated"} for e in zone],
            "a zone back": zone,
            "SIGHUP, same list": self._move,
            "SIGHUP, another list": self._move_and_replace,
            "changes one after another": self._replace_in_parts,
            "97 in 100 replaced, after an outage": self._replace_in_outage,
            "all processes new under their names": self._restart_all,
        }

        def publishing(entries: list[Entry]) -> Callable[[], Awaitable[None]]:
            async def publish() -> None:
                if entries:
                    self.discovery.publish(entries)

            return publish

        return {n: publishing(row) if isinstance(row, list) else row for n, row in rows.items()}

    def _replace(self, share: float) -> None:
        """Replace the servers of this generation, but for some, by the next generation."""
        old = self._entries()[: round(share * self.count)]
        self.generation += 1
        new = self._entries()[: len(old)]
        self.discovery.publish([e | {"status": "terminated"} for e in old] + new)

    async def _replace_in_parts(self) -> None:
        old, part = self._entries(), max(1, self.count // CONSECUTIVE_CHANGES)
        self.generation += 1
        new = self._entries()
        for start in range(0, self.count, part):
            ended = [e | {"status": "terminated"} for e in old[start : start + part]]
            self.discovery.publish(ended + new[start : start + part])
            await asyncio.sleep(CONSECUTIVE_INTERVAL_S)

    async def _replace_in_outage(self) -> None:
        self.discovery.stop()
        await asyncio.sleep(OUTAGE_S)
        self._replace(REPLACED_SHARE)
        self.discovery.delivered.clear()
        await self.discovery.start()
        await self.discovery.delivered.wait()

    async def _restart_all(self) -> None:
        started_ms = int(time.time() * 1000)
        self.discovery.publish([e | {"since_ms": started_ms} for e in self.discovery.list.entries.values()])

    async def _move(self) -> None:
        await self._move_to(list(self.discovery.list.entries.values()))

    async def _move_and_replace(self) -> None:
        self.generation += 1
        await self._move_to(self._entries())

    async def _move_to(self, entries: list[Entry]) -> None:
        previous = self.discovery
        # with an index of its own, or a watch from the one before would find no change
        self.discovery = await self._new_discovery(entries, previous.list.index + 1)
        self._write_config()
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        previous.stop()
        await asyncio.sleep(MOVE_S)


async def play_list_changes(checkout: Path, sizes: list[int]) -> list[Row]:
    """Play all changes at some numbers of servers, with a process for each."""
    rows: list[Row] = []
    for servers in sizes:
        with tempfile.TemporaryDirectory() as directory:
            rows += await ListPlay(checkout.resolve(), servers, Path(directory)).play()
    return rows


def table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| servers | change | longest wait ms | processor ms | failed |", "| --- " * 5 + "|"]
    for row in rows:
        cells = (row.servers, row.change, f"{row.longest_wait_ms:.0f}", f"{row.cpu_ms:.0f}", row.failed)
        lines.append("| " + " | ".join(map(str, cells)) + " |")
    return "\n".join(lines)


__all__ = ["Row", "play_list_changes", "table"]
