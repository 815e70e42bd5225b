"""The emulated model worker: what it answers, records, loads and announces, and how its faults look."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, field, replace

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout, web

from rookwood.lab.emulatedworker.faults import (
    CrashMidStream,
    CutAnswer,
    ExtraAnswer,
    Fault,
    Full,
    Hang,
    Pause,
    ServerError,
    Slow,
)
from rookwood.lab.emulatedworker.records import RunOutcome, ViolationKind
from rookwood.lab.emulatedworker.registration import ServiceState
from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.weights import JsonObject, ModelSpec, WeightStore
from rookwood.lab.emulatedworker.worker import ModelWorker, cancel_until_ended, inject_into_any
from rookwood.lab.systemstage.events import EventParser
from rookwood.lab.systemstage.waiting import eventually

SMALL = ModelSpec("small", size_mb=60.0, load_s=0.02, adapters=3, adapter_mb=10.0)
LARGE = ModelSpec("large", size_mb=90.0, load_s=0.02)
SETTINGS = WorkerSettings(
    service="models",
    catalogue=(SMALL, LARGE),
    size_mb=160.0,
    adapter_slots=2,
    event_interval_s=0.001,
    work_s=0.001,
    heartbeat_interval_s=0.02,
    drain_s=0.05,
    report_lag_s=0.0,
)
PLAIN_SETTINGS = replace(SETTINGS, service="pages", catalogue=())


@dataclass
class Answer:
    """An answer of a worker, read as far as it came."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@dataclass
class ControlPlaneStub:
    """Takes registrations as a control plane does."""

    registrations: list[JsonObject] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    status: int = 200
    answer: JsonObject = field(default_factory=dict)
    address: str = ""

    async def start(self, case: unittest.IsolatedAsyncioTestCase) -> None:
        """Listens until the test case ends."""
        app = web.Application()
        app.router.add_put("/workers/{id}", self._register)
        app.router.add_delete("/workers/{id}", self._deregister)
        runner = web.AppRunner(app, shutdown_timeout=0.05)
        await runner.setup()
        case.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{runner.addresses[0][1]}"

    async def _register(self, request: web.Request) -> web.Response:
        self.registrations.append(await request.json())
        return web.json_response(self.answer, status=self.status)

    async def _deregister(self, request: web.Request) -> web.Response:
        self.removed.append(request.match_info["id"])
        return web.Response()


class WorkerCase(unittest.IsolatedAsyncioTestCase):
    """A session, and workers that are stopped at the end."""

    async def asyncSetUp(self) -> None:
        self.session = await self.enterAsyncContext(ClientSession(timeout=ClientTimeout(total=10)))

    async def started(
        self,
        settings: WorkerSettings = SETTINGS,
        *,
        held: tuple[str, ...] = ("small",),
        control_addresses: tuple[str, ...] = (),
        store: WeightStore | None = None,
        local_weights: set[str] | None = None,
    ) -> ModelWorker:
        """A worker that listens."""
        worker = ModelWorker(settings, control_addresses, held=held, store=store, local_weights=local_weights)
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        return worker

    async def send(self, worker: ModelWorker, try_id: str = "t1", **headers: str) -> Answer:
        """Sends a request; an underscore in a header's name stands for a hyphen."""
        sent = {"X-Try-Id": try_id, "X-Model": "small"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.post(
            f"http://{worker.address}/path/2f?q=1", data=b"body", headers=sent
        ) as response:
            return await read_answer(response)

    async def order(self, worker: ModelWorker, **changes: object) -> int:
        """Sends an order and returns the status."""
        document: JsonObject = {"op": "place", "model": "large", "owner": "node-1", "fence": 1}
        document |= {name.replace("_", "-"): value for name, value in changes.items()}
        async with self.session.post(f"http://{worker.address}/order", json=document) as response:
            return response.status

    async def report(self, worker: ModelWorker) -> JsonObject:
        """The worker's report."""
        async with self.session.get(f"http://{worker.address}/report") as response:
            document: JsonObject = await response.json()
            return document

    async def settled(self, worker: ModelWorker) -> JsonObject:
        """The report once no order is under way."""

        async def idle() -> bool:
            return (await self.report(worker))["busy"] is False

        await eventually(idle, "the order is carried out")
        return await self.report(worker)

    def held_by(self, worker: ModelWorker) -> dict[str, object]:
        """The adapters by model."""
        return {str(model["name"]): model["loras"] for model in worker.holdings.models()}


async def read_answer(response: ClientResponse) -> Answer:
    """Reads until the end or until the connection breaks."""
    body = b""
    complete = True
    try:
        while data := await response.content.readany():
            body += data
    except ClientError:
        complete = False
    return Answer(response.status, dict(response.headers), body, complete)


class RequestTest(WorkerCase):
    """Answers to requests."""

    async def test_stream_has_seal_and_rising_ids(self) -> None:
        worker = await self.started()
        answer = await self.send(worker, X_Tokens="100,15")
        (run,) = worker.records.runs
        self.assertEqual((answer.status, answer.headers["X-Try-Id"]), (200, "t1"))
        self.assertEqual(answer.headers["X-Seal"], run.seal)
        self.assertEqual(answer.headers["X-Load"], "1,0,8")
        self.assertEqual([event.event_id for event in EventParser().feed(answer.body)], [1, 2, 3])
        self.assertEqual(answer.body, bytes(run.answer))
        self.assertEqual((run.method, run.path), ("POST", "/path/2f?q=1"))
        self.assertIs(run.outcome, RunOutcome.COMPLETE)

    async def test_stream_goes_on_after_the_last_event_id(self) -> None:
        worker = await self.started()
        answer = await self.send(worker, X_Tokens="100,25", Last_Event_Id="3")
        self.assertEqual([event.event_id for event in EventParser().feed(answer.body)], [4, 5])

    async def test_plain_service_answers_with_a_length(self) -> None:
        worker = await self.started(PLAIN_SETTINGS, held=())
        answer = await self.send(worker)
        self.assertEqual((answer.status, len(answer.body)), (200, 800))
        self.assertEqual(answer.headers["Content-Length"], "800")

    async def test_what_is_not_run_is_said_and_recorded(self) -> None:
        worker = await self.started()
        wrong_instance = await self.send(worker, X_Want_Instance="i-other")
        absent_model = await self.send(worker, X_Model="large")
        absent_adapter = await self.send(worker, X_Model="small/a1")
        self.assertEqual(wrong_instance.headers["X-Instance"], worker.instance)
        for answer in (wrong_instance, absent_model, absent_adapter):
            self.assertEqual((answer.status, answer.headers["X-Not-Run"]), (421, "1"))
        self.assertEqual(worker.records.runs, [])
        self.assertEqual([refusal.status for refusal in worker.records.refusals], [421, 421, 421])

    async def test_request_without_id_is_refused(self) -> None:
        worker = await self.started()
        async with self.session.post(f"http://{worker.address}/path/") as response:
            self.assertEqual((response.status, response.headers["X-Not-Run"]), (400, "1"))

    async def test_beyond_slots_and_queue_it_is_full(self) -> None:
        worker = await self.started(replace(SETTINGS, slots=1, queue_limit=1))
        resume = asyncio.Event()
        worker.inject(Pause(resume))
        first = asyncio.create_task(self.send(worker, "first"))
        await eventually(lambda: worker.slots.running == 1, "the first runs")
        second = asyncio.create_task(self.send(worker, "second"))
        await eventually(lambda: worker.slots.waiting == 1, "the second waits")
        third = await self.send(worker, "third")
        resume.set()
        self.assertEqual((third.status, third.headers["X-Not-Run"]), (503, "1"))
        self.assertEqual([(await first).status, (await second).status], [200, 200])

    async def test_deadline_in_the_queue_is_not_run(self) -> None:
        worker = await self.started(replace(SETTINGS, slots=1))
        resume = asyncio.Event()
        worker.inject(Pause(resume))
        first = asyncio.create_task(self.send(worker, "first"))
        await eventually(lambda: worker.slots.running == 1, "the first runs")
        late = await self.send(worker, "late", X_Time_Left="20")
        resume.set()
        await first
        self.assertEqual((late.status, late.headers["X-Not-Run"]), (503, "1"))

    async def test_deadline_while_it_runs_is_a_504(self) -> None:
        worker = await self.started()
        worker.inject(Hang())
        answer = await self.send(worker, X_Time_Left="20")
        self.assertEqual(answer.status, 504)
        self.assertNotIn("X-Not-Run", answer.headers)
        self.assertIs(worker.records.runs[0].outcome, RunOutcome.TIMED_OUT)

    async def test_run_is_dropped_when_the_caller_goes(self) -> None:
        worker = await self.started()
        worker.inject(Hang())
        call = asyncio.create_task(self.send(worker))
        await eventually(lambda: worker.slots.running == 1, "the request runs")
        call.cancel()
        await eventually(lambda: worker.slots.running == 0, "the run is dropped")
        self.assertIs(worker.records.runs[0].outcome, RunOutcome.ABANDONED)

    async def test_health_tells_the_instance_and_the_load(self) -> None:
        worker = await self.started()
        async with self.session.get(f"http://{worker.address}/healthz") as response:
            self.assertEqual((response.status, response.headers["X-Instance"]), (200, worker.instance))
            self.assertEqual(response.headers["X-Load"], "1,0,8")


class FaultTest(WorkerCase):
    """Injected faults."""

    async def answer_with(self, fault: Fault, settings: WorkerSettings = SETTINGS) -> Answer:
        """The answer of a new worker with that fault."""
        worker = await self.started(settings)
        worker.inject(fault)
        return await self.send(worker, X_Tokens="100,25")

    async def test_cut_stream_ends_within_an_event(self) -> None:
        answer = await self.answer_with(CutAnswer(after_event=2))
        parser = EventParser()
        self.assertEqual([event.event_id for event in parser.feed(answer.body)], [1, 2])
        self.assertTrue(parser.rest)
        self.assertFalse(answer.complete)

    async def test_cut_plain_answer_is_short(self) -> None:
        answer = await self.answer_with(CutAnswer(), PLAIN_SETTINGS)
        self.assertFalse(answer.complete)
        self.assertEqual(len(answer.body), 400)

    async def test_crash_within_a_stream_ends_the_worker(self) -> None:
        worker = await self.started()
        worker.inject(CrashMidStream(after_event=1))
        answer = await self.send(worker)
        self.assertFalse(answer.complete)
        await worker.ended.wait()
        with self.assertRaises(ClientError):
            await self.send(worker)

    async def test_full_is_not_run(self) -> None:
        answer = await self.answer_with(Full())
        self.assertEqual((answer.status, answer.headers["X-Not-Run"]), (503, "1"))

    async def test_slow_delays_the_first_byte(self) -> None:
        started_at = asyncio.get_running_loop().time()
        answer = await self.answer_with(Slow(0.1))
        self.assertEqual(answer.status, 200)
        self.assertGreaterEqual(asyncio.get_running_loop().time() - started_at, 0.1)

    async def test_fault_lasts_for_its_number_of_requests(self) -> None:
        worker = await self.started()
        worker.inject(Full(), times=2)
        self.assertEqual([(await self.send(worker)).status for _ in range(3)], [503, 503, 200])
        worker.inject(Full(), times=None)
        self.assertEqual([(await self.send(worker)).status for _ in range(3)], [503, 503, 503])
        worker.clear_faults()
        self.assertEqual((await self.send(worker)).status, 200)

    async def test_server_error_carries_a_seal(self) -> None:
        worker = await self.started()
        worker.inject(ServerError(500))
        answer = await self.send(worker)
        self.assertEqual((answer.status, answer.headers["X-Seal"]), (500, worker.records.runs[0].seal))

    async def test_refused_request_does_not_use_up_a_fault(self) -> None:
        worker = await self.started()
        worker.inject(ServerError(500))
        self.assertEqual((await self.send(worker, X_Want_Instance="i-other")).status, 421)
        self.assertEqual((await self.send(worker)).status, 500)

    async def test_fault_for_any_of_several_workers_is_met_once(self) -> None:
        workers = [await self.started(), await self.started()]
        inject_into_any(workers, ServerError(500))
        statuses = [(await self.send(worker)).status for worker in workers * 2]
        self.assertEqual(statuses, [500, 200, 200, 200])

    async def test_extra_answer_follows_on_the_connection(self) -> None:
        worker = await self.started(PLAIN_SETTINGS)
        worker.inject(ExtraAnswer("other"))
        host, _, port = worker.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /x/ HTTP/1.1\r\nHost: h\r\nX-Try-Id: t1\r\nContent-Length: 0\r\n\r\n")
        received = b""
        async with asyncio.timeout(5):
            while not received.endswith(b"surplus"):
                received += await reader.read(4096)
        writer.close()
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), 2)
        self.assertIn(b"X-Try-Id: other", received)


class OrderTest(WorkerCase):
    """Placement orders."""

    async def test_model_is_loaded_and_then_held(self) -> None:
        worker = await self.started()
        self.assertEqual(await self.order(worker), 202)
        report = await self.settled(worker)
        self.assertEqual(report["seq"], 1)
        self.assertEqual(self.held_by(worker), {"small": [], "large": []})
        self.assertEqual((await self.send(worker, X_Model="large")).status, 200)
        self.assertEqual(await self.order(worker), 200)

    async def test_adapter_is_loaded_and_evicted_with_its_model(self) -> None:
        worker = await self.started()
        self.assertEqual(await self.order(worker, model="small", lora="a2"), 202)
        await self.settled(worker)
        self.assertEqual((await self.send(worker, X_Model="small/a2")).status, 200)
        self.assertEqual(await self.order(worker, op="evict", model="small"), 202)
        await self.settled(worker)
        self.assertEqual(self.held_by(worker), {})

    async def test_adapter_of_an_absent_model_is_refused(self) -> None:
        worker = await self.started(held=())
        self.assertEqual(await self.order(worker, model="small", lora="a2"), 421)

    async def test_one_order_at_a_time_and_only_at_the_expected_revision(self) -> None:
        worker = await self.started(replace(SETTINGS, catalogue=(SMALL, replace(LARGE, load_s=5.0))))
        self.assertEqual(await self.order(worker, if_revision=3), 409)
        self.assertEqual(await self.order(worker, if_revision=0), 202)
        self.assertEqual(await self.order(worker, model="small", lora="a1"), 409)
        self.assertTrue((await self.report(worker))["busy"])
        concerned = await self.send(worker, X_Model="large")
        self.assertEqual((concerned.status, concerned.headers["X-Not-Run"]), (503, "1"))
        self.assertEqual((await self.send(worker)).status, 200)

    async def test_lower_fence_is_refused(self) -> None:
        worker = await self.started()
        self.assertEqual(await self.order(worker, fence=7), 202)
        await self.settled(worker)
        self.assertEqual(await self.order(worker, fence=6, op="evict"), 412)
        self.assertEqual([record.status for record in worker.records.orders], [202, 412])

    async def test_two_owners_of_one_fence_are_a_violation(self) -> None:
        worker = await self.started()
        await self.order(worker, owner="node-1")
        await self.order(worker, owner="node-2")
        self.assertEqual([found.kind for found in worker.records.violations], [ViolationKind.SHARED_FENCE])

    async def test_order_that_does_not_exist_is_refused(self) -> None:
        worker = await self.started()
        for changes in ({"op": "polish"}, {"owner": None}, {"model": "unknown"}, {"lora": "a9"}):
            with self.subTest(changes):
                self.assertEqual(await self.order(worker, **changes), 400)
        async with self.session.post(f"http://{worker.address}/order", data=b"{") as response:
            self.assertEqual(response.status, 400)

    async def test_order_for_another_instance_is_refused(self) -> None:
        worker = await self.started()
        headers = {"X-Want-Instance": "i-other"}
        async with self.session.post(f"http://{worker.address}/order", headers=headers) as response:
            self.assertEqual(response.status, 421)

    async def test_worker_falls_when_ordered_beyond_its_memory(self) -> None:
        worker = await self.started(replace(SETTINGS, size_mb=149.0))
        await self.order(worker)
        await worker.ended.wait()
        self.assertEqual([found.kind for found in worker.records.violations], [ViolationKind.OVER_CAPACITY])

    async def test_worker_falls_when_ordered_beyond_its_adapter_slots(self) -> None:
        worker = await self.started(held=("small/a1", "small/a2"))
        await self.order(worker, model="small", lora="a3")
        await worker.ended.wait()
        self.assertEqual([found.kind for found in worker.records.violations], [ViolationKind.OVER_CAPACITY])

    async def test_unload_waits_for_its_runs(self) -> None:
        worker = await self.started()
        resume = asyncio.Event()
        worker.inject(Pause(resume))
        call = asyncio.create_task(self.send(worker))
        await eventually(lambda: worker.slots.running == 1, "the request runs")
        self.assertEqual(await self.order(worker, op="evict", model="small"), 202)
        self.assertEqual((await self.send(worker, "late")).status, 503)
        self.assertEqual(self.held_by(worker), {"small": []})
        resume.set()
        self.assertTrue((await call).complete)
        await self.settled(worker)
        self.assertEqual(self.held_by(worker), {})

    async def test_request_that_waits_for_a_slot_is_refused_once_its_weights_are_to_go(self) -> None:
        worker = await self.started(replace(SETTINGS, slots=1))
        resume = asyncio.Event()
        worker.inject(Pause(resume))
        first = asyncio.create_task(self.send(worker, "first"))
        await eventually(lambda: worker.slots.running == 1, "the first runs")
        second = asyncio.create_task(self.send(worker, "second"))
        await eventually(lambda: worker.slots.waiting == 1, "the second waits")
        self.assertEqual(await self.order(worker, op="evict", model="small"), 202)
        resume.set()
        self.assertTrue((await first).complete)
        self.assertIn((await second).status, (421, 503))
        self.assertEqual([run.try_id for run in worker.records.runs], ["first"])

    async def test_only_weights_never_held_come_from_the_store(self) -> None:
        store = WeightStore()
        worker = await self.started(held=(), store=store, local_weights={"small"})
        for model in ("small", "large"):
            self.assertEqual(await self.order(worker, model=model), 202)
            await self.settled(worker)
        self.assertEqual(len(store.loads), 1)

    def test_store_counts_the_most_loads_within_a_window(self) -> None:
        self.assertEqual(WeightStore([0.0, 4.0, 4.5, 8.0, 20.0]).most_loads_within(5.0), 3)
        self.assertEqual(WeightStore().most_loads_within(5.0), 0)


class RegistrationTest(WorkerCase):
    """Heartbeats, draining and the end."""

    async def control_plane(self, status: int = 200, answer: JsonObject | None = None) -> ControlPlaneStub:
        """A control plane that listens."""
        stub = ControlPlaneStub(status=status, answer=answer or {})
        await stub.start(self)
        return stub

    async def test_registration_says_what_the_worker_is(self) -> None:
        stub = await self.control_plane()
        worker = await self.started(control_addresses=(stub.address,))
        await eventually(lambda: len(stub.registrations) >= 2, "two heartbeats")
        first, second = stub.registrations[:2]
        self.assertEqual((first["svc"], first["addr"], first["state"]), ("models", worker.address, "up"))
        self.assertEqual(first["models"], [{"name": "small", "ver": 1, "loras": []}])
        self.assertEqual((first["seq"], second["seq"]), (1, 2))

    async def test_next_address_is_tried_after_a_failure(self) -> None:
        broken = await self.control_plane(status=503)
        working = await self.control_plane()
        worker = await self.started(control_addresses=("127.0.0.1:1", broken.address, working.address))
        await worker.registered.wait()
        self.assertTrue(broken.registrations)
        self.assertTrue(working.registrations)

    async def test_long_answer_is_no_acknowledgement(self) -> None:
        long = await self.control_plane(answer={"text": "x" * 5000})
        short = await self.control_plane()
        worker = await self.started(control_addresses=(long.address, short.address))
        await worker.registered.wait()
        self.assertTrue(short.registrations)

    async def test_later_heartbeats_go_to_the_named_address_until_one_fails(self) -> None:
        named = await self.control_plane()
        first = await self.control_plane(answer={"beat-url": f"http://{named.address}"})
        await self.started(control_addresses=(first.address,))
        await eventually(lambda: len(named.registrations) >= 2, "heartbeats at the named address")
        self.assertEqual(len(first.registrations), 1)
        named.status = 500
        await eventually(lambda: len(first.registrations) >= 2, "heartbeats at the first address again")

    async def test_draining_worker_serves_on_deregisters_and_ends(self) -> None:
        stub = await self.control_plane()
        serves_on = replace(SETTINGS, drain_s=1.0)  # time for the request on a busy machine
        worker = await self.started(serves_on, control_addresses=(stub.address,))
        await worker.registered.wait()
        end = asyncio.create_task(worker.drain())
        await eventually(lambda: worker.drain_acknowledged_at is not None, "draining is acknowledged")
        answer = await self.send(worker)
        self.assertEqual((answer.status, answer.headers["Connection"]), (200, "close"))
        await end
        self.assertEqual(stub.registrations[-1]["state"], ServiceState.DRAINING.value)
        self.assertEqual(stub.removed, [worker.instance])
        self.assertTrue(worker.deregistration_acknowledged)
        self.assertEqual(len(worker.runs_after_drain(0.0)), 1)
        self.assertEqual(worker.runs_after_drain(10.0), [])

    async def test_short_notice_is_told(self) -> None:
        stub = await self.control_plane()
        worker = await self.started(control_addresses=(stub.address,))
        await worker.registered.wait()
        await worker.drain(left_ms=30)
        last = stub.registrations[-1]
        self.assertEqual((last["state"], last["left-ms"]), ("draining", 30))

    async def test_report_lags(self) -> None:
        worker = await self.started(replace(SETTINGS, report_lag_s=30.0))
        await self.order(worker)
        report = await self.report(worker)
        self.assertEqual((report["seq"], report["busy"]), (0, False))


class CancellationTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_task_that_loses_its_first_cancellation_is_ended(self) -> None:
        begun = asyncio.Event()

        async def lose_one_cancellation() -> None:
            begun.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                await asyncio.Event().wait()

        task = asyncio.create_task(lose_one_cancellation())
        await begun.wait()
        async with asyncio.timeout(5.0):
            await cancel_until_ended([task])
        self.assertTrue(task.cancelled())


class EventParserTest(unittest.TestCase):
    """The reading of events."""

    def test_parser_joins_parts(self) -> None:
        parser = EventParser()
        text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        events = [event for n in range(len(text)) for event in parser.feed(text[n : n + 1])]
        self.assertEqual([(event.event_id, event.data) for event in events], [(1, "a"), (2, "b")])
        self.assertEqual(parser.rest, b"")
