"""The clock of the running event loop."""

import asyncio


def now() -> float:
    """Return the loop's time in seconds; it never goes back."""
    return asyncio.get_running_loop().time()
