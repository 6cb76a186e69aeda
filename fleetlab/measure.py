"""Samples the resources that processes use once per second, and merges the metrics of several processes."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import psutil

from fleetlab.results import Metric, Role

MB = 1e6
CONNECTIONS_INTERVAL_S = 5  # counting connections reads the system's whole table
UNITS = {
    "cpu.share": "core",
    "memory.mb": "MB",
    "descriptors": "",
    "connections": "",
    "machine.cpu.share": "",
}


@dataclass(slots=True, frozen=True)
class MonitoredProcess:
    """A process to sample. `name` stays the same over restarts; its metrics go to `role`."""

    role: str
    name: str
    pid: int
    prefix: str = ""  # of the metrics' names
    connections: bool = False


@dataclass(slots=True)
class InstanceSamples:
    """The samples of one instance over the whole schedule."""

    cpu: float = 0.0
    seconds: float = 0.0
    values: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


class Sampler:
    """Samples processor time, resident memory, descriptors and connections once per second.

    The first sample only sets the baseline. What a process uses between its last sample and its exit is not
    counted; a new process counts from its start.
    """

    def __init__(self) -> None:
        self._processes: dict[int, tuple[psutil.Process, float]] = {}  # by pid, with processor seconds so far
        self._last_sample = 0.0
        # by role, prefix and name
        self._samples: dict[tuple[str, str, str], InstanceSamples] = defaultdict(InstanceSamples)
        self._series: dict[tuple[str, str], list[float]] = defaultdict(list)  # by role and metric
        self._sample_count = 0
        self._peak_memory: dict[tuple[str, str, str], float] = defaultdict(float)

    def sample(self, monitored: Iterable[MonitoredProcess]) -> float:
        """Sample all processes that still run, and return their resident memory in MB."""
        now = time.monotonic()
        first = self._sample_count == 0
        count_connections = self._sample_count % CONNECTIONS_INTERVAL_S == 1
        total = 0.0
        by_metric: dict[tuple[str, str], list[float]] = defaultdict(list)
        for each in monitored:
            try:
                process, before = self._processes.get(each.pid) or (psutil.Process(each.pid), 0.0)
                with process.oneshot():
                    times = process.cpu_times()
                    memory = process.memory_info().rss / MB
                    descriptors = process.num_fds()
                connections = (
                    len(process.net_connections("tcp")) if each.connections and count_connections else None
                )
            except (psutil.Error, FileNotFoundError):
                continue  # the process has exited, or is exiting
            used = times.user + times.system
            self._processes[each.pid] = process, used
            total += memory
            if first:
                continue
            samples = self._samples[each.role, each.prefix, each.name]
            samples.cpu += used - before
            samples.seconds += now - self._last_sample
            sampled = {
                "cpu.share": (used - before) / (now - self._last_sample),
                "memory.mb": memory,
                "descriptors": float(descriptors),
            }
            if connections is not None:
                sampled["connections"] = float(connections)
            for metric, value in sampled.items():
                samples.values[metric].append(value)
                by_metric[each.role, each.prefix + metric].append(value)
            key = each.role, each.prefix, each.name
            self._peak_memory[key] = max(self._peak_memory[key], memory)
        busy = psutil.cpu_percent() / 100  # since the last call
        if not first:
            by_metric["lab", "machine.cpu.share"] = [busy]
            self._samples["lab", "", ""].values["machine.cpu.share"].append(busy)
        for series_key, values in by_metric.items():
            if not series_key[1].endswith("connections"):
                self._series[series_key].append(sum(values) / len(values))
        self._last_sample = now
        self._sample_count += 1
        return total

    def roles(self) -> dict[str, Role]:
        """Return the metrics by role: the mean of the instances' means over time, and their range."""
        means: dict[tuple[str, str], list[float]] = defaultdict(list)
        names: dict[str, set[str]] = defaultdict(set)
        for (role, prefix, name), samples in self._samples.items():
            names[role].add(name)
            for metric, values in samples.values.items():
                mean = samples.cpu / samples.seconds if metric == "cpu.share" else sum(values) / len(values)
                means[role, prefix + metric].append(mean)
        for (role, prefix, _), peak in self._peak_memory.items():
            means[role, prefix + "memory.peak.mb"].append(peak)
        roles = {role: Role(instances=max(len(each - {""}), 1)) for role, each in names.items()}
        for (role, metric), values in means.items():
            unit = next((u for m, u in UNITS.items() if metric.endswith(m)), "MB")
            roles[role].metrics[metric] = mean_and_range(values, unit)
        for (role, metric), values in self._series.items():
            roles[role].seconds[metric] = [round(v, 5) for v in values]
        return roles


def mean_and_range(values: list[float], unit: str) -> Metric:
    """Return the mean of some values and their range."""
    return Metric(sum(values) / len(values), unit, min(values), max(values), len(values))


def _merges_by_maximum(metric: str) -> bool:
    """Return whether a metric of several processes is the maximum of theirs and not the mean.

    The 99th percentile of all can't be computed from those of the processes; their maximum is an upper bound.
    """
    return metric.endswith((".max", ".p99")) or metric in ("calls.waiting", "cold.window")


def _merge_metrics(name: str, parts: list[tuple[int, Metric]]) -> Metric:
    """Merge one metric of several processes, weighted by count where all have one, else by instances."""
    first = parts[0][1]
    if len(parts) == 1:
        return first
    ranges = [(m.low, m.high) if (m.low, m.high) != (0.0, 0.0) else (m.value, m.value) for _, m in parts]
    weights = [m.count for _, m in parts] if all(m.count for _, m in parts) else [n for n, _ in parts]
    mean = sum(w * m.value for w, (_, m) in zip(weights, parts, strict=True)) / max(sum(weights), 1)
    value = max(m.value for _, m in parts) if _merges_by_maximum(name) else mean
    low, high = min(low for low, _ in ranges), max(high for _, high in ranges)
    return Metric(value, first.unit, low, high, sum(m.count for _, m in parts))


def merge_roles(reports: Iterable[tuple[str, Mapping[str, Role]]]) -> dict[str, Role]:
    """Merge the roles that processes report, each given with the process's part.

    Processes of one part hold different instances, so the instances of a part's own role add up (hollow
    routers share processes). Reports about another part's role are about the same instances.
    """
    by_role: dict[str, list[tuple[str, Role]]] = defaultdict(list)
    for part, roles in reports:
        for name, role in roles.items():
            by_role[name].append((part, role))
    merged = {}
    for name, reported in by_role.items():
        own = sum(role.instances for part, role in reported if part == name)
        whole = Role(instances=max([own, *(role.instances for part, role in reported if part != name)]))
        metrics: dict[str, list[tuple[int, Metric]]] = defaultdict(list)
        seconds: dict[str, list[tuple[int, list[float]]]] = defaultdict(list)
        for _, role in reported:
            for key, metric in role.metrics.items():
                metrics[key].append((role.instances, metric))
            for key, values in role.seconds.items():
                seconds[key].append((role.instances, values))
        whole.metrics = {key: _merge_metrics(key, parts) for key, parts in metrics.items()}
        for key, series in seconds.items():
            shortest = min(len(values) for _, values in series)
            weight = max(sum(n for n, _ in series), 1)
            whole.seconds[key] = (
                series[0][1]
                if len(series) == 1
                else [sum(n * values[i] for n, values in series) / weight for i in range(shortest)]
            )
        merged[name] = whole
    return merged


__all__ = ["MonitoredProcess", "Sampler", "mean_and_range", "merge_roles"]
