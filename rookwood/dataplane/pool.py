"""What this dispatcher observes of each worker: its own requests there, the load told, recent failures."""

from __future__ import annotations

from dataclasses import dataclass, field

from rookwood.dataplane.backlog import WorkerBacklog
from rookwood.dataplane.request_trace import ChosenWorker

LOAD_LIFETIME = 1.5  # seconds for which a load that a worker told counts
SILENCE_LIMIT = 1.2  # seconds without a byte from a worker that has requests of this dispatcher
FIRST_PENALTY = 0.4
LAST_PENALTY = 4.0
MISSING_LIFETIME = 1.0


@dataclass(slots=True)
class WorkerTraffic:
    """One worker as this dispatcher sees it; times in seconds."""

    in_flight: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    load_told: float = -1e9
    heard: float = -1e9
    answered: float = -1e9  # the last answer was whole, and its connection is kept
    penalty: float = 0.0
    avoided_until: float = -1e9
    missing: dict[tuple[str, str], float] = field(default_factory=dict)
    backlog: WorkerBacklog = field(default_factory=WorkerBacklog)

    def describe(self, worker: str, now: float) -> ChosenWorker:
        """What is known of the worker, for the log of losses."""
        return ChosenWorker(
            worker, self.in_flight, self.running, self.waiting, round(self.backlog.remaining(now), 3)
        )

    def tell_load(self, running: int, waiting: int, slots: int, now: float) -> None:
        """The worker told its load."""
        self.running, self.waiting, self.slots = running, waiting, slots
        self.load_told = now

    def silent(self, now: float, since: float) -> bool:
        """Whether nothing came from the worker for a while, though a request waits there since `since`."""
        return now - max(self.heard, since) > SILENCE_LIMIT

    def is_connected(self, now: float, idle_limit: float) -> bool:
        """Whether a kept connection is likely to be free."""
        return self.in_flight == 0 and now - self.answered < idle_limit

    def load(self, now: float) -> int:
        """Requests there: this dispatcher's own, or the worker's recent count if that is higher."""
        if now - self.load_told > LOAD_LIFETIME:
            return self.in_flight
        return max(self.in_flight, self.running + self.waiting)

    def failed(self, now: float) -> None:
        """A connection or request failed there; avoid the worker for a while, longer each time."""
        if now < self.avoided_until:
            return
        self.answered = -1e9
        self.penalty = min(LAST_PENALTY, self.penalty * 2 or FIRST_PENALTY)
        self.avoided_until = now + self.penalty

    def succeeded(self) -> None:
        """A request went well there."""
        self.penalty = 0.0
        self.avoided_until = -1e9

    def lacks(self, model: str, adapter: str, now: float) -> None:
        """The worker said that it does not hold these weights."""
        self.missing[model, adapter] = now + MISSING_LIFETIME

    def known_to_lack(self, model: str, adapter: str, now: float) -> bool:
        """Whether the worker said so a moment ago."""
        return self.missing.get((model, adapter), -1e9) > now


class WorkerPool:
    """The traffic of all workers by id."""

    def __init__(self) -> None:
        self._traffic: dict[str, WorkerTraffic] = {}
        self.idle_limit = 0.0  # seconds for which an idle connection is used again; as its keeper tells

    def get(self, worker: str) -> WorkerTraffic:
        """The worker's traffic; made at first use."""
        traffic = self._traffic.get(worker)
        if traffic is None:
            traffic = self._traffic[worker] = WorkerTraffic()
        return traffic

    def forget(self, worker: str) -> None:
        """The worker is gone."""
        self._traffic.pop(worker, None)
