"""What a router holds on behalf of others, counted by kind and written to the log."""

from __future__ import annotations

import asyncio
import logging
import resource
from dataclasses import asdict, dataclass

from brackenwalk.net.host import Host
from brackenwalk.net.listener import Listener
from brackenwalk.net.pool import Pool
from brackenwalk.net.turns import TurnSelector

REPORT_INTERVAL_S = 10.0
KIB_PER_MIB = 1024
log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Usage:
    """Numbers and bytes of what a router holds at one moment."""

    open_requests: int  # without a final answer
    answered_requests: int  # in the table until their attempts have ended
    request_bytes: int  # keys and values of the open requests
    recent_ids: int  # of requests that have ended
    attempts: int  # in flight
    clients: int  # connections, including lingering ones
    input_bytes: int  # received from clients and not processed
    unsent_bytes: int  # responses that clients have not read
    server_connections: int  # to cache servers and origins, including idle ones
    servers: int  # listed
    counted_keys: int  # keys with a request count, own or from peers
    peak_mib: int  # the largest resident memory of the process so far

    def __str__(self) -> str:
        """Return the fields as `name=value`, separated by spaces."""
        return " ".join(f"{name}={value}" for name, value in asdict(self).items())


def measure(host: Host, listener: Listener, pools: tuple[Pool, ...]) -> Usage:
    """Count what a router holds now."""
    tracked = host.requests.values()
    clients = (*listener.connections, *listener.lingering)
    demand = host.router.demand
    return Usage(
        open_requests=sum(not t.closed for t in tracked),
        answered_requests=sum(t.closed for t in tracked),
        request_bytes=sum(t.command.size for t in tracked if t.command is not None),
        recent_ids=len(host.recent_ids),
        attempts=sum(len(t.attempts) for t in tracked),
        clients=len(clients),
        input_bytes=sum(len(c.input) for c in clients),
        unsent_bytes=sum(c.unsent_bytes() for c in clients),
        server_connections=sum(len(p.connections) for p in pools),
        servers=len(host.members),
        counted_keys=len(demand.history.counts) + len(demand.recent.counts) + len(demand.unsent),
        peak_mib=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIB_PER_MIB,
    )


class UsageReport:
    """Logs the usage of a router at regular intervals until it is closed."""

    def __init__(
        self, host: Host, listener: Listener, pools: tuple[Pool, ...], turns: TurnSelector | None = None
    ) -> None:
        self.turns = turns  # of the event loop, if they are measured
        self.host = host
        self.listener = listener
        self.pools = pools
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the next log line."""
        self.timer = asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self._report)

    def _report(self) -> None:
        self._log()
        self.start()

    def _log(self) -> None:
        longest_turn_ms = 1000 * self.turns.take_longest() if self.turns is not None else 0.0
        usage = measure(self.host, self.listener, self.pools)
        log.info("usage: %s longest_turn_ms=%.1f", usage, longest_turn_ms)

    def close(self) -> None:
        """Stop, with a last log line."""
        if self.timer is not None:
            self.timer.cancel()
        self._log()
