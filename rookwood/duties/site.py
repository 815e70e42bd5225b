"""The reports that the dispatchers of a site exchange about themselves, and the decisions made from them.

Combines the leases, the change of the list of members, rolls, and the trials of failing endpoints.
No I/O; `front.DutiesExtension` carries out what is returned.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime

from rookwood.duties.board import Envelope, LeaseManager
from rookwood.duties.change import MemberReport, Roster, RosterChange
from rookwood.duties.lease import Rule
from rookwood.duties.roll import Roll, Roller, place_duties
from rookwood.duties.trial import EndpointTrial
from rookwood.gateway.frames import SiteTold

TRIAL = "trial"


@dataclass(slots=True)
class Site:
    """One dispatcher's view of its site."""

    leases: LeaseManager
    change: RosterChange
    roller: Roller
    trial: EndpointTrial
    place_count: int
    # False while a store on the members still recovers: this dispatcher is then reported as not ready.
    has_recovered: Callable[[], bool] = lambda: True

    def report(self, number: int, ready: bool, now: datetime) -> SiteTold:
        """This dispatcher's report to the others. `number`: the query that it answers; 0: none."""
        failing, recovered = self.trial.report(now)
        roll = self.roller.roll
        voting = ready and not self.leases.is_silent(now) and self.has_recovered()
        return SiteTold(
            number, self.roller.incarnation, voting, roll.number, roll.starter, roll.incarnations,
            self.change.roster.number, self.change.reported_floor(self.leases.floor(now)), failing, recovered,
        )  # fmt: skip

    def handle_report(self, name: str, report: SiteTold, now: datetime) -> None:
        """Passes a member's report to the parts that use it."""
        roll = Roll(report.roll, report.starter, report.lives)
        self.roller.record_report(name, report.life, report.ready, report.number, roll, now)
        self.change.record_report(name, MemberReport(report.list, report.floor))
        self.trial.record_report(name, report.sick, report.well)

    def record_losses(self, names: Iterable[str], now: datetime) -> None:
        """Drops the reports of members that are not alive and counts them as not ready."""
        for name in names:
            self.roller.record_loss(name, now)
            self.trial.forget(name)
            self.change.forget(name)

    def update_participation(self, now: datetime) -> Roster | None:
        """Updates whether this member participates. Returns the next list when it has just been adopted."""
        self.change.try_join()
        self.leases.is_participating = self.change.has_joined and not self.change.is_behind
        roster = self.change.adopt_target(self.leases.floor(now))
        if roster:
            rule = self.leases.rule
            members = tuple(sorted(roster.members))
            self.leases.set_rule(Rule(members, rule.length, rule.drift, roster.number))
        return roster

    # ---- rolls ----

    def held_place(self, now: datetime) -> int:
        """The lowest place of a roll held here, from 1; 0: none."""
        held = [n for n, duty in enumerate(place_duties(self.place_count), 1) if self.leases.token(duty, now)]
        return min(held, default=0)

    def advance_roll(self, now: datetime, is_query_due: bool) -> tuple[list[Envelope], int, bool]:
        """Advances this member's part in a roll.

        Returns messages to send, the number of a query to send to all (0: none), and whether to drain now.
        """
        envelopes, place = list[Envelope](), self.held_place(now)
        is_waiting = self.roller.is_due and not self.roller.has_begun
        for n, duty in enumerate(place_duties(self.place_count), 1):
            # One place is enough, and a member that drains keeps its place until it ends.
            envelopes += self.leases.set_wanted(duty, n == place if place else is_waiting, now)
        self.roller.set_held_place(place, now)
        if not (is_waiting and place):
            return envelopes, 0, False
        query = self.roller.next_query(now) if is_query_due else 0
        return envelopes, query, self.roller.may_begin(self.leases.rule.members, now)

    # ---- endpoints ----

    def update_held_back(self, alive: Iterable[str], listed: int, now: datetime) -> set[str]:
        """Updates which endpoints are held back here and returns those for which that has changed."""
        holder = self.leases.holder(TRIAL, now) if TRIAL in self.leases.duties else ""
        return self.trial.update(holder, alive, listed, now)
