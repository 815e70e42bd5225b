"""Hints between dispatchers: as bytes, in datagrams and on the simulator's wire. Invalid ones are dropped."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from rookwood import interface as api
from rookwood.hints import HINT_BYTES, HintCodec, InvalidHintError, mark_of
from rookwood.lab.free_ports import find_free_port
from rookwood.net.clock import Clock
from rookwood.net.destinations import Address, DestinationUpdate, Endpoint, State
from rookwood.net.peers import Peers
from rookwood.net.policy_driver import PolicyDriver
from tests.test_wire import PROFILE, hello, serve
from tests.world import settings

HOST = "127.0.0.1"
NAMES = [f"s-{n}" for n in range(60)]


def codec(names: list[str] = NAMES) -> HintCodec:
    """Return a codec that knows these workers."""
    result = HintCodec()
    result.add_workers(names, is_full=True)
    return result


@profile(derandomize=True, max_examples=100, deadline=None)
@given(st.sampled_from(NAMES), st.sampled_from(api.HintKind), st.sampled_from([1.0, 2.0, 4.0, 8.0]))
def test_hint_survives_encoding_and_decoding(name: str, kind: api.HintKind, slots: float) -> None:
    hint = api.Hint(name, kind, slots)
    assert codec().decode(codec().encode((hint, hint))) == (hint, hint)


@profile(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_rejected(data: bytes) -> None:
    with contextlib.suppress(InvalidHintError):
        assert {hint.worker for hint in codec().decode(data)} <= set(NAMES)


def test_hints_about_workers_that_share_a_mark_or_are_not_listed_are_invalid() -> None:
    seen: dict[bytes, str] = {}
    for n in range(100_000):
        if (first := seen.setdefault(mark_of(f"w{n}"), f"w{n}")) != f"w{n}":
            break
    both = codec([first, f"w{n}", "other"])
    for name in (first, f"w{n}"):
        with pytest.raises(InvalidHintError):
            both.decode(both.encode([api.Hint(name, api.HintKind.SENT, 1.0)]))
    both.add_workers([first], is_full=True)
    assert both.decode(both.encode([api.Hint(first, api.HintKind.SENT, 1.0)]))[0].worker == first
    with pytest.raises(InvalidHintError):
        both.decode(both.encode([api.Hint("other", api.HintKind.SENT, 1.0)]))


def test_hints_pass_over_the_wire_and_invalid_ones_are_ignored() -> None:
    settings_object = PROFILE | {"balancers": 3, "bounds": {"attempts-cap": 3, "peers": True}}
    request = "ASK 11 240000 1 0 - - read 0 0 - -\n"
    lines = serve(hello(settings_object) + f"FRAME 1001000\nFOR dispatcher/3\n{request}OVER_TO_YOU\n")
    payload = codec(["10.0.0.1:80"]).encode([api.Hint("10.0.0.1:80", api.HintKind.SENT, 1.0)]).hex()
    assert any(line.startswith("NOTIFY ") and line.endswith(f" {payload}") for line in lines)
    messages = "".join(f"NOTE_FROM 2 {data}\n" for data in (payload, "00", "-", "ff" * 256))
    lines = serve(hello(settings_object) + f"FRAME 1001000\nFOR dispatcher/3\n{messages}OVER_TO_YOU\n")
    assert lines.count("END") == 2 and not [line for line in lines if line.startswith("FATAL")]


class RecordingDriver(PolicyDriver):
    """A driver that records the hints it receives."""

    def __init__(self) -> None:
        super().__init__(settings(peers=True), 1, Clock())
        self.hints: list[tuple[int, api.Hint]] = []
        self.received = asyncio.Event()

    def receive_hints(self, sender: int, hints: tuple[api.Hint, ...]) -> None:
        self.hints += [(sender, hint) for hint in hints]
        self.received.set()


def full_list(*names: str) -> DestinationUpdate:
    return DestinationUpdate(
        1, True, tuple(Endpoint(n, "h:1", State.UP, "", "", 0, 1.0, None) for n in names)
    )


def free_address() -> Address:
    return Address(HOST, find_free_port(HOST, kind=socket.SOCK_DGRAM))


def test_hints_pass_between_two_dispatchers_and_invalid_datagrams_are_dropped() -> None:
    async def scenario() -> None:
        addresses = [free_address(), free_address()]
        drivers = [RecordingDriver(), RecordingDriver()]
        peers = [
            Peers(driver, address, addresses) for driver, address in zip(drivers, addresses, strict=True)
        ]
        for exchange in peers:
            await exchange.start()
            exchange.add_workers(full_list(*NAMES), False)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            bad = codec().encode([api.Hint("s-1", api.HintKind.FAILED, 1.0)])
            unknown_sender.sendto(bad, (addresses[1].host, addresses[1].port))
        for data in (b"", b"x" * 300, b"\xff" * HINT_BYTES, b"\x49" + b"??"):
            peers[1].datagram_received(data, (addresses[0].host, addresses[0].port))
        drivers[0].send_hints((1,), [api.Hint("s-2", api.HintKind.SENT, 4.0)])
        async with asyncio.timeout(5):
            await drivers[1].received.wait()
            while not peers[1].dropped["of a stranger"]:
                await asyncio.sleep(0)
        assert drivers[1].hints == [(0, api.Hint("s-2", api.HintKind.SENT, 4.0))]
        assert peers[1].dropped.total() == 5
        assert not drivers[0].hints  # datagrams that come back to their sender are ignored
        for exchange in peers:
            await exchange.close()

    asyncio.run(scenario())


def test_dispatcher_sends_hints_once_its_address_is_free() -> None:
    """During an upgrade the old process still holds the address. Only hints are lost meanwhile."""

    async def scenario() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            address, other = Address("127.0.0.1", taken.getsockname()[1]), free_address()
            drivers = [RecordingDriver(), RecordingDriver()]
            late = Peers(drivers[0], address, [address, other], retry_delay=timedelta(milliseconds=1))
            early = Peers(drivers[1], other, [address, other])
            for exchange in (late, early):
                await exchange.start()
                exchange.add_workers(full_list(*NAMES), False)
            drivers[0].send_hints((1,), [api.Hint("s-2", api.HintKind.SENT, 4.0)])
        async with asyncio.timeout(5):
            while not drivers[1].hints:  # the address is free from here on
                drivers[0].send_hints((1,), [api.Hint("s-3", api.HintKind.SENT, 4.0)])
                await asyncio.sleep(0)
        assert drivers[1].hints[0] == (0, api.Hint("s-3", api.HintKind.SENT, 4.0))
        for exchange in (late, early):
            await exchange.close()

    asyncio.run(scenario())
