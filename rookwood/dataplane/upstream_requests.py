"""The request that a worker is sent for a client's: the client's own, with what the system adds."""

from __future__ import annotations

from rookwood.cluster.workers import WorkerRecord
from rookwood.dataplane import headers as names
from rookwood.dataplane.pool import WorkerTraffic
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.upstream import UpstreamRequest
from rookwood.mechanisms import Mechanism, Mechanisms

MILLISECONDS = 1000.0
SHORT_READ = 0.05  # seconds; a prompt that is read faster hardly delays others
SHORT_URGENCY = 1
RANK_OFFSET = 2
LAST_RANK = 7
ROOM_SHARE = 0.6


def build_upstream_request(
    request: RoutedRequest, worker: WorkerRecord, urgency: int, last_event: bytes | None, now: float
) -> UpstreamRequest:
    """The request for one worker; `last_event` is the last one passed on, where a stream is taken up."""
    headers = request.headers.copy()
    left = max(1.0, (request.deadline - now) * MILLISECONDS)
    headers[names.TIME_LEFT] = str(int(left))
    headers[names.WANT_INSTANCE] = worker.id
    headers[names.PRIORITY] = str(urgency)
    if last_event is not None:
        headers[names.LAST_EVENT_ID] = last_event.decode("latin-1")
    return UpstreamRequest(request.method, request.target, headers, request.body, request.id)


def choose_urgency(
    request: RoutedRequest,
    worker: WorkerRecord,
    traffic: WorkerTraffic,
    prefill: float,
    now: float,
    mechanisms: Mechanisms,
) -> int:
    """The request's place in the worker's order of admission, 0 first.

    The route's rank decides, but a prompt that is read in a moment (`prefill`, in seconds) goes first while
    there is room: it delays the others by next to nothing and would otherwise wait for all of them.
    """
    has_room = traffic.load(now) < ROOM_SHARE * worker.slots
    if has_room and prefill < SHORT_READ and mechanisms.has(Mechanism.SHORT_FIRST):
        return SHORT_URGENCY
    ranked = mechanisms.has(Mechanism.ROUTE_RANK)
    rank = max(0, min(LAST_RANK, request.route.priority)) if ranked else 0
    return rank + RANK_OFFSET
