"""What the programs do before they import the rest, so that a start after a kill takes little time."""

from __future__ import annotations

import sys


def skip_tls_import() -> None:
    """Keep the `ssl` module from being imported.

    All connections of the system are plain TCP. With `ssl` at hand, aiohttp reads the certificate store
    when it is imported, which takes a quarter of a program's start.
    """
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
