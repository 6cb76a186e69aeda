"""Plays one experiment: starts all parts in order, ends and starts real routers, measures, and ends all."""

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
from fleetlab.measure import Sampler, Watched, merge, over
from fleetlab.plan import Addresses, Message, Part, Plan, config_of, hollow_lists
from fleetlab.results import Machine, Result, Role

ROOT = Path(__file__).parent.parent
MOST_PROCESSES = 300  # whatever a file says
MOST_LINE = 64 << 20  # bytes of a worker's last line
SOCKETS = 1024  # descriptors of a real router, as on the platform
LEAD = 0.5  # seconds from the line that says when the schedule begins until it does
BUSY = 0.9  # share of the machine's processor time over which times are said to be unsure
REPORTING = 20.0  # seconds that workers get, after the schedule, for their last line
ENDING = 8.0  # seconds from SIGTERM to SIGKILL: workers take up to five for their last line
STARTS = 3  # tries, where an address is taken after all
BUILDING = 1200.0  # seconds that the deploy file's `build` gets
MODULE_LIMIT = 3600.0  # seconds for a play that only measures the module
BEFORE_ROUTERS: tuple[Part, ...] = ("discovery", "caches", "origin", "network")


class Refused(Exception):
    """An experiment beyond the bounds; the message names the figure and the bound."""


class Failed(Exception):
    """A play that can't go on; the message says why."""


class Gone(Protocol):
    """A router that is away, in seconds of the schedule; see `fleetlab.standins.schedule`."""

    router: int
    kind: Any  # "restart": told to end, and back as soon as it can; "lost": killed, and back at `end`
    start: float
    end: float


@dataclass(slots=True, frozen=True)
class Estimate:
    """What a play would start, and the memory it would take, in MB."""

    workers: int
    routers: int
    memory_mb: float
    descriptors: int  # of the process that holds most: discovery's listeners and connections, one for each

    @property
    def processes(self) -> int:
        return self.workers + self.routers


def parts_of(experiment: Experiment) -> list[tuple[Part, list[int]]]:
    """The workers of a live play, in the order of their start, each with its hollow routers."""
    fleet = experiment.fleet
    parts: list[tuple[Part, list[int]]] = [(part, []) for part in BEFORE_ROUTERS]
    parts += [("hollow", numbers) for numbers in hollow_lists(experiment)]
    if fleet.real:
        parts.append(("clients", []))
    return parts


def estimate(experiment: Experiment) -> Estimate:
    """What a play needs, from what these processes took when they were built; rather too much.

    A worker 45 MB; a real router 35 MB; a router's view of one server 4.2 kB; a hollow router 0.3 MB; a
    stand-in's sockets and tasks 60 kB for each router and 20 kB for each server.
    """
    fleet = experiment.fleet
    if experiment.mode == "module":
        return Estimate(1, 0, 45 + 0.3 + 0.02 * (fleet.real + fleet.hollow) + 0.0042 * fleet.servers, 64)
    view = 0.0042 * fleet.servers
    workers = len(parts_of(experiment))
    standins = 0.06 * (fleet.real + fleet.hollow) * 2 + 0.02 * fleet.servers  # discovery and network
    memory = 45 * workers + (35 + view) * fleet.real + (0.3 + view) * fleet.hollow + standins
    return Estimate(workers, fleet.real, memory, 64 + 2 * (fleet.real + fleet.hollow))


def refuse_beyond_bounds(experiment: Experiment) -> Estimate:
    """What would be started. Raises Refused where that is too much for the file's bounds or the machine."""
    needs = estimate(experiment)
    most = min(experiment.most_processes, MOST_PROCESSES)
    if needs.processes > most:
        raise Refused(
            f"{needs.processes} processes ({needs.routers} real routers, {needs.workers} workers) are over "
            f"the bound of {most} (most_processes, and {MOST_PROCESSES} at any rate)"
        )
    memory = memory_bound(experiment)
    if needs.memory_mb > memory:
        raise Refused(
            f"an estimated {needs.memory_mb:.0f} MB is over the bound of {memory:.0f} MB "
            f"(memory_share = {experiment.memory_share:g} of the machine's memory)"
        )
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and needs.descriptors > hard:
        raise Refused(
            f"discovery needs {needs.descriptors} descriptors, over the bound of {hard} (ulimit -Hn)"
        )
    return needs


def memory_bound(experiment: Experiment) -> float:
    """The most memory that a play may take, in MB."""
    return experiment.memory_share * psutil.virtual_memory().total / 1e6


def router_command(root: Path = ROOT) -> tuple[str, list[str]]:
    """How a real router is started, and notes: the deploy file's `run`, after its `build` where it must.

    Where the build fails, this Python runs the same program, and a note says so.
    """
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    if (root / ".venv").exists():
        return deploy["run"], []
    try:
        subprocess.run(
            ["/bin/sh", "-c", deploy["build"]], cwd=root, check=True, timeout=BUILDING, stdout=sys.stderr
        )
    except (subprocess.SubprocessError, OSError) as e:
        return this_python(), [f"real routers ran with the laboratory's Python: build failed: {e}"]
    return deploy["run"], []


def this_python() -> str:
    """A real router's command without a build."""
    return f"exec '{sys.executable}' -B -m brackenwalk"


def router_events(plan: Plan) -> Sequence[Gone]:
    """Which routers are away and when, as all workers derive it from the same plan."""
    schedule: Any = importlib.import_module("fleetlab.standins.schedule")
    return cast(Sequence[Gone], schedule.router_outages(plan))


def router_seed(seed: int, number: int, start: int) -> str:
    """A real router's seed: new at its every start, and the same when the play is repeated."""
    return f"{random.Random(f'{seed} {number} {start}').getrandbits(64):016x}"


def _quiet(stage: str, done: float, total: float) -> None:
    """No progress shown."""


@dataclass(slots=True)
class Options:
    """How to play, where it is not the experiment that says so."""

    run: str = ""  # a real router's shell command; empty: `router_command`
    worker: Sequence[str] = (sys.executable, "-B", "-m", "fleetlab.worker")
    module: Sequence[str] = (sys.executable, "-B", "-m", "fleetlab", "module")
    events: Callable[[Plan], Sequence[Gone]] = router_events
    logs: Path | None = None  # a folder that keeps all logs
    command: str = ""  # for the result
    progress: Callable[[str, float, float], None] = _quiet  # stage, seconds done, seconds in all


@dataclass(slots=True)
class Played:
    """A play's result, and whether a signal broke it off."""

    result: Result
    interrupted: bool


def choose_addresses() -> tuple[Addresses, socket.socket]:
    """Free addresses, and a bound socket that keeps other runs off them until it is closed.

    Below the system's range for outgoing connections, so that none of these takes a port in between.
    """
    for _ in range(50):
        addresses = Addresses(random.randint(2, 254), random.randrange(10_000, 32_000, 8))
        places = [addresses.clients(0), addresses.discovery(0), addresses.server(0), addresses.origin()]
        datagrams = [addresses.peer_listen(0), addresses.peer_seen(0), addresses.everyone()]
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"127.{addresses.net}.255.1", addresses.port + 7))
            for kind, texts in ((socket.SOCK_STREAM, places), (socket.SOCK_DGRAM, datagrams)):
                for text in texts:
                    host, _, port = text.rpartition(":")
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, int(port)))
        except OSError:
            lock.close()
            continue
        return addresses, lock
    raise Refused("no free addresses on loopback after 50 tries")


def commit_of(root: Path = ROOT) -> tuple[str, bool]:
    """The commit, and whether files differ from it."""
    try:
        head = subprocess.run(
            ["git", "rev-parse", "HEAD"], cwd=root, capture_output=True, text=True, check=True, timeout=20
        )
        state = subprocess.run(
            ["git", "status", "--porcelain"], cwd=root, capture_output=True, text=True, check=True, timeout=20
        )
    except (OSError, subprocess.SubprocessError):
        return "unknown", True
    return head.stdout.strip(), bool(state.stdout.strip())


def machine() -> Machine:
    """This machine."""
    name = platform.processor() or platform.machine()
    with contextlib.suppress(OSError):
        lines = Path("/proc/cpuinfo").read_text().splitlines()
        name = next((x.partition(":")[2].strip() for x in lines if x.startswith("model name")), name)
    memory = int(psutil.virtual_memory().total / 1e6)
    return Machine(name, psutil.cpu_count() or 1, memory, platform.python_version())


def allow_descriptors() -> int:
    """Raise this process's soft limit on descriptors to the hard one, for workers to inherit; returns it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


async def answers_ping(address: str) -> bool:
    """Whether a router answers PING with +PONG."""
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
class Child:
    """A process of the play, in a group of its own: a terminal's Ctrl-C reaches the runner alone."""

    name: str
    part: str  # a worker's part, or `real`
    process: asyncio.subprocess.Process
    log: Path
    number: int = 0  # of a real router
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    reported: asyncio.Event = field(default_factory=asyncio.Event)  # its last line came, or never will
    roles: dict[str, Role] = field(default_factory=dict)
    may_end: bool = False

    def signal(self, number: signal.Signals) -> None:
        """Send its group a signal, if it lives."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, number)

    def last_words(self) -> str:
        """The end of its log."""
        with contextlib.suppress(OSError):
            return " / ".join(self.log.read_text(errors="replace").splitlines()[-3:])[-600:]
        return ""


class Play:
    """One play of an experiment, on one set of addresses."""

    def __init__(
        self, experiment: Experiment, seed: int, options: Options, place: Path, addresses: Addresses
    ) -> None:
        self.experiment, self.options, self.place = experiment, options, place
        self.plan = Plan("discovery", experiment, addresses, seed)
        self.children: list[Child] = []
        self.routers: dict[int, Child] = {}
        self.notes: list[str] = []
        self.sampler = Sampler()
        self.first_ready: list[float] = []
        self.ready_again: list[float] = []
        self.starts: dict[int, int] = {}
        self.failure: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.tasks: set[asyncio.Task[None]] = set()
        self.hits: set[asyncio.Task[None]] = set()
        self.spawning: set[asyncio.Task[Child]] = set()
        self.logs = options.logs or place / "logs"
        self.logs.mkdir(parents=True, exist_ok=True)

    def fail(self, why: str) -> None:
        """Break the play off."""
        if not self.failure.done():
            self.failure.set_result(why)

    def _task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Work beside the schedule; an error in it breaks the play off."""
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
    ) -> Child:
        """Start a process, with its log. Whoever is cancelled meanwhile, no process is left unknown."""
        task = asyncio.get_running_loop().create_task(self._spawn_whole(name, part, command, env))
        self.spawning.add(task)
        task.add_done_callback(self.spawning.discard)
        return await asyncio.shield(task)

    async def _spawn_whole(
        self, name: str, part: str, command: Sequence[str], env: dict[str, str] | None
    ) -> Child:
        log = self.logs / f"{name}.log"
        with log.open("ab") as sink:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL if part == "real" else asyncio.subprocess.PIPE,
                stdout=sink if part == "real" else asyncio.subprocess.PIPE,
                stderr=sink,
                start_new_session=True,
                limit=MOST_LINE,
            )
        child = Child(name, part, process, log)
        self.children.append(child)
        return child

    async def _start_worker(self, part: str, name: str, command: Sequence[str]) -> None:
        child = await self._spawn(name, part, command)
        self._task(self._read(child))
        if part != "module":
            await child.ready.wait()

    async def _start_parts(self, parts: Sequence[tuple[Part, list[int]]]) -> None:
        """Start workers, and wait until all are ready."""
        starting = []
        for i, (part, hollow) in enumerate(parts):
            name = f"{part}-{i}" if part == "hollow" else part
            path = self.place / f"{name}.json"
            plan = msgspec.structs.replace(self.plan, part=part, hollow=hollow)
            path.write_bytes(msgspec.json.encode(plan))
            starting.append(self._start_worker(part, name, [*self.options.worker, str(path)]))
        await asyncio.gather(*starting)

    async def _read(self, child: Child) -> None:
        """Take a worker's lines until it ends."""
        output = cast(asyncio.StreamReader, child.process.stdout)
        try:
            while line := await output.readline():
                try:
                    message = msgspec.json.decode(line, type=Message)
                except msgspec.MsgspecError as e:
                    self.notes.append(f"{child.name} said what is no message ({e}): {line[:80]!r}")
                    continue
                if message.note:
                    self.notes.append(f"{child.name}: {message.note}")
                if message.roles:
                    child.roles = message.roles
                    child.reported.set()
                if message.ready:
                    child.ready.set()
        except ValueError:
            self.notes.append(f"{child.name}: a line over {MOST_LINE >> 20} MB")
        code = await child.process.wait()
        child.reported.set()
        if not child.may_end and not (code == 0 and child.roles):
            self.fail(f"{child.name} ended with {code}: {child.last_words()}")

    async def _start_router(self, number: int, times: list[float]) -> None:
        """Start a real router, new or again, and wait until it answers PING."""
        began = time.monotonic()
        name, start = f"n{number}", self.starts.get(number, 0)
        self.starts[number] = start + 1
        own = self.place / f"{name}-{start}"
        temporary = own / "tmp"  # private, and empty at each start
        temporary.mkdir(parents=True)
        config = config_of(self.plan, number, sockets=SOCKETS)
        config["seed"] = router_seed(self.plan.seed, number, start)
        path = own / "config.json"
        path.write_bytes(orjson.dumps(config))
        env = {
            **os.environ,
            "RELAY_NAME": name,
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        shell = f"ulimit -Sn {SOCKETS}; {self.options.run}"
        child = await self._spawn(name, "real", ["/bin/sh", "-c", shell], env)
        child.number = number
        self.routers[number] = child
        self._task(self._watch_router(child))
        while not await answers_ping(config["listen"]):
            await asyncio.sleep(0.05)
        times.append(time.monotonic() - began)

    async def _watch_router(self, child: Child) -> None:
        code = await child.process.wait()
        if not child.may_end:
            self.fail(f"router {child.name} ended by itself with {code}: {child.last_words()}")

    async def start(self) -> None:
        """Start all in their order. Raises TimeoutError where they are not up in time."""
        parts = parts_of(self.experiment)
        async with asyncio.timeout(self.experiment.settle):
            await self._start_parts([p for p in parts if p[0] in BEFORE_ROUTERS])
            real = (self._start_router(n, self.first_ready) for n in range(self.experiment.fleet.real))
            await asyncio.gather(self._start_parts([p for p in parts if p[0] == "hollow"]), *real)
            await self._start_parts([p for p in parts if p[0] == "clients"])

    async def _hit(self, hit: Gone, began: float) -> None:
        """Carry out what happens to a real router."""
        await asyncio.sleep(began + hit.start - time.time())
        child = self.routers[hit.router]
        if child.may_end:
            self.notes.append(f"{child.name} was down already at {hit.start:g} s")
            return
        child.may_end = True
        child.signal(signal.SIGTERM if hit.kind == "restart" else signal.SIGKILL)
        try:
            async with asyncio.timeout(ENDING):
                await child.process.wait()
        except TimeoutError:
            self.notes.append(f"{child.name} had not ended {ENDING:g} s after SIGTERM, and was killed")
            child.signal(signal.SIGKILL)
            await child.process.wait()
        if hit.kind != "restart":
            await asyncio.sleep(began + hit.end - time.time())
        try:
            async with asyncio.timeout(self.experiment.settle):
                await self._start_router(hit.router, self.ready_again)
        except TimeoutError:
            self.fail(f"{child.name} was not ready again within {self.experiment.settle:g} s")

    def _watched(self) -> list[Watched]:
        """All that are measured. Workers' metrics get a prefix: `cpu.share` is a hollow router's own."""
        watched = [Watched("lab", "runner", os.getpid())]
        for child in self.children:
            if child.process.returncode is not None:
                continue
            if child.part == "real":
                watched.append(Watched("real", child.name, child.process.pid, connections=True))
            else:
                watched.append(Watched(child.part, child.name, child.process.pid, "process."))
        return watched

    async def _sample(self) -> None:
        memory, bound = (
            await asyncio.to_thread(self.sampler.sample, self._watched()),
            memory_bound(self.experiment),
        )
        if memory > bound:
            self.fail(f"{memory:.0f} MB in use are over the bound of {bound:.0f} MB (memory_share)")

    async def schedule(self) -> None:
        """Play the schedule, and wait for what the workers measured."""
        began, seconds = time.time() + LEAD, self.experiment.seconds
        workers = [c for c in self.children if c.part != "real"]
        for worker in workers:
            if worker.process.stdin is not None:
                worker.process.stdin.write(orjson.dumps({"began": began}) + b"\n")
        for hit in self.options.events(self.plan) if self.experiment.faults else []:
            if hit.router < self.experiment.fleet.real:
                self.hits.add(self._task(self._hit(hit, began)))
        second, missed = 0.0, 0
        while True:
            await asyncio.sleep(began + second - time.time())
            await self._sample()
            self.options.progress("playing", second, seconds)
            if second >= seconds:
                break
            behind = max(int(time.time() - began - second) - 1, 0)
            missed += behind
            second = min(second + 1 + behind, seconds)
        if missed:
            self.notes.append(f"{missed} samples missed: the machine was too busy to measure each second")
        if self.hits:  # a restart near the end is measured still
            await asyncio.wait(self.hits, timeout=self.experiment.settle)
        try:
            async with asyncio.timeout(REPORTING):
                await asyncio.gather(*(w.reported.wait() for w in workers))
        except TimeoutError:
            late = ", ".join(w.name for w in workers if not w.reported.is_set())
            raise Failed(f"no last line within {REPORTING:g} s after the schedule: {late}") from None

    async def measure_module(self) -> None:
        """Have the module measured by itself, in a process of its own."""
        path = self.place / "module.json"
        path.write_bytes(msgspec.json.encode(self.experiment))
        await self._start_worker("module", "module", [*self.options.module, str(path), str(self.plan.seed)])
        began = time.monotonic()
        while not self.children[0].reported.is_set():
            passed = time.monotonic() - began
            if passed > MODULE_LIMIT:
                raise Failed(f"the module's measurement took over {MODULE_LIMIT:g} s")
            await self._sample()
            self.options.progress("measuring the module", passed, 0.0)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.children[0].reported.wait(), 1.0)

    async def end(self) -> None:
        """End all: SIGTERM, and SIGKILL for those that stay. Workers may still tell what they measured."""
        for task in self.hits:
            task.cancel()
        await asyncio.gather(*self.spawning, return_exceptions=True)
        for child in self.children:
            child.may_end = True
        for child in self.children:
            if child.process.stdin is not None:
                child.process.stdin.close()
            child.signal(signal.SIGTERM)
        waits = [asyncio.ensure_future(c.process.wait()) for c in self.children]
        if waits:
            await asyncio.wait(waits, timeout=ENDING)
        for child in self.children:
            if child.process.returncode is None:
                self.notes.append(f"{child.name} had not ended {ENDING:g} s after SIGTERM, and was killed")
            child.signal(signal.SIGKILL)
        if waits:
            await asyncio.wait(waits, timeout=ENDING)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=1.0)
        for task in list(self.tasks):
            task.cancel()

    def kill(self) -> None:
        """End all at once."""
        for child in self.children:
            child.may_end = True
            child.signal(signal.SIGKILL)

    def roles(self) -> dict[str, Role]:
        """What workers told and what was seen from outside."""
        reports = [(c.part, c.roles) for c in self.children if c.roles]
        roles = merge(reports)
        for name, seen in self.sampler.roles().items():
            role = roles.setdefault(name, Role(instances=seen.instances))
            role.metrics.update(seen.metrics)
            role.seconds.update(seen.seconds)
        if self.experiment.fleet.real and self.first_ready:
            real = roles.setdefault("real", Role(instances=len(self.first_ready)))
            real.metrics["start.ready"] = over(self.first_ready, "s")
            if self.ready_again:
                real.metrics["ready.again"] = over(self.ready_again, "s")
        return roles


@dataclass(slots=True)
class Stop:
    """What signals ask for: the first to end, the second to end at once."""

    asked: asyncio.Event = field(default_factory=asyncio.Event)
    play: Play | None = None

    def __call__(self) -> None:
        if self.asked.is_set() and self.play is not None:
            self.play.kill()
        self.asked.set()


async def _until(work: Coroutine[Any, Any, None], play: Play, stop: Stop) -> None:
    """Do the work unless the play fails or is stopped. Raises Failed."""
    task = asyncio.ensure_future(work)
    asked = asyncio.ensure_future(stop.asked.wait())
    waits: list[asyncio.Future[Any]] = [task, asked, play.failure]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    asked.cancel()
    if play.failure.done() or stop.asked.is_set():
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, TimeoutError, Failed, OSError):
            await task
        raise Failed("interrupted" if stop.asked.is_set() else play.failure.result())
    try:
        await task
    except TimeoutError:
        waiting = [c.name for c in play.children if c.part != "real" and not c.ready.is_set()]
        raise Failed(
            f"not all were up within {play.experiment.settle:g} s (settle): "
            + (f"{', '.join(waiting)} not ready" if waiting else "some real routers do not answer PING")
        ) from None


async def _try(play: Play, stop: Stop) -> str:
    """Play once. Returns why it was broken off, or nothing."""
    stop.play = play
    try:
        if play.experiment.mode == "module":
            await _until(play.measure_module(), play, stop)
        else:
            play.options.progress("starting", 0.0, play.experiment.settle)
            await _until(play.start(), play, stop)
            await _until(play.schedule(), play, stop)
    except (Failed, OSError) as e:
        return str(e) or type(e).__name__
    finally:
        await play.end()
    return ""


async def _play(experiment: Experiment, seed: int, options: Options) -> Played:
    stop = Stop()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(each, stop)
    commit, dirty = commit_of()
    began = datetime.now(UTC).isoformat(timespec="seconds")
    notes: list[str] = []
    if not options.run and experiment.mode == "live" and experiment.fleet.real:
        options.run, notes = await asyncio.to_thread(router_command)
    allow_descriptors()
    for attempt in range(1, STARTS + 1):
        with tempfile.TemporaryDirectory(prefix="fleetlab-") as place:
            addresses, lock = choose_addresses()
            with lock:
                play = Play(experiment, seed, options, Path(place), addresses)
                why = await _try(play, stop)
                taken = any("address already in use" in c.last_words().lower() for c in play.children)
        if why and taken and not stop.asked.is_set() and attempt < STARTS:
            notes.append(f"started again on other addresses: {why}")
            continue
        break
    notes += play.notes
    roles = play.roles()
    busy = roles["lab"].metrics.get("machine.cpu.share") if "lab" in roles else None
    if busy is not None and busy.value > BUSY:
        notes.append(f"the machine was {busy.value:.0%} busy, with what else ran: times are unsure")
    if why:
        notes.append(f"broken off: {why}")
    result = Result(
        experiment=experiment,
        seed=seed,
        commit=commit,
        dirty=dirty,
        command=options.command,
        began=began,
        machine=machine(),
        roles=roles,
        notes=notes,
        broken_off=bool(why),
    )
    return Played(result, stop.asked.is_set())


def play(experiment: Experiment, seed: int, options: Options | None = None) -> Played:
    """Play an experiment and end all that was started. Raises Refused, before anything starts.

    A play that fails or is interrupted still gives what was measured, with `broken_off` and a note why.
    """
    if experiment.mode == "model":
        raise ExperimentError("mode: wanted 'live' or 'module'; a 'model' is not played by processes")
    refuse_beyond_bounds(experiment)
    return asyncio.run(_play(experiment, seed, options or Options()))


__all__ = [
    "Estimate",
    "Options",
    "Played",
    "Refused",
    "choose_addresses",
    "estimate",
    "play",
    "refuse_beyond_bounds",
    "router_command",
    "this_python",
]
