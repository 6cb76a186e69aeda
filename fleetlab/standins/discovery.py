"""Stand-in for discovery: serves the list of servers and watches for its changes (PROTOCOL, Discovery).

Each router calls its own address, so that the caller of a request is known. Calls that begin a watch or ask
for the whole list are queued and served one after another; a call that continues a watch bypasses the queue.
While discovery is down its listening sockets are closed, so that connections are refused.

Bytes are those of HTTP, without TCP/IP headers, seen from the router: `bytes.in.discovery` is what a router
received.
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

from fleetlab.plan import Plan, initial_server_list
from fleetlab.results import Metric, Role
from fleetlab.standins.lifecycle import (
    Meter,
    TimedAction,
    host_port,
    mean_and_range,
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

WATCH_CONTINUE_S = 0.2  # a call within this time of the watch's last response continues the watch
LAPSED_WATCH_S = 2.0  # a later call within this time counts in `calls.lapsed`
MAX_WAIT_S = 60.0
HISTORY_VERSIONS = 256  # a router that is further behind gets the whole list in place of the changes
MAX_HEAD_BYTES = 8192
BACKLOG = 16
REQUEST_LINE = re.compile(rb"GET (/[^ ?]*)(?:\?([^ ]*))? HTTP/1\.([01])\r\n")
LIST_PATH = b"/registry/instances"
# offset of tcpi_last_data_recv, the milliseconds since data last arrived, in struct tcp_info (linux/tcp.h)
LAST_DATA_RECV_OFFSET = 52


def format_response(status: bytes, body: bytes, close: bool) -> bytes:
    """Return an HTTP response with a JSON body; with `close` it announces the end of the connection."""
    connection = b"close" if close else b"keep-alive"
    head = b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: %b\r\n\r\n"
    return head % (status, len(body), connection) + body


class VersionedList:
    """The server list with its recent versions, and the responses to calls, each encoded only once."""

    def __init__(self, plan: Plan) -> None:
        message = initial_server_list(plan)
        self.index: int = message["index"]
        self.oldest = self.index  # the oldest version for which changes can be sent
        self.entries: dict[str, dict[str, Any]] = {e["name"]: e for e in message["endpoints"]}
        self.changes: dict[int, ListChange] = {}
        self.published_at: dict[int, float] = {}  # Unix time, by version
        self.encoded_responses: dict[int | None, tuple[bytes, int]] = {}

    def publish(self, change: ListChange) -> None:
        """Add the next version."""
        self.index += 1
        self.published_at[self.index] = time.time()
        self.changes[self.index] = change
        self.oldest = max(self.oldest, self.index - HISTORY_VERSIONS)
        for entry in change.entries:
            if entry["status"] == "terminated":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
        self.encoded_responses.clear()

    def has_changes(self, after: int) -> bool:
        """Return whether the current version differs from the one that a watch has."""
        return after != self.index

    def body(self, after: int | None) -> tuple[bytes, int]:
        """Return the response to a call and how many entries it holds.

        The response holds the changes after version `after`, or the whole list if that is None or unknown.
        """
        cached = self.encoded_responses.get(after)
        if cached is not None:
            return cached
        snapshot = after is None or not self.oldest <= after <= self.index
        selected: dict[str, dict[str, Any]] = self.entries
        if after is not None and not snapshot:
            versions = range(after + 1, self.index + 1)
            selected = {e["name"]: e for v in versions for e in self.changes[v].entries}
        message = {"index": self.index, "snapshot": snapshot, "endpoints": list(selected.values())}
        self.encoded_responses[after] = orjson.dumps(message), len(selected)
        return self.encoded_responses[after]


class RouterConnection(asyncio.Protocol):
    """A connection from a router, with one call in flight at a time."""

    def __init__(self, server: DiscoveryServer, router: int) -> None:
        self.server = server
        self.router = router
        self.buffer = b""
        self.after: int | None = None
        self.wait_s = 0.0
        self.arrived_at = 0.0  # event loop time
        self.close_after_reply = False
        self.in_flight = False
        self.is_closed = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the connection's call, watch and timer."""
        self.is_closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.server.connections.pop(self, None)
        self.server.watches.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Count the bytes and start the call once its head is complete."""
        self.server.bytes_out[self.router] += len(data)
        self.buffer += data
        self._read_call()

    def _read_call(self) -> None:
        end = self.buffer.find(b"\r\n\r\n")
        if self.in_flight or self.transport.is_closing():
            return
        if end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                self.reject(b"431 Request Header Fields Too Large")
            return
        head, self.buffer = self.buffer[: end + 2], self.buffer[end + 4 :]
        request = REQUEST_LINE.match(head)
        if request is None:
            self.reject(b"400 Bad Request")
            return
        lower = head.lower()
        self.close_after_reply = b"\r\nconnection: close\r\n" in lower or request[3] == b"0"
        if request[1] != LIST_PATH:
            self.reject(b"404 Not Found")
            return
        try:
            query = dict(pair.split(b"=", 1) for pair in request[2].split(b"&")) if request[2] else {}
            self.after = int(query[b"after"]) if b"after" in query else None
            self.wait_s = min(MAX_WAIT_S, int(query.get(b"wait_ms", b"0")) / 1000)
        except ValueError:
            self.reject(b"400 Bad Request")
            return
        self.in_flight = True
        self.server.handle_call(self)

    def reject(self, status: bytes) -> None:
        """Answer a malformed call with an error status, and close the connection."""
        self.close_after_reply = True
        self.server.meter.counts["calls.malformed"] += 1
        self.send(status, b"")

    def send(self, status: bytes, body: bytes) -> None:
        """Answer the call in flight, then read the next one or close the connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        data = format_response(status, body, self.close_after_reply)
        self.server.bytes_in[self.router] += len(data)
        self.transport.write(data)
        self.in_flight = False
        if self.close_after_reply:
            self.transport.close()
        elif self.buffer:
            self._read_call()

    def seconds_since_receipt(self) -> float:
        """Return the seconds since the kernel received the call.

        A call that this process was late to read must not count as one that the router sent too late.
        """
        info = self.transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
        return float(struct.unpack_from("I", info, LAST_DATA_RECV_OFFSET)[0]) / 1000


class DiscoveryServer:
    """The one discovery server for all routers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.capacity = plan.experiment.discovery
        self.meter = Meter()
        self.loop = asyncio.get_running_loop()
        self.versions = VersionedList(plan)
        self.listeners: list[asyncio.Server] = []
        self.reopen_task: asyncio.Task[None] | None = None
        self.connections: dict[RouterConnection, None] = {}
        self.watches: dict[RouterConnection, None] = {}  # waiting for a change
        self.queue: deque[RouterConnection] = deque()  # calls waiting for service
        self.max_queue_length = 0
        self.startup_max_queue_length = 0
        self.busy_until = 0.0  # when the call in service is done, event loop time
        self.queue_timer: asyncio.TimerHandle | None = None
        count = plan.router_count()
        self.last_response_at = [float("-inf")] * count  # by router, event loop time
        self.sent_version = [self.versions.index] * count  # by router, the latest one written to it
        self.has_called = bytearray(count)  # by router, 1 once it has called
        self.bytes_in = [0] * count
        self.bytes_out = [0] * count
        self.propagation_times = array("d")  # seconds from publication until written to a router
        self.missed_updates = 0
        self.unix_start = 0.0  # of the schedule, Unix time
        self.outages: dict[int, list[RouterOutage]] = {}
        self.meter.gauges["calls.waiting"] = lambda: float(len(self.queue))

    async def open(self) -> None:
        """Listen on every router's address."""
        for router in range(self.plan.router_count()):
            server = await self.loop.create_server(
                lambda router=router: RouterConnection(self, router),  # type: ignore[misc]
                *host_port(self.plan.addresses.discovery(router)),
                reuse_address=True,
                backlog=BACKLOG,
            )
            self.listeners.append(server)

    def close(self) -> None:
        """Stop listening and reset open connections; watches and queued calls are lost."""
        if self.reopen_task is not None:
            self.reopen_task.cancel()
        for server in self.listeners:
            server.close()
        self.listeners.clear()
        self.meter.counts["calls.failed"] += sum(connection.in_flight for connection in self.connections)
        for connection in list(self.connections):
            connection.is_closed = True
            reset_connection(connection.transport)
        self.watches.clear()
        self.queue.clear()
        self.last_response_at = [float("-inf")] * len(self.last_response_at)

    def reopen(self) -> None:
        """Listen again after an outage."""
        self.reopen_task = self.loop.create_task(self.open())

    def handle_call(self, connection: RouterConnection) -> None:
        """Answer a call that continues a watch, or queue it."""
        self.has_called[connection.router] = 1
        self.meter.counts["calls"] += 1
        now = self.loop.time()
        connection.arrived_at = now
        if connection.after is not None:
            since = now - self.last_response_at[connection.router]
            if since > WATCH_CONTINUE_S and since < LAPSED_WATCH_S:
                since -= connection.seconds_since_receipt()
            if since <= WATCH_CONTINUE_S:
                self.answer(connection)
                return
            # hollow routers that share a busy process can call too late; the metric shows how often
            self.meter.counts["calls.lapsed"] += since < LAPSED_WATCH_S
        self.meter.counts["calls.turn"] += 1
        self.queue.append(connection)
        self.max_queue_length = max(self.max_queue_length, len(self.queue))
        self._serve_queue()

    def _serve_queue(self) -> None:
        """Serve queued calls, each for its service time; a call past the time limit fails with 503.

        Service times follow on each other in `busy_until`, independent of when the event loop runs this
        method, so that the loop's timer granularity does not reduce the capacity.
        """
        if self.queue_timer is not None:
            self.queue_timer.cancel()
            self.queue_timer = None
        now, limit = self.loop.time(), self.capacity.timeout
        while self.queue:
            connection = self.queue[0]
            begins, overdue = max(self.busy_until, connection.arrived_at), connection.arrived_at + limit
            if not connection.is_closed and min(begins, overdue) > now:
                self.queue_timer = self.loop.call_at(min(begins, overdue), self._serve_queue)
                return
            self.queue.popleft()
            if connection.is_closed:
                continue
            if begins >= overdue:
                self.fail(connection)
                continue
            entry_count = 0
            if connection.after is None or self.versions.has_changes(connection.after):
                entry_count = self.versions.body(connection.after)[1]
            self.busy_until = begins + self.capacity.call_ms / 1e3 + entry_count * self.capacity.line_us / 1e6
            # a call that times out during its service has occupied the server all the same
            done = self.answer if self.busy_until <= overdue else self.fail
            self.loop.call_at(min(self.busy_until, overdue), done, connection)

    def fail(self, connection: RouterConnection) -> None:
        """Answer a call with 503, which ends the router's watch."""
        if not connection.is_closed:
            self.meter.counts["calls.failed"] += 1
            self.last_response_at[connection.router] = float("-inf")
            connection.send(b"503 Service Unavailable", b"")

    def answer(self, connection: RouterConnection) -> None:
        """Answer a call; a watch with no changes waits for the next one or its own time limit."""
        if connection.is_closed:
            return
        left = connection.arrived_at + connection.wait_s - self.loop.time()
        if connection.after is not None and not self.versions.has_changes(connection.after) and left > 0:
            self.watches[connection] = None
            connection.timer = self.loop.call_later(left, self._send_list, connection)
        else:
            self._send_list(connection)

    def _send_list(self, connection: RouterConnection) -> None:
        self.watches.pop(connection, None)
        router, index = connection.router, self.versions.index
        if connection.after is not None:
            self.last_response_at[router] = self.loop.time()
        if not connection.transport.is_closing():
            connection.send(b"200 OK", self.versions.body(connection.after)[0])
            self._record_sent(router, index)

    def _record_sent(self, router: int, index: int) -> None:
        """Record the propagation time of every version up to `index` that the router lacked."""
        sent, now = self.sent_version[router], time.time()
        if index <= sent:
            return
        self.sent_version[router] = index
        for version in range(sent + 1, index + 1):
            published_at = self.versions.published_at[version]
            if not self.was_down(router, published_at, now):
                self.propagation_times.append(now - published_at)

    def was_down(self, router: int, start: float, end: float) -> bool:
        """Return whether a router had an outage between two Unix times."""
        own_outages = self.outages.get(router, ())
        return any(self.unix_start + o.start <= end and start <= self.unix_start + o.end for o in own_outages)

    def publish(self, change: ListChange) -> None:
        """Add the next version of the list and send it to all waiting watches."""
        self.versions.publish(change)
        for connection in list(self.watches):
            self._send_list(connection)

    def scheduled_actions(self, start: float) -> list[TimedAction]:
        """Return the changes and outages of the schedule, and reset the counters that exclude start-up."""
        self.unix_start = start
        plan = msgspec.structs.replace(self.plan, schedule_start=start)
        for outage in router_outages(plan):
            self.outages.setdefault(outage.router, []).append(outage)
        self.startup_max_queue_length, self.max_queue_length = self.max_queue_length, len(self.queue)
        self.bytes_in, self.bytes_out = [0] * len(self.sent_version), [0] * len(self.sent_version)
        actions: list[TimedAction] = []
        for change in list_changes(plan):
            actions.append((change.at, lambda change=change: self.publish(change)))  # type: ignore[misc]
        for down, up in discovery_downtimes(plan):
            actions += [(down, self.close), (up, self.reopen)]
        return actions

    def finish(self) -> None:
        """Compute the role's figures.

        A version that a router lacks after `PROPAGATION_S` counts as missed, with the time until now.
        """
        now = time.time()
        for router, sent in enumerate(self.sent_version):
            for version in range(sent + 1, self.versions.index + 1):
                published_at = self.versions.published_at[version]
                if (
                    self.has_called[router]
                    and now - published_at > PROPAGATION_S
                    and not self.was_down(router, published_at, now)
                ):
                    self.missed_updates += 1
                    self.propagation_times.append(now - published_at)
        self.role = self._role()

    def _role(self) -> Role:
        meter, elapsed_s = self.meter, self.meter.elapsed_s or 1.0
        metrics = {
            "cpu.share": meter.cpu(),
            "calls": meter.rate("calls"),
            "calls.turn": meter.rate("calls.turn"),
            "calls.failed": meter.rate("calls.failed"),
            "calls.waiting": Metric(float(self.max_queue_length), "calls"),
            "calls.lapsed": meter.rate("calls.lapsed"),
            "calls.malformed": meter.rate("calls.malformed"),
            "start.calls": Metric(meter.startup_totals.get("calls", 0.0), "calls"),
            "start.calls.turn": Metric(meter.startup_totals.get("calls.turn", 0.0), "calls"),
            "start.calls.failed": Metric(meter.startup_totals.get("calls.failed", 0.0), "calls"),
            "start.calls.waiting": Metric(float(self.startup_max_queue_length), "calls"),
            "force.missed": Metric(float(self.missed_updates), "routers x versions"),
            "versions": Metric(float(self.versions.index - 1), "versions"),
        }
        real = self.plan.experiment.fleet.real
        for name, counted in (("in", self.bytes_in), ("out", self.bytes_out)):
            rates = [n / elapsed_s for n in counted]
            metrics[f"bytes.{name}.discovery"] = mean_and_range(rates, "B/s")
            metrics[f"bytes.{name}.discovery.real"] = mean_and_range(rates[:real], "B/s")
            metrics[f"bytes.{name}.discovery.hollow"] = mean_and_range(rates[real:], "B/s")
        metrics |= percentiles("force", self.propagation_times, (50, 99))
        return Role(1, metrics, dict(meter.per_second))


async def run(
    plan: Plan, ready: Callable[[], None], schedule_start: Awaitable[float], ended: asyncio.Event
) -> dict[str, Role]:
    """Run discovery until the schedule is over or `ended` is set, and return the role `discovery`."""
    server = DiscoveryServer(plan)
    await server.open()
    ready()
    try:
        await run_schedule(
            plan, schedule_start, ended, server.meter, server.scheduled_actions, finish=server.finish
        )
    finally:
        server.close()
    return {"discovery": server.role} if server.meter.elapsed_s else {}
