"""Parses the text in which the programs serve their metrics."""

from __future__ import annotations

from collections.abc import Iterable
from typing import cast

from prometheus_client import parser
from prometheus_client.metrics_core import Metric


class MetricsText:
    """The samples of one scrape."""

    def __init__(self, text: str) -> None:
        parsed = parser.text_string_to_metric_families(text)  # type: ignore[no-untyped-call]
        families = cast(Iterable[Metric], parsed)
        self.samples = [sample for family in families for sample in family.samples]

    def names(self) -> frozenset[str]:
        """The names of all samples."""
        return frozenset(sample.name for sample in self.samples)

    def sum(self, name: str, **labels: str) -> float:
        """The sum of the samples with this name and these labels; raises KeyError if the name is missing."""
        values = [
            float(sample.value)
            for sample in self.samples
            if sample.name == name and labels.items() <= sample.labels.items()
        ]
        if not values and name not in self.names():
            raise KeyError(name)
        return sum(values)
