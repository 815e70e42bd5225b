"""Finds the route of a request by host and longest path prefix."""

from __future__ import annotations

from collections import Counter

from rookwood.clusterconfig.document import Configuration, Route


class RouteIndex:
    """An index of routes by host and prefix, updated one route at a time."""

    def __init__(self, configuration: Configuration | None = None) -> None:
        """Index the routes of `configuration`."""
        self._hosts: dict[str, _HostRoutes] = {}
        for route in configuration.routes if configuration else ():
            self.add(route)

    def add(self, route: Route) -> None:
        """Add a route; it replaces a route with the same host and prefix."""
        self._hosts.setdefault(normalize_host(route.host), _HostRoutes()).add(route)

    def remove(self, route: Route) -> None:
        """Remove a route, unless another one has replaced it."""
        host = normalize_host(route.host)
        host_routes = self._hosts.get(host)
        if host_routes is None:
            return
        host_routes.remove(route)
        if not host_routes.routes:
            del self._hosts[host]

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a `Host` header and a request target, or None if there is none."""
        host_routes = self._hosts.get(normalize_host(host))
        if host_routes is None:
            return None
        return host_routes.longest_match(path.partition("?")[0])


class _HostRoutes:
    """The routes of one host, looked up by each distinct prefix length, longest first.

    `_counts` is the number of routes by prefix length, `_lengths` its keys in descending order.
    """

    __slots__ = ("_counts", "_lengths", "routes")

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()
        self._lengths: list[int] = []
        self.routes: dict[str, Route] = {}

    def add(self, route: Route) -> None:
        if route.prefix not in self.routes:
            self._counts[len(route.prefix)] += 1
            if self._counts[len(route.prefix)] == 1:
                self._sort_lengths()
        self.routes[route.prefix] = route

    def remove(self, route: Route) -> None:
        if self.routes.get(route.prefix) is not route:
            return
        del self.routes[route.prefix]
        self._counts[len(route.prefix)] -= 1
        if not self._counts[len(route.prefix)]:
            del self._counts[len(route.prefix)]
            self._sort_lengths()

    def longest_match(self, path: str) -> Route | None:
        for length in self._lengths:
            route = self.routes.get(path[:length])
            if route is not None:
                return route
        return None

    def _sort_lengths(self) -> None:
        self._lengths = sorted(self._counts, reverse=True)


def normalize_host(host: str) -> str:
    """Return a `Host` header value in lower case and without its port."""
    name = host.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0]
