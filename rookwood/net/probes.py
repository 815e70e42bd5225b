"""Runs the probes of workers that the policy requests, each in a task of its own."""

from __future__ import annotations

import asyncio
import logging

from rookwood.net.destinations import Destinations
from rookwood.net.endpoints import EndpointPool
from rookwood.net.policy_driver import PolicyDriver

log = logging.getLogger(__name__)


class Probes:
    """Owns the tasks of the probes under way."""

    def __init__(self, decisions: PolicyDriver, destinations: Destinations, endpoints: EndpointPool) -> None:
        self._decisions, self._destinations, self._endpoints = decisions, destinations, endpoints
        self._tasks: dict[str, asyncio.Task[None]] = {}  # by worker: only one at a time, however slow it is
        decisions.start_probe = self.start

    def start(self, uid: str) -> None:
        """Start a probe of a worker, unless one is under way."""
        if uid not in self._tasks:
            self._tasks[uid] = asyncio.create_task(self._probe(uid))

    async def _probe(self, uid: str) -> None:
        try:
            result = await self._endpoints.probe(self._destinations.address(uid))
            self._decisions.record_probe(uid, result.outcome, result.load)
        except Exception:
            log.exception("a probe failed")
        finally:
            del self._tasks[uid]

    async def close(self) -> None:
        """Cancel all probes."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
