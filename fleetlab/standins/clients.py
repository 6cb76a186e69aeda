"""Clients of the real routers, and the front that hands out connections (PROTOCOL, Clients to routers).

Requests come at their times whether earlier ones are answered or not, and their times count from then. The
first four digits of an id are the number of the router asked, so that other stand-ins can tell its zone.
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

from fleetlab.plan import Plan, settings_of
from fleetlab.results import Metric, Role
from fleetlab.standins.lifecycle import Meter, TimedAction, host_port, percentiles, run_schedule
from fleetlab.standins.schedule import router_outages

RETRIES = 2  # after a refusal
PAUSE = 0.05  # before a retry, where the refusal names no time
MOST_LINKS = 300  # of a router: clients hold at most a third of its descriptors
DIAL = 1.0  # seconds
NOTICED = 2.0  # seconds until the front takes out a router that refuses connections
HANDED = 0.3  # seconds for which a router that is told to end still gets new connections
AFTER_END = 1.0  # seconds after that word until the front asks again whether it is up
ASK_AGAIN = 0.1  # seconds between PINGs
CROSSED = 0.05  # seconds in which a close can have crossed a request on a kept connection
VALUE = b"v" * 200
NOT_YET = object()


@dataclass(slots=True)
class Request:
    """One request, with all its tries; times on the loop's clock."""

    kind: dict[str, Any]  # its class, from the settings
    key: bytes
    born: float
    token: bytes = b""  # the idempotency key of a write
    ids: list[bytes] = field(default_factory=list)

    def command(self, left: float) -> bytes:
        """The last try's bytes."""
        info = b"c=%b,d=%d" % (self.kind["name"].encode(), max(1, int(left * 1000)))
        parts: tuple[Any, ...] = (b"C.GET", self.key, self.ids[-1], info)
        if self.token:
            parts = (b"C.SET", self.key, self.ids[-1], info + b",k=" + self.token, VALUE)
        return bytes(hiredis.pack_command(parts))


class Link(asyncio.Protocol):
    """A client's connection, with one command at a time."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.reader = hiredis.Reader(notEnoughData=NOT_YET)
        self.kind = b""  # the first byte of the answer: the parser does not tell strings apart
        self.reply: asyncio.Future[tuple[bytes, Any] | None] | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.router.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.router.links.discard(self)
        if self in self.router.idle:
            self.router.idle.remove(self)
        if self.reply is not None and not self.reply.done():
            self.reply.set_result(None)

    def data_received(self, data: bytes) -> None:
        self.kind = self.kind or data[:1]
        self.reader.feed(data)
        try:
            message = self.reader.gets()
        except hiredis.ProtocolError:
            self.transport.abort()
            return
        if message is NOT_YET:
            return
        if self.reply is None or self.reply.done():  # nobody asked
            self.router.clients.meter.counts["unasked"] += 1
            self.transport.abort()
            return
        self.reply.set_result((self.kind, message))

    async def ask(self, command: bytes, left: float) -> tuple[bytes, Any] | None:
        """The answer's first byte and the answer; None where the connection ends. Raises TimeoutError."""
        self.kind = b""
        self.reply = asyncio.get_running_loop().create_future()
        self.transport.write(command)
        try:
            async with asyncio.timeout(left):
                return await self.reply
        finally:
            if not self.reply.done() or self.reply.cancelled() or self.reply.result() is None:
                self.transport.abort()  # this client has gone away


class Router:
    """A router as its clients see it."""

    def __init__(self, clients: Clients, number: int) -> None:
        self.clients = clients
        self.number = number
        self.address = host_port(clients.plan.addresses.clients(number))
        self.links: set[Link] = set()
        self.idle: list[Link] = []
        self.dials = 0
        self.usable = asyncio.Event()  # the front hands out connections to it
        self.quiet_until = 0.0  # on the loop's clock, before which the front does not ask for it
        self.doubted = False

    async def dial(self) -> Link:
        self.dials += 1
        try:
            async with asyncio.timeout(DIAL):
                made = await self.clients.loop.create_connection(lambda: Link(self), *self.address)
                return made[1]
        finally:
            self.dials -= 1

    async def tend(self) -> None:
        """Ask a router that is out whether it is up."""
        while True:
            if not self.usable.is_set() and self.clients.loop.time() >= self.quiet_until:
                with suppress(OSError):  # a time-out is one
                    link = await self.dial()
                    answer = await link.ask(b"*1\r\n$4\r\nPING\r\n", DIAL)
                    link.transport.close()
                    if answer == (b"+", b"PONG"):
                        self.usable.set()
                        self.doubted = False
            await asyncio.sleep(ASK_AGAIN)

    def refused(self) -> None:
        """A connection has been refused: the front will notice."""
        if not self.doubted and self.usable.is_set():
            self.doubted = True
            self.clients.loop.call_later(NOTICED, self.usable.clear)

    def ends(self) -> None:
        """It has been told to end, and the front knows."""
        self.usable.clear()
        self.quiet_until = self.clients.loop.time() + AFTER_END - HANDED


class Clients:
    """All clients of all real routers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.meter = Meter()
        self.random = Random(f"clients {plan.seed}")
        requests = plan.experiment.requests
        self.kinds = {c["name"]: c for c in settings_of(plan.experiment, 0)["classes"]}
        self.shares = list(accumulate(1 / (n + 1) ** requests.zipf for n in range(requests.keys)))
        self.routers = [Router(self, n) for n in range(plan.experiment.fleet.real)]
        self.tasks: set[asyncio.Task[None]] = set()
        self.times: list[float] = []
        self.meter.gauges["connections"] = lambda: float(sum(len(r.links) for r in self.routers))

    def spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def make(self, born: float) -> Request:
        """A new request."""
        key = b"k%d" % self.random.choices(range(len(self.shares)), cum_weights=self.shares)[0]
        if self.random.random() >= self.plan.experiment.requests.writes:
            return Request(self.kinds["read"], key, born)
        kind = self.kinds["book" if self.random.random() < 2 / 3 else "lock"]
        return Request(kind, key, born, b"%016x" % self.random.getrandbits(64))

    async def stream(self, router: Router, start: float) -> None:
        """A router's requests, at their times."""
        rate, seconds = self.plan.experiment.requests.rate, self.plan.experiment.seconds
        if rate <= 0:
            return
        zero = self.loop.time() + start - time.time()
        at = self.random.expovariate(rate)
        while at < seconds:
            await asyncio.sleep(max(0.0, zero + at - self.loop.time()))
            self.spawn(self.play(self.choose(router), self.make(zero + at)))
            at += self.random.expovariate(rate)

    def choose(self, router: Router) -> Router:
        """The router, or one of the others while the front has taken it out."""
        if router.usable.is_set():
            return router
        return self.random.choice([r for r in self.routers if r.usable.is_set()] or [router])

    async def play(self, router: Router, request: Request) -> None:
        """Ask until it is answered, refused too often or its time is over; count how it went."""
        self.meter.counts["requests"] += 1
        end = request.born + request.kind["giveUp"]
        how = "failed"
        for _ in range(1 + RETRIES):
            request.ids.append(b"%04x%012x" % (router.number, self.random.getrandbits(48)))
            try:
                answer = await self.ask(router, request, end)
            except TimeoutError:
                self.meter.counts["timeouts"] += 1
                break
            pause = self.pause(answer)
            if pause is None:
                how = self.judge(request, answer)
                break
            self.meter.counts["busy"] += 1
            if self.loop.time() + pause >= end:
                break
            await asyncio.sleep(pause)
            router = self.choose(router)
        self.meter.counts[how] += 1

    async def ask(self, router: Router, request: Request, end: float) -> tuple[bytes, Any] | None:
        """One try, sent once more where a close on a kept connection crossed it. Raises TimeoutError."""
        for again in (False, True):
            kept = bool(router.idle) and not again
            if not kept and len(router.links) + router.dials >= MOST_LINKS:
                self.meter.counts["overfull"] += 1
                return None
            try:
                link = router.idle.pop() if kept else await router.dial()
            except OSError as e:
                self.meter.counts["unreachable"] += 1
                if not isinstance(e, TimeoutError):
                    router.refused()
                return None
            sent = self.loop.time()
            if sent >= end:
                router.idle.append(link)
                raise TimeoutError
            answer = await link.ask(request.command(end - sent), end - sent)
            if answer is not None:
                if not link.lost:
                    router.idle.append(link)
                return answer
            self.meter.counts["resets"] += 1
            crossed = kept and not link.kind and self.loop.time() - sent < CROSSED
            if not crossed or request.kind["effect"] == "single_shot":
                return None
        return None

    def pause(self, answer: tuple[bytes, Any] | None) -> float | None:
        """How long to wait before the next try; None where the answer is no refusal."""
        if answer is None or not isinstance(answer[1], hiredis.ReplyError):
            return None
        words = str(answer[1]).split()
        if words[:1] != ["BUSY"]:
            return None
        told = int(words[1]) / 1000 if len(words) > 1 and words[1].isdigit() else PAUSE
        longest: float = 2.0  # limits.maxRetryAfter of the settings
        return min(longest, told)

    def judge(self, request: Request, answer: tuple[bytes, Any] | None) -> str:
        """Served, late or failed; an answer counts only if it was made for this request."""
        if answer is None:
            return "failed"
        first, value = answer
        if first == b"*" and isinstance(value, list) and value:
            value = value[0]
        if first not in (b"$", b"*") or not isinstance(value, bytes):
            return "failed"
        if not value.startswith(tuple(request.ids)):
            self.meter.counts["foreign"] += 1
            return "failed"
        took = self.loop.time() - request.born
        self.times.append(took)
        return "served" if took <= request.kind["aim"] else "late"

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """Begin all streams; the front knows of planned restarts."""
        for router in self.routers:
            self.spawn(self.stream(router, start))
        ends = [a for a in router_outages(self.plan) if a.kind == "restart" and a.router < len(self.routers)]
        return [(a.start + HANDED, self.routers[a.router].ends) for a in ends]

    def role(self) -> Role:
        """Also what was answered after the schedule, of what was asked within it."""
        meter, counts = self.meter, self.meter.counts
        done = [counts[name] for name in ("served", "late", "failed")]
        total = int(sum(done))
        metrics = {"cpu.share": meter.cpu(), "requests": meter.rate("requests")}
        for name, value in zip(("served", "late", "failed"), done, strict=True):
            metrics[name] = Metric(value / total if total else 0.0, "share", count=total)
        for name in ("foreign", "unasked", "busy", "timeouts", "unreachable", "resets", "overfull"):
            metrics[name] = Metric(counts[name], "events")
        metrics["open"] = Metric(counts["requests"] - total, "requests")
        metrics |= percentiles("latency", self.times, (50, 95, 99))
        return Role(len(self.routers), metrics, dict(meter.per_second))

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for router in self.routers:
            for link in list(router.links):
                link.transport.abort()


async def run(
    plan: Plan, ready: Callable[[], None], began: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Be the clients until the schedule is over or `ended`; answers with the role `clients`.

    They are ready once all real routers are, or after `settle`: a router is used from its first +PONG on.
    """
    clients = Clients(plan)
    for router in clients.routers:
        clients.spawn(router.tend())
    limit = clients.loop.time() + plan.experiment.settle
    while not ended.is_set() and clients.loop.time() < limit:
        if all(r.usable.is_set() for r in clients.routers):
            break
        await asyncio.sleep(ASK_AGAIN)
    ready()
    try:
        await run_schedule(plan, began, ended, clients.meter, clients.scheduled_actions)
        return {"clients": clients.role()} if clients.meter.elapsed_s else {}
    finally:
        clients.close()
