"""Links between the members of a site.

Each member opens one link to every other member and sends on it; it receives on the links that the others
open. So either direction between two members can fail alone. The sender pings, and closes a link on which no
pong arrives for the length of a lease. A frame for a member without an
established link is dropped: an old message would be useless later.
"""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import structlog

from rookwood.gateway.frames import VERSION, Frame, Hello, Ping, Pong, Refusal
from rookwood.gateway.link import Channel, GoneError, LinkError, connected
from rookwood.gateway.secure import Secured
from rookwood.net.clock import EPOCH, Clock
from rookwood.net.destinations import Address
from rookwood.net.listener import bind_listener
from rookwood.net.policy_driver import micros

log = structlog.stdlib.get_logger(__name__)

MAX_FRAME, MAX_BYTES = 4096, 64 << 10  # lease messages are under 200 bytes
STORE_MAX_FRAME, STORE_MAX_BYTES = 1 << 20, 8 << 20  # if a store sends its registers over the links too
MAX_INCOMING_PER_MEMBER = 4  # beyond it the oldest is closed


@dataclass(frozen=True, slots=True)
class Identity:
    """How this member names itself in a hello."""

    site: str
    name: str
    incarnation: int


class Links:
    """The links of one member: the outgoing ones that it keeps open, and the incoming ones."""

    def __init__(
        self,
        me: Identity,
        members: Mapping[str, Address],
        listen: Address,
        timeout: timedelta,
        clock: Clock,
        on_frame: Callable[[str, Frame], None],
        on_unreachable: Callable[[str], None] = lambda name: None,
        on_connected: Callable[[str], None] = lambda name: None,
        allows_store_frames: bool = False,
    ) -> None:
        """`members` are the others. `timeout` is the limit for connecting, for a hello and for idle links.

        `on_frame` is called with each frame that a member sends, `on_unreachable` when a member's machine
        refuses the connection or the member closes it, and `on_connected` when the link is established.
        `allows_store_frames` raises the size limits for a store's frames.
        """
        self._me, self._members, self._listen, self._timeout = me, dict(members), listen, timeout
        self._clock, self._on_frame, self._on_unreachable = clock, on_frame, on_unreachable
        self._on_connected = on_connected
        self._max_frame, self._max_bytes = (
            (STORE_MAX_FRAME, STORE_MAX_BYTES) if allows_store_frames else (MAX_FRAME, MAX_BYTES)
        )
        self._outgoing_tasks: dict[str, asyncio.Task[None]] = {}
        self._secured: Secured | None = None
        self._outgoing: dict[str, Channel] = {}
        self._incoming: dict[str, list[Channel]] = {name: [] for name in members}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._random = random.Random(me.incarnation)
        self.sent = 0

    @property
    def members(self) -> Mapping[str, Address]:
        """The other members and their addresses."""
        return self._members

    @property
    def connected_count(self) -> int:
        """The number of outgoing links that are established."""
        return len(self._outgoing)

    async def start(self, secured: Secured | None) -> None:
        context = secured.server if secured else None
        listener = bind_listener(self._listen, shared=True)
        self._server = await asyncio.start_server(self._handle_incoming, sock=listener, ssl=context)
        self._secured = secured
        self.set_members(self._members)

    def set_members(self, members: Mapping[str, Address]) -> None:
        """Replaces the other members. Links to members that were removed or have a new address are closed."""
        for name in [n for n in self._outgoing_tasks if members.get(n) != self._members.get(n)]:
            self._outgoing_tasks.pop(name).cancel()
        for name in self._incoming.keys() - members.keys():
            for channel in self._incoming.pop(name):
                channel.cut()
        self._members = dict(members)
        for name in members:
            self._incoming.setdefault(name, [])
            if name not in self._outgoing_tasks:
                context = self._secured.client if self._secured else None
                self._outgoing_tasks[name] = asyncio.create_task(self._run_outgoing(name, context))

    def disconnect(self) -> None:
        """Closes all links, since the next process now uses this member's name."""
        if self._server:
            self._server.close()
        self.set_members({})

    def send(self, to: str | None, frame: Frame) -> None:
        """Sends a frame to one member, or to all others (None), where a link is established."""
        for name in self._members if to is None else (to,):
            if channel := self._outgoing.get(name):
                channel.send(frame)
                self.sent += 1

    def ping(self) -> None:
        for channel in list(self._outgoing.values()):
            channel.send(Ping(micros(self._clock.now() - EPOCH), 0.0, 0))

    def _hello(self) -> Hello:
        return Hello(
            VERSION, self._me.site, self._me.name, self._me.incarnation, micros(self._clock.now() - EPOCH)
        )

    async def _run_outgoing(self, name: str, context: ssl.SSLContext | None) -> None:
        """Keeps one outgoing link to this member open, reconnecting until cancelled."""
        address, last_reason = self._members[name], ""
        while True:
            channel = None
            try:
                channel = await connected(
                    address.host, address.port, self._timeout, context, self._max_frame, self._max_bytes
                )
                if channel.name not in (None, name):
                    raise LinkError(f"the certificate names {channel.name!r}")
                channel.send(self._hello())
                self._check_hello(name, await channel.receive(self._timeout))
                self._outgoing[name], last_reason = channel, ""
                self._on_connected(name)
                log.info("link to member established", member=name)
                async for frame in channel.frames(self._timeout):
                    if not isinstance(frame, Pong):
                        raise LinkError("expected a pong, got another frame")
            except (LinkError, OSError, ssl.SSLError) as error:
                is_unreachable = isinstance(error, GoneError)
                if is_unreachable:
                    self._on_unreachable(name)
                reason = "nobody is there" if is_unreachable else str(error)
                if reason != last_reason:  # log each reason once, not at every try
                    last_reason = reason
                    log.warning("link to member failed", member=name, why=str(error))
            except Exception:
                log.exception("link failed", member=name)
            finally:
                self._outgoing.pop(name, None)
                if channel:
                    channel.cut()
            await asyncio.sleep(self._timeout.total_seconds() * (0.05 + 0.1 * self._random.random()))

    def _check_hello(self, name: str, frame: Frame) -> None:
        if isinstance(frame, Refusal):
            raise LinkError(f"refused: {frame.why}")
        if not isinstance(frame, Hello) or (frame.site, frame.name) != (self._me.site, name):
            raise LinkError("another member or site responds at this address")

    async def _handle_incoming(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        channel, name = Channel(reader, writer, self._max_frame, self._max_bytes), ""
        try:
            hello = await channel.receive(self._timeout)
            if not isinstance(hello, Hello) or hello.version != VERSION:
                raise LinkError(f"a hello of version {VERSION} was expected")
            if hello.site != self._me.site or hello.name not in self._members:
                raise LinkError(f"{hello.name!r} of site {hello.site!r} is not a member here")
            if channel.name not in (None, hello.name):
                raise LinkError(f"the certificate names {channel.name!r}, not {hello.name!r}")
            name = hello.name
            if name not in self._incoming:
                raise LinkError(f"{name!r} is no longer a member")
            self._incoming[name].append(channel)
            while len(self._incoming[name]) > MAX_INCOMING_PER_MEMBER:
                self._incoming[name].pop(0).cut()
            channel.send(self._hello())
            async for frame in channel.frames(self._timeout):
                if isinstance(frame, Ping):
                    channel.send(Pong(frame.asked, 0, 0.0))
                else:
                    self._on_frame(name, frame)
        except LinkError as error:
            if not name:
                channel.send(Refusal(str(error)))
                log.info("incoming link rejected", why=str(error))
        except (OSError, ssl.SSLError, asyncio.CancelledError):
            pass
        except Exception:
            log.exception("link failed", member=name)
        finally:
            if channel in self._incoming.get(name, []):
                self._incoming[name].remove(channel)
            await channel.close()
            self._tasks.discard(task)

    async def close(self) -> None:
        if self._server:
            self._server.close()
        tasks = [*self._tasks, *self._outgoing_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
