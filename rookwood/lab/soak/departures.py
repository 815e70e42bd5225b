"""Workers that leave while a run goes on, and serve on; some of their heartbeats arrive late.

A worker that deregistered goes on sending heartbeats; one that drains has sent one that says `up` before and
arrives after. Neither may bring it back, whatever was killed or emptied since its acknowledgement.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout

from rookwood.lab.emulatedworker.registration import ServiceState
from rookwood.lab.emulatedworker.weights import JsonObject
from rookwood.lab.emulatedworker.worker import ModelWorker
from rookwood.lab.soak.changes import ChangeLog, large_configuration, numbered_route
from rookwood.lab.soak.judge import RunAfterDeparture, SoakJudge
from rookwood.lab.soak.troubles import DataPlaneHealth
from rookwood.lab.systemstage.client import Client, TryOptions
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage

SERVICE = "pages"
CALL_LIMIT_S = 1.0  # after which a worker calls the next machine
REPEAT_S = 0.1  # from a call without an acknowledgement to the next round
INTERVAL_S = (0.3, 0.9)  # from one worker that leaves to the next
REGISTERED_S = 0.4  # for which a worker serves before it leaves
SERVES_ON_S = 12.0  # after its acknowledgement; long enough for a kill and the span of contact
LATE_S = (0.5, 6.0)  # from the acknowledgement to a late heartbeat
LATE_HEARTBEATS = 4
REQUEST_INTERVAL_S = 0.04
QUICK = TryOptions(time_left_ms=1_000)


@dataclass(frozen=True)
class SentRequest:
    """A request of a client: to which data plane, when, and since when that one had had no trouble."""

    data_plane: str
    at: float
    sound_since: float | None


class Departures:
    """Has workers leave, sends requests beside that, and judges those that reached workers that had left."""

    def __init__(
        self,
        stage: SystemStage,
        health: Sequence[DataPlaneHealth],
        log: ChangeLog,
        judge: SoakJudge,
        seed: int,
    ) -> None:
        self._stage = stage
        self._health = health
        self._log = log
        self._judge = judge
        self._draws = random.Random(f"{seed} departures")
        self._sent: dict[str, SentRequest] = {}

    async def play(self) -> None:
        """Go on until cancelled."""
        timeout = ClientTimeout(total=CALL_LIMIT_S)
        async with ClientSession(timeout=timeout) as session, asyncio.TaskGroup() as group:
            for machine, health in zip(self._stage.data_planes, self._health, strict=True):
                group.create_task(self._send_requests(machine, health))
            while True:
                group.create_task(self._play_worker(session))
                await asyncio.sleep(self._draws.uniform(*INTERVAL_S))

    async def _send_requests(self, machine: SystemProcess, health: DataPlaneHealth) -> None:
        client = Client()
        try:
            while True:
                await asyncio.sleep(REQUEST_INTERVAL_S)
                sent = SentRequest(machine.name, time.monotonic(), health.sound_since)
                await client.send(machine, numbered_route(self._log.newest), options=QUICK)
                self._sent.update((answer.try_id, sent) for answer in client.answers)
                self._judge.requests_beside_departures += len(client.answers)
                client.answers.clear()
        finally:
            await client.close()

    async def _play_worker(self, session: ClientSession) -> None:
        """One worker, from its start to its end."""
        worker = await self._stage.add_worker(large_configuration().service(SERVICE))
        acknowledged_at: float | None = None
        try:
            await worker.registered.wait()
            await asyncio.sleep(REGISTERED_S)
            late_heartbeat = worker.heartbeat_before_leaving()
            acknowledged_at = await self._leave(session, worker)
            self._judge.departures += 1
            await self._send_late_heartbeats(session, worker, late_heartbeat, acknowledged_at)
            await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
        finally:
            if acknowledged_at is not None:
                self._judge_runs(worker, acknowledged_at)
            self._stage.workers.remove(worker)
            await worker.stop()

    async def _leave(self, session: ClientSession, worker: ModelWorker) -> float:
        """Drain or deregister a worker at a drawn machine; returns when that was acknowledged."""
        deregisters = self._draws.random() < 0.5
        if not deregisters:
            worker.state = ServiceState.DRAINING
        body = None if deregisters else {**worker.heartbeat_before_leaving(), "state": worker.state.value}
        while True:
            for address in self._draws.sample(self._stage.control_addresses, len(self._stage.control_planes)):
                if await call(session, "DELETE" if deregisters else "PUT", address, worker, body):
                    return time.monotonic()
            await asyncio.sleep(REPEAT_S)

    async def _send_late_heartbeats(
        self, session: ClientSession, worker: ModelWorker, heartbeat: JsonObject, acknowledged_at: float
    ) -> None:
        for late in sorted(self._draws.uniform(*LATE_S) for _ in range(LATE_HEARTBEATS)):
            await asyncio.sleep(acknowledged_at + late - time.monotonic())
            await call(session, "PUT", self._draws.choice(self._stage.control_addresses), worker, heartbeat)

    def _judge_runs(self, worker: ModelWorker, acknowledged_at: float) -> None:
        for run in worker.records.runs:
            sent = self._sent.get(run.try_id)
            if sent is None:
                continue
            self._judge.judge_run_after_departure(
                RunAfterDeparture(
                    worker.instance,
                    acknowledged_at,
                    sent.data_plane,
                    sent.at,
                    run.started_at,
                    sent.sound_since,
                )
            )


async def make_workers_leave(
    stage: SystemStage, health: Sequence[DataPlaneHealth], log: ChangeLog, judge: SoakJudge, seed: int
) -> None:
    """Has workers leave until cancelled."""
    await Departures(stage, health, log, judge, seed).play()


async def call(
    session: ClientSession, method: str, address: str, worker: ModelWorker, body: JsonObject | None
) -> bool:
    """Call the workers' interface of a control machine; returns whether it acknowledged."""
    url = f"http://{address}/workers/{worker.instance}"
    try:
        async with session.request(method, url, data=None if body is None else json.dumps(body)) as response:
            return response.status // 100 == 2
    except (ClientError, OSError, TimeoutError):
        return False
