"""The rules for routers (see tests/driver.py), each alone and all under random legal sequences of events."""

from __future__ import annotations

import math
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from brackenwalk import discovery_calls, policy, state
from brackenwalk import interface as api
from brackenwalk.net import discovery
from brackenwalk.policy import Router
from brackenwalk.ring import ring_hash
from tests.driver import Driver, entry, settings

MAY_HAVE_RUN = [api.Status.ERROR, api.Status.RESET, api.Status.TIMEOUT, api.Status.CANCELLED]
NEVER_RAN = [api.Status.BUSY, api.Status.CONNECT_FAILED, api.Status.UNSENT]
ASIDE: dict[str, Any] = {"aside": True, "origin_kind": "origin"}


def fleet(*names: str) -> list[api.ServerEntry]:
    cells = enumerate(names)
    return [entry(n, zone="xy"[i % 2], cell=i % 2, kind="origin" if n == "o" else "std") for i, n in cells]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_is_never_resent_nor_refused_once_it_may_have_run(status: api.Status) -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", request_class="once", write=True)
    assert d.end("r", status) is None
    assert d.ended["r"] == "failed"


@pytest.mark.parametrize("status", NEVER_RAN)
def test_unsafe_is_resent_when_proven_not_to_have_run(status: api.Status) -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    first = d.request("r", request_class="once", write=True)
    assert d.end("r", status) not in (None, first)


def test_keyed_is_resent_within_its_window_and_not_after() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b", "c"))
    d.request("r", request_class="keyed", time_left=3.0)
    assert d.end("r", api.Status.RESET) is not None
    for after in (1.6, 1.3):  # a dial may delay the send by a quarter of a second
        late = Driver(settings())
        late.list(*fleet("a", "b", "c"))
        late.request("r", request_class="keyed", time_left=3.0)
        late.now += after
        assert late.end("r", api.Status.RESET) is None


@pytest.mark.parametrize("group", [api.RepeatGroup.ZONE, api.RepeatGroup.CELL])
def test_keyed_stays_within_its_group_and_is_then_failed(group: api.RepeatGroup) -> None:
    kind = api.RequestClass("keyed", 2.0, api.RetrySafety.KEYED, group, repeat_window=1.5)
    for key in map(str, range(20)):
        d = Driver(settings(classes={"keyed": kind}))
        d.list(*fleet("a", "b", "c", "d"))
        first = d.request("r", request_class="keyed", time_left=3.0, key=key)
        second = d.end("r", api.Status.RESET)
        assert {first, second} in ({"a", "c"}, {"b", "d"})
        assert d.end("r", api.Status.RESET) is None
        assert d.ended["r"] == "failed"


def test_no_second_copy_where_the_settings_forbid_it() -> None:
    d = Driver(settings(second_copies=False))
    d.list(*fleet("a", "b", "c"))
    d.request("r")
    d.wait(1.9)
    outstanding = [i for i in range(len(d.sends["r"])) if d.outcomes["r", i] is None]
    assert len(outstanding) <= 1


def test_queued_requests_are_answered_in_time_without_any_server() -> None:
    d = Driver(settings())
    d.request("r")
    assert not d.sends
    d.wait(3.0)
    assert d.ended["r"] == "refused"


def test_queued_requests_are_sent_when_a_server_is_listed() -> None:
    d = Driver(settings())
    d.request("r")
    d.now += 0.2
    d.list(*fleet("a"))
    assert d.sends["r"] == ["a"]


@pytest.mark.parametrize("time_left", [0.0, 0.001])
def test_a_request_without_time_left_is_refused_at_once(time_left: float) -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    d.request("r", time_left=time_left)
    assert d.ended["r"] == "refused"


def test_reads_that_wait_for_the_origin_are_answered_in_time() -> None:
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    for n in range(60):
        d.request(f"r{n}", key=f"k{n}")
        d.end(f"r{n}", api.Status.MISS)
    d.wait(3.0)
    assert len(d.ended) == 60


def test_a_disconnected_client_ends_its_request_and_cancels_its_attempts() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.finish("r", "gone")
    assert d.feed(api.ClientGone("r")) == [api.Cancel("r", 0)]
    assert d.end("r", api.Status.CANCELLED) is None
    assert d.feed(api.ClientGone("r")) == []


def test_events_for_unknown_requests_and_servers_are_ignored() -> None:
    d = Driver(settings())
    for event in (
        api.Outcome("x", 0, api.Status.OK, True),
        api.ClientGone("x"),
        api.TimerFired("wait:x"),
        api.TimerFired("odd"),
        api.ResponseStarted("x", 0),
        api.ServerList(api.ListKind.DELTA, (entry("a", state=api.ServerState.GONE),)),
        api.ServerList(api.ListKind.FULL, ()),
    ):
        assert [a for a in d.feed(event) if not isinstance(a, api.SetTimer)] == []
    assert d.router.handle(d.now, api.Request("r", "unheard-of", 1.0)) == [api.Refuse("r")]


def test_a_response_that_has_started_is_not_retried() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.feed(api.ResponseStarted("r", 0))
    d.feed(api.TimerFired("wait:r"))
    assert "r" in d.open and len(d.sends["r"]) == 1


def test_equal_events_give_equal_actions() -> None:
    def run() -> list[list[api.Action]]:
        d = Driver(settings(subscribe=True), seed=7)
        said = [d.list(*fleet("a", "b", "c"), kind=api.ListKind.SAVED), d.list(kind=api.ListKind.FAILED)]
        for n in range(30):
            d.request(f"r{n}", key=f"k{n}")
            said.append(d.last_actions)
        return said

    assert run() == run()


def test_subscribes_and_backs_off_after_failures() -> None:
    d = Driver(settings(subscribe=True))
    d.list(*fleet("a"), kind=api.ListKind.SAVED)
    d.wait(discovery_calls.TURN_S)
    assert d.last_actions == [api.Subscribe()]
    pauses = []
    for _ in range(6):
        timer, log = d.feed(api.ServerList(api.ListKind.FAILED))
        assert isinstance(log, api.Log) and "out of reach" in log.text
        assert isinstance(timer, api.SetTimer)
        pauses.append(timer.delay)
        d.timers.clear()
        assert d.feed(api.TimerFired(timer.token)) == [api.Subscribe()]
    assert pauses[-1] > pauses[0]


@pytest.mark.parametrize("siblings", [1, 4, 40, 200])
def test_routers_that_start_together_poll_discovery_in_turn(siblings: int) -> None:
    """Guards against calls in step: of 40 at once 16 were answered, and the others called again together.

    Guards as well against turns of fixed length: of 200 routers the last polled after 25 s, and until then
    sent to servers that were long gone.
    """
    turns = []
    for number in range(siblings):
        d = Driver(settings(subscribe=True, siblings=siblings, sibling_index=number, ramp=23.0), seed=number)
        d.list(*fleet("a"), kind=api.ListKind.SAVED)
        (turn,) = (a for a in d.last_actions if isinstance(a, api.SetTimer))
        turns.append(turn.delay)
    turns.sort()
    # half of the 10 s in which each must have polled
    assert turns[-1] < min(discovery_calls.TURN_S * siblings, 5.0)
    for start in turns:
        assert (
            sum(start <= t < start + 2.0 for t in turns)
            <= max(2.0 / discovery_calls.TURN_S, 0.4 * siblings) + 2
        )


def test_routers_given_a_new_discovery_together_do_not_poll_it_in_step() -> None:
    """Guards against a call from every router at the instant of its SIGHUP; the current list stays in use."""
    pauses = []
    for number in range(200):
        d = Driver(settings(subscribe=True, siblings=200, sibling_index=number), seed=number)
        d.list(*fleet("a"))
        (timer,) = d.feed(api.ServerList(api.ListKind.MOVED))
        assert isinstance(timer, api.SetTimer)
        pauses.append(timer.delay)
        assert d.feed(api.TimerFired(timer.token)) == [api.Subscribe()] and d.request("r") == "a"
    assert max(pauses) < 1.5  # when the old watches end
    assert max(sum(start <= t < start + 0.1 for t in pauses) for start in pauses) < 50


@pytest.mark.parametrize("siblings", [40, 200])
def test_retries_of_failed_calls_are_spread_over_all_turns(siblings: int) -> None:
    """Guards against a second call after half a second, before discovery has worked off the first ones."""
    pauses = []
    for number in range(siblings):
        d = Driver(settings(subscribe=True, siblings=siblings, sibling_index=number, ramp=23.0), seed=number)
        (timer, _) = d.feed(api.ServerList(api.ListKind.FAILED))
        assert isinstance(timer, api.SetTimer)
        pauses.append(timer.delay)
    assert min(pauses) > 2.0 and max(pauses) <= 5.0 and max(pauses) - min(pauses) > 1.5


def pauses_after_failures(conf: api.Settings, count: int) -> list[float]:
    d, pauses = Driver(conf), []
    for _ in range(count):
        (timer, _) = d.feed(api.ServerList(api.ListKind.FAILED))
        assert isinstance(timer, api.SetTimer)
        pauses.append(timer.delay)
    return pauses


@pytest.mark.parametrize("siblings", [1, 6, 230])
def test_a_pushed_list_is_requested_again_well_within_the_drain_grace(siblings: int) -> None:
    """The router is bound by what its local agent has received: a pause of half a warm-up broke rule 3."""
    conf = settings(siblings=siblings, drain_grace=0.5, overload_window=3.0, ramp=23.0)
    pauses = pauses_after_failures(conf, 20)
    assert pauses[0] <= discovery_calls.TURN_S and max(pauses) <= 0.25


def test_few_routers_poll_again_before_changes_bind_them() -> None:
    """Guards against pauses as long as the overload window: changes came after they bound the router."""
    conf = settings(subscribe=True, siblings=6, overload_window=3.0, ramp=60.0, max_list_age=10.0)
    pauses = pauses_after_failures(conf, 20)
    assert discovery.WATCH_WAIT_S + discovery.RESPONSE_MARGIN_S + pauses[0] < 6.0
    assert max(pauses) <= 5.0


def test_a_cold_server_gets_its_warm_up_share_and_no_more() -> None:
    """A surge of a thousand requests in a second, just after a start, must not use its whole share."""
    d = Driver(settings(ramp=10.0, cold_share=0.3, overload_factor=2.0, overload_window=1.0))
    d.list(entry("a"), entry("b"), entry("c"))
    for n in range(4000):
        if n == 3000:
            d.list(entry("a"), entry("b"), entry("c"), entry("d", started_at=d.now))
        d.now += 0.01 if n < 3000 else 0.001
        d.request(f"r{n}", key=f"k{n}", finish=True)
    cold = sum(s == ["d"] for s in d.sends.values())
    assert 5 < cold < 1000 / 4 * 0.55  # a third of its share, which is somewhat large


def test_a_warm_server_gets_its_whole_share_again() -> None:
    d = Driver(settings(ramp=10.0, cold_share=0.3))
    d.list(entry("a"), entry("b", started_at=d.now))
    d.now += 10.0
    sent = [d.request(f"r{n}", key=f"k{n}", finish=True) for n in range(400)]
    assert sent.count("b") > 120


class Random(Driver):
    """Delivers random legal events, drawn by hypothesis."""

    def step(self, data: st.DataObject, n: int) -> None:
        move = data.draw(st.sampled_from(["request"] * 4 + ["end"] * 5 + ["wait"] * 2 + ["list", "gone"]))
        outstanding = [k for k, s in self.outcomes.items() if s is None]
        if move == "request":
            names = sorted(self.conf.classes)
            self.request(
                f"r{n}",
                request_class=data.draw(st.sampled_from(names)),
                time_left=data.draw(st.sampled_from([0.0, 0.01, 0.8, 2.0])),
                key=data.draw(st.sampled_from([None, "k1", "k2", "k3"])),
                write=data.draw(st.booleans()),
                cost_hint=data.draw(st.sampled_from([None, 0.0, 0.2])),
            )
        elif move == "end" and outstanding:
            name, number = data.draw(st.sampled_from(outstanding))
            self.end(name, data.draw(st.sampled_from(list(api.Status))), number)
        elif move == "wait":
            self.wait(data.draw(st.sampled_from([0.0, 0.05, 0.4, 1.0])))
        elif move == "list":
            self.random_list(data)
        elif move == "gone" and self.open:
            name = data.draw(st.sampled_from(sorted(self.open)))
            self.finish(name, "gone")
            self.feed(api.ClientGone(name))

    def random_list(self, data: st.DataObject) -> None:
        kind = data.draw(st.sampled_from(list(api.ListKind)))
        names = data.draw(st.lists(st.sampled_from("abcdo"), unique=True))
        states = st.sampled_from(
            [api.ServerState.READY, api.ServerState.READY, api.ServerState.DRAINING, api.ServerState.GONE]
        )
        since = st.sampled_from([0.0, self.now])
        rows = [
            entry(
                n, state=data.draw(states), kind="origin" if n == "o" else "std", started_at=data.draw(since)
            )
            for n in names
        ]
        if kind in (api.ListKind.FAILED, api.ListKind.MOVED):  # they bring no entries
            self.feed(api.ServerList(kind))
        else:
            self.list(*rows, kind=kind)


def classes_in(group: api.RepeatGroup) -> dict[str, api.RequestClass]:
    keyed = api.RequestClass("keyed", 1.0, api.RetrySafety.KEYED, group, repeat_window=0.5, priority=5.0)
    once = api.RequestClass("once", 1.0, api.RetrySafety.UNSAFE, priority=5.0)
    late = api.RequestClass("late", 0.5)
    return {c.name: c for c in (api.RequestClass("read", 1.0), keyed, once, late)}


def run_random_events(data: st.DataObject, router_class: type[Router] = Router) -> None:
    conf = settings(
        classes=classes_in(data.draw(st.sampled_from(list(api.RepeatGroup)))),
        second_copies=data.draw(st.booleans()),
        may_cancel=data.draw(st.booleans()),
        max_attempts=data.draw(st.sampled_from([1, 3, 6])),
        subscribe=data.draw(st.booleans()),
        **(ASIDE if data.draw(st.booleans()) else {}),
    )
    d = Random(conf, router_class=router_class)
    d.list(*fleet("a", "b", "c", "d", "o"), kind=api.ListKind.SAVED)
    for n in range(data.draw(st.integers(5, 40))):
        d.step(data, n)
    d.wait(10.0)
    assert not d.open, "rule 1: left without an answer"
    assert not d.router.pending_requests, "requests left pending"


CHECKS = hypothesis_settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


@CHECKS
@given(st.data())
def test_rules_hold_under_random_events(data: st.DataObject) -> None:
    run_random_events(data)


class Resender(Router):
    """Broken on purpose: retries every request, even an unsafe one."""

    def _permits(self, req: Any, server: Any) -> bool:
        return True


class TimerDropper(Router):
    """Broken on purpose: sets no timers for queued requests."""

    def _enqueue(self, req: Any) -> None:
        super()._enqueue(req)
        self.actions = [a for a in self.actions if not isinstance(a, api.SetTimer)]


@pytest.mark.parametrize("broken", [Resender, TimerDropper])
def test_the_property_test_catches_a_broken_module(broken: type[Router]) -> None:
    @CHECKS
    @given(st.data())
    def attempt(data: st.DataObject) -> None:
        run_random_events(data, broken)

    with pytest.raises(AssertionError):
        attempt()


def test_a_server_slowed_by_load_gets_fewer_requests() -> None:
    """Guards against overload without a concurrency limit: servers answered late or not at all."""
    d = Driver(settings())
    d.list(entry("a"))
    for n in range(40):
        d.request(f"s{n}")
        d.now += 0.6
        d.end(f"s{n}", api.Status.OK, latency=0.9)
    sent = [d.request(f"r{n}") for n in range(10)]
    assert sent.count("a") == 1 and sent.count(None) == 9
    assert [d.ended[f"r{n}"] for n in range(1, 10)] == ["refused"] * 9


def test_retries_are_bounded_by_the_number_of_requests() -> None:
    """Guards against retry storms: failing servers turned each request into many attempts."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    for n in range(200):
        d.request(f"r{n}", key=f"k{n}")
        while f"r{n}" in d.sends and d.outcomes[f"r{n}", len(d.sends[f"r{n}"]) - 1] is None:
            d.end(f"r{n}", api.Status.RESET)
        d.now += 0.01
    assert sum(map(len, d.sends.values())) <= 200 * 1.2 + 11


def test_retries_after_busy_spend_no_budget() -> None:
    """Guards against refusals while other servers are free: small queues turned a third of attempts away."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    d.router.retry_budget = 0.0
    first = d.request("r", key="k")
    assert d.end("r", api.Status.BUSY) not in (None, first)
    d.router.retry_budget = 0.0
    assert d.end("r", api.Status.RESET) is None


def test_retries_after_busy_spend_budget_when_most_attempts_fail() -> None:
    """Guards against feeding an overload: nine attempts in ten were answered busy, five for each request."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    d.request("r", key="k")
    d.router.retry_budget, d.router.shares.success_share = 0.0, 0.2
    assert d.end("r", api.Status.BUSY) is None and d.ended["r"] == "refused"


def miss(d: Driver, *names: str, key: str = "k") -> None:
    for name in names:
        d.request(name, key=key)
        d.end(name, api.Status.MISS)


@pytest.mark.parametrize("how", ["gone", "failed"])
def test_a_lost_fetch_does_not_strand_queued_requests(how: str) -> None:
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 1.0
    miss(d, "r1", "r2", "r3")
    assert [d.sends[n] for n in ("r1", "r2", "r3")] == [["a", "o"], ["a"], ["a"]]
    if how == "gone":
        d.finish("r1", "gone")
        d.feed(api.ClientGone("r1"))
    d.end("r1", api.Status.RESET)
    assert [d.sends[n] for n in ("r2", "r3")] == [["a", "o"], ["a"]]
    d.wait(3.0)
    assert not d.open


def fill(d: Driver, *names: str) -> None:
    for name in names:
        d.router.servers[name].limit = 0.0


def walk_order(d: Driver, key: str) -> list[str]:
    """Return the servers clockwise from a key, each once."""
    r = d.router
    around = r.ring.clockwise(ring_hash(key)[0], len(r.ring.positions))
    return list(dict.fromkeys(server.entry.server for server, _ in around))


def test_a_key_spills_no_further_than_the_second_full_server() -> None:
    """Guards against a long spill: servers further on lack the key, and the misses then overload all."""
    d = Driver(settings())
    d.list(*fleet("a", "b", "c", "d"))
    first, second, third, _ = walk_order(d, "k")
    fill(d, first)
    assert d.request("r1", key="k") == second
    fill(d, second)
    assert d.request("r2", key="k") is None and d.ended["r2"] == "refused"
    assert d.router.servers[third].in_flight == 0


def test_silent_servers_do_not_count_as_full_servers() -> None:
    """Guards against refusals in a partition: unreachable servers used up the two that a key may pass."""
    d = Driver(settings(second_copies=False))
    d.list(*fleet("a", "b", "c", "d"))
    first, second, third, _ = walk_order(d, "k")
    fill(d, first, second)
    for name in (first, second):
        d.router.servers[name].in_flight = 1
        d.router.servers[name].unanswered_since = d.now - 1.5
    assert d.request("r1", key="k") == third


def test_a_silent_server_gets_one_trial_at_a_time_until_it_answers() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.router.gossip.next_at = math.inf  # no plan, or so hot a key would be spread
    first, second = walk_order(d, "k")
    assert [d.request(f"r{n}", key="k") for n in "12"] == [first, first]
    d.now += 1.1
    assert d.request("r3", key="k", finish=True) == second
    d.end("r1", api.Status.TIMEOUT, latency=1.1)
    d.end("r2", api.Status.TIMEOUT, latency=1.1)
    assert d.request("r4", key="k") == first
    assert d.request("r5", key="k", finish=True) == second
    d.end("r4", api.Status.ERROR)
    assert d.request("r6", key="k") == first


def test_one_slow_answer_does_not_cut_the_limit() -> None:
    """Guards against cutting the limit of a healthy server for a single expensive request."""
    d = Driver(settings())
    d.list(*fleet("a"))
    for n in range(20):
        d.request(f"r{n}", key="k")
        d.end(f"r{n}", api.Status.OK, latency=0.9 if n == 10 else 0.05)
    assert d.router.servers["a"].limit >= state.INITIAL_LIMIT


def test_no_fetch_is_sent_that_cannot_return_in_time() -> None:
    """Guards against fetches that return after the aim and keep others out, as with a slow origin."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 2.0
    d.router.servers["o"].latency = 0.45
    for n in "123":
        miss(d, f"r{n}", key=f"k{n}")
    assert d.sends["r2"] == ["a", "o"] and d.sends["r3"] == ["a"]
    d.now += 0.5
    d.ok("r1")
    assert d.sends["r3"] == ["a"] and d.ended["r3"] == "refused"


def test_a_fetch_needs_twice_the_usual_latency() -> None:
    """Guards against fetches that their clients cut short, a third of all: they are not even stored."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].latency = 0.4
    miss(d, "r1", key="k1")
    d.request("r2", key="k2", time_left=0.7)
    assert d.end("r2", api.Status.MISS) is None and d.ended["r2"] == "refused"
    d.request("r3", key="k3", time_left=0.9)
    assert d.end("r3", api.Status.MISS) == "o"


def test_a_write_needs_the_usual_latency_only_once() -> None:
    """Guards against failing all writes at a somewhat slow origin: most would have been in time."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.request("r0", key="k0", write=True)
    d.router.servers["o"].latency = 0.6
    assert d.request("r1", key="k1", write=True) == "o"
    d.router.servers["o"].latency = 1.1
    assert d.request("r2", key="k2", write=True) is None and d.ended["r2"] == "refused"


def test_requests_of_higher_value_go_first_at_the_origin() -> None:
    """Guards against writes that wait behind the misses of reads when the origin is slow."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 1.0
    miss(d, "r1", key="k1")
    miss(d, "r2", key="k2")
    d.request("w", request_class="keyed", key="k3", write=True)
    d.end("r1", api.Status.RESET)
    assert d.sends.get("w") == ["o"] and d.sends["r2"] == ["a"]


def test_a_busy_answer_cuts_the_limit_to_the_requests_in_flight() -> None:
    """Guards against slow cuts: limits fell by a quarter a round while two attempts in three were busy."""
    d = Driver(settings())
    d.list(*fleet("a"))
    d.router.servers["a"].limit = 9.0
    for n in range(6):
        d.request(f"r{n}", key="k")
    d.end("r5", api.Status.BUSY)
    assert d.router.servers["a"].limit == 5.0


def test_a_restarted_server_starts_with_fresh_measurements() -> None:
    """The limit and the silence of an earlier process say nothing about its successor."""
    d = Driver(settings())
    d.list(*fleet("a"))
    d.router.servers["a"].limit = 1.0
    d.request("r1")
    d.list(entry("a", started_at=d.now), kind=api.ListKind.DELTA)
    assert d.router.servers["a"].limit == state.INITIAL_LIMIT
    d.ok("r1")
    assert d.router.servers["a"].in_flight == 0


def test_memory_is_bounded_in_a_long_run() -> None:
    """What is kept follows the pending requests and listed servers, however many come and go."""
    d = Driver(settings(**ASIDE))
    for n in range(3000):
        if n % 20 == 0:
            d.list(*fleet(*(f"s{n // 20 + i}" for i in range(4)), *["o"] * (n % 40 > 0)))
        if n % 500 == 480:
            d.list()
        name = f"r{n}"
        if d.request(name, key=f"k{n}") is not None:
            d.end(name, api.Status.MISS if n % 3 else api.Status.OK)
        if d.sends.get(name, [""])[-1] == "o":
            d.ok(name)
        d.wait(0.05)
    d.wait(5.0)
    r = d.router
    assert not r.pending_requests and not r.attempts
    assert len(r.servers) <= 5 and len(r.queue) < 100
    assert len(r.ring.owners) == len(r.ring.positions) <= 5 * policy.VNODES


def test_the_origin_queue_stays_bounded() -> None:
    """Guards against finished reads piling up behind a steady flow of writes of higher value."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 1.0
    for n in range(2000):
        miss(d, f"r{n}", key=f"k{n}")
        d.router.servers["o"].limit = 1.0
        d.wait(0.05)
    assert len(d.router.queue) <= 2 * len(d.router.pending_requests) + 1 < 200


def test_idle_connections_are_closed_when_they_cost_more_than_new_ones() -> None:
    """Guards against full tables: hundreds of routers kept one open each, and four dials in five failed."""
    d = Driver(settings(siblings=500, connection_cost=0.03, handshake_cost=0.03))
    d.list(*fleet("a", "b"))
    d.now += 10.0
    d.request("r0", finish=True)
    for n in range(40):
        d.request(f"r{n + 1}", key=f"k{n}", finish=True)
    d.wait(0.1)
    assert isinstance(d.last_actions[0], api.CloseIdle)
    few = Driver(settings(siblings=1, connection_cost=0.03, handshake_cost=0.03))
    few.list(*fleet("a", "b"))
    few.request("r", finish=True)
    assert not [a for a in few.last_actions if isinstance(a, api.CloseIdle)]


def test_a_cold_share_of_zero_breaks_no_router() -> None:
    """Guards against a division by zero when all servers are cold and accept nothing."""
    d = Driver(settings(ramp=10.0, cold_share=0.0))
    d.list(*(entry(n, started_at=d.now) for n in "abc"))
    assert [d.request(f"r{n}", key="k") for n in range(3)] == [None] * 3
    assert set(d.ended.values()) == {"refused"}
    d.now += 9.0
    sent = [d.request(f"s{n}", key=f"k{n}") for n in range(100)]
    assert sum(s is not None for s in sent) >= 6


def test_a_recovered_zone_counts_as_cold_until_the_list_can_tell() -> None:
    """Guards against overloading restarted servers whose start is not listed yet."""
    d = Driver(settings(ramp=23.0, cold_share=0.13, max_list_age=10.0))
    entries = [entry(f"s{i}", zone="abc"[i % 3]) for i in range(30)]
    d.list(*entries)

    def part(name: str) -> float:
        sent = [d.request(f"{name}{n}", key=f"k{n}", finish=True) for n in range(600)]
        return sum(s is not None and d.listed[s].zone == "a" for s in sent) / len(sent)

    before = part("before")
    failed = 0
    for n in range(600):
        d.now += 0.001
        sent = d.request(f"lost{n}", key=f"k{n}")
        if sent is not None and d.listed[sent].zone == "a":
            failed += 1
            d.end(f"lost{n}", api.Status.CONNECT_FAILED)
        if f"lost{n}" in d.open:
            d.ok(f"lost{n}")
    assert 3 <= failed < 600 * before / 3
    d.wait(5.0)
    part("first")  # the trial is answered
    d.wait(0.1)
    assert part("back") < 0.3 * before
    d.wait(5.1)
    assert part("later") == pytest.approx(
        before, abs=0.05
    )  # no restart was listed: the zone had only been unreachable


def test_a_server_in_use_has_one_timer_for_its_idle_connections() -> None:
    """Guards against timers piling up: each answer set one that renewed itself, 60,000 in all."""
    d = Driver(settings(siblings=4, connection_cost=0.003, handshake_cost=0.03, idle_timeout=600.0))
    d.list(*fleet("a", "b"))
    for n in range(600):
        d.wait(0.05)
        d.request(f"r{n}", key=f"k{n}", finish=True)
        assert sum(token.startswith("idle:") for _, token in d.timers) <= 8
    closed: set[str] = set()
    while len(closed) < 2 and d.now < 200.0:
        d.wait(0.05)
        closed |= {a.server for a in d.last_actions if isinstance(a, api.CloseIdle)}
    assert closed == {"a", "b"}


def test_failed_dials_shorten_the_idle_time() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    d.end("r", api.Status.CONNECT_FAILED)
    assert d.router.keep_share == policy.KEEP_SHARE / 2
    d.ok("r")
    assert policy.KEEP_SHARE / 2 < d.router.keep_share < policy.KEEP_SHARE


def test_a_server_reported_overloaded_is_passed_by_a_share_of_requests() -> None:
    """No router alone can see that a hot key overloads a server; the live weights show it to all."""
    d = Driver(settings(live_weights=True))
    names = "abcdefgh"
    d.list(*(entry(n, weight=2.0) for n in names))
    first = d.request("r", key="k", finish=True)
    d.list(*(entry(n, weight=0.5 if n == first else 1.0) for n in names))
    d.router.gossip.next_at = math.inf  # no plan, or so hot a key would be spread
    sent = [d.request(f"r{n}", key="k", finish=True) for n in range(200)]
    assert 70 < sent.count(first) < 140  # reported load 3 against a cap of 1.56: half stay


def test_a_failed_fetch_is_not_retried_at_another_server() -> None:
    """Guards a failing origin: each error sent the key to another server, which fetched it again."""
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.request("r")
    assert d.end("r", api.Status.ERROR) is None and d.ended["r"] == "refused"


def test_requests_that_would_wait_too_long_are_refused_early() -> None:
    """Guards against late answers to all: in an overload every server held thirty requests per core."""
    d = Driver(settings(live_weights=True, max_attempts=1))
    names = "abcdefgh"
    d.list(*(entry(n, weight=6.0) for n in names))
    for n in range(40):
        d.request(f"a{n}", key=f"k{n}")
        d.end(f"a{n}", api.Status.OK, latency=0.1)
    assert "refused" not in d.ended.values()
    d.list(*(entry(n, weight=0.2) for n in names))
    sent = [d.request(f"b{n}", key=f"k{n}", finish=f"b{n}" in d.sends) for n in range(400)]
    # 29 queued at 0.1 s each against a quarter of the 1 s aim: about one in eleven is accepted
    assert 10 < sum(s is not None for s in sent) < 80


def test_late_answers_cause_early_refusals_where_no_load_is_reported() -> None:
    """Clients gave up two attempts in three and retried: only the router's own latencies showed the load."""
    d = Driver(settings(max_attempts=1))
    d.list(*(entry(f"s{n}") for n in range(30)))
    d.router.mean_wait = 4.0
    sent = [d.request(f"r{n}", key=f"k{n}") for n in range(200)]
    assert 20 < sum(s is not None for s in sent) < 90  # an aim of 1 s of 4 s: one in four is accepted


def test_with_draining_servers_only_requests_are_queued_and_answered_in_time() -> None:
    d = Driver(settings())
    d.list(entry("a", state=api.ServerState.DRAINING), entry("b", weight=0.0, state=api.ServerState.DRAINING))
    d.request("r")
    assert not d.sends
    d.wait(3.0)
    assert d.ended["r"] == "refused"


def test_requests_that_can_no_longer_be_fetched_in_time_are_refused_at_once() -> None:
    """Guards against requests that wait until their aim though no fetch could return by then."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 1.0
    d.router.servers["o"].latency = 0.3
    miss(d, "r1", key="k1")
    miss(d, "r2", key="k2")
    d.wait(0.35)
    assert "r2" not in d.ended
    d.wait(0.1)
    assert d.ended["r2"] == "refused" and d.sends["r2"] == ["a"]


def test_a_slower_origin_has_late_queued_requests_refused_at_once() -> None:
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 2.0
    for n in "123":
        miss(d, f"r{n}", key=f"k{n}")
    d.router.servers["o"].limit = 1.0
    d.end("r1", api.Status.OK, latency=3.0)  # the usual latency is 0.6 now, and twice that is past the aim
    assert d.ended["r3"] == "refused"


def test_a_queued_request_waits_on_when_the_origin_gets_faster() -> None:
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "o"))
    d.router.servers["o"].limit = 1.0
    d.router.servers["o"].latency = 0.3
    miss(d, "r1", key="k1")
    miss(d, "r2", key="k2")
    d.router.servers["o"].latency = 0.1
    d.wait(0.6)
    assert "r2" not in d.ended
    d.ok("r1")
    assert d.sends["r2"] == ["a", "o"]


@pytest.mark.parametrize(
    ("latency", "longest", "least", "most"),
    [(1.1, 3.0, 1.1, 2.2), (1.1, 0.5, 0.25, 0.5), (1.1, 0.0, 0.0, 0.0)],
)
def test_a_refusal_advises_when_to_retry(latency: float, longest: float, least: float, most: float) -> None:
    """Guards against retries at once, which meet the same obstacle, and in step, which meet each other."""
    d = Driver(settings(**ASIDE, max_retry_after=longest))
    d.list(*fleet("a", "o"))
    d.request("w0", key="k0", write=True)
    d.router.servers["o"].latency = latency
    advised = []
    for n in range(20):
        d.request(f"w{n + 1}", key="k1", write=True)
        advised += [a.retry_after for a in d.last_actions if isinstance(a, api.Refuse)]
    assert len(advised) == 20 and all(least <= t <= most for t in advised)
    assert len(set(advised)) == (20 if longest else 1)


def warm_up(d: Driver, count: int, latency: float = 0.02) -> None:
    """Let a number of requests succeed, so that the usual latency is known."""
    for n in range(count):
        d.request(f"well-{n}", key="k")
        d.end(f"well-{n}", api.Status.OK, latency=latency)


def answer_later_send(d: Driver, name: str) -> None:
    """Let a later send to the server of this request be answered."""
    d.now += 0.01
    server = d.router.servers[d.sends[name][-1]]
    server.last_answered_send_at = d.now


def test_a_lost_answer_does_not_fail_the_request() -> None:
    """Guards against waiting until the deadline while other answers of the server take milliseconds."""
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    warm_up(d, 30)
    first = d.request("r1", key="k")
    answer_later_send(d, "r1")
    d.wait(0.1)
    assert d.sends["r1"] == [first]  # not late yet for its class
    d.wait(0.4)
    assert len(d.sends["r1"]) == 2 and d.sends["r1"][1] != first
    d.end("r1", api.Status.OK, 1)
    assert d.ended["r1"] == "served" and api.Cancel("r1", 0) in d.last_actions


def test_a_miss_of_the_second_copy_goes_to_the_origin_with_the_first_in_flight() -> None:
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "b"), entry("o", kind="origin"))
    warm_up(d, 30)
    d.request("r1", key="k")
    answer_later_send(d, "r1")
    d.wait(0.4)
    assert d.end("r1", api.Status.MISS, 1) == "o"
    assert d.end("r1", api.Status.MISS, 0) is None  # one fetch is in flight already
    d.end("r1", api.Status.OK, 2)
    assert d.ended["r1"] == "served"


@pytest.mark.parametrize("fetch", [api.Status.TIMEOUT, None])
def test_a_request_with_all_copies_lost_is_still_answered(fetch: api.Status | None) -> None:
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "b"), entry("o", kind="origin"))
    warm_up(d, 30)
    d.request("r1", key="k")
    answer_later_send(d, "r1")
    d.wait(0.4)
    if fetch is None:
        d.router.servers["o"].in_flight = 100  # no free slot there
    d.end("r1", api.Status.MISS, 1)
    d.wait(3.0)
    assert "r1" in d.ended


def test_an_unsafe_request_gets_no_second_copy() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    warm_up(d, 30)
    d.request("r1", key="k", request_class="once")
    d.wait(1.9)
    assert len(d.sends["r1"]) == 1


def test_requests_at_a_slow_server_get_no_second_copies() -> None:
    """Guards against copies that feed an overload: one router alone can't tell it from a lost answer."""
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    first = d.request("r1", key="k")
    d.request("r2", key="k")
    d.wait(0.9)
    assert d.sends["r1"] == [first] and "r1" not in d.ended
    late = Driver(settings())
    late.list(*fleet("a", "b"))
    late.request("r1", key="k")
    late.wait(0.3)
    answer_later_send(late, "r1")  # shows only now that the first was lost
    late.wait(0.3)
    assert len(late.sends["r1"]) == 2


def test_second_copies_spend_the_retry_budget() -> None:
    """Guards against doubling the load where most answers get lost."""
    d = Driver(settings())
    d.list(*fleet(*"abcdefgh"))
    for name in "abcdefgh":
        d.router.servers[name].limit = 100.0
    warm_up(d, 30)
    for n in range(60):
        d.request(f"r{n}", key=f"k{n}")
        answer_later_send(d, f"r{n}")
    d.wait(0.9)
    copies = sum(len(d.sends[f"r{n}"]) - 1 for n in range(60))
    assert 0 < copies <= policy.MAX_RETRY_BUDGET


def test_an_outcome_does_not_look_up_the_origin_for_each_queued_request() -> None:
    """Guards against work that grows with queue length times list length, as in an overload."""
    looked = 0

    class Counted(Router):
        def _origin(self) -> state.Server | None:
            nonlocal looked
            looked += 1
            return super()._origin()

    d = Driver(settings(**ASIDE), router_class=Counted)
    d.list(*fleet("a", "b"), entry("o", kind="origin"))
    for n in range(200):
        d.request(f"w{n}", request_class="once", write=True)
    assert len(d.router.queue) > 100
    looked = 0
    d.ok("w0")
    assert looked <= 10


@pytest.mark.parametrize("how", [api.Status.TIMEOUT, api.Status.CANCELLED])
def test_a_lost_answer_does_not_count_against_its_server(how: api.Status) -> None:
    """One lost at the origin raised its mean latency by a whole deadline, and the whole queue was refused."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "b"), entry("o", kind="origin"))
    for n in range(20):
        miss(d, f"r{n}", key=f"k{n}")
        d.end(f"r{n}", api.Status.OK, latency=0.02)
    origin = d.router.servers["o"]
    before = (origin.latency, origin.limit)
    miss(d, "lost", key="lost")
    d.now += 0.01
    miss(d, "later", key="later")
    d.end("later", api.Status.OK, latency=0.02)
    d.end("lost", how, latency=2.0)
    assert origin.latency <= before[0] + 0.01 and origin.limit >= before[1]


def test_time_outs_of_a_silent_server_count_against_it() -> None:
    d = Driver(settings())
    d.list(*fleet("a"))
    for n in range(4):
        d.request(f"r{n}", key="k")
    for n in range(4):
        d.end(f"r{n}", api.Status.TIMEOUT, latency=1.0)
    assert d.router.servers["a"].limit < state.INITIAL_LIMIT


@pytest.mark.parametrize("how", [api.Status.ERROR, api.Status.RESET, api.Status.CONNECT_FAILED])
def test_a_failing_server_gets_only_trials(how: api.Status) -> None:
    """Guards against attempts wasted on a server that fails at once and so looks fast and idle."""
    d = Driver(settings(**ASIDE))
    d.list(*fleet("a", "b"))
    d.router.gossip.next_at = math.inf  # no plan, or so hot a key would be spread
    first, second = walk_order(d, "k")
    for n in range(policy.MAX_FAILURES):
        assert d.request(f"r{n}", key="k") == first
        d.end(f"r{n}", how)
        d.ok(f"r{n}")
    assert d.request("passed", key="k", finish=True) == second
    d.now += 1.1
    assert d.request("trial", key="k") == first
    d.end("trial", how)
    d.ok("trial")
    assert d.request("again", key="k", finish=True) == second
    d.now += 1.1
    assert [d.request(f"well{n}", key="k", finish=True) for n in range(5)] == [first] * 5


def test_a_busy_server_does_not_count_as_failing() -> None:
    d = Driver(settings())
    d.list(*fleet("a", "b"))
    d.router.gossip.next_at = math.inf  # no plan, or so hot a key would be spread
    first, _ = walk_order(d, "k")
    for n in range(2 * policy.MAX_FAILURES):
        assert d.request(f"r{n}", key="k") == first
        d.end(f"r{n}", api.Status.BUSY)
        d.ok(f"r{n}")


def two_zones(count: int = 8) -> tuple[api.ServerEntry, ...]:
    return tuple(entry(f"{z}{n}", zone=z) for z in ("here", "there") for n in range(count))


def zone_name(server: str | None) -> str:
    return str(server).rstrip("0123456789")


def first_zones(d: Driver, how: str, count: int) -> list[str]:
    """Return the zones of first attempts while one zone does not answer."""
    zones = []
    for n in range(count):
        d.now += 0.05
        first = d.request(f"{how}{n}", key=f"k{how}{n}")
        while f"{how}{n}" in d.open and (name := d.sends[f"{how}{n}"][-1]):
            if zone_name(name) == "there":
                d.end(f"{how}{n}", api.Status.CONNECT_FAILED)
            else:
                d.ok(f"{how}{n}")
        zones.append(zone_name(first))
    return zones


def test_a_zone_without_any_answer_is_passed_as_a_whole() -> None:
    """Guards against detection per server: each router lost three requests to each, then one a second."""
    d = Driver(settings())
    d.list(*two_zones(), entry("there8", zone="there"))
    lost = first_zones(d, "a", 200).count("there")
    assert 3 <= lost <= 3 + 200 * 0.05 + 1  # three failures, then one trial a second
    d.now += 1.0
    for n in range(40):  # recovered: one answer is enough
        d.now += 0.05
        d.request(f"b{n}", key=f"kb{n}", finish=True)
    after = [zone_name(d.request(f"c{n}", key=f"kc{n}", finish=True)) for n in range(200)]
    assert after.count("there") > 60


def test_one_dead_server_does_not_take_its_zone_down() -> None:
    d = Driver(settings())
    d.list(*two_zones())
    before = [d.request(f"b{n}", key=f"k{n}", finish=True) for n in range(400)]
    zones = 0
    for n in range(200):
        d.now += 0.05
        name = d.request(f"d{n}", key=f"k{n}")
        if name == "there3":
            d.end(f"d{n}", api.Status.CONNECT_FAILED)
        if f"d{n}" in d.open:
            d.ok(f"d{n}")
        zones += zone_name(name) == "there"
    assert zones > 0.8 * sum(zone_name(s) == "there" for s in before[:200])


def test_requests_stuck_in_a_silent_zone_get_a_second_copy_elsewhere() -> None:
    """On a kept connection to an unreachable zone a request got no answer and no copy until its deadline."""
    d = Driver(settings())
    d.list(*two_zones())
    keys = [f"k{n}" for n in range(400) if zone_name(d.request(f"w{n}", key=f"k{n}", finish=True)) == "there"]
    d.now += 1.0
    for n, key in enumerate(keys[:6]):
        d.request(f"h{n}", key=key)
    d.wait(0.9)
    again = [n for n in range(6) if zone_name(d.sends[f"h{n}"][-1]) == "here"]
    assert len(again) >= 3


def test_the_only_zone_is_never_passed() -> None:
    d = Driver(settings())
    d.list(*(entry(f"there{n}", zone="there") for n in range(8)))
    for n in range(3):
        d.request(f"r{n}", key=f"k{n}")
        while f"r{n}" in d.open:
            d.end(f"r{n}", api.Status.CONNECT_FAILED)
    assert d.request("last", key="another") is not None


def test_requests_of_unknown_class_are_not_counted_as_demand() -> None:
    """They are never sent: counted, they would displace keys that are, and be gossiped to all peers."""
    d = Driver(settings(may_gossip=True, siblings=4))
    d.list(*fleet("a", "b"))
    for i in range(1000):
        d.now += 0.01
        request = api.Request(f"x{i}", "unheard-of", 1.0, key="flood")
        assert d.router.handle(d.now, request) == [api.Refuse(request.id)]
    assert not d.router.pending_requests and d.router.accepted == 0
    assert not d.router.demand.history.counts and not d.router.demand.unsent
