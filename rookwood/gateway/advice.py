"""What one site knows of another's endpoints: who drains or is gone there. No I/O, no clock.

The near site may learn that a far endpoint drains before the far site does. What it knows goes with each job
and with each grant of the lease, so a lost message costs a tenth of a second and no promise. It is advice
that can only make the far side more careful: it stops an endpoint there, and it is dropped when the near
side takes it back, when the far side's own list has told of a later start of the endpoint, or with age.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

TOLD_FOR = timedelta(seconds=30)  # a stop is repeated for so long after home learned of it
HELD_FOR = timedelta(seconds=40)  # and believed for so long after it was last heard
MOST = 64  # stops in one message; the newest go


@dataclass(slots=True)
class Near:
    """At home: which far endpoints have stopped, and since when home knows."""

    _since: dict[str, datetime] = field(default_factory=dict)

    def told(self, uid: str, stopped: bool, now: datetime) -> bool:
        """Discovery has spoken of a far endpoint. True: this is news."""
        if not stopped:
            return self._since.pop(uid, None) is not None
        if uid in self._since:
            return False
        self._since[uid] = now
        return True

    def stops(self, now: datetime) -> list[tuple[str, timedelta]]:
        """Who has stopped and for how long home has known, newest first."""
        self._since = {uid: since for uid, since in self._since.items() if now - since < TOLD_FOR}
        newest = sorted(self._since.items(), key=lambda item: item[1], reverse=True)
        return [(uid, now - since) for uid, since in newest[:MOST]]


@dataclass(frozen=True, slots=True)
class Stopped:
    since: datetime  # home learned of it, by the clock here: no later than that
    until: datetime  # believed until then
    by: str


@dataclass(slots=True)
class Far:
    """Away: what homes have told of the endpoints here."""

    _stops: dict[str, Stopped] = field(default_factory=dict)

    def heard(
        self, by: str, stops: Iterable[tuple[str, timedelta]], transit: timedelta, now: datetime, whole: bool
    ) -> set[str]:
        """A message of a home, with its age on the way at most. `whole`: who is not named is stopped no more.
        Returns whose standing has changed."""
        named, changed = set[str](), set[str]()
        for uid, age in stops:
            named.add(uid)
            since = now - age - transit
            old = self._stops.get(uid)
            if old is None:
                changed.add(uid)
            self._stops[uid] = Stopped(min(since, old.since) if old else since, now + HELD_FOR, by)
        if whole:
            for uid in [u for u, stop in self._stops.items() if stop.by == by and u not in named]:
                del self._stops[uid]
                changed.add(uid)
        return changed

    def aged(self, now: datetime) -> set[str]:
        """Whom nobody has spoken of for long; believed no more."""
        old = {uid for uid, stop in self._stops.items() if now >= stop.until}
        for uid in old:
            del self._stops[uid]
        return old

    def started(self, uid: str, at: datetime | None) -> bool:
        """The own list names a start of the endpoint. Later than the advice, it ends that."""
        stop = self._stops.get(uid)
        if stop is None or at is None or at <= stop.since:
            return False
        del self._stops[uid]
        return True

    def since(self, uid: str) -> datetime | None:
        stop = self._stops.get(uid)
        return stop.since if stop else None
