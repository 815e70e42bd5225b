"""Distributes the requests of split routes over their services by weight, evenly even in a short time."""

from __future__ import annotations

from random import Random

from cachetools import LRUCache

from rookwood.clusterconfig.document import Route

GOLDEN_STEP = (5**0.5 - 1) / 2  # its multiples modulo 1 fill the unit interval more evenly than random draws
MAX_ROUTES = 4096  # routes whose last point is remembered


def service_at(route: Route, point: float) -> str:
    """The service of a split route at a point in [0, 1).

    The services divide the interval into parts that are proportional to their weights.
    """
    total = sum(share.weight for share in route.shares)
    remaining = point * total
    for share in route.shares:
        if share.weight <= 0:
            continue
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return max(route.shares, key=lambda share: share.weight).service


class RouteSplitter:
    """Chooses the service of each request of a split route.

    Each route has its own low-discrepancy sequence of points. The sequence begins at a random point, so that
    several dispatchers, or one after each restart, do not all begin with the same service. It continues when
    the weights change.
    """

    def __init__(self, random: Random | None = None) -> None:
        self._random = random or Random()
        self._points: LRUCache[str, float] = LRUCache(MAX_ROUTES)

    def choose(self, route: Route) -> str:
        """The service for the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        previous = self._points.get(route.name)
        point = self._random.random() if previous is None else (previous + GOLDEN_STEP) % 1.0
        self._points[route.name] = point
        return service_at(route, point)
