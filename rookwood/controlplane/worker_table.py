"""The control plane's table of workers, from heartbeats received here and the feeds of other machines."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from dataclasses import replace

from rookwood.cluster.messages import WorkerGone, WorkerUpdates
from rookwood.cluster.view import ClusterView
from rookwood.cluster.workers import MAX_DELETED, HeldModel, HoldingStamp, PresenceChange, WorkerRecord

TIMEOUT_HEARTBEATS = 3.4  # heartbeat intervals after which a worker has timed out here
MAX_DEREGISTERED_SENT = MAX_DELETED  # in the initial messages of a link: all, as the receiver may be empty


class Audience(enum.Enum):
    """The subscribers to which an update on workers is sent."""

    DISPATCHERS = enum.auto()  # those that this machine feeds
    CONTROL_MACHINES = enum.auto()
    ALL = enum.auto()


class WorkerTable:
    """Merges the heartbeats received here with the feeds of the other control machines.

    Other control machines are sent only the workers whose heartbeats arrive here. Otherwise two machines
    could keep a worker that has timed out by reporting it to each other.
    """

    def __init__(self, view: ClusterView, own_ip: str, heartbeat_interval: float, publish: Publish) -> None:
        self._view = view
        self._own_ip = own_ip
        self._heartbeat_timeout = TIMEOUT_HEARTBEATS * heartbeat_interval
        self._publish = publish
        self._last_heartbeats: dict[str, float] = {}
        view.link_opened(own_ip)

    def restore(self, changes: Iterable[PresenceChange]) -> None:
        """Apply the drains and deregistrations that were stored before this process started."""
        registry = self._view.registry
        for change in changes:
            if change.deleted:
                registry.delete(change.worker)
            else:
                registry.mark_draining(change.worker)

    def was_deleted(self, worker: str) -> bool:
        """Whether the worker has deregistered."""
        return self._view.registry.was_deleted(worker)

    def record_heartbeat(self, record: WorkerRecord, now: float) -> bool:
        """Record a heartbeat; returns whether it changed anything, which was then published to all."""
        if self._view.registry.was_deleted(record.id):
            return False
        is_new = record.id not in self._last_heartbeats
        self._last_heartbeats[record.id] = now
        before = self._view.registry.get(record.id)
        self._view.message_received(self._own_ip, WorkerUpdates((record,), complete=False), now)
        after = self._view.registry.get(record.id)
        if after is None:
            return False
        if is_new or before is None or replace(after, sequence=before.sequence) != before:
            self._publish(WorkerUpdates((after,), complete=False), Audience.ALL)
            return True
        return False

    def deregister(self, worker: str, now: float) -> bool:
        """Record that a worker deregistered; returns whether that was new, and then published to all."""
        self._last_heartbeats.pop(worker, None)
        if self._view.registry.was_deleted(worker):
            return False
        gone = WorkerGone(worker, deleted=True)
        self._view.message_received(self._own_ip, gone, now)
        self._publish(gone, Audience.ALL)
        return True

    def republish(self, worker: str) -> None:
        """Publish the record of a worker, or its deregistration, to all subscribers again."""
        known = self._view.registry.get(worker)
        if known is not None:
            self._publish(WorkerUpdates((known,), complete=False), Audience.ALL)
        elif self.was_deleted(worker):
            self._publish(WorkerGone(worker, deleted=True), Audience.ALL)

    def set_holding(self, worker: str, models: tuple[HeldModel, ...], stamp: HoldingStamp) -> None:
        """Record which weights a worker holds, from a report that the load scheduler has read."""
        known = self._view.registry.get(worker)
        if known is None:
            return
        changed = self._view.registry.merge(replace(known, models=models, holding=stamp))
        if changed is not None and changed.models != known.models:
            self._publish(WorkerUpdates((changed,), complete=False), Audience.ALL)

    def expire(self, now: float) -> None:
        """Remove workers whose heartbeats timed out, and publish the removals.

        A worker may send its next heartbeats to another control machine. The other machines are therefore
        informed at once that it timed out here. A dispatcher has only this machine as its source, so it is
        informed only when no machine reports the worker any more.
        """
        timed_out = [
            worker for worker, last in self._last_heartbeats.items() if now - last > self._heartbeat_timeout
        ]
        for worker in timed_out:
            del self._last_heartbeats[worker]
            gone = WorkerGone(worker, deleted=False)
            self._view.message_received(self._own_ip, gone, now)
            self._publish(gone, Audience.CONTROL_MACHINES)
        for worker in self._view.remove_unreported_workers(now):
            self._publish(WorkerGone(worker, deleted=False), Audience.DISPATCHERS)

    def all_workers(self) -> WorkerUpdates:
        """All known workers, for a new subscriber that is a dispatcher."""
        return self._complete_list(tuple(self._view.registry))

    def reported_here(self) -> WorkerUpdates:
        """The workers whose heartbeats arrive here, for a new subscriber that is a control machine."""
        records: Iterable[WorkerRecord | None] = (
            self._view.registry.get(worker) for worker in self._last_heartbeats
        )
        return self._complete_list(tuple(record for record in records if record is not None))

    def _complete_list(self, records: tuple[WorkerRecord, ...]) -> WorkerUpdates:
        """The workers to send, and all drains and deregistrations, which the subscriber may have missed."""
        registry = self._view.registry
        return WorkerUpdates(records, complete=True, ended=registry.deleted, draining=registry.drained)


Publish = Callable[[WorkerUpdates | WorkerGone, Audience], None]
"""Publishes an update on workers to the subscribers of the audience."""
