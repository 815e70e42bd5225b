"""Experiments with keyed unlocks: the ledger of claims and its replicas."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.options import JSON_FILE, SEED, parse_words


@click.command("replicas", epilog=CODES)
@click.option("--nodes", default=5, show_default=True, help="Processes.")
@click.option("--unlocks", default=3_000, show_default=True, help="Unlocks, each with a key of its own.")
@click.option("--rate", default=50.0, show_default=True, help="Unlocks a second.")
@click.option("--seed", default=1, show_default=True, help="For troubles and clients.")
@click.option(
    "--faults",
    default="kill,stop,term,cut,one-way,half,partial,loss,delay,clock",
    show_default=True,
    help="Of which kinds, one after the other; empty: none.",
)
@click.option("--lease-ms", default=400, show_default=True, help="Length of a lease.")
@click.option("--store", default="peers", show_default=True, help="peers, redis (a stand-in) or sqlite.")
@JSON_FILE
def replicas(
    nodes: int,
    unlocks: int,
    rate: float,
    seed: int,
    faults: str,
    lease_ms: int,
    store: str,
    json_file: Path | None,
) -> None:
    """Keyed unlocks at real processes that keep their claims among themselves, amid trouble after trouble."""
    from rookwood.lab.copies import FAULTS, STORES, Plan, run_replicas

    chosen = parse_words(faults, FAULTS, "--faults")
    if store not in STORES:
        raise click.BadParameter(f"is none of {', '.join(STORES)}", param_hint="--store")
    sys.exit(run_replicas(Plan(nodes, unlocks, rate, seed, chosen, lease_ms, store), json_file))


@click.command("catch-up", epilog=CODES)
@click.option("--records", default=100_000, show_default=True, help="Registers of each member.")
@click.option("--differ", default=1_000, show_default=True, help="Registers that one has missed.")
@JSON_FILE
def catch_up(records: int, differ: int, json_file: Path | None) -> None:
    """What it costs to bring a member's registers up to date: cut off, started anew, and about to lead."""
    from rookwood.lab.catchup import run_catchup

    sys.exit(run_catchup(records, differ, json_file))


@click.command("ledger", epilog=CODES)
@SEED
@click.option("--unlocks", default=10_000, show_default=True, help="How many.")
@click.option("--rate", default=200.0, show_default=True, help="Unlocks a second.")
@click.option(
    "--faults", default="freeze,slow,kill,empty,older,errors", show_default=True, help="Of the store."
)
@click.option(
    "--kills", default=6, show_default=True, help="Dispatchers killed with SIGKILL and started again."
)
@JSON_FILE
def ledger(seed: int, unlocks: int, rate: float, faults: str, kills: int, json_file: Path | None) -> None:
    """Unlocks with keys over four dispatchers, while the store misbehaves and dispatchers are killed."""
    from rookwood.lab.unlocks import FAULTS, Plan, run_ledger

    chosen = parse_words(faults, FAULTS, "--faults")
    sys.exit(run_ledger(Plan(seed, unlocks, rate, chosen, kills), json_file))
