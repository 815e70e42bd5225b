"""What a peer may send as one response, and how often more came."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

import aiohttp

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class Excess(Enum):
    """The part of a response that went beyond its limit."""

    HEAD = "head"
    INTERIM = "interim responses"
    FRAMING = "framing"
    BODY = "body"
    EVENT = "event"
    MEMORY = "memory"  # the part is within its limit, but the process has no room for it


class ExcessiveResponseError(aiohttp.ClientError):
    """A response was given up since it went beyond a limit; its connection is closed."""

    def __init__(self, excess: Excess) -> None:
        super().__init__(f"excessive {excess.value}")
        self.excess = excess


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Sizes in bytes; a response that exceeds one of them is given up at once.

    `body_bytes` doesn't apply to a body that is forwarded while it arrives. `head_bytes` counts the head and
    all interim responses before it. Of the bytes that frame a body (sizes and extensions of chunks, trailers)
    there may be as many as there are bytes of the body, and `framing_bytes` more.
    """

    body_bytes: int = 8 * MEBIBYTE
    head_bytes: int = 16 * KIBIBYTE
    interim_responses: int = 16
    framing_bytes: int = 64 * KIBIBYTE


DEFAULT_RESPONSE_LIMITS = ResponseLimits()


class RefusedResponses:
    """Counts the responses that were given up for their size, by what was too much."""

    def __init__(self) -> None:
        self._counts: Counter[Excess] = Counter()

    def record(self, excess: Excess) -> None:
        """Count one response."""
        self._counts[excess] += 1

    def counts(self) -> dict[Excess, int]:
        """The count for each excess, zeros included."""
        return {excess: self._counts[excess] for excess in Excess}


REFUSED_RESPONSES = RefusedResponses()
"""Those of this process, since its start."""
