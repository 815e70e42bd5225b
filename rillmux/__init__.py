"""Decisions of a dispatcher that pushes jobs to workers. See ``rillmux.policy``."""

from rillmux.policy import Policy

__all__ = ["Policy"]
