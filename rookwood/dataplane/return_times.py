"""The Retry-After time for a request whose model no worker holds.

A load takes longer than the target time of some routes. A request of such a route is rejected at once, while
it has lost little of its time, with the seconds until the model should be loaded. A client that has come back
once is held until the load ends instead, because a second rejection costs more than a late response.
"""

from __future__ import annotations

from rookwood.clusterconfig.document import Model, Route

MILLISECONDS = 1000.0
ORDER_TIME = 0.35  # seconds from the report of the demand to the start of the load, evictions included
MIN_RETURN_TIME = 0.3  # seconds
MAX_RETURN_SHARE = 1.0 / 3.0  # of a client's time left; clients do not heed a longer Retry-After
FIRST_TRY_SHARE = 0.98  # of the longest time left that a client of the route stated; later tries have less


class ReturnTimes:
    """Recognises first tries by the time left that clients state, and computes when clients should return."""

    def __init__(self) -> None:
        self._longest_time_left: dict[str, float] = {}

    def looks_like_first_try(self, route: Route, time_left: float) -> bool:
        """Whether a request with `time_left` seconds looks like a first try; records the longest time."""
        longest = max(time_left, self._longest_time_left.get(route.name, 0.0))
        self._longest_time_left[route.name] = longest
        return time_left >= FIRST_TRY_SHARE * longest

    @staticmethod
    def find_return_time(route: Route, model: Model, oldest_wait: float, time_left: float) -> float | None:
        """Seconds after which the client should return; None if the request should wait here.

        `oldest_wait` is the time for which others have waited for the model, so its load has progressed by
        that much. `time_left` is the time for which the client will wait.
        """
        wait = max(MIN_RETURN_TIME, ORDER_TIME + model.load_s - oldest_wait)
        if wait <= route.target_ms / MILLISECONDS:
            return None
        return wait if wait <= MAX_RETURN_SHARE * time_left else None
