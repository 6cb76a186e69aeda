"""The router process: configuration and signals."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from brackenwalk import __main__ as program
from brackenwalk.net.listener import Listener
from brackenwalk.net.pool import parse_address
from brackenwalk.policy import Router
from tests.loopback import HIT, TIMEOUT_S, Link, ScriptedServer, command, format_address, http, read, run
from tests.test_net_discovery import ENTRY, message
from tests.test_wirehost import SETTINGS_TABLE

KNOWN = {"index": 41, "snapshot": True, "endpoints": [ENTRY]}
VALID_CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": KNOWN,
    "settings": SETTINGS_TABLE,
}


def test_configuration_is_parsed() -> None:
    config = program.read_config(orjson.dumps(VALID_CONFIG))
    assert (config.listen, config.discovery) == (("127.0.0.1", 6379), "127.0.0.1:8500")
    assert (config.seed, config.sockets, config.known_index) == (0x8C1F30D27A5BE964, 1024, 41)
    assert [m.entry.server for m in config.known] == ["s-1"]
    assert config.settings.classes["pay"].repeat_window == 5.0
    assert config.peer_listen is None
    own, other, all_peers = (f"127.0.0.1:{port}" for port in (1, 2, 3))
    peer_config: dict[str, Any] = {"peer_listen": own, "peers": [own, other], "peers_all": all_peers}
    config = program.read_config(orjson.dumps({**VALID_CONFIG, **peer_config}))
    assert [config.peer_listen, config.peers, config.peers_all] == list(peer_config.values())


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "here"}, "listen"),
        ({"listen": None}, "listen"),
        ({"discovery": "127.0.0.1:x"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": 3}, "limits"),
        ({"known": None}, "known"),
        ({"known": {**KNOWN, "index": "x"}}, "known.index"),
        ({"known": {**KNOWN, "endpoints": [{}]}}, "known.endpoints[0].status"),
        ({"peer_listen": "here"}, "peer_listen"),
        ({"peer_listen": "127.0.0.1:7946"}, "peers"),
        ({"peer_listen": "127.0.0.1:7946", "peers": ["127.0.0.1:1", 7]}, "peers[1]"),
        ({"peer_listen": "127.0.0.1:7946", "peers": []}, "peers_all"),
        ({"settings": None}, "conf"),
        ({"settings": {**SETTINGS_TABLE, "classes": []}}, "classes"),
        ({"settings": {**SETTINGS_TABLE, "limits": {"dialTimeout": "x"}}}, "limits.dialTimeout"),
    ],
)
def test_invalid_configuration_exits_with_one_line(
    change: dict[str, Any],
    field: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps({**VALID_CONFIG, **change}))
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    assert program.main() == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert field in line


@pytest.mark.parametrize("text", [None, b"", b"{", b"[]"])
def test_missing_configuration_exits_with_one_line(
    text: bytes | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_bytes(text)
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    assert program.main() == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_address_in_use_exits_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps({**VALID_CONFIG, "listen": format_address(taken.getsockname())}))
        monkeypatch.setenv("RELAY_CONFIG", str(path))
        assert program.main() == 2
    assert capsys.readouterr().err.splitlines()[-1].startswith("brackenwalk: listen: ")


async def connect_ready(address: tuple[str, int]) -> Link:
    """Return a client connection on which a PING has succeeded."""
    client = Link(*await asyncio.open_connection(*address))
    client.write(command("PING"))
    assert await client.resp() == b"PONG"
    return client


async def wait_for_log(log: asyncio.StreamReader | None, pattern: bytes) -> bytes:
    """Read the log up to a line that matches a regular expression, and return the matching text."""
    assert log is not None
    while (match := re.search(pattern, await log.readline())) is None:
        assert not log.at_eof()
    return match[0]


async def listening_address(log: asyncio.StreamReader | None) -> tuple[str, int]:
    """Return the address that the process logs that it listens on."""
    return parse_address(
        (await wait_for_log(log, rb"listening on [0-9.]+:\d+")).decode().removeprefix("listening on ")
    )


def peak_mib(pid: int) -> float:
    """Return the largest resident memory of a process so far."""
    memory = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert memory is not None
    return int(memory[1]) / 1024


async def launch(path: Path, config: dict[str, Any]) -> asyncio.subprocess.Process:
    """Start a router process with a configuration at this path; its log is on standard error."""
    path.write_bytes(orjson.dumps(config))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "brackenwalk",
        env={**os.environ, "RELAY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_process_serves_reloads_and_exits_once_all_requests_have_responses(mode: str, tmp_path: Path) -> None:
    """An exit too early loses accepted requests; one too late is cut short by SIGKILL, with the same loss.

    SIGHUP must not end the process, whatever the file contains by then.
    """

    async def scenario() -> None:
        async with ScriptedServer() as cache, ScriptedServer() as discovery, ScriptedServer() as moved:
            server_entry = {**ENTRY, "address": cache.address, "type": "std", "since_ms": 0}
            known = {"index": 1, "snapshot": True, "endpoints": [server_entry]}
            settings = {**SETTINGS_TABLE, "membershipMode": mode}
            config = {
                **VALID_CONFIG,
                "settings": settings,
                "listen": "127.0.0.1:0",
                "discovery": discovery.address,
            }
            config["known"] = known
            path = tmp_path / "config.json"
            process = await launch(path, config)
            try:
                watch = await discovery.link()
                assert "after=1&" in (await watch.http())[0]
                watch.write(http("200 OK", message(2, False)))
                address = await listening_address(process.stderr)
                client = await connect_ready(address)
                client.write(read("r1"))
                cache_link = await cache.link()
                await cache_link.resp()
                path.write_bytes(b"{")
                process.send_signal(signal.SIGHUP)
                await wait_for_log(
                    process.stderr, rb"configuration not reloaded, keeping the previous one: .*"
                )
                path.write_bytes(orjson.dumps({**config, "discovery": moved.address}))
                process.send_signal(signal.SIGHUP)
                assert "after=2&" in (await (await moved.link()).http())[0]
                process.send_signal(signal.SIGTERM)
                late_client = await connect_ready(address)
                assert await late_client.wait_closed()
                cache_link.write(HIT)
                assert await client.resp() == b"value"
                async with asyncio.timeout(TIMEOUT_S):
                    assert await process.wait() == 0
            finally:
                if process.returncode is None:
                    process.kill()

    run(scenario)


def test_hanging_server_does_not_delay_exit(tmp_path: Path) -> None:
    """SIGKILL follows after the longest deadline of the settings; all responses must be sent before."""

    async def scenario() -> None:
        async with ScriptedServer() as cache, ScriptedServer() as discovery:
            server_entry = {**ENTRY, "address": cache.address, "type": "std", "since_ms": 0}
            classes = [{**SETTINGS_TABLE["classes"][0], "giveUp": 0.3}, *SETTINGS_TABLE["classes"][1:]]
            config = {**VALID_CONFIG, "listen": "127.0.0.1:0", "discovery": discovery.address}
            config["settings"] = {**SETTINGS_TABLE, "classes": [{**c, "giveUp": 0.3} for c in classes]}
            config["known"] = {"index": 1, "snapshot": True, "endpoints": [server_entry]}
            path = tmp_path / "config.json"
            process = await launch(path, config)
            try:
                address = await listening_address(process.stderr)
                clients = [await connect_ready(address) for _ in range(3)]
                for i, client in enumerate(clients):
                    client.write(read(f"r{i}", info=f"c={classes[i % len(classes)]['name']},d=60000"))
                    await (await cache.link()).resp()
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                async with asyncio.timeout(3.0):  # three times the time until SIGKILL
                    for client in clients:
                        assert isinstance(await client.resp(), Exception) and await client.wait_closed()
                assert await process.wait() == 0
            finally:
                if process.returncode is None:
                    process.kill()

    run(scenario)


def test_router_serves_with_a_thousand_servers_and_routers(tmp_path: Path) -> None:
    """With 1024 servers and routers it starts, serves, takes list updates and stays within its memory."""

    async def scenario() -> None:
        async with ScriptedServer() as cache, ScriptedServer() as discovery:
            server_entries = [
                {**ENTRY, "name": f"s-{i}", "address": cache.address, "since_ms": 0} for i in range(1024)
            ]
            known = {"index": 1, "snapshot": True, "endpoints": server_entries}
            peers = ["127.0.0.1:0", *(f"127.1.{i // 256}.{i % 256}:7946" for i in range(1023))]
            peer_config = {"peer_listen": peers[0], "peers": peers, "peers_all": "127.1.255.255:7946"}
            settings = {
                **SETTINGS_TABLE,
                "siblings": 1024,
                "limits": {**SETTINGS_TABLE["limits"], "peers": True},
            }
            config = {**VALID_CONFIG, **peer_config, "settings": settings, "known": known}
            config |= {"listen": "127.0.0.1:0", "discovery": discovery.address}
            path = tmp_path / "config.json"
            process = await launch(path, config)
            try:
                client = await connect_ready(await listening_address(process.stderr))
                watch = await discovery.link()
                assert "after=1&" in (await watch.http())[0]
                full_list = {"index": 2, "snapshot": True, "endpoints": server_entries}
                watch.write(http("200 OK", orjson.dumps(full_list)))
                assert "after=2&" in (await (await discovery.link()).http())[0]
                client.write(read("r1"))
                cache_link = await cache.link()
                await cache_link.resp()
                cache_link.write(HIT)
                assert await client.resp() == b"value"
                # Two thirds of the memory that the smallest deployment grants.
                assert peak_mib(process.pid) < 64
            finally:
                process.kill()
                await process.wait()

    run(scenario)


def config_of_many_servers(count: int) -> dict[str, Any]:
    entries = [{**ENTRY, "name": f"s-{i}"} for i in range(count)]
    known = {"index": 1, "snapshot": True, "endpoints": entries}
    return {**VALID_CONFIG, "listen": "127.0.0.1:0", "known": known}


def test_listens_once_the_known_servers_are_placed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the first requests of a restarted router all go to the origin, or to a few servers."""
    placed: list[int] = []

    def record_and_stop(listener: Listener, address: tuple[str, int]) -> None:
        placed.append(len(listener.host.router.caches))
        raise OSError("stop here")

    monkeypatch.setattr(Listener, "start", record_and_stop)
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config_of_many_servers(300)))
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    assert program.main() == 2 and placed == [300]


def test_sigterm_while_the_known_servers_are_placed_ends_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a router that starts with a long list is killed, as it ignores SIGTERM until then."""
    monkeypatch.setattr(Router, "_on_resume", lambda self: os.kill(os.getpid(), signal.SIGTERM))
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config_of_many_servers(300)))
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    monkeypatch.setattr(program, "ACCEPT_GRACE_S", 0.0)
    assert program.main() == 0
