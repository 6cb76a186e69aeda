"""The runner: what it starts, measures and stops, with a minimal worker that speaks the same messages."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import psutil
import pytest
from click.testing import CliRunner

from fleetlab.cli import main
from fleetlab.experiment import Experiment, ExperimentError, Fault, Fleet
from fleetlab.measure import merge_roles
from fleetlab.results import Metric, Role, read_result
from fleetlab.runner import (
    ROOT,
    Options,
    PlayRefused,
    check_limits,
    choose_addresses,
    current_python_command,
    estimate_resources,
    play,
    prepare_router_command,
    router_seed,
    worker_parts,
)

WORKERS = ["discovery", "caches", "origin", "network", "clients"]
TIMEOUT_S = 30.0  # for waits that normally take about a second
WORKER = """
import json, os, signal, sys, time
from pathlib import Path
plan = json.loads(Path(sys.argv[1]).read_text())
here, part = Path(__file__).parent, plan["part"]
if part == "caches" and (here / "address_in_use").exists():
    (here / "address_in_use").unlink()
    sys.exit("OSError: [Errno 98] Address already in use")
if part == "origin" and (here / "failing").exists():
    sys.exit("cannot start")
if part == "network" and (here / "ignore_sigterm").exists():
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
def send(**line):
    print(json.dumps(line), flush=True)
def report(*signal_arguments):
    metric = {"value": os.getpid(), "unit": "", "count": 1}
    send(roles={part: {"instances": max(len(plan["hollow"]), 1), "metrics": {"pid": metric}}})
    if not signal_arguments:  # the schedule is over: wait until the runner closes standard input
        sys.stdin.read()
    os._exit(0)
if part != "network" or not (here / "ignore_sigterm").exists():
    signal.signal(signal.SIGTERM, report)
send(ready=True, note=f"seed {plan['seed']}, {plan['hollow']}")
schedule_start = json.loads(sys.stdin.readline())["began"]
time.sleep(max(schedule_start + plan["experiment"]["seconds"] - time.time(), 0))
report()
"""
CLI = """
import sys
from fleetlab.cli import main
from fleetlab.runner import Options, current_python_command
worker = [sys.executable, sys.argv[1]]
main(sys.argv[2:], obj=Options(router_command=current_python_command(), worker_command=worker))
"""


@pytest.fixture
def options(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Options:
    monkeypatch.setattr("fleetlab.runner.START_DELAY_S", 0.1)
    script = tmp_path / "worker.py"
    script.write_text(WORKER)
    return Options(router_command=current_python_command(), worker_command=[sys.executable, str(script)])


def child_processes() -> list[psutil.Process]:
    return psutil.Process().children(recursive=True)


@dataclass
class FakeOutage:
    """A period during which a router is down."""

    router: int
    kind: str
    start: float
    end: float


def test_a_play_starts_measures_and_stops_all_processes(options: Options, tmp_path: Path) -> None:
    options.log_dir = tmp_path / "logs"
    faults = [Fault(kind="restart", at=0.1), Fault(kind="router_lost", at=0.2, lasts=0.3)]
    options.outages = lambda plan: [
        FakeOutage(0, "restart", 0.1, 3.8),
        FakeOutage(1, "lost", 0.2, 0.5),
        FakeOutage(2, "lost", 1, 2),
    ]
    fleet = Fleet(real=2, hollow=3, processes=2, zones=2)
    played = play(Experiment(name="x", seconds=1.5, fleet=fleet, faults=faults), 7, options)
    result = played.result
    assert not result.broken_off and not played.interrupted and not child_processes()
    assert set(result.roles) == {*WORKERS, "hollow", "real", "lab"}
    assert result.roles["hollow"].instances == 3
    assert {n for n in result.notes if n.startswith("hollow")} == {
        "hollow-0: seed 7, [2, 4]",
        "hollow-1: seed 7, [3]",
    }
    real = result.roles["real"]
    assert real.instances == 2 and real.metrics["start.ready"].count == 2
    assert real.metrics["ready.again"].count == 2
    assert real.metrics["memory.mb"].value > 5 and real.metrics["descriptors"].value > 3
    assert 0 < real.metrics["cpu.share"].value < 2
    assert "connections" in real.metrics
    assert len(real.seconds["cpu.share"]) == 2 or any("samples missed" in note for note in result.notes)
    assert result.roles["discovery"].metrics["process.memory.mb"].unit == "MB"
    assert "machine.cpu.share" in result.roles["lab"].metrics
    assert result.commit and result.machine.cores
    assert "listening on" in (options.log_dir / "n0.log").read_text()


def test_a_play_over_its_limits_is_refused_before_anything_starts() -> None:
    unusable = Options(worker_command=["/nowhere"], router_command="false")
    with pytest.raises(PlayRefused, match=r"306 processes .* limit of 300"):
        play(Experiment(name="x", fleet=Fleet(real=301), most_processes=1000), 1, unusable)
    with pytest.raises(PlayRefused, match=r"9 processes .* limit of 8"):
        play(Experiment(name="x", most_processes=8), 1, unusable)
    with pytest.raises(PlayRefused, match=r"an estimated \d+ MB exceeds the limit of \d+ MB"):
        play(Experiment(name="x", memory_share=1e-6), 1, unusable)
    with pytest.raises(ExperimentError, match="mode"):
        play(Experiment(name="x", mode="model"), 1, unusable)
    assert check_limits(Experiment(name="x")).processes == 9


def test_a_play_over_the_descriptor_limit_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("fleetlab.runner.resource.getrlimit", lambda _: (100, 500))
    assert check_limits(Experiment(name="x", fleet=Fleet(hollow=200)))
    with pytest.raises(PlayRefused, match=r"needs 530 descriptors, which exceeds the limit of 500"):
        check_limits(Experiment(name="x", fleet=Fleet(real=3, hollow=230)))


def test_estimated_memory_grows_with_routers_and_servers() -> None:
    def memory(**fleet: int) -> float:
        return estimate_resources(Experiment(name="x", fleet=Fleet(**fleet))).memory_mb

    assert memory(real=4, hollow=230) > memory(real=4, hollow=4)
    assert memory(hollow=230, servers=930) - memory(hollow=230, servers=13) > 230 * 0.0042 * 900


def test_hollow_routers_are_dealt_round_robin_and_unused_parts_are_not_started() -> None:
    parts = worker_parts(Experiment(name="x", fleet=Fleet(hollow=7, processes=3)))
    assert [hollow for _, hollow in parts if hollow] == [[4, 7, 10], [5, 8], [6, 9]]
    parts = worker_parts(Experiment(name="x", fleet=Fleet(real=0, hollow=1)))
    assert [part for part, _ in parts] == [*WORKERS[:4], "hollow"]


def test_a_failing_worker_aborts_the_play(options: Options, tmp_path: Path) -> None:
    (tmp_path / "failing").touch()
    played = play(Experiment(name="x", fleet=Fleet(real=0, hollow=1)), 1, options)
    assert played.result.broken_off and not played.interrupted and not child_processes()
    assert any("origin exited with code 1: cannot start" in note for note in played.result.notes)


def test_an_unexpected_exit_of_a_real_router_aborts_the_play(options: Options) -> None:
    options.router_command = "echo no room >&2; exit 4"
    played = play(Experiment(name="x", fleet=Fleet(real=1)), 1, options)
    assert played.result.broken_off and not child_processes()
    assert any("router n0 exited unexpectedly with code 4: no room" in note for note in played.result.notes)


def test_workers_that_are_not_ready_in_time_are_named(options: Options) -> None:
    options.worker_command = ["/bin/sh", "-c", "exec sleep 60"]
    played = play(Experiment(name="x", settle=0.3, fleet=Fleet(real=0, hollow=1)), 1, options)
    assert played.result.broken_off and not child_processes()
    assert any("within 0.3 s (settle): discovery, caches, origin, network" in n for n in played.result.notes)


def test_a_play_starts_again_on_other_addresses_if_one_is_in_use(options: Options, tmp_path: Path) -> None:
    (tmp_path / "address_in_use").touch()
    played = play(Experiment(name="x", seconds=0.2, fleet=Fleet(real=0, hollow=1)), 1, options)
    assert not played.result.broken_off
    assert any(note.startswith("started again on other addresses") for note in played.result.notes)


def test_chosen_addresses_are_reserved() -> None:
    addresses, lock = choose_addresses()
    with lock:
        assert lock.getsockname() == (f"127.{addresses.net}.255.1", addresses.port + 7)
        assert addresses.port + 7 < 32_768


def test_the_decision_module_is_measured_in_a_process_of_its_own(tmp_path: Path) -> None:
    script = tmp_path / "module.py"
    script.write_text('import sys; print(\'{"roles":{"module":{"instances":\' + sys.argv[2] + \'}}}\')')
    experiment = Experiment(name="x", mode="module")
    played = play(
        experiment, 5, Options(module_command=[sys.executable, str(script)], worker_command=["/nowhere"])
    )
    assert not played.result.broken_off and played.result.roles["module"].instances == 5


def test_ctrl_c_stops_all_processes_and_writes_a_result(options: Options, tmp_path: Path) -> None:
    (tmp_path / "cli.py").write_text(CLI)
    file = tmp_path / "x.toml"
    file.write_text("name = 'x'\nseconds = 500\nfleet = {real = 1, hollow = 2, processes = 1}")
    args = [str(tmp_path / "worker.py"), "run", str(file), "--out", str(tmp_path / "out")]
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    command = [sys.executable, str(tmp_path / "cli.py"), *args]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True) as process:
        assert process.stderr is not None
        for line in process.stderr:
            if "playing" in line:
                break
        started = psutil.Process(process.pid).children(recursive=True)
        assert len(started) == 7
        process.send_signal(signal.SIGINT)
        process.stderr.read()
        assert process.wait(TIMEOUT_S) == 130
    assert not psutil.wait_procs(started, TIMEOUT_S)[1]
    result = read_result(tmp_path / "out" / "x-s1.json")
    assert result.broken_off and "broken off: interrupted" in result.notes
    assert result.roles["clients"].metrics["pid"].value in [p.pid for p in started]


def test_a_process_that_ignores_sigterm_is_killed(
    options: Options, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleetlab.runner.TERMINATE_TIMEOUT_S", 0.5)
    (tmp_path / "ignore_sigterm").touch()
    (tmp_path / "failing").touch()
    began = time.monotonic()
    played = play(Experiment(name="x", fleet=Fleet(real=0, hollow=1)), 1, options)
    assert played.result.broken_off and not child_processes()
    assert time.monotonic() - began < TIMEOUT_S


@pytest.mark.parametrize(
    ("text", "code", "message"),
    [
        ("name = 'x'\n[fleet]\nreel = 1", 2, "fleet.reel"),
        ("name = 'x'\nmost_processes = 3", 3, "9 processes (4"),
    ],
)
def test_exit_codes_for_invalid_files_and_exceeded_limits(
    text: str, code: int, message: str, tmp_path: Path
) -> None:
    file = tmp_path / "x.toml"
    file.write_text(text)
    for command in ("check", "run", "sweep"):
        done = CliRunner().invoke(main, [command, str(file)])
        assert done.exit_code == code and message in done.stderr


def test_reports_of_one_part_are_merged_with_metrics_weighted_by_count() -> None:
    def report(instances: int, value: float, count: int) -> dict[str, Role]:
        names = ("cpu.us.list", "force.max")
        metrics = {n: Metric(value, "", count=count) for n in names}
        return {"hollow": Role(instances, metrics, {"rate.list": [value]})}

    from_network = {"hollow": Role(4, {"bytes.in.peers": Metric(9.0, "B/s")})}
    role = merge_roles(
        [("hollow", report(1, 10, 3)), ("hollow", report(3, 20, 1)), ("network", from_network)]
    )["hollow"]
    assert role.instances == 4 and role.metrics["bytes.in.peers"].value == 9
    assert role.metrics["cpu.us.list"] == Metric(12.5, "", 10, 20, 4)
    assert role.metrics["force.max"].value == 20
    assert role.seconds == {"rate.list": [17.5]}


def test_real_routers_are_started_by_the_deploy_file(tmp_path: Path) -> None:
    (tmp_path / "deploy").mkdir()
    deploy = tmp_path / "deploy" / "balancer.toml"
    deploy.write_text('build = "mkdir .venv"\nrun = "exec it"\n')
    assert prepare_router_command(tmp_path) == ("exec it", []) and (tmp_path / ".venv").exists()
    (tmp_path / ".venv").rmdir()
    deploy.write_text('build = "false"\nrun = "exec it"\n')
    command, (note,) = prepare_router_command(tmp_path)
    assert command == current_python_command() and "build failed" in note


def test_a_router_gets_a_new_seed_at_each_start_and_the_same_when_a_play_is_repeated() -> None:
    def seeds(seed: int) -> list[str]:
        return [router_seed(seed, number, start) for number in range(3) for start in range(3)]

    assert seeds(1) == seeds(1)
    assert len({*seeds(1), *seeds(2)}) == 18 and all(int(s, 16) >= 0 for s in seeds(1))


def test_a_sweep_plays_points_without_a_complete_result_and_continues_after_a_failure(
    options: Options, tmp_path: Path
) -> None:
    file, out = tmp_path / "x.toml", tmp_path / "out"
    file.write_text(
        "name = 'x'\nseconds = 0.2\nfleet = {real = 0, hollow = 1}\n"
        "sweep = {plays = 1, axes = {'fleet.servers' = [1, 2, 3]}}"
    )
    (tmp_path / "failing").touch()
    done = CliRunner().invoke(main, ["sweep", str(file), "--out", str(out), "--points", "1..2"], obj=options)
    assert done.exit_code == 1
    assert [p.name for p in sorted(out.iterdir())] == [f"x-fleet.servers-{n}-s1.json" for n in (1, 2)]
    assert all(read_result(p).broken_off for p in out.iterdir())
    (tmp_path / "failing").unlink()
    done = CliRunner().invoke(main, ["sweep", str(file), "--out", str(out), "--points", "2"], obj=options)
    assert done.exit_code == 0 and "play 1 of 1" in done.stderr
    done = CliRunner().invoke(main, ["sweep", str(file), "--out", str(out), "--points", "2"], obj=options)
    assert done.exit_code == 0 and "play" not in done.stderr
