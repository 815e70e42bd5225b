"""Counts violations of what must always hold, and logs each kind as an error, at a bounded rate."""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum
from types import MappingProxyType

logger = logging.getLogger("rookwood")

LOG_INTERVAL = 10.0  # seconds between two log records of one kind


class Invariant(StrEnum):
    """What must always hold."""

    POSITION_MONOTONIC = "position_monotonic"  # the configuration in force never goes back
    IN_FORCE_IN_TIME = "in_force_in_time"  # what a linked machine announced is in force within `apply-ms`
    DISPATCHERS_IN_TIME = "dispatchers_in_time"  # linked dispatchers report a commit within `apply-ms`
    DELTA_FITS = "delta_fits"  # changes lead to the configuration of their sender
    LINK_QUEUE_BOUNDED = "link_queue_bounded"  # what waits for a slow reader stays below a limit
    ONE_PRIMARY_PER_EPOCH = "one_primary_per_epoch"  # control machines name one primary of an epoch


class InvariantCounter:
    """Violations by kind since the start of the process."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._counts: Counter[Invariant] = Counter()
        self._logged_at: dict[Invariant, float] = {}

    @property
    def counts(self) -> Mapping[Invariant, int]:
        """How often each invariant was violated; 0 for the others."""
        return MappingProxyType({invariant: self._counts[invariant] for invariant in Invariant})

    @property
    def total(self) -> int:
        """All violations."""
        return self._counts.total()

    def violated(self, invariant: Invariant, detail: str) -> None:
        """Count a violation; it is logged unless its kind was logged a moment ago."""
        self._counts[invariant] += 1
        now = self._clock()
        if now - self._logged_at.get(invariant, float("-inf")) < LOG_INTERVAL:
            return
        self._logged_at[invariant] = now
        logger.error(
            "invariant violated",
            extra={"invariant": invariant.value, "detail": detail, "count": self._counts[invariant]},
        )

    def check(self, holds: bool, invariant: Invariant, detail: str) -> None:
        """Count a violation unless the condition holds."""
        if not holds:
            self.violated(invariant, detail)


INVARIANTS = InvariantCounter()  # of this process
