"""A proving ground for duties: real dispatcher processes, a relay on each directed link, and a witness.

The witness is the relay of the service address. It knows nothing of the members but what they announce, and
judges from that record alone: which acts it accepted, with which token, when.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import statistics
import tempfile
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from rich.console import Console

from rookwood.duties import lease
from rookwood.duties.lease import Gate, Token
from rookwood.gateway.frames import Announce, Announced, FrameError, Splitter, encoded
from rookwood.lab.boxes import Discovery
from rookwood.lab.net import Relay, Server, Weather
from rookwood.lab.nodes import LINK, LISTEN, Node, asked, figure_lines, settings_of
from rookwood.lab.results import keep

READY_LIMIT = 20.0  # seconds
DUTIES = 7444  # port of a member's links
FAULTS = ("kill", "stop", "term", "cut", "one-way", "partial", "loss", "delay")


@dataclass(frozen=True, slots=True)
class Act:
    at: float  # seconds, by the witness
    token: Token
    address: str
    accepted: bool


class Witness:
    """The relay of the address, by `Announce`. Owns its gate and the record of all acts."""

    def __init__(self) -> None:
        self.server = Server(self._connection)
        self.gate, self.acts, self.address = Gate(), list[Act](), ""
        self.heard = asyncio.Event()  # an act was accepted since it was cleared

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        splitter = Splitter(4096)
        with contextlib.suppress(FrameError):
            while data := await reader.read(4096):
                for frame in splitter.feed(data):
                    if isinstance(frame, Announce):
                        writer.write(encoded(self._announced(frame)))

    def _announced(self, frame: Announce) -> Announced:
        token = Token(frame.term, frame.holder, frame.life)
        if frame.opens:
            self.gate, done = lease.opened(self.gate, token)
            return Announced(frame.serial, done, self.gate.seen)
        done = lease.accepts(self.gate, token)
        self.acts.append(Act(asyncio.get_running_loop().time(), token, frame.address, done))
        if done:
            self.address = frame.address
            self.heard.set()
        return Announced(frame.serial, done, self.gate.seen)

    @property
    def accepted(self) -> list[Act]:
        return [act for act in self.acts if act.accepted]

    @property
    def holder(self) -> str:
        done = self.accepted
        return done[-1].token.holder if done else ""

    async def next_holder(self, but: str, limit: float) -> str:
        """The first other than `but` whose act is accepted from now on."""
        async with asyncio.timeout(limit):
            while True:
                self.heard.clear()
                await self.heard.wait()
                if self.holder != but:
                    return self.holder

    def stale(self) -> int:
        """Accepted acts whose term is below one that was accepted before."""
        highest, found = 0, 0
        for act in self.accepted:
            found += act.token.term < highest
            highest = max(highest, act.token.term)
        return found

    def overlaps(self) -> int:
        """Tokens that were accepted again after another one was."""
        seen, last, found = set[Token](), None, 0
        for act in self.accepted:
            found += act.token != last and act.token in seen
            seen.add(act.token)
            last = act.token
        return found

    def gaps(self) -> list[tuple[float, str, str]]:
        """Between the last act of one holder and the first of the next: seconds, and both."""
        acts = self.accepted
        return [
            (b.at - a.at, a.token.holder, b.token.holder)
            for a, b in zip(acts, acts[1:], strict=False)
            if a.token.holder != b.token.holder
        ]


class Ground:
    """Owns the processes, the links between them, the discovery and the witness, from `start` to `close`."""

    def __init__(self, count: int, seed: int, lease_ms: int) -> None:
        self.names = [f"m{n}" for n in range(count)]
        self.seed, self.lease_ms = seed, lease_ms
        self.witness, self._discovery = Witness(), Discovery()
        self._folder = tempfile.TemporaryDirectory(prefix="rookwood-ground-")
        net = (100 + os.getpid() // 250 % 100, 1 + os.getpid() % 250)  # no two grounds on one net
        folder = Path(self._folder.name)
        self.nodes = dict[str, Node]()
        for n, name in enumerate(self.names):
            host = f"127.{net[0]}.{net[1]}.{n + 101}"
            self.nodes[name] = Node(name, "here", host, folder / f"{name}.json", folder / f"{name}.conf")
        self.weather = {(a, b): Weather() for a in self.names for b in self.names if a != b}  # a speaks to b
        self._relays: list[Relay] = []
        self.stopped: set[str] = set()

    @property
    def log(self) -> Path:
        return Path(self._folder.name) / "members.log"

    async def start(self) -> None:
        await self._discovery.server.start()
        await self.witness.server.start()
        for name, node in self.nodes.items():
            links = {name: f"{node.host}:{DUTIES}"}
            for other, peer in self.nodes.items():
                if other != name:
                    weather = self.weather[name, other]
                    relay = Relay(peer.host, DUTIES, weather, self.seed * 100 + len(self._relays))
                    await relay.server.start()
                    self._relays.append(relay)
                    links[other] = relay.server.address
            self._configure(node, links)
        for node in self.nodes.values():
            node.start(self.log)
        async with asyncio.timeout(READY_LIMIT):
            for node in self.nodes.values():
                await self.ready(node)

    def _configure(self, node: Node, links: dict[str, str]) -> None:
        told: dict[str, Any] = {
            "name": node.name,
            "listen": f"{node.host}:{LISTEN}",
            "discovery": self._discovery.server.address,
            "seed": "1",
            "known": self._discovery.whole(),
            "settings": settings_of(len(self.nodes), "here", give_up=1.0),
        }
        node.config.write_text(json.dumps(told))
        assert node.conf
        lines = ["site here", "log-format json", "gateway {", f"    listen {node.host}:{LINK}"]
        lines += [f"    name {node.name}", "    plaintext yes", "}", "duties {"]
        lines += [f"    listen {node.host}:{DUTIES}", f"    lease {self.lease_ms}ms"]
        lines += [f"    member {name} {address}" for name, address in links.items()]
        lines += [f"    relay {self.witness.server.address}", f"    address {node.host}:{LISTEN}", "}"]
        node.conf.write_text("\n".join(lines) + "\n")

    async def ready(self, node: Node) -> None:
        while True:
            if node.process and node.process.poll() is not None:
                raise RuntimeError(f"{node.name} ended with {node.process.returncode}:\n{self.tail()}")
            with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
                if (await asked(node.host, node.mgmt, "/ops/readiness"))[0] == 200:
                    return
            await asyncio.sleep(0.05)

    def tail(self, lines: int = 12) -> str:
        return "\n".join(self.log.read_text().splitlines()[-lines:]) if self.log.exists() else ""

    async def figures(self, name: str) -> dict[str, float]:
        node = self.nodes[name]
        return dict(figure_lines((await asked(node.host, node.mgmt, "/ops/stats"))[1]))

    async def close(self) -> None:
        for name in list(self.stopped):
            self.go_on(name)
        for node in self.nodes.values():
            node.stop()
        for part in (self.witness.server, self._discovery.server, *(relay.server for relay in self._relays)):
            part.close()
        await asyncio.sleep(0.05)
        self._folder.cleanup()

    async def serves(self, holder: str, acts: int) -> None:
        """Returns once this one has acted so often from now on. Raises where another acts."""
        before = len(self.witness.acts)
        async with asyncio.timeout(READY_LIMIT):
            while len(self.witness.acts) < before + acts:
                self.witness.heard.clear()
                await self.witness.heard.wait()
        if found := {act.token.holder for act in self.witness.acts[before:]} - {holder}:
            raise AssertionError(f"{found} acted, not {holder} alone")

    # ---- faults ----

    def kill(self, name: str) -> None:
        if name in self.stopped:
            self.go_on(name)
        self.nodes[name].stop()

    def signal(self, name: str, number: signal.Signals) -> None:
        process = self.nodes[name].process
        if process and process.poll() is None:
            process.send_signal(number)

    def stop(self, name: str) -> None:
        self.signal(name, signal.SIGSTOP)
        self.stopped.add(name)

    def go_on(self, name: str) -> None:
        self.signal(name, signal.SIGCONT)
        self.stopped.discard(name)

    async def again(self, name: str) -> None:
        """A process that has ended, or will, starts anew with everything forgotten."""
        node = self.nodes[name]
        if node.process:
            await asyncio.to_thread(node.process.wait, READY_LIMIT)
        node.start(self.log)
        async with asyncio.timeout(READY_LIMIT):
            await self.ready(node)

    def cut(self, pairs: Iterator[tuple[str, str]] | list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.weather[pair].cut = True

    def heal(self) -> None:
        for weather in self.weather.values():
            weather.cut, weather.loss, weather.double = False, 0.0, 0.0
            weather.delay = weather.jitter = 0.0

    def both_ways(self, name: str) -> list[tuple[str, str]]:
        return [pair for pair in self.weather if name in pair]


@dataclass(slots=True)
class Series:
    """One play's troubles, each with what came of it."""

    ground: Ground
    rng: random.Random
    after: dict[str, list[float]] = field(default_factory=dict)  # by fault: seconds to the next
    schedule: list[str] = field(default_factory=list)

    async def trouble(self, fault: str) -> None:
        ground, lease_s = self.ground, self.ground.lease_ms / 1000
        loop = asyncio.get_running_loop()
        holder = ground.witness.holder
        others = [name for name in ground.names if name != holder]
        self.schedule.append(f"{fault} {holder}")
        began = loop.time()
        match fault:
            case "kill":
                ground.kill(holder)
            case "stop":
                ground.stop(holder)
            case "term":
                ground.signal(holder, signal.SIGTERM)
            case "cut":
                ground.cut(ground.both_ways(holder))
            case "one-way":  # it is heard no more, and hears
                ground.cut([(holder, other) for other in others])
            case "partial":  # two that hear all others, and not one another
                other = self.rng.choice(others)
                ground.cut([(holder, other), (other, holder)])
            case "loss":
                for weather in ground.weather.values():
                    weather.loss, weather.double = 0.2, 0.1
            case "delay":
                for weather in ground.weather.values():
                    weather.delay, weather.jitter = 0.05 * lease_s, 0.1 * lease_s
        if fault in ("partial", "loss", "delay"):
            await asyncio.sleep(4 * lease_s)
        else:
            await ground.witness.next_holder(holder, 20 * lease_s)
            self.after.setdefault(fault, []).append(loop.time() - began)
        if fault == "stop":
            await asyncio.sleep(lease_s * self.rng.random())
            ground.go_on(holder)
        if fault in ("kill", "term"):
            await ground.again(holder)
        ground.heal()
        await asyncio.sleep(lease_s * (2 + self.rng.random()))  # the one that started may vote again


@dataclass(frozen=True, slots=True)
class Plan:
    nodes: int
    seed: int
    kills: int  # troubles of all kinds
    faults: tuple[str, ...]
    lease_ms: int


def run_duties(plan: Plan, place: Path | None) -> int:
    """Exit code 3 where a rule was broken."""
    console = Console()
    figures = asyncio.run(_series(plan))
    schedule = figures.pop("schedule")
    console.print(f"seed {plan.seed}: {', '.join(schedule)}")
    for name, value in figures.items():
        console.print(f"{name}: {value}")
    keep(place, "duties", asdict(plan), figures | {"schedule": schedule})
    return 3 if figures["stale_accepted"] or figures["overlaps"] else 0


async def _series(plan: Plan) -> dict[str, Any]:
    ground, rng = Ground(plan.nodes, plan.seed, plan.lease_ms), random.Random(plan.seed)
    series, loop = Series(ground, rng), asyncio.get_running_loop()
    try:
        await ground.start()
        await ground.witness.next_holder("", READY_LIMIT)
        began = loop.time()
        chosen = [plan.faults[n % len(plan.faults)] for n in range(plan.kills)]
        rng.shuffle(chosen)
        for fault in chosen:
            await series.trouble(fault)
        minutes = (loop.time() - began) / 60
        letters = sum([(await ground.figures(name))["duties.letters"] for name in ground.names])
        witness = ground.witness
        gaps = [1000 * gap for gap, _, _ in witness.gaps()]
        handed = [1000 * s for s in series.after.get("term", [])]
        return {
            "acts": len(witness.accepted),
            "refused": len(witness.acts) - len(witness.accepted),
            "stale_accepted": witness.stale(),
            "overlaps": witness.overlaps(),
            "gap_ms_median": round(statistics.median(gaps), 1) if gaps else None,
            "gap_ms_max": round(max(gaps), 1) if gaps else None,
            "handover_ms_median": round(statistics.median(handed), 1) if handed else None,
            "changes": len(gaps),
            "changes_a_minute": round(len(gaps) / minutes, 1),
            "letters_since_last_starts": letters,
            "after_ms": {fault: [round(1000 * s) for s in spans] for fault, spans in series.after.items()},
            "schedule": series.schedule,
        }
    except Exception:
        Console(stderr=True).print(f"seed {plan.seed}, after {', '.join(series.schedule)}:\n{ground.tail()}")
        raise
    finally:
        await ground.close()
