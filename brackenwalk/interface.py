"""The events that the decision module takes and the actions that it answers with.

A host translates its own messages into these events, hands them to `policy.Router.handle` and carries out
the returned actions in order. All times are in seconds; points in time are on one monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """Invalid settings; the message names the field."""


class RetrySafety(Enum):
    """Whether a request that may already have run can be sent again."""

    SAFE = "safe"
    # within the repeat window, the servers of a repeat group drop repeats with the same key
    KEYED = "keyed"
    UNSAFE = "unsafe"


class RepeatGroup(Enum):
    """The set of servers that share their record of keyed requests, and so drop each other's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def shared_by(self, one: ServerEntry, other: ServerEntry) -> bool:
        """Whether each of two servers drops a keyed request that the other one has run."""
        if self is RepeatGroup.ZONE:
            return one.zone == other.zone
        return self is RepeatGroup.ALL or one.cell == other.cell


class ServerState(Enum):
    """The state in which discovery lists a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a `ServerList` event relates to the server list that the router already holds."""

    DELTA = "delta"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"
    REACHABLE = "reachable"  # a connection to discovery could be made; the current list stays valid
    MOVED = "moved"  # discovery has a new address; the current list stays valid


class Status(Enum):
    """The outcome of an attempt."""

    OK = "ok"
    ERROR = "error"
    BUSY = "busy"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"
    MISS = "miss"


# outcomes that prove that the server did not run the request
NEVER_RAN = (Status.BUSY, Status.CONNECT_FAILED, Status.UNSENT, Status.MISS)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A request class: the latency that its clients want, and how its requests may be retried."""

    name: str
    aim: float  # seconds within which an answer is wanted
    retry_safety: RetrySafety = RetrySafety.SAFE
    repeat_group: RepeatGroup = RepeatGroup.ALL
    repeat_window: float = 0.0  # seconds in which servers recognise a repeat of a keyed request
    priority: float = 1.0  # requests of higher priority leave the origin queue first
    client_timeout: float = math.inf  # seconds after which the client gives up waiting


@dataclass(slots=True, frozen=True)
class Settings:
    """A router's settings, fixed at its start: those that the decision module or a host uses."""

    classes: dict[str, RequestClass]
    resolution: float = 0.005  # of the host's timers
    aside: bool = False  # cache-aside: after a miss the router itself fetches from the origin
    origin_kind: str | None = None  # the `kind` of servers that are origins
    live_weights: bool = False  # listed weights fall as their server's load rises
    subscribe: bool = False  # list changes are delivered only after a `Subscribe`
    second_copies: bool = False  # a request may have two attempts open at a time
    may_cancel: bool = False  # attempts may be cancelled
    peer_messages: bool = False  # routers may send each other peer messages
    max_attempts: int = 1  # of a request, the first one included
    siblings: int = 1  # number of routers, this one included
    sibling_index: int = 0  # of this router among its siblings, from 0
    idle_timeout: float = 60.0  # after which the host closes an idle connection by itself
    dial_timeout: float = 0.25  # after which a connection that is not established has failed
    max_retry_after: float = 0.0  # longest retry-after that clients honour
    connection_cost: float = 0.0  # cost of 100 open connections at every server
    handshake_cost: float = 0.0  # cost of a new connection for every request, in the same unit
    cold_share: float = 0.3  # share of its usual load that a server can take right after its start
    ramp: float = 10.0  # seconds until a started server can take all of its usual load
    overload_factor: float = 2.0  # a cold server fails at this multiple of the load that it can take
    overload_window: float = 1.0  # seconds over which that load is counted
    drain_grace: float = 1.0  # seconds from the drain notice until no new request may go to the server
    max_open_bytes: float = math.inf  # that requests without a final answer may hold in the host
    # By the operators' rules a router has to know what discovery listed this long ago, polled or not.
    max_list_age: float = 10.0

    @property
    def shortest_aim(self) -> float:
        """The shortest aim of any request class, in seconds."""
        return min(c.aim for c in self.classes.values())

    @property
    def longest_client_timeout(self) -> float:
        """The longest time that clients of any request class wait, in seconds."""
        return max(c.client_timeout for c in self.classes.values())


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of the server list."""

    server: str
    state: ServerState = ServerState.READY
    kind: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 0.0
    started_at: float = 0.0  # time of the latest start of its process; 0 if it started long ago

    @property
    def ready(self) -> bool:
        """Whether new requests may be sent to the server."""
        return self.state is ServerState.READY


@dataclass(slots=True, frozen=True)
class ServerList:
    """A new server list, changes to the current one, or the failure to get either."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; it must get exactly one final answer within `time_left` seconds."""

    id: str
    request_class: str
    time_left: float
    key: str | None = None
    cost_hint: float | None = None
    write: bool = False
    size: int = 0  # bytes that the host holds for the request until it is closed


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The first bytes of an attempt's answer have been passed to the client."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Outcome:
    """An attempt has ended; with `request_done` the request has ended too."""

    request_id: str
    attempt: int
    status: Status
    request_done: bool = False
    latency: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has disconnected, so the request needs no answer any more."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The router is shutting down: every request must get its final answer within `time_left` seconds."""

    time_left: float


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: str


@dataclass(slots=True, frozen=True)
class Resume:
    """The events that were due at a `ResumeLater` have been handled."""


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another router; it may be corrupt."""

    content: bytes


Event = (
    PeerMessage
    | ServerList
    | Request
    | ResponseStarted
    | Outcome
    | ClientGone
    | Shutdown
    | TimerFired
    | Resume
)


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; the attempts of a request are numbered from 0 in the order of their sends."""

    request_id: str
    server: str
    timeout: float | None = None  # None: until the client's deadline


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: no result, and a retry by the client is harmless."""

    request_id: str
    retry_after: float = 0.0  # seconds that the client should wait before a retry; 0 for no advice


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: no result, and the request may or may not have run."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt; the server may still run it."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a `TimerFired` with this token after `delay` seconds.

    A timer of a request has no effect once the request is closed, and need not be delivered then. One of no
    request takes the place of an earlier one with its token, which need not be delivered either.
    """

    delay: float
    token: str
    request_id: str | None = None


@dataclass(slots=True, frozen=True)
class ResumeLater:
    """Deliver a `Resume` as soon as the events that are due now have been handled.

    The module has work left that would take too long at once.
    """


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask discovery for the server list and all changes from now on."""


@dataclass(slots=True, frozen=True)
class CheckDiscovery:
    """Find out whether a connection to discovery can be made, without a call.

    The result is a `ServerList` of the kind `REACHABLE` or `FAILED`.
    """


@dataclass(slots=True, frozen=True)
class Broadcast:
    """Send a message of at most 256 bytes to every peer, without guaranteed delivery."""

    content: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write one line to the operators' log."""

    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | CloseIdle
    | SetTimer
    | ResumeLater
    | Subscribe
    | CheckDiscovery
    | Broadcast
    | Log
)
