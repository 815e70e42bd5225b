"""Finds the worker for a request's next attempt, and waits for one if none holds the weights."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from aiohttp import web

from rookwood.cluster.workers import WorkerRecord
from rookwood.dataplane.attempt_limits import AttemptLimits
from rookwood.dataplane.clock import now
from rookwood.dataplane.demand import DemandMeter
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.responses import DEFAULT_RETRY_AFTER, ErrorResponse, RequestProgress
from rookwood.dataplane.retry_rules import MIN_ATTEMPT_TIME
from rookwood.dataplane.return_times import ReturnTimes
from rookwood.dataplane.route_matching import RouteMatcher
from rookwood.dataplane.router import Router
from rookwood.mechanisms import Mechanism, Mechanisms


@dataclass(frozen=True, slots=True)
class WorkerSearch:
    """Chooses a worker, waits for one, or returns the error response for a request without one."""

    _router: Router
    _matcher: RouteMatcher
    _demand: DemandMeter
    _limits: AttemptLimits
    _mechanisms: Mechanisms
    _return_times: ReturnTimes = field(default_factory=ReturnTimes)

    def record_first_try(self, request: RoutedRequest, progress: RequestProgress) -> None:
        """Record whether this is the client's first try, judged by the time left that it states."""
        if request.stated_time_left is not None:
            progress.is_first_try = self._return_times.looks_like_first_try(
                request.route, request.stated_time_left
            )

    async def find(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> WorkerRecord | ErrorResponse:
        """A worker for the next attempt; waits for a load of the weights for a limited time."""
        began = now()
        worker = self._router.find_worker(request, progress.excluded_workers, began)
        if worker is not None and request.deadline - began > MIN_ATTEMPT_TIME:
            return worker
        if began >= self._limits.wait_deadline(request, began) or not self._is_worth_waiting(
            request, progress
        ):
            return ErrorResponse(503, "no worker", DEFAULT_RETRY_AFTER)
        return_time = self._find_return_time(request, progress, began)
        if return_time is not None:
            return ErrorResponse(503, "weights are not loaded yet", return_time)
        progress.trace.begin_wait(began)
        if request.key is None:
            found = await self._await_worker(client, request, progress)
        else:
            self._demand.begin_wait(request.key, began)
            try:
                found = await self._await_worker(client, request, progress)
            finally:
                self._demand.end_wait(request.key, began)
        progress.trace.end_wait(now())
        return found or ErrorResponse(503, "no worker with the weights", DEFAULT_RETRY_AFTER)

    def _find_return_time(
        self, request: RoutedRequest, progress: RequestProgress, began: float
    ) -> float | None:
        """Seconds after which the client should return for a model that no worker holds.

        None if the request should wait here. Otherwise the client counts as waiting until it returns, so that
        the model is loaded meanwhile.
        """
        key = request.key
        if key is None or request.stated_time_left is None or not progress.is_first_try:
            return None
        if not self._mechanisms.has(Mechanism.RETURN_TIMES):
            return None
        if progress.attempts_sent or self._router.has_holder(replace(key, adapter=""), request.service):
            return None
        model = self._router.model(key)
        if model is None:
            return None
        oldest_wait = self._demand.oldest_wait_seconds(key, began)
        return_time = self._return_times.find_return_time(
            request.route, model, oldest_wait, request.stated_time_left
        )
        if return_time is not None:
            self._demand.begin_wait(key, began)
            asyncio.get_running_loop().call_later(return_time, self._demand.end_wait, key, began)
        return return_time

    def _is_worth_waiting(self, request: RoutedRequest, progress: RequestProgress) -> bool:
        """Whether a worker may appear: weights are loaded on demand, other workers only come at startup."""
        return request.key is not None or not progress.excluded_workers

    async def _await_worker(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> WorkerRecord | None:
        while await self._router.wait_change(self._limits.wait_deadline(request, now())):
            if self._matcher.is_rerouted(client, request, progress):
                return None
            worker = self._router.find_worker(request, progress.excluded_workers, now())
            if worker is not None:
                return worker
        return None
