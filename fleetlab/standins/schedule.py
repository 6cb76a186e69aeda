"""What the experiment's faults do and when, derived from the plan alone.

All parties derive the same from the same plan (and seed), so that discovery, cache servers, the hollow
routers' model and the network agree without talking. Times are seconds from the start of the schedule.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Literal

from fleetlab.experiment import Fault
from fleetlab.plan import Plan, entry_of, server_name

LOSS_DETECTION_S = 1.0  # seconds until discovery has noticed that a server is gone
PROPAGATION_S = 6.0  # whatever discovery has to tell counts as told by then (PROTOCOL, Figures)
RESTART_S = 3.7  # at most, from SIGTERM to the end of what a router had taken (PROTOCOL, Figures)
UTILIZATION_SHARE = 0.5  # of all capacity, while all servers are warm


@dataclass(frozen=True, slots=True)
class ListChange:
    """A version of the list: when discovery has it, and the entries that changed, in discovery's form."""

    at: float
    entries: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Uptime:
    """A server's life from one start to its end; one from before the schedule is warm."""

    start: float = -math.inf
    end: float = math.inf


@dataclass(slots=True)
class ServerTimeline:
    """What becomes of one server number."""

    number: int
    uptimes: list[Uptime] = field(default_factory=lambda: [Uptime()])
    hangs: list[tuple[float, float]] = field(default_factory=list)
    drain_start: float = math.inf  # when it is first listed as terminating

    def uptime_at(self, at: float) -> Uptime | None:
        """The run that it is in; None while it is down."""
        return next((r for r in self.uptimes if r.start <= at < r.end), None)

    def is_up(self, at: float) -> bool:
        return self.uptime_at(at) is not None

    def is_hanging(self, at: float) -> bool:
        return any(start <= at < end for start, end in self.hangs)

    def start_time(self, at: float) -> float | None:
        """When the run that it is in began; None where it is down or began before the schedule."""
        run = self.uptime_at(at)
        return None if run is None or run.start == -math.inf else run.start


@dataclass(frozen=True, slots=True)
class RouterOutage:
    """A router is gone; one that restarts has RESTART seconds to be back, and is back when it is."""

    router: int
    kind: Literal["restart", "lost"]
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Partition:
    """Zone `zone` and the others do not reach one another."""

    zone: int
    start: float
    end: float


@dataclass(slots=True)
class _ListUpdate:
    """Something that discovery will list."""

    at: float
    number: int
    status: str
    weight: float
    started_at: float | None


class _ServerFaults:
    """Plays the faults on the servers, in order of time."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        count = plan.experiment.fleet.servers
        self.timelines = {n: ServerTimeline(n) for n in range(count)}
        self.available_from = dict.fromkeys(range(count), 0.0)  # from when on another fault may meet it
        self.weights = dict.fromkeys(range(count), 1.0)
        self.updates: list[_ListUpdate] = []
        events = [
            event for f, fault in enumerate(plan.experiment.faults) for event in _fault_times(plan, f, fault)
        ]
        for at, fault, rng in sorted(events, key=lambda event: event[0]):
            self.apply(at, fault, rng)
        self.updates.sort(key=lambda n: n.at)

    def apply(self, at: float, fault: Fault, rng: Random) -> None:
        pool = [n for n, available in self.available_from.items() if available <= at]
        if fault.kind == "servers_change":
            for number in _sample(rng, pool, 1):
                self.replace(at, number)
        elif fault.kind == "changes":
            for number in _sample(rng, pool, 1):
                # near 1, as capacities stay what they were
                weights = [w for w in (0.9, 0.95, 1.0, 1.05, 1.1) if w != self.weights[number]]
                self.weights[number] = rng.choice(weights)
                self.add_update(at, number, "in_service", self.timelines[number].start_time(at))
        elif fault.kind == "servers_hang":
            for number in _sample(rng, pool, fault.count):
                self.timelines[number].hangs.append((at, at + fault.lasts))
                self.available_from[number] = at + fault.lasts
        elif fault.kind == "servers_lost":
            for number in _sample(rng, pool, fault.count):
                self.take_down(at, number, fault.lasts)
        elif fault.kind == "zone_lost":
            zones = self.plan.experiment.fleet.zones
            for number in [n for n in pool if n % zones == fault.zone]:
                self.take_down(at, number, fault.lasts)

    def add_update(self, at: float, number: int, status: str, started_at: float | None) -> None:
        self.updates.append(_ListUpdate(at, number, status, self.weights[number], started_at))

    def take_down(self, at: float, number: int, lasts: float) -> None:
        timeline, back = self.timelines[number], at + lasts
        started_at = timeline.start_time(at)
        timeline.uptimes[-1:] = [Uptime(timeline.uptimes[-1].start, at), Uptime(back)]
        self.available_from[number] = back
        if lasts > LOSS_DETECTION_S:
            self.add_update(at + LOSS_DETECTION_S, number, "terminated", started_at)
        self.add_update(back, number, "in_service", back)

    def replace(self, at: float, number: int) -> None:
        """The old one drains and ends when nobody can have sent it anything in good faith any more."""
        experiment, zones = self.plan.experiment, self.plan.experiment.fleet.zones
        new = number + zones
        while new < experiment.fleet.servers or new in self.timelines:  # of the same zone, and never used
            new += zones
        old, started_at = self.timelines[number], self.timelines[number].start_time(at)
        end = at + PROPAGATION_S + experiment.drain_grace
        old.drain_start = at
        old.uptimes[-1] = Uptime(old.uptimes[-1].start, end)
        self.available_from[number] = math.inf
        self.timelines[new] = ServerTimeline(new, [Uptime(at)])
        self.available_from[new] = at
        self.weights[new] = self.weights[number]
        self.add_update(at, number, "terminating", started_at)
        self.add_update(at, new, "in_service", at)
        self.add_update(end, number, "terminated", started_at)


def _fault_times(plan: Plan, index: int, fault: Fault) -> Iterable[tuple[float, Fault, Random]]:
    """The moments of one fault; its random numbers don't depend on the other faults."""
    rng = Random(f"{plan.seed} {index} {fault.kind}")
    is_spread = fault.kind in ("servers_change", "changes", "restart")
    times = fault.count if is_spread else 1
    return [(fault.at + fault.lasts * i / times, fault, rng) for i in range(times)]


def _sample(rng: Random, pool: list[int], count: int) -> list[int]:
    return rng.sample(sorted(pool), min(count, len(pool)))


def server_timelines(plan: Plan) -> dict[int, ServerTimeline]:
    """For each server number that is ever used: when it is up, drains, hangs, and started (cold)."""
    return _ServerFaults(plan).timelines


def lag_at(plan: Plan, at: float) -> float:
    """Seconds until discovery has what happens at this time."""
    late = [f for f in plan.experiment.faults if f.kind == "lists_late" and f.at <= at < f.at + f.lasts]
    return plan.experiment.discovery.lag + sum(f.count for f in late)


def list_changes(plan: Plan) -> list[ListChange]:
    """The versions of the list after the first, in order; the first of them is version 2.

    `plan.began` must be the Unix time at which the schedule begins, as `since_ms` is told on that clock.
    What happens first is listed first, also when the lag has shrunk meanwhile.
    """
    versions: list[tuple[float, dict[str, dict[str, Any]]]] = []
    last = -math.inf
    for update in _ServerFaults(plan).updates:
        at = max(last, update.at + lag_at(plan, update.at))
        since = 0 if update.start_time is None else int((plan.began + update.start_time) * 1000)
        entry = entry_of(plan, update.number, since, update.status, update.weight)
        if at > last:
            versions.append((at, {}))
            last = at
        versions[-1][1][server_name(update.number)] = entry
    return [ListChange(at, tuple(entries.values())) for at, entries in versions]


def router_outages(plan: Plan) -> list[RouterOutage]:
    """Which routers, real and hollow alike, are gone, and when; in order of time."""
    available = dict.fromkeys(range(plan.routers()), 0.0)
    outages: list[RouterOutage] = []
    events = [
        event for f, fault in enumerate(plan.experiment.faults) for event in _fault_times(plan, f, fault)
    ]
    for at, fault, rng in sorted(events, key=lambda event: event[0]):
        pool = [n for n, back in available.items() if back <= at]
        if fault.kind == "restart":
            chosen, end = _sample(rng, pool, 1), at + RESTART_S
        elif fault.kind == "router_lost":
            chosen, end = _sample(rng, pool, fault.count), at + fault.lasts
        elif fault.kind == "zone_lost":
            zones = plan.experiment.fleet.zones
            chosen, end = [n for n in pool if n % zones == fault.zone], at + fault.lasts
        else:
            continue
        for number in chosen:
            available[number] = end
            outages.append(RouterOutage(number, "restart" if fault.kind == "restart" else "lost", at, end))
    return outages


def partitions(plan: Plan) -> list[Partition]:
    """When zones are cut off."""
    return [Partition(f.zone, f.at, f.at + f.lasts) for f in plan.experiment.faults if f.kind == "region_cut"]


def is_partitioned(zone_partitions: list[Partition], one: int, other: int, at: float) -> bool:
    """Whether two zones do not reach one another at a time."""
    return any(c.start <= at < c.end and (one == c.zone) != (other == c.zone) for c in zone_partitions)


def discovery_downtimes(plan: Plan) -> list[tuple[float, float]]:
    """When discovery is down."""
    return [(f.at, f.at + f.lasts) for f in plan.experiment.faults if f.kind == "discovery_down"]


def loss_share_at(plan: Plan, at: float) -> float:
    """Share of the datagrams that is lost at a time."""
    kept = 1 - plan.experiment.network.loss
    for fault in plan.experiment.faults:
        if fault.kind == "network" and fault.at <= at < fault.at + fault.lasts:
            kept *= 1 - fault.loss
    return 1 - kept


def warm_capacity(plan: Plan, real_only: bool = False) -> float:
    """Requests a second that a warm server can take: what all routers are asked, over servers and USE."""
    fleet, requests = plan.experiment.fleet, plan.experiment.requests
    rate = fleet.real * requests.rate
    if not real_only:
        full = min(fleet.full, fleet.hollow)
        rate += full * requests.full_rate + (fleet.hollow - full) * requests.hollow_rate
    return rate / fleet.servers / UTILIZATION_SHARE


def warmup_share(plan: Plan, started_at: float | None, at: float) -> float:
    """The share of its warm capacity that a server has: from `cold_share` to 1 over `ramp`."""
    if started_at is None:
        return 1.0
    cold = plan.experiment.cold_share
    return min(1.0, cold + (1 - cold) * max(0.0, at - started_at) / max(plan.experiment.ramp, 1e-9))


__all__ = [
    "RouterOutage",
    "ListChange",
    "Partition",
    "ServerTimeline",
    "Uptime",
    "is_partitioned",
    "partitions",
    "discovery_downtimes",
    "lag_at",
    "list_changes",
    "loss_share_at",
    "router_outages",
    "server_timelines",
    "warm_capacity",
    "warmup_share",
]
