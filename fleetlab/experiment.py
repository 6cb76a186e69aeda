"""What an experiment file may say.

Times are seconds, rates are events a second, shares are between 0 and 1, sizes are numbers of things; `at`
counts from the start of the schedule, which begins once all are up.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Literal

import msgspec

Mode = Literal["live", "module", "model"]


class Base(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table of the file; a key that it does not know is an error."""


class Fleet(Base, frozen=True):
    """How many of each there are."""

    real: int = 4  # routers, a process of the deploy file's `run` each
    hollow: int = 0  # routers that share processes: the module with real discovery and peers
    processes: int = 2  # that the hollow ones share
    servers: int = 13
    zones: int = 4  # of servers and routers alike
    listening: float = (
        1.0  # share of the hollow routers that hear peers: hearing all costs the square of the fleet
    )
    full: int = (
        0  # hollow routers that are asked `requests.full_rate`, the first of each process before others
    )


class Requests(Base, frozen=True):
    """What clients ask for."""

    rate: float = 20.0  # requests a second at each real router, by clients over real connections
    hollow_rate: float = 4.0  # at each hollow router, made by a model
    full_rate: float = 565.0  # at each of `fleet.full` hollow routers
    keys: int = 2000
    zipf: float = 1.0
    hits: float = 0.9  # share of reads that a warm server has
    writes: float = 0.02
    latency_ms: float = 50.0  # usual time of a cache server


class Discovery(Base, frozen=True):
    """The stand-in's capacity: calls are served one after another."""

    call_ms: float = 2.0  # of service for each call that begins a watch or asks for the list
    line_us: float = 20.0  # more for each entry that an answer holds
    timeout: float = 2.0  # a call that waits longer in turn is ended with 503
    lag: float = 0.0  # from a change until discovery has it


class Network(Base, frozen=True):
    """Datagrams between routers."""

    loss: float = 0.0  # share lost
    doubled: float = 0.0  # share that arrives twice
    late_ms: float = 0.0  # mean time on the way, drawn anew for each
    garbled: float = 0.0  # share with a byte changed


class Fault(Base, frozen=True):
    """Something that happens `at` a time, for `lasts` seconds."""

    kind: Literal[
        "restart",  # of `count` routers, spread over `lasts`; real ones with SIGTERM
        "router_lost",  # `count` routers gone for `lasts`, then back from nothing
        "servers_change",  # `count` are replaced, spread over `lasts`: old ones drain, new are cold
        "servers_lost",  # `count` servers vanish for `lasts` and come back cold
        "servers_hang",  # `count` servers say nothing for `lasts`
        "zone_lost",  # all servers and routers of zone `zone`, for `lasts`, back cold
        "region_cut",  # zone `zone` cannot reach the others (datagrams and attempts) for `lasts`
        "discovery_down",  # refuses calls and ends watches for `lasts`
        "changes",  # `count` changes of weight, spread over `lasts`
        "lists_late",  # discovery's lag grows by `count` seconds for `lasts`
        "network",  # `loss` of all datagrams for `lasts`
    ]
    at: float
    lasts: float = 0.0
    count: int = 1
    zone: int = 0
    loss: float = 0.0


class Sweep(Base, frozen=True):
    """The points of a sweep: each axis by itself from the experiment's own values, or all together."""

    axes: dict[str, list[float]] = {}  # "fleet.hollow" = [4, 40, 230], by the names of this file
    together: bool = False  # the i-th value of every axis makes the i-th point
    plays: int = 3  # of each point, with seeds that follow each other


class Experiment(Base, frozen=True):
    """One file."""

    name: str
    mode: Mode = "live"
    seed: int = 1
    seconds: float = 30.0  # of the schedule
    settle: float = 20.0  # at most, until all are up
    shortest_aim: float = 1.0  # of the classes that routers are told
    must_ask_in: float = 10.0  # 0: lists are pushed
    drain_grace: float = 2.5
    cold_share: float = 0.13
    ramp: float = 23.0
    fall_multiple: float = 3.0
    fall_window: float = 1.5
    fleet: Fleet = Fleet()
    requests: Requests = Requests()
    discovery: Discovery = Discovery()
    network: Network = Network()
    faults: list[Fault] = []
    sweep: Sweep = Sweep()
    memory_share: float = 0.5  # of the machine's memory, at most
    most_processes: int = 300


class ExperimentError(ValueError):
    """An experiment that can't be played; the message names file, key and what was wanted."""


SHARES = [
    "cold_share",
    "fleet.listening",
    "requests.hits",
    "requests.writes",
    "network.loss",
    "network.doubled",
    "network.garbled",
]
MOST_MEMORY = 0.5  # of the machine's: the rest is for whatever else it does
AT_LEAST = {
    "seconds": 0.1,
    "settle": 0.1,
    "shortest_aim": 0.01,
    "must_ask_in": 0,
    "drain_grace": 0,
    "ramp": 0,
    "fall_multiple": 0,
    "fall_window": 0,
    "fleet.real": 0,
    "fleet.hollow": 0,
    "fleet.processes": 1,
    "fleet.servers": 1,
    "fleet.zones": 1,
    "fleet.full": 0,
    "requests.rate": 0,
    "requests.hollow_rate": 0,
    "requests.full_rate": 0,
    "requests.keys": 1,
    "requests.zipf": 0,
    "requests.latency_ms": 0,
    "discovery.call_ms": 0,
    "discovery.line_us": 0,
    "discovery.timeout": 0,
    "discovery.lag": 0,
    "network.late_ms": 0,
    "sweep.plays": 1,
    "most_processes": 1,
}
MOST_ADDRESSES = 14_000  # of one kind in a plan's block of loopback addresses


def _said(error: msgspec.ValidationError) -> str:
    """msgspec's message as `KEY: what was wanted`, with the key's whole path."""
    text, _, place = str(error).partition(" - at ")
    path = place.strip("`").removeprefix("$").removeprefix(".")
    field = re.search(r"(?:unknown|required) field `([^`]+)`", text)
    if field is None:
        return f"{path}: {text[0].lower()}{text[1:]}"
    key = f"{path}.{field[1]}" if path else field[1]
    return f"{key}: " + ("no such key" if "unknown" in text else "wanted, but not there")


def _value(tree: Any, key: str) -> Any:
    """The value under a dotted key. Raises LookupError, TypeError or ValueError where there is none."""
    for part in key.split("."):
        tree = tree[int(part)] if isinstance(tree, list) else tree[part]
    return tree


def _endless(tree: Any, path: str = "") -> str | None:
    """The key of a number that is not finite."""
    if isinstance(tree, float) and not math.isfinite(tree):
        return path
    items = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
    return next(filter(None, (_endless(v, f"{path}.{k}" if path else str(k)) for k, v in items)), None)


def _wrong(experiment: Experiment) -> str | None:
    """What is wrong with values of the right type, as `KEY: what was wanted`."""
    tree = msgspec.to_builtins(experiment)
    fleet = experiment.fleet
    if key := _endless(tree):
        return f"{key}: wanted a finite number"
    if not re.fullmatch(r"[A-Za-z0-9_]+", experiment.name):
        return f"name: wanted letters, digits and _ (it names files), not {experiment.name!r}"
    for key, least in AT_LEAST.items():
        if (value := _value(tree, key)) < least:
            return f"{key}: wanted {least} or more, not {value:g}"
    for key in SHARES:
        if not 0 <= (value := _value(tree, key)) <= 1:
            return f"{key}: wanted a share, 0 to 1, not {value:g}"
    if not 0 <= experiment.memory_share <= MOST_MEMORY:
        return f"memory_share: wanted {MOST_MEMORY} at most, not {experiment.memory_share:g}"
    if not 1 <= fleet.real + fleet.hollow <= MOST_ADDRESSES:
        return f"fleet.real: wanted 1 to {MOST_ADDRESSES} routers, fleet.real and fleet.hollow together"
    if fleet.servers > MOST_ADDRESSES:
        return f"fleet.servers: wanted {MOST_ADDRESSES} at most, not {fleet.servers}"
    if fleet.full > fleet.hollow:
        return f"fleet.full: wanted fleet.hollow ({fleet.hollow}) at most, not {fleet.full}"
    wrongs = (_wrong_fault(experiment, i) for i in range(len(experiment.faults)))
    return next(filter(None, wrongs), None)


def _wrong_fault(experiment: Experiment, number: int) -> str | None:
    """What is wrong with a fault."""
    fault, zones, place = experiment.faults[number], experiment.fleet.zones, f"faults[{number}]"
    if fault.at < 0 or fault.lasts < 0 or fault.at + fault.lasts > experiment.seconds:
        return (
            f"{place}.at: wanted inside the schedule of {experiment.seconds:g} s, "
            f"not {fault.at:g} s and {fault.lasts:g} s more"
        )
    if fault.count < 1:
        return f"{place}.count: wanted 1 or more, not {fault.count}"
    if not 0 <= fault.zone < zones:
        return f"{place}.zone: wanted 0 to {zones - 1}, not {fault.zone}"
    if not 0 <= fault.loss <= 1:
        return f"{place}.loss: wanted a share, 0 to 1, not {fault.loss:g}"
    return None


def check(experiment: Experiment) -> Experiment:
    """The same experiment. Raises ExperimentError, of the form `KEY: what was wanted`."""
    if (wrong := _wrong(experiment)) is not None:
        raise ExperimentError(wrong)
    return experiment


def at_point(experiment: Experiment, point: Mapping[str, float]) -> Experiment:
    """The experiment with some numbers replaced, by dotted key: `{"fleet.hollow": 230, "faults.0.at": 3}`.

    Raises ExperimentError that names a key that holds no number, or a value that can't be.
    """
    tree = msgspec.to_builtins(experiment)
    for key, value in point.items():
        *above, last = key.split(".")
        try:
            table = _value(tree, ".".join(above)) if above else tree
            was = _value(table, last)
        except (LookupError, TypeError, ValueError):
            was = None
        if isinstance(was, bool) or not isinstance(was, (int, float)):
            raise ExperimentError(f"sweep.axes.{key}: no such number in an experiment")
        whole = isinstance(was, int) and value == int(value)
        table[int(last) if isinstance(table, list) else last] = int(value) if whole else value
    try:
        return check(msgspec.convert(tree, Experiment))
    except msgspec.ValidationError as e:
        raise ExperimentError(_said(e)) from None


def points(experiment: Experiment) -> list[dict[str, float]]:
    """The points of its sweep, in order; one that changes nothing where there are no axes.

    Raises ExperimentError where axes that go together differ in length.
    """
    axes = experiment.sweep.axes
    if not axes:
        return [{}]
    if not experiment.sweep.together:
        return [{axis: value} for axis, values in axes.items() for value in values]
    if len({len(values) for values in axes.values()}) > 1:
        raise ExperimentError("sweep.axes: wanted as many values of each axis, as sweep.together is true")
    return [dict(zip(axes, values, strict=True)) for values in zip(*axes.values(), strict=True)]


def read_experiment(path: Path) -> Experiment:
    """Read and check a file and each point of its sweep.

    Raises ExperimentError, of the form `FILE: KEY: what was wanted`.
    """
    try:
        experiment = check(msgspec.convert(tomllib.loads(path.read_text()), Experiment))
        for point in points(experiment):
            try:
                at_point(experiment, point)
            except ExperimentError as e:
                where = ", ".join(f"{axis} = {value:g}" for axis, value in point.items())
                raise ExperimentError(f"{e} (at {where})" if where else str(e)) from None
    except (OSError, UnicodeDecodeError) as e:
        raise ExperimentError(f"{path}: wanted a file that can be read: {e}") from None
    except tomllib.TOMLDecodeError as e:
        raise ExperimentError(f"{path}: wanted TOML: {e}") from None
    except msgspec.ValidationError as e:
        raise ExperimentError(f"{path}: {_said(e)}") from None
    except ExperimentError as e:
        raise ExperimentError(f"{path}: {e}") from None
    return experiment
