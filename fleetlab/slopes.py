"""What many plays say together: points, lines through them, and what a line says of another size.

A point is a set of settings; plays of it differ by their seed. A line goes through all plays of an
experiment by least squares, with a term for each setting that was varied by itself; `routers` stands for
`fleet.real` + `fleet.hollow` and `servers` for `fleet.servers`, all else has the experiment file's names.
Settings that could not be told apart, as they varied together, share the first one's term.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from fleetlab.results import Machine, Result

# of the planned requests, and seconds that an event loop was late: past these a process of hollow routers was
# too full, and its figures say nothing
LEAST_ASKED, MOST_LATE = 0.9, 1.0
LEAST_PLAYS = 3  # of a point; with fewer it is marked
ROUNDING = 1e-9  # of the greatest value: less is not of the plays but of the arithmetic
ERRORS = 2.0  # standard errors that a range holds on either side: 19 of 20, if errors are normal
# how long, by how many processes and of how many listeners was measured says nothing of a fleet's size
NO_AXIS = (
    *("seconds", "settle", "fleet.processes", "fleet.listening", "fleet.full"),
    *("fleet.real", "fleet.hollow", "fleet.servers"),  # routers and servers stand for these
)
NOT_KEPT = ("name", "mode", "seed", "sweep", "memory_share", "most_processes")
RATES = {  # what a role's routers are asked
    "real": "requests.rate",
    "hollow": "requests.hollow_rate",
    "full": "requests.full_rate",
    "module": "requests.full_rate",
}
DAILY = {"changes", "servers_change"}  # what happens on any day
BEFORE, AFTER = (
    "_before",
    "_after",
)  # end the names of an experiment's plays with an earlier module and this one
# what hollow routers that do not hear peers lower, in the mean of all
HEARD = ("cpu.control", "cpu.share", "rate.peer", "bytes.in.peers")

Setting = float | str | bool


class Play(msgspec.Struct, frozen=True):
    """Where one play of a point came from."""

    file: str
    seed: int
    commit: str
    dirty: bool
    command: str
    began: str
    machine: Machine
    notes: list[str] = []
    broken_off: bool = False  # or its processes were too full: no figure is taken from it


class Figure(msgspec.Struct):
    """A metric at a point: a value for each play, in the plays' order; null where a play has none."""

    unit: str
    mean: float
    low: float
    high: float
    values: list[float | None]


class Point(msgspec.Struct):
    """All plays of one set of settings."""

    experiment: str
    mode: str
    settings: dict[str, Setting]
    plays: list[Play]
    roles: dict[str, dict[str, Figure]] = {}

    def axis(self, name: str) -> float:
        """Where the point lies on an axis; 0 where it is no number or not there."""
        if name == "routers":
            return self.axis("fleet.real") + self.axis("fleet.hollow")
        value = self.settings.get("fleet.servers" if name == "servers" else name, 0.0)
        return 0.0 if isinstance(value, str) else float(value)

    def faults(self) -> list[str]:
        """The kinds of what happens in it."""
        return [str(v) for k, v in self.settings.items() if re.fullmatch(r"faults\.\d+\.kind", k)]


class Measured(msgspec.Struct):
    """The summary that is kept: enough to make every table again."""

    points: list[Point]


class Term(msgspec.Struct):
    """What one more on an axis costs."""

    axis: str
    slope: float
    error: float | None  # standard error from the residuals; null where there are no more plays than terms
    low: float  # least and greatest slope through one play of each point
    high: float
    least: float  # the measured range of the axis
    most: float


class Value(msgspec.Struct):
    """A figure at a size."""

    value: float
    low: float
    high: float
    measured: bool = False  # a point lies there; else the line says so
    beyond: float = 1.0  # times past the end of the measured range, of the axis where that is most
    held: dict[str, float] = {}  # what was not varied, and differs from the size


class Fit(msgspec.Struct):
    """A line through all plays of a metric."""

    experiment: str
    mode: str
    role: str
    metric: str
    unit: str
    intercept: float
    terms: list[Term]
    together: list[str]  # axes that varied, with no term of their own
    base: dict[str, float]  # the commonest value of each axis
    at_points: list[tuple[dict[str, float], Value, int]]  # of each point: axes, mean and range, plays
    covariance: list[list[float]] | None
    singles: list[list[float]]  # intercept and slopes of lines through one play of each point
    files: list[str]
    faults: list[str]
    listening: float

    @property
    def deaf(self) -> bool:
        """Whether it is a mean over routers of which some did not hear peers: less than of those that did."""
        return self.role in ("hollow", "full") and self.listening < 1 and self.metric in HEARD

    @property
    def few(self) -> bool:
        """Whether a point has too few plays."""
        return any(plays < LEAST_PLAYS for _, _, plays in self.at_points)

    def at(self, size: dict[str, float]) -> Value | None:
        """The figure at a size, given by axes; None where neither a point nor a line reaches it.

        The range is the standard error's, `ERRORS` on either side, widened to what single plays say. A line
        that falls below 0, where nothing measured did, is no line there: None as well.
        """
        near = ("routers", "servers")
        rate = RATES.get(self.role)
        terms = {t.axis for t in self.terms}
        looked = [a for a in (*near, rate) if a and a in size]
        for place, value, _ in self.at_points:
            others = all(place[a] == self.base[a] for a in place if a not in looked)
            if others and all(place[a] == size[a] for a in near if a in size):
                held = {a: place[a] for a in looked if place[a] != size[a]}
                if not (held.keys() & terms):
                    return Value(value.value, value.low, value.high, True, 1.0, held)
        if not terms & set(near):
            return None
        x = [1.0, *(size.get(t.axis, self.base[t.axis]) for t in self.terms)]
        value_at = float(np.dot([self.intercept, *(t.slope for t in self.terms)], x))
        floor = 0.0 if all(value.low >= 0 for _, value, _ in self.at_points) else -math.inf
        if value_at < floor:
            return None
        said = [float(np.dot(c, x)) for c in self.singles] or [value_at]
        wide = 0.0
        if self.covariance is not None:
            wide = ERRORS * math.sqrt(max(0.0, float(np.array(x) @ np.array(self.covariance) @ np.array(x))))
        beyond = max(_beyond(v, t) for v, t in zip(x[1:], self.terms, strict=True))
        held = {a: self.base[a] for a in looked if a not in terms and self.base[a] != size[a]}
        held = {a: v for a, v in held.items() if a not in self.together}
        low, high = min(value_at - wide, *said), max(value_at + wide, *said)
        return Value(value_at, max(floor, low), high, False, beyond, held)


def _beyond(value: float, term: Term) -> float:
    """How many times past the measured range: 1 inside of it."""
    if value > term.most:
        return value / term.most if term.most > 0 else math.inf
    if value < term.least:
        return term.least / value if value > 0 else math.inf
    return 1.0


def flatten(table: Any, name: str = "") -> dict[str, Setting]:
    """The settings of an experiment by dotted names, as an axis has them; lists count from 0."""
    if isinstance(table, dict | list):
        pairs = table.items() if isinstance(table, dict) else enumerate(table)
        found: dict[str, Setting] = {}
        for key, value in pairs:
            if name or key not in NOT_KEPT:
                found |= flatten(value, f"{name}.{key}" if name else str(key))
        return found
    return {name: table if isinstance(table, str | bool) else float(table)}


def read(paths: Iterable[Path]) -> list[Point]:
    """Points of result files, of summaries, and of all files in folders; a play met twice counts once.

    Raises ValueError naming the file that is neither.
    """
    files: list[Path] = []
    for path in paths:
        inside = (
            sorted(p for p in path.rglob("*.json") if p.name != "slopes.json") if path.is_dir() else [path]
        )
        files += inside
    # each play by itself: its point's place, where it came from, and its figures
    plays: dict[tuple[str, ...], tuple[Point, Play, dict[str, dict[str, tuple[float, str]]]]] = {}
    for file in files:
        for point, play, figures in _plays_of(file):
            place = msgspec.json.encode(sorted(point.settings.items())).decode()
            plays[point.experiment, point.mode, place, f"{play.seed:020d}", play.began, play.file] = (
                point,
                play,
                figures,
            )
    points: dict[tuple[str, ...], Point] = {}
    values: dict[tuple[str, ...], list[dict[str, dict[str, tuple[float, str]]]]] = {}
    for key in sorted(plays):
        point, play, figures = plays[key]
        mine = points.setdefault(key[:3], Point(point.experiment, point.mode, point.settings, []))
        mine.plays.append(play)
        values.setdefault(key[:3], []).append({} if play.broken_off else figures)
    for place_of, mine in points.items():
        mine.roles = _figures(values[place_of])
    order = sorted(
        points, key=lambda k: (k[0], k[1], points[k].axis("routers"), points[k].axis("servers"), k[2])
    )
    return [points[k] for k in order]


def _plays_of(file: Path) -> list[tuple[Point, Play, dict[str, dict[str, tuple[float, str]]]]]:
    try:
        table = msgspec.json.decode(file.read_bytes())
        if isinstance(table, dict) and "points" in table:
            found = []
            for p in msgspec.convert(table, Measured).points:
                for i, play in enumerate(p.plays):
                    some = {
                        role: {m: (v, f.unit) for m, f in figures.items() if (v := f.values[i]) is not None}
                        for role, figures in p.roles.items()
                    }
                    found.append((p, play, some))
            return found
        result = msgspec.convert(table, Result)
    except (msgspec.DecodeError, IndexError) as e:
        raise ValueError(f"{file} is neither a result nor a summary: {e}") from e
    experiment = result.experiment
    point = Point(experiment.name, experiment.mode, flatten(msgspec.to_builtins(experiment)), [])
    command = re.sub(r"(?<!\S)(\.\./|/)\S*/", "", result.command)  # where it lay on a machine says nothing
    full = _too_full(result)
    play = Play(
        file.name,
        result.seed,
        result.commit,
        result.dirty,
        command,
        result.began,
        result.machine,
        [*result.notes, *full],
        result.broken_off or bool(full),
    )
    roles = {
        # six digits are more than any play's, and keep the summary short
        name: {
            m: (float(f"{f.value:.6g}"), f.unit) for m, f in role.metrics.items() if math.isfinite(f.value)
        }
        for name, role in result.roles.items()
    }
    return [(point, play, roles)]


def _too_full(result: Result) -> list[str]:
    """A note where hollow routers could not keep up, so that it was the laboratory that was measured."""
    asked = [a.value for role in result.roles.values() if (a := role.metrics.get("asked")) is not None]
    if not asked:
        return []
    lag = result.roles["lab"].metrics.get("lag") if "lab" in result.roles else None
    late = 0.0 if lag is None else max(lag.value, lag.high)
    if min(asked) >= LEAST_ASKED and late <= MOST_LATE:
        return []
    made = f"{min(asked):.2g} of the planned requests"
    return [f"hollow routers made {made} and were up to {late:.2g} s late: figures left out"]


def _figures(plays: list[dict[str, dict[str, tuple[float, str]]]]) -> dict[str, dict[str, Figure]]:
    roles: dict[str, dict[str, Figure]] = {}
    for role in sorted({r for p in plays for r in p}):
        for metric in sorted({m for p in plays for m in p.get(role, {})}):
            got = [p.get(role, {}).get(metric) for p in plays]
            known = [g for g in got if g is not None]
            numbers = [g[0] for g in known]
            mean = math.fsum(numbers) / len(numbers)
            values = [None if g is None else g[0] for g in got]
            roles.setdefault(role, {})[metric] = Figure(known[0][1], mean, min(numbers), max(numbers), values)
    return roles


def groups(points: Sequence[Point]) -> list[tuple[str, list[Point]]]:
    """The points that a line may go through, with the name of their experiments.

    These are an experiment's, and those of several that differ in the numbers of routers and servers alone;
    plays of an earlier module stay by themselves.
    """
    by_name: dict[tuple[Any, ...], list[Point]] = {}
    by_rest: dict[tuple[Any, ...], list[Point]] = {}
    for point in points:
        words = tuple(sorted((k, v) for k, v in point.settings.items() if isinstance(v, str)))
        rest = tuple(sorted((k, v) for k, v in point.settings.items() if k not in NO_AXIS))
        by_name.setdefault((point.experiment, point.mode, words), []).append(point)
        if not point.experiment.endswith(BEFORE):
            by_rest.setdefault((point.mode, rest), []).append(point)
    several = [g for g in by_rest.values() if len({p.experiment for p in g}) > 1]
    return [("+".join(sorted({p.experiment for p in g})), g) for g in (*by_name.values(), *several)]


def _axes(points: Sequence[Point]) -> list[str]:
    """What varies between points, routers and servers first."""
    names = sorted(
        {k for p in points for k, v in p.settings.items() if not isinstance(v, str)} - set(NO_AXIS)
    )
    return [a for a in ("routers", "servers", *names) if len({p.axis(a) for p in points}) > 1]


def _solve(x: np.ndarray[Any, Any], y: np.ndarray[Any, Any]) -> list[float]:
    """Least squares with columns of like size, or the rank would depend on units."""
    scale = np.abs(x).max(axis=0)
    found = np.linalg.lstsq(x / scale, y, rcond=None)[0]
    found[np.abs(found) < ROUNDING * np.abs(y).max(initial=0.0)] = 0.0
    return [float(c) for c in found / scale]


def fit(name: str, points: Sequence[Point], role: str, metric: str) -> Fit | None:
    """The line of a metric; None where no point has it."""
    having = [p for p in points if metric in p.roles.get(role, {})]
    if not having:
        return None
    figures = [p.roles[role][metric] for p in having]
    numbers = [[v for v in f.values if v is not None] for f in figures]
    axes = _axes(having)
    used: list[str] = []
    columns = [np.ones(len(having))]
    for axis in axes:
        column = np.array([p.axis(axis) for p in having])
        tried = np.stack([*columns, column / np.abs(column).max()], axis=1)
        # guards against a term for every point, which would fit anything
        room = len(columns) == 1 or len(columns) + 1 < len(having)
        if room and np.linalg.matrix_rank(tried) > len(columns):
            columns.append(column / np.abs(column).max())
            used.append(axis)
    places = [[1.0, *(p.axis(a) for a in used)] for p in having]
    x = np.array([place for place, n in zip(places, numbers, strict=True) for _ in n])
    y = np.array([v for n in numbers for v in n])
    line = _solve(x, y)
    singles = [
        _solve(np.array(places), np.array([n[k] for n in numbers])) for k in range(min(map(len, numbers)))
    ]
    covariance = None
    if len(y) > len(line):
        scale = np.abs(x).max(axis=0)
        spread = float(np.sum((y - x @ np.array(line)) ** 2)) / (len(y) - len(line))
        shape = np.linalg.inv((x / scale).T @ (x / scale)) / np.outer(scale, scale)
        covariance = [[float(v) for v in row] for row in spread * shape]
    terms = [
        Term(
            axis,
            line[i],
            None if covariance is None else math.sqrt(max(0.0, covariance[i][i])),
            min(line[i], *(s[i] for s in singles)),
            max(line[i], *(s[i] for s in singles)),
            min(p.axis(axis) for p in having),
            max(p.axis(axis) for p in having),
        )
        for i, axis in enumerate(used, 1)
    ]
    known = sorted({"routers", "servers", *RATES.values(), *axes})
    base = {}
    for axis in known:
        found = [p.axis(axis) for p in having]
        base[axis] = max(sorted(set(found)), key=found.count)
    return Fit(
        name,
        having[0].mode,
        role,
        metric,
        figures[0].unit,
        line[0],
        terms,
        [a for a in axes if a not in used],
        base,
        [
            ({a: p.axis(a) for a in known}, Value(f.mean, f.low, f.high, True), len(n))
            for p, f, n in zip(having, figures, numbers, strict=True)
        ],
        covariance,
        singles,
        sorted({q.file for p in having for q in p.plays if not q.broken_off}),
        sorted({kind for p in having for kind in p.faults()}),
        min(float(p.settings.get("fleet.listening", 1.0)) for p in having),
    )


def fits(points: Sequence[Point]) -> list[Fit]:
    """All lines, by experiment, role and metric."""
    found = []
    for name, group in groups(points):
        for role in sorted({r for p in group for r in p.roles}):
            for metric in sorted({m for p in group for m in p.roles.get(role, {})}):
                line = fit(name, group, role, metric)
                if line is not None:
                    found.append(line)
    return found


def choose(
    lines: Iterable[Fit], wanted: Sequence[tuple[str, str]], size: dict[str, float], steady: bool = True
) -> tuple[Fit, Value] | None:
    """The line to go by at a size, of the first role and metric wanted that has one.

    A measured point goes first, then lines with terms for both routers and servers, then those that reach
    the least beyond what was measured; `steady` prefers experiments in which nothing happens but the daily.
    """
    for role, metric in wanted:
        found = []
        for line in lines:
            if (line.role, line.metric) == (role, metric) and (value := line.at(size)) is not None:
                near = sum(t.axis in ("routers", "servers") for t in line.terms)
                happens = bool(steady and set(line.faults) - DAILY)
                rank = (
                    happens,
                    line.deaf,
                    not value.measured,
                    len(value.held),
                    -near,
                    value.beyond,
                    line.few,
                )
                found.append((rank, line.experiment, line, value))
        if found:
            _, _, line, value = min(found, key=lambda f: f[:2])
            return line, value
    return None
