"""Clients, readers and memory watchers that call the system while a run goes on."""

from __future__ import annotations

import asyncio
import json
import random
import time
from http import HTTPStatus
from pathlib import Path

from rookwood.lab.soak.changes import ChangeLog, numbered_route
from rookwood.lab.soak.judge import Probe, SoakJudge
from rookwood.lab.soak.troubles import DataPlaneHealth
from rookwood.lab.systemstage.client import Client, TryOptions
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.operator import Operator, OperatorAnswer

PROBE_INTERVAL_S = 0.03
READ_INTERVAL_S = 0.1
MEMORY_INTERVAL_S = 0.25
RECENT_VERSIONS = 60  # of which clients call the routes
QUICK = TryOptions(time_left_ms=1_000)


async def probe_data_plane(
    machine: SystemProcess, health: DataPlaneHealth, log: ChangeLog, judge: SoakJudge, seed: int
) -> None:
    """Calls routes of recent versions, one call after the other, until cancelled."""
    client = Client()
    draws = random.Random(seed)
    try:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            version = log.newest - draws.choice((0, 0, draws.randrange(RECENT_VERSIONS)))
            life, began = health.life, time.monotonic()
            answer = await client.send(machine, numbered_route(version), options=QUICK)
            client.answers.clear()
            if health.life == life:
                judge.judge_probe(
                    Probe(machine.name, life, version, began, answer.status, log.sent, health.sound_since)
                )
    finally:
        await client.close()


async def read_configuration(operator: Operator, judge: SoakJudge) -> None:
    """Reads the configuration from one control plane after the other until cancelled."""
    while True:
        for address in operator.addresses:
            await asyncio.sleep(READ_INTERVAL_S)
            began = time.monotonic()
            answer = await operator.attempt(address, "GET", None, None)
            if answer is not None and answer.status == HTTPStatus.OK:
                judge.judge_read(began, version_of(answer))


async def watch_memory(machines: list[SystemProcess], judge: SoakJudge, limit_mb: float) -> None:
    """Reads the memory of these processes until cancelled."""
    while True:
        for machine in machines:
            judge.judge_memory(machine.name, resident_mb(machine.process_id), limit_mb)
        await asyncio.sleep(MEMORY_INTERVAL_S)


def version_of(answer: OperatorAnswer) -> int:
    """The version of a configuration that was read."""
    return int(json.loads(answer.body)["ver"])


def resident_mb(process_id: int | None) -> float:
    """The memory that a process holds at present; 0 where it has ended."""
    try:
        text = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    kilobytes = [line.split()[1] for line in text.splitlines() if line.startswith("VmRSS:")]
    return int(kilobytes[0]) / 1024 if kilobytes else 0.0
