"""The replication under simulated networks, disks and faults, with many seeds; all invariants are checked."""

import unittest
from unittest.mock import patch

from rookwood.coordination import replication
from rookwood.coordination.context import Context
from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.messages import MembershipNotice
from rookwood.coordination.outcomes import Primary
from rookwood.lab.control_families import FAMILIES, HUNDREDS_OF_CHANGES
from rookwood.lab.controlsimulation import Plan, Simulation
from rookwood.lab.replica_harness import ReplicaHarness

SEEDS_PER_TEST = 30
SEEDS_PER_FAMILY = 4
ELECTION_TIME = 10.0


def respond_to_known_candidates_only(context: Context, candidate: str, position: Position | None) -> bool:
    """The rule before the fix of seed 5799: respond only to candidates that are known as members."""
    if not context.is_member():
        return False
    if context.configuration().has_address(candidate):
        return True
    context.send(candidate, MembershipNotice(context.configuration_position(), context.configuration()))
    return False


def elects_unknown_member() -> bool:
    """Return whether a majority of the newest members elects a primary if one knows only the old members."""
    known, other, lost, newcomer = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"
    token = 7
    harness = ReplicaHarness((known, other, lost))
    newest = Configuration((Member(known), Member(other), Member(newcomer, token)))
    harness.start(known, harness.first)
    harness.start(newcomer, Record(token, 1, True, Document(Position(1, 5), newest, b"x")))
    harness.pass_time(ELECTION_TIME)
    return isinstance(harness.replicas[newcomer].role(harness.now), Primary)


class SimulationTest(unittest.TestCase):
    def play(self, part: int) -> None:
        """Run the simulation with one part of the seeds."""
        for seed in range(part * SEEDS_PER_TEST, (part + 1) * SEEDS_PER_TEST):
            with self.subTest(seed=seed):
                report = Simulation(seed).run()
                self.assertGreater(report.committed, 0)

    def test_seeds_of_part_0(self) -> None:
        self.play(0)

    def test_seeds_of_part_1(self) -> None:
        self.play(1)

    def test_seeds_of_part_2(self) -> None:
        self.play(2)

    def test_seeds_of_part_3(self) -> None:
        self.play(3)

    def test_seeds_of_part_4(self) -> None:
        self.play(4)

    def test_seeds_of_part_5(self) -> None:
        self.play(5)

    def test_seeds_of_part_6(self) -> None:
        self.play(6)

    def test_seeds_of_part_7(self) -> None:
        self.play(7)

    def test_seeds_of_part_8(self) -> None:
        self.play(8)

    def test_seeds_of_part_9(self) -> None:
        self.play(9)

    def test_seed_replays_exactly(self) -> None:
        for seed in (3, 17, 98):
            first, second = Simulation(seed), Simulation(seed)
            first.run()
            second.run()
            self.assertEqual(first.trace, second.trace)
            self.assertEqual(first.report, second.report)

    def test_single_member_serves_alone(self) -> None:
        for seed in range(10):
            report = Simulation(seed, Plan(members=1, tolerate=0, faults=3)).run()
            self.assertGreater(report.committed, 0)

    def test_only_one_candidate_stands_at_a_time_on_busy_machines(self) -> None:
        for members in (3, 5):
            plan = Plan(
                members=members, tolerate=members // 2, faults=0, sync_time=0.1, longest_pause=0.25, calm=4.0
            )
            epochs = [Simulation(seed, plan).run().highest_epoch for seed in range(40)]
            self.assertEqual(epochs, [1] * 40)

    def test_member_with_an_older_configuration_votes_for_a_new_member_unknown_to_it(self) -> None:
        """Seed 5799 found this fault with an earlier operator model; the state is set up directly here."""
        self.assertTrue(elects_unknown_member())

    def test_fault_of_seed_5799_is_detected(self) -> None:
        with patch.object(replication, "may_respond_to_candidate", respond_to_known_candidates_only):
            self.assertFalse(elects_unknown_member())

    def test_fault_families(self) -> None:
        for name, plan in FAMILIES.items():
            for seed in range(SEEDS_PER_FAMILY):
                with self.subTest(family=name, seed=seed):
                    Simulation(seed, plan).run()

    def test_family_with_hundreds_of_changes_commits_as_many(self) -> None:
        self.assertGreater(Simulation(0, HUNDREDS_OF_CHANGES).run().committed, 300)
