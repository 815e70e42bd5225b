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

from rookwood.logs import set_up
from rookwood.net.config import Config, load
from rookwood.net.dispatcher import Core, Dispatcher, Front
from rookwood.settings import FaultyKeyError

log = logging.getLogger(__name__)


OPERATOR = "ROOKWOOD_CONF"  # names the operator's file; without it, everything in that is off
FrontOf = Callable[[Core], Front]


async def run(config: Config, fronts: list[FrontOf]) -> None:
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(config, *fronts)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, dispatcher.leave)
    loop.add_signal_handler(signal.SIGHUP, reload, dispatcher)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await dispatcher.start()
        gc.freeze()  # what was made so far stays: the collector need not walk it
        await dispatcher.left()
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        await dispatcher.close()


def reload(dispatcher: Dispatcher) -> None:
    """A file that is not sound changes nothing: what is in force goes on."""
    try:
        dispatcher.reload(load(os.environ, again=True))
    except FaultyKeyError as fault:
        log.error("the new configuration is not taken over: %s", fault)
    except Exception:
        log.exception("the new configuration is not taken over")


def operated(environ: Mapping[str, str]) -> list[FrontOf]:
    """Sets the log up, and reads the operator's file if there is one. Raises `FaultyKeyError`."""
    place = environ.get(OPERATOR)
    if not place:
        set_up()
        return []
    try:
        from rookwood.conf import ConfError, load
    except ImportError as error:
        raise FaultyKeyError(OPERATOR, f"needs the extra packages of rookwood[gateway]: {error}") from None
    try:
        settings = load(Path(place))
    except ConfError as error:
        raise FaultyKeyError(OPERATOR, f"{len(error.faults)} fault(s)\n{error}") from None
    operator = settings.operator
    fields = {"site": operator.site} if operator.site else {}
    set_up(operator.log_format, operator.log_level, **fields)
    fronts: list[FrontOf] = []
    if operator.store:
        from rookwood.ledger import front as ledger

        fronts.append(ledger.front_of(operator))
    if operator.gateway:
        from rookwood.gateway import gate

        fronts.append(gate.front_of(operator, Path(place)))
    if operator.duties:
        from rookwood.duties import front as duties

        fronts.append(duties.front_of(operator, Path(place)))
    return fronts


def main() -> int:
    # Its default is to end the program. While nobody handles it, at the start and at the end, it waits.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        fronts = operated(os.environ)
        config = load(os.environ)
    except FaultyKeyError as fault:
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
