"""Leaves a wait for a worker that fell silent, when the request may go elsewhere."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

CHECK_INTERVAL = 0.4  # seconds between two looks


class SilenceWatch:
    """Ends the enclosed wait once `should_leave` says so; `left` tells whether it did.

    `should_leave` is asked at intervals, with the time at which the wait began or was last renewed.
    """

    def __init__(self, should_leave: Callable[[float], bool]) -> None:
        self._should_leave = should_leave
        self._scope = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._since = 0.0
        self.left = False

    async def __aenter__(self) -> SilenceWatch:
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
        """Something arrived."""
        self._since = asyncio.get_running_loop().time()

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        if not self._should_leave(self._since):
            self._schedule()
            return
        self.left = True
        self._scope.reschedule(asyncio.get_running_loop().time())
