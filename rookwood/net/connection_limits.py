"""How the file descriptors of one process are dealt out. What is kept back goes by their number."""

from __future__ import annotations

from dataclasses import dataclass

# Standard streams, the loop's own, two listeners, the peers' datagrams, the watch and the one after it, and
# the sockets of a handover.
BASE = 16
CALL_ACCEPTS = 4  # callers taken in before those taken are counted


@dataclass(frozen=True, slots=True)
class Room:
    callers: int  # at the second address, at once
    accepts: int  # clients taken in before those taken are counted
    spare: int  # clients beyond the bound, who are told so or are just being let go
    half: int  # for clients, and as many for endpoints: a request in hand takes one on either side


def room_of(sockets: int) -> Room:
    def part(divisor: int, least: int, most: int) -> int:
        return max(least, min(most, sockets // divisor))

    callers, accepts, spare = part(24, 4, 12), part(24, 4, 16), part(16, 4, 32)
    left = sockets - BASE - CALL_ACCEPTS - callers - accepts - spare
    return Room(callers, accepts, spare, max(4, left // 2))
