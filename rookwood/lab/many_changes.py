"""Many changes at control groups over loopback, with a member away, another restarted, and a loss of power.

Three members in one process, each with the real storage in a folder of its own, take changes of the operator
one after the other, as `decide` has them. After the last one, samples of all changes are sent again.
"""

from __future__ import annotations

import asyncio
import json
import resource
import statistics
import tempfile
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from rookwood.clusterconfig.history import (
    Accepted,
    AlreadyAccepted,
    Change,
    ChangeMethod,
    ControlDocument,
    decide,
)
from rookwood.controlplane.payload import read_payload
from rookwood.coordination.group import (
    Committed,
    ControlGroup,
    Declined,
    GroupSettings,
    Primary,
    Role,
    Snapshot,
)
from rookwood.lab.faulty_disk import disk_bytes, tear_slot_in_turn
from rookwood.lab.free_ports import find_free_port
from rookwood.lab.results import keep

MEMBERS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
DISK_MB = 128
STEPS = 4  # parts of the run of which figures are told apart
RESENT_SAMPLES = 100
PATIENCE = 15.0
RETRY_PAUSE = 0.02
MODELS = 60
EXIT_HELD, EXIT_BROKEN = 0, 3


@dataclass(frozen=True)
class Plan:
    """What happens after how many changes."""

    changes: int = 2000
    routes: int = 350
    away_from: int = 200
    away_until: int = 1200
    restarted_at: int = 700
    power_lost_at: int = 1600


@dataclass
class Step:
    """Figures of one part of the run."""

    changes: int
    median_ms: float
    worst_ms: float
    disk_bytes: int
    resident_mb: float


@dataclass
class Figures:
    """What was measured, and what must be 0 or true."""

    document_bytes: int = 0
    record_files_bytes: int = 0
    steps: list[Step] = field(default_factory=list)
    away_caught_up_s: float = 0.0
    restarted_caught_up_s: float = 0.0
    taken_again_after_power_loss_s: float = 0.0
    led_with_less_than_acknowledged: int = 0
    resends: int = 0
    resends_not_acknowledged: int = 0
    versions_lost: int = 0
    members_differ: bool = False

    @property
    def holds(self) -> bool:
        """Whether nothing was lost, refused or different."""
        return not (
            self.led_with_less_than_acknowledged
            or self.resends_not_acknowledged
            or self.versions_lost
            or self.members_differ
        )


class Members:
    """The control groups, which end and start at the run's word."""

    def __init__(self, directory: Path, figures: Figures) -> None:
        self.groups: dict[str, ControlGroup] = {}
        self.acknowledged = 0
        self._directory = directory
        self._figures = figures
        self._port = find_free_port(*MEMBERS)
        self._told = asyncio.Event()

    async def start(self, *ips: str, bootstrap: bool = False) -> None:
        """Start these members."""
        for ip in ips:
            group = ControlGroup(
                self._settings(ip, bootstrap),
                on_commit=lambda snapshot: self._told.set(),
                on_role=lambda role, ip=ip: self._role_changed(ip, role),  # type: ignore[misc]
            )
            self.groups[ip] = group
        await asyncio.gather(*(self.groups[ip].start() for ip in ips))

    async def stop(self, *ips: str) -> None:
        """End these members at once, without a transfer."""
        await asyncio.gather(*(self.groups.pop(ip).stop(transfer=False) for ip in ips))

    async def lose_power(self) -> None:
        """End all, with the write under way torn on each disk."""
        await self.stop(*list(self.groups))
        for ip in MEMBERS:
            tear_slot_in_turn(self.directory(ip), DISK_MB)

    def directory(self, ip: str) -> str:
        """The folder of a member's files."""
        return str(self._directory / ip)

    def primary(self) -> ControlGroup | None:
        """A member that acts as primary."""
        return next((group for group in self.groups.values() if isinstance(group.role(), Primary)), None)

    async def take(self, change: Change) -> None:
        """Send a change until it is acknowledged."""
        outcome = await self.send(change)
        assert isinstance(outcome, Committed | AlreadyAccepted), outcome

    async def send(self, change: Change) -> Committed | object:
        """Send a change until it gets a clear answer."""

        def apply(payload: bytes) -> bytes | Declined:
            decision = decide(read_payload(payload), change)
            return decision.document.encode() if isinstance(decision, Accepted) else Declined(decision)

        async with asyncio.timeout(PATIENCE):
            while True:
                group = self.primary()
                if group is not None:
                    outcome = await group.propose(apply)
                    if isinstance(outcome, Committed):
                        return outcome
                    if isinstance(outcome, Declined):
                        return outcome.result
                await asyncio.sleep(RETRY_PAUSE)

    async def until_caught_up(self, ip: str) -> None:
        """Wait until a member has what was acknowledged by now."""
        version = self.acknowledged
        async with asyncio.timeout(PATIENCE):
            while version_of(self.groups[ip]) < version:
                self._told.clear()
                await self._told.wait()

    def _role_changed(self, ip: str, role: Role) -> None:
        if isinstance(role, Primary) and version_of(self.groups[ip]) < self.acknowledged:
            self._figures.led_with_less_than_acknowledged += 1

    def _settings(self, ip: str, bootstrap: bool) -> GroupSettings:
        return GroupSettings(
            ip=ip,
            port=self._port,
            listen_ip=ip,
            seeds=MEMBERS,
            tolerate=1,
            bootstrap=bootstrap,
            directory=self.directory(ip),
            disk_mb=DISK_MB,
        )


class Run:
    """One run of a plan."""

    def __init__(self, plan: Plan, directory: Path) -> None:
        self._plan = plan
        self.figures = Figures()
        self._members = Members(directory, self.figures)
        self._sent: list[Change] = []
        self._latencies: list[float] = []
        self._background: list[asyncio.Task[None]] = []

    async def play(self) -> Figures:
        """Play the plan and return the figures."""
        await self._members.start(*MEMBERS, bootstrap=True)
        try:
            await self._play_changes()
            await asyncio.gather(*self._background)
            for ip in MEMBERS:
                await self._members.until_caught_up(ip)
            await self._resend()
            self._compare()
        finally:
            await self._members.stop(*list(self._members.groups))
        return self.figures

    async def _play_changes(self) -> None:
        step_length = max(1, self._plan.changes // STEPS)
        for number in range(self._plan.changes):
            await self._disturb(number)
            await self._change(first_configuration(self._plan) if number == 0 else self._patch(number))
            if (number + 1) % step_length == 0:
                self._note_step(step_length)

    async def _disturb(self, number: int) -> None:
        members, plan = self._members, self._plan
        away, restarted = MEMBERS[1], MEMBERS[2]
        if number == plan.away_from:
            await members.stop(away)
        if number == plan.restarted_at:
            await members.stop(restarted)
            await members.start(restarted)
            self._background.append(asyncio.create_task(self._follow(restarted, "restarted_caught_up_s")))
        if number == plan.away_until:
            await members.start(away)
            self._background.append(asyncio.create_task(self._follow(away, "away_caught_up_s")))
        if number == plan.power_lost_at:
            await asyncio.gather(*self._background)
            await self._lose_power(number)

    async def _follow(self, ip: str, figure: str) -> None:
        started = time.monotonic()
        await self._members.until_caught_up(ip)
        setattr(self.figures, figure, round(time.monotonic() - started, 3))

    async def _lose_power(self, number: int) -> None:
        """Lose the power with a change under way, which is then sent again."""
        under_way = asyncio.create_task(self._members.send(self._patch(number)))
        await asyncio.sleep(0)
        await self._members.lose_power()
        started = time.monotonic()
        await self._members.start(*MEMBERS)
        await under_way
        self.figures.taken_again_after_power_loss_s = round(time.monotonic() - started, 3)

    async def _change(self, change: Change) -> None:
        started = time.monotonic()
        await self._members.take(change)
        self._latencies.append(time.monotonic() - started)
        self._members.acknowledged = len(self._sent) + 1
        self._sent.append(change)

    def _patch(self, number: int) -> Change:
        """The change that leads from version `number` to the next: another time-out of one route."""
        name = f"r-{number % self._plan.routes:04d}"
        routes = [route(name, number)]
        body = {"ver": number + 1, "upsert": {"routes": routes}, "remove": {"routes": []}}
        return Change(ChangeMethod.PATCH, number, json.dumps(body).encode())

    def _note_step(self, length: int) -> None:
        latencies = sorted(self._latencies[-length:])
        sizes = [disk_bytes(self._members.directory(ip)) for ip in MEMBERS]
        self.figures.steps.append(
            Step(
                changes=len(self._sent),
                median_ms=round(1000 * statistics.median(latencies), 1),
                worst_ms=round(1000 * latencies[-1], 1),
                disk_bytes=max(sizes),
                resident_mb=round(resident_mb(), 1),
            )
        )

    async def _resend(self) -> None:
        stride = max(1, len(self._sent) // RESENT_SAMPLES)
        for number in range(0, len(self._sent), stride):
            answer = await self._members.send(self._sent[number])
            self.figures.resends += 1
            self.figures.resends_not_acknowledged += answer != AlreadyAccepted(number + 1)

    def _compare(self) -> None:
        snapshots: list[Snapshot] = [group.snapshot() for group in self._members.groups.values()]
        document: ControlDocument = read_payload(snapshots[0].payload)
        self.figures.members_differ = len(set(snapshots)) != 1
        self.figures.versions_lost = len(self._sent) - document.version
        self.figures.document_bytes = len(snapshots[0].payload)
        self.figures.record_files_bytes = max(disk_bytes(self._members.directory(ip)) for ip in MEMBERS)


def route(name: str, number: int) -> dict[str, Any]:
    """A route as operators send them."""
    return {
        "name": name,
        "host": "reader.example",
        "pfx": f"/{name}/",
        "kind": "stream",
        "timeout-ms": 5000 + number,
        "target-ms": 600,
        "prio": 1,
        "split": [{"svc": "engine", "wt": 90}, {"svc": "spare", "wt": 10}],
        "tries": 2,
        "sticky": True,
        "resume": True,
        "gap_aim_ms": 300,
    }


def first_configuration(plan: Plan) -> Change:
    """The first configuration, with all routes and the models of one service."""
    models = [
        {"name": f"m{n:05d}", "size-mb": 72700.0, "load-s": 3.2, "loras": 12, "lora-mb": 66.0}
        for n in range(MODELS)
    ]
    engine = {"name": "engine", "health": "/healthz", "max-conns": 360, "runtime": {"models": models}}
    body = {
        "ver": 1,
        "routes": [route(f"r-{number:04d}", number) for number in range(plan.routes)],
        "svcs": [engine, {"name": "spare", "health": "/healthz", "max-conns": 96}],
    }
    return Change(ChangeMethod.PUT, 0, json.dumps(body).encode())


def version_of(group: ControlGroup) -> int:
    """The version of the newest configuration committed at a member."""
    return read_payload(group.snapshot().payload).version


def resident_mb() -> float:
    """The memory that this process holds at present."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / (1 << 20)


def play(plan: Plan, directory: Path) -> Figures:
    """Play a plan with its files in a folder."""
    return asyncio.run(Run(plan, directory).play())


def run_many_changes(plan: Plan, json_file: Path | None) -> int:
    """Play a plan, print and keep its figures, and return the exit code: 3 where a rule was broken."""
    with tempfile.TemporaryDirectory() as directory:
        figures = play(plan, Path(directory))
    described = {**asdict(figures), "holds": figures.holds}
    print(json.dumps(described, indent=1))
    keep(json_file, "many-changes", asdict(plan), described)
    return EXIT_HELD if figures.holds else EXIT_BROKEN
