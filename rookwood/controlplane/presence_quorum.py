"""Waits until a copy quorum of the control machines has stored that a worker drains or has deregistered.

Only then is this presence change acknowledged to the worker, which ends once it has the acknowledgement. A
machine that was cut off a moment ago is not aware of that yet, and a change known to it alone may reach no
dispatcher before the partition heals. Of a majority, at least one member is linked to each dispatcher that is
in contact. The copies are on disk, because all processes may be killed at once, and as many that one is left
when the tolerated number of machines lose their disks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import cachetools

from rookwood.cluster.workers import PresenceChange
from rookwood.coordination.quorum import copy_quorum

CONFIRMATION_LIMIT = 0.7  # seconds; a worker calls the next machine after 1 s without a response
MAX_REMEMBERED = 4096  # confirmed presence changes that are kept
REMEMBERED_SECONDS = 600.0  # for which they are kept; workers end within seconds of draining


@dataclass(slots=True)
class PendingConfirmation:
    """A presence change whose confirmation is awaited by a number of calls."""

    stored_by: set[str] = field(default_factory=set)
    confirmed: asyncio.Event = field(default_factory=asyncio.Event)
    waiting_calls: int = 0


class PresenceQuorum:
    """Collects the acknowledgements of control machines that they have stored presence changes."""

    def __init__(self, members: Callable[[], tuple[str, ...]], tolerate: int) -> None:
        """`tolerate`: how many members may lose their disks at once."""
        self._members = members
        self._tolerate = tolerate
        self._pending: dict[PresenceChange, PendingConfirmation] = {}
        self._confirmed: cachetools.TTLCache[PresenceChange, bool] = cachetools.TTLCache(
            MAX_REMEMBERED, REMEMBERED_SECONDS
        )

    def is_confirmed(self, change: PresenceChange) -> bool:
        """Whether a copy quorum is known to have stored this change."""
        return change in self._confirmed

    async def confirm(self, change: PresenceChange) -> bool:
        """Wait until a copy quorum has stored a change just published; False if that takes too long.

        Several calls may wait for one change, because workers repeat a call that got no response in time.
        """
        pending = self._pending.setdefault(change, PendingConfirmation())
        pending.waiting_calls += 1
        try:
            async with asyncio.timeout(CONFIRMATION_LIMIT):
                await pending.confirmed.wait()
        except TimeoutError:
            return False
        finally:
            pending.waiting_calls -= 1
            if not pending.waiting_calls:
                del self._pending[change]
        return True

    def record_acknowledgement(self, machine: str, change: PresenceChange) -> None:
        """Record that a control machine, which may be this one, has stored a change."""
        pending = self._pending.get(change)
        if pending is None:
            return
        pending.stored_by.add(machine)
        members = self._members()
        if len(pending.stored_by.intersection(members)) >= copy_quorum(len(members), self._tolerate):
            self._confirmed[change] = True
            pending.confirmed.set()
