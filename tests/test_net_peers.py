"""The peer socket, over loopback."""

from __future__ import annotations

import asyncio
import socket

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.net.peers import PeerSocket
from tests.loopback import SETTINGS, RouterHarness, format_address, run


def udp_socket() -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind(("127.0.0.1", 0))
    opened.setblocking(False)
    return opened


def test_broadcasts_are_sent_and_only_peers_are_received() -> None:
    async def scenario() -> None:
        received: asyncio.Queue[bytes] = asyncio.Queue()
        with udp_socket() as peer, udp_socket() as stranger:
            peers_all = format_address(peer.getsockname())
            peers = PeerSocket("127.0.0.1:0", [peers_all], peers_all, received.put_nowait)
            await peers.start()
            assert peers.transport is not None
            address = peers.transport.get_extra_info("sockname")
            loop = asyncio.get_running_loop()
            peers.broadcast(b"told")
            assert await loop.sock_recv(peer, 512) == b"told"
            peers.broadcast(b"")  # neither this nor the next may be sent
            peers.broadcast(b"x" * 257)
            peers.broadcast(b"next")
            assert await loop.sock_recv(peer, 512) == b"next"
            stranger.sendto(b"not of the tier", address)
            peer.sendto(b"x" * 300, address)
            peer.sendto(b"heard", address)
            assert await received.get() == b"heard" and received.empty()
            peers.close()

    run(scenario)


def test_socket_that_does_not_open_leaves_the_router_without_peers() -> None:
    async def scenario() -> None:
        with udp_socket() as taken:
            address = format_address(taken.getsockname())
            peers = PeerSocket(address, [], address, lambda content: None)
            await peers.start()
            assert peers.transport is None
            peers.broadcast(b"nobody hears this")
            peers.error_received(ConnectionRefusedError())
            peers.close()

    run(scenario)


def test_host_passes_messages_to_and_from_the_module() -> None:
    async def scenario() -> None:
        async with RouterHarness() as router:
            sender = Demand()
            sender.add(5)
            router.host.on_peer_message(sender.next_message([], now=router.host.clock.now()))
            router.host.on_peer_message(b"garbled")
            assert router.host.router.demand.history.counts == {5: 1}
            sent: list[bytes] = []
            router.host.broadcast = sent.append
            router.host._execute(api.Broadcast(b"content"))
            assert sent == [b"content"]
            assert not SETTINGS.may_gossip  # so the router itself broadcasts nothing here

    run(scenario)
