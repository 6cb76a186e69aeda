"""What each server takes: less while it ails, little while it is cold, and its part of hot keys."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from brackenwalk import interface as api
from brackenwalk.demand import Demand
from brackenwalk.state import Server, Zone

EPSILON = 0.25  # a server may stand this far above the average load before the walk passes it
CACHE_TARGET = 0.25  # of the aim: answers slower than this on average mean that too many are out
# of its points that a server keeps when found ailing: one that does a tenth is there in four rounds
EASE = 0.5
EASE_GAIN = 0.1  # of its points that come back each second: time for the queue of a crowd to be worked off
ASK = 0.5  # of the time by which all must have asked: a call that fails leaves time for another


class Shares:
    """The parts that servers keep of their points, and the plan for hot keys. `now` is the event's."""

    def __init__(self, settings: api.Settings, demand: Demand, now: float) -> None:
        self.settings, self.demand, self.now = settings, demand, now
        self.shortest_aim = settings.shortest_aim
        self.caches: list[Server] = []  # that may be sent to
        self.total_size = 0.0
        self.even: dict[Server, float] = {}  # each server's part of all sizes, once it is asked for
        self.unsteady: dict[Server, None] = {}  # that may be cold or eased; of all others that is known
        self.zones: dict[str, Zone] = {}
        self.portions: dict[int, dict[Server, float]] = {}  # of a hot key's share, at the servers it takes
        self.mean_eased, self.level = 1.0, 1.0
        self.bold = 1.0  # times what is stated that cold servers take, so that the warm are as busy as they
        self.good = 1.0  # smoothed share of attempts at caches that were answered well

    def take(self, caches: list[Server]) -> None:
        """The list's cache servers that may be sent to."""
        self.caches, self.even = caches, {}
        names = dict.fromkeys(s.entry.zone for s in caches)
        self.zones = {name: self.zones.get(name) or Zone() for name in names}
        self.unsteady = dict.fromkeys(s for s in caches if self._warms_up(s) or self.eased(s) < 1)

    def zone_is_back(self, zone: Zone) -> None:
        """A zone that said nothing for a while answers: its servers may have started again."""
        zone.lost_at, zone.back_at = zone.heard_at, self.now
        self.unsteady |= dict.fromkeys(s for s in self.caches if self.zones.get(s.entry.zone) is zone)

    def ease(self, server: Server) -> bool:
        """Cut what all routers send to an ailing server: each alone has too little out there to ease it.

        Answers with whether it is cut now, and not just before.
        """
        if not server.cache or self.now - server.eased_at <= CACHE_TARGET * self.shortest_aim:
            return False
        server.eased, server.eased_at = EASE * self.eased(server), self.now
        self.unsteady[server] = None
        return True

    def eased(self, server: Server) -> float:
        """What is left of a server's points, or has come back to it."""
        return min(1.0, server.eased + EASE_GAIN * (self.now - server.eased_at))

    def kept(self, server: Server) -> float:
        """Share of its points that an ailing server keeps; where all ail alike they keep all."""
        if server not in self.unsteady:
            return 1.0
        return min(1.0, self.eased(server) / self.mean_eased)

    def started(self, server: Server) -> float:
        """When a server started as far as is known; 0 is long ago.

        One whose zone was lost and is back may have started again, which the list tells later.
        """
        zone = self.zones.get(server.entry.zone)
        lost = zone is not None and server.entry.since < zone.lost_at
        if zone is not None and lost and self.now - zone.back_at < ASK * self.settings.must_ask_in:
            return zone.back_at
        return server.entry.since

    def cold(self, server: Server) -> bool:
        """Whether a server still warms up."""
        return server in self.unsteady and self._warms_up(server)

    def _warms_up(self, server: Server) -> bool:
        started = self.started(server)
        return started > 0 and self.now - started < self.settings.ramp

    def stated(self, server: Server) -> float:
        """Share of its work that a server can do at the least, by the stated warm-up."""
        if not self.cold(server):
            return 1.0
        age = max(0.0, self.now - self.started(server))
        return self.settings.cold_share + (1 - self.settings.cold_share) * age / self.settings.ramp

    def warm_share(self, server: Server) -> float:
        """Part of its own requests that a server takes: what is stated, cut by our share of good answers."""
        if not self.cold(server):
            return 1.0
        # guards against client retries, which multiply what is sent just when servers bear the least
        return min(1.0, self.bold * self.level * self.good * self.stated(server))

    def bears(self, key: int, server: Server) -> float:
        """The part of a key's requests that a server may take; one key fills no more than its fair share."""
        if not self.cold(server):
            return 1.0
        fair = server.size / self.total_size
        return self.warm_share(server) * min(1.0, fair / self.demand.share(key))

    def fair(self) -> dict[Server, float]:
        """Of all requests: cold servers have what they bear of theirs, the others all the rest."""
        fair = dict(self.even)
        if not self.unsteady:
            return fair
        for s in self.unsteady:
            fair[s] *= self.warm_share(s) * self.kept(s)
        cold = {s: fair[s] for s in self.unsteady if self.cold(s)}
        warm = sum(fair.values()) - sum(cold.values())
        rest = (1 - sum(cold.values())) / warm if len(cold) < len(fair) else 0.0
        return {s: f * rest for s, f in fair.items()} | cold

    def _mean(self, part: Callable[[Server], float]) -> float:
        """The mean over all servers by their size, of what is one where nothing is unsteady."""
        return 1 - sum(self.even[s] * (1 - part(s)) for s in self.unsteady)

    def plan(self, clockwise: Callable[[int], Iterator[Server]], first: Callable[[int], Server]) -> None:
        """Look at the servers that are unsteady, and share out the hot keys among all."""
        if not self.even:
            self.even = {s: s.size / self.total_size for s in self.caches}
        # one that drains is sent nothing new, and found ailing by what it still has
        known = (s for s in self.unsteady if s in self.even)
        self.unsteady = dict.fromkeys(s for s in known if self.cold(s) or self.eased(s) < 1)
        self.mean_eased = self._mean(self.eased)
        self.level = self._mean(self.kept)  # guards cold servers: they'd get more as others keep less
        able = self._mean(self.stated)
        self.bold = min(self.settings.fall_multiple / 2, 1 / able if able > 0 else math.inf)

        def whole(position: int) -> Server | None:
            return None if (server := first(position)) in self.unsteady else server

        self.portions = self.demand.split_hot_keys(self.fair(), 1 + EPSILON, clockwise, self.bears, whole)
