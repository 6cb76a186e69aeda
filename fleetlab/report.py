"""Turns result files into fits, plots, a summary and the capacity page."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec
import numpy as np
from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure as Plot

from fleetlab import capacity, slopes
from fleetlab.slopes import MIN_PLAYS, Fit, Point, Term

LAB_DIR = Path(__file__).parent.parent / "lab"
SIZES_FILE = "given/size.toml"
DECISION_FILE = "decision.md"


def write_report(results: list[Path], out: Path, page: Path | None, lab: Path = LAB_DIR) -> None:
    """Write `slopes.json`, `measured.json`, `summary.md` and plots to `out`, and optionally the page.

    `results` are result files, earlier `measured.json` files, or directories of both. The directory `lab`
    holds the sizes and limits and, optionally, the page's section on the decision. Raises ValueError for a
    file of another kind.
    """
    points = slopes.read_points(results)
    fits = slopes.fit_all(points)
    fleet_spec = capacity.read_fleet_spec(lab / SIZES_FILE)
    out.mkdir(parents=True, exist_ok=True)
    (out / "measured.json").write_bytes(_encode_points(points))
    (out / "slopes.json").write_bytes(msgspec.json.format(msgspec.json.encode(fits), indent=1) + b"\n")
    limits = _metric_limits(fleet_spec)
    plots = [
        draw_plot(fit, points, limits.get((fit.role, fit.metric)), out) for fit in fits if has_slope(fit)
    ]
    (out / "summary.md").write_text(summary(points, fits, [p.name for p in plots]))
    if page is not None:
        decision = lab / DECISION_FILE
        current_fits = [fit for fit in fits if not fit.experiment.endswith(slopes.BEFORE_SUFFIX)]
        text = capacity.Page(points, current_fits, fleet_spec).render(
            decision.read_text() if decision.exists() else None
        )
        page.parent.mkdir(parents=True, exist_ok=True)
        page.write_text(text)


def _encode_points(points: Sequence[Point]) -> bytes:
    """Encode `measured.json` with one point per line, which keeps it small and its diffs readable."""
    return b'{"points":[\n' + b",\n".join(msgspec.json.encode(p) for p in points) + b"\n]}\n"


def _metric_limits(fleet_spec: capacity.FleetSpec) -> dict[tuple[str, str], float]:
    """Return the users' limits by role and metric."""
    limits = fleet_spec.limits
    found = {}
    for role in ("real", "hollow", "module"):
        found[role, "cpu.control"] = limits["control_share"]
        found[role, "state.mb"] = limits["control_mb"]
        for metric in ("bytes.in.peers", "bytes.out.peers", "bytes.in.discovery", "bytes.out.discovery"):
            found[role, metric] = limits["control_bytes"]
        found[role, "storm.bytes.in.peers"] = limits["control_bytes"]
    for percentile in ("p99", "max"):
        found |= dict.fromkeys(capacity.propagation_metrics(percentile), limits["change_within"])
    return found


def has_slope(fit: Fit) -> bool:
    """Return whether there is a line to plot: the fit has a term, and the points' values differ."""
    seen = {v for _, value, _ in fit.at_points for v in (value.low, value.high)}
    return bool(fit.terms) and len(seen) > 1


def draw_plot(fit: Fit, points: Sequence[Point], limit: float | None, out: Path) -> Path:
    """Write a PNG with a subplot for each axis, and return its path.

    A subplot shows plays, points, the limit, and the fit with all other axes at their most frequent values.
    """
    fig = Plot(figsize=(5 * len(fit.terms), 4))
    fig.subplots_adjust(0.16 / len(fit.terms), 0.14, 0.98, 0.9, wspace=0.3)
    FigureCanvasAgg(fig)
    own_points = [
        p
        for p in points
        if p.experiment in fit.experiment.split("+") and fit.metric in p.roles.get(fit.role, {})
    ]
    for i, term in enumerate(fit.terms, 1):
        ax = fig.add_subplot(1, len(fit.terms), i)
        _draw_axis(ax, fit, term, own_points)
        if limit is not None:
            ax.axhline(limit, color="tab:red", linestyle="--", label=f"limit {limit:g}")
        ax.legend(fontsize="small")
    fig.suptitle(f"{fit.experiment}: {fit.role} {fit.metric}")
    path = out / (re.sub(r"[^\w.+-]", "-", f"{fit.experiment}-{fit.role}-{fit.metric}") + ".png")
    fig.savefig(path, dpi=80)
    return path


def _draw_axis(ax: Axes, fit: Fit, term: Term, points: Iterable[Point]) -> None:
    other_axes = [t.axis for t in fit.terms if t.axis != term.axis]
    points_on_line = [p for p in points if all(p.axis(a) == fit.base[a] for a in other_axes)]
    figures = [p.roles[fit.role][fit.metric] for p in points_on_line]
    coordinates = [p.axis(term.axis) for p in points_on_line]
    plays = [(x, v) for x, f in zip(coordinates, figures, strict=True) for v in f.values if v is not None]
    ax.plot([x for x, _ in plays], [y for _, y in plays], ".", color="tab:gray", label="plays")
    ax.plot(coordinates, [f.mean for f in figures], "o", label="points")
    axis_ends = np.array([term.axis_min, term.axis_max])
    base_value = fit.intercept + sum(t.slope * fit.base[t.axis] for t in fit.terms if t.axis != term.axis)
    ax.plot(axis_ends, base_value + term.slope * axis_ends, "-", color="tab:blue", label="line")
    ax.set_xlabel(", ".join([term.axis, *fit.collinear_axes]))
    ax.set_ylabel(fit.unit or fit.metric)


def summary(points: Sequence[Point], fits: Sequence[Fit], plots: Sequence[str]) -> str:
    """Return `summary.md`: tables of the slopes and points, and the plots."""
    fmt = capacity.fmt
    lines = ["# Slopes", "", "† marks points of fewer than three plays.", ""]
    lines += ["| experiment | role | metric | unit | at 0 | slopes | measured range |", "| --- " * 7 + "|"]
    for fit in fits:
        terms, ranges = [], []
        for t in fit.terms:
            error = "no error" if t.error is None else f"± {fmt(t.error)}"
            span = f"plays {fmt(t.low)} to {fmt(t.high)}"
            terms.append(f"{fmt(t.slope)} by {t.axis} ({error}; {span})")
            ranges.append(f"{t.axis} {fmt(t.axis_min)} to {fmt(t.axis_max)}")
        terms += [f"{a} varied together with these" for a in fit.collinear_axes]
        columns = [fit.experiment, fit.role, fit.metric, fit.unit, fmt(fit.intercept)]
        columns += ["; ".join(terms) or "one point", "; ".join(ranges) + ("†" if fit.has_few_plays else "")]
        lines.append("| " + " | ".join(columns) + " |")
    lines += ["", "# Points", ""]
    lines += ["| experiment | routers | servers | happens | seeds | notes |", "| --- " * 6 + "|"]
    for p in points:
        complete = [q for q in p.plays if not q.broken_off]
        seeds = ", ".join(f"{q.seed}{' (broken off)' if q.broken_off else ''}" for q in p.plays)
        notes = "; ".join(f"{q.seed}: {n}" for q in p.plays for n in q.notes)
        few_mark = "†" if len(complete) < MIN_PLAYS else ""
        columns = [p.experiment, fmt(p.axis("routers")), fmt(p.axis("servers")), ", ".join(p.faults())]
        lines.append("| " + " | ".join([*columns, seeds + few_mark, notes]) + " |")
    if plots:
        lines += ["", "# Plots", "", *(f"![{name}]({name})" for name in plots)]
    return "\n".join(lines) + "\n"
