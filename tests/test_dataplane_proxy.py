"""A dispatcher between a client and scripted workers: which attempts it sends and how it responds."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from typing import Any
from unittest import mock

from aiohttp import ClientSession, ClientTimeout, TCPConnector, TraceConfig, web
from yarl import URL

from rookwood.cluster.workers import HeldModel, WorkerRecord
from rookwood.dataplane import route_matching, silence
from rookwood.dataplane.client_server import ClientServer
from rookwood.dataplane.demand import DemandMeter, ServiceKey
from rookwood.dataplane.pool import WorkerPool, WorkerTraffic
from rookwood.dataplane.proxy import Proxy
from rookwood.dataplane.retry_budget import RetryBudget
from rookwood.dataplane.return_times import ORDER_TIME
from rookwood.dataplane.router import Router
from rookwood.dataplane.upstream import UpstreamClient
from rookwood.httpserver.admission import Admission
from rookwood.httpserver.limits import ListenerLimits
from rookwood.httpserver.listener import BoundedListener
from rookwood.lab.raw_http import reset_at_close
from rookwood.memory_budget import MemoryBudget
from tests.fake_worker import (
    HOST,
    WAIT_LIMIT,
    Behaviour,
    Exchange,
    FakeWorker,
    UnresponsiveWorker,
    break_off,
    delayed_until,
    rejecting,
    responding,
    response_bytes,
    seal_of,
    streaming,
    within,
)
from tests.loop_lag import LoopLag

SITE = "ficu95.example"
SERVICE, OTHER_SERVICE, MODEL_SERVICE = "pages", "others", "models"
SAFE, MUTATING, SPLIT = "/safe/", "/mutating/", "/split/"
STREAM, RESUMED, MODELS = "/stream/", "/resumed/", "/models/"
ONCE, URGENT_MODELS = "/once/", "/urgent-models/"
TRIES = 3
TIMEOUT_MS = 4000
BODY_LIMIT = 4096
WORKER_DELAY_MS = 50
ROUNDING_MS = 2
SHORT_TIMEOUT_MS = 300
RESPONSE_MARGIN = 0.5  # seconds after a route's timeout by which the response must have arrived
CANCEL_LIMIT = 0.5  # seconds after a client left by which its request must be cancelled at the worker
SHORT_PATIENCE = 0.05  # seconds
SHORT_CHECK = 0.01  # seconds
CHECKS = 5
NOT_RUN_STATUSES = (
    408,
    421,
    429,
    503,
)  # statuses that promise a client that its request has not run and will not run
AMPLE_BUDGET = (1.0, 10.0, 1000.0)  # ratio, window, slack
NO_BUDGET = (0.0, 10.0, 0.0)


def route(prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """A route as in the operator's configuration."""
    document = {
        "name": f"r-{prefix.strip('/')}",
        "host": SITE,
        "pfx": prefix,
        "kind": kind,
        "timeout-ms": TIMEOUT_MS,
        "target-ms": 1000,
        "prio": 1,
        "svc": SERVICE,
        "tries": TRIES,
    }
    return {**document, **changes}


def service(name: str, **changes: Any) -> dict[str, Any]:
    """A service as in the operator's configuration."""
    return {"name": name, "health": "/healthz", "max-conns": 64, "proto": "h1", "tls": False, **changes}


RUNTIME_MODELS: list[dict[str, Any]] = [
    {"name": "small", "size-mb": 60, "load-s": 0.05, "loras": 2, "lora-mb": 10}
]
RUNTIME = {
    "slots": 8,
    "models": RUNTIME_MODELS,
    "size-mb": 160,
    "lora-slots": 2,
    "loads-per-s": 10,
}
HALVES = [{"svc": SERVICE, "wt": 50}, {"svc": OTHER_SERVICE, "wt": 50}]
CONFIGURATION: dict[str, Any] = {
    "ver": 1,
    "routes": [
        route(SAFE, "safe"),
        route(MUTATING, "mutating"),
        route(STREAM, "stream", resume=False),
        route(RESUMED, "stream", resume=True),
        route(SPLIT, "safe", split=HALVES),
        route(MODELS, "safe", svc=MODEL_SERVICE, sticky=True),
        route(ONCE, "safe", tries=1),
        route(URGENT_MODELS, "safe", **{"svc": MODEL_SERVICE, "target-ms": 200}),
    ],
    "svcs": [service(SERVICE), service(OTHER_SERVICE), service(MODEL_SERVICE, runtime=RUNTIME)],
    "limits": {"hdr-bytes": 16384, "body-bytes": BODY_LIMIT, "hdr-ms": 3000, "idle-ms": 15000},
}


@dataclass(frozen=True)
class ReceivedResponse:
    """A response as the client received it."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class RetriedRequest:
    """The response to a request, and the two workers between which it could be retried."""

    response: ReceivedResponse
    first_worker: FakeWorker
    second_worker: FakeWorker


@dataclass
class Dispatcher:
    """The parts of a dispatcher that serve clients, on a free port."""

    pool: WorkerPool = field(default_factory=WorkerPool)
    keys_with_waits: asyncio.Queue[ServiceKey] = field(default_factory=asyncio.Queue)
    port: int = 0
    up_to_date: bool = True
    up_to_date_was_checked: asyncio.Event = field(default_factory=asyncio.Event)

    def is_up_to_date(self) -> bool:
        """Whether the dispatcher has the newest configuration; records that it was asked."""
        self.up_to_date_was_checked.set()
        return self.up_to_date

    async def start(self, budget: tuple[float, float, float]) -> None:
        """Start to listen, without a configuration."""
        self.router = Router("e1", "z1", self.pool)
        self.memory = MemoryBudget.for_memory(1024)
        self.client = UpstreamClient(256)
        demand = DemandMeter(self.keys_with_waits.put_nowait)
        self.proxy = Proxy(
            self.router,
            self.pool,
            demand,
            RetryBudget(*budget),
            self.client,
            on_work=lambda notice: None,
            is_level=self.is_up_to_date,
            memory=self.memory,
        )
        admission = Admission(ListenerLimits(connections=1024), self.memory)
        server = ClientServer(self.proxy.handle, admission)
        self.runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=0.05)
        await self.runner.setup()
        self.listener = BoundedListener(HOST, 0, server, server.admission)
        self.listener.start()
        self.port = self.listener.port

    async def stop(self) -> None:
        """Close all connections."""
        await self.listener.stop()
        await self.runner.cleanup()
        await self.client.close()


class DispatcherCase(unittest.IsolatedAsyncioTestCase):
    """A dispatcher with a configuration, and a client that uses a new connection for each request."""

    budget = AMPLE_BUDGET

    async def asyncSetUp(self) -> None:
        self.dispatcher = Dispatcher()
        await self.dispatcher.start(self.budget)
        self.addAsyncCleanup(self.dispatcher.stop)
        self.configure(CONFIGURATION)
        self.client = ClientSession(
            connector=TCPConnector(force_close=True),
            auto_decompress=False,
            timeout=ClientTimeout(total=WAIT_LIMIT),
        )
        self.addAsyncCleanup(self.client.close)
        self.numbers = iter(range(1, 1000))

    def configure(self, document: dict[str, Any]) -> None:
        """Put a configuration in force."""
        self.dispatcher.router.configure(json.dumps(document).encode())

    def add_record(self, record: WorkerRecord) -> None:
        """Add a worker to the dispatcher's view, or update it."""
        self.dispatcher.router.worker_changed(record)

    async def start_worker(self, *script: Behaviour, known: bool = True) -> FakeWorker:
        """Start a worker of the first service, which the dispatcher knows unless `known` is False."""
        worker = FakeWorker(*script, id=f"i-{next(self.numbers)}")
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        if known:
            self.add_record(worker.record(SERVICE))
        return worker

    async def start_workers(self, number: int, *script: Behaviour) -> list[FakeWorker]:
        """Start several workers with the same script."""
        return [await self.start_worker(*script) for _ in range(number)]

    async def send_with_second_worker(
        self, behaviour: Behaviour, prefix: str, second: Behaviour
    ) -> RetriedRequest:
        """Send a request that reaches a first worker; the second worker is added only after that."""
        release = asyncio.Event()
        first_worker = await self.start_worker(delayed_until(behaviour, release))
        sending = asyncio.create_task(self.send(prefix))
        await within(first_worker.request_received.wait())
        second_worker = await self.start_worker(second)
        release.set()
        response = await sending
        for worker in (first_worker, second_worker):
            self.dispatcher.router.worker_gone(worker.id)
        return RetriedRequest(response, first_worker, second_worker)

    def url(self, target: str) -> URL:
        """The URL of a target at the dispatcher; the target is not encoded further."""
        return URL(f"http://{HOST}:{self.dispatcher.port}{target}", encoded=True)

    def headers(self, request_id: str, **changes: str) -> dict[str, str]:
        """A client's headers, with further ones by name and _ for -."""
        named = {name.replace("_", "-"): value for name, value in changes.items()}
        return {"Host": SITE, "X-Try-Id": request_id, "X-Time-Left": "3000", **named}

    async def send(
        self,
        target: str,
        request_id: str = "try-1",
        method: str = "POST",
        body: bytes | AsyncIterator[bytes] = b"question",
        **headers: str,
    ) -> ReceivedResponse:
        """Send a request and read the complete response."""
        data = None if method == "GET" else body
        async with self.client.request(
            method, self.url(target), data=data, headers=self.headers(request_id, **headers)
        ) as response:
            return ReceivedResponse(response.status, dict(response.headers), await response.read())

    async def wait_for_no_request_in_flight(self) -> None:
        """Wait until the dispatcher has no request in flight."""
        while self.dispatcher.proxy.in_flight:
            await asyncio.sleep(0)

    def assert_rejected(self, response: ReceivedResponse) -> None:
        """The response is a 503, which promises that the request has not run, with a Retry-After."""
        self.assertEqual(503, response.status)
        self.assertGreaterEqual(float(response.headers["Retry-After"]), 0.0)

    def assert_may_have_run(self, response: ReceivedResponse) -> None:
        """The response is an error that does not promise that the request has not run."""
        self.assertGreaterEqual(response.status, 500)
        self.assertNotIn(response.status, NOT_RUN_STATUSES)


def count_requests(workers: list[FakeWorker], request_id: str = "try-1") -> int:
    """The number of attempts of one request that reached any of the workers."""
    return sum(len(worker.requests_of(request_id)) for worker in workers)


class ForwardingTests(DispatcherCase):
    async def test_request_and_response_are_forwarded_unchanged(self) -> None:
        worker = await self.start_worker(responding(b"\x00\xffbytes", 201, X_Other="kept"))
        target = f"{MUTATING}a%2Fb/../c?x=%20y&&z=1+2"
        response = await self.send(target, method="PUT", body=b"\x00\xfe", X_Custom="passed")
        (request,) = worker.requests
        self.assertEqual(("PUT", target, b"\x00\xfe"), (request.method, request.target, request.body))
        self.assertEqual("try-1", request.id)
        self.assertEqual("passed", request.headers["x-custom"])
        self.assertEqual(SITE, request.headers["host"])
        self.assertEqual((201, b"\x00\xffbytes"), (response.status, response.body))
        self.assertEqual(seal_of(request), response.headers["X-Seal"])
        self.assertEqual("try-1", response.headers["X-Try-Id"])
        self.assertEqual("kept", response.headers["X-Other"])

    async def test_an_error_response_of_the_worker_is_forwarded_unchanged(self) -> None:
        for status in (400, 404, 500, 504):
            with self.subTest(status=status):
                worker = await self.start_worker(responding(b"failed", status))
                response = await self.send(MUTATING)
                self.assertEqual((status, b"failed"), (response.status, response.body))
                self.assertEqual(seal_of(worker.requests[0]), response.headers["X-Seal"])
                self.dispatcher.router.worker_gone(worker.id)

    async def test_a_chunked_request_body_arrives_complete(self) -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(3):
                yield b"chunk"

        worker = await self.start_worker(responding())
        response = await self.send(MUTATING, body=chunks())
        self.assertEqual(200, response.status)
        self.assertEqual([b"chunk" * 3], [request.body for request in worker.requests])

    async def test_a_chunked_response_arrives_complete(self) -> None:
        async def respond_in_chunks(exchange: Exchange) -> None:
            headers = {"X-Try-Id": exchange.request.id, "X-Seal": "s", "Transfer-Encoding": "chunked"}
            exchange.write_head(200, headers)
            for piece in (b"first", b"second", b""):
                exchange.write_chunk(piece)

        await self.start_worker(respond_in_chunks)
        self.assertEqual(b"firstsecond", (await self.send(SAFE)).body)

    async def test_the_headers_about_the_prompt_reach_every_worker_unchanged(self) -> None:
        prompt = {
            "X-Model": "small/a1",
            "X-Tokens": "1460,80",
            "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410",
        }
        for prefix in (SAFE, STREAM):
            workers = await self.start_workers(TRIES, rejecting(503))
            for worker in workers:
                self.add_record(worker.record(SERVICE, models=(HeldModel("small", 1, frozenset({"a1"})),)))
            headers = {**self.headers(f"try-{prefix}"), **prompt}
            async with self.client.post(self.url(prefix), data=b"question", headers=headers) as response:
                self.assertEqual(503, response.status)
            requests = [request for worker in workers for request in worker.requests]
            self.assertEqual(TRIES, len(requests))
            for request in requests:
                self.assertEqual(f"try-{prefix}", request.id)
                self.assertEqual(prompt, {name: request.headers[name.lower()] for name in prompt})
            for worker in workers:
                self.dispatcher.router.worker_gone(worker.id)

    async def test_each_attempt_names_its_worker(self) -> None:
        workers = await self.start_workers(2, rejecting(503))
        await self.send(MUTATING)
        for worker in workers:
            self.assertEqual([worker.id], [r.headers["x-want-instance"] for r in worker.requests])

    async def test_the_priority_header_follows_the_rank_of_the_route(self) -> None:
        """The more urgent route goes first; at a worker with room, a short prompt goes before all others."""
        worker = await self.start_worker(responding())
        self.configure({**CONFIGURATION, "routes": [route(f"/rank-{n}/", "safe", prio=n) for n in range(9)]})
        traffic = self.dispatcher.pool.get(worker.id)
        for busy in (False, True):  # a reported load is used for a while
            for number in range(9):
                if busy:
                    traffic.record_load(8, 0, 8, asyncio.get_running_loop().time())
                await self.send(f"/rank-{number}/", f"{busy}-{number}")
            urgencies = [int(request.headers["priority"]) for request in worker.requests]
            worker.requests.clear()
            self.assertEqual(sorted(urgencies), urgencies)
            self.assertTrue(set(urgencies) <= set(range(10)))
            if busy:
                self.assertEqual(list(range(2, 10)), urgencies[:8])
            else:
                self.assertEqual({1}, set(urgencies))

    async def test_the_time_left_is_never_more_than_client_or_route_allow(self) -> None:
        workers = await self.start_workers(TRIES, rejecting(429))
        for stated, most in (("800", 800), ("60000", TIMEOUT_MS)):
            request_id = f"try-{stated}"
            await self.send(MUTATING, request_id, X_Time_Left=stated)
            sent = [r.headers["x-time-left"] for worker in workers for r in worker.requests_of(request_id)]
            self.assertTrue(sent)
            for value in sent:
                self.assertGreater(int(value), 0)
                self.assertLessEqual(int(value), most)

    async def test_the_time_left_is_reduced_by_the_time_that_has_passed(self) -> None:
        loop = asyncio.get_running_loop()

        async def reject_after_delay(exchange: Exchange) -> None:
            delay_is_over = asyncio.Event()
            loop.call_later(WORKER_DELAY_MS / 1000, delay_is_over.set)
            await delay_is_over.wait()
            await rejecting(503)(exchange)

        workers = await self.start_workers(2, reject_after_delay)
        began = loop.time()
        await self.send(MUTATING, X_Time_Left="2000")
        passed_ms = (loop.time() - began) * 1000
        left = [int(r.headers["x-time-left"]) for worker in workers for r in worker.requests]
        first, second = max(left), min(left)
        self.assertLessEqual(second, first - WORKER_DELAY_MS + ROUNDING_MS)
        self.assertGreaterEqual(second, 2000 - passed_ms - ROUNDING_MS)

    async def test_the_response_comes_by_the_timeout_of_the_route(self) -> None:
        """Routes of every kind are checked, with a client that would wait for longer."""
        routes = [{**item, "timeout-ms": SHORT_TIMEOUT_MS} for item in CONFIGURATION["routes"]]
        self.configure({**CONFIGURATION, "ver": 2, "routes": routes})
        loop = asyncio.get_running_loop()
        for prefix in (SAFE, MUTATING, STREAM, RESUMED):
            with self.subTest(prefix=prefix):
                worker = await self.start_worker(UnresponsiveWorker())
                lag, began = LoopLag(), loop.time()
                response = await self.send(prefix, X_Time_Left="60000")
                took = loop.time() - began
                self.assertLess(took, SHORT_TIMEOUT_MS / 1000 + RESPONSE_MARGIN + lag.stop())
                self.assert_may_have_run(response)
                self.dispatcher.router.worker_gone(worker.id)

    async def test_the_response_comes_by_the_deadline(self) -> None:
        unresponsive = UnresponsiveWorker()
        await self.start_worker(unresponsive)
        response = await self.send(MUTATING, X_Time_Left="400")
        self.assert_may_have_run(response)
        await within(unresponsive.connection_closed.wait())


class RoutingTests(DispatcherCase):
    async def test_an_unknown_route_is_not_found(self) -> None:
        worker = await self.start_worker(responding())
        self.assertEqual(404, (await self.send("/nowhere/")).status)
        self.assertEqual(404, (await self.send(SAFE, Host="other.example")).status)
        self.assertEqual([], worker.requests)

    async def test_a_route_is_served_once_a_configuration_adds_it(self) -> None:
        await self.start_worker(responding())
        self.assertEqual(404, (await self.send("/later/")).status)
        routes = [*CONFIGURATION["routes"], route("/later/", "safe")]
        self.configure({**CONFIGURATION, "ver": 2, "routes": routes})
        self.assertEqual(200, (await self.send("/later/")).status)

    async def test_an_unknown_route_is_rejected_by_a_dispatcher_that_is_behind(self) -> None:
        worker = await self.start_worker(responding())
        self.dispatcher.up_to_date = False
        with mock.patch.object(route_matching, "ROUTE_PATIENCE", SHORT_PATIENCE):
            self.assert_rejected(await self.send("/nowhere/"))
        self.assertEqual([], worker.requests)

    async def test_a_request_waits_for_a_configuration_with_its_route(self) -> None:
        await self.start_worker(responding())
        self.dispatcher.up_to_date = False
        sending = asyncio.create_task(self.send("/later/"))
        await within(self.dispatcher.up_to_date_was_checked.wait())
        routes = [*CONFIGURATION["routes"], route("/later/", "safe")]
        self.configure({**CONFIGURATION, "ver": 2, "routes": routes})
        self.assertEqual(200, (await sending).status)

    async def test_a_body_over_the_limit_is_rejected(self) -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(BODY_LIMIT // 1024 + 1):
                yield bytes(1024)

        worker = await self.start_worker(responding())
        self.assertEqual(413, (await self.send(MUTATING, body=bytes(BODY_LIMIT + 1))).status)
        self.assertEqual(413, (await self.send(MUTATING, body=chunks())).status)
        self.assertEqual([], worker.requests)
        self.assertEqual(200, (await self.send(MUTATING, body=bytes(BODY_LIMIT))).status)

    async def test_a_chunked_body_holds_memory_for_its_own_size_alone(self) -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(10):
                yield bytes(1024)

        limits = {**CONFIGURATION["limits"], "body-bytes": 1024 * 1024}
        self.configure({**CONFIGURATION, "ver": 2, "limits": limits})
        release = asyncio.Event()
        worker = await self.start_worker(delayed_until(responding(), release))
        sending = asyncio.create_task(self.send(MUTATING, body=chunks()))
        await within(worker.request_received.wait())
        self.assertEqual(10 * 1024, self.dispatcher.memory.held)
        release.set()
        self.assertEqual(200, (await sending).status)
        self.assertEqual(0, self.dispatcher.memory.held)

    async def test_a_request_is_rejected_before_there_is_a_configuration(self) -> None:
        unconfigured = Dispatcher()
        await unconfigured.start(AMPLE_BUDGET)
        self.addAsyncCleanup(unconfigured.stop)
        self.dispatcher.port = unconfigured.port
        self.assert_rejected(await self.send(MUTATING))

    async def test_without_a_worker_the_request_is_rejected(self) -> None:
        self.assert_rejected(await self.send(MUTATING))

    async def test_a_draining_worker_gets_no_request(self) -> None:
        leaving = await self.start_worker(responding(), known=False)
        self.add_record(leaving.record(SERVICE, draining=True))
        self.assert_rejected(await self.send(SAFE))
        staying = await self.start_worker(responding())
        for number in range(20):
            self.assertEqual(200, (await self.send(SAFE, f"try-{number}")).status)
        self.assertEqual((0, 20), (len(leaving.requests), len(staying.requests)))

    async def test_a_worker_that_begins_to_drain_gets_no_further_request(self) -> None:
        worker = await self.start_worker(responding())
        self.assertEqual(200, (await self.send(SAFE, "before")).status)
        self.add_record(worker.record(SERVICE, draining=True))
        self.assert_rejected(await self.send(SAFE, "after"))
        self.assertEqual([], worker.requests_of("after"))

    async def test_a_worker_that_is_gone_gets_no_further_request(self) -> None:
        worker = await self.start_worker(responding())
        self.dispatcher.router.worker_gone(worker.id)
        self.assert_rejected(await self.send(SAFE))
        self.assertEqual([], worker.requests)

    async def test_a_split_route_sends_one_request_to_one_service_only(self) -> None:
        first = await self.start_worker(rejecting(503))
        second = await self.start_worker(rejecting(503), known=False)
        self.add_record(second.record(OTHER_SERVICE))
        for number in range(12):
            await self.send(SPLIT, f"try-{number}")
        ids = [{request.id for request in worker.requests} for worker in (first, second)]
        self.assertTrue(ids[0] and ids[1])
        self.assertEqual(set(), ids[0] & ids[1])

    async def test_a_request_without_an_id_reaches_no_worker(self) -> None:
        worker = await self.start_worker(responding())
        response = await self.send(SAFE, request_id="")
        self.assertGreaterEqual(response.status, 400)
        self.assertEqual([], worker.requests)


class WeightsTests(DispatcherCase):
    async def start_holder(self, *models: HeldModel) -> FakeWorker:
        """Start a worker of the service with models, which holds these."""
        worker = await self.start_worker(responding(), known=False)
        self.add_record(worker.record(MODEL_SERVICE, models=models))
        return worker

    async def test_only_a_worker_with_the_weights_gets_the_request(self) -> None:
        bare = await self.start_holder()
        plain = await self.start_holder(HeldModel("small", 1, frozenset()))
        adapted = await self.start_holder(HeldModel("small", 1, frozenset({"a1"})))
        for number in range(10):
            response = await self.send(MODELS, f"adapter-{number}", X_Model="small/a1")
            self.assertEqual(200, response.status)
            response = await self.send(MODELS, f"plain-{number}", X_Model="small")
            self.assertEqual(200, response.status)
        self.assertEqual([], bare.requests)
        self.assertTrue(all(request.id.startswith("plain") for request in plain.requests))
        self.assertEqual(10, sum(request.id.startswith("adapter") for request in adapted.requests))

    async def test_a_request_waits_until_its_weights_are_loaded(self) -> None:
        worker = await self.start_holder()
        sending = asyncio.create_task(self.send(MODELS, X_Model="small"))
        self.assertEqual(
            ServiceKey(MODEL_SERVICE, "small", ""), await within(self.dispatcher.keys_with_waits.get())
        )
        self.add_record(replace(worker.record(MODEL_SERVICE), models=(HeldModel("small", 1, frozenset()),)))
        self.assertEqual(200, (await sending).status)

    async def test_a_request_that_waits_for_weights_follows_a_change_of_its_route(self) -> None:
        plain = await self.start_worker(responding(), known=False)
        self.add_record(plain.record(SERVICE, models=(HeldModel("small", 1, frozenset()),)))
        holder = await self.start_holder()
        sending = asyncio.create_task(self.send(MODELS, X_Model="small"))
        await within(self.dispatcher.keys_with_waits.get())
        others = [item for item in CONFIGURATION["routes"] if item["pfx"] != MODELS]
        self.configure({**CONFIGURATION, "ver": 2, "routes": [*others, route(MODELS, "safe")]})
        self.assertEqual(200, (await sending).status)
        self.assertEqual((1, 0), (len(plain.requests), len(holder.requests)))

    async def test_a_request_whose_client_left_while_it_waited_reaches_no_worker(self) -> None:
        worker = await self.start_holder()
        sending = asyncio.create_task(self.send(MODELS, "left", X_Model="small"))
        await within(self.dispatcher.keys_with_waits.get())
        lag, left_at = LoopLag(), asyncio.get_running_loop().time()
        sending.cancel()
        await within(self.wait_for_no_request_in_flight())
        self.assertLess(asyncio.get_running_loop().time() - left_at, CANCEL_LIMIT + lag.stop())
        self.add_record(replace(worker.record(MODEL_SERVICE), models=(HeldModel("small", 1, frozenset()),)))
        self.assertEqual(200, (await self.send(MODELS, "next", X_Model="small")).status)
        self.assertEqual(["next"], [request.id for request in worker.requests])

    async def test_a_request_that_cannot_wait_for_a_load_is_rejected_with_a_return_time(self) -> None:
        """The load takes longer than the target time. When the client returns, its request is held."""
        worker = await self.start_holder()
        response = await self.send(URGENT_MODELS, X_Model="small", X_Time_Left="3000")
        self.assert_rejected(response)
        (load_s,) = (model["load-s"] for model in RUNTIME_MODELS)
        self.assertAlmostEqual(ORDER_TIME + load_s, float(response.headers["Retry-After"]), places=1)
        key = ServiceKey(MODEL_SERVICE, "small", "")
        self.assertEqual(key, await within(self.dispatcher.keys_with_waits.get()))
        sending = asyncio.create_task(self.send(URGENT_MODELS, X_Model="small", X_Time_Left="2500"))
        self.add_record(replace(worker.record(MODEL_SERVICE), models=(HeldModel("small", 1, frozenset()),)))
        self.assertEqual(200, (await sending).status)

    async def test_a_request_waits_for_an_adapter_of_a_resident_model(self) -> None:
        worker = await self.start_holder(HeldModel("small", 1, frozenset()))
        sending = asyncio.create_task(self.send(URGENT_MODELS, X_Model="small/a1", X_Time_Left="3000"))
        await within(self.dispatcher.keys_with_waits.get())
        adapted = HeldModel("small", 1, frozenset({"a1"}))
        self.add_record(replace(worker.record(MODEL_SERVICE), models=(adapted,)))
        self.assertEqual(200, (await sending).status)

    async def test_a_request_whose_weights_are_never_loaded_is_rejected(self) -> None:
        await self.start_holder()
        self.assert_rejected(await self.send(MODELS, X_Model="small", X_Time_Left="200"))


class RetryTests(DispatcherCase):
    async def test_a_rejected_request_is_retried_at_another_worker(self) -> None:
        for status in (503, 429, 421):
            for prefix in (SAFE, MUTATING, STREAM):
                with self.subTest(status=status, prefix=prefix):
                    retried = await self.send_with_second_worker(rejecting(status), prefix, responding())
                    self.assertEqual((200, b"answer"), (retried.response.status, retried.response.body))
                    self.assertEqual(
                        (1, 1), (len(retried.first_worker.requests), len(retried.second_worker.requests))
                    )
                    wanted = retried.second_worker.requests[0].headers["x-want-instance"]
                    self.assertEqual(retried.second_worker.id, wanted)

    async def test_a_rejected_attempt_counts_as_an_attempt(self) -> None:
        """`tries` bounds the number of workers to which one request may be sent, whatever the outcomes."""
        workers = await self.start_workers(3, rejecting(503))
        self.assert_rejected(await self.send(ONCE))
        self.assertEqual(1, count_requests(workers))

    async def test_there_are_no_more_attempts_than_the_route_allows(self) -> None:
        workers = await self.start_workers(TRIES + 2, rejecting(503))
        self.assert_rejected(await self.send(MUTATING))
        self.assertEqual(TRIES, count_requests(workers))

    async def test_a_request_is_not_sent_to_the_same_worker_twice(self) -> None:
        worker = await self.start_worker(rejecting(503))
        self.assert_rejected(await self.send(MUTATING))
        self.assertEqual(1, len(worker.requests))

    async def test_a_safe_request_is_retried_after_a_broken_connection(self) -> None:
        retried = await self.send_with_second_worker(break_off, SAFE, responding())
        self.assertEqual((200, b"answer"), (retried.response.status, retried.response.body))
        self.assertEqual((1, 1), (len(retried.first_worker.requests), len(retried.second_worker.requests)))

    async def test_a_safe_request_fails_if_every_attempt_breaks(self) -> None:
        workers = await self.start_workers(TRIES + 2, break_off)
        self.assertGreaterEqual((await self.send(SAFE)).status, 500)
        self.assertEqual(TRIES, count_requests(workers))

    async def test_an_unrepeatable_request_is_not_retried_after_a_broken_connection(self) -> None:
        for prefix in (MUTATING, STREAM):
            for method in ("POST", "GET", "PUT", "DELETE"):
                with self.subTest(prefix=prefix, method=method):
                    workers = await self.start_workers(3, break_off)
                    self.assert_may_have_run(await self.send(prefix, method=method))
                    self.assertEqual(1, count_requests(workers))
                    for worker in workers:
                        self.dispatcher.router.worker_gone(worker.id)

    async def test_an_unrepeatable_request_is_not_retried_on_a_reused_connection(self) -> None:
        for method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(method=method):
                worker = await self.start_worker(responding(), break_off)
                self.assertEqual(200, (await self.send(MUTATING, "first", method=method)).status)
                self.assert_may_have_run(await self.send(MUTATING, "second", method=method))
                self.assertEqual(1, len(worker.requests_of("second")))
                self.dispatcher.router.worker_gone(worker.id)

    async def test_a_not_run_status_is_not_forwarded_for_a_request_that_may_have_run(self) -> None:
        for status in NOT_RUN_STATUSES:
            if status == 421:  # a worker that says so has not run the request
                continue
            for prefix in (MUTATING, STREAM):
                with self.subTest(status=status, prefix=prefix):
                    workers = await self.start_workers(2, responding(b"busy", status))
                    response = await self.send(prefix)
                    self.assert_may_have_run(response)
                    self.assertNotIn("X-Seal", response.headers)
                    self.assertEqual(1, count_requests(workers))
                    for worker in workers:
                        self.dispatcher.router.worker_gone(worker.id)

    async def test_a_failed_connection_does_not_count_as_an_attempt(self) -> None:
        ended = await self.start_worker(responding(), known=False)
        self.add_record(ended.record(SERVICE))
        await ended.stop()
        serving = await self.start_worker(responding())
        for number in range(8):
            self.assertEqual(200, (await self.send(MUTATING, f"try-{number}")).status)
        self.assertEqual(8, len(serving.requests))

    async def test_a_request_is_rejected_if_no_worker_can_be_reached(self) -> None:
        ended = await self.start_worker(responding())
        await ended.stop()
        self.assert_rejected(await self.send(MUTATING))


class EmptyBudgetTests(DispatcherCase):
    budget = NO_BUDGET

    async def test_without_budget_a_rejected_request_is_not_retried(self) -> None:
        workers = await self.start_workers(3, rejecting(503))
        self.assert_rejected(await self.send(MUTATING))
        self.assertEqual(1, count_requests(workers))

    async def test_without_budget_a_safe_request_fails_after_a_broken_connection(self) -> None:
        workers = await self.start_workers(3, break_off)
        self.assertGreaterEqual((await self.send(SAFE)).status, 500)
        self.assertEqual(1, count_requests(workers))


class InvalidResponseTests(DispatcherCase):
    """A response that is not the worker's complete response to the request never looks like a success."""

    async def assert_never_forwarded(self, behaviour: Behaviour) -> None:
        """An unrepeatable request fails as one that may have run; a safe one is retried at another worker."""
        for prefix in (MUTATING, STREAM):
            retried = await self.send_with_second_worker(behaviour, prefix, responding(b"sound"))
            self.assert_may_have_run(retried.response)
            self.assertNotIn("X-Seal", retried.response.headers)
            self.assertEqual(
                (1, 0), (len(retried.first_worker.requests), len(retried.second_worker.requests))
            )
        retried = await self.send_with_second_worker(behaviour, SAFE, responding(b"sound"))
        self.assertEqual((200, b"sound"), (retried.response.status, retried.response.body))
        self.assertEqual((1, 1), (len(retried.first_worker.requests), len(retried.second_worker.requests)))

    async def test_a_response_to_another_request(self) -> None:
        await self.assert_never_forwarded(responding(b"other", X_Try_Id="another"))

    async def test_a_response_without_an_id(self) -> None:
        await self.assert_never_forwarded(responding(b"other", X_Try_Id=None))

    async def test_an_error_response_to_another_request(self) -> None:
        await self.assert_never_forwarded(responding(b"other", 500, X_Try_Id="another"))

    async def test_a_rejection_of_another_request(self) -> None:
        await self.assert_never_forwarded(
            responding(b"", 503, X_Try_Id="another", X_Not_Run="1", X_Seal=None)
        )

    async def test_a_success_without_a_seal(self) -> None:
        await self.assert_never_forwarded(responding(X_Seal=None))

    async def test_a_stream_without_a_seal(self) -> None:
        await self.assert_never_forwarded(
            responding(b"id: 1\n\n", X_Seal=None, Content_Type="text/event-stream")
        )

    async def test_an_encoded_body(self) -> None:
        await self.assert_never_forwarded(responding(b"\x1f\x8b", Content_Encoding="gzip"))

    async def test_a_body_that_is_cut_short(self) -> None:
        async def cut(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, b"half", Content_Length="8"))
            await exchange.break_off()

        await self.assert_never_forwarded(cut)

    async def test_a_chunked_body_that_is_cut_short(self) -> None:
        async def cut(exchange: Exchange) -> None:
            headers = {"X-Try-Id": exchange.request.id, "X-Seal": "s", "Transfer-Encoding": "chunked"}
            exchange.write_head(200, headers)
            exchange.write_chunk(b"half")
            await exchange.break_off()

        await self.assert_never_forwarded(cut)

    async def test_a_body_without_a_length_that_is_reset(self) -> None:
        async def cut(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, b"half", Content_Length=None))
            await exchange.reset()

        await self.assert_never_forwarded(cut)

    async def test_a_response_that_switches_protocols(self) -> None:
        await self.assert_never_forwarded(responding(b"", 101, Connection="upgrade", Upgrade="other"))

    async def test_a_surplus_head_that_the_actual_response_continues(self) -> None:
        async def join_heads(exchange: Exchange) -> None:
            exchange.write(b"HTTP/1.1 200 O" + response_bytes(exchange.request, b"failed", 500))

        async def join_at_a_value(exchange: Exchange) -> None:
            exchange.write(b"HTTP/1.1 200 OK\r\nX-Other: " + response_bytes(exchange.request, b"failed", 500))

        await self.assert_never_forwarded(join_heads)
        await self.assert_never_forwarded(join_at_a_value)

    async def test_a_head_that_is_cut_short(self) -> None:
        async def cut(exchange: Exchange) -> None:
            exchange.write(b"HTTP/1.1 200 OK\r\nX-Try-Id: ")
            await exchange.break_off()

        await self.assert_never_forwarded(cut)

    async def test_bytes_that_are_not_http(self) -> None:
        async def babble(exchange: Exchange) -> None:
            exchange.write(b"\x16\x03\x01\x02 not an answer\r\n\r\n")
            await exchange.break_off()

        await self.assert_never_forwarded(babble)


class SurplusBytesTests(DispatcherCase):
    """A worker sends more bytes after a complete response; the surplus belongs to no request."""

    async def assert_own_response_or_failure(self, worker: FakeWorker, request_id: str) -> None:
        """The request gets its own response or an error, and reaches the worker at most once."""
        response = await self.send(MUTATING, request_id)
        if response.status == 200:
            self.assertEqual(f"for {request_id}".encode(), response.body)
            self.assertEqual(request_id, response.headers["X-Try-Id"])
        else:
            self.assert_may_have_run(response)
        self.assertLessEqual(len(worker.requests_of(request_id)), 1)

    @staticmethod
    async def send_own_response(exchange: Exchange) -> None:
        """Respond to the request with a body that names it."""
        exchange.write(response_bytes(exchange.request, f"for {exchange.request.id}".encode()))

    async def test_a_surplus_response_directly_after_a_response(self) -> None:
        async def respond_twice(exchange: Exchange) -> None:
            await self.send_own_response(exchange)
            exchange.write(response_bytes(exchange.request, b"surplus", X_Try_Id="surplus"))

        worker = await self.start_worker(respond_twice, self.send_own_response)
        response = await self.send(MUTATING, "first")
        self.assertEqual((200, b"for first"), (response.status, response.body))
        for number in range(5):
            await self.assert_own_response_or_failure(worker, f"next-{number}")

    async def test_a_surplus_response_before_the_next_response(self) -> None:
        async def send_surplus_then_own_response(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, b"surplus", X_Try_Id="first"))
            await self.send_own_response(exchange)

        worker = await self.start_worker(
            self.send_own_response, send_surplus_then_own_response, self.send_own_response
        )
        await self.assert_own_response_or_failure(worker, "first")
        await self.assert_own_response_or_failure(worker, "second")
        await self.assert_own_response_or_failure(worker, "third")

    async def test_a_connection_is_not_reused_after_a_response_to_another_request(self) -> None:
        """The request's own response may still arrive there, and would look like that of the next request."""
        dispatcher_closed = asyncio.Event()

        async def respond_to_another_request(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, b"surplus", X_Try_Id="another"))
            await exchange.caller_closed()
            dispatcher_closed.set()
            raise ConnectionResetError

        worker = await self.start_worker(respond_to_another_request, self.send_own_response)
        self.assert_may_have_run(await self.send(MUTATING, "first"))
        self.assertEqual(200, (await self.send(MUTATING, "second")).status)
        await within(dispatcher_closed.wait())
        self.assertEqual(2, worker.connections)

    async def test_bytes_on_an_idle_connection_close_it(self) -> None:
        """The next request is sent on a new connection, where there is no surplus."""
        dispatcher_closed = asyncio.Event()

        async def send_surplus_when_idle(exchange: Exchange) -> None:
            await self.send_own_response(exchange)
            await within(answered.wait())
            exchange.write(b"HTTP/1.1 200 OK\r\nX-Part-Of-A-Surplus: ")
            await exchange.caller_closed()
            dispatcher_closed.set()
            raise ConnectionResetError

        answered = asyncio.Event()
        worker = await self.start_worker(send_surplus_when_idle, self.send_own_response)
        self.assertEqual(200, (await self.send(MUTATING, "first")).status)
        answered.set()
        await within(dispatcher_closed.wait())
        self.assertEqual(200, (await self.send(MUTATING, "second")).status)
        self.assertEqual(2, worker.connections)

    async def test_bytes_beyond_the_length_of_a_body(self) -> None:
        async def respond_with_surplus_bytes(exchange: Exchange) -> None:
            await self.send_own_response(exchange)
            exchange.write(b"surplus bytes\r\n\r\n")

        worker = await self.start_worker(respond_with_surplus_bytes, self.send_own_response)
        for number in range(5):
            await self.assert_own_response_or_failure(worker, f"try-{number}")

    async def test_every_safe_request_after_surplus_gets_its_own_response(self) -> None:
        async def respond_twice(exchange: Exchange) -> None:
            await self.send_own_response(exchange)
            exchange.write(response_bytes(exchange.request, b"surplus", X_Try_Id="surplus"))

        await self.start_workers(TRIES, respond_twice)
        for number in range(10):
            response = await self.send(SAFE, f"try-{number}")
            self.assertEqual((200, f"for try-{number}".encode()), (response.status, response.body))


class UnresponsiveWorkerTests(DispatcherCase):
    """Requests at a worker that counts as unresponsive whenever the dispatcher checks it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.checks = 0
        self.checked_often = asyncio.Event()
        self.enterContext(mock.patch.object(silence, "CHECK_INTERVAL", SHORT_CHECK))
        self.enterContext(mock.patch.object(WorkerTraffic, "is_unresponsive", self.count_check))

    def count_check(self, now: float, since: float) -> bool:
        """Replaces `WorkerTraffic.is_unresponsive`: count the check and return True."""
        self.checks += 1
        if self.checks == CHECKS:
            self.checked_often.set()
        return True

    async def check_late_response_is_forwarded(self, prefix: str, spares: int) -> None:
        """Send a request whose worker responds after many checks; no other worker gets the request."""
        self.checks = 0
        self.checked_often.clear()
        worker = await self.start_worker(delayed_until(responding(b"late"), self.checked_often))
        sending = asyncio.create_task(self.send(prefix))
        await within(worker.request_received.wait())
        others = await self.start_workers(spares, responding(b"other"))
        response = await sending
        self.assertEqual((200, b"late"), (response.status, response.body))
        self.assertEqual(0, count_requests(others))
        for each in (worker, *others):
            self.dispatcher.router.worker_gone(each.id)

    async def test_an_unrepeatable_request_stays_at_an_unresponsive_worker(self) -> None:
        for prefix in (MUTATING, STREAM):
            with self.subTest(prefix=prefix):
                await self.check_late_response_is_forwarded(prefix, spares=1)

    async def test_a_request_stays_at_an_unresponsive_worker_if_there_is_no_other(self) -> None:
        for prefix in (SAFE, RESUMED):
            with self.subTest(prefix=prefix):
                await self.check_late_response_is_forwarded(prefix, spares=0)

    async def test_a_repeatable_request_leaves_an_unresponsive_worker(self) -> None:
        for prefix in (SAFE, RESUMED):
            with self.subTest(prefix=prefix):
                retried = await self.send_with_second_worker(
                    UnresponsiveWorker(), prefix, responding(b"other")
                )
                self.assertEqual((200, b"other"), (retried.response.status, retried.response.body))
                self.assertEqual(1, len(retried.second_worker.requests))


class LeavingClientTests(DispatcherCase):
    async def test_a_request_is_cancelled_at_its_worker_when_its_client_leaves(self) -> None:
        for prefix in (SAFE, STREAM, RESUMED):
            with self.subTest(prefix=prefix):
                unresponsive = UnresponsiveWorker()
                worker = await self.start_worker(unresponsive)
                sending = asyncio.create_task(self.send(prefix))
                await within(unresponsive.request_received.wait())
                self.assertEqual(1, self.dispatcher.pool.get(worker.id).in_flight)
                sending.cancel()
                await within(unresponsive.connection_closed.wait())
                await within(self.wait_for_no_request_in_flight())
                self.assertEqual(0, self.dispatcher.pool.get(worker.id).in_flight)
                self.assertEqual(1, len(worker.requests))
                self.dispatcher.router.worker_gone(worker.id)

    async def test_a_request_is_cancelled_within_half_a_second_after_its_client_left(self) -> None:
        """Whether the client closes its connection in order or resets it."""
        loop = asyncio.get_running_loop()
        for prefix in (SAFE, MUTATING, STREAM, RESUMED):
            for reset in (False, True):
                with self.subTest(prefix=prefix, reset=reset):
                    unresponsive = UnresponsiveWorker()
                    worker = await self.start_worker(unresponsive)
                    _, writer = await asyncio.open_connection(HOST, self.dispatcher.port)
                    lines = [f"{name}: {value}" for name, value in self.headers("left").items()]
                    head = [f"POST {prefix} HTTP/1.1", *lines, "Content-Length: 1", "", "q"]
                    writer.write("\r\n".join(head).encode())
                    await within(unresponsive.request_received.wait())
                    if reset:
                        reset_at_close(writer)
                    lag, left_at = LoopLag(), loop.time()
                    writer.transport.abort()
                    await within(unresponsive.connection_closed.wait())
                    self.assertLess(loop.time() - left_at, CANCEL_LIMIT + lag.stop())
                    self.assertEqual(1, len(worker.requests))
                    self.dispatcher.router.worker_gone(worker.id)


class KeptConnectionTests(DispatcherCase):
    """A request on a persistent connection gets a response, and the connection serves the next request."""

    async def test_the_clients_connection_is_kept_whatever_the_worker_does(self) -> None:
        async def babble(exchange: Exchange) -> None:
            exchange.write(b"not an answer\r\n\r\n")
            await exchange.break_off()

        behaviours = [
            responding(),
            responding(b"failed", 500),
            rejecting(503),
            break_off,
            babble,
            Exchange.reset,
        ]
        connections = 0

        async def count_connection(*_: object) -> None:
            nonlocal connections
            connections += 1

        trace = TraceConfig()
        trace.on_connection_create_end.append(count_connection)
        kept = ClientSession(trace_configs=[trace], timeout=ClientTimeout(total=WAIT_LIMIT))
        self.addAsyncCleanup(kept.close)
        for prefix in (SAFE, MUTATING, STREAM, RESUMED):
            for number, behaviour in enumerate(behaviours):
                worker = await self.start_worker(behaviour)
                headers = self.headers(f"try-{number}")
                async with kept.post(self.url(prefix), data=b"question", headers=headers) as response:
                    self.assertEqual(number == 0, response.status == 200)
                    await response.read()
                self.assertEqual(1, len(worker.requests))
                self.dispatcher.router.worker_gone(worker.id)
        self.assertEqual(1, connections)


class DrainingDispatcherTests(DispatcherCase):
    async def test_a_draining_dispatcher_serves_a_request_and_closes_the_connection(self) -> None:
        await self.start_worker(responding())
        self.dispatcher.proxy.drain(asyncio.get_running_loop().time() + 2 * TIMEOUT_MS / 1000)
        response = await self.send(MUTATING)
        self.assertEqual((200, "close"), (response.status, response.headers["Connection"].lower()))

    async def test_a_stream_that_begins_at_a_draining_dispatcher_is_complete(self) -> None:
        await self.start_worker(streaming([1, 2, 3]))
        self.dispatcher.proxy.drain(asyncio.get_running_loop().time() + 2 * TIMEOUT_MS / 1000)
        response = await self.send(STREAM)
        self.assertEqual((200, "close"), (response.status, response.headers["Connection"].lower()))
        self.assertIn(b"piece 3", response.body)


if __name__ == "__main__":
    unittest.main()
