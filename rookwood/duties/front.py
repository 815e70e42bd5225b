"""The dispatcher extension for duties and members, configured by the operator's file."""

from __future__ import annotations

import asyncio
import json
import secrets
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import structlog

from rookwood.conf import Duties, OperatorFile, OperatorFileError, load
from rookwood.duties.address import DUTY, Announcer
from rookwood.duties.board import Envelope, LeaseManager
from rookwood.duties.change import Roster, RosterChange
from rookwood.duties.lease import Rule, Token
from rookwood.duties.links import Identity, Links
from rookwood.duties.roll import Roller, place_duties
from rookwood.duties.site import TRIAL, Site
from rookwood.duties.trial import EndpointTrial
from rookwood.duties.watchdog import Watchdog
from rookwood.duties.wire import envelope_of, frame_of
from rookwood.gateway.frames import Frame, SiteAsk, SiteTold
from rookwood.gateway.lending import LENDING
from rookwood.gateway.secure import secured, utc_now
from rookwood.members import wire as members_wire
from rookwood.members.swim import Change as MemberChange
from rookwood.members.swim import Letter as ProbeMessage
from rookwood.members.swim import Members, News, Pace, Standing
from rookwood.net.destinations import Address, DestinationUpdate
from rookwood.net.dispatcher import DispatcherContext
from rookwood.net.phase import Phase
from rookwood.net.policy_driver import AttemptOutcome
from rookwood.net.request import Response
from rookwood.settings import InvalidSettingError

log = structlog.stdlib.get_logger(__name__)

TICKS_PER_LEASE = 50  # runs of the periodic step
PINGS_PER_LEASE = 4  # also the number of reports, and of queries of a roll
PROBES_PER_LEASE = 4  # the probe period of `members` is a lease divided by this
ENDPOINT_FAILURES = frozenset(
    {AttemptOutcome.ERROR, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT}
)  # outcomes that are the endpoint's own fault
DRAIN_TIMEOUT = timedelta(seconds=30)  # how long a roll waits for requests in progress


class StorePlace:
    """Gives a store on the members its duty and its links (implements `replicas.peers.Host`)."""

    def __init__(self, leases: LeaseManager, duty: str, send: Callable[[str | None, Frame], None]) -> None:
        self._leases, self._duty, self.me, self.send = leases, duty, leases.me, send

    def token(self, now: datetime) -> Token | None:
        return self._leases.token(self._duty, now)

    def holder(self, now: datetime) -> str:
        return self._leases.holder(self._duty, now)

    def behind(self, term: int, now: datetime) -> None:
        self._leases.raise_term(self._duty, term, now)


class DutiesExtension:
    """Runs this dispatcher's leases, membership, rolls and endpoint trials, and the links they use."""

    def __init__(self, core: DispatcherContext, operator: OperatorFile, operator_path: Path) -> None:
        settings, gateway = operator.duties, operator.gateway
        assert settings and gateway
        self._core, self._gateway, self._clock, self._operator_path = core, gateway, core.clock, operator_path
        self._settings = settings
        me = Identity(operator.site, gateway.name or core.name, secrets.randbits(62))
        now, members = core.clock.now(), addresses(settings)
        if me.name not in members:
            raise InvalidSettingError(
                str(operator_path), f"duties: {me.name!r}, this dispatcher, is not one of the members"
            )
        duties = [*place_duties(settings.places)]
        duties += [DUTY] * bool(settings.relay) + [TRIAL] * settings.trial
        self._store = core.dispatcher_group.member_store
        duties += [self._store.duty] if self._store else []
        duties += [LENDING] * (settings.lending and bool(operator.sites))
        rule = Rule(tuple(sorted(members)), settings.lease, settings.drift, settings.list)
        self.leases = LeaseManager(me.name, me.incarnation, rule, duties, now, seed=me.incarnation)
        others = {name: address for name, address in members.items() if name != me.name}
        news = News(me.name, me.incarnation, 0, Standing.ALIVE, core.zone)
        self.members = Members(
            news, others, Pace(settings.lease / PROBES_PER_LEASE), now, seed=me.incarnation
        )
        roster = Roster(settings.list, frozenset(members))
        roller = Roller(me.name, me.incarnation, settings.patience, settings.lease / 2, settings.places)
        change = RosterChange(me.name, roster)
        self.site = Site(self.leases, change, roller, EndpointTrial(me.name), settings.places)
        listen = Address(*settings.listen)
        callbacks = (self._on_frame, self._on_unreachable, self._on_connected)
        self._links = Links(
            me, others, listen, rule.length, core.clock, *callbacks, allows_store_frames=bool(self._store)
        )
        if self._store:
            core.stats.extra_sources.append(self._store.stats_lines)
            self.site.has_recovered = self._store.is_recovered
            self._store.bind(StorePlace(self.leases, self._store.duty, self._links.send), rule.members)
        self._watchdog = Watchdog()
        self._announcer: Announcer | None = None
        if settings.relay and settings.address:
            address = f"{settings.address[0]}:{settings.address[1]}"
            relay = Address(*settings.relay)
            self._announcer = Announcer(self.leases, relay, address, core.clock, self._watchdog)
        self._holders = dict.fromkeys(duties, "")
        self._holder_since = dict.fromkeys(duties, now)
        self._holder_changes = Counter[str]()
        self._endpoint_starts: dict[str, datetime | None] = {}  # when each listed endpoint started
        self._last_report: SiteTold | None = None  # the last one sent to all
        self._resend_queue = list[str]()  # members to send the report to again, in case it was lost
        self._logged_waiting = list[str]()  # the members a roll waits for, as last logged
        self._tasks: list[asyncio.Task[None]] = []
        self._drain_task: asyncio.Task[None] | None = None  # drains this dispatcher for a roll
        core.stats.extra_sources.append(self._stats)
        core.dispatcher_group.count_alive = lambda: len(self.members.alive)
        core.dispatcher_group.holds_duty = self._holds_duty
        core.decisions.on_attempt_ended = self._record_outcome
        core.destinations.exclusion_checks.append(self.site.trial.held_back_since)
        core.management_calls[b"GET", b"/ops/duties"] = self._duties_response
        core.management_calls[b"GET", b"/ops/members"] = self._members_response
        if self._store:
            core.management_calls[b"GET", b"/ops/replicas"] = self._replicas_response
        core.management_calls[b"POST", b"/ops/roll/start"] = self._start_roll
        core.management_calls[b"POST", b"/ops/roll/stop"] = self._stop_roll
        for duty in duties:
            core.management_calls[b"POST", f"/ops/duties/{duty}/release".encode()] = (
                lambda d=duty: self._release(d)  # type: ignore[misc]
            )

    # ---- an Extension ----

    def filter_update(self, update: DestinationUpdate, kept: bool) -> DestinationUpdate:
        """Passes every update on unchanged, and stops holding back endpoints that have restarted."""
        changed = set[str]()
        if update.is_full:
            self._endpoint_starts = {
                uid: started_at
                for uid, started_at in self._endpoint_starts.items()
                if uid in {e.uid for e in update.endpoints}
            }
        for endpoint in update.endpoints:
            if (
                endpoint.uid in self._endpoint_starts
                and self._endpoint_starts[endpoint.uid] != endpoint.started_at
            ):
                changed |= {endpoint.uid} if self.site.trial.record_restart(endpoint.uid) else set()
            self._endpoint_starts[endpoint.uid] = endpoint.started_at
        if changed:
            asyncio.get_running_loop().call_soon(self._core.destinations.reapply, changed)
        return update

    async def start(self) -> None:
        await self._links.start(secured(self._gateway, utc_now()))
        self._tasks = [asyncio.create_task(self._tick())]
        if self._announcer:
            self._tasks.append(asyncio.create_task(self._announcer.run()))

    def reload(self) -> None:
        """Reloads the list of members, which may change by one. Other settings apply at the next start."""
        try:
            settings = load(self._operator_path).operator.duties
        except OperatorFileError as error:
            log.error("list of members not adopted", why=str(error))
            return
        if settings is None:
            log.error("list of members not adopted", why="the operator's file no longer has duties")
            return
        target = Roster(settings.list, frozenset(addresses(settings)))
        if why := self.site.change.rejection_reason(target):
            log.error("list of members not adopted", why=why)
            return
        self._settings, self.site.change.target = settings, target
        if target != self.site.change.roster:
            awaits = self.site.change.waiting_for(self.leases.floor(self._clock.now()))
            log.info(
                "next list of members requested", list=target.number, awaits=" ".join(awaits) or "nobody"
            )

    def handed_over(self) -> None:
        """Shuts down: the next process uses this member's name, and has another incarnation for a roll."""
        self.begin_shutdown(replaced=True)

    def begin_shutdown(self, replaced: bool = False) -> None:
        if self.leases.is_shutting_down:
            return
        self._send(self.leases.begin_shutdown(self._clock.now()))
        if replaced:
            self.members.leaving = True
            self._links.disconnect()
        else:
            self._send_probes(self.members.leave())
            self._send_report(0, None)

    async def wait_drained(self) -> None:
        pass

    async def close(self) -> None:
        tasks = [*self._tasks, *([self._drain_task] if self._drain_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._watchdog.close()
        await self._links.close()

    # ---- the periodic step ----

    async def _tick(self) -> None:
        step, ticks = self.leases.rule.length / TICKS_PER_LEASE, 0
        while True:
            try:
                self._step(self._clock.now(), ticks % (TICKS_PER_LEASE // PINGS_PER_LEASE) == 0)
            except Exception:
                log.exception("tick failed")
            ticks += 1
            await asyncio.sleep(step.total_seconds())

    def _step(self, now: datetime, is_report_due: bool) -> None:
        serving = self._core.service.phase is Phase.SERVING
        for duty in self._holders:
            if not duty.startswith("roll-"):  # a draining dispatcher seeks no duty but its place in a roll
                self._send(self.leases.set_wanted(duty, serving, now))
        self._send(self.leases.tick(now))
        if DUTY in self._holders:
            self._arm_watchdog(now)
        if self._store:
            self._store.tick(now)
        self._send_probes(self.members.tick(now))
        self._log_member_changes(self.members.changes)
        self.site.record_losses(self.members.gone, now)
        if roster := self.site.update_participation(now):
            self._apply_roster(roster, now)
        envelopes, query, may_begin = self.site.advance_roll(now, is_report_due)
        self._send(envelopes)
        if is_report_due:
            self._links.ping()
        if not self.leases.is_shutting_down:
            self._publish_report(now, is_report_due)
        if query:
            self._links.send(None, SiteAsk(query))
            self._log_waiting(now)
        if may_begin:
            self._begin_drain()
        if changed := self.site.update_held_back(self.members.alive, len(self._endpoint_starts), now):
            self._core.destinations.reapply(changed)
        for duty, previous in self._holders.items():
            holder = self.leases.holder(duty, now)
            if holder != previous:
                self._holders[duty], self._holder_since[duty] = holder, now
                self._holder_changes[duty] += 1
                log.info(
                    "duty holder changed", duty=duty, holder=holder or "nobody", term=self.leases.term(duty)
                )

    def _arm_watchdog(self, now: datetime) -> None:
        held = self.leases.token(DUTY, now) is not None
        self._watchdog.arm(self.leases.remaining(DUTY, now).total_seconds() if held else 0.0)

    def _on_frame(self, sender: str, frame: Frame) -> None:
        now = self._clock.now()
        if envelope := envelope_of(frame):
            self._send(self.leases.handle_message(sender, envelope, now))
        elif message := members_wire.message_of_frame(frame):
            self._send_probes(self.members.receive(sender, message, now))
        elif isinstance(frame, SiteAsk):
            if not self.leases.is_shutting_down:
                self._send_report(frame.number, sender)
        elif isinstance(frame, SiteTold):
            self.site.handle_report(sender, frame, now)
        elif self._store:
            self._store.receive(sender, frame)

    def _on_unreachable(self, name: str) -> None:
        self.members.connection_refused(name, self._clock.now())

    def _send(self, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            self._links.send(envelope.to, frame_of(envelope))

    def _send_probes(self, envelopes: Iterable[ProbeMessage]) -> None:
        for name, message in envelopes:
            self._links.send(name, members_wire.frame_of(message))

    def _report(self, number: int) -> SiteTold:
        ready = self._core.service.phase is Phase.SERVING and not self.leases.is_shutting_down
        return self.site.report(number, ready, self._clock.now())

    def _send_report(self, number: int, to: str | None) -> None:
        self._links.send(to, self._report(number))

    def _publish_report(self, now: datetime, is_report_due: bool) -> None:
        """Sends a changed report to all members, and an unchanged one to one member at a time.

        So the cost of repeating it does not grow with the number of members.
        """
        report = self._report(0)
        if report != self._last_report:
            self._last_report = report
            self._links.send(None, report)
        elif is_report_due:
            if not self._resend_queue:
                self._resend_queue = sorted(self._links.members)
            if self._resend_queue:
                self._links.send(self._resend_queue.pop(), report)

    def _on_connected(self, name: str) -> None:
        """Sends the report to a member just connected: it may be a new process that has not received it."""
        if not self.leases.is_shutting_down:
            self._send_report(0, name)

    def _log_member_changes(self, changes: list[MemberChange]) -> None:
        for change in changes:
            log.info(
                "member standing changed",
                member=change.name,
                standing=change.standing.name.lower(),
                why=change.reason,
            )
        changes.clear()

    def _apply_roster(self, roster: Roster, now: datetime) -> None:
        members = addresses(self._settings)
        others = {n: a for n, a in members.items() if n in roster.members and n != self.leases.me}
        self._links.set_members(others)
        self.members.set_members(others, now)
        log.info("list of members adopted", list=roster.number, members=" ".join(sorted(roster.members)))
        if self.leases.me not in roster.members:
            log.warning("this dispatcher is no longer a member: it releases its duties and takes none")
            self.begin_shutdown()

    # ---- rolls ----

    def _log_waiting(self, now: datetime) -> None:
        waiting = self.site.roller.waiting_for(self.leases.rule.members, now)
        if waiting != self._logged_waiting:
            self._logged_waiting = waiting
            log.info(
                "roll waits for members",
                number=self.site.roller.roll.number,
                for_=" ".join(waiting) or "nobody",
            )

    def _begin_drain(self) -> None:
        self.site.roller.has_begun = True
        log.info("roll: this dispatcher drains and shuts down", number=self.site.roller.roll.number)
        self._core.service.drain()
        self._drain_task = asyncio.create_task(self._finish_drain())

    async def _finish_drain(self) -> None:
        """Shuts down once drained. If the operator ends the drain, this member waits for its place again."""
        limit = self._clock.now() + DRAIN_TIMEOUT
        service = self._core.service
        while self._clock.now() < limit and not (
            service.is_rejecting and self._core.decisions.open_requests == 0
        ):
            if service.phase is not Phase.DRAINING:
                if service.phase is Phase.SERVING:
                    self.site.roller.has_begun = False
                return
            await asyncio.sleep(0.02)
        self._core.begin_shutdown()

    def _start_roll(self) -> Response:
        members = set(self.leases.rule.members)
        if why := self.site.roller.begin(members, self.members.gone):
            return Response(409, f"{why}\n".encode())
        roll = self.site.roller.roll
        names = " ".join(name for name, _ in roll.incarnations)
        log.info("roll started", number=roll.number, members=names)
        self._send_report(0, None)  # so that the roll continues if this dispatcher stops
        return Response(200, f"roll {roll.number}: {names}\n".encode())

    def _stop_roll(self) -> Response:
        self.site.roller.stop()
        log.info("roll stopped", number=self.site.roller.roll.number)
        self._send_report(0, None)
        return Response(200, b"stopped\n")

    # ---- called by the rest of the dispatcher ----

    def _holds_duty(self, duty: str) -> bool | None:
        if duty not in self._holders:
            return None
        holder = self.leases.holder(duty, self._clock.now())
        return holder == self.leases.me if holder else None

    def _record_outcome(self, uid: str, outcome: AttemptOutcome) -> None:
        if outcome in ENDPOINT_FAILURES:
            self.site.trial.record_outcome(uid, False, self._clock.now())
        elif outcome is AttemptOutcome.SERVED:
            self.site.trial.record_outcome(uid, True, self._clock.now())

    # ---- management calls ----

    def _release(self, duty: str) -> Response:
        now = self._clock.now()
        if self.leases.token(duty, now) is None:
            holder = self.leases.holder(duty, now)
            return Response(409, f"{duty} is held by {holder or 'nobody'}\n".encode())
        self._send(self.leases.step_down(duty, now))
        log.info("duty released by the operator", duty=duty)
        return Response(200, f"{duty} is released\n".encode())

    def _duties_response(self) -> Response:
        now, site = self._clock.now(), self.site
        roll = site.roller
        body: dict[str, Any] = {
            "me": self.leases.me,
            "list": site.change.roster.number,
            "wished": site.change.target.number,
            "awaits": list(site.change.waiting_for(self.leases.floor(now))),
            "votes": not self.leases.is_silent(now),
            "duties": [
                {
                    "duty": duty,
                    "holder": self.leases.holder(duty, now),
                    "here": self.leases.token(duty, now) is not None,
                    "term": self.leases.term(duty),
                    "since_ms": (now - self._holder_since[duty]) // timedelta(milliseconds=1),
                    "left_ms": self.leases.remaining(duty, now) // timedelta(milliseconds=1),
                }
                for duty in self._holders
            ],
            "roll": {"number": roll.roll.number, "pending": roll.pending, "waits_for": self._logged_waiting},
            "held_back": sorted(u for u in self._endpoint_starts if site.trial.held_back_since(u)),
        }
        return Response(200, json.dumps(body).encode() + b"\n")

    def _members_response(self) -> Response:
        now = self._clock.now()
        rows = [
            {
                "name": news.name,
                "standing": self.members.status_text(news.name),
                "zone": news.zone,
                "life": news.incarnation,
                "turn": news.revision,
                "since_ms": (now - seen.since) // timedelta(milliseconds=1) if seen else None,
            }
            for news, seen in self.members.rows()
        ]
        body = {"me": self.leases.me, "health": self.members.health, "members": rows}
        return Response(200, json.dumps(body).encode() + b"\n")

    def _replicas_response(self) -> Response:
        return Response(200, json.dumps(self._store.status()).encode() + b"\n")

    def _stats(self) -> Iterator[str]:
        now = self._clock.now()
        yield f"duties.members_heard:{self._links.connected_count}|g"
        yield f"duties.members_alive:{len(self.members.alive)}|g"
        yield f"duties.letters:{self._links.sent}|c"
        yield f"duties.list:{self.site.change.roster.number}|g"
        yield f"duties.roll_pending:{len(self.site.roller.pending)}|g"
        yield (
            "duties.endpoints_held_back:"
            f"{sum(1 for u in self._endpoint_starts if self.site.trial.held_back_since(u))}|g"
        )
        yield f"duties.watchdog:{self._watchdog.expirations}|c"
        for duty in self._holders:
            yield f"duties.{duty}.held:{int(self.leases.token(duty, now) is not None)}|g"
            yield f"duties.{duty}.term:{self.leases.term(duty)}|g"
            yield f"duties.{duty}.changes:{self._holder_changes[duty]}|c"
        if self._announcer:
            for result in ("accepted", "refused", "broken"):
                yield f"duties.{DUTY}.{result}:{self._announcer.counts[result]}|c"


def addresses(settings: Duties) -> dict[str, Address]:
    """The address of each member in the operator's file."""
    return {name: Address(*address) for name, address in settings.member}


def extension_of(
    operator: OperatorFile, operator_path: Path
) -> Callable[[DispatcherContext], DutiesExtension]:
    """A factory of the extension; `operator_path` is the path of the operator's file."""
    return lambda core: DutiesExtension(core, operator, operator_path)
