"""Worker records and the registry that merges what several sources tell of the same workers."""

from __future__ import annotations

import enum
import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

TOMBSTONES = 4096
DRAINED = 4096  # workers that are remembered to drain, also once they fell silent


class WorkerState(enum.Enum):
    """What a worker says of itself in its heartbeat."""

    UP = "up"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class HeldModel:
    """A model in a worker's memory, with its adapters there."""

    name: str
    version: int
    adapters: frozenset[str]


@dataclass(frozen=True, slots=True)
class HoldingStamp:
    """Orders statements about a worker's weights: the reporting epoch, then a counter within it."""

    epoch: int = 0
    counter: int = 0

    def __lt__(self, other: HoldingStamp) -> bool:
        return (self.epoch, self.counter) < (other.epoch, other.counter)


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """One incarnation of a worker as its heartbeats and reports describe it."""

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
        """Whether the worker has the model, and the adapter if one is named."""
        for held in self.models:
            if held.name == model:
                return not adapter or adapter in held.adapters
        return False


class MalformedHeartbeatError(ValueError):
    """A heartbeat lacks a field or has one of a wrong type."""


def parse_models(items: Any) -> tuple[HeldModel, ...]:
    """Read the `models` list of a heartbeat or a report."""
    models = []
    for item in items or ():
        held = HeldModel(str(item["name"]), int(item.get("ver", 0)), frozenset(item.get("loras") or ()))
        models.append(held)
    return tuple(sorted(models, key=lambda held: held.name))


def parse_heartbeat(worker: str, document: Mapping[str, Any]) -> WorkerRecord:
    """Read a heartbeat's body; raises MalformedHeartbeatError."""
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


def merge_records(known: WorkerRecord, told: WorkerRecord) -> WorkerRecord:
    """Combine two statements about one incarnation: each part from whoever knows it later."""
    newest = told if told.sequence > known.sequence else known
    holder = known if told.holding < known.holding else told
    if not (known.holding < told.holding) and not (told.holding < known.holding):
        holder = newest
    draining = WorkerState.DRAINING in (known.state, told.state)
    state = WorkerState.DRAINING if draining else WorkerState.UP
    return replace(newest, state=state, models=holder.models, holding=holder.holding)


class WorkerRegistry:
    """The workers known here. Ids are never used again, so a deleted one stays deleted."""

    def __init__(self) -> None:
        self._records: dict[str, WorkerRecord] = {}
        self._deleted: OrderedDict[str, None] = OrderedDict()
        self._drained: OrderedDict[str, None] = OrderedDict()

    def __iter__(self) -> Iterator[WorkerRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, worker: str) -> WorkerRecord | None:
        """The record of a worker, if it is known."""
        return self._records.get(worker)

    def was_deleted(self, worker: str) -> bool:
        """Whether the worker said that it ended."""
        return worker in self._deleted

    def merge(self, told: WorkerRecord) -> WorkerRecord | None:
        """Take in a statement; returns the merged record if it changed what others see."""
        if told.id in self._deleted:
            return None
        told = self._with_drain(told)
        known = self._records.get(told.id)
        if known is None:
            self._records[told.id] = told
            return told
        if told == known:
            return None
        merged = merge_records(known, told)
        self._records[told.id] = merged
        if merged.sequence != known.sequence:
            known = replace(known, sequence=merged.sequence)
        return None if merged == known else merged

    def _with_drain(self, told: WorkerRecord) -> WorkerRecord:
        """A worker that drains never serves again, also when it fell silent and a late heartbeat comes."""
        if told.state is WorkerState.DRAINING:
            remember(self._drained, told.id, DRAINED)
        elif told.id in self._drained:
            return replace(told, state=WorkerState.DRAINING)
        return told

    def forget(self, worker: str) -> bool:
        """Drop a worker that fell silent; it may come back. Returns whether it was known."""
        return self._records.pop(worker, None) is not None

    def delete(self, worker: str) -> bool:
        """Drop a worker for good. Returns whether that is news."""
        news = worker not in self._deleted
        remember(self._deleted, worker, TOMBSTONES)
        self._drained.pop(worker, None)
        self._records.pop(worker, None)
        return news

    def recently_deleted(self, most: int) -> tuple[str, ...]:
        """The workers that said last that they ended, the oldest of them first."""
        newest = itertools.islice(reversed(self._deleted), most)
        return tuple(newest)[::-1]


def remember(ids: OrderedDict[str, None], worker: str, most: int) -> None:
    """Add a worker to a bounded memory, in which the oldest entry makes room."""
    ids[worker] = None
    if len(ids) > most:
        ids.popitem(last=False)
