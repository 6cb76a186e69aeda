"""Consistent-hash ring of weighted virtual nodes that takes changes in steps, and the walk clockwise over it.

Nodes count only while their slot names an owner, so owners leave at once and join many at a time.
"""

from __future__ import annotations

import hashlib
import math
import struct
from array import array
from collections import deque
from collections.abc import Iterator

from brackenwalk.node_segments import INDEX_BITS, INDEX_MASK, SLOT_MASK, NodeSegments

SWEEP_DIVISOR = 4  # of the nodes in use: more without an owner are swept out, fewer cost a walk little


def ring_hash(text: str) -> tuple[int, ...]:
    """Return the eight 64-bit ring positions of a text: a key uses the first, a virtual-node name all."""
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def virtual_nodes(server: str, count: int) -> tuple[int, ...]:
    """Return the positions of a server's first `count` virtual nodes; a higher count only adds positions."""
    names = [f"{server}-vnode-{j}".encode() for j in range(math.ceil(count / 8))]
    digests = b"".join([hashlib.blake2b(name).digest() for name in names])
    return struct.unpack_from(f">{count}Q", digests)


class Ring:
    """Virtual nodes by position, each with its owner's name and its rank among the owner's nodes.

    The owners of one call of `place` come into use together, once `step` has done the work; those that had
    other nodes keep them until then.
    """

    def __init__(self) -> None:
        self.nodes = NodeSegments()
        self.owners: list[str | None] = []  # by slot; None: its nodes do not count
        self.counts: array[int] = array("B")  # of nodes, by slot
        self.slots: dict[str, int] = {}  # of the owners in use
        self.planned: dict[str, int] = {}  # number of nodes that an owner has once all work is done
        self.batches: deque[dict[str, int]] = deque()  # owners to place, with their node counts
        self.placed: dict[str, int] = {}  # slots of the first batch
        self.retired: list[int] = []  # slots whose owners have left
        self.free_slots: list[int] = []
        self.nodes_in_use = self.retired_nodes = 0
        self.work: Iterator[int] = iter(())  # yields how many nodes each part of the work has covered
        self.activated: list[str] = []

    def place(self, counts: dict[str, int]) -> None:
        """Give owners a number of virtual nodes from 1 to 128; takes effect in steps."""
        batch = {owner: count for owner, count in counts.items() if self.planned.get(owner) != count}
        self.planned |= batch
        if batch:
            self.batches.append(batch)

    def remove(self, owner: str) -> None:
        """Take an owner out of use at once."""
        self.planned.pop(owner, None)
        for batch in self.batches:
            batch.pop(owner, None)
        for slots in (self.placed, self.slots):
            if owner in slots:
                self._retire(slots.pop(owner))

    def has_work(self) -> bool:
        """Return whether `step` has anything to do."""
        return bool(self.batches) or SWEEP_DIVISOR * self.retired_nodes > self.nodes_in_use

    def step(self, nodes: int) -> list[str]:
        """Work on about so many virtual nodes, and return the owners that have come into use."""
        self.activated = []
        while nodes > 0 and not self.activated and self.has_work():
            part = next(self.work, None)
            if part is None and not self.activated:
                self.work = self._place_batch() if self.batches else self._sweep()
            nodes -= part or 0
        return self.activated

    def owner_at(self, position: int) -> str:
        """Return the owner of the first node from a position on, wrapping round; needs at least one node."""
        return next(self.clockwise(position, 1))[0]

    def clockwise(self, position: int, limit: int) -> Iterator[tuple[str, float]]:
        """Yield owner and rank of each node from a position on, wrapping round, for at most `limit` nodes.

        A rank is from 0 to 1: (index among the owner's nodes + 0.5) / count.
        """
        left = min(limit, self.nodes_in_use)  # so that a walk ends without passing all nodes that don't count
        for segment in self.nodes.clockwise(position):
            for node in segment:
                if not left:
                    return
                slot = node >> INDEX_BITS & SLOT_MASK
                owner = self.owners[slot]
                if owner is not None:
                    left -= 1
                    yield owner, ((node & INDEX_MASK) + 0.5) / self.counts[slot]
            if not left:
                return

    def _place_batch(self) -> Iterator[int]:
        """Place the first batch and put it in use."""
        yield from self._add_nodes(self.batches[0])
        self.batches.popleft()
        placed, self.placed, self.activated = self.placed, {}, list(self.placed)
        for owner, slot in placed.items():
            if owner in self.slots:
                self._retire(self.slots[owner])
            self.slots[owner], self.owners[slot] = slot, owner
            self.nodes_in_use += self.counts[slot]

    def _add_nodes(self, batch: dict[str, int]) -> Iterator[int]:
        """Add the nodes of a batch, which becomes empty, to the ring."""
        while batch:
            owner, count = batch.popitem()
            slot = self.placed[owner] = self._new_slot(count)
            self.nodes.add(slot, virtual_nodes(owner, count))
            yield count
        yield from self.nodes.merge()

    def _sweep(self) -> Iterator[int]:
        """Drop the nodes of retired slots, and free the slots."""
        slots, self.retired = self.retired, []
        yield from self.nodes.drop(slots)
        self.retired_nodes -= sum(self.counts[slot] for slot in slots)
        self.free_slots += slots

    def _new_slot(self, count: int) -> int:
        if self.free_slots:
            slot = self.free_slots.pop()
            self.counts[slot] = count
            return slot
        self.owners.append(None)
        self.counts.append(count)
        return len(self.owners) - 1

    def _retire(self, slot: int) -> None:
        self.nodes_in_use -= self.counts[slot] if self.owners[slot] is not None else 0
        self.retired_nodes += self.counts[slot]
        self.owners[slot] = None
        self.retired.append(slot)
