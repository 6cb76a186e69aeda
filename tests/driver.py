"""Drives one router event by event and checks each of its actions against the rules for routers.

Rule 1: each request gets exactly one final answer, in time. Rule 2: no request can have a second effect.
Rule 3: nothing is sent to a server that drains or has gone.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import replace
from typing import Any, TypeVar, cast

from brackenwalk import interface as api
from brackenwalk.policy import Router

T = TypeVar("T")
READ = api.RequestClass("read", aim=1.0)
KEYED = api.RequestClass(
    "keyed", 1.0, api.RetrySafety.KEYED, api.RepeatGroup.ALL, repeat_window=1.5, priority=5.0
)
ONCE = api.RequestClass("once", 1.0, api.RetrySafety.UNSAFE, priority=5.0)
NEVER_RAN = {api.Status.BUSY, api.Status.CONNECT_FAILED, api.Status.UNSENT, api.Status.MISS}


def settings(**changes: Any) -> api.Settings:
    base = api.Settings(
        classes={c.name: c for c in (READ, KEYED, ONCE)}, second_copies=True, may_cancel=True, max_attempts=4
    )
    return replace(base, **changes)


def entry(server: str, **fields: Any) -> api.ServerEntry:
    fields.setdefault("weight", 1.0)
    return api.ServerEntry(server, **fields)


def finish(steps: Generator[int, None, T]) -> T:
    """Take all steps of a computation and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return cast(T, end.value)


class Driver:
    """A router with a simulated clock, and what its clients, servers and peers see of it."""

    def __init__(
        self, router_settings: api.Settings, seed: int = 1, router_class: type[Router] = Router
    ) -> None:
        self.settings = router_settings
        self.now = 100.0
        self.router = router_class(router_settings, seed, self.now)
        self.open: dict[str, api.Request] = {}
        self.deadlines: dict[str, float] = {}
        self.ended: dict[str, str] = {}
        self.sends: dict[str, list[str]] = {}
        self.sent_at: dict[str, list[float]] = {}
        self.outcomes: dict[tuple[str, int], api.Status | None] = {}
        self.timeouts: dict[tuple[str, int], float] = {}
        self.timers: list[tuple[float, str]] = []
        self.listed: dict[str, api.ServerEntry] = {}
        self.last_actions: list[api.Action] = []
        self.stepwise = False  # whether tests deliver the steps that a list is worked in by themselves
        self.broadcasts: list[bytes] = []

    def feed(self, event: api.Event) -> list[api.Action]:
        """Deliver an event and, unless `stepwise` is set, all steps that it leads to; return the actions."""
        self.last_actions = []
        due: list[api.Event] = [event]
        while due:
            actions, due = self.router.handle(self.now, due.pop()), []
            for action in actions:
                if isinstance(action, api.ResumeLater) and not self.stepwise:
                    due.append(api.Resume())
                else:
                    self.check(action)
                    self.last_actions.append(action)
        return self.last_actions

    # Records each action, and checks it against the rules

    def check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            assert 0 <= action.delay < 4260 and 1 <= len(action.token) <= 64
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, api.Broadcast):
            assert 0 < len(action.content) <= 256
            self.broadcasts.append(action.content)
        elif isinstance(action, api.Cancel):
            assert (action.request_id, action.attempt) in self.outcomes, "cancels an attempt never made"
        elif isinstance(action, api.Send):
            self.check_send(action)
        elif isinstance(action, api.Refuse):
            self.check_refusal(action.request_id)
            self.finish(action.request_id, "refused")
        elif isinstance(action, api.Fail):
            self.finish(action.request_id, "failed")

    def check_send(self, action: api.Send) -> None:
        name = action.request_id
        assert name in self.open, f"rule 1: sends for {name}, which is ended or unknown"
        target = self.listed.get(action.server)
        assert target is not None and target.state is api.ServerState.READY, (
            "rule 3: sends to a drained server"
        )
        class_rules = self.settings.classes[self.open[name].request_class]
        earlier = self.sends.setdefault(name, [])
        assert len(earlier) < self.settings.max_attempts, "more attempts than allowed"
        ran = [i for i in range(len(earlier)) if self.outcomes[name, i] not in NEVER_RAN]
        outstanding = [i for i in ran if self.outcomes[name, i] is None]
        assert self.settings.second_copies or not outstanding, "rule 2: two copies out at once"
        if ran and class_rules.retry_safety is not api.RetrySafety.SAFE:
            assert class_rules.retry_safety is api.RetrySafety.KEYED, "rule 2: an unsafe request sent again"
            first = min(self.sent_at[name][i] for i in ran)
            assert self.now <= first + class_rules.repeat_window, (
                "rule 2: a keyed request sent after its window"
            )
            for i in ran:
                other = self.listed.get(earlier[i])
                same = class_rules.repeat_group is api.RepeatGroup.ALL or (
                    other is not None
                    and (
                        other.zone == target.zone
                        if class_rules.repeat_group is api.RepeatGroup.ZONE
                        else other.cell == target.cell
                    )
                )
                assert same, "rule 2: a keyed request sent outside its group"
        self.outcomes[name, len(earlier)] = None
        limit = (
            self.deadlines[name]
            if action.timeout is None
            else min(self.deadlines[name], self.now + action.timeout)
        )
        self.timeouts[name, len(earlier)] = limit
        earlier.append(action.server)
        self.sent_at.setdefault(name, []).append(self.now)

    def check_refusal(self, name: str) -> None:
        assert name in self.open, "rule 1: a second answer"
        class_rules = self.settings.classes[self.open[name].request_class]
        ran = [i for i in range(len(self.sends.get(name, []))) if self.outcomes[name, i] not in NEVER_RAN]
        if ran and class_rules.retry_safety is not api.RetrySafety.SAFE:
            harmless = (
                class_rules.retry_safety is api.RetrySafety.KEYED
                and class_rules.repeat_group is api.RepeatGroup.ALL
            )
            assert harmless, "rule 2: a refusal of what may have run"

    def finish(self, name: str, how: str) -> None:
        assert name in self.open, "rule 1: a second answer"
        del self.open[name]
        self.ended[name] = how

    # Events

    def list(self, *entries: api.ServerEntry, kind: api.ListKind = api.ListKind.FULL) -> list[api.Action]:
        if kind in (api.ListKind.FULL, api.ListKind.SAVED):
            gone = api.ServerState.GONE
            self.listed = {s: replace(e, state=gone) for s, e in self.listed.items()}
        self.listed.update({e.server: e for e in entries})
        return self.feed(api.ServerList(kind, entries))

    def request(self, name: str, finish: bool = False, **fields: Any) -> str | None:
        """Deliver a request and return the server that its first attempt went to, if any."""
        fields.setdefault("request_class", "read")
        fields.setdefault("time_left", 2.0)
        event = api.Request(name, **fields)
        self.open[name] = event
        self.deadlines[name] = self.now + event.time_left
        self.feed(event)
        sent = self.sends.get(name, [None])[0]
        if finish:
            self.ok(name)
        return sent

    def end(
        self, name: str, status: api.Status, attempt: int | None = None, latency: float = 0.05
    ) -> str | None:
        """End an attempt and return the server that the next attempt went to, if one was sent."""
        count = len(self.sends[name])
        number = count - 1 if attempt is None else attempt
        assert self.outcomes[name, number] is None
        self.outcomes[name, number] = status
        closed = status is api.Status.OK or name not in self.open
        if closed and name in self.open:
            self.finish(name, "served")
        self.feed(api.Outcome(name, number, status, closed, latency))
        return self.sends[name][-1] if len(self.sends[name]) > count else None

    def ok(self, name: str) -> None:
        self.end(name, api.Status.OK)

    def wait(self, seconds: float) -> None:
        """Advance the clock, and deliver timers and time-outs in order."""
        until = self.now + seconds
        while True:
            due = [(t, "", n, None) for t, n in self.timers]
            due += [(t, n, "", i) for (n, i), t in self.timeouts.items() if self.outcomes[n, i] is None]  # type: ignore[misc]
            due.sort(key=lambda d: d[:3])
            if not due or due[0][0] > until:
                break
            at, name, token, attempt = due[0]
            self.now = max(self.now, at)
            if name:
                self.end(name, api.Status.TIMEOUT, attempt, 1.0)
            else:
                self.timers.remove((at, token))
                self.feed(api.TimerFired(token))
            self.check_overdue()
        self.now = until
        self.check_overdue()

    def check_overdue(self) -> None:
        late = [n for n in self.open if self.now > self.deadlines[n] + 0.02]
        assert not late, f"rule 1: no answer in time for {late}"
