"""What an experiment file may say.

Times are seconds, rates are events a second, shares are between 0 and 1, sizes are numbers of things; `at`
counts from the start of the schedule, which begins once all are up.
"""

from __future__ import annotations

from typing import Literal

import msgspec

Mode = Literal["live", "module", "model"]


class Base(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table of the file; a key that it does not know is an error."""


class Fleet(Base, frozen=True):
    """How many of each there are."""

    real: int = 4  # routers, a process of the deploy file's `run` each
    hollow: int = 0  # routers that share processes: the module with real discovery and peers
    processes: int = 2  # that the hollow ones share
    servers: int = 13
    zones: int = 4  # of servers and routers alike
    listening: float = (
        1.0  # share of the hollow routers that hear peers: hearing all costs the square of the fleet
    )
    full: int = (
        0  # hollow routers that are asked `requests.full_rate`, the first of each process before others
    )


class Requests(Base, frozen=True):
    """What clients ask for."""

    rate: float = 20.0  # requests a second at each real router, by clients over real connections
    hollow_rate: float = 4.0  # at each hollow router, made by a model
    full_rate: float = 565.0  # at each of `fleet.full` hollow routers
    keys: int = 2000
    zipf: float = 1.0
    hits: float = 0.9  # share of reads that a warm server has
    writes: float = 0.02
    latency_ms: float = 50.0  # usual time of a cache server


class Discovery(Base, frozen=True):
    """The stand-in's capacity: calls are served one after another."""

    call_ms: float = 2.0  # of service for each call that begins a watch or asks for the list
    line_us: float = 20.0  # more for each entry that an answer holds
    timeout: float = 2.0  # a call that waits longer in turn is ended with 503
    lag: float = 0.0  # from a change until discovery has it


class Network(Base, frozen=True):
    """Datagrams between routers."""

    loss: float = 0.0  # share lost
    doubled: float = 0.0  # share that arrives twice
    late_ms: float = 0.0  # mean time on the way, drawn anew for each
    garbled: float = 0.0  # share with a byte changed


class Fault(Base, frozen=True):
    """Something that happens `at` a time, for `lasts` seconds."""

    kind: Literal[
        "restart",  # of `count` routers, spread over `lasts`; real ones with SIGTERM
        "router_lost",  # `count` routers gone for `lasts`, then back from nothing
        "servers_change",  # `count` are replaced, spread over `lasts`: old ones drain, new are cold
        "servers_lost",  # `count` servers vanish for `lasts` and come back cold
        "servers_hang",  # `count` servers say nothing for `lasts`
        "zone_lost",  # all servers and routers of zone `zone`, for `lasts`, back cold
        "region_cut",  # zone `zone` cannot reach the others (datagrams and attempts) for `lasts`
        "discovery_down",  # refuses calls and ends watches for `lasts`
        "changes",  # `count` changes of weight, spread over `lasts`
        "lists_late",  # discovery's lag grows by `count` seconds for `lasts`
        "network",  # `loss` of all datagrams for `lasts`
    ]
    at: float
    lasts: float = 0.0
    count: int = 1
    zone: int = 0
    loss: float = 0.0


class Sweep(Base, frozen=True):
    """The points of a sweep: each axis by itself from the experiment's own values, or all together."""

    axes: dict[str, list[float]] = {}  # "fleet.hollow" = [4, 40, 230], by the names of this file
    together: bool = False  # the i-th value of every axis makes the i-th point
    plays: int = 3  # of each point, with seeds that follow each other


class Experiment(Base, frozen=True):
    """One file."""

    name: str
    mode: Mode = "live"
    seed: int = 1
    seconds: float = 30.0  # of the schedule
    settle: float = 20.0  # at most, until all are up
    shortest_aim: float = 1.0  # of the classes that routers are told
    must_ask_in: float = 10.0  # 0: lists are pushed
    drain_grace: float = 2.5
    cold_share: float = 0.13
    ramp: float = 23.0
    fall_multiple: float = 3.0
    fall_window: float = 1.5
    fleet: Fleet = Fleet()
    requests: Requests = Requests()
    discovery: Discovery = Discovery()
    network: Network = Network()
    faults: list[Fault] = []
    sweep: Sweep = Sweep()
    memory_share: float = 0.5  # of the machine's memory, at most
    most_processes: int = 300
