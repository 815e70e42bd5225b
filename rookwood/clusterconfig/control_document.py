"""The replicated control document and its binary encoding.

The encoding is one version byte followed by an Avro record: `version` (long), `source` (bytes) and `taken`
(an array in one block, of records of `digest`, 16 bytes, and `version`, a long). It does not use a general
codec, which would process each of thousands of entries for every change; the tests compare the bytes with
those of one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from rookwood.clusterconfig.accepted_changes import (
    AcceptedChange,
    AcceptedChanges,
    CorruptDataError,
    decode_long,
    encode_long,
)

# The encoding does not store whether older changes were dropped; `may_have_dropped` infers it from this
# limit. It must not be raised without a new encoding version that stores it.
MAX_ACCEPTED_CHANGES = 4096
ENCODING_VERSION = 1
END_OF_ARRAY = b"\0"
NO_ACCEPTED_CHANGES = AcceptedChanges()


class ControlDocumentError(ValueError):
    """Bytes are not a control document of a known encoding version."""


@dataclass(frozen=True)
class ControlDocument:
    """The current configuration text and the most recent accepted changes, oldest first.

    Version 0 with an empty source means that no configuration has been accepted yet.
    """

    version: int = 0
    source: bytes = b""
    accepted: AcceptedChanges = NO_ACCEPTED_CHANGES

    def find_accepted(self, digest: bytes) -> AcceptedChange | None:
        """Return the accepted change with this digest, if it is still kept."""
        return self.accepted.find(digest)

    def may_have_dropped(self, base: int) -> bool:
        """Whether a change based on version `base` may have been accepted and dropped since.

        Each accepted change raises the version and is based on the one before it, so every accepted change
        based on the oldest version kept or a later one is still kept.
        """
        return len(self.accepted) >= MAX_ACCEPTED_CHANGES and base < self.accepted[0].version

    def with_change(self, change: AcceptedChange, source: bytes) -> ControlDocument:
        """Return the document after an accepted change, without the oldest changes beyond the limit."""
        return ControlDocument(
            change.version, source, self.accepted.with_change(change, MAX_ACCEPTED_CHANGES)
        )

    def encode(self) -> bytes:
        """Serialise as one version byte followed by an Avro record."""
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
        """Decode what `encode` returned; raises `ControlDocumentError` for anything else.

        Accepted changes that are also in one of the `known` lists are not decoded again.
        """
        if encoded[:1] != bytes([ENCODING_VERSION]):
            raise ControlDocumentError("unknown encoding version")
        try:
            return _decode_record(encoded, known)
        except CorruptDataError as error:
            raise ControlDocumentError(f"corrupt control document: {error}") from error


def _decode_record(encoded: bytes, known: Iterable[AcceptedChanges]) -> ControlDocument:
    version, offset = decode_long(encoded, 1)
    size, offset = decode_long(encoded, offset)
    source = encoded[offset : offset + size]
    if size < 0 or len(source) != size:
        raise CorruptDataError("the source is truncated")
    count, offset = decode_long(encoded, offset + size)
    if count == 0 and offset == len(encoded):
        return ControlDocument(version, source)
    if count <= 0 or encoded[-1:] != END_OF_ARRAY:
        raise CorruptDataError("the list of changes is not terminated")
    return ControlDocument(version, source, AcceptedChanges.decode(encoded[offset:-1], count, known))
