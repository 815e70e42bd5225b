"""The one logger set-up: plain lines for the platform, structured ones where the operator's file says so.

structlog is imported only for the latter; records of the standard library's loggers go the same way out.
"""

from __future__ import annotations

import logging
import sys

PLAIN = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(form: str = "plain", level: str = "info", **fields: str) -> None:
    """`form` is plain, console or json; `fields` stand on every structured line."""
    if form == "plain":
        logging.basicConfig(level=level.upper(), format=PLAIN, force=True)
        return
    import structlog

    def common(_: object, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
        return {**fields, **event}

    shared: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars,
        common,
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
    ]
    last: structlog.typing.Processor = (
        structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    trace: structlog.typing.Processor = (
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
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, trace, last],
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
