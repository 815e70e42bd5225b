"""The control plane towards workers: heartbeats, silence, farewells, demand sums, reports and orders."""

from __future__ import annotations

import asyncio
import json
import unittest
from dataclasses import replace
from typing import cast
from unittest import mock

from aiohttp import ClientSession, web

from rookwood.cluster.messages import (
    DemandReport,
    KeyDemand,
    PresenceAck,
    Status,
    WantedWeights,
    WorkerGone,
    WorkerUpdates,
)
from rookwood.cluster.view import ClusterView
from rookwood.cluster.workers import HeldModel, HoldingStamp, WorkerRecord, WorkerState
from rookwood.controlplane import presence_quorum, worker_client
from rookwood.controlplane.demand import DemandSum
from rookwood.controlplane.presence_quorum import PresenceQuorum
from rookwood.controlplane.worker_api import WorkerApi
from rookwood.controlplane.worker_client import (
    NOT_CONNECTED,
    OrderCall,
    OrderRefused,
    OrderTaken,
    OrderUnknown,
    ReportFailed,
    WorkerClient,
    WorkerReport,
)
from rookwood.controlplane.worker_table import Audience, WorkerTable
from rookwood.coordination.group import Backup, ControlGroup, Learner, Primary, Role, Unattached
from rookwood.modelplacement.types import WeightsKey
from tests.fake_worker import (
    HOST,
    Behaviour,
    Exchange,
    FakeWorker,
    break_off,
    rejecting,
    responding,
    response_bytes,
    within,
)

OWN_IP, PEER, DISPATCHER = "10.0.0.1", "10.0.0.2", "10.0.0.7"
BEAT = 1.0
LONG_SILENCE = 100.0
SHORT_CONFIRMATION = 0.02  # seconds
WORKER = WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 8, WorkerState.UP, 5, ())
HELD = (HeldModel("small", 1, frozenset()),)
SETTLED = Status(OWN_IP, 1, OWN_IP, True, True, 0, 0, 1, (OWN_IP,))
ORDER = OrderCall(True, "small", "a1", "node-7", 41, 2)
SHORT_CALL_LIMIT = 0.5  # seconds; well above a stall of the event loop on a busy machine
ACKNOWLEDGEMENT_LIMIT = 4096  # bytes
KEY = WeightsKey("small", "a1")

Update = WorkerUpdates | WorkerGone


class WorkerTableCase(unittest.TestCase):
    """A worker table whose updates are collected."""

    def setUp(self) -> None:
        self.gone: list[str] = []
        self.published: list[tuple[Update, Audience]] = []
        self.view = ClusterView(lambda record: None, self.gone.append)
        self.table = WorkerTable(self.view, OWN_IP, BEAT, self.publish)
        self.view.message_received(OWN_IP, SETTLED, 0.0)

    def publish(self, update: Update, audience: Audience) -> None:
        """Collect an update."""
        self.published.append((update, audience))


class WorkerTableTests(WorkerTableCase):
    def test_a_new_worker_is_published_to_all(self) -> None:
        self.table.heartbeat(WORKER, 0.0)
        self.assertEqual([(WorkerUpdates((WORKER,), complete=False), Audience.ALL)], self.published)

    def test_a_heartbeat_without_news_is_not_published(self) -> None:
        self.table.heartbeat(WORKER, 0.0)
        self.table.heartbeat(replace(WORKER, sequence=6), 1.0)
        self.assertEqual(1, len(self.published))

    def test_draining_is_published_at_once_and_never_undone(self) -> None:
        self.table.heartbeat(WORKER, 0.0)
        draining = replace(WORKER, sequence=6, state=WorkerState.DRAINING)
        self.table.heartbeat(draining, 0.1)
        self.assertEqual((WorkerUpdates((draining,), complete=False), Audience.ALL), self.published[-1])
        self.table.heartbeat(replace(WORKER, sequence=7), 0.2)
        known = self.view.registry.get(WORKER.id)
        assert known is not None
        self.assertIs(WorkerState.DRAINING, known.state)

    def test_a_late_heartbeat_changes_nothing(self) -> None:
        self.table.heartbeat(replace(WORKER, sequence=9), 0.0)
        self.table.heartbeat(replace(WORKER, sequence=8, slots=2), 0.1)
        known = self.view.registry.get(WORKER.id)
        assert known is not None
        self.assertEqual(WORKER.slots, known.slots)

    def test_a_silent_worker_goes_and_may_come_back(self) -> None:
        self.table.heartbeat(WORKER, 0.0)
        self.table.expire(LONG_SILENCE)
        self.assertEqual([WORKER.id], self.gone)
        gone = WorkerGone(WORKER.id, deleted=False)
        told = [(gone, Audience.CONTROL_MACHINES), (gone, Audience.DISPATCHERS)]
        self.assertEqual(told, self.published[-2:])
        self.table.heartbeat(replace(WORKER, sequence=9), LONG_SILENCE)
        self.assertIsNotNone(self.view.registry.get(WORKER.id))
        self.assertIsInstance(self.published[-1][0], WorkerUpdates)

    def test_one_missed_heartbeat_is_not_silence(self) -> None:
        self.table.heartbeat(WORKER, 0.0)
        self.table.expire(2 * BEAT)
        self.assertEqual([], self.gone)

    def test_a_worker_that_another_machine_hears_stays(self) -> None:
        self.view.link_opened(PEER)
        self.table.heartbeat(WORKER, 0.0)
        self.view.message_received(PEER, WorkerUpdates((WORKER,), complete=True), 0.0)
        self.table.expire(LONG_SILENCE)
        self.assertEqual([], self.gone)
        told = (WorkerGone(WORKER.id, deleted=False), Audience.CONTROL_MACHINES)
        self.assertEqual(told, self.published[-1], "no dispatcher is told: the other machine hears it")

    def test_a_deleted_worker_is_published_once_and_stays_deleted(self) -> None:
        self.table.heartbeat(WORKER, 0.0)
        self.table.delete(WORKER.id, 0.1)
        self.table.delete(WORKER.id, 0.1)
        self.table.heartbeat(replace(WORKER, sequence=99), 0.1)
        self.assertEqual([WORKER.id], self.gone)
        self.assertEqual(2, len(self.published))
        self.assertEqual((WorkerGone(WORKER.id, deleted=True), Audience.ALL), self.published[-1])
        self.assertEqual((), self.table.known().records)

    def test_other_control_machines_are_told_only_of_workers_heard_here(self) -> None:
        told = replace(WORKER, id="i-2")
        self.table.heartbeat(WORKER, 0.0)
        self.view.message_received(PEER, WorkerUpdates((told,), complete=True), 0.0)
        self.assertEqual(WorkerUpdates((WORKER,), complete=True), self.table.direct())
        self.assertEqual({WORKER, told}, set(self.table.known().records))
        self.assertTrue(self.table.known().complete)

    def test_reported_holdings_are_published_and_win_over_heartbeats(self) -> None:
        self.table.heartbeat(WORKER, 0.0)
        self.table.set_holding(WORKER.id, HELD, HoldingStamp(3, 1))
        self.assertEqual(HELD, self.view.registry.get(WORKER.id).models)  # type: ignore[union-attr]
        self.table.heartbeat(replace(WORKER, sequence=9), 0.1)
        self.assertEqual(HELD, self.view.registry.get(WORKER.id).models)  # type: ignore[union-attr]
        self.assertIs(Audience.ALL, self.published[-1][1])

    def test_older_reports_of_holdings_are_ignored(self) -> None:
        self.table.heartbeat(WORKER, 0.0)
        self.table.set_holding(WORKER.id, HELD, HoldingStamp(3, 2))
        self.table.set_holding(WORKER.id, (), HoldingStamp(3, 1))
        self.table.set_holding(WORKER.id, (), HoldingStamp(2, 9))
        self.assertEqual(HELD, self.view.registry.get(WORKER.id).models)  # type: ignore[union-attr]


class FakeGroup:
    """A replication group whose role the test sets."""

    def __init__(self, role: Role) -> None:
        self.current = role

    def role(self) -> Role:
        """The role set."""
        return self.current


class WorkerApiTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.view = ClusterView(lambda record: None, lambda worker: None)
        table = WorkerTable(self.view, OWN_IP, BEAT, self.publish)
        self.group = FakeGroup(Primary(1, 0.0))
        application = web.Application()
        self.members: tuple[str, ...] = (OWN_IP,)
        self.presence = PresenceQuorum(OWN_IP, lambda: self.members)
        self.acknowledging: tuple[str, ...] = ()
        WorkerApi(cast(ControlGroup, self.group), table, self.presence).add_routes(application)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.05)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, HOST, 0).start()
        self.url = f"http://{HOST}:{runner.addresses[0][1]}/workers/i-1"
        self.client = ClientSession()
        self.addAsyncCleanup(self.client.close)

    def publish(self, update: Update, audience: Audience) -> None:
        """The other machines that hear of it acknowledge a moment later."""
        if isinstance(update, WorkerGone):
            news = PresenceAck(update.worker, deleted=True)
        else:
            news = PresenceAck(update.records[0].id, deleted=False)
        for machine in self.acknowledging:
            asyncio.get_running_loop().call_soon(self.presence.acknowledged, machine, news)

    async def beat(self, body: bytes | None = None, **changes: object) -> int:
        """Send a heartbeat; returns the status."""
        document = {"svc": "models", "addr": "10.0.0.9:80", "az": "z1", "slots": 8, "state": "up", "seq": 1}
        data = json.dumps({**document, **changes}).encode() if body is None else body
        async with self.client.put(self.url, data=data) as response:
            self.assertLessEqual(len(await response.read()), ACKNOWLEDGEMENT_LIMIT)
            return response.status

    async def test_a_heartbeat_is_acknowledged_and_known(self) -> None:
        self.assertEqual(200, await self.beat())
        self.assertIsNotNone(self.view.registry.get("i-1"))

    async def test_a_backup_acknowledges_too(self) -> None:
        self.group.current = Backup(PEER, 1, True)
        self.assertEqual(200, await self.beat(state="draining"))

    async def test_a_machine_that_is_no_member_sends_the_worker_elsewhere(self) -> None:
        """Members subscribe to members: the primary would never hear of the worker."""
        self.group.current = Learner(PEER, 1, True)
        self.assertEqual(503, await self.beat())
        self.assertEqual(503, await self.beat(state="draining"))

    async def test_a_machine_without_a_primary_sends_the_worker_elsewhere(self) -> None:
        self.assertEqual(200, await self.beat())
        self.group.current = Unattached("no primary")
        self.assertEqual(503, await self.beat(seq=2))
        self.group.current = Backup(PEER, 2, True)
        self.assertEqual(200, await self.beat(seq=3))

    async def test_a_drain_is_not_acknowledged_where_it_may_reach_nobody(self) -> None:
        """Restarted behind a cut, or a backup that has not heard its primary lately."""
        for role in (Unattached("starting"), Backup(PEER, 2, False)):
            with self.subTest(role=role):
                self.group.current = role
                self.assertEqual(503, await self.beat(state="draining"))
                async with self.client.delete(self.url) as response:
                    self.assertEqual(503, response.status)

    async def test_a_drain_is_acknowledged_once_a_majority_has_taken_it(self) -> None:
        """A machine that was just cut off still believes in its primary."""
        self.members = (OWN_IP, PEER, "10.0.0.3")
        with mock.patch.object(presence_quorum, "CONFIRMATION_LIMIT", SHORT_CONFIRMATION):
            self.assertEqual(503, await self.beat(state="draining"))
            self.acknowledging = ("10.0.0.4",)
            self.assertEqual(503, await self.beat(state="draining", seq=2), "not a member")
        self.acknowledging = (PEER,)
        self.assertEqual(200, await self.beat(state="draining", seq=3))
        self.acknowledging = ()
        self.assertEqual(200, await self.beat(state="draining", seq=4), "taken before")

    async def test_a_farewell_is_acknowledged_once_a_majority_has_taken_it(self) -> None:
        self.members = (OWN_IP, PEER, "10.0.0.3")
        with mock.patch.object(presence_quorum, "CONFIRMATION_LIMIT", SHORT_CONFIRMATION):
            async with self.client.delete(self.url) as response:
                self.assertEqual(503, response.status)
        self.acknowledging = (PEER,)
        async with self.client.delete(self.url) as response:
            self.assertEqual(200, response.status)
        self.assertEqual(200, await self.beat(state="draining"), "a late heartbeat")

    async def test_what_is_no_heartbeat_is_refused(self) -> None:
        for body in (b"", b"{", b"[]", b"7", b"null", b'"text"', b'{"svc":"models"}', b"\xff\xfe"):
            with self.subTest(body=body):
                self.assertEqual(400, await self.beat(body))
        self.assertEqual(0, len(self.view.registry))

    async def test_a_farewell_deletes_for_good(self) -> None:
        await self.beat()
        async with self.client.delete(self.url) as response:
            self.assertEqual(200, response.status)
        self.assertEqual(200, await self.beat(seq=9))
        self.assertIsNone(self.view.registry.get("i-1"))


class DemandSumTests(unittest.TestCase):
    def setUp(self) -> None:
        self.demand = DemandSum()

    def report(
        self,
        identity: str,
        now: float,
        *keys: KeyDemand,
        wanted: tuple[WantedWeights, ...] = (),
        complete: bool = True,
    ) -> None:
        """One dispatcher's report."""
        self.demand.take(DemandReport(identity, keys, wanted, complete), now)

    def test_the_demand_of_all_dispatchers_is_added_up(self) -> None:
        self.report(DISPATCHER, 0.0, KeyDemand("models", "small", "a1", 2.0, 1.0, 3, 0.5))
        self.report(PEER, 0.0, KeyDemand("models", "small", "a1", 1.0, 0.5, 1, 2.0))
        total = self.demand.total("models", 0.1)[KEY]
        self.assertEqual(
            (3.0, 1.5, 4, 2.0), (total.rate, total.busy_slots, total.waiting, total.oldest_wait_s)
        )

    def test_a_new_report_replaces_the_one_before(self) -> None:
        self.report(DISPATCHER, 0.0, KeyDemand("models", "small", "a1", 2.0, 1.0, 3, 0.5))
        self.report(DISPATCHER, 1.0, KeyDemand("models", "small", "a1", 5.0, 1.0, 0, 0.0))
        self.assertEqual(5.0, self.demand.total("models", 1.0)[KEY].rate)

    def test_only_a_complete_report_drops_keys_it_does_not_name(self) -> None:
        self.report(DISPATCHER, 0.0, KeyDemand("models", "small", "a1", 2.0, 1.0, 3, 0.5))
        self.report(DISPATCHER, 0.1, KeyDemand("models", "large", "", 1.0, 0.0, 1, 0.0), complete=False)
        self.assertEqual({KEY, WeightsKey("large")}, set(self.demand.total("models", 0.2)))
        self.report(DISPATCHER, 0.3, KeyDemand("models", "large", "", 1.0, 0.0, 1, 0.0))
        self.assertEqual({WeightsKey("large")}, set(self.demand.total("models", 0.4)))

    def test_a_silent_dispatcher_no_longer_counts(self) -> None:
        self.report(DISPATCHER, 0.0, KeyDemand("models", "small", "a1", 2.0, 1.0, 3, 0.5))
        self.assertEqual({}, self.demand.total("models", LONG_SILENCE))

    def test_what_tables_want_counts_by_the_share_of_dispatchers(self) -> None:
        wanted = (WantedWeights("models", WORKER.id, "small", "a1"),)
        self.report(DISPATCHER, 0.0, wanted=wanted)
        self.report(PEER, 0.0)
        self.assertEqual(0.5, self.demand.wanted("models")[WORKER.id][KEY])
        self.report(PEER, 1.0, wanted=wanted)
        self.assertEqual(1.0, self.demand.wanted("models")[WORKER.id][KEY])
        self.report(DISPATCHER, 2.0)
        self.report(PEER, 2.0)
        self.assertNotIn(WORKER.id, self.demand.wanted("models"))

    def test_what_a_silent_dispatcher_wanted_no_longer_counts(self) -> None:
        wanted = (WantedWeights("models", WORKER.id, "small", "a1"),)
        self.report(DISPATCHER, 0.0, wanted=wanted)
        self.report(PEER, LONG_SILENCE)
        self.demand.total("models", LONG_SILENCE)
        self.assertEqual({}, dict(self.demand.wanted("models")))
        self.report(DISPATCHER, LONG_SILENCE, wanted=wanted)
        self.assertEqual(0.5, self.demand.wanted("models")[WORKER.id][KEY])

    def test_services_are_kept_apart(self) -> None:
        self.report(DISPATCHER, 0.0, KeyDemand("models", "small", "a1", 2.0, 1.0, 3, 0.5))
        self.assertEqual({}, self.demand.total("others", 0.0))


REPORT = {
    "phase": "both",
    "models": [{"name": "small", "ver": 1, "loras": []}],
    "busy": True,
    "seq": 2,
    "queued": 1,
    "active": 12,
    "kv-used": 41000,
    "kv-max": 90000,
    "serving": 0,
}


class WorkerClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = WorkerClient()
        self.addAsyncCleanup(self.client.close)

    async def start_worker(self, worker: FakeWorker) -> FakeWorker:
        """Start a worker, stopped at the end."""
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        return worker

    async def order_answered(self, status: int) -> OrderTaken | OrderRefused | OrderUnknown:
        """Give the order to a worker that answers with the status."""
        worker = await self.start_worker(FakeWorker(responding(b"", status)))
        return await self.client.order(worker.address, worker.id, ORDER)

    async def test_a_report_is_read(self) -> None:
        worker = await self.start_worker(FakeWorker(responding(json.dumps(REPORT).encode())))
        report = await self.client.report(worker.address, worker.id)
        self.assertEqual(WorkerReport(HELD, True, 2, 1, 12), report)
        self.assertEqual(worker.id, worker.requests[0].headers["x-want-instance"])
        self.assertEqual(("GET", "/report"), (worker.requests[0].method, worker.requests[0].target))

    async def test_no_report_is_a_failure(self) -> None:
        behaviours = (rejecting(421), responding(b"{"), responding(b"[]"), responding(b"7"), break_off)
        for behaviour in behaviours:
            worker = await self.start_worker(FakeWorker(behaviour))
            self.assertIsInstance(await self.client.report(worker.address, worker.id), ReportFailed)

    async def test_an_order_names_owner_fence_and_revision(self) -> None:
        worker = await self.start_worker(FakeWorker(responding(b"", 202)))
        self.assertEqual(OrderTaken(done=False), await self.client.order(worker.address, worker.id, ORDER))
        (request,) = worker.requests
        self.assertEqual(("POST", "/order"), (request.method, request.target))
        self.assertEqual(worker.id, request.headers["x-want-instance"])
        self.assertEqual("application/json", request.headers["content-type"])
        expected = {
            "op": "place",
            "model": "small",
            "lora": "a1",
            "if-revision": 2,
            "owner": "node-7",
            "fence": 41,
        }
        self.assertEqual(expected, json.loads(request.body))

    async def test_an_order_for_a_model_names_no_adapter(self) -> None:
        document = json.loads(replace(ORDER, is_load=False, adapter="").body())
        self.assertEqual("evict", document["op"])
        self.assertNotIn("lora", document)

    async def test_what_holds_already_is_done(self) -> None:
        self.assertEqual(OrderTaken(done=True), await self.order_answered(200))

    async def test_a_refusal_gives_its_status(self) -> None:
        for status in (400, 409, 412, 421):
            self.assertEqual(OrderRefused(status), await self.order_answered(status))

    async def test_an_order_without_an_answer_may_have_been_taken_and_is_sent_once(self) -> None:
        worker = await self.start_worker(FakeWorker(responding(b"", 202), break_off))
        await self.client.order(worker.address, worker.id, ORDER)
        self.assertIsInstance(await self.client.order(worker.address, worker.id, ORDER), OrderUnknown)
        self.assertEqual(2, len(worker.requests))

    async def test_an_unframed_answer_that_is_reset_tells_nothing(self) -> None:
        async def cut(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, json.dumps(REPORT).encode(), Content_Length=None))
            await exchange.reset()

        worker = await self.start_worker(FakeWorker(cut))
        self.assertIsInstance(await self.client.report(worker.address, worker.id), ReportFailed)
        self.assertIsInstance(await self.client.order(worker.address, worker.id, ORDER), OrderUnknown)

    async def test_an_unframed_report_that_is_closed_in_the_middle_is_no_report(self) -> None:
        body = json.dumps(REPORT).encode()

        def closing_after(size: int) -> Behaviour:
            async def cut(exchange: Exchange) -> None:
                exchange.write(response_bytes(exchange.request, body[:size], Content_Length=None))
                await exchange.break_off()

            return cut

        worker = await self.start_worker(FakeWorker(*(closing_after(size) for size in range(len(body)))))
        for _ in range(len(body)):
            self.assertIsInstance(await self.client.report(worker.address, worker.id), ReportFailed)

    async def test_an_answer_without_the_parts_of_a_report_is_no_report(self) -> None:
        for part in ("models", "seq"):
            body = json.dumps({name: value for name, value in REPORT.items() if name != part}).encode()
            worker = await self.start_worker(FakeWorker(responding(body)))
            self.assertIsInstance(await self.client.report(worker.address, worker.id), ReportFailed)

    async def test_a_call_is_sent_once_though_a_kept_connection_breaks(self) -> None:
        report = responding(json.dumps(REPORT).encode())
        for broken in (break_off, Exchange.reset):
            worker = await self.start_worker(FakeWorker(report, broken, report))
            await self.client.report(worker.address, worker.id)
            self.assertIsInstance(await self.client.report(worker.address, worker.id), ReportFailed)
            self.assertEqual((2, 1), (len(worker.requests), worker.connections))

    async def test_an_answer_to_a_request_counts_for_nothing_and_ends_its_connection(self) -> None:
        """The true answer is still to come there, and would be taken for that of the next call."""
        report = responding(json.dumps(REPORT).encode())

        async def answer_a_request(exchange: Exchange) -> None:
            exchange.write(response_bytes(exchange.request, json.dumps(REPORT).encode(), X_Try_Id="other"))
            await exchange.caller_closed()
            raise ConnectionResetError

        worker = await self.start_worker(
            FakeWorker(report, answer_a_request, report, answer_a_request, report)
        )
        await self.client.report(worker.address, worker.id)
        self.assertIsInstance(await self.client.report(worker.address, worker.id), ReportFailed)
        self.assertIsInstance(await self.client.report(worker.address, worker.id), WorkerReport)
        self.assertIsInstance(await self.client.order(worker.address, worker.id, ORDER), OrderUnknown)
        self.assertIsInstance(await self.client.report(worker.address, worker.id), WorkerReport)
        self.assertEqual((5, 3), (len(worker.requests), worker.connections))

    async def test_a_report_is_no_answer_to_an_order(self) -> None:
        """Workers do not name the call that they answer, so that a late report is told by its content."""
        worker = await self.start_worker(FakeWorker(responding(json.dumps(REPORT).encode(), X_Try_Id=None)))
        self.assertIsInstance(await self.client.order(worker.address, worker.id, ORDER), OrderUnknown)

    async def test_an_answer_after_the_time_of_a_call_counts_for_nothing(self) -> None:
        late, closed = asyncio.Event(), asyncio.Event()

        async def answer_late(exchange: Exchange) -> None:
            await late.wait()
            exchange.write(response_bytes(exchange.request, b"", 202, X_Try_Id=None))
            await exchange.caller_closed()
            closed.set()
            raise ConnectionResetError

        worker = await self.start_worker(FakeWorker(answer_late, responding(b"", 409)))
        with mock.patch.object(worker_client, "CALL_LIMIT", SHORT_CALL_LIMIT):
            self.assertIsInstance(await self.client.order(worker.address, worker.id, ORDER), OrderUnknown)
        late.set()
        self.assertEqual(OrderRefused(409), await self.client.order(worker.address, worker.id, ORDER))
        await within(closed.wait())
        self.assertEqual(2, worker.connections)

    async def test_an_answer_of_another_life_of_the_worker_counts_for_nothing(self) -> None:
        report = responding(json.dumps(REPORT).encode(), X_Instance="i-2")
        worker = await self.start_worker(FakeWorker(report))
        self.assertIsInstance(await self.client.report(worker.address, worker.id), ReportFailed)
        for status, expected in ((202, OrderUnknown), (200, OrderUnknown), (421, OrderRefused)):
            worker = await self.start_worker(FakeWorker(responding(b"", status, X_Instance="i-2")))
            self.assertIsInstance(await self.client.order(worker.address, worker.id, ORDER), expected)

    async def test_no_call_follows_a_redirection(self) -> None:
        """Another place is another worker, which the call is not for."""
        other = await self.start_worker(FakeWorker(responding(json.dumps(REPORT).encode())))
        for status in (301, 302, 303, 307, 308):
            away = responding(b"", status, Location=f"http://{other.address}/order")
            worker = await self.start_worker(FakeWorker(away))
            self.assertEqual(OrderRefused(status), await self.client.order(worker.address, worker.id, ORDER))
            self.assertIsInstance(await self.client.report(worker.address, worker.id), ReportFailed)
        self.assertEqual([], other.requests)

    async def test_an_order_that_was_not_sent_was_not_taken(self) -> None:
        worker = await self.start_worker(FakeWorker(responding()))
        address = worker.address
        await worker.stop()
        self.assertEqual(OrderRefused(NOT_CONNECTED), await self.client.order(address, worker.id, ORDER))


if __name__ == "__main__":
    unittest.main()
