"""Notices a store that has gone back in time, and decides when its silence on a key can be trusted again.

No I/O, no clock. The store holds a `Mark`; every reply carries it, with the server's run id.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum


class History(Enum):
    """How a reply's history stands to the one that is known here."""

    SAME = "same"
    NEW = "new"  # another dispatcher has begun a new one: claims here are to be written again
    BROKEN = "broken"  # it does not continue, and nobody has said so: a new one is to be begun


@dataclass(frozen=True, slots=True)
class Mark:
    """What the store says of its own history."""

    generation: str  # made up anew whenever a history does not continue; empty: an empty store
    run_id: str  # of the server on which this history began
    count: int  # claims in all; never falls within a history
    began: datetime
    trusted: bool = False  # nothing was lost before it began: the tier's first history, begun on purpose

    def counted(self, count: int) -> Mark:
        return replace(self, count=count)


@dataclass(frozen=True, slots=True)
class Member:
    """A dispatcher that has written its claims again in this generation."""

    name: str
    alive_since: datetime  # by the store's clock


@dataclass(slots=True)
class Watch:
    """One dispatcher's memory of the store's history."""

    generation: str = ""
    count: int = 0

    def judge(self, run_id: str, mark: Mark) -> History:
        """Of each reply, before anything in it is believed. An empty store may have lost everything, and so
        may one that runs on another server than its history began on."""
        if not mark.generation or mark.run_id != run_id:
            return History.BROKEN
        if mark.generation != self.generation:
            return History.NEW
        return History.SAME if mark.count >= self.count else History.BROKEN

    def saw(self, mark: Mark) -> None:
        """The history is known here from now on."""
        if mark.generation != self.generation:
            self.generation, self.count = mark.generation, 0
        self.count = max(self.count, mark.count)


def new_mark(
    old: Mark | None, generation: str, run_id: str, known: int, now: datetime, trusted: bool = False
) -> Mark:
    """The mark of a new history. Tokens go on above every one that is known, so old ones stay stale."""
    return Mark(generation, run_id, max(old.count if old else 0, known) + 1, now, trusted)


def vouched(members: Mapping[str, Member], tier: int, window: timedelta, began: datetime) -> bool:
    """Whether the whole tier has written its claims again, each having lived through the window before the
    new history began: then nothing is missing but what nobody ever did."""
    whole = [m for m in members.values() if m.alive_since <= began - window]
    return len(whole) >= tier


def trusts(mark: Mark, members: Mapping[str, Member], tier: int, window: timedelta, now: datetime) -> bool:
    """Whether a key without a record is free."""
    if mark.trusted or now >= mark.began + window:
        return True
    return vouched(members, tier, window, mark.began)
