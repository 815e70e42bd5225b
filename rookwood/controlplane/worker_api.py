"""The workers' HTTP interface: heartbeats and deregistration."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from aiohttp import web

from rookwood.cluster.workers import (
    InvalidWorkerIdError,
    MalformedHeartbeatError,
    PresenceChange,
    WorkerState,
    check_worker_id,
    parse_heartbeat,
)
from rookwood.controlplane.presence_quorum import PresenceQuorum
from rookwood.controlplane.worker_table import WorkerTable
from rookwood.coordination.group import Backup, ControlGroup, Primary

logger = logging.getLogger("rookwood")


class WorkerApi:
    """Handlers of PUT and DELETE /workers/ID."""

    def __init__(
        self,
        group: ControlGroup,
        table: WorkerTable,
        presence: PresenceQuorum,
        store_change: Callable[[PresenceChange], None],
    ) -> None:
        """`store_change`: stores a change here; the quorum is told once it is synced."""
        self._group = group
        self._table = table
        self._presence = presence
        self._store_change = store_change

    def add_routes(self, application: web.Application) -> None:
        """Register the handlers."""
        application.router.add_put("/workers/{id}", self.heartbeat)
        application.router.add_delete("/workers/{id}", self.deregister)

    async def heartbeat(self, request: web.Request) -> web.Response:
        """Record a heartbeat. If this machine may be cut off, it responds with 503; the worker calls another.

        A drain is acknowledged once a quorum of control machines has stored it.
        """
        try:
            check_worker_id(request.match_info["id"])
            document = json.loads(await request.read())
            record = parse_heartbeat(request.match_info["id"], document)
        except (ValueError, InvalidWorkerIdError, MalformedHeartbeatError) as error:
            return web.json_response({"err": str(error)}, status=400)
        published = self._table.record_heartbeat(record, asyncio.get_running_loop().time())
        if self._may_be_cut_off():
            return web.json_response({"err": "no primary is known"}, status=503)
        if record.state is WorkerState.DRAINING:
            if not await self._confirm_by_quorum(record.id, published):
                return web.json_response({"err": "no quorum has stored it"}, status=503)
            logger.info("worker drains", extra={"worker": record.id})
        return web.json_response({})

    async def deregister(self, request: web.Request) -> web.Response:
        """Deregister a worker that ends; acknowledged once a quorum of control machines has stored it."""
        worker = request.match_info["id"]
        try:
            check_worker_id(worker)
        except InvalidWorkerIdError as error:
            return web.json_response({"err": str(error)}, status=400)
        published = self._table.deregister(worker, asyncio.get_running_loop().time())
        if self._may_be_cut_off():
            return web.json_response({"err": "no primary is known"}, status=503)
        if not await self._confirm_by_quorum(worker, published):
            return web.json_response({"err": "no quorum has stored it"}, status=503)
        return web.json_response({})

    async def _confirm_by_quorum(self, worker: str, published: bool) -> bool:
        """Wait until a quorum has stored that a worker drains or deregistered; False if that takes too long.

        The change is published again unless the caller has just `published` it.
        """
        change = PresenceChange(worker, self._table.was_deleted(worker))
        if self._presence.is_confirmed(change):
            return True
        if not published:
            self._table.republish(worker)
        self._store_change(change)
        return await self._presence.confirm(change)

    def _may_be_cut_off(self) -> bool:
        """Whether updates of this machine may not reach all others, as it may be cut off or is no member.

        Members subscribe only to members: the primary would not know a worker that calls only a learner.
        """
        role = self._group.role()
        if isinstance(role, Backup):
            return not role.in_contact
        return not isinstance(role, Primary)
