"""The configuration in force, updated at a cost proportional to the changed items.

Control machines keep one to compute deltas, dispatchers to serve requests.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from rookwood.clusterconfig.document import ClientLimits, Configuration, Route, Service
from rookwood.clusterconfig.items import (
    Item,
    ItemChanges,
    ItemKey,
    ItemSerialiser,
    Section,
    digest_after,
    find_changes,
)
from rookwood.clusterconfig.json_text import JsonTextError, read_object, read_value
from rookwood.clusterconfig.loading import build_limits, build_route, build_service
from rookwood.clusterconfig.routing import RouteIndex

VERSION_KEY = ItemKey(Section.SETTING, "ver")
LIMITS_KEY = ItemKey(Section.SETTING, "limits")
# What building a configuration raises if it was never validated.
BUILD_ERRORS = (JsonTextError, KeyError, TypeError, ValueError)


@dataclass(frozen=True, slots=True)
class Applied:
    """The changes are in force."""


@dataclass(frozen=True, slots=True)
class DigestMismatch:
    """The changes would not give the items that their sender has; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """The document or an item is invalid; nothing was changed."""

    reason: str


ApplyOutcome = Applied | DigestMismatch | Malformed


@dataclass(slots=True)
class BuiltItems:
    """The typed values built from changed items, before any of them is put in force."""

    routes: dict[str, Route]
    services: dict[str, Service]
    settings: dict[str, Any]


class ConfigurationStore:
    """The items of one configuration and the typed configuration built from them."""

    def __init__(self) -> None:
        self._serialiser = ItemSerialiser()
        self._texts: dict[ItemKey, bytes] = {}
        self._routes: dict[str, Route] = {}
        self._services: dict[str, Service] = {}
        self._version = 0
        self._limits = ClientLimits()
        self.digest = 0
        self.route_index = RouteIndex()
        self.configuration = self._build()

    @property
    def texts(self) -> Mapping[ItemKey, bytes]:
        """The JSON texts of the items."""
        return self._texts

    def replace(self, source: bytes) -> ItemChanges:
        """Replace the configuration by a full, validated document; returns the changed items.

        Raises one of BUILD_ERRORS and changes nothing if the document was never validated.
        """
        changes = find_changes(self._texts, self._serialiser.serialise(read_object(source)))
        self._commit(changes, build_items(changes))
        return changes

    def try_replace(self, source: bytes) -> ApplyOutcome:
        """Replace the configuration by a full document, which this program may be unable to read."""
        try:
            self.replace(source)
        except BUILD_ERRORS as error:
            return Malformed(repr(error))
        return Applied()

    def apply(self, changes: ItemChanges, digest: int) -> ApplyOutcome:
        """Apply changes, if they lead to items with the given digest."""
        if digest_after(self.digest, self._texts, changes) != digest:
            return DigestMismatch()
        try:
            built = build_items(changes)
        except BUILD_ERRORS as error:
            return Malformed(repr(error))
        self._commit(changes, built)
        return Applied()

    def _commit(self, changes: ItemChanges, built: BuiltItems) -> None:
        self.digest = digest_after(self.digest, self._texts, changes)
        for key in changes.removed:
            self._remove(key)
        for item in changes.changed:
            self._texts[item.key] = item.text
        self._replace_routes(built.routes)
        self._services.update(built.services)
        self._version = built.settings.get(VERSION_KEY.name, self._version)
        if LIMITS_KEY.name in built.settings:
            self._limits = built.settings[LIMITS_KEY.name]
        self.configuration = self._build()

    def _build(self) -> Configuration:
        """Return the typed configuration. Its `source` is empty, since only the items are kept."""
        routes = tuple(self._routes.values())
        return Configuration(self._version, routes, dict(self._services), self._limits, source=b"")

    def _remove(self, key: ItemKey) -> None:
        self._texts.pop(key, None)
        if key.section is Section.ROUTE:
            route = self._routes.pop(key.name, None)
            if route is not None:
                self.route_index.remove(route)
        elif key.section is Section.SERVICE:
            self._services.pop(key.name, None)
        elif key == LIMITS_KEY:
            self._limits = ClientLimits()

    def _replace_routes(self, routes: Mapping[str, Route]) -> None:
        """Remove the old routes before adding new ones, since routes may have exchanged host and prefix."""
        for name in routes:
            known = self._routes.get(name)
            if known is not None:
                self.route_index.remove(known)
        for name, route in routes.items():
            self._routes[name] = route
            self.route_index.add(route)


def build_items(changes: ItemChanges) -> BuiltItems:
    """Build the changed items; raises one of BUILD_ERRORS."""
    built = BuiltItems({}, {}, {})
    for item in changes.changed:
        _build_item(item, built)
    return built


def _build_item(item: Item, built: BuiltItems) -> None:
    value = read_value(item.text)
    name = item.key.name
    if item.key.section is Section.ROUTE:
        built.routes[name] = build_route(value)
    elif item.key.section is Section.SERVICE:
        built.services[name] = build_service(value)
    elif item.key == LIMITS_KEY:
        built.settings[name] = build_limits(value or {})
    else:
        built.settings[name] = value
