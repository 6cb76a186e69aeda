"""What the fleet is asked for: each key's share of all reads, own ones and those that peers tell of.

One of many routers sees a hot key a few times in seconds; all of them together see it at once.
"""

from __future__ import annotations

import hashlib
import math
import struct
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TypeVar

HOT_KEY_SHARE = 0.25  # of a server's mean room: keys of less stay where they are
RECENT = 0.125  # of the memory that tells what turned hot just now
HISTORY_REQUESTS = 128.0  # remembered for each server: a key that just counts as hot is seen thirty times
DIGEST_BYTES = 4  # bytes of a digest, which a garbled message does not match
FORM = b"told 2"  # of the message: routers of another version, for which it would say something else, pass it
HEADER = struct.Struct(">HHB")  # when it was sent, requests in all, and how many lines there are
STAMP = 0.01  # seconds, the unit of the time sent, which begins anew after eleven minutes
ROUND = 1 << 16
SERVER_ID = struct.Struct(">I")  # of a server that ails, behind the lines
MAX_SERVERS = 24
KEY_ENTRY = struct.Struct(">IB")  # a key and how often it was asked for
MAX_COUNT = 255
LATER = 1024  # keys that wait for a place, at most
MAX_KEYS = 30  # with these and the names a message is no longer than the 256 bytes that a datagram may have

S = TypeVar("S")


def with_digest(body: bytes) -> bytes:
    """A message's body behind its digest."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES, person=FORM).digest() + body


def timestamp_of(now: float) -> int:
    """The time that a message tells."""
    return int(now / STAMP) % ROUND


def written(total: int, keys: list[tuple[int, int]], ailing: list[int], now: float) -> bytes:
    """A message: how many requests there were, keys and how often they were asked for, servers that ail."""
    lines = [KEY_ENTRY.pack(key, min(MAX_COUNT, times)) for key, times in keys]
    names = [SERVER_ID.pack(name) for name in ailing[:MAX_SERVERS]]
    head = HEADER.pack(timestamp_of(now), total, len(lines))
    return with_digest(b"".join((head, *lines, *names))) if lines or names else b""


class Counts:
    """How often each key was asked for, as far back as a number of requests."""

    def __init__(self, memory: float) -> None:
        self.memory = memory  # for each server
        self.counts: Counter[int] = Counter()
        self.total = 0.0

    def fade(self, servers: int) -> None:
        """Forget half of all that was counted, again and again until no more than the memory is left."""
        while self.total > self.memory * servers:
            self.counts = Counter({k: n // 2 for k, n in self.counts.items() if n > 1})
            self.total /= 2

    def share(self, key: int) -> float:
        """A key's share of what was counted: the whole of it while nothing else is known."""
        return max(1, self.counts[key]) / max(1.0, self.total)


class Demand:
    """How often each key was asked for lately."""

    def __init__(self, told: float = 1.0, fresh: float = math.inf) -> None:
        self.fresh = fresh  # seconds after which a message that was late on its way is news no more
        self.invalid = self.stale = 0  # messages that changed nothing
        # as far back in time whatever part peers tell
        self.history, self.recent = Counts(HISTORY_REQUESTS * told), Counts(HISTORY_REQUESTS * RECENT * told)
        self.unsent: Counter[int] = Counter()  # own requests since the last message
        self.deferred: Counter[int] = Counter()  # what earlier messages had no place for

    def add(self, key: int) -> None:
        """Count an own request for a key, named by 32 bits of its hash."""
        for kept in (self.history, self.recent):
            kept.counts[key] += 1
            kept.total += 1
        self.unsent[key] += 1

    def share(self, key: int) -> float:
        """The most that a key may be of all requests: the short memory knows what turned hot just now."""
        return max(self.history.share(key), self.recent.share(key))

    def message_size(self, names: int) -> int:
        """Bytes that a message of all that is untold would have."""
        lines = min(MAX_KEYS, len(self.unsent) + len(self.deferred))
        return DIGEST_BYTES + HEADER.size + lines * KEY_ENTRY.size + min(MAX_SERVERS, names) * SERVER_ID.size

    def next_message(self, ailing: list[int], told: bool = True, now: float = 0.0) -> bytes:
        """What peers have not been told yet, the keys asked for most before others; empty if nothing.

        A key met twice that finds no place is for a later message. Of requests not `told` nothing is kept.
        """
        untold, self.unsent = self.unsent, Counter()
        if not told:
            return written(0, [], ailing, now)
        total = min(0xFFFF, untold.total())
        untold.update(self.deferred)
        order = untold.most_common(LATER)
        self.deferred = Counter({key: times for key, times in order[MAX_KEYS:] if times > 1})
        return written(total, order[:MAX_KEYS], ailing, now)

    def receive(self, message: bytes, now: float = 0.0) -> set[int]:
        """Count what a peer tells, and name the servers it finds ailing.

        A message that is garbled or came too late changes nothing and is counted.
        """
        body = message[DIGEST_BYTES:]
        if len(body) < HEADER.size or with_digest(body) != message:
            self.invalid += 1
            return set()
        stamp, total, count = HEADER.unpack_from(body)
        end = HEADER.size + count * KEY_ENTRY.size
        if len(body) < end or (len(body) - end) % SERVER_ID.size:
            self.invalid += 1
            return set()
        # all machines read one clock; what seems to come from just ahead of it is as new as can be
        age = (timestamp_of(now) - stamp + ROUND // 2) % ROUND - ROUND // 2
        if abs(age) * STAMP > self.fresh:
            self.stale += 1
            return set()
        lines = list(KEY_ENTRY.iter_unpack(body[HEADER.size : end]))
        for kept in (self.history, self.recent):
            kept.total += total
            for key, times in lines:
                kept.counts[key] += times
        return {name for (name,) in SERVER_ID.iter_unpack(body[end:])}

    def split_hot_keys(
        self,
        fair: dict[S, float],
        bound: float,
        clockwise: Callable[[int], Iterator[S]],
        bears: Callable[[int, S], float],
        whole: Callable[[int], S | None] = lambda position: None,
    ) -> dict[int, dict[S, float]]:
        """Where hot keys go, the hottest first: each fills what others leave of its servers, clockwise.

        A server's room is its fair share of all requests times the bound, and it takes no more of a key than
        the part of it that it bears. Portions are shares of all requests as well. `whole` names the server
        that bears all of what is met first from a position on, if that is known without a walk.
        """
        self.history.fade(len(fair))
        self.recent.fade(len(fair))
        total = max(self.history.total, len(fair))
        shares = {k: (n - 1) / total for k, n in self.history.counts.items() if n > 1}  # twice may be chance
        rest = 1 - sum(shares.values())
        left = {s: f * (bound - rest) for s, f in fair.items()}
        least = HOT_KEY_SHARE * bound * sum(fair.values()) / len(fair)
        own: dict[int, dict[S, float]] = {}  # what hot keys have of servers before they are shared out
        for key, share in shares.items():
            if share <= least and (only := whole(key << 32)) is not None:
                left[only] -= share
                continue
            over = share
            for server in clockwise(key << 32):
                part = min(over, share * bears(key, server))
                left[server] -= part
                over -= part
                if share > least:
                    own.setdefault(key, {})[server] = part
                if over <= 0:
                    break
        portions: dict[int, dict[S, float]] = {}
        for share, key in sorted(((shares[k], k) for k in own), reverse=True):
            for server, part in own[key].items():
                left[server] += part
            taken = portions[key] = {}
            over = share
            for server in clockwise(key << 32):
                taken[server] = max(0.0, min(over, left[server], share * bears(key, server)))
                left[server] -= taken[server]
                over -= taken[server]
                if over <= 0:
                    break
            # what finds no room is for all of them alike, but for a cold one, which bears no more
            alike = {s: fair[s] for s in taken if bears(key, s) >= 1}
            for server, f in alike.items():
                taken[server] += max(0.0, over) * f / sum(alike.values())
        return portions
