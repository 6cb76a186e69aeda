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
from fleetlab.plan import Plan, server_entry, server_name

LISTED_LOST = 1.0  # seconds until discovery has noticed that a server is gone
TOLD = 6.0  # whatever discovery has to tell counts as told by then (PROTOCOL, Figures)
RESTART = 3.7  # at most, from SIGTERM to the end of what a router had taken (PROTOCOL, Figures)
USE = 0.5  # of all capacity, while all servers are warm


@dataclass(frozen=True, slots=True)
class Change:
    """A version of the list: when discovery has it, and the entries that changed, in discovery's form."""

    at: float
    entries: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Run:
    """A server's life from one start to its end; one from before the schedule is warm."""

    start: float = -math.inf
    end: float = math.inf


@dataclass(slots=True)
class Life:
    """What becomes of one server number."""

    number: int
    runs: list[Run] = field(default_factory=lambda: [Run()])
    hangs: list[tuple[float, float]] = field(default_factory=list)
    drains: float = math.inf  # when it is first listed as terminating

    def run_at(self, at: float) -> Run | None:
        """The run that it is in; None while it is down."""
        return next((r for r in self.runs if r.start <= at < r.end), None)

    def up(self, at: float) -> bool:
        return self.run_at(at) is not None

    def hanging(self, at: float) -> bool:
        return any(start <= at < end for start, end in self.hangs)

    def started(self, at: float) -> float | None:
        """When the run that it is in began; None where it is down or began before the schedule."""
        run = self.run_at(at)
        return None if run is None or run.start == -math.inf else run.start


@dataclass(frozen=True, slots=True)
class Absence:
    """A router is gone; one that restarts has RESTART seconds to be back, and is back when it is."""

    router: int
    kind: Literal["restart", "lost"]
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Cut:
    """Zone `zone` and the others do not reach one another."""

    zone: int
    start: float
    end: float


@dataclass(slots=True)
class _News:
    """Something that discovery will list."""

    at: float
    number: int
    status: str
    weight: float
    started: float | None


class _Servers:
    """Plays the faults on the servers, in order of time."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        count = plan.experiment.fleet.servers
        self.lives = {n: Life(n) for n in range(count)}
        self.free = dict.fromkeys(range(count), 0.0)  # from when on another fault may meet it
        self.weights = dict.fromkeys(range(count), 1.0)
        self.news: list[_News] = []
        steps = [s for f, fault in enumerate(plan.experiment.faults) for s in _steps(plan, f, fault)]
        for at, fault, random in sorted(steps, key=lambda s: s[0]):
            self.play(at, fault, random)
        self.news.sort(key=lambda n: n.at)

    def play(self, at: float, fault: Fault, random: Random) -> None:
        pool = [n for n, free in self.free.items() if free <= at]
        if fault.kind == "servers_change":
            for number in _pick(random, pool, 1):
                self.replace(at, number)
        elif fault.kind == "changes":
            for number in _pick(random, pool, 1):
                # near 1, as capacities stay what they were
                weights = [w for w in (0.9, 0.95, 1.0, 1.05, 1.1) if w != self.weights[number]]
                self.weights[number] = random.choice(weights)
                self.list(at, number, "in_service", self.lives[number].started(at))
        elif fault.kind == "servers_hang":
            for number in _pick(random, pool, fault.count):
                self.lives[number].hangs.append((at, at + fault.lasts))
                self.free[number] = at + fault.lasts
        elif fault.kind == "servers_lost":
            for number in _pick(random, pool, fault.count):
                self.lose(at, number, fault.lasts)
        elif fault.kind == "zone_lost":
            zones = self.plan.experiment.fleet.zones
            for number in [n for n in pool if n % zones == fault.zone]:
                self.lose(at, number, fault.lasts)

    def list(self, at: float, number: int, status: str, started: float | None) -> None:
        self.news.append(_News(at, number, status, self.weights[number], started))

    def lose(self, at: float, number: int, lasts: float) -> None:
        life, back = self.lives[number], at + lasts
        begun = life.started(at)
        life.runs[-1:] = [Run(life.runs[-1].start, at), Run(back)]
        self.free[number] = back
        if lasts > LISTED_LOST:
            self.list(at + LISTED_LOST, number, "terminated", begun)
        self.list(back, number, "in_service", back)

    def replace(self, at: float, number: int) -> None:
        """The old one drains and ends when nobody can have sent it anything in good faith any more."""
        experiment, zones = self.plan.experiment, self.plan.experiment.fleet.zones
        new = number + zones
        while new < experiment.fleet.servers or new in self.lives:  # of the same zone, and never used
            new += zones
        old, begun = self.lives[number], self.lives[number].started(at)
        end = at + TOLD + experiment.drain_grace
        old.drains = at
        old.runs[-1] = Run(old.runs[-1].start, end)
        self.free[number] = math.inf
        self.lives[new] = Life(new, [Run(at)])
        self.free[new] = at
        self.weights[new] = self.weights[number]
        self.list(at, number, "terminating", begun)
        self.list(at, new, "in_service", at)
        self.list(end, number, "terminated", begun)


def _steps(plan: Plan, place: int, fault: Fault) -> Iterable[tuple[float, Fault, Random]]:
    """The moments of one fault; its random numbers don't depend on the other faults."""
    random = Random(f"{plan.seed} {place} {fault.kind}")
    spread = fault.kind in ("servers_change", "changes", "restart")
    moments = fault.count if spread else 1
    return [(fault.at + fault.lasts * i / moments, fault, random) for i in range(moments)]


def _pick(random: Random, pool: list[int], count: int) -> list[int]:
    return random.sample(sorted(pool), min(count, len(pool)))


def server_events(plan: Plan) -> dict[int, Life]:
    """For each server number that is ever used: when it is up, drains, hangs, and started (cold)."""
    return _Servers(plan).lives


def lag_at(plan: Plan, at: float) -> float:
    """Seconds until discovery has what happens at this time."""
    late = [f for f in plan.experiment.faults if f.kind == "lists_late" and f.at <= at < f.at + f.lasts]
    return plan.experiment.discovery.lag + sum(f.count for f in late)


def list_changes(plan: Plan) -> list[Change]:
    """The versions of the list after the first, in order; the first of them is version 2.

    `plan.schedule_start` must be the Unix time at which the schedule begins, as `since_ms` is told on that
    clock.
    What happens first is listed first, also when the lag has shrunk meanwhile.
    """
    versions: list[tuple[float, dict[str, dict[str, Any]]]] = []
    last = -math.inf
    for news in _Servers(plan).news:
        at = max(last, news.at + lag_at(plan, news.at))
        since = 0 if news.started is None else int((plan.schedule_start + news.started) * 1000)
        entry = server_entry(plan, news.number, since, news.status, news.weight)
        if at > last:
            versions.append((at, {}))
            last = at
        versions[-1][1][server_name(news.number)] = entry
    return [Change(at, tuple(entries.values())) for at, entries in versions]


def router_events(plan: Plan) -> list[Absence]:
    """Which routers, real and hollow alike, are gone, and when; in order of time."""
    free = dict.fromkeys(range(plan.router_count()), 0.0)
    absences: list[Absence] = []
    steps = [s for f, fault in enumerate(plan.experiment.faults) for s in _steps(plan, f, fault)]
    for at, fault, random in sorted(steps, key=lambda s: s[0]):
        pool = [n for n, back in free.items() if back <= at]
        if fault.kind == "restart":
            chosen, end = _pick(random, pool, 1), at + RESTART
        elif fault.kind == "router_lost":
            chosen, end = _pick(random, pool, fault.count), at + fault.lasts
        elif fault.kind == "zone_lost":
            zones = plan.experiment.fleet.zones
            chosen, end = [n for n in pool if n % zones == fault.zone], at + fault.lasts
        else:
            continue
        for number in chosen:
            free[number] = end
            absences.append(Absence(number, "restart" if fault.kind == "restart" else "lost", at, end))
    return absences


def cuts(plan: Plan) -> list[Cut]:
    """When zones are cut off."""
    return [Cut(f.zone, f.at, f.at + f.lasts) for f in plan.experiment.faults if f.kind == "region_cut"]


def cut_between(cut: list[Cut], one: int, other: int, at: float) -> bool:
    """Whether two zones do not reach one another at a time."""
    return any(c.start <= at < c.end and (one == c.zone) != (other == c.zone) for c in cut)


def downtimes(plan: Plan) -> list[tuple[float, float]]:
    """When discovery is down."""
    return [(f.at, f.at + f.lasts) for f in plan.experiment.faults if f.kind == "discovery_down"]


def loss_at(plan: Plan, at: float) -> float:
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
    return rate / fleet.servers / USE


def warmth(plan: Plan, started: float | None, at: float) -> float:
    """The share of its warm capacity that a server has: from `cold_share` to 1 over `ramp`."""
    if started is None:
        return 1.0
    cold = plan.experiment.cold_share
    return min(1.0, cold + (1 - cold) * max(0.0, at - started) / max(plan.experiment.ramp, 1e-9))


__all__ = [
    "Absence",
    "Change",
    "Cut",
    "Life",
    "Run",
    "cut_between",
    "cuts",
    "downtimes",
    "lag_at",
    "list_changes",
    "loss_at",
    "router_events",
    "server_events",
    "warm_capacity",
    "warmth",
]
