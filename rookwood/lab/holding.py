"""`rookwood experiment holding`: what duties and members cost while nothing happens, by their number.

The same decisions in simulated time (`LeaseManager`, `Members`, `Site`), frames counted as they would leave;
for small sites also real processes, with their share of a core.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
from collections import Counter
from dataclasses import asdict, dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from rookwood.duties.board import Envelope, LeaseManager
from rookwood.duties.change import Roster, RosterChange
from rookwood.duties.lease import Rule
from rookwood.duties.roll import Roller, place_duties
from rookwood.duties.site import TRIAL, Site
from rookwood.duties.trial import EndpointTrial
from rookwood.duties.wire import frame_of
from rookwood.gateway.frames import Frame, SiteTold, encoded
from rookwood.lab.ground import READY_LIMIT, Ground
from rookwood.lab.results import keep
from rookwood.members import wire as members_wire
from rookwood.members.swim import Members, News, Pace, Standing

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
LEASE, STEP, QUARTER = 1000, 20, 250  # ms
DUTIES = ("address", TRIAL, "lending")


class Quiet:
    """A site in which nothing happens. Letters take 2 ms."""

    def __init__(self, count: int, seed: int) -> None:
        names = tuple(f"m{n}" for n in range(count))
        rule, rng = Rule(names, LEASE * MS), random.Random(seed)
        self.now, self.names = 0, names
        self.counts, self.octets = Counter[str](), 0
        self._mail: list[tuple[int, int, str, str, Any]] = []
        self._serial = itertools.count()
        self.sites, self.members, self._said = dict[str, Site](), dict[str, Members](), dict[str, SiteTold]()
        for n, name in enumerate(names):
            board = LeaseManager(name, n + 1, rule, (*DUTIES, *place_duties(1)), ZERO, rng.randrange(1 << 30))
            change = RosterChange(name, Roster(1, frozenset(names)))
            roller = Roller(name, n + 1, LEASE * MS, LEASE / 2 * MS)
            self.sites[name] = Site(board, change, roller, EndpointTrial(name), 1)
            news = News(name, n + 1, 0, Standing.ALIVE)
            others = [other for other in names if other != name]
            self.members[name] = Members(news, others, Pace(LEASE / 4 * MS), ZERO, rng.randrange(1 << 30))

    def _post(self, sender: str, to: str | None, what: Any, frame: Frame, kind: str) -> None:
        receivers = [to] if to else [name for name in self.names if name != sender]
        self.counts[kind] += len(receivers)
        self.octets += len(encoded(frame)) * len(receivers)
        for name in receivers:
            heapq.heappush(self._mail, (self.now + 2, next(self._serial), sender, name, what))

    def _letters(self, sender: str, letters: list[Envelope]) -> None:
        for letter in letters:
            self._post(sender, letter.to, letter, frame_of(letter), "duties")

    def run(self, ms: int) -> None:
        for _ in range(ms // STEP):
            self.now += STEP
            now = ZERO + self.now * MS
            while self._mail and self._mail[0][0] <= self.now:
                _, _, sender, to, what = heapq.heappop(self._mail)
                if isinstance(what, Envelope):
                    self._letters(to, self.sites[to].leases.handle_message(sender, what, now))
                elif isinstance(what, SiteTold):
                    self.sites[to].handle_report(sender, what, now)
                else:
                    self._probe(to, self.members[to].receive(sender, what, now))
            for n, (name, site) in enumerate(self.sites.items()):
                for duty in place_duties(1):
                    self._letters(name, site.leases.set_wanted(duty, False, now))
                self._letters(name, site.leases.tick(now))
                self._probe(name, self.members[name].tick(now))
                word = site.report(0, True, now)
                if word != self._said.get(name):
                    self._said[name] = word
                    self._post(name, None, word, word, "words")
                elif (self.now + n * STEP) % QUARTER < STEP:
                    self._post(name, self.names[self.now // QUARTER % len(self.names)], word, word, "words")

    def _probe(self, sender: str, letters: Any) -> None:
        for name, what in letters:
            self._post(sender, name, what, members_wire.frame_of(what), "members")

    def holders(self) -> int:
        now = ZERO + self.now * MS
        return sum(s.leases.token(duty, now) is not None for s in self.sites.values() for duty in DUTIES)


def simulated(count: int, seed: int, leases: int = 10) -> dict[str, Any]:
    site = Quiet(count, seed)
    site.run(8 * LEASE)
    site.counts.clear()
    site.octets = 0
    site.run(leases * LEASE)
    each = {kind: round(n / count / leases, 1) for kind, n in sorted(site.counts.items())}
    return {
        "messages_a_member_a_lease": round(sum(site.counts.values()) / count / leases, 1),
        "by_kind": each,
        "octets_a_member_a_lease": round(site.octets / count / leases),
        "held": site.holders(),
    }


async def processes(count: int, seed: int, lease_ms: int) -> dict[str, float]:
    ground = Ground(count, seed, lease_ms)
    try:
        await ground.start()
        await ground.witness.next_holder("", READY_LIMIT)
        await asyncio.sleep(8 * lease_ms / 1000)
        return await ground.cost(seconds=10.0)
    finally:
        await ground.close()


@dataclass(frozen=True, slots=True)
class Plan:
    counts: tuple[int, ...]
    processes: tuple[int, ...]
    seed: int


def run_holding(plan: Plan, place: Path | None) -> int:
    console = Console()
    table = Table(
        "members", "messages a lease", "by kind", "octets a lease", "held", title="A member, at rest"
    )
    found: dict[str, Any] = {"simulated": {}, "processes": {}}
    for count in plan.counts:
        row = found["simulated"][str(count)] = simulated(count, plan.seed)
        kinds = ", ".join(f"{kind} {n:g}" for kind, n in row["by_kind"].items())
        told = (row["messages_a_member_a_lease"], kinds, row["octets_a_member_a_lease"], row["held"])
        table.add_row(str(count), *map(str, told))
    console.print(table)
    for count in plan.processes:
        found["processes"][str(count)] = asyncio.run(processes(count, plan.seed, LEASE))
        console.print(f"{count} processes: {found['processes'][str(count)]}")
    keep(place, "holding", asdict(plan), found)
    if place:
        from rookwood.lab.charts import lines

        rows = list(found["simulated"].values())
        kinds_ = sorted({kind for row in rows for kind in row["by_kind"]})
        series = {kind: [row["by_kind"].get(kind, 0.0) for row in rows] for kind in kinds_}
        title = f"Messages of one member at rest, {len(DUTIES)} duties held"
        lines(
            place.with_suffix(".svg"), title, ("members", plan.counts), "messages a lease", series, log=True
        )
    return 0
