"""Hypothesis draws constants from whatever of this project is imported: all of it, in every test process.

Without that, what a lazy import had brought in by then would decide which examples are drawn."""

from __future__ import annotations

import importlib
import pkgutil

import rookwood

for found in pkgutil.walk_packages(rookwood.__path__, "rookwood."):
    if not found.name.endswith("__main__"):
        importlib.import_module(found.name)
