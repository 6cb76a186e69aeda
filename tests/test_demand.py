"""The request counts that routers exchange, and how hot keys are split on their basis."""

from __future__ import annotations

import pytest

from brackenwalk import interface as api
from brackenwalk import policy
from brackenwalk.demand import Demand
from brackenwalk.peer_message import MAX_COUNT, MAX_KEYS, MAX_SERVERS, with_digest
from brackenwalk.ring import ring_hash
from brackenwalk.state import Server
from tests.driver import Driver, entry, finish, settings

SERVERS = [entry(f"s{i}") for i in range(20)]


def message_of(*keys: int, times: int = 1) -> bytes:
    one = Demand()
    for key in keys:
        for _ in range(times):
            one.add(key)
    return one.next_message([])


def split(demand: Demand, **fair: float) -> dict[int, dict[str, float]]:
    return finish(demand.split_hot_keys(fair, 1.25, lambda position: iter(fair), lambda key, server: 1.0))


def test_a_message_sends_each_count_to_a_peer_once() -> None:
    one, other = Demand(), Demand()
    for key in (7, 7, 9):
        one.add(key)
    other.receive(one.next_message([]))
    assert other.history.counts == {7: 2, 9: 1} and other.history.total == 3
    assert one.next_message([]) == b"" and other.next_message([]) == b""  # what was received is not sent on


def test_a_message_never_outgrows_a_datagram_and_has_the_hottest_keys() -> None:
    one, other = Demand(), Demand()
    for key in (*range(1000), *[5] * 400, 6):
        one.add(key)
    message = one.next_message(list(range(100)))
    assert len(message) <= 256
    assert other.receive(message) == set(range(MAX_SERVERS))
    assert (
        len(other.history.counts) == MAX_KEYS
        and other.history.counts[5] == MAX_COUNT
        and other.history.counts[6] == 2
    )
    assert other.history.total == 1401  # of all keys, or the shares of those sent would be too large


VALID = message_of(1, 2, 3)


@pytest.mark.parametrize(
    "message",
    [
        b"",
        b"\0" * 3,
        VALID[:-1],
        VALID + b"\0" * 5,
        bytes([VALID[0] ^ 1]) + VALID[1:],
        VALID[:-1] + bytes([VALID[-1] ^ 64]),
        with_digest(b""),
        with_digest(b"\0"),
        with_digest(b"\0\1\2" + b"\0" * 9),
        with_digest(b"\0\1\0" + b"\0" * 3),
        with_digest(b"\0\0\0\1\2" + b"\0" * 9),  # a key entry is missing
        with_digest(b"\0\0\0\1\0" + b"\0" * 3),  # a part of a server id
        b"\xff" * 256,
    ],
)
def test_an_invalid_message_changes_nothing(message: bytes) -> None:
    driver = Driver(settings(peer_messages=True))
    driver.list(*SERVERS)
    assert driver.feed(api.PeerMessage(message)) == []
    assert not driver.router.demand.history.counts and not driver.router.demand.history.total


def test_the_history_stays_bounded() -> None:
    one = Demand()
    for start in range(0, 100_000, 40):
        one.receive(message_of(*range(start, start + 40)))
        split(one, a=0.5, b=0.5)
    assert one.history.total <= 256 and len(one.history.counts) <= 300


def test_hot_keys_fill_the_free_capacity_of_a_server() -> None:
    """A hot key used to get (1 + epsilon) fair shares of a server on top of the server's other load."""
    one = Demand()
    for key, times in ((1, 60), (2, 30), (3, 20), (4, 90)):
        for _ in range(times):
            one.add(key << 8)
    portions = split(one, a=0.4, b=0.32, c=0.28)
    filled = {s: sum(p.get(s, 0.0) for p in portions.values()) for s in "abc"}
    assert set(portions) == {1 << 8, 2 << 8, 4 << 8}  # the third, a tenth of all, is not split
    assert filled["a"] == pytest.approx(0.5 - 0.095, abs=0.01) and filled["b"] == pytest.approx(0.4, abs=0.01)
    assert sum(filled.values()) == pytest.approx((59 + 29 + 89) / 200)  # a key's first request may be chance


def ask(driver: Driver, name: str, key: str) -> tuple[str | None, list[bytes]]:
    """Return the server that a request goes to, and the messages to peers sent with it."""
    driver.now += 0.01
    server = driver.request(name, key=key)
    sent = [a.content for a in driver.last_actions if isinstance(a, api.Broadcast)]
    driver.ok(name)
    return server, sent


def test_a_key_that_is_hot_at_all_routers_together_is_split_by_each() -> None:
    """Each of forty routers had seen the key only a few times, so all sent it to one small server."""
    routers = [Driver(settings(peer_messages=True, siblings=40), seed=i) for i in range(40)]
    for driver in routers:
        driver.list(*SERVERS)
    messages = []
    for driver in routers:
        for n in range(4):
            ask(driver, f"r{n}", "hot" if n == 1 else f"k{n}-{driver.router.random.random()}")
        driver.now += 1.0
        messages += ask(driver, "last", "other")[1]
    assert len(messages) == 40
    sent = set()
    for i, driver in enumerate(routers):
        for j, message in enumerate(messages):
            if i != j:
                driver.feed(api.PeerMessage(message))
        driver.now += 1.0
        ask(driver, "again", "other")
        sent.add(ask(driver, "hot", "hot")[0])
    assert 5 <= len(sent) <= 13  # four fair shares, into the 0.5 or so that is free at each server


def test_counts_and_servers_that_find_no_room_in_a_message_are_sent_in_the_next() -> None:
    """Of a lost zone of sixty servers peers were sent twenty-four, and of a hundred hot keys thirty."""
    driver = Driver(settings(peer_messages=True))
    driver.list(*(entry(f"s{i}") for i in range(60)))
    for n in range(300):
        driver.request(f"k{n}", key=f"k{n % 100}", finish=True)
    for each in driver.router.servers.values():
        driver.router._mark_unhealthy(each)
    receiver = Driver(settings(peer_messages=True), seed=2)
    receiver.list(*(entry(f"s{i}") for i in range(60)))
    for n in range(5):
        driver.now += 1.0
        receiver.now = driver.now
        for message in ask(driver, f"t{n}", f"t{n}")[1]:
            receiver.feed(api.PeerMessage(message))
    assert all(s.health < 1 for s in receiver.router.servers.values())
    received = receiver.router.demand.history.counts
    assert sum(received[ring_position(f"k{n}") >> 32] == 3 for n in range(100)) > 90
    assert not driver.router.peer_updates.unhealthy and not driver.router.demand.deferred


def test_no_name_is_hashed_for_a_message(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each peer message that named a server cost a hash of every server in the list."""
    driver = Driver(settings(peer_messages=True))
    driver.list(*SERVERS)
    name = server_named(driver, "s3").name_hash
    monkeypatch.setattr(policy, "ring_hash", None)
    driver.feed(api.PeerMessage(Demand().next_message([name, 12345], now=driver.now)))
    assert [s.entry.server for s in driver.router.servers.values() if s.health < 1] == ["s3"]


def test_nothing_is_sent_where_peers_are_disabled() -> None:
    driver = Driver(settings(peer_messages=False))
    driver.list(*SERVERS)
    assert not [t for n in range(200) for t in ask(driver, f"r{n}", "k")[1]]
    driver = Driver(settings(peer_messages=True))
    driver.list(*SERVERS)
    assert [t for n in range(200) for t in ask(driver, f"r{n}", "k")[1]]


def test_routers_that_start_together_do_not_send_in_step() -> None:
    times = []
    for seed in range(8):
        driver = Driver(settings(peer_messages=True), seed=seed)
        driver.list(*SERVERS)
        ask(driver, "first", "k")
        times.append(round(driver.router.peer_updates.next_at - driver.now, 4))
    assert len(set(times)) > 4


@pytest.mark.parametrize("how", ["silent", "failing"])
def test_all_routers_send_less_to_a_server_that_one_finds_dead(how: str) -> None:
    """Each of forty routers lost a request a second to it, while the others had long known."""
    sender, receiver = (Driver(settings(peer_messages=True, siblings=40), seed=s) for s in (1, 2))
    for driver in (sender, receiver):
        driver.list(*SERVERS)
    before = [receiver.request(f"b{n}", key=f"k{n}", finish=True) for n in range(400)]
    for n in range(3):
        dead = sender.request(f"r{n}", key="k")
        if how == "failing":
            sender.end(f"r{n}", api.Status.CONNECT_FAILED)
            sender.ok(f"r{n}")
    sender.now += 1.5
    for n, key in enumerate(["k", "other", "more"]):
        sender.now += 0.5
        receiver.now = sender.now
        for message in ask(sender, f"t{n}", key)[1]:
            receiver.feed(api.PeerMessage(message))
    after = [receiver.request(f"a{n}", key=f"k{n}", finish=True) for n in range(400)]
    assert 0 < after.count(dead) < 0.8 * before.count(dead)
    receiver.now += 10.0
    assert [receiver.request(f"c{n}", key=f"k{n}", finish=True) for n in range(400)] == before


def test_no_key_moves_where_all_servers_are_equally_unhealthy() -> None:
    """In an overload, cutting the full servers overloaded the next ones, until all had been cut."""
    driver = Driver(settings(peer_messages=True))
    driver.list(*SERVERS)
    before = [ask(driver, f"b{n}", f"k{n}")[0] for n in range(200)]
    for server in driver.router.servers.values():
        driver.router.shares.cut_health(server)
    driver.now += 0.5
    ask(driver, "tell", "k")
    assert [driver.request(f"a{n}", key=f"k{n}", finish=True) for n in range(200)] == before


@pytest.mark.parametrize(("siblings", "least", "most"), [(4, 1.0, 1.0), (40, 1.0, 1.0), (200, 0.1, 0.3)])
def test_messages_do_not_grow_with_the_square_of_the_number_of_routers(
    siblings: int, least: float, most: float
) -> None:
    """Counts of all requests sent to all two hundred routers cost five percentage points of service."""
    driver = Driver(settings(peer_messages=True, siblings=siblings))
    driver.list(*SERVERS)
    messages = 0
    for n in range(400):
        driver.now += 0.5  # longer than the longest interval of messages
        messages += len(ask(driver, f"r{n}", f"k{n}")[1])
    assert least * 400 <= messages <= most * 400
    for n in range(3):  # a dead server is reported at once, in a fleet of any size
        driver.request(f"s{n}", key="k")
    driver.now += 1.5
    ask(driver, "t", "k")
    driver.now += 0.5
    assert ask(driver, "last", "other")[1]


def test_the_history_is_shorter_where_less_is_sent() -> None:
    """A key that turns hot has to be noticed as soon as where all requests are sent."""
    one = Demand(0.2)
    for key in range(6 * 128):
        one.add(key)
    split(one, **dict.fromkeys("abcdef", 1 / 6))
    assert one.history.total <= 0.2 * 6 * 128


def test_load_without_free_capacity_does_not_all_go_to_the_first_server() -> None:
    """A cold server that came first, with the only free capacity, was sent the whole of a hot key."""
    one = Demand()
    for key, times in ((1, 90), (2, 90), (3, 90), (4, 90)):
        for _ in range(times):
            one.add(key << 8)
    portions = finish(
        one.split_hot_keys(
            {"cold": 0.06, "b": 0.47, "c": 0.47},
            1.25,
            lambda position: iter(("cold", "b", "c")),
            lambda key, server: 0.13 if server == "cold" else 1.0,
        )
    )
    assert 0 < sum(taken["cold"] for taken in portions.values()) <= 1.25 * 0.06  # its capacity and no more
    for taken in portions.values():
        assert sum(taken.values()) == pytest.approx(89 / 360)


def test_a_cold_server_does_not_get_what_full_ones_refuse_of_a_hot_key() -> None:
    """The walk ended behind two full servers and fell back on the first one, cold or not."""
    cold = entry("cold", started_at=95.0)
    driver = Driver(settings(subscribe=True, ramp=23.0, cold_share=0.13, overload_factor=3.0))
    driver.list(*SERVERS, cold)
    key = next(
        k
        for k in (f"k{n}" for n in range(100_000))
        if next(driver.router._clockwise(ring_position(k))) is server_named(driver, "cold")
    )
    driver.router.demand.history.counts[ring_position(key) >> 32] = 300
    driver.router.demand.history.total = 1000.0
    driver.now += 1.0
    driver.request("first", key=key, finish=True)  # splits the key
    portions = driver.router.shares.hot_shares[ring_position(key) >> 32]
    planned = [s for s in portions if portions[s] and s is not server_named(driver, "cold")]
    for other in planned[:3]:
        other.in_flight = int(other.limit)
    sent = [driver.request(f"r{n}", key=key, finish=True) for n in range(200)]
    assert sent.count("cold") < 200 * 2 * portions[server_named(driver, "cold")] / sum(portions.values()) + 10


def ring_position(key: str) -> int:
    return ring_hash(key)[0]


def server_named(driver: Driver, name: str) -> Server:
    return driver.router.servers[name]
