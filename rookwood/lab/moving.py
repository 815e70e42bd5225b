"""`rookwood experiment address`: clients of one address whose holder dies, stands still or is cut off.

The address is a port here; what comes to it is passed to whoever the witness was last told of, and when that
changes the connections to the one before break, as they do where an address moves. Clients ask for unlocks
and pages, with keys, and come back with the same key until they have an answer. The dispatchers claim keys in
a store; boxes count every run.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import statistics
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from rich.console import Console

from rookwood.lab.ground import READY_LIMIT, Ground
from rookwood.lab.net import Server
from rookwood.lab.nodes import tried
from rookwood.lab.redis import StandIn
from rookwood.lab.results import keep

WORK, GIVE_UP = 0.01, 1.0  # seconds: of a job; of a try
EVERY = 0.02  # seconds between two jobs: what a gap is measured by
PATIENCE = 8.0  # seconds in which a client comes back
SETTLE = 20.0  # seconds until all are as they were, at most
STORE = """
    prefix lab
    timeout 150ms
    lease 1s
    keep 120s
    retry-window 8s
"""


class Mover:
    """The service address."""

    def __init__(self, ground: Ground) -> None:
        self._ground = ground
        self.server = Server(self._connection)
        self._out: dict[asyncio.StreamWriter, str] = {}  # to whom each connection goes
        ground.witness.moved = self._moved

    def _moved(self) -> None:
        for writer, address in list(self._out.items()):
            if address != self._ground.witness.address:
                writer.transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address = self._ground.witness.address
        host, _, port = address.rpartition(":")
        far_reader, far = await asyncio.open_connection(host, int(port))
        self._out[writer] = address
        try:
            if address == self._ground.witness.address:
                ways = (_passed(reader, far), _passed(far_reader, writer))
                tasks = [asyncio.ensure_future(way) for way in ways]
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in tasks:
                    task.cancel()
        finally:
            del self._out[writer]
            far.close()


async def _passed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(1 << 16):
            writer.write(data)


@dataclass(frozen=True, slots=True)
class Plan:
    nodes: int
    seed: int
    kills: int
    stops: int
    cuts: int
    lease_ms: int
    store: str = "redis"  # or "peers"

    def schedule(self) -> list[str]:
        chosen = ["kill"] * self.kills + ["stop"] * self.stops + ["cut"] * self.cuts
        random.Random(self.seed).shuffle(chosen)
        return chosen


class Play:
    def __init__(self, plan: Plan) -> None:
        self._plan, self._random = plan, random.Random(plan.seed)
        self._redis = StandIn()
        self._ends = Counter[str]()
        self._answers = list[float]()  # when each answer with a result came
        self._gaps: dict[str, list[float]] = {}
        self._over = False
        self._beginnings = 0  # of the registers, as the processes that live at the end have counted

    async def run(self) -> dict[str, Any]:
        plan, loop = self._plan, asyncio.get_running_loop()
        await self._redis.server.start()
        where = "peers yes" if plan.store == "peers" else f"redis {self._redis.server.address}"
        store = f"{where}\n{STORE}"
        self._ground = Ground(plan.nodes, plan.seed, plan.lease_ms, boxes=3, store=store)
        self._mover = Mover(self._ground)
        try:
            await self._ground.start()
            await self._mover.server.start()
            await self._ground.witness.next_holder("", READY_LIMIT)
            await self._until_granted()
            clients = asyncio.create_task(self._clients())
            await asyncio.sleep(1.0)
            for fault in plan.schedule():
                began = loop.time()
                await self._trouble(fault)
                after = [at for at in self._answers if at > began - 1.0]
                gap = max((b - a for a, b in zip(after, after[1:], strict=False)), default=float("inf"))
                self._gaps.setdefault(fault, []).append(gap)
            self._over = True
            await clients
            told = [await self._ground.figures(name) for name in self._ground.names]
            self._beginnings = sum(int(f.get("replicas.begun", 0)) for f in told)
            return self._figures()
        finally:
            self._mover.server.close()
            await self._ground.close()
            self._redis.server.close()

    async def _until_granted(self) -> None:
        """The store is new: no key is free until a window has passed."""
        async with asyncio.timeout(60):
            for n in itertools.count():
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    if (await self._try("chapter-unlock", f"first.{n}", '"first"'))[0] == 200:
                        return
                await asyncio.sleep(0.2)

    async def _try(self, path: str, request_id: str, key: str) -> tuple[int, dict[str, str]]:
        return await tried("127.0.0.1", self._mover.server.port, path, request_id, key, WORK, GIVE_UP)

    async def _clients(self) -> None:
        loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()
        began = loop.time()
        for n in itertools.count():
            await asyncio.sleep(max(0.0, began + n * EVERY - loop.time()))
            if self._over:
                break
            job, path = (f"u{n}", "chapter-unlock") if n % 2 else (f"p{n}", "page-render")
            tasks.add(asyncio.create_task(self._client(job, path)))
        await asyncio.gather(*tasks)

    async def _client(self, job: str, path: str) -> None:
        loop, how = asyncio.get_running_loop(), "lost"
        last = loop.time() + PATIENCE
        for attempt in itertools.count():
            try:
                async with asyncio.timeout(GIVE_UP + 0.5):
                    status, headers = await self._try(path, f"{job}.{attempt}", f'"{job}"')
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status, headers = 0, {}
            if status == 200:
                how = "replayed" if "idempotency-replayed" in headers else "served"
                self._answers.append(loop.time())
            elif status and status not in (409, 429, 503):
                how = "failed"
            elif status:
                how = "refused"
            if status in (200, 500, 502, 504) or loop.time() > last:
                break
            # Who is refused comes back when it was told to, who is cut off tries less and less often: else a
            # second without a holder grows into a storm that keeps this process from carrying the links.
            wait = min(1.0, float(headers.get("retry-after", 0.1))) if status else min(0.5, 0.02 * 2**attempt)
            await asyncio.sleep(wait * self._random.uniform(1.0, 1.5))
        self._ends[how] += 1

    async def _trouble(self, fault: str) -> None:
        ground, lease_s = self._ground, self._plan.lease_ms / 1000
        holder = ground.witness.holder
        match fault:
            case "kill":
                ground.kill(holder)
            case "stop":
                ground.stop(holder)
            case _:
                ground.cut(ground.both_ways(holder))
        await ground.witness.next_holder(holder, SETTLE)
        await asyncio.sleep(lease_s * (1 + self._random.random()))
        if fault == "kill":
            await ground.again(holder)
        elif fault == "stop":
            ground.go_on(holder)
        ground.heal()
        async with asyncio.timeout(SETTLE):  # all may vote again: fewer than a majority could hold nothing
            while True:
                figures = list[dict[str, float]]()
                with contextlib.suppress(OSError, TimeoutError):  # one that has just started or gone on
                    figures = [await ground.figures(name) for name in ground.names]
                heard = all(f["duties.members_heard"] == len(ground.names) - 1 for f in figures)
                if figures and heard and all(f.get("replicas.whole", 1) for f in figures):
                    break
                await asyncio.sleep(0.05)
        await asyncio.sleep(2 * lease_s)

    def _figures(self) -> dict[str, Any]:
        unlocks = {job: n for job, n in self._ground.ledger.runs.items() if job.startswith("u")}
        gaps = [gap for found in self._gaps.values() for gap in found]
        return {
            "gap_ms_max": round(1000 * max(gaps)),
            "gap_ms_median": round(1000 * statistics.median(gaps)),
            "gaps_ms": {
                fault: sorted(round(1000 * gap) for gap in found) for fault, found in self._gaps.items()
            },
            "double_runs": sum(n > 1 for n in unlocks.values()) + self._ground.ledger.at_once,
            "spends": sum(unlocks.values()),
            "lost": self._ends["lost"],
            "beginnings": self._beginnings,
            "ends": dict(self._ends),
            "stale_accepted": self._ground.witness.stale(),
            "overlaps": self._ground.witness.overlaps(),
        }


def run_address(plan: Plan, place: Path | None) -> int:
    """Exit code 3 where a rule was broken."""
    console = Console()
    figures = asyncio.run(Play(plan).run())
    for name, value in figures.items():
        console.print(f"{name}: {value}")
    keep(place, "address", asdict(plan), figures)
    return 3 if figures["double_runs"] or figures["stale_accepted"] or figures["overlaps"] else 0
