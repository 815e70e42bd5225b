"""Shuts down connections when a lease ends, by a kernel timer that does not depend on the event loop.

A holder checks its lease right before each act. If its event loop stalls in between (a long call, an
overloaded machine) or the whole process is stopped, the act would come too late. The kernel's timer keeps
running meanwhile. Its signal arrives before the program continues, also after SIGCONT, and the handler shuts
down the connections over which acts are sent. One case remains: a stop during the very call that passes the
bytes to the kernel. For that case receivers check fencing tokens (`lease.Gate`).
"""

from __future__ import annotations

import contextlib
import signal
import socket
import threading
from types import FrameType


class Watchdog:
    """At most one per process, since the process has one such timer. Inactive outside the main thread."""

    def __init__(self) -> None:
        self._sockets: set[socket.socket] = set()
        self._previous_handler: signal._HANDLER = None
        self.is_active = threading.current_thread() is threading.main_thread()
        self.expirations = 0
        if self.is_active:
            self._previous_handler = signal.signal(signal.SIGALRM, self._on_expiry)

    def guard(self, connection: socket.socket) -> None:
        """Adds a connection over which acts are sent. Its owner closes it, after `unguard`."""
        self._sockets.add(connection)

    def unguard(self, connection: socket.socket) -> None:
        """Removes a connection added by `guard`."""
        self._sockets.discard(connection)

    def arm(self, seconds: float) -> None:
        """Sets the timer to the end of the lease. 0 or less: no lease is held, so the timer is cleared."""
        if self.is_active:
            signal.setitimer(signal.ITIMER_REAL, max(0.0, seconds))

    def _on_expiry(self, number: int, frame: FrameType | None) -> None:
        self.expirations += 1
        for connection in self._sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        if self.is_active:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
            signal.signal(signal.SIGALRM, self._previous_handler or signal.SIG_DFL)
            self.is_active = False
