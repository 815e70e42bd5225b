"""The home side: the connection to one peer and the jobs that were forwarded to it."""

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
from rookwood.conf import Peer as PeerSettings
from rookwood.gateway.advice import OutgoingAdvice
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
from rookwood.gateway.handoff import (
    OUTCOME_EVENTS,
    HomeEvent,
    HomeState,
    MessageKind,
    Outcome,
    Resolution,
    step_home,
)
from rookwood.gateway.lease import IssuedLease
from rookwood.gateway.link import Channel, LinkError, connected
from rookwood.gateway.routing import Peer
from rookwood.gateway.secure import Secured
from rookwood.net.clock import EPOCH, Clock
from rookwood.net.policy_driver import micros
from rookwood.net.request import ForwardOutcome, ForwardResult, InboundRequest

log = structlog.stdlib.get_logger(__name__)

HELLO_TIMEOUT = timedelta(seconds=1)
OFFER_RETENTION = timedelta(seconds=1)  # how long after its deadline a job's messages are still valid
DEADLINE_MARGIN = timedelta(
    milliseconds=10
)  # the away side's deadline is earlier than the client's by this and a round trip
MAX_RESEND_DELAY = timedelta(milliseconds=500)
RESEND_GROWTH = 1.5  # factor on the delay between two resends
FORWARD_OUTCOMES = {
    Resolution.SERVED: ForwardOutcome.SERVED,
    Resolution.RUN_AT_HOME: ForwardOutcome.RUN_LOCALLY,
    Resolution.FAILED: ForwardOutcome.FAILED,
    Resolution.NOT_SENT: ForwardOutcome.NOT_SENT,
    Resolution.CLIENT_GONE: ForwardOutcome.FAILED,
}


@dataclass(frozen=True, slots=True)
class LocalGateway:
    """The identity of this process in its hello."""

    site: str
    name: str
    incarnation: int


@dataclass(slots=True, eq=False)
class ForwardedJob:
    """One job that was offered to the peer and whose outcome is not yet settled."""

    number: int
    incarnation: int
    lease: IssuedLease
    term: int
    request: InboundRequest
    state: HomeState
    waiting_since: datetime
    expires: datetime
    resend_at: datetime
    resend_delay: timedelta
    result: asyncio.Future[ForwardResult] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Outbound:
    """Owns the connection to one peer and every job that was forwarded to it."""

    def __init__(
        self,
        local: LocalGateway,
        site: str,
        peer_settings: PeerSettings,
        settings: Settings,
        clock: Clock,
        advice: OutgoingAdvice,
        is_safe: Callable[[str], bool],
        secured: Callable[[], Secured | None],
        wanted_slots: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._local, self._peer_settings, self._settings, self._clock = local, peer_settings, settings, clock
        self._advice, self._is_safe, self._secured, self._wanted_slots, self._on_change = (
            advice,
            is_safe,
            secured,
            wanted_slots,
            on_change,
        )
        self.peer = Peer(site, peer_settings.name)
        self.counts: Counter[str] = Counter()
        self.rtt = timedelta(0)
        self.state = "down"
        self._incarnation: int | None = None
        self._leases: dict[int, IssuedLease] = {}  # by incarnation; older ones only while they have jobs
        self._jobs: dict[int, ForwardedJob] = {}
        self._numbers = itertools.count(1)
        self._channel: Channel | None = None
        self._reason = ""  # why the link is down; logged only when it changes

    @property
    def unresolved_jobs(self) -> int:
        """The number of jobs that still wait for a resolution."""
        return sum(job.state.resolution is None for job in self._jobs.values())

    # ---- the connection ----

    async def run(self) -> None:
        """Keep a session with the peer, and reconnect whenever it ends."""
        while True:
            try:
                await self._session()
            except (LinkError, OSError) as error:
                self._mark_down(str(error))
            except Exception:
                log.exception("link failed", peer=self._peer_settings.name)
                self._mark_down("internal error, see the log")
            # The random factor keeps all peers of a restarted site from reconnecting at once.
            await asyncio.sleep(self._settings.reconnect.total_seconds() * random.uniform(0.5, 1.5))

    def _mark_down(self, reason: str) -> None:
        if reason != self._reason:
            log.warning("link down", peer=self._peer_settings.name, site=self.peer.site, why=reason)
        self.state, self._reason = "down", reason

    async def _session(self) -> None:
        s, secured = self._settings, self._secured()
        context = secured.client if secured else None
        address = (self._peer_settings.host, self._peer_settings.port)
        channel = await connected(*address, s.connect_timeout, context, s.max_frame, s.max_bytes)
        try:
            await self._exchange_hello(channel)
            self._channel = channel
            for job in list(self._jobs.values()):
                self._apply(
                    job, HomeEvent.RESEND if job.state.written or job.state.resolution else HomeEvent.OFFER
                )
            # A connected peer requests its lease about ten times in this time.
            async for frame in channel.frames(s.lease):
                self._receive(frame, channel)
        finally:
            self._channel, self.peer.ready = None, False
            await channel.close()

    async def _exchange_hello(self, channel: Channel) -> None:
        local, peer_settings = self._local, self._peer_settings
        if channel.name is not None and channel.name != peer_settings.name:
            raise LinkError(f"the peer's certificate names {channel.name!r}, not {peer_settings.name!r}")
        channel.send(
            Hello(VERSION, local.site, local.name, local.incarnation, micros(self._clock.now() - EPOCH))
        )
        deadline = self._clock.now() + HELLO_TIMEOUT
        # Messages that arrive before the hello are ignored; the peer will resend them.
        while not isinstance(hello := await channel.receive(deadline - self._clock.now()), Hello):
            if isinstance(hello, Refusal):
                raise LinkError(f"the peer rejected the connection: {hello.why}")
        if hello.version != VERSION:
            raise LinkError(f"the peer uses protocol version {hello.version}; this side uses {VERSION}")
        if (hello.site, hello.name) != (self.peer.site, peer_settings.name):
            raise LinkError(
                f"the peer is {hello.name!r} of {hello.site!r}, "
                f"not {peer_settings.name!r} of {self.peer.site!r}"
            )
        if hello.life != self._incarnation:
            self._begin_incarnation(hello.life)
        log.info("link up", peer=peer_settings.name, site=self.peer.site, life=hello.life)
        self.state, self._reason = "up", ""

    def _begin_incarnation(self, incarnation: int) -> None:
        old, self._incarnation = self._incarnation, incarnation
        self._leases[incarnation] = IssuedLease(self._settings.lease)
        self.peer.credit = 0.0
        for job in list(self._jobs.values()):
            if job.incarnation == old:
                self._apply(job, HomeEvent.INCARNATION_GONE)

    def _receive(self, frame: Frame, channel: Channel) -> None:
        match frame:
            case Ping(ping_time, credit, rtt):
                self._grant_lease(ping_time)
                self.rtt = self.peer.rtt = timedelta(microseconds=max(0, rtt))
                self.peer.credit, self.peer.ready = credit, True
                self._on_change()
            case Taken(number):
                if job := self._jobs.get(number):
                    self._apply(job, HomeEvent.TAKEN)
            case Ended(number, outcome_name, body):
                self._receive_ended(number, outcome_name, body, channel)
            case Refusal(reason):
                raise LinkError(f"the peer rejected the connection: {reason}")
            case _:
                raise LinkError(f"the peer may not send the message {type(frame).__name__.lower()!r}")

    def _receive_ended(self, number: int, outcome_name: str, body: bytes, channel: Channel) -> None:
        try:
            outcome = Outcome(outcome_name)
        except ValueError:
            raise LinkError(f"an unknown outcome {outcome_name!r}") from None
        job = self._jobs.get(number)
        if job is None:
            channel.send(Ack(number))  # already settled: the last acknowledgement was lost
            return
        if not job.state.resolution:
            if outcome is Outcome.NEVER:
                self.counts["promised"] += 1
                self.peer.record_rejected(self._clock.now())
            elif outcome is Outcome.SERVED:
                self.peer.record_served()
        self._apply(job, OUTCOME_EVENTS[outcome], body)

    def _grant_lease(self, ping_time: int) -> None:
        if self._channel and self._incarnation is not None:
            now = self._clock.now()
            term = self._leases[self._incarnation].grant(now)
            self._channel.send(Pong(ping_time, term, self._wanted_slots(), self._stops(now)))

    def send_advice(self) -> None:
        """Send changed advice about the peer's endpoints without waiting for the next grant."""
        if self._channel and self._incarnation is not None:
            term = self._leases[self._incarnation].term
            self._channel.send(Pong(0, term, self._wanted_slots(), self._stops(self._clock.now())))

    def _stops(self, now: datetime) -> tuple[Stop, ...]:
        return tuple(Stop(uid, micros(age)) for uid, age in self._advice.recent_stops(now))

    # ---- jobs ----

    def offer(self, request: InboundRequest, since: datetime) -> ForwardedJob | None:
        """Offer a request to the peer; None if that is not possible now."""
        now, channel = self._clock.now(), self._channel
        if channel is None or self._incarnation is None or channel.in_hand > self._settings.max_bytes // 2:
            return None
        lease = self._leases[self._incarnation]
        if lease.last_grant_at is None:  # without a lease the peer would hand the job back
            return None
        number, resend_delay = next(self._numbers), max(self._settings.retransmit, 2 * self.rtt)
        expires = request.deadline + OFFER_RETENTION
        state = HomeState(self._is_safe(request.job_class))
        job = ForwardedJob(
            number,
            self._incarnation,
            lease,
            lease.term,
            request,
            state,
            since,
            expires,
            now + resend_delay,
            resend_delay,
        )
        self._jobs[number] = job
        self.peer.record_sent(request.slots)
        self.counts["lent"] += 1
        self._apply(job, HomeEvent.OFFER)
        return job

    def give_up(self, job: ForwardedJob, late: bool) -> ForwardOutcome:
        """Resolve a job whose request ends: its deadline has passed (`late`) or its client has left."""
        if not job.state.resolution:
            self._apply(job, HomeEvent.DEADLINE if late else HomeEvent.CLIENT_GONE)
        assert job.state.resolution
        return FORWARD_OUTCOMES[job.state.resolution]

    def _apply(self, job: ForwardedJob, event: HomeEvent, body: bytes = b"") -> None:
        before = job.state.resolution
        job.state, message_kinds = step_home(job.state, event)
        for kind in message_kinds:
            self._send(job, kind)
        if job.state.resolution and not before:
            self._settle(job, job.state.resolution, body)
        if job.state.resolution and (job.state.is_settled or not job.state.written):
            self._jobs.pop(job.number, None)

    def _settle(self, job: ForwardedJob, resolution: Resolution, body: bytes) -> None:
        self.peer.record_ended(job.request.slots)
        self.counts[
            {Resolution.SERVED: "brought", Resolution.RUN_AT_HOME: "returned"}.get(resolution, "failed")
        ] += 1
        if resolution is Resolution.FAILED or (
            resolution is Resolution.RUN_AT_HOME and not job.state.is_settled and job.state.written
        ):
            self.peer.record_failed()
            log.warning(
                "job lost",
                request_id=job.request.worker_request.request_id,
                peer=self.peer.name,
                verdict=resolution.value,
            )
        if not job.result.done():
            job.result.set_result(ForwardResult(FORWARD_OUTCOMES[resolution], body))

    def _send(self, job: ForwardedJob, kind: MessageKind) -> None:
        channel = self._channel
        if channel is None or job.incarnation != self._incarnation:
            return  # sent once the same incarnation is connected again
        expires_at, now = micros(job.expires - EPOCH), self._clock.now()
        match kind:
            case MessageKind.OFFER:
                job.state, _ = step_home(job.state, HomeEvent.WRITTEN)
                channel.send(self._offer_message(job, expires_at, now))
            case MessageKind.WITHDRAW | MessageKind.ABANDON:
                abandon = kind is MessageKind.ABANDON
                channel.send(Withdraw(job.number, job.incarnation, expires_at, job.state.safe, abandon))
            case MessageKind.ACK:
                channel.send(Ack(job.number))

    def _offer_message(self, job: ForwardedJob, expires_at: int, now: datetime) -> Offer:
        request, out = job.request, job.request.worker_request
        return Offer(
            job=job.number,
            life=job.incarnation,
            term=job.term,
            expires_at=expires_at,
            left=max(0, micros(request.deadline - now - self.rtt - DEADLINE_MARGIN)),
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
        """Called often: detects expired leases and resends what may have been lost."""
        now = self._clock.now()
        for incarnation, lease in list(self._leases.items()):
            if lease.expire(now):
                if incarnation == self._incarnation:
                    self.peer.ready = False
                for job in [j for j in self._jobs.values() if j.lease is lease]:
                    self._apply(job, HomeEvent.SILENCE)
            if incarnation != self._incarnation and not any(j.lease is lease for j in self._jobs.values()):
                del self._leases[incarnation]
        for job in list(self._jobs.values()):
            if now >= job.expires:
                self._jobs.pop(job.number, None)  # messages about it are no longer valid
            elif now >= job.resend_at:
                job.resend_delay = min(MAX_RESEND_DELAY, job.resend_delay * RESEND_GROWTH)
                job.resend_at = now + job.resend_delay
                # Long without a response to the offer: take the job back rather than lose it at its deadline.
                is_unacknowledged = (
                    not job.state.taken
                    and not job.state.resolution
                    and now - job.waiting_since > self._settings.lease / 2
                )
                should_recall = is_unacknowledged and not job.state.cancel_message
                self._apply(job, HomeEvent.RECALL if should_recall else HomeEvent.RESEND)
