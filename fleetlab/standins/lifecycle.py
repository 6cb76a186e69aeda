"""What all stand-ins share: running the schedule, recording figures for each second, and shutting down."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import suppress

from hdrh.histogram import HdrHistogram

from fleetlab.plan import Plan
from fleetlab.results import Metric

LINGER_S = 3.0  # stand-ins go on serving after the schedule, so that other processes can end without errors
HISTOGRAM_MAX_US = 3_600_000_000  # one hour; percentiles count longer times as this

TimedAction = tuple[float, Callable[[], object]]


def host_port(address: str) -> tuple[str, int]:
    """Split `host:port` into the host and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection with a TCP reset, as if the process had died; unsent data is lost."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    transport.abort()


class Meter:
    """Counters and gauges, with their values in each second of the schedule and totals over all of it."""

    def __init__(self) -> None:
        self.counts: defaultdict[str, float] = defaultdict(float)
        self.gauges: dict[str, Callable[[], float]] = {}
        self.per_second: defaultdict[str, list[float]] = defaultdict(list)
        self.totals: dict[str, float] = {}
        self.startup_totals: dict[str, float] = {}
        self.elapsed_s = 0.0
        self.is_recording = False

    async def record(self, start: float, seconds: float, ended: asyncio.Event) -> None:
        """Record each second from the Unix time `start` on, until the schedule ends or `ended` is set."""
        self.startup_totals = dict(self.counts)
        before, base = dict(self.counts), dict(self.counts)
        cpu = first_cpu = time.process_time()
        began = time.time()
        self.is_recording = True
        for second in range(1, max(1, round(seconds)) + 1):
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, start + min(second, seconds) - time.time())):
                    await ended.wait()
            if ended.is_set():
                break
            for name, value in self.counts.items():
                series = self.per_second[name]
                series.extend([0.0] * (second - 1 - len(series)))  # a counter that appeared after the start
                series.append(value - before.get(name, 0.0))
            for name, gauge in self.gauges.items():
                self.per_second[name].append(gauge())
            now = time.process_time()
            self.per_second["cpu.share"].append(now - cpu)
            cpu, before = now, dict(self.counts)
        self.is_recording = False
        self.elapsed_s = max(time.time() - began, 1e-3)
        self.totals = {name: value - base.get(name, 0.0) for name, value in self.counts.items()}
        self.totals["cpu"] = time.process_time() - first_cpu

    def total(self, name: str) -> float:
        """Return the increase of a counter over the schedule."""
        return self.totals.get(name, 0.0)

    def rate(self, name: str, unit: str = "1/s") -> Metric:
        """Return a counter's mean rate per second; the range is over single seconds."""
        series = self.per_second.get(name) or [0.0]
        return Metric(
            self.total(name) / (self.elapsed_s or 1.0), unit, min(series), max(series), int(self.total(name))
        )

    def cpu(self) -> Metric:
        """Return the share of a core that the process used; the range is over single seconds."""
        series = self.per_second.get("cpu.share") or [0.0]
        return Metric(self.total("cpu") / (self.elapsed_s or 1.0), "core", min(series), max(series), 1)


def percentiles(name: str, values: Iterable[float], percents: Sequence[float]) -> dict[str, Metric]:
    """Return `NAME.pN` for each percentile N, and `NAME.max`, of times in seconds; empty without times."""
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    low, high, count = float("inf"), 0.0, 0
    for value in values:
        histogram.record_value(min(HISTOGRAM_MAX_US, max(1, int(value * 1e6))))
        low, high, count = min(low, value), max(high, value), count + 1
    if not count:
        return {}
    metrics = {
        f"{name}.p{percent:g}": Metric(
            histogram.get_value_at_percentile(percent) / 1e6, "s", low, high, count
        )
        for percent in percents
    }
    return metrics | {f"{name}.max": Metric(high, "s", low, high, count)}


def mean_and_range(values: Sequence[float], unit: str) -> Metric:
    """Return the mean of the instances' values with their range."""
    if not values:
        return Metric(0.0, unit)
    return Metric(sum(values) / len(values), unit, min(values), max(values), len(values))


async def run_actions(actions: Iterable[TimedAction], start: float) -> None:
    """Run each action at its time, in seconds from the Unix time `start`."""
    for at, action in sorted(actions, key=lambda timed: timed[0]):
        await asyncio.sleep(max(0.0, start + at - time.time()))
        action()


async def wait_for_start(schedule_start: Awaitable[float], ended: asyncio.Event) -> float | None:
    """Wait until the schedule begins and return its Unix time; None if `ended` is set first."""
    start_known = asyncio.ensure_future(schedule_start)
    end = asyncio.create_task(ended.wait())
    try:
        await asyncio.wait({start_known, end}, return_when=asyncio.FIRST_COMPLETED)
        if not start_known.done():
            return None
        start = start_known.result()
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, start - time.time())):
                await end
        return None if ended.is_set() else start
    finally:
        end.cancel()


async def run_schedule(
    plan: Plan,
    schedule_start: Awaitable[float],
    ended: asyncio.Event,
    meter: Meter,
    actions: Callable[[float], Iterable[TimedAction]],
    *,
    finish: Callable[[], object] = lambda: None,
) -> None:
    """Run the schedule and record it, then go on serving for up to `LINGER_S`.

    `actions` returns the timed actions, given the schedule's Unix start time; `finish` is called after the
    last second. If `ended` is set before the schedule begins, returns at once without calling `finish`.
    """
    start = await wait_for_start(schedule_start, ended)
    if start is None:
        return
    actions_task = asyncio.create_task(run_actions(actions(start), start))
    try:
        await meter.record(start, plan.experiment.seconds, ended)
        if actions_task.done():
            actions_task.result()  # raise the error of a failed action, which would otherwise go unnoticed
        finish()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await ended.wait()
    finally:
        actions_task.cancel()
