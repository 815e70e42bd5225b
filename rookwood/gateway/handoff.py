"""How a job is handed to another site: two state machines, one a job at either side, without I/O or clock.

*Home* is the site whose client waits, *away* the one that was offered the job. Messages may be lost,
doubled, late and out of order, and either side may die at any point and come back with nothing. What
must hold all the same, and what `rookwood.gateway.explore` checks in every reachable state:

- an unsafe job runs at home only after the away side has promised that it has not run and never will;
- a safe job runs at home only once the away side cannot have an attempt out any more;
- the client gets one final answer.

What makes that so:

- **Epochs.** Every life of a process has a number of its own. An offer names the life it is meant for, and
  another life answers `STRANGER`: it never runs the job, and cannot speak for the one before it.
- **Tombstones.** What ended is kept until the offer's `expires`, by the away side's clock. An offer that
  expired by that same clock is never started, so there is no moment without either. Clocks need not agree.
- **Leases.** The away side has an attempt of a safe job out only while it holds a lease of the home's
  (`rookwood.gateway.lease`); when that has run out for certain, the home may go on without a promise.

`home` and `away` are pure: state and event in, state and actions out. Both take any event in any state.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Outcome(Enum):
    """What the away side says of a job that has ended there. Final, and the same whenever it is asked."""

    SERVED = "served"  # the endpoint's result goes along
    NEVER = "never"  # the promise: it has not run here and never will
    STOPPED = "stopped"  # it may have run; it runs no more
    STRANGER = "stranger"  # offered to another life of this process, for which this one cannot speak


class Verdict(Enum):
    """What the home side may do with the job. Given once."""

    SERVED = "served"
    HOME = "home"  # run it here, or refuse it: nothing has run that must not run again
    FAILED = "failed"  # it may have run: one failed answer
    REFUSED = "refused"  # time is up, and no byte of the offer has left
    GONE = "gone"  # nobody waits for an answer any more


class Say(Enum):
    """Messages. The first three go from home to away, the others back."""

    OFFER = "offer"
    WITHDRAW = "withdraw"  # do not start it; if it was not started, promise so
    ABANDON = "abandon"  # nobody waits for it: stop it in any case
    ACK = "ack"  # the outcome has come: its body may be forgotten
    TAKEN = "taken"
    OUTCOME = "outcome"


# ---- home ----


class HomeEvent(Enum):
    OFFER = "offer"  # the first event
    WRITTEN = "written"  # a byte of the offer is about to leave; comes before it does
    TAKEN = "taken"
    SERVED = "served"
    NEVER = "never"
    STOPPED = "stopped"
    STRANGER = "stranger"
    LIFE_GONE = "life gone"  # the life that the job was offered to is no more, or out of reach for good
    SILENCE = "silence"  # the away side's lease has run out for certain
    RECALL = "recall"  # home would rather have it back
    RESEND = "resend"  # time to say again what may have been lost
    CLIENT_GONE = "client gone"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class Home:
    safe: bool  # running it twice does no harm, though never twice at once
    written: bool = False
    taken: bool = False
    asking: Say | None = None  # WITHDRAW or ABANDON, until an outcome has come
    verdict: Verdict | None = None
    heard: bool = False  # an outcome has come: there is nothing more to say


HomeStep = tuple[Home, tuple[Say, ...]]
HEARD = {
    HomeEvent.SERVED: Outcome.SERVED,
    HomeEvent.NEVER: Outcome.NEVER,
    HomeEvent.STOPPED: Outcome.STOPPED,
    HomeEvent.STRANGER: Outcome.STRANGER,
}
HEARD_OF = {outcome: event for event, outcome in HEARD.items()}


def home(state: Home, event: HomeEvent) -> HomeStep:
    """One step of the home side."""
    if event in HEARD:
        return _heard(state, HEARD[event])
    if state.verdict:
        ask = (state.asking,) if state.asking and not state.heard and event is HomeEvent.RESEND else ()
        return state, ask
    match event:
        case HomeEvent.OFFER:
            return state, (Say.OFFER,)
        case HomeEvent.WRITTEN:
            return replace(state, written=True), ()
        case HomeEvent.TAKEN:
            return replace(state, taken=True), ()
        case HomeEvent.RESEND:
            # Once it was taken there is nothing to say again: the outcome comes by itself, again and again.
            return state, (state.asking,) if state.asking else () if state.taken else (Say.OFFER,)
        case HomeEvent.RECALL:
            if not state.written:
                return replace(state, verdict=Verdict.HOME), ()
            return replace(state, asking=Say.WITHDRAW), (Say.WITHDRAW,)
        case HomeEvent.LIFE_GONE:
            if not state.written:
                return replace(state, verdict=Verdict.HOME), ()
            # A safe job waits for the lease to end: the old life may be cut off rather than dead.
            return (state if state.safe else replace(state, verdict=Verdict.FAILED, heard=True)), ()
        case HomeEvent.SILENCE:
            if not state.written:
                return replace(state, verdict=Verdict.HOME), ()
            # The offer may still be on its way. It is of the term that has ended, so it will not be started.
            return (replace(state, verdict=Verdict.HOME, asking=Say.ABANDON) if state.safe else state), ()
        case HomeEvent.CLIENT_GONE:
            return _leaves(state, Verdict.GONE)
        case HomeEvent.DEADLINE:
            return _leaves(state, Verdict.FAILED if state.written else Verdict.REFUSED)
    raise AssertionError(event)


def _heard(state: Home, outcome: Outcome) -> HomeStep:
    if outcome is Outcome.STRANGER:
        # Another life answers: nothing more will be heard of the one before; a safe job waits for its lease.
        if state.verdict or state.safe:
            return state, ()
        return replace(state, verdict=Verdict.FAILED, heard=True), ()
    settled = replace(state, heard=True, taken=True, asking=None)
    if state.verdict:
        return settled, (Say.ACK,)
    verdict = {
        Outcome.SERVED: Verdict.SERVED,
        Outcome.NEVER: Verdict.HOME,
        Outcome.STOPPED: Verdict.HOME if state.safe else Verdict.FAILED,
    }[outcome]
    return replace(settled, verdict=verdict), (Say.ACK,)


def _leaves(state: Home, verdict: Verdict) -> HomeStep:
    if not state.written:
        return replace(state, verdict=verdict), ()
    return replace(state, verdict=verdict, asking=Say.ABANDON), (Say.ABANDON,)


# ---- away ----


class AwayEvent(Enum):
    OFFER = "offer"
    WITHDRAW = "withdraw"
    ABANDON = "abandon"
    ACK = "ack"
    LEAVING = "leaving"  # the last byte of an attempt is about to leave: may it?
    RETURNED = "returned"  # that attempt ended, and it is certain that it did not run
    SERVED = "served"  # the job has ended here with a result
    ENDED = "ended"  # or without one
    LEASE_LOST = "lease lost"
    HOME_DEAD = "home dead"  # that life of the home side is no more
    RESEND = "resend"
    EXPIRED = "expired"


class Stage(Enum):
    WAITING = "waiting"  # admitted here, and nothing of it has run
    RUNNING = "running"  # an attempt may run or have run
    ENDED = "ended"


class Do(Enum):
    """What the away side is to do, besides what it says."""

    START = "start"
    STOP = "stop"  # ends its attempt by closing the connection; ENDED comes of it
    GO = "go"  # the answer to LEAVING; without it the last byte must not leave
    FORGET = "forget"  # nobody can ask for it any more
    FREE = "free"  # its result need not be kept


@dataclass(frozen=True, slots=True)
class Away:
    safe: bool
    stage: Stage = Stage.WAITING
    stopping: bool = False
    outcome: Outcome | None = None
    acked: bool = False


@dataclass(frozen=True, slots=True)
class Standing:
    """How a message from home stands to this life, as the caller has judged just now."""

    mine: bool = True  # it is meant for this life
    fresh: bool = True  # it has not expired, by the clock here
    leased: bool = True  # its term is that of the lease held here, and the lease runs


AwayStep = tuple[Away | None, tuple[Do | Outcome | Say, ...]]
FROM_HOME = frozenset({AwayEvent.OFFER, AwayEvent.WITHDRAW, AwayEvent.ABANDON})
NOWHERE = Standing()


def away(state: Away | None, event: AwayEvent, standing: Standing = NOWHERE, safe: bool = False) -> AwayStep:
    """One step of the away side. None stands for a job of which nothing is known here."""
    if event in FROM_HOME and not standing.mine:
        return state, (Outcome.STRANGER,)
    if state is None:
        return _unknown(event, standing, safe)
    if state.stage is Stage.ENDED:
        return _ended(state, event)
    match event:
        case AwayEvent.OFFER:
            return state, (Say.TAKEN,)
        case AwayEvent.WITHDRAW | AwayEvent.LEASE_LOST:
            # What must not run twice goes on once it may have begun: its outcome is what home needs to know.
            keeps = state.stage is Stage.RUNNING and not state.safe
            return (state, ()) if keeps else _stop(state)
        case AwayEvent.ABANDON | AwayEvent.HOME_DEAD | AwayEvent.EXPIRED:
            return _stop(state)
        case AwayEvent.LEAVING:
            if state.stopping or not standing.leased or state.stage is Stage.RUNNING and not state.safe:
                return state, ()
            return replace(state, stage=Stage.RUNNING), (Do.GO,)
        case AwayEvent.RETURNED:
            return replace(state, stage=Stage.WAITING), ()
        case AwayEvent.SERVED | AwayEvent.ENDED:
            outcome = Outcome.NEVER if state.stage is Stage.WAITING else Outcome.STOPPED
            if event is AwayEvent.SERVED:
                outcome = Outcome.SERVED
            return Away(state.safe, Stage.ENDED, outcome=outcome), (outcome,)
        case AwayEvent.ACK | AwayEvent.RESEND:
            return state, ()
    raise AssertionError(event)


def _stop(state: Away) -> AwayStep:
    return replace(state, stopping=True), () if state.stopping else (Do.STOP,)


def _unknown(event: AwayEvent, standing: Standing, safe: bool) -> AwayStep:
    if event not in FROM_HOME:
        return None, ()
    if not standing.fresh:
        # It may have been here and run, and been forgotten since: no promise can be made, nor is one needed.
        return None, (Outcome.STOPPED,)
    if event is AwayEvent.OFFER and standing.leased:
        return Away(safe), (Do.START, Say.TAKEN)
    # The tombstone comes before the promise: an offer that is still on its way meets it.
    return Away(safe, Stage.ENDED, outcome=Outcome.NEVER), (Outcome.NEVER,)


def _ended(state: Away, event: AwayEvent) -> AwayStep:
    assert state.outcome
    match event:
        case AwayEvent.OFFER | AwayEvent.WITHDRAW | AwayEvent.ABANDON:
            return state, (state.outcome,)
        case AwayEvent.RESEND:
            return state, () if state.acked else (state.outcome,)
        case AwayEvent.ACK:
            return replace(state, acked=True), () if state.acked else (Do.FREE,)
        case AwayEvent.EXPIRED:
            return None, (Do.FORGET,)
        case _:
            return state, ()
