"""Linear regression over plays: how metrics depend on a fleet's size, and their values at other sizes.

A point is a set of settings; its plays differ by their seed. A fit is a linear function of a metric, by least
squares over all plays of an experiment, with a term for each setting that varied independently. The axis
`routers` stands for `fleet.real` + `fleet.hollow` and `servers` for `fleet.servers`; all other axes have the
names of the experiment file. Collinear settings, which varied together, share the first one's term.
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

# share of the planned requests made, and lag of the event loop: beyond either limit, a process of hollow
# routers was overloaded, and its figures describe the laboratory instead of the routers
MIN_ASKED_SHARE, MAX_LAG_S = 0.9, 1.0
MIN_PLAYS = 3  # points with fewer plays are marked
ROUNDING_TOLERANCE = 1e-9  # relative to the largest value; smaller coefficients are rounding errors
INTERVAL_STANDARD_ERRORS = 2.0  # half width of a range: 95 % confidence if errors are normal
# the length of a play and how its routers are spread over processes do not describe a fleet's size
NON_AXIS_SETTINGS = (
    *("seconds", "settle", "fleet.processes", "fleet.listening", "fleet.full"),
    *("fleet.real", "fleet.hollow", "fleet.servers"),  # the axes `routers` and `servers` stand for these
)
DROPPED_SETTINGS = ("name", "mode", "seed", "sweep", "memory_share", "most_processes")
RATE_SETTINGS = {  # by role, the setting with its request rate at a router
    "real": "requests.rate",
    "hollow": "requests.hollow_rate",
    "full": "requests.full_rate",
    "module": "requests.full_rate",
}
ROUTINE_FAULTS = {"changes", "servers_change"}  # events of normal operation
# suffixes of the names of experiments that compare an earlier decision module with the present one
BEFORE_SUFFIX, AFTER_SUFFIX = ("_before", "_after")
# metrics whose mean over hollow routers is too low if some of them do not receive peers' datagrams
LISTENER_METRICS = ("cpu.control", "cpu.share", "rate.peer", "bytes.in.peers")

Setting = float | str | bool


class Play(msgspec.Struct, frozen=True):
    """The origin of one play of a point."""

    file: str
    seed: int
    commit: str
    dirty: bool
    command: str
    began: str
    machine: Machine
    notes: list[str] = []
    broken_off: bool = False  # true as well if its processes were overloaded; its figures are left out


class Figure(msgspec.Struct):
    """A metric at a point: one value per play, in the plays' order; null where a play has none."""

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
        """Return the point's coordinate on an axis; 0 if it is missing or not a number."""
        if name == "routers":
            return self.axis("fleet.real") + self.axis("fleet.hollow")
        value = self.settings.get("fleet.servers" if name == "servers" else name, 0.0)
        return 0.0 if isinstance(value, str) else float(value)

    def faults(self) -> list[str]:
        """Return the kinds of its faults."""
        return [str(v) for k, v in self.settings.items() if re.fullmatch(r"faults\.\d+\.kind", k)]


class Measurements(msgspec.Struct):
    """The content of `measured.json`, from which every table can be made again."""

    points: list[Point]


class Term(msgspec.Struct):
    """A fit's slope along one axis."""

    axis: str
    slope: float
    error: float | None  # standard error from the residuals; null if plays do not outnumber coefficients
    low: float  # range of the slopes of fits through one play of each point
    high: float
    axis_min: float = msgspec.field(name="least")  # the measured range of the axis
    axis_max: float = msgspec.field(name="most")


class Value(msgspec.Struct):
    """A metric's value at a size."""

    value: float
    low: float
    high: float
    measured: bool = False  # true if a point lies there, false if the fit predicts it
    # ratio to the end of the measured range, on the axis where it is largest
    extrapolation: float = msgspec.field(default=1.0, name="beyond")
    # axes that did not vary, with their measured values, where these differ from the size
    held_axes: dict[str, float] = msgspec.field(default_factory=dict, name="held")


class Fit(msgspec.Struct):
    """A linear function of a metric, fitted to all plays that have it."""

    experiment: str
    mode: str
    role: str
    metric: str
    unit: str
    intercept: float
    terms: list[Term]
    collinear_axes: list[str] = msgspec.field(name="together")  # axes that varied but have no term
    base: dict[str, float]  # the most frequent value of each axis
    at_points: list[tuple[dict[str, float], Value, int]]  # per point: axes, mean with range, number of plays
    covariance: list[list[float]] | None
    # intercept and slopes of fits through one play of each point
    single_play_fits: list[list[float]] = msgspec.field(name="singles")
    files: list[str]
    faults: list[str]
    listening: float

    @property
    def is_understated(self) -> bool:
        """Whether it is a mean over routers of which some did not receive peers' datagrams, thus too low."""
        return self.role in ("hollow", "full") and self.listening < 1 and self.metric in LISTENER_METRICS

    @property
    def has_few_plays(self) -> bool:
        """Whether a point has fewer than `MIN_PLAYS` plays."""
        return any(plays < MIN_PLAYS for _, _, plays in self.at_points)

    def value_at(self, size: dict[str, float]) -> Value | None:
        """Return the value at a size, given by axes; None if no point lies there and the fit gives none.

        A fit without a term for routers or servers gives none, and neither does one that predicts a value
        below 0 although no measured value is. The range is `INTERVAL_STANDARD_ERRORS` on either side, widened
        to what fits through single plays predict.
        """
        size_axes = ("routers", "servers")
        rate = RATE_SETTINGS.get(self.role)
        terms = {t.axis for t in self.terms}
        sized_axes = [a for a in (*size_axes, rate) if a and a in size]
        for axes, value, _ in self.at_points:
            others_match = all(axes[a] == self.base[a] for a in axes if a not in sized_axes)
            if others_match and all(axes[a] == size[a] for a in size_axes if a in size):
                held_axes = {a: axes[a] for a in sized_axes if axes[a] != size[a]}
                if not (held_axes.keys() & terms):
                    return Value(value.value, value.low, value.high, True, 1.0, held_axes)
        if not terms & set(size_axes):
            return None
        x = [1.0, *(size.get(t.axis, self.base[t.axis]) for t in self.terms)]
        predicted = float(np.dot([self.intercept, *(t.slope for t in self.terms)], x))
        floor = 0.0 if all(value.low >= 0 for _, value, _ in self.at_points) else -math.inf
        if predicted < floor:
            return None
        single_play_values = [float(np.dot(c, x)) for c in self.single_play_fits] or [predicted]
        margin = 0.0
        if self.covariance is not None:
            margin = INTERVAL_STANDARD_ERRORS * math.sqrt(
                max(0.0, float(np.array(x) @ np.array(self.covariance) @ np.array(x)))
            )
        extrapolation = max(_extrapolation(v, t) for v, t in zip(x[1:], self.terms, strict=True))
        held_axes = {a: self.base[a] for a in sized_axes if a not in terms and self.base[a] != size[a]}
        held_axes = {a: v for a, v in held_axes.items() if a not in self.collinear_axes}
        low, high = min(predicted - margin, *single_play_values), max(predicted + margin, *single_play_values)
        return Value(predicted, max(floor, low), high, False, extrapolation, held_axes)


def _extrapolation(value: float, term: Term) -> float:
    """Return the ratio of a value to the nearest end of the measured range; 1 inside the range."""
    if value > term.axis_max:
        return value / term.axis_max if term.axis_max > 0 else math.inf
    if value < term.axis_min:
        return term.axis_min / value if value > 0 else math.inf
    return 1.0


def flatten(table: Any, name: str = "") -> dict[str, Setting]:
    """Return an experiment's settings by dotted names, which are those of axes; lists count from 0."""
    if isinstance(table, dict | list):
        pairs = table.items() if isinstance(table, dict) else enumerate(table)
        found: dict[str, Setting] = {}
        for key, value in pairs:
            if name or key not in DROPPED_SETTINGS:
                found |= flatten(value, f"{name}.{key}" if name else str(key))
        return found
    return {name: table if isinstance(table, str | bool) else float(table)}


def read_points(paths: Iterable[Path]) -> list[Point]:
    """Read the points of result files, `measured.json` files and directories of both.

    A play that occurs more than once counts once. Raises ValueError with the name of a file of another kind.
    """
    files: list[Path] = []
    for path in paths:
        found = (
            sorted(p for p in path.rglob("*.json") if p.name != "slopes.json") if path.is_dir() else [path]
        )
        files += found
    # by play: its point, its origin and its figures
    plays: dict[tuple[str, ...], tuple[Point, Play, dict[str, dict[str, tuple[float, str]]]]] = {}
    for file in files:
        for point, play, figures in _read_plays(file):
            settings_key = msgspec.json.encode(sorted(point.settings.items())).decode()
            plays[point.experiment, point.mode, settings_key, f"{play.seed:020d}", play.began, play.file] = (
                point,
                play,
                figures,
            )
    points: dict[tuple[str, ...], Point] = {}
    values: dict[tuple[str, ...], list[dict[str, dict[str, tuple[float, str]]]]] = {}
    for key in sorted(plays):
        point, play, figures = plays[key]
        merged = points.setdefault(key[:3], Point(point.experiment, point.mode, point.settings, []))
        merged.plays.append(play)
        values.setdefault(key[:3], []).append({} if play.broken_off else figures)
    for point_key, merged in points.items():
        merged.roles = _figures(values[point_key])
    order = sorted(
        points, key=lambda k: (k[0], k[1], points[k].axis("routers"), points[k].axis("servers"), k[2])
    )
    return [points[k] for k in order]


def _read_plays(file: Path) -> list[tuple[Point, Play, dict[str, dict[str, tuple[float, str]]]]]:
    try:
        table = msgspec.json.decode(file.read_bytes())
        if isinstance(table, dict) and "points" in table:
            found = []
            for p in msgspec.convert(table, Measurements).points:
                for i, play in enumerate(p.plays):
                    figures_by_role = {
                        role: {m: (v, f.unit) for m, f in figures.items() if (v := f.values[i]) is not None}
                        for role, figures in p.roles.items()
                    }
                    found.append((p, play, figures_by_role))
            return found
        result = msgspec.convert(table, Result)
    except (msgspec.DecodeError, IndexError) as e:
        raise ValueError(f"{file} is neither a result nor a summary: {e}") from e
    experiment = result.experiment
    point = Point(experiment.name, experiment.mode, flatten(msgspec.to_builtins(experiment)), [])
    command = re.sub(r"(?<!\S)(\.\./|/)\S*/", "", result.command)  # drop the machine's directories
    overload = _overload_notes(result)
    play = Play(
        file.name,
        result.seed,
        result.commit,
        result.dirty,
        command,
        result.began,
        result.machine,
        [*result.notes, *overload],
        result.broken_off or bool(overload),
    )
    roles = {
        # six digits exceed the precision of any play, and keep the file short
        name: {
            m: (float(f"{f.value:.6g}"), f.unit) for m, f in role.metrics.items() if math.isfinite(f.value)
        }
        for name, role in result.roles.items()
    }
    return [(point, play, roles)]


def _overload_notes(result: Result) -> list[str]:
    """Return a note if hollow routers could not keep up, so that the play measured the laboratory instead."""
    asked = [a.value for role in result.roles.values() if (a := role.metrics.get("asked")) is not None]
    if not asked:
        return []
    lag = result.roles["lab"].metrics.get("lag") if "lab" in result.roles else None
    late = 0.0 if lag is None else max(lag.value, lag.high)
    if min(asked) >= MIN_ASKED_SHARE and late <= MAX_LAG_S:
        return []
    made = f"{min(asked):.2g} of the planned requests"
    return [f"hollow routers made {made} and were up to {late:.2g} s late: figures left out"]


def _figures(plays: list[dict[str, dict[str, tuple[float, str]]]]) -> dict[str, dict[str, Figure]]:
    roles: dict[str, dict[str, Figure]] = {}
    for role in sorted({r for p in plays for r in p}):
        for metric in sorted({m for p in plays for m in p.get(role, {})}):
            play_figures = [p.get(role, {}).get(metric) for p in plays]
            known = [g for g in play_figures if g is not None]
            numbers = [g[0] for g in known]
            mean = math.fsum(numbers) / len(numbers)
            values = [None if g is None else g[0] for g in play_figures]
            roles.setdefault(role, {})[metric] = Figure(known[0][1], mean, min(numbers), max(numbers), values)
    return roles


def fit_groups(points: Sequence[Point]) -> list[tuple[str, list[Point]]]:
    """Return the groups of points that can share a fit, each with the names of its experiments.

    These are the points of each experiment, and those of several experiments that differ only in the numbers
    of routers and servers. Plays of an earlier decision module are not combined with other experiments.
    """
    by_name: dict[tuple[Any, ...], list[Point]] = {}
    by_rest: dict[tuple[Any, ...], list[Point]] = {}
    for point in points:
        words = tuple(sorted((k, v) for k, v in point.settings.items() if isinstance(v, str)))
        rest = tuple(sorted((k, v) for k, v in point.settings.items() if k not in NON_AXIS_SETTINGS))
        by_name.setdefault((point.experiment, point.mode, words), []).append(point)
        if not point.experiment.endswith(BEFORE_SUFFIX):
            by_rest.setdefault((point.mode, rest), []).append(point)
    several = [g for g in by_rest.values() if len({p.experiment for p in g}) > 1]
    return [("+".join(sorted({p.experiment for p in g})), g) for g in (*by_name.values(), *several)]


def _varied_axes(points: Sequence[Point]) -> list[str]:
    """Return the axes on which points differ, routers and servers first."""
    names = sorted(
        {k for p in points for k, v in p.settings.items() if not isinstance(v, str)} - set(NON_AXIS_SETTINGS)
    )
    return [a for a in ("routers", "servers", *names) if len({p.axis(a) for p in points}) > 1]


def _least_squares(x: np.ndarray[Any, Any], y: np.ndarray[Any, Any]) -> list[float]:
    """Solve by least squares with columns scaled to similar size, or the rank would depend on their units."""
    scale = np.abs(x).max(axis=0)
    found = np.linalg.lstsq(x / scale, y, rcond=None)[0]
    found[np.abs(found) < ROUNDING_TOLERANCE * np.abs(y).max(initial=0.0)] = 0.0
    return [float(c) for c in found / scale]


def fit_metric(name: str, points: Sequence[Point], role: str, metric: str) -> Fit | None:
    """Fit a metric of a role over the points that have it; None if none has."""
    with_metric = [p for p in points if metric in p.roles.get(role, {})]
    if not with_metric:
        return None
    figures = [p.roles[role][metric] for p in with_metric]
    numbers = [[v for v in f.values if v is not None] for f in figures]
    axes = _varied_axes(with_metric)
    fitted_axes: list[str] = []
    columns = [np.ones(len(with_metric))]
    for axis in axes:
        column = np.array([p.axis(axis) for p in with_metric])
        tried = np.stack([*columns, column / np.abs(column).max()], axis=1)
        # keeps coefficients fewer than points: a fit with as many of them as points passes through any values
        can_add = len(columns) == 1 or len(columns) + 1 < len(with_metric)
        if can_add and np.linalg.matrix_rank(tried) > len(columns):
            columns.append(column / np.abs(column).max())
            fitted_axes.append(axis)
    design_rows = [[1.0, *(p.axis(a) for a in fitted_axes)] for p in with_metric]
    x = np.array([coordinates for coordinates, n in zip(design_rows, numbers, strict=True) for _ in n])
    y = np.array([v for n in numbers for v in n])
    coefficients = _least_squares(x, y)
    single_play_fits = [
        _least_squares(np.array(design_rows), np.array([n[k] for n in numbers]))
        for k in range(min(map(len, numbers)))
    ]
    covariance = None
    if len(y) > len(coefficients):
        scale = np.abs(x).max(axis=0)
        spread = float(np.sum((y - x @ np.array(coefficients)) ** 2)) / (len(y) - len(coefficients))
        shape = np.linalg.inv((x / scale).T @ (x / scale)) / np.outer(scale, scale)
        covariance = [[float(v) for v in row] for row in spread * shape]
    terms = [
        Term(
            axis,
            coefficients[i],
            None if covariance is None else math.sqrt(max(0.0, covariance[i][i])),
            min(coefficients[i], *(s[i] for s in single_play_fits)),
            max(coefficients[i], *(s[i] for s in single_play_fits)),
            min(p.axis(axis) for p in with_metric),
            max(p.axis(axis) for p in with_metric),
        )
        for i, axis in enumerate(fitted_axes, 1)
    ]
    known = sorted({"routers", "servers", *RATE_SETTINGS.values(), *axes})
    base = {}
    for axis in known:
        found = [p.axis(axis) for p in with_metric]
        base[axis] = max(sorted(set(found)), key=found.count)
    return Fit(
        name,
        with_metric[0].mode,
        role,
        metric,
        figures[0].unit,
        coefficients[0],
        terms,
        [a for a in axes if a not in fitted_axes],
        base,
        [
            ({a: p.axis(a) for a in known}, Value(f.mean, f.low, f.high, True), len(n))
            for p, f, n in zip(with_metric, figures, numbers, strict=True)
        ],
        covariance,
        single_play_fits,
        sorted({q.file for p in with_metric for q in p.plays if not q.broken_off}),
        sorted({kind for p in with_metric for kind in p.faults()}),
        min(float(p.settings.get("fleet.listening", 1.0)) for p in with_metric),
    )


def fit_all(points: Sequence[Point]) -> list[Fit]:
    """Return the fits of all metrics, by experiment, role and metric."""
    found = []
    for name, group in fit_groups(points):
        for role in sorted({r for p in group for r in p.roles}):
            for metric in sorted({m for p in group for m in p.roles.get(role, {})}):
                fit = fit_metric(name, group, role, metric)
                if fit is not None:
                    found.append(fit)
    return found


def choose_fit(
    fits: Iterable[Fit], candidates: Sequence[tuple[str, str]], size: dict[str, float], steady: bool = True
) -> tuple[Fit, Value] | None:
    """Return the best fit at a size with its value there, of the first candidate (role, metric) that has one.

    With `steady`, fits over experiments with no faults but `ROUTINE_FAULTS` come first. Then come, in this
    order: values that are not understated, measured points, fewer axes that differ from the size, terms for
    both routers and servers, and the least extrapolation.
    """
    for role, metric in candidates:
        found = []
        for fit in fits:
            if (fit.role, fit.metric) == (role, metric) and (value := fit.value_at(size)) is not None:
                size_terms = sum(t.axis in ("routers", "servers") for t in fit.terms)
                has_faults = bool(steady and set(fit.faults) - ROUTINE_FAULTS)
                rank = (
                    has_faults,
                    fit.is_understated,
                    not value.measured,
                    len(value.held_axes),
                    -size_terms,
                    value.extrapolation,
                    fit.has_few_plays,
                )
                found.append((rank, fit.experiment, fit, value))
        if found:
            _, _, fit, value = min(found, key=lambda f: f[:2])
            return fit, value
    return None
