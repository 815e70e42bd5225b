"""Serves requests: carries out the policy's decisions for each of them and returns its one response."""

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

LAST_ATTEMPT_MARGIN = timedelta(milliseconds=20)  # attempts end this long before the client gives up
RESPONSE_MARGIN = timedelta(milliseconds=8)  # the response is sent this long before the client gives up
SHUTDOWN_GRACE = timedelta(milliseconds=500)  # requests that come sooner after SIGTERM keep their deadline
MAX_KNOWN_IDS = 4096  # many times the number of open requests


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A client's request, parsed."""

    job_class: str
    deadline: datetime  # when the client gives up
    slots: float
    memory: float | None
    key: str | None
    is_retry: bool
    worker_request: WorkerRequest
    idempotency_key: str | None = None  # the header as received
    tenant: str | None = None
    duration_hint: timedelta | None = None  # the client's estimate of the time that the job runs
    is_client_gone: Callable[[], bool] = lambda: False  # whether the client has disconnected


@dataclass(frozen=True, slots=True)
class Response:
    """A response to a client, or to a management call."""

    status: int
    body: bytes = b""
    retry_after: timedelta | None = None
    allow: str | None = None
    replayed: bool = False  # whether it repeats the response to an earlier request with the same key


class RequestProgress:
    """Records whether a request may have run so far.

    Extensions override its methods to follow a request, and to stop an attempt before its last byte.
    """

    def __init__(self) -> None:
        self.attempt_may_have_run = False  # whether an attempt ended that may have run
        self.may_be_running = False  # whether the last byte of the current attempt may have been sent
        self.has_attempt_begun = False
        self.is_forwarded = False  # whether it is at another site, which alone knows whether it has run

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt at a worker of this site may have run, or may be running."""
        return self.attempt_may_have_run or self.may_be_running

    def on_waiting(self, ticket: Ticket) -> None:
        """Called while the policy holds the request; `Ticket.withdraw` takes it back."""

    def allow_last_byte(self) -> bool:
        """Called right before the last byte of an attempt is sent; False stops the attempt."""
        self.may_be_running = True
        return True

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Called after each attempt."""
        self.attempt_may_have_run, self.may_be_running = (
            self.attempt_may_have_run or outcome not in NEVER_RAN,
            False,
        )


class ForwardOutcome(Enum):
    """How a request ended that was to be forwarded to another site."""

    SERVED = "served"
    RUN_LOCALLY = "home"  # it is not running elsewhere, and if it has run there it may run twice
    FAILED = "failed"
    NOT_SENT = "never left"


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """The outcome of a forwarded request, and the body of its response."""

    outcome: ForwardOutcome
    body: bytes = b""


class RequestForwarder(Protocol):
    """Forwards one request to another site if that is better than to hold it here."""

    def offer(self, ticket: Ticket) -> None:
        """Offer a held request; to forward it, the forwarder first calls `Ticket.withdraw`."""

    async def result(self) -> ForwardResult:
        """Wait for the result of the request after it was withdrawn."""

    def close(self, late: bool) -> ForwardOutcome | None:
        """End the forwarding; `late` if the request's time is over.

        Returns the outcome as far as it is known, or None if the request was not forwarded.
        """


class IdempotencyGuard(Protocol):
    """Makes requests with the same idempotency key run only once, at whichever dispatcher they arrive."""

    def applies_to(self, request: InboundRequest) -> bool:
        """Whether the request must be served through `serve_once`."""
        ...

    async def serve_once(
        self, request: InboundRequest, run: Callable[[RequestProgress], Awaitable[Response]]
    ) -> Response:
        """Run the request, or return the response to an earlier one with its key."""
        ...


class Forwarding(Protocol):
    """Forwards requests to other sites."""

    def forwarder_for(self, request: InboundRequest) -> RequestForwarder:
        """Return the forwarder of a new request."""
        ...


class RequestHandler:
    """Serves requests by the decisions of the policy, at workers of this site or by forwarding them."""

    def __init__(
        self,
        clock: Clock,
        decisions: PolicyDriver,
        destinations: Destinations,
        endpoints: EndpointPool,
        stats: RequestStats,
        retry_after: timedelta | None,
    ) -> None:
        self._clock, self._decisions, self._retry_after = clock, decisions, retry_after
        self._destinations, self._endpoints, self._stats = destinations, endpoints, stats
        self.forwarding: Forwarding | None = None  # set by an extension
        self.idempotency_guard: IdempotencyGuard | None = None  # set by an extension
        self._shutdown: tuple[datetime, datetime] | None = None  # its start, and the last response's time
        self._known_ids: dict[str, None] = {}  # ids of open and of recent requests, oldest first

    def save_known_ids(self) -> list[str]:
        """Return the ids of open and of recent requests, for the next process."""
        return list(self._known_ids)

    def restore_known_ids(self, ids: list[str]) -> None:
        """Add the ids of the previous process, where the requests may still run, so that none runs twice."""
        self._known_ids = dict.fromkeys(ids) | self._known_ids

    def begin_shutdown(self, last_response: datetime) -> None:
        """Respond to requests that come from now on before the process ends."""
        self._shutdown = (self._clock.now(), last_response)

    def _response_deadline(self, request: InboundRequest) -> datetime:
        """Return the time of the response: before the client gives up and before this process ends."""
        deadline = request.deadline - RESPONSE_MARGIN
        if self._shutdown and self._clock.now() > self._shutdown[0] + SHUTDOWN_GRACE:
            deadline = min(deadline, self._shutdown[1])
        return deadline

    async def serve(self, request: InboundRequest, progress: RequestProgress | None = None) -> Response:
        """Serve a request; one with a `progress` came from an extension and runs only at this site."""
        # Clients use a new id for each request, so a known id means that the job could run twice.
        request_id = request.worker_request.request_id
        if request_id in self._known_ids:
            return Response(409, b"a request with this id is here already\n")
        self._known_ids[request_id] = None
        if len(self._known_ids) > MAX_KNOWN_IDS:
            del self._known_ids[next(iter(self._known_ids))]
        if self._clock.now() >= request.deadline:  # it waited too long behind others on its connection
            return Response(503, b"too late\n", self._retry_after)
        if progress:
            return await self._run(request, progress, None)
        if self.idempotency_guard and self.idempotency_guard.applies_to(request):
            return await self.idempotency_guard.serve_once(
                request, lambda progress: self._serve_own(request, progress)
            )
        return await self._serve_own(request, RequestProgress())

    async def _serve_own(self, request: InboundRequest, progress: RequestProgress) -> Response:
        """Run a client's request, which may be forwarded."""
        forwarder = self.forwarding.forwarder_for(request) if self.forwarding else None
        return await self._run(request, progress, forwarder)

    async def _run(
        self, request: InboundRequest, progress: RequestProgress, forwarder: RequestForwarder | None
    ) -> Response:
        """Run a request here or elsewhere, and return its response before the deadline."""
        profile = RequestProfile(
            job_class=request.job_class,
            deadline=request.deadline - LAST_ATTEMPT_MARGIN,
            slots=request.slots,
            memory=request.memory,
            key=request.key,
            is_retry=request.is_retry,
            tenant=request.tenant,
            duration_hint=request.duration_hint,
        )
        deadline, is_late = self._response_deadline(request), False
        try:
            async with asyncio.timeout(self._clock.seconds_until(deadline)):
                while (response := await self._run_locally(request, profile, progress, forwarder)) is None:
                    if forwarder is None:
                        return Response(503, b"held too long\n", self._retry_after)
                    progress.is_forwarded = True
                    forwarded = await forwarder.result()
                    progress.is_forwarded = forwarded.outcome is not ForwardOutcome.RUN_LOCALLY
                    if forwarded.outcome is ForwardOutcome.SERVED:
                        return Response(200, forwarded.body)
                    if forwarded.outcome is not ForwardOutcome.RUN_LOCALLY:
                        return Response(502, b"failed\n")
                    forwarder.close(late=False)
                    forwarder = None  # a request is forwarded at most once
                return response
        except TimeoutError:
            is_late = True
            forward_outcome = forwarder.close(is_late) if forwarder else None
            was_attempted = (
                progress.may_have_run
                or progress.has_attempt_begun
                or forward_outcome is ForwardOutcome.FAILED
            )
            if deadline < request.deadline - RESPONSE_MARGIN:  # shortened, since this process is about to end
                return (
                    Response(504, b"failed\n")
                    if was_attempted
                    else Response(503, b"leaving\n", self._retry_after)
                )
            if forward_outcome is ForwardOutcome.NOT_SENT:
                return Response(503, b"refused\n", self._retry_after)
            if forward_outcome is None:
                log.error("no decision before the deadline of a %s request", request.job_class)
            return Response(504, b"failed\n")
        finally:
            if forwarder and not is_late:
                forwarder.close(late=False)

    async def _run_locally(
        self,
        request: InboundRequest,
        profile: RequestProfile,
        progress: RequestProgress,
        forwarder: RequestForwarder | None,
    ) -> Response | None:
        """Run a request at workers listed here; return None if it was withdrawn while it was held."""
        outcome = AttemptOutcome.NOT_SENT
        # Leaving the block tells the policy that the request has ended, also when the task is cancelled
        # because the client has disconnected.
        with self._decisions.admit(profile) as ticket:
            while True:
                if ticket.is_waiting:
                    progress.on_waiting(ticket)
                    if forwarder and not progress.may_have_run:
                        forwarder.offer(ticket)
                match await ticket.next_decision():
                    case Withdrawn():
                        return None
                    case RejectDecision(retry_after):
                        return Response(503, b"refused\n", retry_after)
                    case FailDecision():
                        return Response(504 if outcome is AttemptOutcome.TIMED_OUT else 502, b"failed\n")
                    case Attempt() as attempt:
                        progress.has_attempt_begun = True
                        result = await self._attempt(request, attempt, ticket, progress)
                        outcome = result.outcome
                        progress.attempt_ended(outcome)
                        # An invalid request is the client's fault, so the worker loses no trust.
                        if outcome is AttemptOutcome.INVALID_REQUEST:
                            return Response(400, b"no endpoint can use this request\n")
                        ticket.end_attempt(outcome, result.load)
                        if outcome is AttemptOutcome.SERVED:
                            return Response(200, result.body)

    async def _attempt(
        self, request: InboundRequest, attempt: Attempt, ticket: Ticket, progress: RequestProgress
    ) -> AttemptResult:
        """Send the request to the worker that the policy chose."""

        def report(stage: Stage) -> None:
            (ticket.report_started if stage is Stage.STARTED else ticket.report_progress)()

        def should_send() -> bool:
            """Whether to send the request, now that the connection is open.

            While it was being opened, the worker may have begun to drain, the retry window may have ended, or
            the client may have disconnected.
            """
            in_window = attempt.start_by is None or self._clock.now() < attempt.start_by
            return in_window and self._destinations.accepts(attempt.uid) and not request.is_client_gone()

        return await self._endpoints.attempt(
            request.worker_request,
            self._destinations.address(attempt.uid),
            attempt.deadline,
            should_send=should_send,
            on_progress=report,
            allow_last_byte=progress.allow_last_byte,
            on_sent=lambda: self._stats.count_sent(request.job_class),
            is_retry_safe=attempt.is_retry_safe,
        )
