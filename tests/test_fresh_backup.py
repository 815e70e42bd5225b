"""A backup whose documents lag behind the commits that were announced to it."""

from __future__ import annotations

import unittest

from rookwood.coordination.document import Position
from rookwood.coordination.messages import Heartbeat, Write, WriteAck
from rookwood.coordination.outcomes import Backup, Committed
from rookwood.coordination.timing import Timing
from rookwood.lab.replica_harness import ReplicaHarness

A, B, C = "10.0.0.1", "10.0.0.2", "10.0.0.3"


class FreshBackupTest(unittest.TestCase):
    def test_backup_whose_documents_lag_is_not_fresh(self) -> None:
        """Dispatchers respond 404 by a position that counts as fresh (`HeartbeatAnswer.fresh`)."""
        harness = ReplicaHarness()
        harness.start_all()
        harness.lead(A)
        before = harness.replicas[C].snapshot()
        harness.propose(A, 1, b"new")
        harness.sync(A)
        for write in harness.take(Write, B):
            harness.receive(B, A, write)
        harness.sync(B)
        for ack in harness.take(WriteAck, A):
            harness.receive(A, B, ack)
        harness.now += Timing().copy_patience
        harness.tick(A)
        self.assertIsInstance(harness.outcomes[1], Committed)
        delayed = harness.take(Write, C)  # the document channel is slow or stuck; heartbeats have another one
        self.assertEqual(1, len(delayed))
        for _ in range(20):  # 4 s
            harness.now += Timing().heartbeat
            harness.tick(A)
            for heartbeat in harness.take(Heartbeat, C):
                assert isinstance(heartbeat, Heartbeat)
                harness.receive(C, A, heartbeat)
            for sender, to, message in [entry for entry in harness.sent if not isinstance(entry[2], Write)]:
                harness.sent.remove((sender, to, message))
                harness.receive(to, sender, message)
            harness.sync_all()
            harness.take(Write, C)
        role = harness.replicas[C].role(harness.now)
        assert isinstance(role, Backup)
        newest = harness.replicas[A].snapshot()
        known = harness.replicas[C].snapshot()
        self.assertEqual(before.sequence + 1, newest.sequence)
        self.assertFalse(
            role.is_fresh and Position(known.epoch, known.sequence) < Position(newest.epoch, newest.sequence),
            f"fresh at {known.sequence}, though the commit of {newest.sequence} was announced by heartbeats",
        )


if __name__ == "__main__":
    unittest.main()
