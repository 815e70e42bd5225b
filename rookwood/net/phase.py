"""What this process is up to: one object that readiness, the clients' side and the second address read."""

from __future__ import annotations

import asyncio
from datetime import datetime, timedelta
from enum import Enum

from rookwood.net.clock import Clock

CLOSE_DELAY = timedelta(
    milliseconds=400
)  # the front asks ten times a second and then needs 0.2 s to heed a no
REJECT_DELAY = timedelta(
    milliseconds=1800
)  # from then on a drained process holds no new job; at 2 s it must not


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class ServiceState:
    """Each call may come at any time and again: what is in force already stays as it is."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.phase = Phase.STARTING
        self.is_handed_over = False  # the next process has taken the clients' address over
        self._closing_from: datetime | None = None  # from then on clients are moved off
        self._rejecting_from: datetime | None = None  # from then on no new job is taken
        self._shutdown_begun = asyncio.Event()
        self._closing_scheduled = asyncio.Event()  # someone is to be moved off, at once or later

    @property
    def is_ready(self) -> bool:
        return self.phase is Phase.SERVING

    @property
    def is_closing_clients(self) -> bool:
        return self._closing_from is not None and self._clock.now() >= self._closing_from

    @property
    def is_rejecting(self) -> bool:
        return self._rejecting_from is not None and self._clock.now() >= self._rejecting_from

    async def wait_shutdown(self) -> None:
        await self._shutdown_begun.wait()

    async def wait_closing_clients(self) -> None:
        while not self.is_closing_clients:
            if self._closing_from is None:
                await self._closing_scheduled.wait()
            else:
                await asyncio.sleep(min(0.05, self._clock.seconds_until(self._closing_from)))

    def start(self) -> None:
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    def drain(self) -> None:
        if self.phase in (Phase.STARTING, Phase.SERVING):
            self.phase = Phase.DRAINING
            self._closing_from, self._rejecting_from = (
                self._clock.now() + CLOSE_DELAY,
                self._clock.now() + REJECT_DELAY,
            )
            self._closing_scheduled.set()

    def resume(self) -> bool:
        """False: there is no way back from leaving."""
        if self.phase is Phase.DRAINING:
            self.phase, self._closing_from, self._rejecting_from = Phase.SERVING, None, None
            self._closing_scheduled.clear()
        return self.phase is not Phase.LEAVING

    def begin_shutdown(self, stay: timedelta) -> None:
        """Final. Clients are moved off after `stay`, or before where that was settled already."""
        moves = self._clock.now() + stay
        self.phase, self._closing_from = Phase.LEAVING, min(moves, self._closing_from or moves)
        self._shutdown_begun.set()
        self._closing_scheduled.set()
