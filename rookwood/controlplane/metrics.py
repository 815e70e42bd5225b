"""The metrics of a control machine."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.metrics_core import Metric

from rookwood.cluster.feed import FeedServer, LinkSet
from rookwood.cluster.invariants import INVARIANTS
from rookwood.cluster.metrics import (
    FEED_CHANNEL,
    REPLICATION_CHANNEL,
    configuration_families,
    invariant_families,
    link_families,
    refused_response_families,
    traffic_families,
)
from rookwood.cluster.progress import ConfigurationProgress, DispatcherLag, DispatcherProgress
from rookwood.cluster.view import ClusterView
from rookwood.controlplane.configuration_feed import ConfigurationFeed
from rookwood.controlplane.control_api import role_name
from rookwood.controlplane.payload import read_payload
from rookwood.controlplane.presence_store import PresenceStore
from rookwood.coordination.activity import GroupActivity, WriteTimes
from rookwood.coordination.group import ControlGroup, Unattached
from rookwood.httpclient.limits import REFUSED_RESPONSES
from rookwood.metrics.families import Sample, counter, counters, gauge, gauges
from rookwood.metrics.traffic import FEED_TRAFFIC

DISPATCHER_LABELS = ("dispatcher",)


class ControlPlaneMetrics:
    """Collects the metrics of a control machine's components at each scrape."""

    def __init__(
        self,
        group: ControlGroup,
        progress: ConfigurationProgress,
        view: ClusterView,
        feed: FeedServer,
        links: LinkSet,
        dispatchers: DispatcherProgress,
        configuration: ConfigurationFeed,
        presence: PresenceStore,
    ) -> None:
        self._group = group
        self._progress = progress
        self._view = view
        self._feed = feed
        self._links = links
        self._dispatchers = dispatchers
        self._configuration = configuration
        self._presence = presence

    def families(self) -> Iterator[Metric]:
        """Yield all metrics."""
        version = read_payload(self._group.snapshot().payload).version
        yield from configuration_families(version, self._progress)
        yield from dispatcher_families(list(self._dispatchers.lags()))
        yield from link_families([*self._feed.connections, *self._links.connections()])
        yield from self._traffic_families()
        yield from self._group_families()
        yield from activity_families(self._group.activity)
        yield from write_families(self._group.activity.writes)
        yield gauge(
            "confirmations_open",
            "Fetch requests that await a confirming quorum round.",
            len(self._configuration.pending_fetches),
        )
        yield gauge("workers_known", "Workers in the view.", sum(1 for _ in self._view.registry))
        yield from presence_families(self._presence)
        yield from refused_response_families(REFUSED_RESPONSES)
        yield from invariant_families(INVARIANTS)

    def _traffic_families(self) -> Iterator[Metric]:
        transport = self._group.transport
        yield from traffic_families({FEED_CHANNEL: FEED_TRAFFIC, REPLICATION_CHANNEL: transport.traffic})
        yield gauge("replication_links_open", "Open links to other members.", transport.open_links())
        yield gauge("replication_queue_bytes", "Bytes queued for other members.", transport.queued_bytes())

    def _group_families(self) -> Iterator[Metric]:
        role = self._group.role()
        name = role_name(role).value
        yield gauges("role", "1 for the current role.", ("role",), [Sample({"role": name}, 1)])
        yield gauge("epoch", "Epoch of the known primary.", _known_epoch(self._group))
        yield gauge("promised_epoch", "Highest epoch promised.", self._group.promised_epoch())
        yield gauge(
            "members_reachable",
            "Members in contact, this one included.",
            len(self._group.reachable_members()),
        )
        yield gauge(
            "calls_open", "Proposed changes and confirmations that are pending.", self._group.pending_calls
        )
        yield gauge("disk_writes_open", "Disk writes that are not synced yet.", self._group.pending_writes)


def _known_epoch(group: ControlGroup) -> int:
    role = group.role()
    return 0 if isinstance(role, Unattached) else role.epoch


def dispatcher_families(lags: list[DispatcherLag]) -> Iterator[Metric]:
    """How far each dispatcher that has reported is behind the newest commit."""
    yield gauges(
        "dispatcher_behind_seconds",
        "Age of the oldest commit that the dispatcher has not reported; 0 when up to date.",
        DISPATCHER_LABELS,
        (Sample({"dispatcher": lag.dispatcher}, lag.behind_seconds) for lag in lags),
    )
    yield gauges(
        "dispatcher_take_up_seconds",
        "From the commit of the position that the dispatcher last reported to that report.",
        DISPATCHER_LABELS,
        (
            Sample({"dispatcher": lag.dispatcher}, lag.take_up_seconds)
            for lag in lags
            if lag.take_up_seconds is not None
        ),
    )
    yield gauges(
        "dispatcher_sequence",
        "Sequence of the position that the dispatcher last reported.",
        DISPATCHER_LABELS,
        (Sample({"dispatcher": lag.dispatcher}, lag.position.sequence) for lag in lags),
    )


def presence_families(presence: PresenceStore) -> Iterator[Metric]:
    """The drains and deregistrations that are kept on disk."""
    yield gauge("presence_changes_kept", "Drains and deregistrations that are kept.", len(presence))
    yield gauge(
        "presence_changes_unstored",
        "Drains and deregistrations that are not synced here yet.",
        presence.unstored_count,
    )
    yield counter(
        "presence_write_failures",
        "Writes of drains and deregistrations that failed.",
        presence.write_failures,
    )


def activity_families(activity: GroupActivity) -> Iterator[Metric]:
    """Elections, refused promises and role changes."""
    refused = (
        Sample({"kind": "older_epoch"}, activity.old_epoch_refusals),
        Sample({"kind": "pre_vote"}, activity.pre_vote_refusals),
    )
    yield counter("elections_begun", "Epochs for which this member asked for votes.", activity.elections)
    yield counter("pre_votes_begun", "Pre-vote ballots that this member sent.", activity.pre_votes)
    yield counters("promises_refused", "Refusals that this member sent, by kind.", ("kind",), refused)
    yield counter("role_changes", "Role changes.", activity.role_changes)


def write_families(writes: WriteTimes) -> Iterator[Metric]:
    """Durable writes and their durations."""
    yield counter("disk_writes", "Durable writes, failed ones included.", writes.writes)
    yield counter("disk_write_failures", "Durable writes that failed.", writes.failures)
    yield counter("disk_write_seconds", "Time spent in durable writes.", writes.total_seconds)
    yield gauge("disk_write_last_seconds", "Time of the last durable write.", writes.last_seconds)
    yield gauge("disk_write_longest_seconds", "Time of the longest durable write.", writes.longest_seconds)
