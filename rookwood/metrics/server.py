"""Serves the metrics of a process as text over HTTP. A fault here never stops the process.

The modules that build the text, and with them the metrics library, are imported at the first scrape: a
program that is started again after a kill serves sooner without them.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from aiohttp import web

from rookwood.httpserver.admission import Admission
from rookwood.httpserver.limits import OBSERVER_SOCKETS, ListenerLimits
from rookwood.httpserver.server import BoundedServer
from rookwood.memory_budget import DEFAULT_MEMORY_MEGABYTES, MemoryBudget
from rookwood.metrics.loop_lag import LoopLag

if TYPE_CHECKING:
    from rookwood.metrics.exposition import FamilySource

logger = logging.getLogger("rookwood")

METRICS_PORT = 9464  # also named in deploy/system.toml; outside the port ranges that deployments use
METRICS_PATH = "/metrics"
TEXT_HEADERS = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
SHUTDOWN_TIMEOUT = 0.1  # seconds that open scrapes get to finish when the server stops

LoadSources = Callable[[], "Iterable[FamilySource]"]


class MetricsServer:
    """Listens at one address and serves the metrics of the sources, the event loop and the process.

    `load_sources` is called once, at the first scrape.
    """

    def __init__(
        self,
        ip: str,
        load_sources: LoadSources,
        port: int = METRICS_PORT,
        lag: LoopLag | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._budget = budget or MemoryBudget.for_memory(DEFAULT_MEMORY_MEGABYTES)
        self._ip = ip
        self._port = port
        self._lag = lag or LoopLag()
        self._load_sources = load_sources
        self._sources: tuple[FamilySource, ...] = ()
        self._server: BoundedServer | None = None
        self._measuring: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen; if that fails, the process runs without serving metrics."""
        self._measuring = asyncio.create_task(self._lag.run())
        runner = web.ServerRunner(
            web.Server(self._respond), handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT
        )
        self._server = BoundedServer(runner, Admission(ListenerLimits(OBSERVER_SOCKETS), self._budget))
        try:
            await self._server.start(self._ip, self._port)
        except OSError as error:
            logger.warning("metrics are not served", extra={"reason": str(error)})

    async def stop(self) -> None:
        """Stop listening and measuring."""
        if self._measuring is not None:
            self._measuring.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._measuring
        if self._server is not None:
            await self._server.stop()

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        try:
            return web.Response(body=self._render(), headers=TEXT_HEADERS)
        except Exception:
            logger.exception("metrics could not be rendered")
            return web.Response(status=500)

    def _render(self) -> bytes:
        from rookwood.metrics.exposition import loop_families, process_families, render

        if not self._sources:
            own_sources = (lambda: loop_families(self._lag), process_families)
            self._sources = (*self._load_sources(), *own_sources)
        return render(self._sources)
