"""The promises of the protocol, checked while a history is played and at its end."""

from bisect import bisect_left
from typing import NoReturn

from rookwood.coordination.effects import RoleChanged
from rookwood.coordination.outcomes import Primary, Snapshot
from rookwood.lab.controlsimulation.changes import taken_digests
from rookwood.lab.controlsimulation.world import Machine, World

MAX_BEHIND = 3


class InvariantError(Exception):
    """A promise of the protocol was broken; the text says which."""


class LinearizabilityError(InvariantError):
    """No order of the operators' calls explains their answers."""


def _place(snapshot: Snapshot) -> str:
    return f"{snapshot.epoch}.{snapshot.sequence}"


class Checks:
    """What was acknowledged, refused and committed so far, and whether it fits together."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._acknowledged: list[bytes] = []
        self._acknowledged_at: list[float] = []
        self._refused: set[bytes] = set()
        self._primaries: dict[int, tuple[str, int]] = {}

    # Outcomes of calls; a change is named by its digest

    def acknowledged_count(self) -> int:
        """Return how many acknowledgements there were."""
        return len(self._acknowledged)

    def acknowledge(self, digest: bytes) -> None:
        """Take a change that was acknowledged: it must be in force from now on."""
        self._acknowledged.append(digest)
        self._acknowledged_at.append(self._world.now)

    def refuse(self, digest: bytes) -> None:
        """Take a change that was refused: it must never be in force."""
        self._refused.add(digest)
        self._check_not_refused(self._world.newest_committed().payload)

    def check_contains_acknowledged(self, payload: bytes, count: int) -> None:
        """Check that an answer holds the changes of so many first acknowledgements."""
        present = set(taken_digests(payload))
        missing = [digest for digest in self._acknowledged[:count] if digest not in present]
        if missing:
            self.fail(f"an answer lacks {len(missing)} acknowledged changes")

    def check_holds_acknowledged_before(self, machine: Machine, moment: float) -> None:
        """Check that a machine's newest document holds the changes acknowledged before a moment."""
        count = bisect_left(self._acknowledged_at, moment)
        if not count or self._acknowledged[count - 1] in taken_digests(machine.snapshot.payload):
            return
        present = set(taken_digests(machine.snapshot.payload))
        missing = [digest for digest in self._acknowledged[:count] if digest not in present]
        if missing:
            self.fail(f"{machine.ip} claims to be fresh and lacks {len(missing)} acknowledged changes")

    def _check_not_refused(self, payload: bytes) -> None:
        if not self._refused.isdisjoint(taken_digests(payload)):
            self.fail("a refused change is in force")

    def _check_taken_once(self, payload: bytes) -> None:
        digests = taken_digests(payload)
        if len(set(digests)) < len(digests):
            self.fail("a change was taken twice")

    # Commits and roles

    def on_commit(self, machine: Machine, snapshot: Snapshot) -> None:
        """Take a document that a machine applied."""
        previous = machine.snapshot
        if (snapshot.epoch, snapshot.sequence) <= (previous.epoch, previous.sequence):
            self.fail(f"{machine.ip} went back from {_place(previous)} to {_place(snapshot)}")
        machine.snapshot = snapshot
        known = self._world.committed.get(snapshot.sequence)
        if known is not None:
            if known != snapshot:
                self.fail(f"two documents committed at sequence {snapshot.sequence}")
            return
        self._world.engine.note(f"commit {machine.ip} {snapshot.epoch}.{snapshot.sequence}")
        self._world.committed[snapshot.sequence] = snapshot
        self._check_order(snapshot)
        self._check_not_refused(snapshot.payload)
        self._check_taken_once(snapshot.payload)

    def _check_order(self, snapshot: Snapshot) -> None:
        committed = self._world.committed
        earlier = [number for number in committed if number < snapshot.sequence]
        later = [number for number in committed if number > snapshot.sequence]
        if earlier:
            self._check_extends(committed[max(earlier)], snapshot)
        if later:
            self._check_extends(snapshot, committed[min(later)])

    def _check_extends(self, first: Snapshot, second: Snapshot) -> None:
        earlier = taken_digests(first.payload)
        if taken_digests(second.payload)[: len(earlier)] != earlier:
            self.fail(f"history forked between {_place(first)} and {_place(second)}")

    def on_role(self, machine: Machine, effect: RoleChanged) -> bool:
        """Take a change of role; returns whether a primary came."""
        self._world.engine.note(f"role {machine.ip} {type(effect.role).__name__}")
        if not isinstance(effect.role, Primary):
            return False
        holder = (machine.ip, machine.incarnation)
        if self._primaries.setdefault(effect.role.epoch, holder) != holder:
            self.fail(f"epoch {effect.role.epoch} has two primaries")
        self._world.report.primaries = len(self._primaries)
        self._world.report.highest_epoch = max(self._primaries)
        return True

    # The end

    def check_end(self) -> None:
        """Check that nothing is lost and the group is whole after the calm."""
        present = set(taken_digests(self._world.newest_committed().payload))
        missing = [digest for digest in self._acknowledged if digest not in present]
        if missing:
            self.fail(f"{len(missing)} acknowledged changes are lost")
        primaries = self._world.primaries()
        if len(primaries) != 1:
            self.fail(f"{len(primaries)} primaries after the calm")
        self._check_members(primaries[0])

    def _check_members(self, primary: Machine) -> None:
        assert primary.replica is not None
        behind = []
        for ip in primary.replica.members():
            machine = self._world.machines[ip]
            if machine.removed or machine.snapshot.sequence + MAX_BEHIND < primary.snapshot.sequence:
                behind.append(ip)
        if behind:
            self.fail(f"members {behind} did not catch up")

    def fail(self, why: str) -> NoReturn:
        """End the history: a promise is broken."""
        self._world.engine.note(why)
        raise InvariantError(why)
