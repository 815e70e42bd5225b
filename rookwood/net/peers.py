"""Exchanges hints with the other dispatchers of a site by datagrams; invalid ones are dropped and counted.

A datagram may arrive late, twice or never, and from any sender; no hint can make the policy break a rule.
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

SocketAddress = tuple[str, int]
BIND_RETRY_DELAY = timedelta(seconds=1)


class Peers(asyncio.DatagramProtocol):
    """Owns the datagram socket; without an address to receive at, no hints are sent either."""

    def __init__(
        self,
        decisions: PolicyDriver,
        listen: Address | None,
        peers: Sequence[Address],
        retry_delay: timedelta = BIND_RETRY_DELAY,
    ) -> None:
        self._decisions, self._retry_delay = decisions, retry_delay
        self._bind_retry: asyncio.Task[None] | None = None
        self._numbers = {(peer.host, peer.port): n for n, peer in enumerate(peers)}
        self._own = (listen.host, listen.port) if listen else None
        self._peers: list[SocketAddress] = [(peer.host, peer.port) for peer in peers]
        self._codec = HintCodec()
        self._transport: asyncio.DatagramTransport | None = None
        self._send_only_socket: socket.socket | None = None  # used once the next process receives
        self.dropped: Counter[str] = Counter()  # by reason

    async def start(self, inherited: socket.socket | None = None) -> None:
        """Start to exchange hints, on the socket inherited from the previous process if there is one.

        A failure to bind costs only the hints. It is retried, since a previous process that passed no socket
        on may use the address until it ends.
        """
        if not (self._own and len(self._peers) > 1):
            if inherited:
                inherited.close()
            return
        if not await self._bind(log.warning, inherited):
            self._bind_retry = asyncio.create_task(self._retry_bind())

    def descriptor(self) -> int | None:
        """Return the descriptor of the socket, to pass on to the next process."""
        return self._transport.get_extra_info("socket").fileno() if self._transport else None

    def handed_over(self) -> None:
        """Stop receiving, as the next process does it now; a duplicate of the socket still sends hints."""
        if self._transport and not self._transport.is_closing():
            with contextlib.suppress(OSError):
                self._send_only_socket = self._transport.get_extra_info("socket").dup()
            self._transport.close()

    async def _bind(
        self, log_failure: Callable[[str, OSError], None], inherited: socket.socket | None = None
    ) -> bool:
        """Open the socket, or use the inherited one; return False if that fails."""
        loop = asyncio.get_running_loop()
        try:
            if inherited and inherited.getsockname() != self._own:
                inherited.close()  # the configured address has changed
                inherited = None
            source: Any = {"sock": inherited} if inherited else {"local_addr": self._own}
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, **source)
        except OSError as error:
            log_failure("no hints between dispatchers: %s", error)
            return False
        self._decisions.send_hints = self._send_hints
        return True

    async def _retry_bind(self) -> None:
        while True:
            await asyncio.sleep(self._retry_delay.total_seconds())
            if await self._bind(log.debug):
                return

    def add_workers(self, update: DestinationUpdate, is_cached: bool) -> None:
        """Make the workers of an update known to the codec, which encodes them as short marks."""
        self._codec.add_workers((endpoint.uid for endpoint in update.endpoints), update.is_full or is_cached)

    def _send_hints(self, to: Sequence[int], hints: Sequence[Hint]) -> None:
        data = self._codec.encode(hints)
        for number in to:
            if number >= len(self._peers):  # the settings name more dispatchers than the list of peers has
                continue
            if self._send_only_socket:
                with contextlib.suppress(OSError):  # a hint may be lost
                    self._send_only_socket.sendto(data, self._peers[number])
            elif self._transport and not self._transport.is_closing():
                self._transport.sendto(data, self._peers[number])

    def datagram_received(self, data: bytes, addr: SocketAddress) -> None:
        """Decode the hints of a datagram and pass them to the policy."""
        if addr[:2] == self._own:
            return
        number = self._numbers.get(addr[:2])
        try:
            if number is None:
                raise InvalidHintError("of a stranger")
            hints = self._codec.decode(data)
        except InvalidHintError as error:
            self.dropped[str(error)[:40] if number is not None else "of a stranger"] += 1
            return
        try:
            self._decisions.receive_hints(number or 0, hints)
        except Exception:
            log.exception("hints could not be handled")

    def error_received(self, exc: Exception) -> None:
        """Log that a hint could not be delivered."""
        log.debug("a hint could not be delivered: %s", exc)

    async def close(self) -> None:
        """Close the socket."""
        if self._bind_retry:
            self._bind_retry.cancel()
            await asyncio.gather(self._bind_retry, return_exceptions=True)
        if self._transport:
            self._transport.close()
        if self._send_only_socket:
            self._send_only_socket.close()
        if self.dropped:
            log.info("invalid hints dropped: %s", dict(self.dropped.most_common(5)))
