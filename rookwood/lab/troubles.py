"""`rookwood experiment duties`: troubles one after the other on a proving ground, and what came of each.

A play is given by its seed and its schedule. One that broke a rule is played again with fewer troubles, as
long as it still breaks, and the shorter schedule is told.
"""

from __future__ import annotations

import asyncio
import random
import signal
import statistics
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from rich.console import Console

from rookwood.lab.ground import READY_LIMIT, Ground
from rookwood.lab.results import keep

FAULTS = (
    *(
        "kill",
        "stop",
        "term",
        "cut",
        "one-way",
        "half",
        "stuck",
        "trickle",
    ),  # of the holder: another one follows
    *("partial", "loss", "delay"),  # it stays
)
PLAYS = 12  # of a schedule that broke a rule, while it is made shorter


@dataclass(slots=True)
class Series:
    """One play's troubles, each with what came of it."""

    ground: Ground
    rng: random.Random
    hold: float = 0.0  # seconds that a trouble lasts which should change no holder, at least
    after: dict[str, list[float]] = field(default_factory=dict)  # by fault: seconds to the next
    schedule: list[str] = field(default_factory=list)

    async def trouble(self, fault: str) -> None:
        ground, lease_s = self.ground, self.ground.lease_ms / 1000
        loop = asyncio.get_running_loop()
        holder = ground.witness.holder
        others = [name for name in ground.names if name != holder]
        self.schedule.append(f"{fault} {holder}")
        began = loop.time()
        match fault:
            case "kill":
                ground.kill(holder)
            case "stop":
                ground.stop(holder)
            case "term":
                ground.signal(holder, signal.SIGTERM)
            case "cut":
                ground.cut(ground.both_ways(holder))
            case "one-way":  # it is heard no more, and hears
                ground.cut([(holder, other) for other in others])
            case "half":  # the smaller part of all, the holder in it
                some = {holder, *self.rng.sample(others, (len(ground.names) - 1) // 2 - 1)}
                ground.cut([pair for pair in ground.weather if (pair[0] in some) != (pair[1] in some)])
            case "stuck":
                for pair in ground.both_ways(holder):
                    ground.weather[pair].stuck = True
            case "trickle":
                for pair in ground.both_ways(holder):
                    ground.weather[pair].trickle = 0.02 * lease_s
            case "partial":  # two that hear all others, and not one another
                other = self.rng.choice(others)
                ground.cut([(holder, other), (other, holder)])
            case "loss":
                for weather in ground.weather.values():
                    weather.loss, weather.double = 0.2, 0.1
            case "delay":
                for weather in ground.weather.values():
                    weather.delay, weather.jitter = 0.05 * lease_s, 0.1 * lease_s
        if fault in ("partial", "loss", "delay"):
            await asyncio.sleep(max(4 * lease_s, self.hold))
        else:
            await ground.witness.next_holder(holder, 20 * lease_s)
            self.after.setdefault(fault, []).append(loop.time() - began)
        if fault == "stop":
            await asyncio.sleep(lease_s * self.rng.random())
            ground.go_on(holder)
        if fault in ("kill", "term"):
            await ground.again(holder)
        ground.heal()
        await asyncio.sleep(lease_s * (2 + self.rng.random()))  # the one that started may vote again


@dataclass(frozen=True, slots=True)
class Plan:
    nodes: int
    seed: int
    kills: int  # troubles of all kinds
    faults: tuple[str, ...]
    lease_ms: int
    hold: float = 0.0

    def schedule(self) -> list[str]:
        chosen = [self.faults[n % len(self.faults)] for n in range(self.kills)]
        random.Random(self.seed).shuffle(chosen)
        return chosen


def broken(figures: dict[str, Any]) -> bool:
    return bool(figures["stale_accepted"] or figures["overlaps"])


async def shrunk(schedule: list[str], breaks: Callable[[list[str]], Awaitable[bool]], most: int) -> list[str]:
    """A shorter schedule that still breaks: without halves, then quarters and so on, in `most` plays."""
    part = max(1, len(schedule) // 2)
    while most > 0 and len(schedule) > 1:
        shorter = None
        for at in range(0, len(schedule), part):
            candidate = schedule[:at] + schedule[at + part :]
            most -= 1
            if candidate and await breaks(candidate):
                shorter = candidate
                break
            if most <= 0:
                break
        if shorter:
            schedule, part = shorter, max(1, min(part, len(shorter) // 2))
        elif part == 1:
            break
        else:
            part //= 2
    return schedule


def run_duties(plan: Plan, place: Path | None) -> int:
    """Exit code 3 where a rule was broken."""
    console = Console()

    async def breaks(schedule: list[str]) -> bool:
        return broken(await played(plan, schedule))

    async def all_of_it() -> dict[str, Any]:
        figures = await played(plan, plan.schedule())
        if broken(figures):
            figures["shrunk"] = await shrunk(plan.schedule(), breaks, PLAYS)
        return figures

    figures = asyncio.run(all_of_it())
    console.print(f"seed {plan.seed}: {', '.join(figures['schedule'])}")
    for name, value in figures.items():
        console.print(f"{name}: {value}")
    keep(place, "duties", asdict(plan), figures)
    return 3 if broken(figures) else 0


async def played(plan: Plan, schedule: list[str]) -> dict[str, Any]:
    ground, rng = Ground(plan.nodes, plan.seed, plan.lease_ms), random.Random(plan.seed)
    series, loop = Series(ground, rng, plan.hold), asyncio.get_running_loop()
    try:
        await ground.start()
        await ground.witness.next_holder("", READY_LIMIT)
        began = loop.time()
        for fault in schedule:
            await series.trouble(fault)
        minutes = (loop.time() - began) / 60
        cost = await ground.cost()
        acts = ground.witness.accepted
        gaps = [1000 * gap for gap, _, _ in ground.witness.gaps()]
        between = [1000 * (b.at - a.at) for a, b in zip(acts, acts[1:], strict=False)]
        handed = [1000 * s for s in series.after.get("term", [])]
        return {
            "acts": len(acts),
            "refused": len(ground.witness.acts) - len(acts),
            "stale_accepted": ground.witness.stale(),
            "overlaps": ground.witness.overlaps(),
            "gap_ms_median": round(statistics.median(gaps), 1) if gaps else None,
            "gap_ms_max": round(max(gaps), 1) if gaps else None,
            # A majority lives and is connected all the time: between any two acts, also of one holder.
            "unheld_with_majority_ms_max": round(max(between), 1),
            "handover_ms_median": round(statistics.median(handed), 1) if handed else None,
            "changes": len(gaps),
            "changes_a_minute": round(len(gaps) / minutes, 1),
            **cost,
            "after_ms": {fault: [round(1000 * s) for s in spans] for fault, spans in series.after.items()},
            "schedule": series.schedule,
        }
    except Exception:
        Console(stderr=True).print(f"seed {plan.seed}, after {', '.join(series.schedule)}:\n{ground.tail()}")
        raise
    finally:
        await ground.close()
