"""The two channels from one member to another, and the framing of messages on them.

Each channel is a connection of its own. Heartbeats and responses are small and must not wait, while a
document may have megabytes, so documents have their own channel. A member of the previous version opens and
accepts the control channel only. So documents go over their channel only to a peer that has opened it too.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from rookwood.coordination.codec import DecodeError, encode_message
from rookwood.coordination.document import MAX_PAYLOAD_BYTES
from rookwood.coordination.messages import Message, Promise, Write
from rookwood.memory_budget import Holding

LENGTH_BYTES = 4
INCARNATION_BYTES = 8
PREAMBLE_BYTES = 4
SMALL_FRAME_BYTES = 64 * 1024  # of a frame that is read without asking for memory
PREAMBLE_TIMEOUT = 2.0  # seconds
FRAME_TIMEOUT = 15.0  # seconds from the length of a frame to its last byte
MEMORY_TIMEOUT = 2.0  # seconds for which a frame waits for memory
MAX_FRAME_BYTES = 2 * MAX_PAYLOAD_BYTES  # the previous version accepted documents of up to 8 MB


class Channel(Enum):
    """A channel; its value is the first bytes of the connection."""

    CONTROL = b"RKC1"
    DOCUMENTS = b"RKD1"


@dataclass(frozen=True)
class Preamble:
    """The start of a connection: its channel, and the address and incarnation of the opening member."""

    channel: Channel
    sender: str
    incarnation: int

    def encode(self) -> bytes:
        """Return the preamble in the form in which it is sent."""
        address = self.sender.encode()
        incarnation = self.incarnation.to_bytes(INCARNATION_BYTES)
        return self.channel.value + incarnation + bytes((len(address),)) + address


def carries_document(message: Message) -> bool:
    """Return whether a message contains a document."""
    return isinstance(message, Write) or (isinstance(message, Promise) and message.document is not None)


def encode_frame(message: Message) -> bytes:
    """Return the frame of a message: its length, then its encoding."""
    body = encode_message(message)
    return len(body).to_bytes(LENGTH_BYTES) + body


async def read_preamble(reader: asyncio.StreamReader) -> Preamble:
    """Read the preamble of a connection; raises `DecodeError` if a member did not open it, or not in time."""
    try:
        async with asyncio.timeout(PREAMBLE_TIMEOUT):
            return await _read_preamble(reader)
    except TimeoutError as error:
        raise DecodeError("no connection preamble in time") from error


async def _read_preamble(reader: asyncio.StreamReader) -> Preamble:
    marker = await reader.readexactly(PREAMBLE_BYTES)
    try:
        channel = Channel(marker)
    except ValueError as error:
        raise DecodeError("unknown connection preamble") from error
    incarnation = int.from_bytes(await reader.readexactly(INCARNATION_BYTES))
    length = (await reader.readexactly(1))[0]
    return Preamble(channel, (await reader.readexactly(length)).decode(), incarnation)


async def read_frame(reader: asyncio.StreamReader, memory: Holding | None = None) -> bytes:
    """Read the body of the next frame; `memory` holds a large one from before it is read.

    Raises `DecodeError` for a frame that is too large, takes too long or finds no room.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
    if length > MAX_FRAME_BYTES:
        raise DecodeError("frame exceeds the maximum length")
    if memory is not None and not await _hold_frame(memory, length):
        raise DecodeError("no memory for a frame")
    try:
        async with asyncio.timeout(FRAME_TIMEOUT):
            return await reader.readexactly(length)
    except TimeoutError as error:
        raise DecodeError("a frame took too long") from error


async def _hold_frame(memory: Holding, length: int) -> bool:
    return length <= SMALL_FRAME_BYTES or await memory.add_within(length, MEMORY_TIMEOUT)
