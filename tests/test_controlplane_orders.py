"""Load orders: who may give them, and what reaches a worker."""

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
from rookwood.controlplane.worker_client import OrderCall, OrderRefused, OrderTaken, WorkerReport
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
OFTEN = 10
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
        """A machine that follows a primary, over an open link, until it becomes primary itself."""
        tenure = Tenure(OWN_IP, LEASE, fenced)
        tenure.link_opened(PEER)
        tenure.record_primary(PEER, 1, START - LEASE)
        return tenure

    def assert_waits(self, tenure: Tenure) -> None:
        """The first order comes after the lease time only; without fences also after the last of before."""
        margin = LEASE_MARGIN if tenure.fenced else LEASE_MARGIN + LAST_ORDER_LIMIT
        self.assertFalse(tenure.may_issue_orders(2, START, START))
        self.assertFalse(tenure.may_issue_orders(2, START, START + LEASE))
        self.assertFalse(tenure.may_issue_orders(2, START, START + LEASE + margin / 2))
        self.assertTrue(tenure.may_issue_orders(2, START, START + LEASE + margin + 0.01))

    def test_the_first_primary_of_all_need_not_wait(self) -> None:
        self.assertTrue(Tenure(OWN_IP, LEASE, fenced=False).may_issue_orders(1, START, START))

    def test_a_successor_waits_while_the_earlier_primary_is_linked(self) -> None:
        for fenced in (False, True):
            tenure = self.make_tenure(fenced)
            tenure.record_primary(OWN_IP, 2, START)
            self.assert_waits(tenure)

    def test_without_fences_a_successor_waits_also_for_a_lost_primary(self) -> None:
        tenure = self.make_tenure(fenced=False)
        tenure.link_closed(PEER, START)
        tenure.record_primary(OWN_IP, 2, START)
        self.assert_waits(tenure)

    def test_with_fences_the_successor_of_a_lost_primary_need_not_wait(self) -> None:
        tenure = self.make_tenure(fenced=True)
        tenure.link_closed(PEER, START)
        tenure.record_primary(OWN_IP, 2, START)
        self.assertTrue(tenure.may_issue_orders(2, START, START))

    def test_a_holder_may_have_been_unseen_between_two_epochs(self) -> None:
        tenure = self.make_tenure(fenced=True)
        tenure.link_closed(PEER, START)
        tenure.record_primary(OWN_IP, 3, START)
        self.assertFalse(tenure.may_issue_orders(3, START, START))

    def test_a_link_that_broke_before_its_machine_led_excuses_nothing(self) -> None:
        tenure = Tenure(OWN_IP, LEASE, fenced=True)
        tenure.link_opened(PEER)
        tenure.link_closed(PEER, START - 1.0)
        tenure.link_opened(PEER)
        tenure.record_primary(PEER, 1, START - 0.5)
        tenure.record_primary(OWN_IP, 2, START)
        self.assert_waits(tenure)

    def test_a_machine_that_knows_no_earlier_primary_waits(self) -> None:
        tenure = Tenure(OWN_IP, LEASE, fenced=True)
        tenure.record_primary(OWN_IP, 2, START)
        self.assert_waits(tenure)


class FakeGroup:
    """A replication group of a fixed role, which notes how often it is asked."""

    def __init__(self, role: Role) -> None:
        self._role = role
        self._times_asked = 0
        self.asked_often = asyncio.Event()

    def role(self) -> Role:
        """The role."""
        self._times_asked += 1
        if self._times_asked >= OFTEN:
            self.asked_often.set()
        return self._role


class ScriptedClient:
    """Answers with the given reports in turn, the last one again and again, and notes orders.

    With `ordered_first` it stays with the first report until an order is given.
    """

    def __init__(self, reports: list[WorkerReport], ordered_first: bool) -> None:
        self._reports = reports
        self._ordered_first = ordered_first
        self._times_last = 0
        self.orders: list[OrderCall] = []
        self.refusal: int | None = None
        self.last_often_read = asyncio.Event()

    async def report(self, address: str, worker: str) -> WorkerReport:
        """The next report."""
        if self._ordered_first and not self.orders:
            return self._reports[0]
        if len(self._reports) > 1:
            return self._reports.pop(0)
        self._times_last += 1
        if self._times_last >= OFTEN:
            self.last_often_read.set()
        return self._reports[0]

    async def order(self, address: str, worker: str, call: OrderCall) -> OrderTaken | OrderRefused:
        """An order is taken and never carried out; or refused, where a status is set for that."""
        self.orders.append(call)
        return OrderTaken(done=False) if self.refusal is None else OrderRefused(self.refusal)

    async def close(self) -> None:
        """Nothing is open."""


def idle_report(sequence: int, *models: str) -> WorkerReport:
    """The report of a worker that holds these models."""
    held = tuple(HeldModel(model, version=1, adapters=frozenset()) for model in models)
    return WorkerReport(held, busy=False, sequence=sequence, queued=0, active=0)


class LoadSchedulerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.changed = asyncio.Event()
        self.view = ClusterView(self.note_change, lambda worker: None)
        self.table = WorkerTable(self.view, OWN_IP, 1.0, lambda update, audience: self.changed.set())
        self.worker = ModelWorker(WORKER_SETTINGS)
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)

    def note_change(self, record: WorkerRecord) -> None:
        """A worker changed."""
        self.changed.set()

    async def start_scheduler(self, role: Role) -> FakeGroup:
        """A scheduler that knows the worker and a demand for weights."""
        group = FakeGroup(role)
        tenure = Tenure(OWN_IP, LEASE, fenced=True)
        scheduler = LoadScheduler(
            OWNER, Bounds(lease=LEASE), cast(ControlGroup, group), self.view, self.table, tenure
        )
        scheduler.configure(load_configuration(json.dumps(CONFIGURATION).encode()))
        document = {"svc": SERVICE, "addr": self.worker.address, "az": "z1", "slots": 8, "seq": 1}
        now = asyncio.get_running_loop().time()
        self.table.heartbeat(parse_heartbeat(self.worker.instance, document), now)
        running = asyncio.create_task(scheduler.run())
        self.addAsyncCleanup(cancel_tasks, [running])
        scheduler.take_demand(WAITING)
        return group

    async def holding(self, model: str) -> None:
        """Wait until the worker is known to hold the model."""
        while True:
            record = self.view.registry.get(self.worker.instance)
            if record is not None and record.holds(model, ""):
                return
            self.changed.clear()
            await self.changed.wait()

    async def test_weights_in_demand_are_loaded_and_the_holding_becomes_known(self) -> None:
        role = Primary(1, asyncio.get_running_loop().time())
        await self.start_scheduler(role)
        await within(self.holding("small"))
        orders = self.worker.records.orders
        self.assertEqual([(WeightKey("small"), 202)], [(o.order.weights, o.status) for o in orders])
        self.assertEqual((OWNER, 1), (orders[0].order.owner, orders[0].order.fence))
        self.assertEqual([], self.worker.records.violations)

    async def test_the_epoch_is_the_fence(self) -> None:
        long_ago = asyncio.get_running_loop().time() - 2 * LEASE
        await self.start_scheduler(Primary(7, long_ago))
        await within(self.holding("small"))
        self.assertEqual({7}, {record.order.fence for record in self.worker.records.orders})

    async def test_neither_a_backup_nor_a_primary_within_its_wait_gives_orders(self) -> None:
        self.enterContext(mock.patch.object(load_scheduler, "PLAN_INTERVAL", SHORT_INTERVAL))
        for role in (Backup(PEER, 3, True), Primary(4, asyncio.get_running_loop().time())):
            group = await self.start_scheduler(role)
            await within(group.asked_often.wait())
        self.assertEqual([], self.worker.records.orders)

    async def play_reports(
        self, *reports: WorkerReport, ordered_first: bool = False
    ) -> tuple[ScriptedClient, bool]:
        """Let the scheduler read these reports; returns the client and whether "small" is known as held."""
        client = ScriptedClient(list(reports), ordered_first)
        self.enterContext(mock.patch.object(load_scheduler, "WorkerClient", lambda: client))
        for pause in ("PLAN_INTERVAL", "LEAST_PLAN_PAUSE", "IDLE_REPORT_AGE", "BUSY_POLL_INTERVAL"):
            self.enterContext(mock.patch.object(load_scheduler, pause, SHORT_INTERVAL))
        await self.start_scheduler(Primary(1, asyncio.get_running_loop().time()))
        await within(client.last_often_read.wait())
        record = self.view.registry.get(self.worker.instance)
        assert record is not None
        return client, record.holds("small", "")

    async def orders_where_all_are_refused(self, status: int) -> list[OrderCall]:
        """What is ordered of a worker that refuses each order, until its report was read often after that."""
        client = ScriptedClient([idle_report(5)], ordered_first=False)
        client.refusal = status
        self.enterContext(mock.patch.object(load_scheduler, "WorkerClient", lambda: client))
        for pause in ("PLAN_INTERVAL", "LEAST_PLAN_PAUSE", "IDLE_REPORT_AGE", "BUSY_POLL_INTERVAL"):
            self.enterContext(mock.patch.object(load_scheduler, pause, SHORT_INTERVAL))
        await self.start_scheduler(Primary(1, asyncio.get_running_loop().time()))
        await within(self.ordered(client))
        for _ in range(OFTEN):
            client.last_often_read.clear()
            await within(client.last_often_read.wait())
        return client.orders

    async def test_who_was_refused_for_a_higher_fence_orders_no_more_there(self) -> None:
        """Another holder orders there. Orders that were refused for another reason are given again."""
        self.assertEqual(1, len(await self.orders_where_all_are_refused(412)))
        self.assertLess(1, len(await self.orders_where_all_are_refused(409)))

    async def test_a_report_whose_sequence_goes_back_counts_for_nothing(self) -> None:
        client, held = await self.play_reports(idle_report(5, "small"), idle_report(3))
        self.assertTrue(held)
        self.assertEqual([], client.orders)

    async def test_a_report_whose_sequence_goes_back_does_not_tell_that_an_order_is_done(self) -> None:
        reports = (idle_report(5), idle_report(5), idle_report(4, "small"))
        client, held = await self.play_reports(*reports, ordered_first=True)
        self.assertFalse(held)
        self.assertEqual([5], [order.if_sequence for order in client.orders])

    async def test_reports_of_the_same_sequence_and_of_later_ones_count(self) -> None:
        for sequence in (5, 6):
            with self.subTest(sequence=sequence):
                _, held = await self.play_reports(idle_report(5), idle_report(sequence, "small"))
                self.assertTrue(held)

    async def test_dispatchers_hear_of_an_unload_before_it_is_done(self) -> None:
        """It waits for the requests that run, and meanwhile the worker rejects others for these weights."""
        tight = json.loads(json.dumps(CONFIGURATION))
        runtime = tight["svcs"][0]["runtime"]
        runtime["size-mb"] = 100
        runtime["models"].append({**runtime["models"][0], "name": "old"})
        client = ScriptedClient([idle_report(5, "old")], ordered_first=False)
        self.enterContext(mock.patch.dict(CONFIGURATION, tight))
        self.enterContext(mock.patch.object(load_scheduler, "WorkerClient", lambda: client))
        for pause in ("PLAN_INTERVAL", "LEAST_PLAN_PAUSE", "IDLE_REPORT_AGE", "BUSY_POLL_INTERVAL"):
            self.enterContext(mock.patch.object(load_scheduler, pause, SHORT_INTERVAL))
        await self.start_scheduler(Primary(1, asyncio.get_running_loop().time()))
        await within(self.ordered(client))
        self.assertEqual([(False, "old")], [(order.is_load, order.model) for order in client.orders])
        for _ in range(OFTEN):  # reports go on to tell of the weights
            client.last_often_read.clear()
            await within(client.last_often_read.wait())
            record = self.view.registry.get(self.worker.instance)
            assert record is not None
            self.assertFalse(record.holds("old", ""))

    async def ordered(self, client: ScriptedClient) -> None:
        """Wait until an order was given."""
        while not client.orders:
            client.last_often_read.clear()
            await client.last_often_read.wait()


class UnloadedWeightsTests(unittest.TestCase):
    HELD = (HeldModel("a", 1, frozenset({"x", "y"})), HeldModel("b", 2, frozenset()))

    def test_a_model_goes_with_its_adapters_and_an_adapter_alone(self) -> None:
        first, second = self.HELD
        self.assertEqual((second,), without_weights(self.HELD, WeightsKey("a")))
        fewer = HeldModel("a", 1, frozenset({"y"}))
        self.assertEqual((fewer, second), without_weights(self.HELD, WeightsKey("a", "x")))
        self.assertEqual(self.HELD, without_weights(self.HELD, None))
        self.assertEqual(self.HELD, without_weights(self.HELD, WeightsKey("c")))
        self.assertEqual((first,), without_weights(self.HELD, WeightsKey("b")))


if __name__ == "__main__":
    unittest.main()
