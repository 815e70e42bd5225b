"""A general check of linearizability: does an order of the calls explain all their answers?

The search is that of Wing and Gong (1993) with the memory of Lowe (2017): calls are put into an order one
after another, each only while no call that returned before it began is left, and a pair of (calls done,
state) is tried once. A call without an answer may take effect at any moment after its begin, or never. A
call that is explained and leaves the state as it is comes first and needs no alternative: whatever could
come before it may as well come after it.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import IntEnum, auto
from typing import Generic, Protocol, TypeVar

DEFAULT_STEP_LIMIT = 2_000_000

CallT = TypeVar("CallT")
AnswerT = TypeVar("AnswerT")
StateT = TypeVar("StateT", bound=Hashable)
CallT_contra = TypeVar("CallT_contra", contravariant=True)
AnswerT_co = TypeVar("AnswerT_co", covariant=True)


class SequentialModel(Protocol[StateT, CallT_contra, AnswerT_co]):
    """What an object does when it is called by one caller at a time."""

    def initial(self) -> StateT:
        """Return the state before the first call."""

    def apply(self, state: StateT, call: CallT_contra) -> tuple[StateT, AnswerT_co]:
        """Return the state after a call, and its answer."""


@dataclass(frozen=True)
class Operation(Generic[CallT, AnswerT]):
    """A call, when it began, and its answer and end; both None where it was never answered."""

    call: CallT
    began: int
    answer: AnswerT | None = None
    ended: int | None = None


@dataclass(frozen=True)
class Linearizable:
    """There is an order; `order` holds the indices of the operations in it."""

    order: tuple[int, ...]


@dataclass(frozen=True)
class NotLinearizable:
    """There is none; `explained` is the longest order found, `stuck` what had to come next but cannot."""

    explained: tuple[int, ...]
    stuck: tuple[int, ...]


@dataclass(frozen=True)
class Undecided:
    """The search was given up after so many steps."""

    steps: int


Verdict = Linearizable | NotLinearizable | Undecided


class History(Generic[CallT, AnswerT]):
    """Records operations in the order in which they begin and end."""

    def __init__(self) -> None:
        self._moment = 0
        self._operations: list[Operation[CallT, AnswerT]] = []
        self._withdrawn: set[int] = set()

    def begin(self, call: CallT) -> int:
        """Record the begin of a call, and return its index."""
        self._operations.append(Operation(call, self._next_moment()))
        return len(self._operations) - 1

    def end(self, index: int, answer: AnswerT) -> None:
        """Record the answer of a call."""
        begun = self._operations[index]
        self._operations[index] = Operation(begun.call, begun.began, answer, self._next_moment())

    def withdraw(self, index: int) -> None:
        """Record that a call was answered as never begun: it must not have had an effect."""
        self._withdrawn.add(index)

    def operations(self) -> tuple[Operation[CallT, AnswerT], ...]:
        """Return what was recorded, without the calls that were never begun."""
        return tuple(
            operation for index, operation in enumerate(self._operations) if index not in self._withdrawn
        )

    def _next_moment(self) -> int:
        self._moment += 1
        return self._moment


class _Entry:
    """The begin or the end of an operation, in a doubly linked list ordered by moment."""

    __slots__ = ("end", "index", "next", "previous")

    def __init__(self, index: int, end: "_Entry | None") -> None:
        self.index = index
        self.end = end  # of a begin; None for an end
        self.previous: _Entry = self
        self.next: _Entry = self

    def insert_after(self, other: "_Entry") -> None:
        self.previous, self.next = other, other.next
        self.restore()

    def remove(self) -> None:
        self.previous.next = self.next
        self.next.previous = self.previous

    def restore(self) -> None:
        self.previous.next = self
        self.next.previous = self


class _Phase(IntEnum):
    """The order in which candidates for the next place are tried."""

    KEEPS_STATE = auto()
    CHANGES_STATE = auto()
    NEVER_ANSWERED = auto()


@dataclass(frozen=True)
class _Choice(Generic[StateT]):
    """An operation that was put next in the order, in which phase, and the state before it."""

    entry: _Entry
    phase: _Phase
    state: StateT


class _Search(Generic[StateT, CallT, AnswerT]):
    """One search for an order."""

    def __init__(
        self,
        model: SequentialModel[StateT, CallT, AnswerT],
        operations: Sequence[Operation[CallT, AnswerT]],
    ) -> None:
        self._model = model
        self._operations = operations
        self._head = _link(operations)
        self._state = model.initial()
        self._done = 0  # a bit for each operation in the order
        self._unexplained = sum(operation.ended is not None for operation in operations)
        self._choices: list[_Choice[StateT]] = []
        self._tried: set[tuple[int, StateT]] = set()
        self._explained: tuple[int, ...] = ()
        self._stuck: tuple[int, ...] = ()

    def run(self, step_limit: int) -> Verdict:
        """Search until there is an order, or none can be."""
        phase, entry = _Phase.KEEPS_STATE, self._head.next
        for _ in range(step_limit):
            if not self._unexplained:
                return Linearizable(self._order())
            if entry.end is not None:
                chosen = self._choose(entry, phase)
                phase = _Phase.KEEPS_STATE if chosen else phase
                entry = self._head.next if chosen else entry.next
            elif phase is not _Phase.NEVER_ANSWERED:
                phase, entry = _Phase(phase + 1), self._head.next
            else:
                self._remember_stuck()
                undone = self._undo()
                if undone is None:
                    return NotLinearizable(self._explained, self._stuck)
                phase, entry = undone.phase, undone.entry.next
        return Undecided(step_limit)

    def _choose(self, entry: _Entry, phase: _Phase) -> bool:
        """Put an operation next in the order, if it is of the phase, its answer fits and this is new."""
        operation = self._operations[entry.index]
        if (operation.ended is None) != (phase is _Phase.NEVER_ANSWERED):
            return False
        state, answer = self._model.apply(self._state, operation.call)
        changes = state != self._state
        fits = operation.ended is None or answer == operation.answer
        if not fits or changes == (phase is _Phase.KEEPS_STATE):
            return False
        done = self._done | 1 << entry.index
        if (done, state) in self._tried:
            return False
        self._tried.add((done, state))
        self._choices.append(_Choice(entry, phase, self._state))
        self._state, self._done = state, done
        self._unexplained -= operation.ended is not None
        _take_out(entry)
        return True

    def _undo(self) -> _Choice[StateT] | None:
        """Take back the last choice that has an alternative, and return it."""
        while self._choices:
            choice = self._choices.pop()
            _put_back(choice.entry)
            self._state = choice.state
            self._done &= ~(1 << choice.entry.index)
            self._unexplained += self._operations[choice.entry.index].ended is not None
            if choice.phase is not _Phase.KEEPS_STATE:
                return choice
        return None

    def _order(self) -> tuple[int, ...]:
        return tuple(choice.entry.index for choice in self._choices)

    def _remember_stuck(self) -> None:
        if self._stuck and len(self._choices) <= len(self._explained):
            return
        self._explained = self._order()
        stuck = []
        entry = self._head.next
        while entry.end is not None:
            if self._operations[entry.index].ended is not None:
                stuck.append(entry.index)
            entry = entry.next
        self._stuck = tuple(stuck)


def _link(operations: Sequence[Operation[CallT, AnswerT]]) -> _Entry:
    """Return the head of a list of all begins and ends; what never ended ends after all else."""
    entries: list[tuple[float, _Entry]] = []
    for index, operation in enumerate(operations):
        end = _Entry(index, None)
        entries.append((operation.began, _Entry(index, end)))
        entries.append((float("inf") if operation.ended is None else operation.ended, end))
    head = last = _Entry(-1, None)
    for _, entry in sorted(entries, key=lambda pair: pair[0]):
        entry.insert_after(last)
        last = entry
    return head


def _take_out(begin: _Entry) -> None:
    assert begin.end is not None
    begin.remove()
    begin.end.remove()


def _put_back(begin: _Entry) -> None:
    assert begin.end is not None
    begin.end.restore()
    begin.restore()


def check_linearizable(
    model: SequentialModel[StateT, CallT, AnswerT],
    operations: Sequence[Operation[CallT, AnswerT]],
    step_limit: int = DEFAULT_STEP_LIMIT,
) -> Verdict:
    """Search for an order of the operations that explains every answer."""
    return _Search(model, operations).run(step_limit)


def describe(verdict: NotLinearizable, operations: Sequence[Operation[CallT, AnswerT]]) -> str:
    """Return one line: what was explained last, and what cannot come next."""
    last = operations[verdict.explained[-1]] if verdict.explained else None
    stuck = "; ".join(f"{operations[index].call} = {operations[index].answer}" for index in verdict.stuck)
    after = f"after {last.call} = {last.answer}" if last else "at the start"
    return f"not linearizable: {after}, none of these: {stuck}"
