"""Hashes that are equal in every process, so that all dispatchers derive the same orders and choices."""

from __future__ import annotations

from hashlib import blake2b

HASH_BITS = 64


def stable_hash(text: str) -> int:
    """A 64-bit hash of a text that does not depend on the process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BITS // 8).digest(), "big")


def hashed_index(text: str, length: int) -> int:
    """An index below `length`; a small change of `length` changes the index by little."""
    return stable_hash(text) * length >> HASH_BITS
