"""Rolls: every dispatcher of a site ends once and is started anew, at most k at a time. No I/O, no clock.

A roll names the processes that are to end, by their lives: a member whose life is another one has done its
part. So nobody leads a roll and nobody keeps its state but the roll itself, which all pass on; whoever dies
meanwhile has done its part when it is back.

Who is to end first takes one of k places, each a duty with a lease. Then it asks all others again and again
how they are, and begins once fewer than `place` of them are not ready, by answers to questions no older than
`fresh`, and once it has held the place for k + 1 times that. Answers were given after their questions, so
this does not hang on how late anything is.

Why at most k are down by a roll: let the last to begin be c. Whoever is down and c does not know it began
less than `fresh` ago, so its place cannot be used by another yet. Of these and c take the one with the
lowest place, q: it knew of fewer than q that are down, but for those that began less than `fresh` before it;
and so on. Each round lowers q, so k rounds end it, and all who began within them still have places of their
own, none below the last q; those before are fewer than that q. Together no more than k.

A member that is down for another reason counts as well, for `patience`; after that the others go on without
it as long as a majority stays ready.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

KEPT = 32  # questions


def places(count: int) -> tuple[str, ...]:
    return tuple(f"roll-{n}" for n in range(1, count + 1))


@dataclass(frozen=True, slots=True, order=True)
class Roll:
    """Of two that were begun at once all take the same."""

    number: int = 0
    starter: str = ""
    lives: tuple[tuple[str, int], ...] = ()  # that are to end; none: the roll was stopped


@dataclass(slots=True)
class Known:
    """What a member has told of itself."""

    life: int
    ready: bool
    answer: int = 0  # to which question
    at: datetime | None = None


@dataclass(slots=True)
class Roller:
    me: str
    life: int
    patience: timedelta
    fresh: timedelta
    places: int = 1
    roll: Roll = Roll()
    begun: bool = False  # this process is on its way out
    _known: dict[str, Known] = field(default_factory=dict)
    _gone: dict[str, datetime] = field(default_factory=dict)  # not ready since
    _question: int = 0
    _asked: dict[int, datetime] = field(default_factory=dict)  # the last questions, and when
    _place: int = 0
    _since: datetime | None = None  # that the place is held

    def heard(self, name: str, life: int, ready: bool, answer: int, roll: Roll, now: datetime) -> None:
        before = self._known.get(name)
        answer = max(answer, before.answer if before and before.life == life else 0)
        self._known[name] = Known(life, ready, answer, now)
        if ready:
            self._gone.pop(name, None)
        else:
            self._gone.setdefault(name, now)
        self.roll = max(self.roll, roll)

    def lost(self, name: str, now: datetime) -> None:
        """Nothing is heard of it any more."""
        if known := self._known.get(name):
            known.ready = False
        self._gone.setdefault(name, now)

    def begin(self, members: Iterable[str], left_out: Iterable[str] = ()) -> str:
        """Starts a roll of all. Why not, if not: of each its life has to be known, but for those left out."""
        lives = {name: known.life for name, known in self._known.items()} | {self.me: self.life}
        wanted = [name for name in sorted(members) if name not in set(left_out)]
        if missing := [name for name in wanted if name not in lives]:
            return f"never heard: {', '.join(missing)}"
        if self.pending:
            return f"roll {self.roll.number} is not done: {', '.join(self.pending)}"
        self.roll = Roll(self.roll.number + 1, self.me, tuple((name, lives[name]) for name in wanted))
        return ""

    def stop(self) -> None:
        self.roll = Roll(self.roll.number + 1, self.me)

    @property
    def pending(self) -> list[str]:
        """Whose part is still to come, as far as heard."""
        lives = {name: known.life for name, known in self._known.items()} | {self.me: self.life}
        return [name for name, life in self.roll.lives if lives.get(name) == life]

    @property
    def due(self) -> bool:
        return (self.me, self.life) in self.roll.lives

    def held(self, place: int, now: datetime) -> None:
        """The place that is held, from 1; 0: none. Called so often that none comes and goes in between."""
        if place != self._place:
            self._place, self._since = place, now

    def question(self, now: datetime) -> int:
        """The number of the next question to all others."""
        self._question += 1
        self._asked[self._question] = now
        self._asked.pop(self._question - KEPT, None)
        return self._question

    def waits_for(self, members: Iterable[str], now: datetime) -> list[str]:
        """Who is not ready, or has not answered a question of late."""
        found = []
        for name in members:
            known = self._known.get(name)
            asked = self._asked.get(known.answer) if known and known.ready else None
            if name != self.me and (asked is None or now - asked > self.fresh):
                found.append(name)
        return sorted(found)

    def may(self, members: Iterable[str], now: datetime) -> bool:
        if not self.due or self.begun or not (self._place and self._since):
            return False
        if now - self._since < self.fresh * (self.places + 1):
            return False
        names = set(members)
        missing = self.waits_for(names, now)
        lost = {n for n in missing if n in self._gone and now - self._gone[n] >= self.patience}
        majority = len(names) // 2 + 1
        if lost and len(names) - len(missing) - 1 < majority:
            lost = set()  # too few would be left: it waits for them
        return len(set(missing) - lost) < self._place
