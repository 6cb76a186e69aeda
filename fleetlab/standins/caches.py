"""Cache servers, each with its address, all in one process (PROTOCOL, Routers to cache servers).

Only real routers reach them over sockets: capacities are what these routers' requests come to. Clients'
stand-ins put the router's number into the first four digits of a request's id, by which a cut region is told.
"""

from __future__ import annotations

import asyncio
import math
import re
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import hiredis

from fleetlab.plan import Plan
from fleetlab.results import Metric, Role
from fleetlab.standins.lifecycle import (
    Meter,
    TimedAction,
    host_port,
    mean_with_range,
    reset_connection,
    run_schedule,
)
from fleetlab.standins.schedule import (
    Partition,
    ServerTimeline,
    is_partitioned,
    partitions,
    server_timelines,
    warm_capacity,
    warmup_share,
)

SIGMA = 0.4  # of the lognormal times about their median
VALUE = 200  # bytes of a value, with the id that it begins with
LEAST_BURST = 4.0  # requests that a server takes at once, however small
BURST = 0.5  # seconds of its capacity that it takes at once
BACKLOG = 128
ID = re.compile(rb"[0-9a-f]{16}")
NOT_YET = object()
PARTS = {b"C.GET": 4, b"C.SET": 5}


def value_for(request: bytes, key: bytes) -> bytes:
    """A value that can be told to be made for this request: it begins with the id."""
    return (request + b" " + key).ljust(VALUE, b".")


def form_fault(parts: Any) -> str:
    """What is wrong with the form of a command, as no client would send it; empty where nothing is."""
    if not isinstance(parts, list) or not parts or not all(isinstance(p, bytes) for p in parts):
        return "not an array of bulk strings"
    if parts[0] not in PARTS:
        return ""
    if len(parts) != PARTS[parts[0]]:
        return "wrong number of parts"
    if not parts[1] or not ID.fullmatch(parts[2]):
        return "no key, or no id of 16 hex digits"
    pairs = [pair.partition(b"=") for pair in parts[3].split(b",")]
    names = {name: value for name, equals, value in pairs if equals}
    if len(names) != len(pairs) or not names.get(b"c") or not names.get(b"d", b"").isdigit():
        return "names and values are not a list with c and d"
    return ""


def zone_of_request(request: bytes, zones: int) -> int:
    """The zone of the router that a client's stand-in gave this request."""
    return int(request[:4], 16) % zones


class Bucket:
    """Takes so many requests a second, with a short burst."""

    def __init__(self, now: float) -> None:
        self.tokens = LEAST_BURST
        self.at = now

    def take(self, now: float, capacity: float) -> bool:
        """Whether one more is within the capacity, which may change from call to call."""
        most = max(LEAST_BURST, BURST * capacity)
        self.tokens = min(most, self.tokens + (now - self.at) * capacity)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Link(asyncio.Protocol):
    """A connection of a router; its answers go out in the order of its commands."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.reader = hiredis.Reader(notEnoughData=NOT_YET)
        self.slots: deque[list[bytes]] = deque()  # one for each command, empty until it is answered
        self.used = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.used = self.server.farm.loop.time()
        self.server.links[self] = None
        self.server.farm.meter.counts["handshakes"] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.links.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self.used = self.server.farm.loop.time()
        self.reader.feed(data)
        if not self.server.hanging:
            self.take()

    def take(self) -> None:
        """Begin the commands that have come whole."""
        while not self.transport.is_closing():
            try:
                parts = self.reader.gets()
            except hiredis.ProtocolError as e:
                parts = e
            if parts is NOT_YET:
                return
            fault = form_fault(parts)
            slot: list[bytes] = []
            self.slots.append(slot)
            if fault:
                self.server.farm.meter.counts["syntax"] += 1
                self.answer(slot, b"-SYNTAX %b\r\n" % fault.encode())
                if isinstance(parts, Exception):
                    self.transport.close()
            else:
                self.server.command(parts, partial(self.answer, slot))

    def answer(self, slot: list[bytes], data: bytes) -> None:
        slot.append(data)
        self.flush()

    def flush(self) -> None:
        if self.server.hanging or self.transport.is_closing():
            return
        while self.slots and self.slots[0]:
            self.transport.write(self.slots.popleft()[0])


class Server:
    """One cache server."""

    def __init__(self, farm: Farm, timeline: ServerTimeline) -> None:
        self.farm = farm
        self.timeline = timeline
        self.address = farm.plan.addresses.server(timeline.number)
        self.zone = timeline.number % farm.plan.experiment.fleet.zones
        self.listening: asyncio.Server | None = None
        self.links: dict[Link, None] = {}
        self.hanging = False
        self.bucket = Bucket(farm.loop.time())
        self.recent: deque[float] = deque()  # when it was sent something, within the window of a fall
        self.fullest = 0.0  # window, as a part of what makes it fall
        self.fullest_sent = 0

    async def up(self) -> None:
        self.bucket = Bucket(self.farm.loop.time())
        self.recent.clear()
        self.listening = await self.farm.loop.create_server(
            lambda: Link(self), *host_port(self.address), reuse_address=True, backlog=BACKLOG
        )

    def down(self) -> None:
        """Gone: connections reset and new ones are refused."""
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for link in list(self.links):
            reset_connection(link.transport)

    def hang(self) -> None:
        self.hanging = True

    def resume(self) -> None:
        """Go on with what has come meanwhile."""
        self.hanging = False
        for link in list(self.links):
            link.flush()
            link.take()

    def command(self, parts: list[bytes], answer: Callable[[bytes], None]) -> None:
        """Begin a command that is well formed."""
        verb = parts[0]
        if verb in PARTS:
            self.request(parts, answer)
        elif verb.upper() == b"PING":
            answer(b"+PONG\r\n")
        elif verb.upper() in (b"CLIENT", b"SELECT"):
            answer(b"+OK\r\n")
        elif verb.upper() == b"INFO":
            answer(b"-NOPERM no probes\r\n")
        else:
            answer(b"-ERR unknown command\r\n")

    def request(self, parts: list[bytes], answer: Callable[[bytes], None]) -> None:
        farm, counts, at = self.farm, self.farm.meter.counts, self.farm.now()
        experiment = farm.plan.experiment
        counts["requests"] += 1
        if is_partitioned(farm.partitions, self.zone, zone_of_request(parts[2], experiment.fleet.zones), at):
            counts["cut"] += 1  # says nothing, also later
            return
        started = self.timeline.start_time(at)
        capacity = farm.capacity * warmup_share(farm.plan, started, at)
        if started is not None and at < started + experiment.ramp:
            self.count_cold(at, capacity)
        if at >= self.timeline.drain_start + experiment.drain_grace or not self.bucket.take(
            farm.loop.time(), capacity
        ):
            counts["busy"] += 1
            answer(b"-BUSY\r\n")
            return
        warm = 1.0 if started is None else min(1.0, (at - started) / max(experiment.ramp, 1e-9))
        if parts[0] == b"C.SET":
            counts["writes"] += 1
            reply = b"-ERR failed\r\n"  # writes are the origin's
        elif farm.random.random() < experiment.requests.hits * warm:
            counts["hits"] += 1
            value = value_for(parts[2], parts[1])
            reply = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)
        else:
            counts["misses"] += 1
            reply = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
        farm.loop.call_later(farm.latency(), answer, reply)

    def count_cold(self, at: float, capacity: float) -> None:
        """Note what has been sent within the window, as a part of the budget at present capacity."""
        experiment, recent = self.farm.plan.experiment, self.recent
        recent.append(at)
        while recent[0] <= at - experiment.fall_window:
            recent.popleft()
        budget = experiment.fall_multiple * capacity * experiment.fall_window
        if self.farm.meter.is_recording:
            self.fullest = max(self.fullest, len(recent) / budget if budget else math.inf)
            self.fullest_sent = max(self.fullest_sent, len(recent))


class Farm:
    """All cache servers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.meter = Meter()
        self.random = Random(f"caches {plan.seed}")
        self.capacity = warm_capacity(plan, real_only=True)
        self.partitions: list[Partition] = partitions(plan)
        self.zero = math.inf  # the schedule's start on the loop's clock
        self.servers = {n: Server(self, timeline) for n, timeline in server_timelines(plan).items()}
        self.meter.gauges["connections"] = self.look
        self.connections: list[list[int]] = []
        self.opening: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Seconds of the schedule, below 0 before it."""
        return self.loop.time() - self.zero

    def latency(self) -> float:
        return self.random.lognormvariate(math.log(self.plan.experiment.requests.latency_ms / 1e3), SIGMA)

    def look(self) -> float:
        """Mean connections of a server; idle ones are closed in passing, as long ago as routers are told."""
        idle = self.loop.time() - 30.0  # limits.connIdle of the settings
        open_now = [s for s in self.servers.values() if s.listening is not None]
        for server in open_now:
            for link in [k for k in server.links if k.used < idle and not k.slots and not server.hanging]:
                link.transport.close()
        counts = [len(s.links) for s in open_now]
        self.connections.append(counts)
        return sum(counts) / len(counts) if counts else 0.0

    async def up(self) -> None:
        """Open the servers that are there at the start."""
        for server in self.servers.values():
            if server.timeline.uptimes[0].start < 0:
                await server.up()

    def start_server(self, server: Server) -> None:
        task = self.loop.create_task(server.up())
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """What happens to the servers in the schedule."""
        self.zero = self.loop.time()  # called as it begins
        steps: list[TimedAction] = []
        for server in self.servers.values():
            for began in [r.start for r in server.timeline.uptimes if r.start >= 0]:
                steps.append((began, partial(self.start_server, server)))
            steps += [(r.end, server.down) for r in server.timeline.uptimes if r.end < math.inf]
            for hang, resume in server.timeline.hangs:
                steps += [(hang, server.hang), (resume, server.resume)]
        return steps

    def down(self) -> None:
        for task in self.opening:
            task.cancel()
        for server in self.servers.values():
            server.down()

    def role(self) -> Role:
        meter, fleet = self.meter, self.plan.experiment.fleet
        metrics = {"cpu.share": meter.cpu()}
        for name in ("requests", "hits", "misses", "busy", "writes", "syntax", "cut", "handshakes"):
            metrics[name] = meter.rate(name)
        flat = [n for counts in self.connections for n in counts]
        metrics["connections"] = mean_with_range([float(n) for n in flat], "connections")
        cold = [s for s in self.servers.values() if any(r.start >= 0 for r in s.timeline.uptimes)]
        if cold:
            fullest = [s.fullest for s in cold]
            metrics["cold.window"] = Metric(max(fullest), "share", min(fullest), max(fullest), len(fullest))
            metrics["cold.window.sent"] = mean_with_range([float(s.fullest_sent) for s in cold], "requests")
        metrics["capacity.warm"] = Metric(self.capacity, "1/s")
        return Role(fleet.servers, metrics, dict(meter.per_second))


async def run(
    plan: Plan, ready: Callable[[], None], began: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Be all cache servers until the schedule is over or `ended`; answers with the role `caches`."""
    farm = Farm(plan)
    await farm.up()
    ready()
    roles: dict[str, Role] = {}

    def finish() -> None:
        roles["caches"] = farm.role()

    try:
        await run_schedule(plan, began, ended, farm.meter, farm.scheduled_actions, finish=finish)
    finally:
        farm.down()
    return roles
