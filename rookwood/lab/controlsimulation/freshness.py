"""Watches what simulated machines claim: who says to be fresh holds what was acknowledged a while ago.

Dispatchers take a control machine's word for it (`HeartbeatAnswer.fresh`), so the claim may be old only
within a bound. It is the sum of three leases: for one a process may stand still without noticing it, for one
a primary that was cut off goes on to believe in itself, and for one what it said counts at its followers. A
message that a lossy network delays adds its delay.
"""

from rookwood.coordination.outcomes import Following, Primary
from rookwood.lab.controlsimulation.checks import Checks
from rookwood.lab.controlsimulation.network import LOSSY_DELAY
from rookwood.lab.controlsimulation.world import Machine, World

WATCH_INTERVAL = 0.05
LEASES = 3


class FreshnessWatch:
    """Looks at every machine again and again."""

    def __init__(self, world: World, checks: Checks) -> None:
        self._world = world
        self._checks = checks
        self._bound = LEASES * world.plan.timing.lease + LOSSY_DELAY

    def start(self) -> None:
        """Begin to watch."""
        self._world.engine.at(self._world.now + WATCH_INTERVAL, self._look)

    def _look(self) -> None:
        for machine in self._world.present():
            if machine.frozen_until <= self._world.now and self._claims_to_be_fresh(machine):
                self._world.report.fresh_claims += 1
                self._checks.check_holds_acknowledged_before(machine, self._world.now - self._bound)
        self.start()

    def _claims_to_be_fresh(self, machine: Machine) -> bool:
        if machine.replica is None:
            return False
        role = machine.replica.role(self._world.clock(machine))
        return isinstance(role, Primary) or (isinstance(role, Following) and role.is_fresh)
