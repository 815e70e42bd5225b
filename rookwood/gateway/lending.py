"""How many slots a site lends, and how they are dealt out to the homes that ask. No I/O, no clock.

Own traffic goes first: what is lent is what own traffic leaves free, less a reserve, and never over a share
of the site. It falls at once and rises slowly, so that a lull of a moment draws no crowd of guests. What is
free goes to the homes in turns.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TypeVar

from rookwood import interface as api
from rookwood.net.dispatcher_group import DispatcherGroup

H = TypeVar("H", bound=Hashable)
LENDING = "lending"  # the duty of the one dispatcher that lends what is spare at a site, where duties are on
RISE = timedelta(milliseconds=300)  # so long until what is lent has risen by most of a step
LEAST_WANT = 1.0
FADE = 0.9  # of what a home has had, from one interval to the next


@dataclass(frozen=True, slots=True)
class Home:
    want: float  # slots that its waiting jobs would take
    guests: float  # slots that its jobs take here


@dataclass(slots=True)
class Lender:
    lend: float  # share of the site's slots, for guests at most
    reserve: float  # share kept free for own traffic
    tier: DispatcherGroup  # the dispatchers of this site, among whom its slots are shared
    lent: float = 0.0  # slots, guests here included
    _at: datetime | None = None

    def update(self, now: datetime, told: api.SiteLoad, guests: float, speaks: bool = True) -> float:
        """Slots that this dispatcher lends now in all; `guests` are taken by them already. Who does not
        speak for the site keeps the guests it has and lends nothing more."""
        spare = told.slots * (1 - self.reserve) - told.used_slots - told.held_slots * self.tier.count
        # All that is spare is offered by whoever lends: a part of it would often hold no large job. Where
        # nobody speaks for the site each dispatcher lends, so two may lend the same slots at once; guests
        # then find no room, and go back after a short wait.
        goal = max(0.0, min(self.lend * told.slots, guests + spare)) if speaks else guests
        age = now - self._at if self._at else RISE
        self._at = now
        if goal < self.lent:
            self.lent = goal
        else:
            self.lent += (1 - math.exp(-(age / RISE))) * (goal - self.lent)
        return self.lent


class Turns:
    """Who may use what is spare: one home at a time, for one interval.

    Dealt out in parts, what is spare would often hold no large job for anybody. So all of it goes to the home
    that wants something and has had least, after deficit round robin (Shreedhar and Varghese, SIGCOMM 1995).
    Where nobody wants anything it goes round all the same: a sudden rise need not wait for a round trip.
    """

    def __init__(self) -> None:
        self._had: dict[Hashable, float] = {}  # slots lent to a home, summed over intervals, decayed

    def deal(self, total: float, homes: Mapping[H, Home]) -> dict[H, float]:
        """Credit of each home: what its guests take here, and in its turn all that is spare as well."""
        for who in [who for who in self._had if who not in homes]:
            del self._had[who]
        if not homes:
            return {}
        spare = max(0.0, total - sum(home.guests for home in homes.values()))
        wanting = [who for who, home in homes.items() if home.want > 0] or list(homes)
        turn = min(wanting, key=lambda who: (self._had.get(who, 0.0), str(who)))
        for who, home in homes.items():
            used = home.guests + (min(spare, max(LEAST_WANT, home.want)) if who == turn else 0.0)
            self._had[who] = FADE * self._had.get(who, 0.0) + used
        return {who: home.guests + (spare if who == turn else 0.0) for who, home in homes.items()}
