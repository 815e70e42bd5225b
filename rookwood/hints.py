"""What dispatchers tell one another, as bytes: the same on the simulator's wire and in datagrams.

Four bytes a hint: version, word and level of faults; slots; then a mark of the worker. A mark is a hash of
the id, alike at every dispatcher; two workers of one mark are left out here, as if unknown.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence

from rookwood.interface import Hint, Word

VERSION = 2
SIZE, MOST = 4, 64  # bytes of a hint; hints of a message
WORDS = {word.value: word for word in Word}
MOST_SLOTS = 255
LEVEL, MOST_LEVEL = 0.05, 7  # part of jobs that a level of faults stands for


class InvalidHintError(ValueError):
    """Not a hint that this dispatcher can use; the text tells why."""


def mark_of(worker: str) -> bytes:
    return hashlib.blake2b(worker.encode(), digest_size=SIZE - 2).digest()


class HintCodec:
    """Knows the workers that lists have named, as only these can be spoken of."""

    def __init__(self) -> None:
        self._workers: dict[bytes, str | None] = {}  # None: two workers share the mark

    def add_workers(self, workers: Iterable[str], whole: bool) -> None:
        """`whole`: there are no others."""
        if whole:
            self._workers.clear()
        for worker in workers:
            mark = mark_of(worker)
            if self._workers.setdefault(mark, worker) != worker:
                self._workers[mark] = None

    def encode(self, hints: Sequence[Hint]) -> bytes:
        return b"".join(map(self._encoded, hints[:MOST]))

    def decode(self, data: bytes) -> tuple[Hint, ...]:
        """Raises `InvalidHintError`. Nothing of a message is taken where a part of it is odd."""
        if not data or len(data) > SIZE * MOST or len(data) % SIZE:
            raise InvalidHintError(f"{len(data)} bytes")
        return tuple(self._decoded(data[at : at + SIZE]) for at in range(0, len(data), SIZE))

    def _encoded(self, hint: Hint) -> bytes:
        level = max(0, min(round(hint.faults / LEVEL), MOST_LEVEL))
        slots = max(0, min(math.ceil(hint.slots), MOST_SLOTS))
        return bytes([VERSION << 6 | hint.word.value << 3 | level, slots]) + mark_of(hint.worker)

    def _decoded(self, data: bytes) -> Hint:
        version, word, level = data[0] >> 6, data[0] >> 3 & 7, data[0] & 7
        if version != VERSION or word not in WORDS:
            raise InvalidHintError(f"version {version}, word {word}")
        worker = self._workers.get(data[2:])
        if worker is None:
            raise InvalidHintError("of a worker that is not known")
        return Hint(worker, WORDS[word], float(data[1]), level * LEVEL)
