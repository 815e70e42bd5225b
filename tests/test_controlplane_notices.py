"""Work notices on their way: collected by the control plane, counted once by each dispatcher."""

from __future__ import annotations

import asyncio
import unittest

from rookwood.cluster.messages import WorkNotice, WorkNotices
from rookwood.controlplane.notice_relay import NoticeRelay
from rookwood.dataplane.pool import WorkerPool
from rookwood.dataplane.router import Router


class NoticeRelayTests(unittest.IsolatedAsyncioTestCase):
    async def test_notices_of_a_moment_go_together_and_each_once(self) -> None:
        sent: asyncio.Queue[WorkNotices] = asyncio.Queue()
        relay = NoticeRelay(sent.put_nowait)
        first = WorkNotice("e1", "w1", 0.1, (1,))
        second = WorkNotice("e2", "w1", 0.2, ())
        relay.take(WorkNotices((first,)))
        relay.take(WorkNotices((second,)))
        self.assertEqual(WorkNotices((first, second)), await sent.get())
        relay.take(WorkNotices((second,)))
        self.assertEqual(WorkNotices((second,)), await sent.get())


class CountingTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_dispatcher_counts_others_and_not_its_own_again(self) -> None:
        pool = WorkerPool()
        router = Router("e1", "z1", pool)
        router.note_told(WorkNotice("e1", "w1", 0.5, ()), 10.0)
        self.assertEqual(0.0, pool.get("w1").backlog.remaining(10.0))
        router.note_told(WorkNotice("e2", "w1", 0.5, ()), 10.0)
        router.note_told(WorkNotice("e3", "w1", 0.25, ()), 10.1)
        self.assertAlmostEqual(0.65, pool.get("w1").backlog.remaining(10.1))


if __name__ == "__main__":
    unittest.main()
