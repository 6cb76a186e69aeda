"""The share of all requests that each server gets, and how hot keys are split among servers.

An unhealthy server gets less than its fair share, and a cold one, whose cache is still empty, little.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.state import Server, Zone

EPSILON = 0.25  # a server's load may exceed the average by this share before a walk passes it
CACHE_TARGET_SHARE = 0.25  # of the aim: a higher mean latency means that too many requests are in flight
HEALTH_FACTOR = 0.5  # per cut: a server that can take a tenth of its usual load gets that after four cuts
HEALTH_RECOVERY_PER_S = 0.1  # of its virtual nodes: slow enough for an overloaded server to empty its queue
# of the time limits that depend on discovery (max_list_age, drain_grace, the longest round): a call that
# fails within it leaves time for another one
POLL_SHARE = 0.5


class TrafficShares:
    """The shares of all servers at one router, and its plan for hot keys; the router sets `now`."""

    def __init__(self, settings: api.Settings, demand: Demand, now: float) -> None:
        self.settings, self.demand, self.now = settings, demand, now
        self.shortest_aim = settings.shortest_aim
        self.caches: list[Server] = []  # cache servers that are ready
        self.total_weight = 0.0  # of `caches`, on the ring
        self.weight_shares: dict[Server, float] = {}  # of the total weight; empty until the next plan
        self.reduced: dict[Server, None] = {}  # servers that may be cold or unhealthy; all others are neither
        self.zones: dict[str, Zone] = {}
        self.hot_shares: dict[int, dict[Server, float]] = {}  # of all requests, by key and server
        self.mean_health, self.mean_kept = 1.0, 1.0
        # on the warm-up shares of cold servers: at least 1, so that warm servers are no busier than cold ones
        self.cold_factor = 1.0
        self.success_share = 1.0  # of attempts at cache servers, smoothed

    def update_servers(self, caches: list[Server]) -> None:
        """Set the cache servers that are ready; called whenever the server list changes."""
        self.caches, self.weight_shares = caches, {}
        names = dict.fromkeys(s.entry.zone for s in caches)
        self.zones = {name: self.zones.get(name) or Zone() for name in names}
        self.reduced = dict.fromkeys(s for s in caches if self._is_warming_up(s) or self.health(s) < 1)

    def zone_recovered(self, zone: Zone) -> None:
        """Treat the servers of a zone that answers again as cold for a while, as they may have restarted."""
        zone.outage_start, zone.outage_end = zone.last_answer_at, self.now
        self.reduced |= dict.fromkeys(s for s in self.caches if self.zones.get(s.entry.zone) is zone)

    def cut_health(self, server: Server) -> bool:
        """Cut an unhealthy server's share, as all routers do once it is reported: one alone can't relieve it.

        Return False, and change nothing, for an origin and right after an earlier cut.
        """
        if not server.is_cache or self.now - server.health_cut_at <= CACHE_TARGET_SHARE * self.shortest_aim:
            return False
        server.health, server.health_cut_at = HEALTH_FACTOR * self.health(server), self.now
        self.reduced[server] = None
        return True

    def health(self, server: Server) -> float:
        """Return the share of its virtual nodes that a server has kept or regained since its latest cut."""
        return min(1.0, server.health + HEALTH_RECOVERY_PER_S * (self.now - server.health_cut_at))

    def kept(self, server: Server) -> float:
        """Return the share of a server's virtual nodes in use: its health over the mean health, at most 1."""
        if server not in self.reduced:
            return 1.0
        return min(1.0, self.health(server) / self.mean_health)

    def started_at(self, server: Server) -> float:
        """Return when a server started, as far as the router knows; 0 is long ago.

        For some time after an outage of its zone this is the end of the outage: the server may have
        restarted, which the server list shows only later.
        """
        zone = self.zones.get(server.entry.zone)
        may_have_restarted = zone is not None and server.entry.started_at < zone.outage_start
        if (
            zone is not None
            and may_have_restarted
            and self.now - zone.outage_end < POLL_SHARE * self.settings.max_list_age
        ):
            return zone.outage_end
        return server.entry.started_at

    def is_cold(self, server: Server) -> bool:
        """Whether a server is still warming up."""
        return server in self.reduced and self._is_warming_up(server)

    def _is_warming_up(self, server: Server) -> bool:
        started = self.started_at(server)
        return started > 0 and self.now - started < self.settings.ramp

    def warm_up_share(self, server: Server) -> float:
        """Return the share of its usual load that a server can take at least, by the configured warm-up."""
        if not self.is_cold(server):
            return 1.0
        age = max(0.0, self.now - self.started_at(server))
        return self.settings.cold_share + (1 - self.settings.cold_share) * age / self.settings.ramp

    def accepted_share(self, server: Server) -> float:
        """Return the share of its usual load that a server gets: its warm-up share, less as attempts fail."""
        if not self.is_cold(server):
            return 1.0
        # Without the success share, the retries of clients would multiply the load of cold servers just when
        # servers can take the least.
        return min(1.0, self.cold_factor * self.mean_kept * self.success_share * self.warm_up_share(server))

    def key_share(self, key: int, server: Server) -> float:
        """Return the share of a key's requests that a server may take.

        One key never takes more than a cold server's fair share of all requests.
        """
        if not self.is_cold(server):
            return 1.0
        fair_share = server.ring_weight / self.total_weight
        return self.accepted_share(server) * min(1.0, fair_share / self.demand.share(key))

    def fair_shares(self) -> dict[Server, float]:
        """Return each server's share of all requests: cold ones get what they accept, the others the rest."""
        fair_shares = dict(self.weight_shares)
        if not self.reduced:
            return fair_shares
        for s in self.reduced:
            fair_shares[s] *= self.accepted_share(s) * self.kept(s)
        cold = {s: fair_shares[s] for s in self.reduced if self.is_cold(s)}
        warm_total = sum(fair_shares.values()) - sum(cold.values())
        warm_factor = (1 - sum(cold.values())) / warm_total if len(cold) < len(fair_shares) else 0.0
        return {s: f * warm_factor for s, f in fair_shares.items()} | cold

    def _weighted_mean(self, share: Callable[[Server], float]) -> float:
        """Return the mean by weight, over all servers, of a share that is 1 for those not in `reduced`."""
        return 1 - sum(self.weight_shares[s] * (1 - share(s)) for s in self.reduced)

    def plan(self, clockwise: Callable[[int], Iterator[Server]], owner_at: Callable[[int], Server]) -> None:
        """Update `reduced` and the means, and split the hot keys among all servers.

        `clockwise` yields the servers from a ring position on, and `owner_at` returns the first of them.
        """
        if not self.weight_shares:
            self.weight_shares = {s: s.ring_weight / self.total_weight for s in self.caches}
        # A draining server gets no new requests, but those in flight may still find it unhealthy.
        known = (s for s in self.reduced if s in self.weight_shares)
        self.reduced = dict.fromkeys(s for s in known if self.is_cold(s) or self.health(s) < 1)
        self.mean_health = self._weighted_mean(self.health)
        # without this factor cold servers would get more as others keep less
        self.mean_kept = self._weighted_mean(self.kept)
        mean_warm_up = self._weighted_mean(self.warm_up_share)
        self.cold_factor = min(
            self.settings.overload_factor / 2, 1 / mean_warm_up if mean_warm_up > 0 else math.inf
        )

        def sole_server(position: int) -> Server | None:
            return None if (server := owner_at(position)) in self.reduced else server

        self.hot_shares = self.demand.split_hot_keys(
            self.fair_shares(), 1 + EPSILON, clockwise, self.key_share, sole_server
        )
