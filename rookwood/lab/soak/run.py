"""One run of the soak: a stage, a schedule of troubles, changes, clients, and the judgement."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass
from functools import partial

from rookwood.cluster.tasks import cancel_tasks
from rookwood.lab.soak.changes import (
    FLIP_SERVICES,
    ROUTES_KEPT,
    ChangeSender,
    flip_route,
    large_configuration,
    numbered_route,
)
from rookwood.lab.soak.departures import make_workers_leave
from rookwood.lab.soak.judge import SoakJudge
from rookwood.lab.soak.schedule import Trouble, draw_kills_of_all, draw_schedule
from rookwood.lab.soak.troubles import TroubleMaker
from rookwood.lab.soak.watchers import probe_data_plane, read_configuration, version_of, watch_memory
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.operator import Operator
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import StageError, eventually

CONTROL_PLANES = 3
QUIET_CHANGES_S = 1.0  # for which changes go on once data planes count as untroubled


@dataclass(frozen=True)
class Plan:
    """What a run is like; the same seed draws the same troubles."""

    seed: int
    seconds: float = 20.0
    changes_per_s: float = 20.0
    feed_rate: float = 300_000.0  # bytes/s
    data_planes: int = 2
    memory_limit_mb: float = 250.0  # of a control plane
    departures: bool = False  # whether workers leave, beside kills of all processes

    def schedule(self) -> tuple[Trouble, ...]:
        """The troubles that it draws."""
        troubles = draw_schedule(self.seed, self.seconds, CONTROL_PLANES, self.data_planes)
        if not self.departures:
            return troubles
        kills = draw_kills_of_all(self.seed, self.seconds, CONTROL_PLANES)
        return tuple(sorted([*troubles, *kills], key=lambda trouble: trouble.at))

    def describe(self) -> str:
        """The seed and the troubles as lines of text."""
        return "\n".join([f"seed {self.seed}:", *(f"  {trouble}" for trouble in self.schedule())])


class SoakRun:
    """Plays one plan on a running stage."""

    def __init__(self, plan: Plan, stage: SystemStage) -> None:
        self._plan = plan
        self._stage = stage
        self._apply_s = stage.timing.apply_ms / 1000
        self._reader = Operator(stage.control_addresses)
        self._sender = ChangeSender(stage.operator, plan.seed)
        self._troubles = TroubleMaker(stage, self._sender, plan.feed_rate)
        self._schedule = plan.schedule()
        self.judge = SoakJudge(self._sender.log, stage.timing, self._apply_s)

    async def play(self) -> None:
        """Plays it to the end."""
        try:
            await self._prepare()
            async with self._watchers():
                await self._play_changes()
            await self._settle()
        finally:
            await self._reader.close()

    async def _prepare(self) -> None:
        for service in FLIP_SERVICES:
            await self._stage.add_worker(large_configuration().service(service))
        await self._stage.wait_for_workers()
        await self._sender.send_first()
        await self._stage.wait_until_ready()

    async def _play_changes(self) -> None:
        """Sends changes during all troubles, and so long after that every data plane counts as untroubled."""
        quiet_s = self._stage.timing.contact_ms / 1000 + self._apply_s + QUIET_CHANGES_S
        seconds = max((trouble.ends for trouble in self._schedule), default=0.0) + quiet_s
        async with asyncio.TaskGroup() as group:
            group.create_task(self._troubles.play(self._schedule))
            group.create_task(self._sender.send_for(seconds, self._plan.changes_per_s))

    @contextlib.asynccontextmanager
    async def _watchers(self) -> AsyncIterator[None]:
        """Has clients, readers and memory watchers at work."""
        log, judge = self._sender.log, self.judge
        work: list[Coroutine[object, object, None]] = [
            probe_data_plane(machine, health, log, judge, self._plan.seed)
            for machine, health in zip(self._stage.data_planes, self._troubles.health, strict=True)
        ]
        work.append(read_configuration(self._reader, judge))
        if self._plan.departures:
            work.append(make_workers_leave(self._stage, self._troubles.health, log, judge, self._plan.seed))
        work.append(watch_memory(self._stage.control_planes, judge, self._plan.memory_limit_mb))
        tasks = [asyncio.create_task(item) for item in work]
        try:
            yield
            for task in tasks:
                if task.done():
                    task.result()
        finally:
            await cancel_tasks(tasks)

    async def _settle(self) -> None:
        """Judges the configuration that is read and served once no more changes come."""
        self.judge.judge_end(version_of(await self._reader.get()))
        for machine in self._stage.data_planes:
            what = f"{machine.name} serves exactly the routes of version {self._sender.log.newest}"
            try:
                await eventually(partial(self._serves_newest, machine), what, self._apply_s)
            except StageError as error:
                self.judge.not_settled(str(error))
        self.judge.judge_own_checks(self._stage.violated_invariants())

    async def _serves_newest(self, machine: SystemProcess) -> bool:
        newest, client = self._sender.log.newest, self._stage.client
        removed = await client.send(machine, numbered_route(newest - ROUTES_KEPT))
        oldest = await client.send(machine, numbered_route(newest - ROUTES_KEPT + 1))
        added = await client.send(machine, numbered_route(newest))
        moved = await client.send(machine, flip_route(newest))
        service = self._service_of(moved.seal or "")
        return (
            removed.status == 404 and oldest.served and added.served and service == flip_route(newest).service
        )

    def _service_of(self, seal: str) -> str | None:
        """The service of the worker that gave an answer."""
        for worker in self._stage.workers:
            if seal.startswith(f"{worker.instance}."):
                return worker.settings.service
        return None


async def play(plan: Plan) -> SoakRun:
    """Plays a plan on a stage of its own."""
    async with SystemStage(CONTROL_PLANES, plan.data_planes, feed_rate=plan.feed_rate) as stage:
        run = SoakRun(plan, stage)
        await run.play()
        return run
