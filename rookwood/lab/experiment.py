"""`rookwood experiment gateway`: the same traffic at two sites without the gateway, with it, and pooled."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from rookwood.lab.results import keep
from rookwood.lab.traffic import SITES, carries, traffic
from rookwood.lab.world import World

TROUBLES_LIMIT = 30.0  # seconds after the last answer
SETTLE = 1.5  # seconds: links come up, first probes are answered
MOST_MICROS = 60_000_000


@dataclass(frozen=True, slots=True)
class Plan:
    seed: int
    seconds: float
    loss: float
    delay: float
    rate: float
    load: float
    skew: float
    cuts: bool
    restarts: int  # of dispatchers: killed, upgraded, asked to end, or told to read their files again
    plays: tuple[str, ...]
    dispatchers: int = 2  # of each site

    @property
    def jobs_a_second(self) -> float:
        return self.rate or self.load * carries() / self.skew


async def troubles(world: World, plan: Plan) -> None:
    """A box of the far site drains in the middle, and its own site hears of it 3 s late. Links may be cut."""
    rng = random.Random(plan.seed)
    await asyncio.sleep(0.4 * plan.seconds)
    far = [box for box in world.boxes if box.site == SITES[1]]
    box = rng.choice(far)
    world.drain(box, news_after=3.0)
    if plan.cuts:
        await asyncio.sleep(rng.uniform(0.02, 0.1) * plan.seconds)
        world.weather.cut = True
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        world.weather.cut = False
    await asyncio.sleep(0.25 * plan.seconds)
    world.back(box)


async def restarts(world: World, plan: Plan) -> None:
    """Dispatchers of both sites die amid their own jobs and their guests, and come back with nothing."""
    rng = random.Random(plan.seed + 1)
    for n in range(plan.restarts):
        await asyncio.sleep(0.8 * plan.seconds / plan.restarts * rng.uniform(0.4, 0.9))
        node = world.nodes[(n + plan.seed) % len(world.nodes)]
        match ("kill", "upgrade", "reload", "end")[n % 4]:
            case "kill":
                await world.restart(node, gently=False, down=rng.uniform(0.2, 1.4))
            case "upgrade":
                await world.upgrade(node)
            case "reload":
                world.reload(node)
            case "end":
                await world.restart(node, gently=True, down=rng.uniform(0.2, 1.4))


async def play(plan: Plan, mode: str, tick: Callable[[World, float], None] | None = None) -> dict[str, Any]:
    mode, _, more = mode.partition("+")
    world = World(plan.seed, mode, plan.loss, plan.delay, plan.dispatchers, duties=more == "duties")
    arrivals = traffic(plan.seed, plan.seconds, plan.jobs_a_second, plan.skew)
    world.kinds = {arrival.job: arrival.kind.name for arrival in arrivals}
    try:
        await world.start()
        await asyncio.sleep(SETTLE)
        tasks = [asyncio.create_task(troubles(world, plan)), asyncio.create_task(restarts(world, plan))]
        await world.play(arrivals, (lambda at: tick(world, at)) if tick else None)
        await asyncio.wait_for(asyncio.gather(*tasks), TROUBLES_LIMIT)
        told = await world.figures()
        return figures_of(world, told, len(arrivals))
    finally:
        await world.close()


def figures_of(world: World, told: dict[str, dict[str, float]], jobs: int) -> dict[str, Any]:
    score, ledger = world.score, world.ledger
    away = [s - ledger.box_time[r] for r, s in world.weather.carried.items() if r in ledger.box_time]
    spans = {
        "crossing_ms": away,  # from the offer to its outcome on the link, less the box's time
        "crossed_ms": [
            s for crossed, s in score.overhead if crossed
        ],  # as the client sees it, waiting included
        "home_ms": [s for crossed, s in score.overhead if not crossed],
    }

    def percentiles(seconds: list[float]) -> dict[str, float | None]:
        histogram = HdrHistogram(1, MOST_MICROS, 3)
        for span in seconds:
            histogram.record_value(max(1, int(span * 1e6)))
        of = histogram.get_value_at_percentile
        return {f"p{p}": of(p) / 1000 if seconds else None for p in (50, 99)}

    def total(suffix: str) -> float:
        return sum(value for one in told.values() for name, value in one.items() if name.endswith(suffix))

    guests = {
        name: sum(v for one in told.values() for n, v in one.items() if n == f"gateway.guests.{name}")
        for name in ("borrowed", "served", "promised_back", "declined")
    }
    return {
        "jobs": jobs,
        "service": round(score.service, 4),
        "classes": {
            name: {"service": round(earned / worth, 4), **score.ends[name]}
            for name, (worth, earned) in sorted(score.worth.items())
        },
        "double_runs": world.double_runs,
        "lost": score.count("lost"),
        "unanswered": score.count("unanswered"),
        "failed": score.count("failed"),
        "broken": score.count("broken"),
        "refused": score.count("refused"),
        "retries": score.retries,
        "crossings": len(ledger.crossed),
        "late_drain_sends": ledger.late_sends,
        **{name: percentiles(seconds) for name, seconds in spans.items()},
        "gateway": {name: total(f".{name}") for name in ("lent", "brought", "returned", "promised")}
        | {
            "failed": sum(
                v for one in told.values() for n, v in one.items() if "gateway" in n and n.endswith("failed")
            )
        },
        "guests": guests,
        "messages": {"passed": world.weather.passed, "dropped": world.weather.dropped},
    }


def played(plan: Plan, mode: str) -> dict[str, Any]:
    """In a process of its own: the plays of one plan run side by side."""
    return asyncio.run(play(plan, mode))


def run_gateway(plan: Plan, json_file: Path | None) -> int:
    console = Console()
    results: dict[str, dict[str, Any]] = {}
    with (
        console.status(f"playing {', '.join(plan.plays)} for {plan.seconds:g} s") as status,
        ProcessPoolExecutor(len(plan.plays)) as pool,
    ):
        running = {pool.submit(played, plan, mode): mode for mode in plan.plays}
        for done in as_completed(running):
            results[running[done]] = done.result()
            status.update(f"done: {', '.join(results)}")
    on = results.get("on") or next(iter(results.values()))
    figures: dict[str, Any] = {f"service_{mode}": results[mode]["service"] for mode in plan.plays}
    for name in ("double_runs", "lost", "unanswered"):
        figures[name] = sum(result[name] for result in results.values())
    for name in ("crossings", "late_drain_sends", "crossing_ms", "crossed_ms", "home_ms", "classes"):
        figures[name] = on[name]
    table = Table("", *plan.plays, title=f"Gateway, seed {plan.seed}, {plan.jobs_a_second:.1f} jobs a second")
    for name in (
        *("service", "jobs", "refused", "failed", "broken", "lost", "unanswered", "retries"),
        *("double_runs", "crossings", "late_drain_sends"),
    ):
        table.add_row(name, *(str(results[mode][name]) for mode in plan.plays))
    for name in sorted(on["classes"]):
        table.add_row(
            f"service of {name}",
            *(str(results[m]["classes"].get(name, {}).get("service")) for m in plan.plays),
        )
    table.add_row("returned", *(f"{results[mode]['gateway']['returned']:g}" for mode in plan.plays))
    for name in ("crossing_ms", "crossed_ms", "home_ms"):
        table.add_row(
            f"{name} p50 / p99",
            *(f"{results[m][name]['p50']} / {results[m][name]['p99']}" for m in plan.plays),
        )
    console.print(table)
    keep(
        json_file,
        "gateway",
        asdict(plan) | {"jobs_a_second": plan.jobs_a_second},
        figures | {"plays": results},
    )
    return 3 if figures["double_runs"] or figures["late_drain_sends"] else 0
