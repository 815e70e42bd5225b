"""Which changes of workers a control machine relays to its dispatchers, and when."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from rookwood.cluster.messages import WorkerUpdates
from rookwood.cluster.workers import WorkerRecord, WorkerRegistry, WorkerState
from rookwood.controlplane import worker_relay
from rookwood.controlplane.worker_relay import WorkerRelay
from tests.fake_worker import within

FIRST = WorkerRecord("i-1", "models", "10.0.0.9:80", "z1", 8, WorkerState.UP, 5, ())
SECOND = replace(FIRST, id="i-2")


class WorkerRelayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(mock.patch.object(worker_relay, "MIN_INTERVAL", 0.01))
        self.registry = WorkerRegistry()
        self.sent: asyncio.Queue[WorkerUpdates] = asyncio.Queue()
        self.relay = WorkerRelay(self.registry.get, self.sent.put_nowait)

    def receive(self, *records: WorkerRecord) -> None:
        """Receive records of workers from another control machine."""
        for record in records:
            self.registry.merge(record)
        self.relay.relay_updates(WorkerUpdates(records, complete=False))

    async def test_changes_within_the_interval_are_sent_in_one_message_with_the_newest_state(self) -> None:
        newer = replace(FIRST, sequence=6, slots=9)
        self.receive(FIRST)
        self.receive(SECOND)
        self.receive(newer)
        self.assertTrue(self.sent.empty())
        self.assertEqual(WorkerUpdates((newer, SECOND), complete=False), await within(self.sent.get()))
        self.assertTrue(self.sent.empty())

    async def test_a_drain_is_sent_at_once_with_the_pending_changes(self) -> None:
        draining = replace(SECOND, state=WorkerState.DRAINING)
        self.receive(FIRST)
        self.receive(draining)
        self.assertEqual(WorkerUpdates((FIRST, draining), complete=False), self.sent.get_nowait())

    async def test_a_worker_that_was_deleted_in_the_meantime_is_not_sent(self) -> None:
        self.receive(FIRST, SECOND)
        self.registry.delete(FIRST.id)
        self.assertEqual(WorkerUpdates((SECOND,), complete=False), await within(self.sent.get()))

    async def test_later_changes_are_sent_as_well(self) -> None:
        self.receive(FIRST)
        await within(self.sent.get())
        self.receive(SECOND)
        self.assertEqual(WorkerUpdates((SECOND,), complete=False), await within(self.sent.get()))

    async def test_nothing_is_sent_for_an_empty_list(self) -> None:
        self.relay.relay_updates(WorkerUpdates((), complete=True))
        self.relay.flush()
        self.assertTrue(self.sent.empty())


if __name__ == "__main__":
    unittest.main()
