"""Estimates each key's share of all reads, from own requests and from the counts in peer messages.

One of many routers gets only a few requests for a hot key within seconds; all of them together notice it at
once.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Generator, Iterator
from typing import TypeVar

from brackenwalk.peer_message import MAX_KEYS, decode_message, encode_message

# of the mean capacity of servers (in policy.py, of a cold server's fair share): keys below it are not split
HOT_KEY_SHARE = 0.25
RECENT_SHARE = 0.125  # of the history: the short window that shows keys that have just turned hot
HISTORY_REQUESTS = 128.0  # window per server, in which a key at the threshold of hot has about thirty
MAX_COUNTED_KEYS = 32_768  # of each window, whatever the peers send
MAX_UNSENT_KEYS = 4096  # own keys since the last message; without servers there is none for long
OVERFLOW_FACTOR = 8.0  # of a window, above which counts are halved without waiting for the next plan
MAX_DEFERRED_KEYS = 1024  # the most requested ones; the others are dropped
WALK_COST = 16  # of a walk, in units of looking up a key's server

S = TypeVar("S")


class DecayingCounts:
    """Request counts by key over a window of a number of requests.

    When their total exceeds the window, all counts are halved, so older requests weigh less and less.
    """

    def __init__(self, window: float) -> None:
        self.window = window  # requests per server
        self.counts: Counter[int] = Counter()
        self.total = 0.0

    def decay(self, servers: int, factor: float = 1.0) -> None:
        """Halve all counts while there are too many, or while their total is over `factor` windows."""
        window = factor * self.window * max(1, servers)
        while self.total > window or len(self.counts) > MAX_COUNTED_KEYS:
            self.counts = Counter({k: n // 2 for k, n in self.counts.items() if n > 1})
            self.total /= 2

    def share(self, key: int) -> float:
        """Return a key's share of the requests counted; 1 while there are none."""
        return max(1, self.counts[key]) / max(1.0, self.total)


class Demand:
    """Recent requests by key, own ones and those of peers, and the messages that exchange them."""

    def __init__(self, sent_share: float = 1.0, max_age: float = math.inf) -> None:
        self.max_age = max_age  # seconds after which a message delayed in the network is ignored
        self.invalid = self.stale = 0  # numbers of messages ignored for either reason
        self.history, self.recent = (
            DecayingCounts(HISTORY_REQUESTS * sent_share),  # spans the same time whatever share peers send
            DecayingCounts(HISTORY_REQUESTS * RECENT_SHARE * sent_share),
        )
        self.unsent: Counter[int] = Counter()  # own requests since the last message
        self.deferred: Counter[int] = Counter()  # counts that earlier messages had no room for

    def add(self, key: int) -> None:
        """Count an own request for a key, given as 32 bits of its hash."""
        for counter in (self.history, self.recent):
            counter.counts[key] += 1
            counter.total += 1
        if key in self.unsent or len(self.unsent) < MAX_UNSENT_KEYS:
            self.unsent[key] += 1

    def limit(self, servers: int) -> None:
        """Bound the counts of a router that makes no plans: it has no requests, or no servers."""
        self.history.decay(servers, OVERFLOW_FACTOR)
        self.recent.decay(servers, OVERFLOW_FACTOR)

    def share(self, key: int) -> float:
        """Return the higher estimate of a key's share: the short window shows keys that just turned hot."""
        return max(self.history.share(key), self.recent.share(key))

    def next_message(self, unhealthy: list[int], with_keys: bool = True, now: float = 0.0) -> bytes:
        """Return a message with the counts not sent yet, the most requested keys first; empty if none."""
        counts, self.unsent = self.unsent, Counter()
        if not with_keys:  # the counts are dropped, not deferred to the next message
            return encode_message(0, [], unhealthy, now)
        total = min(0xFFFF, counts.total())
        counts.update(self.deferred)
        order = counts.most_common(MAX_DEFERRED_KEYS)
        self.deferred = Counter({k: n for k, n in order[MAX_KEYS:] if n > 1})  # single requests are dropped
        return encode_message(total, order[:MAX_KEYS], unhealthy, now)

    def receive(self, message: bytes, now: float = 0.0) -> set[int]:
        """Add a peer's counts, and return the ids of the servers that it reports as unhealthy.

        Ignore, but count, an invalid message and one that was delayed for longer than `max_age`.
        """
        content = decode_message(message)
        if content is None:
            self.invalid += 1
            return set()
        # The machines' clocks are synchronized, but a time sent may be slightly ahead of this one's clock.
        if abs(content.age(now)) > self.max_age:
            self.stale += 1
            return set()
        for counter in (self.history, self.recent):
            counter.total += content.total
            for key, requests in content.keys:
                counter.counts[key] += requests
        return content.unhealthy

    def split_hot_keys(
        self,
        fair_shares: dict[S, float],
        load_bound: float,
        clockwise: Callable[[int], Iterator[S]],
        max_part: Callable[[int, S], float],
        sole_server: Callable[[int], S | None] = lambda position: None,
    ) -> Generator[int, None, dict[int, dict[S, float]]]:
        """Return for each hot key the share of all requests that each server takes of it.

        Yields the cost of each step on the way.

        The hottest key comes first, and each fills the free capacity of servers clockwise. A server's
        capacity is its fair share of all requests times `load_bound`; of one key it takes the share
        `max_part` at most. `sole_server` returns the server that takes all requests for a key, given its
        position, where that is known without a walk.
        """
        self.history.decay(len(fair_shares))
        self.recent.decay(len(fair_shares))
        total = max(self.history.total, len(fair_shares))
        shares = {
            k: (n - 1) / total for k, n in self.history.counts.items() if n > 1
        }  # less one: two requests may be chance
        rest = 1 - sum(shares.values())
        free = {s: f * (load_bound - rest) for s, f in fair_shares.items()}
        threshold = HOT_KEY_SHARE * load_bound * sum(fair_shares.values()) / len(fair_shares)
        unsplit: dict[int, dict[S, float]] = {}  # each server's share of the hot keys before they are split
        for key, share in shares.items():
            if share <= threshold and (only := sole_server(key << 32)) is not None:
                free[only] -= share
                yield 1
                continue
            left = share
            for server in clockwise(key << 32):
                part = min(left, share * max_part(key, server))
                free[server] -= part
                left -= part
                if share > threshold:
                    unsplit.setdefault(key, {})[server] = part
                if left <= 0:
                    break
            yield WALK_COST
        portions: dict[int, dict[S, float]] = {}
        for share, key in sorted(((shares[k], k) for k in unsplit), reverse=True):
            for server, part in unsplit[key].items():
                free[server] += part
            taken = portions[key] = {}
            left = share
            for server in clockwise(key << 32):
                taken[server] = max(0.0, min(left, free[server], share * max_part(key, server)))
                free[server] -= taken[server]
                left -= taken[server]
                if left <= 0:
                    break
            # What finds no free capacity goes to the warm servers by fair share: cold ones take no more.
            warm = {s: fair_shares[s] for s in taken if max_part(key, s) >= 1}
            for server, f in warm.items():
                taken[server] += max(0.0, left) * f / sum(warm.values())
            yield WALK_COST
        return portions
