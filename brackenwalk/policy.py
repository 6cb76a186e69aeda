"""Every decision of a router, a state machine without I/O, in the terms of `brackenwalk/interface.py`.

Each key is hashed onto a ring of weighted virtual nodes and sent to the first server clockwise; the walk
goes on past servers whose load has reached (1 + epsilon) times the average.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator

from brackenwalk import interface as api
from brackenwalk.calls import Calls
from brackenwalk.demand import HOT
from brackenwalk.ring import Ring, ring_hash
from brackenwalk.shares import CACHE_TARGET_SHARE, EPSILON, TrafficShares
from brackenwalk.state import Attempt, PendingRequest, Server
from brackenwalk.telling import Telling

VIRTUAL_NODES = 128  # virtual nodes of a server as large as the unit of weight: shares within a tenth or so
MAX_WALK_NODES = 64  # points a walk goes at most: no tour of the fleet for each request when all is crowded
FREE_BUSY_RETRY_SHARE = (
    0.3  # of own attempts answered well: above it a refusal as full, being cheap, spends no retry
)
MAX_QUEUE_WAIT_SHARE = (
    0.25  # of the time left that may be spent waiting behind what a server is reported to hold
)
MAX_SPILL_SERVERS = (
    2  # servers a key may visit: further on they lack it, and a crowd of hits would turn into misses
)
ORIGIN_TARGET_SHARE = 0.5  # of the aim, as CACHE_TARGET_SHARE: the origin is slow by nature
FETCH_LATENCY_FACTOR = (
    2.0  # times the usual latency that must be left: a fetch given up midway is not even stored
)
SMOOTHING_FACTOR = 0.2  # of the latest sample in a mean; five answers or so are remembered
LIMIT_CUT_FACTOR = (
    0.75  # soon enough to empty a crowded server within a few rounds; a tenth took many seconds
)
RETRIES_PER_REQUEST = (
    0.2  # retries for each request taken: enough for a server lost, too few to feed an overload
)
MAX_RETRY_BUDGET = 10.0  # unspent retries kept, so that those of a lost server can all go at once
LOST_LATENCY_FACTOR = 8.0  # times the usual latency: an answer that has not come by then is taken for lost
SILENCE_FACTOR = 1.0  # shortest aims without any answer: longer than pauses, soon enough to matter
FAILURE_THRESHOLD = 3  # failures in a row that are no chance; from then on one trial every SILENCE_FACTOR
IDLE_KEEP_SHARE = 0.5  # of the idle time at which a connection costs as much as the handshake it saves
IDLE_KEEP_RECOVERY_SHARE = (
    0.01  # of the way back to IDLE_KEEP_SHARE with each answer, after failures have cut it by half each
)
NO_ANSWER = (api.Status.TIMEOUT, api.Status.CANCELLED, api.Status.UNSENT)


class Router:
    """The decisions of one router."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.shortest_aim = settings.shortest_aim
        self.now, self.random = now, random.Random(seed)
        self.actions: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.servers_by_hash: dict[int, Server] = {}  # as peers name them
        self.ring: Ring[Server] = Ring()
        self.calls = Calls(settings, self.random, now)
        self.gossip = Telling(settings, self.random, now)
        self.demand = self.gossip.demand
        self.shares = TrafficShares(settings, self.demand, now)
        self.max_weights: dict[str, float] = {}  # the largest weight seen of a kind
        self.pending: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.queue: list[
            tuple[float, int, PendingRequest]
        ] = []  # for the origin, or any server: worth, then age
        self.queue_sequence = self.request_count = 0
        self.retry_budget, self.keep_factor = MAX_RETRY_BUDGET, IDLE_KEEP_SHARE
        self.started_at = now
        self.shutdown_at = math.inf  # by then all are answered
        self._build_ring()
        self.wait_per_request = (
            0.0  # smoothed latency for each request held a unit of size, the one in hand included
        )

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event and answer with actions, to be carried out in order."""
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
            for name in self.gossip.hear(event.content, now):
                if name in self.servers_by_hash:
                    self.shares.cut_health(self.servers_by_hash[name])
                    self.gossip.drop(self.servers_by_hash[name])
        elif isinstance(event, api.ClientGone) and event.request_id in self.pending:
            self._remove(self.pending[event.request_id])
        elif isinstance(event, api.ResponseStarted) and event.request_id in self.pending:
            self.pending[event.request_id].response_started = True
        elif isinstance(event, api.Shutdown):
            self._on_shutdown(event)
        return self.actions

    def _on_shutdown(self, event: api.Shutdown) -> None:
        """Wait for nothing that would come after the end."""
        self.shutdown_at = self.now + event.time_left - self.settings.timer_resolution
        for pending in self.pending.values():
            pending.deadline = min(pending.deadline, self.shutdown_at)
            if pending.waiting:
                self._set_wait_timer(pending)

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.actions.append(api.SetTimer(self.calls.failed(self.now), "list"))
            self.actions.append(api.Log(f"list out of reach, {self.calls.failures} in a row"))
            return
        if event.kind is api.ListKind.MOVED:
            self.actions.append(api.SetTimer(self.calls.moved(), "list"))
            return
        if event.kind is not api.ListKind.DELTA:
            for i in self.servers.keys() - {e.server for e in event.entries}:
                self._remove_server(i)
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is api.ServerState.GONE:
                self._remove_server(entry.server)
            elif (
                known is None or entry.started_at > known.entry.started_at
            ):  # a new process: nothing learned holds
                self._remove_server(entry.server)
                origin = self.settings.aside and entry.kind == self.settings.origin_kind
                name = ring_hash(entry.server)[0] >> 32
                self.servers[entry.server] = self.servers_by_hash[name] = Server(entry, not origin, name)
            else:
                known.entry = entry
        if event.entries or event.kind is not api.ListKind.DELTA:
            self._build_ring()  # a watch's end with no news, one every few seconds, changes nothing
        if event.kind is not api.ListKind.SAVED:
            self.calls.listed(self.now)
        elif self.settings.subscribe:
            # guards against asking in step: a call that waits too long fails, and is still worked through
            self.actions.append(api.SetTimer(self.calls.until_turn(self.now), "list"))
        queue, self.queue = sorted(self.queue), []
        for pending in (q[2] for q in queue if q[2].waiting):
            pending.waiting = False
            self._advance(pending)

    def _remove_server(self, name: str) -> None:
        if name in self.servers:
            server = self.servers.pop(name)
            self.ring.place(server, name, 0)
            self.servers_by_hash.pop(server.name_hash, None)
            self.gossip.drop(server)

    def _build_ring(self) -> None:
        """Points follow the size of a server alone, so that others coming or going move none of them."""
        caches = self.caches = [s for s in self.servers.values() if s.is_cache and s.entry.ready]
        self.origins = [s for s in self.servers.values() if not s.is_cache and s.entry.ready]
        self.shares.update_servers(caches)
        for s in caches:
            s.ring_weight = s.entry.weight
            if self.settings.live_weights:
                # live weights fall with load and come late: on the ring they moved keys with every list
                s.ring_weight = self.max_weights[s.entry.kind] = max(
                    self.max_weights.get(s.entry.kind, 0.0), s.ring_weight
                )
                s.reported_load = s.ring_weight / s.entry.weight - 1 if s.entry.weight else 0.0
        largest = (
            max((s.ring_weight for s in caches), default=0.0) or 1.0
        )  # and what a missing weight counts as
        unit = 2.0 ** math.ceil(math.log2(largest))  # rarely changes with the fleet
        for s in self.servers.values():
            s.ring_weight = s.ring_weight or largest
            self.ring.place(
                s,
                s.entry.server,
                math.ceil(VIRTUAL_NODES * s.ring_weight / unit) if s.is_cache and s.entry.ready else 0,
            )
        self.ring.settle()
        self.shares.total_weight = sum(s.ring_weight for s in caches)
        self.mean_reported = sum(s.reported_load for s in caches) / max(1, len(caches))

    def _origin(self) -> Server | None:
        """The least loaded origin member that may be sent to."""
        return min(self.origins, key=lambda s: s.in_flight, default=None)

    def _choose(self, pending: PendingRequest) -> Server | None:
        """The bounded walk: a key's load flows clockwise, and each server keeps (1 + epsilon) fair shares."""
        portions = self.shares.hot_key_shares.get(pending.ring_position >> 32, {})
        planned = sum(portions.values())
        flow = self.random.random() * planned
        cap = (1 + EPSILON) * max(1.0, self.mean_reported)  # passed by chance: all read the same late report
        crowded = 0
        best = None
        for server in self._clockwise(pending.ring_position):
            if self._eligible(pending, server):
                portion = portions.get(server, 0.0)
                flow -= portion
                takes = not self.shares.is_cold(server) or self._cold_server_accepts(
                    pending, server, portion / planned if portion else 1.0
                )
                if flow <= 0 and takes and server.reported_load * self.random.random() <= cap:
                    return server
                best = best or (None if self.shares.is_cold(server) else server)
            elif server.in_flight >= server.limit and server not in portions and not self._is_silent(server):
                crowded += 1
                if crowded >= MAX_SPILL_SERVERS:
                    break
        return best  # all over the cap: then it is as good as any, and likelier to have the key

    def _cold_server_accepts(self, pending: PendingRequest, server: Server, planned: float) -> bool:
        """Whether a cold server takes this of its part: no retries, nor what others have no place for."""
        key = pending.ring_position >> 32
        part = self.shares.max_key_share(key, server) / planned  # of the part that it is planned to get
        # guards the origin: split by chance, each small key would be fetched for two servers
        small = self.demand.share(key) < HOT * server.ring_weight / self.shares.total_weight
        draw = (pending.ring_position & 0xFFFFFFFF) / 2**32 if small else self.random.random()
        pending.skipped_cold = bool(pending.attempts) or draw >= part
        return not pending.skipped_cold

    def _clockwise(self, position: int) -> Iterator[Server]:
        """Each server once, in the order that a walk meets it."""
        passed: set[Server] = set()
        for server, rank in self.ring.clockwise(position, MAX_WALK_NODES):
            # all leave out the same points of one that ails; none spills to a cold one
            if (
                server in passed
                or rank > self.shares.kept_share(server)
                or (passed and self.shares.is_cold(server))
            ):
                continue
            passed.add(server)
            yield server

    def _refuses_early(self, pending: PendingRequest, server: Server) -> bool:
        """Refuses by chance what would wait too long. Guards against rooms so full that all is late."""
        crowd = (
            server.reported_load / MAX_QUEUE_WAIT_SHARE if self.settings.live_weights else 1.0
        )  # told, or seen in own waits
        return self.random.random() * self.wait_per_request * crowd > pending.deadline - self.now

    def _eligible(self, pending: PendingRequest, server: Server) -> bool:
        """Whether a server may take the request now."""
        silent = server.in_flight and self._is_silent(server)
        if silent:
            self._mark_unhealthy(server)
        full = server.in_flight >= server.limit or silent
        tried = any(a.server is server for a in pending.attempts)
        faulty = (
            server.consecutive_failures >= FAILURE_THRESHOLD
            and self.now - server.last_used_at < SILENCE_FACTOR * self.shortest_aim
        )
        return not (full or tried or faulty or self._zone_unreachable(server)) and self._permits(
            pending, server
        )

    def _zone_unreachable(self, server: Server) -> bool:
        """Whether the server's zone gives no sign of life; then one trial at a time, as with a server."""
        zone = self.shares.zones.get(server.entry.zone) if len(self.shares.zones) > 1 else None
        if zone is None or zone.unanswered < FAILURE_THRESHOLD:
            return False
        return self.now - zone.last_send_at < SILENCE_FACTOR * self.shortest_aim

    def _count_unanswered(self, attempt: Attempt) -> None:
        """Count an attempt that came to nothing while its whole zone said nothing."""
        zone = self.shares.zones.get(attempt.server.entry.zone) if attempt.server.is_cache else None
        if zone is not None and zone.last_answer_at < attempt.sent_at and not attempt.counted_unanswered:
            attempt.counted_unanswered = True
            zone.unanswered += 1

    def _mark_unhealthy(self, server: Server) -> None:
        if self.shares.cut_health(server):
            self.gossip.found(server)

    def _is_silent(self, server: Server) -> bool:
        """Whether a server owes us an answer and has given none, to anything, for too long."""
        return self.now - server.unanswered_since > SILENCE_FACTOR * self.shortest_aim

    def _on_request(self, request: api.Request) -> None:
        kind = self.settings.classes.get(request.request_class)
        if kind is None:  # counted as demand, what is never sent would push aside what is
            self.actions.append(api.Refuse(request.request_id))
            return
        until = min(
            self.shutdown_at, self.now + min(request.time_left - self.settings.timer_resolution, kind.aim)
        )
        position = ring_hash(request.request_id if request.key is None else request.key)[0]
        to_origin = self.settings.aside and request.write
        pending = self.pending[request.request_id] = PendingRequest(request, kind, until, to_origin, position)
        self.request_count += 1
        if not pending.to_origin:
            self.demand.add(pending.ring_position >> 32)
        if self.caches and self.gossip.due(self.now):
            self.shares.plan(self._clockwise, self.ring.first)
            if message := self.gossip.message(self.now):
                self.actions.append(api.Broadcast(message))
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)
        self._advance(pending)

    def _permits(self, pending: PendingRequest, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = pending.request_class
        ran = [a for a in pending.attempts if a.may_have_run]
        waits = pending.open_attempts() and not self.settings.second_copies
        if server is not None and (waits or len(pending.attempts) >= self.settings.max_attempts):
            return False
        if kind.retry_safety is api.RetrySafety.SAFE or not ran:
            return True
        if kind.retry_safety is api.RetrySafety.UNSAFE or server is None:
            return kind.retry_safety is api.RetrySafety.KEYED and kind.repeat_group is api.RepeatGroup.ALL
        # guards against a second effect: a connection may have to come up first
        in_window = self.now + self.settings.dial_timeout < min(a.sent_at for a in ran) + kind.repeat_window
        return in_window and all(kind.repeat_group.shared_by(a.server.entry, server.entry) for a in ran)

    def _advance(self, pending: PendingRequest) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        to_ring = self.caches and not pending.to_origin
        server = self._choose(pending) if to_ring else self._origin()
        if (
            self.now >= pending.deadline
            or (server is None or not self._permits(pending, server))
            and pending.attempts
        ):
            self._finish(pending)
        elif not to_ring:
            self._enqueue(pending)
        elif server is None or self._refuses_early(pending, server):
            self._finish(pending)
        else:
            self._send(pending, server)

    def _send(self, pending: PendingRequest, server: Server) -> None:
        target = (CACHE_TARGET_SHARE if server.is_cache else ORIGIN_TARGET_SHARE) * pending.request_class.aim
        attempt = self.attempts[pending.request.request_id, len(pending.attempts)] = Attempt(
            server, target, self.now
        )
        pending.attempts.append(attempt)
        server.in_flight += 1
        server.unanswered_since = min(server.unanswered_since, self.now)
        if server.is_cache and (zone := self.shares.zones.get(server.entry.zone)) is not None:
            zone.last_send_at = self.now
        self.actions.append(api.Send(pending.request.request_id, server.entry.server))
        self._schedule_copy(pending, attempt)

    def _schedule_copy(self, pending: PendingRequest, last: Attempt) -> None:
        """Come back to an attempt when it has taken far longer than usual."""
        last.copy_due_at = self.now + max(last.target_latency, LOST_LATENCY_FACTOR * last.server.latency)
        if self.settings.second_copies and last.copy_due_at < pending.deadline:
            self.actions.append(
                api.SetTimer(last.copy_due_at - self.now, "late:" + pending.request.request_id)
            )

    def _send_copy(self, pending: PendingRequest, last: Attempt) -> None:
        """A second copy of what got lost on its way: far past the usual time, and later ones are answered."""
        late = last.open and self.now >= last.copy_due_at - self.settings.timer_resolution / 2
        if late:
            self._count_unanswered(last)
        slow = last.server.last_answered_send <= last.sent_at and not self._zone_unreachable(last.server)
        if late and slow:  # guards against feeding what is slow, not lost
            self._schedule_copy(pending, last)
        elif late and self.retry_budget >= 1:
            server = self._choose(pending) if last.server.is_cache else self._origin()
            if server is not None and server.in_flight < server.limit and self._permits(pending, server):
                self.retry_budget -= 1
                self._send(pending, server)

    def _on_timer(self, event: api.TimerFired) -> None:
        what, _, name = event.token.partition(":")
        if what == "list":
            self.calls.asked(self.now)
            self.actions.append(api.Subscribe())
        elif what == "idle" and (idle := self.servers.get(name)) is not None:
            idle.idle_check_at = (
                idle.idle_check_at
                if self.now < idle.idle_check_at - self.settings.timer_resolution
                else math.inf
            )
            self._close_idle(idle)
        pending = self.pending.get(name)
        if pending is not None and pending.waiting:
            # half a tick of grace: rounding may wake us a hair before
            late = (
                self.now >= self._latest_start(pending, self._origin()) - self.settings.timer_resolution / 2
            )
            (self._finish if late else self._set_wait_timer)(pending)
        elif pending is not None and what == "late" and not pending.response_started:
            self._send_copy(pending, pending.attempts[-1])

    def _close_idle(self, server: Server) -> None:
        """Guards against full tables: an idle connection goes once its price has passed a new one's."""
        price = self.settings.connection_cost
        if server.in_flight or not price:
            return
        rate = (
            self.request_count / max(self.now - self.started_at, self.shortest_aim) * self.settings.siblings
        )
        keep = self.keep_factor * self.settings.handshake_cost / price * 100 * len(self.caches) / rate
        left = server.last_used_at + keep - self.now
        if left < self.settings.timer_resolution:
            self.actions.append(api.CloseIdle(server.entry.server))
        elif left < min(self.settings.idle_timeout, (server.idle_check_at - self.now) / 2):
            # guards memory: a timer that is out will look again, unless it comes far too late
            server.idle_check_at = self.now + left
            self.actions.append(api.SetTimer(left, "idle:" + server.entry.server))

    def _finish(self, pending: PendingRequest) -> None:
        """The final answer: a refusal where the class permits one, else a failure."""
        pending.waiting = False
        if pending.response_started or pending.open_attempts():
            return
        name, origin = pending.request.request_id, self._origin() if pending.to_origin else None
        # by then what stood in its way is over; guards against all that were refused coming back at once
        usual = 2 * (origin.latency if origin else self.wait_per_request)
        if (
            pending.skipped_cold and not pending.attempts
        ):  # no warm one took it, and what cold ones bear counts by the window
            usual = max(usual, self.settings.overload_window)
        come_back = min(self.settings.max_retry_after, usual) * self.random.uniform(0.5, 1.0)
        self.actions.append(api.Refuse(name, come_back) if self._permits(pending, None) else api.Fail(name))
        self._remove(pending)

    def _remove(self, pending: PendingRequest) -> None:
        pending.waiting = False
        del self.pending[pending.request.request_id]
        if self.settings.may_cancel:
            self.actions += [
                api.Cancel(pending.request.request_id, i) for i, a in enumerate(pending.attempts) if a.open
            ]

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return
        attempt.open = False
        attempt.may_have_run = event.status not in api.NEVER_RAN
        attempt.server.in_flight -= 1
        told = event.status not in NO_ANSWER
        if told:
            attempt.server.unanswered_since = math.inf
        # what was sent before an attempt that has been answered got lost, and says nothing of its server
        told |= event.status is api.Status.TIMEOUT and attempt.server.last_answered_send <= attempt.sent_at
        attempt.server.last_used_at = self.now
        lost = event.status is api.Status.CONNECT_FAILED
        if lost:
            self._count_unanswered(attempt)
        elif event.status not in NO_ANSWER and event.status is not api.Status.RESET:
            zone = self.shares.zones.get(attempt.server.entry.zone)
            if zone is not None and attempt.server.is_cache:
                if zone.unanswered >= FAILURE_THRESHOLD and len(self.shares.zones) > 1:
                    self.shares.zone_recovered(zone)
                zone.last_answer_at, zone.unanswered = self.now, 0
        self.keep_factor = (
            self.keep_factor / 2
            if lost
            else self.keep_factor + IDLE_KEEP_RECOVERY_SHARE * (IDLE_KEEP_SHARE - self.keep_factor)
        )
        self._close_idle(attempt.server)
        if told:
            self._update_limit(attempt, event)
        pending = self.pending.get(event.request_id)
        if pending is not None:
            missed = event.status is api.Status.MISS and not pending.to_origin  # whatever copies are out
            if event.request_done or event.status is api.Status.OK:
                self._remove(pending)
            elif not pending.waiting and (missed or not pending.open_attempts()):
                self._after_failure(pending, event)
        if not attempt.server.is_cache:
            self._serve_queue()

    def _after_failure(self, pending: PendingRequest, event: api.Outcome) -> None:
        """The origin is next after a miss; after anything else a retry, while the budget lasts."""
        if event.status is api.Status.MISS and self.settings.aside:
            pending.to_origin = True
        elif event.status is api.Status.ERROR and not self.settings.aside:
            pending.deadline = (
                self.now
            )  # guards against a failing origin: each server tried fetches the key again
        elif not pending.to_origin and (
            event.status is not api.Status.BUSY or self.shares.success_share < FREE_BUSY_RETRY_SHARE
        ):
            # guards against feeding an overload: full servers made every request into a dozen attempts
            pending.deadline = pending.deadline if self.retry_budget >= 1 else self.now
            self.retry_budget = max(0.0, self.retry_budget - 1)
        self._advance(pending)

    def _enqueue(self, pending: PendingRequest) -> None:
        """Wait for a place at the origin, or any: worth first, or writes wait behind misses; then age."""
        pending.waiting = True
        self._set_wait_timer(pending)
        self.queue_sequence += 1
        heapq.heappush(self.queue, (-pending.request_class.value, self.queue_sequence, pending))
        self._serve_queue()

    def _set_wait_timer(self, pending: PendingRequest) -> None:
        """A timer, so that a request that waits is answered in time whatever comes."""
        pause = max(0.0, self._latest_start(pending, self._origin()) - self.now)
        self.actions.append(api.SetTimer(pause, "wait:" + pending.request.request_id))

    def _latest_start(self, pending: PendingRequest, origin: Server | None) -> float:
        """From then on no fetch would be back in time; writes need less room, as they store nothing."""
        room = 1.0 if pending.request.write else FETCH_LATENCY_FACTOR
        return pending.deadline - room * origin.latency if origin is not None else pending.deadline

    def _serve_queue(self) -> None:
        while self.queue and (origin := self._origin()) is not None and origin.in_flight < origin.limit:
            pending = heapq.heappop(self.queue)[2]
            if not pending.waiting:
                continue
            pending.waiting = False
            # no fetch that can't be back in time, but for one to learn by
            in_time = self.now < (
                self._latest_start(pending, origin) if origin.in_flight else pending.deadline
            )
            if in_time and self._permits(pending, origin):
                self._send(pending, origin)
            else:
                self._finish(pending)
        # guards clients against waiting on for what can't be served any more: they may still ask again
        origin = self._origin()  # looked up once, not for each that waits
        for _, _, pending in self.queue:
            if pending.waiting and self.now >= self._latest_start(pending, origin):
                self._finish(pending)
        # guards against requests long ended piling up behind those of more worth
        self.queue = [q for q in self.queue if q[2].waiting]
        heapq.heapify(self.queue)

    def _update_limit(self, attempt: Attempt, event: api.Outcome) -> None:
        """Adapt what this router has out at a server: less when it is slow or full, else a little more."""
        server = attempt.server
        well = event.status in (api.Status.OK, api.Status.MISS)
        server.last_answered_send = max(server.last_answered_send, attempt.sent_at if well else -math.inf)
        server.consecutive_failures = (
            0 if well else server.consecutive_failures + (event.status not in (*NO_ANSWER, api.Status.BUSY))
        )
        if server.consecutive_failures >= FAILURE_THRESHOLD:
            self._mark_unhealthy(server)
        if server.is_cache:
            self.shares.success_share += SMOOTHING_FACTOR * (well - self.shares.success_share)
            self.wait_per_request += SMOOTHING_FACTOR * (
                event.latency / (1 + server.reported_load) - self.wait_per_request
            )
        if event.status is not api.Status.BUSY:
            server.latency += SMOOTHING_FACTOR * (event.latency - server.latency)
        server.latency_ratio += SMOOTHING_FACTOR * (
            event.latency / attempt.target_latency - server.latency_ratio
        )
        if event.status is api.Status.BUSY or server.latency_ratio > 1.0:
            if self.now - server.limit_cut_at > attempt.target_latency:
                server.limit = max(1.0, server.limit * LIMIT_CUT_FACTOR)
                server.limit_cut_at = self.now
            if event.status is api.Status.BUSY:  # what is out there now is what it bears
                server.limit = max(1.0, min(server.limit, server.in_flight))
        elif well and server.in_flight + 1 >= server.limit / 2:
            server.limit += 1 / server.limit
