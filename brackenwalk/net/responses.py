"""The responses of one client connection, which are sent in the order of its commands."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

# Limit on the bytes of complete responses that share a slot. A slot of its own for each short response would
# take far more memory than the response.
MAX_MERGED_BYTES = 4096


@dataclass(slots=True, eq=False)
class Slot:
    """A command's place in the order of responses."""

    request_id: str | None = None
    response: bytes | None = None


class ResponseQueue:
    """The places of commands whose responses are outstanding, or wait for outstanding ones before them."""

    def __init__(self) -> None:
        self.slots: deque[Slot] = deque()
        self.waiting_bytes = 0  # of complete responses

    def __len__(self) -> int:
        """Return the number of slots. There is none if no response is outstanding."""
        return len(self.slots)

    def add_slot(self) -> Slot:
        """Return the slot of a new command, which is the last."""
        slot = Slot()
        self.slots.append(slot)
        return slot

    def complete(self, slot: Slot, response: bytes) -> None:
        """Set the response of a slot."""
        slot.response = response
        self.waiting_bytes += len(response)

    def add_response(self, response: bytes) -> None:
        """Add a complete response as the last one, in the slot before it if that is complete and short."""
        last = self.slots[-1] if self.slots else None
        if last is None or last.response is None or len(last.response) >= MAX_MERGED_BYTES:
            self.complete(self.add_slot(), response)
            return
        last.response += response
        self.waiting_bytes += len(response)

    def take_ready(self) -> Iterator[bytes]:
        """Remove and yield the complete responses that no outstanding one precedes."""
        while self.slots and (ready := self.slots[0].response) is not None:
            self.slots.popleft()
            self.waiting_bytes -= len(ready)
            yield ready

    def is_next(self, slot: Slot) -> bool:
        """Return whether no response precedes that of a slot."""
        return bool(self.slots) and self.slots[0] is slot

    def take_open_requests(self) -> list[str]:
        """Drop all slots, and return the ids of the requests whose responses are outstanding."""
        slots, self.slots = self.slots, deque()
        return [s.request_id for s in slots if s.response is None and s.request_id is not None]
