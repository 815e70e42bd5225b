"""How the list of members changes: by one at a time, each list with the next number. No I/O, no clock.

Two lists that differ by one member have no majorities that do not meet, two that differ by two may have. So
nobody may be holder by list n while somebody counts by n + 2. A voter with list n grants the duty to nobody
by an older one, and lets a holder by n - 1 go on (`lease.asked`). Its *floor* is the oldest list that a vote
of its still runs for, renewed by a newer list or not, else n; it never falls. A member takes list n + 1 once
a majority of list n has told a floor of n: then no majority of n - 1 can be had any more.

A member that has started knows its own list alone. It takes part as soon as another with this list does;
or once so many of its list have a floor of n - 1 that they meet each majority of each list that differs
from it by two, one more than a majority (or all). List 1 needs none of that.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Roster:
    number: int
    members: frozenset[str]

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1


@dataclass(frozen=True, slots=True)
class Word:
    """What another has told. A floor below 0: it does not take part yet."""

    number: int
    floor: int


class Change:
    def __init__(self, me: str, roster: Roster) -> None:
        self.me, self.roster, self.wish = me, roster, roster
        self.joined = roster.number <= 1
        self._words: dict[str, Word] = {}

    def unfit(self, roster: Roster) -> str:
        """Why the list that an operator wants cannot follow this one; empty if it can."""
        if roster == self.roster:
            return ""
        if roster.members == self.roster.members and roster.number == self.roster.number + 1:
            return ""
        differ = len(roster.members ^ self.roster.members)
        if roster.number != self.roster.number + 1:
            return f"list {roster.number} does not follow list {self.roster.number}"
        if differ != 1:
            return f"list {roster.number} differs from {self.roster.number} by {differ} members, not by one"
        return ""

    def heard(self, name: str, word: Word) -> None:
        before = self._words.get(name)
        if before is None or (word.number, word.floor) >= (before.number, before.floor):
            self._words[name] = word

    def lost(self, name: str) -> None:
        """Its process has ended: the next one says for itself what it knows."""
        self._words.pop(name, None)

    def floor(self, own: int) -> int:
        """What this member tells of itself."""
        return own if self.joined else -1

    def join(self) -> bool:
        """True: it takes part from now on."""
        if self.joined:
            return False
        n, found = self.roster.number, 1
        for name, word in self._words.items():
            if name not in self.roster.members:
                continue
            if word.number >= n and word.floor >= 0:
                self.joined = True
                return True
            found += word.floor >= n - 1 or (word.floor < 0 and word.number == n)
        self.joined = found >= min(len(self.roster.members), self.roster.majority + 1)
        return self.joined

    @property
    def behind(self) -> bool:
        """Others are two lists ahead: what this one believes of majorities counts no more."""
        return any(word.number > self.roster.number + 1 for word in self._words.values())

    def due(self, own_floor: int) -> Roster | None:
        """The list that is wished for, once it may be taken."""
        if self.wish == self.roster or not self.joined:
            return None
        n = self.roster.number
        settled = {name for name, word in self._words.items() if word.floor >= n} & self.roster.members
        if own_floor >= n and self.me in self.roster.members:
            settled.add(self.me)
        if len(settled) < self.roster.majority:
            return None
        self.roster = self.wish
        return self.roster

    def awaits(self, own_floor: int) -> Iterable[str]:
        """Who has not told yet that it goes by this list."""
        n = self.roster.number
        words = {name for name, word in self._words.items() if word.floor >= n}
        return sorted(self.roster.members - words - ({self.me} if own_floor >= n else set()))
