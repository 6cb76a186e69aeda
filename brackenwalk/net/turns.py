"""The length of the event loop's turns: while one lasts, neither sockets nor timers are served."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable


class TurnSelector(selectors.DefaultSelector):
    """A selector that records how long the event loop works between two waits for events."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self.turn_started_at = clock()
        self.longest = 0.0  # seconds, since it was last taken

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events as the base class does; the turn before ends and the next one begins."""
        self.longest = max(self.longest, self.clock() - self.turn_started_at)
        events = super().select(timeout)
        self.turn_started_at = self.clock()
        return events

    def take_longest(self) -> float:
        """Return the seconds of the longest turn since the last call."""
        longest, self.longest = self.longest, 0.0
        return longest


def new_event_loop(selector: selectors.BaseSelector) -> asyncio.AbstractEventLoop:
    """Return an event loop that waits for events with a selector."""
    return asyncio.SelectorEventLoop(selector)
