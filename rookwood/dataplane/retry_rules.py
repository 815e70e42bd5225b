"""Rules for retries: whether a request may be sent to another worker after an attempt."""

from __future__ import annotations

from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.responses import RequestProgress
from rookwood.dataplane.retry_budget import RetryBudget
from rookwood.dataplane.router import Router
from rookwood.dataplane.upstream import Rejected
from rookwood.httpclient.outcomes import NotSent, ResponseLost

MIN_ATTEMPT_TIME = 0.02  # seconds to the deadline below which an attempt is not worth sending
MAX_CONNECTION_FAILURES = 3  # of one request; failed connections do not count as attempts


class RetryRules:
    """Decides whether a request may be retried.

    A retry after an attempt that reached a worker counts against the retry budget; after a failed connection
    it does not.
    """

    def __init__(self, router: Router, budget: RetryBudget) -> None:
        self._router = router
        self._budget = budget

    def may_leave_worker(self, request: RoutedRequest, progress: RequestProgress, now: float) -> bool:
        """Whether a request may leave an unresponsive worker for another one.

        If so, the retry is counted against the budget here, and `may_retry` will grant it.
        """
        if not request.repeatable or progress.forwarded_without_id:
            return False
        if progress.attempts_sent >= request.route.tries:
            return False
        if request.deadline - now < MIN_ATTEMPT_TIME:
            return False
        if self._router.find_worker(request, progress.excluded_workers, now) is None:
            return False
        progress.retry_granted = self._budget.try_spend(request.service, now)
        return progress.retry_granted

    def may_retry(
        self,
        request: RoutedRequest,
        progress: RequestProgress,
        outcome: NotSent | Rejected | ResponseLost,
        now: float,
    ) -> bool:
        """Whether another attempt may follow this outcome.

        A request that may have run is retried only if it is repeatable. A worker that could not be reached
        does not count as an attempt.
        """
        if request.deadline - now < MIN_ATTEMPT_TIME:
            progress.may_have_run = progress.may_have_run or isinstance(outcome, ResponseLost)
            return False
        if isinstance(outcome, NotSent):
            progress.attempts_sent -= 1
            progress.connection_failures += 1
            return progress.connection_failures < MAX_CONNECTION_FAILURES
        if isinstance(outcome, ResponseLost):
            progress.may_have_run = True
            if not request.repeatable or progress.forwarded_without_id:
                return False
        if progress.retry_granted:
            progress.retry_granted = False
            return True
        if progress.attempts_sent >= request.route.tries:
            return False
        return self._budget.try_spend(request.service, now)
