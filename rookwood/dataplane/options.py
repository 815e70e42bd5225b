"""The data plane's command-line arguments: switches that operators and measurements need."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

LOG_LOSSES = "--log-losses"
USAGE = f"usage: rookwood_dataplane.py [{LOG_LOSSES}]"


class OptionsError(ValueError):
    """An argument that the program does not know; its text is one line."""


@dataclass(frozen=True, slots=True)
class Options:
    """What the arguments ask for."""

    log_losses: bool = False  # write a line for each request that was not served in time


def read_options(arguments: Sequence[str]) -> Options:
    """Read the arguments; raises OptionsError."""
    log_losses = False
    for argument in arguments:
        if argument != LOG_LOSSES:
            raise OptionsError(f"unknown argument {argument!r}; {USAGE}")
        log_losses = True
    return Options(log_losses)
