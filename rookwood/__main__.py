"""One real dispatcher: ``python -m rookwood``."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

from rookwood.net.clock import Clock
from rookwood.net.config import Config, load
from rookwood.net.decisions import Decisions
from rookwood.net.destinations import Destinations
from rookwood.net.endpoints import Endpoints
from rookwood.net.inbound import Inbound
from rookwood.net.request import Requests
from rookwood.settings import FaultyKeyError

log = logging.getLogger("rookwood")

RESERVED = 32  # descriptors for the listener, the watch, the log and the loop itself


async def run(config: Config) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    clock, bounds = Clock(), config.bounds
    half = (bounds.sockets - RESERVED) // 2
    decisions = Decisions(config.settings, config.seed, clock)
    destinations = Destinations(clock, bounds.drain_grace, decisions.update)
    endpoints = Endpoints(clock, bounds.connect_timeout, bounds.idle, half)
    inbound = Inbound(
        clock,
        Requests(clock, decisions, destinations, endpoints).serve,
        frozenset(c.name for c in config.settings.classes),
        half,
        full=lambda: decisions.open >= bounds.max_open,
        retry_after=bounds.max_retry_after if bounds.retry_after else None,
    )
    destinations.update(config.known, kept=True)
    tasks = [
        asyncio.create_task(destinations.watch(config.discovery.host, config.discovery.port)),
        asyncio.create_task(endpoints.sweep()),
    ]
    try:
        await inbound.listen(config.listen.host, config.listen.port)
        log.info("%s listens on %s", config.name, config.listen)
        gc.freeze()  # what was made so far stays: the collector need not walk it
        await stop.wait()
        log.info("leaving")
        await inbound.leave()
    finally:
        await inbound.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await endpoints.close()
        decisions.close()


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
