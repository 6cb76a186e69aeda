"""The plays of a sweep, and the names of their result files."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from fleetlab.experiment import Experiment, at_point, sweep_points
from fleetlab.results import read_result


def result_filename(experiment: Experiment, point: dict[str, float], seed: int) -> str:
    """Return `NAME-AXIS-VALUE-sSEED.json`; axes that vary in step are named by the first of them."""
    axis_part = "".join(f"-{axis}-{value:g}" for axis, value in list(point.items())[:1])
    return f"{experiment.name}{axis_part}-s{seed}.json"


def select_points(texts: Sequence[str], count: int) -> list[int]:
    """Return the indices (from 0) of the selected points: `3`, `2..5`, `4..` or `..2`, counted from 1.

    Without any text all points are selected. Raises ValueError that names a text that is not such a range.
    """
    if not texts:
        return list(range(count))
    indices: set[int] = set()
    for text in texts:
        first, dots, last = text.partition("..")
        try:
            low = int(first) if first or not dots else 1
            high = int(last) if last else count if dots else low
        except ValueError:
            raise ValueError(f"{text!r}: expected a point or a range such as 2..5") from None
        if not 1 <= low <= high <= count:
            raise ValueError(f"{text!r}: expected points of 1 to {count}")
        indices.update(range(low - 1, high))
    return sorted(indices)


def sweep_plays(
    experiment: Experiment, out: Path, indices: Sequence[int]
) -> Iterator[tuple[Experiment, int, Path]]:
    """Yield each play of the points at `indices`: its experiment, its seed and its result file.

    All points are played once before any is played again, so that an interrupted sweep has fewer plays of
    each point rather than fewer points.
    """
    points = sweep_points(experiment)
    for i in range(experiment.sweep.plays):
        for index in indices:
            seed = experiment.seed + i
            yield (
                at_point(experiment, points[index]),
                seed,
                out / result_filename(experiment, points[index], seed),
            )


def is_complete(path: Path) -> bool:
    """Return whether a result file exists, can be read and is not of a play that was broken off."""
    try:
        return not read_result(path).broken_off
    except (OSError, msgspec.MsgspecError):
        return False


__all__ = ["is_complete", "result_filename", "select_points", "sweep_plays"]
