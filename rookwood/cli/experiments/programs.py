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


@click.command("ablation", epilog=CODES)
@click.option(
    "--player",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Program that plays a day of a deployment against a repository.",
)
@click.option(
    "--site",
    "sites",
    required=True,
    multiple=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Deployment to play; once for each.",
)
@click.option("--day", "days", multiple=True, default=("quiet-1", "scale-1", "trouble-1"), show_default=True)
@click.option("--without", "names", required=True, help="Mechanisms to measure, with commas between.")
@click.option("--most-pairs", default=30, show_default=True, help="Pairs of plays for one mechanism.")
@click.option("--tolerance", default=0.01, show_default=True, help="Worth that counts as nothing.")
@click.option("--argument", "arguments", multiple=True, help="Further argument for each play.")
@JSON_FILE
def ablation(
    player: Path,
    sites: tuple[Path, ...],
    days: tuple[str, ...],
    names: str,
    most_pairs: int,
    tolerance: float,
    arguments: tuple[str, ...],
    json_file: Path | None,
) -> None:
    """Measure what mechanisms are worth, by paired plays with and without each.

    Run it at the root of the repository; what is committed is played.
    """
    from rookwood.lab.ablation import Plan, run_ablation
    from rookwood.mechanisms import UnknownMechanismError, read_mechanisms

    try:
        off = read_mechanisms(names).off
    except UnknownMechanismError as error:
        raise click.BadParameter(str(error), param_hint="--without") from error
    found = tuple(path.resolve() for path in sites)
    plan = Plan(player.resolve(), found, days, tuple(sorted(off)), most_pairs, tolerance, arguments)
    sys.exit(run_ablation(plan, Path.cwd(), json_file))
