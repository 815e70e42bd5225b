"""All decisions of a dispatcher. In and out: rookwood/interface.py; memory: state.py; why: docs/design.md.

The ordinary path: `_step` (Algorithm 1) gives each key a few workers with fractions phi; `_draw` takes
two by phi and the lower estimate gets the job. All else is a departure and says what it guards against.
"""

import bisect
import functools
import hashlib
import heapq
import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator

from rookwood import interface as api
from rookwood.interface import DeduplicationScope, Health, Outcome, RetrySafety
from rookwood.load_exchange import Talk
from rookwood.placement import LEAST, pack
from rookwood.state import Attempt, Job, Lane, Row, State, Table

SECOND = 1_000_000
STEP, SMOOTH = 2 * SECOND, 0.4  # between placement steps, +- a quarter; weight of the last in a key's demand
POINTS, WALK = 32, 128  # ring: points of a mean worker, points looked at
REACH, MOST, PART = 3, 6, 8  # own zone's workers tried for a job in its key's order: one in 8, 3 to 6
LEARN = 0.02  # weight of an answer
FAULT, MOST_FAULTS, LEAST_SOUND = 0.1, 0.25, 0.02  # weight of one end; faults that leave a worker the least
HEAL = 0.8  # part of the faults, and of the worth asked for and won, that is still counted a step later
SOON, LOOKS = 0.1, 2  # mean jobs that count as no wait; times that load is asked for: own zone, then all
PATIENCE = 0.17  # part of the time a job can still wait that it may be expected to queue at a worker
SILENCE, SILENT_JOBS = SECOND // 4, 4.0  # silent after this, and so many mean jobs, without a sign of life
DISTRUST, LEAST_TRUST = 0.2, 0.02  # a bad sign multiplies trust by this; trust's least
COLD_SAFETY, GOLDEN = 0.5, 0.618034  # part of the rule-4 budget that is used; spreads turns evenly
RETRY_AFTER = SECOND  # when a refused client may come back, on the mean
RETRY_RATIO, RETRY_BURST = 0.1, 10.0  # retries earned by each request; most that are saved up
LEAST_FIRSTS, HURRIED = 0.25, 3  # part of first tries even in a jam; times that a job may take its mean
TRIED, AGAIN = 12, 6  # held requests tried at an event; of each lane those whose candidates are asked again


@functools.lru_cache(1 << 12)
def hashed(what: object, count: int = 1) -> list[int]:  # the same in every process, unlike `hash`
    digest = hashlib.shake_128(repr(what).encode()).digest(8 * count)
    return [int.from_bytes(digest[8 * n : 8 * n + 8], "big") for n in range(count)]


class Policy:
    """One dispatcher: feed every event to `handle` and carry out what it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.rng = settings, random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.answers, self.typical = dict.fromkeys(self.classes, 0), dict.fromkeys(self.classes, 0.0)
        self.whole: dict[tuple[str, str | None], int] = {}  # time that first tries of (class, tenant) bring
        self.firsts: dict[tuple[str, str | None], float] = {}  # part of these that names the whole time
        self.asked, self.won = dict.fromkeys(self.classes, 0.0), dict.fromkeys(self.classes, 0.0)  # worth
        self.mean = dict.fromkeys(self.classes, 1.0)  # over typical (log of service time over `_base`): tails
        self.weight = self.job_time = float(max((c.aim for c in settings.classes), default=1))  # the mean
        self.workers, self.whole_size = dict[str, State](), 0.0  # and the sum of their sizes
        self.sizes: dict[str, float] = {}  # largest size listed of a kind: that of an idle worker
        self.jobs: dict[int, Job] = {}
        self.ring: list[tuple[int, str]] = []  # the one shared order of workers for each key
        self.held_jobs: dict[Lane, list[Job]] = defaultdict(list)  # held, newest last
        self.turns: dict[int, deque[Job]] = {}  # requests of sequential classes by key, oldest first
        self.rest_until, self.owed = dict[int, int](), dict[tuple[int, int], Job]()  # outcomes to come
        self.count: dict[Row, float] = defaultdict(float)  # slot-seconds asked for since the last step
        self.demand: dict[Row, tuple[float, float]] = {}  # level and trend, in slots
        self.table: Table = {}
        self.share = {t.name: (t.allowance_per_s / settings.dispatchers, 0.0, 0) for t in settings.tenants}
        self.due: list[tuple[int, int, Callable[..., None], object]] = []  # what to do when
        self.timers, self.todo, self.open = list[int](), list[api.Action](), list[State]()  # cold
        self.load_exchange = Talk(
            settings, self.workers, self._at, lambda act: self.todo.append(act), self._place
        )
        self.now, self.step_at, self.retries, self.stalled, self.eject = -1, 0, RETRY_BURST, False, True
        self.used_slots, self.seen, self.serial = (
            0.0,
            0.0,
            itertools.count(),
        )  # own slots out, requests counted
        self.event_handlers: dict[type, Callable[..., None]] = {
            api.Request: self._request, api.AttemptEnded: self._outcome, api.WorkersChanged: self._list,
            api.AttemptProgress: self._note, api.Timer: lambda e: None, api.RequestAbandoned: self._abandoned,
            api.ProbeResult: self._probed, api.HintsReceived: self._heard}  # fmt: skip

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        if now < self.now:
            raise ValueError(f"the clock runs back: {now} after {self.now}")
        if self.now < 0:
            self.step_at = now
            self._at(now + STEP // 4 + self.rng.randrange(STEP // 4), self._step)
            self._at(now + self.rng.randrange(SILENCE), self._open)
            self.todo += [api.Subscribe()] * self.set.subscribe
            self.load_exchange.start(self.rng.randrange(SECOND // 2))
        # A timer that comes late tells of this dispatcher's own pause: silence in it is not the workers'.
        if now > self.now:
            self.stalled = bool(self.timers) and now - self.timers[0] > SILENCE // 2 + 2 * self.set.tick
        self.now = now
        self.load_exchange.tick(now, self.job_time, self.used_slots / len(self.owed) if self.owed else 1.0)
        while self.timers and self.timers[0] <= now:
            heapq.heappop(self.timers)
        self.event_handlers[type(event)](event)
        while self.due and self.due[0][0] <= now:
            _, _, what, about = heapq.heappop(self.due)
            what(about)
        if self.due and not (self.timers and self.timers[0] <= self.due[0][0]):  # one timer, for the earliest
            heapq.heappush(self.timers, self.due[0][0])
            self.todo.append(api.SetTimer(0, max(0, self.due[0][0] - now)))
        done, self.todo = self.todo, []
        return done

    def cluster_health(self) -> api.ClusterHealth:
        bad = (not w.up or (self.eject and self._sound(w) < 0.5) for w in self.workers.values())
        return api.ClusterHealth(len(self.workers), sum(bad))

    def _at(self, when: int, what: Callable[..., None], about: object = None) -> None:
        heapq.heappush(self.due, (when, next(self.serial), what, about))

    def _request(self, req: api.Request) -> None:
        if req.id in self.jobs:
            raise ValueError(f"request {req.id} came twice")
        if req.job_class not in self.classes:
            raise ValueError(f"request {req.id} is of class {req.job_class!r}, which the settings lack")
        cls = self.classes[req.job_class]
        group = 1 << max(0, math.ceil(math.log2(max(req.slots, 1.0))))
        row = (cls.kind or "", group, -1 if req.key is None else req.key)
        lane = (cls.name, self._fairness(req), group)
        need, service = max(req.slots, req.memory or 0.0), self._base(req) * math.exp(self.typical[cls.name])
        weight = max(need * service * self.mean[cls.name], self.weight * (not self.answers[cls.name]))
        value = lane[1] * cls.worth * (service if self.set.worth_by_work else 1.0)
        job = Job(req, cls, row, lane, need, service, weight, value, self.rng.random())
        # Load shedding: after its wanted time, counted from the first try, an answer is worth nothing.
        slack = cls.aim - self._age(req) + (cls.stretch - 1) * job.service
        job.shed_at = self.now + min(req.time_left - 2 * self.set.tick, int(slack))
        self.jobs[req.id] = job
        self.asked[cls.name] += value
        self.weight += FAULT * (job.weight - self.weight)
        self.count[row] += service * self.mean[cls.name] * req.slots / SECOND
        self.seen += 1
        self.retries = min(RETRY_BURST, self.retries + RETRY_RATIO)
        if cls.sequential and req.key is not None:
            self.turns.setdefault(req.key, deque()).append(job)
            self._turn(req.key)
        else:
            self._place(job)
        if req.id in self.jobs and not job.attempts:
            self._at(job.shed_at, self._shed, job)

    def _age(self, req: api.Request) -> int:
        """Time since the first try. Little time left tells of a repeat, unless clients mark these."""
        who = (req.job_class, req.tenant if self.set.marks_retry else None)
        fresh = self.set.marks_retry and not req.is_retry
        whole = self.whole[who] = req.time_left if fresh else max(self.whole.get(who, 0), req.time_left)
        # Where hardly anybody names the whole time, clients have grown impatient: these are no repeats.
        part = self.firsts[who] = 0.85 * self.firsts.get(who, 1.0) + 0.15 * (req.time_left > 0.98 * whole)
        return 0 if part < LEAST_FIRSTS else whole - req.time_left

    def _fairness(self, req: api.Request) -> float:  # over-share work waits behind, and so is shed first
        if req.tenant not in self.share:
            return 1.0
        rate, level, at = self.share[req.tenant]
        level = max(0.0, level - (self.now - at) / SECOND * rate) + 1
        over = level > 2 * rate + 3
        self.share[req.tenant] = (rate, level - over, self.now)
        return self.set.over_share_worth if over else 1.0

    def _base(self, req: api.Request) -> float:  # what service is learned against: hint or seed
        return req.work_hint or max(1.0, self.classes[req.job_class].aim / 2)

    def _worth(self, name: str) -> float:  # of a slot-second; more where the class served worst has its part
        cls = self.classes[name]
        worst = min(self.asked, key=lambda n: (self.won[n] + LEAST) / (self.asked[n] + LEAST)) == name
        up = 1 + self.set.worst_class * worst * sum(self.asked.values()) / (self.asked[name] or LEAST)
        return cls.worth * up / (self.set.worth_by_work or (cls.aim or 1) * math.exp(self.typical[name]))

    def _turn(self, key: int) -> None:
        """Rule 5: the first of a key's requests may go, once the key has rested."""
        queue = self.turns.get(key) or deque()
        while queue and queue[0].request.id not in self.jobs and all(a.ending for a in queue[0].attempts):
            queue.popleft()
        if self.now < self.rest_until.get(key, 0):
            self._at(self.rest_until[key], self._turn, key)
        elif not queue:
            self.turns.pop(key, None)
            self.rest_until.pop(key, None)
        elif queue[0].request.id in self.jobs and not queue[0].attempts and not queue[0].held:
            self._place(queue[0])

    def _shed(self, job: Job) -> None:
        if job.request.id in self.jobs and all(a.ending for a in job.attempts):
            self._end(job)

    def _end(self, job: Job) -> None:  # refused where a new try does no harm, else failed (rule 2)
        harmless = job.cls.repeat is RetrySafety.SAFE or not any(a.may_have_run for a in job.attempts)
        harmless = harmless or (
            job.cls.repeat is RetrySafety.KEYED and job.cls.group is DeduplicationScope.ALL
        )
        wait = int(RETRY_AFTER * self.rng.uniform(0.5, 1.5))  # refused together is not back together
        self.todo.append(api.Reject(job.request.id, wait) if harmless else api.Fail(job.request.id))
        self._forget(job)

    def _forget(self, job: Job) -> None:
        del self.jobs[job.request.id]
        self.load_exchange.drop(job)
        if job.held:
            job.held = False
            self.held_jobs[job.lane].remove(job)
        if job.cls.sequential and job.request.key is not None:
            self._turn(job.request.key)

    def _abandoned(self, event: api.RequestAbandoned) -> None:
        if job := self.jobs.get(event.request):
            if self.set.cancel:  # nobody waits for the answer: what has not started need not start
                self.todo += [
                    api.Cancel(job.request.id, n) for n, a in enumerate(job.attempts) if not a.ending
                ]
            self._forget(job)

    def _place(self, job: Job) -> None:
        """Send, or hold: unsent, a request may still go anywhere or be refused."""
        while not (w := self._draw(job)) and job.looks < LOOKS:
            job.looks += 1
            if self.load_exchange.look(job, self._near(job)):
                return None
        if w:
            return self._send(job, w)
        job.held = True
        return self.held_jobs[job.lane].append(job)

    def _serve_held(self) -> None:
        """Most worth first, and newest first: in a jam the oldest would all just miss their time."""
        tries = TRIED
        for name in sorted(
            self.held_jobs, key=lambda lane: (-lane[1] * self._worth(lane[0]) / lane[2], lane)
        ):
            lane = self.held_jobs[name]
            while lane and tries > 0:
                tries -= 2  # where the newest fits nowhere, it must not block the rest: any other is tried
                pair = (lane[-1], lane[self.rng.randrange(len(lane))])
                job, w = next(((j, w) for j in pair if (w := self._draw(j))), (None, None))
                if not (job and w):
                    break
                lane.remove(job)
                job.held = False
                self._send(job, w)

    def _draw(self, job: Job) -> State | None:
        """Two phi draws, the lower estimate wins. Both busy: spill, or hold."""
        near = self._near(job)
        known = [w for w in near if self.load_exchange.known(w)]
        if job.looks == LOOKS and not any(self.load_exchange.known(w, 1.0) for w in near):
            known = self.rng.sample(near, len(near))  # nobody tells: all that are blind must not choose alike
        return next((w for w in known if self._room(job, w)), None)

    def _near(self, job: Job) -> list[State]:
        """Two phi draws, then spill in the key's own order; own zone first, unless a crossing is cheap."""
        names = self.rng.choices(row, [p for _, p in row], k=2) if (row := self.table.get(job.row)) else ()
        near = [w for name, _ in names if (w := self.workers.get(name)) and self._usable(job, w)]
        near.sort(key=lambda w: (self._wait(job, w) + job.service * w.slowness) / self._sound(w))
        reach = max(REACH, min(MOST, len(self.workers) // PART))
        few, rest, last, cheap = list[State](), list[State](), job.looks == LOOKS, self.set.crossing <= SOON
        for w in self._ordered(job.request.key):
            if self._usable(job, w):
                (few if (cheap or w.info.zone == self.set.zone) and len(few) < reach else rest).append(w)
                if len(few) == reach and (not last or len(rest) > reach // 2):
                    break
        few += [*rest[: reach // 2 + 1], *(w for w in self.open if self._usable(job, w))][: last * MOST]
        return sorted([*near, *few], key=lambda w: max(0.0, self._wait(job, w) - SOON * self.job_time))

    def _ordered(self, key: int | None, walk: int = WALK) -> Iterator[State]:
        """Workers in the key's order: along a ring on which each stands by its size."""
        many, met = len(self.ring), set()
        at = 0 if key is None else bisect.bisect_left(self.ring, (hashed(key)[0], ""))
        for n in range(at, at + min(walk, many)):
            name = self.ring[self.rng.randrange(many) if key is None else n % many][1]
            if name not in met:
                met.add(name)
                yield self.workers[name]

    def _usable(self, job: Job, w: State) -> bool:  # rules, job's demands, trust
        if not w.up or w.info.id == job.not_on or (self.eject and job.luck > self._sound(w)):
            return False
        if job.cls.kind not in (None, w.info.kind) or not self._repeatable(job, w.info):
            return False
        return self.load_exchange.fits(job.need, w)

    def _repeatable(self, job: Job, info: api.Worker) -> bool:  # rule 2
        ran = next((a for a in job.attempts if a.may_have_run), None)
        if ran is None or job.cls.repeat is RetrySafety.SAFE:
            return True
        if job.cls.repeat is RetrySafety.UNSAFE or self.now >= ran.sent + job.cls.window - 2 * self.set.tick:
            return False
        same = {
            DeduplicationScope.CELL: ran.worker.cell == info.cell,
            DeduplicationScope.ZONE: ran.worker.zone == info.zone,
        }
        return same.get(job.cls.group, True)

    def _warmth(self, w: State) -> float:  # slow start: least capacity of a new worker
        if not w.info.started_at or self.set.warm_up <= 0:
            return 1.0
        age = (self.now - w.info.started_at) / self.set.warm_up
        return min(1.0, self.set.cold_share + (1 - self.set.cold_share) * max(0.0, age))

    def _room(self, job: Job, w: State) -> bool:  # starts soon, pushes no cold worker over
        if self._warmth(w) < 1.0 and (self._credit(w) < 0 or job.weight * w.slowness > self._budget(w)):
            return False
        usual = 1.25 * (self.used_slots + job.need) * self.sizes[w.info.kind] / max(self.whole_size, LEAST)
        most = math.ceil(
            max(job.need, self.load_exchange.slots_of(w) / self.set.dispatchers, usual)
        )  # else all herd
        if not (self.set.peers or self.set.probes) and w.used_slots + job.need > most:
            return False
        # Late already, it still earns a part of its worth, but only in time that nobody else wants.
        patience = PATIENCE * (job.shed_at - self.now) if job.looks == LOOKS else SOON * self.job_time
        return self._wait(job, w) <= max(0.0, patience)

    def _budget(self, w: State) -> float:  # rule 4: slot-time that all may send within the window
        return (
            self.set.fall_multiple * self.load_exchange.slots_of(w) * self._warmth(w) * self.set.fall_window
        )

    def _credit(self, w: State) -> float:
        """Own part of a cold worker's budget. All machines read one clock, so parts of less than a job fall
        due in turn. Unused they lapse within the window, else all would spend what they saved at once."""
        rate = COLD_SAFETY * self._budget(w) / self.set.fall_window / self.set.dispatchers
        whole = max(1.0, self.weight * w.slowness)
        if w.credit == math.inf and w.info.started_at:
            turn = rate * (self.now - w.info.started_at) / whole
            turn -= self.set.me * GOLDEN + hashed(w.info.id)[0] / 2**64
            w.credit, w.credit_at = (turn % 1.0 - 1) * whole, self.now  # none saved up: who sent what?
        w.credit, w.credit_at = w.credit + rate * (self.now - w.credit_at), self.now
        w.credit -= whole * max(0, math.ceil((w.credit - rate * self.set.fall_window) / whole))
        return w.credit

    def _open(self, _: object) -> None:
        """Cold workers that may get a job now, hardly ever a key's own; and what held jobs hang on, anew."""
        self._at(self.now + SILENCE, self._open)
        for job in (job for lane in self.held_jobs.values() for job in lane[-AGAIN:]):
            self.load_exchange.ask(self._near(job))
        self.open = [w for w in self.workers.values() if self._warmth(w) < 1.0 and self._credit(w) >= 0]

    def _wait(self, job: Job, w: State) -> float:
        slots, others = self.load_exchange.slots_of(w), self.load_exchange.others(w)
        return max(0.0, w.used_slots + others + job.need - slots) / slots * self.job_time * w.slowness

    def _sound(self, w: State) -> float:  # part of its usual requests that it gets
        over = max(0.0, max(w.faults, w.told_faults) - FAULT)  # a stray one is free
        return w.trust * max(LEAST_SOUND, 1 - over / (MOST_FAULTS - FAULT))

    def _send(self, job: Job, w: State) -> None:
        key = (job.request.id, len(job.attempts))
        job.attempts.append(Attempt(w.info, self.now))
        self.owed[key] = job
        w.used_slots += job.need
        self.used_slots += job.need
        w.out[key] = job.attempts[-1]
        w.credit -= job.weight * w.slowness
        self.todo.append(api.Send(job.request.id, w.info.id))
        self.load_exchange.tell(w, api.Word.SENT, job.need)
        self._at(self.now + SILENCE, self._silent, (key, w))

    def _silent(self, about: tuple[tuple[int, int], State]) -> None:
        # No start or answer: hung, cut off, paused, dead alike. Could harm a worker with one very long job.
        key, w = about
        if (attempt := w.out.get(key)) is None or (self.set.tells_start and attempt.started):
            return
        jobs = 1.0 if self.set.tells_start else SILENT_JOBS
        limit = max(w.last_sign, attempt.sent) + SILENCE + int(jobs * self.job_time * max(1.0, w.slowness))
        if self.stalled or self.now < limit:
            self._at(max(self.now + SILENCE, limit), self._silent, about)
        else:
            self._doubt(w)

    def _heard(self, said: api.HintsReceived) -> None:
        """Another one's word can cost a worker requests; it never gives back what own evidence took."""
        for w, faults in (news := list(self.load_exchange.heard(said))):
            w.told_faults += FAULT * (faults - w.told_faults)
        return self._serve_held() if news else None

    def _doubt(self, w: State) -> None:
        self.load_exchange.tell(w, api.Word.SICK)
        w.trust = max(LEAST_TRUST, w.trust * DISTRUST)

    def _note(self, note: api.AttemptProgress) -> None:
        job, w = self.owed.get((note.request, note.attempt)), self.workers.get(note.worker)
        if job and note.started and job.attempts[note.attempt].started is None:
            job.attempts[note.attempt].started = self.now
        if note.streaming and note.request in self.jobs:  # the attempt is the client's, no deadline runs
            self._forget(self.jobs[note.request])
        if w:
            self._alive(w)

    def _alive(self, w: State) -> None:
        w.last_sign, w.trust = self.now, (w.trust + 1) / 2

    def _outcome(self, o: api.AttemptEnded) -> None:
        key = (o.request, o.attempt)
        job, w = self.owed.pop(key, None), self.workers.get(o.worker)
        if job is None:
            return
        attempt = job.attempts[o.attempt]
        self.used_slots, attempt.ending = max(0.0, self.used_slots - job.need), o.ending
        if w:
            bad = o.ending in (Outcome.FAILED, Outcome.QUEUE_FULL, Outcome.CONNECT_FAILED, Outcome.RESET)
            self.load_exchange.tell(w, api.Word.BAD if bad else api.Word.ENDED, job.need)
            w.faults += FAULT * (bad - w.faults)
            if w.out.pop(key, None):  # not one from before a restart under the same id
                # Work that was given up goes on: its slots stay taken for as long as it is expected to run.
                left = int(job.service * w.slowness) - attempt.ran(self.now) if attempt.started else 0
                if left > 0 and o.ending in (Outcome.TIMED_OUT, Outcome.CANCELLED):
                    self._at(self.now + left, w.free, job.need)
                else:
                    w.free(job.need)
            self.load_exchange.reported(w, o.load)
            if o.ending is Outcome.OK:
                self._alive(w)
                self.won[job.cls.name] += job.value * (self.now <= job.shed_at + job.service)
                if not self.stalled:  # found late, an answer tells this dispatcher's pause for service time
                    self._learn(job, attempt, w)
            elif o.ending not in (Outcome.CANCELLED, Outcome.IGNORED):
                long = attempt.ran(self.now) > SILENCE + HURRIED * job.service * max(1.0, w.slowness)
                if long if o.ending is Outcome.TIMED_OUT else o.ending is not Outcome.FAILED:
                    self._doubt(w)  # a client's hurry is not its fault, and of failures `faults` knows
        if job.cls.sequential and job.request.key is not None:
            if o.ending in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
                self.rest_until[job.request.key] = self.now + self.set.order_settle
            if o.request not in self.jobs:
                self._turn(job.request.key)
        if o.request in self.jobs:
            self._forget(job) if o.done else self._again(job, attempt)
        self._serve_held()

    def _again(self, job: Job, attempt: Attempt) -> None:
        """Retry: where it may have run, from a budget, since retries must not feed a jam."""
        job.not_on = attempt.worker.id if len(self.workers) > 1 else ""
        free = not attempt.may_have_run
        able = len(job.attempts) < self.set.max_attempts and self.now < job.shed_at
        if not (able and self._repeatable(job, attempt.worker) and (free or self.retries >= 1)):
            return self._end(job)
        self.retries -= not free
        self._at(job.shed_at, self._shed, job)
        return self._place(job)

    def _learn(self, job: Job, attempt: Attempt, w: State) -> None:
        name = job.cls.name
        service = max(1, attempt.ran(self.now)) / w.slowness
        over = math.log(service / self._base(job.request)) - self.typical[name]
        self.answers[name] += 1
        self.typical[name] += max(LEARN, 1 / (self.answers[name] + 1)) * over
        self.mean[name] += LEARN * (min(20.0, math.exp(over)) - self.mean[name])
        self.job_time += LEARN * (service - self.job_time)

    def _probed(self, p: api.ProbeResult) -> None:
        w = self.workers.get(p.worker)
        if w and self.load_exchange.reported(w, p.load):
            self._serve_held()
        elif w and p.ending in (Outcome.CONNECT_FAILED, Outcome.TIMED_OUT):  # dead or cut off
            self._doubt(w)

    def _list(self, event: api.WorkersChanged) -> None:
        if event.how is api.WorkerListKind.LOST:
            self.todo += [api.Subscribe()] * self.set.subscribe
            return
        whole, new = event.how is not api.WorkerListKind.CHANGES, list[State]()
        gone = self.workers.keys() - {w.id for w in event.workers} if whole else set()
        for info in event.workers:
            old, kind = self.workers.get(info.id), info.kind
            self.sizes[kind] = max(self.sizes.get(kind, 0.0), info.size)
            if info.health is Health.DELETED:
                gone.add(info.id)
            elif old is None or old.info.started_at != info.started_at:
                new.append(State(info, old.points if old else [], self.now))
            else:
                old.info = info
        if gone:
            self.ring = [p for p in self.ring if p[1] not in gone]
            for name in gone & self.workers.keys():
                del self.workers[name]
        for w in new:
            self.workers[w.info.id] = w
            if not w.points:  # a restart under the same id keeps its place
                many = max(1, round(POINTS * self.sizes[w.info.kind] / (max(self.sizes.values()) or 1.0)))
                w.points = [(place, w.info.id) for place in hashed(w.info.id, many)]
                self.ring += w.points
        if gone or new:
            self.ring.sort()
            self.whole_size = sum(self.sizes[w.info.kind] for w in self.workers.values()) or LEAST
        self._serve_held()

    def _step(self, _: object) -> None:
        """Steps 1 and 6: extrapolated demand in, the new table out. No demand keeps the last table."""
        span, self.step_at = max(1, self.now - self.step_at) / SECOND, self.now
        self._at(self.now + STEP * 3 // 4 + self.rng.randrange(STEP // 2), self._step)
        slots = sum(self.load_exchange.slots_of(w) for w in self.workers.values())
        for w in self.workers.values():
            w.slowness = (
                self.load_exchange.slots_of(w) * self.whole_size / max(self.sizes[w.info.kind] * slots, LEAST)
            )
            w.trust, w.faults, w.told_faults = min(1.0, 2 * w.trust), HEAL * w.faults, HEAL * w.told_faults
        self.asked, self.won = ({n: HEAL * v for n, v in book.items()} for book in (self.asked, self.won))
        # Where nearly all look bad, the fault is likelier here: ejecting is the harm. A lost zone is half.
        bad = sum(self._sound(w) < 0.5 for w in self.workers.values())
        self.eject = 4 * bad <= 3 * len(self.workers)
        self._serve_held()
        if not self.count:
            return
        wanted: dict[Row, float] = {}
        for row in sorted({*self.count, *self.demand}):
            rate = self.count.get(row, 0.0) / span
            level, trend = self.demand.pop(row, (rate, 0.0))
            new = level + SMOOTH * (rate - level)
            trend += SMOOTH * (new - level - trend)
            if new > 1e-3:
                self.demand[row] = (new, trend)
                wanted[row] = max(new + trend, new / 2)
        self.count.clear()
        # What may be chance, or has no key (one table for all would herd), goes along the ring, as `rest`.
        total = sum(wanted.values())
        error = {row: (total / rate / self.seen) ** 0.5 for row, rate in wanted.items()}  # standard error
        sure = {r: rate * (1 - error[r]) for r, rate in wanted.items() if error[r] < 0.5 and r[2] != -1}
        self.seen *= 1 - SMOOTH
        fit = sorted((w for w in self.workers.values() if sure and w.up), key=lambda w: w.points)  # one order
        size = [self.sizes[w.info.kind] * self._warmth(w) * self._sound(w) for w in fit]
        fleet = {
            w.info.id: (c, w.info.kind, self.load_exchange.slots_of(w))
            for w, c in zip(fit, size, strict=True)
        }
        order = lambda key: (w.info.id for w in self._ordered(key, len(self.ring)))  # noqa: E731
        self.table = pack(sure, total - sum(sure.values()), fleet, order, self.table)
