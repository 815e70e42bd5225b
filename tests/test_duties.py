"""Leases of a duty: explored exhaustively, broken variants of them, and many members in simulated time."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta

import pytest

from rookwood.duties import explore, lease
from rookwood.duties.explore import MUTANTS, Bounds, Explorer, InvariantError, Machine
from rookwood.duties.lease import Ask, Claim, Gate, Rule, Token, Vote, Voter

ZERO = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
# To the command alone, as is one that forgets beside one that releases.
SLOW = {"a promise ends early by drift", "the lease counts from the answer", "an older token is accepted"}


@pytest.mark.parametrize("bounds", [Bounds(restarts=0), Bounds(releases=0)])
def test_every_state_within_narrow_bounds_is_sound(bounds: Bounds) -> None:
    report = Explorer(Machine(), bounds).explore()
    assert report.states > 10_000 and report.holders > 1_000


@pytest.mark.parametrize("name", sorted(MUTANTS.keys() - SLOW))
def test_broken_variant_is_caught(name: str) -> None:
    with pytest.raises(InvariantError):
        Explorer(MUTANTS[name].machine, MUTANTS[name].bounds).explore()


@pytest.mark.parametrize("drift", [0.0, 0.01, 0.3])
def test_a_holder_stops_before_any_voter_lets_go_whatever_the_clocks(drift: float) -> None:
    rule = Rule(("a", "b", "c"), 1000 * MS, drift)
    assert rule.held * (1 + drift) <= rule.length * (1 - drift) + MS
    assert rule.mute * (1 - drift) >= rule.length * (1 + drift) - MS


def test_unsound_rules_are_named() -> None:
    for members, length, drift in (((), 1, 0.0), (("a", "a"), 1, 0.0), (("a",), 0, 0.0), (("a",), 1, 0.5)):
        with pytest.raises(ValueError, match="members|length"):
            Rule(members, length * MS, drift)


@dataclass
class Member:
    name: str
    speed: float  # of its clock
    voter: Voter
    claim: Claim
    life: int = 1
    acts_late: list[tuple[int, Token]] = field(default_factory=list)  # sent while it held; when they arrive
    opened: Token | None = None
    stopped_until: int = 0


class Sim:
    """Members with clocks of their own speed, one receiver, and a network that loses and cuts."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng, names = random.Random(seed), tuple(f"m{n}" for n in range(count))
        self.rule = Rule(names, 500 * MS, drift=0.02)
        speeds = [1 + self.rng.uniform(-0.009, 0.009) for _ in names]
        self.members = [Member(n, s, Voter(ZERO), Claim(n, 1)) for n, s in zip(names, speeds, strict=True)]
        self.mail: list[tuple[int, str, Ask | Vote | lease.Release]] = []
        self.gate, self.now, self.accepted = Gate(), 0, list[Token]()
        self.cut: set[frozenset[str]] = set()
        self.loss, self.changes, self.held_ms = 0.0, 0, 0

    def clock(self, member: Member) -> datetime:
        return ZERO + self.now * member.speed * MS

    def post(self, sender: str, to: str, what: Ask | Vote | lease.Release) -> None:
        if frozenset((sender, to)) not in self.cut and (sender == to or self.rng.random() >= self.loss):
            copies = 2 if self.rng.random() < self.loss else 1
            for _ in range(copies):
                self.mail.append((self.now + (0 if sender == to else self.rng.randint(1, 40)), to, what))

    def deliver(self, member: Member, what: Ask | Vote | lease.Release) -> None:
        now = self.clock(member)
        match what:
            case Ask(token):
                member.voter, vote = lease.asked(member.voter, member.name, what, now, self.rule)
                if vote:
                    self.post(member.name, token.holder, vote)
            case Vote(token=token) if token.life == member.life:
                member.claim = lease.counted(member.claim, what, self.rule)
            case lease.Release():
                member.voter = lease.released(member.voter, what)

    def ask(self, member: Member) -> None:
        member.claim, ask = lease.ask(member.claim, self.clock(member))
        for other in self.members:
            self.post(member.name, other.name, ask)

    def act(self, member: Member) -> None:
        claim, now = member.claim, self.clock(member)
        if not (claim.holds(now) and claim.token):
            return
        if member.opened != claim.token:
            self.gate, done = lease.opened(self.gate, claim.token)
            if not done:
                member.claim = lease.bumped(claim, self.gate.seen, now)
                return
            self.changes += not (self.accepted and self.accepted[-1].holder == member.name)
            member.opened = claim.token
        self.arrive(claim.token) if self.rng.random() < 0.8 else member.acts_late.append(
            (self.now + self.rng.randint(1, 3000), claim.token)
        )

    def arrive(self, token: Token) -> None:
        if lease.accepts(self.gate, token):
            self.accepted.append(token)

    def restart(self, member: Member) -> None:
        member.life += 1
        member.voter = lease.started(self.clock(member), self.rule)
        member.claim, member.opened = Claim(member.name, member.life), None

    def run(self, ms: int) -> None:
        for _ in range(ms // 10):
            self.now += 10
            due = [m for m in self.mail if m[0] <= self.now]
            self.mail = [m for m in self.mail if m[0] > self.now]
            for _, to, what in due:
                member = next(m for m in self.members if m.name == to)
                if member.stopped_until > self.now:
                    self.mail.append((member.stopped_until, to, what))
                else:
                    self.deliver(member, what)
            for member in self.members:
                late = [token for at, token in member.acts_late if at <= self.now]
                member.acts_late = [entry for entry in member.acts_late if entry[0] > self.now]
                for token in late:
                    self.arrive(token)
                if member.stopped_until > self.now:
                    continue
                holds = member.claim.holds(self.clock(member))
                if self.rng.random() < (0.1 if holds else 0.02):
                    self.ask(member)
                self.act(member)
            holders = [m for m in self.members if m.claim.holds(self.clock(m))]
            assert len(holders) <= 1, "two hold it"
            self.held_ms += 10 * len(holders)
        terms = [token.term for token in self.accepted]
        assert terms == sorted(terms), "an older token was accepted"
        assert len({t.term for t in self.accepted}) == len(set(self.accepted)), "two holders, one term"


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("count", [3, 5])
def test_faults_of_all_kinds_never_make_two_and_end_with_one(count: int, seed: int) -> None:
    sim = Sim(count, seed)
    sim.run(1000)
    for _ in range(12):
        member = sim.rng.choice(sim.members)
        match sim.rng.choice(["cut", "heal", "lose", "stop", "restart", "release"]):
            case "cut":
                sim.cut |= {frozenset((member.name, m.name)) for m in sim.members if m is not member}
            case "heal":
                sim.cut.clear()
            case "lose":
                sim.loss = sim.rng.choice([0.0, 0.2, 0.5])
            case "stop":
                member.stopped_until = sim.now + sim.rng.randint(50, 3000)
            case "restart":
                sim.restart(member)
            case _:
                member.claim, release = lease.given_up(member.claim)
                for other in sim.members if release else []:
                    assert release
                    sim.post(member.name, other.name, release)
        sim.run(400)
    sim.cut.clear()
    sim.loss = 0.0
    sim.run(4000)
    before = sim.held_ms
    sim.run(3000)
    assert sim.held_ms - before > 2000 and sim.accepted


def test_minority_alone_never_holds() -> None:
    sim = Sim(5, 1)
    names = [m.name for m in sim.members]
    sim.cut = {frozenset((a, b)) for a in names[:2] for b in names[2:]}
    sim.cut |= {frozenset((a, b)) for a in names[2:3] for b in names[3:]} | {frozenset(names[3:])}
    sim.run(3000)
    assert sim.held_ms == 0


def test_receiver_that_knows_a_higher_term_makes_the_holder_go_above_it() -> None:
    rule = Rule(("a",), 500 * MS)
    claim, question = lease.ask(Claim("a", 1), ZERO)
    voter, vote = lease.asked(Voter(ZERO - 1000 * MS), "a", question, ZERO, rule)
    assert vote
    claim = lease.counted(claim, vote, rule)
    assert claim.holds(ZERO) and claim.token == Token(1, "a", 1)
    gate = Gate(Token(7, "b", 1))
    assert lease.opened(gate, claim.token) == (gate, False)
    claim = lease.bumped(claim, gate.seen, ZERO)
    assert claim.token == Token(8, "a", 1) and claim.holds(ZERO)
    gate, done = lease.opened(gate, claim.token)
    assert done and lease.accepts(gate, claim.token) and not lease.accepts(gate, Token(7, "b", 1))
    claim, question = lease.ask(claim, ZERO + 100 * MS)
    assert lease.asked(voter, "a", question, ZERO + 100 * MS, rule)[1].yes  # type: ignore[union-attr]
    assert replace(claim, me="a") == claim and explore.RULE.held == explore.RULE.length / 2
