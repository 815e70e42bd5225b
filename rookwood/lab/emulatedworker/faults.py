"""The faults that an emulated worker can be told to have."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class CrashMidStream:
    """The worker crashes within the event after this one."""

    after_event: int = 1


@dataclass(frozen=True)
class CutAnswer:
    """The connection closes before the answer is whole; a stream gets this many events first."""

    after_event: int = 1


@dataclass(frozen=True)
class ExtraAnswer:
    """A second whole answer, of no request, follows the right one on the same connection."""

    try_id: str = "surplus"


@dataclass(frozen=True)
class Hang:
    """The request runs, but no byte of an answer is sent."""


@dataclass(frozen=True)
class Slow:
    """The first byte of the answer comes later."""

    delay_s: float


@dataclass(frozen=True)
class ServerError:
    """The request runs and fails with this status; the answer carries a seal."""

    status: int = 500


@dataclass(frozen=True)
class Full:
    """The request is refused as though all slots and the queue were taken."""


@dataclass(frozen=True)
class Pause:
    """A stream rests after this event until the test sets `resume`."""

    resume: asyncio.Event
    after_event: int = 1


Fault = CrashMidStream | CutAnswer | ExtraAnswer | Hang | Slow | ServerError | Full | Pause


@dataclass
class PlannedFault:
    """A fault that the next requests meet; with no number of times, all of them."""

    fault: Fault
    times: int | None
