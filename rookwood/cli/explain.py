"""The `explain` command: where requests lost their worth, by what dispatchers wrote (`--log-losses`)."""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from rookwood.cli.exit_codes import DONE, FAULTY
from rookwood.dataplane.loss_log import LOSS_MESSAGE

COLUMNS = ("lost", "route", "priority", "outcome", "why", "stage", "held_ms", "weights_ms", "first_ms")
LONGEST_REASON = 40  # characters; some carry the text of an error of the network
JSON_START = "{"


class LossFileError(ValueError):
    """A file of losses that can't be read; its text is one line."""


@dataclass(frozen=True, slots=True, order=True)
class LossCause:
    """What losses are counted by."""

    route: str
    priority: int
    outcome: str
    why: str
    stage: str


@dataclass(slots=True)
class LossCount:
    """The losses of one cause; spans in milliseconds."""

    count: int = 0
    held: float = 0.0
    waited: float = 0.0
    first: float = 0.0
    seconds: Counter[int] = field(default_factory=Counter)

    def add(self, line: dict[str, Any]) -> None:
        """One more."""
        self.count += 1
        self.held += float(line["held_ms"])
        self.waited += float(line["weights_ms"])
        self.first += float(line["first_ms"] or 0.0)
        self.seconds[int(line["at"])] += 1


def read_losses(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """The losses among the lines of a log; each may stand behind a time and a name. Raises LossFileError."""
    for number, text in enumerate(lines, start=1):
        if LOSS_MESSAGE not in text or JSON_START not in text:
            continue
        try:
            line = json.loads(text[text.index(JSON_START) :])
        except ValueError as error:
            raise LossFileError(f"line {number} is cut short or no log line: {error}") from error
        if isinstance(line, dict) and line.get("message") == LOSS_MESSAGE:
            yield line


def count_losses(lines: Iterable[dict[str, Any]]) -> dict[LossCause, LossCount]:
    """Losses by cause; raises LossFileError where a line lacks a field."""
    counts: dict[LossCause, LossCount] = defaultdict(LossCount)
    for line in lines:
        try:
            why = str(line["why"])[:LONGEST_REASON]
            cause = LossCause(line["route"], line["priority"], line["outcome"], why, line["stage"])
            counts[cause].add(line)
        except (KeyError, TypeError, ValueError) as error:
            raise LossFileError(f"a line of {LOSS_MESSAGE!r} lacks a sound field: {error!r}") from error
    return dict(counts)


def losses_text(counts: dict[LossCause, LossCount]) -> str:
    """A table by cause, most losses first, and one by second."""
    rows: list[tuple[str, ...]] = [COLUMNS]
    for cause, count in sorted(counts.items(), key=lambda item: (-item[1].count, item[0])):
        means = [f"{total / count.count:.0f}" for total in (count.held, count.waited, count.first)]
        named = (cause.route, str(cause.priority), cause.outcome, cause.why or "-", cause.stage)
        rows.append((str(count.count), *named, *means))
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    table = ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    seconds: Counter[int] = Counter()
    for count in counts.values():
        seconds.update(count.seconds)
    by_second = [f"{second}: {number}" for second, number in sorted(seconds.items())]
    return "\n".join([*(line.rstrip() for line in table), "", "lost by second of arrival:", *by_second])


@cappa.command(name="losses")
@dataclass
class LossesCommand:
    """A table of the requests that were not served in time, by route, reason, stage and second."""

    file: Annotated[Path, cappa.Arg(help="standard error of dispatchers started with --log-losses")]

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        try:
            with self.file.open(encoding="utf-8", errors="replace") as lines:
                counts = count_losses(read_losses(lines))
        except OSError as error:
            print(f"{self.file}: {error.strerror or error}", file=sys.stderr)
            return FAULTY
        except LossFileError as error:
            print(f"{self.file}: {error}", file=sys.stderr)
            return FAULTY
        print(losses_text(counts) if counts else "no losses")
        return DONE


@cappa.command(name="explain")
@dataclass
class ExplainCommand:
    """Explain what the system did from what it wrote."""

    command: cappa.Subcommands[LossesCommand]


def main(arguments: list[str] | None = None) -> int:
    """Run `explain` with the given arguments, without the program name, and return the exit code."""
    argv = sys.argv[1:] if arguments is None else arguments
    exit_code: int = cappa.invoke(ExplainCommand, argv=argv)
    return exit_code
