"""The duty `address`: its holder announces to a relay that the service address is at this dispatcher.

The relay is the component that moves the service address within a site; it checks fencing tokens
(`lease.Gate`). The holder opens the relay's gate with its token and then repeats the announcement
periodically. It never withdraws the address: the next holder's announcement moves it away.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from datetime import timedelta

import structlog

from rookwood.duties.board import LeaseManager
from rookwood.duties.lease import Token
from rookwood.duties.watchdog import Watchdog
from rookwood.gateway.frames import Announce, Announced
from rookwood.gateway.link import Channel, LinkError, connected
from rookwood.net.clock import Clock
from rookwood.net.destinations import Address

log = structlog.stdlib.get_logger(__name__)

DUTY = "address"
ANNOUNCE_INTERVAL = 0.1  # of a lease, between two announcements to the relay
POLL_INTERVAL = 0.2  # of the announce interval, between two checks by a dispatcher without the duty
MAX_FRAME, MAX_BYTES = 4096, 64 << 10


class Announcer:
    """Announces the service address to the relay while this dispatcher holds the duty."""

    def __init__(
        self,
        leases: LeaseManager,
        relay: Address,
        address: str,
        clock: Clock,
        watchdog: Watchdog | None = None,
    ) -> None:
        self._leases, self._relay, self._address, self._clock = leases, relay, address, clock
        self._watchdog = watchdog
        self._interval: timedelta = leases.rule.length * ANNOUNCE_INTERVAL
        self._timeout: timedelta = leases.rule.length / 2  # for connecting, and for a response
        self._opened_token: Token | None = None
        self._serial = 0
        self.counts = Counter[str]()

    async def run(self) -> None:
        channel: Channel | None = None
        try:
            while True:
                try:
                    if self._leases.token(DUTY, self._clock.now()):
                        if channel is None:
                            place = self._relay.host, self._relay.port
                            channel = await connected(*place, self._timeout, None, MAX_FRAME, MAX_BYTES)
                            if self._watchdog:
                                self._watchdog.guard(channel.socket)
                        if await self._announce(channel):
                            continue  # the gate has just been opened: announce again at once
                except LinkError as error:
                    self.counts["broken"] += 1
                    log.info("link to the relay failed", why=str(error))
                    self._disconnect(channel)
                    channel = None
                except Exception:  # no other process announces the address, so the loop must go on
                    log.exception("announcement to the relay failed")
                    self._disconnect(channel)
                    channel = None
                held = self._leases.token(DUTY, self._clock.now())
                await asyncio.sleep(
                    (self._interval if held else self._interval * POLL_INTERVAL).total_seconds()
                )
        finally:
            self._disconnect(channel)

    def _disconnect(self, channel: Channel | None) -> None:
        if channel:
            if self._watchdog:
                self._watchdog.unguard(channel.socket)
            channel.cut()

    async def _announce(self, channel: Channel) -> bool:
        """Sends one announcement and awaits its response. True: the next one should follow at once."""
        now = self._clock.now()
        token = self._leases.token(DUTY, now)  # right before sending: the lease may have ended meanwhile
        if token is None:
            return False
        opens_gate, self._serial = token != self._opened_token, self._serial + 1
        channel.send(
            Announce(
                DUTY, token.term, token.holder, token.incarnation, self._address, self._serial, opens_gate
            )
        )
        response = await channel.receive(self._timeout)
        # Skips responses to earlier announcements, which timed out.
        while isinstance(response, Announced) and response.serial < self._serial:
            response = await channel.receive(self._timeout)
        if not isinstance(response, Announced):
            raise LinkError("expected an announcement's response, got another frame")
        self.counts["accepted" if response.accepted else "refused"] += 1
        if response.accepted:
            self._opened_token = token
            return opens_gate
        self._opened_token = None
        self._leases.raise_term(DUTY, response.seen, self._clock.now())
        return False
