"""The operator's interface: read and change the configuration. Definitive answers come from the primary."""

from __future__ import annotations

import asyncio
import json
import logging
import re
from dataclasses import dataclass

from aiohttp import web

from rookwood.cluster.settings import NodeSettings
from rookwood.clusterconfig.history import (
    Accepted,
    AlreadyAccepted,
    BaseTooOld,
    Change,
    ChangeMethod,
    Conflict,
    InvalidChange,
    decide,
)
from rookwood.controlplane.payload import read_payload
from rookwood.coordination.document import MAX_PAYLOAD_BYTES
from rookwood.coordination.group import (
    Committed,
    Confirmed,
    ControlGroup,
    Declined,
    Following,
    Overloaded,
    PayloadTooLarge,
    Primary,
)

logger = logging.getLogger("rookwood")

ATTACH_PATIENCE = 0.7  # seconds for which a call waits for a primary to be known
ATTACH_POLL = 0.05
NO_BASE = -1
VERSION_TEXT = re.compile(r"[0-9]{1,19}")  # versions are below 2**63
RETRY_AFTER = "0.3"
OVERLOAD_RETRY_AFTER = "1"  # seconds; about a third of the changes that may wait are made by then


@dataclass(frozen=True, slots=True)
class Here:
    """This machine is the primary."""


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Another machine is the primary."""

    ip: str


@dataclass(frozen=True, slots=True)
class Nowhere:
    """No primary is known."""


class OperatorApi:
    """Handlers of GET, PUT and PATCH /config."""

    def __init__(self, settings: NodeSettings, group: ControlGroup) -> None:
        self._settings = settings
        self._group = group

    def add_routes(self, application: web.Application) -> None:
        """Register the handlers."""
        application.router.add_get("/config", self.read)
        application.router.add_put("/config", self.replace)
        application.router.add_patch("/config", self.patch)

    async def read(self, request: web.Request) -> web.Response:
        """The newest committed configuration, after leadership was confirmed."""
        refusal = await self._refer(request)
        if refusal is not None:
            return refusal
        outcome = await self._group.confirm()
        if not isinstance(outcome, Confirmed):
            return unavailable("leadership is not confirmed")
        document = read_payload(outcome.snapshot.payload)
        if not document.source:
            return web.json_response({"err": "no configuration yet"}, status=404)
        return web.Response(body=document.source, content_type="application/json")

    async def replace(self, request: web.Request) -> web.Response:
        """A whole configuration."""
        return await self._change(request, ChangeMethod.PUT)

    async def patch(self, request: web.Request) -> web.Response:
        """Changes to named items."""
        return await self._change(request, ChangeMethod.PATCH)

    async def _change(self, request: web.Request, method: ChangeMethod) -> web.Response:
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return too_large("the body is too large")
        refusal = await self._refer(request)
        if refusal is not None:
            return refusal
        change = Change(method, read_base(request), body)

        def apply(payload: bytes) -> bytes | Declined:
            decision = decide(read_payload(payload), change)
            if isinstance(decision, Accepted):
                return decision.document.encode()
            return Declined(decision)

        outcome = await self._group.propose(apply, size=len(body))
        if isinstance(outcome, Committed):
            version = read_payload(outcome.snapshot.payload).version
            logger.info("configuration taken", extra={"version": version})
            return web.json_response({"ver": version})
        if isinstance(outcome, Declined):
            return answer_declined(outcome.result)
        if isinstance(outcome, Overloaded):
            reason = "too many changes wait; this call changed nothing"
            return unavailable(reason, OVERLOAD_RETRY_AFTER)
        return unavailable("the change may not have been taken")

    async def _refer(self, request: web.Request) -> web.Response | None:
        """Where the primary is elsewhere or unknown, the answer that says so."""
        place = await self._find_primary()
        if isinstance(place, Here):
            return None
        if isinstance(place, Elsewhere):
            port = self._settings.listen["ctl"].port
            location = f"http://{place.ip}:{port}{request.raw_path}"
            return web.Response(status=307, headers={"Location": location})
        return unavailable("no primary is known")

    async def _find_primary(self) -> Here | Elsewhere | Nowhere:
        deadline = asyncio.get_running_loop().time() + ATTACH_PATIENCE
        while True:
            role = self._group.role()
            if isinstance(role, Primary):
                return Here()
            if isinstance(role, Following) and role.in_contact:
                return Elsewhere(role.primary)
            if asyncio.get_running_loop().time() > deadline:
                return Nowhere()
            await asyncio.sleep(ATTACH_POLL)


def read_base(request: web.Request) -> int:
    """The version in If-Match; NO_BASE if it is missing or not a number that a version can have."""
    text = request.headers.get("If-Match", "").strip().strip('"')
    return int(text) if VERSION_TEXT.fullmatch(text) else NO_BASE


def unavailable(reason: str, retry_after: str = RETRY_AFTER) -> web.Response:
    """Nothing to tell but the reason: the caller tries again, or elsewhere."""
    return web.json_response({"err": reason}, status=503, headers={"Retry-After": retry_after})


def too_large(reason: str, size: int | None = None) -> web.Response:
    """The answer for a change that is above the one limit of a configuration's size."""
    content: dict[str, str | int] = {"err": reason, "limit": MAX_PAYLOAD_BYTES}
    if size is not None:
        content["bytes"] = size
    return web.json_response(content, status=413)


def answer_declined(answer: object) -> web.Response:
    """The answer for a change that was not made."""
    if isinstance(answer, AlreadyAccepted):
        return web.json_response({"ver": answer.version})
    if isinstance(answer, Conflict):
        return web.json_response({"err": "another version is current", "ver": answer.current}, status=412)
    if isinstance(answer, BaseTooOld):
        return unavailable("the change builds on a version that is not remembered; it may have been taken")
    if isinstance(answer, InvalidChange):
        faults = [{"key": fault.key, "message": fault.message} for fault in answer.faults]
        body = json.dumps({"err": "invalid configuration", "faults": faults})
        return web.Response(status=400, body=body.encode(), content_type="application/json")
    if isinstance(answer, PayloadTooLarge):
        return too_large("the configuration would be too large", answer.size)
    raise AssertionError(f"unexpected decision {answer!r}")
