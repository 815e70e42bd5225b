"""Stand-in render boxes: slots, a queue in order, speeds, drains; they count every run of every job.

Enough of the platform's protocol for the gateway's measurements. A job's running time at speed 1 is what its
body says. Times are seconds of the event loop's clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter, deque
from dataclasses import dataclass, field

from rookwood.lab.net import Server
from rookwood.lab.raw_http import LAST_CHUNK, encode_chunk, encode_chunks

GRACE = 1.05  # seconds: nothing new later than this after a drain was told


@dataclass(slots=True)
class Ledger:
    """What all boxes of a world have seen, for the rules."""

    runs: Counter[str] = field(default_factory=Counter)  # by logical job
    out: Counter[str] = field(default_factory=Counter)  # attempts open now, by request id
    at_once: int = 0  # attempts that came while another of the same request was open
    late_sends: int = 0
    crossed: set[str] = field(default_factory=set)  # request ids that came from another site
    box_time: dict[str, float] = field(
        default_factory=dict
    )  # by request id: from its last byte to its result


@dataclass(slots=True, eq=False)
class Work:
    job: str
    seconds: float
    slots: int
    done: asyncio.Future[None]


def job_of(request_id: str) -> str:
    """`z-17.2` is the second try of job `z-17`, which came to site `z...`."""
    return request_id.partition(".")[0]


class Box:
    def __init__(self, uid: str, site: str, slots: int, speed: float, queue: int, ledger: Ledger) -> None:
        self.uid, self.site, self.slots, self.speed = uid, site, slots, speed
        self._most, self._ledger = queue, ledger
        self.state = "up"
        self.told_near: float | None = None  # since when the other site knows that it drains
        self.free = slots
        self.served = 0
        self.fails = False  # each job, at once
        self.came: Counter[str] = Counter()  # attempts by the first word of their request ids
        self._queue: deque[Work] = deque()
        self.server = Server(self._connection)

    @property
    def busy(self) -> int:
        return self.slots - self.free

    @property
    def waiting(self) -> int:
        return len(self._queue)

    def entry(self, state: str | None = None) -> dict[str, object]:
        where = {"az": self.site, "model": f"speed-{self.speed:g}", "pod_group": 0, "boot_ms": 0}
        size = self.speed * self.slots / 4
        return {
            "uid": self.uid,
            "endpoint": self.server.address,
            "state": state or self.state,
            "capacity_hint": size,
        } | where

    # ---- one connection ----

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            start, *lines = head.rstrip().split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            if start.startswith("GET /-/load"):
                self._load(writer)
            elif not await self._job(reader, writer, headers, body):
                return

    def _load(self, writer: asyncio.StreamWriter) -> None:
        figures = {
            "queue": self.waiting,
            "inflight": self.waiting + self.busy,
            "x0": self.free,
            "latency_ms": 0,
        }
        text = json.dumps(figures).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))

    async def _job(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str], body: bytes
    ) -> bool:
        loop, ledger, request_id = asyncio.get_running_loop(), self._ledger, headers["request-id"]
        came, told = loop.time(), json.loads(body)
        if not request_id.startswith(self.site):  # in a pooled world this counts nothing worth knowing
            ledger.crossed.add(request_id)
            if self.told_near is not None and came > self.told_near + GRACE:
                ledger.late_sends += 1
        self.came[request_id.partition("-")[0]] += 1
        if self.fails:
            writer.write(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
            return True
        if len(self._queue) >= self._most or told["slots"] > self.slots:
            writer.write(b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        ledger.at_once += ledger.out[request_id] > 0
        ledger.out[request_id] += 1
        work = Work(job_of(request_id), told["work"] / self.speed, told["slots"], loop.create_future())
        self._queue.append(work)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._next()
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((work.done, gone), return_when=asyncio.FIRST_COMPLETED)
        finally:
            ledger.out[request_id] -= 1
            gone.cancel()
            if not work.done.done() and work in self._queue:  # it has not started: it need not any more
                self._queue.remove(work)
                self._next()
        if not work.done.done():
            return False
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        self.served += 1
        ledger.box_time[request_id] = loop.time() - came
        line = (
            json.dumps({"id": request_id, "from": self.uid, "state": "done", "result": request_id}).encode()
            + b"\n"
        )
        writer.write(encode_chunks(line))
        return True

    def _next(self) -> None:
        """In order: the first waits until it fits."""
        loop = asyncio.get_running_loop()
        while self._queue and self._queue[0].slots <= self.free:
            work = self._queue.popleft()
            self.free -= work.slots
            self._ledger.runs[work.job] += 1
            loop.call_later(work.seconds, self._finished, work)

    def _finished(self, work: Work) -> None:
        self.free += work.slots
        if not work.done.done():
            work.done.set_result(None)
        self._next()


class Discovery:
    """One site's list, with a watch. What is told to one site need not be told to the other yet."""

    def __init__(self) -> None:
        self._entries: dict[str, dict[str, object]] = {}
        self._revision = 1
        self._watchers: set[asyncio.Queue[bytes]] = set()
        self.server = Server(self._connection)

    def say(self, *entries: dict[str, object]) -> None:
        self._revision += 1
        self._entries |= {str(entry["uid"]): entry for entry in entries}
        for watcher in self._watchers:
            watcher.put_nowait(self._line(False, list(entries)))

    def whole(self) -> dict[str, object]:
        return {"rev": self._revision, "all": True, "targets": list(self._entries.values())}

    def _line(self, whole: bool, entries: list[dict[str, object]]) -> bytes:
        return json.dumps({"rev": self._revision, "all": whole, "targets": entries}).encode() + b"\n"

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        watcher: asyncio.Queue[bytes] = asyncio.Queue()
        start = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0]
        line = self._line(True, list(self._entries.values()))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunk(line))
        if "follow" not in start:
            writer.write(LAST_CHUNK)
            return
        self._watchers.add(watcher)
        try:
            while not writer.is_closing():
                line = b"\n"
                with contextlib.suppress(TimeoutError):
                    line = await asyncio.wait_for(watcher.get(), 1.0)
                writer.write(encode_chunk(line))
                await writer.drain()
        finally:
            self._watchers.discard(watcher)
