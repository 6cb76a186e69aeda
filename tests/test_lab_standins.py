"""The stand-ins against the protocol page's forms, mostly by the router's own clients, over loopback."""

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
from hypothesis import settings as limits
from hypothesis import strategies as st

from brackenwalk import interface as api
from brackenwalk.interface import Status
from brackenwalk.net.command import read_command
from brackenwalk.net.discovery import Discovery, read_list
from brackenwalk.net.host import Member
from brackenwalk.net.origin import OriginConnection
from brackenwalk.net.peers import Peers
from brackenwalk.net.pool import Connection, Pool
from brackenwalk.net.servers import CacheConnection
from fleetlab import experiment as ex
from fleetlab.plan import (
    Addresses,
    Message,
    Part,
    Plan,
    entry_of,
    first_list,
    hollow_lists,
    listeners,
    server_name,
)
from fleetlab.results import Role
from fleetlab.standins import caches, clients, discovery, lifecycle, network, origin
from fleetlab.standins import schedule as sched
from fleetlab.standins.lifecycle import host_port

ID = b"0000aaaabbbbcccc"
WAIT = 8.0  # seconds, far more than anything here takes
Run = Callable[[Plan, Callable[[], None], Awaitable[float], asyncio.Event], Awaitable[dict[str, Role]]]


def addresses() -> Addresses:
    """A block of loopback addresses and ports that nobody uses just now."""
    while True:
        found = Addresses(net=random.randint(20, 250), port=random.randint(20000, 32000))
        try:
            for address in (found.clients(0), found.discovery(0), found.server(0), found.origin()):
                with socket.socket() as trial:
                    trial.bind(host_port(address))
        except OSError:
            continue
        return found


def plan_of(part: Part = "discovery", seed: int = 1, **fields: Any) -> Plan:
    fields.setdefault("fleet", ex.Fleet(real=3, servers=4, zones=2))
    fields.setdefault("requests", ex.Requests(latency_ms=2.0))
    fields = {"seconds": 30.0} | fields
    return Plan(part, ex.Experiment(name="test", **fields), addresses(), seed)


class Stage:
    """A stand-in that is up, until the `with` is left; then its roles."""

    def __init__(self, run: Run, plan: Plan) -> None:
        self.run = run
        self.plan = plan
        self.roles: dict[str, Role] = {}
        self.ended = asyncio.Event()
        self.began: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    async def __aenter__(self) -> Stage:
        up = asyncio.Event()
        self.task = asyncio.ensure_future(self.run(self.plan, up.set, self.began, self.ended))
        await up.wait()
        return self

    def begin(self) -> None:
        self.began.set_result(time.time())

    async def __aexit__(self, *_: object) -> None:
        self.ended.set()
        self.roles |= await self.task


def play(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    async def whole() -> None:
        async with asyncio.timeout(WAIT):
            await test()

    asyncio.run(whole())


async def talk(address: str, data: bytes, until: bytes = b"") -> bytes:
    """What is answered, up to some bytes or else to the connection's end."""
    reader, writer = await asyncio.open_connection(*host_port(address))
    writer.write(data)
    got = await (reader.readuntil(until) if until else reader.read())
    writer.close()
    return got


async def get(plan: Plan, router: int, query: str = "") -> tuple[int, Any]:
    """Status and JSON of a call to discovery."""
    reader, writer = await asyncio.open_connection(*host_port(plan.addresses.discovery(router)))
    writer.write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), orjson.loads(body) if body else None


FAULTS = st.lists(
    st.builds(
        ex.Fault,
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


@limits(max_examples=60, deadline=None)
@given(faults=FAULTS, seed=st.integers(0, 3))
def test_the_list_tells_what_the_servers_do_and_repeats_with_the_seed(
    faults: list[ex.Fault], seed: int
) -> None:
    experiment = ex.Experiment(name="x", faults=faults, fleet=ex.Fleet(servers=7, zones=2))
    plan = Plan("discovery", experiment, Addresses(5, 1000), seed, began=1000.0)
    changes, lives = sched.list_changes(plan), sched.server_timelines(plan)
    assert (changes, lives) == (sched.list_changes(plan), sched.server_timelines(plan))
    assert [c.at for c in changes] == sorted({c.at for c in changes})
    listed = {e["name"]: e for e in first_list(plan)["endpoints"] if e["type"] == "cache"}
    for change in changes:
        for entry in change.entries:
            listed[entry["name"]] = entry
    end = 1e6  # all is over by then
    serving = {n for n, e in listed.items() if e["status"] == "in_service"}
    assert serving == {server_name(n) for n, life in lives.items() if life.is_up(end)}
    for number, life in lives.items():
        started = life.start_time(end)
        if life.is_up(end):
            since = listed[server_name(number)]["since_ms"]
            assert since == (0 if started is None else int((1000 + started) * 1000))


def test_another_seed_chooses_other_servers_and_routers() -> None:
    faults = [
        ex.Fault(kind="servers_lost", at=1, lasts=5, count=3),
        ex.Fault(kind="router_lost", at=1, lasts=5, count=3),
    ]
    fleet = ex.Fleet(real=4, hollow=40, servers=40)
    plans = [plan_of(seed=s, faults=faults, fleet=fleet) for s in range(4)]
    lost = [{n for n, life in sched.server_timelines(p).items() if not life.is_up(2)} for p in plans]
    gone = [{a.router for a in sched.router_outages(p)} for p in plans]
    assert all(len(x) == 3 for x in lost + gone)
    assert len({frozenset(x) for x in lost}) > 1 and len({frozenset(x) for x in gone}) > 1


def test_a_replaced_server_drains_and_the_new_one_is_cold() -> None:
    plan = plan_of(faults=[ex.Fault(kind="servers_change", at=2.0)])
    lives, changes = sched.server_timelines(plan), sched.list_changes(plan)
    old = next(n for n, life in lives.items() if life.drain_start == 2.0)
    new = next(n for n in lives if n >= 4)
    assert new % 2 == old % 2  # of the same zone
    assert [e["status"] for c in changes for e in c.entries] == ["terminating", "in_service", "terminated"]
    assert sched.warmup_share(plan, lives[old].start_time(3.0), 3.0) == 1.0
    cold, ramp = plan.experiment.cold_share, plan.experiment.ramp
    assert sched.warmup_share(plan, lives[new].start_time(2.0), 2.0) == pytest.approx(cold)
    assert sched.warmup_share(plan, 2.0, 2.0 + ramp / 2) == pytest.approx((1 + cold) / 2)
    assert sched.warmup_share(plan, 2.0, 2.0 + ramp) == pytest.approx(1.0)


def test_late_lists_stay_in_order() -> None:
    faults = [
        ex.Fault(kind="lists_late", at=0, lasts=2, count=4),
        ex.Fault(kind="changes", at=1, lasts=2, count=2),
    ]
    changes = sched.list_changes(plan_of(faults=faults, discovery=ex.Discovery(lag=0.5)))
    assert [c.at for c in changes] == [5.5]  # that of 2.0, had after 0.5 s, waits for that of 1.0
    assert 1 <= len(changes[0].entries) <= 2


def test_the_first_of_each_process_listen() -> None:
    plan = plan_of(fleet=ex.Fleet(real=2, hollow=10, processes=3, listening=0.5))
    assert hollow_lists(plan.experiment) == [[2, 5, 8, 11], [3, 6, 9], [4, 7, 10]]
    assert listeners(plan) == [0, 1, 2, 3, 4, 5, 6, 7]


class Watcher:
    """A router's own watch."""

    def __init__(self, plan: Plan, router: int) -> None:
        self.news: asyncio.Queue[tuple[api.ListKind, list[Member]] | None] = asyncio.Queue()
        self.watch = Discovery(
            plan.addresses.discovery(router),
            1,
            lambda kind, members: self.news.put_nowait((kind, members)),
            lambda: self.news.put_nowait(None),
        )
        self.watch.subscribe()


def test_discovery_lists_and_tells_changes_to_watches() -> None:
    async def test() -> None:
        faults = [ex.Fault(kind="servers_lost", at=0.1, lasts=0.2), ex.Fault(kind="changes", at=0.5)]
        async with Stage(discovery.run, plan_of(faults=faults)) as stage:
            status, first = await get(stage.plan, 0)
            assert (status, first) == (200, first_list(stage.plan))
            assert len(read_list(first)[2]) == 5
            watchers = [Watcher(stage.plan, n) for n in range(3)]
            stage.begin()
            for watcher in watchers:
                told = [await watcher.news.get() for _ in range(2)]
                (back,), (changed,) = [n[1] for n in told if n is not None]
                assert back.entry.since == pytest.approx((await stage.began) + 0.3, abs=0.01)
                assert changed.entry.weight != 1.0
                watcher.watch.close()
            # the whole list for a version that it doesn't know, nothing for the present one
            assert (await get(stage.plan, 0, "?after=99&wait_ms=0"))[1]["snapshot"] is True
            empty = {"index": 3, "snapshot": False, "endpoints": []}
            assert (await get(stage.plan, 0, "?after=3&wait_ms=20"))[1] == empty
            assert (await get(stage.plan, 0, "?after=x"))[0] == 400
        metrics = stage.roles["discovery"].metrics
        assert metrics["force.p50"].count == 6 and metrics["force.max"].value < WAIT
        assert metrics["force.missed"].value == 0
        assert metrics["bytes.in.discovery.real"].low > 300

    play(test)


def test_a_watch_goes_on_at_no_cost_and_a_full_queue_ends_in_503() -> None:
    async def test() -> None:
        capacity = ex.Discovery(call_ms=300.0, line_us=0.0, timeout=0.45)
        async with Stage(discovery.run, plan_of(discovery=capacity)) as stage:
            began = time.monotonic()
            assert (await get(stage.plan, 0, "?after=1&wait_ms=0"))[0] == 200
            assert time.monotonic() - began > 0.29
            calls = [get(stage.plan, n) for n in (1, 2, 1, 2)]
            inside = [(await get(stage.plan, 0, "?after=1&wait_ms=0"))[0] for _ in range(3)]
            answers = await asyncio.gather(*calls)
            assert inside == [200] * 3
            assert sorted(status for status, _ in answers) == [200, 503, 503, 503]
            stage.begin()
            await asyncio.sleep(0.05)
        metrics = stage.roles["discovery"].metrics
        assert [metrics[f"start.calls{n}"].value for n in ("", ".turn", ".failed")] == [8, 5, 3]
        assert 3 <= metrics["start.calls.waiting"].value <= 4

    play(test)


def test_discovery_goes_down_and_comes_back_with_what_was_missed() -> None:
    async def test() -> None:
        faults = [ex.Fault(kind="discovery_down", at=0.2, lasts=0.4), ex.Fault(kind="changes", at=0.3)]
        async with Stage(discovery.run, plan_of(faults=faults)) as stage:
            watcher = Watcher(stage.plan, 0)
            await asyncio.sleep(0.1)
            stage.begin()
            assert await watcher.news.get() is None
            with pytest.raises(OSError):
                await get(stage.plan, 1)
            while True:
                watcher.watch.subscribe()
                if (news := await watcher.news.get()) is not None:
                    break
                await asyncio.sleep(0.02)
            assert news[0] is api.ListKind.DELTA and len(news[1]) == 1
            watcher.watch.close()
        assert stage.roles["discovery"].metrics["force.max"].value >= 0.25

    play(test)


async def ask(
    make: Callable[[Pool, str], Connection], address: str, value: bytes | None = None, wait: float = 1.0
) -> tuple[Status, bytes] | None:
    """One attempt of a router; None without an answer."""
    pool = Pool(make, 10, 1.0, 10.0)
    parts = [b"C.GET", b"a/b", ID, b"c=read,d=900"]
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
def test_a_cache_server_hits_or_misses(hits: float, expected: Status) -> None:
    async def test() -> None:
        plan = plan_of("caches", requests=ex.Requests(hits=hits, latency_ms=2.0))
        async with Stage(caches.run, plan) as stage:
            found = await ask(CacheConnection, stage.plan.addresses.server(3))
            assert found is not None and found[0] is expected
            assert found[1].startswith(ID if hits else b"")
            assert await ask(CacheConnection, stage.plan.addresses.server(0), b"v") == (Status.ERROR, b"")

    play(test)


def test_a_cache_server_answers_by_the_forms() -> None:
    async def test() -> None:
        async with Stage(caches.run, plan_of("caches", requests=ex.Requests(hits=1.0, rate=1.0))) as stage:
            address = stage.plan.addresses.server(1)
            other = b"*1\r\n$4\r\nPING\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n*1\r\n$5\r\nHELLO\r\n"
            assert (
                await talk(address, other, b"unknown command\r\n")
                == b"+PONG\r\n+OK\r\n-ERR unknown command\r\n"
            )
            assert (await talk(address, b"*1\r\n$5\r\nC.GET\r\n", b"\n")).startswith(b"-SYNTAX")
            assert (await talk(address, b"GET / HTTP/1.1\r\n\r\n")).startswith(b"-SYNTAX")
            one = b"*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$16\r\n%b\r\n$8\r\nc=x,d=90\r\n" % ID
            answers = await talk(
                address, one * 6, b"-BUSY\r\n-BUSY\r\n"
            )  # more than its capacity, in the order of its commands
            assert answers.count(b"$3\r\nhit\r\n$-1\r\n") == 4

    play(test)


def test_cache_servers_hang_and_vanish_and_come_back_cold() -> None:
    async def test() -> None:
        faults = [
            ex.Fault(kind="servers_lost", at=0.0, lasts=0.6, count=1),
            ex.Fault(kind="servers_hang", at=0.05, lasts=0.6, count=1),
        ]
        plan = plan_of("caches", requests=ex.Requests(hits=1.0, latency_ms=1.0), faults=faults)
        lives = sched.server_timelines(plan)
        lost = next(n for n, life in lives.items() if not life.is_up(0.1))
        hung = next(n for n, life in lives.items() if life.hangs)
        assert lost != hung
        async with Stage(caches.run, plan) as stage:
            stage.begin()
            await asyncio.sleep(0.1)
            at = stage.plan.addresses.server
            assert await ask(CacheConnection, at(lost), wait=0.05) == (Status.CONNECT_FAILED, b"")
            assert await ask(CacheConnection, at(hung), wait=0.1) is None
            reply = await ask(CacheConnection, at(hung))  # said nothing until it went on
            assert reply is not None and reply[0] is Status.OK
            assert await ask(CacheConnection, at(lost)) == (Status.MISS, b"")
        metrics = stage.roles["caches"].metrics
        assert metrics["cold.window"].value > 0 and metrics["cold.window.sent"].high == 1
        assert metrics["handshakes"].count == 3

    play(test)


def test_a_cut_zone_is_silent_to_the_others() -> None:
    async def test() -> None:
        plan = plan_of("caches", faults=[ex.Fault(kind="region_cut", at=0.0, lasts=20.0, zone=1)])
        async with Stage(caches.run, plan) as stage:
            stage.begin()
            await asyncio.sleep(0.05)
            assert await ask(CacheConnection, plan.addresses.server(1), wait=0.1) is None
            assert await ask(CacheConnection, plan.addresses.server(2)) is not None

    play(test)


def test_the_origin_reads_and_writes_and_turns_away() -> None:
    async def test() -> None:
        plan = plan_of("origin", requests=ex.Requests(latency_ms=2.0, rate=1e-3))
        async with Stage(origin.run, plan) as stage:
            address = plan.addresses.origin()
            read, write = await ask(OriginConnection, address), await ask(OriginConnection, address, b"v")
            assert read is not None and read[0] is Status.OK and read[1].startswith(ID + b" a/b")
            assert write is not None and write[0] is Status.OK and write[1].startswith(ID)
            assert (await talk(address, b"GET /k HTTP/1.1\r\nHost: x\r\n\r\n", b"\n")).startswith(
                b"HTTP/1.1 400"
            )
            probe, last = b"GET /stats HTTP/1.1\r\nHost: x\r\n", b"Connection: close\r\n\r\n"
            assert (await talk(address, probe + b"\r\n" + probe + last)).count(b"HTTP/1.1 200") == 2
            rest = [await ask(OriginConnection, address) for _ in range(3)]
            assert rest[-1] == (Status.FULL, b"")
            stage.begin()

    play(test)


def test_datagrams_arrive_from_the_senders_place_and_only_at_listeners() -> None:
    async def test() -> None:
        plan = plan_of("network", fleet=ex.Fleet(real=2, hollow=2, processes=1, listening=0.5))
        at = plan.addresses
        heard: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        places = [at.peer_seen(n) for n in range(4)]
        async with Stage(network.run, plan) as stage:
            stage.begin()
            await asyncio.sleep(0.05)
            peers = [
                Peers(at.peer_listen(n), places, at.everyone(), lambda data, n=n: heard.put_nowait((n, data)))  # type: ignore[misc]
                for n in range(4)
            ]
            for peer in peers:
                await peer.start()
            peers[0].tell(b"one")
            assert sorted([await heard.get(), await heard.get()]) == [(1, b"one"), (2, b"one")]
            assert peers[1].transport is not None
            # to one alone; one that is too long is dropped, and a router that is deaf hears none
            peers[1].transport.sendto(b"x" * 257, host_port(places[0]))
            peers[1].transport.sendto(b"deaf", host_port(places[3]))
            peers[1].transport.sendto(b"two", host_port(places[0]))
            assert await heard.get() == (0, b"two")
            await asyncio.sleep(0.05)
            assert heard.empty()
            for peer in peers:
                peer.close()
        metrics = stage.roles["network"].metrics
        assert [metrics[n].count for n in ("sent", "broken", "delivered")] == [4, 1, 3]

    play(test)


def test_the_network_loses_doubles_and_cuts() -> None:
    async def test() -> None:
        rough = ex.Network(doubled=1.0, garbled=1.0, late_ms=1.0)
        faults = [ex.Fault(kind="region_cut", at=0.0, lasts=10.0, zone=1)]
        plan = plan_of("network", network=rough, faults=faults, fleet=ex.Fleet(real=3, zones=2))
        at = plan.addresses
        async with Stage(network.run, plan) as stage:
            stage.begin()
            await asyncio.sleep(0.05)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.bind(host_port(at.peer_listen(0)))
                heard: asyncio.Queue[bytes] = asyncio.Queue()
                peer = Peers(
                    at.peer_listen(2), [at.peer_seen(n) for n in range(3)], at.everyone(), heard.put_nowait
                )
                await peer.start()
                sender.sendto(b"word", host_port(at.everyone()))
                twice = [await heard.get(), await heard.get()]
                assert twice[0] == twice[1] != b"word" and len(twice[0]) == 4
                peer.close()
        assert stage.roles["network"].metrics["dropped"].count == 1  # to the router of zone 1

    play(test)


def test_clients_wait_for_pong_retry_refusals_and_tell_foreign_answers() -> None:
    async def test() -> None:
        plan = plan_of(
            "clients",
            seconds=1.0,
            fleet=ex.Fleet(real=1),
            requests=ex.Requests(rate=60.0, writes=0.3),
            settle=5.0,
        )
        seen: list[list[bytes]] = []

        async def router(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            parser = hiredis.Reader()
            while data := await reader.read(65536):
                parser.feed(data)
                while parts := parser.gets():
                    if parts == [b"PING"]:
                        writer.write(b"+PONG\r\n")
                        continue
                    seen.append(parts)
                    if len(seen) == 1:
                        writer.write(b"-BUSY 10\r\n")
                    else:
                        made_for = b"f" * 16 if len(seen) == 3 else parts[2]
                        writer.write(b"*2\r\n$16\r\n%b\r\n$-1\r\n" % made_for)
            writer.close()

        up = asyncio.create_task(Stage(clients.run, plan).__aenter__())
        await asyncio.sleep(0.15)
        assert not up.done()
        server = await asyncio.start_server(router, *host_port(plan.addresses.clients(0)))
        stage = await up
        stage.begin()
        while len(seen) < 20:
            await asyncio.sleep(0.02)
        await stage.__aexit__()
        server.close()
        metrics = stage.roles["clients"].metrics
        assert metrics["foreign"].value == 1 and metrics["busy"].value == 1
        assert metrics["failed"].value == pytest.approx(1 / metrics["failed"].count)
        assert metrics["latency.max"].value < WAIT
        commands = [read_command(parts) for parts in seen]  # forms that a router takes
        assert len({c.request for c in commands}) == len(commands)
        assert {c.info["c"] for c in commands if c.write} <= {"book", "lock"}
        assert {c.info["c"] for c in commands if not c.write} == {"read"}

    play(test)


@pytest.mark.parametrize("begin", [True, False])
def test_a_worker_says_when_it_is_ready_and_what_it_measured(tmp_path: Path, begin: bool) -> None:
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

    play(test)


def test_percentiles_are_near_and_entries_have_the_form() -> None:
    found = lifecycle.percentiles("x", [0.001 * n for n in range(1, 1001)], (50, 99))
    assert found["x.p50"].value == pytest.approx(0.5, rel=0.01)
    assert found["x.p99"].value == pytest.approx(0.99, rel=0.01)
    assert found["x.max"].value == 1.0 and lifecycle.percentiles("x", [], (50,)) == {}
    index, whole, members = read_list(
        {"index": 1, "snapshot": True, "endpoints": [entry_of(plan_of(), 1, 5, "terminated", 0.9)]}
    )
    assert (index, whole, members[0].entry.state) == (1, True, api.State.GONE)
