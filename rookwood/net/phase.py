"""The phase of the process, which readiness checks, client connections and management calls go by."""

from __future__ import annotations

import asyncio
from datetime import datetime, timedelta
from enum import Enum

from rookwood.net.clock import Clock

# The load balancer checks readiness ten times a second, and then takes 0.2 s to stop sending clients here.
CLOSE_DELAY = timedelta(milliseconds=400)
REJECT_DELAY = timedelta(milliseconds=1800)  # a process must accept no new jobs 2 s after a drain began


class Phase(Enum):
    """Phase of a process; the values are part of the management protocol."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"  # shutting down


class ServiceState:
    """The phase, and from when on clients' connections are closed and jobs rejected.

    Every method may be called at any time and repeatedly; a call that changes nothing has no effect.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.phase = Phase.STARTING
        self.is_handed_over = False  # whether the next process serves the clients' address
        self._closing_from: datetime | None = None  # when clients' connections begin to be closed
        self._rejecting_from: datetime | None = None  # when new jobs begin to be rejected
        self._shutdown_begun = asyncio.Event()
        self._closing_scheduled = asyncio.Event()  # set while `_closing_from` is

    @property
    def is_ready(self) -> bool:
        """Whether readiness checks succeed."""
        return self.phase is Phase.SERVING

    @property
    def is_closing_clients(self) -> bool:
        """Whether clients' connections are closed as soon as they are idle."""
        return self._closing_from is not None and self._clock.now() >= self._closing_from

    @property
    def is_rejecting(self) -> bool:
        """Whether new jobs are rejected."""
        return self._rejecting_from is not None and self._clock.now() >= self._rejecting_from

    async def wait_shutdown(self) -> None:
        """Wait until the process begins to shut down."""
        await self._shutdown_begun.wait()

    async def wait_closing_clients(self) -> None:
        """Wait until clients' connections are to be closed."""
        while not self.is_closing_clients:
            if self._closing_from is None:
                await self._closing_scheduled.wait()
            else:
                await asyncio.sleep(min(0.05, self._clock.seconds_until(self._closing_from)))

    def start(self) -> None:
        """Become ready, unless the process already drains or shuts down."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    def drain(self) -> None:
        """Begin to drain, unless the process shuts down."""
        if self.phase in (Phase.STARTING, Phase.SERVING):
            self.phase = Phase.DRAINING
            self._closing_from, self._rejecting_from = (
                self._clock.now() + CLOSE_DELAY,
                self._clock.now() + REJECT_DELAY,
            )
            self._closing_scheduled.set()

    def resume(self) -> bool:
        """End a drain; return False if the process is shutting down, which is final."""
        if self.phase is Phase.DRAINING:
            self.phase, self._closing_from, self._rejecting_from = Phase.SERVING, None, None
            self._closing_scheduled.clear()
        return self.phase is not Phase.LEAVING

    def begin_shutdown(self, close_after: timedelta) -> None:
        """Begin to shut down: close clients' connections after a delay, or earlier after a drain."""
        closing_from = self._clock.now() + close_after
        self.phase, self._closing_from = Phase.LEAVING, min(closing_from, self._closing_from or closing_from)
        self._shutdown_begun.set()
        self._closing_scheduled.set()
