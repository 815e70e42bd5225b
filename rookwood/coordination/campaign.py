"""When a member stands for election, and how far its pre-vote or candidacy has come."""

from rookwood.coordination.context import Context
from rookwood.coordination.election import Candidacy, PreVote
from rookwood.coordination.messages import PreVoteReply, PreVoteRequest, Promise, Refused
from rookwood.coordination.voting import Voter


class Campaign:
    """One member's way to become the primary: silence, pre-vote, candidacy."""

    def __init__(self, context: Context, voter: Voter) -> None:
        self._context = context
        self._voter = voter
        self._pre_vote: PreVote | None = None
        self._candidacy: Candidacy | None = None
        self._election_at = context.now + context.timing.start_silence * (1 + context.random.random())

    def wait(self, silence: float) -> None:
        """Stand after a silence from now on, and a little more by chance."""
        jitter = self._context.random.random() * self._context.timing.election_jitter
        self._election_at = self._context.now + silence + jitter

    def end(self) -> None:
        """Stand no longer."""
        self._pre_vote = None
        self._candidacy = None

    def end_before(self, epoch: int) -> None:
        """Stand no longer for an epoch up to that of a primary that is heard."""
        self._pre_vote = None
        if self._candidacy is not None and epoch >= self._candidacy.epoch:
            self._candidacy = None

    def may_stand(self) -> bool:
        """Tell whether this is a member whose disk works."""
        journal = self._context.journal
        stalled = journal.stalled_for(self._context.now) > self._context.timing.disk_limit
        return self._context.is_member() and journal.healthy and not stalled

    def gives_way(self, candidate: str, request: PreVoteRequest) -> bool:
        """Tell whether this member is not to stand before the candidate."""
        if self._candidacy is not None:
            return False
        own = self._context.journal.latest.document.position
        position = own if request.position is None else request.position
        if position != own:
            return position > own or not self.may_stand()
        return self._pre_vote is None or candidate < self._context.ip

    def withdraw_pre_vote(self) -> None:
        """Ask for no pre-vote: another candidate was granted one."""
        self._pre_vote = None

    # Time

    def tick(self) -> None:
        """Do what is due."""
        now = self._context.now
        if self._candidacy is not None:
            self._candidacy.tick()
            if now >= self._candidacy.deadline:
                self._candidacy = None
                self.wait(0.0)
        elif self._pre_vote is not None:
            self._pre_vote.tick()
            if now >= self._pre_vote.deadline:
                self._pre_vote = None
                self.wait(0.0)
        elif now >= self._election_at:
            self._start_pre_vote()

    def next_wakeup(self) -> float:
        """Return when to look at this campaign again."""
        if self._candidacy is not None:
            return self._candidacy.next_wakeup()
        return self._pre_vote.next_wakeup() if self._pre_vote else self._election_at

    # Steps

    def stand_at_once(self, epoch: int) -> None:
        """Stand without a pre-vote, as the primary of this epoch asks."""
        if self._candidacy is None:
            self._start_candidacy(epoch)

    def on_pre_vote_reply(self, sender: str, reply: PreVoteReply) -> None:
        """Count the answer to a pre-vote."""
        if self._pre_vote is not None:
            self._pre_vote.on_reply(sender, reply)
            self._check_pre_vote()

    def on_promise(self, sender: str, incarnation: int, promise: Promise) -> None:
        """Count a promise."""
        if self._candidacy is not None:
            self._candidacy.on_promise(sender, incarnation, promise)

    def on_own_promise(self, epoch: int) -> None:
        """Count the own promise, which is durable now."""
        if self._candidacy is not None and self._candidacy.epoch == epoch:
            self._candidacy.on_own_promise()

    def on_refused(self, refused: Refused) -> None:
        """Give up an epoch that another member can't promise any more."""
        if self._candidacy is not None and refused.promised >= self._candidacy.epoch:
            self._candidacy = None
            self.wait(0.0)

    def take_victory(self) -> Candidacy | None:
        """Return the candidacy if it is won, and end it."""
        candidacy = self._candidacy
        if candidacy is None or not candidacy.is_won():
            return None
        self._candidacy = None
        return candidacy

    def _start_pre_vote(self) -> None:
        self.wait(0.0)
        position = self._context.journal.latest.document.position
        if self._voter.favours_another(self._context.ip, position):
            self.wait(self._voter.favoured_until() - self._context.now)
        elif self.may_stand():
            self._pre_vote = PreVote(self._context)
            self._check_pre_vote()

    def _check_pre_vote(self) -> None:
        if self._pre_vote is not None and self._pre_vote.is_won():
            self._start_candidacy(self._pre_vote.highest_promise)

    def _start_candidacy(self, highest_promise: int) -> None:
        self._pre_vote = None
        epoch = max(highest_promise, self._context.journal.latest.promised) + 1
        self._voter.promise_to_itself()
        self._candidacy = Candidacy(self._context, epoch)
