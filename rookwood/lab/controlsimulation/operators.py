"""Simulated operators, who change the document and confirm who leads."""

from rookwood.coordination.outcomes import (
    Committed,
    Confirmed,
    ConfirmOutcome,
    Declined,
    NotPrimary,
    ProposeOutcome,
)
from rookwood.lab.controlsimulation.checks import SEPARATOR, Call, Checks
from rookwood.lab.controlsimulation.injector import Injector
from rookwood.lab.controlsimulation.processes import Processes
from rookwood.lab.controlsimulation.world import Machine, World

CALL_LIMIT = 3.0
FIRST_CALL_AT = 1.0
ASKS_PRIMARY = 0.9
READS = 0.25
KNOWS_NEWEST = 0.8
TRIGGERED_BY_COMMIT = 0.5


class Operators:
    """Makes calls at machines, one after another, and checks their outcomes."""

    def __init__(self, world: World, processes: Processes, checks: Checks, injector: Injector) -> None:
        self._world = world
        self._processes = processes
        self._checks = checks
        self._injector = injector
        self._calls: dict[int, Call] = {}
        self._last_ticket = 0

    def start(self) -> None:
        """Begin to make calls."""
        self._world.engine.at(FIRST_CALL_AT, self._call)

    def _call(self) -> None:
        world = self._world
        pause = world.random.uniform(0.2, 1.8) * world.plan.operator_pause
        world.engine.at(world.now + pause, self._call)
        machines = [machine for machine in world.present() if machine.replica is not None]
        primaries = [machine for machine in machines if world.is_primary(machine)]
        if not machines:
            return
        choice = primaries if primaries and world.random.random() < ASKS_PRIMARY else machines
        machine = world.random.choice(choice)
        if world.random.random() < READS:
            self._confirm(machine)
        else:
            self._propose(machine)

    def _begin(self, label: bytes | None) -> int:
        self._last_ticket += 1
        self._calls[self._last_ticket] = self._checks.begin_call(label)
        return self._last_ticket

    def _propose(self, machine: Machine) -> None:
        base = self._some_base()
        label = b"%d" % (self._last_ticket + 1)
        ticket = self._begin(label)

        def change(payload: bytes) -> bytes | Declined:
            if payload != base:
                return Declined(payload)
            return payload + label + SEPARATOR

        self._processes.input(
            machine.ip, machine.life, lambda replica, now: replica.propose(ticket, change, now)
        )
        self._limit(machine, ticket)

    def _confirm(self, machine: Machine) -> None:
        ticket = self._begin(None)
        self._processes.input(machine.ip, machine.life, lambda replica, now: replica.confirm(ticket, now))
        self._limit(machine, ticket)

    def _limit(self, machine: Machine, ticket: int) -> None:
        ip, life = machine.ip, machine.life

        def end() -> None:
            if ticket in self._calls:
                del self._calls[ticket]
                self._processes.input(ip, life, lambda replica, now: replica.abandon(ticket, now))

        self._world.engine.at(self._world.now + CALL_LIMIT, end)

    def _some_base(self) -> bytes:
        if self._world.committed and self._world.random.random() < KNOWS_NEWEST:
            return self._world.newest_committed().payload
        snapshots = [machine.snapshot.payload for machine in self._world.present()]
        return self._world.random.choice(snapshots)

    def resolve(self, ticket: int, outcome: ProposeOutcome | ConfirmOutcome) -> None:
        """Take the outcome of a call."""
        call = self._calls.pop(ticket, None)
        if call is None:
            return
        self._world.engine.note(f"call {ticket} {type(outcome).__name__}")
        report = self._world.report
        match outcome:
            case Committed():
                report.committed += 1
                self._checks.acknowledge(call, outcome.snapshot.payload)
                self._injector.trigger_any(TRIGGERED_BY_COMMIT)
            case Declined():
                report.declined += 1
                assert isinstance(outcome.answer, bytes)
                self._checks.check_contains_acknowledged(outcome.answer, call)
                self._checks.refuse(call)
            case Confirmed():
                report.confirmed += 1
                self._checks.check_contains_acknowledged(outcome.snapshot.payload, call)
            case NotPrimary():
                self._checks.refuse(call)
            case _:
                report.uncertain += 1
