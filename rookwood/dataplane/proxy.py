"""Handles a client request from its head to the end of its response."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from aiohttp import web

from rookwood.cluster.messages import WorkNotice
from rookwood.dataplane.attempt_limits import AttemptLimits
from rookwood.dataplane.attempts import AttemptSender
from rookwood.dataplane.clock import now
from rookwood.dataplane.demand import DemandMeter
from rookwood.dataplane.loss_log import LossLog
from rookwood.dataplane.pool import WorkerPool
from rookwood.dataplane.request_bodies import RequestBody
from rookwood.dataplane.request_counts import RequestCounts, RequestOutcome
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.responses import (
    DEFAULT_RETRY_AFTER,
    ERROR_RESPONSE_KEY,
    OUTCOME_KEY,
    ErrorResponse,
    RequestProgress,
    Rerouted,
    close_incomplete_response,
    complete_response,
    error_after_attempt,
)
from rookwood.dataplane.retry_budget import RetryBudget
from rookwood.dataplane.retry_rules import RetryRules
from rookwood.dataplane.route_matching import RouteMatcher
from rookwood.dataplane.router import Router
from rookwood.dataplane.upstream import UpstreamClient
from rookwood.dataplane.worker_search import WorkerSearch
from rookwood.httpserver.responses import is_large, write_in_pieces
from rookwood.mechanisms import ALL_MECHANISMS, Mechanisms
from rookwood.memory_budget import DEFAULT_MEMORY_MEGABYTES, MemoryBudget

logger = logging.getLogger("rookwood")

DEFAULT_BODY_LIMIT = 4 * 1024 * 1024  # bytes
SHUTDOWN_RETRY_AFTER = 0.1  # seconds; soon, since other dispatchers go on serving


class Proxy:
    """Routes client requests and forwards them to workers, with retries."""

    def __init__(
        self,
        router: Router,
        pool: WorkerPool,
        demand: DemandMeter,
        budget: RetryBudget,
        client: UpstreamClient,
        on_work: Callable[[WorkNotice], None],
        is_level: Callable[[], bool],
        losses: LossLog | None = None,
        mechanisms: Mechanisms = ALL_MECHANISMS,
        limits: AttemptLimits | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory or MemoryBudget.for_memory(DEFAULT_MEMORY_MEGABYTES)
        self._loss_log = losses or LossLog(enabled=False)
        self._router = router
        self._demand = demand
        self._budget = budget
        self.in_flight = 0
        self.counts = RequestCounts()
        self._limits = limits or AttemptLimits()
        self._retry_rules = RetryRules(router, budget)
        self._matcher = RouteMatcher(router, is_level)
        self._search = WorkerSearch(router, self._matcher, demand, self._limits, mechanisms)
        self._sender = AttemptSender(
            router, pool, demand, client, self._retry_rules, self._limits, self.counts, mechanisms, on_work
        )

    @property
    def draining(self) -> bool:
        """Whether the process is about to end."""
        return self._limits.closing.is_known

    def drain(self, closes_at: float) -> None:
        """Close each connection after its next response, and end the requests in flight at `closes_at`.

        From now on, requests that are not expected to end by then are rejected.
        """
        self._limits.closing.set(closes_at, now())
        self._router.notify_change()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and record how it ended."""
        self.in_flight += 1
        progress = RequestProgress(now(), self._memory)
        body = RequestBody(request, self._memory)
        try:
            response = await self._handle(request, body, progress)
            if self.draining:
                response.force_close()
            if isinstance(response, web.Response) and is_large(response):
                body.release()
                response = await write_in_pieces(request, response)
            self._record_response(response, progress)
            return response
        except (asyncio.CancelledError, OSError, web.RequestPayloadError):
            self._record_end_without_response(RequestOutcome.ABANDONED, progress)
            raise
        except Exception:
            self._record_end_without_response(RequestOutcome.FAILED, progress)
            raise
        finally:
            body.release()
            progress.response_memory.release()
            self.in_flight -= 1

    def _record_response(self, response: web.StreamResponse, progress: RequestProgress) -> None:
        error_response = response.get(ERROR_RESPONSE_KEY)
        if error_response is not None:
            self.counts.count_rejection(error_response.status, error_response.reason)
            self._log_loss(RequestOutcome.REFUSED, progress, error_response.reason)
        else:
            outcome = response.get(OUTCOME_KEY, RequestOutcome.ANSWERED)
            self.counts.count_end(outcome, response.status)
            self._log_loss(outcome, progress, progress.loss_reason)

    def _record_end_without_response(self, outcome: RequestOutcome, progress: RequestProgress) -> None:
        self.counts.count_end(outcome)
        self._log_loss(outcome, progress, progress.loss_reason)

    def _log_loss(self, outcome: RequestOutcome, progress: RequestProgress, reason: str) -> None:
        self._loss_log.record_end(progress.routed, progress.trace, outcome, reason, now())

    async def _handle(
        self, request: web.BaseRequest, body: RequestBody, progress: RequestProgress
    ) -> web.StreamResponse:
        """Respond to a request, at the latest at the closing time of the process."""
        scope = asyncio.timeout(None)
        try:
            async with scope:
                with self._limits.closing.register(scope):
                    return await self._route_and_forward(request, body, progress)
        except TimeoutError:
            if not scope.expired():
                raise
        return self._end_at_shutdown(request, progress)

    def _end_at_shutdown(self, client: web.BaseRequest, progress: RequestProgress) -> web.StreamResponse:
        """The response to a request that is still in flight at the closing time."""
        if progress.response is not None:
            return self._cut_response(client, progress.response)
        if progress.attempts_sent:
            return ErrorResponse(502, "the dispatcher ends before the worker's answer").build()
        return ErrorResponse(503, "the dispatcher ends", SHUTDOWN_RETRY_AFTER).build()

    async def _route_and_forward(
        self, request: web.BaseRequest, request_body: RequestBody, progress: RequestProgress
    ) -> web.StreamResponse:
        arrived = now()
        configuration = await self._matcher.await_configuration(request, arrived)
        if configuration is None:
            return ErrorResponse(503, "no configuration yet", DEFAULT_RETRY_AFTER).build()
        body_limit = configuration.limits.body_bytes or DEFAULT_BODY_LIMIT
        body = await request_body.read(body_limit, self._matcher.longest_wait(request))
        if isinstance(body, ErrorResponse):
            return body.build()
        routed = await self._matcher.match(request, body, arrived)
        if isinstance(routed, ErrorResponse):
            return routed.build()
        progress.routed = routed
        self._search.record_first_try(routed, progress)
        progress.trace.routed_at = now()
        self._record_demand(routed)
        response = await self._forward(request, routed, progress)
        while isinstance(response, Rerouted):
            rerouted = await self._matcher.match(request, body, arrived)
            if isinstance(rerouted, ErrorResponse):
                return rerouted.build()
            if (rerouted.service, rerouted.key) != (routed.service, routed.key):
                self._record_demand(rerouted)
            routed = progress.routed = rerouted
            response = await self._forward(request, routed, progress)
        return response

    def _record_demand(self, request: RoutedRequest) -> None:
        """Count a request for its service's retry budget, and as demand for its weights."""
        self._budget.record_request(request.service, request.arrived)
        if request.key is not None:
            self._demand.record_request(request.key, request.arrived)

    async def _forward(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> web.StreamResponse | Rerouted:
        while True:
            found = await self._search.find(client, request, progress)
            if self._matcher.is_rerouted(client, request, progress):
                return Rerouted()
            if progress.response is None and not self._limits.can_end_in_time(request, now()):
                found = ErrorResponse(503, "the dispatcher ends", SHUTDOWN_RETRY_AFTER)
            if isinstance(found, ErrorResponse):
                return self._give_up(client, request, progress, found)
            outcome = await self._sender.send(client, request, found, progress)
            if isinstance(outcome, web.StreamResponse):
                return outcome
            if not self._retry_rules.may_retry(request, progress, outcome, now()):
                return self._give_up(
                    client, request, progress, error_after_attempt(request, progress, outcome)
                )

    def _give_up(
        self,
        client: web.BaseRequest,
        request: RoutedRequest,
        progress: RequestProgress,
        error: ErrorResponse,
    ) -> web.StreamResponse:
        """The final response without a further attempt.

        The client gets the end of a stream that cannot be finished, else the last response that a retry was
        to improve on, else `error`. A request that may have run and must not run twice gets no 503, because
        that status promises that it has not run.
        """
        if progress.response is not None:
            return self._cut_response(client, progress.response)
        if progress.last_response is not None:
            return complete_response(progress.last_response)
        if progress.may_have_run and not request.repeatable and error.status == 503:
            error = ErrorResponse(502, "the worker's answer was lost")
        logger.info(
            "request given up",
            extra={
                "request": request.id,
                "status": error.status,
                "reason": error.reason,
                "loss": progress.loss_reason,
                "workers": sorted(progress.excluded_workers),
            },
        )
        return error.build()

    @staticmethod
    def _cut_response(client: web.BaseRequest, response: web.StreamResponse) -> web.StreamResponse:
        """End a response that cannot be finished so that it does not look complete."""
        response[OUTCOME_KEY] = RequestOutcome.CUT
        close_incomplete_response(client)
        return response
