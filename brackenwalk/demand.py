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

HOT = 0.25  # of a server's mean room: keys of less stay where they are
RECENT = 0.125  # of the memory that tells what turned hot just now
MEMORY = 128.0  # requests remembered for each server: a key that just counts as hot is seen thirty times
CHECK = 4  # bytes of a digest, which a garbled message does not match
FORM = b"told 2"  # of the message: routers of another version, for which it would say something else, pass it
HEAD = struct.Struct(">HHB")  # when it was sent, requests in all, and how many lines there are
STAMP = 0.01  # seconds, the unit of the time sent, which begins anew after eleven minutes
ROUND = 1 << 16
NAME = struct.Struct(">I")  # of a server that ails, behind the lines
NAMES = 24
LINE = struct.Struct(">IB")  # a key and how often it was asked for
MOST = 255
LATER = 1024  # keys that wait for a place, at most
LINES = 30  # with these and the names a message is no longer than the 256 bytes that a datagram may have

S = TypeVar("S")


def sealed(body: bytes) -> bytes:
    """A message's body behind its digest."""
    return hashlib.blake2b(body, digest_size=CHECK, person=FORM).digest() + body


def stamp_of(now: float) -> int:
    """The time that a message tells."""
    return int(now / STAMP) % ROUND


def written(total: int, keys: list[tuple[int, int]], ailing: list[int], now: float) -> bytes:
    """A message: how many requests there were, keys and how often they were asked for, servers that ail."""
    lines = [LINE.pack(key, min(MOST, times)) for key, times in keys]
    names = [NAME.pack(name) for name in ailing[:NAMES]]
    head = HEAD.pack(stamp_of(now), total, len(lines))
    return sealed(b"".join((head, *lines, *names))) if lines or names else b""


class Counts:
    """How often each key was asked for, as far back as a number of requests."""

    def __init__(self, memory: float) -> None:
        self.memory = memory  # for each server
        self.times: Counter[int] = Counter()
        self.total = 0.0

    def fade(self, servers: int) -> None:
        """Forget half of all that was counted, again and again until no more than the memory is left."""
        while self.total > self.memory * servers:
            self.times = Counter({k: n // 2 for k, n in self.times.items() if n > 1})
            self.total /= 2

    def share(self, key: int) -> float:
        """A key's share of what was counted: the whole of it while nothing else is known."""
        return max(1, self.times[key]) / max(1.0, self.total)


class Demand:
    """How often each key was asked for lately."""

    def __init__(self, told: float = 1.0, fresh: float = math.inf) -> None:
        self.fresh = fresh  # seconds after which a message that was late on its way is news no more
        self.garbled = self.stale = 0  # messages that changed nothing
        # as far back in time whatever part peers tell
        self.long, self.short = Counts(MEMORY * told), Counts(MEMORY * RECENT * told)
        self.untold: Counter[int] = Counter()  # own requests since the last message
        self.later: Counter[int] = Counter()  # what earlier messages had no place for

    def add(self, key: int) -> None:
        """Count an own request for a key, named by 32 bits of its hash."""
        for counts in (self.long, self.short):
            counts.times[key] += 1
            counts.total += 1
        self.untold[key] += 1

    def share(self, key: int) -> float:
        """The most that a key may be of all requests: the short memory knows what turned hot just now."""
        return max(self.long.share(key), self.short.share(key))

    def size(self, names: int) -> int:
        """Bytes that a message of all that is untold would have."""
        lines = min(LINES, len(self.untold) + len(self.later))
        return CHECK + HEAD.size + lines * LINE.size + min(NAMES, names) * NAME.size

    def message(self, ailing: list[int], told: bool = True, now: float = 0.0) -> bytes:
        """What peers have not been told yet, the keys asked for most before others; empty if nothing.

        A key met twice that finds no place is for a later message. Of requests not `told` nothing is kept.
        """
        untold, self.untold = self.untold, Counter()
        if not told:
            return written(0, [], ailing, now)
        total = min(0xFFFF, untold.total())
        untold.update(self.later)
        order = untold.most_common(LATER)
        self.later = Counter({key: times for key, times in order[LINES:] if times > 1})
        return written(total, order[:LINES], ailing, now)

    def hear(self, message: bytes, now: float = 0.0) -> set[int]:
        """Count what a peer tells, and name the servers it finds ailing.

        A message that is garbled or came too late changes nothing and is counted.
        """
        body = message[CHECK:]
        if len(body) < HEAD.size or sealed(body) != message:
            self.garbled += 1
            return set()
        stamp, total, count = HEAD.unpack_from(body)
        end = HEAD.size + count * LINE.size
        if len(body) < end or (len(body) - end) % NAME.size:
            self.garbled += 1
            return set()
        # all machines read one clock; what seems to come from just ahead of it is as new as can be
        age = (stamp_of(now) - stamp + ROUND // 2) % ROUND - ROUND // 2
        if abs(age) * STAMP > self.fresh:
            self.stale += 1
            return set()
        lines = list(LINE.iter_unpack(body[HEAD.size : end]))
        for counts in (self.long, self.short):
            counts.total += total
            for key, times in lines:
                counts.times[key] += times
        return {name for (name,) in NAME.iter_unpack(body[end:])}

    def share_out(
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
        self.long.fade(len(fair))
        self.short.fade(len(fair))
        total = max(self.long.total, len(fair))
        shares = {k: (n - 1) / total for k, n in self.long.times.items() if n > 1}  # twice may be chance
        rest = 1 - sum(shares.values())
        left = {s: f * (bound - rest) for s, f in fair.items()}
        least = HOT * bound * sum(fair.values()) / len(fair)
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
