"""Hosts routers for the simulator: reads events and writes commands as JSON, one batch per line.

It only translates; every decision is made in `policy.Router`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from brackenwalk import interface as api
from brackenwalk.policy import Router
from brackenwalk.settings import read_settings

STATES = {"active": api.ServerState.READY, "leaving": api.ServerState.DRAINING, "left": api.ServerState.GONE}
LIST_KINDS = {
    "INCREMENTAL": api.ListKind.DELTA,
    "FULL": api.ListKind.FULL,
    "SAVED": api.ListKind.SAVED,
    "FAILED": api.ListKind.FAILED,
}
STATUSES = {
    "delivered": api.Status.OK,
    "app_error": api.Status.ERROR,
    "shed": api.Status.BUSY,
    "expired": api.Status.TIMEOUT,
    "dial_failed": api.Status.CONNECT_FAILED,
    "dropped": api.Status.RESET,
    "revoked": api.Status.CANCELLED,
    "unused": api.Status.UNSENT,
    "empty": api.Status.MISS,
}


class WireError(ValueError):
    """An input line that is not a batch of known, well-formed events."""


def read_entry(row: dict[str, Any]) -> api.ServerEntry:
    """Read one entry of a server list; an absent or negative weight becomes 0."""
    return api.ServerEntry(
        server=row["server"],
        state=STATES[row["readiness"]],
        kind=row.get("generationHw") or "",
        zone=row.get("site") or "",
        cell=row.get("stripe") or 0,
        weight=max(0.0, row.get("weight") or 0.0),
        started_at=row.get("since") or 0.0,
    )


def read_list(event: dict[str, Any]) -> api.Event:
    """Read a `Membership` event."""
    return api.ServerList(LIST_KINDS[event["scope"]], tuple(map(read_entry, event.get("lines") or ())))


def read_request(event: dict[str, Any]) -> api.Event:
    """Read a `Request` event; an absent or negative time budget becomes 0."""
    return api.Request(
        event["ticket"],
        event["priority"],
        max(0.0, float(event.get("timeBudget") or 0.0)),
        event.get("partitionKey"),
        event.get("effort"),
        bool(event.get("update")),
    )


def read_outcome(event: dict[str, Any]) -> api.Event:
    """Read a `Done` event, the outcome of an attempt."""
    return api.Outcome(
        event["ticket"],
        event["sendNo"],
        STATUSES[event["outcome"]],
        bool(event.get("final")),
        event.get("lag") or 0.0,
    )


READERS: dict[str, Callable[[dict[str, Any]], api.Event]] = {
    "Membership": read_list,
    "Request": read_request,
    "Begun": lambda e: api.ResponseStarted(e["ticket"], e["sendNo"]),
    "Done": read_outcome,
    "Aborted": lambda e: api.ClientGone(e["ticket"]),
    "Heard": lambda e: api.PeerMessage(bytes.fromhex(e["content"])),
    "Wake": lambda e: api.TimerFired(e["ctx"]),
}
IGNORED = {"Pong"}  # answers to commands that no router sends


def write_send(action: api.Send) -> dict[str, Any]:
    """Write a `Send` command; without a timeout the client's deadline holds."""
    if action.timeout is None:
        return {"op": "Send", "ticket": action.request_id, "server": action.server}
    return {"op": "Send", "ticket": action.request_id, "server": action.server, "timeout": action.timeout}


def write_refuse(action: api.Refuse) -> dict[str, Any]:
    """Write a `Reject` command, with a cool-down if the refusal advises one."""
    advice = {"coolDown": action.retry_after} if action.retry_after else {}
    return {"op": "Reject", "ticket": action.request_id, **advice}


WRITERS: dict[type, Callable[[Any], dict[str, Any]]] = {
    api.Send: write_send,
    api.Refuse: write_refuse,
    api.Fail: lambda a: {"op": "GiveUp", "ticket": a.request_id},
    api.Cancel: lambda a: {"op": "Cancel", "ticket": a.request_id, "sendNo": a.attempt},
    api.CloseIdle: lambda a: {"op": "LetGo", "server": a.server},
    api.SetTimer: lambda a: {"op": "Timer", "fromNow": a.delay, "ctx": a.token},
    api.Subscribe: lambda a: {"op": "Listen", "enable": True},
    api.Broadcast: lambda a: {"op": "Announce", "target": None, "content": a.content.hex()},
    api.Log: lambda a: {"op": "Record", "line": a.text},
}


# The simulator has no connections to discovery: a call is the only check.
REACHABLE = api.ServerList(api.ListKind.REACHABLE)


class SimulatorHost:
    """The routers of a simulation, by their ids; they share no state."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def handle_line(self, line: bytes) -> bytes:
        """Handle one line of input and return the line of output. Raises WireError if it can't be read."""
        try:
            message = orjson.loads(line)
            now, events = float(message["t"]), message["news"]
            if not isinstance(events, list):
                raise TypeError("news is not a list")
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as e:
            raise WireError(f"input line is not a batch of events: {e!r}") from e
        commands: list[dict[str, Any]] = []
        for event in events:
            self.handle_event(now, event, commands)
        return orjson.dumps({"cmds": commands}) + b"\n"

    def handle_event(self, now: float, event: Any, commands: list[dict[str, Any]]) -> None:
        """Hand an event to its router and append the commands that answer it.

        Invalid settings give an `InternalError`. Raises WireError if the event is malformed.
        """
        try:
            op, router_id = event["op"], event["routerId"]
            if op == "Born":
                self.routers[router_id] = Router(read_settings(event["conf"]), event["initSeed"], now)
                return
            if op == "Kill":
                self.routers.pop(router_id, None)
                return
            if op in IGNORED:
                return
            parsed = READERS[op](event)
            router = self.routers.get(router_id)
        except api.SettingsError as e:
            print(f"brackenwalk: {e}", file=sys.stderr)
            commands.append({"op": "InternalError", "routerId": router_id, "line": str(e)})
            return
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise WireError(f"malformed event: {e!r} in {str(event)[:200]}") from e
        if router is None:
            return
        due: api.Event | None = parsed
        while due is not None:
            actions, due = router.handle(now, due), None
            for action in actions:
                if isinstance(action, api.ResumeLater):
                    due = api.Resume()  # no time passes within a batch, so the work is done at once
                    continue
                if isinstance(action, api.CheckDiscovery):
                    due = REACHABLE
                    continue
                command = WRITERS[type(action)](action)
                command["routerId"] = router_id
                commands.append(command)


def main() -> int:
    """Handle standard input line by line. Return the exit code: 2 after a line that can't be read."""
    host = SimulatorHost()
    for line in sys.stdin.buffer:
        try:
            reply = host.handle_line(line)
        except WireError as e:
            print(f"brackenwalk: {e}", file=sys.stderr)
            return 2
        sys.stdout.buffer.write(reply)
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
