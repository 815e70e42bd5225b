"""The simulated machines, and the state that all parts of a simulation share."""

from dataclasses import dataclass
from random import Random

from rookwood.coordination.document import Record
from rookwood.coordination.outcomes import Primary, Snapshot
from rookwood.coordination.replication import Replica
from rookwood.lab.controlsimulation.engine import Engine, Report
from rookwood.lab.controlsimulation.plan import Plan
from rookwood.lab.controlsimulation.steps import Step

NO_SNAPSHOT = Snapshot(0, 0, b"")


@dataclass
class Disk:
    """A disk with a cache: `visible` survives a killed process, only `durable` a loss of power."""

    sync_time: float
    durable: Record | None = None
    visible: Record | None = None
    full: bool = False
    stalled_until: float = 0.0


@dataclass
class Machine:
    """One simulated machine and the life of its process."""

    ip: str
    clock_offset: float
    disk: Disk
    replica: Replica | None = None
    life: int = 0
    incarnation: int = 0
    bootstrap: bool = True
    removed: bool = False
    lost_storage: bool = False
    frozen_until: float = 0.0
    frozen_since: float = 0.0
    tick_at: float = float("inf")
    snapshot: Snapshot = NO_SNAPSHOT


class World:
    """Machines, clock, random numbers of the surroundings, what was committed, and the steps played."""

    def __init__(self, seed: int, plan: Plan) -> None:
        self.plan = plan
        self.random = Random(seed)
        self.report = Report()
        self.engine = Engine(self.report)
        self.machines: dict[str, Machine] = {}
        self.committed: dict[int, Snapshot] = {}
        self.steps: list[Step] = []
        self.healed = False
        self._last_address = 0
        self.seeds = tuple(self.new_address() for _ in range(plan.members))

    @property
    def now(self) -> float:
        """Return the moment."""
        return self.engine.now

    def new_address(self) -> str:
        """Return an address that no machine has had."""
        self._last_address += 1
        return f"10.0.0.{self._last_address}"

    def add_machine(self, ip: str, bootstrap: bool) -> Machine:
        """Add a machine with an empty disk; its process is not started."""
        disk = Disk(sync_time=self.plan.sync_time)
        machine = Machine(ip, self.random.uniform(0.0, 1000.0), disk, bootstrap=bootstrap)
        self.machines[ip] = machine
        return machine

    def present(self) -> list[Machine]:
        """Return the machines that were not taken away; their processes may be down."""
        return [machine for machine in self.machines.values() if not machine.removed]

    def primaries(self) -> list[Machine]:
        """Return the machines whose replica acts as primary."""
        return [machine for machine in self.present() if self.is_primary(machine)]

    def is_primary(self, machine: Machine) -> bool:
        """Tell whether a machine's replica acts as primary."""
        replica = machine.replica
        return replica is not None and isinstance(replica.role(self.clock(machine)), Primary)

    def clock(self, machine: Machine) -> float:
        """Return what the clock of a machine shows."""
        return self.now + machine.clock_offset

    def newest_committed(self) -> Snapshot:
        """Return the newest document that any machine applied."""
        return self.committed[max(self.committed)] if self.committed else NO_SNAPSHOT
