"""Experiments that explore a protocol exhaustively within bounds."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.options import JSON_FILE


@click.command("handoff", epilog=CODES)
@JSON_FILE
def handoff(json_file: Path | None) -> None:
    """Explore the handoff between sites exhaustively, and check that broken variants of it are caught."""
    from rookwood.lab.modelcheck import run

    sys.exit(run(json_file))


@click.command("leases", epilog=CODES)
@click.option("--wide", is_flag=True, help="Also drift and a restart at once; some minutes.")
@JSON_FILE
def leases(wide: bool, json_file: Path | None) -> None:
    """Explore the leases of a duty exhaustively, and check that broken variants of them are caught."""
    from rookwood.lab.modelcheck import run_leases

    sys.exit(run_leases(json_file, wide))


@click.command("claims", epilog=CODES)
@JSON_FILE
def claims(json_file: Path | None) -> None:
    """Explore the ledger of claims exhaustively, and check that broken variants of it are caught."""
    from rookwood.lab.modelcheck import run_claims

    sys.exit(run_claims(json_file))


@click.command("registers", epilog=CODES)
@click.option("--most", default=400_000, show_default=True, help="States of each part, at most.")
@JSON_FILE
def registers(most: int, json_file: Path | None) -> None:
    """Explore the replicated registers of a site, and check that broken variants of them are caught."""
    from rookwood.lab.modelcheck import run_registers

    sys.exit(run_registers(json_file, most))


@click.command("replication-states", epilog=CODES)
@click.option("--most", default=400_000, show_default=True, help="States of each part.")
@JSON_FILE
def replication_states(most: int, json_file: Path | None) -> None:
    """Explore the replication of the control document exhaustively within small bounds."""
    from rookwood.lab.replication_states import run_replication_states

    sys.exit(run_replication_states(json_file, most))
