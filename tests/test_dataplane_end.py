"""The shutdown of a dispatcher: clients send requests throughout the time from SIGTERM to its end."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from unittest import mock

from aiohttp import web
from multidict import CIMultiDict

from rookwood.cluster.settings import Bounds, NodeSettings
from rookwood.clusterconfig.document import Route, RouteKind
from rookwood.dataplane import closing, durations, program
from rookwood.dataplane.client_server import ClientServer
from rookwood.dataplane.closing import ClosingTime
from rookwood.dataplane.durations import DurationEstimate, DurationMeter
from rookwood.dataplane.proxy import Proxy
from rookwood.dataplane.requests import RoutedRequest
from rookwood.httpserver.admission import Admission
from rookwood.httpserver.connection import BoundedConnection
from rookwood.httpserver.limits import ListenerLimits
from rookwood.httpserver.listener import BoundedListener, run_loop_turns
from rookwood.memory_budget import MemoryBudget
from rookwood.metrics.loop_lag import LoopLag as LoopMeter
from tests.fake_worker import (
    HOST,
    Behaviour,
    Exchange,
    FakeWorker,
    begin_stream,
    delayed_until,
    event,
    responding,
    within,
)
from tests.loop_lag import LoopLag
from tests.test_dataplane_program import DataPlaneCase
from tests.test_dataplane_proxy import MUTATING, SITE, STREAM

GRACE = 4.0  # seconds from SIGTERM to the end of the process
NOTICE = 0.5  # seconds until the platform sends no new connections
MARGINS = {
    "CLOSING_MARGIN": 1.5,
    "EXIT_MARGIN": 1.2,
    "FIRST_REQUEST_LIMIT": 0.05,
    "DRAIN_POLL_INTERVAL": 0.01,
}
STREAM_TIME = 0.4  # seconds
EVENTS = 4
SENDING_TIMES = 60
SENDING_INTERVAL = GRACE / SENDING_TIMES
WARM_UP_REQUESTS = 12
REQUEST_BODY = b"a request"
INTENDED_DURATIONS = {
    STREAM: (STREAM_TIME / EVENTS, STREAM_TIME * (EVENTS - 1) / EVENTS),
    MUTATING: (0.0, 0.0),
}
STALL = 0.8  # seconds; several times the reserve of a process without a recent stall
MIN_MEASURED_SHARE = 0.9  # of an intended duration; the two ends' clocks may differ a little


async def sleep_until(at: float) -> None:
    """Wait until a time of the event loop's clock."""
    loop = asyncio.get_running_loop()
    reached = loop.create_future()
    loop.call_at(at, reached.set_result, None)
    await reached


def paced_stream(seconds: float, count: int) -> Behaviour:
    """A stream whose events are spread evenly over `seconds`."""

    async def stream(exchange: Exchange) -> None:
        began = asyncio.get_running_loop().time()
        begin_stream(exchange)
        for number in range(1, count + 1):
            await sleep_until(began + number * seconds / count)
            exchange.write_chunk(event(number))
        exchange.write_chunk(b"")

    return stream


@dataclass(frozen=True)
class ClientExchange:
    """One request of a client, with all bytes received until the end of the connection."""

    request_id: str
    sent_at: float
    response: bytes

    @property
    def status(self) -> int:
        """The status of the response; 0 if there was none."""
        return int(self.response.split(b" ", 2)[1]) if self.response else 0

    @property
    def is_complete(self) -> bool:
        """Whether the response came to its end."""
        head, _, body = self.response.partition(b"\r\n\r\n")
        if b"chunked" in head:
            return body.endswith(b"0\r\n\r\n")
        length = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
        return bool(length) and len(body) == int(length[0].split(b":")[1])

    @property
    def head(self) -> bytes:
        """The head of the response in lower case."""
        return self.response.partition(b"\r\n\r\n")[0].lower()


@dataclass(frozen=True)
class ShutdownRun:
    """The exchanges of clients that sent requests throughout the grace period."""

    began: float
    over_open_connections: list[ClientExchange]  # on connections opened before SIGTERM
    over_new_connections: list[ClientExchange]


class Client:
    """A client's connection for raw bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @property
    def is_open(self) -> bool:
        """Whether the client has not seen the connection's end yet."""
        return not self.reader.at_eof() and not self.writer.is_closing()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    async def read_to_end(self) -> bytes:
        """All bytes until the end of the connection."""
        received = b""
        try:
            while data := await self.reader.read(65536):
                received += data
        except ConnectionError:
            pass
        self.writer.close()
        return received


def request_bytes(target: str, request_id: str, body: bytes = REQUEST_BODY) -> bytes:
    """The bytes of a complete request."""
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {SITE}",
        f"X-Try-Id: {request_id}",
        "X-Time-Left: 4000",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def ample_admission() -> Admission:
    """An admission that refuses nothing in these tests."""
    return Admission(ListenerLimits(connections=4096), MemoryBudget.for_memory(1024))


class EndOfProcessTests(DataPlaneCase):
    async def asyncSetUp(self) -> None:
        for name, value in MARGINS.items():
            self.enterContext(mock.patch.object(program, name, value))
        self.enterContext(mock.patch.object(closing, "INGRESS_NOTICE", NOTICE))
        self.received_requests: set[str] = set()
        self.enterContext(mock.patch.object(Proxy, "handle", self.record_requests()))
        self.lag = LoopLag()
        self.addCleanup(self.lag.stop)
        self.process_ended = False
        self.server_transports: list[asyncio.Transport] = []
        self.enterContext(mock.patch.object(BoundedConnection, "connection_made", self.record_connections()))
        await super().asyncSetUp()
        self.running.add_done_callback(self.abort_all_connections)
        self.enterContext(mock.patch.object(program, "INGRESS_NOTICE", NOTICE))

    def record_connections(self) -> Callable[[BoundedConnection, asyncio.BaseTransport], None]:
        """A `connection_made` that records transports, and aborts connections after the process has ended."""
        connection_made = BoundedConnection.connection_made

        def record(connection: BoundedConnection, transport: asyncio.BaseTransport) -> None:
            connection_made(connection, transport)
            assert isinstance(transport, asyncio.Transport)
            self.server_transports.append(transport)
            if self.process_ended:
                transport.abort()

        return record

    def abort_all_connections(self, task: object) -> None:
        """Abort all connections when the dispatcher has ended.

        It runs in the process of the test, so its end does not close its sockets.
        """
        self.process_ended = True
        for transport in self.server_transports:
            transport.abort()

    def record_requests(self) -> Callable[[Proxy, web.BaseRequest], Awaitable[web.StreamResponse]]:
        """A `Proxy.handle` that records the ids of all requests that the dispatcher has read."""
        handle = Proxy.handle

        async def record(proxy: Proxy, request: web.BaseRequest) -> web.StreamResponse:
            self.received_requests.add(request.headers["X-Try-Id"])
            return await handle(proxy, request)

        return record

    def make_settings(self) -> NodeSettings:
        settings = super().make_settings()
        return replace(settings, bounds=replace(settings.bounds, grace=GRACE))

    async def connect(self) -> Client:
        address = self.settings.listen["edge"]
        return Client(*await asyncio.open_connection(HOST, address.port))

    async def start_worker_and_warm_up(self, target: str, behaviour: Behaviour) -> FakeWorker:
        """Start a worker, and send it requests from which the dispatcher learns their duration.

        The dispatcher learns the intended durations instead of the measured ones, so that the test does not
        depend on the load of the machine.
        """
        worker = await self.start_worker(FakeWorker(behaviour))
        await self.publish_until_ready()
        self.enterContext(
            mock.patch.object(
                DurationMeter, "observe", self.observe_intended_durations(*INTENDED_DURATIONS[target])
            )
        )
        requests = (self.send(target, f"lesson-{number}") for number in range(WARM_UP_REQUESTS))
        await within(asyncio.gather(*requests))
        return worker

    def observe_intended_durations(self, head: float, rest: float) -> Callable[..., None]:
        """A `DurationMeter.observe` that replaces the measured durations by the intended ones.

        It checks that the measured durations are not shorter than those.
        """
        observe = DurationMeter.observe

        def observing(
            meter: DurationMeter,
            request: RoutedRequest,
            measured_head: float,
            measured_rest: float,
            now: float,
        ) -> None:
            self.assertGreaterEqual(measured_head + measured_rest, MIN_MEASURED_SHARE * (head + rest))
            observe(meter, request, head, rest, now)

        return observing

    def send_sigterm(self) -> float:
        """Send SIGTERM; returns the time."""
        os.kill(os.getpid(), signal.SIGTERM)
        return asyncio.get_running_loop().time()

    async def send_over_open_connection(
        self, client: Client, target: str, request_id: str, at: float
    ) -> ClientExchange | None:
        """Send over an open connection; None if the dispatcher has closed it already."""
        await sleep_until(at)
        if not client.is_open:
            return None
        client.write(request_bytes(target, request_id))
        return ClientExchange(request_id, at, await asyncio.wait_for(client.read_to_end(), 2 * GRACE))

    async def send_over_new_connection(
        self, target: str, request_id: str, at: float
    ) -> ClientExchange | None:
        """Send over a new connection; None if the dispatcher no longer listens."""
        await sleep_until(at)
        try:
            client = await self.connect()
        except ConnectionError:
            return None
        client.write(request_bytes(target, request_id))
        return ClientExchange(request_id, at, await asyncio.wait_for(client.read_to_end(), 2 * GRACE))

    async def send_throughout_grace(self, target: str) -> ShutdownRun:
        """Send requests throughout the grace period, over open connections and over new ones."""
        open_clients = [await self.connect() for _ in range(SENDING_TIMES)]
        loop = asyncio.get_running_loop()
        ends: list[float] = []
        self.running.add_done_callback(lambda task: ends.append(loop.time()))
        began = self.send_sigterm()
        over_open = (
            self.send_over_open_connection(client, target, f"old-{number}", began + number * SENDING_INTERVAL)
            for number, client in enumerate(open_clients)
        )
        over_new = (
            self.send_over_new_connection(target, f"new-{number}", began + number * SENDING_INTERVAL)
            for number in range(SENDING_TIMES)
        )
        exchanges = await asyncio.wait_for(asyncio.gather(*over_open, *over_new), 3 * GRACE)
        await within(self.running)
        self.assertLessEqual(ends[0] - began, GRACE + self.lag.lost_between(began, ends[0]))
        old_exchanges = [exchange for exchange in exchanges[:SENDING_TIMES] if exchange is not None]
        new_exchanges = [exchange for exchange in exchanges[SENDING_TIMES:] if exchange is not None]
        return ShutdownRun(began, old_exchanges, new_exchanges)

    def check_exchanges(self, run: ShutdownRun, worker: FakeWorker) -> None:
        """Each request that reached the worker got a complete 200; any other response is a proper rejection.

        A request that reached the worker may fail if this process, which runs all sides of the test, stalled
        for longer than the reserve. Even then, a rejected request has not reached the worker, and one that
        reached it gets 200 or 502.
        """
        for exchange in run.over_open_connections + run.over_new_connections:
            with self.subTest(request=exchange.request_id):
                reached = bool(worker.requests_of(exchange.request_id))
                if reached and not self.was_stalled(exchange, run):
                    self.assertEqual(200, exchange.status)
                    self.assertTrue(exchange.is_complete)
                if exchange.request_id in self.received_requests and not self.was_stalled(exchange, run):
                    self.assertTrue(exchange.response)
                if exchange.response:
                    self.check_response(exchange, reached, self.was_stalled(exchange, run))

    def check_response(self, exchange: ClientExchange, reached: bool, stalled: bool) -> None:
        """A rejection is complete and has Retry-After; a request that reached the worker is not rejected."""
        self.assertIn(b"connection: close", exchange.head)
        if reached:
            self.assertIn(exchange.status, (200, 502))
        elif not (stalled and exchange.status == 502):  # sent, and cut off before it reached the worker
            self.assertEqual((503, True), (exchange.status, exchange.is_complete))
            self.assertIn(b"retry-after", exchange.head)

    def was_stalled(self, exchange: ClientExchange, run: ShutdownRun) -> bool:
        """Whether this process stalled for longer than the reserve after the request was sent."""
        closes_at = run.began + GRACE - program.CLOSING_MARGIN
        return self.lag.lost_between(exchange.sent_at, closes_at) > closing.STALL_RESERVE

    async def test_streams_requested_at_any_time_are_complete_or_rejected_at_once(self) -> None:
        worker = await self.start_worker_and_warm_up(STREAM, paced_stream(STREAM_TIME, EVENTS))
        run = await self.send_throughout_grace(STREAM)
        self.check_exchanges(run, worker)
        began, old, new = run.began, run.over_open_connections, run.over_new_connections
        early = [exchange for exchange in old + new if exchange.sent_at - began < NOTICE - SENDING_INTERVAL]
        self.assertEqual({200}, {exchange.status for exchange in early if exchange.response})
        for exchange in old + new:
            if not exchange.response:  # its connection was closed at the same moment
                self.assertGreaterEqual(exchange.sent_at - began, NOTICE - SENDING_INTERVAL)
        self.assertIn(503, {exchange.status for exchange in new})

    async def test_short_requests_are_served_until_shortly_before_the_end(self) -> None:
        worker = await self.start_worker_and_warm_up(MUTATING, responding())
        holding = await self.connect()
        holding.write(request_bytes(MUTATING, "held")[:-1])
        run = await self.send_throughout_grace(MUTATING)
        self.check_exchanges(run, worker)
        served = [
            exchange.sent_at - run.began for exchange in run.over_new_connections if exchange.status == 200
        ]
        self.assertTrue(served)
        self.assertGreater(max(served), GRACE / 2 - closing.STALL_SAFETY_FACTOR * self.lag.longest)
        held = ClientExchange("held", run.began, await within(holding.read_to_end()))
        self.assertEqual((503, True), (held.status, held.is_complete))
        self.assertEqual([], worker.requests_of("held"))

    async def test_a_short_request_is_rejected_when_a_stall_could_cut_it(self) -> None:
        worker = await self.start_worker_and_warm_up(MUTATING, responding())
        holding = await self.connect()
        holding.write(request_bytes(MUTATING, "held")[:-1])
        self.addAsyncCleanup(holding.read_to_end)
        closes_at = self.send_sigterm() + GRACE - program.CLOSING_MARGIN
        late = await self.send_over_new_connection(MUTATING, "late", closes_at - closing.STALL_RESERVE / 2)
        assert late is not None
        self.assertEqual((503, True), (late.status, late.is_complete))
        self.assertIn(b"retry-after", late.head)
        self.assertEqual([], worker.requests_of("late"))
        await within(self.running)

    def watch_for_stall(self, least: float) -> asyncio.Event:
        """An event that is set once the dispatcher has measured a stall of at least `least` seconds."""
        noticed = asyncio.Event()
        observe = LoopMeter.observe

        def observing(meter: LoopMeter, lag: float, now: float) -> None:
            observe(meter, lag, now)
            if lag >= least:
                noticed.set()

        self.enterContext(mock.patch.object(LoopMeter, "observe", observing))
        return noticed

    async def test_a_process_with_a_recent_stall_reserves_more_time_for_the_next_one(self) -> None:
        worker = await self.start_worker_and_warm_up(MUTATING, responding())
        noticed = self.watch_for_stall(STALL / 2)
        time.sleep(STALL)  # blocks the event loop
        await within(noticed.wait())
        holding = await self.connect()
        holding.write(request_bytes(MUTATING, "held")[:-1])
        self.addAsyncCleanup(holding.read_to_end)
        closes_at = self.send_sigterm() + GRACE - program.CLOSING_MARGIN
        late = await self.send_over_new_connection(MUTATING, "late", closes_at - STALL / 2)
        assert late is not None
        self.assertEqual((503, True), (late.status, late.is_complete))
        self.assertEqual([], worker.requests_of("late"))
        await within(self.running)

    async def test_idle_connections_are_closed_once_the_platform_has_noticed_the_shutdown(self) -> None:
        await self.start_worker_and_warm_up(MUTATING, responding())
        idle = [await self.connect() for _ in range(5)]
        began = self.send_sigterm()
        for client in idle:
            self.assertEqual(b"", await within(client.read_to_end()))
        self.assertGreaterEqual(asyncio.get_running_loop().time() - began, NOTICE)
        await within(self.running)
        self.assertLess(asyncio.get_running_loop().time() - began, GRACE / 2)

    async def test_a_partly_received_request_is_not_cut_when_idle_connections_are_closed(self) -> None:
        await self.start_worker_and_warm_up(MUTATING, responding())
        for cut_at in (10, -1):
            client = await self.connect()
            request = request_bytes(MUTATING, f"half-{cut_at}")
            client.write(request[:cut_at])
            self.addAsyncCleanup(client.read_to_end)
            if cut_at == -1:
                last = client
            else:
                first, remainder = client, request[cut_at:]
        idle = await self.connect()
        self.send_sigterm()
        self.assertEqual(b"", await within(idle.read_to_end()))
        first.write(remainder)
        last.write(REQUEST_BODY[-1:])
        for client in (first, last):
            exchange = ClientExchange("half", 0.0, await within(client.read_to_end()))
            self.assertEqual((200, True), (exchange.status, exchange.is_complete))
        await within(self.running)

    async def test_a_long_response_is_flushed_to_a_slow_reader_before_the_process_ends(self) -> None:
        body = b"x" * 4_000_000
        await self.start_worker_and_warm_up(MUTATING, responding(body))
        client = await self.connect()
        client.write(request_bytes(MUTATING, "slow"))
        await within(client.reader.readexactly(1))
        self.send_sigterm()
        exchange = ClientExchange("slow", 0.0, b"H" + await within(client.read_to_end()))
        self.assertEqual((200, True), (exchange.status, exchange.is_complete))
        await within(self.running)

    async def test_a_response_is_awaited_after_the_listener_was_closed(self) -> None:
        self.enterContext(mock.patch.object(program, "FIRST_REQUEST_LIMIT", GRACE / 4))
        release = asyncio.Event()
        worker = await self.start_delayed_worker(release)
        client = await self.connect()
        client.write(request_bytes(MUTATING, "late"))
        await within(worker.request_received.wait())
        self.send_sigterm()
        await within(self.wait_for_closed_listener())
        await sleep_until(asyncio.get_running_loop().time() + 4 * program.SHUTDOWN_TIMEOUT)
        release.set()
        exchange = ClientExchange("late", 0.0, await within(client.read_to_end()))
        self.assertEqual((200, True), (exchange.status, exchange.is_complete))
        await within(self.running)

    async def wait_for_closed_listener(self) -> None:
        """Wait until the dispatcher refuses new connections."""
        while True:
            try:
                (await self.connect()).writer.close()
            except ConnectionError:
                return

    async def start_delayed_worker(self, release: asyncio.Event) -> FakeWorker:
        """Start a worker that responds once the test sets `release`."""
        worker = await self.start_worker(FakeWorker(delayed_until(responding(), release)))
        await self.publish_until_ready()
        return worker

    async def test_a_request_in_flight_at_the_closing_time_gets_a_complete_error_response(self) -> None:
        """It was sent to a worker before SIGTERM, so it may have run."""
        worker = await self.start_delayed_worker(asyncio.Event())
        client = await self.connect()
        client.write(request_bytes(MUTATING, "held"))
        await within(worker.request_received.wait())
        self.send_sigterm()
        exchange = ClientExchange("held", 0.0, await within(client.read_to_end()))
        self.assertEqual((502, True), (exchange.status, exchange.is_complete))
        await within(self.running)


class ClosingTimeTests(unittest.IsolatedAsyncioTestCase):
    def test_requests_in_flight_are_ended_within_the_last_sixth_of_the_grace(self) -> None:
        """A request that is cut earlier, or whose response is not flushed afterwards, counts as lost."""
        self.assertLess(program.CLOSING_MARGIN, Bounds().grace / 6)
        self.assertLess(0.0, program.EXIT_MARGIN)
        self.assertLess(program.EXIT_MARGIN, program.CLOSING_MARGIN)

    async def test_scopes_expire_at_a_closing_time_that_is_set_later(self) -> None:
        loop = asyncio.get_running_loop()
        closing_time = ClosingTime()
        never = loop.create_future()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(None) as scope:
                with closing_time.register(scope):
                    loop.call_soon(closing_time.set, loop.time(), loop.time())
                    await never

    def test_the_reserve_follows_the_longest_stall(self) -> None:
        self.assertEqual(closing.STALL_RESERVE, ClosingTime.stall_reserve(0.0))
        self.assertEqual(closing.STALL_SAFETY_FACTOR * 0.5, ClosingTime.stall_reserve(0.5))

    async def test_only_durations_that_end_before_the_closing_time_are_allowed(self) -> None:
        closing_time = ClosingTime()
        self.assertTrue(closing_time.allows_duration(1e9, 0.0))
        closing_time.set(10.0, 2.0)
        self.assertTrue(closing_time.allows_duration(4.0, 6.0))
        self.assertFalse(closing_time.allows_duration(4.1, 6.0))
        self.assertTrue(closing_time.arrived_before_notice(2.0 + closing.INGRESS_NOTICE - 0.1))
        self.assertFalse(closing_time.arrived_before_notice(2.0 + closing.INGRESS_NOTICE + 0.1))


ROUTE = Route("r", SITE, STREAM, RouteKind.STREAM, 15_000, 500, 1, (), 1, True, False, 0)


def routed(route: str = "r", tokens: str = "100,50") -> RoutedRequest:
    """A request that arrived at time 0 with 15 s left."""
    headers = CIMultiDict({"X-Tokens": tokens})
    found = replace(ROUTE, name=route)
    return RoutedRequest("id", "POST", STREAM, found, "models", None, (), headers, b"", 0.0, 15.0)


class DurationTests(unittest.TestCase):
    def test_without_samples_the_estimate_is_all_time_left(self) -> None:
        meter = DurationMeter()
        self.assertEqual(15.0, meter.likely_bound(routed(), 0.0))
        self.assertEqual(5.0, meter.upper_bound(routed(), 10.0))

    def test_the_output_tokens_scale_the_estimate(self) -> None:
        meter = DurationMeter()
        for _ in range(20):
            meter.observe(routed(), head=0.1, rest=1.0, now=0.0)
        short, long = meter.likely_bound(routed(), 0.0), meter.likely_bound(routed(tokens="100,100"), 0.0)
        self.assertAlmostEqual(1.1, short, delta=0.1)
        self.assertAlmostEqual(2.1, long, delta=0.1)

    def test_a_route_without_requests_has_the_estimate_of_its_service(self) -> None:
        meter = DurationMeter()
        for _ in range(20):
            meter.observe(routed(), head=0.1, rest=1.0, now=0.0)
        self.assertLess(meter.upper_bound(routed(route="other"), 0.0), 2.0 * durations.SAFETY_FACTOR)

    def test_too_few_samples_give_no_upper_bound(self) -> None:
        meter = DurationMeter()
        for _ in range(durations.MIN_SAMPLES - 1):
            meter.observe(routed(), head=0.1, rest=1.0, now=0.0)
        self.assertEqual(15.0, meter.upper_bound(routed(), 0.0))
        meter.observe(routed(), head=0.1, rest=1.0, now=0.0)
        self.assertLess(meter.upper_bound(routed(), 0.0), 15.0)

    def test_the_longest_duration_raises_the_upper_bound_and_decays(self) -> None:
        estimate = DurationEstimate()
        estimate.observe(9.0, 0.0)
        for _ in range(60):
            estimate.observe(1.0, 0.0)
        self.assertGreater(estimate.upper_bound(0.0), 8.5)
        self.assertLess(estimate.likely_bound(), 2.0)
        self.assertLess(estimate.upper_bound(200.0), 2.0)


class ClientServerTests(unittest.IsolatedAsyncioTestCase):
    """These tests fail if the private attributes of aiohttp's handler that the module uses change."""

    async def asyncSetUp(self) -> None:
        self.release = asyncio.Event()
        self.request_received = asyncio.Event()
        self.server = ClientServer(self.handle, ample_admission())
        self.runner = web.ServerRunner(self.server, handle_signals=False, shutdown_timeout=0.05)
        await self.runner.setup()
        self.addAsyncCleanup(self.runner.cleanup)
        self.listener = BoundedListener(HOST, 0, self.server, self.server.admission)
        self.listener.start()
        self.addAsyncCleanup(self.listener.stop)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.request_received.set()
        await self.release.wait()
        return web.Response(text="ok")

    async def connect(self) -> Client:
        client = Client(*await asyncio.open_connection(HOST, self.listener.port))
        while not self.server.connections:
            await asyncio.sleep(0)
        await run_loop_turns()
        return client

    async def test_a_connection_without_a_request_is_closed(self) -> None:
        client = await self.connect()
        self.server.close_idle(60.0)
        self.assertEqual(1, len(self.server.connections))
        self.server.close_idle(0.0)
        self.assertEqual(b"", await within(client.read_to_end()))

    async def test_a_connection_with_a_partly_received_head_stays_open(self) -> None:
        self.release.set()
        client = await self.connect()
        request = request_bytes("/", "id")
        client.write(request[:20])
        await run_loop_turns()
        await run_loop_turns()
        self.server.close_idle(0.0)
        client.write(request[20:])
        self.assertIn(b"200", await within(client.reader.readline()))

    async def test_a_connection_with_a_request_in_progress_stays_open(self) -> None:
        client = await self.connect()
        client.write(request_bytes("/", "id"))
        await within(self.request_received.wait())
        self.server.close_idle(0.0)
        self.release.set()
        self.assertIn(b"200", await within(client.reader.readline()))
        self.assertIn(b"ok", await within(client.reader.readuntil(b"ok")))
        await run_loop_turns()
        self.server.close_idle(0.0)
        self.assertEqual(b"", await within(client.read_to_end()))


class ClientListenerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        server = ClientServer(self.handle, ample_admission())
        runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=0.05)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        self.listener = BoundedListener(HOST, 0, server, server.admission)
        self.listener.start()
        self.clients: list[socket.socket] = []
        self.connecting = True
        self.failures: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.failures.append(context))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = web.Response(text="ok")
        response.force_close()
        return response

    def connect_in_each_iteration(self) -> None:
        """Open a connection with a complete request in this and each further iteration of the event loop."""
        if not self.connecting:
            return
        try:
            client = socket.create_connection((HOST, self.listener.port))
        except OSError:
            return
        client.sendall(request_bytes("/", str(len(self.clients))))
        self.clients.append(client)
        asyncio.get_running_loop().call_soon(self.connect_in_each_iteration)

    async def stop_listener_after(self, connections: int) -> None:
        """Close the listener while connections are opened.

        Errors that the event loop reports, such as a lost connection, are failures.
        """
        self.connect_in_each_iteration()
        while len(self.clients) < connections:
            await asyncio.sleep(0)
        await self.listener.stop()
        self.connecting = False
        responses = await within(asyncio.gather(*(self.read_all(client) for client in self.clients)))
        self.assertEqual([], self.failures)
        received = [response for response in responses if response]
        self.assertGreaterEqual(len(received), connections)
        for response in received:
            self.assertIn(b" 200 ", response)

    async def test_no_connection_is_lost_by_a_stop_in_the_iteration_of_an_accept(self) -> None:
        await self.stop_listener_after(10)

    async def test_no_connection_is_lost_by_a_stop_in_the_iteration_after_an_accept(self) -> None:
        """Each accept covers the connections of two iterations, so both are tested."""
        await self.stop_listener_after(11)

    @staticmethod
    async def read_all(client: socket.socket) -> bytes:
        """All bytes until the end of the connection; none if it was never accepted."""
        client.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=client)
        return await Client(reader, writer).read_to_end()


if __name__ == "__main__":
    unittest.main()
