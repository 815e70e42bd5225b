"""The operators' changes, decided by the product's own rules, and what a replicated payload says of them."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache

from rookwood.clusterconfig import history
from rookwood.clusterconfig.control_document import ControlDocument
from rookwood.clusterconfig.history import Accepted, Change, ChangeMethod, Decision
from rookwood.coordination.outcomes import Declined

NUMBER_KEY = "change"
EMPTY = ControlDocument()
REMEMBERED_PAYLOADS = 64


@dataclass(frozen=True)
class Refusal:
    """Why a change was not made, and the payload on which that was decided."""

    decision: Decision
    payload: bytes


def make_change(number: int, base: int) -> Change:
    """Return the change of this number to a version, as an operator sends it."""
    document = {"ver": base + 1, "routes": [], "svcs": [], NUMBER_KEY: number}
    return Change(ChangeMethod.PUT, base, json.dumps(document).encode())


def apply_change(change: Change) -> Callable[[bytes], bytes | Declined]:
    """Return the function of the payload that the operators' interface proposes for a change."""

    def apply(payload: bytes) -> bytes | Declined:
        decision = history.decide(read_payload(payload), change)
        if isinstance(decision, Accepted):
            return decision.document.encode()
        return Declined(Refusal(decision, payload))

    return apply


@lru_cache(REMEMBERED_PAYLOADS)
def read_payload(payload: bytes) -> ControlDocument:
    """Return the control document of a payload; the first payload is empty."""
    return ControlDocument.decode(payload) if payload else EMPTY


@lru_cache(REMEMBERED_PAYLOADS)
def taken_digests(payload: bytes) -> tuple[bytes, ...]:
    """Return the digests of the changes taken, oldest first."""
    return tuple(change.digest for change in read_payload(payload).accepted)


def number_in_force(payload: bytes) -> int | None:
    """Return the number of the change that led to the configuration, as a reader sees it."""
    source = read_payload(payload).source
    if not source:
        return None
    number = json.loads(source)[NUMBER_KEY]
    assert isinstance(number, int)
    return number
