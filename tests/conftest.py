"""What every test process does first.

Hypothesis draws constants from whatever of this project is imported: all of it. Without that, what a lazy
import had brought in by then would decide which examples are drawn.

Tests that measure time run programs in this process, whose heap holds the modules and tests of the whole
suite. A full garbage collection of it stops the event loop for up to 0.45 s; so what stays is not collected
again.
"""

from __future__ import annotations

import gc
import importlib
import pkgutil

import rookwood

for found in pkgutil.walk_packages(rookwood.__path__, "rookwood."):
    if not found.name.endswith("__main__"):
        importlib.import_module(found.name)


def pytest_collection_finish() -> None:
    """All tests are known: nothing that exists by now is garbage."""
    gc.collect()
    gc.freeze()
