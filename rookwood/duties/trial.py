"""Who tries an endpoint again that fails for all: the holder of a duty alone. No I/O, no clock.

Each dispatcher counts what its own attempts came to. An endpoint that failed `SICK` of them in a row fails
here; if it fails for most of those that are heard it is *sick*, and whoever does not hold the duty sends
nothing there. The holder goes on as the decisions say, so the endpoint meets one dispatcher's jobs and not
those of all. Once one is served the holder says so, and all go back. Where over half of all endpoints were
sick the fault is likelier elsewhere: then none is.

It is advice that only makes more careful: while nobody holds the duty, or the holder is not heard, each
goes on as without it; and it ends with a start of the endpoint that discovery tells of, and with time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

SICK = 3  # failures in a row
FORGET = timedelta(seconds=30)  # after which a word, or own failures, count no more
MOST = 64  # endpoints in a word


@dataclass(slots=True)
class Own:
    """What came of own attempts at an endpoint."""

    failed: int = 0  # in a row
    tried_at: datetime | None = None
    served_at: datetime | None = None  # after it was sick here


@dataclass(frozen=True, slots=True)
class Word:
    """In force until the next one, or until its speaker is lost."""

    sick: frozenset[str]
    well: frozenset[str]


@dataclass(slots=True)
class Trial:
    me: str
    _own: dict[str, Own] = field(default_factory=dict)
    _words: dict[str, Word] = field(default_factory=dict)
    _held_back: dict[str, datetime] = field(default_factory=dict)  # not used here since

    def ended(self, uid: str, served: bool, now: datetime) -> None:
        """Of an own attempt, by the endpoint's doing."""
        own = self._own.setdefault(uid, Own())
        own.tried_at = now
        if served:
            if own.failed >= SICK:
                own.served_at = now
            own.failed = 0
        else:
            own.failed += 1
            own.served_at = None

    def started(self, uid: str) -> bool:
        """Discovery has told of a later start: what was known is of another process."""
        self._own.pop(uid, None)
        for name, word in self._words.items():
            self._words[name] = Word(word.sick - {uid}, word.well - {uid})
        return self._held_back.pop(uid, None) is not None

    def word(self, now: datetime) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """What is told to the others: endpoints that fail here, and those that have served since they did."""
        for uid in [u for u, own in self._own.items() if own.tried_at and now - own.tried_at >= FORGET]:
            if uid not in self._held_back:
                del self._own[uid]
        sick = sorted(u for u, own in self._own.items() if own.failed >= SICK)
        well = sorted(u for u, own in self._own.items() if own.served_at and not own.failed)
        return tuple(sick[:MOST]), tuple(well[:MOST])

    def heard(self, name: str, sick: Iterable[str], well: Iterable[str]) -> None:
        self._words[name] = Word(frozenset(sick), frozenset(well))

    def lost(self, name: str) -> None:
        self._words.pop(name, None)

    def update(self, holder: str, alive: Iterable[str], listed: int, now: datetime) -> set[str]:
        """`holder`: who holds the duty, as known here; empty: nobody. `listed`: endpoints in all. Returns
        those whose standing here has changed."""
        before = set(self._held_back)
        if holder in ("", self.me) or holder not in self._words:
            self._held_back.clear()
            return before
        words = {name: word for name, word in self._words.items() if name in set(alive)}
        own_sick, own_well = self.word(now)
        words[self.me] = Word(frozenset(own_sick), frozenset(own_well))
        for uid in set[str]().union(*(word.sick for word in words.values())):
            if 2 * sum(uid in word.sick for word in words.values()) > len(words) > 1:
                self._held_back.setdefault(uid, now)
        told = self._words[holder]
        for uid, since in list(self._held_back.items()):
            if uid in told.well or now - since >= FORGET:
                del self._held_back[uid]
                self._own.pop(uid, None)
        if 2 * len(self._held_back) > listed:
            self._held_back.clear()
        return before ^ set(self._held_back)

    def since(self, uid: str) -> datetime | None:
        """Since when the endpoint is left to the holder; None: it is not."""
        return self._held_back.get(uid)
