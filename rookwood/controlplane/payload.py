"""The control document inside the replicated payload."""

from __future__ import annotations

from rookwood.clusterconfig.control_document import ControlDocument

EMPTY_DOCUMENT = ControlDocument(version=0, source=b"", taken=())


def read_payload(payload: bytes) -> ControlDocument:
    """The document of a payload; the first payload of a new system is empty."""
    return ControlDocument.decode(payload) if payload else EMPTY_DOCUMENT
