"""Sends load orders to workers while this machine is the primary, at most one at a time to each worker.

The primary's epoch is the fencing token of its orders. After a change of primary, `Tenure` delays the first
order of the new one, so that orders of two primaries are at least the lease time apart.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field, replace

from rookwood.cluster.engines import model_specs
from rookwood.cluster.messages import DemandReport, DemandSummary
from rookwood.cluster.settings import Bounds
from rookwood.cluster.view import ClusterView
from rookwood.cluster.workers import HeldModel, HoldingStamp, WorkerRecord, WorkerState
from rookwood.clusterconfig.document import Configuration, Engine
from rookwood.controlplane.demand import DemandSum
from rookwood.controlplane.tenure import Tenure
from rookwood.controlplane.worker_client import (
    HIGHER_FENCE_SEEN,
    OrderAccepted,
    OrderCall,
    OrderRejected,
    ReportFailed,
    WorkerClient,
    WorkerReport,
)
from rookwood.controlplane.worker_table import WorkerTable
from rookwood.coordination.group import ControlGroup, Primary
from rookwood.mechanisms import ALL_MECHANISMS, Mechanism, Mechanisms
from rookwood.memory_budget import MemoryBudget
from rookwood.modelplacement.loads import LoadOrder, LoadPlanner
from rookwood.modelplacement.types import WeightsKey, WorkerWeights

logger = logging.getLogger("rookwood")

PLAN_INTERVAL = 0.25  # seconds
MIN_PLAN_PAUSE = 0.02  # seconds; limits how often reports and demand wake the planner
IDLE_POLL_INTERVAL = 1.0  # seconds between two reports of an idle worker
BUSY_POLL_INTERVAL = 0.06  # seconds between two reports of a worker that carries out an order
POLLS_PER_LOAD = 20  # a worker with a slow load is polled less often
ORDER_TIMEOUT = 20.0  # seconds for which a worker is polled until its order is done
FRESH_REPORT_AGE = 0.5


@dataclass(slots=True)
class WorkerStatus:
    """The state of one worker, as its reports and the orders sent to it show."""

    first_seen_at: float
    report: WorkerReport | None = None
    report_read_at: float = -1e9
    report_due: bool = True
    report_pending: bool = False
    order_pending: bool = False
    failures: int = 0
    unloading: WeightsKey | None = None  # weights that the pending order unloads
    fenced_off_epoch: int | None = None  # own epoch in which the worker had seen a higher fence


@dataclass(slots=True)
class ServicePlan:
    """The load planner of one service, and the states of its workers."""

    engine: Engine
    planner: LoadPlanner
    workers: dict[str, WorkerStatus] = field(default_factory=dict)


class LoadScheduler:
    """Runs the load planners of all services with weights."""

    def __init__(
        self,
        owner: str,
        bounds: Bounds,
        group: ControlGroup,
        view: ClusterView,
        table: WorkerTable,
        tenure: Tenure,
        mechanisms: Mechanisms = ALL_MECHANISMS,
        budget: MemoryBudget | None = None,
    ) -> None:
        """`owner`: under which orders are sent. `budget`: owns the memory of the process."""
        self._mechanisms = mechanisms
        self._budget = budget
        self._owner = owner
        self._bounds = bounds
        self._group = group
        self._view = view
        self._table = table
        self._tenure = tenure
        self._client: WorkerClient | None = None
        self.demand = DemandSum()
        self._plans: dict[str, ServicePlan] = {}
        self._wake = asyncio.Event()
        self._holding_counter = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._tenure_epoch: int | None = None

    def record_demand(self, report: DemandReport | DemandSummary) -> None:
        """Record the demand that one or several dispatchers report; waiting requests wake the planner."""
        self.demand.record_report(report, self._now())
        if any(key.waiting for key in report.keys) and isinstance(self._group.role(), Primary):
            self._wake.set()

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; existing planners are kept, as they know the pending orders."""
        engines = {name: service.engine for name, service in configuration.services.items() if service.engine}
        if engines == {name: plan.engine for name, plan in self._plans.items()}:
            return
        plans: dict[str, ServicePlan] = {}
        for name, engine in engines.items():
            existing = self._plans.get(name)
            plans[name] = self._update_plan(existing, engine) if existing else self._new_plan(engine)
        self._plans = plans
        self._wake.set()

    async def run(self) -> None:
        """Plan repeatedly until cancelled."""
        self._client = WorkerClient(self._budget)
        try:
            while True:
                await self._wait_for_wake()
                epoch = self._order_epoch()
                if epoch is None:
                    self._tenure_epoch = None
                    continue
                if epoch != self._tenure_epoch:
                    self._begin_tenure(epoch)
                self._plan_all(epoch)
        finally:
            for task in self._tasks:
                task.cancel()
            await self._client.close()

    def _plan_all(self, epoch: int) -> None:
        """Plan each service; an exception in one plan must not stop the planning of the others."""
        for name, plan in self._plans.items():
            try:
                self._plan_service(name, plan, epoch)
            except Exception:
                logger.exception("planning failed", extra={"service": name})

    def _update_plan(self, plan: ServicePlan, engine: Engine) -> ServicePlan:
        """Apply a changed engine to a plan, and keep the pending orders."""
        if plan.engine == engine:
            return plan
        plan.engine = engine
        bounds = self._bounds
        plan.planner.reconfigure(
            model_specs(engine),
            engine.loads_per_s,
            window_s=bounds.load_window,
            over=bounds.load_rate_tolerance,
        )
        return plan

    def _new_plan(self, engine: Engine) -> ServicePlan:
        return ServicePlan(engine, self._new_planner(engine))

    def _new_planner(self, engine: Engine) -> LoadPlanner:
        bounds = self._bounds
        return LoadPlanner(
            model_specs(engine),
            engine.loads_per_s,
            window_s=bounds.load_window,
            over=bounds.load_rate_tolerance,
            mechanisms=self._mechanisms,
        )

    def _begin_tenure(self, epoch: int) -> None:
        """Start with new planners, since another primary may have issued orders in the meantime."""
        logger.info("issuing load orders", extra={"epoch": epoch})
        self._tenure_epoch = epoch
        for plan in self._plans.values():
            plan.planner = self._new_planner(plan.engine)
            plan.planner.begin_tenure(self._now())
            plan.workers.clear()

    def _order_epoch(self) -> int | None:
        """The epoch under which this machine may issue orders now; None if it may not."""
        role = self._group.role()
        if not isinstance(role, Primary):
            return None
        if role.epoch == self._tenure_epoch:
            return role.epoch
        if not self._tenure.may_issue_orders(role.epoch, role.since, self._now()):
            return None
        return role.epoch

    async def _wait_for_wake(self) -> None:
        """Wait until the planner is woken, at most for the plan interval."""
        try:
            async with asyncio.timeout(PLAN_INTERVAL):
                await self._wake.wait()
        except TimeoutError:
            pass
        else:
            await asyncio.sleep(MIN_PLAN_PAUSE)
        self._wake.clear()

    def _plan_service(self, name: str, plan: ServicePlan, epoch: int) -> None:
        now = self._now()
        workers = []
        present = set()
        for record in self._view.registry:
            if record.service != name:
                continue
            present.add(record.id)
            status = plan.workers.setdefault(record.id, WorkerStatus(first_seen_at=now))
            self._refresh_report(plan, record, status, now)
            if status.fenced_off_epoch == epoch:
                continue  # another primary sends orders there under a higher fence
            if status.report is not None and status.failures == 0:
                workers.append(describe_worker(plan.engine, record, status, status.report))
        for worker in plan.workers.keys() - present:
            del plan.workers[worker]
        demand = self.demand.total(name, now)
        orders = plan.planner.plan(now, workers, demand, self.demand.wanted_shares(name))
        for order in orders:
            self._start_task(self._execute(plan, order, epoch))

    def _refresh_report(
        self, plan: ServicePlan, record: WorkerRecord, status: WorkerStatus, now: float
    ) -> None:
        """Start to read a worker's report, if one is due and no call to the worker is pending."""
        if status.report_pending or status.order_pending:
            return
        busy = status.report is not None and status.report.busy
        polls_fast = busy and self._mechanisms.has(Mechanism.BUSY_REPORTS)
        interval = BUSY_POLL_INTERVAL if polls_fast else IDLE_POLL_INTERVAL
        if not status.report_due and now - status.report_read_at < interval:
            return
        status.report_pending = True
        status.report_due = False
        self._start_task(self._read_report(record, status))

    async def _read_report(self, record: WorkerRecord, status: WorkerStatus) -> None:
        assert self._client is not None
        first = status.report is None
        try:
            report = await self._client.report(record.address, record.id)
        finally:
            status.report_pending = False
        status.report_read_at = self._now()
        recorded = self._record_report(record.id, status, report)
        if recorded is not None and first:
            self._wake.set()

    def _record_report(
        self, worker: str, status: WorkerStatus, report: WorkerReport | ReportFailed
    ) -> WorkerReport | None:
        """Record a worker's report; returns None if it failed or another worker sent it."""
        if isinstance(report, ReportFailed) or is_of_another_worker(status.report, report):
            status.failures += 1
            if isinstance(report, ReportFailed) and status.failures == 1:
                logger.info("report failed", extra={"worker": worker, "reason": report.reason})
            return None
        status.failures = 0
        status.report = report
        status.report_read_at = self._now()
        self._publish_holding(worker, status)
        return report

    def _publish_holding(self, worker: str, status: WorkerStatus) -> None:
        """Publish which weights a worker holds, without those that it is about to unload.

        An unload waits for the running requests, and meanwhile the worker rejects others for these weights.
        """
        epoch = self._tenure_epoch
        if epoch is None or status.report is None:
            return
        self._holding_counter += 1
        models = without_weights(status.report.models, status.unloading)
        self._table.set_holding(worker, models, HoldingStamp(epoch, self._holding_counter))

    async def _execute(self, plan: ServicePlan, order: LoadOrder, epoch: int) -> None:
        """Send an order, record its outcome, and wait until the worker has carried it out."""
        assert self._client is not None
        record = self._view.registry.get(order.worker)
        status = plan.workers.get(order.worker)
        if record is None or status is None or self._order_epoch() != epoch:
            plan.planner.record_outcome(self._now(), order, False)
            return
        now = self._now()
        plan.planner.record_sending(now, order)
        status.order_pending = True
        if not order.is_load and self._mechanisms.has(Mechanism.UNLOAD_NOTICE):
            status.unloading = order.key
            self._publish_holding(order.worker, status)
        call = OrderCall(
            order.is_load, order.key.model, order.key.adapter, self._owner, epoch, order.if_sequence
        )
        try:
            outcome = await self._client.order(record.address, record.id, call)
            if isinstance(outcome, OrderAccepted):
                plan.planner.record_outcome(self._now(), order, True)
                if not outcome.done:
                    await self._await_completion(
                        record, status, order.if_sequence, poll_interval(plan, order)
                    )
            elif isinstance(outcome, OrderRejected):
                logger.info("order rejected", extra={"worker": order.worker, "status": outcome.status})
                if outcome.status == HIGHER_FENCE_SEEN:
                    status.fenced_off_epoch = epoch
                plan.planner.record_outcome(self._now(), order, False)
            else:
                plan.planner.record_outcome(self._now(), order, None)
        finally:
            status.order_pending = False
            status.unloading = None
            status.report_due = True
            self._wake.set()

    async def _await_completion(
        self, record: WorkerRecord, status: WorkerStatus, sequence: int, interval: float
    ) -> None:
        """Read reports until one shows that the order sent after the sequence number `sequence` is done."""
        assert self._client is not None
        deadline = self._now() + ORDER_TIMEOUT
        while self._now() < deadline and self._view.registry.get(record.id) is not None:
            await asyncio.sleep(interval)
            response = await self._client.report(record.address, record.id)
            report = self._record_report(record.id, status, response)
            if report is None or (report.sequence > sequence and not report.busy):
                return

    def _start_task(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def is_of_another_worker(before: WorkerReport | None, report: WorkerReport) -> bool:
    """Whether a report cannot come from the worker that sent the one before.

    Workers may respond to a call that was meant for another instance, and addresses are reused. The sequence
    of one incarnation never decreases, so a report in which it does comes from another worker at the address.
    """
    return before is not None and report.sequence < before.sequence


def without_weights(models: tuple[HeldModel, ...], key: WeightsKey | None) -> tuple[HeldModel, ...]:
    """The models without the model or adapter that the key names."""
    if key is None:
        return models
    if not key.adapter:
        return tuple(model for model in models if model.name != key.model)
    return tuple(
        replace(model, adapters=model.adapters - {key.adapter}) if model.name == key.model else model
        for model in models
    )


def poll_interval(plan: ServicePlan, order: LoadOrder) -> float:
    """The interval, in seconds, at which a worker is polled for the end of an order."""
    model = plan.engine.models.get(order.key.model)
    if model is None or order.key.adapter or not order.is_load:
        return BUSY_POLL_INTERVAL
    return max(BUSY_POLL_INTERVAL, model.load_s / POLLS_PER_LOAD)


def describe_worker(
    engine: Engine, record: WorkerRecord, status: WorkerStatus, report: WorkerReport
) -> WorkerWeights:
    """A worker's state as the planner needs it, from its record, its report and the orders sent to it."""
    return WorkerWeights(
        worker=record.id,
        zone=record.zone,
        size_mb=engine.size_mb,
        adapter_slots=engine.adapter_slots,
        slots=record.slots,
        models={model.name: model.adapters for model in report.models},
        busy=report.busy or status.order_pending,
        sequence=report.sequence,
        active=report.active,
        queued=report.queued,
        draining=record.state is WorkerState.DRAINING,
        started=status.first_seen_at,
        reported=status.report_read_at,
    )
