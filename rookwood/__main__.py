"""The dispatcher's program: ``python -m rookwood``. Extensions are imported only if they are on."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path

from rookwood.logs import configure_logging
from rookwood.net.config import Config, load
from rookwood.net.dispatcher import Dispatcher, DispatcherContext, Extension
from rookwood.settings import InvalidSettingError

log = logging.getLogger(__name__)


OPERATOR_FILE_VARIABLE = "ROOKWOOD_CONF"  # holds the operator file's path; without it all extensions are off
ExtensionFactory = Callable[[DispatcherContext], Extension]


async def run(config: Config, extensions: list[ExtensionFactory]) -> None:
    """Run a dispatcher until it has shut down."""
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(config, *extensions)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, dispatcher.begin_shutdown)
    loop.add_signal_handler(signal.SIGHUP, reload, dispatcher)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await dispatcher.start()
        gc.freeze()  # objects made so far live on, so the collector need not scan them
        await dispatcher.wait_drained()
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        await dispatcher.close()


def reload(dispatcher: Dispatcher) -> None:
    """Read the configuration again. An invalid file is logged, and the configuration in force stays."""
    try:
        dispatcher.reload(load(os.environ, again=True))
    except InvalidSettingError as error:
        log.error("the new configuration is not taken over: %s", error)
    except Exception:
        log.exception("the new configuration is not taken over")


def load_extensions(environ: Mapping[str, str]) -> list[ExtensionFactory]:
    """Configure logging, read the operator file if there is one, and return its extensions' factories.

    Raises `InvalidSettingError`.
    """
    path = environ.get(OPERATOR_FILE_VARIABLE)
    if not path:
        configure_logging()
        return []
    try:
        from rookwood.conf import OperatorFileError, load
    except ImportError as error:
        raise InvalidSettingError(
            OPERATOR_FILE_VARIABLE, f"needs the extra packages of rookwood[gateway]: {error}"
        ) from None
    try:
        settings = load(Path(path))
    except OperatorFileError as error:
        raise InvalidSettingError(OPERATOR_FILE_VARIABLE, f"{len(error.faults)} fault(s)\n{error}") from None
    operator = settings.operator
    fields = {"site": operator.site} if operator.site else {}
    configure_logging(operator.log_format, operator.log_level, **fields)
    extensions: list[ExtensionFactory] = []
    if operator.store:
        from rookwood.ledger import front as ledger

        extensions.append(ledger.ledger_extension(operator))
    if operator.gateway:
        from rookwood.gateway import gate

        extensions.append(gate.front_of(operator, Path(path)))
    if operator.duties:
        from rookwood.duties import front as duties

        extensions.append(duties.extension_of(operator, Path(path)))
    return extensions


def main() -> int:
    """Run the dispatcher. Returns 2 for an invalid configuration, 1 if an address can't be listened on."""
    # By default SIGHUP ends the program, so it is blocked while no handler is installed, at start and end.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        extensions = load_extensions(os.environ)
        config = load(os.environ)
    except InvalidSettingError as invalid:
        print(f"rookwood: {invalid}", file=sys.stderr)
        return 2
    try:
        asyncio.run(run(config, extensions))
    except OSError as error:
        print(f"rookwood: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
