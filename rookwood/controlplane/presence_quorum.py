"""Waits until a majority of the control machines knows that a worker drains or has deregistered.

Only then is this presence change acknowledged to the worker, which ends once it has the acknowledgement. A
machine that was cut off a moment ago is not aware of that yet, and a change known to it alone may reach no
dispatcher before the partition heals. Of a majority, at least one member is linked to each dispatcher that is
in contact.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import cachetools

from rookwood.cluster.messages import PresenceAck

CONFIRMATION_LIMIT = 0.7  # seconds; a worker calls the next machine after 1 s without a response
MAX_REMEMBERED = 4096  # confirmed presence changes that are kept
REMEMBERED_SECONDS = 600.0  # for which they are kept; workers end within seconds of draining


@dataclass(slots=True)
class PendingConfirmation:
    """A presence change whose confirmation is awaited by a number of calls."""

    acknowledged_by: set[str]
    confirmed: asyncio.Event = field(default_factory=asyncio.Event)
    waiting_calls: int = 0


class PresenceQuorum:
    """Collects the acknowledgements of the other control machines for presence changes."""

    def __init__(self, own_ip: str, members: Callable[[], tuple[str, ...]]) -> None:
        self._own_ip = own_ip
        self._members = members
        self._pending: dict[PresenceAck, PendingConfirmation] = {}
        self._confirmed: cachetools.TTLCache[PresenceAck, bool] = cachetools.TTLCache(
            MAX_REMEMBERED, REMEMBERED_SECONDS
        )

    def is_confirmed(self, change: PresenceAck) -> bool:
        """Whether a majority is known to have acknowledged this change."""
        return change in self._confirmed

    async def confirm(self, change: PresenceAck) -> bool:
        """Wait until a majority has acknowledged a change just published; False if that takes too long.

        Several calls may wait for one change, because workers repeat a call that got no response in time.
        """
        pending = self._pending.setdefault(change, PendingConfirmation({self._own_ip}))
        pending.waiting_calls += 1
        self._check_majority(change, pending)
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

    def record_acknowledgement(self, machine: str, change: PresenceAck) -> None:
        """Record that another control machine acknowledged a change."""
        pending = self._pending.get(change)
        if pending is not None:
            pending.acknowledged_by.add(machine)
            self._check_majority(change, pending)

    def _check_majority(self, change: PresenceAck, pending: PendingConfirmation) -> None:
        members = self._members()
        if 2 * len(pending.acknowledged_by.intersection(members)) > len(members):
            self._confirmed[change] = True
            pending.confirmed.set()
