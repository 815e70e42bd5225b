"""The position of a committed configuration in the order of all commits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ConfigurationPosition:
    """Orders committed configurations by epoch, then by sequence within the epoch."""

    epoch: int
    sequence: int


NO_CONFIGURATION = ConfigurationPosition(-1, -1)  # precedes every committed configuration
