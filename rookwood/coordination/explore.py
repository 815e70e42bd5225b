"""Exhaustive exploration of small histories of the replication, with the real replicas.

The network keeps every message forever and may deliver it at any time, any number of times or never. This
covers loss, duplication, delay, reordering and partitions without a bound. Time is abstract: each event that
a clock causes (standing for election, giving up a candidacy, losing the lease) is a separate step that may
happen at any time. So the explored safety properties do not depend on clocks. docs/control-state.md lists
what is not covered.
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
    ObservedHistory,
    check_durability,
    check_sync,
    with_commit,
    with_outcome,
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
AFTER_CANDIDACY = 2.0  # a time at which a candidacy has passed its deadline
AFTER_LEASE = 20.0  # a time at which the lease has expired
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
"""Time passes only in the steps that stand for clock events: no favour, no wait for copies, no disk limit."""

Item = TypeVar("Item", bound=Hashable)
Arguments = ParamSpec("Arguments")


@dataclass(frozen=True)
class Bounds:
    """The size of the group, and how many events of each kind one history may contain.

    `rounds` includes heartbeats, `instant_writes` completes each disk write at once, and `states` limits the
    number of visited states.
    """

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
class ExplorationReport:
    """What an exploration covered.

    `acknowledged` counts the states in which some change is acknowledged, `epochs` the epochs in which a
    document was written, and `whole` is true if all states within the bounds were visited.
    """

    states: int
    transitions: int
    acknowledged: int
    epochs: int
    whole: bool


class FixedRandom(Random):
    """A random source that always returns the same number, so that states can be compared."""

    def __init__(self, value: int) -> None:
        super().__init__(value)
        self._value = value

    def random(self) -> float:
        """Return 0."""
        return 0.0

    def getrandbits(self, count: int, /) -> int:
        """Return the fixed number."""
        return self._value

    def __reduce__(self) -> tuple[type["FixedRandom"], tuple[int]]:
        return FixedRandom, (self._value,)


@dataclass(frozen=True)
class Append:
    """A change that appends a label to the payload."""

    label: bytes

    def __call__(self, payload: bytes) -> bytes:
        return payload + self.label


class Machine(NamedTuple):
    """One machine: its replica, its disk, and the write under way.

    Replica and records are serialised. `durable` is the synced record, `visible` the one that a restart of
    the process finds in the page cache, and `pending_write` the record being written, with its ticket.
    """

    replica: bytes
    durable: bytes
    visible: bytes
    pending_write: bytes | None
    ticket: int
    incarnation: int


@dataclass(frozen=True)
class Envelope:
    """A message in the network, with its sender and receiver."""

    sender: str
    incarnation: int
    to: str
    message: Message


class SystemState(NamedTuple):
    """One state of the whole system.

    `envelopes` is a bit set of the numbers of all envelopes sent so far, `remaining` holds how many more
    events of each kind may happen.
    """

    machines: tuple[Machine, ...]
    envelopes: int
    history: ObservedHistory
    remaining: Bounds


Step = tuple[str, SystemState]


class _Numbering(Generic[Item]):
    """Assigns numbers to values, so that states are small and fast to compare."""

    def __init__(self) -> None:
        self._numbers: dict[Item, int] = {}
        self._items: list[Item] = []

    def number(self, item: Item) -> int:
        """Return the number of a value, assigning one to a new value."""
        known = self._numbers.get(item)
        if known is not None:
            return known
        self._items.append(item)
        self._numbers[item] = len(self._items) - 1
        return len(self._items) - 1

    def item(self, number: int) -> Item:
        """Return the value with a number."""
        return self._items[number]


class _StateKey(NamedTuple):
    """A state, with numbers in place of its values."""

    machines: tuple[int, ...]
    envelopes: int
    history: int
    remaining: int


class _StateEncoder:
    """Converts system states to keys and back."""

    def __init__(self) -> None:
        self._machines = _Numbering[Machine]()
        self._histories = _Numbering[ObservedHistory]()
        self._bounds = _Numbering[Bounds]()

    def encode(self, state: SystemState) -> _StateKey:
        """Return the key of a system state."""
        machines = tuple(self._machines.number(machine) for machine in state.machines)
        return _StateKey(
            machines,
            state.envelopes,
            self._histories.number(state.history),
            self._bounds.number(state.remaining),
        )

    def decode(self, key: _StateKey) -> SystemState:
        """Return the system state with a key."""
        machines = tuple(self._machines.item(number) for number in key.machines)
        history, remaining = self._histories.item(key.history), self._bounds.item(key.remaining)
        return SystemState(machines, key.envelopes, history, remaining)


class Explorer:
    """Visits every state within the bounds, in breadth-first order."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._addresses = tuple(f"10.0.0.{number + 1}" for number in range(bounds.members))
        self._cache: dict[Hashable, tuple[bytes, tuple[Effect, ...]]] = {}
        self._encoder = _StateEncoder()
        self._envelopes = _Numbering[Envelope]()
        self._serialised: dict[bytes, bytes] = {}
        self._leading_replicas: dict[bytes, bool] = {}
        self._checked_disks: set[Hashable] = set()
        self._acknowledged = 0
        self._epochs: set[int] = set()

    def explore(self) -> ExplorationReport:
        """Visit the states; raises `InvariantError` with a shortest trace if an invariant is violated."""
        first = self._encoder.encode(self._initial_state())
        parents: dict[_StateKey, tuple[_StateKey, str] | None] = {first: None}
        queue = deque([first])
        transitions = 0
        while queue:
            if len(parents) > self._bounds.states:
                return self._report(len(parents), transitions, whole=False)
            key = queue.popleft()
            state = self._encoder.decode(key)
            try:
                self._check_state(state)
                for action, successor in self._steps(state):
                    transitions += 1
                    successor_key = self._encoder.encode(successor)
                    if successor_key not in parents:
                        parents[successor_key] = (key, action)
                        queue.append(successor_key)
            except InvariantError as error:
                raise InvariantError(error.reason, (*_trace(parents, key), *error.trace)) from None
        return self._report(len(parents), transitions, whole=True)

    def _report(self, states: int, transitions: int, *, whole: bool) -> ExplorationReport:
        return ExplorationReport(states, transitions, self._acknowledged, len(self._epochs), whole)

    def _check_state(self, state: SystemState) -> None:
        history = state.history
        self._epochs.update(epoch for epoch, *_ in history.primaries)
        if not history.acknowledged:
            return
        self._acknowledged += 1
        disks = tuple(
            frozenset({machine.durable, machine.visible, machine.pending_write or machine.visible})
            for machine in state.machines
        )
        if (disks, history.acknowledged) in self._checked_disks:
            return
        named = zip(self._addresses, disks, strict=True)
        check_durability(history.acknowledged, tuple((ip, _load_records(stored)) for ip, stored in named))
        self._checked_disks.add((disks, history.acknowledged))

    # The initial state: one primary, with no message or write pending

    def _initial_state(self) -> SystemState:
        members = tuple(Member(ip) for ip in self._addresses)
        record = Record(0, 0, True, Document(Position(), Configuration(members), b""))
        stored = self._serialise(record)
        blank = self._serialise(None)
        machines = tuple(
            Machine(b"", blank, stored, None, 0, number + 1) for number in range(self._bounds.members)
        )
        state = SystemState(machines, 0, ObservedHistory(), self._bounds)
        for index in range(self._bounds.members):
            state = self._boot(state, index, stored)
        state = self._settle(state)
        state = self._start_candidacy(state, 0, 0)
        return self._settle(state)._replace(envelopes=0, remaining=self._bounds)

    def _settle(self, state: SystemState) -> SystemState:
        delivered = 0
        while True:
            writing = [index for index, machine in enumerate(state.machines) if machine.pending_write]
            envelopes = state.envelopes & ~delivered
            if writing:
                state = self._finish_write(state, writing[0])
            elif envelopes:
                first = next(_bit_numbers(envelopes))
                delivered |= 1 << first
                state = self._deliver(state, first)
            else:
                return state

    # Steps

    def _steps(self, state: SystemState) -> Iterator[Step]:
        for number in _bit_numbers(state.envelopes):
            yield from self._step(f"deliver {self._envelopes.item(number)}", self._deliver, state, number)
        for index, machine in enumerate(state.machines):
            if machine.pending_write is not None:
                yield from self._step(f"synced {index}", self._finish_write, state, index)
            yield from self._operator_steps(state, index)
            yield from self._fault_steps(state, index)

    def _operator_steps(self, state: SystemState, index: int) -> Iterator[Step]:
        remaining = state.remaining
        leads = self._is_leading(state.machines[index])
        if remaining.elections and not leads:
            after = state._replace(remaining=replace(remaining, elections=remaining.elections - 1))
            for known_epoch in self._known_epochs(state, index):
                yield from self._step(
                    f"stand {index} above {known_epoch}", self._start_candidacy, after, index, known_epoch
                )
        if remaining.lease_losses and leads:
            after = state._replace(remaining=replace(remaining, lease_losses=remaining.lease_losses - 1))
            yield from self._step(f"lease lost {index}", self._lose_lease, after, index)
        if remaining.changes:
            after = state._replace(remaining=replace(remaining, changes=remaining.changes - 1))
            yield from self._step(f"propose {index}", self._propose, after, index)
        if remaining.confirms:
            after = state._replace(remaining=replace(remaining, confirms=remaining.confirms - 1))
            yield from self._step(f"confirm {index}", self._confirm, after, index)

    def _fault_steps(self, state: SystemState, index: int) -> Iterator[Step]:
        remaining, machine = state.remaining, state.machines[index]
        in_cache = machine.pending_write or machine.visible
        if remaining.kills:
            after = state._replace(remaining=replace(remaining, kills=remaining.kills - 1))
            for stored in sorted({machine.visible, in_cache}):
                yield from self._step(f"kill {index}", self._boot, after, index, stored)
        if remaining.power_losses:
            after = state._replace(remaining=replace(remaining, power_losses=remaining.power_losses - 1))
            for stored in sorted({machine.durable, machine.visible, in_cache}):
                yield from self._step(
                    f"power loss {index}", self._boot_after_power_loss, after, index, stored
                )
        if remaining.wipes:
            after = state._replace(remaining=replace(remaining, wipes=remaining.wipes - 1))
            yield from self._step(
                f"wipe {index}", self._boot_after_power_loss, after, index, self._serialise(None)
            )
        if remaining.failed_writes and machine.pending_write is not None:
            after = state._replace(remaining=replace(remaining, failed_writes=remaining.failed_writes - 1))
            for stored in sorted({machine.visible, in_cache}):
                yield from self._step(f"failed write {index}", self._fail_write, after, index, stored)

    def _step(
        self,
        name: str,
        action: Callable[Concatenate[SystemState, Arguments], SystemState],
        state: SystemState,
        *arguments: Arguments.args,
        **named: Arguments.kwargs,
    ) -> Iterator[Step]:
        try:
            successor = action(state, *arguments, **named)
        except InvariantError as error:
            raise InvariantError(error.reason, (name,)) from None
        if successor is not state:
            yield name, successor

    def _deliver(self, state: SystemState, number: int) -> SystemState:
        envelope = self._envelopes.item(number)
        index = self._addresses.index(envelope.to)
        arguments = (envelope.sender, envelope.incarnation, envelope.message, NOW)
        return self._run_input(state, index, "receive", arguments, number)

    def _finish_write(self, state: SystemState, index: int) -> SystemState:
        machine = state.machines[index]
        assert machine.pending_write is not None
        written = machine.pending_write
        record = pickle.loads(written)
        check_sync(pickle.loads(machine.durable), record)
        machine = machine._replace(durable=written, visible=written, pending_write=None)
        state = _with_machine(state, index, machine)
        return self._run_input(state, index, "persisted", (machine.ticket, record, True, NOW))

    def _fail_write(self, state: SystemState, index: int, stored: bytes) -> SystemState:
        machine = state.machines[index]
        state = _with_machine(state, index, machine._replace(visible=stored, pending_write=None))
        arguments = (machine.ticket, pickle.loads(stored), False, NOW)
        return self._run_input(state, index, "persisted", arguments)

    def _is_leading(self, machine: Machine) -> bool:
        if machine.replica not in self._leading_replicas:
            self._leading_replicas[machine.replica] = _load_replica(machine).is_leading()
        return self._leading_replicas[machine.replica]

    def _known_epochs(self, state: SystemState, index: int) -> range:
        """Return what a candidate may know as the highest promise: any epoch for which a machine stood."""
        highest = FIRST_EPOCH + self._bounds.elections - state.remaining.elections
        return range(_load_replica(state.machines[index]).promised_epoch(), highest + 1)

    def _start_candidacy(self, state: SystemState, index: int, known_epoch: int) -> SystemState:
        """Abandon an earlier candidacy, and start one for the epoch after the known one."""
        state = self._run_input(state, index, "tick", (NOW + AFTER_CANDIDACY,))
        return self._run_input(
            state, index, "receive", (explorer_address(index), 0, TransferNow(known_epoch), NOW)
        )

    def _lose_lease(self, state: SystemState, index: int) -> SystemState:
        return self._run_input(state, index, "tick", (NOW + AFTER_LEASE,))

    def _propose(self, state: SystemState, index: int) -> SystemState:
        ticket = state.remaining.changes + 1
        return self._run_input(state, index, "propose", (ticket, Append(b"%d," % ticket), NOW))

    def _confirm(self, state: SystemState, index: int) -> SystemState:
        ticket = -1 - state.remaining.confirms
        confirming = state.history.pending_confirmations | {(ticket, state.history.acknowledged)}
        state = state._replace(history=replace(state.history, pending_confirmations=confirming))
        return self._run_input(state, index, "confirm", (ticket, NOW))

    def _boot_after_power_loss(self, state: SystemState, index: int, stored: bytes) -> SystemState:
        machine = state.machines[index]._replace(durable=stored)
        return self._boot(_with_machine(state, index, machine), index, stored)

    def _boot(self, state: SystemState, index: int, stored: bytes) -> SystemState:
        machine = state.machines[index]
        incarnation = machine.incarnation + INCARNATION_STEP
        replica = Replica(
            ip=self._addresses[index],
            incarnation=incarnation,
            seeds=self._addresses,
            tolerate=self._bounds.tolerate,
            record=pickle.loads(stored),
            random=FixedRandom(incarnation),
            now=NOW,
            timing=TIMELESS,
        )
        machine = Machine(self._serialise(replica), machine.durable, stored, None, 0, incarnation)
        return self._run_input(_with_machine(state, index, machine), index, "tick", (NOW,))

    # Inputs and effects

    def _run_input(
        self,
        state: SystemState,
        index: int,
        method: str,
        arguments: tuple[object, ...],
        number: int | None = None,
    ) -> SystemState:
        machine = state.machines[index]
        key = (machine.replica, method, arguments if number is None else number)
        cached = self._cache.get(key)
        if cached is None:
            replica = _load_replica(machine)
            effects = getattr(replica, method)(*arguments)
            cached = (self._serialise(replica), tuple(effects))
            self._cache[key] = cached
        after, produced = cached
        if after == machine.replica and not produced:
            return state
        state = _with_machine(state, index, machine._replace(replica=after))
        for effect in produced:
            state = self._apply(state, index, effect)
        if self._bounds.instant_writes and state.machines[index].pending_write is not None:
            return self._finish_write(state, index)
        return state

    def _apply(self, state: SystemState, index: int, effect: Effect) -> SystemState:
        machine = state.machines[index]
        match effect:
            case Send():
                return self._send(state, index, effect)
            case Persist():
                writing = self._serialise(effect.record)
                return _with_machine(
                    state, index, machine._replace(pending_write=writing, ticket=effect.ticket)
                )
            case CommitApplied():
                return state._replace(history=with_commit(state.history, effect.snapshot))
            case Resolve():
                return state._replace(history=with_outcome(state.history, effect))
            case _:
                return state

    def _serialise(self, value: object) -> bytes:
        serialised = pickle.dumps(value)
        return self._serialised.setdefault(serialised, serialised)

    def _send(self, state: SystemState, index: int, send: Send) -> SystemState:
        message = send.message
        incarnation = state.machines[index].incarnation
        if isinstance(message, Write):
            holder = (message.document.position.epoch, self._addresses[index], incarnation)
            state = state._replace(history=with_primary(state.history, holder))
        if send.to not in self._addresses or self._is_excluded(message):
            return state
        envelope = Envelope(self._addresses[index], incarnation, send.to, message)
        return state._replace(envelopes=state.envelopes | 1 << self._envelopes.number(envelope))

    def _is_excluded(self, message: Message) -> bool:
        if isinstance(message, PreVoteRequest | PreVoteReply):
            return True
        is_round = isinstance(message, Heartbeat | HeartbeatAck)
        return is_round and not (self._bounds.confirms or self._bounds.rounds)


def _bit_numbers(envelopes: int) -> Iterator[int]:
    while envelopes:
        lowest = envelopes & -envelopes
        yield lowest.bit_length() - 1
        envelopes ^= lowest


def explorer_address(index: int) -> str:
    """Return the address from which the explorer sends its own requests to a machine."""
    return f"explorer-{index}"


def _load_records(stored: frozenset[bytes]) -> frozenset[Record]:
    loaded = (pickle.loads(record) for record in stored)
    return frozenset(record for record in loaded if record is not None)


def _load_replica(machine: Machine) -> Replica:
    replica: Replica = pickle.loads(machine.replica)
    return replica


def _with_machine(state: SystemState, index: int, machine: Machine) -> SystemState:
    machines = (*state.machines[:index], machine, *state.machines[index + 1 :])
    return state._replace(machines=machines)


def _trace(parents: dict[_StateKey, tuple[_StateKey, str] | None], key: _StateKey) -> tuple[str, ...]:
    actions: list[str] = []
    step = parents[key]
    while step is not None:
        key, action = step
        actions.append(action)
        step = parents[key]
    return tuple(reversed(actions))
