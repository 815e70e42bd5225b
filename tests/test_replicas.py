"""Registers that a majority keeps: explored, broken variants of them, and five members by chance."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from rookwood.duties.lease import Token
from rookwood.replicas.explore import MUTANTS, Bounds, Explorer, InvariantError
from rookwood.replicas.group import (
    PART_ENTRIES,
    WINDOW,
    Bucket,
    Entry,
    Fetch,
    Group,
    Letter,
    Message,
    Prepare,
    Refused,
    Stamp,
    Write,
)
from rookwood.replicas.registers import mark_of

SLOW = {
    "a member that has not recovered acknowledges",
    "a member that has not recovered is read",
    "a restarted member counts at once",
}
SLOW |= {"a reinitialization is not recorded"}  # to the command alone


def test_every_state_of_a_takeover_is_sound() -> None:
    report = Explorer(Bounds(restarts=0)).explore()
    assert report.is_complete and report.states > 1_000 and report.led_states > 1_000


@pytest.mark.parametrize("name", sorted(MUTANTS.keys() - SLOW))
def test_broken_variant_is_caught(name: str) -> None:
    mutant = MUTANTS[name]
    with pytest.raises(InvariantError):
        Explorer(replace(mutant.bounds, max_states=60_000), mutant.make).explore()


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
                    self.send(to, self.nodes[to].receive(sender, message))
            for name in self.names:
                if name in self.down:
                    continue
                if name == self.leader:
                    self.send(name, self.nodes[name].lead(Token(self.terms, name, self.lives[name])))
                if self.rng.random() < 0.3:
                    self.send(name, self.nodes[name].again())
                for ticket, counts in self.nodes[name].finished:
                    key, _ = self.asked[ticket]
                    if counts:
                        self.acknowledged[key] = max(ticket, self.acknowledged.get(key, 0))
                self.nodes[name].finished.clear()

    def take_over(self, name: str) -> Group:
        if self.leader:
            self.nodes[self.leader].step_down()
        self.leader, self.terms = name, self.terms + 1
        return self.nodes[name]

    def begin(self) -> None:
        """The first history: nothing was there, and nobody knows that."""
        self.take_over("m0")
        for _ in range(200):
            self.run(5)
            node = self.nodes["m0"]
            self.send("m0", node.reinitialize(node.promised, lambda: {"new": b"1"}))
            if node.is_leader and all(n.recovered for n in self.nodes.values()):
                return
        raise AssertionError("no beginning")

    def until_led(self) -> Group:
        for _ in range(400):
            self.run(5)
            if self.nodes[self.leader].is_leader:
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
            if all(node.recovered for node in net.nodes.values()):
                break
            net.run(5)
        assert all(node.recovered for node in net.nodes.values()), "who has started recovers"
    assert len(net.acknowledged) > 5 and not any(node.conflicts for node in net.nodes.values())


def test_who_recovers_asks_a_majority_since_one_leader_may_be_of_the_past() -> None:
    names = ("a", "b", "c")
    a, b, c = (Group(name, names, 0) for name in names)
    old, new = Token(1, "a", 1), Token(2, "b", 1)
    a.recovered = b.recovered = a.is_leader = b.is_leader = True
    a.promised, b.promised = old, new  # a has not heard of b yet; c had promised b, and has forgotten it
    kept = Entry("other", Stamp(new, 1), b"served")
    b._merge([kept])
    [(_, question)] = c.again()
    [(_, stale)] = a.receive("c", question)
    assert c.receive("a", stale) == [] and not c.recovered
    [(_, fresh)] = b.receive("c", question)
    [(leader, fetch)] = c.receive("b", fresh)
    assert leader == "b" and not c.recovered
    [(_, bucket)] = b.receive("c", fetch)
    c.receive("b", bucket)
    assert c.recovered and c.promised == new and c.entries == {"other": kept}
    entry = Entry("k", Stamp(old, 1), b"claim")
    [(_, answer)] = c.receive("a", Write(old, 1, (entry,)))
    assert "k" not in c.entries and isinstance(answer, Refused)


def test_what_one_alone_has_is_written_to_a_majority_before_its_leader_leads() -> None:
    nodes = {name: Group(name, "abcde", 0) for name in "abcde"}
    for node in nodes.values():
        node.recovered = True
    entry, token = Entry("k", Stamp(Token(1, "a", 1), 1), b"claim"), Token(2, "c", 1)
    nodes["a"]._merge([entry])
    nodes["c"].lead(token)
    for name in "ab":
        [(_, promise)] = nodes[name].receive("c", Prepare(token))
        letters = nodes["c"].receive(name, promise)
    [(_, fetch)] = letters
    [(_, bucket)] = nodes["a"].receive("c", fetch)
    written = nodes["c"].receive("a", bucket)
    assert {to for to, _ in written} == set("abde") and not nodes["c"].is_leader
    assert all(isinstance(m, Write) and m.entries == (entry,) for _, m in written)
    for name in "bd":
        [(_, ack)] = nodes[name].receive("c", written[0][1])
        assert not nodes["c"].is_leader
        nodes["c"].receive(name, ack)
    assert nodes["c"].is_leader and nodes["d"].entries == {"k": entry}


def test_minority_that_is_whole_leads_nothing_until_it_begins_anew() -> None:
    net = Net(3, 1, loss=0.0)
    net.begin()
    for name in ("m1", "m2"):
        net.nodes[name] = Group(name, net.names, 50)
        net.lives[name] += 1
    net.take_over("m1")
    net.run(100)
    assert not net.nodes["m1"].is_leader and not net.nodes["m2"].recovered
    net.send("m1", net.nodes["m1"].reinitialize(net.nodes["m1"].promised, lambda: {"new": b"2"}))
    assert net.until_led().entries["new"].value == b"2"


def test_only_what_differs_is_shipped_and_the_newest_wins() -> None:
    one, other = Group("a", "ab", 0), Group("b", "ab", 0)
    entries = [Entry(f"k{n}", Stamp(Token(1, "a", 1), n), b"x") for n in range(500)]
    for group in (one, other):
        group._merge(entries)
    assert one.digests() == other.digests()
    newer = Entry("k7", Stamp(Token(2, "b", 1), 1), b"y")
    other._merge([newer])
    differ = [n for n, (a, b) in enumerate(zip(one.digests(), other.digests(), strict=True)) if a != b]
    assert len(differ) == 1
    marks = one._registers.marks(differ[0])
    assert other._registers.difference(differ[0], marks) == ((newer,), (mark_of(entries[7]),)), "it alone"
    one._merge([newer])
    one._merge([entries[7]])  # late
    assert one.entries["k7"] == newer and one.digests() == other.digests()
    one._merge([replace(newer, value=b"z")])
    assert one.conflicts == [(newer, replace(newer, value=b"z"))], "one stamp, two values: kept as evidence"


def told(
    groups: dict[str, Group],
    sender: str,
    letters: list[Letter],
    lost: Callable[[str, Message], bool] = lambda name, message: False,
) -> int:
    """All is heard, in order, but for what is lost. Returns the most that were asked for at once."""
    mail, most = [(sender, letter) for letter in letters], 0
    while mail:
        most = max(most, sum(isinstance(m, Fetch) for _, (_, m) in mail))
        sender, (to, message) = mail.pop(0)
        for name in [to] if to else [n for n in groups if n != sender]:
            if not lost(name, message):
                mail += [(name, letter) for letter in groups[name].receive(sender, message)]
    return most


def deaf(who: str) -> Callable[[str, Message], bool]:
    return lambda name, message: name == who


def led(buckets: int = 64) -> dict[str, Group]:
    groups = {name: Group(name, "abc", 0, buckets) for name in "abc"}
    for group in groups.values():
        group.recovered = True
    told(groups, "a", groups["a"].lead(Token(1, "a", 1)))
    assert groups["a"].is_leader
    return groups


def test_who_missed_writes_and_drops_finds_them_and_keeps_what_is_newer() -> None:
    groups = led()
    a, c = groups["a"], groups["c"]
    told(groups, "a", a.put({f"k{n}": b"x" for n in range(300)}, 1))
    told(groups, "a", a.put({f"k{n}": b"y" for n in range(100, 400)}, 2), deaf("c"))
    told(groups, "a", a.drop([f"k{n}" for n in range(50)]), deaf("c"))
    stray = Entry("stray", Stamp(Token(0, "b", 1), 9), b"never acknowledged")
    c._merge([stray])
    question = a.compare()
    late = a.put({"late": b"z", "k7": b"back"}, 3)  # c hears of these before it is told what the leader had
    for _, write in late:
        c.receive("a", write)
    assert told(groups, "a", question) <= 2 * WINDOW
    assert c.entries == a.entries and "k0" not in c.entries and "stray" not in c.entries
    assert c.entries["k7"].value == b"back" and a.digests() == c.digests()


def test_who_takes_over_writes_only_what_somebody_lacks() -> None:
    groups = led()
    a, b = groups["a"], groups["b"]
    told(groups, "a", a.put({f"k{n}": b"x" for n in range(300)}, 1))
    told(groups, "a", a.put({"k7": b"y"}, 2), deaf("b"))
    told(groups, "a", a.put({"k9": b"y"}, 3), deaf("c"))
    written = list[Entry]()
    take = Group._start_write

    def noted(self: Group, entries: list[Entry], *words: object, **more: bool) -> list[Letter]:
        written.extend(entries)
        return take(self, entries, *words, **more)  # type: ignore[arg-type]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Group, "_start_write", noted)
        told(groups, "b", b.lead(Token(2, "b", 1)))
    assert b.is_leader and {entry.key for entry in written} <= {"k7", "k9"}
    assert {"k7", "k9"} & {entry.key for entry in written} and b.entries["k7"].value == b"y"


def test_new_beginning_travels_in_parts_and_whoever_has_all_of_them_counts() -> None:
    groups = led()
    told(groups, "a", groups["a"].put({f"k{n}": b"x" for n in range(3 * PART_ENTRIES)}, 1))
    for name in "bc":
        groups[name] = Group(name, "abc", 7)
    a, b, token = groups["a"], groups["b"], Token(2, "a", 1)
    told(groups, "a", a.lead(token))
    assert not a.is_leader
    letters = a.reinitialize(token, lambda: {"new": b"1"})
    told(groups, "a", letters, lambda name, m: isinstance(m, Write) and m.part != 2)
    assert not b.recovered and not a.is_leader and len(b.entries) == PART_ENTRIES, "one part of four"
    told(groups, "a", a.again(), lambda name, m: isinstance(m, Write) and m.part == 0)
    assert not b.recovered and not a.is_leader, "three of four"
    told(groups, "a", a.again())
    assert b.recovered and a.is_leader and b.entries == a.entries


def test_strangers_and_what_nobody_asked_for_are_nothing() -> None:
    group = Group("a", "abc", 0)
    write = Write(Token(1, "b", 1), 1, (Entry("k", Stamp(Token(1, "b", 1), 1), b"v"),))
    assert group.receive("x", write) == [] and group.receive("c", write) == [] and not group.entries
    assert group.receive("b", Bucket(Token(1, "b", 1), 99, ())) == []
    assert group.receive("b", write) == [], "it is not whole: it acknowledges nothing"
    group.recovered = True
    assert len(group.receive("b", write)) == 1 and group.entries["k"].value == b"v"
