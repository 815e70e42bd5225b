"""The door to the decision module: sole owner of the policy and its timers. It knows no HTTP.

Whatever brings requests in (HTTP now, another protocol beside it) calls `admit`, then asks the ticket
for decisions and tells it what became of each attempt. Only here do the module's words and integer
microseconds appear.
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from typing import Any

from rookwood import interface as api
from rookwood.memory import pressure, restore_learned_state, save_learned_state
from rookwood.net.clock import EPOCH, Clock
from rookwood.net.destinations import DestinationUpdate, Endpoint, State
from rookwood.policy import Policy

log = logging.getLogger(__name__)


class AttemptOutcome(Enum):
    """How an attempt ended, in the network's words."""

    SERVED = "served"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    CONNECT_FAILED = "could not connect"
    RESET = "reset"
    TIMED_OUT = "timed out"
    CALLED_OFF = "called off"
    NEVER_SENT = "never sent"
    STALE = "stale"  # a kept connection turned out to be dead; it may have run all the same
    UNFIT = "unfit"  # the endpoint says that nobody could use the request


@dataclass(frozen=True, slots=True)
class Job:
    """What the decisions need to know of a request."""

    job_class: str
    deadline: datetime
    slots: float = 1.0
    memory: float | None = None
    key: str | None = None
    is_retry: bool = False
    tenant: str | None = None
    hint: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """Decision: try this endpoint."""

    number: int
    uid: str
    until: datetime
    repeatable: bool  # running it twice would do no harm
    begin_by: datetime | None = None  # for a repeat of what may have run: the end of its window


@dataclass(frozen=True, slots=True)
class FailFast:
    """Decision: refuse; a new try does no harm."""

    retry_after: timedelta | None


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision: fail, with no promise about the effect."""


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """No decision any more: a front has taken the request back, to serve it in another way."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint tells of its load."""

    figures: tuple[tuple[str, float], ...]


Decision = Attempt | FailFast | GiveUp | Elsewhere

ENDINGS = {
    AttemptOutcome.SERVED: api.Outcome.OK,
    AttemptOutcome.ERROR: api.Outcome.FAILED,
    AttemptOutcome.TURNED_AWAY: api.Outcome.QUEUE_FULL,
    AttemptOutcome.CONNECT_FAILED: api.Outcome.CONNECT_FAILED,
    AttemptOutcome.RESET: api.Outcome.RESET,
    AttemptOutcome.TIMED_OUT: api.Outcome.TIMED_OUT,
    AttemptOutcome.CALLED_OFF: api.Outcome.CANCELLED,
    AttemptOutcome.NEVER_SENT: api.Outcome.IGNORED,
    AttemptOutcome.STALE: api.Outcome.CANCELLED,  # the one ending that may have run and costs no trust
    AttemptOutcome.UNFIT: api.Outcome.CANCELLED,
}
LOAD = {"inflight": "outstanding", "queue": "backlog"}  # seen under either name; the rest as it is
HEALTH = {
    State.UP: api.Health.SERVING,
    State.DRAINING: api.Health.DRAINING,
    State.REMOVED: api.Health.DELETED,
}


NEVER_RAN = frozenset(end for end, ending in ENDINGS.items() if ending in api.NEVER_RAN)


def micros(span: timedelta) -> int:
    return span // timedelta(microseconds=1)


def key_of(text: str | None) -> int | None:
    """Any text becomes the same number at every dispatcher."""
    return None if text is None else int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest())


def figures_of(load: LoadReport | None) -> dict[str, float] | None:
    return {LOAD.get(name, name): value for name, value in load.figures} if load else None


def worker_of(endpoint: Endpoint) -> api.Worker:
    return api.Worker(
        id=endpoint.uid,
        health=HEALTH[endpoint.state],
        size=endpoint.capacity,
        cell=endpoint.cell,
        kind=endpoint.kind,
        zone=endpoint.zone,
        started_at=None if endpoint.started_at is None else micros(endpoint.started_at - EPOCH),
    )


class Ticket:
    """One request's place at the door, from `admit` to the end of the `with` block."""

    def __init__(self, door: PolicyDriver, number: int, job: Job) -> None:
        self._door, self._number, self._job = door, number, job
        self._decided: asyncio.Queue[Decision] = asyncio.Queue()
        self._attempts = 0
        self._out: tuple[Attempt, datetime] | None = None
        self._settled = False  # the module has let go of the request
        self._window_ends: datetime | None = None  # once an attempt may have run

    def __enter__(self) -> Ticket:
        return self

    def __exit__(self, *_: object) -> None:
        """The one place of release: the module is told of everything that it still counts on."""
        self._door.release(self._number)
        try:
            if not self._settled:
                self._settled = True
                self._door.feed(api.RequestAbandoned(self._number))
        finally:
            if self._out:
                self.ended(AttemptOutcome.CALLED_OFF)

    async def decision(self) -> Decision:
        return await self._decided.get()

    @property
    def is_waiting(self) -> bool:
        """Held: neither decided nor out at an endpoint."""
        return not (self._settled or self._out)

    def withdraw(self) -> bool:
        """Takes the request back while it is held; the next decision says so. False: it is too late."""
        if not self.is_waiting:
            return False
        self._settled = True
        self._door.feed(api.RequestAbandoned(self._number))
        self._decided.put_nowait(Elsewhere())
        return True

    def started(self) -> None:
        self._sign(started=True)

    def moving(self) -> None:
        self._sign(started=False)

    def _sign(self, started: bool) -> None:
        if self._out:
            attempt, _ = self._out
            self._door.feed(api.AttemptProgress(self._number, attempt.number, attempt.uid, started))

    def ended(self, end: AttemptOutcome, load: LoadReport | None = None) -> None:
        assert self._out
        (attempt, since), self._out = self._out, None
        self._settled = self._settled or end is AttemptOutcome.SERVED
        latency = micros(self._door.clock.now() - since)
        ending = ENDINGS[end]
        if end not in NEVER_RAN and not self._window_ends and self._job.job_class in self._door.windows:
            self._window_ends = since + self._door.windows[self._job.job_class]
        self._door.feed(
            api.AttemptEnded(
                self._number, attempt.number, attempt.uid, ending, latency, self._settled, figures_of(load)
            )
        )
        self._door.on_attempt_ended(attempt.uid, end)

    def decided(self, action: api.Send | api.Reject | api.Fail) -> None:
        """Called by the door alone."""
        match action:
            case api.Send(_, uid, timeout):
                now = self._door.clock.now()
                until = now + timedelta(microseconds=timeout) if timeout else self._job.deadline
                repeatable = self._job.job_class not in self._door.unsafe_classes
                until = min(until, self._job.deadline)
                attempt = Attempt(self._attempts, uid, until, repeatable, self._window_ends)
                self._attempts += 1
                self._out = (attempt, now)
                self._decided.put_nowait(attempt)
            case api.Reject(_, advice):
                self._settled = True
                self._decided.put_nowait(FailFast(self._door.advised(timedelta(microseconds=advice))))
            case api.Fail():
                self._settled = True
                self._decided.put_nowait(GiveUp())


class PolicyDriver:
    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, most_retry_after: timedelta = timedelta(0)
    ) -> None:
        self.clock, self._most_retry_after = clock, most_retry_after
        self.probe: Callable[[str], None] = lambda uid: None  # who carries probes out
        self.on_attempt_ended: Callable[[str, AttemptOutcome], None] = (
            lambda uid, end: None
        )  # how each attempt ended, and where
        self.tell: Callable[[Sequence[int], Sequence[api.Hint]], None] = lambda to, hints: None
        self.unsafe_classes = frozenset(
            c.name for c in settings.classes if c.repeat is not api.RetrySafety.SAFE
        )
        # So long after its first attempt a keyed request may be sent again; what is sent takes its time.
        kept = timedelta(microseconds=2 * settings.tick)
        keyed = (c for c in settings.classes if c.repeat is api.RetrySafety.KEYED)
        self.windows = {c.name: timedelta(microseconds=c.window) - kept for c in keyed}
        self._policy = Policy(settings, seed)
        self._numbers = itertools.count(1)
        self._tickets: dict[int, Ticket] = {}
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._serial = itertools.count()
        self._last = 0

    @property
    def open_requests(self) -> int:
        return len(self._tickets)

    def save_learned_state(self) -> dict[str, Any]:
        """What was learned here, for the process that follows."""
        return save_learned_state(self._policy)

    def restore_learned_state(self, memory: dict[str, Any]) -> None:
        restore_learned_state(self._policy, memory, self._last)

    def pressure(self) -> api.SiteLoad:
        return pressure(self._policy)

    def cluster(self) -> api.ClusterHealth:
        return self._policy.cluster_health()

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def advised(self, wait: timedelta) -> timedelta | None:
        """When a refused client is told to come back; None where clients are told nothing."""
        return min(wait, self._most_retry_after) or None

    def update(self, told: DestinationUpdate, kept: bool = False) -> None:
        whole = api.WorkerListKind.CACHED if kept else api.WorkerListKind.FULL
        workers = tuple(worker_of(endpoint) for endpoint in told.endpoints)
        self.feed(api.WorkersChanged(whole if told.is_full or kept else api.WorkerListKind.CHANGES, workers))

    def probed(self, uid: str, end: AttemptOutcome, load: LoadReport | None) -> None:
        self.feed(api.ProbeResult(uid, ENDINGS[end], figures_of(load)))

    def heard(self, sender: int, hints: tuple[api.Hint, ...]) -> None:
        self.feed(api.HintsReceived(sender, hints))

    def admit(self, job: Job) -> Ticket:
        number = next(self._numbers)
        ticket = self._tickets[number] = Ticket(self, number, job)
        left = max(0, micros(job.deadline - self.clock.now()))
        try:
            self.feed(
                api.Request(
                    id=number,
                    job_class=job.job_class,
                    time_left=left,
                    slots=job.slots,
                    memory=job.memory,
                    key=key_of(job.key),
                    is_retry=job.is_retry,
                    tenant=job.tenant,
                    work_hint=micros(job.hint) if job.hint else None,
                )
            )
        except BaseException:
            with ticket:  # a defect of the module must not leave the request behind
                raise
        return ticket

    def release(self, number: int) -> None:
        self._tickets.pop(number, None)

    def feed(self, event: api.Event, not_before: int = 0) -> None:
        now = micros(self.clock.now() - EPOCH)
        self._last = max(self._last, now, not_before)
        for action in self._policy.handle(self._last, event):
            match action:
                case api.Send(request) | api.Reject(request) | api.Fail(request):
                    if ticket := self._tickets.get(request):
                        ticket.decided(action)
                    else:
                        log.error("a decision for a request that has ended: %s", action)
                case api.SetTimer(token, delay):
                    self._set_timer(token, delay)
                case api.Log(text):
                    log.info("decisions: %s", text)
                case api.Probe(uid):
                    self.probe(uid)
                case api.SendHints(to, hints):
                    self.tell(to, hints)
                case api.Cancel() | api.Subscribe():
                    pass  # an abandoned attempt is ended by its request; the watch is always on

    def _set_timer(self, token: int, delay: int) -> None:
        serial, due = next(self._serial), self._last + delay

        def elapsed() -> None:
            del self._timers[serial]
            try:
                # asyncio may call a hair early, but the module waits for the very microsecond
                # it named: told of an earlier one it would set no further timer.
                self.feed(api.Timer(token), not_before=due)
            except Exception:
                log.exception("the decision module failed at a timer")

        wait = (due - micros(self.clock.now() - EPOCH)) / 1_000_000
        self._timers[serial] = asyncio.get_running_loop().call_later(max(0.0, wait), elapsed)
