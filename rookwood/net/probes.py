"""Probes of endpoints that the decisions ask for; each runs as a task of its own, owned here."""

from __future__ import annotations

import asyncio
import logging

from rookwood.net.destinations import Destinations
from rookwood.net.endpoints import Endpoints
from rookwood.net.policy_driver import PolicyDriver

log = logging.getLogger(__name__)


class Probes:
    def __init__(self, decisions: PolicyDriver, destinations: Destinations, endpoints: Endpoints) -> None:
        self._decisions, self._destinations, self._endpoints = decisions, destinations, endpoints
        self._tasks: dict[str, asyncio.Task[None]] = {}  # by uid: one at a time, however slow it is
        decisions.probe = self.start

    def start(self, uid: str) -> None:
        if uid not in self._tasks:
            self._tasks[uid] = asyncio.create_task(self._probe(uid))

    async def _probe(self, uid: str) -> None:
        try:
            found = await self._endpoints.probe(self._destinations.address(uid))
            self._decisions.probed(uid, found.end, found.load)
        except Exception:
            log.exception("a probe failed")
        finally:
            del self._tasks[uid]

    async def close(self) -> None:
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
