"""Load orders: when a primary may send them, what workers receive, and how reports are used."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any, cast
from unittest import mock

from rookwood.cluster.messages import DemandReport, KeyDemand
from rookwood.cluster.settings import Bounds
from rookwood.cluster.tasks import cancel_tasks
from rookwood.cluster.view import ClusterView
from rookwood.cluster.workers import HeldModel, WorkerRecord, parse_heartbeat
from rookwood.clusterconfig.loading import load_configuration
from rookwood.controlplane import load_scheduler
from rookwood.controlplane.load_scheduler import LoadScheduler, without_weights
from rookwood.controlplane.tenure import LAST_ORDER_LIMIT, LEASE_MARGIN, Tenure
from rookwood.controlplane.worker_client import OrderAccepted, OrderCall, OrderRejected, WorkerReport
from rookwood.controlplane.worker_table import WorkerTable
from rookwood.coordination.group import Backup, ControlGroup, Primary, Role
from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.weights import ModelSpec, WeightKey
from rookwood.lab.emulatedworker.worker import ModelWorker
from rookwood.modelplacement.types import WeightsKey
from tests.fake_worker import within

OWN_IP, PEER, DISPATCHER = "10.0.0.1", "10.0.0.2", "10.0.0.7"
OWNER = "node-7"
SERVICE = "models"
LEASE = 3.0
START = 100.0
REPEATED_CALLS = 10
SHORT_INTERVAL = 0.02
SMALL = ModelSpec("small", size_mb=60.0, load_s=0.02)
WORKER_SETTINGS = WorkerSettings(
    service=SERVICE, catalogue=(SMALL,), size_mb=160.0, adapter_slots=2, report_lag_s=0.0
)
CONFIGURATION: dict[str, Any] = {
    "ver": 1,
    "routes": [],
    "svcs": [
        {
            "name": SERVICE,
            "health": "/healthz",
            "max-conns": 64,
            "runtime": {
                "slots": 8,
                "models": [{"name": "small", "size-mb": 60, "load-s": 0.02, "loras": 0, "lora-mb": 1}],
                "size-mb": 160,
                "lora-slots": 2,
                "loads-per-s": 10,
            },
        }
    ],
}
WAITING = DemandReport(
    identity=DISPATCHER,
    keys=(KeyDemand(SERVICE, "small", "", 5.0, 1.0, 3, 0.5),),
    wanted=(),
    complete=True,
)


class TenureTests(unittest.TestCase):
    def make_tenure(self, fenced: bool) -> Tenure:
        """Make the tenure of a machine that follows the primary of epoch 1 over an open link."""
        tenure = Tenure(OWN_IP, LEASE, fenced)
        tenure.link_opened(PEER)
        tenure.record_primary(PEER, 1, START - LEASE)
        return tenure

    def assert_waits_for_lease(self, tenure: Tenure) -> None:
        """Check that the first order waits for the lease; without fences also for the last orders before."""
        margin = LEASE_MARGIN if tenure.fenced else LEASE_MARGIN + LAST_ORDER_LIMIT
        self.assertFalse(tenure.may_issue_orders(2, START, START))
        self.assertFalse(tenure.may_issue_orders(2, START, START + LEASE))
        self.assertFalse(tenure.may_issue_orders(2, START, START + LEASE + margin / 2))
        self.assertTrue(tenure.may_issue_orders(2, START, START + LEASE + margin + 0.01))

    def test_the_primary_of_the_first_epoch_does_not_wait(self) -> None:
        self.assertTrue(Tenure(OWN_IP, LEASE, fenced=False).may_issue_orders(1, START, START))

    def test_a_new_primary_waits_if_the_previous_one_is_linked(self) -> None:
        for fenced in (False, True):
            tenure = self.make_tenure(fenced)
            tenure.record_primary(OWN_IP, 2, START)
            self.assert_waits_for_lease(tenure)

    def test_without_fences_a_new_primary_waits_even_if_the_previous_one_failed(self) -> None:
        tenure = self.make_tenure(fenced=False)
        tenure.link_closed(PEER, START)
        tenure.record_primary(OWN_IP, 2, START)
        self.assert_waits_for_lease(tenure)

    def test_with_fences_a_new_primary_does_not_wait_if_the_previous_one_failed(self) -> None:
        tenure = self.make_tenure(fenced=True)
        tenure.link_closed(PEER, START)
        tenure.record_primary(OWN_IP, 2, START)
        self.assertTrue(tenure.may_issue_orders(2, START, START))

    def test_a_new_primary_waits_if_an_epoch_in_between_was_not_observed(self) -> None:
        tenure = self.make_tenure(fenced=True)
        tenure.link_closed(PEER, START)
        tenure.record_primary(OWN_IP, 3, START)
        self.assertFalse(tenure.may_issue_orders(3, START, START))

    def test_a_link_that_broke_before_the_tenure_of_its_machine_does_not_count(self) -> None:
        tenure = Tenure(OWN_IP, LEASE, fenced=True)
        tenure.link_opened(PEER)
        tenure.link_closed(PEER, START - 1.0)
        tenure.link_opened(PEER)
        tenure.record_primary(PEER, 1, START - 0.5)
        tenure.record_primary(OWN_IP, 2, START)
        self.assert_waits_for_lease(tenure)

    def test_a_new_primary_waits_if_it_knows_no_previous_one(self) -> None:
        tenure = Tenure(OWN_IP, LEASE, fenced=True)
        tenure.record_primary(OWN_IP, 2, START)
        self.assert_waits_for_lease(tenure)


class FakeGroup:
    """A replication group with a fixed role, which counts how often the role is read."""

    def __init__(self, role: Role) -> None:
        self._role = role
        self._role_reads = 0
        self.role_read_often = asyncio.Event()

    def role(self) -> Role:
        """Return the role and count the call."""
        self._role_reads += 1
        if self._role_reads >= REPEATED_CALLS:
            self.role_read_often.set()
        return self._role


class ScriptedClient:
    """Returns the given reports in turn, then the last one repeatedly, and records orders.

    With `wait_for_order` it returns the first report until an order is sent.
    """

    def __init__(self, reports: list[WorkerReport], wait_for_order: bool) -> None:
        self._reports = reports
        self._wait_for_order = wait_for_order
        self._last_report_reads = 0
        self.orders: list[OrderCall] = []
        self.rejection: int | None = None
        self.last_report_read_often = asyncio.Event()

    async def report(self, address: str, worker: str) -> WorkerReport:
        """Return the next report."""
        if self._wait_for_order and not self.orders:
            return self._reports[0]
        if len(self._reports) > 1:
            return self._reports.pop(0)
        self._last_report_reads += 1
        if self._last_report_reads >= REPEATED_CALLS:
            self.last_report_read_often.set()
        return self._reports[0]

    async def order(self, address: str, worker: str, call: OrderCall) -> OrderAccepted | OrderRejected:
        """Accept an order, which is never carried out; if `rejection` is set, reject it with that status."""
        self.orders.append(call)
        return OrderAccepted(done=False) if self.rejection is None else OrderRejected(self.rejection)

    async def close(self) -> None:
        """Do nothing, as no connection is open."""


def idle_report(sequence: int, *models: str) -> WorkerReport:
    """The report of an idle worker that holds these models."""
    held = tuple(HeldModel(model, version=1, adapters=frozenset()) for model in models)
    return WorkerReport(held, busy=False, sequence=sequence, queued=0, active=0)


class LoadSchedulerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.changed = asyncio.Event()
        self.view = ClusterView(self.record_change, lambda worker: None)
        self.table = WorkerTable(self.view, OWN_IP, 1.0, lambda update, audience: self.changed.set())
        self.worker = ModelWorker(WORKER_SETTINGS)
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)

    def record_change(self, record: WorkerRecord) -> None:
        """Signal that the record of a worker changed."""
        self.changed.set()

    async def start_scheduler(self, role: Role) -> FakeGroup:
        """Start a scheduler that knows the worker, and demand for weights."""
        group = FakeGroup(role)
        tenure = Tenure(OWN_IP, LEASE, fenced=True)
        scheduler = LoadScheduler(
            OWNER, Bounds(lease=LEASE), cast(ControlGroup, group), self.view, self.table, tenure
        )
        scheduler.configure(load_configuration(json.dumps(CONFIGURATION).encode()))
        document = {"svc": SERVICE, "addr": self.worker.address, "az": "z1", "slots": 8, "seq": 1}
        now = asyncio.get_running_loop().time()
        self.table.record_heartbeat(parse_heartbeat(self.worker.instance, document), now)
        running = asyncio.create_task(scheduler.run())
        self.addAsyncCleanup(cancel_tasks, [running])
        scheduler.record_demand(WAITING)
        return group

    async def wait_until_held(self, model: str) -> None:
        """Wait until the view has the worker as holding the model."""
        while True:
            record = self.view.registry.get(self.worker.instance)
            if record is not None and record.holds(model, ""):
                return
            self.changed.clear()
            await self.changed.wait()

    async def test_weights_in_demand_are_loaded_and_known_to_be_held(self) -> None:
        role = Primary(1, asyncio.get_running_loop().time())
        await self.start_scheduler(role)
        await within(self.wait_until_held("small"))
        orders = self.worker.records.orders
        self.assertEqual([(WeightKey("small"), 202)], [(o.order.weights, o.status) for o in orders])
        self.assertEqual((OWNER, 1), (orders[0].order.owner, orders[0].order.fence))
        self.assertEqual([], self.worker.records.violations)

    async def test_the_epoch_is_the_fencing_token_of_orders(self) -> None:
        long_ago = asyncio.get_running_loop().time() - 2 * LEASE
        await self.start_scheduler(Primary(7, long_ago))
        await within(self.wait_until_held("small"))
        self.assertEqual({7}, {record.order.fence for record in self.worker.records.orders})

    async def test_neither_a_backup_nor_a_primary_that_waits_sends_orders(self) -> None:
        self.enterContext(mock.patch.object(load_scheduler, "PLAN_INTERVAL", SHORT_INTERVAL))
        for role in (Backup(PEER, 3, True), Primary(4, asyncio.get_running_loop().time())):
            group = await self.start_scheduler(role)
            await within(group.role_read_often.wait())
        self.assertEqual([], self.worker.records.orders)

    async def play_reports(
        self, *reports: WorkerReport, wait_for_order: bool = False
    ) -> tuple[ScriptedClient, bool]:
        """Let the scheduler read these reports; returns the client and whether the view has "small" held."""
        client = ScriptedClient(list(reports), wait_for_order)
        self.enterContext(mock.patch.object(load_scheduler, "WorkerClient", lambda budget: client))
        for pause in ("PLAN_INTERVAL", "MIN_PLAN_PAUSE", "IDLE_POLL_INTERVAL", "BUSY_POLL_INTERVAL"):
            self.enterContext(mock.patch.object(load_scheduler, pause, SHORT_INTERVAL))
        await self.start_scheduler(Primary(1, asyncio.get_running_loop().time()))
        await within(client.last_report_read_often.wait())
        record = self.view.registry.get(self.worker.instance)
        assert record is not None
        return client, record.holds("small", "")

    async def orders_if_all_are_rejected(self, status: int) -> list[OrderCall]:
        """The orders sent to a worker that rejects all, while its report is read often after the first."""
        client = ScriptedClient([idle_report(5)], wait_for_order=False)
        client.rejection = status
        self.enterContext(mock.patch.object(load_scheduler, "WorkerClient", lambda budget: client))
        for pause in ("PLAN_INTERVAL", "MIN_PLAN_PAUSE", "IDLE_POLL_INTERVAL", "BUSY_POLL_INTERVAL"):
            self.enterContext(mock.patch.object(load_scheduler, pause, SHORT_INTERVAL))
        await self.start_scheduler(Primary(1, asyncio.get_running_loop().time()))
        await within(self.wait_for_first_order(client))
        for _ in range(REPEATED_CALLS):
            client.last_report_read_often.clear()
            await within(client.last_report_read_often.wait())
        return client.orders

    async def test_no_more_orders_go_to_a_worker_that_has_seen_a_higher_fence(self) -> None:
        """Another primary sends orders there. Orders that were rejected for another reason are sent again."""
        self.assertEqual(1, len(await self.orders_if_all_are_rejected(412)))
        self.assertLess(1, len(await self.orders_if_all_are_rejected(409)))

    async def test_a_report_with_a_lower_sequence_is_ignored(self) -> None:
        client, held = await self.play_reports(idle_report(5, "small"), idle_report(3))
        self.assertTrue(held)
        self.assertEqual([], client.orders)

    async def test_a_report_with_a_lower_sequence_does_not_complete_an_order(self) -> None:
        reports = (idle_report(5), idle_report(5), idle_report(4, "small"))
        client, held = await self.play_reports(*reports, wait_for_order=True)
        self.assertFalse(held)
        self.assertEqual([5], [order.if_sequence for order in client.orders])

    async def test_reports_with_an_equal_or_higher_sequence_are_recorded(self) -> None:
        for sequence in (5, 6):
            with self.subTest(sequence=sequence):
                _, held = await self.play_reports(idle_report(5), idle_report(sequence, "small"))
                self.assertTrue(held)

    async def test_an_unload_is_published_before_it_is_done(self) -> None:
        """An unload waits for running requests, and meanwhile the worker rejects others for these weights."""
        tight = json.loads(json.dumps(CONFIGURATION))
        runtime = tight["svcs"][0]["runtime"]
        runtime["size-mb"] = 100
        runtime["models"].append({**runtime["models"][0], "name": "old"})
        client = ScriptedClient([idle_report(5, "old")], wait_for_order=False)
        self.enterContext(mock.patch.dict(CONFIGURATION, tight))
        self.enterContext(mock.patch.object(load_scheduler, "WorkerClient", lambda budget: client))
        for pause in ("PLAN_INTERVAL", "MIN_PLAN_PAUSE", "IDLE_POLL_INTERVAL", "BUSY_POLL_INTERVAL"):
            self.enterContext(mock.patch.object(load_scheduler, pause, SHORT_INTERVAL))
        await self.start_scheduler(Primary(1, asyncio.get_running_loop().time()))
        await within(self.wait_for_first_order(client))
        self.assertEqual([(False, "old")], [(order.is_load, order.model) for order in client.orders])
        for _ in range(REPEATED_CALLS):  # the reports still contain the weights
            client.last_report_read_often.clear()
            await within(client.last_report_read_often.wait())
            record = self.view.registry.get(self.worker.instance)
            assert record is not None
            self.assertFalse(record.holds("old", ""))

    async def wait_for_first_order(self, client: ScriptedClient) -> None:
        """Wait until an order has been sent."""
        while not client.orders:
            client.last_report_read_often.clear()
            await client.last_report_read_often.wait()


class UnloadedWeightsTests(unittest.TestCase):
    MODELS = (HeldModel("a", 1, frozenset({"x", "y"})), HeldModel("b", 2, frozenset()))

    def test_a_model_is_removed_with_its_adapters_and_an_adapter_alone(self) -> None:
        first, second = self.MODELS
        self.assertEqual((second,), without_weights(self.MODELS, WeightsKey("a")))
        without_adapter = HeldModel("a", 1, frozenset({"y"}))
        self.assertEqual((without_adapter, second), without_weights(self.MODELS, WeightsKey("a", "x")))
        self.assertEqual(self.MODELS, without_weights(self.MODELS, None))
        self.assertEqual(self.MODELS, without_weights(self.MODELS, WeightsKey("c")))
        self.assertEqual((first,), without_weights(self.MODELS, WeightsKey("b")))


if __name__ == "__main__":
    unittest.main()
