"""What all routers hear has a bound of its own, however many they are and whatever goes wrong."""

from __future__ import annotations

import hashlib
import random
import struct
from collections import Counter

import pytest

from brackenwalk import interface as api
from brackenwalk.demand import CHECK, HEAD, LINE, LINES, NAME, Demand, stamp_of
from brackenwalk.telling import DATAGRAM, FRESH, HEARD, Telling
from fleetlab import model
from fleetlab.model import FleetModel, shared_rings, zipf_weights
from tests.driver import Driver, entry, settings

NOTHING = bytes(CHECK) + HEAD.pack(0, 0, 0)
SERVERS = [entry(f"s{i}", zone="abcd"[i % 4]) for i in range(12)]


def names_in(message: bytes) -> list[int]:
    """The servers that a message tells of, by the form of `brackenwalk/demand.py`."""
    body = message[CHECK:]
    _, _, lines = HEAD.unpack_from(body)
    return [name for (name,) in NAME.iter_unpack(body[HEAD.size + lines * LINE.size :])]


@pytest.mark.parametrize("routers", [4, 40, 230])
def test_what_all_find_ailing_is_told_by_few(routers: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each router that met one of a zone's dead servers told all others, and again while it met them."""
    monkeypatch.setattr(model, "MESSAGE_DELAY_S", 0.027)  # the longest of any site
    with shared_rings():
        fleet = FleetModel(settings(peers=True, aside=False), routers, SERVERS, run_timers=True)
        keys = zipf_weights(240)
        fleet.run(0.5, 12.0 * routers, keys)
        fleet.messages.clear()
        fleet.fail([s.server for s in SERVERS if s.zone == "a"])
        fleet.run(4.0, 12.0 * routers, keys)
    told = [m for m in fleet.messages if names_in(m)]
    assert 0 < len(told) < 4.0 * 15  # some five a second were counted, of 230 as of 40
    for router in fleet.routers:
        eased = {s.entry.server for s in router.servers.values() if s.eased < 1}
        assert {s.server for s in SERVERS if s.zone == "a"} <= eased


def rate_of(siblings: int, keys: int) -> tuple[float, float]:
    """Bytes and messages a second that each router hears of so many siblings with so many keys a message."""
    conf = settings(peers=True, siblings=siblings)
    telling, now, size, count = Telling(conf, random.Random(3), 0.0), 0.0, 0, 0
    while now < 400.0:
        now += 0.01
        if telling.due(now):
            for key in range(keys):
                telling.demand.add(key)
            message = telling.message(now)
            size += len(message) + DATAGRAM if message else 0
            count += bool(message)
    return size / now * siblings, count / now * siblings


@pytest.mark.parametrize("siblings", [40, 230, 600, 2300])
@pytest.mark.parametrize("keys", [8, LINES, 140])
def test_what_each_router_hears_of_keys_is_bounded_in_bytes(siblings: int, keys: int) -> None:
    """Forty tellers of full messages made 30 KB a second at every router; 12 KB are for all control."""
    assert 0.7 * min(HEARD, 40 * 4.0 * 77) < rate_of(siblings, keys)[0] < 1.3 * HEARD


@pytest.mark.parametrize(("siblings", "messages"), [(4, 16.0), (40, 160.0), (200, 160.0)])
def test_routers_that_are_asked_little_tell_as_often_as_ever(siblings: int, messages: float) -> None:
    assert rate_of(siblings, 3)[1] == pytest.approx(messages, rel=0.25)


def test_who_hears_another_tell_of_a_server_does_not_tell_it_again() -> None:
    first, second = (Driver(settings(peers=True, siblings=40), seed=s) for s in (1, 2))
    for d in (first, second):
        d.list(*SERVERS)
        d.router._found_ailing(d.router.servers["s1"])
    content = first.router.telling.message(first.now)
    assert names_in(content) == [first.router.servers["s1"].name]
    second.feed(api.PeerMessage(content))
    assert names_in(second.router.telling.message(second.now) or NOTHING) == []
    assert names_in(first.router.telling.message(first.now) or NOTHING) == []  # told once


def test_a_server_is_told_of_again_while_it_fails() -> None:
    d = Driver(settings(peers=True, siblings=40))
    d.list(*SERVERS)
    told: Counter[int] = Counter()
    for _ in range(40):
        d.now += 0.1
        d.feed(api.TimerFired("the time"))
        d.router._found_ailing(d.router.servers["s1"])
        told.update(names_in(d.router.telling.message(d.now) or NOTHING))
    assert 8 <= told[d.router.servers["s1"].name] <= 16  # as often as a cut counts: four a second


def test_what_ails_is_told_without_the_keys_that_others_tell() -> None:
    """Each of 2,300 routers that found a server ailing told thirty keys beside its name."""
    d = Driver(settings(peers=True, siblings=2300))
    d.list(*SERVERS)
    sizes = []
    for n in range(200):
        for key in range(60):
            d.router.telling.demand.add(key)
        d.now += 0.3
        d.feed(api.TimerFired("the time"))
        d.router._found_ailing(d.router.servers[f"s{n % 12}"])
        sizes.append(len(d.router.telling.message(d.now)))
    assert sorted(sizes)[180] == CHECK + HEAD.size + NAME.size


def test_a_message_that_comes_too_late_changes_nothing_and_is_counted() -> None:
    d = Driver(settings(peers=True, siblings=40))
    d.list(*SERVERS)
    name = d.router.servers["s1"].name
    sender = Demand()
    sender.add(7)
    late = sender.message([name], now=d.now - FRESH - 0.1)
    assert d.feed(api.PeerMessage(late)) == []
    assert d.feed(api.PeerMessage(late[:-1])) == []
    assert d.router.servers["s1"].eased == 1 and not d.router.demand.long.total
    assert (d.router.demand.stale, d.router.demand.garbled) == (1, 1)
    sender.add(7)
    d.feed(api.PeerMessage(sender.message([name], now=d.now - FRESH + 0.1)))
    assert d.router.servers["s1"].eased < 1 and d.router.demand.long.total == 1


def test_the_time_of_a_message_is_read_also_where_it_begins_anew() -> None:
    for now in (655.35, 655.36, 655.4, 1_795_000_000.0):
        sender, hears = Demand(), Demand(1.0, 2.0)
        sender.add(7)
        hears.hear(sender.message([], now=now - 1.0), now)
        assert hears.long.total == 1 and not hears.stale
    assert stamp_of(655.36) == 0


def test_nothing_is_told_of_what_ails_where_routers_may_not_talk() -> None:
    d = Driver(settings(peers=False, siblings=40))
    d.list(*SERVERS)
    for _ in range(20):
        d.now += 0.5
        d.router._found_ailing(d.router.servers["s1"])
        d.request(f"r{d.now}", key="k", finish=True)
    assert not d.told


def test_a_message_of_the_form_before_is_not_read() -> None:
    """Read as the present form it would have told of requests that nobody made."""
    body = struct.pack(">HBIB", 600, 1, 7, 9) + bytes(2)
    hears = Demand()
    hears.hear(hashlib.blake2b(body, digest_size=CHECK).digest() + body)
    assert hears.garbled == 1 and not hears.long.total
