"""Stand-in for the origin: reads and writes over HTTP/1.1 (PROTOCOL, Routers to cache servers)."""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Awaitable, Callable
from random import Random
from urllib.parse import unquote_to_bytes

import h11

from fleetlab.plan import Plan
from fleetlab.results import Role
from fleetlab.standins.caches import LATENCY_SIGMA, REQUEST_ID, TokenBucket, make_value, zone_of_request
from fleetlab.standins.lifecycle import Meter, TimedAction, host_port, reset_connection, run_schedule
from fleetlab.standins.schedule import is_partitioned, partitions

LATENCY_FACTOR = 3.0  # median response time, relative to a cache server's
CAPACITY_FACTOR = 3.0  # capacity, relative to the load while all cache servers are warm
PROBE_TARGETS = (b"/health/live", b"/stats")
REQUEST_INFO = re.compile(rb"[!-~]+")
MAX_BODY_BYTES = 64 * 1024


class RouterConnection(asyncio.Protocol):
    """A connection from a router, with one request at a time."""

    def __init__(self, origin: Origin) -> None:
        self.origin = origin
        self.connection = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and count its handshake."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.origin.connections[self] = None
        self.origin.meter.counts["handshakes"] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self.origin.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes and start a request that is complete."""
        self.connection.receive_data(data)
        self._process_events()

    def _process_events(self) -> None:
        try:
            self._read_events()
        except h11.RemoteProtocolError:
            self.origin.meter.counts["malformed"] += 1
            self.transport.abort()

    def _read_events(self) -> None:
        while not self.transport.is_closing():
            event = self.connection.next_event()
            if isinstance(event, h11.Request):
                self.request, self.body_bytes = event, 0
            elif isinstance(event, h11.Data):
                self.body_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._start_request()
            else:  # more bytes are needed, a request is in progress, or the connection has ended
                if isinstance(event, h11.ConnectionClosed):
                    self.transport.close()
                return

    def _start_request(self) -> None:
        assert self.request is not None
        headers = dict(self.request.headers)
        request_id, info = headers.get(b"request-id", b""), headers.get(b"request-info", b"")
        if self.request.target in PROBE_TARGETS:
            self.respond(200, b"ok")
        elif self.request.method not in (b"GET", b"PUT") or self.body_bytes > MAX_BODY_BYTES:
            self.respond(400, b"")
        elif (
            not REQUEST_ID.fullmatch(request_id)
            or not REQUEST_INFO.fullmatch(info)
            or len(self.request.target) < 2
        ):
            self.origin.meter.counts["malformed"] += 1
            self.respond(400, b"")
        else:
            key = unquote_to_bytes(self.request.target[1:])
            self.origin.handle_request(self, self.request.method == b"PUT", key, request_id)

    def respond(self, status: int, body: bytes, not_started: bool = False) -> None:
        """Answer the request in progress, then go on with the next one or close the connection."""
        if self.transport.is_closing():
            return
        headers = [(b"Content-Length", b"%d" % len(body))]
        if not_started:
            headers.append((b"Not-Started", b"1"))
        send = self.connection.send
        response = send(h11.Response(status_code=status, headers=headers)) or b""
        response += send(h11.Data(data=body)) or b""
        response += send(h11.EndOfMessage()) or b""
        self.transport.write(response)
        if self.connection.our_state is h11.DONE and self.connection.their_state is h11.DONE:
            self.connection.start_next_cycle()
            if self.connection.trailing_data[0]:  # the next request has been received already
                self.origin.loop.call_soon(self._process_events)
        elif self.connection.our_state is not h11.SEND_RESPONSE:
            self.transport.close()


class Origin:
    """The one origin: slower than a cache server, with `CAPACITY_FACTOR` times its usual load as capacity."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.meter = Meter()
        self.rng = Random(f"origin {plan.seed}")
        self.connections: dict[RouterConnection, None] = {}
        requests = plan.experiment.requests
        share = min(1.0, requests.writes + (1 - requests.hits))
        self.capacity = CAPACITY_FACTOR * share * plan.experiment.fleet.real * requests.rate
        self.bucket = TokenBucket(self.loop.time())
        self.partitions = partitions(plan)
        self.loop_start = math.inf  # of the schedule, event loop time
        self.meter.gauges["connections"] = lambda: float(len(self.connections))

    def handle_request(
        self, connection: RouterConnection, write: bool, key: bytes, request_id: bytes
    ) -> None:
        """Answer a request after a random latency, with 503 past the capacity, never across a partition."""
        counts, now = self.meter.counts, self.loop.time()
        counts["requests"] += 1
        zone = zone_of_request(request_id, self.plan.experiment.fleet.zones)
        if is_partitioned(self.partitions, 0, zone, now - self.loop_start):  # the origin is in zone 0
            counts["cut"] += 1
        elif not self.bucket.try_take(now, self.capacity):
            counts["busy"] += 1
            connection.respond(503, b"", not_started=True)
        else:
            counts["writes" if write else "reads"] += 1
            median = LATENCY_FACTOR * self.plan.experiment.requests.latency_ms / 1e3
            delay = self.rng.lognormvariate(math.log(median), LATENCY_SIGMA)
            body = request_id + b" written" if write else make_value(request_id, key)
            self.loop.call_later(delay, connection.respond, 200, body)

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """Note the schedule's start; no fault changes the origin."""
        self.loop_start = self.loop.time()
        return []

    def role(self) -> Role:
        """Return the origin's figures."""
        metrics = {"cpu.share": self.meter.cpu()}
        for name in ("requests", "reads", "writes", "busy", "malformed", "cut", "handshakes"):
            metrics[name] = self.meter.rate(name)
        return Role(1, metrics, dict(self.meter.per_second))


async def run(
    plan: Plan, ready: Callable[[], None], schedule_start: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Run the origin until the schedule is over or `ended` is set, and return the role `origin`."""
    origin = Origin(plan)
    server = await origin.loop.create_server(
        lambda: RouterConnection(origin), *host_port(plan.addresses.origin()), reuse_address=True, backlog=256
    )
    ready()
    roles: dict[str, Role] = {}

    def finish() -> None:
        roles["origin"] = origin.role()

    try:
        await run_schedule(plan, schedule_start, ended, origin.meter, origin.scheduled_actions, finish=finish)
    finally:
        server.close()
        for connection in list(origin.connections):
            reset_connection(connection.transport)
    return roles
