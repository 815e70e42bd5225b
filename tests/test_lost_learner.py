"""A learner that is lost must not be admitted as a member."""

import unittest

from rookwood.coordination.outcomes import Primary
from rookwood.lab.replica_harness import MEMBERS, ReplicaHarness

LEARNER = "10.0.0.4"
RECOVERY_TIME = 10.0


class LostLearnerTest(unittest.TestCase):
    def test_group_serves_again_once_two_of_three_members_are_back(self) -> None:
        away, primary, lost = MEMBERS
        harness = ReplicaHarness()
        harness.start_all()
        harness.lead(primary)
        harness.start(LEARNER, None)
        harness.pass_time(2.0)
        harness.down.add(away)
        harness.pass_time(0.6)
        harness.down.add(LEARNER)
        harness.pass_time(0.6)
        harness.down.add(lost)
        harness.pass_time(2.0)
        harness.start(away, harness.disks[away])
        harness.pass_time(RECOVERY_TIME)
        acting = [ip for ip in (away, primary) if isinstance(harness.replicas[ip].role(harness.now), Primary)]
        self.assertEqual(len(acting), 1)
