"""The two connections from one member to another, what goes over each, and the bytes on them.

Heartbeats and answers are small and must not wait; a document may have megabytes. So documents go over a
connection of their own. A member of the version before opens and takes the first one alone: documents go
to a peer over the second one only once that peer has opened its own.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from rookwood.coordination.codec import DecodeError, encode_message
from rookwood.coordination.document import MAX_PAYLOAD_BYTES
from rookwood.coordination.messages import Message, Promise, Write

LENGTH_BYTES = 4
INCARNATION_BYTES = 8
PREAMBLE_BYTES = 4
MAX_FRAME_BYTES = 2 * MAX_PAYLOAD_BYTES  # the version before took documents of up to 8 MB


class Lane(Enum):
    """One of the two connections, by the bytes with which it begins."""

    CONTROL = b"RKC1"
    DOCUMENTS = b"RKD1"


@dataclass(frozen=True)
class Preamble:
    """What a member tells at the beginning of a connection that it opened."""

    lane: Lane
    sender: str
    incarnation: int

    def encode(self) -> bytes:
        """Return the first bytes of the connection."""
        address = self.sender.encode()
        life = self.incarnation.to_bytes(INCARNATION_BYTES)
        return self.lane.value + life + bytes((len(address),)) + address


def carries_document(message: Message) -> bool:
    """Tell whether a message holds a whole document."""
    return isinstance(message, Write) or (isinstance(message, Promise) and message.document is not None)


def encode_frame(message: Message) -> bytes:
    """Return a message as it goes over the connection."""
    body = encode_message(message)
    return len(body).to_bytes(LENGTH_BYTES) + body


async def read_preamble(reader: asyncio.StreamReader) -> Preamble:
    """Read the beginning of a connection; raises `DecodeError` for a stranger's."""
    begin = await reader.readexactly(PREAMBLE_BYTES)
    try:
        lane = Lane(begin)
    except ValueError as error:
        raise DecodeError("not a connection of a member") from error
    incarnation = int.from_bytes(await reader.readexactly(INCARNATION_BYTES))
    length = (await reader.readexactly(1))[0]
    return Preamble(lane, (await reader.readexactly(length)).decode(), incarnation)


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read the body of the next frame."""
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
    if length > MAX_FRAME_BYTES:
        raise DecodeError("frame too long")
    return await reader.readexactly(length)
