"""The model of many routers, the costs of one, and hollow routers over real sockets."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

import orjson
import pytest

from brackenwalk import interface as api
from brackenwalk.net.pool import address_of
from brackenwalk.policy import Router
from fleetlab import experiment as lab
from fleetlab import hollow, module_costs
from fleetlab.model import Fleet, shared_rings, zipf
from fleetlab.plan import Addresses, Plan, entry_of, server_name
from fleetlab.results import Role
from tests.driver import entry, settings
from tests.loopback import http, run

CONF = settings(peers=True)
SERVERS = [entry(f"s{i}", zone="ab"[i % 2]) for i in range(6)]


# The model


def test_a_sample_of_listeners_hears_all_that_others_tell() -> None:
    fleet = Fleet(CONF, 12, SERVERS, siblings=36, listeners=3)
    fleet.run(2.0, 600.0, zipf(50))
    told, heard = Counter[int](), Counter[int]()
    for (number, _), count in fleet.told.items():
        told[number] += count
    for (number, _), count in fleet.hears.items():
        heard[number] += count
    assert len(fleet.listeners) == 3 and set(heard) == set(fleet.listeners)
    assert all(heard[n] == told.total() - told[n] for n in fleet.listeners)
    arrived = fleet.events["peer"]
    assert 0 <= heard.total() - arrived <= 3  # what is still on the way
    assert sum(m for m, _ in fleet.told_in(range(100, 102))) == 3 * told.total()  # one stands for three
    assert sum(b for _, b in fleet.told_in(range(100, 102))) == 3 * sum(map(len, fleet.messages))


def outcomes(fleet: Fleet) -> list[api.Outcome]:
    """All outcomes that routers are told from now on, in order."""
    seen: list[api.Outcome] = []

    def keep(feed: Callable[[int, api.Event], None], number: int, event: api.Event) -> None:
        seen.extend([event] if isinstance(event, api.Outcome) else [])
        feed(number, event)

    vars(fleet)["feed"] = lambda number, event, feed=fleet.feed: keep(feed, number, event)
    return seen


def test_a_lost_server_is_silent_first_and_then_can_not_be_reached() -> None:
    fleet = Fleet(settings(max_attempts=1), 1, [entry("a")], hosted=True)
    seen = outcomes(fleet)
    fleet.lose(["a"])
    fleet.run(2.0, 5.0, [1.0])
    ends = Counter(o.status for o in seen)
    assert ends[api.Status.TIMEOUT] == 1 and ends[api.Status.CONNECT_FAILED] >= 1
    assert all(o.latency == CONF.dial_timeout for o in seen if o.status is api.Status.CONNECT_FAILED)
    assert fleet.ended["served"] == 0 < fleet.ended["failed"]
    fleet.find(["a"])
    fleet.run(4.0, 5.0, [1.0])
    assert fleet.ended["served"] > 5


def test_what_is_under_way_at_a_server_that_vanishes_times_out() -> None:
    fleet = Fleet(settings(max_attempts=1), 1, [entry("a")])
    fleet.keys["r"], fleet.due["r"] = "k", fleet.now + 1.0
    fleet.feed(0, api.Request("r", "read", 1.0, "k"))
    fleet.lose(["a"])
    at, _, _, event = fleet.pending[0]
    assert at == fleet.now + 1.0
    assert isinstance(event, api.Outcome) and event.status is api.Status.TIMEOUT and not event.closed


def test_routers_that_vanished_are_asked_and_told_nothing() -> None:
    fleet = Fleet(CONF, 4, SERVERS)
    fleet.run(1.0, 200.0, zipf(50))
    fleet.lose([], [0])
    before, heard = fleet.routers[0].taken, sum(c for (n, _), c in fleet.hears.items() if n == 0)
    fleet.run(1.0, 200.0, zipf(50))
    assert fleet.routers[0].taken == before
    assert sum(c for (n, _), c in fleet.hears.items() if n == 0) == heard


def test_shared_rings_are_those_of_each_router_alone() -> None:
    drained = api.ServerList(api.ListKind.DELTA, (replace(SERVERS[2], state=api.State.DRAINING),))

    def rings() -> list[tuple[list[int], list[str], list[float]]]:
        found = []
        for number in range(2):
            router = Router(CONF, number, 100.0)
            for event in (api.ServerList(api.ListKind.SAVED, tuple(SERVERS)), drained):
                router.handle(100.0, event)
                ring = router.ring
                assert all(owner is router.servers[owner.entry.server] for owner in ring.owners)
                owners = [owner.entry.server for owner in ring.owners]
                found.append((list(ring.positions), owners, list(ring.ranks)))
        return found

    alone = rings()
    with shared_rings():
        assert rings() == alone
    assert rings() == alone


# The costs of one


def test_costs_of_one_instance_at_a_tiny_size(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("WARM", "QUIET", "TIMED"):
        monkeypatch.setattr(module_costs, name, 1)
    experiment = lab.Experiment(
        name="tiny",
        mode="module",
        fleet=lab.Fleet(real=4, hollow=2, servers=6, zones=3),
        requests=lab.Requests(full_rate=60.0, keys=100),
        faults=[lab.Fault(kind="changes", at=1.0, count=15)],
    )
    roles = module_costs.measure(experiment, 1)
    metrics = roles["module"].metrics
    for kind in ("list", "change", "call", "request", "outcome", "tell", "peer", "timer"):
        assert metrics[f"cpu.us.{kind}"].value > 0, kind
    assert metrics["cpu.us.tell"].value > metrics["cpu.us.request"].value
    assert 40 < metrics["rate.request"].value + metrics["rate.tell"].value < 80
    assert metrics["rate.change"].value == 0.5
    assert metrics["rate.peer"].value > 0 and metrics["storm.rate.peer"].value > 0
    assert metrics["bytes.in.peers"].value <= 256 * metrics["rate.peer"].value
    assert 0.01 < metrics["state.mb"].value < 5
    assert len(roles["module"].seconds["storm.rate.peer"]) == module_costs.STORM


# Hollow routers


@dataclass(frozen=True)
class Gone:
    """A server that is down from a time on."""

    start: float

    def is_up(self, at: float) -> bool:
        return at < self.start

    def is_hanging(self, at: float) -> bool:
        return False

    def start_time(self, at: float) -> float | None:
        return None


@dataclass(frozen=True)
class Away:
    """A router that is gone for a while."""

    router: int
    start: float
    end: float


class Registry:
    """Discovery: tells the first call of each router of a drain, and then nothing; keeps who asked what."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.asked: list[tuple[int, str]] = []
        self.over = asyncio.Event()

    async def start(self) -> list[asyncio.Server]:
        def serve(number: int) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]:
            return lambda reader, writer: self.answer(number, reader, writer)

        places = [address_of(self.plan.addresses.discovery(n)) for n in self.plan.hollow]
        pairs = zip(self.plan.hollow, places, strict=True)
        return [await asyncio.start_server(serve(n), *place) for n, place in pairs]  # type: ignore[arg-type]

    async def answer(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
        self.asked.append((number, target))
        if "after=1&" in target:
            lines = [entry_of(self.plan, 1, status="terminating")]
            writer.write(http("200 OK", orjson.dumps({"index": 2, "snapshot": False, "endpoints": lines})))
        else:
            await self.over.wait()
        writer.close()


class Between(asyncio.DatagramProtocol):
    """The network: what comes to the address of all goes to every other router, from its sender's place."""

    def __init__(self, plan: Plan) -> None:
        addresses = plan.addresses
        self.told: list[bytes] = []
        self.targets = {address_of(addresses.peer_listen(n)): n for n in plan.hollow}
        self.places = {n: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for n in plan.hollow}
        for number, place in self.places.items():
            place.bind(address_of(addresses.peer_seen(number)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.told.append(data)
        for target in self.targets:
            if target != addr:
                self.places[self.targets[addr]].sendto(data, target)


def plan_of(**fleet: int) -> Plan:
    """A plan on loopback addresses that no other test process uses."""
    net = 20 + os.getpid() % 200
    with socket.socket() as free:
        free.bind((f"127.{net}.0.1", 0))
        port = free.getsockname()[1] - 4
    experiment = lab.Experiment(
        name="tiny",
        seconds=20.0,
        shortest_aim=0.4,
        fleet=lab.Fleet(real=0, hollow=2, processes=1, servers=4, zones=2, **fleet),
        requests=lab.Requests(hollow_rate=60.0, full_rate=240.0, keys=20, latency_ms=4.0),
    )
    return Plan("hollow", experiment, Addresses(net, port), 1, hollow=[0, 1])


def play(
    plan: Plan, schedule: hollow.Schedule, done: Callable[[Registry, list[bytes]], bool]
) -> dict[str, Role]:
    """Play hollow routers until something has come about; the roles at the end."""
    found: dict[str, Role] = {}

    async def scenario() -> None:
        registry, between = Registry(plan), Between(plan)
        servers = await registry.start()
        loop = asyncio.get_running_loop()
        began: asyncio.Future[float] = loop.create_future()
        ended = asyncio.Event()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: between, local_addr=address_of(plan.addresses.everyone())
        )
        part = asyncio.create_task(
            hollow.run(plan, lambda: began.set_result(time.time()), began, ended, schedule)
        )
        while not part.done() and not done(registry, between.told):
            await asyncio.sleep(0.02)
        ended.set()
        found.update(await part)
        registry.over.set()
        transport.close()
        for server in servers:
            server.close()
            await server.wait_closed()
        for place in between.places.values():
            place.close()

    run(scenario)
    return found


def test_hollow_routers_hear_discovery_and_each_other() -> None:
    plan = plan_of(full=1)
    roles = play(
        plan, hollow.Schedule(), lambda r, told: len(told) > 20 and len({n for n, _ in r.asked}) == 2
    )
    assert set(roles) == {"hollow", "full", "lab"}
    for name, role in roles.items():
        if name == "lab":
            assert role.metrics["cpu.share"].value >= 0 and role.metrics["lag"].count > 0
            continue
        metrics = role.metrics
        assert role.instances == 1
        assert metrics["rate.peer"].value > 0 and metrics["bytes.in.peers"].value > 0
        assert metrics["bytes.out.peers"].value > 0 and metrics["cpu.us.tell"].value > 0
        assert metrics["served"].value > 0.9 and metrics["asked"].value > 0
        assert metrics["state.mb"].value > 0.01 and metrics["memory.mb"].value > 1
    assert roles["full"].metrics["rate.request"].value > roles["hollow"].metrics["rate.request"].value


def test_a_router_that_was_gone_asks_again_and_lost_servers_serve_nothing() -> None:
    plan = plan_of()
    lives: dict[int, hollow.Life] = {n: Gone(0.0) for n in range(4)}
    schedule = hollow.Schedule(lives, [Away(1, 0.5, 0.8)])
    first = "/registry/instances?after=1&wait_ms=3000"
    roles = play(plan, schedule, lambda r, told: r.asked.count((1, first)) == 2)
    metrics = roles["hollow"].metrics
    assert metrics["calls"].value > 0 and metrics["bytes.in.discovery"].value > 0
    assert metrics["cpu.us.change"].value > 0 and metrics["cpu.us.call"].value > 0
    assert metrics["served"].value < 0.2  # but for writes, which go to the origin


def test_faults_are_seen_from_the_routers_zone() -> None:
    schedule = hollow.Schedule({1: Gone(5.0)}, cut=lambda one, other, at: one != other and at > 3)
    assert schedule.state(1, 0, 1, 2.0) == "up"
    assert schedule.state(1, 0, 1, 4.0) == "lost" and schedule.state(1, 1, 1, 4.0) == "up"
    assert schedule.state(1, 1, 1, 6.0) == "lost"


def test_the_address_of_a_server_tells_its_number() -> None:
    fleet = hollow.Process(plan_of(), hollow.Schedule())
    addresses = fleet.plan.addresses
    assert [fleet.number_of(addresses.server(n)) for n in (3, 300)] == [3, 300]
    assert fleet.number_of(addresses.origin()) is None
    assert server_name(3) in {m.entry.server for m in fleet.known}
    with pytest.raises(ValueError, match="no server"):
        fleet.number_of("127.0.0.1:1")
