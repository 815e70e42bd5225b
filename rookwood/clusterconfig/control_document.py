"""The replicated control document and its binary encoding."""

from __future__ import annotations

import io
from dataclasses import dataclass
from typing import Any

import fastavro

DIGEST_BYTES = 16

# The encoding does not tell whether older changes were forgotten; `may_have_forgotten` infers it from this
# bound. It must not be raised without a new encoding version that stores it.
MAX_TAKEN_CHANGES = 4096
ENCODING_VERSION = 1

_SCHEMA_V1 = fastavro.parse_schema(
    {
        "type": "record",
        "name": "ControlDocument",
        "fields": [
            {"name": "version", "type": "long"},
            {"name": "source", "type": "bytes"},
            {
                "name": "taken",
                "type": {
                    "type": "array",
                    "items": {
                        "type": "record",
                        "name": "TakenChange",
                        "fields": [
                            {
                                "name": "digest",
                                "type": {"type": "fixed", "name": "Digest", "size": DIGEST_BYTES},
                            },
                            {"name": "version", "type": "long"},
                        ],
                    },
                },
            },
        ],
    }
)


class ControlDocumentError(ValueError):
    """Bytes are not an encoded control document of a known encoding version."""


@dataclass(frozen=True)
class TakenChange:
    """A change that was accepted, by its digest, and the version it led to."""

    digest: bytes
    version: int


@dataclass(frozen=True)
class ControlDocument:
    """The current configuration text and the most recent accepted changes, oldest first.

    Version 0 with an empty source means that no configuration has been accepted yet.
    """

    version: int = 0
    source: bytes = b""
    taken: tuple[TakenChange, ...] = ()

    def find_taken(self, digest: bytes) -> TakenChange | None:
        """Return the remembered change with this digest."""
        return next((change for change in self.taken if change.digest == digest), None)

    def may_have_forgotten(self, base: int) -> bool:
        """Tell whether a change on this base may have been accepted and forgotten since.

        Versions rise with each accepted change, and a change builds on the version before its own, so all
        changes on the oldest remembered version and on later ones are remembered.
        """
        return len(self.taken) >= MAX_TAKEN_CHANGES and base < self.taken[0].version

    def with_change(self, change: TakenChange, source: bytes) -> ControlDocument:
        """Return the document after an accepted change, forgetting the oldest beyond the bound."""
        taken = (*self.taken, change)[-MAX_TAKEN_CHANGES:]
        return ControlDocument(change.version, source, taken)

    def encode(self) -> bytes:
        """Serialise as one byte of encoding version followed by an Avro record."""
        record = {
            "version": self.version,
            "source": self.source,
            "taken": [{"digest": change.digest, "version": change.version} for change in self.taken],
        }
        buffer = io.BytesIO()
        buffer.write(bytes([ENCODING_VERSION]))
        fastavro.schemaless_writer(buffer, _SCHEMA_V1, record)
        return buffer.getvalue()

    @staticmethod
    def decode(encoded: bytes) -> ControlDocument:
        """Read what `encode` wrote; raises `ControlDocumentError` for anything else."""
        if encoded[:1] != bytes([ENCODING_VERSION]):
            raise ControlDocumentError("unknown encoding version")
        buffer = io.BytesIO(encoded)
        buffer.seek(1)
        try:
            record: Any = fastavro.schemaless_reader(buffer, _SCHEMA_V1, None)
        except (EOFError, ValueError, IndexError, OverflowError, MemoryError) as error:
            raise ControlDocumentError(f"damaged control document: {error}") from error
        if buffer.tell() != len(encoded):
            raise ControlDocumentError("bytes after the end of the control document")
        taken = tuple(TakenChange(item["digest"], item["version"]) for item in record["taken"])
        return ControlDocument(record["version"], record["source"], taken)
