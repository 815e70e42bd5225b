"""Explores the leases of a duty exhaustively, with three members and an adversarial network.

It runs the functions of `lease` unchanged. Two members request the duty, the third only votes. The network is
a set of messages: each may be delivered at any time, any number of times, or never. Time advances in ticks;
each member's clock may gain or lose one tick against the others, which is the bound on drift. One member may
restart with its state lost, at any step. A holder may be suspended between its check and its act for any
time, since the act is a message like any other.

Invariants of every state: two members never hold the duty at once, each by its own clock; once an act of
a later holder was accepted, no act of an earlier one is, and two holders never share a token that a receiver
accepts; a voter whose vote for a holder still runs grants that holder's renewal, whoever else sends requests.
Liveness: from every state, once the faults end and a majority is alive and connected, a member holds the duty
within 12 ticks (three leases), and its acts are accepted.

Duties share nothing but the incarnation of their members, so it is enough to explore a single one.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta

from rookwood.duties import lease
from rookwood.duties.lease import Claim, Gate, Release, Rule, Token, Vote, Voter, VoteRequest

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
TICK = timedelta(seconds=1)
MEMBERS = ("a", "b", "c")
CANDIDATES = (0, 2)  # indexes of the members that request the duty; b only votes, and may restart
# A lease of 4 ticks at a voter is one of 2 ticks at its holder: each clock may drift by one tick meanwhile.
RULE = Rule(MEMBERS, 4 * TICK, drift=1 / 3)
MAX_TERM_RAISES = 1  # how often one member may raise its term because a receiver has seen a higher one
LONG_AGO = ZERO - 9 * TICK  # stands for every time in the past, so that states do not differ by it


@dataclass(frozen=True, slots=True)
class Implementation:
    """The functions and rules explored; a mutant replaces some of them."""

    rule: Rule = RULE
    initial_voter: Callable[[datetime, Rule], Voter] = lease.initial_voter
    answer_request: Callable[[Voter, str, VoteRequest, datetime, Rule], tuple[Voter, Vote | None]] = (
        lease.answer_request
    )
    request_votes: Callable[[Claim, datetime], tuple[Claim, VoteRequest]] = lease.request_votes
    count_vote: Callable[[Claim, Vote, Rule], Claim] = lease.count_vote
    give_up: Callable[[Claim], tuple[Claim, Release | None]] = lease.give_up
    open_gate: Callable[[Gate, Token], tuple[Gate, bool]] = lease.open_gate
    accepts: Callable[[Gate, Token], bool] = lease.accepts
    opens_first: bool = True
    # The list of members that each of the three uses; empty: all use that of `rule`.
    member_views: tuple[tuple[str, ...], ...] = ()
    counts_from_vote: bool = False  # the lease counts from the vote's arrival and not from the request

    def rule_of(self, n: int) -> Rule:
        return replace(self.rule, members=self.member_views[n]) if self.member_views else self.rule


@dataclass(frozen=True, slots=True)
class Act:
    """An act of a holder, on its way to the receiver."""

    token: Token
    grant_number: int  # which holder in order of their leases sent it, as only the observer knows


Message = VoteRequest | Vote | Release | Act


@dataclass(frozen=True, slots=True)
class Node:
    """One member, with what the observer records of it."""

    voter: Voter
    claim: Claim | None
    clock_offset: int = 0  # ticks by which its clock is ahead
    opened_token: Token | None = None  # the token with which it opened the receiver's gate
    grant_number: int = 0  # its number as a holder, counted by the observer
    granted_for: Token | None = None  # the token that `grant_number` belongs to
    term_raises: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """A state of the whole system: the members, the messages sent, the receiver's gate, and counters."""

    nodes: tuple[Node, Node, Node]
    sent: frozenset[Message] = frozenset()
    gate: Gate = Gate()
    grants: int = 0
    last_accepted_grant: int = 0  # of the last act accepted
    requests: int = 0
    restarts: int = 0
    releases: int = 0
    drifts: int = 0


class InvariantError(Exception):
    """A violated invariant, with the steps that lead to it."""

    def __init__(self, why: str, trace: list[str]) -> None:
        super().__init__(f"{why} after: {' > '.join(trace)}")
        self.why, self.trace = why, trace


@dataclass(frozen=True, slots=True)
class Report:
    """The size of a finished exploration."""

    states: int
    states_with_holder: int  # states in which a member holds the duty
    seconds: float


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the exploration: how many requests and faults of each kind may occur."""

    requests_per_member: int = 1  # vote requests of each member
    total_requests: int = 2  # vote requests of all members
    restarts: int = 1
    drifts: int = 0
    releases: int = 1
    known_term: int = 0  # the term that c knows at the start, from an earlier holder


class Explorer:
    """A breadth-first search over all states within the bounds."""

    def __init__(self, implementation: Implementation, bounds: Bounds) -> None:
        self._implementation, self._bounds = implementation, bounds
        self._restarts, self._drifts = bounds.restarts, bounds.drifts
        self._recovery_cache: dict[tuple[object, ...], bool] = {}

    def initial_state(self) -> State:
        voter = Voter(LONG_AGO)  # all members have been up long enough not to be silent
        a, b, c = (Node(voter, Claim(name, 1) if n in CANDIDATES else None) for n, name in enumerate(MEMBERS))
        assert c.claim
        return State((a, b, replace(c, claim=replace(c.claim, term=self._bounds.known_term))))

    @staticmethod
    def clock(node: Node) -> datetime:
        """The time by this member's clock."""
        return ZERO + node.clock_offset * TICK

    def _with_node(self, state: State, n: int, node: Node, *sent: Message) -> State:
        nodes = list(state.nodes)
        nodes[n] = node
        return replace(state, nodes=(nodes[0], nodes[1], nodes[2]), sent=state.sent | frozenset(sent))

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """All steps possible in a state, with a description and the state after each."""
        yield "tick", self._tick(state)
        for n, node in enumerate(state.nodes):
            if state.drifts < self._drifts:
                for step in (-1, 1):
                    drifted = self._with_node(state, n, replace(node, clock_offset=node.clock_offset + step))
                    yield f"{MEMBERS[n]}'s clock {step:+}", replace(drifted, drifts=state.drifts + 1)
            if state.restarts < self._restarts and n == 1:
                voter = self._implementation.initial_voter(self.clock(node), self._implementation.rule)
                after = self._with_node(state, n, Node(voter, None, node.clock_offset))
                yield f"{MEMBERS[n]} restarts", replace(after, restarts=state.restarts + 1)
            if node.claim:
                yield from self._member_steps(state, n, node, node.claim)
        for message in state.sent:
            yield from self._delivery_steps(state, message)

    def _tick(self, state: State) -> State:
        """Advances time by a tick.

        The present stays `ZERO`: all other times move back, and expired ones are cleared. This keeps the
        number of states finite.
        """

        def back(when: datetime | None, now: datetime) -> datetime | None:
            return None if when is None or when <= now else when - TICK

        nodes = list(state.nodes)
        for n, node in enumerate(nodes):
            now, voter, claim = self.clock(node) + TICK, node.voter, node.claim
            silent_until = back(voter.silent_until, now) or LONG_AGO
            voter = replace(voter, silent_until=silent_until, granted_until=back(voter.granted_until, now))
            if claim:
                requested_at = claim.requested_at
                useful_for = (
                    2 * self._implementation.rule.length
                    if self._implementation.counts_from_vote
                    else self._implementation.rule.holder_length
                )
                is_over = requested_at is None or requested_at + useful_for <= now
                claim = replace(
                    claim,
                    held_until=back(claim.held_until, now),
                    requested_at=None if is_over or requested_at is None else requested_at - TICK,
                    votes=frozenset() if is_over else claim.votes,
                )
            nodes[n] = replace(node, voter=voter, claim=claim)
        return self._prune(replace(state, nodes=(nodes[0], nodes[1], nodes[2])))

    def _prune(self, state: State) -> State:
        """Drops the messages that can change nothing any more, wherever and whenever they arrive."""
        return replace(state, sent=frozenset(m for m in state.sent if self._is_useful(state, m)))

    def _is_useful(self, state: State, message: Message) -> bool:
        match message:
            case Vote(voter, number, token, yes, term):
                claim = next(n.claim for n in state.nodes if n.claim and n.claim.me == token.holder)
                counts = yes and (claim.number, claim.token) == (number, token) and voter not in claim.votes
                return term > claim.term or (counts and claim.requested_at is not None)
            case Act(token):
                return self._implementation.accepts is not lease.accepts or state.gate.seen_term <= token.term
            case VoteRequest(token, number):
                if state.restarts < self._restarts:
                    return True
                for node in state.nodes:
                    last = node.voter.granted_request
                    same = last is not None and last.token.holder == token.holder
                    if last is None or (last.number < number if same else node.voter.term < token.term):
                        return True
                return False
            case Release(token, number):
                return any(
                    n.voter.granted_request and n.voter.granted_request.token == token for n in state.nodes
                )
        return True

    def _member_steps(self, state: State, n: int, node: Node, claim: Claim) -> Iterator[tuple[str, State]]:
        now, name = self.clock(node), MEMBERS[n]
        if claim.number < self._bounds.requests_per_member and state.requests < self._bounds.total_requests:
            fresh, request = self._implementation.request_votes(claim, now)
            # A member handles its own request at once.
            voter, vote = self._implementation.answer_request(
                node.voter, name, request, now, self._implementation.rule
            )
            if vote:
                fresh = self._implementation.count_vote(fresh, vote, self._implementation.rule_of(n))
            requested = self._with_node(state, n, replace(node, claim=fresh, voter=voter), request)
            yield (
                f"{name} requests {request.token.term}",
                self._prune(replace(requested, requests=state.requests + 1)),
            )
        if not (claim.holds(now) and claim.token):
            return
        if state.releases < self._bounds.releases:
            yield from self._release_step(state, n, node, claim)
        if node.opened_token != claim.token and self._implementation.opens_first:
            gate, done = self._implementation.open_gate(state.gate, claim.token)
            if done:
                after = self._with_node(state, n, replace(node, opened_token=claim.token))
                yield f"{name} opens {claim.token.term}", self._prune(replace(after, gate=gate))
            elif node.term_raises < MAX_TERM_RAISES:
                higher = replace(
                    node, claim=lease.raise_term(claim, gate.seen_term, now), term_raises=node.term_raises + 1
                )
                yield f"{name} raises its term", self._with_node(state, n, higher)
            return
        yield (
            f"{name} acts {claim.token.term}",
            self._with_node(state, n, node, Act(claim.token, node.grant_number)),
        )

    def _release_step(self, state: State, n: int, node: Node, claim: Claim) -> Iterator[tuple[str, State]]:
        released, release = self._implementation.give_up(claim)
        sent = (release,) if release else ()
        after = self._with_node(state, n, replace(node, claim=released), *sent)
        yield f"{MEMBERS[n]} releases", replace(after, releases=state.releases + 1)

    def _delivery_steps(self, state: State, message: Message) -> Iterator[tuple[str, State]]:
        match message:
            case VoteRequest(token):
                for n, node in enumerate(state.nodes):
                    voter, vote = self._implementation.answer_request(
                        node.voter, MEMBERS[n], message, self.clock(node), self._implementation.rule
                    )
                    if vote and (voter != node.voter or vote.is_granted or vote.term > token.term):
                        after = self._with_node(state, n, replace(node, voter=voter), vote)
                        yield f"{MEMBERS[n]} votes {vote.is_granted}", after
            case Vote():
                for n, node in enumerate(state.nodes):
                    if node.claim and message.token.holder == MEMBERS[n]:
                        claim = self._implementation.count_vote(
                            node.claim, message, self._implementation.rule_of(n)
                        )
                        if (
                            self._implementation.counts_from_vote
                            and claim.held_until != node.claim.held_until
                        ):
                            claim = replace(
                                claim, held_until=self.clock(node) + self._implementation.rule.holder_length
                            )
                        yield f"{MEMBERS[n]} counts", self._prune(self._count_holder(state, n, node, claim))
            case Release(token):
                for n, node in enumerate(state.nodes):
                    voter = lease.apply_release(node.voter, message)
                    if voter != node.voter:
                        after = self._with_node(state, n, replace(node, voter=voter))
                        yield f"{MEMBERS[n]} handles the release", after
            case Act(token, grant_number):
                gate = state.gate
                if not self._implementation.opens_first and token.term > gate.seen_term:
                    gate = Gate(token)
                if self._implementation.accepts(gate, token):
                    if grant_number < state.last_accepted_grant:
                        raise InvariantError("an act of an earlier holder was accepted", [])
                    yield (
                        f"act {token.term} accepted",
                        replace(state, gate=gate, last_accepted_grant=grant_number),
                    )

    def _count_holder(self, state: State, n: int, node: Node, claim: Claim) -> State:
        held = node.claim and node.claim.holds(self.clock(node))
        if claim.holds(self.clock(node)) and not held and claim.token != node.granted_for:
            grants = state.grants + 1
            after = replace(node, claim=claim, grant_number=grants, granted_for=claim.token)
            return replace(self._with_node(state, n, after), grants=grants)
        return self._with_node(state, n, replace(node, claim=claim))

    # ---- invariants ----

    def find_fault(self, state: State) -> str | None:
        """The invariant that this state violates; None: none is violated."""
        holders = [
            (n, node.claim)
            for n, node in enumerate(state.nodes)
            if node.claim and node.claim.holds(self.clock(node))
        ]
        if len(holders) > 1:
            return "two members hold the duty"
        for n, claim in holders:
            for m, node in enumerate(state.nodes):
                granted = node.voter.granted_request
                runs = node.voter.granted_until and self.clock(node) < node.voter.granted_until
                if not (granted and runs and claim.token and granted.token.holder == MEMBERS[n]):
                    continue
                renewal = VoteRequest(claim.token, claim.number + 1)
                now = self.clock(node)
                vote = self._implementation.answer_request(
                    node.voter, MEMBERS[m], renewal, now, self._implementation.rule
                )[1]
                if granted.number <= claim.number and not (vote and vote.is_granted):
                    return "a voter rejects the renewal of a running lease"
        return None

    def recovers(self, state: State) -> bool:
        """Whether c gets the duty when all messages so far are lost, a is down, and b and c are connected."""
        b, c = state.nodes[1], state.nodes[2]
        if not c.claim:
            return True
        known = (b.voter, b.clock_offset, c.voter, c.claim, c.clock_offset, state.gate)
        if known not in self._recovery_cache:
            self._recovery_cache[known] = self._finds_holder(b, c, c.claim, state.gate)
        return self._recovery_cache[known]

    def _finds_holder(self, b: Node, c: Node, claim: Claim, gate: Gate) -> bool:
        voters = {1: b.voter, 2: c.voter}
        for tick in range(2 * 4 + 4):
            at = {1: ZERO + (tick + b.clock_offset) * TICK, 2: ZERO + (tick + c.clock_offset) * TICK}
            claim, request = self._implementation.request_votes(claim, at[2])
            for n, voter in list(voters.items()):
                voters[n], vote = self._implementation.answer_request(
                    voter, MEMBERS[n], request, at[n], self._implementation.rule
                )
                if vote:
                    claim = self._implementation.count_vote(claim, vote, self._implementation.rule)
            if claim.holds(at[2]) and claim.token:
                gate, done = self._implementation.open_gate(gate, claim.token)
                if done:
                    return True
                claim = lease.raise_term(claim, gate.seen_term, at[2])
        return False

    def explore(
        self, max_states: int = 5_000_000, progress: Callable[[int], None] = lambda n: None
    ) -> Report:
        """Explores all states. Raises `InvariantError` with the shortest trace to a violation."""
        began, first = time.perf_counter(), self.initial_state()
        before: dict[State, tuple[State, str] | None] = {first: None}
        queue, holders = deque([first]), 0

        def trace(state: State, *last: str) -> list[str]:
            found = list(last)
            while step := before[state]:
                state, what = step
                found.insert(0, what)
            return found

        while queue:
            state = queue.popleft()
            holders += any(n.claim and n.claim.holds(self.clock(n)) for n in state.nodes)
            try:
                for what, after in self.steps(state):
                    if after not in before:
                        before[after] = (state, what)
                        queue.append(after)
                        if why := self.find_fault(after):
                            raise InvariantError(why, trace(after))
                        if not self.recovers(after):
                            raise InvariantError("a live majority finds no holder", trace(after))
            except InvariantError as broken:
                raise InvariantError(broken.why, broken.trace or trace(state)) from None
            if len(before) > max_states:
                raise RuntimeError(f"more than {max_states} states")
            if len(before) % 10_000 < 8:
                progress(len(before))
        return Report(len(before), holders, time.perf_counter() - began)


def _grants_during_lease(
    voter: Voter, me: str, request: VoteRequest, now: datetime, rule: Rule
) -> tuple[Voter, Vote | None]:
    """Grants a request with a higher term although another member's lease runs."""
    if request.token.term > voter.term:
        voter = replace(voter, granted_until=None)
    return lease.answer_request(voter, me, request, now, rule)


def _raises_term_on_rejection(
    voter: Voter, me: str, request: VoteRequest, now: datetime, rule: Rule
) -> tuple[Voter, Vote | None]:
    """Raises the voter's term even when it rejects the request, as in Raft without a pre-vote."""
    if request.token.term < voter.term:
        return voter, Vote(me, request.number, request.token, False, voter.term)
    after, vote = lease.answer_request(voter, me, request, now, rule)
    return replace(after, term=max(after.term, request.token.term)), vote


def _counts_rejections(claim: Claim, vote: Vote, rule: Rule) -> Claim:
    return lease.count_vote(claim, replace(vote, is_granted=True), rule)


def _acts_after_release(claim: Claim) -> tuple[Claim, Release | None]:
    return claim, lease.give_up(claim)[1]


def _reopens_equal_term(gate: Gate, token: Token) -> tuple[Gate, bool]:
    return (Gate(token), True) if token.term >= gate.seen_term else (gate, False)


@dataclass(frozen=True, slots=True)
class Mutant:
    """A faulty implementation, and bounds within which the exploration finds the fault."""

    implementation: Implementation
    bounds: Bounds = Bounds(restarts=0)


NARROW_BOUNDS = {
    "one restarts": Bounds(),
    "drift": Bounds(restarts=0, drifts=1),
}
WIDE_BOUNDS = {"drift, one restarts": Bounds(drifts=1), "a term is known": Bounds(restarts=0, known_term=1)}
ONE_RESTARTS = Bounds(releases=0)
TERM_KNOWN = Bounds(restarts=0, known_term=1)  # so that c's request is not rejected for its term

MUTANTS = {
    "a voter votes right after a restart": Mutant(
        Implementation(initial_voter=lambda now, rule: Voter(now)), ONE_RESTARTS
    ),
    "an older token is accepted": Mutant(
        Implementation(accepts=lambda gate, token: True), replace(TERM_KNOWN, releases=0)
    ),
    "the lease counts from the vote": Mutant(Implementation(counts_from_vote=True), TERM_KNOWN),
    "a vote ends early by drift": Mutant(
        Implementation(rule=replace(RULE, drift=0.0)), replace(TERM_KNOWN, drifts=1, releases=0)
    ),
    "a rejected request raises the term": Mutant(
        Implementation(answer_request=_raises_term_on_rejection),
        replace(TERM_KNOWN, requests_per_member=2, total_requests=3),
    ),
    "a vote is granted while another's lease runs": Mutant(
        Implementation(answer_request=_grants_during_lease), TERM_KNOWN
    ),
    "a holder acts after its release": Mutant(Implementation(give_up=_acts_after_release), TERM_KNOWN),
    "a rejection is counted as a vote": Mutant(Implementation(count_vote=_counts_rejections)),
    "a receiver opens twice for one term": Mutant(
        Implementation(
            open_gate=_reopens_equal_term, accepts=lambda gate, token: token.term == gate.seen_term
        ),
        ONE_RESTARTS,
    ),
    "a holder acts without opening the receiver": Mutant(
        Implementation(opens_first=False, accepts=lambda gate, token: token.term >= gate.seen_term),
        ONE_RESTARTS,
    ),
    "the list changes by two members at once": Mutant(
        Implementation(member_views=(MEMBERS, MEMBERS, ("c",)))
    ),
}
