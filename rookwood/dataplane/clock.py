"""The clock of the running event loop."""

import asyncio


def now() -> float:
    """The event loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()
