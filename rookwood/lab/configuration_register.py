"""The operators' configuration as one register: read it, or change it if it is at the expected version.

A change has an identity. Sent again after it was taken, it is answered with the version that it led to, and
changes nothing.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class ReadCall:
    """Read the configuration in force."""


@dataclass(frozen=True)
class ChangeCall:
    """Change the configuration if `base` is its version; `change` identifies what is sent again."""

    change: int
    base: int


RegisterCall = ReadCall | ChangeCall


@dataclass(frozen=True)
class Value:
    """What a read saw: the version, and the change that led to it (None: there was none yet)."""

    version: int
    change: int | None


@dataclass(frozen=True)
class Taken:
    """The change is in force from now on, as this version."""

    version: int


@dataclass(frozen=True)
class TakenBefore:
    """The same change was taken earlier, as this version."""

    version: int


@dataclass(frozen=True)
class Refused:
    """The change builds on a version other than the current one, and was never taken."""

    current: int


RegisterAnswer = Value | Taken | TakenBefore | Refused
TakenChanges = tuple[int, ...]


class ConfigurationRegister:
    """The sequential model; its state is the changes taken, each of which raises the version by one."""

    def initial(self) -> TakenChanges:
        """Return the state before the first change."""
        return ()

    def apply(self, state: TakenChanges, call: RegisterCall) -> tuple[TakenChanges, RegisterAnswer]:
        """Return the state after a call, and its answer."""
        if isinstance(call, ReadCall):
            return state, Value(len(state), state[-1] if state else None)
        if call.change in state:
            return state, TakenBefore(state.index(call.change) + 1)
        if call.base != len(state):
            return state, Refused(len(state))
        return (*state, call.change), Taken(len(state) + 1)
