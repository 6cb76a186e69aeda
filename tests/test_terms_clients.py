"""The terms on clients: those that leave, those that fill the descriptors, and how connections are closed.

Both ends of a connection live in one thread here: what a test sends or closes by hand is in the system
before the router's loop turns again, so the order of events is the one written down.
"""

from __future__ import annotations

import asyncio
import resource
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any, Self

import pytest

from brackenwalk.net import clients, listener
from brackenwalk.net.clients import MAX_PIPELINED, ClientConnection
from tests.loopback import HIT, MISS, SETTINGS, Link, Peer, Router, book, command, http, read, run, spelled
from tests.test_main import VALID_CONFIG, launch, listening_address
from tests.test_net_discovery import ENTRY
from tests.test_wirehost import CONF

LONG = "c=read,t=x,d=60000"
NEVER = 3600.0
TURNS = 20  # of the loop: more than any step from one event to the write that it leads to


def at_once(link: Link, data: bytes) -> None:
    """Write so that the data is in the system when this returns."""
    assert link.writer.get_extra_info("socket")._sock.send(data) == len(data)


def leave_at_once(link: Link) -> None:
    """End the connection so that the end is in the system when this returns."""
    link.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)


async def turns(count: int = TURNS) -> None:
    """Let the loop turn, with no time to wait for."""
    for _ in range(count):
        await asyncio.sleep(0)


class Skip:
    """Lets the loop's clock jump ahead."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        loop = asyncio.get_running_loop()
        self.skipped, time = 0.0, loop.time
        monkeypatch.setattr(loop, "time", lambda: time() + self.skipped)

    async def ahead(self, seconds: float) -> None:
        self.skipped += seconds
        await turns()


class Raw:
    """A client whose every byte and end is seen as the system tells it."""

    def __init__(self, router: Router, room: int | None = None) -> None:
        self.socket = socket.socket()
        if room is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        self.socket.connect(router.listener.socket.getsockname())  # the system accepts
        self.socket.setblocking(False)

    def send(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    async def heard(self) -> bytes:
        """What comes up to the router's end; a reset is an error."""
        data = b""
        while more := await asyncio.get_running_loop().sock_recv(self.socket, 65_536):
            data += more
        return data

    async def shown(self) -> Self:
        """Once it has been answered."""
        self.send(command("PING"))
        assert await asyncio.get_running_loop().sock_recv(self.socket, 100) == b"+PONG\r\n"
        return self

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.socket.close()


def unused(router: Router) -> bool:
    """Whether no server has a connection that no test has taken in hand, and none is being made."""
    peers = (*router.caches.values(), router.origin)
    dials = router.servers.dials | router.origins.dials
    return all(p.links.empty() for p in peers) and not dials


async def paused(router: Router, commands: int = 2 * MAX_PIPELINED) -> tuple[Link, dict[bytes, Link]]:
    """A client that is not read from, with more commands than are taken, and the attempts of those."""
    client = await router.client()
    client.write(b"".join(read(f"r{n}", f"k{n}", LONG) for n in range(commands)))
    out: dict[bytes, Link] = {}

    async def collect(peer: Peer) -> None:
        while True:
            link = await peer.link()
            out[(await link.resp())[2]] = link

    tasks = [asyncio.create_task(collect(p)) for p in router.caches.values()]
    while len(out) < min(commands, MAX_PIPELINED):
        await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
    (connection,) = router.listener.connections
    assert not connection.transport.is_reading()
    return client, out


# A client that has gone: no attempt begins more than 0.1 s later


ROOMY = replace(SETTINGS, second_copies=False)


class Roomy(Router):
    """With places at the caches for all that one client may have out, and a copy of none."""

    def __init__(self, settings: Any = ROOMY) -> None:
        super().__init__(settings)
        self.servers.budget = 64

    def list(self, *names: str) -> None:
        super().list(*names)
        for server in self.host.router.servers.values():
            server.limit = 64.0


def test_a_client_that_leaves_unread_is_noticed_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Looks came each 0.1 s: with the turn of a busy loop on top, attempts began later than that."""

    async def scenario() -> None:
        async with Roomy() as router:
            skip = Skip(monkeypatch)
            client, _ = await paused(router)
            await skip.ahead(0.1)  # a look has just been, and the next is as far off as it gets
            leave_at_once(client)
            await skip.ahead(0.05)
            assert not router.listener.connections and not router.host.router.held

    run(scenario)


def test_no_further_attempt_begins_before_a_look(monkeypatch: pytest.MonkeyPatch) -> None:
    """A miss that came behind the client's end went on to the origin."""
    monkeypatch.setattr(listener, "DISCONNECT_POLL_S", NEVER)

    async def scenario() -> None:
        async with Roomy() as router:
            client, out = await paused(router)
            leave_at_once(client)
            at_once(out[b"r0"], MISS)
            at_once(out[b"r1"], b"-BUSY\r\n")
            out[b"r2"].reset()
            await turns()
            assert unused(router) and not router.host.router.held

    run(scenario)


def test_no_command_held_back_is_taken_for_a_client_that_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each answer made room for a command that had waited in the router, whoever was still there."""
    monkeypatch.setattr(listener, "DISCONNECT_POLL_S", NEVER)

    async def scenario() -> None:
        async with Roomy() as router:
            client, out = await paused(router)
            taken = set(router.host.requests)
            leave_at_once(client)
            at_once(out[b"r0"], HIT)
            await turns()
            assert set(router.host.requests) <= taken and unused(router)
            assert not router.listener.connections and not router.host.router.held

    run(scenario)


def test_no_dial_goes_on_for_a_client_that_left_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    """The dial is dropped by the look, before it could end and have the request written."""

    async def scenario() -> None:
        async with Roomy() as router:
            client, out = await paused(router)
            loop, gate, skip = asyncio.get_running_loop(), asyncio.Event(), Skip(monkeypatch)
            connect = loop.create_connection

            async def held_back(*args: Any) -> Any:
                await gate.wait()
                return await connect(*args)

            monkeypatch.setattr(loop, "create_connection", held_back)
            at_once(out[b"r0"], MISS)
            while not router.origins.dials:
                await asyncio.sleep(0)
            await skip.ahead(0.1)
            leave_at_once(client)
            await skip.ahead(0.05)
            gate.set()
            await turns()
            assert unused(router) and not router.origins.connections

    run(scenario)


@pytest.mark.parametrize("further", ["to the origin", "to another cache"])
def test_events_of_one_turn_begin_no_attempt_for_a_client_that_has_left(further: str) -> None:
    """A kept connection has the request written at once, before the loop comes to the client's end."""

    async def scenario() -> None:
        async with Router(replace(ROOMY, may_cancel=False)) as router:
            # kept connections everywhere: a write is served by the origin, reads by either cache
            writer = await router.client()
            writer.write(book("w1"))
            origin = await router.origin.link()
            await origin.http()
            origin.write(http("200 OK", b"receipt"))
            await writer.resp()
            links: dict[str, Link] = {}
            for name in router.caches:
                router.list(name)
                writer.write(read("of-" + name))
                links[name] = await router.caches[name].link()
                await links[name].resp()
                links[name].write(HIT)
                await writer.resp()
            router.list("a", "b")
            await asyncio.sleep(0.03)  # an answered connection rests before it is used again
            client = await router.client()
            client.write(read("r1"))
            while not (busy := [c for c in router.servers.connections if c.exchange is not None]):
                await asyncio.sleep(0)
            (name,) = (n for n, p in router.caches.items() if p.address == busy[0].address)
            assert (await links[name].resp())[2] == b"r1"
            others = [c for c in router.servers.connections | router.origins.connections if c is not busy[0]]
            assert len(others) == 2 and all(c.exchange is None for c in others)
            at_once(links[name], MISS if further == "to the origin" else b"-ERR failed\r\n")
            leave_at_once(client)
            router.servers.dial_timeout = 0.0
            await turns()
            assert router.host.requests["r1"].attempt_count <= 2 and router.host.requests["r1"].closed
            written = [c.exchange for c in others]
            assert written == [None, None] and unused(router)

    run(scenario)


# How connections are closed


def test_small_answers_are_not_held_back() -> None:
    """What the system holds back is lost with a connection that is closed over unread bytes."""

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(command("PING"))
            assert await client.resp() == b"PONG"
            (connection,) = router.listener.connections
            ours = connection.transport.get_extra_info("socket")
            assert ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(scenario)


@pytest.mark.parametrize("why", ["for room", "at the end"])
def test_a_request_that_crosses_the_close_sees_an_end_and_goes_nowhere(
    why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection was reset over it. Its client sends it again, so it must not be sent on here."""

    async def scenario() -> None:
        async with Router(clients=8) as router:
            with Raw(router) as client:
                await client.shown()
                (connection,) = router.listener.connections
                idle, crossed = ClientConnection.is_idle, [read("late")]

                def closing(looked_at: ClientConnection) -> bool:
                    found = idle(looked_at)
                    if found and looked_at is connection and crossed:
                        client.send(crossed.pop(0))  # in the moment after the look
                    return found

                monkeypatch.setattr(ClientConnection, "is_idle", closing)
                stop = None
                others = []
                if why == "for room":
                    others = [await Raw(router).shown() for _ in range(7)]
                else:
                    stop = asyncio.create_task(router.listener.stop(0.0, 5.0))
                assert await client.heard() == b""
                client.send(read("later") + b"*4\r\n$5\r\nC.G")
                await turns()
                assert await client.heard() == b""  # a reset would tell
                assert connection in router.listener.lingering and not crossed
                assert not router.host.requests and unused(router)
            if stop is not None:
                await stop
            for other in others:
                other.socket.close()
            await turns()
            assert connection not in router.listener.lingering

    run(scenario)


@pytest.mark.parametrize("junk", [b"PING\r\n", b"*4\r\n$900000000\r\n"])
def test_an_error_line_arrives_though_more_was_sent(junk: bytes) -> None:
    """Closed over bytes that were not read yet, the connection was reset."""

    async def scenario() -> None:
        async with Router() as router:
            with Raw(router) as peer:
                sent = asyncio.create_task(
                    asyncio.get_running_loop().sock_sendall(peer.socket, junk + b"x" * (1 << 19))
                )
                said = await peer.heard()
                assert said.startswith(b"-ERR ") and said.count(b"\r\n") == 1
                await sent
                peer.send(read("late"))
                await turns()
                assert not router.host.requests

    run(scenario)


def test_the_last_answer_arrives_whole_though_a_request_crosses_the_end() -> None:
    """It had not all gone out when the router ended; the close that followed reset what was left."""

    async def scenario() -> None:
        async with Router() as router:
            with Raw(router, room=4096) as client:
                client.send(read("r1"))
                cache = await router.cache()
                await cache.resp()
                (connection,) = router.listener.connections
                ours = connection.transport.get_extra_info("socket")
                ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                value = b"v" * 65_536
                cache.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))
                while connection.slots:
                    await asyncio.sleep(0)
                assert connection.transport.get_write_buffer_size()
                stop = asyncio.create_task(router.listener.stop(0.0, 5.0))
                while connection in router.listener.connections and not connection.transport.is_closing():
                    await asyncio.sleep(0)
                client.send(read("late"))
                assert await client.heard() == b"$%d\r\n%b\r\n" % (len(value), value)
                assert set(router.host.requests) <= {"r1"}
            await stop

    run(scenario)


def test_a_client_that_never_ends_its_side_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """Waiting for it, the router would be killed, and connections would fill the descriptors."""

    async def scenario() -> None:
        async with Router() as router:
            skip = Skip(monkeypatch)
            with Raw(router) as client:
                await client.shown()
                stop = asyncio.create_task(router.listener.stop(0.0, 5.0))
                assert await client.heard() == b""
                await skip.ahead(clients.LINGER_S + 0.1)
                assert stop.done() and not router.listener.lingering

    run(scenario)


def test_no_more_than_a_bound_is_read_from_a_client_after_the_end() -> None:
    """It could keep the router busy with what nobody wants."""

    async def scenario() -> None:
        async with Router() as router:
            with Raw(router) as peer:
                peer.send(b"PING\r\n")
                assert (await peer.heard()).startswith(b"-ERR ")
                with pytest.raises((ConnectionResetError, BrokenPipeError)):
                    while True:
                        await asyncio.get_running_loop().sock_sendall(peer.socket, b"x" * 65_536)

    run(scenario)


def test_those_that_linger_go_first_when_room_is_short() -> None:
    """Each holds a descriptor, and clients that come would find none."""

    async def scenario() -> None:
        async with Router(clients=8) as router:
            listener, peers = router.listener, []
            for _ in range(20):
                peers.append(await Raw(router).shown())
                await turns()
                assert len(listener.connections) + len(listener.lingering) <= 8
            assert len(listener.lingering) == 1 and len(listener.connections) == 7
            for peer in peers[:13]:
                assert await peer.heard() == b""
            for peer in peers[13:]:
                await peer.shown()
            for peer in peers:
                peer.socket.close()

    run(scenario)


# Idle clients that fill the descriptors


SOCKETS = 256  # the least that a router gets


@asynccontextmanager
async def program(
    tmp_path: Path, caches: list[Peer], discovery: str, limit: int
) -> AsyncIterator[tuple[asyncio.subprocess.Process, tuple[str, int]]]:
    """The real program in a process that may hold so many descriptors, and where it listens."""
    lines = [
        {**ENTRY, "name": f"s-{i}", "address": c.address, "type": "std", "since_ms": 0}
        for i, c in enumerate(caches)
    ]
    config = {**VALID_CONFIG, "listen": "127.0.0.1:0", "discovery": discovery}
    config["known"] = {"index": 1, "snapshot": True, "endpoints": lines}
    config["limits"] = {**VALID_CONFIG["limits"], "sockets": SOCKETS}
    classes = [{**c, "giveUp": 1.0} for c in CONF["classes"]]
    config["settings"] = {**CONF, "membershipMode": "automatic", "classes": classes}
    path = tmp_path / "config.json"
    process = await launch(path, config)
    try:
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        address = await listening_address(process.stderr)
        yield process, address
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def serve(peer: Peer) -> None:
    """Answer every read on every connection."""

    async def answer(link: Link) -> None:
        with suppress(AssertionError, ConnectionError):  # until the program ends the connection
            while True:
                await link.resp()
                link.write(HIT)

    tasks = []
    while True:
        tasks.append(asyncio.create_task(answer(await peer.link())))


def crowd(address: tuple[str, int], count: int, sent: bytes) -> list[socket.socket]:
    """Clients that connect, send no more than this, and rest."""
    idle = []
    for _ in range(count):
        idle.append(socket.create_connection(address))
        idle[-1].send(sent)
    return idle


async def warnings(process: asyncio.subprocess.Process, found: list[bytes]) -> None:
    """Keep what the log says of accepting that failed."""
    assert process.stderr is not None
    while line := await process.stderr.readline():
        if b"accept: " in line:
            found.append(line)


PING = command("PING")


@pytest.mark.parametrize(
    ("sent", "count", "limit"),
    [
        (PING, 400, SOCKETS),
        (b"", 400, SOCKETS),
        (PING + b"*4\r\n$5\r\nC.G", 150, SOCKETS),  # each may take 2 s to go on
        (PING, 400, 96),  # fewer than was told
        (b"", 400, 96),
    ],
)
def test_a_crowd_that_rests_takes_no_descriptor_that_others_need(
    sent: bytes, count: int, limit: int, tmp_path: Path
) -> None:
    """While discovery is down: clients are served, servers dialled, and discovery is called at its return.

    Half commands held their descriptors for good, and with the table full nothing was ever closed.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        discovery = socket.socket()  # bound all the time, so that no client gets its port; refuses calls
        discovery.bind(("127.0.0.1", 0))
        down = spelled(discovery.getsockname())
        async with Peer() as a, Peer() as b:
            servers = [asyncio.create_task(serve(p)) for p in (a, b)]
            async with program(tmp_path, [a, b], down, limit) as (process, address):
                failed: list[bytes] = []
                log, since = asyncio.create_task(warnings(process, failed)), loop.time()
                idle = crowd(address, count, sent)
                for i in range(20):
                    client = Link(*await asyncio.open_connection(*address))
                    client.write(read(f"r{i}", f"k{i}", "c=read,d=6000"))
                    assert await client.resp() == b"value"
                back = Peer()
                back.server = await asyncio.start_server(back._accept, sock=discovery)
                assert "after=1&" in (await (await back.link()).http())[0]
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
                await log
                if limit == SOCKETS:
                    assert not failed
                assert len(failed) <= 1 + (loop.time() - since) / listener.ACCEPT_RETRY_S  # no spin
                back.server.close()
                for each in idle:
                    each.close()
            for task in servers:
                task.cancel()

    run(scenario)


def test_what_has_connected_when_accepting_ends_takes_no_more_than_the_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All were accepted at once then, past the limit, and what rested was not closed before the very end."""

    async def scenario() -> None:
        async with Router(clients=8) as router:
            listener, most = router.listener, 0
            made = ClientConnection.connection_made

            def counted(connection: ClientConnection, transport: asyncio.BaseTransport) -> None:
                nonlocal most
                made(connection, transport)
                most = max(most, len(listener.connections) + len(listener.lingering))

            monkeypatch.setattr(ClientConnection, "connection_made", counted)
            idle = [await Raw(router).shown() for _ in range(7)]
            late = [Raw(router) for _ in range(30)]  # the loop has not run since: none is accepted yet
            for each in late:
                each.send(PING)
            await listener.stop(0.0, 5.0)
            for each in late:
                assert await each.heard() == b"+PONG\r\n"
            for each in idle:
                assert await each.heard() == b""
            assert most <= 8 + 1  # with the newest
            for each in (*late, *idle):
                each.socket.close()

    run(scenario)


def test_the_connection_longest_at_rest_makes_room() -> None:
    """The first to come was closed though it had just been used, and its next request crossed the close."""

    async def scenario() -> None:
        async with Router(clients=8) as router:
            first, second, *others = [await Raw(router).shown() for _ in range(7)]
            await first.shown()
            newest = await Raw(router).shown()
            assert await second.heard() == b""
            for each in (first, *others, newest):
                await each.shown()
            for each in (first, second, *others, newest):
                each.socket.close()

    run(scenario)


def test_a_connection_that_is_closing_already_makes_no_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Closed again and again in one turn of the loop, it would never come to its end."""

    async def scenario() -> None:
        async with Router(clients=8) as router:
            skip = Skip(monkeypatch)
            rests, half = await Raw(router).shown(), await Raw(router).shown()
            half.send(b"*4\r\n")
            await turns()
            await skip.ahead(clients.STALL_TIMEOUT_S + 0.1)
            for connection in router.listener.connections:
                connection.transport.abort()
            assert not router.listener._close_one()
            rests.socket.close()
            half.socket.close()

    run(scenario)
