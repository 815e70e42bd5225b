"""Reduces the schedule of a failing history to the faults and operations that it takes to fail.

Usage: `python -m rookwood.lab.controlsimulation.shrinking SEED`.
"""

import re
import sys
from dataclasses import dataclass

from rookwood.lab.controlsimulation.checks import InvariantError
from rookwood.lab.controlsimulation.plan import Plan
from rookwood.lab.controlsimulation.simulation import Simulation
from rookwood.lab.controlsimulation.steps import FaultStep, Schedule, Step
from rookwood.lab.delta_debugging import minimise

DEFAULT_MAX_TRIALS = 600
SURROUNDINGS_TRIED = 3
NUMBERS = re.compile(r"\d[\d.]*")


@dataclass(frozen=True)
class Holds:
    """The seed breaks no promise."""


@dataclass(frozen=True)
class Shrunk:
    """A shorter schedule that breaks the same promise, and the seed of the surroundings in which it does."""

    schedule: Schedule
    surroundings: int
    why: str
    steps_before: int
    is_minimal: bool
    trials: int


@dataclass(frozen=True)
class _Failure:
    surroundings: int
    why: str


class Shrinker:
    """Plays parts of a failing schedule; delay and loss of messages are drawn anew for some seeds each."""

    def __init__(self, seed: int, plan: Plan | None = None, max_trials: int = DEFAULT_MAX_TRIALS) -> None:
        self._seed = seed
        self._max_trials = max_trials
        self._first = Simulation(seed, plan)
        self._plan = self._first.plan

    def shrink(self) -> Shrunk | Holds:
        """Play the seed, and reduce its schedule if it fails."""
        why = _play(self._first)
        if why is None:
            return Holds()
        steps = self._first.steps
        minimised = minimise(steps, lambda part: self._fails(part, why) is not None, self._max_trials)
        failure = self._fails(minimised.items, why) or _Failure(self._seed, why)
        return Shrunk(
            schedule=minimised.items,
            surroundings=failure.surroundings,
            why=failure.why,
            steps_before=len(steps),
            is_minimal=minimised.is_minimal,
            trials=minimised.trials,
        )

    def _fails(self, schedule: Schedule, why: str) -> _Failure | None:
        for surroundings in range(self._seed, self._seed + SURROUNDINGS_TRIED):
            found = _play(Simulation(surroundings, self._plan, schedule))
            if found is not None and kind_of(found) == kind_of(why):
                return _Failure(surroundings, found)
        return None


def kind_of(why: str) -> str:
    """Return which promise was broken: the text without details and numbers."""
    return NUMBERS.sub("", why.partition(":")[0])


def _play(simulation: Simulation) -> str | None:
    try:
        simulation.run()
    except InvariantError as error:
        return str(error)
    return None


def _describe(step: Step) -> str:
    if isinstance(step, FaultStep):
        return f"{step.moment:8.4f} {step.kind.name} {step.target or ''} (seed {step.seed})"
    return f"{step.moment:8.4f} operation {step.number} (seed {step.seed})"


def main(arguments: list[str]) -> int:
    """Shrink the history of a seed and print its schedule; 1 if it fails, 0 if it holds."""
    result = Shrinker(int(arguments[0])).shrink()
    if isinstance(result, Holds):
        print("holds")
        return 0
    print(f"{result.why}; {len(result.schedule)} of {result.steps_before} steps, ", end="")
    print(f"surroundings {result.surroundings}, minimal: {result.is_minimal}")
    for step in result.schedule:
        print(_describe(step))
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
