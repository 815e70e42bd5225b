"""Handles one client request from its head to the end of its answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from aiohttp import web

from rookwood.cluster.messages import WorkNotice
from rookwood.cluster.workers import WorkerRecord
from rookwood.clusterconfig.document import Configuration
from rookwood.dataplane import headers as names
from rookwood.dataplane.answers import (
    OUTCOME_KEY,
    REFUSAL_KEY,
    RETRY_SOON,
    Refusal,
    RequestProgress,
    Rerouted,
    StreamEnded,
    complete_response,
    end_incomplete,
    read_body,
    refusal_for,
)
from rookwood.dataplane.attempt_limits import WAIT_SHARE, AttemptLimits
from rookwood.dataplane.budget import RetryBudget
from rookwood.dataplane.demand import DemandMeter
from rookwood.dataplane.loss_log import LossLog
from rookwood.dataplane.pool import WorkerPool, WorkerTraffic
from rookwood.dataplane.repeats import MINIMUM_ATTEMPT, RepeatRules
from rookwood.dataplane.request_counts import RequestCounts, RequestOutcome
from rookwood.dataplane.requests import RoutedRequest, build_request, read_time_left
from rookwood.dataplane.return_times import ReturnTimes
from rookwood.dataplane.router import Router, uncached_tokens
from rookwood.dataplane.silence import SilenceWatch
from rookwood.dataplane.splitting import RouteSplitter
from rookwood.dataplane.stream_relay import SILENT, copy_events
from rookwood.dataplane.upstream import (
    MISDIRECTED,
    Complete,
    Rejected,
    Streaming,
    UpstreamClient,
    UpstreamOutcome,
    UpstreamRequest,
    read_load,
)
from rookwood.dataplane.upstream_requests import MILLISECONDS, build_upstream_request, choose_urgency
from rookwood.httpclient.outcomes import Broken, NotSent
from rookwood.mechanisms import ALL_MECHANISMS, Mechanism, Mechanisms
from rookwood.modelplacement.types import Outcome

logger = logging.getLogger("rookwood")

DEFAULT_BODY_LIMIT = 4 * 1024 * 1024
STARTUP_PATIENCE = 2.0  # seconds for which a request waits for the first configuration
ROUTE_PATIENCE = 0.4  # seconds for which a request without a route waits for a newer configuration
RETRY_ELSEWHERE = 0.1  # seconds; this process ends, other dispatchers serve on
FIRST_SERVER_ERROR = 500
QUIET_BACKLOG = 0.01  # seconds; a prompt sent with less before it tells the worker's reading speed


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
        self._mechanisms = mechanisms
        self._losses = losses or LossLog(enabled=False)
        self._is_level = is_level
        self._router = router
        self._pool = pool
        self._demand = demand
        self._budget = budget
        self._client = client
        self._on_work = on_work
        self.in_flight = 0
        self.counts = RequestCounts()
        self._limits = limits or AttemptLimits()
        self._returns = ReturnTimes()
        self._repeats = RepeatRules(router, budget)
        self._splitter = RouteSplitter()

    @property
    def draining(self) -> bool:
        """Whether the process is about to end."""
        return self._limits.closing.known

    def drain(self, closes_at: float) -> None:
        """Let connections end after their next answer, and whatever is under way at `closes_at`.

        What can't be expected to end by then is refused from now on.
        """
        self._limits.closing.set(closes_at, self._now())
        self._router.notify()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.in_flight += 1
        progress = RequestProgress(self._now())
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
            self.counts.refuse(refusal.status, refusal.reason)
            self._note_loss(RequestOutcome.REFUSED, progress, refusal.reason)
        else:
            outcome = response.get(OUTCOME_KEY, RequestOutcome.ANSWERED)
            self.counts.end(outcome, response.status)
            self._note_loss(outcome, progress, progress.broken)

    def _count_end(self, outcome: RequestOutcome, progress: RequestProgress) -> None:
        self.counts.end(outcome)
        self._note_loss(outcome, progress, progress.broken)

    def _note_loss(self, outcome: RequestOutcome, progress: RequestProgress, why: str) -> None:
        self._losses.ended(progress.routed, progress.trace, outcome, why, self._now())

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
        arrived = self._now()
        configuration = await self._await_configuration(request, arrived)
        if configuration is None:
            return Refusal(503, "no configuration yet", RETRY_SOON).response()
        body = await read_body(request, configuration.limits.body_bytes or DEFAULT_BODY_LIMIT)
        if body is None:
            return Refusal(413, "body too large").response()
        routed = await self._match(request, body, arrived)
        if isinstance(routed, Refusal):
            return routed.response()
        progress.routed = routed
        if routed.told_left is not None:
            progress.first_try = self._returns.observe(routed.route, routed.told_left)
        progress.trace.routed = self._now()
        self._count(routed)
        answer = await self._forward(request, routed, progress)
        while isinstance(answer, Rerouted):
            rerouted = await self._match(request, body, arrived)
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

    async def _match(self, request: web.BaseRequest, body: bytes, arrived: float) -> RoutedRequest | Refusal:
        """Route a request by the configuration in force.

        That there is no route is certain only where this process knows to have the newest configuration.
        One that is behind waits for it a little.
        """
        until = self._now() + ROUTE_PATIENCE
        while (route := self._router.match(request.host, request.path)) is None:
            if self._is_level():
                return Refusal(404, "no route")
            if not await self._router.wait_change(until) and not self._is_level():
                return Refusal(503, "no route, by a configuration that may be old", RETRY_SOON)
        if not request.headers.get(names.REQUEST_ID):
            return Refusal(400, f"{names.REQUEST_ID} is missing")
        return build_request(request, route, body, self._splitter.choose(route), arrived)

    def _is_rerouted(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> bool:
        """Whether a request that was never sent would be routed otherwise now.

        Routes that a change leaves alone stay the same objects.
        """
        if progress.sends or progress.may_have_run or progress.response is not None:
            return False
        return self._router.match(client.host, client.path) is not request.route

    async def _await_configuration(self, request: web.BaseRequest, arrived: float) -> Configuration | None:
        """The configuration; a process that just started waits for it a little."""
        left = read_time_left(request.headers.get(names.TIME_LEFT)) or 0.0
        until = arrived + min(STARTUP_PATIENCE, WAIT_SHARE * left)
        while self._router.configuration is None:
            if not await self._router.wait_change(until):
                return None
        return self._router.configuration

    async def _forward(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> web.StreamResponse | Rerouted:
        while True:
            worker = await self._find_worker(client, request, progress)
            if self._is_rerouted(client, request, progress):
                return Rerouted()
            if progress.response is None and not self._limits.ends_in_time(request, self._now()):
                worker = Refusal(503, "the dispatcher ends", RETRY_ELSEWHERE)
            if isinstance(worker, Refusal):
                return self._give_up(client, request, progress, worker)
            outcome = await self._attempt(client, request, worker, progress)
            if isinstance(outcome, web.StreamResponse):
                return outcome
            if not self._repeats.may_repeat(request, progress, outcome, self._now()):
                return self._give_up(client, request, progress, refusal_for(request, progress, outcome))

    async def _attempt(
        self, client: web.BaseRequest, request: RoutedRequest, worker: WorkerRecord, progress: RequestProgress
    ) -> web.StreamResponse | NotSent | Rejected | Broken:
        """Send the request once; a response means that the request is answered."""
        traffic = self._pool.get(worker.id)
        began = self._now()
        quiet = traffic.backlog.remaining(began) < QUIET_BACKLOG
        tokens = uncached_tokens(traffic.backlog, request)
        progress.trace.send(traffic.describe(worker.id, began), began)
        notice = self._router.note_sent(request, worker, began)
        if notice is not None:
            self._on_work(notice)
        traffic.in_flight += 1
        progress.excluded.add(worker.id)
        progress.sends += 1
        self.counts.attempts += 1
        result = Outcome.FAILED
        try:
            upstream_request = self._upstream_request(request, worker, traffic, progress)
            sending = self._client.send(worker.address, upstream_request, request.deadline)
            outcome = await self._await_head(request, progress, traffic, sending)
            self._learn(request, worker, outcome)
            result = placement_outcome(request, outcome, self._now())
            answered = self._now()
            progress.trace.answer(answered)
            progress.broken = outcome.why if isinstance(outcome, Broken) else ""
            if isinstance(outcome, Streaming):
                if quiet and request.key is not None:
                    self._router.observe_reading(request.key.model, tokens, self._now() - began)
                relayed = await self._relay(client, request, worker, outcome, progress)
                self._limits.durations.observe(request, answered - began, self._now() - answered, self._now())
                return relayed
            if isinstance(outcome, Complete):
                self._limits.durations.observe(request, answered - began, 0.0, answered)
                return self._finish_complete(request, outcome, progress)
            return outcome
        finally:
            traffic.in_flight -= 1
            now = self._now()
            if result in (Outcome.OK, Outcome.LATE):
                traffic.answered = now
            if request.key is not None:
                self._demand.used(request.key, now - began, now)
                self._router.tables.record(request.key, worker.id, now - began, result, now)

    async def _await_head(
        self,
        request: RoutedRequest,
        progress: RequestProgress,
        traffic: WorkerTraffic,
        sending: Coroutine[Any, Any, UpstreamOutcome],
    ) -> UpstreamOutcome:
        """Wait for the head; leaves a worker that fell silent if the request may go elsewhere."""
        outcome: UpstreamOutcome = Broken(SILENT)
        async with self._watch(request, progress, traffic):
            outcome = await sending
            traffic.heard = self._now()
        self._pool.idle_limit = self._client.idle_limit
        return outcome

    def _watch(
        self, request: RoutedRequest, progress: RequestProgress, traffic: WorkerTraffic
    ) -> SilenceWatch:
        leaves = self._mechanisms.has(Mechanism.LEAVE_SILENT)

        def should_leave(since: float) -> bool:
            silent = leaves and traffic.silent(self._now(), since)
            return silent and self._repeats.may_move(request, progress, self._now())

        return SilenceWatch(should_leave)

    def _finish_complete(
        self, request: RoutedRequest, outcome: Complete, progress: RequestProgress
    ) -> web.StreamResponse | Broken:
        """A whole answer, unless it can't follow what the client has, or may yet go better elsewhere."""
        if progress.response is not None:
            return Broken("no stream in place of the rest of one")
        if outcome.status >= FIRST_SERVER_ERROR and request.repeatable:
            progress.last_answer = outcome
            return Broken(f"status {outcome.status}")
        return complete_response(outcome)

    def _upstream_request(
        self,
        request: RoutedRequest,
        worker: WorkerRecord,
        traffic: WorkerTraffic,
        progress: RequestProgress,
    ) -> UpstreamRequest:
        now = self._now()
        prefill = self._router.prefill_seconds(traffic, request)
        urgency = choose_urgency(request, worker, traffic, prefill, now, self._mechanisms)
        return build_upstream_request(request, worker, urgency, progress.last_event, now)

    def _learn(self, request: RoutedRequest, worker: WorkerRecord, outcome: UpstreamOutcome) -> None:
        """Note what an outcome tells of the worker."""
        traffic = self._pool.get(worker.id)
        now = self._now()
        if isinstance(outcome, Complete | Streaming):
            traffic.succeeded()
            load = read_load(outcome.headers)
            if load is not None and self._mechanisms.has(Mechanism.TOLD_LOAD):
                traffic.tell_load(load.running, load.waiting, load.slots, now)
        elif isinstance(outcome, Rejected):
            if outcome.status == MISDIRECTED and request.key is not None:
                traffic.lacks(request.key.model, request.key.adapter, now)
            else:
                traffic.failed(now)
        elif isinstance(outcome, NotSent) or outcome.why != "deadline":
            traffic.failed(now)

    async def _relay(
        self,
        client: web.BaseRequest,
        request: RoutedRequest,
        worker: WorkerRecord,
        stream: Streaming,
        progress: RequestProgress,
    ) -> web.StreamResponse | Broken:
        """Pass a stream on, event by event."""
        if progress.response is None:
            progress.response = web.StreamResponse(status=stream.status, headers=stream.headers)
            if self.draining:
                progress.response.force_close()
            await progress.response.prepare(client)
        try:
            traffic = self._pool.get(worker.id)
            watch = self._watch(request, progress, traffic)
            ended = await copy_events(stream, progress, progress.response, traffic, watch, request.deadline)
        except ConnectionResetError:  # the client has left; errors of the worker's side are values
            progress.response[OUTCOME_KEY] = RequestOutcome.ABANDONED
            end_incomplete(client)
            return progress.response
        finally:
            stream.answer.close()
        if isinstance(ended, StreamEnded):
            await progress.response.write_eof()
            return progress.response
        progress.broken = ended.why
        if ended.why != "deadline":
            self._pool.get(worker.id).failed(self._now())
        return Broken(ended.why)

    async def _find_worker(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> WorkerRecord | Refusal:
        """A worker for the next attempt; waits for weights to be loaded, within limits."""
        now = self._now()
        worker = self._router.choose(request, progress.excluded, now)
        if worker is not None and request.deadline - now > MINIMUM_ATTEMPT:
            return worker
        if now >= self._limits.wait_limit(request, now) or not self._worth_waiting(request, progress):
            return Refusal(503, "no worker", RETRY_SOON)
        coming = self._find_return(request, progress, now)
        if coming is not None:
            return Refusal(503, "weights are not loaded yet", coming)
        progress.trace.begin_wait(now)
        if request.key is None:
            found = await self._await_worker(client, request, progress)
        else:
            self._demand.begin_wait(request.key, now)
            try:
                found = await self._await_worker(client, request, progress)
            finally:
                self._demand.end_wait(request.key, now)
        progress.trace.end_wait(self._now())
        return found or Refusal(503, "no worker with the weights", RETRY_SOON)

    def _find_return(self, request: RoutedRequest, progress: RequestProgress, now: float) -> float | None:
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
        under_way = self._demand.oldest_wait(key, now)
        back = self._returns.find(request.route, model, under_way, request.told_left)
        if back is not None:
            self._demand.begin_wait(key, now)
            asyncio.get_running_loop().call_later(back, self._demand.end_wait, key, now)
        return back

    def _worth_waiting(self, request: RoutedRequest, progress: RequestProgress) -> bool:
        """Weights are loaded on demand; other workers appear only while a system starts."""
        return request.key is not None or not progress.excluded

    async def _await_worker(
        self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress
    ) -> WorkerRecord | None:
        while await self._router.wait_change(self._limits.wait_limit(request, self._now())):
            if self._is_rerouted(client, request, progress):
                return None
            worker = self._router.choose(request, progress.excluded, self._now())
            if worker is not None:
                return worker
        return None

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

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def placement_outcome(request: RoutedRequest, outcome: UpstreamOutcome, now: float) -> Outcome:
    """What an attempt's outcome tells the placement table; lateness is judged by the first streamed byte."""
    if isinstance(outcome, Rejected):
        return Outcome.FULL
    if isinstance(outcome, Complete | Streaming):
        late = now - request.arrived > request.route.target_ms / MILLISECONDS
        return Outcome.LATE if late else Outcome.OK
    timed_out = isinstance(outcome, Broken) and outcome.why == "deadline"
    return Outcome.TIMED_OUT if timed_out else Outcome.FAILED
