"""What a router tells its peers: which keys it was asked for, and which servers it finds ailing.

Each message is heard by all, so what all of them tell has a bound of its own, whatever the size of the fleet.
"""

from __future__ import annotations

import random

from brackenwalk import interface as api
from brackenwalk.demand import MAX_SERVERS, Demand
from brackenwalk.state import Server

INTERVAL_FACTOR = 0.25  # shortest aims between two messages to the peers: a hot key is known well within one
MAX_SENDERS = (
    40  # routers whose requests tell what is hot; of more each tells a part, as each is heard by all
)
# bytes a second that each router hears of keys: of the 12 KB it has for control (docs/CAPACITY.md), less what
# lists and ailing servers need
MAX_BYTES_PER_S = 10_000
UDP_OVERHEAD_BYTES = 28  # bytes of the IP and UDP headers round a message
MAX_AGE_FACTOR = 2.0  # shortest aims after which a message tells of what is over


class Gossip:
    """The news that one router has for its peers, and when it is told."""

    def __init__(self, settings: api.Settings, chance: random.Random, now: float) -> None:
        self.settings, self.random = settings, chance
        self.told = min(1.0, MAX_SENDERS / settings.siblings)  # part of own requests that peers are told of
        self.pause = INTERVAL_FACTOR * settings.shortest_aim
        self.demand = Demand(self.told, MAX_AGE_FACTOR * settings.shortest_aim)
        self.unhealthy: dict[Server, None] = {}  # and peers not told yet
        self.next_at = now

    def add_unhealthy(self, server: Server) -> None:
        """A server ails, and no peer has told of it just now."""
        self.unhealthy[server] = None

    def receive(self, content: bytes, now: float) -> set[int]:
        """Take a peer's message; answers with the names of the servers that it finds ailing."""
        return self.demand.receive(content, now)

    def remove_unhealthy(self, server: Server) -> None:
        """A server has left the list, or a peer has told of it."""
        self.unhealthy.pop(server, None)

    def due(self, now: float) -> bool:
        """Whether it is time for a message on keys; the next is due a while later."""
        if now < self.next_at:
            return False
        self.next_at = now + self.pause * self.random.uniform(0.5, 1.5)  # none in step
        return True

    def next_message(self, now: float) -> bytes:
        """A message of at most 256 bytes, empty for none: what ails, and of keys what all may hear."""
        size = UDP_OVERHEAD_BYTES + self.demand.message_size(len(self.unhealthy))
        part = min(self.told, MAX_BYTES_PER_S * self.pause / (self.settings.siblings * size))
        wanted = self.settings.peers and self.random.random() < part
        told = list(self.unhealthy)[: MAX_SERVERS if self.settings.peers else 0]  # the rest is for the next
        for server in told:
            del self.unhealthy[server]
        return self.demand.next_message([s.name for s in told], wanted, now)
