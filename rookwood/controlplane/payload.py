"""The control document inside the replicated payload, and the configuration in it as a message."""

from __future__ import annotations

import cachetools

from rookwood.cluster.messages import ConfigurationBody, encode_frame
from rookwood.clusterconfig.control_document import ControlDocument
from rookwood.coordination.group import Snapshot

EMPTY_DOCUMENT = ControlDocument(version=0, source=b"", taken=())
REMEMBERED_PAYLOADS = 2  # the one in force, and the one that follows it
REMEMBERED_FRAMES = 2  # one with confirmation and one without


@cachetools.cached(cachetools.LRUCache(REMEMBERED_PAYLOADS))
def read_payload(payload: bytes) -> ControlDocument:
    """The document of a payload; the first payload of a new system is empty.

    One payload is read for each change, each commit and each subscriber that fetches it, so the result is
    kept. It may be shared, being immutable.
    """
    return ControlDocument.decode(payload) if payload else EMPTY_DOCUMENT


@cachetools.cached(cachetools.LRUCache(REMEMBERED_FRAMES))
def configuration_frame(snapshot: Snapshot, *, confirmed: bool) -> bytes:
    """The configuration of a snapshot as a frame, encoded once for all subscribers that ask for it."""
    source = read_payload(snapshot.payload).source
    return encode_frame(ConfigurationBody(snapshot.epoch, snapshot.sequence, source, confirmed))
