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
from rookwood.net.connection_limits import divide_descriptors
from rookwood.net.destinations import Destinations, DestinationUpdate
from rookwood.net.dispatcher_group import DispatcherGroup
from rookwood.net.endpoints import EndpointPool
from rookwood.net.handover import Handover
from rookwood.net.inbound import Inbound, readiness_response
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
MAX_COUNTED_DEADLINE, KILL_DELAY = timedelta(seconds=3), timedelta(milliseconds=700)
LAST_RESPONSE_MARGIN = timedelta(
    milliseconds=250
)  # so long before, the last request that came late has its answer
UP_TO_DATE_TIMEOUT = timedelta(seconds=4)  # a new process has 6 s to be ready; discovery may be down
HANDOVER_TIMEOUT = timedelta(seconds=4.5)  # so long the jobs of the process before are waited for
CLIENT_CLOSE_MARGIN = timedelta(
    milliseconds=1400
)  # so long before, clients are moved off: jobs started now would be cut
BODY_MEMORY_DIVISOR = 8  # one part in so many of the memory is for bodies in hand; each is there about twice


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
        room = divide_descriptors(bounds.sockets)
        self._config = config
        longest = bounds.max_retry_after if bounds.retry_after else timedelta(0)
        self._decisions = PolicyDriver(config.settings, config.seed, clock, longest)
        self._destinations = Destinations(
            clock,
            bounds.drain_grace,
            self._apply_destinations,
            config.discovery,
            config.settings.subscribe,
            config.seed,
        )
        self._endpoints = EndpointPool(clock, bounds.connect_timeout, bounds.idle, room.per_side)
        self._probes = Probes(self._decisions, self._destinations, self._endpoints)
        self._peers = Peers(self._decisions, config.peer_listen, config.peers)
        self._service = ServiceState(clock)
        classes = frozenset(c.name for c in config.settings.classes)
        self._stats = RequestStats(
            classes, lambda: self._decisions.open_requests, self._decisions.cluster_health
        )
        self._stats.extra_sources.append(self._destinations.stats_lines)
        parts = (self._decisions, self._destinations, self._endpoints, self._stats)
        self._requests = RequestHandler(clock, *parts, longest or None)
        self._inbound = Inbound(
            clock,
            self._requests.serve,
            classes,
            room,
            full=lambda: self._decisions.open_requests >= bounds.max_open,
            retry_after=longest or None,
            most_bytes=bounds.memory // BODY_MEMORY_DIVISOR,
            service=self._service,
            figures=self._stats,
        )
        calls = {
            (b"GET", b"/ops/readiness"): self._readiness,
            (b"GET", b"/ops/stats"): lambda: Response(200, self._stats.text().encode()),
            (b"POST", b"/ops/drain/start"): self._drain,
            (b"POST", b"/ops/drain/stop"): self._resume,
        }
        self._management = Management(clock, calls, room)
        self._handover = Handover(
            config.handover, self._save_learned_state, self._handed_over, alone=self._predecessor_ended
        )
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
            *(self._decisions, self._destinations, self._requests, self._stats, self._service),
            *(calls, self.begin_shutdown),
        )
        self._handover.datagram_descriptor = self._peers.descriptor
        self._extensions = [front(core) for front in fronts]
        self._is_shutting_down = False
        self._created_at = clock.now()
        self._predecessor_deadline: datetime | None = (
            None  # there is a process before; it is waited for until then
        )
        self._tasks: list[asyncio.Task[None]] = []
        self.management_port: int | None = None  # the port of the second address

    async def start(self) -> int:
        """The kept list first: from the first connection on, requests are decided by it."""
        config = self._config
        self._destinations.apply_update(config.known, kept=True)
        self._destinations.start()
        self._tasks = [asyncio.create_task(self._endpoints.sweep())]
        if config.mgmt:
            caller = bind_listener(config.mgmt)
            self.management_port = int(caller.getsockname()[1])
            await self._management.listen(caller)
            log.info("%s is run from %s:%d", config.name, config.mgmt.host, self.management_port)
        listener = await self._handover.inherit_listener(config.listen)
        if not listener:
            await self._peers.start()
        if listener:
            # The process before serves meanwhile. A list as old as the file would break the rules on drains.
            self._predecessor_deadline = self._created_at + HANDOVER_TIMEOUT
            self._split_descriptors(2)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._destinations.up_to_date.wait(), UP_TO_DATE_TIMEOUT.total_seconds()
                )
            self._restore_learned_state(await self._handover.receive_learned_state())
            if self._service.phase is Phase.LEAVING:  # told to end before it took over: the other one stays
                listener.close()
                if self._handover.inherited_datagram_socket:
                    self._handover.inherited_datagram_socket.close()
                return 0
            await self._peers.start(self._handover.inherited_datagram_socket)
        listener = listener or bind_listener(config.listen, shared=True)
        port = int(listener.getsockname()[1])
        await self._inbound.listen(listener)
        self._service.start()
        self._handover.confirm_takeover()
        await self._handover.offer_listener(listener)
        for front in self._extensions:
            await front.start()
        log.info("%s listens on %s:%d", config.name, config.listen.host, port)
        return port

    def _apply_destinations(self, told: DestinationUpdate, kept: bool) -> None:
        self._peers.add_workers(told, kept)
        for front in self._extensions:
            told = front.filter_update(told, kept)
        self._decisions.update_workers(told, kept)

    def reload(self, config: Config) -> None:
        """Takes over what may change while requests are in hand; the rest waits for the next start."""
        log.info("the configuration was read again; discovery is %s", config.discovery)
        self._destinations.switch_discovery(config.discovery)
        for front in self._extensions:
            front.reload()

    def _predecessor_ended(self) -> None:
        """The process before has ended."""
        self._predecessor_deadline = None
        self._split_descriptors(1)

    def _readiness(self) -> Response:
        """Amid an upgrade a yes is the sign to end the process before: its jobs should have ended by then."""
        if (
            self._predecessor_deadline
            and self._clock.now() < self._predecessor_deadline
            and self._service.is_ready
        ):
            return Response(503, b"taking over\n")
        return readiness_response(self._service)

    def _drain(self) -> Response:
        self._service.drain()
        return Response(200, f"{self._service.phase.value}\n".encode())

    def _resume(self) -> Response:
        back = self._service.resume()
        return Response(200 if back else 409, f"{self._service.phase.value}\n".encode())

    def _split_descriptors(self, processes: int) -> None:
        """Amid an upgrade two processes take what one may."""
        self._inbound.max_connections = self._endpoints.max_connections = divide_descriptors(
            self._config.bounds.sockets // processes
        ).per_side

    def _save_learned_state(self) -> bytes:
        """For the process that follows. An upgrade goes on without it, so no fault here may stop one."""
        try:
            ids, learned = self._requests.save_known_ids(), self._decisions.save_learned_state()
            return json.dumps({"ids": ids, "decisions": learned}).encode()
        except Exception:
            log.exception("nothing is remembered")
            return b"{}"

    def _restore_learned_state(self, text: bytes) -> None:
        try:
            memory = json.loads(text)
            self._requests.restore_known_ids([str(name) for name in memory["ids"]])
            self._decisions.restore_learned_state(memory["decisions"])
        except Exception as error:
            log.warning("not all is recalled: %s: %s", type(error).__name__, error)

    def _handed_over(self) -> None:
        """The next process serves the same listener: whoever is here moves there, and this one ends."""
        log.info("%s has handed over", self._config.name)
        self._service.is_handed_over = True
        self._peers.handed_over()
        self._inbound.stop()
        for front in self._extensions:
            front.handed_over()
        self._endpoints.max_connections = divide_descriptors(self._config.bounds.sockets // 2).per_side
        self._service.begin_shutdown(timedelta(0))

    def begin_shutdown(self) -> None:
        """The end is near: SIGTERM has come."""
        if self._is_shutting_down:
            return
        self._is_shutting_down = True
        log.info("%s is leaving", self._config.name)
        longest = max((c.give_up for c in self._config.settings.classes), default=0)
        end = min(timedelta(microseconds=longest), MAX_COUNTED_DEADLINE) + KILL_DELAY
        self._requests.begin_shutdown(self._clock.now() + end - LAST_RESPONSE_MARGIN)
        self._service.begin_shutdown(end - CLIENT_CLOSE_MARGIN)
        for front in self._extensions:
            front.begin_shutdown()

    async def wait_drained(self) -> None:
        """Returns once this process is to leave and everything that was taken has its answer."""
        await self._service.wait_shutdown()
        await self._service.wait_closing_clients()
        await self._inbound.wait_empty()
        for front in self._extensions:
            await front.wait_drained()
        await self._inbound.wait_empty()  # who came while the fronts emptied
        self._inbound.stop()
        await self._inbound.wait_empty()  # and who was just accepted: from here on nobody comes

    async def close(self) -> None:
        await self._handover.close()
        await self._inbound.close()
        for front in self._extensions:
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
