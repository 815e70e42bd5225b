"""The destination set: the kept list, and the watch on discovery that changes it."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import re
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum
from typing import Any

import h11

from rookwood.net.clock import EPOCH, Clock
from rookwood.net.http1 import TooLargeError, Wire
from rookwood.settings import InvalidSettingError, JsonReader

log = logging.getLogger(__name__)

CONNECT_LIMIT = timedelta(seconds=1)
FIRST_WORD_LIMIT = timedelta(seconds=1)  # the agent answers at once, or is down
SILENCE_LIMIT = timedelta(seconds=2.4)  # a watch says something every 2 s
PAUSE = timedelta(milliseconds=80)  # between tries; the agent is on this machine
ASKED_LIMIT = timedelta(seconds=2.1)  # a service that all ask in turn gives up by itself after 2 s
# A change counts as told 6 s after a watch fell silent, or after discovery had it and could be reached: a
# silence, a pause, a call that fails, another pause and a call that is answered at once fit into that.
LONGEST_PAUSE = timedelta(milliseconds=700)
MAX_LINE = 4 * 1024 * 1024
LATEST = 2.0**48  # milliseconds, some thousands of years on: a date can hold it
# A string is one match: what is in it nests nothing. One without an end is a match too, else it is tried anew
# at each quote in it, which takes the square of its length.
NESTING = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[{}\[\]]')


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class State(Enum):
    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    uid: str  # the same at every dispatcher, unlike the address
    address: str
    state: State
    zone: str
    kind: str
    cell: int
    capacity: float
    started_at: datetime | None  # None: long ago


@dataclass(frozen=True, slots=True)
class DestinationUpdate:
    revision: int
    is_full: bool  # the whole list, or just what changed
    endpoints: tuple[Endpoint, ...]


def address_of(text: str, key: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and int(port) < 65536):
        raise InvalidSettingError(key, f"not host:port: {text!r}")
    return Address(host.strip("[]"), int(port))


def endpoint_of(tree: JsonReader) -> Endpoint:
    booted, address = tree.get("boot_ms", float, 0.0), tree.get("endpoint", str)
    state = tree.enum_value("state", State)
    if state is not State.REMOVED:  # there is nothing to be reached at what is gone
        address_of(address, f"{tree.at}.endpoint")
    if booted > LATEST:
        raise tree.error("boot_ms", "out of range")
    return Endpoint(
        uid=tree.get("uid", str),
        address=address,
        state=state,
        zone=tree.get("az", str, ""),
        kind=tree.get("model", str, ""),
        cell=tree.get("pod_group", int, 0),
        capacity=tree.get("capacity_hint", float, 1.0),
        started_at=EPOCH + timedelta(milliseconds=booted) if booted else None,
    )


def destination_set_of(tree: JsonReader) -> DestinationUpdate:
    return DestinationUpdate(
        revision=tree.get("rev", int),
        is_full=tree.get("all", bool),
        endpoints=tuple(endpoint_of(item) for item in tree.items("targets")),
    )


class Pace:
    """When discovery is asked again after a call or a watch that ended.

    An agent on this machine answers at once and at no cost: after `PAUSE`. A service that all dispatchers
    ask serves a few calls a second, and its outage ends all watches in one moment. How full it is shows in
    how long a call took: the pause is drawn from up to half as much again, doubled by each failure in a row,
    so that those who come back arrive spread, and the less often the slower it answers."""

    def __init__(self, asked: bool, seed: int) -> None:
        self._asked, self._random = asked, random.Random(seed)
        self._failures = 0

    def after(self, took: timedelta, heard: bool) -> timedelta:
        """`took`: until the first word, or until the call failed. `heard`: it brought a list."""
        if not self._asked:
            return PAUSE
        self._failures = 0 if heard else min(self._failures + 1, 8)
        most: timedelta = min(LONGEST_PAUSE, max(PAUSE, took) * 1.5 * 2**self._failures)
        return PAUSE / 4 + (most - PAUSE / 4) * self._random.random()


class Destinations:
    """Holds the list as told, and owns the one watch that talks to discovery."""

    def __init__(
        self,
        clock: Clock,
        grace: timedelta,
        apply: Callable[[DestinationUpdate, bool], None],
        discovery: Address,
        asked: bool = False,
        seed: int = 0,
    ) -> None:
        """`asked`: discovery is one service for all dispatchers, and no agent on this machine."""
        self._pace = Pace(asked, seed)
        # What an agent gets when it is back counts as told at once: it is asked anew within the grace.
        self._first_word = ASKED_LIMIT if asked else max(PAUSE, min(FIRST_WORD_LIMIT, grace / 4))
        self._heard: datetime | None = None  # discovery's last sign of life: the list's age
        self._answered = clock.now()  # when the last call that was answered was
        self._clock, self._apply = clock, apply
        self._discovery, self._started = discovery, False
        self._foreign = False  # the list here came from another discovery
        self._watches: set[asyncio.Task[None]] = set()  # one, and those that are ending
        self._endpoints: dict[str, Endpoint] = {}
        self._stopped = set[str]()  # draining or gone
        # Others know of endpoints here as well, perhaps sooner: since when, by their word.
        self.exclusion_checks: list[Callable[[str], datetime | None]] = []
        self.revision = 0
        self.current = asyncio.Event()  # discovery has spoken since the start: the list is no longer old

    def update(self, told: DestinationUpdate, kept: bool = False) -> None:
        named = {endpoint.uid: endpoint for endpoint in told.endpoints}
        for endpoint in named.values():
            self._endpoints[endpoint.uid] = endpoint
            (self._stopped.discard if endpoint.state is State.UP else self._stopped.add)(endpoint.uid)
        if told.is_full:
            self._stopped |= self._endpoints.keys() - named.keys()
        heeded = tuple(self._heeded(endpoint) for endpoint in told.endpoints)
        self._apply(DestinationUpdate(told.revision, told.is_full, heeded), kept)
        self.revision = told.revision  # last: what could not be taken over is asked for again

    def _heeded(self, endpoint: Endpoint) -> Endpoint:
        if endpoint.state is State.UP and any(adviser(endpoint.uid) for adviser in self.exclusion_checks):
            return replace(endpoint, state=State.DRAINING)
        return endpoint

    def reapply(self, uids: Collection[str]) -> None:
        """What others say of these has changed."""
        named = tuple(self._heeded(self._endpoints[uid]) for uid in sorted(uids) if uid in self._endpoints)
        if named:
            self._apply(DestinationUpdate(self.revision, False, named), False)

    def address(self, uid: str) -> str:
        return self._endpoints[uid].address

    def accepts(self, uid: str) -> bool:
        """No grace: a change may count as told since long before it arrived here, as with an agent or a watch
        that was silent, or in a process that has just started."""
        stopped = uid in self._stopped or any(adviser(uid) for adviser in self.exclusion_checks)
        return uid in self._endpoints and not stopped

    def start(self) -> None:
        self._started = True
        self._watch()

    def _watch(self) -> None:
        task = asyncio.create_task(self.watch())
        self._watches.add(task)
        task.add_done_callback(self._watches.discard)

    def move(self, discovery: Address) -> None:
        """Follows another discovery. What is known stays in force until that one has spoken."""
        if discovery == self._discovery:
            return
        self._discovery, self._foreign = discovery, True
        for task in self._watches:
            task.cancel()
        if self._started:
            self._watch()

    async def close(self) -> None:
        tasks = list(self._watches)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def watch(self) -> None:
        heard = True
        while True:
            begun, before = self._clock.now(), self._heard
            try:
                await self._follow()
                log.info("the discovery watch ended; asking again")
            except (OSError, h11.RemoteProtocolError, TooLargeError, InvalidSettingError) as error:
                # Tried a few times a second, an outage is told twice: by the watch and a first call in vain.
                level = logging.WARNING if heard or self._heard is not before else logging.DEBUG
                words = type(error).__name__, str(error) or "silent"
                log.log(level, "the discovery watch broke: %s: %s", *words)
            except Exception:
                log.exception("a change of the destination set failed")
            heard = self._heard is not before
            took = self._answered - begun if heard else self._clock.now() - begun
            await asyncio.sleep(self._pace.after(took, heard).total_seconds())

    def figures(self) -> Iterator[str]:
        """How old the list is; while discovery was never heard nothing is said of it."""
        if self._heard:
            yield f"discovery_age_ms:{(self._clock.now() - self._heard) // timedelta(milliseconds=1)}|g"

    async def _follow(self) -> None:
        async with asyncio.timeout(min(CONNECT_LIMIT, self._first_word).total_seconds()):
            reader, writer = await asyncio.open_connection(self._discovery.host, self._discovery.port)
        wire = Wire(h11.Connection(h11.CLIENT), reader, writer)
        try:
            if self._foreign:
                # Its revisions need not continue those known here: what changed since one says nothing.
                async with asyncio.timeout(self._first_word.total_seconds()):
                    await self._ask(wire, "/api/targets")
                    told = destination_set_of(JsonReader(parsed(await wire.body(MAX_LINE))))
                if not told.is_full:
                    raise InvalidSettingError("all", "false where the whole list was asked for")
                self.update(told)
                self._foreign = False
                wire.http.start_next_cycle()
            async with asyncio.timeout(self._first_word.total_seconds()):
                await self._ask(wire, f"/api/targets?follow=1&since={self.revision}")
            self._answered = self._clock.now()
            rest, gathered = b"", Gathered()
            while True:
                async with asyncio.timeout(SILENCE_LIMIT.total_seconds()):
                    event = await wire.event()
                if not isinstance(event, h11.Data):
                    return
                self._heard = self._clock.now()
                *lines, rest = (rest + bytes(event.data)).split(b"\n")
                for line in lines:
                    if whole := gathered.add(line.strip()):
                        self.update(destination_set_of(JsonReader(parsed(whole))))
                if not rest and not gathered.size:
                    self.current.set()
                if len(rest) + gathered.size > MAX_LINE:
                    raise TooLargeError("discovery sent a line without an end")
        finally:
            await wire.close()

    async def _ask(self, wire: Wire, target: str) -> None:
        headers = [("Host", str(self._discovery)), ("Accept", "application/json")]
        await wire.write(
            wire.encode(h11.Request(method="GET", target=target, headers=headers), h11.EndOfMessage())
        )
        while isinstance(event := await wire.event(), h11.InformationalResponse):
            pass
        if not isinstance(event, h11.Response) or event.status_code != 200:
            raise ConnectionError("discovery has no list for us")


class Gathered:
    """Lines up to the end of an object: lists may come indented, over several lines."""

    def __init__(self) -> None:
        self._parts, self.size, self._depth = list[bytes](), 0, 0

    def add(self, line: bytes) -> bytes:
        """The whole object, once its last line has come. An empty line only says that the watch lives."""
        if self.size and not line:
            raise InvalidSettingError("line", "ended amid an object")
        self._parts.append(line)
        self.size += len(line)
        self._depth += sum((found in b"{[") - (found in b"]}") for found in NESTING.findall(line))
        if self._depth > 0:
            return b""
        whole = b"".join(self._parts)
        self._parts, self.size, self._depth = [], 0, 0
        return whole


def parsed(line: bytes) -> Any:
    try:
        return json.loads(line)
    except (ValueError, RecursionError) as error:  # as deep as the sender likes
        raise InvalidSettingError("line", f"not JSON: {error}") from None
