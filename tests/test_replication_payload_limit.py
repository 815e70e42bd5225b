"""The limit of the payload size: a change that would exceed it is declined and changes nothing."""

import unittest
from unittest.mock import patch

from rookwood.coordination import leadership
from rookwood.coordination.document import MAX_PAYLOAD_BYTES, Configuration, Document, Member, Position
from rookwood.coordination.framing import LENGTH_BYTES, MAX_FRAME_BYTES, encode_frame
from rookwood.coordination.messages import Heartbeat, Promise, Write
from rookwood.coordination.outcomes import Committed, Declined, PayloadTooLarge
from rookwood.lab.replica_harness import ReplicaHarness

A = "10.0.0.1"
SMALL_LIMIT = 10
MANY_MEMBERS = tuple(Member(f"2001:db8::{number:x}", 2**62) for number in range(100))


class PayloadLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(patch.object(leadership, "MAX_PAYLOAD_BYTES", SMALL_LIMIT))
        self.harness = ReplicaHarness()
        self.harness.start_all()
        self.harness.lead(A)

    def test_payload_of_the_maximum_size_is_accepted(self) -> None:
        self.harness.propose(A, 1, bytes(SMALL_LIMIT))
        self.harness.settle()
        self.assertIsInstance(self.harness.outcomes[1], Committed)

    def test_larger_payload_is_declined_with_its_size_and_not_written(self) -> None:
        before = self.harness.replicas[A].snapshot()
        self.harness.propose(A, 1, bytes(SMALL_LIMIT + 1))
        self.assertEqual([], self.harness.take(Write))
        self.assertEqual({}, self.harness.writes)
        self.harness.settle()
        self.assertEqual(Declined(PayloadTooLarge(SMALL_LIMIT + 1)), self.harness.outcomes[1])
        self.assertEqual(before, self.harness.replicas[A].snapshot())

    def test_decline_for_size_waits_for_a_heartbeat_round(self) -> None:
        self.harness.sent.clear()
        self.harness.propose(A, 1, bytes(SMALL_LIMIT + 1))
        self.assertNotIn(1, self.harness.outcomes)
        self.assertNotEqual([], self.harness.take(Heartbeat))

    def test_changes_continue_after_one_that_was_too_large(self) -> None:
        self.harness.propose(A, 1, bytes(SMALL_LIMIT + 1))
        self.harness.propose(A, 2, b"x")
        self.harness.settle()
        self.assertIsInstance(self.harness.outcomes[2], Committed)
        self.assertEqual(b"x", self.harness.replicas[A].snapshot().payload)


class FrameLimitTest(unittest.TestCase):
    def test_largest_payload_fits_a_frame_with_many_members(self) -> None:
        configuration = Configuration(MANY_MEMBERS, MANY_MEMBERS)
        document = Document(Position(2**62, 2**62), configuration, bytes(MAX_PAYLOAD_BYTES))
        for message in (Write(document), Promise(2**62, 2**62, document.position, document, 2**62)):
            with self.subTest(message=type(message)):
                self.assertLessEqual(len(encode_frame(message)) - LENGTH_BYTES, MAX_FRAME_BYTES)


if __name__ == "__main__":
    unittest.main()
