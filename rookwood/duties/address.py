"""The duty `address`: its holder tells a relay that the service address is here.

The relay is whatever moves an address at a site; it checks tokens (`lease.Gate`). The holder opens it with
its token, then says so again and again. It never says that it is gone: the next holder's word takes the
address away.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from datetime import timedelta

import structlog

from rookwood.duties.board import Board
from rookwood.duties.lease import Token
from rookwood.duties.watchdog import Watchdog
from rookwood.gateway.frames import Announce, Announced
from rookwood.gateway.link import Channel, LinkError, connected
from rookwood.net.clock import Clock
from rookwood.net.destinations import Address

log = structlog.stdlib.get_logger(__name__)

DUTY = "address"
OFTEN = 0.1  # of a lease, between two words to the relay
SOON = 0.2  # of that: so often who does not hold it looks whether it does
MAX_FRAME, MAX_BYTES = 4096, 64 << 10


class Announcer:
    def __init__(
        self, board: Board, relay: Address, address: str, clock: Clock, watchdog: Watchdog | None = None
    ) -> None:
        self._board, self._relay, self._address, self._clock = board, relay, address, clock
        self._watchdog = watchdog
        self._step: timedelta = board.rule.length * OFTEN
        self._limit: timedelta = board.rule.length / 2  # of an answer
        self._open: Token | None = None
        self._serial = 0
        self.counts = Counter[str]()

    async def run(self) -> None:
        channel: Channel | None = None
        try:
            while True:
                try:
                    if self._board.token(DUTY, self._clock.now()):
                        if channel is None:
                            place = self._relay.host, self._relay.port
                            channel = await connected(*place, self._limit, None, MAX_FRAME, MAX_BYTES)
                            if self._watchdog:
                                self._watchdog.guard(channel.socket)
                        if await self._say(channel):
                            continue  # it was opened: act at once
                except LinkError as error:
                    self.counts["broken"] += 1
                    log.info("the relay is not reached", why=str(error))
                    self._cut(channel)
                    channel = None
                except Exception:  # nobody else would say where the address is
                    log.exception("a word to the relay failed")
                    self._cut(channel)
                    channel = None
                held = self._board.token(DUTY, self._clock.now())
                await asyncio.sleep((self._step if held else self._step * SOON).total_seconds())
        finally:
            self._cut(channel)

    def _cut(self, channel: Channel | None) -> None:
        if channel:
            if self._watchdog:
                self._watchdog.let_go(channel.socket)
            channel.cut()

    async def _say(self, channel: Channel) -> bool:
        """One word to the relay, and its answer. True: the next one may follow at once."""
        now = self._clock.now()
        token = self._board.token(DUTY, now)  # right before the act: a lease may have ended meanwhile
        if token is None:
            return False
        opens, self._serial = token != self._open, self._serial + 1
        channel.send(Announce(DUTY, token.term, token.holder, token.life, self._address, self._serial, opens))
        answer = await channel.receive(self._limit)
        while isinstance(answer, Announced) and answer.serial < self._serial:  # of one that was given up
            answer = await channel.receive(self._limit)
        if not isinstance(answer, Announced):
            raise LinkError("something else than an answer")
        self.counts["accepted" if answer.accepted else "refused"] += 1
        if answer.accepted:
            self._open = token
            return opens
        self._open = None
        self._board.behind(DUTY, answer.seen, self._clock.now())
        return False
