"""The share of all requests that each server gets, and how hot keys are split among servers.

An unhealthy server gets less than its fair share, and a cold one, whose cache is still empty, little.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Generator, Iterable, Iterator

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.ring import Ring
from brackenwalk.state import Server, Zone

EPSILON = 0.25  # a server's load may exceed the average by this share before a walk passes it
CACHE_TARGET_SHARE = 0.25  # of the aim: a higher mean latency means that too many requests are in flight
HEALTH_FACTOR = 0.5  # per cut: a server that can take a tenth of its usual load gets that after four cuts
HEALTH_RECOVERY_PER_S = 0.1  # of its virtual nodes: slow enough for an overloaded server to empty its queue
POLL_SHARE = 0.5  # of time limits that depend on discovery: a call that fails leaves time for another one
MAX_WALK_NODES = 64  # bounds the cost of a request when every server is at its limit


class TrafficShares:
    """The shares of all servers at one router, and its plan for hot keys; the router sets `now`."""

    def __init__(self, settings: api.Settings, demand: Demand, now: float) -> None:
        self.settings, self.demand, self.now = settings, demand, now
        self.shortest_aim = settings.shortest_aim
        self.servers: dict[str, Server] = {}  # all that are listed
        self.ring = Ring()  # of the names of those in `caches`
        self.caches: dict[Server, None] = {}  # cache servers that are ready and on the ring
        self.total_weight = 0.0  # of `caches`, on the ring
        self.weight_shares: dict[Server, float] = {}  # of the total weight; empty until the next plan
        self.reduced: dict[Server, None] = {}  # servers that may be cold or unhealthy; all others are neither
        self.zones: dict[str, Zone] = {}
        self.hot_shares: dict[int, dict[Server, float]] = {}  # of all requests, by key and server
        self.mean_health, self.mean_kept = 1.0, 1.0
        self.cold_factor = (
            1.0  # on warm-up shares: at least 1, or warm servers would be busier than cold ones
        )
        self.success_share = 1.0  # of attempts at cache servers, smoothed

    def update_servers(self, changed: Iterable[Server], removed: Iterable[Server]) -> None:
        """Take cache servers that have come into use or changed, and drop those no longer in use."""
        for server in removed:
            self.caches.pop(server, None)
            self.reduced.pop(server, None)
        for server in changed:
            self.caches[server] = None
        self.zones = {
            name: self.zones.get(name) or Zone() for name in dict.fromkeys(s.entry.zone for s in self.caches)
        }
        self.reduced |= dict.fromkeys(
            s for s in changed if self._warm_up(s) is not None or self.health(s) < 1
        )
        self.weight_shares = {}
        self.total_weight = sum(s.ring_weight for s in self.caches)

    def walk(
        self, position: int, kept: Callable[[Server], float], is_cold: Callable[[Server], bool]
    ) -> Iterator[Server]:
        """Yield each server once, in the order of the walk clockwise from a ring position."""
        seen: set[Server] = set()
        for name, rank in self.ring.clockwise(position, MAX_WALK_NODES):
            server = self.servers[name]
            # All routers skip the same nodes of an unhealthy server. Nothing spills to a cold server.
            if server not in seen and rank <= kept(server) and not (seen and is_cold(server)):
                seen.add(server)
                yield server

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
        zone, started = self.zones.get(server.entry.zone), server.entry.started_at
        time_in_doubt = POLL_SHARE * self.settings.max_list_age
        if zone is not None and started < zone.outage_start and self.now - zone.outage_end < time_in_doubt:
            return zone.outage_end
        return started

    def is_cold(self, server: Server) -> bool:
        """Whether a server is still warming up."""
        return server in self.reduced and self._warm_up(server) is not None

    def _warm_up(self, server: Server) -> float | None:
        """Return the share of its usual load that a cold server can take at least, None for others."""
        started, settings = self.started_at(server), self.settings
        age = self.now - started
        if started <= 0 or age >= settings.ramp:
            return None
        return settings.cold_share + (1 - settings.cold_share) * max(0.0, age) / settings.ramp

    def accepted_share(self, server: Server) -> float:
        """Return the share of its usual load that a server gets: its warm-up share, less as attempts fail."""
        warm_up = self._warm_up(server) if server in self.reduced else None
        return 1.0 if warm_up is None else self._accepted(warm_up)

    def _accepted(self, warm_up: float) -> float:
        # Without the success share, the retries of clients would multiply the load of cold servers just when
        # servers can take the least.
        return min(1.0, self.cold_factor * self.mean_kept * self.success_share * warm_up)

    def key_share(self, key: int, server: Server, accepted: float | None) -> float:
        """Return the share of a key's requests that a server may take; `accepted` is None if it is warm."""
        if accepted is None:
            return 1.0
        fair_share = server.ring_weight / self.total_weight  # one key never takes more than that
        return accepted * min(1.0, fair_share / self.demand.share(key))

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

    def _weighted_mean(self, reduced_shares: dict[Server, float]) -> float:
        """Return the mean by weight of a share that is 1 for the servers that are not named."""
        return 1 - sum(self.weight_shares[s] * (1 - share) for s, share in reduced_shares.items())

    def plan(self) -> Generator[int, None, None]:
        """Update `reduced` and the means at once, then split the hot keys among all servers in steps.

        Yields the cost of each step. To be given up when the servers change.
        """
        if not self.weight_shares:
            self.weight_shares = {s: s.ring_weight / self.total_weight for s in self.caches}
        # A draining server gets no new requests, but those in flight may still find it unhealthy.
        known = [s for s in self.reduced if s in self.weight_shares]
        warm_up = {s: share for s in known if (share := self._warm_up(s)) is not None}
        health = {s: share for s in known if (share := self.health(s)) < 1}
        self.reduced = dict.fromkeys(s for s in known if s in warm_up or s in health)
        self.mean_health = self._weighted_mean(health)
        kept = {s: min(1.0, share / self.mean_health) for s, share in health.items()}
        # without this factor cold servers would get more as others keep less
        self.mean_kept = self._weighted_mean(kept)
        mean_warm_up = self._weighted_mean(warm_up)
        max_factor = 1 / mean_warm_up if mean_warm_up > 0 else math.inf
        self.cold_factor = min(self.settings.overload_factor / 2, max_factor)
        accepted = {s: self._accepted(share) for s, share in warm_up.items()}
        self.hot_shares = yield from self.demand.split_hot_keys(
            self.fair_shares(),
            1 + EPSILON,
            lambda position: self.walk(position, lambda s: kept.get(s, 1.0), accepted.__contains__),
            lambda key, server: self.key_share(key, server, accepted.get(server)),
            self._sole_server,
        )

    def _sole_server(self, position: int) -> Server | None:
        """Return the server that takes all requests of a key that is not hot, None if a walk has to tell."""
        server = self.servers[self.ring.owner_at(position)]
        return None if server in self.reduced else server
