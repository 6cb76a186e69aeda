"""Consistent-hash ring of weighted virtual nodes, and the walk clockwise over it."""

from __future__ import annotations

import hashlib
import math
import struct
from array import array
from bisect import bisect_left
from collections.abc import Iterator
from typing import Any, Generic, TypeVar

S = TypeVar("S")
T = TypeVar("T", "array[int]", "array[float]", list[Any])


def ring_hash(text: str) -> tuple[int, ...]:
    """Return the eight 64-bit ring positions of a text: a key uses the first, a virtual-node name all."""
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def virtual_nodes(server: str, count: int) -> tuple[int, ...]:
    """Return the positions of a server's first `count` virtual nodes; a higher count only adds positions."""
    return tuple(p for j in range(math.ceil(count / 8)) for p in ring_hash(f"{server}-vnode-{j}"))[:count]


def remove_at(items: T, indices: list[int]) -> T:
    """Return a copy of the items without those at the given ascending indices."""
    kept, start = items[:0], 0
    for index in indices:
        kept += items[start:index]
        start = index + 1
    kept += items[start:]
    return kept


def insert_at(items: T, indices: list[int], inserted: list[Any]) -> T:
    """Return a copy of the items with others inserted, each before the item at its (ascending) index."""
    merged, start = items[:0], 0
    for index, item in zip(indices, inserted, strict=True):
        merged += items[start:index]
        merged.append(item)
        start = index
    merged += items[start:]
    return merged


class Ring(Generic[S]):
    """Virtual nodes sorted by position, each with its owner and its rank among the owner's nodes."""

    def __init__(self) -> None:
        self.nodes_by_owner: dict[S, array[int]] = {}  # positions, including changes not applied yet
        self.previous_nodes: dict[S, array[int]] = {}  # of changed owners: the positions still in the ring
        self.positions: array[int] = array("Q")  # ascending; owners and ranks are parallel to it
        self.owners: list[S] = []
        self.ranks: array[float] = array("f")  # from 0 to 1: (index among the owner's nodes + 0.5) / count

    def set_virtual_nodes(self, owner: S, name: str, count: int) -> None:
        """Set how many virtual nodes an owner has; takes effect with `apply_changes`."""
        current = self.nodes_by_owner.get(owner, array("Q"))
        if count == len(current):
            return
        self.previous_nodes.setdefault(owner, current)
        self.nodes_by_owner[owner] = array("Q", virtual_nodes(name, count))
        if not count:
            del self.nodes_by_owner[owner]

    def apply_changes(self) -> None:
        """Merge the changed owners' nodes into the sorted arrays; unchanged runs are copied as slices."""
        if not self.previous_nodes:
            return
        removed = sorted(self._index(p, owner) for owner, nodes in self.previous_nodes.items() for p in nodes)
        positions = remove_at(self.positions, removed)
        added, owners, ranks = array("Q"), list[S](), array("f")
        for owner in self.previous_nodes:
            nodes = self.nodes_by_owner.get(owner, array("Q"))
            added += nodes
            owners += [owner] * len(nodes)
            ranks.extend((j + 0.5) / len(nodes) for j in range(len(nodes)))
        order = sorted(range(len(added)), key=added.__getitem__)
        indices = [bisect_left(positions, added[i]) for i in order]
        self.positions = insert_at(positions, indices, [added[i] for i in order])
        self.owners = insert_at(remove_at(self.owners, removed), indices, [owners[i] for i in order])
        self.ranks = insert_at(remove_at(self.ranks, removed), indices, [ranks[i] for i in order])
        self.previous_nodes.clear()

    def _index(self, position: int, owner: S) -> int:
        """Return the index of an owner's node; nodes of several owners may share a position."""
        index = bisect_left(self.positions, position)
        while self.owners[index] != owner:
            index += 1
        return index

    def owner_at(self, position: int) -> S:
        """Return the owner of the first node from a position on, wrapping round; needs at least one node."""
        return self.owners[bisect_left(self.positions, position) % len(self.positions)]

    def clockwise(self, position: int, limit: int) -> Iterator[tuple[S, float]]:
        """Yield owner and rank of each node from a position on, wrapping round, for at most `limit` nodes."""
        start, count = bisect_left(self.positions, position), len(self.positions)
        for step in range(start, start + min(limit, count)):
            yield self.owners[step % count], self.ranks[step % count]
