"""Decides when a router calls discovery, for the server list or to watch for changes of it.

Discovery serves one call after another. So that the calls of many routers do not queue there until they time
out, all routers share a round, which is divided into one turn for each of them: a router's sibling index says
which turn is its own, and the clock, which all machines share, when it comes.

By the rules a router has to know a change some seconds after discovery had it and could be reached.
While discovery is out of reach a router checks often whether it accepts connections, and then calls in turn.
"""

from __future__ import annotations

import math
import random

from brackenwalk import interface as api
from brackenwalk.shares import POLL_SHARE

TURN_S = 0.095  # between calls; discovery may need up to 0.125 s for each, and queues them for 2 s
MOVE_SPREAD_S = 1.0  # over which the first calls to a new discovery are spread
MOVE_PROPAGATION_S = 4.0  # after discovery has moved, routers have to know what it has listed
PROPAGATION_S = 6.0  # after a change was listed, routers have to know it
MAX_ROUND_S = 5.0  # shorter than PROPAGATION_S, as the call of the last turn still has to be answered
QUEUE_TIMEOUT_S = (1.5, 3.5)  # a call that fails after a time in this range was queued for too long
CHECK_INTERVAL_S = 0.2  # between checks of whether discovery can be reached
RETRY_WINDOW = (0.8, 0.95)  # of the time left: late, as queues get shorter, but with time for a response
MAX_BACKOFF_ROUNDS = 4  # until the next call, while discovery has too many callers


class DiscoveryCalls:
    """Schedules the calls of one router; all delays are seconds from now until its next call or check."""

    def __init__(self, settings: api.Settings, rng: random.Random, now: float) -> None:
        self.settings, self.random = settings, rng
        self.turn = min(TURN_S, min(MAX_ROUND_S, POLL_SHARE * settings.max_list_age) / settings.siblings)
        self.round = settings.siblings * self.turn
        self.called_at, self.listed_at = now - QUEUE_TIMEOUT_S[0], -math.inf
        self.due_at = -math.inf  # when the router has to know what discovery has listed
        self.checking = False  # whether the next step is a check
        self.queued = False  # whether the latest call was queued for too long
        self.failures = self.failed_calls = self.backoff_rounds = 0  # since the latest list

    def next_step(self, now: float) -> api.Action:
        """Return the call or the check for which a delay has passed."""
        self.called_at = now
        return api.CheckDiscovery() if self.checking else api.Subscribe()

    def list_received(self, now: float) -> None:
        """Note that discovery has sent a list or changes."""
        self.failures = self.failed_calls = self.backoff_rounds = 0
        self.listed_at, self.due_at, self.checking = now, now + PROPAGATION_S, False

    def delay_after(self, event: api.ListKind, now: float) -> float:
        """Return the delay until the next call or check, after a list was saved or something has changed."""
        if event is api.ListKind.FAILED:
            return self._delay_after_failure(now)
        self.checking = False
        if event is api.ListKind.MOVED:  # of which all routers may learn at once
            self.due_at = now + MOVE_PROPAGATION_S
            return MOVE_SPREAD_S * self.random.random()
        if event is api.ListKind.REACHABLE and self.queued:
            return self._delay_after_queue(now)
        longest = POLL_SHARE * min(MAX_ROUND_S, self.settings.max_list_age)
        rounds = int(min(2.0 ** min(16, self.failed_calls - 1), longest / self.round))
        # Turns follow the shared clock, so calls of different routers stay apart even after delays.
        delay = (self.settings.sibling_index * self.turn - now) % self.round + max(0, rounds - 1) * self.round
        # A watch may have been silent before it broke, and what it missed has to be known before the turn.
        time_left = self.due_at - now + POLL_SHARE * self.settings.drain_grace
        return time_left * self.random.random() if 0 < time_left < delay else delay

    def _delay_after_failure(self, now: float) -> float:
        self.failures += 1
        self.failed_calls += not self.checking
        waited, unlisted = now - self.called_at, self.listed_at < self.called_at
        if not self.settings.subscribe:  # the list is pushed by an agent that serves this router alone
            longest = min(self.settings.drain_grace / 2, TURN_S * 2.0 ** min(16, self.failures - 1))
            return longest * self.random.uniform(0.5, 1.0)
        self.queued = unlisted and not self.checking and waited >= QUEUE_TIMEOUT_S[0]
        if self.queued and waited < QUEUE_TIMEOUT_S[1]:
            return self._delay_after_queue(now)
        if unlisted and not self.queued:  # out of reach: what it lists meanwhile counts from its return
            self.due_at = self.called_at + PROPAGATION_S
        elif not unlisted:  # silent for long, so that it may have been out of reach and returned
            self.due_at = max(self.due_at, now + PROPAGATION_S / 2)
        self.checking = True
        return max(self.settings.resolution, CHECK_INTERVAL_S * self.random.uniform(0.5, 1.0) - waited)

    def _delay_after_queue(self, now: float) -> float:
        # Discovery still serves calls that their routers have abandoned, so without a backoff its queue would
        # never empty. But the first call after it was out of reach is repeated in time.
        self.backoff_rounds = MAX_BACKOFF_ROUNDS if self.backoff_rounds else 1
        if now < self.due_at:
            return (self.due_at - now) * self.random.uniform(*RETRY_WINDOW)
        if now < self.due_at + max(self.settings.drain_grace, QUEUE_TIMEOUT_S[0]):
            return self.turn * self.random.random()
        return self.round * self.backoff_rounds * self.random.uniform(0.55, 1.0)
