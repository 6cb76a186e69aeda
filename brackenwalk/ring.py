"""The ring: weighted virtual nodes, and the walk clockwise over them."""

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
    """Positions on the ring: a key takes the first, a server all of them."""
    return struct.unpack(">8Q", hashlib.blake2b(text.encode()).digest())


def virtual_nodes(server: str, count: int) -> tuple[int, ...]:
    """The first virtual nodes of a server; more weight adds to them and moves none."""
    return tuple(p for j in range(math.ceil(count / 8)) for p in ring_hash(f"{server}-vnode-{j}"))[:count]


def without(items: T, indices: list[int]) -> T:
    """All items but those at some indices, which ascend."""
    left, at = items[:0], 0
    for index in indices:
        left += items[at:index]
        at = index + 1
    left += items[at:]
    return left


def merged(items: T, places: list[int], others: list[Any]) -> T:
    """Items with others put in, each before the item at its place; the places ascend."""
    both, at = items[:0], 0
    for place, other in zip(places, others, strict=True):
        both += items[at:place]
        both.append(other)
        at = place
    both += items[at:]
    return both


class Ring(Generic[S]):
    """Who owns which points, each with a rank among its owner's."""

    def __init__(self) -> None:
        self.nodes_by_owner: dict[S, array[int]] = {}
        self.previous_nodes: dict[S, array[int]] = {}  # since the ring was settled, and what it held then
        self.positions: array[int] = array("Q")  # in the order of the walk, as are owners and ranks
        self.owners: list[S] = []
        self.ranks: array[float] = array("f")

    def set_virtual_nodes(self, owner: S, name: str, count: int) -> None:
        """Give an owner its points; `apply_changes` makes them count."""
        held = self.nodes_by_owner.get(owner, array("Q"))
        if count == len(held):
            return
        self.previous_nodes.setdefault(owner, held)
        self.nodes_by_owner[owner] = array("Q", virtual_nodes(name, count))
        if not count:
            del self.nodes_by_owner[owner]

    def apply_changes(self) -> None:
        """Take what was placed into the order of the walk; what stays between is copied in whole pieces."""
        if not self.previous_nodes:
            return
        leave = sorted(self._index(p, owner) for owner, held in self.previous_nodes.items() for p in held)
        positions = without(self.positions, leave)
        points, owners, ranks = array("Q"), list[S](), array("f")
        for owner in self.previous_nodes:
            held = self.nodes_by_owner.get(owner, array("Q"))
            points += held
            owners += [owner] * len(held)
            ranks.extend((j + 0.5) / len(held) for j in range(len(held)))
        order = sorted(range(len(points)), key=points.__getitem__)
        places = [bisect_left(positions, points[i]) for i in order]
        self.positions = merged(positions, places, [points[i] for i in order])
        self.owners = merged(without(self.owners, leave), places, [owners[i] for i in order])
        self.ranks = merged(without(self.ranks, leave), places, [ranks[i] for i in order])
        self.previous_nodes.clear()

    def _index(self, position: int, owner: S) -> int:
        """Where an owner's point stands; two owners' points may fall together."""
        index = bisect_left(self.positions, position)
        while self.owners[index] != owner:
            index += 1
        return index

    def owner_at(self, position: int) -> S:
        """The owner of the first point from a position on; IndexError where there is none."""
        return self.owners[bisect_left(self.positions, position) % len(self.positions)]

    def clockwise(self, position: int, most: int) -> Iterator[tuple[S, float]]:
        """The owners of the points from a position on, and the rank of each point."""
        start, points = bisect_left(self.positions, position), len(self.positions)
        for step in range(start, start + min(most, points)):
            yield self.owners[step % points], self.ranks[step % points]
