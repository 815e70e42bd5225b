"""The control document inside the replicated payload."""

from __future__ import annotations

import cachetools

from rookwood.clusterconfig.control_document import ControlDocument

EMPTY_DOCUMENT = ControlDocument(version=0, source=b"", taken=())
REMEMBERED_PAYLOADS = 2  # the one in force, and the one that follows it


@cachetools.cached(cachetools.LRUCache(REMEMBERED_PAYLOADS))
def read_payload(payload: bytes) -> ControlDocument:
    """The document of a payload; the first payload of a new system is empty.

    One payload is read for each change, each commit and each subscriber that fetches it, so the result is
    kept. It may be shared, being immutable.
    """
    return ControlDocument.decode(payload) if payload else EMPTY_DOCUMENT
