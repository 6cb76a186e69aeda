"""Draws random deployments: variants of a site file that differ in its operators' choices.

A router takes classes, limits and addresses from its settings alone, so a fault may show only under settings
that no given site has. Each seed draws one variant of a base site: how discovery and load reports work, what
routers may do, deadlines, effects, connection limits, drain grace, processor share and network delays. Words
and ranges are those of the protocol and of the simulator's documentation.
"""

from __future__ import annotations

import copy
import random
import shutil
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

Table = dict[str, Any]

# files beside a site that define the words on the wire and the faults that may be drawn
COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")
# values of [tier.report].how, and the fields that load reports carry
REPORT_METHODS = ("probe", "answers", "none")
REPORT_FIELDS = (["latency_ms", "inflight"], ["util", "qps"], ["inflight", "queue", "util"])
WEIGHTS = ("nominal", "live", "rough", "none")
EFFECTS = ("safe", "keyed", "unsafe")
GROUPS = ("all", "zone", "cell")
BACKOFFS = ("none", "fixed", "exp")
MIN_DEADLINE_MS, MAX_DEADLINE_MS = 700, 15_000
MIN_DELAY_MS, MAX_DELAY_MS = 0.1, 20.0
MIN_CPU_MS, MAX_CPU_MS = 40, 500  # processor time per second
MIN_GRACE_MS, MAX_GRACE_MS = 500, 2500
MIN_IDLE_S, MAX_IDLE_S = 2, 30
MAX_STREAMS_LOG2 = 7
MAX_ATTEMPTS = 8
SYLLABLES = ("ba", "do", "ki", "lu", "me", "ra", "so", "ti", "vu", "za")
SYLLABLES_PER_WORD = 3


class DeploymentError(ValueError):
    """A site file that can't be varied; the message names the file and how to correct it."""


def _log_uniform(rng: random.Random, low: float, high: float) -> float:
    return float(low * (high / low) ** rng.random())


def _random_bool(rng: random.Random) -> bool:
    return rng.random() < 0.5


def _random_word(rng: random.Random) -> str:
    return "".join(rng.choice(SYLLABLES) for _ in range(SYLLABLES_PER_WORD))


def _vary_names(site: Table, rng: random.Random) -> None:
    """Rename zones, classes and kinds of machine; all names differ."""
    site["net"]["zones"] = [f"{_random_word(rng)}-{i}" for i, _ in enumerate(site["net"]["zones"])]
    kinds = [kind for tier in site["tier"] for kind in tier["kind"]]
    for i, item in enumerate([*site["class"], *kinds]):
        item["name"] = f"{_random_word(rng)}-{i}"


def _vary_discovery(site: Table, rng: random.Random) -> None:
    site["discovery"]["mode"] = rng.choice(("ask", "push"))


def _vary_limits(site: Table, rng: random.Random) -> None:
    allow = site["allow"]
    for name in ("peers", "cancel", "second_copies", "retry_after"):
        allow[name] = _random_bool(rng)
    allow["max_attempts"] = rng.randint(1, MAX_ATTEMPTS)
    allow["cpu_ms_per_s"] = round(_log_uniform(rng, MIN_CPU_MS, MAX_CPU_MS))
    if not allow["peers"]:
        site["prices"]["peer"] = 0


def _vary_rules(site: Table, rng: random.Random) -> None:
    rules = site["rules"]
    rules["drain_grace_ms"] = rng.randrange(MIN_GRACE_MS, MAX_GRACE_MS + 1, 100)
    rules["fall_multiple"] = rng.choice((2, 2.5, 3, 4))
    rules["fall_ms"] = rng.randrange(1000, 3001, 250)


def _vary_network(site: Table, rng: random.Random) -> None:
    net = site["net"]
    same = _log_uniform(rng, MIN_DELAY_MS, MAX_DELAY_MS / 2)
    cross = _log_uniform(rng, same, MAX_DELAY_MS)
    client = _log_uniform(rng, MIN_DELAY_MS, MAX_DELAY_MS)
    for name, delay in (("same_ms", same), ("cross_ms", cross), ("client_ms", client)):
        net[name] = [round(delay * 0.7, 3), round(delay, 3)]


def _vary_clients(site: Table, rng: random.Random) -> None:
    clients = site["clients"]
    clients["retries"] = [rng.randint(0, 2), 3.99]
    clients["backoff"] = rng.choice(BACKOFFS)
    clients["marks_retry"] = _random_bool(rng)
    site["front"]["entry"] = rng.choice(("front", "own"))
    site["front"].setdefault("notice_s", [1.0, 3.0])


def _vary_tier(tier: Table, rng: random.Random) -> None:
    tier["weights"] = rng.choice(WEIGHTS)
    tier["report"]["how"] = rng.choice(REPORT_METHODS)
    tier["report"]["fields"] = rng.choice(REPORT_FIELDS)
    tier["conn"]["idle_s"] = rng.randint(MIN_IDLE_S, MAX_IDLE_S)
    tier["conn"]["streams"] = 2 ** rng.randint(0, MAX_STREAMS_LOG2)


def _vary_class(request_class: Table, rng: random.Random) -> None:
    deadline = _log_uniform(rng, MIN_DEADLINE_MS, MAX_DEADLINE_MS)
    request_class["deadline_ms"] = round(deadline)
    request_class["aim_ms"] = round(deadline * rng.uniform(0.3, 0.6))
    request_class["effect"] = rng.choice(EFFECTS)
    if request_class["effect"] == "keyed":
        request_class["group"] = rng.choice(GROUPS)
        request_class["window_ms"] = round(deadline * rng.uniform(0.3, 1.0))
    else:
        request_class.pop("group", None)
        request_class.pop("window_ms", None)


def vary(base: Table, seed: int) -> Table:
    """Return a variant of a parsed site; the same base and seed give the same variant.

    Raises DeploymentError if the base lacks a section.
    """
    rng = random.Random(seed)
    site = copy.deepcopy(base)
    try:
        _vary_discovery(site, rng)
        _vary_limits(site, rng)
        _vary_rules(site, rng)
        _vary_network(site, rng)
        _vary_clients(site, rng)
        for tier in site["tier"]:
            _vary_tier(tier, rng)
        for request_class in site["class"]:
            _vary_class(request_class, rng)
        _vary_names(site, rng)
        site["fam"]["mode"] = rng.choice(("aside", "through"))
    except KeyError as e:
        raise DeploymentError(f"the site has no {e}: add it, or start from a complete site file") from e
    return site


def read_site(path: Path) -> Table:
    """Parse a site file. Raises DeploymentError if it can't be read."""
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as e:
        raise DeploymentError(f"{path}: {e}; expected a site file in TOML") from e


def write_variants(base: Path, seeds: range, directory: Path) -> list[Path]:
    """Write a variant of the site for each seed, and copy the files beside it; return the paths."""
    site = read_site(base)
    directory.mkdir(parents=True, exist_ok=True)
    for name in COMPANION_FILES:
        if (base.parent / name).exists():
            shutil.copyfile(base.parent / name, directory / name)
    written = []
    for seed in seeds:
        path = directory / f"{base.stem}-{seed}.toml"
        path.write_text(tomli_w.dumps(vary(site, seed)))
        written.append(path)
    return written
