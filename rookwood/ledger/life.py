"""The life of one key's record: pure steps, each of which a store carries out atomically.

A claim is not a lock. A lock that lapses is free again; a claim whose holder has died is *unknown*, because
the job may have run, and stays so. Times are the store's own, so the clocks of dispatchers need not agree.

Source of the fencing token: Kleppmann, "How to do distributed locking" (2016).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum


class Phase(Enum):
    CLAIMED = "claimed"
    SERVED = "served"
    FAILED = "failed"  # it may have run


@dataclass(frozen=True, slots=True)
class Record:
    fingerprint: str  # of method, path and body
    nonce: str  # of the claim, made up by its holder
    token: int  # grows with every claim of any key
    phase: Phase
    lease_until: datetime
    last_end: datetime  # after this, nothing of the claim can run any more
    kept_until: datetime
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class Ask:
    """A claim that is asked for."""

    key: str
    fingerprint: str
    nonce: str
    lease: timedelta
    runs: timedelta  # the job's last possible end, from now
    kept: timedelta  # so long the record outlives that


class Verdict(Enum):
    GRANTED = "granted"
    BUSY = "busy"  # in hand elsewhere: come back
    KEPT = "kept"  # it was served: here is the result
    UNKNOWN = "unknown"  # it may have run: one failed answer
    MISMATCH = "mismatch"  # the key was used for something else
    UNSURE = "unsure"  # the store may have lost this key's record: come back


@dataclass(frozen=True, slots=True)
class Said:
    verdict: Verdict
    token: int = 0
    wait: timedelta = timedelta(0)  # for BUSY and UNSURE: worth coming back after
    result: bytes = b""


def live(record: Record | None, now: datetime) -> Record | None:
    """The record, if it is still kept."""
    return record if record and now < record.kept_until else None


def claim(record: Record | None, ask: Ask, token: int, now: datetime) -> tuple[Record | None, Said]:
    """`token` is what a new claim would get. Returns the record after the step, and the answer."""
    record = live(record, now)
    if record is None:
        ends = now + ask.runs
        fresh = Record(
            ask.fingerprint, ask.nonce, token, Phase.CLAIMED, now + ask.lease, ends, ends + ask.kept
        )
        return fresh, Said(Verdict.GRANTED, token)
    if record.fingerprint != ask.fingerprint:
        return record, Said(Verdict.MISMATCH)
    match record.phase:
        case Phase.SERVED:
            return record, Said(Verdict.KEPT, result=record.result)
        case Phase.FAILED:
            return record, Said(Verdict.UNKNOWN)
    if record.nonce == ask.nonce and now < record.lease_until:  # its own: the reply was lost
        return record, Said(Verdict.GRANTED, record.token)
    if now < record.lease_until:
        return record, Said(Verdict.BUSY, wait=record.lease_until - now)
    # Its holder has not been heard of. Whether the job ran nobody knows, so nobody else may run it.
    return (replace(record, phase=Phase.FAILED) if now >= record.last_end else record), Said(Verdict.UNKNOWN)


def renew(record: Record | None, token: int, lease: timedelta, now: datetime) -> tuple[Record | None, bool]:
    """False: the claim is not this holder's any more, or its lease has run out: nothing more may be sent."""
    record = live(record, now)
    if record is None or record.token != token or record.phase is not Phase.CLAIMED:
        return record, False
    if now >= record.lease_until:
        return record, False  # a retry may have been told by now that it is unknown
    return replace(record, lease_until=min(now + lease, record.last_end)), True


def settle(
    record: Record | None, token: int, phase: Phase, result: bytes, now: datetime
) -> tuple[Record | None, bool]:
    """Also after the lease has run out: the holder has come back with the truth. False: it is another's."""
    record = live(record, now)
    if record is None or record.token != token:
        return record, False
    if record.phase is Phase.SERVED:  # said twice
        return record, phase is Phase.SERVED
    return replace(record, phase=phase, result=result), True


def release(record: Record | None, token: int, now: datetime) -> tuple[Record | None, bool]:
    """It is certain that the job never ran: the key is free."""
    record = live(record, now)
    if record is None or record.token != token or record.phase is not Phase.CLAIMED:
        return record, False
    return None, True
