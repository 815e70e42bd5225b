"""One real dispatcher, put together: who owns what, and in which order it starts and ends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from rookwood import interface as api
from rookwood.net.clock import Clock
from rookwood.net.config import Bounds, Config
from rookwood.net.connection_limits import room_of
from rookwood.net.destinations import Destinations, DestinationUpdate
from rookwood.net.dispatcher_group import DispatcherGroup
from rookwood.net.endpoints import Endpoints
from rookwood.net.handover import Handover
from rookwood.net.inbound import Inbound, readiness
from rookwood.net.listener import bind_listener
from rookwood.net.management import Management
from rookwood.net.peers import Peers
from rookwood.net.phase import Phase, ServiceState
from rookwood.net.policy_driver import PolicyDriver
from rookwood.net.probes import Probes
from rookwood.net.request import RequestHandler, Response
from rookwood.net.stats import RequestStats

log = logging.getLogger(__name__)

# After SIGTERM: SIGKILL comes no sooner than the longest deadline, or `COUNTED` where that is less, and KILL.
COUNTED, KILL = timedelta(seconds=3), timedelta(milliseconds=700)
CUT = timedelta(milliseconds=250)  # so long before, the last request that came late has its answer
CURRENT_LIMIT = timedelta(seconds=4)  # a new process has 6 s to be ready; discovery may be down
HANDOVER_LIMIT = timedelta(seconds=4.5)  # so long the jobs of the process before are waited for
MOVE = timedelta(milliseconds=1400)  # so long before, clients are moved off: jobs started now would be cut
BODIES = 8  # one part in so many of the memory is for bodies in hand; each is there about twice


@dataclass(frozen=True, slots=True)
class DispatcherContext:
    """What another front works with."""

    name: str
    clock: Clock
    classes: dict[str, api.JobClass]
    zone: str
    dispatcher_group: DispatcherGroup
    bounds: Bounds
    decisions: PolicyDriver
    destinations: Destinations
    request_handler: RequestHandler
    stats: RequestStats
    service: ServiceState
    management_calls: dict[
        tuple[bytes, bytes], Callable[[], Response]
    ]  # of the second address; fronts add theirs
    begin_shutdown: Callable[[], None]  # as after SIGTERM


class Extension(Protocol):
    """A further way for requests to come in or go out, beside `Inbound`."""

    def filter_update(self, update: DestinationUpdate, kept: bool) -> DestinationUpdate:
        """Discovery has spoken; returns what of it the decisions are to know."""

    async def start(self) -> None: ...

    def reload(self) -> None: ...

    def handed_over(self) -> None:
        """The next process has taken over."""

    def begin_shutdown(self) -> None: ...

    async def wait_drained(self) -> None:
        """Returns once nothing of others is in hand here."""

    async def close(self) -> None: ...


class Dispatcher:
    def __init__(self, config: Config, *fronts: Callable[[DispatcherContext], Extension]) -> None:
        clock, bounds = Clock(), config.bounds
        self._clock = clock
        room = room_of(bounds.sockets)
        self._config = config
        longest = bounds.max_retry_after if bounds.retry_after else timedelta(0)
        self._decisions = PolicyDriver(config.settings, config.seed, clock, longest)
        self._destinations = Destinations(
            clock, bounds.drain_grace, self._told, config.discovery, config.settings.subscribe, config.seed
        )
        self._endpoints = Endpoints(clock, bounds.connect_timeout, bounds.idle, room.half)
        self._probes = Probes(self._decisions, self._destinations, self._endpoints)
        self._peers = Peers(self._decisions, config.peer_listen, config.peers)
        self._service = ServiceState(clock)
        classes = frozenset(c.name for c in config.settings.classes)
        self._figures = RequestStats(classes, lambda: self._decisions.open_requests, self._decisions.cluster)
        self._figures.extra_sources.append(self._destinations.figures)
        parts = (self._decisions, self._destinations, self._endpoints, self._figures)
        self._requests = RequestHandler(clock, *parts, longest or None)
        self._inbound = Inbound(
            clock,
            self._requests.serve,
            classes,
            room,
            full=lambda: self._decisions.open_requests >= bounds.max_open,
            retry_after=longest or None,
            most_bytes=bounds.memory // BODIES,
            service=self._service,
            figures=self._figures,
        )
        calls = {
            (b"GET", b"/ops/readiness"): self._readiness,
            (b"GET", b"/ops/stats"): lambda: Response(200, self._figures.text().encode()),
            (b"POST", b"/ops/drain/start"): self._drain,
            (b"POST", b"/ops/drain/stop"): self._resume,
        }
        self._management = Management(clock, calls, room)
        self._handover = Handover(config.handover, self._remember, self._succeeded, alone=self._succeeds)
        by_name = {c.name: c for c in config.settings.classes}
        core = DispatcherContext(
            *(
                config.name,
                clock,
                by_name,
                config.settings.zone,
                DispatcherGroup(config.settings.dispatchers),
                bounds,
            ),
            *(self._decisions, self._destinations, self._requests, self._figures, self._service),
            *(calls, self.begin_shutdown),
        )
        self._handover.datagrams = self._peers.handle
        self._fronts = [front(core) for front in fronts]
        self._terminated = False
        self._begun = clock.now()
        self._upgrading: datetime | None = None  # there is a process before; it is waited for until then
        self._tasks: list[asyncio.Task[None]] = []
        self.mgmt: int | None = None  # the port of the second address

    async def start(self) -> int:
        """The kept list first: from the first connection on, requests are decided by it."""
        config = self._config
        self._destinations.update(config.known, kept=True)
        self._destinations.start()
        self._tasks = [asyncio.create_task(self._endpoints.sweep())]
        if config.mgmt:
            caller = bind_listener(config.mgmt)
            self.mgmt = int(caller.getsockname()[1])
            await self._management.listen(caller)
            log.info("%s is run from %s:%d", config.name, config.mgmt.host, self.mgmt)
        listener = await self._handover.inherit(config.listen)
        if not listener:
            await self._peers.start()
        if listener:
            # The process before serves meanwhile. A list as old as the file would break the rules on drains.
            self._upgrading = self._begun + HANDOVER_LIMIT
            self._share(2)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._destinations.current.wait(), CURRENT_LIMIT.total_seconds())
            self._recall(await self._handover.memory())
            if self._service.phase is Phase.LEAVING:  # told to end before it took over: the other one stays
                listener.close()
                if self._handover.inherited:
                    self._handover.inherited.close()
                return 0
            await self._peers.start(self._handover.inherited)
        listener = listener or bind_listener(config.listen, shared=True)
        port = int(listener.getsockname()[1])
        await self._inbound.listen(listener)
        self._service.start()
        self._handover.taken()
        await self._handover.offer(listener)
        for front in self._fronts:
            await front.start()
        log.info("%s listens on %s:%d", config.name, config.listen.host, port)
        return port

    def _told(self, told: DestinationUpdate, kept: bool) -> None:
        self._peers.learn(told, kept)
        for front in self._fronts:
            told = front.filter_update(told, kept)
        self._decisions.update(told, kept)

    def reload(self, config: Config) -> None:
        """Takes over what may change while requests are in hand; the rest waits for the next start."""
        log.info("the configuration was read again; discovery is %s", config.discovery)
        self._destinations.move(config.discovery)
        for front in self._fronts:
            front.reload()

    def _succeeds(self) -> None:
        """The process before has ended."""
        self._upgrading = None
        self._share(1)

    def _readiness(self) -> Response:
        """Amid an upgrade a yes is the sign to end the process before: its jobs should have ended by then."""
        if self._upgrading and self._clock.now() < self._upgrading and self._service.ready:
            return Response(503, b"taking over\n")
        return readiness(self._service)

    def _drain(self) -> Response:
        self._service.drain()
        return Response(200, f"{self._service.phase.value}\n".encode())

    def _resume(self) -> Response:
        back = self._service.resume()
        return Response(200 if back else 409, f"{self._service.phase.value}\n".encode())

    def _share(self, processes: int) -> None:
        """Amid an upgrade two processes take what one may."""
        self._inbound.most = self._endpoints.most = room_of(self._config.bounds.sockets // processes).half

    def _remember(self) -> bytes:
        """For the process that follows. An upgrade goes on without it, so no fault here may stop one."""
        try:
            ids, learned = self._requests.remember(), self._decisions.save_learned_state()
            return json.dumps({"ids": ids, "decisions": learned}).encode()
        except Exception:
            log.exception("nothing is remembered")
            return b"{}"

    def _recall(self, text: bytes) -> None:
        try:
            memory = json.loads(text)
            self._requests.recall([str(name) for name in memory["ids"]])
            self._decisions.restore_learned_state(memory["decisions"])
        except Exception as error:
            log.warning("not all is recalled: %s: %s", type(error).__name__, error)

    def _succeeded(self) -> None:
        """The next process serves the same listener: whoever is here moves there, and this one ends."""
        log.info("%s has handed over", self._config.name)
        self._service.succeeded = True
        self._peers.succeeded()
        self._inbound.stop()
        for front in self._fronts:
            front.handed_over()
        self._endpoints.most = room_of(self._config.bounds.sockets // 2).half
        self._service.leave(timedelta(0))

    def begin_shutdown(self) -> None:
        """The end is near: SIGTERM has come."""
        if self._terminated:
            return
        self._terminated = True
        log.info("%s is leaving", self._config.name)
        longest = max((c.give_up for c in self._config.settings.classes), default=0)
        end = min(timedelta(microseconds=longest), COUNTED) + KILL
        self._requests.leave(self._clock.now() + end - CUT)
        self._service.leave(end - MOVE)
        for front in self._fronts:
            front.begin_shutdown()

    async def wait_drained(self) -> None:
        """Returns once this process is to leave and everything that was taken has its answer."""
        await self._service.until_leaving()
        await self._service.until_moving()
        await self._inbound.empty()
        for front in self._fronts:
            await front.wait_drained()
        await self._inbound.empty()  # who came while the fronts emptied
        self._inbound.stop()
        await self._inbound.empty()  # and who was just accepted: from here on nobody comes

    async def close(self) -> None:
        await self._handover.close()
        await self._inbound.close()
        for front in self._fronts:
            await front.close()
        await self._management.close()
        await self._destinations.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._decisions.close()
        await self._peers.close()
        await self._probes.close()
        await self._endpoints.close()
