"""The calls at replicas that operations lead to, their limits, and what their outcomes have to fit."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rookwood.clusterconfig.history import AlreadyAccepted, Change, Conflict
from rookwood.coordination.outcomes import (
    Committed,
    Confirmed,
    ConfirmOutcome,
    Declined,
    NotPrimary,
    Overloaded,
    ProposeOutcome,
    Uncertain,
)
from rookwood.lab.configuration_register import (
    ChangeCall,
    ReadCall,
    Refused,
    RegisterAnswer,
    RegisterCall,
    Taken,
    TakenBefore,
    Value,
)
from rookwood.lab.controlsimulation.changes import Refusal, apply_change, number_in_force, read_payload
from rookwood.lab.controlsimulation.checks import Checks
from rookwood.lab.controlsimulation.injector import Injector
from rookwood.lab.controlsimulation.processes import Processes
from rookwood.lab.controlsimulation.world import Machine, World
from rookwood.lab.linearizability import History

CHANGE_LIMIT = 3.0
READ_LIMIT = 1.0
TRIGGERED_BY_COMMIT = 0.5


@dataclass
class Operation:
    """A read (`change` is None) or a change, sent until it is answered or given up."""

    number: int
    change: Change | None
    random: Random
    attempts: int = 0
    finished: bool = False
    open_requests: int = 0
    calls: int = 0
    calls_not_done: int = 0

    def has_done_nothing(self) -> bool:
        """Tell whether no call did anything and none can come any more."""
        return self.finished and not self.open_requests and self.calls == self.calls_not_done


@dataclass
class Call:
    """A call at one replica for an operation."""

    operation: Operation
    on_answered: Callable[[bool], None]
    acknowledged_before: int = 0
    recorded: int = 0


def _register_call(operation: Operation) -> RegisterCall:
    change = operation.change
    return ReadCall() if change is None else ChangeCall(operation.number, change.base)


def _value(payload: bytes) -> Value:
    return Value(read_payload(payload).version, number_in_force(payload))


class Calls:
    """Makes calls at replicas, and takes their outcomes."""

    def __init__(self, world: World, processes: Processes, checks: Checks, injector: Injector) -> None:
        self._world = world
        self._processes = processes
        self._checks = checks
        self._injector = injector
        self.history: History[RegisterCall, RegisterAnswer] = History()
        self._calls: dict[int, Call] = {}
        self._last_ticket = 0

    def begin(self, machine: Machine, call: Call) -> None:
        """Make a call at a machine."""
        self._last_ticket += 1
        ticket = self._last_ticket
        self._calls[ticket] = call
        call.operation.calls += 1
        call.acknowledged_before = self._checks.acknowledged_count()
        change = call.operation.change
        call.recorded = self.history.begin(_register_call(call.operation))
        if change is None:
            self._processes.input(machine.ip, machine.life, lambda replica, now: replica.confirm(ticket, now))
        else:
            apply = apply_change(change)
            self._processes.input(
                machine.ip, machine.life, lambda replica, now: replica.propose(ticket, apply, now)
            )
        self._limit(machine, ticket, READ_LIMIT if change is None else CHANGE_LIMIT)

    def _limit(self, machine: Machine, ticket: int, limit: float) -> None:
        ip, life = machine.ip, machine.life

        def end() -> None:
            call = self._calls.pop(ticket, None)
            if call is not None:
                self._processes.input(ip, life, lambda replica, now: replica.abandon(ticket, now))
                call.on_answered(False)

        self._world.engine.at(self._world.now + limit, end)

    def resolve(self, ticket: int, outcome: ProposeOutcome | ConfirmOutcome) -> None:
        """Take the outcome of a call."""
        call = self._calls.pop(ticket, None)
        if call is None:
            return
        self._world.engine.note(f"call {ticket} of {call.operation.number} {type(outcome).__name__}")
        report = self._world.report
        match outcome:
            case Committed():
                report.committed += 1
                version = read_payload(outcome.snapshot.payload).version
                self.history.end(call.recorded, Taken(version))
                self._take_change(call, outcome.snapshot.payload)
                self._injector.trigger_any(TRIGGERED_BY_COMMIT)
            case Declined():
                self._on_declined(call, outcome)
            case Confirmed():
                report.confirmed += 1
                self.history.end(call.recorded, _value(outcome.snapshot.payload))
                self._checks.check_contains_acknowledged(outcome.snapshot.payload, call.acknowledged_before)
            case NotPrimary() | Overloaded():
                self.history.withdraw(call.recorded)
                self._on_not_done(call.operation)
            case Uncertain():
                report.uncertain += 1
        call.on_answered(isinstance(outcome, Committed | Declined | Confirmed))

    def _take_change(self, call: Call, payload: bytes) -> None:
        change = call.operation.change
        assert change is not None
        self._checks.check_contains_acknowledged(payload, call.acknowledged_before)
        self._checks.acknowledge(change.digest())

    def _on_declined(self, call: Call, outcome: Declined) -> None:
        refusal = outcome.result
        change = call.operation.change
        assert isinstance(refusal, Refusal) and change is not None
        match refusal.decision:
            case AlreadyAccepted(version):
                self.history.end(call.recorded, TakenBefore(version))
                self._world.report.taken_before += 1
                self._take_change(call, refusal.payload)
            case Conflict(current):
                self.history.end(call.recorded, Refused(current))
                self._world.report.declined += 1
                self._checks.check_contains_acknowledged(refusal.payload, call.acknowledged_before)
                self._checks.refuse(change.digest())
            case decision:
                self._checks.fail(f"unexpected decision {decision}")

    def _on_not_done(self, operation: Operation) -> None:
        operation.calls_not_done += 1
        self.check_done_nothing(operation)

    def check_done_nothing(self, operation: Operation) -> None:
        """Note a change of which no call did anything: it must never be in force."""
        if operation.change is not None and operation.has_done_nothing():
            self._checks.refuse(operation.change.digest())
