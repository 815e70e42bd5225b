"""Converts the engines of the configuration for model placement, in both programs."""

from __future__ import annotations

from rookwood.clusterconfig.document import Engine
from rookwood.modelplacement.types import ModelSpec


def model_specs(engine: Engine) -> dict[str, ModelSpec]:
    """Return the model specifications of an engine, by model name."""
    return {
        model.name: ModelSpec(model.name, model.size_mb, model.load_s, model.adapters, model.adapter_mb)
        for model in engine.models.values()
    }
