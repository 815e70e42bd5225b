"""The durable record of one member, kept in two lmdb environments that are written in turn.

The environment that holds the newest record is not touched while the next one is written, so a torn
write leaves the previous record whole. Each record carries a serial number and a checksum. A marker file
tells that a first record was once stored, so that a disk whose files are broken is never taken for a new one.
"""

import enum
import os
import zlib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import lmdb

from rookwood.coordination.codec import DecodeError, decode_record, encode_record
from rookwood.coordination.document import Record
from rookwood.coordination.lmdb_header import FileForm, inspect_file

RECORD_KEY = b"record"
SLOT_FILES = ("control-a.mdb", "control-b.mdb")
MARKER = "control-initialised"
CHECKSUM_BYTES = 4
SERIAL_BYTES = 8
MEGABYTE = 1 << 20
MAX_MAP_BYTES = 64 * MEGABYTE
MIN_MAP_BYTES = 2 * MEGABYTE


class FaultKind(enum.Enum):
    """Why no record was read from a file."""

    TORN = "torn"
    FOREIGN = "foreign"
    OTHER_VERSION = "other version"
    INACCESSIBLE = "inaccessible"


@dataclass(frozen=True)
class SlotFault:
    """What is wrong with one of the files."""

    slot: str
    kind: FaultKind
    detail: str


@dataclass(frozen=True)
class Found:
    """The newest stored record."""

    record: Record


@dataclass(frozen=True)
class Empty:
    """No write was ever finished here."""


@dataclass(frozen=True)
class Lost:
    """A record was stored here and cannot be read any more, or the files are not ours."""

    faults: tuple[SlotFault, ...]


@dataclass(frozen=True)
class Inaccessible:
    """The disk does not let its files be read at present; what they hold is not known."""

    faults: tuple[SlotFault, ...]


LoadOutcome = Found | Empty | Lost | Inaccessible

# What lmdb says of a file whose content is broken, as opposed to a disk that fails.
_BROKEN = (
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
class _Stored:
    serial: int
    record: Record


class Storage:
    """One record on disk; used by one thread at a time."""

    def __init__(self, directory: str, disk_mb: int) -> None:
        self._directory = Path(directory)
        map_bytes = disk_mb * MEGABYTE // (2 * len(SLOT_FILES))
        self._map_bytes = max(MIN_MAP_BYTES, min(MAX_MAP_BYTES, map_bytes))
        self._environments: dict[str, lmdb.Environment] = {}
        self._named: set[str] = set()
        self._broken: set[str] = set()
        self._found_slot: str | None = None
        self._next_slot = SLOT_FILES[0]
        self._serial = 0

    @property
    def next_slot(self) -> str:
        """The file that the next write goes to; it holds nothing that is needed."""
        return self._next_slot

    def load(self) -> LoadOutcome:
        """Return the newest stored record, or why there is none.

        A file that cannot be read at present may hold the newest record, so the other one then counts for
        nothing. A torn file beside a whole one is a write that was cut short. A single torn file is a first
        write that was cut short, as long as there is no marker: nothing had been acknowledged.
        """
        try:
            existing = [slot for slot in SLOT_FILES if self._path(slot).exists()]
            marked = (self._directory / MARKER).exists()
        except OSError as error:
            return Inaccessible((SlotFault(MARKER, FaultKind.INACCESSIBLE, str(error)),))
        read = [(slot, self._read(slot)) for slot in existing]
        faults = tuple(result for _, result in read if isinstance(result, SlotFault))
        self._broken |= {fault.slot for fault in faults}
        if any(fault.kind is FaultKind.INACCESSIBLE for fault in faults):
            return Inaccessible(faults)
        found = [(result.serial, slot, result.record) for slot, result in read if isinstance(result, _Stored)]
        if found:
            self._serial, newest, record = max(found, key=lambda entry: entry[0])
            self._next_slot = _other(newest)
            self._found_slot = newest
            return Found(record)
        first_write_cut_short = all(fault.kind is FaultKind.TORN for fault in faults)
        if marked or len(existing) == len(SLOT_FILES) or not first_write_cut_short:
            return Lost(faults)
        return Empty()

    def save(self, record: Record) -> bool:
        """Store the record and sync it; after a failure the environments are opened anew."""
        slot = self._next_slot
        try:
            self._write(slot, _pack(self._serial + 1, record))
        except _BROKEN:
            self._broken.add(slot)
            self.close()
            return False
        except (lmdb.Error, OSError):
            self.close()
            return False
        self._serial += 1
        self._next_slot = _other(slot)
        return True

    def close(self) -> None:
        """Close the environments."""
        environments = list(self._environments.values())
        self._environments.clear()
        for environment in environments:
            with suppress(lmdb.Error):
                environment.close()

    def _write(self, slot: str, packed: bytes) -> None:
        self._sync_found()
        with self._open_or_replace(slot).begin(write=True) as transaction:
            transaction.put(RECORD_KEY, packed)
        self._sync(slot)
        if slot not in self._named:
            self._mark()
            _sync_directory(self._directory)
            self._named.add(slot)

    def _sync_found(self) -> None:
        """Sync the record that was found, before the older one is overwritten.

        The process before may have been killed between the write and its sync. The record then stands on
        the disk only as far as this machine keeps its power, and the older one is all that is safe.
        """
        if self._found_slot is not None:
            self._sync(self._found_slot)
            _sync_directory(self._directory)
            self._found_slot = None

    def _sync(self, slot: str) -> None:
        """Sync a file; this covers lmdb's header too, which it leaves to the flags of a second descriptor."""
        self._open(slot).sync(True)

    def _mark(self) -> None:
        """Note that a record is stored; the record has been synced by now."""
        path = self._directory / MARKER
        if path.exists():
            return
        with path.open("wb") as marker:
            os.fsync(marker.fileno())

    def _read(self, slot: str) -> _Stored | SlotFault:
        path = self._path(slot)
        try:
            form = inspect_file(path)
            if form is FileForm.FOREIGN:
                return SlotFault(slot, FaultKind.FOREIGN, "not an lmdb file")
            if form is FileForm.CUT_SHORT:
                return SlotFault(slot, FaultKind.TORN, "shorter than its own header says")
            with self._open(slot).begin() as transaction:
                packed = transaction.get(RECORD_KEY)
        except _BROKEN as error:
            return SlotFault(slot, FaultKind.TORN, str(error))
        except (lmdb.Error, OSError) as error:
            return SlotFault(slot, FaultKind.INACCESSIBLE, str(error))
        if packed is None:
            return SlotFault(slot, FaultKind.TORN, "no record")
        return _unpack(slot, bytes(packed))

    def _open_or_replace(self, slot: str) -> lmdb.Environment:
        """Open the environment to be written, which holds no record that is needed; a broken one is replaced.

        A file whose pages are torn can often be opened, and refuses every write from then on.
        """
        if slot in self._broken:
            if slot in self._environments:
                self._environments.pop(slot).close()
            self._path(slot).unlink(missing_ok=True)
            self._broken.discard(slot)
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


def _other(slot: str) -> str:
    return SLOT_FILES[1] if slot == SLOT_FILES[0] else SLOT_FILES[0]


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


def _pack(serial: int, record: Record) -> bytes:
    body = serial.to_bytes(SERIAL_BYTES) + encode_record(record)
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES) + body


def _unpack(slot: str, packed: bytes) -> _Stored | SlotFault:
    body = packed[CHECKSUM_BYTES:]
    if zlib.crc32(body).to_bytes(CHECKSUM_BYTES) != packed[:CHECKSUM_BYTES]:
        return SlotFault(slot, FaultKind.TORN, "wrong checksum")
    try:
        record = decode_record(body[SERIAL_BYTES:])
    except DecodeError as error:
        return SlotFault(slot, FaultKind.OTHER_VERSION, str(error))
    return _Stored(int.from_bytes(body[:SERIAL_BYTES]), record)
