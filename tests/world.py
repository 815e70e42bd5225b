"""Feeds a policy with legal events and checks each of its actions against the rules, with records of its own.

This is not a simulator: nothing takes time or has capacity. A test, or hypothesis, decides what happens next.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from rookwood import Policy
from rookwood import interface as api

MS = 1_000
SLACK = 16 * MS  # by which a final response may come after the deadline
GRACE = 500 * MS  # for which requests may still go to a worker that started to drain

CLASSES = (
    api.JobClass("read", 500 * MS, 5_000 * MS, 5.0, api.RetrySafety.SAFE, stretch=2.0),
    api.JobClass(
        "order", 1_500 * MS, 8_000 * MS, 10.0, api.RetrySafety.KEYED, api.DeduplicationScope.ALL, 3_000 * MS
    ),
    api.JobClass(
        "vent", 1_500 * MS, 8_000 * MS, 3.0, api.RetrySafety.KEYED, api.DeduplicationScope.CELL, 3_000 * MS
    ),
    api.JobClass("fee", 750 * MS, 5_000 * MS, 3.0, api.RetrySafety.UNSAFE, stretch=1.75),
    api.JobClass("bound", 750 * MS, 5_000 * MS, 3.0, api.RetrySafety.UNSAFE, kind="big"),
)


def settings(**changes: object) -> api.Settings:
    values: dict[str, object] = {
        "classes": CLASSES,
        "tenants": (api.Tenant("a", 10.0), api.Tenant("b", 5.0)),
        "dispatchers": 2,
        "zone": "z0",
        "tick": 4 * MS,
        "tells_start": True,
        "cold_share": 0.3,
        "warm_up": 8_000 * MS,
        "fall_multiple": 3.0,
        "fall_window": 2_000 * MS,
        "over_share_worth": 0.2,
    }
    sequential = changes.pop("sequential", ())
    assert isinstance(sequential, tuple)
    values["classes"] = tuple(replace(c, sequential=c.name in sequential) for c in CLASSES)
    return api.Settings(**{**values, **changes})  # type: ignore[arg-type]


def worker(number: int, **changes: object) -> api.Worker:
    values: dict[str, object] = {
        "id": f"10.0.0.{number}:80",
        "size": 4.0,
        "cell": number // 2,
        "kind": "big" if number % 2 else "small",
        "zone": "z0",
    }
    return api.Worker(**{**values, **changes})  # type: ignore[arg-type]


@dataclass
class SentAttempt:
    """An attempt that the policy has sent."""

    worker: str
    sent_at: int
    outcome: api.Outcome | None = None
    ended_at: int = 0


@dataclass
class RequestRecord:
    """A request and the attempts of it."""

    cls: api.JobClass
    key: int | None
    deadline: int
    work_hint: float
    attempts: list[SentAttempt] = field(default_factory=list)
    answered: bool = False  # the client has its final response or has left


class World:
    """One policy, with the rules asserted on each of its actions."""

    def __init__(self, conf: api.Settings, seed: int = 1) -> None:
        self.conf = conf
        self.policy = Policy(conf, seed)
        self.now = 1_000_000
        self.listed: dict[str, api.Worker] = {}  # also those that are no longer listed
        self.stopped_at: dict[str, int] = {}  # since when a worker is draining, deleted or not listed
        self.requests: dict[int, RequestRecord] = {}
        self.timers: list[tuple[int, int]] = []  # time and token
        self.actions: list[tuple[int, api.Action]] = []
        self.sends_to_cold_workers: dict[str, list[tuple[int, float]]] = {}  # time and work hint
        self.next_id = 1
        self.checks_cold_workers = True  # whether rule 4 is checked

    # ---- events ----

    def feed(self, event: api.Event) -> list[api.Action]:
        actions = self.policy.handle(self.now, event)
        for action in actions:
            self.actions.append((self.now, action))
            self.check_action(action)
        return actions

    def list_workers(
        self, *workers: api.Worker, kind: api.WorkerListKind = api.WorkerListKind.FULL
    ) -> list[api.Action]:
        if kind in (api.WorkerListKind.FULL, api.WorkerListKind.CACHED):
            for name in set(self.listed) - {w.id for w in workers}:
                self.stopped_at.setdefault(name, self.now)
        for info in workers:
            if info.health is api.Health.SERVING:
                self.stopped_at.pop(info.id, None)
            else:
                self.stopped_at.setdefault(info.id, self.now)
            self.listed[info.id] = info
        return self.feed(api.WorkersChanged(kind, workers))

    def send_request(self, name: str, time_left: int | None = None, **more: object) -> int:
        cls = next(c for c in self.conf.classes if c.name == name)
        time_left = cls.give_up if time_left is None else time_left
        number = self.next_id
        self.next_id += 1
        hint = more.get("work_hint")
        key = more.get("key")
        work = float(hint) if isinstance(hint, int) else 0.0
        self.requests[number] = RequestRecord(
            cls, key if isinstance(key, int) else None, self.now + time_left, work
        )
        self.feed(api.Request(number, name, time_left, **more))  # type: ignore[arg-type]
        return number

    def end_attempt(self, number: int, outcome: api.Outcome, load: dict[str, float] | None = None) -> None:
        request = self.requests[number]
        index = len(request.attempts) - 1
        attempt = request.attempts[index]
        assert attempt.outcome is None
        attempt.outcome, attempt.ended_at = outcome, self.now
        if outcome is api.Outcome.OK:
            request.answered = True
        event = api.AttemptEnded(
            number, index, attempt.worker, outcome, self.now - attempt.sent_at, request.answered, load
        )
        self.feed(event)

    def report_start(self, number: int) -> None:
        attempts = self.requests[number].attempts
        self.feed(api.AttemptProgress(number, len(attempts) - 1, attempts[-1].worker, True))

    def advance(self, span: int) -> None:
        """Let time pass: due timers elapse, and attempts that are open at their deadline time out."""
        until = self.now + span
        while True:
            due = [(t, 0, k) for t, k in self.timers if t <= until]
            due += [
                (r.deadline, 1, n)
                for n, r in self.requests.items()
                if r.deadline <= until and r.attempts and r.attempts[-1].outcome is None
            ]
            if not due:
                break
            when, order, number = min(due)
            self.now = max(self.now, when)
            if order == 0:
                self.timers.remove((when, number))
                self.feed(api.Timer(number))
            else:
                self.end_attempt(number, api.Outcome.TIMED_OUT)
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def stall(self, span: int) -> None:
        """Let this dispatcher stall, then feed all at once: due timers, then starts of the open attempts."""
        self.now += span
        due = [t for t in self.timers if t[0] <= self.now]
        for timer in due:
            self.timers.remove(timer)
            self.feed(api.Timer(timer[1]))
        for number in self.open_requests():
            self.report_start(number)

    def open_requests(self) -> list[int]:
        """Return the requests whose last attempt has no outcome yet."""
        return [n for n, r in self.requests.items() if r.attempts and r.attempts[-1].outcome is None]

    # ---- the rules ----

    def check_deadlines(self) -> None:
        late = [n for n, r in self.requests.items() if not r.answered and self.now > r.deadline + SLACK]
        assert not late, f"rule 1: no final response to {late}"

    def check_action(self, action: api.Action) -> None:
        match action:
            case api.Send(number, name, _):
                self.check_send(self.requests[number], number, name)
            case api.Reject(number):
                request = self.requests[number]
                assert not request.answered, "rule 1: a second final response"
                request.answered = True
                harmless = request.cls.repeat is api.RetrySafety.SAFE or not self.attempts_that_may_have_run(
                    request
                )
                keyed_all = (
                    request.cls.repeat is api.RetrySafety.KEYED
                    and request.cls.group is api.DeduplicationScope.ALL
                )
                assert harmless or keyed_all, "rule 2: rejected though it may have run"
            case api.Fail(number):
                assert not self.requests[number].answered, "rule 1: a second final response"
                self.requests[number].answered = True
            case api.SetTimer(token, delay):
                assert 0 <= delay <= 71 * 60 * 1_000_000
                self.timers.append((self.now + max(delay, 1), token))

    def check_key_order(self, request: RequestRecord) -> None:
        for earlier in self.requests.values():
            if earlier is request:
                break
            if earlier.cls.sequential and earlier.key == request.key:
                assert earlier.answered, "rule 5: an earlier request has not ended"
                for attempt in earlier.attempts:
                    assert attempt.outcome is not None, "rule 5: an earlier request has an open attempt"
                    if attempt.outcome in (api.Outcome.TIMED_OUT, api.Outcome.RESET, api.Outcome.CANCELLED):
                        assert self.now >= attempt.ended_at + self.conf.order_settle, (
                            "rule 5: the key is paused"
                        )

    def attempts_that_may_have_run(self, request: RequestRecord) -> list[SentAttempt]:
        return [a for a in request.attempts if a.outcome not in api.NEVER_RAN]

    def check_send(self, request: RequestRecord, number: int, name: str) -> None:
        assert name in self.listed, "sent to a worker in no list"
        assert not request.answered, "rule 1: sent after the final response"
        assert len(request.attempts) < self.conf.max_attempts
        assert all(a.outcome is not None for a in request.attempts), "two open attempts"
        ran = self.attempts_that_may_have_run(request)
        if ran and request.cls.repeat is not api.RetrySafety.SAFE:
            assert request.cls.repeat is api.RetrySafety.KEYED, "rule 2: unsafe request sent again"
            assert self.now <= ran[0].sent_at + request.cls.window, "rule 2: sent after the window"
            if request.cls.group is api.DeduplicationScope.CELL:
                assert self.listed[name].cell == self.listed[ran[0].worker].cell, "rule 2: other cell"
            if request.cls.group is api.DeduplicationScope.ZONE:
                assert self.listed[name].zone == self.listed[ran[0].worker].zone, "rule 2: other zone"
        if request.cls.sequential and request.key is not None:
            self.check_key_order(request)
        assert self.now <= self.stopped_at.get(name, self.now) + GRACE, "rule 3: sent to a draining worker"
        request.attempts.append(SentAttempt(name, self.now))
        info = self.listed[name]
        age = self.now - info.started_at if info.started_at else self.conf.warm_up
        if self.checks_cold_workers and age < self.conf.warm_up:
            sent = self.sends_to_cold_workers.setdefault(name, [])
            sent.append((self.now, request.work_hint))
            share = self.conf.cold_share + (1 - self.conf.cold_share) * age / self.conf.warm_up
            recent = sum(w for t, w in sent if t > self.now - self.conf.fall_window)
            limit = self.conf.fall_multiple * share * info.size * self.conf.fall_window
            assert recent <= limit / self.conf.dispatchers, "rule 4: a cold worker is overloaded"
