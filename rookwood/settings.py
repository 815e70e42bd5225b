"""Reads the settings object of the policy, for the simulator's wire protocol and for a dispatcher's file."""

from __future__ import annotations

import math
from enum import Enum
from typing import Any, TypeVar

from rookwood import interface as api

E = TypeVar("E", bound=Enum)


class InvalidSettingError(ValueError):
    """A setting is missing or invalid. The message names its key."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


class JsonReader:
    """Reads values of parsed JSON by dotted paths. Errors name the path from the root."""

    def __init__(self, data: Any, at: str = "") -> None:
        self.data = data
        self.at = at  # the path of `data` itself

    def error(self, path: str, reason: str) -> InvalidSettingError:
        """Return an error about the value at a path, to be raised."""
        return InvalidSettingError(f"{self.at}.{path}" if self.at else path, reason)

    def get(self, path: str, kind: type, default: Any = None) -> Any:
        """Return the value at a path, or the default if it is absent and there is one.

        Raises InvalidSettingError if it is missing, of another type, negative, not finite or not Unicode.
        """
        value = self.data
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None and default is not None:
            return default
        if kind is float and type(value) is int:
            try:
                value = float(value)
            except OverflowError:
                raise self.error(path, "out of range") from None
        if type(value) is not kind:
            raise self.error(path, "missing" if value is None else f"not of type {kind.__name__}")
        if isinstance(value, str) and not value.isascii():
            try:
                value.encode()
            except UnicodeEncodeError:  # an unpaired surrogate, which JSON can hold and UTF-8 cannot
                raise self.error(path, "not Unicode") from None
        if isinstance(value, int | float) and value < 0:
            raise self.error(path, "negative")
        if isinstance(value, float) and not math.isfinite(value):
            raise self.error(path, "not a finite number")
        return value

    def enum_value(self, path: str, choices: type[E], default: str | None = None) -> E:
        """Return the enum member with the value at a path."""
        value = self.get(path, str, default)
        try:
            return choices(value)
        except ValueError:
            raise self.error(path, f"unknown value {value!r}") from None

    def subtree(self, path: str) -> JsonReader:
        """Return a reader of the object at a path."""
        return JsonReader(self.get(path, dict), f"{self.at}.{path}" if self.at else path)

    def items(self, path: str, default: list[Any] | None = None) -> list[JsonReader]:
        """Return a reader of each item of the list at a path."""
        list_path = f"{self.at}.{path}" if self.at else path
        return [JsonReader(item, f"{list_path}[{n}]") for n, item in enumerate(self.get(path, list, default))]


def parse_settings(tree: JsonReader) -> api.Settings:
    """Read the policy's settings. Raises InvalidSettingError or, from Settings itself, ValueError."""
    for part in ("kept-promises", "borne-misses"):  # unused, but they must be valid
        tree.get(f"score-parts.{part}", float, 0.0)
    kinds = tree.get("kinds", list, [])
    bound = tree.get("family-info.class-kind", list, [])
    stretches = tree.get("family-info.class-stretch", list, [])
    classes = []
    for index, entry in enumerate(tree.items("lanes")):
        kind = bound[index] if index < len(bound) else -1
        stretch = stretches[index] if index < len(stretches) else 0.0
        if type(kind) is not int or kind >= len(kinds):
            raise tree.error("family-info.class-kind", "not an index of kinds")
        if type(stretch) not in (int, float):
            raise tree.error("family-info.class-stretch", "not of type float")
        classes.append(
            api.JobClass(
                name=entry.get("name", str),
                aim=entry.get("aim", int),
                give_up=entry.get("give-up", int),
                worth=entry.get("importance", float),
                repeat=entry.enum_value("repeat", api.RetrySafety),
                group=entry.enum_value("group", api.DeduplicationScope, "all"),
                window=entry.get("window", int, 0),
                stretch=entry.get("aim-stretch", float, float(stretch)),
                kind=str(kinds[kind]) if kind >= 0 else None,
                sequential=entry.get("sequential", bool, False),
            )
        )
    score_parts = {name: tree.get(f"score-parts.{name}", float, 0.0) for name in ("whole", "worst-window")}
    return api.Settings(
        classes=tuple(classes),
        tenants=tuple(
            api.Tenant(tenant.get("name", str), tenant.get("allowance-per-s", float))
            for tenant in tree.items("tenants", [])
        ),
        dispatchers=tree.get("balancers", int),
        me=tree.get("me", int, 0),
        zone=tree.get("locality", str, ""),
        tick=tree.get("tick", int),
        subscribe=tree.get("discovery", str) == "subscribe",
        max_attempts=tree.get("bounds.attempts-cap", int),
        worth_by_work=tree.get("counted-by", str, "request") == "work",
        over_share_worth=tree.get("over-share-worth", float, 1.0),
        worst_class=tree.get("score-parts.worst-class", float, 0.0) / (sum(score_parts.values()) or 1.0),
        crossing=tree.get("prices.cross-zone", float, 1.0),
        tells_start=tree.get("family-info.tells-start", bool, False),
        cold_share=tree.get("rules.start-capacity", float),
        warm_up=tree.get("rules.warm-up", int),
        fall_multiple=tree.get("rules.fall-multiple", float),
        fall_window=tree.get("rules.overload-for", int),
        order_settle=tree.get("rules.order-settle", int, 0),
        cancel=tree.get("bounds.cancel", bool, False),
        marks_retry=tree.get("clients.marks-retry", bool, False),
        peers=tree.get("bounds.peers", bool, False),
        probes=tree.get("bounds.probes", bool, False) and tree.get("load-report.how", str, "") == "pull",
    )
