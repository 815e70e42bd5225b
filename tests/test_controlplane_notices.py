"""Work notices: relayed in batches by control machines, and counted once by each dispatcher."""

from __future__ import annotations

import asyncio
import unittest

from rookwood.cluster.messages import WorkNotice, WorkNotices
from rookwood.controlplane.notice_relay import NoticeRelay
from rookwood.dataplane.pool import WorkerPool
from rookwood.dataplane.router import Router

FIRST = WorkNotice("e1", "w1", 0.1, (1,))
SECOND = WorkNotice("e2", "w1", 0.2, ())


class NoticeRelayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.to_dispatchers: asyncio.Queue[WorkNotices] = asyncio.Queue()
        self.to_control_machines: asyncio.Queue[WorkNotices] = asyncio.Queue()
        self.relay = NoticeRelay(self.to_dispatchers.put_nowait, self.to_control_machines.put_nowait)

    async def test_notices_are_relayed_in_batches_and_each_once(self) -> None:
        self.relay.relay_from_dispatcher(WorkNotices((FIRST,)))
        self.relay.relay_from_dispatcher(WorkNotices((SECOND,)))
        both = WorkNotices((FIRST, SECOND))
        self.assertEqual(both, await self.to_dispatchers.get())
        self.assertEqual(both, await self.to_control_machines.get())
        self.relay.relay_from_dispatcher(WorkNotices((SECOND,)))
        self.assertEqual(WorkNotices((SECOND,)), await self.to_dispatchers.get())

    async def test_notices_of_other_control_machines_are_relayed_only_to_dispatchers(self) -> None:
        """Each machine sends its own dispatchers' notices to all others; a second relay would repeat them."""
        self.relay.relay_from_control_machine(WorkNotices((FIRST,)))
        self.relay.relay_from_dispatcher(WorkNotices((SECOND,)))
        self.assertEqual(WorkNotices((FIRST, SECOND)), await self.to_dispatchers.get())
        self.assertEqual(WorkNotices((SECOND,)), await self.to_control_machines.get())
        self.relay.relay_from_control_machine(WorkNotices((FIRST,)))
        await self.to_dispatchers.get()
        self.assertTrue(self.to_control_machines.empty())


class NoticeCountingTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_dispatcher_counts_only_the_notices_of_other_dispatchers(self) -> None:
        pool = WorkerPool()
        router = Router("e1", "z1", pool)
        router.record_notice(WorkNotice("e1", "w1", 0.5, ()), 10.0)
        self.assertEqual(0.0, pool.get("w1").backlog.remaining(10.0))
        router.record_notice(WorkNotice("e2", "w1", 0.5, ()), 10.0)
        router.record_notice(WorkNotice("e3", "w1", 0.25, ()), 10.1)
        self.assertAlmostEqual(0.65, pool.get("w1").backlog.remaining(10.1))


if __name__ == "__main__":
    unittest.main()
