"""The router's decisions: a state machine without I/O, with the events of `brackenwalk/interface.py`.

Each key is hashed onto a ring of weighted virtual nodes and goes to the first server clockwise; with bounded
loads the walk passes servers whose load has reached (1 + epsilon) times the average.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator

from brackenwalk import interface as api
from brackenwalk.demand import HOT_KEY_SHARE
from brackenwalk.discovery_calls import DiscoveryCalls
from brackenwalk.membership import Membership
from brackenwalk.peer_updates import PeerUpdates
from brackenwalk.ring import ring_hash
from brackenwalk.shares import CACHE_TARGET_SHARE, EPSILON, TrafficShares
from brackenwalk.state import Attempt, PendingRequest, Server

FREE_RETRY_SHARE = 0.3  # of successful attempts: above it, retries after a BUSY are cheap and cost no budget
MAX_WAIT_SHARE = 0.25  # of the time left, that a request may wait behind a server's reported load
MAX_SPILL = 2  # full servers after which a walk ends: those further on have not cached the key
ORIGIN_TARGET_SHARE = 0.5  # of the aim, like CACHE_TARGET_SHARE; an origin is slow by nature
FETCH_FACTOR = 2.0  # times the origin's usual latency that a fetch must have left, or it is not even stored
EWMA_WEIGHT = 0.2  # of the latest sample: averages cover about the last five answers
LIMIT_FACTOR = 0.75  # of each cut: empties an overloaded server in a few round trips; 0.9 took many seconds
RETRY_SHARE = 0.2  # that each request adds to the budget: enough for a lost server, too few for an overload
MAX_RETRY_BUDGET = 10.0  # unspent retries kept, enough to send all requests of a lost server again at once
LOST_FACTOR = 8.0  # times the usual latency after which the router takes an answer for lost
SILENT_AIMS = 1.0  # shortest aims without any answer, after which a router takes a server for silent
MAX_FAILURES = 3  # in a row, too many for chance; from then on there is one trial every SILENT_AIMS
KEEP_SHARE = 0.5  # of the idle time that costs as much as a handshake: so long a connection is kept
KEEP_RECOVERY_SHARE = 0.01  # of the way back to KEEP_SHARE per outcome; each failed dial halves the share
PLAN_BUDGET = 1024  # cost of the steps of a plan that are taken in one event
NO_ANSWER = (api.Status.TIMEOUT, api.Status.CANCELLED, api.Status.UNSENT)


class Router:
    """The state machine of one router: `handle` takes each event and returns the actions to carry out."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.shortest_aim = settings.shortest_aim
        self.now, self.random = now, random.Random(seed)
        self.actions: list[api.Action] = []
        self.discovery_calls = DiscoveryCalls(settings, self.random, now)
        self.peer_updates = PeerUpdates(settings, self.random, now)
        self.demand = self.peer_updates.demand
        self.shares = TrafficShares(settings, self.demand, now)
        self.membership = Membership(settings, self.shares, self.peer_updates)
        self.servers, self.ring = self.shares.servers, self.shares.ring
        self.caches = self.shares.caches  # cache servers that are ready and on the ring
        self.plan: Iterator[int] | None = None  # the plan for hot keys that is being made
        self.resume_requested = False  # an `api.Resume` is to come
        self.pending_requests: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.queue: list[tuple[float, int, PendingRequest]] = []  # by priority, then age
        self.queue_sequence = self.accepted = 0
        self.open_bytes = 0  # that the pending requests hold in the host
        self.retry_budget, self.keep_share = MAX_RETRY_BUDGET, KEEP_SHARE
        self.started_at = now
        self.stop_at = math.inf  # deadline of all requests during shutdown
        # smoothed latency at caches per unit of load: 1 for the request itself, plus the load reported there
        self.mean_wait = 0.0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event and return the actions to carry out, in order."""
        self.now, self.shares.now, self.actions = now, now, []
        if isinstance(event, api.Outcome):
            self._on_outcome(event)
        elif isinstance(event, api.Request):
            self._on_request(event)
        elif isinstance(event, api.TimerFired):
            self._on_timer(event)
        elif isinstance(event, api.ServerList):
            self._on_list(event)
        elif isinstance(event, api.PeerMessage):
            unhealthy = self.demand.receive(event.content, now)
            self.demand.limit(len(self.caches))
            for name_hash in unhealthy & self.membership.servers_by_hash.keys():
                server = self.membership.servers_by_hash[name_hash]
                self.shares.cut_health(server)
                self.peer_updates.remove_unhealthy(server)
        elif isinstance(event, api.ClientGone) and event.request_id in self.pending_requests:
            self._remove(self.pending_requests[event.request_id])
        elif isinstance(event, api.ResponseStarted) and event.request_id in self.pending_requests:
            self.pending_requests[event.request_id].response_started = True
        elif isinstance(event, api.Resume):
            self._on_resume()
        elif isinstance(event, api.Shutdown):
            self._on_shutdown(event)
        return self.actions

    def _on_shutdown(self, event: api.Shutdown) -> None:
        """Bring the deadlines of pending requests forward to the shutdown."""
        self.stop_at = self.now + event.time_left - self.settings.resolution
        for pending in self.pending_requests.values():
            pending.deadline = min(pending.deadline, self.stop_at)
            if pending.waiting:
                self._set_wait_timer(pending)

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind in (api.ListKind.FAILED, api.ListKind.MOVED, api.ListKind.REACHABLE):
            self.actions.append(api.SetTimer(self.discovery_calls.delay_after(event.kind, self.now), "list"))
            if event.kind is api.ListKind.FAILED:
                failures = self.discovery_calls.failures
                self.actions.append(api.Log(f"discovery out of reach, {failures} in a row; list kept"))
            return
        if event.entries or event.kind is not api.ListKind.DELTA:
            # Skipped when a watch ends without changes, which happens every few seconds.
            self.plan = None
            self.membership.apply(event)
            self.membership.step()  # which is all that a small change needs
            self._request_resume()
        if event.kind is not api.ListKind.SAVED:
            self.discovery_calls.list_received(self.now)
        elif self.settings.subscribe:
            # Not at once: the calls of routers that start together would time out in discovery's queue.
            self.actions.append(api.SetTimer(self.discovery_calls.delay_after(event.kind, self.now), "list"))
        self._advance_waiting()

    def _on_resume(self) -> None:
        """Take the next step of working in the server list or, when that is done, of the plan."""
        self.resume_requested = False
        try:
            if not self.ring.has_work():
                self._continue_plan()
            elif self.membership.step():
                self.plan = None
                self._advance_waiting()
        finally:
            self._request_resume()

    def _continue_plan(self) -> None:
        budget = PLAN_BUDGET
        while self.plan is not None and budget > 0:
            cost = next(self.plan, None)
            self.plan = None if cost is None else self.plan
            budget -= cost or 0
        self._request_resume()

    def _request_resume(self) -> None:
        if (self.plan is not None or self.ring.has_work()) and not self.resume_requested:
            self.resume_requested = True
            self.actions.append(api.ResumeLater())

    def _advance_waiting(self) -> None:
        """Advance the queued requests after a change of the servers, those for the origin all at once."""
        queue = sorted(q for q in self.queue if q[2].waiting)
        self.queue = [q for q in queue if q[2].to_origin or not self.caches]
        self._serve_queue()
        for pending in (q[2] for q in queue if self.caches and not q[2].to_origin):
            pending.waiting = False
            self._advance(pending)

    def _origin(self) -> Server | None:
        """Return the ready origin with the fewest requests in flight."""
        return min(self.membership.origins, key=lambda s: s.in_flight, default=None)

    def _choose(self, pending: PendingRequest) -> Server | None:
        """Return the server for the next attempt, by a walk with bounded loads, or None if there is none.

        Load beyond (1 + epsilon) fair shares of a server spills clockwise. A hot key is split at random, in
        proportion to its planned portions.
        """
        portions = self.shares.hot_shares.get(pending.ring_position >> 32, {})
        planned = sum(portions.values())
        draw = self.random.random() * planned
        # Compared with a random part of the reported load below: all routers read the same late report, and
        # would otherwise all avoid the server until the next one.
        load_cap = (1 + EPSILON) * max(1.0, self.membership.mean_reported)
        full_count = 0
        fallback = None
        for server in self._clockwise(pending.ring_position):
            if self._eligible(pending, server):
                portion = portions.get(server, 0.0)
                draw -= portion
                accepts = not self.shares.is_cold(server) or self._cold_accepts(
                    pending, server, portion / planned if portion else 1.0
                )
                if draw <= 0 and accepts and server.reported_load * self.random.random() <= load_cap:
                    return server
                fallback = fallback or (None if self.shares.is_cold(server) else server)
            elif server.in_flight >= server.limit and server not in portions and not self._is_silent(server):
                full_count += 1
                if full_count >= MAX_SPILL:
                    break
        return fallback  # all exceed the cap: the first one is as good, and likeliest to have cached the key

    def _cold_accepts(self, pending: PendingRequest, server: Server, planned_share: float) -> bool:
        """Whether a cold server takes the request: within its share of the key only, and never a retry.

        `planned_share` is the server's part of the plan for a hot key, and 1 for other keys.
        """
        key = pending.ring_position >> 32
        part = self.shares.key_share(key, server, self.shares.accepted_share(server)) / planned_share
        # A small key goes to the cold server as a whole or not at all, at every router: split at random, it
        # would be fetched from the origin for two servers.
        small = self.demand.share(key) < HOT_KEY_SHARE * server.ring_weight / self.shares.total_weight
        draw = (pending.ring_position & 0xFFFFFFFF) / 2**32 if small else self.random.random()
        pending.skipped_cold = bool(pending.attempts) or draw >= part
        return not pending.skipped_cold

    def _clockwise(self, position: int) -> Iterator[Server]:
        """Yield each server once, in the order of the walk."""
        return self.shares.walk(position, self.shares.kept, self.shares.is_cold)

    def _refuses_early(self, pending: PendingRequest, server: Server) -> bool:
        """Whether to refuse a request at once: at random, the likelier the longer it would have to wait.

        The wait is estimated from this router's own latencies and, with live weights, the server's reported
        load. If all requests were accepted in an overload, full queues would make all answers late.
        """
        load = server.reported_load / MAX_WAIT_SHARE if self.settings.live_weights else 1.0
        return self.random.random() * self.mean_wait * load > pending.deadline - self.now

    def _eligible(self, pending: PendingRequest, server: Server) -> bool:
        """Whether the request may go to a server now."""
        silent = server.in_flight and self._is_silent(server)
        if silent:
            self._mark_unhealthy(server)
        full = server.in_flight >= server.limit or silent
        tried = any(a.server is server for a in pending.attempts)
        down = server.failures >= MAX_FAILURES and self.now - server.used_at < SILENT_AIMS * self.shortest_aim
        return not (full or tried or down or self._zone_down(server)) and self._permits(pending, server)

    def _zone_down(self, server: Server) -> bool:
        """Whether no server of the server's zone answers and the next trial (SILENT_AIMS) is not due."""
        zone = self.shares.zones.get(server.entry.zone) if len(self.shares.zones) > 1 else None
        if zone is None or zone.unanswered < MAX_FAILURES:
            return False
        return self.now - zone.last_send_at < SILENT_AIMS * self.shortest_aim

    def _count_unanswered(self, attempt: Attempt) -> None:
        """Count an attempt without an answer if its whole zone has not answered since its send."""
        zone = self.shares.zones.get(attempt.server.entry.zone) if attempt.server.is_cache else None
        if zone is not None and zone.last_answer_at < attempt.sent_at and not attempt.counted:
            attempt.counted = True
            zone.unanswered += 1

    def _mark_unhealthy(self, server: Server) -> None:
        if self.shares.cut_health(server):
            self.peer_updates.add_unhealthy(server)

    def _is_silent(self, server: Server) -> bool:
        """Whether a server has requests in flight and has answered none of them for too long."""
        return self.now - server.unanswered_since > SILENT_AIMS * self.shortest_aim

    def _on_request(self, request: api.Request) -> None:
        class_settings = self.settings.classes.get(request.request_class)
        if class_settings is None:  # never sent, so counted in the demand it would displace keys that are
            self.actions.append(api.Refuse(request.id))
            return
        if self.open_bytes + request.size > self.settings.max_open_bytes:
            # Above the limit on its memory the router would be killed, and lose all of them.
            self.actions.append(api.Refuse(request.id, self._retry_after(self.shortest_aim)))
            return
        time_left = min(request.time_left - self.settings.resolution, class_settings.aim)
        deadline = min(self.stop_at, self.now + time_left)
        position = ring_hash(request.id if request.key is None else request.key)[0]
        to_origin = self.settings.aside and request.write
        pending = PendingRequest(request, class_settings, deadline, to_origin, position)
        self.pending_requests[request.id] = pending
        self.open_bytes += request.size
        self.accepted += 1
        if not pending.to_origin:
            self.demand.add(pending.ring_position >> 32)
            self.demand.limit(len(self.caches))
        if self.caches and self.peer_updates.due(self.now):
            self.plan = self.plan or self.shares.plan()
            self._continue_plan()
            if message := self.peer_updates.next_message(self.now):
                self.actions.append(api.Broadcast(message))
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_SHARE)
        self._advance(pending)

    def _permits(self, pending: PendingRequest, server: Server | None) -> bool:
        """Whether the request class permits another send to this server or, with None, a refusal."""
        class_settings, group = pending.request_class, pending.request_class.repeat_group
        ran = [a for a in pending.attempts if a.may_have_run]
        waits = pending.open_attempts() and not self.settings.second_copies
        if server is not None and (waits or len(pending.attempts) >= self.settings.max_attempts):
            return False
        if class_settings.retry_safety is api.RetrySafety.SAFE or not ran:
            return True
        if class_settings.retry_safety is api.RetrySafety.UNSAFE or server is None:
            return class_settings.retry_safety is api.RetrySafety.KEYED and group is api.RepeatGroup.ALL
        # Dialling may delay the send past the repeat window, where the repeat would have a second effect.
        window_end = min(a.sent_at for a in ran) + class_settings.repeat_window
        in_window = self.now + self.settings.dial_timeout < window_end
        return in_window and all(group.shared_by(a.server.entry, server.entry) for a in ran)

    def _advance(self, pending: PendingRequest) -> None:
        """Send the next attempt, queue the request, or finish it."""
        to_ring = self.caches and not pending.to_origin
        server = self._choose(pending) if to_ring else self._origin()
        barred = server is None or not self._permits(pending, server)
        if self.now >= pending.deadline or (barred and pending.attempts):
            self._finish(pending)
        elif not to_ring:
            self._enqueue(pending)
        elif server is None or self._refuses_early(pending, server):
            self._finish(pending)
        else:
            self._send(pending, server)

    def _send(self, pending: PendingRequest, server: Server) -> None:
        target = (CACHE_TARGET_SHARE if server.is_cache else ORIGIN_TARGET_SHARE) * pending.request_class.aim
        attempt = self.attempts[pending.request.id, len(pending.attempts)] = Attempt(server, target, self.now)
        pending.attempts.append(attempt)
        server.in_flight += 1
        server.unanswered_since = min(server.unanswered_since, self.now)
        if server.is_cache and (zone := self.shares.zones.get(server.entry.zone)) is not None:
            zone.last_send_at = self.now
        self.actions.append(api.Send(pending.request.id, server.entry.server))
        self._schedule_copy(pending, attempt)

    def _schedule_copy(self, pending: PendingRequest, last: Attempt) -> None:
        """Set a timer for a second copy, due when the latest attempt has taken far longer than usual."""
        last.copy_at = self.now + max(last.target_latency, LOST_FACTOR * last.server.latency)
        if self.settings.second_copies and last.copy_at < pending.deadline:
            name, delay = pending.request.id, last.copy_at - self.now
            self.actions.append(api.SetTimer(delay, "late:" + name, name))

    def _send_copy(self, pending: PendingRequest, last: Attempt) -> None:
        """Send a second copy if the answer is lost: overdue, and its server has answered a later send."""
        late = last.open and self.now >= last.copy_at - self.settings.resolution / 2
        if late:
            self._count_unanswered(last)
        slow = last.server.last_answered_send_at <= last.sent_at and not self._zone_down(last.server)
        if late and slow:
            # No later send was answered: answers are late, not lost, and copies would add to the load.
            self._schedule_copy(pending, last)
        elif late and self.retry_budget >= 1:
            server = self._choose(pending) if last.server.is_cache else self._origin()
            if server is not None and server.in_flight < server.limit and self._permits(pending, server):
                self.retry_budget -= 1
                self._send(pending, server)

    def _on_timer(self, event: api.TimerFired) -> None:
        timer, _, name = event.token.partition(":")
        if timer == "list":
            self.actions.append(self.discovery_calls.next_step(self.now))
        elif timer == "idle" and (idle := self.servers.get(name)) is not None:
            idle.check_at = idle.check_at if self.now < idle.check_at - self.settings.resolution else math.inf
            self._close_idle(idle)
        pending = self.pending_requests.get(name)
        if pending is not None and pending.waiting:
            # Half the resolution is tolerated, as rounding may fire a timer slightly early.
            late = self.now >= self._latest_start(pending, self._origin()) - self.settings.resolution / 2
            (self._finish if late else self._set_wait_timer)(pending)
        elif pending is not None and timer == "late" and not pending.response_started:
            self._send_copy(pending, pending.attempts[-1])

    def _close_idle(self, server: Server) -> None:
        """Close a server's idle connections once keeping them has cost more than a new one would.

        Otherwise hundreds of routers, each with an open connection, fill the servers' connection tables.
        """
        cost = self.settings.connection_cost
        if server.in_flight or not cost:
            return
        rate = self.accepted / max(self.now - self.started_at, self.shortest_aim) * self.settings.siblings
        keep_time = self.keep_share * self.settings.handshake_cost / cost * 100 * len(self.caches) / rate
        left = server.used_at + keep_time - self.now
        if left < self.settings.resolution:
            self.actions.append(api.CloseIdle(server.entry.server))
        elif left < min(self.settings.idle_timeout, (server.check_at - self.now) / 2):
            # None while an earlier one is due soon enough: one for each answer would pile up in memory.
            server.check_at = self.now + left
            self.actions.append(api.SetTimer(left, "idle:" + server.entry.server))

    def _finish(self, pending: PendingRequest) -> None:
        """Give the final answer: a refusal where the class permits one, else a failure."""
        pending.waiting = False
        if pending.response_started or pending.open_attempts():
            return
        name, origin = pending.request.id, self._origin() if pending.to_origin else None
        # The obstacle should be gone by the time that the client returns.
        usual = 2 * (origin.latency if origin else self.mean_wait)
        if pending.skipped_cold and not pending.attempts:  # cold servers' load is counted over this window
            usual = max(usual, self.settings.overload_window)
        retry_after = self._retry_after(usual)
        self.actions.append(api.Refuse(name, retry_after) if self._permits(pending, None) else api.Fail(name))
        self._remove(pending)

    def _retry_after(self, usual: float) -> float:
        """Return when a refused client should return, in seconds: at random, or all would at once."""
        return min(self.settings.max_retry_after, usual) * self.random.uniform(0.5, 1.0)

    def _remove(self, pending: PendingRequest) -> None:
        pending.waiting = False
        del self.pending_requests[pending.request.id]
        self.open_bytes -= pending.request.size
        if self.settings.may_cancel:
            open_numbers = [i for i, attempt in enumerate(pending.attempts) if attempt.open]
            self.actions += [api.Cancel(pending.request.id, i) for i in open_numbers]

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return
        attempt.open = False
        attempt.may_have_run = event.status not in api.NEVER_RAN
        attempt.server.in_flight -= 1
        relevant = event.status not in NO_ANSWER
        if relevant:
            attempt.server.unanswered_since = math.inf
        # A time-out says nothing about a server that has answered a later send: it was lost on its way.
        unanswered = attempt.server.last_answered_send_at <= attempt.sent_at
        relevant |= event.status is api.Status.TIMEOUT and unanswered
        attempt.server.used_at = self.now
        failed = event.status is api.Status.CONNECT_FAILED
        if failed:
            self._count_unanswered(attempt)
        elif event.status not in NO_ANSWER and event.status is not api.Status.RESET:
            zone = self.shares.zones.get(attempt.server.entry.zone)
            if zone is not None and attempt.server.is_cache:
                if zone.unanswered >= MAX_FAILURES and len(self.shares.zones) > 1:
                    self.shares.zone_recovered(zone)
                zone.last_answer_at, zone.unanswered = self.now, 0
        recovery = KEEP_RECOVERY_SHARE * (KEEP_SHARE - self.keep_share)
        self.keep_share = self.keep_share / 2 if failed else self.keep_share + recovery
        self._close_idle(attempt.server)
        if relevant:
            self._update_limit(attempt, event)
        pending = self.pending_requests.get(event.request_id)
        if pending is not None:
            missed = event.status is api.Status.MISS and not pending.to_origin  # even with copies in flight
            if event.request_done or event.status is api.Status.OK:
                self._remove(pending)
            elif not pending.waiting and (missed or not pending.open_attempts()):
                self._after_failure(pending, event)
        if not attempt.server.is_cache:
            self._serve_queue()

    def _after_failure(self, pending: PendingRequest, event: api.Outcome) -> None:
        """Go to the origin after a miss; after any other failure retry while the retry budget lasts."""
        costly_busy = event.status is api.Status.BUSY and self.shares.success_share >= FREE_RETRY_SHARE
        if event.status is api.Status.MISS and self.settings.aside:
            pending.to_origin = True
        elif event.status is api.Status.ERROR and not self.settings.aside:
            # Each further server would fetch from the failing origin again.
            pending.deadline = self.now
        elif not pending.to_origin and not costly_busy:
            # Without a budget, each request became a dozen attempts at busy servers, which fed the overload.
            pending.deadline = pending.deadline if self.retry_budget >= 1 else self.now
            self.retry_budget = max(0.0, self.retry_budget - 1)
        self._advance(pending)

    def _enqueue(self, pending: PendingRequest) -> None:
        """Queue a request for the origin, or until any server is listed: writes before misses of reads."""
        pending.waiting = True
        self._set_wait_timer(pending)
        self.queue_sequence += 1
        heapq.heappush(self.queue, (-pending.request_class.priority, self.queue_sequence, pending))
        self._serve_queue()

    def _set_wait_timer(self, pending: PendingRequest) -> None:
        """Set a timer by which a queued request gets its final answer in any case."""
        pause = max(0.0, self._latest_start(pending, self._origin()) - self.now)
        self.actions.append(api.SetTimer(pause, "wait:" + pending.request.id, pending.request.id))

    def _latest_start(self, pending: PendingRequest, origin: Server | None) -> float:
        """Return the latest time at which to send to the origin for an answer before the deadline.

        A fetch needs FETCH_FACTOR times the usual latency; a write needs it once, as it stores nothing.
        """
        latency_factor = 1.0 if pending.request.write else FETCH_FACTOR
        return pending.deadline - latency_factor * origin.latency if origin is not None else pending.deadline

    def _serve_queue(self) -> None:
        while self.queue and (origin := self._origin()) is not None and origin.in_flight < origin.limit:
            pending = heapq.heappop(self.queue)[2]
            if not pending.waiting:
                continue
            pending.waiting = False
            # A fetch that would come back too late is not sent, but for one that measures the latency.
            fits = self.now < (self._latest_start(pending, origin) if origin.in_flight else pending.deadline)
            if fits and self._permits(pending, origin):
                self._send(pending, origin)
            else:
                self._finish(pending)
        # Requests that can't be fetched in time are refused now: their clients still have time for a retry.
        origin = self._origin()  # looked up once, not for each queued request
        for _, _, pending in self.queue:
            if pending.waiting and self.now >= self._latest_start(pending, origin):
                self._finish(pending)
        # Ended requests would otherwise pile up behind those of higher priority.
        self.queue = [q for q in self.queue if q[2].waiting]
        heapq.heapify(self.queue)

    def _update_limit(self, attempt: Attempt, event: api.Outcome) -> None:
        """Adapt the concurrency limit: cut it when the server is slow or busy, else raise it a little."""
        server = attempt.server
        ok = event.status in (api.Status.OK, api.Status.MISS)
        server.last_answered_send_at = max(server.last_answered_send_at, attempt.sent_at if ok else -math.inf)
        server.failures = 0 if ok else server.failures + (event.status not in (*NO_ANSWER, api.Status.BUSY))
        if server.failures >= MAX_FAILURES:
            self._mark_unhealthy(server)
        if server.is_cache:
            self.shares.success_share += EWMA_WEIGHT * (ok - self.shares.success_share)
            self.mean_wait += EWMA_WEIGHT * (event.latency / (1 + server.reported_load) - self.mean_wait)
        if event.status is not api.Status.BUSY:
            server.latency += EWMA_WEIGHT * (event.latency - server.latency)
        server.latency_ratio += EWMA_WEIGHT * (event.latency / attempt.target_latency - server.latency_ratio)
        if event.status is api.Status.BUSY or server.latency_ratio > 1.0:
            if self.now - server.limit_cut_at > attempt.target_latency:
                server.limit = max(1.0, server.limit * LIMIT_FACTOR)
                server.limit_cut_at = self.now
            if event.status is api.Status.BUSY:  # it can take no more than it has in flight now
                server.limit = max(1.0, min(server.limit, server.in_flight))
        elif ok and server.in_flight + 1 >= server.limit / 2:
            server.limit += 1 / server.limit
