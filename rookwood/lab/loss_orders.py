"""Orders of losses, repairs and replacements over real replicas, one step of a schedule after another.

A step delivers the oldest message, finishes one write, or, if neither is left, lets time pass. A loss may
strike before each step. Two schedules are played: writes before messages, and messages before writes.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

from rookwood.coordination.effects import CommitApplied, Effect, RoleChanged
from rookwood.coordination.outcomes import Committed, Primary, Snapshot
from rookwood.lab.replica_harness import ReplicaHarness

TICK = 0.05
RETURN_AFTER = 0.5
CALM = 8.0
FIRST_CHANGE = 1
LAST_CHANGE = 2
MAX_STEPS_OF_A_CALM = 20_000


class OrderError(Exception):
    """A promise was broken; the text says which."""


class Loss(Enum):
    """Kinds of loss of one machine."""

    KILLED = auto()
    EMPTIED = auto()
    REPLACED = auto()


@dataclass(frozen=True)
class Strike:
    """A loss of a machine after a number of steps since the strike before."""

    steps: int
    machine: int
    loss: Loss


@dataclass(frozen=True)
class Order:
    """One history: the size of the group, the schedule, and the losses in their order."""

    members: int
    writes_first: bool
    strikes: tuple[Strike, ...]


@dataclass(frozen=True)
class Course:
    """How a history went: whether the group serves again, and whether it had to."""

    serves: bool
    must_serve: bool
    repaired_after: float


class LossOrder(ReplicaHarness):
    """Plays one order; raises `OrderError` if something acknowledged is lost or the history forks."""

    def __init__(self, order: Order) -> None:
        addresses = tuple(f"10.0.0.{number + 1}" for number in range(order.members))
        super().__init__(addresses, tolerate=order.members // 2)
        self._order = order
        self._addresses = list(addresses)
        self._committed: dict[int, Snapshot] = {}
        self._primaries: dict[int, tuple[str, int]] = {}
        self._returns: list[tuple[float, str]] = []
        self._storages_lost_at_once = 0
        self._next_address = order.members + 1

    def play(self) -> Course:
        """Play the order, then a calm, and tell how it went."""
        self.start_all()
        self.lead(self._addresses[0])
        self.propose(self._addresses[0], FIRST_CHANGE, b"x,")
        self.settle()
        if not isinstance(self.outcomes.get(FIRST_CHANGE), Committed):
            raise OrderError("the first change was not taken")
        for strike in self._order.strikes:
            for _ in range(strike.steps):
                self.step()
            self._strike(strike)
        repaired_after = self._pass_calm()
        return Course(self._serves(), self._storages_lost_at_once <= self.tolerate, repaired_after)

    def is_whole(self) -> bool:
        """Tell whether a primary leads, and all members that run are admitted, with the newest document."""
        records = [self.disks[ip] for ip in self.replicas if ip not in self.down]
        documents = [record.document for record in records if record]
        newest = max(documents, key=lambda document: document.position)
        configuration = newest.configuration
        holders = {
            ip: record.token
            for ip in self.replicas
            if ip not in self.down and (record := self.disks[ip]) and record.document == newest
        }
        return (
            not configuration.outgoing
            and len(configuration.members) == len(self._addresses)
            and all(holders.get(member.ip) == member.token for member in configuration.members)
            and len(self._acting()) == 1
        )

    def step(self) -> None:
        """Do the next thing of the schedule."""
        self._boot_returning()
        writing = [ip for ip in self.writes if ip not in self.down]
        if writing and (self._order.writes_first or not self.sent):
            self.sync(writing[0])
        elif self.sent:
            sender, to, message = self.sent.pop(0)
            if to in self.replicas and not {to, sender} & self.down:
                self.receive(to, sender, message)
        else:
            self.now += TICK
            for ip in list(self.replicas):
                if ip not in self.down:
                    self.tick(ip)

    def apply(self, ip: str, effects: list[Effect]) -> None:
        """Take the effects of one input, checking what they tell."""
        super().apply(ip, effects)
        for effect in effects:
            if isinstance(effect, CommitApplied):
                self._check_commit(effect.snapshot)
            elif isinstance(effect, RoleChanged) and isinstance(effect.role, Primary):
                holder = (ip, self.incarnations[ip])
                if self._primaries.setdefault(effect.role.epoch, holder) != holder:
                    raise OrderError(f"epoch {effect.role.epoch} has two primaries")

    def _strike(self, strike: Strike) -> None:
        if self.is_whole():
            self._storages_lost_at_once = 0
        ip = self._addresses[strike.machine]
        if strike.loss is not Loss.KILLED:
            self._storages_lost_at_once += 1
        self.down.add(ip)
        self.sent = [entry for entry in self.sent if entry[0] != ip]
        self.writes.pop(ip, None)
        for other in self.replicas:
            if other not in self.down:
                self.apply(other, self.replicas[other].disconnected(ip, self.now))
        match strike.loss:
            case Loss.KILLED:
                self._returns.append((self.now + RETURN_AFTER, ip))
            case Loss.EMPTIED:
                self.disks[ip] = None
                self._returns.append((self.now, ip))
            case Loss.REPLACED:
                newcomer = f"10.0.0.{self._next_address}"
                self._next_address += 1
                self._addresses[strike.machine] = newcomer
                self.disks[newcomer] = None
                self._returns.append((self.now, newcomer))

    def _boot_returning(self) -> None:
        due = [ip for moment, ip in self._returns if moment <= self.now]
        self._returns = [(moment, ip) for moment, ip in self._returns if moment > self.now]
        for ip in due:
            if ip in self._addresses:
                self.start(ip, self.disks[ip])

    def _pass_calm(self) -> float:
        began = self.now
        repaired_at = float("inf")
        for _ in range(MAX_STEPS_OF_A_CALM):
            if self.now >= began + CALM:
                return repaired_at - began
            self.step()
            if repaired_at == float("inf") and not self._returns and not self.sent and self.is_whole():
                repaired_at = self.now
        raise OrderError("the group does not come to rest")

    def _serves(self) -> bool:
        acting = self._acting()
        if len(acting) != 1 or not self.is_whole():
            return False
        self.propose(acting[0], LAST_CHANGE, b"y,")
        for _ in range(MAX_STEPS_OF_A_CALM):
            if LAST_CHANGE in self.outcomes:
                break
            self.step()
        return isinstance(self.outcomes.get(LAST_CHANGE), Committed)

    def _acting(self) -> list[str]:
        running = [ip for ip in self.replicas if ip not in self.down]
        return [ip for ip in running if isinstance(self.replicas[ip].role(self.now), Primary)]

    def _check_commit(self, snapshot: Snapshot) -> None:
        known = self._committed.setdefault(snapshot.sequence, snapshot)
        if known != snapshot:
            raise OrderError(f"two documents at sequence {snapshot.sequence}")
        if FIRST_CHANGE in self.outcomes and not snapshot.payload.startswith(b"x,"):
            raise OrderError("the acknowledged change is lost")


def orders_of_two_losses(steps: range) -> Iterator[Order]:
    """Return all orders of two losses on three machines, the first a lost storage."""
    for writes_first in (True, False):
        for count in steps:
            for first in (0, 1):
                for kind in (Loss.EMPTIED, Loss.REPLACED):
                    for second in range(3):
                        for loss in Loss:
                            strikes = (Strike(0, first, kind), Strike(count, second, loss))
                            yield Order(3, writes_first, strikes)


def orders_of_three_losses(steps: range) -> Iterator[Order]:
    """Return orders of three losses on five machines: each kind and place, at each pair of these steps."""
    for first_steps in steps:
        for second_steps in steps:
            for first in (0, 1):
                for kinds in ((Loss.EMPTIED, Loss.REPLACED), (Loss.REPLACED, Loss.EMPTIED)):
                    for second in (0, 1, 2):
                        for third in (0, 1, 2, 3):
                            for loss in (Loss.EMPTIED, Loss.KILLED):
                                strikes = (
                                    Strike(0, first, kinds[0]),
                                    Strike(first_steps, second, kinds[1]),
                                    Strike(second_steps, third, loss),
                                )
                                yield Order(5, True, strikes)
