"""The home side of one peer: the connection to it, the jobs that are out there, and what is known of both."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

import structlog

from rookwood.conf import Gateway as Settings
from rookwood.conf import Peer as Named
from rookwood.gateway.advice import Near
from rookwood.gateway.frames import (
    VERSION,
    Ack,
    Ended,
    Frame,
    Hello,
    Offer,
    Ping,
    Pong,
    Refusal,
    Stop,
    Taken,
    Withdraw,
)
from rookwood.gateway.handoff import HEARD_OF, Home, HomeEvent, Outcome, Say, Verdict, home
from rookwood.gateway.lease import Granted
from rookwood.gateway.link import Channel, LinkError, connected
from rookwood.gateway.routing import Peer
from rookwood.gateway.secure import Secured
from rookwood.net.clock import EPOCH, Clock
from rookwood.net.policy_driver import micros
from rookwood.net.request import ForwardOutcome, ForwardResult, InboundRequest

log = structlog.stdlib.get_logger(__name__)

HELLO_LIMIT = timedelta(seconds=1)
KEPT_ON = timedelta(seconds=1)  # an offer can still be asked about so long after its deadline
MARGIN = timedelta(
    milliseconds=10
)  # the away side ends so long before the client's time is up, and a round trip
LONGEST_RESEND = timedelta(milliseconds=500)
GROWTH = 1.5  # of the wait between two resends
FATES = {
    Verdict.SERVED: ForwardOutcome.SERVED,
    Verdict.HOME: ForwardOutcome.RUN_LOCALLY,
    Verdict.FAILED: ForwardOutcome.FAILED,
    Verdict.REFUSED: ForwardOutcome.NOT_SENT,
    Verdict.GONE: ForwardOutcome.FAILED,
}


@dataclass(frozen=True, slots=True)
class Me:
    site: str
    name: str
    life: int


@dataclass(slots=True, eq=False)
class Out:
    """One job that is out at the peer, or was and is not settled there."""

    number: int
    life: int
    granted: Granted
    term: int
    request: InboundRequest
    state: Home
    since: datetime
    expires: datetime
    resend_at: datetime
    wait: timedelta
    carried: asyncio.Future[ForwardResult] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Outbound:
    """Owns the connection to one peer and every job that crossed to it."""

    def __init__(
        self,
        me: Me,
        site: str,
        named: Named,
        settings: Settings,
        clock: Clock,
        near: Near,
        safe: Callable[[str], bool],
        secured: Callable[[], Secured | None],
        want: Callable[[], float],
        changed: Callable[[], None],
    ) -> None:
        self._me, self._named, self._settings, self._clock = me, named, settings, clock
        self._near, self._safe, self._secured, self._want, self._changed = near, safe, secured, want, changed
        self.peer = Peer(site, named.name)
        self.counts: Counter[str] = Counter()
        self.rtt = timedelta(0)
        self.state = "down"
        self._life: int | None = None
        self._granted: dict[int, Granted] = {}  # by life; all but the newest only while jobs are out there
        self._jobs: dict[int, Out] = {}
        self._numbers = itertools.count(1)
        self._channel: Channel | None = None
        self._why = ""

    @property
    def out(self) -> int:
        return sum(job.state.verdict is None for job in self._jobs.values())

    # ---- the connection ----

    async def run(self) -> None:
        while True:
            try:
                await self._session()
            except (LinkError, OSError) as error:
                self._down(str(error))
            except Exception:
                log.exception("link failed", peer=self._named.name)
                self._down("a defect here")
            # Spread, or all peers of a site that restarts would be back at one moment.
            await asyncio.sleep(self._settings.reconnect.total_seconds() * random.uniform(0.5, 1.5))

    def _down(self, why: str) -> None:
        if why != self._why:
            log.warning("link down", peer=self._named.name, site=self.peer.site, why=why)
        self.state, self._why = "down", why

    async def _session(self) -> None:
        s, secured = self._settings, self._secured()
        context = secured.client if secured else None
        where = (self._named.host, self._named.port)
        channel = await connected(*where, s.connect_timeout, context, s.max_frame, s.max_bytes)
        try:
            await self._greet(channel)
            self._channel = channel
            for job in list(self._jobs.values()):
                self._feed(
                    job, HomeEvent.RESEND if job.state.written or job.state.verdict else HomeEvent.OFFER
                )
            # A peer that is there asks for its lease ten times in this.
            async for frame in channel.frames(s.lease):
                self._heard(frame, channel)
        finally:
            self._channel, self.peer.ready = None, False
            await channel.close()

    async def _greet(self, channel: Channel) -> None:
        me, named = self._me, self._named
        if channel.name is not None and channel.name != named.name:
            raise LinkError(f"its certificate names {channel.name!r}, not {named.name!r}")
        channel.send(Hello(VERSION, me.site, me.name, me.life, micros(self._clock.now() - EPOCH)))
        until = self._clock.now() + HELLO_LIMIT
        # What overtook the hello on its way is passed over: it will be said again.
        while not isinstance(hello := await channel.receive(until - self._clock.now()), Hello):
            if isinstance(hello, Refusal):
                raise LinkError(f"the peer refuses: {hello.why}")
        if hello.version != VERSION:
            raise LinkError(f"the peer speaks version {hello.version}, here it is {VERSION}")
        if (hello.site, hello.name) != (self.peer.site, named.name):
            raise LinkError(
                f"the peer is {hello.name!r} of {hello.site!r}, not {named.name!r} of {self.peer.site!r}"
            )
        if hello.life != self._life:
            self._new_life(hello.life)
        log.info("link up", peer=named.name, site=self.peer.site, life=hello.life)
        self.state, self._why = "up", ""

    def _new_life(self, life: int) -> None:
        old, self._life = self._life, life
        self._granted[life] = Granted(self._settings.lease)
        self.peer.credit = 0.0
        for job in list(self._jobs.values()):
            if job.life == old:
                self._feed(job, HomeEvent.LIFE_GONE)

    def _heard(self, frame: Frame, channel: Channel) -> None:
        match frame:
            case Ping(asked, credit, rtt):
                self._grant(asked)
                self.rtt = self.peer.rtt = timedelta(microseconds=max(0, rtt))
                self.peer.credit, self.peer.ready = credit, True
                self._changed()
            case Taken(number):
                if job := self._jobs.get(number):
                    self._feed(job, HomeEvent.TAKEN)
            case Ended(number, word, body):
                self._ended(number, word, body, channel)
            case Refusal(why):
                raise LinkError(f"the peer refuses: {why}")
            case _:
                raise LinkError(f"a {type(frame).__name__.lower()} is not the peer's to send")

    def _ended(self, number: int, word: str, body: bytes, channel: Channel) -> None:
        try:
            outcome = Outcome(word)
        except ValueError:
            raise LinkError(f"an unknown outcome {word!r}") from None
        job = self._jobs.get(number)
        if job is None:
            channel.send(Ack(number))  # settled long ago: it was the last acknowledgement that got lost
            return
        if not job.state.verdict:
            if outcome is Outcome.NEVER:
                self.counts["promised"] += 1
                self.peer.refused(self._clock.now())
            elif outcome is Outcome.SERVED:
                self.peer.served()
        self._feed(job, HEARD_OF[outcome], body)

    def _grant(self, asked: int) -> None:
        if self._channel and self._life is not None:
            now = self._clock.now()
            term = self._granted[self._life].grant(now)
            self._channel.send(Pong(asked, term, self._want(), self._stops(now)))

    def tell(self) -> None:
        """What is known of endpoints over there has changed: that does not wait for the next grant."""
        if self._channel and self._life is not None:
            term = self._granted[self._life].term
            self._channel.send(Pong(0, term, self._want(), self._stops(self._clock.now())))

    def _stops(self, now: datetime) -> tuple[Stop, ...]:
        return tuple(Stop(uid, micros(age)) for uid, age in self._near.stops(now))

    # ---- jobs ----

    def take(self, request: InboundRequest, since: datetime) -> Out | None:
        """Offers a request to the peer; None where that cannot be done now."""
        now, channel = self._clock.now(), self._channel
        if channel is None or self._life is None or channel.in_hand > self._settings.max_bytes // 2:
            return None
        granted = self._granted[self._life]
        if granted.last is None:  # no lease: the peer would hand it back
            return None
        number, wait = next(self._numbers), max(self._settings.retransmit, 2 * self.rtt)
        expires = request.deadline + KEPT_ON
        state = Home(self._safe(request.job_class))
        job = Out(number, self._life, granted, granted.term, request, state, since, expires, now + wait, wait)
        self._jobs[number] = job
        self.peer.took(request.slots)
        self.counts["lent"] += 1
        self._feed(job, HomeEvent.OFFER)
        return job

    def end(self, job: Out, late: bool) -> ForwardOutcome:
        """The request's own life is over: its time is up, or its client has left."""
        if not job.state.verdict:
            self._feed(job, HomeEvent.DEADLINE if late else HomeEvent.CLIENT_GONE)
        assert job.state.verdict
        return FATES[job.state.verdict]

    def _feed(self, job: Out, event: HomeEvent, body: bytes = b"") -> None:
        before = job.state.verdict
        job.state, says = home(job.state, event)
        for what in says:
            self._say(job, what)
        if job.state.verdict and not before:
            self._settle(job, job.state.verdict, body)
        if job.state.verdict and (job.state.heard or not job.state.written):
            self._jobs.pop(job.number, None)

    def _settle(self, job: Out, verdict: Verdict, body: bytes) -> None:
        self.peer.gave_back(job.request.slots)
        self.counts[{Verdict.SERVED: "brought", Verdict.HOME: "returned"}.get(verdict, "failed")] += 1
        if verdict is Verdict.FAILED or (
            verdict is Verdict.HOME and not job.state.heard and job.state.written
        ):
            self.peer.failed()
            log.warning(
                "job lost",
                request_id=job.request.worker_request.request_id,
                peer=self.peer.name,
                verdict=verdict.value,
            )
        if not job.carried.done():
            job.carried.set_result(ForwardResult(FATES[verdict], body))

    def _say(self, job: Out, what: Say) -> None:
        channel = self._channel
        if channel is None or job.life != self._life:
            return  # it is said once there is a link again, if it is the same life's
        expires_at, now = micros(job.expires - EPOCH), self._clock.now()
        match what:
            case Say.OFFER:
                job.state, _ = home(job.state, HomeEvent.WRITTEN)
                channel.send(self._offer(job, expires_at, now))
            case Say.WITHDRAW | Say.ABANDON:
                abandon = what is Say.ABANDON
                channel.send(Withdraw(job.number, job.life, expires_at, job.state.safe, abandon))
            case Say.ACK:
                channel.send(Ack(job.number))

    def _offer(self, job: Out, expires_at: int, now: datetime) -> Offer:
        request, out = job.request, job.request.worker_request
        return Offer(
            job=job.number,
            life=job.life,
            term=job.term,
            expires_at=expires_at,
            left=max(0, micros(request.deadline - now - self.rtt - MARGIN)),
            job_class=request.job_class,
            slots=request.slots,
            memory=request.memory,
            key=request.key,
            is_retry=request.is_retry,
            request_id=out.request_id,
            target=out.target,
            host=out.host,
            content_type=out.content_type,
            body=out.body,
            stops=self._stops(now),
            keys=out.idempotency_keys,
            tenant=request.tenant,
            hint=micros(request.duration_hint) if request.duration_hint else None,
        )

    def tick(self) -> None:
        """Often: silences are noticed, and what may have been lost is said again."""
        now = self._clock.now()
        for life, granted in list(self._granted.items()):
            if granted.silence(now):
                if life == self._life:
                    self.peer.ready = False
                for job in [j for j in self._jobs.values() if j.granted is granted]:
                    self._feed(job, HomeEvent.SILENCE)
            if life != self._life and not any(j.granted is granted for j in self._jobs.values()):
                del self._granted[life]
        for job in list(self._jobs.values()):
            if now >= job.expires:
                self._jobs.pop(job.number, None)  # nothing can be asked about it any more
            elif now >= job.resend_at:
                job.wait = min(LONGEST_RESEND, job.wait * GROWTH)
                job.resend_at = now + job.wait
                # Nothing was heard of an offer for long: rather have it back than lose it at its deadline.
                quiet = (
                    not job.state.taken
                    and not job.state.verdict
                    and now - job.since > self._settings.lease / 2
                )
                asks = quiet and not job.state.asking
                self._feed(job, HomeEvent.RECALL if asks else HomeEvent.RESEND)
