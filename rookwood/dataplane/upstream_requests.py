"""Builds the request to a worker: the client's request with the headers that the dispatcher sets."""

from __future__ import annotations

from rookwood.cluster.workers import WorkerRecord
from rookwood.dataplane import headers as names
from rookwood.dataplane.pool import WorkerTraffic
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.upstream import UpstreamRequest
from rookwood.mechanisms import Mechanism, Mechanisms
from rookwood.memory_budget import Holding

MILLISECONDS = 1000.0
SHORT_PREFILL = 0.05  # seconds; a shorter prefill hardly delays other requests
SHORT_URGENCY = 1  # urgency of a request with a short prefill; lower values go first
RANK_OFFSET = 2  # urgency of a route with rank 0
LAST_RANK = 7  # routes of a higher rank are treated alike
SPARE_LOAD_SHARE = 0.6  # of a worker's slots; below this load it has room


def build_upstream_request(
    request: RoutedRequest,
    worker: WorkerRecord,
    urgency: int,
    last_event: bytes | None,
    now: float,
    response_memory: Holding | None = None,
) -> UpstreamRequest:
    """Build the request for one worker.

    `last_event` is the last event id if a stream is resumed; `response_memory` holds a large response.
    """
    headers = request.headers.copy()
    left = max(1.0, (request.deadline - now) * MILLISECONDS)
    headers[names.TIME_LEFT] = str(int(left))
    headers[names.WANT_INSTANCE] = worker.id
    headers[names.PRIORITY] = str(urgency)
    if last_event is not None:
        headers[names.LAST_EVENT_ID] = last_event.decode("latin-1")
    return UpstreamRequest(request.method, request.target, headers, request.body, request.id, response_memory)


def choose_urgency(
    request: RoutedRequest,
    worker: WorkerRecord,
    traffic: WorkerTraffic,
    prefill: float,
    now: float,
    mechanisms: Mechanisms,
) -> int:
    """The request's urgency in the worker's queue; lower values are admitted first.

    It follows from the route's rank. A request with a short prefill (`prefill` is in seconds) goes first
    while the worker has room: it hardly delays the others, and would otherwise wait for all of them.
    """
    has_room = traffic.load(now) < SPARE_LOAD_SHARE * worker.slots
    if has_room and prefill < SHORT_PREFILL and mechanisms.has(Mechanism.SHORT_FIRST):
        return SHORT_URGENCY
    ranked = mechanisms.has(Mechanism.ROUTE_RANK)
    rank = max(0, min(LAST_RANK, request.route.priority)) if ranked else 0
    return rank + RANK_OFFSET
