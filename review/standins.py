"""Stand-ins for the cases: platform, clients, cache servers, origin and discovery, on loopback addresses.

They speak the protocol page from the other side and share one event loop; routers are processes of their own.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
GRACE_S = 0.5  # after a request's time, in which an answer earns nothing but is no loss (STANDING)
SLACK_S = 0.05  # by which each time limit grows on sockets (PROTOCOL)
COULD_NOT_RUN = 2
IDLE_S = 30.0  # after which servers close an idle connection (connIdle of bhorti-portal)
MOST_HELD_UP_S = 0.25  # of the stand-ins' own event loop; it is less than GRACE_S


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, in order."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# The router's loopback address: one of its own for each play, as a free port found on an address that others
# use as well may be taken when the router binds it.
ROUTER_HOST = f"127.77.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"


def free_port(host: str) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def address_of(server: asyncio.Server) -> str:
    """Return the address of a listening server as host:port."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def pack(*parts: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as the end of a process does."""
    linger = struct.pack("ii", 1, 0)
    with suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one command. Raises `IncompleteReadError` at the end of the connection."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read a router's answer: a bulk string with `$` in front, or a line. Empty if the connection ended."""
    try:
        line = (await reader.readuntil(b"\r\n"))[:-2]
        if line[:1] == b"$" and line != b"$-1":
            return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""
    return line


class CacheServer:
    """A cache server that stores every key: it answers reads with a hit after `work` seconds."""

    def __init__(self, name: str, record: Record, work: float = 0.01) -> None:
        self.name, self.record, self.work, self.idle_s = name, record, work, IDLE_S
        self.received: list[tuple[float, str]] = []  # time and request id of each command
        self.address = ""

        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0, backlog=16)
        self.address = address_of(self.server)

    def stop(self) -> None:
        """End the process: its connections reset and new ones are refused."""
        self.server.close()
        for writer in self.writers:
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            while True:
                async with asyncio.timeout(self.idle_s):
                    parts = await read_command(reader)
                if parts[0] not in (b"C.GET", b"C.SET"):
                    writer.write(b"+PONG\r\n" if parts[0] == b"PING" else b"-ERR unknown\r\n")
                    continue
                self.received.append((time.monotonic(), parts[2].decode()))
                self.record(f"{self.name} got {parts[0].decode()} {parts[2].decode()} {parts[3].decode()}")
                await asyncio.sleep(self.work)
                value = b"value-of-" + parts[1]
                writer.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))
        self.writers.discard(writer)
        writer.close()


class Origin:
    """The origin: answers reads with a value and writes with a receipt after `work` seconds."""

    def __init__(self, record: Record, work: float = 0.05) -> None:
        self.record, self.work, self.idle_s = record, work, IDLE_S
        self.runs: dict[str, list[float]] = {}  # times of the runs, by request id

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = address_of(self.server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            while True:
                async with asyncio.timeout(self.idle_s):
                    method, target, headers = await read_http_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                request_id = headers.get("request-id", "")
                self.runs.setdefault(request_id, []).append(time.monotonic())
                self.record(f"origin runs {method} {target} {request_id}")
                await asyncio.sleep(self.work)
                body = (b"receipt-of-" if method == "PUT" else b"value-of-") + target[1:].encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


async def read_http_head(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]]:
    """Read the head of an HTTP request: method, target, and headers with names in lower case."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {n.lower(): v for n, v in (line.split(": ", 1) for line in lines)}
    return method, target, headers


def entry(name: str, address: str, kind: str, weight: float = 1.0, **changes: Any) -> dict[str, Any]:
    """Return an entry of discovery's list."""
    fields: dict[str, Any] = {"name": name, "address": address, "zone": "z1", "type": kind, "group": 0}
    return fields | {"status": "in_service", "weight": weight, "since_ms": 0} | changes


class Discovery:
    """One discovery service: a list with versions, the call for all of it and the watch.

    A call that begins a watch or asks for the list waits `turn` seconds before it is handled; one that goes
    on with a watch within 200 ms does not.
    """

    def __init__(self, record: Record, entries: list[dict[str, Any]], name: str = "discovery") -> None:
        self.record, self.name = record, name
        self.entries = {e["name"]: e for e in entries}
        self.index = 1
        self.changed_at = {e["name"]: 1 for e in entries}  # version of the latest change of each entry
        self.turn = 0.0
        self.turn_limit = 2.0  # a call that has to wait longer fails with 503
        self.news = asyncio.Event()
        self.last_answer = -1e9
        self.told: list[tuple[float, int]] = []  # time and version of each answer
        self.calls = self.fails = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = address_of(self.server)

    def close_connections(self) -> None:
        """Close the connections that are open."""
        for writer in self.writers:
            reset(writer)

    def stop(self) -> None:
        """Go down: open connections end and new ones are refused."""
        self.server.close()
        self.close_connections()

    async def restart(self) -> None:
        """Come back at the same address."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def publish(self, *changed: dict[str, Any]) -> None:
        """Make the next version of the list with these entries."""
        self.index += 1
        for row in changed:
            self.entries[row["name"]] = row
            self.changed_at[row["name"]] = self.index
        self.news.set()
        self.news = asyncio.Event()

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [e for e in self.entries.values() if e["status"] != "terminated"]
        return {"index": self.index, "snapshot": True, "endpoints": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                _, target, headers = await read_http_head(reader)
                await self._answer(target, reader, writer)
                if headers.get("connection") == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        called_at = time.monotonic()
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(target).query)
        self.record(f"{self.name} gets call {target}")
        if called_at - self.last_answer > 0.2 or "after" not in query:
            if self.turn > self.turn_limit:
                await asyncio.sleep(self.turn_limit)
                self.fails += 1
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                return
            await asyncio.sleep(self.turn)
        if "after" in query:
            after, until = int(query["after"][0]), time.monotonic() + int(query["wait_ms"][0]) / 1000
            while self.index <= after and (left := until - time.monotonic()) > 0:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.news.wait(), left)
            rows = [e for n, e in self.entries.items() if self.changed_at[n] > after]
            answer = {"index": self.index, "snapshot": False, "endpoints": rows}
        else:
            answer = self.full()
        body = json.dumps(answer).encode()
        if not reader.at_eof() and not writer.transport.is_closing():
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            self.last_answer = time.monotonic()
            self.told.append((self.last_answer, self.index))
            self.record(f"{self.name} answers {target} with version {self.index}, {len(body)} bytes")
        else:
            self.record(f"{self.name}: caller of {target} has gone before the answer")


def bhorti_settings() -> dict[str, Any]:
    """Return settings inside the ranges of bhorti-portal.toml, for one router of four."""
    common = {"group": "all", "repeatWindow": 4.0, "streaming": False}
    return {
        "areas": ["z1"],
        "zone": "z1",
        "classes": [
            {"name": "seat-view", "aim": 1.5, "giveUp": 6.0, "effect": "free", "value": 1.0} | common,
            {"name": "fee-record", "aim": 2.5, "giveUp": 6.0, "effect": "guarded", "value": 10.0} | common,
            {"name": "seat-lock", "aim": 1.0, "giveUp": 2.0, "effect": "single_shot", "value": 3.0} | common,
        ],
        "family": "cache",
        "familyInfo": {"mode": "aside", "originKind": 1},
        "skus": ["mid-box", "origin"],
        "limits": {
            "connIdle": 30.0,
            "dialTimeout": 0.25,
            "maxRetryAfter": 2.0,
            "mayCancel": True,
            "mostTries": 6,
            "multiplex": 32,
            "peers": False,
            "probes": True,
            "retryAfter": False,
            "secondCopies": True,
        },
        "penalties": {"connection": 0.0, "handshake": 0.02},
        "rules": {
            "answerSlack": 0.02,
            "coldFrom": 0.13,
            "fallMultiple": 3.0,
            "mustAskIn": 10.0,
            "overloadFor": 1.5,
            "rampTime": 23.0,
            "stopSendingWithin": 2.5,
        },
        "membershipMode": "subscribe",
        "me": 0,
        "siblings": 4,
        "resolution": 0.005,
        "weights": "nominal",
    }


def jawa_settings() -> dict[str, Any]:
    """Return settings inside the ranges of jawa-praktikum.toml, for one router of two."""
    table = bhorti_settings()
    common = {"group": "all", "repeatWindow": 4.0, "streaming": False}
    table["classes"] = [
        {"name": "open-sim", "aim": 0.75, "giveUp": 2.0, "effect": "free", "value": 2.0} | common,
        {"name": "submit-run", "aim": 1.2, "giveUp": 4.0, "effect": "guarded", "value": 10.0} | common,
        {"name": "use-credit", "aim": 1.5, "giveUp": 3.0, "effect": "single_shot", "value": 8.0} | common,
    ]
    table["skus"] = ["standard", "origin"]
    table["limits"] |= {
        "connIdle": 10.0,
        "mostTries": 5,
        "multiplex": 128,
        "retryAfter": True,
        "secondCopies": False,
    }
    table["rules"] |= {"coldFrom": 0.32, "overloadFor": 3.0, "rampTime": 9.0, "stopSendingWithin": 0.5}
    table["siblings"] = 2
    return table


def configuration(settings: dict[str, Any], discovery: Discovery, **limits: float) -> dict[str, Any]:
    """Return a router's configuration; it starts with discovery's present list."""
    return {
        "name": "n0",
        "listen": f"{ROUTER_HOST}:{free_port(ROUTER_HOST)}",
        "discovery": discovery.address,
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits,
        "known": discovery.full(),
        "settings": settings,
    }


class Platform:
    """Starts and stops a router with the deploy file's command, and holds it to its memory limit."""

    def __init__(self, record: Record, config: dict[str, Any]) -> None:
        self.record, self.config = record, config
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.killed_for_memory = False

    def write_config(self) -> None:
        """Replace the configuration file."""
        path = self.folder / "config.new"
        path.write_text(json.dumps(self.config))
        path.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Start the router and wait until it answers PING with PONG. Raises `RuntimeError` after 30 s."""
        self.write_config()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        variables = {
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=os.environ | variables, stdout=log, stderr=log
            )
        self.record(f"platform starts the router, process {self.process.pid}")
        limit = time.monotonic() + 30
        while time.monotonic() < limit and self.process.poll() is None:
            await asyncio.sleep(0.05)
            with suppress(OSError):
                reader, writer = await self.connect()
                writer.write(pack(b"PING"))
                answer = await read_answer(reader)
                writer.close()
                if answer == b"+PONG" and self.process.poll() is None:
                    self.record("router is ready")
                    return
        raise RuntimeError("the router did not get ready")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect a client."""
        host, _, port = self.config["listen"].rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def reload(self) -> None:
        """Replace the configuration file and send SIGHUP."""
        assert self.process is not None
        self.write_config()
        self.process.send_signal(signal.SIGHUP)
        self.record(f"platform sends SIGHUP; discovery is now {self.config['discovery']}")

    def memory_mb(self) -> float:
        """Return the memory that the router holds, 0 if it has ended."""
        assert self.process is not None
        with suppress(OSError, StopIteration, ValueError):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            return int(next(x for x in lines if x.startswith("VmRSS")).split()[1]) / 1024
        return 0.0

    async def watch_memory(self) -> None:
        """Kill the router once it holds more than `memory_mb` (DEPLOY); record its memory each second."""
        assert self.process is not None
        next_note = 0.0
        while self.process.poll() is None:
            memory = self.memory_mb()
            if time.monotonic() >= next_note:
                self.record(f"router holds {memory:.0f} MB")
                next_note = time.monotonic() + 1
            if memory > self.config["limits"]["memory_mb"]:
                self.killed_for_memory = True
                self.record(f"platform kills the router: it holds {memory:.0f} MB")
                self.process.kill()
                return
            await asyncio.sleep(0.1)

    def close(self) -> None:
        """End the router, keep its log in the record, and remove the temporary folder."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
        lines = (self.folder / "log").read_text(errors="replace").splitlines()
        for line in [*lines[:40], *lines[40:][-40:]]:
            self.record(f"router's log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


class Clients:
    """Sound clients: each request goes on a new connection or on one that has no request out."""

    def __init__(self, record: Record, platform: Platform) -> None:
        self.record, self.platform = record, platform
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.count = self.served = self.failed = self.shut = 0
        self.open_now = self.most_open = 0  # connections
        self.lost: list[str] = []
        self.lost_by_time: Counter[int] = Counter()  # by the time of the request in ms

    async def request(
        self, verb: bytes, name: str, deadline_ms: int, keep: bool = True, **more: bytes
    ) -> bytes:
        """Send one request, wait for its final answer and judge it. Return the answer, empty if none came.

        The client stays until half a second and the slack after its time: then the request is lost. A request
        that crosses the end of a kept connection is sent once more on a new one; one whose new connection is
        shut counts in `shut`.
        """
        self.count += 1
        request_id = f"{os.getpid():08x}{self.count:08x}"
        key = more.get("key", b"%016x" % (self.count * 7919))
        info = b"c=%b,d=%d" % (name.encode(), deadline_ms)
        if "k" in more:
            info += b",k=" + more["k"]
        parts = [verb, key, request_id.encode(), info] + ([more["value"]] if "value" in more else [])
        sent_at, answer, shut = time.monotonic(), b"", False
        limit = deadline_ms / 1000 + GRACE_S + SLACK_S
        for again in (False, True):
            fresh = again or not (keep and self.idle)
            writer = None
            try:
                reader, writer = await self.platform.connect() if fresh else self.idle.pop()
                self.open_now += fresh
                self.most_open = max(self.most_open, self.open_now)
                sent_at = time.monotonic()
                self.record(f"client sends {verb.decode()} {request_id} {info.decode()}")
                writer.write(pack(*parts))
                async with asyncio.timeout(limit):
                    answer = await read_answer(reader)
                shut = fresh and not answer
            except TimeoutError:
                self.record(f"client of {request_id}: neither an answer nor a close, it gives up")
                fresh = True  # no second try
            except OSError as e:
                shut = fresh
                self.record(f"client of {request_id}: {e!r}")
            if answer and keep and writer is not None:
                self.idle.append((reader, writer))
            elif writer is not None:
                writer.close()
                self.open_now -= 1
            if answer or fresh:
                break
        took = time.monotonic() - sent_at
        self.record(f"client gets {request_id} after {took:.3f} s: {answer[:40]!r}")
        if shut:
            self.shut += 1
        elif not answer:
            self.lost.append(request_id)
            self.lost_by_time[deadline_ms] += 1
        elif answer[:1] == b"$":
            self.served += 1
        else:
            self.failed += 1
        return answer


async def watch_own_pace(record: Record) -> None:
    """End once the stand-ins themselves were held up for `MOST_HELD_UP_S`: the play then proves nothing."""
    held_up = 0.0
    while held_up < MOST_HELD_UP_S:
        before = time.monotonic()
        await asyncio.sleep(0.05)
        held_up = time.monotonic() - before - 0.05
    record(f"the stand-ins were held up for {held_up:.2f} s")


def run_case(folder: Path, play: Callable[[Record, bool], Awaitable[bool]]) -> int:
    """Play a case and return the exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")

    async def bounded() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for signum in (signal.SIGTERM, signal.SIGINT):  # a play that is ended takes its router with it
            asyncio.get_running_loop().add_signal_handler(signum, task.cancel)
        watch = asyncio.create_task(watch_own_pace(record))
        # Stand-ins that still serve when the play ends are cancelled; the loop would report each of them.
        asyncio.get_running_loop().set_exception_handler(lambda _, context: None)
        async with asyncio.timeout(110):
            broken = await play(record, trouble)
        if watch.done():
            raise RuntimeError("the stand-ins were held up, so that their clocks say little")
        return broken

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as e:  # whatever keeps the case from running
        record(f"the case could not run: {e!r}")
        print(f"could not run: {e!r}")
        return COULD_NOT_RUN
    record("the rule was BROKEN" if broken else "the rule held")
    print("broken" if broken else "held")
    return int(broken)
