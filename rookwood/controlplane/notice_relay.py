"""Passes the dispatchers' work notices on, several in one frame, so that each reaches a dispatcher once.

A dispatcher tells the machine that feeds it. That one tells its other dispatchers and the other control
machines, which tell theirs.
"""

from __future__ import annotations

from collections.abc import Callable

from rookwood.cluster.messages import WorkNotice, WorkNotices
from rookwood.cluster.throttle import Throttle

LEAST_INTERVAL = 0.05  # seconds between two frames of notices

SendNotices = Callable[[WorkNotices], None]


class NoticeRelay:
    """Sends notices at once where they are rare, and collects them where they are many."""

    def __init__(self, to_dispatchers: SendNotices, to_control_machines: SendNotices) -> None:
        self._to_dispatchers = to_dispatchers
        self._to_control_machines = to_control_machines
        self._collected: list[WorkNotice] = []
        self._own: list[WorkNotice] = []
        self._throttle = Throttle(LEAST_INTERVAL, self._flush)

    def take_own(self, message: WorkNotices) -> None:
        """A dispatcher that this machine feeds sent notices."""
        self._own.extend(message.notices)
        self._collect(message)

    def take(self, message: WorkNotices) -> None:
        """Another control machine passed on those of its dispatchers."""
        self._collect(message)

    def _collect(self, message: WorkNotices) -> None:
        self._collected.extend(message.notices)
        self._throttle.request()

    def _flush(self) -> None:
        collected, own = tuple(self._collected), tuple(self._own)
        self._collected.clear()
        self._own.clear()
        self._to_dispatchers(WorkNotices(collected))
        if own:
            self._to_control_machines(WorkNotices(own))
