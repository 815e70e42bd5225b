"""One replica's decisions: messages, time and results of writes go in, effects come out; no I/O."""

from random import Random

from rookwood.coordination.admission import Admission, answer_inquiry, may_answer_candidate
from rookwood.coordination.campaign import Campaign
from rookwood.coordination.context import Context
from rookwood.coordination.document import Record
from rookwood.coordination.effects import Effect, Persist, Resolve, RoleChanged
from rookwood.coordination.following import Follower
from rookwood.coordination.journal import (
    Flushed,
    Journal,
    OwnPromiseStep,
    OwnWriteStep,
    PromiseStep,
    Step,
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
    """Return a token for a storage that begins empty; 0 is that of the first members."""
    return random.getrandbits(TOKEN_BITS) + 1


class Replica:
    """The protocol of one member, as a state machine over explicit time."""

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
        self._context.offer(stored.document)
        self._admission: Admission | None = None
        self._leadership: Leadership | None = None
        self._follower = Follower(self._context)
        self._voter = Voter(self._context)
        self._campaign = Campaign(self._context, self._voter)
        self._role: Role = Unattached("starting")

    # What callers may ask at any time

    def role(self, now: float) -> Role:
        """Return the role at a moment: a lease may have run out since the last input."""
        return self._compute_role(now)

    def snapshot(self) -> Snapshot:
        """Return the newest committed document known here."""
        return self._context.snapshot

    def members(self) -> tuple[str, ...]:
        """Return the addresses of the members, as known here."""
        return self._context.configuration().addresses()

    def is_member(self) -> bool:
        """Tell whether this replica takes part with the storage it has."""
        return self._context.is_member()

    def reachable_members(self, now: float) -> frozenset[str]:
        """Return the members heard within the lease time, this one included."""
        self._enter(now)
        lease = self._context.timing.lease
        members = self.members()
        heard = {ip for ip in members if self._context.heard_within(ip, lease)}
        return frozenset(heard | ({self._context.ip} & set(members)))

    def record(self) -> Record:
        """Return the record that is known to be durable."""
        return self._context.journal.durable

    def promised_epoch(self) -> int:
        """Return the highest epoch promised, synced or not."""
        return self._context.journal.latest.promised

    def is_leading(self) -> bool:
        """Tell whether this process leads an epoch, established or not."""
        return self._leadership is not None

    def next_wakeup(self) -> float:
        """Return when `tick` is to be called next."""
        moments = [self._context.now + self._context.timing.primary_silence]
        if self._follower.lease_end() > self._context.now:
            moments.append(self._follower.lease_end())
        if not self._context.is_member():
            moments.append(self._admission.next_wakeup() if self._admission else self._context.now)
        elif self._leadership is not None:
            moments.append(self._leadership.next_wakeup())
        else:
            moments.append(self._campaign.next_wakeup())
        return min(moments)

    # Inputs

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        self._enter(now)
        self._check_disk()
        if self._context.is_member():
            self._admission = None
            self._tick_member()
        else:
            self._tick_outside()
        return self._finish()

    def receive(self, sender: str, incarnation: int, message: Message, now: float) -> list[Effect]:
        """Take a message."""
        self._enter(now)
        self._context.hear(sender, incarnation)
        self._dispatch(sender, incarnation, message)
        return self._finish()

    def persisted(self, ticket: int, stored: Record | None, succeeded: bool, now: float) -> list[Effect]:
        """Take the result of a durable write; `stored` is what the disk holds after a failure."""
        self._enter(now)
        journal = self._context.journal
        retry_at = now + self._context.timing.disk_retry
        flushed = journal.succeed(ticket) if succeeded else journal.fail(ticket, stored, retry_at)
        if flushed is not None:
            self._on_flushed(flushed)
        return self._finish()

    def disconnected(self, peer: str, now: float) -> list[Effect]:
        """Take the hint that a peer closed its connection: an ended primary is suspected sooner."""
        self._enter(now)
        follows = peer == self._follower.primary and self._leadership is None
        if follows and self._follower.suspect():
            self._campaign.wait(self._context.timing.disconnect_silence)
        if self._voter.candidate_ended(peer):
            self._campaign.wait(0.0)
        return self._finish()

    def propose(self, ticket: int, change: Change, now: float, size: int = 0) -> list[Effect]:
        """Start a call that changes the document; `size` is what it keeps in memory while it waits."""
        self._enter(now)
        leadership = self._acting_for(ticket)
        if leadership is not None:
            leadership.propose(Proposal(ticket, change, size))
        return self._finish()

    def confirm(self, ticket: int, now: float) -> list[Effect]:
        """Start a call that confirms leadership."""
        self._enter(now)
        leadership = self._acting_for(ticket)
        if leadership is not None:
            leadership.confirm(ticket)
        return self._finish()

    def abandon(self, ticket: int, now: float) -> list[Effect]:
        """Forget a call whose limit is over."""
        self._enter(now)
        if self._leadership is not None:
            self._leadership.abandon(ticket)
        return self._finish()

    def transfer(self, now: float) -> list[Effect]:
        """Hand the leadership to another member once the write under way is done."""
        self._enter(now)
        if self._leadership is not None:
            self._leadership.leave()
        return self._finish()

    # Time

    def _enter(self, now: float) -> None:
        """Begin an input. After a pause of this process, what it reads next may have been sent long ago."""
        lease = self._context.timing.lease
        if now - self._context.now > lease:
            self._follower.distrust(now + lease)
        self._context.now = now

    def _check_disk(self) -> None:
        context = self._context
        if context.journal.stalled_for(context.now) > context.timing.disk_limit:
            self._hand_over()
            self._campaign.end()

    def _tick_outside(self) -> None:
        self._end_participation()
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

    def _check_victory(self) -> None:
        candidacy = self._campaign.take_victory()
        if candidacy is not None:
            self._follower.lead(candidacy.epoch)
            self._leadership = Leadership(self._context, candidacy.epoch, candidacy.newest)

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
                self._check_victory()
            case Inquiry():
                answer_inquiry(self._context, sender, incarnation, message)
            case Situation():
                if self._admission is not None:
                    self._admission.on_situation(message)
            case JoinRequest():
                if self._leadership is not None:
                    self._leadership.on_join_request(sender, incarnation, message.token)
            case MembershipNotice():
                self._context.note_configuration(message.position, message.configuration)
            case TransferNow():
                self._on_transfer_now(message)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if self._follower.accepts(sender, heartbeat.epoch):
            self._follow(sender, heartbeat.epoch)
            self._follower.acknowledge_round(sender, heartbeat)

    def _on_write(self, sender: str, write: Write) -> None:
        document = write.document
        if self._follower.accepts(sender, document.position.epoch):
            self._context.note_configuration(document.position, document.configuration)
            self._follow(sender, document.position.epoch)
            self._follower.store(sender, write)

    def _follow(self, primary: str, epoch: int) -> None:
        if self._leadership is not None and epoch > self._leadership.epoch:
            self._step_down()
        self._campaign.end_before(epoch)
        self._voter.end_favour()
        self._follower.follow(primary, epoch)
        self._campaign.wait(self._context.timing.primary_silence)

    def _on_refused(self, refused: Refused) -> None:
        if self._leadership is not None and refused.promised > self._leadership.epoch:
            self._step_down()
        self._campaign.on_refused(refused)

    def _on_pre_vote_request(self, sender: str, request: PreVoteRequest) -> None:
        if not may_answer_candidate(self._context, sender, request.position):
            return
        free = not self._follower.hears_primary() and self._leadership is None
        willing = free and self._campaign.gives_way(sender, request)
        if self._voter.answer_pre_vote(sender, request, willing):
            self._campaign.withdraw_pre_vote()

    def _on_vote_request(self, sender: str, incarnation: int, request: VoteRequest) -> None:
        if not may_answer_candidate(self._context, sender, request.position):
            return
        step = PromiseStep(sender, incarnation, request.epoch, request.position)
        if self._voter.answer_vote(step):
            self._step_down()
            self._campaign.end()
            self._campaign.wait(self._context.timing.primary_silence)

    def _on_transfer_now(self, request: TransferNow) -> None:
        promised = self._context.journal.latest.promised
        if request.epoch >= promised and self._leadership is None and self._campaign.may_stand():
            self._campaign.stand_at_once(request.epoch)

    # Durable writes

    def _on_flushed(self, flushed: Flushed) -> None:
        if flushed.succeeded:
            for step in flushed.steps:
                self._run_step(step)
            return
        for step in flushed.steps:
            if isinstance(step, WriteStep):
                self._follower.refuse_write(step)
        self._hand_over()
        self._end_participation()
        if flushed.lost:
            self._context.journal.restart(Record(new_token(self._context.random)))

    def _run_step(self, step: Step) -> None:
        match step:
            case PromiseStep():
                self._context.run_promise(step)
            case WriteStep():
                self._follower.acknowledge_write(step)
            case OwnPromiseStep():
                self._campaign.on_own_promise(step.epoch)
                self._check_victory()
            case OwnWriteStep():
                if self._leadership is not None:
                    self._leadership.on_own_write()

    # Leadership

    def _acting(self) -> Leadership | None:
        leadership = self._leadership
        if leadership is None or not leadership.established or leadership.leaving:
            return None
        if not leadership.has_lease(self._context.now):
            self._step_down()
            return None
        return leadership

    def _acting_for(self, ticket: int) -> Leadership | None:
        """Return the leadership if it may act; else the call is answered."""
        leadership = self._acting()
        if leadership is None:
            primary = self._follower.primary
            outcome = NotPrimary(None if primary == self._context.ip else primary)
            self._context.effects.append(Resolve(ticket, outcome))
        return leadership

    def _hand_over(self) -> None:
        if self._leadership is None:
            return
        successor = self._leadership.successor()
        if successor is not None:
            self._context.send(successor, TransferNow(self._leadership.epoch))
        self._step_down()

    def _step_down(self) -> None:
        if self._leadership is None:
            return
        self._leadership.close()
        self._leadership = None
        self._follower.forget()
        self._campaign.wait(self._context.timing.primary_silence)

    def _end_participation(self) -> None:
        self._step_down()
        self._campaign.end()

    # Results

    def _finish(self) -> list[Effect]:
        context = self._context
        leadership = self._leadership
        if leadership is not None and leadership.is_ready_to_leave():
            self._hand_over()
        begun = context.journal.begin(context.now)
        if begun is not None:
            context.effects.append(Persist(*begun))
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
