"""Traffic shares, computed from cold and unhealthy servers alone, against a computation over all servers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from brackenwalk import interface as api
from brackenwalk.shares import TrafficShares
from brackenwalk.state import Server
from tests.driver import Driver, entry, finish, settings

SETTINGS = settings(peer_messages=True, cold_share=0.2, ramp=10.0, max_list_age=10.0)


def reference_shares(shares: TrafficShares) -> dict[str, float]:
    """Return each server's fair share by the formulas of shares.py, computed over all servers."""
    total = sum(s.ring_weight for s in shares.caches)

    def health(s: Server) -> float:
        return min(1.0, s.health + 0.1 * (shares.now - s.health_cut_at))

    def cold(s: Server) -> bool:
        started = shares.started_at(s)
        return started > 0 and shares.now - started < 10.0

    def warm_up(s: Server) -> float:
        age = max(0.0, shares.now - shares.started_at(s))
        return 0.2 + 0.8 * age / 10.0 if cold(s) else 1.0

    mean_health = sum(s.ring_weight * health(s) for s in shares.caches) / total
    kept = {s: min(1.0, health(s) / mean_health) for s in shares.caches}
    mean_kept = sum(s.ring_weight * kept[s] for s in shares.caches) / total
    able = sum(s.ring_weight * warm_up(s) for s in shares.caches) / total
    factor = min(1.0, 1 / able)
    accepted = {
        s: min(1.0, factor * mean_kept * shares.success_share * warm_up(s)) if cold(s) else 1.0
        for s in shares.caches
    }
    fair = {s: accepted[s] * kept[s] * s.ring_weight / total for s in shares.caches}
    rest = 1 - sum(fair[s] for s in fair if cold(s))
    warm = sum(fair[s] for s in fair if not cold(s))
    assert {s.name_hash: shares.is_cold(s) for s in fair} == {s.name_hash: cold(s) for s in fair}
    assert {s.name_hash: shares.kept(s) for s in fair} == pytest.approx({s.name_hash: kept[s] for s in fair})
    return {s.entry.server: fair[s] if cold(s) else fair[s] * rest / warm for s in fair}


step = st.one_of(
    st.tuples(st.just("wait"), st.integers(1, 60)),
    st.tuples(st.just("cut"), st.integers(0, 7)),
    st.tuples(st.just("drain"), st.integers(0, 7)),
    st.tuples(st.just("start"), st.integers(0, 7)),
    st.tuples(st.just("ready"), st.integers(0, 7)),
    st.tuples(st.just("zone"), st.integers(0, 1)),
)


@hypothesis_settings(deadline=None, derandomize=True, max_examples=150)
@given(st.lists(step, max_size=14), st.floats(0.3, 1.0))
def test_shares_match_a_computation_over_every_server(steps: list[tuple[str, int]], success: float) -> None:
    driver = Driver(SETTINGS)
    zones = [f"z{i % 2}" for i in range(8)]
    driver.list(*(entry(f"s{i}", zone=zones[i], weight=1.0 + i % 3) for i in range(8)))
    shares = driver.router.shares
    shares.success_share = success
    starts = [0.0] * 8
    for change, number in steps:
        server = driver.router.servers.get(f"s{number}")
        if change == "wait":
            driver.now += number / 10
        elif change == "cut" and server is not None:
            shares.cut_health(server)
        elif change == "zone" and (zone := shares.zones.get(f"z{number}")) is not None:
            zone.last_answer_at = driver.now - 2.0
            shares.zone_recovered(zone)
        elif change in ("drain", "start", "ready"):
            starts[number] = driver.now if change == "start" else starts[number]
            state = api.ServerState.DRAINING if change == "drain" else api.ServerState.READY
            changed = entry(
                f"s{number}",
                zone=zones[number],
                weight=1.0 + number % 3,
                started_at=starts[number],
                state=state,
            )
            driver.list(changed, kind=api.ListKind.DELTA)
        driver.feed(api.TimerFired("the time"))
        if shares.caches:
            finish(shares.plan())
            expected = reference_shares(shares)
            got = {s.entry.server: f for s, f in shares.fair_shares().items()}
            assert got == pytest.approx(expected)
            assert sum(got.values()) == pytest.approx(1.0) or all(map(shares.is_cold, shares.caches))


def test_a_plan_examines_no_server_outside_reduced(monkeypatch: pytest.MonkeyPatch) -> None:
    """Examining each of 930 servers a dozen times, four times a second, took 5 % of a core."""
    driver = Driver(SETTINGS)
    driver.list(*(entry(f"s{i}") for i in range(300)))
    for n in range(400):
        driver.router.demand.add(n % 97)
    shares = driver.router.shares
    looked_at: list[Server] = []
    shares.cut_health(driver.router.servers["s7"])
    started = shares.started_at

    def looked(server: Server) -> float:
        looked_at.append(server)
        return started(server)

    monkeypatch.setattr(shares, "started_at", looked)
    finish(shares.plan())
    assert {s.entry.server for s in looked_at} <= {"s7"} and len(looked_at) < 100


def test_a_watch_that_ends_without_changes_rebuilds_no_ring(monkeypatch: pytest.MonkeyPatch) -> None:
    """A ring rebuilt for each empty answer took 11 ms with 930 servers, every three seconds."""
    driver = Driver(SETTINGS)
    driver.list(*(entry(f"s{i}") for i in range(8)))
    before = driver.request("r1", key="k", finish=True)
    monkeypatch.setattr(driver.router.membership, "apply", None)
    assert driver.list(kind=api.ListKind.DELTA) == []
    assert driver.request("r2", key="k", finish=True) == before
