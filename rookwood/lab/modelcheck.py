"""`rookwood experiment handoff`: the exploration, its mutants and their figures."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from rookwood.gateway.explore import MUTANTS, BrokenError, explore
from rookwood.lab.results import keep


def run(json_file: Path | None) -> int:
    console = Console()
    with console.status("exploring") as status:
        try:
            report = explore(progress=lambda n: status.update(f"exploring: {n} states"))
        except BrokenError as broken:
            console.print(f"[red]broken:[/] {broken}")
            return 3
        console.print(
            f"2 jobs each way: {report.states} states of single jobs in {report.shared} shared ones. "
            f"They stand for {report.product:.3g} joint states; all sound, in {report.seconds:.1f} s"
        )
        table = Table("mutant", "caught by", "steps", "seconds", title="Broken variants")
        caught: dict[str, Any] = {}
        for name, machines in MUTANTS.items():
            status.update(f"mutant: {name}")
            began = time.perf_counter()
            try:
                explore(machines)
                caught[name] = None
                table.add_row(name, "[red]not caught[/]", "", "")
            except BrokenError as broken:
                caught[name] = {"why": broken.why, "trace": broken.trace}
                table.add_row(name, broken.why, str(len(broken.trace)), f"{time.perf_counter() - began:.2f}")
    console.print(table)
    figures = {
        "states": report.states,
        "shared_states": report.shared,
        "joint_states": report.product,
        "verdicts": sorted(v.value for v in report.verdicts),
        "seconds": round(report.seconds, 2),
        "mutants": caught,
    }
    keep(json_file, "handoff", {"jobs": "2 each way"}, figures)
    return 0 if all(caught.values()) else 1
