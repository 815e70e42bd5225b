"""Checks an lmdb file by its header, before the file is mapped.

Reading a mapped file beyond its end raises SIGBUS, which kills the process. lmdb does not compare the length
of a file with the number of pages in its header, so this module does.
"""

import enum
import struct
from pathlib import Path

# Each of the first two pages holds a header ("meta page" in lmdb), after the 16 bytes that start every page:
# magic, data version, address, map size, the page size (first word of the free list's record), ...
PAGE_NUMBER_BYTES = 8  # the first page has the number 0
MAGIC = 0xBEEFC0DE
MAGIC_OFFSET = 16
PAGE_SIZE_OFFSET = 40
LAST_PAGE_OFFSET = 136
TRANSACTION_OFFSET = 144
HEADER_BYTES = 152
MAGIC_BYTES = MAGIC.to_bytes(4, "little")


class FileForm(enum.Enum):
    """What the headers and the length of a file show."""

    WHOLE = "whole"
    CUT_SHORT = "cut short"
    FOREIGN = "foreign"


def inspect_file(path: Path) -> FileForm:
    """Return the form of a file; only a `WHOLE` one may be mapped. Raises OSError if it cannot be read."""
    length = path.stat().st_size
    with path.open("rb") as file:
        first_header = file.read(HEADER_BYTES)
        magic = first_header[MAGIC_OFFSET : MAGIC_OFFSET + len(MAGIC_BYTES)]
        if any(first_header[:PAGE_NUMBER_BYTES]) or not _is_magic_prefix(magic):
            return FileForm.FOREIGN
        if len(first_header) < HEADER_BYTES or magic != MAGIC_BYTES:
            return FileForm.CUT_SHORT
        page_size = _read_uint32(first_header, PAGE_SIZE_OFFSET)
        file.seek(page_size)
        second_header = file.read(HEADER_BYTES)
    if len(second_header) < HEADER_BYTES:
        return FileForm.CUT_SHORT
    newest = max(first_header, second_header, key=lambda header: _read_uint64(header, TRANSACTION_OFFSET))
    required_length = (_read_uint64(newest, LAST_PAGE_OFFSET) + 1) * page_size
    return FileForm.WHOLE if length >= required_length else FileForm.CUT_SHORT


def _is_magic_prefix(magic: bytes) -> bool:
    """Return whether these bytes are the magic number, or a torn write of it: its first bytes, then zeros."""
    stripped = magic.rstrip(b"\0")
    return MAGIC_BYTES.startswith(stripped)


def _read_uint32(header: bytes, offset: int) -> int:
    value: int = struct.unpack_from("<I", header, offset)[0]
    return value


def _read_uint64(header: bytes, offset: int) -> int:
    value: int = struct.unpack_from("<Q", header, offset)[0]
    return value
