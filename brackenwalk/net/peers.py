"""Datagrams between routers."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

from brackenwalk.net.pool import parse_address

PEER_BUFFER_BYTES = 1024  # bytes of a receive buffer that a datagram takes, with what the system adds
MAX_DATAGRAM_BYTES = 256  # a longer one is never sent, and no router sends one
log = logging.getLogger(__name__)


class PeerSocket(asyncio.DatagramProtocol):
    """The socket at which peers are heard, and from which all of them are told."""

    def __init__(self, listen: str, peers: list[str], everyone: str, heard: Callable[[bytes], None]) -> None:
        self.listen = parse_address(listen)
        self.peers = {parse_address(p) for p in peers} - {self.listen}
        self.everyone = parse_address(everyone)
        self.heard = heard
        self.transport: asyncio.DatagramTransport | None = None
        self.unknown = 0  # datagrams of no peer's address, or of a size that none sends

    async def start(self) -> None:
        """Open the socket; without it the router serves all the same."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        except OSError as e:
            log.error("no messages between routers: %s", e)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # the loop's own is none by its type
        self.transport = cast(asyncio.DatagramTransport, transport)
        # guards against losing what all peers tell at once: the system's default holds two hundred or so
        with suppress(OSError):
            ours = self.transport.get_extra_info("socket")
            need = max(
                ours.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF), PEER_BUFFER_BYTES * len(self.peers)
            )
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, need)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if addr[:2] in self.peers and len(data) <= MAX_DATAGRAM_BYTES:
            self.heard(data)
        else:
            self.unknown += 1

    def error_received(self, exc: Exception) -> None:
        """A peer that is gone may say so; datagrams get lost anyway."""

    def broadcast(self, content: bytes) -> None:
        """Send to every peer."""
        if self.transport is not None and 0 < len(content) <= MAX_DATAGRAM_BYTES:
            self.transport.sendto(content, self.everyone)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
