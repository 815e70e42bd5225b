"""Explores the handoff exhaustively: the machines of `handoff`, unchanged, against the worst network.

**The network** is a set of messages that only grows: each may be delivered at any time, any number of times,
or never. That is loss, doubling, delay and reordering without bound. Either side may die and come back with
nothing at any point, and time may run out at any point.

**Jobs meet only in what they share**: the lives of the two processes and the leases. So the reachable states
are kept by shared state and job rather than as their product (a product of reachable sets contains every
reachable joint state, so what holds in all of it holds in each). `joint` explores the plain product, to check
that the two agree.

The checker assumes of leases what `rookwood.gateway.lease` derives from clocks: home declares silence only
when the away side's lease of that term has run out and its attempts of safe jobs are closed.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum, auto

from rookwood.gateway.handoff import (
    HEARD_OF,
    NOWHERE,
    Away,
    AwayEvent,
    Do,
    Home,
    HomeEvent,
    Outcome,
    Say,
    Standing,
    Verdict,
    away,
    home,
)

Stepped = tuple[Away | None, tuple[Do | Outcome | Say, ...]]
AwayStep = Callable[..., Stepped]
HomeStep = Callable[[Home, HomeEvent], tuple[Home, tuple[Say, ...]]]


@dataclass(frozen=True, slots=True)
class Machines:
    """What is explored; a mutant replaces one of them."""

    home: HomeStep = home
    away: AwayStep = away


@dataclass(frozen=True, slots=True)
class Message:
    what: Say | Outcome
    life: int = 0  # that it is meant for
    term: int = 0


@dataclass(frozen=True, slots=True)
class JobState:
    """One job on its way, with what only an observer of both sides knows."""

    home: Home | None
    away: Away | None = None
    sent: frozenset[Message] = frozenset()
    fresh: bool = True
    out: bool = False  # the away side has an attempt out
    far_runs: int = 0  # that may have run, at all lives of the away side together
    finals: int = 0
    went_home: bool = False
    home_lost: bool = False  # the home side has died, and the client's connection with it


class Lease(Enum):
    NONE = auto()
    FIRST = auto()
    SECOND = auto()


@dataclass(frozen=True, slots=True)
class Direction:
    """What the jobs of one direction share."""

    lease: Lease = Lease.FIRST
    term: int = 1  # the home side's


@dataclass(frozen=True, slots=True)
class Shared:
    lives: tuple[int, int] = (0, 0)  # of the two processes
    ways: tuple[Direction, Direction] = (Direction(), Direction())  # home is process 0, home is process 1


class InvariantError(Exception):
    """An invariant does not hold; `trace` leads there."""

    def __init__(self, why: str, trace: list[str]) -> None:
        super().__init__(f"{why} after: {' > '.join(trace)}")
        self.why, self.trace = why, trace


TERM_OF = {Lease.NONE: 0, Lease.FIRST: 1, Lease.SECOND: 2}
LOST_AT_HOME = {HomeEvent.RESEND, HomeEvent.RECALL, HomeEvent.CLIENT_GONE, HomeEvent.DEADLINE}
ANY_TIME = (AwayEvent.LEAVING, AwayEvent.SERVED, AwayEvent.ENDED, AwayEvent.RESEND)


def fault(job: JobState, safe: bool) -> str | None:
    """Why this state must not be; None where it is sound."""
    if job.finals > 1:
        return "two final answers"
    if not safe and job.far_runs + job.went_home > 1:
        return "an unsafe job may have run twice"
    if job.out and job.went_home:
        return "two attempts at once"
    return None


class Explorer:
    def __init__(self, machines: Machines, safe: bool, way: int) -> None:
        self._m, self.safe, self.way = machines, safe, way

    @property
    def start(self) -> JobState:
        return JobState(Home(self.safe))

    # ---- what one job may do by itself ----

    def steps(self, job: JobState, shared: Shared) -> Iterator[tuple[str, JobState]]:
        life, lease = shared.lives[1 - self.way], shared.ways[self.way].lease
        if job.home and not job.home.written and not job.home.verdict:
            written, _ = self._m.home(job.home, HomeEvent.WRITTEN)
            # A crash or a silence may have come before the first byte: it carries what is in force then.
            offer = Message(Say.OFFER, 0, 1)
            if shared.ways[self.way].term == 1:
                yield "offer leaves", replace(job, home=written, sent=job.sent | {offer})
        for message in job.sent:
            if isinstance(message.what, Outcome) or message.what is Say.TAKEN:
                if job.home:
                    taken = not isinstance(message.what, Outcome)
                    event = HomeEvent.TAKEN if taken else HEARD_OF[Outcome(message.what)]
                    yield f"home hears {message.what.value}", self.home(job, event)
                continue
            standing = Standing(
                message.life == life, job.fresh, lease is not Lease.NONE and message.term == TERM_OF[lease]
            )
            told = AwayEvent(message.what.value)
            yield f"away hears {message.what.value}", self.away(job, told, standing, life)
        if job.home:
            for event in LOST_AT_HOME:
                if (
                    job.home.written or event is not HomeEvent.RESEND
                ):  # nothing is said again before it was said
                    yield f"home {event.value}", self.home(job, event)
            if life:
                yield "home life gone", self.home(job, HomeEvent.LIFE_GONE)
        if job.away:
            leased = Standing(leased=lease is not Lease.NONE)
            for here in ANY_TIME:
                yield f"away {here.value}", self.away(job, here, leased, life)
            if job.out:
                yield "away returned", self.away(job, AwayEvent.RETURNED, leased, life)
            if job.home_lost:
                yield "away home dead", self.away(job, AwayEvent.HOME_DEAD, leased, life)
            if not job.fresh:
                yield "away expired", self.away(job, AwayEvent.EXPIRED, leased, life)
        if job.fresh:
            yield "time runs out", replace(job, fresh=False)

    def owed(self, job: JobState) -> bool:
        """The client waits, and its deadline would bring no answer."""
        return bool(job.home and not job.home.verdict and not self.home(job, HomeEvent.DEADLINE).finals)

    def home(self, job: JobState, event: HomeEvent) -> JobState:
        assert job.home
        after, says = self._m.home(job.home, event)
        sent = job.sent | {Message(what, 0, 1) for what in says}
        final = after.verdict is not None and job.home.verdict is None
        return replace(
            job,
            home=after,
            sent=sent,
            finals=job.finals + final,
            went_home=job.went_home or after.verdict is Verdict.HOME,
        )

    def away(self, job: JobState, event: AwayEvent, standing: Standing, life: int) -> JobState:
        after, acts = self._m.away(job.away, event, standing, self.safe)
        out, runs = job.out, job.far_runs
        if event in (AwayEvent.SERVED, AwayEvent.ENDED, AwayEvent.RETURNED) and job.away:
            runs -= event is AwayEvent.RETURNED
            out = False
        if Do.GO in acts:
            out, runs = True, min(runs + 1, 2)
        said = {Message(a) for a in acts if isinstance(a, Outcome) or a is Say.TAKEN}
        if event is AwayEvent.SERVED and not job.out:
            return job  # without an attempt there is no result
        return replace(job, away=after, out=out, far_runs=runs, sent=job.sent | said)

    # ---- what happens to all jobs at once ----

    def together(self, job: JobState, what: str, process: int) -> JobState | None:
        """The job after a shared event; None where it cannot happen in this state."""
        mine = process == self.way
        match what:
            case "crash":
                if mine:
                    return replace(job, home=None, home_lost=True)
                return replace(job, away=None, out=False)  # its connections are reset
            case "lease lost" if mine:
                return self.away(job, AwayEvent.LEASE_LOST, NOT_LEASED, 0) if job.away else job
            case "silence" if mine:
                if self.safe and job.out:
                    return None
                return self.home(job, HomeEvent.SILENCE) if job.home else job
        return job


NOT_LEASED = Standing(leased=False)


def shared_steps(shared: Shared) -> Iterator[tuple[str, int, Shared]]:
    """The event, the process (for leases: the home side) and what is shared after it."""
    for process in (0, 1):
        lives, ways = list(shared.lives), list(shared.ways)
        if not lives[process]:
            lives[process] = 1
            ways[1 - process] = replace(ways[1 - process], lease=Lease.NONE)
            yield "crash", process, Shared((lives[0], lives[1]), (ways[0], ways[1]))
        way = shared.ways[process]

        def with_way(new: Direction, process: int = process) -> Shared:
            ways = [new if n == process else shared.ways[n] for n in (0, 1)]
            return replace(shared, ways=(ways[0], ways[1]))

        if way.lease is not Lease.NONE:
            yield "lease lost", process, with_way(replace(way, lease=Lease.NONE))
        elif way.term == 1:
            yield "lease held", process, with_way(replace(way, lease=Lease.FIRST))
        else:
            yield "lease held", process, with_way(replace(way, lease=Lease.SECOND))
        if way.term == 1 and way.lease is Lease.NONE:
            yield "silence", process, with_way(replace(way, term=2))


@dataclass(frozen=True, slots=True)
class Report:
    verdicts: frozenset[
        Verdict
    ]  # that were given somewhere: without all of them the exploration shows little
    shared: int
    states: int  # of single jobs, by shared state
    product: int  # joint states that these stand for
    seconds: float


Kind = tuple[bool, int]  # safe?, home process
TWO_EACH_WAY: tuple[Kind, ...] = ((False, 0), (True, 0), (False, 1), (True, 1))


def explore(
    machines: Machines | None = None,
    kinds: Iterable[Kind] = TWO_EACH_WAY,
    progress: Callable[[int], None] | None = None,
) -> Report:
    """Every state of every job. Raises `BrokenError` with a shortest trace to a state that must not be."""
    began = time.perf_counter()
    explorers = [Explorer(machines or Machines(), safe, way) for safe, way in kinds]
    found: dict[tuple[Shared, int, JobState], tuple[tuple[Shared, int, JobState] | None, str]] = {}
    todo: deque[tuple[Shared, int, JobState]] = deque()

    def reach(
        node: tuple[Shared, int, JobState], before: tuple[Shared, int, JobState] | None, name: str
    ) -> None:
        if node in found:
            return
        found[node] = (before, name)
        explorer = explorers[node[1]]
        if why := fault(node[2], explorer.safe) or (
            "no answer at the deadline" if explorer.owed(node[2]) else None
        ):
            trace, at = list[str](), node
            while True:
                parent, step = found[at]
                if parent is None:
                    break
                trace.append(step)
                at = parent
            raise InvariantError(why, trace[::-1])
        todo.append(node)
        if progress and len(found) % 20_000 == 0:
            progress(len(found))

    for n, explorer in enumerate(explorers):
        reach((Shared(), n, explorer.start), None, "")
    while todo:
        node = shared, n, job = todo.popleft()
        explorer = explorers[n]
        for name, after in explorer.steps(job, shared):
            reach((shared, n, after), node, name)
        for name, process, later in shared_steps(shared):
            together = explorer.together(job, name, process)
            if together:
                reach((later, n, together), node, f"{name} ({process})")
    by_shared: dict[Shared, list[int]] = {}
    for shared, n, _ in found:
        by_shared.setdefault(shared, [0] * len(explorers))[n] += 1
    product = 0
    for counts in by_shared.values():
        joint_states = 1
        for count in counts:
            joint_states *= count
        product += joint_states
    verdicts = frozenset(job.home.verdict for _, _, job in found if job.home and job.home.verdict)
    return Report(verdicts, len(by_shared), len(found), product, time.perf_counter() - began)


def joint(kinds: Iterable[Kind], limit: int, machines: Machines | None = None) -> tuple[int, bool]:
    """The plain product, for as many states as `limit`: how many were seen, and whether that was all."""
    explorers = [Explorer(machines or Machines(), safe, way) for safe, way in kinds]
    start = (Shared(), tuple(explorer.start for explorer in explorers))
    seen, todo = {start}, deque([start])
    while todo:
        shared, jobs = todo.popleft()
        after: list[tuple[Shared, tuple[JobState, ...]]] = []
        for n, explorer in enumerate(explorers):
            after += [
                (shared, (*jobs[:n], job, *jobs[n + 1 :])) for _, job in explorer.steps(jobs[n], shared)
            ]
        for name, process, later in shared_steps(shared):
            moved = [e.together(job, name, process) for e, job in zip(explorers, jobs, strict=True)]
            if all(moved):
                after.append((later, tuple(job for job in moved if job)))
        for state in after:
            if state in seen:
                continue
            for explorer, job in zip(explorers, state[1], strict=True):
                if why := fault(job, explorer.safe):
                    raise InvariantError(why, ["joint"])
            if len(seen) >= limit:
                return len(seen), False
            seen.add(state)
            todo.append(state)
    return len(seen), True


# ---- mutants: each forgets one thing that the protocol stands on, and must be caught ----


def _with(mutate: Callable[[Standing], Standing]) -> Machines:
    def mutant(
        state: Away | None, event: AwayEvent, standing: Standing = NOWHERE, safe: bool = False
    ) -> Stepped:
        return away(state, event, mutate(standing), safe)

    return Machines(away=mutant)


def forgets_tombstone(
    state: Away | None, event: AwayEvent, standing: Standing = NOWHERE, safe: bool = False
) -> Stepped:
    """The record of a job that never ran goes as soon as home has said that it knows."""
    after, acts = away(state, event, standing, safe)
    forgotten = event is AwayEvent.ACK and after and after.outcome is Outcome.NEVER
    return None if forgotten else after, acts


def promises_after_leaving(
    state: Away | None, event: AwayEvent, standing: Standing = NOWHERE, safe: bool = False
) -> Stepped:
    """A job whose attempt was called off is said never to have run."""
    after, acts = away(state, event, standing, safe)
    if event is AwayEvent.ENDED and state and state.stopping and after:
        return replace(after, outcome=Outcome.NEVER), (Outcome.NEVER,)
    return after, acts


def trusts_silence(state: Home, event: HomeEvent) -> tuple[Home, tuple[Say, ...]]:
    """An unsafe job comes home after a silence, like a safe one."""
    if event is HomeEvent.SILENCE and not state.verdict:
        return replace(state, verdict=Verdict.HOME, asking=Say.ABANDON), ()
    return home(state, event)


MUTANTS = {
    "forgets tombstone": Machines(away=forgets_tombstone),
    "promises after leaving": Machines(away=promises_after_leaving),
    "trusts silence": Machines(home=trusts_silence),
    "ignores epoch": _with(lambda standing: replace(standing, mine=True)),
    "ignores expiry": _with(lambda standing: replace(standing, fresh=True)),
    "ignores lease": _with(lambda standing: replace(standing, leased=True)),
}
