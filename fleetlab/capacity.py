"""The capacity page: a table for each role at three sizes beside the users' limits, all from figures.

Formulas and mechanisms are those of brackenwalk's policy, demand, ring, net and `__main__`; a test holds the
numbers taken from there to theirs.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from brackenwalk.__main__ import RESERVE
from brackenwalk.demand import CHECK, HEAD, LINE, LINES, MEMORY, NAME
from brackenwalk.net.discovery import ANSWER_MARGIN, EMPTY_PAUSE, WATCH_WAIT
from brackenwalk.net.peers import HELD
from brackenwalk.policy import FAULTY, POINTS, SILENCE
from brackenwalk.telling import DATAGRAM, HEARD, TELL, TELLERS
from fleetlab.experiment import Experiment, Fleet
from fleetlab.plan import Addresses, Plan, entry_of, first_list
from fleetlab.slopes import (
    AFTER_SUFFIX,
    BEFORE_SUFFIX,
    MIN_PLAYS,
    RATE_SETTINGS,
    Fit,
    Point,
    Value,
    choose_fit,
)

FRAME = Path(__file__).with_name("capacity.md.in")
SIZES = ("today", "full", "users")
NOT_MEASURED = "not measured"
DAY = 86400.0
KINDS = ("list", "change", "peer", "timer", "call", "tell")  # of control events
Wanted = Sequence[tuple[str, str]]


class Size(msgspec.Struct, frozen=True):
    """A fleet: numbers of routers and servers, and requests a second at a router."""

    label: str
    routers: float
    servers: float
    rate: float

    def axes(self) -> dict[str, float]:
        """As `slopes` names them."""
        both = dict.fromkeys(RATE_SETTINGS.values(), self.rate)
        return {"routers": self.routers, "servers": self.servers, **both}


class Given(msgspec.Struct, frozen=True):
    """The file of sizes and limits."""

    sizes: dict[str, Size]
    places: dict[str, float]
    limits: dict[str, float]
    deploy: dict[str, Any]


@dataclass(frozen=True)
class Compared:
    """What is compared between an earlier module and this one."""

    label: str
    role: str
    metric: str
    limit: str = ""  # its name in the file of limits
    each: float = 1.0  # of it: events a second, or what else makes it the limit's unit
    over: str = ""  # a metric that is taken off
    rate: str = ""  # a metric that it is multiplied with
    datagrams: str = ""  # a rate of these, whose headers of IP and UDP are added

    def of(self, point: Point) -> list[float]:
        """The value of each play that has all of it."""
        own = point.roles.get(self.role, {})
        names = [m for m in (self.metric, self.over, self.rate, self.datagrams) if m]
        if not all(m in own for m in names):
            return []
        plays = (
            dict(zip(names, values, strict=True))
            for values in zip(*(own[m].values for m in names), strict=True)
        )
        known = ({m: v for m, v in play.items() if v is not None} for play in plays)
        return [
            self.each * (v[self.metric] - v.get(self.over, 0.0)) * v.get(self.rate, 1.0)
            + DATAGRAM * v.get(self.datagrams, 0.0)
            for v in known
            if len(v) == len(names)
        ]


COMPARED = (
    Compared("control, quiet, share of a core", "module", "cpu.control", "control_share"),
    Compared(
        "control, the worst second of a zone's loss, share of a core",
        "module",
        "storm.cpu.control",
        "control_share",
    ),
    Compared("a change of the list, microseconds", "module", "cpu.us.change"),
    Compared(
        "a change of the list a second, share of a core", "module", "cpu.us.change", "control_share", 1e-6
    ),
    Compared("the first list, microseconds", "module", "cpu.us.list"),
    Compared("a call with no news, microseconds", "module", "cpu.us.call"),
    Compared("a request that tells peers, microseconds", "module", "cpu.us.tell"),
    Compared(
        "telling peers, share of a core",
        "module",
        "cpu.us.tell",
        "control_share",
        1e-6,
        "cpu.us.request",
        "rate.tell",
    ),
    Compared("a datagram heard, microseconds", "module", "cpu.us.peer"),
    Compared("datagrams heard, quiet, a second", "module", "rate.peer"),
    Compared("datagrams heard, the worst second of a zone's loss", "module", "storm.rate.peer"),
    Compared(
        "bytes from peers with headers, quiet, a second",
        "module",
        "bytes.in.peers",
        "control_bytes",
        datagrams="rate.peer",
    ),
    Compared(
        "bytes from peers with headers, the worst second of a zone's loss",
        "module",
        "storm.bytes.in.peers",
        "control_bytes",
        datagrams="storm.rate.peer",
    ),
    Compared("the module's state, MB", "module", "state.mb", "control_mb"),
    Compared("control with sockets, share of a core", "hollow", "cpu.control", "control_share"),
    Compared(
        "bytes from peers with headers, over sockets, a second",
        "hollow",
        "bytes.in.peers",
        "control_bytes",
        datagrams="rate.peer",
    ),
    Compared("a change in force at the last router, seconds", "discovery", "force.max", "change_within"),
    Compared("calls waiting at discovery, most", "discovery", "calls.waiting"),
    Compared("fullest window of a cold server, part of what makes it fall", "caches", "cold.window"),
    Compared("requests of clients served, share", "clients", "served"),
)


def read_given(path: Path) -> Given:
    """Read sizes and limits. Raises msgspec.ValidationError, or ValueError where a size is missing."""
    given = msgspec.convert(tomllib.loads(path.read_text()), Given)
    if missing := [s for s in SIZES if s not in given.sizes]:
        raise ValueError(f"{path}: no size {missing[0]!r}")
    return given


@dataclass
class Cell:
    """A figure at a size, and what gave it."""

    value: float
    low: float
    high: float
    marks: list[str] = field(default_factory=list)
    sources: list[Fit] = field(default_factory=list)
    formula: str = ""
    partial: bool = False

    def text(self) -> str:
        """As a cell of a table."""
        inside = [] if self.formula and not self.sources else [f"{number(self.low)} to {number(self.high)}"]
        inside += [", ".join(self.marks)] if self.marks else []
        few = "†" if any(f.has_few_plays for f in self.sources) else ""
        told = f" ({'; '.join(inside)})" if inside else ""
        return f"{'at least ' if self.partial else ''}{number(self.value)}{few}{told}"


Figures = Callable[[Sequence[Fit], Size], Cell | None]


@dataclass
class Row:
    """A line of a table."""

    kind: str  # state, messages, bytes, processor, memory, descriptors, connections, time
    label: str
    mechanism: str
    cell: Figures
    limit: float | None = None
    whose: str = ""  # the limit's source where it is not the users'
    users_only: bool = False  # what it is made of is known at their size alone


def number(value: float) -> str:
    """A number as the page shows it: three digits, more where it is large."""
    if not math.isfinite(value):
        return str(value)
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def _cell(fit: Fit, value: Value, scale: float = 1.0) -> Cell:
    marks = ["measured"] if value.measured else []
    if value.extrapolation > 1:
        marks.append(f"×{number(value.extrapolation)} beyond")
    for axis, held in sorted(value.held_axes.items()):
        marks.append(f"at {number(held)} {axis if '.' not in axis else 'requests/s'}")
    marks += [f"varied with {a}" for a in fit.collinear_axes]
    if fit.is_understated:
        marks.append(f"a mean over hollow routers of which {number(fit.listening)} heard peers")
    marks += [f"while {f}" for f in fit.faults]
    ends = scale * value.value, scale * value.low, scale * value.high
    return Cell(*ends, marks, [fit], partial=fit.is_understated)


def measured(*wanted: tuple[str, str], steady: bool = True, scale: float = 1.0) -> Figures:
    """The first of these roles' metrics that was measured."""

    def cell(fits: Sequence[Fit], size: Size) -> Cell | None:
        got = choose_fit(fits, wanted, size.axes(), steady)
        return None if got is None else _cell(*got, scale)

    return cell


def scaled(of: Figures, by: Callable[[Size], float], text: str) -> Figures:
    """A figure times what follows from the size."""

    def cell(fits: Sequence[Fit], size: Size) -> Cell | None:
        got = of(fits, size)
        if got is None:
            return None
        factor = by(size)
        ends = factor * got.value, factor * got.low, factor * got.high
        return Cell(*ends, got.marks, got.sources, text, got.partial)

    return cell


def total(text: str, parts: Sequence[Figures]) -> Figures:
    """A sum; a lower bound where one of its parts was not measured."""

    def cell(fits: Sequence[Fit], size: Size) -> Cell | None:
        cells = [part(fits, size) for part in parts]
        return _sum([c for c in cells if c is not None], len(parts), text)

    return cell


def _sum(cells: Sequence[Cell], wanted: int, formula: str) -> Cell | None:
    if not cells:
        return None
    marks = sorted({m for c in cells for m in c.marks if m != "measured"})
    if all("measured" in c.marks for c in cells):
        marks.insert(0, "measured")
    known = (
        math.fsum(c.value for c in cells),
        math.fsum(c.low for c in cells),
        math.fsum(c.high for c in cells),
    )
    return Cell(
        *known,
        marks,
        [f for c in cells for f in c.sources],
        formula,
        len(cells) < wanted or any(c.partial for c in cells),
    )


def control_share(fits: Sequence[Fit], size: Size) -> Cell | None:
    """Share of a core from the module alone: events of each kind a second, times what one takes."""
    parts = []
    for kind in KINDS:
        rate = measured(("module", f"rate.{kind}"), ("hollow", f"rate.{kind}"))(fits, size)
        cost = measured(("module", f"cpu.us.{kind}"), ("hollow", f"cpu.us.{kind}"))(fits, size)
        if rate is not None and cost is not None:
            if kind == "tell" and (plain := measured(("module", "cpu.us.request"))(fits, size)) is not None:
                # it is the whole of a request that tells
                less = plain.value
                ends = [max(0.0, end - less) for end in (cost.value, cost.low, cost.high)]
                cost = Cell(ends[0], ends[1], ends[2], cost.marks, cost.sources)
            ends = [max(0.0, rate.low) * max(0.0, cost.low), rate.high * cost.high]
            marks = sorted({*rate.marks, *cost.marks} - {"measured"})
            both = Cell(
                rate.value * cost.value / 1e6,
                ends[0] / 1e6,
                ends[1] / 1e6,
                marks,
                rate.sources + cost.sources,
            )
            parts.append(both)
    return _sum(parts, len(KINDS), "the sum of rate.KIND × cpu.us.KIND, of tell what is more than a request")


def formula(text: str, of: Callable[[Size], float]) -> Figures:
    """What code or protocol say, with no run."""

    def cell(fits: Sequence[Fit], size: Size) -> Cell | None:
        value = of(size)
        return Cell(value, value, value, formula=text)

    return cell


def in_force(which: str) -> list[tuple[str, str]]:
    """Where the time until a change is in force may stand."""
    return [(role, f"force.{which}") for role in ("hollow", "real", "discovery", "lab")]


def nothing(fits: Sequence[Fit], size: Size) -> Cell | None:
    """Not measured, and no formula."""
    return None


def list_bytes(servers: float) -> int:
    """Bytes of the whole list as discovery's stand-in writes it."""
    experiment = Experiment(name="size", mode="model", fleet=Fleet(servers=int(servers)))
    return len(msgspec.json.encode(first_list(Plan("discovery", experiment, Addresses(1, 1), 1))))


def entry_bytes() -> int:
    """Bytes of one entry of it."""
    experiment = Experiment(name="size", mode="model", fleet=Fleet(servers=1))
    return len(msgspec.json.encode(entry_of(Plan("discovery", experiment, Addresses(1, 1), 1), 0)))


def message_bytes(size: Size, aim: float) -> float:
    """The longest message to peers without names: a line for each request since the last one."""
    return CHECK + HEAD.size + LINE.size * min(LINES, TELL * aim * size.rate)


def keys_bytes(size: Size, aim: float) -> float:
    """Bytes a second that a router hears of keys at most, with the headers of IP and UDP; see `Telling`."""
    message = DATAGRAM + message_bytes(size, aim)
    part = min(1.0, TELLERS / size.routers, HEARD * TELL * aim / (size.routers * message))
    return part * (size.routers - 1) / (TELL * aim) * message


def tables(given: Given) -> dict[str, list[Row]]:
    """The rows of each role's table."""
    limits, deploy = given.limits, given.deploy
    aim = float(deploy["shortest_aim"])
    room = int(deploy["sockets"]) - RESERVE
    watch = f"watch of {number(WATCH_WAIT)} s by each router at discovery"
    tellers = f"hot keys told by {TELLERS} tellers, within {number(HEARD)} bytes a second"
    ailing = "ailing servers, told by routers to which it is news"
    deltas = "list deltas; `Ring.settle` takes in what moved"
    missing = "missing"
    peers_rate = ("hollow", "rate.peer"), ("module", "rate.peer"), ("real", "rate.peer")
    peers_in = measured(("network", "bytes.in.peers"), ("hollow", "bytes.in.peers"))
    at_discovery = "one discovery for all routers, calls one after another"
    cores = float(deploy["server_cores"])
    fewest, most = (cores * float(c) for c in deploy["connections_core"])
    machines = limits["control_machines"]
    limit_bytes = limits["control_bytes"]

    longest = f"({CHECK + HEAD.size} + {LINE.size} × min({LINES}, requests between two messages)) bytes"

    router = [
        Row(
            "state",
            "the module's state, MB",
            f"`Ring` with {POINTS} points a server, `Demand` with {number(MEMORY)} requests a server",
            measured(("module", "state.mb"), ("hollow", "state.mb")),
            limits["control_mb"],
        ),
        Row("state", "entries of the list", deltas, formula("servers + 1 origin", lambda s: s.servers + 1)),
        Row(
            "messages",
            "calls to discovery, a second",
            watch,
            measured(("hollow", "rate.call"), ("module", "rate.call")),
        ),
        Row(
            "messages",
            "changes of the list, a second",
            deltas,
            measured(("hollow", "rate.change"), ("module", "rate.change")),
        ),
        Row("messages", "datagrams from peers, a second", f"{tellers}; {ailing}", measured(*peers_rate)),
        Row("messages", "purges heard, a second", missing, nothing, limits["purges_rate"]),
        Row(
            "messages",
            "datagrams from peers while a server ails, a second",
            ailing,
            measured(("module", "storm.rate.peer"), ("hollow", "storm.rate.peer"), steady=False),
        ),
        Row(
            "bytes",
            "control, a second: peers and discovery, in and out",
            f"{watch}; {deltas}; {tellers}",
            total(
                "from and to peers and discovery",
                [
                    peers_in,
                    measured(("hollow", "bytes.out.peers")),
                    *(measured(("hollow", f"bytes.{way}.discovery")) for way in ("in", "out")),
                ],
            ),
            limit_bytes,
        ),
        Row(
            "bytes",
            "control at a real router, a second",
            f"{watch}; {deltas}; {tellers}",
            total(
                "from and to peers (a mean router's) and discovery",
                [
                    peers_in,
                    scaled(measured(("network", "sent.bytes")), lambda s: 1 / s.routers, ""),
                    *(measured(("discovery", f"bytes.{way}.discovery.real")) for way in ("in", "out")),
                ],
            ),
            limit_bytes,
        ),
        Row(
            "bytes",
            "from peers, module alone, a second",
            tellers,
            measured(("module", "bytes.in.peers")),
            limit_bytes,
        ),
        Row(
            "bytes",
            "from peers, at most, a second",
            tellers,
            formula(
                f"(routers − 1) / ({TELL:g} × aim of {aim:g} s) × ({DATAGRAM} + message) × the least of 1, "
                f"{TELLERS} / routers and {number(HEARD)} × {TELL:g} × aim / "
                f"(routers × ({DATAGRAM} + message)); message: {longest}",
                lambda s: keys_bytes(s, aim),
            ),
            limit_bytes,
        ),
        Row(
            "bytes",
            "from peers while all routers find a server ailing at once and none hears another, a second",
            ailing,
            formula(
                f"(routers − 1) / ({TELL:g} × aim of {aim:g} s) × ({DATAGRAM} + {CHECK + HEAD.size} + "
                f"{NAME.size}) + what is heard of keys",
                lambda s: (
                    (s.routers - 1) / (TELL * aim) * (DATAGRAM + CHECK + HEAD.size + NAME.size)
                    + keys_bytes(s, aim)
                ),
            ),
            limit_bytes,
        ),
        Row(
            "bytes",
            "from peers while a server ails, a second",
            ailing,
            measured(("module", "storm.bytes.in.peers"), ("hollow", "storm.bytes.in.peers"), steady=False),
            limit_bytes,
        ),
        Row(
            "processor",
            "control, share of a core, with sockets",
            f"{watch}; {deltas}; {tellers}",
            measured(("full", "cpu.control"), ("hollow", "cpu.control")),
            limits["control_share"],
        ),
        Row(
            "processor",
            "control as the module alone has it, share of a core",
            f"{deltas}; {tellers}; timers",
            measured(("module", "cpu.control")),
            limits["control_share"],
        ),
        Row(
            "processor",
            "control in the worst second of a zone's loss, module alone, share of a core",
            ailing,
            measured(("module", "storm.cpu.control"), steady=False),
            limits["control_share"],
        ),
        Row(
            "processor",
            "control, a sum over kinds, module alone, share of a core",
            f"{deltas}; {tellers}; timers",
            control_share,
            limits["control_share"],
        ),
        *(
            Row(
                "processor",
                f"{label}, microseconds",
                how,
                measured(("module", f"cpu.us.{kind}"), ("hollow", f"cpu.us.{kind}")),
            )
            for kind, label, how in (
                ("list", "a whole list", "`known` at the start; " + deltas),
                ("change", "a change of the list", deltas),
                ("peer", "a datagram heard", "`Telling.hear`"),
                ("tell", "a message to peers", "`Telling.message`, `Demand.share_out`"),
                ("request", "a request (no control)", "`Router._choose`"),
            )
        ),
        Row(
            "processor",
            "all work of a real router, share of a core",
            "one process, one loop",
            measured(("real", "cpu.share")),
            float(deploy["cores"]),
            "deployment",
        ),
        Row("memory", "a real router's process, MB", "one process", measured(("real", "memory.mb"))),
        Row(
            "memory",
            "receive buffer for peers, bytes",
            "`Peers.connection_made`",
            formula(f"{HELD} bytes × (routers − 1)", lambda s: HELD * (s.routers - 1)),
        ),
        Row(
            "descriptors",
            "a real router's",
            "`limits.sockets`",
            measured(("real", "descriptors")),
            float(deploy["sockets"]),
            "deployment",
        ),
        Row("connections", "a real router's", "pools and listener", measured(("real", "connections"))),
        Row(
            "connections",
            "to servers, one each",
            "`Pool` in `__main__.serve`; past its limit an idle connection makes way",
            formula(
                f"servers; limit ({deploy['sockets']} − {RESERVE}) × 3 // 8 = {room * 3 // 8}",
                lambda s: s.servers,
            ),
            float(room * 3 // 8),
            "deployment",
        ),
    ]
    cache = [
        Row(
            "state",
            "objects",
            "the servers' own",
            formula(f"{number(limits['objects'])} / servers", lambda s: limits["objects"] / s.servers),
            users_only=True,
        ),
        Row(
            "state",
            "fullest window of a cold one, part of what makes it fall",
            "`Shares.stated`: a warm-up by the clock",
            measured(
                ("caches", "cold.window"), ("hollow", "cold.window"), ("lab", "cold.window"), steady=False
            ),
            1.0,
            "protocol",
        ),
        Row(
            "messages",
            "requests, a second, with no retries",
            "`Router._choose`: the bounded walk",
            formula("routers × requests/s / servers", lambda s: s.routers * s.rate / s.servers),
        ),
        Row(
            "messages",
            "requests at all of them, measured, a second",
            "`Router._choose`",
            measured(("caches", "requests")),
        ),
        Row("messages", "purges, a second", missing, nothing),
        Row("bytes", "control", missing, nothing),
        Row("processor", "share of a core of the stand-in", "stand-in", measured(("caches", "cpu.share"))),
        Row(
            "memory",
            "of the stand-in, all of them, MB",
            "stand-in",
            measured(("caches", "process.memory.mb")),
        ),
        Row(
            "descriptors",
            "of the stand-in, all of them",
            "stand-in",
            measured(("caches", "process.descriptors")),
        ),
        Row(
            "connections",
            "from routers",
            "`Pool`: kept as long as they pay",
            measured(("caches", "connections")),
            fewest,
            "deployment",
        ),
        Row(
            "connections",
            "from routers, one each",
            "`Pool`",
            formula(f"routers; a server holds {number(fewest)} to {number(most)}", lambda s: s.routers),
            fewest,
            "deployment",
        ),
    ]
    discovery = [
        Row(
            "state",
            "bytes of the list",
            deltas,
            formula("the list's length as the stand-in writes it", lambda s: list_bytes(s.servers)),
        ),
        Row("messages", "calls, a second", watch, measured(("discovery", "calls"))),
        Row(
            "messages",
            "calls with no news, a second",
            watch,
            formula(
                f"routers / ({number(WATCH_WAIT)} + {EMPTY_PAUSE:g} s)",
                lambda s: s.routers / (WATCH_WAIT + EMPTY_PAUSE),
            ),
        ),
        Row(
            "messages",
            "calls failed, a second",
            "asked again once a round, in turn: `Calls`",
            measured(("discovery", "calls.failed")),
        ),
        Row(
            "messages",
            "calls waiting, most",
            "`Calls.until_turn`: each router's call in its turn",
            measured(("discovery", "calls.waiting")),
        ),
        Row(
            "messages",
            "service time if all begin a watch at once, seconds",
            "`Calls.until_turn`",
            formula(
                f"routers × {number(float(deploy['call_ms']))} ms",
                lambda s: s.routers * float(deploy["call_ms"]) / 1000,
            ),
        ),
        Row(
            "bytes",
            "out, a second",
            deltas,
            scaled(
                measured(("discovery", "bytes.out.discovery")), lambda s: s.routers, "routers × each one's"
            ),
        ),
        Row(
            "bytes",
            "in, a second",
            watch,
            scaled(
                measured(("discovery", "bytes.in.discovery")), lambda s: s.routers, "routers × each one's"
            ),
        ),
        Row(
            "processor",
            "share of a core of the stand-in",
            at_discovery,
            measured(("discovery", "cpu.share")),
            1.0,
            "protocol: calls one after another",
        ),
        Row(
            "memory",
            "of the stand-in, all of them, MB",
            at_discovery,
            measured(("discovery", "process.memory.mb")),
        ),
        Row(
            "descriptors",
            "of the stand-in, all of them",
            at_discovery,
            measured(("discovery", "process.descriptors")),
        ),
        Row("connections", "measured", watch, nothing),
        Row("connections", "a watch of each router", watch, formula("routers", lambda s: s.routers)),
    ]
    control = [
        Row("state", "of each", missing, nothing),
        Row("messages", "purges sent, a second", missing, nothing),
        Row("bytes", "of each, a second", missing, nothing),
        Row("processor", "of each", missing, nothing),
        Row("memory", "of each", missing, nothing),
        Row("descriptors", "of each", missing, nothing),
        Row(
            "connections",
            "routers for each (on paper)",
            missing,
            formula(f"routers / {number(machines)}", lambda s: s.routers / machines),
        ),
        Row("machines", "all control on one discovery today, others", missing, nothing, machines),
    ]
    origin = [
        Row("state", "objects", "the origin's own", nothing),
        Row(
            "messages", "requests, a second", "fetches after a miss; writes", measured(("origin", "requests"))
        ),
        Row(
            "messages",
            "requests of clients served, share",
            "`Router._serve_queue`: worth first, then age",
            measured(("clients", "served")),
        ),
        Row("bytes", "out, a second", "`OriginConnection`", measured(("origin", "bytes.out"))),
        Row("processor", "share of a core of the stand-in", "stand-in", measured(("origin", "cpu.share"))),
        Row(
            "memory",
            "of the stand-in, all of them, MB",
            "stand-in",
            measured(("origin", "process.memory.mb")),
        ),
        Row(
            "descriptors",
            "of the stand-in, all of them",
            "stand-in",
            measured(("origin", "process.descriptors")),
        ),
        Row("connections", "measured", "`Pool`", nothing),
        Row(
            "connections",
            "at most",
            "`Pool` in `__main__.serve`",
            formula(
                f"routers × ({deploy['sockets']} − {RESERVE}) // 8 = routers × {room // 8}",
                lambda s: s.routers * (room // 8),
            ),
        ),
    ]

    def forced(which: str) -> Figures:
        return measured(*in_force(which))

    whole = [
        Row("time", "a change in force, half of them, seconds", f"{watch}; {deltas}", forced("p50")),
        Row(
            "time",
            "a change in force, 99 of 100 of them, seconds",
            f"{watch}; {deltas}",
            forced("p99"),
            limits["change_within"],
        ),
        Row(
            "time",
            "a change in force at the last router, seconds",
            f"{watch}; {deltas}",
            forced("max"),
            limits["change_within"],
        ),
        Row("time", "a purge done everywhere, seconds", missing, nothing, limits["purge_within"]),
        Row("messages", "purges, a second", missing, nothing, limits["purges_rate"]),
        Row(
            "messages",
            "requests, a second",
            "routers",
            formula("routers × requests/s", lambda s: s.routers * s.rate),
        ),
        Row(
            "bytes",
            f"a request's, for {number(limits['bits'] / 1e12)} Tbit/s in all",
            "a value passes through a router whole",
            formula(
                f"{number(limits['bits'] / 8e12)}e12 / (routers × requests/s), against the longest value",
                lambda s: limits["bits"] / 8 / (s.routers * s.rate),
            ),
            float(deploy["value_bytes"]),
            "protocol",
            users_only=True,
        ),
    ]
    return {
        "The fleet as a whole": whole,
        "Router": router,
        "Cache server, as the routers see it": cache,
        "Discovery": discovery,
        f"The {number(machines)} control machines": control,
        "Origin": origin,
    }


def _ranged(values: Sequence[float]) -> str:
    """The mean of plays, with their range."""
    few = "" if len(values) >= MIN_PLAYS else "†"
    mean = math.fsum(values) / len(values)
    return f"{number(mean)}{few} ({number(min(values))} to {number(max(values))})"


def slope_text(cells: Iterable[Cell | None]) -> str:
    """What an axis costs, of the last size that has a figure; or the formula."""
    cell = next((c for c in reversed(list(cells)) if c is not None), None)
    if cell is None:
        return ""
    texts = [f"formula: {cell.formula}"] if cell.formula else []
    for fit in cell.sources:
        terms = [number(fit.intercept)]
        for t in fit.terms:
            error = "no error" if t.error is None else f"± {number(t.error)}"
            plays = f"plays {number(t.low)} to {number(t.high)}"
            terms.append(f"{number(t.slope)} × {t.axis} ({error}; {plays})")
        what = " + ".join(terms) if fit.terms else "one size, no slope"
        texts.append(f"{fit.role} {fit.metric}: {what}")
    return "; ".join(texts)


class Page:
    """The tables filled in."""

    def __init__(self, points: Sequence[Point], fits: Sequence[Fit], given: Given) -> None:
        self.points, self.fits, self.given = points, fits, given
        self.sizes = [given.sizes[s] for s in SIZES]
        names = sorted({p.experiment for p in points})
        self.refs = {name: f"R{i}" for i, name in enumerate(names, 1)}
        self.filled = {
            role: [(row, [self._cell(row, size) for size in self.sizes]) for row in rows]
            for role, rows in tables(given).items()
        }

    def _cell(self, row: Row, size: Size) -> Cell | None:
        unknown = row.users_only and size is not self.sizes[-1]
        return None if unknown else row.cell(self.fits, size)

    def runs_of(self, cells: Iterable[Cell | None]) -> str:
        names = {n for c in cells if c is not None for f in c.sources for n in f.experiment.split("+")}
        return ", ".join(sorted((self.refs.get(n, n) for n in names), key=lambda r: (len(r), r)))

    def table(self, role: str) -> str:
        """One role's table."""
        labels = " | ".join(s.label for s in self.sizes)
        out: list[str] = [
            f"| | | {labels} | limit | ratio | slope or formula | runs | mechanism |",
            "| --- " * 10 + "|",
        ]
        for row, cells in self.filled[role]:
            none = "" if row.users_only else NOT_MEASURED
            texts = " | ".join(none if c is None else c.text() for c in cells)
            limit = "" if row.limit is None else number(row.limit) + (f" ({row.whose})" if row.whose else "")
            last = cells[-1]
            ratio = number(last.value / row.limit) if last is not None and row.limit else ""
            ratio = ratio or (NOT_MEASURED if row.limit else "")
            out.append(
                f"| {row.kind} | {row.label} | {texts} | {limit} | {ratio} | {slope_text(cells)} | "
                f"{self.runs_of(cells)} | {row.mechanism} |"
            )
        return "\n".join(out)

    def limited(self) -> list[tuple[float, str, Row, list[Cell | None]]]:
        """All rows with a limit and a figure at the users' size, the worst ratio first."""
        found = [
            (cells[-1].value / row.limit, role, row, cells)
            for role, rows in self.filled.items()
            for row, cells in rows
            if row.limit and cells[-1] is not None
        ]
        return sorted(found, key=lambda f: (-f[0], f[1], f[2].label))

    def passed(self) -> str:
        """The list of lines that pass their limit."""
        out: list[str] = []
        for ratio, role, row, cells in self.limited():
            if ratio > 1 and row.limit:
                others = ", ".join(
                    f"{number(c.value / row.limit)} at {s.label}"
                    for s, c in zip(self.sizes[:-1], cells[:-1], strict=True)
                    if c is not None
                )
                last = cells[-1]
                text = "" if last is None else last.text()
                whose = f", {row.whose}" if row.whose else ""
                what = "a formula" if last is not None and not last.sources else self.runs_of(cells)
                out.append(
                    f"{len(out) + 1}. **{number(ratio)}** {role}: {row.kind}: {row.label}: {text} against "
                    f"{number(row.limit)}{whose}{f' ({others})' if others else ''}; {what}; {row.mechanism}"
                )
        return "\n".join(out) or "None of those with a figure."

    def may_pass(self) -> str:
        """Lines whose limit lies within their range."""
        some = [
            f"- {role}: {row.kind}: {row.label}: {cells[-1].text()} against {number(row.limit)}"
            for ratio, role, row, cells in self.limited()
            if ratio <= 1 and row.limit and cells[-1] is not None and cells[-1].high > row.limit
        ]
        return "\n".join(some) or "- none"

    def unknown(self) -> str:
        """Limits that nothing stands beside."""
        some = [
            f"- {role}: {row.kind}: {row.label}: limit {number(row.limit)}"
            + ("; mechanism missing" if row.mechanism == "missing" else "")
            for role, rows in self.filled.items()
            for row, cells in rows
            if row.limit and cells[-1] is None
        ]
        return "\n".join(some) or "- none"

    def compared(self) -> str:
        """Before and after: what a router's control took with an earlier module and takes with this one.

        Of experiments NAME_before and NAME_after, at each size that both played.
        """
        places: dict[tuple[str, float, float], dict[str, Point]] = {}
        for point in self.points:
            for end in (BEFORE_SUFFIX, AFTER_SUFFIX):
                if point.experiment.endswith(end):
                    stem = point.experiment.removesuffix(end)
                    place = (stem, point.axis("routers"), point.axis("servers"))
                    places.setdefault(place, {})[end] = point
        both = [(place, found) for place, found in sorted(places.items()) if len(found) > 1]
        if not both:
            return f"{NOT_MEASURED.capitalize()}."
        columns = ("", "routers / servers", "before", "after", "limit", "ratio before", "ratio after")
        out = ["| " + " | ".join([*columns, "before / after", "runs"]) + " |", "| --- " * 9 + "|"]
        for what in COMPARED:
            for (_, routers, servers), found in both:
                was, now = what.of(found[BEFORE_SUFFIX]), what.of(found[AFTER_SUFFIX])
                if not was or not now:
                    continue
                limit = self.given.limits[what.limit] if what.limit else None
                means = [math.fsum(values) / len(values) for values in (was, now)]
                texts = [_ranged(values) for values in (was, now)]
                ratios = [number(mean / limit) if limit else "" for mean in means]
                less = number(means[0] / means[1]) if means[1] else ""
                refs = ", ".join(self.refs[found[end].experiment] for end in (BEFORE_SUFFIX, AFTER_SUFFIX))
                size = f"{number(routers)} / {number(servers)}"
                cells = [what.label, size, *texts, number(limit) if limit else "", *ratios, less, refs]
                out.append("| " + " | ".join(cells) + " |")
        return "\n".join(out)

    def say(self, *wanted: tuple[str, str], unit: str, steady: bool = True) -> str:
        """A figure at the users' size, with its runs."""
        cell = measured(*wanted, steady=steady)(self.fits, self.sizes[-1])
        return NOT_MEASURED if cell is None else f"{cell.text()} {unit} [{self.runs_of([cell])}]"

    def times(self, factor: float, *wanted: tuple[str, str], unit: str) -> str:
        """A factor times a figure at the users' size, written out."""
        cell = measured(*wanted)(self.fits, self.sizes[-1])
        if cell is None:
            return NOT_MEASURED
        ref = self.runs_of([cell])
        return f"{number(factor)} × {cell.text()} [{ref}] = {number(factor * cell.value)} {unit}"

    def played(self, kinds: Iterable[str]) -> str:
        """What was measured in experiments in which something happens, of these kinds."""
        shown = ("served", "late", "failed", "calls.waiting", "calls.failed", "cold.window")
        out = []
        for point in self.points:
            if set(kinds) & set(point.faults()) and not point.experiment.endswith(BEFORE_SUFFIX):
                some = [
                    f"{role} {metric} {number(f.mean)} ({number(f.low)} to {number(f.high)}) {f.unit}"
                    for role, figures in point.roles.items()
                    for metric, f in figures.items()
                    if metric in shown or metric.startswith("force.")
                ]
                where = f"{number(point.axis('routers'))} routers, {number(point.axis('servers'))} servers"
                what = ", ".join(sorted(set(point.faults())))
                few = "†" if sum(not p.broken_off for p in point.plays) < 3 else ""
                said = "; ".join(some) or NOT_MEASURED
                out.append(f"- played ({self.refs[point.experiment]}{few}): {what}; {where}: {said}")
        return "\n".join(out) or f"- played: {NOT_MEASURED}"

    def numbers(self) -> dict[str, str]:
        """What the frame's arithmetic is filled with, at the users' size."""
        size, limits, places = self.sizes[-1], self.given.limits, self.given.places
        call_s = float(self.given.deploy["call_ms"]) / 1000
        purges, gone = limits["purges_rate"], limits["region_cut"]
        changes = limits["changes_day"]
        one, whole = entry_bytes(), list_bytes(size.servers)
        replaced = limits["replaced_day"] + limits["fail_day"]
        restarted = replaced * size.routers / (size.routers + size.servers)
        renewed = 3 * (replaced - restarted)
        cut, missed = size.routers / places["regions"], changes * gone / DAY
        lost = size.routers / places["zones"]
        change = ("module", "cpu.us.change"), ("hollow", "cpu.us.change")
        peer = ("hollow", "cpu.us.peer"), ("module", "cpu.us.peer")
        values = {
            "routers": size.routers,
            "servers": size.servers,
            "zones": places["zones"],
            "regions": places["regions"],
            "machines": limits["control_machines"],
            "call_ms": 1000 * call_s,
            "watch": WATCH_WAIT,
            "margin": ANSWER_MARGIN,
            "faulty": FAULTY,
            "tellers": TELLERS,
            "headers": DATAGRAM,
            "silence": SILENCE,
            "purges_rate": purges,
            "purge_within": limits["purge_within"],
            "purge_servers": purges * size.servers,
            "purge_routers": purges * size.routers,
            "purge_machine": purges * size.routers / limits["control_machines"],
            "control_bytes": limits["control_bytes"],
            "purge_bytes": limits["control_bytes"] / purges,
            "control_share": limits["control_share"],
            "purge_us": limits["control_share"] * 1e6 / purges,
            "all_calls": size.routers * call_s,
            "changes_day": changes,
            "change_within": limits["change_within"],
            "change_rate": changes / DAY,
            "change_pause": DAY / changes,
            "answers_day": size.routers * changes,
            "entry": one,
            "answers_bytes": size.routers * one,
            "fail_day": limits["fail_day"],
            "replaced_day": limits["replaced_day"],
            "both_day": replaced,
            "fail_pause": DAY / replaced,
            "router_restarts": restarted,
            "server_restarts": replaced - restarted,
            "renewed": renewed,
            "renewed_answers": renewed * size.routers,
            "zone_servers": size.servers / places["zones"],
            "zone_routers": lost,
            "zone_calls": lost * call_s,
            "cut_routers": cut,
            "cut_servers": size.servers / places["regions"],
            "cut_zones": places["zones"] / places["regions"],
            "gone": gone,
            "missed": missed,
            "missed_bytes": missed * one,
            "whole": whole,
            "cut_bytes": cut * whole,
            "cut_calls": cut * call_s,
            "whole_seconds": whole / limits["control_bytes"],
            "purges_missed": purges * gone,
        }
        phrases = {
            "purge_cost": self.times(purges / 1e6, *peer, unit="of a core"),
            "change_cost": self.times(changes / DAY / 1e6, *change, unit="of a core"),
            "force_max": self.say(*in_force("max"), unit="s"),
            "renewed_cost": self.times(renewed / 1e6, *change, unit="s a day"),
            "list_cost": self.say(("module", "cpu.us.list"), ("hollow", "cpu.us.list"), unit="microseconds"),
            "storm_rate": self.say(("module", "storm.rate.peer"), unit="datagrams a second", steady=False),
            "storm_bytes": self.say(("module", "storm.bytes.in.peers"), unit="bytes a second", steady=False),
            "played_changes": self.played(["changes", "lists_late", "discovery_down"]),
            "played_failures": self.played(
                ["restart", "router_lost", "servers_change", "servers_lost", "servers_hang", "zone_lost"]
            ),
            "played_region": self.played(["region_cut"]),
        }
        return {name: number(value) for name, value in values.items()} | phrases

    def runs(self) -> str:
        """Which files the figures come from."""
        out = ["| | experiment | points | seeds | commits | machines | files |", "| --- " * 7 + "|"]
        for name, ref in self.refs.items():
            points = [p for p in self.points if p.experiment == name]
            plays = [q for p in points for q in p.plays]
            off = sum(q.broken_off for q in plays)
            commits = sorted({q.commit[:12] + ("+" if q.dirty else "") for q in plays})
            machines = sorted({f"{q.machine.processor}, {q.machine.cores} cores" for q in plays})
            columns = [
                f"{name} ({', '.join(sorted({p.mode for p in points}))})",
                f"{len(points)}{f', {off} plays left out' if off else ''}",
                ", ".join(str(s) for s in sorted({q.seed for q in plays})),
                ", ".join(commits),
                "; ".join(machines),
                ", ".join(sorted({q.file for q in plays})),
            ]
            out.append(f"| {ref} | " + " | ".join(columns) + " |")
        notes = [
            f"- {q.file}: {'; '.join([*q.notes, *(['broken off'] if not q.notes else [])])}"
            for p in self.points
            for q in p.plays
            if q.broken_off
        ]
        out += ["", "Left out:", "", *notes] if notes else []
        return "\n".join(out) if self.refs else "None: nothing has been measured."

    def sizes_text(self) -> str:
        places = self.given.places
        out = ["| size | routers | servers | requests/s at a router | in all |", "| --- " * 5 + "|"]
        for s in self.sizes:
            columns = [s.routers, s.servers, s.rate, s.routers * s.rate]
            out.append(f"| {s.label} | " + " | ".join(number(c) for c in columns) + " |")
        where = ", ".join(f"{number(v)} {k}" for k, v in places.items())
        return "\n".join(out) + f"\n\nThe users' routers and servers stand in {where}."

    def render(self, decision: str | None) -> str:
        """The whole page; `decision` is the section written by hand, word for word."""
        parts = {
            "sizes": self.sizes_text(),
            "passed": self.passed(),
            "may_pass": self.may_pass(),
            "unknown": self.unknown(),
            "tables": "\n\n".join(f"## {role}\n\n{self.table(role)}" for role in self.filled),
            **self.numbers(),
            "compared": self.compared(),
            "decision": decision or "Not written yet.",
            "runs": self.runs(),
        }
        return re.sub(r"\{\{(\w+)\}\}", lambda m: parts[m[1]].rstrip("\n"), FRAME.read_text())
