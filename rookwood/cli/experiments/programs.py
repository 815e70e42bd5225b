"""Experiments with dispatchers and control machines under load, and at rest."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.options import JSON_FILE, SEED


@click.command("rest", epilog=CODES)
@JSON_FILE
def rest(json_file: Path | None) -> None:
    """Measure what the plain dispatcher takes at rest, and whether it imports what it does not use."""
    from rookwood.lab.rest import run

    sys.exit(run(json_file))


@click.command("worker-answers", epilog=CODES)
@click.option("--exchanges", default=100_000, show_default=True, help="Requests of all clients.")
@SEED
@click.option("--processes", default=3, show_default=True, help="Each with a dispatcher of its own.")
@click.option("--clients", default=40, show_default=True, help="At once, in each process.")
@click.option("--workers", default=5, show_default=True, help="In each process.")
@JSON_FILE
def worker_answers(
    exchanges: int, seed: int, processes: int, clients: int, workers: int, json_file: Path | None
) -> None:
    """Workers that break HTTP at byte level behind a dispatcher, judged from the sockets of both sides."""
    from rookwood.lab.worker_answers import Plan, run_worker_answers

    sys.exit(run_worker_answers(Plan(exchanges, seed, processes, clients, workers), json_file))


@click.command("many-changes", epilog=CODES)
@JSON_FILE
def many_changes(json_file: Path | None) -> None:
    """2,000 operators' changes at three control groups, with restarts, an absence and a loss of power."""
    from rookwood.lab.many_changes import Plan, run_many_changes

    sys.exit(run_many_changes(Plan(), json_file))
