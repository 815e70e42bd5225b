"""The replica: a state machine without I/O.

Messages, the time, calls and results of disk writes go in; effects to carry out come out.
"""

from random import Random

from rookwood.coordination.admission import Admission, may_respond_to_candidate, respond_to_inquiry
from rookwood.coordination.campaign import Campaign
from rookwood.coordination.context import Context
from rookwood.coordination.document import Record
from rookwood.coordination.effects import Effect, Persist, Resolve, RoleChanged
from rookwood.coordination.following import Follower
from rookwood.coordination.journal import (
    Journal,
    OwnPromiseStep,
    OwnWriteStep,
    PromiseStep,
    Step,
    WriteResult,
    WriteStep,
)
from rookwood.coordination.leadership import Leadership
from rookwood.coordination.messages import (
    Heartbeat,
    HeartbeatAck,
    Inquiry,
    JoinRequest,
    MembershipNotice,
    Message,
    PreVoteReply,
    PreVoteRequest,
    Promise,
    Refused,
    Situation,
    TransferNow,
    VoteRequest,
    Write,
    WriteAck,
    WriteFailed,
)
from rookwood.coordination.outcomes import NotPrimary, Primary, Role, Snapshot, Unattached
from rookwood.coordination.proposals import Change, Proposal
from rookwood.coordination.timing import Timing
from rookwood.coordination.voting import Voter

TOKEN_BITS = 62


def new_token(random: Random) -> int:
    """Return a random token for a new, empty storage; the first members of a group have the token 0."""
    return random.getrandbits(TOKEN_BITS) + 1


class Replica:
    """The replication protocol of one machine, as a state machine to which the time is passed in.

    Each input returns the effects that its caller carries out in order.
    """

    def __init__(
        self,
        *,
        ip: str,
        incarnation: int,
        seeds: tuple[str, ...],
        tolerate: int,
        record: Record | None,
        random: Random,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        stored = record or Record(new_token(random))
        journal = Journal(stored)
        self._context = Context(ip, incarnation, seeds, tolerate, timing or Timing(), random, journal, now)
        self._context.record_document(stored.document)
        self._admission: Admission | None = None
        self._leadership: Leadership | None = None
        self._follower = Follower(self._context)
        self._voter = Voter(self._context)
        self._campaign = Campaign(self._context, self._voter)
        self._role: Role = Unattached("starting")

    # Queries

    def role(self, now: float) -> Role:
        """Return the role at this time; the lease may have expired since the last input."""
        return self._compute_role(now)

    def snapshot(self) -> Snapshot:
        """Return the newest document that is known to be committed."""
        return self._context.snapshot

    def members(self) -> tuple[str, ...]:
        """Return the addresses of the members in the newest known configuration."""
        return self._context.configuration().addresses()

    def is_changing_members(self) -> bool:
        """Return whether a change of the members is under way in the newest known configuration."""
        return bool(self._context.configuration().outgoing)

    def is_member(self) -> bool:
        """Return whether this replica is a member with the storage that it has."""
        return self._context.is_member()

    def reachable_members(self, now: float) -> frozenset[str]:
        """Return the members from which a message arrived within the lease time, and this one."""
        self._begin_input(now)
        lease = self._context.timing.lease
        members = self.members()
        in_contact = {ip for ip in members if self._context.is_in_contact(ip, lease)}
        return frozenset(in_contact | ({self._context.ip} & set(members)))

    def record(self) -> Record:
        """Return the record that is known to be synced to disk."""
        return self._context.journal.durable

    def promised_epoch(self) -> int:
        """Return the highest promised epoch, synced or not."""
        return self._context.journal.latest.promised

    def is_leading(self) -> bool:
        """Return whether this process won an epoch and leads it, even before its first commit."""
        return self._leadership is not None

    def next_wakeup(self) -> float:
        """Return when `tick` must be called next."""
        moments = [self._context.now + self._context.timing.primary_silence]
        if self._follower.contact_expires_at() > self._context.now:
            moments.append(self._follower.contact_expires_at())
        if not self._context.is_member():
            moments.append(self._admission.next_wakeup() if self._admission else self._context.now)
        elif self._leadership is not None:
            moments.append(self._leadership.next_wakeup())
        else:
            moments.append(self._campaign.next_wakeup())
        return min(moments)

    # Inputs

    def tick(self, now: float) -> list[Effect]:
        """Do everything that is due at this time."""
        self._begin_input(now)
        self._check_stalled_disk()
        if self._context.is_member():
            self._admission = None
            self._tick_member()
        else:
            self._tick_non_member()
        return self._finish_input()

    def receive(self, sender: str, incarnation: int, message: Message, now: float) -> list[Effect]:
        """Process a message."""
        self._begin_input(now)
        self._context.record_message(sender, incarnation)
        self._dispatch(sender, incarnation, message)
        return self._finish_input()

    def persisted(self, ticket: int, stored: Record | None, succeeded: bool, now: float) -> list[Effect]:
        """Process the result of a disk write; after a failure, `stored` is the record that the disk holds."""
        self._begin_input(now)
        journal = self._context.journal
        retry_at = now + self._context.timing.disk_retry
        result = journal.complete_write(ticket) if succeeded else journal.fail_write(ticket, stored, retry_at)
        if result is not None:
            self._on_write_result(result)
        return self._finish_input()

    def disconnected(self, peer: str, now: float) -> list[Effect]:
        """Process the end of a peer's connection: if the peer was the primary, an election follows sooner."""
        self._begin_input(now)
        follows = peer == self._follower.primary and self._leadership is None
        if follows and self._follower.shorten_primary_deadline():
            self._campaign.schedule_election(self._context.timing.disconnect_silence)
        if self._voter.drop_favour_for(peer):
            self._campaign.schedule_election(0.0)
        return self._finish_input()

    def propose(self, ticket: int, change: Change, now: float, size: int = 0) -> list[Effect]:
        """Start a call that changes the document; `size` is the memory that it occupies while it waits."""
        self._begin_input(now)
        leadership = self._leadership_for_call(ticket)
        if leadership is not None:
            leadership.propose(Proposal(ticket, change, size))
        return self._finish_input()

    def confirm(self, ticket: int, now: float) -> list[Effect]:
        """Start a call that confirms leadership."""
        self._begin_input(now)
        leadership = self._leadership_for_call(ticket)
        if leadership is not None:
            leadership.confirm(ticket)
        return self._finish_input()

    def abandon(self, ticket: int, now: float) -> list[Effect]:
        """Drop a call that timed out."""
        self._begin_input(now)
        if self._leadership is not None:
            self._leadership.abandon(ticket)
        return self._finish_input()

    def transfer(self, now: float) -> list[Effect]:
        """Hand the leadership over to another member once the write under way is committed."""
        self._begin_input(now)
        if self._leadership is not None:
            self._leadership.begin_handover()
        return self._finish_input()

    # Time

    def _begin_input(self, now: float) -> None:
        """Record the time of an input.

        If this process stalled for longer than the lease, messages that arrive now may have been sent long
        ago, so they don't count as contact for one lease time.
        """
        lease = self._context.timing.lease
        if now - self._context.now > lease:
            self._follower.ignore_stale_messages(now + lease)
        self._context.now = now

    def _check_stalled_disk(self) -> None:
        context = self._context
        if context.journal.current_write_duration(context.now) > context.timing.disk_limit:
            self._hand_over()
            self._campaign.abort()

    def _tick_non_member(self) -> None:
        self._stop_participating()
        if self._admission is None:
            self._admission = Admission(self._context)
        self._admission.tick()

    def _tick_member(self) -> None:
        if self._leadership is not None:
            self._leadership.tick()
            if not self._leadership.has_lease(self._context.now):
                self._step_down()
        else:
            self._campaign.tick()

    def _take_over_if_elected(self) -> None:
        candidacy = self._campaign.pop_won_candidacy()
        if candidacy is not None:
            self._follower.record_own_leadership(candidacy.epoch)
            self._leadership = Leadership(self._context, candidacy.epoch, candidacy.newest_document)

    # Messages

    def _dispatch(self, sender: str, incarnation: int, message: Message) -> None:
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message)
            case HeartbeatAck():
                if self._leadership is not None:
                    self._leadership.on_heartbeat_ack(sender, incarnation, message)
            case Write():
                self._on_write(sender, message)
            case WriteAck():
                if self._leadership is not None:
                    self._leadership.on_write_ack(sender, incarnation, message)
            case WriteFailed():
                if self._leadership is not None:
                    self._leadership.on_write_failed(sender, incarnation, message)
            case Refused():
                self._on_refused(message)
            case PreVoteRequest():
                self._on_pre_vote_request(sender, message)
            case PreVoteReply():
                self._campaign.on_pre_vote_reply(sender, message)
            case VoteRequest():
                self._on_vote_request(sender, incarnation, message)
            case Promise():
                self._campaign.on_promise(sender, incarnation, message)
                self._take_over_if_elected()
            case Inquiry():
                respond_to_inquiry(self._context, sender, incarnation, message)
            case Situation():
                if self._admission is not None:
                    self._admission.on_situation(message)
            case JoinRequest():
                if self._leadership is not None:
                    self._leadership.on_join_request(sender, incarnation, message.token)
            case MembershipNotice():
                self._context.record_configuration(message.position, message.configuration)
            case TransferNow():
                self._on_transfer_now(message)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if self._follower.accepts_epoch(sender, heartbeat.epoch):
            self._follow(sender, heartbeat.epoch)
            self._follower.acknowledge_heartbeat(sender, heartbeat)

    def _on_write(self, sender: str, write: Write) -> None:
        document = write.document
        if self._follower.accepts_epoch(sender, document.position.epoch):
            self._context.record_configuration(document.position, document.configuration)
            self._follow(sender, document.position.epoch)
            self._follower.store_document(sender, write)

    def _follow(self, primary: str, epoch: int) -> None:
        if self._leadership is not None and epoch > self._leadership.epoch:
            self._step_down()
        self._campaign.abort_up_to(epoch)
        self._voter.end_favour()
        self._follower.follow(primary, epoch)
        self._campaign.schedule_election(self._context.timing.primary_silence)

    def _on_refused(self, refused: Refused) -> None:
        if self._leadership is not None and refused.promised > self._leadership.epoch:
            self._step_down()
        self._campaign.on_refused(refused)

    def _on_pre_vote_request(self, sender: str, request: PreVoteRequest) -> None:
        if not may_respond_to_candidate(self._context, sender, request.position):
            return
        has_no_primary = not self._follower.has_live_primary() and self._leadership is None
        willing = has_no_primary and self._campaign.yields_to(sender, request)
        if self._voter.respond_to_pre_vote(sender, request, willing):
            self._campaign.withdraw_pre_vote()

    def _on_vote_request(self, sender: str, incarnation: int, request: VoteRequest) -> None:
        if not may_respond_to_candidate(self._context, sender, request.position):
            return
        step = PromiseStep(sender, incarnation, request.epoch, request.position)
        if self._voter.respond_to_vote_request(step):
            self._step_down()
            self._campaign.abort()
            self._campaign.schedule_election(self._context.timing.primary_silence)

    def _on_transfer_now(self, request: TransferNow) -> None:
        promised = self._context.journal.latest.promised
        if request.epoch >= promised and self._leadership is None and self._campaign.can_stand():
            self._campaign.stand_immediately(request.epoch)

    # Durable writes

    def _on_write_result(self, result: WriteResult) -> None:
        if result.succeeded:
            for step in result.steps:
                self._run_step(step)
            return
        for step in result.steps:
            if isinstance(step, WriteStep):
                self._follower.report_failed_write(step)
        self._hand_over()
        self._stop_participating()
        if result.storage_lost:
            self._context.journal.reset(Record(new_token(self._context.random)))

    def _run_step(self, step: Step) -> None:
        match step:
            case PromiseStep():
                self._context.send_promise(step)
            case WriteStep():
                self._follower.acknowledge_write(step)
            case OwnPromiseStep():
                self._campaign.on_own_promise(step.epoch)
                self._take_over_if_elected()
            case OwnWriteStep():
                if self._leadership is not None:
                    self._leadership.on_own_copy_durable()

    # Leadership

    def _active_leadership(self) -> Leadership | None:
        leadership = self._leadership
        if leadership is None or not leadership.is_established or leadership.is_leaving:
            return None
        if not leadership.has_lease(self._context.now):
            self._step_down()
            return None
        return leadership

    def _leadership_for_call(self, ticket: int) -> Leadership | None:
        """Return the leadership if it may act; otherwise resolve the call as `NotPrimary`."""
        leadership = self._active_leadership()
        if leadership is None:
            primary = self._follower.primary
            outcome = NotPrimary(None if primary == self._context.ip else primary)
            self._context.effects.append(Resolve(ticket, outcome))
        return leadership

    def _hand_over(self) -> None:
        if self._leadership is None:
            return
        successor = self._leadership.choose_successor()
        if successor is not None:
            self._context.send(successor, TransferNow(self._leadership.epoch))
        self._step_down()

    def _step_down(self) -> None:
        if self._leadership is None:
            return
        self._leadership.close()
        self._leadership = None
        self._follower.forget_primary()
        self._campaign.schedule_election(self._context.timing.primary_silence)

    def _stop_participating(self) -> None:
        self._step_down()
        self._campaign.abort()

    # Effects

    def _finish_input(self) -> list[Effect]:
        context = self._context
        leadership = self._leadership
        if leadership is not None and leadership.is_ready_for_handover():
            self._hand_over()
        write = context.journal.begin_write(context.now)
        if write is not None:
            context.effects.append(Persist(*write))
        self._update_role()
        effects, context.effects = context.effects, []
        return effects

    def _update_role(self) -> None:
        role = self._compute_role(self._context.now)
        if role != self._role:
            self._role = role
            self._context.effects.append(RoleChanged(role))

    def _compute_role(self, now: float) -> Role:
        context = self._context
        if not context.is_member():
            if context.is_recovering():
                return Unattached("recovering")
            return self._follower.role(now, is_member=False) or Unattached("joining")
        leadership = self._leadership
        if leadership is not None and leadership.established_at is not None and leadership.has_lease(now):
            return Primary(leadership.epoch, leadership.established_at)
        return self._follower.role(now, is_member=True) or Unattached("no primary is known")
