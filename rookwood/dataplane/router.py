"""Chooses a worker for each request, by the cluster's view and this dispatcher's own traffic."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import defaultdict
from collections.abc import Sequence

from rookwood.cluster.messages import WorkNotice
from rookwood.cluster.workers import WorkerRecord, WorkerState
from rookwood.clusterconfig.configuration_store import Applied, ApplyOutcome, ConfigurationStore
from rookwood.clusterconfig.document import Configuration, Model, Route
from rookwood.clusterconfig.items import ItemChanges
from rookwood.dataplane.backlog import PrefillBacklog, PrefillSpeed
from rookwood.dataplane.demand import ServiceKey
from rookwood.dataplane.pool import WorkerPool, WorkerTraffic
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.tables import ServiceTables
from rookwood.mechanisms import ALL_MECHANISMS, Mechanism, Mechanisms
from rookwood.modelplacement.selection import Candidate, choose_worker
from rookwood.modelplacement.types import WeightsKey

logger = logging.getLogger("rookwood")

NO_KEY = WeightsKey("")  # for requests that need no weights


class Router:
    """Holds the configuration in force and the workers of each service, and finds workers for requests."""

    def __init__(
        self, identity: str, zone: str, pool: WorkerPool, mechanisms: Mechanisms = ALL_MECHANISMS
    ) -> None:
        self._mechanisms = mechanisms
        self._identity = identity
        self._zone = zone
        self._pool = pool
        self._store = ConfigurationStore()
        self.configuration: Configuration | None = None
        self._workers: dict[str, dict[str, WorkerRecord]] = defaultdict(dict)
        self._changed = asyncio.Event()
        self._random = random.Random()
        self.prefill_speed = PrefillSpeed()
        self.tables = ServiceTables()

    def configure(self, source: bytes) -> ApplyOutcome:
        """Put a full configuration in force; one that cannot be read changes nothing."""
        outcome = self._store.try_replace(source)
        if isinstance(outcome, Applied):
            self._activate_configuration()
        else:
            logger.error("cannot read the configuration", extra={"outcome": repr(outcome)})
        return outcome

    def change_configuration(self, changes: ItemChanges, digest: int) -> ApplyOutcome:
        """Apply a delta and put the result in force; one that does not lead to `digest` changes nothing."""
        outcome = self._store.apply(changes, digest)
        if isinstance(outcome, Applied):
            self._activate_configuration()
        else:
            logger.error("cannot apply the delta to the configuration", extra={"outcome": repr(outcome)})
        return outcome

    def _activate_configuration(self) -> None:
        self.configuration = self._store.configuration
        self.tables.configure(self.configuration)
        self.notify_change()

    def worker_changed(self, record: WorkerRecord) -> None:
        """Add a worker, or update a known one."""
        self._workers[record.service][record.id] = record
        self.notify_change()

    def worker_gone(self, worker: str) -> None:
        """Remove a worker."""
        for workers in self._workers.values():
            workers.pop(worker, None)
        self._pool.remove(worker)
        self.notify_change()

    def match(self, host: str, path: str) -> Route | None:
        """The route for a host and path, or None."""
        return self._store.route_index.match(host, path)

    def step_tables(self, now: float) -> None:
        """Step the placement tables if a step is due."""
        self.tables.step(self._workers, now)

    def has_workers(self) -> bool:
        """Whether any worker is known."""
        return any(self._workers.values())

    async def wait_change(self, deadline: float) -> bool:
        """Wait until the workers or the configuration change; returns False at the deadline."""
        event = self._changed
        try:
            async with asyncio.timeout_at(deadline):
                await event.wait()
        except TimeoutError:
            return False
        return True

    def has_holder(self, key: ServiceKey | None, service: str) -> bool:
        """Whether a worker of the service is known to hold the weights and does not drain."""
        return any(self._serves(record, key) for record in self._workers[service].values())

    def model(self, key: ServiceKey) -> Model | None:
        """The model of a key in the configuration in force, or None."""
        service = self.configuration.services.get(key.service) if self.configuration else None
        engine = service.engine if service else None
        return engine.models.get(key.model) if engine else None

    def find_worker(self, request: RoutedRequest, excluded: set[str], now: float) -> WorkerRecord | None:
        """A worker that holds the request's weights, other than those in `excluded`, or None."""
        records = self._eligible_workers(request, excluded, now)
        if not records:
            return None
        candidates = [self._candidate(record, request, now) for record in records]
        key = WeightsKey(request.key.model, request.key.adapter) if request.key else NO_KEY
        fractions = self._fractions(request)
        chosen = choose_worker(key, candidates, fractions, self._random)
        return self._workers[request.service].get(chosen) if chosen else None

    def _fractions(self, request: RoutedRequest) -> Sequence[tuple[str, float]]:
        if request.key is None or not self._mechanisms.has(Mechanism.TABLE_DRAWS):
            return ()
        return self.tables.fractions(request.key)

    def _eligible_workers(self, request: RoutedRequest, excluded: set[str], now: float) -> list[WorkerRecord]:
        records = []
        for record in self._workers[request.service].values():
            if record.id in excluded or not self._serves(record, request.key):
                continue
            if request.key and self._is_missing_weights(record, request.key, now):
                continue
            records.append(record)
        if not self._mechanisms.has(Mechanism.AVOID_FAILED):
            return records
        without_failures = [record for record in records if self._pool.get(record.id).avoided_until <= now]
        return without_failures or records

    def _is_missing_weights(self, record: WorkerRecord, key: ServiceKey, now: float) -> bool:
        if not self._mechanisms.has(Mechanism.LACKING_WEIGHTS):
            return False
        return self._pool.get(record.id).is_missing_weights(key.model, key.adapter, now)

    @staticmethod
    def _serves(record: WorkerRecord, key: ServiceKey | None) -> bool:
        if record.state is WorkerState.DRAINING:
            return False
        return key is None or record.holds(key.model, key.adapter)

    def _candidate(self, record: WorkerRecord, request: RoutedRequest, now: float) -> Candidate:
        traffic = self._pool.get(record.id)
        uses_report = traffic.load(now) > traffic.in_flight
        compares_prefill = self._mechanisms.has(Mechanism.READING_COSTS)
        prefers_connected = self._mechanisms.has(Mechanism.PREFER_CONNECTED)
        return Candidate(
            worker=record.id,
            in_flight=traffic.in_flight,
            running=traffic.running if uses_report else 0,
            waiting=traffic.waiting if uses_report else 0,
            slots=record.slots,
            same_zone=record.zone == self._zone,
            backlog=traffic.backlog.remaining(now),
            prefill=self.prefill_seconds(traffic, request),
            utilisation=traffic.backlog.utilisation(now) if compares_prefill else 0.0,
            streams=traffic.backlog.streams(now) if compares_prefill else 0.0,
            connected=prefers_connected and traffic.has_idle_connection(now, self._pool.idle_limit),
        )

    def prefill_seconds(self, traffic: WorkerTraffic, request: RoutedRequest) -> float:
        """Seconds that the worker needs for the prefill of the request's prompt."""
        if request.key is None or not request.parts:
            return 0.0
        tokens = self._prefill_tokens(traffic, request)
        return tokens * self.prefill_speed.seconds_per_token(request.key.model)

    def _prefill_tokens(self, traffic: WorkerTraffic, request: RoutedRequest) -> int:
        if self._mechanisms.has(Mechanism.CACHED_PREFIXES):
            return uncached_tokens(traffic.backlog, request)
        return sum(part.tokens for part in request.parts)

    def observe_prefill(self, model: str, tokens: int, seconds: float) -> None:
        """Add a sample of the prefill speed: the time to the first token at a worker without a backlog."""
        if self._mechanisms.has(Mechanism.READING_SPEED):
            self.prefill_speed.observe(model, tokens, seconds)

    def record_sent_prompt(
        self, request: RoutedRequest, record: WorkerRecord, now: float
    ) -> WorkNotice | None:
        """Add a prompt to the worker's backlog; returns the notice for the other dispatchers, if any."""
        if request.key is None or not request.parts:
            return None
        traffic = self._pool.get(record.id)
        seconds = self.prefill_seconds(traffic, request)
        parts = tuple(part.prefix_id for part in request.parts)
        traffic.backlog.add_prompt(seconds, parts, now)
        if not self._mechanisms.has(Mechanism.SHARED_BACKLOG):
            return None
        return WorkNotice(self._identity, record.id, seconds, parts)

    def record_notice(self, notice: WorkNotice, now: float) -> None:
        """Add the prompt of another dispatcher to a worker's backlog.

        The notices that this dispatcher sent come back to it and are ignored.
        """
        if notice.origin == self._identity:
            return
        self._pool.get(notice.worker).backlog.add_prompt(notice.seconds, notice.parts, now)

    def notify_change(self) -> None:
        """Wake all requests that wait for a change of the workers or the configuration."""
        self._changed.set()
        self._changed = asyncio.Event()


def uncached_tokens(backlog: PrefillBacklog, request: RoutedRequest) -> int:
    """The prompt tokens that the worker has to prefill: those after its longest cached prefix."""
    uncached = sum(part.tokens for part in request.parts)
    for part in request.parts:
        if part.prefix_id not in backlog.cached_parts:
            break
        uncached -= part.tokens
    return uncached
