"""The meter of stalls of the event loop."""

from __future__ import annotations

import asyncio
import time
import unittest

from rookwood.dataplane.closing import STALL_RESERVE, STALL_SAFETY, ClosingTime
from rookwood.dataplane.loop_stalls import HALF_LIFE, INTERVAL, StallMeter


class StallMeterTests(unittest.TestCase):
    def test_the_longest_stall_counts_less_as_it_ages(self) -> None:
        meter = StallMeter()
        meter.observe(0.8, 10.0)
        meter.observe(0.1, 10.0 + HALF_LIFE)
        self.assertAlmostEqual(0.4, meter.longest(10.0 + HALF_LIFE))
        self.assertAlmostEqual(0.2, meter.longest(10.0 + 2 * HALF_LIFE))

    def test_a_loop_that_is_held_up_is_noticed(self) -> None:
        async def run() -> float:
            meter = StallMeter()
            meter.start()
            await asyncio.sleep(0)
            time.sleep(3 * INTERVAL)
            while not meter.longest(asyncio.get_running_loop().time()):
                await asyncio.sleep(0)
            meter.stop()
            return meter.longest(asyncio.get_running_loop().time())

        self.assertGreaterEqual(asyncio.run(run()), 1.9 * INTERVAL)

    def test_the_reserve_follows_the_longest_stall(self) -> None:
        self.assertEqual(STALL_RESERVE, ClosingTime.stall_reserve(0.0))
        self.assertEqual(STALL_SAFETY * 0.5, ClosingTime.stall_reserve(0.5))


if __name__ == "__main__":
    unittest.main()
