"""Keeps the drains and deregistrations that this control machine has learned on its disk.

A control machine acknowledges a presence change, to a worker or to another control machine, only once it is
synced here. The whole list is written at once: while one write is under way, further changes wait for the
next one, so that hundreds of workers that leave together cost a few writes. A write that fails is repeated.

The list is bounded by a number and by an age. Ids are never reused and heartbeats are late by seconds, so a
change matters only for a while. The age counts from when this process learned or loaded the change.
"""

from __future__ import annotations

import asyncio
import logging
import threading
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from rookwood.cluster.workers import MAX_DELETED, PresenceChange
from rookwood.controlplane.presence_storage import PresenceChanges, PresenceStorage
from rookwood.coordination.slot_storage import Empty, Found, LoadOutcome, load_with_retries
from rookwood.coordination.storage_thread import StorageThread

logger = logging.getLogger("rookwood")

MAX_CHANGES = MAX_DELETED  # the oldest is dropped beyond this number
RETENTION = 3600.0  # seconds
RETRY_DELAY = 0.25  # seconds from a failed write to the next one
CLOSE_TIMEOUT = 0.5  # seconds for which a stopping process waits for its disk

OnStored = Callable[[str, PresenceChange], None]
"""Called with the machine that asked for a change to be stored, and the change, once it is synced."""


@dataclass(slots=True, eq=False)
class Entry:
    """The newest change of one worker, whether it is synced, and who waits for which of its changes."""

    deleted: bool
    learned_at: float
    stored: bool = False
    waiting: set[tuple[str, PresenceChange]] = field(default_factory=set)


class PresenceStore:
    """The presence changes in memory and on disk, and those who wait until a change is synced."""

    def __init__(self, storage: PresenceStorage, on_stored: OnStored) -> None:
        self._storage = storage
        self._on_stored = on_stored
        self._thread = StorageThread("presence-storage")
        self._stop_loading = threading.Event()
        self._entries: OrderedDict[str, Entry] = OrderedDict()
        self._changed = asyncio.Event()
        self._failing = False
        self.write_failures = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def unstored_count(self) -> int:
        """How many changes are not synced yet."""
        return sum(not entry.stored for entry in self._entries.values())

    async def load(self) -> PresenceChanges:
        """Load the stored changes.

        They may be in the page cache only, so none counts as synced before the first write of this process.
        """
        outcome: LoadOutcome[PresenceChanges] = await self._thread.run(
            load_with_retries, self._storage, self._stop_loading
        )
        if not isinstance(outcome, Found):
            if not isinstance(outcome, Empty):
                faults = [f"{fault.slot}: {fault.kind.value}: {fault.detail}" for fault in outcome.faults]
                logger.error("stored presence changes lost", extra={"faults": faults})
            return ()
        for change in outcome.record:
            self._put(change)
        return outcome.record

    async def run(self) -> None:
        """Write the changes as they come, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not await self._write():
                self._changed.set()
                await asyncio.sleep(RETRY_DELAY)

    async def close(self) -> None:
        """Close the storage after the write under way; leave it open if the disk hangs."""
        self._stop_loading.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT):
                await self._thread.run(self._storage.close)
        self._thread.close()

    def is_stored(self, change: PresenceChange) -> bool:
        """Whether a change is synced here, or one that follows it."""
        entry = self._entries.get(change.worker)
        return entry is not None and entry.stored and (entry.deleted or not change.deleted)

    def add(self, change: PresenceChange, machine: str) -> None:
        """Store a change for a machine, and tell it once the change is synced, but never before returning."""
        if self.is_stored(change):
            asyncio.get_running_loop().call_soon(self._on_stored, machine, change)
            return
        self._put(change).waiting.add((machine, change))

    def expire(self, now: float, is_known: Callable[[str], bool]) -> tuple[str, ...]:
        """Drop and return the workers whose changes are too old and which are not known any more."""
        expired = []
        while self._entries:
            worker, entry = next(iter(self._entries.items()))
            if now - entry.learned_at <= RETENTION:
                break
            if is_known(worker):
                entry.learned_at = now
                self._entries.move_to_end(worker)
                continue
            del self._entries[worker]
            expired.append(worker)
        if expired:
            self._changed.set()
        return tuple(expired)

    def _put(self, change: PresenceChange) -> Entry:
        """Return the entry of a change, which is new if the change is."""
        known = self._entries.get(change.worker)
        if known is not None and (known.deleted or not change.deleted):
            return known
        entry = Entry(change.deleted, asyncio.get_running_loop().time())
        if known is not None:
            entry.waiting = known.waiting
            del self._entries[change.worker]
        self._entries[change.worker] = entry
        if len(self._entries) > MAX_CHANGES:
            self._entries.popitem(last=False)
        self._changed.set()
        return entry

    async def _write(self) -> bool:
        """Write all changes, and tell those who wait for them; returns whether that succeeded."""
        written = dict(self._entries)
        changes = tuple(PresenceChange(worker, entry.deleted) for worker, entry in written.items())
        succeeded = await self._thread.run(self._storage.save, changes)
        self._record_outcome(succeeded)
        if succeeded:
            for entry in written.values():
                self._mark_stored(entry)
        return succeeded

    def _mark_stored(self, entry: Entry) -> None:
        """Tell those who wait for changes that the entry covers.

        An entry that was replaced in the meantime shares the set of its successor, whose later change stays.
        """
        entry.stored = True
        if not entry.waiting:
            return
        covered = {item for item in entry.waiting if entry.deleted or not item[1].deleted}
        entry.waiting -= covered
        for machine, change in covered:
            self._on_stored(machine, change)

    def _record_outcome(self, succeeded: bool) -> None:
        if not succeeded:
            self.write_failures += 1
        if succeeded is self._failing:
            self._failing = not succeeded
            message = "presence changes not stored" if self._failing else "presence changes stored again"
            logger.log(logging.ERROR if self._failing else logging.INFO, message)
