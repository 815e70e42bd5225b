"""Relays the feeds of the other control machines to the dispatchers that this one feeds."""

from __future__ import annotations

import asyncio

from rookwood.cluster.connection import Connection
from rookwood.cluster.messages import Message, PresenceAck, Status, WorkerGone, WorkerUpdates, WorkNotices
from rookwood.cluster.view import ClusterView
from rookwood.cluster.workers import WorkerState
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
    ) -> None:
        self._view = view
        self._publish = publish
        self._tenure = tenure
        self._relay_notices = relay_notices
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
        deregistered = self._newly_deregistered(message)
        self._view.message_received(peer, message, asyncio.get_running_loop().time())
        if isinstance(message, WorkerUpdates):
            self._publish(message, Audience.DISPATCHERS)
        for worker in deregistered:
            self._publish(WorkerGone(worker, deleted=True), Audience.ALL)
        self._acknowledge(peer, message)

    def _newly_deregistered(self, message: WorkerUpdates | WorkerGone) -> list[str]:
        """The workers whose deregistration was not known here before.

        It is relayed to the other control machines as well. The one at which the worker deregistered may not
        reach all of them, and each feeds dispatchers that must know of it within `drain-ms`.
        """
        if isinstance(message, WorkerUpdates):
            named = message.ended
        else:
            named = (message.worker,) if message.deleted else ()
        return [worker for worker in named if not self._view.registry.was_deleted(worker)]

    def _acknowledge(self, peer: str, message: Message) -> None:
        """Acknowledge drains and deregistrations to the sender, once they have been relayed."""
        connection = self._connections.get(peer)
        if connection is None:
            return
        if isinstance(message, WorkerGone) and message.deleted:
            connection.send(PresenceAck(message.worker, deleted=True))
        elif isinstance(message, WorkerUpdates):
            for record in message.records:
                if record.state is WorkerState.DRAINING:
                    connection.send(PresenceAck(record.id, deleted=False))
