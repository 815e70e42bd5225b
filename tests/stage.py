"""A dispatcher on loopback sockets between scripted peers: a discovery, endpoints and clients."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import resource
import subprocess
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from rookwood.lab.raw_http import LAST_CHUNK, encode_chunk
from rookwood.net.config import load
from rookwood.net.dispatcher import Dispatcher, DispatcherContext, Extension

LIMIT = 10.0  # seconds that any one step may take before the test is called hung
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Script = Callable[["ScriptedWorker", asyncio.StreamWriter, str], Awaitable[bool]]


def lane(name: str, repeat: str, **changes: Any) -> dict[str, Any]:
    # Long enough to outlast the steps that give a distrusted worker its next chance, on a slow machine too.
    times = {"aim": 8_000_000, "give-up": 10_000_000}
    return {"name": name, "repeat": repeat, "importance": 3, **times, **changes}


SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "bounds": {"attempts-cap": 4, "cancel": True, "conn-idle": 60_000_000, "connect-timeout": 500_000},
    "discovery": "automatic",
    "family-info": {"tells-start": True},
    "lanes": [lane("page", "safe"), lane("unlock", "unsafe")],
    "rules": {"fall-multiple": 3.0, "overload-for": 1_000_000, "start-capacity": 0.3, "warm-up": 8_000_000},
    "tick": 4000,
}


def target_entry(uid: str, address: str, state: str = "up") -> dict[str, Any]:
    where = {"az": "a", "model": "m", "pod_group": 1, "capacity_hint": 1.0, "boot_ms": 0}
    return {"uid": uid, "endpoint": address, "state": state, **where}


def environment(folder: Path, listed: list[dict[str, Any]], discovery: str, **changes: Any) -> dict[str, str]:
    known = {"rev": 1, "all": True, "targets": listed}
    data: dict[str, Any] = {"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f"}
    data |= {"limits": {"sockets": 256}, "known": known, "settings": SETTINGS} | changes
    (folder / "config.json").write_text(json.dumps(data))
    return {"PROXY_CONFIG": str(folder / "config.json")}


# ---- what an endpoint may do with a request; each tells whether it goes on with the connection ----


def line(request_id: str, state: str, **more: Any) -> bytes:
    text = json.dumps({"id": request_id, "from": "s-1", "state": state, **more}).encode() + b"\n"
    return encode_chunk(text)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def ends(state: str, **more: Any) -> Script:
    async def script(endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
        last = line(more.pop("id", request_id), state, **more)
        writer.write(HEAD + line(request_id, "started") + last + b"0\r\n\r\n")
        return True

    return script


def answers(text: bytes) -> Script:
    async def script(endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
        writer.write(text)
        return True

    return script


def status(code: int, *headers: str) -> Script:
    more = "".join(f"{header}\r\n" for header in headers)
    return answers(f"HTTP/1.1 {code} X\r\n{more}Content-Length: 0\r\n\r\n".encode())


async def breaks(endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    writer.write(HEAD + line(request_id, "started"))
    return False


async def silent(endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    await endpoint.resume.wait()
    writer.write(HEAD + line(request_id, "done", result="late") + b"0\r\n\r\n")
    return True


async def serves_and_closes(endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    await served(endpoint, writer, request_id)
    return False


async def serves_and_babbles(endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    await served(endpoint, writer, request_id)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    return True


served = ends("done", result="page")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Start line, headers and body of a message with a Content-Length; values of one name with | between."""
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT)).decode("latin-1")
    start, *rest = head[:-4].split("\r\n")
    headers: dict[str, str] = {}
    for name, _, value in (item.partition(":") for item in rest):
        before = headers.get(name.lower())
        headers[name.lower()] = value.strip(" ") if before is None else f"{before}|{value.strip(' ')}"
    return start, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class ScriptedWorker:
    """Plays one script a request, the last one over and over."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts, self.address = list(scripts), ""
        self.seen: list[str] = []  # the path of each request that came in whole
        self.headers: list[dict[str, str]] = []
        self.connections, self.closed = 0, asyncio.Event()
        self.resume = asyncio.Event()
        self.load, self.probes = b"", 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                start, headers, _ = await read_message(reader)
                if start.startswith("GET /-/load "):
                    self.probes += 1
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.load))
                    writer.write(self.load)
                    continue
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                self.seen.append(start.split()[1])
                self.headers.append(headers)
                playing = asyncio.ensure_future(script(self, writer, headers["request-id"]))
                watching = asyncio.ensure_future(reader.read(1)) if script is silent else playing
                await asyncio.wait((playing, watching), return_when=asyncio.FIRST_COMPLETED)
                if script is silent and watching.done():
                    playing.cancel()
                    break
                if script is silent:
                    watching.cancel()
                    await asyncio.gather(watching, return_exceptions=True)
                if not await playing:
                    break
        self.closed.set()
        writer.close()


class Discovery:
    """Answers every question with what `say` puts in; silent until then. None breaks a watch off."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue()

    def say(self, rev: int, *entries: dict[str, Any], whole: bool = False) -> None:
        self.lines.put_nowait(json.dumps({"rev": rev, "all": whole, "targets": entries}).encode() + b"\n")

    async def listen(self, reader: asyncio.StreamReader) -> str:
        start, _, _ = await read_message(reader)
        self.asked.append(start.split()[1])
        return self.asked[-1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while "follow" not in (await self.listen(reader)):
                text = await self.lines.get() or b""
                writer.write(HEAD + encode_chunk(text) + LAST_CHUNK)
            writer.write(HEAD)
            left = asyncio.ensure_future(reader.read())
            while not left.done():
                told = asyncio.ensure_future(self.lines.get())
                await asyncio.wait((left, told), return_when=asyncio.FIRST_COMPLETED)
                if not told.done() or told.result() is None:
                    told.cancel()
                    break
                writer.write(encode_chunk(told.result() or b""))
            left.cancel()
        writer.close()


class DispatcherFixture:
    def __init__(self, dispatcher: Dispatcher, port: int, discovery: Discovery) -> None:
        self.dispatcher, self.port, self.discovery = dispatcher, port, discovery
        self.ids = itertools.count(1)

    async def connect(self) -> Streams:
        return await asyncio.open_connection("127.0.0.1", self.port)

    def request(
        self, path: str = "/page?k=7", timeout: float = 8.0, body: bytes = b"hello", more: bytes = b""
    ) -> bytes:
        """`more`: further header lines, each with its end."""
        head = f"POST {path} HTTP/1.1\r\nHost: api\r\nRequest-Id: r{next(self.ids)}\r\n"
        head += f"Request-Timeout: {timeout}\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + more + b"\r\n" + body

    async def exchange(self, streams: Streams, data: bytes) -> tuple[int, dict[str, str], bytes]:
        streams[1].write(data)
        start, headers, body = await read_message(streams[0])
        return int(start.split()[1]), headers, body

    async def send_request(self, *words: Any, **more: Any) -> tuple[int, dict[str, str], bytes]:
        streams = await self.connect()
        try:
            return await self.exchange(streams, self.request(*words, **more))
        finally:
            streams[1].close()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def listening(peer: ScriptedWorker | Discovery) -> AsyncIterator[str]:
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(server.close)
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@contextlib.asynccontextmanager
async def start_dispatcher(
    folder: Path,
    *endpoints: ScriptedWorker,
    tmpdir: Path | None = None,
    fronts: tuple[Callable[[DispatcherContext], Extension], ...] = (),
    **changes: Any,
) -> AsyncIterator[DispatcherFixture]:
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in endpoints:
            endpoint.address = endpoint.address or await stack.enter_async_context(listening(endpoint))
        discovery = Discovery()
        where = await stack.enter_async_context(listening(discovery))
        listed = [target_entry(f"s-{n}", endpoint.address) for n, endpoint in enumerate(endpoints)]
        environ = environment(folder, listed, where, **changes)
        dispatcher = Dispatcher(load(environ | ({"TMPDIR": str(tmpdir)} if tmpdir else {})), *fronts)
        stack.push_async_callback(dispatcher.close)
        yield DispatcherFixture(dispatcher, await dispatcher.start(), discovery)


@contextlib.asynccontextmanager
async def running(
    environ: Mapping[str, str], words: Sequence[str] = ("-m", "rookwood"), descriptors: int | None = None
) -> AsyncIterator[tuple[Process, DispatcherFixture, list[str]]]:
    """The program as a process of its own, and what it logged before it listened. It is killed at the end
    if it is still there. `environ` is added to what there is; `descriptors`: that the system lets it have."""

    def bounded() -> None:
        assert descriptors
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *words,
        env=os.environ | environ,
        stderr=subprocess.PIPE,
        preexec_fn=bounded if descriptors else None,
    )
    said = list[str]()
    try:
        assert child.stderr
        while " listens on " not in (text := (await child.stderr.readline()).decode()):
            assert text, "the program ended at once"
            said.append(text)
        yield child, DispatcherFixture(None, int(text.rsplit(":", 1)[1]), Discovery()), said  # type: ignore[arg-type]
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
