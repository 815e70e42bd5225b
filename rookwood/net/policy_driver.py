"""Drives the policy: the only owner of `rookwood.policy.Policy` and its timers. It knows nothing of HTTP.

The code that receives requests, over HTTP or another protocol, calls `admit`, awaits decisions from the
ticket and reports to it how each attempt ended. Times and types of the network side are converted here to
integer microseconds and the types of `rookwood.interface`.
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
from rookwood.memory import restore_learned_state, save_learned_state
from rookwood.net.clock import EPOCH, Clock
from rookwood.net.destinations import DestinationUpdate, Endpoint, State
from rookwood.policy import Policy
from rookwood.site_load import summarize_site_load

log = logging.getLogger(__name__)


class AttemptOutcome(Enum):
    """How an attempt ended, as the network side sees it."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "turned away"
    CONNECT_FAILED = "could not connect"
    RESET = "reset"
    TIMED_OUT = "timed out"
    CANCELLED = "called off"
    NOT_SENT = "never sent"
    STALE_CONNECTION = "stale"  # a reused connection turned out to be closed; the request may still have run
    INVALID_REQUEST = "unfit"  # according to the worker, no worker could run the request


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """The properties of a request that the policy decides by."""

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
    """Decision: send the request to this worker."""

    number: int  # from 0 for each request
    uid: str  # of the worker
    deadline: datetime
    is_retry_safe: bool  # whether the request may safely run twice
    start_by: datetime | None = None  # latest start of a retry after an attempt that may have run


@dataclass(frozen=True, slots=True)
class RejectDecision:
    """Decision: reject the request; it does no harm if the client sends it again."""

    retry_after: timedelta | None


@dataclass(frozen=True, slots=True)
class FailDecision:
    """Decision: fail the request, without a statement whether it has run."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Not a decision of the policy: an extension withdrew the request and serves it in another way."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load values that a worker reported, by name."""

    values: tuple[tuple[str, float], ...]


Decision = Attempt | RejectDecision | FailDecision | Withdrawn

# CANCELLED alone leaves open whether the request has run, and does not count against the worker.
POLICY_OUTCOMES = {
    AttemptOutcome.SERVED: api.Outcome.OK,
    AttemptOutcome.ERROR: api.Outcome.FAILED,
    AttemptOutcome.REJECTED: api.Outcome.QUEUE_FULL,
    AttemptOutcome.CONNECT_FAILED: api.Outcome.CONNECT_FAILED,
    AttemptOutcome.RESET: api.Outcome.RESET,
    AttemptOutcome.TIMED_OUT: api.Outcome.TIMED_OUT,
    AttemptOutcome.CANCELLED: api.Outcome.CANCELLED,
    AttemptOutcome.NOT_SENT: api.Outcome.IGNORED,
    AttemptOutcome.STALE_CONNECTION: api.Outcome.CANCELLED,
    AttemptOutcome.INVALID_REQUEST: api.Outcome.CANCELLED,
}
# Workers report these values under either name; all others have one name.
LOAD_NAMES = {"inflight": "outstanding", "queue": "backlog"}
WORKER_HEALTH = {
    State.UP: api.Health.SERVING,
    State.DRAINING: api.Health.DRAINING,
    State.REMOVED: api.Health.DELETED,
}


# The outcomes that prove that the request has not run.
NEVER_RAN = frozenset(own for own, outcome in POLICY_OUTCOMES.items() if outcome in api.NEVER_RAN)


def micros(span: timedelta) -> int:
    """Return a duration in whole microseconds."""
    return span // timedelta(microseconds=1)


def hash_key(text: str | None) -> int | None:
    """Hash a routing key; all dispatchers compute the same number."""
    return None if text is None else int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest())


def load_values(load: LoadReport | None) -> dict[str, float] | None:
    """Return the values of a load report under the names that the policy uses."""
    return {LOAD_NAMES.get(name, name): value for name, value in load.values} if load else None


def policy_worker(endpoint: Endpoint) -> api.Worker:
    """Convert an endpoint of the destination list to the policy's worker."""
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
    """A request that the policy manages, from `admit` to the end of the `with` block."""

    def __init__(self, driver: PolicyDriver, number: int, profile: RequestProfile) -> None:
        self._driver, self._number, self._profile = driver, number, profile
        self._decisions: asyncio.Queue[Decision] = asyncio.Queue()
        self._attempt_count = 0
        self._current_attempt: tuple[Attempt, datetime] | None = None  # with its start
        self._is_finished = False  # the policy no longer manages the request
        self._retry_window_end: datetime | None = None  # set once an attempt may have run

    def __enter__(self) -> Ticket:
        return self

    def __exit__(self, *_: object) -> None:
        """End the request, and report its end and that of an open attempt to the policy."""
        self._driver.remove_request(self._number)
        try:
            if not self._is_finished:
                self._is_finished = True
                self._driver.handle_event(api.RequestAbandoned(self._number))
        finally:
            if self._current_attempt:
                self.end_attempt(AttemptOutcome.CANCELLED)

    async def next_decision(self) -> Decision:
        """Wait for the next decision."""
        return await self._decisions.get()

    @property
    def is_waiting(self) -> bool:
        """Whether the policy holds the request: it is neither decided nor at a worker."""
        return not (self._is_finished or self._current_attempt)

    def withdraw(self) -> bool:
        """Take a held request back; the next decision is then `Withdrawn`. False if it is no longer held."""
        if not self.is_waiting:
            return False
        self._is_finished = True
        self._driver.handle_event(api.RequestAbandoned(self._number))
        self._decisions.put_nowait(Withdrawn())
        return True

    def report_started(self) -> None:
        """Report to the policy that the worker has started to run the request."""
        self._send_progress(started=True)

    def report_progress(self) -> None:
        """Report to the policy that the worker still runs the request."""
        self._send_progress(started=False)

    def _send_progress(self, started: bool) -> None:
        if self._current_attempt:
            attempt, _ = self._current_attempt
            self._driver.handle_event(api.AttemptProgress(self._number, attempt.number, attempt.uid, started))

    def end_attempt(self, outcome: AttemptOutcome, load: LoadReport | None = None) -> None:
        """Report how the current attempt ended to the policy; unless it was served, a decision follows."""
        assert self._current_attempt
        (attempt, since), self._current_attempt = self._current_attempt, None
        self._is_finished = self._is_finished or outcome is AttemptOutcome.SERVED
        latency = micros(self._driver.clock.now() - since)
        policy_outcome = POLICY_OUTCOMES[outcome]
        if (
            outcome not in NEVER_RAN
            and not self._retry_window_end
            and self._profile.job_class in self._driver.retry_windows
        ):
            self._retry_window_end = since + self._driver.retry_windows[self._profile.job_class]
        self._driver.handle_event(
            api.AttemptEnded(
                self._number,
                attempt.number,
                attempt.uid,
                policy_outcome,
                latency,
                self._is_finished,
                load_values(load),
            )
        )
        self._driver.on_attempt_ended(attempt.uid, outcome)

    def deliver(self, action: api.Send | api.Reject | api.Fail) -> None:
        """Deliver a decision of the policy; only the driver calls this."""
        match action:
            case api.Send(_, uid, timeout):
                now = self._driver.clock.now()
                deadline = now + timedelta(microseconds=timeout) if timeout else self._profile.deadline
                is_retry_safe = self._profile.job_class not in self._driver.unsafe_classes
                deadline = min(deadline, self._profile.deadline)
                attempt = Attempt(self._attempt_count, uid, deadline, is_retry_safe, self._retry_window_end)
                self._attempt_count += 1
                self._current_attempt = (attempt, now)
                self._decisions.put_nowait(attempt)
            case api.Reject(_, retry_after):
                self._is_finished = True
                self._decisions.put_nowait(
                    RejectDecision(self._driver.capped_retry_after(timedelta(microseconds=retry_after)))
                )
            case api.Fail():
                self._is_finished = True
                self._decisions.put_nowait(FailDecision())


class PolicyDriver:
    """Passes events to the policy and carries out the actions that it returns.

    `start_probe`, `on_attempt_ended` and `send_hints` are callbacks; until they are set, they do nothing.
    """

    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, max_retry_after: timedelta = timedelta(0)
    ) -> None:
        self.clock, self._max_retry_after = clock, max_retry_after
        self.start_probe: Callable[[str], None] = lambda uid: None
        self.on_attempt_ended: Callable[[str, AttemptOutcome], None] = lambda uid, outcome: None
        self.send_hints: Callable[[Sequence[int], Sequence[api.Hint]], None] = lambda to, hints: None
        self.unsafe_classes = frozenset(
            c.name for c in settings.classes if c.repeat is not api.RetrySafety.SAFE
        )
        # How long after the start of the first attempt that may have run a keyed request may be retried.
        # Workers deduplicate only within their window, so the time that sending takes is subtracted.
        sending_time = timedelta(microseconds=2 * settings.tick)
        keyed = (c for c in settings.classes if c.repeat is api.RetrySafety.KEYED)
        self.retry_windows = {c.name: timedelta(microseconds=c.window) - sending_time for c in keyed}
        self._policy = Policy(settings, seed)
        self._request_numbers = itertools.count(1)
        self._tickets: dict[int, Ticket] = {}
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._timer_numbers = itertools.count()
        self._last_event_us = 0

    @property
    def open_requests(self) -> int:
        """The number of requests that were admitted and have not ended."""
        return len(self._tickets)

    def save_learned_state(self) -> dict[str, Any]:
        """Return what the policy has learned, for the next process."""
        return save_learned_state(self._policy)

    def restore_learned_state(self, state: dict[str, Any]) -> None:
        """Restore what the policy of the previous process had learned."""
        restore_learned_state(self._policy, state, self._last_event_us)

    def site_load(self) -> api.SiteLoad:
        """Return how full the workers of this site are."""
        return summarize_site_load(self._policy)

    def cluster_health(self) -> api.ClusterHealth:
        """Return how many workers are listed and how many of them are avoided."""
        return self._policy.cluster_health()

    def close(self) -> None:
        """Cancel all timers."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def capped_retry_after(self, wait: timedelta) -> timedelta | None:
        """Limit the Retry-After of a rejected request; None if responses carry none."""
        return min(wait, self._max_retry_after) or None

    def update_workers(self, update: DestinationUpdate, is_cached: bool = False) -> None:
        """Pass a list of workers, or its changes, to the policy."""
        full = api.WorkerListKind.CACHED if is_cached else api.WorkerListKind.FULL
        workers = tuple(policy_worker(endpoint) for endpoint in update.endpoints)
        self.handle_event(
            api.WorkersChanged(full if update.is_full or is_cached else api.WorkerListKind.CHANGES, workers)
        )

    def record_probe(self, uid: str, outcome: AttemptOutcome, load: LoadReport | None) -> None:
        """Pass the result of a probe to the policy."""
        self.handle_event(api.ProbeResult(uid, POLICY_OUTCOMES[outcome], load_values(load)))

    def receive_hints(self, sender: int, hints: tuple[api.Hint, ...]) -> None:
        """Pass hints of another dispatcher to the policy."""
        self.handle_event(api.HintsReceived(sender, hints))

    def admit(self, profile: RequestProfile) -> Ticket:
        """Pass a new request to the policy; decisions come by the ticket."""
        number = next(self._request_numbers)
        ticket = self._tickets[number] = Ticket(self, number, profile)
        time_left = max(0, micros(profile.deadline - self.clock.now()))
        try:
            self.handle_event(
                api.Request(
                    id=number,
                    job_class=profile.job_class,
                    time_left=time_left,
                    slots=profile.slots,
                    memory=profile.memory,
                    key=hash_key(profile.key),
                    is_retry=profile.is_retry,
                    tenant=profile.tenant,
                    work_hint=micros(profile.duration_hint) if profile.duration_hint else None,
                )
            )
        except BaseException:
            with ticket:  # a defect of the policy must not leave the request open
                raise
        return ticket

    def remove_request(self, number: int) -> None:
        """Remove a request that has ended; only its ticket calls this."""
        self._tickets.pop(number, None)

    def handle_event(self, event: api.Event, not_before: int = 0) -> None:
        """Pass an event to the policy, at `not_before` at the earliest, and carry out its actions."""
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
                    log.info("policy: %s", text)
                case api.Probe(uid):
                    self.start_probe(uid)
                case api.SendHints(to, hints):
                    self.send_hints(to, hints)
                case api.Cancel() | api.Subscribe():
                    pass  # a request cancels its own attempt, and the watch on discovery always runs

    def _set_timer(self, token: int, delay: int) -> None:
        number, due = next(self._timer_numbers), self._last_event_us + delay

        def elapsed() -> None:
            del self._timers[number]
            try:
                # asyncio may call a little early, but the policy expects the exact microsecond that it
                # set: it ignores an earlier event and would set no further timer.
                self.handle_event(api.Timer(token), not_before=due)
            except Exception:
                log.exception("the policy failed to handle a timer")

        wait = (due - micros(self.clock.now() - EPOCH)) / 1_000_000
        self._timers[number] = asyncio.get_running_loop().call_later(max(0.0, wait), elapsed)
