"""A process's view of workers and control machines, merged from the feeds that it hears."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from rookwood.cluster.messages import Message, Status, WorkerGone, WorkerUpdates
from rookwood.cluster.single_primary_check import SinglePrimaryCheck
from rookwood.cluster.workers import WorkerRecord, WorkerRegistry

LINGER = 6.0  # seconds for which a lost source's workers are still believed in


@dataclass(slots=True)
class Source:
    """What one control machine last told."""

    status: Status | None = None
    linked: bool = False
    unlinked_at: float = 0.0
    unconfirmed: dict[str, float] = field(default_factory=dict)  # told before its restart, and when


class ClusterView:
    """Merges feeds. A worker goes when every informed source lacks it."""

    def __init__(
        self,
        on_worker: Callable[[WorkerRecord], None],
        on_worker_gone: Callable[[str], None],
    ) -> None:
        self.registry = WorkerRegistry()
        self._witness = SinglePrimaryCheck()
        self._on_worker = on_worker
        self._on_worker_gone = on_worker_gone
        self._sources: dict[str, Source] = {}
        self._presence: dict[str, set[str]] = {}

    def link_opened(self, peer: str) -> None:
        """A link to a control machine is open."""
        self._sources.setdefault(peer, Source()).linked = True

    def link_closed(self, peer: str, now: float) -> None:
        """A link is gone; the workers that it told of stay for a while."""
        source = self._sources.get(peer)
        if source is None:
            return
        source.status = None
        if source.linked:
            source.linked = False
            source.unlinked_at = now

    def message_received(self, peer: str, message: Message, now: float) -> None:
        """Take in a message; those that tell nothing of workers or control machines are passed over."""
        if isinstance(message, Status):
            self._sources.setdefault(peer, Source(linked=True)).status = message
            if message.claims_primary:
                self._witness.record_claim(message.epoch, message.identity)
        elif isinstance(message, WorkerUpdates):
            self._take_workers(peer, message, now)
        elif isinstance(message, WorkerGone):
            self._take_gone(peer, message)

    def primary(self) -> str | None:
        """The IP of the primary by the newest epoch that a linked machine tells."""
        best: Status | None = None
        for source in self._sources.values():
            status = source.status
            if status is None or not status.fresh or not status.primary:
                continue
            if best is None or status.epoch > best.epoch:
                best = status
        return best.primary if best else None

    def members(self) -> frozenset[str]:
        """All control machines that linked ones name."""
        named: set[str] = set()
        for source in self._sources.values():
            if source.status is not None:
                named.update(source.status.members)
        return frozenset(named)

    def attached_dispatchers(self) -> int:
        """How many dispatchers subscribe to the linked machines, all together."""
        return sum(s.status.attached for s in self._sources.values() if s.status is not None)

    def release(self, peer: str) -> int:
        """The release of a linked machine; 0 where it is not known."""
        source = self._sources.get(peer)
        return source.status.release if source is not None and source.status is not None else 0

    def dispatcher_count(self) -> int:
        """The largest number of dispatchers that a linked machine counts."""
        counts = [s.status.dispatchers for s in self._sources.values() if s.status is not None]
        return max(counts, default=1)

    def remove_unreported_workers(self, now: float) -> tuple[str, ...]:
        """Forget workers that no source knows any more, once a settled one is linked; returns them."""
        for peer, source in self._sources.items():
            if not source.linked and now - source.unlinked_at > LINGER:
                self._absent_at(peer)
            for worker, since in list(source.unconfirmed.items()):
                if now - since > LINGER:
                    del source.unconfirmed[worker]
                    self._presence.get(worker, set()).discard(peer)
        settled = any(s.linked and s.status is not None and s.status.settled for s in self._sources.values())
        if not settled:
            return ()
        silent = tuple(record.id for record in self.registry if not self._presence.get(record.id))
        for worker in silent:
            self._remove(worker)
        return silent

    def _compare(self, peer: str, source: Source, named: set[str], now: float) -> None:
        """Workers that a complete list lacks are gone; a source that just started may hear of them yet."""
        settled = source.status is not None and source.status.settled
        for worker, present in self._presence.items():
            if worker in named or peer not in present:
                continue
            if settled:
                present.discard(peer)
            else:
                source.unconfirmed.setdefault(worker, now)

    def _take_workers(self, peer: str, updates: WorkerUpdates, now: float) -> None:
        source = self._sources.setdefault(peer, Source(linked=True))
        for worker in updates.ended:
            self._end(worker)
        if updates.complete:
            self._compare(peer, source, {record.id for record in updates.records}, now)
        for record in updates.records:
            if self.registry.was_deleted(record.id):
                continue
            source.unconfirmed.pop(record.id, None)
            self._presence.setdefault(record.id, set()).add(peer)
            changed = self.registry.merge(record)
            if changed is not None:
                self._on_worker(changed)

    def _take_gone(self, peer: str, gone: WorkerGone) -> None:
        if gone.deleted:
            self._end(gone.worker)
        else:
            self._presence.get(gone.worker, set()).discard(peer)

    def _end(self, worker: str) -> None:
        """A worker said that it ended: it is gone whoever still tells of it."""
        self._presence.pop(worker, None)
        if self.registry.delete(worker):
            self._on_worker_gone(worker)

    def _absent_at(self, peer: str) -> None:
        for present in self._presence.values():
            present.discard(peer)

    def _remove(self, worker: str) -> None:
        self._presence.pop(worker, None)
        if self.registry.forget(worker):
            self._on_worker_gone(worker)
