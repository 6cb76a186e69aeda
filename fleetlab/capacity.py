"""Renders the capacity page: for each role a table of figures at three fleet sizes beside the users' limits.

Formulas and mechanisms are those of brackenwalk's policy, demand, ring, net and `__main__`, whose constants
are imported from there.
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

from brackenwalk.__main__ import RESERVED_DESCRIPTORS
from brackenwalk.demand import HISTORY_REQUESTS
from brackenwalk.membership import VNODES
from brackenwalk.net.discovery import EMPTY_RESPONSE_PAUSE_S, RESPONSE_MARGIN_S, WATCH_WAIT_S
from brackenwalk.net.peers import PEER_BUFFER_BYTES
from brackenwalk.peer_message import DIGEST_BYTES, HEADER, KEY_ENTRY, MAX_KEYS, SERVER_ID
from brackenwalk.peer_updates import INTERVAL_FACTOR, MAX_BYTES_PER_S, MAX_SENDERS, UDP_OVERHEAD_BYTES
from brackenwalk.policy import MAX_FAILURES, SILENT_AIMS
from fleetlab.experiment import Experiment, Fleet
from fleetlab.plan import Addresses, Plan, initial_server_list, server_entry
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

TEMPLATE = Path(__file__).with_name("capacity.md.in")
SIZE_NAMES = ("today", "full", "users")
NOT_MEASURED = "not measured"
DAY_S = 86400.0
EVENT_KINDS = ("list", "change", "peer", "timer", "call", "tell")  # the kinds whose cost is control
MetricCandidates = Sequence[tuple[str, str]]


class Size(msgspec.Struct, frozen=True):
    """A fleet size: numbers of routers and servers, and requests per second at a router."""

    label: str
    routers: float
    servers: float
    rate: float

    def axes(self) -> dict[str, float]:
        """Return the size as coordinates, by the names of axes in `slopes`."""
        rates = dict.fromkeys(RATE_SETTINGS.values(), self.rate)
        return {"routers": self.routers, "servers": self.servers, **rates}


class FleetSpec(msgspec.Struct, frozen=True):
    """The content of `lab/given/size.toml`: fleet sizes, the users' limits and the deployment's."""

    sizes: dict[str, Size]
    places: dict[str, float]
    limits: dict[str, float]
    deploy: dict[str, Any]


@dataclass(frozen=True)
class Comparison:
    """A quantity that the page compares between an earlier decision module and the present one."""

    label: str
    role: str
    metric: str
    limit_name: str = ""  # key of its limit in the file of limits
    factor: float = 1.0  # converts the metric to the limit's unit
    minus_metric: str = ""  # metric that is subtracted
    rate_metric: str = ""  # metric by which it is multiplied
    datagram_rate: str = ""  # metric of the datagrams whose IP and UDP headers are added

    def per_play(self, point: Point) -> list[float]:
        """Return the quantity in each play that has all of its metrics."""
        role_metrics = point.roles.get(self.role, {})
        names = [m for m in (self.metric, self.minus_metric, self.rate_metric, self.datagram_rate) if m]
        if not all(m in role_metrics for m in names):
            return []
        plays = (
            dict(zip(names, values, strict=True))
            for values in zip(*(role_metrics[m].values for m in names), strict=True)
        )
        known = ({m: v for m, v in play.items() if v is not None} for play in plays)
        return [
            self.factor * (v[self.metric] - v.get(self.minus_metric, 0.0)) * v.get(self.rate_metric, 1.0)
            + UDP_OVERHEAD_BYTES * v.get(self.datagram_rate, 0.0)
            for v in known
            if len(v) == len(names)
        ]


COMPARISONS = (
    Comparison("control, quiet, share of a core", "module", "cpu.control", "control_share"),
    Comparison(
        "control, the worst second of a zone's loss, share of a core",
        "module",
        "storm.cpu.control",
        "control_share",
    ),
    Comparison("a change of the list, microseconds", "module", "cpu.us.change"),
    Comparison(
        "a change of the list a second, share of a core", "module", "cpu.us.change", "control_share", 1e-6
    ),
    Comparison("the first list, microseconds", "module", "cpu.us.list"),
    Comparison("a call with no news, microseconds", "module", "cpu.us.call"),
    Comparison("a request that tells peers, microseconds", "module", "cpu.us.tell"),
    Comparison(
        "telling peers, share of a core",
        "module",
        "cpu.us.tell",
        "control_share",
        1e-6,
        "cpu.us.request",
        "rate.tell",
    ),
    Comparison("a datagram heard, microseconds", "module", "cpu.us.peer"),
    Comparison("datagrams heard, quiet, a second", "module", "rate.peer"),
    Comparison("datagrams heard, the worst second of a zone's loss", "module", "storm.rate.peer"),
    Comparison(
        "bytes from peers with headers, quiet, a second",
        "module",
        "bytes.in.peers",
        "control_bytes",
        datagram_rate="rate.peer",
    ),
    Comparison(
        "bytes from peers with headers, the worst second of a zone's loss",
        "module",
        "storm.bytes.in.peers",
        "control_bytes",
        datagram_rate="storm.rate.peer",
    ),
    Comparison("the module's state, MB", "module", "state.mb", "control_mb"),
    Comparison("control with sockets, share of a core", "hollow", "cpu.control", "control_share"),
    Comparison(
        "bytes from peers with headers, over sockets, a second",
        "hollow",
        "bytes.in.peers",
        "control_bytes",
        datagram_rate="rate.peer",
    ),
    Comparison("a change in force at the last router, seconds", "discovery", "force.max", "change_within"),
    Comparison("calls waiting at discovery, most", "discovery", "calls.waiting"),
    Comparison("fullest window of a cold server, part of what makes it fall", "caches", "cold.window"),
    Comparison("requests of clients served, share", "clients", "served"),
)


def read_fleet_spec(path: Path) -> FleetSpec:
    """Read sizes and limits. Raises msgspec.ValidationError, or ValueError if a size is missing."""
    fleet_spec = msgspec.convert(tomllib.loads(path.read_text()), FleetSpec)
    if missing := [s for s in SIZE_NAMES if s not in fleet_spec.sizes]:
        raise ValueError(f"{path}: no size {missing[0]!r}")
    return fleet_spec


@dataclass
class TableCell:
    """A figure at a size with its range and sources."""

    value: float
    low: float
    high: float
    marks: list[str] = field(default_factory=list)
    sources: list[Fit] = field(default_factory=list)
    formula: str = ""
    partial: bool = False

    def text(self) -> str:
        """Return the cell as the page shows it."""
        details = [] if self.formula and not self.sources else [f"{fmt(self.low)} to {fmt(self.high)}"]
        details += [", ".join(self.marks)] if self.marks else []
        few_mark = "†" if any(f.has_few_plays for f in self.sources) else ""
        notes = f" ({'; '.join(details)})" if details else ""
        return f"{'at least ' if self.partial else ''}{fmt(self.value)}{few_mark}{notes}"


CellFunction = Callable[[Sequence[Fit], Size], TableCell | None]


@dataclass
class Row:
    """A row of a table."""

    kind: str  # state, messages, bytes, processor, memory, descriptors, connections, time
    label: str
    mechanism: str
    cell: CellFunction
    limit: float | None = None
    limit_source: str = ""  # empty for a limit of the users
    users_size_only: bool = False  # its inputs are known only for the users' size


def fmt(value: float) -> str:
    """Format a number as the page shows it: to three digits, and from 1000 on to the unit."""
    if not math.isfinite(value):
        return str(value)
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def _measured_cell(fit: Fit, value: Value, scale: float = 1.0) -> TableCell:
    marks = ["measured"] if value.measured else []
    if value.extrapolation > 1:
        marks.append(f"×{fmt(value.extrapolation)} beyond")
    for axis, held in sorted(value.held_axes.items()):
        marks.append(f"at {fmt(held)} {axis if '.' not in axis else 'requests/s'}")
    marks += [f"varied with {a}" for a in fit.collinear_axes]
    if fit.is_understated:
        marks.append(f"a mean over hollow routers of which {fmt(fit.listening)} heard peers")
    marks += [f"while {f}" for f in fit.faults]
    scaled_values = scale * value.value, scale * value.low, scale * value.high
    return TableCell(*scaled_values, marks, [fit], partial=fit.is_understated)


def measured(*candidates: tuple[str, str], steady: bool = True, scale: float = 1.0) -> CellFunction:
    """Return a cell function that takes the first of these (role, metric) pairs with a fit for the size."""

    def cell(fits: Sequence[Fit], size: Size) -> TableCell | None:
        found = choose_fit(fits, candidates, size.axes(), steady)
        return None if found is None else _measured_cell(*found, scale)

    return cell


def scaled(of: CellFunction, by: Callable[[Size], float], text: str) -> CellFunction:
    """Return a cell function that multiplies a figure by a function of the size."""

    def cell(fits: Sequence[Fit], size: Size) -> TableCell | None:
        found = of(fits, size)
        if found is None:
            return None
        factor = by(size)
        scaled_values = factor * found.value, factor * found.low, factor * found.high
        return TableCell(*scaled_values, found.marks, found.sources, text, found.partial)

    return cell


def sum_of(text: str, parts: Sequence[CellFunction]) -> CellFunction:
    """Return a cell function that adds figures; the sum is a lower bound if one was not measured."""

    def cell(fits: Sequence[Fit], size: Size) -> TableCell | None:
        cells = [part(fits, size) for part in parts]
        return _sum([c for c in cells if c is not None], len(parts), text)

    return cell


def _sum(cells: Sequence[TableCell], expected: int, formula: str) -> TableCell | None:
    if not cells:
        return None
    marks = sorted({m for c in cells for m in c.marks if m != "measured"})
    if all("measured" in c.marks for c in cells):
        marks.insert(0, "measured")
    totals = (
        math.fsum(c.value for c in cells),
        math.fsum(c.low for c in cells),
        math.fsum(c.high for c in cells),
    )
    return TableCell(
        *totals,
        marks,
        [f for c in cells for f in c.sources],
        formula,
        len(cells) < expected or any(c.partial for c in cells),
    )


def control_share(fits: Sequence[Fit], size: Size) -> TableCell | None:
    """Return the module's share of a core for control: the sum over kinds of event of rate times cost."""
    parts = []
    for kind in EVENT_KINDS:
        rate = measured(("module", f"rate.{kind}"), ("hollow", f"rate.{kind}"))(fits, size)
        cost = measured(("module", f"cpu.us.{kind}"), ("hollow", f"cpu.us.{kind}"))(fits, size)
        if rate is not None and cost is not None:
            if kind == "tell" and (plain := measured(("module", "cpu.us.request"))(fits, size)) is not None:
                # the cost of `tell` includes the request during which the message was sent
                request_cost = plain.value
                bounds = [max(0.0, end - request_cost) for end in (cost.value, cost.low, cost.high)]
                cost = TableCell(bounds[0], bounds[1], bounds[2], cost.marks, cost.sources)
            bounds = [max(0.0, rate.low) * max(0.0, cost.low), rate.high * cost.high]
            marks = sorted({*rate.marks, *cost.marks} - {"measured"})
            product = TableCell(
                rate.value * cost.value / 1e6,
                bounds[0] / 1e6,
                bounds[1] / 1e6,
                marks,
                rate.sources + cost.sources,
            )
            parts.append(product)
    return _sum(
        parts, len(EVENT_KINDS), "the sum of rate.KIND × cpu.us.KIND, of tell what is more than a request"
    )


def formula(text: str, of: Callable[[Size], float]) -> CellFunction:
    """Return a cell function for a figure that follows from code or protocol, without a measurement."""

    def cell(fits: Sequence[Fit], size: Size) -> TableCell | None:
        value = of(size)
        return TableCell(value, value, value, formula=text)

    return cell


def propagation_metrics(statistic: str) -> list[tuple[str, str]]:
    """Return the roles and metrics that may hold the time until a change of the list is in force."""
    return [(role, f"force.{statistic}") for role in ("hollow", "real", "discovery", "lab")]


def not_measured(fits: Sequence[Fit], size: Size) -> TableCell | None:
    """Return no cell: there is neither a measurement nor a formula."""
    return None


def list_bytes(servers: float) -> int:
    """Return the size in bytes of the whole list as the stand-in for discovery sends it."""
    experiment = Experiment(name="size", mode="model", fleet=Fleet(servers=int(servers)))
    return len(msgspec.json.encode(initial_server_list(Plan("discovery", experiment, Addresses(1, 1), 1))))


def entry_bytes() -> int:
    """Return the size in bytes of one entry of the list."""
    experiment = Experiment(name="size", mode="model", fleet=Fleet(servers=1))
    return len(msgspec.json.encode(server_entry(Plan("discovery", experiment, Addresses(1, 1), 1), 0)))


def message_bytes(size: Size, aim: float) -> float:
    """Return the most bytes of a message to peers without server names: a line per request since the last."""
    return DIGEST_BYTES + HEADER.size + KEY_ENTRY.size * min(MAX_KEYS, INTERVAL_FACTOR * aim * size.rate)


def key_bytes_bound(size: Size, aim: float) -> float:
    """Return the most bytes per second about keys that a router receives, with IP and UDP headers.

    The bound follows from the limits that `PeerUpdates` keeps.
    """
    message = UDP_OVERHEAD_BYTES + message_bytes(size, aim)
    part = min(
        1.0, MAX_SENDERS / size.routers, MAX_BYTES_PER_S * INTERVAL_FACTOR * aim / (size.routers * message)
    )
    return part * (size.routers - 1) / (INTERVAL_FACTOR * aim) * message


def tables(fleet_spec: FleetSpec) -> dict[str, list[Row]]:
    """Return the rows of each role's table."""
    limits, deploy = fleet_spec.limits, fleet_spec.deploy
    aim = float(deploy["shortest_aim"])
    usable_sockets = int(deploy["sockets"]) - RESERVED_DESCRIPTORS
    watch = f"watch of {fmt(WATCH_WAIT_S)} s by each router at discovery"
    hot_keys = f"hot keys told by {MAX_SENDERS} tellers, within {fmt(MAX_BYTES_PER_S)} bytes a second"
    unhealthy = "ailing servers, told by routers to which it is news"
    deltas = "list deltas; `Ring.apply_changes` takes in what moved"
    missing = "missing"
    peers_rate = ("hollow", "rate.peer"), ("module", "rate.peer"), ("real", "rate.peer")
    peers_in = measured(("network", "bytes.in.peers"), ("hollow", "bytes.in.peers"))
    at_discovery = "one discovery for all routers, calls one after another"
    cores = float(deploy["server_cores"])
    min_connections, max_connections = (cores * float(c) for c in deploy["connections_core"])
    machines = limits["control_machines"]
    limit_bytes = limits["control_bytes"]

    message_text = (
        f"({DIGEST_BYTES + HEADER.size} + {KEY_ENTRY.size} × "
        f"min({MAX_KEYS}, requests between two messages)) bytes"
    )

    router = [
        Row(
            "state",
            "the module's state, MB",
            f"`Ring` with {VNODES} points a server, `Demand` with {fmt(HISTORY_REQUESTS)} requests a server",
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
        Row("messages", "datagrams from peers, a second", f"{hot_keys}; {unhealthy}", measured(*peers_rate)),
        Row("messages", "purges heard, a second", missing, not_measured, limits["purges_rate"]),
        Row(
            "messages",
            "datagrams from peers while a server ails, a second",
            unhealthy,
            measured(("module", "storm.rate.peer"), ("hollow", "storm.rate.peer"), steady=False),
        ),
        Row(
            "bytes",
            "control, a second: peers and discovery, in and out",
            f"{watch}; {deltas}; {hot_keys}",
            sum_of(
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
            f"{watch}; {deltas}; {hot_keys}",
            sum_of(
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
            hot_keys,
            measured(("module", "bytes.in.peers")),
            limit_bytes,
        ),
        Row(
            "bytes",
            "from peers, at most, a second",
            hot_keys,
            formula(
                f"(routers − 1) / ({INTERVAL_FACTOR:g} × aim of {aim:g} s) × "
                f"({UDP_OVERHEAD_BYTES} + message) × the least of 1, "
                f"{MAX_SENDERS} / routers and {fmt(MAX_BYTES_PER_S)} × {INTERVAL_FACTOR:g} × aim / "
                f"(routers × ({UDP_OVERHEAD_BYTES} + message)); message: {message_text}",
                lambda s: key_bytes_bound(s, aim),
            ),
            limit_bytes,
        ),
        Row(
            "bytes",
            "from peers while all routers find a server ailing at once and none hears another, a second",
            unhealthy,
            formula(
                f"(routers − 1) / ({INTERVAL_FACTOR:g} × aim of {aim:g} s) × "
                f"({UDP_OVERHEAD_BYTES} + {DIGEST_BYTES + HEADER.size} + {SERVER_ID.size}) "
                f"+ what is heard of keys",
                lambda s: (
                    (s.routers - 1)
                    / (INTERVAL_FACTOR * aim)
                    * (UDP_OVERHEAD_BYTES + DIGEST_BYTES + HEADER.size + SERVER_ID.size)
                    + key_bytes_bound(s, aim)
                ),
            ),
            limit_bytes,
        ),
        Row(
            "bytes",
            "from peers while a server ails, a second",
            unhealthy,
            measured(("module", "storm.bytes.in.peers"), ("hollow", "storm.bytes.in.peers"), steady=False),
            limit_bytes,
        ),
        Row(
            "processor",
            "control, share of a core, with sockets",
            f"{watch}; {deltas}; {hot_keys}",
            measured(("full", "cpu.control"), ("hollow", "cpu.control")),
            limits["control_share"],
        ),
        Row(
            "processor",
            "control as the module alone has it, share of a core",
            f"{deltas}; {hot_keys}; timers",
            measured(("module", "cpu.control")),
            limits["control_share"],
        ),
        Row(
            "processor",
            "control in the worst second of a zone's loss, module alone, share of a core",
            unhealthy,
            measured(("module", "storm.cpu.control"), steady=False),
            limits["control_share"],
        ),
        Row(
            "processor",
            "control, a sum over kinds, module alone, share of a core",
            f"{deltas}; {hot_keys}; timers",
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
                ("peer", "a datagram heard", "`PeerUpdates.receive`"),
                ("tell", "a message to peers", "`PeerUpdates.next_message`, `Demand.split_hot_keys`"),
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
            "`PeerSocket.connection_made`",
            formula(
                f"{PEER_BUFFER_BYTES} bytes × (routers − 1)", lambda s: PEER_BUFFER_BYTES * (s.routers - 1)
            ),
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
                f"servers; limit ({deploy['sockets']} − {RESERVED_DESCRIPTORS}) × 3 // 8 = "
                f"{usable_sockets * 3 // 8}",
                lambda s: s.servers,
            ),
            float(usable_sockets * 3 // 8),
            "deployment",
        ),
    ]
    cache = [
        Row(
            "state",
            "objects",
            "the servers' own",
            formula(f"{fmt(limits['objects'])} / servers", lambda s: limits["objects"] / s.servers),
            users_size_only=True,
        ),
        Row(
            "state",
            "fullest window of a cold one, part of what makes it fall",
            "`TrafficShares.warm_up_share`: a warm-up by the clock",
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
        Row("messages", "purges, a second", missing, not_measured),
        Row("bytes", "control", missing, not_measured),
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
            min_connections,
            "deployment",
        ),
        Row(
            "connections",
            "from routers, one each",
            "`Pool`",
            formula(
                f"routers; a server holds {fmt(min_connections)} to {fmt(max_connections)}",
                lambda s: s.routers,
            ),
            min_connections,
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
                f"routers / ({fmt(WATCH_WAIT_S)} + {EMPTY_RESPONSE_PAUSE_S:g} s)",
                lambda s: s.routers / (WATCH_WAIT_S + EMPTY_RESPONSE_PAUSE_S),
            ),
        ),
        Row(
            "messages",
            "calls failed, a second",
            "asked again once a round, in turn: `DiscoveryCalls`",
            measured(("discovery", "calls.failed")),
        ),
        Row(
            "messages",
            "calls waiting, most",
            "`DiscoveryCalls.delay_after`: each router's call in its turn",
            measured(("discovery", "calls.waiting")),
        ),
        Row(
            "messages",
            "service time if all begin a watch at once, seconds",
            "`DiscoveryCalls.delay_after`",
            formula(
                f"routers × {fmt(float(deploy['call_ms']))} ms",
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
        Row("connections", "measured", watch, not_measured),
        Row("connections", "a watch of each router", watch, formula("routers", lambda s: s.routers)),
    ]
    control = [
        Row("state", "of each", missing, not_measured),
        Row("messages", "purges sent, a second", missing, not_measured),
        Row("bytes", "of each, a second", missing, not_measured),
        Row("processor", "of each", missing, not_measured),
        Row("memory", "of each", missing, not_measured),
        Row("descriptors", "of each", missing, not_measured),
        Row(
            "connections",
            "routers for each (on paper)",
            missing,
            formula(f"routers / {fmt(machines)}", lambda s: s.routers / machines),
        ),
        Row("machines", "all control on one discovery today, others", missing, not_measured, machines),
    ]
    origin = [
        Row("state", "objects", "the origin's own", not_measured),
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
        Row("connections", "measured", "`Pool`", not_measured),
        Row(
            "connections",
            "at most",
            "`Pool` in `__main__.serve`",
            formula(
                f"routers × ({deploy['sockets']} − {RESERVED_DESCRIPTORS}) // 8 = "
                f"routers × {usable_sockets // 8}",
                lambda s: s.routers * (usable_sockets // 8),
            ),
        ),
    ]

    def propagation_time(statistic: str) -> CellFunction:
        return measured(*propagation_metrics(statistic))

    fleet = [
        Row(
            "time", "a change in force, half of them, seconds", f"{watch}; {deltas}", propagation_time("p50")
        ),
        Row(
            "time",
            "a change in force, 99 of 100 of them, seconds",
            f"{watch}; {deltas}",
            propagation_time("p99"),
            limits["change_within"],
        ),
        Row(
            "time",
            "a change in force at the last router, seconds",
            f"{watch}; {deltas}",
            propagation_time("max"),
            limits["change_within"],
        ),
        Row("time", "a purge done everywhere, seconds", missing, not_measured, limits["purge_within"]),
        Row("messages", "purges, a second", missing, not_measured, limits["purges_rate"]),
        Row(
            "messages",
            "requests, a second",
            "routers",
            formula("routers × requests/s", lambda s: s.routers * s.rate),
        ),
        Row(
            "bytes",
            f"a request's, for {fmt(limits['bits'] / 1e12)} Tbit/s in all",
            "a value passes through a router whole",
            formula(
                f"{fmt(limits['bits'] / 8e12)}e12 / (routers × requests/s), against the longest value",
                lambda s: limits["bits"] / 8 / (s.routers * s.rate),
            ),
            float(deploy["value_bytes"]),
            "protocol",
            users_size_only=True,
        ),
    ]
    return {
        "The fleet as a whole": fleet,
        "Router": router,
        "Cache server, as the routers see it": cache,
        "Discovery": discovery,
        f"The {fmt(machines)} control machines": control,
        "Origin": origin,
    }


def _format_mean_and_range(values: Sequence[float]) -> str:
    """Format the mean of plays with their range."""
    few_mark = "" if len(values) >= MIN_PLAYS else "†"
    mean = math.fsum(values) / len(values)
    return f"{fmt(mean)}{few_mark} ({fmt(min(values))} to {fmt(max(values))})"


def slope_text(cells: Iterable[TableCell | None]) -> str:
    """Return the fits' equations, or the formula, of the last size that has a figure."""
    cell = next((c for c in reversed(list(cells)) if c is not None), None)
    if cell is None:
        return ""
    texts = [f"formula: {cell.formula}"] if cell.formula else []
    for fit in cell.sources:
        terms = [fmt(fit.intercept)]
        for t in fit.terms:
            error = "no error" if t.error is None else f"± {fmt(t.error)}"
            plays = f"plays {fmt(t.low)} to {fmt(t.high)}"
            terms.append(f"{fmt(t.slope)} × {t.axis} ({error}; {plays})")
        equation = " + ".join(terms) if fit.terms else "one size, no slope"
        texts.append(f"{fit.role} {fit.metric}: {equation}")
    return "; ".join(texts)


class Page:
    """The page's tables and texts, computed from measured points and their fits."""

    def __init__(self, points: Sequence[Point], fits: Sequence[Fit], fleet_spec: FleetSpec) -> None:
        self.points, self.fits, self.fleet_spec = points, fits, fleet_spec
        self.sizes = [fleet_spec.sizes[s] for s in SIZE_NAMES]
        names = sorted({p.experiment for p in points})
        self.run_refs = {name: f"R{i}" for i, name in enumerate(names, 1)}
        self.table_rows = {
            role: [(row, [self._row_cell(row, size) for size in self.sizes]) for row in rows]
            for role, rows in tables(fleet_spec).items()
        }

    def _row_cell(self, row: Row, size: Size) -> TableCell | None:
        unknown = row.users_size_only and size is not self.sizes[-1]
        return None if unknown else row.cell(self.fits, size)

    def runs_of(self, cells: Iterable[TableCell | None]) -> str:
        """Return references to the experiments from which cells were computed."""
        names = {n for c in cells if c is not None for f in c.sources for n in f.experiment.split("+")}
        return ", ".join(sorted((self.run_refs.get(n, n) for n in names), key=lambda r: (len(r), r)))

    def table(self, role: str) -> str:
        """Return a role's table."""
        labels = " | ".join(s.label for s in self.sizes)
        lines: list[str] = [
            f"| | | {labels} | limit | ratio | slope or formula | runs | mechanism |",
            "| --- " * 10 + "|",
        ]
        for row, cells in self.table_rows[role]:
            none = "" if row.users_size_only else NOT_MEASURED
            texts = " | ".join(none if c is None else c.text() for c in cells)
            limit = (
                ""
                if row.limit is None
                else fmt(row.limit) + (f" ({row.limit_source})" if row.limit_source else "")
            )
            users_cell = cells[-1]
            ratio = fmt(users_cell.value / row.limit) if users_cell is not None and row.limit else ""
            ratio = ratio or (NOT_MEASURED if row.limit else "")
            lines.append(
                f"| {row.kind} | {row.label} | {texts} | {limit} | {ratio} | {slope_text(cells)} | "
                f"{self.runs_of(cells)} | {row.mechanism} |"
            )
        return "\n".join(lines)

    def rows_by_ratio(self) -> list[tuple[float, str, Row, list[TableCell | None]]]:
        """Return all rows with a limit and a figure at the users' size, the highest ratio first."""
        found = [
            (cells[-1].value / row.limit, role, row, cells)
            for role, rows in self.table_rows.items()
            for row, cells in rows
            if row.limit and cells[-1] is not None
        ]
        return sorted(found, key=lambda f: (-f[0], f[1], f[2].label))

    def exceeded(self) -> str:
        """Return the list of rows that exceed their limit."""
        lines: list[str] = []
        for ratio, role, row, cells in self.rows_by_ratio():
            if ratio > 1 and row.limit:
                others = ", ".join(
                    f"{fmt(c.value / row.limit)} at {s.label}"
                    for s, c in zip(self.sizes[:-1], cells[:-1], strict=True)
                    if c is not None
                )
                users_cell = cells[-1]
                text = "" if users_cell is None else users_cell.text()
                limit_text = f", {row.limit_source}" if row.limit_source else ""
                runs = (
                    "a formula" if users_cell is not None and not users_cell.sources else self.runs_of(cells)
                )
                lines.append(
                    f"{len(lines) + 1}. **{fmt(ratio)}** {role}: {row.kind}: {row.label}: {text} against "
                    f"{fmt(row.limit)}{limit_text}{f' ({others})' if others else ''}; {runs}; {row.mechanism}"
                )
        return "\n".join(lines) or "None of those with a figure."

    def may_exceed(self) -> str:
        """Return the list of rows within their limit whose range extends beyond it."""
        entries = [
            f"- {role}: {row.kind}: {row.label}: {cells[-1].text()} against {fmt(row.limit)}"
            for ratio, role, row, cells in self.rows_by_ratio()
            if ratio <= 1 and row.limit and cells[-1] is not None and cells[-1].high > row.limit
        ]
        return "\n".join(entries) or "- none"

    def without_figure(self) -> str:
        """Return the list of rows that have a limit but no figure."""
        entries = [
            f"- {role}: {row.kind}: {row.label}: limit {fmt(row.limit)}"
            + ("; mechanism missing" if row.mechanism == "missing" else "")
            for role, rows in self.table_rows.items()
            for row, cells in rows
            if row.limit and cells[-1] is None
        ]
        return "\n".join(entries) or "- none"

    def comparison_table(self) -> str:
        """Return a table of `COMPARISONS` between an earlier decision module and the present one.

        It compares experiments NAME_before and NAME_after at each size that both have.
        """
        by_size: dict[tuple[str, float, float], dict[str, Point]] = {}
        for point in self.points:
            for suffix in (BEFORE_SUFFIX, AFTER_SUFFIX):
                if point.experiment.endswith(suffix):
                    stem = point.experiment.removesuffix(suffix)
                    size_key = (stem, point.axis("routers"), point.axis("servers"))
                    by_size.setdefault(size_key, {})[suffix] = point
        pairs = [(size_key, found) for size_key, found in sorted(by_size.items()) if len(found) > 1]
        if not pairs:
            return f"{NOT_MEASURED.capitalize()}."
        columns = ("", "routers / servers", "before", "after", "limit", "ratio before", "ratio after")
        lines = ["| " + " | ".join([*columns, "before / after", "runs"]) + " |", "| --- " * 9 + "|"]
        for comparison in COMPARISONS:
            for (_, routers, servers), found in pairs:
                before, after = (
                    comparison.per_play(found[BEFORE_SUFFIX]),
                    comparison.per_play(found[AFTER_SUFFIX]),
                )
                if not before or not after:
                    continue
                limit = self.fleet_spec.limits[comparison.limit_name] if comparison.limit_name else None
                means = [math.fsum(values) / len(values) for values in (before, after)]
                texts = [_format_mean_and_range(values) for values in (before, after)]
                ratios = [fmt(mean / limit) if limit else "" for mean in means]
                improvement = fmt(means[0] / means[1]) if means[1] else ""
                refs = ", ".join(
                    self.run_refs[found[suffix].experiment] for suffix in (BEFORE_SUFFIX, AFTER_SUFFIX)
                )
                size = f"{fmt(routers)} / {fmt(servers)}"
                cells = [
                    comparison.label,
                    size,
                    *texts,
                    fmt(limit) if limit else "",
                    *ratios,
                    improvement,
                    refs,
                ]
                lines.append("| " + " | ".join(cells) + " |")
        return "\n".join(lines)

    def figure_text(self, *candidates: tuple[str, str], unit: str, steady: bool = True) -> str:
        """Return a figure at the users' size with its unit and runs."""
        cell = measured(*candidates, steady=steady)(self.fits, self.sizes[-1])
        return NOT_MEASURED if cell is None else f"{cell.text()} {unit} [{self.runs_of([cell])}]"

    def product_text(self, factor: float, *candidates: tuple[str, str], unit: str) -> str:
        """Return the product of a factor and a figure at the users' size, written out."""
        cell = measured(*candidates)(self.fits, self.sizes[-1])
        if cell is None:
            return NOT_MEASURED
        ref = self.runs_of([cell])
        return f"{fmt(factor)} × {cell.text()} [{ref}] = {fmt(factor * cell.value)} {unit}"

    def fault_results(self, kinds: Iterable[str]) -> str:
        """Return a list of the results of experiments with faults of these kinds."""
        shown = ("served", "late", "failed", "calls.waiting", "calls.failed", "cold.window")
        lines = []
        for point in self.points:
            if set(kinds) & set(point.faults()) and not point.experiment.endswith(BEFORE_SUFFIX):
                entries = [
                    f"{role} {metric} {fmt(f.mean)} ({fmt(f.low)} to {fmt(f.high)}) {f.unit}"
                    for role, figures in point.roles.items()
                    for metric, f in figures.items()
                    if metric in shown or metric.startswith("force.")
                ]
                location = f"{fmt(point.axis('routers'))} routers, {fmt(point.axis('servers'))} servers"
                fault_kinds = ", ".join(sorted(set(point.faults())))
                few_mark = "†" if sum(not p.broken_off for p in point.plays) < 3 else ""
                results = "; ".join(entries) or NOT_MEASURED
                lines.append(
                    f"- played ({self.run_refs[point.experiment]}{few_mark}): {fault_kinds}; "
                    f"{location}: {results}"
                )
        return "\n".join(lines) or f"- played: {NOT_MEASURED}"

    def placeholder_values(self) -> dict[str, str]:
        """Return the values for the template's text, computed for the users' size."""
        size, limits, places = self.sizes[-1], self.fleet_spec.limits, self.fleet_spec.places
        call_s = float(self.fleet_spec.deploy["call_ms"]) / 1000
        purge_rate, outage_s = limits["purges_rate"], limits["region_cut"]
        changes = limits["changes_day"]
        entry, full_list = entry_bytes(), list_bytes(size.servers)
        replaced_per_day = limits["replaced_day"] + limits["fail_day"]
        restarted_routers = replaced_per_day * size.routers / (size.routers + size.servers)
        replacement_changes = 3 * (replaced_per_day - restarted_routers)
        cut_off_routers, missed_changes = size.routers / places["regions"], changes * outage_s / DAY_S
        lost_routers = size.routers / places["zones"]
        change_cost = ("module", "cpu.us.change"), ("hollow", "cpu.us.change")
        peer_cost = ("hollow", "cpu.us.peer"), ("module", "cpu.us.peer")
        values = {
            "routers": size.routers,
            "servers": size.servers,
            "zones": places["zones"],
            "regions": places["regions"],
            "machines": limits["control_machines"],
            "call_ms": 1000 * call_s,
            "watch": WATCH_WAIT_S,
            "margin": RESPONSE_MARGIN_S,
            "faulty": MAX_FAILURES,
            "tellers": MAX_SENDERS,
            "headers": UDP_OVERHEAD_BYTES,
            "silence": SILENT_AIMS,
            "purges_rate": purge_rate,
            "purge_within": limits["purge_within"],
            "purge_servers": purge_rate * size.servers,
            "purge_routers": purge_rate * size.routers,
            "purge_machine": purge_rate * size.routers / limits["control_machines"],
            "control_bytes": limits["control_bytes"],
            "purge_bytes": limits["control_bytes"] / purge_rate,
            "control_share": limits["control_share"],
            "purge_us": limits["control_share"] * 1e6 / purge_rate,
            "all_calls": size.routers * call_s,
            "changes_day": changes,
            "change_within": limits["change_within"],
            "change_rate": changes / DAY_S,
            "change_pause": DAY_S / changes,
            "answers_day": size.routers * changes,
            "entry": entry,
            "answers_bytes": size.routers * entry,
            "fail_day": limits["fail_day"],
            "replaced_day": limits["replaced_day"],
            "both_day": replaced_per_day,
            "fail_pause": DAY_S / replaced_per_day,
            "router_restarts": restarted_routers,
            "server_restarts": replaced_per_day - restarted_routers,
            "renewed": replacement_changes,
            "renewed_answers": replacement_changes * size.routers,
            "zone_servers": size.servers / places["zones"],
            "zone_routers": lost_routers,
            "zone_calls": lost_routers * call_s,
            "cut_routers": cut_off_routers,
            "cut_servers": size.servers / places["regions"],
            "cut_zones": places["zones"] / places["regions"],
            "gone": outage_s,
            "missed": missed_changes,
            "missed_bytes": missed_changes * entry,
            "whole": full_list,
            "cut_bytes": cut_off_routers * full_list,
            "cut_calls": cut_off_routers * call_s,
            "whole_seconds": full_list / limits["control_bytes"],
            "purges_missed": purge_rate * outage_s,
        }
        phrases = {
            "purge_cost": self.product_text(purge_rate / 1e6, *peer_cost, unit="of a core"),
            "change_cost": self.product_text(changes / DAY_S / 1e6, *change_cost, unit="of a core"),
            "force_max": self.figure_text(*propagation_metrics("max"), unit="s"),
            "renewed_cost": self.product_text(replacement_changes / 1e6, *change_cost, unit="s a day"),
            "list_cost": self.figure_text(
                ("module", "cpu.us.list"), ("hollow", "cpu.us.list"), unit="microseconds"
            ),
            "storm_rate": self.figure_text(
                ("module", "storm.rate.peer"), unit="datagrams a second", steady=False
            ),
            "storm_bytes": self.figure_text(
                ("module", "storm.bytes.in.peers"), unit="bytes a second", steady=False
            ),
            "played_changes": self.fault_results(["changes", "lists_late", "discovery_down"]),
            "played_failures": self.fault_results(
                ["restart", "router_lost", "servers_change", "servers_lost", "servers_hang", "zone_lost"]
            ),
            "played_region": self.fault_results(["region_cut"]),
        }
        return {name: fmt(value) for name, value in values.items()} | phrases

    def runs(self) -> str:
        """Return the table of experiments and result files, and the list of plays that were left out."""
        lines = ["| | experiment | points | seeds | commits | machines | files |", "| --- " * 7 + "|"]
        for name, ref in self.run_refs.items():
            points = [p for p in self.points if p.experiment == name]
            plays = [q for p in points for q in p.plays]
            left_out = sum(q.broken_off for q in plays)
            commits = sorted({q.commit[:12] + ("+" if q.dirty else "") for q in plays})
            machines = sorted({f"{q.machine.processor}, {q.machine.cores} cores" for q in plays})
            columns = [
                f"{name} ({', '.join(sorted({p.mode for p in points}))})",
                f"{len(points)}{f', {left_out} plays left out' if left_out else ''}",
                ", ".join(str(s) for s in sorted({q.seed for q in plays})),
                ", ".join(commits),
                "; ".join(machines),
                ", ".join(sorted({q.file for q in plays})),
            ]
            lines.append(f"| {ref} | " + " | ".join(columns) + " |")
        notes = [
            f"- {q.file}: {'; '.join([*q.notes, *(['broken off'] if not q.notes else [])])}"
            for p in self.points
            for q in p.plays
            if q.broken_off
        ]
        lines += ["", "Left out:", "", *notes] if notes else []
        return "\n".join(lines) if self.run_refs else "None: nothing has been measured."

    def sizes_text(self) -> str:
        """Return the table of fleet sizes."""
        places = self.fleet_spec.places
        lines = ["| size | routers | servers | requests/s at a router | in all |", "| --- " * 5 + "|"]
        for s in self.sizes:
            columns = [s.routers, s.servers, s.rate, s.routers * s.rate]
            lines.append(f"| {s.label} | " + " | ".join(fmt(c) for c in columns) + " |")
        location = ", ".join(f"{fmt(v)} {k}" for k, v in places.items())
        return "\n".join(lines) + f"\n\nThe users' routers and servers stand in {location}."

    def render(self, decision: str | None) -> str:
        """Return the whole page; `decision` is its hand-written section, inserted verbatim."""
        parts = {
            "sizes": self.sizes_text(),
            "passed": self.exceeded(),
            "may_pass": self.may_exceed(),
            "unknown": self.without_figure(),
            "tables": "\n\n".join(f"## {role}\n\n{self.table(role)}" for role in self.table_rows),
            **self.placeholder_values(),
            "compared": self.comparison_table(),
            "decision": decision or "Not written yet.",
            "runs": self.runs(),
        }
        return re.sub(r"\{\{(\w+)\}\}", lambda m: parts[m[1]].rstrip("\n"), TEMPLATE.read_text())
