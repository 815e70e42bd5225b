"""Messages between gateways: MessagePack arrays in frames of a 4-byte length, each a small frozen value.

The machines and the router know nothing of these; another codec takes the place of this module. Times are
integer microseconds on the wire alone: spans, or Unix time where a name ends in `_at`.
"""

from __future__ import annotations

import struct

import msgspec
from msgspec import Struct

VERSION = 1
PREFIX = struct.Struct(">I")


class FrameError(ValueError):
    """What came is no message of this protocol, or one too large."""


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """The first message of either side."""

    version: int
    site: str
    name: str
    life: int  # of this process; another after each start
    now_at: int


class Refusal(Struct, frozen=True, array_like=True, tag="refusal"):
    """Instead of a hello, or after one: this side will not talk. The connection ends."""

    why: str


class Ping(Struct, frozen=True, array_like=True, tag="ping"):
    """Away asks home for its lease, and says how many slots it lends."""

    asked: int  # away's own clock; comes back as it is
    credit: float
    rtt: int


class Stop(Struct, frozen=True, array_like=True):
    """An endpoint of the away site that home was told is draining or gone."""

    uid: str
    age: int  # since home was told


class Pong(Struct, frozen=True, array_like=True, tag="pong"):
    """Home grants the lease, says what it would hand over, and what it knows of away's endpoints."""

    asked: int
    term: int
    want: float  # slots
    stops: tuple[Stop, ...] = ()


class Offer(Struct, frozen=True, array_like=True, tag="offer"):
    job: int
    life: int  # of the away side, that the offer is for
    term: int
    expires_at: int  # by home's clock
    left: int
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
    job: int
    life: int
    expires_at: int
    safe: bool
    abandon: bool


class Ack(Struct, frozen=True, array_like=True, tag="ack"):
    job: int


class Taken(Struct, frozen=True, array_like=True, tag="taken"):
    job: int


class Ended(Struct, frozen=True, array_like=True, tag="ended"):
    job: int
    outcome: str  # of `handoff.Outcome`
    body: bytes = b""


class DutyAsk(Struct, frozen=True, array_like=True, tag="duty-ask"):
    """A member asks for a vote. This and the next kinds are of `rookwood.duties`, on links of its own."""

    duty: str
    term: int
    holder: str
    life: int
    number: int
    list: int = 0
    holds: bool = False


class DutyVote(Struct, frozen=True, array_like=True, tag="duty-vote"):
    duty: str
    voter: str
    number: int
    term: int  # of the question, with the next two
    holder: str
    life: int
    yes: bool
    highest: int  # term that the voter has heard of


class DutyRelease(Struct, frozen=True, array_like=True, tag="duty-release"):
    duty: str
    term: int
    holder: str
    life: int
    number: int


class Announce(Struct, frozen=True, array_like=True, tag="announce"):
    """To the relay of the service address: it is here. The first of a token opens the relay for it."""

    duty: str
    term: int
    holder: str
    life: int
    address: str
    serial: int
    opens: bool


class Announced(Struct, frozen=True, array_like=True, tag="announced"):
    serial: int
    accepted: bool
    seen: int  # the highest term that the relay was opened for


class MemberNews(Struct, frozen=True, array_like=True):
    """A word about a member of the site, of `rookwood.members`."""

    name: str
    life: int
    turn: int
    standing: int
    zone: str
    by: str


class MemberProbe(Struct, frozen=True, array_like=True, tag="member-probe"):
    number: int
    about: str
    news: tuple[MemberNews, ...]


class MemberAck(Struct, frozen=True, array_like=True, tag="member-ack"):
    number: int
    about: str
    news: tuple[MemberNews, ...]


class SiteAsk(Struct, frozen=True, array_like=True, tag="site-ask"):
    """How is it with you? The answer was given after the question, whatever the links do meanwhile."""

    number: int


class SiteTold(Struct, frozen=True, array_like=True, tag="site-told"):
    """What a dispatcher tells the others of its site, of itself."""

    number: int  # of the question; 0: nobody asked
    life: int
    ready: bool  # serves, and may vote
    roll: int  # the latest that it has heard of, by number, starter and the processes that are to end
    starter: str
    lives: tuple[tuple[str, int], ...]
    list: int  # the number of its list of members
    floor: int  # it has no vote running for a holder by an older list than this
    sick: tuple[str, ...]  # endpoints that fail here
    well: tuple[str, ...]  # and that have served since they did


class GroupWord(Struct, frozen=True, array_like=True, tag="group-word"):
    """Of the registers that a site keeps: `rookwood.replicas.wire` reads it."""

    body: bytes


class StoreCall(Struct, frozen=True, array_like=True, tag="store-call"):
    """A step of the ledger's store, to whoever leads."""

    number: int
    body: bytes


class StoreSaid(Struct, frozen=True, array_like=True, tag="store-said"):
    number: int
    body: bytes
    why: str  # empty: it was taken


FromHome = Hello | Pong | Offer | Withdraw | Ack | Refusal
FromAway = Hello | Ping | Taken | Ended | Refusal
OfDuties = DutyAsk | DutyVote | DutyRelease | Announce | Announced
OfMembers = MemberProbe | MemberAck | SiteAsk | SiteTold | GroupWord | StoreCall | StoreSaid
Frame = Hello | Refusal | Ping | Pong | Offer | Withdraw | Ack | Taken | Ended | OfDuties | OfMembers

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encoded(frame: Frame) -> bytes:
    data = _encoder.encode(frame)
    return PREFIX.pack(len(data)) + data


def decoded(data: bytes) -> Frame:
    """Of one frame without its length. Raises `FrameError`."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:  # ValueError: text that is not UTF-8
        raise FrameError(f"not a message: {error}") from None


class Splitter:
    """Bytes in, frames out; keeps at most one frame of `most` bytes."""

    def __init__(self, most: int) -> None:
        self._most, self._rest = most, bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        self._rest += data
        found = list[Frame]()
        while len(self._rest) >= PREFIX.size:
            (length,) = PREFIX.unpack_from(self._rest)
            if not 1 <= length <= self._most:
                raise FrameError(f"a frame of {length} bytes; 1 to {self._most} are taken")
            if len(self._rest) < PREFIX.size + length:
                break
            found.append(decoded(bytes(self._rest[PREFIX.size : PREFIX.size + length])))
            del self._rest[: PREFIX.size + length]
        return found
