"""The primary's work in one epoch: writes, commits, heartbeat rounds and confirmations."""

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
from rookwood.coordination.membership import HEALTHY_BEATS, Membership
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

MAX_ROUNDS_REMEMBERED = 32


@dataclass(frozen=True)
class Waiter:
    """A call that waits for a heartbeat round; `declined` is its answer, else a confirmation."""

    ticket: int
    round: int
    declined: Declined | None


class Leadership:
    """One epoch as primary; `established` once its first document is committed."""

    def __init__(self, context: Context, epoch: int, newest: Document) -> None:
        self._context = context
        self.epoch = epoch
        self.started_at = context.now
        self.established_at: float | None = None
        self.leave_by: float | None = None
        self._progress: dict[str, MemberProgress] = {}
        self._membership = Membership(context)
        self._proposals = ProposalQueue()
        self._waiters: list[Waiter] = []
        self._in_flight: int | None = None
        self._writing = False
        self._written_at = context.now
        self._patience_until: float | None = None
        self._committed = Position()
        self._round = 0
        self._confirmed_round = 0
        self._rounds: dict[int, float] = {}
        self._heartbeat_at = context.now
        self._document = newest
        self._write(newest.configuration, newest.payload)

    @property
    def established(self) -> bool:
        """Tell whether this primary may act."""
        return self.established_at is not None

    @property
    def leaving(self) -> bool:
        """Tell whether another member is to take over."""
        return self.leave_by is not None

    @property
    def committed(self) -> Position:
        """Return the newest committed position."""
        return self._committed

    # Calls

    def propose(self, proposal: Proposal) -> None:
        """Queue a change, or refuse it at once if too much waits already."""
        if not self._proposals.has_room(proposal.size):
            self._context.effects.append(Resolve(proposal.ticket, Overloaded()))
            return
        self._proposals.append(proposal)
        self._advance()

    def confirm(self, ticket: int, declined: Declined | None = None) -> None:
        """Answer the call once a round that starts from now on has been acknowledged."""
        if self._confirmed_round == self._round:
            self._waiters.append(Waiter(ticket, self._round + 1, declined))
            self._start_round()
            return
        self._waiters.append(Waiter(ticket, self._round + 1, declined))

    def abandon(self, ticket: int) -> None:
        """Forget a call whose limit is over; a write under way goes on."""
        self._proposals.remove(ticket)
        self._waiters = [waiter for waiter in self._waiters if waiter.ticket != ticket]
        if self._in_flight == ticket:
            self._in_flight = None

    def close(self) -> None:
        """Resolve what is pending: this epoch is over."""
        idle = [proposal.ticket for proposal in self._proposals.take_all()]
        idle += [waiter.ticket for waiter in self._waiters]
        for ticket in idle:
            self._context.effects.append(Resolve(ticket, NotPrimary(None)))
        if self._in_flight is not None:
            outcome = Uncertain("the primary stepped down")
            self._context.effects.append(Resolve(self._in_flight, outcome))
        self._waiters.clear()
        self._in_flight = None

    def is_ready_to_leave(self) -> bool:
        """Tell whether to hand over now: every healthy member holds the newest document, or it is time."""
        if self.leave_by is None:
            return False
        position = self._document.position
        stands_elsewhere = all(state.stored >= position for state in self._healthy_members())
        return self._context.now >= self.leave_by or (not self._writing and stands_elsewhere)

    def leave(self) -> None:
        """Take no more changes, so that another member may take over."""
        self.leave_by = self._context.now + self._context.timing.departure_limit

    # Messages

    def on_own_write(self) -> None:
        """Note that the own copy is durable."""
        self._check_commit()

    def on_heartbeat_ack(self, sender: str, incarnation: int, ack: HeartbeatAck) -> None:
        """Count a member's acknowledgement of a round."""
        if ack.epoch != self.epoch:
            return
        progress = self._progress_of(sender, incarnation, ack.token)
        progress.note_round(ack.round, self._rounds.get(ack.round))
        self._note_stored(progress, ack.stored)
        self._send_newest(sender, progress)
        self._check_rounds()

    def on_write_ack(self, sender: str, incarnation: int, ack: WriteAck) -> None:
        """Count a member's copy, or a learner's."""
        if ack.epoch != self.epoch:
            return
        progress = self._progress_of(sender, incarnation, ack.token)
        self._note_stored(progress, ack.stored)
        if sender in self._receivers():
            self._send_newest(sender, progress)

    def on_write_failed(self, sender: str, incarnation: int, failure: WriteFailed) -> None:
        """Note that a member's disk takes no writes at present."""
        progress = self._progress.get(sender)
        if failure.epoch == self.epoch and progress is not None and progress.incarnation == incarnation:
            progress.note_failed(failure.position)

    def on_join_request(self, sender: str, incarnation: int, token: int) -> None:
        """Send the document to a machine that asks to be admitted with the storage of this token."""
        if self._document.configuration.has_member(Member(sender, token)):
            return
        self._membership.ask(Member(sender, token))
        self._send_newest(sender, self._progress_of(sender, incarnation, token))

    # Time

    def tick(self) -> None:
        """Send what is due."""
        if self._context.now >= self._heartbeat_at:
            self._start_round()
        self._membership.drop_silent(self._document.configuration)
        self._check_commit()
        self._replace_lost_members()
        self._advance()

    def next_wakeup(self) -> float:
        """Return when to look at this leadership again."""
        if self._patience_until is None:
            return self._heartbeat_at
        return min(self._heartbeat_at, self._patience_until)

    def has_lease(self, now: float) -> bool:
        """Tell whether a vote quorum acknowledged a recent round."""
        limit = now - self._context.timing.lease
        if self.started_at >= limit:
            return True
        recent = self._voices(lambda state: state.round_started_at >= limit)
        return self._document.configuration.has_votes(recent)

    def successor(self) -> str | None:
        """Return the most up-to-date member that is reachable."""
        limit = self._context.now - self._context.timing.lease
        candidates = [
            (not state.disk_failed, state.stored, ip)
            for ip, state in self._progress.items()
            if state.round_started_at >= limit and ip != self._context.ip and self._is_member(ip, state.token)
        ]
        return max(candidates)[-1] if candidates else None

    # Writes

    def _write(self, configuration: Configuration, payload: bytes) -> None:
        position = Position(self.epoch, self._document.position.sequence + 1)
        self._document = Document(position, configuration, payload)
        self._writing = True
        self._written_at = self._context.now
        journal = self._context.journal
        self._context.offer(self._document)
        journal.update(journal.latest.with_document(self._document), OwnWriteStep(position))
        for ip in self._receivers():
            self._send_newest(ip, self._progress.setdefault(ip, MemberProgress()))

    def _send_newest(self, ip: str, progress: MemberProgress) -> None:
        """Send the newest document to a machine that lacks it, unless a write to it is under way."""
        now = self._context.now
        position = self._document.position
        if progress.stored >= position:
            return
        if progress.may_send(position, now, self._context.timing.write_resend):
            progress.note_sent(position, now, self._round)
            self._context.send(ip, Write(self._document))

    def _check_commit(self) -> None:
        if not self._writing:
            return
        position = self._document.position
        if self._context.journal.durable.document.position < position:
            return
        holders = self._voices(lambda state: state.stored >= position)
        enough = self._document.configuration.has_copies(holders, self._context.tolerate)
        if enough and not self._awaits_another_copy():
            self._commit()

    def _awaits_another_copy(self) -> bool:
        """Tell whether to wait for healthy members beyond the quorum; one that is late is not again."""
        now = self._context.now
        awaited = [*self._healthy_members(), *self._healthy_candidates()]
        missing = [state for state in awaited if state.stored < self._document.position]
        if not missing:
            return False
        if self._patience_until is None:
            self._patience_until = now + self._context.timing.copy_patience
        if now < self._patience_until:
            return True
        for state in missing:
            state.lagging = True
        return False

    def _healthy_members(self) -> list[MemberProgress]:
        """Return the other members that answer, and whose disks keep up."""
        return [
            state
            for ip, state in self._progress.items()
            if self._is_member(ip, state.token) and self._keeps_up(state)
        ]

    def _healthy_candidates(self) -> list[MemberProgress]:
        """Return the learners that are to be admitted: while changes never rest, they need the newest too."""
        configuration = self._document.configuration
        return [
            state
            for ip, state in self._progress.items()
            if self._keeps_up(state) and self._membership.has_place(ip, state.token, configuration)
        ]

    def _keeps_up(self, state: MemberProgress) -> bool:
        limit = self._context.now - HEALTHY_BEATS * self._context.timing.heartbeat
        return not state.disk_failed and not state.lagging and state.round_started_at >= limit

    def _commit(self) -> None:
        self._writing = False
        self._patience_until = None
        self._committed = self._document.position
        if self.established_at is None:
            self.established_at = self._context.now
        self._context.apply_commit(self._committed)
        ticket = self._in_flight
        self._in_flight = None
        if ticket is not None:
            self._context.effects.append(Resolve(ticket, Committed(self._context.snapshot)))
        self._start_round()
        self._advance()

    def _advance(self) -> None:
        """Start what is due: a change of members before others, which may never rest."""
        if self.established and not self._writing and not self.leaving:
            self._advance_membership()
        while self.established and not self._writing and self._proposals:
            self._start_proposal(self._proposals.take())

    def _start_proposal(self, proposal: Proposal) -> None:
        result = proposal.change(self._document.payload)
        if isinstance(result, bytes) and len(result) > MAX_PAYLOAD_BYTES:
            result = Declined(PayloadTooLarge(len(result)))
        if isinstance(result, Declined):
            self.confirm(proposal.ticket, result)
            return
        self._in_flight = proposal.ticket
        self._write(self._document.configuration, result)

    # Rounds

    def _start_round(self) -> None:
        now = self._context.now
        self._round += 1
        self._rounds[self._round] = now
        self._rounds.pop(self._round - MAX_ROUNDS_REMEMBERED, None)
        self._heartbeat_at = now + self._context.timing.heartbeat
        heartbeat = Heartbeat(self.epoch, self._round, self._committed, self._document.position)
        for ip in self._receivers():
            self._context.send(ip, heartbeat)
        self._check_rounds()

    def _check_rounds(self) -> None:
        best = self._confirmed_round
        for number in sorted({state.round for state in self._progress.values()} | {self._round}):
            if self._document.configuration.has_votes(self._voices_in_round(number)):
                best = max(best, number)
        self._confirmed_round = best
        self._resolve_waiters()

    def _resolve_waiters(self) -> None:
        if not self.established:
            return
        ready = [waiter for waiter in self._waiters if waiter.round <= self._confirmed_round]
        self._waiters = [waiter for waiter in self._waiters if waiter.round > self._confirmed_round]
        for waiter in ready:
            outcome = waiter.declined or Confirmed(self._context.snapshot)
            self._context.effects.append(Resolve(waiter.ticket, outcome))
        if self._waiters and self._confirmed_round == self._round:
            self._start_round()

    # Members

    def _advance_membership(self) -> None:
        configuration = self._membership.next_configuration(self._document, self._progress)
        if configuration is not None:
            self._write(configuration, self._document.payload)

    def _replace_lost_members(self) -> None:
        """Go on with other members where a document waits for copies of members that are lost.

        While the members are fewer than `2 * tolerate + 1`, a copy quorum is more than a majority. One lost
        disk is then enough to stop every commit, that of its replacement as well. The same payload is
        written again under members that can commit it. Why nothing is lost: docs/control-state.md.
        """
        position = self._document.position
        waited = self._context.now - self._written_at
        if not self._writing or waited < self._context.timing.replace_after:
            return
        holders = self._voices(lambda state: state.stored >= position)
        if not self._document.configuration.has_votes(holders):
            return
        configuration = self._membership.replacing_configuration(self._document, self._progress)
        if configuration is not None:
            self._write(configuration, self._document.payload)

    def _receivers(self) -> tuple[str, ...]:
        everyone = (*self._document.configuration.all_addresses(), *self._membership.learners())
        return tuple(ip for ip in dict.fromkeys(everyone) if ip != self._context.ip)

    def _progress_of(self, ip: str, incarnation: int, token: int | None) -> MemberProgress:
        """Return how far a storage has followed; that of another life or token has not."""
        progress = self._progress.setdefault(ip, MemberProgress())
        if progress.incarnation is None:
            progress.incarnation = incarnation
            progress.token = token
        elif (progress.incarnation, progress.token) != (incarnation, token):
            progress = MemberProgress(incarnation, token)
            self._progress[ip] = progress
        return progress

    def _voices(self, fits: Callable[[MemberProgress], bool]) -> dict[str, int | None]:
        """Return the machines whose progress fits, and this one, with the tokens that they told."""
        voices = {ip: state.token for ip, state in self._progress.items() if fits(state)}
        return voices | self._context.own_voice()

    def _voices_in_round(self, number: int) -> dict[str, int | None]:
        return self._voices(lambda state: state.round >= number)

    def _is_member(self, ip: str, token: int | None) -> bool:
        configuration = self._document.configuration
        return configuration.has_address(ip) if token is None else configuration.has_member(Member(ip, token))

    def _note_stored(self, progress: MemberProgress, stored: Position) -> None:
        if stored.epoch == self.epoch and stored > progress.stored:
            progress.note_stored(stored, self._context.now, self._context.timing.copy_patience)
            self._check_commit()
            self._advance()
