"""Draws one day: entries of several kinds at once, some of them repeated, and a final fault."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from rookwood.lab.drawn_days.templates import (
    CLOSING_VARIANTS,
    CLOSINGS,
    KINDS,
    LONG_CUT_SECONDS,
    LONG_CUT_VARIANTS,
    Kind,
    Span,
)

SHORTEST_DAY = 34.0  # seconds
LONGEST_DAY = 90.0
LONG_CUT_EVERY = 3  # one day in so many has a cut of about 20 s
FIRST_MOMENT = 1.0
QUIET_END = 6.0  # seconds at the end of a day in which nothing begins
SECONDS_AN_ENTRY = 4.0
REPEAT_CHANCE = 0.3
ADDITION_CHANCE = 0.5
CLOSING_CHANCE = 0.7
SEED_BITS = 30

Value = float | int | str


@dataclass(frozen=True, slots=True)
class Entry:
    """One trouble of a day, at a moment in seconds."""

    kind: str
    planned: bool
    at: float
    fields: tuple[tuple[str, Value], ...]


@dataclass(frozen=True, slots=True)
class Day:
    """A drawn day."""

    name: str
    seed: int
    seconds: float
    entries: tuple[Entry, ...]
    closing: tuple[tuple[str, Value], ...]


class UnknownKindError(ValueError):
    """The bench names a kind of trouble that the templates lack."""


def kinds_named(text: str) -> tuple[Kind, ...]:
    """Return the templates of all kinds in what the bench's `kinds` prints."""
    by_name = {kind.name: kind for kind in KINDS}
    found: list[Kind] = []
    for line in text.splitlines():
        name, colon, _ = line.partition(":")
        if not colon or not name.replace("_", "").isalnum() or " " in name or not name.islower():
            continue
        if name not in by_name:
            raise UnknownKindError(name)
        if by_name[name] not in found:
            found.append(by_name[name])
    return tuple(found)


def draw_day(number: int, seed: int, kinds: Sequence[Kind]) -> Day:
    """Draw the day of a number; the same number, seed and kinds give the same day."""
    random = Random(f"{seed}/{number}")
    seconds = round(SHORTEST_DAY + (LONGEST_DAY - SHORTEST_DAY) * random.random() ** 2, 1)
    last = seconds - QUIET_END
    entries: list[Entry] = []
    if number % LONG_CUT_EVERY == 0:
        entries += draw_long_cut(random, last)
    # The kinds are gone through in turn, so that a few dozen days hold each of them.
    order = [kinds[(number * 7 + step) % len(kinds)] for step in range(len(kinds))]
    wanted = order[: int(seconds / SECONDS_AN_ENTRY / 2)]
    while len(entries) < seconds / SECONDS_AN_ENTRY:
        kind = wanted.pop() if wanted else random.choice(kinds)
        moment = random.uniform(FIRST_MOMENT, last)
        entries.append(draw_entry(random, kind, moment))
        if random.random() < REPEAT_CHANCE:
            entries.append(draw_entry(random, kind, min(last, moment + random.uniform(1, 8))))
    entries.sort(key=lambda entry: entry.at)
    return Day(
        f"drawn-{seed}-{number}", random.getrandbits(SEED_BITS), seconds, tuple(entries), _closing(random)
    )


def draw_long_cut(random: Random, last: float) -> list[Entry]:
    """A cut of about 20 s of the control machines, with changes and races of operators inside."""
    began = random.uniform(FIRST_MOMENT, max(FIRST_MOMENT, last - LONG_CUT_SECONDS.high))
    variant = " ".join(
        word for word in (random.choice(LONG_CUT_VARIANTS), random.choice(("", "race"))) if word
    )
    fields: list[tuple[str, Value]] = [("count", 1), ("for_s", _number(random, LONG_CUT_SECONDS))]
    if variant:
        fields.append(("how", variant))
    inside = [
        Entry("config_race", True, began + 2, (("count", 3), ("gap_s", 1.5))),
        Entry("config_change", True, began + 8, (("how", "route"),)),
        Entry("config_change", True, began + 12, (("how", "weights"),)),
        Entry("config_race", True, began + 15, (("count", 2), ("gap_s", 1.0))),
    ]
    return [Entry("core_cut", False, began, tuple(fields)), *inside]


def draw_entry(random: Random, kind: Kind, moment: float) -> Entry:
    """Draw the fields of one entry."""
    fields: list[tuple[str, Value]] = []
    machines = random.choice(kind.machines)
    if machines:
        fields.append(("on", machines))
    fields += [(name, random.randint(*bounds)) for name, bounds in kind.counts.items()]
    fields += [(name, _number(random, span)) for name, span in kind.numbers.items()]
    words = [random.choice(kind.variants)]
    if kind.additions and random.random() < ADDITION_CHANCE:
        words.append(random.choice(kind.additions))
    variant = " ".join(word for word in words if word)
    if variant:
        fields.append(("how", variant))
    return Entry(kind.name, kind.planned, moment, tuple(fields))


def _closing(random: Random) -> tuple[tuple[str, Value], ...]:
    if random.random() > CLOSING_CHANCE:
        return ()
    fields: list[tuple[str, Value]] = [
        ("kind", random.choice(CLOSINGS)),
        ("down_s", _number(random, Span(0.4, 1.2))),
    ]
    variant = random.choice(CLOSING_VARIANTS)
    if variant:
        fields.append(("how", variant))
    return tuple(fields)


def _number(random: Random, span: Span) -> float:
    return round(random.uniform(span.low, span.high), 2)
