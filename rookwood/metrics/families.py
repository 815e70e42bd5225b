"""Builds metric families from plain values; the only module that uses the library's metric classes.

`prometheus_client` is pinned to the last release that can be imported without `ssl`, since both programs skip
that import (`cluster/startup.py`). Its own import costs a dispatcher 0.6 MB and 13-20 ms.
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
    """Return a metric whose value goes up and down."""
    return GaugeMetricFamily(PREFIX + name, meaning, value=value)


def counter(name: str, meaning: str, value: float) -> Metric:
    """Return a metric whose value only rises; the library appends `_total` to its name."""
    return CounterMetricFamily(PREFIX + name, meaning, value=value)


def gauges(name: str, meaning: str, labels: tuple[str, ...], samples: Iterable[Sample]) -> Metric:
    """Return a metric with a value for each combination of labels, which goes up and down."""
    family = GaugeMetricFamily(PREFIX + name, meaning, labels=labels)
    for sample in samples:
        family.add_metric([sample.labels[label] for label in labels], sample.value)
    return family


def counters(name: str, meaning: str, labels: tuple[str, ...], samples: Iterable[Sample]) -> Metric:
    """Return a metric with a value for each combination of labels, which only rises."""
    family = CounterMetricFamily(PREFIX + name, meaning, labels=labels)
    for sample in samples:
        family.add_metric([sample.labels[label] for label in labels], sample.value)
    return family
