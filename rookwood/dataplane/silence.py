"""Ends the wait for an unresponsive worker when the request may be retried."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

CHECK_INTERVAL = 0.4  # seconds


class WorkerWatch:
    """A context manager that ends the enclosed wait once `should_leave` returns True.

    `should_leave` is called at intervals, with the time at which the wait began or was last renewed.
    `has_left` says whether the watch ended the wait.
    """

    def __init__(self, should_leave: Callable[[float], bool]) -> None:
        self._should_leave = should_leave
        self._scope = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._renewed_at = 0.0
        self.has_left = False

    async def __aenter__(self) -> WorkerWatch:
        await self._scope.__aenter__()
        self.renew()
        self._schedule()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        if self._timer is not None:
            self._timer.cancel()
        try:
            await self._scope.__aexit__(kind, error, traceback)
        except TimeoutError:
            return True
        return False

    def renew(self) -> None:
        """Restart the wait: bytes arrived from the worker."""
        self._renewed_at = asyncio.get_running_loop().time()

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        if not self._should_leave(self._renewed_at):
            self._schedule()
            return
        self.has_left = True
        self._scope.reschedule(asyncio.get_running_loop().time())
