"""Rare moments: what comes exactly between two steps of the dispatcher. A hook or a scripted peer holds one
side at the point in question; docs/findings/rare-faults.md lists the crossings."""

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
from rookwood.net.destinations import Pace
from rookwood.net.dispatcher import DispatcherContext
from rookwood.net.endpoints import Endpoints
from rookwood.net.http1 import Wire
from rookwood.net.policy_driver import Attempt, AttemptOutcome, Job, PolicyDriver
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
TOLD = 6 * SECOND  # a change counts as told so long after a silence began, or after discovery was back


class Client:
    """A client that acts within one step of the event loop: its socket blocks, and what it does is done."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    async def rest(self) -> bytes:
        """All that still comes, up to a clean end. A connection that was reset raises."""
        self.socket.setblocking(False)
        loop, text = asyncio.get_running_loop(), b""
        async with asyncio.timeout(LIMIT):
            while data := await loop.sock_recv(self.socket, 65536):
                text += data
        self.socket.close()
        return text


class Recorder(ScriptedWorker):
    """Never answers; what it was sent, byte by byte."""

    def __init__(self) -> None:
        super().__init__(st.silent)
        self.text = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.text += data
        self.closed.set()
        writer.close()


def moved_off(s: DispatcherFixture) -> None:
    """From now on, as after a drain's notice."""
    s.dispatcher._service._moves = s.dispatcher._clock.now()
    s.dispatcher._service._changed.set()


# ---- a client that has gone ----


@pytest.mark.parametrize("ahead", [20_000, 600_000])
def test_client_that_sent_much_ahead_and_left_is_noticed(tmp_path: Path, ahead: int) -> None:
    """Its end stands behind what it sent, so that is read, though not kept without bound."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.silent, st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            left = s.dispatcher._inbound._bytes_left
            _, writer = await s.connect()
            writer.write(s.request("/unlock", timeout=60.0))
            await wait_until(lambda: len(endpoint.seen) == 1)
            writer.write(b"x" * ahead)
            await wait_until(lambda: s.dispatcher._inbound._bytes_left <= left - min(ahead, inbound.AHEAD))
            assert left - s.dispatcher._inbound._bytes_left <= inbound.AHEAD + 2 * 65536
            writer.close()
            await asyncio.wait_for(endpoint.closed.wait(), LIMIT)
            await wait_until(lambda: not s.dispatcher._inbound._open)
            assert s.dispatcher._inbound._bytes_left == left
            assert len(endpoint.seen) == 1
            assert (await s.send_request())[0] == 200

    play(story())


@pytest.mark.parametrize("attempt", [1, 2])
def test_client_that_leaves_right_before_the_first_byte_has_nothing_sent(
    tmp_path: Path, attempt: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between the decision and the first byte, of a first attempt or a further one."""

    async def story() -> None:
        first, second = ScriptedWorker(st.ends("returned")), Recorder()
        peers: list[ScriptedWorker] = [second] if attempt == 1 else [first, second]
        async with start_dispatcher(tmp_path, *peers) as s:
            client, accepts, asked = Client(s.port), s.dispatcher._destinations.accepts, list[str]()

            def leaving(uid: str) -> bool:
                asked.append(uid)
                if uid == f"s-{len(peers) - 1}":
                    client.socket.close()
                return accepts(uid)

            monkeypatch.setattr(s.dispatcher._destinations, "accepts", leaving)
            if attempt == 2:  # the other one is chosen once this one has handed the request back
                s.dispatcher._decisions._policy.workers["s-1"].trust = 0.05
            client.write(s.request("/unlock"))
            await wait_until(lambda: client.socket.fileno() == -1)
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 0)
            await wait_until(lambda: second.connections == 0 or second.closed.is_set())
            assert (second.text, len(first.seen)) == (b"", attempt - 1)
            assert f"s-{len(peers) - 1}" in asked

    play(story())


def test_client_that_leaves_while_its_endpoint_is_connected_to_has_nothing_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        recorder, connecting, go_on = Recorder(), asyncio.Event(), asyncio.Event()
        async with start_dispatcher(tmp_path, recorder) as s:
            connect = s.dispatcher._endpoints._connect

            async def held(address: str) -> endpoints.Connection:
                connecting.set()
                try:
                    await go_on.wait()
                finally:
                    connecting.clear()
                return await connect(address)

            monkeypatch.setattr(s.dispatcher._endpoints, "_connect", held)
            _, writer = await s.connect()
            writer.write(s.request("/unlock"))
            await asyncio.wait_for(connecting.wait(), LIMIT)
            writer.close()
            await wait_until(lambda: not connecting.is_set())  # called off, not left to come up
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 0)
            go_on.set()
            assert (recorder.connections, s.dispatcher._endpoints._count) == (0, 0)

    play(story())


def test_waiting_request_whose_client_left_is_let_go_at_once(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.silent)
        async with start_dispatcher(tmp_path, endpoint) as s:
            policy = s.dispatcher._decisions._policy
            busy = [await s.connect() for _ in range(5)]
            for _, writer in busy:  # more than its slots: one of them waits here
                writer.write(s.request("/unlock"))
            await wait_until(lambda: len(endpoint.seen) == 4 and s.dispatcher._decisions.open_requests == 5)
            (waiting,) = (job for lane in policy.held_jobs.values() for job in lane)
            held = next(n for n, (_, w) in enumerate(busy) if f"r{n + 1}" not in seen_ids(endpoint))
            busy[held][1].close()
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 4)
            assert waiting.request.id not in policy.jobs
            endpoint.resume.set()
            for n, (reader, _) in enumerate(busy):
                if n != held:
                    assert b"late" in await asyncio.wait_for(reader.readuntil(b"late"), LIMIT)
            assert len(endpoint.seen) == 4

    play(story())


def seen_ids(endpoint: ScriptedWorker) -> set[str]:
    return {headers["request-id"] for headers in endpoint.headers}


# ---- the end of a client's connection ----


def test_request_that_comes_as_its_resting_connection_ends_is_neither_read_nor_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between the look and the close. It is not served; the client sees a clean end, and sends it anew."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            client = Client(s.port)
            client.write(s.request())
            client.socket.settimeout(LIMIT)
            assert b"page" in await asyncio.to_thread(client.socket.recv, 65536)
            await wait_until(lambda: len(s.dispatcher._inbound._idle) == 1)
            quiet, crossed = Wire.quiet, list[bool]()

            def crossing(wire: Wire) -> bool:
                if (found := quiet(wire)) and wire in s.dispatcher._inbound._open and not crossed:
                    crossed.append(True)
                    client.write(s.request())
                return found

            monkeypatch.setattr(Wire, "quiet", crossing)
            moved_off(s)
            assert await client.rest() == b""
            assert crossed and len(endpoint.seen) == 1

    play(story())


def test_request_that_comes_before_its_resting_connection_ends_is_served(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            client = Client(s.port)
            client.write(s.request())
            await wait_until(lambda: len(s.dispatcher._inbound._idle) == 1)
            (wire, limit), *_ = s.dispatcher._inbound._idle.items()
            client.write(s.request())
            limit.reschedule(0)  # its time is up in the step in which the bytes are found
            moved_off(s)
            assert (await client.rest()).count(b"HTTP/1.1 200") == 2

    play(story())


def test_requests_sent_ahead_are_all_answered_before_their_connection_ends(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.silent, st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            client = Client(s.port)
            client.write(b"".join(s.request() for _ in range(6)))
            await wait_until(lambda: len(endpoint.seen) == 1)
            moved_off(s)
            endpoint.resume.set()
            text = await client.rest()
            assert text.count(b"HTTP/1.1 200") == 6 and len(endpoint.seen) == 6
            assert text.lower().count(b"connection: close") == 1

    play(story())


def test_time_of_a_request_sent_ahead_runs_from_its_last_byte(tmp_path: Path) -> None:
    """While it waits behind another its client's patience ends: then it is not begun any more."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.silent, st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            client = Client(s.port)
            client.write(s.request("/unlock"))
            await wait_until(lambda: len(endpoint.seen) == 1)
            (wire,) = s.dispatcher._inbound._open
            before = wire._came[-1]
            client.write(s.request("/unlock", timeout=3.0) + s.request("/unlock", timeout=8.0))
            await wait_until(lambda: wire._came[-1] != before)
            wire._came[-1] = (wire._came[-1][0], wire._came[-1][1] - 4)  # as if it had come 4 s ago
            endpoint.resume.set()
            moved_off(s)
            statuses = [answer[:3] for answer in (await client.rest()).split(b"HTTP/1.1 ")[1:]]
            assert statuses == [b"200", b"503", b"200"] and len(endpoint.seen) == 2

    play(story())


@pytest.mark.parametrize("moving", [False, True])
def test_answer_is_not_taken_along_by_bytes_that_come_as_its_connection_closes(
    tmp_path: Path, moving: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After the last answer, before the close: a reset would throw away what is still on its way."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            if moving:
                moved_off(s)
            client, write = Client(s.port), Wire.write

            async def crossing(wire: Wire, data: bytes) -> None:
                await write(wire, data)
                if data.startswith(b"HTTP/1.1"):
                    client.write(b"GET /-/ready HT")

            monkeypatch.setattr(Wire, "write", crossing)
            client.write(s.request() if moving else b"BREW / HTTP/1.1\r\n\r\n")
            text = await client.rest()
            assert text.startswith(b"HTTP/1.1 200" if moving else b"HTTP/1.1 400")
            assert text.count(b"HTTP/1.1") == 1

    play(story())


def test_small_writes_are_held_back_on_no_side(tmp_path: Path) -> None:
    """What the system still held back would go with a close over unread bytes."""

    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            streams = await s.connect()
            assert (await s.exchange(streams, s.request()))[0] == 200
            (kept,) = (c for idle in s.dispatcher._endpoints._idle.values() for c in idle)
            for wire in (*s.dispatcher._inbound._open, kept.wire):
                found = wire.writer.get_extra_info("socket")
                assert found.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(story())


class Emptying:
    """A front whose last guest goes while a client comes."""

    def __init__(self, core: DispatcherContext, comes: Callable[[], None]) -> None:
        self.comes = comes

    def filter_update(
        self, update: destinations.DestinationUpdate, kept: bool
    ) -> destinations.DestinationUpdate:
        return update

    async def start(self) -> None: ...

    def reload(self) -> None: ...

    def handed_over(self) -> None: ...

    def begin_shutdown(self) -> None: ...

    async def wait_drained(self) -> None:
        self.comes()

    async def close(self) -> None: ...


def test_client_that_comes_as_the_process_has_just_emptied_gets_its_answer(tmp_path: Path) -> None:
    async def story() -> None:
        clients, found = list[Client](), list[DispatcherFixture]()

        def comes() -> None:
            clients.append(Client(found[0].port))
            clients[0].write(found[0].request())

        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint, fronts=(lambda core: Emptying(core, comes),)) as s:
            found.append(s)
            s.dispatcher._service.leave(timedelta(0))
            await asyncio.wait_for(s.dispatcher.wait_drained(), LIMIT)
            await s.dispatcher.close()
            assert b"HTTP/1.1 200" in await clients[0].rest()

    play(story())


# ---- discovery ----


def test_silent_watch_and_a_failed_call_together_stay_within_what_counts_as_told() -> None:
    """Silence, pause, a call that fails as late as it can, pause, a call that is answered at once."""
    worst = timedelta()
    for seed in range(2000):
        pace = Pace(True, seed)
        for word in (SECOND / 100, SECOND / 5, SECOND):
            first = pace.after(word, heard=True)
            worst = max(worst, first + pace.after(destinations.ASKED_LIMIT, heard=False))
    assert destinations.SILENCE_LIMIT + worst + destinations.ASKED_LIMIT < TOLD
    # And after an outage: the call that was out when discovery came back fails, and so does the next.
    for seed in range(2000):
        pace, span = Pace(True, seed), timedelta()
        for _ in range(9):
            pace.after(SECOND / 100, heard=False)
        for _ in range(2):
            span += destinations.ASKED_LIMIT + pace.after(destinations.ASKED_LIMIT, heard=False)
        assert span < TOLD


@contextlib.asynccontextmanager
async def watching(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any], grace: timedelta, asked: bool
) -> AsyncIterator[destinations.Destinations]:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    where = destinations.Address(*server.sockets[0].getsockname())
    watched = destinations.Destinations(Clock(), grace, lambda told, kept: None, where, asked, seed=1)
    try:
        watched.start()
        yield watched
    finally:
        await watched.close()
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
                    await reader.read()  # it takes the call and says nothing
            writer.close()

        async with watching(agent, grace=SECOND, asked=False):
            await wait_until(lambda: len(calls) == 9)

    with caplog.at_level(logging.DEBUG):
        play(story())
    told = [r.levelno for r in caplog.records if "discovery watch broke" in r.getMessage()]
    lost, tried = logging.WARNING, logging.DEBUG
    assert told[:8] == [lost, lost, lost, tried, tried, tried, lost, lost]
    assert any("broke: TimeoutError: silent" in r.getMessage() for r in caplog.records)


def test_what_an_agent_got_while_it_was_silent_is_known_within_the_grace() -> None:
    """It counts at once when the agent is back, though the question that was out then is never answered."""

    async def story() -> None:
        asked = list[float]()
        loop = asyncio.get_running_loop()

        async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await st.read_message(reader)
            asked.append(loop.time())
            if len(asked) > 1:
                text = json.dumps({"rev": 2, "all": True, "targets": []}).encode() + b"\n"
                writer.write(st.HEAD + encode_chunk(text))
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        async with watching(agent, grace=SECOND, asked=False) as watched:
            await wait_until(lambda: watched.revision == 2)
            assert asked[1] - asked[0] < 1.0

    play(story())


def test_watch_that_fell_silent_is_opened_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(destinations, "SILENCE_LIMIT", timedelta(milliseconds=100))

    async def story() -> None:
        revisions = list[int]()

        async def falls_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await st.read_message(reader)
            revisions.append(len(revisions) + 1)
            text = json.dumps({"rev": revisions[-1], "all": True, "targets": []}).encode() + b"\n"
            writer.write(st.HEAD + encode_chunk(text))
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        for asked in (False, True):
            revisions.clear()
            async with watching(falls_silent, SECOND, asked) as watched:
                await wait_until(lambda: len(revisions) >= 4)
                assert watched.revision >= 3

    play(story())


def test_change_that_was_told_holds_at_once(tmp_path: Path) -> None:
    """It may have counted as told for long: to an agent that was silent, before this process began."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            assert s.dispatcher._destinations.accepts("s-0")
            s.discovery.say(2, st.target_entry("s-0", endpoint.address, "draining"))
            await wait_until(lambda: s.dispatcher._destinations.revision == 2)
            assert not s.dispatcher._destinations.accepts("s-0")

    play(story())


def test_lists_may_come_indented_and_in_pieces(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            odd = st.target_entry('a {[\\" b', endpoint.address)
            for rev, indent in ((2, 2), (3, None), (4, 1)):
                told = {"rev": rev, "all": True, "targets": [odd, st.target_entry("s-0", endpoint.address)]}
                text = json.dumps(told, indent=indent).encode() + b"\n"
                for at in range(0, len(text), 50):
                    s.discovery.lines.put_nowait(text[at : at + 50])
                s.discovery.lines.put_nowait(b"\n")
                await wait_until(lambda rev=rev: s.dispatcher._destinations.revision == rev)  # type: ignore[misc]
            assert len(s.discovery.asked) == 1 and s.dispatcher._destinations.accepts('a {[\\" b')

    play(story())


def entries(**spoilt: object) -> bytes:
    told = {"rev": 3, "all": False, "targets": [st.target_entry("s-9", "127.0.0.1:7") | spoilt]}
    return json.dumps(told).encode() + b"\n"


@pytest.mark.parametrize(
    ("line", "key"),
    [
        (b'{"rev": 3,\n\n', "line"),  # cut short by a sign of life
        (entries(endpoint="nowhere"), "endpoint"),
        (entries(endpoint="a:70000"), "endpoint"),
        (entries(uid="\ud800"), "uid"),
        (entries(boot_ms=9e99), "boot_ms"),
        (entries(boot_ms=10**400), "boot_ms"),
    ],
)
def test_faulty_list_is_logged_with_its_key_and_the_list_in_force_stays(
    tmp_path: Path, line: bytes, key: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            await wait_until(lambda: len(s.discovery.asked) == 1)
            s.discovery.lines.put_nowait(line)
            await wait_until(lambda: len(s.discovery.asked) == 2)
            assert (await s.send_request())[0] == 200
            s.discovery.say(4, st.target_entry("s-0", endpoint.address))
            await wait_until(lambda: s.dispatcher._destinations.revision == 4)

    with caplog.at_level(logging.INFO):
        play(story())
    (broke,) = [r.getMessage() for r in caplog.records if "the discovery watch broke" in r.getMessage()]
    assert key in broke and not [r for r in caplog.records if r.levelno >= logging.ERROR]


@pytest.mark.parametrize("line", [b'{"a":"' + b'\\"' * 60_000, b"[\n" * 200_000], ids=["string", "brackets"])
def test_spoilt_list_stalls_nobody(tmp_path: Path, line: bytes) -> None:
    """A string without an end, and brackets without one: both are looked at once, not over and over."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            await wait_until(lambda: len(s.discovery.asked) == 1)
            loop = asyncio.get_running_loop()
            begun = loop.time()
            s.discovery.lines.put_nowait(line + b"\n\n")
            await wait_until(lambda: len(s.discovery.asked) == 2)
            assert (await s.send_request())[0] == 200
            assert loop.time() - begun < 4

    play(story())


def test_change_that_could_not_be_taken_over_is_asked_for_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A defect at one moment must not leave the decisions with an endpoint that is gone."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            update, failed = s.dispatcher._decisions.update, list[int]()

            def fails_once(told: destinations.DestinationUpdate, kept: bool) -> None:
                failed.append(told.revision)
                if len(failed) == 1:
                    raise ZeroDivisionError
                update(told, kept)

            monkeypatch.setattr(s.dispatcher._decisions, "update", fails_once)
            for asked in (1, 2):
                await wait_until(lambda asked=asked: len(s.discovery.asked) == asked)  # type: ignore[misc]
                s.discovery.say(2, st.target_entry("s-9", endpoint.address))
            await wait_until(lambda: len(failed) == 2 and s.dispatcher._destinations.revision == 2)
            assert s.discovery.asked == ["/api/targets?follow=1&since=1"] * 2
            assert "s-9" in s.dispatcher._decisions._policy.workers

    play(story())


def test_drain_told_by_the_discovery_of_a_new_configuration_holds_at_once(tmp_path: Path) -> None:
    """A reload amid drains: the list stays until the new one speaks; the old one is not heard any more."""

    async def story() -> None:
        one, two, newer = (
            ScriptedWorker(st.served),
            ScriptedWorker(st.ends("done", result="two")),
            st.Discovery(),
        )
        async with start_dispatcher(tmp_path, one, two) as s, st.listening(newer) as where:
            watched = s.dispatcher._destinations
            await wait_until(lambda: len(s.discovery.asked) == 1)
            host, _, port = where.rpartition(":")
            s.discovery.say(9, st.target_entry("s-1", two.address, "draining"))
            watched.move(destinations.Address(host, int(port)))
            assert watched.accepts("s-0")
            newer.say(
                1,
                st.target_entry("s-0", one.address, "draining"),
                st.target_entry("s-1", two.address),
                whole=True,
            )
            await wait_until(lambda: watched.revision == 1 and not watched._foreign)
            assert (watched.accepts("s-0"), watched.accepts("s-1")) == (False, True)
            assert [(await s.send_request(f"/unlock?k={n}"))[2] for n in range(4)] == [b"two"] * 4

    play(story())


def test_discovery_that_is_down_holds_up_no_start(tmp_path: Path) -> None:
    """The kept list is enough to be ready; nobody waits for a word."""

    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            assert s.dispatcher._service.ready and not s.dispatcher._destinations.current.is_set()
            assert (await s.send_request())[0] == 200

    play(story())


def test_idle_crowd_leaves_the_way_to_discovery_endpoints_and_second_address_open(tmp_path: Path) -> None:
    """More idle clients than there are descriptors, while discovery is away; then it comes back."""

    async def story() -> None:
        endpoint, newer = ScriptedWorker(st.served), ScriptedWorker(st.ends("done", result="newer"))
        discovery, held = st.Discovery(), list[Streams]()
        async with contextlib.AsyncExitStack() as stack:
            for peer in (endpoint, newer):
                peer.address = await stack.enter_async_context(st.listening(peer))
            place = stack.enter_context(socket.socket())  # discovery's: nobody listens there yet
            place.bind(("127.0.0.1", 0))
            where = f"127.0.0.1:{place.getsockname()[1]}"
            listed = [st.target_entry("s-0", endpoint.address)]
            changes: dict[str, Any] = {"limits": {"sockets": 64}, "mgmt": "127.0.0.1:0"}
            environ = st.environment(tmp_path, listed, where, **changes)
            child, s, said = await stack.enter_async_context(st.running(environ, descriptors=64))
            (mgmt,) = (int(line.rsplit(":", 1)[1]) for line in said if " is run from " in line)
            for _ in range(120):
                held.append(await s.connect())
                stack.callback(held[-1][1].transport.abort)
            server = await asyncio.start_server(discovery.serve, sock=place)
            stack.callback(server.close)
            await wait_until(lambda: len(discovery.asked) == 1)
            discovery.say(2, st.target_entry("s-9", newer.address), listed[0] | {"state": "draining"})
            status, _, body = await s.send_request()
            for _ in range(100):  # until the new list is in force
                if body == b"newer":
                    break
                status, _, body = await s.send_request()
            assert (status, body) == (200, b"newer")
            reader, writer = await asyncio.open_connection("127.0.0.1", mgmt)
            writer.write(b"GET /ops/readiness HTTP/1.1\r\nHost: ops\r\n\r\n")
            assert (await asyncio.wait_for(reader.read(), LIMIT)).startswith(b"HTTP/1.1 200")
            writer.close()
            child.kill()
            assert b"Too many open files" not in (await child.communicate())[1]

    play(story())


# ---- endpoints ----


async def without_a_last_newline(
    endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str
) -> bool:
    text = json.dumps({"id": request_id, "state": "done", "result": "page"}).encode()
    writer.write(st.HEAD + st.line(request_id, "started") + encode_chunks(text))
    return True


async def cut_amid_the_last_line(
    endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str
) -> bool:
    text = json.dumps({"id": request_id, "state": "done", "result": "page"}).encode()[:-2]
    writer.write(st.HEAD + encode_chunks(text))
    return True


@pytest.mark.parametrize(
    ("script", "status", "connections"), [(without_a_last_newline, 200, 1), (cut_amid_the_last_line, 502, 2)]
)
def test_end_of_an_answer_ends_its_last_line(
    tmp_path: Path, script: Script, status: int, connections: int
) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(script, st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            assert (await s.send_request("/unlock"))[0] == status
            assert (await s.send_request("/unlock"))[0] == 200
            assert endpoint.connections == connections

    play(story())


class Late(ScriptedWorker):
    """Serves the first request of a connection, and says one thing more as soon as the next one begins."""

    def __init__(self, word: bytes) -> None:
        super().__init__(st.served)
        self.word, self.whole = word, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            _, headers, _ = await st.read_message(reader)
            self.whole += 1
            await st.served(self, writer, headers["request-id"])
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.word)
            await reader.readexactly(5)
            self.whole += 1
            await st.served(self, writer, headers["request-id"])
        writer.close()


SECOND_ANSWERS = [
    st.HEAD + st.line("r1", "done", result="page") + b"0\r\n\r\n",
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    b"{}\n",
]


@pytest.mark.parametrize("word", SECOND_ANSWERS)
def test_late_second_answer_is_not_taken_for_the_next_requests(
    tmp_path: Path, word: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its last byte has not left, so it cannot have run, and goes out whole on another connection."""
    monkeypatch.setattr(endpoints, "HOLD", timedelta(milliseconds=300))

    async def story() -> None:
        endpoint = Late(word)
        async with start_dispatcher(tmp_path, endpoint) as s:
            assert [(await s.send_request("/unlock"))[0] for _ in range(2)] == [200, 200]
            assert (endpoint.connections, endpoint.whole) == (2, 2)
            assert s.dispatcher._decisions._policy.workers["s-0"].trust == 1.0

    play(story())


async def never_ends(endpoint: ScriptedWorker, writer: asyncio.StreamWriter, request_id: str) -> bool:
    writer.write(st.HEAD + st.line(request_id, "started"))
    with contextlib.suppress(ConnectionError):
        while not writer.transport.is_closing():
            writer.write(st.line(request_id, "running", share=0.5))
            await writer.drain()
            await asyncio.sleep(0)
    return False


SPOILT: list[tuple[Script, int, float]] = [
    (st.ends("done", result="\ud800"), 502, 8.0),  # half of a pair: no bytes can be made of it
    (st.answers(st.HEAD + b"50000\r\n" + b"x" * 0x50000 + b"\r\n"), 502, 8.0),  # a line without an end
    (st.answers(b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 40_000), 502, 8.0),  # a head without an end
    (st.answers(b"HTTP/1.1 102 Wait\r\n\r\n" * 2000), 504, 0.4),  # and none that is final
    (never_ends, 504, 0.4),
]


@pytest.mark.parametrize(("script", "status", "timeout"), SPOILT)
def test_spoilt_answer_costs_its_own_request_alone(
    tmp_path: Path, script: Script, status: int, timeout: float, caplog: pytest.LogCaptureFixture
) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(script, st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            assert (await s.send_request("/unlock", timeout=timeout))[0] == status
            assert (await s.send_request("/unlock"))[0] == 200
            assert len(endpoint.seen) == 2

    play(story())
    assert not [r for r in caplog.records if r.exc_info]  # told of as the endpoint's doing, not as a defect


@pytest.mark.parametrize("error", [OSError(113, "No route to host"), ConnectionResetError()])
def test_network_that_is_gone_under_an_attempt_is_a_break_and_no_defect(
    tmp_path: Path, error: OSError, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:

            async def gone(*words: object) -> endpoints.Result:
                raise error

            monkeypatch.setattr(s.dispatcher._endpoints, "_answer", gone)
            assert (await s.send_request("/unlock"))[0] == 502
            assert s.dispatcher._endpoints._count == 0

    play(story())


def test_repeat_whose_window_ends_while_it_connects_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Decided within the window, connected after it: endpoints would run it a second time."""
    roster = st.lane("roster", "keyed", group="all", window=3_000_000, **{"aim-stretch": 2.0})

    async def story() -> None:
        endpoint = ScriptedWorker(st.breaks, st.served)
        async with start_dispatcher(tmp_path, endpoint, settings=SETTINGS | {"lanes": [roster]}) as s:
            clock, connect, connected = s.dispatcher._clock, s.dispatcher._endpoints._connect, list[str]()

            async def slow(address: str) -> endpoints.Connection:
                connected.append(address)
                if len(connected) == 2:
                    clock._zero -= 3_000_000_000
                return await connect(address)

            monkeypatch.setattr(s.dispatcher._endpoints, "_connect", slow)
            loop = asyncio.get_running_loop()
            begun = loop.time()
            status, _, _ = await s.send_request("/roster", more=b"Idempotency-Key: k\r\n")
            assert (status, len(endpoint.seen), len(connected)) == (503, 1, 2)
            assert loop.time() - begun < 2  # given up, it is answered at once

    play(story())


def test_window_of_a_repeat_counts_from_the_first_attempt_that_may_have_run() -> None:
    async def story() -> None:
        keyed = st.lane("roster", "keyed", group="zone", window=3_000_000)
        conf = parse_settings(JsonReader(SETTINGS | {"lanes": [keyed]}))
        clock = Clock()
        decisions = PolicyDriver(conf, 1, clock)
        decisions.update(destinations.destination_set_of(JsonReader(
            {"rev": 1, "all": True, "targets": [st.target_entry(f"s-{n}", "127.0.0.1:9") for n in range(3)]}
        )))  # fmt: skip
        begun = clock.now()
        with decisions.admit(Job("roster", begun + 9 * SECOND, key="7")) as ticket:
            ends = [AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET, AttemptOutcome.TURNED_AWAY]
            found = list[Attempt]()
            for end in ends:
                attempt = await ticket.decision()
                assert isinstance(attempt, Attempt)
                found.append(attempt)
                ticket.ended(end)
        first, second, third = (attempt.begin_by for attempt in found)
        assert first is None and second is None and third is not None
        assert begun + 2.9 * SECOND < third <= clock.now() + 3 * SECOND
        decisions.close()

    play(story())


def test_file_whose_settings_are_faulty_names_the_key() -> None:
    with pytest.raises(InvalidSettingError, match="lanes\\[0\\].name: not Unicode"):
        parse_settings(JsonReader(SETTINGS | {"lanes": [st.lane("\ud800", "safe")]}))


def test_every_part_of_an_attempt_is_released_whatever_ends_it(tmp_path: Path) -> None:
    """Called off at each step of its life in turn: nothing stays counted, and no connection stays open."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with st.listening(endpoint) as address:
            clock, after = Clock(), 0
            while True:
                pool = Endpoints(clock, SECOND, 60 * SECOND, 4)
                outgoing = endpoints.WorkerRequest("a", b"/page", "api", None, b"body")
                words = (outgoing, address, clock.now() + LIMIT * SECOND, lambda: True, lambda stage: None)
                task = asyncio.create_task(pool.attempt(*words, lambda: None, True))
                for _ in range(after):
                    await asyncio.sleep(0)
                task.cancel()
                done = await asyncio.gather(task, return_exceptions=True)
                await pool.close()
                assert pool._count == 0 and not pool._settling
                if not isinstance(done[0], asyncio.CancelledError):
                    break
                after += 1
            assert after > 5 and done[0].end is AttemptOutcome.SERVED  # type: ignore[union-attr]

    play(story())
