"""Discovery as the terms have it: what it has counts as told soon, whatever became of the calls."""

from __future__ import annotations

import asyncio
import heapq
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from brackenwalk import interface as api
from brackenwalk.net import discovery as discoveries
from brackenwalk.net.pool import parse_address
from brackenwalk.policy import Router
from tests.driver import entry, settings
from tests.loopback import Link, Peer, command, http, run, spelled
from tests.test_main import VALID_CONFIG, connect_ready, launch, listening_address
from tests.test_net_discovery import ENTRY, WatchRecorder, call, message
from tests.test_wirehost import CONF

NEWS = 6.0  # seconds after which what discovery has counts as told, by the terms
GRACE = 0.5  # the shortest time for a drain that was seen
PATIENCE = 2.0  # for which discovery keeps a call waiting
HANGING = discoveries.WATCH_WAIT_S + discoveries.RESPONSE_MARGIN_S  # until a silent call is given up
# a connection that never comes up; without a bound of its own it has that of the whole call
DIAL = getattr(discoveries, "DIAL_TIMEOUT_S", HANGING)


class Model:
    """Routers on one clock, and a discovery that works through their calls one after another.

    A call that waits for over two seconds fails and is worked through all the same. A watch renews itself
    every three seconds, at no cost.
    """

    def __init__(self, siblings: int, work: float, start: float = 100.0) -> None:
        self.now, self.work = start, work
        self.events: list[tuple[float, int, Callable[..., None], tuple[int, ...]]] = []
        self.count = 0
        self.watches: dict[int, int] = {}  # each router's latest call, while it is on
        self.renewed: dict[int, float] = {}
        self.silent: set[int] = set()  # watches
        conf = settings(subscribe=True, siblings=siblings, must_ask_in=10.0, drain_grace=GRACE)
        self.routers = [Router(replace(conf, number=n), n, start) for n in range(siblings)]
        self.come_back()
        for n in range(siblings):
            self.feed(n, api.ServerList(api.ListKind.SAVED, (entry("a"),)))

    def come_back(self, backlog: float = 0.0) -> None:
        """From now on calls are taken, behind what others have asked for."""
        self.mode = "up"
        self.back, self.free = self.now, self.now + backlog
        self.listed: dict[int, float] = {}  # when each had its first answer since
        self.late = self.waiting = self.most = 0
        self.asked: list[float] = []

    def later(self, delay: float, what: Callable[..., None], *about: int) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + delay, self.count, what, about))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, what, about = heapq.heappop(self.events)
            what(*about)
        self.now = until

    def feed(self, n: int, event: api.Event) -> None:
        for action in self.routers[n].handle(self.now, event):
            if isinstance(action, api.SetTimer):
                assert action.token == "list"
                self.later(action.delay, self.fire, n)
            elif isinstance(action, api.Subscribe) and n not in self.watches:
                self.call(n)

    def fire(self, n: int) -> None:
        self.feed(n, api.TimerFired("list"))

    def call(self, n: int) -> None:
        self.count += 1
        call = self.watches[n] = self.count
        if self.mode != "up":
            self.later(DIAL if self.mode == "silent" else 0.0, self.fail, n, call)
            return
        self.asked.append(self.now)
        self.waiting += 1
        self.most = max(self.most, self.waiting)
        self.free = max(self.free, self.now) + self.work
        wait = self.free - self.now
        self.later(wait, self.leave)
        if wait > PATIENCE:
            self.later(PATIENCE, self.give_up, n, call)
        else:
            self.later(wait, self.answer, n, call)

    def leave(self) -> None:
        self.waiting -= 1

    def give_up(self, n: int, call: int) -> None:
        self.late += self.watches.get(n) == call
        self.fail(n, call)

    def fail(self, n: int, call: int) -> None:
        if self.watches.get(n) == call:
            del self.watches[n]
            self.feed(n, api.ServerList(api.ListKind.FAILED))

    def answer(self, n: int, call: int) -> None:
        if self.watches.get(n) == call and call not in self.silent and self.mode == "up":
            self.listed.setdefault(n, self.now - self.back)
            self.renew(n, call)

    def renew(self, n: int, call: int) -> None:
        if self.watches.get(n) == call and call not in self.silent:
            self.renewed[n] = self.now
            self.feed(n, api.ServerList(api.ListKind.DELTA))
            self.later(discoveries.WATCH_WAIT_S + discoveries.EMPTY_RESPONSE_PAUSE_S, self.renew, n, call)

    def go_down(self, mode: str) -> None:
        """Refuse calls and reset all watches, or fall silent."""
        self.mode = mode
        for n, watch in list(self.watches.items()):
            if mode == "refusing":
                self.fail(n, watch)
            else:
                self.silent.add(watch)
                since = self.now - self.renewed.get(n, self.now)
                self.later(
                    max(0.0, HANGING + discoveries.EMPTY_RESPONSE_PAUSE_S - since), self.fail, n, watch
                )

    def rate(self) -> int:
        """The most calls within a second."""
        return max(sum(t <= other < t + 1.0 for other in self.asked) for t in self.asked)

    def last(self) -> float:
        """When the last of all had the list."""
        assert len(self.listed) == len(self.routers)
        return max(self.listed.values())


FLEETS = [(4, 0.025), (4, 0.125), (40, 0.025), (40, 0.125), (230, 0.025)]


@pytest.mark.parametrize("mode", ["refusing", "silent"])
@pytest.mark.parametrize(("siblings", "work"), FLEETS)
def test_all_have_the_list_before_it_counts_as_told_when_discovery_is_back(
    siblings: int, work: float, mode: str
) -> None:
    """After eight seconds of failed calls the pauses had grown to twenty: lists came long after drains."""
    for extra in (0.0, 0.5, 1.7, 3.1, 60.0):
        model = Model(siblings, work)
        model.run(30.0)
        assert model.last() < 6.0
        model.go_down(mode)
        model.run(8.0 + extra)
        model.come_back()
        model.run(60.0)
        assert model.last() < (4.0 if siblings == 4 else NEWS)
        assert model.late == 0 and model.most <= 40
        assert model.rate() <= 48  # of two hundred and thirty; in turn, whatever they were held up by


@pytest.mark.parametrize(("siblings", "work"), FLEETS)
def test_all_have_the_list_again_soon_when_all_watches_are_reset(siblings: int, work: float) -> None:
    """All came back within half of a round: over half of them waited too long, and paused for ten seconds."""
    for extra in (0.0, 0.9, 2.3):
        model = Model(siblings, work)
        model.run(30.0 + extra)
        model.go_down("refusing")
        model.come_back()
        model.run(60.0)
        assert model.last() < NEWS and model.late == 0


@pytest.mark.parametrize(("siblings", "work"), FLEETS)
def test_watches_that_fall_silent_are_all_opened_anew(siblings: int, work: float) -> None:
    """Found two to five seconds later, they leave little time, and that is spread over."""
    for extra in (0.0, 0.9, 1.8, 2.3):
        model = Model(siblings, work)
        model.run(30.0 + extra)
        model.go_down("silent")
        model.come_back()
        model.run(60.0)
        # the first are found 2 s later: from then on until it counts discovery can't work through more
        in_time = sum(t <= NEWS + GRACE for t in model.listed.values())
        assert in_time >= min(siblings, int(0.8 * (NEWS + GRACE - 2.0) / work))
        assert model.last() < 14.0


@pytest.mark.parametrize(("siblings", "work"), FLEETS)
def test_a_discovery_with_too_many_callers_is_not_kept_so(siblings: int, work: float) -> None:
    """Six seconds of others' calls are before ours: a call in each round would keep the queue for good."""
    model = Model(siblings, work)
    model.run(30.0)
    model.go_down("refusing")
    model.run(8.0)
    model.come_back(backlog=6.0)
    model.run(120.0)
    assert model.last() < 35.0 and model.late <= 2.5 * siblings


@pytest.mark.parametrize(("siblings", "work"), FLEETS)
def test_nine_in_ten_that_start_with_no_list_have_one_in_time(siblings: int, work: float) -> None:
    """A router that knows no cache server is ready with its first list only, within 6 s on a short day."""
    model = Model(siblings, work, start=1_790_000_000.3)
    model.run(30.0)
    assert sorted(model.listed.values())[int(0.9 * siblings) - 1] < 5.3 and model.late == 0


def test_a_call_that_gets_no_answer_is_made_again_at_once() -> None:
    """It was given up five seconds after it began; what discovery has counts as told one later."""
    conf = settings(subscribe=True, siblings=40, drain_grace=GRACE)
    router = Router(conf, 1, 100.0)
    router.handle(101.0, api.TimerFired("list"))
    (timer, _) = router.handle(101.0 + HANGING, api.ServerList(api.ListKind.FAILED))
    assert isinstance(timer, api.SetTimer) and timer.delay < 0.5


@pytest.mark.parametrize("must_ask_in", [2.0, 10.0, 40.0])
@pytest.mark.parametrize("siblings", [1, 4, 40, 230])
def test_no_pause_outlasts_what_counts_as_told_while_calls_are_refused(
    siblings: int, must_ask_in: float
) -> None:
    """A site that asks its routers to ask rarely does not make news count later."""
    conf = settings(subscribe=True, siblings=siblings, must_ask_in=must_ask_in, number=siblings - 1)
    router, now = Router(conf, 1, 100.0), 100.0
    (first,) = router.handle(now, api.ServerList(api.ListKind.SAVED, (entry("a"),)))
    assert isinstance(first, api.SetTimer) and first.delay <= min(5.0, must_ask_in / 2)
    for _ in range(40):
        router.handle(now, api.TimerFired("list"))
        (timer, _) = router.handle(now, api.ServerList(api.ListKind.FAILED))
        assert isinstance(timer, api.SetTimer) and 0 < timer.delay <= min(5.0, must_ask_in / 2) + 0.2
        now += timer.delay


# The calls themselves


def test_a_connection_that_never_comes_up_is_given_up_soon() -> None:
    """It had the whole call's time: five of the six seconds after which news counts as told."""

    async def scenario() -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)  # and nobody accepts: what comes after these two is dropped as by a cut
            fillers = [socket.socket() for _ in range(2)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            peer = Peer()
            peer.address = spelled(full.getsockname())
            began = time.monotonic()
            assert await WatchRecorder(peer).news.get() is None
            assert time.monotonic() - began < 2.0
            for filler in fillers:
                filler.close()

    run(scenario)


def test_a_call_that_waits_its_turn_outlasts_the_bound_on_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Given up, it would be worked through all the same, and the next one would wait behind it."""

    async def scenario() -> None:
        monkeypatch.setattr(discoveries, "DIAL_TIMEOUT_S", 0.1, raising=False)
        async with Peer() as peer:
            told = WatchRecorder(peer)
            _, link = await call(peer)
            await asyncio.sleep(0.3)
            link.write(http("200 OK", message(42, False)))
            assert await told.news.get() == (api.ListKind.DELTA, [])
            told.client.close()

    run(scenario)


WHOLE = "GET /registry/instances HTTP/1.1"


async def whole_list_is_asked_for(peer: Peer, told: WatchRecorder, link: Link) -> None:
    """The answer to the watch has a lower version: what became of the list is not in it."""
    link.write(http("200 OK", message(7, False, {**ENTRY, "status": "terminating"})))
    first, link = await call(peer)
    assert first == WHOLE
    link.write(http("200 OK", message(8, True, ENTRY)))
    kind, (member,) = await told.news.get() or pytest.fail()
    assert kind is api.ListKind.FULL and member.entry.state is api.State.READY
    assert "after=8&wait_ms=3000" in (await call(peer))[0] and told.news.empty()


def test_a_discovery_that_counts_from_lower_is_asked_for_the_whole_list() -> None:
    """The list known at the start was told by one that had counted further."""

    async def scenario() -> None:
        async with Peer() as peer:
            told = WatchRecorder(peer)
            first, link = await call(peer)
            assert "after=41&" in first
            await whole_list_is_asked_for(peer, told, link)
            told.client.close()

    run(scenario)


@pytest.mark.parametrize("failed", [False, True])
def test_a_new_discovery_that_counts_from_lower_is_found_out_at_once(failed: bool) -> None:
    """Its first watch waited for three seconds, and the next ones for versions that it never had."""

    async def scenario() -> None:
        async with Peer() as old, Peer() as new:
            told = WatchRecorder(old)
            await call(old)
            assert told.client.set_address(new.address)
            told.client.subscribe()
            first, link = await call(new)
            assert "after=41&wait_ms=1 " in first
            if failed:  # nothing is known of it yet
                link.reset()
                assert await told.news.get() is None
                told.client.subscribe()
                first, link = await call(new)
                assert "after=41&wait_ms=1 " in first
            await whole_list_is_asked_for(new, told, link)
            told.client.close()

    run(scenario)


def test_a_new_discovery_that_counts_on_is_watched_on() -> None:
    """Two hundred whole lists are not asked for without need."""

    async def scenario() -> None:
        async with Peer() as old, Peer() as new:
            told = WatchRecorder(old)
            await call(old)
            told.client.set_address(new.address)
            told.client.subscribe()
            _, link = await call(new)
            link.write(http("200 OK", message(41, False)))
            assert await told.news.get() == (api.ListKind.DELTA, [])
            assert "after=41&wait_ms=3000" in (await call(new))[0]
            told.client.close()

    run(scenario)


def test_a_whole_list_of_a_lower_version_is_taken_as_it_is() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            told = WatchRecorder(peer)
            _, link = await call(peer)
            link.write(http("200 OK", message(7, True, ENTRY)))
            assert (await told.news.get() or pytest.fail())[0] is api.ListKind.FULL
            assert "after=7&" in (await call(peer))[0]
            told.client.close()

    run(scenario)


@pytest.mark.parametrize("answer", [http("503 Busy"), http("200 OK", message(7, False, ENTRY)), b""])
def test_no_whole_list_is_a_failed_call(answer: bytes) -> None:
    """Changes taken for the whole list would drop servers that are well; the list held goes on to hold."""

    async def scenario() -> None:
        async with Peer() as peer:
            told = WatchRecorder(peer)
            _, link = await call(peer)
            link.write(http("200 OK", message(7, False)))
            first, link = await call(peer)
            assert first == WHOLE
            link.write(answer)
            link.close()
            assert await told.news.get() is None
            told.client.subscribe()
            assert "after=41&" in (await call(peer))[0]
            told.client.close()

    run(scenario)


# The start of a process


@asynccontextmanager
async def started(
    path: Path, discovery: str, known: dict[str, Any], **changes: Any
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A process of its own, ended by its id."""
    config = {**VALID_CONFIG, "listen": "127.0.0.1:0", "discovery": discovery, "known": known}
    config["settings"] = {**CONF, **changes}
    process = await launch(path, config)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def servers(count: int) -> list[dict[str, Any]]:
    return [{**ENTRY, "name": f"s-{i}", "type": "std", "since_ms": 0} for i in range(count)]


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_with_no_list_a_router_is_ready_as_soon_as_discovery_is_back(mode: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        with socket.socket() as down:
            down.bind(("127.0.0.1", 0))  # calls are refused until somebody listens
            discovery = spelled(down.getsockname())
            empty = {"index": 0, "snapshot": True, "endpoints": []}
            async with started(tmp_path / "c.json", discovery, empty, membershipMode=mode) as process:
                client = Link(*await asyncio.open_connection(*await listening_address(process.stderr)))
                assert process.stderr is not None
                while b"out of reach, 3 in a row" not in await process.stderr.readline():
                    client.write(command("PING"))
                    assert isinstance(await client.resp(), Exception)
                peer = Peer()
                began = time.monotonic()
                server = await asyncio.start_server(peer._accept, sock=down)
                _, link = await call(peer)
                link.write(http("200 OK", message(3, True, *servers(2))))
                await call(peer)  # the watch goes on: the list has been taken
                client.write(command("PING"))
                assert await client.resp() == b"PONG"
                assert time.monotonic() - began < 4.0
                server.close()

    run(scenario)


def test_an_old_list_is_served_from_at_once_while_discovery_is_down(tmp_path: Path) -> None:
    """Two hundred and thirty siblings and three hundred servers: the ring is built before it listens."""

    async def scenario() -> None:
        with socket.socket() as down:
            down.bind(("127.0.0.1", 0))
            old = {"index": 10**9, "snapshot": True, "endpoints": servers(300)}
            began = time.monotonic()
            discovery = spelled(down.getsockname())
            async with started(tmp_path / "c.json", discovery, old, siblings=230, me=229) as process:
                await connect_ready(parse_address(spelled(await listening_address(process.stderr))))
                assert time.monotonic() - began < 6.0

    run(scenario)
