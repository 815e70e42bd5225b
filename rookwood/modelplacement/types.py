"""Types shared by the placement table, the selection of workers and the planner of load orders."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto


@dataclass(frozen=True, slots=True, order=True)
class WeightsKey:
    """The weights that a request needs: a base model, or an adapter of it."""

    model: str
    adapter: str = ""  # empty: the base model

    @property
    def base(self) -> WeightsKey:
        """The key of an adapter's base model; a base model is its own base."""
        return WeightsKey(self.model) if self.adapter else self


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model as the configuration describes it."""

    name: str
    size_mb: float
    load_s: float
    adapters: int
    adapter_mb: float

    def size_of(self, key: WeightsKey) -> float:
        """Megabytes that the weights of `key` take; those of an adapter without its base model."""
        return self.adapter_mb if key.adapter else self.size_mb


@dataclass(frozen=True, slots=True)
class WorkerWeights:
    """A worker of an engine service with its resident models, by its newest report."""

    worker: str
    zone: str
    size_mb: float
    adapter_slots: int
    slots: int
    models: Mapping[str, frozenset[str]]  # model -> its resident adapters
    busy: bool  # an order is in progress
    sequence: int  # number of orders accepted
    active: int  # requests that run
    queued: int  # requests that wait at the worker
    draining: bool
    started: float
    reported: float | None = None  # when the report was received; None: at the time of the call

    def holds(self, key: WeightsKey) -> bool:
        """Whether the worker can run a request that needs `key`."""
        adapters = self.models.get(key.model)
        return adapters is not None and (not key.adapter or key.adapter in adapters)


class Outcome(Enum):
    """How an attempt ended, as the placement distinguishes it."""

    OK = auto()
    LATE = auto()
    FULL = auto()
    FAILED = auto()
    TIMED_OUT = auto()
