"""Limits on what siblings and discovery make the router hold: counts by key, and server lists."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import orjson
import pytest

from brackenwalk import interface as api
from brackenwalk.demand import MAX_COUNTED_KEYS, MAX_UNSENT_KEYS, OVERFLOW_FACTOR, Demand
from brackenwalk.membership import MAX_KINDS
from brackenwalk.net.discovery import MAX_TEXT_CHARS, DiscoveryClient, ListError, read_list
from brackenwalk.net.memory import DEFAULT_LIMITS, TooManyServersError
from brackenwalk.peer_message import MAX_KEYS, encode_message
from brackenwalk.policy import Router
from tests.driver import entry, settings
from tests.loopback import RouterHarness, ScriptedServer, http, member, run
from tests.test_net_discovery import ENTRY

MESSAGES = 3000  # from peers; all of them name other keys


def peer_message(number: int, total: int = MAX_KEYS) -> api.PeerMessage:
    keys = [(MAX_KEYS * number + i, 1) for i in range(MAX_KEYS)]
    return api.PeerMessage(encode_message(total, keys, [], 100.0))


@pytest.mark.parametrize("servers", [0, 1, 4])
@pytest.mark.parametrize("total", [MAX_KEYS, 0])
def test_counts_of_a_router_without_requests_are_bounded(servers: int, total: int) -> None:
    """Guards against: peers' counts pile up in a router that gets no requests, and so makes no plans."""
    router = Router(settings(peer_messages=True), 1, 100.0)
    router.handle(100.0, api.ServerList(api.ListKind.FULL, tuple(entry(f"s{i}") for i in range(servers))))
    for number in range(MESSAGES):
        router.handle(100.0, peer_message(number, total))
    for counter in (router.demand.history, router.demand.recent):
        assert counter.total <= OVERFLOW_FACTOR * counter.window * max(1, servers) + MAX_KEYS
        assert len(counter.counts) <= MAX_COUNTED_KEYS


def test_own_counts_without_any_server_are_bounded() -> None:
    """Guards against: counts that no message takes pile up while no server is listed."""
    demand = Demand()
    for key in range(2 * MAX_UNSENT_KEYS):
        demand.add(key)
        demand.limit(0)
    assert len(demand.unsent) == MAX_UNSENT_KEYS
    assert demand.history.total <= OVERFLOW_FACTOR * demand.history.window


def test_limits_leave_counts_alone_that_a_plan_would_keep() -> None:
    """Guards against: limits that change the shares of keys in a router that makes plans."""
    demand = Demand()
    for key in range(int(demand.history.window)):
        demand.add(key % 10)
    before = dict(demand.history.counts)
    demand.limit(1)
    assert demand.history.counts == before


def test_kinds_of_servers_that_have_left_are_bounded() -> None:
    """Guards against: the largest weight of every kind that was ever listed is kept."""
    router = Router(settings(live_weights=True), 1, 100.0)
    for number in range(2 * MAX_KINDS):
        listed = entry("s0", kind=f"kind-{number}", weight=2.0)
        router.handle(100.0, api.ServerList(api.ListKind.FULL, (listed,)))
    assert len(router.membership.largest_weights) <= MAX_KINDS + 1


@pytest.mark.parametrize("kind", [api.ListKind.FULL, api.ListKind.DELTA])
def test_list_that_does_not_fit_is_rejected_whole(kind: api.ListKind) -> None:
    """Guards against: a list of any length, or changes that add up to one, fill the router's memory."""
    limits = replace(DEFAULT_LIMITS, servers=5)

    async def scenario() -> None:
        async with RouterHarness(limits=limits) as router:  # lists two cache servers and the origin
            before = dict(router.host.members)
            added = [member(f"new-{i}", "127.0.0.1:1") for i in range(6 if kind is api.ListKind.FULL else 3)]
            with pytest.raises(TooManyServersError, match="6 servers listed, memory_mb allows 5: raise it"):
                router.host.on_server_list(kind, added)
            assert router.host.members == before
            router.host.on_server_list(kind, added[:2])
            replaced = [replace(m, entry=replace(m.entry, state=api.ServerState.GONE)) for m in added[:2]]
            router.host.on_server_list(api.ListKind.DELTA, [*replaced, *added[1:3]])  # as many as leave

    run(scenario)


def test_rejected_list_is_asked_for_again() -> None:
    """Guards against: the index of a list that was not taken is passed, and its changes are never seen."""
    body = orjson.dumps({"index": 7, "snapshot": False, "endpoints": [ENTRY]})

    async def scenario() -> None:
        async with ScriptedServer() as server:
            failed: list[int] = []

            def reject(kind: api.ListKind, members: list[object]) -> None:
                raise TooManyServersError(len(members), 0)

            client = DiscoveryClient(server.address, 3, reject, lambda: failed.append(client.index))  # type: ignore[arg-type]
            client.subscribe()
            link = await server.link()
            await link.http()
            link.write(http("200 OK", body))
            while not failed:
                await asyncio.sleep(0)
            assert failed == [3]

    run(scenario)


def test_texts_of_an_entry_are_bounded() -> None:
    """Guards against: a few entries with long names fill the router's memory though their number fits."""
    row = {**ENTRY, "zone": "z" * (MAX_TEXT_CHARS + 1)}
    with pytest.raises(ListError, match="zone is longer than 1024 characters"):
        read_list({"index": 1, "snapshot": True, "endpoints": [row]})
