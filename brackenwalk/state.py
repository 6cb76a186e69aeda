"""What a router holds of servers, attempts and requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from brackenwalk import interface as api

INITIAL_LIMIT = 4.0  # first guess of what one router may have out at a server; moves within seconds


@dataclass(slots=True, eq=False)
class Server:
    """A listed server as this router sees it."""

    entry: api.ServerEntry
    is_cache: bool = True  # or the origin
    name_hash: int = 0  # to peers: 32 bits of its name's hash
    in_flight: int = 0  # own attempts in flight
    ring_weight: float = 1.0  # its weight, steady
    reported_load: float = 0.0  # requests held for each unit of size, by all routers, seconds ago
    limit: float = INITIAL_LIMIT  # of own attempts in flight
    limit_cut_at: float = -math.inf
    latency: float = 0.0  # smoothed
    latency_ratio: float = 0.0  # smoothed share of the target that answers take, as one says little
    unanswered_since: float = math.inf  # first send since its last answer
    last_answered_send: float = -math.inf  # latest send that was answered
    last_used_at: float = 0.0  # last end of an attempt
    idle_check_at: float = math.inf  # when a timer will look at its idle connections
    consecutive_failures: int = 0  # failures since its last good answer
    health: float = 1.0  # share of its points that it kept when some router last found it ailing
    health_cut_at: float = -math.inf


@dataclass(slots=True, eq=False)
class Zone:
    """What is known of a zone's cache servers as a whole."""

    last_answer_at: float = -math.inf  # latest answer of any of them
    unanswered: int = 0  # attempts since then that came to nothing
    last_send_at: float = -math.inf  # latest send to any of them
    outage_began_at: float = -math.inf  # latest answer before it said nothing for a while
    outage_ended_at: float = -math.inf  # first answer after that


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    server: Server
    target_latency: float  # slower than this means too many are out
    sent_at: float
    open: bool = True
    may_have_run: bool = True  # until an outcome proves the contrary
    copy_due_at: float = math.inf  # from then on a copy may go out
    counted_unanswered: bool = False  # counted against its server's zone


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed its final answer."""

    request: api.Request
    request_class: api.RequestClass
    deadline: float  # no use in waiting for longer
    to_origin: bool
    ring_position: int  # of its key on the ring
    attempts: list[Attempt] = field(default_factory=list)
    waiting: bool = False  # for a place at the origin, or for any server at all
    response_started: bool = False
    skipped_cold: bool = False  # a cold server that was met does not bear it

    def open_attempts(self) -> int:
        return sum(a.open for a in self.attempts)
