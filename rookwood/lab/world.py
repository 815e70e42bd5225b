"""Two sites on loopback: boxes, discoveries, dispatcher processes, links through relays, and clients.

Clients, boxes and relays live in this process, dispatchers in their own, started as an operator would.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from rookwood.lab.boxes import GRACE, Box, Discovery, Ledger
from rookwood.lab.net import Relay, Weather

READY_LIMIT = 15.0  # seconds
GENTLE = 3.7  # from SIGTERM to SIGKILL, as the platform counts
UPGRADE_LIMIT = 21.0  # the longest deadline and a little more
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


LISTEN, MGMT, LINK = 3000, 9901, 7443  # ports of every node


@dataclass(slots=True, eq=False)
class Node:
    """One dispatcher process."""

    name: str
    site: str
    host: str  # an address of its own on loopback: ports there collide with nobody's
    config: Path
    conf: Path | None
    process: subprocess.Popen[bytes] | None = None
    mgmt: int = MGMT
    old: subprocess.Popen[bytes] | None = None  # amid an upgrade: the process before
    dead_until: float = 0.0  # by the event loop's clock

    def start(self, log: Path) -> None:
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "ROOKWOOD_", "TMPDIR"))}
        environ["PROXY_CONFIG"] = str(self.config)
        environ["PROXY_MGMT"] = f"{self.host}:{self.mgmt}"
        environ["TMPDIR"] = str(self.config.parent)
        if self.conf:
            environ["ROOKWOOD_CONF"] = str(self.conf)
        with log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rookwood"],
                env=environ,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
            )

    def stop(self) -> None:
        for process in (self.process, self.old):
            if process and process.poll() is None:
                process.kill()
                process.wait()


async def asked(host: str, port: int, path: str, method: str = "GET") -> tuple[int, str]:
    """One call of a second address."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n".encode())
        text = (await asyncio.wait_for(reader.read(), 2.0)).decode()
        return int(text.split()[1]), text.partition("\r\n\r\n")[2]
    finally:
        writer.close()


class NotReadError(ConnectionError):
    """A kept connection was closed as the request went out on it: it goes out once more, on a new one."""


class World:
    """Owns everything of one play, from `start` to `close`."""

    def __init__(
        self,
        seed: int,
        mode: str,
        loss: float,
        delay: float,
        dispatchers: int = 2,
        boxes: int = BOXES,
        gateway: str = "",
        store: str = "",
        give_up: float = math.inf,
    ) -> None:
        self.mode, self._seed, self._each, self._boxes_each = mode, seed, dispatchers, boxes
        self._more = gateway  # further lines of the gateway section
        self._store = store  # lines of the store section
        self._give_up = give_up  # seconds, for classes that have longer
        self.ledger, self.score = Ledger(), Score()
        self.weather = Weather(loss, delay, jitter=delay / 2, double=loss / 2)
        self.boxes = [
            Box(f"{site[0]}-{n}", site, SLOTS, SPEEDS[n % len(SPEEDS)], QUEUE, self.ledger)
            for site in SITES
            for n in range(boxes)
        ]
        self.discovery = {site: Discovery() for site in SITES}
        self.nodes: list[Node] = []
        self.relays: list[Relay] = []
        self.taken = 0  # arrivals so far
        self._folder = tempfile.TemporaryDirectory(prefix="rookwood-lab-")
        self._idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self._random = random.Random(seed)
        pid = os.getpid()  # no two processes play on one net
        self._net = (100 + pid // 250 % 100, 1 + pid % 250)

    # ---- set-up ----

    async def start(self) -> None:
        for box in self.boxes:
            await box.server.start()
        for site, discovery in self.discovery.items():
            await discovery.server.start()
            discovery.say(*self._entries(site))
        self._plan_nodes()
        for node in self.nodes:
            await self._configure(node)
        for node in self.nodes:
            node.start(self.log)
        async with asyncio.timeout(READY_LIMIT):
            for node in self.nodes:
                while not await self._ready(node):
                    if node.process and node.process.poll() is not None:
                        raise RuntimeError(
                            f"{node.name} ended with {node.process.returncode}:\n{self.tail()}"
                        )
                    await asyncio.sleep(0.05)

    @property
    def log(self) -> Path:
        return Path(self._folder.name) / "dispatchers.log"

    def tail(self, lines: int = 12) -> str:
        return "\n".join(self.log.read_text().splitlines()[-lines:]) if self.log.exists() else ""

    def _entries(self, site: str) -> list[dict[str, object]]:
        pool = {"az": "pool"} if self.mode == "pooled" else {}
        return [box.entry() | pool for box in self.boxes if self._listed(box, site)]

    def _plan_nodes(self) -> None:
        folder = Path(self._folder.name)
        for site in SITES:
            for n in range(self._each):
                name = f"{site[0]}{n}"
                conf = folder / f"{name}.conf" if self.mode == "on" or self._store else None
                host = f"127.{self._net[0]}.{self._net[1]}.{len(self.nodes) + 1}"
                self.nodes.append(Node(name, site, host, folder / f"{name}.json", conf))

    async def _configure(self, node: Node) -> None:
        count = 2 * self._each if self.mode == "pooled" else self._each
        settings = settings_of(count, "pool" if self.mode == "pooled" else node.site, self._give_up)
        told: dict[str, Any] = {
            "name": node.name,
            "listen": f"{node.host}:{LISTEN}",
            "discovery": self.discovery[node.site].server.address,
            "seed": f"{self._seed * 1000 + len(self.relays):x}",
            "limits": {"sockets": 1024, "memory_mb": 192},
            "known": self.discovery[node.site].whole(),
            "settings": settings,
        }
        node.config.write_text(json.dumps(told))
        if not node.conf:
            return
        if self._store:
            node.conf.write_text(f"log-format json\nstore {{\n{self._store}\n}}\n")
            return
        lines = [f"site {node.site}", "log-format json", "gateway {", f"    listen {node.host}:{LINK}"]
        lines += [f"    name {node.name}", "    plaintext yes", self._more, "}"]
        for site in SITES:
            if site == node.site:
                continue
            lines += [f"site {site} {{"]
            for peer in self.nodes:
                if peer.site == site:
                    relay = Relay(peer.host, LINK, self.weather, self._seed * 100 + len(self.relays))
                    await relay.server.start()
                    self.relays.append(relay)
                    lines += [f"    peer {peer.name} 127.0.0.1:{relay.server.port}"]
            lines += ["}"]
        node.conf.write_text("\n".join(lines) + "\n")

    async def _ready(self, node: Node) -> bool:
        with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
            return (await asked(node.host, node.mgmt, "/ops/readiness"))[0] == 200
        return False

    async def close(self) -> None:
        for node in self.nodes:
            node.stop()
        parts: list[Relay | Box | Discovery] = [*self.relays, *self.boxes, *self.discovery.values()]
        for part in parts:
            part.server.close()
        for kept in self._idle.values():
            for _, writer in kept:
                writer.close()
        await asyncio.sleep(0.05)
        self._folder.cleanup()

    # ---- traffic ----

    async def play(self, arrivals: list[Arrival], tick: Callable[[float], None] | None = None) -> None:
        """Open loop: an arrival does not wait for the answers before it."""
        loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()
        began = loop.time()
        for arrival in arrivals:
            while (wait := began + arrival.at - loop.time()) > 0:
                await asyncio.sleep(min(wait, 0.1))
                if tick:
                    tick(loop.time() - began)
            self.taken += 1
            tasks.add(asyncio.create_task(self._client(arrival)))
        while pending := {task for task in tasks if not task.done()}:
            await asyncio.wait(pending, timeout=0.1)
            if tick:
                tick(loop.time() - began)

    async def _client(self, arrival: Arrival) -> None:
        loop, kind = asyncio.get_running_loop(), arrival.kind
        began = loop.time()
        in_time = began + kind.aim + STRETCH * arrival.work
        nodes = [node for node in self.nodes if self.mode == "pooled" or node.site == arrival.site]
        how = "refused"
        for attempt in range(TRIES):
            request_id = f"{arrival.job}.{attempt}"
            node = self._random.choice(nodes)
            try:
                async with asyncio.timeout(kind.give_up):
                    try:
                        status, headers = await self._ask(node, arrival, request_id, kind.give_up)
                    except NotReadError:
                        if loop.time() < node.dead_until:
                            raise
                        status, headers = await self._ask(node, arrival, request_id, kind.give_up, anew=True)
            except TimeoutError:
                how = "unanswered"
                break
            except (OSError, asyncio.IncompleteReadError):
                # By the death of a dispatcher or, where it lives, by its fault.
                how = "broken" if loop.time() < node.dead_until else "lost"
                break
            if status == 200:
                late = loop.time() > in_time
                how = "late" if late else "in time"
                box = self.ledger.box_time.get(request_id)
                if box is not None and attempt == 0:
                    self.score.overhead.append((request_id in self.ledger.crossed, loop.time() - began - box))
                break
            how = "refused" if status in (429, 503) else "failed"
            if how == "failed":
                break
            wait = min(MOST_WAIT, float(headers.get("retry-after", 0.5)))
            if attempt + 1 < TRIES:
                self.score.retries += 1
                await asyncio.sleep(wait * self._random.uniform(1.0, 1.2))
        self.score.ended(arrival, how, {"in time": 1.0, "late": LATE_WORTH}.get(how, 0.0))

    async def _ask(
        self, node: Node, arrival: Arrival, request_id: str, timeout: float, anew: bool = False
    ) -> tuple[int, dict[str, str]]:
        body = json.dumps({"work": round(arrival.work, 4), "slots": arrival.slots}).encode()
        head = (
            f"POST /{arrival.kind.name}?k={arrival.key} HTTP/1.1\r\nHost: lab\r\nRequest-Id: {request_id}\r\n"
            f"Request-Timeout: {timeout:.3f}\r\nRequest-Info: slots={arrival.slots}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        kept = self._idle.setdefault(node.host, [])
        old = bool(kept) and not anew
        reader, writer = kept.pop() if old else await asyncio.open_connection(node.host, LISTEN)
        try:
            writer.write(head.encode() + body)
            try:
                text = (await reader.readuntil(b"\r\n\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                if old and not getattr(error, "partial", b""):
                    raise NotReadError from None
                raise
            start, *lines = text.rstrip().split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
            await reader.readexactly(int(headers.get("content-length", 0)))
        except BaseException:
            writer.close()
            raise
        if headers.get("connection") == "close":
            writer.close()
        else:
            kept.append((reader, writer))
        return int(start.split()[1]), headers

    # ---- troubles ----

    def drain(self, box: Box, news_after: float) -> None:
        """The other site hears of it now, the box's own site later."""
        loop = asyncio.get_running_loop()
        box.told_near, box.state = loop.time() if self.mode == "on" else None, "draining"
        for site in SITES:
            if site != box.site and self._listed(box, site):
                self._say(site, box)
        loop.call_later(news_after, self._say, box.site, box)

    def back(self, box: Box) -> None:
        box.state, box.told_near = "up", None
        for site in SITES:
            if self._listed(box, site):
                self._say(site, box)

    def _say(self, site: str, box: Box) -> None:
        self.discovery[site].say(box.entry() | ({"az": "pool"} if self.mode == "pooled" else {}))

    def _listed(self, box: Box, site: str) -> bool:
        return self.mode != "off" or box.site == site

    async def restart(self, node: Node, gently: bool, down: float) -> None:
        """Kills a dispatcher, after a SIGTERM if gently, and starts it again."""
        loop, process = asyncio.get_running_loop(), node.process
        assert process
        node.dead_until = float("inf")
        if gently:
            process.terminate()
            await asyncio.sleep(GENTLE)
        process.kill()
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(down)
        node.start(self.log)
        async with asyncio.timeout(READY_LIMIT):
            while not await self._ready(node):
                await asyncio.sleep(0.05)
        node.dead_until = loop.time() + 0.5  # who connected before may hear of it only now

    async def upgrade(self, node: Node) -> None:
        """Starts the next process beside the running one, as an operator does; that one is told to end."""
        node.old, node.mgmt = node.process, node.mgmt + 1
        node.start(self.log)
        async with asyncio.timeout(READY_LIMIT):
            while not await self._ready(node):
                await asyncio.sleep(0.05)
        if node.old:
            node.old.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(node.old.wait, UPGRADE_LIMIT)
            node.old.kill()

    def reload(self, node: Node) -> None:
        if node.process:
            node.process.send_signal(signal.SIGHUP)

    async def figures(self) -> dict[str, dict[str, float]]:
        found: dict[str, dict[str, float]] = {}
        for node in self.nodes:
            with contextlib.suppress(OSError, TimeoutError):
                _, text = await asked(node.host, node.mgmt, "/ops/stats")
                found[node.name] = dict(figure_lines(text))
        return found

    @property
    def double_runs(self) -> int:
        """Jobs that must not run twice and did, and attempts that came while another was out."""
        safe = {a.name for a in CLASSES if a.safe}
        doubled = sum(1 for job, n in self.ledger.runs.items() if n > 1 and self.kinds[job] not in safe)
        return doubled + self.ledger.at_once

    kinds: dict[str, str] = {}  # noqa: RUF012 - set by whoever plays


def figure_lines(text: str) -> Iterator[tuple[str, float]]:
    for line in text.splitlines():
        name, _, value = line.removeprefix("dispatcher.").partition(":")
        yield name, float(value.partition("|")[0])


def settings_of(dispatchers: int, zone: str, give_up: float = math.inf) -> dict[str, Any]:
    micro = 1_000_000
    return {
        "balancers": dispatchers,
        "locality": zone,
        "tick": 4000,
        "discovery": "automatic",
        "bounds": {
            "attempts-cap": 4,
            "cancel": True,
            "probes": True,
            "conn-idle": 60 * micro,
            "connect-timeout": 150_000,
            "retry-after": True,
            "max-retry-after": int(MOST_WAIT * micro),
        },
        "load-report": {"how": "pull"},
        "rules": {"fall-multiple": 3.0, "overload-for": micro, "start-capacity": 0.31, "warm-up": 8 * micro},
        "lanes": [
            {
                "name": c.name,
                "repeat": "safe" if c.safe else "unsafe",
                "importance": c.worth,
                "aim": int(c.aim * micro),
                "give-up": int(min(give_up, c.give_up) * micro),
                "aim-stretch": STRETCH,
            }
            for c in CLASSES
        ],
    }


__all__ = ["CLASSES", "GRACE", "Arrival", "World", "carries", "traffic"]
