"""The durable record of one member of the control group; `slot_storage` tells how it is kept."""

from typing import TypeAlias

from rookwood.coordination.codec import DecodeError, decode_record, encode_record
from rookwood.coordination.document import Record
from rookwood.coordination.slot_storage import (
    Empty,
    FaultKind,
    Found,
    Inaccessible,
    Lost,
    RecordDecodeError,
    SlotFault,
    SlotNames,
    SlotStorage,
)
from rookwood.coordination.slot_storage import LoadOutcome as SlotLoadOutcome

__all__ = [
    "MARKER",
    "SLOT_FILES",
    "Empty",
    "FaultKind",
    "Found",
    "Inaccessible",
    "LoadOutcome",
    "Lost",
    "SlotFault",
    "Storage",
]

NAMES = SlotNames("control-a.mdb", "control-b.mdb", "control-initialised")
SLOT_FILES = NAMES.slots
MARKER = NAMES.marker
MEGABYTE = 1 << 20
MAX_MAP_BYTES = 64 * MEGABYTE
MIN_MAP_BYTES = 2 * MEGABYTE

LoadOutcome: TypeAlias = SlotLoadOutcome[Record]


class Storage(SlotStorage[Record]):
    """Stores the record of one member; must be used by one thread at a time."""

    def __init__(self, directory: str, disk_mb: int) -> None:
        map_bytes = disk_mb * MEGABYTE // (2 * len(SLOT_FILES))
        super().__init__(directory, NAMES, max(MIN_MAP_BYTES, min(MAX_MAP_BYTES, map_bytes)))

    def _encode(self, record: Record) -> bytes:
        return encode_record(record)

    def _decode(self, stored: bytes) -> Record:
        try:
            return decode_record(stored)
        except DecodeError as error:
            raise RecordDecodeError(str(error)) from error
