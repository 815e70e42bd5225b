"""The outbox: newer states replace queued ones in place, and lists of workers act as barriers."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rookwood.cluster.frames import HEADER, decode_message, encode_frame, read_header
from rookwood.cluster.messages import (
    ConfigurationBody,
    DemandReport,
    FetchConfiguration,
    Heartbeat,
    Message,
    Status,
    WorkerGone,
    WorkerUpdates,
    WorkNotices,
)
from rookwood.cluster.outbox import Outbox, QueuePolicy, conflation_key
from rookwood.cluster.workers import WorkerRecord, WorkerState

FIRST = WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 8, WorkerState.UP, 5, ())
SECOND = replace(FIRST, id="i-2")
STATUS = Status("10.0.0.1", 3, "10.0.0.1", True, True, 3, 7, 4, ("10.0.0.1",))


def queue_and_drain(*messages: Message) -> list[Message]:
    """Queue all messages in an outbox, and return the messages that come out of it."""
    outbox = Outbox()
    for message in messages:
        key = conflation_key(message)
        assert key is not QueuePolicy.DROP
        outbox.put(key, encode_frame(message))
    drained = []
    while outbox:
        frame = outbox.pop()
        _, type_number = read_header(frame[: HEADER.size])
        drained.append(decode_message(type_number, frame[HEADER.size :]))
    assert outbox.size == 0
    return drained


def updates(*records: WorkerRecord, complete: bool = False) -> WorkerUpdates:
    """Return an update with these workers."""
    return WorkerUpdates(records, complete)


class OutboxTests(unittest.TestCase):
    def test_a_newer_state_replaces_the_queued_one(self) -> None:
        newer = replace(STATUS, config_sequence=8)
        heartbeat = Heartbeat("10.0.0.7")
        self.assertEqual([newer, heartbeat], queue_and_drain(STATUS, heartbeat, newer))

    def test_each_state_is_queued_once(self) -> None:
        body = ConfigurationBody(3, 7, b"seven", False)
        request = FetchConfiguration(7, False)
        report = DemandReport("10.0.0.7", (), (), complete=True)
        states: tuple[Message, ...] = (STATUS, body, request, report, updates(FIRST))
        self.assertEqual(list(states), queue_and_drain(*states, *states))

    def test_updates_of_different_workers_are_all_queued(self) -> None:
        gone = WorkerGone("i-3", deleted=False)
        self.assertEqual(
            [updates(FIRST), updates(SECOND), gone], queue_and_drain(updates(FIRST), updates(SECOND), gone)
        )

    def test_the_last_presence_of_a_worker_replaces_earlier_ones(self) -> None:
        timed_out = WorkerGone("i-1", deleted=False)
        self.assertEqual([timed_out], queue_and_drain(updates(FIRST), timed_out))
        self.assertEqual([updates(FIRST)], queue_and_drain(timed_out, updates(FIRST)))

    def test_the_end_of_a_worker_is_never_replaced(self) -> None:
        ended, timed_out = WorkerGone("i-1", deleted=True), WorkerGone("i-1", deleted=False)
        self.assertIn(ended, queue_and_drain(updates(FIRST), ended, timed_out))
        self.assertIn(ended, queue_and_drain(ended, updates(FIRST)))

    def test_nothing_overtakes_a_list_of_workers(self) -> None:
        timed_out, pair = WorkerGone("i-1", deleted=False), updates(FIRST, SECOND)
        self.assertEqual([updates(FIRST), pair, timed_out], queue_and_drain(updates(FIRST), pair, timed_out))
        all_workers = updates(FIRST, complete=True)
        self.assertEqual(
            [timed_out, all_workers, timed_out], queue_and_drain(timed_out, all_workers, timed_out)
        )

    def test_advisory_messages_are_not_queued(self) -> None:
        self.assertIs(QueuePolicy.DROP, conflation_key(WorkNotices(())))


if __name__ == "__main__":
    unittest.main()
