"""A group that is not whole yet: it grows from the first members, and bears the loss of one of their disks.

Until it has `2 * tolerate + 1` members, it bears the loss of less than half of those that it has.
"""

from __future__ import annotations

import unittest

from rookwood.coordination.document import Configuration, Member
from rookwood.coordination.outcomes import Committed, Primary
from rookwood.lab.controlsimulation import Plan, Simulation
from rookwood.lab.replica_harness import ReplicaHarness

A, B, C, D, E = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"
TOLERATE = 2
GROWING = Plan(members=3, tolerate=TOLERATE, spares=6, triggered=0.05, longest=7.0)
SEEDS_THAT_HAD_NO_PRIMARY = (103, 127, 128, 129)
STEP = 0.1
LONG = 12.0  # seconds


class FirstMembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness((A, B, C), TOLERATE)

    def primary(self) -> str | None:
        """Who leads."""
        running = {ip: r for ip, r in self.harness.replicas.items() if ip not in self.harness.down}
        roles = {ip: replica.role(self.harness.now) for ip, replica in running.items()}
        return next((ip for ip, role in roles.items() if isinstance(role, Primary)), None)

    def members(self) -> tuple[str, ...]:
        """Who the members are, as the primary knows."""
        primary = self.primary()
        return () if primary is None else self.harness.replicas[primary].members()

    def start_with_disks(self, *held: str) -> None:
        """Start the first members; those whose disks are not held begin empty."""
        for ip in (A, B, C):
            self.harness.start(ip, self.harness.first if ip in held else None)

    def test_a_disk_lost_before_the_group_has_grown_is_replaced(self) -> None:
        """All three copies are needed with `tolerate` 2, and the lost one never comes back."""
        self.start_with_disks(A, B)
        self.harness.pass_time(LONG)
        self.assertIsNotNone(self.primary())

    def test_a_change_under_way_when_the_disk_is_lost_is_committed_under_the_new_members(self) -> None:
        self.harness.start_all()
        self.harness.lead(A)
        self.harness.propose(A, 1, b"new")
        self.harness.start(C, None)
        self.harness.pass_time(LONG)
        self.assertIsInstance(self.harness.outcomes[1], Committed)
        primary = self.primary()
        assert primary is not None
        self.assertEqual(b"new", self.harness.replicas[primary].snapshot().payload)

    def test_two_disks_of_three_are_too_many_and_nothing_is_made_up(self) -> None:
        """The one that is left can't tell whether the others promised a newer epoch."""
        self.start_with_disks(A)
        self.harness.pass_time(LONG)
        self.assertIsNone(self.primary())

    def test_the_group_goes_from_three_to_five_at_once(self) -> None:
        """Four members bear the loss of one alone, as three do."""
        self.harness.start_all()
        sizes = set()
        for ip in (D, E):
            self.harness.start(ip, None)
        for _ in range(int(LONG / STEP)):
            self.harness.pass_time(STEP)
            sizes.add(len(self.members()))
        self.assertEqual(5, len(self.members()))
        self.assertNotIn(4, sizes)

    def test_a_fourth_machine_alone_is_admitted_after_a_while(self) -> None:
        self.harness.start_all()
        self.harness.start(D, None)
        self.harness.pass_time(LONG)
        self.assertEqual(4, len(self.members()))

    def test_seeds_that_had_no_primary_for_good(self) -> None:
        for seed in SEEDS_THAT_HAD_NO_PRIMARY:
            with self.subTest(seed=seed):
                Simulation(seed, GROWING).run()


class OutgoingMembersTest(unittest.TestCase):
    """Copies make a document durable among the new members; of the old ones a majority is enough."""

    CONFIGURATION = Configuration((Member(A), Member(B), Member(C, 7)), (Member(A), Member(B), Member(C)))

    def test_a_majority_of_the_outgoing_members_is_needed(self) -> None:
        self.assertTrue(self.CONFIGURATION.has_copies({A: 0, B: 0, C: 7}, TOLERATE))
        self.assertFalse(self.CONFIGURATION.has_copies({A: 0, C: 7}, TOLERATE))

    def test_all_copies_of_the_new_members_are_needed(self) -> None:
        self.assertFalse(self.CONFIGURATION.has_copies({A: 0, B: 0, C: 0}, TOLERATE))


class ConstantChangesTest(unittest.TestCase):
    """Changes that never rest keep no machine from being admitted."""

    def test_a_machine_is_admitted_while_changes_always_wait(self) -> None:
        harness = ReplicaHarness()
        harness.start_all()
        harness.lead(A)
        harness.start(C, None)
        ticket = 0
        for _ in range(int(LONG / STEP)):
            for _ in range(4):
                ticket += 1
                harness.propose(A, ticket, b".")
            harness.pass_time(STEP)
        self.assertTrue(harness.replicas[C].is_member())


if __name__ == "__main__":
    unittest.main()
