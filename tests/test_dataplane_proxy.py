"""A dispatcher between a client and scripted workers: what is sent where, how often, what comes back."""

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
from rookwood.lab.raw_http import reset_at_close
from tests.fake_worker import (
    HOST,
    WAIT_LIMIT,
    Behaviour,
    Exchange,
    FakeWorker,
    Silence,
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
USED_MS = 50
ROUNDING_MS = 2
SHORT_TIMEOUT_MS = 300
ANSWER_LIMIT = 0.5  # seconds after a route's timeout within which the answer is there
LEAVING_LIMIT = 0.5  # seconds after a client's end within which the work behind it stops
SHORT_PATIENCE = 0.05  # seconds
SHORT_CHECK = 0.01  # seconds
LOOKS = 5
PROMISES = (408, 421, 429, 503)  # statuses that say that a request has not run and never will
AMPLE_BUDGET = (1.0, 10.0, 1000.0)  # ratio, window, slack
NO_BUDGET = (0.0, 10.0, 0.0)


def route(prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """A route as the operator writes it."""
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
    """A service as the operator writes it."""
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
class Answer:
    """An answer as the client got it."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class SecondChance:
    """What became of a request whose first worker did not answer it."""

    answer: Answer
    first: FakeWorker
    second: FakeWorker


@dataclass
class Dispatcher:
    """The parts of a dispatcher that serve clients, on a free port."""

    pool: WorkerPool = field(default_factory=WorkerPool)
    wanted: asyncio.Queue[ServiceKey] = field(default_factory=asyncio.Queue)
    port: int = 0
    level: bool = True
    asked_for_level: asyncio.Event = field(default_factory=asyncio.Event)

    def is_level(self) -> bool:
        """Whether the configuration is the newest."""
        self.asked_for_level.set()
        return self.level

    async def start(self, budget: tuple[float, float, float]) -> None:
        """Listen without a configuration."""
        self.router = Router("e1", "z1", self.pool)
        self.client = UpstreamClient(256)
        demand = DemandMeter(self.wanted.put_nowait)
        self.proxy = Proxy(
            self.router,
            self.pool,
            demand,
            RetryBudget(*budget),
            self.client,
            on_work=lambda notice: None,
            is_level=self.is_level,
        )
        server = ClientServer(self.proxy.handle, access_log=None)
        self.runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=0.05)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, 0).start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Close everything."""
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

    def know(self, record: WorkerRecord) -> None:
        """Tell the dispatcher of a worker."""
        self.dispatcher.router.worker_changed(record)

    async def start_worker(self, *script: Behaviour, known: bool = True) -> FakeWorker:
        """A worker of the first service, known to the dispatcher unless stated otherwise."""
        worker = FakeWorker(*script, id=f"i-{next(self.numbers)}")
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        if known:
            self.know(worker.record(SERVICE))
        return worker

    async def start_workers(self, number: int, *script: Behaviour) -> list[FakeWorker]:
        """Workers with the same script."""
        return [await self.start_worker(*script) for _ in range(number)]

    async def send_past(self, behaviour: Behaviour, prefix: str, second: Behaviour) -> SecondChance:
        """Send a request that surely meets the first worker; the second one is known only after that."""
        release = asyncio.Event()
        first_worker = await self.start_worker(delayed_until(behaviour, release))
        sending = asyncio.create_task(self.send(prefix))
        await within(first_worker.request_came.wait())
        second_worker = await self.start_worker(second)
        release.set()
        answer = await sending
        for worker in (first_worker, second_worker):
            self.dispatcher.router.worker_gone(worker.id)
        return SecondChance(answer, first_worker, second_worker)

    def url(self, target: str) -> URL:
        """The dispatcher's URL of a target, which is left as it is."""
        return URL(f"http://{HOST}:{self.dispatcher.port}{target}", encoded=True)

    def headers(self, request_id: str, **changes: str) -> dict[str, str]:
        """A client's headers; further ones by name, with _ for -."""
        named = {name.replace("_", "-"): value for name, value in changes.items()}
        return {"Host": SITE, "X-Try-Id": request_id, "X-Time-Left": "3000", **named}

    async def send(
        self,
        target: str,
        request_id: str = "try-1",
        method: str = "POST",
        body: bytes | AsyncIterator[bytes] = b"question",
        **headers: str,
    ) -> Answer:
        """Send a request and read the whole answer."""
        data = None if method == "GET" else body
        async with self.client.request(
            method, self.url(target), data=data, headers=self.headers(request_id, **headers)
        ) as response:
            return Answer(response.status, dict(response.headers), await response.read())

    async def no_request_in_flight(self) -> None:
        """Wait until the dispatcher has ended all requests."""
        while self.dispatcher.proxy.in_flight:
            await asyncio.sleep(0)

    def assert_refused_early(self, answer: Answer) -> None:
        """The answer promises that nothing ran, and says when to come back."""
        self.assertEqual(503, answer.status)
        self.assertGreaterEqual(float(answer.headers["Retry-After"]), 0.0)

    def assert_no_promise(self, answer: Answer) -> None:
        """The answer is a failure that leaves open whether the request ran."""
        self.assertGreaterEqual(answer.status, 500)
        self.assertNotIn(answer.status, PROMISES)


def count_requests(workers: list[FakeWorker], request_id: str = "try-1") -> int:
    """How often one try of a client came to any of the workers."""
    return sum(len(worker.requests_of(request_id)) for worker in workers)


class ForwardingTests(DispatcherCase):
    async def test_request_and_answer_pass_unchanged(self) -> None:
        worker = await self.start_worker(responding(b"\x00\xffbytes", 201, X_Other="kept"))
        target = f"{MUTATING}a%2Fb/../c?x=%20y&&z=1+2"
        answer = await self.send(target, method="PUT", body=b"\x00\xfe", X_Custom="passed")
        (request,) = worker.requests
        self.assertEqual(("PUT", target, b"\x00\xfe"), (request.method, request.target, request.body))
        self.assertEqual("try-1", request.id)
        self.assertEqual("passed", request.headers["x-custom"])
        self.assertEqual(SITE, request.headers["host"])
        self.assertEqual((201, b"\x00\xffbytes"), (answer.status, answer.body))
        self.assertEqual(seal_of(request), answer.headers["X-Seal"])
        self.assertEqual("try-1", answer.headers["X-Try-Id"])
        self.assertEqual("kept", answer.headers["X-Other"])

    async def test_a_failure_of_the_worker_passes_unchanged(self) -> None:
        for status in (400, 404, 500, 504):
            with self.subTest(status=status):
                worker = await self.start_worker(responding(b"failed", status))
                answer = await self.send(MUTATING)
                self.assertEqual((status, b"failed"), (answer.status, answer.body))
                self.assertEqual(seal_of(worker.requests[0]), answer.headers["X-Seal"])
                self.dispatcher.router.worker_gone(worker.id)

    async def test_a_chunked_body_arrives_whole(self) -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(3):
                yield b"chunk"

        worker = await self.start_worker(responding())
        answer = await self.send(MUTATING, body=chunks())
        self.assertEqual(200, answer.status)
        self.assertEqual([b"chunk" * 3], [request.body for request in worker.requests])

    async def test_a_chunked_answer_arrives_whole(self) -> None:
        async def answer_in_chunks(exchange: Exchange) -> None:
            headers = {"X-Try-Id": exchange.request.id, "X-Seal": "s", "Transfer-Encoding": "chunked"}
            exchange.write_head(200, headers)
            for piece in (b"first", b"second", b""):
                exchange.write_chunk(piece)

        await self.start_worker(answer_in_chunks)
        self.assertEqual(b"firstsecond", (await self.send(SAFE)).body)

    async def test_what_a_request_says_of_its_prompt_reaches_every_worker_unchanged(self) -> None:
        told = {"X-Model": "small/a1", "X-Tokens": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410"}
        for prefix in (SAFE, STREAM):
            workers = await self.start_workers(TRIES, rejecting(503))
            for worker in workers:
                self.know(worker.record(SERVICE, models=(HeldModel("small", 1, frozenset({"a1"})),)))
            headers = {**self.headers(f"try-{prefix}"), **told}
            async with self.client.post(self.url(prefix), data=b"question", headers=headers) as response:
                self.assertEqual(503, response.status)
            requests = [request for worker in workers for request in worker.requests]
            self.assertEqual(TRIES, len(requests))
            for request in requests:
                self.assertEqual(f"try-{prefix}", request.id)
                self.assertEqual(told, {name: request.headers[name.lower()] for name in told})
            for worker in workers:
                self.dispatcher.router.worker_gone(worker.id)

    async def test_each_send_names_the_worker_it_is_for(self) -> None:
        workers = await self.start_workers(2, rejecting(503))
        await self.send(MUTATING)
        for worker in workers:
            self.assertEqual([worker.id], [r.headers["x-want-instance"] for r in worker.requests])

    async def test_workers_are_told_the_rank_of_the_route(self) -> None:
        """The more urgent route comes first; on a worker with room a short prompt goes before all others."""
        worker = await self.start_worker(responding())
        self.configure({**CONFIGURATION, "routes": [route(f"/rank-{n}/", "safe", prio=n) for n in range(9)]})
        traffic = self.dispatcher.pool.get(worker.id)
        for busy in (False, True):  # what a worker told of its load counts for a while
            for number in range(9):
                if busy:
                    traffic.tell_load(8, 0, 8, asyncio.get_running_loop().time())
                await self.send(f"/rank-{number}/", f"{busy}-{number}")
            told = [int(request.headers["priority"]) for request in worker.requests]
            worker.requests.clear()
            self.assertEqual(sorted(told), told)
            self.assertTrue(set(told) <= set(range(10)))
            if busy:
                self.assertEqual(list(range(2, 10)), told[:8])
            else:
                self.assertEqual({1}, set(told))

    async def test_the_time_left_is_never_more_than_client_or_route_allow(self) -> None:
        workers = await self.start_workers(TRIES, rejecting(429))
        for told, most in (("800", 800), ("60000", TIMEOUT_MS)):
            request_id = f"try-{told}"
            await self.send(MUTATING, request_id, X_Time_Left=told)
            sent = [r.headers["x-time-left"] for worker in workers for r in worker.requests_of(request_id)]
            self.assertTrue(sent)
            for value in sent:
                self.assertGreater(int(value), 0)
                self.assertLessEqual(int(value), most)

    async def test_the_time_left_is_reduced_by_the_time_that_has_passed(self) -> None:
        loop = asyncio.get_running_loop()

        async def use_time_and_refuse(exchange: Exchange) -> None:
            used = asyncio.Event()
            loop.call_later(USED_MS / 1000, used.set)
            await used.wait()
            await rejecting(503)(exchange)

        workers = await self.start_workers(2, use_time_and_refuse)
        began = loop.time()
        await self.send(MUTATING, X_Time_Left="2000")
        passed_ms = (loop.time() - began) * 1000
        left = [int(r.headers["x-time-left"]) for worker in workers for r in worker.requests]
        first, second = max(left), min(left)
        self.assertLessEqual(second, first - USED_MS + ROUNDING_MS)
        self.assertGreaterEqual(second, 2000 - passed_ms - ROUNDING_MS)

    async def test_the_answer_comes_by_the_timeout_of_the_route(self) -> None:
        """Also where the client would wait for longer, and whatever may be done with the request."""
        routes = [{**item, "timeout-ms": SHORT_TIMEOUT_MS} for item in CONFIGURATION["routes"]]
        self.configure({**CONFIGURATION, "ver": 2, "routes": routes})
        loop = asyncio.get_running_loop()
        for prefix in (SAFE, MUTATING, STREAM, RESUMED):
            with self.subTest(prefix=prefix):
                worker = await self.start_worker(Silence())
                lag, began = LoopLag(), loop.time()
                answer = await self.send(prefix, X_Time_Left="60000")
                took = loop.time() - began
                self.assertLess(took, SHORT_TIMEOUT_MS / 1000 + ANSWER_LIMIT + lag.stop())
                self.assert_no_promise(answer)
                self.dispatcher.router.worker_gone(worker.id)

    async def test_the_answer_comes_by_the_deadline(self) -> None:
        silent = Silence()
        await self.start_worker(silent)
        answer = await self.send(MUTATING, X_Time_Left="400")
        self.assert_no_promise(answer)
        await within(silent.abandoned.wait())


class RoutingTests(DispatcherCase):
    async def test_an_unknown_route_is_not_found(self) -> None:
        worker = await self.start_worker(responding())
        self.assertEqual(404, (await self.send("/nowhere/")).status)
        self.assertEqual(404, (await self.send(SAFE, Host="other.example")).status)
        self.assertEqual([], worker.requests)

    async def test_a_route_is_served_from_its_configuration_on(self) -> None:
        await self.start_worker(responding())
        self.assertEqual(404, (await self.send("/later/")).status)
        routes = [*CONFIGURATION["routes"], route("/later/", "safe")]
        self.configure({**CONFIGURATION, "ver": 2, "routes": routes})
        self.assertEqual(200, (await self.send("/later/")).status)

    async def test_an_unknown_route_is_refused_by_a_dispatcher_that_is_behind(self) -> None:
        worker = await self.start_worker(responding())
        self.dispatcher.level = False
        with mock.patch.object(route_matching, "ROUTE_PATIENCE", SHORT_PATIENCE):
            self.assert_refused_early(await self.send("/nowhere/"))
        self.assertEqual([], worker.requests)

    async def test_a_request_waits_for_the_configuration_that_has_its_route(self) -> None:
        await self.start_worker(responding())
        self.dispatcher.level = False
        sending = asyncio.create_task(self.send("/later/"))
        await within(self.dispatcher.asked_for_level.wait())
        routes = [*CONFIGURATION["routes"], route("/later/", "safe")]
        self.configure({**CONFIGURATION, "ver": 2, "routes": routes})
        self.assertEqual(200, (await sending).status)

    async def test_a_body_over_the_limit_is_refused(self) -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(BODY_LIMIT // 1024 + 1):
                yield bytes(1024)

        worker = await self.start_worker(responding())
        self.assertEqual(413, (await self.send(MUTATING, body=bytes(BODY_LIMIT + 1))).status)
        self.assertEqual(413, (await self.send(MUTATING, body=chunks())).status)
        self.assertEqual([], worker.requests)
        self.assertEqual(200, (await self.send(MUTATING, body=bytes(BODY_LIMIT))).status)

    async def test_nothing_runs_before_there_is_a_configuration(self) -> None:
        bare = Dispatcher()
        await bare.start(AMPLE_BUDGET)
        self.addAsyncCleanup(bare.stop)
        self.dispatcher.port = bare.port
        self.assert_refused_early(await self.send(MUTATING))

    async def test_without_a_worker_the_request_is_refused_early(self) -> None:
        self.assert_refused_early(await self.send(MUTATING))

    async def test_a_draining_worker_gets_nothing(self) -> None:
        leaving = await self.start_worker(responding(), known=False)
        self.know(leaving.record(SERVICE, draining=True))
        self.assert_refused_early(await self.send(SAFE))
        staying = await self.start_worker(responding())
        for number in range(20):
            self.assertEqual(200, (await self.send(SAFE, f"try-{number}")).status)
        self.assertEqual((0, 20), (len(leaving.requests), len(staying.requests)))

    async def test_a_worker_that_begins_to_drain_gets_nothing_more(self) -> None:
        worker = await self.start_worker(responding())
        self.assertEqual(200, (await self.send(SAFE, "before")).status)
        self.know(worker.record(SERVICE, draining=True))
        self.assert_refused_early(await self.send(SAFE, "after"))
        self.assertEqual([], worker.requests_of("after"))

    async def test_a_worker_that_is_gone_gets_nothing_more(self) -> None:
        worker = await self.start_worker(responding())
        self.dispatcher.router.worker_gone(worker.id)
        self.assert_refused_early(await self.send(SAFE))
        self.assertEqual([], worker.requests)

    async def test_a_split_route_sends_one_request_to_one_service_only(self) -> None:
        first = await self.start_worker(rejecting(503))
        second = await self.start_worker(rejecting(503), known=False)
        self.know(second.record(OTHER_SERVICE))
        for number in range(12):
            await self.send(SPLIT, f"try-{number}")
        ids = [{request.id for request in worker.requests} for worker in (first, second)]
        self.assertTrue(ids[0] and ids[1])
        self.assertEqual(set(), ids[0] & ids[1])

    async def test_a_request_without_an_id_runs_nowhere(self) -> None:
        worker = await self.start_worker(responding())
        answer = await self.send(SAFE, request_id="")
        self.assertGreaterEqual(answer.status, 400)
        self.assertEqual([], worker.requests)


class WeightsTests(DispatcherCase):
    async def start_holder(self, *models: HeldModel) -> FakeWorker:
        """A worker of the service with models."""
        worker = await self.start_worker(responding(), known=False)
        self.know(worker.record(MODEL_SERVICE, models=models))
        return worker

    async def test_only_a_worker_with_the_weights_gets_the_request(self) -> None:
        bare = await self.start_holder()
        plain = await self.start_holder(HeldModel("small", 1, frozenset()))
        adapted = await self.start_holder(HeldModel("small", 1, frozenset({"a1"})))
        for number in range(10):
            answer = await self.send(MODELS, f"adapter-{number}", X_Model="small/a1")
            self.assertEqual(200, answer.status)
            answer = await self.send(MODELS, f"plain-{number}", X_Model="small")
            self.assertEqual(200, answer.status)
        self.assertEqual([], bare.requests)
        self.assertTrue(all(request.id.startswith("plain") for request in plain.requests))
        self.assertEqual(10, sum(request.id.startswith("adapter") for request in adapted.requests))

    async def test_a_request_waits_until_its_weights_are_loaded(self) -> None:
        worker = await self.start_holder()
        sending = asyncio.create_task(self.send(MODELS, X_Model="small"))
        self.assertEqual(ServiceKey(MODEL_SERVICE, "small", ""), await within(self.dispatcher.wanted.get()))
        self.know(replace(worker.record(MODEL_SERVICE), models=(HeldModel("small", 1, frozenset()),)))
        self.assertEqual(200, (await sending).status)

    async def test_a_request_that_waits_for_weights_follows_a_change_of_its_route(self) -> None:
        plain = await self.start_worker(responding(), known=False)
        self.know(plain.record(SERVICE, models=(HeldModel("small", 1, frozenset()),)))
        holder = await self.start_holder()
        sending = asyncio.create_task(self.send(MODELS, X_Model="small"))
        await within(self.dispatcher.wanted.get())
        others = [item for item in CONFIGURATION["routes"] if item["pfx"] != MODELS]
        self.configure({**CONFIGURATION, "ver": 2, "routes": [*others, route(MODELS, "safe")]})
        self.assertEqual(200, (await sending).status)
        self.assertEqual((1, 0), (len(plain.requests), len(holder.requests)))

    async def test_a_request_whose_client_left_while_it_waited_is_sent_to_nobody(self) -> None:
        worker = await self.start_holder()
        sending = asyncio.create_task(self.send(MODELS, "left", X_Model="small"))
        await within(self.dispatcher.wanted.get())
        lag, left_at = LoopLag(), asyncio.get_running_loop().time()
        sending.cancel()
        await within(self.no_request_in_flight())
        self.assertLess(asyncio.get_running_loop().time() - left_at, LEAVING_LIMIT + lag.stop())
        self.know(replace(worker.record(MODEL_SERVICE), models=(HeldModel("small", 1, frozenset()),)))
        self.assertEqual(200, (await self.send(MODELS, "next", X_Model="small")).status)
        self.assertEqual(["next"], [request.id for request in worker.requests])

    async def test_who_can_not_wait_for_a_load_is_told_at_once_when_to_come_back(self) -> None:
        """The load takes longer than the objective. Who comes back is held; the load goes on meanwhile."""
        worker = await self.start_holder()
        answer = await self.send(URGENT_MODELS, X_Model="small", X_Time_Left="3000")
        self.assert_refused_early(answer)
        (load_s,) = (model["load-s"] for model in RUNTIME_MODELS)
        self.assertAlmostEqual(ORDER_TIME + load_s, float(answer.headers["Retry-After"]), places=1)
        key = ServiceKey(MODEL_SERVICE, "small", "")
        self.assertEqual(key, await within(self.dispatcher.wanted.get()))
        sending = asyncio.create_task(self.send(URGENT_MODELS, X_Model="small", X_Time_Left="2500"))
        self.know(replace(worker.record(MODEL_SERVICE), models=(HeldModel("small", 1, frozenset()),)))
        self.assertEqual(200, (await sending).status)

    async def test_an_adapter_of_a_held_model_is_waited_for(self) -> None:
        worker = await self.start_holder(HeldModel("small", 1, frozenset()))
        sending = asyncio.create_task(self.send(URGENT_MODELS, X_Model="small/a1", X_Time_Left="3000"))
        await within(self.dispatcher.wanted.get())
        adapted = HeldModel("small", 1, frozenset({"a1"}))
        self.know(replace(worker.record(MODEL_SERVICE), models=(adapted,)))
        self.assertEqual(200, (await sending).status)

    async def test_weights_that_never_come_are_a_refusal(self) -> None:
        await self.start_holder()
        self.assert_refused_early(await self.send(MODELS, X_Model="small", X_Time_Left="200"))


class RepetitionTests(DispatcherCase):
    async def test_a_rejected_request_goes_to_another_worker(self) -> None:
        for status in (503, 429, 421):
            for prefix in (SAFE, MUTATING, STREAM):
                with self.subTest(status=status, prefix=prefix):
                    outcome = await self.send_past(rejecting(status), prefix, responding())
                    self.assertEqual((200, b"answer"), (outcome.answer.status, outcome.answer.body))
                    self.assertEqual((1, 1), (len(outcome.first.requests), len(outcome.second.requests)))
                    wanted = outcome.second.requests[0].headers["x-want-instance"]
                    self.assertEqual(outcome.second.id, wanted)

    async def test_a_rejected_request_was_sent_all_the_same(self) -> None:
        """`tries` is the largest number of workers to which one try may be sent, whatever they say."""
        workers = await self.start_workers(3, rejecting(503))
        self.assert_refused_early(await self.send(ONCE))
        self.assertEqual(1, count_requests(workers))

    async def test_no_more_workers_are_tried_than_the_route_allows(self) -> None:
        workers = await self.start_workers(TRIES + 2, rejecting(503))
        self.assert_refused_early(await self.send(MUTATING))
        self.assertEqual(TRIES, count_requests(workers))

    async def test_one_worker_is_not_tried_twice(self) -> None:
        worker = await self.start_worker(rejecting(503))
        self.assert_refused_early(await self.send(MUTATING))
        self.assertEqual(1, len(worker.requests))

    async def test_a_safe_request_is_repeated_after_a_break(self) -> None:
        outcome = await self.send_past(break_off, SAFE, responding())
        self.assertEqual((200, b"answer"), (outcome.answer.status, outcome.answer.body))
        self.assertEqual((1, 1), (len(outcome.first.requests), len(outcome.second.requests)))

    async def test_a_safe_request_that_breaks_everywhere_fails(self) -> None:
        workers = await self.start_workers(TRIES + 2, break_off)
        self.assertGreaterEqual((await self.send(SAFE)).status, 500)
        self.assertEqual(TRIES, count_requests(workers))

    async def test_an_unrepeatable_request_is_never_sent_again_after_a_break(self) -> None:
        for prefix in (MUTATING, STREAM):
            for method in ("POST", "GET", "PUT", "DELETE"):
                with self.subTest(prefix=prefix, method=method):
                    workers = await self.start_workers(3, break_off)
                    self.assert_no_promise(await self.send(prefix, method=method))
                    self.assertEqual(1, count_requests(workers))
                    for worker in workers:
                        self.dispatcher.router.worker_gone(worker.id)

    async def test_an_unrepeatable_request_is_never_sent_again_on_a_kept_connection(self) -> None:
        for method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(method=method):
                worker = await self.start_worker(responding(), break_off)
                self.assertEqual(200, (await self.send(MUTATING, "first", method=method)).status)
                self.assert_no_promise(await self.send(MUTATING, "second", method=method))
                self.assertEqual(1, len(worker.requests_of("second")))
                self.dispatcher.router.worker_gone(worker.id)

    async def test_a_status_that_promises_is_not_passed_for_a_request_that_may_have_run(self) -> None:
        for status in PROMISES:
            if status == 421:  # a worker that says so has not run the request
                continue
            for prefix in (MUTATING, STREAM):
                with self.subTest(status=status, prefix=prefix):
                    workers = await self.start_workers(2, responding(b"busy", status))
                    answer = await self.send(prefix)
                    self.assert_no_promise(answer)
                    self.assertNotIn("X-Seal", answer.headers)
                    self.assertEqual(1, count_requests(workers))
                    for worker in workers:
                        self.dispatcher.router.worker_gone(worker.id)

    async def test_a_worker_that_cannot_be_reached_costs_no_try(self) -> None:
        ended = await self.start_worker(responding(), known=False)
        self.know(ended.record(SERVICE))
        await ended.stop()
        serving = await self.start_worker(responding())
        for number in range(8):
            self.assertEqual(200, (await self.send(MUTATING, f"try-{number}")).status)
        self.assertEqual(8, len(serving.requests))

    async def test_where_no_worker_can_be_reached_the_request_is_refused(self) -> None:
        ended = await self.start_worker(responding())
        await ended.stop()
        self.assert_refused_early(await self.send(MUTATING))


class BudgetTests(DispatcherCase):
    budget = NO_BUDGET

    async def test_without_budget_no_second_worker_is_tried(self) -> None:
        workers = await self.start_workers(3, rejecting(503))
        self.assert_refused_early(await self.send(MUTATING))
        self.assertEqual(1, count_requests(workers))

    async def test_without_budget_a_broken_safe_request_fails(self) -> None:
        workers = await self.start_workers(3, break_off)
        self.assertGreaterEqual((await self.send(SAFE)).status, 500)
        self.assertEqual(1, count_requests(workers))


class FalseAnswerTests(DispatcherCase):
    """Answers that are not the worker's whole true answer never reach the client as a success."""

    async def assert_never_passed(self, behaviour: Behaviour) -> None:
        """An unrepeatable request fails without a promise, a safe one is answered by another worker."""
        for prefix in (MUTATING, STREAM):
            outcome = await self.send_past(behaviour, prefix, responding(b"sound"))
            self.assert_no_promise(outcome.answer)
            self.assertNotIn("X-Seal", outcome.answer.headers)
            self.assertEqual((1, 0), (len(outcome.first.requests), len(outcome.second.requests)))
        outcome = await self.send_past(behaviour, SAFE, responding(b"sound"))
        self.assertEqual((200, b"sound"), (outcome.answer.status, outcome.answer.body))
        self.assertEqual((1, 1), (len(outcome.first.requests), len(outcome.second.requests)))

    async def test_an_answer_to_another_request(self) -> None:
        await self.assert_never_passed(responding(b"other", X_Try_Id="another"))

    async def test_an_answer_without_an_id(self) -> None:
        await self.assert_never_passed(responding(b"other", X_Try_Id=None))

    async def test_a_failure_that_answers_another_request(self) -> None:
        await self.assert_never_passed(responding(b"other", 500, X_Try_Id="another"))

    async def test_a_rejection_of_another_request(self) -> None:
        await self.assert_never_passed(responding(b"", 503, X_Try_Id="another", X_Not_Run="1", X_Seal=None))

    async def test_a_success_without_a_seal(self) -> None:
        await self.assert_never_passed(responding(X_Seal=None))

    async def test_a_stream_without_a_seal(self) -> None:
        await self.assert_never_passed(
            responding(b"id: 1\n\n", X_Seal=None, Content_Type="text/event-stream")
        )

    async def test_an_encoded_body(self) -> None:
        await self.assert_never_passed(responding(b"\x1f\x8b", Content_Encoding="gzip"))

    async def test_a_body_that_is_cut_short(self) -> None:
        async def cut(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, b"half", Content_Length="8"))
            await exchange.break_off()

        await self.assert_never_passed(cut)

    async def test_a_chunked_body_that_is_cut_short(self) -> None:
        async def cut(exchange: Exchange) -> None:
            headers = {"X-Try-Id": exchange.request.id, "X-Seal": "s", "Transfer-Encoding": "chunked"}
            exchange.write_head(200, headers)
            exchange.write_chunk(b"half")
            await exchange.break_off()

        await self.assert_never_passed(cut)

    async def test_a_body_without_a_length_that_is_reset(self) -> None:
        async def cut(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, b"half", Content_Length=None))
            await exchange.reset()

        await self.assert_never_passed(cut)

    async def test_an_answer_that_switches_protocols(self) -> None:
        await self.assert_never_passed(responding(b"", 101, Connection="upgrade", Upgrade="other"))

    async def test_a_surplus_head_that_the_true_answer_continues(self) -> None:
        async def join_heads(exchange: Exchange) -> None:
            exchange.write(b"HTTP/1.1 200 O" + response_bytes(exchange.request, b"failed", 500))

        async def join_at_a_value(exchange: Exchange) -> None:
            exchange.write(b"HTTP/1.1 200 OK\r\nX-Other: " + response_bytes(exchange.request, b"failed", 500))

        await self.assert_never_passed(join_heads)
        await self.assert_never_passed(join_at_a_value)

    async def test_a_head_that_is_cut_short(self) -> None:
        async def cut(exchange: Exchange) -> None:
            exchange.write(b"HTTP/1.1 200 OK\r\nX-Try-Id: ")
            await exchange.break_off()

        await self.assert_never_passed(cut)

    async def test_bytes_that_are_no_answer(self) -> None:
        async def babble(exchange: Exchange) -> None:
            exchange.write(b"\x16\x03\x01\x02 not an answer\r\n\r\n")
            await exchange.break_off()

        await self.assert_never_passed(babble)


class SurplusTests(DispatcherCase):
    """A worker sends more after a whole answer: the surplus belongs to no request."""

    async def assert_own_answer_or_none(self, worker: FakeWorker, request_id: str) -> None:
        """The request gets its own answer, or a failure; it is sent at most once."""
        answer = await self.send(MUTATING, request_id)
        if answer.status == 200:
            self.assertEqual(f"for {request_id}".encode(), answer.body)
            self.assertEqual(request_id, answer.headers["X-Try-Id"])
        else:
            self.assert_no_promise(answer)
        self.assertLessEqual(len(worker.requests_of(request_id)), 1)

    @staticmethod
    async def answer_own(exchange: Exchange) -> None:
        """The right answer."""
        exchange.write(response_bytes(exchange.request, f"for {exchange.request.id}".encode()))

    async def test_a_surplus_answer_at_once(self) -> None:
        async def answer_twice(exchange: Exchange) -> None:
            await self.answer_own(exchange)
            exchange.write(response_bytes(exchange.request, b"surplus", X_Try_Id="surplus"))

        worker = await self.start_worker(answer_twice, self.answer_own)
        answer = await self.send(MUTATING, "first")
        self.assertEqual((200, b"for first"), (answer.status, answer.body))
        for number in range(5):
            await self.assert_own_answer_or_none(worker, f"next-{number}")

    async def test_a_surplus_answer_in_the_place_of_the_next(self) -> None:
        async def answer_late_surplus_first(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, b"surplus", X_Try_Id="first"))
            await self.answer_own(exchange)

        worker = await self.start_worker(self.answer_own, answer_late_surplus_first, self.answer_own)
        await self.assert_own_answer_or_none(worker, "first")
        await self.assert_own_answer_or_none(worker, "second")
        await self.assert_own_answer_or_none(worker, "third")

    async def test_a_connection_is_not_used_again_after_an_answer_to_another_request(self) -> None:
        """Its own answer is still to come there, and would be taken for that of the next request."""
        left = asyncio.Event()

        async def answer_another(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, b"surplus", X_Try_Id="another"))
            await exchange.caller_closed()
            left.set()
            raise ConnectionResetError

        worker = await self.start_worker(answer_another, self.answer_own)
        self.assert_no_promise(await self.send(MUTATING, "first"))
        self.assertEqual(200, (await self.send(MUTATING, "second")).status)
        await within(left.wait())
        self.assertEqual(2, worker.connections)

    async def test_bytes_on_an_idle_connection_end_it(self) -> None:
        """The next request is sent on a new connection, so that it can't meet the surplus."""
        surplus_sent = asyncio.Event()

        async def answer_twice(exchange: Exchange) -> None:
            await self.answer_own(exchange)
            await within(answered.wait())
            exchange.write(b"HTTP/1.1 200 OK\r\nX-Part-Of-A-Surplus: ")
            await exchange.caller_closed()
            surplus_sent.set()
            raise ConnectionResetError

        answered = asyncio.Event()
        worker = await self.start_worker(answer_twice, self.answer_own)
        self.assertEqual(200, (await self.send(MUTATING, "first")).status)
        answered.set()
        await within(surplus_sent.wait())
        self.assertEqual(200, (await self.send(MUTATING, "second")).status)
        self.assertEqual(2, worker.connections)

    async def test_bytes_beyond_the_length_of_a_body(self) -> None:
        async def answer_more(exchange: Exchange) -> None:
            await self.answer_own(exchange)
            exchange.write(b"surplus bytes\r\n\r\n")

        worker = await self.start_worker(answer_more, self.answer_own)
        for number in range(5):
            await self.assert_own_answer_or_none(worker, f"try-{number}")

    async def test_every_request_after_surplus_gets_its_own_answer_when_safe(self) -> None:
        async def answer_twice(exchange: Exchange) -> None:
            await self.answer_own(exchange)
            exchange.write(response_bytes(exchange.request, b"surplus", X_Try_Id="surplus"))

        await self.start_workers(TRIES, answer_twice)
        for number in range(10):
            answer = await self.send(SAFE, f"try-{number}")
            self.assertEqual((200, f"for try-{number}".encode()), (answer.status, answer.body))


class SilentWorkerTests(DispatcherCase):
    """A worker from which nothing was heard for too long, by what the dispatcher is told of it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.looks = 0
        self.looked_often = asyncio.Event()
        self.enterContext(mock.patch.object(silence, "CHECK_INTERVAL", SHORT_CHECK))
        self.enterContext(mock.patch.object(WorkerTraffic, "silent", self.note_look))

    def note_look(self, now: float, since: float) -> bool:
        """The worker counts as silent, whenever it is looked at."""
        self.looks += 1
        if self.looks == LOOKS:
            self.looked_often.set()
        return True

    async def answer_after_silence(self, prefix: str, spares: int) -> None:
        """Send a request whose worker answers after many looks; nobody else gets it."""
        self.looks = 0
        self.looked_often.clear()
        worker = await self.start_worker(delayed_until(responding(b"late"), self.looked_often))
        sending = asyncio.create_task(self.send(prefix))
        await within(worker.request_came.wait())
        others = await self.start_workers(spares, responding(b"other"))
        answer = await sending
        self.assertEqual((200, b"late"), (answer.status, answer.body))
        self.assertEqual(0, count_requests(others))
        for each in (worker, *others):
            self.dispatcher.router.worker_gone(each.id)

    async def test_silence_ends_no_answer_of_what_may_not_be_repeated(self) -> None:
        for prefix in (MUTATING, STREAM):
            with self.subTest(prefix=prefix):
                await self.answer_after_silence(prefix, spares=1)

    async def test_silence_ends_no_answer_that_nobody_else_can_give(self) -> None:
        for prefix in (SAFE, RESUMED):
            with self.subTest(prefix=prefix):
                await self.answer_after_silence(prefix, spares=0)

    async def test_what_may_be_repeated_goes_to_another_worker(self) -> None:
        for prefix in (SAFE, RESUMED):
            with self.subTest(prefix=prefix):
                outcome = await self.send_past(Silence(), prefix, responding(b"other"))
                self.assertEqual((200, b"other"), (outcome.answer.status, outcome.answer.body))
                self.assertEqual(1, len(outcome.second.requests))


class LeavingClientTests(DispatcherCase):
    async def test_a_client_that_leaves_frees_the_worker(self) -> None:
        for prefix in (SAFE, STREAM, RESUMED):
            with self.subTest(prefix=prefix):
                silent = Silence()
                worker = await self.start_worker(silent)
                sending = asyncio.create_task(self.send(prefix))
                await within(silent.began.wait())
                self.assertEqual(1, self.dispatcher.pool.get(worker.id).in_flight)
                sending.cancel()
                await within(silent.abandoned.wait())
                await within(self.no_request_in_flight())
                self.assertEqual(0, self.dispatcher.pool.get(worker.id).in_flight)
                self.assertEqual(1, len(worker.requests))
                self.dispatcher.router.worker_gone(worker.id)

    async def test_work_stops_within_half_a_second_of_the_clients_end(self) -> None:
        """However the client ends its connection: in order, or with a reset."""
        loop = asyncio.get_running_loop()
        for prefix in (SAFE, MUTATING, STREAM, RESUMED):
            for reset in (False, True):
                with self.subTest(prefix=prefix, reset=reset):
                    silent = Silence()
                    worker = await self.start_worker(silent)
                    _, writer = await asyncio.open_connection(HOST, self.dispatcher.port)
                    lines = [f"{name}: {value}" for name, value in self.headers("left").items()]
                    head = [f"POST {prefix} HTTP/1.1", *lines, "Content-Length: 1", "", "q"]
                    writer.write("\r\n".join(head).encode())
                    await within(silent.began.wait())
                    if reset:
                        reset_at_close(writer)
                    lag, left_at = LoopLag(), loop.time()
                    writer.transport.abort()
                    await within(silent.abandoned.wait())
                    self.assertLess(loop.time() - left_at, LEAVING_LIMIT + lag.stop())
                    self.assertEqual(1, len(worker.requests))
                    self.dispatcher.router.worker_gone(worker.id)


class KeptConnectionTests(DispatcherCase):
    """A request on a kept connection gets an answer, and the connection serves the next one."""

    async def test_whatever_its_worker_does_a_request_is_answered_and_the_connection_kept(self) -> None:
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
    async def test_a_dispatcher_that_drains_still_answers_and_closes_the_connection(self) -> None:
        await self.start_worker(responding())
        self.dispatcher.proxy.drain(asyncio.get_running_loop().time() + 2 * TIMEOUT_MS / 1000)
        answer = await self.send(MUTATING)
        self.assertEqual((200, "close"), (answer.status, answer.headers["Connection"].lower()))

    async def test_a_stream_that_a_draining_dispatcher_begins_ends_whole(self) -> None:
        await self.start_worker(streaming([1, 2, 3]))
        self.dispatcher.proxy.drain(asyncio.get_running_loop().time() + 2 * TIMEOUT_MS / 1000)
        answer = await self.send(STREAM)
        self.assertEqual((200, "close"), (answer.status, answer.headers["Connection"].lower()))
        self.assertIn(b"piece 3", answer.body)


if __name__ == "__main__":
    unittest.main()
