"""How a member responds to candidates: pre-votes, promises, and favour for one candidate at a time.

A member that granted a pre-vote or promised an epoch favours that candidate for a limited time, which is
shorter for a pre-vote. Meanwhile it grants nothing to another candidate, unless that one has a newer
document. A candidate gives up before the favour of the members that promised expires. So two candidates
rarely compete at the same time, and no candidate deposes a primary that was just elected.

A candidate whose process ended or stalls blocks the others for at most twice that time: its further requests
may still be granted, but they no longer prolong its favour.
"""

from dataclasses import dataclass, replace

from rookwood.coordination.context import Context
from rookwood.coordination.document import Position
from rookwood.coordination.journal import PromiseStep
from rookwood.coordination.messages import PreVoteReply, PreVoteRequest, Refused

# A candidate can be favoured anew this many favour times after its last favour began.
FAVOUR_RESET_FACTOR = 3


@dataclass(frozen=True)
class Favour:
    """The favoured candidate, its document's position, and the time during which no other one is granted."""

    candidate: str
    position: Position
    since: float
    until: float


class Voter:
    """One member's responses to candidates."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._current_favour: Favour | None = None
        self._promised_to: tuple[str, int] | None = None

    def respond_to_pre_vote(self, sender: str, request: PreVoteRequest, willing: bool) -> bool:
        """Respond to a pre-vote request, and return whether the pre-vote was granted.

        `willing` is true if the member knows no live primary and yields to the candidate.
        """
        position = request.position or Position()
        granted = willing and not self.favours_another(sender, position)
        if granted:
            self._favour_candidate(sender, position, self._context.timing.pre_vote_favour)
        promised = self._context.journal.latest.promised
        self._context.send(sender, PreVoteReply(request.ballot, granted, promised))
        return granted

    def respond_to_vote_request(self, step: PromiseStep) -> bool:
        """Respond to a vote request, and return whether a new promise is being written to disk."""
        journal = self._context.journal
        promised = journal.latest.promised
        if step.epoch == promised and self._promised_to == (step.candidate, step.incarnation):
            self._resend_promise(step)
            return False
        if step.epoch <= promised:
            self._context.send(step.candidate, Refused(step.epoch, promised))
            return False
        if not journal.disk_healthy or self.favours_another(step.candidate, step.candidate_position):
            return False
        self._favour_candidate(step.candidate, step.candidate_position, self._context.timing.favour)
        self._promised_to = (step.candidate, step.incarnation)
        journal.update(journal.latest.with_promise(step.epoch), step)
        return True

    def record_own_candidacy(self) -> None:
        """Record that this member promises the next epoch to itself, as candidate."""
        self._promised_to = (self._context.ip, self._context.incarnation)

    def favours_another(self, candidate: str, position: Position) -> bool:
        """Return whether another candidate is favoured over this one, whose document is at the position."""
        favour = self._current_favour
        if favour is None or favour.candidate == candidate or position > favour.position:
            return False
        return self._context.now < favour.until

    def favour_end(self) -> float:
        """Return when the current favour expires."""
        return float("-inf") if self._current_favour is None else self._current_favour.until

    def end_favour(self) -> None:
        """End the current favour, since there is a primary."""
        self._current_favour = None

    def drop_favour_for(self, ip: str) -> bool:
        """End the favour for a candidate whose process ended; return whether there was one."""
        if self._current_favour is None or self._current_favour.candidate != ip:
            return False
        self._current_favour = None
        return True

    def _favour_candidate(self, candidate: str, position: Position, span: float) -> None:
        """Favour a candidate for this many seconds.

        A favour is prolonged only within the first favour time, and the same candidate is favoured anew only
        after `FAVOUR_RESET_FACTOR` favour times.
        """
        now = self._context.now
        longest = self._context.timing.favour
        favour = self._current_favour
        if (
            favour is None
            or favour.candidate != candidate
            or now >= favour.since + FAVOUR_RESET_FACTOR * longest
        ):
            self._current_favour = Favour(candidate, position, now, now + span)
        elif now < favour.since + longest:
            self._current_favour = replace(favour, position=position, until=max(favour.until, now + span))

    def _resend_promise(self, step: PromiseStep) -> None:
        journal = self._context.journal
        if journal.is_latest_durable():
            self._context.send_promise(step)
        else:
            journal.run_when_durable(step)
