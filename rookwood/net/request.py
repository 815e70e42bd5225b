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
from rookwood.net.endpoints import Endpoints, Result, Stage, WorkerRequest
from rookwood.net.policy_driver import (
    NEVER_RAN,
    Attempt,
    AttemptOutcome,
    Elsewhere,
    FailFast,
    GiveUp,
    Job,
    PolicyDriver,
    Ticket,
)
from rookwood.net.stats import RequestStats

log = logging.getLogger(__name__)

EARLY = timedelta(milliseconds=20)  # the last attempt ends so long before the client gives up
GUARD = timedelta(milliseconds=8)  # and whatever the decisions do, the answer goes out so long before
EXCUSED = timedelta(milliseconds=500)  # who asks sooner after SIGTERM may still wait for all its time
REMEMBERED = 4096  # ids; many times more than are in hand


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
    left: Callable[[], bool] = lambda: False  # its client has gone


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
        self.out = False  # the last byte of one may have left
        self.tried = False  # an attempt has begun
        self.is_forwarded = False  # it is out elsewhere, where only that side knows whether it has run

    @property
    def may_have_run(self) -> bool:
        return self.attempt_may_have_run or self.out

    def on_waiting(self, ticket: Ticket) -> None:
        """The decisions hold it; a front may take it back by `Ticket.pass_on`."""

    def allow_last_byte(self) -> bool:
        self.out = True
        return True

    def attempt_ended(self, end: AttemptOutcome) -> None:
        self.attempt_may_have_run, self.out = self.attempt_may_have_run or end not in NEVER_RAN, False


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
        endpoints: Endpoints,
        figures: RequestStats,
        retry_after: timedelta | None,
    ) -> None:
        self._clock, self._decisions, self._retry_after = clock, decisions, retry_after
        self._destinations, self._endpoints, self._figures = destinations, endpoints, figures
        self.forwarding: Forwarding | None = None  # where else requests may go
        self.idempotency_guard: IdempotencyGuard | None = (
            None  # asked before anything else is done for a request
        )
        self._leaving: tuple[datetime, datetime] | None = None  # since when, and the last answer by then
        self._ids: dict[str, None] = {}  # of requests in hand or lately here, longest first

    def remember(self) -> list[str]:
        return list(self._ids)

    def recall(self, ids: list[str]) -> None:
        """Of the process before: it may still have these in hand, so they must not run here as well."""
        self._ids = dict.fromkeys(ids) | self._ids

    def leave(self, until: datetime) -> None:
        self._leaving = (self._clock.now(), until)

    def _last_answer(self, request: InboundRequest) -> datetime:
        """Before the client gives up and, once the end of this program is known, before that end."""
        last = request.deadline - GUARD
        if self._leaving and self._clock.now() > self._leaving[0] + EXCUSED:
            last = min(last, self._leaving[1])
        return last

    async def serve(self, request: InboundRequest, course: RequestProgress | None = None) -> Response:
        """With a `course` the request is another front's guest, and goes nowhere but to endpoints here."""
        # A client makes a new id for each request: one that comes again could have its job run twice.
        request_id = request.worker_request.request_id
        if request_id in self._ids:
            return Response(409, b"a request with this id is here already\n")
        self._ids[request_id] = None
        if len(self._ids) > REMEMBERED:
            del self._ids[next(iter(self._ids))]
        if self._clock.now() >= request.deadline:  # it has waited behind others of its connection
            return Response(503, b"too late\n", self._retry_after)
        if course:
            return await self._served(request, course, None)
        if self.idempotency_guard and self.idempotency_guard.applies_to(request):
            return await self.idempotency_guard.serve_once(request, lambda course: self._own(request, course))
        return await self._own(request, RequestProgress())

    async def _own(self, request: InboundRequest, course: RequestProgress) -> Response:
        crossing = self.forwarding.forwarder_for(request) if self.forwarding else None
        return await self._served(request, course, crossing)

    async def _served(
        self, request: InboundRequest, course: RequestProgress, crossing: RequestForwarder | None
    ) -> Response:
        job = Job(
            job_class=request.job_class,
            deadline=request.deadline - EARLY,
            slots=request.slots,
            memory=request.memory,
            key=request.key,
            is_retry=request.is_retry,
            tenant=request.tenant,
            hint=request.duration_hint,
        )
        last, late = self._last_answer(request), False
        try:
            async with asyncio.timeout(self._clock.seconds_to(last)):
                while (answer := await self._at_home(request, job, course, crossing)) is None:
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
            tried = course.may_have_run or course.tried or fate is ForwardOutcome.FAILED
            if last < request.deadline - GUARD:  # cut short, since this program is about to end
                return Response(504, b"failed\n") if tried else Response(503, b"leaving\n", self._retry_after)
            if fate is ForwardOutcome.NOT_SENT:
                return Response(503, b"refused\n", self._retry_after)
            if fate is None:
                log.error("no decision before the deadline of a %s request", request.job_class)
            return Response(504, b"failed\n")
        finally:
            if crossing and not late:
                crossing.close(late=False)

    async def _at_home(
        self, request: InboundRequest, job: Job, course: RequestProgress, crossing: RequestForwarder | None
    ) -> Response | None:
        """By endpoints of the list here. None: while it was held it was taken elsewhere."""
        end = AttemptOutcome.NEVER_SENT
        # Leaving the block, also when the client has gone, tells the decisions of the end.
        with self._decisions.admit(job) as ticket:
            while True:
                if ticket.is_waiting:
                    course.on_waiting(ticket)
                    if crossing and not course.may_have_run:
                        crossing.offer(ticket)
                match await ticket.decision():
                    case Elsewhere():
                        return None
                    case FailFast(retry_after):
                        return Response(503, b"refused\n", retry_after)
                    case GiveUp():
                        return Response(504 if end is AttemptOutcome.TIMED_OUT else 502, b"failed\n")
                    case Attempt() as attempt:
                        course.tried = True
                        result = await self._try(request, attempt, ticket, course)
                        end = result.end
                        course.attempt_ended(end)
                        if end is AttemptOutcome.UNFIT:  # the client's doing: the endpoint keeps its trust
                            return Response(400, b"no endpoint can use this request\n")
                        ticket.ended(end, result.load)
                        if end is AttemptOutcome.SERVED:
                            return Response(200, result.body)

    async def _try(
        self, request: InboundRequest, attempt: Attempt, ticket: Ticket, course: RequestProgress
    ) -> Result:
        def sign(stage: Stage) -> None:
            (ticket.started if stage is Stage.STARTED else ticket.moving)()

        def wanted() -> bool:
            """Asked right before the first byte. Connecting takes a while: by now the endpoint may have been
            told to drain, the window for repeats may be over, or the client gone."""
            in_window = attempt.begin_by is None or self._clock.now() < attempt.begin_by
            return in_window and self._destinations.accepts(attempt.uid) and not request.left()

        return await self._endpoints.attempt(
            request.worker_request,
            self._destinations.address(attempt.uid),
            attempt.until,
            still_wanted=wanted,
            sign=sign,
            leaving=course.allow_last_byte,
            written=lambda: self._figures.sent(request.job_class),
            repeatable=attempt.repeatable,
        )
