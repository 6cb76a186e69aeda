"""Stand-ins of the second review: cache servers, the origin, discovery, clients, and the router's process.

They speak the published protocol over loopback and need nothing but the standard library. Each case starts
them in one process of its own; the routers are started by the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
READ_LIMIT_BYTES = 1 << 20
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case


class CaseError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """The record of a case: what was sent, answered and run, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record was begun."""
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a port of the loopback interface that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


# RESP2


def encode_command(*parts: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return a line without its end. Raises `asyncio.IncompleteReadError` at the end of the stream."""
    return (await reader.readuntil(b"\r\n"))[:-2]


async def read_bulk(reader: asyncio.StreamReader, header: bytes) -> bytes | None:
    """Return the bulk string that a header announces, or None for a null."""
    length = int(header[1:])
    return None if length < 0 else (await reader.readexactly(length + 2))[:-2]


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the parts of the next command."""
    count = int((await read_line(reader))[1:])
    return [await read_bulk(reader, await read_line(reader)) or b"" for _ in range(count)]


def read_info(text: bytes) -> dict[str, str]:
    """Return the names and values behind a request's id."""
    return dict(pair.split("=", 1) for pair in text.decode().split(","))


@dataclass
class Run:
    """A request that a cache server or the origin has received whole."""

    at: float  # seconds of the record
    server: str
    verb: str
    key: str
    request_id: str
    info: dict[str, str]


class CacheServer:
    """A sound cache server: it stores what the origin hands it, and answers a hit or a miss.

    `delay` is the time in seconds that each request takes. One that drains answers new requests with BUSY.
    """

    def __init__(self, name: str, record: Record, *, delay: float = 0.01) -> None:
        self.name, self.record, self.delay = name, record, delay
        self.stored: dict[str, bytes] = {}
        self.runs: list[Run] = []
        self.draining = False

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=READ_LIMIT_BYTES)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError), contextlib.closing(writer):
            while True:
                parts = await read_command(reader)
                writer.write(await self.respond(parts))
                await writer.drain()

    async def respond(self, parts: list[bytes]) -> bytes:
        """Return the answer to a command."""
        if parts[0].upper() not in (b"C.GET", b"C.SET"):
            return b"+PONG\r\n" if parts[0].upper() == b"PING" else b"-ERR unknown\r\n"
        run = Run(
            self.record.now(),
            self.name,
            parts[0].decode(),
            parts[1].decode(),
            parts[2].decode(),
            read_info(parts[3]),
        )
        self.runs.append(run)
        self.record.line(f"{self.name} got {run.verb} {run.key} id={run.request_id} d={run.info.get('d')}")
        if self.draining:
            return b"-BUSY\r\n"
        await asyncio.sleep(self.delay)
        value = self.stored.get(run.key) if run.verb == "C.GET" else None
        if value is None:
            return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
        return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)


class Origin:
    """A sound origin over HTTP/1.1: values are made from the key, and a write's receipt from its id."""

    def __init__(self, name: str, record: Record, caches: list[CacheServer], *, delay: float = 0.02) -> None:
        self.name, self.record, self.caches, self.delay = name, record, caches, delay
        self.runs: list[Run] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=READ_LIMIT_BYTES)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError), contextlib.closing(writer):
            while True:
                method, target, headers, _ = await read_http(reader)
                body = await self.respond(method, unquote(target[1:]), headers)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()

    async def respond(self, method: str, key: str, headers: dict[str, str]) -> bytes:
        """Carry out a request and return the body of its answer."""
        info = read_info(headers["request-info"].encode())
        run = Run(self.record.now(), self.name, method, key, headers["request-id"], info)
        self.runs.append(run)
        self.record.line(
            f"{self.name} got {method} {key} id={run.request_id} d={info.get('d')} k={info.get('k')}"
        )
        await asyncio.sleep(self.delay)
        if method == "PUT":
            for cache in self.caches:
                cache.stored.pop(key, None)
            return b"receipt-" + run.request_id.encode()
        missed = [c for c in self.caches if any(r.request_id == run.request_id for r in c.runs)]
        for cache in missed[:2]:
            cache.stored[key] = value_of(key)
        return value_of(key)


def value_of(key: str) -> bytes:
    """Return the value that the origin holds for a key."""
    return b"value-of-" + key.encode()


async def read_http(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    """Return method, target, headers and body of the next HTTP request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = head[0].split(" ")
    headers = {n.lower(): v.strip() for n, _, v in (h.partition(":") for h in head[1:] if h)}
    return method, target, headers, await reader.readexactly(int(headers.get("content-length", 0)))


@dataclass
class Registry:
    """What discovery knows: all entries, and the version in which each was changed last."""

    index: int = 1
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, name: str, address: str, kind: str, status: str = "in_service", zone: str = "a") -> None:
        """Enter a server, or change it."""
        self.index += 1
        self.entries[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": kind,
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self.versions[name] = self.index
        self.changed.set()
        self.changed = asyncio.Event()

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [e for e in self.entries.values() if e["status"] != "terminated"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def changes(self, after: int) -> dict[str, Any]:
        """Return the changes since a version."""
        changed = [e for n, e in self.entries.items() if self.versions[n] > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}


class Discovery:
    """One address of discovery; each call waits in its queue for `queue_delay` seconds."""

    def __init__(self, name: str, registry: Registry, record: Record, *, queue_delay: float = 0.0) -> None:
        self.name, self.registry, self.record, self.queue_delay = name, registry, record, queue_delay
        self.writers: set[asyncio.StreamWriter] = set()
        self.first_answer = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError), contextlib.closing(writer):
            _, target, _, _ = await read_http(reader)
            self.record.line(f"{self.name} called: {target}")
            if await self.admit():
                message = await self._answer(parse_qs(urlsplit(target).query))
                await self._write(reader, writer, json.dumps(message).encode())
                self.first_answer.set()
            else:
                self.record.line(f"{self.name} fails a call with 503")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        self.writers.discard(writer)

    async def admit(self) -> bool:
        """Wait in the queue, and return whether the call is handled; it fails otherwise."""
        await asyncio.sleep(self.queue_delay)
        return True

    async def _write(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: bytes) -> None:
        if reader.at_eof() or writer.is_closing():
            self.record.line(f"{self.name}: the caller has gone before its answer")
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()
        self.record.line(f"{self.name} answered: {body.decode()[:60]}")

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        if "after" not in query:
            return self.registry.full()
        after, wait = int(query["after"][0]), min(60.0, int(query["wait_ms"][0]) / 1000)
        if self.registry.index <= after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self.registry.changed.wait()
        return self.registry.changes(after)

    def tell_no_changes(self) -> None:
        """Learn of no further changes, as another address of discovery does from now on."""
        self.registry = Registry(self.registry.index)

    def stop_accepting(self) -> None:
        """Take no new connections; the open ones stay open."""
        self.server.close()

    def close_open(self) -> None:
        """Close the open connections."""
        for writer in list(self.writers):
            writer.close()

    def go_down(self) -> None:
        """Refuse new connections and end the open ones."""
        self.record.line(f"{self.name} goes down")
        self.stop_accepting()
        self.close_open()

    async def come_back(self) -> None:
        """Listen again at the same address."""
        self.server = await asyncio.start_server(self._serve, HOST, int(self.address.rpartition(":")[2]))


class Router:
    """The process of one router, started by the command `run` of the deploy file."""

    def __init__(self, config: dict[str, Any], folder: str, name: str = "n0") -> None:
        self.config, self.name = config, name
        self.path = Path(folder) / f"{name}.json"
        self.log_path = Path(folder) / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Write the configuration file, replacing an earlier one at once."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)

    def start(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.write_config()
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.path),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def address(self) -> tuple[str, int]:
        """Return the address at which clients connect."""
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    async def ready(self) -> None:
        """Wait until the router answers PING with PONG. Raises `CaseError` if that takes too long."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process is None or self.process.poll() is not None:
                raise CaseError(f"router ended at its start: {self.log_path.read_text()[-500:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address())
                writer.write(encode_command(b"PING"))
                line = await asyncio.wait_for(read_line(reader), 2.0)
                writer.close()
                if line == b"+PONG":
                    return
            await asyncio.sleep(0.05)
        raise CaseError("router is not ready")

    def end(self) -> None:
        """End the process, if it still runs, and wait for it."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


@dataclass
class Answer:
    """What became of a request: `text` is its answer, empty if the connection ended without one."""

    text: bytes
    after: float  # seconds from the request's last byte to the answer's last byte

    @property
    def served(self) -> bool:
        """Whether a value or a receipt came."""
        return self.text[:1] == b"$" and self.text[:3] != b"$-1"


class Client:
    """A client's connection, on which one request follows the other."""

    def __init__(self, record: Record) -> None:
        self.record = record

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(*address, limit=READ_LIMIT_BYTES)

    async def request(self, command: bytes, patience: float) -> Answer | None:
        """Send a command and return its answer, or None if there is none within `patience` seconds."""
        sent_at = time.monotonic()
        self.writer.write(command)
        try:
            async with asyncio.timeout(patience):  # `wait_for` may swallow a cancellation in Python 3.11
                text = await self.read_answer()
        except TimeoutError:
            return None
        except (asyncio.IncompleteReadError, ConnectionError):
            text = b""
        return Answer(text, time.monotonic() - sent_at)

    async def read_answer(self) -> bytes:
        """Return the next answer: an error line, or the type byte and the value."""
        line = await read_line(self.reader)
        if line[:1] == b"$":
            value = await read_bulk(self.reader, line)
            return b"$-1" if value is None else b"$" + value
        return line

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def get(key: str, request_id: str, request_class: str, wait_ms: int) -> bytes:
    """Return the command of a read."""
    return encode_command(
        b"C.GET", key.encode(), request_id.encode(), f"c={request_class},d={wait_ms}".encode()
    )


def put(
    key: str,
    request_id: str,
    request_class: str,
    wait_ms: int,
    *,
    idempotency_key: str = "",
    value: bytes = b"v",
) -> bytes:
    """Return the command of a write; its idempotency key is the request's id unless one is given."""
    idempotency_key = idempotency_key or request_id
    info = f"c={request_class},d={wait_ms},k={idempotency_key}".encode()
    return encode_command(b"C.SET", key.encode(), request_id.encode(), info, value)


class Fleet:
    """A small deployment: cache servers, the origin, discovery, and the configuration of its routers."""

    def __init__(
        self,
        record: Record,
        settings: dict[str, Any],
        *,
        caches: int = 4,
        sockets: int = 512,
        memory_mb: int = 96,
    ) -> None:
        self.record, self.settings, self.sockets, self.memory_mb = record, settings, sockets, memory_mb
        self.caches = [CacheServer(f"s-{i}", record) for i in range(caches)]
        self.origin = Origin("origin", record, self.caches)
        self.registry = Registry()
        self.discovery = Discovery("discovery", self.registry, record)

    async def start(self) -> None:
        """Start all stand-ins and enter the servers in discovery."""
        skus, areas = self.settings["skus"], self.settings["areas"]
        for i, cache in enumerate(self.caches):
            await cache.start()
            self.registry.put(cache.name, cache.address, skus[0], zone=areas[i % len(areas)])
        await self.origin.start()
        self.registry.put(self.origin.name, self.origin.address, skus[-1], zone=areas[0])
        await self.discovery.start()

    def router(self, folder: str, seed: str = "8c1f30d27a5be964") -> Router:
        """Return a router that knows the present list."""
        config = {
            "name": "n0",
            "listen": f"{HOST}:{free_port()}",
            "discovery": self.discovery.address,
            "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": self.registry.full(),
            "settings": self.settings,
        }
        return Router(config, folder)


def finish(case: Callable[[Record, str], Any], record_path: Path) -> int:
    """Play a case with a temporary folder, write its record to a file, and return its exit code.

    SIGTERM ends the play as it ends by itself, so that the routers it started are ended too.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(record_path)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = int(asyncio.run(asyncio.wait_for(case(record, temporary), 115)))
        except (CaseError, OSError, TimeoutError) as e:
            record.line(f"could not run: {e!r}")
            code = COULD_NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no result"}[code])
    return code
