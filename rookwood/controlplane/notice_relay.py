"""Passes the dispatchers' work notices on to all dispatchers, several in one frame."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rookwood.cluster.messages import WorkNotice, WorkNotices

COLLECTING_TIME = 0.02  # seconds for which notices are collected


class NoticeRelay:
    """Collects notices for a moment and sends them together."""

    def __init__(self, send: Callable[[WorkNotices], None]) -> None:
        self._send = send
        self._collected: list[WorkNotice] = []

    def take(self, message: WorkNotices) -> None:
        """A dispatcher sent notices."""
        if not self._collected:
            asyncio.get_running_loop().call_later(COLLECTING_TIME, self._flush)
        self._collected.extend(message.notices)

    def _flush(self) -> None:
        collected = tuple(self._collected)
        self._collected.clear()
        self._send(WorkNotices(collected))
