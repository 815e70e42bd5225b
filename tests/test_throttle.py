"""Actions that run at once where they rested, and no more often than their interval."""

from __future__ import annotations

import asyncio
import unittest

from rookwood.cluster.throttle import Throttle
from tests.fake_worker import within

INTERVAL = 0.05


class ThrottleTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ran: asyncio.Queue[float] = asyncio.Queue()
        self.throttle = Throttle(INTERVAL, self.note)
        self.began = asyncio.get_running_loop().time()

    def note(self) -> None:
        """The action."""
        self.ran.put_nowait(asyncio.get_running_loop().time() - self.began)

    async def test_what_rested_runs_in_the_same_turn_and_once_for_all_that_ask(self) -> None:
        for _ in range(3):
            self.throttle.request()
        await within(self.ran.get())
        self.assertTrue(self.ran.empty())

    async def test_the_next_runs_an_interval_later(self) -> None:
        self.throttle.request()
        first = await within(self.ran.get())
        self.throttle.request()
        self.assertTrue(self.ran.empty())
        self.assertGreaterEqual(await within(self.ran.get()) - first, INTERVAL * 0.99)

    async def test_to_run_it_now_takes_the_place_of_the_next_time(self) -> None:
        self.throttle.request()
        await within(self.ran.get())
        self.throttle.request()
        self.throttle.run()
        self.assertEqual(1, self.ran.qsize())
        await within(self.ran.get())
        self.throttle.request()
        await within(self.ran.get())
        self.assertTrue(self.ran.empty())


if __name__ == "__main__":
    unittest.main()
