"""The operator's HTTP interface, which reads and changes the configuration; only the primary serves it."""

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

PRIMARY_WAIT_LIMIT = 0.7  # seconds that a call waits until a primary is known
PRIMARY_POLL_INTERVAL = 0.05  # seconds
NO_BASE = -1  # no valid If-Match header was sent
VERSION_TEXT = re.compile(r"[0-9]{1,19}")  # versions are below 2**63
RETRY_AFTER = "0.3"  # seconds
OVERLOAD_RETRY_AFTER = "1"  # seconds, in which about a third of the largest queue of changes is processed


@dataclass(frozen=True, slots=True)
class LocalPrimary:
    """This machine is the primary."""


@dataclass(frozen=True, slots=True)
class RemotePrimary:
    """Another machine, with this address, is the primary."""

    ip: str


@dataclass(frozen=True, slots=True)
class UnknownPrimary:
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
        """Respond with the newest committed configuration, after a quorum has confirmed leadership."""
        error_response = await self._redirect_unless_primary(request)
        if error_response is not None:
            return error_response
        outcome = await self._group.confirm()
        if not isinstance(outcome, Confirmed):
            return unavailable_response("leadership is not confirmed")
        document = read_payload(outcome.snapshot.payload)
        if not document.source:
            return web.json_response({"err": "no configuration yet"}, status=404)
        return web.Response(body=document.source, content_type="application/json")

    async def replace(self, request: web.Request) -> web.Response:
        """Replace the full configuration."""
        return await self._change(request, ChangeMethod.PUT)

    async def patch(self, request: web.Request) -> web.Response:
        """Change the items that the request names."""
        return await self._change(request, ChangeMethod.PATCH)

    async def _change(self, request: web.Request, method: ChangeMethod) -> web.Response:
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return too_large_response("the body is too large")
        error_response = await self._redirect_unless_primary(request)
        if error_response is not None:
            return error_response
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
            return declined_response(outcome.result)
        if isinstance(outcome, Overloaded):
            reason = "too many changes wait; this call changed nothing"
            return unavailable_response(reason, OVERLOAD_RETRY_AFTER)
        return unavailable_response("the change may not have been taken")

    async def _redirect_unless_primary(self, request: web.Request) -> web.Response | None:
        """None if this machine is the primary; otherwise a redirect, or an error if no primary is known."""
        primary = await self._find_primary()
        if isinstance(primary, LocalPrimary):
            return None
        if isinstance(primary, RemotePrimary):
            port = self._settings.listen["ctl"].port
            location = f"http://{primary.ip}:{port}{request.raw_path}"
            return web.Response(status=307, headers={"Location": location})
        return unavailable_response("no primary is known")

    async def _find_primary(self) -> LocalPrimary | RemotePrimary | UnknownPrimary:
        deadline = asyncio.get_running_loop().time() + PRIMARY_WAIT_LIMIT
        while True:
            role = self._group.role()
            if isinstance(role, Primary):
                return LocalPrimary()
            if isinstance(role, Following) and role.in_contact:
                return RemotePrimary(role.primary)
            if asyncio.get_running_loop().time() > deadline:
                return UnknownPrimary()
            await asyncio.sleep(PRIMARY_POLL_INTERVAL)


def read_base(request: web.Request) -> int:
    """The version in If-Match; NO_BASE if the header is missing or no version can have this number."""
    text = request.headers.get("If-Match", "").strip().strip('"')
    return int(text) if VERSION_TEXT.fullmatch(text) else NO_BASE


def unavailable_response(reason: str, retry_after: str = RETRY_AFTER) -> web.Response:
    """A 503 response with the reason; the caller may try again, here or at another machine."""
    return web.json_response({"err": reason}, status=503, headers={"Retry-After": retry_after})


def too_large_response(reason: str, size: int | None = None) -> web.Response:
    """A 413 response: the body or the resulting configuration is larger than a payload may be."""
    content: dict[str, str | int] = {"err": reason, "limit": MAX_PAYLOAD_BYTES}
    if size is not None:
        content["bytes"] = size
    return web.json_response(content, status=413)


def declined_response(result: object) -> web.Response:
    """The response to a change that was declined; a repeated change that was accepted before succeeds."""
    if isinstance(result, AlreadyAccepted):
        return web.json_response({"ver": result.version})
    if isinstance(result, Conflict):
        return web.json_response({"err": "another version is current", "ver": result.current}, status=412)
    if isinstance(result, BaseTooOld):
        return unavailable_response(
            "the change builds on a version that is not remembered; it may have been taken"
        )
    if isinstance(result, InvalidChange):
        faults = [{"key": fault.key, "message": fault.message} for fault in result.faults]
        body = json.dumps({"err": "invalid configuration", "faults": faults})
        return web.Response(status=400, body=body.encode(), content_type="application/json")
    if isinstance(result, PayloadTooLarge):
        return too_large_response("the configuration would be too large", result.size)
    raise AssertionError(f"unexpected decision {result!r}")
