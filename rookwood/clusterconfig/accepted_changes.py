"""The accepted changes in their stored form: an Avro array of digests and versions.

The list holds thousands of entries, and each change adds one and drops one. It is therefore kept encoded,
only new entries are decoded or encoded, and entry objects are only created on access.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import overload

DIGEST_BYTES = 16
MAX_LONG_BYTES = 10


class CorruptDataError(ValueError):
    """Bytes are not valid in the stored form."""


@dataclass(frozen=True)
class AcceptedChange:
    """The digest of an accepted change and the version that it led to."""

    digest: bytes
    version: int

    def encode(self) -> bytes:
        """Return the stored form."""
        return self.digest + encode_long(self.version)


class AcceptedChanges(Sequence[AcceptedChange]):
    """Accepted changes, oldest first; immutable."""

    def __init__(self, encoded: bytes = b"", count: int = 0) -> None:
        self._encoded = encoded
        self._count = count
        self._changes: tuple[AcceptedChange, ...] | None = None

    @classmethod
    def of(cls, changes: Iterable[AcceptedChange]) -> AcceptedChanges:
        """Return the list of these changes."""
        encoded_changes = [change.encode() for change in changes]
        return cls(b"".join(encoded_changes), len(encoded_changes))

    @classmethod
    def decode(cls, encoded: bytes, count: int, known: Iterable[AcceptedChanges] = ()) -> AcceptedChanges:
        """Return the list of this stored form; entries that are also in a `known` list are not checked again.

        Raises `CorruptDataError` unless the bytes are exactly `count` changes.
        """
        overlap_bytes, overlap = max((earlier._overlap_with(encoded) for earlier in known), default=(0, 0))
        if overlap > count or _skip_changes(encoded, overlap_bytes, count - overlap) != len(encoded):
            raise CorruptDataError("the bytes are not the stated number of changes")
        return cls(encoded, count)

    @property
    def encoded(self) -> bytes:
        """The stored form."""
        return self._encoded

    def find(self, digest: bytes) -> AcceptedChange | None:
        """Return the change with a digest, if any."""
        if digest not in self._encoded:
            return None
        return next((change for change in _iterate_changes(self._encoded) if change.digest == digest), None)

    def with_change(self, change: AcceptedChange, max_count: int) -> AcceptedChanges:
        """Return the list with a new change, without the oldest beyond `max_count`."""
        dropped = max(0, self._count + 1 - max_count)
        start = _skip_changes(self._encoded, 0, min(dropped, self._count))
        return AcceptedChanges(self._encoded[start:] + change.encode(), self._count + 1 - dropped)

    def _overlap_with(self, encoded: bytes) -> tuple[int, int]:
        """Return how many bytes and changes at the beginning of `encoded` are the end of this list."""
        if not encoded or not self._encoded:
            return 0, 0
        try:
            first = encoded[: _skip_changes(encoded, 0, 1)]
            start = self._encoded.find(first)
            if start < 0 or not encoded.startswith(self._encoded[start:]):
                return 0, 0
            return len(self._encoded) - start, self._count - _count_changes(self._encoded, start)
        except CorruptDataError:
            return 0, 0

    def _decode_all(self) -> tuple[AcceptedChange, ...]:
        if self._changes is None:
            self._changes = tuple(_iterate_changes(self._encoded))
        return self._changes

    def __len__(self) -> int:
        return self._count

    @overload
    def __getitem__(self, index: int) -> AcceptedChange: ...

    @overload
    def __getitem__(self, index: slice) -> tuple[AcceptedChange, ...]: ...

    def __getitem__(self, index: int | slice) -> AcceptedChange | tuple[AcceptedChange, ...]:
        if index == 0 and self._count:
            return _decode_change(self._encoded, 0)[0]
        return self._decode_all()[index]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, AcceptedChanges) and self._encoded == other._encoded

    def __hash__(self) -> int:
        return hash(self._encoded)

    def __repr__(self) -> str:
        return f"AcceptedChanges({self._count})"


def encode_long(value: int) -> bytes:
    """Return an Avro long: zigzag encoding, seven bits per byte, lowest bits first."""
    remaining = (value << 1) ^ (value >> 63)
    encoded = bytearray()
    while remaining > 0x7F:
        encoded.append(remaining & 0x7F | 0x80)
        remaining >>= 7
    encoded.append(remaining)
    return bytes(encoded)


def decode_long(encoded: bytes, start: int) -> tuple[int, int]:
    """Return the Avro long at `start` and the offset after it; raises `CorruptDataError`."""
    end = _end_of_long(encoded, start)
    value = 0
    for byte in reversed(encoded[start:end]):
        value = value << 7 | byte & 0x7F
    return (value >> 1) ^ -(value & 1), end


def _end_of_long(encoded: bytes, start: int) -> int:
    for end in range(start, min(start + MAX_LONG_BYTES, len(encoded))):
        if encoded[end] < 0x80:
            return end + 1
    raise CorruptDataError("a number is not terminated")


def _skip_changes(encoded: bytes, start: int, count: int) -> int:
    """Return the offset after `count` changes; raises `CorruptDataError`."""
    for _ in range(count):
        start = _end_of_long(encoded, start + DIGEST_BYTES)
    return start


def _count_changes(encoded: bytes, end: int) -> int:
    """Return how many changes end at or before an offset; raises `CorruptDataError` if it is within one."""
    count = 0
    offset = 0
    while offset < end:
        offset = _skip_changes(encoded, offset, 1)
        count += 1
    if offset != end:
        raise CorruptDataError("the offset is within a change")
    return count


def _decode_change(encoded: bytes, start: int) -> tuple[AcceptedChange, int]:
    version_offset = start + DIGEST_BYTES
    version, end = decode_long(encoded, version_offset)
    return AcceptedChange(encoded[start:version_offset], version), end


def _iterate_changes(encoded: bytes) -> Iterator[AcceptedChange]:
    offset = 0
    while offset < len(encoded):
        change, offset = _decode_change(encoded, offset)
        yield change
