"""Draws deployments: variants of a site file that differ in what its operators may choose.

A router takes classes, limits and addresses from its settings alone, so a fault may show only under settings
that no given site has. Each seed draws one variant of a base site: how discovery and load reports work, what
routers are allowed, deadlines, effects, connection limits, drain grace, processor share and network delays.
The words and ranges are those of the protocol and of the simulator's pages.
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

# files beside a site that say which words stand on the sockets and which troubles may be drawn
COMPANIONS = ("real.json", "wire.json", "unlock.txt")
# [tier.report].how with the fields that reports carry
REPORT_WAYS = ("probe", "answers", "none")
REPORT_FIELDS = (["latency_ms", "inflight"], ["util", "qps"], ["inflight", "queue", "util"])
WEIGHTS = ("nominal", "live", "rough", "none")
EFFECTS = ("safe", "keyed", "unsafe")
GROUPS = ("all", "zone", "cell")
BACKOFFS = ("none", "fixed", "exp")
SHORTEST_DEADLINE_MS, LONGEST_DEADLINE_MS = 700, 15_000
SHORTEST_DELAY_MS, LONGEST_DELAY_MS = 0.1, 20.0
LEAST_CPU_MS, MOST_CPU_MS = 40, 500  # of processor time for each second
LEAST_GRACE_MS, MOST_GRACE_MS = 500, 2500
LEAST_IDLE_S, MOST_IDLE_S = 2, 30
MOST_STREAMS_LOG2 = 7
MOST_ATTEMPTS = 8
SYLLABLES = ("ba", "do", "ki", "lu", "me", "ra", "so", "ti", "vu", "za")
SYLLABLES_OF_A_WORD = 3


class DeploymentError(ValueError):
    """A site file that can't be varied; the message names the file and what to mend in it."""


def _log_uniform(rng: random.Random, least: float, most: float) -> float:
    return float(least * (most / least) ** rng.random())


def _flag(rng: random.Random) -> bool:
    return rng.random() < 0.5


def _word(rng: random.Random) -> str:
    return "".join(rng.choice(SYLLABLES) for _ in range(SYLLABLES_OF_A_WORD))


def _vary_words(site: Table, rng: random.Random) -> None:
    """Other names for zones, classes and kinds of machine, each unlike the others."""
    site["net"]["zones"] = [f"{_word(rng)}-{i}" for i, _ in enumerate(site["net"]["zones"])]
    kinds = [kind for tier in site["tier"] for kind in tier["kind"]]
    for i, named in enumerate([*site["class"], *kinds]):
        named["name"] = f"{_word(rng)}-{i}"


def _vary_discovery(site: Table, rng: random.Random) -> None:
    site["discovery"]["mode"] = rng.choice(("ask", "push"))


def _vary_allowances(site: Table, rng: random.Random) -> None:
    allow = site["allow"]
    for name in ("peers", "cancel", "second_copies", "retry_after"):
        allow[name] = _flag(rng)
    allow["max_attempts"] = rng.randint(1, MOST_ATTEMPTS)
    allow["cpu_ms_per_s"] = round(_log_uniform(rng, LEAST_CPU_MS, MOST_CPU_MS))
    if not allow["peers"]:
        site["prices"]["peer"] = 0


def _vary_rules(site: Table, rng: random.Random) -> None:
    rules = site["rules"]
    rules["drain_grace_ms"] = rng.randrange(LEAST_GRACE_MS, MOST_GRACE_MS + 1, 100)
    rules["fall_multiple"] = rng.choice((2, 2.5, 3, 4))
    rules["fall_ms"] = rng.randrange(1000, 3001, 250)


def _vary_network(site: Table, rng: random.Random) -> None:
    net = site["net"]
    same = _log_uniform(rng, SHORTEST_DELAY_MS, LONGEST_DELAY_MS / 2)
    cross = _log_uniform(rng, same, LONGEST_DELAY_MS)
    client = _log_uniform(rng, SHORTEST_DELAY_MS, LONGEST_DELAY_MS)
    for name, delay in (("same_ms", same), ("cross_ms", cross), ("client_ms", client)):
        net[name] = [round(delay * 0.7, 3), round(delay, 3)]


def _vary_clients(site: Table, rng: random.Random) -> None:
    clients = site["clients"]
    clients["retries"] = [rng.randint(0, 2), 3.99]
    clients["backoff"] = rng.choice(BACKOFFS)
    clients["marks_retry"] = _flag(rng)
    site["front"]["entry"] = rng.choice(("front", "own"))
    site["front"].setdefault("notice_s", [1.0, 3.0])


def _vary_tier(tier: Table, rng: random.Random) -> None:
    tier["weights"] = rng.choice(WEIGHTS)
    tier["report"]["how"] = rng.choice(REPORT_WAYS)
    tier["report"]["fields"] = rng.choice(REPORT_FIELDS)
    tier["conn"]["idle_s"] = rng.randint(LEAST_IDLE_S, MOST_IDLE_S)
    tier["conn"]["streams"] = 2 ** rng.randint(0, MOST_STREAMS_LOG2)


def _vary_class(request_class: Table, rng: random.Random) -> None:
    deadline = _log_uniform(rng, SHORTEST_DEADLINE_MS, LONGEST_DEADLINE_MS)
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
    """A variant of a parsed site; the same base and seed give the same variant.

    Raises DeploymentError for a base that lacks a section.
    """
    rng = random.Random(seed)
    site = copy.deepcopy(base)
    try:
        _vary_discovery(site, rng)
        _vary_allowances(site, rng)
        _vary_rules(site, rng)
        _vary_network(site, rng)
        _vary_clients(site, rng)
        for tier in site["tier"]:
            _vary_tier(tier, rng)
        for request_class in site["class"]:
            _vary_class(request_class, rng)
        _vary_words(site, rng)
        site["fam"]["mode"] = rng.choice(("aside", "through"))
    except KeyError as e:
        raise DeploymentError(f"the site has no {e}: add it, or begin from a whole site file") from e
    return site


def read_site(path: Path) -> Table:
    """Parse a site file; raises DeploymentError when it can't be read."""
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as e:
        raise DeploymentError(f"{path}: {e}; give a site file in TOML") from e


def write_variants(base: Path, seeds: range, folder: Path) -> list[Path]:
    """Write a variant of the site for each seed, with the files beside it; returns the paths."""
    site = read_site(base)
    folder.mkdir(parents=True, exist_ok=True)
    for name in COMPANIONS:
        if (base.parent / name).exists():
            shutil.copyfile(base.parent / name, folder / name)
    written = []
    for seed in seeds:
        path = folder / f"{base.stem}-{seed}.toml"
        path.write_text(tomli_w.dumps(vary(site, seed)))
        written.append(path)
    return written
