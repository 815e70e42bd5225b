"""Detects a store that has gone back in time, and decides when a missing record again means a free key.

No I/O, no clock. The store keeps a `Mark` of its history; every reply carries it with the server's run id.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum


class History(Enum):
    """How the history in a reply relates to the one that a dispatcher knows."""

    SAME = "same"
    NEW = "new"  # another dispatcher has begun a new history: this one has to write its claims again
    BROKEN = "broken"  # the store has lost changes and no new history has begun: one has to be begun


@dataclass(frozen=True, slots=True)
class Mark:
    """Identifies a history of the store and its progress. Stored and sent under these field names."""

    generation: str  # a random id, drawn for each new history; empty: the store is empty
    run_id: str  # of the server on which this history began
    count: int  # number of claims, and the highest token; never decreases within a history
    began: datetime
    trusted: bool = False  # no record was lost before it began: the first history, begun on an empty store

    def with_count(self, count: int) -> Mark:
        return replace(self, count=count)


@dataclass(frozen=True, slots=True)
class Member:
    """A dispatcher that has written its claims to the store in this generation."""

    name: str
    alive_since: datetime  # by the store's clock


@dataclass(slots=True)
class KnownHistory:
    """The store's history as far as one dispatcher knows it."""

    generation: str = ""
    count: int = 0

    def compare(self, run_id: str, mark: Mark) -> History:
        """Compares the history of a reply with the known one, before anything else in the reply is used.

        An empty store may have lost everything, and so may one on another server than its history began on.
        """
        if not mark.generation or mark.run_id != run_id:
            return History.BROKEN
        if mark.generation != self.generation:
            return History.NEW
        return History.SAME if mark.count >= self.count else History.BROKEN

    def update(self, mark: Mark) -> None:
        """Records a history, and its claim count, as known."""
        if mark.generation != self.generation:
            self.generation, self.count = mark.generation, 0
        self.count = max(self.count, mark.count)


def new_mark(
    old: Mark | None, generation: str, run_id: str, known: int, now: datetime, trusted: bool = False
) -> Mark:
    """The mark of a new history. Its tokens are above every known one, so old tokens stay invalid."""
    return Mark(generation, run_id, max(old.count if old else 0, known) + 1, now, trusted)


def all_members_vouch(
    members: Mapping[str, Member], dispatchers: int, window: timedelta, began: datetime
) -> bool:
    """Whether enough dispatchers have written their claims again, each alive for the window before `began`.

    Then no record that still matters is missing: any claim of that window is known to its dispatcher.
    """
    vouching = [m for m in members.values() if m.alive_since <= began - window]
    return len(vouching) >= dispatchers


def is_absent_key_free(
    mark: Mark, members: Mapping[str, Member], dispatchers: int, window: timedelta, now: datetime
) -> bool:
    """Whether a key without a record is free, rather than one whose record may have been lost."""
    if mark.trusted or now >= mark.began + window:
        return True
    return all_members_vouch(members, dispatchers, window, mark.began)
