"""Encodes hints between dispatchers as bytes, the same on the simulator's wire and in datagrams.

A hint takes four bytes: one for the version, the kind and the level of the fault rate, one for the slots and
two for the worker's mark. A mark is a hash of the worker's id, the same at every dispatcher. Workers that
share a mark are treated as unknown.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence

from rookwood.interface import Hint, HintKind

VERSION = 2
HINT_BYTES = 4
MAX_HINTS = 64  # in a message
KINDS = {kind.value: kind for kind in HintKind}
MAX_SLOTS = 255  # that a byte holds
FAULT_LEVEL = 0.05  # step of the fault rate from one level to the next
MAX_FAULT_LEVEL = 7  # that three bits hold


class InvalidHintError(ValueError):
    """A message is malformed, or names a worker that is unknown or not unique. The text says which."""


def mark_of(worker: str) -> bytes:
    """Return the mark of a worker id."""
    return hashlib.blake2b(worker.encode(), digest_size=HINT_BYTES - 2).digest()


class HintCodec:
    """Encodes and decodes hints about the workers that discovery has listed."""

    def __init__(self) -> None:
        self._workers: dict[bytes, str | None] = {}  # by mark; None if two workers share it

    def add_workers(self, workers: Iterable[str], is_full: bool) -> None:
        """Add the workers of a list. A full list replaces all workers that are known."""
        if is_full:
            self._workers.clear()
        for worker in workers:
            mark = mark_of(worker)
            if self._workers.setdefault(mark, worker) != worker:
                self._workers[mark] = None

    def encode(self, hints: Sequence[Hint]) -> bytes:
        """Encode hints, the first MAX_HINTS of them."""
        return b"".join(map(self._encode_hint, hints[:MAX_HINTS]))

    def decode(self, data: bytes) -> tuple[Hint, ...]:
        """Decode a message. Raises `InvalidHintError` for the whole message if any hint in it is invalid."""
        if not data or len(data) > HINT_BYTES * MAX_HINTS or len(data) % HINT_BYTES:
            raise InvalidHintError(f"{len(data)} bytes")
        return tuple(self._decode_hint(data[at : at + HINT_BYTES]) for at in range(0, len(data), HINT_BYTES))

    def _encode_hint(self, hint: Hint) -> bytes:
        level = max(0, min(round(hint.fault_rate / FAULT_LEVEL), MAX_FAULT_LEVEL))
        slots = max(0, min(math.ceil(hint.slots), MAX_SLOTS))
        return bytes([VERSION << 6 | hint.kind.value << 3 | level, slots]) + mark_of(hint.worker)

    def _decode_hint(self, data: bytes) -> Hint:
        version, kind, level = data[0] >> 6, data[0] >> 3 & 7, data[0] & 7
        if version != VERSION or kind not in KINDS:
            raise InvalidHintError(f"version {version}, kind {kind}")
        worker = self._workers.get(data[2:])
        if worker is None:
            raise InvalidHintError("unknown worker")
        return Hint(worker, KINDS[kind], float(data[1]), level * FAULT_LEVEL)
