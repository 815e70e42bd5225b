"""Operating points: the load, in slots in use, that a worker carries for a size group in time."""

from __future__ import annotations

from rookwood.modelplacement.types import Outcome

SEED = 16.0  # slots in use at which tokens still come fast enough; a worker runs more, but slower
FALL = 0.97  # for a request that ended late or failed
RISE = 1.0005  # for a request that ended well
LEAST = 2.0
MOST = 48.0


class OperatingPoints:
    """One operating point per size group; falls fast and rises slowly."""

    def __init__(self, seed: float = SEED) -> None:
        self._seed = seed
        self._points: dict[float, float] = {}

    def of(self, group_mb: float) -> float:
        """The operating point of a group."""
        return self._points.get(group_mb, self._seed)

    def record(self, group_mb: float, outcome: Outcome) -> None:
        """Move a group's operating point by one ended request."""
        factor = RISE if outcome is Outcome.OK else FALL
        self._points[group_mb] = min(MOST, max(LEAST, self.of(group_mb) * factor))
