"""`rookwood experiment catch-up`: what it costs a site to bring a member's registers up to date.

Three members in one process, every message as the bytes that a link would carry. Time is of one core, for
all of them together; the longest step is what a member's other work waits for.
"""

from __future__ import annotations

import secrets
import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from rookwood.duties.lease import Token
from rookwood.lab.results import keep
from rookwood.ledger.life import Phase, Record
from rookwood.replicas import wire
from rookwood.replicas.group import Group, Letter
from rookwood.replicas.peers import BUCKETS

MEMBERS = ("a", "b", "c")
START = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(slots=True)
class Cost:
    seconds: float = 0.0
    longest_ms: float = 0.0
    octets: int = 0
    messages: int = 0
    largest: int = 0  # octets of one message


@dataclass(slots=True)
class Site:
    groups: dict[str, Group] = field(
        default_factory=lambda: {name: Group(name, MEMBERS, 0, BUCKETS) for name in MEMBERS}
    )

    def told(self, sender: str, letters: Iterable[Letter], deaf: str = "") -> Cost:
        """All is heard, in order, but by who is deaf."""
        cost, mail = Cost(), deque((sender, letter) for letter in letters)
        began = time.perf_counter()
        while mail:
            sender, (to, message) = mail.popleft()
            data = wire.message_of(message)
            for name in [to] if to else [n for n in MEMBERS if n != sender]:
                cost.octets, cost.messages = cost.octets + len(data), cost.messages + 1
                cost.largest = max(cost.largest, len(data))
                if name != deaf:
                    step = time.perf_counter()
                    mail += ((name, a) for a in self.groups[name].receive(sender, wire.message_from(data)))
                    cost.longest_ms = max(cost.longest_ms, 1000 * (time.perf_counter() - step))
        cost.seconds = time.perf_counter() - began
        return cost

    @property
    def equal(self) -> bool:
        return len({group.digests() for group in self.groups.values()}) == 1


def record() -> bytes:
    ends = START + timedelta(seconds=10)
    times = (START, ends, ends + timedelta(minutes=10))
    nonce = secrets.token_hex(8)
    return wire.record_of(Record(secrets.token_hex(16), nonce, 7, Phase.SERVED, *times, b"a page"))


def measured(records: int, differ: int) -> dict[str, Any]:
    site, token = Site(), Token(1, "a", 1)
    for group in site.groups.values():
        group.recovered = True
    site.told("a", site.groups["a"].lead(token))
    for at in range(0, records, 500):
        some = range(at, min(records, at + 500))
        site.told("a", site.groups["a"].put({f"r:{n}": record() for n in some}, at + 1))
    found = dict[str, Cost]()

    def changed(deaf: str) -> None:
        values = {f"r:{n}": record() for n in range(differ)}
        site.told("a", site.groups["a"].put(values, records + 1), deaf=deaf)

    changed("c")
    found["one that was cut off"] = site.told("a", site.groups["a"].compare())
    assert site.equal
    site.groups["c"] = Group("c", MEMBERS, 9, BUCKETS)
    found["one that has started"] = site.told("c", site.groups["c"].again())
    assert site.equal and site.groups["c"].recovered
    changed("b")
    found["a new leader"] = site.told("b", site.groups["b"].lead(Token(2, "b", 1)))
    assert site.equal and site.groups["b"].is_leader
    return {
        what.replace(" ", "_"): {
            "seconds": round(cost.seconds, 3),
            "longest_step_ms": round(cost.longest_ms, 2),
            "octets": cost.octets,
            "messages": cost.messages,
            "largest_message": cost.largest,
            "octets_a_difference": round(cost.octets / (records if "started" in what else differ), 1),
        }
        for what, cost in found.items()
    }


def run_catchup(records: int, differ: int, place: Path | None) -> int:
    figures = measured(records, differ)
    table = Table("", *next(iter(figures.values())), title=f"{records} records, {differ} that differ")
    for what, row in figures.items():
        table.add_row(what.replace("_", " "), *map(str, row.values()))
    Console().print(table)
    keep(place, "catch-up", {"records": records, "differ": differ}, figures)
    return 0
