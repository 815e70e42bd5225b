"""Chooses a worker for each request from what the cluster's view and this dispatcher's traffic tell."""

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
from rookwood.dataplane.backlog import ReadingSpeed, WorkerBacklog
from rookwood.dataplane.demand import ServiceKey
from rookwood.dataplane.pool import WorkerPool, WorkerTraffic
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.tables import TableKeeper
from rookwood.mechanisms import ALL_MECHANISMS, Mechanism, Mechanisms
from rookwood.modelplacement.selection import Candidate, choose_worker
from rookwood.modelplacement.types import WeightsKey

logger = logging.getLogger("rookwood")

NO_KEY = WeightsKey("")


class Router:
    """The configuration in force and the workers of each service."""

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
        self.speed = ReadingSpeed()
        self.tables = TableKeeper()

    def configure(self, source: bytes) -> ApplyOutcome:
        """Put a whole configuration in force; nothing changes where it can't be read."""
        outcome = self._store.try_replace(source)
        if isinstance(outcome, Applied):
            self._put_in_force()
        else:
            logger.error("configuration can't be read", extra={"outcome": repr(outcome)})
        return outcome

    def change_configuration(self, changes: ItemChanges, digest: int) -> ApplyOutcome:
        """Put changes in force that lead to a configuration of this digest; nothing where they don't."""
        outcome = self._store.apply(changes, digest)
        if isinstance(outcome, Applied):
            self._put_in_force()
        else:
            logger.error("changes don't fit the configuration", extra={"outcome": repr(outcome)})
        return outcome

    def _put_in_force(self) -> None:
        self.configuration = self._store.configuration
        self.tables.configure(self.configuration)
        self.notify()

    def worker_changed(self, record: WorkerRecord) -> None:
        """A worker is new or changed."""
        self._workers[record.service][record.id] = record
        self.notify()

    def worker_gone(self, worker: str) -> None:
        """A worker is gone."""
        for workers in self._workers.values():
            workers.pop(worker, None)
        self._pool.forget(worker)
        self.notify()

    def match(self, host: str, path: str) -> Route | None:
        """The route of a request."""
        return self._store.route_index.match(host, path)

    def step_tables(self, now: float) -> None:
        """Step the placement tables when it is time."""
        self.tables.step(self._workers, now)

    def has_workers(self) -> bool:
        """Whether any worker is known."""
        return any(self._workers.values())

    async def wait_change(self, deadline: float) -> bool:
        """Wait until workers or configuration change; False at the deadline."""
        event = self._changed
        try:
            async with asyncio.timeout_at(deadline):
                await event.wait()
        except TimeoutError:
            return False
        return True

    def holders_exist(self, key: ServiceKey | None, service: str) -> bool:
        """Whether some worker is known to hold the weights."""
        return any(self._serves(record, key) for record in self._workers[service].values())

    def model(self, key: ServiceKey) -> Model | None:
        """The model of a key by the configuration in force."""
        service = self.configuration.services.get(key.service) if self.configuration else None
        engine = service.engine if service else None
        return engine.models.get(key.model) if engine else None

    def choose(self, request: RoutedRequest, excluded: set[str], now: float) -> WorkerRecord | None:
        """A worker that holds the request's weights, or None."""
        records = self._eligible(request, excluded, now)
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

    def _eligible(self, request: RoutedRequest, excluded: set[str], now: float) -> list[WorkerRecord]:
        records = []
        for record in self._workers[request.service].values():
            if record.id in excluded or not self._serves(record, request.key):
                continue
            if request.key and self._lacks(record, request.key, now):
                continue
            records.append(record)
        if not self._mechanisms.has(Mechanism.AVOID_FAILED):
            return records
        trusted = [record for record in records if self._pool.get(record.id).avoided_until <= now]
        return trusted or records

    def _lacks(self, record: WorkerRecord, key: ServiceKey, now: float) -> bool:
        if not self._mechanisms.has(Mechanism.LACKING_WEIGHTS):
            return False
        return self._pool.get(record.id).known_to_lack(key.model, key.adapter, now)

    @staticmethod
    def _serves(record: WorkerRecord, key: ServiceKey | None) -> bool:
        if record.state is WorkerState.DRAINING:
            return False
        return key is None or record.holds(key.model, key.adapter)

    def _candidate(self, record: WorkerRecord, request: RoutedRequest, now: float) -> Candidate:
        traffic = self._pool.get(record.id)
        fresh = traffic.load(now) > traffic.in_flight
        compares_reading = self._mechanisms.has(Mechanism.READING_COSTS)
        prefers_connected = self._mechanisms.has(Mechanism.PREFER_CONNECTED)
        return Candidate(
            worker=record.id,
            in_flight=traffic.in_flight,
            running=traffic.running if fresh else 0,
            waiting=traffic.waiting if fresh else 0,
            slots=record.slots,
            same_zone=record.zone == self._zone,
            backlog=traffic.backlog.remaining(now),
            prefill=self.prefill_seconds(traffic, request),
            utilisation=traffic.backlog.utilisation(now) if compares_reading else 0.0,
            streams=traffic.backlog.streams(now) if compares_reading else 0.0,
            connected=prefers_connected and traffic.is_connected(now, self._pool.idle_limit),
        )

    def prefill_seconds(self, traffic: WorkerTraffic, request: RoutedRequest) -> float:
        """How long the worker would read the request's prompt."""
        if request.key is None or not request.parts:
            return 0.0
        tokens = self._tokens_to_read(traffic, request)
        return tokens * self.speed.seconds_per_token(request.key.model)

    def _tokens_to_read(self, traffic: WorkerTraffic, request: RoutedRequest) -> int:
        if self._mechanisms.has(Mechanism.CACHED_PREFIXES):
            return uncached_tokens(traffic.backlog, request)
        return sum(part.tokens for part in request.parts)

    def observe_reading(self, model: str, tokens: int, seconds: float) -> None:
        """Learn the reading speed from a prompt that a worker with nothing before it began to answer."""
        if self._mechanisms.has(Mechanism.READING_SPEED):
            self.speed.observe(model, tokens, seconds)

    def note_sent(self, request: RoutedRequest, record: WorkerRecord, now: float) -> WorkNotice | None:
        """Count a prompt as sent to a worker; returns what to tell the other dispatchers."""
        if request.key is None or not request.parts:
            return None
        traffic = self._pool.get(record.id)
        seconds = self.prefill_seconds(traffic, request)
        parts = tuple(part.identity for part in request.parts)
        traffic.backlog.add(seconds, parts, now)
        if not self._mechanisms.has(Mechanism.SHARED_BACKLOG):
            return None
        return WorkNotice(self._identity, record.id, seconds, parts)

    def record_notice(self, notice: WorkNotice, now: float) -> None:
        """A dispatcher sent a prompt to a worker; its own notices come back to it and are left out."""
        if notice.origin == self._identity:
            return
        self._pool.get(notice.worker).backlog.add(notice.seconds, notice.parts, now)

    def notify(self) -> None:
        """Wake those that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()


def uncached_tokens(backlog: WorkerBacklog, request: RoutedRequest) -> int:
    """Prompt tokens that the worker has to read, as far as dispatchers told what it has read before."""
    uncached = sum(part.tokens for part in request.parts)
    for part in request.parts:
        if part.identity not in backlog.parts:
            break
        uncached -= part.tokens
    return uncached
