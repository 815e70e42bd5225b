"""Messages between processes: MessagePack arrays, each in a frame with a 4-byte length prefix.

The state machines and the router do not depend on this module, so the encoding can be replaced. Times are
integer microseconds, and only on the wire: durations, or Unix time where a name ends in `_at`.
"""

from __future__ import annotations

import struct

import msgspec
from msgspec import Struct

VERSION = 1
PREFIX = struct.Struct(">I")


class FrameError(ValueError):
    """The received bytes are not a message of this protocol, or the frame has an invalid length."""


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """The first message that either side sends."""

    version: int
    site: str
    name: str
    life: int  # incarnation of this process; differs after each start
    now_at: int


class Refusal(Struct, frozen=True, array_like=True, tag="refusal"):
    """Rejects the connection, in place of a hello or after it. The sender closes the connection."""

    why: str


class Ping(Struct, frozen=True, array_like=True, tag="ping"):
    """Away requests its lease from home and reports how many slots it lends."""

    asked: int  # time of the request by away's clock; home returns it unchanged
    credit: float
    rtt: int


class Stop(Struct, frozen=True, array_like=True):
    """An endpoint of the away site that drains or is gone, as the home site learned."""

    uid: str
    age: int  # time since home learned of it


class Pong(Struct, frozen=True, array_like=True, tag="pong"):
    """Home grants the lease and reports its demand and what it knows of away's endpoints."""

    asked: int  # copied from the ping; 0 if this only updates the advice
    term: int
    want: float  # slots of the jobs that wait at home
    stops: tuple[Stop, ...] = ()


class Offer(Struct, frozen=True, array_like=True, tag="offer"):
    """Home offers a job to away."""

    job: int
    life: int  # incarnation of the away side that the offer is for
    term: int
    expires_at: int  # by home's clock
    left: int  # time that remains for the job at the away side, less the transit
    job_class: str
    slots: float
    memory: float | None
    key: str | None
    is_retry: bool
    request_id: str
    target: bytes
    host: str
    content_type: str | None
    body: bytes
    stops: tuple[Stop, ...] = ()
    keys: tuple[bytes, ...] = ()
    tenant: str | None = None
    hint: int | None = None


class Withdraw(Struct, frozen=True, array_like=True, tag="withdraw"):
    """Home takes an offer back: away must not start the job, and with `abandon` must also stop it."""

    job: int
    life: int
    expires_at: int
    safe: bool
    abandon: bool


class Ack(Struct, frozen=True, array_like=True, tag="ack"):
    """Home has received the outcome of the job."""

    job: int


class Taken(Struct, frozen=True, array_like=True, tag="taken"):
    """Away has accepted the offer."""

    job: int


class Ended(Struct, frozen=True, array_like=True, tag="ended"):
    """Away reports the outcome of the job."""

    job: int
    outcome: str  # a value of `handoff.Outcome`
    body: bytes = b""


class DutyAsk(Struct, frozen=True, array_like=True, tag="duty-ask"):
    """A member requests a vote. `rookwood.duties` uses this and the following messages, on separate links."""

    duty: str
    term: int
    holder: str
    life: int
    number: int
    list: int = 0
    holds: bool = False


class DutyVote(Struct, frozen=True, array_like=True, tag="duty-vote"):
    """A voter's response to a request for a vote."""

    duty: str
    voter: str
    number: int
    term: int  # copied from the request, as are the next two fields
    holder: str
    life: int
    yes: bool
    highest: int  # the highest term that the voter knows of


class DutyRelease(Struct, frozen=True, array_like=True, tag="duty-release"):
    """The holder of a duty gives it up."""

    duty: str
    term: int
    holder: str
    life: int
    number: int


class Announce(Struct, frozen=True, array_like=True, tag="announce"):
    """Tells the relay where the service address is. A token's first announcement opens the relay for it."""

    duty: str
    term: int
    holder: str
    life: int
    address: str
    serial: int
    opens: bool


class Announced(Struct, frozen=True, array_like=True, tag="announced"):
    """The relay's response to an announcement."""

    serial: int
    accepted: bool
    seen: int  # the highest term for which the relay was opened


class MemberNews(Struct, frozen=True, array_like=True):
    """The state of one member of the site, for `rookwood.members`."""

    name: str
    life: int
    turn: int
    standing: int
    zone: str
    by: str


class MemberProbe(Struct, frozen=True, array_like=True, tag="member-probe"):
    """Probes a member, with news of others."""

    number: int
    about: str
    news: tuple[MemberNews, ...]


class MemberAck(Struct, frozen=True, array_like=True, tag="member-ack"):
    """The response to a probe, with news of others."""

    number: int
    about: str
    news: tuple[MemberNews, ...]


class SiteAsk(Struct, frozen=True, array_like=True, tag="site-ask"):
    """Requests a dispatcher's state. The number shows that the response was made after this request."""

    number: int


class SiteTold(Struct, frozen=True, array_like=True, tag="site-told"):
    """The state that a dispatcher reports to the others of its site."""

    number: int  # of the request; 0 if there was none
    life: int
    ready: bool  # it serves requests and may vote
    roll: int  # the latest roll that it knows of: its number, its starter and the processes to be restarted
    starter: str
    lives: tuple[tuple[str, int], ...]
    list: int  # the version of its list of members
    floor: int  # it has no unexpired vote that was given by a list older than this
    sick: tuple[str, ...]  # endpoints that fail for this dispatcher
    well: tuple[str, ...]  # endpoints that have served again since they failed


class GroupWord(Struct, frozen=True, array_like=True, tag="group-word"):
    """A message of the site's replicated registers; `rookwood.replicas.wire` decodes it."""

    body: bytes


class StoreCall(Struct, frozen=True, array_like=True, tag="store-call"):
    """An operation on the ledger's store, sent to the leader."""

    number: int
    body: bytes


class StoreSaid(Struct, frozen=True, array_like=True, tag="store-said"):
    """The leader's response to an operation on the store."""

    number: int
    body: bytes
    why: str  # reason of a failure; empty if the operation was accepted


FromHome = Hello | Pong | Offer | Withdraw | Ack | Refusal
FromAway = Hello | Ping | Taken | Ended | Refusal
OfDuties = DutyAsk | DutyVote | DutyRelease | Announce | Announced
OfMembers = MemberProbe | MemberAck | SiteAsk | SiteTold | GroupWord | StoreCall | StoreSaid
Frame = Hello | Refusal | Ping | Pong | Offer | Withdraw | Ack | Taken | Ended | OfDuties | OfMembers

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encoded(frame: Frame) -> bytes:
    """Encode a message with its length prefix."""
    data = _encoder.encode(frame)
    return PREFIX.pack(len(data)) + data


def decoded(data: bytes) -> Frame:
    """Decode one frame without its length prefix. Raises `FrameError`."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:  # ValueError: text that is not UTF-8
        raise FrameError(f"not a message: {error}") from None


class Splitter:
    """Splits received bytes into frames; buffers at most one incomplete frame of up to `max_size` bytes."""

    def __init__(self, max_size: int) -> None:
        self._max_size, self._buffer = max_size, bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes; returns the frames that they complete. Raises `FrameError`."""
        self._buffer += data
        found = list[Frame]()
        while len(self._buffer) >= PREFIX.size:
            (length,) = PREFIX.unpack_from(self._buffer)
            if not 1 <= length <= self._max_size:
                raise FrameError(f"a frame of {length} bytes; 1 to {self._max_size} are allowed")
            if len(self._buffer) < PREFIX.size + length:
                break
            found.append(decoded(bytes(self._buffer[PREFIX.size : PREFIX.size + length])))
            del self._buffer[: PREFIX.size + length]
        return found
