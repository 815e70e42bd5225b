"""The durable list of presence changes of one control machine; `slot_storage` tells how it is kept."""

from __future__ import annotations

from io import BytesIO
from typing import Any

from fastavro import parse_schema, schemaless_reader, schemaless_writer

from rookwood.cluster.workers import PresenceChange
from rookwood.coordination.slot_storage import RecordDecodeError, SlotNames, SlotStorage

NAMES = SlotNames("presence-a.mdb", "presence-b.mdb", "presence-initialised")
MAP_BYTES = 8 << 20  # room for two of the longest lists
ENCODING_VERSION = 1
_CHANGE = {
    "type": "record",
    "name": "PresenceChange",
    "fields": [{"name": "worker", "type": "string"}, {"name": "deleted", "type": "boolean"}],
}
_SCHEMA = parse_schema({"type": "array", "items": _CHANGE})
_READ_ERRORS = (EOFError, ValueError, IndexError, TypeError, KeyError, OverflowError, MemoryError)

PresenceChanges = tuple[PresenceChange, ...]


class PresenceStorage(SlotStorage[PresenceChanges]):
    """Stores presence changes, oldest first; must be used by one thread at a time."""

    def __init__(self, directory: str) -> None:
        super().__init__(directory, NAMES, MAP_BYTES)

    def _encode(self, record: PresenceChanges) -> bytes:
        buffer = BytesIO()
        buffer.write(bytes([ENCODING_VERSION]))
        schemaless_writer(
            buffer, _SCHEMA, [{"worker": change.worker, "deleted": change.deleted} for change in record]
        )
        return buffer.getvalue()

    def _decode(self, stored: bytes) -> PresenceChanges:
        if stored[:1] != bytes([ENCODING_VERSION]):
            raise RecordDecodeError("unknown version of the presence changes")
        buffer = BytesIO(stored[1:])
        try:
            items: Any = schemaless_reader(buffer, _SCHEMA, None)
        except _READ_ERRORS as error:
            raise RecordDecodeError(str(error)) from error
        if buffer.tell() != len(stored) - 1:
            raise RecordDecodeError("trailing bytes after the presence changes")
        return tuple(PresenceChange(item["worker"], item["deleted"]) for item in items)
