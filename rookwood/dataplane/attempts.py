"""Sends one attempt of a request to a worker, forwards the response and records the worker's state."""

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
    close_incomplete_response,
    complete_response,
)
from rookwood.dataplane.retry_rules import RetryRules
from rookwood.dataplane.router import Router, uncached_tokens
from rookwood.dataplane.silence import WorkerWatch
from rookwood.dataplane.stream_relay import UNRESPONSIVE, copy_events
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
NEGLIGIBLE_BACKLOG = 0.01  # seconds; prompts behind a longer backlog are no samples of the prefill speed


@dataclass(frozen=True, slots=True)
class AttemptSender:
    """Sends attempts to workers that the caller has chosen."""

    _router: Router
    _pool: WorkerPool
    _demand: DemandMeter
    _client: UpstreamClient
    _retry_rules: RetryRules
    _limits: AttemptLimits
    _counts: RequestCounts
    _mechanisms: Mechanisms
    _on_work: Callable[[WorkNotice], None]

    async def send(
        self, client: web.BaseRequest, request: RoutedRequest, worker: WorkerRecord, progress: RequestProgress
    ) -> web.StreamResponse | NotSent | Rejected | ResponseLost:
        """Send the request to the worker once.

        A `web.StreamResponse` ends the request; any other outcome leaves it to the caller to retry.
        """
        traffic = self._pool.get(worker.id)
        began = now()
        had_no_backlog = traffic.backlog.remaining(began) < NEGLIGIBLE_BACKLOG
        tokens = uncached_tokens(traffic.backlog, request)
        progress.trace.record_attempt(traffic.describe(worker.id, began), began)
        notice = self._router.record_sent_prompt(request, worker, began)
        if notice is not None:
            self._on_work(notice)
        traffic.in_flight += 1
        progress.excluded_workers.add(worker.id)
        progress.attempts_sent += 1
        self._counts.attempts += 1
        result = Outcome.FAILED
        try:
            upstream_request = self._build_upstream_request(request, worker, traffic, progress)
            sending = self._client.send(worker.address, upstream_request, request.deadline)
            outcome = await self._await_response_head(request, progress, traffic, sending)
            self._update_traffic(request, worker, outcome)
            result = placement_outcome(request, outcome, now())
            outcome_at = now()
            progress.trace.record_outcome(outcome_at)
            progress.loss_reason = outcome.reason if isinstance(outcome, ResponseLost) else ""
            if isinstance(outcome, Streaming):
                if had_no_backlog and request.key is not None:
                    self._router.observe_prefill(request.key.model, tokens, now() - began)
                relayed = await self._relay_stream(client, request, worker, outcome, progress)
                self._limits.durations.observe(request, outcome_at - began, now() - outcome_at, now())
                return relayed
            if isinstance(outcome, Complete):
                self._limits.durations.observe(request, outcome_at - began, 0.0, outcome_at)
                return self._accept_complete(request, outcome, progress)
            return outcome
        finally:
            traffic.in_flight -= 1
            ended = now()
            if result in (Outcome.OK, Outcome.LATE):
                traffic.last_completed_at = ended
            if request.key is not None:
                self._demand.record_slot_use(request.key, ended - began, ended)
                self._router.tables.record(request.key, worker.id, ended - began, result, ended)

    async def _await_response_head(
        self,
        request: RoutedRequest,
        progress: RequestProgress,
        traffic: WorkerTraffic,
        sending: Coroutine[Any, Any, UpstreamOutcome],
    ) -> UpstreamOutcome:
        """Wait for the response head; give up an unresponsive worker if the request may be retried."""
        outcome: UpstreamOutcome = ResponseLost(UNRESPONSIVE)
        async with self._watch_worker(request, progress, traffic):
            outcome = await sending
            traffic.last_received_at = now()
        self._pool.idle_limit = self._client.idle_limit
        return outcome

    def _watch_worker(
        self, request: RoutedRequest, progress: RequestProgress, traffic: WorkerTraffic
    ) -> WorkerWatch:
        """A watch that gives up the worker once it is unresponsive and a retry is allowed."""
        leaves_unresponsive = self._mechanisms.has(Mechanism.LEAVE_SILENT)

        def should_leave(since: float) -> bool:
            unresponsive = leaves_unresponsive and traffic.is_unresponsive(now(), since)
            return unresponsive and self._retry_rules.may_leave_worker(request, progress, now())

        return WorkerWatch(should_leave)

    def _accept_complete(
        self, request: RoutedRequest, outcome: Complete, progress: RequestProgress
    ) -> web.StreamResponse | ResponseLost:
        """Turn a complete response into the client's, unless a stream has begun or a retry may do better."""
        if progress.response is not None:
            return ResponseLost("no stream in place of the rest of one")
        if outcome.status >= FIRST_SERVER_ERROR and request.repeatable:
            progress.last_response = outcome
            return ResponseLost(f"status {outcome.status}")
        return complete_response(outcome)

    def _build_upstream_request(
        self,
        request: RoutedRequest,
        worker: WorkerRecord,
        traffic: WorkerTraffic,
        progress: RequestProgress,
    ) -> UpstreamRequest:
        sent_at = now()
        prefill = self._router.prefill_seconds(traffic, request)
        urgency = choose_urgency(request, worker, traffic, prefill, sent_at, self._mechanisms)
        return build_upstream_request(
            request, worker, urgency, progress.last_event_id, sent_at, progress.response_memory
        )

    def _update_traffic(self, request: RoutedRequest, worker: WorkerRecord, outcome: UpstreamOutcome) -> None:
        """Record what an outcome shows about the worker: its load, missing weights, success or failure."""
        traffic = self._pool.get(worker.id)
        received_at = now()
        if isinstance(outcome, Complete | Streaming):
            traffic.record_success()
            load = read_load(outcome.headers)
            if load is not None and self._mechanisms.has(Mechanism.TOLD_LOAD):
                traffic.record_load(load.running, load.waiting, load.slots, received_at)
        elif isinstance(outcome, Rejected):
            if outcome.status == MISDIRECTED and request.key is not None:
                traffic.record_missing_weights(request.key.model, request.key.adapter, received_at)
            else:
                traffic.record_failure(received_at)
        elif isinstance(outcome, NotSent) or outcome.reason != "deadline":
            traffic.record_failure(received_at)

    async def _relay_stream(
        self,
        client: web.BaseRequest,
        request: RoutedRequest,
        worker: WorkerRecord,
        stream: Streaming,
        progress: RequestProgress,
    ) -> web.StreamResponse | ResponseLost:
        """Forward a stream event by event; ResponseLost if a retry may resume it."""
        if progress.response is None:
            progress.response = web.StreamResponse(status=stream.status, headers=stream.headers)
            if self._limits.closing.is_known:
                progress.response.force_close()
            await progress.response.prepare(client)
        try:
            traffic = self._pool.get(worker.id)
            watch = self._watch_worker(request, progress, traffic)
            ended = await copy_events(stream, progress, progress.response, traffic, watch, request.deadline)
        except ConnectionResetError:  # only the client's side raises it; a worker's errors are return values
            progress.response[OUTCOME_KEY] = RequestOutcome.ABANDONED
            close_incomplete_response(client)
            return progress.response
        finally:
            stream.response.close()
        if isinstance(ended, StreamEnded):
            await progress.response.write_eof()
            return progress.response
        progress.loss_reason = ended.reason
        if ended.reason != "deadline":
            self._pool.get(worker.id).record_failure(now())
        return ResponseLost(ended.reason)


def placement_outcome(request: RoutedRequest, outcome: UpstreamOutcome, now: float) -> Outcome:
    """Map an attempt's outcome to one for the placement table.

    A response is late if it comes after the route's target time: a stream by its head, any other response by
    the end of its body.
    """
    if isinstance(outcome, Rejected):
        return Outcome.FULL
    if isinstance(outcome, Complete | Streaming):
        late = now - request.arrived > request.route.target_ms / MILLISECONDS
        return Outcome.LATE if late else Outcome.OK
    timed_out = isinstance(outcome, ResponseLost) and outcome.reason == "deadline"
    return Outcome.TIMED_OUT if timed_out else Outcome.FAILED
