"""Builds the text of all metrics, with a registry whose only collector reads the sources of the process.

The library's own collectors of process, platform and garbage collector are left out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from prometheus_client.core import CollectorRegistry
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from rookwood.metrics.families import Sample, counter, gauge, gauges
from rookwood.metrics.loop_lag import LoopLag
from rookwood.metrics.process import ProcessUsage

FamilySource = Callable[[], Iterable[Metric]]


class FamilySourceCollector(Collector):
    """Reads all sources at every scrape, so that counting does not need the library."""

    def __init__(self, sources: Iterable[FamilySource]) -> None:
        self._sources = tuple(sources)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families of all sources."""
        for source in self._sources:
            yield from source()


def render(sources: Iterable[FamilySource]) -> bytes:
    """Return the metric families of these sources as text."""
    registry = CollectorRegistry()
    registry.register(FamilySourceCollector(sources))
    return generate_latest(registry)


def loop_families(lag: LoopLag) -> Iterator[Metric]:
    """Yield the metric families of the event loop's lag."""
    samples = (
        Sample({"kind": "last"}, lag.last),
        Sample({"kind": "recent_maximum"}, lag.recent_maximum),
        Sample({"kind": "maximum"}, lag.maximum),
    )
    yield gauges("loop_lag_seconds", "How late the event loop ran a periodic task.", ("kind",), samples)
    yield counter("loop_lag_sum_seconds", "Sum of the lags measured.", lag.total)
    yield counter("loop_lag_measurements", "How many lags were measured.", lag.measurements)


def process_families() -> Iterator[Metric]:
    """Yield the metric families of this process's memory, processor time and descriptors."""
    usage = ProcessUsage.read()
    yield gauge("process_resident_bytes", "Resident memory.", usage.resident_bytes)
    yield counter("process_processor_seconds", "Processor time used.", usage.processor_seconds)
    yield gauge("process_open_descriptors", "Open file descriptors.", usage.descriptors)
