"""Advice between sites: the home site reports which endpoints of the away site drain or are gone.

The home site may learn that an away endpoint drains before the away site does. It sends the list with each
offer and with each lease grant, so a lost message delays the advice by a tenth of a second and breaks no
guarantee. Advice can only make the away site more careful: the away site stops using the endpoint. The advice
is dropped when the home site withdraws it, when the away site's own discovery reports a later start of the
endpoint, or when it is too old.

This module uses no I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

ADVICE_REPEAT_PERIOD = timedelta(seconds=30)  # how long home repeats a stop after it learned of it
ADVICE_LIFETIME = timedelta(seconds=40)  # how long the away site believes a stop after the last message
MAX_STOPS = 64  # in one message; the newest are sent


@dataclass(slots=True)
class OutgoingAdvice:
    """The away endpoints that have stopped, and when the home site learned of it. Kept at home."""

    _stopped_at: dict[str, datetime] = field(default_factory=dict)

    def record_state(self, uid: str, stopped: bool, now: datetime) -> bool:
        """Record what discovery reports of an away endpoint. True if that is a change."""
        if not stopped:
            return self._stopped_at.pop(uid, None) is not None
        if uid in self._stopped_at:
            return False
        self._stopped_at[uid] = now
        return True

    def recent_stops(self, now: datetime) -> list[tuple[str, timedelta]]:
        """Return each stopped endpoint and how long home has known of it, newest first."""
        self._stopped_at = {
            uid: since for uid, since in self._stopped_at.items() if now - since < ADVICE_REPEAT_PERIOD
        }
        newest = sorted(self._stopped_at.items(), key=lambda item: item[1], reverse=True)
        return [(uid, now - since) for uid, since in newest[:MAX_STOPS]]


@dataclass(frozen=True, slots=True)
class StopAdvice:
    """Advice that an endpoint of this site has stopped."""

    stopped_at: datetime  # latest time, by the local clock, at which home learned of it
    valid_until: datetime
    source: str  # name of the home gateway


@dataclass(slots=True)
class ReceivedAdvice:
    """The advice that homes have sent about endpoints of this site. Kept at the away site."""

    _stops: dict[str, StopAdvice] = field(default_factory=dict)

    def receive(
        self,
        source: str,
        stops: Iterable[tuple[str, timedelta]],
        transit: timedelta,
        now: datetime,
        is_full_list: bool,
    ) -> set[str]:
        """Record the stops in a message from a home that took at most `transit` to arrive.

        A full list also withdraws this home's earlier advice about endpoints that it does not name. Returns
        the endpoints for which advice was added or withdrawn.
        """
        named, changed = set[str](), set[str]()
        for uid, age in stops:
            named.add(uid)
            since = now - age - transit
            known = self._stops.get(uid)
            if known is None:
                changed.add(uid)
            self._stops[uid] = StopAdvice(
                min(since, known.stopped_at) if known else since, now + ADVICE_LIFETIME, source
            )
        if is_full_list:
            for uid in [u for u, stop in self._stops.items() if stop.source == source and u not in named]:
                del self._stops[uid]
                changed.add(uid)
        return changed

    def expire(self, now: datetime) -> set[str]:
        """Drop advice that has not been repeated for too long; returns its endpoints."""
        expired = {uid for uid, stop in self._stops.items() if now >= stop.valid_until}
        for uid in expired:
            del self._stops[uid]
        return expired

    def record_start(self, uid: str, at: datetime | None) -> bool:
        """Record a start that this site's discovery reports; True if it ends the advice, being later."""
        stop = self._stops.get(uid)
        if stop is None or at is None or at <= stop.stopped_at:
            return False
        del self._stops[uid]
        return True

    def stopped_since(self, uid: str) -> datetime | None:
        """The time since which the endpoint is advised to be stopped, or None."""
        stop = self._stops.get(uid)
        return stop.stopped_at if stop else None
