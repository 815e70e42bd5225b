"""What a dispatcher knows of the others of its site: how many there are, and who does what alone.

By default a fixed number, and nobody does anything alone. Whatever knows better takes the place of these.
Rules that all dispatchers keep together (the cold budget, the ledger's vouching) go by the fixed number in
any case: a member that is taken for dead may live, and goes on spending its part.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class DispatcherGroup:
    configured_count: int  # dispatchers, by the platform's settings
    count_alive: Callable[[], int] | None = None
    # Of a duty: True, it is held here; False, by another; None, nobody is known to hold it.
    holds_duty: Callable[[str], bool | None] = lambda duty: None
    # A store that lives on the dispatchers of the site, and takes their links: `replicas.peers.PeersStore`.
    member_store: Any = None

    @property
    def count(self) -> int:
        return max(1, self.count_alive()) if self.count_alive else self.configured_count
