"""The interface of the ledger's stores. Each call is one atomic step, timed by the store's own clock.

Every step except `read_history` and `begin_history` carries the history that its caller knows, and is not
applied to another one: a claim made on a history that has gone back could hide the record that was lost.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from rookwood.ledger import life
from rookwood.ledger.life import ClaimRequest, ClaimResult, Phase, Record, Verdict
from rookwood.ledger.watch import History, KnownHistory, Mark, Member, is_absent_key_free, new_mark


class StoreError(ConnectionError):
    """The step failed, and may or may not have been applied; the text names the store and the reason."""


class NotAppliedError(StoreError):
    """The step was certainly not applied: the circuit breaker is open, or no leader took it."""


@dataclass(frozen=True, slots=True)
class Reply:
    """The store's reply to a step, with its history. Sent under these field names."""

    run_id: str  # of the server, or of the file or process that holds the data
    mark: Mark | None  # None: the store is empty
    now: datetime
    said: ClaimResult | None = None  # result of a claim
    done: bool = False  # the step was applied; for a claim: it was granted


@dataclass(frozen=True, slots=True)
class TrustPolicy:
    """When a key without a record counts as free: see `is_absent_key_free`."""

    size: int  # number of dispatchers that must vouch
    window: timedelta  # the longest time that a request may run, plus the time that clients may retry


class Store(Protocol):
    """A store that several dispatchers share. A call that fails raises `StoreError` within the timeout."""

    async def read_history(self) -> Reply:
        """Returns the current history and changes nothing."""

    async def begin_history(
        self, generation: str, highest_token: int, expected_generation: str, trusted: bool
    ) -> Reply:
        """Begins a new history if the store is still of `expected_generation` ("" for an empty store).

        `highest_token` is the highest token that the caller knows. `trusted` says that no record can have
        been lost, because none was ever written.
        """

    async def join_history(
        self, history: KnownHistory, member: Member, records: Mapping[str, Record]
    ) -> Reply:
        """Restores the records of one member, except over a higher token, and lists it as vouching."""

    async def claim(self, history: KnownHistory, claim_request: ClaimRequest) -> Reply:
        """Claims a key; `Reply.said` holds the result."""

    async def renew(self, history: KnownHistory, key: str, token: int, lease: timedelta) -> Reply:
        """Extends the lease of a claim."""

    async def settle(self, history: KnownHistory, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        """Writes the outcome of a claimed request."""

    async def release(self, history: KnownHistory, key: str, token: int) -> Reply:
        """Frees the key of a request that certainly never ran."""

    async def close(self) -> None: ...


class Storage(Protocol):
    """The data of a store. `Steps` reads and writes it, each step in one transaction."""

    run_id: str

    def mark(self) -> Mark | None: ...

    def set_mark(self, mark: Mark) -> None: ...

    def members(self) -> dict[str, Member]: ...

    def set_members(self, members: Mapping[str, Member]) -> None: ...

    def get(self, key: str) -> Record | None: ...

    def put(self, key: str, record: Record | None) -> None: ...


class Steps:
    """The steps of a store, on any `Storage`. `script.lua` does the same in Redis; one contract tests all."""

    def __init__(self, storage: Storage, trust: TrustPolicy, now: datetime) -> None:
        self._storage, self._trust, self._now = storage, trust, now

    def _reply(self, result: ClaimResult | None = None, done: bool = False) -> Reply:
        return Reply(self._storage.run_id, self._storage.mark(), self._now, result, done)

    def _is_known_history(self, history: KnownHistory) -> bool:
        mark = self._storage.mark()
        return mark is not None and history.compare(self._storage.run_id, mark) is History.SAME

    def read_history(self) -> Reply:
        return self._reply()

    def begin_history(
        self, generation: str, highest_token: int, expected_generation: str, trusted: bool
    ) -> Reply:
        old = self._storage.mark()
        if (old.generation if old else "") != expected_generation:
            return self._reply()
        mark = new_mark(old, generation, self._storage.run_id, highest_token, self._now, trusted)
        self._storage.set_mark(mark)
        self._storage.set_members({})
        return self._reply(done=True)

    def join_history(self, history: KnownHistory, member: Member, records: Mapping[str, Record]) -> Reply:
        if not self._is_known_history(history):
            return self._reply()
        for key, record in records.items():
            current = life.unexpired(self._storage.get(key), self._now)
            if life.unexpired(record, self._now) and (current is None or current.token < record.token):
                self._storage.put(key, record)
        self._storage.set_members(self._storage.members() | {member.name: member})
        return self._reply(done=True)

    def claim(self, history: KnownHistory, claim_request: ClaimRequest) -> Reply:
        mark, record = self._storage.mark(), life.unexpired(self._storage.get(claim_request.key), self._now)
        if mark is None or not self._is_known_history(history):
            return self._reply(ClaimResult(Verdict.UNSURE))
        window = self._trust.window
        if record is None and not is_absent_key_free(
            mark, self._storage.members(), self._trust.size, window, self._now
        ):
            return self._reply(ClaimResult(Verdict.UNSURE, wait=mark.began + window - self._now))
        after, result = life.claim(record, claim_request, mark.count + 1, self._now)
        if after is not None and after != record:
            if record is None:
                self._storage.set_mark(mark.with_count(after.token))
            self._storage.put(claim_request.key, after)
        return self._reply(result, result.verdict is Verdict.GRANTED)

    def renew(self, history: KnownHistory, key: str, token: int, lease: timedelta) -> Reply:
        after, done = life.renew(self._storage.get(key), token, lease, self._now)
        return self._apply(history, key, after, done)

    def settle(self, history: KnownHistory, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        after, done = life.settle(self._storage.get(key), token, phase, result, self._now)
        return self._apply(history, key, after, done)

    def release(self, history: KnownHistory, key: str, token: int) -> Reply:
        after, done = life.release(self._storage.get(key), token, self._now)
        return self._apply(history, key, after, done)

    def _apply(self, history: KnownHistory, key: str, after: Record | None, done: bool) -> Reply:
        done = done and self._is_known_history(history)
        if done:
            self._storage.put(key, after)
        return self._reply(done=done)
