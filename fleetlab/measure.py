"""What processes use, seen from outside once a second, and how figures of several are put together."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import psutil

from fleetlab.results import Metric, Role

MB = 1e6
CONNECTIONS_EVERY = 5  # seconds: counting them reads the system's whole table
UNITS = {
    "cpu.share": "core",
    "memory.mb": "MB",
    "descriptors": "",
    "connections": "",
    "machine.cpu.share": "",
}


@dataclass(slots=True, frozen=True)
class Watched:
    """A process to measure. `name` stays the same over restarts, `role` is where its figures go."""

    role: str
    name: str
    pid: int
    prefix: str = ""  # of the metrics' names
    connections: bool = False


@dataclass(slots=True)
class Sums:
    """One instance over the whole schedule."""

    cpu: float = 0.0
    seconds: float = 0.0
    values: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


class Sampler:
    """Takes a sample a second: processor time, memory (resident), descriptors and connections.

    The first sample only sets where the counting begins. What a process used between the last sample and its
    end is not seen; a new one counts from its birth, its start-up included.
    """

    def __init__(self) -> None:
        self._seen: dict[int, tuple[psutil.Process, float]] = {}  # by pid, with processor seconds until then
        self._last = 0.0
        self._sums: dict[tuple[str, str, str], Sums] = defaultdict(Sums)  # by role, prefix and name
        self._seconds: dict[tuple[str, str], list[float]] = defaultdict(list)  # by role and metric
        self._taken = 0
        self._highest: dict[tuple[str, str, str], float] = defaultdict(float)

    def sample(self, watched: Iterable[Watched]) -> float:
        """Measure all that live. Returns their memory, in MB."""
        now = time.monotonic()
        first = self._taken == 0
        count_connections = self._taken % CONNECTIONS_EVERY == 1
        total = 0.0
        second: dict[tuple[str, str], list[float]] = defaultdict(list)
        for each in watched:
            try:
                process, before = self._seen.get(each.pid) or (psutil.Process(each.pid), 0.0)
                with process.oneshot():
                    times = process.cpu_times()
                    memory = process.memory_info().rss / MB
                    descriptors = process.num_fds()
                connections = (
                    len(process.net_connections("tcp")) if each.connections and count_connections else None
                )
            except (psutil.Error, FileNotFoundError):
                continue  # it has ended, or is ending
            used = times.user + times.system
            self._seen[each.pid] = process, used
            total += memory
            if first:
                continue
            sums = self._sums[each.role, each.prefix, each.name]
            sums.cpu += used - before
            sums.seconds += now - self._last
            now_seen = {
                "cpu.share": (used - before) / (now - self._last),
                "memory.mb": memory,
                "descriptors": float(descriptors),
            }
            if connections is not None:
                now_seen["connections"] = float(connections)
            for metric, value in now_seen.items():
                sums.values[metric].append(value)
                second[each.role, each.prefix + metric].append(value)
            place = each.role, each.prefix, each.name
            self._highest[place] = max(self._highest[place], memory)
        busy = psutil.cpu_percent() / 100  # since the last call
        if not first:
            second["lab", "machine.cpu.share"] = [busy]
            self._sums["lab", "", ""].values["machine.cpu.share"].append(busy)
        for key, values in second.items():
            if not key[1].endswith("connections"):
                self._seconds[key].append(sum(values) / len(values))
        self._last = now
        self._taken += 1
        return total

    def roles(self) -> dict[str, Role]:
        """What was seen, by role: the mean over instances of each one's mean, and these means' range."""
        means: dict[tuple[str, str], list[float]] = defaultdict(list)
        names: dict[str, set[str]] = defaultdict(set)
        for (role, prefix, name), sums in self._sums.items():
            names[role].add(name)
            for metric, values in sums.values.items():
                mean = sums.cpu / sums.seconds if metric == "cpu.share" else sum(values) / len(values)
                means[role, prefix + metric].append(mean)
        for (role, prefix, _), highest in self._highest.items():
            means[role, prefix + "memory.peak.mb"].append(highest)
        roles = {role: Role(instances=max(len(each - {""}), 1)) for role, each in names.items()}
        for (role, metric), values in means.items():
            unit = next((u for m, u in UNITS.items() if metric.endswith(m)), "MB")
            roles[role].metrics[metric] = over(values, unit)
        for (role, metric), values in self._seconds.items():
            roles[role].seconds[metric] = [round(v, 5) for v in values]
        return roles


def over(values: list[float], unit: str) -> Metric:
    """The mean of some values and their range."""
    return Metric(sum(values) / len(values), unit, min(values), max(values), len(values))


def _is_highest(metric: str) -> bool:
    """Whether the whole's figure is the highest of its parts' and not their mean.

    The 99th percentile of all can't be told from those of the parts; the highest of them is a bound.
    """
    return metric.endswith((".max", ".p99")) or metric in ("calls.waiting", "cold.window")


def _joined(metric: str, parts: list[tuple[int, Metric]]) -> Metric:
    """One metric of several processes; each weighs as many events, or else instances, as it counts."""
    first = parts[0][1]
    if len(parts) == 1:
        return first
    ranges = [(m.low, m.high) if (m.low, m.high) != (0.0, 0.0) else (m.value, m.value) for _, m in parts]
    weights = [m.count for _, m in parts] if all(m.count for _, m in parts) else [n for n, _ in parts]
    weighed = sum(w * m.value for w, (_, m) in zip(weights, parts, strict=True)) / max(sum(weights), 1)
    value = max(m.value for _, m in parts) if _is_highest(metric) else weighed
    low, high = min(low for low, _ in ranges), max(high for _, high in ranges)
    return Metric(value, first.unit, low, high, sum(m.count for _, m in parts))


def merge(reports: Iterable[tuple[str, Mapping[str, Role]]]) -> dict[str, Role]:
    """The roles that processes report, each with its part's name, as one.

    Processes of one part hold different instances, so instances add up where the part reports itself (hollow
    routers share processes). Elsewhere two reports tell of the same instances.
    """
    by_role: dict[str, list[tuple[str, Role]]] = defaultdict(list)
    for part, roles in reports:
        for name, role in roles.items():
            by_role[name].append((part, role))
    merged = {}
    for name, told in by_role.items():
        own = sum(role.instances for part, role in told if part == name)
        whole = Role(instances=max([own, *(role.instances for part, role in told if part != name)]))
        metrics: dict[str, list[tuple[int, Metric]]] = defaultdict(list)
        seconds: dict[str, list[tuple[int, list[float]]]] = defaultdict(list)
        for _, role in told:
            for key, metric in role.metrics.items():
                metrics[key].append((role.instances, metric))
            for key, values in role.seconds.items():
                seconds[key].append((role.instances, values))
        whole.metrics = {key: _joined(key, parts) for key, parts in metrics.items()}
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


__all__ = ["Sampler", "Watched", "merge", "over"]
