"""A control machine's process: replication, worker registry, operator interface, feeds and load orders."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import web

from rookwood.cluster.connection import Connection
from rookwood.cluster.feed import FeedServer, LinkSet
from rookwood.cluster.messages import (
    PROTOCOL_RELEASE,
    RELEASE_WITH_RELAYED_FEED,
    ControlMachine,
    DemandReport,
    DemandSummary,
    FetchConfiguration,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    Message,
    PresenceAck,
    Status,
    WorkerGone,
    WorkerUpdates,
    WorkNotices,
)
from rookwood.cluster.position import ConfigurationPosition
from rookwood.cluster.progress import ConfigurationProgress, DispatcherProgress
from rookwood.cluster.settings import NodeSettings, SettingsFile, settings_path
from rookwood.cluster.tasks import cancel_tasks, repeat, run_until
from rookwood.cluster.view import ClusterView
from rookwood.cluster.workers import PresenceChange
from rookwood.controlplane.configuration_feed import ConfigurationFeed
from rookwood.controlplane.control_api import ControlApi
from rookwood.controlplane.demand_relay import SUMMARY_INTERVAL, DemandRelay, PrimaryLink
from rookwood.controlplane.dispatcher_count import DispatcherCount
from rookwood.controlplane.load_scheduler import LoadScheduler
from rookwood.controlplane.notice_relay import NoticeRelay
from rookwood.controlplane.operator_api import OperatorApi
from rookwood.controlplane.peer_feed import PeerFeed
from rookwood.controlplane.presence_quorum import PresenceQuorum
from rookwood.controlplane.presence_storage import PresenceStorage
from rookwood.controlplane.presence_store import PresenceStore
from rookwood.controlplane.tenure import Tenure
from rookwood.controlplane.worker_api import WorkerApi
from rookwood.controlplane.worker_relay import WorkerRelay
from rookwood.controlplane.worker_table import Audience, WorkerTable
from rookwood.coordination.document import MAX_PAYLOAD_BYTES
from rookwood.coordination.group import (
    ControlGroup,
    Following,
    GroupSettings,
    Primary,
    Role,
    Snapshot,
)
from rookwood.httpserver.admission import Admission
from rookwood.httpserver.limits import ListenerLimits, control_connections, link_connections
from rookwood.httpserver.middlewares import admit_bodies, write_within
from rookwood.httpserver.server import BoundedServer
from rookwood.mechanisms import ALL_MECHANISMS, Mechanisms
from rookwood.memory_budget import MemoryBudget
from rookwood.metrics.loop_lag import LoopLag
from rookwood.metrics.server import MetricsServer

if TYPE_CHECKING:
    from rookwood.metrics.exposition import FamilySource

logger = logging.getLogger("rookwood")

TIER_CORE = "core"
STATUS_INTERVAL = 0.4  # seconds
UNCHANGED_STATUS_INTERVAL = 2.0  # seconds between two unchanged statuses to dispatchers
HOUSEKEEPING_INTERVAL = 0.5  # seconds
SETTLED_HEARTBEATS = 4.0  # heartbeat intervals from the start until workers have called this machine


@dataclass(frozen=True, slots=True)
class KnownPrimary:
    """The primary that this machine knows; its address is empty if there is none.

    `in_contact` is true while messages from it arrive within the lease time, `fresh` while this machine also
    has every commit that the primary has announced. Both are true if this machine is the primary.
    """

    address: str
    epoch: int
    in_contact: bool
    fresh: bool


class ControlPlane:
    """Connects the components of a control machine, and handles the messages of its subscribers."""

    def __init__(self, settings: NodeSettings, mechanisms: Mechanisms = ALL_MECHANISMS) -> None:
        self._settings = settings
        self._settings_file = SettingsFile(settings_path(), settings)
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._started = 0.0
        self._commit_timer: asyncio.TimerHandle | None = None
        self._memory = MemoryBudget.for_memory(settings.memory_megabytes)
        self.group = ControlGroup(
            group_settings(settings),
            on_commit=self._handle_commit,
            on_role=self._handle_role_change,
            budget=self._memory,
        )
        self._configuration = ConfigurationFeed(self.group)
        self._view = ClusterView(self._handle_worker_change, self._handle_worker_gone)
        self._feed = FeedServer(self, self._memory, link_connections(settings.descriptors))
        self._loop_lag = LoopLag()
        self.dispatchers = DispatcherProgress(stalled=lambda: self._loop_lag.total)
        self._dispatcher_count = DispatcherCount()
        self._progress = ConfigurationProgress()
        self._notices = NoticeRelay(self._send_notices, self._send_notices_to_core)
        self._worker_relay = WorkerRelay(self._view.registry.get, self._send_to_dispatchers)
        self._table = WorkerTable(self._view, settings.ip, settings.heartbeat_interval, self._publish)
        self._tenure = Tenure(settings.ip, settings.bounds.lease, settings.bounds.fenced)
        self._scheduler = LoadScheduler(
            settings.hostname,
            settings.bounds,
            self.group,
            self._view,
            self._table,
            self._tenure,
            mechanisms,
            self._memory,
        )
        self._demand_relay = DemandRelay(settings.ip, self._scheduler.demand, self._primary_link)
        self._presence = PresenceQuorum(self.group.members, settings.tolerated_machine_failures)
        self._presence_store = PresenceStore(
            PresenceStorage(settings.data_directory or ""), self._handle_presence_stored
        )
        self._peers = PeerFeed(
            self._view,
            self._publish,
            self._tenure,
            self._notices.relay_from_control_machine,
            self._presence_store.add,
        )
        self._sent_status: Status | None = None
        self._status_sent_at = 0.0
        self._links: LinkSet | None = None
        self._metrics: MetricsServer | None = None
        self._server: BoundedServer | None = None

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._run_housekeeping)
        self._started = loop.time()
        _, stored_changes = await asyncio.gather(self.group.start(), self._presence_store.load())
        self._table.restore(stored_changes)
        await self._feed.start(self._settings.ip, self._settings.feed_port)
        await self._serve_http()
        hello = Hello(self._settings.ip, TIER_CORE, self._settings.zone, PROTOCOL_RELEASE)
        self._links = LinkSet(
            self._settings.feed_port, hello, self._peers, self._settings.ip, budget=self._memory
        )
        self._metrics = MetricsServer(
            self._settings.ip,
            partial(self._load_metrics, self._links),
            lag=self._loop_lag,
            budget=self._memory,
        )
        await self._metrics.start()
        self._tasks = [
            asyncio.create_task(repeat(STATUS_INTERVAL, self._send_status)),
            asyncio.create_task(repeat(HOUSEKEEPING_INTERVAL, self._run_housekeeping)),
            asyncio.create_task(repeat(SUMMARY_INTERVAL, self._send_demand_summary)),
            asyncio.create_task(self._scheduler.run()),
            asyncio.create_task(self._presence_store.run()),
        ]
        self._run_housekeeping()
        logger.info("control plane started")
        await run_until(self._stopping, self._tasks)
        await self._stop()

    def _load_metrics(self, links: LinkSet) -> list[FamilySource]:
        """The metrics for a scrape; their module is imported only then, see `MetricsServer`."""
        from rookwood.controlplane.metrics import ControlPlaneMetrics

        metrics = ControlPlaneMetrics(
            self.group,
            self._progress,
            self._view,
            self._feed,
            links,
            self.dispatchers,
            self._configuration,
            self._presence_store,
        )
        return [metrics.families]

    async def _stop(self) -> None:
        logger.info("control plane stops")
        await self.group.stop(transfer=True)
        if self._commit_timer is not None:
            self._commit_timer.cancel()
        await cancel_tasks([*self._tasks, *self._configuration.pending_fetches])
        await self._presence_store.close()
        if self._metrics is not None:
            await self._metrics.stop()
        if self._links is not None:
            self._links.close()
        await self._feed.stop()
        if self._server is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self._server.stop()

    async def _serve_http(self) -> None:
        application = web.Application(
            client_max_size=MAX_PAYLOAD_BYTES,
            middlewares=[write_within(self._memory), admit_bodies(self._memory, MAX_PAYLOAD_BYTES)],
        )
        store_change = partial(self._presence_store.add, machine=self._settings.ip)
        WorkerApi(self.group, self._table, self._presence, store_change).add_routes(application)
        OperatorApi(self._settings, self.group).add_routes(application)
        ControlApi(self._settings.ip, self.group, self.dispatchers).add_routes(application)
        runner = web.AppRunner(application, handle_signals=False, shutdown_timeout=0.5)
        limits = ListenerLimits(control_connections(self._settings.descriptors))
        self._server = BoundedServer(runner, Admission(limits, self._memory))
        address = self._settings.listen["ctl"]
        await self._server.start(address.ip, address.port)

    def _run_housekeeping(self) -> None:
        """Do periodic work; also runs at SIGHUP, which signals that the settings file changed."""
        self._settings_file.refresh()
        now = asyncio.get_running_loop().time()
        self._table.expire(now)
        self._expire_presence_changes(now)
        self.dispatchers.check(self._settings.bounds.apply)
        if self._links is not None:
            seeds = {seed.ip for seed in self._settings_file.settings.seeds}
            self._links.set_peers(seeds | set(self.group.members()) | self._view.members())

    def _expire_presence_changes(self, now: float) -> None:
        registry = self._view.registry
        for worker in self._presence_store.expire(now, lambda worker: registry.get(worker) is not None):
            registry.forget_departure(worker)

    def _handle_presence_stored(self, machine: str, change: PresenceChange) -> None:
        """Count a change that is synced here, or acknowledge it to the machine that sent it."""
        if machine == self._settings.ip:
            self._presence.record_acknowledgement(machine, change)
        else:
            self._peers.acknowledge_stored(machine, change)

    def _known_primary(self) -> KnownPrimary:
        role = self.group.role()
        if isinstance(role, Primary):
            return KnownPrimary(self._settings.ip, role.epoch, in_contact=True, fresh=True)
        if isinstance(role, Following):
            return KnownPrimary(role.primary, role.epoch, role.in_contact, role.is_fresh)
        return KnownPrimary("", 0, in_contact=False, fresh=False)

    def _status(self) -> Status:
        primary = self._known_primary()
        snapshot = self.group.snapshot()
        now = asyncio.get_running_loop().time()
        attached = self._count_attached()
        all_attached = attached + self._view.attached_dispatchers()
        return Status(
            identity=self._settings.ip,
            epoch=primary.epoch,
            primary=primary.address,
            fresh=primary.in_contact,
            settled=now - self._started > SETTLED_HEARTBEATS * self._settings.heartbeat_interval,
            config_epoch=snapshot.epoch,
            config_sequence=snapshot.sequence,
            dispatchers=self._dispatcher_count.update(all_attached, now),
            members=self.group.members(),
            release=PROTOCOL_RELEASE,
            attached=attached,
            roots=self._roots(),
        )

    def _count_attached(self) -> int:
        """How many dispatchers subscribe to this machine."""
        hellos = [connection.hello for connection in self._feed.subscribers if is_dispatcher(connection)]
        return len({hello.identity for hello in hellos if hello is not None})

    def _roots(self) -> tuple[ControlMachine, ...]:
        """The members linked to this machine and itself, to which dispatchers may subscribe.

        Members subscribe only to members, so what a dispatcher sent to any other machine would not reach all.
        """
        hellos = [connection.hello for connection in self._feed.connections if is_core(connection)]
        linked = {ControlMachine(hello.identity, hello.zone) for hello in hellos if hello is not None}
        linked.add(ControlMachine(self._settings.ip, self._settings.zone))
        members = self.group.members()
        return tuple(sorted(machine for machine in linked if machine.ip in members))

    def _heartbeat_answer(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        snapshot = self.group.snapshot()
        fresh = self._known_primary().fresh
        return HeartbeatAnswer(heartbeat.sent_at, snapshot.epoch, snapshot.sequence, fresh)

    def _send_status(self) -> None:
        """Send the status: to control machines always, as a heartbeat, and to dispatchers if it has changed.

        To dispatchers, the responses to their own heartbeats are the sign of life.
        """
        now = asyncio.get_running_loop().time()
        status = self._status()
        self._view.message_received(self._settings.ip, replace(status, attached=0), now)
        if status == self._sent_status and now - self._status_sent_at < UNCHANGED_STATUS_INTERVAL:
            self._feed.send_to(
                [connection for connection in self._feed.connections if is_core(connection)], status
            )
            return
        self._sent_status = status
        self._status_sent_at = now
        self._feed.broadcast(status)

    def _publish(self, message: WorkerUpdates | WorkerGone, audience: Audience) -> None:
        if audience is not Audience.DISPATCHERS:
            self._feed.send_to(
                [connection for connection in self._feed.subscribers if is_core(connection)], message
            )
        if audience is Audience.CONTROL_MACHINES:
            return
        if isinstance(message, WorkerUpdates):
            self._worker_relay.relay_updates(message)
        else:
            self._send_to_dispatchers(message)

    def _send_to_dispatchers(self, message: WorkerUpdates | WorkerGone | WorkNotices) -> None:
        self._feed.send_to(
            [connection for connection in self._feed.subscribers if is_dispatcher(connection)], message
        )

    def _handle_commit(self, snapshot: Snapshot) -> None:
        """Schedule the newest commit to be applied after the operator's call is responded to.

        The group resolves that call right after this callback. A timer, even one without delay, runs after
        everything that is ready by then, including the response to the operator.
        """
        self.dispatchers.record_commit(ConfigurationPosition(snapshot.epoch, snapshot.sequence))
        if self._commit_timer is None:
            self._commit_timer = asyncio.get_running_loop().call_later(0, self._apply_commit)

    def _apply_commit(self) -> None:
        """Apply the newest commit to the load scheduler, and announce it to all subscribers."""
        self._commit_timer = None
        if self._configuration.apply_commit():
            self._scheduler.configure(self._configuration.configuration)
        self._progress.put_in_force(self._configuration.position)
        self._send_status()

    def _apply_pending_commit(self) -> None:
        if self._commit_timer is not None:
            self._commit_timer.cancel()
            self._apply_commit()

    def _handle_role_change(self, role: Role) -> None:
        logger.info("role changed", extra={"role": repr(role)})
        now = asyncio.get_running_loop().time()
        if isinstance(role, Primary):
            self._tenure.record_primary(self._settings.ip, role.epoch, now)
        elif isinstance(role, Following):
            self._tenure.record_primary(role.primary, role.epoch, now)
        self._send_demand_summary()
        self._send_status()

    def _primary_link(self) -> PrimaryLink | None:
        """The link to the primary; None if this machine is the primary or has no link to it."""
        primary = self._known_primary().address
        connection = self._links.connection(primary) if self._links and primary else None
        return None if connection is None else PrimaryLink(connection, self._view.release(primary))

    def _send_demand_summary(self) -> None:
        self._demand_relay.send_summary(asyncio.get_running_loop().time())

    def _handle_worker_change(self, record: object) -> None:
        pass

    def _handle_worker_gone(self, worker: str) -> None:
        logger.info("worker gone", extra={"worker": worker})

    def initial_messages(self, connection: Connection) -> Iterable[Message]:
        """The status and, for a subscriber, the list of workers that its kind of process gets."""
        if connection.hello is not None and not connection.hello.subscribes:
            return (self._status(),)
        return (
            self._status(),
            self._table.reported_here() if is_core(connection) else self._table.all_workers(),
        )

    def message_received(self, connection: Connection, message: Message) -> None:
        """Handle a message on a link that another process opened."""
        if isinstance(message, FetchConfiguration):
            self._apply_pending_commit()
            self._configuration.handle_fetch(connection, message)
        elif isinstance(message, Heartbeat):
            if connection.hello is not None and not is_core(connection):
                self.dispatchers.record_report(connection.hello.identity, message.position, message.stalled)
                connection.send(self._heartbeat_answer(message))
        elif isinstance(message, DemandReport):
            self._scheduler.record_demand(message)
            self._demand_relay.relay_report(message)
        elif isinstance(message, DemandSummary):
            self._scheduler.record_demand(message)
        elif isinstance(message, WorkNotices):
            self._notices.relay_from_dispatcher(message)
        elif isinstance(message, PresenceAck) and connection.hello is not None:
            if message.stored:
                self._presence.record_acknowledgement(connection.hello.identity, message.change)

    def _send_notices(self, notices: WorkNotices) -> None:
        """Send notices to the dispatchers that this machine feeds.

        Dispatchers of release 0 subscribe to all machines, so only the primary sends them notices.
        """
        min_release = 0 if isinstance(self.group.role(), Primary) else RELEASE_WITH_RELAYED_FEED
        dispatchers = [connection for connection in self._feed.subscribers if is_dispatcher(connection)]
        receivers = [
            connection
            for connection in dispatchers
            if connection.hello and connection.hello.release >= min_release
        ]
        self._feed.send_to(receivers, notices)

    def _send_notices_to_core(self, notices: WorkNotices) -> None:
        self._feed.send_to(
            [connection for connection in self._feed.subscribers if is_core(connection)], notices
        )

    def subscriber_lost(self, connection: Connection) -> None:
        """Forget the position that a dispatcher reported, as its link ended."""
        if connection.hello is not None:
            self.dispatchers.remove_dispatcher(connection.hello.identity)


def is_core(connection: Connection) -> bool:
    """Whether the other end of the link is a control machine."""
    return connection.hello is not None and connection.hello.tier == TIER_CORE


def is_dispatcher(connection: Connection) -> bool:
    """Whether the other end of the link is a dispatcher."""
    return connection.hello is not None and connection.hello.tier != TIER_CORE


def group_settings(settings: NodeSettings) -> GroupSettings:
    """Derive the settings of the replication group from those of the process."""
    return GroupSettings(
        ip=settings.ip,
        port=settings.replication_port,
        listen_ip=settings.ip,
        seeds=tuple(seed.ip for seed in settings.seeds),
        tolerate=settings.tolerated_machine_failures,
        bootstrap=settings.bootstrap,
        directory=settings.data_directory or "",
        disk_mb=settings.disk_megabytes,
    )
