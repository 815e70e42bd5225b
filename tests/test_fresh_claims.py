"""When a control machine may claim to be fresh; dispatchers and operators rely on this claim."""

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
        """Return the role of a machine, which must be a backup."""
        role = self.harness.replicas[ip].role(self.harness.now)
        assert isinstance(role, Backup), role
        return role

    def receive_heartbeat(self, ip: str, epoch: int, committed: Position) -> None:
        """Deliver a heartbeat of a primary to a machine."""
        self.harness.receive(ip, A, Heartbeat(epoch, 99, committed, committed))

    def test_backup_is_fresh_while_in_contact_with_an_established_primary(self) -> None:
        self.assertTrue(self.role_of(C).is_fresh)

    def test_backup_is_not_fresh_before_the_first_commit_of_a_primary(self) -> None:
        """Commits of earlier primaries may be missing here, which shows only with the primary's first one."""
        self.receive_heartbeat(C, epoch=50, committed=Position())
        role = self.role_of(C)
        self.assertTrue(role.in_contact)
        self.assertFalse(role.is_fresh)

    def test_messages_queued_during_a_stall_do_not_make_a_backup_fresh(self) -> None:
        """Heartbeats wait in the kernel during a stall, so the first ones read then may be seconds old."""
        epoch = self.role_of(C).epoch
        committed = self.harness.replicas[C].record().document.position
        self.harness.now += 4.0
        self.receive_heartbeat(C, epoch, committed)
        self.assertFalse(self.role_of(C).is_fresh)
        for _ in range(6):
            self.harness.now += LEASE / 5
            self.receive_heartbeat(C, epoch, committed)
        self.assertTrue(self.role_of(C).is_fresh, "heartbeats have continued since the stall")

    def test_claims_of_simulated_machines_are_true(self) -> None:
        for plan in (FREEZES, GROWING):
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    self.assertGreater(Simulation(seed, plan).run().fresh_claims, 0)


class MutantTest(unittest.TestCase):
    """The check of claims must detect the fault that it once found."""

    def violations(self, plan: Plan) -> list[str]:
        """Return the invariant violations that the seeds find."""
        found = []
        for seed in SEEDS:
            try:
                Simulation(seed, plan).run()
            except InvariantError as error:
                found.append(str(error))
        return found

    def test_backup_that_claims_to_be_up_to_date_without_any_commit_is_found(self) -> None:
        def is_up_to_date(follower: Follower) -> bool:
            return follower._context.applied_position >= follower._committed_position

        with patch.object(Follower, "_is_up_to_date", is_up_to_date):
            self.assertIn("claims to be fresh", " ".join(self.violations(GROWING)))


if __name__ == "__main__":
    unittest.main()
