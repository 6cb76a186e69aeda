"""The schedule of an experiment's faults: which servers and routers each one affects, how and when.

Every process derives the same schedule from the same plan and seed, so discovery, the cache servers, the
hollow routers and the network agree without exchanging messages. Times are seconds from the start of the
schedule.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Literal

from fleetlab.experiment import Fault
from fleetlab.plan import Plan, server_entry, server_name

LOSS_DETECTION_S = 1.0  # until discovery notices that a server is gone
PROPAGATION_S = 6.0  # by then every router is expected to have a published change (PROTOCOL, Figures)
RESTART_S = 3.7  # longest drain: from SIGTERM until a router has answered its requests (PROTOCOL, Figures)
UTILIZATION_SHARE = 0.5  # share of the cache servers' total capacity in use while all of them are warm


@dataclass(frozen=True, slots=True)
class ListChange:
    """One version of the server list: when discovery publishes it, and the changed entries as listed."""

    at: float
    entries: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Uptime:
    """A period during which a server runs; a server that was up before the schedule began is warm."""

    start: float = -math.inf
    end: float = math.inf


@dataclass(slots=True)
class ServerTimeline:
    """When the server with this number is up, hangs and drains."""

    number: int
    uptimes: list[Uptime] = field(default_factory=lambda: [Uptime()])
    hangs: list[tuple[float, float]] = field(default_factory=list)
    drain_start: float = math.inf  # when it becomes terminating

    def uptime_at(self, at: float) -> Uptime | None:
        """Return the uptime that covers a time; None while the server is down."""
        return next((u for u in self.uptimes if u.start <= at < u.end), None)

    def is_up(self, at: float) -> bool:
        """Return whether the server process exists at a time, hanging or not."""
        return self.uptime_at(at) is not None

    def is_hanging(self, at: float) -> bool:
        """Return whether at a time the server accepts connections and bytes but does not respond."""
        return any(start <= at < end for start, end in self.hangs)

    def start_time(self, at: float) -> float | None:
        """Return when the uptime at a time began; None while down, or if that was before the schedule."""
        uptime = self.uptime_at(at)
        return None if uptime is None or uptime.start == -math.inf else uptime.start


@dataclass(frozen=True, slots=True)
class RouterOutage:
    """A period without a router.

    For a restart, `end` is the latest expected return (`RESTART_S`); the router may be back earlier.
    """

    router: int
    kind: Literal["restart", "lost"]
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Partition:
    """A period during which zone `zone` and all other zones cannot reach each other."""

    zone: int
    start: float
    end: float


@dataclass(slots=True)
class _ListUpdate:
    """A change of one server's entry, at the time of its cause."""

    at: float
    number: int
    status: str
    weight: float
    started_at: float | None


class _ServerFaults:
    """Applies the faults to the servers in chronological order."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        count = plan.experiment.fleet.servers
        self.timelines = {n: ServerTimeline(n) for n in range(count)}
        self.available_from = dict.fromkeys(range(count), 0.0)  # when another fault may select the server
        self.weights = dict.fromkeys(range(count), 1.0)
        self.updates: list[_ListUpdate] = []
        events = [e for i, fault in enumerate(plan.experiment.faults) for e in _fault_times(plan, i, fault)]
        for at, fault, rng in sorted(events, key=lambda e: e[0]):
            self.apply(at, fault, rng)
        self.updates.sort(key=lambda update: update.at)

    def apply(self, at: float, fault: Fault, rng: Random) -> None:
        pool = [n for n, available in self.available_from.items() if available <= at]
        if fault.kind == "servers_change":
            for number in _sample(rng, pool, 1):
                self.replace(at, number)
        elif fault.kind == "changes":
            for number in _sample(rng, pool, 1):
                # close to 1, because the stand-ins' capacities do not follow their weights
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
        timeline, back_at = self.timelines[number], at + lasts
        started_at = timeline.start_time(at)
        timeline.uptimes[-1:] = [Uptime(timeline.uptimes[-1].start, at), Uptime(back_at)]
        self.available_from[number] = back_at
        if lasts > LOSS_DETECTION_S:
            self.add_update(at + LOSS_DETECTION_S, number, "terminated", started_at)
        self.add_update(back_at, number, "in_service", back_at)

    def replace(self, at: float, number: int) -> None:
        """Start a new server and drain the old one.

        The old one stops after the propagation time and the drain grace, when no router that follows the
        protocol can still be sending to it.
        """
        experiment, zones = self.plan.experiment, self.plan.experiment.fleet.zones
        new = number + zones
        while new < experiment.fleet.servers or new in self.timelines:  # an unused number in the same zone
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
    """Return the times at which a fault acts; its random numbers do not depend on the other faults."""
    rng = Random(f"{plan.seed} {index} {fault.kind}")
    repeats = fault.kind in ("servers_change", "changes", "restart")  # `count` times, evenly over `lasts`
    repetitions = fault.count if repeats else 1
    return [(fault.at + fault.lasts * i / repetitions, fault, rng) for i in range(repetitions)]


def _sample(rng: Random, pool: list[int], count: int) -> list[int]:
    return rng.sample(sorted(pool), min(count, len(pool)))


def server_timelines(plan: Plan) -> dict[int, ServerTimeline]:
    """Return the timeline of every server number that is ever used; one that starts later starts cold."""
    return _ServerFaults(plan).timelines


def lag_at(plan: Plan, at: float) -> float:
    """Return the delay in seconds with which discovery publishes a change that happens at this time."""
    active = [f for f in plan.experiment.faults if f.kind == "lists_late" and f.at <= at < f.at + f.lasts]
    return plan.experiment.discovery.lag + sum(f.count for f in active)


def list_changes(plan: Plan) -> list[ListChange]:
    """Return the versions of the list after the first one, in order, beginning with version 2.

    `plan.schedule_start` must be the Unix time at which the schedule begins, because `since_ms` is Unix time.
    Changes are published in the order in which they happen, even if the lag shrinks in between.
    """
    versions: list[tuple[float, dict[str, dict[str, Any]]]] = []
    last = -math.inf
    for update in _ServerFaults(plan).updates:
        at = max(last, update.at + lag_at(plan, update.at))
        since = 0 if update.started_at is None else int((plan.schedule_start + update.started_at) * 1000)
        entry = server_entry(plan, update.number, since, update.status, update.weight)
        if at > last:
            versions.append((at, {}))
            last = at
        versions[-1][1][server_name(update.number)] = entry
    return [ListChange(at, tuple(entries.values())) for at, entries in versions]


def router_outages(plan: Plan) -> list[RouterOutage]:
    """Return the outages of all routers, real and hollow, ordered by their start."""
    available_from = dict.fromkeys(range(plan.router_count()), 0.0)
    outages: list[RouterOutage] = []
    events = [e for i, fault in enumerate(plan.experiment.faults) for e in _fault_times(plan, i, fault)]
    for at, fault, rng in sorted(events, key=lambda e: e[0]):
        pool = [n for n, back_at in available_from.items() if back_at <= at]
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
            available_from[number] = end
            outages.append(RouterOutage(number, "restart" if fault.kind == "restart" else "lost", at, end))
    return outages


def partitions(plan: Plan) -> list[Partition]:
    """Return the network partitions of the schedule."""
    return [Partition(f.zone, f.at, f.at + f.lasts) for f in plan.experiment.faults if f.kind == "region_cut"]


def is_partitioned(zone_partitions: list[Partition], one: int, other: int, at: float) -> bool:
    """Return whether two zones cannot reach each other at a time."""
    return any(p.start <= at < p.end and (one == p.zone) != (other == p.zone) for p in zone_partitions)


def discovery_downtimes(plan: Plan) -> list[tuple[float, float]]:
    """Return the periods during which discovery is down, each with its start and end."""
    return [(f.at, f.at + f.lasts) for f in plan.experiment.faults if f.kind == "discovery_down"]


def loss_share_at(plan: Plan, at: float) -> float:
    """Return the share of datagrams that the network loses at a time."""
    delivered = 1 - plan.experiment.network.loss
    for fault in plan.experiment.faults:
        if fault.kind == "network" and fault.at <= at < fault.at + fault.lasts:
            delivered *= 1 - fault.loss
    return 1 - delivered


def warm_capacity(plan: Plan, real_only: bool = False) -> float:
    """Return the requests per second that a warm server can take.

    All servers together have the capacity for the routers' request rate at `UTILIZATION_SHARE`. With
    `real_only` the rate is that of the real routers, else the hollow ones' is included.
    """
    fleet, requests = plan.experiment.fleet, plan.experiment.requests
    rate = fleet.real * requests.rate
    if not real_only:
        full = min(fleet.full, fleet.hollow)
        rate += full * requests.full_rate + (fleet.hollow - full) * requests.hollow_rate
    return rate / fleet.servers / UTILIZATION_SHARE


def warm_up_share(plan: Plan, started_at: float | None, at: float) -> float:
    """Return the share of its warm capacity that a server has: from `cold_share` to 1 over `ramp` seconds."""
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
    "warm_up_share",
]
