"""Relays the dispatchers' work notices, several in one frame, so that each reaches a dispatcher once.

A dispatcher sends its notices to the control machine that feeds it. That machine relays them to its other
dispatchers and to the other control machines, which relay them to their dispatchers.
"""

from __future__ import annotations

from collections.abc import Callable

from rookwood.cluster.messages import WorkNotice, WorkNotices
from rookwood.cluster.throttle import Throttle

MIN_INTERVAL = 0.05  # seconds between two frames of notices, at least

SendNotices = Callable[[WorkNotices], None]


class NoticeRelay:
    """Relays notices without delay while they are rare, and in batches when they are frequent."""

    def __init__(self, to_dispatchers: SendNotices, to_control_machines: SendNotices) -> None:
        self._to_dispatchers = to_dispatchers
        self._to_control_machines = to_control_machines
        self._pending: list[WorkNotice] = []
        self._pending_from_dispatchers: list[WorkNotice] = []
        self._throttle = Throttle(MIN_INTERVAL, self._flush)

    def relay_from_dispatcher(self, message: WorkNotices) -> None:
        """Relay notices from a dispatcher that this machine feeds."""
        self._pending_from_dispatchers.extend(message.notices)
        self._add(message)

    def relay_from_control_machine(self, message: WorkNotices) -> None:
        """Relay notices that another control machine has from its dispatchers."""
        self._add(message)

    def _add(self, message: WorkNotices) -> None:
        self._pending.extend(message.notices)
        self._throttle.request()

    def _flush(self) -> None:
        pending, from_dispatchers = tuple(self._pending), tuple(self._pending_from_dispatchers)
        self._pending.clear()
        self._pending_from_dispatchers.clear()
        self._to_dispatchers(WorkNotices(pending))
        if from_dispatchers:
            self._to_control_machines(WorkNotices(from_dispatchers))
