"""Decides which connections a listener keeps: within its share of descriptors and the memory budget."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from rookwood.httpserver.limits import ListenerLimits
from rookwood.memory_budget import MemoryBudget

if TYPE_CHECKING:
    from rookwood.httpserver.connection import BoundedConnection

EVICTED_SHARE = 1 / 32  # of the connections, which are closed together where one more would be too many


class Admission:
    """Counts the connections of one listener, and closes idle ones where room is needed."""

    def __init__(self, limits: ListenerLimits, budget: MemoryBudget) -> None:
        self.limits = limits
        self.budget = budget
        self.on_room: Callable[[], None] = lambda: None
        self.evicted = 0  # connections, since the start of the process
        self._accepted = 0
        self._open: set[BoundedConnection] = set()

    @property
    def most(self) -> int:
        """How many connections there may be, by descriptors and by memory."""
        return min(self.limits.connections, self.budget.connections)

    def accept(self) -> bool:
        """Count a connection that is about to be accepted; False if there is no room for it now."""
        if self._accepted >= self.most:
            self._evict()
            return False
        self._accepted += 1
        return True

    def cancel(self) -> None:
        """Forget a connection that was counted and could not be accepted."""
        self._accepted -= 1

    def opened(self, connection: BoundedConnection) -> None:
        """A counted connection is open."""
        self._open.add(connection)

    def closed(self, connection: BoundedConnection) -> None:
        """An open connection has ended."""
        if connection in self._open:
            self._open.discard(connection)
            self.cancel()
            self.on_room()

    def _evict(self) -> None:
        """Close idle connections: first those that sent no request, those that are still for longest."""
        idle = [connection for connection in self._open if connection.is_awaiting_request]
        idle.sort(key=lambda connection: connection.eviction_order)
        for connection in idle[: max(1, int(self._accepted * EVICTED_SHARE))]:
            self.evicted += 1
            connection.abort()
