"""What the dispatchers of a site tell one another of themselves, and what follows from it.

Here the parts that decide meet: the list of members and how it changes, rolls, who tries sick endpoints
again. No I/O; the front carries out what is returned.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime

from rookwood.duties.board import Board, Letter
from rookwood.duties.change import Change, Roster, Word
from rookwood.duties.lease import Rule
from rookwood.duties.roll import Roll, Roller, places
from rookwood.duties.trial import Trial
from rookwood.gateway.frames import SiteTold

TRIAL = "trial"


@dataclass(slots=True)
class Site:
    """One dispatcher's view. `roster` is the list that its board goes by."""

    board: Board
    change: Change
    roller: Roller
    trial: Trial
    places: int
    remembers: Callable[[], bool] = lambda: True  # what it must have recovered before it may be counted on

    def told(self, number: int, ready: bool, now: datetime) -> SiteTold:
        """`number`: of the question that this answers; 0: none."""
        sick, well = self.trial.word(now)
        roll = self.roller.roll
        voting = ready and not self.board.muted(now) and self.remembers()
        return SiteTold(
            number, self.roller.life, voting, roll.number, roll.starter, roll.lives,
            self.change.roster.number, self.change.floor(self.board.floor(now)), sick, well,
        )  # fmt: skip

    def heard(self, name: str, told: SiteTold, now: datetime) -> None:
        roll = Roll(told.roll, told.starter, told.lives)
        self.roller.heard(name, told.life, told.ready, told.number, roll, now)
        self.change.heard(name, Word(told.list, told.floor))
        self.trial.heard(name, told.sick, told.well)

    def gone(self, names: Iterable[str], now: datetime) -> None:
        """Who does not live is not ready, and knows of no endpoint; its next process says for itself."""
        for name in names:
            self.roller.lost(name, now)
            self.trial.lost(name)
            self.change.lost(name)

    def takes_part(self, now: datetime) -> Roster | None:
        """Whether this one votes at all; and the next list, once it may be taken."""
        self.change.join()
        self.board.takes_part = self.change.joined and not self.change.behind
        roster = self.change.due(self.board.floor(now))
        if roster:
            rule = self.board.rule
            members = tuple(sorted(roster.members))
            self.board.listed(Rule(members, rule.length, rule.drift, roster.number))
        return roster

    # ---- rolls ----

    def place(self, now: datetime) -> int:
        """The place that is held here, from 1; 0: none."""
        held = [n for n, duty in enumerate(places(self.places), 1) if self.board.token(duty, now)]
        return min(held, default=0)

    def rolls(self, now: datetime, asks: bool) -> tuple[list[Letter], int, bool]:
        """Letters; the number of a question to all, 0 for none; and whether this one is to end now."""
        letters, at = list[Letter](), self.place(now)
        waits = self.roller.due and not self.roller.begun
        for n, duty in enumerate(places(self.places), 1):
            # One place is enough; and who is on its way out keeps it until the end.
            letters += self.board.want(duty, n == at if at else waits, now)
        self.roller.held(at, now)
        if not (waits and at):
            return letters, 0, False
        question = self.roller.question(now) if asks else 0
        return letters, question, self.roller.may(self.board.rule.members, now)

    # ---- endpoints ----

    def tries(self, living: Iterable[str], listed: int, now: datetime) -> set[str]:
        """Endpoints whose standing has changed here."""
        holder = self.board.holder(TRIAL, now) if TRIAL in self.board.duties else ""
        return self.trial.update(holder, living, listed, now)
