"""Divides the file descriptors of a process among its kinds of connections."""

from __future__ import annotations

from dataclasses import dataclass

# For the standard streams, the event loop, two listeners, the datagram socket of the peers, the watch on
# discovery and its successor, and the sockets of a handover.
RESERVED_DESCRIPTORS = 16
MANAGEMENT_ACCEPT_BATCH = 4  # management connections accepted before they are counted


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections of each kind may be open at once."""

    management_connections: int  # at the management address
    accept_batch: int  # clients' connections accepted before they are counted
    excess_clients: int  # clients over the limit, which are rejected or whose connections are being closed
    per_side: int  # clients, and likewise connections to workers: an open request takes one on either side


def divide_descriptors(sockets: int) -> ConnectionLimits:
    """Return the limits for a process that may open so many descriptors."""

    def share(divisor: int, minimum: int, maximum: int) -> int:
        return max(minimum, min(maximum, sockets // divisor))

    management, accepted, excess = share(24, 4, 12), share(24, 4, 16), share(16, 4, 32)
    rest = sockets - RESERVED_DESCRIPTORS - MANAGEMENT_ACCEPT_BATCH - management - accepted - excess
    return ConnectionLimits(management, accepted, excess, max(4, rest // 2))
