"""The handoff of a job to another site: two state machines, one for each job at each side.

*Home* is the site whose client waits, *away* the site to which the job is offered. Messages may be lost,
duplicated, delayed and reordered, and either side may crash at any point and restart without its state. A
job is *safe* if it may run twice, though never twice at once. These invariants hold nevertheless, and
`rookwood.gateway.explore` checks them in every reachable state:

- an unsafe job runs at home only after the away side has promised that it has not run and never will;
- a safe job runs at home only once the away side can no longer have an open attempt;
- the client gets one final response.

They rest on three mechanisms:

- **Incarnations.** Each incarnation of a process has its own number. An offer names the incarnation it is
  meant for; any other responds `WRONG_INCARNATION`: it never runs the job and makes no promise for its
  predecessor.
- **Tombstones.** The record of an ended job is kept until the offer expires by the away side's clock. An
  offer that has expired by that same clock is never started, so every offer is covered by one or the other.
  The clocks need not agree.
- **Leases.** The away side has an open attempt of a safe job only while it holds a lease from home
  (`rookwood.gateway.lease`); once that has certainly expired, home may proceed without a promise.

`step_home` and `step_away` are pure functions from a state and an event to a state and actions. Both accept
any event in any state. This module uses no I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Outcome(Enum):
    """How a job ended at the away side. It is final: the away side always reports the same one."""

    SERVED = "served"  # the message contains the worker's result
    NEVER = "never"  # promises that the job has not run here and never will
    STOPPED = "stopped"  # the job may have run and is no longer running
    WRONG_INCARNATION = "stranger"  # the offer was meant for another incarnation of this process


class Resolution(Enum):
    """What the home side does with the job. Decided once."""

    SERVED = "served"
    RUN_AT_HOME = "home"  # run it here or reject it; running it cannot break an invariant
    FAILED = "failed"  # it may have run: the client gets an error response
    NOT_SENT = "refused"  # the deadline passed before any byte of the offer was sent
    CLIENT_GONE = "gone"  # the client no longer waits for a response


class MessageKind(Enum):
    """Kinds of messages. The first four go from home to away, the others from away to home."""

    OFFER = "offer"
    WITHDRAW = "withdraw"  # do not start the job; if it has not run, promise that it never will
    ABANDON = "abandon"  # the job is no longer needed: stop it even if it runs
    ACK = "ack"  # the outcome was received, so away may free the result
    TAKEN = "taken"  # the offer was accepted
    OUTCOME = "outcome"


# ---- home ----


class HomeEvent(Enum):
    """Inputs of the home side's state machine."""

    OFFER = "offer"  # the first event
    WRITTEN = "written"  # the first byte of the offer is about to be sent
    TAKEN = "taken"
    SERVED = "served"
    NEVER = "never"
    STOPPED = "stopped"
    WRONG_INCARNATION = "stranger"
    INCARNATION_GONE = "life gone"  # the incarnation that got the offer has ended or cannot be reached again
    SILENCE = "silence"  # the away side's lease has certainly expired
    RECALL = "recall"  # home wants to take the job back
    RESEND = "resend"  # time to resend what may have been lost
    CLIENT_GONE = "client gone"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class HomeState:
    """The home side's state of one job."""

    safe: bool  # it may run twice, but not twice at once
    written: bool = False  # a byte of the offer may have been sent
    taken: bool = False  # away has accepted the offer
    cancel_message: MessageKind | None = None  # WITHDRAW or ABANDON, resent until an outcome is received
    resolution: Resolution | None = None
    is_settled: bool = False  # nothing more will be received, or an outcome was: no more resends


HomeStep = tuple[HomeState, tuple[MessageKind, ...]]
EVENT_OUTCOMES = {
    HomeEvent.SERVED: Outcome.SERVED,
    HomeEvent.NEVER: Outcome.NEVER,
    HomeEvent.STOPPED: Outcome.STOPPED,
    HomeEvent.WRONG_INCARNATION: Outcome.WRONG_INCARNATION,
}
OUTCOME_EVENTS = {outcome: event for event, outcome in EVENT_OUTCOMES.items()}


def step_home(state: HomeState, event: HomeEvent) -> HomeStep:
    """Apply an event to the home side's state; returns the new state and the messages to send."""
    if event in EVENT_OUTCOMES:
        return _receive_outcome(state, EVENT_OUTCOMES[event])
    if state.resolution:
        messages = (
            (state.cancel_message,)
            if state.cancel_message and not state.is_settled and event is HomeEvent.RESEND
            else ()
        )
        return state, messages
    match event:
        case HomeEvent.OFFER:
            return state, (MessageKind.OFFER,)
        case HomeEvent.WRITTEN:
            return replace(state, written=True), ()
        case HomeEvent.TAKEN:
            return replace(state, taken=True), ()
        case HomeEvent.RESEND:
            # An accepted offer is not resent: away resends the outcome until home acknowledges it.
            return state, (state.cancel_message,) if state.cancel_message else () if state.taken else (
                MessageKind.OFFER,
            )
        case HomeEvent.RECALL:
            if not state.written:
                return replace(state, resolution=Resolution.RUN_AT_HOME), ()
            return replace(state, cancel_message=MessageKind.WITHDRAW), (MessageKind.WITHDRAW,)
        case HomeEvent.INCARNATION_GONE:
            if not state.written:
                return replace(state, resolution=Resolution.RUN_AT_HOME), ()
            # A safe job waits for the lease to expire: the old incarnation may be cut off rather than dead.
            return (
                state if state.safe else replace(state, resolution=Resolution.FAILED, is_settled=True)
            ), ()
        case HomeEvent.SILENCE:
            if not state.written:
                return replace(state, resolution=Resolution.RUN_AT_HOME), ()
            # The offer may still arrive, but its term has ended, so away will not start the job.
            return (
                replace(state, resolution=Resolution.RUN_AT_HOME, cancel_message=MessageKind.ABANDON)
                if state.safe
                else state
            ), ()
        case HomeEvent.CLIENT_GONE:
            return _give_up(state, Resolution.CLIENT_GONE)
        case HomeEvent.DEADLINE:
            return _give_up(state, Resolution.FAILED if state.written else Resolution.NOT_SENT)
    raise AssertionError(event)


def _receive_outcome(state: HomeState, outcome: Outcome) -> HomeStep:
    if outcome is Outcome.WRONG_INCARNATION:
        # The incarnation that got the offer will send nothing more. A safe job waits for its lease to expire.
        if state.resolution or state.safe:
            return state, ()
        return replace(state, resolution=Resolution.FAILED, is_settled=True), ()
    settled = replace(state, is_settled=True, taken=True, cancel_message=None)
    if state.resolution:
        return settled, (MessageKind.ACK,)
    resolution = {
        Outcome.SERVED: Resolution.SERVED,
        Outcome.NEVER: Resolution.RUN_AT_HOME,
        Outcome.STOPPED: Resolution.RUN_AT_HOME if state.safe else Resolution.FAILED,
    }[outcome]
    return replace(settled, resolution=resolution), (MessageKind.ACK,)


def _give_up(state: HomeState, resolution: Resolution) -> HomeStep:
    if not state.written:
        return replace(state, resolution=resolution), ()
    return replace(state, resolution=resolution, cancel_message=MessageKind.ABANDON), (MessageKind.ABANDON,)


# ---- away ----


class AwayEvent(Enum):
    """Inputs of the away side's state machine."""

    OFFER = "offer"
    WITHDRAW = "withdraw"
    ABANDON = "abandon"
    ACK = "ack"
    LAST_BYTE_READY = "leaving"  # an attempt is complete but for its last byte: may that be sent?
    ATTEMPT_NOT_RUN = "returned"  # the attempt ended and certainly did not run
    SERVED = "served"  # the job ended here with a result
    ENDED = "ended"  # the job ended here without a result
    LEASE_LOST = "lease lost"
    HOME_DEAD = "home dead"  # that incarnation of the home side has ended
    RESEND = "resend"
    EXPIRED = "expired"


class Stage(Enum):
    """How far a job has come at the away side."""

    WAITING = "waiting"  # accepted, and nothing of it has run
    RUNNING = "running"  # an attempt may run or have run
    ENDED = "ended"


class Action(Enum):
    """What the away side must do, apart from sending messages."""

    START = "start"
    STOP = "stop"  # cancel the attempt by closing its connection; an ENDED event follows
    SEND_LAST_BYTE = "go"  # permits LAST_BYTE_READY; without it the last byte must not be sent
    FORGET = "forget"  # the record is no longer needed
    FREE_RESULT = "free"  # the result is no longer needed


@dataclass(frozen=True, slots=True)
class AwayState:
    """The away side's state of one job."""

    safe: bool
    stage: Stage = Stage.WAITING
    stopping: bool = False
    outcome: Outcome | None = None
    acked: bool = False


@dataclass(frozen=True, slots=True)
class Validity:
    """Whether a message from home still applies to this process, as the caller has just determined."""

    is_for_this_incarnation: bool = True  # not for an earlier one
    is_unexpired: bool = True  # by the local clock
    is_leased: bool = True  # the lease held here has not expired and has the message's term


AwayStep = tuple[AwayState | None, tuple[Action | Outcome | MessageKind, ...]]
FROM_HOME = frozenset({AwayEvent.OFFER, AwayEvent.WITHDRAW, AwayEvent.ABANDON})
VALID = Validity()


def step_away(
    state: AwayState | None, event: AwayEvent, validity: Validity = VALID, safe: bool = False
) -> AwayStep:
    """Apply an event to the away side's state; returns the new state and the actions.

    The state None stands for a job without a record.
    """
    if event in FROM_HOME and not validity.is_for_this_incarnation:
        return state, (Outcome.WRONG_INCARNATION,)
    if state is None:
        return _step_unknown(event, validity, safe)
    if state.stage is Stage.ENDED:
        return _step_ended(state, event)
    match event:
        case AwayEvent.OFFER:
            return state, (MessageKind.TAKEN,)
        case AwayEvent.WITHDRAW | AwayEvent.LEASE_LOST:
            # An unsafe job that may have begun continues, because home needs its outcome.
            continues = state.stage is Stage.RUNNING and not state.safe
            return (state, ()) if continues else _stop(state)
        case AwayEvent.ABANDON | AwayEvent.HOME_DEAD | AwayEvent.EXPIRED:
            return _stop(state)
        case AwayEvent.LAST_BYTE_READY:
            if state.stopping or not validity.is_leased or state.stage is Stage.RUNNING and not state.safe:
                return state, ()
            return replace(state, stage=Stage.RUNNING), (Action.SEND_LAST_BYTE,)
        case AwayEvent.ATTEMPT_NOT_RUN:
            return replace(state, stage=Stage.WAITING), ()
        case AwayEvent.SERVED | AwayEvent.ENDED:
            outcome = Outcome.NEVER if state.stage is Stage.WAITING else Outcome.STOPPED
            if event is AwayEvent.SERVED:
                outcome = Outcome.SERVED
            return AwayState(state.safe, Stage.ENDED, outcome=outcome), (outcome,)
        case AwayEvent.ACK | AwayEvent.RESEND:
            return state, ()
    raise AssertionError(event)


def _stop(state: AwayState) -> AwayStep:
    return replace(state, stopping=True), () if state.stopping else (Action.STOP,)


def _step_unknown(event: AwayEvent, validity: Validity, safe: bool) -> AwayStep:
    if event not in FROM_HOME:
        return None, ()
    if not validity.is_unexpired:
        # The job may have run here and its record been dropped, so no promise is possible; none is needed.
        return None, (Outcome.STOPPED,)
    if event is AwayEvent.OFFER and validity.is_leased:
        return AwayState(safe), (Action.START, MessageKind.TAKEN)
    # The tombstone is stored before the promise is sent, so that a delayed offer finds it.
    return AwayState(safe, Stage.ENDED, outcome=Outcome.NEVER), (Outcome.NEVER,)


def _step_ended(state: AwayState, event: AwayEvent) -> AwayStep:
    assert state.outcome
    match event:
        case AwayEvent.OFFER | AwayEvent.WITHDRAW | AwayEvent.ABANDON:
            return state, (state.outcome,)
        case AwayEvent.RESEND:
            return state, () if state.acked else (state.outcome,)
        case AwayEvent.ACK:
            return replace(state, acked=True), () if state.acked else (Action.FREE_RESULT,)
        case AwayEvent.EXPIRED:
            return None, (Action.FORGET,)
        case _:
            return state, ()
