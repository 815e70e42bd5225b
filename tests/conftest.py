"""Set-up of every test process.

Hypothesis draws constants from all imported modules of the project, so all of them are imported here.
Otherwise the examples that it draws would depend on which lazy imports had run before.

Tests that measure time run programs in this process, whose heap holds the modules and tests of the whole
suite. A full garbage collection of this heap would stop the event loop for up to 0.45 s, so it is frozen once
all tests are known.
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
    """Exclude everything that exists once all tests are known from later garbage collections."""
    gc.collect()
    gc.freeze()
