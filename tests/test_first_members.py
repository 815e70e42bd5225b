"""A group that still grows from its first members tolerates the loss of one of their disks.

Until it has `2 * tolerate + 1` members, it tolerates the loss of less than half of the members it has.
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
SEEDS_THAT_STAYED_WITHOUT_PRIMARY = (103, 127, 128, 129)
STEP = 0.1
RECOVERY_TIME = 12.0  # seconds


class FirstMembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness((A, B, C), TOLERATE)

    def primary(self) -> str | None:
        """Return the address of the primary, None if there is none."""
        running = {ip: r for ip, r in self.harness.replicas.items() if ip not in self.harness.down}
        roles = {ip: replica.role(self.harness.now) for ip, replica in running.items()}
        return next((ip for ip, role in roles.items() if isinstance(role, Primary)), None)

    def members(self) -> tuple[str, ...]:
        """Return the members that the primary knows, none without a primary."""
        primary = self.primary()
        return () if primary is None else self.harness.replicas[primary].members()

    def start_with_records(self, *with_record: str) -> None:
        """Start the first members; those outside `with_record` have empty disks."""
        for ip in (A, B, C):
            self.harness.start(ip, self.harness.first if ip in with_record else None)

    def test_disk_lost_before_the_group_has_grown_is_replaced(self) -> None:
        """With `tolerate` 2 a commit needs all three copies, and the lost one never returns."""
        self.start_with_records(A, B)
        self.harness.pass_time(RECOVERY_TIME)
        self.assertIsNotNone(self.primary())

    def test_change_under_way_when_a_disk_is_lost_commits_with_the_new_members(self) -> None:
        self.harness.start_all()
        self.harness.lead(A)
        self.harness.propose(A, 1, b"new")
        self.harness.start(C, None)
        self.harness.pass_time(RECOVERY_TIME)
        self.assertIsInstance(self.harness.outcomes[1], Committed)
        primary = self.primary()
        assert primary is not None
        self.assertEqual(b"new", self.harness.replicas[primary].snapshot().payload)

    def test_loss_of_two_of_three_disks_leaves_no_primary(self) -> None:
        """The remaining member cannot know whether the others promised a newer epoch."""
        self.start_with_records(A)
        self.harness.pass_time(RECOVERY_TIME)
        self.assertIsNone(self.primary())

    def test_group_grows_from_three_to_five_in_one_change(self) -> None:
        """Four members tolerate the loss of only one, as three do."""
        self.harness.start_all()
        sizes = set()
        for ip in (D, E):
            self.harness.start(ip, None)
        for _ in range(int(RECOVERY_TIME / STEP)):
            self.harness.pass_time(STEP)
            sizes.add(len(self.members()))
        self.assertEqual(5, len(self.members()))
        self.assertNotIn(4, sizes)

    def test_fourth_machine_alone_is_admitted_after_a_wait(self) -> None:
        self.harness.start_all()
        self.harness.start(D, None)
        self.harness.pass_time(RECOVERY_TIME)
        self.assertEqual(4, len(self.members()))

    def test_seeds_that_stayed_without_a_primary(self) -> None:
        for seed in SEEDS_THAT_STAYED_WITHOUT_PRIMARY:
            with self.subTest(seed=seed):
                Simulation(seed, GROWING).run()


class OutgoingMembersTest(unittest.TestCase):
    """A commit needs a copy quorum of the new members, but only a majority of the outgoing ones."""

    CONFIGURATION = Configuration((Member(A), Member(B), Member(C, 7)), (Member(A), Member(B), Member(C)))

    def test_commit_needs_a_majority_of_the_outgoing_members(self) -> None:
        self.assertTrue(self.CONFIGURATION.has_copy_quorum({A: 0, B: 0, C: 7}, TOLERATE))
        self.assertFalse(self.CONFIGURATION.has_copy_quorum({A: 0, C: 7}, TOLERATE))

    def test_commit_needs_all_copies_of_the_new_members(self) -> None:
        self.assertFalse(self.CONFIGURATION.has_copy_quorum({A: 0, B: 0, C: 0}, TOLERATE))


class ConstantChangesTest(unittest.TestCase):
    """Constant changes do not keep a machine from being admitted."""

    def test_machine_is_admitted_while_changes_always_wait(self) -> None:
        harness = ReplicaHarness()
        harness.start_all()
        harness.lead(A)
        harness.start(C, None)
        ticket = 0
        for _ in range(int(RECOVERY_TIME / STEP)):
            for _ in range(4):
                ticket += 1
                harness.propose(A, ticket, b".")
            harness.pass_time(STEP)
        self.assertTrue(harness.replicas[C].is_member())


if __name__ == "__main__":
    unittest.main()
