"""Gives load orders to workers while this machine is the primary: one order a worker at a time.

The primary's epoch is the fence of its orders. After a change of primary the new one waits for the
lease time before its first order, so that holders never take turns within it.
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
    OrderCall,
    OrderRefused,
    OrderTaken,
    ReportFailed,
    WorkerClient,
    WorkerReport,
)
from rookwood.controlplane.worker_table import WorkerTable
from rookwood.coordination.group import ControlGroup, Primary
from rookwood.mechanisms import ALL_MECHANISMS, Mechanism, Mechanisms
from rookwood.modelplacement.loads import LoadOrder, LoadPlanner
from rookwood.modelplacement.types import WeightsKey, WorkerWeights

logger = logging.getLogger("rookwood")

PLAN_INTERVAL = 0.25
LEAST_PLAN_PAUSE = 0.02  # however often reports wake the planner
IDLE_REPORT_AGE = 1.0
BUSY_POLL_INTERVAL = 0.06
POLLS_PER_LOAD = 20  # a slow load is asked after less often
ORDER_PATIENCE = 20.0
FRESH_REPORT_AGE = 0.5


@dataclass(slots=True)
class WorkerStatus:
    """What the scheduler knows of one worker from its reports."""

    started: float
    report: WorkerReport | None = None
    read_at: float = -1e9
    due: bool = True
    reading: bool = False
    executing: bool = False
    failures: int = 0
    leaving: WeightsKey | None = None  # weights that the order under way unloads
    refused_epoch: int | None = None  # under which the worker has seen a higher fence than ours


@dataclass(slots=True)
class ServicePlan:
    """The planner of one service's weights, made anew when the configuration changes them."""

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
    ) -> None:
        self._mechanisms = mechanisms
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
        self._counter = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._leading_epoch: int | None = None

    def take_demand(self, report: DemandReport | DemandSummary) -> None:
        """Demand was reported, by a dispatcher or for several; waiting requests wake the planner."""
        self.demand.take(report, self._now())
        if any(key.waiting for key in report.keys) and isinstance(self._group.role(), Primary):
            self._wake.set()

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration; planners stay, so that orders under way stay known."""
        engines = {name: service.engine for name, service in configuration.services.items() if service.engine}
        if engines == {name: plan.engine for name, plan in self._plans.items()}:
            return
        plans: dict[str, ServicePlan] = {}
        for name, engine in engines.items():
            known = self._plans.get(name)
            plans[name] = self._keep_plan(known, engine) if known else self._new_plan(engine)
        self._plans = plans
        self._wake.set()

    async def run(self) -> None:
        """Plan for ever; cancelled by its task."""
        self._client = WorkerClient()
        try:
            while True:
                await self._wait()
                epoch = self._leading()
                if epoch is None:
                    self._leading_epoch = None
                    continue
                if epoch != self._leading_epoch:
                    self._begin(epoch)
                self._plan_all(epoch)
        finally:
            for task in self._tasks:
                task.cancel()
            await self._client.close()

    def _plan_all(self, epoch: int) -> None:
        """Plan each service; a fault in one plan must not end planning for the others."""
        for name, plan in self._plans.items():
            try:
                self._plan_service(name, plan, epoch)
            except Exception:
                logger.exception("planning failed", extra={"service": name})

    def _keep_plan(self, plan: ServicePlan, engine: Engine) -> ServicePlan:
        """Take another engine into a plan; orders under way stay known."""
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

    def _begin(self, epoch: int) -> None:
        logger.info("giving load orders", extra={"epoch": epoch})
        self._leading_epoch = epoch
        for plan in self._plans.values():
            plan.planner = self._new_planner(plan.engine)
            plan.planner.begin_tenure(self._now())
            plan.workers.clear()

    def _leading(self) -> int | None:
        role = self._group.role()
        if not isinstance(role, Primary):
            return None
        if role.epoch == self._leading_epoch:
            return role.epoch
        if not self._tenure.may_issue_orders(role.epoch, role.since, self._now()):
            return None
        return role.epoch

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(PLAN_INTERVAL):
                await self._wake.wait()
        except TimeoutError:
            pass
        else:
            await asyncio.sleep(LEAST_PLAN_PAUSE)
        self._wake.clear()

    def _plan_service(self, name: str, plan: ServicePlan, epoch: int) -> None:
        now = self._now()
        workers = []
        present = set()
        for record in self._view.registry:
            if record.service != name:
                continue
            present.add(record.id)
            status = plan.workers.setdefault(record.id, WorkerStatus(started=now))
            self._refresh(plan, record, status, now)
            if status.refused_epoch == epoch:
                continue  # another holder orders there under a higher fence
            if status.report is not None and status.failures == 0:
                workers.append(describe(plan.engine, record, status, status.report))
        for worker in plan.workers.keys() - present:
            del plan.workers[worker]
        demand = self.demand.total(name, now)
        orders = plan.planner.plan(now, workers, demand, self.demand.wanted(name))
        for order in orders:
            self._start(self._execute(plan, order, epoch))

    def _refresh(self, plan: ServicePlan, record: WorkerRecord, status: WorkerStatus, now: float) -> None:
        if status.reading or status.executing:
            return
        busy = status.report is not None and status.report.busy
        hastens = busy and self._mechanisms.has(Mechanism.BUSY_REPORTS)
        pause = BUSY_POLL_INTERVAL if hastens else IDLE_REPORT_AGE
        if not status.due and now - status.read_at < pause:
            return
        status.reading = True
        status.due = False
        self._start(self._read(record, status))

    async def _read(self, record: WorkerRecord, status: WorkerStatus) -> None:
        assert self._client is not None
        first = status.report is None
        try:
            report = await self._client.report(record.address, record.id)
        finally:
            status.reading = False
        status.read_at = self._now()
        taken = self._take_report(record.id, status, report)
        if taken is not None and first:
            self._wake.set()

    def _take_report(
        self, worker: str, status: WorkerStatus, report: WorkerReport | ReportFailed
    ) -> WorkerReport | None:
        """Take in what a worker answered; return the report, or None if it counts for nothing."""
        if isinstance(report, ReportFailed) or is_of_another_worker(status.report, report):
            status.failures += 1
            return None
        status.failures = 0
        status.report = report
        status.read_at = self._now()
        self._tell_holding(worker, status)
        return report

    def _tell_holding(self, worker: str, status: WorkerStatus) -> None:
        """Tell the dispatchers what a worker holds, without what it is about to unload.

        An unload waits for the requests that run, and meanwhile the worker rejects others for these weights.
        """
        epoch = self._leading_epoch
        if epoch is None or status.report is None:
            return
        self._counter += 1
        models = without_weights(status.report.models, status.leaving)
        self._table.set_holding(worker, models, HoldingStamp(epoch, self._counter))

    async def _execute(self, plan: ServicePlan, order: LoadOrder, epoch: int) -> None:
        assert self._client is not None
        record = self._view.registry.get(order.worker)
        status = plan.workers.get(order.worker)
        if record is None or status is None or self._leading() != epoch:
            plan.planner.record_outcome(self._now(), order, False)
            return
        now = self._now()
        plan.planner.record_sending(now, order)
        status.executing = True
        if not order.is_load and self._mechanisms.has(Mechanism.UNLOAD_NOTICE):
            status.leaving = order.key
            self._tell_holding(order.worker, status)
        call = OrderCall(
            order.is_load, order.key.model, order.key.adapter, self._owner, epoch, order.if_sequence
        )
        try:
            outcome = await self._client.order(record.address, record.id, call)
            if isinstance(outcome, OrderTaken):
                plan.planner.record_outcome(self._now(), order, True)
                if not outcome.done:
                    await self._follow(record, status, order.if_sequence, poll_interval(plan, order))
            elif isinstance(outcome, OrderRefused):
                logger.info("order refused", extra={"worker": order.worker, "status": outcome.status})
                if outcome.status == HIGHER_FENCE_SEEN:
                    status.refused_epoch = epoch
                plan.planner.record_outcome(self._now(), order, False)
            else:
                plan.planner.record_outcome(self._now(), order, None)
        finally:
            status.executing = False
            status.leaving = None
            status.due = True
            self._wake.set()

    async def _follow(
        self, record: WorkerRecord, status: WorkerStatus, sequence: int, interval: float
    ) -> None:
        """Read reports until the order given on top of `sequence` is done."""
        assert self._client is not None
        deadline = self._now() + ORDER_PATIENCE
        while self._now() < deadline and self._view.registry.get(record.id) is not None:
            await asyncio.sleep(interval)
            answer = await self._client.report(record.address, record.id)
            report = self._take_report(record.id, status, answer)
            if report is None or (report.sequence > sequence and not report.busy):
                return

    def _start(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def is_of_another_worker(before: WorkerReport | None, report: WorkerReport) -> bool:
    """Whether a report cannot come from the worker that gave the one before.

    Workers answer whatever instance is asked for, and addresses are used again. The sequence of one
    incarnation never goes back, so a report in which it does comes from another worker at the address.
    """
    return before is not None and report.sequence < before.sequence


def without_weights(models: tuple[HeldModel, ...], key: WeightsKey | None) -> tuple[HeldModel, ...]:
    """The models without one of them, or without one adapter."""
    if key is None:
        return models
    if not key.adapter:
        return tuple(held for held in models if held.name != key.model)
    return tuple(
        replace(held, adapters=held.adapters - {key.adapter}) if held.name == key.model else held
        for held in models
    )


def poll_interval(plan: ServicePlan, order: LoadOrder) -> float:
    """How often to ask after an order, in seconds."""
    model = plan.engine.models.get(order.key.model)
    if model is None or order.key.adapter or not order.is_load:
        return BUSY_POLL_INTERVAL
    return max(BUSY_POLL_INTERVAL, model.load_s / POLLS_PER_LOAD)


def describe(
    engine: Engine, record: WorkerRecord, status: WorkerStatus, report: WorkerReport
) -> WorkerWeights:
    """The planner's view of a worker."""
    return WorkerWeights(
        worker=record.id,
        zone=record.zone,
        size_mb=engine.size_mb,
        adapter_slots=engine.adapter_slots,
        slots=record.slots,
        models={held.name: held.adapters for held in report.models},
        busy=report.busy or status.executing,
        sequence=report.sequence,
        active=report.active,
        queued=report.queued,
        draining=record.state is WorkerState.DRAINING,
        started=status.started,
        reported=status.read_at,
    )
