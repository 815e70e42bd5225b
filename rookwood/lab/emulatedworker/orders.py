"""Placement orders and their JSON form."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from rookwood.lab.emulatedworker.weights import WeightKey


class OrderOperation(StrEnum):
    """What a placement order asks for."""

    PLACE = "place"
    EVICT = "evict"


@dataclass(frozen=True)
class PlacementOrder:
    """An order to load or unload weights."""

    operation: OrderOperation
    weights: WeightKey
    owner: str
    fence: int
    expected_revision: int | None = None


def parse_order(document: object) -> PlacementOrder | None:
    """Reads the body of an order; None where an item is missing or of the wrong kind."""
    if not isinstance(document, dict) or document.get("op") not in list(OrderOperation):
        return None
    model, adapter = document.get("model"), document.get("lora")
    owner, fence, revision = document.get("owner"), document.get("fence"), document.get("if-revision")
    if not (isinstance(model, str) and isinstance(owner, str) and isinstance(fence, int)):
        return None
    if not isinstance(adapter, str | None) or not isinstance(revision, int | None):
        return None
    return PlacementOrder(OrderOperation(document["op"]), WeightKey(model, adapter), owner, fence, revision)


def concerns(ordered: WeightKey, asked: WeightKey) -> bool:
    """Whether an order for the first touches a request for the second."""
    return ordered.model == asked.model and ordered.adapter in (None, asked.adapter)
