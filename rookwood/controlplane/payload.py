"""The control document inside the replicated payload."""

from __future__ import annotations

import cachetools

from rookwood.clusterconfig.control_document import ControlDocument

EMPTY_DOCUMENT = ControlDocument()
REMEMBERED_PAYLOADS = 2  # the one in force, and the one that follows it

_documents: cachetools.LRUCache[bytes, ControlDocument] = cachetools.LRUCache(REMEMBERED_PAYLOADS)


def read_payload(payload: bytes) -> ControlDocument:
    """The document of a payload; the first payload of a new system is empty.

    One payload is read for each change, each commit and each subscriber that fetches it, so the result is
    kept. It may be shared, being immutable. Of a new one only the changes are read that the ones kept lack.
    """
    if not payload:
        return EMPTY_DOCUMENT
    document = _documents.get(payload)
    if document is None:
        document = ControlDocument.decode(payload, [kept.accepted for kept in _documents.values()])
        _documents[payload] = document
    return document
