"""What the runner tells each process it starts, and what that process says back.

`python -m fleetlab.worker PLAN` reads the plan, starts its part and prints one JSON object a line on standard
output: first `{"ready": true}`, at the end `{"roles": {NAME: Role, ...}}`. On standard input it gets
`{"began": T}`, the Unix time at which the schedule begins; it ends some time after the schedule has, when
standard input closes, or on SIGTERM. Logs go to standard error.
"""

from __future__ import annotations

import zlib
from typing import Any, Literal

import msgspec

from fleetlab.experiment import Experiment
from fleetlab.results import Role

Part = Literal["discovery", "caches", "origin", "network", "clients", "hollow"]


class Addresses(msgspec.Struct, frozen=True):
    """Every party's address: all in 127.`net`.0.0/16, from one port on; routers and servers count from 0."""

    net: int
    port: int

    def _at(self, block: int, number: int, port: int) -> str:
        return f"127.{self.net}.{block + (number >> 8)}.{number & 255}:{self.port + port}"

    def client_listen(self, router: int) -> str:
        """Where a router listens for clients."""
        return self._at(0, router + 1, 0)

    def peer_listen(self, router: int) -> str:
        """Where a router hears peers (UDP)."""
        return self._at(0, router + 1, 1)

    def peer_advertised(self, router: int) -> str:
        """From where the others hear it: its place in `peers`; a socket of the network's stand-in."""
        return self._at(64, router + 1, 1)

    def peers_all(self) -> str:
        """The address of all peers (UDP), a socket of the network's stand-in."""
        return self._at(250, 1, 1)

    def discovery(self, router: int) -> str:
        """Where a router asks discovery; one for each, so that calls can be told apart."""
        return self._at(192, router + 1, 2)

    def server(self, number: int) -> str:
        """Where a cache server listens; each machine that replaces another has a new number."""
        return self._at(128, number + 1, 3)

    def origin(self) -> str:
        return self._at(251, 1, 4)


class Plan(msgspec.Struct, frozen=True):
    """One process's part."""

    part: Part
    experiment: Experiment
    addresses: Addresses
    seed: int
    hollow: list[int] = []  # numbers of the routers in this process; real ones have the first numbers
    # Unix time, set by the line `{"began": T}` on standard input
    schedule_start: float = msgspec.field(default=0.0, name="began")

    def router_count(self) -> int:
        return self.experiment.fleet.real + self.experiment.fleet.hollow


def hollow_by_process(experiment: Experiment) -> list[list[int]]:
    """The numbers of the hollow routers in each process, dealt round so that all hold all zones."""
    fleet = experiment.fleet
    numbers = list(range(fleet.real, fleet.real + fleet.hollow))
    return [numbers[p :: fleet.processes] for p in range(min(fleet.processes, fleet.hollow))]


def peer_listeners(plan: Plan) -> list[int]:
    """Numbers of the routers that hear peers: the real ones and the first of each process's list."""
    lists = hollow_by_process(plan.experiment)
    heard = [n for numbers in lists for n in numbers[: round(plan.experiment.fleet.listening * len(numbers))]]
    return sorted([*range(plan.experiment.fleet.real), *heard])


class Message(msgspec.Struct, omit_defaults=True):
    """A line from a worker."""

    ready: bool = False
    roles: dict[str, Role] = {}
    note: str = ""


def zone_name(number: int) -> str:
    return f"zone-{number}"


def server_name(number: int) -> str:
    """As discovery lists it; no two machines have one name."""
    return f"s-{zlib.crc32(b'server-%d' % number):08x}"


def server_entry(
    plan: Plan, number: int, since_ms: int = 0, status: str = "in_service", weight: float = 1.0
) -> dict[str, Any]:
    """A cache server's line of the list, in discovery's form."""
    zone = number % plan.experiment.fleet.zones
    return {
        "name": server_name(number),
        "address": plan.addresses.server(number),
        "zone": zone_name(zone),
        "type": "cache",
        "group": zone,
        "status": status,
        "weight": weight,
        "since_ms": since_ms,
    }


def origin_entry(plan: Plan) -> dict[str, Any]:
    """The origin's line of the list."""
    return {
        "name": "s-origin",
        "address": plan.addresses.origin(),
        "zone": zone_name(0),
        "type": "origin",
        "group": 0,
        "status": "in_service",
        "weight": 1.0,
        "since_ms": 0,
    }


def initial_server_list(plan: Plan) -> dict[str, Any]:
    """The list at the start, in discovery's form; version 1."""
    servers = [server_entry(plan, n) for n in range(plan.experiment.fleet.servers)]
    return {"index": 1, "snapshot": True, "endpoints": [*servers, origin_entry(plan)]}


def router_settings(experiment: Experiment, number: int) -> dict[str, Any]:
    """A router's settings, in the form and words of the simulator's first message (WIRE, section 6)."""
    fleet = experiment.fleet
    aim = experiment.shortest_aim
    return {
        "classes": [
            {
                "name": "read",
                "aim": 1.5 * aim,
                "effect": "free",
                "giveUp": 6 * aim,
                "group": "all",
                "lateWorth": 0.5,
                "repeatWindow": 5.0,
                "streaming": False,
                "value": 1.0,
            },
            {
                "name": "book",
                "aim": 2.5 * aim,
                "effect": "guarded",
                "giveUp": 6 * aim,
                "group": "all",
                "lateWorth": 0.25,
                "repeatWindow": 4.0,
                "streaming": False,
                "value": 10.0,
            },
            {
                "name": "lock",
                "aim": aim,
                "effect": "single_shot",
                "giveUp": 2 * aim,
                "group": "all",
                "lateWorth": 0.25,
                "repeatWindow": 5.0,
                "streaming": False,
                "value": 3.0,
            },
        ],
        "familyInfo": {"mode": "aside", "originKind": 1},
        "skus": ["cache", "origin"],
        "limits": {
            "connIdle": 30.0,
            "dialTimeout": 0.25,
            "maxRetryAfter": 2.0,
            "mayCancel": True,
            "mostHeld": 20000,
            "mostTries": 6,
            "peers": True,
            "probes": False,
            "secondCopies": True,
        },
        "me": number,
        "siblings": fleet.real + fleet.hollow,
        "membershipMode": "subscribe" if experiment.must_ask_in else "automatic",
        "penalties": {"connection": 0.0, "handshake": 0.02, "peer": 0.009, "waste": 0.3},
        "resolution": 0.005,
        "rules": {
            "answerSlack": 0.02,
            "coldFrom": experiment.cold_share,
            "fallMultiple": experiment.fall_multiple,
            "mustAskIn": experiment.must_ask_in or 10.0,
            "overloadFor": experiment.fall_window,
            "rampTime": experiment.ramp,
            "stopSendingWithin": experiment.drain_grace,
        },
        "weights": "nominal",
        "zone": zone_name(number % fleet.zones),
        "areas": [zone_name(z) for z in range(fleet.zones)],
    }


def router_config(plan: Plan, number: int, memory_mb: int = 192, sockets: int = 1024) -> dict[str, Any]:
    """The configuration file of one router, real or hollow (DEPLOY)."""
    addresses = plan.addresses
    return {
        "name": f"n{number}",
        "listen": addresses.client_listen(number),
        "discovery": addresses.discovery(number),
        "seed": f"{zlib.crc32(b'%d %d' % (plan.seed, number)):08x}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "peer_listen": addresses.peer_listen(number),
        "peers": [addresses.peer_advertised(n) for n in range(plan.router_count())],
        "peers_all": addresses.peers_all(),
        "known": initial_server_list(plan),
        "settings": router_settings(plan.experiment, number),
    }


__all__ = [
    "Addresses",
    "Message",
    "Part",
    "Plan",
    "router_config",
    "server_entry",
    "initial_server_list",
    "hollow_by_process",
    "peer_listeners",
    "origin_entry",
    "server_name",
    "router_settings",
    "zone_name",
]
