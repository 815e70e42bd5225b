"""Loopback addresses and ports that are free."""

from __future__ import annotations

import random
from dataclasses import dataclass

from rookwood.lab.free_ports import is_free
from rookwood.lab.systemstage.machines import Ports
from rookwood.lab.systemstage.waiting import StageError

FIRST_PORTS = range(20_000, 30_000, 50)  # below the ephemeral ports
NETWORK_DRAWS = 100


@dataclass(frozen=True)
class LoopbackNetwork:
    """A range of loopback addresses and the ports that are free on them."""

    prefix: str
    ports: Ports

    def ip(self, host: int) -> str:
        """The address of that number."""
        return f"{self.prefix}.{host}"


def choose_network() -> LoopbackNetwork:
    """A range and ports that nobody uses, different from call to call."""
    for _ in range(NETWORK_DRAWS):
        prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        network = LoopbackNetwork(prefix, Ports(random.choice(FIRST_PORTS)))
        if all(is_free(network.ip(1), port) for port in network.ports.all()):
            return network
    raise StageError("no free ports")
