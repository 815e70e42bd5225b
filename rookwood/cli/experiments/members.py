"""Experiments with the members of a site: duties, the service address, who lives."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.options import JSON_FILE, JSON_FILE_AND_CHART, SEED, parse_numbers, parse_words


@click.command("duties", epilog=CODES)
@click.option("--nodes", default=5, show_default=True, help="Processes.")
@click.option("--seed", default=1, show_default=True, help="For the order of troubles.")
@click.option("--kills", default=11, show_default=True, help="Troubles, one after the other.")
@click.option(
    "--faults",
    default="kill,stop,term,cut,one-way,half,stuck,trickle,partial,loss,delay",
    show_default=True,
    help="Of which kinds.",
)
@click.option("--hold", default=0.0, help="Seconds of loss, delay and a partial cut, at least.")
@click.option("--lease-ms", default=400, show_default=True, help="Length of a lease.")
@JSON_FILE
def duties(
    nodes: int, seed: int, kills: int, faults: str, hold: float, lease_ms: int, json_file: Path | None
) -> None:
    """Real processes that hold the duty `address` in turn, while its holder meets trouble after trouble."""
    from rookwood.lab.troubles import FAULTS, Plan, run_duties

    chosen = parse_words(faults, FAULTS, "--faults", least=1)
    sys.exit(run_duties(Plan(nodes, seed, kills, chosen, lease_ms, hold), json_file))


@click.command("holding", epilog=CODES)
@click.option("--counts", default="3,9,50,200", show_default=True, help="Members, in simulated time.")
@click.option("--processes", default="3,9", show_default=True, help="Members, as real processes.")
@SEED
@JSON_FILE_AND_CHART
def holding(counts: str, processes: str, seed: int, json_file: Path | None) -> None:
    """What duties and members cost while nothing happens, by the number of members."""
    from rookwood.lab.holding import Plan, run_holding

    chosen = parse_numbers(counts, "--counts"), parse_numbers(processes, "--processes")
    sys.exit(run_holding(Plan(*chosen, seed), json_file))


@click.command("address", epilog=CODES)
@click.option("--nodes", default=3, show_default=True, help="Processes.")
@click.option("--seed", default=1, show_default=True, help="For the order of troubles.")
@click.option("--kills", default=50, show_default=True, help="Times that the holder is killed.")
@click.option("--stops", default=20, show_default=True, help="Times that it is stopped, and goes on later.")
@click.option("--cuts", default=20, show_default=True, help="Times that it is cut off from the others.")
@click.option("--lease-ms", default=250, show_default=True, help="Length of a lease.")
@click.option("--store", type=click.Choice(["redis", "peers"]), default="redis", show_default=True)
@JSON_FILE
def address(
    nodes: int,
    seed: int,
    kills: int,
    stops: int,
    cuts: int,
    lease_ms: int,
    store: str,
    json_file: Path | None,
) -> None:
    """Clients of the service address while its holder meets trouble: gaps without answers, double runs."""
    from rookwood.lab.moving import Plan, run_address

    sys.exit(run_address(Plan(nodes, seed, kills, stops, cuts, lease_ms, store), json_file))


@click.command("members", epilog=CODES)
@click.option("--counts", default="5,20", show_default=True, help="Members, one series each.")
@click.option("--seeds", default=3, show_default=True, help="Plays of each.")
@JSON_FILE
def members(counts: str, seeds: int, json_file: Path | None) -> None:
    """Three ways to tell who lives, in simulated time: SWIM with Lifeguard, heartbeats, phi-accrual."""
    from rookwood.lab.detectors import Plan, run_members

    sys.exit(run_members(Plan(parse_numbers(counts, "--counts"), seeds), json_file))
