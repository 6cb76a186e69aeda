"""The discovery client: reads server lists and watches discovery for their changes."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from brackenwalk import interface as api
from brackenwalk.net.http import HttpClient, HttpError
from brackenwalk.net.memory import DEFAULT_LIMITS, TooManyServersError
from brackenwalk.net.pool import parse_address
from brackenwalk.net.requests import Member

STATES = {
    "in_service": api.ServerState.READY,
    "terminating": api.ServerState.DRAINING,
    "terminated": api.ServerState.GONE,
}
MAX_TEXT_CHARS = 1024  # of a name, address, zone or type
# Time for which a watch asks discovery to wait for a change. With the margin below, a second call is made
# beside one without a response after 5.2 s. By the requirements a change counts as delivered to the routers
# after 6 s, and the second call takes time as well.
WATCH_WAIT_S = 3.0
# Time beyond its wait after which a call is overdue. It may be lost, or still be in discovery's queue for as
# long as the site allows, which routers are not told. Where that is 2 s, the call fails just before.
RESPONSE_MARGIN_S = 2.2
# Pause after a response with no change, so that a discovery that never waits is not called in a busy loop. A
# call later than 200 ms after the previous response would be taken for a new watch and queued behind others.
EMPTY_RESPONSE_PAUSE_S = 0.05
# Time for the connection alone, which does not wait in discovery's queue. One that is never established would
# otherwise take most of the 6 s after which a change counts as delivered. The kernel resends a lost SYN only
# after 1 s.
DIAL_TIMEOUT_S = 1.0
CHECK_TIMEOUT_S = 0.25  # time for the connection of a check, which is repeated at once
# Wait of the first watch at another discovery, whose index may have started over, and of a second call.
PROBE_WAIT_S = 0.001
ROWS_PER_TURN = 128  # entries of a list that are parsed in one turn of the event loop
FULL_LIST_QUERY = ""
log = logging.getLogger(__name__)

UpdateParts = tuple[int, bool, list[Member]]  # of a list: its index, whether it is full, and its entries


class ListError(ValueError):
    """A list or response that cannot be used; the message names the field."""


def read_field(table: dict[str, Any], name: str, types: type | tuple[type, ...], path: str) -> Any:
    """Return a field. Raises `ListError`, which names it under `path`, if it has none of the given types."""
    value = table.get(name)
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise ListError(f"{path}{name} is missing or malformed: {str(value)[:40]}")
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
        raise ListError(f"{path}{name} is longer than {MAX_TEXT_CHARS} characters: {value[:40]}")
    return value


def read_member(row: Any, path: str) -> Member:
    """Parse one entry of a list. Raises `ListError`, which names a malformed field under `path`."""
    if not isinstance(row, dict):
        raise ListError(f"{path} is not an object")
    path += "."
    state = read_field(row, "status", str, path)
    if state not in STATES:
        raise ListError(f"{path}status is unknown: {state[:40]}")
    address = read_field(row, "address", str, path)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"{path}address is not host:port: {address[:40]}")
    entry = api.ServerEntry(
        server=read_field(row, "name", str, path),
        state=STATES[state],
        kind=read_field(row, "type", str, path),
        zone=read_field(row, "zone", str, path),
        cell=read_field(row, "group", int, path),
        weight=max(0.0, read_field(row, "weight", (int, float), path)),
        # Unix time in seconds, as the host's clock.
        started_at=read_field(row, "since_ms", (int, float), path) / 1000,
    )
    return Member(entry, address)


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """A message of discovery whose entries are not parsed yet."""

    index: int
    is_full: bool  # a full list, else changes
    rows: list[Any]
    path: str  # of the rows, for errors

    def members(self, start: int = 0, end: int | None = None) -> list[Member]:
        """Parse a range of the entries. Raises `ListError`, which names a malformed field."""
        rows = enumerate(self.rows[start:end], start)
        return [read_member(row, f"{self.path}[{i}]") for i, row in rows]


def read_update(message: Any, path: str = "") -> ListUpdate:
    """Return what a message of discovery holds.

    Raises `ListError`, which names the field under `path`, if one is missing or malformed.
    """
    if not isinstance(message, dict):
        raise ListError(f"{path or 'list'} is not an object")
    path += "." if path else ""
    rows = read_field(message, "endpoints", list, path)
    index, is_full = read_field(message, "index", int, path), read_field(message, "snapshot", bool, path)
    return ListUpdate(index, is_full, rows, path + "endpoints")


def read_list(message: Any, path: str = "") -> UpdateParts:
    """Return a list's index, whether it is a full list (else changes), and its entries.

    Raises `ListError`, which names the field under `path`, if one is missing or malformed.
    """
    update = read_update(message, path)
    return update.index, update.is_full, update.members()


async def read_list_in_turns(message: Any) -> UpdateParts:
    """Do the same as `read_list` in several turns of the event loop, so that a long list holds up nothing."""
    update, members = read_update(message), list[Member]()
    for start in range(0, len(update.rows), ROWS_PER_TURN):
        if start:
            await asyncio.sleep(0)
        members += update.members(start, start + ROWS_PER_TURN)
    return update.index, update.is_full, members


async def first_result(calls: set[asyncio.Task[UpdateParts]]) -> UpdateParts:
    """Return the first result of some calls. Raises the error of the last one if all fail."""
    left = calls
    while True:
        done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
        succeeded = [call for call in done if call.exception() is None]
        if succeeded or not left:
            return (succeeded or list(done))[0].result()


class DiscoveryClient:
    """Watches discovery for changes of the server list by long polling.

    A failed call ends the watch and calls `on_failure`; it is up to the caller to subscribe again.
    """

    def __init__(
        self,
        address: str,
        index: int,
        on_list: Callable[[api.ListKind, list[Member]], None],
        on_failure: Callable[[], None],
        on_reachable: Callable[[], None] = lambda: None,
        *,
        max_list_bytes: int = DEFAULT_LIMITS.list_bytes,
    ) -> None:
        self.max_list_bytes = max_list_bytes
        self.address = address
        self.index = index
        self.on_list = on_list
        self.on_failure = on_failure
        self.on_reachable = on_reachable
        self.called_address = address  # by the watch's latest call, which may still wait there
        self.index_valid = True  # whether the discovery at this address is known to share the index
        self.watch_task: asyncio.Task[None] | None = None
        self.check_task: asyncio.Task[None] | None = None

    def subscribe(self) -> None:
        """Start a watch unless one is running; replace one that still waits at a previous address."""
        if self.watch_task is not None and self.called_address != self.address:
            self.watch_task.cancel()
            self.watch_task = None
        if self.watch_task is None:
            self.watch_task = asyncio.create_task(self._run_watch())

    def check(self) -> None:
        """Find out whether discovery can be reached, and call `on_reachable` or `on_failure`."""
        if self.check_task is None or self.check_task.done():
            self.check_task = asyncio.create_task(self._check())

    async def _check(self) -> None:
        """Connect and close the connection: a connection without a call costs discovery nothing."""
        try:
            _, writer = await self._connect(self.address, CHECK_TIMEOUT_S)
            writer.close()
        except Exception as e:
            # Whatever the failure, it is reported: the module only then calls again.
            if not isinstance(e, OSError):  # TimeoutError is an OSError
                log.error("check of discovery failed unexpectedly: please report %r", e)
            self.on_failure()
        else:
            self.on_reachable()

    async def _connect(self, address: str, limit: float) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to discovery. Raises `OSError`, also where that takes more than `limit` seconds."""
        async with asyncio.timeout(limit):
            return await asyncio.open_connection(*parse_address(address))

    def set_address(self, address: str) -> bool:
        """Set the address from the next call on, and return whether it has changed."""
        changed, self.address = address != self.address, address
        if changed and self.check_task is not None:
            self.check_task.cancel()  # at the previous address
        self.index_valid = self.index_valid and not changed
        return changed

    async def _run_watch(self) -> None:
        try:
            while True:
                started_at = time.monotonic()
                wait = WATCH_WAIT_S if self.index_valid else PROBE_WAIT_S
                self.called_address = self.address
                update = await self._call(self._watch_query(wait), wait)
                if update[0] < self.index and not update[1]:
                    # This discovery's index has started over: a watch from the old index would report no
                    # change until the new one has caught up, so it needs the full list.
                    update = await self._call(FULL_LIST_QUERY)
                    if not update[1]:
                        raise ListError("sent changes in response to a call for the full list")
                self.index_valid = self.index_valid or self.called_address == self.address
                index, is_full, members = update
                self.on_list(api.ListKind.FULL if is_full else api.ListKind.DELTA, members)
                self.index = index  # only of a list that has been taken
                if not members:
                    await asyncio.sleep(EMPTY_RESPONSE_PAUSE_S)
        except Exception as e:
            # Whatever the failure, it is reported: the module only then subscribes again, and would otherwise
            # keep its old list for ever.
            known = isinstance(
                e, (OSError, HttpError, ListError, TooManyServersError, orjson.JSONDecodeError)
            )
            level, elapsed = logging.WARNING if known else logging.ERROR, time.monotonic() - started_at
            log.log(
                level,
                "call to discovery failed after %.3f s, keeping the current server list: %s",
                elapsed,
                repr(e)[:200],
            )
        self.watch_task = None  # not reached on cancellation, where `subscribe` or `close` takes over
        self.on_failure()

    def _watch_query(self, wait: float) -> str:
        return f"?after={self.index}&wait_ms={math.ceil(wait * 1000)}"

    async def _call(self, query: str, wait: float = 0.0) -> UpdateParts:
        """Return the response to a call, or to a second one that is made beside it once it is overdue.

        A call that is lost is told from one that is queued only by time, and discovery works off a call that
        has been given up all the same. So the first one stays open for as long as the second. Raises the
        error of the call that fails last.
        """
        first = asyncio.create_task(self._call_once(query))
        calls = {first}
        try:
            await asyncio.wait(calls, timeout=wait + RESPONSE_MARGIN_S)
            if first.done():
                return first.result()
            log.info(
                "call to discovery without a response after %g s, a second one is made",
                wait + RESPONSE_MARGIN_S,
            )
            second_query = query if query == FULL_LIST_QUERY else self._watch_query(PROBE_WAIT_S)
            calls.add(asyncio.create_task(self._call_once(second_query)))
            async with asyncio.timeout(PROBE_WAIT_S + 2 * RESPONSE_MARGIN_S):
                return await first_result(calls)
        finally:
            for call in calls:
                call.cancel()

    async def _call_once(self, query: str) -> UpdateParts:
        reader, writer = await self._connect(self.called_address, DIAL_TIMEOUT_S)
        try:
            client = HttpClient(self.called_address, self.max_list_bytes)
            request = client.request("GET", "/registry/instances" + query, [(b"Connection", b"close")])
            writer.write(request)
            response = None
            while response is None:
                response = client.receive(await reader.read(65536))
        finally:
            writer.close()
        if response.status != 200:
            raise ListError(f"HTTP status {response.status}")
        return await read_list_in_turns(orjson.loads(response.body))

    def close(self) -> None:
        """Cancel the watch and the check, without a call of `on_failure`."""
        for task in (self.watch_task, self.check_task):
            if task is not None:
                task.cancel()
