"""How many slots a site lends, and how they are shared among the homes that request them.

The site's own traffic has priority: a site lends what its own traffic leaves free, less a reserve, and never
more than a configured share of its slots. The number falls at once and rises slowly, so that a short lull
does not attract a burst of guests. The spare slots go to one home at a time, in turn.

This module uses no I/O and no clock.
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
LENDING = "lending"  # where duties are enabled, only the dispatcher with this duty lends spare slots
RISE_TIME = timedelta(milliseconds=300)  # time constant with which the lent slots approach a higher target
MIN_WANTED_SLOTS = 1.0  # counted as used by the home whose turn it is, even if it wants fewer
USAGE_DECAY = 0.9  # applied to each home's past usage at each interval


@dataclass(frozen=True, slots=True)
class HomeDemand:
    """What one home uses and wants of the slots here."""

    wanted_slots: float  # that its waiting jobs would take
    guest_slots: float  # that its jobs take here


@dataclass(slots=True)
class Lender:
    """Computes how many slots this dispatcher lends."""

    max_share: float  # the largest share of the site's slots that guests may take
    reserved_share: float  # the share kept free for the site's own traffic
    group: DispatcherGroup  # the dispatchers of this site, among whom its slots are shared
    lent_slots: float = 0.0  # including those that guests take now
    _updated_at: datetime | None = None

    def update(self, now: datetime, load: api.SiteLoad, guest_slots: float, may_lend: bool = True) -> float:
        """Return the total of slots that this dispatcher lends now, including the `guest_slots` in use.

        Without `may_lend` the target is the slots that guests already take, so nothing more is lent.
        """
        spare = load.slots * (1 - self.reserved_share) - load.used_slots - load.held_slots * self.group.count
        # Each lender offers all spare slots, because a part of them would often not hold a large job. Where
        # duties are off every dispatcher lends, so two may lend the same slots at once; guests then find no
        # free slot and are handed back after a short wait.
        target = max(0.0, min(self.max_share * load.slots, guest_slots + spare)) if may_lend else guest_slots
        elapsed = now - self._updated_at if self._updated_at else RISE_TIME
        self._updated_at = now
        if target < self.lent_slots:
            self.lent_slots = target
        else:
            self.lent_slots += (1 - math.exp(-(elapsed / RISE_TIME))) * (target - self.lent_slots)
        return self.lent_slots


class SpareAllocator:
    """Gives the spare slots to one home at a time, for one interval.

    If they were split, no home's part might hold a large job. So all of them go to the home that wants slots
    and has used the least, after deficit round robin (Shreedhar and Varghese, SIGCOMM 1995). If no home wants
    slots they rotate among all homes, so that a sudden rise in demand need not wait for a round trip.
    """

    def __init__(self) -> None:
        self._usage: dict[Hashable, float] = {}  # slots lent to each home, summed over intervals with decay

    def allocate(self, total: float, homes: Mapping[H, HomeDemand]) -> dict[H, float]:
        """Return each home's credit: the slots its guests take, plus all spare ones if it is its turn."""
        for key in [key for key in self._usage if key not in homes]:
            del self._usage[key]
        if not homes:
            return {}
        spare = max(0.0, total - sum(home.guest_slots for home in homes.values()))
        candidates = [key for key, home in homes.items() if home.wanted_slots > 0] or list(homes)
        next_key = min(candidates, key=lambda key: (self._usage.get(key, 0.0), str(key)))
        for key, home in homes.items():
            used = home.guest_slots + (
                min(spare, max(MIN_WANTED_SLOTS, home.wanted_slots)) if key == next_key else 0.0
            )
            self._usage[key] = USAGE_DECAY * self._usage.get(key, 0.0) + used
        return {key: home.guest_slots + (spare if key == next_key else 0.0) for key, home in homes.items()}
