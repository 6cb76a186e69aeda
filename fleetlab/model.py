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

LATENCY = 0.05  # seconds that an answer takes
ON_THE_WAY = 0.001  # seconds that a message between routers takes
TIME_LEFT = 1.0  # that a client gives a request


def zipf(keys: int, power: float = 1.0) -> list[float]:
    """The weights of keys, the most asked for first."""
    return [1 / (i + 2) ** power for i in range(keys)]


def kind_of(event: api.Event) -> str:
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
def shared_points() -> Iterator[None]:
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
        key = frozenset((owner.name_hash, len(points)) for owner, points in self.points.items())
        if key not in memo:
            own(self)
            memo[key] = self.positions, [owner.name_hash for owner in self.owners], self.ranks
            while len(memo) > kept:
                del memo[next(iter(memo))]
            return
        owners = {owner.name_hash: owner for owner in self.points}
        self.positions, names, self.ranks = memo[key]
        self.owners = list(map(owners.__getitem__, names))
        self.moved.clear()

    with shared_points(), patch.object(ring.Ring, "settle", settle):
        yield


class Fleet:
    """Routers that share nothing but messages; `answers` says what becomes of a send, after a time.

    `siblings` is what the routers are told their number is: where it is larger than `routers`, each of them
    stands for several, which counts by the fleet take in. At most `listeners` of them hear messages, evenly
    spread, as all hearing all costs the square; None is all. `hosted`: timers and cancels are carried out.
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
        hosted: bool = False,
    ) -> None:
        self.conf = replace(conf, siblings=siblings or routers)
        self.stands_for = self.conf.siblings / routers  # routers, for each one played
        self.hosted = hosted
        self.now = 100.0
        self.random = random.Random(seed)
        self.sent: dict[str, list[tuple[float, str]]] = defaultdict(list)  # to each server, when and for what
        self.ended: Counter[str] = Counter()
        self.pauses: list[float] = []  # after which clients that were refused are to come back
        self.heard = True  # whether messages between routers arrive
        few = min(routers, routers if listeners is None else listeners)
        self.listeners = [i * routers // few for i in range(few)] if few else []
        self.answers: Callable[[str], api.Status] = lambda server: api.Status.OK
        self.busy: list[float] | None = None  # each router's part of the requests; None: some get `uneven`
        self.writes = 0.0  # share of requests
        self.latency = LATENCY
        self.silent: set[str] = set()  # servers that hang
        self.lost: set[str] = set()  # servers that vanished
        self.gone: set[int] = set()  # routers that vanished
        self.dialled: set[tuple[int, str]] = set()  # lost servers whose kept connection a router has given up
        self.keys: dict[str, str] = {}  # of the requests under way
        self.due: dict[str, float] = {}  # when clients give them up
        self.tries: Counter[str] = Counter()
        self.pending: list[tuple[float, int, int, api.Event]] = []
        self.count = 0
        self.events: Counter[str] = Counter()  # by kind, at all that are played
        self.told: Counter[tuple[int, int]] = Counter()  # messages by router and second
        self.told_bytes: Counter[tuple[int, int]] = Counter()
        self.hears: Counter[tuple[int, int]] = Counter()  # messages by listener and second
        self.hears_bytes: Counter[tuple[int, int]] = Counter()
        self.messages: list[bytes] = []  # what was told, in order
        self.routers: list[Router] = []
        for number in range(routers):
            self.routers.append(self.make(number))
            self.feed(number, api.ServerList(api.ListKind.SAVED, tuple(saved)))

    def make(self, number: int) -> Router:
        return Router(replace(self.conf, sibling_index=number), self.random.getrandbits(64), self.now)

    def restart(self, number: int, saved: list[api.ServerEntry]) -> None:
        """A killed router begins again and knows nothing but a list."""
        self.pending = [p for p in self.pending if p[2] != number]
        heapq.heapify(self.pending)
        self.routers[number] = self.make(number)
        self.feed(number, api.ServerList(api.ListKind.SAVED, tuple(saved)))

    def lose(self, servers: Iterable[str], routers: Iterable[int] = ()) -> None:
        """Servers and routers vanish: what is under way at them, and what is sent later, finds silence."""
        self.lost |= set(servers)
        self.gone |= set(routers)
        self.pending = [p for p in self.pending if p[2] not in self.gone]
        for at, count, number, event in list(self.pending):
            if isinstance(event, api.Outcome) and self._server(number, event) in self.lost:
                late = replace(event, status=api.Status.TIMEOUT, request_done=False, latency=TIME_LEFT)
                self.pending.remove((at, count, number, event))
                self.pending.append((self.due.get(event.request_id, at), count, number, late))
        heapq.heapify(self.pending)

    def find(self, servers: Iterable[str], routers: Iterable[int] = ()) -> None:
        """They are back."""
        self.lost -= set(servers)
        self.gone -= set(routers)
        self.dialled = {d for d in self.dialled if d[1] in self.lost}

    def _server(self, number: int, event: api.Outcome) -> str | None:
        attempt = self.routers[number].attempts.get((event.request_id, event.attempt))
        return attempt.server.entry.server if attempt is not None else None

    def later(self, delay: float, number: int, event: api.Event) -> None:
        self.count += 1
        heapq.heappush(self.pending, (self.now + delay, self.count, number, event))

    def feed(self, number: int, event: api.Event) -> None:
        self.events[kind_of(event)] += 1
        for action in self.routers[number].handle(self.now, event):
            if isinstance(action, api.Send):
                self.send(number, action)
            elif isinstance(action, api.Broadcast):
                self.tell(number, action.content)
            elif isinstance(action, (api.Refuse, api.Fail)):
                self.end(action.request_id, "failed")
                self.pauses += [action.retry_after] if isinstance(action, api.Refuse) else []
            elif isinstance(action, api.SetTimer) and self.hosted:
                self.later(action.delay, number, api.TimerFired(action.token))
            elif isinstance(action, api.Cancel) and self.hosted:
                self.later(
                    0.0, number, api.Outcome(action.request_id, action.attempt, api.Status.CANCELLED, True)
                )

    def tell(self, number: int, content: bytes) -> None:
        """Count a message, and bring it to the listeners."""
        second = int(self.now)
        self.messages.append(content)
        self.told[number, second] += 1
        self.told_bytes[number, second] += len(content)
        if not self.heard:
            return
        for other in self.listeners:
            if other != number and other not in self.gone:
                self.hears[other, second] += 1
                self.hears_bytes[other, second] += len(content)
                self.later(ON_THE_WAY, other, api.PeerMessage(content))

    def send(self, number: int, action: api.Send) -> None:
        self.sent[action.server].append((self.now, self.keys.get(action.request_id, "")))
        attempt, status, delay = self.tries[action.request_id], self.answers(action.server), self.latency
        if action.server in self.silent:
            status = api.Status.TIMEOUT
        elif action.server in self.lost:
            # a kept connection is silent and given up; from then on each attempt dials in vain
            first = (number, action.server) not in self.dialled
            self.dialled.add((number, action.server))
            status = api.Status.TIMEOUT if first else api.Status.CONNECT_FAILED
        if status is api.Status.TIMEOUT:
            delay = max(0.0, self.due.get(action.request_id, self.now + TIME_LEFT) - self.now)
        elif status is api.Status.CONNECT_FAILED:
            delay = self.conf.dial_timeout
        self.tries[action.request_id] += 1
        outcome = api.Outcome(action.request_id, attempt, status, status is api.Status.OK, delay)
        self.later(delay, number, outcome)

    def end(self, name: str, how: str) -> None:
        if self.keys.pop(name, None) is not None:
            self.due.pop(name, None)
            self.ended[how] += 1

    def run(self, seconds: float, rate: float, weights: list[float], uneven: float = 3.0) -> None:
        """Requests of all clients, `rate` a second in all; some routers get `uneven` times as many."""
        until = self.now + seconds
        busy = self.busy or [1.0 if n % 8 else uneven for n in range(len(self.routers))]
        # sums once, not for each request: with thousands of keys they cost more than the routers
        up_to, shares = list(accumulate(busy)), list(accumulate(weights))
        numbers = range(len(busy))
        names = [f"k{i}" for i in range(len(weights))]
        at = self.now + self.random.expovariate(rate)
        while True:
            if self.pending and self.pending[0][0] <= min(at, until):
                self.now, _, number, event = heapq.heappop(self.pending)
                if isinstance(event, api.Outcome) and event.request_done:
                    self.end(event.request_id, "served")
                self.feed(number, event)
            elif at <= until:
                self.now, self.count = at, self.count + 1
                number = self.random.choices(numbers, cum_weights=up_to)[0]
                key = self.random.choices(names, cum_weights=shares)[0]
                write = self.writes > 0 and self.random.random() < self.writes
                name = f"r{self.count}"
                if number not in self.gone:
                    self.keys[name] = key
                    self.due[name] = self.now + TIME_LEFT
                    kind = "book" if write else "read"
                    self.feed(number, api.Request(name, kind, TIME_LEFT, key, write=write))
                at = self.now + self.random.expovariate(rate)
            else:
                break
        self.now = until

    def fullest(self, server: str, window: float) -> int:
        """The most that all routers sent to a server within any window."""
        times = [t for t, _ in self.sent[server]]
        return max((bisect_left(times, t + window) - i for i, t in enumerate(times)), default=0)

    def told_in(self, seconds: Collection[int]) -> list[tuple[float, float]]:
        """Messages and bytes that the whole fleet told in each of some seconds of the clock.

        Each router of the fleet hears as much, but for its own part.
        """
        messages, size = Counter[int](), Counter[int]()
        for (_, second), count in self.told.items():
            messages[second] += count
        for (_, second), count in self.told_bytes.items():
            size[second] += count
        return [(messages[s] * self.stands_for, size[s] * self.stands_for) for s in seconds]


__all__ = ["LATENCY", "Fleet", "kind_of", "shared_points", "shared_rings", "zipf"]
