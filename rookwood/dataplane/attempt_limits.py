"""Time limits for attempts: each must end before its request's deadline and before this process ends."""

from __future__ import annotations

from rookwood.dataplane.closing import ClosingTime
from rookwood.dataplane.durations import DurationMeter
from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.retry_rules import MIN_ATTEMPT_TIME
from rookwood.metrics.loop_lag import LoopLag

MAX_WAIT_SHARE = 0.45  # of a request's time; a later rejection leaves the client too little time to try again


class AttemptLimits:
    """Decides how long a request may wait and whether another attempt fits into the remaining time."""

    def __init__(self, wait_share: float = MAX_WAIT_SHARE, lag: LoopLag | None = None) -> None:
        self._wait_share = wait_share
        self.durations = DurationMeter()
        self.closing = ClosingTime()
        self._lag = lag or LoopLag()

    def can_end_in_time(self, request: RoutedRequest, now: float) -> bool:
        """Whether an attempt that begins now is expected to end before this process ends."""
        return self.closing.allows_duration(self._expected_duration(request, now), now)

    def wait_deadline(self, request: RoutedRequest, now: float) -> float:
        """When a request that waits for its weights must begin an attempt or be rejected.

        It keeps the time for one attempt before the deadline, and before the end of this process.
        """
        longest_wait = self._wait_share * (request.deadline - request.arrived)
        latest = min(request.deadline - MIN_ATTEMPT_TIME, request.arrived + longest_wait)
        if self.closing.at is None:
            return latest
        return min(latest, self.closing.at - self._expected_duration(request, now))

    def _expected_duration(self, request: RoutedRequest, now: float) -> float:
        """The duration to plan for an attempt.

        A request that the platform sent before it could know that this process ends gets the likely duration:
        it should be served although the estimate may be too low. A later request can go to another
        dispatcher, so it is accepted only if even a slow attempt and a stall of this process fit.
        """
        if self.closing.arrived_before_notice(request.arrived):
            return self.durations.likely_bound(request, now)
        reserve = self.closing.stall_reserve(self._lag.recent_maximum)
        return self.durations.upper_bound(request, now) + reserve
