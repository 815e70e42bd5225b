"""The gateway on loopback sockets: two sites in one process, connected by a link that can lose frames.

The home site (named "near") has no worker unless a test starts one, so its requests wait and may be forwarded
to the away site (named "far").
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from rookwood.conf import load
from rookwood.gateway import frames, guests
from rookwood.gateway.gate import Gateway, front_of
from rookwood.gateway.lending import Lender
from rookwood.lab.keys import Authority
from rookwood.lab.net import Relay, Weather
from rookwood.settings import InvalidSettingError
from tests import stage as st
from tests.stage import LIMIT, DispatcherFixture, ScriptedWorker, start_dispatcher, target_entry, wait_until
from tests.test_stories import play

CLOSED = "127.0.0.1:9"  # no process listens on this port


@dataclass
class Site:
    """One dispatcher with its gateway."""

    stage: DispatcherFixture
    gateway: Gateway

    @property
    def stats(self) -> dict[str, float]:
        """The gateway's stats by name."""
        lines = (line.partition(":") for line in self.gateway._stats_lines())
        return {name.removeprefix("gateway."): float(value.partition("|")[0]) for name, _, value in lines}


@dataclass
class Sites:
    """Two linked sites and the faults of the link between them."""

    home: Site
    away: Site
    weather: Weather

    async def linked(self) -> Sites:
        """Wait until the away site lends slots."""
        await wait_until(lambda: self.home.gateway._outbound[0].peer.credit > 0)
        return self


def write_operator_file(folder: Path, site: str, name: str, peers: dict[str, str], *lines: str) -> Path:
    """Write an operator's file. `peers` maps the names of the other site's gateways to addresses."""
    folder.mkdir(parents=True, exist_ok=True)
    local_lines = [f"site {site}", "gateway {", "listen 127.0.0.1:0", f"name {name}", *lines, "}"]
    other = "far" if site == "near" else "near"
    peer_lines = [f"site {other} {{", *(f"peer {peer} {address}" for peer, address in peers.items()), "}"]
    config_path = folder / "rookwood.conf"
    config_path.write_text("\n".join(local_lines + peer_lines) + "\n")
    return config_path


@contextlib.asynccontextmanager
async def site(
    folder: Path, *endpoints: ScriptedWorker, peers: dict[str, str], name: str, lines: tuple[str, ...]
) -> AsyncIterator[Site]:
    site_name = "near" if name.startswith("n") else "far"
    config_path = write_operator_file(folder, site_name, name, peers, *lines)
    operator = load(config_path).operator
    gateways: list[Gateway] = []

    def make_gateway(context: Any) -> Gateway:
        gateways.append(front_of(operator, config_path)(context))
        return gateways[0]

    async with start_dispatcher(folder, *endpoints, name=name, extensions=(make_gateway,)) as stage:
        yield Site(stage, gateways[0])


PLAIN = ("plaintext yes",)


@contextlib.asynccontextmanager
async def sites(
    folder: Path,
    *endpoints: ScriptedWorker,
    home: tuple[ScriptedWorker, ...] = (),
    weather: Weather | None = None,
    lines: tuple[str, ...] = PLAIN,
) -> AsyncIterator[Sites]:
    """Start both sites and wait until they are linked; `endpoints` are the workers of the away site."""
    weather = weather or Weather()
    async with site(folder / "far", *endpoints, peers={"n0": CLOSED}, name="f0", lines=lines) as away:
        relay = Relay("127.0.0.1", away.gateway.port, weather, seed=1)
        await relay.server.start()
        try:
            peers = {"f0": f"127.0.0.1:{relay.server.port}"}
            async with site(folder / "near", *home, peers=peers, name="n0", lines=lines) as home_site:
                yield await Sites(home_site, away, weather).linked()
        finally:
            relay.server.close()


# ---- normal operation ----


@pytest.mark.parametrize("weather", [Weather(), Weather(loss=0.2, delay=0.002, jitter=0.004, double=0.2)])
@pytest.mark.parametrize("path", ["/page?k=7", "/unlock?k=7"])
def test_waiting_job_is_forwarded_and_its_result_returned(
    tmp_path: Path, path: str, weather: Weather
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(st.serves)
        async with sites(tmp_path, worker, weather=weather) as pair:
            extra_headers = b"Idempotency-Key: a\r\nIdempotency-Key: \xff\r\n"
            responses = await asyncio.gather(
                *(pair.home.stage.send_request(path, more=extra_headers) for _ in range(8))
            )
            results = [(status, body) for status, _, body in responses]
            # If the link loses frames, home may take an offer back. A job is forwarded once, so it gets 503.
            rejected = results.count((503, b"refused\n")) if weather.loss else 0
            assert results.count((200, b"page")) == 8 - rejected == len(worker.paths) and rejected < 8
            assert {headers["idempotency-key"] for headers in worker.headers} == {"a|\xff"}
            assert (
                len({headers["request-id"] for headers in worker.headers})
                == len(worker.paths)
                == 8 - rejected
            )
            assert pair.home.stats["far.f0.brought"] == 8 - rejected and pair.home.stats["far.f0.out"] == 0
            assert pair.away.stats["guests.served"] == 8 - rejected
            await wait_until(lambda: not pair.home.gateway._outbound[0]._jobs)  # no record is left

    play(scenario())


def test_job_that_home_can_place_is_not_forwarded(tmp_path: Path) -> None:
    async def scenario() -> None:
        home_worker, away_worker = ScriptedWorker(st.serves), ScriptedWorker(st.serves)
        async with sites(tmp_path, away_worker, home=(home_worker,)) as pair:
            for _ in range(5):
                assert (await pair.home.stage.send_request())[0] == 200
            assert (len(home_worker.paths), len(away_worker.paths)) == (5, 0)

    play(scenario())


def test_guest_is_not_forwarded_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The away site has no worker and a peer of its own: it hands the job back and does not forward it."""

    async def scenario() -> None:
        # Like a site that has just lost its workers; one without workers would lend nothing.
        monkeypatch.setattr(Lender, "update", lambda *_: 8.0)
        async with sites(tmp_path) as pair, st.listening(worker := ScriptedWorker(st.serves)) as address:
            request = asyncio.create_task(pair.home.stage.send_request("/unlock?k=7"))
            await wait_until(lambda: pair.home.stats["far.f0.promised"] >= 1)
            assert pair.away.stats["guests.promised_back"] >= 1
            assert all(outbound.counts["lent"] == 0 for outbound in pair.away.gateway._outbound)
            pair.home.stage.discovery.send_update(2, target_entry("n-1", address))
            assert (await request)[0] == 200 and len(worker.paths) == 1

    play(scenario())


# ---- partitions and restarts ----


@pytest.mark.parametrize("path", ["/page?k=7", "/unlock?k=7"])
def test_partition_returns_a_safe_job_and_never_runs_an_unsafe_one_twice(tmp_path: Path, path: str) -> None:
    async def scenario() -> None:
        away_worker, home_worker = ScriptedWorker(st.never_responds), ScriptedWorker(st.serves)
        async with sites(tmp_path, away_worker, lines=(*PLAIN, "lease 400ms")) as pair:
            request = asyncio.create_task(pair.home.stage.send_request(path, timeout=5.0))
            await wait_until(lambda: len(away_worker.paths) == 1)
            pair.weather.cut = True
            async with st.listening(home_worker) as address:
                pair.home.stage.discovery.send_update(2, target_entry("n-1", address))
                status, _, body = await request
            if path.startswith("/page"):
                assert (status, body) == (200, b"page")
                assert away_worker.closed.is_set(), (
                    "the attempt at the away site was closed before the one at home began"
                )
            else:
                assert status == 504 and home_worker.paths == []

    play(scenario())


def test_result_of_an_unsafe_job_arrives_after_the_partition_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(st.never_responds)
        async with sites(tmp_path, worker, lines=(*PLAIN, "lease 300ms", "reconnect 20ms")) as pair:
            request = asyncio.create_task(pair.home.stage.send_request("/unlock?k=7"))
            await wait_until(lambda: len(worker.paths) == 1)
            pair.weather.cut = True
            await wait_until(lambda: pair.home.stats["far.f0.up"] == 0)
            worker.resume.set()
            await wait_until(lambda: pair.away.stats["guests.served"] == 1)
            pair.weather.cut = False
            assert (await request)[::2] == (200, b"late") and len(worker.paths) == 1

    play(scenario())


def test_disconnected_client_frees_the_slot_at_the_away_site(tmp_path: Path) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(st.never_responds)
        async with sites(tmp_path, worker) as pair:
            streams = await pair.home.stage.connect()
            streams[1].write(pair.home.stage.request("/unlock?k=7"))
            await wait_until(lambda: len(worker.paths) == 1)
            streams[1].close()
            await asyncio.wait_for(worker.closed.wait(), LIMIT)
            await wait_until(lambda: pair.away.stats["guests.current"] == 0)

    play(scenario())


@pytest.mark.parametrize(("path", "status"), [("/page?k=7", 200), ("/unlock?k=7", 502)])
def test_restart_of_the_away_side_during_a_job(tmp_path: Path, path: str, status: int) -> None:
    """The new incarnation does not run jobs that were offered to the old one.

    An unsafe job fails at once, because no promise can arrive any more. A safe job runs at home once the old
    incarnation's lease has expired.
    """

    async def scenario() -> None:
        worker, home_worker = ScriptedWorker(st.never_responds), ScriptedWorker(st.serves)
        config_lines = (*PLAIN, "lease 400ms", "reconnect 20ms")
        async with site(
            tmp_path / "far", worker, peers={"n0": CLOSED}, name="f0", lines=config_lines
        ) as away:
            port = away.gateway.port
            peers = {"f0": f"127.0.0.1:{port}"}
            async with (
                site(tmp_path / "near", peers=peers, name="n0", lines=config_lines) as home,
                st.listening(home_worker) as address,
            ):
                await wait_until(lambda: home.gateway._outbound[0].peer.credit > 0)
                request = asyncio.create_task(home.stage.send_request(path, timeout=6.0))
                await wait_until(lambda: len(worker.paths) == 1)
                await away.stage.dispatcher.close()
                config_path = write_operator_file(
                    tmp_path / "again", "far", "f0", {"n0": CLOSED}, *config_lines
                )
                config_path.write_text(config_path.read_text().replace("127.0.0.1:0", f"127.0.0.1:{port}"))
                home.stage.discovery.send_update(2, target_entry("n-1", address))
                restarted_gateway = front_of(load(config_path).operator, config_path)
                async with start_dispatcher(tmp_path / "again", name="f0", extensions=(restarted_gateway,)):
                    assert (await request)[0] == status
                assert (len(worker.paths), len(home_worker.paths)) == (1, 1 if status == 200 else 0)

    play(scenario())


# ---- drains ----


def test_draining_worker_gets_no_job_before_its_own_site_learns_of_the_drain(tmp_path: Path) -> None:
    async def scenario() -> None:
        drained, other = ScriptedWorker(st.serves), ScriptedWorker(st.serves)
        async with sites(tmp_path, drained, other) as pair:
            discovery = pair.home.stage.discovery
            discovery.send_update(2, target_entry("s-0", drained.address) | {"az": "far"})
            discovery.send_update(3, target_entry("s-0", drained.address, "draining") | {"az": "far"})
            await wait_until(lambda: pair.away.gateway._received_advice.stopped_since("s-0") is not None)
            responses = await asyncio.gather(
                *(pair.home.stage.send_request(f"/page?k={n}") for n in range(12))
            )
            assert {status for status, _, _ in responses} == {200}
            assert (len(drained.paths), len(other.paths)) == (0, 12)
            discovery.send_update(4, target_entry("s-0", drained.address) | {"az": "far"})
            await wait_until(lambda: pair.away.gateway._received_advice.stopped_since("s-0") is None)
            await asyncio.gather(*(pair.home.stage.send_request(f"/page?k={n}") for n in range(12)))
            assert drained.paths, "once the advice is withdrawn, the worker is used again"

    play(scenario())


def test_draining_gateway_lends_nothing_and_finishes_its_guests(tmp_path: Path) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(st.never_responds)
        async with sites(tmp_path, worker) as pair:
            request = asyncio.create_task(pair.home.stage.send_request("/unlock?k=7"))
            await wait_until(lambda: len(worker.paths) == 1)
            pair.away.stage.dispatcher.begin_shutdown()
            await wait_until(lambda: pair.home.gateway._outbound[0].peer.credit == 0)
            drain = asyncio.create_task(pair.away.stage.dispatcher.wait_drained())
            worker.resume.set()
            assert (await request)[0] == 200
            await asyncio.wait_for(drain, LIMIT)

    play(scenario())


# ---- invalid peers ----


@contextlib.asynccontextmanager
async def peer_sending(data: bytes) -> AsyncIterator[str]:
    """The address of a peer that sends these bytes and nothing else."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        with contextlib.suppress(OSError):
            while await reader.read(4096):
                pass
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


HELLO = frames.Hello(frames.VERSION, "far", "f0", 5, 0)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "nothing was received for 1.0 s"),
        (frames.encoded(frames.Hello(99, "far", "f0", 5, 0)), "uses protocol version 99"),
        (frames.encoded(frames.Hello(frames.VERSION, "far", "f7", 5, 0)), "the peer is 'f7' of 'far'"),
        (frames.encoded(frames.Refusal("go away")), "the peer rejected the connection: go away"),
        (b"HTTP/1.1 400 Bad Request\r\n\r\n", "a frame of 1213486160 bytes"),
        (frames.encoded(HELLO) + frames.encoded(frames.Ended(1, "maybe")), "an unknown outcome 'maybe'"),
        (frames.encoded(HELLO) + frames.encoded(frames.Ack(1)), "the peer may not send the message 'ack'"),
    ],
)
def test_invalid_peer_is_reported_and_local_requests_succeed(
    tmp_path: Path, data: bytes, reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        async with (
            peer_sending(data) as address,
            site(tmp_path, ScriptedWorker(st.serves), peers={"f0": address}, name="n0", lines=PLAIN) as home,
        ):
            await wait_until(lambda: reason in home.gateway._outbound[0]._reason)
            assert (await home.stage.send_request())[0] == 200

    play(scenario())


@pytest.mark.parametrize(
    ("hello", "reason"),
    [
        (frames.Hello(99, "near", "n0", 5, 0), "protocol version 99 is not supported"),
        (
            frames.Hello(frames.VERSION, "near", "n9", 5, 0),
            "'n9' of site 'near' is not allowed by the operator's file",
        ),
        (
            frames.Hello(frames.VERSION, "moon", "n0", 5, 0),
            "'n0' of site 'moon' is not allowed by the operator's file",
        ),
        (frames.Ack(1), "the first message must be a hello"),
    ],
)
def test_unknown_home_gets_only_a_refusal_with_a_reason(
    tmp_path: Path, hello: frames.Frame, reason: str
) -> None:
    async def scenario() -> None:
        async with site(tmp_path, peers={"n0": CLOSED}, name="f0", lines=PLAIN) as away:
            reader, writer = await asyncio.open_connection("127.0.0.1", away.gateway.port)
            writer.write(frames.encoded(hello))
            (refusal,) = frames.Splitter(4096).feed(await asyncio.wait_for(reader.read(), LIMIT))
            assert isinstance(refusal, frames.Refusal) and reason in refusal.why
            writer.close()

    play(scenario())


@pytest.mark.parametrize("fault", [None, "name", "authority", "expired"])
def test_certificates_on_both_sides(tmp_path: Path, fault: str | None) -> None:
    async def scenario() -> None:
        authority, other = Authority(tmp_path), Authority(tmp_path, "another authority")
        far_keys = tuple(authority.issue("f0"))
        if fault == "expired":
            keys = tuple(authority.issue("n0", lasts=timedelta(minutes=-1)))
            config_path = write_operator_file(tmp_path / "near", "near", "n0", {"f0": CLOSED}, *keys)
            with pytest.raises(InvalidSettingError, match=r"certificate: .*n0\.pem expired at"):
                front_of(load(config_path).operator, config_path)
            return
        signer = other if fault == "authority" else authority
        near_keys = tuple(signer.issue("n7" if fault == "name" else "n0"))
        if fault == "name":
            near_keys = tuple(line.replace("n0.", "n7.") for line in near_keys)
        worker = ScriptedWorker(st.serves)
        async with site(tmp_path / "far", worker, peers={"n0": CLOSED}, name="f0", lines=far_keys) as away:
            peers = {"f0": f"127.0.0.1:{away.gateway.port}"}
            async with site(tmp_path / "near", peers=peers, name="n0", lines=near_keys) as home:
                outbound = home.gateway._outbound[0]
                if fault is None:
                    assert (await home.stage.send_request("/unlock?k=7"))[0] == 200 and outbound.state == "up"
                    home.gateway.reload()  # new connections use the new keys; open ones continue
                    assert (await home.stage.send_request("/unlock?k=8"))[0] == 200
                else:
                    await wait_until(lambda: outbound._reason != "")
                    assert outbound.peer.credit == 0 and away.stats["guests.homes"] == 0

    play(scenario())


def test_home_that_sends_invalid_frames_is_disconnected_and_others_are_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(st.serves)
        async with sites(tmp_path, worker) as pair:
            for data in (b"\xff" * 64, frames.PREFIX.pack(3) + b"\x93\x01\x02", frames.PREFIX.pack(0)):
                reader, writer = await asyncio.open_connection("127.0.0.1", pair.away.gateway.port)
                writer.write(frames.encoded(frames.Hello(frames.VERSION, "near", "n0", 77, 0)) + data)
                await asyncio.wait_for(reader.read(), LIMIT)
                writer.close()
            assert (await pair.home.stage.send_request())[0] == 200

    play(scenario())


def test_guest_is_handed_back_after_the_hold_limit(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The away site's worker is busy with local jobs, so the guest is handed back instead of waiting."""

    async def scenario() -> None:
        monkeypatch.setattr(guests, "MAX_HOLD_SHARE", 0.003)
        worker, home_worker = ScriptedWorker(st.never_responds), ScriptedWorker(st.serves)
        async with sites(tmp_path, worker) as pair, st.listening(home_worker) as address:
            monkeypatch.setattr(Lender, "update", lambda *_: 8.0)
            local_requests = [
                asyncio.create_task(pair.away.stage.send_request(f"/unlock?k={n}")) for n in range(8)
            ]
            await wait_until(lambda: pair.away.gateway._context.decisions.site_load().held_slots > 0)
            request = asyncio.create_task(pair.home.stage.send_request("/unlock?k=99"))
            await wait_until(lambda: pair.home.stats["far.f0.promised"] == 1)
            pair.home.stage.discovery.send_update(2, target_entry("n-1", address))
            assert (await request)[0] == 200 and home_worker.paths == ["/unlock?k=99"]
            worker.resume.set()
            await asyncio.gather(*local_requests)

    play(scenario())
