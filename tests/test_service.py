"""Misbehaving clients, dropped connections, shutdown and reload, as a dispatcher handles them."""

from __future__ import annotations

import asyncio
import json
import signal
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest

from rookwood.net import inbound, request
from rookwood.net.endpoints import ReuseHistory
from tests import stage as st
from tests.stage import LIMIT, Script, ScriptedWorker, start_dispatcher, wait_until
from tests.test_stories import POST, READY, play


@pytest.mark.parametrize("data", [b"", b"POST /pa", POST, POST.replace(b"0", b"9") + b"\r\nhalf"])
def test_new_connection_without_a_complete_request_is_closed_soon(
    tmp_path: Path, data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The timeout counts from connecting; data that arrives slowly does not extend it."""
    monkeypatch.setattr(inbound, "FIRST_REQUEST_TIMEOUT", timedelta(milliseconds=200))

    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            usual = await s.connect()
            assert (await s.exchange(usual, s.request()))[0] == 200
            reader, writer = await s.connect()
            writer.write(data)
            text = await asyncio.wait_for(reader.read(), LIMIT)
            assert text.startswith(b"HTTP/1.1 408") if data else text == b""
            assert (await s.exchange(usual, s.request()))[0] == 200  # a client that has sent a job may stay

    play(story())


def test_many_silent_connections_cost_no_usual_client_its_connection(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves), limits={"sockets": 128}) as s:
            usual = [await s.connect() for _ in range(20)]
            for streams in usual:
                assert (await s.exchange(streams, s.request()))[0] == 200
            others = [await s.connect() for _ in range(200)]
            for streams in usual:
                assert (await s.exchange(streams, s.request()))[0] == 200
            for _ in range(50):  # these send a readiness check, and stay connected
                others.append(await s.connect())
                assert (await s.exchange(others[-1], READY))[0] == 200
                assert (await s.send_request())[0] == 200
            for streams in usual:
                assert (await s.exchange(streams, s.request()))[0] == 200
            for _, writer in (*others, *usual):
                writer.close()

    play(story())


def test_memory_of_request_bodies_is_limited(tmp_path: Path) -> None:
    async def story() -> None:
        limits = {"sockets": 256, "memory_mb": 1}  # an eighth of it holds two bodies
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves), limits=limits) as s:
            request = s.request(body=b"x" * 65536)
            unfinished = [await s.connect() for _ in range(2)]
            for _, writer in unfinished:
                writer.write(request[:-1])
            await wait_until(lambda: s.dispatcher._inbound._body_bytes_left == 0)
            assert (await s.send_request(body=b"x"))[0] == 503
            for _, writer in unfinished:
                writer.close()
            await wait_until(lambda: s.dispatcher._inbound._body_bytes_left == 2 * 65536)
            assert (await s.send_request(body=b"x"))[0] == 200

    play(story())


def test_request_with_a_known_id_is_rejected(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.never_responds, st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            text = s.request("/unlock")
            reader, writer = await s.connect()
            writer.write(text)
            await wait_until(lambda: len(worker.paths) == 1)
            assert (await s.exchange(await s.connect(), text))[0] == 409
            worker.resume.set()
            assert b"late" in await asyncio.wait_for(reader.readuntil(b"late"), LIMIT)
            assert (await s.exchange(await s.connect(), text))[0] == 409  # nor may the job run again later
            assert len(worker.paths) == 1

    play(story())


def test_request_that_no_worker_can_run_costs_no_worker_its_trust(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.status(400), st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            assert (await s.send_request())[0] == 400
            policy = s.dispatcher._decisions._policy
            assert (len(worker.paths), policy.workers["s-0"].trust, policy.used_slots) == (1, 1.0, 0.0)

    play(story())


class ConnectionDropper(ScriptedWorker):
    """A worker that resets each connection when a second request arrives, as after a silent drop."""

    def __init__(self, reset_delay: float) -> None:
        super().__init__(st.serves)
        self.reset_delay, self.resets = reset_delay, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        start, headers, _ = await st.read_message(reader)
        self.paths.append(start.split()[1])
        await st.serves(self, writer, headers["request-id"])
        if await reader.read(1):
            await asyncio.sleep(self.reset_delay)  # decides whether the request arrives completely before
            self.resets += 1
            writer.transport.abort()


def test_dropped_idle_connection_fails_no_job(tmp_path: Path) -> None:
    """Without its last byte the job cannot have run, so it is sent again on a new connection."""

    async def story() -> None:
        worker = ConnectionDropper(reset_delay=0)
        async with start_dispatcher(tmp_path, worker) as s:
            for n in range(3):
                assert (await s.send_request(f"/unlock?k={n}"))[0] == 200
            assert len(worker.paths) == 3
            assert s.dispatcher._decisions._policy.workers["s-0"].trust == 1.0

    play(story())


def test_unsafe_request_avoids_reused_connections_while_they_break(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ConnectionDropper(reset_delay=0.1)
        async with start_dispatcher(tmp_path, worker) as s:
            # The second request needs a second attempt.
            assert [(await s.send_request())[0] for _ in range(2)] == [200, 200]
            assert worker.resets == 1
            # A broken connection is not the worker's fault.
            assert s.dispatcher._decisions._policy.workers["s-0"].trust == 1.0
            assert [(await s.send_request("/unlock"))[0] for _ in range(3)] == [200] * 3
            assert worker.resets == 1

    play(story())


def test_connections_are_reused_again_once_they_no_longer_break() -> None:
    history, start = ReuseHistory(), datetime(2026, 1, 1, tzinfo=UTC)
    short, middle, long = (timedelta(milliseconds=n) for n in (40, 400, 4000))
    for idle_time in (short, middle, long):
        history.record_use(idle_time, False, start)
    history.record_use(middle, True, start)
    assert [history.is_risky(idle_time, start) for idle_time in (short, middle, long)] == [False, True, True]
    later = start + timedelta(minutes=2)
    assert not history.is_risky(long, later)


def test_connection_limit_of_the_dispatcher_costs_no_worker_its_trust(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            monkeypatch.setattr(s.dispatcher._endpoints, "max_connections", 0)
            status, headers, _ = await s.send_request("/unlock")
            assert (status, "retry-after" in headers) == (503, True)
            assert s.dispatcher._decisions._policy.workers["s-0"].trust == 1.0

    play(story())


@pytest.mark.parametrize(
    ("path", "scripts", "status"), [("/page", [st.never_responds], 504), ("/page", [], 503)]
)
def test_request_after_the_shutdown_began_gets_a_response_before_the_process_is_killed(
    tmp_path: Path, path: str, scripts: list[Script], status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request, "SHUTDOWN_GRACE", timedelta(0))

    async def story() -> None:
        workers = [ScriptedWorker(*scripts)] if scripts else []
        async with start_dispatcher(tmp_path, *workers) as s:
            clock = s.dispatcher._clock
            s.dispatcher._requests.begin_shutdown(clock.now() + timedelta(milliseconds=300))
            start = clock.now()
            code, headers, _ = await s.send_request(path)
            assert (code, "retry-after" in headers) == (status, status == 503)
            assert clock.now() - start < timedelta(seconds=6)  # less than the 8 s of the client's timeout
            assert s.dispatcher._decisions.open_requests == 0

    play(story())


def test_sighup_switches_to_the_discovery_of_the_new_file(tmp_path: Path) -> None:
    """Another discovery counts its own revisions, so it is asked for the full list."""

    async def story() -> None:
        old, new = st.Discovery(), st.Discovery()
        async with st.listening(old) as first, st.listening(new) as second:
            environ = st.environment(tmp_path, [], first) | {"PROXY_DISCOVERY": first}
            config_file = tmp_path / "config.json"
            data = json.loads(config_file.read_text())
            async with st.dispatcher_process(environ) as (child, _, _):
                assert child.stderr
                await wait_until(lambda: len(old.targets) == 1)
                config_file.write_text(json.dumps(data | {"discovery": second}))
                child.send_signal(signal.SIGHUP)
                await wait_until(lambda: len(new.targets) == 1)
                assert new.targets == ["/api/targets"]
                new.send_update(0, full=True)
                await wait_until(lambda: len(new.targets) == 2)
                assert new.targets[1] == "/api/targets?follow=1&since=0"
                config_file.write_text(json.dumps(data | {"discovery": 5}))
                child.send_signal(signal.SIGHUP)
                while b"not taken over: discovery: " not in (text := await child.stderr.readline()):
                    assert text, "it ended on SIGHUP"
                config_file.write_text(json.dumps(data))
                child.send_signal(signal.SIGHUP)
                await wait_until(lambda: len(old.targets) == 2)
                child.send_signal(signal.SIGTERM)
                child.send_signal(signal.SIGHUP)
                assert await asyncio.wait_for(child.wait(), LIMIT) == 0

    play(story())
