"""Ends the right to act when a lease ends, outside the event loop: by a timer of the kernel.

A holder checks its lease right before each act. If its event loop stands still in between (a long call, a
full machine), or the whole process is stopped, the act would come too late. The kernel's timer runs on
meanwhile; its signal comes before the program's next step, also before the first one after SIGCONT, and the
handler closes the connection over which acts leave. What is left is a stop amid the very call that hands
the bytes to the kernel. For that, receivers check tokens (`lease.Gate`).
"""

from __future__ import annotations

import contextlib
import signal
import socket
import threading
from types import FrameType


class Watchdog:
    """One a process, since there is one such timer. Off where this is not the main thread."""

    def __init__(self) -> None:
        self._sockets: set[socket.socket] = set()
        self._before: signal._HANDLER = None
        self.on = threading.current_thread() is threading.main_thread()
        self.barked = 0
        if self.on:
            self._before = signal.signal(signal.SIGALRM, self._bark)

    def guard(self, connection: socket.socket) -> None:
        """Acts leave over this one. Its owner closes it; `let_go` comes first."""
        self._sockets.add(connection)

    def let_go(self, connection: socket.socket) -> None:
        self._sockets.discard(connection)

    def held_for(self, seconds: float) -> None:
        """The lease ends then; 0 or less: it has ended, and nothing is to be watched."""
        if self.on:
            signal.setitimer(signal.ITIMER_REAL, max(0.0, seconds))

    def _bark(self, number: int, frame: FrameType | None) -> None:
        self.barked += 1
        for connection in self._sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        if self.on:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
            signal.signal(signal.SIGALRM, self._before or signal.SIG_DFL)
            self.on = False
