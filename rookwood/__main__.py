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


async def run(config: Config) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    dispatcher = Dispatcher(config)
    try:
        await dispatcher.start()
        gc.freeze()  # what was made so far stays: the collector need not walk it
        await stop.wait()
        await dispatcher.leave()
    finally:
        await dispatcher.close()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
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
