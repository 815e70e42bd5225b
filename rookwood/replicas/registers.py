"""A member's registers, with a sum for each bucket of keys: what two copies differ in is found without a walk
over either, and is shipped by itself.

A sum is that of the marks of a bucket's entries, and a mark a digest (BLAKE3, 64 bits) of the whole entry. A
value holds a nonce that its writer draws, so whoever chooses keys does not choose marks.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from blake3 import blake3

from rookwood.duties.lease import Token

WIDTH = 8  # octets of a mark, and of a sum
FULL = (1 << 8 * WIDTH) - 1


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    token: Token
    serial: int


@dataclass(frozen=True, slots=True)
class Entry:
    """A register. `value` empty: it holds nothing any more."""

    key: str
    stamp: Stamp
    value: bytes


def bucket_of(key: str, buckets: int) -> int:
    return int(blake3(key.encode()).digest(length=1)[0]) % buckets


def mark_of(entry: Entry) -> int:
    t = entry.stamp.token
    told = f"{entry.key} {t.term} {t.holder} {t.incarnation} {entry.stamp.serial} ".encode()
    whole = len(told).to_bytes(4, "big") + told + entry.value
    return int.from_bytes(blake3(whole).digest(length=WIDTH))


class Registers:
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
        self.drop(entry.key)
        bucket, mark = bucket_of(entry.key, self.buckets), mark_of(entry)
        self.entries[entry.key], self._marks[entry.key] = entry, (bucket, mark)
        self._keys[bucket][mark] = entry.key
        self._sums[bucket] = (self._sums[bucket] + mark) & FULL

    def drop(self, key: str) -> None:
        if self.entries.pop(key, None):
            bucket, mark = self._marks.pop(key)
            self._keys[bucket].pop(mark, None)
            self._sums[bucket] = (self._sums[bucket] - mark) & FULL

    def digests(self) -> tuple[bytes, ...]:
        return tuple(total.to_bytes(WIDTH, "big") for total in self._sums)

    def marks(self, bucket: int) -> tuple[int, ...]:
        return tuple(self._keys[bucket])

    def key(self, bucket: int, mark: int) -> str | None:
        return self._keys[bucket].get(mark)

    def beyond(self, bucket: int, have: Iterable[int]) -> tuple[tuple[Entry, ...], tuple[int, ...]]:
        """What is here and not there, and the marks that are there and not here."""
        there, keys = set(have), self._keys[bucket]
        entries = tuple(self.entries[key] for mark, key in keys.items() if mark not in there)
        return entries, tuple(mark for mark in there if mark not in keys)
