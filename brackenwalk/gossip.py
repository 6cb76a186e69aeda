"""Decides what a router sends to its peers and when: request counts by key, and unhealthy servers.

Every message reaches all peers, so the bytes that all routers send together are bounded for any fleet size.
"""

from __future__ import annotations

import random

from brackenwalk import interface as api
from brackenwalk.demand import MAX_SERVERS, Demand
from brackenwalk.state import Server

INTERVAL_FACTOR = 0.25  # of the shortest aim, between two messages: a hot key is known well within that aim
MAX_SENDERS = 40  # routers whose counts are sent in full; in a larger fleet each sends a share of its own
# of key counts that each router may receive: the 12 KB/s for all control traffic (docs/CAPACITY.md) less what
# lists and unhealthy servers need
MAX_BYTES_PER_S = 10_000
UDP_OVERHEAD_BYTES = 28  # IP and UDP headers of a datagram
MAX_AGE_FACTOR = 2.0  # of the shortest aim, after which a message describes what is over


class Gossip:
    """The messages of one router to its peers, and their schedule; times are seconds."""

    def __init__(self, settings: api.Settings, rng: random.Random, now: float) -> None:
        self.settings, self.random = settings, rng
        self.sent_share = min(1.0, MAX_SENDERS / settings.siblings)  # of own requests that peers are sent
        self.interval = INTERVAL_FACTOR * settings.shortest_aim
        self.demand = Demand(self.sent_share, MAX_AGE_FACTOR * settings.shortest_aim)
        self.unhealthy: dict[Server, None] = {}  # not reported to peers yet, in the order found
        self.next_at = now

    def add_unhealthy(self, server: Server) -> None:
        """Report a server in the next message, as no peer has just done so."""
        self.unhealthy[server] = None

    def receive(self, content: bytes, now: float) -> set[int]:
        """Take in a peer's message and return the ids of the servers that it reports as unhealthy."""
        return self.demand.receive(content, now)

    def remove_unhealthy(self, server: Server) -> None:
        """Do not report a server that has left the list or that a peer has reported."""
        self.unhealthy.pop(server, None)

    def due(self, now: float) -> bool:
        """Return whether a message is due, and if so schedule the next one."""
        if now < self.next_at:
            return False
        self.next_at = now + self.interval * self.random.uniform(0.5, 1.5)  # jitter keeps routers out of step
        return True

    def next_message(self, now: float) -> bytes:
        """Return the next message, 0 to 256 bytes: unhealthy servers, and key counts as the bound permits."""
        size = UDP_OVERHEAD_BYTES + self.demand.message_size(len(self.unhealthy))
        part = min(self.sent_share, MAX_BYTES_PER_S * self.interval / (self.settings.siblings * size))
        with_keys = self.settings.may_gossip and self.random.random() < part
        sent = list(self.unhealthy)[
            : MAX_SERVERS if self.settings.may_gossip else 0
        ]  # others wait for the next
        for server in sent:
            del self.unhealthy[server]
        return self.demand.next_message([s.name_hash for s in sent], with_keys, now)
