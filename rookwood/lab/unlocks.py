"""`rookwood experiment ledger`: keyed unlocks, four dispatchers, a store that misbehaves, and sudden deaths.

Every spend is counted where it happens, at the boxes. Clients come back with the same key, mostly elsewhere.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy as np
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from rookwood.lab.nodes import LISTEN, Node, tried
from rookwood.lab.redis import StandIn
from rookwood.lab.results import keep
from rookwood.lab.world import World

FAULTS = ("freeze", "slow", "kill", "empty", "older", "errors")
RETRY_WINDOW, TRIES = 8.0, 12  # seconds in which clients come back; tries of an unlock
GIVE_UP, WORK = 3.0, 0.02  # seconds: of a try; of an unlock
PAGES = 0.25  # pages to an unlock
STORE = """
    prefix lab
    timeout 150ms
    lease 1s
    keep 120s
    retry-window 8s
"""


@dataclass(frozen=True, slots=True)
class Plan:
    seed: int
    unlocks: int
    rate: float
    faults: tuple[str, ...]
    kills: int


class Play:
    def __init__(self, plan: Plan, tick: Callable[[int], None]) -> None:
        self._plan, self._tick, self._random = plan, tick, random.Random(plan.seed)
        self.redis = StandIn()
        self.world: World
        self.ends: Counter[str] = Counter()
        self.pages: list[tuple[bool, float]] = []  # while the store was in trouble?, seconds
        self.recoveries: list[float] = []
        self._trouble = False
        self._healed: float | None = None

    async def run(self) -> dict[str, Any]:
        plan, loop = self._plan, asyncio.get_running_loop()
        await self.redis.server.start()
        store = f"redis {self.redis.server.address}\n{STORE}"
        self.world = World(plan.seed, "pooled", 0.0, 0.0, boxes=4, store=store, give_up=GIVE_UP)
        try:
            await self.world.start()
            await self._until_granted()
            await asyncio.sleep(
                RETRY_WINDOW + GIVE_UP
            )  # so that each dispatcher can vouch from the first fault on
            began, tasks = loop.time(), set[asyncio.Task[None]]()
            troubles = [asyncio.create_task(self._faults()), asyncio.create_task(self._kills())]
            for n in range(plan.unlocks):
                await asyncio.sleep(max(0.0, began + n / plan.rate - loop.time()))
                tasks.add(asyncio.create_task(self._unlock(n)))
                if self._random.random() < PAGES:
                    tasks.add(asyncio.create_task(self._page(n)))
                self._tick(n + 1)
            await asyncio.gather(*tasks)
            for task in troubles:
                task.cancel()
            await asyncio.gather(*troubles, return_exceptions=True)
            return await self._figures()
        finally:
            await self.world.close()
            self.redis.server.close()

    async def _until_granted(self) -> None:
        """The store is new, so the window has to pass before a key is free."""
        async with asyncio.timeout(60):
            for n in itertools.count():
                if (await self._ask(self._node(), "chapter-unlock", f"first.{n}", '"first"'))[0] == 200:
                    return
                await asyncio.sleep(0.2)

    def _node(self, but: Node | None = None) -> Node:
        return self._random.choice([node for node in self.world.nodes if node is not but])

    async def _unlock(self, n: int) -> None:
        loop, job, node, how = asyncio.get_running_loop(), f"u{n}", None, "unanswered"
        last = loop.time() + RETRY_WINDOW - GIVE_UP
        for attempt in range(TRIES):
            node = self._node(but=node)
            began = loop.time()
            try:
                async with asyncio.timeout(GIVE_UP):
                    status, headers = await self._ask(node, "chapter-unlock", f"{job}.{attempt}", f'"{job}"')
            except TimeoutError:
                how, status, headers = "unanswered", 0, {}
            except (OSError, asyncio.IncompleteReadError):
                how, status, headers = "broken", 0, {}
            if status == 200:
                how = "replayed" if "idempotency-replayed" in headers else "served"
                if how == "served" and self._healed and began >= self._healed:
                    self.recoveries.append(began - self._healed)
                    self._healed = None
                break
            if status:
                how = "refused" if status in (409, 429, 503) else "failed"
            if how == "failed" or loop.time() >= last:
                break
            await asyncio.sleep(
                min(1.0, float(headers.get("retry-after", 0.1))) + self._random.uniform(0.02, 0.1)
            )
        self.ends[how] += 1

    async def _page(self, n: int) -> None:
        loop = asyncio.get_running_loop()
        began, trouble, node = loop.time(), self._trouble, self._node()
        try:
            async with asyncio.timeout(GIVE_UP):
                status, _ = await self._ask(node, "page-render", f"p{n}.0", f'"p{n}"')
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return  # of a dispatcher that was killed
        if status == 200 and trouble == self._trouble:
            self.pages.append((trouble, loop.time() - began))

    async def _ask(self, node: Node, path: str, request_id: str, key: str) -> tuple[int, dict[str, str]]:
        return await tried(node.host, LISTEN, path, request_id, key, WORK, GIVE_UP)

    # ---- troubles ----

    async def _faults(self) -> None:
        rng, loop = random.Random(self._plan.seed + 7), asyncio.get_running_loop()
        while self._plan.faults:
            await asyncio.sleep(rng.uniform(3.0, 8.0))
            self._trouble = True
            await self._fault(rng.choice(self._plan.faults), rng)
            self._trouble, self._healed = False, loop.time()

    async def _fault(self, fault: str, rng: random.Random) -> None:
        faults, redis = self.redis.faults, self.redis
        match fault:
            case "freeze":
                redis.freeze()
                await asyncio.sleep(rng.uniform(0.5, 3.0))
                redis.thaw()
            case "slow":
                faults.delay = rng.uniform(0.05, 1.0)
                await asyncio.sleep(rng.uniform(0.5, 3.0))
                faults.delay = 0.0
            case "errors":
                faults.error = rng.choice(["READONLY no", "LOADING yes", "OOM much", "MOVED 1 127.0.0.1:1"])
                await asyncio.sleep(rng.uniform(0.5, 2.0))
                faults.error = ""
            case "kill":
                redis.freeze()
                redis.drop()
                await asyncio.sleep(rng.uniform(0.3, 1.5))
                redis.restart()
                redis.thaw()
            case "empty":
                redis.restart(empty=True)
            case "older":
                redis.restart(lost_writes=rng.randint(1, 200))

    async def _kills(self) -> None:
        rng = random.Random(self._plan.seed + 8)
        span = self._plan.unlocks / self._plan.rate
        for _ in range(self._plan.kills):
            await asyncio.sleep(0.9 * span / self._plan.kills * rng.uniform(0.5, 1.0))
            await self.world.restart(rng.choice(self.world.nodes), gently=False, down=rng.uniform(0.1, 1.0))

    async def _figures(self) -> dict[str, Any]:
        told = await self.world.figures()
        unlocks = {job: n for job, n in self.world.ledger.runs.items() if job.startswith("u")}

        def p99(trouble: bool) -> float | None:
            spans = [seconds for when, seconds in self.pages if when is trouble]
            return float(np.percentile(spans, 99)) if len(spans) > 20 else None

        quiet, troubled = p99(False), p99(True)
        return {
            "spends": sum(unlocks.values()),
            "double_spends": sum(n > 1 for n in unlocks.values()),
            **{
                how: self.ends[how]
                for how in ("served", "replayed", "refused", "failed", "broken", "unanswered")
            },
            "page_p99_ms": {
                "store well": quiet and round(quiet * 1000, 1),
                "in trouble": troubled and round(troubled * 1000, 1),
            },
            "page_p99_ratio": round(troubled / quiet, 3) if quiet and troubled else None,
            "recovery_s": {
                "most": round(max(self.recoveries, default=0.0), 2),
                "median": round(float(np.median(self.recoveries)), 2) if self.recoveries else None,
                "faults": len(self.recoveries),
            },
            "histories": sum(v for one in told.values() for k, v in one.items() if k == "ledger.histories"),
            "store_commands": dict(sorted(self.redis.commands.items())),
        }


def run_ledger(plan: Plan, json_file: Path | None) -> int:
    console = Console()
    with Progress(console=console, transient=True) as progress:
        task = progress.add_task(f"{plan.unlocks} unlocks", total=plan.unlocks)
        figures = asyncio.run(Play(plan, lambda n: progress.update(task, completed=n)).run())
    table = Table(
        "",
        "figure",
        title=f"Ledger, seed {plan.seed}: {', '.join(plan.faults) or 'no faults'}, {plan.kills} kills",
    )
    for name, value in figures.items():
        if name != "store_commands":
            table.add_row(name, str(value))
    console.print(table)
    keep(json_file, "ledger", asdict(plan), figures)
    return 3 if figures["double_spends"] else 0
