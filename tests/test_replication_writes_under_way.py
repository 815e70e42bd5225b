"""One write is under way to each member; the newest document takes the place of what would wait."""

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
        """Make a change with the copies of A and B alone, C taking nothing from its link."""
        self.harness.propose(A, ticket, b"%d," % ticket)
        self.harness.sync(A)
        self.copy_to_second()
        self.harness.now += TIMING.copy_patience
        self.harness.tick(A)
        self.assertIsInstance(self.harness.outcomes[ticket], Committed)

    def copy_to_second(self) -> None:
        """Let B take its write and the heartbeats, and A the answers."""
        for message in self.harness.take(Write, B) + self.harness.take(Heartbeat, B):
            self.harness.receive(B, A, message)
        self.harness.sync(B)
        for message in self.harness.take(WriteAck, A) + self.harness.take(HeartbeatAck, A):
            self.harness.receive(A, B, message)

    def written_to_third(self) -> list[Position]:
        """Return the positions of the documents sent to C since the last look."""
        return [position_of(write) for write in self.harness.take(Write, C)]

    def acknowledge(self, position: Position) -> None:
        """Let C acknowledge a document."""
        self.harness.receive(A, C, WriteAck(position.epoch, position, 0))

    def answer_heartbeat(self, stored: Position, number: int | None = None) -> None:
        """Let C answer a heartbeat round, the latest unless another is given."""
        sent = [
            message.round for message in self.harness.take(Heartbeat, C) if isinstance(message, Heartbeat)
        ]
        answered = sent[-1] if number is None else number
        self.harness.receive(A, C, HeartbeatAck(stored.epoch, answered, stored, 0))

    def latest_round(self) -> int:
        """The number of the latest heartbeat round."""
        self.harness.now += TIMING.heartbeat
        self.harness.tick(A)
        heartbeat = self.harness.take(Heartbeat, C)[-1]
        assert isinstance(heartbeat, Heartbeat)
        return heartbeat.round

    def newest(self) -> Position:
        """The position of the newest commit."""
        snapshot = self.harness.replicas[A].snapshot()
        return Position(snapshot.epoch, snapshot.sequence)

    def test_member_that_lags_through_many_changes_is_sent_one_document(self) -> None:
        for ticket in range(1, CHANGES + 1):
            self.change(ticket)
        self.assertEqual(1, len(self.written_to_third()))

    def test_newest_document_follows_the_answer(self) -> None:
        for ticket in range(1, 5):
            self.change(ticket)
        first = self.written_to_third()[0]
        self.acknowledge(first)
        self.assertEqual([self.newest()], self.written_to_third())
        self.acknowledge(self.newest())
        self.assertEqual([], self.written_to_third())

    def test_answer_to_a_heartbeat_counts_where_that_of_the_write_was_lost(self) -> None:
        for ticket in (1, 2):
            self.change(ticket)
        first = self.written_to_third()[0]
        self.answer_heartbeat(first, number=0)
        self.assertEqual([self.newest()], self.written_to_third())

    def test_answer_to_an_earlier_heartbeat_frees_nothing(self) -> None:
        older = self.newest()
        earlier = self.latest_round()
        for ticket in (1, 2):
            self.change(ticket)
        self.written_to_third()
        self.acknowledge(older)
        self.answer_heartbeat(older, earlier)
        self.assertEqual([], self.written_to_third())

    def test_answer_to_a_later_heartbeat_shows_that_the_link_is_free(self) -> None:
        older = self.newest()
        for ticket in (1, 2):
            self.change(ticket)
        self.written_to_third()
        self.answer_heartbeat(older)
        self.assertEqual([self.newest()], self.written_to_third())

    def test_new_change_is_sent_though_the_one_before_was_lost(self) -> None:
        older = self.newest()
        self.change(1)
        self.written_to_third()
        self.answer_heartbeat(older)
        self.assertEqual([], self.written_to_third())
        self.change(2)
        self.assertEqual([self.newest()], self.written_to_third())

    def test_lost_write_is_repeated_after_a_while(self) -> None:
        older = self.newest()
        self.change(1)
        self.written_to_third()
        self.harness.now += TIMING.write_resend
        self.answer_heartbeat(older)
        self.assertEqual([self.newest()], self.written_to_third())

    def test_failed_write_is_no_more_under_way(self) -> None:
        self.change(1)
        failed = self.written_to_third()[0]
        self.harness.receive(A, C, WriteFailed(failed.epoch, failed))
        self.assertEqual([], self.written_to_third())
        self.change(2)
        self.assertEqual([self.newest()], self.written_to_third())

    def test_failure_of_an_earlier_write_frees_nothing(self) -> None:
        earlier = self.newest()
        self.change(1)
        self.written_to_third()
        self.harness.receive(A, C, WriteFailed(earlier.epoch, earlier))
        self.change(2)
        self.assertEqual([], self.written_to_third())

    def test_member_that_started_anew_is_sent_the_newest_at_once(self) -> None:
        for ticket in (1, 2):
            self.change(ticket)
        self.written_to_third()
        self.harness.start(C, self.harness.disks[C])
        self.harness.receive(A, C, HeartbeatAck(1, 1, Position(), 0))
        self.assertEqual([self.newest()], self.written_to_third())

    def test_heartbeats_go_on_while_a_write_is_under_way(self) -> None:
        self.change(1)
        self.harness.take(Heartbeat)
        self.harness.now += TIMING.heartbeat
        self.harness.tick(A)
        self.assertEqual(1, len(self.harness.take(Heartbeat, C)))

    def test_in_calm_each_change_is_sent_to_all_as_it_begins(self) -> None:
        for ticket in (1, 2, 3):
            self.harness.propose(A, ticket, b"x")
            for ip in (B, C):
                sent = [write for _, to, write in self.harness.sent if to == ip and isinstance(write, Write)]
                self.assertEqual(1, len(sent))
            self.harness.settle()
            self.assertIsInstance(self.harness.outcomes[ticket], Committed)

    def test_member_that_caught_up_is_waited_for_again(self) -> None:
        for ticket in (1, 2):
            self.change(ticket)
        self.acknowledge(self.written_to_third()[0])
        self.acknowledge(self.newest())
        self.written_to_third()
        self.harness.propose(A, 3, b"x")
        self.harness.sync(A)
        self.copy_to_second()
        self.assertNotIn(3, self.harness.outcomes)


def position_of(write: Message) -> Position:
    """The position of a written document."""
    assert isinstance(write, Write)
    return write.document.position


if __name__ == "__main__":
    unittest.main()
