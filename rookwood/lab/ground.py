"""A proving ground for duties: real dispatcher processes, a relay on each directed link, and a witness.

The witness is the relay of the service address. It knows nothing of the members but what they announce, and
judges from that record alone: which acts it accepted, with which token, when.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import statistics
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rookwood.duties import lease
from rookwood.duties.lease import Gate, Token
from rookwood.gateway.frames import Announce, Announced, FrameError, Splitter, encoded
from rookwood.lab.boxes import Box, Discovery, Ledger
from rookwood.lab.net import Relay, Server, Weather
from rookwood.lab.nodes import DUTIES, LINK, LISTEN, Node, asked, figure_lines, settings_of

READY_LIMIT = 20.0  # seconds


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
        self.moved: Callable[[], None] = lambda: None

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
            self.gate, done = lease.open_gate(self.gate, token)
            return Announced(frame.serial, done, self.gate.seen_term)
        done = lease.accepts(self.gate, token)
        self.acts.append(Act(asyncio.get_running_loop().time(), token, frame.address, done))
        if done:
            before, self.address = self.address, frame.address
            self.heard.set()
            if before != frame.address:
                self.moved()
        return Announced(frame.serial, done, self.gate.seen_term)

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

    def __init__(
        self, count: int, seed: int, lease_ms: int, boxes: int = 0, store: str = "", more: str = ""
    ) -> None:
        """`store`: lines of that section; `more`: of the section `duties`."""
        self.give_up = 1.0  # seconds, of a client
        self.names = [f"m{n}" for n in range(count)]
        self.seed, self.lease_ms, self.store, self._more = seed, lease_ms, store, more
        self.ledger = Ledger()
        self.boxes = [Box(f"b-{n}", "b", 8, 1.0, 100, self.ledger) for n in range(boxes)]
        self.list, self.listed = 1, list(self.names)  # the members' list and its number
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
        self._links: dict[str, dict[str, str]] = {}  # by member: where it finds each
        self.stopped: set[str] = set()

    @property
    def log(self) -> Path:
        return Path(self._folder.name) / "members.log"

    async def start(self) -> None:
        for box in self.boxes:
            await box.server.start()
        await self._discovery.server.start()
        self._discovery.say(*(box.entry() for box in self.boxes))
        await self.witness.server.start()
        for name, node in self.nodes.items():
            links = self._links[name] = {name: f"{node.host}:{DUTIES}"}
            for other, peer in self.nodes.items():
                if other != name:
                    weather = self.weather[name, other]
                    relay = Relay(peer.host, DUTIES, weather, self.seed * 100 + len(self._relays))
                    await relay.server.start()
                    self._relays.append(relay)
                    links[other] = relay.server.address
        for name in self.names:
            self.configure(name)
        for name in self.listed:
            self.nodes[name].start(self.log)
        async with asyncio.timeout(READY_LIMIT):
            for name in self.listed:
                await self.ready(self.nodes[name])

    def configure(self, name: str) -> None:
        """Writes its files anew, by the list as it is now."""
        node = self.nodes[name]
        links = {other: address for other, address in self._links[name].items() if other in self.listed}
        told: dict[str, Any] = {
            "name": node.name,
            "listen": f"{node.host}:{LISTEN}",
            "mgmt": f"{node.host}:{node.mgmt}",
            "discovery": self._discovery.server.address,
            "seed": "1",
            "known": self._discovery.whole(),
            "settings": settings_of(len(self.nodes), "here", give_up=self.give_up),
        }
        node.config.write_text(json.dumps(told))
        assert node.conf
        lines = ["site here", "log-format json", "gateway {", f"    listen {node.host}:{LINK}"]
        lines += [f"    name {node.name}", "    plaintext yes", "}", "duties {"]
        lines += [f"    listen {node.host}:{DUTIES}", f"    lease {self.lease_ms}ms", f"    list {self.list}"]
        lines += [self._more] if self._more else []
        lines += [f"    member {name} {address}" for name, address in links.items()]
        lines += [f"    relay {self.witness.server.address}", f"    address {node.host}:{LISTEN}", "}"]
        lines += [f"store {{\n{self.store}\n}}"] if self.store else []
        node.conf.write_text("\n".join(lines) + "\n")

    def told(self, box: Box) -> None:
        """Discovery tells of it again."""
        self._discovery.say(box.entry())

    async def call(self, name: str, path: str, method: str = "GET") -> tuple[int, str]:
        node = self.nodes[name]
        return await asked(node.host, node.mgmt, path, method)

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

    async def cost(self, seconds: float = 2.0) -> dict[str, float]:
        """Of a member on the mean, while nothing happens: messages, and its share of a core."""
        before = await self._spent()
        await asyncio.sleep(seconds)
        after = await self._spent()
        both = [(before[name], after[name]) for name in before if name in after]
        return {
            "messages_a_second": round(statistics.fmean(b[0] - a[0] for a, b in both) / seconds, 1),
            "cpu_share": round(statistics.fmean(b[1] - a[1] for a, b in both) / seconds, 4),
        }

    async def _spent(self) -> dict[str, tuple[float, float]]:
        """Messages sent, and seconds of a core, of each process that lives."""
        found, tick = dict[str, tuple[float, float]](), os.sysconf("SC_CLK_TCK")
        for name, node in self.nodes.items():
            if node.process and node.process.poll() is None:
                fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
                letters = (await self.figures(name))["duties.letters"]
                found[name] = letters, (int(fields[11]) + int(fields[12])) / tick
        return found

    async def close(self) -> None:
        for name in list(self.stopped):
            self.go_on(name)
        for node in self.nodes.values():
            node.stop()
        parts: list[Box | Relay] = [*self.boxes, *self._relays]
        for part in (self.witness.server, self._discovery.server, *(part.server for part in parts)):
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

    async def upgrade(self, name: str) -> None:
        """The next process is started beside the running one, which is told to end once that one serves."""
        node = self.nodes[name]
        node.old, node.mgmt = node.process, node.mgmt + 1
        self.configure(name)
        node.start(self.log)
        async with asyncio.timeout(READY_LIMIT):
            await self.ready(node)
        if node.old:
            node.old.terminate()
            await asyncio.to_thread(node.old.wait, READY_LIMIT)

    def cut(self, pairs: Iterator[tuple[str, str]] | list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.weather[pair].cut = True

    def heal(self) -> None:
        for weather in self.weather.values():
            weather.cut = weather.stuck = False
            weather.loss = weather.double = weather.delay = weather.jitter = weather.trickle = 0.0

    def both_ways(self, name: str) -> list[tuple[str, str]]:
        return [pair for pair in self.weather if name in pair]
