"""A link between sites as a bad network makes it: delayed, lossy, doubled, out of order, cut and healed.

A relay that knows frames by their length alone, so links through it are in plaintext, on loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from rookwood.gateway.frames import PREFIX, Ended, FrameError, Offer, decoded


@dataclass(slots=True)
class Weather:
    """Shared by all relays of a world, and changed while they run."""

    loss: float = 0.0
    delay: float = 0.0  # seconds, each way
    jitter: float = 0.0  # added to some frames, so they overtake one another
    double: float = 0.0
    cut: bool = False  # everything is swallowed, and nobody is told
    stuck: bool = False  # connections are taken and stay open, and nothing is read from them
    trickle: float = 0.0  # seconds for each byte
    dropped: int = 0
    passed: int = 0
    octets: int = 0  # of frames that passed
    offered: dict[tuple[int, int], tuple[str, float]] = field(default_factory=dict)  # when a job first was
    carried: dict[str, float] = field(
        default_factory=dict
    )  # by request id: seconds to its result, on the link


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]


class Server:
    """One listener on loopback with its connections; they end with it, without a word."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address, self.port = "", 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        self.address = f"127.0.0.1:{self.port}"

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        gone = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError)
        try:
            with contextlib.suppress(*gone):
                await self._handler(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    def close(self) -> None:
        if self._server:
            self._server.close()
        for task in self._tasks:
            task.cancel()


class Relay:
    def __init__(self, host: str, port: int, weather: Weather, seed: int) -> None:
        self._target, self._weather, self._random = (host, port), weather, random.Random(seed)
        self.server = Server(self._connection)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far = await asyncio.open_connection(*self._target)
        pairs = ((reader, far), (far_reader, writer))
        ways = [asyncio.ensure_future(self._pass(*pair)) for pair in pairs]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            far.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        weather, loop = self._weather, asyncio.get_running_loop()
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                while weather.stuck:
                    await asyncio.sleep(0.01)
                head = await reader.readexactly(PREFIX.size)
                frame = head + await reader.readexactly(PREFIX.unpack(head)[0])
                if weather.cut or self._random.random() < weather.loss:
                    weather.dropped += 1
                    continue
                weather.passed += 1
                weather.octets += len(frame)
                self._note(frame[PREFIX.size :])
                if weather.trickle:
                    for n in range(len(frame)):
                        writer.write(frame[n : n + 1])
                        await asyncio.sleep(weather.trickle)
                    continue
                for _ in range(2 if self._random.random() < weather.double else 1):
                    late = weather.delay + weather.jitter * self._random.random()
                    loop.call_later(late, self._deliver, writer, frame)

    def _note(self, data: bytes) -> None:
        """What crossing costs is seen here: how long after its offer a job's result passes."""
        weather, now = self._weather, asyncio.get_running_loop().time()
        with contextlib.suppress(FrameError):
            match decoded(data):
                case Offer(job, request_id=request_id):
                    weather.offered.setdefault((id(self), job), (request_id, now))
                case Ended(job, "served") if found := weather.offered.pop((id(self), job), None):
                    weather.carried[found[0]] = now - found[1] + 2 * weather.delay

    @staticmethod
    def _deliver(writer: asyncio.StreamWriter, frame: bytes) -> None:
        if not writer.is_closing():
            writer.write(frame)
