"""Commands that ask the dispatchers of a site: `duties`, `members`, `replicas`, `roll`."""

from __future__ import annotations

import sys

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.options import AT, WATCH


def ask_site(command: str, places: tuple[str, ...], *arguments: object) -> None:
    """Ends the program with the exit code of a function of `cli/site.py`."""
    from rookwood.cli import site

    if not places:
        raise click.UsageError("no dispatcher to ask: give --at HOST:PORT, or set PROXY_MGMT")
    sys.exit(getattr(site, command)(places, *arguments))


@click.group("duties", epilog=CODES, invoke_without_command=True)
@AT
@WATCH
@click.pass_context
def duties(context: click.Context, places: tuple[str, ...], watch: float) -> None:
    """Who holds which duty of a site, as each dispatcher asked believes, and who disagrees.

    Ends with 3 where two say of themselves that they hold one duty.
    """
    context.obj = places
    if context.invoked_subcommand is None:
        ask_site("duties", places, watch)


@duties.command("release", epilog=CODES)
@click.argument("name")
@click.pass_obj
def release(places: tuple[str, ...], name: str) -> None:
    """The dispatcher that holds duty NAME gives it up, and lets another one take it."""
    ask_site("release", places, name)


@click.group("roll", epilog=CODES)
@AT
@click.pass_context
def roll(context: click.Context, places: tuple[str, ...]) -> None:
    """Every dispatcher of the site drains and ends, a few at a time; whoever runs them starts them again."""
    context.obj = places


@roll.command("start", epilog=CODES)
@click.pass_obj
def roll_start(places: tuple[str, ...]) -> None:
    """Begin one. The dispatcher asked tells all others, and the roll goes on without it."""
    ask_site("post", places, "/ops/roll/start")


@roll.command("stop", epilog=CODES)
@click.pass_obj
def roll_stop(places: tuple[str, ...]) -> None:
    """Nobody else begins. Who drains already goes on."""
    ask_site("post", places, "/ops/roll/stop")


@click.command("members", epilog=CODES)
@AT
@WATCH
def members(places: tuple[str, ...], watch: float) -> None:
    """Who lives among the dispatchers of a site, as each dispatcher asked believes."""
    ask_site("members", places, watch)


@click.group("replicas", epilog=CODES, invoke_without_command=True)
@AT
@WATCH
@click.pass_context
def replicas(context: click.Context, places: tuple[str, ...], watch: float) -> None:
    """Who keeps which copy of the claims (`store { peers yes }`), and what differs from the leader's.

    Ends with 3 where a member has met two values of one write.
    """
    context.obj = places
    if context.invoked_subcommand is None:
        ask_site("replicas", places, watch)


@replicas.command("verify", epilog=CODES)
@click.option("--seconds", default=5.0, show_default=True, help="Until copies that differ must be equal.")
@click.pass_obj
def verify(places: tuple[str, ...], seconds: float) -> None:
    """Ask all members and wait until each finds its copy equal to the leader's; tell what differs."""
    ask_site("verify", places, seconds)
