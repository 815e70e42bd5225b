"""What pairs of plays tell of a difference: its mean, a 90% interval, and whether that decides anything.

Two plays of one pair differ in one thing alone; days and luck are the same. The interval is Student's, by the
expansion of Fisher and Cornish for its quantile.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from statistics import NormalDist, fmean, stdev

CONFIDENCE = 0.9
LEAST_PAIRS = 4  # fewer leave the spread itself unknown


class Verdict(StrEnum):
    """What the pairs show so far."""

    HELPS = "helps"
    HARMS = "harms"
    NOTHING = "worth nothing"
    UNDECIDED = "undecided"


@dataclass(frozen=True)
class Interval:
    """A mean difference, and how far the true one may lie from it."""

    mean: float
    margin: float

    @property
    def low(self) -> float:
        """The lower end."""
        return self.mean - self.margin

    @property
    def high(self) -> float:
        """The upper end."""
        return self.mean + self.margin


def student_quantile(probability: float, degrees: int) -> float:
    """The quantile of Student's distribution, within 0.03 from three degrees of freedom on."""
    z = NormalDist().inv_cdf(probability)
    terms = (
        z,
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
        (79 * z**9 + 776 * z**7 + 1482 * z**5 - 1920 * z**3 - 945 * z) / 92160,
    )
    return math.fsum(term / degrees**power for power, term in enumerate(terms))


def interval_of(differences: Sequence[float]) -> Interval | None:
    """The mean and its interval; None where there are too few pairs to tell."""
    count = len(differences)
    if count < LEAST_PAIRS:
        return None
    quantile = student_quantile((1 + CONFIDENCE) / 2, count - 1)
    return Interval(fmean(differences), quantile * stdev(differences) / math.sqrt(count))


def judge(differences: Sequence[float], tolerance: float) -> Verdict:
    """What the differences, with a mechanism less without it, show of the mechanism.

    It is worth nothing once the whole interval lies within the tolerance, also where that excludes zero.
    """
    interval = interval_of(differences)
    if interval is None:
        return Verdict.UNDECIDED
    if -tolerance <= interval.low and interval.high <= tolerance:
        return Verdict.NOTHING
    if interval.low > 0:
        return Verdict.HELPS
    return Verdict.HARMS if interval.high < 0 else Verdict.UNDECIDED
