"""Changes that wait for the primary: a queue that is bounded by count and by bytes.

One change is in flight at a time. Under many changes, or while a copy is awaited, the others would pile up
until their callers give up. What finds no room is refused before anything was done for it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rookwood.coordination.outcomes import Declined

Change = Callable[[bytes], bytes | Declined]

MAX_WAITING_CHANGES = 64
"""A change took 30 to 60 ms under load, so 64 take about the 3 s after which a caller gives up."""

MAX_WAITING_BYTES = 16 << 20
"""64 whole configurations of 256 KB, which is one of 1,480 routes; a control machine has 296 MB in all."""


@dataclass(frozen=True)
class Proposal:
    """A change that waits for its turn, and the bytes that it keeps in memory meanwhile."""

    ticket: int
    change: Change
    size: int = 0


class ProposalQueue:
    """Changes in the order in which they are to be made."""

    def __init__(self) -> None:
        self._proposals: deque[Proposal] = deque()
        self._size = 0

    def __bool__(self) -> bool:
        return bool(self._proposals)

    def __len__(self) -> int:
        return len(self._proposals)

    def has_room(self, size: int) -> bool:
        """Tell whether a change of this size may wait; one of any size may wait alone."""
        if not self._proposals:
            return True
        return len(self._proposals) < MAX_WAITING_CHANGES and self._size + size <= MAX_WAITING_BYTES

    def append(self, proposal: Proposal) -> None:
        """Queue a change."""
        self._proposals.append(proposal)
        self._size += proposal.size

    def take(self) -> Proposal:
        """Remove and return the change that waited longest."""
        proposal = self._proposals.popleft()
        self._size -= proposal.size
        return proposal

    def remove(self, ticket: int) -> None:
        """Forget the change of a call that was given up."""
        for proposal in self._proposals:
            if proposal.ticket == ticket:
                self._proposals.remove(proposal)
                self._size -= proposal.size
                return

    def take_all(self) -> list[Proposal]:
        """Remove and return everything that waits."""
        waiting = list(self._proposals)
        self._proposals.clear()
        self._size = 0
        return waiting
