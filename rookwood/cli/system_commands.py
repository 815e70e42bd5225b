"""Commands of the whole system, which cappa parses: `config`, `control` and `explain`."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable

import click

Program = Callable[[list[str]], int]


def parsed_by_cappa(name: str, module: str, summary: str) -> click.Command:
    """A command that hands all its words to `main` of a module, which is imported only then."""

    def run(arguments: tuple[str, ...]) -> None:
        program: Program = importlib.import_module(module).main
        sys.exit(program(list(arguments)))

    return click.Command(
        name,
        context_settings={"ignore_unknown_options": True},
        callback=run,
        params=[click.Argument(["arguments"], nargs=-1, type=click.UNPROCESSED)],
        help=summary,
        add_help_option=False,
    )


config = parsed_by_cappa(
    "config", "rookwood.cli.config", "Check a configuration of the whole system: `config check FILE`."
)
control = parsed_by_cappa(
    "control",
    "rookwood.cli.control",
    "The control machines: `control status`, `history`, `transfer`, `verify`, `recover`.",
)
explain = parsed_by_cappa(
    "explain",
    "rookwood.cli.explain",
    "What dispatchers wrote: `explain losses FILE` tells why requests were not served in time.",
)
