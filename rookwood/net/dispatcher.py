"""Assembles a dispatcher of its parts, and starts and ends them in order."""

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

# After SIGTERM, SIGKILL follows at the earliest after the longest deadline of a job class, of which at most
# `MAX_COUNTED_DEADLINE` counts, plus `KILL_DELAY`. The margins below count back from that moment.
MAX_COUNTED_DEADLINE, KILL_DELAY = timedelta(seconds=3), timedelta(milliseconds=700)
# Requests that come after SIGTERM have their responses at least this long before SIGKILL.
LAST_RESPONSE_MARGIN = timedelta(milliseconds=250)
UP_TO_DATE_TIMEOUT = timedelta(seconds=4)  # a new process must be ready in 6 s, even if discovery is down
HANDOVER_TIMEOUT = timedelta(seconds=4.5)  # how long a new process waits for the jobs of the previous one
# Clients' connections are closed from this long before SIGKILL, which would cut off jobs that start later.
CLIENT_CLOSE_MARGIN = timedelta(milliseconds=1400)
BODY_MEMORY_DIVISOR = 8  # request bodies may take an eighth of the memory; each is held about twice


@dataclass(frozen=True, slots=True)
class DispatcherContext:
    """The parts of a dispatcher that an extension may use."""

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
    # Calls of the management address by method and path; extensions add their own.
    management_calls: dict[tuple[bytes, bytes], Callable[[], Response]]
    begin_shutdown: Callable[[], None]  # the same as on SIGTERM


class Extension(Protocol):
    """An optional component, such as the gateway, through which requests come in or go out."""

    def filter_update(self, update: DestinationUpdate, is_cached: bool) -> DestinationUpdate:
        """Handle an update of the destination list; return the part of it that the policy is to see.

        `is_cached` is true for the cached list of the configuration file.
        """

    async def start(self) -> None:
        """Start listening, after the dispatcher does."""
        ...

    def reload(self) -> None:
        """Read the extension's settings again."""
        ...

    def handed_over(self) -> None:
        """Stop listening, since the next process has taken over."""

    def begin_shutdown(self) -> None:
        """Prepare for the end of the process, which is about to drain."""
        ...

    async def wait_drained(self) -> None:
        """Return once no request that came through the extension is open."""

    async def close(self) -> None:
        """Close all connections and end all tasks."""
        ...


class Dispatcher:
    """Owns all parts of a dispatcher, from the start of the process to its end."""

    def __init__(self, config: Config, *extensions: Callable[[DispatcherContext], Extension]) -> None:
        clock, bounds = Clock(), config.bounds
        self._clock = clock
        limits = divide_descriptors(bounds.sockets)
        self._config = config
        max_retry_after = bounds.max_retry_after if bounds.retry_after else timedelta(0)
        self._decisions = PolicyDriver(config.settings, config.seed, clock, max_retry_after)
        self._destinations = Destinations(
            clock,
            bounds.drain_grace,
            self._apply_destinations,
            config.discovery,
            config.settings.subscribe,
            config.seed,
        )
        self._endpoints = EndpointPool(clock, bounds.connect_timeout, bounds.idle, limits.per_side)
        self._probes = Probes(self._decisions, self._destinations, self._endpoints)
        self._peers = Peers(self._decisions, config.peer_listen, config.peers)
        self._service = ServiceState(clock)
        classes = frozenset(c.name for c in config.settings.classes)
        self._stats = RequestStats(
            classes, lambda: self._decisions.open_requests, self._decisions.cluster_health
        )
        self._stats.extra_sources.append(self._destinations.stats_lines)
        parts = (self._decisions, self._destinations, self._endpoints, self._stats)
        self._requests = RequestHandler(clock, *parts, max_retry_after or None)
        self._inbound = Inbound(
            clock,
            self._requests.serve,
            classes,
            limits,
            is_full=lambda: self._decisions.open_requests >= bounds.max_open,
            retry_after=max_retry_after or None,
            max_body_bytes=bounds.memory // BODY_MEMORY_DIVISOR,
            service=self._service,
            stats=self._stats,
        )
        calls = {
            (b"GET", b"/ops/readiness"): self._readiness,
            (b"GET", b"/ops/stats"): lambda: Response(200, self._stats.text().encode()),
            (b"POST", b"/ops/drain/start"): self._drain,
            (b"POST", b"/ops/drain/stop"): self._resume,
        }
        self._management = Management(clock, calls, limits)
        self._handover = Handover(
            config.handover,
            self._save_learned_state,
            self._handed_over,
            on_predecessor_end=self._predecessor_ended,
        )
        classes_by_name = {c.name: c for c in config.settings.classes}
        context = DispatcherContext(
            *(
                config.name,
                clock,
                classes_by_name,
                config.settings.zone,
                DispatcherGroup(config.settings.dispatchers),
                bounds,
            ),
            *(self._decisions, self._destinations, self._requests, self._stats, self._service),
            *(calls, self.begin_shutdown),
        )
        self._handover.datagram_descriptor = self._peers.descriptor
        self._extensions = [extension(context) for extension in extensions]
        self._is_shutting_down = False
        self._created_at = clock.now()
        # During an upgrade: until when this process waits for the jobs of the previous one.
        self._predecessor_deadline: datetime | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.management_port: int | None = None

    async def start(self) -> int:
        """Start all parts; return the port for clients, or 0 if SIGTERM came before the takeover.

        The cached list is applied first, since the policy needs it from the first connection on.
        """
        config = self._config
        self._destinations.apply_update(config.known, is_cached=True)
        self._destinations.start()
        self._tasks = [asyncio.create_task(self._endpoints.sweep())]
        if config.mgmt:
            management = bind_listener(config.mgmt)
            self.management_port = int(management.getsockname()[1])
            await self._management.listen(management)
            log.info(
                "%s accepts management calls at %s:%d", config.name, config.mgmt.host, self.management_port
            )
        listener = await self._handover.inherit_listener(config.listen)
        if not listener:
            await self._peers.start()
        if listener:
            # The previous process serves until this one has the current list: the cached one may be too old
            # to know of drains.
            self._predecessor_deadline = self._created_at + HANDOVER_TIMEOUT
            self._split_descriptors(2)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._destinations.up_to_date.wait(), UP_TO_DATE_TIMEOUT.total_seconds()
                )
            self._restore_learned_state(await self._handover.receive_learned_state())
            if self._service.phase is Phase.LEAVING:  # SIGTERM came first, so the previous process goes on
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
        for extension in self._extensions:
            await extension.start()
        log.info("%s listens on %s:%d", config.name, config.listen.host, port)
        return port

    def _apply_destinations(self, update: DestinationUpdate, is_cached: bool) -> None:
        """Pass an update of the destination list to the parts that use it."""
        self._peers.add_workers(update, is_cached)
        for extension in self._extensions:
            update = extension.filter_update(update, is_cached)
        self._decisions.update_workers(update, is_cached)

    def reload(self, config: Config) -> None:
        """Apply what may change while requests are open; the rest takes effect at the next start."""
        log.info("the configuration was read again; discovery is %s", config.discovery)
        self._destinations.switch_discovery(config.discovery)
        for extension in self._extensions:
            extension.reload()

    def _predecessor_ended(self) -> None:
        """The previous process has ended, so this one may use all descriptors."""
        self._predecessor_deadline = None
        self._split_descriptors(1)

    def _readiness(self) -> Response:
        """Respond to a readiness call.

        During an upgrade the platform ends the previous process once this one is ready, so it does not
        report readiness before the jobs of the previous one have ended or the timeout is over.
        """
        if (
            self._predecessor_deadline
            and self._clock.now() < self._predecessor_deadline
            and self._service.is_ready
        ):
            return Response(503, b"taking over\n")
        return readiness_response(self._service)

    def _drain(self) -> Response:
        """Handle a call to /ops/drain/start."""
        self._service.drain()
        return Response(200, f"{self._service.phase.value}\n".encode())

    def _resume(self) -> Response:
        """Handle a call to /ops/drain/stop."""
        resumed = self._service.resume()
        return Response(200 if resumed else 409, f"{self._service.phase.value}\n".encode())

    def _split_descriptors(self, processes: int) -> None:
        """Limit connections to this process's share; during an upgrade two processes share one limit."""
        self._inbound.max_connections = self._endpoints.max_connections = divide_descriptors(
            self._config.bounds.sockets // processes
        ).per_side

    def _save_learned_state(self) -> bytes:
        """Encode the learned state for the next process; an error must not stop the upgrade."""
        try:
            ids, learned = self._requests.save_known_ids(), self._decisions.save_learned_state()
            return json.dumps({"ids": ids, "decisions": learned}).encode()
        except Exception:
            log.exception("the learned state could not be saved")
            return b"{}"

    def _restore_learned_state(self, text: bytes) -> None:
        """Decode and apply what the previous process learned; an error must not stop the start."""
        try:
            state = json.loads(text)
            self._requests.restore_known_ids([str(name) for name in state["ids"]])
            self._decisions.restore_learned_state(state["decisions"])
        except Exception as error:
            log.warning("the learned state was not fully restored: %s: %s", type(error).__name__, error)

    def _handed_over(self) -> None:
        """The next process serves the listener: close the clients' connections and shut down."""
        log.info("%s has handed over", self._config.name)
        self._service.is_handed_over = True
        self._peers.handed_over()
        self._inbound.stop()
        for extension in self._extensions:
            extension.handed_over()
        self._endpoints.max_connections = divide_descriptors(self._config.bounds.sockets // 2).per_side
        self._service.begin_shutdown(timedelta(0))

    def begin_shutdown(self) -> None:
        """Begin to shut down on SIGTERM: serve until clients must be moved off, and finish before SIGKILL."""
        if self._is_shutting_down:
            return
        self._is_shutting_down = True
        log.info("%s is shutting down", self._config.name)
        longest_deadline = max((c.give_up for c in self._config.settings.classes), default=0)
        time_to_kill = min(timedelta(microseconds=longest_deadline), MAX_COUNTED_DEADLINE) + KILL_DELAY
        self._requests.begin_shutdown(self._clock.now() + time_to_kill - LAST_RESPONSE_MARGIN)
        self._service.begin_shutdown(time_to_kill - CLIENT_CLOSE_MARGIN)
        for extension in self._extensions:
            extension.begin_shutdown()

    async def wait_drained(self) -> None:
        """Return once the process is shutting down and every accepted request has its response."""
        await self._service.wait_shutdown()
        await self._service.wait_closing_clients()
        await self._inbound.wait_empty()
        for extension in self._extensions:
            await extension.wait_drained()
        await self._inbound.wait_empty()  # clients that connected while the extensions drained
        self._inbound.stop()
        await self._inbound.wait_empty()  # connections accepted just before the listener closed

    async def close(self) -> None:
        """Close all connections and end all tasks."""
        await self._handover.close()
        await self._inbound.close()
        for extension in self._extensions:
            await extension.close()
        await self._management.close()
        await self._destinations.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._decisions.close()
        await self._peers.close()
        await self._probes.close()
        await self._endpoints.close()
