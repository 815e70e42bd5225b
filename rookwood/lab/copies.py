"""`rookwood experiment replicas`: keyed unlocks at five dispatchers that keep their claims among themselves.

Clients go to any dispatcher, come back elsewhere with the same key, and some ask again for what they have.
Meanwhile members are killed, stopped, ended and cut off, half of them at once, and links lose, double and
delay. Boxes count every run; what clients were told goes through `histories`. With `--store redis` or
`sqlite` the same traffic and the same faults meet those.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import signal
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy as np
from rich.console import Console
from rich.progress import Progress

from rookwood.lab.ground import Ground
from rookwood.lab.histories import Told, Try, fault
from rookwood.lab.nodes import LISTEN, answered
from rookwood.lab.redis import StandIn
from rookwood.lab.results import keep

FAULTS = ("kill", "stop", "term", "cut", "one-way", "half", "partial", "loss", "delay", "clock")
STORES = ("peers", "redis", "sqlite")
WORK, GIVE_UP = 0.01, 3.0  # seconds: of a job; of a try
PATIENCE = 5.0  # seconds in which a client comes back
PAGES, AGAIN = 0.25, 0.1  # pages to an unlock; part of the clients that ask again for what they have
SETTLE = 20.0  # seconds until all are as they were, at most
STORE = """
    prefix lab
    timeout 150ms
    lease 1s
    keep 120s
    retry-window 8s
"""
ENDS = {429: Told.REFUSED, 409: Told.REFUSED, 503: Told.REFUSED}


@dataclass(frozen=True, slots=True)
class Plan:
    nodes: int
    unlocks: int
    rate: float  # unlocks a second
    seed: int
    faults: tuple[str, ...]
    lease_ms: int
    store: str = "peers"


class Play:
    def __init__(self, plan: Plan, tick: Callable[[int], None]) -> None:
        self._plan, self._tick, self._random = plan, tick, random.Random(plan.seed)
        self._redis = StandIn()
        self._tries: dict[str, list[Try]] = defaultdict(list)  # by key
        self._ends = Counter[str]()
        self._pages: list[tuple[bool, float]] = []  # amid a trouble?, seconds
        self._granted: list[float] = []  # when each unlock that ran was answered
        self._gaps: dict[str, list[float]] = defaultdict(list)  # by fault, between two of these
        self._heals: list[float] = []  # seconds from the end of a trouble until all count again
        self._trouble = self._over = False
        self._schedule: list[str] = []

    async def run(self) -> dict[str, Any]:
        plan = self._plan
        await self._redis.server.start()
        places = {"peers": "peers yes", "redis": f"redis {self._redis.server.address}"}
        self._ground = Ground(plan.nodes, plan.seed, plan.lease_ms, boxes=3)
        places["sqlite"] = f"file {self._ground.log.parent / 'ledger.db'}"
        self._ground.give_up = GIVE_UP
        self._ground.store = f"{places[plan.store]}\n{STORE}"
        try:
            await self._ground.start()
            await self._until_granted()
            self._began = asyncio.get_running_loop().time()
            troubles = asyncio.create_task(self._troubles())
            await self._clients()
            self._over = True
            await troubles  # the last one ends as well
            return await self._figures()
        except Exception:
            story = ", ".join(self._schedule)
            Console(stderr=True).print(f"seed {plan.seed}, after {story}:\n{self._ground.tail()}")
            raise
        finally:
            await self._ground.close()
            self._redis.server.close()

    async def _until_granted(self) -> None:
        """The store is new: no key is free until a window has passed."""
        async with asyncio.timeout(60):
            for n in itertools.count():
                if (await self._ask("first", self._ground.names[0], n))[0].told is Told.SERVED:
                    return
                await asyncio.sleep(0.2)

    # ---- clients ----

    async def _ask(self, job: str, name: str, attempt: int, path: str = "unlock") -> tuple[Try, float]:
        """One try, and how long it is asked to wait for the next."""
        loop, host, wait = asyncio.get_running_loop(), self._ground.nodes[name].host, 0.1
        began, status, result, kind = loop.time(), 0, "", Told.LOST
        words = (f"chapter-{path}" if path == "unlock" else "page-render", f"{job}.{attempt}", f'"{job}"')
        try:
            async with asyncio.timeout(GIVE_UP + 0.5):
                status, headers, result = await answered(host, LISTEN, *words, WORK, GIVE_UP)
            wait = float(headers.get("retry-after", wait))
            kind = ENDS.get(status, Told.FAILED)
            if status == 200:
                kind = Told.REPLAYED if "idempotency-replayed" in headers else Told.SERVED
        except ConnectionRefusedError:
            kind = Told.REFUSED  # nothing was sent
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        ended = math.inf if kind is Told.LOST else loop.time()
        return Try(began, ended, kind, result), wait

    async def _clients(self) -> None:
        loop, plan, tasks = asyncio.get_running_loop(), self._plan, set[asyncio.Task[None]]()
        for n in range(plan.unlocks):
            await asyncio.sleep(max(0.0, self._began + n / plan.rate - loop.time()))
            tasks.add(asyncio.create_task(self._unlock(f"u{n}")))
            if self._random.random() < PAGES:
                tasks.add(asyncio.create_task(self._page(f"p{n}")))
            self._tick(n + 1)
        await asyncio.gather(*tasks)

    def _node(self, but: str = "") -> str:
        return self._random.choice([name for name in self._ground.names if name != but])

    async def _unlock(self, job: str) -> None:
        loop, name, how = asyncio.get_running_loop(), "", Told.LOST
        last = loop.time() + PATIENCE
        for attempt in itertools.count():
            name = self._node(but=name)
            said, wait = await self._ask(job, name, attempt)
            self._tries[job].append(said)
            how = said.told
            if how is Told.SERVED:
                self._granted.append(said.ended)
            if how in (Told.SERVED, Told.REPLAYED, Told.FAILED) or loop.time() > last:
                break
            wait = min(1.0, wait) if how is Told.REFUSED else min(0.5, 0.02 * 2**attempt)
            await asyncio.sleep(wait * self._random.uniform(1.0, 1.5))
        self._ends[how.value] += 1
        if how in (Told.SERVED, Told.REPLAYED) and self._random.random() < AGAIN:
            await asyncio.sleep(self._random.uniform(0.0, 2.0))
            self._tries[job].append((await self._ask(job, self._node(but=name), 99))[0])

    async def _page(self, job: str) -> None:
        trouble = self._trouble
        said, _ = await self._ask(job, self._node(), 0, "page")
        if said.told is Told.SERVED and trouble is self._trouble:
            self._pages.append((trouble, said.ended - said.began))

    # ---- troubles ----

    async def _troubles(self) -> None:
        plan, loop = self._plan, asyncio.get_running_loop()
        rng = random.Random(plan.seed + 7)
        turns = list(plan.faults)
        for n in itertools.count():
            if n % max(1, len(turns)) == 0:
                rng.shuffle(turns)
            await asyncio.sleep(rng.uniform(1.0, 2.5))
            if self._over or not turns:
                return
            began = loop.time()
            self._trouble = True
            await self._play(turns[n % len(turns)], rng)
            self._trouble = False
            healed = loop.time()
            await self._whole()
            self._heals.append(loop.time() - healed)
            if self._over:  # nobody asks any more
                continue
            after = [began, *(at for at in self._granted if at > began), loop.time()]
            gap = max(b - a for a, b in itertools.pairwise(after))
            self._gaps[turns[n % len(turns)]].append(gap)

    async def _play(self, fault: str, rng: random.Random) -> None:
        ground, lease_s = self._ground, self._plan.lease_ms / 1000
        leader = await self._leader()
        name = leader if leader and rng.random() < 0.5 else rng.choice(ground.names)
        others = [other for other in ground.names if other != name]
        self._schedule.append(f"{fault} {name}{' (leads)' if name == leader else ''}")
        match fault:
            case "kill":
                ground.kill(name)
            case "clock":  # it comes back with a wall clock that is wrong by up to an hour, and keeps it
                ground.kill(name)
                ground.nodes[name].ahead = rng.uniform(-3600, 3600)
            case "stop":
                ground.stop(name)
            case "term":
                ground.signal(name, signal.SIGTERM)
            case "cut":
                ground.cut(ground.both_ways(name))
            case "one-way":
                ground.cut([(name, other) for other in others])
            case "half":  # the smaller part of all
                some = {name, *rng.sample(others, (len(ground.names) - 1) // 2 - 1)}
                ground.cut([pair for pair in ground.weather if (pair[0] in some) != (pair[1] in some)])
            case "partial":
                other = rng.choice(others)
                ground.cut([(name, other), (other, name)])
            case "loss":
                for weather in ground.weather.values():
                    weather.loss, weather.double = 0.1, 0.1
            case "delay":
                for weather in ground.weather.values():
                    weather.delay, weather.jitter = 0.02, 0.04
        await asyncio.sleep(lease_s * rng.uniform(3, 8))
        if fault == "stop":
            ground.go_on(name)
        if fault in ("kill", "term", "clock"):
            await ground.again(name)
        ground.heal()

    async def _told(self) -> list[dict[str, float]]:
        """Figures of all; empty while one of them does not answer."""
        try:
            return [await self._ground.figures(name) for name in self._ground.names]
        except (OSError, TimeoutError, IndexError, ValueError):
            return []

    async def _leader(self) -> str:
        names = self._ground.names
        for name, figures in zip(names, await self._told(), strict=False):
            if figures.get("replicas.leads"):
                return name
        return ""

    async def _whole(self) -> None:
        """All hear one another, count, and have the same registers."""
        async with asyncio.timeout(SETTLE):
            while True:
                told = await self._told()
                heard = all(f["duties.members_heard"] == len(told) - 1 for f in told)
                whole = all(f.get("replicas.whole", 1) for f in told)
                if told and heard and whole:
                    return
                await asyncio.sleep(0.05)

    async def _figures(self) -> dict[str, Any]:
        told = await self._told()
        runs = {job: n for job, n in self._ground.ledger.runs.items() if job.startswith("u")}
        faults = Counter(why for tries in self._tries.values() if (why := fault(tries)))
        # What the boxes saw must agree with what clients were told.
        for job, tries in self._tries.items():
            if any(t.told in (Told.SERVED, Told.REPLAYED) for t in tries) and runs.get(job, 0) != 1:
                faults["told of a run that was none"] += 1
        tries = [t for found in self._tries.values() for t in found]
        pages = {when: [s for w, s in self._pages if w is when] for when in (False, True)}
        p99 = {when: float(np.percentile(spans, 99)) if spans else None for when, spans in pages.items()}
        octets = sum(weather.octets for weather in self._ground.weather.values())
        return {
            "spends": sum(runs.values()),
            "double_spends": sum(n > 1 for n in runs.values()) + self._ground.ledger.at_once,
            "unanswered": self._ends["lost"],
            **{how: self._ends[how] for how in ("served", "replayed", "refused", "failed")},
            "refused_part": round(self._ends["refused"] / self._plan.unlocks, 4),
            "refused_tries": round(sum(t.told is Told.REFUSED for t in tries) / max(1, len(tries)), 4),
            "linearizable": not faults,
            "violations": dict(faults),
            "page_p99_ms": {
                "quiet": round(1000 * (p99[False] or 0.0), 1),
                "in trouble": round(1000 * (p99[True] or 0.0), 1),
            },
            "gaps_ms": {
                kind: sorted(round(1000 * gap) for gap in found) for kind, found in sorted(self._gaps.items())
            },
            "heal_s_max": round(max(self._heals, default=0.0), 2),
            "heal_s_median": round(float(np.median(self._heals)), 2) if self._heals else None,
            "octets_an_unlock": round(octets / max(1, self._plan.unlocks)),
            "beginnings": sum(int(f.get("replicas.begun", 0)) for f in told),
            "unexplained": sum(int(f.get("replicas.unexplained", 0)) for f in told),
            "registers": [int(f.get("replicas.registers", 0)) for f in told],
            "troubles": len(self._schedule),
            "schedule": self._schedule,
        }


def run_replicas(plan: Plan, place: Path | None) -> int:
    """Exit code 3 where a rule was broken."""
    console = Console()
    with Progress(console=console, transient=True) as progress:
        task = progress.add_task(f"{plan.unlocks} unlocks", total=plan.unlocks)
        figures = asyncio.run(Play(plan, lambda n: progress.update(task, completed=n)).run())
    for name, value in figures.items():
        console.print(f"{name}: {value}")
    keep(place, "replicas", asdict(plan), figures)
    return 3 if figures["double_spends"] or figures["unexplained"] or not figures["linearizable"] else 0
