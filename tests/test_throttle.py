"""An action that runs without delay after an idle interval, and at most once per interval."""

from __future__ import annotations

import asyncio
import unittest

from rookwood.cluster.throttle import Throttle
from tests.fake_worker import within

INTERVAL = 0.05


class ThrottleTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.runs: asyncio.Queue[float] = asyncio.Queue()
        self.throttle = Throttle(INTERVAL, self.record_run)
        self.started_at = asyncio.get_running_loop().time()

    def record_run(self) -> None:
        """Record the time of a run."""
        self.runs.put_nowait(asyncio.get_running_loop().time() - self.started_at)

    async def test_requests_after_an_idle_interval_share_one_run_without_delay(self) -> None:
        for _ in range(3):
            self.throttle.request()
        await within(self.runs.get())
        self.assertTrue(self.runs.empty())

    async def test_the_next_run_is_an_interval_later(self) -> None:
        self.throttle.request()
        first = await within(self.runs.get())
        self.throttle.request()
        self.assertTrue(self.runs.empty())
        self.assertGreaterEqual(await within(self.runs.get()) - first, INTERVAL * 0.99)

    async def test_running_now_replaces_the_scheduled_run(self) -> None:
        self.throttle.request()
        await within(self.runs.get())
        self.throttle.request()
        self.throttle.run()
        self.assertEqual(1, self.runs.qsize())
        await within(self.runs.get())
        self.throttle.request()
        await within(self.runs.get())
        self.assertTrue(self.runs.empty())


if __name__ == "__main__":
    unittest.main()
