"""The changes that were accepted, as they are stored: an Avro array of digests and versions.

The list holds thousands of entries, of which a change adds one and drops one. So it is kept in its stored
form, and only what is new in it is read or written; the entries themselves are made where they are asked for.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import overload

DIGEST_BYTES = 16
MAX_LONG_BYTES = 10


class DamagedError(ValueError):
    """Bytes are not in the stored form."""


@dataclass(frozen=True)
class AcceptedChange:
    """A change that was accepted, by its digest, and the version it led to."""

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
        """Return these changes."""
        listed = [change.encode() for change in changes]
        return cls(b"".join(listed), len(listed))

    @classmethod
    def read(cls, encoded: bytes, count: int, known: Iterable[AcceptedChanges] = ()) -> AcceptedChanges:
        """Return the changes in their stored form; what is in a known list as well is not looked at again.

        Raises `DamagedError` where these are not as many changes, and nothing else.
        """
        shared_bytes, shared = max((earlier._shared_with(encoded) for earlier in known), default=(0, 0))
        if shared > count or _skip(encoded, shared_bytes, count - shared) != len(encoded):
            raise DamagedError("not the changes that were counted")
        return cls(encoded, count)

    @property
    def encoded(self) -> bytes:
        """The stored form."""
        return self._encoded

    def find(self, digest: bytes) -> AcceptedChange | None:
        """Return the change with this digest."""
        if digest not in self._encoded:
            return None
        return next((change for change in _read_all(self._encoded) if change.digest == digest), None)

    def with_change(self, change: AcceptedChange, most: int) -> AcceptedChanges:
        """Return these changes and a new one, without the oldest beyond the bound."""
        dropped = max(0, self._count + 1 - most)
        start = _skip(self._encoded, 0, min(dropped, self._count))
        return AcceptedChanges(self._encoded[start:] + change.encode(), self._count + 1 - dropped)

    def _shared_with(self, encoded: bytes) -> tuple[int, int]:
        """Return how many bytes and changes at the begin of a list are the end of this one."""
        if not encoded or not self._encoded:
            return 0, 0
        try:
            first = encoded[: _skip(encoded, 0, 1)]
            start = self._encoded.find(first)
            if start < 0 or not encoded.startswith(self._encoded[start:]):
                return 0, 0
            return len(self._encoded) - start, self._count - _count(self._encoded, start)
        except DamagedError:
            return 0, 0

    def _all(self) -> tuple[AcceptedChange, ...]:
        if self._changes is None:
            self._changes = tuple(_read_all(self._encoded))
        return self._changes

    def __len__(self) -> int:
        return self._count

    @overload
    def __getitem__(self, index: int) -> AcceptedChange: ...

    @overload
    def __getitem__(self, index: slice) -> tuple[AcceptedChange, ...]: ...

    def __getitem__(self, index: int | slice) -> AcceptedChange | tuple[AcceptedChange, ...]:
        if index == 0 and self._count:
            return _read_change(self._encoded, 0)[0]
        return self._all()[index]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, AcceptedChanges) and self._encoded == other._encoded

    def __hash__(self) -> int:
        return hash(self._encoded)

    def __repr__(self) -> str:
        return f"TakenChanges({self._count})"


def encode_long(value: int) -> bytes:
    """Return an Avro long: zigzag, seven bits a byte, the lowest first."""
    rest = (value << 1) ^ (value >> 63)
    encoded = bytearray()
    while rest > 0x7F:
        encoded.append(rest & 0x7F | 0x80)
        rest >>= 7
    encoded.append(rest)
    return bytes(encoded)


def decode_long(encoded: bytes, start: int) -> tuple[int, int]:
    """Return the Avro long at a place, and the place after it; raises `DamagedError`."""
    end = _end_of_long(encoded, start)
    value = 0
    for byte in reversed(encoded[start:end]):
        value = value << 7 | byte & 0x7F
    return (value >> 1) ^ -(value & 1), end


def _end_of_long(encoded: bytes, start: int) -> int:
    for end in range(start, min(start + MAX_LONG_BYTES, len(encoded))):
        if encoded[end] < 0x80:
            return end + 1
    raise DamagedError("a number without an end")


def _skip(encoded: bytes, start: int, count: int) -> int:
    """Return the place after so many changes."""
    for _ in range(count):
        start = _end_of_long(encoded, start + DIGEST_BYTES)
    return start


def _count(encoded: bytes, end: int) -> int:
    """Return how many changes there are before a place; raises `DamagedError` if it is within one."""
    count = 0
    place = 0
    while place < end:
        place = _skip(encoded, place, 1)
        count += 1
    if place != end:
        raise DamagedError("a place within a change")
    return count


def _read_change(encoded: bytes, start: int) -> tuple[AcceptedChange, int]:
    version_at = start + DIGEST_BYTES
    version, end = decode_long(encoded, version_at)
    return AcceptedChange(encoded[start:version_at], version), end


def _read_all(encoded: bytes) -> Iterator[AcceptedChange]:
    place = 0
    while place < len(encoded):
        change, place = _read_change(encoded, place)
        yield change
