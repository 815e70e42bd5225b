"""Command-line arguments of the two programs, for operators and for measurements.

They are parsed without a library, because importing one would lengthen the start of every process, for which
clients wait.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from rookwood.mechanisms import ALL_MECHANISMS, Mechanisms, UnknownMechanismError, read_mechanisms

LOG_LOSSES = "--log-losses"
WITHOUT = "--without"


class OptionsError(ValueError):
    """An unknown or incomplete argument; the text is one line."""


@dataclass(frozen=True, slots=True)
class Options:
    """The parsed arguments."""

    log_losses: bool = False  # log a line for each request that was not served in time
    mechanisms: Mechanisms = ALL_MECHANISMS


@dataclass(frozen=True, slots=True)
class ArgumentReader:
    """Parses the arguments of one program."""

    program: str
    accepted: Collection[str]

    def read(self, arguments: Sequence[str]) -> Options:
        """Parse the arguments; raises OptionsError."""
        options = Options()
        remaining = list(arguments)
        while remaining:
            argument = remaining.pop(0)
            if argument not in self.accepted:
                raise OptionsError(f"unknown argument {argument!r}; {self._usage()}")
            if argument == LOG_LOSSES:
                options = replace(options, log_losses=True)
            elif remaining:
                options = replace(options, mechanisms=_read_names(remaining.pop(0)))
            else:
                raise OptionsError(f"{WITHOUT} requires the names of mechanisms; {self._usage()}")
        return options

    def _usage(self) -> str:
        values = {LOG_LOSSES: "", WITHOUT: " NAME[,NAME...]"}
        usage = " ".join(f"[{argument}{values[argument]}]" for argument in sorted(self.accepted))
        return f"usage: {self.program} {usage}"


DATA_PLANE_ARGUMENTS = ArgumentReader("rookwood_dataplane.py", (LOG_LOSSES, WITHOUT))
CONTROL_PLANE_ARGUMENTS = ArgumentReader("rookwood_controlplane.py", (WITHOUT,))


def _read_names(names: str) -> Mechanisms:
    try:
        return read_mechanisms(names)
    except UnknownMechanismError as error:
        raise OptionsError(str(error)) from error
