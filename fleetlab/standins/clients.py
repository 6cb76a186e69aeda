"""Stand-in for the clients and the load balancer in front of the real routers (PROTOCOL, Clients to routers).

The load is open-loop: requests start at random times whether earlier ones are answered or not, and their
latency counts from then. The first four digits of a request id are the router's number, from which other
stand-ins derive its zone.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from typing import Any

import hiredis

from fleetlab.plan import Plan, router_settings
from fleetlab.results import Metric, Role
from fleetlab.standins.lifecycle import Meter, TimedAction, host_port, percentiles, run_schedule
from fleetlab.standins.schedule import router_outages

MAX_RETRIES = 2  # after BUSY
RETRY_DELAY_S = 0.05  # if BUSY names no delay
MAX_CONNECTIONS = 300  # to a router; clients use at most a third of its descriptors
DIAL_TIMEOUT_S = 1.0
FAILURE_DETECTION_S = 2.0  # until the load balancer takes a router that refuses connections out of rotation
DEREGISTRATION_S = 0.3  # from SIGTERM of a planned restart until a router gets no new connections
HEALTH_CHECK_PAUSE_S = 1.0  # from that SIGTERM until the next health check
HEALTH_CHECK_INTERVAL_S = 0.1
# a kept connection that ends within this time after a request may have been closed before the request arrived
CLOSE_RACE_S = 0.05
WRITE_VALUE = b"v" * 200
INCOMPLETE = object()


@dataclass(slots=True)
class Request:
    """One request with all its attempts."""

    request_class: dict[str, Any]  # from the settings
    key: bytes
    created_at: float  # event loop time
    idempotency_key: bytes = b""  # of a write; empty for a read
    attempt_ids: list[bytes] = field(default_factory=list)

    def command(self, time_left: float) -> bytes:
        """Return the encoded command of the latest attempt."""
        fields = b"c=%b,d=%d" % (self.request_class["name"].encode(), max(1, int(time_left * 1000)))
        parts: tuple[Any, ...] = (b"C.GET", self.key, self.attempt_ids[-1], fields)
        if self.idempotency_key:
            parts = (
                b"C.SET",
                self.key,
                self.attempt_ids[-1],
                fields + b",k=" + self.idempotency_key,
                WRITE_VALUE,
            )
        return bytes(hiredis.pack_command(parts))


class ClientConnection(asyncio.Protocol):
    """A client's connection to a router, with one command at a time."""

    def __init__(self, router: RouterEndpoint) -> None:
        self.router = router
        self.reader = hiredis.Reader(notEnoughData=INCOMPLETE)
        # type of the response, because the parser does not distinguish kinds of strings
        self.first_byte = b""
        self.pending_reply: asyncio.Future[tuple[bytes, Any] | None] | None = None
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.router.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and end a command in flight without a response."""
        self.is_closed = True
        self.router.connections.discard(self)
        if self in self.router.idle:
            self.router.idle.remove(self)
        if self.pending_reply is not None and not self.pending_reply.done():
            self.pending_reply.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Parse the response; one that is malformed or belongs to no command aborts the connection."""
        self.first_byte = self.first_byte or data[:1]
        self.reader.feed(data)
        try:
            message = self.reader.gets()
        except hiredis.ProtocolError:
            self.transport.abort()
            return
        if message is INCOMPLETE:
            return
        if self.pending_reply is None or self.pending_reply.done():  # no command is in flight
            self.router.clients.meter.counts["unasked"] += 1
            self.transport.abort()
            return
        self.pending_reply.set_result((self.first_byte, message))

    async def send(self, command: bytes, time_left: float) -> tuple[bytes, Any] | None:
        """Send a command and return its response's first byte and the response; None if the connection ends.

        Raises TimeoutError after `time_left` seconds.
        """
        self.first_byte = b""
        self.pending_reply = asyncio.get_running_loop().create_future()
        self.transport.write(command)
        try:
            async with asyncio.timeout(time_left):
                return await self.pending_reply
        finally:
            if (
                not self.pending_reply.done()
                or self.pending_reply.cancelled()
                or self.pending_reply.result() is None
            ):
                self.transport.abort()  # a client that gives up closes its connection


class RouterEndpoint:
    """A router as the clients and the load balancer see it."""

    def __init__(self, clients: Clients, number: int) -> None:
        self.clients = clients
        self.number = number
        self.address = host_port(clients.plan.addresses.client_listen(number))
        self.connections: set[ClientConnection] = set()
        self.idle: list[ClientConnection] = []
        self.open_dials = 0
        self.healthy = asyncio.Event()  # set while the load balancer assigns new connections to it
        self.checks_paused_until = 0.0  # event loop time
        self.failure_suspected = False

    async def dial(self) -> ClientConnection:
        """Open a connection. Raises OSError; a time-out is one."""
        self.open_dials += 1
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                created = await self.clients.loop.create_connection(
                    lambda: ClientConnection(self), *self.address
                )
                return created[1]
        finally:
            self.open_dials -= 1

    async def check_health(self) -> None:
        """Send PING to a router that is out of rotation, and put it back once it answers; never returns."""
        while True:
            if not self.healthy.is_set() and self.clients.loop.time() >= self.checks_paused_until:
                with suppress(OSError):  # includes TimeoutError
                    connection = await self.dial()
                    response = await connection.send(b"*1\r\n$4\r\nPING\r\n", DIAL_TIMEOUT_S)
                    connection.transport.close()
                    if response == (b"+", b"PONG"):
                        self.healthy.set()
                        self.failure_suspected = False
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    def report_refused(self) -> None:
        """Take the router out of rotation after `FAILURE_DETECTION_S`, as it refused a connection."""
        if not self.failure_suspected and self.healthy.is_set():
            self.failure_suspected = True
            self.clients.loop.call_later(FAILURE_DETECTION_S, self.healthy.clear)

    def deregister(self) -> None:
        """Take the router out of rotation for a planned restart, and pause its health checks."""
        self.healthy.clear()
        self.checks_paused_until = self.clients.loop.time() + HEALTH_CHECK_PAUSE_S - DEREGISTRATION_S


class Clients:
    """All clients of all real routers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.meter = Meter()
        self.rng = Random(f"clients {plan.seed}")
        requests = plan.experiment.requests
        self.classes = {c["name"]: c for c in router_settings(plan.experiment, 0)["classes"]}
        self.cumulative_weights = list(accumulate(1 / (n + 1) ** requests.zipf for n in range(requests.keys)))
        self.routers = [RouterEndpoint(self, n) for n in range(plan.experiment.fleet.real)]
        self.tasks: set[asyncio.Task[None]] = set()
        self.latencies: list[float] = []
        self.meter.gauges["connections"] = lambda: float(sum(len(r.connections) for r in self.routers))

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine in the background until it ends or the clients are closed."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def new_request(self, created_at: float) -> Request:
        """Return a random request: a read, or a write of class `book` (two of three) or `lock`."""
        key = (
            b"k%d"
            % self.rng.choices(range(len(self.cumulative_weights)), cum_weights=self.cumulative_weights)[0]
        )
        if self.rng.random() >= self.plan.experiment.requests.writes:
            return Request(self.classes["read"], key, created_at)
        request_class = self.classes["book" if self.rng.random() < 2 / 3 else "lock"]
        return Request(request_class, key, created_at, b"%016x" % self.rng.getrandbits(64))

    async def send_requests(self, router: RouterEndpoint, start: float) -> None:
        """Start a router's requests at random times, at the mean rate of the experiment."""
        rate, seconds = self.plan.experiment.requests.rate, self.plan.experiment.seconds
        if rate <= 0:
            return
        loop_start = self.loop.time() + start - time.time()
        at = self.rng.expovariate(rate)
        while at < seconds:
            await asyncio.sleep(max(0.0, loop_start + at - self.loop.time()))
            self.spawn(self.run_request(self.choose_router(router), self.new_request(loop_start + at)))
            at += self.rng.expovariate(rate)

    def choose_router(self, router: RouterEndpoint) -> RouterEndpoint:
        """Return the router, or a random healthy one while it is out of rotation."""
        if router.healthy.is_set():
            return router
        return self.rng.choice([r for r in self.routers if r.healthy.is_set()] or [router])

    async def run_request(self, router: RouterEndpoint, request: Request) -> None:
        """Attempt a request until it is answered, refused too often or timed out, and count the result."""
        self.meter.counts["requests"] += 1
        deadline = request.created_at + request.request_class["giveUp"]
        result = "failed"
        for _ in range(1 + MAX_RETRIES):
            request.attempt_ids.append(b"%04x%012x" % (router.number, self.rng.getrandbits(48)))
            try:
                response = await self.attempt(router, request, deadline)
            except TimeoutError:
                self.meter.counts["timeouts"] += 1
                break
            delay_s = self.retry_delay_s(response)
            if delay_s is None:
                result = self.classify(request, response)
                break
            self.meter.counts["busy"] += 1
            if self.loop.time() + delay_s >= deadline:
                break
            await asyncio.sleep(delay_s)
            router = self.choose_router(router)
        self.meter.counts[result] += 1

    async def attempt(
        self, router: RouterEndpoint, request: Request, deadline: float
    ) -> tuple[bytes, Any] | None:
        """Make one attempt; if the router closed a kept connection just before it, send it on a new one.

        An attempt of effect `single_shot` is not sent again. Returns None if there is no response. Raises
        TimeoutError at `deadline`.
        """
        for is_resend in (False, True):
            is_reused = bool(router.idle) and not is_resend
            if not is_reused and len(router.connections) + router.open_dials >= MAX_CONNECTIONS:
                self.meter.counts["overfull"] += 1
                return None
            try:
                connection = router.idle.pop() if is_reused else await router.dial()
            except OSError as e:
                self.meter.counts["unreachable"] += 1
                if not isinstance(e, TimeoutError):
                    router.report_refused()
                return None
            sent_at = self.loop.time()
            if sent_at >= deadline:
                router.idle.append(connection)
                raise TimeoutError
            response = await connection.send(request.command(deadline - sent_at), deadline - sent_at)
            if response is not None:
                if not connection.is_closed:
                    router.idle.append(connection)
                return response
            self.meter.counts["resets"] += 1
            close_raced = (
                is_reused and not connection.first_byte and self.loop.time() - sent_at < CLOSE_RACE_S
            )
            if not close_raced or request.request_class["effect"] == "single_shot":
                return None
        return None

    def retry_delay_s(self, response: tuple[bytes, Any] | None) -> float | None:
        """Return the delay before a retry, which BUSY may name; None if the response is not BUSY."""
        if response is None or not isinstance(response[1], hiredis.ReplyError):
            return None
        words = str(response[1]).split()
        if words[:1] != ["BUSY"]:
            return None
        delay_s = int(words[1]) / 1000 if len(words) > 1 and words[1].isdigit() else RETRY_DELAY_S
        max_delay_s: float = 2.0  # limits.maxRetryAfter of the settings
        return min(max_delay_s, delay_s)

    def classify(self, request: Request, response: tuple[bytes, Any] | None) -> str:
        """Return `served`, `late` or `failed`; a response that was made for another request is a failure."""
        if response is None:
            return "failed"
        first_byte, value = response
        if first_byte == b"*" and isinstance(value, list) and value:
            value = value[0]
        if first_byte not in (b"$", b"*") or not isinstance(value, bytes):
            return "failed"
        if not value.startswith(tuple(request.attempt_ids)):
            self.meter.counts["foreign"] += 1
            return "failed"
        latency_s = self.loop.time() - request.created_at
        self.latencies.append(latency_s)
        return "served" if latency_s <= request.request_class["aim"] else "late"

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """Start the requests of all routers, and return the deregistrations before planned restarts."""
        for router in self.routers:
            self.spawn(self.send_requests(router, start))
        restarts = [
            o for o in router_outages(self.plan) if o.kind == "restart" and o.router < len(self.routers)
        ]
        return [(o.start + DEREGISTRATION_S, self.routers[o.router].deregister) for o in restarts]

    def role(self) -> Role:
        """Return the clients' figures, including late responses after the schedule to requests within it."""
        meter, counts = self.meter, self.meter.counts
        completed = [counts[name] for name in ("served", "late", "failed")]
        total = int(sum(completed))
        metrics = {"cpu.share": meter.cpu(), "requests": meter.rate("requests")}
        for name, value in zip(("served", "late", "failed"), completed, strict=True):
            metrics[name] = Metric(value / total if total else 0.0, "share", count=total)
        for name in ("foreign", "unasked", "busy", "timeouts", "unreachable", "resets", "overfull"):
            metrics[name] = Metric(counts[name], "events")
        metrics["open"] = Metric(counts["requests"] - total, "requests")
        metrics |= percentiles("latency", self.latencies, (50, 95, 99))
        return Role(len(self.routers), metrics, dict(meter.per_second))

    def close(self) -> None:
        """Cancel all requests and health checks, and abort all connections."""
        for task in list(self.tasks):
            task.cancel()
        for router in self.routers:
            for connection in list(router.connections):
                connection.transport.abort()


async def run(
    plan: Plan, ready: Callable[[], None], schedule_start: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Run the clients until the schedule is over or `ended` is set, and return the role `clients`.

    They are ready once all real routers are, or after `settle` seconds. A router gets requests once it has
    answered PING.
    """
    clients = Clients(plan)
    for router in clients.routers:
        clients.spawn(router.check_health())
    deadline = clients.loop.time() + plan.experiment.settle
    while not ended.is_set() and clients.loop.time() < deadline:
        if all(r.healthy.is_set() for r in clients.routers):
            break
        await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
    ready()
    try:
        await run_schedule(plan, schedule_start, ended, clients.meter, clients.scheduled_actions)
        return {"clients": clients.role()} if clients.meter.elapsed_s else {}
    finally:
        clients.close()
