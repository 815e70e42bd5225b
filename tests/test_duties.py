"""Leases of a duty: exhaustive exploration, faulty variants, and members in simulated time with faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta

import pytest

from rookwood.duties import explore, lease
from rookwood.duties.explore import MUTANTS, Bounds, Explorer, Implementation, InvariantError
from rookwood.duties.lease import Claim, Gate, Rule, Token, Vote, Voter, VoteRequest

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
# Explored only by the command in `lab.modelcheck`, like a restart together with a release.
SLOW = {"a vote ends early by drift", "the lease counts from the vote", "an older token is accepted"}


@pytest.mark.parametrize("bounds", [Bounds(restarts=0), Bounds(releases=0)])
def test_invariants_hold_in_every_state_within_narrow_bounds(bounds: Bounds) -> None:
    report = Explorer(Implementation(), bounds).explore()
    assert report.states > 10_000 and report.states_with_holder > 1_000


@pytest.mark.parametrize("name", sorted(MUTANTS.keys() - SLOW))
def test_faulty_variant_is_found(name: str) -> None:
    with pytest.raises(InvariantError):
        Explorer(MUTANTS[name].implementation, MUTANTS[name].bounds).explore()


@pytest.mark.parametrize("drift", [0.0, 0.01, 0.3])
def test_holder_stops_before_any_vote_expires_within_clock_drift(drift: float) -> None:
    rule = Rule(("a", "b", "c"), 1000 * MS, drift)
    assert rule.holder_length * (1 + drift) <= rule.length * (1 - drift) + MS
    assert rule.startup_silence * (1 - drift) >= rule.length * (1 + drift) - MS


def test_invalid_rules_are_rejected() -> None:
    for members, length, drift in (((), 1, 0.0), (("a", "a"), 1, 0.0), (("a",), 0, 0.0), (("a",), 1, 0.5)):
        with pytest.raises(ValueError, match="members|length"):
            Rule(members, length * MS, drift)


@dataclass
class Member:
    """A member with its clock, its lease state, and the faults that it is under."""

    name: str
    speed: float  # of its clock, relative to simulated time
    voter: Voter
    claim: Claim
    incarnation: int = 1
    # Acts sent while it held the duty, with their time of arrival.
    delayed_acts: list[tuple[int, Token]] = field(default_factory=list)
    opened_token: Token | None = None
    suspended_until: int = 0


class LeaseSimulation:
    """Members whose clocks differ in speed, one receiver, and a network with losses and partitions."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng, names = random.Random(seed), tuple(f"m{n}" for n in range(count))
        self.rule = Rule(names, 500 * MS, drift=0.02)
        speeds = [1 + self.rng.uniform(-0.009, 0.009) for _ in names]
        self.members = [Member(n, s, Voter(ZERO), Claim(n, 1)) for n, s in zip(names, speeds, strict=True)]
        self.in_transit: list[tuple[int, str, VoteRequest | Vote | lease.Release]] = []
        self.gate, self.now, self.accepted = Gate(), 0, list[Token]()
        self.blocked: set[frozenset[str]] = set()
        self.loss, self.holder_changes, self.held_ms = 0.0, 0, 0

    def clock(self, member: Member) -> datetime:
        return ZERO + self.now * member.speed * MS

    def send(self, sender: str, to: str, message: VoteRequest | Vote | lease.Release) -> None:
        if frozenset((sender, to)) not in self.blocked and (sender == to or self.rng.random() >= self.loss):
            copies = 2 if self.rng.random() < self.loss else 1
            for _ in range(copies):
                self.in_transit.append(
                    (self.now + (0 if sender == to else self.rng.randint(1, 40)), to, message)
                )

    def deliver(self, member: Member, message: VoteRequest | Vote | lease.Release) -> None:
        now = self.clock(member)
        match message:
            case VoteRequest(token):
                member.voter, vote = lease.answer_request(member.voter, member.name, message, now, self.rule)
                if vote:
                    self.send(member.name, token.holder, vote)
            case Vote(token=token) if token.incarnation == member.incarnation:
                member.claim = lease.count_vote(member.claim, message, self.rule)
            case lease.Release():
                member.voter = lease.apply_release(member.voter, message)

    def request_votes(self, member: Member) -> None:
        member.claim, request = lease.request_votes(member.claim, self.clock(member))
        for other in self.members:
            self.send(member.name, other.name, request)

    def act(self, member: Member) -> None:
        claim, now = member.claim, self.clock(member)
        if not (claim.holds(now) and claim.token):
            return
        if member.opened_token != claim.token:
            self.gate, is_open = lease.open_gate(self.gate, claim.token)
            if not is_open:
                member.claim = lease.raise_term(claim, self.gate.seen_term, now)
                return
            self.holder_changes += not (self.accepted and self.accepted[-1].holder == member.name)
            member.opened_token = claim.token
        self.receive_act(claim.token) if self.rng.random() < 0.8 else member.delayed_acts.append(
            (self.now + self.rng.randint(1, 3000), claim.token)
        )

    def receive_act(self, token: Token) -> None:
        if lease.accepts(self.gate, token):
            self.accepted.append(token)

    def restart(self, member: Member) -> None:
        member.incarnation += 1
        member.voter = lease.initial_voter(self.clock(member), self.rule)
        member.claim, member.opened_token = Claim(member.name, member.incarnation), None

    def run(self, ms: int) -> None:
        for _ in range(ms // 10):
            self.now += 10
            due = [m for m in self.in_transit if m[0] <= self.now]
            self.in_transit = [m for m in self.in_transit if m[0] > self.now]
            for _, to, message in due:
                member = next(m for m in self.members if m.name == to)
                if member.suspended_until > self.now:
                    self.in_transit.append((member.suspended_until, to, message))
                else:
                    self.deliver(member, message)
            for member in self.members:
                late = [token for at, token in member.delayed_acts if at <= self.now]
                member.delayed_acts = [entry for entry in member.delayed_acts if entry[0] > self.now]
                for token in late:
                    self.receive_act(token)
                if member.suspended_until > self.now:
                    continue
                holds = member.claim.holds(self.clock(member))
                if self.rng.random() < (0.1 if holds else 0.02):
                    self.request_votes(member)
                self.act(member)
            holders = [m for m in self.members if m.claim.holds(self.clock(m))]
            assert len(holders) <= 1, "two members hold the duty"
            self.held_ms += 10 * len(holders)
        terms = [token.term for token in self.accepted]
        assert terms == sorted(terms), "an older token was accepted"
        assert len({t.term for t in self.accepted}) == len(set(self.accepted)), "two holders share a term"


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("count", [3, 5])
def test_faults_never_make_two_holders_and_one_holds_after_them(count: int, seed: int) -> None:
    simulation = LeaseSimulation(count, seed)
    simulation.run(1000)
    for _ in range(12):
        member = simulation.rng.choice(simulation.members)
        match simulation.rng.choice(["partition", "heal", "lose", "suspend", "restart", "release"]):
            case "partition":
                simulation.blocked |= {
                    frozenset((member.name, m.name)) for m in simulation.members if m is not member
                }
            case "heal":
                simulation.blocked.clear()
            case "lose":
                simulation.loss = simulation.rng.choice([0.0, 0.2, 0.5])
            case "suspend":
                member.suspended_until = simulation.now + simulation.rng.randint(50, 3000)
            case "restart":
                simulation.restart(member)
            case _:
                member.claim, release = lease.give_up(member.claim)
                for other in simulation.members if release else []:
                    assert release
                    simulation.send(member.name, other.name, release)
        simulation.run(400)
    simulation.blocked.clear()
    simulation.loss = 0.0
    simulation.run(4000)
    before = simulation.held_ms
    simulation.run(3000)
    assert simulation.held_ms - before > 2000 and simulation.accepted


def test_minority_never_holds_the_duty() -> None:
    simulation = LeaseSimulation(5, 1)
    names = [m.name for m in simulation.members]
    simulation.blocked = {frozenset((a, b)) for a in names[:2] for b in names[2:]}
    simulation.blocked |= {frozenset((a, b)) for a in names[2:3] for b in names[3:]} | {frozenset(names[3:])}
    simulation.run(3000)
    assert simulation.held_ms == 0


def test_holder_raises_its_term_above_the_one_a_receiver_has_seen() -> None:
    rule = Rule(("a",), 500 * MS)
    claim, request = lease.request_votes(Claim("a", 1), ZERO)
    voter, vote = lease.answer_request(Voter(ZERO - 1000 * MS), "a", request, ZERO, rule)
    assert vote
    claim = lease.count_vote(claim, vote, rule)
    assert claim.holds(ZERO) and claim.token == Token(1, "a", 1)
    gate = Gate(Token(7, "b", 1))
    assert lease.open_gate(gate, claim.token) == (gate, False)
    claim = lease.raise_term(claim, gate.seen_term, ZERO)
    assert claim.token == Token(8, "a", 1) and claim.holds(ZERO)
    gate, is_open = lease.open_gate(gate, claim.token)
    assert is_open and lease.accepts(gate, claim.token) and not lease.accepts(gate, Token(7, "b", 1))
    claim, request = lease.request_votes(claim, ZERO + 100 * MS)
    assert lease.answer_request(voter, "a", request, ZERO + 100 * MS, rule)[1].is_granted  # type: ignore[union-attr]
    assert replace(claim, me="a") == claim and explore.RULE.holder_length == explore.RULE.length / 2
