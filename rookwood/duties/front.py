"""Plugs duties into a dispatcher, as the operator's file says."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import structlog

from rookwood.conf import Operator
from rookwood.duties.address import DUTY, Announcer
from rookwood.duties.board import Board, Letter
from rookwood.duties.lease import Rule
from rookwood.duties.links import Links, Self
from rookwood.duties.wire import frame_of, letter_of
from rookwood.gateway.frames import Frame
from rookwood.gateway.secure import secured, utc_now
from rookwood.net.destinations import Address, DestinationSet
from rookwood.net.dispatcher import Core
from rookwood.settings import FaultyKeyError

log = structlog.stdlib.get_logger(__name__)

TICKS = 50  # in a lease
PINGS = 4  # in a lease


class DutiesFront:
    def __init__(self, core: Core, operator: Operator, place: Path) -> None:
        settings, gateway = operator.duties, operator.gateway
        assert settings and gateway
        self._gateway, self._clock = gateway, core.clock
        members = {name: Address(*address) for name, address in settings.member}
        me = Self(operator.site, gateway.name or core.name, secrets.randbits(62))
        if me.name not in members:
            raise FaultyKeyError(str(place), f"duties: {me.name!r}, this dispatcher, is none of the members")
        rule = Rule(tuple(sorted(members)), settings.lease, settings.drift)
        self.board = Board(me.name, me.life, rule, (DUTY,), core.clock.now(), seed=me.life)
        others = {name: address for name, address in members.items() if name != me.name}
        listen = Address(*settings.listen)
        self._links = Links(me, others, listen, rule.length, core.clock, self._heard)
        self._announcer: Announcer | None = None
        if settings.relay and settings.address:
            address = f"{settings.address[0]}:{settings.address[1]}"
            self._announcer = Announcer(self.board, Address(*settings.relay), address, core.clock)
        self._holders = dict.fromkeys((DUTY,), "")
        self._changes = Counter[str]()
        self._tasks: list[asyncio.Task[None]] = []
        core.figures.more.append(self._figures)

    def told(self, told: DestinationSet, kept: bool) -> DestinationSet:
        return told

    async def start(self) -> None:
        await self._links.start(secured(self._gateway, utc_now()))
        self._tasks = [asyncio.create_task(self._tick())]
        if self._announcer:
            self._tasks.append(asyncio.create_task(self._announcer.run()))

    async def _tick(self) -> None:
        step, ticks = self.board.rule.length / TICKS, 0
        while True:
            try:
                now = self._clock.now()
                self._send(self.board.tick(now))
                if ticks % (TICKS // PINGS) == 0:
                    self._links.ping()
                for duty, before in self._holders.items():
                    holder = self.board.holder(duty, now)
                    if holder != before:
                        self._holders[duty] = holder
                        self._changes[duty] += 1
                        log.info("duty", duty=duty, holder=holder or "nobody", term=self.board.term(duty))
            except Exception:
                log.exception("tick failed")
            ticks += 1
            await asyncio.sleep(step.total_seconds())

    def _heard(self, sender: str, frame: Frame) -> None:
        if letter := letter_of(frame):
            self._send(self.board.heard(sender, letter, self._clock.now()))

    def _send(self, letters: Iterable[Letter]) -> None:
        for letter in letters:
            self._links.send(letter.to, frame_of(letter))

    def reload(self) -> None:
        """Members wait for the next start: the list may change by one at a time alone."""

    def succeeded(self) -> None:
        self.leave()

    def leave(self) -> None:
        if not self.board.leaving:
            self._send(self.board.leave(self._clock.now()))

    async def empty(self) -> None:
        pass

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.close()

    def _figures(self) -> Iterator[str]:
        now = self._clock.now()
        yield f"duties.members_heard:{self._links.up}|g"
        yield f"duties.letters:{self._links.sent}|c"
        for duty, changes in ((duty, self._changes[duty]) for duty in self._holders):
            yield f"duties.{duty}.held:{int(self.board.token(duty, now) is not None)}|g"
            yield f"duties.{duty}.term:{self.board.term(duty)}|g"
            yield f"duties.{duty}.changes:{changes}|c"
        if self._announcer:
            for what in ("accepted", "refused", "broken"):
                yield f"duties.{DUTY}.{what}:{self._announcer.counts[what]}|c"


def front_of(operator: Operator, place: Path) -> Callable[[Core], DutiesFront]:
    return lambda core: DutiesFront(core, operator, place)
