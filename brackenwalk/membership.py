"""What a server list does to the servers and the ring: who leaves does so at once, who joins in steps.

Virtual nodes of servers that join, or whose weight has changed, are placed in steps, as a list of thousands
takes long, and those of one list come into use together. Until then the router decides as if this part of
the list had not come yet, so that shares and ring agree at any time.
"""

from __future__ import annotations

import math

from brackenwalk import interface as api
from brackenwalk.peer_updates import PeerUpdates
from brackenwalk.ring import ring_hash
from brackenwalk.shares import TrafficShares
from brackenwalk.state import Server

MAX_KINDS = 1024  # of servers whose largest weight is remembered after they have left the list
VNODES = 128  # of a server of unit weight; its share of the keys is then right within about 10 %
STEP_NODES = 2048  # virtual nodes that a step works on


class Membership:
    """The listed servers and the ring of those cache servers that are ready."""

    def __init__(self, settings: api.Settings, shares: TrafficShares, peer_updates: PeerUpdates) -> None:
        self.settings, self.shares, self.peer_updates = settings, shares, peer_updates
        self.ring, self.servers = shares.ring, shares.servers
        self.servers_by_hash: dict[int, Server] = {}  # by the hash that stands for the name in peer messages
        self.origins: list[Server] = []  # that are ready
        self.listed_caches: dict[Server, None] = {}  # that are ready, on the ring or not yet
        self.largest_weights: dict[str, float] = {}  # the largest listed weight seen of each kind of server
        self.largest_weight = self.unit = 1.0
        self.mean_reported = 0.0  # load, of all cache servers

    def apply(self, server_list: api.ServerList) -> None:
        """Take a list or changes, as far as that is possible at once; the rest is left to `step`."""
        changed: dict[Server, None] = {}
        if server_list.kind is not api.ListKind.DELTA:
            listed = {e.server for e in server_list.entries}
            for name in [n for n in self.servers if n not in listed]:
                self._remove(name, changed)
        for entry in server_list.entries:
            known = self.servers.get(entry.server)
            if entry.state is api.ServerState.GONE:
                self._remove(entry.server, changed)
            elif known is None or entry.started_at > known.entry.started_at:  # a new process: measure anew
                self._remove(entry.server, changed)
                changed[self._add(entry)] = None
            elif known.entry != entry:
                known.entry = entry
                changed[known] = None
        if any(not s.is_cache for s in changed):
            self.origins = [s for s in self.servers.values() if not s.is_cache and s.entry.ready]
        self._place(changed)
        self._update_shares(changed)

    def step(self) -> bool:
        """Work on a part of what is left of the lists, and return whether servers have come into use."""
        joined = self.ring.step(STEP_NODES)
        if joined:
            self._update_shares(dict.fromkeys(map(self.servers.__getitem__, joined)))
        return bool(joined)

    def _add(self, entry: api.ServerEntry) -> Server:
        origin = self.settings.aside and entry.kind == self.settings.origin_kind
        name_hash = ring_hash(entry.server)[0] >> 32
        server = Server(entry, not origin, name_hash)
        self.servers[entry.server] = self.servers_by_hash[name_hash] = server
        return server

    def _remove(self, name: str, changed: dict[Server, None]) -> None:
        server = self.servers.pop(name, None)
        if server is not None:
            self.servers_by_hash.pop(server.name_hash, None)
            self.peer_updates.remove_unhealthy(server)
            changed[server] = None

    def _place(self, changed: dict[Server, None]) -> None:
        """Bring the ring in line with the changed servers, and add to them all others that this affects.

        A server's nodes follow from its own weight and the unit: others that join or leave move none of them.
        """
        for server in changed:
            name = server.entry.server
            if server.is_cache and server.entry.ready and self.servers.get(name) is server:
                self.listed_caches[server] = None
                continue
            self.listed_caches.pop(server, None)
            if self.servers.get(name, server) is server:  # a new process takes over the nodes
                self.ring.remove(name)
        self._update_weights(changed)
        largest = max((s.listed_weight for s in self.listed_caches), default=0.0) or 1.0
        unit = 2.0 ** math.ceil(math.log2(largest))  # a power of two, which rarely changes with the fleet
        if self.settings.live_weights or (largest, unit) != (self.largest_weight, self.unit):
            changed |= self.listed_caches  # a server without a weight gets the largest one
        self.largest_weight, self.unit = largest, unit
        weights = {s.entry.server: s.listed_weight or largest for s in changed if s in self.listed_caches}
        self.ring.place({name: math.ceil(VNODES * weight / unit) for name, weight in weights.items()})

    def _update_weights(self, changed: dict[Server, None]) -> None:
        """Update the listed weights, without the fall by load that live weights have."""
        if not self.settings.live_weights:
            for server in changed:
                server.listed_weight = server.entry.weight
            return
        for server in self.listed_caches:
            # Live weights fall with load and arrive late: on the ring they moved keys with every list.
            kind, weight = server.entry.kind, server.entry.weight
            server.listed_weight = max(self.largest_weights.get(kind, 0.0), weight)
            self.largest_weights[kind] = server.listed_weight
            server.reported_load = server.listed_weight / weight - 1 if weight else 0.0
        if len(self.largest_weights) > MAX_KINDS:
            listed = {s.entry.kind for s in self.listed_caches}
            self.largest_weights = {k: w for k, w in self.largest_weights.items() if k in listed}

    def _update_shares(self, changed: dict[Server, None]) -> None:
        """Have the shares follow the ring: of the changed servers, those on it are in use."""
        ring = self.ring
        in_use = [s for s in changed if s in self.listed_caches and s.entry.server in ring.slots]
        for server in in_use:
            name = server.entry.server
            if ring.counts[ring.slots[name]] == ring.planned[name]:  # else its nodes still follow the old one
                server.ring_weight = server.listed_weight or self.largest_weight
        self.shares.update_servers(in_use, changed.keys() - in_use)
        if self.settings.live_weights:
            caches = self.shares.caches
            self.mean_reported = sum(s.reported_load for s in caches) / max(1, len(caches))
