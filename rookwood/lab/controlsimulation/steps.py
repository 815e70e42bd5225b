"""The schedule of a history: the faults that strike and the operations of operators, each with its own seed.

A recorded schedule can be played again, whole or in part: see `rookwood.lab.controlsimulation.shrinking`.
"""

from dataclasses import dataclass

from rookwood.lab.controlsimulation.plan import AnyFault

SEED_BITS = 62


@dataclass(frozen=True)
class FaultStep:
    """A fault that strikes at a moment; `target` is the machine, for those kinds that name one."""

    moment: float
    kind: AnyFault
    target: str | None
    seed: int


@dataclass(frozen=True)
class OperationStep:
    """An operation that an operator begins at a moment; a change is identified by the number."""

    moment: float
    number: int
    seed: int


Step = FaultStep | OperationStep
Schedule = tuple[Step, ...]
