"""Weights by name, and the store that they are read from."""

from __future__ import annotations

from dataclasses import dataclass, field

JsonObject = dict[str, object]


@dataclass(frozen=True)
class WeightKey:
    """A model, or an adapter of it."""

    model: str
    adapter: str | None = None

    @classmethod
    def parse(cls, text: str) -> WeightKey:
        """Reads the value of an `X-Model` header."""
        model, _, adapter = text.partition("/")
        return cls(model, adapter or None)

    def __str__(self) -> str:
        return self.model if self.adapter is None else f"{self.model}/{self.adapter}"


@dataclass(frozen=True)
class ModelSpec:
    """A model that a service offers; its adapters are named a1, a2 and so on."""

    name: str
    size_mb: float = 100.0
    load_s: float = 0.05
    adapters: int = 0
    adapter_mb: float = 1.0

    @property
    def adapter_names(self) -> list[str]:
        """The names of all adapters."""
        return [f"a{number}" for number in range(1, self.adapters + 1)]


@dataclass
class WeightStore:
    """The store that all workers fetch weights from; remembers when each load began."""

    loads: list[float] = field(default_factory=list)

    def most_loads_within(self, window_s: float) -> int:
        """The largest number of loads that began within one span of that length."""
        return max((self._loads_from(start, window_s) for start in self.loads), default=0)

    def _loads_from(self, start: float, window_s: float) -> int:
        return sum(start <= load < start + window_s for load in self.loads)
