"""The `config` command: offline checks of configuration files."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from rookwood.cli.exit_codes import DONE, FAULTY
from rookwood.clusterconfig.faults import Fault, Invalid
from rookwood.clusterconfig.validation import check_document, parse_document


@cappa.command(name="check")
@dataclass
class CheckConfiguration:
    """Check a configuration file and print every fault with its key."""

    file: Annotated[Path, cappa.Arg(help="JSON file that holds a whole configuration")]

    def __call__(self) -> int:
        """Run the check and return the exit code."""
        return check_file(self.file)


@cappa.command(name="config")
@dataclass
class ConfigCommand:
    """Work with cluster configurations."""

    command: cappa.Subcommands[CheckConfiguration]


def check_file(path: Path) -> int:
    """Check the file at `path`, print the result, and return the exit code."""
    try:
        body = path.read_bytes()
    except OSError as error:
        print(f"{path}: {error.strerror or error}", file=sys.stderr)
        return FAULTY
    document = parse_document(body)
    result = document if isinstance(document, Invalid) else check_document(document)
    if isinstance(result, Invalid):
        _print_faults(path, result.faults)
        return FAULTY
    print(f"{path}: valid, version {result.version}, {len(result.routes)} routes")
    return DONE


def main(arguments: list[str] | None = None) -> int:
    """Run `config` with the given arguments, without the program name, and return the exit code."""
    argv = sys.argv[1:] if arguments is None else arguments
    exit_code: int = cappa.invoke(ConfigCommand, argv=argv)
    return exit_code


def _print_faults(path: Path, faults: tuple[Fault, ...]) -> None:
    for fault in faults:
        location = f"{path}: {fault.key}" if fault.key else str(path)
        print(f"{location}: {fault.message}", file=sys.stderr)
