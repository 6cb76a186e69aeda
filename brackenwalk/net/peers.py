"""Datagrams between routers (UDP)."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

from brackenwalk.net.pool import parse_address

PEER_BUFFER_BYTES = 1024  # receive buffer for each peer: one datagram with the kernel's overhead
MAX_DATAGRAM_BYTES = 256  # limit for sending; no router sends more, so longer ones are rejected
log = logging.getLogger(__name__)


class PeerSocket(asyncio.DatagramProtocol):
    """The socket that receives the datagrams of peers and sends datagrams to all of them."""

    def __init__(
        self, listen: str, peers: list[str], peers_all: str, on_message: Callable[[bytes], None]
    ) -> None:
        self.listen = parse_address(listen)
        self.peers = {parse_address(p) for p in peers} - {self.listen}
        self.peers_all = parse_address(peers_all)  # a datagram sent to it reaches all peers
        self.on_message = on_message
        self.transport: asyncio.DatagramTransport | None = None
        self.rejected = 0  # datagrams not from a peer's address, or too long

    async def start(self) -> None:
        """Open the socket. If that fails, log it and let the router serve without its peers."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        except OSError as e:
            log.error("peer socket did not open, exchanging no messages with other routers: %s", e)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enlarge the receive buffer to hold one datagram of each peer."""
        # A cast, as asyncio's datagram transport is no subclass of DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)
        # The default buffer holds some 200 datagrams; more that come at once would be lost.
        with suppress(OSError):
            peer_socket = self.transport.get_extra_info("socket")
            need = max(
                peer_socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF),
                PEER_BUFFER_BYTES * len(self.peers),
            )
            peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, need)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass on datagrams of peers and count all others."""
        if addr[:2] in self.peers and len(data) <= MAX_DATAGRAM_BYTES:
            self.on_message(data)
        else:
            self.rejected += 1

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors of peers that are down, as datagrams may be lost anyway."""

    def broadcast(self, content: bytes) -> None:
        """Send to all peers; ignore an empty or too long datagram, and any while the socket is not open."""
        if self.transport is not None and 0 < len(content) <= MAX_DATAGRAM_BYTES:
            self.transport.sendto(content, self.peers_all)

    def close(self) -> None:
        """Close the socket if it is open."""
        if self.transport is not None:
            self.transport.close()
