"""What this dispatcher knows of each worker: its own requests there, the reported load, recent failures."""

from __future__ import annotations

from dataclasses import dataclass, field

from rookwood.dataplane.backlog import PrefillBacklog
from rookwood.dataplane.request_trace import AttemptedWorker

REPORTED_LOAD_LIFETIME = 1.5  # seconds for which a worker's reported load is used
UNRESPONSIVE_LIMIT = 1.2  # seconds without a byte from a worker that has a request of this dispatcher
MIN_PENALTY = 0.4  # seconds for which a worker is avoided after its first failure
MAX_PENALTY = 4.0  # seconds
MISSING_WEIGHTS_LIFETIME = 1.0  # seconds for which a worker's 421 response counts


@dataclass(slots=True)
class WorkerTraffic:
    """What this dispatcher knows of one worker; times in seconds of the event loop's clock."""

    in_flight: int = 0  # requests of this dispatcher
    running: int = 0  # by the reported load, as are `waiting` and `slots`
    waiting: int = 0
    slots: int = 0
    load_reported_at: float = -1e9
    last_received_at: float = -1e9
    last_completed_at: float = -1e9  # end of the last successful attempt, whose connection is kept
    penalty: float = 0.0  # seconds for which the worker is avoided after the last failure
    avoided_until: float = -1e9
    missing_until: dict[tuple[str, str], float] = field(default_factory=dict)  # (model, adapter) -> time
    backlog: PrefillBacklog = field(default_factory=PrefillBacklog)

    def describe(self, worker: str, now: float) -> AttemptedWorker:
        """The worker's state for the loss log."""
        return AttemptedWorker(
            worker, self.in_flight, self.running, self.waiting, round(self.backlog.remaining(now), 3)
        )

    def record_load(self, running: int, waiting: int, slots: int, now: float) -> None:
        """Record the load that the worker reported."""
        self.running, self.waiting, self.slots = running, waiting, slots
        self.load_reported_at = now

    def is_unresponsive(self, now: float, since: float) -> bool:
        """Whether no byte came from the worker for too long; a request has waited there since `since`."""
        return now - max(self.last_received_at, since) > UNRESPONSIVE_LIMIT

    def has_idle_connection(self, now: float, idle_limit: float) -> bool:
        """Whether the worker probably has an idle connection that is still open."""
        return self.in_flight == 0 and now - self.last_completed_at < idle_limit

    def load(self, now: float) -> int:
        """Requests at the worker: this dispatcher's own, or the reported number if recent and higher."""
        if now - self.load_reported_at > REPORTED_LOAD_LIFETIME:
            return self.in_flight
        return max(self.in_flight, self.running + self.waiting)

    def record_failure(self, now: float) -> None:
        """A connection or request failed: avoid the worker, for twice as long after each failure.

        Failures while the worker is avoided do not count.
        """
        if now < self.avoided_until:
            return
        self.last_completed_at = -1e9
        self.penalty = min(MAX_PENALTY, self.penalty * 2 or MIN_PENALTY)
        self.avoided_until = now + self.penalty

    def record_success(self) -> None:
        """A request succeeded: no longer avoid the worker."""
        self.penalty = 0.0
        self.avoided_until = -1e9

    def record_missing_weights(self, model: str, adapter: str, now: float) -> None:
        """The worker answered that it does not hold these weights."""
        self.missing_until[model, adapter] = now + MISSING_WEIGHTS_LIFETIME

    def is_missing_weights(self, model: str, adapter: str, now: float) -> bool:
        """Whether the worker recently answered that it does not hold these weights."""
        return self.missing_until.get((model, adapter), -1e9) > now


class WorkerPool:
    """The traffic of all workers by id."""

    def __init__(self) -> None:
        self._traffic: dict[str, WorkerTraffic] = {}
        self.idle_limit = 0.0  # seconds for which an idle connection is reused; set from the HTTP client

    def get(self, worker: str) -> WorkerTraffic:
        """The worker's traffic, created at first use."""
        traffic = self._traffic.get(worker)
        if traffic is None:
            traffic = self._traffic[worker] = WorkerTraffic()
        return traffic

    def remove(self, worker: str) -> None:
        """Drop a worker that is gone."""
        self._traffic.pop(worker, None)
