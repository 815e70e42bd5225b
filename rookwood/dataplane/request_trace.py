"""Times of one request in this dispatcher, stage by stage, for the loss log; performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AttemptedWorker:
    """The worker of an attempt, with the state that the dispatcher knew of it when the attempt began."""

    worker: str
    in_flight: int  # requests of this dispatcher at the worker
    running: int  # by the worker's last reported load
    waiting: int  # by the worker's last reported load
    backlog: float  # seconds of prefill queued before the attempt


@dataclass(slots=True)
class RequestTrace:
    """Times of one request, in seconds of the event loop's clock; None for a stage that it did not reach."""

    arrived_at: float
    routed_at: float | None = None
    waiting_since: float | None = None
    waited_seconds: float = 0.0  # for weights or for a worker, summed over all attempts
    sent_at: float | None = None
    outcome_at: float | None = None  # when the last attempt failed, or its response (or stream's head) came
    last_event_at: float | None = None
    longest_pause: float = 0.0
    attempted_workers: list[AttemptedWorker] = field(default_factory=list)

    def begin_wait(self, now: float) -> None:
        """The request begins to wait for a worker that holds its weights."""
        self.waiting_since = now

    def end_wait(self, now: float) -> None:
        """Add the wait that began last, if one did."""
        if self.waiting_since is not None:
            self.waited_seconds += now - self.waiting_since
            self.waiting_since = None

    def record_attempt(self, worker: AttemptedWorker, now: float) -> None:
        """An attempt begins at this worker."""
        self.attempted_workers.append(worker)
        self.sent_at = now
        self.outcome_at = None

    def record_outcome(self, now: float) -> None:
        """The attempt failed, or its response or the head of its stream has arrived."""
        self.outcome_at = now

    def record_stream_data(self, now: float) -> None:
        """A piece of a stream arrived; keeps the longest pause between two pieces."""
        if self.last_event_at is not None:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now
