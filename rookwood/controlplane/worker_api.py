"""The workers' interface: heartbeats and farewells."""

from __future__ import annotations

import asyncio
import json
import logging

from aiohttp import web

from rookwood.cluster.messages import PresenceAck
from rookwood.cluster.workers import MalformedHeartbeatError, WorkerState, parse_heartbeat
from rookwood.controlplane.presence_quorum import PresenceQuorum
from rookwood.controlplane.worker_table import WorkerTable
from rookwood.coordination.group import Backup, ControlGroup, Primary

logger = logging.getLogger("rookwood")


class WorkerApi:
    """Handlers of PUT and DELETE /workers/ID."""

    def __init__(self, group: ControlGroup, table: WorkerTable, presence: PresenceQuorum) -> None:
        self._group = group
        self._table = table
        self._presence = presence

    def add_routes(self, application: web.Application) -> None:
        """Register the handlers."""
        application.router.add_put("/workers/{id}", self.heartbeat)
        application.router.add_delete("/workers/{id}", self.farewell)

    async def heartbeat(self, request: web.Request) -> web.Response:
        """Take in a heartbeat. A machine that lost its primary sends the worker elsewhere.

        That a worker drains is acknowledged once a majority of control machines has taken it.
        """
        try:
            document = json.loads(await request.read())
            record = parse_heartbeat(request.match_info["id"], document)
        except (ValueError, MalformedHeartbeatError) as error:
            return web.json_response({"err": str(error)}, status=400)
        told = self._table.heartbeat(record, asyncio.get_running_loop().time())
        if self._cut_off():
            return web.json_response({"err": "no primary is known"}, status=503)
        if record.state is WorkerState.DRAINING:
            if not await self._is_taken(record.id, told):
                return web.json_response({"err": "no majority has taken it"}, status=503)
            logger.info("worker drains", extra={"worker": record.id})
        return web.json_response({})

    async def farewell(self, request: web.Request) -> web.Response:
        """A worker ended, or is about to; acknowledged once a majority of control machines has taken it."""
        worker = request.match_info["id"]
        told = self._table.delete(worker, asyncio.get_running_loop().time())
        if self._cut_off():
            return web.json_response({"err": "no primary is known"}, status=503)
        if not await self._is_taken(worker, told):
            return web.json_response({"err": "no majority has taken it"}, status=503)
        return web.json_response({})

    async def _is_taken(self, worker: str, told: bool) -> bool:
        """Whether a majority has taken that a worker drains or ended; who was not just told of it is now."""
        news = PresenceAck(worker, self._table.was_deleted(worker))
        if self._presence.is_confirmed(news):
            return True
        if not told:
            self._table.announce(worker)
        return await self._presence.confirm(news)

    def _cut_off(self) -> bool:
        """Whether what this machine hears may not reach all others: it may be cut off, or is no member.

        Members subscribe to members. A worker that calls a learner alone would be unknown to the primary.
        """
        role = self._group.role()
        if isinstance(role, Backup):
            return not role.in_contact
        return not isinstance(role, Primary)
