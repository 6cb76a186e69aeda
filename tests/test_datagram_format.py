"""The bytes of the datagrams between routers, which routers of other versions have to read."""

import pytest

from brackenwalk.demand import Demand
from brackenwalk.peer_message import encode_message
from brackenwalk.ring import ring_hash, virtual_nodes

# Written by version 0.1.0 at commit c1fa836: digest (4 bytes), time sent, total of requests, number of keys,
# then each key with its count (300 is sent as 255), then the ids of unhealthy servers.
KEYS_AND_SERVERS = bytes.fromhex("1151a2a430390007020a0b0c0d03fffffffeff11223344")
SERVERS_ALONE = bytes.fromhex("92ceeb7d11700000000000000100000002")  # 700 s: the time sent has wrapped round
FROM_REQUESTS = bytes.fromhex("beff448103e800030200000005020000000901deadbeef")


def test_a_datagram_keeps_its_bytes() -> None:
    keys = [(0x0A0B0C0D, 3), (0xFFFFFFFE, 300)]
    assert encode_message(7, keys, [0x11223344], 123.456) == KEYS_AND_SERVERS
    assert encode_message(0, [], [1, 2], 700.0) == SERVERS_ALONE


def test_requests_counted_are_sent_with_the_same_bytes() -> None:
    demand = Demand(1.0, 2.0)
    for key in (5, 5, 9):
        demand.add(key)
    assert demand.next_message([0xDEADBEEF], True, 10.0) == FROM_REQUESTS


@pytest.mark.parametrize(
    ("message", "now", "servers", "counts", "total"),
    [
        (KEYS_AND_SERVERS, 123.456, {0x11223344}, {0x0A0B0C0D: 3, 0xFFFFFFFE: 255}, 7),
        (SERVERS_ALONE, 700.0, {1, 2}, {}, 0),
        (FROM_REQUESTS, 10.0, {0xDEADBEEF}, {5: 2, 9: 1}, 3),
    ],
)
def test_a_datagram_of_an_earlier_version_is_read(
    message: bytes, now: float, servers: set[int], counts: dict[int, int], total: int
) -> None:
    demand = Demand(1.0, 2.0)
    assert demand.receive(message, now) == servers
    assert demand.history.counts == counts and demand.history.total == total
    assert demand.invalid == demand.stale == 0


def test_hashes_that_routers_share_keep_their_values() -> None:
    assert ring_hash("k1")[0] == 4561536895898376437  # the upper half names the key in a datagram
    assert ring_hash("s-5be2a07c")[0] >> 32 == 2682598551  # names the server
    assert virtual_nodes("cache-1", 2) == (12193493381614432145, 726921793511857525)
