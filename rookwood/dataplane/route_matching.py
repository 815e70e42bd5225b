"""Finds the route of a request by the configuration in force, and tells when another one takes its place."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from rookwood.clusterconfig.document import Configuration
from rookwood.dataplane import headers as names
from rookwood.dataplane.attempt_limits import WAIT_SHARE
from rookwood.dataplane.clock import now
from rookwood.dataplane.requests import RoutedRequest, build_request, read_time_left
from rookwood.dataplane.responses import RETRY_SOON, Refusal, RequestProgress
from rookwood.dataplane.router import Router
from rookwood.dataplane.splitting import RouteSplitter

STARTUP_PATIENCE = 2.0  # seconds for which a request waits for the first configuration
ROUTE_PATIENCE = 0.4  # seconds for which a request without a route waits for a newer configuration


@dataclass(frozen=True, slots=True)
class RouteMatcher:
    """Routes requests; `_is_level` tells whether this process knows to have the newest configuration."""

    _router: Router
    _is_level: Callable[[], bool]
    _splitter: RouteSplitter = field(default_factory=RouteSplitter)

    async def match(self, request: web.BaseRequest, body: bytes, arrived: float) -> RoutedRequest | Refusal:
        """Route a request by the configuration in force.

        That there is no route is certain only where this process knows to have the newest configuration.
        One that is behind waits for it a little.
        """
        until = now() + ROUTE_PATIENCE
        while (route := self._router.match(request.host, request.path)) is None:
            if self._is_level():
                return Refusal(404, "no route")
            if not await self._router.wait_change(until) and not self._is_level():
                return Refusal(503, "no route, by a configuration that may be old", RETRY_SOON)
        if not request.headers.get(names.REQUEST_ID):
            return Refusal(400, f"{names.REQUEST_ID} is missing")
        return build_request(request, route, body, self._splitter.choose(route), arrived)

    def is_rerouted(self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress) -> bool:
        """Whether a request that was never sent would be routed otherwise now.

        Routes that a change leaves alone stay the same objects.
        """
        if progress.sends or progress.may_have_run or progress.response is not None:
            return False
        return self._router.match(client.host, client.path) is not request.route

    async def await_configuration(self, request: web.BaseRequest, arrived: float) -> Configuration | None:
        """The configuration; a process that just started waits for it a little."""
        left = read_time_left(request.headers.get(names.TIME_LEFT)) or 0.0
        until = arrived + min(STARTUP_PATIENCE, WAIT_SHARE * left)
        while self._router.configuration is None:
            if not await self._router.wait_change(until):
                return None
        return self._router.configuration
