"""HTTP interface for `rookwood control`: status of the control group, history, transfer of leadership."""

from __future__ import annotations

import hashlib

from aiohttp import web

from rookwood.cluster.control_status import (
    HISTORY_PATH,
    STATUS_PATH,
    TRANSFER_PATH,
    ControlRole,
    DispatcherBehind,
    DispatcherOverview,
    HistoryEntry,
    MachineHistory,
    MachineStatus,
    StatePosition,
)
from rookwood.cluster.progress import DispatcherProgress
from rookwood.controlplane.payload import read_payload
from rookwood.coordination.group import (
    Backup,
    ControlGroup,
    Following,
    Learner,
    NoSuccessor,
    NotPrimary,
    Primary,
    Role,
    Snapshot,
    Transferred,
    Unattached,
)

DIGEST_CHARACTERS = 16  # hexadecimal digits of a document's digest that a status shows
DEFAULT_HISTORY = 20  # changes in a response if the request states no limit
SECONDS_DIGITS = 3  # decimal places
LIMIT_PARAMETER = "limit"


class ControlApi:
    """Handlers below /control. They report the state of this machine, which may be behind the primary's."""

    def __init__(self, ip: str, group: ControlGroup, dispatchers: DispatcherProgress) -> None:
        self._ip = ip
        self._group = group
        self._dispatchers = dispatchers

    def add_routes(self, application: web.Application) -> None:
        """Register the handlers."""
        application.router.add_get(STATUS_PATH, self.status)
        application.router.add_get(HISTORY_PATH, self.history)
        application.router.add_post(TRANSFER_PATH, self.transfer)

    async def status(self, request: web.Request) -> web.Response:
        """Report this machine's role and its copy of the replicated state."""
        return web.json_response(self._status().to_json())

    async def history(self, request: web.Request) -> web.Response:
        """Report the newest accepted changes that this machine keeps, at most `limit` of them."""
        text = request.query.get(LIMIT_PARAMETER, str(DEFAULT_HISTORY))
        if not text.isascii() or not text.isdecimal() or not 0 < len(text) < DIGEST_CHARACTERS:
            return web.json_response({"err": "limit is not a number"}, status=400)
        snapshot = self._group.snapshot()
        accepted = read_payload(snapshot.payload).accepted
        newest = accepted[max(0, len(accepted) - int(text)) :]
        changes = tuple(HistoryEntry(change.version, change.digest.hex()) for change in newest)
        return web.json_response(MachineHistory(self._ip, position_of(snapshot), changes).to_json())

    async def transfer(self, request: web.Request) -> web.Response:
        """Transfer leadership to another member, if this machine is the primary."""
        outcome = await self._group.transfer()
        if isinstance(outcome, Transferred):
            return web.json_response({"from": self._ip, "epoch": outcome.epoch})
        if isinstance(outcome, NotPrimary):
            return web.json_response({"err": "not the primary", "primary": outcome.primary}, status=409)
        if isinstance(outcome, NoSuccessor):
            return web.json_response({"err": "no other member is reachable"}, status=409)
        return web.json_response({"err": outcome.reason}, status=503)

    def _status(self) -> MachineStatus:
        group = self._group
        role = group.role()
        snapshot = group.snapshot()
        stored = group.stored_position()
        return MachineStatus(
            machine=self._ip,
            role=role_name(role),
            reason=role.reason if isinstance(role, Unattached) else "",
            primary=self._primary_of(role),
            epoch=0 if isinstance(role, Unattached) else role.epoch,
            fresh=isinstance(role, Primary) or (isinstance(role, Following) and role.is_fresh),
            holds_copy=group.is_member(),
            members=group.members(),
            reachable=tuple(sorted(group.reachable_members())),
            committed=position_of(snapshot),
            stored=StatePosition(stored.epoch, stored.sequence),
            version=read_payload(snapshot.payload).version,
            digest=hashlib.sha256(snapshot.payload).hexdigest()[:DIGEST_CHARACTERS],
            dispatchers=dispatcher_overview(self._dispatchers),
            changes_members=group.is_changing_members(),
        )

    def _primary_of(self, role: Role) -> str:
        if isinstance(role, Primary):
            return self._ip
        return role.primary if isinstance(role, Following) else ""


def dispatcher_overview(dispatchers: DispatcherProgress) -> DispatcherOverview:
    """How many dispatchers report their position, and which one is farthest behind."""
    reporting = sum(1 for _ in dispatchers.lags())
    lag = dispatchers.farthest_behind()
    if lag is None:
        return DispatcherOverview(reporting, None)
    position = StatePosition(lag.position.epoch, lag.position.sequence)
    seconds = round(lag.behind_seconds, SECONDS_DIGITS)
    return DispatcherOverview(reporting, DispatcherBehind(lag.dispatcher, position, seconds))


def role_name(role: Role) -> ControlRole:
    """The name of a role, without its epoch and primary."""
    if isinstance(role, Primary):
        return ControlRole.PRIMARY
    if isinstance(role, Learner):
        return ControlRole.LEARNER
    return ControlRole.BACKUP if isinstance(role, Backup) else ControlRole.UNATTACHED


def position_of(snapshot: Snapshot) -> StatePosition:
    """The position of a committed document."""
    return StatePosition(snapshot.epoch, snapshot.sequence)
