"""Finds the worker for a request's next attempt: one that serves now, or one that is waited for."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from aiohttp import web

from rookwood.cluster.workers import WorkerRecord
from rookwood.dataplane.attempt_limits import AttemptLimits
from rookwood.dataplane.clock import now
from rookwood.dataplane.demand import DemandMeter
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.responses import RETRY_SOON, Refusal, RequestProgress
from rookwood.dataplane.retry_rules import MINIMUM_ATTEMPT
from rookwood.dataplane.return_times import ReturnTimes
from rookwood.dataplane.route_matching import RouteMatcher
from rookwood.dataplane.router import Router
from rookwood.mechanisms import Mechanism, Mechanisms


@dataclass(frozen=True, slots=True)
class WorkerSearch:
    """Chooses a worker, waits for one, or tells why there is none."""

    _router: Router
    _matcher: RouteMatcher
    _demand: DemandMeter
    _limits: AttemptLimits
    _mechanisms: Mechanisms
    _returns: ReturnTimes = field(default_factory=ReturnTimes)

    def observe(self, request: RoutedRequest, progress: RequestProgress) -> None:
        """Note from the time that a client tells whether this is its first try."""
        if request.told_left is not None:
            progress.first_try = self._returns.observe(request.route, request.told_left)

    async def find(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> WorkerRecord | Refusal:
        """A worker for the next attempt; waits for weights to be loaded, within limits."""
        began = now()
        worker = self._router.choose(request, progress.excluded, began)
        if worker is not None and request.deadline - began > MINIMUM_ATTEMPT:
            return worker
        if began >= self._limits.wait_limit(request, began) or not self._worth_waiting(request, progress):
            return Refusal(503, "no worker", RETRY_SOON)
        coming = self._find_return(request, progress, began)
        if coming is not None:
            return Refusal(503, "weights are not loaded yet", coming)
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
        return found or Refusal(503, "no worker with the weights", RETRY_SOON)

    def _find_return(
        self, request: RoutedRequest, progress: RequestProgress, asked_at: float
    ) -> float | None:
        """When to come back for a model that nobody holds, where that is better than to wait here.

        The client counts among those that wait until it is back, so that the model is loaded meanwhile.
        """
        key = request.key
        if key is None or request.told_left is None or not progress.first_try:
            return None
        if not self._mechanisms.has(Mechanism.RETURN_TIMES):
            return None
        if progress.sends or self._router.holders_exist(replace(key, adapter=""), request.service):
            return None
        model = self._router.model(key)
        if model is None:
            return None
        under_way = self._demand.oldest_wait(key, asked_at)
        back = self._returns.find(request.route, model, under_way, request.told_left)
        if back is not None:
            self._demand.begin_wait(key, asked_at)
            asyncio.get_running_loop().call_later(back, self._demand.end_wait, key, asked_at)
        return back

    def _worth_waiting(self, request: RoutedRequest, progress: RequestProgress) -> bool:
        """Weights are loaded on demand; other workers appear only while a system starts."""
        return request.key is not None or not progress.excluded

    async def _await_worker(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> WorkerRecord | None:
        while await self._router.wait_change(self._limits.wait_limit(request, now())):
            if self._matcher.is_rerouted(client, request, progress):
                return None
            worker = self._router.choose(request, progress.excluded, now())
            if worker is not None:
                return worker
        return None
