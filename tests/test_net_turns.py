"""What one turn of the event loop may hold up, and what a fault in it may cost.

Both ends of a connection live in one thread here: what a test sends or ends by hand is in the system before
the router's loop turns again, so the order of events is the one written down.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from brackenwalk import interface as api
from brackenwalk.net import listener
from brackenwalk.net.clients import MAX_COMMANDS_PER_TURN, PARSE_CHUNK_BYTES, ClientConnection
from tests.loopback import HIT, Link, Router, command, read, run
from tests.test_terms_clients import NEVER, Roomy, at_once, leave_at_once, paused, turns

FLOOD = 600  # commands that one client sends at once
NO_COMMAND = read("flood", info="c=unheard-of,d=900")  # refused at once, so that no answer is waited for


class Takes:
    """The connections whose commands are taken, in that order."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.order: list[ClientConnection] = []
        take = ClientConnection._process_command

        def noted(connection: ClientConnection, parts: object) -> None:
            self.order.append(connection)
            take(connection, parts)

        monkeypatch.setattr(ClientConnection, "_process_command", noted)


async def flooded(router: Router, takes: Takes) -> Link:
    """A client that has sent a flood, of which the first commands have just been taken."""
    flooding = await router.client()
    await turns()
    at_once(flooding, NO_COMMAND * FLOOD)
    while not takes.order:
        await asyncio.sleep(0)
    return flooding


def test_a_flood_from_one_client_does_not_hold_up_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """All that had come was taken in one turn: what others had sent, and all that was due, was late by it."""

    async def scenario() -> None:
        async with Router() as router:
            flooding, other = await router.client(), await router.client()
            await turns()
            takes = Takes(monkeypatch)
            at_once(flooding, NO_COMMAND * FLOOD)
            at_once(other, command("PING"))
            assert await other.resp() == b"PONG"
            assert len(takes.order) <= 4 * MAX_COMMANDS_PER_TURN
            for _ in range(FLOOD):
                assert isinstance(await flooding.resp(), Exception)

    run(scenario)


def test_no_more_of_a_flood_is_taken_once_its_client_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with Router() as router:
            takes = Takes(monkeypatch)
            leave_at_once(await flooded(router, takes))
            await turns()
            assert len(takes.order) <= MAX_COMMANDS_PER_TURN and not router.listener.connections

    run(scenario)


def test_answers_of_one_turn_ask_for_one_turn_more(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each answer would otherwise have a turn's commands taken, all of them in the same turn."""

    async def scenario() -> None:
        async with Router() as router:
            takes = Takes(monkeypatch)
            flooding = await flooded(router, takes)
            assert len(takes.order) <= MAX_COMMANDS_PER_TURN
            while len(takes.order) < FLOOD:
                before = len(takes.order)
                await asyncio.sleep(0)
                assert len(takes.order) - before <= MAX_COMMANDS_PER_TURN
            flooding.close()

    run(scenario)


@pytest.mark.parametrize("size", [1, PARSE_CHUNK_BYTES - 1, PARSE_CHUNK_BYTES, PARSE_CHUNK_BYTES + 1, 65_536])
def test_a_long_value_passes_whole_whatever_its_pieces(size: int) -> None:
    value = bytes(i % 251 for i in range(size))

    async def scenario() -> None:
        async with Router() as router:
            client = await router.client()
            client.write(command("C.SET", "k", "w1", "c=book,t=x,d=2000,k=5c0f", value) + read("r1"))
            origin = await router.origin.link()
            assert (await origin.http())[2] == value
            cache = await router.cache()
            assert (await cache.resp())[2] == b"r1"

    run(scenario)


def test_nothing_is_written_on_a_connection_that_outlasted_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A dial that ended between two looks had its request written, for a client that had left before."""
    monkeypatch.setattr(listener, "DISCONNECT_POLL_S", NEVER)

    async def scenario() -> None:
        async with Roomy() as router:
            client, out = await paused(router)
            loop, gate = asyncio.get_running_loop(), asyncio.Event()
            connect = loop.create_connection

            async def held_back(*args: Any) -> Any:
                await gate.wait()
                return await connect(*args)

            monkeypatch.setattr(loop, "create_connection", held_back)
            at_once(out[b"r0"], b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
            while not router.origins.dials:
                await asyncio.sleep(0)
            leave_at_once(client)
            gate.set()
            while router.origins.dials:
                await asyncio.sleep(0)
            await turns()
            assert not router.origins.connections and not router.host.router.held
            assert router.origin.links.empty() or await (await router.origin.link()).ended()

    run(scenario)


# A fault of the router's own


def test_a_fault_in_one_action_costs_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """The final answer that came behind it was lost."""

    async def scenario() -> None:
        async with Router() as router:

            def handle(now: float, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Request):
                    return [api.Tell(b"x"), api.Fail(event.request)]
                return []

            def faulty(content: bytes) -> None:
                raise ValueError(content)

            monkeypatch.setattr(router.host.router, "handle", handle)
            monkeypatch.setattr(router.host, "broadcast", faulty)
            client = await router.client()
            client.write(read("r1"))
            assert str(await client.resp()) == "ERR failed"

    run(scenario)


def test_a_fault_of_the_module_costs_no_other_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Events that waited behind it were left to the next one, and its own request had no answer."""

    async def scenario() -> None:
        async with Router() as router:
            handle = router.host.router.handle

            def faulty(now: float, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Request) and event.request == "bad":
                    raise ZeroDivisionError
                return handle(now, event)

            monkeypatch.setattr(router.host.router, "handle", faulty)
            client, other = await router.client(), await router.client()
            client.write(read("bad", info="c=read,t=x,d=300"))
            other.write(read("good"))
            cache = await router.cache()
            assert (await cache.resp())[2] == b"good"
            cache.write(HIT)
            assert await other.resp() == b"value"
            assert str(await client.resp()) == "ERR failed"
            assert not router.host.router.held

    run(scenario)


def test_a_timer_that_faults_leaves_the_next_one_its_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with Router() as router:
            seen: list[str] = []

            def handle(now: float, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.TimerFired):
                    seen.append(event.token)
                    if event.token == "first":
                        raise KeyError(event.token)
                return []

            monkeypatch.setattr(router.host.router, "handle", handle)
            router.host.events.append(api.TimerFired("first"))
            router.host.post(api.TimerFired("second"))
            assert seen == ["first", "second"]

    run(scenario)
