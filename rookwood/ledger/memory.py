"""A store in the memory of this process, for a single dispatcher and for tests."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from datetime import UTC, datetime, timedelta

from rookwood.ledger import life
from rookwood.ledger.life import ClaimRequest, Phase, Record
from rookwood.ledger.store import Reply, Steps, TrustPolicy
from rookwood.ledger.watch import KnownHistory, Mark, Member

SWEEP_THRESHOLD = 100_000  # number of records above which expired ones are removed


class MemoryStorage:
    """A `Storage` in dictionaries."""

    def __init__(self) -> None:
        self.run_id = secrets.token_hex(20)
        self._mark: Mark | None = None
        self._members: dict[str, Member] = {}
        self.records: dict[str, Record] = {}

    def mark(self) -> Mark | None:
        return self._mark

    def set_mark(self, mark: Mark) -> None:
        self._mark = mark

    def members(self) -> dict[str, Member]:
        return self._members

    def set_members(self, members: Mapping[str, Member]) -> None:
        self._members = dict(members)

    def get(self, key: str) -> Record | None:
        return self.records.get(key)

    def put(self, key: str, record: Record | None) -> None:
        if record is None:
            self.records.pop(key, None)
        else:
            self.records[key] = record


class MemoryStore:
    """A `Store` whose contents end with the process."""

    def __init__(self, trust: TrustPolicy, now: Callable[[], datetime] = lambda: datetime.now(UTC)) -> None:
        self._trust, self._now, self.storage = trust, now, MemoryStorage()

    def _steps(self) -> Steps:
        now = self._now()
        if len(self.storage.records) > SWEEP_THRESHOLD:
            self.storage.records = {k: r for k, r in self.storage.records.items() if life.unexpired(r, now)}
        return Steps(self.storage, self._trust, now)

    async def read_history(self) -> Reply:
        return self._steps().read_history()

    async def begin_history(
        self, generation: str, highest_token: int, expected_generation: str, trusted: bool
    ) -> Reply:
        return self._steps().begin_history(generation, highest_token, expected_generation, trusted)

    async def join_history(
        self, history: KnownHistory, member: Member, records: Mapping[str, Record]
    ) -> Reply:
        return self._steps().join_history(history, member, records)

    async def claim(self, history: KnownHistory, claim_request: ClaimRequest) -> Reply:
        return self._steps().claim(history, claim_request)

    async def renew(self, history: KnownHistory, key: str, token: int, lease: timedelta) -> Reply:
        return self._steps().renew(history, key, token, lease)

    async def settle(self, history: KnownHistory, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        return self._steps().settle(history, key, token, phase, result)

    async def release(self, history: KnownHistory, key: str, token: int) -> Reply:
        return self._steps().release(history, key, token)

    async def close(self) -> None:
        pass
