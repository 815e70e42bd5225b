"""Events that come exactly between two steps of the dispatcher.

A hook or a scripted peer stops one side at that point; docs/findings/rare-faults.md lists the cases.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import socket
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from rookwood.lab.raw_http import encode_chunk, encode_chunks
from rookwood.net import destinations, endpoints, inbound
from rookwood.net.clock import Clock
from rookwood.net.destinations import RetryPacer
from rookwood.net.dispatcher import DispatcherContext
from rookwood.net.endpoints import EndpointPool
from rookwood.net.http1 import HttpStream
from rookwood.net.policy_driver import Attempt, AttemptOutcome, PolicyDriver, RequestProfile
from rookwood.settings import InvalidSettingError, JsonReader, parse_settings
from tests import stage as st
from tests.stage import (
    LIMIT,
    SETTINGS,
    DispatcherFixture,
    Script,
    ScriptedWorker,
    Streams,
    start_dispatcher,
    wait_until,
)
from tests.test_stories import play

SECOND = timedelta(seconds=1)
# The platform assumes that a dispatcher knows a change this long after the last data on its watch, or after
# an outage of discovery.
TIME_TO_LEARN = 6 * SECOND


class Client:
    """A client that acts within one step of the event loop, on a blocking socket."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    async def read_to_end(self) -> bytes:
        """Read up to an orderly end of the connection; raises if it was reset."""
        self.socket.setblocking(False)
        loop, text = asyncio.get_running_loop(), b""
        async with asyncio.timeout(LIMIT):
            while data := await loop.sock_recv(self.socket, 65536):
                text += data
        self.socket.close()
        return text


class Recorder(ScriptedWorker):
    """A worker that never responds, and keeps all bytes that it receives."""

    def __init__(self) -> None:
        super().__init__(st.never_responds)
        self.text = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.text += data
        self.closed.set()
        writer.close()


def close_clients_now(s: DispatcherFixture) -> None:
    """Begin to close clients' connections, as a drain does after its delay."""
    s.dispatcher._service._closing_from = s.dispatcher._clock.now()
    s.dispatcher._service._closing_scheduled.set()


# ---- clients that disconnect ----


@pytest.mark.parametrize("ahead", [20_000, 600_000])
def test_disconnect_of_a_client_that_sent_much_ahead_is_noticed(tmp_path: Path, ahead: int) -> None:
    """The end of the stream comes after what the client sent, so all of that is read, but little is kept."""

    async def story() -> None:
        worker = ScriptedWorker(st.never_responds, st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            budget = s.dispatcher._inbound._body_bytes_left
            _, writer = await s.connect()
            writer.write(s.request("/unlock", timeout=60.0))
            await wait_until(lambda: len(worker.paths) == 1)
            writer.write(b"x" * ahead)
            await wait_until(
                lambda: s.dispatcher._inbound._body_bytes_left <= budget - min(ahead, inbound.MAX_READ_AHEAD)
            )
            assert budget - s.dispatcher._inbound._body_bytes_left <= inbound.MAX_READ_AHEAD + 2 * 65536
            writer.close()
            await asyncio.wait_for(worker.closed.wait(), LIMIT)
            await wait_until(lambda: not s.dispatcher._inbound._streams)
            assert s.dispatcher._inbound._body_bytes_left == budget
            assert len(worker.paths) == 1
            assert (await s.send_request())[0] == 200

    play(story())


@pytest.mark.parametrize("attempt", [1, 2])
def test_nothing_is_sent_if_the_client_disconnects_right_before_the_first_byte(
    tmp_path: Path, attempt: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client disconnects between the decision and the first byte of the first attempt or of a retry."""

    async def story() -> None:
        first, second = ScriptedWorker(st.ends_with("returned")), Recorder()
        peers: list[ScriptedWorker] = [second] if attempt == 1 else [first, second]
        async with start_dispatcher(tmp_path, *peers) as s:
            client, accepts, checked = Client(s.port), s.dispatcher._destinations.accepts, list[str]()

            def disconnects(uid: str) -> bool:
                checked.append(uid)
                if uid == f"s-{len(peers) - 1}":
                    client.socket.close()
                return accepts(uid)

            monkeypatch.setattr(s.dispatcher._destinations, "accepts", disconnects)
            if attempt == 2:  # with low trust, it is chosen only once the other one has rejected the request
                s.dispatcher._decisions._policy.workers["s-1"].trust = 0.05
            client.write(s.request("/unlock"))
            await wait_until(lambda: client.socket.fileno() == -1)
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 0)
            await wait_until(lambda: second.connections == 0 or second.closed.is_set())
            assert (second.text, len(first.paths)) == (b"", attempt - 1)
            assert f"s-{len(peers) - 1}" in checked

    play(story())


def test_nothing_is_sent_if_the_client_disconnects_while_the_connection_opens(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        recorder, connecting, go_on = Recorder(), asyncio.Event(), asyncio.Event()
        async with start_dispatcher(tmp_path, recorder) as s:
            connect = s.dispatcher._endpoints._connect

            async def waits_to_connect(address: str) -> endpoints.Connection:
                connecting.set()
                try:
                    await go_on.wait()
                finally:
                    connecting.clear()
                return await connect(address)

            monkeypatch.setattr(s.dispatcher._endpoints, "_connect", waits_to_connect)
            _, writer = await s.connect()
            writer.write(s.request("/unlock"))
            await asyncio.wait_for(connecting.wait(), LIMIT)
            writer.close()
            await wait_until(lambda: not connecting.is_set())  # the opening was cancelled
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 0)
            go_on.set()
            assert (recorder.connections, s.dispatcher._endpoints._connection_count) == (0, 0)

    play(story())


def test_held_request_of_a_disconnected_client_is_cancelled_at_once(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.never_responds)
        async with start_dispatcher(tmp_path, worker) as s:
            policy = s.dispatcher._decisions._policy
            busy = [await s.connect() for _ in range(5)]
            for _, writer in busy:  # one more than the worker has slots, so one request is held
                writer.write(s.request("/unlock"))
            await wait_until(lambda: len(worker.paths) == 4 and s.dispatcher._decisions.open_requests == 5)
            (waiting,) = (job for queue in policy.held_jobs.values() for job in queue)
            held = next(n for n, (_, w) in enumerate(busy) if f"r{n + 1}" not in received_ids(worker))
            busy[held][1].close()
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 4)
            assert waiting.request.id not in policy.jobs
            worker.resume.set()
            for n, (reader, _) in enumerate(busy):
                if n != held:
                    assert b"late" in await asyncio.wait_for(reader.readuntil(b"late"), LIMIT)
            assert len(worker.paths) == 4

    play(story())


def received_ids(worker: ScriptedWorker) -> set[str]:
    return {headers["request-id"] for headers in worker.headers}


# ---- the end of a client's connection ----


def test_request_that_crosses_the_close_of_its_idle_connection_is_neither_read_nor_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It arrives between the last check and the close; the client sees an orderly end and sends it again."""

    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            client = Client(s.port)
            client.write(s.request())
            client.socket.settimeout(LIMIT)
            assert b"page" in await asyncio.to_thread(client.socket.recv, 65536)
            await wait_until(lambda: len(s.dispatcher._inbound._idle_usual) == 1)
            is_idle, crossed = HttpStream.is_idle, list[bool]()

            def request_crosses(stream: HttpStream) -> bool:
                if (idle := is_idle(stream)) and stream in s.dispatcher._inbound._streams and not crossed:
                    crossed.append(True)
                    client.write(s.request())
                return idle

            monkeypatch.setattr(HttpStream, "is_idle", request_crosses)
            close_clients_now(s)
            assert await client.read_to_end() == b""
            assert crossed and len(worker.paths) == 1

    play(story())


def test_request_that_arrives_before_its_idle_connection_closes_is_served(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            client = Client(s.port)
            client.write(s.request())
            await wait_until(lambda: len(s.dispatcher._inbound._idle_usual) == 1)
            (stream, timeout), *_ = s.dispatcher._inbound._idle_usual.items()
            client.write(s.request())
            timeout.reschedule(0)  # it expires in the step in which the bytes arrive
            close_clients_now(s)
            assert (await client.read_to_end()).count(b"HTTP/1.1 200") == 2

    play(story())


def test_requests_sent_ahead_all_get_responses_before_their_connection_closes(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.never_responds, st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            client = Client(s.port)
            client.write(b"".join(s.request() for _ in range(6)))
            await wait_until(lambda: len(worker.paths) == 1)
            close_clients_now(s)
            worker.resume.set()
            text = await client.read_to_end()
            assert text.count(b"HTTP/1.1 200") == 6 and len(worker.paths) == 6
            assert text.lower().count(b"connection: close") == 1

    play(story())


def test_timeout_of_a_request_sent_ahead_counts_from_its_last_byte(tmp_path: Path) -> None:
    """A request whose timeout ends while it waits behind another one is not started."""

    async def story() -> None:
        worker = ScriptedWorker(st.never_responds, st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            client = Client(s.port)
            client.write(s.request("/unlock"))
            await wait_until(lambda: len(worker.paths) == 1)
            (stream,) = s.dispatcher._inbound._streams
            before = stream._read_times[-1]
            client.write(s.request("/unlock", timeout=3.0) + s.request("/unlock", timeout=8.0))
            await wait_until(lambda: stream._read_times[-1] != before)
            # As if it had arrived 4 s ago.
            stream._read_times[-1] = (stream._read_times[-1][0], stream._read_times[-1][1] - 4)
            worker.resume.set()
            close_clients_now(s)
            statuses = [response[:3] for response in (await client.read_to_end()).split(b"HTTP/1.1 ")[1:]]
            assert statuses == [b"200", b"503", b"200"] and len(worker.paths) == 2

    play(story())


@pytest.mark.parametrize("closing", [False, True])
def test_response_is_not_lost_to_bytes_that_arrive_as_its_connection_closes(
    tmp_path: Path, closing: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They arrive between the last response and the close; a reset would drop the response under way."""

    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            if closing:
                close_clients_now(s)
            client, write = Client(s.port), HttpStream.write

            async def bytes_cross(stream: HttpStream, data: bytes) -> None:
                await write(stream, data)
                if data.startswith(b"HTTP/1.1"):
                    client.write(b"GET /-/ready HT")

            monkeypatch.setattr(HttpStream, "write", bytes_cross)
            client.write(s.request() if closing else b"BREW / HTTP/1.1\r\n\r\n")
            text = await client.read_to_end()
            assert text.startswith(b"HTTP/1.1 200" if closing else b"HTTP/1.1 400")
            assert text.count(b"HTTP/1.1") == 1

    play(story())


def test_small_writes_are_not_delayed_on_either_side(tmp_path: Path) -> None:
    """Data that the kernel still delays would be lost if the connection closed with unread bytes."""

    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            streams = await s.connect()
            assert (await s.exchange(streams, s.request()))[0] == 200
            (idle_connection,) = (c for idle in s.dispatcher._endpoints._idle.values() for c in idle)
            for stream in (*s.dispatcher._inbound._streams, idle_connection.stream):
                connected = stream.writer.get_extra_info("socket")
                assert connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(story())


class DrainingExtension:
    """An extension that calls a function at the moment when it has drained."""

    def __init__(self, context: DispatcherContext, on_drained: Callable[[], None]) -> None:
        self.on_drained = on_drained

    def filter_update(
        self, update: destinations.DestinationUpdate, is_cached: bool
    ) -> destinations.DestinationUpdate:
        return update

    async def start(self) -> None: ...

    def reload(self) -> None: ...

    def handed_over(self) -> None: ...

    def begin_shutdown(self) -> None: ...

    async def wait_drained(self) -> None:
        self.on_drained()

    async def close(self) -> None: ...


def test_client_that_connects_just_as_the_process_has_drained_gets_a_response(tmp_path: Path) -> None:
    async def story() -> None:
        clients, fixtures = list[Client](), list[DispatcherFixture]()

        def connect_client() -> None:
            clients.append(Client(fixtures[0].port))
            clients[0].write(fixtures[0].request())

        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(
            tmp_path, worker, extensions=(lambda context: DrainingExtension(context, connect_client),)
        ) as s:
            fixtures.append(s)
            s.dispatcher._service.begin_shutdown(timedelta(0))
            await asyncio.wait_for(s.dispatcher.wait_drained(), LIMIT)
            await s.dispatcher.close()
            assert b"HTTP/1.1 200" in await clients[0].read_to_end()

    play(story())


# ---- discovery ----


def test_silent_watch_and_a_failed_call_together_stay_within_the_time_to_learn_a_change() -> None:
    """An idle timeout, a delay, a call that fails as late as possible, another delay, a successful call."""
    worst = timedelta()
    for seed in range(2000):
        pacer = RetryPacer(True, seed)
        for response_time in (SECOND / 100, SECOND / 5, SECOND):
            first = pacer.delay_after(response_time, succeeded=True)
            worst = max(
                worst, first + pacer.delay_after(destinations.SHARED_SERVICE_TIMEOUT, succeeded=False)
            )
    assert destinations.WATCH_IDLE_TIMEOUT + worst + destinations.SHARED_SERVICE_TIMEOUT < TIME_TO_LEARN
    # After an outage, the call under way when discovery came back fails, and so does the next one.
    for seed in range(2000):
        pacer, span = RetryPacer(True, seed), timedelta()
        for _ in range(9):
            pacer.delay_after(SECOND / 100, succeeded=False)
        for _ in range(2):
            span += destinations.SHARED_SERVICE_TIMEOUT + pacer.delay_after(
                destinations.SHARED_SERVICE_TIMEOUT, succeeded=False
            )
        assert span < TIME_TO_LEARN


@contextlib.asynccontextmanager
async def watching(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any], grace: timedelta, shared_service: bool
) -> AsyncIterator[destinations.Destinations]:
    """A destination list that watches a discovery, which serves each connection by this function."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = destinations.Address(*server.sockets[0].getsockname())
    watching_list = destinations.Destinations(
        Clock(), grace, lambda update, is_cached: None, address, shared_service, seed=1
    )
    try:
        watching_list.start()
        yield watching_list
    finally:
        await watching_list.close()
        server.close()


def test_outage_of_discovery_is_logged_when_it_begins_and_not_at_each_call(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def story() -> None:
        calls = list[str]()

        async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append((await st.read_message(reader))[0])
            if len(calls) in (2, 7):
                writer.write(st.HEAD + b"1\r\n\n\r\n")
            if len(calls) == 4:
                with contextlib.suppress(ConnectionError):
                    await reader.read()  # the agent accepts the call and does not respond
            writer.close()

        async with watching(agent, grace=SECOND, shared_service=False):
            await wait_until(lambda: len(calls) == 9)

    with caplog.at_level(logging.DEBUG):
        play(story())
    levels = [r.levelno for r in caplog.records if "discovery watch broke" in r.getMessage()]
    begun, ongoing = logging.WARNING, logging.DEBUG
    assert levels[:8] == [begun, begun, begun, ongoing, ongoing, ongoing, begun, begun]
    assert any("broke: TimeoutError: silent" in r.getMessage() for r in caplog.records)


def test_change_that_reached_a_silent_agent_is_known_within_the_grace() -> None:
    """The platform counts the grace from the agent's return, yet the call under way then gets no response."""

    async def story() -> None:
        calls = list[float]()
        loop = asyncio.get_running_loop()

        async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await st.read_message(reader)
            calls.append(loop.time())
            if len(calls) > 1:
                text = json.dumps({"rev": 2, "all": True, "targets": []}).encode() + b"\n"
                writer.write(st.HEAD + encode_chunk(text))
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        async with watching(agent, grace=SECOND, shared_service=False) as watched:
            await wait_until(lambda: watched.revision == 2)
            assert calls[1] - calls[0] < 1.0

    play(story())


def test_silent_watch_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(destinations, "WATCH_IDLE_TIMEOUT", timedelta(milliseconds=100))

    async def story() -> None:
        revisions = list[int]()

        async def becomes_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await st.read_message(reader)
            revisions.append(len(revisions) + 1)
            text = json.dumps({"rev": revisions[-1], "all": True, "targets": []}).encode() + b"\n"
            writer.write(st.HEAD + encode_chunk(text))
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        for shared_service in (False, True):
            revisions.clear()
            async with watching(becomes_silent, SECOND, shared_service) as watched:
                await wait_until(lambda: len(revisions) >= 4)
                assert watched.revision >= 3

    play(story())


def test_change_takes_effect_at_once(tmp_path: Path) -> None:
    """The platform may have assumed for long that the dispatcher knows the change, as after a silence."""

    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            assert s.dispatcher._destinations.accepts("s-0")
            s.discovery.send_update(2, st.target_entry("s-0", worker.address, "draining"))
            await wait_until(lambda: s.dispatcher._destinations.revision == 2)
            assert not s.dispatcher._destinations.accepts("s-0")

    play(story())


def test_lists_may_come_indented_and_in_pieces(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            with_brackets = st.target_entry('a {[\\" b', worker.address)
            for rev, indent in ((2, 2), (3, None), (4, 1)):
                update = {
                    "rev": rev,
                    "all": True,
                    "targets": [with_brackets, st.target_entry("s-0", worker.address)],
                }
                text = json.dumps(update, indent=indent).encode() + b"\n"
                for at in range(0, len(text), 50):
                    s.discovery.lines.put_nowait(text[at : at + 50])
                s.discovery.lines.put_nowait(b"\n")
                await wait_until(lambda rev=rev: s.dispatcher._destinations.revision == rev)  # type: ignore[misc]
            assert len(s.discovery.targets) == 1 and s.dispatcher._destinations.accepts('a {[\\" b')

    play(story())


def update_with(**replaced: object) -> bytes:
    """An update of one worker, with some items of it replaced."""
    update = {"rev": 3, "all": False, "targets": [st.target_entry("s-9", "127.0.0.1:7") | replaced]}
    return json.dumps(update).encode() + b"\n"


@pytest.mark.parametrize(
    ("line", "key"),
    [
        (b'{"rev": 3,\n\n', "line"),  # interrupted by a sign of life
        (update_with(endpoint="nowhere"), "endpoint"),
        (update_with(endpoint="a:70000"), "endpoint"),
        (update_with(uid="\ud800"), "uid"),
        (update_with(boot_ms=9e99), "boot_ms"),
        (update_with(boot_ms=10**400), "boot_ms"),
    ],
)
def test_invalid_list_is_logged_with_its_key_and_the_list_in_force_stays(
    tmp_path: Path, line: bytes, key: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            await wait_until(lambda: len(s.discovery.targets) == 1)
            s.discovery.lines.put_nowait(line)
            await wait_until(lambda: len(s.discovery.targets) == 2)
            assert (await s.send_request())[0] == 200
            s.discovery.send_update(4, st.target_entry("s-0", worker.address))
            await wait_until(lambda: s.dispatcher._destinations.revision == 4)

    with caplog.at_level(logging.INFO):
        play(story())
    (broke,) = [r.getMessage() for r in caplog.records if "the discovery watch broke" in r.getMessage()]
    assert key in broke and not [r for r in caplog.records if r.levelno >= logging.ERROR]


@pytest.mark.parametrize("line", [b'{"a":"' + b'\\"' * 60_000, b"[\n" * 200_000], ids=["string", "brackets"])
def test_malformed_list_does_not_stall_the_dispatcher(tmp_path: Path, line: bytes) -> None:
    """An unterminated string and unclosed brackets are scanned once, not again at every line or quote."""

    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            await wait_until(lambda: len(s.discovery.targets) == 1)
            loop = asyncio.get_running_loop()
            start = loop.time()
            s.discovery.lines.put_nowait(line + b"\n\n")
            await wait_until(lambda: len(s.discovery.targets) == 2)
            assert (await s.send_request())[0] == 200
            assert loop.time() - start < 4

    play(story())


def test_update_that_failed_is_requested_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A single error must not leave the policy with a worker that is gone."""

    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            update_workers, revisions = s.dispatcher._decisions.update_workers, list[int]()

            def fails_once(update: destinations.DestinationUpdate, is_cached: bool) -> None:
                revisions.append(update.revision)
                if len(revisions) == 1:
                    raise ZeroDivisionError
                update_workers(update, is_cached)

            monkeypatch.setattr(s.dispatcher._decisions, "update_workers", fails_once)
            for calls in (1, 2):
                await wait_until(lambda calls=calls: len(s.discovery.targets) == calls)  # type: ignore[misc]
                s.discovery.send_update(2, st.target_entry("s-9", worker.address))
            await wait_until(lambda: len(revisions) == 2 and s.dispatcher._destinations.revision == 2)
            assert s.discovery.targets == ["/api/targets?follow=1&since=1"] * 2
            assert "s-9" in s.dispatcher._decisions._policy.workers

    play(story())


def test_drain_sent_by_a_new_discovery_takes_effect_at_once(tmp_path: Path) -> None:
    """A reload during drains: the list stays until the new discovery sends one; the old one is ignored."""

    async def story() -> None:
        one, two, newer = (
            ScriptedWorker(st.serves),
            ScriptedWorker(st.ends_with("done", result="two")),
            st.Discovery(),
        )
        async with start_dispatcher(tmp_path, one, two) as s, st.listening(newer) as newer_address:
            listed = s.dispatcher._destinations
            await wait_until(lambda: len(s.discovery.targets) == 1)
            host, _, port = newer_address.rpartition(":")
            s.discovery.send_update(9, st.target_entry("s-1", two.address, "draining"))
            listed.switch_discovery(destinations.Address(host, int(port)))
            assert listed.accepts("s-0")
            newer.send_update(
                1,
                st.target_entry("s-0", one.address, "draining"),
                st.target_entry("s-1", two.address),
                full=True,
            )
            await wait_until(lambda: listed.revision == 1 and not listed._needs_full_list)
            assert (listed.accepts("s-0"), listed.accepts("s-1")) == (False, True)
            assert [(await s.send_request(f"/unlock?k={n}"))[2] for n in range(4)] == [b"two"] * 4

    play(story())


def test_start_does_not_wait_for_a_discovery_that_is_down(tmp_path: Path) -> None:
    """The cached list is enough for the dispatcher to be ready."""

    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            assert s.dispatcher._service.is_ready and not s.dispatcher._destinations.up_to_date.is_set()
            assert (await s.send_request())[0] == 200

    play(story())


def test_idle_clients_do_not_block_discovery_workers_and_management(tmp_path: Path) -> None:
    """There are more idle clients than descriptors while discovery is down; then it comes back."""

    async def story() -> None:
        worker, newer = ScriptedWorker(st.serves), ScriptedWorker(st.ends_with("done", result="newer"))
        discovery, idle = st.Discovery(), list[Streams]()
        async with contextlib.AsyncExitStack() as stack:
            for peer in (worker, newer):
                peer.address = await stack.enter_async_context(st.listening(peer))
            listener = stack.enter_context(socket.socket())  # of the discovery, which does not listen yet
            listener.bind(("127.0.0.1", 0))
            discovery_address = f"127.0.0.1:{listener.getsockname()[1]}"
            listed = [st.target_entry("s-0", worker.address)]
            changes: dict[str, Any] = {"limits": {"sockets": 64}, "mgmt": "127.0.0.1:0"}
            environ = st.environment(tmp_path, listed, discovery_address, **changes)
            child, s, log_lines = await stack.enter_async_context(
                st.dispatcher_process(environ, descriptors=64)
            )
            (management_port,) = (
                int(line.rsplit(":", 1)[1]) for line in log_lines if " accepts management calls at " in line
            )
            for _ in range(120):
                idle.append(await s.connect())
                stack.callback(idle[-1][1].transport.abort)
            server = await asyncio.start_server(discovery.serve, sock=listener)
            stack.callback(server.close)
            await wait_until(lambda: len(discovery.targets) == 1)
            discovery.send_update(2, st.target_entry("s-9", newer.address), listed[0] | {"state": "draining"})
            status, _, body = await s.send_request()
            for _ in range(100):  # until the new list is in force
                if body == b"newer":
                    break
                status, _, body = await s.send_request()
            assert (status, body) == (200, b"newer")
            reader, writer = await asyncio.open_connection("127.0.0.1", management_port)
            writer.write(b"GET /ops/readiness HTTP/1.1\r\nHost: ops\r\n\r\n")
            assert (await asyncio.wait_for(reader.read(), LIMIT)).startswith(b"HTTP/1.1 200")
            writer.close()
            child.kill()
            assert b"Too many open files" not in (await child.communicate())[1]

    play(story())


# ---- workers ----


async def without_a_last_newline(
    worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str
) -> bool:
    """Serve the request, but leave out the newline of the last line."""
    text = json.dumps({"id": request_id, "state": "done", "result": "page"}).encode()
    writer.write(st.HEAD + st.status_line(request_id, "started") + encode_chunks(text))
    return True


async def cut_within_the_last_line(
    worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str
) -> bool:
    """End the response within its last line."""
    text = json.dumps({"id": request_id, "state": "done", "result": "page"}).encode()[:-2]
    writer.write(st.HEAD + encode_chunks(text))
    return True


@pytest.mark.parametrize(
    ("script", "status", "connections"),
    [(without_a_last_newline, 200, 1), (cut_within_the_last_line, 502, 2)],
)
def test_end_of_a_response_ends_its_last_line(
    tmp_path: Path, script: Script, status: int, connections: int
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(script, st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            assert (await s.send_request("/unlock"))[0] == status
            assert (await s.send_request("/unlock"))[0] == 200
            assert worker.connections == connections

    play(story())


class LateWriter(ScriptedWorker):
    """A worker that writes more data as soon as the second request of a connection begins."""

    def __init__(self, late_data: bytes) -> None:
        super().__init__(st.serves)
        self.late_data, self.complete_requests = late_data, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            _, headers, _ = await st.read_message(reader)
            self.complete_requests += 1
            await st.serves(self, writer, headers["request-id"])
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.late_data)
            await reader.readexactly(5)
            self.complete_requests += 1
            await st.serves(self, writer, headers["request-id"])
        writer.close()


SECOND_RESPONSES = [
    st.HEAD + st.status_line("r1", "done", result="page") + b"0\r\n\r\n",
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    b"{}\n",
]


@pytest.mark.parametrize("late_data", SECOND_RESPONSES)
def test_late_second_response_is_not_used_for_the_next_request(
    tmp_path: Path, late_data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last byte of that request is not sent yet, so it is sent completely on another connection."""
    monkeypatch.setattr(endpoints, "LAST_BYTE_DELAY", timedelta(milliseconds=300))

    async def story() -> None:
        worker = LateWriter(late_data)
        async with start_dispatcher(tmp_path, worker) as s:
            assert [(await s.send_request("/unlock"))[0] for _ in range(2)] == [200, 200]
            assert (worker.connections, worker.complete_requests) == (2, 2)
            assert s.dispatcher._decisions._policy.workers["s-0"].trust == 1.0

    play(story())


async def never_ends(worker: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    """Report that the request is running, without end."""
    writer.write(st.HEAD + st.status_line(request_id, "started"))
    with contextlib.suppress(ConnectionError):
        while not writer.transport.is_closing():
            writer.write(st.status_line(request_id, "running", share=0.5))
            await writer.drain()
            await asyncio.sleep(0)
    return False


INVALID_RESPONSES: list[tuple[Script, int, float]] = [
    (st.ends_with("done", result="\ud800"), 502, 8.0),  # half of a surrogate pair, which cannot be encoded
    (st.writes(st.HEAD + b"50000\r\n" + b"x" * 0x50000 + b"\r\n"), 502, 8.0),  # a line without an end
    (st.writes(b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 40_000), 502, 8.0),  # a head without an end
    (st.writes(b"HTTP/1.1 102 Wait\r\n\r\n" * 2000), 504, 0.4),  # only interim responses
    (never_ends, 504, 0.4),
]


@pytest.mark.parametrize(("script", "status", "timeout"), INVALID_RESPONSES)
def test_invalid_response_fails_only_its_own_request(
    tmp_path: Path, script: Script, status: int, timeout: float, caplog: pytest.LogCaptureFixture
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(script, st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            assert (await s.send_request("/unlock", timeout=timeout))[0] == status
            assert (await s.send_request("/unlock"))[0] == 200
            assert len(worker.paths) == 2

    play(story())
    assert not [r for r in caplog.records if r.exc_info]  # logged as the worker's fault, not as a defect


@pytest.mark.parametrize("error", [OSError(113, "No route to host"), ConnectionResetError()])
def test_network_error_during_an_attempt_is_a_reset_and_no_defect(
    tmp_path: Path, error: OSError, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:

            async def fails(*arguments: object) -> endpoints.AttemptResult:
                raise error

            monkeypatch.setattr(s.dispatcher._endpoints, "_read_response", fails)
            assert (await s.send_request("/unlock"))[0] == 502
            assert s.dispatcher._endpoints._connection_count == 0

    play(story())


def test_retry_whose_window_ends_while_it_connects_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was decided within the window but connected after it, when workers would run it a second time."""
    roster = st.job_class("roster", "keyed", group="all", window=3_000_000, **{"aim-stretch": 2.0})

    async def story() -> None:
        worker = ScriptedWorker(st.breaks_off, st.serves)
        async with start_dispatcher(tmp_path, worker, settings=SETTINGS | {"lanes": [roster]}) as s:
            clock, connect, connected = s.dispatcher._clock, s.dispatcher._endpoints._connect, list[str]()

            async def connects_slowly(address: str) -> endpoints.Connection:
                connected.append(address)
                if len(connected) == 2:
                    clock._monotonic_start_ns -= 3_000_000_000
                return await connect(address)

            monkeypatch.setattr(s.dispatcher._endpoints, "_connect", connects_slowly)
            loop = asyncio.get_running_loop()
            start = loop.time()
            status, _, _ = await s.send_request("/roster", more=b"Idempotency-Key: k\r\n")
            assert (status, len(worker.paths), len(connected)) == (503, 1, 2)
            assert loop.time() - start < 2  # the response is sent without waiting for the timeout

    play(story())


def test_retry_window_counts_from_the_first_attempt_that_may_have_run() -> None:
    async def story() -> None:
        keyed = st.job_class("roster", "keyed", group="zone", window=3_000_000)
        settings = parse_settings(JsonReader(SETTINGS | {"lanes": [keyed]}))
        clock = Clock()
        driver = PolicyDriver(settings, 1, clock)
        driver.update_workers(destinations.parse_destination_update(JsonReader(
            {"rev": 1, "all": True, "targets": [st.target_entry(f"s-{n}", "127.0.0.1:9") for n in range(3)]}
        )))  # fmt: skip
        start = clock.now()
        with driver.admit(RequestProfile("roster", start + 9 * SECOND, key="7")) as ticket:
            outcomes = [AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET, AttemptOutcome.REJECTED]
            attempts = list[Attempt]()
            for outcome in outcomes:
                attempt = await ticket.next_decision()
                assert isinstance(attempt, Attempt)
                attempts.append(attempt)
                ticket.end_attempt(outcome)
        first, second, third = (attempt.start_by for attempt in attempts)
        assert first is None and second is None and third is not None
        assert start + 2.9 * SECOND < third <= clock.now() + 3 * SECOND
        driver.close()

    play(story())


def test_invalid_settings_are_reported_with_the_key() -> None:
    with pytest.raises(InvalidSettingError, match="lanes\\[0\\].name: not Unicode"):
        parse_settings(JsonReader(SETTINGS | {"lanes": [st.job_class("\ud800", "safe")]}))


def test_cancelled_attempt_releases_its_connection_at_every_step(tmp_path: Path) -> None:
    """The attempt is cancelled at each step in turn: nothing stays counted, no connection stays open."""

    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with st.listening(worker) as address:
            clock, steps = Clock(), 0
            while True:
                pool = EndpointPool(clock, SECOND, 60 * SECOND, 4)
                request = endpoints.WorkerRequest("a", b"/page", "api", None, b"body")
                arguments = (request, address, clock.now() + LIMIT * SECOND, lambda: True, lambda stage: None)
                task = asyncio.create_task(pool.attempt(*arguments, lambda: None, True))
                for _ in range(steps):
                    await asyncio.sleep(0)
                task.cancel()
                results = await asyncio.gather(task, return_exceptions=True)
                await pool.close()
                assert pool._connection_count == 0 and not pool._finishing
                if not isinstance(results[0], asyncio.CancelledError):
                    break
                steps += 1
            assert steps > 5 and results[0].outcome is AttemptOutcome.SERVED  # type: ignore[union-attr]

    play(story())
