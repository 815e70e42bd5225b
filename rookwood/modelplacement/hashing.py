"""Hashes that are the same in every process, for orders and choices that dispatchers must share."""

from __future__ import annotations

from hashlib import blake2b

HASH_BITS = 64


def stable_hash(text: str) -> int:
    """A 64-bit hash of a text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BITS // 8).digest(), "big")


def hashed_index(text: str, length: int) -> int:
    """An index below `length`; neighbouring lengths give neighbouring indexes."""
    return stable_hash(text) * length >> HASH_BITS
