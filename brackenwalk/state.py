"""Records of a router about servers, zones, attempts and pending requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from brackenwalk import interface as api

INITIAL_LIMIT = 4.0  # requests in flight at a server until its limit has adapted, which takes seconds


@dataclass(slots=True, eq=False)
class Server:
    """A listed cache server or origin, with what this router has measured of it."""

    entry: api.ServerEntry
    is_cache: bool = True  # False for an origin
    name_hash: int = 0  # 32 bits of the hash of its name, which stand for the name in peer messages
    in_flight: int = 0  # open attempts of this router
    listed_weight: float = 0.0  # without the fall by load; 0 if the list gives none
    ring_weight: float = 1.0  # the weight by which it has its virtual nodes in the ring
    # requests at it per unit of weight, of all routers together, as its listed weight showed some seconds ago
    reported_load: float = 0.0
    limit: float = INITIAL_LIMIT  # concurrency limit on `in_flight`
    limit_cut_at: float = -math.inf  # time of the latest cut of the limit
    latency: float = 0.0  # smoothed latency of its answers, in seconds
    latency_ratio: float = 0.0  # smoothed latency over target latency, as a single answer says little
    unanswered_since: float = math.inf  # first send after its latest answer
    last_answered_send_at: float = -math.inf  # time of the latest send that has been answered
    used_at: float = 0.0  # latest end of an attempt
    check_at: float = math.inf  # when the pending timer will check its idle connections
    failures: int = 0  # in a row
    health: float = 1.0  # share of its virtual nodes that it kept when a router last found it unhealthy
    health_cut_at: float = -math.inf  # time of that cut


@dataclass(slots=True, eq=False)
class Zone:
    """What a router knows of all cache servers of a zone together."""

    last_answer_at: float = -math.inf  # latest answer from any of them
    unanswered: int = 0  # attempts without an answer since then
    last_send_at: float = -math.inf  # latest send to any of them
    outage_start: float = -math.inf  # last answer before the latest outage
    outage_end: float = -math.inf  # first answer after it


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one server."""

    server: Server
    target_latency: float  # a slower answer means that the server has too many requests in flight
    sent_at: float
    open: bool = True  # no outcome yet
    may_have_run: bool = True  # until an outcome proves that it did not
    copy_at: float = math.inf  # time from which on a second copy may be sent
    counted: bool = False  # whether it has been counted in its zone's `unanswered`


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has not had its final answer yet."""

    request: api.Request
    request_class: api.RequestClass
    deadline: float  # an answer after it is of no use
    to_origin: bool
    ring_position: int  # of its key
    attempts: list[Attempt] = field(default_factory=list)
    waiting: bool = False  # queued, for a free slot at the origin or for any usable server
    response_started: bool = False
    skipped_cold: bool = False  # its walk last passed a cold server that does not accept it

    def open_attempts(self) -> int:
        """Return the number of attempts without an outcome."""
        return sum(a.open for a in self.attempts)
