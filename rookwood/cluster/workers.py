"""Worker records, and the registry that merges the records of several sources."""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

MAX_WORKER_ID_BYTES = 128  # of an id in UTF-8
MAX_DELETED = 4096  # ids of deregistered workers that are kept, so that no late record adds them again
MAX_DRAINED = 4096  # ids of draining workers that are kept, even after their heartbeats timed out


class WorkerState(enum.Enum):
    """The state that a worker reports in its heartbeat."""

    UP = "up"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class PresenceChange:
    """A worker drains or has deregistered (`deleted`); neither is ever undone."""

    worker: str
    deleted: bool


@dataclass(frozen=True, slots=True)
class HeldModel:
    """A model in a worker's memory, and which of its adapters are there."""

    name: str
    version: int
    adapters: frozenset[str]


@dataclass(frozen=True, slots=True)
class HoldingStamp:
    """Orders reports on a worker's weights: by the epoch of the reporting primary, then by its counter."""

    epoch: int = 0
    counter: int = 0

    def __lt__(self, other: HoldingStamp) -> bool:
        return (self.epoch, self.counter) < (other.epoch, other.counter)


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """One incarnation of a worker, as its heartbeats and reports describe it.

    `sequence` numbers the heartbeats. `holding` stamps `models`, which a report of the primary may update.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: WorkerState
    sequence: int
    models: tuple[HeldModel, ...]
    holding: HoldingStamp = field(default=HoldingStamp())

    def holds(self, model: str, adapter: str) -> bool:
        """Whether the worker holds the model, and the adapter if one is given."""
        for held in self.models:
            if held.name == model:
                return not adapter or adapter in held.adapters
        return False


class MalformedHeartbeatError(ValueError):
    """A heartbeat has a missing or invalid field."""


class InvalidWorkerIdError(ValueError):
    """A worker's id is empty, too long or not encodable as UTF-8."""


def check_worker_id(worker: str) -> None:
    """Check an id that a caller sent; raises InvalidWorkerIdError."""
    try:
        size = len(worker.encode())
    except UnicodeEncodeError as error:
        raise InvalidWorkerIdError("the worker's id is not valid UTF-8") from error
    if not 0 < size <= MAX_WORKER_ID_BYTES:
        raise InvalidWorkerIdError(f"the worker's id must have 1 to {MAX_WORKER_ID_BYTES} bytes")


def parse_models(items: Any) -> tuple[HeldModel, ...]:
    """Parse the `models` list of a heartbeat or a report."""
    models = []
    for item in items or ():
        held = HeldModel(str(item["name"]), int(item.get("ver", 0)), frozenset(item.get("loras") or ()))
        models.append(held)
    return tuple(sorted(models, key=lambda held: held.name))


def parse_heartbeat(worker: str, document: Mapping[str, Any]) -> WorkerRecord:
    """Parse the body of a heartbeat; raises MalformedHeartbeatError."""
    try:
        state = WorkerState.DRAINING if document.get("state") == "draining" else WorkerState.UP
        return WorkerRecord(
            id=worker,
            service=str(document["svc"]),
            address=str(document["addr"]),
            zone=str(document.get("az", "")),
            slots=int(document.get("slots", 1)),
            state=state,
            sequence=int(document["seq"]),
            models=parse_models(document.get("models")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedHeartbeatError(f"heartbeat of {worker}: {error!r}") from error


def merge_records(known: WorkerRecord, received: WorkerRecord) -> WorkerRecord:
    """Merge two records of one incarnation.

    The models come from the record with the newer holding stamp, or the higher sequence if the stamps are
    equal. Draining is never undone. All other fields come from the record with the higher sequence.
    """
    newest = received if received.sequence > known.sequence else known
    newer_holding = known if received.holding < known.holding else received
    if not (known.holding < received.holding) and not (received.holding < known.holding):
        newer_holding = newest
    draining = WorkerState.DRAINING in (known.state, received.state)
    state = WorkerState.DRAINING if draining else WorkerState.UP
    return replace(newest, state=state, models=newer_holding.models, holding=newer_holding.holding)


class WorkerRegistry:
    """The known workers. Ids are never reused, so a worker that deregistered stays deleted."""

    def __init__(self) -> None:
        self._records: dict[str, WorkerRecord] = {}
        self._deleted: OrderedDict[str, None] = OrderedDict()
        self._drained: OrderedDict[str, None] = OrderedDict()

    def __iter__(self) -> Iterator[WorkerRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, worker: str) -> WorkerRecord | None:
        """Return the record of a worker, if it is known."""
        return self._records.get(worker)

    def was_deleted(self, worker: str) -> bool:
        """Whether the worker has deregistered."""
        return worker in self._deleted

    def has_left(self, worker: str) -> bool:
        """Whether the worker drains or has deregistered."""
        return worker in self._drained or worker in self._deleted

    def merge(self, received: WorkerRecord) -> WorkerRecord | None:
        """Merge a record; returns the result if anything but the sequence changed."""
        if received.id in self._deleted:
            return None
        received = self._keep_draining(received)
        known = self._records.get(received.id)
        if known is None:
            self._records[received.id] = received
            return received
        if received == known:
            return None
        merged = merge_records(known, received)
        self._records[received.id] = merged
        if merged.sequence != known.sequence:
            known = replace(known, sequence=merged.sequence)
        return None if merged == known else merged

    def _keep_draining(self, received: WorkerRecord) -> WorkerRecord:
        """Keep a draining worker draining, even if it timed out and a late heartbeat says otherwise."""
        if received.state is WorkerState.DRAINING:
            add_bounded(self._drained, received.id, MAX_DRAINED)
        elif received.id in self._drained:
            return replace(received, state=WorkerState.DRAINING)
        return received

    def mark_draining(self, worker: str) -> WorkerRecord | None:
        """Keep a worker draining, whatever its heartbeats say; returns its record if that changed."""
        if worker in self._deleted:
            return None
        add_bounded(self._drained, worker, MAX_DRAINED)
        known = self._records.get(worker)
        if known is None or known.state is WorkerState.DRAINING:
            return None
        drained = replace(known, state=WorkerState.DRAINING)
        self._records[worker] = drained
        return drained

    def forget(self, worker: str) -> bool:
        """Remove a worker that timed out; it may come back. Returns whether it was known."""
        return self._records.pop(worker, None) is not None

    def delete(self, worker: str) -> bool:
        """Remove a worker permanently. Returns whether it had not been deleted before."""
        is_new = worker not in self._deleted
        add_bounded(self._deleted, worker, MAX_DELETED)
        self._drained.pop(worker, None)
        self._records.pop(worker, None)
        return is_new

    def forget_departure(self, worker: str) -> None:
        """Forget that a worker drained or deregistered, long after its last heartbeat."""
        self._drained.pop(worker, None)
        self._deleted.pop(worker, None)

    @property
    def deleted(self) -> tuple[str, ...]:
        """The workers that are known to have deregistered, oldest first."""
        return tuple(self._deleted)

    @property
    def drained(self) -> tuple[str, ...]:
        """The workers that are known to drain, also those that timed out since, oldest first."""
        return tuple(self._drained)


def add_bounded(ids: OrderedDict[str, None], worker: str, max_count: int) -> None:
    """Add a worker id, and drop the oldest one beyond `max_count`."""
    ids[worker] = None
    if len(ids) > max_count:
        ids.popitem(last=False)
