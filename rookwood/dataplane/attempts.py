"""One attempt for a request: sent to a worker, its answer or stream passed on, what it tells learned."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from rookwood.cluster.messages import WorkNotice
from rookwood.cluster.workers import WorkerRecord
from rookwood.dataplane.attempt_limits import AttemptLimits
from rookwood.dataplane.clock import now
from rookwood.dataplane.demand import DemandMeter
from rookwood.dataplane.pool import WorkerPool, WorkerTraffic
from rookwood.dataplane.request_counts import RequestCounts, RequestOutcome
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.responses import (
    OUTCOME_KEY,
    RequestProgress,
    StreamEnded,
    complete_response,
    end_incomplete,
)
from rookwood.dataplane.retry_rules import RetryRules
from rookwood.dataplane.router import Router, uncached_tokens
from rookwood.dataplane.silence import SilenceWatch
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
from rookwood.httpclient.outcomes import NotSent, ResponseLost
from rookwood.mechanisms import Mechanism, Mechanisms
from rookwood.modelplacement.types import Outcome

FIRST_SERVER_ERROR = 500
QUIET_BACKLOG = 0.01  # seconds; a prompt sent with less before it tells the worker's reading speed


@dataclass(frozen=True, slots=True)
class AttemptSender:
    """Sends requests to chosen workers."""

    _router: Router
    _pool: WorkerPool
    _demand: DemandMeter
    _client: UpstreamClient
    _repeats: RetryRules
    _limits: AttemptLimits
    _counts: RequestCounts
    _mechanisms: Mechanisms
    _on_work: Callable[[WorkNotice], None]

    async def send(
        self, client: web.BaseRequest, request: RoutedRequest, worker: WorkerRecord, progress: RequestProgress
    ) -> web.StreamResponse | NotSent | Rejected | ResponseLost:
        """Send the request once; a response means that the request is answered."""
        traffic = self._pool.get(worker.id)
        began = now()
        quiet = traffic.backlog.remaining(began) < QUIET_BACKLOG
        tokens = uncached_tokens(traffic.backlog, request)
        progress.trace.send(traffic.describe(worker.id, began), began)
        notice = self._router.note_sent(request, worker, began)
        if notice is not None:
            self._on_work(notice)
        traffic.in_flight += 1
        progress.excluded.add(worker.id)
        progress.sends += 1
        self._counts.attempts += 1
        result = Outcome.FAILED
        try:
            upstream_request = self._upstream_request(request, worker, traffic, progress)
            sending = self._client.send(worker.address, upstream_request, request.deadline)
            outcome = await self._await_head(request, progress, traffic, sending)
            self._learn(request, worker, outcome)
            result = placement_outcome(request, outcome, now())
            answered = now()
            progress.trace.answer(answered)
            progress.broken = outcome.reason if isinstance(outcome, ResponseLost) else ""
            if isinstance(outcome, Streaming):
                if quiet and request.key is not None:
                    self._router.observe_reading(request.key.model, tokens, now() - began)
                relayed = await self._relay(client, request, worker, outcome, progress)
                self._limits.durations.observe(request, answered - began, now() - answered, now())
                return relayed
            if isinstance(outcome, Complete):
                self._limits.durations.observe(request, answered - began, 0.0, answered)
                return self._finish_complete(request, outcome, progress)
            return outcome
        finally:
            traffic.in_flight -= 1
            ended = now()
            if result in (Outcome.OK, Outcome.LATE):
                traffic.answered = ended
            if request.key is not None:
                self._demand.used(request.key, ended - began, ended)
                self._router.tables.record(request.key, worker.id, ended - began, result, ended)

    async def _await_head(
        self,
        request: RoutedRequest,
        progress: RequestProgress,
        traffic: WorkerTraffic,
        sending: Coroutine[Any, Any, UpstreamOutcome],
    ) -> UpstreamOutcome:
        """Wait for the head; leaves a worker that fell silent if the request may go elsewhere."""
        outcome: UpstreamOutcome = ResponseLost(SILENT)
        async with self._watch(request, progress, traffic):
            outcome = await sending
            traffic.heard = now()
        self._pool.idle_limit = self._client.idle_limit
        return outcome

    def _watch(
        self, request: RoutedRequest, progress: RequestProgress, traffic: WorkerTraffic
    ) -> SilenceWatch:
        leaves = self._mechanisms.has(Mechanism.LEAVE_SILENT)

        def should_leave(since: float) -> bool:
            silent = leaves and traffic.silent(now(), since)
            return silent and self._repeats.may_move(request, progress, now())

        return SilenceWatch(should_leave)

    def _finish_complete(
        self, request: RoutedRequest, outcome: Complete, progress: RequestProgress
    ) -> web.StreamResponse | ResponseLost:
        """A whole answer, unless it can't follow what the client has, or may yet go better elsewhere."""
        if progress.response is not None:
            return ResponseLost("no stream in place of the rest of one")
        if outcome.status >= FIRST_SERVER_ERROR and request.repeatable:
            progress.last_answer = outcome
            return ResponseLost(f"status {outcome.status}")
        return complete_response(outcome)

    def _upstream_request(
        self,
        request: RoutedRequest,
        worker: WorkerRecord,
        traffic: WorkerTraffic,
        progress: RequestProgress,
    ) -> UpstreamRequest:
        sent_at = now()
        prefill = self._router.prefill_seconds(traffic, request)
        urgency = choose_urgency(request, worker, traffic, prefill, sent_at, self._mechanisms)
        return build_upstream_request(request, worker, urgency, progress.last_event, sent_at)

    def _learn(self, request: RoutedRequest, worker: WorkerRecord, outcome: UpstreamOutcome) -> None:
        """Note what an outcome tells of the worker."""
        traffic = self._pool.get(worker.id)
        learned_at = now()
        if isinstance(outcome, Complete | Streaming):
            traffic.succeeded()
            load = read_load(outcome.headers)
            if load is not None and self._mechanisms.has(Mechanism.TOLD_LOAD):
                traffic.tell_load(load.running, load.waiting, load.slots, learned_at)
        elif isinstance(outcome, Rejected):
            if outcome.status == MISDIRECTED and request.key is not None:
                traffic.lacks(request.key.model, request.key.adapter, learned_at)
            else:
                traffic.failed(learned_at)
        elif isinstance(outcome, NotSent) or outcome.reason != "deadline":
            traffic.failed(learned_at)

    async def _relay(
        self,
        client: web.BaseRequest,
        request: RoutedRequest,
        worker: WorkerRecord,
        stream: Streaming,
        progress: RequestProgress,
    ) -> web.StreamResponse | ResponseLost:
        """Pass a stream on, event by event."""
        if progress.response is None:
            progress.response = web.StreamResponse(status=stream.status, headers=stream.headers)
            if self._limits.closing.known:
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
            self._pool.get(worker.id).failed(now())
        return ResponseLost(ended.why)


def placement_outcome(request: RoutedRequest, outcome: UpstreamOutcome, now: float) -> Outcome:
    """What an attempt's outcome tells the placement table; lateness is judged by the first streamed byte."""
    if isinstance(outcome, Rejected):
        return Outcome.FULL
    if isinstance(outcome, Complete | Streaming):
        late = now - request.arrived > request.route.target_ms / MILLISECONDS
        return Outcome.LATE if late else Outcome.OK
    timed_out = isinstance(outcome, ResponseLost) and outcome.reason == "deadline"
    return Outcome.TIMED_OUT if timed_out else Outcome.FAILED
