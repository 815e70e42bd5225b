"""The workers' interface: heartbeats and farewells."""

from __future__ import annotations

import asyncio
import json
import logging

from aiohttp import web

from rookwood.cluster.workers import MalformedHeartbeatError, WorkerState, parse_heartbeat
from rookwood.controlplane.worker_table import WorkerTable
from rookwood.coordination.group import Backup, ControlGroup, Primary

logger = logging.getLogger("rookwood")


class WorkerApi:
    """Handlers of PUT and DELETE /workers/ID."""

    def __init__(self, group: ControlGroup, table: WorkerTable) -> None:
        self._group = group
        self._table = table

    def add_routes(self, application: web.Application) -> None:
        """Register the handlers."""
        application.router.add_put("/workers/{id}", self.heartbeat)
        application.router.add_delete("/workers/{id}", self.farewell)

    async def heartbeat(self, request: web.Request) -> web.Response:
        """Take in a heartbeat. A machine that lost its primary sends the worker elsewhere."""
        try:
            document = json.loads(await request.read())
            record = parse_heartbeat(request.match_info["id"], document)
        except (ValueError, MalformedHeartbeatError) as error:
            return web.json_response({"err": str(error)}, status=400)
        self._table.heartbeat(record, asyncio.get_running_loop().time())
        if self._cut_off():
            return web.json_response({"err": "no primary is known"}, status=503)
        if record.state is WorkerState.DRAINING:
            logger.info("worker drains", extra={"worker": record.id})
        return web.json_response({})

    async def farewell(self, request: web.Request) -> web.Response:
        """A worker ended."""
        self._table.delete(request.match_info["id"], asyncio.get_running_loop().time())
        if self._cut_off():
            return web.json_response({"err": "no primary is known"}, status=503)
        return web.json_response({})

    def _cut_off(self) -> bool:
        """Whether this machine may be cut off: what it hears then may not reach all dispatchers."""
        role = self._group.role()
        if isinstance(role, Backup):
            return not role.fresh
        return not isinstance(role, Primary)
