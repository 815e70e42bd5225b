"""The loss log: one structured line for each request that was not served in time, with its slowest stage.

Off unless the program is started with `--log-losses`, because writing a line costs more than serving many
requests. `rookwood explain losses` reads the lines.
"""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import Any

from rookwood.dataplane.request_counts import RequestOutcome
from rookwood.dataplane.request_trace import RequestTrace
from rookwood.dataplane.requests import MILLISECONDS, RoutedRequest

logger = logging.getLogger("rookwood")

LOSS_MESSAGE = "request lost"
DECIMAL_PLACES = 1  # of the values in milliseconds


class LossStage(StrEnum):
    """A stage of a request in the dispatcher."""

    ROUTE = "route"  # from the arrival of the request's head until its route and body are known
    WEIGHTS = "weights"  # waiting for a worker that holds its weights
    FIRST_BYTE = "first byte"  # from the start of the last attempt to its outcome, for a stream to its head
    STREAM = "stream"  # after that


def find_slowest_stage(trace: RequestTrace, now: float) -> LossStage:
    """The stage that took most of a request's time."""
    routed_at = now if trace.routed_at is None else trace.routed_at
    waited = trace.waited_seconds + (now - trace.waiting_since if trace.waiting_since is not None else 0.0)
    outcome_at = now if trace.outcome_at is None else trace.outcome_at
    spent = {
        LossStage.ROUTE: routed_at - trace.arrived_at,
        LossStage.WEIGHTS: waited,
        LossStage.FIRST_BYTE: outcome_at - trace.sent_at if trace.sent_at is not None else 0.0,
        LossStage.STREAM: now - trace.outcome_at if trace.outcome_at is not None else 0.0,
    }
    return max(spent, key=lambda stage: spent[stage])


def find_loss_reason(request: RoutedRequest, trace: RequestTrace, now: float) -> str | None:
    """Why a response that was forwarded completely still counts as a loss; None if it does not.

    `late`: it came after the route's target time. `pause`: its stream paused for too long for its route.
    """
    outcome_at = now if trace.outcome_at is None else trace.outcome_at
    if outcome_at - request.arrived > request.route.target_ms / MILLISECONDS:
        return "late"
    pause_limit = request.route.gap_aim_ms / MILLISECONDS
    if pause_limit and trace.longest_pause > pause_limit:
        return "pause"
    return None


class LossLog:
    """Writes one line for each lost request."""

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled

    def record_end(
        self,
        request: RoutedRequest | None,
        trace: RequestTrace,
        outcome: RequestOutcome,
        reason: str,
        now: float,
    ) -> None:
        """A request ended; `reason` is the error response's, else that of the last lost attempt or empty."""
        if not self._enabled or request is None:
            return
        if outcome is RequestOutcome.ANSWERED:
            loss_reason = find_loss_reason(request, trace, now)
            if loss_reason is None:
                return
            reason = loss_reason
        logger.info(LOSS_MESSAGE, extra=describe_loss(request, trace, outcome, reason, now))


def describe_loss(
    request: RoutedRequest, trace: RequestTrace, outcome: RequestOutcome, reason: str, now: float
) -> dict[str, Any]:
    """The fields of a line: durations in milliseconds, times in seconds of the event loop's clock."""
    last_worker = trace.attempted_workers[-1] if trace.attempted_workers else None
    first_byte = (
        trace.outcome_at - trace.sent_at
        if trace.outcome_at is not None and trace.sent_at is not None
        else None
    )
    waited = trace.waited_seconds + (now - trace.waiting_since if trace.waiting_since is not None else 0.0)
    return {
        "request": request.id,
        "route": request.route.name,
        "priority": request.route.priority,
        "tokens": sum(part.tokens for part in request.parts),
        "at": round(trace.arrived_at, 3),
        "outcome": outcome.value,
        "why": reason,
        "stage": find_slowest_stage(trace, now).value,
        "held_ms": _milliseconds(now - trace.arrived_at),
        "left_ms": _milliseconds(request.deadline - trace.arrived_at),
        "route_ms": _milliseconds(None if trace.routed_at is None else trace.routed_at - trace.arrived_at),
        "weights_ms": _milliseconds(waited),
        "first_ms": _milliseconds(first_byte),
        "pause_ms": _milliseconds(trace.longest_pause),
        "attempts": len(trace.attempted_workers),
        "worker": last_worker.worker if last_worker else None,
        "worker_in_flight": last_worker.in_flight if last_worker else None,
        "worker_running": last_worker.running if last_worker else None,
        "worker_waiting": last_worker.waiting if last_worker else None,
        "worker_backlog_ms": _milliseconds(last_worker.backlog) if last_worker else None,
    }


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * MILLISECONDS, DECIMAL_PLACES)
