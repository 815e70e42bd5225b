"""What an emulated worker ran, refused and was ordered to do; times are those of `time.monotonic`."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from rookwood.lab.emulatedworker.orders import PlacementOrder
from rookwood.lab.emulatedworker.weights import WeightKey


class RunOutcome(StrEnum):
    """How the run of a request ended."""

    RUNNING = "running"
    COMPLETE = "complete"
    CUT = "cut"  # by the worker
    ABANDONED = "abandoned"  # the caller closed the connection
    TIMED_OUT = "timed out"


class ViolationKind(StrEnum):
    """What the system must never do to a worker."""

    OVER_CAPACITY = "ordered to load more than it holds"
    SHARED_FENCE = "two owners share one fence"


@dataclass(eq=False)
class Run:
    """A request that the worker began to work on."""

    try_id: str
    instance: str
    service: str
    number: int
    method: str
    path: str  # with the query, as it came
    host: str
    body_digest: str
    weights: WeightKey | None
    last_event_id: int
    started_at: float
    seal: str
    status: int = 200
    final_event_id: int = 0  # of a stream
    answer: bytearray = field(default_factory=bytearray)  # the part of the body that was sent
    outcome: RunOutcome = RunOutcome.RUNNING

    @property
    def label(self) -> str:
        """The name of this run in the data of its events."""
        return f"{self.instance}#{self.number}"


@dataclass(frozen=True)
class Refusal:
    """A request that the worker rejected without running it."""

    try_id: str
    status: int
    reason: str
    at: float


@dataclass(frozen=True)
class OrderRecord:
    """An order as it came, and the status that answered it."""

    order: PlacementOrder
    status: int
    at: float


@dataclass(frozen=True)
class Violation:
    """A broken rule that the worker itself can notice."""

    kind: ViolationKind
    detail: str
    at: float


@dataclass
class WorkerRecords:
    """Everything a worker saw, in order of time."""

    runs: list[Run] = field(default_factory=list)
    refusals: list[Refusal] = field(default_factory=list)
    orders: list[OrderRecord] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    probes: int = 0
