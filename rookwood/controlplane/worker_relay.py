"""Tells the dispatchers that this machine feeds of changed workers, several at once.

Changes are heard here or come from the other control machines. Each is told once, encoded once, after it was
collected for a moment. That a worker drains is told at once, since it is acknowledged to the worker.
"""

from __future__ import annotations

from collections.abc import Callable

from rookwood.cluster.messages import WorkerUpdates
from rookwood.cluster.throttle import Throttle
from rookwood.cluster.workers import WorkerRecord, WorkerState

LEAST_INTERVAL = 0.05  # seconds between two frames; requests may wait for weights that a worker now holds


class WorkerRelay:
    """Collects workers and tells the newest that is known of each."""

    def __init__(
        self, find: Callable[[str], WorkerRecord | None], send: Callable[[WorkerUpdates], None]
    ) -> None:
        self._find = find
        self._send = send
        self._collected: dict[str, None] = {}
        self._throttle = Throttle(LEAST_INTERVAL, self._send_collected)

    def take(self, updates: WorkerUpdates) -> None:
        """Workers changed."""
        self._collected.update((record.id, None) for record in updates.records)
        if any(record.state is WorkerState.DRAINING for record in updates.records):
            self.flush()
        elif self._collected:
            self._throttle.request()

    def flush(self) -> None:
        """Tell now of all that were collected and are still known."""
        self._throttle.run()

    def _send_collected(self) -> None:
        found = [self._find(worker) for worker in self._collected]
        self._collected.clear()
        records = tuple(record for record in found if record is not None)
        if records:
            self._send(WorkerUpdates(records, complete=False))
