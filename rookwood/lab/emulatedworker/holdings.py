"""The weights in the memory of a worker."""

from __future__ import annotations

from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.weights import JsonObject, WeightKey


class Holdings:
    """The weights in a worker's memory, with their versions."""

    def __init__(self, settings: WorkerSettings) -> None:
        self._settings = settings
        self._adapters: dict[str, set[str]] = {}  # by model

    def holds(self, weights: WeightKey) -> bool:
        """Whether requests for these weights can be served."""
        adapters = self._adapters.get(weights.model)
        if adapters is None:
            return False
        return weights.adapter is None or weights.adapter in adapters

    def add(self, weights: WeightKey) -> None:
        """Adds a model, or an adapter to a model that is present."""
        adapters = self._adapters.setdefault(weights.model, set())
        if weights.adapter is not None:
            adapters.add(weights.adapter)

    def discard(self, weights: WeightKey) -> None:
        """Removes an adapter, or a model and all adapters of it."""
        if weights.adapter is None:
            self._adapters.pop(weights.model, None)
        else:
            self._adapters.get(weights.model, set()).discard(weights.adapter)

    def has_room_for(self, weights: WeightKey) -> bool:
        """Whether memory and adapter slots suffice for one more."""
        slots = self._used_slots() + (weights.adapter is not None)
        return self._used_mb() + self._size_of(weights) <= self._settings.size_mb and (
            slots <= self._settings.adapter_slots
        )

    def models(self) -> list[JsonObject]:
        """The holdings as reports and registrations show them."""
        return [
            {"name": model, "ver": 1, "loras": sorted(adapters)} for model, adapters in self._adapters.items()
        ]

    def _used_slots(self) -> int:
        return sum(len(adapters) for adapters in self._adapters.values())

    def _used_mb(self) -> float:
        models = sum(self._size_of(WeightKey(model)) for model in self._adapters)
        adapters = sum(
            self._size_of(WeightKey(model, adapter))
            for model, names in self._adapters.items()
            for adapter in names
        )
        return models + adapters

    def _size_of(self, weights: WeightKey) -> float:
        spec = self._settings.model(weights.model)
        if spec is None:
            return 0.0
        return spec.size_mb if weights.adapter is None else spec.adapter_mb
