"""The away side: the listener, the homes that are connected, and the jobs that they handed over."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

import structlog

from rookwood import interface as api
from rookwood.conf import Gateway as Settings
from rookwood.gateway.advice import Far
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
from rookwood.gateway.handoff import Away, AwayEvent, Do, Outcome, Say, Stage, Standing, away
from rookwood.gateway.home import HELLO_LIMIT, Me
from rookwood.gateway.lease import Held
from rookwood.gateway.lending import Home, Turns
from rookwood.gateway.link import CHUNK, Channel, LinkError
from rookwood.net.clock import EPOCH, Clock
from rookwood.net.endpoints import WorkerRequest
from rookwood.net.policy_driver import NEVER_RAN, AttemptOutcome, Ticket, micros
from rookwood.net.request import InboundRequest, RequestHandler, RequestProgress

log = structlog.stdlib.get_logger(__name__)

PATIENCE = (
    0.3  # of its class's aim: so long a guest is held here; then it goes back, where it may be served yet
)
MOST_CHANNELS = 64
TOMBSTONES = 32  # times the jobs that may be in hand: more than that are not remembered, so not taken either
RESEND, LONGEST_RESEND = timedelta(milliseconds=40), timedelta(seconds=1)


@dataclass(slots=True, eq=False)
class Guest:
    """One job of a home, from its offer until nobody can ask about it any more."""

    number: int
    state: Away
    expires: datetime
    slots: float = 0.0
    task: asyncio.Task[None] | None = None
    body: bytes = b""  # the result, until home has acknowledged it
    size: int = 0  # bytes of the offer, while it is in hand
    resend_at: datetime | None = None
    wait: timedelta = RESEND


@dataclass(slots=True, eq=False)
class Visitor:
    """One life of one home."""

    site: str
    name: str
    life: int
    skew: timedelta  # this clock less the home's, as it seemed at its first hello; kept, so that all agree
    held: Held
    jobs: dict[int, Guest] = field(default_factory=dict)
    channel: Channel | None = None
    want: float = 0.0
    credit: float = 0.0
    rtt: timedelta = timedelta(0)
    leased: bool = False
    dead: bool = False  # another life of that home has come, and this one's connection is gone

    @property
    def live(self) -> list[Guest]:
        return [guest for guest in self.jobs.values() if guest.state.stage is not Stage.ENDED]

    @property
    def slots(self) -> float:
        return sum(guest.slots for guest in self.live)


class GuestCourse(RequestProgress):
    """Asks the machine before the last byte leaves, and tells it what came of the attempt."""

    def __init__(self, guests: Guests, visitor: Visitor, guest: Guest, patience: float) -> None:
        super().__init__()
        self._patience = patience  # seconds
        self._guests, self._visitor, self._guest = guests, visitor, guest
        self._impatience: asyncio.TimerHandle | None = None

    def on_waiting(self, ticket: Ticket) -> None:
        if self._impatience is None:
            loop = asyncio.get_running_loop()
            self._impatience = loop.call_later(self._patience, ticket.withdraw)

    def allow_last_byte(self) -> bool:
        return self._guests.may_leave(self._visitor, self._guest) and super().allow_last_byte()

    def attempt_ended(self, end: AttemptOutcome) -> None:
        super().attempt_ended(end)
        if end in NEVER_RAN and not self.attempt_may_have_run:
            self._guests.feed(self._visitor, self._guest, AwayEvent.RETURNED)

    def close(self) -> None:
        if self._impatience:
            self._impatience.cancel()


class Guests:
    """Owns the listener, every connection of a home, and every job taken from one."""

    def __init__(
        self,
        me: Me,
        settings: Settings,
        allowed: Collection[tuple[str, str]],
        clock: Clock,
        requests: RequestHandler,
        classes: Mapping[str, api.JobClass],
        unsafe: Collection[str],
        far: Far,
        stopped: Callable[[set[str]], None],
        open_: Callable[[], bool],
    ) -> None:
        self._me, self.settings, self._allowed, self._clock = me, settings, set(allowed), clock
        self._requests, self._classes, self._unsafe = requests, classes, unsafe
        self._far, self._stopped, self._open = far, stopped, open_
        self.counts: Counter[str] = Counter()
        self._turns = Turns()
        self._visitors: dict[tuple[str, int], Visitor] = {}
        self._channels: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def slots(self) -> float:
        return sum(visitor.slots for visitor in self._visitors.values())

    @property
    def current(self) -> int:
        return sum(len(visitor.live) for visitor in self._visitors.values())

    @property
    def owed(self) -> bool:
        """A result is still to be heard by its home, or to come."""
        guests = (
            guest for visitor in self._visitors.values() for guest in visitor.jobs.values() if visitor.channel
        )
        return any(not guest.state.acked and guest.state.outcome is not Outcome.NEVER for guest in guests)

    @property
    def homes(self) -> int:
        return sum(visitor.channel is not None for visitor in self._visitors.values())

    def deal(self, total: float) -> None:
        """Deals out what is lent. Each home hears of its part with the next ping."""
        here = {key: visitor for key, visitor in self._visitors.items() if visitor.channel}
        homes = {key: Home(visitor.want, visitor.slots) for key, visitor in here.items()}
        parts = self._turns.deal(total, homes)
        for key, visitor in here.items():
            visitor.credit = parts[key]

    # ---- connections ----

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        channel = Channel(reader, writer, self.settings.max_frame, self.settings.max_bytes)
        if len(self._channels) >= MOST_CHANNELS:
            channel.cut()
            return
        self._channels.add(task)
        visitor = None
        try:
            visitor = await self._greet(channel)
            async for frame in channel.frames(self.settings.lease):
                self._heard(visitor, frame)
        except LinkError as error:
            log.info("home left", home=visitor.name if visitor else None, why=str(error))
            channel.send(Refusal(str(error)))
        except (OSError, ssl.SSLError) as error:
            log.info("home left", home=visitor.name if visitor else None, why=str(error))
        except asyncio.CancelledError:
            pass  # only `close` does that
        except Exception:
            log.exception("link failed", home=visitor.name if visitor else None)
        finally:
            if visitor and visitor.channel is channel:
                visitor.channel = None
            await channel.close()
            self._channels.discard(task)

    async def _greet(self, channel: Channel) -> Visitor:
        hello = await channel.receive(HELLO_LIMIT)
        if not isinstance(hello, Hello):
            raise LinkError("a hello comes first")
        if hello.version != VERSION:
            raise LinkError(f"version {hello.version} is not spoken here; it is {VERSION}")
        if channel.name is not None and channel.name != hello.name:
            raise LinkError(f"the certificate names {channel.name!r}, not {hello.name!r}")
        if (hello.site, hello.name) not in self._allowed:
            raise LinkError(f"{hello.name!r} of site {hello.site!r} is not in the file here")
        now = self._clock.now()
        channel.send(Hello(VERSION, self._me.site, self._me.name, self._me.life, micros(now - EPOCH)))
        key = (hello.name, hello.life)
        visitor = self._visitors.get(key)
        if visitor is None:
            skew = now - (EPOCH + timedelta(microseconds=hello.now_at))
            visitor = Visitor(hello.site, hello.name, hello.life, skew, Held(self.settings.lease))
            self._visitors[key] = visitor
        if visitor.channel:
            visitor.channel.cut()  # the home has given that one up
        visitor.channel = channel
        log.info("home here", home=hello.name, site=hello.site, life=hello.life)
        self._ping(visitor)
        for guest in list(visitor.jobs.values()):
            self.feed(visitor, guest, AwayEvent.RESEND)
        return visitor

    def _ping(self, visitor: Visitor) -> None:
        if visitor.channel:
            credit = visitor.credit if self._open() else 0.0
            visitor.channel.send(Ping(micros(self._clock.now() - EPOCH), credit, micros(visitor.rtt)))

    def _heard(self, visitor: Visitor, frame: Frame) -> None:
        now = self._clock.now()
        match frame:
            case Pong(asked, term, want, stops):
                visitor.want = want
                if asked:
                    at = EPOCH + timedelta(microseconds=asked)
                    if at <= now:  # whatever a peer sends, a lease never runs from the future
                        visitor.held.granted(term, at)
                        visitor.rtt += 0.2 * (now - at - visitor.rtt) if visitor.rtt else now - at
                self._advice(visitor, stops, whole=True)
            case Offer():
                self._advice(visitor, frame.stops, whole=False)
                self._offered(visitor, frame)
            case Withdraw(number, life, expires_at, safe, abandon):
                event = AwayEvent.ABANDON if abandon else AwayEvent.WITHDRAW
                standing = self._standing(visitor, life, expires_at, None)
                self._from_home(visitor, number, event, standing, safe, self._expiry(visitor, expires_at))
            case Ack(number):
                if guest := visitor.jobs.get(number):
                    self.feed(visitor, guest, AwayEvent.ACK)
            case Refusal(why):
                raise LinkError(f"the home refuses: {why}")
            case _:
                raise LinkError(f"a {type(frame).__name__.lower()} is not a home's to send")

    def _advice(self, visitor: Visitor, stops: tuple[Stop, ...], whole: bool) -> None:
        told = [(stop.uid, timedelta(microseconds=max(0, stop.age))) for stop in stops]
        changed = self._far.heard(visitor.name, told, visitor.rtt, self._clock.now(), whole)
        if changed:
            self._stopped(changed)

    def _expiry(self, visitor: Visitor, expires_at: int) -> datetime:
        return EPOCH + timedelta(microseconds=expires_at) + visitor.skew

    def _standing(self, visitor: Visitor, life: int, expires_at: int, term: int | None) -> Standing:
        now = self._clock.now()
        fresh = now < self._expiry(visitor, expires_at)
        return Standing(life == self._me.life, fresh, visitor.held.runs(now, term))

    # ---- jobs ----

    def _offered(self, visitor: Visitor, offer: Offer) -> None:
        s, live = self.settings, visitor.live
        standing = self._standing(visitor, offer.life, offer.expires_at, offer.term)
        if offer.job not in visitor.jobs:
            if len(visitor.jobs) >= TOMBSTONES * s.max_jobs:
                self.counts["dropped"] += 1  # unsaid, so undecided: home says it again, or withdraws it
                return
            bytes_in_hand = sum(guest.size for guest in live)
            able = len(live) < s.max_jobs and bytes_in_hand + len(offer.body) <= s.max_bytes
            if not (able and self._open() and offer.job_class in self._classes):
                standing = Standing(standing.mine, standing.fresh, leased=False)
        safe = offer.job_class not in self._unsafe
        expires = self._expiry(visitor, offer.expires_at)
        self._from_home(visitor, offer.job, AwayEvent.OFFER, standing, safe, expires, offer)

    def _from_home(
        self,
        visitor: Visitor,
        number: int,
        event: AwayEvent,
        standing: Standing,
        safe: bool,
        expires: datetime,
        offer: Offer | None = None,
    ) -> None:
        guest = visitor.jobs.get(number)
        state, acts = away(guest.state if guest else None, event, standing, safe)
        if guest is None and state is not None:
            guest = visitor.jobs[number] = Guest(number, state, expires)
            if Do.START in acts and offer:
                self.counts["borrowed"] += 1
                guest.slots, guest.size = offer.slots, len(offer.body)
                guest.task = asyncio.create_task(self._serve(visitor, guest, offer))
                self._tasks.add(guest.task)
                guest.task.add_done_callback(self._tasks.discard)
            else:
                self.counts["declined"] += 1
        elif guest and state:
            guest.state = state
        self._act(visitor, number, guest, acts)

    def feed(self, visitor: Visitor, guest: Guest, event: AwayEvent) -> bool:
        """True: the last byte may leave."""
        standing = Standing(leased=visitor.held.runs(self._clock.now()))
        state, acts = away(guest.state, event, standing, guest.state.safe)
        if state is None:
            visitor.jobs.pop(guest.number, None)
        else:
            guest.state = state
        self._act(visitor, guest.number, guest, acts)
        return Do.GO in acts

    def may_leave(self, visitor: Visitor, guest: Guest) -> bool:
        return self.feed(visitor, guest, AwayEvent.LEAVING)

    def _act(
        self, visitor: Visitor, number: int, guest: Guest | None, acts: tuple[Do | Outcome | Say, ...]
    ) -> None:
        for act in acts:
            if act is Say.TAKEN and visitor.channel:
                visitor.channel.send(Taken(number))
            elif isinstance(act, Outcome):
                if visitor.channel:
                    visitor.channel.send(Ended(number, act.value, guest.body if guest else b""))
                if guest and guest.state.stage is Stage.ENDED:
                    guest.resend_at = guest.resend_at or self._clock.now() + max(RESEND, 2 * visitor.rtt)
            elif act is Do.STOP and guest and guest.task:
                guest.task.cancel()
            elif act is Do.FREE and guest:
                guest.body = b""

    async def _serve(self, visitor: Visitor, guest: Guest, offer: Offer) -> None:
        patience = PATIENCE * self._classes[offer.job_class].aim / 1e6
        course = GuestCourse(self, visitor, guest, patience)
        event = AwayEvent.ENDED
        try:
            request = InboundRequest(
                job_class=offer.job_class,
                deadline=self._clock.now() + timedelta(microseconds=offer.left),
                slots=offer.slots,
                memory=offer.memory,
                key=offer.key,
                is_retry=offer.is_retry,
                worker_request=WorkerRequest(
                    offer.request_id, offer.target, offer.host, offer.content_type, offer.body, offer.keys
                ),
                tenant=offer.tenant,
                duration_hint=timedelta(microseconds=offer.hint) if offer.hint else None,
            )
            answer = await self._requests.serve(request, course)
            if answer.status == 200:
                guest.body, event = answer.body, AwayEvent.SERVED
                self.counts["served"] += 1
            elif not course.may_have_run:
                self.counts["promised_back"] += 1
        except asyncio.CancelledError:
            pass  # told to stop: the connection to the endpoint is closed by now
        except Exception:
            log.exception("guest failed", home=visitor.name, request_id=offer.request_id)
        finally:
            course.close()
            guest.task, guest.size = None, 0
            self.feed(visitor, guest, event)

    def tick(self) -> None:
        """Often: leases that ended, results that may have been lost, records that nobody can ask for."""
        now = self._clock.now()
        if changed := self._far.aged(now):
            self._stopped(changed)
        for key, visitor in list(self._visitors.items()):
            leased = visitor.held.runs(now)
            if visitor.leased and not leased:
                log.warning("lease lost", home=visitor.name, jobs=len(visitor.live))
                for guest in visitor.live:
                    self.feed(visitor, guest, AwayEvent.LEASE_LOST)
            visitor.leased = leased
            if not (visitor.channel or visitor.dead) and self._followed(visitor):
                visitor.dead = True
                for guest in visitor.live:
                    self.feed(visitor, guest, AwayEvent.HOME_DEAD)
            for guest in list(visitor.jobs.values()):
                if now >= guest.expires:
                    self.feed(visitor, guest, AwayEvent.EXPIRED)
                elif guest.resend_at and now >= guest.resend_at and not guest.state.acked:
                    guest.wait = min(LONGEST_RESEND, guest.wait * 1.5)
                    guest.resend_at = now + guest.wait
                    self.feed(visitor, guest, AwayEvent.RESEND)
            if not (visitor.jobs or visitor.channel or leased):
                del self._visitors[key]

    def _followed(self, visitor: Visitor) -> bool:
        others = (v for v in self._visitors.values() if v.name == visitor.name and v is not visitor)
        return any(other.channel for other in others)

    def ping(self) -> None:
        for visitor in self._visitors.values():
            self._ping(visitor)

    async def close(self) -> None:
        tasks = [*self._tasks, *self._channels]
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)


async def accepting(guests: Guests, listener: object, context: ssl.SSLContext | None) -> asyncio.Server:
    more = {"ssl": context, "ssl_handshake_timeout": HELLO_LIMIT.total_seconds()} if context else {}
    return await asyncio.start_server(guests.connection, sock=listener, limit=CHUNK, **more)  # type: ignore[arg-type]
