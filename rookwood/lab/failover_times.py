"""Simulated spans without a primary after the primary is killed, frozen, cut off, or its disk is full."""

from dataclasses import dataclass
from enum import Enum, auto
from statistics import median

from rookwood.coordination.effects import RoleChanged
from rookwood.coordination.outcomes import Primary
from rookwood.lab.controlsimulation import Machine, Plan, Simulation

EARLIEST = 2.5
LATEST = 3.5
FAULT_SPAN = 6.0


class Trouble(Enum):
    """What befalls the primary."""

    KILL = auto()
    FREEZE = auto()
    CUT = auto()
    DISK_FULL = auto()


@dataclass(frozen=True)
class Spans:
    """How long the group had no primary that could act, over many seeds."""

    count: int
    median: float
    worst: float


class Failover(Simulation):
    """One history with one trouble."""

    def __init__(self, seed: int, trouble: Trouble, plan: Plan) -> None:
        super().__init__(seed, plan)
        self._trouble = trouble
        self._struck_at: float | None = None
        self._victim_ip = ""
        self.span: float | None = None

    def measure(self) -> float:
        """Play the history and return the span from the trouble until another member is primary."""
        self.world.engine.at(self.world.random.uniform(EARLIEST, LATEST), self._strike)
        self.run()
        if self.span is None:
            raise ValueError("no other primary came")
        return self.span

    def _strike(self) -> None:
        world = self.world
        primaries = world.primaries()
        if not primaries:
            world.engine.at(world.now + 0.1, self._strike)
            return
        victim = primaries[0]
        self._victim_ip = victim.ip
        self._struck_at = world.now
        match self._trouble:
            case Trouble.KILL:
                self.processes.kill(victim.ip)
                self.processes.boot_after(victim.ip, FAULT_SPAN)
            case Trouble.FREEZE:
                victim.frozen_until = world.now + FAULT_SPAN
            case Trouble.CUT:
                others = [ip for ip in world.machines if ip != victim.ip]
                self.network.cut_between([victim.ip], others, FAULT_SPAN)
            case Trouble.DISK_FULL:
                victim.disk.full = True

    def on_role(self, machine: Machine, effect: RoleChanged) -> None:
        """Note when another machine became primary."""
        super().on_role(machine, effect)
        is_other = isinstance(effect.role, Primary) and machine.ip != self._victim_ip
        if is_other and self._struck_at is not None and self.span is None:
            self.span = self.world.now - self._struck_at


def measure_spans(trouble: Trouble, seeds: range, plan: Plan) -> Spans:
    """Play many seeds and return the spans."""
    spans = [Failover(seed, trouble, plan).measure() for seed in seeds]
    return Spans(len(spans), round(median(spans), 3), round(max(spans), 3))


def calm_plan(members: int = 3, sync_time: float = 0.01, operator_pause: float = 0.1) -> Plan:
    """Return the plan of a history whose only trouble is the one that is measured."""
    return Plan(
        members=members,
        tolerate=members // 2,
        faults=0,
        troubled=9.0,
        calm=3.0,
        sync_time=sync_time,
        operator_pause=operator_pause,
    )
