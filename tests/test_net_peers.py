"""Datagrams between routers, over loopback."""

from __future__ import annotations

import asyncio
import socket

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.net.peers import Peers
from tests.loopback import SETTINGS, RouterHarness, format_address, run


def endpoint() -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind(("127.0.0.1", 0))
    opened.setblocking(False)
    return opened


def test_what_is_told_goes_to_all_and_what_peers_tell_is_heard() -> None:
    async def scenario() -> None:
        heard: asyncio.Queue[bytes] = asyncio.Queue()
        with endpoint() as peer, endpoint() as stranger:
            everyone = format_address(peer.getsockname())
            peers = Peers("127.0.0.1:0", [everyone], everyone, heard.put_nowait)
            await peers.start()
            assert peers.transport is not None
            address = peers.transport.get_extra_info("sockname")
            loop = asyncio.get_running_loop()
            peers.tell(b"told")
            assert await loop.sock_recv(peer, 512) == b"told"
            peers.tell(b"")  # neither of these may go out
            peers.tell(b"x" * 257)
            peers.tell(b"next")
            assert await loop.sock_recv(peer, 512) == b"next"
            stranger.sendto(b"not of the tier", address)
            peer.sendto(b"x" * 300, address)
            peer.sendto(b"heard", address)
            assert await heard.get() == b"heard" and heard.empty()
            peers.close()

    run(scenario)


def test_a_socket_that_does_not_open_leaves_the_router_without_peers() -> None:
    async def scenario() -> None:
        with endpoint() as taken:
            address = format_address(taken.getsockname())
            peers = Peers(address, [], address, lambda content: None)
            await peers.start()
            assert peers.transport is None
            peers.tell(b"nobody hears this")
            peers.error_received(ConnectionRefusedError())
            peers.close()

    run(scenario)


def test_the_host_hands_messages_to_the_module_and_back() -> None:
    async def scenario() -> None:
        async with RouterHarness() as router:
            told = Demand()
            told.add(5)
            router.host.peer_heard(told.next_message([], now=router.host.clock.now()))
            router.host.peer_heard(b"garbled")
            assert router.host.router.demand.history.counts == {5: 1}
            sent: list[bytes] = []
            router.host.tell = sent.append
            router.host._carry_out(api.Tell(b"content"))
            assert sent == [b"content"]
            assert not SETTINGS.peers  # and by itself it tells nothing here

    run(scenario)
