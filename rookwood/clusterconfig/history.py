"""Decides on configuration changes against the replicated control document.

`decide` is a pure function of the document and the change, so every replica computes the same result.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass

from rookwood.clusterconfig.accepted_changes import DIGEST_BYTES, AcceptedChange
from rookwood.clusterconfig.control_document import ControlDocument
from rookwood.clusterconfig.json_text import JsonObject, JsonTextError, read_object, write_canonical
from rookwood.clusterconfig.validation import (
    CheckedDocument,
    Fault,
    Invalid,
    apply_patch,
    check_change,
    parse_document,
)

__all__ = [
    "Accepted",
    "AlreadyAccepted",
    "Change",
    "ChangeMethod",
    "Conflict",
    "ControlDocument",
    "Decision",
    "BaseTooOld",
    "InvalidChange",
    "AcceptedChange",
    "decide",
]


class ChangeMethod(enum.Enum):
    """The HTTP method of a change: replace the full configuration, or patch it."""

    PUT = "PUT"
    PATCH = "PATCH"


@dataclass(frozen=True)
class Change:
    """A change as an operator sent it. `base` is the `If-Match` version, -1 if it was missing or invalid."""

    method: ChangeMethod
    base: int
    body: bytes

    def digest(self) -> bytes:
        """Return the digest that identifies the change, whatever the whitespace and key order of its body."""
        header = f"{self.method.value} {self.base}\n".encode("ascii")
        return hashlib.sha256(header + _canonical_body(self.body)).digest()[:DIGEST_BYTES]


@dataclass(frozen=True)
class Accepted:
    """The change is valid; `document` is the control document that includes it."""

    document: ControlDocument
    version: int


@dataclass(frozen=True)
class AlreadyAccepted:
    """The same change was accepted before, as `version`."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The change is based on a version other than the current one."""

    current: int


@dataclass(frozen=True)
class InvalidChange:
    """The change or the resulting configuration has faults."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class BaseTooOld:
    """The base is older than the accepted changes that are kept, so the change may have been accepted."""


Decision = Accepted | AlreadyAccepted | Conflict | BaseTooOld | InvalidChange


def decide(document: ControlDocument, change: Change) -> Decision:
    """Decide on a change: already accepted, base too old, conflict, invalid or accepted, in this order.

    A change that was accepted before never gives `Conflict` or `InvalidChange`, whatever was accepted since.
    Its base was the current version at that time, which is below the current one. So either its digest is
    found, or `may_have_dropped` is true for its base, and both are checked first.
    """
    digest = change.digest()
    earlier = document.find_accepted(digest)
    if earlier is not None:
        return AlreadyAccepted(earlier.version)
    if change.base < 0:
        return InvalidChange((Fault("If-Match", "required: the version that the change builds on"),))
    if document.may_have_dropped(change.base):
        return BaseTooOld()
    if change.base != document.version:
        return Conflict(document.version)
    checked = _check_result(document, change)
    if isinstance(checked, Invalid):
        return InvalidChange(checked.faults)
    if checked.version <= document.version:
        return InvalidChange((Fault("ver", f"must be above the current version {document.version}"),))
    accepted = AcceptedChange(digest, checked.version)
    return Accepted(document.with_change(accepted, checked.source), checked.version)


def _check_result(document: ControlDocument, change: Change) -> CheckedDocument | Invalid:
    body = parse_document(change.body)
    if isinstance(body, Invalid):
        return body
    current = _current_object(document)
    if change.method is ChangeMethod.PUT:
        return check_change(body, current)
    patched = apply_patch(current, body)
    if isinstance(patched, Invalid):
        return patched
    return check_change(patched, current)


def _current_object(document: ControlDocument) -> JsonObject:
    return read_object(document.source) if document.source else {}


def _canonical_body(body: bytes) -> bytes:
    try:
        return write_canonical(read_object(body))
    except JsonTextError:
        return body
