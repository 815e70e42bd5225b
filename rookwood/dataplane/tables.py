"""The placement tables of this dispatcher: one for each service whose workers serve models."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from rookwood.cluster.engines import model_specs
from rookwood.cluster.messages import WantedWeights
from rookwood.cluster.workers import WorkerRecord, WorkerState
from rookwood.clusterconfig.document import Configuration, Engine
from rookwood.dataplane.demand import ServiceKey
from rookwood.modelplacement.table import Fractions, PlacementTable
from rookwood.modelplacement.types import Outcome, WeightsKey, WorkerWeights

STEP_INTERVAL = 2.0  # seconds between two steps of a table


@dataclass(slots=True)
class ServiceTable:
    """The table of one service, with the engine of the configuration that it was created for."""

    engine: Engine
    table: PlacementTable


class ServiceTables:
    """Keeps one placement table for each service, records this dispatcher's demand in them and steps them."""

    def __init__(self) -> None:
        self._tables: dict[str, ServiceTable] = {}
        self._first_seen_at: dict[str, float] = {}
        self._stepped_at = 0.0

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration: a service whose engine is unchanged keeps its table."""
        tables: dict[str, ServiceTable] = {}
        for name, service in configuration.services.items():
            if service.engine is None:
                continue
            known = self._tables.get(name)
            if known is not None and known.engine == service.engine:
                tables[name] = known
            else:
                tables[name] = ServiceTable(service.engine, PlacementTable(model_specs(service.engine)))
        self._tables = tables

    def fractions(self, key: ServiceKey) -> Fractions:
        """The fractions of a key's requests by worker; empty for an unknown service."""
        known = self._tables.get(key.service)
        return known.table.fractions(WeightsKey(key.model, key.adapter)) if known else ()

    def record(self, key: ServiceKey, worker: str, seconds: float, outcome: Outcome, now: float) -> None:
        """Record a request that occupied a worker's slot for `seconds`, and its outcome."""
        known = self._tables.get(key.service)
        if known is None:
            return
        weights = WeightsKey(key.model, key.adapter)
        known.table.record(weights, seconds, now)
        known.table.record_outcome(worker, weights, outcome, now)

    def step(self, workers: Mapping[str, Mapping[str, WorkerRecord]], now: float) -> bool:
        """Step all tables if a step is due; returns whether it was."""
        if now - self._stepped_at < STEP_INTERVAL:
            return False
        self._stepped_at = now
        present = {worker for records in workers.values() for worker in records}
        self._first_seen_at = {worker: self._first_seen_at.get(worker, now) for worker in present}
        for name, known in self._tables.items():
            records = workers.get(name, {}).values()
            known.table.step(now, self._describe(known.engine, records))
        return True

    def wanted_weights(self) -> tuple[WantedWeights, ...]:
        """The weights that the tables assign to each worker."""
        wanted = []
        for name, known in self._tables.items():
            for worker, keys in known.table.wanted_weights().items():
                pairs = sorted((key.model, key.adapter) for key in keys)
                wanted += [WantedWeights(name, worker, model, adapter) for model, adapter in pairs]
        return tuple(wanted)

    def _describe(self, engine: Engine, records: Iterable[WorkerRecord]) -> list[WorkerWeights]:
        """The workers as the tables need them; the values that no table reads are 0 or False."""
        return [
            WorkerWeights(
                worker=record.id,
                zone=record.zone,
                size_mb=engine.size_mb,
                adapter_slots=engine.adapter_slots,
                slots=record.slots,
                models={held.name: held.adapters for held in record.models},
                busy=False,
                sequence=0,
                active=0,
                queued=0,
                draining=record.state is WorkerState.DRAINING,
                started=self._first_seen_at[record.id],
            )
            for record in records
        ]
