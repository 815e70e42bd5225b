"""What this process is up to: one object that readiness, the clients' side and the second address read."""

from __future__ import annotations

import asyncio
from datetime import datetime, timedelta
from enum import Enum

from rookwood.net.clock import Clock

NOTICE = timedelta(milliseconds=400)  # the front asks ten times a second and then needs 0.2 s to heed a no
TAKEN = timedelta(milliseconds=1800)  # from then on a drained process holds no new job; at 2 s it must not


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
        self.succeeded = False  # the next process has taken the clients' address over
        self._moves: datetime | None = None  # from then on clients are moved off
        self._refuses: datetime | None = None  # from then on no new job is taken
        self._leaving = asyncio.Event()
        self._changed = asyncio.Event()  # someone is to be moved off, at once or later

    @property
    def ready(self) -> bool:
        return self.phase is Phase.SERVING

    @property
    def moving(self) -> bool:
        return self._moves is not None and self._clock.now() >= self._moves

    @property
    def is_rejecting(self) -> bool:
        return self._refuses is not None and self._clock.now() >= self._refuses

    async def until_leaving(self) -> None:
        await self._leaving.wait()

    async def until_moving(self) -> None:
        while not self.moving:
            if self._moves is None:
                await self._changed.wait()
            else:
                await asyncio.sleep(min(0.05, self._clock.seconds_to(self._moves)))

    def start(self) -> None:
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    def drain(self) -> None:
        if self.phase in (Phase.STARTING, Phase.SERVING):
            self.phase = Phase.DRAINING
            self._moves, self._refuses = self._clock.now() + NOTICE, self._clock.now() + TAKEN
            self._changed.set()

    def resume(self) -> bool:
        """False: there is no way back from leaving."""
        if self.phase is Phase.DRAINING:
            self.phase, self._moves, self._refuses = Phase.SERVING, None, None
            self._changed.clear()
        return self.phase is not Phase.LEAVING

    def leave(self, stay: timedelta) -> None:
        """Final. Clients are moved off after `stay`, or before where that was settled already."""
        moves = self._clock.now() + stay
        self.phase, self._moves = Phase.LEAVING, min(moves, self._moves or moves)
        self._leaving.set()
        self._changed.set()
