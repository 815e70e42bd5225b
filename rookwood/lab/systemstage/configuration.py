"""The operator's configuration as typed values, and its JSON form."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from enum import StrEnum

from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.emulatedworker.weights import JsonObject, ModelSpec


class RouteKind(StrEnum):
    """What of a route's requests may be repeated."""

    SAFE = "safe"
    MUTATING = "mutating"
    STREAM = "stream"


@dataclass(frozen=True)
class RouteSpec:
    """A route as the operator writes it."""

    name: str
    service: str
    prefix: str
    kind: RouteKind = RouteKind.STREAM
    host: str = "reader.example"
    timeout_ms: int = 10_000
    target_ms: int = 2_000
    priority: int = 0
    tries: int = 2
    resume: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resume)

    def document(self) -> JsonObject:
        """The item of the configuration."""
        document: JsonObject = {
            "name": self.name,
            "host": self.host,
            "pfx": self.prefix,
            "kind": self.kind.value,
            "timeout-ms": self.timeout_ms,
            "target-ms": self.target_ms,
            "prio": self.priority,
            "svc": self.service,
            "tries": self.tries,
        }
        if self.kind is RouteKind.STREAM:
            document |= {"sticky": True, "resume": self.resume, "gap_aim_ms": 400}
        return document


@dataclass(frozen=True)
class RuntimeSpec:
    """What the workers of a service with models hold at most, and the models on offer."""

    models: tuple[ModelSpec, ...]
    size_mb: float = 220.0
    adapter_slots: int = 2
    loads_per_s: float = 20.0
    slots: int = 8

    def document(self) -> JsonObject:
        """The `runtime` of the configuration."""
        return {
            "slots": self.slots,
            "kv-cap": 200_000,
            "kv-tok-bytes": 163_840,
            "net-mbps": 100_000.0,
            "stride": 5,
            "models": [
                {
                    "name": model.name,
                    "size-mb": model.size_mb,
                    "load-s": model.load_s,
                    "loras": model.adapters,
                    "lora-mb": model.adapter_mb,
                }
                for model in self.models
            ],
            "size-mb": self.size_mb,
            "lora-slots": self.adapter_slots,
            "loads-per-s": self.loads_per_s,
        }


@dataclass(frozen=True)
class ServiceSpec:
    """A service as the operator writes it."""

    name: str
    health_path: str = "/healthz"
    max_connections: int = 100
    runtime: RuntimeSpec | None = None

    def document(self) -> JsonObject:
        """The item of the configuration."""
        document: JsonObject = {
            "name": self.name,
            "health": self.health_path,
            "max-conns": self.max_connections,
            "proto": "h1",
            "tls": False,
        }
        if self.runtime is not None:
            document["runtime"] = self.runtime.document()
        return document

    def worker_settings(self) -> WorkerSettings:
        """Settings of a worker of this service."""
        settings = WorkerSettings(service=self.name, health_path=self.health_path)
        if self.runtime is None:
            return settings
        return replace(
            settings,
            slots=self.runtime.slots,
            catalogue=self.runtime.models,
            size_mb=self.runtime.size_mb,
            adapter_slots=self.runtime.adapter_slots,
        )


@dataclass(frozen=True)
class Configuration:
    """A whole configuration of the operator."""

    version: int
    routes: tuple[RouteSpec, ...]
    services: tuple[ServiceSpec, ...]

    def document(self) -> JsonObject:
        """The configuration as it is sent."""
        return {
            "ver": self.version,
            "routes": [route.document() for route in self.routes],
            "svcs": [service.document() for service in self.services],
            "limits": {"hdr-bytes": 16_384, "body-bytes": 4_194_304, "hdr-ms": 3_000, "idle-ms": 15_000},
        }

    def encode(self) -> bytes:
        """The body of a PUT."""
        return json.dumps(self.document()).encode()

    def with_route(self, version: int, route: RouteSpec) -> Configuration:
        """A later version in which this route is added, or replaces the one of its name."""
        others = tuple(item for item in self.routes if item.name != route.name)
        return replace(self, version=version, routes=(*others, route))

    def route(self, name: str) -> RouteSpec:
        """The route of that name."""
        return next(route for route in self.routes if route.name == name)

    def service(self, name: str) -> ServiceSpec:
        """The service of that name."""
        return next(service for service in self.services if service.name == name)


@dataclass(frozen=True)
class ConfigurationPatch:
    """Changes to named items."""

    version: int
    upsert_routes: tuple[RouteSpec, ...] = ()
    remove_routes: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """The body of a PATCH."""
        document = {
            "ver": self.version,
            "upsert": {"routes": [route.document() for route in self.upsert_routes]},
            "remove": {"routes": list(self.remove_routes)},
        }
        return json.dumps(document).encode()


def small_configuration(version: int = 1) -> Configuration:
    """Two services, one with models, and a route of every kind that tests need."""
    models = tuple(ModelSpec(name, adapters=3) for name in ("alpha", "beta", "gamma"))
    services = (
        ServiceSpec("engine", runtime=RuntimeSpec(models)),
        ServiceSpec("pages"),
        ServiceSpec("spare"),
    )
    routes = (
        RouteSpec("resumable", "engine", "/resumable/", resume=True),
        RouteSpec("once", "engine", "/once/"),
        RouteSpec("page", "pages", "/page/", RouteKind.MUTATING),
        RouteSpec("lookup", "pages", "/lookup/", RouteKind.SAFE),
    )
    return Configuration(version, routes, services)
