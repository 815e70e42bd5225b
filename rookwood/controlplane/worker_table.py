"""The control plane's worker registry: heartbeats heard here, and what other control machines tell."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from dataclasses import replace

from rookwood.cluster.messages import WorkerGone, WorkerUpdates
from rookwood.cluster.view import ClusterView
from rookwood.cluster.workers import HeldModel, HoldingStamp, WorkerRecord

SILENT_BEATS = 3.4  # a worker that misses this many heartbeats is taken for gone
TOLD_ENDS = 256  # farewells in a greeting; older ones are known to all that still hear of the worker


class Audience(enum.Enum):
    """Who is told of a worker."""

    DISPATCHERS = enum.auto()  # that this machine feeds
    CONTROL_MACHINES = enum.auto()
    ALL = enum.auto()


class WorkerTable:
    """Merges direct heartbeats with the feeds of the other control machines.

    Other control machines are told only of workers heard directly, so that two machines never keep a
    silent worker known by telling each other of it.
    """

    def __init__(self, view: ClusterView, own_ip: str, beat: float, publish: Publish) -> None:
        self._view = view
        self._own_ip = own_ip
        self._silence = SILENT_BEATS * beat
        self._publish = publish
        self._heard: dict[str, float] = {}
        view.link_opened(own_ip)

    def was_deleted(self, worker: str) -> bool:
        """Whether the worker said that it ended."""
        return self._view.registry.was_deleted(worker)

    def heartbeat(self, record: WorkerRecord, now: float) -> bool:
        """A worker called this machine; returns whether that was news, which all were told."""
        if self._view.registry.was_deleted(record.id):
            return False
        news = record.id not in self._heard
        self._heard[record.id] = now
        before = self._view.registry.get(record.id)
        self._view.message_received(self._own_ip, WorkerUpdates((record,), complete=False), now)
        after = self._view.registry.get(record.id)
        if after is None:
            return False
        if news or before is None or replace(after, sequence=before.sequence) != before:
            self._publish(WorkerUpdates((after,), complete=False), Audience.ALL)
            return True
        return False

    def delete(self, worker: str, now: float) -> bool:
        """A worker said that it ended; returns whether that was news, which all were told."""
        self._heard.pop(worker, None)
        if self._view.registry.was_deleted(worker):
            return False
        gone = WorkerGone(worker, deleted=True)
        self._view.message_received(self._own_ip, gone, now)
        self._publish(gone, Audience.ALL)
        return True

    def announce(self, worker: str) -> None:
        """Tell all subscribers again what is known of a worker, or that it ended."""
        known = self._view.registry.get(worker)
        if known is not None:
            self._publish(WorkerUpdates((known,), complete=False), Audience.ALL)
        elif self.was_deleted(worker):
            self._publish(WorkerGone(worker, deleted=True), Audience.ALL)

    def set_holding(self, worker: str, models: tuple[HeldModel, ...], stamp: HoldingStamp) -> None:
        """The load scheduler read which weights a worker holds."""
        known = self._view.registry.get(worker)
        if known is None:
            return
        changed = self._view.registry.merge(replace(known, models=models, holding=stamp))
        if changed is not None and changed.models != known.models:
            self._publish(WorkerUpdates((changed,), complete=False), Audience.ALL)

    def expire(self, now: float) -> None:
        """Forget workers that fell silent here, and tell the dispatchers of those that nobody hears any more.

        A worker may call another control machine next. The other machines are told at once that it is silent
        here; a dispatcher has one source, and keeps the worker while any machine hears it.
        """
        silent = [worker for worker, heard in self._heard.items() if now - heard > self._silence]
        for worker in silent:
            del self._heard[worker]
            gone = WorkerGone(worker, deleted=False)
            self._view.message_received(self._own_ip, gone, now)
            self._publish(gone, Audience.CONTROL_MACHINES)
        for worker in self._view.remove_unreported_workers(now):
            self._publish(WorkerGone(worker, deleted=False), Audience.DISPATCHERS)

    def known(self) -> WorkerUpdates:
        """All workers, for a dispatcher that subscribes."""
        return WorkerUpdates(tuple(self._view.registry), complete=True, ended=self._ended())

    def direct(self) -> WorkerUpdates:
        """The workers heard directly, for another control machine that subscribes."""
        records: Iterable[WorkerRecord | None] = (self._view.registry.get(worker) for worker in self._heard)
        heard = tuple(record for record in records if record is not None)
        return WorkerUpdates(heard, complete=True, ended=self._ended())

    def _ended(self) -> tuple[str, ...]:
        """Farewells that a new subscriber may have missed, beside a machine that missed them too."""
        return self._view.registry.recently_deleted(TOLD_ENDS)


Publish = Callable[[WorkerUpdates | WorkerGone, Audience], None]
"""Sends an update to subscribers."""
