"""Draws which troubles come when: two or three at once, on different machines and links."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

TROUBLES_AT_ONCE = (2, 3)
WAVE_S = (3.0, 4.5)  # from the first trouble of a group to the first of the next
STAGGER_S = 0.8  # within which the troubles of a group begin
DURATION_S = (0.4, 2.2)


class TroubleKind(StrEnum):
    """What can go wrong."""

    KILL_CONTROL = "kill a control plane, start it again later"
    PAUSE_CONTROL = "pause a control plane"
    KILL_DATA = "kill a data plane, start it again later"
    PAUSE_DATA = "pause a data plane"
    CUT = "cut a feed"
    CUT_UP = "cut a feed towards the control plane"
    CUT_DOWN = "cut a feed towards the data plane"
    RESET = "reset a feed's connections"
    DELAY = "delay a feed"
    SLOW = "slow down all feeds of a data plane"
    LOST_ANSWERS = "lose answers to the operator"
    KILL_ALL = "kill all processes, start them again at once"
    KILL_ALL_AND_WIPE = "kill all processes, empty the disk of a control plane, start them again at once"


CONTROL_KINDS = (TroubleKind.KILL_CONTROL, TroubleKind.PAUSE_CONTROL)
DATA_KINDS = (TroubleKind.KILL_DATA, TroubleKind.PAUSE_DATA)
FEED_KINDS = (
    TroubleKind.CUT,
    TroubleKind.CUT_UP,
    TroubleKind.CUT_DOWN,
    TroubleKind.RESET,
    TroubleKind.DELAY,
    TroubleKind.SLOW,
)
LOSS_KINDS = (TroubleKind.LOST_ANSWERS,)
KILL_ALL_KINDS = (TroubleKind.KILL_ALL, TroubleKind.KILL_ALL_AND_WIPE)
KILL_ALL_INTERVAL_S = (6.0, 9.0)  # time to copy what an emptied disk has lost
KILL_ALL_DOWN_S = (0.1, 0.6)
KILL_ALL_STREAM = 1  # of random draws, apart from those of the other troubles


@dataclass(frozen=True)
class Target:
    """Something that can have one trouble at a time; feeds have a control and a data plane."""

    kinds: tuple[TroubleKind, ...]
    control: int | None = None
    data: int | None = None


@dataclass(frozen=True)
class Trouble:
    """One trouble, with times in seconds from the begin of the run."""

    kind: TroubleKind
    at: float
    seconds: float
    control: int | None = None
    data: int | None = None

    @property
    def ends(self) -> float:
        """When it is over."""
        return self.at + self.seconds

    def __str__(self) -> str:
        places = []
        if self.control is not None:
            places.append(f"control-{self.control + 1}")
        if self.data is not None:
            places.append(f"data-{self.data + 1}")
        return f"{self.at:6.2f} s to {self.ends:6.2f} s: {self.kind.value} {', '.join(places)}".rstrip()


def draw_schedule(seed: int, seconds: float, controls: int, datas: int) -> tuple[Trouble, ...]:
    """The troubles of a run that lasts so long; the same seed gives the same ones."""
    draws = random.Random(seed)
    targets = list(possible_targets(controls, datas))
    troubles: list[Trouble] = []
    wave_at = 1.0
    while wave_at + STAGGER_S + DURATION_S[1] <= seconds:
        chosen = draws.sample(targets, draws.randint(*TROUBLES_AT_ONCE))
        troubles += [draw_trouble(draws, target, wave_at) for target in chosen]
        wave_at += draws.uniform(*WAVE_S)
    return tuple(sorted(troubles, key=lambda trouble: trouble.at))


def draw_kills_of_all(seed: int, seconds: float, controls: int) -> tuple[Trouble, ...]:
    """Kills of all processes in a run that lasts so long; the same seed gives the same ones."""
    draws = random.Random(f"{seed} {KILL_ALL_STREAM}")
    troubles: list[Trouble] = []
    at = draws.uniform(2.0, 4.0)
    while at + KILL_ALL_DOWN_S[1] <= seconds:
        kind, control = draws.choice(KILL_ALL_KINDS), draws.randrange(controls)
        troubles.append(Trouble(kind, at, draws.uniform(*KILL_ALL_DOWN_S), control))
        at += draws.uniform(*KILL_ALL_INTERVAL_S)
    return tuple(troubles)


def possible_targets(controls: int, datas: int) -> Iterator[Target]:
    """Every machine and every feed, and the operator."""
    for control in range(controls):
        yield Target(CONTROL_KINDS, control=control)
    for data in range(datas):
        yield Target(DATA_KINDS, data=data)
        for control in range(controls):
            yield Target(FEED_KINDS, control, data)
    yield Target(LOSS_KINDS)


def draw_trouble(draws: random.Random, target: Target, wave_at: float) -> Trouble:
    """A trouble of this target within a group that begins then."""
    kind = draws.choice(target.kinds)
    at = wave_at + draws.uniform(0.0, STAGGER_S)
    return Trouble(kind, at, draws.uniform(*DURATION_S), target.control, target.data)
