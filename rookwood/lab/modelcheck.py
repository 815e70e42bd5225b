"""`rookwood experiment handoff`, `claims`, `leases`, `registers`: explorations, mutants and figures."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.status import Status
from rich.table import Table

from rookwood.duties import explore as leases
from rookwood.gateway.explore import MUTANTS, InvariantError, explore
from rookwood.lab.results import keep
from rookwood.ledger import explore as claims
from rookwood.replicas import explore as registers


def mutants(plays: Mapping[str, Callable[[], object]], status: Status) -> dict[str, Any]:
    """What caught each of them; None: nothing did."""
    table = Table("mutant", "caught by", "steps", "seconds", title="Broken variants")
    caught: dict[str, Any] = {}
    for name, play in plays.items():
        status.update(f"mutant: {name}")
        began = time.perf_counter()
        try:
            play()
            caught[name] = None
            table.add_row(name, "[red]not caught[/]", "", "")
        except (InvariantError, leases.InvariantError, registers.InvariantError) as broken:
            caught[name] = {"why": broken.why, "trace": broken.trace}
            table.add_row(name, broken.why, str(len(broken.trace)), f"{time.perf_counter() - began:.2f}")
        except claims.InvariantError as broken:
            caught[name] = {"why": "ran twice", "trace": broken.trace}
            table.add_row(name, "ran twice", str(len(broken.trace)), f"{time.perf_counter() - began:.2f}")
    status.console.print(table)
    return caught


def run_leases(json_file: Path | None, wide: bool) -> int:
    """`wide`: also with drift and a restart at once, and after a holder before; some minutes."""
    console, found = Console(), dict[str, Any]()
    with console.status("exploring") as status:
        for name, bounds in {**leases.NARROW_BOUNDS, **(leases.WIDE_BOUNDS if wide else {})}.items():
            status.update(f"exploring: {name}")
            try:
                report = leases.Explorer(leases.Implementation(), bounds).explore()
            except leases.InvariantError as broken:
                console.print(f"[red]broken:[/] {name}: {broken}")
                return 3
            seconds = round(report.seconds, 1)
            found[name] = {"states": report.states, "held": report.states_with_holder, "seconds": seconds}
            console.print(f"{name}: {report.states} states, all sound, in {report.seconds:.1f} s")
        plays = {n: leases.Explorer(m.implementation, m.bounds).explore for n, m in leases.MUTANTS.items()}
        caught = mutants(plays, status)
    keep(json_file, "leases", {"members": 3, "wide": wide}, {"explored": found, "mutants": caught})
    return 0 if all(caught.values()) else 1


def run_claims(json_file: Path | None) -> int:
    """A fault of the store beside a death of either dispatcher; two faults; some two minutes."""
    console, found = Console(), dict[str, Any]()
    with console.status("exploring") as status:
        for faults, deaths in ((1, 1), (2, 0)):
            name = f"faults {faults}, deaths {deaths}"
            status.update(f"exploring: {name}")
            try:
                report = claims.explore(faults=faults, deaths=deaths)
            except claims.InvariantError as broken:
                console.print(f"[red]ran twice:[/] {name}: {broken}")
                return 3
            found[name] = {"states": report.states, "seconds": round(report.seconds, 1)}
            console.print(f"{name}: {report.states} states, all sound, in {report.seconds:.1f} s")
        caught = mutants({n: partial(claims.explore, rules) for n, rules in claims.MUTANTS.items()}, status)
    keep(json_file, "claims", {"dispatchers": 2}, {"explored": found, "mutants": caught})
    return 0 if all(caught.values()) else 1


def run_registers(json_file: Path | None, most: int) -> int:
    """`most`: states of each part, after which it ends unfinished, and says so."""
    console, found = Console(), dict[str, Any]()
    with console.status("exploring") as status:
        for name, bounds in registers.SCENARIOS.items():
            status.update(f"exploring: {name}")
            try:
                report = registers.Explorer(replace(bounds, max_states=most)).explore()
            except registers.InvariantError as broken:
                console.print(f"[red]broken:[/] {name}: {broken}")
                return 3
            found[name] = {"states": report.states, "all": report.is_complete, "led": report.led_states}
            found[name]["seconds"] = round(report.seconds, 1)
            told = "all of them" if report.is_complete else "not all"
            console.print(f"{name}: {report.states} states ({told}), all sound, in {report.seconds:.1f} s")
        plays = {n: registers.Explorer(m.bounds, m.make).explore for n, m in registers.MUTANTS.items()}
        caught = mutants(plays, status)
    keep(json_file, "registers", {"members": 3, "most": most}, {"explored": found, "mutants": caught})
    return 0 if all(caught.values()) else 1


def run(json_file: Path | None) -> int:
    console = Console()
    with console.status("exploring") as status:
        try:
            report = explore(progress=lambda n: status.update(f"exploring: {n} states"))
        except InvariantError as broken:
            console.print(f"[red]broken:[/] {broken}")
            return 3
        console.print(
            f"2 jobs each way: {report.states} states of single jobs in {report.shared_states} shared ones. "
            f"They stand for {report.joint_states:.3g} joint states; all sound, in {report.seconds:.1f} s"
        )
        caught = mutants({name: partial(explore, machines) for name, machines in MUTANTS.items()}, status)
    figures = {
        "states": report.states,
        "shared_states": report.shared_states,
        "joint_states": report.joint_states,
        "verdicts": sorted(v.value for v in report.resolutions),
        "seconds": round(report.seconds, 2),
        "mutants": caught,
    }
    keep(json_file, "handoff", {"jobs": "2 each way"}, figures)
    return 0 if all(caught.values()) else 1
