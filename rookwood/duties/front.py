"""Plugs duties and members into a dispatcher, as the operator's file says."""

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
from rookwood.duties.board import Board, Letter
from rookwood.duties.change import Change, Roster
from rookwood.duties.lease import Rule, Token
from rookwood.duties.links import Links, Self
from rookwood.duties.roll import Roller, places
from rookwood.duties.site import TRIAL, Site
from rookwood.duties.trial import Trial
from rookwood.duties.watchdog import Watchdog
from rookwood.duties.wire import frame_of, letter_of
from rookwood.gateway.frames import Frame, SiteAsk, SiteTold
from rookwood.gateway.lending import LENDING
from rookwood.gateway.secure import secured, utc_now
from rookwood.members import wire as members_wire
from rookwood.members.swim import Change as Told
from rookwood.members.swim import Letter as Probing
from rookwood.members.swim import Members, News, Pace, Standing
from rookwood.net.destinations import Address, DestinationUpdate
from rookwood.net.dispatcher import DispatcherContext
from rookwood.net.phase import Phase
from rookwood.net.policy_driver import AttemptOutcome
from rookwood.net.request import Response
from rookwood.settings import InvalidSettingError

log = structlog.stdlib.get_logger(__name__)

TICKS = 50  # in a lease
PINGS = 4  # in a lease; words of oneself as well
PROBES = 4  # in a lease: the period of `members`
BAD = frozenset(
    {AttemptOutcome.ERROR, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT}
)  # the endpoint's own doing
DRAINED_LIMIT = timedelta(seconds=30)  # so long a roll waits for jobs in hand


class Seat:
    """Where a store that lives on the members sits (`replicas.peers.Host`)."""

    def __init__(self, board: Board, duty: str, send: Callable[[str | None, Frame], None]) -> None:
        self._board, self._duty, self.me, self.send = board, duty, board.me, send

    def token(self, now: datetime) -> Token | None:
        return self._board.token(self._duty, now)

    def holder(self, now: datetime) -> str:
        return self._board.holder(self._duty, now)

    def behind(self, term: int, now: datetime) -> None:
        self._board.behind(self._duty, term, now)


class DutiesFront:
    def __init__(self, core: DispatcherContext, operator: OperatorFile, place: Path) -> None:
        settings, gateway = operator.duties, operator.gateway
        assert settings and gateway
        self._core, self._gateway, self._clock, self._place = core, gateway, core.clock, place
        self._settings = settings
        me = Self(operator.site, gateway.name or core.name, secrets.randbits(62))
        now, members = core.clock.now(), addresses(settings)
        if me.name not in members:
            raise InvalidSettingError(
                str(place), f"duties: {me.name!r}, this dispatcher, is none of the members"
            )
        duties = [*places(settings.places)]
        duties += [DUTY] * bool(settings.relay) + [TRIAL] * settings.trial
        self._rider = core.dispatcher_group.member_store
        duties += [self._rider.duty] if self._rider else []
        duties += [LENDING] * (settings.lending and bool(operator.sites))
        rule = Rule(tuple(sorted(members)), settings.lease, settings.drift, settings.list)
        self.board = Board(me.name, me.life, rule, duties, now, seed=me.life)
        others = {name: address for name, address in members.items() if name != me.name}
        news = News(me.name, me.life, 0, Standing.ALIVE, core.zone)
        self.members = Members(news, others, Pace(settings.lease / PROBES), now, seed=me.life)
        roster = Roster(settings.list, frozenset(members))
        roller = Roller(me.name, me.life, settings.patience, settings.lease / 2, settings.places)
        change = Change(me.name, roster)
        self.site = Site(self.board, change, roller, Trial(me.name), settings.places)
        listen = Address(*settings.listen)
        hooks = (self._heard, self._gone, self._up)
        self._links = Links(me, others, listen, rule.length, core.clock, *hooks, large=bool(self._rider))
        if self._rider:
            core.stats.extra_sources.append(self._rider.stats_lines)
            self.site.remembers = self._rider.is_recovered
            self._rider.bind(Seat(self.board, self._rider.duty, self._links.send), rule.members)
        self._watchdog = Watchdog()
        self._announcer: Announcer | None = None
        if settings.relay and settings.address:
            address = f"{settings.address[0]}:{settings.address[1]}"
            relay = Address(*settings.relay)
            self._announcer = Announcer(self.board, relay, address, core.clock, self._watchdog)
        self._holders = dict.fromkeys(duties, "")
        self._since = dict.fromkeys(duties, now)
        self._changes = Counter[str]()
        self._booted: dict[str, datetime | None] = {}  # endpoints as listed, with their starts
        self._said: SiteTold | None = None  # to all, last
        self._turn = list[str]()  # who is told again next, in case a word was lost
        self._waits = list[str]()  # who a roll waits for, as last logged
        self._tasks: list[asyncio.Task[None]] = []
        self._out: asyncio.Task[None] | None = None  # this one's part of a roll
        core.stats.extra_sources.append(self._figures)
        core.dispatcher_group.count_alive = lambda: len(self.members.alive)
        core.dispatcher_group.holds_duty = self._holds
        core.decisions.on_attempt_ended = self._observed
        core.destinations.exclusion_checks.append(self.site.trial.since)
        core.management_calls[b"GET", b"/ops/duties"] = self._told_duties
        core.management_calls[b"GET", b"/ops/members"] = self._told_members
        if self._rider:
            core.management_calls[b"GET", b"/ops/replicas"] = self._told_replicas
        core.management_calls[b"POST", b"/ops/roll/start"] = self._roll
        core.management_calls[b"POST", b"/ops/roll/stop"] = self._roll_stop
        for duty in duties:
            core.management_calls[b"POST", f"/ops/duties/{duty}/release".encode()] = (
                lambda d=duty: self._release(d)  # type: ignore[misc]
            )

    # ---- an Extension ----

    def filter_update(self, update: DestinationUpdate, kept: bool) -> DestinationUpdate:
        changed = set[str]()
        if update.is_full:
            self._booted = {u: b for u, b in self._booted.items() if u in {e.uid for e in update.endpoints}}
        for endpoint in update.endpoints:
            if endpoint.uid in self._booted and self._booted[endpoint.uid] != endpoint.started_at:
                changed |= {endpoint.uid} if self.site.trial.started(endpoint.uid) else set()
            self._booted[endpoint.uid] = endpoint.started_at
        if changed:
            asyncio.get_running_loop().call_soon(self._core.destinations.reapply, changed)
        return update

    async def start(self) -> None:
        await self._links.start(secured(self._gateway, utc_now()))
        self._tasks = [asyncio.create_task(self._tick())]
        if self._announcer:
            self._tasks.append(asyncio.create_task(self._announcer.run()))

    def reload(self) -> None:
        """The list of members may change, by one at a time; the rest waits for the next start."""
        try:
            settings = load(self._place).operator.duties
        except OperatorFileError as error:
            log.error("the list of members is not taken over", why=str(error))
            return
        if settings is None:
            log.error("the list of members is not taken over", why="the file has no duties any more")
            return
        wish = Roster(settings.list, frozenset(addresses(settings)))
        if why := self.site.change.unfit(wish):
            log.error("the list of members is not taken over", why=why)
            return
        self._settings, self.site.change.wish = settings, wish
        if wish != self.site.change.roster:
            awaits = self.site.change.awaits(self.board.floor(self._clock.now()))
            log.info("list of members wished for", list=wish.number, awaits=" ".join(awaits) or "nobody")

    def handed_over(self) -> None:
        """The next process speaks under this name. What is out of a roll is done with it."""
        self.begin_shutdown(replaced=True)

    def begin_shutdown(self, replaced: bool = False) -> None:
        if self.board.leaving:
            return
        self._send(self.board.leave(self._clock.now()))
        if replaced:
            self.members.leaving = True
            self._links.hush()
        else:
            self._probe(self.members.leave())
            self._tell(0, None)

    async def wait_drained(self) -> None:
        pass

    async def close(self) -> None:
        tasks = [*self._tasks, *([self._out] if self._out else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._watchdog.close()
        await self._links.close()

    # ---- what ticks ----

    async def _tick(self) -> None:
        step, ticks = self.board.rule.length / TICKS, 0
        while True:
            try:
                self._step(self._clock.now(), ticks % (TICKS // PINGS) == 0)
            except Exception:
                log.exception("tick failed")
            ticks += 1
            await asyncio.sleep(step.total_seconds())

    def _step(self, now: datetime, often: bool) -> None:
        serving = self._core.service.phase is Phase.SERVING
        for duty in self._holders:
            if not duty.startswith("roll-"):  # who drains speaks for nobody
                self._send(self.board.want(duty, serving, now))
        self._send(self.board.tick(now))
        if DUTY in self._holders:
            self._watch(now)
        if self._rider:
            self._rider.tick(now)
        self._probe(self.members.tick(now))
        self._tell_changes(self.members.changes)
        self.site.gone(self.members.gone, now)
        if roster := self.site.takes_part(now):
            self._listed(roster, now)
        letters, question, ends = self.site.rolls(now, often)
        self._send(letters)
        if often:
            self._links.ping()
        if not self.board.leaving:
            self._tell_news(now, often)
        if question:
            self._links.send(None, SiteAsk(question))
            self._tell_waits(now)
        if ends:
            self._end()
        if changed := self.site.tries(self.members.alive, len(self._booted), now):
            self._core.destinations.reapply(changed)
        for duty, before in self._holders.items():
            holder = self.board.holder(duty, now)
            if holder != before:
                self._holders[duty], self._since[duty] = holder, now
                self._changes[duty] += 1
                log.info("duty", duty=duty, holder=holder or "nobody", term=self.board.term(duty))

    def _watch(self, now: datetime) -> None:
        held = self.board.token(DUTY, now) is not None
        self._watchdog.held_for(self.board.left(DUTY, now).total_seconds() if held else 0.0)

    def _heard(self, sender: str, frame: Frame) -> None:
        now = self._clock.now()
        if letter := letter_of(frame):
            self._send(self.board.heard(sender, letter, now))
        elif what := members_wire.message_of_frame(frame):
            self._probe(self.members.receive(sender, what, now))
        elif isinstance(frame, SiteAsk):
            if not self.board.leaving:
                self._tell(frame.number, sender)
        elif isinstance(frame, SiteTold):
            self.site.heard(sender, frame, now)
        elif self._rider:
            self._rider.receive(sender, frame)

    def _gone(self, name: str) -> None:
        self.members.connection_refused(name, self._clock.now())

    def _send(self, letters: Iterable[Letter]) -> None:
        for letter in letters:
            self._links.send(letter.to, frame_of(letter))

    def _probe(self, letters: Iterable[Probing]) -> None:
        for name, what in letters:
            self._links.send(name, members_wire.frame_of(what))

    def _word(self, number: int) -> SiteTold:
        ready = self._core.service.phase is Phase.SERVING and not self.board.leaving
        return self.site.told(number, ready, self._clock.now())

    def _tell(self, number: int, to: str | None) -> None:
        self._links.send(to, self._word(number))

    def _tell_news(self, now: datetime, often: bool) -> None:
        """To all what is new, and to one in turn what is not: the price does not grow with their number."""
        word = self._word(0)
        if word != self._said:
            self._said = word
            self._links.send(None, word)
        elif often:
            if not self._turn:
                self._turn = sorted(self._links.members)
            if self._turn:
                self._links.send(self._turn.pop(), word)

    def _up(self, name: str) -> None:
        """Whoever is there now may be another process than the one before, and has heard nothing."""
        if not self.board.leaving:
            self._tell(0, name)

    def _tell_changes(self, changes: list[Told]) -> None:
        for change in changes:
            log.info("member", member=change.name, standing=change.standing.name.lower(), why=change.reason)
        changes.clear()

    def _listed(self, roster: Roster, now: datetime) -> None:
        members = addresses(self._settings)
        others = {n: a for n, a in members.items() if n in roster.members and n != self.board.me}
        self._links.listed(others)
        self.members.set_members(others, now)
        log.info("list of members", list=roster.number, members=" ".join(sorted(roster.members)))
        if self.board.me not in roster.members:
            log.warning("this dispatcher is no member any more: it holds nothing from now on")
            self.begin_shutdown()

    # ---- rolls ----

    def _tell_waits(self, now: datetime) -> None:
        waits = self.site.roller.waits_for(self.board.rule.members, now)
        if waits != self._waits:
            self._waits = waits
            log.info("roll waits", number=self.site.roller.roll.number, for_=" ".join(waits) or "nobody")

    def _end(self) -> None:
        self.site.roller.begun = True
        log.info("roll: this dispatcher drains and ends", number=self.site.roller.roll.number)
        self._core.service.drain()
        self._out = asyncio.create_task(self._drained())

    async def _drained(self) -> None:
        """A drain that the operator ends, ends this part of the roll as well; it comes again in its turn."""
        limit = self._clock.now() + DRAINED_LIMIT
        service = self._core.service
        while self._clock.now() < limit and not (
            service.is_rejecting and self._core.decisions.open_requests == 0
        ):
            if service.phase is not Phase.DRAINING:
                if service.phase is Phase.SERVING:
                    self.site.roller.begun = False
                return
            await asyncio.sleep(0.02)
        self._core.begin_shutdown()

    def _roll(self) -> Response:
        members = set(self.board.rule.members)
        if why := self.site.roller.begin(members, self.members.gone):
            return Response(409, f"{why}\n".encode())
        roll = self.site.roller.roll
        names = " ".join(name for name, _ in roll.lives)
        log.info("roll begins", number=roll.number, members=names)
        self._tell(0, None)  # so that it goes on without this one
        return Response(200, f"roll {roll.number}: {names}\n".encode())

    def _roll_stop(self) -> Response:
        self.site.roller.stop()
        log.info("roll stopped", number=self.site.roller.roll.number)
        self._tell(0, None)
        return Response(200, b"stopped\n")

    # ---- the rest of the dispatcher asks ----

    def _holds(self, duty: str) -> bool | None:
        if duty not in self._holders:
            return None
        holder = self.board.holder(duty, self._clock.now())
        return holder == self.board.me if holder else None

    def _observed(self, uid: str, end: AttemptOutcome) -> None:
        if end in BAD:
            self.site.trial.ended(uid, False, self._clock.now())
        elif end is AttemptOutcome.SERVED:
            self.site.trial.ended(uid, True, self._clock.now())

    # ---- the second address ----

    def _release(self, duty: str) -> Response:
        now = self._clock.now()
        if self.board.token(duty, now) is None:
            holder = self.board.holder(duty, now)
            return Response(409, f"{duty} is held by {holder or 'nobody'}\n".encode())
        self._send(self.board.rest(duty, now))
        log.info("duty released by the operator", duty=duty)
        return Response(200, f"{duty} is released\n".encode())

    def _told_duties(self) -> Response:
        now, site = self._clock.now(), self.site
        roll = site.roller
        told: dict[str, Any] = {
            "me": self.board.me,
            "list": site.change.roster.number,
            "wished": site.change.wish.number,
            "awaits": list(site.change.awaits(self.board.floor(now))),
            "votes": not self.board.muted(now),
            "duties": [
                {
                    "duty": duty,
                    "holder": self.board.holder(duty, now),
                    "here": self.board.token(duty, now) is not None,
                    "term": self.board.term(duty),
                    "since_ms": (now - self._since[duty]) // timedelta(milliseconds=1),
                    "left_ms": self.board.left(duty, now) // timedelta(milliseconds=1),
                }
                for duty in self._holders
            ],
            "roll": {"number": roll.roll.number, "pending": roll.pending, "waits_for": self._waits},
            "held_back": sorted(u for u in self._booted if site.trial.since(u)),
        }
        return Response(200, json.dumps(told).encode() + b"\n")

    def _told_members(self) -> Response:
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
        told = {"me": self.board.me, "health": self.members.health, "members": rows}
        return Response(200, json.dumps(told).encode() + b"\n")

    def _told_replicas(self) -> Response:
        return Response(200, json.dumps(self._rider.status()).encode() + b"\n")

    def _figures(self) -> Iterator[str]:
        now = self._clock.now()
        yield f"duties.members_heard:{self._links.up}|g"
        yield f"duties.members_alive:{len(self.members.alive)}|g"
        yield f"duties.letters:{self._links.sent}|c"
        yield f"duties.list:{self.site.change.roster.number}|g"
        yield f"duties.roll_pending:{len(self.site.roller.pending)}|g"
        yield f"duties.endpoints_held_back:{sum(1 for u in self._booted if self.site.trial.since(u))}|g"
        yield f"duties.watchdog:{self._watchdog.barked}|c"
        for duty in self._holders:
            yield f"duties.{duty}.held:{int(self.board.token(duty, now) is not None)}|g"
            yield f"duties.{duty}.term:{self.board.term(duty)}|g"
            yield f"duties.{duty}.changes:{self._changes[duty]}|c"
        if self._announcer:
            for what in ("accepted", "refused", "broken"):
                yield f"duties.{DUTY}.{what}:{self._announcer.counts[what]}|c"


def addresses(settings: Duties) -> dict[str, Address]:
    return {name: Address(*address) for name, address in settings.member}


def front_of(operator: OperatorFile, place: Path) -> Callable[[DispatcherContext], DutiesFront]:
    return lambda core: DutiesFront(core, operator, place)
