"""Rendezvous (highest random weight) hashing: every process ranks members for a key in the same way.

Hashing a text is costly, so the hashes are cached; the weight of a key and a member is mixed from two hashes.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from heapq import nsmallest

HASH_BITS = 64
HASH_SPACE = 1 << HASH_BITS
_MASK = HASH_SPACE - 1
_KEY_MULTIPLIER = 0x9E3779B97F4A7C15
_MIX_MULTIPLIERS = (0xBF58476D1CE4E5B9, 0x94D049BB133111EB)  # constants of the SplitMix64 finalizer
_HASH_CACHE_SIZE = 4096


@lru_cache(maxsize=_HASH_CACHE_SIZE)
def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BITS // 8).digest(), "big")


def rendezvous_weight(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    return _mix(stable_hash(key) * _KEY_MULTIPLIER + stable_hash(member))


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in descending order of their weights for the key."""
    return sorted(members, key=lambda member: (-rendezvous_weight(key, member), member))


def top_members(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the first `count` members of `rank_members`, without sorting all of them."""
    return nsmallest(count, members, key=lambda member: (-rendezvous_weight(key, member), member))


def _mix(value: int) -> int:
    first, second = _MIX_MULTIPLIERS
    value &= _MASK
    value = ((value ^ (value >> 30)) * first) & _MASK
    value = ((value ^ (value >> 27)) * second) & _MASK
    return value ^ (value >> 31)
