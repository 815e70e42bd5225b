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
    REJECTED = "turned away"
    CONNECT_FAILED = "could not connect"
    RESET = "reset"
    TIMED_OUT = "timed out"
    CANCELLED = "called off"
    NOT_SENT = "never sent"
    STALE_CONNECTION = "stale"  # a kept connection turned out to be dead; it may have run all the same
    INVALID_REQUEST = "unfit"  # the endpoint says that nobody could use the request


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """What the decisions need to know of a request."""

    job_class: str
    deadline: datetime
    slots: float = 1.0
    memory: float | None = None
    key: str | None = None
    is_retry: bool = False
    tenant: str | None = None
    duration_hint: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """Decision: try this endpoint."""

    number: int
    uid: str
    deadline: datetime
    is_retry_safe: bool  # running it twice would do no harm
    start_by: datetime | None = None  # for a repeat of what may have run: the end of its window


@dataclass(frozen=True, slots=True)
class RejectDecision:
    """Decision: refuse; a new try does no harm."""

    retry_after: timedelta | None


@dataclass(frozen=True, slots=True)
class FailDecision:
    """Decision: fail, with no promise about the effect."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """No decision any more: a front has taken the request back, to serve it in another way."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint tells of its load."""

    values: tuple[tuple[str, float], ...]


Decision = Attempt | RejectDecision | FailDecision | Withdrawn

POLICY_OUTCOMES = {
    AttemptOutcome.SERVED: api.Outcome.OK,
    AttemptOutcome.ERROR: api.Outcome.FAILED,
    AttemptOutcome.REJECTED: api.Outcome.QUEUE_FULL,
    AttemptOutcome.CONNECT_FAILED: api.Outcome.CONNECT_FAILED,
    AttemptOutcome.RESET: api.Outcome.RESET,
    AttemptOutcome.TIMED_OUT: api.Outcome.TIMED_OUT,
    AttemptOutcome.CANCELLED: api.Outcome.CANCELLED,
    AttemptOutcome.NOT_SENT: api.Outcome.IGNORED,
    AttemptOutcome.STALE_CONNECTION: api.Outcome.CANCELLED,  # may have run, but costs no trust
    AttemptOutcome.INVALID_REQUEST: api.Outcome.CANCELLED,
}
LOAD_NAMES = {"inflight": "outstanding", "queue": "backlog"}  # seen under either name; the rest as it is
WORKER_HEALTH = {
    State.UP: api.Health.SERVING,
    State.DRAINING: api.Health.DRAINING,
    State.REMOVED: api.Health.DELETED,
}


NEVER_RAN = frozenset(end for end, ending in POLICY_OUTCOMES.items() if ending in api.NEVER_RAN)


def micros(span: timedelta) -> int:
    return span // timedelta(microseconds=1)


def hash_key(text: str | None) -> int | None:
    """Any text becomes the same number at every dispatcher."""
    return None if text is None else int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest())


def load_values(load: LoadReport | None) -> dict[str, float] | None:
    return {LOAD_NAMES.get(name, name): value for name, value in load.values} if load else None


def policy_worker(endpoint: Endpoint) -> api.Worker:
    return api.Worker(
        id=endpoint.uid,
        health=WORKER_HEALTH[endpoint.state],
        size=endpoint.capacity,
        cell=endpoint.cell,
        kind=endpoint.kind,
        zone=endpoint.zone,
        started_at=None if endpoint.started_at is None else micros(endpoint.started_at - EPOCH),
    )


class Ticket:
    """One request's place at the door, from `admit` to the end of the `with` block."""

    def __init__(self, door: PolicyDriver, number: int, job: RequestProfile) -> None:
        self._driver, self._number, self._profile = door, number, job
        self._decisions: asyncio.Queue[Decision] = asyncio.Queue()
        self._attempt_count = 0
        self._current_attempt: tuple[Attempt, datetime] | None = None
        self._is_finished = False  # the module has let go of the request
        self._retry_window_end: datetime | None = None  # once an attempt may have run

    def __enter__(self) -> Ticket:
        return self

    def __exit__(self, *_: object) -> None:
        """The one place of release: the module is told of everything that it still counts on."""
        self._driver.remove_request(self._number)
        try:
            if not self._is_finished:
                self._is_finished = True
                self._driver.handle_event(api.RequestAbandoned(self._number))
        finally:
            if self._current_attempt:
                self.end_attempt(AttemptOutcome.CANCELLED)

    async def next_decision(self) -> Decision:
        return await self._decisions.get()

    @property
    def is_waiting(self) -> bool:
        """Held: neither decided nor out at an endpoint."""
        return not (self._is_finished or self._current_attempt)

    def withdraw(self) -> bool:
        """Takes the request back while it is held; the next decision says so. False: it is too late."""
        if not self.is_waiting:
            return False
        self._is_finished = True
        self._driver.handle_event(api.RequestAbandoned(self._number))
        self._decisions.put_nowait(Withdrawn())
        return True

    def report_started(self) -> None:
        self._send_progress(started=True)

    def report_progress(self) -> None:
        self._send_progress(started=False)

    def _send_progress(self, started: bool) -> None:
        if self._current_attempt:
            attempt, _ = self._current_attempt
            self._driver.handle_event(api.AttemptProgress(self._number, attempt.number, attempt.uid, started))

    def end_attempt(self, end: AttemptOutcome, load: LoadReport | None = None) -> None:
        assert self._current_attempt
        (attempt, since), self._current_attempt = self._current_attempt, None
        self._is_finished = self._is_finished or end is AttemptOutcome.SERVED
        latency = micros(self._driver.clock.now() - since)
        ending = POLICY_OUTCOMES[end]
        if (
            end not in NEVER_RAN
            and not self._retry_window_end
            and self._profile.job_class in self._driver.retry_windows
        ):
            self._retry_window_end = since + self._driver.retry_windows[self._profile.job_class]
        self._driver.handle_event(
            api.AttemptEnded(
                self._number,
                attempt.number,
                attempt.uid,
                ending,
                latency,
                self._is_finished,
                load_values(load),
            )
        )
        self._driver.on_attempt_ended(attempt.uid, end)

    def deliver(self, action: api.Send | api.Reject | api.Fail) -> None:
        """Called by the door alone."""
        match action:
            case api.Send(_, uid, timeout):
                now = self._driver.clock.now()
                until = now + timedelta(microseconds=timeout) if timeout else self._profile.deadline
                repeatable = self._profile.job_class not in self._driver.unsafe_classes
                until = min(until, self._profile.deadline)
                attempt = Attempt(self._attempt_count, uid, until, repeatable, self._retry_window_end)
                self._attempt_count += 1
                self._current_attempt = (attempt, now)
                self._decisions.put_nowait(attempt)
            case api.Reject(_, advice):
                self._is_finished = True
                self._decisions.put_nowait(
                    RejectDecision(self._driver.capped_retry_after(timedelta(microseconds=advice)))
                )
            case api.Fail():
                self._is_finished = True
                self._decisions.put_nowait(FailDecision())


class PolicyDriver:
    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, most_retry_after: timedelta = timedelta(0)
    ) -> None:
        self.clock, self._max_retry_after = clock, most_retry_after
        self.start_probe: Callable[[str], None] = lambda uid: None  # who carries probes out
        self.on_attempt_ended: Callable[[str, AttemptOutcome], None] = (
            lambda uid, end: None
        )  # how each attempt ended, and where
        self.send_hints: Callable[[Sequence[int], Sequence[api.Hint]], None] = lambda to, hints: None
        self.unsafe_classes = frozenset(
            c.name for c in settings.classes if c.repeat is not api.RetrySafety.SAFE
        )
        # So long after its first attempt a keyed request may be sent again; what is sent takes its time.
        kept = timedelta(microseconds=2 * settings.tick)
        keyed = (c for c in settings.classes if c.repeat is api.RetrySafety.KEYED)
        self.retry_windows = {c.name: timedelta(microseconds=c.window) - kept for c in keyed}
        self._policy = Policy(settings, seed)
        self._request_numbers = itertools.count(1)
        self._tickets: dict[int, Ticket] = {}
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._timer_numbers = itertools.count()
        self._last_event_us = 0

    @property
    def open_requests(self) -> int:
        return len(self._tickets)

    def save_learned_state(self) -> dict[str, Any]:
        """What was learned here, for the process that follows."""
        return save_learned_state(self._policy)

    def restore_learned_state(self, memory: dict[str, Any]) -> None:
        restore_learned_state(self._policy, memory, self._last_event_us)

    def site_load(self) -> api.SiteLoad:
        return pressure(self._policy)

    def cluster_health(self) -> api.ClusterHealth:
        return self._policy.cluster_health()

    def close(self) -> None:
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def capped_retry_after(self, wait: timedelta) -> timedelta | None:
        """When a refused client is told to come back; None where clients are told nothing."""
        return min(wait, self._max_retry_after) or None

    def update_workers(self, told: DestinationUpdate, kept: bool = False) -> None:
        whole = api.WorkerListKind.CACHED if kept else api.WorkerListKind.FULL
        workers = tuple(policy_worker(endpoint) for endpoint in told.endpoints)
        self.handle_event(
            api.WorkersChanged(whole if told.is_full or kept else api.WorkerListKind.CHANGES, workers)
        )

    def record_probe(self, uid: str, end: AttemptOutcome, load: LoadReport | None) -> None:
        self.handle_event(api.ProbeResult(uid, POLICY_OUTCOMES[end], load_values(load)))

    def receive_hints(self, sender: int, hints: tuple[api.Hint, ...]) -> None:
        self.handle_event(api.HintsReceived(sender, hints))

    def admit(self, job: RequestProfile) -> Ticket:
        number = next(self._request_numbers)
        ticket = self._tickets[number] = Ticket(self, number, job)
        left = max(0, micros(job.deadline - self.clock.now()))
        try:
            self.handle_event(
                api.Request(
                    id=number,
                    job_class=job.job_class,
                    time_left=left,
                    slots=job.slots,
                    memory=job.memory,
                    key=hash_key(job.key),
                    is_retry=job.is_retry,
                    tenant=job.tenant,
                    work_hint=micros(job.duration_hint) if job.duration_hint else None,
                )
            )
        except BaseException:
            with ticket:  # a defect of the module must not leave the request behind
                raise
        return ticket

    def remove_request(self, number: int) -> None:
        self._tickets.pop(number, None)

    def handle_event(self, event: api.Event, not_before: int = 0) -> None:
        now = micros(self.clock.now() - EPOCH)
        self._last_event_us = max(self._last_event_us, now, not_before)
        for action in self._policy.handle(self._last_event_us, event):
            match action:
                case api.Send(request) | api.Reject(request) | api.Fail(request):
                    if ticket := self._tickets.get(request):
                        ticket.deliver(action)
                    else:
                        log.error("a decision for a request that has ended: %s", action)
                case api.SetTimer(token, delay):
                    self._set_timer(token, delay)
                case api.Log(text):
                    log.info("decisions: %s", text)
                case api.Probe(uid):
                    self.start_probe(uid)
                case api.SendHints(to, hints):
                    self.send_hints(to, hints)
                case api.Cancel() | api.Subscribe():
                    pass  # an abandoned attempt is ended by its request; the watch is always on

    def _set_timer(self, token: int, delay: int) -> None:
        serial, due = next(self._timer_numbers), self._last_event_us + delay

        def elapsed() -> None:
            del self._timers[serial]
            try:
                # asyncio may call a hair early, but the module waits for the very microsecond
                # it named: told of an earlier one it would set no further timer.
                self.handle_event(api.Timer(token), not_before=due)
            except Exception:
                log.exception("the decision module failed at a timer")

        wait = (due - micros(self.clock.now() - EPOCH)) / 1_000_000
        self._timers[serial] = asyncio.get_running_loop().call_later(max(0.0, wait), elapsed)
