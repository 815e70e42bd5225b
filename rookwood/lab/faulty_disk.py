"""A control machine's storages whose disk is full, slow, stalled or torn at a test's word."""

from __future__ import annotations

import errno
import os
import threading
from pathlib import Path
from typing import Any

from rookwood.controlplane.presence_storage import PresenceChanges, PresenceStorage
from rookwood.coordination.document import Record
from rookwood.coordination.slot_storage import Content, SlotStorage
from rookwood.coordination.storage import SLOT_FILES, Storage


class DiskFaults(SlotStorage[Content]):
    """Faults in the way of each write of a storage, which is the next class in the order of its subclasses.

    The faults are set from any thread. They hold until they are taken back, but for a torn write, which
    happens once.
    """

    def __init__(self, *arguments: Any) -> None:
        """`arguments`: those of the storage."""
        super().__init__(*arguments)
        self.full = False
        self.delay = 0.0
        self.writes_begun = 0
        self.writes_refused = 0
        self._tear_next = False
        self._running = threading.Event()
        self._running.set()
        self._never = threading.Event()

    def stall(self) -> None:
        """Let writes hang until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Let writes that hang go on."""
        self._running.set()

    def tear_next_write(self) -> None:
        """Let the next write reach the disk in part, and fail."""
        self._tear_next = True

    def _write(self, slot: str, packed: bytes) -> None:
        self.writes_begun += 1
        self._running.wait()
        if self.delay:
            self._never.wait(self.delay)
        if self.full:
            self.writes_refused += 1
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super()._write(slot, packed)

    def _sync(self, slot: str) -> None:
        super()._sync(slot)
        if self._tear_next and slot == self.next_slot:
            self._tear_next = False
            self.close()
            tear_file(self._path(slot))
            raise OSError(errno.EIO, os.strerror(errno.EIO))


class FaultyStorage(DiskFaults[Record], Storage):
    """The storage of a member of the control group, with faults."""

    def __init__(self, directory: str, disk_mb: int) -> None:
        super().__init__(directory, disk_mb)


class FaultyPresenceStorage(DiskFaults[PresenceChanges], PresenceStorage):
    """The storage of presence changes, with faults."""

    def __init__(self, directory: str) -> None:
        super().__init__(directory)


def tear_file(path: Path) -> None:
    """Replace the second half of a file by zeros, as a loss of power may leave a write."""
    content = path.read_bytes()
    half = len(content) // 2
    path.write_bytes(content[:half] + bytes(len(content) - half))


def tear_slot_in_turn(directory: str, disk_mb: int) -> None:
    """Tear the file that the next write would go to, as when power is lost in the middle of a write."""
    storage = Storage(directory, disk_mb)
    storage.load()
    slot = storage.next_slot
    storage.close()
    if (Path(directory) / slot).exists():
        tear_file(Path(directory) / slot)


def disk_bytes(directory: str) -> int:
    """The size of a storage's files."""
    paths = [Path(directory) / slot for slot in SLOT_FILES]
    return sum(path.stat().st_size for path in paths if path.exists())
