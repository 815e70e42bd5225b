"""What waits for a slow reader: newest states in the order of their first, lists as barriers."""

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


def pass_through(*messages: Message) -> list[Message]:
    """What comes out of an outbox into which all of these were put."""
    outbox = Outbox()
    for message in messages:
        subject = conflation_key(message)
        assert subject is not QueuePolicy.DROP
        outbox.put(subject, encode_frame(message))
    taken = []
    while outbox:
        frame = outbox.pop()
        _, number = read_header(frame[: HEADER.size])
        taken.append(decode_message(number, frame[HEADER.size :]))
    assert outbox.size == 0
    return taken


def told(*records: WorkerRecord, complete: bool = False) -> WorkerUpdates:
    """Updates of workers."""
    return WorkerUpdates(records, complete)


class OutboxTests(unittest.TestCase):
    def test_a_newer_state_takes_the_place_of_the_one_that_waits(self) -> None:
        newer = replace(STATUS, config_sequence=8)
        heartbeat = Heartbeat("10.0.0.7")
        self.assertEqual([newer, heartbeat], pass_through(STATUS, heartbeat, newer))

    def test_each_state_waits_once(self) -> None:
        body = ConfigurationBody(3, 7, b"seven", False)
        question = FetchConfiguration(7, False)
        report = DemandReport("10.0.0.7", (), (), complete=True)
        states: tuple[Message, ...] = (STATUS, body, question, report, told(FIRST))
        self.assertEqual(list(states), pass_through(*states, *states))

    def test_news_of_different_workers_all_wait(self) -> None:
        gone = WorkerGone("i-3", deleted=False)
        self.assertEqual([told(FIRST), told(SECOND), gone], pass_through(told(FIRST), told(SECOND), gone))

    def test_the_last_news_of_a_worker_count(self) -> None:
        silent = WorkerGone("i-1", deleted=False)
        self.assertEqual([silent], pass_through(told(FIRST), silent))
        self.assertEqual([told(FIRST)], pass_through(silent, told(FIRST)))

    def test_the_end_of_a_worker_is_not_taken_back(self) -> None:
        ended, silent = WorkerGone("i-1", deleted=True), WorkerGone("i-1", deleted=False)
        self.assertIn(ended, pass_through(told(FIRST), ended, silent))
        self.assertIn(ended, pass_through(ended, told(FIRST)))

    def test_nothing_overtakes_a_list_of_several(self) -> None:
        silent, several = WorkerGone("i-1", deleted=False), told(FIRST, SECOND)
        self.assertEqual([told(FIRST), several, silent], pass_through(told(FIRST), several, silent))
        everyone = told(FIRST, complete=True)
        self.assertEqual([silent, everyone, silent], pass_through(silent, everyone, silent))

    def test_what_only_advises_does_not_wait(self) -> None:
        self.assertIs(QueuePolicy.DROP, conflation_key(WorkNotices(())))


if __name__ == "__main__":
    unittest.main()
