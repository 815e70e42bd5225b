"""Replicas whose messages, writes and clock move only when told: for tests of single rules and orders."""

from random import Random

from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.effects import CommitApplied, Effect, Persist, Resolve, Send
from rookwood.coordination.messages import Message, TransferNow
from rookwood.coordination.outcomes import ConfirmOutcome, Declined, Primary, ProposeOutcome
from rookwood.coordination.replication import Replica

MEMBERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
MAX_ROUNDS = 200


def configuration_of(members: tuple[str, ...]) -> Configuration:
    """Return the configuration of first members."""
    return Configuration(tuple(Member(ip) for ip in members))


class ReplicaHarness:
    """Replicas with a network and disks that move only when told."""

    def __init__(self, members: tuple[str, ...] = MEMBERS, tolerate: int = 1) -> None:
        self.now = 0.0
        self.tolerate = tolerate
        self.first = Record(0, 0, True, Document(Position(), configuration_of(members)))
        self.replicas: dict[str, Replica] = {}
        self.sent: list[tuple[str, str, Message]] = []
        self.writes: dict[str, Persist] = {}
        self.disks: dict[str, Record | None] = {}
        self.outcomes: dict[int, ProposeOutcome | ConfirmOutcome] = {}
        self.commits: dict[str, list[bytes]] = {}
        self.incarnations: dict[str, int] = {}
        self.down: set[str] = set()
        self._members = members

    def start(self, ip: str, record: Record | None) -> None:
        """Start the process of a machine with what its disk holds."""
        self.incarnations[ip] = self.incarnations.get(ip, 0) + 1
        self.disks[ip] = record
        self.writes.pop(ip, None)
        self.commits[ip] = []
        self.down.discard(ip)
        self.replicas[ip] = Replica(
            ip=ip,
            incarnation=self.incarnations[ip],
            seeds=self._members,
            tolerate=self.tolerate,
            record=record,
            random=Random(f"{ip} {self.incarnations[ip]}"),
            now=self.now,
        )
        self.tick(ip)

    def start_all(self) -> None:
        """Start the first members, with their first record."""
        for ip in self._members:
            self.start(ip, self.first)
        self.sync_all()

    def lead(self, ip: str) -> None:
        """Make a member the primary, everything settled."""
        self.receive(ip, "test", TransferNow(self.replicas[ip].record().promised))
        self.settle()
        assert isinstance(self.replicas[ip].role(self.now), Primary)

    def tick(self, ip: str) -> None:
        """Let a replica do what is due."""
        self.apply(ip, self.replicas[ip].tick(self.now))

    def receive(self, ip: str, sender: str, message: Message) -> None:
        """Give a message to a replica."""
        incarnation = self.incarnations.get(sender, 0)
        self.apply(ip, self.replicas[ip].receive(sender, incarnation, message, self.now))

    def propose(self, ip: str, ticket: int, label: bytes, size: int = 0) -> None:
        """Propose a change that appends a label, and that holds `size` bytes while it waits."""
        self.apply(ip, self.replicas[ip].propose(ticket, lambda payload: payload + label, self.now, size))

    def abandon(self, ip: str, ticket: int) -> None:
        """Give a call up."""
        self.apply(ip, self.replicas[ip].abandon(ticket, self.now))

    def decline(self, ip: str, ticket: int) -> None:
        """Propose a change that declines."""
        self.apply(ip, self.replicas[ip].propose(ticket, lambda payload: Declined("no"), self.now))

    def confirm(self, ip: str, ticket: int) -> None:
        """Ask for a confirmation of leadership."""
        self.apply(ip, self.replicas[ip].confirm(ticket, self.now))

    def sync(self, ip: str) -> None:
        """Let the write under way succeed."""
        write = self.writes.pop(ip)
        self.disks[ip] = write.record
        self.apply(ip, self.replicas[ip].persisted(write.ticket, write.record, True, self.now))

    def fail_write(self, ip: str, stored: Record | None) -> None:
        """Let the write under way fail, the disk holding what is given."""
        write = self.writes.pop(ip)
        self.disks[ip] = stored
        self.apply(ip, self.replicas[ip].persisted(write.ticket, stored, False, self.now))

    def sync_all(self) -> None:
        """Let the writes under way succeed until there are none."""
        for _ in range(MAX_ROUNDS):
            writing = [ip for ip in self.writes if ip not in self.down]
            if not writing:
                return
            self.sync(writing[0])
        raise AssertionError("the disks do not settle")

    def take(self, kind: type[Message], to: str | None = None) -> list[Message]:
        """Remove and return messages of one kind."""
        taken = [entry for entry in self.sent if isinstance(entry[2], kind) and to in (None, entry[1])]
        self.sent = [entry for entry in self.sent if entry not in taken]
        return [message for _, _, message in taken]

    def settle(self) -> None:
        """Deliver messages and finish writes until nothing moves; what is for the down is lost."""
        for _ in range(MAX_ROUNDS):
            self.sync_all()
            if not self.sent:
                return
            batch, self.sent = self.sent, []
            for sender, to, message in batch:
                if to in self.replicas and to not in self.down and sender not in self.down:
                    self.receive(to, sender, message)
        raise AssertionError("the network does not settle")

    def pass_time(self, seconds: float, step: float = 0.1) -> None:
        """Let time pass, everything that is up working as usual."""
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for ip in self.replicas:
                if ip not in self.down:
                    self.tick(ip)
            self.settle()

    def apply(self, ip: str, effects: list[Effect]) -> None:
        """Take the effects of one input."""
        for effect in effects:
            match effect:
                case Send():
                    self.sent.append((ip, effect.to, effect.message))
                case Persist():
                    self.writes[ip] = effect
                case Resolve():
                    self.outcomes[effect.ticket] = effect.outcome
                case CommitApplied():
                    self.commits[ip].append(effect.snapshot.payload)
                case _:
                    pass
