"""Plays the soak for each of some seeds and prints what was drawn and what was broken.

python -m rookwood.lab.soak --seeds 1-20 --seconds 20
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import io
import sys

from rookwood.lab.soak.run import Plan, SoakRun, play


def main() -> int:
    """Play all seeds; 1 where an invariant was broken."""
    defaults = Plan(seed=0)
    parser = argparse.ArgumentParser(prog="python -m rookwood.lab.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="a seed, or the first and the last with a dash")
    parser.add_argument("--seconds", type=float, default=defaults.seconds, help="of troubles in each run")
    parser.add_argument("--changes-per-s", type=float, default=defaults.changes_per_s)
    parser.add_argument("--feed-rate", type=float, default=defaults.feed_rate, help="bytes/s of a data plane")
    parser.add_argument("--data-planes", type=int, default=defaults.data_planes)
    parser.add_argument("--memory-limit-mb", type=float, default=defaults.memory_limit_mb)
    parser.add_argument(
        "--departures", action="store_true", help="workers leave, beside kills of all processes"
    )
    options = parser.parse_args()
    broken = 0
    for seed in read_seeds(options.seeds):
        plan = Plan(
            seed,
            options.seconds,
            options.changes_per_s,
            options.feed_rate,
            options.data_planes,
            options.memory_limit_mb,
            options.departures,
        )
        print(plan.describe(), flush=True)
        broken += bool(report(play_quietly(plan)))
    return 1 if broken else 0


def read_seeds(text: str) -> range:
    """The seeds that a range such as 3-7 names."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def play_quietly(plan: Plan) -> SoakRun:
    """Play a plan; the logs of its processes are printed only where an invariant was broken."""
    logs = io.StringIO()
    with contextlib.redirect_stdout(logs):
        run = asyncio.run(play(plan))
    if run.judge.violations:
        print(logs.getvalue(), file=sys.stderr)
    return run


def report(run: SoakRun) -> int:
    """Print how a run went; returns the number of its violations."""
    judge = run.judge
    print(
        f"  {len(judge.log.acknowledged)} changes acknowledged, {judge.reads} reads, {judge.probes} answers "
        f"of data planes ({judge.untroubled_probes} of untroubled ones), {judge.peak_mb:.0f} MB at most"
    )
    if judge.departures:
        print(f"  {judge.departures} workers left, {judge.requests_beside_departures} requests beside that")
    for violation in judge.violations:
        print(f"  VIOLATION {violation.invariant.value}: {violation.detail}")
    print(f"  {len(judge.violations)} violations", flush=True)
    return len(judge.violations)


if __name__ == "__main__":
    sys.exit(main())
