"""When a client is told to come back because no worker holds the model that it asks for.

A load takes longer than some requests may take to count in full. Such a request is refused at once, before it
has lost much of its objective, with the time at which the model should be there. Who has come back before is
held instead, since a second refusal costs more than a late answer.
"""

from __future__ import annotations

from rookwood.clusterconfig.document import Model, Route

MILLISECONDS = 1000.0
ORDER_TIME = 0.35  # seconds from a demand's report to the start of the load, evictions included
SOONEST = 0.3  # seconds
HEEDED_SHARE = 1.0 / 3.0  # of the time that a client has left; it waits no longer before it comes back
FIRST_TRY_SHARE = 0.98  # of the longest time that a client of the route told; less is left after a try


class ReturnTimes:
    """Knows which requests are first tries, by the time that clients tell they have."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def observe(self, route: Route, left: float) -> bool:
        """Note the time that a request has, in seconds; returns whether it looks like a first try."""
        longest = max(left, self._longest.get(route.name, 0.0))
        self._longest[route.name] = longest
        return left >= FIRST_TRY_SHARE * longest

    @staticmethod
    def find(route: Route, model: Model, under_way: float, left: float) -> float | None:
        """Seconds after which to come back; None where it is better to wait here.

        `under_way` tells for how long others have waited for the model, `left` how long the client will wait.
        """
        wait = max(SOONEST, ORDER_TIME + model.load_s - under_way)
        if wait <= route.target_ms / MILLISECONDS:
            return None
        return wait if wait <= HEEDED_SHARE * left else None
