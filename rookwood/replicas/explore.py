"""Explores the registers of a group exhaustively: three members, one key, an adversarial network.

The network is a set of messages that only grows: each may be delivered at any time, any number of times, or
never. At first `a` leads, or nobody; then `b` gets the leader's lease while `a` may still believe that it
leads. The third member may restart without its state at any step, and recovers. A leader claims the key if it
finds no claim, and settles it later; a claim that is committed counts as a run of the job.

The invariants: the job runs at most once; every later leader finds an acknowledged outcome; after a
reinitialization no key is claimed whose record may merely be missing.
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
CLAIMS, SETTLES = 1, 2  # tickets of the two kinds of writes


def _new() -> dict[str, bytes]:
    return {NEW: b"1"}


class InvariantError(Exception):
    """A state violates an invariant; `trace` lists the steps that lead there."""

    def __init__(self, why: str, trace: list[str]) -> None:
        super().__init__(f"{why} after: {' > '.join(trace)}")
        self.why, self.trace = why, trace


@dataclass(frozen=True, slots=True)
class Bounds:
    """What an exploration includes, and how far it goes."""

    tokens: tuple[Token, ...] = (Token(1, "a", 1), Token(2, "b", 1))
    restarts: int = 1  # of the third member
    settles: bool = False  # leaders settle their claims
    reinitializes: bool = False  # a member that takes over may reinitialize the group, once
    compares: int = 0  # times that a leader sends its digests
    starts_led: bool = True  # the holder of the first token leads from the start
    max_states: int = 400_000  # the exploration stops at this many states


@dataclass(frozen=True, slots=True)
class Report:
    """The size of an exploration."""

    states: int
    is_complete: bool  # all reachable states were visited
    led_states: int  # number of states in which some member leads
    seconds: float


Net = tuple[tuple[str, str, Message], ...]  # (sender, receiver, message) in the order of first sending


@dataclass(slots=True)
class State:
    """The members, the network, and what has happened so far."""

    nodes: dict[str, Group]
    net: Net = ()
    begun_tokens: frozenset[Token] = frozenset()  # tokens by which a takeover has begun
    claimed: frozenset[str] = frozenset()  # members that have requested the claim
    settled: frozenset[str] = frozenset()  # members that have requested to settle it
    runs: int = 0  # claims that were committed
    served: bool = False  # the outcome was committed
    restarts: int = 0
    reinitialized: int = 0
    compares: int = 0

    def frozen(self) -> tuple[Any, ...]:
        nodes = tuple(node.frozen() for node in self.nodes.values())
        ghosts = (
            self.begun_tokens,
            self.claimed,
            self.settled,
            self.runs,
            self.served,
            self.restarts,
            self.reinitialized,
        )
        return nodes, frozenset(self.net), ghosts, self.compares

    def copied(self, changes: str) -> State:
        """A copy for the next step, in which only the member `changes` is copied deeply."""
        nodes = dict(self.nodes)
        nodes[changes] = nodes[changes].copied()
        return State(
            nodes, self.net, self.begun_tokens, self.claimed, self.settled,
            self.runs, self.served, self.restarts, self.reinitialized, self.compares,
        )  # fmt: skip


@dataclass(slots=True)
class Explorer:
    """Visits the states breadth first and checks the invariants in each."""

    bounds: Bounds
    make: Callable[[str, int], Group] = lambda name, nonce: Group(name, MEMBERS, nonce, 1)
    _seen: dict[Any, tuple[Any, str] | None] = field(default_factory=dict)

    def explore(self) -> Report:
        began, led = time.perf_counter(), 0
        first = State({name: self.make(name, 0) for name in MEMBERS})
        for node in first.nodes.values():
            node.recovered = True
        if self.bounds.starts_led:
            self._complete_takeover(first, self.bounds.tokens[0])
        mark = first.frozen()
        self._seen[mark] = None
        queue = deque([(first, mark)])
        while queue and len(self._seen) < self.bounds.max_states:
            state, mark = queue.popleft()
            led += any(node.is_leader for node in state.nodes.values())
            for step, after in self._steps(state):
                found = after.frozen()
                if found not in self._seen:
                    self._seen[found] = (mark, step)
                    self._check(after, found)
                    queue.append((after, found))
        return Report(len(self._seen), not queue, led, time.perf_counter() - began)

    def _complete_takeover(self, state: State, token: Token) -> None:
        """Completes a takeover: delivers every message once and leaves none in the network."""
        mail = [(token.holder, to, m) for to, m in state.nodes[token.holder].lead(token)]
        while mail:
            sender, to, message = mail.pop(0)
            for name in [to] if to else [n for n in MEMBERS if n != sender]:
                mail += [(name, back, m) for back, m in state.nodes[name].receive(sender, message)]
        state.nodes[token.holder].finished.clear()
        state.begun_tokens |= {token}

    def _trace(self, mark: Any) -> list[str]:
        """The steps from the initial state to the state with this frozen form."""
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
            # A leader with an older token has not learned yet that it is deposed; its owner checks its lease
            # before each step.
            if node.is_leader and node.promised == latest and state.served and not found:
                raise InvariantError("an acknowledged outcome was lost", self._trace(mark))

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        for token in self.bounds.tokens:
            name = token.holder
            node = state.nodes[name]
            if token not in state.begun_tokens:
                if all(t in state.begun_tokens for t in self.bounds.tokens if t.holder == name and t < token):
                    after = state.copied(name)
                    after.begun_tokens |= {token}
                    yield f"{name} leads by {token.term}", self._call(after, name, "lead", token)
            elif (
                node.promised == token
                and not node.is_leader
                and self.bounds.reinitializes
                and not state.reinitialized
            ):
                after = state.copied(name)
                letters = after.nodes[name].reinitialize(token, _new)
                if letters:
                    after.reinitialized += 1
                    yield f"{name} founds", self._post(after, name, letters)
        for name, node in state.nodes.items():
            if (
                node.is_leader
                and name not in state.claimed
                and KEY not in node.entries
                and NEW not in node.entries
            ):
                after = state.copied(name)
                after.claimed |= {name}
                yield f"{name} claims", self._call(after, name, "put", {KEY: CLAIM}, CLAIMS)
            own_entry = node.entries.get(KEY)
            if (
                self.bounds.settles and node.is_leader and name not in state.settled and state.runs
                and own_entry and own_entry.stamp.token.holder == name and own_entry.value == CLAIM
                and not node.pending()
            ):  # fmt: skip
                after = state.copied(name)
                after.settled |= {name}
                yield f"{name} settles", self._call(after, name, "put", {KEY: SERVED}, SETTLES)
            if node.is_leader and state.compares < self.bounds.compares:
                after = state.copied(name)
                after.compares += 1
                yield f"{name} compares", self._call(after, name, "compare")
            if state.restarts < self.bounds.restarts and name == MEMBERS[2]:
                after = state.copied(name)
                after.restarts += 1
                after.nodes[name] = self.make(name, 10 * after.restarts)
                yield f"{name} forgets", after
            if not node.recovered:
                yield f"{name} recovers", self._call(state.copied(name), name, "again")
        for sender, to, message in state.net:
            after = state.copied(to)
            letters = after.nodes[to].receive(sender, message)
            yield f"{sender}>{to} {type(message).__name__.lower()}", self._post(after, to, letters)

    def _call(self, state: State, name: str, method: str, *arguments: Any) -> State:
        """Calls a method of one member and posts the letters that it returns."""
        return self._post(state, name, getattr(state.nodes[name], method)(*arguments))

    def _post(self, state: State, sender: str, letters: list[Letter]) -> State:
        """Adds letters to the network, and counts the writes of the sender that are committed."""
        for to, message in letters:
            posts = [(sender, name, message) for name in ([to] if to else MEMBERS) if name != sender]
            state.net += tuple(post for post in posts if post not in state.net)
        node = state.nodes[sender]
        for ticket, committed in node.finished:
            state.runs += committed and ticket == CLAIMS
            state.served = state.served or (committed and ticket == SETTLES)
        node.finished.clear()
        return state


# ---- mutants: the exploration must find a violation in each ----


@dataclass(frozen=True, slots=True)
class Mutant:
    """A faulty `Group`, and bounds within which the fault shows."""

    make: Callable[[str, int], Group]
    bounds: Bounds


def _variant(**methods: Callable[..., Any]) -> Callable[[str, int], Group]:
    kind = type("Variant", (Group,), methods)
    return lambda name, nonce: kind(name, MEMBERS, nonce, buckets=1)


def _ack_before_recovery(self: Group, sender: str, write: group.Write) -> list[Letter]:
    """A member that has not recovered acknowledges writes."""
    recovered, self.recovered = self.recovered, True
    letters = Group._handle_write(self, sender, write)
    self.recovered = recovered
    return letters


def _commit_at_once(self: Group, number: int) -> None:
    pending = self._pending[number]
    pending.acks |= {name: set(range(len(pending.writes))) for name in MEMBERS}
    Group._check_majority(self, number)


def _read_minority(self: Group, token: Token) -> list[Letter]:
    takeover = self._takeover
    if takeover is None or takeover.reading:
        return []
    takeover.reading = {self.me}
    return self._confirm_takeover()


def _read_unrecovered(self: Group, token: Token) -> list[Letter]:
    """Reads from any member that responds, recovered or not."""
    if self._takeover:
        for name, promise in self._takeover.promises.items():
            self._takeover.promises[name] = group.Promise(promise.token, True, promise.digests)
    return Group._read_majority(self, token)


def _overwrite_newer(self: Group, entries: Any) -> None:
    for entry in entries:
        self._registers.put(entry)


def _accept_older_token(self: Group, sender: str, write: group.Write) -> list[Letter]:
    promised = self.promised
    if write.token < promised:
        self.promised = write.token
    letters = Group._handle_write(self, sender, write)
    self.promised = max(promised, write.token)
    return letters


def _recovered_at_start(self: Group) -> list[Letter]:
    self.recovered = True
    return []


def _ack_without_storing(self: Group, sender: str, write: group.Write) -> list[Letter]:
    """Acknowledges a write without storing it, as if a later copy of the leader's state would include it."""
    if write.token < self.promised or not self.recovered:
        return Group._handle_write(self, sender, write)
    kept = self._registers.copied()
    letters = Group._handle_write(self, sender, write)
    self._registers = kept
    return letters


def _no_confirm(self: Group) -> list[Letter]:
    takeover = self._takeover
    if takeover is None or not takeover.reading or takeover.missing_buckets:
        return []
    self.recovered, self._recovering, self._takeover, self.is_leader = True, None, None, True
    return []


def _reinitialize_without_values(self: Group, token: Token, values: Any) -> list[Letter]:
    return Group.reinitialize(self, token, dict)


SCENARIOS = {
    "b takes over": Bounds(restarts=0),
    "b takes over, with an outcome": Bounds(restarts=0, settles=True),
    "no leader at the start": Bounds(restarts=0, starts_led=False),
    "a leader sends its digests": Bounds(restarts=0, compares=1),
    "c restarts": Bounds(),
    "c restarts, a reinitialization": Bounds(reinitializes=True),
}
SETTLED = Bounds(restarts=0, settles=True)
MUTANTS = {
    "a claim is committed without a majority": Mutant(
        _variant(_check_majority=_commit_at_once), Bounds(restarts=0)
    ),
    "a member that has not recovered acknowledges": Mutant(
        _variant(_handle_write=_ack_before_recovery, _read_majority=_read_unrecovered), Bounds()
    ),
    "a minority is read": Mutant(_variant(_read_majority=_read_minority), Bounds(restarts=0)),
    "a member that has not recovered is read": Mutant(_variant(_read_majority=_read_unrecovered), Bounds()),
    "copying overwrites a newer entry": Mutant(_variant(_merge=_overwrite_newer), SETTLED),
    "a write with an older token is accepted": Mutant(
        _variant(_handle_write=_accept_older_token), Bounds(restarts=0)
    ),
    "a restarted member counts at once": Mutant(_variant(_recover=_recovered_at_start), Bounds()),
    "a write is acknowledged and not stored": Mutant(
        _variant(_handle_write=_ack_without_storing), Bounds(restarts=0)
    ),
    "a reinitialization is not recorded": Mutant(
        _variant(reinitialize=_reinitialize_without_values), Bounds(reinitializes=True)
    ),
}
