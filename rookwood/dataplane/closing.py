"""The closing time of a dispatcher's process: which requests fit before it, and the end of all others."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

INGRESS_NOTICE = 2.5  # seconds until the platform sends no new connections to a machine that is not ready
STALL_RESERVE = 0.2  # seconds reserved for a stall of this process, even if there was none recently
STALL_SAFETY_FACTOR = 2.0  # a stall may last this many times as long as the longest recent one


class ClosingTime:
    """The time at which this process ends all requests in flight; unknown until SIGTERM."""

    def __init__(self) -> None:
        self.at: float | None = None
        self._known_since = 0.0
        self._scopes: set[asyncio.Timeout] = set()

    @property
    def is_known(self) -> bool:
        """Whether the closing time is set, as the process is shutting down."""
        return self.at is not None

    def set(self, at: float, now: float) -> None:
        """Set the closing time; requests in flight are ended at `at`."""
        self.at = at
        self._known_since = now
        for scope in self._scopes:
            if not scope.expired():
                scope.reschedule(at)

    def arrived_before_notice(self, arrived: float) -> bool:
        """Whether a request that came at `arrived` was sent before the platform could notice the shutdown."""
        return self.at is None or arrived - self._known_since < INGRESS_NOTICE

    def allows_duration(self, duration: float, now: float) -> bool:
        """Whether something that begins now and takes `duration` seconds ends before the closing time."""
        return self.at is None or now + duration <= self.at

    @staticmethod
    def stall_reserve(longest_stall: float) -> float:
        """Seconds to reserve for a stall before the closing time."""
        return max(STALL_RESERVE, STALL_SAFETY_FACTOR * longest_stall)

    @contextmanager
    def register(self, scope: asyncio.Timeout) -> Iterator[None]:
        """Let an entered timeout scope expire at the closing time, even if that is set later."""
        self._scopes.add(scope)
        try:
            if self.at is not None:
                scope.reschedule(self.at)
            yield
        finally:
            self._scopes.discard(scope)
