"""Changes that wait at the primary, in a queue bounded by count and by bytes.

One change is in flight at a time. Under many changes, or while a commit waits for a copy, the others would
pile up until their callers time out. A change that does not fit is rejected before any work is done for it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rookwood.coordination.outcomes import Declined

Change = Callable[[bytes], bytes | Declined]

MAX_WAITING_CHANGES = 64
"""A change took 30 to 60 ms under load, so 64 changes take about 3 s, after which a caller times out."""

MAX_WAITING_BYTES = 16 << 20
"""Room for 64 configurations of 256 KB (1,480 routes each); a control machine has 296 MB of memory."""


@dataclass(frozen=True)
class Proposal:
    """A waiting change, and the bytes of memory that it occupies while it waits."""

    ticket: int
    change: Change
    size: int = 0


class ProposalQueue:
    """The waiting changes, in the order in which they are to be made."""

    def __init__(self) -> None:
        self._proposals: deque[Proposal] = deque()
        self._size = 0

    def __bool__(self) -> bool:
        return bool(self._proposals)

    def __len__(self) -> int:
        return len(self._proposals)

    def has_room(self, size: int) -> bool:
        """Return whether a change of this size fits; an empty queue accepts a change of any size."""
        if not self._proposals:
            return True
        return len(self._proposals) < MAX_WAITING_CHANGES and self._size + size <= MAX_WAITING_BYTES

    def append(self, proposal: Proposal) -> None:
        """Add a change to the end of the queue."""
        self._proposals.append(proposal)
        self._size += proposal.size

    def pop_next(self) -> Proposal:
        """Remove and return the change that waited longest."""
        proposal = self._proposals.popleft()
        self._size -= proposal.size
        return proposal

    def remove(self, ticket: int) -> None:
        """Remove the change of a call that timed out, if it still waits."""
        for proposal in self._proposals:
            if proposal.ticket == ticket:
                self._proposals.remove(proposal)
                self._size -= proposal.size
                return

    def pop_all(self) -> list[Proposal]:
        """Remove and return all waiting changes."""
        waiting = list(self._proposals)
        self._proposals.clear()
        self._size = 0
        return waiting
