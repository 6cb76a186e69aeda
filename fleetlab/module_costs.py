"""What one instance of the module costs at an experiment's size: no sockets, a simulated clock, one process.

Processor time is taken round `Router.handle` alone, of an instance that shares nothing with another. How
many messages a fleet of that size makes is taken from a model of a part of it.
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
from brackenwalk.net.discovery import WATCH_WAIT, read_list
from brackenwalk.policy import Router
from brackenwalk.settings import read_settings
from fleetlab.experiment import Experiment
from fleetlab.model import FleetModel, event_kind, shared_virtual_nodes, zipf_weights
from fleetlab.plan import Addresses, Plan, initial_server_list, router_settings
from fleetlab.results import Metric, Role

PLAYED = 30  # routers of the model at most; each stands for several in a larger fleet
WARM = 2  # seconds until counts are taken: the memory of what is asked for has filled by then
QUIET, STORM, TIMED = 12, 6, 5  # seconds of each part; quiet routers of a large fleet tell little
LISTS = 3  # first lists, each to a new instance
CHANGES = 8  # servers that drain, go, and come back new
CONTROL = ("change", "call", "peer", "timer", "tell")  # and what a list takes, of which there are few
ORIGIN = "s-origin"


def tell_at(router: Router) -> float:
    """When a router shares out demand and tells its peers next; with a request, from then on."""
    holder: Any = getattr(router, "telling", router)
    return float(holder.tell_at)


class Timed(Router):
    """A router that keeps the processor seconds for each event, by kind.

    `tell` are requests at which it also shares out demand and may tell peers. The thread's own time is taken,
    as on a busy machine a clock on the wall counts other processes as well; reading it takes some 1 us.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.spent: defaultdict[str, list[float]] = defaultdict(list)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """As the module's; the thread's time is read right before and after."""
        due = tell_at(self)
        began = time.thread_time_ns()
        actions = super().handle(now, event)
        spent = (time.thread_time_ns() - began) / 1e9
        self.spent[event_kind(event) if tell_at(self) == due else "tell"].append(spent)
        return actions


class TimedFleet(FleetModel):
    """Its routers keep their times."""

    def make_router(self, number: int) -> Router:
        return Timed(replace(self.settings, number=number), self.random.getrandbits(64), self.now)


def told(experiment: Experiment) -> tuple[api.Settings, list[api.ServerEntry]]:
    """A router's settings and first list, in the module's terms, read as a router reads them."""
    plan = Plan("hollow", experiment, Addresses(1, 1024), 0)
    members = read_list(initial_server_list(plan))[2]
    return read_settings(router_settings(experiment, 0)), [m.entry for m in members]


def answers(experiment: Experiment, seed: int) -> Callable[[str], api.Status]:
    """What cache servers and the origin answer: hits and misses by their share."""
    chance = random.Random(seed)
    hits = experiment.requests.hits

    def answer(server: str) -> api.Status:
        return api.Status.OK if server == ORIGIN or chance.random() < hits else api.Status.MISS

    return answer


def asked(fleet: FleetModel, experiment: Experiment, seed: int) -> list[float]:
    """Set up what clients and servers of a model do; returns the weights of the keys."""
    fleet.answer_status = answers(experiment, seed)
    fleet.latency = experiment.requests.latency_ms / 1000
    fleet.write_share = experiment.requests.writes
    fleet.router_weights = [1.0] * len(fleet.routers)
    return zipf_weights(experiment.requests.keys, experiment.requests.zipf)


def state_size(router: Router) -> int:
    """Bytes of all objects that a router holds, each once; classes, functions and modules are not its own."""
    seen: set[int] = set()
    todo: list[Any] = [router]
    size = 0
    while todo:
        thing = todo.pop()
        if id(thing) in seen or isinstance(thing, (type, FunctionType, ModuleType)):
            continue
        seen.add(id(thing))
        size += sys.getsizeof(thing)
        todo += gc.get_referents(thing)
    return size


def played(
    experiment: Experiment, seed: int
) -> tuple[list[tuple[float, float]], list[tuple[float, float]], dict[str, list[bytes]]]:
    """Play a part of the fleet at the full rate, quiet and in a storm: a zone's servers and routers lost.

    Returns messages and bytes that a router hears in each quiet second and in each second of the storm, and
    the messages told in both. Virtual nodes are shared here, where no time is taken.
    """
    conf, entries = told(experiment)
    size, zones = experiment.fleet.real + experiment.fleet.hollow, experiment.fleet.zones
    count = min(PLAYED, size)
    with shared_virtual_nodes():
        fleet = FleetModel(conf, count, entries, seed, siblings=size, run_timers=True)
    weights = asked(fleet, experiment, seed)
    rate = count * experiment.requests.full_rate
    fleet.run(WARM, rate, weights)
    fleet.messages.clear()
    begin = int(fleet.now)
    fleet.run(QUIET, rate, weights)
    quiet = fleet.fleet_traffic(range(begin, begin + QUIET))
    contents = {"quiet": list(fleet.messages)}
    fleet.messages.clear()
    begin = int(fleet.now)
    if zones > 1:
        fleet.fail(e.server for e in entries if e.zone == "zone-1" and e.server != ORIGIN)
    fleet.run(STORM, rate, weights)
    left = 1 - len(range(1, size, zones)) / size  # the zone's routers are silent as well
    storm = [(m * left, b * left) for m, b in fleet.fleet_traffic(range(begin, begin + STORM))]
    return quiet, storm, contents | {"storm": list(fleet.messages)}


def lists_and_changes(
    conf: api.Settings, entries: list[api.ServerEntry], seed: int
) -> dict[str, list[float]]:
    """Seconds for each first list, the same list again, no news, and each change of one server."""
    spent: defaultdict[str, list[float]] = defaultdict(list)
    whole = tuple(entries)
    for i in range(LISTS):
        router = Timed(conf, seed + i, 100.0)
        router.handle(100.0, api.ServerList(api.ListKind.SAVED, whole))
        spent["list"] += router.spent["list"]
    router.spent.clear()
    for _ in range(LISTS):
        router.handle(100.0, api.ServerList(api.ListKind.FULL, whole))
        router.handle(100.0, api.ServerList(api.ListKind.DELTA))
    spent["list.again"], spent["call"] = list(router.spent["list"]), list(router.spent["call"])
    caches = [e for e in entries if e.server != ORIGIN]
    now = 100.0
    for entry in caches[:: max(1, len(caches) // CHANGES)][:CHANGES]:
        now += 1.0
        new = replace(entry, server=entry.server + "n", since=now)
        for changed in (
            replace(entry, state=api.State.DRAINING),
            replace(entry, state=api.State.GONE),
            new,
            replace(new, weight=entry.weight * 0.9),
        ):
            what = "weight" if changed.weight != entry.weight else changed.state.value
            router.spent.clear()
            router.handle(now, api.ServerList(api.ListKind.DELTA, (changed,)))
            spent["change." + what] += router.spent["change"]
            spent["change"] += router.spent["change"]
    return dict(spent)


def full_load(
    conf: api.Settings,
    entries: list[api.ServerEntry],
    experiment: Experiment,
    *,
    seed: int,
    contents: list[bytes],
    rate: float,
) -> tuple[dict[str, list[float]], Router, int]:
    """One instance at the full rate that hears `rate` messages a second, of those in `contents`.

    Returns the seconds for each event by kind, the instance, and how many messages it told.
    """
    size = conf.siblings
    fleet = TimedFleet(conf, 1, entries, seed, siblings=size, run_timers=True)
    weights = asked(fleet, experiment, seed)
    until, chance, at = WARM + TIMED, random.Random(seed), 0.0
    while contents and rate > 0 and (at := at + chance.expovariate(rate)) < until:
        fleet.schedule(at, 0, api.PeerMessage(chance.choice(contents)))
    router = fleet.routers[0]
    assert isinstance(router, Timed)
    fleet.run(WARM, experiment.requests.full_rate, weights)
    router.spent.clear()
    fleet.messages.clear()
    fleet.run(TIMED, experiment.requests.full_rate, weights)
    return dict(router.spent), router, len(fleet.messages)


def changes_per_second(experiment: Experiment) -> float:
    """Changes of single servers that the experiment's faults make, spread over its time.

    A server replaced is four: it drains, is gone, the new one is there, and has started.
    """
    each = {"servers_change": 4, "servers_lost": 2, "changes": 1}
    return sum(each.get(f.kind, 0) * f.count for f in experiment.faults) / experiment.seconds


def metric(samples: list[float], unit: str, scale: float = 1.0) -> Metric:
    """The mean of samples and their range."""
    scaled = [s * scale for s in samples]
    if not scaled:
        return Metric(0.0, unit)
    return Metric(sum(scaled) / len(scaled), unit, min(scaled), max(scaled), len(scaled))


def measure(experiment: Experiment, seed: int) -> dict[str, Role]:
    """Measure one instance at the experiment's size; under the role `module`.

    `cpu.us.tell` is the whole of a request at which demand is shared out; `rate.told` are messages told. The
    prefix `storm.` is for a zone lost: the second of it in which most is heard.
    """
    conf, entries = told(experiment)
    conf = replace(conf, number=0)
    quiet, storm, contents = played(experiment, seed)
    heard = sum(m for m, _ in quiet) / len(quiet)
    spent: dict[str, list[float]] = lists_and_changes(conf, entries, seed)
    loaded, router, own = full_load(
        conf, entries, experiment, seed=seed, contents=contents["quiet"], rate=heard
    )
    spent |= loaded
    metrics = {f"cpu.us.{kind}": metric(samples, "us", 1e6) for kind, samples in sorted(spent.items())}
    rates = {kind: len(loaded.get(kind, ())) / TIMED for kind in ("request", "outcome", "timer", "tell")}
    # a watch with no news is answered when its wait is over
    rates |= {"peer": heard, "change": changes_per_second(experiment), "call": 1 / WATCH_WAIT}
    worst = max(m for m, _ in storm)
    metrics |= {f"rate.{kind}": Metric(rate, "1/s") for kind, rate in rates.items()}
    metrics["rate.told"] = Metric(own / TIMED, "1/s")
    metrics["rate.peer"] = metric([m for m, _ in quiet], "1/s")
    metrics["bytes.in.peers"] = metric([b for _, b in quiet], "B/s")
    metrics["storm.rate.peer"] = Metric(worst, "1/s")
    metrics["storm.bytes.in.peers"] = Metric(max(b for _, b in storm), "B/s")
    cost = {kind: metrics[f"cpu.us.{kind}"].value if f"cpu.us.{kind}" in metrics else 0.0 for kind in CONTROL}
    plain = metrics["cpu.us.request"].value
    cost["tell"] = max(0.0, cost["tell"] - plain)  # what it takes more than any request
    control = sum(rates[kind] * cost[kind] for kind in CONTROL) / 1e6
    stormy, *_ = full_load(conf, entries, experiment, seed=seed, contents=contents["storm"], rate=worst)
    metrics["storm.cpu.us.peer"] = metric(stormy.get("peer", []), "us", 1e6)
    metrics["cpu.control"] = Metric(control, "core")
    more = worst * metrics["storm.cpu.us.peer"].value - heard * cost["peer"]
    metrics["storm.cpu.control"] = Metric(control + more / 1e6, "core")
    metrics["cpu.share"] = Metric(sum(sum(v) for v in loaded.values()) / TIMED, "core")
    metrics["state.mb"] = Metric(state_size(router) / 2**20, "MB")
    seconds = {"storm.rate.peer": [m for m, _ in storm], "storm.bytes.in.peers": [b for _, b in storm]}
    return {"module": Role(1, metrics, seconds)}
