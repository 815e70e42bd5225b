"""The configuration in force, kept up to date at a cost that follows what has changed.

Both programs hold one: control machines to tell changes from, dispatchers to serve by.
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
    ItemTexts,
    Section,
    digest_after,
    find_changes,
)
from rookwood.clusterconfig.json_text import JsonTextError, read_object, read_value
from rookwood.clusterconfig.loading import build_limits, build_route, build_service
from rookwood.clusterconfig.routing import RouteIndex

VERSION = ItemKey(Section.SETTING, "ver")
LIMITS = ItemKey(Section.SETTING, "limits")
BUILD_ERRORS = (JsonTextError, KeyError, TypeError, ValueError)


@dataclass(frozen=True, slots=True)
class Applied:
    """The changes are in force."""


@dataclass(frozen=True, slots=True)
class DigestMismatch:
    """The changes lead to other items than their sender has; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """An item can't be read; nothing was changed."""

    why: str


ApplyOutcome = Applied | DigestMismatch | Malformed


@dataclass(slots=True)
class BuiltItems:
    """What the changed items were built into, before any of it is put in force."""

    routes: dict[str, Route]
    services: dict[str, Service]
    settings: dict[str, Any]


class ConfigurationStore:
    """The items of one configuration and what is built from them."""

    def __init__(self) -> None:
        self._reader = ItemTexts()
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
        """The items' JSON texts."""
        return self._texts

    def replace(self, source: bytes) -> ItemChanges:
        """Take a whole, validated document; returns what it changed.

        Raises one of BUILD_ERRORS where the document was never validated, and changes nothing then.
        """
        changes = find_changes(self._texts, self._reader.read(read_object(source)))
        self._commit(changes, build_items(changes))
        return changes

    def try_replace(self, source: bytes) -> ApplyOutcome:
        """Take a whole document that may be one which this program can't read."""
        try:
            self.replace(source)
        except BUILD_ERRORS as error:
            return Malformed(repr(error))
        return Applied()

    def apply(self, changes: ItemChanges, digest: int) -> ApplyOutcome:
        """Take changes that lead to items of this digest."""
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
        self._version = built.settings.get(VERSION.name, self._version)
        if LIMITS.name in built.settings:
            self._limits = built.settings[LIMITS.name]
        self.configuration = self._build()

    def _build(self) -> Configuration:
        """The typed configuration. Its `source` is empty, as only the items are kept."""
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
        elif key == LIMITS:
            self._limits = ClientLimits()

    def _replace_routes(self, routes: Mapping[str, Route]) -> None:
        """Two routes may have exchanged their places, so all old ones leave before any new one comes."""
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
    elif item.key == LIMITS:
        built.settings[name] = build_limits(value or {})
    else:
        built.settings[name] = value
