"""The metrics of a dispatcher."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.metrics_core import Metric

from rookwood.cluster.feed import LinkSet
from rookwood.cluster.invariants import INVARIANTS
from rookwood.cluster.metrics import (
    FEED_CHANNEL,
    configuration_families,
    invariant_families,
    link_families,
    refused_response_families,
    traffic_families,
)
from rookwood.cluster.progress import ConfigurationProgress
from rookwood.cluster.view import ClusterView
from rookwood.dataplane.client_server import ClientServer
from rookwood.dataplane.demand import DemandMeter
from rookwood.dataplane.proxy import Proxy
from rookwood.dataplane.request_counts import RequestCounts
from rookwood.dataplane.router import Router
from rookwood.httpclient.limits import REFUSED_RESPONSES
from rookwood.metrics.families import Sample, counter, counters, gauge
from rookwood.metrics.traffic import FEED_TRAFFIC


class DataPlaneMetrics:
    """Collects the metrics from a dispatcher's parts at each scrape."""

    def __init__(
        self,
        router: Router,
        progress: ConfigurationProgress,
        view: ClusterView,
        links: LinkSet,
        proxy: Proxy,
        demand: DemandMeter,
        clients: ClientServer,
    ) -> None:
        self._router = router
        self._progress = progress
        self._view = view
        self._links = links
        self._proxy = proxy
        self._demand = demand
        self._clients = clients

    def families(self) -> Iterator[Metric]:
        """All metric families."""
        configuration = self._router.configuration
        version = 0 if configuration is None else configuration.version
        yield from configuration_families(version, self._progress)
        yield from link_families(self._links.connections())
        yield from traffic_families({FEED_CHANNEL: FEED_TRAFFIC})
        yield from request_families(self._proxy.counts)
        yield from refused_response_families(REFUSED_RESPONSES)
        yield gauge("requests_in_flight", "Requests being handled.", self._proxy.in_flight)
        yield gauge("requests_waiting", "Requests that wait for weights.", self._demand.waiting_count)
        yield gauge("client_connections", "Open client connections.", len(self._clients.connections))
        yield gauge("workers_known", "Workers in the view.", sum(1 for _ in self._view.registry))
        yield from invariant_families(INVARIANTS)


def request_families(counts: RequestCounts) -> Iterator[Metric]:
    """Requests by outcome, the dispatcher's error responses by cause, and attempts at workers."""
    ended = (
        Sample({"outcome": requests.outcome.value, "status": requests.status_class}, requests.count)
        for requests in counts.ended_requests()
    )
    error_responses = (
        Sample({"status": str(cause.status), "reason": cause.reason}, count)
        for cause, count in counts.error_responses.items()
    )
    yield counters("requests", "Ended requests by outcome.", ("outcome", "status"), ended)
    yield counters("refusals", "Own refusals by cause.", ("status", "reason"), error_responses)
    yield counter("attempts", "Attempts at workers.", counts.attempts)
