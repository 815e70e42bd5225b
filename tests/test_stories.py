"""Failures and misbehaviour of clients, workers and discovery, and how a dispatcher handles each of them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import pytest

from rookwood import __main__ as program
from rookwood import interface as api
from rookwood.net import destinations, endpoints
from rookwood.net.clock import EPOCH, Clock
from rookwood.net.destinations import MAX_RETRY_DELAY, RETRY_DELAY, RetryPacer
from rookwood.net.endpoints import EndpointPool, WorkerRequest
from rookwood.net.policy_driver import AttemptOutcome, PolicyDriver
from tests import stage as st
from tests.stage import LIMIT, SETTINGS, Script, ScriptedWorker, start_dispatcher, wait_until


def play(story: Coroutine[Any, Any, None]) -> None:
    """Run the coroutine of a test, with a time limit."""
    asyncio.run(asyncio.wait_for(story, 3 * LIMIT))


DEEP = st.HEAD + b"7530\r\n" + b"[" * 29_999 + b"\n\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    ("path", "scripts", "status", "attempts"),
    [
        ("/page", [st.serves], 200, 1),
        ("/page", [st.breaks_off, st.serves], 200, 2),
        ("/page", [st.ends_with("lost"), st.serves], 200, 2),
        ("/page", [st.status(500), st.serves], 200, 2),
        # An unsafe request that may have run is failed: it is neither rejected nor retried.
        ("/unlock", [st.breaks_off, st.serves], 502, 1),
        ("/unlock", [st.ends_with("lost"), st.serves], 502, 1),
        ("/unlock", [st.ends_with("failed"), st.serves], 502, 1),
        ("/unlock", [st.status(500), st.serves], 502, 1),
        ("/unlock", [st.status(503), st.serves], 502, 1),
        ("/unlock", [st.writes(st.HEAD + b"3\r\n{}\n\r\n0\r\n\r\n"), st.serves], 502, 1),
        ("/unlock", [st.writes(st.HEAD + b"4\r\nodd\n\r\n0\r\n\r\n"), st.serves], 502, 1),
        ("/unlock", [st.writes(st.HEAD + b"0\r\n\r\n"), st.serves], 502, 1),
        ("/unlock", [st.writes(DEEP), st.serves], 502, 1),  # nested beyond the recursion limit
        ("/unlock", [st.writes(b"HTTP/9 what\r\n\r\n"), st.serves], 502, 1),
        ("/unlock", [st.ends_with("done", id="another", result="x"), st.serves], 502, 1),
        ("/unlock", [st.ends_with("done"), st.serves], 502, 1),  # done, but without a result
        # A request that never ran may be retried.
        ("/unlock", [st.ends_with("returned"), st.serves], 200, 2),
        ("/unlock", [st.status(503, "Not-Started: 1"), st.serves], 200, 2),
        ("/unlock", [st.status(504, "Not-Started: 1"), st.serves], 200, 2),
    ],
)
def test_response_of_a_worker_decides_the_status_and_the_retries(
    tmp_path: Path, path: str, scripts: list[Script], status: int, attempts: int
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(*scripts)
        async with start_dispatcher(tmp_path, worker) as s:
            code, _, body = await s.send_request(path + "?k=7&x=%20")
            assert (code, len(worker.paths)) == (status, attempts)
            assert (body == b"page") == (status == 200)
            assert set(worker.paths) == {path + "?k=7&x=%20"}
            assert {h["request-id"] for h in worker.headers} == {"r1"}
            assert all(float(h["request-timeout"]) < 8 for h in worker.headers)
            assert (await s.send_request("/unlock"))[0] == 200  # the next request is not affected

    play(story())


@pytest.mark.parametrize(
    ("path", "values"),
    [
        ("/roster", [b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"]),
        ("/page", [b"k"]),  # of a job class that is not keyed
        ("/roster", [b""]),
        ("/roster", [b"k" * 4000]),
        ("/roster", [b'"a, b"', b"\xe9\xff \t;"]),  # several, with bytes that are no valid text
        ("/roster", []),
    ],
)
def test_idempotency_key_reaches_every_attempt_unchanged(
    tmp_path: Path, path: str, values: list[bytes]
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.ends_with("returned"), st.serves)
        roster = st.job_class("roster", "keyed", group="zone", window=30_000_000)
        lanes = [*SETTINGS["lanes"], roster]
        async with start_dispatcher(tmp_path, worker, settings=SETTINGS | {"lanes": lanes}) as s:
            more = b"".join(b"idempotency-KEY: %s\r\n" % value for value in values)
            assert (await s.send_request(path, more=more))[0] == 200
            sent = b"|".join(values).decode("latin-1")
            assert [h.get("idempotency-key", "") for h in worker.headers] == [sent] * 2

    play(story())


def test_slots_of_a_request_are_counted_at_its_worker(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.never_responds)
        async with start_dispatcher(tmp_path, worker) as s:
            _, writer = await s.connect()
            writer.write(s.request(more=b"Request-Info: slots=3,memory=2\r\n"))
            await wait_until(lambda: len(worker.paths) == 1)
            assert s.dispatcher._decisions._policy.workers["s-0"].used_slots == 3
            writer.close()

    play(story())


def test_refused_connection_counts_as_an_attempt_that_never_ran(tmp_path: Path) -> None:
    async def story() -> None:
        dead, alive = ScriptedWorker(st.serves), ScriptedWorker(st.serves)
        async with st.listening(dead) as dead.address:
            pass  # from now on the address refuses connections
        async with start_dispatcher(tmp_path, dead, alive) as s:
            assert [(await s.send_request(f"/unlock?k={n}"))[0] for n in range(6)] == [200] * 6

    play(story())


@pytest.mark.parametrize(
    ("first", "connections"), [(st.serves, 1), (st.serves_and_closes, 2), (st.serves_and_writes_more, 2)]
)
def test_connection_is_reused_only_while_it_is_open_and_idle(
    tmp_path: Path, first: Script, connections: int
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(first, st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            assert (await s.send_request("/unlock"))[0] == 200
            if first is st.serves_and_closes:
                await worker.closed.wait()
            assert (await s.send_request("/unlock"))[0] == 200
            assert worker.connections == connections

    play(story())


def test_connection_that_was_idle_too_long_is_not_reused(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        bounds = SETTINGS["bounds"] | {"conn-idle": 1000}
        async with start_dispatcher(tmp_path, worker, settings=SETTINGS | {"bounds": bounds}) as s:
            for _ in range(2):
                assert (await s.send_request())[0] == 200
                await asyncio.sleep(0.002)
            assert worker.connections == 2

    play(story())


def test_disconnect_of_a_client_cancels_its_attempt(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.never_responds, st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            _, writer = await s.connect()
            writer.write(s.request())
            await wait_until(lambda: len(worker.paths) == 1)
            writer.close()
            await asyncio.wait_for(worker.closed.wait(), LIMIT)
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 0)
            assert (await s.send_request())[0] == 200
            assert worker.connections == 2  # the connection of the cancelled attempt is not reused

    play(story())


@pytest.mark.parametrize(("path", "status"), [("/page", 503), ("/unlock", 504)])
def test_attempt_at_an_unresponsive_worker_ends_before_the_client_gives_up(
    tmp_path: Path, path: str, status: int
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.never_responds)
        async with start_dispatcher(tmp_path, worker) as s:
            loop = asyncio.get_running_loop()
            start = loop.time()
            code, _, _ = await s.send_request(path, timeout=0.3)
            assert code == status
            assert loop.time() - start >= 0.25  # the dispatcher did wait for the worker
            await asyncio.wait_for(worker.closed.wait(), LIMIT)

    play(story())


def test_request_without_any_worker_is_rejected(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path) as s:
            status, headers, _ = await s.send_request(timeout=0.2)
            assert status == 503 and 0.5 <= float(headers["retry-after"]) <= 1.5

    play(story())


def test_request_without_a_decision_still_gets_a_response(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            monkeypatch.setattr(s.dispatcher._decisions._policy, "handle", lambda now, event: [])
            assert (await s.send_request(timeout=0.2))[0] == 504
            assert s.dispatcher._decisions.open_requests == 0

    play(story())
    assert "no decision before the deadline" in caplog.text


def test_error_of_the_policy_fails_only_that_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            policy = s.dispatcher._decisions._policy
            handle = policy.handle

            def fails_without_a_key(now: int, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Request) and event.key is None:
                    raise RuntimeError("a defect")
                return handle(now, event)

            monkeypatch.setattr(policy, "handle", fails_without_a_key)
            streams = await s.connect()
            assert (await s.exchange(streams, s.request("/page")))[0] == 500
            assert (await s.exchange(streams, s.request("/page?k=1")))[0] == 200
            assert s.dispatcher._decisions.open_requests == 0

    play(story())


READY = b"GET /-/ready HTTP/1.1\r\nHost: api\r\n\r\n"
POST = b"POST /page HTTP/1.1\r\nHost: api\r\nContent-Length: 0\r\n"
TIMED = POST + b"Request-Timeout: 1\r\n"
CHUNKED = TIMED.replace(b"Content-Length: 0", b"Request-Id: b\r\nTransfer-Encoding: chunked")
HIDDEN = TIMED.replace(b"page", b"page?k=hidden") + b"Request-Id: a\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (READY, 200),
        (b"nonsense\r\n\r\n", 400),
        (b"POST /page HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),  # no Host
        (b"GET /page HTTP/1.1\r\nHost: api\r\n\r\n", 405),
        (b"POST /-/ready HTTP/1.1\r\nHost: api\r\nContent-Length: 2\r\n\r\nhi", 405),
        (b"GET /nothing HTTP/1.1\r\nHost: api\r\n\r\n", 404),
        (TIMED + b"\r\n", 400),
        (TIMED + b"Request-Id: \xe9\r\n\r\n", 400),
        (TIMED + b"Request-Id: a\r\nRequest-Id: b\r\n\r\n", 400),
        (TIMED + b"Request-Id: " + b"a" * 129 + b"\r\n\r\n", 400),
        (TIMED + b"Request-Id: a\r\nRequest-Info: slots\r\n\r\n", 400),
        (POST + b"Request-Id: a\r\n\r\n", 400),
        (POST + b"Request-Id: a\r\nRequest-Timeout: soon\r\n\r\n", 400),
        (POST + b"Request-Id: a\r\nRequest-Timeout: nan\r\n\r\n", 400),
        (POST + b"Request-Id: a\r\nRequest-Timeout: 1_0\r\n\r\n", 400),  # `float` accepts it
        (POST + b"Request-Id: a\r\nRequest-Timeout: -1\r\n\r\n", 400),
        (POST + b"Request-Id: a\r\nRequest-Timeout: 99999999999999999999999\r\n\r\n", 400),
        (b"POST /page HTTP/1.1\r\nHost: api\r\nContent-Length: -1\r\n\r\n", 400),
        # A body that is too large is rejected by the head alone, without 100 Continue.
        (b"POST /page HTTP/1.1\r\nHost: api\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /page HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n", 413),
        (CHUNKED + b"\r\n10001\r\n" + b"x" * 65537, 413),
        # Length and transfer coding give different ends: a request hidden after the first must not run.
        (CHUNKED + b"Content-Length: 5\r\n\r\n0\r\n\r\n" + HIDDEN, 400),
        (CHUNKED.replace(b"1.1", b"1.0") + b"\r\n0\r\n\r\n" + HIDDEN, 400),
    ],
)  # fmt: skip
def test_invalid_request_gets_an_error_status_and_ends_the_connection(
    tmp_path: Path, data: bytes, status: int
) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            streams = await s.connect()
            code, headers, _ = await s.exchange(streams, data)
            assert (code, headers.get("connection") == "close") == (status, status != 200)
            if status == 200:
                assert (await s.exchange(streams, s.request()))[0] == 200
            else:
                assert await asyncio.wait_for(streams[0].read(), LIMIT) == b""
            assert (await s.send_request("/page?k=last"))[0] == 200
            assert worker.paths in (["/page?k=last"], ["/page?k=7", "/page?k=last"])

    play(story())


def test_response_to_head_has_no_body(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            reader, writer = await s.connect()
            writer.write(b"HEAD /page HTTP/1.1\r\nHost: api\r\n\r\n")
            head = await asyncio.wait_for(reader.read(), LIMIT)
            assert head.startswith(b"HTTP/1.1 405") and head.endswith(b"\r\n\r\n")

    play(story())


def test_more_clients_than_descriptors_still_get_responses(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker, limits={"sockets": 128}) as s:
            clients = [await s.connect() for _ in range(70)]  # more than the limit for clients
            for streams in clients:
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    assert (await s.exchange(streams, s.request()))[0] in (200, 503)
            await wait_until(
                lambda: len(s.dispatcher._inbound._streams) <= s.dispatcher._inbound.max_connections
            )
            for streams in clients:
                streams[1].close()
            await wait_until(lambda: not s.dispatcher._inbound._streams)
            assert (await s.send_request())[0] == 200

    play(story())


def test_requests_over_the_limit_are_rejected_at_once(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.never_responds, st.serves)
        bounds = SETTINGS["bounds"] | {"max-open": 1, "max-retry-after": 1_500_000}
        async with start_dispatcher(tmp_path, worker, settings=SETTINGS | {"bounds": bounds}) as s:
            first = asyncio.ensure_future(s.send_request())
            await wait_until(lambda: len(worker.paths) == 1)
            status, headers, _ = await s.send_request()
            assert (status, headers["retry-after"]) == (503, "1.500")
            worker.resume.set()
            assert (await first)[::2] == (200, b"late")

    play(story())


def test_list_follows_discovery_despite_invalid_lines_and_broken_watches(tmp_path: Path) -> None:
    async def story() -> None:
        old, new = ScriptedWorker(st.serves), ScriptedWorker(st.ends_with("done", result="new"))
        rules = SETTINGS["rules"] | {"drain-grace": 0}
        changed = SETTINGS | {"rules": rules}
        async with start_dispatcher(tmp_path, old, settings=changed) as s, st.listening(new) as address:
            assert (await s.send_request())[2] == b"page"  # discovery has not sent anything yet
            s.discovery.send_update(
                2, st.target_entry("s-9", address), st.target_entry("s-0", old.address, "draining")
            )
            await wait_until(lambda: s.dispatcher._destinations.revision == 2)
            assert (await s.send_request())[2] == b"new"
            s.discovery.lines.put_nowait(b"\n")  # a sign of life between updates
            s.discovery.lines.put_nowait(b'{"rev":3,"all":false,"targets":[{"uid":4}]}\n')
            await wait_until(lambda: len(s.discovery.targets) == 2)
            assert s.discovery.targets == [f"/api/targets?follow=1&since={n}" for n in (1, 2)]
            assert (await s.send_request())[2] == b"new"  # the list in force stays
            s.discovery.lines.put_nowait(None)
            await wait_until(lambda: len(s.discovery.targets) == 3)
            s.discovery.send_update(4, st.target_entry("s-0", old.address), full=True)
            await wait_until(lambda: s.dispatcher._destinations.revision == 4)
            assert (await s.send_request())[2] == b"page"
            assert [s.dispatcher._destinations.accepts(uid) for uid in ("s-0", "s-9")] == [True, False]

    play(story())


@pytest.mark.parametrize(
    ("load", "slots"),
    [
        (b"backlog=0,recent_ms=0,outstanding=0,x0=9", 9),
        (b'{"queue":0,"inflight":0,"x0":9}', 9),
        (b"", 4),  # no valid report: the number of slots that is assumed before any probe
        (b"odd", 4),
        (b"x0=nan", 4),
        (b'{"x0":1' + b"0" * 400 + b"}", 4),
        (b'{"x0":' + b"[" * 20_000, 4),
        (b"x" * 70_000, 4),
    ],
)
def test_probes_report_load(tmp_path: Path, load: bytes, slots: int) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        worker.load = load
        bounds = SETTINGS["bounds"] | {"probes": True}
        changed = SETTINGS | {"bounds": bounds, "load-report": {"how": "pull"}}
        async with start_dispatcher(tmp_path, worker, settings=changed) as s:
            await wait_until(lambda: worker.probes > 1)
            policy = s.dispatcher._decisions._policy
            assert policy.loads.slots_of(policy.workers["s-0"]) == slots
            assert (await s.send_request())[0] == 200

    play(story())


@pytest.mark.parametrize(
    ("script", "slots"),
    [
        (st.ends_with("done", result="page", load={"x0": 7, "util": 0.2}), 7),
        (st.ends_with("failed", load={"x0": 7}), 7),
        (st.status(500, "Server-Load: inflight=0,queue=0,x0=7"), 7),
        (st.status(503, "Not-Started: 1", "Server-Load: x0=7,util=0.61"), 7),
        (st.ends_with("done", result="page"), 4),  # no report: the number that is assumed at first
        (st.ends_with("done", result="page", load={"x0": "many"}), 4),  # an invalid report is ignored
        (st.ends_with("done", result="page", load=[[7]]), 4),
        (st.status(500, "Server-Load: x0=nan"), 4),
    ],
)
def test_load_in_a_response_reaches_the_policy(tmp_path: Path, script: Script, slots: int) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(script, st.serves)) as s:
            assert (await s.send_request("/page"))[0] == 200
            policy = s.dispatcher._decisions._policy
            assert policy.loads.slots_of(policy.workers["s-0"]) == slots

    play(story())


@pytest.mark.parametrize(
    ("headers", "tenant", "hint"),
    [
        (b"Tenant: acme\r\nWork-Hint: 250000\r\n", "acme", 250_000),
        (b"Tenant: acme\r\nTenant: b\r\nWork-Hint: 2.5e5\r\n", "acme", 250_000),
        (b"Tenant: \xe9\r\n", "\xe9", None),
        (b"Work-Hint: soon\r\n", None, None),
        (b"Work-Hint: -4\r\n", None, None),
        (b"Work-Hint: 0\r\n", None, None),
        (b"Work-Hint: 1e400\r\n", None, None),
        (b"", None, None),
    ],
)
def test_tenant_and_work_hint_reach_the_policy_and_invalid_ones_are_ignored(
    tmp_path: Path, headers: bytes, tenant: str | None, hint: int | None
) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            policy, seen = s.dispatcher._decisions._policy, list[api.Request]()
            handle = policy.event_handlers[api.Request]

            def recording(request: api.Request) -> None:
                seen.append(request)
                handle(request)

            policy.event_handlers[api.Request] = recording
            assert (await s.send_request(more=headers))[0] == 200
            assert [(r.tenant, r.work_hint) for r in seen] == [(tenant, hint)]

    play(story())


def test_calls_to_a_shared_discovery_are_spread_and_rarer_the_slower_it_is() -> None:
    second = timedelta(seconds=1)
    agent = RetryPacer(shared_service=False, seed=1)  # an agent on this machine is called at a constant rate
    assert {agent.delay_after(n * second, succeeded=False) for n in range(5)} == {RETRY_DELAY}
    firsts = [RetryPacer(True, seed).delay_after(second / 10, succeeded=True) for seed in range(200)]
    assert len({round(first / RETRY_DELAY, 1) for first in firsts}) > 15 and max(firsts) <= 2 * RETRY_DELAY
    for seed in range(50):
        pacer = RetryPacer(True, seed)
        assert all(
            RETRY_DELAY / 4 <= pacer.delay_after(n * second, succeeded=False) <= MAX_RETRY_DELAY
            for n in range(20)
        )
        # One success resets the delay.
        assert pacer.delay_after(second / 10, succeeded=True) <= 2 * RETRY_DELAY
    slow = [RetryPacer(True, seed).delay_after(second, succeeded=True) for seed in range(200)]
    assert sum(slow, timedelta()) > 4 * sum(firsts, timedelta())


def test_shared_discovery_may_respond_later_than_an_agent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An agent that does not respond at once is down; a shared service is busy, and calls would add to it."""
    monkeypatch.setattr(destinations, "FIRST_RESPONSE_TIMEOUT", timedelta(milliseconds=30))
    monkeypatch.setattr(destinations, "RETRY_DELAY", timedelta(milliseconds=1))

    async def story() -> None:
        async with contextlib.AsyncExitStack() as stack:
            calls = {True: 0, False: 0}  # to a shared service, and to an agent
            for service in calls:

                async def never_responds(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, service: bool = service
                ) -> None:
                    await st.read_message(reader)
                    calls[service] += 1
                    await reader.read()
                    writer.close()

                server = await asyncio.start_server(never_responds, "127.0.0.1", 0)
                stack.callback(server.close)
                address = destinations.Address(*server.sockets[0].getsockname())
                watched = destinations.Destinations(
                    Clock(),
                    timedelta(seconds=1),
                    lambda update, is_cached: None,
                    address,
                    shared_service=service,
                    seed=1,
                )
                watched.start()
                stack.push_async_callback(watched.close)
            await wait_until(lambda: calls[False] >= 4)
            assert calls[True] == 1

    play(story())


def test_worker_that_drains_while_its_connection_opens_is_sent_nothing() -> None:
    async def story() -> None:
        worker, clock = ScriptedWorker(st.serves), Clock()
        async with st.listening(worker) as address:
            pool = EndpointPool(clock, timedelta(seconds=1), timedelta(seconds=60), 4)
            result = await pool.attempt(
                WorkerRequest("a", b"/page", "api", None, b""),
                address,
                clock.now() + timedelta(seconds=2),
                should_send=lambda: False,
                on_progress=lambda stage: None,
                on_sent=lambda: None,
                is_retry_safe=True,
            )
            await pool.close()
            assert (result.outcome, worker.paths) == (AttemptOutcome.NOT_SENT, [])

    play(story())


def test_sweep_lets_no_two_requests_take_one_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """If the sweep replaced the list of idle connections, a request that takes one would use the old list."""
    monkeypatch.setattr(endpoints, "SWEEP_INTERVAL", timedelta(0))

    async def story() -> None:
        worker, clock = ScriptedWorker(st.serves), Clock()
        async with st.listening(worker) as address:
            pool = EndpointPool(clock, timedelta(seconds=1), timedelta(seconds=60), 4)
            worker_request = WorkerRequest("a", b"/page", "api", None, b"")
            last = clock.now() + timedelta(seconds=LIMIT)
            arguments = (worker_request, address, last, lambda: True, lambda stage: None, lambda: None, True)
            attempts = (pool.attempt(*arguments) for _ in range(3))
            assert {result.outcome for result in await asyncio.gather(*attempts)} == {AttemptOutcome.SERVED}
            assert len(pool._idle[address]) == 3
            sweep = asyncio.create_task(pool.sweep())
            await asyncio.sleep(0)
            pool._idle[address][-1].idle_since = EPOCH  # too old: `_take_idle` closes it
            first, second = await pool._take_idle(address), await pool._take_idle(address)
            assert first and second and first is not second
            sweep.cancel()
            for connection in (first, second):
                await pool._close(connection)
            assert pool._connection_count == 0

    play(story())


def test_timer_that_fires_slightly_early_counts_as_due() -> None:
    """The policy expects the exact microsecond that it set; an earlier one would end its timers."""

    class Stopped(Clock):
        def now(self) -> datetime:
            return self._wall_start

    async def story() -> None:
        driver, events = PolicyDriver(api.Settings(classes=()), 1, Stopped()), list[tuple[int, api.Event]]()

        def handle(now: int, event: api.Event) -> list[api.Action]:
            events.append((now, event))
            return [api.SetTimer(5, 1000)] if len(events) == 1 else []

        driver._policy.handle = handle  # type: ignore[method-assign]
        driver.handle_event(api.RequestAbandoned(1))
        await wait_until(lambda: len(events) == 2)
        assert events[1] == (events[0][0] + 1000, api.Timer(5))

    play(story())


def test_sigterm_lets_all_requests_finish(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.never_responds, st.serves)
        async with st.listening(worker) as address, st.listening(st.Discovery()) as discovery:
            listed = [st.target_entry("s-0", address)]
            async with st.dispatcher_process(st.environment(tmp_path, listed, discovery)) as (child, s, _):
                assert child.stderr
                idle = await s.connect()
                first = asyncio.ensure_future(s.send_request())
                await wait_until(lambda: len(worker.paths) == 1)
                child.send_signal(signal.SIGTERM)
                while b" is shutting down" not in await child.stderr.readline():
                    pass
                assert (await s.send_request())[0] == 200  # on a connection opened after the signal
                # There may be no other dispatcher to turn to yet, so open connections are served.
                for _ in range(2):
                    assert (await s.exchange(idle, s.request()))[0] == 200
                assert await asyncio.wait_for(idle[0].read(), LIMIT) == b""  # the idle connection is closed
                assert child.returncode is None
                worker.resume.set()
                assert (await first)[0] == 200
                assert await asyncio.wait_for(child.wait(), LIMIT) == 0

    play(story())


def replace_item(path: str, value: object) -> Callable[[dict[str, Any]], None]:
    def replace(data: dict[str, Any]) -> None:
        *parts, last = path.split(".")
        for part in parts:
            data = data[int(part)] if isinstance(data, list) else data[part]
        data[last] = value

    return replace


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("listen", "nowhere", "listen"),
        ("discovery", 5, "discovery"),
        ("seed", "xyz", "seed"),
        ("limits.sockets", 3, "limits.sockets"),
        ("known.rev", "x", "known.rev"),
        ("known.targets", [{"uid": "a"}], "known.targets[0].endpoint"),
        ("settings.tick", 0, "settings.tick"),
        ("settings.lanes.0.aim", -1, "settings.lanes[0].aim"),
        ("settings.lanes.1.repeat", "often", "settings.lanes[1].repeat"),
        ("settings.lanes.1.name", "page", "settings"),
        ("settings.bounds.conn-idle", "long", "settings.bounds.conn-idle"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line_with_the_key(
    tmp_path: Path,
    path: str,
    value: object,
    key: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    environ = st.environment(tmp_path, [], "127.0.0.1:1")
    config_file = Path(environ["PROXY_CONFIG"])
    data = json.loads(config_file.read_text())
    replace_item(path, value)(data)
    config_file.write_text(json.dumps(data))
    monkeypatch.setattr(os, "environ", environ)
    assert program.main() == 2
    text = capsys.readouterr().err
    assert text.startswith(f"rookwood: {key}: ") and text.count("\n") == 1
