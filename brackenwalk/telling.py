"""What a router tells its peers: which keys it was asked for, and which servers it finds ailing."""

from __future__ import annotations

import random

from brackenwalk import interface as api
from brackenwalk.demand import NAMES, Demand
from brackenwalk.state import Server

TELL = 0.25  # shortest aims between two messages to the peers: a hot key is known well within one
TELLERS = 40  # routers whose requests tell what is hot; of more each tells a part, as each is heard by all


class Telling:
    """The news that one router has for its peers, and when it is told."""

    def __init__(self, settings: api.Settings, chance: random.Random, now: float) -> None:
        self.settings, self.random = settings, chance
        self.told = min(1.0, TELLERS / settings.siblings)  # part of own requests that peers are told of
        self.demand = Demand(self.told)
        self.ailing: dict[Server, None] = {}  # and peers not told yet
        self.tell_at = now

    def found(self, server: Server) -> None:
        """A server ails, as far as this router can see."""
        self.ailing[server] = None

    def drop(self, server: Server) -> None:
        """A server has left the list."""
        self.ailing.pop(server, None)

    def due(self, now: float) -> bool:
        """Whether it is time for a message; the next is due a while later."""
        if now < self.tell_at:
            return False
        # none in step
        self.tell_at = now + TELL * self.settings.shortest_aim * self.random.uniform(0.5, 1.5)
        return True

    def message(self) -> bytes:
        """A message of at most 256 bytes, empty for none; what finds no place is for the next one."""
        # guards against a price that grows with the square of the routers
        wanted = bool(self.ailing) or self.random.random() < self.told
        message = self.demand.message([s.name for s in self.ailing], self.settings.peers and wanted)
        for server in list(self.ailing)[:NAMES]:
            del self.ailing[server]
        return message
