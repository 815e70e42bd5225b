"""Handles one client request from its head to the end of its answer."""

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
from rookwood.dataplane.request_counts import RequestCounts, RequestOutcome
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.responses import (
    OUTCOME_KEY,
    REFUSAL_KEY,
    RETRY_SOON,
    Refusal,
    RequestProgress,
    Rerouted,
    complete_response,
    end_incomplete,
    read_body,
    refusal_for,
)
from rookwood.dataplane.retry_budget import RetryBudget
from rookwood.dataplane.retry_rules import RetryRules
from rookwood.dataplane.route_matching import RouteMatcher
from rookwood.dataplane.router import Router
from rookwood.dataplane.upstream import UpstreamClient
from rookwood.dataplane.worker_search import WorkerSearch
from rookwood.mechanisms import ALL_MECHANISMS, Mechanisms

logger = logging.getLogger("rookwood")

DEFAULT_BODY_LIMIT = 4 * 1024 * 1024
RETRY_ELSEWHERE = 0.1  # seconds; this process ends, other dispatchers serve on


class Proxy:
    """Forwards requests to workers."""

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
    ) -> None:
        self._losses = losses or LossLog(enabled=False)
        self._router = router
        self._demand = demand
        self._budget = budget
        self.in_flight = 0
        self.counts = RequestCounts()
        self._limits = limits or AttemptLimits()
        self._repeats = RetryRules(router, budget)
        self._matcher = RouteMatcher(router, is_level)
        self._search = WorkerSearch(router, self._matcher, demand, self._limits, mechanisms)
        self._sender = AttemptSender(
            router, pool, demand, client, self._repeats, self._limits, self.counts, mechanisms, on_work
        )

    @property
    def draining(self) -> bool:
        """Whether the process is about to end."""
        return self._limits.closing.known

    def drain(self, closes_at: float) -> None:
        """Let connections end after their next answer, and whatever is under way at `closes_at`.

        What can't be expected to end by then is refused from now on.
        """
        self._limits.closing.set(closes_at, now())
        self._router.notify()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.in_flight += 1
        progress = RequestProgress(now())
        try:
            response = await self._handle(request, progress)
            if self.draining:
                response.force_close()
            self._count_answer(response, progress)
            return response
        except (asyncio.CancelledError, OSError, web.RequestPayloadError):
            self._count_end(RequestOutcome.ABANDONED, progress)
            raise
        except Exception:
            self._count_end(RequestOutcome.FAILED, progress)
            raise
        finally:
            self.in_flight -= 1

    def _count_answer(self, response: web.StreamResponse, progress: RequestProgress) -> None:
        refusal = response.get(REFUSAL_KEY)
        if refusal is not None:
            self.counts.count_rejection(refusal.status, refusal.reason)
            self._note_loss(RequestOutcome.REFUSED, progress, refusal.reason)
        else:
            outcome = response.get(OUTCOME_KEY, RequestOutcome.ANSWERED)
            self.counts.count_end(outcome, response.status)
            self._note_loss(outcome, progress, progress.broken)

    def _count_end(self, outcome: RequestOutcome, progress: RequestProgress) -> None:
        self.counts.count_end(outcome)
        self._note_loss(outcome, progress, progress.broken)

    def _note_loss(self, outcome: RequestOutcome, progress: RequestProgress, why: str) -> None:
        self._losses.ended(progress.routed, progress.trace, outcome, why, now())

    async def _handle(self, request: web.BaseRequest, progress: RequestProgress) -> web.StreamResponse:
        """Answer a request, at the latest when the process ends."""
        scope = asyncio.timeout(None)
        try:
            async with scope:
                with self._limits.closing.register(scope):
                    return await self._route(request, progress)
        except TimeoutError:
            if not scope.expired():
                raise
        return self._end_unfinished(request, progress)

    def _end_unfinished(self, client: web.BaseRequest, progress: RequestProgress) -> web.StreamResponse:
        """The process ends before the request does."""
        if progress.response is not None:
            return self._cut(client, progress.response)
        if progress.sends:
            return Refusal(502, "the dispatcher ends before the worker's answer").response()
        return Refusal(503, "the dispatcher ends", RETRY_ELSEWHERE).response()

    async def _route(self, request: web.BaseRequest, progress: RequestProgress) -> web.StreamResponse:
        arrived = now()
        configuration = await self._matcher.await_configuration(request, arrived)
        if configuration is None:
            return Refusal(503, "no configuration yet", RETRY_SOON).response()
        body = await read_body(request, configuration.limits.body_bytes or DEFAULT_BODY_LIMIT)
        if body is None:
            return Refusal(413, "body too large").response()
        routed = await self._matcher.match(request, body, arrived)
        if isinstance(routed, Refusal):
            return routed.response()
        progress.routed = routed
        self._search.observe(routed, progress)
        progress.trace.routed = now()
        self._count(routed)
        answer = await self._forward(request, routed, progress)
        while isinstance(answer, Rerouted):
            rerouted = await self._matcher.match(request, body, arrived)
            if isinstance(rerouted, Refusal):
                return rerouted.response()
            if (rerouted.service, rerouted.key) != (routed.service, routed.key):
                self._count(rerouted)
            routed = progress.routed = rerouted
            answer = await self._forward(request, routed, progress)
        return answer

    def _count(self, request: RoutedRequest) -> None:
        """Count a request for its service, and for the weights that it needs."""
        self._budget.request(request.service, request.arrived)
        if request.key is not None:
            self._demand.request(request.key, request.arrived)

    async def _forward(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> web.StreamResponse | Rerouted:
        while True:
            worker = await self._search.find(client, request, progress)
            if self._matcher.is_rerouted(client, request, progress):
                return Rerouted()
            if progress.response is None and not self._limits.ends_in_time(request, now()):
                worker = Refusal(503, "the dispatcher ends", RETRY_ELSEWHERE)
            if isinstance(worker, Refusal):
                return self._give_up(client, request, progress, worker)
            outcome = await self._sender.send(client, request, worker, progress)
            if isinstance(outcome, web.StreamResponse):
                return outcome
            if not self._repeats.may_retry(request, progress, outcome, now()):
                return self._give_up(client, request, progress, refusal_for(request, progress, outcome))

    def _give_up(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress, refusal: Refusal
    ) -> web.StreamResponse:
        """The final answer: a refusal, or the end of a stream that can't be finished."""
        if progress.response is not None:
            return self._cut(client, progress.response)
        if progress.last_answer is not None:
            return complete_response(progress.last_answer)
        if progress.may_have_run and not request.repeatable and refusal.status == 503:
            refusal = Refusal(502, "the worker's answer was lost")
        logger.info(
            "request given up",
            extra={"request": request.id, "status": refusal.status, "reason": refusal.reason},
        )
        return refusal.response()

    @staticmethod
    def _cut(client: web.BaseRequest, response: web.StreamResponse) -> web.StreamResponse:
        """End an answer that can't be finished so that it doesn't look whole."""
        response[OUTCOME_KEY] = RequestOutcome.CUT
        end_incomplete(client)
        return response
