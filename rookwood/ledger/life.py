"""The state machine of one key's record: pure steps, each of which a store applies atomically.

A claim is not a lock. An expired lock is free again, but a claim whose holder has died is *unknown*, since
the job may have run, until its holder settles it or the record expires. All times are read from the store's
clock, so the clocks of dispatchers need not agree.

Source of the fencing token: Kleppmann, "How to do distributed locking" (2016).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum


class Phase(Enum):
    """The phase of a record: claimed, or settled with an outcome."""

    CLAIMED = "claimed"
    SERVED = "served"
    FAILED = "failed"  # no result; the job may have run


@dataclass(frozen=True, slots=True)
class Record:
    """What the store keeps about a key. Stored and sent under these field names."""

    fingerprint: str  # of path, query and body
    nonce: str  # identifies the claim; drawn by its holder
    token: int  # fencing token: grows with every claim of any key
    phase: Phase
    lease_until: datetime
    last_end: datetime  # the job cannot run any more after this time
    kept_until: datetime  # the record expires then
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request for a claim. Sent under these field names."""

    key: str
    fingerprint: str
    nonce: str
    lease: timedelta
    runs: timedelta  # from now until the last possible end of the job
    kept: timedelta  # retention of the record after that end


class Verdict(Enum):
    """The store's decision on a request for a claim."""

    GRANTED = "granted"
    BUSY = "busy"  # another try with this key is in progress: retry later
    KEPT = "kept"  # the job was served: the kept result is replayed
    UNKNOWN = "unknown"  # the job may have run: the client gets an error response
    MISMATCH = "mismatch"  # the key was used for a different request
    UNSURE = "unsure"  # the store may have lost this key's record: retry later


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The store's reply to a request for a claim. Sent under these field names."""

    verdict: Verdict
    token: int = 0  # for GRANTED
    wait: timedelta = timedelta(0)  # for BUSY and UNSURE: a retry may succeed after this time
    result: bytes = b""  # for KEPT


def unexpired(record: Record | None, now: datetime) -> Record | None:
    """The record, unless it has expired."""
    return record if record and now < record.kept_until else None


def claim(
    record: Record | None, claim_request: ClaimRequest, token: int, now: datetime
) -> tuple[Record | None, ClaimResult]:
    """Returns the record after the step, and the reply. `token` is the one that a new claim would get."""
    record = unexpired(record, now)
    if record is None:
        last_end = now + claim_request.runs
        fresh = Record(
            claim_request.fingerprint,
            claim_request.nonce,
            token,
            Phase.CLAIMED,
            now + claim_request.lease,
            last_end,
            last_end + claim_request.kept,
        )
        return fresh, ClaimResult(Verdict.GRANTED, token)
    if record.fingerprint != claim_request.fingerprint:
        return record, ClaimResult(Verdict.MISMATCH)
    match record.phase:
        case Phase.SERVED:
            return record, ClaimResult(Verdict.KEPT, result=record.result)
        case Phase.FAILED:
            return record, ClaimResult(Verdict.UNKNOWN)
    if record.nonce == claim_request.nonce and now < record.lease_until:  # the same claim: its reply was lost
        return record, ClaimResult(Verdict.GRANTED, record.token)
    if now < record.lease_until:
        return record, ClaimResult(Verdict.BUSY, wait=record.lease_until - now)
    # The holder has let its lease expire. Nobody knows whether the job ran, so nobody else may run it.
    return (replace(record, phase=Phase.FAILED) if now >= record.last_end else record), ClaimResult(
        Verdict.UNKNOWN
    )


def renew(record: Record | None, token: int, lease: timedelta, now: datetime) -> tuple[Record | None, bool]:
    """Extends the lease. False: the token does not hold the claim, or the lease has expired.

    The holder must then send nothing more for the request.
    """
    record = unexpired(record, now)
    if record is None or record.token != token or record.phase is not Phase.CLAIMED:
        return record, False
    if now >= record.lease_until:
        return record, False  # a retry may already have got UNKNOWN
    return replace(record, lease_until=min(now + lease, record.last_end)), True


def settle(
    record: Record | None, token: int, phase: Phase, result: bytes, now: datetime
) -> tuple[Record | None, bool]:
    """Writes the outcome, also after the lease has expired. False: the claim belongs to another token."""
    record = unexpired(record, now)
    if record is None or record.token != token:
        return record, False
    if record.phase is Phase.SERVED:  # settled before; repeating it is harmless
        return record, phase is Phase.SERVED
    return replace(record, phase=phase, result=result), True


def release(record: Record | None, token: int, now: datetime) -> tuple[Record | None, bool]:
    """Frees the key. Only for a job that certainly never ran."""
    record = unexpired(record, now)
    if record is None or record.token != token or record.phase is not Phase.CLAIMED:
        return record, False
    return None, True
