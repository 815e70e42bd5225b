"""The durable record of one member, kept in two lmdb environments that are written in turn.

The environment that holds the newest record is not touched while the next one is written, so a torn
write leaves the previous record whole. Each record carries a serial number and a checksum.
"""

import os
import zlib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import lmdb

from rookwood.coordination.codec import DecodeError, decode_record, encode_record
from rookwood.coordination.document import Record

RECORD_KEY = b"record"
SLOTS = ("control-a.mdb", "control-b.mdb")
CHECKSUM_BYTES = 4
SERIAL_BYTES = 8
MEGABYTE = 1 << 20
MAX_MAP_BYTES = 64 * MEGABYTE
MIN_MAP_BYTES = 2 * MEGABYTE


class UnreadableError(Exception):
    """A record was stored, and can't be read any more."""


@dataclass(frozen=True)
class _Stored:
    serial: int
    record: Record


class Storage:
    """One record on disk; used by one thread at a time."""

    def __init__(self, directory: str, disk_mb: int) -> None:
        self._directory = Path(directory)
        map_bytes = disk_mb * MEGABYTE // (2 * len(SLOTS))
        self._map_bytes = max(MIN_MAP_BYTES, min(MAX_MAP_BYTES, map_bytes))
        self._environments: dict[str, lmdb.Environment] = {}
        self._named: set[str] = set()
        self._next_slot = SLOTS[0]
        self._serial = 0

    def load(self) -> Record | None:
        """Return the newest stored record, None if no write was ever finished.

        Raises `UnreadableError` if a write was finished and nothing can be read. The second
        environment is made only after the first write, so a single broken one never held a record.
        """
        existing = [slot for slot in SLOTS if self._path(slot).exists()]
        found = [(stored.serial, slot, stored.record) for slot in existing if (stored := self._read(slot))]
        if found:
            self._serial, newest, record = max(found, key=lambda entry: entry[0])
            self._next_slot = _other(newest)
            return record
        if len(existing) == len(SLOTS):
            raise UnreadableError(str(self._directory))
        return None

    def save(self, record: Record) -> bool:
        """Store the record and sync it; after a failure the environments are opened anew."""
        slot = self._next_slot
        try:
            self._write(slot, _pack(self._serial + 1, record))
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
        environment = self._open_or_replace(slot)
        with environment.begin(write=True) as transaction:
            transaction.put(RECORD_KEY, packed)
        # `sync` covers the meta page too, which lmdb else leaves to the flags of a second descriptor.
        environment.sync(True)
        if slot not in self._named:
            _sync_directory(self._directory)
            self._named.add(slot)

    def _read(self, slot: str) -> _Stored | None:
        try:
            with self._open(slot).begin() as transaction:
                packed = transaction.get(RECORD_KEY)
        except (lmdb.Error, OSError):
            return None
        return None if packed is None else _unpack(bytes(packed))

    def _open_or_replace(self, slot: str) -> lmdb.Environment:
        """Open the environment to be written, which holds no record that is needed."""
        try:
            return self._open(slot)
        except (
            lmdb.InvalidError,
            lmdb.InvalidParameterError,
            lmdb.CorruptedError,
            lmdb.VersionMismatchError,
        ):
            self._path(slot).unlink()
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
    return SLOTS[1] if slot == SLOTS[0] else SLOTS[0]


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


def _unpack(packed: bytes) -> _Stored | None:
    body = packed[CHECKSUM_BYTES:]
    if zlib.crc32(body).to_bytes(CHECKSUM_BYTES) != packed[:CHECKSUM_BYTES]:
        return None
    try:
        record = decode_record(body[SERIAL_BYTES:])
    except DecodeError:
        return None
    return _Stored(int.from_bytes(body[:SERIAL_BYTES]), record)
