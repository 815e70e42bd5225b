"""The process of a dispatcher: serves clients, subscribes to the control plane's feed and reports demand."""

from __future__ import annotations

import asyncio
import logging
import signal
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import web

from rookwood.cluster.configuration_follower import RESPONSE_TIMEOUT, ConfigurationFollower
from rookwood.cluster.connection import Connection
from rookwood.cluster.messages import DemandReport, Message, Status, WorkNotice, WorkNotices
from rookwood.cluster.options import Options
from rookwood.cluster.settings import NodeSettings, SettingsFile, settings_path
from rookwood.cluster.tasks import cancel_tasks, repeat, run_until
from rookwood.cluster.view import ClusterView
from rookwood.clusterconfig.document import ClientLimits
from rookwood.dataplane.attempt_limits import MAX_WAIT_SHARE, AttemptLimits
from rookwood.dataplane.client_server import ClientServer
from rookwood.dataplane.closing import INGRESS_NOTICE
from rookwood.dataplane.control_links import TICK_INTERVAL, ControlLinks
from rookwood.dataplane.demand import DemandMeter, ServiceKey
from rookwood.dataplane.loss_log import LossLog
from rookwood.dataplane.pool import WorkerPool
from rookwood.dataplane.proxy import Proxy
from rookwood.dataplane.retry_budget import RetryBudget
from rookwood.dataplane.router import Router
from rookwood.dataplane.upstream import UpstreamClient
from rookwood.httpserver.admission import Admission
from rookwood.httpserver.limits import DEFAULT_HEAD_BYTES, DescriptorPlan, ListenerLimits
from rookwood.httpserver.listener import BoundedListener, run_loop_turns
from rookwood.httpserver.server import BoundedServer
from rookwood.mechanisms import Mechanism
from rookwood.memory_budget import MemoryBudget
from rookwood.metrics.loop_lag import LoopLag
from rookwood.metrics.server import MetricsServer

if TYPE_CHECKING:
    from rookwood.cluster.feed import LinkSet
    from rookwood.metrics.exposition import FamilySource

logger = logging.getLogger("rookwood")

HOUSEKEEPING_INTERVAL = 1.0  # seconds
CLIENT_KEEPALIVE = 60.0  # seconds for which an idle client connection is kept
CLOSING_MARGIN = 0.3  # seconds before the process is killed at which requests in flight are ended
EXIT_MARGIN = 0.15  # seconds before the process is killed at which unsent response bytes are given up
FIRST_REQUEST_LIMIT = 0.4  # seconds for which the first request of a new connection is awaited
SHUTDOWN_TIMEOUT = 0.1  # seconds that aiohttp grants the connections which are still open at the end
DRAIN_POLL_INTERVAL = 0.05  # seconds
MILLISECONDS = 1000.0
TIMER_MARGIN = 0.005  # seconds added to a timer, so that the awaited time has surely passed when it fires


class DataPlane:
    """Connects the parts of a dispatcher, and handles the events of its links to control machines."""

    def __init__(self, settings: NodeSettings, options: Options | None = None) -> None:
        self._settings = settings
        self._options = options or Options()
        self._settings_file = SettingsFile(settings_path(), settings)
        self._stopping = asyncio.Event()
        self._memory = MemoryBudget.for_memory(settings.memory_megabytes)
        self._descriptors = DescriptorPlan.of(settings.descriptors)
        self._pool = WorkerPool()
        self._mechanisms = self._options.mechanisms
        self._router = Router(settings.ip, settings.zone, self._pool, self._mechanisms)
        self._demand = DemandMeter(self._report_waiting_demand)
        bounds = settings.bounds
        self._budget = RetryBudget(bounds.retry_ratio, bounds.retry_window, bounds.retry_slack)
        self._view = ClusterView(self._router.worker_changed, self._router.worker_gone)
        self._follower = ConfigurationFollower(
            settings.ip, self._router.configure, self._router.change_configuration
        )
        self._fetch_timer: asyncio.TimerHandle | None = None
        self._links: ControlLinks | None = None
        self._last_report_connection: Connection | None = None
        self._proxy: Proxy | None = None

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._run_housekeeping)
        lag = LoopLag()
        limits = AttemptLimits(MAX_WAIT_SHARE if self._mechanisms.has(Mechanism.WAIT_SHARE) else 1.0, lag)
        client = UpstreamClient(
            self._descriptors.upstream, self._mechanisms.has(Mechanism.KEEP_ALIVE), self._memory
        )
        self._proxy = Proxy(
            self._router,
            self._pool,
            self._demand,
            self._budget,
            client,
            self._report_work,
            self._is_up_to_date,
            LossLog(self._options.log_losses),
            self._mechanisms,
            limits,
            self._memory,
        )
        self._links = ControlLinks(
            self._settings,
            self,
            lambda: [seed.ip for seed in self._settings_file.settings.seeds],
            lambda: self._follower.position,
            lambda: lag.total,
            self._memory,
        )
        self._tick_links()
        self._run_housekeeping()
        clients = self._client_server(self._proxy)
        client_runner = web.ServerRunner(clients, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT)
        listener = await self._serve_clients(client_runner, clients)
        readiness = await self._serve_readiness()
        metrics = MetricsServer(
            self._settings.ip,
            partial(self._metric_sources, self._proxy, self._links.links, clients),
            lag=lag,
            budget=self._memory,
        )
        await metrics.start()
        background_tasks = [
            asyncio.create_task(repeat(HOUSEKEEPING_INTERVAL, self._run_housekeeping)),
            asyncio.create_task(repeat(TICK_INTERVAL, self._tick_links)),
        ]
        logger.info("data plane started")
        await run_until(self._stopping, background_tasks)
        await self._drain(self._proxy, clients, listener)
        await cancel_tasks(background_tasks)
        await metrics.stop()
        self._links.close()
        if self._fetch_timer is not None:
            self._fetch_timer.cancel()
        await client_runner.cleanup()
        await readiness.stop()
        await client.close()

    def _metric_sources(self, proxy: Proxy, links: LinkSet, clients: ClientServer) -> list[FamilySource]:
        """The metric families; their module is imported at the first scrape, see `MetricsServer`."""
        from rookwood.dataplane.metrics import DataPlaneMetrics

        metrics = DataPlaneMetrics(
            self._router, self._follower.progress, self._view, links, proxy, self._demand, clients
        )
        return [metrics.families]

    def _client_server(self, proxy: Proxy) -> ClientServer:
        limits = ListenerLimits(
            self._descriptors.clients,
            lambda: max(DEFAULT_HEAD_BYTES, self._client_limits().header_bytes),
            lambda: self._client_limits().header_ms / MILLISECONDS,
            lambda: self._client_limits().idle_ms / MILLISECONDS,
        )
        return ClientServer(proxy.handle, Admission(limits, self._memory), keepalive_timeout=CLIENT_KEEPALIVE)

    def _client_limits(self) -> ClientLimits:
        configuration = self._router.configuration
        return ClientLimits() if configuration is None else configuration.limits

    async def _serve_clients(self, runner: web.ServerRunner, clients: ClientServer) -> BoundedListener:
        await runner.setup()
        address = self._settings.listen["edge"]
        listener = BoundedListener(address.ip, address.port, clients, clients.admission)
        listener.start()
        return listener

    async def _serve_readiness(self) -> BoundedServer:
        runner = web.ServerRunner(
            web.Server(self._answer_readiness), handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT
        )
        admission = Admission(ListenerLimits(self._descriptors.observers), self._memory)
        server = BoundedServer(runner, admission)
        address = self._settings.listen["readyz"]
        await server.start(address.ip, address.port)
        return server

    async def _answer_readiness(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    def _is_ready(self) -> bool:
        configured = self._router.configuration is not None and self._router.has_workers()
        return configured and not self._stopping.is_set()

    async def _drain(self, proxy: Proxy, clients: ClientServer, listener: BoundedListener) -> None:
        """Serve until the platform has noticed the shutdown, then finish requests and flush responses."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        killed_at = began + self._settings.bounds.grace
        proxy.drain(killed_at - CLOSING_MARGIN)
        logger.info("data plane drains", extra={"in_flight": proxy.in_flight})
        await asyncio.sleep(min(INGRESS_NOTICE, self._settings.bounds.grace - CLOSING_MARGIN))
        await self._close_idle_clients(clients, killed_at - CLOSING_MARGIN - FIRST_REQUEST_LIMIT)
        await listener.stop()
        await self._close_idle_clients(clients, killed_at - EXIT_MARGIN)
        logger.info("data plane ends", extra={"connections": len(clients.connections)})

    @staticmethod
    async def _close_idle_clients(clients: ClientServer, until: float) -> None:
        """Close idle connections until none is left; a response closes the connection that it was sent on."""
        while clients.connections and asyncio.get_running_loop().time() < until:
            await run_loop_turns()
            clients.close_idle(FIRST_REQUEST_LIMIT)
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    def _run_housekeeping(self) -> None:
        """Periodic work; SIGHUP, sent after a change of the settings file, runs it at once."""
        self._settings_file.refresh()
        now = asyncio.get_running_loop().time()
        self._view.remove_unreported_workers(now)
        self._follower.progress.check(self._settings.bounds.apply)
        self._budget.dispatcher_count = self._view.dispatcher_count()
        self._router.step_tables(now)
        self._report_demand(now)

    def _tick_links(self) -> None:
        """Choose the control machine that feeds this dispatcher, and update the links."""
        if self._links is not None:
            now = asyncio.get_running_loop().time()
            self._links.tick(now, self._follower.confirmed, self._view.primary(), self._view.members())

    def _report_demand(self, now: float) -> None:
        """Report the demand for all keys."""
        demands = self._demand.all_demand(now)
        if demands:
            wanted = self._router.tables.wanted_weights()
            self._report(DemandReport(self._settings.ip, demands, wanted, complete=True))

    def _report_waiting_demand(self, key: ServiceKey) -> None:
        """Report a key for which a first request waits, without delay."""
        now = asyncio.get_running_loop().time()
        waiting = (self._demand.demand_for(key, now),)
        self._report(DemandReport(self._settings.ip, waiting, (), complete=False))

    def _report_work(self, notice: WorkNotice) -> None:
        self._report(WorkNotices((notice,)))

    def _report(self, message: DemandReport | WorkNotices) -> None:
        """Send a message to the feeding machine, which relays it to the primary, or to the primary itself."""
        connection = self._links.report_connection(self._view.primary()) if self._links is not None else None
        if connection is not None:
            connection.send(message)

    def _report_to_new_connection(self, now: float) -> None:
        """Report all demand over a new report connection: its peer knows of no requests that wait already."""
        connection = self._links.report_connection(self._view.primary()) if self._links is not None else None
        if connection is not None and connection is not self._last_report_connection:
            self._last_report_connection = connection
            self._report_demand(now)

    def link_opened(self, peer: str, connection: Connection) -> None:
        """A link to a control machine was opened."""
        self._view.link_opened(peer)

    def link_closed(self, peer: str) -> None:
        """A link to a control machine ended."""
        now = asyncio.get_running_loop().time()
        self._view.link_closed(peer, now)
        self._follower.link_closed(peer)
        if self._links is not None:
            self._links.record_link_end(peer, now)
            self._tick_links()
        self._fetch_configuration()

    def message_received(self, peer: str, message: Message) -> None:
        """A message arrived over a link."""
        now = asyncio.get_running_loop().time()
        if self._links is not None:
            self._links.record_message(peer, message, now)
        if isinstance(message, WorkNotices):
            self._record_notices(peer, message, now)
            return
        self._view.message_received(peer, message, now)
        self._follower.message_received(peer, message, now)
        if isinstance(message, Status):
            self._tick_links()
        self._report_to_new_connection(now)
        self._fetch_configuration()

    def _record_notices(self, peer: str, message: WorkNotices, now: float) -> None:
        if self._links is not None and self._links.accepts_notices_from(peer):
            for notice in message.notices:
                self._router.record_notice(notice, now)

    def _fetch_configuration(self) -> None:
        """Send the fetch request that is due, and set a timer for the next one."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._extend_response_timeout(now)
        late_peer = self._follower.overdue_peer(now)
        if late_peer is not None and self._links is not None:
            self._links.record_overdue_response(late_peer, now)
        request = self._follower.next_request(now)
        if request is not None:
            self._send_to(request.peer, request.message)
        if self._fetch_timer is not None:
            self._fetch_timer.cancel()
        due = self._follower.next_wakeup(now)
        self._fetch_timer = loop.call_at(due + TIMER_MARGIN, self._fetch_configuration) if due else None

    def _extend_response_timeout(self, now: float) -> None:
        """Restart the timeout while a response arrives, since a large one may be slow on a thin link."""
        peer = self._follower.awaited_peer
        connection = self._links.connection(peer) if self._links and peer else None
        if peer is not None and connection is not None and connection.is_receiving(now, RESPONSE_TIMEOUT):
            self._follower.restart_response_timeout(peer, now)

    def _is_up_to_date(self) -> bool:
        return self._follower.is_up_to_date(asyncio.get_running_loop().time())

    def _send_to(self, peer: str, message: Message) -> None:
        connection = self._links.connection(peer) if self._links else None
        if connection is not None:
            connection.send(message)
