"""Limits of the HTTP listeners of a process, and how its descriptors are divided among its connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

FILE_DESCRIPTORS = 200  # of a process, which the platform keeps for files that are no sockets
INTERNAL_SOCKETS = 48  # links to control machines, listening sockets and connections being closed
OBSERVER_SOCKETS = 16  # each for readiness and for metrics
UPSTREAM_SHARE = 1 / 3  # of the sockets, for connections to workers
MIN_CLIENT_SOCKETS = 16
MIN_UPSTREAM_SOCKETS = 16
CONTROL_SHARE = 0.5  # of a control machine's sockets, for workers and operators
LINK_SHARE = 0.25  # of a control machine's sockets, for links that others open
MIN_LINKS = 16
DEFAULT_HEAD_BYTES = 64 * 1024
DEFAULT_HEAD_SECONDS = 3.0
DEFAULT_UNREAD_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What the connections of one listener may do.

    `head_bytes` bounds the head of a request, `head_seconds` the time from its first byte to its last, and
    `unread_seconds` the time for which a client may leave a response unread. They are read at each use, as
    a configuration may change them.
    """

    connections: int
    head_bytes: Callable[[], int] = lambda: DEFAULT_HEAD_BYTES
    head_seconds: Callable[[], float] = lambda: DEFAULT_HEAD_SECONDS
    unread_seconds: Callable[[], float] = lambda: DEFAULT_UNREAD_SECONDS


@dataclass(frozen=True, slots=True)
class DescriptorPlan:
    """How many sockets each kind of connection of a dispatcher may use."""

    clients: int
    upstream: int
    observers: int = OBSERVER_SOCKETS

    @classmethod
    def of(cls, descriptors: int) -> DescriptorPlan:
        """Divide the descriptors of a dispatcher."""
        sockets = descriptors - FILE_DESCRIPTORS
        upstream = max(MIN_UPSTREAM_SOCKETS, int(sockets * UPSTREAM_SHARE))
        others = upstream + 2 * OBSERVER_SOCKETS + INTERNAL_SOCKETS
        return cls(max(MIN_CLIENT_SOCKETS, sockets - others), upstream)


def link_connections(descriptors: int) -> int:
    """How many links of dispatchers and other control machines a control machine accepts."""
    return max(MIN_LINKS, int((descriptors - FILE_DESCRIPTORS) * LINK_SHARE))


def control_connections(descriptors: int) -> int:
    """How many connections of workers and operators a control machine accepts."""
    return max(MIN_CLIENT_SOCKETS, int((descriptors - FILE_DESCRIPTORS) * CONTROL_SHARE))
