"""Shares of the memory limit for what clients and servers can make a router hold."""

from __future__ import annotations

from dataclasses import dataclass

MIB = 1 << 20
PROGRAM_MIB = 32  # the interpreter, the program and the list of a usual fleet
USED_SHARE = 0.5  # of the rest: allocators round sizes up and keep what is freed
LEAST_SHARE = 1 / 8  # of the memory limit, where the program leaves little
REQUEST_SHARE, READ_AHEAD_SHARE, INPUT_SHARE, SERVER_SHARE, UNSENT_SHARE = 5 / 16, 1 / 16, 1 / 8, 1 / 4, 1 / 4
RECENT_ID_SHARE = 1 / 64  # of the memory limit
RECENT_ID_BYTES = 256  # an id of 64 bytes with its entry
MIN_RECENT_IDS = 1024
SERVERS_PER_MIB = 64  # listed servers for each MiB of the memory limit
MIN_SERVERS = 4096
LIST_BYTES_PER_SERVER = 512  # of an indented list


class TooManyServersError(ValueError):
    """A server list that does not fit the memory limit; the message names the numbers and the remedy."""

    def __init__(self, servers: int, limit: int) -> None:
        super().__init__(f"{servers} servers listed, memory_mb allows {limit}: raise it, or list fewer")


@dataclass(slots=True, frozen=True)
class MemoryLimits:
    """The most that a router holds of each kind, in bytes where no other unit is given."""

    open_requests: int
    client_input: int  # received from clients and not a whole command yet
    read_ahead: int  # received behind commands that wait for their turn
    server_input: int  # received from cache servers and origins and not a whole response yet
    unsent_responses: int  # not read by their clients
    recent_ids: int  # number of ids
    servers: int  # number of listed servers
    list_bytes: int  # of a response of discovery


def limits_for(memory_mb: float) -> MemoryLimits:
    """Divide a router's memory limit, in MB, among the kinds."""
    servers = max(MIN_SERVERS, int(SERVERS_PER_MIB * memory_mb))
    held = MIB * max(LEAST_SHARE * memory_mb, USED_SHARE * (memory_mb - PROGRAM_MIB))
    return MemoryLimits(
        open_requests=int(REQUEST_SHARE * held),
        client_input=int(INPUT_SHARE * held),
        read_ahead=int(READ_AHEAD_SHARE * held),
        server_input=int(SERVER_SHARE * held),
        unsent_responses=int(UNSENT_SHARE * held),
        recent_ids=max(MIN_RECENT_IDS, int(RECENT_ID_SHARE * memory_mb * MIB / RECENT_ID_BYTES)),
        servers=servers,
        list_bytes=LIST_BYTES_PER_SERVER * servers,
    )


class ByteCount:
    """Counts the bytes that many connections hold of one kind, against a limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0

    def change(self, difference: int) -> None:
        """Add the difference between what a connection holds and what it held before."""
        self.held += difference

    def exceeded(self) -> bool:
        """Return whether more is held than the limit."""
        return self.held > self.limit


DEFAULT_MEMORY_MB = 192.0
DEFAULT_LIMITS = limits_for(DEFAULT_MEMORY_MB)
