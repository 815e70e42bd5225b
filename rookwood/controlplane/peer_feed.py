"""Relays the feeds of the other control machines to the dispatchers that this one feeds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rookwood.cluster.connection import Connection
from rookwood.cluster.messages import (
    RELEASE_WITH_STORED_PRESENCE,
    Message,
    PresenceAck,
    Status,
    WorkerGone,
    WorkerUpdates,
    WorkNotices,
)
from rookwood.cluster.view import ClusterView
from rookwood.cluster.workers import PresenceChange, WorkerState
from rookwood.controlplane.notice_relay import SendNotices
from rookwood.controlplane.tenure import Tenure
from rookwood.controlplane.worker_table import Audience, Publish


class PeerFeed:
    """Handles the links over which this machine subscribes to the other control machines."""

    def __init__(
        self,
        view: ClusterView,
        publish: Publish,
        tenure: Tenure,
        relay_notices: SendNotices = lambda notices: None,
        store_change: StoreChange = lambda change, peer: None,
    ) -> None:
        self._view = view
        self._publish = publish
        self._tenure = tenure
        self._relay_notices = relay_notices
        self._store_change = store_change
        self._connections: dict[str, Connection] = {}

    def link_opened(self, peer: str, connection: Connection) -> None:
        """Record that a subscription opened."""
        self._connections[peer] = connection
        self._view.link_opened(peer)
        self._tenure.link_opened(peer)

    def link_closed(self, peer: str) -> None:
        """Record that a subscription ended."""
        self._connections.pop(peer, None)
        now = asyncio.get_running_loop().time()
        self._view.link_closed(peer, now)
        self._tenure.link_closed(peer, now)

    def message_received(self, peer: str, message: Message) -> None:
        """Handle a message of another control machine, and relay it."""
        if isinstance(message, WorkNotices):
            self._relay_notices(message)
        if not isinstance(message, Status | WorkerUpdates | WorkerGone):
            return
        if isinstance(message, Status):
            self._view.message_received(peer, message, asyncio.get_running_loop().time())
            return
        news = self._new_changes(message)
        self._view.message_received(peer, message, asyncio.get_running_loop().time())
        draining = tuple(change.worker for change in news if not change.deleted)
        if isinstance(message, WorkerUpdates):
            update = WorkerUpdates(message.records, message.complete, draining=draining)
            self._publish(update, Audience.DISPATCHERS)
        self._relay_changes(news, draining)
        self._store_changes(peer, dict.fromkeys([*announced_changes(message), *news]))

    def acknowledge_stored(self, peer: str, change: PresenceChange) -> None:
        """Acknowledge to another control machine that a change which it sent is synced here."""
        self._acknowledge(peer, change, stored=True)

    def _new_changes(self, message: WorkerUpdates | WorkerGone) -> list[PresenceChange]:
        """The drains and deregistrations in a message that were not known here before."""
        registry = self._view.registry
        changes = announced_changes(message)
        if isinstance(message, WorkerUpdates):
            changes += [PresenceChange(worker, deleted=True) for worker in message.ended]
            changes += [PresenceChange(worker, deleted=False) for worker in message.draining]
        return [
            change
            for change in dict.fromkeys(changes)
            if not (registry.was_deleted if change.deleted else registry.has_left)(change.worker)
        ]

    def _relay_changes(self, news: list[PresenceChange], draining: tuple[str, ...]) -> None:
        """Relay new changes to the other control machines as well.

        The machine that the worker called may not reach all of them, and each feeds dispatchers that must
        know of the change within `drain-ms`. A drain is relayed without its record, since only the machine
        that the worker calls reports it.
        """
        if draining:
            self._publish(WorkerUpdates((), complete=False, draining=draining), Audience.CONTROL_MACHINES)
        for change in news:
            if change.deleted:
                self._publish(WorkerGone(change.worker, deleted=True), Audience.ALL)

    def _store_changes(self, peer: str, changes: Iterable[PresenceChange]) -> None:
        """Store the changes, which are acknowledged once they are synced.

        An earlier release counts acknowledgements from memory, as it gives them itself.
        """
        has_earlier_release = self._view.release(peer) < RELEASE_WITH_STORED_PRESENCE
        for change in changes:
            if has_earlier_release:
                self._acknowledge(peer, change, stored=False)
            self._store_change(change, peer)

    def _acknowledge(self, peer: str, change: PresenceChange, stored: bool) -> None:
        connection = self._connections.get(peer)
        if connection is not None:
            connection.send(PresenceAck(change.worker, change.deleted, stored))


def announced_changes(message: WorkerUpdates | WorkerGone) -> list[PresenceChange]:
    """The changes that a machine announces because a worker called it, and for which it may await copies."""
    if isinstance(message, WorkerGone):
        return [PresenceChange(message.worker, deleted=True)] if message.deleted else []
    drained = [record.id for record in message.records if record.state is WorkerState.DRAINING]
    return [PresenceChange(worker, deleted=False) for worker in drained]


StoreChange = Callable[[PresenceChange, str], None]
"""Stores a change for the control machine that sent it."""
