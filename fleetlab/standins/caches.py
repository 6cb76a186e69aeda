"""Stand-ins for the cache servers, one address each, in one process (PROTOCOL, Routers to cache servers).

Only real routers reach them over sockets, so their capacities follow from the request rate of the real
routers. The clients' stand-in puts the router's number into the first four digits of a request's id; from it
a server derives the router's zone, to drop requests across a network partition.
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
    mean_and_range,
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
    warm_up_share,
)

LATENCY_SIGMA = 0.4  # of the lognormal distribution of response times
VALUE_BYTES = 200  # including the request id at the beginning
MIN_BURST = 4.0  # requests that a server accepts at once, however small its capacity
BURST_S = 0.5  # seconds of its capacity that a server accepts at once
BACKLOG = 128
REQUEST_ID = re.compile(rb"[0-9a-f]{16}")
INCOMPLETE = object()
COMMAND_PARTS = {b"C.GET": 4, b"C.SET": 5}  # number of parts, the command's name included


def make_value(request: bytes, key: bytes) -> bytes:
    """Return a value that begins with the request id, by which a client detects another request's value."""
    return (request + b" " + key).ljust(VALUE_BYTES, b".")


def syntax_error(parts: Any) -> str:
    """Return a description of a command's error; empty if the command is well formed."""
    if not isinstance(parts, list) or not parts or not all(isinstance(p, bytes) for p in parts):
        return "not an array of bulk strings"
    if parts[0] not in COMMAND_PARTS:
        return ""
    if len(parts) != COMMAND_PARTS[parts[0]]:
        return "wrong number of parts"
    if not parts[1] or not REQUEST_ID.fullmatch(parts[2]):
        return "no key, or no id of 16 hex digits"
    pairs = [pair.partition(b"=") for pair in parts[3].split(b",")]
    names = {name: value for name, equals, value in pairs if equals}
    if len(names) != len(pairs) or not names.get(b"c") or not names.get(b"d", b"").isdigit():
        return "names and values are not a list with c and d"
    return ""


def zone_of_request(request: bytes, zones: int) -> int:
    """Return the zone of the router to which the clients' stand-in sent this request, from its id."""
    return int(request[:4], 16) % zones


class TokenBucket:
    """Limits requests to a rate, with short bursts above it."""

    def __init__(self, now: float) -> None:
        self.tokens = MIN_BURST
        self.updated_at = now

    def try_take(self, now: float, capacity: float) -> bool:
        """Take a token if there is one, at a capacity per second that may change from call to call."""
        burst = max(MIN_BURST, BURST_S * capacity)
        self.tokens = min(burst, self.tokens + (now - self.updated_at) * capacity)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RouterConnection(asyncio.Protocol):
    """A connection from a router; replies are sent in the order of the commands."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.reader = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.pending_replies: deque[list[bytes]] = deque()  # one per command, empty until it is answered
        self.last_used = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and count its handshake."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.last_used = self.server.cluster.loop.time()
        self.server.connections[self] = None
        self.server.cluster.meter.counts["handshakes"] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Buffer the bytes and process complete commands, unless the server hangs."""
        self.last_used = self.server.cluster.loop.time()
        self.reader.feed(data)
        if not self.server.is_hanging:
            self.process_commands()

    def process_commands(self) -> None:
        """Start all commands that have been received completely."""
        while not self.transport.is_closing():
            try:
                parts = self.reader.gets()
            except hiredis.ProtocolError as e:
                parts = e
            if parts is INCOMPLETE:
                return
            error = syntax_error(parts)
            reply: list[bytes] = []
            self.pending_replies.append(reply)
            if error:
                self.server.cluster.meter.counts["syntax"] += 1
                self.set_reply(reply, b"-SYNTAX %b\r\n" % error.encode())
                if isinstance(parts, Exception):
                    self.transport.close()
            else:
                self.server.handle_command(parts, partial(self.set_reply, reply))

    def set_reply(self, reply: list[bytes], data: bytes) -> None:
        """Fill in the reply to a command, and send every reply whose turn it is."""
        reply.append(data)
        self.flush()

    def flush(self) -> None:
        """Send replies up to the first command that is not answered yet; nothing while the server hangs."""
        if self.server.is_hanging or self.transport.is_closing():
            return
        while self.pending_replies and self.pending_replies[0]:
            self.transport.write(self.pending_replies.popleft()[0])


class Server:
    """One cache server."""

    def __init__(self, cluster: CacheCluster, timeline: ServerTimeline) -> None:
        self.cluster = cluster
        self.timeline = timeline
        self.address = cluster.plan.addresses.server(timeline.number)
        self.zone = timeline.number % cluster.plan.experiment.fleet.zones
        self.listener: asyncio.Server | None = None
        self.connections: dict[RouterConnection, None] = {}
        self.is_hanging = False
        self.bucket = TokenBucket(cluster.loop.time())
        # arrival times of requests while cold, within the last `fall_window` seconds
        self.recent_arrivals: deque[float] = deque()
        self.peak_window_share = 0.0  # requests in a window over the number that overloads the server
        self.peak_window_requests = 0

    async def open(self) -> None:
        """Start the server: listen, with a full burst of capacity."""
        self.bucket = TokenBucket(self.cluster.loop.time())
        self.recent_arrivals.clear()
        self.listener = await self.cluster.loop.create_server(
            lambda: RouterConnection(self), *host_port(self.address), reuse_address=True, backlog=BACKLOG
        )

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            reset_connection(connection.transport)

    def hang(self) -> None:
        """Keep accepting connections and bytes but send nothing."""
        self.is_hanging = True

    def resume(self) -> None:
        """End a hang: send the pending replies and process the commands that were received meanwhile."""
        self.is_hanging = False
        for connection in list(self.connections):
            connection.flush()
            connection.process_commands()

    def handle_command(self, parts: list[bytes], respond: Callable[[bytes], None]) -> None:
        """Start a well-formed command; `respond` sends its reply."""
        verb = parts[0]
        if verb in COMMAND_PARTS:
            self.handle_request(parts, respond)
        elif verb.upper() == b"PING":
            respond(b"+PONG\r\n")
        elif verb.upper() in (b"CLIENT", b"SELECT"):
            respond(b"+OK\r\n")
        elif verb.upper() == b"INFO":
            respond(b"-NOPERM no probes\r\n")
        else:
            respond(b"-ERR unknown command\r\n")

    def handle_request(self, parts: list[bytes], respond: Callable[[bytes], None]) -> None:
        """Answer a request after a random latency, or refuse it beyond the server's capacity.

        Across a partition it is never answered. Whether a read hits is random; a cold server hits less.
        """
        cluster, counts, at = self.cluster, self.cluster.meter.counts, self.cluster.schedule_time()
        experiment = cluster.plan.experiment
        counts["requests"] += 1
        if is_partitioned(
            cluster.partitions, self.zone, zone_of_request(parts[2], experiment.fleet.zones), at
        ):
            counts["cut"] += 1  # not answered after the partition ends either
            return
        started_at = self.timeline.start_time(at)
        capacity = cluster.capacity * warm_up_share(cluster.plan, started_at, at)
        if started_at is not None and at < started_at + experiment.ramp:
            self.record_cold_load(at, capacity)
        if at >= self.timeline.drain_start + experiment.drain_grace or not self.bucket.try_take(
            cluster.loop.time(), capacity
        ):
            counts["busy"] += 1
            respond(b"-BUSY\r\n")
            return
        hit_factor = 1.0 if started_at is None else min(1.0, (at - started_at) / max(experiment.ramp, 1e-9))
        if parts[0] == b"C.SET":
            counts["writes"] += 1
            reply = b"-ERR failed\r\n"  # only the origin accepts writes
        elif cluster.rng.random() < experiment.requests.hits * hit_factor:
            counts["hits"] += 1
            value = make_value(parts[2], parts[1])
            reply = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)
        else:
            counts["misses"] += 1
            reply = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
        cluster.loop.call_later(cluster.random_latency_s(), respond, reply)

    def record_cold_load(self, at: float, capacity: float) -> None:
        """Update the peaks of requests within `fall_window`, also relative to what overloads the server.

        A cold server is overloaded by `fall_multiple` times its present capacity over the whole window.
        """
        experiment, arrivals = self.cluster.plan.experiment, self.recent_arrivals
        arrivals.append(at)
        while arrivals[0] <= at - experiment.fall_window:
            arrivals.popleft()
        budget = experiment.fall_multiple * capacity * experiment.fall_window
        if self.cluster.meter.is_recording:
            self.peak_window_share = max(
                self.peak_window_share, len(arrivals) / budget if budget else math.inf
            )
            self.peak_window_requests = max(self.peak_window_requests, len(arrivals))


class CacheCluster:
    """All cache servers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.meter = Meter()
        self.rng = Random(f"caches {plan.seed}")
        self.capacity = warm_capacity(plan, real_only=True)
        self.partitions: list[Partition] = partitions(plan)
        self.loop_start = math.inf  # of the schedule, event loop time
        self.servers = {n: Server(self, timeline) for n, timeline in server_timelines(plan).items()}
        self.meter.gauges["connections"] = self.sample_connections
        self.connection_counts: list[list[int]] = []
        self.open_tasks: set[asyncio.Task[None]] = set()

    def schedule_time(self) -> float:
        """Return the seconds since the schedule began, negative before."""
        return self.loop.time() - self.loop_start

    def random_latency_s(self) -> float:
        """Return a random response time in seconds."""
        return self.rng.lognormvariate(
            math.log(self.plan.experiment.requests.latency_ms / 1e3), LATENCY_SIGMA
        )

    def sample_connections(self) -> float:
        """Close connections past the idle time-out, and return the mean number of connections per server."""
        idle_since = self.loop.time() - 30.0  # limits.connIdle of the settings
        listening = [s for s in self.servers.values() if s.listener is not None]
        for server in listening:
            for connection in [
                c
                for c in server.connections
                if c.last_used < idle_since and not c.pending_replies and not server.is_hanging
            ]:
                connection.transport.close()
        counts = [len(s.connections) for s in listening]
        self.connection_counts.append(counts)
        return sum(counts) / len(counts) if counts else 0.0

    async def open(self) -> None:
        """Open the servers that are up at the start."""
        for server in self.servers.values():
            if server.timeline.uptimes[0].start < 0:
                await server.open()

    def open_server(self, server: Server) -> None:
        """Open a server in the background."""
        task = self.loop.create_task(server.open())
        self.open_tasks.add(task)
        task.add_done_callback(self.open_tasks.discard)

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """Return the starts, ends and hangs of servers; called when the schedule begins."""
        self.loop_start = self.loop.time()
        actions: list[TimedAction] = []
        for server in self.servers.values():
            for start_at in [u.start for u in server.timeline.uptimes if u.start >= 0]:
                actions.append((start_at, partial(self.open_server, server)))
            actions += [(u.end, server.close) for u in server.timeline.uptimes if u.end < math.inf]
            for hang, resume in server.timeline.hangs:
                actions += [(hang, server.hang), (resume, server.resume)]
        return actions

    def close(self) -> None:
        """Close all servers and cancel those that are opening."""
        for task in self.open_tasks:
            task.cancel()
        for server in self.servers.values():
            server.close()

    def role(self) -> Role:
        """Return the figures of all servers."""
        meter, fleet = self.meter, self.plan.experiment.fleet
        metrics = {"cpu.share": meter.cpu()}
        for name in ("requests", "hits", "misses", "busy", "writes", "syntax", "cut", "handshakes"):
            metrics[name] = meter.rate(name)
        samples = [n for counts in self.connection_counts for n in counts]
        metrics["connections"] = mean_and_range([float(n) for n in samples], "connections")
        cold = [s for s in self.servers.values() if any(u.start >= 0 for u in s.timeline.uptimes)]
        if cold:
            peaks = [s.peak_window_share for s in cold]
            metrics["cold.window"] = Metric(max(peaks), "share", min(peaks), max(peaks), len(peaks))
            metrics["cold.window.sent"] = mean_and_range(
                [float(s.peak_window_requests) for s in cold], "requests"
            )
        metrics["capacity.warm"] = Metric(self.capacity, "1/s")
        return Role(fleet.servers, metrics, dict(meter.per_second))


async def run(
    plan: Plan, ready: Callable[[], None], schedule_start: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Run all cache servers until the schedule is over or `ended` is set, and return the role `caches`."""
    cluster = CacheCluster(plan)
    await cluster.open()
    ready()
    roles: dict[str, Role] = {}

    def finish() -> None:
        roles["caches"] = cluster.role()

    try:
        await run_schedule(
            plan, schedule_start, ended, cluster.meter, cluster.scheduled_actions, finish=finish
        )
    finally:
        cluster.close()
    return roles
