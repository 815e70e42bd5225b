"""The dispatchers of a site in simulated time: leases, lists, rolls, reports, and a lossy network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

from rookwood.duties.board import Envelope, LeaseManager
from rookwood.duties.change import Roster, RosterChange
from rookwood.duties.lease import Rule
from rookwood.duties.roll import Roller, place_duties
from rookwood.duties.site import Site
from rookwood.duties.trial import EndpointTrial
from rookwood.gateway.frames import SiteAsk, SiteTold

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
LEASE, STEP = 400, 10
DUTY = "address"


class SiteSimulation:
    """Runs the `Site` of every dispatcher; messages are delayed, lost, or blocked between two members."""

    def __init__(
        self, seed: int = 1, delay: int = 20, loss: float = 0.0, place_count: int = 1, drain_ms: int = 200
    ) -> None:
        """`place_count`: the places of a roll. `drain_ms`: how long a dispatcher drains for a roll."""
        self.rng, self.delay, self.loss, self.place_count = random.Random(seed), delay, loss, place_count
        self.drain_ms = drain_ms
        self.now, self.sites = 0, dict[str, Site]()
        self.blocked = set[tuple[str, str]]()
        # Members that have begun to drain for a roll and are not ready again yet, with when they began.
        self.draining_since = dict[str, int]()
        self.restart_at = dict[str, int]()
        self.max_down, self.max_holders, self.held_ms = 0, 0, dict[str, int]()
        self._in_transit: list[tuple[int, int, str, str, Any]] = []
        self._serial, self._incarnations = itertools.count(), itertools.count(1)

    @property
    def clock(self) -> datetime:
        return ZERO + self.now * MS

    def start(self, name: str, number: int, members: Iterable[str]) -> Site:
        """Starts a dispatcher, or its next process, with list `number` of members."""
        names, incarnation = tuple(sorted(members)), next(self._incarnations)
        duties = (DUTY, *place_duties(self.place_count))
        leases = LeaseManager(
            name, incarnation, Rule(names, LEASE * MS, 0.01, number), duties, self.clock, incarnation
        )
        roller = Roller(name, incarnation, 20 * LEASE * MS, LEASE / 2 * MS, self.place_count)
        change = RosterChange(name, Roster(number, frozenset(names)))
        self.sites[name] = Site(leases, change, roller, EndpointTrial(name), self.place_count)
        return self.sites[name]

    def start_all(self, number: int, members: Iterable[str]) -> None:
        for name in members:
            self.start(name, number, members)

    def set_target(self, name: str, number: int, members: Iterable[str]) -> None:
        site = self.sites[name]
        roster = Roster(number, frozenset(members))
        assert not site.change.rejection_reason(roster)
        site.change.target = roster

    def send(self, sender: str, to: str | None, message: Any) -> None:
        for name in [to] if to else [n for n in self.sites if n != sender]:
            if (sender, name) not in self.blocked and self.rng.random() >= self.loss:
                delivered_at = self.now + self.rng.randint(1, self.delay)
                heapq.heappush(self._in_transit, (delivered_at, next(self._serial), sender, name, message))

    def send_all(self, sender: str, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            self.send(sender, envelope.to, envelope)

    def run(self, ms: int) -> None:
        for _ in range(ms // STEP):
            self.now += STEP
            while self._in_transit and self._in_transit[0][0] <= self.now:
                _, _, sender, to, message = heapq.heappop(self._in_transit)
                if to in self.sites:
                    self._deliver(self.sites[to], sender, message)
            for name, site in list(self.sites.items()):
                self._tick(name, site)
            for name in [n for n, at in self.restart_at.items() if self.now >= at]:
                del self.restart_at[name]
                rule = self.sites[name].leases.rule
                self.start(name, rule.list_number, rule.members)
            holders = [n for n, s in self.sites.items() if s.leases.token(DUTY, self.clock)]
            self.max_holders = max(self.max_holders, len(holders))
            for name in holders:
                self.held_ms[name] = self.held_ms.get(name, 0) + STEP
            self.max_down = max(self.max_down, len(self.draining_since))

    def _deliver(self, site: Site, sender: str, message: Any) -> None:
        if site.leases.me in self.restart_at:
            return  # its process has ended
        match message:
            case Envelope():
                self.send_all(site.leases.me, site.leases.handle_message(sender, message, self.clock))
            case SiteAsk(number):
                self.send(site.leases.me, sender, site.report(number, True, self.clock))
            case SiteTold():
                site.handle_report(sender, message, self.clock)

    def _tick(self, name: str, site: Site) -> None:
        if name in self.restart_at:
            return
        self.send_all(name, site.leases.tick(self.clock))
        site.record_losses(self.restart_at, self.clock)
        site.update_participation(self.clock)
        if not site.leases.is_silent(self.clock) and not site.roller.has_begun:
            self.draining_since.pop(name, None)
        is_report_due = self.now % (LEASE // 4) == 0
        envelopes, query, may_begin = site.advance_roll(self.clock, is_report_due)
        self.send_all(name, envelopes)
        if may_begin:
            site.roller.has_begun = True
            self.draining_since[name] = self.now
        if site.roller.has_begun and self.now - self.draining_since.get(name, self.now) > self.drain_ms:
            self.send_all(name, site.leases.begin_shutdown(self.clock))
            self.restart_at[name] = self.now + self.rng.randint(50, 1500)
        if is_report_due:
            self.send(name, None, site.report(0, True, self.clock))
        if query:
            self.send(name, None, SiteAsk(query))
