"""Records of the requests that a router has accepted, and of the ids that it must not accept again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from brackenwalk import interface as api
from brackenwalk.net.command import Command
from brackenwalk.net.pool import Exchange


@dataclass(slots=True, frozen=True)
class Member:
    """A cache server or origin of the router's current server list."""

    entry: api.ServerEntry
    address: str


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request, while it is in flight."""

    number: int
    sent_at: float
    member: Member | None = None  # the server as it was listed at the time of the send
    exchange: Exchange | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request in the table, which stays there until it is closed and its attempts have ended."""

    id: str
    class_name: str
    command: Command | None  # None once closed: nothing sends it again, and its value may be long
    deadline: float
    respond: Callable[[bytes], None]
    may_begin: Callable[[], bool]  # whether the client is certainly connected; asked before each attempt
    attempt_count: int = 0  # attempts started, including finished ones
    closed: bool = False  # answered, or its client has disconnected
    deadline_passed: bool = False
    timer: asyncio.TimerHandle | None = None  # fires at the deadline
    module_timers: list[asyncio.TimerHandle] = field(default_factory=list)  # set by the decision module
    attempts: dict[int, Attempt] = field(default_factory=dict)  # in flight, by number


class RecentIds:
    """The ids of closed requests, each for some time; the oldest go first when there are many.

    A request that comes again under such an id is a faulty client's. Accepted, it could run after the refusal
    of the first one, or a second time.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.deadlines: dict[str, float] = {}  # by id, the one closed first in front

    def add(self, request_id: str, deadline: float, now: float) -> None:
        """Keep an id until `deadline`, and drop those in front whose time is over."""
        while self.deadlines:
            oldest = next(iter(self.deadlines))
            if self.deadlines[oldest] > now and len(self.deadlines) < self.capacity:
                break
            del self.deadlines[oldest]
        self.deadlines[request_id] = deadline

    def contains(self, request_id: str, now: float) -> bool:
        """Return whether an id is kept and its time is not over."""
        return self.deadlines.get(request_id, now) > now

    def __len__(self) -> int:
        """Return the number of ids, including those whose time is over and that are not dropped yet."""
        return len(self.deadlines)
