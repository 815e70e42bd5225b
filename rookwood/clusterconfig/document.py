"""Typed, immutable form of a cluster configuration."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 4_194_304
DEFAULT_HEADER_MS = 3_000.0
DEFAULT_IDLE_MS = 15_000.0


class RouteKind(enum.Enum):
    """Whether a request of a route may run more than once, and whether its response is a stream."""

    SAFE = "safe"
    MUTATING = "mutating"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The share of a route's traffic that one service receives, as a weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A host and path prefix, and the services and limits for the requests that match them.

    `priority` 0 is the most urgent. `tries` is the largest number of workers that one request may be
    sent to. `gap_aim_ms` is the longest pause between stream events that counts as in time; 0 means
    no limit. `shares` holds only services with a weight above 0.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float
    target_ms: float
    priority: int
    shares: tuple[ServiceShare, ...]
    tries: int
    sticky: bool
    resume: bool
    gap_aim_ms: float

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resume)


@dataclass(frozen=True, slots=True)
class Model:
    """A model that workers can load. Its adapters are named a1, a2 and so on, up to `adapters`."""

    name: str
    size_mb: float
    load_s: float
    adapters: int
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class Engine:
    """The inference engine of a service's workers. A limit of 0 means that none is configured."""

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    stride: int
    models: Mapping[str, Model]
    size_mb: float
    adapter_slots: int
    loads_per_s: float


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable workers. `engine` is None if they serve no models."""

    name: str
    health: str
    max_connections: int
    engine: Engine | None
    proto: str
    tls: bool


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of client requests and on idle client connections."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_ms: float = DEFAULT_HEADER_MS
    idle_ms: float = DEFAULT_IDLE_MS


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the full configuration. `source` is its compact JSON text, unknown keys included."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits
    source: bytes
