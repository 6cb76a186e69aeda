"""Many instances of the module on one simulated clock: what all of them send, tell and hear.

No sockets and no real time. Routers share nothing but messages; clients and servers are a model.
"""

from __future__ import annotations

import heapq
import random
from array import array
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from functools import cache
from itertools import accumulate
from typing import Any
from unittest.mock import patch

from brackenwalk import interface as api
from brackenwalk import ring
from brackenwalk.policy import Router

LATENCY_S = 0.05  # seconds that an answer takes
MESSAGE_DELAY_S = 0.001  # seconds that a message between routers takes
REQUEST_TIMEOUT_S = 1.0  # that a client gives a request


def zipf_weights(keys: int, power: float = 1.0) -> list[float]:
    """The weights of keys, the most asked for first."""
    return [1 / (i + 2) ** power for i in range(keys)]


def event_kind(event: api.Event) -> str:
    """An event's kind, in the words of `results.Role`."""
    match event:
        case api.Request():
            return "request"
        case api.Outcome():
            return "outcome"
        case api.PeerMessage():
            return "peer"
        case api.TimerFired():
            return "timer"
        case api.ServerList(kind=api.ListKind.DELTA, entries=()):
            return "call"  # a watch's answer with no news
        case api.ServerList():
            kinds = {api.ListKind.DELTA: "change", api.ListKind.FAILED: "call", api.ListKind.MOVED: "call"}
            return kinds.get(event.kind, "list")
        case _:
            return "other"


@contextmanager
def shared_virtual_nodes() -> Iterator[None]:
    """Let all instances of a process share the virtual nodes of each server, so that many start fast.

    They are a pure function of a server's name and their number. Costs of lists and changes that are
    measured meanwhile lack the hashing, which each router on its own has to do.
    """
    with patch.object(ring, "virtual_nodes", cache(ring.virtual_nodes)):
        yield


@contextmanager
def shared_rings(kept: int = 8) -> Iterator[None]:
    """Let all instances of a process share the order of the ring as well, of the latest `kept` lists.

    For many instances with the same list: each keeps its own owners, but the sorting is done once. Changes
    that are measured meanwhile cost far less than those of a router on its own (`module_costs` has these).
    """
    own = ring.Ring.settle
    memo: dict[frozenset[tuple[int, int]], tuple[array[int], list[int], array[float]]] = {}

    def settle(self: ring.Ring[Any]) -> None:
        if not self.moved:
            return
        key = frozenset((owner.name, len(points)) for owner, points in self.points.items())
        if key not in memo:
            own(self)
            memo[key] = self.positions, [owner.name for owner in self.owners], self.ranks
            while len(memo) > kept:
                del memo[next(iter(memo))]
            return
        owners = {owner.name: owner for owner in self.points}
        self.positions, names, self.ranks = memo[key]
        self.owners = list(map(owners.__getitem__, names))
        self.moved.clear()

    with shared_virtual_nodes(), patch.object(ring.Ring, "settle", settle):
        yield


class FleetModel:
    """Routers that share nothing but messages; `answers` says what becomes of a send, after a time.

    `siblings` is what the routers are told their number is: where it is larger than `routers`, each of them
    stands for several, which counts by the fleet take in. At most `listeners` of them hear messages, evenly
    spread, as all hearing all costs the square; None is all. `run_timers`: timers and cancels are carried
    out.
    """

    def __init__(
        self,
        conf: api.Settings,
        routers: int,
        saved: list[api.ServerEntry],
        seed: int = 1,
        *,
        siblings: int | None = None,
        listeners: int | None = None,
        run_timers: bool = False,
    ) -> None:
        self.settings = replace(conf, siblings=siblings or routers)
        self.routers_per_instance = self.settings.siblings / routers  # routers, for each one played
        self.run_timers = run_timers
        self.now = 100.0
        self.random = random.Random(seed)
        self.sent: dict[str, list[tuple[float, str]]] = defaultdict(list)  # to each server, when and for what
        self.finished: Counter[str] = Counter()
        self.retry_afters: list[float] = []  # after which clients that were refused are to come back
        self.deliver_messages = True  # whether messages between routers arrive
        few = min(routers, routers if listeners is None else listeners)
        self.listeners = [i * routers // few for i in range(few)] if few else []
        self.answer_status: Callable[[str], api.Status] = lambda server: api.Status.OK
        self.router_weights: list[float] | None = (
            None  # each router's part of the requests; None: some get `uneven`
        )
        self.write_share = 0.0  # share of requests
        self.latency = LATENCY_S
        self.hung_servers: set[str] = set()  # servers that hang
        self.lost_servers: set[str] = set()  # servers that vanished
        self.lost_routers: set[int] = set()  # routers that vanished
        self.dropped_connections: set[tuple[int, str]] = (
            set()
        )  # lost servers whose kept connection a router has given up
        self.request_keys: dict[str, str] = {}  # of the requests under way
        self.request_deadlines: dict[str, float] = {}  # when clients give them up
        self.attempt_counts: Counter[str] = Counter()
        self.event_queue: list[tuple[float, int, int, api.Event]] = []
        self.sequence = 0
        self.event_counts: Counter[str] = Counter()  # by kind, at all that are played
        self.messages_out: Counter[tuple[int, int]] = Counter()  # messages by router and second
        self.bytes_out: Counter[tuple[int, int]] = Counter()
        self.messages_in: Counter[tuple[int, int]] = Counter()  # messages by listener and second
        self.bytes_in: Counter[tuple[int, int]] = Counter()
        self.messages: list[bytes] = []  # what was told, in order
        self.routers: list[Router] = []
        for number in range(routers):
            self.routers.append(self.make_router(number))
            self.dispatch(number, api.ServerList(api.ListKind.SAVED, tuple(saved)))

    def make_router(self, number: int) -> Router:
        return Router(replace(self.settings, number=number), self.random.getrandbits(64), self.now)

    def restart(self, number: int, saved: list[api.ServerEntry]) -> None:
        """A killed router begins again and knows nothing but a list."""
        self.event_queue = [p for p in self.event_queue if p[2] != number]
        heapq.heapify(self.event_queue)
        self.routers[number] = self.make_router(number)
        self.dispatch(number, api.ServerList(api.ListKind.SAVED, tuple(saved)))

    def fail(self, servers: Iterable[str], routers: Iterable[int] = ()) -> None:
        """Servers and routers vanish: what is under way at them, and what is sent later, finds silence."""
        self.lost_servers |= set(servers)
        self.lost_routers |= set(routers)
        self.event_queue = [p for p in self.event_queue if p[2] not in self.lost_routers]
        for at, count, number, event in list(self.event_queue):
            if isinstance(event, api.Outcome) and self._server(number, event) in self.lost_servers:
                late = replace(event, status=api.Status.TIMEOUT, closed=False, latency=REQUEST_TIMEOUT_S)
                self.event_queue.remove((at, count, number, event))
                self.event_queue.append((self.request_deadlines.get(event.request, at), count, number, late))
        heapq.heapify(self.event_queue)

    def recover(self, servers: Iterable[str], routers: Iterable[int] = ()) -> None:
        """They are back."""
        self.lost_servers -= set(servers)
        self.lost_routers -= set(routers)
        self.dropped_connections = {d for d in self.dropped_connections if d[1] in self.lost_servers}

    def _server(self, number: int, event: api.Outcome) -> str | None:
        attempt = self.routers[number].attempts.get((event.request, event.attempt))
        return attempt.server.entry.server if attempt is not None else None

    def schedule(self, delay: float, number: int, event: api.Event) -> None:
        self.sequence += 1
        heapq.heappush(self.event_queue, (self.now + delay, self.sequence, number, event))

    def dispatch(self, number: int, event: api.Event) -> None:
        self.event_counts[event_kind(event)] += 1
        for action in self.routers[number].handle(self.now, event):
            if isinstance(action, api.Send):
                self.send(number, action)
            elif isinstance(action, api.Tell):
                self.broadcast(number, action.content)
            elif isinstance(action, (api.Refuse, api.Fail)):
                self.finish(action.request, "failed")
                self.retry_afters += [action.come_back] if isinstance(action, api.Refuse) else []
            elif isinstance(action, api.SetTimer) and self.run_timers:
                self.schedule(action.delay, number, api.TimerFired(action.token))
            elif isinstance(action, api.Cancel) and self.run_timers:
                self.schedule(
                    0.0, number, api.Outcome(action.request, action.attempt, api.Status.CANCELLED, True)
                )

    def broadcast(self, number: int, content: bytes) -> None:
        """Count a message, and bring it to the listeners."""
        second = int(self.now)
        self.messages.append(content)
        self.messages_out[number, second] += 1
        self.bytes_out[number, second] += len(content)
        if not self.deliver_messages:
            return
        for other in self.listeners:
            if other != number and other not in self.lost_routers:
                self.messages_in[other, second] += 1
                self.bytes_in[other, second] += len(content)
                self.schedule(MESSAGE_DELAY_S, other, api.PeerMessage(content))

    def send(self, number: int, action: api.Send) -> None:
        self.sent[action.server].append((self.now, self.request_keys.get(action.request, "")))
        attempt, status, delay = (
            self.attempt_counts[action.request],
            self.answer_status(action.server),
            self.latency,
        )
        if action.server in self.hung_servers:
            status = api.Status.TIMEOUT
        elif action.server in self.lost_servers:
            # a kept connection is silent and given up; from then on each attempt dials in vain
            first = (number, action.server) not in self.dropped_connections
            self.dropped_connections.add((number, action.server))
            status = api.Status.TIMEOUT if first else api.Status.CONNECT_FAILED
        if status is api.Status.TIMEOUT:
            delay = max(
                0.0, self.request_deadlines.get(action.request, self.now + REQUEST_TIMEOUT_S) - self.now
            )
        elif status is api.Status.CONNECT_FAILED:
            delay = self.settings.dial_timeout
        self.attempt_counts[action.request] += 1
        outcome = api.Outcome(action.request, attempt, status, status is api.Status.OK, delay)
        self.schedule(delay, number, outcome)

    def finish(self, name: str, how: str) -> None:
        if self.request_keys.pop(name, None) is not None:
            self.request_deadlines.pop(name, None)
            self.finished[how] += 1

    def run(self, seconds: float, rate: float, weights: list[float], uneven: float = 3.0) -> None:
        """Requests of all clients, `rate` a second in all; some routers get `uneven` times as many."""
        until = self.now + seconds
        busy = self.router_weights or [1.0 if n % 8 else uneven for n in range(len(self.routers))]
        # sums once, not for each request: with thousands of keys they cost more than the routers
        up_to, shares = list(accumulate(busy)), list(accumulate(weights))
        numbers = range(len(busy))
        names = [f"k{i}" for i in range(len(weights))]
        at = self.now + self.random.expovariate(rate)
        while True:
            if self.event_queue and self.event_queue[0][0] <= min(at, until):
                self.now, _, number, event = heapq.heappop(self.event_queue)
                if isinstance(event, api.Outcome) and event.closed:
                    self.finish(event.request, "served")
                self.dispatch(number, event)
            elif at <= until:
                self.now, self.sequence = at, self.sequence + 1
                number = self.random.choices(numbers, cum_weights=up_to)[0]
                key = self.random.choices(names, cum_weights=shares)[0]
                write = self.write_share > 0 and self.random.random() < self.write_share
                name = f"r{self.sequence}"
                if number not in self.lost_routers:
                    self.request_keys[name] = key
                    self.request_deadlines[name] = self.now + REQUEST_TIMEOUT_S
                    kind = "book" if write else "read"
                    self.dispatch(number, api.Request(name, kind, REQUEST_TIMEOUT_S, key, write=write))
                at = self.now + self.random.expovariate(rate)
            else:
                break
        self.now = until

    def max_sent_within(self, server: str, window: float) -> int:
        """The most that all routers sent to a server within any window."""
        times = [t for t, _ in self.sent[server]]
        return max((bisect_left(times, t + window) - i for i, t in enumerate(times)), default=0)

    def fleet_traffic(self, seconds: Collection[int]) -> list[tuple[float, float]]:
        """Messages and bytes that the whole fleet told in each of some seconds of the clock.

        Each router of the fleet hears as much, but for its own part.
        """
        messages, size = Counter[int](), Counter[int]()
        for (_, second), count in self.messages_out.items():
            messages[second] += count
        for (_, second), count in self.bytes_out.items():
            size[second] += count
        return [
            (messages[s] * self.routers_per_instance, size[s] * self.routers_per_instance) for s in seconds
        ]


__all__ = ["LATENCY_S", "FleetModel", "event_kind", "shared_virtual_nodes", "shared_rings", "zipf_weights"]
