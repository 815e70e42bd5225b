"""The load that other dispatchers put on workers, learned from hints between dispatchers and from probes.

If each dispatcher sent hints of every job to all others, the cost of a job would grow with their number.
Instead each worker has a few trackers: dispatchers drawn by a hash of its id, the same at every dispatcher.
Only they receive hints of its jobs, and a dispatcher that has to place a request queries one of them about
each worker that it considers. The cost of this does not grow with the fleet. With a handful of dispatchers,
all of them track all workers and none sends queries. If a tracker is dead, cut off or new, another one is
queried, and in the end the worker itself is probed. Hints are advice: the policy decides which worker gets a
request, and no rule depends on a hint. This module does no I/O and reads no clock; times are integer
microseconds.
"""

from __future__ import annotations

import hashlib
import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from rookwood import interface as api
from rookwood.interface import Hint, HintKind
from rookwood.state import Attempt, Job, WorkerState

TRACKERS_PER_WORKER = 4  # so many that a load stays known if three of them die or are cut off
MAX_TRACKED_JOBS = 99  # jobs of other dispatchers remembered at one worker
# In mean service times of a job: a tracked job is dropped after this time, since the hint of its end may have
# been lost.
HINT_LIFETIME = 4
QUERY_TIMEOUT = 25_000  # microseconds; two messages take 14 ms
PEER_TIMEOUT_PAUSE = 2_000_000  # microseconds for which a peer that did not reply is not queried again
# After so many missed replies in a row, peers get only a trial query every quarter of `PEER_TIMEOUT_PAUSE`.
MAX_MISSED_REPLIES = 2 * TRACKERS_PER_WORKER
FRESH_AGE = 0.1  # in mean service times of a job; up to this age a reported load counts as known
MAX_PROBES_PER_JOB = 4  # workers probed to place one request
LOAD_SMOOTHING = 0.02  # weight of a reported load in the mean over workers
INITIAL_SLOTS = 4.0  # slots that a worker is assumed to have before any report
PROBE_INTERVAL = 250_000  # microseconds between two probes of a worker, by all dispatchers together
MAX_REPORT_AGE = 2_000_000  # microseconds; reports include every attempt sent before that


class Trackers:
    """Which dispatchers track the jobs of which worker, and which of them reply."""

    def __init__(self, me: int, dispatchers: int) -> None:
        self._me, self._dispatchers = me, dispatchers
        self._paused_until: dict[int, int] = {}  # by dispatcher: it is not queried before this time
        self._missed_replies = 0  # in a row
        self._next_trial_at = 0  # when, after too many missed replies, one query is sent again

    def of(self, w: WorkerState) -> tuple[int, ...]:
        """Return the worker's trackers, in the order in which they are queried."""
        serial, count = 0, min(TRACKERS_PER_WORKER, self._dispatchers)
        drawn: dict[int, None] = dict.fromkeys(w.trackers)
        while len(drawn) < count:
            digest = hashlib.blake2b(f"{serial} {w.info.id}".encode(), digest_size=32).digest()
            for at in range(0, 32, 4):
                drawn[int.from_bytes(digest[at : at + 4], "big") % self._dispatchers] = None
            serial += 1
        if not w.trackers:
            w.trackers = tuple(drawn)[:count]
        return w.trackers

    def others_of(self, w: WorkerState) -> tuple[int, ...]:
        """Return the worker's trackers without this dispatcher."""
        return tuple(n for n in self.of(w) if n != self._me)

    def includes_me(self, w: WorkerState) -> bool:
        """Whether this dispatcher tracks the worker."""
        return self._me in self.of(w)

    def choose_peer(self, w: WorkerState, now: int) -> int | None:
        """Return the dispatcher to query about a worker, or None if no reply is expected."""
        if self._missed_replies >= MAX_MISSED_REPLIES:
            if now < self._next_trial_at:
                return None
            self._next_trial_at = now + PEER_TIMEOUT_PAUSE // 4  # this query is the trial
        return next((n for n in self.others_of(w) if self._paused_until.get(n, 0) <= now), None)

    def record_reply(self, peer: int) -> None:
        """Record that a dispatcher is alive, as any message from it shows."""
        self._missed_replies = 0
        self._paused_until.pop(peer, None)

    def record_timeout(self, peer: int, now: int) -> None:
        """Record that a dispatcher did not reply in time."""
        self._missed_replies += 1
        self._paused_until[peer] = now + PEER_TIMEOUT_PAUSE


class LoadExchange:
    """Sends and receives hints, tracks the jobs of others, and has requests wait until a load is known."""

    def __init__(
        self,
        settings: api.Settings,
        workers: Mapping[str, WorkerState],
        schedule: Callable[[int, Callable[..., None], object], None],
        emit: Callable[[api.Action], None],
        place: Callable[[Job], None],
    ) -> None:
        self._settings = settings
        self._workers = workers
        self._schedule = schedule
        self._emit = emit
        self._place = place
        self._trackers = Trackers(settings.me, settings.dispatchers)
        # By request: its job, and the ids of the workers whose loads it waits for.
        self._waiting: dict[int, tuple[Job, set[str]]] = {}
        self._mean_others_share = 0.0  # mean fraction of a worker's slots that other dispatchers use
        self.slots_by_kind: dict[str, float] = {}  # slots of a worker of each kind, estimated from reports
        self._started_at = 0
        self._now = 0
        self._mean_job_time = 1.0
        self._mean_job_slots = 1.0

    def start(self, delay: int) -> None:
        """Record the start of this dispatcher, and send the first probe after `delay`."""
        self._started_at = self._now
        if self._settings.probes:
            self._schedule(self._now + delay, self._probe_next, None)

    def advance(self, now: int, mean_job_time: float, mean_job_slots: float) -> None:
        """Set the time, the mean service time of a job, and the mean number of slots of an own attempt."""
        self._now = now
        self._mean_job_time = mean_job_time
        self._mean_job_slots = mean_job_slots

    # ---- load ----

    def is_load_known(self, w: WorkerState, max_age: float = FRESH_AGE) -> bool:
        """Whether the load of a worker is known well enough to place a request there.

        A load is known if it is tracked here or was reported at most `max_age` mean service times ago.
        Without hints and probes every load counts as known, since none can be queried.
        """
        if not (self._settings.peers or self._settings.probes) or self._is_tracked_here(w):
            return True
        return bool(w.reported_at) and self._now - w.reported_at <= max_age * self._mean_job_time

    def slots_of_others(self, w: WorkerState) -> float:
        """Estimate the slots that other dispatchers use at a worker.

        For a worker that is not tracked here, the last report counts less as it ages, and the mean over
        workers more.
        """
        if self._is_tracked_here(w):
            return self._tracked_slots(w)
        # Without hints and probes, late reports reach all dispatchers alike, and all would herd.
        if not (self._settings.peers or self._settings.probes):
            return min(w.others_slots, self.slots_of(w) * (1 - 1 / self._settings.dispatchers))
        weight = math.exp((w.reported_at - self._now) / self._mean_job_time) if w.reported_at else 0.0
        return w.others_slots * weight + self._mean_others_share * self.slots_of(w) * (1 - weight)

    def jobs_to_save(
        self, w: WorkerState, own: Iterable[tuple[Attempt, Job]]
    ) -> list[tuple[int, int, float]]:
        """Return the tracked jobs of others and the own open attempts, for the next process.

        That process receives no outcome of the own attempts, so each counts for its expected running time.
        """
        own_jobs = (
            (a.sent_at + int(job.service * w.slowness), self._settings.me, job.need) for a, job in own
        )
        return [job for job in (*w.tracked_jobs, *own_jobs) if job[0] > self._now]

    def record_load(self, w: WorkerState, others: float) -> None:
        """Record the reported slots of others, and place the requests that waited for this report last."""
        w.others_slots, w.reported_at, w.queried_peer = others, self._now, None
        self._mean_others_share += LOAD_SMOOTHING * (others / self.slots_of(w) - self._mean_others_share)
        for job, awaited in list(self._waiting.values()):
            awaited.discard(w.info.id)
            if not awaited and job.request.id in self._waiting:
                self._end_wait(job)

    def slots_of(self, w: WorkerState) -> float:
        """Return the estimated number of slots of a worker."""
        return max(1.0, round(self.slots_by_kind.get(w.info.kind, INITIAL_SLOTS)))

    def fits(self, slots: float, w: WorkerState) -> bool:
        """Whether a worker has that many slots, or at least as many as any other."""
        return slots <= self.slots_of(w) or self.slots_of(w) >= max(self.slots_by_kind.values(), default=0.0)

    def record_report(self, w: WorkerState, load: Mapping[str, float] | None) -> bool:
        """Learn from a worker's own load report, which is noisy and dated. Return whether it has a load."""
        if not load or "x0" not in load:
            return False
        free, queue, held = load["x0"], load.get("backlog", 0.0), load.get("outstanding")
        old_attempts = sum(self._now - attempt.sent_at > MAX_REPORT_AGE for attempt in w.attempts.values())
        kind, most = w.info.kind, free + max(0.0, held - queue if held else old_attempts)
        old = self.slots_by_kind.get(kind, most if held else max(INITIAL_SLOTS, most))
        # The estimate rises fast and falls slowly. Reports without `outstanding` leave out the jobs of other
        # dispatchers, so they give a lower bound, which is close only at a worker that is mostly idle. From a
        # busy worker such a report does not lower the estimate.
        fall = 0.005 if held or 2 * free >= old else 0.0
        self.slots_by_kind[kind] = max(1.0, old + (0.2 if most > old else fall) * (most - old))
        self.record_load(
            w, max(0.0, self.slots_by_kind[kind] - free + queue * self._mean_job_slots - w.used_slots)
        )
        return True

    def _is_tracked_here(self, w: WorkerState) -> bool:
        return self._settings.peers and self._trackers.includes_me(w)

    def _tracked_slots(self, w: WorkerState, excluding: int | None = None) -> float:
        """Drop expired jobs and return the slots of the others, except those of one dispatcher."""
        w.tracked_jobs = [job for job in w.tracked_jobs if job[0] > self._now]
        return sum(slots for _, sender, slots in w.tracked_jobs if sender != excluding)

    # ---- queries ----

    def wait_for_load(self, job: Job, workers: Iterable[WorkerState]) -> bool:
        """Query the unknown loads of these workers, and place the job after the last reply or a timeout.

        Returns False if all of them are known, so there is nothing to wait for.
        """
        if awaited := self.query_load(workers):
            self._waiting[job.request.id] = (job, awaited)
            self._schedule(self._now + QUERY_TIMEOUT, self._on_wait_timeout, (job, awaited))
        return bool(awaited)

    def query_load(self, workers: Iterable[WorkerState]) -> set[str]:
        """Query a tracker about each worker of unknown load, or probe the worker. Return their ids."""
        messages: dict[int, list[Hint]] = defaultdict(list)
        unknown, probed = [w for w in workers if not self.is_load_known(w)], 0
        for w in (w for w in unknown if w.queried_peer is None):
            peer = self._trackers.choose_peer(w, self._now) if self._settings.peers else None
            if peer is not None:
                w.queried_peer = peer
                messages[peer].append(Hint(w.info.id, HintKind.LOAD_QUERY))
                self._schedule(self._now + QUERY_TIMEOUT, self._on_query_timeout, (w, peer))
            elif self._settings.probes and probed < MAX_PROBES_PER_JOB:
                probed += 1
                self._emit(api.Probe(w.info.id))
        for peer, hints in messages.items():
            self._emit(api.SendHints((peer,), tuple(hints)))
        return {w.info.id for w in unknown}

    def forget(self, job: Job) -> None:
        """Stop waiting for a load on behalf of a request that has ended."""
        self._waiting.pop(job.request.id, None)

    def _on_query_timeout(self, query: tuple[WorkerState, int]) -> None:
        w, peer = query
        if w.queried_peer == peer:
            self._trackers.record_timeout(peer, self._now)
            w.queried_peer = None

    def _on_wait_timeout(self, wait: tuple[Job, set[str]]) -> None:
        job, awaited = wait
        if (entry := self._waiting.get(job.request.id)) and entry[1] is awaited:
            self._end_wait(job)

    def _end_wait(self, job: Job) -> None:
        """Place a request, unless its key's turn came meanwhile and it has been sent or held already."""
        del self._waiting[job.request.id]
        if not job.is_held and all(attempt.outcome for attempt in job.attempts):
            self._place(job)

    # ---- hints ----

    def send_hint(self, w: WorkerState, kind: HintKind, slots: float = 0.0) -> None:
        """Send a hint about a worker to its trackers."""
        to = self._trackers.others_of(w) if self._settings.peers else ()
        if to:
            self._emit(api.SendHints(to, (Hint(w.info.id, kind, slots),)))

    def receive_hints(self, event: api.HintsReceived) -> Iterable[tuple[WorkerState, float]]:
        """Process hints. Yields each worker of which they report an outcome or a fault rate, with that rate.

        What follows from a fault rate is left to the policy.
        """
        self._trackers.record_reply(event.sender)
        replies = list[Hint]()
        for hint in event.hints:
            if (w := self._workers.get(hint.worker)) is None:
                continue
            if hint.kind is HintKind.SENT:
                until = self._now + int(HINT_LIFETIME * self._mean_job_time * max(1.0, w.slowness))
                w.tracked_jobs = [*w.tracked_jobs[-MAX_TRACKED_JOBS:], (until, event.sender, hint.slots)]
            elif hint.kind is HintKind.LOAD_QUERY:
                used = w.used_slots + self._tracked_slots(w, excluding=event.sender)
                replies.append(
                    Hint(hint.worker, HintKind.LOAD_REPORT, used, max(w.fault_rate, w.peer_fault_rate))
                )
            elif hint.kind is HintKind.LOAD_REPORT:
                if w.queried_peer == event.sender:  # a load that was not queried is dropped
                    w.peer_fault_rate = hint.fault_rate
                    self.record_load(w, hint.slots)
                    yield w, hint.fault_rate
            else:
                same = (job for job in w.tracked_jobs if job[1:] == (event.sender, hint.slots))
                if hint.kind is not HintKind.SUSPECT and (job := next(same, None)):
                    w.tracked_jobs.remove(job)
                yield w, float(hint.kind is not HintKind.ENDED)
        # A dispatcher that has just started has tracked nothing yet, so it doesn't reply.
        if replies and self._now - self._started_at > self._mean_job_time:
            self._emit(api.SendHints((event.sender,), tuple(replies)))

    # ---- periodic probes ----

    def _probe_next(self, _: object) -> None:
        """Probe the worker that was probed longest ago, for a sign of life and the slots of its kind.

        No decision waits for these probes. All dispatchers together share one budget of them.
        """
        ready = [w for w in self._workers.values() if w.is_serving]
        interval = (4 if self._settings.peers else 1) * PROBE_INTERVAL * self._settings.dispatchers
        self._schedule(self._now + interval // max(1, len(ready)), self._probe_next, None)
        for w in sorted(ready, key=lambda w: (w.probed_at, w.info.id))[:1]:
            w.probed_at = self._now
            self._emit(api.Probe(w.info.id))
