"""Builds the typed configuration from a document that has already been validated."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from rookwood.clusterconfig.document import (
    DEFAULT_BODY_BYTES,
    DEFAULT_HEADER_BYTES,
    DEFAULT_HEADER_MS,
    DEFAULT_IDLE_MS,
    ClientLimits,
    Configuration,
    Engine,
    Model,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from rookwood.clusterconfig.json_text import JsonObject, read_object

DEFAULT_PRIORITY = 0
DEFAULT_TRIES = 1
DEFAULT_PROTOCOL = "h1"
SINGLE_SERVICE_WEIGHT = 1.0

_JsonItem = Mapping[str, Any]


def load_configuration(source: bytes) -> Configuration:
    """Build a configuration from the JSON text of a validated document; unknown keys are ignored.

    Raises `JsonTextError` if `source` is not a JSON object, and `KeyError`, `TypeError` or
    `ValueError` if a key is missing or invalid because the document was never validated.
    """
    return build_configuration(read_object(source), source)


def build_configuration(document: JsonObject, source: bytes) -> Configuration:
    """Build a configuration from a parsed, validated document and its JSON text."""
    return Configuration(
        version=document["ver"],
        routes=tuple(build_route(item) for item in document["routes"]),
        services={item["name"]: build_service(item) for item in document["svcs"]},
        limits=build_limits(document.get("limits") or {}),
        source=source,
    )


def build_route(item: _JsonItem) -> Route:
    """Build a route from its validated JSON object."""
    timeout_ms = float(item["timeout-ms"])
    return Route(
        name=item["name"],
        host=item["host"],
        prefix=item["pfx"],
        kind=RouteKind(item["kind"]),
        timeout_ms=timeout_ms,
        target_ms=float(item.get("target-ms", timeout_ms)),
        priority=item.get("prio", DEFAULT_PRIORITY),
        shares=_build_shares(item),
        tries=item.get("tries", DEFAULT_TRIES),
        sticky=item.get("sticky", False),
        resume=item.get("resume", False),
        gap_aim_ms=float(item.get("gap_aim_ms", 0)),
    )


def _build_shares(item: _JsonItem) -> tuple[ServiceShare, ...]:
    split = item.get("split")
    if not split:
        return (ServiceShare(item["svc"], SINGLE_SERVICE_WEIGHT),)
    return tuple(ServiceShare(share["svc"], float(share["wt"])) for share in split if share["wt"] > 0)


def build_service(item: _JsonItem) -> Service:
    """Build a service from its validated JSON object."""
    runtime = item.get("runtime")
    return Service(
        name=item["name"],
        health=item["health"],
        max_connections=item["max-conns"],
        engine=_build_engine(runtime) if runtime else None,
        proto=item.get("proto", DEFAULT_PROTOCOL),
        tls=item.get("tls", False),
    )


def _build_engine(runtime: _JsonItem) -> Engine:
    return Engine(
        slots=runtime.get("slots", 0),
        kv_tokens=runtime.get("kv-cap", 0),
        kv_token_bytes=float(runtime.get("kv-tok-bytes", 0)),
        stride=runtime.get("stride", 1),
        models={model["name"]: _build_model(model) for model in runtime.get("models", ())},
        size_mb=float(runtime.get("size-mb", 0)),
        adapter_slots=runtime.get("lora-slots", 0),
        loads_per_s=float(runtime.get("loads-per-s", 0)),
    )


def _build_model(item: _JsonItem) -> Model:
    return Model(
        name=item["name"],
        size_mb=float(item.get("size-mb", 0)),
        load_s=float(item.get("load-s", 0)),
        adapters=item.get("loras", 0),
        adapter_mb=float(item.get("lora-mb", 0)),
    )


def build_limits(item: _JsonItem) -> ClientLimits:
    """Build the client limits from their validated JSON object."""
    return ClientLimits(
        header_bytes=item.get("hdr-bytes", DEFAULT_HEADER_BYTES),
        body_bytes=item.get("body-bytes", DEFAULT_BODY_BYTES),
        header_ms=float(item.get("hdr-ms", DEFAULT_HEADER_MS)),
        idle_ms=float(item.get("idle-ms", DEFAULT_IDLE_MS)),
    )
