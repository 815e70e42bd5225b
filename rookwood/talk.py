"""What others put on workers, and how it is learned: words between dispatchers, and probes. No clock, no I/O.

Word of each job to every dispatcher is paid for by each that hears it. So each worker has a few keepers, the
same at every dispatcher by a hash of its id: they alone hear of its jobs, and whoever has to decide asks one
of them about the workers that come into question. What that costs does not grow with the fleet; with a
handful of dispatchers all are keepers of all, and nobody asks. A keeper that is dead, cut off or new is not
waited for: there is another, and in the end the worker itself, by a probe. All of it is hints: which worker
gets a job is the policy's to say, and no rule hangs on a word. Times are integer microseconds.
"""

from __future__ import annotations

import hashlib
import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from rookwood import interface as api
from rookwood.interface import Hint, Word
from rookwood.state import Attempt, Job, WorkerState

TRACKERS_PER_WORKER = 4  # of a worker: its books outlive three dead, or a cut
MAX_TRACKED_JOBS = 99  # jobs of others remembered at one worker
HINT_LIFETIME = 4  # mean jobs after which word of another one's end may have been lost
QUERY_TIMEOUT = 25_000  # an answer is waited for so long: two messages take 14 ms
SILENT_PEER_PAUSE, MAX_MISSED_REPLIES = (
    2_000_000,
    2 * TRACKERS_PER_WORKER,
)  # so long no one asks who was silent; so many in a row: nobody does
FRESH_AGE = 0.1  # mean jobs: a figure of this age is as good as new
MAX_PROBES_PER_JOB = 4  # workers probed for the sake of one job
LOAD_SMOOTHING, INITIAL_SLOTS = (
    0.02,
    4.0,
)  # weight of a figure in the mean over workers; slots of a worker, before any report
PROBE_INTERVAL, MAX_REPORT_AGE = 250_000, 2_000_000  # so often all together probe a worker; oldest report


class Trackers:
    """Who keeps the books of which worker, and which of them answer."""

    def __init__(self, me: int, dispatchers: int) -> None:
        self._me, self._dispatchers = me, dispatchers
        self._paused_until: dict[int, int] = {}  # until when a dispatcher is not asked
        self._missed_replies, self._next_trial_at = 0, 0

    def of(self, w: WorkerState) -> tuple[int, ...]:
        """In the order in which they are asked."""
        serial, many = 0, min(TRACKERS_PER_WORKER, self._dispatchers)
        drawn: dict[int, None] = dict.fromkeys(w.trackers)
        while len(drawn) < many:
            digest = hashlib.blake2b(f"{serial} {w.info.id}".encode(), digest_size=32).digest()
            for at in range(0, 32, 4):
                drawn[int.from_bytes(digest[at : at + 4], "big") % self._dispatchers] = None
            serial += 1
        if not w.trackers:
            w.trackers = tuple(drawn)[:many]
        return w.trackers

    def others_of(self, w: WorkerState) -> tuple[int, ...]:
        return tuple(n for n in self.of(w) if n != self._me)

    def includes_me(self, w: WorkerState) -> bool:
        return self._me in self.of(w)

    def choose_peer(self, w: WorkerState, now: int) -> int | None:
        """Who is asked; None where nobody is expected to answer."""
        if self._missed_replies >= MAX_MISSED_REPLIES:
            if now < self._next_trial_at:
                return None
            self._next_trial_at = now + SILENT_PEER_PAUSE // 4  # one tries
        return next((n for n in self.others_of(w) if self._paused_until.get(n, 0) <= now), None)

    def record_reply(self, sender: int) -> None:
        self._missed_replies = 0
        self._paused_until.pop(sender, None)

    def record_silence(self, peer: int, now: int) -> None:
        self._missed_replies += 1
        self._paused_until[peer] = now + SILENT_PEER_PAUSE


class LoadExchange:
    """Sole owner of the words, the books kept here and the questions that are out."""

    def __init__(
        self,
        settings: api.Settings,
        workers: Mapping[str, WorkerState],
        at: Callable[[int, Callable[..., None], object], None],
        do: Callable[[api.Action], None],
        place: Callable[[Job], None],
    ) -> None:
        self._settings, self._workers, self._call_at, self._emit, self._place = (
            settings,
            workers,
            at,
            do,
            place,
        )
        self._trackers = Trackers(settings.me, settings.dispatchers)
        self._waiting: dict[int, tuple[Job, set[str]]] = {}  # for the load of these workers
        self._mean_others_share = 0.0  # part of a worker's slots that others hold
        self.slots_by_kind: dict[str, float] = {}  # slots of a worker of this kind, by reports
        self._started_at, self._now, self._mean_job_time, self._mean_job_slots = 0, 0, 1.0, 1.0

    def start(self, soon: int) -> None:
        self._started_at = self._now
        if self._settings.probes:
            self._call_at(self._now + soon, self._probe_next, None)

    def advance(self, now: int, job_time: float, need: float) -> None:
        """What the time is, how long a job runs on the mean, and how many slots own ones have now."""
        self._now, self._mean_job_time, self._mean_job_slots = now, job_time, need

    # ---- what is known ----

    def is_load_known(self, w: WorkerState, age: float = FRESH_AGE) -> bool:
        """Worth a decision: own books, a figure at most `age` mean jobs old, or where none can be had."""
        if not (self._settings.peers or self._settings.probes) or self._is_tracked_here(w):
            return True
        return bool(w.reported_at) and self._now - w.reported_at <= age * self._mean_job_time

    def slots_of_others(self, w: WorkerState) -> float:
        """Slots of others there: by own books, else as last told, of which less is true as time passes."""
        if self._is_tracked_here(w):
            return self._tracked_slots(w)
        if not (
            self._settings.peers or self._settings.probes
        ):  # reports come late to all alike, and all would herd
            return min(w.others_slots, self.slots(w) * (1 - 1 / self._settings.dispatchers))
        part = math.exp((w.reported_at - self._now) / self._mean_job_time) if w.reported_at else 0.0
        return w.others_slots * part + self._mean_others_share * self.slots(w) * (1 - part)

    def jobs_to_save(
        self, w: WorkerState, own: Iterable[tuple[Attempt, Job]]
    ) -> list[tuple[int, int, float]]:
        """Of others' jobs, and of own ones that are out, for the process that follows: it hears of no end of
        these, so each is there for as long as it is expected to run."""
        mine = ((a.sent_at + int(job.service * w.slowness), self._settings.me, job.need) for a, job in own)
        return [job for job in (*w.tracked_jobs, *mine) if job[0] > self._now]

    def record_load(self, w: WorkerState, others: float) -> None:
        """Load was told or reported; who has waited for the last of it is placed."""
        w.others_slots, w.reported_at, w.queried_peer = others, self._now, None
        self._mean_others_share += LOAD_SMOOTHING * (others / self.slots(w) - self._mean_others_share)
        for job, awaited in list(self._waiting.values()):
            awaited.discard(w.info.id)
            if not awaited and job.req.id in self._waiting:
                self._end_wait(job)

    def slots(self, w: WorkerState) -> float:
        return max(1.0, round(self.slots_by_kind.get(w.info.kind, INITIAL_SLOTS)))

    def fits(self, need: float, w: WorkerState) -> bool:  # or at least as well as anywhere
        return need <= self.slots(w) or self.slots(w) >= max(self.slots_by_kind.values(), default=0.0)

    def record_report(self, w: WorkerState, load: Mapping[str, float] | None) -> bool:
        """By the worker itself, noisy and of a while ago."""
        if not load or "x0" not in load:
            return False
        free, queue, held = load["x0"], load.get("backlog", 0.0), load.get("outstanding")
        old_ones = sum(self._now - attempt.sent_at > MAX_REPORT_AGE for attempt in w.attempts.values())
        kind, most = w.info.kind, free + max(0.0, held - queue if held else old_ones)
        old = self.slots_by_kind.get(
            kind, most if held else max(INITIAL_SLOTS, most)
        )  # rises fast, falls slowly
        # Where reports do not say what is held there, jobs of others are missing: a lower bound, close
        # only at a worker that is mostly idle. One that is busy tells of nothing to take back.
        fall = 0.005 if held or 2 * free >= old else 0.0
        self.slots_by_kind[kind] = max(1.0, old + (0.2 if most > old else fall) * (most - old))
        self.record_load(w, max(0.0, self.slots_by_kind[kind] - free + queue * self._mean_job_slots - w.used))
        return True

    def _is_tracked_here(self, w: WorkerState) -> bool:
        return self._settings.peers and self._trackers.includes_me(w)

    def _tracked_slots(self, w: WorkerState, but: int | None = None) -> float:
        w.tracked_jobs = [job for job in w.tracked_jobs if job[0] > self._now]
        return sum(slots for _, sender, slots in w.tracked_jobs if sender != but)

    # ---- questions ----

    def wait_for_load(self, job: Job, near: Iterable[WorkerState]) -> bool:
        """Asks what is not known of these workers. The job is placed once it is, or after `LOOK`."""
        if awaited := self.query_load(near):
            self._waiting[job.req.id] = (job, awaited)
            self._call_at(self._now + QUERY_TIMEOUT, self._on_wait_timeout, (job, awaited))
        return bool(awaited)

    def query_load(self, near: Iterable[WorkerState]) -> set[str]:
        letters: dict[int, list[Hint]] = defaultdict(list)
        unknown, probed = [w for w in near if not self.is_load_known(w)], 0
        for w in (w for w in unknown if w.queried_peer is None):
            peer = self._trackers.choose_peer(w, self._now) if self._settings.peers else None
            if peer is not None:
                w.queried_peer = peer
                letters[peer].append(Hint(w.info.id, Word.ASK))
                self._call_at(self._now + QUERY_TIMEOUT, self._on_query_timeout, (w, peer))
            elif self._settings.probes and probed < MAX_PROBES_PER_JOB:
                probed += 1
                self._emit(api.Probe(w.info.id))
        for peer, hints in letters.items():
            self._emit(api.Tell((peer,), tuple(hints)))
        return {w.info.id for w in unknown}

    def forget(self, job: Job) -> None:
        self._waiting.pop(job.req.id, None)

    def _on_query_timeout(self, about: tuple[WorkerState, int]) -> None:
        w, peer = about
        if w.queried_peer == peer:
            self._trackers.record_silence(peer, self._now)
            w.queried_peer = None

    def _on_wait_timeout(self, about: tuple[Job, set[str]]) -> None:
        job, awaited = about
        if (entry := self._waiting.get(job.req.id)) and entry[1] is awaited:
            self._end_wait(job)

    def _end_wait(self, job: Job) -> None:
        """A sequential request may have had its turn, and so been sent or held, while load was asked for."""
        del self._waiting[job.req.id]
        if not job.is_held and all(attempt.outcome for attempt in job.attempts):
            self._place(job)

    # ---- words ----

    def send_hint(self, w: WorkerState, word: Word, slots: float = 0.0) -> None:
        to = self._trackers.others_of(w) if self._settings.peers else ()
        if to:
            self._emit(api.Tell(to, (Hint(w.info.id, word, slots),)))

    def receive_hints(self, said: api.Heard) -> Iterable[tuple[WorkerState, float]]:
        """Of whom there is news, and the part of its jobs that failed, which is for the policy to judge."""
        self._trackers.record_reply(said.sender)
        answer = list[Hint]()
        for hint in said.hints:
            if (w := self._workers.get(hint.worker)) is None:
                continue
            if hint.word is Word.SENT:
                until = self._now + int(HINT_LIFETIME * self._mean_job_time * max(1.0, w.slowness))
                w.tracked_jobs = [*w.tracked_jobs[-MAX_TRACKED_JOBS:], (until, said.sender, hint.slots)]
            elif hint.word is Word.ASK:
                held = w.used + self._tracked_slots(w, but=said.sender)
                answer.append(Hint(hint.worker, Word.LOAD, held, max(w.fault_rate, w.peer_fault_rate)))
            elif hint.word is Word.LOAD:
                if w.queried_peer == said.sender:  # else nobody asked
                    w.peer_fault_rate = hint.faults
                    self.record_load(w, hint.slots)
                    yield w, hint.faults
            else:
                same = (job for job in w.tracked_jobs if job[1:] == (said.sender, hint.slots))
                if hint.word is not Word.SICK and (job := next(same, None)):
                    w.tracked_jobs.remove(job)
                yield w, float(hint.word is not Word.ENDED)
        if answer and self._now - self._started_at > self._mean_job_time:  # who is new here has empty books
            self._emit(api.Tell((said.sender,), tuple(answer)))

    # ---- probes that no decision waits for ----

    def _probe_next(self, _: object) -> None:
        """All dispatchers together have a budget: it shows life, and how many slots a kind has."""
        ready = [w for w in self._workers.values() if w.is_serving]
        pause = (4 if self._settings.peers else 1) * PROBE_INTERVAL * self._settings.dispatchers
        self._call_at(self._now + pause // max(1, len(ready)), self._probe_next, None)
        for w in sorted(ready, key=lambda w: (w.probed_at, w.info.id))[:1]:
            w.probed_at = self._now
            self._emit(api.Probe(w.info.id))
