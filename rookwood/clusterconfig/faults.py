"""Validation results for a configuration that cannot be accepted."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """One fault. `key` is the dotted path of the value, or empty for the document itself."""

    key: str
    message: str


@dataclass(frozen=True)
class Invalid:
    """All faults found in one document."""

    faults: tuple[Fault, ...]
