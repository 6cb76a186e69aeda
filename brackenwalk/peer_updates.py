"""Decides when a router sends a message to its peers, and which counts and unhealthy servers are in it.

Every message reaches all peers. So that the bytes that a router receives are bounded in a fleet of any size,
the routers of a large fleet send only a share of their counts.
"""

from __future__ import annotations

import random

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.peer_message import MAX_SERVERS, message_size
from brackenwalk.state import Server

INTERVAL_FACTOR = 0.25  # of the shortest aim, between two messages: peers know a hot key well within that aim
MAX_SENDERS = 40  # routers that send all of their counts; in a larger fleet each sends a share of them
# of key counts that each router receives: the 12 KB/s that it has for all control traffic (docs/CAPACITY.md),
# less the server lists and reports of unhealthy servers
MAX_BYTES_PER_S = 10_000
UDP_OVERHEAD_BYTES = 28  # IP and UDP headers of a message
MAX_AGE_FACTOR = 2.0  # of the shortest aim, after which a message is out of date


class PeerUpdates:
    """The messages of one router to its peers, and their schedule; times are in seconds."""

    def __init__(self, settings: api.Settings, rng: random.Random, now: float) -> None:
        self.settings, self.random = settings, rng
        self.sent_share = min(1.0, MAX_SENDERS / settings.siblings)  # of own requests whose counts are sent
        self.interval = INTERVAL_FACTOR * settings.shortest_aim
        self.demand = Demand(self.sent_share, MAX_AGE_FACTOR * settings.shortest_aim)
        self.unhealthy: dict[Server, None] = {}  # not reported to peers yet, in the order found
        self.next_at = now

    def add_unhealthy(self, server: Server) -> None:
        """Have an unhealthy server reported in the next message."""
        self.unhealthy[server] = None

    def remove_unhealthy(self, server: Server) -> None:
        """Have a server reported no more, because it has left the list or a peer has just reported it."""
        self.unhealthy.pop(server, None)

    def due(self, now: float) -> bool:
        """Return whether a message is due, and if so schedule the next one."""
        if now < self.next_at:
            return False
        self.next_at = now + self.interval * self.random.uniform(0.5, 1.5)  # jitter keeps routers out of step
        return True

    def next_message(self, now: float) -> bytes:
        """Return the next message of 0 to 256 bytes: unhealthy servers, and counts as the bound permits."""
        keys = len(self.demand.unsent) + len(self.demand.deferred)
        size = UDP_OVERHEAD_BYTES + message_size(keys, len(self.unhealthy))
        bound = MAX_BYTES_PER_S * self.interval / (self.settings.siblings * size)
        send_probability = min(self.sent_share, bound)
        with_keys = self.settings.peer_messages and self.random.random() < send_probability
        # servers beyond MAX_SERVERS are reported in the next message
        reported = list(self.unhealthy)[: MAX_SERVERS if self.settings.peer_messages else 0]
        for server in reported:
            del self.unhealthy[server]
        return self.demand.next_message([s.name_hash for s in reported], with_keys, now)
