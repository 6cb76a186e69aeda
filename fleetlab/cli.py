"""The command line: run, sweep, report, check, sites and lists.

Exit codes: 0; 1 if a play failed; 2 for an invalid file or option; 3 if a play is refused as it exceeds its
limits; 130 after Ctrl-C.
"""

from __future__ import annotations

import asyncio
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
from fleetlab.experiment import Experiment, ExperimentError, at_point, read_experiment, sweep_points
from fleetlab.plan import Message
from fleetlab.results import Result, write_result
from fleetlab.runner import (
    FinishedPlay,
    Options,
    PlayRefused,
    check_limits,
    estimate_resources,
    memory_limit,
    play,
)
from fleetlab.sweep import is_complete, result_filename, select_points, sweep_plays

EXIT_INVALID_FILE, EXIT_REFUSED, EXIT_INTERRUPTED = 2, 3, 130
PROGRESS_INTERVAL_S = 5.0  # between progress lines, if standard error is not a terminal
FILE = click.argument("file", type=click.Path(path_type=Path))
OUT = click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("build/lab"),
    show_default=True,
    help="Directory for result files.",
)
LOGS = click.option(
    "--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep all logs in this directory."
)


@contextlib.contextmanager
def _exit_codes() -> Iterator[None]:
    """Turn exceptions into a line on standard error and an exit code."""
    try:
        yield
    except (ExperimentError, DeploymentError) as e:
        click.echo(f"fleetlab: {e}", err=True)
        sys.exit(EXIT_INVALID_FILE)
    except PlayRefused as e:
        click.echo(f"fleetlab: refused: {e}", err=True)
        sys.exit(EXIT_REFUSED)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)


@contextlib.contextmanager
def _progress(name: str) -> Iterator[Callable[[str, float, float], None]]:
    """Show progress: a bar on a terminal, else a line every five seconds."""
    if not sys.stderr.isatty():
        last, shown_stage = -PROGRESS_INTERVAL_S, ""

        def line(stage: str, done: float, total: float) -> None:
            nonlocal last, shown_stage
            if stage != shown_stage or time.monotonic() - last >= PROGRESS_INTERVAL_S:
                last, shown_stage = time.monotonic(), stage
                of = f" of {total:.0f}" if total else ""
                click.echo(f"{name}: {stage}, {done:.0f}{of} s", err=True)

        yield line
        return
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True)) as bar:
        task = bar.add_task(name)

        def draw(stage: str, done: float, total: float) -> None:
            bar.update(task, description=f"{name}: {stage}", completed=done, total=total or None)

        yield draw


def _command_line() -> str:
    return shlex.join(["python", "-m", "fleetlab", *sys.argv[1:]])


def _play(
    base: Options | None, experiment: Experiment, seed: int, path: Path, logs: Path | None
) -> FinishedPlay:
    """Play, write the result, and print its notes and path."""
    with _progress(path.stem) as progress:
        options = dataclasses.replace(
            base or Options(), log_dir=logs, command_line=_command_line(), progress=progress
        )
        played = play(experiment, seed, options)
    write_result(path, played.result)
    for note in played.result.notes:
        click.echo(f"note: {note}", err=True)
    click.echo(str(path))
    return played


def _exit_with_code(results: list[Result], interrupted: bool) -> None:
    """Exit with the code for these results."""
    if interrupted:
        sys.exit(EXIT_INTERRUPTED)
    if any(r.broken_off for r in results):
        sys.exit(1)


@click.group()
def main() -> None:
    """Play fleets of routers on loopback and measure them."""  # tests pass Options as the context object


@main.command()
@FILE
@OUT
@click.option("--seed", type=int, help="Use this seed instead of the file's.")
@LOGS
@click.pass_obj
def run(base: Options | None, file: Path, out: Path, seed: int | None, logs: Path | None) -> None:
    """Play FILE once, without its sweep."""
    with _exit_codes():
        experiment = read_experiment(file)
        seed = experiment.seed if seed is None else seed
        played = _play(base, experiment, seed, out / result_filename(experiment, {}, seed), logs)
        _exit_with_code([played.result], played.interrupted)


@main.command()
@FILE
@OUT
@click.option("--points", "selected", multiple=True, metavar="N|N..M", help="Only these, counted from 1.")
@LOGS
@click.pass_obj
def sweep(base: Options | None, file: Path, out: Path, selected: tuple[str, ...], logs: Path | None) -> None:
    """Play the points of FILE's sweep, except those with a complete result."""
    with _exit_codes():
        experiment = read_experiment(file)
        try:
            indices = select_points(selected, len(sweep_points(experiment)))
        except ValueError as e:
            raise click.BadParameter(str(e), param_hint="--points") from None
        remaining = [each for each in sweep_plays(experiment, out, indices) if not is_complete(each[2])]
        for each, _, path in remaining:
            try:
                check_limits(each)
            except PlayRefused as e:
                raise PlayRefused(f"{path.stem}: {e}") from None
        results: list[Result] = []
        for i, (each, seed, path) in enumerate(remaining):
            click.echo(f"play {i + 1} of {len(remaining)}: {path.stem}", err=True)
            played = _play(base, each, seed, path, logs / path.stem if logs else None)
            results.append(played.result)
            if played.interrupted:
                _exit_with_code(results, True)
        _exit_with_code(results, False)


@main.command()
@click.argument("results", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option(
    "--out",
    required=True,
    type=click.Path(path_type=Path, file_okay=False),
    help="Directory for tables and plots.",
)
@click.option(
    "--page",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Page to write with the tables of this report.",
)
def report(results: tuple[Path, ...], out: Path, page: Path | None) -> None:
    """Write slopes, plots and tables from RESULTS: result files, summaries, or directories of these."""
    with _exit_codes():
        _load("fleetlab.report").write_report(list(results), out, page)


@main.command()
@FILE
def check(file: Path) -> None:
    """Print the processes and memory that FILE needs, and whether they exceed its limits."""
    with _exit_codes():
        experiment = read_experiment(file)
        swept = [
            (result_filename(experiment, p, experiment.seed), at_point(experiment, p))
            for p in sweep_points(experiment)
        ]
        own = (result_filename(experiment, {}, experiment.seed), experiment)
        for name, each in [own, *(s for s in swept if s[0] != own[0])]:
            needs = estimate_resources(each)
            fleet = each.fleet
            click.echo(
                f"{name.removesuffix('.json')}: mode {each.mode}, "
                f"{fleet.real} real and {fleet.hollow} hollow routers, {fleet.servers} servers; "
                f"{needs.processes} processes, about {needs.memory_mb:.0f} MB of {memory_limit(each):.0f} MB"
            )
        for _, each in [own, *swept]:
            check_limits(each)


@main.command()
@FILE
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the first variant.")
@click.option("--count", type=click.IntRange(1), default=12, show_default=True, help="Number of variants.")
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("build/sites"),
    show_default=True,
    help="Directory for site files.",
)
def sites(file: Path, seed: int, count: int, out: Path) -> None:
    """Write random variants of the site FILE, one for each seed, within the choices of operators."""
    with _exit_codes():
        for path in write_variants(file, range(seed, seed + count), out):
            click.echo(str(path))


@main.command()
@click.option("--servers", type=int, multiple=True, default=(60, 300, 930, 3200), show_default=True)
@click.option(
    "--checkout",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    default=Path("."),
    show_default=True,
    help="Where the router's deploy file is, which has been built.",
)
def lists(servers: tuple[int, ...], checkout: Path) -> None:
    """Play changes of the server list on a real router, and print how long requests waited beside them."""
    module = _load("fleetlab.list_changes")
    click.echo(module.table(asyncio.run(module.play_list_changes(checkout, list(servers)))))


@main.command(hidden=True)
@FILE
@click.argument("seed", type=int)
def module(file: Path, seed: int) -> None:
    """Measure the decision module alone; the runner starts this in a process of its own."""
    experiment = msgspec.json.decode(file.read_bytes(), type=Experiment)
    roles = _load("fleetlab.module_costs").measure(experiment, seed)
    click.echo(msgspec.json.encode(Message(roles=roles)))


def _load(name: str) -> Any:
    """Import a module that only some commands need."""
    return importlib.import_module(name)


__all__ = ["main"]
