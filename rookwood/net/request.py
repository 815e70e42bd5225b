"""The life of one request, from the question to the decisions up to its one final answer."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from datetime import datetime, timedelta

from rookwood.net.clock import Clock
from rookwood.net.decisions import Attempt, Decisions, End, FailFast, GiveUp, Job, Ticket
from rookwood.net.destinations import Destinations
from rookwood.net.endpoints import Endpoints, Outgoing, Result, Stage
from rookwood.net.figures import Figures

log = logging.getLogger(__name__)

EARLY = timedelta(milliseconds=20)  # the last attempt ends so long before the client gives up
GUARD = timedelta(milliseconds=8)  # and whatever the decisions do, the answer goes out so long before
EXCUSED = timedelta(milliseconds=500)  # who asks sooner after SIGTERM may still wait for all its time
REMEMBERED = 4096  # ids; many times more than are in hand


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A client's request, decoded."""

    job_class: str
    deadline: datetime  # when the client gives up
    slots: float
    memory: float | None
    key: str | None
    is_retry: bool
    outgoing: Outgoing


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    body: bytes = b""
    retry_after: timedelta | None = None
    allow: str | None = None


class Requests:
    def __init__(
        self,
        clock: Clock,
        decisions: Decisions,
        destinations: Destinations,
        endpoints: Endpoints,
        figures: Figures,
        retry_after: timedelta | None,
    ) -> None:
        self._clock, self._decisions, self._retry_after = clock, decisions, retry_after
        self._destinations, self._endpoints, self._figures = destinations, endpoints, figures
        self._leaving: tuple[datetime, datetime] | None = None  # since when, and the last answer by then
        self._ids: dict[str, None] = {}  # of requests in hand or lately here, longest first

    def remember(self) -> list[str]:
        return list(self._ids)

    def recall(self, ids: list[str]) -> None:
        """Of the process before: it may still have these in hand, so they must not run here as well."""
        self._ids = dict.fromkeys(ids) | self._ids

    def leave(self, until: datetime) -> None:
        self._leaving = (self._clock.now(), until)

    def _last_answer(self, request: InboundRequest) -> datetime:
        """Before the client gives up and, once the end of this program is known, before that end."""
        last = request.deadline - GUARD
        if self._leaving and self._clock.now() > self._leaving[0] + EXCUSED:
            last = min(last, self._leaving[1])
        return last

    async def serve(self, request: InboundRequest) -> Answer:
        # A client makes a new id for each request: one that comes again could have its job run twice.
        request_id = request.outgoing.request_id
        if request_id in self._ids:
            return Answer(409, b"a request with this id is here already\n")
        self._ids[request_id] = None
        if len(self._ids) > REMEMBERED:
            del self._ids[next(iter(self._ids))]
        return await self._served(request)

    async def _served(self, request: InboundRequest) -> Answer:
        job = Job(
            job_class=request.job_class,
            deadline=request.deadline - EARLY,
            slots=request.slots,
            memory=request.memory,
            key=request.key,
            is_retry=request.is_retry,
        )
        end, tried, last = End.NEVER_SENT, False, self._last_answer(request)
        try:
            async with asyncio.timeout(self._clock.seconds_to(last)):
                # Leaving the block, also when the client has gone, tells the decisions of the end.
                with self._decisions.admit(job) as ticket:
                    while True:
                        match await ticket.decision():
                            case FailFast(retry_after):
                                return Answer(503, b"refused\n", retry_after)
                            case GiveUp():
                                return Answer(504 if end is End.TIMED_OUT else 502, b"failed\n")
                            case Attempt() as attempt:
                                tried = True
                                result = await self._try(request, attempt, ticket)
                                end = result.end
                                if end is End.UNFIT:  # the client's doing: the endpoint keeps its trust
                                    return Answer(400, b"no endpoint can use this request\n")
                                ticket.ended(end)
                                if end is End.SERVED:
                                    return Answer(200, result.body)
        except TimeoutError:
            if last < request.deadline - GUARD:  # cut short, since this program is about to end
                return Answer(504, b"failed\n") if tried else Answer(503, b"leaving\n", self._retry_after)
            log.error("no decision before the deadline of a %s request", request.job_class)
            return Answer(504, b"failed\n")

    async def _try(self, request: InboundRequest, attempt: Attempt, ticket: Ticket) -> Result:
        def sign(stage: Stage) -> None:
            (ticket.started if stage is Stage.STARTED else ticket.moving)()

        return await self._endpoints.attempt(
            request.outgoing,
            self._destinations.address(attempt.uid),
            attempt.until,
            # Connecting takes a while: by now the endpoint may have been told to drain.
            still_wanted=lambda: self._destinations.accepts(attempt.uid),
            sign=sign,
            written=lambda: self._figures.sent(request.job_class),
            repeatable=attempt.repeatable,
        )
