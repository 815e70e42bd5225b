"""The life of one request, from the question to the decisions up to its one final answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from typing import Protocol

from rookwood.net.clock import Clock
from rookwood.net.destinations import Destinations
from rookwood.net.endpoints import AttemptResult, EndpointPool, Stage, WorkerRequest
from rookwood.net.policy_driver import (
    NEVER_RAN,
    Attempt,
    AttemptOutcome,
    FailDecision,
    PolicyDriver,
    RejectDecision,
    RequestProfile,
    Ticket,
    Withdrawn,
)
from rookwood.net.stats import RequestStats

log = logging.getLogger(__name__)

LAST_ATTEMPT_MARGIN = timedelta(milliseconds=20)  # the last attempt ends so long before the client gives up
RESPONSE_MARGIN = timedelta(
    milliseconds=8
)  # and whatever the decisions do, the answer goes out so long before
SHUTDOWN_GRACE = timedelta(milliseconds=500)  # who asks sooner after SIGTERM may still wait for all its time
MAX_KNOWN_IDS = 4096  # ids; many times more than are in hand


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A client's request, decoded."""

    job_class: str
    deadline: datetime  # when the client gives up
    slots: float
    memory: float | None
    key: str | None
    is_retry: bool
    worker_request: WorkerRequest
    idempotency_key: str | None = None  # the header as it came
    tenant: str | None = None
    duration_hint: timedelta | None = None  # how long it may run, as its client guesses
    is_client_gone: Callable[[], bool] = lambda: False  # its client has gone


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    body: bytes = b""
    retry_after: timedelta | None = None
    allow: str | None = None
    replayed: bool = False  # of an earlier try with the same key


class RequestProgress:
    """Whether a request may have run so far, for those who must know. A front may refuse the last byte."""

    def __init__(self) -> None:
        self.attempt_may_have_run = False  # an attempt has ended that may have run
        self.may_be_running = False  # the last byte of one may have left
        self.has_attempt_begun = False  # an attempt has begun
        self.is_forwarded = False  # it is out elsewhere, where only that side knows whether it has run

    @property
    def may_have_run(self) -> bool:
        return self.attempt_may_have_run or self.may_be_running

    def on_waiting(self, ticket: Ticket) -> None:
        """The decisions hold it; a front may take it back by `Ticket.pass_on`."""

    def allow_last_byte(self) -> bool:
        self.may_be_running = True
        return True

    def attempt_ended(self, end: AttemptOutcome) -> None:
        self.attempt_may_have_run, self.may_be_running = (
            self.attempt_may_have_run or end not in NEVER_RAN,
            False,
        )


class ForwardOutcome(Enum):
    """What came of a request elsewhere."""

    SERVED = "served"
    RUN_LOCALLY = "home"  # it may run here: nothing has run that must not run again, and nothing runs now
    FAILED = "failed"
    NOT_SENT = "never left"


@dataclass(frozen=True, slots=True)
class ForwardResult:
    outcome: ForwardOutcome
    body: bytes = b""


class RequestForwarder(Protocol):
    """One request's way to endpoints that are not in the list here."""

    def offer(self, ticket: Ticket) -> None:
        """It is held; whoever can place it elsewhere takes it by `Ticket.pass_on`."""

    async def result(self) -> ForwardResult:
        """After it was taken: how it ended there."""

    def close(self, late: bool) -> ForwardOutcome | None:
        """The one place of release; `late` if the time is up. What is known then; None: it never crossed."""


class IdempotencyGuard(Protocol):
    """Where requests that must not run twice are claimed, whichever dispatcher a retry meets."""

    def applies_to(self, request: InboundRequest) -> bool: ...

    async def serve_once(
        self, request: InboundRequest, run: Callable[[RequestProgress], Awaitable[Response]]
    ) -> Response: ...


class Forwarding(Protocol):
    def forwarder_for(self, request: InboundRequest) -> RequestForwarder: ...


class RequestHandler:
    def __init__(
        self,
        clock: Clock,
        decisions: PolicyDriver,
        destinations: Destinations,
        endpoints: EndpointPool,
        figures: RequestStats,
        retry_after: timedelta | None,
    ) -> None:
        self._clock, self._decisions, self._retry_after = clock, decisions, retry_after
        self._destinations, self._endpoints, self._stats = destinations, endpoints, figures
        self.forwarding: Forwarding | None = None  # where else requests may go
        self.idempotency_guard: IdempotencyGuard | None = (
            None  # asked before anything else is done for a request
        )
        self._shutdown: tuple[datetime, datetime] | None = None  # since when, and the last answer by then
        self._known_ids: dict[str, None] = {}  # of requests in hand or lately here, longest first

    def save_known_ids(self) -> list[str]:
        return list(self._known_ids)

    def restore_known_ids(self, ids: list[str]) -> None:
        """Of the process before: it may still have these in hand, so they must not run here as well."""
        self._known_ids = dict.fromkeys(ids) | self._known_ids

    def begin_shutdown(self, until: datetime) -> None:
        self._shutdown = (self._clock.now(), until)

    def _response_deadline(self, request: InboundRequest) -> datetime:
        """Before the client gives up and, once the end of this program is known, before that end."""
        last = request.deadline - RESPONSE_MARGIN
        if self._shutdown and self._clock.now() > self._shutdown[0] + SHUTDOWN_GRACE:
            last = min(last, self._shutdown[1])
        return last

    async def serve(self, request: InboundRequest, course: RequestProgress | None = None) -> Response:
        """With a `course` the request is another front's guest, and goes nowhere but to endpoints here."""
        # A client makes a new id for each request: one that comes again could have its job run twice.
        request_id = request.worker_request.request_id
        if request_id in self._known_ids:
            return Response(409, b"a request with this id is here already\n")
        self._known_ids[request_id] = None
        if len(self._known_ids) > MAX_KNOWN_IDS:
            del self._known_ids[next(iter(self._known_ids))]
        if self._clock.now() >= request.deadline:  # it has waited behind others of its connection
            return Response(503, b"too late\n", self._retry_after)
        if course:
            return await self._run(request, course, None)
        if self.idempotency_guard and self.idempotency_guard.applies_to(request):
            return await self.idempotency_guard.serve_once(
                request, lambda course: self._serve_own(request, course)
            )
        return await self._serve_own(request, RequestProgress())

    async def _serve_own(self, request: InboundRequest, course: RequestProgress) -> Response:
        crossing = self.forwarding.forwarder_for(request) if self.forwarding else None
        return await self._run(request, course, crossing)

    async def _run(
        self, request: InboundRequest, course: RequestProgress, crossing: RequestForwarder | None
    ) -> Response:
        job = RequestProfile(
            job_class=request.job_class,
            deadline=request.deadline - LAST_ATTEMPT_MARGIN,
            slots=request.slots,
            memory=request.memory,
            key=request.key,
            is_retry=request.is_retry,
            tenant=request.tenant,
            duration_hint=request.duration_hint,
        )
        last, late = self._response_deadline(request), False
        try:
            async with asyncio.timeout(self._clock.seconds_until(last)):
                while (answer := await self._run_locally(request, job, course, crossing)) is None:
                    if crossing is None:
                        return Response(503, b"held too long\n", self._retry_after)
                    course.is_forwarded = True
                    carried = await crossing.result()
                    course.is_forwarded = carried.outcome is not ForwardOutcome.RUN_LOCALLY
                    if carried.outcome is ForwardOutcome.SERVED:
                        return Response(200, carried.body)
                    if carried.outcome is not ForwardOutcome.RUN_LOCALLY:
                        return Response(502, b"failed\n")
                    crossing.close(late=False)
                    crossing = None  # it crosses at most once
                return answer
        except TimeoutError:
            late = True
            fate = crossing.close(late) if crossing else None
            tried = course.may_have_run or course.has_attempt_begun or fate is ForwardOutcome.FAILED
            if last < request.deadline - RESPONSE_MARGIN:  # cut short, since this program is about to end
                return Response(504, b"failed\n") if tried else Response(503, b"leaving\n", self._retry_after)
            if fate is ForwardOutcome.NOT_SENT:
                return Response(503, b"refused\n", self._retry_after)
            if fate is None:
                log.error("no decision before the deadline of a %s request", request.job_class)
            return Response(504, b"failed\n")
        finally:
            if crossing and not late:
                crossing.close(late=False)

    async def _run_locally(
        self,
        request: InboundRequest,
        job: RequestProfile,
        course: RequestProgress,
        crossing: RequestForwarder | None,
    ) -> Response | None:
        """By endpoints of the list here. None: while it was held it was taken elsewhere."""
        end = AttemptOutcome.NOT_SENT
        # Leaving the block, also when the client has gone, tells the decisions of the end.
        with self._decisions.admit(job) as ticket:
            while True:
                if ticket.is_waiting:
                    course.on_waiting(ticket)
                    if crossing and not course.may_have_run:
                        crossing.offer(ticket)
                match await ticket.next_decision():
                    case Withdrawn():
                        return None
                    case RejectDecision(retry_after):
                        return Response(503, b"refused\n", retry_after)
                    case FailDecision():
                        return Response(504 if end is AttemptOutcome.TIMED_OUT else 502, b"failed\n")
                    case Attempt() as attempt:
                        course.has_attempt_begun = True
                        result = await self._attempt(request, attempt, ticket, course)
                        end = result.outcome
                        course.attempt_ended(end)
                        if (
                            end is AttemptOutcome.INVALID_REQUEST
                        ):  # the client's doing: the endpoint keeps its trust
                            return Response(400, b"no endpoint can use this request\n")
                        ticket.end_attempt(end, result.load)
                        if end is AttemptOutcome.SERVED:
                            return Response(200, result.body)

    async def _attempt(
        self, request: InboundRequest, attempt: Attempt, ticket: Ticket, course: RequestProgress
    ) -> AttemptResult:
        def sign(stage: Stage) -> None:
            (ticket.report_started if stage is Stage.STARTED else ticket.report_progress)()

        def wanted() -> bool:
            """Asked right before the first byte. Connecting takes a while: by now the endpoint may have been
            told to drain, the window for repeats may be over, or the client gone."""
            in_window = attempt.start_by is None or self._clock.now() < attempt.start_by
            return in_window and self._destinations.accepts(attempt.uid) and not request.is_client_gone()

        return await self._endpoints.attempt(
            request.worker_request,
            self._destinations.address(attempt.uid),
            attempt.deadline,
            still_wanted=wanted,
            sign=sign,
            leaving=course.allow_last_byte,
            written=lambda: self._stats.count_sent(request.job_class),
            repeatable=attempt.is_retry_safe,
        )
