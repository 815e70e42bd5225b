"""Serves the figures of a process as text over HTTP. A fault here never stops the process."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Iterable

from aiohttp import web

from rookwood.metrics.exposition import FamilySource, loop_families, process_families, render
from rookwood.metrics.loop_lag import LoopLag

logger = logging.getLogger("rookwood")

METRICS_PORT = 9464  # named in deploy/system.toml too; outside the ranges that deployments use
METRICS_PATH = "/metrics"
TEXT_HEADERS = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
SHUTDOWN_LIMIT = 0.1


class MetricsServer:
    """Listens at one address and answers with the figures of these sources, and with the loop's lag."""

    def __init__(self, ip: str, sources: Iterable[FamilySource], port: int = METRICS_PORT) -> None:
        self._ip = ip
        self._port = port
        self._lag = LoopLag()
        self._sources: tuple[FamilySource, ...] = (
            *sources,
            lambda: loop_families(self._lag),
            process_families,
        )
        self._runner: web.ServerRunner | None = None
        self._measuring: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; where that fails, the process goes on without."""
        self._measuring = asyncio.create_task(self._lag.run())
        server = web.Server(self._answer, access_log=None)
        self._runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=SHUTDOWN_LIMIT)
        try:
            await self._runner.setup()
            await web.TCPSite(self._runner, self._ip, self._port).start()
        except OSError as error:
            logger.warning("figures are not served", extra={"reason": str(error)})

    async def stop(self) -> None:
        """Stop listening and measuring."""
        if self._measuring is not None:
            self._measuring.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._measuring
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        try:
            return web.Response(body=render(self._sources), headers=TEXT_HEADERS)
        except Exception:
            logger.exception("figures could not be told")
            return web.Response(status=500)
