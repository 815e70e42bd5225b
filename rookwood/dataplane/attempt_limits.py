"""Which attempts still fit: before a request's deadline, and before this process ends."""

from __future__ import annotations

from rookwood.dataplane.closing import ClosingTime
from rookwood.dataplane.durations import DurationMeter
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.retry_rules import MINIMUM_ATTEMPT
from rookwood.metrics.loop_lag import LoopLag

WAIT_SHARE = 0.45  # of the time that a request has; who is held longer and refused then loses more


class AttemptLimits:
    """Knows how long attempts take, and when the process ends."""

    def __init__(self, wait_share: float = WAIT_SHARE, lag: LoopLag | None = None) -> None:
        self._wait_share = wait_share
        self.durations = DurationMeter()
        self.closing = ClosingTime()
        self._lag = lag or LoopLag()

    def ends_in_time(self, request: RoutedRequest, now: float) -> bool:
        """Whether an attempt that begins now can be expected to end before this process."""
        return self.closing.allows(self._expected_duration(request, now), now)

    def wait_limit(self, request: RoutedRequest, now: float) -> float:
        """Until when a request may wait for its weights; its attempt must end before this process does."""
        patience = self._wait_share * (request.deadline - request.arrived)
        until = min(request.deadline - MINIMUM_ATTEMPT, request.arrived + patience)
        if self.closing.at is None:
            return until
        return min(until, self.closing.at - self._expected_duration(request, now))

    def _expected_duration(self, request: RoutedRequest, now: float) -> float:
        """How long an attempt takes.

        Most attempts for a request that the platform sends here unknowing; hardly any exceeds it for one that
        comes later, when clients have other dispatchers to go to, even if this process is held up meanwhile.
        """
        if self.closing.unnoticed(request.arrived):
            return self.durations.likely(request, now)
        reserve = self.closing.stall_reserve(self._lag.recent_maximum)
        return self.durations.upper(request, now) + reserve
