"""A dispatcher that pushes jobs to workers. Its decisions are in ``rookwood.policy``.

The programs of the whole system live in subpackages and start often, so the policy is imported at first use.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rookwood.policy import Policy

__all__ = ["Policy"]


def __getattr__(name: str) -> Any:
    """Import the policy at its first use."""
    if name != "Policy":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from rookwood.policy import Policy

    return Policy
