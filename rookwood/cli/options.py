"""Options that several commands have, and what is read from the text of others."""

from __future__ import annotations

from collections.abc import Collection
from pathlib import Path

import click

_JSON_TYPE = click.Path(dir_okay=False, path_type=Path)

JSON_FILE = click.option("--json", "json_file", type=_JSON_TYPE, help="Keep the figures here.")
JSON_FILE_AND_CHART = click.option("--json", "json_file", type=_JSON_TYPE, help="Keep figures, and a chart.")
SEED = click.option("--seed", default=1, show_default=True, help="For random choices.")
AT = click.option(
    *("--at", "places"),
    multiple=True,
    envvar="PROXY_MGMT",
    metavar="HOST:PORT",
    help="Second address of a dispatcher; once for each member [default: $PROXY_MGMT].",
)
WATCH = click.option("--watch", default=0.0, metavar="SECONDS", help="Again and again, so often.")


def parse_numbers(text: str, option: str) -> tuple[int, ...]:
    """The numbers of a list with commas; anything else is wrong use of the option."""
    try:
        return tuple(int(word) for word in text.split(",") if word)
    except ValueError:
        raise click.BadParameter("is not a list of numbers", param_hint=option) from None


def parse_words(text: str, allowed: Collection[str], option: str, least: int = 0) -> tuple[str, ...]:
    """The words of a list with commas, at least so many; another than these is wrong use of the option."""
    words = tuple(filter(None, text.split(",")))
    if len(words) < least or not set(words) <= set(allowed):
        raise click.BadParameter(f"is not a list of {', '.join(allowed)}", param_hint=option)
    return words
