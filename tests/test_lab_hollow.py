"""The fleet model, the costs of one instance, and hollow routers over real sockets."""

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
from brackenwalk.net.pool import parse_address
from brackenwalk.policy import Router
from fleetlab import experiment as lab
from fleetlab import hollow, module_costs
from fleetlab.model import FleetModel, shared_rings, zipf_weights
from fleetlab.plan import Addresses, Plan, server_entry, server_name
from fleetlab.results import Role
from tests.driver import entry, settings
from tests.loopback import http, run
from tests.ring_nodes import nodes_in_use

SETTINGS = settings(peer_messages=True)
SERVERS = [entry(f"s{i}", zone="ab"[i % 2]) for i in range(6)]


# The fleet model


def test_a_sample_of_listeners_receives_all_messages_of_the_others() -> None:
    fleet = FleetModel(SETTINGS, 12, SERVERS, siblings=36, max_listeners=3)
    fleet.run(2.0, 600.0, zipf_weights(50))
    sent, received = Counter[int](), Counter[int]()
    for (number, _), count in fleet.messages_out.items():
        sent[number] += count
    for (number, _), count in fleet.messages_in.items():
        received[number] += count
    assert len(fleet.listeners) == 3 and set(received) == set(fleet.listeners)
    assert all(received[n] == sent.total() - sent[n] for n in fleet.listeners)
    arrived = fleet.event_counts["peer"]
    assert 0 <= received.total() - arrived <= 3  # the rest is still queued
    # each simulated router stands for three
    assert sum(m for m, _ in fleet.fleet_traffic(range(100, 102))) == 3 * sent.total()
    assert sum(b for _, b in fleet.fleet_traffic(range(100, 102))) == 3 * sum(map(len, fleet.messages))


def record_outcomes(fleet: FleetModel) -> list[api.Outcome]:
    """Record all outcomes that routers receive from now on, in order."""
    seen: list[api.Outcome] = []

    def record(dispatch: Callable[[int, api.Event], None], number: int, event: api.Event) -> None:
        seen.extend([event] if isinstance(event, api.Outcome) else [])
        dispatch(number, event)

    vars(fleet)["dispatch"] = lambda number, event, dispatch=fleet.dispatch: record(dispatch, number, event)
    return seen


def test_attempts_at_a_lost_server_time_out_once_and_then_fail_to_connect() -> None:
    fleet = FleetModel(settings(max_attempts=1), 1, [entry("a")], run_timers=True)
    seen = record_outcomes(fleet)
    fleet.fail(["a"])
    fleet.run(2.0, 5.0, [1.0])
    statuses = Counter(o.status for o in seen)
    assert statuses[api.Status.TIMEOUT] == 1 and statuses[api.Status.CONNECT_FAILED] >= 1
    assert all(o.latency == SETTINGS.dial_timeout for o in seen if o.status is api.Status.CONNECT_FAILED)
    assert fleet.finished["served"] == 0 < fleet.finished["failed"]
    fleet.recover(["a"])
    fleet.run(4.0, 5.0, [1.0])
    assert fleet.finished["served"] > 5


def test_attempts_in_flight_at_a_server_that_goes_down_time_out() -> None:
    fleet = FleetModel(settings(max_attempts=1), 1, [entry("a")])
    fleet.request_keys["r"], fleet.request_deadlines["r"] = "k", fleet.now + 1.0
    fleet.dispatch(0, api.Request("r", "read", 1.0, "k"))
    fleet.fail(["a"])
    at, _, _, event = fleet.event_queue[0]
    assert at == fleet.now + 1.0
    assert isinstance(event, api.Outcome) and event.status is api.Status.TIMEOUT and not event.request_done


def test_lost_routers_receive_neither_requests_nor_messages() -> None:
    fleet = FleetModel(SETTINGS, 4, SERVERS)
    fleet.run(1.0, 200.0, zipf_weights(50))
    fleet.fail([], [0])
    requests, received = (
        fleet.routers[0].accepted,
        sum(c for (n, _), c in fleet.messages_in.items() if n == 0),
    )
    fleet.run(1.0, 200.0, zipf_weights(50))
    assert fleet.routers[0].accepted == requests
    assert sum(c for (n, _), c in fleet.messages_in.items() if n == 0) == received


def test_shared_rings_equal_those_built_without_sharing() -> None:
    drained = api.ServerList(api.ListKind.DELTA, (replace(SERVERS[2], state=api.ServerState.DRAINING),))

    def rings() -> list[list[tuple[int, str, float]]]:
        found = []
        for number in range(2):
            router = Router(SETTINGS, number, 100.0)
            for event in (api.ServerList(api.ListKind.SAVED, tuple(SERVERS)), drained):
                due = router.handle(100.0, event)
                while api.ResumeLater() in due:
                    due = router.handle(100.0, api.Resume())
                ring = router.ring
                assert ring.slots.keys() == {s.entry.server for s in router.caches}
                found.append(nodes_in_use(ring))
        return found

    unshared = rings()
    with shared_rings():
        assert rings() == unshared
    assert rings() == unshared


# The costs of one instance


def test_the_costs_of_one_instance_are_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("WARM_UP_S", "STEADY_S", "TIMED_S"):
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
    assert len(roles["module"].seconds["storm.rate.peer"]) == module_costs.STORM_S


# Hollow routers


@dataclass(frozen=True)
class DownFrom:
    """A server that goes down at `start` and stays down."""

    start: float

    def is_up(self, at: float) -> bool:
        return at < self.start

    def is_hanging(self, at: float) -> bool:
        return False

    def start_time(self, at: float) -> float | None:
        return None


@dataclass(frozen=True)
class FakeOutage:
    """A router that is down from `start` to `end`."""

    router: int
    start: float
    end: float


class FakeDiscovery:
    """Discovery that answers each router's first watch with a drain, and no later one; records the calls."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.calls: list[tuple[int, str]] = []
        self.closing = asyncio.Event()

    async def start(self) -> list[asyncio.Server]:
        def serve(number: int) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]:
            return lambda reader, writer: self.respond(number, reader, writer)

        discovery_addresses = [parse_address(self.plan.addresses.discovery(n)) for n in self.plan.hollow]
        pairs = zip(self.plan.hollow, discovery_addresses, strict=True)
        return [await asyncio.start_server(serve(n), *address) for n, address in pairs]  # type: ignore[arg-type]

    async def respond(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
        self.calls.append((number, target))
        if "after=1&" in target:
            entries = [server_entry(self.plan, 1, status="terminating")]
            writer.write(http("200 OK", orjson.dumps({"index": 2, "snapshot": False, "endpoints": entries})))
        else:
            await self.closing.wait()
        writer.close()


class Network(asyncio.DatagramProtocol):
    """Relays datagrams for all peers to every other router, from the sender's advertised address."""

    def __init__(self, plan: Plan) -> None:
        addresses = plan.addresses
        self.messages: list[bytes] = []
        self.targets = {parse_address(addresses.peer_listen(n)): n for n in plan.hollow}
        self.sockets = {n: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for n in plan.hollow}
        for number, sock in self.sockets.items():
            sock.bind(parse_address(addresses.peer_advertised(number)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.messages.append(data)
        for target in self.targets:
            if target != addr:
                self.sockets[self.targets[addr]].sendto(data, target)


def make_plan(**fleet: int) -> Plan:
    """Return a plan on loopback addresses that no other test process uses."""
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
    plan: Plan, schedule: hollow.Schedule, done: Callable[[FakeDiscovery, list[bytes]], bool]
) -> dict[str, Role]:
    """Run hollow routers until `done` returns true. Returns their roles."""
    roles: dict[str, Role] = {}

    async def scenario() -> None:
        discovery, network = FakeDiscovery(plan), Network(plan)
        servers = await discovery.start()
        loop = asyncio.get_running_loop()
        schedule_start: asyncio.Future[float] = loop.create_future()
        ended = asyncio.Event()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: network, local_addr=parse_address(plan.addresses.peers_all())
        )
        part = asyncio.create_task(
            hollow.run(plan, lambda: schedule_start.set_result(time.time()), schedule_start, ended, schedule)
        )
        while not part.done() and not done(discovery, network.messages):
            await asyncio.sleep(0.02)
        ended.set()
        roles.update(await part)
        discovery.closing.set()
        transport.close()
        for server in servers:
            server.close()
            await server.wait_closed()
        for sock in network.sockets.values():
            sock.close()

    run(scenario)
    return roles


def test_hollow_routers_call_discovery_and_exchange_messages() -> None:
    plan = make_plan(full=1)
    roles = play(
        plan, hollow.Schedule(), lambda d, messages: len(messages) > 20 and len({n for n, _ in d.calls}) == 2
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


def test_a_restarted_router_calls_discovery_again_and_lost_servers_serve_nothing() -> None:
    plan = make_plan()
    timelines: dict[int, hollow.Timeline] = {n: DownFrom(0.0) for n in range(4)}
    schedule = hollow.Schedule(timelines, [FakeOutage(1, 0.5, 0.8)])
    first_call = "/registry/instances?after=1&wait_ms=3000"
    roles = play(plan, schedule, lambda d, messages: d.calls.count((1, first_call)) == 2)
    metrics = roles["hollow"].metrics
    assert metrics["calls"].value > 0 and metrics["bytes.in.discovery"].value > 0
    assert metrics["cpu.us.change"].value > 0 and metrics["cpu.us.call"].value > 0
    assert metrics["served"].value < 0.2  # only writes, which go to the origin


def test_server_states_depend_on_the_zone_of_the_router() -> None:
    schedule = hollow.Schedule(
        {1: DownFrom(5.0)}, partitioned=lambda zone, other, at: zone != other and at > 3
    )
    assert schedule.server_state(1, 0, 1, 2.0) == "up"
    assert schedule.server_state(1, 0, 1, 4.0) == "lost" and schedule.server_state(1, 1, 1, 4.0) == "up"
    assert schedule.server_state(1, 1, 1, 6.0) == "lost"


def test_server_numbers_follow_from_addresses() -> None:
    process = hollow.HollowProcess(make_plan(), hollow.Schedule())
    addresses = process.plan.addresses
    assert [process.server_number(addresses.server(n)) for n in (3, 300)] == [3, 300]
    assert process.server_number(addresses.origin()) is None
    assert server_name(3) in {m.entry.server for m in process.members}
    with pytest.raises(ValueError, match="not the address of a cache server"):
        process.server_number("127.0.0.1:1")
