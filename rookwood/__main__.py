"""One real dispatcher: ``python -m rookwood``. What the operator's file does not ask for is not imported."""

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


OPERATOR_FILE_VARIABLE = "ROOKWOOD_CONF"  # names the operator's file; without it, everything in that is off
FrontOf = Callable[[DispatcherContext], Extension]


async def run(config: Config, fronts: list[FrontOf]) -> None:
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(config, *fronts)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, dispatcher.begin_shutdown)
    loop.add_signal_handler(signal.SIGHUP, reload, dispatcher)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await dispatcher.start()
        gc.freeze()  # what was made so far stays: the collector need not walk it
        await dispatcher.wait_drained()
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        await dispatcher.close()


def reload(dispatcher: Dispatcher) -> None:
    """A file that is not sound changes nothing: what is in force goes on."""
    try:
        dispatcher.reload(load(os.environ, again=True))
    except InvalidSettingError as fault:
        log.error("the new configuration is not taken over: %s", fault)
    except Exception:
        log.exception("the new configuration is not taken over")


def operated(environ: Mapping[str, str]) -> list[FrontOf]:
    """Sets the log up, and reads the operator's file if there is one. Raises `InvalidSettingError`."""
    place = environ.get(OPERATOR_FILE_VARIABLE)
    if not place:
        configure_logging()
        return []
    try:
        from rookwood.conf import OperatorFileError, load
    except ImportError as error:
        raise InvalidSettingError(
            OPERATOR_FILE_VARIABLE, f"needs the extra packages of rookwood[gateway]: {error}"
        ) from None
    try:
        settings = load(Path(place))
    except OperatorFileError as error:
        raise InvalidSettingError(OPERATOR_FILE_VARIABLE, f"{len(error.faults)} fault(s)\n{error}") from None
    operator = settings.operator
    fields = {"site": operator.site} if operator.site else {}
    configure_logging(operator.log_format, operator.log_level, **fields)
    fronts: list[FrontOf] = []
    if operator.store:
        from rookwood.ledger import front as ledger

        fronts.append(ledger.front_of(operator))
    if operator.gateway:
        from rookwood.gateway import gate

        fronts.append(gate.front_of(operator, Path(place)))
    if operator.duties:
        from rookwood.duties import front as duties

        fronts.append(duties.extension_of(operator, Path(place)))
    return fronts


def main() -> int:
    # Its default is to end the program. While nobody handles it, at the start and at the end, it waits.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        fronts = operated(os.environ)
        config = load(os.environ)
    except InvalidSettingError as fault:
        print(f"rookwood: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(run(config, fronts))
    except OSError as error:
        print(f"rookwood: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
