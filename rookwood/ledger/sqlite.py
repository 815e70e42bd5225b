"""A store in one SQLite file in WAL mode, for the dispatchers of one machine with a persistent disk.

Each step is one IMMEDIATE transaction, so processes take turns. With `synchronous=FULL` acknowledged steps
survive a power loss. The run id is generated with the file and also kept beside it, in FILE.run. An operator
who restores an old copy of the file removes FILE.run; the store then gets a new run id, and
`KnownHistory.compare` reports a broken history.
Source: sqlite.org/wal.html, sqlite.org/pragma.html#pragma_synchronous.
"""

from __future__ import annotations

import asyncio
import secrets
import sqlite3
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime, timedelta
from pathlib import Path

from rookwood.ledger.life import ClaimRequest, Phase, Record
from rookwood.ledger.store import Reply, Steps, StoreError, TrustPolicy
from rookwood.ledger.watch import KnownHistory, Mark, Member

SCHEMA = """
CREATE TABLE IF NOT EXISTS store (one INTEGER PRIMARY KEY CHECK (one = 1), run_id TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS mark (one INTEGER PRIMARY KEY CHECK (one = 1), generation TEXT, run_id TEXT,
    count INTEGER, began REAL, trusted INTEGER);
CREATE TABLE IF NOT EXISTS members (name TEXT PRIMARY KEY, alive_since REAL NOT NULL);
CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, nonce TEXT NOT NULL,
    token INTEGER NOT NULL, phase TEXT NOT NULL, lease_until REAL NOT NULL, last_end REAL NOT NULL,
    kept_until REAL NOT NULL, result BLOB NOT NULL);
CREATE INDEX IF NOT EXISTS kept ON records (kept_until);
"""
SWEEP = 64  # expired records are removed once in this many claims


def moment(seconds: float) -> datetime:
    return datetime.fromtimestamp(seconds, UTC)


class SqliteStorage:
    """A `Storage` within one transaction."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db
        (self.run_id,) = db.execute("SELECT run_id FROM store").fetchone()

    def mark(self) -> Mark | None:
        row = self._db.execute("SELECT generation, run_id, count, began, trusted FROM mark").fetchone()
        return Mark(row[0], row[1], row[2], moment(row[3]), bool(row[4])) if row else None

    def set_mark(self, mark: Mark) -> None:
        values = (mark.generation, mark.run_id, mark.count, mark.began.timestamp(), mark.trusted)
        self._db.execute("INSERT OR REPLACE INTO mark VALUES (1, ?, ?, ?, ?, ?)", values)

    def members(self) -> dict[str, Member]:
        rows = self._db.execute("SELECT name, alive_since FROM members")
        return {name: Member(name, moment(since)) for name, since in rows}

    def set_members(self, members: Mapping[str, Member]) -> None:
        self._db.execute("DELETE FROM members")
        rows = [(m.name, m.alive_since.timestamp()) for m in members.values()]
        self._db.executemany("INSERT INTO members VALUES (?, ?)", rows)

    def get(self, key: str) -> Record | None:
        row = self._db.execute(
            "SELECT fingerprint, nonce, token, phase, lease_until, last_end, kept_until, result"
            " FROM records WHERE key = ?",
            (key,),
        ).fetchone()
        if row is None:
            return None
        fingerprint, nonce, token, phase, lease, last, kept, result = row
        times = (moment(lease), moment(last), moment(kept))
        return Record(fingerprint, nonce, token, Phase(phase), *times, bytes(result))

    def put(self, key: str, record: Record | None) -> None:
        if record is None:
            self._db.execute("DELETE FROM records WHERE key = ?", (key,))
            return
        times = (t.timestamp() for t in (record.lease_until, record.last_end, record.kept_until))
        names = (key, record.fingerprint, record.nonce, record.token, record.phase.value)
        values = (*names, *times, record.result)
        self._db.execute("INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", values)


class SqliteStore:
    """A `Store` in a file. One thread uses its connection, so a slow disk never blocks the event loop."""

    def __init__(
        self,
        path: Path,
        trust: TrustPolicy,
        timeout: timedelta = timedelta(seconds=1),
        now: Callable[[], datetime] = lambda: datetime.now(UTC),
    ) -> None:
        self._path, self._trust, self._timeout, self._now = path, trust, timeout, now
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="ledger")
        self._db: sqlite3.Connection | None = None
        self._claims = 0

    def _open(self) -> sqlite3.Connection:
        if self._db is None:
            seconds = self._timeout.total_seconds()
            db = sqlite3.connect(self._path, seconds, isolation_level=None, check_same_thread=False)
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.executescript(SCHEMA)
            run_id_path = self._path.with_name(self._path.name + ".run")
            db.execute("BEGIN IMMEDIATE")
            row = db.execute("SELECT run_id FROM store").fetchone()
            if row is None or not run_id_path.exists() or run_id_path.read_text() != row[0]:
                run_id = secrets.token_hex(20)
                run_id_path.write_text(run_id)
                db.execute("INSERT OR REPLACE INTO store VALUES (1, ?)", (run_id,))
            db.execute("COMMIT")
            self._db = db
        return self._db

    def _run_transaction(self, step: Callable[[Steps], Reply]) -> Reply:
        db = self._open()
        db.execute("BEGIN IMMEDIATE")
        try:
            now = self._now()
            reply = step(Steps(SqliteStorage(db), self._trust, now))
            self._claims += reply.said is not None
            if reply.said and self._claims % SWEEP == 0:
                db.execute("DELETE FROM records WHERE kept_until <= ?", (now.timestamp(),))
        except BaseException:
            db.execute("ROLLBACK")
            raise
        db.execute("COMMIT")
        return reply

    async def _run_in_thread(self, step: Callable[[Steps], Reply]) -> Reply:
        try:
            return await asyncio.get_running_loop().run_in_executor(self._thread, self._run_transaction, step)
        except (sqlite3.Error, OSError) as error:
            raise StoreError(f"{self._path}: {error}") from None

    async def read_history(self) -> Reply:
        return await self._run_in_thread(lambda steps: steps.read_history())

    async def begin_history(
        self, generation: str, highest_token: int, expected_generation: str, trusted: bool
    ) -> Reply:
        return await self._run_in_thread(
            lambda steps: steps.begin_history(generation, highest_token, expected_generation, trusted)
        )

    async def join_history(
        self, history: KnownHistory, member: Member, records: Mapping[str, Record]
    ) -> Reply:
        return await self._run_in_thread(lambda steps: steps.join_history(history, member, records))

    async def claim(self, history: KnownHistory, claim_request: ClaimRequest) -> Reply:
        return await self._run_in_thread(lambda steps: steps.claim(history, claim_request))

    async def renew(self, history: KnownHistory, key: str, token: int, lease: timedelta) -> Reply:
        return await self._run_in_thread(lambda steps: steps.renew(history, key, token, lease))

    async def settle(self, history: KnownHistory, key: str, token: int, phase: Phase, result: bytes) -> Reply:
        return await self._run_in_thread(lambda steps: steps.settle(history, key, token, phase, result))

    async def release(self, history: KnownHistory, key: str, token: int) -> Reply:
        return await self._run_in_thread(lambda steps: steps.release(history, key, token))

    async def close(self) -> None:
        def work() -> None:
            if self._db:
                self._db.close()

        await asyncio.get_running_loop().run_in_executor(self._thread, work)
        self._thread.shutdown(wait=False)
