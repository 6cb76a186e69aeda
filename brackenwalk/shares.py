"""The share of requests for each server: less if unhealthy, little while cold, and portions of hot keys."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.state import Server, Zone

EPSILON = 0.25  # a server's load may exceed the average by this share before a walk passes it
CACHE_TARGET_SHARE = 0.25  # of the aim: a higher mean latency means too many requests in flight
HEALTH_FACTOR = 0.5  # per cut: one that can take a tenth of its usual load gets that after four cuts
HEALTH_RECOVERY_PER_S = 0.1  # of its virtual nodes: slow enough for an overloaded server to empty its queue
POLL_SHARE = 0.5  # of the time by which every router must have polled: leaves time for a second call


class TrafficShares:
    """What each server is to get of all requests, and the plan for hot keys; the router sets `now`."""

    def __init__(self, settings: api.Settings, demand: Demand, now: float) -> None:
        self.settings, self.demand, self.now = settings, demand, now
        self.shortest_aim = settings.shortest_aim
        self.caches: list[Server] = []  # those that are ready
        self.total_weight = 0.0
        self.weight_shares: dict[Server, float] = {}  # of the total weight, computed by the next plan
        self.reduced: dict[Server, None] = {}  # may be cold or unhealthy; all others are neither
        self.zones: dict[str, Zone] = {}
        self.hot_shares: dict[int, dict[Server, float]] = {}  # of all requests, by key and server
        self.mean_health, self.mean_kept = 1.0, 1.0
        self.cold_factor = 1.0  # on the warm-up share of cold servers, so that warm ones are no busier
        self.success_share = 1.0  # of attempts at caches, smoothed

    def update_servers(self, caches: list[Server]) -> None:
        """Take the cache servers that are ready, whenever the server list changes."""
        self.caches, self.weight_shares = caches, {}
        names = dict.fromkeys(s.entry.zone for s in caches)
        self.zones = {name: self.zones.get(name) or Zone() for name in names}
        self.reduced = dict.fromkeys(s for s in caches if self._is_warming_up(s) or self.health(s) < 1)

    def zone_recovered(self, zone: Zone) -> None:
        """Note that a silent zone answers again: its servers may have restarted, and count as cold."""
        zone.outage_start, zone.outage_end = zone.last_answer_at, self.now
        self.reduced |= dict.fromkeys(s for s in self.caches if self.zones.get(s.entry.zone) is zone)

    def cut_health(self, server: Server) -> bool:
        """Cut an unhealthy server's share at all routers: one alone sends it too little to relieve it.

        Returns False, and changes nothing, for an origin and right after an earlier cut.
        """
        if not server.is_cache or self.now - server.health_cut_at <= CACHE_TARGET_SHARE * self.shortest_aim:
            return False
        server.health, server.health_cut_at = HEALTH_FACTOR * self.health(server), self.now
        self.reduced[server] = None
        return True

    def health(self, server: Server) -> float:
        """The share of its virtual nodes that a server has kept or regained since its latest cut."""
        return min(1.0, server.health + HEALTH_RECOVERY_PER_S * (self.now - server.health_cut_at))

    def kept(self, server: Server) -> float:
        """The share of its virtual nodes in use: its health over the mean health, and never above 1."""
        if server not in self.reduced:
            return 1.0
        return min(1.0, self.health(server) / self.mean_health)

    def started_at(self, server: Server) -> float:
        """When a server started, as far as is known; 0 is long ago.

        After an outage of its zone it may have restarted, which the server list only shows later.
        """
        zone = self.zones.get(server.entry.zone)
        out = zone is not None and server.entry.started_at < zone.outage_start
        if zone is not None and out and self.now - zone.outage_end < POLL_SHARE * self.settings.max_list_age:
            return zone.outage_end
        return server.entry.started_at

    def is_cold(self, server: Server) -> bool:
        """Whether a server is still warming up."""
        return server in self.reduced and self._is_warming_up(server)

    def _is_warming_up(self, server: Server) -> bool:
        started = self.started_at(server)
        return started > 0 and self.now - started < self.settings.ramp

    def warm_up_share(self, server: Server) -> float:
        """The share of its usual load that a server can take at the least, by the configured warm-up."""
        if not self.is_cold(server):
            return 1.0
        age = max(0.0, self.now - self.started_at(server))
        return self.settings.cold_share + (1 - self.settings.cold_share) * age / self.settings.ramp

    def accepted_share(self, server: Server) -> float:
        """The share of its usual load that a server gets: its warm-up share, cut as attempts fail."""
        if not self.is_cold(server):
            return 1.0
        # guards against client retries, which multiply requests just when servers can take the least
        return min(1.0, self.cold_factor * self.mean_kept * self.success_share * self.warm_up_share(server))

    def key_share(self, key: int, server: Server) -> float:
        """The share of a key's requests that a server may take; no key fills more than its fair share."""
        if not self.is_cold(server):
            return 1.0
        fair = server.ring_weight / self.total_weight
        return self.accepted_share(server) * min(1.0, fair / self.demand.share(key))

    def fair(self) -> dict[Server, float]:
        """Shares of all requests: cold servers get what they accept, the others divide up the rest."""
        fair = dict(self.weight_shares)
        if not self.reduced:
            return fair
        for s in self.reduced:
            fair[s] *= self.accepted_share(s) * self.kept(s)
        cold = {s: fair[s] for s in self.reduced if self.is_cold(s)}
        warm = sum(fair.values()) - sum(cold.values())
        rest = (1 - sum(cold.values())) / warm if len(cold) < len(fair) else 0.0
        return {s: f * rest for s, f in fair.items()} | cold

    def _weighted_mean(self, share: Callable[[Server], float]) -> float:
        """The mean over all servers by weight, of a share that is 1 for servers not in `reduced`."""
        return 1 - sum(self.weight_shares[s] * (1 - share(s)) for s in self.reduced)

    def plan(self, clockwise: Callable[[int], Iterator[Server]], owner_at: Callable[[int], Server]) -> None:
        """Update `reduced` and the means, and distribute the hot keys among all servers."""
        if not self.weight_shares:
            self.weight_shares = {s: s.ring_weight / self.total_weight for s in self.caches}
        # a draining server gets no new requests, but those in flight may still show it as unhealthy
        known = (s for s in self.reduced if s in self.weight_shares)
        self.reduced = dict.fromkeys(s for s in known if self.is_cold(s) or self.health(s) < 1)
        self.mean_health = self._weighted_mean(self.health)
        self.mean_kept = self._weighted_mean(self.kept)  # or cold servers would get more as others keep less
        mean_warm_up = self._weighted_mean(self.warm_up_share)
        self.cold_factor = min(
            self.settings.overload_factor / 2, 1 / mean_warm_up if mean_warm_up > 0 else math.inf
        )

        def sole_server(position: int) -> Server | None:
            return None if (server := owner_at(position)) in self.reduced else server

        self.hot_shares = self.demand.split_hot_keys(
            self.fair(), 1 + EPSILON, clockwise, self.key_share, sole_server
        )
