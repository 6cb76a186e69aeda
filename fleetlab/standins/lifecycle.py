"""The way every stand-in goes: up, the schedule with its figures for each second, and a little beyond."""

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

LINGER = 3.0  # seconds for which stand-ins still serve after the schedule, so that others end in peace
LONGEST = 3_600_000_000  # microseconds that a histogram holds

Step = tuple[float, Callable[[], object]]


def host_port(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def reset(transport: asyncio.Transport) -> None:
    """End a connection as a process that died would: with a reset."""
    ours = transport.get_extra_info("socket")
    if ours is not None and not transport.is_closing():
        with suppress(OSError):
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    transport.abort()


class Meter:
    """Running counts and gauges; what each second of the schedule added, and the sums over it."""

    def __init__(self) -> None:
        self.counts: defaultdict[str, float] = defaultdict(float)
        self.gauges: dict[str, Callable[[], float]] = {}
        self.seconds: defaultdict[str, list[float]] = defaultdict(list)
        self.sums: dict[str, float] = {}
        self.start_sums: dict[str, float] = {}
        self.played = 0.0  # seconds
        self.measuring = False

    async def follow(self, start: float, seconds: float, ended: asyncio.Event) -> None:
        """Measure from the Unix time `start` on, until the schedule or the process ends."""
        self.start_sums = dict(self.counts)
        before, base = dict(self.counts), dict(self.counts)
        cpu = first_cpu = time.process_time()
        began = time.time()
        self.measuring = True
        for second in range(1, max(1, round(seconds)) + 1):
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, start + min(second, seconds) - time.time())):
                    await ended.wait()
            if ended.is_set():
                break
            for name, value in self.counts.items():
                line = self.seconds[name]
                line.extend([0.0] * (second - 1 - len(line)))  # a count that begins late
                line.append(value - before.get(name, 0.0))
            for name, gauge in self.gauges.items():
                self.seconds[name].append(gauge())
            now = time.process_time()
            self.seconds["cpu.share"].append(now - cpu)
            cpu, before = now, dict(self.counts)
        self.measuring = False
        self.played = max(time.time() - began, 1e-3)
        self.sums = {name: value - base.get(name, 0.0) for name, value in self.counts.items()}
        self.sums["cpu"] = time.process_time() - first_cpu

    def sum(self, name: str) -> float:
        return self.sums.get(name, 0.0)

    def rate(self, name: str, unit: str = "1/s") -> Metric:
        """A count's mean over the schedule, a second; the range is that of whole seconds."""
        line = self.seconds.get(name) or [0.0]
        return Metric(self.sum(name) / (self.played or 1.0), unit, min(line), max(line), int(self.sum(name)))

    def cpu(self) -> Metric:
        """The share of a core that the whole process used."""
        line = self.seconds.get("cpu.share") or [0.0]
        return Metric(self.sum("cpu") / (self.played or 1.0), "core", min(line), max(line), 1)


def percentiles(name: str, values: Iterable[float], shares: Sequence[float]) -> dict[str, Metric]:
    """`NAME.p50` and so on, and `NAME.max`, of times in seconds; nothing where there are none."""
    histogram = HdrHistogram(1, LONGEST, 3)
    low, high, count = float("inf"), 0.0, 0
    for value in values:
        histogram.record_value(min(LONGEST, max(1, int(value * 1e6))))
        low, high, count = min(low, value), max(high, value), count + 1
    if not count:
        return {}
    found = {
        f"{name}.p{share:g}": Metric(histogram.get_value_at_percentile(share) / 1e6, "s", low, high, count)
        for share in shares
    }
    return found | {f"{name}.max": Metric(high, "s", low, high, count)}


def spread(values: Sequence[float], unit: str) -> Metric:
    """The mean over instances and their range."""
    if not values:
        return Metric(0.0, unit)
    return Metric(sum(values) / len(values), unit, min(values), max(values), len(values))


async def play(steps: Iterable[Step], start: float) -> None:
    """Do what is to be done at its times, in seconds from the Unix time `start`."""
    for at, act in sorted(steps, key=lambda step: step[0]):
        await asyncio.sleep(max(0.0, start + at - time.time()))
        act()


async def start_of(began: Awaitable[float], ended: asyncio.Event) -> float | None:
    """Wait for the Unix time at which the schedule begins; None if the process ends before."""
    told = asyncio.ensure_future(began)
    end = asyncio.create_task(ended.wait())
    try:
        await asyncio.wait({told, end}, return_when=asyncio.FIRST_COMPLETED)
        if not told.done():
            return None
        start = told.result()
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, start - time.time())):
                await end
        return None if ended.is_set() else start
    finally:
        end.cancel()


async def go(
    plan: Plan,
    began: Awaitable[float],
    ended: asyncio.Event,
    meter: Meter,
    steps: Callable[[float], Iterable[Step]],
    *,
    finish: Callable[[], object] = lambda: None,
) -> None:
    """Play the schedule: `steps` are what to do, from its Unix time; `finish` follows the last second."""
    start = await start_of(began, ended)
    if start is None:
        return
    player = asyncio.create_task(play(steps(start), start))
    try:
        await meter.follow(start, plan.experiment.seconds, ended)
        if player.done():
            player.result()  # a fault of ours must not pass for a quiet schedule
        finish()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER):
                await ended.wait()
    finally:
        player.cancel()
