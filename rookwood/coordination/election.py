"""The two phases of a candidate: the pre-vote, and the vote in which it collects promises of an epoch."""

from dataclasses import dataclass

from rookwood.coordination.context import Context
from rookwood.coordination.document import Document, Member
from rookwood.coordination.journal import OwnPromiseStep
from rookwood.coordination.messages import PreVoteReply, PreVoteRequest, Promise, VoteRequest


@dataclass(frozen=True)
class GrantedPromise:
    """The incarnation of a process that promised, and the token of the storage that holds the promise."""

    incarnation: int
    token: int | None


class PreVote:
    """Asks the members whether they would vote for this candidate, before it uses up an epoch.

    It repeats its requests until its deadline, since a member may return, or end its favour for another
    candidate, in the meantime.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._ballots: set[int] = set()
        self._granted_by: set[str] = set()
        self._resend_at = context.now
        self.highest_promise = context.journal.latest.promised
        self.deadline = context.now + context.timing.pre_vote_limit
        self._send_requests()

    def on_reply(self, sender: str, reply: PreVoteReply) -> None:
        """Count a reply to one of this candidate's requests."""
        if reply.ballot not in self._ballots:
            return
        self.highest_promise = max(self.highest_promise, reply.promised)
        if reply.granted:
            self._granted_by.add(sender)

    def is_won(self) -> bool:
        """Return whether a vote quorum granted the pre-vote, this candidate included."""
        voters = self._context.own_acknowledgement() | dict.fromkeys(self._granted_by)
        return self._context.configuration().has_vote_quorum(voters)

    def tick(self) -> None:
        """Repeat the requests when they are due."""
        if self._context.now >= self._resend_at:
            self._send_requests()

    def next_wakeup(self) -> float:
        """Return when this pre-vote next has something to do."""
        return min(self.deadline, self._resend_at)

    def _send_requests(self) -> None:
        self._resend_at = self._context.now + self._context.timing.resend
        ballot = self._context.random.getrandbits(62)
        self._ballots.add(ballot)
        request = PreVoteRequest(ballot, self._context.journal.latest.document.position)
        for ip in self._context.configuration().all_addresses():
            self._context.send(ip, request)


class Candidacy:
    """Collects promises of one epoch, and the newest document of the members that promised.

    Vote requests go out while the candidate's own promise is being synced, but the epoch is not won before
    that. A candidacy ends before the favour of the members that promised expires.
    """

    def __init__(self, context: Context, epoch: int) -> None:
        self._context = context
        self.epoch = epoch
        self.newest_document: Document = context.journal.latest.document
        self.deadline = context.now + context.timing.election_limit
        self._own_promise_durable = False
        self._promises: dict[str, GrantedPromise] = {}
        context.journal.update(context.journal.latest.with_promise(epoch), OwnPromiseStep(epoch))
        self._send_requests()

    def on_own_promise(self) -> None:
        """Count the candidate's own promise, which is durable now."""
        self._own_promise_durable = True

    def on_promise(self, sender: str, incarnation: int, promise: Promise) -> None:
        """Count a promise that was made to this incarnation of the candidate."""
        if promise.epoch != self.epoch or promise.candidate != self._context.incarnation:
            return
        if promise.stored > self.newest_document.position:
            if promise.document is None:
                return
            self.newest_document = promise.document
        self._promises[sender] = GrantedPromise(incarnation, promise.token)

    def is_won(self) -> bool:
        """Return whether a vote quorum of the newest configuration promised the epoch."""
        if not self._own_promise_durable or not self._is_eligible():
            return False
        voters = self._context.own_acknowledgement()
        for ip, granted in self._promises.items():
            if self._context.contacts[ip].incarnation == granted.incarnation:
                voters[ip] = granted.token
        return self.newest_document.configuration.has_vote_quorum(voters)

    def tick(self) -> None:
        """Repeat the requests to members that have not promised, when they are due."""
        if self._context.now >= self._resend_at:
            self._send_requests()

    def next_wakeup(self) -> float:
        """Return when this candidacy next has something to do."""
        return min(self.deadline, self._resend_at)

    def _send_requests(self) -> None:
        self._resend_at = self._context.now + self._context.timing.resend
        position = self._context.journal.latest.document.position
        addresses = {
            *self._context.configuration().all_addresses(),
            *self.newest_document.configuration.all_addresses(),
        }
        for ip in sorted(addresses - set(self._promises)):
            self._context.send(ip, VoteRequest(self.epoch, position))

    def _is_eligible(self) -> bool:
        own_member = Member(self._context.ip, self._context.journal.latest.token)
        return self.newest_document.configuration.has_member(own_member)
