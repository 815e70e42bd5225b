"""Deciding on configuration changes against the replicated control document.

`decide` is a pure function of the document and the change, so every replica reaches the same result.
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
    """The HTTP method of a change: replace the whole configuration, or patch it."""

    PUT = "PUT"
    PATCH = "PATCH"


@dataclass(frozen=True)
class Change:
    """A change as an operator sent it. `base` is the `If-Match` version, -1 where it was unreadable."""

    method: ChangeMethod
    base: int
    body: bytes

    def digest(self) -> bytes:
        """Identify the change; JSON bodies that differ only in whitespace or key order are the same."""
        header = f"{self.method.value} {self.base}\n".encode("ascii")
        return hashlib.sha256(header + _canonical_body(self.body)).digest()[:DIGEST_BYTES]


@dataclass(frozen=True)
class Accepted:
    """The change is valid; `document` is the control document after it."""

    document: ControlDocument
    version: int


@dataclass(frozen=True)
class AlreadyAccepted:
    """The same change was accepted before, as `version`."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The change builds on a version other than the current one."""

    current: int


@dataclass(frozen=True)
class InvalidChange:
    """The change, or the configuration it leads to, has faults."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class BaseTooOld:
    """The change builds on a version before the remembered ones: it may have been accepted."""


Decision = Accepted | AlreadyAccepted | Conflict | BaseTooOld | InvalidChange


def decide(document: ControlDocument, change: Change) -> Decision:
    """Decide on a change: repeated, forgotten, in conflict, invalid or accepted, in this order.

    A change that was accepted before is never `Conflict` or `InvalidChange`, whatever came after it. It
    built on the version that was current then, which is below today's. So it is either found by its
    digest, or it builds on a version that `may_have_forgotten` names, before anything else is looked at.
    """
    digest = change.digest()
    taken = document.find_accepted(digest)
    if taken is not None:
        return AlreadyAccepted(taken.version)
    if change.base < 0:
        return InvalidChange((Fault("If-Match", "required: the version that the change builds on"),))
    if document.may_have_forgotten(change.base):
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
