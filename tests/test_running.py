"""Running the dispatcher day by day: the second address, its figures, drains. One story for each failure."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from rookwood.lab.free_ports import find_free_port
from rookwood.net import dispatcher, handover, phase
from rookwood.net.config import load
from rookwood.net.connection_limits import BASE, CALL_ACCEPTS, room_of
from rookwood.net.dispatcher import Dispatcher
from tests import stage as st
from tests.stage import (
    LIMIT,
    SETTINGS,
    DispatcherFixture,
    ScriptedWorker,
    Streams,
    start_dispatcher,
    wait_until,
)
from tests.test_stories import READY, play

MGMT = "127.0.0.1:0"


async def call(s: DispatcherFixture, path: str, method: str = "GET") -> tuple[int, str]:
    assert s.dispatcher.mgmt
    reader, writer = await asyncio.open_connection("127.0.0.1", s.dispatcher.mgmt)
    writer.write(f"{method} /ops/{path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    text = (await asyncio.wait_for(reader.read(), LIMIT)).decode()
    writer.close()
    return int(text.split()[1]), text.partition("\r\n\r\n")[2]


async def stats(s: DispatcherFixture) -> dict[str, str]:
    status, text = await call(s, "stats")
    assert status == 200
    return dict(line.removeprefix("dispatcher.").split(":") for line in text.splitlines())


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "readiness", 200),
        ("GET", "stats", 200),
        ("GET", "drain/start", 405),
        ("POST", "stats", 405),
        ("GET", "nothing", 404),
        ("BREW coffee", "readiness", 400),
    ],
)
def test_second_address_answers_each_call(tmp_path: Path, method: str, path: str, status: int) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served), mgmt=MGMT) as s:
            assert (await call(s, path, method))[0] == status

    play(story())


@pytest.mark.parametrize("data", [b"", b"GET /ops/sta", b"POST /ops/drain/start HTTP/1.1\r\nHost: x\r\n"])
def test_stalled_callers_delay_nobody_and_are_closed(
    tmp_path: Path, data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """More of them than there is room for, so the oldest go at once; the rest when their time is up."""

    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served), mgmt=MGMT) as s:
            assert s.dispatcher.mgmt
            stalled: list[Streams] = []
            for _ in range(2 * s.dispatcher._management._room.callers):
                stalled.append(await asyncio.open_connection("127.0.0.1", s.dispatcher.mgmt))
                stalled[-1][1].write(data)
            assert (await call(s, "readiness"))[0] == 200
            assert len(s.dispatcher._management._callers) <= s.dispatcher._management._room.callers
            for reader, writer in stalled:
                assert await asyncio.wait_for(reader.read(), LIMIT) == b""
                writer.close()
            assert (await call(s, "readiness"))[0] == 200  # and nobody was drained by half a call

    play(story())


def test_figures_tell_what_became_of_jobs(tmp_path: Path) -> None:
    async def story() -> None:
        scripts = [st.served, st.status(500), st.status(500), st.status(503, "Not-Started: 1"), st.served]
        endpoint = ScriptedWorker(*scripts, st.silent)
        async with start_dispatcher(tmp_path, endpoint, mgmt=MGMT) as s:
            first = await stats(s)
            assert {v for k, v in first.items() if k.startswith("transactions.")} == {"0|c"}
            assert len([k for k in first if k.startswith("transactions.")]) == 8
            gauges = [first[name] for name in ("current", "cluster_size", "cluster_unhealthy")]
            assert gauges == ["0|g", "1|g", "0|g"]
            asked = [(await s.send_request(path))[0] for path in ("/page", "/unlock", "/nothing", "/unlock")]
            assert asked == [200, 502, 404, 502]
            assert (await s.send_request("/page"))[0] == 200  # turned away once, so written twice
            reader, writer = await s.connect()
            writer.write(s.request("/page"))
            await wait_until(lambda: len(endpoint.seen) == 6)
            found = await stats(s)
            assert found["transactions.page.answered"] == "2|c"
            assert found["transactions.unlock.errored"] == "2|c"
            assert (found["transactions.page.sends"], found["transactions.unlock.sends"]) == ("4|c", "2|c")
            assert found["current"] == "1|g"
            writer.close()  # who leaves is no longer counted as there
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 0)
            assert (await stats(s))["current"] == "0|g"

    play(story())


def test_figures_count_refusals_that_the_decisions_never_see(tmp_path: Path) -> None:
    async def story() -> None:
        limits = {"sockets": 256, "memory_mb": 1}
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served), mgmt=MGMT, limits=limits) as s:
            s.dispatcher._inbound._bytes_left = 0
            assert (await s.send_request("/page"))[0] == 503
            assert (await stats(s))["transactions.page.deferred"] == "1|c"

    play(story())


def test_cluster_figures_come_from_the_decisions(tmp_path: Path) -> None:
    async def story() -> None:
        endpoints = [ScriptedWorker(st.served) for _ in range(4)]
        async with start_dispatcher(tmp_path, *endpoints, mgmt=MGMT) as s:
            listed = [st.target_entry(f"s-{n}", e.address) for n, e in enumerate(endpoints)]
            s.discovery.say(2, listed[0] | {"state": "draining"}, listed[1] | {"state": "removed"})
            await wait_until(lambda: s.dispatcher._destinations.revision == 2)
            s.dispatcher._decisions._policy.workers["s-2"].trust = 0.1
            found = await stats(s)
            assert (found["cluster_size"], found["cluster_unhealthy"]) == ("3|g", "2|g")

    play(story())


def test_drain_empties_connections_and_its_end_brings_them_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(phase, "NOTICE", timedelta(hours=1))  # the story says when it is over
    monkeypatch.setattr(phase, "TAKEN", timedelta(hours=1))

    async def story() -> None:
        endpoint = ScriptedWorker(st.served, st.silent)
        async with start_dispatcher(tmp_path, endpoint, mgmt=MGMT) as s:
            idle, busy = await s.connect(), await s.connect()
            assert (await s.exchange(idle, READY))[0] == 200
            assert (await s.exchange(busy, s.request()))[0] == 200
            assert [await call(s, "drain/start", "POST") for _ in range(2)] == [(200, "draining\n")] * 2
            assert (await call(s, "readiness"))[0] == 503
            assert (await s.exchange(await s.connect(), READY))[0] == 503
            # The front has not heard yet: connections are served as ever, and nothing is lost later on.
            busy[1].write(s.request())
            await wait_until(lambda: len(endpoint.seen) == 2)
            s.dispatcher._service._moves = s.dispatcher._clock.now()
            assert await asyncio.wait_for(idle[0].read(), LIMIT) == b""
            s.dispatcher._service._refuses = s.dispatcher._clock.now()
            status, headers, _ = await s.exchange(await s.connect(), s.request())
            assert (status, headers["connection"]) == (503, "close")
            endpoint.resume.set()
            assert b"200 OK" in (text := await asyncio.wait_for(busy[0].read(), LIMIT))
            assert b"connection: close" in text.lower()
            assert [await call(s, "drain/stop", "POST") for _ in range(2)] == [(200, "serving\n")] * 2
            again = await s.connect()
            assert (await s.exchange(again, READY))[0] == 200
            status, headers, _ = await s.exchange(again, s.request())
            assert (status, "connection" in headers) == (200, False)

    play(story())


def test_leaving_is_final_also_for_the_end_of_a_drain(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served), mgmt=MGMT) as s:
            await call(s, "drain/start", "POST")
            s.discovery.say(2)  # what else goes on goes on amid a drain
            await wait_until(lambda: s.dispatcher._destinations.revision == 2)
            usual = await s.connect()
            assert (await s.exchange(usual, s.request()))[0] == 200
            s.dispatcher.begin_shutdown()
            await asyncio.wait_for(s.dispatcher.wait_drained(), LIMIT)  # and it ends, as nobody is left
            assert await call(s, "drain/stop", "POST") == (409, "leaving\n")
            assert await call(s, "drain/start", "POST") == (200, "leaving\n")
            assert (await call(s, "readiness"))[0] == 503

    play(story())


@contextlib.asynccontextmanager
async def upgrade(
    folder: Path, *endpoints: ScriptedWorker, **changes: Any
) -> AsyncIterator[tuple[DispatcherFixture, DispatcherFixture, st.Discovery]]:
    """The old one, the new one that waits for its list, and the discovery that is to give it."""
    discovery, place = st.Discovery(), {"TMPDIR": str(folder)}
    changes["mgmt"] = MGMT
    async with (
        start_dispatcher(folder, *endpoints, tmpdir=folder, **changes) as old,
        st.listening(discovery) as where,
    ):
        changes["listen"] = f"127.0.0.1:{old.port}"
        new = Dispatcher(load(st.environment(folder, [], where, **changes) | place))
        starting = asyncio.create_task(new.start())
        try:
            await wait_until(lambda: len(discovery.asked) == 1)
            both = DispatcherFixture(new, old.port, discovery)
            both.ids = old.ids
            yield old, both, discovery
        finally:
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
            await new.close()


def test_upgrade_loses_no_connection_and_the_old_process_ends_what_it_has(tmp_path: Path) -> None:
    async def story() -> None:
        endpoint = ScriptedWorker(st.served, st.silent, st.served)
        async with upgrade(tmp_path, endpoint) as (old, new, discovery):
            idle, busy = await old.connect(), await old.connect()
            assert (await old.exchange(idle, old.request()))[0] == 200
            busy[1].write(text := old.request())
            await wait_until(lambda: len(endpoint.seen) == 2)
            # No yes before the list is current; the old one serves.
            assert (await call(new, "readiness"))[0] == 503
            assert (await old.exchange(await old.connect(), READY))[0] == 200
            listed = st.target_entry("s-0", endpoint.address)
            old.dispatcher._inbound._server.close()  # type: ignore[union-attr]  # waits in the queue now:
            waiting = await old.connect()
            waiting[1].write(old.request("/unlock"))
            discovery.say(7, listed, whole=True)
            await wait_until(lambda: new.dispatcher._service.ready)
            assert (await asyncio.wait_for(waiting[0].readline(), LIMIT)).startswith(b"HTTP/1.1 200")
            assert new.dispatcher._figures.text().count(":1|c") == 2  # answered and sent there
            await wait_until(lambda: old.dispatcher._service.succeeded)
            assert new.dispatcher._decisions._policy.firsts["page", None] > 0.9  # what was learned before
            assert await asyncio.wait_for(idle[0].read(), LIMIT) == b""
            assert (await call(old, "readiness"))[0] == 503
            assert new.dispatcher._endpoints.most == old.dispatcher._endpoints.most  # half for each
            # Its jobs still run, and a yes would be the sign to end it.
            assert await call(new, "readiness") == (503, "taking over\n")
            assert (await new.exchange(await new.connect(), READY))[0] == 200
            assert (await new.exchange(await new.connect(), text))[0] == 409  # nor do they run twice
            endpoint.resume.set()
            assert b"late" in await asyncio.wait_for(busy[0].read(), LIMIT)
            await asyncio.wait_for(old.dispatcher.wait_drained(), LIMIT)
            await old.dispatcher.close()
            await wait_until(lambda: new.dispatcher._endpoints.most > old.dispatcher._endpoints.most)
            assert (await call(new, "readiness"))[0] == 200
            assert (await new.send_request())[0] == 200

    play(story())


def test_next_process_that_dies_before_it_took_over_costs_the_old_one_nothing(tmp_path: Path) -> None:
    """It has the listening socket already, and was just waiting for its list."""

    async def story() -> None:
        async with upgrade(tmp_path, ScriptedWorker(st.served)) as (old, new, _):
            streams = await old.connect()
            assert (await old.exchange(streams, old.request()))[0] == 200
            await new.dispatcher.close()
            assert (await old.exchange(streams, old.request()))[0] == 200
            assert (await old.exchange(await old.connect(), READY))[0] == 200
            assert not old.dispatcher._service.succeeded

    play(story())


def test_upgrade_hands_on_the_address_where_hints_are_heard(tmp_path: Path) -> None:
    """The old one kept it for as long as its jobs ran, and the new one decided deaf and dumb."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.silent, st.served)
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind(("127.0.0.1", 0))
        peer.settimeout(LIMIT)
        free_port = find_free_port("127.0.0.1", kind=socket.SOCK_DGRAM)
        places = [f"127.0.0.1:{port}" for port in (free_port, peer.getsockname()[1])]
        settings = SETTINGS | {"balancers": 2, "bounds": SETTINGS["bounds"] | {"peers": True}}
        changes = {"settings": settings, "peer_listen": places[0], "peers": places}
        async with upgrade(tmp_path, endpoint, **changes) as (old, new, discovery):
            old_peers, new_peers = old.dispatcher._peers, new.dispatcher._peers
            busy = await old.connect()
            busy[1].write(old.request())
            assert len(await asyncio.to_thread(peer.recv, 512)) == 4  # word of that job
            host, _, port = places[0].partition(":")
            discovery.say(7, st.target_entry("s-0", endpoint.address), whole=True)
            await wait_until(lambda: old.dispatcher._service.succeeded)
            for serial in range(20):  # all of it reaches the new one alone, while the old one still runs
                peer.sendto(b"odd" + bytes([serial]), (host, int(port)))
            await wait_until(lambda: new_peers.dropped.total() == 20)
            assert not old_peers.dropped
            (held,) = new.dispatcher._decisions._policy.workers.values()
            assert sum(slots for _, _, slots in held.told) == 1  # the old one's job is in the books
            assert (await new.send_request())[0] == 200
            sent = [await asyncio.to_thread(peer.recv, 512) for _ in range(2)]
            endpoint.resume.set()
            ended = await asyncio.to_thread(peer.recv, 512)  # and the old one still tells of its end
            assert ended == sent[1]
            busy[1].close()
        peer.close()

    play(story())


def test_upgrade_does_not_wait_for_the_old_process_for_ever(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery is down as well: the list stays as old as the file, and the yes comes all the same."""
    monkeypatch.setattr(dispatcher, "CURRENT_LIMIT", timedelta(milliseconds=50))
    monkeypatch.setattr(dispatcher, "HANDOVER_LIMIT", timedelta(milliseconds=100))

    async def story() -> None:
        endpoint = ScriptedWorker(st.silent)
        async with upgrade(tmp_path, endpoint) as (old, new, _):
            busy = await old.connect()
            busy[1].write(old.request())
            async with asyncio.timeout(LIMIT):
                while (await call(new, "readiness"))[0] != 200:
                    await asyncio.sleep(0.02)
            busy[1].close()

    play(story())


def test_process_told_to_end_before_it_took_over_leaves_the_old_one_in_place(tmp_path: Path) -> None:
    async def story() -> None:
        async with upgrade(tmp_path, ScriptedWorker(st.served)) as (old, new, discovery):
            new.dispatcher.begin_shutdown()
            discovery.say(7, whole=True)
            await wait_until(lambda: new.dispatcher._destinations.revision == 7)
            await asyncio.sleep(0.1)
            assert old.dispatcher._service.ready and not old.dispatcher._service.succeeded
            assert (await old.send_request())[0] == 200

    play(story())


def test_second_address_in_use_is_an_error_not_shared(tmp_path: Path) -> None:
    """Calls would go to either process, as the kernel likes."""

    async def story() -> None:
        async with start_dispatcher(tmp_path, mgmt=MGMT) as first:
            with pytest.raises(OSError):
                async with start_dispatcher(tmp_path, mgmt=f"127.0.0.1:{first.dispatcher.mgmt}"):
                    pass

    play(story())


@pytest.mark.parametrize("text", ["{}", "[]", "", '{"ids": 3}', '{"ids": [], "decisions": {"form": 99}}'])
def test_unsound_memory_of_the_old_process_stops_no_start(tmp_path: Path, text: str) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served)) as s:
            s.dispatcher._recall(text.encode())
            assert (await s.send_request())[0] == 200

    play(story())


@pytest.mark.parametrize("left", ["nothing", "a file", "a dead socket", "a process that hangs"])
def test_what_a_process_left_behind_stops_no_start(
    tmp_path: Path, left: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handover, "ANSWER_LIMIT", timedelta(milliseconds=100))
    place = tmp_path / "rookwood-n0.sock"

    async def story() -> None:
        with socket.socket(socket.AF_UNIX) as peer:
            if left == "a file":
                place.write_text("")
            elif left != "nothing":
                peer.bind(str(place))
            if left == "a process that hangs":
                peer.listen()
            async with start_dispatcher(tmp_path, ScriptedWorker(st.served), tmpdir=tmp_path) as s:
                assert (await s.send_request())[0] == 200
                assert place.is_socket()  # its own: the next can take over from it
        assert not place.exists()

    play(story())


def test_process_at_another_address_is_no_upgrade(tmp_path: Path) -> None:
    async def story() -> None:
        other = start_dispatcher(tmp_path, tmpdir=tmp_path, listen="127.0.0.2:0")
        async with start_dispatcher(tmp_path, tmpdir=tmp_path) as first, other as second:
            assert second.dispatcher._service.ready and not first.dispatcher._service.succeeded

    play(story())


def test_time_of_a_slowly_written_request_runs_from_its_last_byte(tmp_path: Path) -> None:
    """Else who writes for long is taken for a repeat that is late already, and refused."""

    async def story() -> None:
        endpoint = ScriptedWorker(st.served)
        async with start_dispatcher(tmp_path, endpoint) as s:
            text, streams = s.request(timeout=8.0), await s.connect()
            streams[1].write(text[:-1])
            await asyncio.sleep(1)
            assert (await s.exchange(streams, text[-1:]))[0] == 200
            assert float(endpoint.headers[0]["request-timeout"]) > 7.1

    play(story())


def test_full_house_lets_go_of_who_stalls_not_of_who_writes_slowly(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.served), limits={"sockets": 128}) as s:
            text, slow = s.request(body=b"x" * 200), await s.connect()
            slow[1].write(text[:-100])
            crowd = []
            for n in range(90):  # twice the bound on this side
                crowd.append(await s.connect())
                crowd[-1][1].write(b"POST /pa")
                slow[1].write(text[n - 100 : n - 99])
                await asyncio.sleep(0.005)
            assert (await s.exchange(slow, text[-10:]))[0] == 200
            for _, writer in crowd:
                writer.close()

    play(story())


@pytest.mark.parametrize("sockets", [64, 128, 192, 384, 1024])
def test_descriptors_dealt_out_are_no_more_than_there_are(sockets: int) -> None:
    room = room_of(sockets)
    kept = BASE + CALL_ACCEPTS + room.callers + room.accepts + room.spare
    assert kept + 2 * room.half <= sockets
    assert room.half >= sockets // 4
