"""Hollow routers: the module behind the real host, discovery and peers, with clients and servers by a model.

Many share a process. Each has its own address, watches discovery and hears and tells peers over real sockets;
requests and what becomes of attempts are drawn. Instances share virtual nodes and the order of the ring
(`model.shared_rings`), or hundreds would not start in time: first lists and changes cost less here than at a
router on its own.
"""

from __future__ import annotations

import asyncio
import gc
import importlib
import random
import time
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from itertools import accumulate
from typing import Any, Protocol
from unittest.mock import patch

import msgspec
import psutil
import structlog

from brackenwalk import interface as api
from brackenwalk.net import discovery as real_discovery
from brackenwalk.net.command import Command
from brackenwalk.net.discovery import Discovery, read_list
from brackenwalk.net.host import Host, Member
from brackenwalk.net.http import HttpClient, Response
from brackenwalk.net.origin import OriginConnection
from brackenwalk.net.peers import Peers
from brackenwalk.net.pool import Exchange, Pool, address_of
from brackenwalk.policy import Router
from brackenwalk.settings import read_settings
from fleetlab.model import kind_of, shared_rings, zipf
from fleetlab.module_costs import CONTROL, state_size, tell_at
from fleetlab.plan import Plan, config_of
from fleetlab.results import Metric, Role

TIME_LEFT = 1.0  # of the shortest aim, that a client gives a request
VALUE = b"v" * 64
BEAT = 0.1  # seconds between two looks at how late the loop is
SIZED = 3  # instances whose state is walked at the end, which takes a second each
log = structlog.get_logger(__name__)


class Life(Protocol):
    """What becomes of a server; times are seconds from the start of the schedule."""

    def is_up(self, at: float) -> bool: ...

    def is_hanging(self, at: float) -> bool: ...

    def start_time(self, at: float) -> float | None: ...


class Absence(Protocol):
    """A router is gone from `start` to `end`."""

    @property
    def router(self) -> int: ...

    @property
    def start(self) -> float: ...

    @property
    def end(self) -> float: ...


class Schedule:
    """What happens to servers and routers, and who reaches whom."""

    def __init__(
        self,
        lives: dict[int, Life] | None = None,
        absences: list[Absence] | None = None,
        cut: Callable[[int, int, float], bool] = lambda one, other, at: False,
    ) -> None:
        self.lives = lives or {}
        self.absences = absences or []
        self.cut = cut

    def state(self, server: int, router_zone: int, server_zone: int, at: float) -> str:
        """`up`, `hang` or `lost`, as a router of a zone sees a server."""
        life = self.lives.get(server)
        if self.cut(router_zone, server_zone, at) or (life is not None and not life.is_up(at)):
            return "lost"
        return "hang" if life is not None and life.is_hanging(at) else "up"

    def warmth(self, server: int, at: float, cold: float, ramp: float) -> float:
        """Share of its usual hits that a server has, for its age."""
        life = self.lives.get(server)
        began = life.start_time(at) if life is not None else None
        return 1.0 if began is None else min(1.0, cold + (1 - cold) * (at - began) / max(ramp, 1e-3))


def schedule_of(plan: Plan) -> Schedule:
    """The schedule that all parts share."""
    shared: Any = importlib.import_module("fleetlab.standins.schedule")
    cuts = shared.partitions(plan)
    return Schedule(
        shared.server_timelines(plan),
        shared.router_outages(plan),
        lambda one, other, at: bool(shared.is_partitioned(cuts, one, other, at)),
    )


class Meter:
    """What one instance took, for the whole schedule."""

    def __init__(self) -> None:
        self.spent: Counter[str] = Counter()  # nanoseconds by kind of event
        self.events: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()  # bytes, calls and ends of requests
        self.heard: Counter[int] = Counter()  # messages of peers by the second
        self.heard_bytes: Counter[int] = Counter()

    def add(self, kind: str, began: int) -> None:
        """Count an event whose work began at a time of the thread's clock."""
        self.spent[kind] += time.thread_time_ns() - began
        self.events[kind] += 1


class Metered(Router):
    """A router whose time is counted by kind of event."""

    def __init__(self, settings: api.Settings, seed: int, now: float, meter: Meter) -> None:
        super().__init__(settings, seed, now)
        self.meter = meter

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        due = tell_at(self)
        began = time.thread_time_ns()
        actions = super().handle(now, event)
        self.meter.add(kind_of(event) if tell_at(self) == due else "tell", began)
        return actions


class HollowHost(Host):
    """A host that can be killed: timers that are still out then find it deaf."""

    def __init__(self, settings: api.Settings, seed: int, pool: Pool, subscribe: Callable[[], None]) -> None:
        super().__init__(settings, seed, pool, pool, subscribe)
        self.dead = False

    def post(self, event: api.Event) -> None:
        if not self.dead:
            super().post(event)

    def kill(self) -> int:
        """End at once; answers with how many requests it still owed an answer."""
        self.dead = True
        for taken in self.requests.values():
            for attempt in taken.attempts.values():
                if attempt.exchange is not None:
                    attempt.exchange.abandon()
        return sum(not taken.closed for taken in self.requests.values())


class Modelled(Exchange):
    """An attempt at a server that is none."""

    timer: asyncio.TimerHandle | None = None

    def unsent(self) -> bool:
        return False

    def abandon(self) -> None:
        self.open = False
        if self.timer is not None:
            self.timer.cancel()


class ModelPool(Pool):
    """Stands where connections to servers would: attempts end as drawn, after a drawn time."""

    def __init__(self, instance: Hollow, dial_timeout: float) -> None:
        super().__init__(OriginConnection, 0, dial_timeout, 0.0)  # never makes a connection
        self.instance = instance
        self.silent: set[str] = set()  # addresses whose kept connection has been given up

    def start(
        self,
        address: str,
        command: Command,
        time_left: float,
        done: Callable[[api.Status, bytes], None],
        look: Callable[[], object] = lambda: None,
    ) -> Exchange:
        exchange = Modelled(command, time_left, done, look)
        state = self.instance.state(address)
        if state == "up":
            self.silent.discard(address)
            usual = self.instance.fleet.plan.experiment.requests.latency_ms / 1000
            pause = usual * self.instance.random.uniform(0.5, 1.5)
            exchange.timer = asyncio.get_running_loop().call_later(pause, self._answer, address, exchange)
        elif state == "lost" and address in self.silent:
            loop = asyncio.get_running_loop()
            exchange.timer = loop.call_later(
                self.dial_timeout, exchange.finish, api.Status.CONNECT_FAILED
            )  # the kept connection has been given up, and a new one never comes up
        elif state == "lost":
            self.silent.add(address)
        return exchange

    def _answer(self, address: str, exchange: Modelled) -> None:
        if self.instance.state(address) != "up":
            return  # the host's own timer ends it
        hit = exchange.command.write or self.instance.hit(address)
        exchange.finish(*((api.Status.OK, VALUE) if hit else (api.Status.MISS, b"")))

    def close_idle(self, address: str) -> None:
        """There are no connections."""


class CountedClient(HttpClient):
    """Counts the bytes of discovery's calls for the instance that asks at an address, which is its own."""

    meters: dict[str, Meter] = {}
    marks: dict[str, int] = {}  # when the latest bytes came in, by the thread's clock

    def request(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes | None = None
    ) -> bytes:
        data = super().request(method, target, headers, body)
        self.meters[self.address].counts["calls"] += 1
        self.meters[self.address].counts["bytes.out.discovery"] += len(data)
        return data

    def receive(self, data: bytes) -> Response | None:
        self.marks[self.address] = time.thread_time_ns()
        self.meters[self.address].counts["bytes.in.discovery"] += len(data)
        return super().receive(data)


class Process:
    """What the instances of one process share."""

    def __init__(self, plan: Plan, schedule: Schedule) -> None:
        self.plan = plan
        self.schedule = schedule
        self.began = float("inf")  # Unix time
        experiment = plan.experiment
        self.zones = experiment.fleet.zones
        self.shares = list(accumulate(zipf(experiment.requests.keys, experiment.requests.zipf)))
        addresses = plan.addresses
        self.numbers: dict[str, int] = {}  # of servers, by address; those that come later are added
        self.peers = {address_of(addresses.peer_seen(n)) for n in range(plan.routers())}
        config = config_of(plan, 0)
        self.index, _, self.known = read_list(config["known"])
        config["settings"]["me"] = 0
        self.settings = config["settings"]

    def at(self) -> float:
        """Seconds since the schedule began; below 0 before."""
        return time.time() - self.began

    def number_of(self, address: str) -> int | None:
        """A server's number; None for the origin."""
        if address == self.plan.addresses.origin():
            return None
        while address not in self.numbers:
            count = len(self.numbers)
            if count > 2**16:
                raise ValueError(f"{address} is no server's address")
            self.numbers[self.plan.addresses.server(count)] = count
        return self.numbers[address]


class Hollow:
    """One hollow router; begun anew after a fault, its meter goes on."""

    def __init__(self, fleet: Process, number: int, rate: float) -> None:
        self.fleet = fleet
        self.number = number
        self.rate = rate
        self.zone = number % fleet.zones
        self.random = random.Random(f"{fleet.plan.seed} {number}")
        self.meter = Meter()
        self.asked = self.made = 0  # requests, and those of the schedule
        self.host: HollowHost | None = None
        self.discovery: Discovery | None = None
        self.peers: Peers | None = None
        self.next: asyncio.TimerHandle | None = None
        self.address = fleet.plan.addresses.discovery(number)
        CountedClient.meters[self.address] = self.meter

    async def start(self) -> None:
        """Begin from nothing but the list of the configuration."""
        fleet, addresses = self.fleet, self.fleet.plan.addresses
        settings = read_settings(fleet.settings | {"me": self.number})
        pool = ModelPool(self, settings.dial_timeout)
        seed = self.random.getrandbits(32)
        host = self.host = HollowHost(settings, seed, pool, self._subscribe)
        host.router = Metered(settings, seed, host.clock.now(), self.meter)
        told, failed = self._told, self._failed
        self.discovery = Discovery(self.address, fleet.index, told, failed)
        host.list_told(api.ListKind.SAVED, fleet.known)
        if not settings.subscribe:
            self.discovery.subscribe()  # what is pushed comes by the same calls
        peers = Peers(addresses.peer_listen(self.number), [], addresses.everyone(), self._peer_heard)
        peers.peers = fleet.peers  # one set for all: thousands of sets of thousands fill the memory
        self.peers, host.tell = peers, self._tell
        await peers.start()

    def stop(self) -> None:
        """End at once, as if killed."""
        if self.next is not None:
            self.next.cancel()
        if self.discovery is not None:
            self.discovery.told = lambda kind, members: None
            self.discovery.failed = lambda: None
            self.discovery.close()
        if self.peers is not None:
            self.peers.close()
        if self.host is not None:
            self.meter.counts["unserved"] += self.host.kill()
        self.host = self.discovery = self.peers = None

    def state(self, address: str) -> str:
        """How the server at an address is seen from here now: `up`, `hang` or `lost`."""
        server = self.fleet.number_of(address)
        if server is None:
            return "up"
        zones = self.fleet.zones
        return self.fleet.schedule.state(server, self.zone, server % zones, self.fleet.at())

    def hit(self, address: str) -> bool:
        """Whether a read finds its key, by the share of hits and the server's age."""
        server, experiment = self.fleet.number_of(address), self.fleet.plan.experiment
        if server is None:
            return True
        warm = self.fleet.schedule.warmth(server, self.fleet.at(), experiment.cold_share, experiment.ramp)
        return self.random.random() < experiment.requests.hits * warm

    # Requests

    def ask(self) -> None:
        """Take a drawn request, and set the time of the next."""
        loop = asyncio.get_running_loop()
        if self.rate > 0:
            self.next = loop.call_later(self.random.expovariate(self.rate), self.ask)
        if self.host is None:
            return
        requests, shares = self.fleet.plan.experiment.requests, self.fleet.shares
        key = b"k%d" % bisect_right(shares, self.random.random() * shares[-1])
        write = self.random.random() < requests.writes
        deadline = int(1000 * TIME_LEFT * self.fleet.plan.experiment.shortest_aim)
        self.asked += 1
        self.made += 1
        command = Command(
            b"C.SET" if write else b"C.GET",
            key,
            b"%d-%d" % (self.number, self.asked),
            {"c": "book" if write else "read", "d": str(deadline)},
            deadline,
            VALUE if write else None,
        )
        self.host.take(command, self._answered)

    def _answered(self, answer: bytes) -> None:
        self.meter.counts["served" if answer.startswith(b"$") else "unserved"] += 1

    # Discovery and peers

    def _subscribe(self) -> None:
        if self.discovery is not None:
            self.discovery.subscribe()

    def _told(self, kind: api.ListKind, members: list[Member]) -> None:
        began = CountedClient.marks.get(self.address)
        if began is not None:
            # reading the answer, without the dial; one with no news is counted where it is handled
            self.meter.spent["call"] += time.thread_time_ns() - began
            self.meter.events["call"] += bool(members)
        if self.host is not None:
            self.host.list_told(kind, members)

    def _failed(self) -> None:
        self.meter.counts["calls.failed"] += 1
        if self.host is not None:
            self.host.list_failed()

    def _peer_heard(self, content: bytes) -> None:
        second = int(self.fleet.at()) if self.fleet.at() >= 0 else -1
        self.meter.heard[second] += 1
        self.meter.heard_bytes[second] += len(content)
        if self.host is not None:
            self.host.peer_heard(content)

    def _tell(self, content: bytes) -> None:
        self.meter.counts["told"] += 1
        self.meter.counts["bytes.out.peers"] += len(content)
        if self.peers is not None:
            self.peers.tell(content)


def spread(values: list[float], unit: str) -> Metric:
    """A figure of each instance: the mean and the range."""
    if not values:
        return Metric(0.0, unit)
    return Metric(sum(values) / len(values), unit, min(values), max(values), len(values))


def role_of(instances: list[Hollow], seconds: float, whole: int) -> Role:
    """What a set of instances took in `seconds`; `whole` seconds of the schedule are told one by one."""
    meters = [i.meter for i in instances]
    metrics: dict[str, Metric] = {}
    for kind in sorted({k for m in meters for k in m.events}):
        spent, count = sum(m.spent[kind] for m in meters), sum(m.events[kind] for m in meters)
        if not count:
            continue
        each = [m.spent[kind] / m.events[kind] / 1000 for m in meters if m.events[kind]]
        metrics[f"cpu.us.{kind}"] = Metric(spent / count / 1000, "us", min(each), max(each), count)
        metrics[f"rate.{kind}"] = spread([m.events[kind] / seconds for m in meters], "1/s")
    plain = metrics["cpu.us.request"].value * 1000 if "cpu.us.request" in metrics else 0.0
    control = [
        sum(m.spent[k] for k in (*CONTROL, "list")) - m.events["tell"] * plain for m in meters
    ]  # a request that tells is a request as well
    metrics["cpu.control"] = spread([max(0.0, c) / 1e9 / seconds for c in control], "core")
    metrics["cpu.share"] = spread([m.spent.total() / 1e9 / seconds for m in meters], "core")
    for name in ("bytes.out.peers", "bytes.in.discovery", "bytes.out.discovery"):
        metrics[name] = spread([m.counts[name] / seconds for m in meters], "B/s")
    metrics["bytes.in.peers"] = spread([m.heard_bytes.total() / seconds for m in meters], "B/s")
    metrics["rate.told"] = spread([m.counts["told"] / seconds for m in meters], "1/s")
    metrics["calls"] = spread([m.counts["calls"] / seconds for m in meters], "1/s")
    metrics["calls.failed"] = Metric(float(sum(m.counts["calls.failed"] for m in meters)), "calls")
    served, not_served = (sum(m.counts[name] for m in meters) for name in ("served", "unserved"))
    if served + not_served:
        metrics["served"] = Metric(served / (served + not_served), "share", count=served + not_served)
        metrics["failed"] = Metric(not_served / (served + not_served), "share")
    count = max(1, len(meters))
    lines = {
        "rate.peer": [sum(m.heard[s] for m in meters) / count for s in range(whole)],
        "bytes.in.peers": [sum(m.heard_bytes[s] for m in meters) / count for s in range(whole)],
    }
    return Role(len(instances), metrics, lines)


def results(
    plan: Plan,
    instances: list[Hollow],
    start: dict[str, float],
    *,
    seconds: float,
    spent: float,
    late: list[float],
) -> dict[str, Role]:
    """All roles of this process: `hollow`, `full` where there are any, and `lab` for the process itself.

    `spent` are the processor seconds of the process in the schedule; `start` has figures of the start; `late`
    is how late the loop was. Where `asked`, the share of the planned requests that were made, is well below
    1 or the lag is not far below a second, the process was too full and its rates say nothing.
    """
    full = plan.experiment.requests.full_rate
    asked: defaultdict[str, list[Hollow]] = defaultdict(list)
    for instance in instances:
        asked["full" if instance.rate == full and plan.experiment.fleet.full else "hollow"].append(instance)
    whole = int(min(seconds, plan.experiment.seconds))
    roles = {name: role_of(group, seconds, whole) for name, group in asked.items()}
    memory = psutil.Process().memory_info().rss / 2**20
    for name, group in asked.items():
        metrics = roles[name].metrics
        metrics["memory.mb"] = Metric(memory / len(instances), "MB", count=len(instances))
        sizes = [state_size(i.host.router) / 2**20 for i in group[:SIZED] if i.host is not None]
        metrics["state.mb"] = spread(sizes, "MB")
        planned = seconds * sum(i.rate for i in group)
        if planned:
            metrics["asked"] = Metric(sum(i.made for i in group) / planned, "share")
        metrics |= {f"start.{what}": Metric(value, "s") for what, value in start.items()}
    own = spent - sum(i.meter.spent.total() for i in instances) / 1e9
    descriptors = float(psutil.Process().num_fds())
    roles["lab"] = Role(
        1,
        {
            "cpu.share": Metric(max(0.0, own) / seconds, "core"),
            "memory.mb": Metric(memory, "MB"),
            "descriptors": Metric(descriptors, "descriptors"),
            "lag": spread(late, "s"),
        },
    )
    return roles


async def watch_lag(late: list[float]) -> None:
    """Note how much later than asked the loop comes round, in seconds: what it does not keep up with."""
    while True:
        due = time.monotonic() + BEAT
        await asyncio.sleep(BEAT)
        late.append(time.monotonic() - due)


def rates(plan: Plan) -> list[float]:
    """Requests a second at each hollow router of this process: its part of the full ones comes first."""
    fleet, requests = plan.experiment.fleet, plan.experiment.requests
    processes = min(fleet.processes, fleet.hollow) or 1
    place = (plan.hollow[0] - fleet.real) % processes if plan.hollow else 0  # dealt round, process by process
    full = len(range(place, fleet.full, processes))
    return [requests.full_rate if i < full else requests.hollow_rate for i in range(len(plan.hollow))]


async def absent(instance: Hollow, absences: list[Absence]) -> None:
    """Kill a router and begin it anew, each time that the schedule has it gone."""
    for absence in absences:
        await asyncio.sleep(max(0.0, absence.start - instance.fleet.at()))
        instance.stop()
        await asyncio.sleep(max(0.0, absence.end - instance.fleet.at()))
        await instance.start()
        instance.ask()


async def run(
    plan: Plan,
    ready: Callable[[], None],
    began: Awaitable[float],
    ended: asyncio.Event,
    schedule: Schedule | None = None,
) -> dict[str, Role]:
    """Play this process's hollow routers; `schedule` is the shared one by default.

    Starts all, calls `ready`, waits for `began` (Unix time), asks and answers until the schedule or `ended`.
    Returns the roles `hollow`, `full` (asked the full rate) and `lab` (the rest of the process).
    """
    with shared_rings(), patch.object(real_discovery, "HttpClient", CountedClient):
        return await _play(plan, ready, began, ended, schedule)


async def _play(
    plan: Plan,
    ready: Callable[[], None],
    began: Awaitable[float],
    ended: asyncio.Event,
    schedule: Schedule | None,
) -> dict[str, Role]:
    fleet = Process(plan, schedule or Schedule())
    instances = [Hollow(fleet, n, rate) for n, rate in zip(plan.hollow, rates(plan), strict=True)]
    start = {"wall": time.monotonic(), "cpu": time.process_time()}
    tasks: list[asyncio.Task[None]] = []
    over = asyncio.ensure_future(ended.wait())
    waits = asyncio.ensure_future(began)
    try:
        for instance in instances:
            await instance.start()
            await asyncio.sleep(0)  # let those that are up ask and hear
        start = {"wall": time.monotonic() - start["wall"], "cpu": time.process_time() - start["cpu"]}
        log.info("hollow routers are up", count=len(instances), **start)
        # what stays for the whole play is not gone through again and again: with hundreds of instances that
        # would be counted as their own time
        gc.collect()
        gc.freeze()
        ready()
        await asyncio.wait((over, waits), return_when=asyncio.FIRST_COMPLETED)
        if waits.done():
            fleet.began = waits.result()
            if schedule is None:
                fleet.schedule = schedule_of(plan_begun(plan, fleet.began))
            await asyncio.wait((over,), timeout=max(0.0, -fleet.at()))
        for instance in instances:  # what the start took is not the schedule's
            own = Meter()
            instance.meter = CountedClient.meters[instance.address] = own
            if instance.host is not None and isinstance(instance.host.router, Metered):
                instance.host.router.meter = own
        late: list[float] = []
        tasks.append(asyncio.create_task(watch_lag(late)))
        counted, spent = time.monotonic(), time.process_time()
        if not over.done():
            for instance in instances:
                instance.next = asyncio.get_running_loop().call_later(
                    instance.random.expovariate(instance.rate) if instance.rate else 1e9, instance.ask
                )
            by_router: defaultdict[int, list[Absence]] = defaultdict(list)
            for absence in fleet.schedule.absences:
                by_router[absence.router].append(absence)
            known = {i.number: i for i in instances}
            tasks += [asyncio.create_task(absent(known[n], a)) for n, a in by_router.items() if n in known]
            await asyncio.wait((over,), timeout=max(0.0, plan.experiment.seconds - fleet.at()))
        seconds, spent = max(1e-3, time.monotonic() - counted), time.process_time() - spent
        return results(plan, instances, start, seconds=seconds, spent=spent, late=late)
    finally:
        for task in [*tasks, over, waits]:
            task.cancel()
        for instance in instances:
            instance.stop()
        await asyncio.sleep(0)  # sockets close
        gc.unfreeze()


def plan_begun(plan: Plan, began: float) -> Plan:
    """The plan with the time at which its schedule begins."""
    return msgspec.structs.replace(plan, began=began)
