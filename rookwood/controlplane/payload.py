"""Decodes the control document in the replicated payload."""

from __future__ import annotations

import cachetools

from rookwood.clusterconfig.control_document import ControlDocument

EMPTY_DOCUMENT = ControlDocument()
MAX_CACHED_PAYLOADS = 2  # the one in force and its successor

_documents: cachetools.LRUCache[bytes, ControlDocument] = cachetools.LRUCache(MAX_CACHED_PAYLOADS)


def read_payload(payload: bytes) -> ControlDocument:
    """Decode the document of a payload; the first payload of a new system is empty.

    A payload is read for each change, each commit and each subscriber that fetches it, so the result is
    cached. It is immutable and may be shared. Accepted changes that a cached document has as well are not
    decoded again.
    """
    if not payload:
        return EMPTY_DOCUMENT
    document = _documents.get(payload)
    if document is None:
        document = ControlDocument.decode(payload, [cached.accepted for cached in _documents.values()])
        _documents[payload] = document
    return document
