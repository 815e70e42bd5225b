"""Calls to workers: reading reports and giving load orders."""

from __future__ import annotations

import json
from dataclasses import dataclass

import aiohttp

from rookwood.cluster.workers import HeldModel, parse_models

CALL_LIMIT = 0.7  # seconds
NOT_CONNECTED = 0  # in place of a status: nothing was sent
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)
FORMAT_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
INSTANCE_HEADER = "X-Want-Instance"


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to GET /report."""

    models: tuple[HeldModel, ...]
    busy: bool
    sequence: int
    queued: int
    active: int


@dataclass(frozen=True, slots=True)
class ReportFailed:
    """No report came."""

    why: str


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """The worker carries the order out, or what it asks for holds already."""

    done: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The worker did not take the order."""

    status: int


@dataclass(frozen=True, slots=True)
class OrderUnknown:
    """No answer came; the order may have been taken."""

    why: str


@dataclass(frozen=True, slots=True)
class OrderCall:
    """The body of POST /order."""

    place: bool
    model: str
    adapter: str
    owner: str
    fence: int
    if_sequence: int

    def body(self) -> bytes:
        """The JSON text."""
        document: dict[str, str | int] = {"op": "place" if self.place else "evict", "model": self.model}
        if self.adapter:
            document["lora"] = self.adapter
        document["if-revision"] = self.if_sequence
        document["owner"] = self.owner
        document["fence"] = self.fence
        return json.dumps(document).encode()


class WorkerClient:
    """HTTP calls to workers, each for one incarnation only."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=CALL_LIMIT, sock_connect=CALL_LIMIT / 2)
        self._session = aiohttp.ClientSession(timeout=timeout, cookie_jar=aiohttp.DummyCookieJar())

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def report(self, address: str, worker: str) -> WorkerReport | ReportFailed:
        """Read a worker's report."""
        headers = {INSTANCE_HEADER: worker}
        try:
            async with self._session.get(f"http://{address}/report", headers=headers) as response:
                if response.status != 200:
                    return ReportFailed(f"status {response.status}")
                document = json.loads(await response.read())
            return WorkerReport(
                models=parse_models(document.get("models")),
                busy=bool(document.get("busy")),
                sequence=int(document.get("seq", 0)),
                queued=int(document.get("queued", 0)),
                active=int(document.get("active", 0)),
            )
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
        ) as error:
            return ReportFailed(repr(error))

    async def order(
        self, address: str, worker: str, call: OrderCall
    ) -> OrderTaken | OrderRefused | OrderUnknown:
        """Give an order."""
        headers = {INSTANCE_HEADER: worker, "Content-Type": "application/json"}
        url = f"http://{address}/order"
        try:
            async with self._session.post(url, data=call.body(), headers=headers) as response:
                await response.read()
                status = response.status
        except aiohttp.ClientConnectorError:
            return OrderRefused(NOT_CONNECTED)
        except CALL_ERRORS as error:
            return OrderUnknown(repr(error))
        if status in (200, 202):
            return OrderTaken(done=status == 200)
        return OrderRefused(status)
