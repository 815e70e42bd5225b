"""A legal counterpart for a policy, and an oracle of the four rules with its own bookkeeping.

It is no simulator: nothing takes time or has capacity. Tests (or hypothesis) say what happens
next, and every action is judged against what the rules' text says.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from rookwood import Policy
from rookwood import interface as api

MS = 1_000
SLACK = 16 * MS
GRACE = 500 * MS

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
class Try:
    worker: str
    sent: int
    ending: api.Outcome | None = None
    ended: int = 0


@dataclass
class Asked:
    cls: api.JobClass
    key: int | None
    deadline: int
    work: float
    tries: list[Try] = field(default_factory=list)
    answered: bool = False


class World:
    """Feeds one policy and asserts the rules on each of its actions."""

    def __init__(self, conf: api.Settings, seed: int = 1) -> None:
        self.conf = conf
        self.policy = Policy(conf, seed)
        self.now = 1_000_000
        self.listed: dict[str, api.Worker] = {}
        self.told_stop: dict[str, int] = {}
        self.asked: dict[int, Asked] = {}
        self.timers: list[tuple[int, int]] = []
        self.trace: list[tuple[int, api.Action]] = []
        self.sends_to_cold: dict[str, list[tuple[int, float]]] = {}
        self.next_id = 1
        self.judge_cold = True

    # ---- what happens ----

    def feed(self, event: api.Event) -> list[api.Action]:
        actions = self.policy.handle(self.now, event)
        for action in actions:
            self.trace.append((self.now, action))
            self.judge(action)
        return actions

    def list_workers(
        self, *workers: api.Worker, how: api.WorkerListKind = api.WorkerListKind.FULL
    ) -> list[api.Action]:
        if how in (api.WorkerListKind.FULL, api.WorkerListKind.CACHED):
            for name in set(self.listed) - {w.id for w in workers}:
                self.told_stop.setdefault(name, self.now)
        for info in workers:
            if info.health is api.Health.SERVING:
                self.told_stop.pop(info.id, None)
            else:
                self.told_stop.setdefault(info.id, self.now)
            self.listed[info.id] = info
        return self.feed(api.WorkersChanged(how, workers))

    def ask(self, name: str, left: int | None = None, **more: object) -> int:
        cls = next(c for c in self.conf.classes if c.name == name)
        left = cls.give_up if left is None else left
        number = self.next_id
        self.next_id += 1
        hint = more.get("work_hint")
        key = more.get("key")
        work = float(hint) if isinstance(hint, int) else 0.0
        self.asked[number] = Asked(cls, key if isinstance(key, int) else None, self.now + left, work)
        self.feed(api.Request(number, name, left, **more))  # type: ignore[arg-type]
        return number

    def end(self, number: int, ending: api.Outcome, load: dict[str, float] | None = None) -> None:
        asked = self.asked[number]
        attempt = len(asked.tries) - 1
        one = asked.tries[attempt]
        assert one.ending is None
        one.ending, one.ended = ending, self.now
        if ending is api.Outcome.OK:
            asked.answered = True
        event = api.AttemptEnded(
            number, attempt, one.worker, ending, self.now - one.sent, asked.answered, load
        )
        self.feed(event)

    def start(self, number: int) -> None:
        tries = self.asked[number].tries
        self.feed(api.AttemptProgress(number, len(tries) - 1, tries[-1].worker, True))

    def advance(self, span: int) -> None:
        """Let time pass: due timers fire, attempts still out at the deadline time out."""
        until = self.now + span
        while True:
            due = [(t, 0, k) for t, k in self.timers if t <= until]
            due += [
                (a.deadline, 1, n)
                for n, a in self.asked.items()
                if a.deadline <= until and a.tries and a.tries[-1].ending is None
            ]
            if not due:
                break
            when, what, which = min(due)
            self.now = max(self.now, when)
            if what == 0:
                self.timers.remove((when, which))
                self.feed(api.Timer(which))
            else:
                self.end(which, api.Outcome.TIMED_OUT)
            self.overdue()
        self.now = until
        self.overdue()

    def stall(self, span: int) -> None:
        """No turn for this long, then all at once: timers first, then starts of what is out."""
        self.now += span
        due = [t for t in self.timers if t[0] <= self.now]
        for timer in due:
            self.timers.remove(timer)
            self.feed(api.Timer(timer[1]))
        for number in self.out():
            self.start(number)

    def out(self) -> list[int]:
        return [n for n, a in self.asked.items() if a.tries and a.tries[-1].ending is None]

    # ---- the rules ----

    def overdue(self) -> None:
        late = [n for n, a in self.asked.items() if not a.answered and self.now > a.deadline + SLACK]
        assert not late, f"rule 1: no answer to {late}"

    def judge(self, action: api.Action) -> None:
        match action:
            case api.Send(number, name, _):
                self.judge_send(self.asked[number], number, name)
            case api.Reject(number):
                asked = self.asked[number]
                assert not asked.answered, "rule 1: answered twice"
                asked.answered = True
                harmless = asked.cls.repeat is api.RetrySafety.SAFE or not self.maybe_ran(asked)
                keyed_all = (
                    asked.cls.repeat is api.RetrySafety.KEYED
                    and asked.cls.group is api.DeduplicationScope.ALL
                )
                assert harmless or keyed_all, "rule 2: refused though it may have run"
            case api.Fail(number):
                assert not self.asked[number].answered, "rule 1: answered twice"
                self.asked[number].answered = True
            case api.SetTimer(token, delay):
                assert 0 <= delay <= 71 * 60 * 1_000_000
                self.timers.append((self.now + max(delay, 1), token))

    def judge_turn(self, asked: Asked) -> None:
        for earlier in self.asked.values():
            if earlier is asked:
                break
            if earlier.cls.sequential and earlier.key == asked.key:
                assert earlier.answered, "rule 5: an earlier one is not over"
                for one in earlier.tries:
                    assert one.ending is not None, "rule 5: an earlier one has an attempt out"
                    if one.ending in (api.Outcome.TIMED_OUT, api.Outcome.RESET, api.Outcome.CANCELLED):
                        assert self.now >= one.ended + self.conf.order_settle, "rule 5: the key rests"

    def maybe_ran(self, asked: Asked) -> list[Try]:
        return [t for t in asked.tries if t.ending not in api.NEVER_RAN]

    def judge_send(self, asked: Asked, number: int, name: str) -> None:
        assert name in self.listed, "a worker no list has named"
        assert not asked.answered, "rule 1: sent after the final answer"
        assert len(asked.tries) < self.conf.max_attempts
        assert all(t.ending is not None for t in asked.tries), "two attempts out"
        ran = self.maybe_ran(asked)
        if ran and asked.cls.repeat is not api.RetrySafety.SAFE:
            assert asked.cls.repeat is api.RetrySafety.KEYED, "rule 2: unsafe request sent again"
            assert self.now <= ran[0].sent + asked.cls.window, "rule 2: sent after the window"
            if asked.cls.group is api.DeduplicationScope.CELL:
                assert self.listed[name].cell == self.listed[ran[0].worker].cell, "rule 2: other cell"
            if asked.cls.group is api.DeduplicationScope.ZONE:
                assert self.listed[name].zone == self.listed[ran[0].worker].zone, "rule 2: other zone"
        if asked.cls.sequential and asked.key is not None:
            self.judge_turn(asked)
        assert self.now <= self.told_stop.get(name, self.now) + GRACE, "rule 3: sent to a draining worker"
        asked.tries.append(Try(name, self.now))
        info = self.listed[name]
        age = self.now - info.started_at if info.started_at else self.conf.warm_up
        if self.judge_cold and age < self.conf.warm_up:
            sent = self.sends_to_cold.setdefault(name, [])
            sent.append((self.now, asked.work))
            share = self.conf.cold_share + (1 - self.conf.cold_share) * age / self.conf.warm_up
            recent = sum(w for t, w in sent if t > self.now - self.conf.fall_window)
            limit = self.conf.fall_multiple * share * info.size * self.conf.fall_window
            assert recent <= limit / self.conf.dispatchers, "rule 4: a cold worker is pushed over"
