"""Measures what a mechanism is worth: pairs of plays of the same days, with it and without it.

A play is made by a program that plays a day of a deployment against the repository in whose folder it runs:

    PLAYER run SITE DAY --seed N --report FILE --why TEXT [further arguments]

Its report is JSON, in which `G` is the worth after prices. Two copies of this repository are played, which
differ in the commands of their deploy file alone. What a play leaves in a copy's journal is kept here.
"""

from __future__ import annotations

import json
import shutil
import subprocess
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from rookwood.lab.paired_plays import Verdict, interval_of, judge
from rookwood.mechanisms import Mechanism

DEPLOY_FILE = Path("deploy/system.toml")
JOURNAL = Path("journal")
PROGRAMS = ("rookwood_dataplane.py", "rookwood_controlplane.py")
WORTH = "G"


@dataclass(frozen=True)
class Plan:
    """What is played: each mechanism on each day of each site, with so many seeds at the most."""

    player: Path
    sites: tuple[Path, ...]
    days: tuple[str, ...]
    mechanisms: tuple[Mechanism, ...]
    most_pairs: int
    tolerance: float
    arguments: tuple[str, ...] = ()

    def rounds(self) -> Iterator[tuple[Path, str, int]]:
        """The pairs in turn: all sites and days with one seed, then with the next."""
        seed = 0
        while True:
            seed += 1
            for site in self.sites:
                for day in self.days:
                    yield site, day, seed


@dataclass(frozen=True)
class PlayFailed:
    """A play gave no report that tells a worth."""

    why: str


@dataclass(frozen=True)
class Pair:
    """One day, played with a mechanism and without it."""

    site: str
    day: str
    seed: int
    worth_with: float
    worth_without: float

    @property
    def difference(self) -> float:
        """What the mechanism added."""
        return self.worth_with - self.worth_without


@dataclass
class Measured:
    """The pairs of one mechanism, and what they show."""

    mechanism: Mechanism
    pairs: list[Pair] = field(default_factory=list)
    failures: list[PlayFailed] = field(default_factory=list)
    verdict: Verdict = Verdict.UNDECIDED

    def row(self) -> str:
        """A line of the table."""
        interval = interval_of([pair.difference for pair in self.pairs])
        told = "too few pairs" if interval is None else f"{interval.mean:+.4f} +- {interval.margin:.4f}"
        failed = f", {len(self.failures)} failed" if self.failures else ""
        return f"{self.mechanism.value:24} {len(self.pairs):4} pairs{failed}  {told:18}  {self.verdict.value}"


class Copies:
    """Copies of a repository's committed state, one for each set of mechanisms that is left out."""

    def __init__(self, repository: Path, directory: Path) -> None:
        self._repository = repository
        self._directory = directory

    def without(self, mechanism: Mechanism | None) -> Path:
        """The copy whose programs run without a mechanism; made when it is first asked for."""
        copy = self._directory / (mechanism.value if mechanism is not None else "all")
        if copy.exists():
            return copy
        subprocess.run(["git", "clone", "-q", str(self._repository), str(copy)], check=True)
        if mechanism is not None:
            deploy_file = copy / DEPLOY_FILE
            deploy_file.write_text(leave_out(deploy_file.read_text(), mechanism))
        return copy

    def keep_journals(self) -> None:
        """Copy the entries that plays left into the repository's own journal."""
        for entry in self._directory.glob(f"*/{JOURNAL}/*"):
            kept = self._repository / JOURNAL / entry.name
            if entry.is_file() and not kept.exists():
                shutil.copy2(entry, kept)


def leave_out(deploy_file: str, mechanism: Mechanism) -> str:
    """The text of a deploy file whose programs leave a mechanism out."""
    for program in PROGRAMS:
        deploy_file = deploy_file.replace(f'{program}"', f'{program} --without {mechanism.value}"')
    return deploy_file


def play(plan: Plan, copy: Path, site: Path, day: str, seed: int, why: str) -> float | PlayFailed:
    """Play one day, and return its worth after prices."""
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "report.json"
        command = [str(plan.player), "run", str(site), day, "--seed", str(seed)]
        command += ["--report", str(report), "--why", why, *plan.arguments]
        done = subprocess.run(command, cwd=copy, capture_output=True, text=True)
        try:
            return float(json.loads(report.read_text())[WORTH])
        except (OSError, ValueError, KeyError, TypeError) as error:
            said = (done.stderr or done.stdout).strip().splitlines()
            return PlayFailed(f"{day}, seed {seed}: {error!r}: {said[-1] if said else 'it said nothing'}")


def measure(plan: Plan, copies: Copies, mechanism: Mechanism) -> Measured:
    """Play pairs until they decide, or the budget of pairs ends."""
    measured = Measured(mechanism)
    for site, day, seed in plan.rounds():
        if len(measured.pairs) + len(measured.failures) >= plan.most_pairs:
            return measured
        why = f"ablation of {mechanism.value}: {day}, seed {seed}"
        first = play(plan, copies.without(None), site, day, seed, f"{why}, with it")
        second = play(plan, copies.without(mechanism), site, day, seed, f"{why}, without it")
        if isinstance(first, PlayFailed) or isinstance(second, PlayFailed):
            measured.failures += [outcome for outcome in (first, second) if isinstance(outcome, PlayFailed)]
            continue
        measured.pairs.append(Pair(site.stem, day, seed, first, second))
        measured.verdict = judge([pair.difference for pair in measured.pairs], plan.tolerance)
        if measured.verdict is not Verdict.UNDECIDED:
            return measured
    return measured


def run_ablation(plan: Plan, repository: Path, json_file: Path | None) -> int:
    """Measure each mechanism in turn, print the table and keep the figures; 1 where a play failed."""
    table: list[Measured] = []
    with tempfile.TemporaryDirectory(prefix="rookwood-ablation-") as directory:
        copies = Copies(repository, Path(directory))
        for mechanism in plan.mechanisms:
            measured = measure(plan, copies, mechanism)
            copies.keep_journals()
            table.append(measured)
            print(measured.row(), flush=True)
            if json_file is not None:
                json_file.write_text(as_json(plan, table))
    return 1 if any(measured.failures for measured in table) else 0


def as_json(plan: Plan, table: Sequence[Measured]) -> str:
    """The plan and all pairs as text."""
    rows = [{**asdict(measured), "mechanism": measured.mechanism.value} for measured in table]
    settings = {
        "sites": [site.name for site in plan.sites],
        "days": plan.days,
        "most pairs": plan.most_pairs,
        "tolerance": plan.tolerance,
        "arguments": plan.arguments,
    }
    return json.dumps({"settings": settings, "mechanisms": rows}, indent=1) + "\n"
