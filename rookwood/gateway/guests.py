"""The away side: the connections of homes, and the jobs that they forwarded."""

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
from rookwood.gateway.advice import ReceivedAdvice
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
    Action,
    AwayEvent,
    AwayState,
    MessageKind,
    Outcome,
    Stage,
    Validity,
    step_away,
)
from rookwood.gateway.home import HELLO_TIMEOUT, LocalGateway
from rookwood.gateway.lease import HeldLease
from rookwood.gateway.lending import HomeDemand, SpareAllocator
from rookwood.gateway.link import CHUNK, Channel, LinkError
from rookwood.net.clock import EPOCH, Clock
from rookwood.net.endpoints import WorkerRequest
from rookwood.net.policy_driver import NEVER_RAN, AttemptOutcome, Ticket, micros
from rookwood.net.request import InboundRequest, RequestHandler, RequestProgress

log = structlog.stdlib.get_logger(__name__)

# A guest waits for a slot for at most this part of its class's aim, then goes back: home may still serve it.
MAX_HOLD_SHARE = 0.3
MAX_CHANNELS = 64
# Job records kept for each home, as a multiple of `max_jobs`. An offer needs a record, so others are dropped.
RECORDS_PER_JOB = 32
RESEND, MAX_RESEND_DELAY = timedelta(milliseconds=40), timedelta(seconds=1)


@dataclass(slots=True, eq=False)
class GuestJob:
    """One job of a home, from its offer until its record expires."""

    number: int
    state: AwayState
    expires: datetime
    slots: float = 0.0
    task: asyncio.Task[None] | None = None
    body: bytes = b""  # the result, until home has acknowledged it
    offer_bytes: int = 0  # size of the offer, until the job ends
    resend_at: datetime | None = None
    resend_delay: timedelta = RESEND


@dataclass(slots=True, eq=False)
class HomePeer:
    """One incarnation of one home gateway."""

    site: str
    name: str
    incarnation: int
    skew: timedelta  # local clock minus home's at the first hello; kept, so that all times agree
    lease: HeldLease
    jobs: dict[int, GuestJob] = field(default_factory=dict)
    channel: Channel | None = None
    wanted_slots: float = 0.0  # slots of the jobs that wait at home
    credit: float = 0.0  # slots lent to this home
    rtt: timedelta = timedelta(0)
    had_lease: bool = False  # at the last tick
    is_superseded: bool = False  # another incarnation has connected, and this one is disconnected

    @property
    def active_jobs(self) -> list[GuestJob]:
        """The jobs that have not ended."""
        return [guest for guest in self.jobs.values() if guest.state.stage is not Stage.ENDED]

    @property
    def slots(self) -> float:
        """Slots that the active jobs take."""
        return sum(guest.slots for guest in self.active_jobs)


class GuestProgress(RequestProgress):
    """Asks a guest's state machine before the last byte is sent, and reports attempts that never ran."""

    def __init__(self, guests: GuestServer, home: HomePeer, guest: GuestJob, hold_limit: float) -> None:
        super().__init__()
        self._hold_limit = hold_limit  # seconds
        self._guests, self._home, self._guest = guests, home, guest
        self._hold_timer: asyncio.TimerHandle | None = None

    def on_waiting(self, ticket: Ticket) -> None:
        if self._hold_timer is None:
            loop = asyncio.get_running_loop()
            self._hold_timer = loop.call_later(self._hold_limit, ticket.withdraw)

    def allow_last_byte(self) -> bool:
        return self._guests.may_send_last_byte(self._home, self._guest) and super().allow_last_byte()

    def attempt_ended(self, end: AttemptOutcome) -> None:
        super().attempt_ended(end)
        if end in NEVER_RAN and not self.attempt_may_have_run:
            self._guests.apply(self._home, self._guest, AwayEvent.ATTEMPT_NOT_RUN)

    def close(self) -> None:
        if self._hold_timer:
            self._hold_timer.cancel()


class GuestServer:
    """Owns the connections of homes and the jobs that they forwarded."""

    def __init__(
        self,
        local: LocalGateway,
        settings: Settings,
        allowed: Collection[tuple[str, str]],
        clock: Clock,
        requests: RequestHandler,
        classes: Mapping[str, api.JobClass],
        unsafe: Collection[str],
        advice: ReceivedAdvice,
        on_advice_change: Callable[[set[str]], None],
        is_serving: Callable[[], bool],
    ) -> None:
        self._local, self.settings, self._allowed, self._clock = local, settings, set(allowed), clock
        self._requests, self._classes, self._unsafe = requests, classes, unsafe
        self._received_advice, self._on_advice_change, self._is_serving = advice, on_advice_change, is_serving
        self.counts: Counter[str] = Counter()
        self._allocator = SpareAllocator()
        self._homes: dict[tuple[str, int], HomePeer] = {}
        self._channels: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def slots(self) -> float:
        """Slots that all guests take."""
        return sum(home.slots for home in self._homes.values())

    @property
    def current(self) -> int:
        """The number of guests that have not ended."""
        return sum(len(home.active_jobs) for home in self._homes.values())

    @property
    def has_unsettled_results(self) -> bool:
        """Whether a connected home still waits for, or has not acknowledged, an outcome other than NEVER."""
        guests = (guest for home in self._homes.values() for guest in home.jobs.values() if home.channel)
        return any(not guest.state.acked and guest.state.outcome is not Outcome.NEVER for guest in guests)

    @property
    def homes(self) -> int:
        """The number of connected homes."""
        return sum(home.channel is not None for home in self._homes.values())

    def allocate(self, total: float) -> None:
        """Share the lent slots among the connected homes; each gets its credit with the next ping."""
        connected_homes = {key: home for key, home in self._homes.items() if home.channel}
        demands = {key: HomeDemand(home.wanted_slots, home.slots) for key, home in connected_homes.items()}
        credits = self._allocator.allocate(total, demands)
        for key, home in connected_homes.items():
            home.credit = credits[key]

    # ---- connections ----

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a home until it ends."""
        task = asyncio.current_task()
        assert task
        channel = Channel(reader, writer, self.settings.max_frame, self.settings.max_bytes)
        if len(self._channels) >= MAX_CHANNELS:
            channel.cut()
            return
        self._channels.add(task)
        home = None
        try:
            home = await self._exchange_hello(channel)
            async for frame in channel.frames(self.settings.lease):
                self._receive(home, frame)
        except LinkError as error:
            log.info("home disconnected", home=home.name if home else None, why=str(error))
            channel.send(Refusal(str(error)))
        except (OSError, ssl.SSLError) as error:
            log.info("home disconnected", home=home.name if home else None, why=str(error))
        except asyncio.CancelledError:
            pass  # only `close` cancels this task
        except Exception:
            log.exception("link failed", home=home.name if home else None)
        finally:
            if home and home.channel is channel:
                home.channel = None
            await channel.close()
            self._channels.discard(task)

    async def _exchange_hello(self, channel: Channel) -> HomePeer:
        hello = await channel.receive(HELLO_TIMEOUT)
        if not isinstance(hello, Hello):
            raise LinkError("the first message must be a hello")
        if hello.version != VERSION:
            raise LinkError(f"protocol version {hello.version} is not supported; this side uses {VERSION}")
        if channel.name is not None and channel.name != hello.name:
            raise LinkError(f"the certificate names {channel.name!r}, not {hello.name!r}")
        if (hello.site, hello.name) not in self._allowed:
            raise LinkError(f"{hello.name!r} of site {hello.site!r} is not allowed by the operator's file")
        now = self._clock.now()
        channel.send(
            Hello(VERSION, self._local.site, self._local.name, self._local.incarnation, micros(now - EPOCH))
        )
        key = (hello.name, hello.life)
        home = self._homes.get(key)
        if home is None:
            skew = now - (EPOCH + timedelta(microseconds=hello.now_at))
            home = HomePeer(hello.site, hello.name, hello.life, skew, HeldLease(self.settings.lease))
            self._homes[key] = home
        if home.channel:
            home.channel.cut()  # the home has abandoned that connection
        home.channel = channel
        log.info("home connected", home=hello.name, site=hello.site, life=hello.life)
        self._ping(home)
        for guest in list(home.jobs.values()):
            self.apply(home, guest, AwayEvent.RESEND)
        return home

    def _ping(self, home: HomePeer) -> None:
        if home.channel:
            credit = home.credit if self._is_serving() else 0.0
            home.channel.send(Ping(micros(self._clock.now() - EPOCH), credit, micros(home.rtt)))

    def _receive(self, home: HomePeer, frame: Frame) -> None:
        now = self._clock.now()
        match frame:
            case Pong(ping_time, term, wanted_slots, stops):
                home.wanted_slots = wanted_slots
                if ping_time:
                    at = EPOCH + timedelta(microseconds=ping_time)
                    if at <= now:  # a peer cannot make a lease start in the future
                        home.lease.renew(term, at)
                        home.rtt += 0.2 * (now - at - home.rtt) if home.rtt else now - at
                self._receive_advice(home, stops, is_full_list=True)
            case Offer():
                self._receive_advice(home, frame.stops, is_full_list=False)
                self._receive_offer(home, frame)
            case Withdraw(number, incarnation, expires_at, safe, abandon):
                event = AwayEvent.ABANDON if abandon else AwayEvent.WITHDRAW
                validity = self._validity(home, incarnation, expires_at, None)
                self._apply_home_message(home, number, event, validity, safe, self._expiry(home, expires_at))
            case Ack(number):
                if guest := home.jobs.get(number):
                    self.apply(home, guest, AwayEvent.ACK)
            case Refusal(why):
                raise LinkError(f"the home rejected the connection: {why}")
            case _:
                raise LinkError(f"a home may not send the message {type(frame).__name__.lower()!r}")

    def _receive_advice(self, home: HomePeer, stops: tuple[Stop, ...], is_full_list: bool) -> None:
        stop_ages = [(stop.uid, timedelta(microseconds=max(0, stop.age))) for stop in stops]
        changed = self._received_advice.receive(
            home.name, stop_ages, home.rtt, self._clock.now(), is_full_list
        )
        if changed:
            self._on_advice_change(changed)

    def _expiry(self, home: HomePeer, expires_at: int) -> datetime:
        return EPOCH + timedelta(microseconds=expires_at) + home.skew

    def _validity(self, home: HomePeer, incarnation: int, expires_at: int, term: int | None) -> Validity:
        now = self._clock.now()
        is_unexpired = now < self._expiry(home, expires_at)
        return Validity(incarnation == self._local.incarnation, is_unexpired, home.lease.is_valid(now, term))

    # ---- jobs ----

    def _receive_offer(self, home: HomePeer, offer: Offer) -> None:
        s, active_jobs = self.settings, home.active_jobs
        validity = self._validity(home, offer.life, offer.expires_at, offer.term)
        if offer.job not in home.jobs:
            if len(home.jobs) >= RECORDS_PER_JOB * s.max_jobs:
                self.counts["dropped"] += 1  # no response, so home resends the offer or withdraws it
                return
            bytes_in_hand = sum(guest.offer_bytes for guest in active_jobs)
            has_room = len(active_jobs) < s.max_jobs and bytes_in_hand + len(offer.body) <= s.max_bytes
            if not (has_room and self._is_serving() and offer.job_class in self._classes):
                validity = Validity(validity.is_for_this_incarnation, validity.is_unexpired, is_leased=False)
        safe = offer.job_class not in self._unsafe
        expires = self._expiry(home, offer.expires_at)
        self._apply_home_message(home, offer.job, AwayEvent.OFFER, validity, safe, expires, offer)

    def _apply_home_message(
        self,
        home: HomePeer,
        number: int,
        event: AwayEvent,
        validity: Validity,
        safe: bool,
        expires: datetime,
        offer: Offer | None = None,
    ) -> None:
        guest = home.jobs.get(number)
        state, actions = step_away(guest.state if guest else None, event, validity, safe)
        if guest is None and state is not None:
            guest = home.jobs[number] = GuestJob(number, state, expires)
            if Action.START in actions and offer:
                self.counts["borrowed"] += 1
                guest.slots, guest.offer_bytes = offer.slots, len(offer.body)
                guest.task = asyncio.create_task(self._serve(home, guest, offer))
                self._tasks.add(guest.task)
                guest.task.add_done_callback(self._tasks.discard)
            else:
                self.counts["declined"] += 1
        elif guest and state:
            guest.state = state
        self._perform(home, number, guest, actions)

    def apply(self, home: HomePeer, guest: GuestJob, event: AwayEvent) -> bool:
        """Apply an event to a guest's state machine. True if the last byte may be sent."""
        validity = Validity(is_leased=home.lease.is_valid(self._clock.now()))
        state, actions = step_away(guest.state, event, validity, guest.state.safe)
        if state is None:
            home.jobs.pop(guest.number, None)
        else:
            guest.state = state
        self._perform(home, guest.number, guest, actions)
        return Action.SEND_LAST_BYTE in actions

    def may_send_last_byte(self, home: HomePeer, guest: GuestJob) -> bool:
        """Ask the state machine for permission to send the last byte of an attempt."""
        return self.apply(home, guest, AwayEvent.LAST_BYTE_READY)

    def _perform(
        self,
        home: HomePeer,
        number: int,
        guest: GuestJob | None,
        actions: tuple[Action | Outcome | MessageKind, ...],
    ) -> None:
        for action in actions:
            if action is MessageKind.TAKEN and home.channel:
                home.channel.send(Taken(number))
            elif isinstance(action, Outcome):
                if home.channel:
                    home.channel.send(Ended(number, action.value, guest.body if guest else b""))
                if guest and guest.state.stage is Stage.ENDED:
                    guest.resend_at = guest.resend_at or self._clock.now() + max(RESEND, 2 * home.rtt)
            elif action is Action.STOP and guest and guest.task:
                guest.task.cancel()
            elif action is Action.FREE_RESULT and guest:
                guest.body = b""

    async def _serve(self, home: HomePeer, guest: GuestJob, offer: Offer) -> None:
        hold_limit = MAX_HOLD_SHARE * self._classes[offer.job_class].aim / 1e6
        progress = GuestProgress(self, home, guest, hold_limit)
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
            response = await self._requests.serve(request, progress)
            if response.status == 200:
                guest.body, event = response.body, AwayEvent.SERVED
                self.counts["served"] += 1
            elif not progress.may_have_run:
                self.counts["promised_back"] += 1
        except asyncio.CancelledError:
            pass  # stopped; the connection to the worker is already closed
        except Exception:
            log.exception("guest failed", home=home.name, request_id=offer.request_id)
        finally:
            progress.close()
            guest.task, guest.offer_bytes = None, 0
            self.apply(home, guest, event)

    def tick(self) -> None:
        """Called often: handles expired leases, advice and records, and resends unacknowledged outcomes."""
        now = self._clock.now()
        if changed := self._received_advice.expire(now):
            self._on_advice_change(changed)
        for key, home in list(self._homes.items()):
            leased = home.lease.is_valid(now)
            if home.had_lease and not leased:
                log.warning("lease lost", home=home.name, jobs=len(home.active_jobs))
                for guest in home.active_jobs:
                    self.apply(home, guest, AwayEvent.LEASE_LOST)
            home.had_lease = leased
            if not (home.channel or home.is_superseded) and self._has_successor(home):
                home.is_superseded = True
                for guest in home.active_jobs:
                    self.apply(home, guest, AwayEvent.HOME_DEAD)
            for guest in list(home.jobs.values()):
                if now >= guest.expires:
                    self.apply(home, guest, AwayEvent.EXPIRED)
                elif guest.resend_at and now >= guest.resend_at and not guest.state.acked:
                    guest.resend_delay = min(MAX_RESEND_DELAY, guest.resend_delay * 1.5)
                    guest.resend_at = now + guest.resend_delay
                    self.apply(home, guest, AwayEvent.RESEND)
            if not (home.jobs or home.channel or leased):
                del self._homes[key]

    def _has_successor(self, home: HomePeer) -> bool:
        others = (v for v in self._homes.values() if v.name == home.name and v is not home)
        return any(other.channel for other in others)

    def ping(self) -> None:
        """Send a ping to every connected home."""
        for home in self._homes.values():
            self._ping(home)

    async def close(self) -> None:
        tasks = [*self._tasks, *self._channels]
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)


async def start_guest_server(
    guests: GuestServer, listener: object, context: ssl.SSLContext | None
) -> asyncio.Server:
    """Accept connections of homes on a listening socket."""
    tls_options = {"ssl": context, "ssl_handshake_timeout": HELLO_TIMEOUT.total_seconds()} if context else {}
    return await asyncio.start_server(guests.connection, sock=listener, limit=CHUNK, **tls_options)  # type: ignore[arg-type]
