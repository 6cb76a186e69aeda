"""`python -m fleetlab.worker PLANFILE`: one process of an experiment, told what to be by its plan."""

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

GRACE = 5.0  # seconds for a part to come to its end once it is told to
# measures of answers that no router should give; more than none goes into the note
WRONG = {"clients": ("foreign", "unasked"), "caches": ("syntax", "writes"), "origin": ("malformed",)}


class Part(Protocol):
    """What each part's module has."""

    async def run(
        self, plan: Plan, ready: Callable[[], None], began: Awaitable[float], ended: asyncio.Event
    ) -> dict[str, Role]:
        """Play the part; `ready` when listening, begin at `began`, end after the schedule or when `ended`."""


class Began(msgspec.Struct):
    """The line that tells when the schedule begins, in Unix time."""

    began: float


def module_of(plan: Plan) -> Part:
    """The part's module, the only one that this process loads."""
    name = "fleetlab.hollow" if plan.part == "hollow" else f"fleetlab.standins.{plan.part}"
    return cast(Part, importlib.import_module(name))


def log_to_stderr() -> None:
    """One JSON object a line, from the standard library's loggers as well."""
    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso"),
        structlog.processors.format_exc_info,
    ]
    form = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(),
        ],
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(form)
    logging.basicConfig(handlers=[handler], level=logging.INFO, force=True)
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
    )


def say(message: Message) -> None:
    """Print a line for the runner."""
    with suppress(BrokenPipeError):
        sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
        sys.stdout.buffer.flush()


def note_of(roles: dict[str, Role]) -> str:
    """What went wrong in a way that no experiment asks for."""
    found = [
        f"{name}: {metrics[measure].count or metrics[measure].value:g} {measure}"
        for name, measures in WRONG.items()
        if name in roles
        for metrics in [roles[name].metrics]
        for measure in measures
        if measure in metrics and metrics[measure].value
    ]
    return "; ".join(found)


async def work(plan: Plan) -> None:
    """Play the plan's part, with the runner at standard input and output."""
    loop = asyncio.get_running_loop()
    began: asyncio.Future[float] = loop.create_future()
    ended = asyncio.Event()

    def told(line: bytes) -> None:
        if not began.done():
            began.set_result(msgspec.json.decode(line, type=Began).began)

    def listen() -> None:
        held = b""
        # read without a buffer: one that a thread is reading from can't be shut down with the interpreter
        while data := os.read(0, 4096):
            *lines, held = (held + data).split(b"\n")
            for line in lines:
                loop.call_soon_threadsafe(told, line)
        with suppress(RuntimeError):  # the loop has ended
            loop.call_soon_threadsafe(ended.set)

    # a thread, as standard input may be a file or a terminal; it ends with the process
    threading.Thread(target=listen, daemon=True).start()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    part = asyncio.ensure_future(
        cast(
            "Awaitable[dict[str, Role]]",
            module_of(plan).run(plan, lambda: say(Message(ready=True)), began, ended),
        )
    )
    end = asyncio.create_task(ended.wait())
    await asyncio.wait({part, end}, return_when=asyncio.FIRST_COMPLETED)
    end.cancel()
    if not part.done():
        await asyncio.wait({part}, timeout=GRACE)
    roles: dict[str, Role] = {}
    note = ""
    if part.done():
        roles = part.result()
        note = note_of(roles)
    else:
        part.cancel()
        note = f"{plan.part} did not end in {GRACE} s"
    say(Message(roles=roles, note=note))


def main(arguments: list[str]) -> int:
    """Read the plan and play it; 2 for a wrong command line."""
    log_to_stderr()
    log = structlog.get_logger("worker")
    if len(arguments) != 1:
        log.error("the only argument is the plan's file")
        return 2
    plan = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=Plan)
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    log.info("begins", part=plan.part, hollow=len(plan.hollow), descriptors=most)
    asyncio.run(work(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
