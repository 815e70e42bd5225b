"""Encodes and decodes the messages of a group and the steps of a store, for the frames of the links."""

from __future__ import annotations

from datetime import datetime
from typing import Any

import msgspec

from rookwood.gateway.frames import FrameError
from rookwood.ledger.life import ClaimRequest, Phase, Record
from rookwood.ledger.store import Reply
from rookwood.ledger.watch import KnownHistory, Mark, Member
from rookwood.replicas.group import (
    Ack,
    Bucket,
    Drop,
    Fetch,
    Message,
    Prepare,
    Promise,
    Recover,
    Recovery,
    Refused,
    Tally,
    Write,
)

# The kind of a message on the wire is its index here, so the order is fixed.
KINDS: tuple[type[Any], ...] = (
    *(Prepare, Promise, Refused, Fetch, Bucket, Write, Ack, Recover, Recovery, Tally, Drop),
)


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A step of a store with its arguments. Encoded as an array, so the order of the fields is fixed."""

    step: str
    history: KnownHistory | None = None
    key: str = ""
    token: int = 0
    claim_request: ClaimRequest | None = None
    lease: float = 0.0  # seconds
    phase: Phase | None = None
    result: bytes = b""
    generation: str = ""
    highest_token: int = 0
    expected_generation: str = ""
    trusted: bool = False
    member: Member | None = None
    records: dict[str, Record] = {}  # noqa: RUF012 - msgspec copies it


_encode = msgspec.msgpack.Encoder().encode


def _decoded(data: bytes | msgspec.Raw, kind: Any) -> Any:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FrameError(f"malformed message: {error}") from None


def message_of(message: Message) -> bytes:
    return _encode((KINDS.index(type(message)), message))


def message_from(data: bytes) -> Message:
    """Decodes a group message. Raises `FrameError`, as the other decoders do."""
    number, rest = _decoded(data, tuple[int, msgspec.Raw])
    if not 0 <= number < len(KINDS):
        raise FrameError(f"unknown message kind {number}")
    found: Message = _decoded(rest, KINDS[number])
    return found


def call_of(call: Call) -> bytes:
    return _encode(call)


def call_from(data: bytes) -> Call:
    found: Call = _decoded(data, Call)
    return found


def reply_of(reply: Reply) -> bytes:
    return _encode(reply)


def reply_from(data: bytes) -> Reply:
    found: Reply = _decoded(data, Reply)
    return found


def record_of(record: Record | None) -> bytes:
    """The value of a record's register; empty for a deleted record."""
    return _encode(record) if record else b""


def record_from(data: bytes) -> Record | None:
    found: Record | None = _decoded(data, Record) if data else None
    return found


def time_of(time: datetime) -> bytes:
    return _encode(time)


def time_from(data: bytes) -> datetime:
    found: datetime = _decoded(data, datetime)
    return found


def mark_of(mark: Mark) -> bytes:
    return _encode(mark)


def mark_from(data: bytes) -> Mark:
    found: Mark = _decoded(data, Mark)
    return found


def members_of(members: dict[str, Member]) -> bytes:
    return _encode(members)


def members_from(data: bytes) -> dict[str, Member]:
    found: dict[str, Member] = _decoded(data, dict[str, Member])
    return found
