"""Building metric families from plain values; the only module that knows the library's metric classes.

`prometheus_client` is pinned to the last release that can be imported without `ssl`, which both programs
leave out (`cluster/startup.py`). Its import costs a dispatcher 0.6 MB and 13-20 ms.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

PREFIX = "rookwood_"


@dataclass(frozen=True, slots=True)
class Sample:
    """One value with its labels."""

    labels: Mapping[str, str]
    value: float


def gauge(name: str, meaning: str, value: float) -> Metric:
    """A value that goes up and down."""
    return GaugeMetricFamily(PREFIX + name, meaning, value=value)


def counter(name: str, meaning: str, value: float) -> Metric:
    """A value that only rises; the library appends `_total` to its name."""
    return CounterMetricFamily(PREFIX + name, meaning, value=value)


def gauges(name: str, meaning: str, labels: tuple[str, ...], samples: Iterable[Sample]) -> Metric:
    """Values that go up and down, told apart by labels."""
    family = GaugeMetricFamily(PREFIX + name, meaning, labels=labels)
    for sample in samples:
        family.add_metric([sample.labels[label] for label in labels], sample.value)
    return family


def counters(name: str, meaning: str, labels: tuple[str, ...], samples: Iterable[Sample]) -> Metric:
    """Values that only rise, told apart by labels."""
    family = CounterMetricFamily(PREFIX + name, meaning, labels=labels)
    for sample in samples:
        family.add_metric([sample.labels[label] for label in labels], sample.value)
    return family
