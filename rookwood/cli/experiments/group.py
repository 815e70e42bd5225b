"""The command `rookwood experiment` and what stands below it."""

from __future__ import annotations

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.experiments import claims, members, models, programs, sites


@click.group("experiment", epilog=CODES)
def experiment() -> None:
    """Measure something; --json FILE keeps the figures with settings and version."""


for command in (
    sites.gateway,
    models.handoff,
    models.leases,
    models.claims,
    models.registers,
    models.replication_states,
    members.duties,
    members.holding,
    members.address,
    members.members,
    claims.replicas,
    claims.catch_up,
    claims.ledger,
    programs.rest,
    programs.worker_answers,
    programs.many_changes,
    programs.ablation,
):
    experiment.add_command(command)
