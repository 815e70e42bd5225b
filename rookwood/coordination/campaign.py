"""When a member stands for election, and the state of its pre-vote or candidacy."""

from rookwood.coordination.context import Context
from rookwood.coordination.election import Candidacy, PreVote
from rookwood.coordination.messages import PreVoteReply, PreVoteRequest, Promise, Refused
from rookwood.coordination.voting import Voter


class Campaign:
    """A member's attempts to become primary: it waits without a primary, then pre-vote, then candidacy."""

    def __init__(self, context: Context, voter: Voter) -> None:
        self._context = context
        self._voter = voter
        self._pre_vote: PreVote | None = None
        self._candidacy: Candidacy | None = None
        self._election_at = context.now + context.timing.start_silence * (1 + context.random.random())

    def schedule_election(self, delay: float) -> None:
        """Stand for election after this delay from now, plus a random jitter."""
        jitter = self._context.random.random() * self._context.timing.election_jitter
        self._election_at = self._context.now + delay + jitter

    def abort(self) -> None:
        """Abort the pre-vote and the candidacy."""
        self._pre_vote = None
        self._candidacy = None

    def abort_up_to(self, epoch: int) -> None:
        """Abort the pre-vote, and a candidacy for this epoch or an earlier one: the epoch has a primary."""
        self._pre_vote = None
        if self._candidacy is not None and epoch >= self._candidacy.epoch:
            self._candidacy = None

    def can_stand(self) -> bool:
        """Return whether this machine may stand for election: it is a member and its disk works."""
        journal = self._context.journal
        stalled = journal.current_write_duration(self._context.now) > self._context.timing.disk_limit
        return self._context.is_member() and journal.disk_healthy and not stalled

    def yields_to(self, candidate: str, request: PreVoteRequest) -> bool:
        """Return whether this member lets the candidate go first.

        The newer document wins, unless this member could not stand anyway. Between equal documents the lower
        address wins.
        """
        if self._candidacy is not None:
            return False
        own_position = self._context.journal.latest.document.position
        position = own_position if request.position is None else request.position
        if position != own_position:
            return position > own_position or not self.can_stand()
        return self._pre_vote is None or candidate < self._context.ip

    def withdraw_pre_vote(self) -> None:
        """Abort the pre-vote, since another candidate was granted one."""
        self._pre_vote = None

    # Time

    def tick(self) -> None:
        """Do everything that is due at this time."""
        now = self._context.now
        if self._candidacy is not None:
            self._candidacy.tick()
            if now >= self._candidacy.deadline:
                self._candidacy = None
                self.schedule_election(0.0)
        elif self._pre_vote is not None:
            self._pre_vote.tick()
            if now >= self._pre_vote.deadline:
                self._pre_vote = None
                self.schedule_election(0.0)
        elif now >= self._election_at:
            self._start_pre_vote()

    def next_wakeup(self) -> float:
        """Return when this campaign next has something to do."""
        if self._candidacy is not None:
            return self._candidacy.next_wakeup()
        return self._pre_vote.next_wakeup() if self._pre_vote else self._election_at

    # Steps

    def stand_immediately(self, epoch: int) -> None:
        """Stand without a pre-vote, at the request of the primary of this epoch."""
        if self._candidacy is None:
            self._start_candidacy(epoch)

    def on_pre_vote_reply(self, sender: str, reply: PreVoteReply) -> None:
        """Count a reply to the pre-vote."""
        if self._pre_vote is not None:
            self._pre_vote.on_reply(sender, reply)
            self._check_pre_vote()

    def on_promise(self, sender: str, incarnation: int, promise: Promise) -> None:
        """Count a promise for the candidacy."""
        if self._candidacy is not None:
            self._candidacy.on_promise(sender, incarnation, promise)

    def on_own_promise(self, epoch: int) -> None:
        """Count this member's own promise, which is durable now."""
        if self._candidacy is not None and self._candidacy.epoch == epoch:
            self._candidacy.on_own_promise()

    def on_refused(self, refused: Refused) -> None:
        """Give up the candidacy if another member has promised its epoch or a later one."""
        if self._candidacy is not None and refused.promised >= self._candidacy.epoch:
            self._candidacy = None
            self.schedule_election(0.0)

    def pop_won_candidacy(self) -> Candidacy | None:
        """Return the candidacy if it is won, and remove it."""
        candidacy = self._candidacy
        if candidacy is None or not candidacy.is_won():
            return None
        self._candidacy = None
        return candidacy

    def _start_pre_vote(self) -> None:
        self.schedule_election(0.0)
        position = self._context.journal.latest.document.position
        if self._voter.favours_another(self._context.ip, position):
            self.schedule_election(self._voter.favour_end() - self._context.now)
        elif self.can_stand():
            self._pre_vote = PreVote(self._context)
            self._check_pre_vote()

    def _check_pre_vote(self) -> None:
        if self._pre_vote is not None and self._pre_vote.is_won():
            self._start_candidacy(self._pre_vote.highest_promise)

    def _start_candidacy(self, highest_promise: int) -> None:
        self._pre_vote = None
        epoch = max(highest_promise, self._context.journal.latest.promised) + 1
        self._voter.record_own_candidacy()
        self._candidacy = Candidacy(self._context, epoch)
