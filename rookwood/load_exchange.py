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
from rookwood.state import Attempt, Job, State

KEEPERS = 4  # of a worker: its books outlive three dead, or a cut
MOST_TOLD = 99  # jobs of others remembered at one worker
LAPSE = 4  # mean jobs after which word of another one's end may have been lost
LOOK = 25_000  # an answer is waited for so long: two messages take 14 ms
QUIET, MISSED = 2_000_000, 2 * KEEPERS  # so long no one asks who was silent; so many in a row: nobody does
FRESH = 0.1  # mean jobs: a figure of this age is as good as new
PROBED = 4  # workers probed for the sake of one job
SHARE, SLOTS = 0.02, 4.0  # weight of a figure in the mean over workers; slots of a worker, before any report
PROBE, REPORT_AGE = 250_000, 2_000_000  # so often all together probe a worker; oldest report


class Keepers:
    """Who keeps the books of which worker, and which of them answer."""

    def __init__(self, me: int, dispatchers: int) -> None:
        self._me, self._dispatchers = me, dispatchers
        self._quiet: dict[int, int] = {}  # until when a dispatcher is not asked
        self._missed, self._deaf_until = 0, 0

    def of(self, w: State) -> tuple[int, ...]:
        """In the order in which they are asked."""
        serial, many = 0, min(KEEPERS, self._dispatchers)
        drawn: dict[int, None] = dict.fromkeys(w.keepers)
        while len(drawn) < many:
            digest = hashlib.blake2b(f"{serial} {w.info.id}".encode(), digest_size=32).digest()
            for at in range(0, 32, 4):
                drawn[int.from_bytes(digest[at : at + 4], "big") % self._dispatchers] = None
            serial += 1
        if not w.keepers:
            w.keepers = tuple(drawn)[:many]
        return w.keepers

    def others(self, w: State) -> tuple[int, ...]:
        return tuple(n for n in self.of(w) if n != self._me)

    def mine(self, w: State) -> bool:
        return self._me in self.of(w)

    def whom(self, w: State, now: int) -> int | None:
        """Who is asked; None where nobody is expected to answer."""
        if self._missed >= MISSED:
            if now < self._deaf_until:
                return None
            self._deaf_until = now + QUIET // 4  # one tries
        return next((n for n in self.others(w) if self._quiet.get(n, 0) <= now), None)

    def sign(self, sender: int) -> None:
        self._missed = 0
        self._quiet.pop(sender, None)

    def silent(self, peer: int, now: int) -> None:
        self._missed += 1
        self._quiet[peer] = now + QUIET


class Talk:
    """Sole owner of the words, the books kept here and the questions that are out."""

    def __init__(
        self,
        settings: api.Settings,
        workers: Mapping[str, State],
        at: Callable[[int, Callable[..., None], object], None],
        do: Callable[[api.Action], None],
        place: Callable[[Job], None],
    ) -> None:
        self._set, self._workers, self._at, self._do, self._place = settings, workers, at, do, place
        self._keepers = Keepers(settings.me, settings.dispatchers)
        self._waiting: dict[int, tuple[Job, set[str]]] = {}  # for the load of these workers
        self._mean = 0.0  # part of a worker's slots that others hold
        self.by_kind: dict[str, float] = {}  # slots of a worker of this kind, by reports
        self._born, self._now, self._job_time, self._need = 0, 0, 1.0, 1.0

    def start(self, soon: int) -> None:
        self._born = self._now
        if self._set.probes:
            self._at(self._now + soon, self._probe, None)

    def tick(self, now: int, job_time: float, need: float) -> None:
        """What the time is, how long a job runs on the mean, and how many slots own ones have now."""
        self._now, self._job_time, self._need = now, job_time, need

    # ---- what is known ----

    def known(self, w: State, age: float = FRESH) -> bool:
        """Worth a decision: own books, a figure at most `age` mean jobs old, or where none can be had."""
        if not (self._set.peers or self._set.probes) or self._mine(w):
            return True
        return bool(w.report_at) and self._now - w.report_at <= age * self._job_time

    def others(self, w: State) -> float:
        """Slots of others there: by own books, else as last told, of which less is true as time passes."""
        if self._mine(w):
            return self._held(w)
        if not (self._set.peers or self._set.probes):  # reports come late to all alike, and all would herd
            return min(w.others, self.slots_of(w) * (1 - 1 / self._set.dispatchers))
        part = math.exp((w.report_at - self._now) / self._job_time) if w.report_at else 0.0
        return w.others * part + self._mean * self.slots_of(w) * (1 - part)

    def books(self, w: State, own: Iterable[tuple[Attempt, Job]]) -> list[tuple[int, int, float]]:
        """Of others' jobs, and of own ones that are out, for the process that follows: it hears of no end of
        these, so each is there for as long as it is expected to run."""
        mine = ((a.sent + int(job.service * w.slowness), self._set.me, job.need) for a, job in own)
        return [job for job in (*w.told, *mine) if job[0] > self._now]

    def found(self, w: State, others: float) -> None:
        """Load was told or reported; who has waited for the last of it is placed."""
        w.others, w.report_at, w.asked = others, self._now, None
        self._mean += SHARE * (others / self.slots_of(w) - self._mean)
        for job, awaited in list(self._waiting.values()):
            awaited.discard(w.info.id)
            if not awaited and job.request.id in self._waiting:
                self._end(job)

    def slots_of(self, w: State) -> float:
        return max(1.0, round(self.by_kind.get(w.info.kind, SLOTS)))

    def fits(self, need: float, w: State) -> bool:  # or at least as well as anywhere
        return need <= self.slots_of(w) or self.slots_of(w) >= max(self.by_kind.values(), default=0.0)

    def reported(self, w: State, load: Mapping[str, float] | None) -> bool:
        """By the worker itself, noisy and of a while ago."""
        if not load or "x0" not in load:
            return False
        free, queue, held = load["x0"], load.get("backlog", 0.0), load.get("outstanding")
        old_ones = sum(self._now - attempt.sent > REPORT_AGE for attempt in w.out.values())
        kind, most = w.info.kind, free + max(0.0, held - queue if held else old_ones)
        old = self.by_kind.get(kind, most if held else max(SLOTS, most))  # rises fast, falls slowly
        # Where reports do not say what is held there, jobs of others are missing: a lower bound, close
        # only at a worker that is mostly idle. One that is busy tells of nothing to take back.
        fall = 0.005 if held or 2 * free >= old else 0.0
        self.by_kind[kind] = max(1.0, old + (0.2 if most > old else fall) * (most - old))
        self.found(w, max(0.0, self.by_kind[kind] - free + queue * self._need - w.used_slots))
        return True

    def _mine(self, w: State) -> bool:
        return self._set.peers and self._keepers.mine(w)

    def _held(self, w: State, but: int | None = None) -> float:
        w.told = [job for job in w.told if job[0] > self._now]
        return sum(slots for _, sender, slots in w.told if sender != but)

    # ---- questions ----

    def look(self, job: Job, near: Iterable[State]) -> bool:
        """Asks what is not known of these workers. The job is placed once it is, or after `LOOK`."""
        if awaited := self.ask(near):
            self._waiting[job.request.id] = (job, awaited)
            self._at(self._now + LOOK, self._late, (job, awaited))
        return bool(awaited)

    def ask(self, near: Iterable[State]) -> set[str]:
        letters: dict[int, list[Hint]] = defaultdict(list)
        unknown, probed = [w for w in near if not self.known(w)], 0
        for w in (w for w in unknown if w.asked is None):
            peer = self._keepers.whom(w, self._now) if self._set.peers else None
            if peer is not None:
                w.asked = peer
                letters[peer].append(Hint(w.info.id, Word.ASK))
                self._at(self._now + LOOK, self._unanswered, (w, peer))
            elif self._set.probes and probed < PROBED:
                probed += 1
                self._do(api.Probe(w.info.id))
        for peer, hints in letters.items():
            self._do(api.SendHints((peer,), tuple(hints)))
        return {w.info.id for w in unknown}

    def drop(self, job: Job) -> None:
        self._waiting.pop(job.request.id, None)

    def _unanswered(self, about: tuple[State, int]) -> None:
        w, peer = about
        if w.asked == peer:
            self._keepers.silent(peer, self._now)
            w.asked = None

    def _late(self, about: tuple[Job, set[str]]) -> None:
        job, awaited = about
        if (entry := self._waiting.get(job.request.id)) and entry[1] is awaited:
            self._end(job)

    def _end(self, job: Job) -> None:
        """A sequential request may have had its turn, and so been sent or held, while load was asked for."""
        del self._waiting[job.request.id]
        if not job.held and all(attempt.ending for attempt in job.attempts):
            self._place(job)

    # ---- words ----

    def tell(self, w: State, word: Word, slots: float = 0.0) -> None:
        to = self._keepers.others(w) if self._set.peers else ()
        if to:
            self._do(api.SendHints(to, (Hint(w.info.id, word, slots),)))

    def heard(self, said: api.HintsReceived) -> Iterable[tuple[State, float]]:
        """Of whom there is news, and the part of its jobs that failed, which is for the policy to judge."""
        self._keepers.sign(said.sender)
        answer = list[Hint]()
        for hint in said.hints:
            if (w := self._workers.get(hint.worker)) is None:
                continue
            if hint.word is Word.SENT:
                until = self._now + int(LAPSE * self._job_time * max(1.0, w.slowness))
                w.told = [*w.told[-MOST_TOLD:], (until, said.sender, hint.slots)]
            elif hint.word is Word.ASK:
                held = w.used_slots + self._held(w, but=said.sender)
                answer.append(Hint(hint.worker, Word.LOAD, held, max(w.faults, w.told_faults)))
            elif hint.word is Word.LOAD:
                if w.asked == said.sender:  # else nobody asked
                    w.told_faults = hint.faults
                    self.found(w, hint.slots)
                    yield w, hint.faults
            else:
                same = (job for job in w.told if job[1:] == (said.sender, hint.slots))
                if hint.word is not Word.SICK and (job := next(same, None)):
                    w.told.remove(job)
                yield w, float(hint.word is not Word.ENDED)
        if answer and self._now - self._born > self._job_time:  # who is new here has empty books
            self._do(api.SendHints((said.sender,), tuple(answer)))

    # ---- probes that no decision waits for ----

    def _probe(self, _: object) -> None:
        """All dispatchers together have a budget: it shows life, and how many slots a kind has."""
        ready = [w for w in self._workers.values() if w.up]
        pause = (4 if self._set.peers else 1) * PROBE * self._set.dispatchers
        self._at(self._now + pause // max(1, len(ready)), self._probe, None)
        for w in sorted(ready, key=lambda w: (w.probe_at, w.info.id))[:1]:
            w.probe_at = self._now
            self._do(api.Probe(w.info.id))
