"""When a control machine may say that it is fresh: dispatchers and operators take its word for it."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from rookwood.coordination.document import Position
from rookwood.coordination.following import Follower
from rookwood.coordination.messages import Heartbeat
from rookwood.coordination.outcomes import Backup
from rookwood.coordination.timing import Timing
from rookwood.lab.controlsimulation import Fault, InvariantError, Plan, Simulation
from rookwood.lab.replica_harness import ReplicaHarness

A, B, C = "10.0.0.1", "10.0.0.2", "10.0.0.3"
LEASE = Timing().lease
FREEZES = Plan(kinds=(Fault.FREEZE, Fault.CUT), operator_pause=0.05, longest=5.0)
GROWING = Plan(members=3, tolerate=2, spares=6, triggered=0.05, longest=7.0)
SEEDS = range(20, 32)


class FreshClaimTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)

    def role_of(self, ip: str) -> Backup:
        """The role of a backup."""
        role = self.harness.replicas[ip].role(self.harness.now)
        assert isinstance(role, Backup), role
        return role

    def hear(self, ip: str, epoch: int, committed: Position) -> None:
        """Let a backup hear a primary."""
        self.harness.receive(ip, A, Heartbeat(epoch, 99, committed, committed))

    def test_a_backup_is_fresh_while_it_hears_an_established_primary(self) -> None:
        self.assertTrue(self.role_of(C).is_fresh)

    def test_nobody_is_fresh_by_a_primary_that_has_committed_nothing_yet(self) -> None:
        """What its predecessors committed may be missing here, and it cannot tell before its first commit."""
        self.hear(C, epoch=50, committed=Position())
        role = self.role_of(C)
        self.assertTrue(role.in_contact)
        self.assertFalse(role.is_fresh)

    def test_what_waited_while_the_process_stood_still_makes_nobody_fresh(self) -> None:
        """Heartbeats wait in the kernel meanwhile; the first ones that are read may be seconds old."""
        epoch = self.role_of(C).epoch
        committed = self.harness.replicas[C].record().document.position
        self.harness.now += 4.0
        self.hear(C, epoch, committed)
        self.assertFalse(self.role_of(C).is_fresh)
        for _ in range(6):
            self.harness.now += LEASE / 5
            self.hear(C, epoch, committed)
        self.assertTrue(self.role_of(C).is_fresh, "heartbeats have gone on to come since it woke")

    def test_claims_of_simulated_machines_hold(self) -> None:
        for plan in (FREEZES, GROWING):
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    self.assertGreater(Simulation(seed, plan).run().fresh_claims, 0)


class MutantTest(unittest.TestCase):
    """The watch must find the faults that it found first."""

    def violations(self, plan: Plan) -> list[str]:
        """What the seeds come to."""
        found = []
        for seed in SEEDS:
            try:
                Simulation(seed, plan).run()
            except InvariantError as error:
                found.append(str(error))
        return found

    def test_a_backup_that_is_level_without_any_commit_is_found(self) -> None:
        def is_level(follower: Follower) -> bool:
            return follower._context.applied >= follower._committed

        with patch.object(Follower, "_is_level", is_level):
            self.assertIn("claims to be fresh", " ".join(self.violations(GROWING)))


if __name__ == "__main__":
    unittest.main()
