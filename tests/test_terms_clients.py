"""The terms on clients: those that leave, those that fill the descriptors, and how connections are closed.

Both ends of a connection live in one thread here: what a test sends or closes by hand is in the system
before the router's loop turns again, so the order of events is the one written down.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from typing import Any

import pytest

from brackenwalk.net import clients
from brackenwalk.net.clients import MAX_PIPELINED
from tests.loopback import HIT, MISS, SETTINGS, Link, Peer, Router, book, command, http, read, run

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
    monkeypatch.setattr(clients, "LOOK", NEVER)

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
    monkeypatch.setattr(clients, "LOOK", NEVER)

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
            assert router.host.requests["r1"].sent <= 2 and router.host.requests["r1"].closed
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
