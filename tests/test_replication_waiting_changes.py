"""Changes that wait at the primary: limited by count and by bytes, and rejected at once beyond that."""

import unittest

from rookwood.coordination.messages import Refused
from rookwood.coordination.outcomes import Committed, NotPrimary, Overloaded
from rookwood.coordination.proposals import MAX_WAITING_BYTES, MAX_WAITING_CHANGES
from rookwood.lab.replica_harness import ReplicaHarness

A, B, C = "10.0.0.1", "10.0.0.2", "10.0.0.3"
UNDER_WAY = 1
FIRST_WAITING = 2


class WaitingChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)
        self.harness.propose(A, UNDER_WAY, b"first,")

    def propose_waiting(self, count: int, size: int = 0) -> list[int]:
        """Propose changes while the first change is under way; return their tickets."""
        tickets = list(range(FIRST_WAITING, FIRST_WAITING + count))
        for ticket in tickets:
            self.harness.propose(A, ticket, b"%d," % ticket, size)
        return tickets

    def rejected_tickets(self) -> list[int]:
        """Return the tickets of the changes that were rejected because the queue was full."""
        outcomes = self.harness.outcomes.items()
        return [ticket for ticket, outcome in outcomes if isinstance(outcome, Overloaded)]

    def test_change_beyond_the_count_limit_is_rejected_at_once(self) -> None:
        tickets = self.propose_waiting(MAX_WAITING_CHANGES + 3)
        self.assertEqual(tickets[MAX_WAITING_CHANGES:], self.rejected_tickets())

    def test_change_beyond_the_byte_limit_is_rejected_at_once(self) -> None:
        tickets = self.propose_waiting(5, size=MAX_WAITING_BYTES // 4)
        self.assertEqual(tickets[4:], self.rejected_tickets())

    def test_change_of_any_size_may_wait_alone(self) -> None:
        self.propose_waiting(1, size=MAX_WAITING_BYTES + 1)
        self.assertEqual([], self.rejected_tickets())

    def test_rejected_change_is_never_committed_and_the_others_are(self) -> None:
        tickets = self.propose_waiting(MAX_WAITING_CHANGES + 1)
        self.harness.settle()
        labels = self.harness.replicas[A].snapshot().payload.split(b",")[:-1]
        waited = tickets[:MAX_WAITING_CHANGES]
        self.assertEqual([b"first", *(b"%d" % ticket for ticket in waited)], labels)
        for ticket in waited:
            self.assertIsInstance(self.harness.outcomes[ticket], Committed)

    def test_queue_has_room_again_once_changes_are_made(self) -> None:
        self.propose_waiting(MAX_WAITING_CHANGES + 1, size=MAX_WAITING_BYTES // MAX_WAITING_CHANGES)
        self.harness.settle()
        last = FIRST_WAITING + MAX_WAITING_CHANGES + 1
        self.harness.propose(A, last, b"last,", MAX_WAITING_BYTES)
        self.harness.settle()
        self.assertIsInstance(self.harness.outcomes[last], Committed)

    def test_queue_has_room_again_once_callers_time_out(self) -> None:
        tickets = self.propose_waiting(MAX_WAITING_CHANGES, size=MAX_WAITING_BYTES // MAX_WAITING_CHANGES)
        for ticket in tickets:
            self.harness.abandon(A, ticket)
        last = FIRST_WAITING + MAX_WAITING_CHANGES
        self.harness.propose(A, last, b"last,", MAX_WAITING_BYTES)
        self.assertEqual([], self.rejected_tickets())

    def test_changes_waiting_at_the_end_of_an_epoch_are_not_made(self) -> None:
        tickets = self.propose_waiting(MAX_WAITING_CHANGES + 1)
        self.harness.receive(A, B, Refused(1, 7))
        for ticket in tickets[:-1]:
            self.assertIsInstance(self.harness.outcomes[ticket], NotPrimary)
        self.assertEqual(tickets[-1:], self.rejected_tickets())

    def test_rejecting_a_change_sends_no_messages(self) -> None:
        self.propose_waiting(MAX_WAITING_CHANGES)
        self.harness.sent.clear()
        self.harness.propose(A, FIRST_WAITING + MAX_WAITING_CHANGES, b"late,")
        self.assertEqual([], self.harness.sent)


if __name__ == "__main__":
    unittest.main()
