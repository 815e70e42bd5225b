"""The gateway, as an `Extension` and a `Forwarding` of the dispatcher: owns both sides and the timers."""

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
from rookwood.gateway.advice import OutgoingAdvice, ReceivedAdvice
from rookwood.gateway.guests import GuestServer, start_guest_server
from rookwood.gateway.home import ForwardedJob, LocalGateway, Outbound
from rookwood.gateway.lending import LENDING, Lender
from rookwood.gateway.routing import Prices, Router, WaitingJob
from rookwood.gateway.secure import EXPIRY_WARNING, CertificateError, Secured, secured, utc_now
from rookwood.net.destinations import Address, DestinationUpdate, State
from rookwood.net.dispatcher import DispatcherContext
from rookwood.net.listener import bind_listener
from rookwood.net.phase import Phase
from rookwood.net.policy_driver import Ticket
from rookwood.net.request import ForwardOutcome, ForwardResult, InboundRequest
from rookwood.settings import InvalidSettingError

log = structlog.stdlib.get_logger(__name__)

TICK = timedelta(milliseconds=10)  # interval of lease checks, resends and matching of waiting jobs
# How long a shutdown waits for guests. Their homes keep the guarantees of the handoff if it ends earlier.
GUEST_DRAIN_TIMEOUT = timedelta(seconds=3)


class GatewayForwarder:
    """The `RequestForwarder` of one request."""

    def __init__(self, gateway: Gateway, number: int, request: InboundRequest, since: datetime) -> None:
        self._gateway, self.request = gateway, request
        slots, job_class = request.slots, request.job_class
        self.job = WaitingJob(number, job_class, slots, since, request.deadline)
        self.ticket: Ticket | None = None
        self.forwarded: tuple[Outbound, ForwardedJob] | None = None

    def offer(self, ticket: Ticket) -> None:
        self.ticket = ticket
        self._gateway.add_waiting(self)

    async def result(self) -> ForwardResult:
        if self.forwarded is None:  # the connection was lost between the choice and the offer
            return ForwardResult(ForwardOutcome.RUN_LOCALLY)
        return await self.forwarded[1].result

    def close(self, late: bool) -> ForwardOutcome | None:
        self._gateway.remove_waiting(self)
        if self.forwarded is None:
            return None
        outbound, job = self.forwarded
        return outbound.give_up(job, late)


class Gateway:
    """Forwards this dispatcher's waiting requests to other sites, and serves theirs."""

    def __init__(self, context: DispatcherContext, operator: OperatorFile, config_path: Path) -> None:
        settings = operator.gateway
        assert settings
        self._context, self._operator, self._config_path, self._settings = (
            context,
            operator,
            config_path,
            settings,
        )
        self._local = LocalGateway(operator.site, settings.name or context.name, secrets.randbits(62))
        self._secured: Secured | None = None
        self._site_of = {zone: s.name for s in operator.sites for zone in (s.zones or (s.name,))}
        self._outgoing_advice = {site.name: OutgoingAdvice() for site in operator.sites}
        self._received_advice, self._remote_sites = ReceivedAdvice(), dict[str, str]()
        self._router = Router(context.classes, self._prices(), settings.max_jobs)
        self._lender = Lender(settings.lend, settings.reserve, context.dispatcher_group)
        self._waiting_forwarders: dict[int, GatewayForwarder] = {}
        self._numbers = itertools.count(1)
        unsafe = context.decisions.unsafe_classes
        self._outbound = [
            Outbound(
                self._local,
                site.name,
                peer,
                settings,
                context.clock,
                self._outgoing_advice[site.name],
                is_safe=lambda job_class: job_class not in unsafe,
                secured=lambda: self._secured,
                wanted_slots=self._wanted_slots,
                on_change=self._schedule_match,
            )
            for site in operator.sites
            for peer in site.peers
        ]
        allowed = {(site.name, peer.name) for site in operator.sites for peer in site.peers}
        if settings.allow:
            allowed = {pair for pair in allowed if pair[1] in settings.allow}
        self._guests = GuestServer(
            *(
                self._local,
                settings,
                allowed,
                context.clock,
                context.request_handler,
                context.classes,
                unsafe,
                self._received_advice,
            ),
            on_advice_change=context.destinations.reapply,
            is_serving=lambda: context.service.phase is Phase.SERVING,
        )
        context.destinations.exclusion_checks.append(self._received_advice.stopped_since)
        context.request_handler.forwarding = self
        context.stats.extra_sources.append(self._stats_lines)
        self._site_load: api.SiteLoad | None = None
        self._match_scheduled = False
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.port = 0

    def _prices(self) -> Prices:
        return Prices(self._settings.price, self._settings.enter, self._settings.leave)

    # ---- an Extension ----

    def filter_update(self, update: DestinationUpdate, kept: bool) -> DestinationUpdate:
        now, own_endpoints = self._context.clock.now(), []
        sites_with_news, started = set[str](), set[str]()
        for endpoint in update.endpoints:
            site = self._site_of.get(endpoint.zone)
            if site is None:
                own_endpoints.append(endpoint)
                if self._received_advice.record_start(endpoint.uid, endpoint.started_at):
                    started.add(endpoint.uid)
                continue
            self._remote_sites[endpoint.uid] = site
            if self._outgoing_advice[site].record_state(endpoint.uid, endpoint.state is not State.UP, now):
                sites_with_news.add(site)
        if update.is_full:
            for uid in self._remote_sites.keys() - {endpoint.uid for endpoint in update.endpoints}:
                if self._outgoing_advice[self._remote_sites[uid]].record_state(uid, True, now):
                    sites_with_news.add(self._remote_sites[uid])
        for outbound in self._outbound:
            if outbound.peer.site in sites_with_news:
                outbound.send_advice()
        if started:
            asyncio.get_running_loop().call_soon(self._context.destinations.reapply, started)
        return replace(update, endpoints=tuple(own_endpoints))

    async def start(self) -> None:
        self._secured = secured(self._settings, utc_now())
        if self._secured and self._secured.expires - utc_now() < EXPIRY_WARNING:
            log.warning("certificate expires soon", at=self._secured.expires.isoformat())
        self._listener = bind_listener(Address(*self._settings.listen), shared=True)
        self.port = int(self._listener.getsockname()[1])
        await self._listen()
        self._tasks = [asyncio.create_task(outbound.run()) for outbound in self._outbound]
        self._tasks.append(asyncio.create_task(self._tick()))
        log.info(
            "gateway listening",
            site=self._local.site,
            name=self._local.name,
            port=self.port,
            life=self._local.incarnation,
        )

    async def _listen(self) -> None:
        assert self._listener
        context = self._secured.server if self._secured else None
        self._server = await start_guest_server(self._guests, self._listener.dup(), context)

    def reload(self) -> None:
        """Reload keys, prices and lending limits; changed peers and addresses need a restart."""
        try:
            operator = load(self._config_path).operator
            if operator.gateway is None:
                raise OperatorFileError([])
            tls = secured(operator.gateway, utc_now())
        except (OperatorFileError, CertificateError) as error:
            log.error("operator's file not reloaded", why=str(error) or "it no longer has a gateway section")
            return
        unchanged_names = ("listen", "name", "plaintext")
        unchanged = {name: getattr(self._settings, name) for name in unchanged_names}
        self._settings = msgspec.structs.replace(operator.gateway, **unchanged)
        self._guests.settings, self._secured = self._settings, tls
        self._router.prices = self._prices()
        self._lender.max_share, self._lender.reserved_share = self._settings.lend, self._settings.reserve
        if self._server and self._listener:
            self._server.close()
            self._tasks.append(asyncio.create_task(self._listen()))
        log.info("operator's file reloaded")

    def handed_over(self) -> None:
        self._stop()

    def begin_shutdown(self) -> None:
        self._guests.ping()  # the phase is no longer SERVING, so this ping reports a credit of 0

    def _stop(self) -> None:
        if self._server:
            self._server.close()
        if self._listener:
            self._listener.close()
            self._listener = None

    async def wait_drained(self) -> None:
        limit = self._context.clock.now() + GUEST_DRAIN_TIMEOUT
        while self._guests.has_unsettled_results and self._context.clock.now() < limit:
            await asyncio.sleep(TICK.total_seconds())

    async def close(self) -> None:
        self._stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._guests.close()

    # ---- a Forwarding ----

    def forwarder_for(self, request: InboundRequest) -> GatewayForwarder:
        self._router.record_request(request.job_class)
        return GatewayForwarder(self, next(self._numbers), request, self._context.clock.now())

    def add_waiting(self, forwarder: GatewayForwarder) -> None:
        self._waiting_forwarders[forwarder.job.id] = forwarder
        self._schedule_match()

    def remove_waiting(self, forwarder: GatewayForwarder) -> None:
        self._waiting_forwarders.pop(forwarder.job.id, None)

    # ---- periodic work ----

    async def _tick(self) -> None:
        clock, s = self._context.clock, self._settings
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
                    self._site_load = self._context.decisions.site_load()
                    may_lend = self._context.dispatcher_group.holds_duty(LENDING) is not False
                    self._guests.allocate(
                        self._lender.update(now, self._site_load, self._guests.slots, may_lend)
                    )
                    self._guests.ping()
                if self._waiting_forwarders or now >= match_at:
                    match_at = now + s.keepalive
                    self._match()
            except Exception:
                log.exception("tick failed")

    def _schedule_match(self) -> None:
        if not self._match_scheduled:
            self._match_scheduled = True
            asyncio.get_running_loop().call_soon(self._match)

    def _match(self) -> None:
        """Forward the waiting requests that the router chooses."""
        self._match_scheduled = False
        now, load = self._context.clock.now(), self._context.decisions.site_load()
        waiting = [
            forwarder
            for forwarder in self._waiting_forwarders.values()
            if forwarder.ticket and forwarder.ticket.is_waiting
        ]
        by_peer = {id(outbound.peer): outbound for outbound in self._outbound}
        peers = [outbound.peer for outbound in self._outbound]
        for job, peer in self._router.choose([forwarder.job for forwarder in waiting], peers, load, now):
            forwarder = self._waiting_forwarders.pop(job.id)
            assert forwarder.ticket
            # Withdraw the request from the local policy first, so that it cannot run here and there.
            if forwarder.ticket.withdraw():
                outbound = by_peer[id(peer)]
                if forwarded := outbound.offer(forwarder.request, forwarder.job.since):
                    forwarder.forwarded = (outbound, forwarded)

    def _wanted_slots(self) -> float:
        return (
            sum(forwarder.job.slots for forwarder in self._waiting_forwarders.values())
            if self._router.is_forwarding
            else 0.0
        )

    # ---- stats ----

    def _stats_lines(self) -> Iterator[str]:
        for outbound in self._outbound:
            prefix = f"gateway.{outbound.peer.site}.{outbound.peer.name}"
            for name in ("lent", "brought", "returned", "promised", "failed"):
                yield f"{prefix}.{name}:{outbound.counts[name]}|c"
            yield f"{prefix}.out:{outbound.unresolved_jobs}|g"
            yield f"{prefix}.up:{int(outbound.state == 'up')}|g"
            yield f"{prefix}.rtt_us:{outbound.rtt // timedelta(microseconds=1)}|g"
            yield f"{prefix}.credit:{outbound.peer.credit:.1f}|g"
            yield f"{prefix}.trust:{outbound.peer.trust:.2f}|g"
        for name in ("borrowed", "served", "promised_back", "declined", "dropped"):
            yield f"gateway.guests.{name}:{self._guests.counts[name]}|c"
        yield f"gateway.guests.current:{self._guests.current}|g"
        yield f"gateway.guests.homes:{self._guests.homes}|g"
        yield f"gateway.lends:{self._lender.lent_slots:.1f}|g"
        yield f"gateway.pressure:{self._router.pressure:.2f}|g"
        yield f"gateway.crossing:{int(self._router.is_forwarding)}|g"


def front_of(operator: OperatorFile, config_path: Path) -> Callable[[DispatcherContext], Gateway]:
    """Return the factory of the gateway extension. Raises `InvalidSettingError` on unusable certificates."""
    assert operator.gateway
    try:
        secured(operator.gateway, utc_now())
    except CertificateError as error:
        raise InvalidSettingError(str(config_path), str(error)) from None
    return lambda context: Gateway(context, operator, config_path)
