"""`make demo`: two sites, a burst of mixed jobs at one of them, live what goes where, and a summary."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.panel import Panel
from rich.table import Table
from rich.text import Text

from rookwood.lab.experiment import SETTLE, figures_of
from rookwood.lab.traffic import SITES, carries, traffic
from rookwood.lab.world import World

LOAD, SKEW = 1.0, 0.78
BAR = 12


def bar(part: float) -> Text:
    filled = min(BAR, round(part * BAR))
    colour = "green" if part < 0.7 else "yellow" if part < 0.95 else "red"
    return Text("█" * filled, colour) + Text("·" * (BAR - filled), "dim")


def picture(world: World, at: float, seconds: float) -> Group:
    """What is going on now, from the boxes' and the clients' side."""
    panels = []
    for site in SITES:
        table = Table.grid(padding=(0, 1))
        for box in world.boxes:
            if box.site == site:
                state = "" if box.state == "up" else f"[magenta]{box.state}[/]"
                table.add_row(
                    box.uid, bar(box.busy / box.slots), f"{box.waiting:2} wait {box.served:3} done", state
                )
        panels.append(Panel(table, title=site, title_align="left"))
    score, crossed = world.score, len(world.ledger.crossed)
    ends = sum(score.ends.values(), Counter[str]())
    line = "   ".join(f"{how} {ends[how]}" for how in ("in time", "late", "refused", "failed"))
    state = (
        "[red]burst[/]" if 0.3 * seconds < at < 0.7 * seconds else "steady" if at < seconds else "running out"
    )
    sides = Table.grid(expand=True)
    sides.add_row(*panels)
    text = (
        f"{at:5.1f} s  {state}   jobs {world.taken}   {line}\ncrossed to the other site: [cyan]{crossed}[/]"
    )
    return Group(sides, Panel(Text.from_markup(text), title="jobs", title_align="left"))


async def _demonstrate(seconds: float, seed: int, console: Console) -> dict[str, Any]:
    world = World(seed, "on", loss=0.05, delay=0.002)
    arrivals = traffic(seed, seconds, LOAD * carries() / SKEW * 0.8, SKEW, burst=True)
    world.kinds = {arrival.job: arrival.kind.name for arrival in arrivals}
    try:
        with console.status("starting two sites: 4 dispatchers, 8 boxes, 2 discoveries, 8 links"):
            await world.start()
            await asyncio.sleep(SETTLE)
        drained = False
        with Live(console=console, refresh_per_second=8) as live:

            def tick(at: float) -> None:
                nonlocal drained
                if not drained and at > 0.5 * seconds:
                    drained = True
                    world.drain(next(b for b in world.boxes if b.site == SITES[1]), news_after=3.0)
                live.update(picture(world, at, seconds))

            await world.play(arrivals, tick)
        return figures_of(world, await world.figures(), len(arrivals))
    finally:
        await world.close()


def demonstrate(seconds: float, seed: int) -> int:
    """Exit code: 0 if every rule was kept, 3 if not, 1 if it did not come to an end."""
    console, began = Console(), time.monotonic()
    try:
        figures = asyncio.run(_demonstrate(seconds, seed, console))
    except (RuntimeError, TimeoutError, OSError) as error:
        console.print(f"the demo broke off: {error}", style="red")
        return 1
    table = Table("what", "figure", title="Summary")
    table.add_row("jobs that came", str(figures["jobs"]))
    table.add_row("worth in time over worth asked for", f"{figures['service']:.3f}")
    for name, told in figures["classes"].items():
        table.add_row(f"  of {name}", f"{told['service']:.3f}")
    table.add_row("jobs that crossed to the other site", str(figures["crossings"]))
    table.add_row("crossing costs, ms (p50)", f"{figures['crossing_ms']['p50'] or 0:.1f}")
    table.add_row("messages lost between the sites", str(figures["messages"]["dropped"]))
    rules = {name: figures[name] for name in ("double_runs", "lost", "unanswered", "late_drain_sends")}
    for name, count in rules.items():
        table.add_row(name.replace("_", " "), f"[{'red' if count else 'green'}]{count}[/]")
    console.print(table)
    console.print(f"{time.monotonic() - began:.0f} s. Next: rookwood experiment gateway --help; README.md")
    return 3 if any(rules.values()) else 0
