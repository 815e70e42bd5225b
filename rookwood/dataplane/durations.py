"""Estimates of how long attempts take, so that a dispatcher that shuts down begins none it cannot finish."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rookwood.dataplane import headers as names
from rookwood.dataplane.requests import RoutedRequest

SMOOTHING = 0.125  # weight of the newest sample in the mean
DEVIATION_SMOOTHING = 0.25  # weight of the newest sample in the mean deviation
LIKELY_DEVIATIONS = 2.0  # mean deviations above the mean that most durations stay below
UPPER_DEVIATIONS = 4.0  # mean deviations above the mean that hardly any duration exceeds
LONGEST_HALF_LIFE = 20.0  # seconds in which the longest duration's excess over the mean is halved
DEFAULT_OUTPUT_TOKENS = 1  # for a request that does not state its output tokens
SAFETY_FACTOR = 2.0  # workers may become slower by this factor while a request runs
MIN_SAMPLES = 8  # attempts that an upper bound needs


@dataclass(slots=True)
class DurationEstimate:
    """A smoothed mean and mean deviation, and the longest recent duration."""

    mean: float = 0.0
    deviation: float = 0.0
    longest: float = 0.0
    samples: int = 0
    updated_at: float = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Add a sample."""
        if self.samples == 0:
            self.mean, self.deviation = seconds, seconds / 2
        else:
            error = seconds - self.mean
            self.mean += SMOOTHING * error
            self.deviation += DEVIATION_SMOOTHING * (abs(error) - self.deviation)
        self.longest = max(seconds, self._aged_longest(now))
        self.samples += 1
        self.updated_at = now

    def likely_bound(self) -> float:
        """A duration that most requests don't exceed."""
        return self.mean + LIKELY_DEVIATIONS * self.deviation

    def upper_bound(self, now: float) -> float:
        """A duration that hardly any request exceeds."""
        return max(self.mean + UPPER_DEVIATIONS * self.deviation, self._aged_longest(now))

    def _aged_longest(self, now: float) -> float:
        """The longest duration; its excess over the mean decays with time."""
        excess = max(0.0, self.longest - self.mean)
        decay = math.exp2((self.updated_at - now) / LONGEST_HALF_LIFE)
        return self.mean + excess * decay


@dataclass(slots=True)
class AttemptDurations:
    """Estimates of the two parts of an attempt: until its response begins, and then per output token."""

    head: DurationEstimate = field(default_factory=DurationEstimate)
    token: DurationEstimate = field(default_factory=DurationEstimate)

    def observe(self, head: float, token: float, now: float) -> None:
        """Add an attempt: seconds until its head, and seconds per token after that."""
        self.head.observe(head, now)
        self.token.observe(token, now)

    def likely_bound(self, tokens: int) -> float:
        """A duration that most attempts don't exceed."""
        return self.head.likely_bound() + tokens * self.token.likely_bound()

    def upper_bound(self, tokens: int, now: float) -> float:
        """A duration that hardly any attempt exceeds."""
        return self.head.upper_bound(now) + tokens * self.token.upper_bound(now)


class DurationMeter:
    """Estimates the durations of attempts by route, and by service for routes without attempts."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], AttemptDurations] = {}
        self._services: dict[str, AttemptDurations] = {}

    def observe(self, request: RoutedRequest, head: float, rest: float, now: float) -> None:
        """Add an attempt that took `head` seconds until its response began, and `rest` seconds after that."""
        token = rest / output_tokens(request)
        route = (request.service, request.route.name)
        self._routes.setdefault(route, AttemptDurations()).observe(head, token, now)
        self._services.setdefault(request.service, AttemptDurations()).observe(head, token, now)

    def likely_bound(self, request: RoutedRequest, now: float) -> float:
        """A duration that most attempts do not exceed; the time to the deadline if there are no samples."""
        time_left = max(0.0, request.deadline - now)
        estimates = self._estimates_for(request)
        return (
            time_left if estimates is None else min(time_left, estimates.likely_bound(output_tokens(request)))
        )

    def upper_bound(self, request: RoutedRequest, now: float) -> float:
        """A duration that no attempt should exceed, even at a worker that becomes slower meanwhile.

        The time to the deadline if there are too few samples.
        """
        time_left = max(0.0, request.deadline - now)
        estimates = self._estimates_for(request)
        if estimates is None or estimates.head.samples < MIN_SAMPLES:
            return time_left
        return min(time_left, SAFETY_FACTOR * estimates.upper_bound(output_tokens(request), now))

    def _estimates_for(self, request: RoutedRequest) -> AttemptDurations | None:
        by_route = self._routes.get((request.service, request.route.name))
        return by_route or self._services.get(request.service)


def output_tokens(request: RoutedRequest) -> int:
    """The largest number of output tokens, as the client states it in X-Tokens."""
    _, _, generated = request.headers.get(names.TOKENS, "").partition(",")
    return (
        max(DEFAULT_OUTPUT_TOKENS, int(generated)) if generated.strip().isdecimal() else DEFAULT_OUTPUT_TOKENS
    )
