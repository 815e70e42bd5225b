"""Leases between two sites: how the home side knows that the away side has stopped, when nothing is heard.

After Gray and Cheriton, "Leases" (SOSP 1989). The away side asks (PING, with its own time), the home side
grants by sending that time back (PONG). The lease runs from when it was *asked for*, by the away side's
clock, so however late a grant arrives, it ends no later than `length` after the home side sent it. Clocks
need not agree; they must run at about the same speed, which `margin` covers, with the time it takes to
close a connection.

A *term* counts how often the home side has declared silence. Grants and offers carry it: an offer of a term
that has ended is never started.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

MARGIN = timedelta(milliseconds=150)


@dataclass(slots=True)
class Granted:
    """At home: what this side has promised to one life of a peer."""

    length: timedelta
    margin: timedelta = MARGIN
    term: int = 1
    last: datetime | None = None  # when the last grant of this term was sent

    def grant(self, now: datetime) -> int:
        """A grant goes out; its term."""
        self.last = now
        return self.term

    def ends(self) -> datetime | None:
        """After this no attempt is out over there. None: nothing was granted in this term."""
        return self.last and self.last + self.length + self.margin

    def silence(self, now: datetime) -> bool:
        """True once, when the term has ended for certain; the next one begins with it."""
        ends = self.ends()
        if ends is None or now < ends:
            return False
        self.term, self.last = self.term + 1, None
        return True


@dataclass(slots=True)
class Held:
    """Away: what this side holds from one life of a home."""

    length: timedelta
    term: int = 0
    until: datetime | None = None

    def granted(self, term: int, asked: datetime) -> None:
        """A grant has come for what was asked for at `asked`. Late and doubled ones change nothing."""
        if term < self.term:
            return
        if term > self.term:
            self.term, self.until = term, None
        self.until = max(self.until or asked, asked + self.length)

    def runs(self, now: datetime, term: int | None = None) -> bool:
        """Whether the lease runs, and is of this term."""
        return self.until is not None and now < self.until and term in (None, self.term)
