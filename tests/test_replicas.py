"""The replicated registers: exhaustive exploration, mutants, and random runs of three and five members."""

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
SLOW |= {"a reinitialization is not recorded"}  # only `modelcheck` explores these


def test_every_state_of_a_takeover_satisfies_the_invariants() -> None:
    report = Explorer(Bounds(restarts=0)).explore()
    assert report.is_complete and report.states > 1_000 and report.led_states > 1_000


@pytest.mark.parametrize("name", sorted(MUTANTS.keys() - SLOW))
def test_exploration_finds_the_fault_of_each_mutant(name: str) -> None:
    mutant = MUTANTS[name]
    with pytest.raises(InvariantError):
        Explorer(replace(mutant.bounds, max_states=60_000), mutant.make).explore()


class Network:
    """A group of members in a network that loses, delays and duplicates messages."""

    def __init__(self, count: int, seed: int, loss: float) -> None:
        self.rng, self.loss, self.names = random.Random(seed), loss, [f"m{n}" for n in range(count)]
        self.nodes = {name: Group(name, self.names, 0) for name in self.names}
        self.in_flight: list[tuple[str, str, Message]] = []
        self.term, self.incarnations, self.leader = 0, dict.fromkeys(self.names, 1), ""
        self.acknowledged: dict[str, int] = {}  # by key: the latest committed ticket
        self.writes: dict[int, tuple[str, bytes]] = {}  # by ticket: key and value
        self.down: set[str] = set()

    def send(self, sender: str, letters: list[tuple[str | None, Message]]) -> None:
        for to, message in letters:
            for name in [to] if to else self.names:
                if name != sender and self.rng.random() >= self.loss:
                    self.in_flight += [(sender, name, message)] * (2 if self.rng.random() < 0.1 else 1)

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.rng.shuffle(self.in_flight)
            for _ in range(min(len(self.in_flight), 6)):
                sender, to, message = self.in_flight.pop()
                if to not in self.down:
                    self.send(to, self.nodes[to].receive(sender, message))
            for name in self.names:
                if name in self.down:
                    continue
                if name == self.leader:
                    self.send(name, self.nodes[name].lead(Token(self.term, name, self.incarnations[name])))
                if self.rng.random() < 0.3:
                    self.send(name, self.nodes[name].again())
                for ticket, committed in self.nodes[name].finished:
                    key, _ = self.writes[ticket]
                    if committed:
                        self.acknowledged[key] = max(ticket, self.acknowledged.get(key, 0))
                self.nodes[name].finished.clear()

    def take_over(self, name: str) -> Group:
        if self.leader:
            self.nodes[self.leader].step_down()
        self.leader, self.term = name, self.term + 1
        return self.nodes[name]

    def start_group(self) -> None:
        """Starts the group: no member has recovered, so m0 reinitializes it."""
        self.take_over("m0")
        for _ in range(200):
            self.run(5)
            node = self.nodes["m0"]
            self.send("m0", node.reinitialize(node.promised, lambda: {"new": b"1"}))
            if node.is_leader and all(n.recovered for n in self.nodes.values()):
                return
        raise AssertionError("the group was not reinitialized")

    def run_until_led(self) -> Group:
        for _ in range(400):
            self.run(5)
            if self.nodes[self.leader].is_leader:
                return self.nodes[self.leader]
        raise AssertionError("no member leads")


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count", [3, 5])
def test_committed_writes_survive_takeovers_and_restarts(count: int, seed: int) -> None:
    network = Network(count, seed, loss=0.15)
    network.start_group()
    ticket = 0
    for round_ in range(8):
        group = network.run_until_led()
        for n in range(5):
            ticket += 1
            network.writes[ticket] = (f"k{network.rng.randrange(20)}", f"{round_}.{n}".encode())
            key, value = network.writes[ticket]
            network.send(network.leader, group.put({key: value}, ticket))
            network.run(network.rng.randrange(6))
        old = network.leader
        if round_ % 2:  # the old leader restarts without its state and recovers before the next restart
            network.nodes[old] = Group(old, network.names, 1000 * round_ + 10)
            network.incarnations[old] += 1
        network.leader = ""
        network.take_over(network.rng.choice([name for name in network.names if name != old]))
        group = network.run_until_led()
        for key, latest_committed in network.acknowledged.items():
            [found] = [n for n, write in network.writes.items() if write == (key, group.entries[key].value)]
            assert found >= latest_committed, "an older value has replaced a committed one"
        for _ in range(400):
            if all(node.recovered for node in network.nodes.values()):
                break
            network.run(5)
        assert all(node.recovered for node in network.nodes.values()), "a restarted member recovers"
    assert len(network.acknowledged) > 5 and not any(node.conflicts for node in network.nodes.values())


def test_recovery_needs_a_majority_since_a_single_leader_may_be_deposed() -> None:
    names = ("a", "b", "c")
    a, b, c = (Group(name, names, 0) for name in names)
    old, new = Token(1, "a", 1), Token(2, "b", 1)
    a.recovered = b.recovered = a.is_leader = b.is_leader = True
    a.promised, b.promised = old, new  # a does not know of b yet; c had promised b's token, and has lost that
    kept = Entry("other", Stamp(new, 1), b"served")
    b._merge([kept])
    [(_, request)] = c.again()
    [(_, stale)] = a.receive("c", request)
    assert c.receive("a", stale) == [] and not c.recovered
    [(_, fresh)] = b.receive("c", request)
    [(leader, fetch)] = c.receive("b", fresh)
    assert leader == "b" and not c.recovered
    [(_, bucket)] = b.receive("c", fetch)
    c.receive("b", bucket)
    assert c.recovered and c.promised == new and c.entries == {"other": kept}
    entry = Entry("k", Stamp(old, 1), b"claim")
    [(_, response)] = c.receive("a", Write(old, 1, (entry,)))
    assert "k" not in c.entries and isinstance(response, Refused)


def test_entry_of_one_member_is_written_to_a_majority_before_the_takeover_ends() -> None:
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


def test_recovered_minority_has_no_leader_until_it_is_reinitialized() -> None:
    network = Network(3, 1, loss=0.0)
    network.start_group()
    for name in ("m1", "m2"):
        network.nodes[name] = Group(name, network.names, 50)
        network.incarnations[name] += 1
    network.take_over("m1")
    network.run(100)
    assert not network.nodes["m1"].is_leader and not network.nodes["m2"].recovered
    network.send("m1", network.nodes["m1"].reinitialize(network.nodes["m1"].promised, lambda: {"new": b"2"}))
    assert network.run_until_led().entries["new"].value == b"2"


def test_only_differences_are_transferred_and_the_newest_entry_prevails() -> None:
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
    assert other._registers.difference(differ[0], marks) == ((newer,), (mark_of(entries[7]),)), (
        "only the newer entry"
    )
    one._merge([newer])
    one._merge([entries[7]])  # an older entry arrives late
    assert one.entries["k7"] == newer and one.digests() == other.digests()
    one._merge([replace(newer, value=b"z")])
    assert one.conflicts == [(newer, replace(newer, value=b"z"))], (
        "one stamp, two values: recorded as a conflict"
    )


def deliver_all(
    groups: dict[str, Group],
    sender: str,
    letters: list[Letter],
    lost: Callable[[str, Message], bool] = lambda name, message: False,
) -> int:
    """Delivers all messages in order, except those that `lost` drops.

    Returns the highest number of fetch requests that were under way at once.
    """
    messages, most_fetches = [(sender, letter) for letter in letters], 0
    while messages:
        most_fetches = max(most_fetches, sum(isinstance(m, Fetch) for _, (_, m) in messages))
        sender, (to, message) = messages.pop(0)
        for name in [to] if to else [n for n in groups if n != sender]:
            if not lost(name, message):
                messages += [(name, letter) for letter in groups[name].receive(sender, message)]
    return most_fetches


def all_messages_to(receiver: str) -> Callable[[str, Message], bool]:
    return lambda name, message: name == receiver


def led_groups(buckets: int = 64) -> dict[str, Group]:
    groups = {name: Group(name, "abc", 0, buckets) for name in "abc"}
    for group in groups.values():
        group.recovered = True
    deliver_all(groups, "a", groups["a"].lead(Token(1, "a", 1)))
    assert groups["a"].is_leader
    return groups


def test_member_that_missed_writes_and_drops_copies_them_and_keeps_newer_entries() -> None:
    groups = led_groups()
    a, c = groups["a"], groups["c"]
    deliver_all(groups, "a", a.put({f"k{n}": b"x" for n in range(300)}, 1))
    deliver_all(groups, "a", a.put({f"k{n}": b"y" for n in range(100, 400)}, 2), all_messages_to("c"))
    deliver_all(groups, "a", a.drop([f"k{n}" for n in range(50)]), all_messages_to("c"))
    stray = Entry("stray", Stamp(Token(0, "b", 1), 9), b"never acknowledged")
    c._merge([stray])
    request = a.compare()
    late = a.put({"late": b"z", "k7": b"back"}, 3)  # c receives these before the leader's digests
    for _, write in late:
        c.receive("a", write)
    assert deliver_all(groups, "a", request) <= 2 * WINDOW
    assert c.entries == a.entries and "k0" not in c.entries and "stray" not in c.entries
    assert c.entries["k7"].value == b"back" and a.digests() == c.digests()


def test_takeover_writes_only_entries_that_some_member_lacks() -> None:
    groups = led_groups()
    a, b = groups["a"], groups["b"]
    deliver_all(groups, "a", a.put({f"k{n}": b"x" for n in range(300)}, 1))
    deliver_all(groups, "a", a.put({"k7": b"y"}, 2), all_messages_to("b"))
    deliver_all(groups, "a", a.put({"k9": b"y"}, 3), all_messages_to("c"))
    written = list[Entry]()
    start_write = Group._start_write

    def recording_write(
        self: Group, entries: list[Entry], *arguments: object, **keywords: bool
    ) -> list[Letter]:
        written.extend(entries)
        return start_write(self, entries, *arguments, **keywords)  # type: ignore[arg-type]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Group, "_start_write", recording_write)
        deliver_all(groups, "b", b.lead(Token(2, "b", 1)))
    assert b.is_leader and {entry.key for entry in written} <= {"k7", "k9"}
    assert {"k7", "k9"} & {entry.key for entry in written} and b.entries["k7"].value == b"y"


def test_reinitialization_is_sent_in_parts_and_counts_once_all_have_arrived() -> None:
    groups = led_groups()
    deliver_all(groups, "a", groups["a"].put({f"k{n}": b"x" for n in range(3 * PART_ENTRIES)}, 1))
    for name in "bc":
        groups[name] = Group(name, "abc", 7)
    a, b, token = groups["a"], groups["b"], Token(2, "a", 1)
    deliver_all(groups, "a", a.lead(token))
    assert not a.is_leader
    letters = a.reinitialize(token, lambda: {"new": b"1"})
    deliver_all(groups, "a", letters, lambda name, m: isinstance(m, Write) and m.part != 2)
    assert not b.recovered and not a.is_leader and len(b.entries) == PART_ENTRIES, "one part of four"
    deliver_all(groups, "a", a.again(), lambda name, m: isinstance(m, Write) and m.part == 0)
    assert not b.recovered and not a.is_leader, "three of four"
    deliver_all(groups, "a", a.again())
    assert b.recovered and a.is_leader and b.entries == a.entries


def test_messages_of_unknown_senders_and_unrequested_buckets_are_ignored() -> None:
    group = Group("a", "abc", 0)
    write = Write(Token(1, "b", 1), 1, (Entry("k", Stamp(Token(1, "b", 1), 1), b"v"),))
    assert group.receive("x", write) == [] and group.receive("c", write) == [] and not group.entries
    assert group.receive("b", Bucket(Token(1, "b", 1), 99, ())) == []
    assert group.receive("b", write) == [], "a member that has not recovered acknowledges nothing"
    group.recovered = True
    assert len(group.receive("b", write)) == 1 and group.entries["k"].value == b"v"
