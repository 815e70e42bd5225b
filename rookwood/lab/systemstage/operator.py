"""An operator, who sends a change again until there is a final answer."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from rookwood.lab.systemstage.configuration import Configuration, ConfigurationPatch
from rookwood.lab.systemstage.waiting import PATIENCE_S, StageError

OPERATOR_TIMEOUT_S = 1.0
OPERATOR_FIRST_BACKOFF_S = 0.05
OPERATOR_LAST_BACKOFF_S = 0.8
REDIRECTS = 2
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
RETRIED_STATUSES = frozenset({408, 429})
OTHER_REFUSALS = 3  # a call ends at the third 4xx of another kind
JSON_TYPE = "application/json"


@dataclass(frozen=True)
class OperatorAnswer:
    """The final answer to an operator's call."""

    status: int
    body: bytes
    answered_by: str
    attempts: int

    def json(self) -> object:
        """The body as JSON."""
        return json.loads(self.body)


class Operator:
    """Reads and changes the configuration as the protocol lays down for callers of the control plane."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self.addresses = list(addresses)
        self._session = ClientSession(
            timeout=ClientTimeout(total=OPERATOR_TIMEOUT_S),
            connector=TCPConnector(force_close=True),
        )

    async def put(self, configuration: Configuration, base: int) -> OperatorAnswer:
        """Sends a whole configuration built on the version `base`."""
        return await self.call("PUT", configuration.encode(), base)

    async def patch(self, patch: ConfigurationPatch, base: int) -> OperatorAnswer:
        """Sends changes to named items, built on the version `base`."""
        return await self.call("PATCH", patch.encode(), base)

    async def get(self, within_s: float = PATIENCE_S) -> OperatorAnswer:
        """Reads the newest configuration."""
        return await self.call("GET", None, None, within_s)

    async def call(
        self, method: str, body: bytes | None, base: int | None, within_s: float = PATIENCE_S
    ) -> OperatorAnswer:
        """Sends a call to one dispatcher after the other until an answer is clear."""
        give_up_at = time.monotonic() + within_s
        backoff = OPERATOR_FIRST_BACKOFF_S
        other_refusals = 0
        last = "no answer"
        for attempt in itertools.count(1):
            address = self.addresses[(attempt - 1) % len(self.addresses)]
            answer = await self.attempt(address, method, body, base, attempt)
            if answer is not None:
                last = f"{answer.status} {answer.body[:200]!r}"
                if is_final(answer.status):
                    return answer
                if 400 <= answer.status < 500 and answer.status not in RETRIED_STATUSES:
                    other_refusals += 1
                    if other_refusals == OTHER_REFUSALS:
                        return answer
            if time.monotonic() > give_up_at:
                break
            await asyncio.sleep(backoff)
            backoff = min(2 * backoff, OPERATOR_LAST_BACKOFF_S)
        raise StageError(f"{method} /config without a clear answer for {within_s} s; the last: {last}")

    async def attempt(
        self, address: str, method: str, body: bytes | None, base: int | None, number: int = 1
    ) -> OperatorAnswer | None:
        """Sends a call to one dispatcher; None where it fails or is silent."""
        headers = {"Content-Type": JSON_TYPE}
        if base is not None:
            headers["If-Match"] = str(base)
        try:
            async with self._session.request(
                method,
                f"http://{address}/config",
                data=body,
                headers=headers,
                max_redirects=REDIRECTS + 1,
            ) as response:
                return OperatorAnswer(response.status, await response.read(), address, number)
        except (ClientError, OSError, TimeoutError):
            return None

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()


def is_final(status: int) -> bool:
    """Whether an answer of this status ends an operator's call."""
    return status // 100 == 2 or status in FINAL_STATUSES
