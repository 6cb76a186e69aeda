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
from brackenwalk.demand import HOT_KEY_SHARE
from brackenwalk.discovery_calls import DiscoveryCalls
from brackenwalk.gossip import Gossip
from brackenwalk.ring import Ring, ring_hash
from brackenwalk.shares import CACHE_TARGET, EPSILON, Shares
from brackenwalk.state import Attempt, Held, Server

POINTS = 128  # virtual nodes of a server as large as the unit of weight: shares within a tenth or so
WALK = 64  # points a walk goes at most: no tour of the fleet for each request when all is crowded
ROOM = 0.3  # of own attempts answered well: above it a refusal as full, being cheap, spends no retry
QUEUE = 0.25  # of the time left that may be spent waiting behind what a server is reported to hold
SPILL = 2  # servers a key may visit: further on they lack it, and a crowd of hits would turn into misses
ORIGIN_TARGET = 0.5  # of the aim, as CACHE_TARGET: the origin is slow by nature
FETCH_ROOM = 2.0  # times the usual latency that must be left: a fetch given up midway is not even stored
SMOOTHING = 0.2  # of the latest sample in a mean; five answers or so are remembered
LIMIT_CUT = 0.75  # soon enough to empty a crowded server within a few rounds; a tenth took many seconds
RETRY_SHARE = 0.2  # retries for each request taken: enough for a server lost, too few to feed an overload
RETRIES_SAVED = 10.0  # unspent retries kept, so that those of a lost server can all go at once
LOST = 8.0  # times the usual latency: an answer that has not come by then is taken for lost
SILENCE = 1.0  # shortest aims without any answer: longer than pauses, soon enough to matter
FAULTY = 3  # failures in a row that are no chance; from then on one trial every SILENCE
KEEP = 0.5  # of the idle time at which a connection costs as much as the handshake it saves
KEEP_GAIN = 0.01  # of the way back to KEEP with each answer, after failures have cut it by half each
UNHEARD = (api.Status.TIMEOUT, api.Status.CANCELLED, api.Status.MOOT)


class Router:
    """The decisions of one router."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.shortest_aim = settings.shortest_aim
        self.now, self.random = now, random.Random(seed)
        self.out: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.named: dict[int, Server] = {}  # as peers name them
        self.ring: Ring[Server] = Ring()
        self.discovery_calls = DiscoveryCalls(settings, self.random, now)
        self.gossip = Gossip(settings, self.random, now)
        self.demand = self.gossip.demand
        self.shares = Shares(settings, self.demand, now)
        self.sizes: dict[str, float] = {}  # the largest weight seen of a kind
        self.held: dict[str, Held] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.queue: list[tuple[float, int, Held]] = []  # for the origin, or any server: worth, then age
        self.queued = self.taken = 0
        self.retries, self.keep = RETRIES_SAVED, KEEP
        self.born = now
        self.end_at = math.inf  # by then all are answered
        self._build_ring()
        self.wait = 0.0  # smoothed latency for each request held a unit of size, the one in hand included

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event and answer with actions, to be carried out in order."""
        self.now, self.shares.now, self.out = now, now, []
        if isinstance(event, api.Outcome):
            self._on_outcome(event)
        elif isinstance(event, api.Request):
            self._on_request(event)
        elif isinstance(event, api.TimerFired):
            self._on_timer(event)
        elif isinstance(event, api.ServerList):
            self._on_list(event)
        elif isinstance(event, api.PeerMessage):
            for name in self.gossip.receive(event.content, now):
                if name in self.named:
                    self.shares.ease(self.named[name])
                    self.gossip.remove_unhealthy(self.named[name])
        elif isinstance(event, api.ClientGone) and event.request in self.held:
            self._forget(self.held[event.request])
        elif isinstance(event, api.Streaming) and event.request in self.held:
            self.held[event.request].streaming = True
        elif isinstance(event, api.Ending):
            self._on_ending(event)
        return self.out

    def _on_ending(self, event: api.Ending) -> None:
        """Wait for nothing that would come after the end."""
        self.end_at = self.now + event.time_left - self.settings.tick
        for held in self.held.values():
            held.until = min(held.until, self.end_at)
            if held.waiting:
                self._wake_in_time(held)

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.out.append(api.SetTimer(self.discovery_calls.delay_after_failure(self.now), "list"))
            self.out.append(api.Log(f"list out of reach, {self.discovery_calls.failures} in a row"))
            return
        if event.kind is api.ListKind.MOVED:
            self.out.append(api.SetTimer(self.discovery_calls.delay_after_move(), "list"))
            return
        if event.kind is not api.ListKind.DELTA:
            for i in self.servers.keys() - {e.server for e in event.entries}:
                self._drop(i)
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is api.State.GONE:
                self._drop(entry.server)
            elif known is None or entry.since > known.entry.since:  # a new process: nothing learned holds
                self._drop(entry.server)
                origin = self.settings.aside and entry.kind == self.settings.origin_kind
                name = ring_hash(entry.server)[0] >> 32
                self.servers[entry.server] = self.named[name] = Server(entry, not origin, name)
            else:
                known.entry = entry
        if event.entries or event.kind is not api.ListKind.DELTA:
            self._build_ring()  # a watch's end with no news, one every few seconds, changes nothing
        if event.kind is not api.ListKind.SAVED:
            self.discovery_calls.list_received(self.now)
        elif self.settings.subscribe:
            # guards against asking in step: a call that waits too long fails, and is still worked through
            self.out.append(api.SetTimer(self.discovery_calls.delay_until_turn(self.now), "list"))
        queue, self.queue = sorted(self.queue), []
        for held in (q[2] for q in queue if q[2].waiting):
            held.waiting = False
            self._advance(held)

    def _drop(self, name: str) -> None:
        if name in self.servers:
            server = self.servers.pop(name)
            self.ring.set_virtual_nodes(server, name, 0)
            self.named.pop(server.name, None)
            self.gossip.remove_unhealthy(server)

    def _build_ring(self) -> None:
        """Points follow the size of a server alone, so that others coming or going move none of them."""
        caches = self.caches = [s for s in self.servers.values() if s.cache and s.entry.ready]
        self.origins = [s for s in self.servers.values() if not s.cache and s.entry.ready]
        self.shares.take(caches)
        for s in caches:
            s.size = s.entry.weight
            if self.settings.live_weights:
                # live weights fall with load and come late: on the ring they moved keys with every list
                s.size = self.sizes[s.entry.kind] = max(self.sizes.get(s.entry.kind, 0.0), s.size)
                s.reported = s.size / s.entry.weight - 1 if s.entry.weight else 0.0
        largest = max((s.size for s in caches), default=0.0) or 1.0  # and what a missing weight counts as
        unit = 2.0 ** math.ceil(math.log2(largest))  # rarely changes with the fleet
        for s in self.servers.values():
            s.size = s.size or largest
            self.ring.set_virtual_nodes(
                s, s.entry.server, math.ceil(POINTS * s.size / unit) if s.cache and s.entry.ready else 0
            )
        self.ring.apply_changes()
        self.shares.total_size = sum(s.size for s in caches)
        self.mean_reported = sum(s.reported for s in caches) / max(1, len(caches))

    def _origin(self) -> Server | None:
        """The least loaded origin member that may be sent to."""
        return min(self.origins, key=lambda s: s.load, default=None)

    def _choose(self, held: Held) -> Server | None:
        """The bounded walk: a key's load flows clockwise, and each server keeps (1 + epsilon) fair shares."""
        portions = self.shares.portions.get(held.position >> 32, {})
        planned = sum(portions.values())
        flow = self.random.random() * planned
        cap = (1 + EPSILON) * max(1.0, self.mean_reported)  # passed by chance: all read the same late report
        crowded = 0
        best = None
        for server in self._clockwise(held.position):
            if self._eligible(held, server):
                portion = portions.get(server, 0.0)
                flow -= portion
                takes = not self.shares.cold(server) or self._takes(
                    held, server, portion / planned if portion else 1.0
                )
                if flow <= 0 and takes and server.reported * self.random.random() <= cap:
                    return server
                best = best or (None if self.shares.cold(server) else server)
            elif server.load >= server.limit and server not in portions and not self._silent(server):
                crowded += 1
                if crowded >= SPILL:
                    break
        return best  # all over the cap: then it is as good as any, and likelier to have the key

    def _takes(self, held: Held, server: Server, planned: float) -> bool:
        """Whether a cold server takes this of its part: no retries, nor what others have no place for."""
        key = held.position >> 32
        part = self.shares.bears(key, server) / planned  # of the part that it is planned to get
        # guards the origin: split by chance, each small key would be fetched for two servers
        small = self.demand.share(key) < HOT_KEY_SHARE * server.size / self.shares.total_size
        draw = (held.position & 0xFFFFFFFF) / 2**32 if small else self.random.random()
        held.spared = bool(held.attempts) or draw >= part
        return not held.spared

    def _clockwise(self, position: int) -> Iterator[Server]:
        """Each server once, in the order that a walk meets it."""
        passed: set[Server] = set()
        for server, rank in self.ring.clockwise(position, WALK):
            # all leave out the same points of one that ails; none spills to a cold one
            if server in passed or rank > self.shares.kept(server) or (passed and self.shares.cold(server)):
                continue
            passed.add(server)
            yield server

    def _too_late(self, held: Held, server: Server) -> bool:
        """Refuses by chance what would wait too long. Guards against rooms so full that all is late."""
        crowd = server.reported / QUEUE if self.settings.live_weights else 1.0  # told, or seen in own waits
        return self.random.random() * self.wait * crowd > held.until - self.now

    def _eligible(self, held: Held, server: Server) -> bool:
        """Whether a server may take the request now."""
        silent = server.load and self._silent(server)
        if silent:
            self._found_ailing(server)
        full = server.load >= server.limit or silent
        tried = any(a.server is server for a in held.attempts)
        faulty = server.wrong >= FAULTY and self.now - server.used_at < SILENCE * self.shortest_aim
        return not (full or tried or faulty or self._cut_off(server)) and self._permits(held, server)

    def _cut_off(self, server: Server) -> bool:
        """Whether the server's zone gives no sign of life; then one trial every SILENCE, as with a server."""
        zone = self.shares.zones.get(server.entry.zone) if len(self.shares.zones) > 1 else None
        if zone is None or zone.unheard < FAULTY:
            return False
        return self.now - zone.tried_at < SILENCE * self.shortest_aim

    def _unheard(self, attempt: Attempt) -> None:
        """Count an attempt that came to nothing while its whole zone said nothing."""
        zone = self.shares.zones.get(attempt.server.entry.zone) if attempt.server.cache else None
        if zone is not None and zone.heard_at < attempt.sent_at and not attempt.unheard:
            attempt.unheard = True
            zone.unheard += 1

    def _found_ailing(self, server: Server) -> None:
        if self.shares.ease(server):
            self.gossip.add_unhealthy(server)

    def _silent(self, server: Server) -> bool:
        """Whether a server owes us an answer and has given none, to anything, for too long."""
        return self.now - server.quiet_since > SILENCE * self.shortest_aim

    def _on_request(self, request: api.Request) -> None:
        kind = self.settings.classes.get(request.request_class)
        if kind is None:  # counted as demand, what is never sent would push aside what is
            self.out.append(api.Refuse(request.request))
            return
        until = min(self.end_at, self.now + min(request.time_left - self.settings.tick, kind.aim))
        position = ring_hash(request.request if request.key is None else request.key)[0]
        to_origin = self.settings.aside and request.write
        held = self.held[request.request] = Held(request, kind, until, to_origin, position)
        self.taken += 1
        if not held.to_origin:
            self.demand.add(held.position >> 32)
        if self.caches and self.gossip.due(self.now):
            self.shares.plan(self._clockwise, self.ring.owner_at)
            if message := self.gossip.next_message(self.now):
                self.out.append(api.Tell(message))
        self.retries = min(RETRIES_SAVED, self.retries + RETRY_SHARE)
        self._advance(held)

    def _permits(self, held: Held, server: Server | None) -> bool:
        """What the class still permits: another send to this server or, with None, a refusal."""
        kind = held.request_class
        ran = [a for a in held.attempts if a.may_have_run]
        waits = held.open_attempts() and not self.settings.second_copies
        if server is not None and (waits or len(held.attempts) >= self.settings.max_attempts):
            return False
        if kind.effect is api.Effect.SAFE or not ran:
            return True
        if kind.effect is api.Effect.UNSAFE or server is None:
            return kind.effect is api.Effect.KEYED and kind.group is api.Group.ALL
        # guards against a second effect: a connection may have to come up first
        in_window = self.now + self.settings.dial_timeout < min(a.sent_at for a in ran) + kind.window
        return in_window and all(kind.group.joins(a.server.entry, server.entry) for a in ran)

    def _advance(self, held: Held) -> None:
        """Send the next attempt, hold the request for one, or end it."""
        to_ring = self.caches and not held.to_origin
        server = self._choose(held) if to_ring else self._origin()
        if self.now >= held.until or (server is None or not self._permits(held, server)) and held.attempts:
            self._end(held)
        elif not to_ring:
            self._enqueue(held)
        elif server is None or self._too_late(held, server):
            self._end(held)
        else:
            self._send(held, server)

    def _send(self, held: Held, server: Server) -> None:
        target = (CACHE_TARGET if server.cache else ORIGIN_TARGET) * held.request_class.aim
        attempt = self.attempts[held.request.request, len(held.attempts)] = Attempt(server, target, self.now)
        held.attempts.append(attempt)
        server.load += 1
        server.quiet_since = min(server.quiet_since, self.now)
        if server.cache and (zone := self.shares.zones.get(server.entry.zone)) is not None:
            zone.tried_at = self.now
        self.out.append(api.Send(held.request.request, server.entry.server))
        self._look_again(held, attempt)

    def _look_again(self, held: Held, last: Attempt) -> None:
        """Come back to an attempt when it has taken far longer than usual."""
        last.late_at = self.now + max(last.target, LOST * last.server.latency)
        if self.settings.second_copies and last.late_at < held.until:
            self.out.append(api.SetTimer(last.late_at - self.now, "late:" + held.request.request))

    def _copy(self, held: Held, last: Attempt) -> None:
        """A second copy of what got lost on its way: far past the usual time, and later ones are answered."""
        late = last.open and self.now >= last.late_at - self.settings.tick / 2
        if late:
            self._unheard(last)
        slow = last.server.heard <= last.sent_at and not self._cut_off(last.server)
        if late and slow:  # guards against feeding what is slow, not lost
            self._look_again(held, last)
        elif late and self.retries >= 1:
            server = self._choose(held) if last.server.cache else self._origin()
            if server is not None and server.load < server.limit and self._permits(held, server):
                self.retries -= 1
                self._send(held, server)

    def _on_timer(self, event: api.TimerFired) -> None:
        what, _, name = event.token.partition(":")
        if what == "list":
            self.discovery_calls.call_started(self.now)
            self.out.append(api.Subscribe())
        elif what == "idle" and (idle := self.servers.get(name)) is not None:
            idle.look_at = idle.look_at if self.now < idle.look_at - self.settings.tick else math.inf
            self._close_idle(idle)
        held = self.held.get(name)
        if held is not None and held.waiting:
            # half a tick of grace: rounding may wake us a hair before
            late = self.now >= self._latest_start(held, self._origin()) - self.settings.tick / 2
            (self._end if late else self._wake_in_time)(held)
        elif held is not None and what == "late" and not held.streaming:
            self._copy(held, held.attempts[-1])

    def _close_idle(self, server: Server) -> None:
        """Guards against full tables: an idle connection goes once its price has passed a new one's."""
        price = self.settings.connection_price
        if server.load or not price:
            return
        rate = self.taken / max(self.now - self.born, self.shortest_aim) * self.settings.siblings
        keep = self.keep * self.settings.handshake_price / price * 100 * len(self.caches) / rate
        left = server.used_at + keep - self.now
        if left < self.settings.tick:
            self.out.append(api.Close(server.entry.server))
        elif left < min(self.settings.connection_idle, (server.look_at - self.now) / 2):
            # guards memory: a timer that is out will look again, unless it comes far too late
            server.look_at = self.now + left
            self.out.append(api.SetTimer(left, "idle:" + server.entry.server))

    def _end(self, held: Held) -> None:
        """The final answer: a refusal where the class permits one, else a failure."""
        held.waiting = False
        if held.streaming or held.open_attempts():
            return
        name, origin = held.request.request, self._origin() if held.to_origin else None
        # by then what stood in its way is over; guards against all that were refused coming back at once
        usual = 2 * (origin.latency if origin else self.wait)
        if (
            held.spared and not held.attempts
        ):  # no warm one took it, and what cold ones bear counts by the window
            usual = max(usual, self.settings.fall_window)
        come_back = min(self.settings.max_retry_after, usual) * self.random.uniform(0.5, 1.0)
        self.out.append(api.Refuse(name, come_back) if self._permits(held, None) else api.Fail(name))
        self._forget(held)

    def _forget(self, held: Held) -> None:
        held.waiting = False
        del self.held[held.request.request]
        if self.settings.may_cancel:
            self.out += [api.Cancel(held.request.request, i) for i, a in enumerate(held.attempts) if a.open]

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        attempt.open = False
        attempt.may_have_run = event.status not in api.NEVER_RAN
        attempt.server.load -= 1
        told = event.status not in UNHEARD
        if told:
            attempt.server.quiet_since = math.inf
        # what was sent before an attempt that has been answered got lost, and says nothing of its server
        told |= event.status is api.Status.TIMEOUT and attempt.server.heard <= attempt.sent_at
        attempt.server.used_at = self.now
        lost = event.status is api.Status.CONNECT_FAILED
        if lost:
            self._unheard(attempt)
        elif event.status not in UNHEARD and event.status is not api.Status.RESET:
            zone = self.shares.zones.get(attempt.server.entry.zone)
            if zone is not None and attempt.server.cache:
                if zone.unheard >= FAULTY and len(self.shares.zones) > 1:
                    self.shares.zone_is_back(zone)
                zone.heard_at, zone.unheard = self.now, 0
        self.keep = self.keep / 2 if lost else self.keep + KEEP_GAIN * (KEEP - self.keep)
        self._close_idle(attempt.server)
        if told:
            self._learn_limit(attempt, event)
        held = self.held.get(event.request)
        if held is not None:
            missed = event.status is api.Status.MISS and not held.to_origin  # whatever copies are out
            if event.closed or event.status is api.Status.OK:
                self._forget(held)
            elif not held.waiting and (missed or not held.open_attempts()):
                self._after_failure(held, event)
        if not attempt.server.cache:
            self._serve_queue()

    def _after_failure(self, held: Held, event: api.Outcome) -> None:
        """The origin is next after a miss; after anything else a retry, while the budget lasts."""
        if event.status is api.Status.MISS and self.settings.aside:
            held.to_origin = True
        elif event.status is api.Status.ERROR and not self.settings.aside:
            held.until = self.now  # guards against a failing origin: each server tried fetches the key again
        elif not held.to_origin and (event.status is not api.Status.FULL or self.shares.good < ROOM):
            # guards against feeding an overload: full servers made every request into a dozen attempts
            held.until = held.until if self.retries >= 1 else self.now
            self.retries = max(0.0, self.retries - 1)
        self._advance(held)

    def _enqueue(self, held: Held) -> None:
        """Wait for a place at the origin, or any: worth first, or writes wait behind misses; then age."""
        held.waiting = True
        self._wake_in_time(held)
        self.queued += 1
        heapq.heappush(self.queue, (-held.request_class.worth, self.queued, held))
        self._serve_queue()

    def _wake_in_time(self, held: Held) -> None:
        """A timer, so that a request that waits is answered in time whatever comes."""
        pause = max(0.0, self._latest_start(held, self._origin()) - self.now)
        self.out.append(api.SetTimer(pause, "wait:" + held.request.request))

    def _latest_start(self, held: Held, origin: Server | None) -> float:
        """From then on no fetch would be back in time; writes need less room, as they store nothing."""
        room = 1.0 if held.request.write else FETCH_ROOM
        return held.until - room * origin.latency if origin is not None else held.until

    def _serve_queue(self) -> None:
        while self.queue and (origin := self._origin()) is not None and origin.load < origin.limit:
            held = heapq.heappop(self.queue)[2]
            if not held.waiting:
                continue
            held.waiting = False
            # no fetch that can't be back in time, but for one to learn by
            in_time = self.now < (self._latest_start(held, origin) if origin.load else held.until)
            if in_time and self._permits(held, origin):
                self._send(held, origin)
            else:
                self._end(held)
        # guards clients against waiting on for what can't be served any more: they may still ask again
        origin = self._origin()  # looked up once, not for each that waits
        for _, _, held in self.queue:
            if held.waiting and self.now >= self._latest_start(held, origin):
                self._end(held)
        # guards against requests long ended piling up behind those of more worth
        self.queue = [q for q in self.queue if q[2].waiting]
        heapq.heapify(self.queue)

    def _learn_limit(self, attempt: Attempt, event: api.Outcome) -> None:
        """Adapt what this router has out at a server: less when it is slow or full, else a little more."""
        server = attempt.server
        well = event.status in (api.Status.OK, api.Status.MISS)
        server.heard = max(server.heard, attempt.sent_at if well else -math.inf)
        server.wrong = 0 if well else server.wrong + (event.status not in (*UNHEARD, api.Status.FULL))
        if server.wrong >= FAULTY:
            self._found_ailing(server)
        if server.cache:
            self.shares.good += SMOOTHING * (well - self.shares.good)
            self.wait += SMOOTHING * (event.latency / (1 + server.reported) - self.wait)
        if event.status is not api.Status.FULL:
            server.latency += SMOOTHING * (event.latency - server.latency)
        server.slowness += SMOOTHING * (event.latency / attempt.target - server.slowness)
        if event.status is api.Status.FULL or server.slowness > 1.0:
            if self.now - server.cut_at > attempt.target:
                server.limit = max(1.0, server.limit * LIMIT_CUT)
                server.cut_at = self.now
            if event.status is api.Status.FULL:  # what is out there now is what it bears
                server.limit = max(1.0, min(server.limit, server.load))
        elif well and server.load + 1 >= server.limit / 2:
            server.limit += 1 / server.limit
