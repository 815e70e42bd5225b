"""At most one write is under way to each member, and only the newest document waits behind it."""

import unittest

from rookwood.coordination.document import Position
from rookwood.coordination.messages import Heartbeat, HeartbeatAck, Message, Write, WriteAck, WriteFailed
from rookwood.coordination.outcomes import Committed
from rookwood.coordination.timing import Timing
from rookwood.lab.replica_harness import ReplicaHarness

A, B, C = "10.0.0.1", "10.0.0.2", "10.0.0.3"
CHANGES = 40
TIMING = Timing()


class WritesUnderWayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)

    def change(self, ticket: int) -> None:
        """Commit a change with the copies of A and B only; C receives nothing."""
        self.harness.propose(A, ticket, b"%d," % ticket)
        self.harness.sync(A)
        self.replicate_to_b()
        self.harness.now += TIMING.copy_patience
        self.harness.tick(A)
        self.assertIsInstance(self.harness.outcomes[ticket], Committed)

    def replicate_to_b(self) -> None:
        """Deliver writes and heartbeats to B, and its acknowledgements to A."""
        for message in self.harness.take(Write, B) + self.harness.take(Heartbeat, B):
            self.harness.receive(B, A, message)
        self.harness.sync(B)
        for message in self.harness.take(WriteAck, A) + self.harness.take(HeartbeatAck, A):
            self.harness.receive(A, B, message)

    def documents_sent_to_c(self) -> list[Position]:
        """Return the positions of the documents sent to C since the previous call."""
        return [position_of(write) for write in self.harness.take(Write, C)]

    def acknowledge_write_from_c(self, position: Position) -> None:
        """Deliver C's acknowledgement of a document."""
        self.harness.receive(A, C, WriteAck(position.epoch, position, 0))

    def acknowledge_heartbeat_from_c(self, stored: Position, number: int | None = None) -> None:
        """Deliver C's acknowledgement of a heartbeat round, by default the latest one."""
        sent = [
            message.round for message in self.harness.take(Heartbeat, C) if isinstance(message, Heartbeat)
        ]
        answered = sent[-1] if number is None else number
        self.harness.receive(A, C, HeartbeatAck(stored.epoch, answered, stored, 0))

    def start_round(self) -> int:
        """Let A start a heartbeat round, and return its number."""
        self.harness.now += TIMING.heartbeat
        self.harness.tick(A)
        heartbeat = self.harness.take(Heartbeat, C)[-1]
        assert isinstance(heartbeat, Heartbeat)
        return heartbeat.round

    def committed_position(self) -> Position:
        """Return the position of the newest commit."""
        snapshot = self.harness.replicas[A].snapshot()
        return Position(snapshot.epoch, snapshot.sequence)

    def test_member_that_lags_during_many_changes_is_sent_one_document(self) -> None:
        for ticket in range(1, CHANGES + 1):
            self.change(ticket)
        self.assertEqual(1, len(self.documents_sent_to_c()))

    def test_newest_document_is_sent_after_an_acknowledgement(self) -> None:
        for ticket in range(1, 5):
            self.change(ticket)
        first = self.documents_sent_to_c()[0]
        self.acknowledge_write_from_c(first)
        self.assertEqual([self.committed_position()], self.documents_sent_to_c())
        self.acknowledge_write_from_c(self.committed_position())
        self.assertEqual([], self.documents_sent_to_c())

    def test_heartbeat_acknowledgement_replaces_a_lost_write_acknowledgement(self) -> None:
        for ticket in (1, 2):
            self.change(ticket)
        first = self.documents_sent_to_c()[0]
        self.acknowledge_heartbeat_from_c(first, number=0)
        self.assertEqual([self.committed_position()], self.documents_sent_to_c())

    def test_acknowledgement_of_an_earlier_heartbeat_does_not_end_a_write(self) -> None:
        older = self.committed_position()
        earlier = self.start_round()
        for ticket in (1, 2):
            self.change(ticket)
        self.documents_sent_to_c()
        self.acknowledge_write_from_c(older)
        self.acknowledge_heartbeat_from_c(older, earlier)
        self.assertEqual([], self.documents_sent_to_c())

    def test_acknowledgement_of_a_later_heartbeat_ends_a_write(self) -> None:
        older = self.committed_position()
        for ticket in (1, 2):
            self.change(ticket)
        self.documents_sent_to_c()
        self.acknowledge_heartbeat_from_c(older)
        self.assertEqual([self.committed_position()], self.documents_sent_to_c())

    def test_new_change_is_sent_after_the_previous_one_was_lost(self) -> None:
        older = self.committed_position()
        self.change(1)
        self.documents_sent_to_c()
        self.acknowledge_heartbeat_from_c(older)
        self.assertEqual([], self.documents_sent_to_c())
        self.change(2)
        self.assertEqual([self.committed_position()], self.documents_sent_to_c())

    def test_lost_write_is_resent_after_the_resend_time(self) -> None:
        older = self.committed_position()
        self.change(1)
        self.documents_sent_to_c()
        self.harness.now += TIMING.write_resend
        self.acknowledge_heartbeat_from_c(older)
        self.assertEqual([self.committed_position()], self.documents_sent_to_c())

    def test_failed_write_is_no_longer_under_way(self) -> None:
        self.change(1)
        failed = self.documents_sent_to_c()[0]
        self.harness.receive(A, C, WriteFailed(failed.epoch, failed))
        self.assertEqual([], self.documents_sent_to_c())
        self.change(2)
        self.assertEqual([self.committed_position()], self.documents_sent_to_c())

    def test_failure_of_an_earlier_write_does_not_end_a_write(self) -> None:
        earlier = self.committed_position()
        self.change(1)
        self.documents_sent_to_c()
        self.harness.receive(A, C, WriteFailed(earlier.epoch, earlier))
        self.change(2)
        self.assertEqual([], self.documents_sent_to_c())

    def test_restarted_member_is_sent_the_newest_document_at_once(self) -> None:
        for ticket in (1, 2):
            self.change(ticket)
        self.documents_sent_to_c()
        self.harness.start(C, self.harness.disks[C])
        self.harness.receive(A, C, HeartbeatAck(1, 1, Position(), 0))
        self.assertEqual([self.committed_position()], self.documents_sent_to_c())

    def test_heartbeats_continue_while_a_write_is_under_way(self) -> None:
        self.change(1)
        self.harness.take(Heartbeat)
        self.harness.now += TIMING.heartbeat
        self.harness.tick(A)
        self.assertEqual(1, len(self.harness.take(Heartbeat, C)))

    def test_without_faults_each_change_is_sent_to_all_at_once(self) -> None:
        for ticket in (1, 2, 3):
            self.harness.propose(A, ticket, b"x")
            for ip in (B, C):
                sent = [write for _, to, write in self.harness.sent if to == ip and isinstance(write, Write)]
                self.assertEqual(1, len(sent))
            self.harness.settle()
            self.assertIsInstance(self.harness.outcomes[ticket], Committed)

    def test_commits_wait_again_for_a_member_that_caught_up(self) -> None:
        for ticket in (1, 2):
            self.change(ticket)
        self.acknowledge_write_from_c(self.documents_sent_to_c()[0])
        self.acknowledge_write_from_c(self.committed_position())
        self.documents_sent_to_c()
        self.harness.propose(A, 3, b"x")
        self.harness.sync(A)
        self.replicate_to_b()
        self.assertNotIn(3, self.harness.outcomes)


def position_of(write: Message) -> Position:
    """Return the position of the document in a write."""
    assert isinstance(write, Write)
    return write.document.position


if __name__ == "__main__":
    unittest.main()
