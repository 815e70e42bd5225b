"""Who lives, after SWIM with Lifeguard: probes, suspicion, rumours on the back of both. No I/O, no clock.

Each period a member probes one other, in turns by chance. No answer: it asks a few others to try, so a cut
between the two is told from a death. Still none: it says that it suspects that member, who has some periods
to say that it lives; fewer, the more members suspect it. Words about a member are ordered by its `turn`,
which only that member raises: it goes above any word that says something else of it than that it lives.

Lifeguard (Dadgar, Phillips, Currey 2018): who gets few answers, or was halted, takes the fault for its own
and waits longer. A member has no disk: started anew it begins at turn 0 and goes above what it hears of
itself. So the first words of a new life may be passed over, its answers to probes never.

The cost for a member is one probe a period and its answers, however many members there are; how long until
all know grows with the logarithm of their number.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from enum import IntEnum


class Standing(IntEnum):
    """Of two words of one turn the higher counts."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class News:
    """A word about a member."""

    name: str
    life: int  # of its process
    turn: int
    standing: Standing
    zone: str = ""
    by: str = ""  # who suspects it

    @property
    def rank(self) -> tuple[int, int, int]:
        """Two lives at one turn: either, as long as all take the same. The one that lives goes above it."""
        return self.turn, int(self.standing), self.life


@dataclass(frozen=True, slots=True)
class Probe:
    """`about` is the receiver, or another that the receiver is to try."""

    number: int
    about: str
    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    number: int
    about: str
    news: tuple[News, ...] = ()


Letter = tuple[str, Probe | Ack]  # to whom


@dataclass(frozen=True, slots=True)
class Pace:
    """`period`: between two probes. Parts and multiples of it: what a direct answer may take, how long a
    suspected member has at least, and at most."""

    period: timedelta
    direct: float = 0.3
    least: float = 2.0
    most: float = 5.0
    helpers: int = 3
    words: int = 6  # on the back of a letter
    patience: int = 8  # the most that the own health may stretch all of it, less one

    def __post_init__(self) -> None:
        if self.period <= timedelta(0) or not 0 < self.direct < 1 or not 0 < self.least <= self.most:
            raise ValueError("pace: a period over 0, 0 < direct < 1 and 0 < least <= most are wanted")


@dataclass(slots=True)
class Seen:
    """What is known of another member."""

    news: News
    since: datetime  # of this standing
    direct: bool = True  # the last answer came without a helper
    times: int = 0  # that its news was passed on
    suspects: set[str] = field(default_factory=set)
    until: datetime | None = None  # suspected until then
    other_life: bool = False  # its own words are of another life than what is known: it has to go above that


@dataclass(slots=True)
class Out:
    """A probe that is not answered yet."""

    name: str
    number: int
    asks_at: datetime  # helpers, from then on
    ends: datetime
    helped: bool = False


@dataclass(frozen=True, slots=True)
class Errand:
    """A probe for somebody else."""

    origin: str
    number: int  # theirs
    ends: datetime


@dataclass(frozen=True, slots=True)
class Change:
    """What is to be told: a standing that is new here, and why."""

    name: str
    standing: Standing
    why: str


class Members:
    def __init__(
        self, me: News, others: Mapping[str, str] | Iterable[str], pace: Pace, now: datetime, seed: int
    ) -> None:
        """`others`: the list of the site; nobody else counts. Each is taken for alive until it is silent."""
        self.me, self.pace, self._random = me, pace, random.Random(seed)
        self._seen = {name: Seen(News(name, 0, 0, Standing.ALIVE), now) for name in others}
        self._order: list[str] = []
        self._out: list[Out] = []
        self._errands: dict[int, Errand] = {}
        self._number = 0
        self._health = 0  # 0: all is well here
        self._my_times = 0
        self._next = now + pace.period * self._random.random()
        self._ticked: datetime | None = None
        self.changes: list[Change] = []  # for whoever tells them, and takes them out
        self.leaving = False

    # ---- what others ask ----

    @property
    def alive(self) -> set[str]:
        """With this one, and with whoever is suspected alone."""
        return {self.me.name} | {
            name for name, seen in self._seen.items() if seen.news.standing <= Standing.SUSPECTED
        }

    @property
    def health(self) -> int:
        return self._health

    @property
    def gone(self) -> set[str]:
        return {name for name, seen in self._seen.items() if seen.news.standing > Standing.SUSPECTED}

    def rows(self) -> Iterator[tuple[News, Seen | None]]:
        yield self.me, None
        yield from ((seen.news, seen) for _, seen in sorted(self._seen.items()))

    def standing(self, name: str) -> Standing | None:
        if name == self.me.name:
            return self.me.standing
        return self._seen[name].news.standing if name in self._seen else None

    def word(self, name: str) -> str:
        """For people: `cut` is alive, and heard through others alone."""
        standing = self.standing(name)
        if standing is Standing.ALIVE and name in self._seen and not self._seen[name].direct:
            return "cut"
        return standing.name.lower() if standing is not None else "unknown"

    # ---- the list ----

    def listed(self, others: Iterable[str], now: datetime) -> None:
        names = set(others)
        for name in self._seen.keys() - names:
            del self._seen[name]
        self._out = [out for out in self._out if out.name in names]
        for name in names - self._seen.keys():
            self._seen[name] = Seen(News(name, 0, 0, Standing.ALIVE), now)

    # ---- time ----

    def tick(self, now: datetime) -> list[Letter]:
        """Called several times a period. Later than that: this process was halted, or is far too busy."""
        letters = list[Letter]()
        gap = now - self._ticked if self._ticked else timedelta(0)
        self._ticked = now
        if gap > self.pace.period:  # whatever was out had no chance: it says nothing of others
            self._worse()
            self._out.clear()
            for seen in self._seen.values():
                if seen.until:
                    seen.until += gap
        if self.leaving:
            return []
        for out in list(self._out):
            if now >= out.ends:
                self._out.remove(out)
                self._worse()
                self._suspect(out.name, now)
            elif now >= out.asks_at and not out.helped:
                out.helped = True
                letters += self._ask_helpers(out)
        for seen in self._seen.values():
            if seen.until and now >= seen.until:
                found = replace(seen.news, standing=Standing.DEAD, by=self.me.name)
                self._take(seen, found, now, f"silent, suspected by {len(seen.suspects)}")
        for number in [n for n, errand in self._errands.items() if now >= errand.ends]:
            del self._errands[number]
        if now >= self._next:
            self._next = now + self.pace.period * (1 + self._health)
            if name := self._target():
                letters.append(self._probe(name, now))
        return letters

    def _target(self) -> str | None:
        """Everybody once, in an order by chance, and anew: so each is tried within twice their number.
        The dead too, if seldom: two halves of a site that were cut apart find one another that way."""
        for _ in range(len(self._seen) + 1):
            if not self._order:
                self._order = sorted(self._seen)
                self._random.shuffle(self._order)
            if not self._order:
                return None
            name = self._order.pop()
            if name not in self._seen:
                continue
            standing = self._seen[name].news.standing
            if standing <= Standing.SUSPECTED or self._random.random() < 0.5:
                return name
        return None

    def _probe(self, name: str, now: datetime) -> Letter:
        self._number += 1
        stretch = 1 + self._health
        self._out.append(
            Out(
                name,
                self._number,
                now + self.pace.period * self.pace.direct * stretch,
                now + self.pace.period * stretch * 0.95,
            )
        )
        return name, Probe(self._number, name, self._words(name))

    def _ask_helpers(self, out: Out) -> list[Letter]:
        others = [n for n, s in self._seen.items() if n != out.name and s.news.standing is Standing.ALIVE]
        helpers = self._random.sample(others, min(self.pace.helpers, len(others)))
        return [(name, Probe(out.number, out.name, self._words(name))) for name in helpers]

    def _worse(self) -> None:
        self._health = min(self.pace.patience, self._health + 1)

    # ---- words ----

    def _words(self, to: str) -> tuple[News, ...]:
        """The own word first; what the receiver is thought to be, if that is not alive, so that it may
        object; then what was passed on least."""
        found = [self.me]
        other = self._seen.get(to)
        if other and (other.other_life or other.news.standing is not Standing.ALIVE):
            found.append(other.news)
        most = 3 * math.ceil(math.log2(len(self._seen) + 2))
        fresh = [s for s in self._seen.values() if s.times < most and s.news.turn + s.news.standing > 0]
        fresh.sort(key=lambda seen: (seen.times, seen.news.name))
        for seen in fresh[: self.pace.words - len(found)]:
            if seen is not other:
                seen.times += 1
                found.append(seen.news)
        return tuple(found)

    def heard(self, sender: str, what: Probe | Ack, now: datetime) -> list[Letter]:
        """Words of strangers are nothing."""
        if sender not in self._seen or self.leaving:
            return []
        for news in what.news:
            self._learn(news, now, sender)
        match what:
            case Probe(number, about) if about == self.me.name:
                return [(sender, Ack(number, about, self._words(sender)))]
            case Probe(number, about) if about in self._seen and about != sender:
                self._number += 1
                self._errands[self._number] = Errand(sender, number, now + 2 * self.pace.period)
                return [(about, Probe(self._number, about, self._words(about)))]
            case Ack(number, about):
                if errand := self._errands.pop(number, None):
                    return [(errand.origin, Ack(errand.number, about, self._words(errand.origin)))]
                self._answered(number, about, sender, now)
        return []

    def _answered(self, number: int, about: str, sender: str, now: datetime) -> None:
        out = next((o for o in self._out if o.number == number and o.name == about), None)
        if out is None:
            return
        self._out.remove(out)
        self._health = max(0, self._health - 1)
        seen = self._seen[about]
        if seen.direct != (sender == about):
            seen.direct = sender == about
            why = "heard itself again" if seen.direct else f"silent here, and heard by {sender}"
            self.changes.append(Change(about, seen.news.standing, why))

    def closed(self, name: str, now: datetime) -> None:
        """Its machine says that nobody listens there: no proof, but no reason to wait for long."""
        seen = self._seen.get(name)
        if seen and seen.news.standing is Standing.ALIVE and not self.leaving:
            self._suspect(name, now)

    def _suspect(self, name: str, now: datetime) -> None:
        seen = self._seen.get(name)
        if seen and seen.news.standing <= Standing.SUSPECTED:
            found = replace(seen.news, standing=Standing.SUSPECTED, by=self.me.name)
            self._learn(found, now, self.me.name)

    def _learn(self, news: News, now: datetime, sender: str) -> None:
        if news.name == self.me.name:
            return self._object(news)
        seen = self._seen.get(news.name)
        if seen is None:
            return None
        if news.standing is Standing.SUSPECTED and news.turn >= seen.news.turn:
            fresh = (news.by or sender) not in seen.suspects
            if news.turn > seen.news.turn or seen.news.standing < Standing.SUSPECTED:
                seen.suspects = {news.by or sender}
                self._take(seen, news, now, f"silent, says {news.by or sender}")
                seen.until = now + self._span(1)
            elif fresh and seen.until:  # another one's own finding: there is less need to wait
                seen.suspects.add(news.by or sender)
                seen.until = min(seen.until, seen.since + self._span(len(seen.suspects)))
                seen.times = 0
            return None
        if news.rank > seen.news.rank:
            who = "itself" if sender == news.name else sender
            self._take(seen, news, now, f"says {who}")
        elif sender == news.name:
            seen.other_life = news.life != seen.news.life
        return None

    def _span(self, suspects: int) -> timedelta:
        """From `most` to `least` with the logarithm of those who suspect."""
        wanted = min(self.pace.helpers, max(1, len(self._seen) - 1))
        part = min(1.0, math.log(suspects) / math.log(wanted + 1)) if wanted > 1 else 1.0
        periods = self.pace.most - (self.pace.most - self.pace.least) * part
        scale = max(1.0, math.log10(len(self._seen) + 2))
        return self.pace.period * periods * scale * (1 + self._health)

    def _object(self, news: News) -> None:
        """Somebody takes this process for something else than alive, or for the one before it."""
        same = news.standing is Standing.ALIVE and news.life == self.me.life
        if news.turn < self.me.turn or same and news.turn <= self.me.turn:
            return
        if news.standing is Standing.SUSPECTED and news.life == self.me.life:
            self._worse()  # others do not hear this one: perhaps it is late
        self.me = replace(self.me, turn=news.turn + 1)
        self._my_times = 0

    def _take(self, seen: Seen, news: News, now: datetime, why: str) -> None:
        before, seen.news, seen.times, seen.other_life = seen.news, news, 0, False
        if before.standing is not news.standing or before.life not in (0, news.life):
            seen.since = now
            self.changes.append(Change(news.name, news.standing, why))
        if news.standing is not Standing.SUSPECTED:
            seen.until = None
            seen.suspects.clear()

    # ---- the end ----

    def leave(self) -> list[Letter]:
        """To all: it costs as much as one period of heartbeats, once."""
        if self.leaving:
            return []
        self.leaving = True
        self.me = replace(self.me, standing=Standing.LEFT)
        self._number += 1
        return [
            (name, Ack(0, self.me.name, (self.me,)))
            for name, seen in self._seen.items()
            if seen.news.standing <= Standing.SUSPECTED
        ]
