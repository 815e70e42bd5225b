"""What validation reports about a configuration that cannot be accepted."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """One fault. `key` is the dotted path of the value, empty for the document as a whole."""

    key: str
    message: str


@dataclass(frozen=True)
class Invalid:
    """Every fault found in one document."""

    faults: tuple[Fault, ...]
