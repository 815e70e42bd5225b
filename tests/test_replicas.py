"""Registers that a majority keeps: explored, broken variants of them, and five members by chance."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from rookwood.duties.lease import Token
from rookwood.replicas.explore import MUTANTS, Bounds, BrokenError, Explorer
from rookwood.replicas.group import Bucket, Entry, Group, Message, Prepare, Refused, Stamp, Write

SLOW = {"the forgetful is counted", "the forgetful is read", "who has started counts at once"}
SLOW |= {"a new beginning does not say so"}  # to the command alone


def test_every_state_of_a_takeover_is_sound() -> None:
    report = Explorer(Bounds(restarts=0)).explore()
    assert report.whole and report.states > 1_000 and report.led > 1_000


@pytest.mark.parametrize("name", sorted(MUTANTS.keys() - SLOW))
def test_broken_variant_is_caught(name: str) -> None:
    mutant = MUTANTS[name]
    with pytest.raises(BrokenError):
        Explorer(replace(mutant.bounds, most=60_000), mutant.make).explore()


class Net:
    """Groups, and messages that are lost, late and doubled. Each takes the duty in turn; lives grow."""

    def __init__(self, count: int, seed: int, loss: float) -> None:
        self.rng, self.loss, self.names = random.Random(seed), loss, [f"m{n}" for n in range(count)]
        self.nodes = {name: Group(name, self.names, 0) for name in self.names}
        self.mail: list[tuple[str, str, Message]] = []
        self.terms, self.lives, self.leader = 0, dict.fromkeys(self.names, 1), ""
        self.acknowledged: dict[str, int] = {}  # by key: the latest ticket that counts
        self.asked: dict[int, tuple[str, bytes]] = {}
        self.down: set[str] = set()

    def send(self, sender: str, letters: list[tuple[str | None, Message]]) -> None:
        for to, message in letters:
            for name in [to] if to else self.names:
                if name != sender and self.rng.random() >= self.loss:
                    self.mail += [(sender, name, message)] * (2 if self.rng.random() < 0.1 else 1)

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.rng.shuffle(self.mail)
            for _ in range(min(len(self.mail), 6)):
                sender, to, message = self.mail.pop()
                if to not in self.down:
                    self.send(to, self.nodes[to].heard(sender, message))
            for name in self.names:
                if name in self.down:
                    continue
                if name == self.leader:
                    self.send(name, self.nodes[name].lead(Token(self.terms, name, self.lives[name])))
                if self.rng.random() < 0.3:
                    self.send(name, self.nodes[name].again())
                for ticket, counts in self.nodes[name].done:
                    key, _ = self.asked[ticket]
                    if counts:
                        self.acknowledged[key] = max(ticket, self.acknowledged.get(key, 0))
                self.nodes[name].done.clear()

    def take_over(self, name: str) -> Group:
        if self.leader:
            self.nodes[self.leader].stop()
        self.leader, self.terms = name, self.terms + 1
        return self.nodes[name]

    def begin(self) -> None:
        """The first history: nothing was there, and nobody knows that."""
        self.take_over("m0")
        for _ in range(200):
            self.run(5)
            node = self.nodes["m0"]
            self.send("m0", node.found(node.promised, {"new": b"1"}))
            if node.leads and all(n.whole for n in self.nodes.values()):
                return
        raise AssertionError("no beginning")

    def until_led(self) -> Group:
        for _ in range(400):
            self.run(5)
            if self.nodes[self.leader].leads:
                return self.nodes[self.leader]
        raise AssertionError("nobody leads")


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count", [3, 5])
def test_what_was_acknowledged_outlives_leaders_and_restarts(count: int, seed: int) -> None:
    net = Net(count, seed, loss=0.15)
    net.begin()
    ticket = 0
    for round_ in range(8):
        group = net.until_led()
        for n in range(5):
            ticket += 1
            net.asked[ticket] = (f"k{net.rng.randrange(20)}", f"{round_}.{n}".encode())
            key, value = net.asked[ticket]
            net.send(net.leader, group.put({key: value}, ticket))
            net.run(net.rng.randrange(6))
        old = net.leader
        if round_ % 2:  # it starts anew with everything forgotten, and recovers before the next one does
            net.nodes[old] = Group(old, net.names, 1000 * round_ + 10)
            net.lives[old] += 1
        net.leader = ""
        net.take_over(net.rng.choice([name for name in net.names if name != old]))
        group = net.until_led()
        for key, least in net.acknowledged.items():
            [found] = [n for n, asked in net.asked.items() if asked == (key, group.entries[key].value)]
            assert found >= least, "an older value is back"
        for _ in range(400):
            if all(node.whole for node in net.nodes.values()):
                break
            net.run(5)
        assert all(node.whole for node in net.nodes.values()), "who has started recovers"
    assert len(net.acknowledged) > 5 and not any(node.differ for node in net.nodes.values())


def test_who_recovers_asks_a_majority_since_one_leader_may_be_of_the_past() -> None:
    names = ("a", "b", "c")
    a, b, c = (Group(name, names, 0) for name in names)
    old, new = Token(1, "a", 1), Token(2, "b", 1)
    a.whole = b.whole = a.leads = b.leads = True
    a.promised, b.promised = old, new  # a has not heard of b yet; c had promised b, and has forgotten it
    kept = Entry("other", Stamp(new, 1), b"served")
    b._take([kept])
    [(_, question)] = c.again()
    [(_, stale)] = a.heard("c", question)
    assert c.heard("a", stale) == [] and not c.whole
    [(_, fresh)] = b.heard("c", question)
    [(leader, fetch)] = c.heard("b", fresh)
    assert leader == "b" and not c.whole
    [(_, bucket)] = b.heard("c", fetch)
    c.heard("b", bucket)
    assert c.whole and c.promised == new and c.entries == {"other": kept}
    entry = Entry("k", Stamp(old, 1), b"claim")
    [(_, answer)] = c.heard("a", Write(old, 1, (entry,)))
    assert "k" not in c.entries and isinstance(answer, Refused)


def test_what_one_alone_has_is_written_to_a_majority_before_its_leader_leads() -> None:
    nodes = {name: Group(name, "abcde", 0) for name in "abcde"}
    for node in nodes.values():
        node.whole = True
    entry, token = Entry("k", Stamp(Token(1, "a", 1), 1), b"claim"), Token(2, "c", 1)
    nodes["a"]._take([entry])
    nodes["c"].lead(token)
    for name in "ab":
        [(_, promise)] = nodes[name].heard("c", Prepare(token))
        letters = nodes["c"].heard(name, promise)
    [(_, fetch)] = letters
    [(_, bucket)] = nodes["a"].heard("c", fetch)
    written = nodes["c"].heard("a", bucket)
    assert {to for to, _ in written} == set("abde") and not nodes["c"].leads
    assert all(isinstance(m, Write) and m.entries == (entry,) for _, m in written)
    for name in "bd":
        [(_, ack)] = nodes[name].heard("c", written[0][1])
        assert not nodes["c"].leads
        nodes["c"].heard(name, ack)
    assert nodes["c"].leads and nodes["d"].entries == {"k": entry}


def test_minority_that_is_whole_leads_nothing_until_it_begins_anew() -> None:
    net = Net(3, 1, loss=0.0)
    net.begin()
    for name in ("m1", "m2"):
        net.nodes[name] = Group(name, net.names, 50)
        net.lives[name] += 1
    net.take_over("m1")
    net.run(100)
    assert not net.nodes["m1"].leads and not net.nodes["m2"].whole
    net.send("m1", net.nodes["m1"].found(net.nodes["m1"].promised, {"new": b"2"}))
    assert net.until_led().entries["new"].value == b"2"


def test_only_buckets_that_differ_are_shipped_and_the_newest_wins() -> None:
    one, other = Group("a", "ab", 0), Group("b", "ab", 0)
    entries = [Entry(f"k{n}", Stamp(Token(1, "a", 1), n), b"x") for n in range(500)]
    for group in (one, other):
        group._take(entries)
    assert one.digests() == other.digests()
    newer = Entry("k7", Stamp(Token(2, "b", 1), 1), b"y")
    other._take([newer])
    differ = [n for n, (a, b) in enumerate(zip(one.digests(), other.digests(), strict=True)) if a != b]
    assert len(differ) == 1 and newer in other._of(differ[0])
    one._take(other._of(differ[0]))
    one._take([entries[7]])  # late
    assert one.entries["k7"] == newer and one.digests() == other.digests()
    one._take([replace(newer, value=b"z")])
    assert one.differ == [(newer, replace(newer, value=b"z"))], "one stamp, two values: kept as evidence"


def test_strangers_and_what_nobody_asked_for_are_nothing() -> None:
    group = Group("a", "abc", 0)
    write = Write(Token(1, "b", 1), 1, (Entry("k", Stamp(Token(1, "b", 1), 1), b"v"),))
    assert group.heard("x", write) == [] and group.heard("c", write) == [] and not group.entries
    assert group.heard("b", Bucket(Token(1, "b", 1), 99, ())) == []
    assert group.heard("b", write) == [], "it is not whole: it acknowledges nothing"
    group.whole = True
    assert len(group.heard("b", write)) == 1 and group.entries["k"].value == b"v"
