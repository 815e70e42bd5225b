"""Heartbeats to the control plane, and what they say of the worker."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Sequence
from enum import StrEnum

from aiohttp import ClientError, ClientSession, ClientTimeout

from rookwood.lab.emulatedworker.weights import JsonObject

HEARTBEAT_TIMEOUT_S = 1.0
HEARTBEAT_ANSWER_LIMIT = 4096  # bytes
HEARTBEAT_REDIRECTS = 2


class ServiceState(StrEnum):
    """What a worker says of itself when it registers."""

    UP = "up"
    DRAINING = "draining"


class Registrar:
    """Sends a worker's registrations to the control plane, one address after the other until one answers."""

    def __init__(self, instance: str, control_addresses: Sequence[str]) -> None:
        self.control_addresses = list(control_addresses)
        self.acknowledged_by: str | None = None  # the address that acknowledged last
        self._instance = instance
        self._next = 0
        self._heartbeat_url: str | None = None
        self._session = ClientSession(timeout=ClientTimeout(total=HEARTBEAT_TIMEOUT_S))

    async def register(self, registration: JsonObject) -> bool:
        """One heartbeat; True once it is acknowledged."""
        return await self._send_to_any("PUT", registration)

    async def deregister(self) -> bool:
        """Says that the worker is gone."""
        return await self._send_to_any("DELETE", None)

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def _send_to_any(self, method: str, body: JsonObject | None) -> bool:
        if self._heartbeat_url is not None:
            if await self._send(method, self._heartbeat_url, body):
                return True
            self._heartbeat_url = None
        for _ in range(len(self.control_addresses)):
            address = self.control_addresses[self._next % len(self.control_addresses)]
            if await self._send(method, address, body):
                return True
            self._next += 1
        return False

    async def _send(self, method: str, address: str, body: JsonObject | None) -> bool:
        try:
            async with self._session.request(
                method, self._url(address), json=body, max_redirects=HEARTBEAT_REDIRECTS + 1
            ) as response:
                answer = await response.content.read(HEARTBEAT_ANSWER_LIMIT + 1)
                while chunk := await response.content.read(HEARTBEAT_ANSWER_LIMIT + 1):
                    answer += chunk
        except (ClientError, OSError, TimeoutError):
            return False
        if response.status // 100 != 2 or len(answer) > HEARTBEAT_ANSWER_LIMIT:
            return False
        self.acknowledged_by = address
        self._take_heartbeat_url(answer)
        return True

    def _url(self, address: str) -> str:
        path = f"/workers/{self._instance}"
        base = address if "://" in address else f"http://{address}"
        return base if base.endswith(path) else base.rstrip("/") + path

    def _take_heartbeat_url(self, answer: bytes) -> None:
        with contextlib.suppress(ValueError):
            document = json.loads(answer)
            if isinstance(document, dict) and isinstance(document.get("beat-url"), str):
                self._heartbeat_url = document["beat-url"] or None
