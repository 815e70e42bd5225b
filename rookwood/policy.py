"""All decisions of a dispatcher. Inputs and outputs: interface.py; data: state.py; reasons: docs/design.md.

The placement step (Algorithm 1) gives each key a few workers with fractions phi. A request draws two of them
by phi and goes to the one with the lower estimated time. All else handles departures from this path."""

import bisect
import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator

from rookwood import interface as api
from rookwood.hashing import stable_hashes
from rookwood.interface import DeduplicationScope as Scope
from rookwood.interface import Health, Outcome
from rookwood.interface import RetrySafety as Safety
from rookwood.load_exchange import LoadExchange
from rookwood.placement import MIN_PHI, pack
from rookwood.state import Attempt, Job, PolicyState, Row, WorkerState

SECOND = 1_000_000  # times are in microseconds unless said otherwise
STEP_INTERVAL = 2 * SECOND  # between placement steps; varied at random by up to a quarter
DEMAND_WEIGHT = 0.4  # weight of the last interval in a key's demand
RING_POINTS = 32  # of a worker of the largest size
MAX_RING_STEPS = 128  # ring points visited to find candidates
MIN_CANDIDATES = 3  # workers of the own zone that are tried for a request, in its key's order
MAX_CANDIDATES = 6
WORKERS_PER_CANDIDATE = 8  # within these limits, one candidate for so many listed workers
LEARNING_RATE = 0.02  # weight of a response in learned service times
FAULT_WEIGHT = 0.1  # weight of an outcome in a fault rate
MAX_FAULT_RATE = 0.25  # fault rate from which on a worker has the least health
MIN_HEALTH = 0.02  # above 0, so that a faulty worker still gets a few requests and can show its recovery
DECAY = 0.8  # part of the fault rates and of the offered and earned worth that a placement step keeps
NO_WAIT = 0.1  # mean service times; shorter waits are ignored. Also the price up to which crossing is cheap
MAX_QUERIES = 2  # times that a request has loads queried: for its own zone, then for all zones
WAIT_SHARE = 0.17  # share of the time a request can still wait that it may be expected to queue at a worker
SILENCE = SECOND // 4  # without a sign of life for this and SILENT_JOBS, a worker is unresponsive
SILENT_JOBS = 4.0  # in mean service times of a job
TRUST_PENALTY = 0.2  # factor on the trust in a suspect worker
MIN_TRUST = 0.02  # above 0 for the same reason as MIN_HEALTH
COLD_BUDGET_SHARE = 0.5  # part of the rule-4 budget that is used
GOLDEN_RATIO = 0.618034  # spreads the dispatchers' turns at a cold worker evenly
RETRY_AFTER = SECOND  # mean time after which a rejected client may come back
RETRY_RATIO = 0.1  # retries earned by each request
RETRY_BURST = 10.0  # most retries that are saved up
MIN_FIRST_TRIES = 0.25  # part of the requests that are first tries even under overload
SLOW_FACTOR = 3  # a timeout counts as the worker's fault after this many times the expected service time
HELD_TRIES = 12  # held requests tried at an event
HELD_QUERIES = 6  # held requests of each queue, the newest, that have loads queried again and again


class Policy(PolicyState):
    """One dispatcher. Pass every event to `handle` and carry out the actions it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.retry_tokens = RETRY_BURST
        self.loads = LoadExchange(
            settings, self.workers, self._call_at, lambda act: self.actions.append(act), self._send_or_hold
        )
        self.event_handlers: dict[type, Callable[..., None]] = {
            api.Request: self._on_request, api.AttemptEnded: self._on_attempt_ended,
            api.WorkersChanged: self._on_workers_changed, api.AttemptProgress: self._on_progress,
            api.Timer: lambda event: None, api.RequestAbandoned: self._on_abandoned,
            api.ProbeResult: self._on_probe_result, api.HintsReceived: self._on_hints}  # fmt: skip

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        if now < self.now:
            raise ValueError(f"the clock runs back: {now} after {self.now}")
        if self.now < 0:
            self.step_at = now
            self._call_at(now + STEP_INTERVAL // 4 + self.rng.randrange(STEP_INTERVAL // 4), self._step)
            self._call_at(now + self.rng.randrange(SILENCE), self._refresh_candidates)
            self.actions += [api.Subscribe()] * self.conf.subscribe
            self.loads.start(self.rng.randrange(SECOND // 2))
        # A late timer shows that this dispatcher itself stalled: silence meanwhile is not the workers' fault.
        if now > self.now:
            self.stalled = bool(self.timers) and now - self.timers[0] > SILENCE // 2 + 2 * self.conf.tick
        self.now = now
        self.loads.advance(now, self.job_time, self.used_slots / len(self.pending) if self.pending else 1.0)
        while self.timers and self.timers[0] <= now:
            heapq.heappop(self.timers)
        self.event_handlers[type(event)](event)
        while self.calls and self.calls[0][0] <= now:
            _, _, callback, argument = heapq.heappop(self.calls)
            callback(argument)
        if self.calls and not (self.timers and self.timers[0] <= self.calls[0][0]):  # one timer only
            heapq.heappush(self.timers, self.calls[0][0])
            self.actions.append(api.SetTimer(0, max(0, self.calls[0][0] - now)))
        actions, self.actions = self.actions, []
        return actions

    def cluster_health(self) -> api.ClusterHealth:
        """Count the listed workers and those that get hardly any requests."""
        bad = (not w.is_serving or (self.ejecting and self._health(w) < 0.5) for w in self.workers.values())
        return api.ClusterHealth(len(self.workers), sum(bad))

    def _call_at(self, when: int, callback: Callable[..., None], argument: object = None) -> None:
        heapq.heappush(self.calls, (when, next(self.serial), callback, argument))

    def _on_request(self, req: api.Request) -> None:
        if req.id in self.jobs:
            raise ValueError(f"request {req.id} came twice")
        if req.job_class not in self.classes:
            raise ValueError(f"request {req.id} is of class {req.job_class!r}, which the settings lack")
        cls = self.classes[req.job_class]
        group = 1 << max(0, math.ceil(math.log2(max(req.slots, 1.0))))
        row = (cls.kind or "", group, -1 if req.key is None else req.key)
        queue = (cls.name, self._tenant_worth(req), group)
        need = max(req.slots, req.memory or 0.0)
        service = self._prior_service_time(req) * math.exp(self.log_factor[cls.name])
        # A class without a response so far is taken to be no shorter than the mean.
        slot_time = max(need * service * self.tails[cls.name], self.slot_time * (not self.served[cls.name]))
        worth = queue[1] * cls.worth * (service if self.conf.worth_by_work else 1.0)
        job = Job(req, cls, row, queue, need, service, slot_time, worth, self.rng.random())
        # Load shedding: past the class's aim, counted from the first try, a response is worth nothing.
        slack = cls.aim - self._time_since_first_try(req) + (cls.stretch - 1) * job.service
        job.shed_at = self.now + min(req.time_left - 2 * self.conf.tick, int(slack))
        self.jobs[req.id] = job
        self.offered[cls.name] += worth
        self.slot_time += FAULT_WEIGHT * (job.slot_time - self.slot_time)
        self.slot_seconds[row] += service * self.tails[cls.name] * req.slots / SECOND
        self.request_count += 1
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        if cls.sequential and req.key is not None:
            self.key_queues.setdefault(req.key, deque()).append(job)
            self._start_next_of_key(req.key)
        else:
            self._send_or_hold(job)
        if req.id in self.jobs and not job.attempts:
            self._call_at(job.shed_at, self._shed_expired, job)

    def _time_since_first_try(self, req: api.Request) -> int:
        """A short time left shows a retry, unless clients mark their retries."""
        key = (req.job_class, req.tenant if self.conf.marks_retry else None)
        first = self.conf.marks_retry and not req.is_retry
        wait = self.waits[key] = req.time_left if first else max(self.waits.get(key, 0), req.time_left)
        # Where hardly any request brings the full time, clients have become impatient: these are no retries.
        ratio = self.firsts[key] = 0.85 * self.firsts.get(key, 1.0) + 0.15 * (req.time_left > 0.98 * wait)
        return 0 if ratio < MIN_FIRST_TRIES else wait - req.time_left

    def _tenant_worth(self, req: api.Request) -> float:  # over-share requests wait longer and are shed first
        if req.tenant not in self.tenant_buckets:
            return 1.0
        rate, level, at = self.tenant_buckets[req.tenant]
        level = max(0.0, level - (self.now - at) / SECOND * rate) + 1
        over = level > 2 * rate + 3
        self.tenant_buckets[req.tenant] = (rate, level - over, self.now)
        return self.conf.over_share_worth if over else 1.0

    def _prior_service_time(self, req: api.Request) -> float:  # service times are learned as factors of this
        return req.work_hint or max(1.0, self.classes[req.job_class].aim / 2)

    def _class_worth(self, name: str) -> float:  # of a slot-second; higher for the class served worst
        cls = self.classes[name]
        worst = min(self.offered, key=lambda n: (self.won[n] + MIN_PHI) / (self.offered[n] + MIN_PHI)) == name
        up = 1 + self.conf.worst_class * worst * sum(self.offered.values()) / (self.offered[name] or MIN_PHI)
        return cls.worth * up / (self.conf.worth_by_work or (cls.aim or 1) * math.exp(self.log_factor[name]))

    def _start_next_of_key(self, key: int) -> None:
        """Rule 5: start the first request of a sequential key once its predecessors and a pause are over."""
        queue = self.key_queues.get(key) or deque()
        while queue and queue[0].request.id not in self.jobs and all(a.outcome for a in queue[0].attempts):
            queue.popleft()
        if self.now < self.paused_until.get(key, 0):
            self._call_at(self.paused_until[key], self._start_next_of_key, key)
        elif not queue:
            self.key_queues.pop(key, None)
            self.paused_until.pop(key, None)
        elif queue[0].request.id in self.jobs and not queue[0].attempts and not queue[0].is_held:
            self._send_or_hold(queue[0])

    def _shed_expired(self, job: Job) -> None:
        if job.request.id in self.jobs and all(a.outcome for a in job.attempts):
            self._reject_or_fail(job)

    def _reject_or_fail(self, job: Job) -> None:  # rejected where a retry by the client does no harm (rule 2)
        harmless = job.cls.repeat is Safety.SAFE or not any(a.may_have_run for a in job.attempts)
        harmless = harmless or (job.cls.repeat is Safety.KEYED and job.cls.group is Scope.ALL)
        wait = int(RETRY_AFTER * self.rng.uniform(0.5, 1.5))  # clients must not all come back at once
        self.actions.append(api.Reject(job.request.id, wait) if harmless else api.Fail(job.request.id))
        self._remove_job(job)

    def _remove_job(self, job: Job) -> None:
        del self.jobs[job.request.id]
        self.loads.forget(job)
        if job.is_held:
            job.is_held = False
            self.held_jobs[job.queue].remove(job)
        if job.cls.sequential and job.request.key is not None:
            self._start_next_of_key(job.request.key)

    def _on_abandoned(self, event: api.RequestAbandoned) -> None:
        if job := self.jobs.get(event.request):
            if self.conf.cancel:  # nobody waits for the response: a job that has not started need not start
                self.actions += [
                    api.Cancel(job.request.id, n) for n, a in enumerate(job.attempts) if not a.outcome
                ]
            self._remove_job(job)

    def _send_or_hold(self, job: Job) -> None:
        """While a request is held, it may still go to any worker or be rejected."""
        while not (w := self._choose_worker(job)) and job.queries < MAX_QUERIES:
            job.queries += 1
            if self.loads.wait_for_load(job, self._candidates(job)):
                return None
        if w:
            return self._send(job, w)
        job.is_held = True
        return self.held_jobs[job.queue].append(job)

    def _send_held_jobs(self) -> None:
        """Most worth first, then newest first: under overload the oldest would all just miss their time."""
        tries = HELD_TRIES
        for key in sorted(self.held_jobs, key=lambda q: (-q[1] * self._class_worth(q[0]) / q[2], q)):
            queue = self.held_jobs[key]
            while queue and tries > 0:
                tries -= 2  # the newest, and any other, as the newest may fit nowhere
                pair = (queue[-1], queue[self.rng.randrange(len(queue))])
                job, w = next(((j, w) for j in pair if (w := self._choose_worker(j))), (None, None))
                if not (job and w):
                    break
                queue.remove(job)
                job.is_held = False
                self._send(job, w)

    def _choose_worker(self, job: Job) -> WorkerState | None:
        """The first candidate of known load that has room. None: query loads, or hold the request."""
        near = self._candidates(job)
        known = [w for w in near if self.loads.is_load_known(w)]
        if job.queries == MAX_QUERIES and not any(self.loads.is_load_known(w, 1.0) for w in near):
            known = self.rng.sample(near, len(near))  # without load data, all must not choose alike
        return next((w for w in known if self._has_room(job, w)), None)

    def _candidates(self, job: Job) -> list[WorkerState]:
        """Two draws by phi, then workers in the key's ring order, own zone first unless crossing is cheap."""
        names = self.rng.choices(row, [p for _, p in row], k=2) if (row := self.table.get(job.row)) else ()
        drawn = [w for name, _ in names if (w := self.workers.get(name)) and self._is_eligible(job, w)]
        drawn.sort(key=lambda w: (self._delay(job, w) + job.service * w.slowness) / self._health(w))
        limit = max(MIN_CANDIDATES, min(MAX_CANDIDATES, len(self.workers) // WORKERS_PER_CANDIDATE))
        near, rest = list[WorkerState](), list[WorkerState]()
        last, cheap = job.queries == MAX_QUERIES, self.conf.crossing <= NO_WAIT
        for w in self._ring_order(job.request.key):
            if self._is_eligible(job, w):
                (near if (cheap or w.info.zone == self.conf.zone) and len(near) < limit else rest).append(w)
                if len(near) == limit and (not last or len(rest) > limit // 2):
                    break
        near += [*rest[: limit // 2 + 1], *(w for w in self.cold if self._is_eligible(job, w))][
            : last * MAX_CANDIDATES
        ]
        return sorted([*drawn, *near], key=lambda w: max(0.0, self._delay(job, w) - NO_WAIT * self.job_time))

    def _ring_order(self, key: int | None, steps: int = MAX_RING_STEPS) -> Iterator[WorkerState]:
        """Workers in the key's order along the ring, on which larger workers have more points."""
        points, met = len(self.ring), set()
        start = 0 if key is None else bisect.bisect_left(self.ring, (stable_hashes(key)[0], ""))
        for n in range(start, start + min(steps, points)):
            name = self.ring[self.rng.randrange(points) if key is None else n % points][1]
            if name not in met:
                met.add(name)
                yield self.workers[name]

    def _is_eligible(self, job: Job, w: WorkerState) -> bool:  # by the rules, the request's needs and health
        if not w.is_serving or w.info.id == job.failed_on or (self.ejecting and job.cutoff > self._health(w)):
            return False
        if job.cls.kind not in (None, w.info.kind) or not self._may_run_again(job, w.info):
            return False
        return self.loads.fits(job.need, w)

    def _may_run_again(self, job: Job, info: api.Worker) -> bool:  # rule 2
        ran = next((a for a in job.attempts if a.may_have_run), None)
        if ran is None or job.cls.repeat is Safety.SAFE:
            return True
        if job.cls.repeat is Safety.UNSAFE or self.now >= ran.sent_at + job.cls.window - 2 * self.conf.tick:
            return False
        same = {Scope.CELL: ran.worker.cell == info.cell, Scope.ZONE: ran.worker.zone == info.zone}
        return same.get(job.cls.group, True)

    def _capacity(self, w: WorkerState) -> float:  # slow start: the part of its capacity that a worker has
        if not w.info.started_at or self.conf.warm_up <= 0:
            return 1.0
        age = (self.now - w.info.started_at) / self.conf.warm_up
        return min(1.0, self.conf.cold_share + (1 - self.conf.cold_share) * max(0.0, age))

    def _has_room(self, job: Job, w: WorkerState) -> bool:  # it starts soon and keeps a cold budget
        if self._capacity(w) < 1.0 and (self._credit(w) < 0 or job.slot_time * w.slowness > self._budget(w)):
            return False
        usual = 1.25 * (self.used_slots + job.need) * self.sizes[w.info.kind] / max(self.total_size, MIN_PHI)
        most = math.ceil(max(job.need, self.loads.slots_of(w) / self.conf.dispatchers, usual))  # or all herd
        if not (self.conf.peers or self.conf.probes) and w.used_slots + job.need > most:
            return False
        # A late response still earns a part of its worth, but only at a worker that is idle.
        cap = WAIT_SHARE * (job.shed_at - self.now) if job.queries == MAX_QUERIES else NO_WAIT * self.job_time
        return self._delay(job, w) <= max(0.0, cap)

    def _budget(self, w: WorkerState) -> float:  # rule 4: slot-time that all may send within the window
        return self.conf.fall_multiple * self.loads.slots_of(w) * self._capacity(w) * self.conf.fall_window

    def _credit(self, w: WorkerState) -> float:
        """Own part of a cold worker's budget. All machines read one clock, so parts of less than a job fall
        due in turn. Unused parts expire within the window, or all could spend their savings at once."""
        rate = COLD_BUDGET_SHARE * self._budget(w) / self.conf.fall_window / self.conf.dispatchers
        one_job = max(1.0, self.slot_time * w.slowness)
        if w.credit == math.inf and w.info.started_at:
            turn = rate * (self.now - w.info.started_at) / one_job
            turn -= self.conf.me * GOLDEN_RATIO + stable_hashes(w.info.id)[0] / 2**64
            w.credit, w.credit_at = (turn % 1.0 - 1) * one_job, self.now  # no savings: past sends are unknown
        w.credit, w.credit_at = w.credit + rate * (self.now - w.credit_at), self.now
        w.credit -= one_job * max(0, math.ceil((w.credit - rate * self.conf.fall_window) / one_job))
        return w.credit

    def _refresh_candidates(self, _: object) -> None:
        """Query loads for held requests, and list cold workers with credit, which are seldom a key's own."""
        self._call_at(self.now + SILENCE, self._refresh_candidates)
        for job in (job for queue in self.held_jobs.values() for job in queue[-HELD_QUERIES:]):
            self.loads.query_load(self._candidates(job))
        self.cold = [w for w in self.workers.values() if self._capacity(w) < 1.0 and self._credit(w) >= 0]

    def _delay(self, job: Job, w: WorkerState) -> float:  # expected time in the worker's queue
        slots, others = self.loads.slots_of(w), self.loads.slots_of_others(w)
        return max(0.0, w.used_slots + others + job.need - slots) / slots * self.job_time * w.slowness

    def _health(self, w: WorkerState) -> float:  # part of its usual requests that it gets
        over = max(0.0, max(w.fault_rate, w.peer_fault_rate) - FAULT_WEIGHT)  # a single fault is free
        return w.trust * max(MIN_HEALTH, 1 - over / (MAX_FAULT_RATE - FAULT_WEIGHT))

    def _send(self, job: Job, w: WorkerState) -> None:
        key = (job.request.id, len(job.attempts))
        job.attempts.append(Attempt(w.info, self.now))
        self.pending[key] = job
        w.used_slots += job.need
        self.used_slots += job.need
        w.attempts[key] = job.attempts[-1]
        w.credit -= job.slot_time * w.slowness
        self.actions.append(api.Send(job.request.id, w.info.id))
        self.loads.send_hint(w, api.HintKind.SENT, job.need)
        self._call_at(self.now + SILENCE, self._check_silence, (key, w))

    def _check_silence(self, watched: tuple[tuple[int, int], WorkerState]) -> None:
        # No start or outcome: the worker hangs, is cut off, stalled or dead. A very long job looks the same.
        key, w = watched
        if (attempt := w.attempts.get(key)) is None or (self.conf.tells_start and attempt.started_at):
            return
        jobs = 1.0 if self.conf.tells_start else SILENT_JOBS
        limit = max(w.alive_at, attempt.sent_at) + SILENCE + int(jobs * self.job_time * max(1.0, w.slowness))
        if self.stalled or self.now < limit:
            self._call_at(max(self.now + SILENCE, limit), self._check_silence, watched)
        else:
            self._lower_trust(w)

    def _on_hints(self, event: api.HintsReceived) -> None:
        """Hints can cost a worker requests, but never restore the trust that own observation took away."""
        for w, faults in (news := list(self.loads.receive_hints(event))):
            w.peer_fault_rate += FAULT_WEIGHT * (faults - w.peer_fault_rate)
        return self._send_held_jobs() if news else None

    def _lower_trust(self, w: WorkerState) -> None:
        self.loads.send_hint(w, api.HintKind.SUSPECT)
        w.trust = max(MIN_TRUST, w.trust * TRUST_PENALTY)

    def _on_progress(self, event: api.AttemptProgress) -> None:
        job, w = self.pending.get((event.request, event.attempt)), self.workers.get(event.worker)
        if job and event.started and job.attempts[event.attempt].started_at is None:
            job.attempts[event.attempt].started_at = self.now
        if event.streaming and event.request in self.jobs:  # its client has the response: no deadline applies
            self._remove_job(self.jobs[event.request])
        if w:
            self._record_life_sign(w)

    def _record_life_sign(self, w: WorkerState) -> None:
        w.alive_at, w.trust = self.now, (w.trust + 1) / 2

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        key = (event.request, event.attempt)
        job, w = self.pending.pop(key, None), self.workers.get(event.worker)
        if job is None:
            return
        attempt = job.attempts[event.attempt]
        self.used_slots, attempt.outcome = max(0.0, self.used_slots - job.need), event.outcome
        if w:
            bad = event.outcome in (Outcome.FAILED, Outcome.QUEUE_FULL, Outcome.CONNECT_FAILED, Outcome.RESET)
            self.loads.send_hint(w, api.HintKind.FAILED if bad else api.HintKind.ENDED, job.need)
            w.fault_rate += FAULT_WEIGHT * (bad - w.fault_rate)
            if w.attempts.pop(key, None):  # else it was sent before a restart under the same id
                # A worker goes on with a job that was given up: its slots stay taken for the expected time.
                left = int(job.service * w.slowness) - attempt.run_time(self.now) if attempt.started_at else 0
                if left > 0 and event.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
                    self._call_at(self.now + left, w.release, job.need)
                else:
                    w.release(job.need)
            self.loads.record_report(w, event.load)
            if event.outcome is Outcome.OK:
                self._record_life_sign(w)
                self.won[job.cls.name] += job.worth * (self.now <= job.shed_at + job.service)
                if not self.stalled:  # else the measured time would include this dispatcher's own stall
                    self._learn_service_time(job, attempt, w)
            elif event.outcome not in (Outcome.CANCELLED, Outcome.IGNORED):
                slow = attempt.run_time(self.now) > SILENCE + SLOW_FACTOR * job.service * max(1.0, w.slowness)
                if slow if event.outcome is Outcome.TIMED_OUT else event.outcome is not Outcome.FAILED:
                    self._lower_trust(w)  # not for an impatient client, nor for failures: see `fault_rate`
        if job.cls.sequential and job.request.key is not None:
            if event.outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
                self.paused_until[job.request.key] = self.now + self.conf.order_settle
            if event.request not in self.jobs:
                self._start_next_of_key(job.request.key)
        if event.request in self.jobs:
            self._remove_job(job) if event.request_done else self._retry(job, attempt)
        self._send_held_jobs()

    def _retry(self, job: Job, attempt: Attempt) -> None:
        """An attempt that may have run costs retry budget, since retries must not feed an overload."""
        job.failed_on = attempt.worker.id if len(self.workers) > 1 else ""
        free = not attempt.may_have_run
        may_retry = len(job.attempts) < self.conf.max_attempts and self.now < job.shed_at
        if not (may_retry and self._may_run_again(job, attempt.worker) and (free or self.retry_tokens >= 1)):
            return self._reject_or_fail(job)
        self.retry_tokens -= not free
        self._call_at(job.shed_at, self._shed_expired, job)
        return self._send_or_hold(job)

    def _learn_service_time(self, job: Job, attempt: Attempt, w: WorkerState) -> None:
        name = job.cls.name
        service = max(1, attempt.run_time(self.now)) / w.slowness
        over = math.log(service / self._prior_service_time(job.request)) - self.log_factor[name]
        self.served[name] += 1
        self.log_factor[name] += max(LEARNING_RATE, 1 / (self.served[name] + 1)) * over
        self.tails[name] += LEARNING_RATE * (min(20.0, math.exp(over)) - self.tails[name])
        self.job_time += LEARNING_RATE * (service - self.job_time)

    def _on_probe_result(self, event: api.ProbeResult) -> None:
        w = self.workers.get(event.worker)
        if w and self.loads.record_report(w, event.load):
            self._send_held_jobs()
        elif w and event.outcome in (Outcome.CONNECT_FAILED, Outcome.TIMED_OUT):  # dead or cut off
            self._lower_trust(w)

    def _on_workers_changed(self, event: api.WorkersChanged) -> None:
        if event.kind is api.WorkerListKind.LOST:
            self.actions += [api.Subscribe()] * self.conf.subscribe
            return
        is_full, new = event.kind is not api.WorkerListKind.CHANGES, list[WorkerState]()
        gone = self.workers.keys() - {w.id for w in event.workers} if is_full else set()
        for info in event.workers:
            old, kind = self.workers.get(info.id), info.kind
            self.sizes[kind] = max(self.sizes.get(kind, 0.0), info.size)
            if info.health is Health.DELETED:
                gone.add(info.id)
            elif old is None or old.info.started_at != info.started_at:
                new.append(WorkerState(info, old.ring_points if old else [], self.now))
            else:
                old.info = info
        if gone:
            self.ring = [p for p in self.ring if p[1] not in gone]
            for name in gone & self.workers.keys():
                del self.workers[name]
        for w in new:
            self.workers[w.info.id] = w
            if not w.ring_points:  # a restart under the same id keeps its points
                n = max(1, round(RING_POINTS * self.sizes[w.info.kind] / (max(self.sizes.values()) or 1.0)))
                w.ring_points = [(point, w.info.id) for point in stable_hashes(w.info.id, n)]
                self.ring += w.ring_points
        if gone or new:
            self.ring.sort()
            self.total_size = sum(self.sizes[w.info.kind] for w in self.workers.values()) or MIN_PHI
        self._send_held_jobs()

    def _step(self, _: object) -> None:
        """Steps 1 and 6 of Algorithm 1: from extrapolated demand to a new table. Without demand it stays."""
        span, self.step_at = max(1, self.now - self.step_at) / SECOND, self.now
        self._call_at(self.now + STEP_INTERVAL * 3 // 4 + self.rng.randrange(STEP_INTERVAL // 2), self._step)
        slots = sum(self.loads.slots_of(w) for w in self.workers.values())
        for w in self.workers.values():
            w.slowness = (
                self.loads.slots_of(w) * self.total_size / max(self.sizes[w.info.kind] * slots, MIN_PHI)
            )
            w.trust = min(1.0, 2 * w.trust)
            w.fault_rate, w.peer_fault_rate = DECAY * w.fault_rate, DECAY * w.peer_fault_rate
        self.offered, self.won = ({n: DECAY * v for n, v in d.items()} for d in (self.offered, self.won))
        # If over 3/4 look bad, the fault is likelier here, so ejecting does harm. A lost zone is only a half.
        bad = sum(self._health(w) < 0.5 for w in self.workers.values())
        self.ejecting = 4 * bad <= 3 * len(self.workers)
        self._send_held_jobs()
        if not self.slot_seconds:
            return
        wanted: dict[Row, float] = {}
        for row in sorted({*self.slot_seconds, *self.demand}):
            rate = self.slot_seconds.get(row, 0.0) / span
            level, trend = self.demand.pop(row, (rate, 0.0))
            new = level + DEMAND_WEIGHT * (rate - level)
            trend += DEMAND_WEIGHT * (new - level - trend)
            if new > 1e-3:
                self.demand[row] = (new, trend)
                wanted[row] = max(new + trend, new / 2)
        self.slot_seconds.clear()
        # What may be chance, by its standard error, or has no key (one row would herd) follows the ring.
        total = sum(wanted.values())
        error = {row: (total / rate / self.request_count) ** 0.5 for row, rate in wanted.items()}
        sure = {r: rate * (1 - error[r]) for r, rate in wanted.items() if error[r] < 0.5 and r[2] != -1}
        self.request_count *= 1 - DEMAND_WEIGHT
        # Sorted by ring points, the same order at every dispatcher.
        fit = sorted((w for w in self.workers.values() if sure and w.is_serving), key=lambda w: w.ring_points)
        size = [self.sizes[w.info.kind] * self._capacity(w) * self._health(w) for w in fit]
        fleet = {w.info.id: (c, w.info.kind, self.loads.slots_of(w)) for w, c in zip(fit, size, strict=True)}
        order = lambda key: (w.info.id for w in self._ring_order(key, len(self.ring)))  # noqa: E731
        self.table = pack(sure, total - sum(sure.values()), fleet, order, self.table)
