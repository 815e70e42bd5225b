"""Runs a dispatcher on loopback sockets, with a discovery, workers and clients that a test controls."""

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

LIMIT = 10.0  # seconds that a single step may take before the test fails as hung
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Script = Callable[["ScriptedWorker", asyncio.StreamWriter, str], Awaitable[bool]]


def job_class(name: str, repeat: str, **changes: Any) -> dict[str, Any]:
    """The settings of a job class."""
    # Long enough for the retries at which a distrusted worker is used again, also on a slow machine.
    times = {"aim": 8_000_000, "give-up": 10_000_000}
    return {"name": name, "repeat": repeat, "importance": 3, **times, **changes}


SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "bounds": {"attempts-cap": 4, "cancel": True, "conn-idle": 60_000_000, "connect-timeout": 500_000},
    "discovery": "automatic",
    "family-info": {"tells-start": True},
    "lanes": [job_class("page", "safe"), job_class("unlock", "unsafe")],
    "rules": {"fall-multiple": 3.0, "overload-for": 1_000_000, "start-capacity": 0.3, "warm-up": 8_000_000},
    "tick": 4000,
}


def target_entry(uid: str, address: str, state: str = "up") -> dict[str, Any]:
    """A worker in the JSON form that discovery sends."""
    others = {"az": "a", "model": "m", "pod_group": 1, "capacity_hint": 1.0, "boot_ms": 0}
    return {"uid": uid, "endpoint": address, "state": state, **others}


def environment(folder: Path, listed: list[dict[str, Any]], discovery: str, **changes: Any) -> dict[str, str]:
    """Write a configuration file, and return the environment variables that name it."""
    known = {"rev": 1, "all": True, "targets": listed}
    data: dict[str, Any] = {"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f"}
    data |= {"limits": {"sockets": 256}, "known": known, "settings": SETTINGS} | changes
    (folder / "config.json").write_text(json.dumps(data))
    return {"PROXY_CONFIG": str(folder / "config.json")}


# ---- scripts: what a worker does with a request; each returns whether the connection goes on ----


def status_line(request_id: str, state: str, **more: Any) -> bytes:
    """A line of a response, as a chunk of its own."""
    text = json.dumps({"id": request_id, "from": "s-1", "state": state, **more}).encode() + b"\n"
    return encode_chunk(text)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def ends_with(state: str, **more: Any) -> Script:
    """Respond with the line `started`, then with a line of this state; `id` replaces the request's id."""

    async def script(worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
        last = status_line(more.pop("id", request_id), state, **more)
        writer.write(HEAD + status_line(request_id, "started") + last + b"0\r\n\r\n")
        return True

    return script


def writes(text: bytes) -> Script:
    """Write exactly this text."""

    async def script(worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
        writer.write(text)
        return True

    return script


def status(code: int, *headers: str) -> Script:
    """Respond with this status and an empty body."""
    more = "".join(f"{header}\r\n" for header in headers)
    return writes(f"HTTP/1.1 {code} X\r\n{more}Content-Length: 0\r\n\r\n".encode())


async def breaks_off(worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    """Close the connection after the first line of a response."""
    writer.write(HEAD + status_line(request_id, "started"))
    return False


async def never_responds(worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    """Respond only once the test sets `resume`."""
    await worker.resume.wait()
    writer.write(HEAD + status_line(request_id, "done", result="late") + b"0\r\n\r\n")
    return True


async def serves_and_closes(worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    """Serve the request, then close the connection."""
    await serves(worker, writer, request_id)
    return False


async def serves_and_writes_more(
    worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str
) -> bool:
    """Serve the request, then write a second response."""
    await serves(worker, writer, request_id)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    return True


serves = ends_with("done", result="page")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read the start line, headers and body of a message; several values of a header are joined with |."""
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), LIMIT)).decode("latin-1")
    start, *rest = head[:-4].split("\r\n")
    headers: dict[str, str] = {}
    for name, _, value in (item.partition(":") for item in rest):
        before = headers.get(name.lower())
        headers[name.lower()] = value.strip(" ") if before is None else f"{before}|{value.strip(' ')}"
    return start, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class ScriptedWorker:
    """A worker that runs one script for each request, and repeats the last one."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts, self.address = list(scripts), ""
        self.paths: list[str] = []  # of each request that was received completely
        self.headers: list[dict[str, str]] = []
        self.connections, self.closed = 0, asyncio.Event()
        self.resume = asyncio.Event()
        self.load, self.probes = b"", 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection; `closed` is set when it has ended."""
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
                self.paths.append(start.split()[1])
                self.headers.append(headers)
                running = asyncio.ensure_future(script(self, writer, headers["request-id"]))
                disconnect = asyncio.ensure_future(reader.read(1)) if script is never_responds else running
                await asyncio.wait((running, disconnect), return_when=asyncio.FIRST_COMPLETED)
                if script is never_responds and disconnect.done():
                    running.cancel()
                    break
                if script is never_responds:
                    disconnect.cancel()
                    await asyncio.gather(disconnect, return_exceptions=True)
                if not await running:
                    break
        self.closed.set()
        writer.close()


class Discovery:
    """A discovery that responds with the lines put into its queue, and waits until there are any."""

    def __init__(self) -> None:
        self.targets: list[str] = []  # of each request
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue()  # None closes a watch

    def send_update(self, rev: int, *entries: dict[str, Any], full: bool = False) -> None:
        """Send a revision: the full list if `full`, else changes."""
        self.lines.put_nowait(json.dumps({"rev": rev, "all": full, "targets": entries}).encode() + b"\n")

    async def listen(self, reader: asyncio.StreamReader) -> str:
        """Read a request and return its target."""
        start, _, _ = await read_message(reader)
        self.targets.append(start.split()[1])
        return self.targets[-1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection: requests for the full list, then a watch."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while "follow" not in (await self.listen(reader)):
                text = await self.lines.get() or b""
                writer.write(HEAD + encode_chunk(text) + LAST_CHUNK)
            writer.write(HEAD)
            disconnect = asyncio.ensure_future(reader.read())
            while not disconnect.done():
                next_line = asyncio.ensure_future(self.lines.get())
                await asyncio.wait((disconnect, next_line), return_when=asyncio.FIRST_COMPLETED)
                if not next_line.done() or next_line.result() is None:
                    next_line.cancel()
                    break
                writer.write(encode_chunk(next_line.result() or b""))
            disconnect.cancel()
        writer.close()


class DispatcherFixture:
    """A running dispatcher, its discovery, and a client of it."""

    def __init__(self, dispatcher: Dispatcher, port: int, discovery: Discovery) -> None:
        self.dispatcher, self.port, self.discovery = dispatcher, port, discovery
        self._request_numbers = itertools.count(1)

    async def connect(self) -> Streams:
        return await asyncio.open_connection("127.0.0.1", self.port)

    def request(
        self, path: str = "/page?k=7", timeout: float = 8.0, body: bytes = b"hello", more: bytes = b""
    ) -> bytes:
        """A request with a new id; `more` are further header lines, each with its line end."""
        head = f"POST {path} HTTP/1.1\r\nHost: api\r\nRequest-Id: r{next(self._request_numbers)}\r\n"
        head += f"Request-Timeout: {timeout}\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + more + b"\r\n" + body

    async def exchange(self, streams: Streams, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send data on a connection and read the response: its status, headers and body."""
        streams[1].write(data)
        start, headers, body = await read_message(streams[0])
        return int(start.split()[1]), headers, body

    async def send_request(self, *arguments: Any, **options: Any) -> tuple[int, dict[str, str], bytes]:
        """Send a request, with the arguments of `request`, on a connection of its own."""
        streams = await self.connect()
        try:
            return await self.exchange(streams, self.request(*arguments, **options))
        finally:
            streams[1].close()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true; raises TimeoutError after `LIMIT`."""
    async with asyncio.timeout(LIMIT):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def listening(peer: ScriptedWorker | Discovery) -> AsyncIterator[str]:
    """Let a peer listen on a free port; yields its address."""
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(server.close)
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@contextlib.asynccontextmanager
async def start_dispatcher(
    folder: Path,
    *workers: ScriptedWorker,
    tmpdir: Path | None = None,
    extensions: tuple[Callable[[DispatcherContext], Extension], ...] = (),
    **changes: Any,
) -> AsyncIterator[DispatcherFixture]:
    """Run a dispatcher in this process; `changes` replace items of its configuration file."""
    async with contextlib.AsyncExitStack() as stack:
        for worker in workers:
            worker.address = worker.address or await stack.enter_async_context(listening(worker))
        discovery = Discovery()
        discovery_address = await stack.enter_async_context(listening(discovery))
        listed = [target_entry(f"s-{n}", worker.address) for n, worker in enumerate(workers)]
        environ = environment(folder, listed, discovery_address, **changes)
        dispatcher = Dispatcher(load(environ | ({"TMPDIR": str(tmpdir)} if tmpdir else {})), *extensions)
        stack.push_async_callback(dispatcher.close)
        yield DispatcherFixture(dispatcher, await dispatcher.start(), discovery)


@contextlib.asynccontextmanager
async def dispatcher_process(
    environ: Mapping[str, str], arguments: Sequence[str] = ("-m", "rookwood"), descriptors: int | None = None
) -> AsyncIterator[tuple[Process, DispatcherFixture, list[str]]]:
    """Run the program as a process of its own; yields what it logged before it listened, too.

    `environ` is added to this process's environment; `descriptors` limits the open files. The process is
    killed at the end if it still runs.
    """

    def limit_descriptors() -> None:
        assert descriptors
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        env=os.environ | environ,
        stderr=subprocess.PIPE,
        preexec_fn=limit_descriptors if descriptors else None,
    )
    log_lines = list[str]()
    try:
        assert child.stderr
        while " listens on " not in (text := (await child.stderr.readline()).decode()):
            assert text, "the program ended at once"
            log_lines.append(text)
        yield child, DispatcherFixture(None, int(text.rsplit(":", 1)[1]), Discovery()), log_lines  # type: ignore[arg-type]
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
