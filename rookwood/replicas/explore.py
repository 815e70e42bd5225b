"""Explores the registers of a group exhaustively: three members, one key, the worst network.

The network is a set of messages that only grows: each may be delivered at any time, any number of times, or
never. `a` leads at first, or nobody; then `b` holds the duty of leading, while `a` may go on believing that
it does. A third member starts anew with everything forgotten, at any step, and recovers. Whoever leads claims
the key if it finds none, and settles it later; a claim that counts is a run.

What must hold in every state: the key is run once at most; an outcome that was acknowledged is what every
leader finds from then on; after a new beginning nothing is claimed that may only be missing.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from rookwood.duties.lease import Token
from rookwood.replicas import group
from rookwood.replicas.group import Group, Letter, Message

MEMBERS = ("a", "b", "c")
KEY, NEW, CLAIM, SERVED = "k", "new", b"claim", b"served"
CLAIMS, SETTLES = 1, 2  # tickets


def _new() -> dict[str, bytes]:
    return {NEW: b"1"}


class InvariantError(Exception):
    def __init__(self, why: str, trace: list[str]) -> None:
        super().__init__(f"{why} after: {' > '.join(trace)}")
        self.why, self.trace = why, trace


@dataclass(frozen=True, slots=True)
class Bounds:
    tokens: tuple[Token, ...] = (Token(1, "a", 1), Token(2, "b", 1))
    restarts: int = 1
    settles: bool = False
    foundings: bool = False
    compares: int = 0  # times that a leader tells what it has
    led: bool = True  # by the first token, from the start
    most: int = 400_000  # states, then it ends


@dataclass(frozen=True, slots=True)
class Report:
    states: int
    whole: bool  # all of them: the bound was not met
    led: int  # states in which somebody leads
    seconds: float


Net = tuple[tuple[str, str, Message], ...]  # in the order in which they were first sent


@dataclass(slots=True)
class State:
    nodes: dict[str, Group]
    net: Net = ()
    asked: frozenset[Token] = frozenset()  # duties that were begun
    claimed: frozenset[str] = frozenset()  # who asked for the claim
    settled: frozenset[str] = frozenset()
    runs: int = 0
    served: bool = False  # acknowledged
    restarts: int = 0
    founded: int = 0
    compares: int = 0

    def frozen(self) -> tuple[Any, ...]:
        nodes = tuple(node.frozen() for node in self.nodes.values())
        ghosts = (self.asked, self.claimed, self.settled, self.runs, self.served, self.restarts, self.founded)
        return nodes, frozenset(self.net), ghosts, self.compares

    def copied(self, changes: str) -> State:
        """With a copy of the one member that will change."""
        nodes = dict(self.nodes)
        nodes[changes] = nodes[changes].copied()
        return State(
            nodes, self.net, self.asked, self.claimed, self.settled,
            self.runs, self.served, self.restarts, self.founded, self.compares,
        )  # fmt: skip


@dataclass(slots=True)
class Explorer:
    bounds: Bounds
    make: Callable[[str, int], Group] = lambda name, nonce: Group(name, MEMBERS, nonce, 1)
    _seen: dict[Any, tuple[Any, str] | None] = field(default_factory=dict)

    def explore(self) -> Report:
        began, led = time.perf_counter(), 0
        first = State({name: self.make(name, 0) for name in MEMBERS})
        for node in first.nodes.values():
            node.whole = True
        if self.bounds.led:
            self._leads(first, self.bounds.tokens[0])
        mark = first.frozen()
        self._seen[mark] = None
        queue = deque([(first, mark)])
        while queue and len(self._seen) < self.bounds.most:
            state, mark = queue.popleft()
            led += any(node.leads for node in state.nodes.values())
            for step, after in self._steps(state):
                found = after.frozen()
                if found not in self._seen:
                    self._seen[found] = (mark, step)
                    self._check(after, found)
                    queue.append((after, found))
        return Report(len(self._seen), not queue, led, time.perf_counter() - began)

    def _leads(self, state: State, token: Token) -> None:
        """All are heard, each once; what was said is over."""
        mail = [(token.holder, to, m) for to, m in state.nodes[token.holder].lead(token)]
        while mail:
            sender, to, message = mail.pop(0)
            for name in [to] if to else [n for n in MEMBERS if n != sender]:
                mail += [(name, back, m) for back, m in state.nodes[name].heard(sender, message)]
        state.nodes[token.holder].done.clear()
        state.asked |= {token}

    def _trace(self, mark: Any) -> list[str]:
        steps = []
        while entry := self._seen[mark]:
            mark, step = entry
            steps.append(step)
        return steps[::-1]

    def _check(self, state: State, mark: Any) -> None:
        if state.runs > 1:
            raise InvariantError("run twice", self._trace(mark))
        latest = max(node.promised for node in state.nodes.values())
        for node in state.nodes.values():
            entry = node.entries.get(KEY)
            found = NEW in node.entries or (entry is not None and entry.value == SERVED)
            # One that leads by an older token has not heard yet that it does not; its owner asks its lease.
            if node.leads and node.promised == latest and state.served and not found:
                raise InvariantError("an acknowledged outcome was lost", self._trace(mark))

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        for token in self.bounds.tokens:
            name = token.holder
            node = state.nodes[name]
            if token not in state.asked:
                if all(t in state.asked for t in self.bounds.tokens if t.holder == name and t < token):
                    after = state.copied(name)
                    after.asked |= {token}
                    yield f"{name} leads by {token.term}", self._sent(after, name, "lead", token)
            elif node.promised == token and not node.leads and self.bounds.foundings and not state.founded:
                after = state.copied(name)
                letters = after.nodes[name].found(token, _new)
                if letters:
                    after.founded += 1
                    yield f"{name} founds", self._posted(after, name, letters)
        for name, node in state.nodes.items():
            if (
                node.leads
                and name not in state.claimed
                and KEY not in node.entries
                and NEW not in node.entries
            ):
                after = state.copied(name)
                after.claimed |= {name}
                yield f"{name} claims", self._sent(after, name, "put", {KEY: CLAIM}, CLAIMS)
            mine = node.entries.get(KEY)
            if (
                self.bounds.settles and node.leads and name not in state.settled and state.runs
                and mine and mine.stamp.token.holder == name and mine.value == CLAIM and not node.pending()
            ):  # fmt: skip
                after = state.copied(name)
                after.settled |= {name}
                yield f"{name} settles", self._sent(after, name, "put", {KEY: SERVED}, SETTLES)
            if node.leads and state.compares < self.bounds.compares:
                after = state.copied(name)
                after.compares += 1
                yield f"{name} compares", self._sent(after, name, "compare")
            if state.restarts < self.bounds.restarts and name == MEMBERS[2]:
                after = state.copied(name)
                after.restarts += 1
                after.nodes[name] = self.make(name, 10 * after.restarts)
                yield f"{name} forgets", after
            if not node.whole:
                yield f"{name} recovers", self._sent(state.copied(name), name, "again")
        for sender, to, message in state.net:
            after = state.copied(to)
            letters = after.nodes[to].heard(sender, message)
            yield f"{sender}>{to} {type(message).__name__.lower()}", self._posted(after, to, letters)

    def _sent(self, state: State, name: str, what: str, *arguments: Any) -> State:
        return self._posted(state, name, getattr(state.nodes[name], what)(*arguments))

    def _posted(self, state: State, sender: str, letters: list[Letter]) -> State:
        for to, message in letters:
            posts = [(sender, name, message) for name in ([to] if to else MEMBERS) if name != sender]
            state.net += tuple(post for post in posts if post not in state.net)
        node = state.nodes[sender]
        for ticket, counts in node.done:
            state.runs += counts and ticket == CLAIMS
            state.served = state.served or (counts and ticket == SETTLES)
        node.done.clear()
        return state


# ---- broken variants ----


@dataclass(frozen=True, slots=True)
class Mutant:
    make: Callable[[str, int], Group]
    bounds: Bounds


def _variant(**methods: Callable[..., Any]) -> Callable[[str, int], Group]:
    kind = type("Variant", (Group,), methods)
    return lambda name, nonce: kind(name, MEMBERS, nonce, buckets=1)


def _ack_forgetful(self: Group, sender: str, write: group.Write) -> list[Letter]:
    """The forgetful counts."""
    whole, self.whole = self.whole, True
    letters = Group._written(self, sender, write)
    self.whole = whole
    return letters


def _at_once(self: Group, number: int) -> None:
    pending = self._pending[number]
    pending.acks |= {name: set(range(len(pending.writes))) for name in MEMBERS}
    Group._counted(self, number)


def _read_minority(self: Group, token: Token) -> list[Letter]:
    take = self._takeover
    if take is None or take.reading:
        return []
    take.reading = {self.me}
    return self._confirm()


def _read_anyone(self: Group, token: Token) -> list[Letter]:
    """Whoever answers is read, whole or not."""
    if self._takeover:
        for name, promise in self._takeover.promises.items():
            self._takeover.promises[name] = group.Promise(promise.token, True, promise.digests)
    return Group._read(self, token)


def _overwrites(self: Group, entries: Any) -> None:
    for entry in entries:
        self._kept.put(entry)


def _takes_older(self: Group, sender: str, write: group.Write) -> list[Letter]:
    promised = self.promised
    if write.token < promised:
        self.promised = write.token
    letters = Group._written(self, sender, write)
    self.promised = max(promised, write.token)
    return letters


def _whole_at_start(self: Group) -> list[Letter]:
    self.whole = True
    return []


def _no_tail(self: Group, sender: str, write: group.Write) -> list[Letter]:
    """Acknowledges a write without taking it, as one that trusts the snapshot to come would."""
    if write.token < self.promised or not self.whole:
        return Group._written(self, sender, write)
    kept = self._kept.copied()
    letters = Group._written(self, sender, write)
    self._kept = kept
    return letters


def _no_confirm(self: Group) -> list[Letter]:
    take = self._takeover
    if take is None or not take.reading or take.wanted:
        return []
    self.whole, self._recovering, self._takeover, self.leads = True, None, None, True
    return []


def _old_beginning(self: Group, token: Token, values: Any) -> list[Letter]:
    return Group.found(self, token, dict)


PARTS = {
    "b takes over": Bounds(restarts=0),
    "b takes over, an outcome": Bounds(restarts=0, settles=True),
    "both from the start": Bounds(restarts=0, led=False),
    "what was missed is found": Bounds(restarts=0, compares=1),
    "c forgets": Bounds(),
    "c forgets, a new beginning": Bounds(foundings=True),
}
SETTLED = Bounds(restarts=0, settles=True)
MUTANTS = {
    "a claim counts before a majority has it": Mutant(_variant(_counted=_at_once), Bounds(restarts=0)),
    "the forgetful is counted": Mutant(_variant(_written=_ack_forgetful, _read=_read_anyone), Bounds()),
    "a minority is read": Mutant(_variant(_read=_read_minority), Bounds(restarts=0)),
    "the forgetful is read": Mutant(_variant(_read=_read_anyone), Bounds()),
    "catching up overwrites what is newer": Mutant(_variant(_take=_overwrites), SETTLED),
    "a write by an older token is taken": Mutant(_variant(_written=_takes_older), Bounds(restarts=0)),
    "who has started counts at once": Mutant(_variant(_recover=_whole_at_start), Bounds()),
    "a write is acknowledged and not kept": Mutant(_variant(_written=_no_tail), Bounds(restarts=0)),
    "a new beginning does not say so": Mutant(_variant(found=_old_beginning), Bounds(foundings=True)),
}
