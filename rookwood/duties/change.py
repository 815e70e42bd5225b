"""Changes the list of members one member at a time; each list has the next number. No I/O, no clock.

Any majorities of two lists that differ by one member share a member; those of two lists that differ by two
need not. So no member may hold a duty by list n while another counts votes by list n + 2. A voter with list n
grants a duty to nobody by an older list, but lets a holder by list n - 1 renew (`lease.answer_request`).
A voter's *floor* is the oldest list for which one of its votes still runs, even if the lease was since
renewed by a newer list; without such a vote it is n. It never falls. A member adopts list n + 1 once a
majority of list n has reported a floor of n: from then on nobody can get a majority of list n - 1.

A member that has just started knows only its own list. It participates as soon as another member with this
list does, or once enough members of its list have a floor of n - 1 to share a member with every majority of
every list that differs from it by two: one more than a majority, or all. List 1 needs no such check.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Roster:
    """A numbered list of members."""

    number: int
    members: frozenset[str]

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What another member reported: its list and its floor, below 0 while it does not participate yet."""

    number: int
    floor: int


class RosterChange:
    """One member's view of the change from its list of members, `roster`, to the operator's, `target`."""

    def __init__(self, me: str, roster: Roster) -> None:
        self.me, self.roster, self.target = me, roster, roster
        self.has_joined = roster.number <= 1
        self._reports: dict[str, MemberReport] = {}

    def rejection_reason(self, roster: Roster) -> str:
        """Why the operator's list cannot follow the current one; empty if it can."""
        if roster == self.roster:
            return ""
        if roster.members == self.roster.members and roster.number == self.roster.number + 1:
            return ""
        difference = len(roster.members ^ self.roster.members)
        if roster.number != self.roster.number + 1:
            return f"list {roster.number} does not follow list {self.roster.number}"
        if difference != 1:
            return (
                f"list {roster.number} differs from {self.roster.number} by {difference} members, not by one"
            )
        return ""

    def record_report(self, name: str, report: MemberReport) -> None:
        """Stores the report unless it is older than the last one."""
        previous = self._reports.get(name)
        if previous is None or (report.number, report.floor) >= (previous.number, previous.floor):
            self._reports[name] = report

    def forget(self, name: str) -> None:
        """Drops the report of a member whose process has ended; its next process sends its own."""
        self._reports.pop(name, None)

    def reported_floor(self, own_floor: int) -> int:
        """The floor that this member reports to the others."""
        return own_floor if self.has_joined else -1

    def try_join(self) -> bool:
        """Starts to participate if the reports permit it. True if it has just started."""
        if self.has_joined:
            return False
        n, compatible = self.roster.number, 1
        for name, report in self._reports.items():
            if name not in self.roster.members:
                continue
            if report.number >= n and report.floor >= 0:
                self.has_joined = True
                return True
            compatible += report.floor >= n - 1 or (report.floor < 0 and report.number == n)
        self.has_joined = compatible >= min(len(self.roster.members), self.roster.majority + 1)
        return self.has_joined

    @property
    def is_behind(self) -> bool:
        """Another member is two or more lists ahead, so a majority of the own list proves nothing."""
        return any(report.number > self.roster.number + 1 for report in self._reports.values())

    def adopt_target(self, own_floor: int) -> Roster | None:
        """Adopts the operator's list and returns it once that is safe; None until then."""
        if self.target == self.roster or not self.has_joined:
            return None
        n = self.roster.number
        settled = {name for name, report in self._reports.items() if report.floor >= n} & self.roster.members
        if own_floor >= n and self.me in self.roster.members:
            settled.add(self.me)
        if len(settled) < self.roster.majority:
            return None
        self.roster = self.target
        return self.roster

    def waiting_for(self, own_floor: int) -> Iterable[str]:
        """Members that have not reported the current list as their floor yet."""
        n = self.roster.number
        up_to_date = {name for name, report in self._reports.items() if report.floor >= n}
        return sorted(self.roster.members - up_to_date - ({self.me} if own_floor >= n else set()))
