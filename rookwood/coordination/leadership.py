"""The primary's side of the replication in one epoch: writes, commits, heartbeat rounds, confirmations."""

from collections.abc import Callable
from dataclasses import dataclass

from rookwood.coordination.context import Context
from rookwood.coordination.document import (
    MAX_PAYLOAD_BYTES,
    Configuration,
    Document,
    Member,
    Position,
)
from rookwood.coordination.effects import Resolve
from rookwood.coordination.journal import OwnWriteStep
from rookwood.coordination.member_progress import MemberProgress
from rookwood.coordination.membership import MAX_MISSED_HEARTBEATS, Membership
from rookwood.coordination.messages import Heartbeat, HeartbeatAck, Write, WriteAck, WriteFailed
from rookwood.coordination.outcomes import (
    Committed,
    Confirmed,
    Declined,
    NotPrimary,
    Overloaded,
    PayloadTooLarge,
    Uncertain,
)
from rookwood.coordination.proposals import Proposal, ProposalQueue

MAX_TRACKED_ROUNDS = 32  # newest heartbeat rounds whose start times are kept, for the lease


@dataclass(frozen=True)
class PendingConfirmation:
    """A call that waits for a heartbeat round; its outcome is `declined`, or else a confirmation."""

    ticket: int
    required_round: int
    declined: Declined | None


class Leadership:
    """One epoch in which this process leads.

    Its first document repeats the newest one that the members hold; once that is committed, the primary is
    established and may act.
    """

    def __init__(self, context: Context, epoch: int, newest: Document) -> None:
        self._context = context
        self.epoch = epoch
        self.started_at = context.now
        self.established_at: float | None = None
        self.handover_deadline: float | None = None
        self._progress: dict[str, MemberProgress] = {}
        self._membership = Membership(context)
        self._proposals = ProposalQueue()
        self._pending_confirmations: list[PendingConfirmation] = []
        self._in_flight_ticket: int | None = None
        self._commit_pending = False
        self._write_started_at = context.now
        self._copy_wait_until: float | None = None
        self._committed_position = Position()
        self._latest_round = 0
        self._confirmed_round = 0
        self._round_start_times: dict[int, float] = {}
        self._next_heartbeat_at = context.now
        self._document = newest
        self._write(newest.configuration, newest.payload)

    @property
    def is_established(self) -> bool:
        """Whether the first document of this epoch is committed, so that this primary may act."""
        return self.established_at is not None

    @property
    def is_leaving(self) -> bool:
        """Whether this primary is handing over to another member."""
        return self.handover_deadline is not None

    @property
    def committed_position(self) -> Position:
        """The newest committed position."""
        return self._committed_position

    # Calls

    def propose(self, proposal: Proposal) -> None:
        """Queue a change, or reject it at once if the queue is full."""
        if not self._proposals.has_room(proposal.size):
            self._context.effects.append(Resolve(proposal.ticket, Overloaded()))
            return
        self._proposals.append(proposal)
        self._start_next_write()

    def confirm(self, ticket: int, declined: Declined | None = None) -> None:
        """Resolve the call once a heartbeat round that starts after now has been acknowledged."""
        if self._confirmed_round == self._latest_round:
            self._pending_confirmations.append(PendingConfirmation(ticket, self._latest_round + 1, declined))
            self._start_round()
            return
        self._pending_confirmations.append(PendingConfirmation(ticket, self._latest_round + 1, declined))

    def abandon(self, ticket: int) -> None:
        """Drop a call that timed out; its write, if under way, continues."""
        self._proposals.remove(ticket)
        self._pending_confirmations = [
            pending for pending in self._pending_confirmations if pending.ticket != ticket
        ]
        if self._in_flight_ticket == ticket:
            self._in_flight_ticket = None

    def close(self) -> None:
        """Resolve all pending calls, since this epoch is over."""
        waiting = [proposal.ticket for proposal in self._proposals.pop_all()]
        waiting += [pending.ticket for pending in self._pending_confirmations]
        for ticket in waiting:
            self._context.effects.append(Resolve(ticket, NotPrimary(None)))
        if self._in_flight_ticket is not None:
            outcome = Uncertain("the primary stepped down")
            self._context.effects.append(Resolve(self._in_flight_ticket, outcome))
        self._pending_confirmations.clear()
        self._in_flight_ticket = None

    def is_ready_for_handover(self) -> bool:
        """Return whether to hand over now.

        That is the case once every healthy member has the newest document and it is committed, or when the
        deadline for the handover has passed.
        """
        if self.handover_deadline is None:
            return False
        position = self._document.position
        has_copies = all(progress.stored_position >= position for progress in self._healthy_members())
        return self._context.now >= self.handover_deadline or (not self._commit_pending and has_copies)

    def begin_handover(self) -> None:
        """Accept no more changes, so that another member can take over; queued changes are still made."""
        self.handover_deadline = self._context.now + self._context.timing.departure_limit

    # Messages

    def on_own_copy_durable(self) -> None:
        """Check whether the document is committed, now that the primary's own copy is durable."""
        self._check_commit()

    def on_heartbeat_ack(self, sender: str, incarnation: int, ack: HeartbeatAck) -> None:
        """Count a member's acknowledgement of a heartbeat round."""
        if ack.epoch != self.epoch:
            return
        progress = self._progress_of(sender, incarnation, ack.token)
        progress.record_acknowledged_round(ack.round, self._round_start_times.get(ack.round))
        self._record_stored(progress, ack.stored)
        self._send_newest_document(sender, progress)
        self._update_confirmed_round()

    def on_write_ack(self, sender: str, incarnation: int, ack: WriteAck) -> None:
        """Record the copy of a member or learner."""
        if ack.epoch != self.epoch:
            return
        progress = self._progress_of(sender, incarnation, ack.token)
        self._record_stored(progress, ack.stored)
        if sender in self._receivers():
            self._send_newest_document(sender, progress)

    def on_write_failed(self, sender: str, incarnation: int, failure: WriteFailed) -> None:
        """Record that a member could not store a document."""
        progress = self._progress.get(sender)
        if failure.epoch == self.epoch and progress is not None and progress.incarnation == incarnation:
            progress.record_failed_write(failure.position)

    def on_join_request(self, sender: str, incarnation: int, token: int) -> None:
        """Record a request for admission with the storage of this token, and send the document there."""
        if self._document.configuration.has_member(Member(sender, token)):
            return
        self._membership.record_request(Member(sender, token))
        self._send_newest_document(sender, self._progress_of(sender, incarnation, token))

    # Time

    def tick(self) -> None:
        """Do everything that is due at this time."""
        if self._context.now >= self._next_heartbeat_at:
            self._start_round()
        self._membership.drop_expired_requests(self._document.configuration)
        self._check_commit()
        self._replace_lost_members()
        self._start_next_write()

    def next_wakeup(self) -> float:
        """Return when this leadership next has something to do."""
        if self._copy_wait_until is None:
            return self._next_heartbeat_at
        return min(self._next_heartbeat_at, self._copy_wait_until)

    def has_lease(self, now: float) -> bool:
        """Return whether a vote quorum acknowledged a round that started within the lease time.

        A new primary has the lease for one lease time after its election.
        """
        limit = now - self._context.timing.lease
        if self.started_at >= limit:
            return True
        recent = self._acknowledgements(lambda progress: progress.acknowledged_round_started_at >= limit)
        return self._document.configuration.has_vote_quorum(recent)

    def choose_successor(self) -> str | None:
        """Return the address of the most up-to-date reachable member, preferably one whose disk works."""
        limit = self._context.now - self._context.timing.lease
        candidates = [
            (not progress.disk_failed, progress.stored_position, ip)
            for ip, progress in self._progress.items()
            if progress.acknowledged_round_started_at >= limit
            and ip != self._context.ip
            and self._is_member(ip, progress.token)
        ]
        return max(candidates)[-1] if candidates else None

    # Writes

    def _write(self, configuration: Configuration, payload: bytes) -> None:
        position = Position(self.epoch, self._document.position.sequence + 1)
        self._document = Document(position, configuration, payload)
        self._commit_pending = True
        self._write_started_at = self._context.now
        journal = self._context.journal
        self._context.record_document(self._document)
        journal.update(journal.latest.with_document(self._document), OwnWriteStep(position))
        for ip in self._receivers():
            self._send_newest_document(ip, self._progress.setdefault(ip, MemberProgress()))

    def _send_newest_document(self, ip: str, progress: MemberProgress) -> None:
        """Send the newest document to a machine that does not have it, unless a write to it is under way."""
        now = self._context.now
        position = self._document.position
        if progress.stored_position >= position:
            return
        if progress.may_send(position, now, self._context.timing.write_resend):
            progress.record_sent(position, now, self._latest_round)
            self._context.send(ip, Write(self._document))

    def _check_commit(self) -> None:
        if not self._commit_pending:
            return
        position = self._document.position
        if self._context.journal.durable.document.position < position:
            return
        holders = self._acknowledgements(lambda progress: progress.stored_position >= position)
        has_quorum = self._document.configuration.has_copy_quorum(holders, self._context.tolerate)
        if has_quorum and not self._waits_for_healthy_copies():
            self._commit()

    def _waits_for_healthy_copies(self) -> bool:
        """Return whether a commit waits for copies of healthy members beyond the quorum.

        It waits for a limited time. Machines that are late are marked as lagging, and later commits do not
        wait for them.
        """
        now = self._context.now
        awaited = [*self._healthy_members(), *self._healthy_learners()]
        missing = [progress for progress in awaited if progress.stored_position < self._document.position]
        if not missing:
            return False
        if self._copy_wait_until is None:
            self._copy_wait_until = now + self._context.timing.copy_patience
        if now < self._copy_wait_until:
            return True
        for progress in missing:
            progress.is_lagging = True
        return False

    def _healthy_members(self) -> list[MemberProgress]:
        """Return the progress of the other members that respond and keep up."""
        return [
            progress
            for ip, progress in self._progress.items()
            if self._is_member(ip, progress.token) and self._is_keeping_up(progress)
        ]

    def _healthy_learners(self) -> list[MemberProgress]:
        """Return the progress of learners that keep up and are about to be admitted.

        Only a learner with the newest document is admitted. Under constant changes it would never have it if
        commits did not wait for it.
        """
        configuration = self._document.configuration
        return [
            progress
            for ip, progress in self._progress.items()
            if self._is_keeping_up(progress)
            and self._membership.would_admit(ip, progress.token, configuration)
        ]

    def _is_keeping_up(self, progress: MemberProgress) -> bool:
        limit = self._context.now - MAX_MISSED_HEARTBEATS * self._context.timing.heartbeat
        return (
            not progress.disk_failed
            and not progress.is_lagging
            and progress.acknowledged_round_started_at >= limit
        )

    def _commit(self) -> None:
        self._commit_pending = False
        self._copy_wait_until = None
        self._committed_position = self._document.position
        if self.established_at is None:
            self.established_at = self._context.now
        self._context.apply_commit(self._committed_position)
        ticket = self._in_flight_ticket
        self._in_flight_ticket = None
        if ticket is not None:
            self._context.effects.append(Resolve(ticket, Committed(self._context.snapshot)))
        self._start_round()
        self._start_next_write()

    def _start_next_write(self) -> None:
        """Start the next write: a membership change first, since other changes may arrive without a pause."""
        if self.is_established and not self._commit_pending and not self.is_leaving:
            self._start_membership_change()
        while self.is_established and not self._commit_pending and self._proposals:
            self._start_proposal(self._proposals.pop_next())

    def _start_proposal(self, proposal: Proposal) -> None:
        result = proposal.change(self._document.payload)
        if isinstance(result, bytes) and len(result) > MAX_PAYLOAD_BYTES:
            result = Declined(PayloadTooLarge(len(result)))
        if isinstance(result, Declined):
            self.confirm(proposal.ticket, result)
            return
        self._in_flight_ticket = proposal.ticket
        self._write(self._document.configuration, result)

    # Rounds

    def _start_round(self) -> None:
        now = self._context.now
        self._latest_round += 1
        self._round_start_times[self._latest_round] = now
        self._round_start_times.pop(self._latest_round - MAX_TRACKED_ROUNDS, None)
        self._next_heartbeat_at = now + self._context.timing.heartbeat
        heartbeat = Heartbeat(
            self.epoch, self._latest_round, self._committed_position, self._document.position
        )
        for ip in self._receivers():
            self._context.send(ip, heartbeat)
        self._update_confirmed_round()

    def _update_confirmed_round(self) -> None:
        best = self._confirmed_round
        for number in sorted(
            {progress.acknowledged_round for progress in self._progress.values()} | {self._latest_round}
        ):
            if self._document.configuration.has_vote_quorum(self._round_acknowledgements(number)):
                best = max(best, number)
        self._confirmed_round = best
        self._resolve_confirmations()

    def _resolve_confirmations(self) -> None:
        if not self.is_established:
            return
        ready = [
            pending
            for pending in self._pending_confirmations
            if pending.required_round <= self._confirmed_round
        ]
        self._pending_confirmations = [
            pending
            for pending in self._pending_confirmations
            if pending.required_round > self._confirmed_round
        ]
        for pending in ready:
            outcome = pending.declined or Confirmed(self._context.snapshot)
            self._context.effects.append(Resolve(pending.ticket, outcome))
        if self._pending_confirmations and self._confirmed_round == self._latest_round:
            self._start_round()

    # Members

    def _start_membership_change(self) -> None:
        configuration = self._membership.next_configuration(self._document, self._progress)
        if configuration is not None:
            self._write(configuration, self._document.payload)

    def _replace_lost_members(self) -> None:
        """Replace lost members while a document waits for their copies.

        With fewer than `2 * tolerate + 1` members, a copy quorum is more than a majority. One lost disk then
        stops every commit, including the commit that would replace it. So the same payload is written again
        under members that can commit it. docs/control-state.md shows why no data is lost.
        """
        position = self._document.position
        waited = self._context.now - self._write_started_at
        if not self._commit_pending or waited < self._context.timing.replace_after:
            return
        holders = self._acknowledgements(lambda progress: progress.stored_position >= position)
        if not self._document.configuration.has_vote_quorum(holders):
            return
        configuration = self._membership.replacement_configuration(self._document, self._progress)
        if configuration is not None:
            self._write(configuration, self._document.payload)

    def _receivers(self) -> tuple[str, ...]:
        addresses = (*self._document.configuration.all_addresses(), *self._membership.learner_addresses())
        return tuple(ip for ip in dict.fromkeys(addresses) if ip != self._context.ip)

    def _progress_of(self, ip: str, incarnation: int, token: int | None) -> MemberProgress:
        """Return the progress of a machine, starting anew if its incarnation or storage token changed."""
        progress = self._progress.setdefault(ip, MemberProgress())
        if progress.incarnation is None:
            progress.incarnation = incarnation
            progress.token = token
        elif (progress.incarnation, progress.token) != (incarnation, token):
            progress = MemberProgress(incarnation, token)
            self._progress[ip] = progress
        return progress

    def _acknowledgements(self, matches: Callable[[MemberProgress], bool]) -> dict[str, int | None]:
        """Return the machines whose progress matches, and this one, each with its storage token."""
        acknowledgements = {
            ip: progress.token for ip, progress in self._progress.items() if matches(progress)
        }
        return acknowledgements | self._context.own_acknowledgement()

    def _round_acknowledgements(self, number: int) -> dict[str, int | None]:
        return self._acknowledgements(lambda progress: progress.acknowledged_round >= number)

    def _is_member(self, ip: str, token: int | None) -> bool:
        configuration = self._document.configuration
        return configuration.has_address(ip) if token is None else configuration.has_member(Member(ip, token))

    def _record_stored(self, progress: MemberProgress, stored: Position) -> None:
        if stored.epoch == self.epoch and stored > progress.stored_position:
            progress.record_stored(stored, self._context.now, self._context.timing.copy_patience)
            self._check_commit()
            self._start_next_write()
