"""One structured line for each request that was not served in time: where its time went, and why it ended so.

Off unless the program is started with `--log-losses`, since a line costs more than many requests do.
`rookwood explain losses` reads the lines.
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
DIGITS = 1  # of milliseconds


class LossStage(StrEnum):
    """The part of a request's way through the dispatcher that took longest."""

    ROUTE = "route"  # from the head of the request until its route and body were known
    WEIGHTS = "weights"  # waiting for a worker that holds its weights
    FIRST_BYTE = "first byte"  # from the last attempt's start to the head of its answer
    STREAM = "stream"  # from there on


def find_stage(trace: RequestTrace, now: float) -> LossStage:
    """The stage that took most of a request's time."""
    routed = now if trace.routed is None else trace.routed
    waited = trace.waited + (now - trace.waits_since if trace.waits_since is not None else 0.0)
    answered = now if trace.answered is None else trace.answered
    spent = {
        LossStage.ROUTE: routed - trace.arrived,
        LossStage.WEIGHTS: waited,
        LossStage.FIRST_BYTE: answered - trace.sent if trace.sent is not None else 0.0,
        LossStage.STREAM: now - trace.answered if trace.answered is not None else 0.0,
    }
    return max(spent, key=lambda stage: spent[stage])


def find_lateness(request: RoutedRequest, trace: RequestTrace, now: float) -> str | None:
    """Why an answer that was passed on whole does not count in full, if so."""
    first = now if trace.answered is None else trace.answered
    if first - request.arrived > request.route.target_ms / MILLISECONDS:
        return "late"
    pause_limit = request.route.gap_aim_ms / MILLISECONDS
    if pause_limit and trace.longest_pause > pause_limit:
        return "pause"
    return None


class LossLog:
    """Writes the lines."""

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled

    def ended(
        self,
        request: RoutedRequest | None,
        trace: RequestTrace,
        outcome: RequestOutcome,
        why: str,
        now: float,
    ) -> None:
        """A request ended; `why` is the refusal's or the break's reason, empty for a whole answer."""
        if not self._enabled or request is None:
            return
        if outcome is RequestOutcome.ANSWERED:
            lateness = find_lateness(request, trace, now)
            if lateness is None:
                return
            why = lateness
        logger.info(LOSS_MESSAGE, extra=describe_loss(request, trace, outcome, why, now))


def describe_loss(
    request: RoutedRequest, trace: RequestTrace, outcome: RequestOutcome, why: str, now: float
) -> dict[str, Any]:
    """The fields of a line; spans in milliseconds, moments in seconds of the loop's clock."""
    chosen = trace.chosen[-1] if trace.chosen else None
    first = trace.answered - trace.sent if trace.answered is not None and trace.sent is not None else None
    waited = trace.waited + (now - trace.waits_since if trace.waits_since is not None else 0.0)
    return {
        "request": request.id,
        "route": request.route.name,
        "priority": request.route.priority,
        "tokens": sum(part.tokens for part in request.parts),
        "at": round(trace.arrived, 3),
        "outcome": outcome.value,
        "why": why,
        "stage": find_stage(trace, now).value,
        "held_ms": _milliseconds(now - trace.arrived),
        "left_ms": _milliseconds(request.deadline - trace.arrived),
        "route_ms": _milliseconds(None if trace.routed is None else trace.routed - trace.arrived),
        "weights_ms": _milliseconds(waited),
        "first_ms": _milliseconds(first),
        "pause_ms": _milliseconds(trace.longest_pause),
        "attempts": len(trace.chosen),
        "worker": chosen.worker if chosen else None,
        "worker_in_flight": chosen.in_flight if chosen else None,
        "worker_running": chosen.running if chosen else None,
        "worker_waiting": chosen.waiting if chosen else None,
        "worker_backlog_ms": _milliseconds(chosen.backlog) if chosen else None,
    }


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * MILLISECONDS, DIGITS)
