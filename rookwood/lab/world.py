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
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rookwood.lab.boxes import Box, Discovery, Ledger
from rookwood.lab.net import Relay, Weather
from rookwood.lab.nodes import DUTIES, LINK, LISTEN, Node, asked, figure_lines, settings_of
from rookwood.lab.traffic import (
    BOXES,
    CLASSES,
    LATE_WORTH,
    MOST_WAIT,
    QUEUE,
    SITES,
    SLOTS,
    SPEEDS,
    STRETCH,
    TRIES,
    Arrival,
    Score,
)

READY_LIMIT = 15.0  # seconds
GENTLE = 3.7  # from SIGTERM to SIGKILL, as the platform counts
UPGRADE_LIMIT = 21.0  # the longest deadline and a little more


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
        duties: bool = False,
    ) -> None:
        """`duties`: one dispatcher of a site lends for it, by a lease."""
        self._duties = duties
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
        if self._duties:
            members = [peer for peer in self.nodes if peer.site == node.site]
            lines += ["duties {", f"    listen {node.host}:{DUTIES}"]
            lines += [f"    member {peer.name} {peer.host}:{DUTIES}" for peer in members]
            lines += ["}"]
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
