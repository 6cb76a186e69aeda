"""Measures the costs of one instance of the decision module at an experiment's size.

It runs in one process on a simulated clock, without sockets. Processor time is taken around `Router.handle`
alone, of an instance that shares nothing with others. The rate of peer messages in a fleet of that size comes
from a simulation of a part of the fleet.
"""

from __future__ import annotations

import gc
import random
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from types import FunctionType, ModuleType
from typing import Any

from brackenwalk import interface as api
from brackenwalk.net.discovery import WATCH_WAIT_S, read_list
from brackenwalk.policy import Router
from brackenwalk.settings import read_settings
from fleetlab.experiment import Experiment
from fleetlab.model import FleetModel, event_kind, shared_virtual_nodes, zipf_weights
from fleetlab.plan import Addresses, Plan, initial_server_list, router_settings
from fleetlab.results import Metric, Role

MAX_SIMULATED_ROUTERS = 30  # in a larger fleet each stands for several
WARM_UP_S = 2  # before counting begins: by then the record of requested keys has filled
# length of each measurement; steady is longer, as routers of a large fleet rarely send then
STEADY_S, STORM_S, TIMED_S = 12, 6, 5
FIRST_LISTS = 3  # each to a new instance
CHANGED_SERVERS = 8  # that drain, end, and are replaced
CONTROL_KINDS = ("change", "call", "peer", "timer", "tell")  # full lists count as well, but are rare
ORIGIN = "s-origin"


def next_peer_update(router: Router) -> float:
    """Return the time from which a router's next request redistributes demand and sends to peers."""
    # earlier versions of the module name these attributes `telling` and `tell_at`; in the earliest ones
    # `tell_at` is an attribute of the router itself
    holder: Any = getattr(router, "peer_updates", None) or getattr(router, "telling", router)
    return float(holder.next_at if hasattr(holder, "next_at") else holder.tell_at)


class TimedRouter(Router):
    """A router that records the processor time of each event in seconds, by kind.

    Kind `tell` is a request at which the router also redistributes demand and may send to peers. The time is
    the thread's own, as wall-clock time on a busy machine includes other processes; reading it takes about
    1 us.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.spent: defaultdict[str, list[float]] = defaultdict(list)
        self.resumed_kind = "other"  # of the event whose work is done in steps

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle an event as `Router` does; record its time, that of steps with the event they belong to."""
        due = next_peer_update(self)
        began = time.thread_time_ns()
        actions = super().handle(now, event)
        spent = (time.thread_time_ns() - began) / 1e9
        if isinstance(event, api.Resume):
            self.spent[self.resumed_kind][-1:] = [sum(self.spent[self.resumed_kind][-1:]) + spent]
            return actions
        kind = event_kind(event) if next_peer_update(self) == due else "tell"
        self.spent[kind].append(spent)
        if any(isinstance(action, api.ResumeLater) for action in actions):
            self.resumed_kind = kind
        return actions

    def handle_wholly(self, now: float, event: api.Event) -> None:
        """Handle an event and all steps that it leads to."""
        due: list[api.Event] = [event]
        while due:
            actions = self.handle(now, due.pop())
            due = [api.Resume() for action in actions if isinstance(action, api.ResumeLater)]


class TimedFleetModel(FleetModel):
    """A fleet model of timed routers."""

    def make_router(self, number: int) -> Router:
        """Create a timed router."""
        return TimedRouter(
            replace(self.settings, sibling_index=number), self.random.getrandbits(64), self.now
        )


def settings_and_servers(experiment: Experiment) -> tuple[api.Settings, list[api.ServerEntry]]:
    """Return a router's settings and first server list, parsed as a real router parses them."""
    plan = Plan("hollow", experiment, Addresses(1, 1024), 0)
    members = read_list(initial_server_list(plan))[2]
    return read_settings(router_settings(experiment, 0)), [m.entry for m in members]


def random_statuses(experiment: Experiment, seed: int) -> Callable[[str], api.Status]:
    """Return a function that draws the outcome of an attempt: hits and misses by the experiment's shares."""
    rng = random.Random(seed)
    hits = experiment.requests.hits

    def draw_status(server: str) -> api.Status:
        return api.Status.OK if server == ORIGIN or rng.random() < hits else api.Status.MISS

    return draw_status


def configure_model(fleet: FleetModel, experiment: Experiment, seed: int) -> list[float]:
    """Set a model's clients and servers to the experiment's values, and return the weights of the keys."""
    fleet.answer_status = random_statuses(experiment, seed)
    fleet.latency = experiment.requests.latency_ms / 1000
    fleet.write_share = experiment.requests.writes
    fleet.router_weights = [1.0] * len(fleet.routers)
    return zipf_weights(experiment.requests.keys, experiment.requests.zipf)


def state_size(router: Router) -> int:
    """Return the bytes of all objects reachable from a router, without classes, functions and modules."""
    seen: set[int] = set()
    todo: list[Any] = [router]
    size = 0
    while todo:
        item = todo.pop()
        if id(item) in seen or isinstance(item, (type, FunctionType, ModuleType)):
            continue
        seen.add(id(item))
        size += sys.getsizeof(item)
        todo += gc.get_referents(item)
    return size


def simulate_peer_traffic(
    experiment: Experiment, seed: int
) -> tuple[list[tuple[float, float]], list[tuple[float, float]], dict[str, list[bytes]]]:
    """Simulate a part of the fleet at the full rate: steady, then after the loss of a zone (the storm).

    Returns the peer messages and bytes that a router receives in each steady second and in each second of the
    storm, and the contents of the messages of both. Virtual nodes are cached, as no time is measured here.
    """
    settings, entries = settings_and_servers(experiment)
    size, zones = experiment.fleet.real + experiment.fleet.hollow, experiment.fleet.zones
    count = min(MAX_SIMULATED_ROUTERS, size)
    with shared_virtual_nodes():
        fleet = FleetModel(settings, count, entries, seed, siblings=size, run_timers=True)
    weights = configure_model(fleet, experiment, seed)
    rate = count * experiment.requests.full_rate
    fleet.run(WARM_UP_S, rate, weights)
    fleet.messages.clear()
    begin = int(fleet.now)
    fleet.run(STEADY_S, rate, weights)
    steady = fleet.fleet_traffic(range(begin, begin + STEADY_S))
    contents = {"steady": list(fleet.messages)}
    fleet.messages.clear()
    begin = int(fleet.now)
    if zones > 1:
        fleet.fail(e.server for e in entries if e.zone == "zone-1" and e.server != ORIGIN)
    fleet.run(STORM_S, rate, weights)
    remaining = 1 - len(range(1, size, zones)) / size  # the lost zone's routers send nothing
    storm = [(m * remaining, b * remaining) for m, b in fleet.fleet_traffic(range(begin, begin + STORM_S))]
    return steady, storm, contents | {"storm": list(fleet.messages)}


def time_lists_and_changes(
    settings: api.Settings, entries: list[api.ServerEntry], seed: int
) -> dict[str, list[float]]:
    """Time first lists, the same list again, a watch without changes, and changes of one server (seconds)."""
    spent: defaultdict[str, list[float]] = defaultdict(list)
    full_list = tuple(entries)
    for i in range(FIRST_LISTS):
        router = TimedRouter(settings, seed + i, 100.0)
        router.handle_wholly(100.0, api.ServerList(api.ListKind.SAVED, full_list))
        spent["list"] += router.spent["list"]
    router.spent.clear()
    for _ in range(FIRST_LISTS):
        router.handle(100.0, api.ServerList(api.ListKind.FULL, full_list))
        router.handle(100.0, api.ServerList(api.ListKind.DELTA))
    spent["list.again"], spent["call"] = list(router.spent["list"]), list(router.spent["call"])
    caches = [e for e in entries if e.server != ORIGIN]
    now = 100.0
    for entry in caches[:: max(1, len(caches) // CHANGED_SERVERS)][:CHANGED_SERVERS]:
        now += 1.0
        replacement = replace(entry, server=entry.server + "n", started_at=now)
        for changed in (
            replace(entry, state=api.ServerState.DRAINING),
            replace(entry, state=api.ServerState.GONE),
            replacement,
            replace(replacement, weight=entry.weight * 0.9),
        ):
            change_kind = "weight" if changed.weight != entry.weight else changed.state.value
            router.spent.clear()
            router.handle_wholly(now, api.ServerList(api.ListKind.DELTA, (changed,)))
            spent["change." + change_kind] += router.spent["change"]
            spent["change"] += router.spent["change"]
    return dict(spent)


def time_full_load(
    settings: api.Settings,
    entries: list[api.ServerEntry],
    experiment: Experiment,
    *,
    seed: int,
    contents: list[bytes],
    rate: float,
) -> tuple[dict[str, list[float]], Router, int]:
    """Time one instance at the full rate that receives `rate` peer messages per second, out of `contents`.

    Returns the seconds of each event by kind, the instance, and how many peer messages it sent.
    """
    size = settings.siblings
    fleet = TimedFleetModel(settings, 1, entries, seed, siblings=size, run_timers=True)
    weights = configure_model(fleet, experiment, seed)
    until, rng, at = WARM_UP_S + TIMED_S, random.Random(seed), 0.0
    while contents and rate > 0 and (at := at + rng.expovariate(rate)) < until:
        fleet.schedule(at, 0, api.PeerMessage(rng.choice(contents)))
    router = fleet.routers[0]
    assert isinstance(router, TimedRouter)
    fleet.run(WARM_UP_S, experiment.requests.full_rate, weights)
    router.spent.clear()
    fleet.messages.clear()
    fleet.run(TIMED_S, experiment.requests.full_rate, weights)
    return dict(router.spent), router, len(fleet.messages)


def changes_per_second(experiment: Experiment) -> float:
    """Return the rate of changes of single servers by the experiment's faults, averaged over the schedule.

    A replaced server makes four: it drains, it is gone, its replacement is listed, and has started.
    """
    changes_each = {"servers_change": 4, "servers_lost": 2, "changes": 1}
    return sum(changes_each.get(f.kind, 0) * f.count for f in experiment.faults) / experiment.seconds


def mean_and_range(samples: list[float], unit: str, scale: float = 1.0) -> Metric:
    """Return the mean of scaled samples and their range."""
    scaled = [s * scale for s in samples]
    if not scaled:
        return Metric(0.0, unit)
    return Metric(sum(scaled) / len(scaled), unit, min(scaled), max(scaled), len(scaled))


def measure(experiment: Experiment, seed: int) -> dict[str, Role]:
    """Measure one instance at the experiment's size, as the role `module`.

    `cpu.us.tell` is the whole cost of a request at which demand is redistributed; `rate.told` is the rate of
    peer messages sent. The prefix `storm.` stands for the loss of a zone: the second of it in which most peer
    messages arrive.
    """
    settings, entries = settings_and_servers(experiment)
    settings = replace(settings, sibling_index=0)
    steady, storm, contents = simulate_peer_traffic(experiment, seed)
    peer_rate = sum(m for m, _ in steady) / len(steady)
    spent: dict[str, list[float]] = time_lists_and_changes(settings, entries, seed)
    loaded, router, sent = time_full_load(
        settings, entries, experiment, seed=seed, contents=contents["steady"], rate=peer_rate
    )
    spent |= loaded
    metrics = {
        f"cpu.us.{kind}": mean_and_range(samples, "us", 1e6) for kind, samples in sorted(spent.items())
    }
    rates = {kind: len(loaded.get(kind, ())) / TIMED_S for kind in ("request", "outcome", "timer", "tell")}
    # a watch without changes is answered when its wait is over
    rates |= {"peer": peer_rate, "change": changes_per_second(experiment), "call": 1 / WATCH_WAIT_S}
    peak = max(m for m, _ in storm)
    metrics |= {f"rate.{kind}": Metric(rate, "1/s") for kind, rate in rates.items()}
    metrics["rate.told"] = Metric(sent / TIMED_S, "1/s")
    metrics["rate.peer"] = mean_and_range([m for m, _ in steady], "1/s")
    metrics["bytes.in.peers"] = mean_and_range([b for _, b in steady], "B/s")
    metrics["storm.rate.peer"] = Metric(peak, "1/s")
    metrics["storm.bytes.in.peers"] = Metric(max(b for _, b in storm), "B/s")
    cost = {
        kind: metrics[f"cpu.us.{kind}"].value if f"cpu.us.{kind}" in metrics else 0.0
        for kind in CONTROL_KINDS
    }
    request_cost = metrics["cpu.us.request"].value
    cost["tell"] = max(0.0, cost["tell"] - request_cost)  # beyond the cost of a plain request
    control = sum(rates[kind] * cost[kind] for kind in CONTROL_KINDS) / 1e6
    in_storm, *_ = time_full_load(
        settings, entries, experiment, seed=seed, contents=contents["storm"], rate=peak
    )
    metrics["storm.cpu.us.peer"] = mean_and_range(in_storm.get("peer", []), "us", 1e6)
    metrics["cpu.control"] = Metric(control, "core")
    extra = peak * metrics["storm.cpu.us.peer"].value - peer_rate * cost["peer"]
    metrics["storm.cpu.control"] = Metric(control + extra / 1e6, "core")
    metrics["cpu.share"] = Metric(sum(sum(v) for v in loaded.values()) / TIMED_S, "core")
    metrics["state.mb"] = Metric(state_size(router) / 2**20, "MB")
    seconds = {"storm.rate.peer": [m for m, _ in storm], "storm.bytes.in.peers": [b for _, b in storm]}
    return {"module": Role(1, metrics, seconds)}
