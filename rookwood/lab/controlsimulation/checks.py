"""The promises of the protocol, checked while a history is played and at its end."""

from dataclasses import dataclass
from typing import NoReturn

from rookwood.coordination.effects import RoleChanged
from rookwood.coordination.outcomes import Primary, Snapshot
from rookwood.lab.controlsimulation.world import Machine, World

SEPARATOR = b","
MAX_BEHIND = 3


class InvariantError(Exception):
    """A promise of the protocol was broken; the text says which."""


@dataclass
class Call:
    """A call of an operator."""

    started_at: float
    acknowledged_before: int
    label: bytes | None


class Checks:
    """What was acknowledged, refused and committed so far, and whether it fits together."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._acknowledged: list[bytes] = []
        self._refused: set[bytes] = set()
        self._primaries: dict[int, tuple[str, int]] = {}

    def begin_call(self, label: bytes | None) -> Call:
        """Return a call that begins now."""
        return Call(self._world.now, len(self._acknowledged), label)

    # Outcomes of calls

    def acknowledge(self, call: Call, payload: bytes) -> None:
        """Take an acknowledged change, and the document that holds it."""
        assert call.label is not None
        self.check_contains_acknowledged(payload, call)
        self._acknowledged.append(call.label)

    def refuse(self, call: Call) -> None:
        """Take a refused call: its change must never be in force."""
        if call.label is None:
            return
        self._refused.add(call.label)
        self._check_not_refused(self._world.newest_committed().payload)

    def check_contains_acknowledged(self, payload: bytes, call: Call) -> None:
        """Check that an answer holds what was acknowledged before the call began."""
        present = set(payload.split(SEPARATOR))
        missing = [label for label in self._acknowledged[: call.acknowledged_before] if label not in present]
        if missing:
            self.fail(f"an answer lacks acknowledged changes {missing}")

    def _check_not_refused(self, payload: bytes) -> None:
        if not self._refused.isdisjoint(payload.split(SEPARATOR)):
            self.fail("a refused change is in force")

    # Commits and roles

    def on_commit(self, machine: Machine, snapshot: Snapshot) -> None:
        """Take a document that a machine applied."""
        previous = machine.snapshot
        if (snapshot.epoch, snapshot.sequence) <= (previous.epoch, previous.sequence):
            self.fail(f"{machine.ip} went back from {previous} to {snapshot}")
        machine.snapshot = snapshot
        known = self._world.committed.get(snapshot.sequence)
        if known is not None:
            if known != snapshot:
                self.fail(f"two documents committed at sequence {snapshot.sequence}: {known}, {snapshot}")
            return
        self._world.engine.note(f"commit {machine.ip} {snapshot.epoch}.{snapshot.sequence}")
        self._world.committed[snapshot.sequence] = snapshot
        self._check_order(snapshot)
        self._check_not_refused(snapshot.payload)

    def _check_order(self, snapshot: Snapshot) -> None:
        committed = self._world.committed
        earlier = [number for number in committed if number < snapshot.sequence]
        later = [number for number in committed if number > snapshot.sequence]
        if earlier:
            self._check_extends(committed[max(earlier)], snapshot)
        if later:
            self._check_extends(snapshot, committed[min(later)])

    def _check_extends(self, first: Snapshot, second: Snapshot) -> None:
        if not second.payload.startswith(first.payload):
            self.fail(f"history forked between {first} and {second}")

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
        present = set(self._world.newest_committed().payload.split(SEPARATOR))
        missing = [label for label in self._acknowledged if label not in present]
        if missing:
            self.fail(f"acknowledged changes {missing} are lost")
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
