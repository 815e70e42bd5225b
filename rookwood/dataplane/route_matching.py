"""Finds the route of a request in the configuration in force, also after a change of the configuration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from rookwood.clusterconfig.document import Configuration
from rookwood.dataplane import headers as names
from rookwood.dataplane.attempt_limits import MAX_WAIT_SHARE
from rookwood.dataplane.clock import now
from rookwood.dataplane.requests import MILLISECONDS, RoutedRequest, build_request, read_time_left
from rookwood.dataplane.responses import DEFAULT_RETRY_AFTER, ErrorResponse, RequestProgress
from rookwood.dataplane.router import Router
from rookwood.dataplane.splitting import RouteSplitter

STARTUP_PATIENCE = 2.0  # seconds for which a request waits for the first configuration
DEFAULT_TIMEOUT = 10.0  # seconds that a body without a route may take
ROUTE_PATIENCE = 0.4  # seconds for which a request without a route waits for a newer configuration


@dataclass(frozen=True, slots=True)
class RouteMatcher:
    """Routes requests; `_is_up_to_date` says whether this process surely has the newest configuration."""

    _router: Router
    _is_up_to_date: Callable[[], bool]
    _splitter: RouteSplitter = field(default_factory=RouteSplitter)

    def longest_wait(self, request: web.BaseRequest) -> float:
        """Seconds for which the client waits for the response, by what is known before its body is read."""
        route = self._router.match(request.host, request.path)
        limit = DEFAULT_TIMEOUT if route is None else route.timeout_ms / MILLISECONDS
        stated = read_time_left(request.headers.get(names.TIME_LEFT))
        return limit if stated is None else min(limit, stated)

    async def match(
        self, request: web.BaseRequest, body: bytes | bytearray, arrived: float
    ) -> RoutedRequest | ErrorResponse:
        """Route a request by the configuration in force.

        A dispatcher answers 404 only if it is up to date. Otherwise it waits for a newer configuration for a
        while, and then rejects the request.
        """
        wait_deadline = now() + ROUTE_PATIENCE
        while (route := self._router.match(request.host, request.path)) is None:
            if self._is_up_to_date():
                return ErrorResponse(404, "no route")
            if not await self._router.wait_change(wait_deadline) and not self._is_up_to_date():
                return ErrorResponse(503, "no route, by a configuration that may be old", DEFAULT_RETRY_AFTER)
        if not request.headers.get(names.REQUEST_ID):
            return ErrorResponse(400, f"{names.REQUEST_ID} is missing")
        return build_request(request, route, body, self._splitter.choose(route), arrived)

    def is_rerouted(self, client: web.BaseRequest, request: RoutedRequest, progress: RequestProgress) -> bool:
        """Whether a request that was never sent to a worker now has another route.

        Routes are compared by identity: a change keeps the objects of the routes that it does not touch.
        """
        if progress.attempts_sent or progress.may_have_run or progress.response is not None:
            return False
        return self._router.match(client.host, client.path) is not request.route

    async def await_configuration(self, request: web.BaseRequest, arrived: float) -> Configuration | None:
        """The configuration in force; waits for a while for the first one, and returns None after that."""
        time_left = read_time_left(request.headers.get(names.TIME_LEFT)) or 0.0
        wait_deadline = arrived + min(STARTUP_PATIENCE, MAX_WAIT_SHARE * time_left)
        while self._router.configuration is None:
            if not await self._router.wait_change(wait_deadline):
                return None
        return self._router.configuration
