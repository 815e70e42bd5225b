"""Jobs of the lab's worlds: classes, open-loop arrivals, and what came of them from the clients' side."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import numpy as np

SITES = ("zagreb", "rijeka")


@dataclass(frozen=True, slots=True)
class Class:
    name: str
    share: float
    work: float  # seconds at speed 1, on the mean
    slots: tuple[float, ...]  # shares of jobs with 1, 2, 4
    aim: float
    give_up: float
    worth: float
    safe: bool


CLASSES = (
    Class("page-render", 0.43, 0.45, (1.0,), 0.5, 5.0, 3.0, True),
    Class("chapter-unlock", 0.43, 0.9, (0.6, 0.25, 0.15), 1.0, 10.0, 2.0, False),
    Class("chapter-publish", 0.14, 1.8, (0.6, 0.25, 0.15), 1.2, 20.0, 10.0, False),
)
STRETCH = 2.0
LATE_WORTH = 0.3
SPEEDS = (2.0, 1.2, 0.8, 0.8)  # of a site's boxes, in turn
BOXES, SLOTS, QUEUE = 4, 4, 40
KEYS, TRIES, MOST_WAIT = 40, 3, 2.0
MEAN_WORK = sum(c.share * c.work * sum(p * 2**n for n, p in enumerate(c.slots)) for c in CLASSES)


def carries(boxes: int = BOXES) -> float:
    """Jobs a second that fill one site's boxes."""
    return float(sum(SPEEDS[n % len(SPEEDS)] * SLOTS for n in range(boxes)) / MEAN_WORK)


@dataclass(frozen=True, slots=True)
class Arrival:
    at: float
    job: str
    site: str
    kind: Class
    work: float
    slots: int
    key: int


def traffic(seed: int, seconds: float, rate: float, skew: float, burst: bool = False) -> list[Arrival]:
    """The same for each play of a seed: open-loop Poisson arrivals, lognormal work, Zipf-like keys."""
    rng = np.random.default_rng(seed)
    found, at = list[Arrival](), 0.0
    weights = 1 / np.arange(1, KEYS + 1) ** 0.9
    weights /= weights.sum()
    while True:
        now = rate * (2.0 if burst and 0.3 * seconds < at < 0.7 * seconds else 1.0)
        at += float(rng.exponential(1 / now))
        if at >= seconds:
            return found
        site = SITES[0] if rng.random() < skew else SITES[1]
        kind = CLASSES[int(rng.choice(len(CLASSES), p=[c.share for c in CLASSES]))]
        work = kind.work * float(rng.lognormal(-0.125, 0.5))
        slots = 2 ** int(rng.choice(len(kind.slots), p=kind.slots))
        key = int(rng.choice(KEYS, p=weights))
        found.append(Arrival(at, f"{site}-{len(found)}", site, kind, work, slots, key))


@dataclass(slots=True)
class Score:
    """What came of a play, from the clients' side."""

    asked: float = 0.0
    earned: float = 0.0
    ends: dict[str, Counter[str]] = field(default_factory=dict)  # class -> end
    worth: dict[str, list[float]] = field(default_factory=dict)  # class -> [asked, earned]
    overhead: list[tuple[bool, float]] = field(default_factory=list)  # crossed?, seconds beyond the box's
    retries: int = 0

    def ended(self, arrival: Arrival, how: str, part: float) -> None:
        kind = arrival.kind
        self.ends.setdefault(kind.name, Counter())[how] += 1
        asked, earned = self.worth.get(kind.name, [0.0, 0.0])
        self.worth[kind.name] = [asked + kind.worth, earned + part * kind.worth]
        self.asked += kind.worth
        self.earned += part * kind.worth

    def count(self, how: str) -> int:
        return sum(counts[how] for counts in self.ends.values())

    @property
    def service(self) -> float:
        return self.earned / self.asked if self.asked else 0.0
