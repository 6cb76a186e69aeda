"""The origin: reads and writes over HTTP/1.1 (PROTOCOL, Routers to cache servers)."""

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

SLOWER = 3.0  # than a cache server, usually
ROOM = 3.0  # times what comes while all cache servers are warm
PROBES = (b"/health/live", b"/stats")
INFO = re.compile(rb"[!-~]+")
MOST_BODY = 64 * 1024


class Link(asyncio.Protocol):
    """A connection of a router, one request at a time."""

    def __init__(self, origin: Origin) -> None:
        self.origin = origin
        self.connection = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.body = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.origin.links[self] = None
        self.origin.meter.counts["handshakes"] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.origin.links.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self.connection.receive_data(data)
        self._go_on()

    def _go_on(self) -> None:
        try:
            self._take()
        except h11.RemoteProtocolError:
            self.origin.meter.counts["malformed"] += 1
            self.transport.abort()

    def _take(self) -> None:
        while not self.transport.is_closing():
            event = self.connection.next_event()
            if isinstance(event, h11.Request):
                self.request, self.body = event, 0
            elif isinstance(event, h11.Data):
                self.body += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._begin()
            else:  # nothing whole yet, one in hand, or the end
                if isinstance(event, h11.ConnectionClosed):
                    self.transport.close()
                return

    def _begin(self) -> None:
        assert self.request is not None
        headers = dict(self.request.headers)
        identity, info = headers.get(b"request-id", b""), headers.get(b"request-info", b"")
        if self.request.target in PROBES:
            self.answer(200, b"ok")
        elif self.request.method not in (b"GET", b"PUT") or self.body > MOST_BODY:
            self.answer(400, b"")
        elif not REQUEST_ID.fullmatch(identity) or not INFO.fullmatch(info) or len(self.request.target) < 2:
            self.origin.meter.counts["malformed"] += 1
            self.answer(400, b"")
        else:
            key = unquote_to_bytes(self.request.target[1:])
            self.origin.take(self, self.request.method == b"PUT", key, identity)

    def answer(self, status: int, body: bytes, not_started: bool = False) -> None:
        """Answer the request in hand; the next one may come."""
        if self.transport.is_closing():
            return
        headers = [(b"Content-Length", b"%d" % len(body))]
        if not_started:
            headers.append((b"Not-Started", b"1"))
        send = self.connection.send
        out = send(h11.Response(status_code=status, headers=headers)) or b""
        out += send(h11.Data(data=body)) or b""
        out += send(h11.EndOfMessage()) or b""
        self.transport.write(out)
        if self.connection.our_state is h11.DONE and self.connection.their_state is h11.DONE:
            self.connection.start_next_cycle()
            if self.connection.trailing_data[0]:  # the next one has come meanwhile
                self.origin.loop.call_soon(self._go_on)
        elif self.connection.our_state is not h11.SEND_RESPONSE:
            self.transport.close()


class Origin:
    """One origin, slow, with a capacity of ROOM times its usual load."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.meter = Meter()
        self.random = Random(f"origin {plan.seed}")
        self.links: dict[Link, None] = {}
        requests = plan.experiment.requests
        share = min(1.0, requests.writes + (1 - requests.hits))
        self.capacity = ROOM * share * plan.experiment.fleet.real * requests.rate
        self.bucket = TokenBucket(self.loop.time())
        self.partitions = partitions(plan)
        self.zero = math.inf
        self.meter.gauges["connections"] = lambda: float(len(self.links))

    def take(self, link: Link, write: bool, key: bytes, identity: bytes) -> None:
        """Begin a request."""
        counts, now = self.meter.counts, self.loop.time()
        counts["requests"] += 1
        zone = zone_of_request(identity, self.plan.experiment.fleet.zones)
        if is_partitioned(self.partitions, 0, zone, now - self.zero):  # it stands in the first zone
            counts["cut"] += 1
        elif not self.bucket.try_take(now, self.capacity):
            counts["busy"] += 1
            link.answer(503, b"", not_started=True)
        else:
            counts["writes" if write else "reads"] += 1
            median = SLOWER * self.plan.experiment.requests.latency_ms / 1e3
            delay = self.random.lognormvariate(math.log(median), LATENCY_SIGMA)
            body = identity + b" written" if write else make_value(identity, key)
            self.loop.call_later(delay, link.answer, 200, body)

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        self.zero = self.loop.time()  # called as the schedule begins
        return []

    def role(self) -> Role:
        metrics = {"cpu.share": self.meter.cpu()}
        for name in ("requests", "reads", "writes", "busy", "malformed", "cut", "handshakes"):
            metrics[name] = self.meter.rate(name)
        return Role(1, metrics, dict(self.meter.per_second))


async def run(
    plan: Plan, ready: Callable[[], None], began: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Be the origin until the schedule is over or `ended`; answers with the role `origin`."""
    origin = Origin(plan)
    server = await origin.loop.create_server(
        lambda: Link(origin), *host_port(plan.addresses.origin()), reuse_address=True, backlog=256
    )
    ready()
    roles: dict[str, Role] = {}

    def finish() -> None:
        roles["origin"] = origin.role()

    try:
        await run_schedule(plan, began, ended, origin.meter, origin.scheduled_actions, finish=finish)
    finally:
        server.close()
        for link in list(origin.links):
            reset_connection(link.transport)
    return roles
