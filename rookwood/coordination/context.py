"""State that the components of a replica share: settings, the current time, the journal, pending effects."""

from dataclasses import dataclass, field
from random import Random

from rookwood.coordination.document import Configuration, Document, Member, Position
from rookwood.coordination.effects import CommitApplied, Effect, Send
from rookwood.coordination.journal import Journal, PromiseStep
from rookwood.coordination.messages import Message, Promise
from rookwood.coordination.outcomes import Snapshot
from rookwood.coordination.timing import Timing


@dataclass(frozen=True)
class Contact:
    """The incarnation of another process, and when its last message arrived."""

    incarnation: int
    last_message_at: float


@dataclass
class Context:
    """State that the components of one replica share.

    `newest_document` is the newest document received or proposed, committed or not. `applied_position` is the
    position of the newest committed one. `reported_configuration` is the newest one reported by another
    machine.
    """

    ip: str
    incarnation: int
    seeds: tuple[str, ...]
    tolerate: int
    timing: Timing
    random: Random
    journal: Journal
    now: float
    effects: list[Effect] = field(default_factory=list)
    contacts: dict[str, Contact] = field(default_factory=dict)
    newest_document: Document = Document()
    applied_position: Position = Position()
    snapshot: Snapshot = Snapshot(0, 0, b"")
    reported_position: Position = Position()
    reported_configuration: Configuration = Configuration()

    def send(self, to: str, message: Message) -> None:
        """Send a message, except to this replica itself."""
        if to != self.ip:
            self.effects.append(Send(to, message))

    def send_promise(self, step: PromiseStep) -> None:
        """Send a candidate its promise, which is durable now, unless a later promise has superseded it."""
        stored = self.journal.durable
        if stored.promised != step.epoch:
            return
        position = stored.document.position
        document = stored.document if position > step.candidate_position else None
        self.send(step.candidate, Promise(step.epoch, step.incarnation, position, document, stored.token))

    def record_message(self, sender: str, incarnation: int) -> None:
        """Record that a message arrived, and from which incarnation of its sender.

        Incarnations have no order, so a delayed message of an earlier incarnation counts for a short time as
        one of the current incarnation. This costs a repetition but no safety; see docs/control-state.md.
        """
        self.contacts[sender] = Contact(incarnation, self.now)

    def last_message_at(self, ip: str) -> float:
        """Return when the last message of a machine arrived, minus infinity if none ever did."""
        contact = self.contacts.get(ip)
        return float("-inf") if contact is None else contact.last_message_at

    def is_in_contact(self, ip: str, span: float) -> bool:
        """Return whether a message of a machine arrived within this many seconds before now."""
        return self.now - self.last_message_at(ip) <= span

    def configuration(self) -> Configuration:
        """Return the newest known configuration, stored here or reported by another machine."""
        document = self.journal.latest.document
        if self.reported_position > document.position:
            return self.reported_configuration
        return document.configuration

    def configuration_position(self) -> Position:
        """Return the position of the newest known configuration."""
        return max(self.reported_position, self.journal.latest.document.position)

    def record_configuration(self, position: Position, configuration: Configuration) -> None:
        """Record a configuration that another machine reported."""
        if position > self.reported_position:
            self.reported_position = position
            self.reported_configuration = configuration

    def is_member(self) -> bool:
        """Return whether this replica is a member: admitted with the storage that it has."""
        record = self.journal.latest
        return record.initialised and self.configuration().has_member(Member(self.ip, record.token))

    def is_recovering(self) -> bool:
        """Return whether this machine's address is that of a member but its storage is not the admitted one.

        That is the case after the storage was lost.
        """
        return self.configuration().has_address(self.ip) and not self.is_member()

    def own_acknowledgement(self) -> dict[str, int | None]:
        """Return this machine's address and storage token, in the form in which quorums are counted."""
        return {self.ip: self.journal.latest.token}

    def record_document(self, document: Document) -> None:
        """Keep a document until its commit is known, unless a newer one is kept already."""
        if document.position > self.newest_document.position:
            self.newest_document = document

    def apply_commit(self, committed: Position) -> None:
        """Apply the newest document if a commit at this position covers it."""
        position = self.newest_document.position
        if position.epoch != committed.epoch or position > committed or position <= self.applied_position:
            return
        self.applied_position = position
        self.snapshot = Snapshot(position.epoch, position.sequence, self.newest_document.payload)
        self.effects.append(CommitApplied(self.snapshot))
