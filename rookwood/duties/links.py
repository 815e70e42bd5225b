"""Links between the members of a site: one out to each, over which this one speaks, and theirs, to hear.

So either direction of a pair can fail alone. Whoever speaks asks for a sign of life, and gives a link up that
is silent for a lease; a letter that cannot leave at once is lost, since an old one is worth nothing.
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

MAX_FRAME, MAX_BYTES = 4096, 64 << 10  # letters are under 200 bytes
RIDER_FRAME, RIDER_BYTES = 1 << 20, 8 << 20  # where a store's registers go along
MOST_LINKS = 4  # that one member may have open here: the newest counts


@dataclass(frozen=True, slots=True)
class Self:
    site: str
    name: str
    life: int


class Links:
    def __init__(
        self,
        me: Self,
        members: Mapping[str, Address],
        listen: Address,
        limit: timedelta,
        clock: Clock,
        heard: Callable[[str, Frame], None],
        gone: Callable[[str], None] = lambda name: None,
        up: Callable[[str], None] = lambda name: None,
        large: bool = False,
    ) -> None:
        """`members`: the others. `limit`: of a silence, of a connection and of a hello. `gone` is told of
        one whose machine says that nobody is there, `up` of one that can be spoken to from now on."""
        self._me, self._members, self._listen, self._limit = me, dict(members), listen, limit
        self._clock, self._heard, self._gone = clock, heard, gone
        self._is_up = up
        self._frame, self._bytes = (RIDER_FRAME, RIDER_BYTES) if large else (MAX_FRAME, MAX_BYTES)
        self._speakers: dict[str, asyncio.Task[None]] = {}
        self._secured: Secured | None = None
        self._out: dict[str, Channel] = {}
        self._in: dict[str, list[Channel]] = {name: [] for name in members}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._random = random.Random(me.life)
        self.sent = 0

    @property
    def members(self) -> Mapping[str, Address]:
        """The others."""
        return self._members

    @property
    def up(self) -> int:
        return len(self._out)

    async def start(self, secured: Secured | None) -> None:
        context = secured.server if secured else None
        listener = bind_listener(self._listen, shared=True)
        self._server = await asyncio.start_server(self._accepted, sock=listener, ssl=context)
        self._secured = secured
        self.listed(self._members)

    def listed(self, members: Mapping[str, Address]) -> None:
        """The others, from now on. Links to who is no member any more, or moved, end."""
        for name in [n for n in self._speakers if members.get(n) != self._members.get(n)]:
            self._speakers.pop(name).cancel()
        for name in self._in.keys() - members.keys():
            for channel in self._in.pop(name):
                channel.cut()
        self._members = dict(members)
        for name in members:
            self._in.setdefault(name, [])
            if name not in self._speakers:
                context = self._secured.client if self._secured else None
                self._speakers[name] = asyncio.create_task(self._speak(name, context))

    def hush(self) -> None:
        """The next process speaks under this name: nobody is heard here any more."""
        if self._server:
            self._server.close()
        self.listed({})

    def send(self, to: str | None, frame: Frame) -> None:
        for name in self._members if to is None else (to,):
            if channel := self._out.get(name):
                channel.send(frame)
                self.sent += 1

    def ping(self) -> None:
        for channel in list(self._out.values()):
            channel.send(Ping(micros(self._clock.now() - EPOCH), 0.0, 0))

    def _hello(self) -> Hello:
        return Hello(VERSION, self._me.site, self._me.name, self._me.life, micros(self._clock.now() - EPOCH))

    async def _speak(self, name: str, context: ssl.SSLContext | None) -> None:
        """Keeps one link to this member, for as long as the process runs."""
        address, why = self._members[name], ""
        while True:
            channel = None
            try:
                channel = await connected(
                    address.host, address.port, self._limit, context, self._frame, self._bytes
                )
                if channel.name not in (None, name):
                    raise LinkError(f"the certificate names {channel.name!r}")
                channel.send(self._hello())
                self._greeted(name, await channel.receive(self._limit))
                self._out[name], why = channel, ""
                self._is_up(name)
                log.info("member heard", member=name)
                async for frame in channel.frames(self._limit):
                    if not isinstance(frame, Pong):
                        raise LinkError("something else than a sign of life")
            except (LinkError, OSError, ssl.SSLError) as error:
                gone = isinstance(error, GoneError)
                if gone:
                    self._gone(name)
                kind = "nobody is there" if gone else str(error)
                if kind != why:  # once, however long it lasts
                    why = kind
                    log.warning("member not heard", member=name, why=str(error))
            except Exception:
                log.exception("link failed", member=name)
            finally:
                self._out.pop(name, None)
                if channel:
                    channel.cut()
            await asyncio.sleep(self._limit.total_seconds() * (0.05 + 0.1 * self._random.random()))

    def _greeted(self, name: str, frame: Frame) -> None:
        if isinstance(frame, Refusal):
            raise LinkError(f"refused: {frame.why}")
        if not isinstance(frame, Hello) or (frame.site, frame.name) != (self._me.site, name):
            raise LinkError("somebody else answers there")

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        channel, name = Channel(reader, writer, self._frame, self._bytes), ""
        try:
            hello = await channel.receive(self._limit)
            if not isinstance(hello, Hello) or hello.version != VERSION:
                raise LinkError(f"a hello of version {VERSION} comes first")
            if hello.site != self._me.site or hello.name not in self._members:
                raise LinkError(f"{hello.name!r} of site {hello.site!r} is no member here")
            if channel.name not in (None, hello.name):
                raise LinkError(f"the certificate names {channel.name!r}, not {hello.name!r}")
            name = hello.name
            if name not in self._in:
                raise LinkError(f"{name!r} is no member any more")
            self._in[name].append(channel)
            while len(self._in[name]) > MOST_LINKS:
                self._in[name].pop(0).cut()
            channel.send(self._hello())
            async for frame in channel.frames(self._limit):
                if isinstance(frame, Ping):
                    channel.send(Pong(frame.asked, 0, 0.0))
                else:
                    self._heard(name, frame)
        except LinkError as error:
            if not name:
                channel.send(Refusal(str(error)))
                log.info("a caller was refused", why=str(error))
        except (OSError, ssl.SSLError, asyncio.CancelledError):
            pass
        except Exception:
            log.exception("link failed", member=name)
        finally:
            if channel in self._in.get(name, []):
                self._in[name].remove(channel)
            await channel.close()
            self._tasks.discard(task)

    async def close(self) -> None:
        if self._server:
            self._server.close()
        tasks = [*self._tasks, *self._speakers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
