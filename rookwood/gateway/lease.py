"""Leases between two sites: they let home know that the away side has stopped although the link is down.

After Gray and Cheriton, "Leases" (SOSP 1989). The away side requests a lease (PING, with its own
time), and the home side grants it by sending that time back (PONG). The lease runs from the time of the
*request*, by the away side's clock, so however late a grant arrives, it ends no later than `length` after the
home side sent it. The clocks need not agree, but must run at about the same speed; `margin` covers the
difference and the time it takes to close a connection.

A *term* ends when the home side declares silence: the lease has certainly expired without a new grant. Grants
and offers carry the term's number, and an offer of a term that has ended is never started.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

MARGIN = timedelta(milliseconds=150)  # for clock drift, and for closing the attempts' connections


@dataclass(slots=True)
class IssuedLease:
    """The lease that the home side has granted to one incarnation of a peer."""

    length: timedelta
    margin: timedelta = MARGIN
    term: int = 1
    last_grant_at: datetime | None = None  # when the last grant of this term was sent

    def grant(self, now: datetime) -> int:
        """Record that a grant is sent at `now`; returns its term."""
        self.last_grant_at = now
        return self.term

    def expires_at(self) -> datetime | None:
        """The time after which the away side has no open attempt. None if this term has no grant."""
        return self.last_grant_at and self.last_grant_at + self.length + self.margin

    def expire(self, now: datetime) -> bool:
        """End the term if its lease has certainly expired, and begin the next. True once for each term."""
        expires_at = self.expires_at()
        if expires_at is None or now < expires_at:
            return False
        self.term, self.last_grant_at = self.term + 1, None
        return True


@dataclass(slots=True)
class HeldLease:
    """The lease that the away side holds from one incarnation of a home."""

    length: timedelta
    term: int = 0
    valid_until: datetime | None = None

    def renew(self, term: int, requested_at: datetime) -> None:
        """Apply a grant, requested at `requested_at`. Late and duplicated grants change nothing."""
        if term < self.term:
            return
        if term > self.term:
            self.term, self.valid_until = term, None
        self.valid_until = max(self.valid_until or requested_at, requested_at + self.length)

    def is_valid(self, now: datetime, term: int | None = None) -> bool:
        """Whether the lease has not expired and, if a term is given, belongs to that term."""
        return self.valid_until is not None and now < self.valid_until and term in (None, self.term)
