"""Whether a request may be sent once more, to another worker."""

from __future__ import annotations

from rookwood.dataplane.requests import RoutedRequest
from rookwood.dataplane.responses import RequestProgress
from rookwood.dataplane.retry_budget import RetryBudget
from rookwood.dataplane.router import Router
from rookwood.dataplane.upstream import Rejected
from rookwood.httpclient.outcomes import NotSent, ResponseLost

MINIMUM_ATTEMPT = 0.02  # seconds that must be left for an attempt to be worth sending
MAXIMUM_CONNECTION_FAILURES = 3


class RetryRules:
    """Decides about repeats; each that reaches a worker again is taken from the retry budget."""

    def __init__(self, router: Router, budget: RetryBudget) -> None:
        self._router = router
        self._budget = budget

    def may_move(self, request: RoutedRequest, progress: RequestProgress, now: float) -> bool:
        """Whether a request at a silent worker may go to another one; takes the repeat from the budget."""
        if not request.repeatable or progress.passed_without_id:
            return False
        if progress.sends >= request.route.tries:
            return False
        if request.deadline - now < MINIMUM_ATTEMPT:
            return False
        if self._router.choose(request, progress.excluded, now) is None:
            return False
        progress.repeat_granted = self._budget.take(request.service, now)
        return progress.repeat_granted

    def may_retry(
        self,
        request: RoutedRequest,
        progress: RequestProgress,
        outcome: NotSent | Rejected | ResponseLost,
        now: float,
    ) -> bool:
        """Whether another worker may be tried after this outcome."""
        if request.deadline - now < MINIMUM_ATTEMPT:
            progress.may_have_run = progress.may_have_run or isinstance(outcome, ResponseLost)
            return False
        if isinstance(outcome, NotSent):
            progress.sends -= 1
            progress.connection_failures += 1
            return progress.connection_failures < MAXIMUM_CONNECTION_FAILURES
        if isinstance(outcome, ResponseLost):
            progress.may_have_run = True
            if not request.repeatable or progress.passed_without_id:
                return False
        if progress.repeat_granted:
            progress.repeat_granted = False
            return True
        if progress.sends >= request.route.tries:
            return False
        return self._budget.take(request.service, now)
