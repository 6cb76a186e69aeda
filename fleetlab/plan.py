"""The plan that the runner gives each worker process, and the messages between them.

`python -m fleetlab.worker PLAN` reads the plan, starts its part and prints one JSON object per line on
standard output: first `{"ready": true}`, at the end `{"roles": {NAME: Role, ...}}`. On standard input it
receives `{"began": T}`, the Unix time at which the schedule begins. It ends some time after the schedule,
when standard input closes, or on SIGTERM. Logs go to standard error.
"""

from __future__ import annotations

import zlib
from typing import Any, Literal

import msgspec

from fleetlab.experiment import Experiment
from fleetlab.results import Role

Part = Literal["discovery", "caches", "origin", "network", "clients", "hollow"]


class Addresses(msgspec.Struct, frozen=True):
    """The addresses of all parties, `HOST:PORT` in 127.`net`.0.0/16; routers and servers count from 0."""

    net: int
    port: int  # the lowest port in use; each kind of address has a port of its own

    def _at(self, block: int, number: int, port: int) -> str:
        return f"127.{self.net}.{block + (number >> 8)}.{number & 255}:{self.port + port}"

    def client_listen(self, router: int) -> str:
        """Return the address where a router accepts clients (TCP)."""
        return self._at(0, router + 1, 0)

    def peer_listen(self, router: int) -> str:
        """Return the address where a router receives peer messages (UDP)."""
        return self._at(0, router + 1, 1)

    def peer_advertised(self, router: int) -> str:
        """Return a router's address in its peers' `peers` lists (UDP): a socket of the network stand-in.

        The stand-in relays datagrams sent there, and sends the router's own messages from there.
        """
        return self._at(64, router + 1, 1)

    def peers_all(self) -> str:
        """Return the address that reaches all peers (UDP): a socket of the network stand-in."""
        return self._at(250, 1, 1)

    def discovery(self, router: int) -> str:
        """Return the address where a router calls discovery: one per router, to tell calls apart."""
        return self._at(192, router + 1, 2)

    def server(self, number: int) -> str:
        """Return a cache server's address; the replacement of a server gets a new number."""
        return self._at(128, number + 1, 3)

    def origin(self) -> str:
        """Return the address of the origin."""
        return self._at(251, 1, 4)


class Plan(msgspec.Struct, frozen=True):
    """The part of an experiment that one worker process plays."""

    part: Part
    experiment: Experiment
    addresses: Addresses
    seed: int
    hollow: list[int] = []  # numbers of this process's hollow routers; real routers have the first numbers
    # Unix time, set by the line `{"began": T}` on standard input
    schedule_start: float = msgspec.field(default=0.0, name="began")

    def router_count(self) -> int:
        """Return the number of routers, real and hollow."""
        return self.experiment.fleet.real + self.experiment.fleet.hollow


def hollow_by_process(experiment: Experiment) -> list[list[int]]:
    """Return the numbers of each process's hollow routers, dealt round-robin so that each has all zones."""
    fleet = experiment.fleet
    numbers = list(range(fleet.real, fleet.real + fleet.hollow))
    return [numbers[p :: fleet.processes] for p in range(min(fleet.processes, fleet.hollow))]


def peer_listeners(plan: Plan) -> list[int]:
    """Return the routers that receive peer messages: the real ones, and the first of each process's list."""
    lists = hollow_by_process(plan.experiment)
    hollow = [
        n for numbers in lists for n in numbers[: round(plan.experiment.fleet.listening * len(numbers))]
    ]
    return sorted([*range(plan.experiment.fleet.real), *hollow])


class Message(msgspec.Struct, omit_defaults=True):
    """A line that a worker prints for the runner."""

    ready: bool = False
    roles: dict[str, Role] = {}
    note: str = ""


def zone_name(number: int) -> str:
    """Return the name of a zone."""
    return f"zone-{number}"


def server_name(number: int) -> str:
    """Return a cache server's name in discovery's list, distinct for each number."""
    return f"s-{zlib.crc32(b'server-%d' % number):08x}"


def server_entry(
    plan: Plan, number: int, since_ms: int = 0, status: str = "in_service", weight: float = 1.0
) -> dict[str, Any]:
    """Return a cache server's entry in the server list, in discovery's format."""
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
    """Return the origin's entry in the server list, in discovery's format."""
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
    """Return the server list at the start, version 1, in discovery's format."""
    servers = [server_entry(plan, n) for n in range(plan.experiment.fleet.servers)]
    return {"index": 1, "snapshot": True, "endpoints": [*servers, origin_entry(plan)]}


def router_settings(experiment: Experiment, number: int) -> dict[str, Any]:
    """Return a router's settings in the format of the simulator's first message (WIRE, section 6)."""
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
    """Return the configuration file of a real or hollow router (DEPLOY)."""
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
    "hollow_by_process",
    "initial_server_list",
    "origin_entry",
    "peer_listeners",
    "router_config",
    "router_settings",
    "server_entry",
    "server_name",
    "zone_name",
]
