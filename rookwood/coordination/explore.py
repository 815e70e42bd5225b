"""Exhaustive exploration of small histories of the replication, over the real replicas.

The network keeps every message for ever and may deliver it at any moment, any number of times or never,
which covers loss, doubling, delay, reordering and cuts. Time stands still: a primary never notices that
it lost its lease, and any member may stand for election, so nothing that is found sound rests on clocks.
"""

import pickle
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Concatenate, Generic, NamedTuple, ParamSpec, TypeVar

from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.effects import CommitApplied, Effect, Persist, Resolve, RoleChanged, Send
from rookwood.coordination.messages import Heartbeat, HeartbeatAck, Message, TransferNow
from rookwood.coordination.outcomes import Committed, Confirmed, NotPrimary, Primary, Snapshot
from rookwood.coordination.replication import Replica

NOW = 0.0
INCARNATION_STEP = 10

Item = TypeVar("Item", bound=Hashable)
Arguments = ParamSpec("Arguments")


class BrokenError(Exception):
    """An invariant does not hold; `trace` is a shortest way there."""

    def __init__(self, why: str, trace: tuple[str, ...] = ()) -> None:
        super().__init__(why)
        self.why = why
        self.trace = trace


@dataclass(frozen=True)
class Bounds:
    """How much of each kind of event one history may hold."""

    members: int = 3
    tolerate: int = 1
    changes: int = 1
    elections: int = 1
    kills: int = 0
    power_losses: int = 0
    wipes: int = 0
    failed_writes: int = 0
    confirms: int = 0
    instant_writes: bool = False
    states: int = 1_000_000


@dataclass(frozen=True)
class Report:
    """What an exploration covered."""

    states: int
    transitions: int
    whole: bool


class FixedRandom(Random):
    """A random source that always gives the same number, so that states can be compared."""

    def __init__(self, value: int) -> None:
        super().__init__(value)
        self._value = value

    def random(self) -> float:
        """Return the smallest fraction."""
        return 0.0

    def getrandbits(self, count: int, /) -> int:
        """Return the number of this source."""
        return self._value

    def __reduce__(self) -> tuple[type["FixedRandom"], tuple[int]]:
        return FixedRandom, (self._value,)


@dataclass(frozen=True)
class Append:
    """A change that appends a label."""

    label: bytes

    def __call__(self, payload: bytes) -> bytes:
        return payload + self.label


class Machine(NamedTuple):
    """One machine: its replica, its disk and the write under way; records and replica are serialised."""

    replica: bytes
    durable: bytes
    visible: bytes
    writing: bytes | None
    ticket: int
    incarnation: int


@dataclass(frozen=True)
class Ledger:
    """What has become known outside: commits, answers, and who was primary in which epoch."""

    committed: tuple[Snapshot, ...] = ()
    acknowledged: frozenset[bytes] = frozenset()
    refused: frozenset[bytes] = frozenset()
    primaries: frozenset[tuple[int, str, int]] = frozenset()
    confirming: frozenset[tuple[int, frozenset[bytes]]] = frozenset()


@dataclass(frozen=True)
class Letter:
    """A message in the network."""

    sender: str
    incarnation: int
    to: str
    message: Message


class World(NamedTuple):
    """One state of the whole system; the letters are a set of bits."""

    machines: tuple[Machine, ...]
    letters: int
    ledger: Ledger
    left: Bounds


Step = tuple[str, World]


class _Table(Generic[Item]):
    """Numbers for values, so that states are small and quick to compare."""

    def __init__(self) -> None:
        self._numbers: dict[Item, int] = {}
        self._items: list[Item] = []

    def number(self, item: Item) -> int:
        """Return the number of a value."""
        known = self._numbers.get(item)
        if known is not None:
            return known
        self._items.append(item)
        self._numbers[item] = len(self._items) - 1
        return len(self._items) - 1

    def item(self, number: int) -> Item:
        """Return the value of a number."""
        return self._items[number]


class _Key(NamedTuple):
    """A world in numbers."""

    machines: tuple[int, ...]
    letters: int
    ledger: int
    left: int


class _Compact:
    """Turns worlds into keys and back."""

    def __init__(self) -> None:
        self._machines = _Table[Machine]()
        self._ledgers = _Table[Ledger]()
        self._bounds = _Table[Bounds]()

    def key(self, world: World) -> _Key:
        """Return the key of a world."""
        machines = tuple(self._machines.number(machine) for machine in world.machines)
        return _Key(
            machines, world.letters, self._ledgers.number(world.ledger), self._bounds.number(world.left)
        )

    def world(self, key: _Key) -> World:
        """Return the world of a key."""
        machines = tuple(self._machines.item(number) for number in key.machines)
        ledger, left = self._ledgers.item(key.ledger), self._bounds.item(key.left)
        return World(machines, key.letters, ledger, left)


class Explorer:
    """Visits every state within the bounds, breadth first."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._addresses = tuple(f"10.0.0.{number + 1}" for number in range(bounds.members))
        self._cache: dict[Hashable, tuple[bytes, tuple[Effect, ...]]] = {}
        self._compact = _Compact()
        self._letters = _Table[Letter]()
        self._serialised: dict[bytes, bytes] = {}

    def explore(self) -> Report:
        """Visit the states; raises `BrokenError` with a shortest trace."""
        first = self._compact.key(self._first_world())
        parents: dict[_Key, tuple[_Key, str] | None] = {first: None}
        queue = deque([first])
        transitions = 0
        while queue:
            if len(parents) > self._bounds.states:
                return Report(len(parents), transitions, whole=False)
            key = queue.popleft()
            try:
                for action, successor in self._steps(self._compact.world(key)):
                    transitions += 1
                    successor_key = self._compact.key(successor)
                    if successor_key not in parents:
                        parents[successor_key] = (key, action)
                        queue.append(successor_key)
            except BrokenError as error:
                raise BrokenError(error.why, (*_trace(parents, key), *error.trace)) from None
        return Report(len(parents), transitions, whole=True)

    # The first state: one primary, everything settled

    def _first_world(self) -> World:
        members = tuple(Member(ip) for ip in self._addresses)
        record = Record(0, 0, True, Document(Position(), Configuration(members), b""))
        found = self._serialise(record)
        blank = self._serialise(None)
        machines = tuple(
            Machine(b"", blank, found, None, 0, number + 1) for number in range(self._bounds.members)
        )
        world = World(machines, 0, Ledger(), self._bounds)
        for index in range(self._bounds.members):
            world = self._boot(world, index, found)
        world = self._settle(world)
        world = self._stand(world, 0)
        return self._settle(world)._replace(letters=0, left=self._bounds)

    def _settle(self, world: World) -> World:
        delivered = 0
        while True:
            writing = [index for index, machine in enumerate(world.machines) if machine.writing]
            letters = world.letters & ~delivered
            if writing:
                world = self._finish_write(world, writing[0])
            elif letters:
                first = next(_bits(letters))
                delivered |= 1 << first
                world = self._deliver(world, first)
            else:
                return world

    # Steps

    def _steps(self, world: World) -> Iterator[Step]:
        for letter in _bits(world.letters):
            yield from self._step(f"deliver {self._letters.item(letter)}", self._deliver, world, letter)
        for index, machine in enumerate(world.machines):
            if machine.writing is not None:
                yield from self._step(f"synced {index}", self._finish_write, world, index)
            yield from self._operator_steps(world, index)
            yield from self._fault_steps(world, index)

    def _operator_steps(self, world: World, index: int) -> Iterator[Step]:
        left = world.left
        if left.elections:
            after = world._replace(left=replace(left, elections=left.elections - 1))
            yield from self._step(f"stand {index}", self._stand, after, index)
        if left.changes:
            after = world._replace(left=replace(left, changes=left.changes - 1))
            yield from self._step(f"propose {index}", self._propose, after, index)
        if left.confirms:
            after = world._replace(left=replace(left, confirms=left.confirms - 1))
            yield from self._step(f"confirm {index}", self._confirm, after, index)

    def _fault_steps(self, world: World, index: int) -> Iterator[Step]:
        left, machine = world.left, world.machines[index]
        in_cache = machine.writing or machine.visible
        if left.kills:
            after = world._replace(left=replace(left, kills=left.kills - 1))
            for found in {machine.visible, in_cache}:
                yield from self._step(f"kill {index}", self._boot, after, index, found)
        if left.power_losses:
            after = world._replace(left=replace(left, power_losses=left.power_losses - 1))
            for found in {machine.durable, machine.visible, in_cache}:
                yield from self._step(f"power loss {index}", self._boot_after_power, after, index, found)
        if left.wipes:
            after = world._replace(left=replace(left, wipes=left.wipes - 1))
            yield from self._step(
                f"wipe {index}", self._boot_after_power, after, index, self._serialise(None)
            )
        if left.failed_writes and machine.writing is not None:
            after = world._replace(left=replace(left, failed_writes=left.failed_writes - 1))
            for found in {machine.visible, in_cache}:
                yield from self._step(f"failed write {index}", self._fail_write, after, index, found)

    def _step(
        self,
        name: str,
        action: Callable[Concatenate[World, Arguments], World],
        world: World,
        *arguments: Arguments.args,
        **named: Arguments.kwargs,
    ) -> Iterator[Step]:
        try:
            successor = action(world, *arguments, **named)
        except BrokenError as error:
            raise BrokenError(error.why, (name,)) from None
        if successor is not world:
            yield name, successor

    def _deliver(self, world: World, number: int) -> World:
        letter = self._letters.item(number)
        index = self._addresses.index(letter.to)
        arguments = (letter.sender, letter.incarnation, letter.message, NOW)
        return self._input(world, index, "receive", arguments, number)

    def _finish_write(self, world: World, index: int) -> World:
        machine = world.machines[index]
        assert machine.writing is not None
        written = machine.writing
        record = pickle.loads(written)
        machine = machine._replace(durable=written, visible=written, writing=None)
        world = _with_machine(world, index, machine)
        return self._input(world, index, "persisted", (machine.ticket, record, True, NOW))

    def _fail_write(self, world: World, index: int, found: bytes) -> World:
        machine = world.machines[index]
        world = _with_machine(world, index, machine._replace(visible=found, writing=None))
        arguments = (machine.ticket, pickle.loads(found), False, NOW)
        world = self._input(world, index, "persisted", arguments)
        return self._input(world, index, "tick", (NOW + 1.0,))

    def _stand(self, world: World, index: int) -> World:
        replica = _replica(world.machines[index])
        epoch = replica.record().promised
        return self._input(world, index, "receive", (explorer_address(index), 0, TransferNow(epoch), NOW))

    def _propose(self, world: World, index: int) -> World:
        label = b"%d," % world.left.changes
        return self._input(world, index, "propose", (world.left.changes, Append(label), NOW))

    def _confirm(self, world: World, index: int) -> World:
        ticket = -1 - world.left.confirms
        confirming = world.ledger.confirming | {(ticket, world.ledger.acknowledged)}
        world = world._replace(ledger=replace(world.ledger, confirming=confirming))
        return self._input(world, index, "confirm", (ticket, NOW))

    def _boot_after_power(self, world: World, index: int, found: bytes) -> World:
        machine = world.machines[index]._replace(durable=found)
        return self._boot(_with_machine(world, index, machine), index, found)

    def _boot(self, world: World, index: int, found: bytes) -> World:
        machine = world.machines[index]
        incarnation = machine.incarnation + INCARNATION_STEP
        replica = Replica(
            ip=self._addresses[index],
            incarnation=incarnation,
            seeds=self._addresses,
            tolerate=self._bounds.tolerate,
            record=pickle.loads(found),
            random=FixedRandom(incarnation),
            now=NOW,
        )
        machine = Machine(self._serialise(replica), machine.durable, found, None, 0, incarnation)
        return self._input(_with_machine(world, index, machine), index, "tick", (NOW,))

    # Inputs and effects

    def _input(
        self,
        world: World,
        index: int,
        method: str,
        arguments: tuple[object, ...],
        number: int | None = None,
    ) -> World:
        machine = world.machines[index]
        key = (machine.replica, method, arguments if number is None else number)
        known = self._cache.get(key)
        if known is None:
            replica = _replica(machine)
            effects = getattr(replica, method)(*arguments)
            known = (self._serialise(replica), tuple(effects))
            self._cache[key] = known
        after, produced = known
        if after == machine.replica and not produced:
            return world
        world = _with_machine(world, index, machine._replace(replica=after))
        for effect in produced:
            world = self._apply(world, index, effect)
        if self._bounds.instant_writes and world.machines[index].writing is not None:
            return self._finish_write(world, index)
        return world

    def _apply(self, world: World, index: int, effect: Effect) -> World:
        machine = world.machines[index]
        match effect:
            case Send():
                return self._send(world, index, effect)
            case Persist():
                writing = self._serialise(effect.record)
                return _with_machine(world, index, machine._replace(writing=writing, ticket=effect.ticket))
            case CommitApplied():
                return world._replace(ledger=_with_commit(world.ledger, effect.snapshot))
            case RoleChanged(role=Primary(epoch=epoch)):
                holder = (epoch, self._addresses[index], machine.incarnation)
                return world._replace(ledger=_with_primary(world.ledger, holder))
            case Resolve():
                return world._replace(ledger=_with_answer(world.ledger, effect))
            case _:
                return world

    def _serialise(self, value: object) -> bytes:
        serialised = pickle.dumps(value)
        return self._serialised.setdefault(serialised, serialised)

    def _send(self, world: World, index: int, send: Send) -> World:
        is_round = isinstance(send.message, Heartbeat | HeartbeatAck)
        if (is_round and not self._bounds.confirms) or send.to not in self._addresses:
            return world
        incarnation = world.machines[index].incarnation
        letter = Letter(self._addresses[index], incarnation, send.to, send.message)
        return world._replace(letters=world.letters | 1 << self._letters.number(letter))


def _bits(letters: int) -> Iterator[int]:
    while letters:
        lowest = letters & -letters
        yield lowest.bit_length() - 1
        letters ^= lowest


def explorer_address(index: int) -> str:
    """Return the sender of the explorer's own requests to a machine."""
    return f"explorer-{index}"


def _replica(machine: Machine) -> Replica:
    replica: Replica = pickle.loads(machine.replica)
    return replica


def _with_machine(world: World, index: int, machine: Machine) -> World:
    machines = (*world.machines[:index], machine, *world.machines[index + 1 :])
    return world._replace(machines=machines)


def _with_commit(ledger: Ledger, snapshot: Snapshot) -> Ledger:
    if snapshot in ledger.committed:
        return ledger
    committed = tuple(sorted((*ledger.committed, snapshot), key=lambda known: known.sequence))
    for first, second in zip(committed, committed[1:], strict=False):
        if first.sequence == second.sequence or not second.payload.startswith(first.payload):
            raise BrokenError(f"history forked between {first} and {second}")
    _check_refused(ledger.refused, committed[-1].payload)
    return replace(ledger, committed=committed)


def _with_primary(ledger: Ledger, holder: tuple[int, str, int]) -> Ledger:
    if any(epoch == holder[0] for epoch, *_ in ledger.primaries - {holder}):
        raise BrokenError(f"epoch {holder[0]} has two primaries")
    return replace(ledger, primaries=ledger.primaries | {holder})


def _with_answer(ledger: Ledger, answer: Resolve) -> Ledger:
    label = b"%d," % answer.ticket
    match answer.outcome:
        case Committed():
            return replace(ledger, acknowledged=ledger.acknowledged | {label})
        case NotPrimary() if answer.ticket > 0:
            refused = ledger.refused | {label}
            if ledger.committed:
                _check_refused(refused, ledger.committed[-1].payload)
            return replace(ledger, refused=refused)
        case Confirmed(snapshot=snapshot):
            _check_confirmed(ledger, answer.ticket, snapshot)
    return ledger


def _check_refused(refused: frozenset[bytes], payload: bytes) -> None:
    if any(label in payload for label in refused):
        raise BrokenError("a refused change is in force")


def _check_confirmed(ledger: Ledger, ticket: int, snapshot: Snapshot) -> None:
    for started, acknowledged in ledger.confirming:
        if started == ticket and any(label not in snapshot.payload for label in acknowledged):
            raise BrokenError("a confirmed document lacks an acknowledged change")


def _trace(parents: dict[_Key, tuple[_Key, str] | None], key: _Key) -> tuple[str, ...]:
    actions: list[str] = []
    step = parents[key]
    while step is not None:
        key, action = step
        actions.append(action)
        step = parents[key]
    return tuple(reversed(actions))
