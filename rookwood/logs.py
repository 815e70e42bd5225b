"""Configures logging: plain lines by default, structured ones where the operator file asks for them.

structlog is imported only for the latter. Records of the standard library's loggers are formatted by it too.
"""

from __future__ import annotations

import logging
import sys

PLAIN = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(form: str = "plain", level: str = "info", **fields: str) -> None:
    """Configure the root logger for a format (plain, console or json) and a level.

    `fields` are added to every structured line.
    """
    if form == "plain":
        logging.basicConfig(level=level.upper(), format=PLAIN, force=True)
        return
    import structlog

    def add_fields(_: object, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
        return {**fields, **event}

    shared: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars,
        add_fields,
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
    ]
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    traceback_formatter: structlog.typing.Processor = (
        structlog.processors.dict_tracebacks
        if form == "json"
        else structlog.processors.ExceptionPrettyPrinter()
    )
    structlog.configure(
        processors=[
            structlog.stdlib.filter_by_level,
            *shared,
            structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        cache_logger_on_first_use=True,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                traceback_formatter,
                renderer,
            ],
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
