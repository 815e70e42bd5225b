"""Durable storage of one record in two lmdb environments that are written alternately.

The environment with the newest record is not touched while the next record is written, so a torn write leaves
the previous record intact. Each record has a serial number and a checksum. A marker file shows that a record
was stored at least once, so that a disk with corrupt files is never mistaken for a new one.
"""

import enum
import os
import threading
import zlib
from abc import ABC, abstractmethod
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

import lmdb

from rookwood.coordination.lmdb_header import FileForm, inspect_file

RECORD_KEY = b"record"
CHECKSUM_BYTES = 4
SERIAL_BYTES = 8
READ_ATTEMPTS = 20  # to read a storage that is inaccessible when the process starts
READ_RETRY_DELAY = 0.25  # seconds between two of these attempts

Content = TypeVar("Content")


class RecordDecodeError(Exception):
    """The bytes are not a record, or one of an unknown version."""


@dataclass(frozen=True)
class SlotNames:
    """The names of the two files of a storage, and of its marker."""

    first: str
    second: str
    marker: str

    @property
    def slots(self) -> tuple[str, str]:
        """The names of the two files."""
        return self.first, self.second

    def other(self, slot: str) -> str:
        """The name of the file beside this one."""
        return self.second if slot == self.first else self.first


class FaultKind(enum.Enum):
    """Why a file did not yield a record."""

    TORN = "torn"
    FOREIGN = "foreign"
    OTHER_VERSION = "other version"
    INACCESSIBLE = "inaccessible"


@dataclass(frozen=True)
class SlotFault:
    """The fault of one of the two files."""

    slot: str
    kind: FaultKind
    detail: str


@dataclass(frozen=True)
class Found(Generic[Content]):
    """The newest stored record was read."""

    record: Content


@dataclass(frozen=True)
class Empty:
    """No write was ever completed here."""


@dataclass(frozen=True)
class Lost:
    """A record was stored here but cannot be read any more, or the files are not those of a storage."""

    faults: tuple[SlotFault, ...]


@dataclass(frozen=True)
class Inaccessible:
    """The files cannot be read at present, so their content is unknown."""

    faults: tuple[SlotFault, ...]


LoadOutcome = Found[Content] | Empty | Lost | Inaccessible

# The errors that lmdb raises for a corrupt file, as opposed to a failing disk.
_CORRUPTION_ERRORS = (
    lmdb.BadTxnError,
    lmdb.CorruptedError,
    lmdb.CursorFullError,
    lmdb.IncompatibleError,
    lmdb.InvalidError,
    lmdb.InvalidParameterError,
    lmdb.PageFullError,
    lmdb.PageNotFoundError,
    lmdb.PanicError,
    lmdb.TxnFullError,
    lmdb.VersionMismatchError,
)


@dataclass(frozen=True)
class _SlotRecord(Generic[Content]):
    """The record in a file, and its serial number."""

    serial: int
    record: Content


class SlotStorage(ABC, Generic[Content]):
    """Stores one record on disk; must be used by one thread at a time."""

    def __init__(self, directory: str, names: SlotNames, map_bytes: int) -> None:
        """`map_bytes`: the largest size of each of the two files."""
        self._directory = Path(directory)
        self._names = names
        self._map_bytes = map_bytes
        self._environments: dict[str, lmdb.Environment] = {}
        self._directory_synced_slots: set[str] = set()
        self._corrupt_slots: set[str] = set()
        self._unsynced_slot: str | None = None
        self._next_slot = names.first
        self._serial = 0

    @abstractmethod
    def _encode(self, record: Content) -> bytes:
        """Return the stored encoding of a record."""

    @abstractmethod
    def _decode(self, stored: bytes) -> Content:
        """Return the record with this stored encoding; raises `RecordDecodeError`."""

    @property
    def next_slot(self) -> str:
        """The file to which the next write goes; its present content is not needed."""
        return self._next_slot

    def load(self) -> LoadOutcome[Content]:
        """Return the newest stored record, or why there is none.

        A file that cannot be read at present may hold the newest record, so the other file is not used then.
        A torn file beside an intact one is an interrupted write. A single torn file without the marker is an
        interrupted first write, so nothing was acknowledged yet.
        """
        try:
            existing = [slot for slot in self._names.slots if self._path(slot).exists()]
            has_marker = (self._directory / self._names.marker).exists()
        except OSError as error:
            return Inaccessible((SlotFault(self._names.marker, FaultKind.INACCESSIBLE, str(error)),))
        results = [(slot, self._read(slot)) for slot in existing]
        faults = tuple(result for _, result in results if isinstance(result, SlotFault))
        self._corrupt_slots |= {fault.slot for fault in faults}
        if any(fault.kind is FaultKind.INACCESSIBLE for fault in faults):
            return Inaccessible(faults)
        records = [
            (result.serial, slot, result.record)
            for slot, result in results
            if isinstance(result, _SlotRecord)
        ]
        if records:
            self._serial, newest, record = max(records, key=lambda entry: entry[0])
            self._next_slot = self._names.other(newest)
            self._unsynced_slot = newest
            return Found(record)
        is_interrupted_first_write = all(fault.kind is FaultKind.TORN for fault in faults)
        if has_marker or len(existing) == len(self._names.slots) or not is_interrupted_first_write:
            return Lost(faults)
        return Empty()

    def save(self, record: Content) -> bool:
        """Store and sync the record, and return whether that succeeded.

        After a failure the environments are closed, and opened again by the next access.
        """
        slot = self._next_slot
        try:
            self._write(slot, self._pack(self._serial + 1, record))
        except _CORRUPTION_ERRORS:
            self._corrupt_slots.add(slot)
            self.close()
            return False
        except (lmdb.Error, OSError):
            self.close()
            return False
        self._serial += 1
        self._next_slot = self._names.other(slot)
        return True

    def close(self) -> None:
        """Close the environments."""
        environments = list(self._environments.values())
        self._environments.clear()
        for environment in environments:
            with suppress(lmdb.Error):
                environment.close()

    def _write(self, slot: str, packed: bytes) -> None:
        self._sync_loaded_record()
        with self._open_or_replace(slot).begin(write=True) as transaction:
            transaction.put(RECORD_KEY, packed)
        self._sync(slot)
        if slot not in self._directory_synced_slots:
            self._write_marker()
            _sync_directory(self._directory)
            self._directory_synced_slots.add(slot)

    def _sync_loaded_record(self) -> None:
        """Sync the record that was loaded, before the older one is overwritten.

        The previous process may have been killed between the write and its sync. The loaded record may then
        be in the page cache only, and a loss of power would leave nothing but the older record.
        """
        if self._unsynced_slot is not None:
            self._sync(self._unsynced_slot)
            _sync_directory(self._directory)
            self._unsynced_slot = None

    def _sync(self, slot: str) -> None:
        """Sync a file, including its header.

        lmdb syncs the header on commit only by the open flags of a second descriptor, and not at all with
        `metasync=False`.
        """
        self._open(slot).sync(True)

    def _write_marker(self) -> None:
        """Create the marker file; the record has been synced by now."""
        path = self._directory / self._names.marker
        if path.exists():
            return
        with path.open("wb") as marker:
            os.fsync(marker.fileno())

    def _read(self, slot: str) -> _SlotRecord[Content] | SlotFault:
        path = self._path(slot)
        try:
            form = inspect_file(path)
            if form is FileForm.FOREIGN:
                return SlotFault(slot, FaultKind.FOREIGN, "not an lmdb file")
            if form is FileForm.CUT_SHORT:
                return SlotFault(slot, FaultKind.TORN, "shorter than its own header says")
            with self._open(slot).begin() as transaction:
                packed = transaction.get(RECORD_KEY)
        except _CORRUPTION_ERRORS as error:
            return SlotFault(slot, FaultKind.TORN, str(error))
        except (lmdb.Error, OSError) as error:
            return SlotFault(slot, FaultKind.INACCESSIBLE, str(error))
        if packed is None:
            return SlotFault(slot, FaultKind.TORN, "no record")
        return self._unpack(slot, bytes(packed))

    def _open_or_replace(self, slot: str) -> lmdb.Environment:
        """Open the environment to be written, replacing a corrupt file; its record is not needed any more.

        lmdb can often open a file with torn pages, but then rejects every write to it.
        """
        if slot in self._corrupt_slots:
            if slot in self._environments:
                self._environments.pop(slot).close()
            self._path(slot).unlink(missing_ok=True)
            self._corrupt_slots.discard(slot)
        return self._open(slot)

    def _open(self, slot: str) -> lmdb.Environment:
        if slot not in self._environments:
            _make_directory(self._directory)
            self._environments[slot] = lmdb.open(
                str(self._path(slot)), subdir=False, map_size=self._map_bytes, lock=False, metasync=False
            )
        return self._environments[slot]

    def _path(self, slot: str) -> Path:
        return self._directory / slot

    def _pack(self, serial: int, record: Content) -> bytes:
        body = serial.to_bytes(SERIAL_BYTES) + self._encode(record)
        return zlib.crc32(body).to_bytes(CHECKSUM_BYTES) + body

    def _unpack(self, slot: str, packed: bytes) -> _SlotRecord[Content] | SlotFault:
        body = packed[CHECKSUM_BYTES:]
        if zlib.crc32(body).to_bytes(CHECKSUM_BYTES) != packed[:CHECKSUM_BYTES]:
            return SlotFault(slot, FaultKind.TORN, "wrong checksum")
        try:
            record = self._decode(body[SERIAL_BYTES:])
        except RecordDecodeError as error:
            return SlotFault(slot, FaultKind.OTHER_VERSION, str(error))
        return _SlotRecord(int.from_bytes(body[:SERIAL_BYTES]), record)


def load_with_retries(storage: SlotStorage[Content], stop: threading.Event) -> LoadOutcome[Content]:
    """Load the record, retrying while the storage is inaccessible, until `stop` is set."""
    for _ in range(READ_ATTEMPTS):
        outcome = storage.load()
        if not isinstance(outcome, Inaccessible):
            return outcome
        storage.close()
        if stop.wait(READ_RETRY_DELAY):
            break
    return outcome


def _make_directory(directory: Path) -> None:
    if directory.exists():
        return
    _make_directory(directory.parent)
    directory.mkdir(exist_ok=True)
    _sync_directory(directory.parent)


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
