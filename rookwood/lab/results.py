"""Results of experiments as JSON, with the settings and the version that they came from."""

from __future__ import annotations

import json
import platform
from datetime import UTC, datetime
from importlib.metadata import version
from pathlib import Path
from typing import Any


def keep(place: Path | None, name: str, settings: dict[str, Any], figures: dict[str, Any]) -> None:
    """Writes to `place`, if there is one. The figures stand at the top level."""
    if place is None:
        return
    about = {
        "experiment": name,
        "version": version("rookwood"),
        "python": platform.python_version(),
        "at": datetime.now(UTC).isoformat(timespec="seconds"),
        "settings": settings,
    }
    place.parent.mkdir(parents=True, exist_ok=True)
    place.write_text(json.dumps(about | figures, indent=1, sort_keys=False) + "\n")
