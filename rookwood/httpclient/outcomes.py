"""Outcomes of a request that has no response."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection could be opened, so the peer has received nothing of the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent, but no complete and valid response was received: it may have run."""

    reason: str
