"""One simulated history: the parts put together, and the course from the start to the checks at the end."""

from functools import partial

from rookwood.coordination.effects import CommitApplied, Effect, Persist, Resolve, RoleChanged, Send
from rookwood.coordination.messages import Promise, WriteAck
from rookwood.lab.configuration_register import ConfigurationRegister
from rookwood.lab.controlsimulation.calls import Calls
from rookwood.lab.controlsimulation.checks import Checks, LinearizabilityError
from rookwood.lab.controlsimulation.disks import Disks
from rookwood.lab.controlsimulation.engine import Report
from rookwood.lab.controlsimulation.faults import EARLIEST_RESTART, Faults
from rookwood.lab.controlsimulation.freshness import FreshnessWatch
from rookwood.lab.controlsimulation.injector import Injector
from rookwood.lab.controlsimulation.network import Network
from rookwood.lab.controlsimulation.operators import Operators
from rookwood.lab.controlsimulation.plan import Fault, Plan, TriggeredFault, plan_of
from rookwood.lab.controlsimulation.processes import Processes
from rookwood.lab.controlsimulation.steps import FaultStep, OperationStep, Schedule
from rookwood.lab.controlsimulation.world import Machine, World
from rookwood.lab.linearizability import (
    Linearizable,
    NotLinearizable,
    Undecided,
    Verdict,
    check_linearizable,
    describe,
)

START = 1.5
POWER_LOSS_AFTER_ACK_WEIGHT = 0.3
POWER_LOSS_AT_WRITE_WEIGHT = 0.05
MEMBER_CHANGE_WEIGHT = 4.0
NEW_PRIMARY_WEIGHT = 4.0
LONGEST_FREEZE_WHEN_HEALED = 0.5


class Simulation:
    """One history, decided by its seed; or by a schedule, while the seed draws the surroundings alone."""

    def __init__(self, seed: int, plan: Plan | None = None, schedule: Schedule | None = None) -> None:
        self.plan = plan or plan_of(seed)
        self._schedule = schedule
        self.world = World(seed, self.plan)
        self.processes = Processes(self.world, self._apply)
        self.network = Network(self.world, self.processes)
        self._disks = Disks(self.world, self.processes, self._on_cached)
        faults = Faults(self.world, self.processes, self.network)
        self._injector = Injector(seed, self.world, faults, replays=schedule is not None)
        self._checks = Checks(self.world)
        self._calls = Calls(self.world, self.processes, self._checks, self._injector)
        self._operators = Operators(seed, self.world, self._calls)
        self._freshness = FreshnessWatch(self.world, self._checks)

    @property
    def report(self) -> Report:
        """Return what happened so far."""
        return self.world.report

    @property
    def trace(self) -> list[str]:
        """Return a line for each notable event so far."""
        return self.world.engine.trace

    @property
    def steps(self) -> Schedule:
        """Return the faults and operations so far: a schedule that can be played again."""
        return tuple(self.world.steps)

    def run(self) -> Report:
        """Play the history; raises `InvariantError` where a promise is broken."""
        engine = self.world.engine
        self.processes.start_all()
        self._freshness.start()
        end_of_trouble = START + self.plan.troubled
        if self._schedule is None:
            self._injector.schedule(end_of_trouble)
            self._operators.start()
        else:
            self._schedule_again(self._schedule)
        if self.plan.longest_pause:
            for ip in self.world.seeds:
                self.processes.pause_repeatedly(ip)
        engine.run_until(end_of_trouble)
        self._heal()
        engine.run_until(end_of_trouble + self.plan.calm)
        self._checks.check_end()
        self._check_history()
        return self.report

    def check_linearizable(self) -> Verdict:
        """Search for an order of the calls so far that explains their answers."""
        return check_linearizable(ConfigurationRegister(), self._calls.history.operations())

    def _check_history(self) -> None:
        match self.check_linearizable():
            case Linearizable(order):
                self.report.calls_in_order = len(order)
            case NotLinearizable() as verdict:
                why = describe(verdict, self._calls.history.operations())
                self.world.engine.note(why)
                raise LinearizabilityError(why)
            case Undecided():
                self.report.undecided = 1

    def _schedule_again(self, schedule: Schedule) -> None:
        for step in schedule:
            match step:
                case FaultStep():
                    play = partial(self._injector.play, step)
                    self.world.engine.at(step.moment, play, last=True)
                case OperationStep():
                    self.world.engine.at(step.moment, partial(self._operators.play, step))

    def _heal(self) -> None:
        world = self.world
        world.engine.note("heal")
        world.healed = True
        self.network.mend_cuts()
        self.network.lose_messages(until=0.0)
        for machine in world.present():
            machine.disk.full = False
            machine.disk.sync_time = self.plan.sync_time
            machine.disk.stalled_until = 0.0
            machine.frozen_until = min(machine.frozen_until, world.now + LONGEST_FREEZE_WHEN_HEALED)
            if machine.replica is None:
                self.processes.boot_after(machine.ip, world.random.uniform(EARLIEST_RESTART, 1.0))

    # Effects

    def _apply(self, machine: Machine, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(machine, effect)
                case Persist():
                    self._disks.begin(machine, effect, partial(self._on_write_begun, effect))
                case Resolve():
                    self._calls.resolve(effect.ticket, effect.outcome)
                case CommitApplied():
                    self._checks.on_commit(machine, effect.snapshot)
                case RoleChanged():
                    self.on_role(machine, effect)

    def _send(self, machine: Machine, effect: Send) -> None:
        if isinstance(effect.message, Promise):
            self._injector.trigger(self.plan.promise_loss_weight, TriggeredFault.POWER_LOSS, machine.ip)
        if isinstance(effect.message, WriteAck):
            self._injector.trigger(POWER_LOSS_AFTER_ACK_WEIGHT, TriggeredFault.POWER_LOSS, machine.ip)
        self.network.send(machine, effect.to, effect.message)

    def _on_write_begun(self, effect: Persist) -> None:
        self._injector.trigger(POWER_LOSS_AT_WRITE_WEIGHT, TriggeredFault.KILL_ALL_THEN_POWER_LOSS)
        if effect.record.document.configuration.outgoing:
            self._injector.trigger(MEMBER_CHANGE_WEIGHT, Fault.CUT_PAIR)
            self._injector.trigger(MEMBER_CHANGE_WEIGHT, Fault.KILL)

    def _on_cached(self, machine: Machine) -> None:
        weight = self.plan.unsynced_copy_weight
        if weight and not self.world.is_primary(machine):
            self._injector.trigger(weight, TriggeredFault.UNSYNCED_COPY_LOST, machine.ip, within=0.0)

    def on_role(self, machine: Machine, effect: RoleChanged) -> None:
        """Take a change of role; for subclasses that measure."""
        if self._checks.on_role(machine, effect):
            self._injector.trigger_any(NEW_PRIMARY_WEIGHT)
