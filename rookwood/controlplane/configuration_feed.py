"""Answers the dispatchers that ask for the configuration."""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple

import cachetools

from rookwood.cluster.connection import Connection
from rookwood.cluster.frames import encode_frame
from rookwood.cluster.messages import ConfigurationBody, FetchConfiguration
from rookwood.cluster.outbox import ConflationKey
from rookwood.cluster.position import ConfigurationPosition
from rookwood.clusterconfig.configuration_store import BUILD_ERRORS
from rookwood.clusterconfig.document import Configuration
from rookwood.controlplane.configuration_history import ConfigurationHistory
from rookwood.controlplane.payload import read_payload
from rookwood.coordination.group import Confirmed, ControlGroup, Snapshot

logger = logging.getLogger("rookwood")

REMEMBERED_FRAMES = 64  # by base; dispatchers that keep up ask on few different ones
LARGEST_DELTA = 64 * 1024  # bytes
DELTA_SHARE = 0.25  # of the whole's bytes before compression, which makes these several times fewer
NO_FRAME = b""


class ChangesKey(NamedTuple):
    """Names an answer that tells changes."""

    position: ConfigurationPosition
    base: ConfigurationPosition


class WholeFrame(NamedTuple):
    """An encoded whole configuration."""

    position: ConfigurationPosition
    frame: bytes


class ConfigurationFeed:
    """The committed configuration of one control machine, and the answers made of it."""

    def __init__(self, group: ControlGroup) -> None:
        self._group = group
        self._history = ConfigurationHistory()
        self._changes: cachetools.LRUCache[ChangesKey, bytes] = cachetools.LRUCache(REMEMBERED_FRAMES)
        self._wholes: dict[bool, WholeFrame] = {}  # the newest with and without confirmation
        self.answers: set[asyncio.Task[None]] = set()

    @property
    def configuration(self) -> Configuration:
        """The newest committed configuration."""
        return self._history.configuration

    @property
    def position(self) -> ConfigurationPosition:
        """The position of the newest commit that was taken in."""
        return self._history.position

    def take_commit(self) -> bool:
        """Take in the newest commit; returns whether it changed the configuration."""
        return self._take(self._group.snapshot())

    def answer(self, connection: Connection, question: FetchConfiguration) -> None:
        """Send the configuration, or its changes since what the subscriber has."""
        if not question.confirm:
            snapshot = self._group.snapshot()
            connection.send_frame(self._frame(snapshot, question.base), ConflationKey.CONFIGURATION)
            return
        answering = asyncio.create_task(self._send_confirmed(connection))
        self.answers.add(answering)
        answering.add_done_callback(self.answers.discard)

    async def _send_confirmed(self, connection: Connection) -> None:
        """Send the configuration once a round that begins now confirmed it; else nothing."""
        outcome = await self._group.confirm()
        if isinstance(outcome, Confirmed):
            frame = self._whole_frame(outcome.snapshot, confirmed=True)
            connection.send_frame(frame, ConflationKey.CONFIGURATION)

    def _take(self, snapshot: Snapshot) -> bool:
        source = read_payload(snapshot.payload).source
        if not source:
            return False
        try:
            return self._history.commit(position_of(snapshot), source)
        except BUILD_ERRORS:
            logger.exception("committed configuration can't be read; it is told whole")
            return False

    def _frame(self, snapshot: Snapshot, base: ConfigurationPosition) -> bytes:
        """The changes since the base, or the whole where they are not known or not clearly shorter."""
        return self._changes_frame(snapshot, base) or self._whole_frame(snapshot, confirmed=False)

    def _changes_frame(self, snapshot: Snapshot, base: ConfigurationPosition) -> bytes:
        """The changes since the base; empty where the whole is to be sent."""
        if self._history.position != position_of(snapshot):
            return NO_FRAME
        key = ChangesKey(self._history.position, base)
        frame = self._changes.get(key)
        if frame is None:
            frame = self._encode_changes(base, len(read_payload(snapshot.payload).source))
            self._changes[key] = frame
        return frame

    def _encode_changes(self, base: ConfigurationPosition, whole: int) -> bytes:
        delta = self._history.changes_since(base)
        if delta is None:
            return NO_FRAME
        frame = encode_frame(delta)
        return frame if len(frame) <= min(LARGEST_DELTA, DELTA_SHARE * whole) else NO_FRAME

    def _whole_frame(self, snapshot: Snapshot, *, confirmed: bool) -> bytes:
        """The whole configuration, encoded once for all subscribers that ask for it."""
        position = position_of(snapshot)
        known = self._wholes.get(confirmed)
        if known is None or known.position != position:
            source = read_payload(snapshot.payload).source
            body = ConfigurationBody(snapshot.epoch, snapshot.sequence, source, confirmed)
            known = self._wholes[confirmed] = WholeFrame(position, encode_frame(body))
        return known.frame


def position_of(snapshot: Snapshot) -> ConfigurationPosition:
    """The position of a committed document."""
    return ConfigurationPosition(snapshot.epoch, snapshot.sequence)
