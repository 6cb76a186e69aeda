"""What a ring holds, as tests compare it."""

from __future__ import annotations

from brackenwalk.node_segments import (
    INDEX_BITS,
    INDEX_MASK,
    POSITION_MASK,
    SEGMENT_BITS,
    SEGMENT_SHIFT,
    SLOT_MASK,
)
from brackenwalk.ring import Ring

CUT_MASK = POSITION_MASK >> SEGMENT_BITS | ((1 << SEGMENT_BITS) - 1) << SEGMENT_SHIFT


def cut(position: int) -> int:
    """Return the part of a position that the ring keeps."""
    return position & CUT_MASK


def nodes_in_use(ring: Ring) -> list[tuple[int, str, float]]:
    """Return position, owner and rank of each node that counts, in the order in which the ring has them."""
    found = []
    for number, segment in enumerate(ring.nodes.segments):
        for node in segment:
            slot = node >> INDEX_BITS & SLOT_MASK
            owner = ring.owners[slot]
            if owner is not None:
                position = number << SEGMENT_SHIFT | (node & POSITION_MASK) >> SEGMENT_BITS
                found.append((position, owner, ((node & INDEX_MASK) + 0.5) / ring.counts[slot]))
    return found


def work_off(ring: Ring) -> None:
    """Take all steps that are left."""
    while ring.has_work():
        ring.step(1 << 30)
