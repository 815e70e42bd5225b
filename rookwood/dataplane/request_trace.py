"""What one request went through in this dispatcher, stage by stage, for the log of losses; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ChosenWorker:
    """The worker of the last attempt, and what the dispatcher knew of it when it chose it."""

    worker: str
    in_flight: int  # requests of this dispatcher there
    running: int  # by the worker's newest load
    waiting: int
    backlog: float  # seconds of prompt reading that were before it


@dataclass(slots=True)
class RequestTrace:
    """Moments of one request, in seconds of the event loop's clock; None for a stage that was not reached."""

    arrived: float
    routed: float | None = None
    waits_since: float | None = None
    waited: float = 0.0  # for weights or workers, in all attempts together
    sent: float | None = None
    answered: float | None = None  # the head of the last attempt's answer
    last_event: float | None = None
    longest_pause: float = 0.0
    chosen: list[ChosenWorker] = field(default_factory=list)

    def begin_wait(self, now: float) -> None:
        """The request waits for a worker that holds its weights."""
        self.waits_since = now

    def end_wait(self, now: float) -> None:
        """It waits no longer."""
        if self.waits_since is not None:
            self.waited += now - self.waits_since
            self.waits_since = None

    def send(self, chosen: ChosenWorker, now: float) -> None:
        """An attempt begins."""
        self.chosen.append(chosen)
        self.sent = now
        self.answered = None

    def answer(self, now: float) -> None:
        """The head of a worker's answer is here."""
        self.answered = now

    def event(self, now: float) -> None:
        """A piece of a stream was passed on."""
        if self.last_event is not None:
            self.longest_pause = max(self.longest_pause, now - self.last_event)
        self.last_event = now
