"""Who has taken the news that a worker drains or ended: it is acknowledged once a majority has.

A control machine that was cut off a moment ago does not know it yet. What it alone has taken may reach no
dispatcher before the cut heals, and the worker, once acknowledged, ends. A majority that has taken the news
has a member that each dispatcher in touch is linked to.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import cachetools

from rookwood.cluster.messages import PresenceAck

CONFIRMATION_LIMIT = 0.7  # seconds; a worker calls the next machine after one second
REMEMBERED = 4096  # workers whose news a majority has
REMEMBERED_FOR = 600.0  # seconds; workers end within seconds after they drain


@dataclass(slots=True)
class AwaitedNews:
    """One piece of news that calls wait for: who has taken it, and how many calls there are."""

    taken_by: set[str]
    settled: asyncio.Event = field(default_factory=asyncio.Event)
    calls: int = 0


class PresenceQuorum:
    """Collects the acknowledgements of the other control machines."""

    def __init__(self, own_ip: str, members: Callable[[], tuple[str, ...]]) -> None:
        self._own_ip = own_ip
        self._members = members
        self._awaited: dict[PresenceAck, AwaitedNews] = {}
        self._confirmed: cachetools.TTLCache[PresenceAck, bool] = cachetools.TTLCache(
            REMEMBERED, REMEMBERED_FOR
        )

    def is_confirmed(self, news: PresenceAck) -> bool:
        """Whether a majority took this news before."""
        return news in self._confirmed

    async def confirm(self, news: PresenceAck) -> bool:
        """Wait until a majority has taken the news that was just told; false where that takes too long.

        Several calls may wait for one piece of news: workers send again what was not answered in time.
        """
        awaited = self._awaited.setdefault(news, AwaitedNews({self._own_ip}))
        awaited.calls += 1
        self._count(news, awaited)
        try:
            async with asyncio.timeout(CONFIRMATION_LIMIT):
                await awaited.settled.wait()
        except TimeoutError:
            return False
        finally:
            awaited.calls -= 1
            if not awaited.calls:
                del self._awaited[news]
        return True

    def acknowledged(self, machine: str, news: PresenceAck) -> None:
        """Another control machine has taken the news."""
        awaited = self._awaited.get(news)
        if awaited is not None:
            awaited.taken_by.add(machine)
            self._count(news, awaited)

    def _count(self, news: PresenceAck, awaited: AwaitedNews) -> None:
        members = self._members()
        if 2 * len(awaited.taken_by.intersection(members)) > len(members):
            self._confirmed[news] = True
            awaited.settled.set()
