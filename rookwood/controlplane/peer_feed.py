"""Subscriptions to the other control machines: what they tell is passed on to the dispatchers here."""

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
    """Takes in the feeds of the other control machines."""

    def __init__(
        self,
        view: ClusterView,
        publish: Publish,
        tenure: Tenure,
        take_notices: SendNotices = lambda notices: None,
    ) -> None:
        self._view = view
        self._publish = publish
        self._tenure = tenure
        self._take_notices = take_notices
        self._connections: dict[str, Connection] = {}

    def link_opened(self, peer: str, connection: Connection) -> None:
        """A subscription is open."""
        self._connections[peer] = connection
        self._view.link_opened(peer)
        self._tenure.link_opened(peer)

    def link_closed(self, peer: str) -> None:
        """A subscription ended."""
        self._connections.pop(peer, None)
        now = asyncio.get_running_loop().time()
        self._view.link_closed(peer, now)
        self._tenure.link_closed(peer, now)

    def message_received(self, peer: str, message: Message) -> None:
        """A message of another control machine."""
        if isinstance(message, WorkNotices):
            self._take_notices(message)
        if not isinstance(message, Status | WorkerUpdates | WorkerGone):
            return
        if isinstance(message, Status):
            self._view.message_received(peer, message, asyncio.get_running_loop().time())
            return
        ended = self._new_ends(message)
        self._view.message_received(peer, message, asyncio.get_running_loop().time())
        if isinstance(message, WorkerUpdates):
            self._publish(message, Audience.DISPATCHERS)
        for worker in ended:
            self._publish(WorkerGone(worker, deleted=True), Audience.ALL)
        self._acknowledge(peer, message)

    def _new_ends(self, message: WorkerUpdates | WorkerGone) -> list[str]:
        """The workers of which it is new here that they ended.

        The other control machines are told of it as well: the one that heard the worker may not reach all of
        them, and each feeds dispatchers that must know it within `drain-ms`.
        """
        if isinstance(message, WorkerUpdates):
            told = message.ended
        else:
            told = (message.worker,) if message.deleted else ()
        return [worker for worker in told if not self._view.registry.was_deleted(worker)]

    def _acknowledge(self, peer: str, message: Message) -> None:
        """Tell the sender that its news of workers that leave were taken, and passed on."""
        connection = self._connections.get(peer)
        if connection is None:
            return
        if isinstance(message, WorkerGone) and message.deleted:
            connection.send(PresenceAck(message.worker, deleted=True))
        elif isinstance(message, WorkerUpdates):
            for record in message.records:
                if record.state is WorkerState.DRAINING:
                    connection.send(PresenceAck(record.id, deleted=False))
