"""What the parts of a replica share: settings, the present moment, contacts, the journal, effects."""

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
    """What is known of another process's life."""

    incarnation: int
    heard_at: float


@dataclass
class Context:
    """Shared state of the parts of one replica."""

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
    offered: Document = Document()
    applied: Position = Position()
    snapshot: Snapshot = Snapshot(0, 0, b"")
    heard_position: Position = Position()
    heard_configuration: Configuration = Configuration()

    def send(self, to: str, message: Message) -> None:
        """Send a message, except to this replica itself."""
        if to != self.ip:
            self.effects.append(Send(to, message))

    def run_promise(self, step: PromiseStep) -> None:
        """Tell a candidate the promise that is durable now, unless a later one took its place."""
        stored = self.journal.durable
        if stored.promised != step.epoch:
            return
        position = stored.document.position
        document = stored.document if position > step.known else None
        self.send(step.candidate, Promise(step.epoch, step.incarnation, position, document, stored.token))

    def hear(self, sender: str, incarnation: int) -> None:
        """Note a message's sender, and which life of that process it comes from.

        Incarnations have no order, so a delayed message of an ended life shortly counts as the present
        one; this costs a repetition, no safety, as docs/control-state.md explains.
        """
        self.contacts[sender] = Contact(incarnation, self.now)

    def heard_at(self, ip: str) -> float:
        """Return when a machine was last heard, minus infinity if never."""
        contact = self.contacts.get(ip)
        return float("-inf") if contact is None else contact.heard_at

    def heard_within(self, ip: str, span: float) -> bool:
        """Tell whether a machine was heard within the span before now."""
        return self.now - self.heard_at(ip) <= span

    def configuration(self) -> Configuration:
        """Return the newest configuration known, stored here or told by others."""
        document = self.journal.latest.document
        if self.heard_position > document.position:
            return self.heard_configuration
        return document.configuration

    def newest_position(self) -> Position:
        """Return the position of the newest configuration known."""
        return max(self.heard_position, self.journal.latest.document.position)

    def note_configuration(self, position: Position, configuration: Configuration) -> None:
        """Take note of a configuration that another machine tells."""
        if position > self.heard_position:
            self.heard_position = position
            self.heard_configuration = configuration

    def is_member(self) -> bool:
        """Tell whether this replica takes part: admitted with the storage it has."""
        record = self.journal.latest
        return record.initialised and self.configuration().has_member(Member(self.ip, record.token))

    def is_recovering(self) -> bool:
        """Tell whether this replica is a member whose storage was lost."""
        return self.configuration().has_address(self.ip) and not self.is_member()

    def own_voice(self) -> dict[str, int | None]:
        """Return this machine with the token of its storage, as it counts in quorums."""
        return {self.ip: self.journal.latest.token}

    def offer(self, document: Document) -> None:
        """Keep a document that may turn out to be committed."""
        if document.position > self.offered.position:
            self.offered = document

    def apply_commit(self, committed: Position) -> None:
        """Apply the offered document if a commit at this position covers it."""
        position = self.offered.position
        if position.epoch != committed.epoch or position > committed or position <= self.applied:
            return
        self.applied = position
        self.snapshot = Snapshot(position.epoch, position.sequence, self.offered.payload)
        self.effects.append(CommitApplied(self.snapshot))
