"""A candidate's pre-vote and vote rounds."""

from dataclasses import dataclass

from rookwood.coordination.context import Context
from rookwood.coordination.document import Document, Member
from rookwood.coordination.journal import OwnPromiseStep
from rookwood.coordination.messages import PreVoteReply, PreVoteRequest, Promise, VoteRequest


@dataclass(frozen=True)
class Supporter:
    """A process that promised, and the token of the storage that holds the promise."""

    incarnation: int
    token: int | None


class PreVote:
    """Asks the others whether they hear no primary either, before any epoch is spent.

    It asks again and again until its limit, since a member may come back or end its favour meanwhile.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._ballots: set[int] = set()
        self._granted: set[str] = set()
        self._resend_at = context.now
        self.highest_promise = context.journal.latest.promised
        self.deadline = context.now + context.timing.pre_vote_limit
        self._ask()

    def on_reply(self, sender: str, reply: PreVoteReply) -> None:
        """Count the answer to one of this candidate's questions."""
        if reply.ballot not in self._ballots:
            return
        self.highest_promise = max(self.highest_promise, reply.promised)
        if reply.granted:
            self._granted.add(sender)

    def is_won(self) -> bool:
        """Tell whether a vote quorum hears no primary."""
        voters = self._context.own_voice() | dict.fromkeys(self._granted)
        return self._context.configuration().has_votes(voters)

    def tick(self) -> None:
        """Ask again when it is time."""
        if self._context.now >= self._resend_at:
            self._ask()

    def next_wakeup(self) -> float:
        """Return when to look at this pre-vote again."""
        return min(self.deadline, self._resend_at)

    def _ask(self) -> None:
        self._resend_at = self._context.now + self._context.timing.resend
        ballot = self._context.random.getrandbits(62)
        self._ballots.add(ballot)
        request = PreVoteRequest(ballot, self._context.journal.latest.document.position)
        for ip in self._context.configuration().all_addresses():
            self._context.send(ip, request)


class Candidacy:
    """Collects promises of one epoch, and the newest document that the promising members hold.

    The others are asked while the own promise is being synced; nothing is won before it is. A candidacy
    ends before the favour of those that promised lapses.
    """

    def __init__(self, context: Context, epoch: int) -> None:
        self._context = context
        self.epoch = epoch
        self.newest: Document = context.journal.latest.document
        self.deadline = context.now + context.timing.election_limit
        self._own_promise = False
        self._promises: dict[str, Supporter] = {}
        context.journal.update(context.journal.latest.with_promise(epoch), OwnPromiseStep(epoch))
        self._ask()

    def on_own_promise(self) -> None:
        """Count the own promise, which is durable now."""
        self._own_promise = True

    def on_promise(self, sender: str, incarnation: int, promise: Promise) -> None:
        """Count a promise that was given to this life of the candidate."""
        if promise.epoch != self.epoch or promise.candidate != self._context.incarnation:
            return
        if promise.stored > self.newest.position:
            if promise.document is None:
                return
            self.newest = promise.document
        self._promises[sender] = Supporter(incarnation, promise.token)

    def is_won(self) -> bool:
        """Tell whether a vote quorum of the newest configuration promised the epoch."""
        if not self._own_promise or not self._is_eligible():
            return False
        voters = self._context.own_voice()
        for ip, supporter in self._promises.items():
            if self._context.contacts[ip].incarnation == supporter.incarnation:
                voters[ip] = supporter.token
        return self.newest.configuration.has_votes(voters)

    def tick(self) -> None:
        """Ask again those that have not answered."""
        if self._context.now >= self._resend_at:
            self._ask()

    def next_wakeup(self) -> float:
        """Return when to look at this candidacy again."""
        return min(self.deadline, self._resend_at)

    def _ask(self) -> None:
        self._resend_at = self._context.now + self._context.timing.resend
        position = self._context.journal.latest.document.position
        addresses = {
            *self._context.configuration().all_addresses(),
            *self.newest.configuration.all_addresses(),
        }
        for ip in sorted(addresses - set(self._promises)):
            self._context.send(ip, VoteRequest(self.epoch, position))

    def _is_eligible(self) -> bool:
        own = Member(self._context.ip, self._context.journal.latest.token)
        return self.newest.configuration.has_member(own)
