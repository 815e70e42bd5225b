"""Experiments with the gateway between sites."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.options import JSON_FILE, SEED


@click.command("gateway", epilog=CODES)
@SEED
@click.option(
    "--seconds", default=20.0, show_default=True, help="How long traffic comes, in each of the three plays."
)
@click.option("--loss", default=5.0, show_default=True, help="Messages lost between the sites, in percent.")
@click.option("--delay-ms", default=2.0, show_default=True, help="Added delay between the sites, each way.")
@click.option(
    "--rate", default=0.0, help="Jobs a second [default: --load times what the busy site's boxes carry]."
)
@click.option(
    "--load", default=1.2, show_default=True, help="Jobs at the busy site over what its boxes carry."
)
@click.option("--skew", default=0.78, show_default=True, help="Share of the jobs that come to the busy site.")
@click.option("--cuts/--no-cuts", default=False, help="Cut and heal the links meanwhile.")
@click.option("--restarts", default=0, show_default=True, help="Dispatchers killed, upgraded and so on.")
@click.option(
    "--plays", default="off,on,pooled", show_default=True, help="Which of off, on, on+duties and pooled."
)
@click.option("--dispatchers", default=2, show_default=True, help="Of each site.")
@JSON_FILE
def gateway(
    seed: int,
    seconds: float,
    loss: float,
    delay_ms: float,
    rate: float,
    load: float,
    skew: float,
    cuts: bool,
    restarts: int,
    plays: str,
    dispatchers: int,
    json_file: Path | None,
) -> None:
    """Play the same traffic at two sites without the gateway, with it, and with all boxes as one site."""
    from rookwood.lab.experiment import Plan, run_gateway

    chosen = tuple(plays.split(","))
    if not set(chosen) <= {"off", "on", "on+duties", "pooled"}:
        raise click.BadParameter("is not a list of off, on, on+duties and pooled", param_hint="--plays")
    more = (cuts, restarts, chosen, dispatchers)
    plan = Plan(seed, seconds, loss / 100, delay_ms / 1000, rate, load, skew, *more)
    sys.exit(run_gateway(plan, json_file))
