"""Decisions of a dispatcher that pushes jobs to workers. See ``rookwood.policy``."""

from rookwood.policy import Policy

__all__ = ["Policy"]
