"""Exhaustive exploration of small histories of the replication, over the real replicas.

The network keeps every message for ever and may deliver it at any moment, any number of times or never,
which covers loss, doubling, delay, reordering and cuts without a bound. Time is abstract: what a clock does
(to stand for election, to give a candidacy up, to lose the lease) is a step of its own that may happen at any
moment, so nothing that is found sound rests on clocks. docs/control-state.md says what is left out.
"""

import pickle
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Concatenate, Generic, NamedTuple, ParamSpec, TypeVar

from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.effects import CommitApplied, Effect, Persist, Resolve, Send
from rookwood.coordination.exploration_invariants import (
    InvariantError,
    Ledger,
    check_durability,
    check_sync,
    with_answer,
    with_commit,
    with_primary,
)
from rookwood.coordination.messages import (
    Heartbeat,
    HeartbeatAck,
    Message,
    PreVoteReply,
    PreVoteRequest,
    TransferNow,
    Write,
)
from rookwood.coordination.replication import Replica
from rookwood.coordination.timing import Timing

NOW = 0.0
CANDIDACY_OVER = 2.0
LEASE_OVER = 20.0
FIRST_EPOCH = 1
INCARNATION_STEP = 10
NEVER = float("inf")
TIMELESS = Timing(
    lease=10.0,
    favour=0.0,
    pre_vote_favour=0.0,
    copy_patience=0.0,
    disk_limit=NEVER,
    disk_retry=0.0,
    replace_after=NEVER,
    learner_silence=NEVER,
)
"""Time stands still but in the steps that are its work: no favour, no patience, no limit of a disk."""

Item = TypeVar("Item", bound=Hashable)
Arguments = ParamSpec("Arguments")


@dataclass(frozen=True)
class Bounds:
    """How much of each kind of event one history may hold."""

    members: int = 3
    tolerate: int = 1
    changes: int = 1
    elections: int = 1
    lease_losses: int = 0
    kills: int = 0
    power_losses: int = 0
    wipes: int = 0
    failed_writes: int = 0
    confirms: int = 0
    rounds: bool = False
    instant_writes: bool = False
    states: int = 1_000_000


@dataclass(frozen=True)
class Report:
    """What an exploration covered; `acknowledged` counts the states in which some change is acknowledged."""

    states: int
    transitions: int
    acknowledged: int
    epochs: int
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
        self._leading: dict[bytes, bool] = {}
        self._checked: set[Hashable] = set()
        self._acknowledged = 0
        self._epochs: set[int] = set()

    def explore(self) -> Report:
        """Visit the states; raises `BrokenError` with a shortest trace."""
        first = self._compact.key(self._first_world())
        parents: dict[_Key, tuple[_Key, str] | None] = {first: None}
        queue = deque([first])
        transitions = 0
        while queue:
            if len(parents) > self._bounds.states:
                return self._report(len(parents), transitions, whole=False)
            key = queue.popleft()
            world = self._compact.world(key)
            try:
                self._check_state(world)
                for action, successor in self._steps(world):
                    transitions += 1
                    successor_key = self._compact.key(successor)
                    if successor_key not in parents:
                        parents[successor_key] = (key, action)
                        queue.append(successor_key)
            except InvariantError as error:
                raise InvariantError(error.reason, (*_trace(parents, key), *error.trace)) from None
        return self._report(len(parents), transitions, whole=True)

    def _report(self, states: int, transitions: int, *, whole: bool) -> Report:
        return Report(states, transitions, self._acknowledged, len(self._epochs), whole)

    def _check_state(self, world: World) -> None:
        ledger = world.ledger
        self._epochs.update(epoch for epoch, *_ in ledger.primaries)
        if not ledger.acknowledged:
            return
        self._acknowledged += 1
        disks = tuple(
            frozenset({machine.durable, machine.visible, machine.writing or machine.visible})
            for machine in world.machines
        )
        if (disks, ledger.acknowledged) in self._checked:
            return
        named = zip(self._addresses, disks, strict=True)
        check_durability(ledger.acknowledged, tuple((ip, _records(found)) for ip, found in named))
        self._checked.add((disks, ledger.acknowledged))

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
        world = self._stand(world, 0, 0)
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
        leads = self._leads(world.machines[index])
        if left.elections and not leads:
            after = world._replace(left=replace(left, elections=left.elections - 1))
            for known in self._epochs_to_know(world, index):
                yield from self._step(f"stand {index} above {known}", self._stand, after, index, known)
        if left.lease_losses and leads:
            after = world._replace(left=replace(left, lease_losses=left.lease_losses - 1))
            yield from self._step(f"lease lost {index}", self._lose_lease, after, index)
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
            for found in sorted({machine.visible, in_cache}):
                yield from self._step(f"kill {index}", self._boot, after, index, found)
        if left.power_losses:
            after = world._replace(left=replace(left, power_losses=left.power_losses - 1))
            for found in sorted({machine.durable, machine.visible, in_cache}):
                yield from self._step(f"power loss {index}", self._boot_after_power, after, index, found)
        if left.wipes:
            after = world._replace(left=replace(left, wipes=left.wipes - 1))
            yield from self._step(
                f"wipe {index}", self._boot_after_power, after, index, self._serialise(None)
            )
        if left.failed_writes and machine.writing is not None:
            after = world._replace(left=replace(left, failed_writes=left.failed_writes - 1))
            for found in sorted({machine.visible, in_cache}):
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
        except InvariantError as error:
            raise InvariantError(error.reason, (name,)) from None
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
        check_sync(pickle.loads(machine.durable), record)
        machine = machine._replace(durable=written, visible=written, writing=None)
        world = _with_machine(world, index, machine)
        return self._input(world, index, "persisted", (machine.ticket, record, True, NOW))

    def _fail_write(self, world: World, index: int, found: bytes) -> World:
        machine = world.machines[index]
        world = _with_machine(world, index, machine._replace(visible=found, writing=None))
        arguments = (machine.ticket, pickle.loads(found), False, NOW)
        return self._input(world, index, "persisted", arguments)

    def _leads(self, machine: Machine) -> bool:
        if machine.replica not in self._leading:
            self._leading[machine.replica] = _replica(machine).is_leading()
        return self._leading[machine.replica]

    def _epochs_to_know(self, world: World, index: int) -> range:
        """Return what a candidate may have heard to be the highest promise: any epoch ever stood for."""
        highest = FIRST_EPOCH + self._bounds.elections - world.left.elections
        return range(_replica(world.machines[index]).promised_epoch(), highest + 1)

    def _stand(self, world: World, index: int, known: int) -> World:
        """Give an earlier candidacy up, and stand for the epoch after the one that is known."""
        world = self._input(world, index, "tick", (NOW + CANDIDACY_OVER,))
        return self._input(world, index, "receive", (explorer_address(index), 0, TransferNow(known), NOW))

    def _lose_lease(self, world: World, index: int) -> World:
        return self._input(world, index, "tick", (NOW + LEASE_OVER,))

    def _propose(self, world: World, index: int) -> World:
        ticket = world.left.changes + 1
        return self._input(world, index, "propose", (ticket, Append(b"%d," % ticket), NOW))

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
            timing=TIMELESS,
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
                return world._replace(ledger=with_commit(world.ledger, effect.snapshot))
            case Resolve():
                return world._replace(ledger=with_answer(world.ledger, effect))
            case _:
                return world

    def _serialise(self, value: object) -> bytes:
        serialised = pickle.dumps(value)
        return self._serialised.setdefault(serialised, serialised)

    def _send(self, world: World, index: int, send: Send) -> World:
        message = send.message
        incarnation = world.machines[index].incarnation
        if isinstance(message, Write):
            holder = (message.document.position.epoch, self._addresses[index], incarnation)
            world = world._replace(ledger=with_primary(world.ledger, holder))
        if send.to not in self._addresses or self._is_left_out(message):
            return world
        letter = Letter(self._addresses[index], incarnation, send.to, message)
        return world._replace(letters=world.letters | 1 << self._letters.number(letter))

    def _is_left_out(self, message: Message) -> bool:
        if isinstance(message, PreVoteRequest | PreVoteReply):
            return True
        is_round = isinstance(message, Heartbeat | HeartbeatAck)
        return is_round and not (self._bounds.confirms or self._bounds.rounds)


def _bits(letters: int) -> Iterator[int]:
    while letters:
        lowest = letters & -letters
        yield lowest.bit_length() - 1
        letters ^= lowest


def explorer_address(index: int) -> str:
    """Return the sender of the explorer's own requests to a machine."""
    return f"explorer-{index}"


def _records(found: frozenset[bytes]) -> frozenset[Record]:
    loaded = (pickle.loads(record) for record in found)
    return frozenset(record for record in loaded if record is not None)


def _replica(machine: Machine) -> Replica:
    replica: Replica = pickle.loads(machine.replica)
    return replica


def _with_machine(world: World, index: int, machine: Machine) -> World:
    machines = (*world.machines[:index], machine, *world.machines[index + 1 :])
    return world._replace(machines=machines)


def _trace(parents: dict[_Key, tuple[_Key, str] | None], key: _Key) -> tuple[str, ...]:
    actions: list[str] = []
    step = parents[key]
    while step is not None:
        key, action = step
        actions.append(action)
        step = parents[key]
    return tuple(reversed(actions))
