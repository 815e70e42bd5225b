"""Metrics of both programs: configuration, links, traffic and violated invariants."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from prometheus_client.metrics_core import Metric

from rookwood.cluster.connection import Connection
from rookwood.cluster.invariants import InvariantCounter
from rookwood.cluster.progress import ConfigurationProgress
from rookwood.httpclient.limits import RefusedResponses
from rookwood.metrics.families import Sample, counters, gauge, gauges
from rookwood.metrics.traffic import MessageTraffic, TrafficRecord

FEED_CHANNEL = "feed"
REPLICATION_CHANNEL = "replication"
TRAFFIC_LABELS = ("channel", "direction", "peer", "type")


def configuration_families(version: int, progress: ConfigurationProgress) -> Iterator[Metric]:
    """The configuration in force, and how far it is behind the newest announced position."""
    yield gauge("configuration_version", "Version of the configuration in force; 0: none.", version)
    yield gauge("configuration_epoch", "Epoch of the position in force.", progress.in_force.epoch)
    yield gauge("configuration_sequence", "Sequence of the position in force.", progress.in_force.sequence)
    yield gauge(
        "configuration_in_force_seconds", "Time since it was put in force.", progress.seconds_in_force()
    )
    yield gauge("announced_epoch", "Epoch of the newest announced position.", progress.announced.epoch)
    yield gauge(
        "announced_sequence", "Sequence of the newest announced position.", progress.announced.sequence
    )
    yield gauge(
        "configuration_behind_seconds",
        "For how long something newer has been announced; 0 when level.",
        progress.seconds_behind(),
    )


def link_families(connections: Iterable[Connection]) -> Iterator[Metric]:
    """Open feed links and the bytes queued on them, by kind of peer."""
    links: Counter[str] = Counter()
    queued: Counter[str] = Counter()
    largest: dict[str, int] = {}
    for connection in connections:
        kind, waiting = connection.peer_kind, connection.queued_bytes
        links[kind] += 1
        queued[kind] += waiting
        largest[kind] = max(largest.get(kind, 0), waiting)
    yield _by_peer("links_open", "Open feed links.", links)
    yield _by_peer("link_queue_bytes", "Bytes queued on all feed links.", queued)
    yield _by_peer("link_queue_largest_bytes", "Bytes queued on the fullest feed link.", largest)


def traffic_families(channels: dict[str, MessageTraffic]) -> Iterator[Metric]:
    """Message and byte counts of each channel."""
    records = [(name, record) for name, traffic in channels.items() for record in traffic.records()]
    yield counters(
        "messages",
        "Messages by channel, direction, kind of peer and type.",
        TRAFFIC_LABELS,
        (Sample(_traffic_labels(name, record), record.volume.messages) for name, record in records),
    )
    yield counters(
        "message_bytes",
        "Bytes of these messages, with framing.",
        TRAFFIC_LABELS,
        (Sample(_traffic_labels(name, record), record.volume.size) for name, record in records),
    )


def invariant_families(invariants: InvariantCounter) -> Iterator[Metric]:
    """Violations by invariant; any value but 0 is a defect."""
    samples = (Sample({"invariant": name.value}, count) for name, count in invariants.counts.items())
    yield counters("invariant_violations", "Violated invariants.", ("invariant",), samples)


def refused_response_families(refused: RefusedResponses) -> Iterator[Metric]:
    """Responses of workers that were given up, by what went beyond its limit."""
    samples = (Sample({"excess": excess.value}, count) for excess, count in refused.counts().items())
    yield counters("responses_refused", "Responses of workers beyond a limit.", ("excess",), samples)


def _by_peer(name: str, description: str, values: dict[str, int]) -> Metric:
    return gauges(
        name, description, ("peer",), (Sample({"peer": kind}, value) for kind, value in values.items())
    )


def _traffic_labels(channel: str, record: TrafficRecord) -> dict[str, str]:
    return {
        "channel": channel,
        "direction": record.direction.value,
        "peer": record.peer,
        "type": record.message_type,
    }
