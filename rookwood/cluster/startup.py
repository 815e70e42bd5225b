"""What the programs do before they import other modules, to restart quickly after being killed."""

from __future__ import annotations

import sys


def skip_tls_import() -> None:
    """Prevent the import of the `ssl` module.

    All connections of the system are plain TCP. If `ssl` is available, aiohttp reads the certificate store
    when it is imported, which takes a quarter of a program's startup time.
    """
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
