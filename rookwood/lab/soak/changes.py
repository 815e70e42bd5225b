"""An operator that sends one change after the other, and what was acknowledged when."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from dataclasses import dataclass, field
from http import HTTPStatus

from rookwood.lab.emulatedworker.weights import ModelSpec
from rookwood.lab.systemstage.configuration import (
    Configuration,
    ConfigurationPatch,
    RouteKind,
    RouteSpec,
    RuntimeSpec,
    ServiceSpec,
)
from rookwood.lab.systemstage.operator import JSON_TYPE, Operator

ROUTES_KEPT = 150  # the newest; a change adds one and removes the oldest
MODELS = 150
FIRST_VERSION = ROUTES_KEPT
WHOLE_EVERY = 10  # changes, of which one sends the whole configuration
FLIP_SERVICES = ("pages", "spare")


def numbered_route(version: int) -> RouteSpec:
    """The route that this version adds."""
    return RouteSpec(f"route-{version:05d}", "pages", f"/route-{version:05d}/", RouteKind.SAFE)


def flip_route(version: int) -> RouteSpec:
    """A route that moves to the other service with each version."""
    return RouteSpec("flip", FLIP_SERVICES[version % 2], "/flip/", RouteKind.SAFE)


def large_configuration(version: int = FIRST_VERSION) -> Configuration:
    """A configuration of about 40 KB with the routes of the newest versions and many models."""
    models = tuple(ModelSpec(f"model-{number:05d}") for number in range(MODELS))
    services = (
        ServiceSpec("engine", runtime=RuntimeSpec(models)),
        ServiceSpec("pages"),
        ServiceSpec("spare"),
    )
    first = version - ROUTES_KEPT + 1
    routes = tuple(numbered_route(number) for number in range(first, version + 1))
    return Configuration(version, (*routes, flip_route(version)), services)


@dataclass(frozen=True)
class Acknowledgement:
    """A version that the operator knows to be taken, and since when."""

    version: int
    at: float


@dataclass
class ChangeLog:
    """What was sent and acknowledged; times are those of `time.monotonic`."""

    sent: int = 0
    acknowledged: list[Acknowledgement] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)

    @property
    def newest(self) -> int:
        """The newest acknowledged version."""
        return self.acknowledged[-1].version if self.acknowledged else 0

    def newest_at(self, at: float) -> int:
        """The newest version that was acknowledged by this time."""
        return max((item.version for item in self.acknowledged if item.at <= at), default=0)


class ChangeSender:
    """Sends changes at a rate, each until it is acknowledged; answers may be lost on the way."""

    def __init__(self, operator: Operator, seed: int, whole_every: int = WHOLE_EVERY) -> None:
        """`whole_every`: one of so many changes is a PUT of the whole configuration; 0 for none."""
        self.log = ChangeLog()
        self.answers_lost = False
        self._whole_every = whole_every
        self._operator = operator
        self._draws = random.Random(seed)

    async def send_first(self) -> None:
        """Sends the first configuration."""
        await self._send("PUT", large_configuration().encode(), 0, FIRST_VERSION)

    async def send_for(self, seconds: float, changes_per_s: float) -> None:
        """Sends changes until the time is over and the last one has been answered."""
        began = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(began + number / changes_per_s - time.monotonic())
            if time.monotonic() > began + seconds:
                return
            await self.send_next()

    async def send_next(self) -> None:
        """Sends the change to the next version."""
        base = self.log.sent
        version = base + 1
        if self._whole_every and version % self._whole_every == 0:
            await self._send("PUT", large_configuration(version).encode(), base, version)
            return
        oldest = numbered_route(version - ROUTES_KEPT).name
        added = (numbered_route(version), flip_route(version))
        await self._send("PATCH", ConfigurationPatch(version, added, (oldest,)).encode(), base, version)

    async def _send(self, method: str, body: bytes, base: int, version: int) -> None:
        """Sends a change to one machine after the other until it is answered, from a drawn one on."""
        self.log.sent = version
        self._draws.shuffle(self._operator.addresses)
        if self.answers_lost:
            await send_unheard(self._operator.addresses[-1], method, body, base)
        answer = await self._operator.call(method, body, base)
        if answer.status == HTTPStatus.OK:
            self.log.acknowledged.append(Acknowledgement(version, time.monotonic()))
        else:
            self.log.refused.append(f"version {version}: {answer.status} {answer.body[:200]!r}")


async def send_unheard(address: str, method: str, body: bytes, base: int) -> None:
    """Sends a change whose answer is lost: the connection is closed before it can come."""
    ip, port = address.split(":")
    lines = [
        f"{method} /config HTTP/1.1",
        "Host: operator",
        f"If-Match: {base}",
        f"Content-Type: {JSON_TYPE}",
        f"Content-Length: {len(body)}",
    ]
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            _, writer = await asyncio.open_connection(ip, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            writer.close()
            await writer.wait_closed()
