"""Free ports on loopback addresses, for what is to listen there soon."""

from __future__ import annotations

import random
import socket
from collections import deque
from socket import SOCK_STREAM, SocketKind

PORTS = range(10_000, 20_000)  # below the ephemeral ports, which any connection may take meanwhile
RESERVATION_IP = "127.255.255.254"  # nothing listens here; a port that is bound here is taken by a call
MOST_RESERVED = 64
MOST_DRAWS = 200

_reservations: deque[socket.socket] = deque()
_source = random.SystemRandom()  # tests seed the common one, and would all draw the same


class NoFreePortError(Exception):
    """Every port that was drawn is in use."""


def find_free_port(*ips: str, kind: SocketKind = SOCK_STREAM) -> int:
    """A port that is free at each of these addresses.

    It is reserved against all other calls, those of other processes included, until this process ends or has
    reserved MOST_RESERVED others. So nobody gets it between this call and the moment when it is bound.
    """
    for _ in range(MOST_DRAWS):
        port = _source.choice(PORTS)
        if _reserve(port) and all(is_free(ip, port, kind) for ip in ips):
            return port
    raise NoFreePortError(f"{MOST_DRAWS} ports were in use at {', '.join(ips)}")


def is_free(ip: str, port: int, kind: SocketKind = SOCK_STREAM) -> bool:
    """Whether a socket can be bound there."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> bool:
    """Whether no call has reserved the port; then it is reserved from now on."""
    reservation = socket.socket()
    try:
        reservation.bind((RESERVATION_IP, port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > MOST_RESERVED:
        _reservations.popleft().close()
    return True
