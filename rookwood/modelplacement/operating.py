"""Operating points: how many slots a worker may have in use for a size group and still respond in time."""

from __future__ import annotations

from rookwood.modelplacement.types import Outcome

INITIAL_POINT = 16.0  # slots; with more in use a worker still runs requests, but produces tokens too slowly
DECREASE_FACTOR = 0.97  # for a request that was late or failed
INCREASE_FACTOR = 1.0005  # for a request that was served in time
MIN_POINT = 2.0  # slots
MAX_POINT = 48.0  # slots


class OperatingPoints:
    """One operating point for each size group; it falls fast and rises slowly."""

    def __init__(self, initial_point: float = INITIAL_POINT) -> None:
        self._initial_point = initial_point
        self._points: dict[float, float] = {}

    def for_group(self, group_mb: float) -> float:
        """The operating point of the group of weights of `group_mb` megabytes."""
        return self._points.get(group_mb, self._initial_point)

    def record(self, group_mb: float, outcome: Outcome) -> None:
        """Adjust a group's operating point by the outcome of one request."""
        factor = INCREASE_FACTOR if outcome is Outcome.OK else DECREASE_FACTOR
        self._points[group_mb] = min(MAX_POINT, max(MIN_POINT, self.for_group(group_mb) * factor))
