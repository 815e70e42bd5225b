"""Which job crosses, and to whom. No I/O, no clock: the caller names the time.

Only a job that waits at home may cross: what the policy can place at once is served here, and where a job
goes *within* a site stays with the policy. Crossing has a price, so a job crosses only if what it brings is
worth more. That is the larger of two things:

- its own worth, times how likely it would come too late here;
- the worth that others bring with the slots it would have taken here: its slot-seconds, times the worth of a
  slot-second of the least valuable class that is turned away in a jam.

Work must not swing between the sites. Crossing begins when the pressure at home passes `enter` and ends only
below `leave`; a job crosses once; guests never cross; and a peer that handed jobs back is left alone for a
while, longer each time (truncated exponential back-off).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from rookwood import interface as api

SMOOTH = timedelta(milliseconds=250)  # pressure is averaged over this
BACK_OFF, LONGEST_BACK_OFF = timedelta(milliseconds=50), timedelta(seconds=2)
DOUBT = 0.7  # a link's trust after a failure, multiplied
HEAL = 0.05  # and how much of what is missing each answer brings back
LEAST_TRUST = 0.2  # below it, what must not run twice does not go there


@dataclass(frozen=True, slots=True)
class Prices:
    price: float  # of a crossing, in mean jobs' worth
    enter: float
    leave: float


@dataclass(frozen=True, slots=True)
class Waiting:
    """A job that waits at home and may cross."""

    id: int
    job_class: str
    slots: float
    since: datetime
    deadline: datetime


@dataclass(slots=True)
class Peer:
    """What is known of one life of one peer's lending."""

    site: str
    name: str
    ready: bool = False  # hello done, lease granted, not leaving
    credit: float = 0.0  # slots it lends to this home, by its last word
    out: float = 0.0  # slots of own jobs there
    jobs: int = 0
    trust: float = 1.0
    rtt: timedelta = timedelta(0)
    away_until: datetime | None = None  # left alone until then
    _refusals: int = 0

    def free(self, now: datetime) -> float:
        """Slots that may be handed over now."""
        if not self.ready or (self.away_until and now < self.away_until):
            return 0.0
        return max(0.0, self.credit - self.out)

    def took(self, slots: float) -> None:
        self.out, self.jobs = self.out + slots, self.jobs + 1

    def gave_back(self, slots: float) -> None:
        self.out, self.jobs = max(0.0, self.out - slots), self.jobs - 1

    def served(self) -> None:
        self._refusals, self.away_until = 0, None
        self.trust += HEAL * (1 - self.trust)

    def refused(self, now: datetime) -> None:
        """It handed a job back: it lends less than it said."""
        wait = min(LONGEST_BACK_OFF, BACK_OFF * 2 ** min(10, self._refusals))
        self._refusals, self.away_until = self._refusals + 1, now + wait

    def failed(self) -> None:
        """A job was lost there, or the link fell silent with it."""
        self.trust = max(0.01, self.trust * DOUBT)


@dataclass(slots=True)
class Router:
    classes: Mapping[str, api.JobClass]
    prices: Prices
    max_jobs: int
    crossing: bool = False  # the hysteresis: jobs cross now
    pressure: float = 0.0  # smoothed: slots taken and waited for, over slots
    _at: datetime | None = None
    _seen: dict[str, float] = field(default_factory=dict)  # how often each class came, decayed

    def came(self, job_class: str) -> None:
        """A request came to this dispatcher."""
        for name in self._seen:
            self._seen[name] *= 0.999
        self._seen[job_class] = self._seen.get(job_class, 0.0) + 1

    def observe(self, now: datetime, told: api.SiteLoad) -> None:
        """How full the home site is now."""
        if told.slots <= 0:
            new = math.inf if told.held_slots or told.used_slots else 0.0
        else:
            new = (told.used_slots + told.held_slots) / told.slots
        new = min(new, 10.0)
        part = 1 - math.exp(-((now - self._at) / SMOOTH)) if self._at else 1.0
        self.pressure, self._at = self.pressure + part * (new - self.pressure), now
        if self.pressure >= self.prices.enter:
            self.crossing = True
        elif self.pressure < self.prices.leave:
            self.crossing = False

    def mean_worth(self) -> float:
        total = sum(self._seen.values())
        return sum(n * self.classes[name].worth for name, n in self._seen.items()) / total if total else 0.0

    def shadow(self, told: api.SiteLoad) -> float:
        """Worth of a slot-second at home in a jam: of the least valuable class that comes at all."""
        total = sum(self._seen.values())
        usual = [name for name, n in self._seen.items() if n > 0.02 * total]
        return min(
            (self.classes[n].worth / max(1e-3, told.mean_service_s.get(n, 1.0)) for n in usual), default=0.0
        )

    def gain(self, job: Waiting, told: api.SiteLoad, now: datetime) -> float:
        """What crossing brings over staying, in worth, its price taken off."""
        cls = self.classes[job.job_class]
        service = told.mean_service_s.get(job.job_class, 1.0)
        late = 1 - 1 / max(1.0, self.pressure)
        frees = self.shadow(told) * service * job.slots
        in_time = self.in_time(job, told, now)
        worth = cls.worth if in_time else 0.0
        return max(worth * late, frees if in_time else 0.0) - self.prices.price * self.mean_worth()

    def in_time(self, job: Waiting, told: api.SiteLoad, now: datetime, rtt: timedelta = timedelta(0)) -> bool:
        """Whether it could still be in time if it began at once over there."""
        cls = self.classes[job.job_class]
        service = timedelta(seconds=told.mean_service_s.get(job.job_class, 1.0))
        slack = timedelta(microseconds=cls.aim) + (cls.stretch - 1) * service
        return now + rtt <= min(job.since + slack, job.deadline - service)

    def choose(
        self, waiting: Iterable[Waiting], peers: Iterable[Peer], told: api.SiteLoad, now: datetime
    ) -> list[tuple[Waiting, Peer]]:
        """Who crosses now, best first: what brings most for each slot lent goes where most is lent."""
        self.observe(now, told)
        if not self.crossing:
            return []
        able = [p for p in peers if p.free(now) > 0 and p.jobs < self.max_jobs]
        if not able:
            return []
        gains = [(self.gain(job, told, now), job) for job in waiting]
        ranked = sorted(
            ((gain / max(job.slots, 0.1), job) for gain, job in gains if gain > 0),
            key=lambda pair: (-pair[0], pair[1].since, pair[1].id),
        )
        free = {id(p): p.free(now) for p in able}
        jobs = {id(p): p.jobs for p in able}
        chosen = list[tuple[Waiting, Peer]]()
        for _, job in ranked:
            unsafe = self.classes[job.job_class].repeat is not api.RetrySafety.SAFE
            fit = [
                p
                for p in able
                if free[id(p)] >= job.slots
                and jobs[id(p)] < self.max_jobs
                and not (unsafe and p.trust < LEAST_TRUST)
                and self.in_time(job, told, now, p.rtt)
            ]
            if not fit:
                continue
            best = max(fit, key=lambda p: (free[id(p)] * p.trust, -p.rtt, p.name))
            free[id(best)] -= job.slots
            jobs[id(best)] += 1
            chosen.append((job, best))
        return chosen
