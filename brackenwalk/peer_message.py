"""The messages between routers: their binary format, and what is in them."""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass

DIGEST_BYTES = 4  # a damaged message does not match its digest
FORMAT_ID = b"told 2"  # part of the digest, so that routers of a version with another format skip the message
HEADER = struct.Struct(">HHB")  # time sent, number of all requests, number of key entries
TIMESTAMP_UNIT_S = 0.01  # the 16 bits of the time sent wrap round after eleven minutes
TIMESTAMP_RANGE = 1 << 16
SERVER_ID = struct.Struct(">I")  # hash of an unhealthy server's name; the ids follow the key entries
MAX_SERVERS = 24  # in a message
KEY_ENTRY = struct.Struct(">IB")  # a key's hash and its number of requests
MAX_COUNT = 255  # of requests in a key entry
MAX_KEYS = 30  # in a message; with MAX_SERVERS they fit into the 256 bytes that it may have


@dataclass(slots=True, frozen=True)
class PeerCounts:
    """What a message tells: request counts by key, and unhealthy servers."""

    sent_at: int  # timestamp, see `timestamp_of`
    total: int  # of the sender's requests since its previous message, those of other keys included
    keys: list[tuple[int, int]]  # 32 bits of each key's hash, and its number of requests
    unhealthy: set[int]  # ids of servers

    def age(self, now: float) -> float:
        """Return the seconds since the message was sent; negative if the sender's clock is ahead."""
        half = TIMESTAMP_RANGE // 2
        return ((timestamp_of(now) - self.sent_at + half) % TIMESTAMP_RANGE - half) * TIMESTAMP_UNIT_S


def with_digest(body: bytes) -> bytes:
    """Return the message that consists of a body and, in front of it, its digest."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES, person=FORMAT_ID).digest() + body


def timestamp_of(now: float) -> int:
    """Return a time in seconds as the 16 bits that a message carries."""
    return int(now / TIMESTAMP_UNIT_S) % TIMESTAMP_RANGE


def message_size(keys: int, servers: int) -> int:
    """Return the size in bytes of a message with numbers of keys and servers, as far as there is room."""
    entries = min(MAX_KEYS, keys) * KEY_ENTRY.size + min(MAX_SERVERS, servers) * SERVER_ID.size
    return DIGEST_BYTES + HEADER.size + entries


def encode_message(total: int, keys: list[tuple[int, int]], unhealthy: list[int], now: float) -> bytes:
    """Return a message with the total of requests, counts by key, and unhealthy servers.

    The message is empty if there are neither counts nor servers.
    """
    entries = [KEY_ENTRY.pack(key, min(MAX_COUNT, count)) for key, count in keys]
    servers = [SERVER_ID.pack(server) for server in unhealthy[:MAX_SERVERS]]
    header = HEADER.pack(timestamp_of(now), total, len(entries))
    return with_digest(b"".join((header, *entries, *servers))) if entries or servers else b""


def decode_message(message: bytes) -> PeerCounts | None:
    """Return what a message tells, or None if it is damaged or of another format."""
    body = message[DIGEST_BYTES:]
    if len(body) < HEADER.size or with_digest(body) != message:
        return None
    sent_at, total, count = HEADER.unpack_from(body)
    end = HEADER.size + count * KEY_ENTRY.size
    if len(body) < end or (len(body) - end) % SERVER_ID.size:
        return None
    keys = list(KEY_ENTRY.iter_unpack(body[HEADER.size : end]))
    return PeerCounts(sent_at, total, keys, {server for (server,) in SERVER_ID.iter_unpack(body[end:])})
