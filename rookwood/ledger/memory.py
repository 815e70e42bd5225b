"""A store in this process, for a single dispatcher and for tests: what it holds ends with the process."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from datetime import UTC, datetime, timedelta

from rookwood.ledger import life
from rookwood.ledger.life import Ask, Phase, Record
from rookwood.ledger.store import Reply, Steps, Tier
from rookwood.ledger.watch import Mark, Member, Watch

MOST = 100_000  # records, before those that are kept no longer are let go


class MemoryBook:
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
    def __init__(self, tier: Tier, now: Callable[[], datetime] = lambda: datetime.now(UTC)) -> None:
        self._tier, self._now, self.book = tier, now, MemoryBook()

    def _steps(self) -> Steps:
        now = self._now()
        if len(self.book.records) > MOST:
            self.book.records = {k: r for k, r in self.book.records.items() if life.live(r, now)}
        return Steps(self.book, self._tier, now)

    async def look(self) -> Reply:
        return self._steps().look()

    async def begin(self, generation: str, known: int, seen: str, trusted: bool) -> Reply:
        return self._steps().begin(generation, known, seen, trusted)

    async def join(self, seen: Watch, member: Member, records: Mapping[str, Record]) -> Reply:
        return self._steps().join(seen, member, records)

    async def claim(self, seen: Watch, ask: Ask) -> Reply:
        return self._steps().claim(seen, ask)

    async def renew(self, seen: Watch, key: str, token: int, lease: timedelta) -> Reply:
        return self._steps().renew(seen, key, token, lease)

    async def settle(self, seen: Watch, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        return self._steps().settle(seen, key, token, phase, result)

    async def release(self, seen: Watch, key: str, token: int) -> Reply:
        return self._steps().release(seen, key, token)

    async def close(self) -> None:
        pass
