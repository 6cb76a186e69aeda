"""Checks the stand-ins against the protocol over loopback, mostly with the router's own clients."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import hiredis
import msgspec
import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from brackenwalk import interface as api
from brackenwalk.interface import Status
from brackenwalk.net.command import read_command
from brackenwalk.net.discovery import DiscoveryClient, read_list
from brackenwalk.net.origin import OriginConnection
from brackenwalk.net.peers import PeerSocket
from brackenwalk.net.pool import Connection, Pool
from brackenwalk.net.requests import Member
from brackenwalk.net.servers import CacheConnection
from fleetlab import experiment as lab
from fleetlab.plan import (
    Addresses,
    Message,
    Part,
    Plan,
    hollow_by_process,
    initial_server_list,
    peer_listeners,
    server_entry,
    server_name,
)
from fleetlab.results import Role
from fleetlab.standins import caches, clients, discovery, lifecycle, network, origin
from fleetlab.standins import schedule as fault_schedule
from fleetlab.standins.lifecycle import host_port

REQUEST_ID = b"0000aaaabbbbcccc"
TIMEOUT_S = 8.0  # far more than any test here takes
Run = Callable[[Plan, Callable[[], None], Awaitable[float], asyncio.Event], Awaitable[dict[str, Role]]]


def free_addresses() -> Addresses:
    """Find a block of unused loopback addresses and ports."""
    while True:
        found = Addresses(net=random.randint(20, 250), port=random.randint(20000, 32000))
        try:
            for address in (found.client_listen(0), found.discovery(0), found.server(0), found.origin()):
                with socket.socket() as trial:
                    trial.bind(host_port(address))
        except OSError:
            continue
        return found


def plan_of(part: Part = "discovery", seed: int = 1, **fields: Any) -> Plan:
    fields.setdefault("fleet", lab.Fleet(real=3, servers=4, zones=2))
    fields.setdefault("requests", lab.Requests(latency_ms=2.0))
    fields = {"seconds": 30.0} | fields
    return Plan(part, lab.Experiment(name="test", **fields), free_addresses(), seed)


class RunningStandIn:
    """Runs a stand-in inside an `async with` block; afterwards `roles` holds what it reported."""

    def __init__(self, run: Run, plan: Plan) -> None:
        self.run = run
        self.plan = plan
        self.roles: dict[str, Role] = {}
        self.ended = asyncio.Event()
        self.schedule_start: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    async def __aenter__(self) -> RunningStandIn:
        startup = asyncio.Event()
        self.task = asyncio.ensure_future(self.run(self.plan, startup.set, self.schedule_start, self.ended))
        await startup.wait()
        return self

    def begin(self) -> None:
        self.schedule_start.set_result(time.time())

    async def __aexit__(self, *_: object) -> None:
        self.ended.set()
        self.roles |= await self.task


def run_test(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    async def with_timeout() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await test()

    asyncio.run(with_timeout())


async def exchange(address: str, data: bytes, until: bytes = b"") -> bytes:
    """Send bytes and return the response, up to `until` or the connection's end."""
    reader, writer = await asyncio.open_connection(*host_port(address))
    writer.write(data)
    response = await (reader.readuntil(until) if until else reader.read())
    writer.close()
    return response


async def call_discovery(plan: Plan, router: int, query: str = "") -> tuple[int, Any]:
    """Call discovery and return the status and the decoded JSON body."""
    reader, writer = await asyncio.open_connection(*host_port(plan.addresses.discovery(router)))
    writer.write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), orjson.loads(body) if body else None


FAULTS = st.lists(
    st.builds(
        lab.Fault,
        kind=st.sampled_from(
            ["servers_change", "servers_lost", "servers_hang", "zone_lost", "changes", "lists_late"]
        ),
        at=st.integers(0, 20).map(float),
        lasts=st.integers(0, 10).map(float),
        count=st.integers(1, 5),
        zone=st.integers(0, 1),
    ),
    max_size=5,
)


@hypothesis_settings(max_examples=60, deadline=None)
@given(faults=FAULTS, seed=st.integers(0, 3))
def test_list_matches_server_timelines_and_is_reproducible_by_seed(
    faults: list[lab.Fault], seed: int
) -> None:
    experiment = lab.Experiment(name="x", faults=faults, fleet=lab.Fleet(servers=7, zones=2))
    plan = Plan("discovery", experiment, Addresses(5, 1000), seed, schedule_start=1000.0)
    changes, timelines = fault_schedule.list_changes(plan), fault_schedule.server_timelines(plan)
    assert (changes, timelines) == (fault_schedule.list_changes(plan), fault_schedule.server_timelines(plan))
    assert [c.at for c in changes] == sorted({c.at for c in changes})
    listed = {e["name"]: e for e in initial_server_list(plan)["endpoints"] if e["type"] == "cache"}
    for change in changes:
        for entry in change.entries:
            listed[entry["name"]] = entry
    end = 1e6  # after all faults
    serving = {n for n, e in listed.items() if e["status"] == "in_service"}
    assert serving == {server_name(n) for n, timeline in timelines.items() if timeline.is_up(end)}
    for number, timeline in timelines.items():
        started = timeline.start_time(end)
        if timeline.is_up(end):
            since = listed[server_name(number)]["since_ms"]
            assert since == (0 if started is None else int((1000 + started) * 1000))


def test_seed_determines_affected_servers_and_routers() -> None:
    faults = [
        lab.Fault(kind="servers_lost", at=1, lasts=5, count=3),
        lab.Fault(kind="router_lost", at=1, lasts=5, count=3),
    ]
    fleet = lab.Fleet(real=4, hollow=40, servers=40)
    plans = [plan_of(seed=s, faults=faults, fleet=fleet) for s in range(4)]
    lost = [
        {n for n, timeline in fault_schedule.server_timelines(p).items() if not timeline.is_up(2)}
        for p in plans
    ]
    gone = [{a.router for a in fault_schedule.router_outages(p)} for p in plans]
    assert all(len(x) == 3 for x in lost + gone)
    assert len({frozenset(x) for x in lost}) > 1 and len({frozenset(x) for x in gone}) > 1


def test_replaced_server_drains_and_its_replacement_is_cold() -> None:
    plan = plan_of(faults=[lab.Fault(kind="servers_change", at=2.0)])
    timelines, changes = fault_schedule.server_timelines(plan), fault_schedule.list_changes(plan)
    old = next(n for n, timeline in timelines.items() if timeline.drain_start == 2.0)
    new = next(n for n in timelines if n >= 4)
    assert new % 2 == old % 2  # in the same zone
    assert [e["status"] for c in changes for e in c.entries] == ["terminating", "in_service", "terminated"]
    assert fault_schedule.warm_up_share(plan, timelines[old].start_time(3.0), 3.0) == 1.0
    cold, ramp = plan.experiment.cold_share, plan.experiment.ramp
    assert fault_schedule.warm_up_share(plan, timelines[new].start_time(2.0), 2.0) == pytest.approx(cold)
    assert fault_schedule.warm_up_share(plan, 2.0, 2.0 + ramp / 2) == pytest.approx((1 + cold) / 2)
    assert fault_schedule.warm_up_share(plan, 2.0, 2.0 + ramp) == pytest.approx(1.0)


def test_delayed_list_changes_are_published_in_order() -> None:
    faults = [
        lab.Fault(kind="lists_late", at=0, lasts=2, count=4),
        lab.Fault(kind="changes", at=1, lasts=2, count=2),
    ]
    changes = fault_schedule.list_changes(plan_of(faults=faults, discovery=lab.Discovery(lag=0.5)))
    # the change at 2.0 has a lag of 0.5 s, but waits for that of 1.0, which has one of 4.5 s
    assert [c.at for c in changes] == [5.5]
    assert 1 <= len(changes[0].entries) <= 2


def test_first_routers_of_each_process_listen() -> None:
    plan = plan_of(fleet=lab.Fleet(real=2, hollow=10, processes=3, listening=0.5))
    assert hollow_by_process(plan.experiment) == [[2, 5, 8, 11], [3, 6, 9], [4, 7, 10]]
    assert peer_listeners(plan) == [0, 1, 2, 3, 4, 5, 6, 7]


class RouterWatch:
    """A watch by the router's own client; None in `results` is a failed call."""

    def __init__(self, plan: Plan, router: int) -> None:
        self.results: asyncio.Queue[tuple[api.ListKind, list[Member]] | None] = asyncio.Queue()
        self.client = DiscoveryClient(
            plan.addresses.discovery(router),
            1,
            lambda kind, members: self.results.put_nowait((kind, members)),
            lambda: self.results.put_nowait(None),
        )
        self.client.subscribe()


def test_discovery_serves_list_and_sends_changes_to_watches() -> None:
    async def test() -> None:
        faults = [lab.Fault(kind="servers_lost", at=0.1, lasts=0.2), lab.Fault(kind="changes", at=0.5)]
        async with RunningStandIn(discovery.run, plan_of(faults=faults)) as standin:
            status, whole_list = await call_discovery(standin.plan, 0)
            assert (status, whole_list) == (200, initial_server_list(standin.plan))
            assert len(read_list(whole_list)[2]) == 5
            watches = [RouterWatch(standin.plan, n) for n in range(3)]
            standin.begin()
            for watch in watches:
                updates = [await watch.results.get() for _ in range(2)]
                (returned,), (reweighted,) = [n[1] for n in updates if n is not None]
                assert returned.entry.started_at == pytest.approx(
                    (await standin.schedule_start) + 0.3, abs=0.01
                )
                assert reweighted.entry.weight != 1.0
                watch.client.close()
            # an unknown version gets the whole list, the current one an empty response
            assert (await call_discovery(standin.plan, 0, "?after=99&wait_ms=0"))[1]["snapshot"] is True
            empty = {"index": 3, "snapshot": False, "endpoints": []}
            assert (await call_discovery(standin.plan, 0, "?after=3&wait_ms=20"))[1] == empty
            assert (await call_discovery(standin.plan, 0, "?after=x"))[0] == 400
        metrics = standin.roles["discovery"].metrics
        assert metrics["force.p50"].count == 6 and metrics["force.max"].value < TIMEOUT_S
        assert metrics["force.missed"].value == 0
        assert metrics["bytes.in.discovery.real"].low > 300

    run_test(test)


def test_continued_watch_bypasses_queue_and_queued_calls_time_out_with_503() -> None:
    async def test() -> None:
        capacity = lab.Discovery(call_ms=300.0, line_us=0.0, timeout=0.45)
        async with RunningStandIn(discovery.run, plan_of(discovery=capacity)) as standin:
            began = time.monotonic()
            assert (await call_discovery(standin.plan, 0, "?after=1&wait_ms=0"))[0] == 200
            assert time.monotonic() - began > 0.29
            calls = [call_discovery(standin.plan, n) for n in (1, 2, 1, 2)]
            during_queue = [
                (await call_discovery(standin.plan, 0, "?after=1&wait_ms=0"))[0] for _ in range(3)
            ]
            call_results = await asyncio.gather(*calls)
            assert during_queue == [200] * 3
            assert sorted(status for status, _ in call_results) == [200, 503, 503, 503]
            standin.begin()
            await asyncio.sleep(0.05)
        metrics = standin.roles["discovery"].metrics
        assert [metrics[f"start.calls{n}"].value for n in ("", ".turn", ".failed")] == [8, 5, 3]
        assert 3 <= metrics["start.calls.waiting"].value <= 4

    run_test(test)


def test_discovery_sends_missed_changes_after_outage() -> None:
    async def test() -> None:
        faults = [lab.Fault(kind="discovery_down", at=0.2, lasts=0.4), lab.Fault(kind="changes", at=0.3)]
        async with RunningStandIn(discovery.run, plan_of(faults=faults)) as standin:
            watch = RouterWatch(standin.plan, 0)
            await asyncio.sleep(0.1)
            standin.begin()
            assert await watch.results.get() is None
            with pytest.raises(OSError):
                await call_discovery(standin.plan, 1)
            while True:
                watch.client.subscribe()
                if (update := await watch.results.get()) is not None:
                    break
                await asyncio.sleep(0.02)
            assert update[0] is api.ListKind.DELTA and len(update[1]) == 1
            watch.client.close()
        assert standin.roles["discovery"].metrics["force.max"].value >= 0.25

    run_test(test)


async def attempt(
    make: Callable[[Pool, str], Connection], address: str, value: bytes | None = None, wait: float = 1.0
) -> tuple[Status, bytes] | None:
    """Make one attempt with the router's own client; None if there is no response in time."""
    pool = Pool(make, 10, 1.0, 10.0)
    parts = [b"C.GET", b"a/b", REQUEST_ID, b"c=read,d=900"]
    command = read_command(parts if value is None else [b"C.SET", *parts[1:3], b"c=book,d=900,k=1", value])
    done: asyncio.Future[tuple[Status, bytes]] = asyncio.get_running_loop().create_future()
    pool.start(address, command, wait, lambda status, value: done.set_result((status, value)))
    try:
        return await asyncio.wait_for(done, wait)
    except TimeoutError:
        return None
    finally:
        pool.close()


@pytest.mark.parametrize(("hits", "expected"), [(1.0, Status.OK), (0.0, Status.MISS)])
def test_cache_server_hits_or_misses(hits: float, expected: Status) -> None:
    async def test() -> None:
        plan = plan_of("caches", requests=lab.Requests(hits=hits, latency_ms=2.0))
        async with RunningStandIn(caches.run, plan) as standin:
            found = await attempt(CacheConnection, standin.plan.addresses.server(3))
            assert found is not None and found[0] is expected
            assert found[1].startswith(REQUEST_ID if hits else b"")
            assert await attempt(CacheConnection, standin.plan.addresses.server(0), b"v") == (
                Status.ERROR,
                b"",
            )

    run_test(test)


def test_cache_server_follows_protocol_and_refuses_beyond_capacity() -> None:
    async def test() -> None:
        async with RunningStandIn(
            caches.run, plan_of("caches", requests=lab.Requests(hits=1.0, rate=1.0))
        ) as standin:
            address = standin.plan.addresses.server(1)
            other = b"*1\r\n$4\r\nPING\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n*1\r\n$5\r\nHELLO\r\n"
            assert (
                await exchange(address, other, b"unknown command\r\n")
                == b"+PONG\r\n+OK\r\n-ERR unknown command\r\n"
            )
            assert (await exchange(address, b"*1\r\n$5\r\nC.GET\r\n", b"\n")).startswith(b"-SYNTAX")
            assert (await exchange(address, b"GET / HTTP/1.1\r\n\r\n")).startswith(b"-SYNTAX")
            one = b"*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$16\r\n%b\r\n$8\r\nc=x,d=90\r\n" % REQUEST_ID
            # requests beyond the capacity are refused, and replies come in the order of the commands
            replies = await exchange(address, one * 6, b"-BUSY\r\n-BUSY\r\n")
            assert replies.count(b"$3\r\nhit\r\n$-1\r\n") == 4

    run_test(test)


def test_cache_servers_hang_and_restart_cold_after_loss() -> None:
    async def test() -> None:
        faults = [
            lab.Fault(kind="servers_lost", at=0.0, lasts=0.6, count=1),
            lab.Fault(kind="servers_hang", at=0.05, lasts=0.6, count=1),
        ]
        plan = plan_of("caches", requests=lab.Requests(hits=1.0, latency_ms=1.0), faults=faults)
        timelines = fault_schedule.server_timelines(plan)
        lost = next(n for n, timeline in timelines.items() if not timeline.is_up(0.1))
        hung = next(n for n, timeline in timelines.items() if timeline.hangs)
        assert lost != hung
        async with RunningStandIn(caches.run, plan) as standin:
            standin.begin()
            await asyncio.sleep(0.1)
            address_of = standin.plan.addresses.server
            assert await attempt(CacheConnection, address_of(lost), wait=0.05) == (Status.CONNECT_FAILED, b"")
            assert await attempt(CacheConnection, address_of(hung), wait=0.1) is None
            reply = await attempt(CacheConnection, address_of(hung))  # no response before the hang ends
            assert reply is not None and reply[0] is Status.OK
            assert await attempt(CacheConnection, address_of(lost)) == (Status.MISS, b"")
        metrics = standin.roles["caches"].metrics
        assert metrics["cold.window"].value > 0 and metrics["cold.window.sent"].high == 1
        assert metrics["handshakes"].count == 3

    run_test(test)


def test_cache_server_does_not_answer_across_partition() -> None:
    async def test() -> None:
        plan = plan_of("caches", faults=[lab.Fault(kind="region_cut", at=0.0, lasts=20.0, zone=1)])
        async with RunningStandIn(caches.run, plan) as standin:
            standin.begin()
            await asyncio.sleep(0.05)
            assert await attempt(CacheConnection, plan.addresses.server(1), wait=0.1) is None
            assert await attempt(CacheConnection, plan.addresses.server(2)) is not None

    run_test(test)


def test_origin_reads_writes_and_refuses_beyond_capacity() -> None:
    async def test() -> None:
        plan = plan_of("origin", requests=lab.Requests(latency_ms=2.0, rate=1e-3))
        async with RunningStandIn(origin.run, plan) as standin:
            address = plan.addresses.origin()
            read, write = (
                await attempt(OriginConnection, address),
                await attempt(OriginConnection, address, b"v"),
            )
            assert read is not None and read[0] is Status.OK and read[1].startswith(REQUEST_ID + b" a/b")
            assert write is not None and write[0] is Status.OK and write[1].startswith(REQUEST_ID)
            assert (await exchange(address, b"GET /k HTTP/1.1\r\nHost: x\r\n\r\n", b"\n")).startswith(
                b"HTTP/1.1 400"
            )
            probe, last = b"GET /stats HTTP/1.1\r\nHost: x\r\n", b"Connection: close\r\n\r\n"
            assert (await exchange(address, probe + b"\r\n" + probe + last)).count(b"HTTP/1.1 200") == 2
            rest = [await attempt(OriginConnection, address) for _ in range(3)]
            assert rest[-1] == (Status.BUSY, b"")
            standin.begin()

    run_test(test)


def test_datagrams_come_from_senders_peer_address_and_reach_only_listeners() -> None:
    async def test() -> None:
        plan = plan_of("network", fleet=lab.Fleet(real=2, hollow=2, processes=1, listening=0.5))
        plan_addresses = plan.addresses
        heard: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        seen = [plan_addresses.peer_advertised(n) for n in range(4)]
        async with RunningStandIn(network.run, plan) as standin:
            standin.begin()
            await asyncio.sleep(0.05)
            peers = [
                PeerSocket(
                    plan_addresses.peer_listen(n),
                    seen,
                    plan_addresses.peers_all(),
                    lambda data, n=n: heard.put_nowait((n, data)),  # type: ignore[misc]
                )
                for n in range(4)
            ]
            for peer in peers:
                await peer.start()
            peers[0].broadcast(b"one")
            assert sorted([await heard.get(), await heard.get()]) == [(1, b"one"), (2, b"one")]
            assert peers[1].transport is not None
            # unicast: too long a datagram is dropped, and so is one to a router that doesn't listen
            peers[1].transport.sendto(b"x" * 257, host_port(seen[0]))
            peers[1].transport.sendto(b"deaf", host_port(seen[3]))
            peers[1].transport.sendto(b"two", host_port(seen[0]))
            assert await heard.get() == (0, b"two")
            await asyncio.sleep(0.05)
            assert heard.empty()
            for peer in peers:
                peer.close()
        metrics = standin.roles["network"].metrics
        assert [metrics[n].count for n in ("sent", "broken", "delivered")] == [4, 1, 3]

    run_test(test)


def test_network_doubles_garbles_and_partitions() -> None:
    async def test() -> None:
        disturbed = lab.Network(doubled=1.0, garbled=1.0, late_ms=1.0)
        faults = [lab.Fault(kind="region_cut", at=0.0, lasts=10.0, zone=1)]
        plan = plan_of("network", network=disturbed, faults=faults, fleet=lab.Fleet(real=3, zones=2))
        plan_addresses = plan.addresses
        async with RunningStandIn(network.run, plan) as standin:
            standin.begin()
            await asyncio.sleep(0.05)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.bind(host_port(plan_addresses.peer_listen(0)))
                heard: asyncio.Queue[bytes] = asyncio.Queue()
                peer = PeerSocket(
                    plan_addresses.peer_listen(2),
                    [plan_addresses.peer_advertised(n) for n in range(3)],
                    plan_addresses.peers_all(),
                    heard.put_nowait,
                )
                await peer.start()
                sender.sendto(b"word", host_port(plan_addresses.peers_all()))
                twice = [await heard.get(), await heard.get()]
                assert twice[0] == twice[1] != b"word" and len(twice[0]) == 4
                peer.close()
        assert standin.roles["network"].metrics["dropped"].count == 1  # the datagram to the router of zone 1

    run_test(test)


def test_clients_wait_for_pong_retry_after_busy_and_detect_foreign_responses() -> None:
    async def test() -> None:
        plan = plan_of(
            "clients",
            seconds=1.0,
            fleet=lab.Fleet(real=1),
            requests=lab.Requests(rate=60.0, writes=0.3),
            settle=5.0,
        )
        commands: list[list[bytes]] = []

        async def router(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            parser = hiredis.Reader()
            while data := await reader.read(65536):
                parser.feed(data)
                while parts := parser.gets():
                    if parts == [b"PING"]:
                        writer.write(b"+PONG\r\n")
                        continue
                    commands.append(parts)
                    if len(commands) == 1:
                        writer.write(b"-BUSY 10\r\n")
                    else:
                        made_for = b"f" * 16 if len(commands) == 3 else parts[2]
                        writer.write(b"*2\r\n$16\r\n%b\r\n$-1\r\n" % made_for)
            writer.close()

        startup = asyncio.create_task(RunningStandIn(clients.run, plan).__aenter__())
        await asyncio.sleep(0.15)
        assert not startup.done()
        server = await asyncio.start_server(router, *host_port(plan.addresses.client_listen(0)))
        standin = await startup
        standin.begin()
        while len(commands) < 20:
            await asyncio.sleep(0.02)
        await standin.__aexit__()
        server.close()
        metrics = standin.roles["clients"].metrics
        assert metrics["foreign"].value == 1 and metrics["busy"].value == 1
        assert metrics["failed"].value == pytest.approx(1 / metrics["failed"].count)
        assert metrics["latency.max"].value < TIMEOUT_S
        parsed = [read_command(parts) for parts in commands]  # raises if a router would not accept one
        assert len({c.request_id for c in parsed}) == len(parsed)
        assert {c.info["c"] for c in parsed if c.write} <= {"book", "lock"}
        assert {c.info["c"] for c in parsed if not c.write} == {"read"}

    run_test(test)


@pytest.mark.parametrize("begin", [True, False])
def test_worker_reports_readiness_and_figures(tmp_path: Path, begin: bool) -> None:
    async def test() -> None:
        plan = plan_of("origin")
        (tmp_path / "plan.json").write_bytes(msgspec.json.encode(plan))
        worker = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "fleetlab.worker", str(tmp_path / "plan.json")),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=dict(os.environ),
        )
        assert worker.stdin is not None and worker.stdout is not None
        assert msgspec.json.decode(await worker.stdout.readline(), type=Message).ready
        if begin:
            worker.stdin.write(b'{"began": %f}\n' % time.time())
            await asyncio.sleep(0.2)
            worker.terminate()
        worker.stdin.close()
        out, err = await worker.communicate()
        message = msgspec.json.decode(out, type=Message)
        assert list(message.roles) == (["origin"] if begin else [])
        assert all(orjson.loads(line)["level"] == "info" for line in err.splitlines())
        assert worker.returncode == 0

    run_test(test)


def test_percentiles_are_accurate_and_entries_are_well_formed() -> None:
    found = lifecycle.percentiles("x", [0.001 * n for n in range(1, 1001)], (50, 99))
    assert found["x.p50"].value == pytest.approx(0.5, rel=0.01)
    assert found["x.p99"].value == pytest.approx(0.99, rel=0.01)
    assert found["x.max"].value == 1.0 and lifecycle.percentiles("x", [], (50,)) == {}
    index, with_timeout, members = read_list(
        {"index": 1, "snapshot": True, "endpoints": [server_entry(plan_of(), 1, 5, "terminated", 0.9)]}
    )
    assert (index, with_timeout, members[0].entry.state) == (1, True, api.ServerState.GONE)
