"""`rookwood experiment members`: three ways to tell who lives, in simulated time, on the same faults.

SWIM with Lifeguard is the program's own (`rookwood/members/swim.py`). Beside it the two that were weighed:
heartbeats to all with a fixed limit, and phi-accrual (Hayashibara 2004), heartbeats to all with a limit that
follows what was seen of each member. All send once a period.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import statistics
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any, Protocol

import numpy as np
from rich.console import Console
from rich.table import Table

from rookwood.gateway.frames import encoded
from rookwood.lab.results import keep
from rookwood.members.swim import Ack, Members, News, Pace, Probe, Standing
from rookwood.members.wire import frame_of

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
PERIOD = 200  # ms
STEP = 20  # ms, between two ticks of a member
BEAT = 24  # bytes of a heartbeat, frame and all


class Detector(Protocol):
    def tick(self, now: int) -> Iterable[tuple[str, Any]]: ...

    def heard(self, sender: str, what: Any, now: int) -> Iterable[tuple[str, Any]]: ...

    def dead(self, now: int) -> set[str]: ...


class Swim:
    def __init__(self, name: str, names: list[str], now: int, seed: int) -> None:
        others = [other for other in names if other != name]
        me, pace = News(name, seed + 1, 0, Standing.ALIVE), Pace(timedelta(milliseconds=PERIOD))
        self.members = Members(me, others, pace, at(now), seed)

    def tick(self, now: int) -> Iterable[tuple[str, Any]]:
        return self.members.tick(at(now))

    def heard(self, sender: str, what: Any, now: int) -> Iterable[tuple[str, Any]]:
        return self.members.receive(sender, what, at(now))

    def dead(self, now: int) -> set[str]:
        return self.members.gone


class Beats:
    """Heartbeats to all. `LIMIT` periods of silence, so that three may be lost."""

    LIMIT = 5

    def __init__(self, name: str, names: list[str], now: int, seed: int) -> None:
        self._others = [other for other in names if other != name]
        self._next = now + random.Random(seed).randrange(PERIOD)
        self._last = dict.fromkeys(self._others, now)

    def tick(self, now: int) -> Iterable[tuple[str, Any]]:
        if now < self._next:
            return
        self._next = now + PERIOD
        for other in self._others:
            yield other, "beat"

    def heard(self, sender: str, what: Any, now: int) -> Iterable[tuple[str, Any]]:
        self._last[sender] = now
        return ()

    def dead(self, now: int) -> set[str]:
        return {name for name, last in self._last.items() if now - last > self.LIMIT * PERIOD}


class Phi(Beats):
    """-log10 of the chance that a heartbeat comes this late or later, by a normal law of the last hundred."""

    THRESHOLD, WINDOW, LEAST_STD = 8.0, 100, 0.1 * PERIOD

    def __init__(self, name: str, names: list[str], now: int, seed: int) -> None:
        super().__init__(name, names, now, seed)
        self._spans = {other: deque([float(PERIOD)], self.WINDOW) for other in self._others}

    def heard(self, sender: str, what: Any, now: int) -> Iterable[tuple[str, Any]]:
        self._spans[sender].append(now - self._last[sender])
        return super().heard(sender, what, now)

    def dead(self, now: int) -> set[str]:
        return {name for name, last in self._last.items() if self._phi(name, now - last) > self.THRESHOLD}

    def _phi(self, name: str, silent: int) -> float:
        if silent <= PERIOD:
            return 0.0
        spans = self._spans[name]
        std = max(self.LEAST_STD, statistics.pstdev(spans))
        chance = 0.5 * math.erfc((silent - statistics.fmean(spans)) / (std * math.sqrt(2)))
        return -math.log10(max(chance, 1e-300))


def at(ms: int) -> datetime:
    return ZERO + timedelta(milliseconds=ms)


MAKERS: dict[str, Callable[[str, list[str], int, int], Detector]] = {
    "swim": Swim,
    "heartbeats": Beats,
    "phi": Phi,
}


class Play:
    """Members with one detector each, and a network. Times in ms."""

    def __init__(self, kind: str, count: int, seed: int, loss: float) -> None:
        self.loss, self.rng = loss, random.Random(seed)
        self.now = self.sent = self.octets = 0
        self.cut: set[frozenset[str]] = set()
        self.halted: dict[str, int] = {}  # until when
        self.killed: set[str] = set()
        self.false = 0  # times that one living member took another for dead
        self.names = [f"m{n}" for n in range(count)]
        make = MAKERS[kind]
        self.nodes = {n: make(n, self.names, 0, seed * 1000 + k) for k, n in enumerate(self.names)}
        self._mail: list[tuple[int, int, str, str, Any]] = []
        self._serial = itertools.count()
        self._dead = {name: set[str]() for name in self.names}

    def _post(self, sender: str, letters: Iterable[tuple[str, Any]]) -> None:
        for to, what in letters:
            self.sent += 1
            self.octets += len(encoded(frame_of(what))) if isinstance(what, Probe | Ack) else BEAT
            if frozenset((sender, to)) in self.cut or self.rng.random() < self.loss:
                continue
            due = self.now + self.rng.randint(1, 20)
            heapq.heappush(self._mail, (due, next(self._serial), sender, to, what))

    def run(self, ms: int, until: Callable[[], bool] | None = None) -> int:
        """Returns how long it took."""
        began = self.now
        while self.now - began < ms and not (until and until()):
            self.now += STEP
            while self._mail and self._mail[0][0] <= self.now:
                _, _, sender, to, what = heapq.heappop(self._mail)
                if to in self.killed:
                    continue
                if (until_ := self.halted.get(to, 0)) > self.now:
                    heapq.heappush(self._mail, (until_, next(self._serial), sender, to, what))
                    continue
                self._post(to, self.nodes[to].heard(sender, what, self.now))
            for name, node in self.nodes.items():
                if name in self.killed or self.halted.get(name, 0) > self.now:
                    continue
                self._post(name, node.tick(self.now))
                dead = node.dead(self.now)
                self.false += len(dead - self._dead[name] - self.killed)
                self._dead[name] = dead
        return self.now - began

    def holders(self, name: str) -> int:
        """Living members that take it for dead."""
        return sum(name in self._dead[n] for n in self.names if n not in self.killed and n != name)


def measured(kind: str, count: int, seed: int) -> dict[str, Any]:
    quiet = Play(kind, count, seed, loss=0.0)
    quiet.run(20 * PERIOD)
    sent, octets, began = quiet.sent, quiet.octets, quiet.now
    quiet.run(50 * PERIOD)
    seconds = (quiet.now - began) / 1000
    victim = quiet.rng.choice(quiet.names)
    quiet.killed.add(victim)
    first = quiet.run(200 * PERIOD, lambda: quiet.holders(victim) > 0)
    all_ = first + quiet.run(200 * PERIOD, lambda: quiet.holders(victim) >= count - 1)

    lossy = Play(kind, count, seed, loss=0.2)
    lossy.run(20 * PERIOD)
    lossy.false = 0
    lossy.run(300 * PERIOD)

    halts = Play(kind, count, seed, loss=0.02)
    halts.run(20 * PERIOD)
    for _ in range(10):  # a busy machine: a member stands still for up to four periods
        halts.halted[halts.rng.choice(halts.names)] = halts.now + halts.rng.randint(PERIOD, 4 * PERIOD)
        halts.run(12 * PERIOD)

    cut = Play(kind, count, seed, loss=0.02)
    cut.run(20 * PERIOD)
    cut.cut.add(frozenset(cut.rng.sample(cut.names, 2)))
    cut.run(100 * PERIOD)
    return {
        "messages_a_member_a_second": round((quiet.sent - sent) / count / seconds, 1),
        "octets_a_member_a_second": round((quiet.octets - octets) / count / seconds),
        "first_knows_ms": first,
        "all_know_ms": all_,
        "false_at_loss_20": lossy.false,
        "false_at_halts": halts.false,
        "false_at_a_partial_cut": cut.false,
    }


@dataclass(frozen=True, slots=True)
class Plan:
    counts: tuple[int, ...]
    seeds: int


def run_members(plan: Plan, place: Path | None) -> int:
    console = Console()
    title = f"Who lives: period {PERIOD} ms, {plan.seeds} seeds"
    table = Table("way", "members", *COLUMNS.values(), title=title)
    figures: dict[str, Any] = {}
    for kind in MAKERS:
        for count in plan.counts:
            plays = [measured(kind, count, seed) for seed in range(1, plan.seeds + 1)]
            row = {}
            for key in plays[0]:  # mistakes are summed, the rest is averaged
                over = np.sum if key.startswith("false") else np.mean
                row[key] = round(float(over([play[key] for play in plays])), 1)
            figures[f"{kind} {count}"] = row
            table.add_row(kind, str(count), *(f"{row[key]:g}" for key in COLUMNS))
    console.print(table)
    keep(place, "members", asdict(plan), figures)
    return 0


COLUMNS = {
    "messages_a_member_a_second": "messages/s",
    "octets_a_member_a_second": "octets/s",
    "first_knows_ms": "first knows, ms",
    "all_know_ms": "all know, ms",
    "false_at_loss_20": "false, 20% loss",
    "false_at_halts": "false, halts",
    "false_at_a_partial_cut": "false, cut",
}
