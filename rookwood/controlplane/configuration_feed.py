"""Sends the committed configuration to dispatchers that fetch it, in full or as a delta."""

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

MAX_CACHED_FRAMES = 64  # delta frames; dispatchers that are up to date fetch from few different bases
MAX_DELTA_BYTES = 64 * 1024
MAX_DELTA_SHARE = 0.25  # of the full configuration's size before compression, which shrinks it several times
NO_FRAME = b""  # in place of a delta that is unknown or too large


class DeltaKey(NamedTuple):
    """Identifies a delta by the positions that it leads to and starts from."""

    position: ConfigurationPosition
    base: ConfigurationPosition


class FullFrame(NamedTuple):
    """An encoded full configuration and its position."""

    position: ConfigurationPosition
    frame: bytes


class ConfigurationFeed:
    """Holds the committed configuration of one control machine and responds to fetch requests."""

    def __init__(self, group: ControlGroup) -> None:
        self._group = group
        self._history = ConfigurationHistory()
        self._delta_frames: cachetools.LRUCache[DeltaKey, bytes] = cachetools.LRUCache(MAX_CACHED_FRAMES)
        self._full_frames: dict[bool, FullFrame] = {}  # the newest, by whether it is confirmed
        self.pending_fetches: set[asyncio.Task[None]] = set()

    @property
    def configuration(self) -> Configuration:
        """The newest committed configuration."""
        return self._history.configuration

    @property
    def position(self) -> ConfigurationPosition:
        """The position of the newest commit that was applied here."""
        return self._history.position

    def apply_commit(self) -> bool:
        """Apply the newest commit; returns whether it changed the configuration."""
        return self._apply(self._group.snapshot())

    def handle_fetch(self, connection: Connection, request: FetchConfiguration) -> None:
        """Send the configuration; if the request says so, only after a quorum round has confirmed it."""
        if not request.confirm:
            snapshot = self._group.snapshot()
            connection.send_frame(self._encode_response(snapshot, request.base), ConflationKey.CONFIGURATION)
            return
        task = asyncio.create_task(self._send_confirmed(connection))
        self.pending_fetches.add(task)
        task.add_done_callback(self.pending_fetches.discard)

    async def _send_confirmed(self, connection: Connection) -> None:
        """Send the configuration if a quorum round that begins now confirms it; otherwise send nothing."""
        outcome = await self._group.confirm()
        if isinstance(outcome, Confirmed):
            frame = self._full_frame(outcome.snapshot, confirmed=True)
            connection.send_frame(frame, ConflationKey.CONFIGURATION)

    def _apply(self, snapshot: Snapshot) -> bool:
        source = read_payload(snapshot.payload).source
        if not source:
            return False
        try:
            return self._history.commit(position_of(snapshot), source)
        except BUILD_ERRORS:
            logger.exception("committed configuration can't be read; sending it in full")
            return False

    def _encode_response(self, snapshot: Snapshot, base: ConfigurationPosition) -> bytes:
        """The delta from the base; the full configuration if the delta is unknown or not clearly smaller."""
        return self._delta_frame(snapshot, base) or self._full_frame(snapshot, confirmed=False)

    def _delta_frame(self, snapshot: Snapshot, base: ConfigurationPosition) -> bytes:
        """The encoded delta from the base; NO_FRAME if the full configuration is to be sent."""
        if self._history.position != position_of(snapshot):
            return NO_FRAME
        key = DeltaKey(self._history.position, base)
        frame = self._delta_frames.get(key)
        if frame is None:
            frame = self._encode_delta(base, len(read_payload(snapshot.payload).source))
            self._delta_frames[key] = frame
        return frame

    def _encode_delta(self, base: ConfigurationPosition, full_size: int) -> bytes:
        delta = self._history.changes_since(base)
        if delta is None:
            return NO_FRAME
        frame = encode_frame(delta)
        return frame if len(frame) <= min(MAX_DELTA_BYTES, MAX_DELTA_SHARE * full_size) else NO_FRAME

    def _full_frame(self, snapshot: Snapshot, *, confirmed: bool) -> bytes:
        """The encoded full configuration, which is encoded once for all subscribers that fetch it."""
        position = position_of(snapshot)
        cached = self._full_frames.get(confirmed)
        if cached is None or cached.position != position:
            source = read_payload(snapshot.payload).source
            body = ConfigurationBody(snapshot.epoch, snapshot.sequence, source, confirmed)
            cached = self._full_frames[confirmed] = FullFrame(position, encode_frame(body))
        return cached.frame


def position_of(snapshot: Snapshot) -> ConfigurationPosition:
    """The position of a committed document."""
    return ConfigurationPosition(snapshot.epoch, snapshot.sequence)
