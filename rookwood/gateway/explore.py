"""Model checker of the handoff: explores the unchanged state machines of `handoff` exhaustively.

**The network** is a set of messages that only grows: each may be delivered at any time, any number of times,
or never. This covers loss, duplication, delay and reordering without bound. Either side may crash and restart
without its state at any point, and the deadline may pass at any point.

**Jobs interact only through shared state**: the incarnations of the two processes and the leases. So the
reachable states are stored for each shared state and job, rather than as a product of all jobs. The product
of the reachable sets contains every reachable joint state, so an invariant that holds in all of it holds in
each. `explore_product` explores the plain product, to check that the two agree.

The checker assumes of leases what `rookwood.gateway.lease` derives from clocks: home declares silence only
when the away side's lease of that term has expired and its attempts of safe jobs are closed.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum, auto

from rookwood.gateway.handoff import (
    OUTCOME_EVENTS,
    VALID,
    Action,
    AwayEvent,
    AwayState,
    HomeEvent,
    HomeState,
    MessageKind,
    Outcome,
    Resolution,
    Validity,
    step_away,
    step_home,
)

AwayResult = tuple[AwayState | None, tuple[Action | Outcome | MessageKind, ...]]
AwayStep = Callable[..., AwayResult]
HomeStep = Callable[[HomeState, HomeEvent], tuple[HomeState, tuple[MessageKind, ...]]]


@dataclass(frozen=True, slots=True)
class Machines:
    """The state machines to explore; a mutant replaces one of them."""

    step_home: HomeStep = step_home
    step_away: AwayStep = step_away


@dataclass(frozen=True, slots=True)
class Message:
    """A message in the network."""

    content: MessageKind | Outcome
    incarnation: int = 0  # of the away side that it is meant for
    term: int = 0


@dataclass(frozen=True, slots=True)
class JobState:
    """The state of one job at both sides, with facts that only an observer of both knows."""

    home: HomeState | None
    away: AwayState | None = None
    messages: frozenset[Message] = frozenset()
    is_unexpired: bool = True
    has_attempt: bool = False  # the away side has an open attempt
    away_runs: int = 0  # attempts that may have run, in all incarnations of the away side
    final_responses: int = 0
    ran_at_home: bool = False
    home_lost: bool = False  # the home side has crashed, which also closed the client's connection


class Lease(Enum):
    """The lease that the away side holds, by its term."""

    NONE = auto()
    FIRST = auto()
    SECOND = auto()


@dataclass(frozen=True, slots=True)
class Direction:
    """The state that all jobs of one direction share."""

    lease: Lease = Lease.FIRST
    term: int = 1  # as the home side counts


@dataclass(frozen=True, slots=True)
class SharedState:
    """The state that all jobs share."""

    incarnations: tuple[int, int] = (0, 0)  # of the two processes
    directions: tuple[Direction, Direction] = (
        Direction(),
        Direction(),
    )  # with process 0 as home, and with process 1


class InvariantError(Exception):
    """An invariant is violated; `trace` lists the steps that lead to the violation."""

    def __init__(self, reason: str, trace: list[str]) -> None:
        super().__init__(f"{reason} after: {' > '.join(trace)}")
        self.why, self.trace = reason, trace


TERM_OF = {Lease.NONE: 0, Lease.FIRST: 1, Lease.SECOND: 2}
LOCAL_HOME_EVENTS = {HomeEvent.RESEND, HomeEvent.RECALL, HomeEvent.CLIENT_GONE, HomeEvent.DEADLINE}
LOCAL_AWAY_EVENTS = (AwayEvent.LAST_BYTE_READY, AwayEvent.SERVED, AwayEvent.ENDED, AwayEvent.RESEND)


def find_violation(job: JobState, safe: bool) -> str | None:
    """Return the violated invariant, or None."""
    if job.final_responses > 1:
        return "two final responses"
    if not safe and job.away_runs + job.ran_at_home > 1:
        return "an unsafe job may have run twice"
    if job.has_attempt and job.ran_at_home:
        return "two attempts at once"
    return None


class Explorer:
    """Generates the successor states of one job."""

    def __init__(self, machines: Machines, safe: bool, home_process: int) -> None:
        self._machines, self.safe, self.home_process = machines, safe, home_process

    @property
    def start(self) -> JobState:
        return JobState(HomeState(self.safe))

    # ---- steps of one job ----

    def steps(self, job: JobState, shared: SharedState) -> Iterator[tuple[str, JobState]]:
        """Yield every step that changes only this job: its name and the state after it."""
        away_incarnation, lease = (
            shared.incarnations[1 - self.home_process],
            shared.directions[self.home_process].lease,
        )
        if job.home and not job.home.written and not job.home.resolution:
            written, _ = self._machines.step_home(job.home, HomeEvent.WRITTEN)
            # The offer names incarnation 0 and term 1, so it is sent only before term 1 has ended.
            offer = Message(MessageKind.OFFER, 0, 1)
            if shared.directions[self.home_process].term == 1:
                yield "offer sent", replace(job, home=written, messages=job.messages | {offer})
        for message in job.messages:
            if isinstance(message.content, Outcome) or message.content is MessageKind.TAKEN:
                if job.home:
                    taken = not isinstance(message.content, Outcome)
                    event = HomeEvent.TAKEN if taken else OUTCOME_EVENTS[Outcome(message.content)]
                    yield f"home receives {message.content.value}", self.step_home(job, event)
                continue
            validity = Validity(
                message.incarnation == away_incarnation,
                job.is_unexpired,
                lease is not Lease.NONE and message.term == TERM_OF[lease],
            )
            away_event = AwayEvent(message.content.value)
            yield (
                f"away receives {message.content.value}",
                self.step_away(job, away_event, validity, away_incarnation),
            )
        if job.home:
            for event in LOCAL_HOME_EVENTS:
                if job.home.written or event is not HomeEvent.RESEND:  # nothing is resent before it was sent
                    yield f"home {event.value}", self.step_home(job, event)
            if away_incarnation:
                yield "home learns of away restart", self.step_home(job, HomeEvent.INCARNATION_GONE)
        if job.away:
            leased = Validity(is_leased=lease is not Lease.NONE)
            for local_event in LOCAL_AWAY_EVENTS:
                yield f"away {local_event.value}", self.step_away(job, local_event, leased, away_incarnation)
            if job.has_attempt:
                yield (
                    "away attempt not run",
                    self.step_away(job, AwayEvent.ATTEMPT_NOT_RUN, leased, away_incarnation),
                )
            if job.home_lost:
                yield "away home dead", self.step_away(job, AwayEvent.HOME_DEAD, leased, away_incarnation)
            if not job.is_unexpired:
                yield "away expired", self.step_away(job, AwayEvent.EXPIRED, leased, away_incarnation)
        if job.is_unexpired:
            yield "job expires", replace(job, is_unexpired=False)

    def lacks_final_response(self, job: JobState) -> bool:
        """Whether the client waits and would get no response even at its deadline."""
        return bool(
            job.home
            and not job.home.resolution
            and not self.step_home(job, HomeEvent.DEADLINE).final_responses
        )

    def step_home(self, job: JobState, event: HomeEvent) -> JobState:
        """The job after an event at its home side."""
        assert job.home
        after, messages_sent = self._machines.step_home(job.home, event)
        sent = job.messages | {Message(kind, 0, 1) for kind in messages_sent}
        final = after.resolution is not None and job.home.resolution is None
        return replace(
            job,
            home=after,
            messages=sent,
            final_responses=job.final_responses + final,
            ran_at_home=job.ran_at_home or after.resolution is Resolution.RUN_AT_HOME,
        )

    def step_away(
        self, job: JobState, event: AwayEvent, validity: Validity, away_incarnation: int
    ) -> JobState:
        """The job after an event at its away side."""
        after, actions = self._machines.step_away(job.away, event, validity, self.safe)
        has_attempt, away_runs = job.has_attempt, job.away_runs
        if event in (AwayEvent.SERVED, AwayEvent.ENDED, AwayEvent.ATTEMPT_NOT_RUN) and job.away:
            away_runs -= event is AwayEvent.ATTEMPT_NOT_RUN
            has_attempt = False
        if Action.SEND_LAST_BYTE in actions:
            has_attempt, away_runs = True, min(away_runs + 1, 2)
        sent = {Message(a) for a in actions if isinstance(a, Outcome) or a is MessageKind.TAKEN}
        if event is AwayEvent.SERVED and not job.has_attempt:
            return job  # without an attempt there is no result
        return replace(
            job, away=after, has_attempt=has_attempt, away_runs=away_runs, messages=job.messages | sent
        )

    # ---- steps of all jobs at once ----

    def apply_shared_event(self, job: JobState, event: str, process: int) -> JobState | None:
        """The job after a shared event; None if the event cannot occur in this state."""
        is_home_process = process == self.home_process
        match event:
            case "crash":
                if is_home_process:
                    return replace(job, home=None, home_lost=True)
                return replace(job, away=None, has_attempt=False)  # its connections are reset
            case "lease lost" if is_home_process:
                return self.step_away(job, AwayEvent.LEASE_LOST, NOT_LEASED, 0) if job.away else job
            case "silence" if is_home_process:
                if self.safe and job.has_attempt:
                    return None
                return self.step_home(job, HomeEvent.SILENCE) if job.home else job
        return job


NOT_LEASED = Validity(is_leased=False)


def shared_steps(shared: SharedState) -> Iterator[tuple[str, int, SharedState]]:
    """Yield each shared event, its process (for leases: the home side) and the shared state after it."""
    for process in (0, 1):
        incarnations, directions = list(shared.incarnations), list(shared.directions)
        if not incarnations[process]:
            incarnations[process] = 1
            directions[1 - process] = replace(directions[1 - process], lease=Lease.NONE)
            yield (
                "crash",
                process,
                SharedState((incarnations[0], incarnations[1]), (directions[0], directions[1])),
            )
        direction = shared.directions[process]

        def with_direction(new_direction: Direction, process: int = process) -> SharedState:
            directions = [new_direction if n == process else shared.directions[n] for n in (0, 1)]
            return replace(shared, directions=(directions[0], directions[1]))

        if direction.lease is not Lease.NONE:
            yield "lease lost", process, with_direction(replace(direction, lease=Lease.NONE))
        elif direction.term == 1:
            yield "lease held", process, with_direction(replace(direction, lease=Lease.FIRST))
        else:
            yield "lease held", process, with_direction(replace(direction, lease=Lease.SECOND))
        if direction.term == 1 and direction.lease is Lease.NONE:
            yield "silence", process, with_direction(replace(direction, term=2))


@dataclass(frozen=True, slots=True)
class Report:
    """The extent of an exploration without a violation."""

    resolutions: frozenset[Resolution]  # that were reached; if any is missing, the exploration proves little
    shared_states: int
    states: int  # of single jobs, counted for each shared state
    joint_states: int  # of all jobs together, which the single ones represent
    seconds: float


JobKind = tuple[bool, int]  # safe?, home process
TWO_EACH_WAY: tuple[JobKind, ...] = ((False, 0), (True, 0), (False, 1), (True, 1))


def explore(
    machines: Machines | None = None,
    kinds: Iterable[JobKind] = TWO_EACH_WAY,
    progress: Callable[[int], None] | None = None,
) -> Report:
    """Explore every state of every job. Raises `InvariantError` with a shortest trace to a violation."""
    began = time.perf_counter()
    explorers = [Explorer(machines or Machines(), safe, home_process) for safe, home_process in kinds]
    found: dict[tuple[SharedState, int, JobState], tuple[tuple[SharedState, int, JobState] | None, str]] = {}
    pending: deque[tuple[SharedState, int, JobState]] = deque()

    def reach(
        node: tuple[SharedState, int, JobState], before: tuple[SharedState, int, JobState] | None, name: str
    ) -> None:
        if node in found:
            return
        found[node] = (before, name)
        explorer = explorers[node[1]]
        if reason := find_violation(node[2], explorer.safe) or (
            "no response at the deadline" if explorer.lacks_final_response(node[2]) else None
        ):
            trace, at = list[str](), node
            while True:
                parent, step = found[at]
                if parent is None:
                    break
                trace.append(step)
                at = parent
            raise InvariantError(reason, trace[::-1])
        pending.append(node)
        if progress and len(found) % 20_000 == 0:
            progress(len(found))

    for index, explorer in enumerate(explorers):
        reach((SharedState(), index, explorer.start), None, "")
    while pending:
        node = shared, index, job = pending.popleft()
        explorer = explorers[index]
        for name, next_state in explorer.steps(job, shared):
            reach((shared, index, next_state), node, name)
        for name, process, next_shared in shared_steps(shared):
            next_job = explorer.apply_shared_event(job, name, process)
            if next_job:
                reach((next_shared, index, next_job), node, f"{name} ({process})")
    by_shared: dict[SharedState, list[int]] = {}
    for shared, index, _ in found:
        by_shared.setdefault(shared, [0] * len(explorers))[index] += 1
    joint_states = 0
    for counts in by_shared.values():
        product = 1
        for count in counts:
            product *= count
        joint_states += product
    resolutions = frozenset(job.home.resolution for _, _, job in found if job.home and job.home.resolution)
    return Report(resolutions, len(by_shared), len(found), joint_states, time.perf_counter() - began)


def explore_product(
    kinds: Iterable[JobKind], limit: int, machines: Machines | None = None
) -> tuple[int, bool]:
    """Explore up to `limit` states of the plain product; returns how many were seen and if that was all."""
    explorers = [Explorer(machines or Machines(), safe, home_process) for safe, home_process in kinds]
    start = (SharedState(), tuple(explorer.start for explorer in explorers))
    seen, pending = {start}, deque([start])
    while pending:
        shared, jobs = pending.popleft()
        next_states: list[tuple[SharedState, tuple[JobState, ...]]] = []
        for index, explorer in enumerate(explorers):
            next_states += [
                (shared, (*jobs[:index], job, *jobs[index + 1 :]))
                for _, job in explorer.steps(jobs[index], shared)
            ]
        for name, process, next_shared in shared_steps(shared):
            next_jobs = [
                e.apply_shared_event(job, name, process) for e, job in zip(explorers, jobs, strict=True)
            ]
            if all(next_jobs):
                next_states.append((next_shared, tuple(job for job in next_jobs if job)))
        for state in next_states:
            if state in seen:
                continue
            for explorer, job in zip(explorers, state[1], strict=True):
                if reason := find_violation(job, explorer.safe):
                    raise InvariantError(reason, ["product"])
            if len(seen) >= limit:
                return len(seen), False
            seen.add(state)
            pending.append(state)
    return len(seen), True


# ---- mutants: each breaks one mechanism of the protocol, and the exploration must find a violation ----


def _with_validity(mutate: Callable[[Validity], Validity]) -> Machines:
    """An away side that judges the validity of messages wrongly."""

    def mutant(
        state: AwayState | None, event: AwayEvent, validity: Validity = VALID, safe: bool = False
    ) -> AwayResult:
        return step_away(state, event, mutate(validity), safe)

    return Machines(step_away=mutant)


def forgets_tombstone(
    state: AwayState | None, event: AwayEvent, validity: Validity = VALID, safe: bool = False
) -> AwayResult:
    """Drops the record of a job that never ran as soon as home acknowledges the promise."""
    after, actions = step_away(state, event, validity, safe)
    forgotten = event is AwayEvent.ACK and after and after.outcome is Outcome.NEVER
    return None if forgotten else after, actions


def promises_after_last_byte(
    state: AwayState | None, event: AwayEvent, validity: Validity = VALID, safe: bool = False
) -> AwayResult:
    """Promises that a cancelled job never ran, although its last byte may have been sent."""
    after, actions = step_away(state, event, validity, safe)
    if event is AwayEvent.ENDED and state and state.stopping and after:
        return replace(after, outcome=Outcome.NEVER), (Outcome.NEVER,)
    return after, actions


def trusts_silence(state: HomeState, event: HomeEvent) -> tuple[HomeState, tuple[MessageKind, ...]]:
    """Runs an unsafe job at home after the lease expired, like a safe one."""
    if event is HomeEvent.SILENCE and not state.resolution:
        return replace(state, resolution=Resolution.RUN_AT_HOME, cancel_message=MessageKind.ABANDON), ()
    return step_home(state, event)


MUTANTS = {
    "forgets tombstone": Machines(step_away=forgets_tombstone),
    "promises after last byte": Machines(step_away=promises_after_last_byte),
    "trusts silence": Machines(step_home=trusts_silence),
    "ignores epoch": _with_validity(lambda validity: replace(validity, is_for_this_incarnation=True)),
    "ignores expiry": _with_validity(lambda validity: replace(validity, is_unexpired=True)),
    "ignores lease": _with_validity(lambda validity: replace(validity, is_leased=True)),
}
