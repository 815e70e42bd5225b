"""The list of endpoints that requests may be sent to, and the watch on discovery that updates it."""

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
from rookwood.net.http1 import HttpStream, TooLargeError
from rookwood.settings import InvalidSettingError, JsonReader

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = timedelta(seconds=1)
FIRST_RESPONSE_TIMEOUT = timedelta(seconds=1)  # the local agent responds at once unless it is down
WATCH_IDLE_TIMEOUT = timedelta(seconds=2.4)  # discovery sends something on a watch every 2 s
RETRY_DELAY = timedelta(milliseconds=80)  # short, since the agent runs on this machine
SHARED_SERVICE_TIMEOUT = timedelta(seconds=2.1)  # a service shared by all dispatchers gives up after 2 s
# The platform assumes that a dispatcher knows a change 6 s after the last data on its watch, or 6 s after
# discovery had the change and could be reached. Into these 6 s fit an idle timeout, a delay, a failed call,
# another delay and a call that gets its response at once.
MAX_RETRY_DELAY = timedelta(milliseconds=700)
MAX_LINE = 4 * 1024 * 1024
MAX_TIMESTAMP_MS = 2.0**48  # thousands of years after 1970, yet within the range of `datetime`
# A string is one match, since brackets in it nest nothing. An unterminated string is a match too: otherwise
# the search would start again at each quote in it, in quadratic time.
NESTING_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[{}\[\]]')


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class State(Enum):
    """State of a worker in the destination list, by its name on the wire."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A worker as discovery lists it."""

    uid: str  # the same for all dispatchers, unlike the address
    address: str
    state: State
    zone: str
    kind: str
    cell: int
    capacity: float
    started_at: datetime | None  # None: too long ago to matter


@dataclass(frozen=True, slots=True)
class DestinationUpdate:
    """A full list of endpoints, or only those that changed."""

    revision: int
    is_full: bool  # otherwise `endpoints` has only the changes
    endpoints: tuple[Endpoint, ...]


def parse_address(text: str, key: str) -> Address:
    """Parse host:port; raises `InvalidSettingError` with the key."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and int(port) < 65536):
        raise InvalidSettingError(key, f"not host:port: {text!r}")
    return Address(host.strip("[]"), int(port))


def parse_endpoint(tree: JsonReader) -> Endpoint:
    """Parse one item of a list; raises `InvalidSettingError`."""
    boot_ms, address = tree.get("boot_ms", float, 0.0), tree.get("endpoint", str)
    state = tree.enum_value("state", State)
    if state is not State.REMOVED:  # a removed endpoint is not connected to, so its address may be invalid
        parse_address(address, f"{tree.at}.endpoint")
    if boot_ms > MAX_TIMESTAMP_MS:
        raise tree.error("boot_ms", "out of range")
    return Endpoint(
        uid=tree.get("uid", str),
        address=address,
        state=state,
        zone=tree.get("az", str, ""),
        kind=tree.get("model", str, ""),
        cell=tree.get("pod_group", int, 0),
        capacity=tree.get("capacity_hint", float, 1.0),
        started_at=EPOCH + timedelta(milliseconds=boot_ms) if boot_ms else None,
    )


def parse_destination_update(tree: JsonReader) -> DestinationUpdate:
    """Parse a message of discovery; raises `InvalidSettingError`."""
    return DestinationUpdate(
        revision=tree.get("rev", int),
        is_full=tree.get("all", bool),
        endpoints=tuple(parse_endpoint(item) for item in tree.items("targets")),
    )


class RetryPacer:
    """Decides how long to wait before calling discovery again after a call or a watch ended.

    An agent on this machine responds at once and at no cost, so the delay is always `RETRY_DELAY`. A service
    shared by all dispatchers handles only a few calls a second, and its outage ends all watches at once. The
    duration of a call shows the load of the service: the delay is drawn at random up to 1.5 times that
    duration, doubled with each failure in a row. This spreads the dispatchers that come back, and the slower
    the service is, the less often they call it.
    """

    def __init__(self, shared_service: bool, seed: int) -> None:
        self._shared_service, self._random = shared_service, random.Random(seed)
        self._failures = 0

    def delay_after(self, took: timedelta, succeeded: bool) -> timedelta:
        """Return the delay after a call that `took` so long until its first response or its failure."""
        if not self._shared_service:
            return RETRY_DELAY
        self._failures = 0 if succeeded else min(self._failures + 1, 8)
        max_delay: timedelta = min(MAX_RETRY_DELAY, max(RETRY_DELAY, took) * 1.5 * 2**self._failures)
        return RETRY_DELAY / 4 + (max_delay - RETRY_DELAY / 4) * self._random.random()


class Destinations:
    """Keeps the list of endpoints, and owns the one watch on discovery.

    Each update is passed to `on_update`, with whether it is the cached list of the configuration file.
    """

    def __init__(
        self,
        clock: Clock,
        grace: timedelta,
        on_update: Callable[[DestinationUpdate, bool], None],
        discovery: Address,
        shared_service: bool = False,
        seed: int = 0,
    ) -> None:
        """`shared_service`: discovery is one service for all dispatchers instead of an agent per machine."""
        self._pacer = RetryPacer(shared_service, seed)
        # An agent that is back is assumed to have passed on at once what it receives, so a call that hangs is
        # given up early enough for another one within the grace.
        self._first_response_timeout = (
            SHARED_SERVICE_TIMEOUT
            if shared_service
            else max(RETRY_DELAY, min(FIRST_RESPONSE_TIMEOUT, grace / 4))
        )
        self._received_at: datetime | None = None  # when discovery last sent something; gives the list's age
        self._last_response_at = clock.now()  # when discovery last responded to the opening of a watch
        self._clock, self._on_update = clock, on_update
        self._discovery, self._started = discovery, False
        self._needs_full_list = False  # the list in force came from another discovery service
        self._watches: set[asyncio.Task[None]] = set()  # the current one, and those that are ending
        self._endpoints: dict[str, Endpoint] = {}
        self._unavailable = set[str]()  # draining or removed
        # Extensions may know sooner that an endpoint must not be used: a check returns since when, or None.
        self.exclusion_checks: list[Callable[[str], datetime | None]] = []
        self.revision = 0
        self.up_to_date = asyncio.Event()  # set once discovery has sent its state since the start

    def apply_update(self, update: DestinationUpdate, is_cached: bool = False) -> None:
        """Apply an update of discovery or, if `is_cached`, the list of the configuration file."""
        listed = {endpoint.uid: endpoint for endpoint in update.endpoints}
        for endpoint in listed.values():
            self._endpoints[endpoint.uid] = endpoint
            (self._unavailable.discard if endpoint.state is State.UP else self._unavailable.add)(endpoint.uid)
        if update.is_full:
            self._unavailable |= self._endpoints.keys() - listed.keys()
        endpoints = tuple(self._with_exclusions(endpoint) for endpoint in update.endpoints)
        self._on_update(DestinationUpdate(update.revision, update.is_full, endpoints), is_cached)
        self.revision = update.revision  # set last, so that an update that failed is requested again

    def _with_exclusions(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint as draining if one of the exclusion checks excludes it."""
        if endpoint.state is State.UP and any(check(endpoint.uid) for check in self.exclusion_checks):
            return replace(endpoint, state=State.DRAINING)
        return endpoint

    def reapply(self, uids: Collection[str]) -> None:
        """Pass these endpoints on again, after the result of an exclusion check has changed."""
        changed = tuple(
            self._with_exclusions(self._endpoints[uid]) for uid in sorted(uids) if uid in self._endpoints
        )
        if changed:
            self._on_update(DestinationUpdate(self.revision, False, changed), False)

    def address(self, uid: str) -> str:
        """Return the address of an endpoint, which may be draining or removed."""
        return self._endpoints[uid].address

    def accepts(self, uid: str) -> bool:
        """Whether requests may be sent to an endpoint now.

        There is no grace after a change: the platform may have assumed long ago that this dispatcher knows
        it, if the agent or the watch had sent nothing for a while or this process has just started.
        """
        excluded = uid in self._unavailable or any(check(uid) for check in self.exclusion_checks)
        return uid in self._endpoints and not excluded

    def start(self) -> None:
        """Start the watch on discovery."""
        self._started = True
        self._start_watch()

    def _start_watch(self) -> None:
        task = asyncio.create_task(self.run_watch())
        self._watches.add(task)
        task.add_done_callback(self._watches.discard)

    def switch_discovery(self, discovery: Address) -> None:
        """Watch another discovery service; the list in force stays until the new service has sent its own."""
        if discovery == self._discovery:
            return
        self._discovery, self._needs_full_list = discovery, True
        for task in self._watches:
            task.cancel()
        if self._started:
            self._start_watch()

    async def close(self) -> None:
        """Stop the watch."""
        tasks = list(self._watches)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run_watch(self) -> None:
        """Receive updates until cancelled; call discovery again whenever the watch ends."""
        succeeded = True
        while True:
            started_at, before = self._clock.now(), self._received_at
            try:
                await self._receive_updates()
                log.info("the discovery watch ended; opening another one")
            except (OSError, h11.RemoteProtocolError, TooLargeError, InvalidSettingError) as error:
                # Calls are retried several times a second, so an outage is logged as a warning only twice:
                # for the watch that broke and for the first failed call.
                level = logging.WARNING if succeeded or self._received_at is not before else logging.DEBUG
                reason = type(error).__name__, str(error) or "silent"
                log.log(level, "the discovery watch broke: %s: %s", *reason)
            except Exception:
                log.exception("an update of the destination list failed")
            succeeded = self._received_at is not before
            took = self._last_response_at - started_at if succeeded else self._clock.now() - started_at
            await asyncio.sleep(self._pacer.delay_after(took, succeeded).total_seconds())

    def stats_lines(self) -> Iterator[str]:
        """Yield the age of the list; nothing as long as discovery has never sent anything."""
        if self._received_at:
            yield f"discovery_age_ms:{(self._clock.now() - self._received_at) // timedelta(milliseconds=1)}|g"

    async def _receive_updates(self) -> None:
        """Open a watch and apply its updates until discovery ends it or an error occurs."""
        async with asyncio.timeout(min(CONNECT_TIMEOUT, self._first_response_timeout).total_seconds()):
            reader, writer = await asyncio.open_connection(self._discovery.host, self._discovery.port)
        stream = HttpStream(h11.Connection(h11.CLIENT), reader, writer)
        try:
            if self._needs_full_list:
                # The new service has its own revisions, so changes since the known one cannot be requested.
                async with asyncio.timeout(self._first_response_timeout.total_seconds()):
                    await self._send_request(stream, "/api/targets")
                    update = parse_destination_update(
                        JsonReader(parse_json_line(await stream.read_body(MAX_LINE)))
                    )
                if not update.is_full:
                    raise InvalidSettingError("all", "false although the full list was requested")
                self.apply_update(update)
                self._needs_full_list = False
                stream.http.start_next_cycle()
            async with asyncio.timeout(self._first_response_timeout.total_seconds()):
                await self._send_request(stream, f"/api/targets?follow=1&since={self.revision}")
            self._last_response_at = self._clock.now()
            rest, object_lines = b"", JsonObjectLines()
            while True:
                async with asyncio.timeout(WATCH_IDLE_TIMEOUT.total_seconds()):
                    event = await stream.next_event()
                if not isinstance(event, h11.Data):
                    return
                self._received_at = self._clock.now()
                *lines, rest = (rest + bytes(event.data)).split(b"\n")
                for line in lines:
                    if text := object_lines.add_line(line.strip()):
                        self.apply_update(parse_destination_update(JsonReader(parse_json_line(text))))
                if not rest and not object_lines.size:
                    self.up_to_date.set()
                if len(rest) + object_lines.size > MAX_LINE:
                    raise TooLargeError("discovery sent an object or a line over the limit")
        finally:
            await stream.close()

    async def _send_request(self, stream: HttpStream, target: str) -> None:
        """Send a GET request and wait for the head of a successful response."""
        headers = [("Host", str(self._discovery)), ("Accept", "application/json")]
        await stream.write(
            stream.encode(h11.Request(method="GET", target=target, headers=headers), h11.EndOfMessage())
        )
        while isinstance(event := await stream.next_event(), h11.InformationalResponse):
            pass
        if not isinstance(event, h11.Response) or event.status_code != 200:
            raise ConnectionError("discovery did not respond with a list")


class JsonObjectLines:
    """Collects lines up to the end of a JSON object, since a list may be indented over several lines."""

    def __init__(self) -> None:
        self._parts, self.size, self._depth = list[bytes](), 0, 0

    def add_line(self, line: bytes) -> bytes:
        """Return the object once its last line is added, before that nothing.

        An empty line between objects is a sign of life; within an object it is an error.
        """
        if self.size and not line:
            raise InvalidSettingError("line", "empty within an object")
        self._parts.append(line)
        self.size += len(line)
        self._depth += sum((found in b"{[") - (found in b"]}") for found in NESTING_TOKEN.findall(line))
        if self._depth > 0:
            return b""
        text = b"".join(self._parts)
        self._parts, self.size, self._depth = [], 0, 0
        return text


def parse_json_line(line: bytes) -> Any:
    """Parse JSON; raises `InvalidSettingError`, also for nesting beyond the recursion limit."""
    try:
        return json.loads(line)
    except (ValueError, RecursionError) as error:
        raise InvalidSettingError("line", f"not JSON: {error}") from None
