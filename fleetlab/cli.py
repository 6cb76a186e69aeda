"""The commands: run, sweep, report, check and sites.

They end with 0, 1 where a play broke off by a failure, 2 for a file or option that can't be used, 3 where
bounds refuse it, and 130 after Ctrl-C.
"""

from __future__ import annotations

import contextlib
import dataclasses
import importlib
import shlex
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from fleetlab.deployments import DeploymentError, write_variants
from fleetlab.experiment import Experiment, ExperimentError, at_point, points, read_experiment
from fleetlab.plan import Message
from fleetlab.results import Result, write_result
from fleetlab.runner import Options, Played, Refused, estimate, memory_bound, play, refuse_beyond_bounds
from fleetlab.sweep import chosen, is_done, plays, result_name

BAD_FILE, REFUSED, INTERRUPTED = 2, 3, 130
PLAIN_EVERY = 5.0  # seconds between lines where there is no terminal
FILE = click.argument("file", type=click.Path(path_type=Path))
OUT = click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("build/lab"),
    show_default=True,
    help="Where result files go.",
)
LOGS = click.option(
    "--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep all logs in this folder."
)


@contextlib.contextmanager
def _exit_codes() -> Iterator[None]:
    """Errors as one line and an exit code."""
    try:
        yield
    except (ExperimentError, DeploymentError) as e:
        click.echo(f"fleetlab: {e}", err=True)
        sys.exit(BAD_FILE)
    except Refused as e:
        click.echo(f"fleetlab: refused: {e}", err=True)
        sys.exit(REFUSED)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)


@contextlib.contextmanager
def _progress(what: str) -> Iterator[Callable[[str, float, float], None]]:
    """A bar on a terminal; else a line every five seconds."""
    if not sys.stderr.isatty():
        last, shown = -PLAIN_EVERY, ""

        def line(stage: str, done: float, total: float) -> None:
            nonlocal last, shown
            if stage != shown or time.monotonic() - last >= PLAIN_EVERY:
                last, shown = time.monotonic(), stage
                of = f" of {total:.0f}" if total else ""
                click.echo(f"{what}: {stage}, {done:.0f}{of} s", err=True)

        yield line
        return
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True)) as bar:
        task = bar.add_task(what)

        def draw(stage: str, done: float, total: float) -> None:
            bar.update(task, description=f"{what}: {stage}", completed=done, total=total or None)

        yield draw


def _command() -> str:
    return shlex.join(["python", "-m", "fleetlab", *sys.argv[1:]])


def _play(base: Options | None, experiment: Experiment, seed: int, path: Path, logs: Path | None) -> Played:
    """Play, write the result and say what went otherwise."""
    with _progress(path.stem) as progress:
        options = dataclasses.replace(base or Options(), logs=logs, command=_command(), progress=progress)
        played = play(experiment, seed, options)
    write_result(path, played.result)
    for note in played.result.notes:
        click.echo(f"note: {note}", err=True)
    click.echo(str(path))
    return played


def _end(results: list[Result], interrupted: bool) -> None:
    """Leave with the code that fits."""
    if interrupted:
        sys.exit(INTERRUPTED)
    if any(r.broken_off for r in results):
        sys.exit(1)


@click.group()
def main() -> None:
    """Plays fleets of routers on loopback and measures them."""  # an `obj` of main is the runner's Options


@main.command()
@FILE
@OUT
@click.option("--seed", type=int, help="Instead of the file's.")
@LOGS
@click.pass_obj
def run(base: Options | None, file: Path, out: Path, seed: int | None, logs: Path | None) -> None:
    """Play FILE once, by its own values."""
    with _exit_codes():
        experiment = read_experiment(file)
        seed = experiment.seed if seed is None else seed
        played = _play(base, experiment, seed, out / result_name(experiment, {}, seed), logs)
        _end([played.result], played.interrupted)


@main.command()
@FILE
@OUT
@click.option("--points", "wanted", multiple=True, metavar="N|N..M", help="Only these, counted from 1.")
@LOGS
@click.pass_obj
def sweep(base: Options | None, file: Path, out: Path, wanted: tuple[str, ...], logs: Path | None) -> None:
    """Play the points of FILE's sweep, but for those whose result is there."""
    with _exit_codes():
        experiment = read_experiment(file)
        try:
            places = chosen(wanted, len(points(experiment)))
        except ValueError as e:
            raise click.BadParameter(str(e), param_hint="--points") from None
        left = [each for each in plays(experiment, out, places) if not is_done(each[2])]
        for each, _, path in left:
            try:
                refuse_beyond_bounds(each)
            except Refused as e:
                raise Refused(f"{path.stem}: {e}") from None
        results: list[Result] = []
        for i, (each, seed, path) in enumerate(left):
            click.echo(f"play {i + 1} of {len(left)}: {path.stem}", err=True)
            played = _play(base, each, seed, path, logs / path.stem if logs else None)
            results.append(played.result)
            if played.interrupted:
                _end(results, True)
        _end(results, False)


@main.command()
@click.argument("results", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--out", required=True, type=click.Path(path_type=Path, file_okay=False), help="For the plots.")
@click.option(
    "--page", type=click.Path(path_type=Path, dir_okay=False), help="A page whose tables are written anew."
)
def report(results: tuple[Path, ...], out: Path, page: Path | None) -> None:
    """Make slopes, plots and tables from RESULTS: result files, summaries, or folders of these."""
    with _exit_codes():
        _part("fleetlab.report").write_report(list(results), out, page)


@main.command()
@FILE
def check(file: Path) -> None:
    """Say what FILE would start, and whether bounds refuse it."""
    with _exit_codes():
        experiment = read_experiment(file)
        swept = [
            (result_name(experiment, p, experiment.seed), at_point(experiment, p)) for p in points(experiment)
        ]
        own = (result_name(experiment, {}, experiment.seed), experiment)
        for name, each in [own, *(s for s in swept if s[0] != own[0])]:
            needs = estimate(each)
            fleet = each.fleet
            click.echo(
                f"{name.removesuffix('.json')}: mode {each.mode}, "
                f"{fleet.real} real and {fleet.hollow} hollow routers, {fleet.servers} servers; "
                f"{needs.processes} processes, about {needs.memory_mb:.0f} MB of {memory_bound(each):.0f} MB"
            )
        for _, each in [own, *swept]:
            refuse_beyond_bounds(each)


@main.command()
@FILE
@click.option("--seed", type=int, default=1, show_default=True, help="Of the first variant.")
@click.option("--count", type=click.IntRange(1), default=12, show_default=True, help="How many variants.")
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("build/sites"),
    show_default=True,
    help="Where the site files go.",
)
def sites(file: Path, seed: int, count: int, out: Path) -> None:
    """Draw deployments: variants of the site FILE, one for each seed, in what operators may choose."""
    with _exit_codes():
        for path in write_variants(file, range(seed, seed + count), out):
            click.echo(str(path))


@main.command(hidden=True)
@FILE
@click.argument("seed", type=int)
def module(file: Path, seed: int) -> None:
    """Measure the module by itself; the runner starts this in a process of its own."""
    experiment = msgspec.json.decode(file.read_bytes(), type=Experiment)
    roles = _part("fleetlab.module_costs").measure(experiment, seed)
    click.echo(msgspec.json.encode(Message(roles=roles)))


def _part(name: str) -> Any:
    """A part that only some commands need."""
    return importlib.import_module(name)


__all__ = ["main"]
