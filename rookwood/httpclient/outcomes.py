"""What may come of a request instead of an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection came up: the peer saw nothing of the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent and no whole true answer came: it may have run."""

    reason: str
