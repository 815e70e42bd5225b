"""A process's view of workers and control machines, merged from the feeds of several control machines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from rookwood.cluster.messages import Message, Status, WorkerGone, WorkerUpdates
from rookwood.cluster.single_primary_check import SinglePrimaryCheck
from rookwood.cluster.workers import WorkerRecord, WorkerRegistry

WORKER_RETENTION = 6.0  # seconds for which workers stay that only a lost or restarted machine reported


@dataclass(slots=True)
class ControlMachineState:
    """The state of one control machine as last received.

    `unconfirmed` holds the workers that it reported before a restart and has not reported since, with the
    time when they were first missing.
    """

    status: Status | None = None
    linked: bool = False
    link_closed_at: float = 0.0
    unconfirmed: dict[str, float] = field(default_factory=dict)


class ClusterView:
    """Merges the feeds of control machines. A worker is removed when no machine reports it any more."""

    def __init__(
        self,
        on_worker: Callable[[WorkerRecord], None],
        on_worker_gone: Callable[[str], None],
    ) -> None:
        self.registry = WorkerRegistry()
        self._primary_check = SinglePrimaryCheck()
        self._on_worker = on_worker
        self._on_worker_gone = on_worker_gone
        self._machines: dict[str, ControlMachineState] = {}
        self._reported_by: dict[str, set[str]] = {}

    def link_opened(self, peer: str) -> None:
        """Record that the link to a control machine is open."""
        self._machines.setdefault(peer, ControlMachineState()).linked = True

    def link_closed(self, peer: str, now: float) -> None:
        """Record that a link closed; the workers that the machine reported stay for a while."""
        machine = self._machines.get(peer)
        if machine is None:
            return
        machine.status = None
        if machine.linked:
            machine.linked = False
            machine.link_closed_at = now

    def message_received(self, peer: str, message: Message, now: float) -> None:
        """Handle a message; messages that do not concern workers or control machines are ignored."""
        if isinstance(message, Status):
            self._machines.setdefault(peer, ControlMachineState(linked=True)).status = message
            if message.claims_primary:
                self._primary_check.record_claim(message.epoch, message.identity)
        elif isinstance(message, WorkerUpdates):
            self._handle_updates(peer, message, now)
        elif isinstance(message, WorkerGone):
            self._handle_worker_gone(peer, message)

    def primary(self) -> str | None:
        """The IP address of the primary of the newest epoch that a machine in contact with it reports."""
        newest: Status | None = None
        for machine in self._machines.values():
            status = machine.status
            if status is None or not status.fresh or not status.primary:
                continue
            if newest is None or status.epoch > newest.epoch:
                newest = status
        return newest.primary if newest else None

    def members(self) -> frozenset[str]:
        """All members of the control group that linked machines report."""
        reported: set[str] = set()
        for machine in self._machines.values():
            if machine.status is not None:
                reported.update(machine.status.members)
        return frozenset(reported)

    def attached_dispatchers(self) -> int:
        """How many dispatchers subscribe to the linked machines in total."""
        return sum(
            machine.status.attached for machine in self._machines.values() if machine.status is not None
        )

    def release(self, peer: str) -> int:
        """The protocol release of a linked machine; 0 if it is not known."""
        machine = self._machines.get(peer)
        return machine.status.release if machine is not None and machine.status is not None else 0

    def dispatcher_count(self) -> int:
        """The largest dispatcher count that a linked machine reports; 1 without any."""
        counts = [
            machine.status.dispatchers for machine in self._machines.values() if machine.status is not None
        ]
        return max(counts, default=1)

    def remove_unreported_workers(self, now: float) -> tuple[str, ...]:
        """Remove and return the workers that no machine reports any more, if a settled machine is linked."""
        for peer, machine in self._machines.items():
            if not machine.linked and now - machine.link_closed_at > WORKER_RETENTION:
                self._remove_reporter(peer)
            for worker, since in list(machine.unconfirmed.items()):
                if now - since > WORKER_RETENTION:
                    del machine.unconfirmed[worker]
                    self._reported_by.get(worker, set()).discard(peer)
        settled = any(
            known.linked and known.status is not None and known.status.settled
            for known in self._machines.values()
        )
        if not settled:
            return ()
        unreported = tuple(record.id for record in self.registry if not self._reported_by.get(record.id))
        for worker in unreported:
            self._remove_worker(worker)
        return unreported

    def _handle_complete_list(
        self, peer: str, machine: ControlMachineState, reported: set[str], now: float
    ) -> None:
        """Apply a complete list: the machine no longer reports the other workers.

        A machine that has just started may not have received their heartbeats yet, so they stay for a while.
        """
        settled = machine.status is not None and machine.status.settled
        for worker, reporters in self._reported_by.items():
            if worker in reported or peer not in reporters:
                continue
            if settled:
                reporters.discard(peer)
            else:
                machine.unconfirmed.setdefault(worker, now)

    def _handle_updates(self, peer: str, updates: WorkerUpdates, now: float) -> None:
        machine = self._machines.setdefault(peer, ControlMachineState(linked=True))
        for worker in updates.ended:
            self._delete_worker(worker)
        for worker in updates.draining:
            drained = self.registry.mark_draining(worker)
            if drained is not None:
                self._on_worker(drained)
        if updates.complete:
            self._handle_complete_list(peer, machine, {record.id for record in updates.records}, now)
        for record in updates.records:
            if self.registry.was_deleted(record.id):
                continue
            machine.unconfirmed.pop(record.id, None)
            self._reported_by.setdefault(record.id, set()).add(peer)
            changed = self.registry.merge(record)
            if changed is not None:
                self._on_worker(changed)

    def _handle_worker_gone(self, peer: str, message: WorkerGone) -> None:
        if message.deleted:
            self._delete_worker(message.worker)
        else:
            self._reported_by.get(message.worker, set()).discard(peer)

    def _delete_worker(self, worker: str) -> None:
        """Remove a worker that has deregistered, whichever machines still report it."""
        self._reported_by.pop(worker, None)
        if self.registry.delete(worker):
            self._on_worker_gone(worker)

    def _remove_reporter(self, peer: str) -> None:
        for reporters in self._reported_by.values():
            reporters.discard(peer)

    def _remove_worker(self, worker: str) -> None:
        self._reported_by.pop(worker, None)
        if self.registry.forget(worker):
            self._on_worker_gone(worker)
