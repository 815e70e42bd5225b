"""What a ledger's store does, whichever it is. Each call is one atomic step by the store's own clock.

Every step but `look` and `begin` names the history that its caller knows, and is not taken on another one: a
claim that is made on a history which has gone back could hide the record that was lost.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from rookwood.ledger import life
from rookwood.ledger.life import Ask, Phase, Record, Said, Verdict
from rookwood.ledger.watch import History, Mark, Member, Watch, new_mark, trusts


class StoreError(ConnectionError):
    """The store did not take the step, or nobody knows whether it did; the text names the store and why."""


class NotTakenError(StoreError):
    """It is certain that the step was not taken, and that was known at once."""


@dataclass(frozen=True, slots=True)
class Reply:
    run_id: str
    mark: Mark | None  # None: the store is empty
    now: datetime
    said: Said | None = None  # of a claim
    done: bool = False


@dataclass(frozen=True, slots=True)
class Tier:
    """What decides whether a key without a record is free."""

    size: int  # dispatchers that must vouch
    window: timedelta  # the longest last end, and so long as clients may retry


class Store(Protocol):
    """Raises `StoreError` from every call, within its time-out."""

    async def look(self) -> Reply:
        """The history as it is."""

    async def begin(self, generation: str, known: int, seen: str, trusted: bool) -> Reply:
        """Begins a new history if `seen` is still the generation ("" for an empty store). `known`: the
        highest token here; `trusted`: nothing can have been lost, since nothing was ever there."""

    async def join(self, seen: Watch, member: Member, records: Mapping[str, Record]) -> Reply:
        """Writes claims and outcomes again where no higher token stands, then lets the member vouch."""

    async def claim(self, seen: Watch, ask: Ask) -> Reply: ...

    async def renew(self, seen: Watch, key: str, token: int, lease: timedelta) -> Reply: ...

    async def settle(self, seen: Watch, key: str, token: int, phase: Phase, result: bytes) -> Reply: ...

    async def release(self, seen: Watch, key: str, token: int) -> Reply: ...

    async def close(self) -> None: ...


class Book(Protocol):
    """Where the steps below read and write; each runs in one transaction of it."""

    run_id: str

    def mark(self) -> Mark | None: ...

    def set_mark(self, mark: Mark) -> None: ...

    def members(self) -> dict[str, Member]: ...

    def set_members(self, members: Mapping[str, Member]) -> None: ...

    def get(self, key: str) -> Record | None: ...

    def put(self, key: str, record: Record | None) -> None: ...


class Steps:
    """The steps on any `Book`. `script.lua` says the same to Redis, and one contract tests all."""

    def __init__(self, book: Book, tier: Tier, now: datetime) -> None:
        self._book, self._tier, self._now = book, tier, now

    def _reply(self, said: Said | None = None, done: bool = False) -> Reply:
        return Reply(self._book.run_id, self._book.mark(), self._now, said, done)

    def _same(self, seen: Watch) -> bool:
        mark = self._book.mark()
        return mark is not None and seen.judge(self._book.run_id, mark) is History.SAME

    def look(self) -> Reply:
        return self._reply()

    def begin(self, generation: str, known: int, seen: str, trusted: bool) -> Reply:
        old = self._book.mark()
        if (old.generation if old else "") != seen:
            return self._reply()
        mark = new_mark(old, generation, self._book.run_id, known, self._now, trusted)
        self._book.set_mark(mark)
        self._book.set_members({})
        return self._reply(done=True)

    def join(self, seen: Watch, member: Member, records: Mapping[str, Record]) -> Reply:
        if not self._same(seen):
            return self._reply()
        for key, record in records.items():
            stands = life.live(self._book.get(key), self._now)
            if life.live(record, self._now) and (stands is None or stands.token < record.token):
                self._book.put(key, record)
        self._book.set_members(self._book.members() | {member.name: member})
        return self._reply(done=True)

    def claim(self, seen: Watch, ask: Ask) -> Reply:
        mark, record = self._book.mark(), life.live(self._book.get(ask.key), self._now)
        if mark is None or not self._same(seen):
            return self._reply(Said(Verdict.UNSURE))
        window = self._tier.window
        if record is None and not trusts(mark, self._book.members(), self._tier.size, window, self._now):
            return self._reply(Said(Verdict.UNSURE, wait=mark.began + window - self._now))
        after, said = life.claim(record, ask, mark.count + 1, self._now)
        if after is not None and after != record:
            if record is None:
                self._book.set_mark(mark.counted(after.token))
            self._book.put(ask.key, after)
        return self._reply(said, said.verdict is Verdict.GRANTED)

    def renew(self, seen: Watch, key: str, token: int, lease: timedelta) -> Reply:
        after, done = life.renew(self._book.get(key), token, lease, self._now)
        return self._changed(seen, key, after, done)

    def settle(self, seen: Watch, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        after, done = life.settle(self._book.get(key), token, phase, result, self._now)
        return self._changed(seen, key, after, done)

    def release(self, seen: Watch, key: str, token: int) -> Reply:
        after, done = life.release(self._book.get(key), token, self._now)
        return self._changed(seen, key, after, done)

    def _changed(self, seen: Watch, key: str, after: Record | None, done: bool) -> Reply:
        done = done and self._same(seen)
        if done:
            self._book.put(key, after)
        return self._reply(done=done)
