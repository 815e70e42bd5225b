"""The settings object, read in one place for the simulator's wire and for a real dispatcher's file."""

from __future__ import annotations

import math
from enum import Enum
from typing import Any, TypeVar

from rookwood import interface as api

E = TypeVar("E", bound=Enum)


class InvalidSettingError(ValueError):
    """A value that is missing or unsound; the text names its key."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"{key}: {why}")
        self.key, self.reason = key, why


class JsonReader:
    """Parsed JSON, read by dotted paths, with complaints that name the whole path."""

    def __init__(self, data: Any, at: str = "") -> None:
        self.data, self.at = data, at

    def error(self, path: str, why: str) -> InvalidSettingError:
        return InvalidSettingError(f"{self.at}.{path}" if self.at else path, why)

    def get(self, path: str, kind: type, default: Any = None) -> Any:
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
            except UnicodeEncodeError:  # half of a pair, which JSON can name and nobody can pass on
                raise self.error(path, "not Unicode") from None
        if isinstance(value, int | float) and value < 0:
            raise self.error(path, "negative")
        if isinstance(value, float) and not math.isfinite(value):
            raise self.error(path, "not a finite number")
        return value

    def enum_value(self, path: str, choices: type[E], default: str | None = None) -> E:
        value = self.get(path, str, default)
        try:
            return choices(value)
        except ValueError:
            raise self.error(path, f"unknown value {value!r}") from None

    def subtree(self, path: str) -> JsonReader:
        return JsonReader(self.get(path, dict), f"{self.at}.{path}" if self.at else path)

    def items(self, path: str, default: list[Any] | None = None) -> list[JsonReader]:
        place = f"{self.at}.{path}" if self.at else path
        return [JsonReader(item, f"{place}[{n}]") for n, item in enumerate(self.get(path, list, default))]


def parse_settings(tree: JsonReader) -> api.Settings:
    for part in ("kept-promises", "borne-misses"):  # no decision hangs on them, but they must be sound
        tree.get(f"score-parts.{part}", float, 0.0)
    kinds = tree.get("kinds", list, [])
    bound = tree.get("family-info.class-kind", list, [])
    stretches = tree.get("family-info.class-stretch", list, [])
    classes = []
    for index, lane in enumerate(tree.items("lanes")):
        kind = bound[index] if index < len(bound) else -1
        stretch = stretches[index] if index < len(stretches) else 0.0
        if type(kind) is not int or kind >= len(kinds):
            raise tree.error("family-info.class-kind", "not an index of kinds")
        if type(stretch) not in (int, float):
            raise tree.error("family-info.class-stretch", "not of type float")
        classes.append(
            api.JobClass(
                name=lane.get("name", str),
                aim=lane.get("aim", int),
                give_up=lane.get("give-up", int),
                worth=lane.get("importance", float),
                repeat=lane.enum_value("repeat", api.RetrySafety),
                group=lane.enum_value("group", api.DeduplicationScope, "all"),
                window=lane.get("window", int, 0),
                stretch=lane.get("aim-stretch", float, float(stretch)),
                kind=str(kinds[kind]) if kind >= 0 else None,
                sequential=lane.get("sequential", bool, False),
            )
        )
    goal = {name: tree.get(f"score-parts.{name}", float, 0.0) for name in ("whole", "worst-window")}
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
        worst_class=tree.get("score-parts.worst-class", float, 0.0) / (sum(goal.values()) or 1.0),
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
