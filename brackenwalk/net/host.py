"""Runs the decision module in an event loop: its clock, its timers, and the table of requests and attempts.

Turns socket events into events of the module and carries out the module's actions in order. Makes no
decisions of its own.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from brackenwalk import interface as api
from brackenwalk.net.command import MAX_DEADLINE_MS, Command
from brackenwalk.net.memory import DEFAULT_LIMITS, MemoryLimits, TooManyServersError
from brackenwalk.net.pool import Pool
from brackenwalk.net.requests import Attempt, Member, RecentIds, TrackedRequest
from brackenwalk.policy import Router

# Time by which a request's deadline here precedes the client's, which counts from when the client sends.
# The network takes at most 1.3 ms in each direction, this process 1.4 ms at the 99th percentile; the rest
# covers delays on a core that other processes keep busy.
DEADLINE_MARGIN_S = 0.02
ERR_FAILED = b"-ERR failed\r\n"
REQUEST_OVERHEAD_BYTES = 3072  # of the records, timers and names of an open request
MIN_CLIENT_TIME_S = 10.0
VALUE_COPIES = 2  # of an open request's value: in its command and in a write buffer
log = logging.getLogger(__name__)


class Clock:
    """Unix time, read once at the start and advanced by the monotonic clock, so that it never jumps."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the Unix time in seconds."""
        return self.offset + time.monotonic()


class Host:
    """One router: the decision module with its requests, attempts and server list."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        cache_pool: Pool,
        origin_pool: Pool,
        subscribe: Callable[[], None],
        *,
        check_discovery: Callable[[], None] = lambda: None,
        limits: MemoryLimits = DEFAULT_LIMITS,
    ) -> None:
        self.settings = settings
        self.cache_pool = cache_pool
        self.origin_pool = origin_pool
        self.subscribe = subscribe
        self.check_discovery = check_discovery
        self.max_servers = limits.servers
        self.broadcast: Callable[[bytes], None] = lambda content: None  # until the peer socket is open
        self.clock = Clock()
        bounded = replace(settings, max_open_bytes=limits.open_requests)
        self.router = Router(bounded, seed, self.clock.now())
        self.members: dict[str, Member] = {}
        self.requests: dict[str, TrackedRequest] = {}
        self.module_timers: dict[str, asyncio.TimerHandle] = {}  # of no request, by token
        self.closed: list[TrackedRequest] = []  # closed, to be dropped once the module has been told
        self.recent_ids = RecentIds(limits.recent_ids)
        # Seconds after which the time of all requests of a client is over.
        longest_time = max(MIN_CLIENT_TIME_S, min(MAX_DEADLINE_MS / 1000, settings.longest_client_timeout))
        self.unread_timeout = longest_time  # after which a client that reads nothing is cut off
        self.recent_id_time = longest_time  # for which the id of a closed request is not accepted again
        self.shutdown_deadline = math.inf  # upper bound of the deadlines of all requests
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.resume_requested = False
        self.settled = asyncio.Event()  # whether the module has no work left of the latest lists
        self.settled.set()

    def post(self, event: api.Event) -> None:
        """Pass an event to the module. Events posted while actions are carried out are queued."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                for action in self._decide(self.events.popleft()):
                    self._execute_isolated(action)
        finally:
            self.handling = False
        self._drop_closed()

    def _decide(self, event: api.Event) -> list[api.Action]:
        """Return the module's actions or, if the module raises, those that it had decided on by then."""
        try:
            return self.router.handle(self.clock.now(), event)
        except Exception:
            # Events of other requests may be queued behind this one, and would not be handled otherwise.
            log.exception("decision module failed on %s: please report this trace", type(event).__name__)
            return list(self.router.actions)

    def _execute_isolated(self, action: api.Action) -> None:
        """Carry out an action; log errors, so that the next actions, which may be responses, still run."""
        try:
            self._execute(action)
        except Exception:
            log.exception("action %s failed: please report this trace", type(action).__name__)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._refuse(action)
            case api.Fail():
                self._respond(action.request_id, ERR_FAILED)
            case api.Cancel():
                self._cancel(action)
            case api.CloseIdle():
                if action.server in self.members:
                    self._pool_of(action.server).close_idle(self.members[action.server].address)
            case api.SetTimer():
                self._set_timer(action)
            case api.ResumeLater():
                self.resume_requested = True
                self.settled.clear()
                asyncio.get_running_loop().call_soon(self._resume)
            case api.Subscribe():
                self.subscribe()
            case api.CheckDiscovery():
                self.check_discovery()
            case api.Broadcast():
                self.broadcast(action.content)
            case api.Log():
                log.info("%s", action.text)

    def _set_timer(self, action: api.SetTimer) -> None:
        loop = asyncio.get_running_loop()
        if action.request_id is None:
            if (earlier := self.module_timers.pop(action.token, None)) is not None:
                earlier.cancel()
            self.module_timers[action.token] = loop.call_later(
                action.delay, self._on_module_timer, action.token
            )
            return
        timer = loop.call_later(action.delay, self.post, api.TimerFired(action.token))
        tracked = self.requests.get(action.request_id)
        if tracked is not None:
            tracked.module_timers.append(timer)

    def _on_module_timer(self, token: str) -> None:
        del self.module_timers[token]
        self.post(api.TimerFired(token))

    # Server list

    def ready(self) -> bool:
        """Return whether the list has a cache server that accepts new requests."""
        return any(m.entry.ready and not self._is_origin(m) for m in self.members.values())

    def _resume(self) -> None:
        """Let the module take a step; it asks for another one if work is left."""
        self.resume_requested = False
        self.post(api.Resume())
        if not self.resume_requested:
            self.settled.set()

    def on_list_failed(self) -> None:
        """Report to the module that a call to discovery failed."""
        self.post(api.ServerList(api.ListKind.FAILED))

    def on_discovery_reachable(self) -> None:
        """Report to the module that a connection to discovery could be made."""
        self.post(api.ServerList(api.ListKind.REACHABLE))

    def on_discovery_moved(self) -> None:
        """Report to the module that the address of discovery has changed."""
        self.post(api.ServerList(api.ListKind.MOVED))

    def on_server_list(self, kind: api.ListKind, members: list[Member]) -> None:
        """Apply a full list or changes, and abort unsent attempts at servers that have changed.

        Raises `TooManyServersError`, and keeps the current list, if the new one does not fit in memory.
        """
        kept = len(self.members) if kind is api.ListKind.DELTA else 0
        if kept + len(members) > self.max_servers:
            self._check_server_count(kind, members)
        if kind is not api.ListKind.DELTA:
            self.members = {}
        for member in members:
            name = member.entry.server
            if member.entry.state is api.ServerState.GONE:
                self.members.pop(name, None)
            else:
                self.members[name] = member
        self.post(api.ServerList(kind, tuple(m.entry for m in members)))
        for tracked in list(self.requests.values()):
            for attempt in list(tracked.attempts.values()):
                # A connection that is still being dialled would send its request once it is established. That
                # may be after the time from which no request may go to a draining server.
                if (
                    attempt.exchange is not None
                    and attempt.exchange.unsent()
                    and self._server_changed(attempt)
                ):
                    self._abort_attempt(tracked, attempt, api.Status.UNSENT)

    def _check_server_count(self, kind: api.ListKind, members: list[Member]) -> None:
        names = set(self.members) if kind is api.ListKind.DELTA else set()
        for member in members:
            (names.discard if member.entry.state is api.ServerState.GONE else names.add)(member.entry.server)
        if len(names) > self.max_servers:
            raise TooManyServersError(len(names), self.max_servers)

    def _server_changed(self, attempt: Attempt) -> bool:
        """Return whether the attempt's server now drains, has left the list, has moved or has restarted."""
        previous = attempt.member
        current = self.members.get(previous.entry.server) if previous is not None else None
        if previous is None or current is None or not current.entry.ready:
            return True
        return (current.entry.started_at, current.address) != (previous.entry.started_at, previous.address)

    def _is_origin(self, member: Member) -> bool:
        return self.settings.aside and member.entry.kind == self.settings.origin_kind

    def _pool_of(self, server: str) -> Pool:
        return self.origin_pool if self._is_origin(self.members[server]) else self.cache_pool

    def on_peer_message(self, content: bytes) -> None:
        """Pass a peer's message to the module."""
        self.post(api.PeerMessage(content))

    # Requests

    def submit(
        self, command: Command, respond: Callable[[bytes], None], may_begin: Callable[[], bool] = lambda: True
    ) -> str | None:
        """Accept a request and call `respond` once with its response, unless the client disconnects first.

        Return the request's id, or None if the time of another request with this id is not over. Call
        `may_begin` before each attempt. It returns whether the client is certainly connected, and calls
        `on_client_gone` if it has just disconnected.
        """
        decoded_id = command.request_id.decode()
        now = self.clock.now()
        # Two requests under one id would get each other's responses.
        if decoded_id in self.requests or self.recent_ids.contains(decoded_id, now):
            return None
        class_name = command.info.get("c", "")
        client_wait = min(command.deadline_ms / 1000, self._client_timeout(class_name))
        time_left = max(0.0, min(client_wait - DEADLINE_MARGIN_S, self.shutdown_deadline - now))
        tracked = self.requests[decoded_id] = TrackedRequest(
            decoded_id, class_name, command, now + time_left, respond, may_begin
        )
        tracked.timer = asyncio.get_running_loop().call_later(time_left, self._on_deadline, decoded_id)
        cost_hint = command.info.get("h", "")
        request = api.Request(
            decoded_id,
            class_name,
            time_left,
            command.key.decode("latin-1"),
            int(cost_hint) / 1e6 if cost_hint.isdigit() else None,
            command.write,
            REQUEST_OVERHEAD_BYTES + VALUE_COPIES * command.size,
        )
        self.post(request)
        return decoded_id

    def _client_timeout(self, class_name: str) -> float:
        """Return the longest time in seconds that a client of a class waits, whatever its request says."""
        request_class = self.settings.classes.get(class_name)
        return self.settings.longest_client_timeout if request_class is None else request_class.client_timeout

    def on_client_gone(self, request_id: str) -> None:
        """Close a request whose client has disconnected."""
        tracked = self.requests.get(request_id)
        if tracked is not None and not tracked.closed:
            self._mark_closed(tracked)
            self.post(api.ClientGone(request_id))

    def begin_shutdown(self, time_left: float) -> None:
        """Limit all deadlines to `time_left` seconds from now, as no response can be sent after exit."""
        self.shutdown_deadline = self.clock.now() + time_left
        for request_id, tracked in self.requests.items():
            if tracked.deadline > self.shutdown_deadline and tracked.timer is not None:
                tracked.deadline = self.shutdown_deadline
                tracked.timer.cancel()
                tracked.timer = asyncio.get_running_loop().call_later(
                    time_left, self._on_deadline, request_id
                )
        self.post(api.Shutdown(time_left))

    def _on_deadline(self, request_id: str) -> None:
        """Time out the attempts in flight, which leads to the response of an open request."""
        tracked = self.requests[request_id]
        tracked.deadline_passed = True
        for attempt in list(tracked.attempts.values()):  # the module may respond, and so close it, in between
            self._time_out(tracked, attempt)
        if not tracked.closed:
            # Only a fault of the router leads here. After the deadline no event is left that would lead to a
            # response, and the client would wait for ever.
            log.error("request %s: the decision module gave no response by the deadline; failed", request_id)
            self._respond(request_id, ERR_FAILED)
            self.post(api.ClientGone(request_id))

    def _respond(self, request_id: str, response: bytes) -> None:
        """Send the response to a request, unless the request is closed."""
        tracked = self.requests.get(request_id)
        if tracked is not None and not tracked.closed:
            self._mark_closed(tracked)
            tracked.respond(response)

    def _mark_closed(self, tracked: TrackedRequest) -> None:
        """Close a request, which stays in the table for the outcomes of attempts in flight."""
        tracked.closed = True
        tracked.command = None
        self.closed.append(tracked)
        for attempt in list(tracked.attempts.values()):
            # An unsent attempt needs no cancelling at its server, and nobody waits for its result.
            if attempt.exchange is not None and attempt.exchange.unsent():
                self._abort_attempt(tracked, attempt, api.Status.UNSENT)

    def _drop_closed(self) -> None:
        """Drop closed requests without attempts in flight from the table, and keep their ids.

        Called when no event is queued: an event queued before the one that closed the request may lead to an
        attempt, which needs its entry to get an outcome.
        """
        closed, self.closed = self.closed, []
        now = self.clock.now()
        for tracked in closed:
            if tracked.attempts or self.requests.get(tracked.id) is not tracked:
                continue
            del self.requests[tracked.id]
            if tracked.timer is not None:
                tracked.timer.cancel()
            for timer in tracked.module_timers:
                timer.cancel()
            # A request of an unknown class can't have run: nothing is wrong with its id.
            if tracked.class_name in self.settings.classes:
                # A client may come again after the time that it gave, with a request that has run.
                self.recent_ids.add(tracked.id, max(tracked.deadline, now + self.recent_id_time), now)

    def _refuse(self, action: api.Refuse) -> None:
        """Respond with a refusal, and with a pause in ms before a retry if the module gives one."""
        pause = math.ceil(action.retry_after * 1000)
        self._respond(action.request_id, b"-BUSY %d\r\n" % pause if pause else b"-BUSY\r\n")

    # Attempts

    def _send(self, action: api.Send) -> None:
        tracked = self.requests.get(action.request_id)
        if tracked is None:
            log.error("module sends request %s, which has been closed: please report", action.request_id)
            return
        now = self.clock.now()
        attempt = Attempt(tracked.attempt_count, now)
        tracked.attempt_count += 1
        tracked.attempts[attempt.number] = attempt
        # A client's disconnect and the event that leads to this send may come in one turn of the event loop,
        # in any order. Without this check, an attempt could start for a client that has disconnected.
        connected = not tracked.closed and tracked.may_begin()
        unneeded = (
            not connected
            or tracked.closed
            or tracked.deadline_passed
            or attempt.number >= self.settings.max_attempts
        )
        if unneeded or tracked.command is None or action.server not in self.members:
            self._finish(tracked, attempt, api.Status.UNSENT if unneeded else api.Status.CONNECT_FAILED)
            return
        time_left = tracked.deadline - now
        if action.timeout is not None and action.timeout < time_left:
            time_left = action.timeout
            loop = asyncio.get_running_loop()
            attempt.timer = loop.call_later(time_left, self._time_out, tracked, attempt)

        def on_done(status: api.Status, value: bytes) -> None:
            self._finish(tracked, attempt, status, value)

        attempt.member = self.members[action.server]
        pool, address = self._pool_of(action.server), attempt.member.address
        exchange = pool.start(address, tracked.command, time_left, on_done, tracked.may_begin)
        if exchange.open:
            attempt.exchange = exchange

    def _cancel(self, action: api.Cancel) -> None:
        tracked = self.requests.get(action.request_id)
        attempt = tracked.attempts.get(action.attempt) if tracked is not None else None
        if tracked is not None and attempt is not None:
            self._abort_attempt(tracked, attempt, api.Status.CANCELLED)

    def _time_out(self, tracked: TrackedRequest, attempt: Attempt) -> None:
        self._abort_attempt(tracked, attempt, api.Status.TIMEOUT)

    def _abort_attempt(self, tracked: TrackedRequest, attempt: Attempt, status: api.Status) -> None:
        if attempt.exchange is not None:
            attempt.exchange.abandon()
        self._finish(tracked, attempt, status)

    def _finish(
        self, tracked: TrackedRequest, attempt: Attempt, status: api.Status, value: bytes = b""
    ) -> None:
        """Report the outcome of an attempt once. The first successful attempt answers the client."""
        if tracked.attempts.pop(attempt.number, None) is None:
            return
        attempt.exchange = None  # which refers back to the attempt: both are freed at once
        if attempt.timer is not None:
            attempt.timer.cancel()
        if status is api.Status.OK:
            self._respond(tracked.id, b"$%d\r\n%b\r\n" % (len(value), value))
        if tracked.closed:
            self.closed.append(tracked)
        latency = self.clock.now() - attempt.sent_at
        self.post(api.Outcome(tracked.id, attempt.number, status, tracked.closed, latency))
