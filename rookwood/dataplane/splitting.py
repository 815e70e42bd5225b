"""Spreads the requests of split routes over their services, evenly also within a short span."""

from __future__ import annotations

from random import Random

from cachetools import LRUCache

from rookwood.clusterconfig.document import Route

GOLDEN_STEP = (5**0.5 - 1) / 2  # multiples of it fill the unit interval more evenly than draws do
ROUTES_REMEMBERED = 4096


def service_at(route: Route, point: float) -> str:
    """The service of a split route at a point in [0, 1): each has a part as long as its weight."""
    total = sum(share.weight for share in route.shares)
    left = point * total
    for share in route.shares:
        if share.weight <= 0:
            continue
        left -= share.weight
        if left < 0:
            return share.service
    return max(route.shares, key=lambda share: share.weight).service


class RouteSplitter:
    """Chooses the service of each request of a split route.

    Each route has a sequence of points of its own. It begins at a random one, so that dispatchers, and the
    lives of one, don't begin with the same service, and goes on when the weights change.
    """

    def __init__(self, random: Random | None = None) -> None:
        self._random = random or Random()
        self._points: LRUCache[str, float] = LRUCache(ROUTES_REMEMBERED)

    def choose(self, route: Route) -> str:
        """The service of the next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        before = self._points.get(route.name)
        point = self._random.random() if before is None else (before + GOLDEN_STEP) % 1.0
        self._points[route.name] = point
        return service_at(route, point)
