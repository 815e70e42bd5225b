"""Relays changes of workers to the dispatchers that this machine feeds, in batches.

The changes come from heartbeats received here and from the other control machines. They are collected for a
moment, encoded once for all dispatchers, and sent once. A drain is sent at once, because it is acknowledged
to the worker.
"""

from __future__ import annotations

from collections.abc import Callable

from rookwood.cluster.messages import WorkerUpdates
from rookwood.cluster.throttle import Throttle
from rookwood.cluster.workers import WorkerRecord, WorkerState

MIN_INTERVAL = 0.05  # seconds between two frames; short, as requests may wait for weights just loaded


class WorkerRelay:
    """Collects changed workers, and sends the newest known record of each."""

    def __init__(
        self, find: Callable[[str], WorkerRecord | None], send: Callable[[WorkerUpdates], None]
    ) -> None:
        self._find = find
        self._send = send
        self._pending: dict[str, None] = {}
        self._draining: dict[str, None] = {}
        self._throttle = Throttle(MIN_INTERVAL, self._send_pending)

    def relay_updates(self, updates: WorkerUpdates) -> None:
        """Relay the workers in an update, with the next batch or, if one of them drains, at once."""
        self._pending.update((record.id, None) for record in updates.records)
        self._draining.update((worker, None) for worker in updates.draining)
        if self._draining or any(record.state is WorkerState.DRAINING for record in updates.records):
            self.flush()
        elif self._pending:
            self._throttle.request()

    def flush(self) -> None:
        """Send at once the records of the collected workers that are still known."""
        self._throttle.run()

    def _send_pending(self) -> None:
        found = [self._find(worker) for worker in self._pending | self._draining]
        records = tuple(record for record in found if record is not None)
        draining = tuple(self._draining)
        self._pending.clear()
        self._draining.clear()
        if records or draining:
            self._send(WorkerUpdates(records, complete=False, draining=draining))
