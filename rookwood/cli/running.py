"""Commands that run dispatchers: `serve` and `demo`."""

from __future__ import annotations

import os
import sys

import click

from rookwood.cli.exit_codes import CODES
from rookwood.cli.options import SEED


@click.command("serve", epilog=CODES)
@click.option(
    "--config", type=click.Path(dir_okay=False), help="The platform's JSON file [default: $PROXY_CONFIG]."
)
@click.option(
    "--conf", type=click.Path(dir_okay=False), help="The operator's file [default: $ROOKWOOD_CONF]."
)
def serve(config: str | None, conf: str | None) -> None:
    """Run one dispatcher in the foreground, as `python -m rookwood` does."""
    from rookwood import __main__ as program

    if config:
        os.environ["PROXY_CONFIG"] = config
    if conf:
        os.environ[program.OPERATOR_FILE_VARIABLE] = conf
    sys.exit(program.main())


@click.command("demo", epilog=CODES)
@click.option("--seconds", default=20.0, show_default=True, help="How long traffic comes.")
@SEED
def demo(seconds: float, seed: int) -> None:
    """Two sites on this machine, a burst of mixed jobs at one, and live what goes where."""
    from rookwood.lab.demo import demonstrate

    sys.exit(demonstrate(seconds, seed))
