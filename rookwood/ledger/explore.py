"""Explores the ledger exhaustively: two dispatchers, one key, a client that asks both, and a store that lies.

At every step the store may lose its last change, go back to its beginning or be empty, on another server (a
fail-over, a restart from an old file); a reply may be lost after its step was taken; a dispatcher may die and
come back with nothing; time goes on in ticks. The steps are those of `life` and `watch`, unchanged. What must
hold: the job runs at most once. The client stops asking when the window is over, which the window is set for.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta

from rookwood.ledger import life, watch
from rookwood.ledger.life import Ask, Phase, Record, Said, Verdict
from rookwood.ledger.watch import History, Mark, Member, Watch

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
TICK = timedelta(seconds=1)
LEASE, RUNS, KEPT = TICK, 2 * TICK, 20 * TICK
LAST = 4  # ticks that are explored
WINDOW = LAST * TICK  # a client may ask for as long as that
TIER = ("a", "b")


def at(tick: int) -> datetime:
    return ZERO + tick * TICK


@dataclass(frozen=True, slots=True)
class Store:
    record: Record | None
    mark: Mark | None
    members: frozenset[Member] = frozenset()


@dataclass(frozen=True, slots=True)
class Node:
    """One dispatcher."""

    generation: str = "g0"
    count: int = 0
    since: int = -100  # the tick at which this life began
    lives: int = 0
    claim: Record | None = None  # what it holds or has settled: it can write that again
    asking: int = 0  # tries that it has made, for nonces
    stage: str = "idle"  # idle, held, running, done


@dataclass(frozen=True, slots=True)
class State:
    now: int
    store: Store
    server: int  # counts fail-overs
    before: Store  # as the store was before its last change
    nodes: tuple[Node, Node]
    spends: int = 0


@dataclass(frozen=True, slots=True)
class Rules:
    """What is explored; a mutant replaces one of them."""

    claim: Callable[..., tuple[Record | None, Said]] = life.claim
    judge: Callable[[Watch, str, Mark], History] = Watch.judge
    trusts: Callable[..., bool] = watch.trusts
    claims_first: bool = True


class SpentTwiceError(Exception):
    def __init__(self, trace: list[str]) -> None:
        super().__init__(" > ".join(trace))
        self.trace = trace


def first() -> State:
    members = frozenset(Member(name, at(-100)) for name in TIER)
    store = Store(None, Mark("g0", "s0", 0, at(-50), trusted=True), members)
    return State(0, store, 0, store, (Node(), Node()))


class Explorer:
    def __init__(self, rules: Rules, faults: int, deaths: int) -> None:
        self._rules, self._faults, self._deaths = rules, faults, deaths

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.now < LAST:
            yield "tick", replace(state, now=state.now + 1)
        if state.server < self._faults:
            for store in {state.before, first().store, Store(None, None)}:
                what = "store empty" if store.mark is None else "store goes back"
                yield what, replace(state, store=store, before=store, server=state.server + 1)
        for n, node in enumerate(state.nodes):
            yield from ((f"{TIER[n]} {what}", after) for what, after in self._node(state, n, node))

    def _with(self, state: State, n: int, node: Node, store: Store | None = None, spends: int = 0) -> State:
        nodes = (node, state.nodes[1]) if n == 0 else (state.nodes[0], node)
        store = store or state.store
        before = state.before if store == state.store else state.store
        return replace(state, nodes=nodes, store=store, before=before, spends=state.spends + spends)

    def _node(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        if node.lives < self._deaths:
            yield "dies", self._with(state, n, Node(generation="", since=state.now, lives=node.lives + 1))
        if node.stage == "idle" and node.asking < 1 and state.now < LAST:
            yield from self._claims(state, n, node)
        if node.stage == "held" and node.claim and at(state.now) < node.claim.lease_until:
            yield "sends", self._with(state, n, replace(node, stage="running"), spends=1)
            yield from self._releases(state, n, node)
        if node.stage == "running":
            yield from self._settles(state, n, node)
        if node.claim and node.stage in ("held", "running"):
            yield from self._renews(state, n, node)
        yield from self._watches(state, n, node)

    def _judged(self, state: State, node: Node) -> History:
        mark = state.store.mark or Mark("", "", 0, ZERO)
        return self._rules.judge(Watch(node.generation, node.count), f"s{state.server}", mark)

    def _watches(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        """Any reply tells of the store's history; what is to be done about it is one atomic step there."""
        history, store, now = self._judged(state, node), state.store, at(state.now)
        if history is History.SAME:
            return
        if history is History.BROKEN:
            name = f"g{state.server}{TIER[n]}"
            mark = watch.new_mark(store.mark, name, f"s{state.server}", node.count, now)
            store = Store(store.record, mark, frozenset())
        assert store.mark
        record = store.record
        if node.claim and (record is None or record.token < node.claim.token):
            record = node.claim  # written again, as it is known here
        me = Member(TIER[n], at(node.since))
        members = frozenset(m for m in store.members if m.name != me.name) | {me}
        after = Store(record, store.mark, members)
        yield (
            "joins",
            self._with(
                state, n, replace(node, generation=store.mark.generation, count=store.mark.count), after
            ),
        )

    def _claims(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        node = replace(node, asking=node.asking + 1)
        if not self._rules.claims_first:
            yield "sends unclaimed", self._with(state, n, replace(node, stage="running"), spends=1)
            return
        if self._judged(state, node) is not History.SAME:
            return  # the claim is asked for again once it has joined
        store, now = state.store, at(state.now)
        assert store.mark
        ask = Ask("k", "f", f"{TIER[n]}{node.lives}{node.asking}", LEASE, RUNS, KEPT)
        members = {m.name: m for m in store.members}
        if life.live(store.record, now) is None and not self._rules.trusts(
            store.mark, members, len(TIER), WINDOW, now
        ):
            return
        token = store.mark.count + 1
        record, said = self._rules.claim(store.record, ask, token, now)
        fresh = record is not None and record.nonce == ask.nonce
        mark = replace(store.mark, count=token) if fresh else store.mark
        after = Store(record, mark, store.members)
        if said.verdict is not Verdict.GRANTED:
            yield f"is told {said.verdict.value}", self._with(state, n, replace(node, stage="done"), after)
            return
        yield "claims, no reply", self._with(state, n, replace(node, stage="done"), after)
        held = replace(node, stage="held", claim=record, count=mark.count)
        yield "claims", self._with(state, n, held, after)

    def _renews(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        assert node.claim
        if self._judged(state, node) is not History.SAME:
            return
        record, mine = life.renew(state.store.record, node.claim.token, LEASE, at(state.now))
        if mine and record != state.store.record:
            store = replace(state.store, record=record)
            yield "renews", self._with(state, n, replace(node, claim=record), store)

    def _releases(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        assert node.claim
        if self._judged(state, node) is not History.SAME:
            return
        record, _ = life.release(state.store.record, node.claim.token, at(state.now))
        store = replace(state.store, record=record)
        yield "releases", self._with(state, n, replace(node, stage="done", claim=None), store)

    def _settles(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        if not node.claim or self._judged(state, node) is not History.SAME:
            return
        record, _ = life.settle(state.store.record, node.claim.token, Phase.SERVED, b"x", at(state.now))
        claim = replace(node.claim, phase=Phase.SERVED, result=b"x")
        store = replace(state.store, record=record)
        yield "settles", self._with(state, n, replace(node, stage="done", claim=claim), store)


@dataclass(frozen=True, slots=True)
class Report:
    states: int
    seconds: float


def explore(rules: Rules | None = None, faults: int = 1, deaths: int = 1) -> Report:
    """Raises `SpentTwiceError` with a shortest trace."""
    began, explorer = time.perf_counter(), Explorer(rules or Rules(), faults, deaths)
    start = first()
    found: dict[State, tuple[State | None, str]] = {start: (None, "")}
    todo = deque([start])
    while todo:
        state = todo.popleft()
        for name, after in explorer.steps(state):
            if after in found:
                continue
            found[after] = (state, name)
            if after.spends > 1:
                trace, here = list[str](), after
                while (parent := found[here])[0] is not None:
                    trace.append(parent[1])
                    assert parent[0]
                    here = parent[0]
                raise SpentTwiceError(trace[::-1])
            todo.append(after)
    return Report(len(found), time.perf_counter() - began)


# ---- mutants, each of which must be caught ----


def frees_what_lapsed(
    record: Record | None, ask: Ask, token: int, now: datetime
) -> tuple[Record | None, Said]:
    """A lease that has run out frees the key, as a lock would."""
    if record and record.phase is Phase.CLAIMED and now >= record.lease_until:
        record = None
    return life.claim(record, ask, token, now)


def believes_any_history(seen: Watch, run_id: str, mark: Mark) -> History:
    """A store that has gone back in time is not noticed."""
    return History.SAME if mark.generation else History.BROKEN


def trusts_at_once(*_: object) -> bool:
    """A key without a record is free in a new history too."""
    return True


def takes_any_word(
    mark: Mark, members: dict[str, Member], tier: int, window: timedelta, now: datetime
) -> bool:
    """Who has only just started vouches for the window too."""
    whole = {name: replace(m, alive_since=mark.began - window) for name, m in members.items()}
    return watch.trusts(mark, whole, tier, window, now)


MUTANTS = {
    "claims after sending": Rules(claims_first=False),
    "frees what lapsed": Rules(claim=frees_what_lapsed),
    "believes any history": Rules(judge=believes_any_history),
    "trusts at once": Rules(trusts=trusts_at_once),
    "takes any word": Rules(trusts=takes_any_word),
}
