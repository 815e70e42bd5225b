"""Rolls (rolling restarts): every dispatcher of a site restarts once, at most k at a time. No I/O, no clock.

A roll names the processes that are to end by their incarnations: a member with another incarnation has
already restarted. So a roll has no leader, and no state beyond the roll itself, which all members pass on;
a member that crashes meanwhile has restarted once it is back.

A member that is to end first acquires one of k places, each a duty with a lease; they are numbered from 1.
It then queries all other members repeatedly, and begins to drain once both of these hold:

- fewer members than the number of its place are not ready, counting only answers to queries no older than
  `max_answer_age`. An answer is given after its query was sent, so message delays do not matter;
- it has held the place for k + 1 times `max_answer_age`.

Why a roll takes down at most k members: let c be the last to begin. A member that is down without c knowing
it began less than `max_answer_age` ago, so no other member can use its place yet. Of these members and c,
take the one with the lowest place, q: it knew of fewer than q members that were down, except for those that
began less than `max_answer_age` before it; repeat the argument with those. Each round lowers q, so it ends
after at most k rounds. All members that began within these rounds still have places of their own, none below
the last q, and fewer than that q began before them. Together they are at most k.

A member that is down for another reason counts as not ready too, for `patience`. After that the roll goes on
without it as long as a majority stays ready.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

KEPT_QUERIES = 32  # sent queries whose time is remembered


def place_duties(count: int) -> tuple[str, ...]:
    """The names of the duties that stand for the places of a roll."""
    return tuple(f"roll-{n}" for n in range(1, count + 1))


@dataclass(frozen=True, slots=True, order=True)
class Roll:
    """One rolling restart. Rolls are ordered, so that of two started at once all members choose the same."""

    number: int = 0
    starter: str = ""
    # Member and incarnation of each process that is to end; empty if the roll was stopped.
    incarnations: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True)
class MemberState:
    """What a member last reported of itself."""

    incarnation: int
    ready: bool
    answered_query: int = 0  # the highest number of a query that it has answered
    received_at: datetime | None = None


@dataclass(slots=True)
class Roller:
    """One member's part in a roll: what it knows of the others, and whether it may begin to drain."""

    me: str
    incarnation: int
    patience: timedelta
    max_answer_age: timedelta
    place_count: int = 1
    roll: Roll = Roll()
    has_begun: bool = False  # this process drains for the roll
    _states: dict[str, MemberState] = field(default_factory=dict)
    _not_ready_since: dict[str, datetime] = field(default_factory=dict)  # members that are not ready
    _last_query: int = 0
    _query_times: dict[int, datetime] = field(default_factory=dict)  # when each of the last queries was sent
    _held_place: int = 0
    _place_since: datetime | None = None  # when the place was acquired

    def record_report(
        self, name: str, incarnation: int, ready: bool, answered_query: int, roll: Roll, now: datetime
    ) -> None:
        """Stores a member's report, and adopts its roll if that is the later one."""
        previous = self._states.get(name)
        answered_query = max(
            answered_query, previous.answered_query if previous and previous.incarnation == incarnation else 0
        )
        self._states[name] = MemberState(incarnation, ready, answered_query, now)
        if ready:
            self._not_ready_since.pop(name, None)
        else:
            self._not_ready_since.setdefault(name, now)
        self.roll = max(self.roll, roll)

    def record_loss(self, name: str, now: datetime) -> None:
        """Counts the member as not ready, since it is no longer alive."""
        if state := self._states.get(name):
            state.ready = False
        self._not_ready_since.setdefault(name, now)

    def begin(self, members: Iterable[str], left_out: Iterable[str] = ()) -> str:
        """Starts a roll of all members but those left out. Returns why it cannot start, or an empty string.

        The incarnation of each member that is to restart must be known.
        """
        incarnations = {name: state.incarnation for name, state in self._states.items()} | {
            self.me: self.incarnation
        }
        restarting = [name for name in sorted(members) if name not in set(left_out)]
        if missing := [name for name in restarting if name not in incarnations]:
            return f"never heard: {', '.join(missing)}"
        if self.pending:
            return f"roll {self.roll.number} is not done: {', '.join(self.pending)}"
        self.roll = Roll(
            self.roll.number + 1, self.me, tuple((name, incarnations[name]) for name in restarting)
        )
        return ""

    def stop(self) -> None:
        """Replaces the roll by a later one that restarts nobody."""
        self.roll = Roll(self.roll.number + 1, self.me)

    @property
    def pending(self) -> list[str]:
        """Members that have not restarted yet, as far as known here."""
        incarnations = {name: state.incarnation for name, state in self._states.items()} | {
            self.me: self.incarnation
        }
        return [name for name, incarnation in self.roll.incarnations if incarnations.get(name) == incarnation]

    @property
    def is_due(self) -> bool:
        """Whether this process is still to end by the roll."""
        return (self.me, self.incarnation) in self.roll.incarnations

    def set_held_place(self, place: int, now: datetime) -> None:
        """Sets the place held, from 1; 0 for none. Is to be called often enough to see every change."""
        if place != self._held_place:
            self._held_place, self._place_since = place, now

    def next_query(self, now: datetime) -> int:
        """Numbers the next query to all other members and records when it is sent."""
        self._last_query += 1
        self._query_times[self._last_query] = now
        self._query_times.pop(self._last_query - KEPT_QUERIES, None)
        return self._last_query

    def waiting_for(self, members: Iterable[str], now: datetime) -> list[str]:
        """Members that are not ready, or whose last answer is to a query older than `max_answer_age`."""
        waiting = []
        for name in members:
            state = self._states.get(name)
            sent_at = self._query_times.get(state.answered_query) if state and state.ready else None
            if name != self.me and (sent_at is None or now - sent_at > self.max_answer_age):
                waiting.append(name)
        return sorted(waiting)

    def may_begin(self, members: Iterable[str], now: datetime) -> bool:
        """Whether this process may begin to drain now."""
        if not self.is_due or self.has_begun or not (self._held_place and self._place_since):
            return False
        if now - self._place_since < self.max_answer_age * (self.place_count + 1):
            return False
        names = set(members)
        missing = self.waiting_for(names, now)
        ignored = {
            n
            for n in missing
            if n in self._not_ready_since and now - self._not_ready_since[n] >= self.patience
        }
        majority = len(names) // 2 + 1
        if ignored and len(names) - len(missing) - 1 < majority:
            ignored = set()  # too few ready members would remain, so wait for those too
        return len(set(missing) - ignored) < self._held_place
