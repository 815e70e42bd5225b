"""How a member answers candidates: pre-votes, promises, and favour for one candidate at a time.

A member that granted a pre-vote, or promised an epoch, favours that candidate for a bounded time, a short
one for a pre-vote: it grants no other one meanwhile, except one with a newer document. A candidate gives
up before the favour of those that promised lapses, so two candidates hardly ever stand at once, and none
deposes a primary that was just elected. A candidate that ends or stalls blocks the others for twice that
time at most: it is asked for again, but favoured no longer.
"""

from dataclasses import dataclass, replace

from rookwood.coordination.context import Context
from rookwood.coordination.document import Position
from rookwood.coordination.journal import PromiseStep
from rookwood.coordination.messages import PreVoteReply, PreVoteRequest, Refused

FORGET_AFTER = 3


@dataclass(frozen=True)
class Favour:
    """The candidate that is preferred, since when, and until when no other one is granted."""

    candidate: str
    position: Position
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
        position = request.position or Position()
        granted = willing and not self.favours_another(sender, position)
        if granted:
            self._prefer(sender, position, self._context.timing.pre_vote_favour)
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
        if not journal.healthy or self.favours_another(step.candidate, step.known):
            return False
        self._prefer(step.candidate, step.known, self._context.timing.favour)
        self._promised_to = (step.candidate, step.incarnation)
        journal.update(journal.latest.with_promise(step.epoch), step)
        return True

    def promise_to_itself(self) -> None:
        """Note that the next epoch is promised to this member's own candidacy."""
        self._promised_to = (self._context.ip, self._context.incarnation)

    def favours_another(self, candidate: str, position: Position) -> bool:
        """Tell whether another candidate goes before this one, which holds a document at the position."""
        favour = self._favour
        if favour is None or favour.candidate == candidate or position > favour.position:
            return False
        return self._context.now < favour.until

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

    def _prefer(self, candidate: str, position: Position, span: float) -> None:
        """Favour a candidate for a span; one that was favoured for long lately is not again at once."""
        now = self._context.now
        longest = self._context.timing.favour
        favour = self._favour
        if favour is None or favour.candidate != candidate or now >= favour.since + FORGET_AFTER * longest:
            self._favour = Favour(candidate, position, now, now + span)
        elif now < favour.since + longest:
            self._favour = replace(favour, position=position, until=max(favour.until, now + span))

    def _repeat(self, step: PromiseStep) -> None:
        journal = self._context.journal
        if journal.is_settled():
            self._context.run_promise(step)
        else:
            journal.await_latest(step)
