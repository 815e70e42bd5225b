"""The relay tree of the dispatchers, and the choice of a parent in simulated time."""

import unittest
from collections import Counter
from collections.abc import Sequence
from itertools import product
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from rookwood.coordination.document import Position
from rookwood.coordination.parent_choice import ParentChoice, ParentTiming
from rookwood.coordination.relay_tree import Dispatcher, RelayTree, rank_of

ROOTS = ("10.9.0.1", "10.9.0.2", "10.9.0.3")
ZONES = 4
TICK = 0.1
TIMING = ParentTiming()
MAX_OTHERS_MOVED = 4


def dispatchers(count: int) -> list[Dispatcher]:
    return [
        Dispatcher(f"10.0.{index // 250}.{index % 250}", f"zone-{index % ZONES}") for index in range(count)
    ]


def parents_of(tree: RelayTree, members: Sequence[Dispatcher]) -> dict[str, str]:
    return {member.identity: tree.parents(member)[0] for member in members}


class RelayTreeTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 120), st.integers(0, 50), st.integers(4, 20), st.integers(0, 2**32))
    def test_links_of_different_views_form_no_cycle(
        self, count: int, epoch: int, fan_out: int, seed: int
    ) -> None:
        random = Random(seed)
        members = dispatchers(count)
        for dispatcher in members:
            view = [member for member in members if random.random() < 0.6]
            tree = RelayTree(view, ROOTS, epoch, fan_out)
            parents = tree.parents(dispatcher)
            self.assertEqual(set(parents[-len(ROOTS) :]), set(ROOTS))
            self.assertEqual(len(set(parents)), len(parents))
            for parent in set(parents) - set(ROOTS):
                self.assertLess(rank_of(parent, epoch), rank_of(dispatcher.identity, epoch))
                self.assertTrue(tree.may_be_parent(parent, dispatcher.identity))
                self.assertFalse(tree.may_be_parent(dispatcher.identity, parent))

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 150), st.integers(1, 5), st.integers(0, 50), st.integers(4, 20))
    def test_fan_out_is_bounded_and_roots_are_balanced(
        self, count: int, root_count: int, epoch: int, fan_out: int
    ) -> None:
        roots = [f"root-{index}" for index in range(root_count)]
        members = dispatchers(count)
        tree = RelayTree(members, roots, epoch, fan_out)
        children = Counter(parents_of(tree, members).values())
        self.assertLessEqual(max(children.values(), default=0), fan_out)
        direct_children = min(count, root_count * fan_out)
        self.assertEqual(sum(children[root] for root in roots), direct_children)
        self.assertLessEqual(max(children[root] for root in roots), -(-direct_children // root_count))

    def test_depth_is_logarithmic_and_every_dispatcher_reaches_a_root(self) -> None:
        for count, bound in ((8, 1), (70, 2), (320, 3), (1000, 3)):
            members = dispatchers(count)
            for epoch in range(4):
                tree = RelayTree(members, ROOTS, epoch)
                parents = parents_of(tree, members)
                for member in members:
                    node, depth = member.identity, 0
                    while node not in ROOTS:
                        node, depth = parents[node], depth + 1
                    self.assertLessEqual(depth, bound)
                    self.assertEqual(depth, tree.depth(member.identity))

    def test_loss_of_a_dispatcher_moves_its_children_and_few_others(self) -> None:
        for count, epoch in product((8, 70, 320), range(4)):
            members = dispatchers(count)
            before = parents_of(RelayTree(members, ROOTS, epoch), members)
            for lost in members[:: max(1, count // 40)]:
                rest = [member for member in members if member != lost]
                after = parents_of(RelayTree(rest, ROOTS, epoch), rest)
                moved = {name for name, parent in after.items() if parent != before[name]}
                children = {name for name in after if before[name] == lost.identity}
                self.assertLessEqual(children, moved)
                self.assertLessEqual(len(moved - children), MAX_OTHERS_MOVED)

    def test_loss_of_a_leaf_below_dispatchers_moves_almost_no_dispatcher(self) -> None:
        members = dispatchers(320)
        lost_leaves = moved = 0
        for epoch in range(8):
            before = parents_of(RelayTree(members, ROOTS, epoch), members)
            inner = set(before.values())
            leaves = [m for m in members if m.identity not in inner and before[m.identity] not in ROOTS]
            for lost in leaves[::20]:
                rest = [member for member in members if member != lost]
                after = parents_of(RelayTree(rest, ROOTS, epoch), rest)
                changed = sum(parent != before[name] for name, parent in after.items())
                self.assertLessEqual(changed, MAX_OTHERS_MOVED)
                lost_leaves += 1
                moved += changed
        self.assertLessEqual(moved, lost_leaves // 10)

    def test_parent_is_in_the_same_zone_where_possible(self) -> None:
        members = dispatchers(320)
        zones = {member.identity: member.zone for member in members}
        parents = parents_of(RelayTree(members, ROOTS, 1), members)
        below = [name for name, parent in parents.items() if parent not in ROOTS]
        same = sum(zones[name] == zones[parents[name]] for name in below)
        self.assertGreater(same / len(below), 0.9)

    def test_order_of_the_dispatchers_does_not_matter(self) -> None:
        members = dispatchers(100)
        forward = parents_of(RelayTree(members, ROOTS, 1), members)
        backward = parents_of(RelayTree(members[::-1], ROOTS[::-1], 1), members)
        self.assertEqual(forward, backward)

    def test_dispatcher_missing_from_its_own_view_gets_the_same_parents(self) -> None:
        members = dispatchers(100)
        full_tree = RelayTree(members, ROOTS, 1)
        for dispatcher in members[:10]:
            others = [member for member in members if member != dispatcher]
            self.assertEqual(RelayTree(others, ROOTS, 1).parents(dispatcher), full_tree.parents(dispatcher))

    def test_tree_without_a_root_or_with_a_small_fan_out_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            RelayTree(dispatchers(3), (), 1)
        with self.assertRaises(ValueError):
            RelayTree(dispatchers(3), ROOTS, 1, fan_out=3)


class ParentChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.choice = ParentChoice(("parent", "fallback", "root"), self.now)
        self.choice.record_message("parent", self.now)

    def run_until(self, end: float, *responsive_parents: str) -> None:
        while self.now < end:
            self.now += TICK
            for parent in responsive_parents:
                self.choice.record_message(parent, self.now)
            self.choice.tick(self.now)

    def test_responsive_parent_is_kept(self) -> None:
        self.run_until(60.0, "parent")
        self.assertEqual((self.choice.current_parent, self.choice.trial_parent), ("parent", None))

    def test_unresponsive_parent_is_left_after_the_silence_limit(self) -> None:
        self.run_until(TIMING.silence_limit - TICK)
        self.assertEqual(self.choice.current_parent, "parent")
        self.run_until(TIMING.silence_limit + 2 * TICK)
        self.assertEqual(self.choice.current_parent, "fallback")

    def test_fallback_that_never_responds_is_left_after_the_open_limit(self) -> None:
        self.choice.record_link_failure("parent", self.now)
        self.run_until(TIMING.open_limit + 2 * TICK)
        self.assertEqual(self.choice.current_parent, "root")

    def test_parent_that_lags_behind_the_digest_is_left(self) -> None:
        self.choice.record_digest(Position(1, 5), self.now)
        self.run_until(TIMING.lag_limit - TICK, "parent")
        self.assertEqual(self.choice.current_parent, "parent")
        self.run_until(TIMING.lag_limit + 2 * TICK, "parent")
        self.assertEqual(self.choice.current_parent, "fallback")

    def test_parent_that_delivers_within_the_limit_is_kept_under_steady_updates(self) -> None:
        for sequence in range(1, 200):
            self.choice.record_digest(Position(1, sequence), self.now)
            self.run_until(self.now + TICK, "parent")
            self.choice.record_update(Position(1, sequence - 1))
        self.assertEqual(self.choice.current_parent, "parent")

    def test_suspected_parent_is_left_at_once(self) -> None:
        self.choice.record_suspicion("parent", self.now)
        self.assertEqual(self.choice.current_parent, "fallback")

    def test_failed_fallback_is_skipped_when_the_parent_fails(self) -> None:
        self.choice.record_suspicion("fallback", self.now)
        self.assertEqual(self.choice.current_parent, "parent")
        self.choice.record_link_failure("parent", self.now)
        self.assertEqual(self.choice.current_parent, "root")

    def test_return_waits_for_a_message_of_the_better_parent(self) -> None:
        self.choice.record_link_failure("parent", self.now)
        self.run_until(TIMING.return_after + 2 * TICK, "fallback")
        self.assertEqual((self.choice.current_parent, self.choice.trial_parent), ("fallback", "parent"))
        self.run_until(self.now + TICK, "fallback", "parent")
        self.assertEqual((self.choice.current_parent, self.choice.trial_parent), ("parent", None))

    def test_dead_parent_is_tried_less_and_less_often_and_the_link_is_kept(self) -> None:
        self.choice.record_link_failure("parent", self.now)
        trials = 0
        trying = False
        while self.now < 120.0:
            self.run_until(self.now + TICK, "fallback")
            self.assertEqual(self.choice.current_parent, "fallback")
            trials += self.choice.trial_parent is not None and not trying
            trying = self.choice.trial_parent is not None
        self.assertLessEqual(trials, 8)
        self.assertGreaterEqual(trials, 3)

    def test_switches_to_a_flapping_parent_are_limited(self) -> None:
        switches = 0
        for _ in range(1200):
            before = self.choice.current_parent
            if before == "parent":
                self.choice.record_link_failure("parent", self.now)
            self.run_until(self.now + TICK, "fallback", "parent")
            switches += self.choice.current_parent != before
        self.assertLessEqual(switches, 16)

    def test_own_stall_does_not_count_as_silence_or_lag_of_the_parent(self) -> None:
        self.choice.record_digest(Position(1, 5), self.now)
        self.choice.tick(30.0)
        self.now = 30.0
        self.choice.record_update(Position(1, 5))
        self.run_until(31.0 - 2 * TICK)
        self.assertEqual(self.choice.current_parent, "parent")

    def test_new_parents_are_adopted_after_a_while_without_a_gap(self) -> None:
        self.choice.set_parents(("better", "root"), self.now)
        self.run_until(TIMING.return_after - TICK, "parent")
        self.assertEqual((self.choice.current_parent, self.choice.trial_parent), ("parent", None))
        self.run_until(TIMING.return_after + 2 * TICK, "parent")
        self.assertEqual((self.choice.current_parent, self.choice.trial_parent), ("parent", "better"))
        self.run_until(self.now + TICK, "parent", "better")
        self.assertEqual(self.choice.current_parent, "better")

    def test_parent_whose_exclusion_ends_first_is_chosen_if_all_are_excluded(self) -> None:
        for parent in ("parent", "fallback", "root"):
            self.now += TICK
            self.choice.record_link_failure(parent, self.now)
        self.assertEqual(self.choice.current_parent, "parent")


class Relay:
    """Dispatchers that exchange heartbeats over links; a parent accepts children within its limits only."""

    def __init__(self, count: int, epoch: int) -> None:
        self.now = 0.0
        self.members = dispatchers(count)
        self.tree = RelayTree(self.members, ROOTS, epoch)
        self.dead: set[str] = set()
        self.choices = {m.identity: ParentChoice(self.tree.parents(m), self.now) for m in self.members}
        self.linked_parents: dict[str, str] = {}
        self.switches = 0

    def step(self) -> None:
        self.now += TICK
        for name, choice in self.choices.items():
            if name in self.dead:
                continue
            before = choice.current_parent
            for parent in (choice.current_parent, choice.trial_parent):
                self._exchange(name, choice, parent)
            choice.tick(self.now)
            self.switches += choice.current_parent != before

    def _exchange(self, name: str, choice: ParentChoice, parent: str | None) -> None:
        if parent is None or parent in self.dead:
            return
        if self.linked_parents.get(name) != parent and self._rejects(parent, name):
            choice.record_link_failure(parent, self.now)
            return
        self.linked_parents[name] = parent
        choice.record_message(parent, self.now)

    def _rejects(self, parent: str, child: str) -> bool:
        if parent in ROOTS:
            return False
        is_full = self.child_count(parent) >= self.tree.children_limit
        return is_full or not self.tree.may_be_parent(parent, child)

    def child_count(self, parent: str) -> int:
        return sum(p == parent and name not in self.dead for name, p in self.linked_parents.items())

    def is_attached(self, name: str) -> bool:
        while name not in ROOTS:
            if name in self.dead or self.linked_parents.get(name) != self.choices[name].current_parent:
                return False
            name = self.linked_parents[name]
        return True

    def detached_count(self) -> int:
        return sum(name not in self.dead and not self.is_attached(name) for name in self.choices)


class MassLossTest(unittest.TestCase):
    STEPS_TO_ATTACH = 25  # the parent's silence limit, two unresponsive fallbacks, and a step for each
    STEPS_AFTER_ATTACHING = 300

    def test_all_survivors_attach_after_a_third_died_at_once_and_stay_attached(self) -> None:
        for seed in range(3):
            relay = Relay(320, seed)
            for _ in range(5):
                relay.step()
            self.assertEqual(relay.detached_count(), 0)
            relay.dead = set(Random(seed).sample(sorted(relay.choices), 96))
            for _ in range(self.STEPS_TO_ATTACH):
                relay.step()
            self.assertEqual(relay.detached_count(), 0)
            for _ in range(self.STEPS_AFTER_ATTACHING):
                relay.step()
                self.assertEqual(relay.detached_count(), 0)
            for member in relay.members:
                self.assertLessEqual(relay.child_count(member.identity), relay.tree.children_limit)
