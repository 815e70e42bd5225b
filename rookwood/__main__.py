"""One real dispatcher: ``python -m rookwood``."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

from rookwood.net.config import Config, load
from rookwood.net.dispatcher import Dispatcher
from rookwood.settings import FaultyKeyError

log = logging.getLogger(__name__)


async def run(config: Config) -> None:
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(config)
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


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    # Its default is to end the program. While nobody handles it, at the start and at the end, it waits.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load(os.environ)
    except FaultyKeyError as fault:
        print(f"rookwood: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(run(config))
    except OSError as error:
        print(f"rookwood: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
