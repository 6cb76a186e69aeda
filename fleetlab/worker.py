"""`python -m fleetlab.worker PLANFILE`: a worker process, which plays the part that its plan names."""

from __future__ import annotations

import asyncio
import importlib
import logging
import os
import resource
import signal
import sys
import threading
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Protocol, cast

import msgspec
import structlog

from fleetlab.plan import Message, Plan
from fleetlab.results import Role

STOP_TIMEOUT_S = 5.0  # for a part to finish after it is asked to stop
# by role: metrics of protocol violations by routers in requests or responses, which are noted unless 0
VIOLATIONS = {"clients": ("foreign", "unasked"), "caches": ("syntax", "writes"), "origin": ("malformed",)}


class PartModule(Protocol):
    """The interface of each part's module."""

    async def run(
        self, plan: Plan, ready: Callable[[], None], schedule_start: Awaitable[float], ended: asyncio.Event
    ) -> dict[str, Role]:
        """Play the part and return its roles.

        Calls `ready` when it listens, begins at `schedule_start` (Unix time), and returns some time after the
        schedule or when `ended` is set.
        """


class ScheduleStart(msgspec.Struct):
    """The runner's message that announces when the schedule begins."""

    unix_time: float = msgspec.field(name="began")


def load_part(plan: Plan) -> PartModule:
    """Import the part's module, the only one of them that this process loads."""
    name = "fleetlab.hollow" if plan.part == "hollow" else f"fleetlab.standins.{plan.part}"
    return cast(PartModule, importlib.import_module(name))


def log_to_stderr() -> None:
    """Log one JSON object per line, from the standard library's loggers as well."""
    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso"),
        structlog.processors.format_exc_info,
    ]
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(),
        ],
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(handlers=[handler], level=logging.INFO, force=True)
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
    )


def send_message(message: Message) -> None:
    """Print a message for the runner; a runner that has exited is ignored."""
    with suppress(BrokenPipeError):
        sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
        sys.stdout.buffer.flush()


def violations_note(roles: dict[str, Role]) -> str:
    """Return a note of protocol violations by routers, which no experiment causes; empty without any."""
    found = [
        f"{name}: {metrics[metric].count or metrics[metric].value:g} {metric}"
        for name, violations in VIOLATIONS.items()
        if name in roles
        for metrics in [roles[name].metrics]
        for metric in violations
        if metric in metrics and metrics[metric].value
    ]
    return "; ".join(found)


async def play_part(plan: Plan) -> None:
    """Play the plan's part, with the runner at standard input and output."""
    loop = asyncio.get_running_loop()
    schedule_start: asyncio.Future[float] = loop.create_future()
    ended = asyncio.Event()

    def receive(line: bytes) -> None:
        if not schedule_start.done():
            schedule_start.set_result(msgspec.json.decode(line, type=ScheduleStart).unix_time)

    def read_stdin() -> None:
        rest = b""
        # unbuffered: the interpreter can't shut down a buffered reader while a thread reads from it
        while data := os.read(0, 4096):
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                loop.call_soon_threadsafe(receive, line)
        with suppress(RuntimeError):  # the loop is closed
            loop.call_soon_threadsafe(ended.set)

    # a daemon thread, as standard input may be a regular file or a terminal instead of a pipe
    threading.Thread(target=read_stdin, daemon=True).start()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    part = asyncio.ensure_future(
        cast(
            "Awaitable[dict[str, Role]]",
            load_part(plan).run(plan, lambda: send_message(Message(ready=True)), schedule_start, ended),
        )
    )
    end = asyncio.create_task(ended.wait())
    await asyncio.wait({part, end}, return_when=asyncio.FIRST_COMPLETED)
    end.cancel()
    if not part.done():
        await asyncio.wait({part}, timeout=STOP_TIMEOUT_S)
    roles: dict[str, Role] = {}
    note = ""
    if part.done():
        roles = part.result()
        note = violations_note(roles)
    else:
        part.cancel()
        note = f"{plan.part} did not stop within {STOP_TIMEOUT_S} s"
    send_message(Message(roles=roles, note=note))


def main(arguments: list[str]) -> int:
    """Read the plan and play it. Returns the exit code: 2 for a wrong command line."""
    log_to_stderr()
    log = structlog.get_logger("worker")
    if len(arguments) != 1:
        log.error("expected the plan's file as the only argument")
        return 2
    plan = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=Plan)
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    log.info("worker started", part=plan.part, hollow=len(plan.hollow), descriptors=limit)
    asyncio.run(play_part(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
