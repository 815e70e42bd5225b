"""Hash values that are the same in every process."""

import functools
import hashlib


@functools.lru_cache(1 << 12)
def stable_hashes(value: object, count: int = 1) -> list[int]:
    """Return `count` 64-bit hashes of `value`'s repr; unlike `hash`, they don't depend on the process."""
    digest = hashlib.shake_128(repr(value).encode()).digest(8 * count)
    return [int.from_bytes(digest[8 * n : 8 * n + 8], "big") for n in range(count)]
