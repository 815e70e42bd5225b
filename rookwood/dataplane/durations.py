"""How long requests of each kind take, so that a process that ends takes none which it can't finish."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from rookwood.dataplane import headers as names
from rookwood.dataplane.requests import RoutedRequest

SMOOTHING = 0.125  # weight of the newest sample in the mean
DEVIATION_SMOOTHING = 0.25
LIKELY_DEVIATIONS = 2.0  # mean deviations above the mean that most durations stay below
UPPER_DEVIATIONS = 4.0  # and that hardly any exceeds
LONGEST_HALF_LIFE = 20.0  # seconds in which the longest duration seen loses half its lead over the mean
UNTOLD_TOKENS = 1
SAFETY = 2.0  # workers may become so much slower while a request runs
ENOUGH_SAMPLES = 8  # attempts from which an upper bound can be told


@dataclass(slots=True)
class DurationEstimate:
    """A smoothed mean with its deviation, and the longest duration seen lately."""

    mean: float = 0.0
    deviation: float = 0.0
    longest: float = 0.0
    samples: int = 0
    updated: float = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """One more request took so long."""
        if self.samples == 0:
            self.mean, self.deviation = seconds, seconds / 2
        else:
            error = seconds - self.mean
            self.mean += SMOOTHING * error
            self.deviation += DEVIATION_SMOOTHING * (abs(error) - self.deviation)
        self.longest = max(seconds, self._aged_longest(now))
        self.samples += 1
        self.updated = now

    def likely(self) -> float:
        """A duration that most requests don't exceed."""
        return self.mean + LIKELY_DEVIATIONS * self.deviation

    def upper(self, now: float) -> float:
        """A duration that hardly any request exceeds."""
        return max(self.mean + UPPER_DEVIATIONS * self.deviation, self._aged_longest(now))

    def _aged_longest(self, now: float) -> float:
        lead = max(0.0, self.longest - self.mean)
        left = math.exp2((self.updated - now) / LONGEST_HALF_LIFE)
        return self.mean + lead * left


@dataclass(slots=True)
class AttemptDurations:
    """The two parts of an attempt: until its answer begins, and from there on for each token."""

    head: DurationEstimate = field(default_factory=DurationEstimate)
    token: DurationEstimate = field(default_factory=DurationEstimate)

    def observe(self, head: float, token: float, now: float) -> None:
        """One more attempt ended."""
        self.head.observe(head, now)
        self.token.observe(token, now)

    def likely(self, tokens: int) -> float:
        """A duration that most attempts don't exceed."""
        return self.head.likely() + tokens * self.token.likely()

    def upper(self, tokens: int, now: float) -> float:
        """A duration that hardly any attempt exceeds."""
        return self.head.upper(now) + tokens * self.token.upper(now)


class DurationMeter:
    """Learns the durations of attempts by route, and by service for routes that have had none yet."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], AttemptDurations] = {}
        self._services: dict[str, AttemptDurations] = {}

    def observe(self, request: RoutedRequest, head: float, rest: float, now: float) -> None:
        """An attempt took `head` seconds until its answer began and `rest` until its end."""
        token = rest / output_tokens(request)
        route = (request.service, request.route.name)
        self._routes.setdefault(route, AttemptDurations()).observe(head, token, now)
        self._services.setdefault(request.service, AttemptDurations()).observe(head, token, now)

    def likely(self, request: RoutedRequest, now: float) -> float:
        """How long most attempts take; all the time that the request has if nothing is known."""
        left = max(0.0, request.deadline - now)
        known = self._known(request)
        return left if known is None else min(left, known.likely(output_tokens(request)))

    def upper(self, request: RoutedRequest, now: float) -> float:
        """How long no attempt should take, also at workers that become slower meanwhile.

        All the time that the request has if too little is known of its kind.
        """
        left = max(0.0, request.deadline - now)
        known = self._known(request)
        if known is None or known.head.samples < ENOUGH_SAMPLES:
            return left
        return min(left, SAFETY * known.upper(output_tokens(request), now))

    def _known(self, request: RoutedRequest) -> AttemptDurations | None:
        by_route = self._routes.get((request.service, request.route.name))
        return by_route or self._services.get(request.service)


def output_tokens(request: RoutedRequest) -> int:
    """The most tokens that the answer may have, by the client's word."""
    _, _, generated = request.headers.get(names.TOKENS, "").partition(",")
    return max(UNTOLD_TOKENS, int(generated)) if generated.strip().isdecimal() else UNTOLD_TOKENS
