"""Types shared by the placement table, the selection of workers and the planner of load orders."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto


@dataclass(frozen=True, slots=True, order=True)
class WeightsKey:
    """The weights a request asks for: a model, or an adapter on top of it."""

    model: str
    adapter: str = ""  # empty: the base model

    @property
    def base(self) -> WeightsKey:
        """The key of the model below an adapter; a base model is its own base."""
        return WeightsKey(self.model) if self.adapter else self


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """What the configuration says about a model."""

    name: str
    size_mb: float
    load_s: float
    adapters: int
    adapter_mb: float

    def size_of(self, key: WeightsKey) -> float:
        """Megabytes that the weights of `key` add to a worker that holds everything below them."""
        return self.adapter_mb if key.adapter else self.size_mb


@dataclass(frozen=True, slots=True)
class WorkerWeights:
    """What a worker of an engine service is known to hold, by its newest report."""

    worker: str
    zone: str
    size_mb: float
    adapter_slots: int
    slots: int
    models: Mapping[str, frozenset[str]]  # model -> adapters held
    busy: bool  # an order is in progress
    sequence: int  # number of orders taken
    active: int
    queued: int
    draining: bool
    started: float
    reported: float | None = None  # when the report was received; None: it is as new as the call

    def holds(self, key: WeightsKey) -> bool:
        """Whether a request for `key` can run here."""
        adapters = self.models.get(key.model)
        return adapters is not None and (not key.adapter or key.adapter in adapters)


class Outcome(Enum):
    """How a request ended at a worker, as far as placement cares."""

    OK = auto()
    LATE = auto()
    FULL = auto()
    FAILED = auto()
    TIMED_OUT = auto()
