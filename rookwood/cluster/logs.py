"""JSON logs on standard error, one object per line."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "rookwood"


def configure_logging(hostname: str, level: int = logging.INFO) -> logging.Logger:
    """Write the records of the program's logger to standard error as JSON and return that logger."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter("%(levelname)s %(message)s", static_fields={"node": hostname})
    handler.setFormatter(formatter)
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return logger
