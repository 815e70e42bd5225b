"""The command `rookwood` and what stands below it."""

from __future__ import annotations

from importlib.metadata import version as version_of

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.experiments.group import experiment
from rookwood.cli.files import check, show
from rookwood.cli.running import demo, serve
from rookwood.cli.site_commands import duties, members, replicas, roll
from rookwood.cli.system_commands import config, control, explain


@click.group(epilog=CODES, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def main() -> None:
    """rookwood, a dispatcher that pushes jobs to unequal endpoints, and a gateway between sites.

    Shell completion: eval "$(_ROOKWOOD_COMPLETE=bash_source rookwood)" (or zsh_source, fish_source).
    """


@click.command("version")
def version() -> None:
    """Show the version of this program."""
    click.echo(f"rookwood {version_of('rookwood')}")


for command in (
    *(check, config, control, demo, duties, experiment, explain),
    *(members, replicas, roll, serve, show, version),
):
    main.add_command(command)
