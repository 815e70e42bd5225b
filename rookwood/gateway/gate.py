"""The gateway put together: who owns what, what ticks, what it tells; an `Extension` and a `Forwarding`."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from datetime import datetime, timedelta
from pathlib import Path

import msgspec
import structlog

from rookwood import interface as api
from rookwood.conf import OperatorFile, OperatorFileError, load
from rookwood.gateway.advice import Far, Near
from rookwood.gateway.guests import Guests, accepting
from rookwood.gateway.home import Me, Out, Outbound
from rookwood.gateway.lending import LENDING, Lender
from rookwood.gateway.routing import Prices, Router, Waiting
from rookwood.gateway.secure import SOON, CertificateError, Secured, secured, utc_now
from rookwood.net.destinations import Address, DestinationUpdate, State
from rookwood.net.dispatcher import DispatcherContext
from rookwood.net.listener import bind_listener
from rookwood.net.phase import Phase
from rookwood.net.policy_driver import Ticket
from rookwood.net.request import ForwardOutcome, ForwardResult, InboundRequest
from rookwood.settings import InvalidSettingError

log = structlog.stdlib.get_logger(__name__)

TICK = timedelta(milliseconds=10)  # silences, resends, matches of jobs that wait
GUESTS_LIMIT = timedelta(
    seconds=3
)  # so long a leaving process waits for guests; their homes hold the promise


class Way:
    """One request's `RequestForwarder`."""

    def __init__(self, gateway: Gateway, number: int, request: InboundRequest, since: datetime) -> None:
        self._gateway, self.request = gateway, request
        slots, job_class = request.slots, request.job_class
        self.waiting = Waiting(number, job_class, slots, since, request.deadline)
        self.ticket: Ticket | None = None
        self.taken: tuple[Outbound, Out] | None = None

    def offer(self, ticket: Ticket) -> None:
        self.ticket = ticket
        self._gateway.waits(self)

    async def result(self) -> ForwardResult:
        if self.taken is None:  # the link went between the choice and the offer
            return ForwardResult(ForwardOutcome.RUN_LOCALLY)
        return await self.taken[1].carried

    def close(self, late: bool) -> ForwardOutcome | None:
        self._gateway.gone(self)
        if self.taken is None:
            return None
        outbound, job = self.taken
        return outbound.end(job, late)


class Gateway:
    def __init__(self, core: DispatcherContext, operator: OperatorFile, place: Path) -> None:
        settings = operator.gateway
        assert settings
        self._core, self._operator, self._place, self._settings = core, operator, place, settings
        self._me = Me(operator.site, settings.name or core.name, secrets.randbits(62))
        self._secured: Secured | None = None
        self._site_of = {zone: s.name for s in operator.sites for zone in (s.zones or (s.name,))}
        self._near = {site.name: Near() for site in operator.sites}
        self._far, self._known_far = Far(), dict[str, str]()
        self._router = Router(core.classes, self._prices(), settings.max_jobs)
        self._lender = Lender(settings.lend, settings.reserve, core.dispatcher_group)
        self._ways: dict[int, Way] = {}
        self._numbers = itertools.count(1)
        unsafe = core.decisions.unsafe_classes
        self._outbound = [
            Outbound(
                self._me,
                site.name,
                peer,
                settings,
                core.clock,
                self._near[site.name],
                safe=lambda job_class: job_class not in unsafe,
                secured=lambda: self._secured,
                want=self._want,
                changed=self._wake,
            )
            for site in operator.sites
            for peer in site.peers
        ]
        allowed = {(site.name, peer.name) for site in operator.sites for peer in site.peers}
        if settings.allow:
            allowed = {pair for pair in allowed if pair[1] in settings.allow}
        self._guests = Guests(
            *(self._me, settings, allowed, core.clock, core.request_handler, core.classes, unsafe, self._far),
            stopped=core.destinations.reapply,
            open_=lambda: core.service.phase is Phase.SERVING,
        )
        core.destinations.exclusion_checks.append(self._far.since)
        core.request_handler.forwarding = self
        core.stats.extra_sources.append(self._figures)
        self._pressure: api.SiteLoad | None = None
        self._woken = False
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.port = 0

    def _prices(self) -> Prices:
        return Prices(self._settings.price, self._settings.enter, self._settings.leave)

    # ---- an Extension ----

    def filter_update(self, update: DestinationUpdate, kept: bool) -> DestinationUpdate:
        now, own = self._core.clock.now(), []
        news, started = set[str](), set[str]()
        for endpoint in update.endpoints:
            site = self._site_of.get(endpoint.zone)
            if site is None:
                own.append(endpoint)
                if self._far.started(endpoint.uid, endpoint.started_at):
                    started.add(endpoint.uid)
                continue
            self._known_far[endpoint.uid] = site
            if self._near[site].told(endpoint.uid, endpoint.state is not State.UP, now):
                news.add(site)
        if update.is_full:
            for uid in self._known_far.keys() - {endpoint.uid for endpoint in update.endpoints}:
                if self._near[self._known_far[uid]].told(uid, True, now):
                    news.add(self._known_far[uid])
        for outbound in self._outbound:
            if outbound.peer.site in news:
                outbound.tell()
        if started:
            asyncio.get_running_loop().call_soon(self._core.destinations.reapply, started)
        return replace(update, endpoints=tuple(own))

    async def start(self) -> None:
        self._secured = secured(self._settings, utc_now())
        if self._secured and self._secured.expires - utc_now() < SOON:
            log.warning("certificate ends soon", at=self._secured.expires.isoformat())
        self._listener = bind_listener(Address(*self._settings.listen), shared=True)
        self.port = int(self._listener.getsockname()[1])
        await self._listen()
        self._tasks = [asyncio.create_task(outbound.run()) for outbound in self._outbound]
        self._tasks.append(asyncio.create_task(self._tick()))
        log.info(
            "gateway listens", site=self._me.site, name=self._me.name, port=self.port, life=self._me.life
        )

    async def _listen(self) -> None:
        assert self._listener
        context = self._secured.server if self._secured else None
        self._server = await accepting(self._guests, self._listener.dup(), context)

    def reload(self) -> None:
        """Keys, prices and what is lent may change; peers and addresses wait for the next start."""
        try:
            operator = load(self._place).operator
            if operator.gateway is None:
                raise OperatorFileError([])
            fresh = secured(operator.gateway, utc_now())
        except (OperatorFileError, CertificateError) as error:
            log.error("operator's file not taken over", why=str(error) or "it has no gateway any more")
            return
        kept = ("listen", "name", "plaintext")
        same = {name: getattr(self._settings, name) for name in kept}
        self._settings = msgspec.structs.replace(operator.gateway, **same)
        self._guests.settings, self._secured = self._settings, fresh
        self._router.prices = self._prices()
        self._lender.lend, self._lender.reserve = self._settings.lend, self._settings.reserve
        if self._server and self._listener:
            self._server.close()
            self._tasks.append(asyncio.create_task(self._listen()))
        log.info("operator's file read again")

    def handed_over(self) -> None:
        self._stop()

    def begin_shutdown(self) -> None:
        self._guests.ping()  # the phase says so already: nothing is lent any more

    def _stop(self) -> None:
        if self._server:
            self._server.close()
        if self._listener:
            self._listener.close()
            self._listener = None

    async def wait_drained(self) -> None:
        limit = self._core.clock.now() + GUESTS_LIMIT
        while self._guests.owed and self._core.clock.now() < limit:
            await asyncio.sleep(TICK.total_seconds())

    async def close(self) -> None:
        self._stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._guests.close()

    # ---- a Forwarding ----

    def forwarder_for(self, request: InboundRequest) -> Way:
        self._router.came(request.job_class)
        return Way(self, next(self._numbers), request, self._core.clock.now())

    def waits(self, way: Way) -> None:
        self._ways[way.waiting.id] = way
        self._wake()

    def gone(self, way: Way) -> None:
        self._ways.pop(way.waiting.id, None)

    # ---- what ticks ----

    async def _tick(self) -> None:
        clock, s = self._core.clock, self._settings
        ping_at = match_at = clock.now()
        while True:
            await asyncio.sleep(TICK.total_seconds())
            try:
                now = clock.now()
                self._guests.tick()
                for outbound in self._outbound:
                    outbound.tick()
                if now >= ping_at:
                    ping_at = now + s.keepalive
                    self._pressure = self._core.decisions.pressure()
                    speaks = self._core.dispatcher_group.holds_duty(LENDING) is not False
                    self._guests.deal(self._lender.update(now, self._pressure, self._guests.slots, speaks))
                    self._guests.ping()
                if self._ways or now >= match_at:
                    match_at = now + s.keepalive
                    self._match()
            except Exception:
                log.exception("tick failed")

    def _wake(self) -> None:
        if not self._woken:
            self._woken = True
            asyncio.get_running_loop().call_soon(self._match)

    def _match(self) -> None:
        """Hands over what waits and may cross."""
        self._woken = False
        now, told = self._core.clock.now(), self._core.decisions.pressure()
        held = [way for way in self._ways.values() if way.ticket and way.ticket.is_waiting]
        by_peer = {id(outbound.peer): outbound for outbound in self._outbound}
        peers = [outbound.peer for outbound in self._outbound]
        for job, peer in self._router.choose([way.waiting for way in held], peers, told, now):
            way = self._ways.pop(job.id)
            assert way.ticket
            # The offer first: it is written only after this function has ended, and taken back if that fails.
            if way.ticket.withdraw():
                outbound = by_peer[id(peer)]
                if out := outbound.take(way.request, way.waiting.since):
                    way.taken = (outbound, out)

    def _want(self) -> float:
        return sum(way.waiting.slots for way in self._ways.values()) if self._router.crossing else 0.0

    # ---- figures ----

    def _figures(self) -> Iterator[str]:
        for outbound in self._outbound:
            at = f"gateway.{outbound.peer.site}.{outbound.peer.name}"
            for name in ("lent", "brought", "returned", "promised", "failed"):
                yield f"{at}.{name}:{outbound.counts[name]}|c"
            yield f"{at}.out:{outbound.out}|g"
            yield f"{at}.up:{int(outbound.state == 'up')}|g"
            yield f"{at}.rtt_us:{outbound.rtt // timedelta(microseconds=1)}|g"
            yield f"{at}.credit:{outbound.peer.credit:.1f}|g"
            yield f"{at}.trust:{outbound.peer.trust:.2f}|g"
        for name in ("borrowed", "served", "promised_back", "declined", "dropped"):
            yield f"gateway.guests.{name}:{self._guests.counts[name]}|c"
        yield f"gateway.guests.current:{self._guests.current}|g"
        yield f"gateway.guests.homes:{self._guests.homes}|g"
        yield f"gateway.lends:{self._lender.lent:.1f}|g"
        yield f"gateway.pressure:{self._router.pressure:.2f}|g"
        yield f"gateway.crossing:{int(self._router.crossing)}|g"


def front_of(operator: OperatorFile, place: Path) -> Callable[[DispatcherContext], Gateway]:
    """What `Dispatcher` makes its front of. Raises `InvalidSettingError` on unusable certificates."""
    assert operator.gateway
    try:
        secured(operator.gateway, utc_now())
    except CertificateError as error:
        raise InvalidSettingError(str(place), str(error)) from None
    return lambda core: Gateway(core, operator, place)
