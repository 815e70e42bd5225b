"""A member's registers, with a digest for each bucket of keys.

The digests show in which buckets two copies differ, without iterating over either, so only the difference has
to be transferred. A bucket's digest is the sum of the marks of its entries; a mark is a hash (BLAKE3, 64
bits) of the whole entry. A value contains a nonce drawn by its writer, so a client that chooses keys cannot
choose marks.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from blake3 import blake3

from rookwood.duties.lease import Token

MARK_BYTES = 8  # length of a mark and of a sum
MARK_MASK = (1 << 8 * MARK_BYTES) - 1


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Orders the values of a register: the leader's token, then the number of its write."""

    token: Token
    serial: int


@dataclass(frozen=True, slots=True)
class Entry:
    """A register and its value. An empty value: the register was cleared."""

    key: str
    stamp: Stamp
    value: bytes


def bucket_of(key: str, buckets: int) -> int:
    """The bucket of a key, among at most 256 buckets."""
    return int(blake3(key.encode()).digest(length=1)[0]) % buckets


def mark_of(entry: Entry) -> int:
    """A hash of the entry. The length prefix keeps its header apart from the value."""
    t = entry.stamp.token
    header = f"{entry.key} {t.term} {t.holder} {t.incarnation} {entry.stamp.serial} ".encode()
    data = len(header).to_bytes(4, "big") + header + entry.value
    return int.from_bytes(blake3(data).digest(length=MARK_BYTES))


class Registers:
    """The entries by key, with their marks and the sums by bucket."""

    def __init__(self, buckets: int) -> None:
        self.buckets = buckets
        self.entries: dict[str, Entry] = {}
        self._marks: dict[str, tuple[int, int]] = {}  # bucket and mark, by key
        self._keys: list[dict[int, str]] = [{} for _ in range(buckets)]  # by mark
        self._sums = [0] * buckets

    def copied(self) -> Registers:
        other = Registers(self.buckets)
        other.entries, other._marks = dict(self.entries), dict(self._marks)
        other._keys, other._sums = [dict(keys) for keys in self._keys], list(self._sums)
        return other

    def put(self, entry: Entry) -> None:
        """Stores an entry, whatever the stamp of the one that it replaces."""
        self.drop(entry.key)
        bucket, mark = bucket_of(entry.key, self.buckets), mark_of(entry)
        self.entries[entry.key], self._marks[entry.key] = entry, (bucket, mark)
        self._keys[bucket][mark] = entry.key
        self._sums[bucket] = (self._sums[bucket] + mark) & MARK_MASK

    def drop(self, key: str) -> None:
        if self.entries.pop(key, None):
            bucket, mark = self._marks.pop(key)
            self._keys[bucket].pop(mark, None)
            self._sums[bucket] = (self._sums[bucket] - mark) & MARK_MASK

    def digests(self) -> tuple[bytes, ...]:
        """The digest of each bucket."""
        return tuple(total.to_bytes(MARK_BYTES, "big") for total in self._sums)

    def marks(self, bucket: int) -> tuple[int, ...]:
        """The marks of the entries in a bucket."""
        return tuple(self._keys[bucket])

    def key_with_mark(self, bucket: int, mark: int) -> str | None:
        return self._keys[bucket].get(mark)

    def difference(self, bucket: int, have: Iterable[int]) -> tuple[tuple[Entry, ...], tuple[int, ...]]:
        """Compares a bucket with a copy whose marks are `have`.

        Returns the entries missing in that copy, and its marks that are missing here.
        """
        there, keys = set(have), self._keys[bucket]
        entries = tuple(self.entries[key] for mark, key in keys.items() if mark not in there)
        return entries, tuple(mark for mark in there if mark not in keys)
