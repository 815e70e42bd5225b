"""Finding the route of a request by host and longest path prefix."""

from __future__ import annotations

from rookwood.clusterconfig.document import Configuration, Route


class RouteIndex:
    """An immutable index over the routes of one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes of `configuration`."""
        self._hosts: dict[str, _HostRoutes] = {}
        for route in configuration.routes:
            host_routes = self._hosts.setdefault(normalize_host(route.host), _HostRoutes())
            host_routes.add(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a `Host` header and a request target, or None if there is none."""
        host_routes = self._hosts.get(normalize_host(host))
        if host_routes is None:
            return None
        return host_routes.longest_match(path.partition("?")[0])


class _HostRoutes:
    """The routes of one host, looked up by each distinct prefix length, longest first."""

    __slots__ = ("_lengths", "_routes")

    def __init__(self) -> None:
        self._lengths: list[int] = []
        self._routes: dict[str, Route] = {}

    def add(self, route: Route) -> None:
        self._routes[route.prefix] = route
        if len(route.prefix) not in self._lengths:
            self._lengths.append(len(route.prefix))
            self._lengths.sort(reverse=True)

    def longest_match(self, path: str) -> Route | None:
        for length in self._lengths:
            route = self._routes.get(path[:length])
            if route is not None:
                return route
        return None


def normalize_host(host: str) -> str:
    """Return a `Host` header value in lower case and without its port."""
    name = host.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0]
