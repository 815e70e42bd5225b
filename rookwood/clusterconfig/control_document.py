"""The replicated control document and its binary encoding.

The encoding is one byte of version and an Avro record: `version` (long), `source` (bytes) and `taken` (an
array, in one block, of records of `digest`, 16 bytes, and `version`, a long). It is written and read by hand,
since a general codec makes every one of thousands of entries anew for each change; the tests compare both.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from rookwood.clusterconfig.accepted_changes import (
    AcceptedChange,
    AcceptedChanges,
    DamagedError,
    decode_long,
    encode_long,
)

# The encoding does not tell whether older changes were forgotten; `may_have_forgotten` infers it from this
# bound. It must not be raised without a new encoding version that stores it.
MAX_TAKEN_CHANGES = 4096
ENCODING_VERSION = 1
END_OF_ARRAY = b"\0"
NOTHING_TAKEN = AcceptedChanges()


class ControlDocumentError(ValueError):
    """Bytes are not an encoded control document of a known encoding version."""


@dataclass(frozen=True)
class ControlDocument:
    """The current configuration text and the most recent accepted changes, oldest first.

    Version 0 with an empty source means that no configuration has been accepted yet.
    """

    version: int = 0
    source: bytes = b""
    accepted: AcceptedChanges = NOTHING_TAKEN

    def find_accepted(self, digest: bytes) -> AcceptedChange | None:
        """Return the remembered change with this digest."""
        return self.accepted.find(digest)

    def may_have_forgotten(self, base: int) -> bool:
        """Tell whether a change on this base may have been accepted and forgotten since.

        Versions rise with each accepted change, and a change builds on the version before its own, so all
        changes on the oldest remembered version and on later ones are remembered.
        """
        return len(self.accepted) >= MAX_TAKEN_CHANGES and base < self.accepted[0].version

    def with_change(self, change: AcceptedChange, source: bytes) -> ControlDocument:
        """Return the document after an accepted change, forgetting the oldest beyond the bound."""
        return ControlDocument(change.version, source, self.accepted.with_change(change, MAX_TAKEN_CHANGES))

    def encode(self) -> bytes:
        """Serialise as one byte of encoding version followed by an Avro record."""
        parts = [
            bytes([ENCODING_VERSION]),
            encode_long(self.version),
            encode_long(len(self.source)),
            self.source,
        ]
        if self.accepted:
            parts += [encode_long(len(self.accepted)), self.accepted.encoded]
        return b"".join([*parts, END_OF_ARRAY])

    @staticmethod
    def decode(encoded: bytes, known: Iterable[AcceptedChanges] = ()) -> ControlDocument:
        """Read what `encode` wrote; raises `ControlDocumentError` for anything else.

        Accepted changes that are in one of the known lists as well are not read again.
        """
        if encoded[:1] != bytes([ENCODING_VERSION]):
            raise ControlDocumentError("unknown encoding version")
        try:
            return _decode_record(encoded, known)
        except DamagedError as error:
            raise ControlDocumentError(f"damaged control document: {error}") from error


def _decode_record(encoded: bytes, known: Iterable[AcceptedChanges]) -> ControlDocument:
    version, place = decode_long(encoded, 1)
    size, place = decode_long(encoded, place)
    source = encoded[place : place + size]
    if size < 0 or len(source) != size:
        raise DamagedError("the source is cut short")
    count, place = decode_long(encoded, place + size)
    if count == 0 and place == len(encoded):
        return ControlDocument(version, source)
    if count <= 0 or encoded[-1:] != END_OF_ARRAY:
        raise DamagedError("the list of changes has no end")
    return ControlDocument(version, source, AcceptedChanges.read(encoded[place:-1], count, known))
