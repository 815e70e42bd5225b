"""The last seconds of a dispatcher's process: which requests still fit, and the end of those that don't."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

INGRESS_NOTICE = 2.5  # seconds after which the platform sends no new connections to a machine not ready
STALL_RESERVE = 0.2  # seconds for which this process may be held up, though it was not lately
STALL_SAFETY = 2.0  # a stall may last so many times as long as the longest one lately


class ClosingTime:
    """The moment at which this process answers or cuts whatever is under way; unknown until SIGTERM."""

    def __init__(self) -> None:
        self.at: float | None = None
        self._known_since = 0.0
        self._scopes: set[asyncio.Timeout] = set()

    @property
    def known(self) -> bool:
        """Whether the process is about to end."""
        return self.at is not None

    def set(self, at: float, now: float) -> None:
        """The process ends then; requests under way end no later."""
        self.at = at
        self._known_since = now
        for scope in self._scopes:
            if not scope.expired():
                scope.reschedule(at)

    def unnoticed(self, arrived: float) -> bool:
        """Whether a request that came then was sent before the platform could notice."""
        return self.at is None or arrived - self._known_since < INGRESS_NOTICE

    def allows(self, duration: float, now: float) -> bool:
        """Whether something that takes so long ends in time."""
        return self.at is None or now + duration <= self.at

    @staticmethod
    def stall_reserve(longest_stall: float) -> float:
        """Seconds to leave for stalls before the process ends."""
        return max(STALL_RESERVE, STALL_SAFETY * longest_stall)

    @contextmanager
    def register(self, scope: asyncio.Timeout) -> Iterator[None]:
        """End an entered scope at the closing time, also if that becomes known only later."""
        self._scopes.add(scope)
        try:
            if self.at is not None:
                scope.reschedule(self.at)
            yield
        finally:
            self._scopes.discard(scope)
