"""Operating a dispatcher: the management address, stats, drains and upgrades."""

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
from rookwood.net.connection_limits import MANAGEMENT_ACCEPT_BATCH, RESERVED_DESCRIPTORS, divide_descriptors
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

MANAGEMENT_ADDRESS = "127.0.0.1:0"


async def call(s: DispatcherFixture, path: str, method: str = "GET") -> tuple[int, str]:
    """Send a management call; returns the status and the body of the response."""
    assert s.dispatcher.management_port
    reader, writer = await asyncio.open_connection("127.0.0.1", s.dispatcher.management_port)
    writer.write(f"{method} /ops/{path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    text = (await asyncio.wait_for(reader.read(), LIMIT)).decode()
    writer.close()
    return int(text.split()[1]), text.partition("\r\n\r\n")[2]


async def stats(s: DispatcherFixture) -> dict[str, str]:
    """The values of /ops/stats, each with its type, by name."""
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
def test_management_address_answers_each_call(tmp_path: Path, method: str, path: str, status: int) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves), mgmt=MANAGEMENT_ADDRESS) as s:
            assert (await call(s, path, method))[0] == status

    play(story())


@pytest.mark.parametrize("data", [b"", b"GET /ops/sta", b"POST /ops/drain/start HTTP/1.1\r\nHost: x\r\n"])
def test_stalled_management_connections_delay_no_call_and_are_closed(
    tmp_path: Path, data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """There are more of them than allowed: the oldest are closed at once, the others on their timeout."""

    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves), mgmt=MANAGEMENT_ADDRESS) as s:
            assert s.dispatcher.management_port
            stalled: list[Streams] = []
            for _ in range(2 * s.dispatcher._management._limits.management_connections):
                stalled.append(await asyncio.open_connection("127.0.0.1", s.dispatcher.management_port))
                stalled[-1][1].write(data)
            assert (await call(s, "readiness"))[0] == 200
            assert (
                len(s.dispatcher._management._connections)
                <= s.dispatcher._management._limits.management_connections
            )
            for reader, writer in stalled:
                assert await asyncio.wait_for(reader.read(), LIMIT) == b""
                writer.close()
            assert (await call(s, "readiness"))[0] == 200  # an incomplete call started no drain

    play(story())


def test_stats_count_the_outcomes_of_jobs(tmp_path: Path) -> None:
    async def story() -> None:
        scripts = [st.serves, st.status(500), st.status(500), st.status(503, "Not-Started: 1"), st.serves]
        worker = ScriptedWorker(*scripts, st.never_responds)
        async with start_dispatcher(tmp_path, worker, mgmt=MANAGEMENT_ADDRESS) as s:
            first = await stats(s)
            assert {v for k, v in first.items() if k.startswith("transactions.")} == {"0|c"}
            assert len([k for k in first if k.startswith("transactions.")]) == 8
            gauges = [first[name] for name in ("current", "cluster_size", "cluster_unhealthy")]
            assert gauges == ["0|g", "1|g", "0|g"]
            statuses = [
                (await s.send_request(path))[0] for path in ("/page", "/unlock", "/nothing", "/unlock")
            ]
            assert statuses == [200, 502, 404, 502]
            assert (await s.send_request("/page"))[0] == 200  # rejected by the worker once, so sent twice
            reader, writer = await s.connect()
            writer.write(s.request("/page"))
            await wait_until(lambda: len(worker.paths) == 6)
            values = await stats(s)
            assert values["transactions.page.answered"] == "2|c"
            assert values["transactions.unlock.errored"] == "2|c"
            assert (values["transactions.page.sends"], values["transactions.unlock.sends"]) == ("4|c", "2|c")
            assert values["current"] == "1|g"
            writer.close()  # the request of a client that disconnects is no longer counted as open
            await wait_until(lambda: s.dispatcher._decisions.open_requests == 0)
            assert (await stats(s))["current"] == "0|g"

    play(story())


def test_stats_count_rejections_that_do_not_reach_the_policy(tmp_path: Path) -> None:
    async def story() -> None:
        limits = {"sockets": 256, "memory_mb": 1}
        async with start_dispatcher(
            tmp_path, ScriptedWorker(st.serves), mgmt=MANAGEMENT_ADDRESS, limits=limits
        ) as s:
            s.dispatcher._inbound._body_bytes_left = 0
            assert (await s.send_request("/page"))[0] == 503
            assert (await stats(s))["transactions.page.deferred"] == "1|c"

    play(story())


def test_cluster_stats_come_from_the_policy(tmp_path: Path) -> None:
    async def story() -> None:
        workers = [ScriptedWorker(st.serves) for _ in range(4)]
        async with start_dispatcher(tmp_path, *workers, mgmt=MANAGEMENT_ADDRESS) as s:
            listed = [st.target_entry(f"s-{n}", e.address) for n, e in enumerate(workers)]
            s.discovery.send_update(2, listed[0] | {"state": "draining"}, listed[1] | {"state": "removed"})
            await wait_until(lambda: s.dispatcher._destinations.revision == 2)
            s.dispatcher._decisions._policy.workers["s-2"].trust = 0.1
            values = await stats(s)
            assert (values["cluster_size"], values["cluster_unhealthy"]) == ("3|g", "2|g")

    play(story())


def test_drain_closes_connections_and_its_end_allows_them_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(phase, "CLOSE_DELAY", timedelta(hours=1))  # the test sets the end of the delay
    monkeypatch.setattr(phase, "REJECT_DELAY", timedelta(hours=1))

    async def story() -> None:
        worker = ScriptedWorker(st.serves, st.never_responds)
        async with start_dispatcher(tmp_path, worker, mgmt=MANAGEMENT_ADDRESS) as s:
            idle, busy = await s.connect(), await s.connect()
            assert (await s.exchange(idle, READY))[0] == 200
            assert (await s.exchange(busy, s.request()))[0] == 200
            assert [await call(s, "drain/start", "POST") for _ in range(2)] == [(200, "draining\n")] * 2
            assert (await call(s, "readiness"))[0] == 503
            assert (await s.exchange(await s.connect(), READY))[0] == 503
            # The load balancer may not have reacted yet, so connections are still served.
            busy[1].write(s.request())
            await wait_until(lambda: len(worker.paths) == 2)
            s.dispatcher._service._closing_from = s.dispatcher._clock.now()
            assert await asyncio.wait_for(idle[0].read(), LIMIT) == b""
            s.dispatcher._service._rejecting_from = s.dispatcher._clock.now()
            status, headers, _ = await s.exchange(await s.connect(), s.request())
            assert (status, headers["connection"]) == (503, "close")
            worker.resume.set()
            assert b"200 OK" in (text := await asyncio.wait_for(busy[0].read(), LIMIT))
            assert b"connection: close" in text.lower()
            assert [await call(s, "drain/stop", "POST") for _ in range(2)] == [(200, "serving\n")] * 2
            again = await s.connect()
            assert (await s.exchange(again, READY))[0] == 200
            status, headers, _ = await s.exchange(again, s.request())
            assert (status, "connection" in headers) == (200, False)

    play(story())


def test_shutdown_is_final_even_if_a_drain_is_ended(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves), mgmt=MANAGEMENT_ADDRESS) as s:
            await call(s, "drain/start", "POST")
            s.discovery.send_update(2)  # other work goes on during a drain
            await wait_until(lambda: s.dispatcher._destinations.revision == 2)
            usual = await s.connect()
            assert (await s.exchange(usual, s.request()))[0] == 200
            s.dispatcher.begin_shutdown()
            await asyncio.wait_for(s.dispatcher.wait_drained(), LIMIT)  # it ends, since no client is left
            assert await call(s, "drain/stop", "POST") == (409, "leaving\n")
            assert await call(s, "drain/start", "POST") == (200, "leaving\n")
            assert (await call(s, "readiness"))[0] == 503

    play(story())


@contextlib.asynccontextmanager
async def upgrade(
    folder: Path, *workers: ScriptedWorker, **changes: Any
) -> AsyncIterator[tuple[DispatcherFixture, DispatcherFixture, st.Discovery]]:
    """The old process, the new one that waits for its list, and the discovery that has to send it."""
    discovery, socket_folder = st.Discovery(), {"TMPDIR": str(folder)}
    changes["mgmt"] = MANAGEMENT_ADDRESS
    async with (
        start_dispatcher(folder, *workers, tmpdir=folder, **changes) as old,
        st.listening(discovery) as discovery_address,
    ):
        changes["listen"] = f"127.0.0.1:{old.port}"
        new = Dispatcher(load(st.environment(folder, [], discovery_address, **changes) | socket_folder))
        starting = asyncio.create_task(new.start())
        try:
            await wait_until(lambda: len(discovery.targets) == 1)
            new_fixture = DispatcherFixture(new, old.port, discovery)
            new_fixture._request_numbers = old._request_numbers
            yield old, new_fixture, discovery
        finally:
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
            await new.close()


def test_upgrade_loses_no_connection_and_the_old_process_finishes_its_requests(tmp_path: Path) -> None:
    async def story() -> None:
        worker = ScriptedWorker(st.serves, st.never_responds, st.serves)
        async with upgrade(tmp_path, worker) as (old, new, discovery):
            idle, busy = await old.connect(), await old.connect()
            assert (await old.exchange(idle, old.request()))[0] == 200
            busy[1].write(text := old.request())
            await wait_until(lambda: len(worker.paths) == 2)
            # The new process is not ready before it has the current list; the old one serves.
            assert (await call(new, "readiness"))[0] == 503
            assert (await old.exchange(await old.connect(), READY))[0] == 200
            listed = st.target_entry("s-0", worker.address)
            old.dispatcher._inbound._server.close()  # type: ignore[union-attr]  # from now on clients wait
            waiting = await old.connect()
            waiting[1].write(old.request("/unlock"))
            discovery.send_update(7, listed, full=True)
            await wait_until(lambda: new.dispatcher._service.is_ready)
            assert (await asyncio.wait_for(waiting[0].readline(), LIMIT)).startswith(b"HTTP/1.1 200")
            assert (
                new.dispatcher._stats.text().count(":1|c") == 2
            )  # one request served and sent by the new process
            await wait_until(lambda: old.dispatcher._service.is_handed_over)
            assert (
                new.dispatcher._decisions._policy.firsts["page", None] > 0.9
            )  # the learned state was passed on
            assert await asyncio.wait_for(idle[0].read(), LIMIT) == b""
            assert (await call(old, "readiness"))[0] == 503
            # Each process may open half of the connections.
            assert new.dispatcher._endpoints.max_connections == old.dispatcher._endpoints.max_connections
            # Jobs of the old process still run, and it would be ended once the new one reports readiness.
            assert await call(new, "readiness") == (503, "taking over\n")
            assert (await new.exchange(await new.connect(), READY))[0] == 200
            assert (await new.exchange(await new.connect(), text))[
                0
            ] == 409  # a job of the old process does not run twice
            worker.resume.set()
            assert b"late" in await asyncio.wait_for(busy[0].read(), LIMIT)
            await asyncio.wait_for(old.dispatcher.wait_drained(), LIMIT)
            await old.dispatcher.close()
            await wait_until(
                lambda: new.dispatcher._endpoints.max_connections > old.dispatcher._endpoints.max_connections
            )
            assert (await call(new, "readiness"))[0] == 200
            assert (await new.send_request())[0] == 200

    play(story())


def test_new_process_that_ends_before_the_takeover_leaves_the_old_one_untouched(tmp_path: Path) -> None:
    """It has received the listening socket already, and waits for its list."""

    async def story() -> None:
        async with upgrade(tmp_path, ScriptedWorker(st.serves)) as (old, new, _):
            streams = await old.connect()
            assert (await old.exchange(streams, old.request()))[0] == 200
            await new.dispatcher.close()
            assert (await old.exchange(streams, old.request()))[0] == 200
            assert (await old.exchange(await old.connect(), READY))[0] == 200
            assert not old.dispatcher._service.is_handed_over

    play(story())


def test_upgrade_passes_on_the_socket_that_receives_hints(tmp_path: Path) -> None:
    """If the old process kept the socket until its jobs end, the new one would get no hints until then."""

    async def story() -> None:
        worker = ScriptedWorker(st.never_responds, st.serves)
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind(("127.0.0.1", 0))
        peer.settimeout(LIMIT)
        free_port = find_free_port("127.0.0.1", kind=socket.SOCK_DGRAM)
        addresses = [f"127.0.0.1:{port}" for port in (free_port, peer.getsockname()[1])]
        settings = SETTINGS | {"balancers": 2, "bounds": SETTINGS["bounds"] | {"peers": True}}
        changes = {"settings": settings, "peer_listen": addresses[0], "peers": addresses}
        async with upgrade(tmp_path, worker, **changes) as (old, new, discovery):
            old_peers, new_peers = old.dispatcher._peers, new.dispatcher._peers
            busy = await old.connect()
            busy[1].write(old.request())
            assert len(await asyncio.to_thread(peer.recv, 512)) == 4  # a hint about that job
            host, _, port = addresses[0].partition(":")
            discovery.send_update(7, st.target_entry("s-0", worker.address), full=True)
            await wait_until(lambda: old.dispatcher._service.is_handed_over)
            for number in range(20):  # all of them reach only the new process, while the old one still runs
                peer.sendto(b"odd" + bytes([number]), (host, int(port)))
            await wait_until(lambda: new_peers.dropped.total() == 20)
            assert not old_peers.dropped
            (state,) = new.dispatcher._decisions._policy.workers.values()
            assert sum(slots for _, _, slots in state.tracked_jobs) == 1  # the old process's job is counted
            assert (await new.send_request())[0] == 200
            sent = [await asyncio.to_thread(peer.recv, 512) for _ in range(2)]
            worker.resume.set()
            ended = await asyncio.to_thread(peer.recv, 512)  # the old process still sends hints
            assert ended == sent[1]
            busy[1].close()
        peer.close()

    play(story())


def test_upgrade_waits_for_the_old_process_only_for_a_limited_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery is down as well; the new process becomes ready with the cached list."""
    monkeypatch.setattr(dispatcher, "UP_TO_DATE_TIMEOUT", timedelta(milliseconds=50))
    monkeypatch.setattr(dispatcher, "HANDOVER_TIMEOUT", timedelta(milliseconds=100))

    async def story() -> None:
        worker = ScriptedWorker(st.never_responds)
        async with upgrade(tmp_path, worker) as (old, new, _):
            busy = await old.connect()
            busy[1].write(old.request())
            async with asyncio.timeout(LIMIT):
                while (await call(new, "readiness"))[0] != 200:
                    await asyncio.sleep(0.02)
            busy[1].close()

    play(story())


def test_new_process_that_shuts_down_before_the_takeover_leaves_the_old_one_in_place(tmp_path: Path) -> None:
    async def story() -> None:
        async with upgrade(tmp_path, ScriptedWorker(st.serves)) as (old, new, discovery):
            new.dispatcher.begin_shutdown()
            discovery.send_update(7, full=True)
            await wait_until(lambda: new.dispatcher._destinations.revision == 7)
            await asyncio.sleep(0.1)
            assert old.dispatcher._service.is_ready and not old.dispatcher._service.is_handed_over
            assert (await old.send_request())[0] == 200

    play(story())


def test_management_address_in_use_is_an_error_and_not_shared(tmp_path: Path) -> None:
    """Otherwise the kernel would choose which process receives a call."""

    async def story() -> None:
        async with start_dispatcher(tmp_path, mgmt=MANAGEMENT_ADDRESS) as first:
            with pytest.raises(OSError):
                async with start_dispatcher(tmp_path, mgmt=f"127.0.0.1:{first.dispatcher.management_port}"):
                    pass

    play(story())


@pytest.mark.parametrize("text", ["{}", "[]", "", '{"ids": 3}', '{"ids": [], "decisions": {"form": 99}}'])
def test_invalid_learned_state_does_not_prevent_a_start(tmp_path: Path, text: str) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves)) as s:
            s.dispatcher._restore_learned_state(text.encode())
            assert (await s.send_request())[0] == 200

    play(story())


@pytest.mark.parametrize("left", ["nothing", "a file", "a dead socket", "a process that hangs"])
def test_remains_of_an_earlier_process_do_not_prevent_a_start(
    tmp_path: Path, left: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(handover, "RESPONSE_TIMEOUT", timedelta(milliseconds=100))
    socket_path = tmp_path / "rookwood-n0.sock"

    async def story() -> None:
        with socket.socket(socket.AF_UNIX) as peer:
            if left == "a file":
                socket_path.write_text("")
            elif left != "nothing":
                peer.bind(str(socket_path))
            if left == "a process that hangs":
                peer.listen()
            async with start_dispatcher(tmp_path, ScriptedWorker(st.serves), tmpdir=tmp_path) as s:
                assert (await s.send_request())[0] == 200
                assert socket_path.is_socket()  # its own, over which the next process can take over
        assert not socket_path.exists()

    play(story())


def test_process_at_another_address_is_not_upgraded(tmp_path: Path) -> None:
    async def story() -> None:
        other = start_dispatcher(tmp_path, tmpdir=tmp_path, listen="127.0.0.2:0")
        async with start_dispatcher(tmp_path, tmpdir=tmp_path) as first, other as second:
            assert second.dispatcher._service.is_ready and not first.dispatcher._service.is_handed_over

    play(story())


def test_timeout_of_a_slowly_written_request_counts_from_its_last_byte(tmp_path: Path) -> None:
    """Otherwise a request that is written slowly would be rejected as a late retry."""

    async def story() -> None:
        worker = ScriptedWorker(st.serves)
        async with start_dispatcher(tmp_path, worker) as s:
            text, streams = s.request(timeout=8.0), await s.connect()
            streams[1].write(text[:-1])
            await asyncio.sleep(1)
            assert (await s.exchange(streams, text[-1:]))[0] == 200
            assert float(worker.headers[0]["request-timeout"]) > 7.1

    play(story())


def test_at_the_limit_stalled_clients_are_closed_before_slow_ones(tmp_path: Path) -> None:
    async def story() -> None:
        async with start_dispatcher(tmp_path, ScriptedWorker(st.serves), limits={"sockets": 128}) as s:
            text, slow = s.request(body=b"x" * 200), await s.connect()
            slow[1].write(text[:-100])
            stalled = []
            for n in range(90):  # twice the limit for clients
                stalled.append(await s.connect())
                stalled[-1][1].write(b"POST /pa")
                slow[1].write(text[n - 100 : n - 99])
                await asyncio.sleep(0.005)
            assert (await s.exchange(slow, text[-10:]))[0] == 200
            for _, writer in stalled:
                writer.close()

    play(story())


@pytest.mark.parametrize("sockets", [64, 128, 192, 384, 1024])
def test_no_more_descriptors_are_divided_than_there_are(sockets: int) -> None:
    limits = divide_descriptors(sockets)
    others = (
        RESERVED_DESCRIPTORS
        + MANAGEMENT_ACCEPT_BATCH
        + limits.management_connections
        + limits.accept_batch
        + limits.excess_clients
    )
    assert others + 2 * limits.per_side <= sockets
    assert limits.per_side >= sockets // 4
