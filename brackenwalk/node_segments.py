"""A container of ring nodes in the order of their positions, which can be changed in small parts.

It is divided into segments by the high bits of a position. A segment is a sorted array of nodes, each packed
into 64 bits: the next bits of its position, the slot of its owner, and its index among the owner's nodes.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable, Iterator

SEGMENT_BITS, INDEX_BITS, SLOT_BITS = 8, 7, 21
SEGMENTS, INDEX_MASK, SLOT_MASK = 1 << SEGMENT_BITS, (1 << INDEX_BITS) - 1, (1 << SLOT_BITS) - 1
SEGMENT_SHIFT = 64 - SEGMENT_BITS
# The lowest bits of a position are cut off: in a ring of 400,000 nodes hardly ever do two share the others.
POSITION_MASK = (1 << 64) - (1 << INDEX_BITS + SLOT_BITS)
INSERT_DIVISOR = 8  # of a segment's nodes: fewer new ones are inserted one by one, others sorted in
INSERT_COST = 4  # nodes sorted in the time that inserting one takes


class NodeSegments:
    """Packed nodes; a slot is a number below 2**21, an index one below 128.

    Methods that take long are iterators, which yield after each part how many nodes it covered.
    """

    def __init__(self) -> None:
        self.segments: list[array[int]] = [array("Q") for _ in range(SEGMENTS)]
        self.added: defaultdict[int, array[int]] = defaultdict(lambda: array("Q"))  # unsorted, by segment

    def add(self, slot: int, positions: Iterable[int]) -> None:
        """Add the nodes of a slot, indexed in the order of their positions; they are found after `merge`."""
        for node, position in enumerate(positions, slot << INDEX_BITS):
            packed = position << SEGMENT_BITS & POSITION_MASK | node
            self.added[position >> SEGMENT_SHIFT].append(packed)

    def merge(self) -> Iterator[int]:
        """Sort all added nodes in."""
        while self.added:
            number, nodes = self.added.popitem()
            segment = self.segments[number]
            if INSERT_DIVISOR * len(nodes) < len(segment):
                for node in nodes:
                    insort(segment, node)
                yield INSERT_COST * len(nodes)
            else:
                self.segments[number] = array("Q", sorted(segment + nodes))
                yield len(segment) + len(nodes)

    def drop(self, slots: Iterable[int]) -> Iterator[int]:
        """Drop the nodes of some slots."""
        dropped = set(slots)
        for number, segment in enumerate(self.segments):
            kept = [node for node in segment if node >> INDEX_BITS & SLOT_MASK not in dropped]
            self.segments[number] = array("Q", kept)
            yield len(segment)

    def clockwise(self, position: int) -> Iterator[array[int]]:
        """Yield arrays of packed nodes from a position on, once round the ring."""
        number = position >> SEGMENT_SHIFT
        segment = self.segments[number]
        index = bisect_left(segment, position << SEGMENT_BITS & POSITION_MASK)
        yield segment[index:]
        for step in range(1, SEGMENTS):
            yield self.segments[(number + step) % SEGMENTS]
        yield segment[:index]
