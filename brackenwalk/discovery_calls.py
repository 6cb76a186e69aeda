"""Decides when a router calls discovery, for the server list or to watch for changes of it.

Discovery serves one call after another. So that the calls of many routers do not queue there until they time
out, all routers share a round, which is divided into one turn for each of them: a router's sibling index says
which turn is its own, and the clock, which all machines share, when it comes.

By the operators' rules a router has to know a change some seconds after it was listed, whether a call has
delivered it or not: from then on, a request that it sends to a server that drains or has gone breaks them.
"""

from __future__ import annotations

import math
import random

from brackenwalk import interface as api
from brackenwalk.shares import POLL_SHARE

TURN_S = 0.125  # of 40 calls at once, only 16 were answered within the 2 s that a call may be queued
# over which the first calls to a new discovery are spread; after 4 s routers have to know what it has listed
MOVE_SPREAD_S = 1.0
PROPAGATION_S = 6.0  # after a change was listed, routers have to know it
MAX_ROUND_S = 5.0  # shorter than PROPAGATION_S, as the call of the last turn still has to be answered
QUEUE_TIMEOUT_S = (1.5, 3.0)  # a call that fails after a time in this range was queued for too long
MAX_BACKOFF_ROUNDS = 4  # until the next call, while discovery has too many callers


class DiscoveryCalls:
    """Schedules the calls of one router; all delays are seconds from now until its next call."""

    def __init__(self, settings: api.Settings, rng: random.Random, now: float) -> None:
        self.settings, self.random = settings, rng
        self.turn = min(TURN_S, min(MAX_ROUND_S, POLL_SHARE * settings.max_list_age) / settings.siblings)
        self.round = settings.siblings * self.turn
        self.called_at, self.listed_at = now - QUEUE_TIMEOUT_S[0], -math.inf
        self.failures = self.backoff_rounds = 0  # both since the latest list

    def call_started(self, now: float) -> None:
        """Note that a call begins."""
        self.called_at = now

    def list_received(self, now: float) -> None:
        """Note that discovery has sent a list or changes."""
        self.failures, self.backoff_rounds, self.listed_at = 0, 0, now

    def delay_until_turn(self, now: float, min_delay: float = 0.0) -> float:
        """Return the delay until this router's next turn, but at least `min_delay` seconds.

        Turns follow the shared clock, so calls of different routers stay apart even after delays.
        """
        return min_delay + (self.settings.sibling_index * self.turn - now - min_delay) % self.round

    def delay_after_move(self) -> float:
        """Return a random delay until the first call to a new discovery.

        All routers may learn of it at once. Watches at the old discovery last longer than the delay.
        """
        return MOVE_SPREAD_S * self.random.random()

    def delay_after_failure(self, now: float) -> float:
        """Return the delay until the retry of a failed call.

        As a rule the retry comes with one of the router's next turns: discovery may be back, and the router
        will soon have to know what has changed. While discovery has too many callers, it comes rounds later.
        """
        backoff, self.failures = 2.0 ** min(16, self.failures), self.failures + 1
        config, waited, silent = self.settings, now - self.called_at, now - self.listed_at
        if not config.subscribe:  # the list is pushed by an agent that serves this router alone
            return min(config.drain_grace / 2, TURN_S * backoff) * self.random.uniform(0.5, 1.0)
        # A watch that had delivered something broke, or a call failed before it was queued for long.
        if silent <= waited or waited < QUEUE_TIMEOUT_S[0]:
            rounds = min(backoff, POLL_SHARE * min(MAX_ROUND_S, config.max_list_age) / self.round)
            delay = self.delay_until_turn(now, self.turn / 2) + max(0, int(rounds) - 1) * self.round
            time_left = PROPAGATION_S - silent + POLL_SHARE * config.drain_grace
            # The watch may have been silent for some time before it broke. The router then has to know what
            # it missed before its turn comes.
            if silent <= waited and 0 < time_left < delay:
                delay = time_left * (config.sibling_index + self.random.random()) / config.siblings
            return delay
        # The call was queued for too long. Discovery still serves calls that their routers have abandoned, so
        # without a backoff its queue would never empty.
        if waited < QUEUE_TIMEOUT_S[1]:
            self.backoff_rounds = min(MAX_BACKOFF_ROUNDS, 3 * self.backoff_rounds or 1)
            return self.round * self.backoff_rounds * self.random.uniform(0.5, 1.0)
        return self.turn * self.random.random()  # unanswered for as long as a watch that went silent
