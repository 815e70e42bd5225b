"""Membership by SWIM with Lifeguard: probes, suspicion, and news piggybacked on probes. No I/O, no clock.

Each period a member probes one other, in random rotation. Without an acknowledgement it asks a few helpers to
probe that member, which tells a broken path between the two from a death. If they get none either, it spreads
the suspicion of that member, which then has some periods to refute it; fewer, the more members suspect it.
News about a member is ordered by its `revision` (SWIM's incarnation number), which only that member raises:
it goes above any news that says anything but that it is alive.

Lifeguard (Dadgar, Phillips, Currey 2018): a member that gets few acknowledgements, or was stalled, assumes
that the fault is its own and waits longer. A member has no disk: after a restart it begins at revision 0 and
goes above what it receives about itself. So the first news of a new incarnation may be ignored, but its
acknowledgements never are.

A member sends one probe a period and the acknowledgements, however many members there are. The time until all
know of a change grows with the logarithm of their number.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from enum import IntEnum


class Standing(IntEnum):
    """The state of a member. Of two news with one revision, the higher standing prevails."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class News:
    """A statement about a member, spread among the others."""

    name: str
    incarnation: int  # of its process; a random number
    revision: int
    standing: Standing
    zone: str = ""
    by: str = ""  # the member that suspects it, or declared it dead

    @property
    def rank(self) -> tuple[int, int, int]:
        """The order of news; the highest prevails.

        Between two incarnations with one revision any choice will do that all members share: the live one
        raises its revision above the other's.
        """
        return self.revision, int(self.standing), self.incarnation


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe of `about`: the receiver itself, or a member that the receiver probes as a helper."""

    number: int
    about: str
    news: tuple[News, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """The acknowledgement that `about` is alive, directly from it or passed on by a helper."""

    number: int
    about: str
    news: tuple[News, ...] = ()


Letter = tuple[str, Probe | Ack]  # receiver and message


@dataclass(frozen=True, slots=True)
class Pace:
    """The time between two probes, and limits relative to it."""

    period: timedelta
    direct: float = 0.3  # part of a period after which a probe without acknowledgement asks helpers
    least: float = 2.0  # periods that a suspected member has at least, before it is declared dead
    most: float = 5.0  # and at most
    helpers: int = 3  # members asked to probe on behalf of this one
    max_news: int = 6  # items piggybacked on a message
    max_health: int = 8  # highest health score; all times are multiplied by 1 + score

    def __post_init__(self) -> None:
        if self.period <= timedelta(0) or not 0 < self.direct < 1 or not 0 < self.least <= self.most:
            raise ValueError("pace: needs period > 0, 0 < direct < 1 and 0 < least <= most")


@dataclass(slots=True)
class MemberState:
    """What this member knows of another one."""

    news: News
    since: datetime  # start of this standing
    is_direct: bool = True  # the last acknowledgement came without a helper
    times_sent: int = 0  # how often its news was passed on
    suspects: set[str] = field(default_factory=set)
    suspected_until: datetime | None = None  # when a suspected member is declared dead
    # Its own news names another incarnation than `news`: it has to raise its revision above that.
    has_other_incarnation: bool = False


@dataclass(slots=True)
class OutstandingProbe:
    """A probe without an acknowledgement yet."""

    name: str
    number: int
    ask_helpers_at: datetime
    expires_at: datetime
    asked_helpers: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe sent on behalf of another member."""

    origin: str
    number: int  # of the origin's probe
    expires_at: datetime


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a member's standing or reachability, for the log."""

    name: str
    standing: Standing
    reason: str


class Members:
    """This member's view of the others. The methods return the letters to send."""

    def __init__(
        self, me: News, others: Mapping[str, str] | Iterable[str], pace: Pace, now: datetime, seed: int
    ) -> None:
        """`others`: the other members of the site; messages of anyone else are ignored.

        Each is assumed to be alive until its probes time out.
        """
        self.me, self.pace, self._random = me, pace, random.Random(seed)
        self._states = {name: MemberState(News(name, 0, 0, Standing.ALIVE), now) for name in others}
        self._order: list[str] = []
        self._probes: list[OutstandingProbe] = []
        self._relayed: dict[int, RelayedProbe] = {}
        self._last_number = 0
        self._health = 0  # Lifeguard's health score: 0 is healthy, higher is slower
        self._own_times_sent = 0
        self._next_probe = now + pace.period * self._random.random()
        self._last_tick: datetime | None = None
        self.changes: list[Change] = []  # the owner reports and clears them
        self.leaving = False

    # ---- queries ----

    @property
    def alive(self) -> set[str]:
        """The members alive or suspected, including this one."""
        return {self.me.name} | {
            name for name, state in self._states.items() if state.news.standing <= Standing.SUSPECTED
        }

    @property
    def health(self) -> int:
        return self._health

    @property
    def gone(self) -> set[str]:
        """The members that are dead or have left."""
        return {name for name, state in self._states.items() if state.news.standing > Standing.SUSPECTED}

    def rows(self) -> Iterator[tuple[News, MemberState | None]]:
        """This member's own news, then the news and state of each other member by name."""
        yield self.me, None
        yield from ((state.news, state) for _, state in sorted(self._states.items()))

    def standing(self, name: str) -> Standing | None:
        if name == self.me.name:
            return self.me.standing
        return self._states[name].news.standing if name in self._states else None

    def status_text(self, name: str) -> str:
        """The standing for display. `cut`: alive, but reachable through helpers only."""
        standing = self.standing(name)
        if standing is Standing.ALIVE and name in self._states and not self._states[name].is_direct:
            return "cut"
        return standing.name.lower() if standing is not None else "unknown"

    # ---- the list ----

    def set_members(self, others: Iterable[str], now: datetime) -> None:
        """Replaces the list of the other members; what is known of those that stay is kept."""
        names = set(others)
        for name in self._states.keys() - names:
            del self._states[name]
        self._probes = [probe for probe in self._probes if probe.name in names]
        for name in names - self._states.keys():
            self._states[name] = MemberState(News(name, 0, 0, Standing.ALIVE), now)

    # ---- time ----

    def tick(self, now: datetime) -> list[Letter]:
        """Sends probes and handles timeouts; called several times a period.

        A gap of more than a period means that this process was stalled or overloaded.
        """
        letters = list[Letter]()
        gap = now - self._last_tick if self._last_tick else timedelta(0)
        self._last_tick = now
        if gap > self.pace.period:  # acknowledgements could not be received: their absence means nothing
            self._worsen_health()
            self._probes.clear()
            for state in self._states.values():
                if state.suspected_until:
                    state.suspected_until += gap
        if self.leaving:
            return []
        for probe in list(self._probes):
            if now >= probe.expires_at:
                self._probes.remove(probe)
                self._worsen_health()
                self._suspect(probe.name, now)
            elif now >= probe.ask_helpers_at and not probe.asked_helpers:
                probe.asked_helpers = True
                letters += self._ask_helpers(probe)
        for state in self._states.values():
            if state.suspected_until and now >= state.suspected_until:
                news = replace(state.news, standing=Standing.DEAD, by=self.me.name)
                self._apply(state, news, now, f"suspicion not refuted, suspected by {len(state.suspects)}")
        for number in [n for n, relayed in self._relayed.items() if now >= relayed.expires_at]:
            del self._relayed[number]
        if now >= self._next_probe:
            self._next_probe = now + self.pace.period * (1 + self._health)
            if name := self._target():
                letters.append(self._probe(name, now))
        return letters

    def _target(self) -> str | None:
        """The next member to probe: each once in random order, then in a new one.

        So each is probed within twice as many periods as there are members. Dead members are probed too, less
        often, so that the two halves of a partitioned site find each other again.
        """
        for _ in range(len(self._states) + 1):
            if not self._order:
                self._order = sorted(self._states)
                self._random.shuffle(self._order)
            if not self._order:
                return None
            name = self._order.pop()
            if name not in self._states:
                continue
            standing = self._states[name].news.standing
            if standing <= Standing.SUSPECTED or self._random.random() < 0.5:
                return name
        return None

    def _probe(self, name: str, now: datetime) -> Letter:
        self._last_number += 1
        stretch = 1 + self._health
        self._probes.append(
            OutstandingProbe(
                name,
                self._last_number,
                now + self.pace.period * self.pace.direct * stretch,
                now + self.pace.period * stretch * 0.95,
            )
        )
        return name, Probe(self._last_number, name, self._news_for(name))

    def _ask_helpers(self, probe: OutstandingProbe) -> list[Letter]:
        others = [n for n, s in self._states.items() if n != probe.name and s.news.standing is Standing.ALIVE]
        helpers = self._random.sample(others, min(self.pace.helpers, len(others)))
        return [(name, Probe(probe.number, probe.name, self._news_for(name))) for name in helpers]

    def _worsen_health(self) -> None:
        self._health = min(self.pace.max_health, self._health + 1)

    # ---- messages and news ----

    def _news_for(self, receiver: str) -> tuple[News, ...]:
        """The news to piggyback on a message.

        First the news of this member; then the receiver's, if it is not known as alive, so that it can refute
        it; then the news passed on least often.
        """
        selected = [self.me]
        other = self._states.get(receiver)
        if other and (other.has_other_incarnation or other.news.standing is not Standing.ALIVE):
            selected.append(other.news)
        max_times = 3 * math.ceil(math.log2(len(self._states) + 2))
        recent = [
            s
            for s in self._states.values()
            if s.times_sent < max_times and s.news.revision + s.news.standing > 0
        ]
        recent.sort(key=lambda state: (state.times_sent, state.news.name))
        for state in recent[: self.pace.max_news - len(selected)]:
            if state is not other:
                state.times_sent += 1
                selected.append(state.news)
        return tuple(selected)

    def receive(self, sender: str, message: Probe | Ack, now: datetime) -> list[Letter]:
        """Handles a message. Messages of unknown senders are ignored."""
        if sender not in self._states or self.leaving:
            return []
        for news in message.news:
            self._learn(news, now, sender)
        match message:
            case Probe(number, about) if about == self.me.name:
                return [(sender, Ack(number, about, self._news_for(sender)))]
            case Probe(number, about) if about in self._states and about != sender:
                self._last_number += 1
                self._relayed[self._last_number] = RelayedProbe(sender, number, now + 2 * self.pace.period)
                return [(about, Probe(self._last_number, about, self._news_for(about)))]
            case Ack(number, about):
                if relayed := self._relayed.pop(number, None):
                    return [(relayed.origin, Ack(relayed.number, about, self._news_for(relayed.origin)))]
                self._handle_ack(number, about, sender, now)
        return []

    def _handle_ack(self, number: int, about: str, sender: str, now: datetime) -> None:
        probe = next((o for o in self._probes if o.number == number and o.name == about), None)
        if probe is None:
            return
        self._probes.remove(probe)
        self._health = max(0, self._health - 1)
        state = self._states[about]
        if state.is_direct != (sender == about):
            state.is_direct = sender == about
            reason = "reachable from here again" if state.is_direct else f"reachable only through {sender}"
            self.changes.append(Change(about, state.news.standing, reason))

    def connection_refused(self, name: str, now: datetime) -> None:
        """Suspects a member whose machine refuses connections.

        That does not prove its death, but there is no need to wait for a probe to time out.
        """
        state = self._states.get(name)
        if state and state.news.standing is Standing.ALIVE and not self.leaving:
            self._suspect(name, now)

    def _suspect(self, name: str, now: datetime) -> None:
        state = self._states.get(name)
        if state and state.news.standing <= Standing.SUSPECTED:
            news = replace(state.news, standing=Standing.SUSPECTED, by=self.me.name)
            self._learn(news, now, self.me.name)

    def _learn(self, news: News, now: datetime, sender: str) -> None:
        if news.name == self.me.name:
            return self._refute(news)
        state = self._states.get(news.name)
        if state is None:
            return None
        if news.standing is Standing.SUSPECTED and news.revision >= state.news.revision:
            is_new_suspicion = (news.by or sender) not in state.suspects
            if news.revision > state.news.revision or state.news.standing < Standing.SUSPECTED:
                state.suspects = {news.by or sender}
                self._apply(state, news, now, f"suspected by {news.by or sender}")
                state.suspected_until = now + self._suspicion_time(1)
            elif is_new_suspicion and state.suspected_until:  # an independent suspicion shortens the wait
                state.suspects.add(news.by or sender)
                state.suspected_until = min(
                    state.suspected_until, state.since + self._suspicion_time(len(state.suspects))
                )
                state.times_sent = 0
            return None
        if news.rank > state.news.rank:
            who = "itself" if sender == news.name else sender
            self._apply(state, news, now, f"says {who}")
        elif sender == news.name:
            state.has_other_incarnation = news.incarnation != state.news.incarnation
        return None

    def _suspicion_time(self, suspects: int) -> timedelta:
        """The time until a suspected member is declared dead.

        It falls from `most` to `least` with the logarithm of the number of suspecting members.
        """
        expected = min(self.pace.helpers, max(1, len(self._states) - 1))
        part = min(1.0, math.log(suspects) / math.log(expected + 1)) if expected > 1 else 1.0
        periods = self.pace.most - (self.pace.most - self.pace.least) * part
        scale = max(1.0, math.log10(len(self._states) + 2))
        return self.pace.period * periods * scale * (1 + self._health)

    def _refute(self, news: News) -> None:
        """Raises the own revision above news that it is not alive, or that is about another incarnation."""
        same = news.standing is Standing.ALIVE and news.incarnation == self.me.incarnation
        if news.revision < self.me.revision or same and news.revision <= self.me.revision:
            return
        if news.standing is Standing.SUSPECTED and news.incarnation == self.me.incarnation:
            self._worsen_health()  # its acknowledgements do not arrive in time: perhaps this process is slow
        self.me = replace(self.me, revision=news.revision + 1)
        self._own_times_sent = 0

    def _apply(self, state: MemberState, news: News, now: datetime, reason: str) -> None:
        before, state.news, state.times_sent, state.has_other_incarnation = state.news, news, 0, False
        if before.standing is not news.standing or before.incarnation not in (0, news.incarnation):
            state.since = now
            self.changes.append(Change(news.name, news.standing, reason))
        if news.standing is not Standing.SUSPECTED:
            state.suspected_until = None
            state.suspects.clear()

    # ---- the end ----

    def leave(self) -> list[Letter]:
        """Announces the end of this process to all members: one message to each, once."""
        if self.leaving:
            return []
        self.leaving = True
        self.me = replace(self.me, standing=Standing.LEFT)
        self._last_number += 1
        return [
            (name, Ack(0, self.me.name, (self.me,)))
            for name, state in self._states.items()
            if state.news.standing <= Standing.SUSPECTED
        ]
