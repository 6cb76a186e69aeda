"""The format of result files (JSON): the experiment, the machine, and the measurements of each role."""

from __future__ import annotations

from pathlib import Path

import msgspec

from fleetlab.experiment import Experiment


class Machine(msgspec.Struct, frozen=True):
    """The machine that an experiment was played on."""

    processor: str
    cores: int
    memory_mb: int
    python: str


class Metric(msgspec.Struct):
    """A figure of a role: the mean over its instances, or a total, and the range over instances."""

    value: float
    unit: str
    low: float = 0.0
    high: float = 0.0
    count: int = 0  # samples or instances behind the mean


class Role(msgspec.Struct):
    """The measurements of all instances of a role.

    Metrics by name. They cover the schedule and not the start, unless the name begins with `start.`:

    - `cpu.share`, cores used by each instance for all of its work; `cpu.us.KIND`, microseconds per event of a
      kind, and `rate.KIND`, events of a kind per second at each instance, where KIND is list, change,
      request, outcome, peer, timer, call or tell; `cpu.control`, cores used for all but request and outcome
    - `memory.mb`, `state.mb` (of one instance of the decision module), `descriptors`, `connections`
    - `bytes.in.peers`, `bytes.out.peers`, `bytes.in.discovery`, `bytes.out.discovery`, per second at each
      instance
    - `calls` per second, `calls.failed`, `calls.waiting` (greatest length of the queue)
    - `force.p50`, `force.p99`, `force.max`, seconds until a change is in force
    - `cold.window`, requests in a cold server's fullest window as a share of the overload limit
    - `served`, `late`, `failed`, shares of requests
    """

    instances: int
    metrics: dict[str, Metric] = {}
    seconds: dict[str, list[float]] = {}  # a metric's value in each second of the schedule


class Result(msgspec.Struct):
    """The result of one play."""

    experiment: Experiment
    seed: int
    commit: str
    dirty: bool
    command: str
    began: str  # UTC, ISO 8601
    machine: Machine
    # by name: real, hollow, full, module, discovery, caches, origin, clients, network, lab
    roles: dict[str, Role] = {}
    notes: list[str] = []  # deviations from the experiment file, and warnings
    broken_off: bool = False  # the play failed or was interrupted; the metrics are partial


def write_result(path: Path, result: Result) -> None:
    """Write a result file as indented JSON, and its directory if missing."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


def read_result(path: Path) -> Result:
    """Read a result file. Raises OSError, or msgspec.MsgspecError for a file of another form."""
    return msgspec.json.decode(path.read_bytes(), type=Result)
