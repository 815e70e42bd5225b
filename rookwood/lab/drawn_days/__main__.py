"""Writes drawn days as files that the platform's bench plays.

fleetbench kinds SITE | python -m rookwood.lab.drawn_days --seed 1 --directory deploy/days/drawn
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from rookwood.lab.drawn_days.drawing import Day, Entry, Value, draw_day, kinds_named


def main() -> None:
    """Read the kinds from standard input and write one file for each day."""
    parser = argparse.ArgumentParser(prog="python -m rookwood.lab.drawn_days", description=__doc__)
    parser.add_argument("--seed", type=int, required=True, help="the same seed draws the same days")
    parser.add_argument("--first", type=int, default=0, help="number of the first day")
    parser.add_argument("--count", type=int, default=40, help="how many days")
    parser.add_argument("--directory", type=Path, required=True, help="where the files go")
    options = parser.parse_args()
    kinds = kinds_named(sys.stdin.read())
    options.directory.mkdir(parents=True, exist_ok=True)
    for number in range(options.first, options.first + options.count):
        day = draw_day(number, options.seed, kinds)
        (options.directory / f"{day.name}.toml").write_text(render(day), encoding="utf-8")


def render(day: Day) -> str:
    """A day as the text of a day file."""
    lines = ["[[day]]", f'name = "{day.name}"', 'slot = "trouble"', f"seed = {day.seed}"]
    lines.append(f"length_s = {day.seconds}")
    if day.closing:
        lines.append(f"closing = {_table(day.closing)}")
    lines += ["one = 1.0", "zero = 0.0"]
    lines += _entries("plan", [entry for entry in day.entries if entry.planned])
    lines += _entries("faults", [entry for entry in day.entries if not entry.planned])
    return "\n".join(lines) + "\n"


def _entries(title: str, entries: list[Entry]) -> list[str]:
    rows = []
    for entry in entries:
        fields: tuple[tuple[str, Value], ...] = (
            ("at", round(entry.at, 2)),
            ("kind", entry.kind),
            *entry.fields,
        )
        rows.append(f"  {_table(fields)},")
    return [f"{title} = [", *rows, "]"]


def _table(fields: tuple[tuple[str, Value], ...]) -> str:
    return "{ " + ", ".join(f"{name} = {json.dumps(value)}" for name, value in fields) + " }"


if __name__ == "__main__":
    main()
