"""One replica's decisions: messages, time and results of writes go in, effects come out; no I/O."""

from random import Random

from rookwood.coordination.admission import Admission
from rookwood.coordination.context import Context
from rookwood.coordination.document import Record
from rookwood.coordination.effects import Effect, Persist, Resolve, RoleChanged
from rookwood.coordination.election import Candidacy, PreVote
from rookwood.coordination.journal import (
    Flushed,
    Journal,
    OwnPromiseStep,
    OwnWriteStep,
    PromiseStep,
    Step,
    WriteStep,
)
from rookwood.coordination.leadership import Change, Leadership
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
from rookwood.coordination.outcomes import Backup, NotPrimary, Primary, Role, Snapshot, Unattached
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
        self._pre_vote: PreVote | None = None
        self._candidacy: Candidacy | None = None
        self._leadership: Leadership | None = None
        self._primary: str | None = None
        self._primary_epoch = 0
        self._primary_heard_at = float("-inf")
        self._primary_expected_until = float("-inf")
        self._voter = Voter(self._context)
        self._election_at = now + self._context.timing.start_silence * (1 + random.random())
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

    def reachable(self, now: float) -> frozenset[str]:
        """Return the members heard within the lease time, this one included."""
        self._context.now = now
        lease = self._context.timing.lease
        members = self.members()
        heard = {ip for ip in members if self._context.heard_within(ip, lease)}
        return frozenset(heard | ({self._context.ip} & set(members)))

    def record(self) -> Record:
        """Return the record that is known to be durable."""
        return self._context.journal.durable

    def next_wakeup(self) -> float:
        """Return when `tick` is to be called next."""
        moments = [self._context.now + self._context.timing.primary_silence]
        if self._primary_heard_at + self._context.timing.lease > self._context.now:
            moments.append(self._primary_heard_at + self._context.timing.lease)
        if not self._context.is_member():
            moments.append(self._admission.next_wakeup() if self._admission else self._context.now)
        elif self._leadership is not None:
            moments.append(self._leadership.next_wakeup())
        elif self._candidacy is not None:
            moments.append(self._candidacy.next_wakeup())
        else:
            moments.append(self._pre_vote.next_wakeup() if self._pre_vote else self._election_at)
        return min(moments)

    # Inputs

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        self._context.now = now
        self._check_disk()
        if self._context.is_member():
            self._admission = None
            self._tick_member()
        else:
            self._tick_outside()
        return self._finish()

    def receive(self, sender: str, incarnation: int, message: Message, now: float) -> list[Effect]:
        """Take a message."""
        self._context.now = now
        self._context.hear(sender, incarnation)
        self._dispatch(sender, incarnation, message)
        return self._finish()

    def persisted(self, ticket: int, stored: Record | None, succeeded: bool, now: float) -> list[Effect]:
        """Take the result of a durable write; `stored` is what the disk holds after a failure."""
        self._context.now = now
        journal = self._context.journal
        retry_at = now + self._context.timing.disk_retry
        flushed = journal.succeed(ticket) if succeeded else journal.fail(ticket, stored, retry_at)
        if flushed is not None:
            self._on_flushed(flushed)
        return self._finish()

    def disconnected(self, peer: str, now: float) -> list[Effect]:
        """Take the hint that a peer closed its connection: an ended primary is suspected sooner."""
        self._context.now = now
        if peer == self._primary and self._leadership is None:
            suspected_at = now + self._context.timing.disconnect_silence
            if suspected_at < self._primary_expected_until:
                self._primary_expected_until = suspected_at
                self._reset_election_timer(self._context.timing.disconnect_silence)
        if self._voter.candidate_ended(peer):
            self._reset_election_timer(0.0)
        return self._finish()

    def propose(self, ticket: int, change: Change, now: float) -> list[Effect]:
        """Start a call that changes the document."""
        self._context.now = now
        leadership = self._acting()
        if leadership is None:
            self._context.effects.append(Resolve(ticket, NotPrimary(self._known_primary())))
        else:
            leadership.propose(ticket, change)
        return self._finish()

    def confirm(self, ticket: int, now: float) -> list[Effect]:
        """Start a call that confirms leadership."""
        self._context.now = now
        leadership = self._acting()
        if leadership is None:
            self._context.effects.append(Resolve(ticket, NotPrimary(self._known_primary())))
        else:
            leadership.confirm(ticket)
        return self._finish()

    def abandon(self, ticket: int, now: float) -> list[Effect]:
        """Forget a call whose limit is over."""
        self._context.now = now
        if self._leadership is not None:
            self._leadership.abandon(ticket)
        return self._finish()

    def transfer(self, now: float) -> list[Effect]:
        """Hand the leadership to another member once the write under way is done."""
        self._context.now = now
        if self._leadership is not None:
            self._leadership.leave()
        return self._finish()

    # Time

    def _check_disk(self) -> None:
        context = self._context
        if context.journal.stalled_for(context.now) > context.timing.disk_limit:
            self._hand_over()
            self._pre_vote = None
            self._candidacy = None

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
        elif self._candidacy is not None:
            self._candidacy.tick()
            if self._context.now >= self._candidacy.deadline:
                self._candidacy = None
                self._reset_election_timer(0.0)
        elif self._pre_vote is not None:
            self._pre_vote.tick()
            if self._context.now >= self._pre_vote.deadline:
                self._pre_vote = None
                self._reset_election_timer(0.0)
        elif self._context.now >= self._election_at:
            self._start_pre_vote()

    def _start_pre_vote(self) -> None:
        self._reset_election_timer(0.0)
        if self._voter.favours_another(self._context.ip, self._context.journal.latest.document.position):
            self._reset_election_timer(self._voter.favoured_until() - self._context.now)
        elif self._may_stand():
            self._pre_vote = PreVote(self._context)
            self._check_pre_vote()

    def _may_stand(self) -> bool:
        journal = self._context.journal
        stalled = journal.stalled_for(self._context.now) > self._context.timing.disk_limit
        return self._context.is_member() and journal.healthy and not stalled

    def _check_pre_vote(self) -> None:
        if self._pre_vote is not None and self._pre_vote.is_won():
            self._start_candidacy(self._pre_vote.highest_promise, self._pre_vote.favoured_since())

    def _start_candidacy(self, highest_promise: int, favoured_since: float) -> None:
        self._pre_vote = None
        epoch = max(highest_promise, self._context.journal.latest.promised) + 1
        self._voter.promise_to_itself()
        self._candidacy = Candidacy(self._context, epoch, favoured_since)

    def _check_candidacy(self) -> None:
        candidacy = self._candidacy
        if candidacy is None or not candidacy.is_won():
            return
        self._candidacy = None
        self._primary = self._context.ip
        self._primary_epoch = candidacy.epoch
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
                    self._leadership.on_write_failed(sender, incarnation, message.epoch)
            case Refused():
                self._on_refused(message)
            case PreVoteRequest():
                self._on_pre_vote_request(sender, message)
            case PreVoteReply():
                if self._pre_vote is not None:
                    self._pre_vote.on_reply(sender, message)
                    self._check_pre_vote()
            case VoteRequest():
                self._on_vote_request(sender, incarnation, message)
            case Promise():
                if self._candidacy is not None:
                    self._candidacy.on_promise(sender, incarnation, message)
                    self._check_candidacy()
            case Inquiry():
                self._on_inquiry(sender, incarnation, message)
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
        context = self._context
        if not self._accepts_epoch(sender, heartbeat.epoch):
            return
        self._follow(sender, heartbeat.epoch)
        context.apply_commit(heartbeat.committed)
        durable = context.journal.durable
        acknowledgement = HeartbeatAck(
            heartbeat.epoch, heartbeat.round, durable.document.position, durable.token
        )
        context.send(sender, acknowledgement)

    def _on_write(self, sender: str, write: Write) -> None:
        context = self._context
        document = write.document
        epoch = document.position.epoch
        if not self._accepts_epoch(sender, epoch):
            return
        context.note_configuration(document.position, document.configuration)
        self._follow(sender, epoch)
        context.offer(document)
        self._store(sender, write)

    def _store(self, sender: str, write: Write) -> None:
        context = self._context
        journal = context.journal
        position = write.document.position
        if not journal.healthy:
            context.send(sender, WriteFailed(position.epoch, position))
            return
        step = WriteStep(sender, position)
        if position > journal.latest.document.position:
            journal.update(journal.latest.with_document(write.document), step)
        elif journal.is_settled():
            self._run_step(step)
        else:
            journal.await_latest(step)

    def _accepts_epoch(self, sender: str, epoch: int) -> bool:
        promised = self._context.journal.latest.promised
        if epoch >= promised:
            return True
        self._context.send(sender, Refused(epoch, promised))
        return False

    def _follow(self, primary: str, epoch: int) -> None:
        if self._leadership is not None and epoch > self._leadership.epoch:
            self._step_down()
        self._pre_vote = None
        if self._candidacy is not None and epoch >= self._candidacy.epoch:
            self._candidacy = None
        self._voter.end_favour()
        self._primary = primary
        self._primary_epoch = epoch
        self._primary_heard_at = self._context.now
        self._primary_expected_until = self._context.now + self._context.timing.primary_silence
        self._reset_election_timer(self._context.timing.primary_silence)

    def _on_refused(self, refused: Refused) -> None:
        if self._leadership is not None and refused.promised > self._leadership.epoch:
            self._step_down()
        if self._candidacy is not None and refused.promised >= self._candidacy.epoch:
            self._candidacy = None
            self._reset_election_timer(0.0)

    def _on_pre_vote_request(self, sender: str, request: PreVoteRequest) -> None:
        context = self._context
        if not context.is_member():
            return
        if not context.configuration().has_address(sender):
            self._tell_membership(sender)
            return
        if self._voter.answer_pre_vote(sender, request, self._is_willing(sender, request)):
            self._pre_vote = None

    def _is_willing(self, candidate: str, request: PreVoteRequest) -> bool:
        """Tell whether this member hears no primary and is not to stand before the candidate."""
        if self._hears_primary() or self._leadership is not None or self._candidacy is not None:
            return False
        own = self._context.journal.latest.document.position
        position = own if request.position is None else request.position
        if position != own:
            return position > own or not self._may_stand()
        return self._pre_vote is None or candidate < self._context.ip

    def _on_vote_request(self, sender: str, incarnation: int, request: VoteRequest) -> None:
        context = self._context
        if not context.is_member():
            return
        if not context.configuration().has_address(sender):
            self._tell_membership(sender)
            return
        step = PromiseStep(sender, incarnation, request.epoch, request.position)
        if self._voter.answer_vote(step):
            self._step_down()
            self._pre_vote = None
            self._candidacy = None
            self._reset_election_timer(context.timing.primary_silence)

    def _tell_membership(self, to: str) -> None:
        document = self._context.journal.latest.document
        self._context.send(to, MembershipNotice(document.position, document.configuration))

    def _on_inquiry(self, sender: str, incarnation: int, inquiry: Inquiry) -> None:
        context = self._context
        record = context.journal.latest
        document = record.document if record.document.position > inquiry.known else None
        recovering = not context.is_member()
        context.send(sender, Situation(incarnation, recovering, record.promised, document))

    def _on_transfer_now(self, request: TransferNow) -> None:
        if request.epoch < self._context.journal.latest.promised or not self._may_stand():
            return
        if self._leadership is None and self._candidacy is None:
            self._start_candidacy(request.epoch, self._context.now)

    # Durable writes

    def _on_flushed(self, flushed: Flushed) -> None:
        if flushed.succeeded:
            for step in flushed.steps:
                self._run_step(step)
            return
        for step in flushed.steps:
            self._refuse_step(step)
        self._hand_over()
        self._end_participation()
        if flushed.lost:
            self._context.journal.restart(Record(new_token(self._context.random)))

    def _run_step(self, step: Step) -> None:
        context = self._context
        stored = context.journal.durable
        match step:
            case PromiseStep():
                context.run_promise(step)
            case WriteStep():
                acknowledgement = WriteAck(step.position.epoch, stored.document.position, stored.token)
                context.send(step.primary, acknowledgement)
            case OwnPromiseStep():
                if self._candidacy is not None and self._candidacy.epoch == step.epoch:
                    self._candidacy.on_own_promise()
                    self._check_candidacy()
            case OwnWriteStep():
                if self._leadership is not None:
                    self._leadership.on_own_write()

    def _refuse_step(self, step: Step) -> None:
        if isinstance(step, WriteStep):
            position = step.position
            self._context.send(step.primary, WriteFailed(position.epoch, position))

    # Leadership

    def _acting(self) -> Leadership | None:
        leadership = self._leadership
        if leadership is None or not leadership.established or leadership.leaving:
            return None
        if not leadership.has_lease(self._context.now):
            self._step_down()
            return None
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
        self._primary = None
        self._reset_election_timer(self._context.timing.primary_silence)

    def _end_participation(self) -> None:
        self._step_down()
        self._pre_vote = None
        self._candidacy = None

    def _hears_primary(self) -> bool:
        return self._context.now < self._primary_expected_until

    def _known_primary(self) -> str | None:
        return None if self._primary == self._context.ip else self._primary

    def _reset_election_timer(self, silence: float) -> None:
        jitter = self._context.random.random() * self._context.timing.election_jitter
        self._election_at = self._context.now + silence + jitter

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
            return Unattached("recovering" if context.is_recovering() else "joining")
        leadership = self._leadership
        if leadership is not None and leadership.established_at is not None and leadership.has_lease(now):
            return Primary(leadership.epoch, leadership.established_at)
        if self._primary is None or self._primary == context.ip:
            return Unattached("no primary is known")
        fresh = now - self._primary_heard_at <= context.timing.lease
        return Backup(self._primary, self._primary_epoch, fresh)
