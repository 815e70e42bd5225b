"""Chooses which jobs are forwarded, and to which peer.

Only a job that waits at home may be forwarded: a job that the policy can place at once is served here, and
the policy alone decides where a job goes *within* a site. Forwarding has a price, so a job is forwarded only
if the expected benefit is higher. The benefit is the larger of:

- the job's own worth, times the probability that it would be late here;
- the worth of the work that can use the slots that the job would have taken here: its slot-seconds, times the
  worth of a slot-second of the least valuable class that is rejected under overload.

Load must not oscillate between the sites. Forwarding begins when the pressure at home reaches `enter` and
ends only below `leave`; a job is forwarded once; guests are never forwarded; and a peer that hands a job back
gets no new jobs for a while, longer each time (truncated exponential back-off).

This module uses no I/O and no clock: the caller passes the time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from rookwood import interface as api

PRESSURE_WINDOW = timedelta(milliseconds=250)  # time constant of the smoothed pressure
BACK_OFF, MAX_BACK_OFF = timedelta(milliseconds=50), timedelta(seconds=2)
TRUST_DECAY = 0.7  # factor on a peer's trust after a failure
TRUST_RECOVERY = 0.05  # part of the missing trust that each served job restores
MIN_TRUST = 0.2  # a peer below this gets no job that is unsafe to retry


@dataclass(frozen=True, slots=True)
class Prices:
    """When forwarding pays."""

    price: float  # of forwarding one job, as a multiple of the mean worth of a job
    enter: float  # pressure at which forwarding begins
    leave: float  # pressure below which it ends


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job that waits at home and may be forwarded."""

    id: int
    job_class: str
    slots: float
    since: datetime
    deadline: datetime


@dataclass(slots=True)
class Peer:
    """What home knows of one peer: the slots it lends, the jobs sent to it, and its reliability."""

    site: str
    name: str
    ready: bool = False  # connected, and a lease request has come since
    credit: float = 0.0  # slots it lends to this home, by its last ping
    slots_out: float = 0.0  # slots of the jobs sent there
    jobs_out: int = 0
    trust: float = 1.0
    rtt: timedelta = timedelta(0)
    backoff_until: datetime | None = None  # no job is sent to it before then
    _rejections: int = 0

    def free_slots(self, now: datetime) -> float:
        """Slots that new jobs may take there now."""
        if not self.ready or (self.backoff_until and now < self.backoff_until):
            return 0.0
        return max(0.0, self.credit - self.slots_out)

    def record_sent(self, slots: float) -> None:
        """A job was offered to the peer."""
        self.slots_out, self.jobs_out = self.slots_out + slots, self.jobs_out + 1

    def record_ended(self, slots: float) -> None:
        """A job at the peer was resolved."""
        self.slots_out, self.jobs_out = max(0.0, self.slots_out - slots), self.jobs_out - 1

    def record_served(self) -> None:
        """The peer served a job: end its backoff and restore some trust."""
        self._rejections, self.backoff_until = 0, None
        self.trust += TRUST_RECOVERY * (1 - self.trust)

    def record_rejected(self, now: datetime) -> None:
        """The peer handed a job back, so it has fewer free slots than its credit says."""
        wait = min(MAX_BACK_OFF, BACK_OFF * 2 ** min(10, self._rejections))
        self._rejections, self.backoff_until = self._rejections + 1, now + wait

    def record_failed(self) -> None:
        """A job failed there, or its outcome was not received before the lease expired."""
        self.trust = max(0.01, self.trust * TRUST_DECAY)


@dataclass(slots=True)
class Router:
    """Decides when jobs are forwarded and chooses a peer for each."""

    classes: Mapping[str, api.JobClass]
    prices: Prices
    max_jobs: int
    is_forwarding: bool = False  # state of the hysteresis
    pressure: float = 0.0  # smoothed ratio of slots used and waited for to slots
    _observed_at: datetime | None = None
    _class_counts: dict[str, float] = field(default_factory=dict)  # requests of each class, with decay

    def record_request(self, job_class: str) -> None:
        """Count a request that this dispatcher received."""
        for name in self._class_counts:
            self._class_counts[name] *= 0.999
        self._class_counts[job_class] = self._class_counts.get(job_class, 0.0) + 1

    def observe(self, now: datetime, load: api.SiteLoad) -> None:
        """Update the pressure and the hysteresis from the load of the home site."""
        if load.slots <= 0:
            new = math.inf if load.held_slots or load.used_slots else 0.0
        else:
            new = (load.used_slots + load.held_slots) / load.slots
        new = min(new, 10.0)
        weight = 1 - math.exp(-((now - self._observed_at) / PRESSURE_WINDOW)) if self._observed_at else 1.0
        self.pressure, self._observed_at = self.pressure + weight * (new - self.pressure), now
        if self.pressure >= self.prices.enter:
            self.is_forwarding = True
        elif self.pressure < self.prices.leave:
            self.is_forwarding = False

    def mean_worth(self) -> float:
        """The mean worth of recent jobs."""
        total = sum(self._class_counts.values())
        return (
            sum(n * self.classes[name].worth for name, n in self._class_counts.items()) / total
            if total
            else 0.0
        )

    def shadow_price(self, load: api.SiteLoad) -> float:
        """Worth of a slot-second at home under overload: that of the least valuable common class."""
        total = sum(self._class_counts.values())
        common = [name for name, n in self._class_counts.items() if n > 0.02 * total]
        return min(
            (self.classes[n].worth / max(1e-3, load.mean_service_s.get(n, 1.0)) for n in common), default=0.0
        )

    def gain(self, job: WaitingJob, load: api.SiteLoad, now: datetime) -> float:
        """The benefit of forwarding the job over keeping it, in worth, less the price."""
        cls = self.classes[job.job_class]
        service = load.mean_service_s.get(job.job_class, 1.0)
        late_probability = 1 - 1 / max(1.0, self.pressure)
        freed_worth = self.shadow_price(load) * service * job.slots
        in_time = self.in_time(job, load, now)
        worth = cls.worth if in_time else 0.0
        return (
            max(worth * late_probability, freed_worth if in_time else 0.0)
            - self.prices.price * self.mean_worth()
        )

    def in_time(
        self, job: WaitingJob, load: api.SiteLoad, now: datetime, rtt: timedelta = timedelta(0)
    ) -> bool:
        """Whether the job could still finish in time if it began at the peer at once."""
        cls = self.classes[job.job_class]
        service = timedelta(seconds=load.mean_service_s.get(job.job_class, 1.0))
        slack = timedelta(microseconds=cls.aim) + (cls.stretch - 1) * service
        return now + rtt <= min(job.since + slack, job.deadline - service)

    def choose(
        self, waiting: Iterable[WaitingJob], peers: Iterable[Peer], load: api.SiteLoad, now: datetime
    ) -> list[tuple[WaitingJob, Peer]]:
        """Choose the jobs to forward now and their peers.

        Jobs with the highest gain for each slot come first, and go to the peer with the most free slots,
        weighted by its trust.
        """
        self.observe(now, load)
        if not self.is_forwarding:
            return []
        available = [p for p in peers if p.free_slots(now) > 0 and p.jobs_out < self.max_jobs]
        if not available:
            return []
        gains = [(self.gain(job, load, now), job) for job in waiting]
        ranked = sorted(
            ((gain / max(job.slots, 0.1), job) for gain, job in gains if gain > 0),
            key=lambda pair: (-pair[0], pair[1].since, pair[1].id),
        )
        free = {id(p): p.free_slots(now) for p in available}
        jobs = {id(p): p.jobs_out for p in available}
        chosen = list[tuple[WaitingJob, Peer]]()
        for _, job in ranked:
            unsafe = self.classes[job.job_class].repeat is not api.RetrySafety.SAFE
            suitable = [
                p
                for p in available
                if free[id(p)] >= job.slots
                and jobs[id(p)] < self.max_jobs
                and not (unsafe and p.trust < MIN_TRUST)
                and self.in_time(job, load, now, p.rtt)
            ]
            if not suitable:
                continue
            best = max(suitable, key=lambda p: (free[id(p)] * p.trust, -p.rtt, p.name))
            free[id(best)] -= job.slots
            jobs[id(best)] += 1
            chosen.append((job, best))
        return chosen
