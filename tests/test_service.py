"""Days of service: rude clients, a changed configuration, peers in trouble. One story for each failure."""

from __future__ import annotations

import asyncio
import json
import signal
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest

from rookwood.net import inbound, request
from rookwood.net.endpoints import History
from tests import stage as st
from tests.stage import LIMIT, Script, ScriptedWorker, start_dispatcher, wait_until
from tests.test_stories import POST, READY, play


@pytest.mark.parametrize("data", [b"", b"POST /pa", POST, POST.replace(b"0", b"9") + b"\r\nhalf"])
def test_newcomer_that_sends_no_whole_request_is_let_go_soon(
    tmp_path: Path, data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Counted from connecting: what drips in does not buy more time."""
    monkeypatch.setattr(inbound, "FIRST_LIMIT", timedelta(milliseconds=200))

    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            usual = await s.connect()
            assert (await s.exchange(usual, s.request()))[0] == 200
            reader, writer = await s.connect()
            writer.write(data)
            text = await asyncio.wait_for(reader.read(), LIMIT)
            assert text.startswith(b"HTTP/1.1 408") if data else text == b""
            assert (await s.exchange(usual, s.request()))[0] == 200  # who has asked once may stay

    play(story())


def test_crowd_that_says_nothing_costs_no_usual_client_its_connection(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served), limits={"sockets": 128}) as s:
            usual = [await s.connect() for _ in range(20)]
            for streams in usual:
                assert (await s.exchange(streams, s.request()))[0] == 200
            crowd = [await s.connect() for _ in range(200)]
            for streams in usual:
                assert (await s.exchange(streams, s.request()))[0] == 200
            for _ in range(50):  # these ask whether the program is ready, and stay
                crowd.append(await s.connect())
                assert (await s.exchange(crowd[-1], READY))[0] == 200
                assert (await s.send_request())[0] == 200
            for streams in usual:
                assert (await s.exchange(streams, s.request()))[0] == 200
            for _, writer in (*crowd, *usual):
                writer.close()

    play(story())


def test_bodies_in_hand_are_bounded_by_memory(tmp_path: Path) -> None:
    async def story() -> None:
        limits = {"sockets": 256, "memory_mb": 1}  # an eighth of it holds two bodies
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served), limits=limits) as s:
            request = s.request(body=b"x" * 65536)
            held = [await s.connect() for _ in range(2)]
            for _, writer in held:
                writer.write(request[:-1])
            await wait_until(lambda: s.dispatcher._inbound._bytes_left == 0)
            assert (await s.send_request(body=b"x"))[0] == 503
            for _, writer in held:
                writer.close()
            await wait_until(lambda: s.dispatcher._inbound._bytes_left == 2 * 65536)
            assert (await s.send_request(body=b"x"))[0] == 200

    play(story())


def test_id_that_was_here_is_turned_away(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.silent, st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            text = s.request("/unlock")
            reader, writer = await s.connect()
            writer.write(text)
            await wait_until(lambda: len(endpoint.seen) == 1)
            assert (await s.exchange(await s.connect(), text))[0] == 409
            endpoint.resume.set()
            assert b"late" in await asyncio.wait_for(reader.readuntil(b"late"), LIMIT)
            assert (await s.exchange(await s.connect(), text))[0] == 409  # nor may it run again later
            assert len(endpoint.seen) == 1

    play(story())


def test_request_that_no_endpoint_can_use_costs_none_its_trust(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.status(400), st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            assert (await s.send_request())[0] == 400
            policy = s.dispatcher._decisions._policy
            assert (len(endpoint.seen), policy.workers["s-0"].trust, policy.used_slots) == (1, 1.0, 0.0)

    play(story())


class Forgetful(ScriptedWorker):
    """Drops each connection after its first answer without a word: what comes then is reset."""

    def __init__(self, patience: float) -> None:
        super().__init__(st.served)
        self.patience, self.resets = patience, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        start, headers, _ = await st.read_message(reader)
        self.seen.append(start.split()[1])
        await st.served(self, writer, headers["request-id"])
        if await reader.read(1):
            await asyncio.sleep(self.patience)  # until then the whole request has come, or not
            self.resets += 1
            writer.transport.abort()


def test_kept_connection_that_was_dropped_costs_no_job(tmp_path: Path) -> None:
    """With its last byte held back, the job cannot have run, so it goes out again on a new connection."""

    async def story() -> None:
        endpoint = Forgetful(patience=0)
        async with start_dispatcher(tmp_path, endpoint) as s:
            for n in range(3):
                assert (await s.send_request(f"/unlock?k={n}"))[0] == 200
            assert len(endpoint.seen) == 3
            assert s.dispatcher._decisions._policy.workers["s-0"].trust == 1.0

    play(story())


def test_what_must_not_run_twice_avoids_kept_connections_that_break(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = Forgetful(patience=0.1)
        async with start_dispatcher(tmp_path, endpoint) as s:
            assert [(await s.send_request())[0] for _ in range(2)] == [
                200,
                200,
            ]  # the second at its second try
            assert endpoint.resets == 1
            assert s.dispatcher._decisions._policy.workers["s-0"].trust == 1.0  # a connection is no endpoint
            assert [(await s.send_request("/unlock"))[0] for _ in range(3)] == [200] * 3
            assert endpoint.resets == 1

    play(story())


def test_kept_connections_are_trusted_again_once_they_hold() -> None:
    history, start = History(), datetime(2026, 1, 1, tzinfo=UTC)
    short, middle, long = (timedelta(milliseconds=n) for n in (40, 400, 4000))
    for age in (short, middle, long):
        history.add(age, False, start)
    history.add(middle, True, start)
    assert [history.risky(age, start) for age in (short, middle, long)] == [False, True, True]
    later = start + timedelta(minutes=2)
    assert not history.risky(long, later)


def test_lack_of_descriptors_here_costs_no_endpoint_its_trust(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            monkeypatch.setattr(s.dispatcher._endpoints, "most", 0)
            status, headers, _ = await s.send_request("/unlock")
            assert (status, "retry-after" in headers) == (503, True)
            assert s.dispatcher._decisions._policy.workers["s-0"].trust == 1.0

    play(story())


@pytest.mark.parametrize(("path", "scripts", "status"), [("/page", [st.silent], 504), ("/page", [], 503)])
def test_request_that_came_late_is_answered_before_the_program_is_killed(
    tmp_path: Path, path: str, scripts: list[Script], status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request, "EXCUSED", timedelta(0))

    async def story() -> None:
        endpoints = [ScriptedWorker(*scripts)] if scripts else []
        async with start_dispatcher(tmp_path, *endpoints) as s:
            clock = s.dispatcher._clock
            s.dispatcher._requests.leave(clock.now() + timedelta(milliseconds=300))
            start = clock.now()
            found, headers, _ = await s.send_request(path)
            assert (found, "retry-after" in headers) == (status, status == 503)
            assert clock.now() - start < timedelta(seconds=6)  # of the 8 that the client would wait
            assert s.dispatcher._decisions.open_requests == 0

    play(story())


def test_sighup_follows_the_discovery_of_the_new_file(tmp_path: Path) -> None:
    """Another discovery counts its own revisions, so it is asked for the whole list."""

    async def story() -> None:
        old, new = st.Discovery(), st.Discovery()
        async with st.listening(old) as first, st.listening(new) as second:
            environ = st.environment(tmp_path, [], first) | {"PROXY_DISCOVERY": first}
            place = tmp_path / "config.json"
            data = json.loads(place.read_text())
            async with st.running(environ) as (child, _, _):
                assert child.stderr
                await wait_until(lambda: len(old.asked) == 1)
                place.write_text(json.dumps(data | {"discovery": second}))
                child.send_signal(signal.SIGHUP)
                await wait_until(lambda: len(new.asked) == 1)
                assert new.asked == ["/api/targets"]
                new.say(0, whole=True)
                await wait_until(lambda: len(new.asked) == 2)
                assert new.asked[1] == "/api/targets?follow=1&since=0"
                place.write_text(json.dumps(data | {"discovery": 5}))
                child.send_signal(signal.SIGHUP)
                while b"not taken over: discovery: " not in (text := await child.stderr.readline()):
                    assert text, "it ended on SIGHUP"
                place.write_text(json.dumps(data))
                child.send_signal(signal.SIGHUP)
                await wait_until(lambda: len(old.asked) == 2)
                child.send_signal(signal.SIGTERM)
                child.send_signal(signal.SIGHUP)
                assert await asyncio.wait_for(child.wait(), LIMIT) == 0

    play(story())
