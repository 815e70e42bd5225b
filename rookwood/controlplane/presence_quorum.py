"""Who has taken the news that a worker drains or ended: it is acknowledged once a majority has.

A control machine that was cut off a moment ago does not know it yet. What it alone has taken may reach no
dispatcher before the cut heals, and the worker, once acknowledged, ends. A majority that has taken the news
has a member that each dispatcher in touch is linked to.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import cachetools

from rookwood.cluster.messages import PresenceAck

CONFIRMATION_LIMIT = 0.7  # seconds; a worker calls the next machine after one second
REMEMBERED = 4096  # workers whose news a majority has
REMEMBERED_FOR = 600.0  # seconds; workers end within seconds after they drain


class PresenceQuorum:
    """Collects the acknowledgements of the other control machines."""

    def __init__(self, own_ip: str, members: Callable[[], tuple[str, ...]]) -> None:
        self._own_ip = own_ip
        self._members = members
        self._acknowledged: dict[PresenceAck, set[str]] = {}
        self._settled: dict[PresenceAck, asyncio.Event] = {}
        self._confirmed: cachetools.TTLCache[PresenceAck, bool] = cachetools.TTLCache(
            REMEMBERED, REMEMBERED_FOR
        )

    def is_confirmed(self, news: PresenceAck) -> bool:
        """Whether a majority took this news before."""
        return news in self._confirmed

    async def confirm(self, news: PresenceAck) -> bool:
        """Wait until a majority has taken the news that was just told; false where that takes too long."""
        settled = self._settled.setdefault(news, asyncio.Event())
        self._acknowledged.setdefault(news, {self._own_ip})
        self._count(news)
        try:
            async with asyncio.timeout(CONFIRMATION_LIMIT):
                await settled.wait()
        except TimeoutError:
            return False
        finally:
            self._settled.pop(news, None)
            self._acknowledged.pop(news, None)
        return True

    def acknowledged(self, machine: str, news: PresenceAck) -> None:
        """Another control machine has taken the news."""
        if news in self._acknowledged:
            self._acknowledged[news].add(machine)
            self._count(news)

    def _count(self, news: PresenceAck) -> None:
        members = self._members()
        taken = self._acknowledged[news].intersection(members)
        if 2 * len(taken) > len(members):
            self._confirmed[news] = True
            self._settled[news].set()
