"""Times without a primary of three processes: the primary is killed, frozen, or its disk is full.

python -m rookwood.lab.process_failover --times 20

A full disk is a limit of 0 bytes on the files that the process writes, set while it runs: each later write
fails, as each does on a full disk.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import io
import resource
import statistics
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass
from enum import StrEnum
from functools import partial
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from rookwood.cluster.control_status import STATUS_PATH, ControlRole, ControlStatusError, MachineStatus
from rookwood.lab.results import keep
from rookwood.lab.soak.changes import ChangeSender
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import PATIENCE_S, POLL_INTERVAL_S, StageError, eventually

STATUS_LIMIT_S = 0.5
MEDIAN_WANTED_S = 1.5
WORST_WANTED_S = 3.0  # a second less than the bound for an acknowledgement


class Trouble(StrEnum):
    """What befalls the primary."""

    KILL = "kill"
    FREEZE = "freeze"
    DISK_FULL = "disk full"


@dataclass(frozen=True)
class Spans:
    """How long no other machine was the primary, and until the next change was acknowledged, in seconds."""

    times: int
    median: float
    worst: float
    median_change: float
    worst_change: float


@dataclass(frozen=True)
class Span:
    """One failover."""

    primary: float
    change: float


class FailoverStage:
    """Three control planes that lose their primary again and again."""

    def __init__(self, stage: SystemStage, session: ClientSession) -> None:
        self._stage = stage
        self._session = session
        self._changes = ChangeSender(stage.operator, seed=0)

    async def prepare(self) -> None:
        """Have a configuration taken by all."""
        await self._changes.send_first()
        await self._until_all_agree()

    async def measure(self, trouble: Trouble) -> Span:
        """Strike the primary once; afterwards it takes part again."""
        victim = await self._stage.find_primary()
        others = [machine for machine in self._stage.control_planes if machine is not victim]
        self._stage.operator.addresses = [machine.control_address for machine in others]
        began = time.monotonic()
        await strike(victim, trouble)
        change = asyncio.create_task(self._changes.send_next())
        await eventually(partial(self._has_primary, others), "another machine is the primary")
        primary = time.monotonic() - began
        await change
        acknowledged = time.monotonic() - began
        await restore(victim, trouble)
        await self._until_all_agree()
        return Span(primary, acknowledged)

    async def _has_primary(self, machines: list[SystemProcess]) -> bool:
        statuses = await asyncio.gather(*(self._status(machine) for machine in machines))
        return any(status is not None and status.role is ControlRole.PRIMARY for status in statuses)

    async def _until_all_agree(self) -> None:
        """Wait until all machines hold the same position and name one primary."""
        await eventually(self._all_agree, "all control planes agree", 2 * PATIENCE_S)

    async def _all_agree(self) -> bool:
        machines = self._stage.control_planes
        statuses = await asyncio.gather(*(self._status(machine) for machine in machines))
        known = [status for status in statuses if status is not None]
        positions = {status.stored for status in known}
        roles = Counter(status.role for status in known)
        led = roles == {ControlRole.PRIMARY: 1, ControlRole.BACKUP: len(machines) - 1}
        return led and len(positions) == 1

    async def _status(self, machine: SystemProcess) -> MachineStatus | None:
        try:
            async with self._session.get(f"http://{machine.control_address}{STATUS_PATH}") as response:
                return MachineStatus.from_json(await response.json())
        except (ClientError, OSError, TimeoutError, ControlStatusError):
            return None


async def strike(machine: SystemProcess, trouble: Trouble) -> None:
    """Bring the trouble about."""
    match trouble:
        case Trouble.KILL:
            await machine.kill()
        case Trouble.FREEZE:
            machine.freeze()
        case Trouble.DISK_FULL:
            limit_files(machine, 0)


async def restore(machine: SystemProcess, trouble: Trouble) -> None:
    """End the trouble."""
    match trouble:
        case Trouble.KILL:
            await machine.start()
        case Trouble.FREEZE:
            machine.thaw()
        case Trouble.DISK_FULL:
            limit_files(machine, resource.RLIM_INFINITY)


def limit_files(machine: SystemProcess, size: int) -> None:
    """Limit the size of files that the process can write, in bytes."""
    if machine.process_id is None:
        raise StageError(f"{machine.name} does not run")
    resource.prlimit(machine.process_id, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


async def measure_spans(trouble: Trouble, times: int) -> Spans:
    """Strike so many primaries, one after the other."""
    timeout = ClientTimeout(total=STATUS_LIMIT_S)
    async with SystemStage(data_planes=0) as stage, ClientSession(timeout=timeout) as session:
        failovers = FailoverStage(stage, session)
        await failovers.prepare()
        spans = [await failovers.measure(trouble) for _ in range(times)]
    primary = [span.primary for span in spans]
    change = [span.change for span in spans]
    figures = (statistics.median(primary), max(primary), statistics.median(change), max(change))
    return Spans(times, *(round(figure, 3) for figure in figures))


def within_bounds(spans: Spans) -> bool:
    """Whether the times without a primary are as wanted."""
    return spans.median < MEDIAN_WANTED_S and spans.worst < WORST_WANTED_S


def main() -> int:
    """Measure all troubles; 1 where a time is longer than wanted."""
    parser = argparse.ArgumentParser(prog="python -m rookwood.lab.process_failover", description=__doc__)
    parser.add_argument("--times", type=int, default=20, help="of each trouble")
    parser.add_argument("--troubles", nargs="+", type=Trouble, default=list(Trouble))
    parser.add_argument("--output", type=Path, help="where to keep the figures, as JSON")
    options = parser.parse_args()
    figures: dict[str, Spans] = {}
    for trouble in options.troubles:
        with contextlib.redirect_stdout(io.StringIO()):
            figures[trouble.value] = asyncio.run(measure_spans(trouble, options.times))
        print(f"{trouble.value}: {figures[trouble.value]}", flush=True)
    told = {name: asdict(spans) for name, spans in figures.items()}
    settings = {"times": options.times, "poll_s": POLL_INTERVAL_S}
    keep(options.output, "process-failover", settings, told)
    return 0 if all(within_bounds(spans) for spans in figures.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
