"""Plays a range of seeds of the control simulation, and writes what happened as JSON.

Usage: `python -m rookwood.lab.simulation_report FIRST END FILE`; several such files are added up by
`python -m rookwood.lab.simulation_report --join FILE...`, which prints the sum.
"""

import json
import sys
import time
from collections import Counter
from pathlib import Path

from rookwood.lab.controlsimulation import InvariantError, Simulation

JOIN = "--join"


def play(first: int, end: int) -> dict[str, object]:
    """Play the seeds and return counts, and the violations by seed."""
    began = time.process_time()
    counts: Counter[str] = Counter()
    violations: dict[str, str] = {}
    for seed in range(first, end):
        simulation = Simulation(seed)
        try:
            simulation.run()
        except InvariantError as error:
            violations[str(seed)] = str(error)
        report = simulation.report
        counts["seeds"] += 1
        counts["events"] += report.events
        counts["changes acknowledged"] += report.committed
        counts["changes refused"] += report.declined
        counts["requests sent again"] += report.sent_again
        counts["changes answered as taken before"] += report.taken_before
        counts["calls put into one order"] += report.calls_in_order
        counts["histories undecided"] += report.undecided
        counts["reads confirmed"] += report.confirmed
        counts["without a clear answer"] += report.uncertain
        counts["primaries"] += report.primaries
        counts["faults"] += simulation.plan.faults
    seconds = round(time.process_time() - began, 1)
    return {"counts": counts, "processor seconds": seconds, "violations": violations}


def join(files: list[str]) -> dict[str, object]:
    """Return the sum of several parts."""
    parts = [json.loads(Path(file).read_text()) for file in files]
    counts: Counter[str] = Counter()
    violations: dict[str, str] = {}
    for part in parts:
        counts.update(part["counts"])
        violations |= part["violations"]
    seconds = round(sum(part["processor seconds"] for part in parts), 1)
    return {"counts": counts, "processor seconds": seconds, "violations": violations}


def main(arguments: list[str]) -> None:
    """Play or join, as the arguments say."""
    if arguments[0] == JOIN:
        print(json.dumps(join(arguments[1:]), indent=2))
        return
    first, end, file = arguments
    Path(file).write_text(json.dumps(play(int(first), int(end)), indent=2) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
