"""Explores the ledger exhaustively: two dispatchers, one key, a client that sends to both, a faulty store.

At every step the store may lose its last change, return to its initial state or become empty, each time on
another server (a fail-over, or a restart from an old file). A reply may be lost after its step was applied.
A dispatcher may die and restart without its state. Time advances in ticks. The steps are those of `life` and
`watch`, unchanged. The invariant is that the job runs at most once. The client stops retrying at the end of
the window; the window is chosen to cover every retry.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta

from rookwood.ledger import life, watch
from rookwood.ledger.life import ClaimRequest, ClaimResult, Phase, Record, Verdict
from rookwood.ledger.watch import History, KnownHistory, Mark, Member

START = datetime(2026, 1, 1, tzinfo=UTC)
TICK = timedelta(seconds=1)
LEASE, RUN_TIME, RETENTION = TICK, 2 * TICK, 20 * TICK
LAST_TICK = 4  # the exploration ends at this tick
WINDOW = LAST_TICK * TICK  # a client may retry for this long
DISPATCHERS = ("a", "b")


def at(tick: int) -> datetime:
    return START + tick * TICK


@dataclass(frozen=True, slots=True)
class Store:
    """The state of the store: the key's record, the history's mark and the members that vouch."""

    record: Record | None
    mark: Mark | None
    members: frozenset[Member] = frozenset()


@dataclass(frozen=True, slots=True)
class Node:
    """One dispatcher: the history it knows, its claim and how far its request has come."""

    generation: str = "g0"
    count: int = 0
    since: int = -100  # the tick at which this process started
    restarts: int = 0
    claim: Record | None = None  # the claim that it holds or has settled, and can write to the store again
    claim_attempts: int = 0  # claims requested so far; part of the nonce
    stage: str = "idle"  # idle, held, running, done


@dataclass(frozen=True, slots=True)
class State:
    """The whole system at one tick."""

    now: int
    store: Store
    server: int  # number of fail-overs; stands for the server's run id
    before: Store  # the store before its last change
    nodes: tuple[Node, Node]
    runs: int = 0  # times that the job was sent to a worker


@dataclass(frozen=True, slots=True)
class Rules:
    """The functions under test; a mutant replaces one of them."""

    claim: Callable[..., tuple[Record | None, ClaimResult]] = life.claim
    compare_history: Callable[[KnownHistory, str, Mark], History] = KnownHistory.compare
    is_absent_key_free: Callable[..., bool] = watch.is_absent_key_free
    claims_first: bool = True


class InvariantError(Exception):
    """The job ran twice; `trace` lists the steps that lead there."""

    def __init__(self, trace: list[str]) -> None:
        super().__init__(" > ".join(trace))
        self.trace = trace


def initial_state() -> State:
    members = frozenset(Member(name, at(-100)) for name in DISPATCHERS)
    store = Store(None, Mark("g0", "s0", 0, at(-50), trusted=True), members)
    return State(0, store, 0, store, (Node(), Node()))


class Explorer:
    """Enumerates the steps that are possible in a state."""

    def __init__(self, rules: Rules, faults: int, deaths: int) -> None:
        self._rules, self._faults, self._deaths = rules, faults, deaths

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.now < LAST_TICK:
            yield "tick", replace(state, now=state.now + 1)
        if state.server < self._faults:
            for store in {state.before, initial_state().store, Store(None, None)}:
                step = "store empty" if store.mark is None else "store goes back"
                yield step, replace(state, store=store, before=store, server=state.server + 1)
        for n, node in enumerate(state.nodes):
            yield from (
                (f"{DISPATCHERS[n]} {step}", after) for step, after in self._node_steps(state, n, node)
            )

    def _replace_node(
        self, state: State, n: int, node: Node, store: Store | None = None, new_runs: int = 0
    ) -> State:
        nodes = (node, state.nodes[1]) if n == 0 else (state.nodes[0], node)
        store = store or state.store
        before = state.before if store == state.store else state.store
        return replace(state, nodes=nodes, store=store, before=before, runs=state.runs + new_runs)

    def _node_steps(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        if node.restarts < self._deaths:
            yield (
                "dies",
                self._replace_node(
                    state, n, Node(generation="", since=state.now, restarts=node.restarts + 1)
                ),
            )
        if node.stage == "idle" and node.claim_attempts < 1 and state.now < LAST_TICK:
            yield from self._claim_steps(state, n, node)
        if node.stage == "held" and node.claim and at(state.now) < node.claim.lease_until:
            yield "sends", self._replace_node(state, n, replace(node, stage="running"), new_runs=1)
            yield from self._release_steps(state, n, node)
        if node.stage == "running":
            yield from self._settle_steps(state, n, node)
        if node.claim and node.stage in ("held", "running"):
            yield from self._renew_steps(state, n, node)
        yield from self._join_steps(state, n, node)

    def _compare_history(self, state: State, node: Node) -> History:
        mark = state.store.mark or Mark("", "", 0, START)
        return self._rules.compare_history(
            KnownHistory(node.generation, node.count), f"s{state.server}", mark
        )

    def _join_steps(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        """Joins the store's history, after beginning a new one where it is broken.

        Every reply carries the history, so this may happen at any time. It is one atomic step of the store.
        """
        history, store, now = self._compare_history(state, node), state.store, at(state.now)
        if history is History.SAME:
            return
        if history is History.BROKEN:
            name = f"g{state.server}{DISPATCHERS[n]}"
            mark = watch.new_mark(store.mark, name, f"s{state.server}", node.count, now)
            store = Store(store.record, mark, frozenset())
        assert store.mark
        record = store.record
        if node.claim and (record is None or record.token < node.claim.token):
            record = node.claim  # the store has lost it, so this dispatcher writes it again
        me = Member(DISPATCHERS[n], at(node.since))
        members = frozenset(m for m in store.members if m.name != me.name) | {me}
        after = Store(record, store.mark, members)
        yield (
            "joins",
            self._replace_node(
                state, n, replace(node, generation=store.mark.generation, count=store.mark.count), after
            ),
        )

    def _claim_steps(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        node = replace(node, claim_attempts=node.claim_attempts + 1)
        if not self._rules.claims_first:
            yield "sends unclaimed", self._replace_node(state, n, replace(node, stage="running"), new_runs=1)
            return
        if self._compare_history(state, node) is not History.SAME:
            return  # the dispatcher joins the history first and then requests the claim again
        store, now = state.store, at(state.now)
        assert store.mark
        claim_request = ClaimRequest(
            "k", "f", f"{DISPATCHERS[n]}{node.restarts}{node.claim_attempts}", LEASE, RUN_TIME, RETENTION
        )
        members = {m.name: m for m in store.members}
        if life.unexpired(store.record, now) is None and not self._rules.is_absent_key_free(
            store.mark, members, len(DISPATCHERS), WINDOW, now
        ):
            return
        token = store.mark.count + 1
        record, result = self._rules.claim(store.record, claim_request, token, now)
        is_new = record is not None and record.nonce == claim_request.nonce
        mark = replace(store.mark, count=token) if is_new else store.mark
        after = Store(record, mark, store.members)
        if result.verdict is not Verdict.GRANTED:
            yield (
                f"is told {result.verdict.value}",
                self._replace_node(state, n, replace(node, stage="done"), after),
            )
            return
        yield "claims, no reply", self._replace_node(state, n, replace(node, stage="done"), after)
        held = replace(node, stage="held", claim=record, count=mark.count)
        yield "claims", self._replace_node(state, n, held, after)

    def _renew_steps(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        assert node.claim
        if self._compare_history(state, node) is not History.SAME:
            return
        record, is_held = life.renew(state.store.record, node.claim.token, LEASE, at(state.now))
        if is_held and record != state.store.record:
            store = replace(state.store, record=record)
            yield "renews", self._replace_node(state, n, replace(node, claim=record), store)

    def _release_steps(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        assert node.claim
        if self._compare_history(state, node) is not History.SAME:
            return
        record, _ = life.release(state.store.record, node.claim.token, at(state.now))
        store = replace(state.store, record=record)
        yield "releases", self._replace_node(state, n, replace(node, stage="done", claim=None), store)

    def _settle_steps(self, state: State, n: int, node: Node) -> Iterator[tuple[str, State]]:
        if not node.claim or self._compare_history(state, node) is not History.SAME:
            return
        record, _ = life.settle(state.store.record, node.claim.token, Phase.SERVED, b"x", at(state.now))
        claim = replace(node.claim, phase=Phase.SERVED, result=b"x")
        store = replace(state.store, record=record)
        yield "settles", self._replace_node(state, n, replace(node, stage="done", claim=claim), store)


@dataclass(frozen=True, slots=True)
class Report:
    """Number of distinct states visited, and the time it took."""

    states: int
    seconds: float


def explore(rules: Rules | None = None, faults: int = 1, deaths: int = 1) -> Report:
    """Visits every reachable state, breadth first. Raises `InvariantError` with a shortest trace."""
    began, explorer = time.perf_counter(), Explorer(rules or Rules(), faults, deaths)
    start = initial_state()
    found: dict[State, tuple[State | None, str]] = {start: (None, "")}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        for name, after in explorer.steps(state):
            if after in found:
                continue
            found[after] = (state, name)
            if after.runs > 1:
                trace, current = list[str](), after
                while (parent := found[current])[0] is not None:
                    trace.append(parent[1])
                    assert parent[0]
                    current = parent[0]
                raise InvariantError(trace[::-1])
            queue.append(after)
    return Report(len(found), time.perf_counter() - began)


# ---- mutants: the exploration must find a violation in each ----


def free_lapsed_claim(
    record: Record | None, claim_request: ClaimRequest, token: int, now: datetime
) -> tuple[Record | None, ClaimResult]:
    """An expired lease frees the key, as that of a lock would."""
    if record and record.phase is Phase.CLAIMED and now >= record.lease_until:
        record = None
    return life.claim(record, claim_request, token, now)


def accept_any_history(history: KnownHistory, run_id: str, mark: Mark) -> History:
    """Does not notice a store that has gone back in time."""
    return History.SAME if mark.generation else History.BROKEN


def trust_new_history_at_once(*_: object) -> bool:
    """Takes a key without a record for free in a new history too."""
    return True


def accept_any_vouching(
    mark: Mark, members: dict[str, Member], dispatchers: int, window: timedelta, now: datetime
) -> bool:
    """Counts a member that has only just started as one that vouches for the window."""
    vouching = {name: replace(m, alive_since=mark.began - window) for name, m in members.items()}
    return watch.is_absent_key_free(mark, vouching, dispatchers, window, now)


MUTANTS = {
    "claims after sending": Rules(claims_first=False),
    "frees an expired claim": Rules(claim=free_lapsed_claim),
    "accepts any history": Rules(compare_history=accept_any_history),
    "trusts a new history at once": Rules(is_absent_key_free=trust_new_history_at_once),
    "accepts any vouching": Rules(is_absent_key_free=accept_any_vouching),
}
