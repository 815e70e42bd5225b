"""How a member answers candidates: pre-votes, promises, and favour for one candidate at a time.

A member that granted a pre-vote, or promised an epoch, favours that candidate for a bounded time: it
grants no other one meanwhile. A candidate gives up before the favour of its voters lapses, so two
candidates hardly ever stand at once, and none deposes a primary that was just elected. A candidate
that ends or stalls blocks the others for one such time, and is passed over afterwards.
"""

from dataclasses import dataclass, replace

from rookwood.coordination.context import Context
from rookwood.coordination.journal import PromiseStep
from rookwood.coordination.messages import PreVoteReply, PreVoteRequest, Refused


@dataclass(frozen=True)
class Favour:
    """The candidate that is preferred, since when, and until when no other one is granted."""

    candidate: str
    since: float
    until: float


class Voter:
    """One member's answers to candidates."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._favour: Favour | None = None
        self._promised_to: tuple[str, int] | None = None

    def answer_pre_vote(self, sender: str, request: PreVoteRequest, willing: bool) -> bool:
        """Answer a pre-vote, and tell whether it was granted."""
        granted = willing and self._may_favour(sender)
        if granted:
            self._prefer(sender)
        promised = self._context.journal.latest.promised
        self._context.send(sender, PreVoteReply(request.ballot, granted, promised))
        return granted

    def answer_vote(self, step: PromiseStep) -> bool:
        """Answer a request for a promise, and tell whether a new promise is on its way to the disk."""
        journal = self._context.journal
        promised = journal.latest.promised
        if step.epoch == promised and self._promised_to == (step.candidate, step.incarnation):
            self._repeat(step)
            return False
        if step.epoch <= promised:
            self._context.send(step.candidate, Refused(step.epoch, promised))
            return False
        if not journal.healthy or self.favours_another(step.candidate):
            return False
        self._prefer(step.candidate)
        self._promised_to = (step.candidate, step.incarnation)
        journal.update(journal.latest.with_promise(step.epoch), step)
        return True

    def promise_to_itself(self) -> None:
        """Note that the next epoch is promised to this member's own candidacy."""
        self._promised_to = (self._context.ip, self._context.incarnation)

    def favours_another(self, candidate: str) -> bool:
        """Tell whether a candidate other than this one is preferred at present."""
        favour = self._favour
        return favour is not None and favour.candidate != candidate and self._context.now < favour.until

    def favoured_until(self) -> float:
        """Return when the present favour lapses."""
        return float("-inf") if self._favour is None else self._favour.until

    def end_favour(self) -> None:
        """Forget the favour: a primary is heard."""
        self._favour = None

    def candidate_ended(self, ip: str) -> bool:
        """Forget the favour if it is for a process that ended, and tell whether it was."""
        if self._favour is None or self._favour.candidate != ip:
            return False
        self._favour = None
        return True

    def _may_favour(self, candidate: str) -> bool:
        favour = self._favour
        if favour is None:
            return True
        if favour.candidate != candidate:
            return self._context.now >= favour.until
        span = self._context.timing.favour
        age = self._context.now - favour.since
        return age < span or age >= 3 * span

    def _prefer(self, candidate: str) -> None:
        now = self._context.now
        until = now + self._context.timing.favour
        favour = self._favour
        if favour is not None and favour.candidate == candidate and now < favour.until:
            self._favour = replace(favour, until=min(until, favour.since + 2 * self._context.timing.favour))
        else:
            self._favour = Favour(candidate, now, until)

    def _repeat(self, step: PromiseStep) -> None:
        journal = self._context.journal
        if journal.is_settled():
            self._context.run_promise(step)
        else:
            journal.await_latest(step)
