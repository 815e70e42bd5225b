"""What clients, endpoints and discovery may do to a dispatcher, one story for each failure."""

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
from rookwood.net.destinations import LONGEST_PAUSE, PAUSE, Pace
from rookwood.net.endpoints import Endpoints, WorkerRequest
from rookwood.net.policy_driver import AttemptOutcome, PolicyDriver
from tests import stage as st
from tests.stage import LIMIT, SETTINGS, Script, ScriptedWorker, start_dispatcher, wait_until


def play(story: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(story, 3 * LIMIT))


DEEP = st.HEAD + b"7530\r\n" + b"[" * 29_999 + b"\n\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    ("path", "scripts", "status", "attempts"),
    [
        ("/page", [st.served], 200, 1),
        ("/page", [st.breaks, st.served], 200, 2),
        ("/page", [st.ends("lost"), st.served], 200, 2),
        ("/page", [st.status(500), st.served], 200, 2),
        # What may have run and is unsafe is failed, never refused and never sent again.
        ("/unlock", [st.breaks, st.served], 502, 1),
        ("/unlock", [st.ends("lost"), st.served], 502, 1),
        ("/unlock", [st.ends("failed"), st.served], 502, 1),
        ("/unlock", [st.status(500), st.served], 502, 1),
        ("/unlock", [st.status(503), st.served], 502, 1),
        ("/unlock", [st.answers(st.HEAD + b"3\r\n{}\n\r\n0\r\n\r\n"), st.served], 502, 1),
        ("/unlock", [st.answers(st.HEAD + b"4\r\nodd\n\r\n0\r\n\r\n"), st.served], 502, 1),
        ("/unlock", [st.answers(st.HEAD + b"0\r\n\r\n"), st.served], 502, 1),
        ("/unlock", [st.answers(DEEP), st.served], 502, 1),  # more than the stack holds
        ("/unlock", [st.answers(b"HTTP/9 what\r\n\r\n"), st.served], 502, 1),
        ("/unlock", [st.ends("done", id="another", result="x"), st.served], 502, 1),
        ("/unlock", [st.ends("done"), st.served], 502, 1),  # done, but without a result
        # What never ran may go elsewhere.
        ("/unlock", [st.ends("returned"), st.served], 200, 2),
        ("/unlock", [st.status(503, "Not-Started: 1"), st.served], 200, 2),
        ("/unlock", [st.status(504, "Not-Started: 1"), st.served], 200, 2),
    ],
)
def test_what_an_endpoint_answers(
    tmp_path: Path, path: str, scripts: list[Script], status: int, attempts: int
) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(*scripts)
        async with start_dispatcher(tmp_path, endpoint) as s:
            found, _, body = await s.send_request(path + "?k=7&x=%20")
            assert (found, len(endpoint.seen)) == (status, attempts)
            assert (body == b"page") == (status == 200)
            assert set(endpoint.seen) == {path + "?k=7&x=%20"}
            assert {h["request-id"] for h in endpoint.headers} == {"r1"}
            assert all(float(h["request-timeout"]) < 8 for h in endpoint.headers)
            assert (await s.send_request("/unlock"))[0] == 200  # and the next is not affected

    play(story())


@pytest.mark.parametrize(
    ("path", "values"),
    [
        ("/roster", [b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"]),
        ("/page", [b"k"]),  # a class that is not keyed
        ("/roster", [b""]),
        ("/roster", [b"k" * 4000]),
        ("/roster", [b'"a, b"', b"\xe9\xff \t;"]),  # several, and bytes that no text has
        ("/roster", []),
    ],
)
def test_idempotency_key_reaches_every_attempt_unchanged(
    tmp_path: Path, path: str, values: list[bytes]
) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.ends("returned"), st.served)
        roster = st.lane("roster", "keyed", group="zone", window=30_000_000)
        lanes = [*SETTINGS["lanes"], roster]
        async with start_dispatcher(tmp_path, endpoint, settings=SETTINGS | {"lanes": lanes}) as s:
            more = b"".join(b"idempotency-KEY: %s\r\n" % value for value in values)
            assert (await s.send_request(path, more=more))[0] == 200
            sent = b"|".join(values).decode("latin-1")
            assert [h.get("idempotency-key", "") for h in endpoint.headers] == [sent] * 2

    play(story())


def test_slots_named_by_a_request_are_counted_at_its_endpoint(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.silent)
        async with start_dispatcher(tmp_path, endpoint) as s:
            _, writer = await s.connect()
            writer.write(s.request(more=b"Request-Info: slots=3,memory=2\r\n"))
            await wait_until(lambda: len(endpoint.seen) == 1)
            assert s.dispatcher._decisions._policy.workers["s-0"].used_slots == 3
            writer.close()

    play(story())


def test_refused_connection_is_an_attempt_that_never_ran(tmp_path: Path) -> None:
    async def story() -> None:
        dead, alive = ScriptedWorker(st.served), ScriptedWorker(st.served)
        async with st.listening(dead) as dead.address:
            pass  # nobody listens there any more
        async with start_dispatcher(tmp_path, dead, alive) as s:
            assert [(await s.send_request(f"/unlock?k={n}"))[0] for n in range(6)] == [200] * 6

    play(story())


@pytest.mark.parametrize(
    ("first", "connections"), [(st.served, 1), (st.serves_and_closes, 2), (st.serves_and_babbles, 2)]
)
def test_connection_is_kept_only_while_it_is_open_and_quiet(
    tmp_path: Path, first: Script, connections: int
) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(first, st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            assert (await s.send_request("/unlock"))[0] == 200
            if first is st.serves_and_closes:
                await endpoint.closed.wait()
            assert (await s.send_request("/unlock"))[0] == 200
            assert endpoint.connections == connections

    play(story())


def test_connection_that_stood_idle_too_long_is_not_used_again(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        bounds = SETTINGS["bounds"] | {"conn-idle": 1000}
        async with start_dispatcher(tmp_path, endpoint, settings=SETTINGS | {"bounds": bounds}) as s:
            for _ in range(2):
                assert (await s.send_request())[0] == 200
                await asyncio.sleep(0.002)
            assert endpoint.connections == 2

    play(story())


def test_client_that_goes_away_ends_its_attempt(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.silent, st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            _, writer = await s.connect()
            writer.write(s.request())
            await wait_until(lambda: len(endpoint.seen) == 1)
            writer.close()
            await asyncio.wait_for(endpoint.closed.wait(), LIMIT)
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 0)
            assert (await s.send_request())[0] == 200
            assert endpoint.connections == 2  # the given-up connection was not kept

    play(story())


@pytest.mark.parametrize(("path", "status"), [("/page", 503), ("/unlock", 504)])
def test_silent_endpoint_is_given_up_before_the_client_does(tmp_path: Path, path: str, status: int) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.silent)
        async with start_dispatcher(tmp_path, endpoint) as s:
            loop = asyncio.get_running_loop()
            start = loop.time()
            found, _, _ = await s.send_request(path, timeout=0.3)
            assert found == status
            assert loop.time() - start >= 0.25  # it did wait
            await asyncio.wait_for(endpoint.closed.wait(), LIMIT)

    play(story())


def test_request_that_no_endpoint_can_take_is_refused(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path) as s:
            status, headers, _ = await s.send_request(timeout=0.2)
            assert status == 503 and 0.5 <= float(headers["retry-after"]) <= 1.5

    play(story())


def test_decisions_that_stay_silent_are_answered_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            monkeypatch.setattr(s.dispatcher._decisions._policy, "handle", lambda now, event: [])
            assert (await s.send_request(timeout=0.2))[0] == 504
            assert s.dispatcher._decisions.open_requests == 0

    play(story())
    assert "no decision before the deadline" in caplog.text


def test_defect_in_one_request_fails_that_request_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            policy = s.dispatcher._decisions._policy
            good = policy.handle

            def bad(now: int, event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Request) and event.key is None:
                    raise RuntimeError("a defect")
                return good(now, event)

            monkeypatch.setattr(policy, "handle", bad)
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
        (POST + b"Request-Id: a\r\nRequest-Timeout: 1_0\r\n\r\n", 400),  # `float` takes it
        (POST + b"Request-Id: a\r\nRequest-Timeout: -1\r\n\r\n", 400),
        (POST + b"Request-Id: a\r\nRequest-Timeout: 99999999999999999999999\r\n\r\n", 400),
        (b"POST /page HTTP/1.1\r\nHost: api\r\nContent-Length: -1\r\n\r\n", 400),
        # A body that is too large is refused by its head alone, and nobody is asked to go on.
        (b"POST /page HTTP/1.1\r\nHost: api\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /page HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n", 413),
        (CHUNKED + b"\r\n10001\r\n" + b"x" * 65537, 413),
        # The length and the coding tell of different ends: what hides behind the first must not run.
        (CHUNKED + b"Content-Length: 5\r\n\r\n0\r\n\r\n" + HIDDEN, 400),
        (CHUNKED.replace(b"1.1", b"1.0") + b"\r\n0\r\n\r\n" + HIDDEN, 400),
    ],
)  # fmt: skip
def test_bad_input_is_named_and_what_cannot_be_used_ends_the_connection(
    tmp_path: Path, data: bytes, status: int
) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            streams = await s.connect()
            found, headers, _ = await s.exchange(streams, data)
            assert (found, headers.get("connection") == "close") == (status, status != 200)
            if status == 200:
                assert (await s.exchange(streams, s.request()))[0] == 200
            else:
                assert await asyncio.wait_for(streams[0].read(), LIMIT) == b""
            assert (await s.send_request("/page?k=last"))[0] == 200
            assert endpoint.seen in (["/page?k=last"], ["/page?k=7", "/page?k=last"])

    play(story())


def test_answer_to_head_has_no_body(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            reader, writer = await s.connect()
            writer.write(b"HEAD /page HTTP/1.1\r\nHost: api\r\n\r\n")
            head = await asyncio.wait_for(reader.read(), LIMIT)
            assert head.startswith(b"HTTP/1.1 405") and head.endswith(b"\r\n\r\n")

    play(story())


def test_more_clients_than_descriptors_are_still_answered(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint, limits={"sockets": 128}) as s:
            kept = [await s.connect() for _ in range(70)]  # more than the bound on this side
            for streams in kept:
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    assert (await s.exchange(streams, s.request()))[0] in (200, 503)
            await wait_until(lambda: len(s.dispatcher._inbound._open) <= s.dispatcher._inbound.most)
            for streams in kept:
                streams[1].close()
            await wait_until(lambda: not s.dispatcher._inbound._open)
            assert (await s.send_request())[0] == 200

    play(story())


def test_requests_over_the_bound_are_refused_at_once(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.silent, st.served)
        bounds = SETTINGS["bounds"] | {"max-open": 1, "max-retry-after": 1_500_000}
        async with start_dispatcher(tmp_path, endpoint, settings=SETTINGS | {"bounds": bounds}) as s:
            first = asyncio.ensure_future(s.send_request())
            await wait_until(lambda: len(endpoint.seen) == 1)
            status, headers, _ = await s.send_request()
            assert (status, headers["retry-after"]) == (503, "1.500")
            endpoint.resume.set()
            assert (await first)[::2] == (200, b"late")

    play(story())


def test_list_follows_discovery_through_bad_lines_and_broken_watches(tmp_path: Path) -> None:
    async def story() -> None:
        old, new = ScriptedWorker(st.served), ScriptedWorker(st.ends("done", result="new"))
        rules = SETTINGS["rules"] | {"drain-grace": 0}
        changed = SETTINGS | {"rules": rules}
        async with start_dispatcher(tmp_path, old, settings=changed) as s, st.listening(new) as address:
            assert (await s.send_request())[2] == b"page"  # discovery has not said a word yet
            s.discovery.say(
                2, st.target_entry("s-9", address), st.target_entry("s-0", old.address, "draining")
            )
            await wait_until(lambda: s.dispatcher._destinations.revision == 2)
            assert (await s.send_request())[2] == b"new"
            s.discovery.lines.put_nowait(b"\n")  # a sign of life
            s.discovery.lines.put_nowait(b'{"rev":3,"all":false,"targets":[{"uid":4}]}\n')
            await wait_until(lambda: len(s.discovery.asked) == 2)
            assert s.discovery.asked == [f"/api/targets?follow=1&since={n}" for n in (1, 2)]
            assert (await s.send_request())[2] == b"new"  # the list stays
            s.discovery.lines.put_nowait(None)
            await wait_until(lambda: len(s.discovery.asked) == 3)
            s.discovery.say(4, st.target_entry("s-0", old.address), whole=True)
            await wait_until(lambda: s.dispatcher._destinations.revision == 4)
            assert (await s.send_request())[2] == b"page"
            assert [s.dispatcher._destinations.accepts(uid) for uid in ("s-0", "s-9")] == [True, False]

    play(story())


@pytest.mark.parametrize(
    ("load", "slots"),
    [
        (b"backlog=0,recent_ms=0,outstanding=0,x0=9", 9),
        (b'{"queue":0,"inflight":0,"x0":9}', 9),
        (b"", 4),  # no report yet: as if never probed
        (b"odd", 4),
        (b"x0=nan", 4),
        (b'{"x0":1' + b"0" * 400 + b"}", 4),
        (b'{"x0":' + b"[" * 20_000, 4),
        (b"x" * 70_000, 4),
    ],
)
def test_load_comes_by_probes(tmp_path: Path, load: bytes, slots: int) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        endpoint.load = load
        bounds = SETTINGS["bounds"] | {"probes": True}
        changed = SETTINGS | {"bounds": bounds, "load-report": {"how": "pull"}}
        async with start_dispatcher(tmp_path, endpoint, settings=changed) as s:
            await wait_until(lambda: endpoint.probes > 1)
            policy = s.dispatcher._decisions._policy
            assert policy.load_exchange.slots_of(policy.workers["s-0"]) == slots
            assert (await s.send_request())[0] == 200

    play(story())


@pytest.mark.parametrize(
    ("script", "slots"),
    [
        (st.ends("done", result="page", load={"x0": 7, "util": 0.2}), 7),
        (st.ends("failed", load={"x0": 7}), 7),
        (st.status(500, "Server-Load: inflight=0,queue=0,x0=7"), 7),
        (st.status(503, "Not-Started: 1", "Server-Load: x0=7,util=0.61"), 7),
        (st.ends("done", result="page"), 4),  # none told: as if never heard
        (st.ends("done", result="page", load={"x0": "many"}), 4),  # and what is unsound costs no answer
        (st.ends("done", result="page", load=[[7]]), 4),
        (st.status(500, "Server-Load: x0=nan"), 4),
    ],
)
def test_load_told_with_an_answer_reaches_the_decisions(tmp_path: Path, script: Script, slots: int) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(script, st.served)) as s:
            assert (await s.send_request("/page"))[0] == 200
            policy = s.dispatcher._decisions._policy
            assert policy.load_exchange.slots_of(policy.workers["s-0"]) == slots

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
def test_tenant_and_hint_reach_the_decisions_and_cost_no_answer(
    tmp_path: Path, headers: bytes, tenant: str | None, hint: int | None
) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            policy, seen = s.dispatcher._decisions._policy, list[api.Request]()
            handle = policy.event_handlers[api.Request]

            def watched(request: api.Request) -> None:
                seen.append(request)
                handle(request)

            policy.event_handlers[api.Request] = watched
            assert (await s.send_request(more=headers))[0] == 200
            assert [(r.tenant, r.work_hint) for r in seen] == [(tenant, hint)]

    play(story())


def test_discovery_that_all_ask_is_asked_again_spread_and_the_less_the_slower_it_is() -> None:
    second = timedelta(seconds=1)
    agent = Pace(asked=False, seed=1)
    assert {agent.after(n * second, heard=False) for n in range(5)} == {PAUSE}
    firsts = [Pace(True, seed).after(second / 10, heard=True) for seed in range(200)]
    assert len({round(first / PAUSE, 1) for first in firsts}) > 15 and max(firsts) <= 2 * PAUSE
    for seed in range(50):
        pace = Pace(True, seed)
        assert all(PAUSE / 4 <= pace.after(n * second, heard=False) <= LONGEST_PAUSE for n in range(20))
        assert pace.after(second / 10, heard=True) <= 2 * PAUSE  # one word, and it is well again
    slow = [Pace(True, seed).after(second, heard=True) for seed in range(200)]
    assert sum(slow, timedelta()) > 4 * sum(firsts, timedelta())


def test_discovery_that_all_ask_may_take_its_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """An agent that does not answer at once is down. A service is full: asking anew would fill it more."""
    monkeypatch.setattr(destinations, "FIRST_WORD_LIMIT", timedelta(milliseconds=30))
    monkeypatch.setattr(destinations, "PAUSE", timedelta(milliseconds=1))

    async def story() -> None:
        async with contextlib.AsyncExitStack() as stack:
            asked = {True: 0, False: 0}
            for service in asked:

                async def silent(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, service: bool = service
                ) -> None:
                    await st.read_message(reader)
                    asked[service] += 1
                    await reader.read()
                    writer.close()

                server = await asyncio.start_server(silent, "127.0.0.1", 0)
                stack.callback(server.close)
                where = destinations.Address(*server.sockets[0].getsockname())
                watched = destinations.Destinations(
                    Clock(), timedelta(seconds=1), lambda told, kept: None, where, asked=service, seed=1
                )
                watched.start()
                stack.push_async_callback(watched.close)
            await wait_until(lambda: asked[False] >= 4)
            assert asked[True] == 1

    play(story())


def test_endpoint_told_to_drain_while_connecting_gets_nothing() -> None:
    async def story() -> None:
        endpoint, clock = ScriptedWorker(st.served), Clock()
        async with st.listening(endpoint) as address:
            pool = Endpoints(clock, timedelta(seconds=1), timedelta(seconds=60), 4)
            result = await pool.attempt(
                WorkerRequest("a", b"/page", "api", None, b""),
                address,
                clock.now() + timedelta(seconds=2),
                still_wanted=lambda: False,
                sign=lambda stage: None,
                written=lambda: None,
                repeatable=True,
            )
            await pool.close()
            assert (result.end, endpoint.seen) == (AttemptOutcome.NEVER_SENT, [])

    play(story())


def test_sweep_leaves_no_connection_in_two_hands(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new list made by the sweep left the old one in the hands of who was just taking from it."""
    monkeypatch.setattr(endpoints, "SWEEP", timedelta(0))

    async def story() -> None:
        endpoint, clock = ScriptedWorker(st.served), Clock()
        async with st.listening(endpoint) as address:
            pool = Endpoints(clock, timedelta(seconds=1), timedelta(seconds=60), 4)
            outgoing = WorkerRequest("a", b"/page", "api", None, b"")
            last = clock.now() + timedelta(seconds=LIMIT)
            words = (outgoing, address, last, lambda: True, lambda stage: None, lambda: None, True)
            tries = (pool.attempt(*words) for _ in range(3))
            assert {result.end for result in await asyncio.gather(*tries)} == {AttemptOutcome.SERVED}
            assert len(pool._idle[address]) == 3
            sweep = asyncio.create_task(pool.sweep())
            await asyncio.sleep(0)
            pool._idle[address][-1].idle_since = EPOCH  # too old: `_idle_one` closes it and goes on
            first, second = await pool._idle_one(address), await pool._idle_one(address)
            assert first and second and first is not second
            sweep.cancel()
            for connection in (first, second):
                await pool._close(connection)
            assert pool._count == 0

    play(story())


def test_timer_that_fires_a_hair_early_still_counts_as_due() -> None:
    """The module waits for the microsecond it named: told of an earlier one it sets no further timer."""

    class Stopped(Clock):
        def now(self) -> datetime:
            return self._start

    async def story() -> None:
        decisions, told = PolicyDriver(api.Settings(classes=()), 1, Stopped()), list[tuple[int, api.Event]]()

        def handle(now: int, event: api.Event) -> list[api.Action]:
            told.append((now, event))
            return [api.SetTimer(5, 1000)] if len(told) == 1 else []

        decisions._policy.handle = handle  # type: ignore[method-assign]
        decisions.feed(api.RequestAbandoned(1))
        await wait_until(lambda: len(told) == 2)
        assert told[1] == (told[0][0] + 1000, api.Timer(5))

    play(story())


def test_sigterm_hands_over_and_loses_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.silent, st.served)
        async with st.listening(endpoint) as address, st.listening(st.Discovery()) as discovery:
            listed = [st.target_entry("s-0", address)]
            async with st.running(st.environment(tmp_path, listed, discovery)) as (child, s, _):
                assert child.stderr
                idle = await s.connect()
                first = asyncio.ensure_future(s.send_request())
                await wait_until(lambda: len(endpoint.seen) == 1)
                child.send_signal(signal.SIGTERM)
                while b" leaving" not in await child.stderr.readline():
                    pass
                assert (await s.send_request())[0] == 200  # a connection that came after the signal
                # There may be nobody else to go to yet: who has a connection is served on it.
                for _ in range(2):
                    assert (await s.exchange(idle, s.request()))[0] == 200
                assert await asyncio.wait_for(idle[0].read(), LIMIT) == b""  # the idle one is let go
                assert child.returncode is None
                endpoint.resume.set()
                assert (await first)[0] == 200
                assert await asyncio.wait_for(child.wait(), LIMIT) == 0

    play(story())


def spoilt(path: str, value: object) -> Callable[[dict[str, Any]], None]:
    def spoil(data: dict[str, Any]) -> None:
        *parts, last = path.split(".")
        for part in parts:
            data = data[int(part)] if isinstance(data, list) else data[part]
        data[last] = value

    return spoil


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
def test_bad_configuration_is_one_line_that_names_the_key(
    tmp_path: Path,
    path: str,
    value: object,
    key: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    environ = st.environment(tmp_path, [], "127.0.0.1:1")
    place = Path(environ["PROXY_CONFIG"])
    data = json.loads(place.read_text())
    spoilt(path, value)(data)
    place.write_text(json.dumps(data))
    monkeypatch.setattr(os, "environ", environ)
    assert program.main() == 2
    text = capsys.readouterr().err
    assert text.startswith(f"rookwood: {key}: ") and text.count("\n") == 1
