"""The traffic of peer messages is bounded, however many routers there are and whatever fails."""

from __future__ import annotations

import hashlib
import random
import struct
from collections import Counter

import pytest

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.peer_message import DIGEST_BYTES, HEADER, KEY_ENTRY, MAX_KEYS, SERVER_ID, timestamp_of
from brackenwalk.peer_updates import MAX_AGE_FACTOR, MAX_BYTES_PER_S, UDP_OVERHEAD_BYTES, PeerUpdates
from fleetlab import model
from fleetlab.model import FleetModel, shared_rings, zipf_weights
from tests.driver import Driver, entry, settings

EMPTY = bytes(DIGEST_BYTES) + HEADER.pack(0, 0, 0)
SERVERS = [entry(f"s{i}", zone="abcd"[i % 4]) for i in range(12)]


def servers_in(message: bytes) -> list[int]:
    """Return the ids of the servers that a message reports, by the format of `brackenwalk/demand.py`."""
    body = message[DIGEST_BYTES:]
    _, _, keys = HEADER.unpack_from(body)
    return [server for (server,) in SERVER_ID.iter_unpack(body[HEADER.size + keys * KEY_ENTRY.size :])]


@pytest.mark.parametrize("routers", [4, 40, 230])
def test_servers_that_all_find_unhealthy_are_reported_by_few(
    routers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each router that met one of a zone's dead servers reported it to all others, again and again."""
    monkeypatch.setattr(model, "MESSAGE_DELAY_S", 0.027)  # the longest delay of any site
    with shared_rings():
        fleet = FleetModel(settings(peer_messages=True, aside=False), routers, SERVERS, run_timers=True)
        keys = zipf_weights(240)
        fleet.run(0.5, 12.0 * routers, keys)
        fleet.messages.clear()
        fleet.fail([s.server for s in SERVERS if s.zone == "a"])
        fleet.run(4.0, 12.0 * routers, keys)
    reports = [m for m in fleet.messages if servers_in(m)]
    assert 0 < len(reports) < 4.0 * 15  # about five a second were measured, of 230 routers as of 40
    for router in fleet.routers:
        eased = {s.entry.server for s in router.servers.values() if s.health < 1}
        assert {s.server for s in SERVERS if s.zone == "a"} <= eased


def rate_of(siblings: int, keys: int) -> tuple[float, float]:
    """Return bytes and messages a second that a router receives from its siblings, with `keys` in each."""
    router_settings = settings(peer_messages=True, siblings=siblings)
    updates, now, size, count = PeerUpdates(router_settings, random.Random(3), 0.0), 0.0, 0, 0
    while now < 400.0:
        now += 0.01
        if updates.due(now):
            for key in range(keys):
                updates.demand.add(key)
            message = updates.next_message(now)
            size += len(message) + UDP_OVERHEAD_BYTES if message else 0
            count += bool(message)
    return size / now * siblings, count / now * siblings


@pytest.mark.parametrize("siblings", [40, 230, 600, 2300])
@pytest.mark.parametrize("keys", [8, MAX_KEYS, 140])
def test_the_bytes_of_key_counts_that_a_router_receives_are_bounded(siblings: int, keys: int) -> None:
    """Forty senders of full messages made 30 KB/s at every router; 12 KB/s are for all control traffic."""
    assert 0.7 * min(MAX_BYTES_PER_S, 40 * 4.0 * 77) < rate_of(siblings, keys)[0] < 1.3 * MAX_BYTES_PER_S


@pytest.mark.parametrize(("siblings", "messages"), [(4, 16.0), (40, 160.0), (200, 160.0)])
def test_routers_with_few_requests_send_at_the_full_rate(siblings: int, messages: float) -> None:
    assert rate_of(siblings, 3)[1] == pytest.approx(messages, rel=0.25)


def test_a_server_that_a_peer_has_reported_is_not_reported_again() -> None:
    first, second = (Driver(settings(peer_messages=True, siblings=40), seed=s) for s in (1, 2))
    for driver in (first, second):
        driver.list(*SERVERS)
        driver.router._mark_unhealthy(driver.router.servers["s1"])
    content = first.router.peer_updates.next_message(first.now)
    assert servers_in(content) == [first.router.servers["s1"].name_hash]
    second.feed(api.PeerMessage(content))
    assert servers_in(second.router.peer_updates.next_message(second.now) or EMPTY) == []
    assert servers_in(first.router.peer_updates.next_message(first.now) or EMPTY) == []  # reported once


def test_a_server_is_reported_again_while_it_fails() -> None:
    driver = Driver(settings(peer_messages=True, siblings=40))
    driver.list(*SERVERS)
    reports: Counter[int] = Counter()
    for _ in range(40):
        driver.now += 0.1
        driver.feed(api.TimerFired("the time"))
        driver.router._mark_unhealthy(driver.router.servers["s1"])
        reports.update(servers_in(driver.router.peer_updates.next_message(driver.now) or EMPTY))
    # once for each cut that takes effect: four a second
    assert 8 <= reports[driver.router.servers["s1"].name_hash] <= 16


def test_unhealthy_servers_are_reported_without_key_counts_in_a_large_fleet() -> None:
    """Each of 2,300 routers that found a server unhealthy sent thirty keys along with it."""
    driver = Driver(settings(peer_messages=True, siblings=2300))
    driver.list(*SERVERS)
    sizes = []
    for n in range(200):
        for key in range(60):
            driver.router.peer_updates.demand.add(key)
        driver.now += 0.3
        driver.feed(api.TimerFired("the time"))
        driver.router._mark_unhealthy(driver.router.servers[f"s{n % 12}"])
        sizes.append(len(driver.router.peer_updates.next_message(driver.now)))
    assert sorted(sizes)[180] == DIGEST_BYTES + HEADER.size + SERVER_ID.size


def test_a_stale_message_changes_nothing_and_is_counted() -> None:
    driver = Driver(settings(peer_messages=True, siblings=40))
    driver.list(*SERVERS)
    name = driver.router.servers["s1"].name_hash
    sender = Demand()
    sender.add(7)
    late = sender.next_message([name], now=driver.now - MAX_AGE_FACTOR - 0.1)
    assert driver.feed(api.PeerMessage(late)) == []
    assert driver.feed(api.PeerMessage(late[:-1])) == []
    assert driver.router.servers["s1"].health == 1 and not driver.router.demand.history.total
    assert (driver.router.demand.stale, driver.router.demand.invalid) == (1, 1)
    sender.add(7)
    driver.feed(api.PeerMessage(sender.next_message([name], now=driver.now - MAX_AGE_FACTOR + 0.1)))
    assert driver.router.servers["s1"].health < 1 and driver.router.demand.history.total == 1


def test_the_timestamp_of_a_message_is_read_also_where_it_wraps_round() -> None:
    for now in (655.35, 655.36, 655.4, 1_795_000_000.0):
        sender, receiver = Demand(), Demand(1.0, 2.0)
        sender.add(7)
        receiver.receive(sender.next_message([], now=now - 1.0), now)
        assert receiver.history.total == 1 and not receiver.stale
    assert timestamp_of(655.36) == 0


def test_unhealthy_servers_are_not_reported_where_peers_are_disabled() -> None:
    driver = Driver(settings(peer_messages=False, siblings=40))
    driver.list(*SERVERS)
    for _ in range(20):
        driver.now += 0.5
        driver.router._mark_unhealthy(driver.router.servers["s1"])
        driver.request(f"r{driver.now}", key="k", finish=True)
    assert not driver.broadcasts


def test_a_message_of_the_previous_format_is_ignored() -> None:
    """Read in the present format it would count requests that nobody made."""
    body = struct.pack(">HBIB", 600, 1, 7, 9) + bytes(2)
    receiver = Demand()
    receiver.receive(hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest() + body)
    assert receiver.invalid == 1 and not receiver.history.total
