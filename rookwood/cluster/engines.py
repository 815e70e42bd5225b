"""An engine of the operator's configuration as model placement sees it; for both programs."""

from __future__ import annotations

from rookwood.clusterconfig.document import Engine
from rookwood.modelplacement.types import ModelSpec


def model_specs(engine: Engine) -> dict[str, ModelSpec]:
    """The models of an engine by name."""
    return {
        model.name: ModelSpec(model.name, model.size_mb, model.load_s, model.adapters, model.adapter_mb)
        for model in engine.models.values()
    }
