"""Decides when faults strike: at moments drawn beforehand, or right after an event that is worth it."""

from rookwood.lab.controlsimulation.faults import Faults
from rookwood.lab.controlsimulation.plan import AnyFault
from rookwood.lab.controlsimulation.world import World

MAX_TRIGGERED_FAULTS = 6
FIRST_FAULT_AT = 1.0
TRIGGERED_WITHIN = 0.02


class Injector:
    """Schedules the faults of a plan."""

    def __init__(self, world: World, faults: Faults) -> None:
        self._world = world
        self._faults = faults
        self._triggered = 0

    def schedule(self, end: float) -> None:
        """Schedule the faults of the plan at moments until an end."""
        for _ in range(self._world.plan.faults):
            moment = self._world.random.uniform(FIRST_FAULT_AT, end)
            self._world.engine.at(moment, self._strike_any)

    def trigger_any(self, weight: float) -> None:
        """Perhaps start a fault of a kind that the plan names."""
        if self._is_due(weight):
            self._world.engine.at(self._moment_within(TRIGGERED_WITHIN), self._strike_any)

    def trigger(
        self, weight: float, kind: AnyFault, target: str | None = None, within: float = TRIGGERED_WITHIN
    ) -> None:
        """Perhaps start a fault of this kind within milliseconds."""
        if self._is_due(weight):
            self._world.engine.at(self._moment_within(within), lambda: self._strike(kind, target))

    def _is_due(self, weight: float) -> bool:
        if self._world.healed or self._triggered >= MAX_TRIGGERED_FAULTS:
            return False
        if self._world.random.random() >= self._world.plan.triggered * weight:
            return False
        self._triggered += 1
        return True

    def _moment_within(self, span: float) -> float:
        return self._world.now + self._world.random.uniform(0.0, span)

    def _strike_any(self) -> None:
        if not self._world.healed:
            self._strike(self._world.random.choice(self._world.plan.kinds), None)

    def _strike(self, kind: AnyFault, target: str | None) -> None:
        if not self._world.healed:
            self._faults.strike(kind, target, self._world.random)
