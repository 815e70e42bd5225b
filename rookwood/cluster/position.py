"""The place of a committed configuration in the order of all of them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ConfigurationPosition:
    """Orders configurations: epoch first, then sequence."""

    epoch: int
    sequence: int


NO_CONFIGURATION = ConfigurationPosition(-1, -1)
