"""Checks across the items of a document: duplicate names and prefixes, weights and service references.

The checks also run on documents that violate the schema. They skip malformed values and report all other
faults, so that one validation can list every fault.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from rookwood.clusterconfig.faults import Fault
from rookwood.clusterconfig.json_text import JsonObject
from rookwood.clusterconfig.routing import normalize_host

_IndexedObject = tuple[int, dict[str, Any]]


def find_reference_faults(document: JsonObject) -> Iterator[Fault]:
    """Yield the faults that concern more than one value of the document."""
    yield from find_duplicate_names("routes", document.get("routes"))
    yield from find_duplicate_names("svcs", document.get("svcs"))
    yield from _find_duplicate_models(document.get("svcs"))
    yield from _find_duplicate_prefixes(document.get("routes"))
    yield from _find_service_faults(document)


def find_duplicate_names(section: str, items: object) -> Iterator[Fault]:
    """Yield a fault for each item of a section whose name an earlier item already has."""
    seen: set[str] = set()
    for index, item in _enumerate_objects(items):
        name = item.get("name")
        if not isinstance(name, str):
            continue
        if name in seen:
            yield Fault(f"{section}.{index}.name", f"duplicate name {name!r}")
        seen.add(name)


def _find_duplicate_models(services: object) -> Iterator[Fault]:
    for index, service in _enumerate_objects(services):
        runtime = service.get("runtime")
        if isinstance(runtime, dict):
            yield from find_duplicate_names(f"svcs.{index}.runtime.models", runtime.get("models"))


def _find_duplicate_prefixes(routes: object) -> Iterator[Fault]:
    first_indexes: dict[tuple[str, str], int] = {}
    for index, route in _enumerate_objects(routes):
        host, prefix = route.get("host"), route.get("pfx")
        if not isinstance(host, str) or not isinstance(prefix, str):
            continue
        first_index = first_indexes.setdefault((normalize_host(host), prefix), index)
        if first_index != index:
            yield Fault(f"routes.{index}.pfx", f"same host and prefix as routes.{first_index}")


def _find_service_faults(document: JsonObject) -> Iterator[Fault]:
    services = document.get("svcs")
    known = {item["name"] for _, item in _enumerate_objects(services) if isinstance(item.get("name"), str)}
    for index, route in _enumerate_objects(document.get("routes")):
        if isinstance(services, list):
            yield from _find_unknown_services(index, route, known)
        yield from _find_weight_faults(index, route)


def _find_unknown_services(route_index: int, route: dict[str, Any], known: set[str]) -> Iterator[Fault]:
    references = [("svc", route.get("svc"))]
    for index, share in _enumerate_objects(route.get("split")):
        references.append((f"split.{index}.svc", share.get("svc")))
    for key, service in references:
        if isinstance(service, str) and service not in known:
            yield Fault(f"routes.{route_index}.{key}", f"unknown service {service!r}")


def _find_weight_faults(index: int, route: dict[str, Any]) -> Iterator[Fault]:
    split = route.get("split")
    if "split" not in route and "svc" not in route:
        yield Fault(f"routes.{index}.svc", "required field: svc or split")
        return
    if not isinstance(split, list):
        return
    if not split and "svc" in route:
        return
    weights = [share.get("wt") for _, share in _enumerate_objects(split)]
    if not any(isinstance(weight, int | float) and weight > 0 for weight in weights):
        yield Fault(f"routes.{index}.split", "the weights sum to 0")


def _enumerate_objects(items: object) -> Iterator[_IndexedObject]:
    if not isinstance(items, list):
        return
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield index, item
