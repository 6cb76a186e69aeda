"""Discovery: the list of servers and watches on its changes (PROTOCOL, Discovery).

Every router has an address of its own to ask at, so that calls can be told apart. A call that begins a watch
or asks for the list is served in turn; one that continues a watch costs no turn. While it is down its
listening sockets are closed, so that connections are refused.

Bytes are those of HTTP, from the router's side: `bytes.in.discovery` is what a router was sent.
"""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time
from array import array
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import orjson

from fleetlab.plan import Plan, first_list
from fleetlab.results import Metric, Role
from fleetlab.standins.lifecycle import (
    Meter,
    TimedAction,
    host_port,
    mean_with_range,
    percentiles,
    reset_connection,
    run_schedule,
)
from fleetlab.standins.schedule import (
    PROPAGATION_S,
    ListChange,
    RouterOutage,
    discovery_downtimes,
    list_changes,
    router_outages,
)

CONTINUES = 0.2  # seconds after an answer within which the next call goes on with the watch
LAPSED = 2.0  # seconds within which a call that is too late for that is counted as such
LONGEST_WAIT = 60.0
KEPT = 256  # versions back from which changes are told; a longer gap gets the whole list
LONGEST_HEAD = 8192
BACKLOG = 16
REQUEST = re.compile(rb"GET (/[^ ?]*)(?:\?([^ ]*))? HTTP/1\.([01])\r\n")
TARGET = b"/registry/instances"
# where the kernel tells how many milliseconds ago the last data came (struct tcp_info, linux/tcp.h)
LAST_DATA_RECEIVED = 52


def respond(status: bytes, body: bytes, close: bool) -> bytes:
    """A whole response."""
    connection = b"close" if close else b"keep-alive"
    head = b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: %b\r\n\r\n"
    return head % (status, len(body), connection) + body


class Versions:
    """The list, its versions, and the answers to calls, each encoded once."""

    def __init__(self, plan: Plan) -> None:
        message = first_list(plan)
        self.index: int = message["index"]
        self.oldest = self.index  # from which on changes can be told
        self.entries: dict[str, dict[str, Any]] = {e["name"]: e for e in message["endpoints"]}
        self.changes: dict[int, ListChange] = {}
        self.had: dict[int, float] = {}  # Unix time of each version
        self.encoded: dict[int | None, tuple[bytes, int]] = {}

    def publish(self, change: ListChange) -> None:
        """The next version."""
        self.index += 1
        self.had[self.index] = time.time()
        self.changes[self.index] = change
        self.oldest = max(self.oldest, self.index - KEPT)
        for entry in change.entries:
            if entry["status"] == "terminated":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
        self.encoded.clear()

    def news(self, after: int) -> bool:
        """Whether a watch from this version on has something to tell."""
        return after != self.index

    def body(self, after: int | None) -> tuple[bytes, int]:
        """The answer to a call and how many entries it holds; None asks for the whole list."""
        known = self.encoded.get(after)
        if known is not None:
            return known
        whole = after is None or not self.oldest <= after <= self.index
        changed: dict[str, dict[str, Any]] = self.entries
        if after is not None and not whole:
            versions = range(after + 1, self.index + 1)
            changed = {e["name"]: e for v in versions for e in self.changes[v].entries}
        message = {"index": self.index, "snapshot": whole, "endpoints": list(changed.values())}
        self.encoded[after] = orjson.dumps(message), len(changed)
        return self.encoded[after]


class Link(asyncio.Protocol):
    """A connection of a router, which has one call in hand at a time."""

    def __init__(self, service: Service, router: int) -> None:
        self.service = service
        self.router = router
        self.buffer = b""
        self.after: int | None = None
        self.wait = 0.0
        self.arrived = 0.0  # on the loop's clock
        self.close = False
        self.busy = False
        self.gone = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.service.links[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        if self.timer is not None:
            self.timer.cancel()
        self.service.links.pop(self, None)
        self.service.watches.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self.service.bytes_out[self.router] += len(data)
        self.buffer += data
        self._next()

    def _next(self) -> None:
        end = self.buffer.find(b"\r\n\r\n")
        if self.busy or self.transport.is_closing():
            return
        if end < 0:
            if len(self.buffer) > LONGEST_HEAD:
                self.refuse(b"431 Request Header Fields Too Large")
            return
        head, self.buffer = self.buffer[: end + 2], self.buffer[end + 4 :]
        request = REQUEST.match(head)
        if request is None:
            self.refuse(b"400 Bad Request")
            return
        lower = head.lower()
        self.close = b"\r\nconnection: close\r\n" in lower or request[3] == b"0"
        if request[1] != TARGET:
            self.refuse(b"404 Not Found")
            return
        try:
            asked = dict(pair.split(b"=", 1) for pair in request[2].split(b"&")) if request[2] else {}
            self.after = int(asked[b"after"]) if b"after" in asked else None
            self.wait = min(LONGEST_WAIT, int(asked.get(b"wait_ms", b"0")) / 1000)
        except ValueError:
            self.refuse(b"400 Bad Request")
            return
        self.busy = True
        self.service.call(self)

    def refuse(self, status: bytes) -> None:
        self.close = True
        self.service.meter.counts["calls.malformed"] += 1
        self.send(status, b"")

    def send(self, status: bytes, body: bytes) -> None:
        """Answer the call in hand; the next one may come."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        data = respond(status, body, self.close)
        self.service.bytes_in[self.router] += len(data)
        self.transport.write(data)
        self.busy = False
        if self.close:
            self.transport.close()
        elif self.buffer:
            self._next()

    def since_arrival(self) -> float:
        """Seconds since the kernel got the call: our own delay must not end a watch."""
        info = self.transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
        return float(struct.unpack_from("I", info, LAST_DATA_RECEIVED)[0]) / 1000


class Service:
    """One discovery for all routers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.capacity = plan.experiment.discovery
        self.meter = Meter()
        self.loop = asyncio.get_running_loop()
        self.versions = Versions(plan)
        self.listening: list[asyncio.Server] = []
        self.opening: asyncio.Task[None] | None = None
        self.links: dict[Link, None] = {}
        self.watches: dict[Link, None] = {}  # that wait for news
        self.queue: deque[Link] = deque()  # of calls to be served in turn
        self.most_waiting = 0
        self.start_waiting = 0
        self.free_at = 0.0  # when the call in service is done, on the loop's clock
        self.turn: asyncio.TimerHandle | None = None
        count = plan.routers()
        self.answered = [float("-inf")] * count  # when each router's watch was last answered
        self.told = [self.versions.index] * count
        self.heard = bytearray(count)  # 1: has called
        self.bytes_in = [0] * count
        self.bytes_out = [0] * count
        self.force = array("d")
        self.missed = 0
        self.start = 0.0
        self.absences: dict[int, list[RouterOutage]] = {}
        self.meter.gauges["calls.waiting"] = lambda: float(len(self.queue))

    async def up(self) -> None:
        """Take calls at every router's address."""
        for router in range(self.plan.routers()):
            server = await self.loop.create_server(
                lambda router=router: Link(self, router),  # type: ignore[misc]
                *host_port(self.plan.addresses.discovery(router)),
                reuse_address=True,
                backlog=BACKLOG,
            )
            self.listening.append(server)

    def down(self) -> None:
        """Refuse connections and reset the open ones; watches and the queue are lost."""
        if self.opening is not None:
            self.opening.cancel()
        for server in self.listening:
            server.close()
        self.listening.clear()
        self.meter.counts["calls.failed"] += sum(link.busy for link in self.links)
        for link in list(self.links):
            link.gone = True
            reset_connection(link.transport)
        self.watches.clear()
        self.queue.clear()
        self.answered = [float("-inf")] * len(self.answered)

    def back(self) -> None:
        self.opening = self.loop.create_task(self.up())

    def call(self, link: Link) -> None:
        """A call has come."""
        self.heard[link.router] = 1
        self.meter.counts["calls"] += 1
        now = self.loop.time()
        link.arrived = now
        if link.after is not None:
            since = now - self.answered[link.router]
            if since > CONTINUES and since < LAPSED:
                since -= link.since_arrival()
            if since <= CONTINUES:
                self.answer(link)
                return
            # many routers in one process can be too late by the process's fault: to be seen in the figures
            self.meter.counts["calls.lapsed"] += since < LAPSED
        self.meter.counts["calls.turn"] += 1
        self.queue.append(link)
        self.most_waiting = max(self.most_waiting, len(self.queue))
        self._serve()

    def _serve(self) -> None:
        """Serve whose turn it is; one that has waited too long, in turn or in service, is ended with 503.

        The clock of service runs on by itself, so that the loop's own granularity costs no capacity.
        """
        if self.turn is not None:
            self.turn.cancel()
            self.turn = None
        now, limit = self.loop.time(), self.capacity.timeout
        while self.queue:
            link = self.queue[0]
            begins, overdue = max(self.free_at, link.arrived), link.arrived + limit
            if not link.gone and min(begins, overdue) > now:
                self.turn = self.loop.call_at(min(begins, overdue), self._serve)
                return
            self.queue.popleft()
            if link.gone:
                continue
            if begins >= overdue:
                self.fail(link)
                continue
            lines = 0
            if link.after is None or self.versions.news(link.after):
                lines = self.versions.body(link.after)[1]
            self.free_at = begins + self.capacity.call_ms / 1e3 + lines * self.capacity.line_us / 1e6
            done = self.answer if self.free_at <= overdue else self.fail  # the work is lost
            self.loop.call_at(min(self.free_at, overdue), done, link)

    def fail(self, link: Link) -> None:
        if not link.gone:
            self.meter.counts["calls.failed"] += 1
            self.answered[link.router] = float("-inf")
            link.send(b"503 Service Unavailable", b"")

    def answer(self, link: Link) -> None:
        """Answer, or let a watch wait for news."""
        if link.gone:
            return
        left = link.arrived + link.wait - self.loop.time()
        if link.after is not None and not self.versions.news(link.after) and left > 0:
            self.watches[link] = None
            link.timer = self.loop.call_later(left, self._tell, link)
        else:
            self._tell(link)

    def _tell(self, link: Link) -> None:
        self.watches.pop(link, None)
        router, index = link.router, self.versions.index
        if link.after is not None:
            self.answered[router] = self.loop.time()
        if not link.transport.is_closing():
            link.send(b"200 OK", self.versions.body(link.after)[0])
            self._note(router, index)

    def _note(self, router: int, index: int) -> None:
        """The router has been written all up to a version."""
        told, now = self.told[router], time.time()
        if index <= told:
            return
        self.told[router] = index
        for version in range(told + 1, index + 1):
            had = self.versions.had[version]
            if not self.absent(router, had, now):
                self.force.append(now - had)

    def absent(self, router: int, start: float, end: float) -> bool:
        """Whether a router was gone at any time between."""
        gone = self.absences.get(router, ())
        return any(self.start + a.start <= end and start <= self.start + a.end for a in gone)

    def publish(self, change: ListChange) -> None:
        self.versions.publish(change)
        for link in list(self.watches):
            self._tell(link)

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """What happens in the schedule, from its Unix time."""
        self.start = start
        plan = msgspec.structs.replace(self.plan, began=start)
        for absence in router_outages(plan):
            self.absences.setdefault(absence.router, []).append(absence)
        self.start_waiting, self.most_waiting = self.most_waiting, len(self.queue)
        self.bytes_in, self.bytes_out = [0] * len(self.told), [0] * len(self.told)
        steps: list[TimedAction] = []
        for change in list_changes(plan):
            steps.append((change.at, lambda change=change: self.publish(change)))  # type: ignore[misc]
        for down, up in discovery_downtimes(plan):
            steps += [(down, self.down), (up, self.back)]
        return steps

    def finish(self) -> None:
        """Close the account: news that a router was never written count with the time until now."""
        now = time.time()
        for router, told in enumerate(self.told):
            for version in range(told + 1, self.versions.index + 1):
                had = self.versions.had[version]
                if self.heard[router] and now - had > PROPAGATION_S and not self.absent(router, had, now):
                    self.missed += 1
                    self.force.append(now - had)
        self.role = self._role()

    def _role(self) -> Role:
        meter, elapsed_s = self.meter, self.meter.elapsed_s or 1.0
        metrics = {
            "cpu.share": meter.cpu(),
            "calls": meter.rate("calls"),
            "calls.turn": meter.rate("calls.turn"),
            "calls.failed": meter.rate("calls.failed"),
            "calls.waiting": Metric(float(self.most_waiting), "calls"),
            "calls.lapsed": meter.rate("calls.lapsed"),
            "calls.malformed": meter.rate("calls.malformed"),
            "start.calls": Metric(meter.startup_totals.get("calls", 0.0), "calls"),
            "start.calls.turn": Metric(meter.startup_totals.get("calls.turn", 0.0), "calls"),
            "start.calls.failed": Metric(meter.startup_totals.get("calls.failed", 0.0), "calls"),
            "start.calls.waiting": Metric(float(self.start_waiting), "calls"),
            "force.missed": Metric(float(self.missed), "routers x versions"),
            "versions": Metric(float(self.versions.index - 1), "versions"),
        }
        real = self.plan.experiment.fleet.real
        for name, counted in (("in", self.bytes_in), ("out", self.bytes_out)):
            rates = [n / elapsed_s for n in counted]
            metrics[f"bytes.{name}.discovery"] = mean_with_range(rates, "B/s")
            metrics[f"bytes.{name}.discovery.real"] = mean_with_range(rates[:real], "B/s")
            metrics[f"bytes.{name}.discovery.hollow"] = mean_with_range(rates[real:], "B/s")
        metrics |= percentiles("force", self.force, (50, 99))
        return Role(1, metrics, dict(meter.per_second))


async def run(
    plan: Plan, ready: Callable[[], None], began: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Be discovery until the schedule is over or `ended`; answers with the role `discovery`."""
    service = Service(plan)
    await service.up()
    ready()
    try:
        await run_schedule(
            plan, began, ended, service.meter, service.scheduled_actions, finish=service.finish
        )
    finally:
        service.down()
    return {"discovery": service.role} if service.meter.elapsed_s else {}
