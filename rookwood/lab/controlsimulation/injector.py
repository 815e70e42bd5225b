"""Decides when faults strike: at moments drawn beforehand, or right after an event that is worth it."""

from random import Random

from rookwood.lab.controlsimulation.faults import Faults
from rookwood.lab.controlsimulation.plan import AnyFault
from rookwood.lab.controlsimulation.steps import SEED_BITS, FaultStep
from rookwood.lab.controlsimulation.world import World

MAX_TRIGGERED_FAULTS = 6
FIRST_FAULT_AT = 1.0
TRIGGERED_WITHIN = 0.02


class Injector:
    """Schedules the faults of a plan, or plays those of a recorded schedule."""

    def __init__(self, seed: int, world: World, faults: Faults, replays: bool) -> None:
        self._random = Random(f"{seed} faults")
        self._world = world
        self._faults = faults
        self._replays = replays
        self._triggered = 0

    def schedule(self, end: float) -> None:
        """Schedule the faults of the plan at moments until an end."""
        for _ in range(self._world.plan.faults):
            self._world.engine.at(self._random.uniform(FIRST_FAULT_AT, end), self._strike_any, last=True)

    def trigger_any(self, weight: float) -> None:
        """Perhaps start a fault of a kind that the plan names."""
        if self._is_due(weight):
            self._world.engine.at(self._moment_within(TRIGGERED_WITHIN), self._strike_any, last=True)

    def trigger(
        self, weight: float, kind: AnyFault, target: str | None = None, within: float = TRIGGERED_WITHIN
    ) -> None:
        """Perhaps start a fault of this kind within milliseconds."""
        if self._is_due(weight):
            moment = self._moment_within(within)
            self._world.engine.at(moment, lambda: self._strike(kind, target), last=True)

    def play(self, step: FaultStep) -> None:
        """Let a fault strike now."""
        self._world.steps.append(step)
        self._faults.strike(step.kind, step.target, Random(step.seed))

    def _is_due(self, weight: float) -> bool:
        if self._replays or self._world.healed or self._triggered >= MAX_TRIGGERED_FAULTS:
            return False
        if self._random.random() >= self._world.plan.triggered * weight:
            return False
        self._triggered += 1
        return True

    def _moment_within(self, span: float) -> float:
        return self._world.now + self._random.uniform(0.0, span)

    def _strike_any(self) -> None:
        if not self._world.healed:
            self._strike(self._random.choice(self._world.plan.kinds), None)

    def _strike(self, kind: AnyFault, target: str | None) -> None:
        if not self._world.healed:
            self.play(FaultStep(self._world.now, kind, target, self._random.getrandbits(SEED_BITS)))
