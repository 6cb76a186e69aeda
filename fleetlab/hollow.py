"""Hollow routers: the decision module with the real host, discovery and peers, but no clients and servers.

Many share a process. Each has an address of its own, watches discovery, and exchanges peer messages over real
sockets; requests and the outcomes of attempts are random. Instances share virtual nodes and the order
of the ring (`model.shared_rings`), as hundreds would not start in time otherwise. First lists and changes
therefore cost less here than at a router in a process of its own.
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
from brackenwalk.net.discovery import DiscoveryClient, read_list
from brackenwalk.net.host import Host
from brackenwalk.net.http import HttpClient, Response
from brackenwalk.net.origin import OriginConnection
from brackenwalk.net.peers import PeerSocket
from brackenwalk.net.pool import Exchange, Pool, parse_address
from brackenwalk.net.requests import Member
from brackenwalk.policy import Router
from brackenwalk.settings import read_settings
from fleetlab.model import event_kind, shared_rings, zipf_weights
from fleetlab.module_costs import CONTROL_KINDS, next_peer_update, state_size
from fleetlab.plan import Plan, router_config
from fleetlab.results import Metric, Role

REQUEST_TIMEOUT_FACTOR = 1.0  # of the shortest aim: after that clients give up
VALUE = b"v" * 64
LAG_INTERVAL_S = 0.1  # between samples of the event loop's lag
MAX_SIZED_INSTANCES = 3  # whose state is measured at the end, which takes a second each
log = structlog.get_logger(__name__)


class Timeline(Protocol):
    """The state of a server over time, in seconds from the start of the schedule.

    `fleetlab.standins.schedule.ServerTimeline` has this interface.
    """

    def is_up(self, at: float) -> bool:
        """Return whether the server runs."""
        ...

    def is_hanging(self, at: float) -> bool:
        """Return whether the server runs but does not respond."""
        ...

    def start_time(self, at: float) -> float | None:
        """Return when the server last started, or None if that was before the schedule."""
        ...


class Outage(Protocol):
    """A period during which a router is down, in seconds from the start of the schedule."""

    @property
    def router(self) -> int:
        """The router's number."""
        ...

    @property
    def start(self) -> float:
        """When the router goes down."""
        ...

    @property
    def end(self) -> float:
        """When the router starts again."""
        ...


class Schedule:
    """The faults of servers, routers and the links between zones.

    `partitioned` tells whether two zones cannot reach each other at a time.
    """

    def __init__(
        self,
        timelines: dict[int, Timeline] | None = None,
        outages: list[Outage] | None = None,
        partitioned: Callable[[int, int, float], bool] = lambda zone, other, at: False,
    ) -> None:
        self.timelines = timelines or {}
        self.outages = outages or []
        self.partitioned = partitioned

    def server_state(self, server: int, router_zone: int, server_zone: int, at: float) -> str:
        """Return `up`, `hang` or `lost`: the state of a server as seen from a router's zone."""
        timeline = self.timelines.get(server)
        if self.partitioned(router_zone, server_zone, at) or (
            timeline is not None and not timeline.is_up(at)
        ):
            return "lost"
        return "hang" if timeline is not None and timeline.is_hanging(at) else "up"

    def warm_up_share(self, server: int, at: float, cold: float, ramp: float) -> float:
        """Return a server's share of its usual hits: from `cold` at its start to 1 after `ramp` seconds."""
        timeline = self.timelines.get(server)
        started = timeline.start_time(at) if timeline is not None else None
        return 1.0 if started is None else min(1.0, cold + (1 - cold) * (at - started) / max(ramp, 1e-3))


def shared_schedule(plan: Plan) -> Schedule:
    """Return the schedule that all worker processes derive from the plan."""
    shared: Any = importlib.import_module("fleetlab.standins.schedule")
    cuts = shared.partitions(plan)
    return Schedule(
        shared.server_timelines(plan),
        shared.router_outages(plan),
        lambda zone, other, at: bool(shared.is_partitioned(cuts, zone, other, at)),
    )


class InstanceMeter:
    """The resources that one hollow router used over the whole schedule."""

    def __init__(self) -> None:
        self.cpu_ns: Counter[str] = Counter()  # by kind of event
        self.events: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()  # bytes, calls, and requests by how they ended
        self.messages_in: Counter[int] = Counter()  # from peers, by second
        self.bytes_in: Counter[int] = Counter()

    def add(self, kind: str, began: int) -> None:
        """Count an event whose handling began at `began`, in nanoseconds of the thread's processor time."""
        self.cpu_ns[kind] += time.thread_time_ns() - began
        self.events[kind] += 1


class MeteredRouter(Router):
    """A router whose processor time is counted by kind of event."""

    def __init__(self, settings: api.Settings, seed: int, now: float, meter: InstanceMeter) -> None:
        super().__init__(settings, seed, now)
        self.meter = meter

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle an event as `Router` does, and count its processor time."""
        due = next_peer_update(self)
        began = time.thread_time_ns()
        actions = super().handle(now, event)
        self.meter.add(event_kind(event) if next_peer_update(self) == due else "tell", began)
        return actions


class HollowHost(Host):
    """A host that can be killed: timers that fire afterwards have no effect."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        pool: Pool,
        subscribe: Callable[[], None],
        check_discovery: Callable[[], None],
    ) -> None:
        super().__init__(settings, seed, pool, pool, subscribe, check_discovery=check_discovery)
        self.killed = False

    def post(self, event: api.Event) -> None:
        """Pass an event to the router, unless the host has been killed."""
        if not self.killed:
            super().post(event)

    def kill(self) -> int:
        """Abandon all attempts at once, and return the number of requests left without a response."""
        self.killed = True
        for tracked in self.requests.values():
            for attempt in tracked.attempts.values():
                if attempt.exchange is not None:
                    attempt.exchange.abandon()
        return sum(not tracked.closed for tracked in self.requests.values())


class ModelExchange(Exchange):
    """An attempt at a modelled server."""

    timer: asyncio.TimerHandle | None = None

    def unsent(self) -> bool:
        """Return False: the router has to treat every attempt as sent."""
        return False

    def abandon(self) -> None:
        """Cancel the attempt."""
        self.open = False
        if self.timer is not None:
            self.timer.cancel()


class ModelPool(Pool):
    """A model in place of the connections to servers: outcomes and response times are random."""

    def __init__(self, instance: HollowRouter, dial_timeout: float) -> None:
        super().__init__(OriginConnection, 0, dial_timeout, 0.0)  # never makes a connection
        self.instance = instance
        # addresses of lost servers whose kept connection was closed
        self.dropped_connections: set[str] = set()

    def start(
        self,
        address: str,
        command: Command,
        time_left: float,
        on_done: Callable[[api.Status, bytes], None],
        may_begin: Callable[[], bool] = lambda: True,
    ) -> Exchange:
        """Start an attempt, whose outcome depends on the state of the server."""
        exchange = ModelExchange(command, time_left, on_done, may_begin)
        state = self.instance.server_state(address)
        if state == "up":
            self.dropped_connections.discard(address)
            typical = self.instance.process.plan.experiment.requests.latency_ms / 1000
            latency = typical * self.instance.random.uniform(0.5, 1.5)
            exchange.timer = asyncio.get_running_loop().call_later(
                latency, self._finish_attempt, address, exchange
            )
        elif state == "lost" and address in self.dropped_connections:
            # the kept connection was closed, and no new one can be established
            loop = asyncio.get_running_loop()
            exchange.timer = loop.call_later(self.dial_timeout, exchange.finish, api.Status.CONNECT_FAILED)
        elif state == "lost":
            self.dropped_connections.add(address)
        return exchange

    def _finish_attempt(self, address: str, exchange: ModelExchange) -> None:
        if self.instance.server_state(address) != "up":
            return  # the attempt ends when the host's timer for it fires
        command = exchange.command
        hit = (command is not None and command.write) or self.instance.draw_hit(address)
        exchange.finish(*((api.Status.OK, VALUE) if hit else (api.Status.MISS, b"")))

    def close_idle(self, address: str) -> None:
        """Do nothing, as there are no connections."""


class MeteredClient(HttpClient):
    """Counts calls to discovery and their bytes, by address, as each hollow router calls its own address."""

    meters: dict[str, InstanceMeter] = {}
    received_at: dict[str, int] = {}  # when the latest bytes arrived, in the thread's processor time (ns)

    def request(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes | None = None
    ) -> bytes:
        """Encode a request and count it."""
        data = super().request(method, target, headers, body)
        self.meters[self.address].counts["calls"] += 1
        self.meters[self.address].counts["bytes.out.discovery"] += len(data)
        return data

    def receive(self, data: bytes) -> Response | None:
        """Count received bytes and decode them."""
        self.received_at[self.address] = time.thread_time_ns()
        self.meters[self.address].counts["bytes.in.discovery"] += len(data)
        return super().receive(data)


class HollowProcess:
    """The state that the hollow routers of one process share."""

    def __init__(self, plan: Plan, schedule: Schedule) -> None:
        self.plan = plan
        self.schedule = schedule
        self.schedule_start = float("inf")  # Unix time
        experiment = plan.experiment
        self.zones = experiment.fleet.zones
        self.cumulative_weights = list(
            accumulate(zipf_weights(experiment.requests.keys, experiment.requests.zipf))
        )
        addresses = plan.addresses
        self.server_numbers: dict[str, int] = {}  # by address; those of replacements are added on first use
        self.peers = {parse_address(addresses.peer_advertised(n)) for n in range(plan.router_count())}
        config = router_config(plan, 0)
        self.index, _, self.members = read_list(config["known"])
        config["settings"]["me"] = 0
        self.settings = config["settings"]

    def elapsed(self) -> float:
        """Return the seconds since the schedule began; negative before."""
        return time.time() - self.schedule_start

    def server_number(self, address: str) -> int | None:
        """Return the number of the server at an address; None for the origin.

        Raises ValueError for an address that is neither.
        """
        if address == self.plan.addresses.origin():
            return None
        while address not in self.server_numbers:
            count = len(self.server_numbers)
            if count > 2**16:
                raise ValueError(f"{address} is not the address of a cache server")
            self.server_numbers[self.plan.addresses.server(count)] = count
        return self.server_numbers[address]


class HollowRouter:
    """One hollow router. Its meter goes on counting over the router's restarts."""

    def __init__(self, process: HollowProcess, number: int, rate: float) -> None:
        self.process = process
        self.number = number
        self.rate = rate  # requests per second
        self.zone = number % process.zones
        self.random = random.Random(f"{process.plan.seed} {number}")
        self.meter = InstanceMeter()
        self.request_number = self.generated = 0  # for request ids, and to compare with the planned rate
        self.host: HollowHost | None = None
        self.discovery: DiscoveryClient | None = None
        self.peers: PeerSocket | None = None
        self.next_request: asyncio.TimerHandle | None = None
        self.address = process.plan.addresses.discovery(number)
        MeteredClient.meters[self.address] = self.meter

    async def start(self) -> None:
        """Start without any state but the server list of the configuration."""
        process, addresses = self.process, self.process.plan.addresses
        settings = read_settings(process.settings | {"me": self.number})
        pool = ModelPool(self, settings.dial_timeout)
        seed = self.random.getrandbits(32)
        host = self.host = HollowHost(settings, seed, pool, self._subscribe, self._check_discovery)
        host.router = MeteredRouter(settings, seed, host.clock.now(), self.meter)
        on_list, on_failure = self._on_list, self._on_list_failure
        on_reachable = host.on_discovery_reachable
        self.discovery = DiscoveryClient(self.address, process.index, on_list, on_failure, on_reachable)
        host.on_server_list(api.ListKind.SAVED, process.members)
        if not settings.subscribe:
            self.discovery.subscribe()  # pushed lists arrive by the same calls
        peers = PeerSocket(
            addresses.peer_listen(self.number), [], addresses.peers_all(), self._on_peer_message
        )
        # one set for all instances: a set of thousands for each would fill the memory
        peers.peers = process.peers
        self.peers, host.broadcast = peers, self._broadcast
        await peers.start()

    def stop(self) -> None:
        """Stop at once, as if killed."""
        if self.next_request is not None:
            self.next_request.cancel()
        if self.discovery is not None:
            self.discovery.on_list = lambda kind, members: None
            self.discovery.on_failure = lambda: None
            self.discovery.close()
        if self.peers is not None:
            self.peers.close()
        if self.host is not None:
            self.meter.counts["unserved"] += self.host.kill()
        self.host = self.discovery = self.peers = None

    def server_state(self, address: str) -> str:
        """Return the current state of the server at an address as seen from here: `up`, `hang` or `lost`."""
        server = self.process.server_number(address)
        if server is None:
            return "up"
        zones = self.process.zones
        return self.process.schedule.server_state(server, self.zone, server % zones, self.process.elapsed())

    def draw_hit(self, address: str) -> bool:
        """Draw whether a read hits, by the share of hits and the server's age; the origin always hits."""
        server, experiment = self.process.server_number(address), self.process.plan.experiment
        if server is None:
            return True
        hit_factor = self.process.schedule.warm_up_share(
            server, self.process.elapsed(), experiment.cold_share, experiment.ramp
        )
        return self.random.random() < experiment.requests.hits * hit_factor

    # Requests

    def generate_request(self) -> None:
        """Submit a random request, and schedule the next."""
        loop = asyncio.get_running_loop()
        if self.rate > 0:
            self.next_request = loop.call_later(self.random.expovariate(self.rate), self.generate_request)
        if self.host is None:
            return
        requests, weights = self.process.plan.experiment.requests, self.process.cumulative_weights
        key = b"k%d" % bisect_right(weights, self.random.random() * weights[-1])
        write = self.random.random() < requests.writes
        deadline = int(1000 * REQUEST_TIMEOUT_FACTOR * self.process.plan.experiment.shortest_aim)
        self.request_number += 1
        self.generated += 1
        command = Command(
            b"C.SET" if write else b"C.GET",
            key,
            b"%d-%d" % (self.number, self.request_number),
            {"c": "book" if write else "read", "d": str(deadline)},
            deadline,
            VALUE if write else None,
        )
        self.host.submit(command, self._on_response)

    def _on_response(self, response: bytes) -> None:
        self.meter.counts["served" if response.startswith(b"$") else "unserved"] += 1

    # Discovery and peers

    def _subscribe(self) -> None:
        if self.discovery is not None:
            self.discovery.subscribe()

    def _check_discovery(self) -> None:
        if self.discovery is not None:
            self.discovery.check()

    def _on_list(self, kind: api.ListKind, members: list[Member]) -> None:
        received = MeteredClient.received_at.get(self.address)
        if received is not None:
            # parsing the response, without the dial; one without changes is counted when it is handled
            self.meter.cpu_ns["call"] += time.thread_time_ns() - received
            self.meter.events["call"] += bool(members)
        if self.host is not None:
            self.host.on_server_list(kind, members)

    def _on_list_failure(self) -> None:
        self.meter.counts["calls.failed"] += 1
        if self.host is not None:
            self.host.on_list_failed()

    def _on_peer_message(self, content: bytes) -> None:
        second = int(self.process.elapsed()) if self.process.elapsed() >= 0 else -1
        self.meter.messages_in[second] += 1
        self.meter.bytes_in[second] += len(content)
        if self.host is not None:
            self.host.on_peer_message(content)

    def _broadcast(self, content: bytes) -> None:
        self.meter.counts["told"] += 1
        self.meter.counts["bytes.out.peers"] += len(content)
        if self.peers is not None:
            self.peers.broadcast(content)


def mean_and_range(values: list[float], unit: str) -> Metric:
    """Return the mean of the instances' values and their range."""
    if not values:
        return Metric(0.0, unit)
    return Metric(sum(values) / len(values), unit, min(values), max(values), len(values))


def build_role(instances: list[HollowRouter], seconds: float, whole_seconds: int) -> Role:
    """Return the metrics of some instances over `seconds`, and series of the first `whole_seconds`."""
    meters = [i.meter for i in instances]
    metrics: dict[str, Metric] = {}
    for kind in sorted({k for m in meters for k in m.events}):
        cpu_ns, count = sum(m.cpu_ns[kind] for m in meters), sum(m.events[kind] for m in meters)
        if not count:
            continue
        each = [m.cpu_ns[kind] / m.events[kind] / 1000 for m in meters if m.events[kind]]
        metrics[f"cpu.us.{kind}"] = Metric(cpu_ns / count / 1000, "us", min(each), max(each), count)
        metrics[f"rate.{kind}"] = mean_and_range([m.events[kind] / seconds for m in meters], "1/s")
    request_ns = metrics["cpu.us.request"].value * 1000 if "cpu.us.request" in metrics else 0.0
    # the cost of each `tell` includes that of the request during which the message was sent
    control_ns = [
        sum(m.cpu_ns[k] for k in (*CONTROL_KINDS, "list", "resume")) - m.events["tell"] * request_ns
        for m in meters
    ]
    metrics["cpu.control"] = mean_and_range([max(0.0, c) / 1e9 / seconds for c in control_ns], "core")
    metrics["cpu.share"] = mean_and_range([m.cpu_ns.total() / 1e9 / seconds for m in meters], "core")
    for name in ("bytes.out.peers", "bytes.in.discovery", "bytes.out.discovery"):
        metrics[name] = mean_and_range([m.counts[name] / seconds for m in meters], "B/s")
    metrics["bytes.in.peers"] = mean_and_range([m.bytes_in.total() / seconds for m in meters], "B/s")
    metrics["rate.told"] = mean_and_range([m.counts["told"] / seconds for m in meters], "1/s")
    metrics["calls"] = mean_and_range([m.counts["calls"] / seconds for m in meters], "1/s")
    metrics["calls.failed"] = Metric(float(sum(m.counts["calls.failed"] for m in meters)), "calls")
    served, unserved = (sum(m.counts[name] for m in meters) for name in ("served", "unserved"))
    if served + unserved:
        metrics["served"] = Metric(served / (served + unserved), "share", count=served + unserved)
        metrics["failed"] = Metric(unserved / (served + unserved), "share")
    count = max(1, len(meters))
    series = {
        "rate.peer": [sum(m.messages_in[s] for m in meters) / count for s in range(whole_seconds)],
        "bytes.in.peers": [sum(m.bytes_in[s] for m in meters) / count for s in range(whole_seconds)],
    }
    return Role(len(instances), metrics, series)


def build_roles(
    plan: Plan,
    instances: list[HollowRouter],
    start: dict[str, float],
    *,
    seconds: float,
    cpu_seconds: float,
    lags: list[float],
) -> dict[str, Role]:
    """Return all roles of this process: `hollow`, `full` if there are any, and `lab` for the process itself.

    `cpu_seconds` is the processor time of the process during the schedule; `start` holds metrics of the start
    phase; `lags` are samples of the event loop's lag. The process was overloaded, and its rates are
    meaningless, where `asked`, the share of the planned requests that were generated, is well below 1, or the
    lag is not far below a second.
    """
    full_role_rate = plan.experiment.requests.full_rate
    groups: defaultdict[str, list[HollowRouter]] = defaultdict(list)
    for instance in instances:
        groups["full" if instance.rate == full_role_rate and plan.experiment.fleet.full else "hollow"].append(
            instance
        )
    whole_seconds = int(min(seconds, plan.experiment.seconds))
    roles = {name: build_role(group, seconds, whole_seconds) for name, group in groups.items()}
    memory = psutil.Process().memory_info().rss / 2**20
    for name, group in groups.items():
        metrics = roles[name].metrics
        metrics["memory.mb"] = Metric(memory / len(instances), "MB", count=len(instances))
        sizes = [state_size(i.host.router) / 2**20 for i in group[:MAX_SIZED_INSTANCES] if i.host is not None]
        metrics["state.mb"] = mean_and_range(sizes, "MB")
        planned_requests = seconds * sum(i.rate for i in group)
        if planned_requests:
            metrics["asked"] = Metric(sum(i.generated for i in group) / planned_requests, "share")
        metrics |= {f"start.{clock}": Metric(value, "s") for clock, value in start.items()}
    process_cpu_s = cpu_seconds - sum(i.meter.cpu_ns.total() for i in instances) / 1e9
    descriptors = float(psutil.Process().num_fds())
    roles["lab"] = Role(
        1,
        {
            "cpu.share": Metric(max(0.0, process_cpu_s) / seconds, "core"),
            "memory.mb": Metric(memory, "MB"),
            "descriptors": Metric(descriptors, "descriptors"),
            "lag": mean_and_range(lags, "s"),
        },
    )
    return roles


async def sample_lag(lags: list[float]) -> None:
    """Append samples of the event loop's lag, in seconds: by how much timers fire too late."""
    while True:
        due = time.monotonic() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        lags.append(time.monotonic() - due)


def request_rates(plan: Plan) -> list[float]:
    """Return the requests per second at each hollow router of this process, full-rate routers first."""
    fleet, requests = plan.experiment.fleet, plan.experiment.requests
    processes = min(fleet.processes, fleet.hollow) or 1
    # routers are dealt to the processes round-robin
    process_index = (plan.hollow[0] - fleet.real) % processes if plan.hollow else 0
    full_count = len(range(process_index, fleet.full, processes))
    return [requests.full_rate if i < full_count else requests.hollow_rate for i in range(len(plan.hollow))]


async def play_outages(instance: HollowRouter, outages: list[Outage]) -> None:
    """Kill and restart a router at the times of its outages."""
    for outage in outages:
        await asyncio.sleep(max(0.0, outage.start - instance.process.elapsed()))
        instance.stop()
        await asyncio.sleep(max(0.0, outage.end - instance.process.elapsed()))
        await instance.start()
        instance.generate_request()


async def run(
    plan: Plan,
    ready: Callable[[], None],
    schedule_start: Awaitable[float],
    ended: asyncio.Event,
    schedule: Schedule | None = None,
) -> dict[str, Role]:
    """Run this process's hollow routers; `schedule` is the shared one by default.

    Starts all, calls `ready`, waits for `schedule_start` (Unix time), and then generates requests until the
    end of the schedule or `ended`. Returns the roles `hollow`, `full` (at the full rate) and `lab` (the rest
    of the process).
    """
    with shared_rings(), patch.object(real_discovery, "HttpClient", MeteredClient):
        return await _play(plan, ready, schedule_start, ended, schedule)


async def _play(
    plan: Plan,
    ready: Callable[[], None],
    schedule_start: Awaitable[float],
    ended: asyncio.Event,
    schedule: Schedule | None,
) -> dict[str, Role]:
    process = HollowProcess(plan, schedule or Schedule())
    instances = [
        HollowRouter(process, n, rate) for n, rate in zip(plan.hollow, request_rates(plan), strict=True)
    ]
    start = {"wall": time.monotonic(), "cpu": time.process_time()}
    tasks: list[asyncio.Task[None]] = []
    end_wait = asyncio.ensure_future(ended.wait())
    start_wait = asyncio.ensure_future(schedule_start)
    try:
        for instance in instances:
            await instance.start()
            await asyncio.sleep(0)  # lets earlier ones make calls and receive messages
        start = {"wall": time.monotonic() - start["wall"], "cpu": time.process_time() - start["cpu"]}
        log.info("hollow routers started", count=len(instances), **start)
        # Objects that live for the whole play are exempt from garbage collection: with hundreds of instances
        # its repeated passes over them would be counted as the instances' processor time.
        gc.collect()
        gc.freeze()
        ready()
        await asyncio.wait((end_wait, start_wait), return_when=asyncio.FIRST_COMPLETED)
        if start_wait.done():
            process.schedule_start = start_wait.result()
            if schedule is None:
                process.schedule = shared_schedule(with_schedule_start(plan, process.schedule_start))
            await asyncio.wait((end_wait,), timeout=max(0.0, -process.elapsed()))
        for instance in instances:  # new meters, as metrics exclude the start phase
            new_meter = InstanceMeter()
            instance.meter = MeteredClient.meters[instance.address] = new_meter
            if instance.host is not None and isinstance(instance.host.router, MeteredRouter):
                instance.host.router.meter = new_meter
        lags: list[float] = []
        tasks.append(asyncio.create_task(sample_lag(lags)))
        began, cpu_seconds = time.monotonic(), time.process_time()
        if not end_wait.done():
            for instance in instances:
                instance.next_request = asyncio.get_running_loop().call_later(
                    instance.random.expovariate(instance.rate) if instance.rate else 1e9,
                    instance.generate_request,
                )
            by_router: defaultdict[int, list[Outage]] = defaultdict(list)
            for outage in process.schedule.outages:
                by_router[outage.router].append(outage)
            by_number = {i.number: i for i in instances}
            tasks += [
                asyncio.create_task(play_outages(by_number[n], a))
                for n, a in by_router.items()
                if n in by_number
            ]
            await asyncio.wait((end_wait,), timeout=max(0.0, plan.experiment.seconds - process.elapsed()))
        seconds, cpu_seconds = max(1e-3, time.monotonic() - began), time.process_time() - cpu_seconds
        return build_roles(plan, instances, start, seconds=seconds, cpu_seconds=cpu_seconds, lags=lags)
    finally:
        for task in [*tasks, end_wait, start_wait]:
            task.cancel()
        for instance in instances:
            instance.stop()
        await asyncio.sleep(0)  # lets sockets close
        gc.unfreeze()


def with_schedule_start(plan: Plan, schedule_start: float) -> Plan:
    """Return the plan with the Unix time at which its schedule begins."""
    return msgspec.structs.replace(plan, schedule_start=schedule_start)
