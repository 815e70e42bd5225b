"""What a dispatcher knows of the group of dispatchers of its site: their number and their duties.

By default the group has the configured number of dispatchers, and no duty has a single holder; an extension
that knows more replaces the callbacks. Limits that all dispatchers share (the budget for cold workers and the
ledger's vouching) are always divided by the configured number, since a member that is believed dead may be
alive and still use its share.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class DispatcherGroup:
    """The number of dispatchers, and who holds a duty."""

    configured_count: int  # from the platform's settings
    count_alive: Callable[[], int] | None = None
    # True if this dispatcher holds a duty, False if another one does, None if no holder is known.
    holds_duty: Callable[[str], bool | None] = lambda duty: None
    # The store that the dispatchers replicate over the links of the duties: a `replicas.peers.PeersStore`.
    member_store: Any = None

    @property
    def count(self) -> int:
        """The number of dispatchers that are alive, as far as known; at least 1."""
        return max(1, self.count_alive()) if self.count_alive else self.configured_count
