"""Lists are worked in by steps: what each costs, and what holds between them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from brackenwalk import interface as api
from brackenwalk import ring as ring_module
from brackenwalk.demand import WALK_COST
from brackenwalk.membership import STEP_NODES, VNODES
from brackenwalk.policy import PLAN_BUDGET, Router
from tests.driver import Driver, entry, settings
from tests.ring_nodes import nodes_in_use

FLEET = 600
SETTINGS = settings(ramp=10.0)
Entries = list[api.ServerEntry]


def fleet(count: int = FLEET, prefix: str = "s", **fields: Any) -> Entries:
    return [entry(f"{prefix}{i}", zone="abc"[i % 3], **fields) for i in range(count)]


def full(entries: Entries) -> api.ServerList:
    return api.ServerList(api.ListKind.FULL, tuple(entries))


def changes(entries: Entries) -> api.ServerList:
    return api.ServerList(api.ListKind.DELTA, tuple(entries))


def gone(entries: Entries) -> Entries:
    return [replace(e, state=api.ServerState.GONE) for e in entries]


def heavier_first() -> Entries:
    return [entry("s0", zone="a", weight=1.5)]


LISTS: dict[str, list[api.ServerList]] = {
    "first list": [],
    "97 in 100 replaced": [changes(gone(fleet()[18:]) + fleet(FLEET - 18, "new"))],
    "replaced in a full list": [full(fleet(FLEET, "new"))],
    "one weight past a power of two": [changes(heavier_first())],
    "and back": [changes(heavier_first()), full(fleet())],
    "all weights": [full([replace(e, weight=0.5 + i % 7 / 14) for i, e in enumerate(fleet())])],
    "all processes new": [full(fleet(started_at=99.0))],
    "zone lost and back": [full([e for e in fleet() if e.zone != "a"]), full(fleet())],
}


class CountingRouter(Router):
    """Counts the virtual nodes that are computed or sorted in each call of `handle`."""

    most_nodes = 0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        before = self.count()
        actions = super().handle(now, event)
        self.most_nodes = max(self.most_nodes, self.count() - before)
        return actions

    count: Callable[[], int]


@pytest.mark.parametrize("row", LISTS)
def test_no_event_computes_the_virtual_nodes_of_a_whole_list(
    row: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: one list of thousands of servers stops the event loop for seconds (`review/3`)."""
    computed = 0
    virtual_nodes = ring_module.virtual_nodes

    def counting(server: str, count: int) -> tuple[int, ...]:
        nonlocal computed
        computed += count
        return virtual_nodes(server, count)

    monkeypatch.setattr(ring_module, "virtual_nodes", counting)
    monkeypatch.setattr(CountingRouter, "count", lambda self: computed, raising=False)
    driver = Driver(SETTINGS, router_class=CountingRouter)
    for server_list in (full(fleet()), *LISTS[row]):
        driver.list(*server_list.entries, kind=server_list.kind)
    assert computed >= VNODES * FLEET
    assert isinstance(driver.router, CountingRouter)
    assert driver.router.most_nodes <= STEP_NODES + VNODES


@pytest.mark.parametrize("row", LISTS)
def test_each_step_covers_a_bounded_number_of_nodes(row: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: merging or sweeping out nodes that costs as much at once as it did to place them."""
    ring_step, longest = ring_module.Ring.step, 0

    def counting(self: ring_module.Ring, nodes: int) -> list[str]:
        nonlocal longest
        covered = 0

        def count(work: Any) -> Any:
            nonlocal covered
            for part in work:
                covered += part
                yield part

        monkeypatch.setattr(self, "_place_batch", lambda: count(ring_module.Ring._place_batch(self)))
        monkeypatch.setattr(self, "_sweep", lambda: count(ring_module.Ring._sweep(self)))
        joined = ring_step(self, nodes)
        longest = max(longest, covered)
        return joined

    monkeypatch.setattr(ring_module.Ring, "step", counting)
    driver = Driver(SETTINGS)
    for server_list in (full(fleet()), *LISTS[row]):
        driver.list(*server_list.entries, kind=server_list.kind)
    segment = 2 * FLEET * VNODES // len(driver.router.ring.nodes.segments)  # the part that passes the limit
    assert STEP_NODES <= longest <= STEP_NODES + 2 * segment


def stepwise(entries: Entries) -> Driver:
    """Return a driver whose router has a first list, and which takes the next lists in steps."""
    driver = Driver(SETTINGS)
    driver.list(*entries)
    driver.stepwise = True
    return driver


def step(driver: Driver) -> bool:
    """Deliver a `Resume`, and return whether there is more to do."""
    return api.ResumeLater() in driver.feed(api.Resume())


def servers_chosen(driver: Driver, run: str, count: int = 60) -> set[str | None]:
    return {
        driver.request(f"{run}{i}", key=f"{run}{i}", finish=f"{run}{i}" in driver.sends) for i in range(count)
    }


def test_servers_that_leave_get_nothing_from_the_list_on() -> None:
    """Guards against: a server that drains is sent requests until its nodes have left the ring."""
    driver = stepwise(fleet())
    rest = fleet()[: FLEET // 2]
    leaving = [replace(e, state=api.ServerState.DRAINING) for e in fleet()[FLEET // 2 :]]
    driver.list(*leaving, *fleet(FLEET, "new"), kind=api.ListKind.DELTA)
    listed, run = {e.server for e in rest}, 0
    assert driver.router.ring.has_work()
    while driver.router.ring.batches:
        for i in range(60):
            sent = driver.request(f"r{run}-{i}", key=f"k{run}-{i}", finish=True)
            assert sent in listed
        assert step(driver)
        run += 1
    assert run > 10


def test_new_servers_come_into_use_together() -> None:
    """Guards against: the few servers that are placed first get the keys of all that are to come."""
    driver = stepwise(fleet(30))
    before = dict(driver.router.caches)
    driver.list(*fleet(FLEET, "new"), kind=api.ListKind.DELTA)
    while driver.router.ring.batches:
        assert driver.router.caches == before and driver.router.shares.total_weight == 30
        step(driver)
    assert len(driver.router.caches) == 30 + FLEET and driver.router.shares.total_weight == 30 + FLEET


def test_a_change_of_the_unit_takes_effect_for_all_servers_together() -> None:
    """Guards against: while a weight change is worked in, some servers have twice the share of others."""
    driver = stepwise(fleet())
    counts = {len(nodes_in_use(driver.router.ring))}
    driver.list(*heavier_first(), kind=api.ListKind.DELTA)
    while driver.router.ring.has_work():
        counts.add(len(nodes_in_use(driver.router.ring)))
        step(driver)
    assert counts <= {FLEET * VNODES, (FLEET - 1) * VNODES // 2 + VNODES * 3 // 4}
    assert len(nodes_in_use(driver.router.ring)) == (FLEET - 1) * VNODES // 2 + VNODES * 3 // 4


def test_a_new_process_keeps_the_nodes_of_its_name() -> None:
    """Guards against: a restart of all servers under their names costs as much as a new fleet."""
    driver = stepwise(fleet())
    before = nodes_in_use(driver.router.ring)
    assert api.ResumeLater() not in driver.list(*fleet(started_at=driver.now))
    assert nodes_in_use(driver.router.ring) == before
    assert all(driver.router.shares.is_cold(s) for s in driver.router.caches)


def test_requests_wait_for_the_first_servers() -> None:
    """Guards against: requests are refused while the first list is worked in."""
    driver = Driver(SETTINGS)
    driver.stepwise = True
    driver.list(*fleet())
    assert driver.request("r1", key="k") is None and "r1" in driver.open
    while step(driver):
        pass
    assert driver.sends["r1"]


def test_a_list_in_the_middle_of_another_is_taken_in_order() -> None:
    """Guards against: servers wait for lists after theirs, or come back after they have left."""
    driver = stepwise(fleet(30))
    driver.list(*fleet(FLEET, "one"), kind=api.ListKind.DELTA)
    step(driver)
    driver.list(*gone(fleet(5, "one")), *fleet(FLEET, "two"), kind=api.ListKind.DELTA)
    caches = driver.router.caches
    while len(caches) == 30:
        step(driver)
    assert {s.entry.server for s in caches} == {e.server for e in fleet(30) + fleet(FLEET, "one")[5:]}
    while driver.router.ring.has_work():
        step(driver)
    fresh = stepwise([*fleet(30), *fleet(FLEET, "one")[5:], *fleet(FLEET, "two")])
    assert sorted(nodes_in_use(driver.router.ring)) == sorted(nodes_in_use(fresh.router.ring))


def test_only_one_resume_is_asked_for_at_a_time() -> None:
    """Guards against: each list starts a chain of steps of its own, and all of them run side by side."""
    driver = stepwise(fleet(30))
    assert driver.list(*fleet(FLEET, "one"), kind=api.ListKind.DELTA).count(api.ResumeLater()) == 1
    assert driver.list(*fleet(FLEET, "two"), kind=api.ListKind.DELTA).count(api.ResumeLater()) == 0
    assert driver.feed(api.Resume()).count(api.ResumeLater()) == 1


def test_a_step_that_fails_does_not_stop_the_next_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: after an internal error in one step the rest of the list is never worked in."""
    driver = stepwise(fleet(30))
    driver.list(*fleet(FLEET, "new"), kind=api.ListKind.DELTA)
    with monkeypatch.context() as patch:
        patch.setattr(driver.router.membership, "step", lambda: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            driver.feed(api.Resume())
        assert api.ResumeLater() in driver.router.actions
    while step(driver):
        pass
    assert len(driver.router.caches) == 30 + FLEET


names = st.integers(0, 39)
moves = st.one_of(
    st.tuples(st.just("list"), st.lists(st.tuples(names, st.sampled_from([0.5, 1.0, 3.0])), max_size=40)),
    st.tuples(st.just("drain"), names),
    st.tuples(st.just("gone"), names),
    st.tuples(st.just("start"), names),
    st.tuples(st.just("join"), names),
    st.tuples(st.just("step"), names),
    st.tuples(st.just("request"), names),
)


@hypothesis_settings(deadline=None, derandomize=True, max_examples=200)
@given(st.lists(moves, min_size=5, max_size=60))
def test_any_order_of_lists_steps_and_requests_ends_in_the_ring_of_the_last_state(moves: list[Any]) -> None:
    """Guards against: a draining server is sent to, or the ring depends on earlier lists."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("brackenwalk.membership.STEP_NODES", 3 * VNODES)
        driver = Driver(SETTINGS)
        driver.stepwise = True
        for number, (move, value) in enumerate(moves):
            if move == "list":
                driver.list(*(entry(f"s{n}", weight=weight) for n, weight in dict(value).items()))
            elif move == "step":
                driver.feed(api.Resume())
            elif move == "request":
                driver.request(f"r{number}", key=f"k{value}", finish=f"r{number}" in driver.sends)
            else:
                state = {"drain": api.ServerState.DRAINING, "gone": api.ServerState.GONE}.get(move)
                started_at = float(number) if move == "start" else 0.0
                changed = entry(f"s{value}", state=state or api.ServerState.READY, started_at=started_at)
                driver.list(changed, kind=api.ListKind.DELTA)
        while driver.router.ring.has_work():
            driver.feed(api.Resume())
        fresh = Driver(SETTINGS)
        listed = [s.entry for s in driver.router.servers.values()]
        fresh.list(*listed)
    assert sorted(nodes_in_use(driver.router.ring)) == sorted(nodes_in_use(fresh.router.ring))
    assert {s.entry for s in driver.router.caches} == {e for e in listed if e.ready}
    assert driver.router.shares.total_weight == pytest.approx(fresh.router.shares.total_weight)
    total = sum(map(len, driver.router.ring.nodes.segments))
    assert total == driver.router.ring.nodes_in_use + driver.router.ring.retired_nodes


# The plan for hot keys behind a list


def planning_driver(keys: int) -> Driver:
    driver = Driver(settings(ramp=1e9, cold_share=0.1, peer_messages=True))
    driver.list(*fleet(started_at=driver.now))
    for key in range(keys):
        for _ in range(3):
            driver.router.demand.add((key * 2654435761) % 2**32)
    driver.stepwise = True
    return driver


def test_no_event_plans_all_hot_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: with thousands of cold servers and of counted keys, one plan stops the event loop."""
    driver = planning_driver(2000)
    walk, walks = driver.router.shares.walk, 0

    def counting(*args: Any) -> Any:
        nonlocal walks
        walks += 1
        return walk(*args)

    monkeypatch.setattr(driver.router.shares, "walk", counting)
    driver.request("r1", key="k")
    most = walks
    while driver.router.plan is not None:
        before = walks
        driver.feed(api.Resume())
        most = max(most, walks - before)
    assert walks >= 2000 and most <= PLAN_BUDGET // WALK_COST + 2  # and those of the request itself
    assert len(driver.router.shares.hot_shares) > 1000


def test_a_plan_is_given_up_when_the_servers_change() -> None:
    """Guards against: a plan goes on for servers that have left."""
    driver = planning_driver(2000)
    driver.request("r1", key="k")
    assert driver.router.plan is not None
    driver.list(entry("s0", state=api.ServerState.GONE), kind=api.ListKind.DELTA)
    assert driver.router.plan is None
    driver.now += 1.0
    driver.request("r2", key="k")
    assert driver.router.plan is not None
    while driver.router.plan is not None:
        driver.feed(api.Resume())
    assert all(s.entry.server != "s0" for shares in driver.router.shares.hot_shares.values() for s in shares)


def test_a_change_of_servers_advances_the_origin_queue_once() -> None:
    """Guards against: with each list, the work for the queue grows with the square of its length."""
    driver = Driver(settings(aside=True, origin_kind="origin"))
    driver.list(entry("a"), entry("o", kind="origin"))
    driver.router.servers["o"].limit = 1.0
    for n in range(200):
        driver.request(f"w{n}", key=f"k{n}", write=True)
    assert len(driver.router.queue) == 199
    served, serve = 0, driver.router._serve_queue

    def counting() -> None:
        nonlocal served
        served += 1
        serve()

    driver.router._serve_queue = counting  # type: ignore[method-assign]
    driver.list(entry("b"), kind=api.ListKind.DELTA)
    assert served <= 2 and len(driver.router.queue) == 199
