"""Datagrams between the dispatchers of a site: hints out, and in, where anything odd is dropped and counted.

A datagram may come late, twice, or never, and from anybody; nothing that is heard here can break a rule.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from rookwood.hints import HintCodec, InvalidHintError
from rookwood.interface import Hint
from rookwood.net.destinations import Address, DestinationUpdate
from rookwood.net.policy_driver import PolicyDriver

log = logging.getLogger(__name__)

Place = tuple[str, int]
PAUSE = timedelta(seconds=1)  # between tries to get the address


class Peers(asyncio.DatagramProtocol):
    """Owns the one datagram socket. Without an address to hear at, nothing is told either."""

    def __init__(
        self,
        decisions: PolicyDriver,
        listen: Address | None,
        peers: Sequence[Address],
        pause: timedelta = PAUSE,
    ) -> None:
        self._decisions, self._pause = decisions, pause
        self._again: asyncio.Task[None] | None = None
        self._numbers = {(peer.host, peer.port): n for n, peer in enumerate(peers)}
        self._own = (listen.host, listen.port) if listen else None
        self._peers: list[Place] = [(peer.host, peer.port) for peer in peers]
        self._codec = HintCodec()
        self._transport: asyncio.DatagramTransport | None = None
        self._mute: socket.socket | None = None  # for sending alone, once the next process hears
        self.dropped: Counter[str] = Counter()  # by reason

    async def start(self, inherited: socket.socket | None = None) -> None:
        """What is refused costs nothing but the hints. `inherited`: the socket of the process before; if it
        has none to give it may have the address still, and that is tried again until it has ended."""
        if not (self._own and len(self._peers) > 1):
            if inherited:
                inherited.close()
            return
        if not await self._bound(log.warning, inherited):
            self._again = asyncio.create_task(self._retried())

    def handle(self) -> int | None:
        """The descriptor of the socket, for the process that follows."""
        return self._transport.get_extra_info("socket").fileno() if self._transport else None

    def succeeded(self) -> None:
        """The next process hears now. What ends here is still told, by a descriptor of the same socket."""
        if self._transport and not self._transport.is_closing():
            with contextlib.suppress(OSError):
                self._mute = self._transport.get_extra_info("socket").dup()
            self._transport.close()

    async def _bound(
        self, complain: Callable[[str, OSError], None], inherited: socket.socket | None = None
    ) -> bool:
        loop = asyncio.get_running_loop()
        try:
            if inherited and inherited.getsockname() != self._own:
                inherited.close()  # the file names another address now
                inherited = None
            where: Any = {"sock": inherited} if inherited else {"local_addr": self._own}
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, **where)
        except OSError as error:
            complain("no hints between dispatchers: %s", error)
            return False
        self._decisions.tell = self._tell
        return True

    async def _retried(self) -> None:
        while True:
            await asyncio.sleep(self._pause.total_seconds())
            if await self._bound(log.debug):
                return

    def learn(self, told: DestinationUpdate, kept: bool) -> None:
        self._codec.add_workers((endpoint.uid for endpoint in told.endpoints), told.is_full or kept)

    def _tell(self, to: Sequence[int], hints: Sequence[Hint]) -> None:
        data = self._codec.encode(hints)
        for number in to:
            if number >= len(self._peers):  # the settings and the list of peers differ
                continue
            if self._mute:
                with contextlib.suppress(OSError):  # full, or refused: a hint may be lost
                    self._mute.sendto(data, self._peers[number])
            elif self._transport and not self._transport.is_closing():
                self._transport.sendto(data, self._peers[number])

    def datagram_received(self, data: bytes, addr: Place) -> None:
        if addr[:2] == self._own:
            return
        number = self._numbers.get(addr[:2])
        try:
            if number is None:
                raise InvalidHintError("of a stranger")
            hints = self._codec.decode(data)
        except InvalidHintError as odd:
            self.dropped[str(odd)[:40] if number is not None else "of a stranger"] += 1
            return
        try:
            self._decisions.heard(number or 0, hints)
        except Exception:
            log.exception("a hint failed")

    def error_received(self, exc: Exception) -> None:
        log.debug("a hint was not taken: %s", exc)

    async def close(self) -> None:
        if self._again:
            self._again.cancel()
            await asyncio.gather(self._again, return_exceptions=True)
        if self._transport:
            self._transport.close()
        if self._mute:
            self._mute.close()
        if self.dropped:
            log.info("odd hints dropped: %s", dict(self.dropped.most_common(5)))
