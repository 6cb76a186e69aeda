"""Plays one experiment: starts all processes in order, stops and restarts real routers, and measures."""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import os
import platform
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Protocol, cast

import msgspec
import orjson
import psutil

from fleetlab.experiment import Experiment, ExperimentError
from fleetlab.measure import MonitoredProcess, Sampler, mean_and_range, merge_roles
from fleetlab.plan import Addresses, Message, Part, Plan, hollow_by_process, router_config
from fleetlab.results import Machine, Result, Role

ROOT = Path(__file__).parent.parent
MAX_PROCESSES = 300  # whatever an experiment file allows
MAX_LINE_BYTES = 64 << 20  # of a worker's report
ROUTER_SOCKETS = 1024  # descriptors of a real router, as on the platform
START_DELAY_S = 0.5  # from announcing the start of the schedule until it begins
BUSY_SHARE = 0.9  # of the machine's processor time; above it measured times are reported as unreliable
REPORT_TIMEOUT_S = 20.0  # for the workers' reports, after the schedule
TERMINATE_TIMEOUT_S = 8.0  # from SIGTERM to SIGKILL; workers take up to five seconds for their report
MAX_STARTS = 3  # of a play, each on other addresses, if another process has taken one of them meanwhile
BUILD_TIMEOUT_S = 1200.0  # for the deploy file's `build`
MODULE_TIMEOUT_S = 3600.0  # for a play that measures the decision module alone
PARTS_BEFORE_ROUTERS: tuple[Part, ...] = ("discovery", "caches", "origin", "network")


class PlayRefused(Exception):
    """A play can't be started within the limits; the message names the figure and the limit."""


class PlayFailed(Exception):
    """A play can't continue; the message gives the cause."""


class Outage(Protocol):
    """A period during which a router is down, in seconds from the start of the schedule.

    `fleetlab.standins.schedule.RouterOutage` has this interface.
    """

    router: int
    kind: Any  # "restart": SIGTERM, and started again at once; "lost": SIGKILL, and started again at `end`
    start: float
    end: float


@dataclass(slots=True, frozen=True)
class Estimate:
    """The processes that a play would start, and the resources that they need."""

    workers: int
    routers: int
    memory_mb: float
    descriptors: int  # of the process with the most: discovery, with a listener and a connection per router

    @property
    def processes(self) -> int:
        """The number of processes."""
        return self.workers + self.routers


def worker_parts(experiment: Experiment) -> list[tuple[Part, list[int]]]:
    """Return the workers of a live play in the order of their start, each with its hollow routers."""
    fleet = experiment.fleet
    parts: list[tuple[Part, list[int]]] = [(part, []) for part in PARTS_BEFORE_ROUTERS]
    parts += [("hollow", numbers) for numbers in hollow_by_process(experiment)]
    if fleet.real:
        parts.append(("clients", []))
    return parts


def estimate_resources(experiment: Experiment) -> Estimate:
    """Estimate, on the high side, the processes, memory and descriptors that a play needs.

    A worker takes 45 MB; a real router 35 MB; a router's state for one server 4.2 kB; a hollow router 0.3 MB;
    a stand-in's sockets and tasks 60 kB for each router and 20 kB for each server.
    """
    fleet = experiment.fleet
    if experiment.mode == "module":
        return Estimate(1, 0, 45 + 0.3 + 0.02 * (fleet.real + fleet.hollow) + 0.0042 * fleet.servers, 64)
    server_state = 0.0042 * fleet.servers
    workers = len(worker_parts(experiment))
    standins = 0.06 * (fleet.real + fleet.hollow) * 2 + 0.02 * fleet.servers  # discovery and network
    memory = 45 * workers + (35 + server_state) * fleet.real + (0.3 + server_state) * fleet.hollow + standins
    return Estimate(workers, fleet.real, memory, 64 + 2 * (fleet.real + fleet.hollow))


def check_limits(experiment: Experiment) -> Estimate:
    """Return the estimate for a play. Raises PlayRefused if the file's limits or the machine forbid it."""
    needs = estimate_resources(experiment)
    max_processes = min(experiment.most_processes, MAX_PROCESSES)
    if needs.processes > max_processes:
        raise PlayRefused(
            f"{needs.processes} processes ({needs.routers} real routers, {needs.workers} workers) exceed "
            f"the limit of {max_processes} (most_processes, and {MAX_PROCESSES} in any case)"
        )
    memory = memory_limit(experiment)
    if needs.memory_mb > memory:
        raise PlayRefused(
            f"an estimated {needs.memory_mb:.0f} MB exceeds the limit of {memory:.0f} MB "
            f"(memory_share = {experiment.memory_share:g} of the machine's memory)"
        )
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and needs.descriptors > hard:
        raise PlayRefused(
            f"discovery needs {needs.descriptors} descriptors, which exceeds the limit of {hard} (ulimit -Hn)"
        )
    return needs


def memory_limit(experiment: Experiment) -> float:
    """Return the most memory that a play may take, in MB."""
    return experiment.memory_share * psutil.virtual_memory().total / 1e6


def prepare_router_command(root: Path = ROOT) -> tuple[str, list[str]]:
    """Return the shell command that starts a real router, and notes for the result.

    It is the deploy file's `run`, after its `build` if there is no virtual environment yet. If the build
    fails, the laboratory's own Python runs the same program, and a note says so.
    """
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    if (root / ".venv").exists():
        return deploy["run"], []
    try:
        subprocess.run(
            ["/bin/sh", "-c", deploy["build"]],
            cwd=root,
            check=True,
            timeout=BUILD_TIMEOUT_S,
            stdout=sys.stderr,
        )
    except (subprocess.SubprocessError, OSError) as e:
        return current_python_command(), [f"real routers ran with the laboratory's Python: build failed: {e}"]
    return deploy["run"], []


def current_python_command() -> str:
    """Return the shell command that starts a real router with this Python, without a build."""
    return f"exec '{sys.executable}' -B -m brackenwalk"


def router_outages(plan: Plan) -> Sequence[Outage]:
    """Return the outages of all routers, which every worker derives from the same plan."""
    schedule: Any = importlib.import_module("fleetlab.standins.schedule")
    return cast(Sequence[Outage], schedule.router_outages(plan))


def router_seed(seed: int, number: int, start: int) -> str:
    """Return a real router's seed: different at each of its starts, and equal when a play is repeated."""
    return f"{random.Random(f'{seed} {number} {start}').getrandbits(64):016x}"


def _no_progress(stage: str, done: float, total: float) -> None:
    """Show no progress."""


@dataclass(slots=True)
class Options:
    """The options of a play that are not part of its experiment."""

    router_command: str = ""  # a real router's shell command; empty: that of `prepare_router_command`
    worker_command: Sequence[str] = (sys.executable, "-B", "-m", "fleetlab.worker")
    module_command: Sequence[str] = (sys.executable, "-B", "-m", "fleetlab", "module")
    outages: Callable[[Plan], Sequence[Outage]] = router_outages
    log_dir: Path | None = None  # where all logs are kept
    command_line: str = ""  # for the result
    progress: Callable[[str, float, float], None] = _no_progress  # stage, seconds done, seconds in all


@dataclass(slots=True)
class FinishedPlay:
    """A play's result, and whether a signal interrupted it."""

    result: Result
    interrupted: bool


def choose_addresses() -> tuple[Addresses, socket.socket]:
    """Return free addresses, and a bound socket that keeps other runs from using them until it is closed.

    The ports are below the system's range for outgoing connections, so that none of these takes one later.
    """
    for _ in range(50):
        addresses = Addresses(random.randint(2, 254), random.randrange(10_000, 32_000, 8))
        streams = [
            addresses.client_listen(0),
            addresses.discovery(0),
            addresses.server(0),
            addresses.origin(),
        ]
        datagrams = [addresses.peer_listen(0), addresses.peer_advertised(0), addresses.peers_all()]
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"127.{addresses.net}.255.1", addresses.port + 7))
            for kind, texts in ((socket.SOCK_STREAM, streams), (socket.SOCK_DGRAM, datagrams)):
                for text in texts:
                    host, _, port = text.rpartition(":")
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, int(port)))
        except OSError:
            lock.close()
            continue
        return addresses, lock
    raise PlayRefused("no free addresses on loopback after 50 attempts")


def git_commit(root: Path = ROOT) -> tuple[str, bool]:
    """Return the current commit, and whether files differ from it."""
    try:
        head = subprocess.run(
            ["git", "rev-parse", "HEAD"], cwd=root, capture_output=True, text=True, check=True, timeout=20
        )
        status = subprocess.run(
            ["git", "status", "--porcelain"], cwd=root, capture_output=True, text=True, check=True, timeout=20
        )
    except (OSError, subprocess.SubprocessError):
        return "unknown", True
    return head.stdout.strip(), bool(status.stdout.strip())


def describe_machine() -> Machine:
    """Return this machine's description for the result."""
    name = platform.processor() or platform.machine()
    with contextlib.suppress(OSError):
        lines = Path("/proc/cpuinfo").read_text().splitlines()
        name = next((x.partition(":")[2].strip() for x in lines if x.startswith("model name")), name)
    memory = int(psutil.virtual_memory().total / 1e6)
    return Machine(name, psutil.cpu_count() or 1, memory, platform.python_version())


def raise_descriptor_limit() -> int:
    """Raise this process's soft limit on descriptors, which workers inherit, to the hard one; return that."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


async def responds_to_ping(address: str) -> bool:
    """Return whether a router answers PING with +PONG within a second."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            return await reader.readline() == b"+PONG\r\n"
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()


@dataclass(slots=True, eq=False)
class ChildProcess:
    """A process of the play, in a process group of its own: a terminal's Ctrl-C reaches the runner only."""

    name: str
    part: str  # a worker's part, or `real`
    process: asyncio.subprocess.Process
    log: Path
    number: int = 0  # of a real router
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    reported: asyncio.Event = field(
        default_factory=asyncio.Event
    )  # set once its report has arrived, or the process has exited
    roles: dict[str, Role] = field(default_factory=dict)
    exit_expected: bool = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to its process group, if it still runs."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, number)

    def log_tail(self) -> str:
        """Return the last lines of its log."""
        with contextlib.suppress(OSError):
            return " / ".join(self.log.read_text(errors="replace").splitlines()[-3:])[-600:]
        return ""


class Play:
    """One play of an experiment, on one set of addresses."""

    def __init__(
        self, experiment: Experiment, seed: int, options: Options, directory: Path, addresses: Addresses
    ) -> None:
        self.experiment, self.options, self.directory = experiment, options, directory
        self.plan = Plan("discovery", experiment, addresses, seed)
        self.children: list[ChildProcess] = []
        self.routers: dict[int, ChildProcess] = {}
        self.notes: list[str] = []
        self.sampler = Sampler()
        self.first_start_times: list[float] = []  # seconds until a real router was ready
        self.restart_times: list[float] = []
        self.start_counts: dict[int, int] = {}  # by real router
        self.failure: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.tasks: set[asyncio.Task[None]] = set()
        self.outage_tasks: set[asyncio.Task[None]] = set()
        self.spawning: set[asyncio.Task[ChildProcess]] = set()
        self.log_dir = options.log_dir or directory / "logs"
        self.log_dir.mkdir(parents=True, exist_ok=True)

    def fail(self, cause: str) -> None:
        """Abort the play; the first cause is kept."""
        if not self.failure.done():
            self.failure.set_result(cause)

    def _create_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work concurrently with the schedule; an exception in it aborts the play."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fail(f"{type(error).__name__}: {error}")

    async def _spawn(
        self, name: str, part: str, command: Sequence[str], env: dict[str, str] | None = None
    ) -> ChildProcess:
        """Start a process. Shielded, so that a cancelled caller leaves no process that is not recorded."""
        task = asyncio.get_running_loop().create_task(self._spawn_process(name, part, command, env))
        self.spawning.add(task)
        task.add_done_callback(self.spawning.discard)
        return await asyncio.shield(task)

    async def _spawn_process(
        self, name: str, part: str, command: Sequence[str], env: dict[str, str] | None
    ) -> ChildProcess:
        log = self.log_dir / f"{name}.log"
        with log.open("ab") as sink:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL if part == "real" else asyncio.subprocess.PIPE,
                stdout=sink if part == "real" else asyncio.subprocess.PIPE,
                stderr=sink,
                start_new_session=True,
                limit=MAX_LINE_BYTES,
            )
        child = ChildProcess(name, part, process, log)
        self.children.append(child)
        return child

    async def _start_worker(self, part: str, name: str, command: Sequence[str]) -> None:
        child = await self._spawn(name, part, command)
        self._create_task(self._read_messages(child))
        if part != "module":
            await child.ready.wait()

    async def _start_parts(self, parts: Sequence[tuple[Part, list[int]]]) -> None:
        """Start workers, and wait until all are ready."""
        starting = []
        for i, (part, hollow) in enumerate(parts):
            name = f"{part}-{i}" if part == "hollow" else part
            path = self.directory / f"{name}.json"
            plan = msgspec.structs.replace(self.plan, part=part, hollow=hollow)
            path.write_bytes(msgspec.json.encode(plan))
            starting.append(self._start_worker(part, name, [*self.options.worker_command, str(path)]))
        await asyncio.gather(*starting)

    async def _read_messages(self, child: ChildProcess) -> None:
        """Process a worker's messages until it exits."""
        output = cast(asyncio.StreamReader, child.process.stdout)
        try:
            while line := await output.readline():
                try:
                    message = msgspec.json.decode(line, type=Message)
                except msgspec.MsgspecError as e:
                    self.notes.append(f"{child.name} sent an invalid message ({e}): {line[:80]!r}")
                    continue
                if message.note:
                    self.notes.append(f"{child.name}: {message.note}")
                if message.roles:
                    child.roles = message.roles
                    child.reported.set()
                if message.ready:
                    child.ready.set()
        except ValueError:
            self.notes.append(f"{child.name}: a line over {MAX_LINE_BYTES >> 20} MB")
        code = await child.process.wait()
        child.reported.set()
        if not child.exit_expected and not (code == 0 and child.roles):
            self.fail(f"{child.name} exited with code {code}: {child.log_tail()}")

    async def _start_router(self, number: int, ready_times: list[float]) -> None:
        """Start or restart a real router, wait until it answers PING, and record how long that took."""
        began = time.monotonic()
        name, start = f"n{number}", self.start_counts.get(number, 0)
        self.start_counts[number] = start + 1
        start_directory = self.directory / f"{name}-{start}"
        temporary = start_directory / "tmp"  # private, and empty at each start
        temporary.mkdir(parents=True)
        config = router_config(self.plan, number, sockets=ROUTER_SOCKETS)
        config["seed"] = router_seed(self.plan.seed, number, start)
        path = start_directory / "config.json"
        path.write_bytes(orjson.dumps(config))
        env = {
            **os.environ,
            "RELAY_NAME": name,
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        shell = f"ulimit -Sn {ROUTER_SOCKETS}; {self.options.router_command}"
        child = await self._spawn(name, "real", ["/bin/sh", "-c", shell], env)
        child.number = number
        self.routers[number] = child
        self._create_task(self._watch_router(child))
        while not await responds_to_ping(config["listen"]):
            await asyncio.sleep(0.05)
        ready_times.append(time.monotonic() - began)

    async def _watch_router(self, child: ChildProcess) -> None:
        code = await child.process.wait()
        if not child.exit_expected:
            self.fail(f"router {child.name} exited unexpectedly with code {code}: {child.log_tail()}")

    async def start(self) -> None:
        """Start all processes in order. Raises TimeoutError if they are not ready in time."""
        parts = worker_parts(self.experiment)
        async with asyncio.timeout(self.experiment.settle):
            await self._start_parts([p for p in parts if p[0] in PARTS_BEFORE_ROUTERS])
            real = (self._start_router(n, self.first_start_times) for n in range(self.experiment.fleet.real))
            await asyncio.gather(self._start_parts([p for p in parts if p[0] == "hollow"]), *real)
            await self._start_parts([p for p in parts if p[0] == "clients"])

    async def _play_outage(self, outage: Outage, schedule_start: float) -> None:
        """Stop a real router and start it again."""
        await asyncio.sleep(schedule_start + outage.start - time.time())
        child = self.routers[outage.router]
        if child.exit_expected:
            self.notes.append(f"{child.name} was down already at {outage.start:g} s")
            return
        child.exit_expected = True
        child.signal(signal.SIGTERM if outage.kind == "restart" else signal.SIGKILL)
        try:
            async with asyncio.timeout(TERMINATE_TIMEOUT_S):
                await child.process.wait()
        except TimeoutError:
            self.notes.append(
                f"{child.name} did not exit within {TERMINATE_TIMEOUT_S:g} s of SIGTERM; killed"
            )
            child.signal(signal.SIGKILL)
            await child.process.wait()
        if outage.kind != "restart":
            await asyncio.sleep(schedule_start + outage.end - time.time())
        try:
            async with asyncio.timeout(self.experiment.settle):
                await self._start_router(outage.router, self.restart_times)
        except TimeoutError:
            self.fail(f"{child.name} was not ready again within {self.experiment.settle:g} s (settle)")

    def _monitored(self) -> list[MonitoredProcess]:
        """Return all processes to sample.

        Workers' metrics get a prefix, as `cpu.share` of the role `hollow` is that of a single router.
        """
        monitored = [MonitoredProcess("lab", "runner", os.getpid())]
        for child in self.children:
            if child.process.returncode is not None:
                continue
            if child.part == "real":
                monitored.append(MonitoredProcess("real", child.name, child.process.pid, connections=True))
            else:
                monitored.append(MonitoredProcess(child.part, child.name, child.process.pid, "process."))
        return monitored

    async def _sample(self) -> None:
        memory, limit = (
            await asyncio.to_thread(self.sampler.sample, self._monitored()),
            memory_limit(self.experiment),
        )
        if memory > limit:
            self.fail(f"{memory:.0f} MB in use exceed the limit of {limit:.0f} MB (memory_share)")

    async def schedule(self) -> None:
        """Play the schedule, and wait for the workers' reports. Raises PlayFailed if one is missing."""
        schedule_start, seconds = time.time() + START_DELAY_S, self.experiment.seconds
        workers = [c for c in self.children if c.part != "real"]
        for worker in workers:
            if worker.process.stdin is not None:
                worker.process.stdin.write(orjson.dumps({"began": schedule_start}) + b"\n")
        for outage in self.options.outages(self.plan) if self.experiment.faults else []:
            if outage.router < self.experiment.fleet.real:
                self.outage_tasks.add(self._create_task(self._play_outage(outage, schedule_start)))
        second, missed = 0.0, 0
        while True:
            await asyncio.sleep(schedule_start + second - time.time())
            await self._sample()
            self.options.progress("playing", second, seconds)
            if second >= seconds:
                break
            behind = max(int(time.time() - schedule_start - second) - 1, 0)
            missed += behind
            second = min(second + 1 + behind, seconds)
        if missed:
            self.notes.append(f"{missed} samples missed: the machine was too busy to sample every second")
        if self.outage_tasks:  # restarts near the end still count
            await asyncio.wait(self.outage_tasks, timeout=self.experiment.settle)
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                await asyncio.gather(*(w.reported.wait() for w in workers))
        except TimeoutError:
            late = ", ".join(w.name for w in workers if not w.reported.is_set())
            raise PlayFailed(
                f"no report within {REPORT_TIMEOUT_S:g} s of the schedule's end: {late}"
            ) from None

    async def measure_module(self) -> None:
        """Have the decision module measured alone, in a process of its own."""
        path = self.directory / "module.json"
        path.write_bytes(msgspec.json.encode(self.experiment))
        await self._start_worker(
            "module", "module", [*self.options.module_command, str(path), str(self.plan.seed)]
        )
        began = time.monotonic()
        while not self.children[0].reported.is_set():
            elapsed = time.monotonic() - began
            if elapsed > MODULE_TIMEOUT_S:
                raise PlayFailed(f"the module's measurement took over {MODULE_TIMEOUT_S:g} s")
            await self._sample()
            self.options.progress("measuring the module", elapsed, 0.0)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.children[0].reported.wait(), 1.0)

    async def stop(self) -> None:
        """Stop all processes with SIGTERM, whereupon workers may still report, then with SIGKILL."""
        for task in self.outage_tasks:
            task.cancel()
        await asyncio.gather(*self.spawning, return_exceptions=True)
        for child in self.children:
            child.exit_expected = True
        for child in self.children:
            if child.process.stdin is not None:
                child.process.stdin.close()
            child.signal(signal.SIGTERM)
        waits = [asyncio.ensure_future(c.process.wait()) for c in self.children]
        if waits:
            await asyncio.wait(waits, timeout=TERMINATE_TIMEOUT_S)
        for child in self.children:
            if child.process.returncode is None:
                self.notes.append(
                    f"{child.name} did not exit within {TERMINATE_TIMEOUT_S:g} s of SIGTERM; killed"
                )
            child.signal(signal.SIGKILL)
        if waits:
            await asyncio.wait(waits, timeout=TERMINATE_TIMEOUT_S)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=1.0)
        for task in list(self.tasks):
            task.cancel()

    def kill(self) -> None:
        """Kill all processes at once."""
        for child in self.children:
            child.exit_expected = True
            child.signal(signal.SIGKILL)

    def roles(self) -> dict[str, Role]:
        """Return the roles that workers reported, with the samples of all processes."""
        reports = [(c.part, c.roles) for c in self.children if c.roles]
        roles = merge_roles(reports)
        for name, sampled in self.sampler.roles().items():
            role = roles.setdefault(name, Role(instances=sampled.instances))
            role.metrics.update(sampled.metrics)
            role.seconds.update(sampled.seconds)
        if self.experiment.fleet.real and self.first_start_times:
            real = roles.setdefault("real", Role(instances=len(self.first_start_times)))
            real.metrics["start.ready"] = mean_and_range(self.first_start_times, "s")
            if self.restart_times:
                real.metrics["ready.again"] = mean_and_range(self.restart_times, "s")
        return roles


@dataclass(slots=True)
class StopRequest:
    """Handles SIGINT and SIGTERM: the first stops the play in order, the second kills all processes."""

    requested: asyncio.Event = field(default_factory=asyncio.Event)
    play: Play | None = None

    def __call__(self) -> None:
        """Handle a signal."""
        if self.requested.is_set() and self.play is not None:
            self.play.kill()
        self.requested.set()


async def _run_until_stopped(work: Coroutine[Any, Any, None], play: Play, stop_request: StopRequest) -> None:
    """Run work to its end. Raises PlayFailed if the play fails or a stop is requested before."""
    task = asyncio.ensure_future(work)
    stop_wait = asyncio.ensure_future(stop_request.requested.wait())
    waits: list[asyncio.Future[Any]] = [task, stop_wait, play.failure]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    stop_wait.cancel()
    if play.failure.done() or stop_request.requested.is_set():
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, TimeoutError, PlayFailed, OSError):
            await task
        raise PlayFailed("interrupted" if stop_request.requested.is_set() else play.failure.result())
    try:
        await task
    except TimeoutError:
        waiting = [c.name for c in play.children if c.part != "real" and not c.ready.is_set()]
        raise PlayFailed(
            f"not all processes were ready within {play.experiment.settle:g} s (settle): "
            + (f"{', '.join(waiting)} not ready" if waiting else "some real routers do not answer PING")
        ) from None


async def _play_once(play: Play, stop_request: StopRequest) -> str:
    """Play on the chosen addresses. Returns why the play was aborted, or an empty string."""
    stop_request.play = play
    try:
        if play.experiment.mode == "module":
            await _run_until_stopped(play.measure_module(), play, stop_request)
        else:
            play.options.progress("starting", 0.0, play.experiment.settle)
            await _run_until_stopped(play.start(), play, stop_request)
            await _run_until_stopped(play.schedule(), play, stop_request)
    except (PlayFailed, OSError) as e:
        return str(e) or type(e).__name__
    finally:
        await play.stop()
    return ""


async def _play(experiment: Experiment, seed: int, options: Options) -> FinishedPlay:
    stop_request = StopRequest()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop_request)
    commit, dirty = git_commit()
    began = datetime.now(UTC).isoformat(timespec="seconds")
    notes: list[str] = []
    if not options.router_command and experiment.mode == "live" and experiment.fleet.real:
        options.router_command, notes = await asyncio.to_thread(prepare_router_command)
    raise_descriptor_limit()
    for attempt in range(1, MAX_STARTS + 1):
        with tempfile.TemporaryDirectory(prefix="fleetlab-") as directory:
            addresses, lock = choose_addresses()
            with lock:
                play = Play(experiment, seed, options, Path(directory), addresses)
                cause = await _play_once(play, stop_request)
                address_taken = any("address already in use" in c.log_tail().lower() for c in play.children)
        if cause and address_taken and not stop_request.requested.is_set() and attempt < MAX_STARTS:
            notes.append(f"started again on other addresses: {cause}")
            continue
        break
    notes += play.notes
    roles = play.roles()
    busy = roles["lab"].metrics.get("machine.cpu.share") if "lab" in roles else None
    if busy is not None and busy.value > BUSY_SHARE:
        notes.append(f"the machine was {busy.value:.0%} busy, other programs included: times are unreliable")
    if cause:
        notes.append(f"broken off: {cause}")
    result = Result(
        experiment=experiment,
        seed=seed,
        commit=commit,
        dirty=dirty,
        command=options.command_line,
        began=began,
        machine=describe_machine(),
        roles=roles,
        notes=notes,
        broken_off=bool(cause),
    )
    return FinishedPlay(result, stop_request.requested.is_set())


def play(experiment: Experiment, seed: int, options: Options | None = None) -> FinishedPlay:
    """Play an experiment and stop all that was started. Raises PlayRefused before anything starts.

    A play that fails or is interrupted still returns its partial metrics, with `broken_off` set and the cause
    as a note.
    """
    if experiment.mode == "model":
        raise ExperimentError("mode: expected 'live' or 'module'; a 'model' is not played by processes")
    check_limits(experiment)
    return asyncio.run(_play(experiment, seed, options or Options()))


__all__ = [
    "Estimate",
    "FinishedPlay",
    "PlayRefused",
    "Options",
    "check_limits",
    "choose_addresses",
    "current_python_command",
    "estimate_resources",
    "play",
    "prepare_router_command",
]
