"""What servers keep and take, from those that are unsteady alone, against a look at every server."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from brackenwalk import interface as api
from brackenwalk.shares import Shares
from brackenwalk.state import Server
from tests.driver import Driver, entry, settings

CONF = settings(peers=True, cold_share=0.2, ramp=10.0, must_ask_in=10.0)


def everyone(shares: Shares) -> dict[str, float]:
    """Each server's fair share by the formulas of shares.py, over all servers alike."""
    total = sum(s.size for s in shares.caches)

    def eased(s: Server) -> float:
        return min(1.0, s.eased + 0.1 * (shares.now - s.eased_at))

    def cold(s: Server) -> bool:
        started = shares.started(s)
        return started > 0 and shares.now - started < 10.0

    def stated(s: Server) -> float:
        age = max(0.0, shares.now - shares.started(s))
        return 0.2 + 0.8 * age / 10.0 if cold(s) else 1.0

    mean = sum(s.size * eased(s) for s in shares.caches) / total
    kept = {s: min(1.0, eased(s) / mean) for s in shares.caches}
    level = sum(s.size * kept[s] for s in shares.caches) / total
    able = sum(s.size * stated(s) for s in shares.caches) / total
    bold = min(1.0, 1 / able)
    part = {s: min(1.0, bold * level * shares.good * stated(s)) if cold(s) else 1.0 for s in shares.caches}
    fair = {s: part[s] * kept[s] * s.size / total for s in shares.caches}
    rest = 1 - sum(fair[s] for s in fair if cold(s))
    warm = sum(fair[s] for s in fair if not cold(s))
    assert {s.name: shares.cold(s) for s in fair} == {s.name: cold(s) for s in fair}
    assert {s.name: shares.kept(s) for s in fair} == pytest.approx({s.name: kept[s] for s in fair})
    return {s.entry.server: fair[s] if cold(s) else fair[s] * rest / warm for s in fair}


step = st.one_of(
    st.tuples(st.just("wait"), st.integers(1, 60)),
    st.tuples(st.just("ease"), st.integers(0, 7)),
    st.tuples(st.just("drain"), st.integers(0, 7)),
    st.tuples(st.just("start"), st.integers(0, 7)),
    st.tuples(st.just("back"), st.integers(0, 7)),
    st.tuples(st.just("zone"), st.integers(0, 1)),
)


@hypothesis_settings(deadline=None, derandomize=True, max_examples=150)
@given(st.lists(step, max_size=14), st.floats(0.3, 1.0))
def test_shares_are_those_of_a_look_at_every_server(steps: list[tuple[str, int]], good: float) -> None:
    d = Driver(CONF)
    zones = [f"z{i % 2}" for i in range(8)]
    d.list(*(entry(f"s{i}", zone=zones[i], weight=1.0 + i % 3) for i in range(8)))
    shares = d.router.shares
    shares.good = good
    since = [0.0] * 8
    for what, number in steps:
        server = d.router.servers.get(f"s{number}")
        if what == "wait":
            d.now += number / 10
        elif what == "ease" and server is not None:
            shares.ease(server)
        elif what == "zone" and (zone := shares.zones.get(f"z{number}")) is not None:
            zone.heard_at = d.now - 2.0
            shares.zone_is_back(zone)
        elif what in ("drain", "start", "back"):
            since[number] = d.now if what == "start" else since[number]
            state = api.State.DRAINING if what == "drain" else api.State.READY
            changed = entry(
                f"s{number}", zone=zones[number], weight=1.0 + number % 3, since=since[number], state=state
            )
            d.list(changed, kind=api.ListKind.DELTA)
        d.feed(api.TimerFired("the time"))
        if shares.caches:
            shares.plan(d.router._clockwise, d.router.ring.owner_at)
            expected = everyone(shares)
            got = {s.entry.server: f for s, f in shares.fair().items()}
            assert got == pytest.approx(expected)
            assert sum(got.values()) == pytest.approx(1.0) or all(map(shares.cold, shares.caches))


def test_a_plan_looks_at_no_server_that_is_steady(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of 930 servers every one was looked at a dozen times, four times a second: a twentieth of a core."""
    d = Driver(CONF)
    d.list(*(entry(f"s{i}") for i in range(300)))
    for n in range(400):
        d.router.demand.add(n % 97)
    shares = d.router.shares
    looks: list[Server] = []
    shares.ease(d.router.servers["s7"])
    started = shares.started

    def looked(server: Server) -> float:
        looks.append(server)
        return started(server)

    monkeypatch.setattr(shares, "started", looked)
    shares.plan(d.router._clockwise, d.router.ring.owner_at)
    assert {s.entry.server for s in looks} <= {"s7"} and len(looks) < 100


def test_a_watch_that_ends_with_no_news_looks_at_no_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """With 930 servers each such answer cost 11 ms, once every three seconds at every router."""
    d = Driver(CONF)
    d.list(*(entry(f"s{i}") for i in range(8)))
    before = d.request("r1", key="k", finish=True)
    monkeypatch.setattr(d.router, "_build_ring", None)
    assert d.list(kind=api.ListKind.DELTA) == []
    assert d.request("r2", key="k", finish=True) == before
