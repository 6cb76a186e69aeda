"""Test harness on loopback: scripted servers and clients around a real host and listener."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, Self

import hiredis

from brackenwalk import interface as api
from brackenwalk.net.host import Host
from brackenwalk.net.listener import Listener
from brackenwalk.net.memory import DEFAULT_LIMITS, MemoryLimits
from brackenwalk.net.origin import OriginConnection
from brackenwalk.net.pool import Pool
from brackenwalk.net.requests import Member
from brackenwalk.net.servers import CacheConnection

TIMEOUT_S = 10.0  # after which a test that waits for an event fails
HIT = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
READ = api.RequestClass("read", aim=1.0)
BOOK = api.RequestClass(
    "book", 1.0, api.RetrySafety.KEYED, api.RepeatGroup.ALL, repeat_window=15.0, priority=3.0
)
SETTINGS = api.Settings(
    classes={"read": READ, "book": BOOK},
    aside=True,
    origin_kind="origin",
    may_cancel=True,
    second_copies=True,
    max_attempts=4,
    max_retry_after=2.0,
)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a test; it fails if it does not end within `TIMEOUT_S` or if a callback of the loop raises."""
    errors: list[dict[str, Any]] = []

    async def bounded() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with asyncio.timeout(TIMEOUT_S):
            await scenario()

    asyncio.run(bounded())
    assert not errors


def format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def http(status: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def command(*parts: str | bytes) -> bytes:
    return bytes(hiredis.pack_command(parts))  # type: ignore[arg-type]


def read(request_id: str, key: str = "k", info: str = "c=read,t=x,d=2000") -> bytes:
    return command("C.GET", key, request_id, info)


def book(request_id: str, key: str = "k", value: bytes = b"slot") -> bytes:
    return command("C.SET", key, request_id, "c=book,t=x,d=2000,k=5c0f", value)


class Link:
    """The test's end of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader(notEnoughData=Ellipsis)

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def resp(self) -> Any:
        """Read the next RESP message."""
        while (message := self.parser.gets()) is Ellipsis:
            data = await self.reader.read(65536)
            assert data, "the connection ended"
            self.parser.feed(data)
        return message

    async def http(self) -> tuple[str, dict[str, str], bytes]:
        """Read the next HTTP request, and return its request line, headers and body."""
        request_line, *header_lines = (
            (await self.reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
        )
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in header_lines)}
        return request_line, headers, await self.reader.readexactly(int(headers.get("content-length", 0)))

    async def wait_closed(self) -> bool:
        """Wait for the router to close or reset the connection; False if it sends anything before."""
        try:
            return await self.reader.read() == b""
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        """Close with a reset."""
        link_socket = self.writer.get_extra_info("socket")
        link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ScriptedServer:
    """A server that hands each of its connections to the test."""

    def __init__(self) -> None:
        self.links: asyncio.Queue[Link] = asyncio.Queue()

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = format_address(self.server.sockets[0].getsockname())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.put_nowait(Link(reader, writer))

    async def link(self) -> Link:
        """Wait for the next connection to this server."""
        return await self.links.get()


def member(name: str, address: str, kind: str = "std", **fields: Any) -> Member:
    return Member(api.ServerEntry(name, kind=kind, weight=1.0, **fields), address)


class RouterHarness:
    """A host and its listener, with two scripted cache servers and an origin."""

    def __init__(
        self,
        settings: api.Settings = SETTINGS,
        listed: bool = True,
        client_budget: int = 16,
        limits: MemoryLimits = DEFAULT_LIMITS,
    ) -> None:
        self.listed = listed
        self.subscribe_count = 0
        self.caches = {"a": ScriptedServer(), "b": ScriptedServer()}
        self.origin = ScriptedServer()
        self.cache_pool = Pool(CacheConnection, 16, 1.0, 60.0)
        self.origin_pool = Pool(OriginConnection, 16, 1.0, 60.0)
        self.host = Host(settings, 1, self.cache_pool, self.origin_pool, self._subscribe, limits=limits)
        self.listener = Listener(self.host, client_budget, limits)

    def _subscribe(self) -> None:
        self.subscribe_count += 1

    async def __aenter__(self) -> Self:
        for server in (*self.caches.values(), self.origin):
            await server.__aenter__()
        if self.listed:
            self.list("a", "b")
        self.listener.start(("127.0.0.1", 0))
        return self

    def list(self, *names: str) -> None:
        members = [member(n, self.caches[n].address) for n in names]
        origin = member("o", self.origin.address, "origin")
        self.host.on_server_list(api.ListKind.FULL, [*members, origin])

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for connection in [*self.listener.connections, *self.listener.lingering]:
            connection.transport.abort()
        await self.listener.stop(0.0, 1.0)
        self.cache_pool.close()
        self.origin_pool.close()
        for server in (*self.caches.values(), self.origin):
            await server.__aexit__(kind, error, trace)

    def accepted_ids(self) -> set[str]:
        """Return the ids of all requests that the host has accepted and whose time is not over."""
        return {*self.host.requests, *self.host.recent_ids.deadlines}

    async def client(self) -> Link:
        """Connect a new client."""
        return Link(*await asyncio.open_connection(*self.listener.socket.getsockname()))

    async def cache(self) -> Link:
        """Wait for the next connection to either cache server."""
        waits = [asyncio.create_task(s.link()) for s in self.caches.values()]
        done, others = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for other in others:
            other.cancel()
        return done.pop().result()

    async def start_read(self, request_id: str = "r1", info: str = "c=read,t=x,d=2000") -> tuple[Link, Link]:
        """Send a read and wait until a cache server has it; return the client's and the server's links."""
        client = await self.client()
        client.write(read(request_id, info=info))
        cache = await self.cache()
        assert (await cache.resp())[2] == request_id.encode()
        return client, cache
