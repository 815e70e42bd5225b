"""Settings of an emulated worker."""

from __future__ import annotations

from dataclasses import dataclass

from rookwood.lab.emulatedworker.weights import ModelSpec


@dataclass(frozen=True)
class WorkerSettings:
    """How a worker presents itself, what it holds at most and how fast it works."""

    service: str
    zone: str = "z1"
    health_path: str = "/healthz"
    software_version: str = "v1"
    slots: int = 8
    queue_limit: int = 8
    catalogue: tuple[ModelSpec, ...] = ()  # empty for a service without models
    size_mb: float = 0.0
    adapter_slots: int = 0
    fenced: bool = True
    work_s: float = 0.005  # until the first byte of an answer
    event_interval_s: float = 0.005
    events: int = 5  # of a stream whose request names no number of tokens
    tokens_per_event: int = 5
    event_padding_bytes: int = 0  # added to the data of each event
    plain_body_bytes: int = 800  # of an answer that is no stream
    kv_capacity: int = 200_000
    heartbeat_interval_s: float = 0.2
    drain_s: float = 2.0
    report_lag_s: float = 0.1

    def model(self, name: str) -> ModelSpec | None:
        """The model of that name in the catalogue."""
        return next((spec for spec in self.catalogue if spec.name == name), None)
