"""The router process: configuration, log, signals and shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from brackenwalk import interface as api
from brackenwalk.net.discovery import DiscoveryClient, ListError, read_list
from brackenwalk.net.host import Host
from brackenwalk.net.listener import Listener
from brackenwalk.net.memory import DEFAULT_MEMORY_MB, TooManyServersError, limits_for
from brackenwalk.net.origin import OriginConnection
from brackenwalk.net.peers import PeerSocket
from brackenwalk.net.pool import Pool, parse_address
from brackenwalk.net.requests import Member
from brackenwalk.net.servers import CacheConnection
from brackenwalk.net.turns import TurnSelector, new_event_loop
from brackenwalk.net.usage import UsageReport
from brackenwalk.settings import read_number, read_section, read_settings

ACCEPT_GRACE_S = 0.5  # after SIGTERM, new connections still arrive for 0.2 to 0.4 s
# SIGKILL follows SIGTERM after the longest deadline of the classes plus 0.7 s; a deadline above this limit
# counts as the limit.
MAX_COUNTED_DEADLINE_S = 3.0
RESPONSE_GRACE_S = 0.4  # time after that deadline by which the last clients to connect are answered
EXIT_GRACE_S = 0.6  # time after that deadline by which the process exits
MIN_MEMORY_MB = 16.0  # less than the interpreter alone needs
RESERVED_DESCRIPTORS = 32  # for the event loop, the log, the listener and discovery


class ConfigError(ValueError):
    """A configuration that cannot be used; the message names the field."""


@dataclass(slots=True, frozen=True)
class Config:
    """A router's configuration, as read from the file that `RELAY_CONFIG` names."""

    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    memory_mb: float
    known_index: int
    known: list[Member]
    settings: api.Settings
    peer_listen: str | None
    peers: list[str]
    peers_all: str


def read_address(table: dict[str, Any], field: str) -> str:
    """Return a field of the form host:port. Raises `ConfigError` if it has another form."""
    value = table.get(field)
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{field} must be host:port, not {value!r}")
    return str(value)


def read_config(text: bytes) -> Config:
    """Parse a JSON configuration. Raises `ConfigError`, which names the field, if it cannot be used."""
    try:
        table = orjson.loads(text)
    except orjson.JSONDecodeError as e:
        raise ConfigError(f"configuration is not JSON: {e}") from e
    if not isinstance(table, dict):
        raise ConfigError("configuration is not an object")
    seed = table.get("seed")
    try:
        seed_number = int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {seed!r}") from None
    try:
        settings = read_settings(table.get("settings"))
        process_limits = read_section(table, "limits")
        sockets = int(read_number(process_limits, "sockets", 1024, "limits.", 64))
        memory_mb = read_number(process_limits, "memory_mb", DEFAULT_MEMORY_MB, "limits.", MIN_MEMORY_MB)
        index, _, known = read_list(table.get("known"), "known")
    except (api.SettingsError, ListError) as e:
        raise ConfigError(str(e)) from e
    listen = parse_address(read_address(table, "listen"))
    discovery = read_address(table, "discovery")
    return Config(
        listen, discovery, seed_number, sockets, memory_mb, index, known, settings, *read_peers(table)
    )


def read_peers(table: dict[str, Any]) -> tuple[str | None, list[str], str]:
    """Return the address to receive from peers, the peers' addresses, and the address that reaches them all.

    Without `peer_listen` there are no peers. Raises `ConfigError`, which names the field, if an address is
    malformed.
    """
    if table.get("peer_listen") is None:
        return None, [], ""
    listen, peers = read_address(table, "peer_listen"), table.get("peers")
    if not isinstance(peers, list):
        raise ConfigError(f"peers must be a list, not {peers!r}")
    addresses = [read_address({f"peers[{i}]": p}, f"peers[{i}]") for i, p in enumerate(peers)]
    return listen, addresses, read_address(table, "peers_all")


def read_file(path: str) -> bytes:
    """Return the contents of the configuration file. Raises `ConfigError` if it cannot be read."""
    try:
        return Path(path).read_bytes()
    except OSError as e:
        raise ConfigError(f"RELAY_CONFIG: {e}") from e


def reload_config(path: str, discovery: DiscoveryClient, host: Host) -> None:
    """Apply the one field that SIGHUP reloads, the address of discovery; ignore an invalid file."""
    try:
        config = read_config(read_file(path))
    except ConfigError as e:
        logging.error("configuration not reloaded, keeping the previous one: %s", e)
        return
    logging.info("address of discovery: %s", config.discovery)
    if discovery.set_address(config.discovery):
        host.on_discovery_moved()


async def wait_for_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


async def start_peers(config: Config, host: Host) -> PeerSocket | None:
    """Open the socket for messages between routers, if the configuration has one."""
    if config.peer_listen is None:
        return None
    peers = PeerSocket(config.peer_listen, config.peers, config.peers_all, host.on_peer_message)
    host.broadcast = peers.broadcast
    await peers.start()
    return peers


async def serve(path: str, turns: TurnSelector | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then until the accepted requests are answered."""
    config = read_config(read_file(path))
    settings = config.settings
    budget = config.sockets - RESERVED_DESCRIPTORS
    dial, idle = settings.dial_timeout, settings.idle_timeout
    limits = limits_for(config.memory_mb)
    cache_pool = Pool(CacheConnection, budget * 3 // 8, dial, idle, limits.server_input // 2)
    origin_pool = Pool(OriginConnection, budget // 8, dial, idle, limits.server_input // 2)

    def subscribe() -> None:
        discovery.subscribe()

    def check_discovery() -> None:
        discovery.check()

    host = Host(
        settings,
        config.seed,
        cache_pool,
        origin_pool,
        subscribe,
        check_discovery=check_discovery,
        limits=limits,
    )
    discovery = DiscoveryClient(
        config.discovery,
        config.known_index,
        host.on_server_list,
        host.on_list_failed,
        host.on_discovery_reachable,
        max_list_bytes=limits.list_bytes,
    )
    try:
        host.on_server_list(api.ListKind.SAVED, config.known)
    except TooManyServersError as e:
        raise ConfigError(f"known: {e}") from e
    if not settings.subscribe:
        # In this mode the module expects lists to be pushed and does not subscribe; here they come by the
        # same watch.
        discovery.subscribe()
    peers = await start_peers(config, host)
    listener = Listener(host, budget // 2, limits)
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, terminated.set)
    loop.add_signal_handler(signal.SIGHUP, reload_config, path, discovery, host)
    # Requests that came before the servers are placed would all go to the origin.
    await wait_for_any(host.settled, terminated)
    try:
        listener.start(config.listen)
    except OSError as e:
        raise ConfigError(f"listen: {e}") from e
    logging.info("listening on %s:%d", *listener.socket.getsockname())
    usage_report = UsageReport(host, listener, (cache_pool, origin_pool), turns)
    usage_report.start()
    await terminated.wait()
    logging.info("shutting down: accepting connections for another %g s", ACCEPT_GRACE_S)
    deadline = min(MAX_COUNTED_DEADLINE_S, settings.longest_client_timeout)
    host.begin_shutdown(deadline + RESPONSE_GRACE_S)
    await listener.stop(ACCEPT_GRACE_S, deadline + EXIT_GRACE_S - ACCEPT_GRACE_S)
    usage_report.close()
    discovery.close()
    if peers is not None:
        demand = host.router.demand
        logging.info(
            "peer messages ignored: %d from unknown senders or too long, %d invalid, %d stale",
            peers.rejected,
            demand.invalid,
            demand.stale,
        )
        peers.close()
    cache_pool.close()
    origin_pool.close()


def main() -> int:
    """Run one router and return the exit code, 2 if the configuration cannot be used."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    path = os.environ.get("RELAY_CONFIG", "")
    turns = TurnSelector()
    try:
        with asyncio.Runner(loop_factory=lambda: new_event_loop(turns)) as runner:
            runner.run(serve(path, turns))
    except ConfigError as e:
        print(f"brackenwalk: {e}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
