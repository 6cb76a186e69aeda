"""When a router calls discovery, which serves the calls of all routers one after another."""

from __future__ import annotations

import math
import random

from brackenwalk import interface as api
from brackenwalk.shares import ASK

TURN_S = 0.125  # for each router's call: forty at once had sixteen answered in the 2 s they may wait
MOVE = 1.0  # seconds for all to ask a new discovery: old watches last 1.5, news counts as told after 4
NEWS = 6.0  # seconds after which what discovery has counts as told, brought by a call or not
ROUND = 5.0  # of them at most until each router has had its turn to call: the call has to be answered as well
CROWDED = (1.5, 3.0)  # seconds after which a call fails that waited for its turn; others fail sooner or later
FAILED_ASK = 4  # rounds at most until the next call while discovery has too many callers


class DiscoveryCalls:
    """The calls of one router: all answers are seconds from now until its next."""

    def __init__(self, settings: api.Settings, chance: random.Random, now: float) -> None:
        self.settings, self.random = settings, chance
        self.turn = min(TURN_S, min(ROUND, ASK * settings.must_ask_in) / settings.siblings)  # for each's call
        self.turns = settings.siblings * self.turn  # until all have had theirs
        self.asked_at, self.listed_at = now - CROWDED[0], -math.inf
        self.failures = self.crowded = 0  # in a row

    def call_started(self, now: float) -> None:
        """A call begins."""
        self.asked_at = now

    def list_received(self, now: float) -> None:
        """Discovery has told a list or changes."""
        self.failures, self.crowded, self.listed_at = 0, 0, now

    def delay_until_turn(self, now: float, least: float = 0.0) -> float:
        """All have their turns by one clock, so that calls stay apart whatever they were held up by."""
        return least + (self.settings.number * self.turn - now - least) % self.turns

    def delay_after_move(self) -> float:
        """Guards a new discovery: all routers may be told of it at once, and the old watches last a while."""
        return MOVE * self.random.random()

    def delay_after_failure(self, now: float) -> float:
        """Subscribe again, in turn: discovery may be back, and what it has counts as told soon."""
        doubled, self.failures = 2.0 ** min(16, self.failures), self.failures + 1
        conf, waited, quiet = self.settings, now - self.asked_at, now - self.listed_at
        if not conf.subscribe:  # what is pushed, an agent of our own holds
            return min(conf.drain_grace / 2, TURN_S * doubled) * self.random.uniform(0.5, 1.0)
        if quiet <= waited or waited < CROWDED[0]:  # a watch broke, or a call came to nothing at no cost
            rounds = min(doubled, ASK * min(ROUND, conf.must_ask_in) / self.turns)
            pause = self.delay_until_turn(now, self.turn / 2) + max(0, int(rounds) - 1) * self.turns
            left = NEWS - quiet + ASK * conf.drain_grace
            if quiet <= waited and 0 < left < pause:  # it had been silent, and what it missed counts soon
                pause = left * (conf.number + self.random.random()) / conf.siblings
            return pause
        if waited < CROWDED[1]:  # guards against an endless queue: calls given up are still worked through
            self.crowded = min(FAILED_ASK, 3 * self.crowded or 1)
            return self.turns * self.crowded * self.random.uniform(0.5, 1.0)
        return self.turn * self.random.random()  # no answer for as long as a silent watch
