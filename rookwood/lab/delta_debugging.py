"""Delta debugging (Zeller and Hildebrandt, 2002): the shortest found part of an input that still fails."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")
Fails = Callable[[tuple[ItemT, ...]], bool]


@dataclass(frozen=True)
class Minimised(Generic[ItemT]):
    """What is left; `is_minimal` tells whether it passes without any one of its items."""

    items: tuple[ItemT, ...]
    is_minimal: bool
    trials: int


def minimise(items: Sequence[ItemT], fails: Fails[ItemT], max_trials: int) -> Minimised[ItemT]:
    """Leave out parts while the rest fails: halves first, then smaller parts, single items at last."""
    left = tuple(items)
    parts = 2
    trials = 0
    while left:
        reduced = None
        for without in _each_part_left_out(left, min(parts, len(left))):
            if trials >= max_trials:
                return Minimised(left, False, trials)
            trials += 1
            if fails(without):
                reduced = without
                break
        if reduced is not None:
            left = reduced
            parts = max(parts - 1, 2)
        elif parts >= len(left):
            break
        else:
            parts = min(2 * parts, len(left))
    return Minimised(left, True, trials)


def _each_part_left_out(items: tuple[ItemT, ...], parts: int) -> list[tuple[ItemT, ...]]:
    bounds = [len(items) * part // parts for part in range(parts + 1)]
    return [items[: bounds[part]] + items[bounds[part + 1] :] for part in range(parts)]
