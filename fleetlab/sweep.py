"""The plays of a sweep, and the names of their result files."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from fleetlab.experiment import Experiment, at_point, sweep_points
from fleetlab.results import read_result


def result_name(experiment: Experiment, point: dict[str, float], seed: int) -> str:
    """`NAME-AXIS-VALUE-sSEED.json`; axes that go together are named by the first."""
    where = "".join(f"-{axis}-{value:g}" for axis, value in list(point.items())[:1])
    return f"{experiment.name}{where}-s{seed}.json"


def chosen(texts: Sequence[str], count: int) -> list[int]:
    """Places (from 0) of the points asked for: `3`, `2..5`, `4..` or `..2`, counted from 1; all if none.

    Raises ValueError that names what is no such range.
    """
    if not texts:
        return list(range(count))
    places: set[int] = set()
    for text in texts:
        first, dots, last = text.partition("..")
        try:
            low = int(first) if first or not dots else 1
            high = int(last) if last else count if dots else low
        except ValueError:
            raise ValueError(f"{text!r}: wanted a point or a range such as 2..5") from None
        if not 1 <= low <= high <= count:
            raise ValueError(f"{text!r}: wanted points of 1 to {count}")
        places.update(range(low - 1, high))
    return sorted(places)


def plays(experiment: Experiment, out: Path, places: Sequence[int]) -> Iterator[tuple[Experiment, int, Path]]:
    """Each play of the points at `places`: what to play, with which seed, and its result file.

    Plays go round all points once before any gets its second, so a sweep that is cut short is one with fewer
    plays of each.
    """
    every = sweep_points(experiment)
    for i in range(experiment.sweep.plays):
        for place in places:
            seed = experiment.seed + i
            yield (
                at_point(experiment, every[place]),
                seed,
                out / result_name(experiment, every[place], seed),
            )


def is_done(path: Path) -> bool:
    """Whether a play's result is there and whole; one that was broken off is played again."""
    try:
        return not read_result(path).broken_off
    except (OSError, msgspec.MsgspecError):
        return False


__all__ = ["chosen", "is_done", "plays", "result_name"]
