"""The data plane's process: serves clients, follows the control plane's feeds, reports demand."""

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
from rookwood.dataplane.attempt_limits import WAIT_SHARE, AttemptLimits
from rookwood.dataplane.client_listener import ClientListener, turn_loop
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
from rookwood.mechanisms import Mechanism
from rookwood.metrics.loop_lag import LoopLag
from rookwood.metrics.server import MetricsServer

if TYPE_CHECKING:
    from rookwood.cluster.feed import LinkSet
    from rookwood.metrics.exposition import FamilySource

logger = logging.getLogger("rookwood")

HOUSEKEEPING_INTERVAL = 1.0
HEADER_LIMIT = 64 * 1024
CLIENT_KEEPALIVE = 60.0
CLOSING_MARGIN = 0.3  # seconds before the process is killed at which whatever is under way ends
EXIT_MARGIN = 0.15  # seconds before the process is killed at which unread answers are given up
FIRST_REQUEST_LIMIT = 0.4  # seconds for which a new connection's first request is waited for
SHUTDOWN_LIMIT = 0.1  # seconds that the library gives to connections which are still open then
DRAIN_POLL = 0.05
TIMER_MARGIN = 0.005  # seconds by which timers go off later than the moment that they wait for


class DataPlane:
    """Wires the parts of a dispatcher together."""

    def __init__(self, settings: NodeSettings, options: Options | None = None) -> None:
        self._settings = settings
        self._options = options or Options()
        self._file = SettingsFile(settings_path(), settings)
        self._stopping = asyncio.Event()
        self._pool = WorkerPool()
        self._mechanisms = self._options.mechanisms
        self._router = Router(settings.ip, settings.zone, self._pool, self._mechanisms)
        self._demand = DemandMeter(self._weights_wanted)
        bounds = settings.bounds
        self._budget = RetryBudget(bounds.retry_ratio, bounds.retry_window, bounds.retry_slack)
        self._view = ClusterView(self._router.worker_changed, self._router.worker_gone)
        self._follower = ConfigurationFollower(
            settings.ip, self._router.configure, self._router.change_configuration
        )
        self._wakeup: asyncio.TimerHandle | None = None
        self._links: ControlLinks | None = None
        self._greeted: Connection | None = None
        self._proxy: Proxy | None = None

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is under way."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._keep_house)
        lag = LoopLag()
        limits = AttemptLimits(WAIT_SHARE if self._mechanisms.has(Mechanism.WAIT_SHARE) else 1.0, lag)
        client = UpstreamClient(self._settings.descriptors, self._mechanisms.has(Mechanism.KEEP_ALIVE))
        self._proxy = Proxy(
            self._router,
            self._pool,
            self._demand,
            self._budget,
            client,
            self._tell_work,
            self._is_level,
            LossLog(self._options.log_losses),
            self._mechanisms,
            limits,
        )
        self._links = ControlLinks(
            self._settings,
            self,
            lambda: [seed.ip for seed in self._file.settings.seeds],
            lambda: self._follower.position,
            lambda: lag.total,
        )
        self._keep_links()
        self._keep_house()
        clients = self._client_server(self._proxy)
        client_runner = web.ServerRunner(clients, handle_signals=False, shutdown_timeout=SHUTDOWN_LIMIT)
        listener = await self._serve_clients(client_runner)
        runners = [client_runner, await self._serve_readiness()]
        metrics = MetricsServer(
            self._settings.ip, partial(self._load_metrics, self._proxy, self._links.links, clients), lag=lag
        )
        await metrics.start()
        keepers = [
            asyncio.create_task(repeat(HOUSEKEEPING_INTERVAL, self._keep_house)),
            asyncio.create_task(repeat(TICK_INTERVAL, self._keep_links)),
        ]
        logger.info("data plane started")
        await run_until(self._stopping, keepers)
        await self._finish(self._proxy, clients, listener)
        await cancel_tasks(keepers)
        await metrics.stop()
        self._links.close()
        if self._wakeup is not None:
            self._wakeup.cancel()
        for runner in runners:
            await runner.cleanup()
        await client.close()

    def _load_metrics(self, proxy: Proxy, links: LinkSet, clients: ClientServer) -> list[FamilySource]:
        """What is told at a scrape; imported no sooner, see `MetricsServer`."""
        from rookwood.dataplane.metrics import DataPlaneMetrics

        figures = DataPlaneMetrics(
            self._router, self._follower.progress, self._view, links, proxy, self._demand, clients
        )
        return [figures.families]

    @staticmethod
    def _client_server(proxy: Proxy) -> ClientServer:
        return ClientServer(
            proxy.handle,
            keepalive_timeout=CLIENT_KEEPALIVE,
            access_log=None,
            max_line_size=HEADER_LIMIT,
            max_field_size=HEADER_LIMIT,
        )

    async def _serve_clients(self, runner: web.ServerRunner) -> ClientListener:
        await runner.setup()
        address = self._settings.listen["edge"]
        listener = ClientListener(runner, address.ip, address.port)
        await listener.start()
        return listener

    async def _serve_readiness(self) -> web.ServerRunner:
        server = web.Server(self._answer_readiness, access_log=None)
        runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=SHUTDOWN_LIMIT)
        await runner.setup()
        address = self._settings.listen["readyz"]
        await web.TCPSite(runner, address.ip, address.port).start()
        return runner

    async def _answer_readiness(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._ready() else 503)

    def _ready(self) -> bool:
        configured = self._router.configuration is not None and self._router.has_workers()
        return configured and not self._stopping.is_set()

    async def _finish(self, proxy: Proxy, clients: ClientServer, listener: ClientListener) -> None:
        """Serve until the platform noticed, then let what is under way end; answers are flushed."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        killed_at = began + self._settings.bounds.grace
        proxy.drain(killed_at - CLOSING_MARGIN)
        logger.info("data plane drains", extra={"in_flight": proxy.in_flight})
        await asyncio.sleep(min(INGRESS_NOTICE, self._settings.bounds.grace - CLOSING_MARGIN))
        await self._await_clients(clients, killed_at - CLOSING_MARGIN - FIRST_REQUEST_LIMIT)
        await listener.stop()
        await self._await_clients(clients, killed_at - EXIT_MARGIN)
        logger.info("data plane ends", extra={"connections": len(clients.connections)})

    @staticmethod
    async def _await_clients(clients: ClientServer, until: float) -> None:
        """Close connections as they become idle, until none is left; each answer ends its own."""
        while clients.connections and asyncio.get_running_loop().time() < until:
            await turn_loop()
            clients.close_idle(FIRST_REQUEST_LIMIT)
            await asyncio.sleep(DRAIN_POLL)

    def _keep_house(self) -> None:
        """Periodic work; also done at SIGHUP, which tells of a changed settings file."""
        self._file.refresh()
        now = asyncio.get_running_loop().time()
        self._view.remove_unreported_workers(now)
        self._follower.progress.check(self._settings.bounds.apply)
        self._budget.dispatchers = self._view.dispatcher_count()
        self._router.step_tables(now)
        self._report_demand(now)

    def _keep_links(self) -> None:
        """See which control machine feeds this dispatcher, and whether it is to be another one."""
        if self._links is not None:
            now = asyncio.get_running_loop().time()
            self._links.tick(now, self._follower.confirmed, self._view.primary(), self._view.members())

    def _report_demand(self, now: float) -> None:
        """Tell of all demand."""
        reports = self._demand.reports(now)
        if reports:
            wanted = self._router.tables.wanted()
            self._report(DemandReport(self._settings.ip, reports, wanted, complete=True))

    def _weights_wanted(self, key: ServiceKey) -> None:
        """The first request waits for weights: tell of it at once."""
        now = asyncio.get_running_loop().time()
        waiting = (self._demand.report(key, now),)
        self._report(DemandReport(self._settings.ip, waiting, (), complete=False))

    def _tell_work(self, notice: WorkNotice) -> None:
        self._report(WorkNotices((notice,)))

    def _report(self, message: DemandReport | WorkNotices) -> None:
        """Send a message to whoever passes it on to the primary, or to the primary."""
        connection = self._links.report_connection(self._view.primary()) if self._links is not None else None
        if connection is not None:
            connection.send(message)

    def _greet_listener(self, now: float) -> None:
        """Whoever takes the reports from now on knows of no demand: requests may be waiting already."""
        connection = self._links.report_connection(self._view.primary()) if self._links is not None else None
        if connection is not None and connection is not self._greeted:
            self._greeted = connection
            self._report_demand(now)

    def link_opened(self, peer: str, connection: Connection) -> None:
        """A feed is open."""
        self._view.link_opened(peer)

    def link_closed(self, peer: str) -> None:
        """A feed ended."""
        now = asyncio.get_running_loop().time()
        self._view.link_closed(peer, now)
        self._follower.link_closed(peer)
        if self._links is not None:
            self._links.record_link_end(peer, now)
            self._keep_links()
        self._ask_for_configuration()

    def message_received(self, peer: str, message: Message) -> None:
        """A feed brought a message."""
        now = asyncio.get_running_loop().time()
        if self._links is not None:
            self._links.record_message(peer, message, now)
        if isinstance(message, WorkNotices):
            self._take_notices(peer, message, now)
            return
        self._view.message_received(peer, message, now)
        self._follower.message_received(peer, message, now)
        if isinstance(message, Status):
            self._keep_links()
        self._greet_listener(now)
        self._ask_for_configuration()

    def _take_notices(self, peer: str, message: WorkNotices, now: float) -> None:
        if self._links is not None and self._links.accepts_notices_from(peer):
            for notice in message.notices:
                self._router.record_notice(notice, now)

    def _ask_for_configuration(self) -> None:
        """Send the request that is due, and come back when the next one may be."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._note_answer_under_way(now)
        overdue = self._follower.overdue_peer(now)
        if overdue is not None and self._links is not None:
            self._links.record_overdue_answer(overdue, now)
        request = self._follower.next_request(now)
        if request is not None:
            self._send_to(request.peer, request.message)
        if self._wakeup is not None:
            self._wakeup.cancel()
        due = self._follower.next_wakeup(now)
        self._wakeup = loop.call_at(due + TIMER_MARGIN, self._ask_for_configuration) if due else None

    def _note_answer_under_way(self, now: float) -> None:
        """A large answer over a thin link is no reason to ask another machine for the same."""
        peer = self._follower.awaited_peer
        connection = self._links.connection(peer) if self._links and peer else None
        if peer is not None and connection is not None and connection.is_receiving(now, RESPONSE_TIMEOUT):
            self._follower.restart_response_timeout(peer, now)

    def _is_level(self) -> bool:
        return self._follower.is_up_to_date(asyncio.get_running_loop().time())

    def _send_to(self, peer: str, message: Message) -> None:
        connection = self._links.connection(peer) if self._links else None
        if connection is not None:
            connection.send(message)
