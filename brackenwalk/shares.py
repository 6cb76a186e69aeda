"""What each server takes: less while it ails, little while it is cold, and its part of hot keys."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.state import Server, Zone

EPSILON = 0.25  # a server may stand this far above the average load before the walk passes it
CACHE_TARGET_SHARE = 0.25  # of the aim: answers slower than this on average mean that too many are out
# of its points that a server keeps when found ailing: one that does a tenth is there in four rounds
HEALTH_FACTOR = 0.5
HEALTH_RECOVERY_PER_S = (
    0.1  # of its points that come back each second: time for the queue of a crowd to be worked off
)
LIST_AGE_SHARE = 0.5  # of the time by which all must have asked: a call that fails leaves time for another


class TrafficShares:
    """The parts that servers keep of their points, and the plan for hot keys. `now` is the event's."""

    def __init__(self, settings: api.Settings, demand: Demand, now: float) -> None:
        self.settings, self.demand, self.now = settings, demand, now
        self.shortest_aim = settings.shortest_aim
        self.caches: list[Server] = []  # that may be sent to
        self.total_weight = 0.0
        self.weight_shares: dict[Server, float] = {}  # each server's part of all sizes, once it is asked for
        self.reduced: dict[Server, None] = {}  # that may be cold or eased; of all others that is known
        self.zones: dict[str, Zone] = {}
        self.hot_key_shares: dict[
            int, dict[Server, float]
        ] = {}  # of a hot key's share, at the servers it takes
        self.mean_health, self.mean_kept = 1.0, 1.0
        self.cold_factor = (
            1.0  # times what is stated that cold servers take, so that the warm are as busy as they
        )
        self.success_share = 1.0  # smoothed share of attempts at caches that were answered well

    def update_servers(self, caches: list[Server]) -> None:
        """The list's cache servers that may be sent to."""
        self.caches, self.weight_shares = caches, {}
        names = dict.fromkeys(s.entry.zone for s in caches)
        self.zones = {name: self.zones.get(name) or Zone() for name in names}
        self.reduced = dict.fromkeys(s for s in caches if self._is_warming_up(s) or self.health(s) < 1)

    def zone_recovered(self, zone: Zone) -> None:
        """A zone that said nothing for a while answers: its servers may have started again."""
        zone.outage_began_at, zone.outage_ended_at = zone.last_answer_at, self.now
        self.reduced |= dict.fromkeys(s for s in self.caches if self.zones.get(s.entry.zone) is zone)

    def cut_health(self, server: Server) -> bool:
        """Cut what all routers send to an ailing server: each alone has too little out there to ease it.

        Answers with whether it is cut now, and not just before.
        """
        if not server.is_cache or self.now - server.health_cut_at <= CACHE_TARGET_SHARE * self.shortest_aim:
            return False
        server.health, server.health_cut_at = HEALTH_FACTOR * self.health(server), self.now
        self.reduced[server] = None
        return True

    def health(self, server: Server) -> float:
        """What is left of a server's points, or has come back to it."""
        return min(1.0, server.health + HEALTH_RECOVERY_PER_S * (self.now - server.health_cut_at))

    def kept(self, server: Server) -> float:
        """Share of its points that an ailing server keeps; where all ail alike they keep all."""
        if server not in self.reduced:
            return 1.0
        return min(1.0, self.health(server) / self.mean_health)

    def started_at(self, server: Server) -> float:
        """When a server started as far as is known; 0 is long ago.

        One whose zone was lost and is back may have started again, which the list tells later.
        """
        zone = self.zones.get(server.entry.zone)
        lost = zone is not None and server.entry.started_at < zone.outage_began_at
        if (
            zone is not None
            and lost
            and self.now - zone.outage_ended_at < LIST_AGE_SHARE * self.settings.max_list_age
        ):
            return zone.outage_ended_at
        return server.entry.started_at

    def is_cold(self, server: Server) -> bool:
        """Whether a server still warms up."""
        return server in self.reduced and self._is_warming_up(server)

    def _is_warming_up(self, server: Server) -> bool:
        started = self.started_at(server)
        return started > 0 and self.now - started < self.settings.ramp

    def warm_up_share(self, server: Server) -> float:
        """Share of its work that a server can do at the least, by the stated warm-up."""
        if not self.is_cold(server):
            return 1.0
        age = max(0.0, self.now - self.started_at(server))
        return self.settings.cold_share + (1 - self.settings.cold_share) * age / self.settings.ramp

    def accepted_share(self, server: Server) -> float:
        """Part of its own requests that a server takes: what is stated, cut by our share of good answers."""
        if not self.is_cold(server):
            return 1.0
        # guards against client retries, which multiply what is sent just when servers bear the least
        return min(1.0, self.cold_factor * self.mean_kept * self.success_share * self.warm_up_share(server))

    def key_share(self, key: int, server: Server) -> float:
        """The part of a key's requests that a server may take; one key fills no more than its fair share."""
        if not self.is_cold(server):
            return 1.0
        fair = server.weight / self.total_weight
        return self.accepted_share(server) * min(1.0, fair / self.demand.share(key))

    def fair_shares(self) -> dict[Server, float]:
        """Of all requests: cold servers have what they bear of theirs, the others all the rest."""
        fair = dict(self.weight_shares)
        if not self.reduced:
            return fair
        for s in self.reduced:
            fair[s] *= self.accepted_share(s) * self.kept(s)
        cold = {s: fair[s] for s in self.reduced if self.is_cold(s)}
        warm = sum(fair.values()) - sum(cold.values())
        rest = (1 - sum(cold.values())) / warm if len(cold) < len(fair) else 0.0
        return {s: f * rest for s, f in fair.items()} | cold

    def _weighted_mean(self, part: Callable[[Server], float]) -> float:
        """The mean over all servers by their size, of what is one where nothing is unsteady."""
        return 1 - sum(self.weight_shares[s] * (1 - part(s)) for s in self.reduced)

    def plan(self, clockwise: Callable[[int], Iterator[Server]], first: Callable[[int], Server]) -> None:
        """Look at the servers that are unsteady, and share out the hot keys among all."""
        if not self.weight_shares:
            self.weight_shares = {s: s.weight / self.total_weight for s in self.caches}
        # one that drains is sent nothing new, and found ailing by what it still has
        known = (s for s in self.reduced if s in self.weight_shares)
        self.reduced = dict.fromkeys(s for s in known if self.is_cold(s) or self.health(s) < 1)
        self.mean_health = self._weighted_mean(self.health)
        self.mean_kept = self._weighted_mean(
            self.kept
        )  # guards cold servers: they'd get more as others keep less
        able = self._weighted_mean(self.warm_up_share)
        self.cold_factor = min(self.settings.overload_factor / 2, 1 / able if able > 0 else math.inf)

        def whole(position: int) -> Server | None:
            return None if (server := first(position)) in self.reduced else server

        self.hot_key_shares = self.demand.share_out(
            self.fair_shares(), 1 + EPSILON, clockwise, self.key_share, whole
        )
