"""What the header of an lmdb file tells before the file is mapped.

Reading a mapped file beyond its end is a SIGBUS, which ends the process. lmdb does not compare the length of
a file with the number of pages that its header names, so this is done here.
"""

import enum
import struct
from pathlib import Path

# A header ("meta page") stands at the start of each of the first two pages, after the page's own 16 bytes:
# magic, data version, address, map size, the page size (first word of the free list's record), ...
PAGE_NUMBER_BYTES = 8  # of the first page: 0
MAGIC = 0xBEEFC0DE
MAGIC_OFFSET = 16
PAGE_SIZE_OFFSET = 40
LAST_PAGE_OFFSET = 136
TRANSACTION_OFFSET = 144
HEADER_BYTES = 152
MAGIC_BYTES = MAGIC.to_bytes(4, "little")


class FileForm(enum.Enum):
    """How a file looks from outside."""

    WHOLE = "whole"
    CUT_SHORT = "cut short"
    FOREIGN = "foreign"


def inspect_file(path: Path) -> FileForm:
    """Tell whether a file can be mapped as an lmdb file; raises OSError where it cannot be read."""
    length = path.stat().st_size
    with path.open("rb") as file:
        first = file.read(HEADER_BYTES)
        magic = first[MAGIC_OFFSET : MAGIC_OFFSET + len(MAGIC_BYTES)]
        if any(first[:PAGE_NUMBER_BYTES]) or not _may_become_magic(magic):
            return FileForm.FOREIGN
        if len(first) < HEADER_BYTES or magic != MAGIC_BYTES:
            return FileForm.CUT_SHORT
        page_size = _word(first, PAGE_SIZE_OFFSET)
        file.seek(page_size)
        second = file.read(HEADER_BYTES)
    if len(second) < HEADER_BYTES:
        return FileForm.CUT_SHORT
    newest = max(first, second, key=lambda header: _long(header, TRANSACTION_OFFSET))
    needed = (_long(newest, LAST_PAGE_OFFSET) + 1) * page_size
    return FileForm.WHOLE if length >= needed else FileForm.CUT_SHORT


def _may_become_magic(magic: bytes) -> bool:
    """Tell whether these bytes are the magic, or what a torn write leaves of it: its start, then zeros."""
    stripped = magic.rstrip(b"\0")
    return MAGIC_BYTES.startswith(stripped)


def _word(header: bytes, offset: int) -> int:
    value: int = struct.unpack_from("<I", header, offset)[0]
    return value


def _long(header: bytes, offset: int) -> int:
    value: int = struct.unpack_from("<Q", header, offset)[0]
    return value
