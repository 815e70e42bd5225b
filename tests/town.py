"""The dispatchers of a site in simulated time: their boards, lists, rolls and words, and a bad network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

from rookwood.duties.board import Board, Letter
from rookwood.duties.change import Change, Roster
from rookwood.duties.lease import Rule
from rookwood.duties.roll import Roller, places
from rookwood.duties.site import Site
from rookwood.duties.trial import Trial
from rookwood.gateway.frames import SiteAsk, SiteTold

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
LEASE, STEP = 400, 10
DUTY = "address"


class Town:
    def __init__(
        self, seed: int = 1, delay: int = 20, loss: float = 0.0, count: int = 1, drain: int = 200
    ) -> None:
        """`count`: places of a roll. `drain`: how long who ends by one takes for it, in ms."""
        self.rng, self.delay, self.loss, self.count = random.Random(seed), delay, loss, count
        self.drain = drain
        self.now, self.sites = 0, dict[str, Site]()
        self.cut = set[tuple[str, str]]()
        self.down = dict[str, int]()  # by a roll: begun, and not ready since
        self.back_at = dict[str, int]()
        self.most_down, self.most_holders, self.held = 0, 0, dict[str, int]()
        self._mail: list[tuple[int, int, str, str, Any]] = []
        self._serial, self._lives = itertools.count(), itertools.count(1)

    @property
    def at(self) -> datetime:
        return ZERO + self.now * MS

    def start(self, name: str, number: int, members: Iterable[str]) -> Site:
        names, life = tuple(sorted(members)), next(self._lives)
        duties = (DUTY, *places(self.count))
        board = Board(name, life, Rule(names, LEASE * MS, 0.01, number), duties, self.at, life)
        roller = Roller(name, life, 20 * LEASE * MS, LEASE / 2 * MS, self.count)
        change = Change(name, Roster(number, frozenset(names)))
        self.sites[name] = Site(board, change, roller, Trial(name), self.count)
        return self.sites[name]

    def all(self, number: int, members: Iterable[str]) -> None:
        for name in members:
            self.start(name, number, members)

    def wish(self, name: str, number: int, members: Iterable[str]) -> None:
        site = self.sites[name]
        roster = Roster(number, frozenset(members))
        assert not site.change.unfit(roster)
        site.change.wish = roster

    def post(self, sender: str, to: str | None, what: Any) -> None:
        for name in [to] if to else [n for n in self.sites if n != sender]:
            if (sender, name) not in self.cut and self.rng.random() >= self.loss:
                due = self.now + self.rng.randint(1, self.delay)
                heapq.heappush(self._mail, (due, next(self._serial), sender, name, what))

    def letters(self, sender: str, letters: Iterable[Letter]) -> None:
        for letter in letters:
            self.post(sender, letter.to, letter)

    def run(self, ms: int) -> None:
        for _ in range(ms // STEP):
            self.now += STEP
            while self._mail and self._mail[0][0] <= self.now:
                _, _, sender, to, what = heapq.heappop(self._mail)
                if to in self.sites:
                    self._deliver(self.sites[to], sender, what)
            for name, site in list(self.sites.items()):
                self._tick(name, site)
            for name in [n for n, at in self.back_at.items() if self.now >= at]:
                del self.back_at[name]
                rule = self.sites[name].board.rule
                self.start(name, rule.list, rule.members)
            holders = [n for n, s in self.sites.items() if s.board.token(DUTY, self.at)]
            self.most_holders = max(self.most_holders, len(holders))
            for name in holders:
                self.held[name] = self.held.get(name, 0) + STEP
            self.most_down = max(self.most_down, len(self.down))

    def _deliver(self, site: Site, sender: str, what: Any) -> None:
        if site.board.me in self.back_at:
            return  # its process has ended
        match what:
            case Letter():
                self.letters(site.board.me, site.board.heard(sender, what, self.at))
            case SiteAsk(number):
                self.post(site.board.me, sender, site.told(number, True, self.at))
            case SiteTold():
                site.heard(sender, what, self.at)

    def _tick(self, name: str, site: Site) -> None:
        if name in self.back_at:
            return
        self.letters(name, site.board.tick(self.at))
        site.gone(self.back_at, self.at)
        site.takes_part(self.at)
        if not site.board.muted(self.at) and not site.roller.begun:
            self.down.pop(name, None)
        often = self.now % (LEASE // 4) == 0
        letters, question, ends = site.rolls(self.at, often)
        self.letters(name, letters)
        if ends:
            site.roller.begun = True
            self.down[name] = self.now
        if site.roller.begun and self.now - self.down.get(name, self.now) > self.drain:
            self.letters(name, site.board.leave(self.at))
            self.back_at[name] = self.now + self.rng.randint(50, 1500)
        if often:
            self.post(name, None, site.told(0, True, self.at))
        if question:
            self.post(name, None, SiteAsk(question))
