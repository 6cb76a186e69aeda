"""Decides when a router calls discovery, which serves the calls of all routers one after another."""

from __future__ import annotations

import math
import random

from brackenwalk import interface as api
from brackenwalk.shares import POLL_SHARE

TURN_S = 0.125  # for each router's call: of 40 calls at once only 16 were answered within 2 s in the queue
MOVE_SPREAD_S = 1.0  # for calls to a new discovery: old watches last 1.5, changes count as known after 4
PROPAGATION_S = 6.0  # after which routers count as knowing a change, whether a call delivered it or not
MAX_ROUND_S = 5.0  # until each router has had its turn: its call still has to be answered before that
QUEUE_TIMEOUT_S = (1.5, 3.0)  # a call that fails after this waited in the queue; others fail sooner or later
MAX_BACKOFF_ROUNDS = 4  # until the next call while discovery has too many callers


class DiscoveryCalls:
    """Schedules the calls of one router; delays are seconds from now until its next."""

    def __init__(self, settings: api.Settings, rng: random.Random, now: float) -> None:
        self.settings, self.random = settings, rng
        self.turn = min(TURN_S, min(MAX_ROUND_S, POLL_SHARE * settings.max_list_age) / settings.siblings)
        self.round = settings.siblings * self.turn  # in which every router has one turn
        self.called_at, self.listed_at = now - QUEUE_TIMEOUT_S[0], -math.inf
        self.failures = self.backoff_rounds = 0  # in a row

    def call_started(self, now: float) -> None:
        """Note that a call begins."""
        self.called_at = now

    def list_received(self, now: float) -> None:
        """Note that discovery has sent a list or changes."""
        self.failures, self.backoff_rounds, self.listed_at = 0, 0, now

    def delay_until_turn(self, now: float, least: float = 0.0) -> float:
        """Return the delay until this router's turn by the common clock: calls held up stay apart too."""
        return least + (self.settings.sibling_index * self.turn - now - least) % self.round

    def delay_after_move(self) -> float:
        """Return a random delay: all may learn of a new discovery at once, and old watches last a while."""
        return MOVE_SPREAD_S * self.random.random()

    def delay_after_failure(self, now: float) -> float:
        """Return the delay until the retry, in turn: discovery may be back, and its changes count soon."""
        doubled, self.failures = 2.0 ** min(16, self.failures), self.failures + 1
        settings, waited, silent = self.settings, now - self.called_at, now - self.listed_at
        if not settings.subscribe:  # the list is pushed, by an agent that this router has to itself
            return min(settings.drain_grace / 2, TURN_S * doubled) * self.random.uniform(0.5, 1.0)
        if silent <= waited or waited < QUEUE_TIMEOUT_S[0]:  # a watch broke, or a call failed at no cost
            rounds = min(doubled, POLL_SHARE * min(MAX_ROUND_S, settings.max_list_age) / self.round)
            delay = self.delay_until_turn(now, self.turn / 2) + max(0, int(rounds) - 1) * self.round
            left = PROPAGATION_S - silent + POLL_SHARE * settings.drain_grace
            if silent <= waited and 0 < left < delay:  # it was silent; what it missed counts as known soon
                delay = left * (settings.sibling_index + self.random.random()) / settings.siblings
            return delay
        if waited < QUEUE_TIMEOUT_S[1]:  # guards against an endless queue: abandoned calls are still served
            self.backoff_rounds = min(MAX_BACKOFF_ROUNDS, 3 * self.backoff_rounds or 1)
            return self.round * self.backoff_rounds * self.random.uniform(0.5, 1.0)
        return self.turn * self.random.random()  # no answer for as long as from a silent watch
