"""A discrete-event simulation of many instances of the decision module, with clients and servers as a model.

It uses neither sockets nor real time. The routers share nothing but peer messages.
"""

from __future__ import annotations

import heapq
import random
from array import array
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Hashable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from functools import cache
from itertools import accumulate
from unittest.mock import patch
from weakref import WeakKeyDictionary

from brackenwalk import interface as api
from brackenwalk import ring
from brackenwalk.node_segments import NodeSegments
from brackenwalk.policy import Router

LATENCY_S = 0.05  # response time of a server
MESSAGE_DELAY_S = 0.001  # of a message between routers
REQUEST_TIMEOUT_S = 1.0  # after which clients give up


def zipf_weights(keys: int, power: float = 1.0) -> list[float]:
    """Return the relative popularity of keys, the most popular first."""
    return [1 / (i + 2) ** power for i in range(keys)]


def event_kind(event: api.Event) -> str:
    """Return an event's kind as it appears in the names of metrics (`results.Role`)."""
    match event:
        case api.Request():
            return "request"
        case api.Outcome():
            return "outcome"
        case api.PeerMessage():
            return "peer"
        case api.TimerFired():
            return "timer"
        case api.Resume():
            return "resume"
        case api.ServerList(kind=api.ListKind.DELTA, entries=()):
            return "call"  # a watch that ended without changes
        case api.ServerList():
            kinds = {api.ListKind.DELTA: "change", api.ListKind.FAILED: "call", api.ListKind.MOVED: "call"}
            return kinds.get(event.kind, "list")
        case _:
            return "other"


@contextmanager
def shared_virtual_nodes() -> Iterator[None]:
    """Cache the virtual nodes of each server for all instances of this process, so that many start quickly.

    Virtual nodes are a pure function of a server's name and their number. Costs of lists and changes that are
    measured in this context lack the hashing, which a router in a process of its own has to do.
    """
    with patch.object(ring, "virtual_nodes", cache(ring.virtual_nodes)):
        yield


@contextmanager
def shared_rings(max_lists: int = 8) -> Iterator[None]:
    """Cache the ring as well, after each of the latest `max_lists` changes that some instance has worked in.

    For many instances with the same lists: each keeps its own owner objects, but the nodes of instances that
    have had the same lists are placed once. Changes that are measured in this context cost far less than in a
    process of their own (for these see `module_costs`).
    """
    add_nodes, drop = ring.Ring._add_nodes, NodeSegments.drop
    cached: dict[int, list[array[int]]] = {}  # segments, by the hash of all changes that led to them
    histories: WeakKeyDictionary[NodeSegments, int] = WeakKeyDictionary()

    def change(nodes: NodeSegments, work: Hashable, carry_out: Callable[[], Iterator[int]]) -> bool:
        """Carry out a change at once, or take over its result. Return whether that was possible."""
        key = histories[nodes] = hash((histories.get(nodes, 0), work))
        if key in cached:
            nodes.segments = list(cached[key])
            return True
        nodes.segments = [
            segment[:] for segment in nodes.segments
        ]  # other instances may have the same arrays
        for _ in carry_out():
            pass
        cached[key] = list(nodes.segments)
        while len(cached) > max_lists:
            del cached[next(iter(cached))]
        return False

    def add_shared(self: ring.Ring, batch: dict[str, int]) -> Iterator[int]:
        if change(self.nodes, tuple(batch.items()), lambda: add_nodes(self, batch)):
            while batch:
                owner, count = batch.popitem()
                self.placed[owner] = self._new_slot(count)
        yield 1

    def drop_shared(self: NodeSegments, slots: list[int]) -> Iterator[int]:
        change(self, tuple(slots), lambda: drop(self, slots))
        yield 1

    with (
        shared_virtual_nodes(),
        patch.object(ring.Ring, "_add_nodes", add_shared),
        patch.object(NodeSegments, "drop", drop_shared),
    ):
        yield


class FleetModel:
    """A simulated fleet of routers, and a model of its clients and servers.

    `siblings` is the number of routers in the routers' settings. Where it is larger than `router_count`, each
    simulated router stands for several, and fleet-wide counts are scaled up accordingly. At most
    `max_listeners` routers receive peer messages, evenly spaced, as the cost of all receiving grows with the
    square of the fleet's size; None means all. With `run_timers`, timers fire and cancels are carried out.
    The attribute `answer_status` decides the outcome of an attempt at a server.
    """

    def __init__(
        self,
        settings: api.Settings,
        router_count: int,
        server_list: list[api.ServerEntry],
        seed: int = 1,
        *,
        siblings: int | None = None,
        max_listeners: int | None = None,
        run_timers: bool = False,
    ) -> None:
        self.settings = replace(settings, siblings=siblings or router_count)
        self.routers_per_instance = self.settings.siblings / router_count
        self.run_timers = run_timers
        self.now = 100.0
        self.random = random.Random(seed)
        self.sent: dict[str, list[tuple[float, str]]] = defaultdict(list)  # times and keys, by server
        self.finished: Counter[str] = Counter()  # requests, by how they ended
        self.retry_afters: list[float] = []  # seconds after which refused clients are to retry
        self.deliver_messages = True  # between routers
        listener_count = min(router_count, router_count if max_listeners is None else max_listeners)
        self.listeners = (
            [i * router_count // listener_count for i in range(listener_count)] if listener_count else []
        )
        self.answer_status: Callable[[str], api.Status] = lambda server: api.Status.OK
        # each router's share of the requests; None: every eighth router gets `busy_factor` times the share of
        # the others
        self.router_weights: list[float] | None = None
        self.write_share = 0.0  # of requests
        self.latency = LATENCY_S
        self.hung_servers: set[str] = set()
        self.lost_servers: set[str] = set()
        self.lost_routers: set[int] = set()
        # lost servers to which a router has closed its kept connection, as (router, server)
        self.dropped_connections: set[tuple[int, str]] = set()
        self.request_keys: dict[str, str] = {}  # of requests in flight
        self.request_deadlines: dict[str, float] = {}  # when their clients give up
        self.attempt_counts: Counter[str] = Counter()  # by request
        self.event_queue: list[tuple[float, int, int, api.Event]] = []  # time, sequence number, router, event
        self.sequence = 0
        self.event_counts: Counter[str] = Counter()  # by kind, of all simulated routers
        self.messages_out: Counter[tuple[int, int]] = Counter()  # by router and second
        self.bytes_out: Counter[tuple[int, int]] = Counter()
        self.messages_in: Counter[tuple[int, int]] = Counter()  # by listener and second
        self.bytes_in: Counter[tuple[int, int]] = Counter()
        self.messages: list[bytes] = []  # contents of all messages sent, in order
        self.routers: list[Router] = []
        for number in range(router_count):
            self.routers.append(self.make_router(number))
            self.dispatch(number, api.ServerList(api.ListKind.SAVED, tuple(server_list)))

    def make_router(self, number: int) -> Router:
        """Create the router of a number, without any state."""
        return Router(replace(self.settings, sibling_index=number), self.random.getrandbits(64), self.now)

    def restart(self, number: int, server_list: list[api.ServerEntry]) -> None:
        """Kill a router and start it anew with nothing but a server list."""
        self.event_queue = [p for p in self.event_queue if p[2] != number]
        heapq.heapify(self.event_queue)
        self.routers[number] = self.make_router(number)
        self.dispatch(number, api.ServerList(api.ListKind.SAVED, tuple(server_list)))

    def fail(self, servers: Iterable[str], routers: Iterable[int] = ()) -> None:
        """Take servers and routers down: attempts at these servers, in flight or later, get no response."""
        self.lost_servers |= set(servers)
        self.lost_routers |= set(routers)
        self.event_queue = [p for p in self.event_queue if p[2] not in self.lost_routers]
        for at, sequence, number, event in list(self.event_queue):
            if isinstance(event, api.Outcome) and self._server_of(number, event) in self.lost_servers:
                late = replace(
                    event, status=api.Status.TIMEOUT, request_done=False, latency=REQUEST_TIMEOUT_S
                )
                self.event_queue.remove((at, sequence, number, event))
                self.event_queue.append(
                    (self.request_deadlines.get(event.request_id, at), sequence, number, late)
                )
        heapq.heapify(self.event_queue)

    def recover(self, servers: Iterable[str], routers: Iterable[int] = ()) -> None:
        """Bring servers and routers back up."""
        self.lost_servers -= set(servers)
        self.lost_routers -= set(routers)
        self.dropped_connections = {d for d in self.dropped_connections if d[1] in self.lost_servers}

    def _server_of(self, number: int, event: api.Outcome) -> str | None:
        attempt = self.routers[number].attempts.get((event.request_id, event.attempt))
        return attempt.server.entry.server if attempt is not None else None

    def schedule(self, delay: float, number: int, event: api.Event) -> None:
        """Queue an event for a router, `delay` seconds from now."""
        self.sequence += 1
        heapq.heappush(self.event_queue, (self.now + delay, self.sequence, number, event))

    def dispatch(self, number: int, event: api.Event) -> None:
        """Pass an event to a router now, and carry out its actions; steps that it leads to take no time."""
        due: list[api.Event] = [event]
        while due:
            self.event_counts[event_kind(due[0])] += 1
            actions = self.routers[number].handle(self.now, due.pop())
            due = [api.Resume() for action in actions if isinstance(action, api.ResumeLater)]
            self._execute(number, actions)

    def _execute(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.send(number, action)
            elif isinstance(action, api.Broadcast):
                self.broadcast(number, action.content)
            elif isinstance(action, (api.Refuse, api.Fail)):
                self.finish(action.request_id, "failed")
                self.retry_afters += [action.retry_after] if isinstance(action, api.Refuse) else []
            elif isinstance(action, api.SetTimer) and self.run_timers:
                self.schedule(action.delay, number, api.TimerFired(action.token))
            elif isinstance(action, api.Cancel) and self.run_timers:
                self.schedule(
                    0.0, number, api.Outcome(action.request_id, action.attempt, api.Status.CANCELLED, True)
                )

    def broadcast(self, number: int, content: bytes) -> None:
        """Count a peer message, and queue it for the listeners."""
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
        """Carry out an attempt: queue its outcome."""
        self.sent[action.server].append((self.now, self.request_keys.get(action.request_id, "")))
        attempt, status, delay = (
            self.attempt_counts[action.request_id],
            self.answer_status(action.server),
            self.latency,
        )
        if action.server in self.hung_servers:
            status = api.Status.TIMEOUT
        elif action.server in self.lost_servers:
            # the kept connection gets no response and is closed; from then on each attempt fails to connect
            first = (number, action.server) not in self.dropped_connections
            self.dropped_connections.add((number, action.server))
            status = api.Status.TIMEOUT if first else api.Status.CONNECT_FAILED
        if status is api.Status.TIMEOUT:
            delay = max(
                0.0, self.request_deadlines.get(action.request_id, self.now + REQUEST_TIMEOUT_S) - self.now
            )
        elif status is api.Status.CONNECT_FAILED:
            delay = self.settings.dial_timeout
        self.attempt_counts[action.request_id] += 1
        outcome = api.Outcome(action.request_id, attempt, status, status is api.Status.OK, delay)
        self.schedule(delay, number, outcome)

    def finish(self, request_id: str, result: str) -> None:
        """Count the end of a request, `served` or `failed`, unless it has ended already."""
        if self.request_keys.pop(request_id, None) is not None:
            self.request_deadlines.pop(request_id, None)
            self.finished[result] += 1

    def run(self, seconds: float, rate: float, weights: list[float], busy_factor: float = 3.0) -> None:
        """Simulate some seconds, with `rate` requests per second in total for keys of these weights.

        Unless `router_weights` is set, every eighth router gets `busy_factor` times the others' share.
        """
        until = self.now + seconds
        router_weights = self.router_weights or [
            1.0 if n % 8 else busy_factor for n in range(len(self.routers))
        ]
        # summed once and not per request: with thousands of keys that would cost more than the routers do
        cumulative_routers, cumulative_keys = list(accumulate(router_weights)), list(accumulate(weights))
        numbers = range(len(router_weights))
        keys = [f"k{i}" for i in range(len(weights))]
        arrival = self.now + self.random.expovariate(rate)
        while True:
            if self.event_queue and self.event_queue[0][0] <= min(arrival, until):
                self.now, _, number, event = heapq.heappop(self.event_queue)
                if isinstance(event, api.Outcome) and event.request_done:
                    self.finish(event.request_id, "served")
                self.dispatch(number, event)
            elif arrival <= until:
                self.now, self.sequence = arrival, self.sequence + 1
                number = self.random.choices(numbers, cum_weights=cumulative_routers)[0]
                key = self.random.choices(keys, cum_weights=cumulative_keys)[0]
                write = self.write_share > 0 and self.random.random() < self.write_share
                new_id = f"r{self.sequence}"
                if number not in self.lost_routers:
                    self.request_keys[new_id] = key
                    self.request_deadlines[new_id] = self.now + REQUEST_TIMEOUT_S
                    class_name = "book" if write else "read"
                    self.dispatch(
                        number, api.Request(new_id, class_name, REQUEST_TIMEOUT_S, key, write=write)
                    )
                arrival = self.now + self.random.expovariate(rate)
            else:
                break
        self.now = until

    def max_sent_within(self, server: str, window: float) -> int:
        """Return the most attempts that all routers made at a server in any window of `window` seconds."""
        times = [t for t, _ in self.sent[server]]
        return max((bisect_left(times, t + window) - i for i, t in enumerate(times)), default=0)

    def fleet_traffic(self, seconds: Collection[int]) -> list[tuple[float, float]]:
        """Return the peer messages and bytes that the whole fleet sent in each of some seconds of the clock.

        Each router of the fleet receives all of it except its own messages.
        """
        messages, sizes = Counter[int](), Counter[int]()
        for (_, second), count in self.messages_out.items():
            messages[second] += count
        for (_, second), count in self.bytes_out.items():
            sizes[second] += count
        return [
            (messages[s] * self.routers_per_instance, sizes[s] * self.routers_per_instance) for s in seconds
        ]


__all__ = ["LATENCY_S", "FleetModel", "event_kind", "shared_rings", "shared_virtual_nodes", "zipf_weights"]
