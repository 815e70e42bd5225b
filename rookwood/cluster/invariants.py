"""Counts violations of invariants and logs each kind as an error, at a limited rate."""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum
from types import MappingProxyType

logger = logging.getLogger("rookwood")

LOG_INTERVAL = 10.0  # seconds between two log records of one invariant


class Invariant(StrEnum):
    """A condition that must always hold."""

    POSITION_MONOTONIC = "position_monotonic"  # the position in force never decreases
    IN_FORCE_IN_TIME = (
        "in_force_in_time"  # a position announced by a linked machine is in force within `apply-ms`
    )
    DISPATCHERS_IN_TIME = (
        "dispatchers_in_time"  # linked dispatchers report each commit as in force within `apply-ms`
    )
    DELTA_FITS = "delta_fits"  # applying a delta gives the configuration of its sender
    LINK_QUEUE_BOUNDED = "link_queue_bounded"  # the outbox of a link to a slow reader stays within its limit
    ONE_PRIMARY_PER_EPOCH = (
        "one_primary_per_epoch"  # only one control machine claims to be the primary of an epoch
    )


class InvariantCounter:
    """Counts violations by invariant since the start of the process."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._counts: Counter[Invariant] = Counter()
        self._logged_at: dict[Invariant, float] = {}

    @property
    def counts(self) -> Mapping[Invariant, int]:
        """How often each invariant was violated."""
        return MappingProxyType({invariant: self._counts[invariant] for invariant in Invariant})

    @property
    def total(self) -> int:
        """The number of violations of all invariants."""
        return self._counts.total()

    def violated(self, invariant: Invariant, detail: str) -> None:
        """Count a violation, and log it unless the same invariant was logged within `LOG_INTERVAL`."""
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


INVARIANTS = InvariantCounter()  # the counter of this process
